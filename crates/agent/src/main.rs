//! The `glenwood-agent` program. All of its code is in the library `glenwood_agent`.

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    glenwood_agent::run(&glenwood_agent::Arguments::parse())
}
