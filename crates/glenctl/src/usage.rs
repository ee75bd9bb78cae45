//! `glenctl usage`: shows how much tenants have used of their allowances, as the nodes report at their
//! inspection sockets.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Subcommand};
use serde_json::Value;

/// Arguments of `glenctl usage`.
#[derive(Debug, Args)]
pub struct Arguments {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Shows the tenants that spend most, summed over the given nodes
    Top {
        /// Maximum number of tenants
        #[arg(long, default_value_t = 20)]
        most: usize,
        /// Inspection sockets of the nodes
        #[arg(required = true)]
        sockets: Vec<PathBuf>,
    },
    /// Shows how much of a tenant's allowance each node has spent, holds and has passed on, as known to one
    /// node
    Explain {
        /// Name of the tenant
        tenant: String,
        /// Inspection socket of the node
        socket: PathBuf,
    },
    /// Shows a node's peers, the age of each one's last report, and the current bound on overspending
    Peers {
        /// Inspection socket of the node
        socket: PathBuf,
    },
}

/// Reads the usage report of a node.
fn read_usage(socket: &Path) -> Result<Value, String> {
    match &crate::sockets::read_report(socket)?["usage"] {
        Value::Null => Err(format!("{}: this node does not share usage counts", socket.display())),
        usage => Ok(usage.clone()),
    }
}

/// The number in a field, 0 if it is missing.
fn number(of: &Value, field: &str) -> u64 {
    of[field].as_u64().unwrap_or(0)
}

/// The tenants in a usage report.
fn tenants(usage: &Value) -> impl Iterator<Item = &Value> {
    usage["tenants"].as_array().into_iter().flatten()
}

/// Sums the tenants over the nodes, sorted by most spent: name and allowance, spent in this window, spent in
/// the previous window, and asked for in the previous window.
fn top(nodes: &[Value]) -> Vec<(String, [u64; 4])> {
    let mut all: BTreeMap<String, [u64; 4]> = BTreeMap::new();
    for tenant in nodes.iter().flat_map(tenants) {
        let sums = all.entry(tenant["name"].as_str().unwrap_or("?").to_string()).or_default();
        sums[0] = sums[0].max(number(tenant, "allowance"));
        sums[1] += number(tenant, "spent");
        sums[2] += tenant["before"][0].as_u64().unwrap_or(0);
        sums[3] += tenant["before"][1].as_u64().unwrap_or(0);
    }
    let mut all: Vec<_> = all.into_iter().collect();
    all.sort_by_key(|(name, sums)| (std::cmp::Reverse(sums[2] + sums[1]), name.clone()));
    all
}

/// Runs one subcommand.
fn show(action: Action) -> Result<(), String> {
    match action {
        Action::Top { most, sockets } => {
            let nodes = sockets.iter().map(|socket| read_usage(socket)).collect::<Result<Vec<_>, _>>()?;
            println!("{:24} {:>10} {:>10} {:>10} {:>10}", "tenant", "allowed", "spent", "before", "asked");
            for (name, [allowed, spent, before, asked]) in top(&nodes).into_iter().take(most) {
                println!("{name:24} {allowed:>10} {spent:>10} {before:>10} {asked:>10}");
            }
        }
        Action::Explain { tenant, socket } => {
            let usage = read_usage(&socket)?;
            let found = tenants(&usage).find(|t| t["name"] == tenant.as_str());
            let found = found.ok_or_else(|| {
                format!("{tenant}: nothing of its allowance was asked for at this node recently")
            })?;
            println!(
                "window {} of {} ms, {} allowed",
                found["window"], usage["window_ms"], found["allowance"]
            );
            println!("here: {} spent, {} held, {} asked for", found["spent"], found["held"], found["asked"]);
            println!(
                "{:16} {:>8} {:>8} {:>14} {:>12}",
                "node", "spent", "held", "handed to here", "and from here"
            );
            for other in found["at"].as_array().into_iter().flatten() {
                let name = &usage["instances"][number(other, "instance") as usize];
                let held = other["held"].as_u64().map_or("?".to_string(), |held| held.to_string());
                let (to, from) = (&other["given"][0], &other["given"][1]);
                let name = name.as_str().unwrap_or("?");
                println!("{name:16} {:>8} {held:>8} {to:>14} {from:>12}", other["spent"]);
            }
        }
        Action::Peers { socket } => {
            let usage = read_usage(&socket)?;
            println!(
                "window {} of {} ms; own part: {}",
                usage["window"], usage["window_ms"], usage["own_part"]
            );
            println!("{:16} {:>10} {:>12} {:>8} {:>6}", "node", "heard ms", "clock ahead", "behind", "gone");
            let mut max_clock_difference_ms = 0;
            for peer in usage["peers"].as_array().into_iter().flatten() {
                let name = usage["instances"][number(peer, "instance") as usize].as_str().unwrap_or("?");
                let age = peer["age_ms"].as_u64().map_or("never".to_string(), |age| age.to_string());
                max_clock_difference_ms =
                    max_clock_difference_ms.max(peer["ahead_ms"].as_i64().unwrap_or(0).unsigned_abs());
                let (ahead, behind, gone) = (&peer["ahead_ms"], &peer["behind"], &peer["gone"]);
                println!("{name:16} {age:>10} {ahead:>12} {behind:>8} {gone:>6}");
            }
            let window = number(&usage, "window_ms").max(1) as f64;
            println!("bound: nothing beyond an allowance counted by window number; by one clock, up to {:.1}% from clock differences", 200.0 * max_clock_difference_ms as f64 / window);
            println!("datagrams turned down: {}", usage["refused"]);
        }
    }
    Ok(())
}

/// Runs `glenctl usage` and returns its exit code.
pub fn run(arguments: Arguments) -> ExitCode {
    crate::sockets::exit_code(show(arguments.action))
}
