//! `glenctl custody`: shows the requests in custody, as the nodes report them at their inspection sockets.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Subcommand};
use serde_json::Value;

use crate::sockets::read_report;

/// Arguments of `glenctl custody`.
#[derive(Debug, Args)]
pub struct Arguments {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Shows the counts of each node and the works in custody, the oldest without a verdict first
    Top {
        /// Maximum number of works
        #[arg(long, default_value_t = 20)]
        most: usize,
        /// Inspection sockets of the nodes
        #[arg(required = true)]
        sockets: Vec<PathBuf>,
    },
    /// Shows what each keeper has recorded of one work: its holder, the intended attempts and the verdict
    Explain {
        /// Name of the work, or the start of it
        work: String,
        /// Inspection sockets of the nodes
        #[arg(required = true)]
        sockets: Vec<PathBuf>,
    },
}

/// Reads the name and the custody report of a node.
fn custody_of(socket: &Path) -> Result<(String, Value), String> {
    let report = read_report(socket)?;
    match &report["custody"] {
        Value::Null => Err(format!("{}: this node reports no custody", socket.display())),
        custody => Ok((report["name"].as_str().unwrap_or("?").to_string(), custody.clone())),
    }
}

/// The works in a custody report.
fn works(custody: &Value) -> impl Iterator<Item = &Value> {
    custody["works"].as_array().into_iter().flatten()
}

/// The string in a JSON value, `-` if it is none.
fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

/// The name of a work's verdict, `-` if there is none.
fn verdict(record: &Value) -> String {
    match &record["verdict"] {
        Value::Null => "-".to_string(),
        Value::String(name) => name.clone(),
        other => other.as_object().and_then(|o| o.keys().next().cloned()).unwrap_or_default(),
    }
}

/// Merges the works of all keepers. Of each work this takes the record of the keeper that has had it longest.
/// Works without a verdict come first, the oldest first.
fn merged_works(nodes: &[(String, Value)]) -> Vec<&Value> {
    let mut by_name: BTreeMap<&str, &Value> = BTreeMap::new();
    for work in nodes.iter().flat_map(|(_, custody)| works(custody)) {
        let known = by_name.entry(text(&work["work"])).or_insert(work);
        if work["age_ms"].as_u64() > known["age_ms"].as_u64() {
            *known = work;
        }
    }
    let mut sorted: Vec<&Value> = by_name.into_values().collect();
    sorted.sort_by_key(|work| (!work["verdict"].is_null(), std::cmp::Reverse(work["age_ms"].as_u64())));
    sorted
}

/// Runs one subcommand.
fn show(action: Action) -> Result<(), String> {
    match action {
        Action::Top { most, sockets } => {
            let nodes = sockets.iter().map(|socket| custody_of(socket)).collect::<Result<Vec<_>, _>>()?;
            println!(
                "{:16} {:>5} {:>6} {:>6} {:>8} {:>9} {:>8} {:>8} {:>8} {:>8}",
                "node",
                "votes",
                "mine",
                "kept",
                "guarded",
                "unguarded",
                "refused",
                "adopted",
                "unkept",
                "maybe"
            );
            for (name, custody) in &nodes {
                let (counts, desk) = (&custody["counts"], &custody["desk"]);
                println!(
                    "{name:16} {:>5} {:>6} {:>6} {:>8} {:>9} {:>8} {:>8} {:>8} {:>8}",
                    custody["votes"],
                    custody["mine"],
                    custody["keeper"]["works"],
                    counts["guarded"],
                    counts["unguarded"],
                    counts["refused"],
                    desk["adopted"],
                    desk["unkept"],
                    desk["may_have_run"]
                );
            }
            println!("\n{:49} {:12} {:>8} {:12} {:>5} verdict", "work", "class", "age ms", "holder", "sent");
            for work in merged_works(&nodes).into_iter().take(most) {
                let sent = work["sent"].as_array().map_or(0, Vec::len);
                let lost = if work["lost"] == true { " (lost)" } else { "" };
                println!(
                    "{:49} {:12} {:>8} {:12} {sent:>5} {}",
                    text(&work["work"]),
                    text(&work["class"]),
                    work["age_ms"],
                    format!("{}{lost}", text(&work["holder"])),
                    verdict(work)
                );
            }
        }
        Action::Explain { work, sockets } => {
            let nodes = sockets.iter().map(|socket| custody_of(socket)).collect::<Result<Vec<_>, _>>()?;
            let mut found = false;
            for (name, custody) in &nodes {
                for record in works(custody).filter(|r| text(&r["work"]).starts_with(&work)) {
                    found = true;
                    println!("keeper {name}: {}, {} ms old", text(&record["work"]), record["age_ms"]);
                    println!(
                        "  {} {}, held by {} life {}{}",
                        text(&record["effect"]),
                        text(&record["class"]),
                        text(&record["holder"]),
                        text(&record["life"]),
                        if record["lost"] == true { ", which is lost" } else { "" }
                    );
                    for sent in record["sent"].as_array().into_iter().flatten() {
                        let never = if sent["never"] == true { ", proven never to have run" } else { "" };
                        println!(
                            "  meant {} ms after its beginning for server {:016x}{never}",
                            sent["at"],
                            sent["server"].as_u64().unwrap_or(0)
                        );
                    }
                    println!("  verdict: {}", verdict(record));
                }
            }
            if !found {
                return Err(format!("{work}: none of these nodes keeps it"));
            }
        }
    }
    Ok(())
}

/// Runs `glenctl custody` and returns its exit code.
pub fn run(arguments: Arguments) -> ExitCode {
    crate::sockets::exit_code(show(arguments.action))
}
