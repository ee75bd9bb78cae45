//! Hosts instances of the decision module and exchanges JSON lines with the simulator over standard input and
//! output; see `glenwood_simhost::wire`.

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use glenwood_simhost::wire::Host;

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|panic_info| eprintln!("{panic_info}")));
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("glenwood-simhost: {message}");
            ExitCode::FAILURE
        }
    }
}

fn serve() -> Result<(), String> {
    let mut host = Host::default();
    let mut out = io::stdout().lock();
    for line in io::stdin().lock().lines() {
        let line = line.map_err(|e| e.to_string())?;
        if line.trim().is_empty() {
            continue;
        }
        let reply = host.process_batch(&line)?;
        writeln!(out, "{reply}").and_then(|()| out.flush()).map_err(|e| e.to_string())?;
    }
    Ok(())
}
