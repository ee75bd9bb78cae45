//! Checks that `docs/CAPACITY.md` agrees with the code and with the measurements.

use glenwood_scale::report::{format_significant, Report};
use glenwood_scale::target::{Target, BUDGETS, SIZES};

const DOCUMENT: &str = include_str!("../../../docs/CAPACITY.md");
const MEASURED: &str = include_str!("../../../docs/capacity.csv");

/// Returns the rows of the table in the section with this heading, without the header rows.
fn table(heading: &str) -> Vec<Vec<&'static str>> {
    let section =
        DOCUMENT.split(&format!("\n## {heading}\n")).nth(1).unwrap_or_else(|| panic!("no section {heading}"));
    let section = section.split("\n## ").next().unwrap_or_default();
    let rows = section.lines().filter(|line| line.starts_with('|'));
    rows.skip(2).map(|line| line.trim_matches('|').split('|').map(str::trim).collect()).collect()
}

/// Parses a number as it is formatted in the document.
fn parse_number(text: &str) -> f64 {
    text.replace(',', "").parse().unwrap_or_else(|_| panic!("a number expected, not {text:?}"))
}

fn check_targets(heading: &str, targets: &[Target]) {
    let rows = table(heading);
    assert_eq!(rows.len(), targets.len(), "{heading}");
    for (row, target) in rows.iter().zip(targets) {
        assert_eq!(
            (row[0], parse_number(row[1]), row[2]),
            (target.name, target.value, target.unit),
            "{heading}"
        );
    }
}

#[test]
fn sizes_and_budgets_are_those_of_the_code() {
    check_targets("The size", SIZES);
    check_targets("The budgets", BUDGETS);
}

/// Columns: role, what, scenario, size, quantity, measured, times, comes to, unit, budget, carried by.
#[test]
fn every_figure_is_a_measured_slope_times_a_size() {
    let report = Report::parse(MEASURED).expect("valid CSV");
    let rows = table("What each role comes to");
    assert!(rows.len() >= 25, "{} rows", rows.len());
    for row in rows {
        let [role, what, scenario, size, quantity, measured, times, comes_to, _unit, budget, _carried] =
            row[..]
        else {
            panic!("eleven columns expected: {row:?}");
        };
        let value = report.value(scenario, parse_number(size) as u64, quantity);
        let value = value
            .unwrap_or_else(|| panic!("{role}, {what}: nothing measured for {scenario}, {size}, {quantity}"));
        assert_eq!(measured, format_significant(value), "{role}, {what}");
        let product = parse_number(measured) * parse_number(times);
        assert_eq!(comes_to, format_significant(product), "{role}, {what}");
        if let Some((_, name)) = budget.split_once(": ") {
            let target_budget = BUDGETS.iter().find(|target| target.name.ends_with(name));
            let target_budget = target_budget.unwrap_or_else(|| panic!("{role}, {what}: no budget {name}"));
            let within_budget = parse_number(comes_to) <= target_budget.value;
            assert_eq!(
                budget.starts_with("within"),
                within_budget,
                "{role}, {what}: {comes_to} of a budget of {}",
                target_budget.value
            );
        }
    }
}
