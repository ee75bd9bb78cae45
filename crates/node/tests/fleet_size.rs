//! What a node that is one of many must do by itself, on the real program.

use std::net::TcpListener;
use std::time::Duration;

use glenwood_testkit::client::{ask_once, Answer, Ask, Effect};
use glenwood_testkit::discovery::{active, Discovery};
use glenwood_testkit::node::{config, settings, Node, Program};
use glenwood_testkit::script::{Ledger, Script, Step};
use glenwood_testkit::server::{Identity, Protocol, StandIn};
use glenwood_testkit::until;
use glenwood_trace::Tables;
use serde_json::json;

fn server() -> StandIn {
    let script: Script = std::sync::Arc::new(|_| Step::Serve);
    let identity = Identity { name: "s0".into(), cell: 0, protocol: Protocol::Http };
    StandIn::start(identity, script, Ledger::new(Duration::from_secs(8)))
}

fn program() -> Program {
    Program::new(env!("CARGO_BIN_EXE_glenwood"))
}

/// Guards a release that killed seven in ten nodes: those that discovery could not answer at once said for 2.5 s that they
/// were not ready, though they had a list, and the three others were sent everything.
#[test]
fn a_node_with_a_saved_list_is_ready_before_discovery_answers() {
    let server = server();
    // Takes calls, and never says a word.
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let mut told = config("n0", silent.local_addr().expect("bound"), settings(400.0));
    told["known"] = json!({"seq": 41, "whole": true, "hosts": [active(&server)]});
    let node = Node::start(&program(), &told, None);
    assert!(node.says_ready(), "to the first that asks");
    let ask = Ask::new("look", Effect::Safe, "t1", 1500);
    assert!(matches!(ask_once(Protocol::Http, node.address, &ask).0, Answer::Served(_)));
}

/// Without a list there is nothing to be ready with.
#[test]
fn a_node_without_a_list_waits_for_discovery() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let node =
        Node::start(&program(), &config("n0", silent.local_addr().expect("bound"), settings(400.0)), None);
    assert!(!node.says_ready());
}

/// What the operator's file switches on is enough to count what a fleet does; without it nothing is said.
#[test]
fn a_trace_tells_of_calls_connections_attempts_and_answers() {
    let server = server();
    let discovery = Discovery::start(&[active(&server)]);
    let told = config("n0", discovery.address, settings(400.0));
    for (operator, on) in [(Some("[trace]\non = true\n"), true), (Some("[trace]\n"), false), (None, false)] {
        let node = Node::start(&program(), &told, operator);
        node.wait_ready();
        for n in 0..3 {
            let ask = Ask::new("look", Effect::Safe, &format!("t{n}"), 1500);
            assert!(matches!(ask_once(Protocol::Http, node.address, &ask).0, Answer::Served(_)));
        }
        let bad = Ask::new("none", Effect::Safe, "t9", 1500);
        assert!(!matches!(ask_once(Protocol::Http, node.address, &bad).0, Answer::Served(_)));
        let count = |node: &Node| {
            let mut tables = Tables::default();
            let taken = node.log().iter().filter(|line| tables.take("n0", line)).count();
            (taken, tables.count())
        };
        if !on {
            assert_eq!(count(&node).0, 0);
            continue;
        }
        until("all is written", || count(&node).1 .0.values().map(|s| s.answers[0]).sum::<usize>() == 3);
        let (_, (seconds, servers)) = count(&node);
        let sum = |of: fn(&glenwood_trace::Second) -> usize| seconds.values().map(of).sum::<usize>();
        assert_eq!((sum(|s| s.asked), sum(|s| s.sends.0), sum(|s| s.sends.1)), (3, 3, 0));
        assert!(sum(|s| s.calls.0) >= 1 && sum(|s| s.lists) >= 1);
        let of = &servers["s0"];
        assert_eq!((of.sends, of.done.0, of.connects), (3, 3, 1), "kept connections are not opened again");
    }
}
