//! `glenctl fleet` on real instances under an agent, while clients of both protocols keep sending requests.

use std::path::Path;
use std::process::{Command, Stdio};

use glenwood_fleet::audit::{digest, Trail};
use glenwood_testkit::fleet::{is_ready, Load, Machine};
use glenwood_testkit::script::Ledger;
use glenwood_testkit::{until, wait};
use serde_json::Value;

const GLENCTL: &str = env!("CARGO_BIN_EXE_glenctl");

fn machine(name: &str, instances: usize, more: &str) -> Machine {
    let sha256 = |path: &Path| digest(&std::fs::read(path).expect("read the program"));
    Machine::new(Path::new(GLENCTL), sha256, name, instances, more)
}

/// Asserts that no request with an effect was carried out more than once.
fn assert_no_repeated_execution(ledger: &Ledger) {
    let repeated: Vec<_> = ledger.executed_repeatedly().into_iter().collect();
    assert!(repeated.is_empty(), "carried out more than once: {repeated:?}");
}

/// Rolls eight instances under load to another release and configuration, and kills the agent halfway.
#[test]
fn eight_instances_are_rolled_under_load_while_the_agent_is_killed() {
    let mut machine = machine("eight", 8, "");
    let pids_before = machine.pids();
    let versions: Vec<String> = (0..8)
        .map(|n| machine.instance(&format!("n{n}"))["config"].as_str().expect("a version").into())
        .collect();
    // The roll also changes the configuration files.
    std::fs::write(machine.folder.join("own.toml"), "[msgpack]\nshared = true\nopen_calls = 16\n")
        .expect("write the file");
    let load = Load::start(&machine.addresses);
    let mut roll = machine.command(&["roll", "--to", "r2", "--no-wait"]);
    assert!(roll.stdout(Stdio::null()).status().is_ok_and(|s| s.success()));
    until("some instances are done", || {
        machine.status().is_some_and(|s| s["change"][1].as_u64().is_some_and(|done| done >= 3))
    });
    machine.kill_agent();
    let serving = machine.addresses.iter().filter(|a| wait("an answer", is_ready(**a))).count();
    assert!(serving >= 7, "{serving} serve while the agent is dead");
    machine.start_agent();
    for more in [5, 7] {
        until("more instances are done", || {
            machine.status().is_some_and(|s| s["change"][1].as_u64().is_none_or(|done| done >= more))
        });
    }
    until("the change is over", || machine.status().is_some_and(|s| s["change"].is_null()));
    let status = machine.status().expect("the agent answers");
    assert_eq!(status["outcome"][0], "Done", "{}", machine.agent_log());
    let counts = load.end();
    for (n, version) in versions.iter().enumerate() {
        let instance = machine.instance(&format!("n{n}"));
        assert_eq!(instance["release"], "r2");
        assert_ne!(instance["config"].as_str(), Some(version.as_str()));
    }
    let pids_after = machine.pids();
    assert!(
        pids_after.len() == 8 && pids_after.iter().all(|pid| !pids_before.contains(pid)),
        "{pids_before:?} {pids_after:?}"
    );
    assert!(counts.asked > 1000, "{counts:?}");
    assert_eq!((counts.served, counts.no_node_ready), (counts.asked, 0), "{counts:?}");
    assert_no_repeated_execution(&machine.ledger);
}

