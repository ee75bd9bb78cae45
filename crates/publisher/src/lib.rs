//! The program `glenwood-configuration`: runs a source or a relay of the configuration on sockets.
//!
//! `role` selects between source and relay; `server` is the HTTP server for subscribers and operators. The
//! state machines without I/O are in the library `glenwood-configuration`.
#![warn(missing_docs)]

mod role;
mod server;

use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use glenwood_configuration::resources::Resources;
use glenwood_configuration::Entry;
use glenwood_signals::{SignalKind, Signals};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use role::Role;
use server::Publisher;

/// A source or a relay of the versioned configuration.
#[derive(Debug, Parser)]
#[command(name = "glenwood-configuration", version)]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run the source, which accepts operators' changes and numbers them
    Source {
        /// Address on which subscribers and operators connect
        #[arg(long)]
        listen: SocketAddr,
        /// File with the resources of the first version, as a JSON array; without it there are none
        #[arg(long)]
        first: Option<PathBuf>,
        /// The epoch to begin with
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..))]
        epoch: u64,
    },
    /// Run a relay, which follows another publisher and publishes its configuration
    Relay {
        /// Address on which subscribers connect
        #[arg(long)]
        listen: SocketAddr,
        /// Name of the relay
        #[arg(long)]
        name: String,
        /// Publishers to follow, the nearest first
        #[arg(long, required = true)]
        publisher: Vec<SocketAddr>,
    },
}

/// Runs the publisher until a stop signal arrives; returns the exit code.
pub fn run(arguments: &Arguments) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error.to_string()),
    };
    match LocalSet::new().block_on(&runtime, serve(&arguments.command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => fail(&message),
    }
}

/// Prints an error message; returns the exit code of a failure.
fn fail(message: &str) -> ExitCode {
    // If standard error cannot be written, the exit code still reports the failure.
    let _ = writeln!(std::io::stderr(), "glenwood-configuration: {}", message.replace('\n', " "));
    ExitCode::FAILURE
}

/// Reads the resources of the first version from a file.
fn read_first_resources(path: &Path) -> Result<Resources, String> {
    let error_at = |message: String| format!("{}: {message}", path.display());
    let text = std::fs::read(path).map_err(|e| error_at(e.to_string()))?;
    let entries: Vec<Entry> = serde_json::from_slice(&text).map_err(|e| error_at(e.to_string()))?;
    let count = entries.len();
    let resources = Resources::from_entries(entries);
    if resources.len() < count {
        return Err(error_at("two resources of the same kind have the same name".to_string()));
    }
    Ok(resources)
}

/// Starts the publisher and serves until a stop signal arrives.
async fn serve(command: &Command) -> Result<(), String> {
    let mut stop_signals = Signals::new(SignalKind::Stop).map_err(|e| format!("signals: {e}"))?;
    let (listen, role) = match command {
        Command::Source { listen, first: file, epoch } => {
            let resources = file.as_deref().map_or(Ok(Resources::default()), read_first_resources)?;
            (*listen, Role::source(resources, *epoch)?)
        }
        Command::Relay { listen, name, publisher } => (*listen, Role::relay(name, publisher.clone())),
    };
    let listener = TcpListener::bind(listen).await.map_err(|e| format!("listen: {listen}: {e}"))?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    // A failed write is ignored: a caller that does not read the output already knows the address.
    let _ = writeln!(std::io::stdout(), "{} {address}", role.label());
    let publisher = Publisher::new(role);
    tokio::select! {
        () = publisher.run(listener) => {}
        () = stop_signals.recv() => {}
    }
    Ok(())
}
