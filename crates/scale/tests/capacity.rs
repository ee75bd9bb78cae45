//! `docs/CAPACITY.md` says what the code and the measurements say.

use glenwood_scale::report::{rounded, Report};
use glenwood_scale::target::{Target, BUDGETS, SIZES};

const PAGE: &str = include_str!("../../../docs/CAPACITY.md");
const MEASURED: &str = include_str!("../../../docs/capacity.csv");

/// The rows of the table under a heading, without its head.
fn table(heading: &str) -> Vec<Vec<&'static str>> {
    let section =
        PAGE.split(&format!("\n## {heading}\n")).nth(1).unwrap_or_else(|| panic!("no section {heading}"));
    let section = section.split("\n## ").next().unwrap_or_default();
    let rows = section.lines().filter(|line| line.starts_with('|'));
    rows.skip(2).map(|line| line.trim_matches('|').split('|').map(str::trim).collect()).collect()
}

/// A number as the page writes it.
fn number(text: &str) -> f64 {
    text.replace(',', "").parse().unwrap_or_else(|_| panic!("a number expected, not {text:?}"))
}

fn check_targets(heading: &str, targets: &[Target]) {
    let rows = table(heading);
    assert_eq!(rows.len(), targets.len(), "{heading}");
    for (row, target) in rows.iter().zip(targets) {
        assert_eq!((row[0], number(row[1]), row[2]), (target.name, target.value, target.unit), "{heading}");
    }
}

#[test]
fn sizes_and_budgets_are_those_of_the_code() {
    check_targets("The size", SIZES);
    check_targets("The budgets", BUDGETS);
}

/// role, what, scenario, size, quantity, measured, times, comes to, unit, budget, carried by
#[test]
fn every_figure_is_a_measured_slope_times_a_size() {
    let report = Report::parse(MEASURED).expect("as it was written");
    let rows = table("What each role comes to");
    assert!(rows.len() >= 25, "{} rows", rows.len());
    for row in rows {
        let [role, what, scenario, size, quantity, measured, times, comes_to, _unit, budget, _carried] =
            row[..]
        else {
            panic!("eleven columns expected: {row:?}");
        };
        let value = report.value(scenario, number(size) as u64, quantity);
        let value = value
            .unwrap_or_else(|| panic!("{role}, {what}: nothing measured for {scenario}, {size}, {quantity}"));
        assert_eq!(measured, rounded(value), "{role}, {what}");
        let product = number(measured) * number(times);
        assert_eq!(comes_to, rounded(product), "{role}, {what}");
        if let Some((_, name)) = budget.split_once(": ") {
            let known = BUDGETS.iter().find(|target| target.name.ends_with(name));
            let known = known.unwrap_or_else(|| panic!("{role}, {what}: no budget {name}"));
            let within = number(comes_to) <= known.value;
            assert_eq!(budget.starts_with("within"), within, "{role}, {what}: {comes_to} of {}", known.value);
        }
    }
}
