//! One node of the load balancer: the sockets, without decisions, which the core makes.
//!
//! Dependencies go one way: `front`, `backend`, `discovery` and `registrations` use [`hub`], which uses the
//! core and none of them; [`runtime`] uses all of them and connects them.
#![warn(missing_docs)]

pub mod admin;
pub mod arrival;
pub mod backend;
pub mod blocks;
pub mod call;
pub mod clock;
pub mod config;
pub mod configuration;
pub mod custody;
pub mod discovery;
pub mod errno;
pub mod front;
pub mod headers;
pub mod hub;
pub mod identity;
pub mod inspect;
pub mod list;
pub mod log;
pub mod members;
pub mod operator;
pub mod pace;
pub mod registrations;
pub mod requests;
pub mod runtime;
pub mod sock;
pub mod upgrade;
pub mod upload_progress;
pub mod usage;

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use tokio::task::LocalSet;

/// One node of the load balancer glenwood. The environment says what it serves and where: BALANCER_CONFIG
/// names its configuration file; BALANCER_NAME, BALANCER_LISTEN and BALANCER_DISCOVERY take precedence over
/// the file.
#[derive(Debug, Parser)]
#[command(name = "glenwood", version)]
pub struct Arguments {
    /// The operator's file; without it, everything that it can enable is off
    #[arg(long, value_name = "FILE", env = "GLENWOOD_OPERATOR")]
    pub operator: Option<PathBuf>,
}

/// Runs a node in this process, with its log on standard error, until it is told to stop.
pub fn run(arguments: Arguments) -> ExitCode {
    let config = match config::load(arguments.operator.as_deref()) {
        Ok(config) => config,
        Err(message) => return fail(&message),
    };
    // A panic ends the process: a task that panics leaves its requests unanswered, and may leave the core
    // in an inconsistent state. A process that ends is restarted; one that keeps running half broken is
    // not.
    std::panic::set_hook(Box::new(|fault| {
        log::write_line(format!("panic: {fault}"));
        // Leaves time to write the line; a full pipe must not delay the exit.
        std::thread::sleep(std::time::Duration::from_millis(50));
        std::process::exit(101);
    }));
    log::start();
    let build = || tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match errno::retry_at_start(build) {
        Ok(runtime) => runtime,
        Err(error) => return fail(&format!("runtime: {error}")),
    };
    match LocalSet::new().block_on(&runtime, runtime::serve(config, arguments.operator)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => fail(&message),
    }
}

fn fail(message: &str) -> ExitCode {
    // The exit code reports the failure where standard error can't be written.
    let _ = writeln!(std::io::stderr(), "glenwood: {}", message.replace('\n', " "));
    ExitCode::FAILURE
}
