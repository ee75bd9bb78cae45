//! Fits and reports.

use glenwood_scale::fit::power;
use glenwood_scale::report::{rounded, Report};

#[test]
fn a_power_is_found_again_with_how_far_it_is_off() {
    let quadratic: Vec<(f64, f64)> = [10.0, 100.0, 1000.0].map(|x: f64| (x, 3.0 * x * x)).to_vec();
    let fit = power(&quadratic).expect("a fit");
    assert!((fit.exponent - 2.0).abs() < 1e-9 && (fit.factor - 3.0).abs() < 1e-6 && fit.residual < 1e-9);
    assert!((fit.at(50.0) - 7500.0).abs() < 1e-6);
    let rough = power(&[(1.0, 1.0), (10.0, 20.0), (100.0, 100.0)]).expect("a fit");
    assert!(rough.residual > 0.1);
    assert_eq!(power(&[(1.0, 1.0)]), None);
    assert_eq!(power(&[(1.0, 1.0), (2.0, 0.0)]), None);
}

#[test]
fn a_report_is_read_as_it_was_written() {
    let mut report = Report::default();
    report.add("settings by tenants", 10, &[("read ms", 0.0416), ("kept MB", 12.0)]);
    report.add("settings by tenants", 100, &[("read ms", 0.5), ("kept MB", f64::INFINITY)]);
    let read = Report::parse(&report.csv()).expect("as written");
    assert_eq!(read, report);
    assert!(read.table("settings by tenants").contains("read ms"));
    assert!(Report::parse("scenario,size,quantity,value\nx,1,y").is_err());
    assert_eq!(
        [rounded(0.041_236), rounded(1234.6), rounded(0.0), rounded(12_345.6)],
        ["0.04124", "1235", "0", "12346"]
    );
}
