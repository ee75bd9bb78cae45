//! Runs the scenarios: `cargo bench -p glenwood-scale [-- NAME ...] [--csv FILE]`. `NAME` selects the
//! scenarios whose names begin with it; without names, all of them run.

use std::path::PathBuf;
use std::process::ExitCode;

use glenwood_scale::report::Report;
use glenwood_scale::scenario::{
    configuration, custody, decisions, list, list_calls, members, settings, usage,
};

type Scenario = (&'static str, fn(&mut Report));

const SCENARIOS: [Scenario; 8] = [
    ("settings", |report| settings::run(report, &settings::SIZES)),
    ("list", |report| list::run(report, &list::SIZES)),
    ("calls", |report| list_calls::run(report, &list_calls::SIZES)),
    ("decisions", decisions::run),
    ("members", |report| members::run(report, &members::SIZES)),
    ("usage", usage::run),
    ("custody", custody::run),
    ("configuration", configuration::run),
];

fn main() -> ExitCode {
    let (mut names, mut csv) = (Vec::new(), None);
    let mut arguments = std::env::args().skip(1).filter(|argument| argument != "--bench");
    while let Some(argument) = arguments.next() {
        match argument.as_str() {
            "--csv" => csv = arguments.next().map(PathBuf::from),
            _ => names.push(argument),
        }
    }
    let mut report = Report::default();
    for (name, run) in SCENARIOS {
        if names.is_empty() || names.iter().any(|prefix| name.starts_with(prefix.as_str())) {
            let mut scenario_report = Report::default();
            run(&mut scenario_report);
            scenario_report
                .scenarios()
                .iter()
                .for_each(|scenario| print!("{}", scenario_report.table(scenario)));
            report.rows.append(&mut scenario_report.rows);
        }
    }
    println!("\n{}", report.csv());
    match csv.map(|path| std::fs::write(path, report.csv())) {
        Some(Err(error)) => {
            eprintln!("cannot write the CSV file: {error}");
            ExitCode::FAILURE
        }
        _ => ExitCode::SUCCESS,
    }
}
