//! `glenctl configuration`: pushes changes to the source, and shows which versions are in force at the nodes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Subcommand};
use glenwood_configuration::{net, Version};
use serde_json::{json, Value};

/// Arguments of `glenctl configuration`.
#[derive(Debug, Args)]
pub struct Arguments {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Pushes a change; prints the resulting version, or why the change was rejected
    Push {
        /// Address of the source
        source: SocketAddr,
        /// File with a JSON array of operations: {"put": ENTRY} or {"remove": {"key": {"kind": K, "name": N},
        /// "owner": O}}; - for standard input
        file: PathBuf,
        /// Version that the change is based on; it is rejected on any other
        #[arg(long)]
        on: Option<Version>,
    },
    /// Shows a publisher's version, the versions in force at the nodes behind it, and those that they
    /// rejected
    Status {
        /// Address of the source or a relay
        publisher: SocketAddr,
        /// Prints JSON
        #[arg(long)]
        json: bool,
    },
    /// Begins a new epoch with the source's configuration; nodes with later versions revert to it
    BeginEpoch {
        /// Address of the source
        source: SocketAddr,
        /// Confirms that nodes may go back to an older configuration
        #[arg(long, required = true)]
        go_back: bool,
    },
}

/// Reads a JSON value from a file, or from standard input for `-`.
fn read(file: &Path) -> Result<Value, String> {
    let with_path = |message: String| format!("{}: {message}", file.display());
    let text = if file == Path::new("-") {
        std::io::read_to_string(std::io::stdin()).map_err(|e| with_path(e.to_string()))?
    } else {
        std::fs::read_to_string(file).map_err(|e| with_path(e.to_string()))?
    };
    serde_json::from_str(&text).map_err(|e| with_path(e.to_string()))
}

/// Sends a request to a publisher and returns the JSON body of its answer.
fn call(to: SocketAddr, path: &str, body: Option<&Value>) -> Result<Value, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    let body = body.map(|body| body.to_string().into_bytes());
    let (status, answer) =
        runtime.block_on(net::call(to, "glenctl", path, body)).map_err(|e| format!("{to}: {e}"))?;
    if !status.is_success() {
        return Err(format!("{to}: {}", String::from_utf8_lossy(&answer)));
    }
    serde_json::from_slice(&answer).map_err(|e| format!("{to}: {e}"))
}

/// Prints the status of a publisher.
fn show(status: &Value) {
    println!(
        "{} at {} ({})",
        text(&status["role"]),
        text(&status["at"]["version"]),
        text(&status["at"]["digest"])
    );
    println!(
        "{} resources, {} subscribers, {} nodes",
        status["resources"], status["subscribers"], status["nodes"]
    );
    for (version, nodes) in status["in_force"].as_object().into_iter().flatten() {
        println!("{version:>12}  in force at {nodes} nodes");
    }
    for rejection in status["rejections"].as_array().into_iter().flatten() {
        let (node, version) = (text(&rejection["node"]), text(&rejection["version"]));
        println!("{version:>12}  turned down by {node}: {}", text(&rejection["reason"]));
    }
}

/// The string in a JSON value, `?` if it is none.
fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("?")
}

/// Runs one subcommand.
fn run_action(action: Action) -> Result<(), String> {
    match action {
        Action::Push { source, file, on } => {
            let mut push = json!({"operations": read(&file)?});
            if let Some(on) = on {
                push["on"] = json!(on);
            }
            let response = call(source, net::PUSH_PATH, Some(&push))?;
            println!("{}", text(&response["version"]));
        }
        Action::Status { publisher, json } => {
            let status = call(publisher, net::STATUS_PATH, None)?;
            if json {
                println!("{status}");
            } else {
                show(&status);
            }
        }
        Action::BeginEpoch { source, .. } => {
            let response = call(source, net::EPOCH_PATH, Some(&json!({})))?;
            println!("{}", text(&response["version"]));
        }
    }
    Ok(())
}

/// Runs `glenctl configuration` and returns its exit code.
pub fn run(arguments: Arguments) -> ExitCode {
    crate::sockets::exit_code(run_action(arguments.action))
}