/// A new release that starts and never answers is rolled back, and no request fails.
#[test]
fn a_release_that_hangs_is_rolled_back_under_load() {
    let machine = machine("hangs", 3, "");
    let text = std::fs::read_to_string(machine.folder.join("fleet.toml")).expect("the file exists");
    let shorter = text.replace("ready_within_ms = 10000", "ready_within_ms = 1500");
    std::fs::write(machine.folder.join("fleet.toml"), shorter).expect("write the file");
    assert!(machine.fleet(&["apply"]).status.success());
    let load = Load::start(&machine.addresses);
    let output = machine.fleet(&["roll", "--to", "hangs"]);
    let output_text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(1), "{output_text}");
    assert!(output_text.contains("RolledBack: n0 was not ready in time"), "{output_text}");
    machine.wait_converged();
    let counts = load.end();
    assert_eq!((counts.served, counts.no_node_ready), (counts.asked, 0), "{counts:?}");
    assert_no_repeated_execution(&machine.ledger);
    for n in 0..3 {
        assert_eq!(machine.instance(&format!("n{n}"))["release"], "r1");
    }
    // A release whose file does not match its digest is never started.
    let output = machine.fleet(&["roll", "--to", "other"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(machine.agent_log().contains("not the file with the digest of other"));
    machine.wait_converged();
}

/// The agent restarts a crashed instance but not a stopped one, stops a protected one only with a reason,
/// tells a second operator who holds the lease, and records every action in the audit trail.
#[test]
fn instances_are_restarted_started_and_stopped() {
    let machine = machine("kept", 2, "[[protect]]\nnames = ['n1']");
    let pid = machine.instance("n0")["pid"].as_u64().expect("the process runs");
    assert!(Command::new("kill").arg("-KILL").arg(pid.to_string()).status().is_ok_and(|s| s.success()));
    until("n0 is back", || machine.instance("n0")["pid"].as_u64().is_some_and(|now| now != pid));
    machine.wait_converged();
    assert!(machine.fleet(&["stop", "n0"]).status.success());
    until("it is stopped", || machine.instance("n0")["pid"].is_null());
    assert!(machine.fleet(&["start", "n0"]).status.success());
    machine.wait_converged();
    let refused = machine.fleet(&["stop", "n1"]);
    assert_eq!(refused.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&refused.stderr).contains("n1 is protected at this time"));
    assert!(machine.fleet(&["stop", "n1", "--override", "the disk fails"]).status.success());
    let unknown = machine.fleet(&["stop", "n7"]);
    assert_eq!(unknown.status.code(), Some(3));
    until("it is stopped", || machine.instance("n1")["pid"].is_null());
    assert_eq!(
        machine.fleet(&["status"]).status.code(),
        Some(0),
        "an instance stopped by an operator is no drift"
    );
    // `plan` prints the steps of a change without taking them. `retire` refuses a running instance and
    // removes a stopped one.
    let plan = machine.fleet(&["plan", "--to", "r2"]);
    let plan = String::from_utf8_lossy(&plan.stdout).into_owned();
    assert!(plan.starts_with("1. n0: r1 -> r2: stop, start, wait until ready, compare\n2. n1: "), "{plan}");
    assert!(plan.contains("noted only; protected now"), "{plan}");
    assert_eq!(machine.fleet(&["retire", "n0"]).status.code(), Some(3));
    assert_eq!(machine.fleet(&["retire", "n1"]).status.code(), Some(0));
    assert!(machine.instance("n1").is_null());
    assert!(machine.fleet(&["apply"]).status.success(), "the file still lists n1");
    machine.wait_converged();
    assert!(machine.fleet(&["stop", "n1", "--override", "again"]).status.success());
    until("it is stopped", || machine.instance("n1")["pid"].is_null());
    // Another operator holds the lease.
    let lease = glenwood_agent::talk::AgentCommand::Lease {
        who: "ben".into(),
        why: "a look".into(),
        epoch: None,
        span_ms: 60_000.0,
    };
    let granted = glenwood_agent::talk::send_command(&machine.socket(), &lease);
    assert!(matches!(granted, Ok(glenwood_agent::talk::Reply::Granted(_))), "{granted:?}");
    let refused = machine.fleet(&["start", "n1"]);
    assert_eq!(refused.status.code(), Some(3));
    let output_text = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(output_text.contains("held by ben (uid ") && output_text.contains("(a look)"), "{output_text}");
    let trail =
        std::fs::read_to_string(machine.folder.join("run").join("audit")).expect("read the audit trail");
    let (_, entries) = Trail::read(&trail).expect("the audit trail is intact");
    let what: Vec<&str> = entries.iter().map(|e| e.what.as_str()).collect();
    let all = [
        "apply",
        "stop n0",
        "start n0",
        "stop n1 the disk fails",
        "retire n0",
        "retire n1",
        "apply",
        "stop n1 again",
    ];
    assert_eq!(what, all);
    // A second agent in the same folder exits at once.
    let second = Command::new(GLENCTL)
        .args(["agent", "--fleet"])
        .arg(machine.folder.join("fleet.toml"))
        .arg("--folder")
        .arg(machine.folder.join("run"))
        .output()
        .expect("the process runs");
    assert!(String::from_utf8_lossy(&second.stderr).contains("another agent has this folder"));
    let unreachable =
        Command::new(GLENCTL).args(["fleet", "--agents", "/nowhere/agent.sock", "status"]).output();
    assert_eq!(unreachable.expect("the process runs").status.code(), Some(4));
    assert!(Path::new(&machine.folder).exists());
}

/// Of three machines one agent can't be reached: the other two grant the lease and are changed, and the third
/// is reported. When another operator holds the lease at two of three agents, nobody else gets it.
#[test]
fn agents_are_changed_under_one_lease_and_an_unreachable_one_is_reported() {
    let mut machines: Vec<Machine> = (0..3).map(|n| machine(&format!("many{n}"), 1, "")).collect();
    let agents: Vec<String> = machines.iter().map(|m| m.socket().display().to_string()).collect();
    let agents = agents.join(",");
    let fleet = |arguments: &[&str]| {
        let mut command = Command::new(GLENCTL);
        command
            .args(["fleet", "--who", "ada", "--agents", &agents])
            .args(arguments)
            .output()
            .expect("the process runs")
    };
    machines[2].kill_agent();
    let output = fleet(&["roll", "--to", "r2"]);
    let output_text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(4), "{output_text}");
    assert!(output_text.contains("many2"), "{output_text}");
    machines[2].start_agent();
    let releases: Vec<Value> = machines.iter().map(|m| m.instance("n0")["release"].clone()).collect();
    assert_eq!(releases, ["r2", "r2", "r1"]);
    // Ben holds the lease at two of three agents.
    for machine in &machines[..2] {
        let epoch = machine.status().expect("the agent answers")["epoch"].as_u64().map(|e| e + 1);
        let (who, why) = ("ben".to_string(), "a look".to_string());
        let lease = glenwood_agent::talk::AgentCommand::Lease { who, why, epoch, span_ms: 60_000.0 };
        let granted = glenwood_agent::talk::send_command(&machine.socket(), &lease);
        assert!(matches!(granted, Ok(glenwood_agent::talk::Reply::Granted(_))), "{granted:?}");
    }
    let output = fleet(&["roll", "--to", "r2"]);
    let output_text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.code() == Some(3) && output_text.contains("held by ben"), "{output_text}");
    assert_eq!(machines[2].instance("n0")["release"], "r1", "the third agent alone is no majority");
    assert!(
        machines[2].status().expect("the agent answers")["lease"].is_null(),
        "the lease that it granted was returned"
    );
    // As the only agent named, it is a majority of one.
    assert!(machines[2].fleet(&["roll", "--to", "r2"]).status.success());
    assert_eq!(machines[2].instance("n0")["release"], "r2");
}

