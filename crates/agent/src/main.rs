//! The program `glenwood-agent`; see the library.

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    glenwood_agent::run(&glenwood_agent::Arguments::parse())
}
