//! Entry point of the program `glenwood-configuration`; see the library.

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    glenwood_publisher::run(&glenwood_publisher::Arguments::parse())
}