/// When the disk is full the agent refuses actions that it can't record, logs the error, keeps answering, and
/// recovers by itself once there is room. Its instances keep running, and a restarted agent finds them and
/// its records.
#[test]
fn a_full_disk_blocks_the_agents_actions_but_not_the_instances() {
    let mut machine = machine("full", 2, "");
    let pid = machine.instance("n1")["pid"].clone();
    machine.kill_agent();
    machine.start_agent_with_file_size_limit(8);
    let disk_full = || machine.agent_log().contains("File too large");
    let mut rounds = 0;
    while !disk_full() {
        // Each command writes some records; one that is refused for lack of room changes nothing.
        machine.fleet(&["stop", "n0"]);
        machine.fleet(&["start", "n0"]);
        rounds += 1;
        assert!(rounds < 200, "{}", machine.agent_log());
    }
    for _ in 0..3 {
        assert!(
            !machine.fleet(&["start", "n0"]).status.success(),
            "nothing that was not recorded is granted"
        );
        assert!(machine.status().is_some(), "the agent answers");
    }
    assert!(wait("an answer", is_ready(machine.addresses[1])), "n1 keeps running");
    machine.lift_file_size_limit();
    // The lease granted before the disk was full may still be held until it expires.
    until("n0 is started", || machine.fleet(&["start", "n0"]).status.success());
    machine.wait_converged();
    assert!(!machine.agent_ended(), "{}", machine.agent_log());
    machine.kill_agent();
    machine.start_agent();
    machine.wait_converged();
    assert_eq!(machine.instance("n1")["pid"], pid, "the running instance was found, not restarted");
}

/// The agent keeps answering when its log can't be written because standard error is on a full disk.
#[test]
fn an_agent_whose_log_cannot_be_written_keeps_running() {
    let machine = machine("mute", 1, "");
    let folder = machine.folder.join("mute");
    let full_device = std::fs::OpenOptions::new().write(true).open("/dev/full").expect("open /dev/full");
    let mut agent = Command::new(GLENCTL)
        .args(["agent", "--fleet"])
        .arg(machine.folder.join("fleet.toml"))
        .arg("--folder")
        .arg(&folder)
        .stderr(full_device)
        .spawn()
        .expect("start glenctl");
    let status = || {
        let mut command = Command::new(GLENCTL);
        command.args(["fleet", "--agents"]).arg(folder.join("agent.sock")).arg("status");
        command.output().is_ok_and(|output| output.status.success())
    };
    until("the agent answers or has exited", || status() || matches!(agent.try_wait(), Ok(Some(_))));
    assert!(matches!(agent.try_wait(), Ok(None)), "the agent has exited");
    agent.kill().expect("the process runs");
    agent.wait().expect("wait for the process");
}

/// While an operator follows a change only that operator can abort it; another one is told who holds the
/// lease.
#[test]
fn a_change_is_aborted_only_by_the_operator_with_the_lease() {
    let machine = machine("word", 2, "");
    let mut roll = machine.command(&["roll", "--to", "hangs"]);
    let mut roll = roll.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("start glenctl");
    until("the change is in progress", || {
        machine.status().is_some_and(|s| !s["change"].is_null() && !s["lease"].is_null())
    });
    let mut other = Command::new(GLENCTL);
    let other = other.args(["fleet", "--who", "ben", "--agents"]).arg(machine.socket()).arg("abort").output();
    let other = other.expect("the process runs");
    let output_text = String::from_utf8_lossy(&other.stderr).into_owned();
    assert!(other.status.code() == Some(3) && output_text.contains("held by ada (uid "), "{output_text}");
    assert!(machine.fleet(&["abort"]).status.success());
    until("the roll ends", || matches!(roll.try_wait(), Ok(Some(_))));
    assert_eq!(roll.wait().expect("wait for the process").code(), Some(1));
    let outcome = machine.status().expect("the agent answers")["outcome"].clone();
    assert_eq!(outcome, serde_json::json!(["RolledBack", "an operator's word"]));
    machine.wait_converged();
}
