//! A roll of eight instances under load, on embedded stand-ins: a good release, and one that hangs and is undone.

use std::path::Path;
use std::process::ExitCode;
use std::time::Instant;

use glenwood_fleet::audit::digest;
use glenwood_testkit::fleet::{Load, Machine};

const INSTANCES: usize = 8;

/// Runs it; the exit code is 0 only if nothing was lost, and both changes ended as they should.
pub fn run() -> ExitCode {
    let Ok(me) = std::env::current_exe() else {
        eprintln!("glenctl: this program's own file can't be found");
        return ExitCode::FAILURE;
    };
    let sha256 = |path: &Path| std::fs::read(path).map(|bytes| digest(&bytes)).unwrap_or_default();
    eprintln!("{INSTANCES} instances of the release r1, an agent, 4 servers of both protocols, discovery: all on loopback");
    let machine = Machine::new(&me, sha256, "demo", INSTANCES, "");
    let load = Load::start(&machine.addresses);
    let mut broken = Vec::new();
    for (release, code, words) in [("r2", 0, "Done"), ("hangs", 1, "RolledBack")] {
        eprintln!("roll --to {release}, under load");
        let began = Instant::now();
        let output = machine.fleet(&["roll", "--to", release]);
        let said = String::from_utf8_lossy(&output.stdout).into_owned();
        eprint!("{}", String::from_utf8_lossy(&output.stderr));
        println!(
            "{} after {:.1} s",
            said.lines().last().unwrap_or("nothing was said"),
            began.elapsed().as_secs_f64()
        );
        if output.status.code() != Some(code) || !said.contains(words) {
            broken.push(format!("{words} expected of the change to {release}"));
        }
    }
    // The operators write down what runs now: until then `status` calls it drift.
    let file = machine.folder.join("fleet.toml");
    let text = std::fs::read_to_string(&file).unwrap_or_default().replace("release = 'r1'", "release = 'r2'");
    if let Err(e) = std::fs::write(&file, text) {
        broken.push(format!("{}: {e}", file.display()));
    }
    machine.fleet(&["apply"]);
    machine.until_well();
    let counts = load.end();
    print!("{}", String::from_utf8_lossy(&machine.fleet(&["status"]).stdout));
    println!(
        "{} asked, {} served, {} refused, {} lost, {} failed, {} times no node was ready",
        counts.asked, counts.served, counts.refused, counts.lost, counts.other, counts.nowhere
    );
    if counts.served != counts.asked || counts.nowhere > 0 || counts.asked == 0 {
        broken.push("a request was not served".to_string());
    }
    let twice = machine.ledger.repeated().len();
    if twice > 0 {
        broken.push(format!("{twice} requests were carried out more than once"));
    }
    let old = (0..INSTANCES).filter(|n| machine.of(&format!("n{n}"))["release"] != "r2").count();
    if old > 0 {
        broken.push(format!("{old} instances do not run r2"));
    }
    for words in &broken {
        println!("broken: {words}");
    }
    if broken.is_empty() {
        println!("the rules held");
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
