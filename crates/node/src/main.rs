//! The program `glenwood`; the code is in the library.

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    glenwood_node::run(glenwood_node::Arguments::parse())
}
