//! `glenctl usage` beside two nodes that share a tenant's allowance.

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

fn glenctl(arguments: &[&str]) -> (bool, String) {
    let output =
        Command::new(env!("CARGO_BIN_EXE_glenctl")).arg("usage").args(arguments).output().expect("it runs");
    let said = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&said).into_owned())
}

fn ask(node: &Node, txn: &str) -> bool {
    let mut stream = TcpStream::connect(node.address).expect("the node listens");
    let words = format!(
        "GET /look/1 HTTP/1.1\r\nHost: x\r\nX-Txn: {txn}\r\nX-Org: acme\r\nX-Remaining-Ms: 5000\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(words.as_bytes()).expect("the node reads");
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer.starts_with("HTTP/1.1 200")
}

#[test]
fn it_shows_who_spends_what_each_node_holds_and_whom_it_hears() {
    let identity = Identity { name: "a".into(), cell: 0, protocol: Protocol::Http };
    let server = StandIn::start(identity, always(Step::Serve), Ledger::new(Duration::from_secs(8)));
    let discovery = Discovery::start(&[active(&server)]);
    let folder = std::env::temp_dir().join(format!("glenctl-usage-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    std::fs::write(folder.join("secret"), "sixteen bytes and more").expect("a file");
    let at: Vec<String> = {
        let held: Vec<UdpSocket> = (0..2).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port")).collect();
        held.iter().map(|socket| socket.local_addr().expect("bound").to_string()).collect()
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
                at[0],
                at[1]
            );
            Node::start(&program, &config(&format!("n{n}"), discovery.address, settings), Some(&operator))
        })
        .collect();
    nodes.iter().for_each(Node::wait_ready);
    let sockets = [path("0.sock"), path("1.sock")];
    until("both count", || sockets.iter().all(|s| glenctl(&["peers", s]).1.contains("own part: true")));
    let (fine, said) = glenctl(&["peers", &sockets[0]]);
    assert!(fine && said.contains("n1") && said.contains("bound: nothing beyond an allowance"), "{said}");
    let mut asked = 0;
    until("both have spent of it in one window", || {
        for node in nodes.iter().cycle().take(10) {
            asked += 1;
            assert!(ask(node, &format!("t{asked}")));
        }
        let (fine, said) = glenctl(&["top", &sockets[0], &sockets[1]]);
        assert!(fine, "{said}");
        let row = said.lines().find(|line| line.starts_with("acme")).unwrap_or_default();
        let numbers: Vec<u64> = row.split_whitespace().skip(1).filter_map(|n| n.parse().ok()).collect();
        assert!(!said.contains("idle"), "nothing was asked for it");
        matches!(numbers[..], [100, spent, ..] if spent >= 10)
    });
    let (fine, said) = glenctl(&["explain", "acme", &sockets[0]]);
    assert!(fine && said.contains("100 allowed") && said.contains("here: "), "{said}");
    let (fine, said) = glenctl(&["explain", "nobody", &sockets[0]]);
    assert!(!fine && said.contains("nobody: nothing of it"), "{said}");
    let (fine, said) = glenctl(&["top", &path("none.sock")]);
    assert!(!fine && said.lines().count() == 1, "{said}");
    assert!(Path::new(&sockets[0]).exists());
    drop(nodes);
    let _ = std::fs::remove_dir_all(folder);
}
