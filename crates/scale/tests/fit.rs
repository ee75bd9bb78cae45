//! Tests of fits and reports.

use glenwood_scale::fit::fit_power_law;
use glenwood_scale::report::{format_significant, Report};

#[test]
fn a_power_law_fit_recovers_the_exponent_and_reports_the_residual() {
    let quadratic: Vec<(f64, f64)> = [10.0, 100.0, 1000.0].map(|x: f64| (x, 3.0 * x * x)).to_vec();
    let fit = fit_power_law(&quadratic).expect("a fit");
    assert!((fit.exponent - 2.0).abs() < 1e-9 && (fit.factor - 3.0).abs() < 1e-6 && fit.residual < 1e-9);
    assert!((fit.predict(50.0) - 7500.0).abs() < 1e-6);
    let noisy = fit_power_law(&[(1.0, 1.0), (10.0, 20.0), (100.0, 100.0)]).expect("a fit");
    assert!(noisy.residual > 0.1);
    assert_eq!(fit_power_law(&[(1.0, 1.0)]), None);
    assert_eq!(fit_power_law(&[(1.0, 1.0), (2.0, 0.0)]), None);
}

#[test]
fn a_report_survives_formatting_and_parsing() {
    let mut report = Report::default();
    report.add("settings by tenants", 10, &[("read ms", 0.0416), ("kept MB", 12.0)]);
    report.add("settings by tenants", 100, &[("read ms", 0.5), ("kept MB", f64::INFINITY)]);
    let parsed = Report::parse(&report.csv()).expect("valid CSV");
    assert_eq!(parsed, report);
    assert!(parsed.table("settings by tenants").contains("read ms"));
    assert!(Report::parse("scenario,size,quantity,value\nx,1,y").is_err());
    assert_eq!(
        [
            format_significant(0.041_236),
            format_significant(1234.6),
            format_significant(0.0),
            format_significant(12_345.6)
        ],
        ["0.04124", "1235", "0", "12346"]
    );
}
