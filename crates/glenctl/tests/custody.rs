//! `glenctl custody` against nodes that keep custody records for one another.

use std::process::Command;
use std::sync::Arc;
use std::time::Duration;

use glenwood_testkit::client::{Ask, Effect};
use glenwood_testkit::node::Program;
use glenwood_testkit::rig::load::ask_at;
use glenwood_testkit::rig::{Plan, Rig, MEMBERS_LOG_PREFIX};
use glenwood_testkit::script::Step;
use glenwood_testkit::{runtime, until, wait};
use serde_json::json;

/// Runs `glenctl custody`; returns whether it succeeded and everything that it printed.
fn glenctl(arguments: &[&str]) -> (bool, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_glenctl"))
        .arg("custody")
        .args(arguments)
        .output()
        .expect("run glenctl");
    let output_bytes = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&output_bytes).into_owned())
}

#[test]
fn top_lists_works_in_custody_and_explain_shows_each_keepers_record() {
    let program = Program { path: env!("CARGO_BIN_EXE_glenctl").into(), arguments: vec!["node".into()] };
    let mut plan = Plan::new(program, 3, 1, Arc::new(|_| Step::ServeAfter(Duration::from_millis(1500))));
    plan.sockets = vec![MEMBERS_LOG_PREFIX, "custody: asks from "];
    plan.adjust_settings = |settings| {
        for class in settings["Classes"].as_array_mut().expect("settings have classes") {
            (class["Deadline"], class["Slo"]) = (json!(2000), json!(2000));
        }
    };
    plan.operator = Box::new(|_, _| {
        let keepers: String = (0..3).map(|n| format!("[[custody.keeper]]\nname = 'n{n}'\n")).collect();
        format!("[custody]\nlife_ms = 4000\n{keepers}")
    });
    let rig = Rig::start(plan);
    until("keepers vote", || (0..3).all(|n| rig.metric(n, "custody_votes") == Some(1)));
    let sockets: Vec<String> = (0..3).map(|n| rig.socket(n).display().to_string()).collect();
    let all: Vec<&str> = sockets.iter().map(String::as_str).collect();
    // The first inspection of a node takes longer than later ones, so it is done before the request.
    assert!(glenctl(&[&["top"][..], &all].concat()).0);
    let (address, mut ask) = (rig.address(1), Ask::new("slip", Effect::Unsafe, "t1", 1900));
    ask.path = "/w1".into();
    let answer = runtime().spawn(async move { ask_at(address, &ask).await });
    let mut work = String::new();
    until("top lists the work", || {
        let (ok, output_text) = glenctl(&[&["top"][..], &all].concat());
        assert!(ok, "{output_text}");
        let row = output_text.lines().find(|line| line.contains(" slip ") && line.contains(" n1 "));
        work = row.and_then(|row| row.split_whitespace().next()).unwrap_or_default().to_string();
        !work.is_empty()
    });
    let (ok, output_text) = glenctl(&[&["explain", &work[..16]][..], &all].concat());
    assert!(ok && output_text.matches("unsafe slip, held by n1").count() >= 2, "{output_text}");
    assert!(output_text.contains("meant ") && output_text.contains("verdict: "), "{output_text}");
    let _ = wait("the answer arrives", answer);
    let (ok, output_text) = glenctl(&["explain", "zzz", all[0]]);
    assert!(!ok && output_text.contains("zzz: none of these nodes keeps it"), "{output_text}");
    let (ok, output_text) = glenctl(&["top", "/nowhere.sock"]);
    assert!(!ok && output_text.lines().count() == 1, "{output_text}");
}
