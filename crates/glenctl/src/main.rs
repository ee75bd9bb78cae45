//! `glenctl`: the operators' program.
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

/// The operators' program of the load balancer glenwood.
#[derive(Debug, Parser)]
#[command(name = "glenctl", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Pushes configuration in versions, and shows how far everybody is
    Configuration(configuration::Arguments),
    /// Shows works in hand, who has them, and what became of those of lost nodes
    Custody(custody::Arguments),
    /// Runs two nodes between stand-ins of everything else, with a crash, a drain and a restart, and counts the rules
    Demo(demo::Arguments),
    /// Shows or changes the instances of one machine or many, by their agents
    Fleet(fleet::Arguments),
    /// Registers a server with the coordination service for as long as it runs, and drains it before it ends
    Register(register::Arguments),
    /// Runs one stand-in until it is interrupted, and prints its address
    StandIn {
        /// Which one
        #[command(subcommand)]
        what: stand_in::What,
    },
    /// Adds up the traces of a whole fleet's logs, by second and by server
    Trace {
        /// The nodes' logs, a file for each; a folder stands for all files in it
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Shows what tenants spend of allowances that hold over all nodes
    Usage(usage::Arguments),
    /// Writes a shell's completions of this program to standard output
    Completions {
        /// For which shell
        #[arg(value_enum)]
        shell: clap_complete::Shell,
    },
    /// Runs an agent in this process, as the program glenwood-agent does
    #[command(hide = true)]
    Agent(glenwood_agent::Arguments),
    /// Runs a source or a relay of configuration in this process, as the program glenwood-configuration does
    #[command(hide = true)]
    Publisher(glenwood_publisher::Arguments),
    /// Runs one node in this process, as the program glenwood does
    #[command(hide = true)]
    Node {
        /// The operator's own file
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
        Command::StandIn { what } => stand_in::run(&what),
        Command::Node { operator } => glenwood_node::run(glenwood_node::Arguments { operator }),
    }
}
