//! The report on its own state that the node binary serves on its inspect socket.

use std::path::PathBuf;
use std::time::Duration;

use glenwood_testkit::client::{ask_once, Answer, Ask, Effect};
use glenwood_testkit::discovery::{active, Discovery};
use glenwood_testkit::node::{config, settings, Node, Program};
use glenwood_testkit::script::{Ledger, Script, Step};
use glenwood_testkit::server::{Identity, Protocol, StandIn};
use glenwood_testkit::until;
use sha2::{Digest, Sha256};

fn socket_path(name: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("glenwood-inspect-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a folder");
    directory.join("n0.sock")
}

#[test]
fn a_node_reports_its_state_from_start_to_exit() {
    let path = socket_path("whole");
    // A file that an earlier node left at this path does not prevent the start.
    std::fs::write(&path, "left").expect("a file");
    let script: Script = std::sync::Arc::new(|seen| match seen.class.as_str() {
        "slip" => Step::Error { executed: true },
        _ => Step::Serve,
    });
    let identity = Identity { name: "s0".into(), cell: 0, protocol: Protocol::Http };
    let server = StandIn::start(identity, script, Ledger::new(Duration::from_secs(8)));
    let discovery = Discovery::start(&[active(&server)]);
    let program = Program::new(env!("CARGO_BIN_EXE_glenwood"));
    let operator = format!("[inspect]\nsocket = '{}'\n", path.display());
    let mut node = Node::start(&program, &config("n0", discovery.address, settings(400.0)), Some(&operator));
    node.wait_ready();
    for n in 0..5 {
        let ask = Ask::new("look", Effect::Safe, &format!("t{n}"), 1500);
        assert!(matches!(ask_once(Protocol::Http, node.address, &ask).0, Answer::Served(_)));
    }
    let ask = Ask::new("slip", Effect::Unsafe, "t9", 1500);
    assert_eq!(ask_once(Protocol::Http, node.address, &ask).0, Answer::Failed);
    let report = Node::inspect(&path).expect("it answers");
    assert_eq!(
        (&report["name"], &report["stage"], &report["servers"]),
        (&"n0".into(), &"ready".into(), &1.into())
    );
    assert_eq!((&report["answered"], &report["failed"], &report["open"]), (&6.into(), &1.into(), &0.into()));
    assert!(report["list_age_ms"].as_f64().is_some_and(|age| age < 10_000.0), "{report}");
    let file = std::fs::read(env!("CARGO_BIN_EXE_glenwood")).expect("the program");
    let digest: String = Sha256::digest(&file).iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(report["release"], digest);
    // Clients that connect and never read do not delay the shutdown.
    let _idle: Vec<_> =
        (0..20).map(|_| std::os::unix::net::UnixStream::connect(&path).expect("it listens")).collect();
    node.terminate();
    until("the node reports that it stops", || Node::inspect(&path).is_none_or(|r| r["stage"] == "stopping"));
    assert_eq!(node.exit_code(), Some(0));
    assert!(!path.exists(), "the socket is removed at the exit");
    let _ = std::fs::remove_dir_all(path.parent().expect("a folder"));
}

#[test]
fn a_socket_that_cannot_be_created_is_reported_in_one_line() {
    let path = socket_path("none").join("no-folder").join("n0.sock");
    let discovery = Discovery::start(&[]);
    let directory = path.ancestors().nth(2).and_then(|p| p.parent()).expect("a folder").to_path_buf();
    let operator = directory.join("node.toml");
    std::fs::write(&operator, format!("[inspect]\nsocket = '{}'\n", path.display())).expect("a file");
    let config_file = directory.join("config.json");
    let config = config("n0", discovery.address, settings(400.0));
    std::fs::write(&config_file, config.to_string()).expect("a file");
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_glenwood"))
        .arg("--operator")
        .arg(&operator)
        .env("BALANCER_CONFIG", &config_file)
        .output()
        .expect("it runs");
    let error_text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        !output.status.success()
            && error_text.contains("inspect.socket: ")
            && error_text.contains("No such file"),
        "{error_text}"
    );
    let _ = std::fs::remove_dir_all(directory);
}
