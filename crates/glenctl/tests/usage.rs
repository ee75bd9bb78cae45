//! `glenctl usage` against two nodes that share a tenant's allowance.

use std::io::{Read, Write};
use std::net::{TcpStream, UdpSocket};
use std::path::Path;
use std::process::Command;
use std::time::Duration;

use glenwood_testkit::discovery::{active, Discovery};
use glenwood_testkit::node::{config, settings, Node, Program};
use glenwood_testkit::script::{always, Ledger, Step};
use glenwood_testkit::server::{Identity, Protocol, StandIn};
use glenwood_testkit::until;
use serde_json::json;

/// Runs `glenctl usage`; returns whether it succeeded and everything that it printed.
fn glenctl(arguments: &[&str]) -> (bool, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_glenctl"))
        .arg("usage")
        .args(arguments)
        .output()
        .expect("run glenctl");
    let output_bytes = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&output_bytes).into_owned())
}

/// Sends one request for the tenant acme; true if it was served.
fn ask(node: &Node, txn: &str) -> bool {
    let mut stream = TcpStream::connect(node.address).expect("the node listens");
    let request = format!(
        "GET /look/1 HTTP/1.1\r\nHost: x\r\nX-Txn: {txn}\r\nX-Org: acme\r\nX-Remaining-Ms: 5000\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).expect("the node reads");
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer.starts_with("HTTP/1.1 200")
}

#[test]
fn usage_shows_spending_per_tenant_holdings_per_node_and_peers() {
    let identity = Identity { name: "a".into(), cell: 0, protocol: Protocol::Http };
    let server = StandIn::start(identity, always(Step::Serve), Ledger::new(Duration::from_secs(8)));
    let discovery = Discovery::start(&[active(&server)]);
    let folder = std::env::temp_dir().join(format!("glenctl-usage-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("create the folder");
    std::fs::write(folder.join("secret"), "sixteen bytes and more").expect("write the file");
    let addresses: Vec<String> = {
        let bound_sockets: Vec<UdpSocket> =
            (0..2).map(|_| UdpSocket::bind("127.0.0.1:0").expect("bind a port")).collect();
        bound_sockets.iter().map(|socket| socket.local_addr().expect("bound").to_string()).collect()
    };
    let path = |name: &str| folder.join(name).display().to_string();
    let program = Program { path: env!("CARGO_BIN_EXE_glenctl").into(), arguments: vec!["node".into()] };
    let nodes: Vec<Node> = (0..2)
        .map(|n| {
            let mut settings = settings(2000.0);
            settings["Customers"] = json!([{"Name": "acme", "QuotaPerS": 100.0}, {"Name": "idle", "QuotaPerS": 5.0}]);
            let operator = format!(
                "[inspect]\nsocket = '{}'\n[usage]\nsecret = '{}'\nwindow_ms = 1000\nexchange_ms = 50\ngone_ms = 2000\n\
                 [[usage.instance]]\nname = 'n0'\naddress = '{}'\n[[usage.instance]]\nname = 'n1'\naddress = '{}'\n",
                path(&format!("{n}.sock")),
                path("secret"),
                addresses[0],
                addresses[1]
            );
            Node::start(&program, &config(&format!("n{n}"), discovery.address, settings), Some(&operator))
        })
        .collect();
    nodes.iter().for_each(Node::wait_ready);
    let sockets = [path("0.sock"), path("1.sock")];
    until("both nodes count usage", || {
        sockets.iter().all(|s| glenctl(&["peers", s]).1.contains("own part: true"))
    });
    let (ok, output_text) = glenctl(&["peers", &sockets[0]]);
    assert!(
        ok && output_text.contains("n1") && output_text.contains("bound: nothing beyond an allowance"),
        "{output_text}"
    );
    let mut asked = 0;
    until("both nodes spend of the allowance in one window", || {
        for node in nodes.iter().cycle().take(10) {
            asked += 1;
            assert!(ask(node, &format!("t{asked}")));
        }
        let (ok, output_text) = glenctl(&["top", &sockets[0], &sockets[1]]);
        assert!(ok, "{output_text}");
        let row = output_text.lines().find(|line| line.starts_with("acme")).unwrap_or_default();
        let numbers: Vec<u64> = row.split_whitespace().skip(1).filter_map(|n| n.parse().ok()).collect();
        assert!(!output_text.contains("idle"), "a tenant without requests must not be listed");
        matches!(numbers[..], [100, spent, ..] if spent >= 10)
    });
    let (ok, output_text) = glenctl(&["explain", "acme", &sockets[0]]);
    assert!(ok && output_text.contains("100 allowed") && output_text.contains("here: "), "{output_text}");
    let (ok, output_text) = glenctl(&["explain", "nobody", &sockets[0]]);
    assert!(!ok && output_text.contains("nobody: nothing of it"), "{output_text}");
    let (ok, output_text) = glenctl(&["top", &path("none.sock")]);
    assert!(!ok && output_text.lines().count() == 1, "{output_text}");
    assert!(Path::new(&sockets[0]).exists());
    drop(nodes);
    let _ = std::fs::remove_dir_all(folder);
}
