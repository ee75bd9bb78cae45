//! `glenctl demo --fleet`: rolls eight instances under load, first to a good release, then to one that hangs
//! and is rolled back. Servers and discovery are stand-ins.

use std::path::Path;
use std::process::ExitCode;
use std::time::Instant;

use glenwood_fleet::audit::digest;
use glenwood_testkit::fleet::{Load, Machine};

/// Number of instances.
const INSTANCES: usize = 8;

/// Runs the demo; the exit code is 0 only if no request was lost and both changes ended as expected.
pub fn run() -> ExitCode {
    let Ok(own_path) = std::env::current_exe() else {
        eprintln!("glenctl: the path of this program can't be determined");
        return ExitCode::FAILURE;
    };
    let sha256 = |path: &Path| std::fs::read(path).map(|bytes| digest(&bytes)).unwrap_or_default();
    eprintln!("{INSTANCES} instances of the release r1, an agent, 4 servers of both protocols, discovery: all on loopback");
    let machine = Machine::new(&own_path, sha256, "demo", INSTANCES, "");
    let load = Load::start(&machine.addresses);
    let mut violations = Vec::new();
    for (release, code, outcome) in [("r2", 0, "Done"), ("hangs", 1, "RolledBack")] {
        eprintln!("roll --to {release}, under load");
        let began = Instant::now();
        let output = machine.fleet(&["roll", "--to", release]);
        let output_text = String::from_utf8_lossy(&output.stdout).into_owned();
        eprint!("{}", String::from_utf8_lossy(&output.stderr));
        println!(
            "{} after {:.1} s",
            output_text.lines().last().unwrap_or("no output"),
            began.elapsed().as_secs_f64()
        );
        if output.status.code() != Some(code) || !output_text.contains(outcome) {
            violations.push(format!("the change to {release} should have ended as {outcome}"));
        }
    }
    // Updates the file of desired instances to the release now running; until then `status` reports drift.
    let file = machine.folder.join("fleet.toml");
    let text = std::fs::read_to_string(&file).unwrap_or_default().replace("release = 'r1'", "release = 'r2'");
    if let Err(e) = std::fs::write(&file, text) {
        violations.push(format!("{}: {e}", file.display()));
    }
    machine.fleet(&["apply"]);
    machine.wait_converged();
    let counts = load.end();
    print!("{}", String::from_utf8_lossy(&machine.fleet(&["status"]).stdout));
    println!(
        "{} asked, {} served, {} refused, {} lost, {} failed, {} times no node was ready",
        counts.asked, counts.served, counts.refused, counts.lost, counts.other, counts.no_node_ready
    );
    if counts.served != counts.asked || counts.no_node_ready > 0 || counts.asked == 0 {
        violations.push("a request was not served".to_string());
    }
    let repeated = machine.ledger.executed_repeatedly().len();
    if repeated > 0 {
        violations.push(format!("{repeated} requests were carried out more than once"));
    }
    let on_other_release =
        (0..INSTANCES).filter(|n| machine.instance(&format!("n{n}"))["release"] != "r2").count();
    if on_other_release > 0 {
        violations.push(format!("{on_other_release} instances do not run r2"));
    }
    for violation in &violations {
        println!("broken: {violation}");
    }
    if violations.is_empty() {
        println!("the rules held");
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
