//! `glenctl`: the command-line program for operators.
#![warn(missing_docs)]

mod configuration;
mod custody;
mod demo;
mod demo_fleet;
mod fleet;
mod register;
mod sockets;
mod stand_in;
mod trace;
mod usage;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand};

/// Command-line program for operators of the load balancer glenwood.
#[derive(Debug, Parser)]
#[command(name = "glenctl", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Pushes versioned configuration, and shows which version each node has
    Configuration(configuration::Arguments),
    /// Shows requests in custody, which nodes hold them, and the verdicts on those of lost nodes
    Custody(custody::Arguments),
    /// Runs two nodes against stand-ins with a crash, a drain and a restart, and checks what the node
    /// guarantees
    Demo(demo::Arguments),
    /// Shows or changes the instances on one or more machines through their agents
    Fleet(fleet::Arguments),
    /// Registers a server with the coordination service while it runs, and drains it before it stops
    Register(register::Arguments),
    /// Runs one stand-in until interrupted, and prints its address
    StandIn {
        /// Kind of stand-in
        #[command(subcommand)]
        kind: stand_in::Kind,
    },
    /// Sums up the traces in the logs of a fleet, by second and by server
    Trace {
        /// Log files, one per node; a folder stands for all files in it
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Shows how much tenants have used of their allowances, which span all nodes
    Usage(usage::Arguments),
    /// Writes the completion script for a shell to standard output
    Completions {
        /// Shell to write completions for
        #[arg(value_enum)]
        shell: clap_complete::Shell,
    },
    /// Runs an agent in this process, like the program glenwood-agent
    #[command(hide = true)]
    Agent(glenwood_agent::Arguments),
    /// Runs a configuration source or relay in this process, like the program glenwood-configuration
    #[command(hide = true)]
    Publisher(glenwood_publisher::Arguments),
    /// Runs one node in this process, like the program glenwood
    #[command(hide = true)]
    Node {
        /// Path of the operator's file
        #[arg(long)]
        operator: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Demo(arguments) => demo::run(&arguments),
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Arguments::command(), "glenctl", &mut std::io::stdout());
            ExitCode::SUCCESS
        }
        Command::Configuration(arguments) => configuration::run(arguments),
        Command::Publisher(arguments) => glenwood_publisher::run(&arguments),
        Command::Fleet(arguments) => fleet::run(&arguments),
        Command::Agent(arguments) => glenwood_agent::run(&arguments),
        Command::Register(arguments) => register::run(arguments),
        Command::Custody(arguments) => custody::run(arguments),
        Command::Usage(arguments) => usage::run(arguments),
        Command::Trace { logs } => trace::run(&logs),
        Command::StandIn { kind } => stand_in::run(&kind),
        Command::Node { operator } => glenwood_node::run(glenwood_node::Arguments { operator }),
    }
}
