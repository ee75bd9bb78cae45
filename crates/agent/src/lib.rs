//! The agent that manages the instances of one machine. It connects the decision logic of `glenwood-fleet` to
//! real processes, a journal on disk and a Unix socket.
//!
//! - [`disk`] stores the journal, the audit trail and the files of the instances.
//! - [`process`] starts processes, finds running ones and sends them signals.
//! - [`records`] appends records to a file and removes partial ones after a failure.
//! - [`service`] runs the event loop and serves operators' programs at a Unix socket.
//! - [`talk`] defines the protocol between operators' programs and the agent.
#![warn(missing_docs)]

pub mod disk;
pub mod process;
pub mod records;
pub mod service;
pub mod talk;

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use tokio::task::LocalSet;

/// Keeps the instances of one machine in their desired state. Instances keep running while the agent is
/// stopped.
#[derive(Debug, Parser)]
#[command(name = "glenwood-agent", version)]
pub struct Arguments {
    /// The file with the desired state of the instances
    #[arg(long, value_name = "FILE")]
    pub fleet: PathBuf,
    /// The folder for the agent's journal and socket, and for the instances' sockets and logs
    #[arg(long, value_name = "FOLDER")]
    pub folder: PathBuf,
}

/// Runs an agent in this process until SIGTERM or SIGINT. A failure is reported on standard error and by the
/// exit code.
pub fn run(arguments: &Arguments) -> ExitCode {
    let report_failure = |message: &str| {
        // A failed write to standard error is ignored: the exit code reports the failure too.
        let _ = writeln!(std::io::stderr(), "glenwood-agent: {}", message.replace('\n', " "));
        ExitCode::FAILURE
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return report_failure(&format!("runtime: {error}")),
    };
    let run = async { service::Service::open(&arguments.folder, &arguments.fleet)?.run().await };
    match LocalSet::new().block_on(&runtime, run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => report_failure(&message),
    }
}
