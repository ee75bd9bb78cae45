//! `glenctl configuration`: pushes a change to the source, and shows how far everybody is.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Subcommand};
use glenwood_configuration::{net, Version};
use serde_json::{json, Value};

/// What to do.
#[derive(Debug, Args)]
pub struct Arguments {
    #[command(subcommand)]
    what: What,
}

#[derive(Debug, Subcommand)]
enum What {
    /// Pushes a change; prints the version that it makes, or why it is not taken
    Push {
        /// The source
        source: SocketAddr,
        /// A JSON array of operations: {"put": ENTRY} or {"remove": {"key": {"kind": K, "name": N}, "owner": O}}; - for standard input
        file: PathBuf,
        /// The version that it was made for: it is turned down on any other
        #[arg(long)]
        on: Option<Version>,
    },
    /// Shows what a publisher has, how far the nodes behind it are, and what they turned down
    Status {
        /// The source or a relay
        publisher: SocketAddr,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Begins a new epoch with what the source has: nodes that have later versions go back to it
    BeginEpoch {
        /// The source
        source: SocketAddr,
        /// Says that this is meant
        #[arg(long, required = true)]
        go_back: bool,
    },
}

fn read(file: &Path) -> Result<Value, String> {
    let said = |words: String| format!("{}: {words}", file.display());
    let text = if file == Path::new("-") {
        std::io::read_to_string(std::io::stdin()).map_err(|e| said(e.to_string()))?
    } else {
        std::fs::read_to_string(file).map_err(|e| said(e.to_string()))?
    };
    serde_json::from_str(&text).map_err(|e| said(e.to_string()))
}

/// Asks a publisher, and gives what it answers.
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

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("?")
}

fn act(what: What) -> Result<(), String> {
    match what {
        What::Push { source, file, on } => {
            let mut push = json!({"operations": read(&file)?});
            if let Some(on) = on {
                push["on"] = json!(on);
            }
            let made = call(source, net::PUSH_PATH, Some(&push))?;
            println!("{}", text(&made["version"]));
        }
        What::Status { publisher, json } => {
            let status = call(publisher, net::STATUS_PATH, None)?;
            if json {
                println!("{status}");
            } else {
                show(&status);
            }
        }
        What::BeginEpoch { source, .. } => {
            let made = call(source, net::EPOCH_PATH, Some(&json!({})))?;
            println!("{}", text(&made["version"]));
        }
    }
    Ok(())
}

/// Does it; the exit code.
pub fn run(arguments: Arguments) -> ExitCode {
    crate::sockets::exit(act(arguments.what))
}
