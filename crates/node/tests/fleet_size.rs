//! What each node of a large fleet must handle by itself, tested on the real program.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use glenwood_testkit::client::{ask_once, Answer, Ask, Effect};
use glenwood_testkit::discovery::{active, Discovery};
use glenwood_testkit::node::{config, settings, Node, Program};
use glenwood_testkit::script::{Ledger, Script, Step};
use glenwood_testkit::server::{Identity, Protocol, StandIn};
use glenwood_testkit::until;
use glenwood_trace::Tables;
use serde_json::{json, Value};

fn start_server() -> StandIn {
    let script: Script = Arc::new(|_| Step::Serve);
    let identity = Identity { name: "s0".into(), cell: 0, protocol: Protocol::Http };
    StandIn::start(identity, script, Ledger::new(Duration::from_secs(8)))
}

fn program() -> Program {
    Program::new(env!("CARGO_BIN_EXE_glenwood"))
}

/// Guards against a failure in which a release killed seven in ten nodes: nodes that discovery could not
/// answer at once reported for 2.5 s that they were not ready, though they had a list, and the other three
/// received all requests.
#[test]
fn a_node_with_a_saved_list_is_ready_before_discovery_answers() {
    let server = start_server();
    // Accepts connections and never answers.
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let mut node_config = config("n0", silent.local_addr().expect("bound"), settings(400.0));
    node_config["known"] = json!({"seq": 41, "whole": true, "hosts": [active(&server)]});
    let node = Node::start(&program(), &node_config, None);
    assert!(node.is_ready(), "at the first readiness check");
    assert!(served(&node, "t1"));
}

/// A node that has no list has no server to send requests to, so it is not ready.
#[test]
fn a_node_without_a_list_waits_for_discovery() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let node =
        Node::start(&program(), &config("n0", silent.local_addr().expect("bound"), settings(400.0)), None);
    assert!(!node.is_ready());
}

/// The trace that the operator's file switches on is enough to count what a fleet does; without it no trace
/// is written.
#[test]
fn a_trace_tells_of_calls_connections_attempts_and_answers() {
    let server = start_server();
    let discovery = Discovery::start(&[active(&server)]);
    let node_config = config("n0", discovery.address, settings(400.0));
    for (operator, on) in [(Some("[trace]\non = true\n"), true), (Some("[trace]\n"), false), (None, false)] {
        let node = Node::start(&program(), &node_config, operator);
        node.wait_ready();
        for n in 0..3 {
            assert!(served(&node, &format!("t{n}")));
        }
        let bad = Ask::new("none", Effect::Safe, "t9", 1500);
        assert!(!matches!(ask_once(Protocol::Http, node.address, &bad).0, Answer::Served(_)));
        let count = |node: &Node| {
            let mut tables = Tables::default();
            let taken = node.log().iter().filter(|line| tables.add_line("n0", line)).count();
            (taken, tables.aggregate())
        };
        if !on {
            assert_eq!(count(&node).0, 0);
            continue;
        }
        until("all is traced", || count(&node).1 .0.values().map(|s| s.answers[0]).sum::<usize>() == 3);
        let (_, (seconds, servers)) = count(&node);
        let sum = |field: fn(&glenwood_trace::Second) -> usize| seconds.values().map(field).sum::<usize>();
        assert_eq!((sum(|s| s.accepted), sum(|s| s.sends.0), sum(|s| s.sends.1)), (3, 3, 0));
        assert!(sum(|s| s.calls.0) >= 1 && sum(|s| s.lists) >= 1);
        let totals = &servers["s0"];
        assert_eq!(
            (totals.sends, totals.answered.0, totals.connects),
            (3, 3, 1),
            "idle connections are reused"
        );
    }
}

/// A discovery service that answers each call with the bytes that `script` returns for the call's number and
/// path, and then closes the connection; an empty answer amounts to a reset.
struct Scripted {
    address: std::net::SocketAddr,
    calls: Arc<Mutex<Vec<String>>>,
}

impl Scripted {
    fn new(script: impl Fn(usize, &str) -> Vec<u8> + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let calls: Arc<Mutex<Vec<String>>> = Arc::default();
        let seen = calls.clone();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let mut head = Vec::new();
                let mut byte = [0];
                while !head.ends_with(b"\r\n\r\n") && matches!(stream.read(&mut byte), Ok(1)) {
                    head.push(byte[0]);
                }
                let path = String::from_utf8_lossy(&head).split(' ').nth(1).unwrap_or_default().to_string();
                let number = {
                    let mut seen = seen.lock().expect("no panic");
                    seen.push(path.clone());
                    seen.len()
                };
                // Fails if the node has given up the call, which is fine.
                let _ = stream.write_all(&script(number, &path));
            }
        });
        Self { address, calls }
    }

    fn count(&self) -> usize {
        self.calls.lock().expect("no panic").len()
    }
}

fn chunked(lines: &[String]) -> Vec<u8> {
    let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for line in lines {
        bytes.extend(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).bytes());
    }
    bytes
}

fn list(seq: u64, whole: bool, hosts: &[Value]) -> String {
    json!({"seq": seq, "whole": whole, "hosts": hosts}).to_string()
}

fn served(node: &Node, txn: &str) -> bool {
    let ask = Ask::new("look", Effect::Safe, txn, 1500);
    matches!(ask_once(Protocol::Http, node.address, &ask).0, Answer::Served(_))
}

/// Guards the rule on drains when discovery cuts answers off: a node that then waited for 7 s, as it does
/// before an overloaded service, kept sending to servers that it would have been told to leave. Here each of
/// many cuts would cost that wait.
#[test]
fn an_answer_that_is_cut_off_anywhere_is_asked_for_again_at_once_and_changes_nothing() {
    let server = start_server();
    let whole = chunked(&[list(
        42,
        false,
        &[json!({"host": "s0", "dial": "127.0.0.1:1", "site": "a", "class": "m1",
        "block": 0, "health": "leaving", "share": 1.0, "born_ms": 0})],
    )]);
    let head = whole.windows(4).position(|w| w == b"\r\n\r\n").expect("a head") + 4;
    // From the first byte after the head to the last one before the end of the line.
    let cuts: Vec<usize> = (head..whole.len() - 3).step_by(30).collect();
    let cut_count = cuts.len();
    let discovery = Scripted::new(move |number, _| whole[..cuts[(number - 1) % cut_count]].to_vec());
    let mut node_config = config("n0", discovery.address, settings(400.0));
    node_config["settings"]["PeersTotal"] = 100.into();
    node_config["known"] = json!({"seq": 41, "whole": true, "hosts": [active(&server)]});
    let node = Node::start(&program(), &node_config, None);
    until("all cuts were tried", || discovery.count() > cut_count);
    assert!(served(&node, "t1"), "the list is unchanged");
    let reports = node.log().iter().filter(|line| line.contains("cut off")).count();
    assert!(reports >= 1, "{:?}", node.log());
    assert!(discovery.calls.lock().expect("no panic").iter().all(|path| path.contains("from=41")));
}

/// A list that is empty, older than the known one or unreadable leaves the known list as it is, and is logged
/// once.
#[test]
fn bad_lists_change_nothing_and_each_is_logged_once() {
    let server = start_server();
    let good = active(&server);
    let mut gone = good.clone();
    gone["dial"] = "127.0.0.1:1".into();
    let bad: Vec<(&str, Vec<u8>)> = vec![
        ("empty list", chunked(&[list(42, true, &[])])),
        ("older than the known 41", chunked(&[list(40, true, std::slice::from_ref(&gone))])),
        ("older than the known 41", chunked(&[list(39, false, std::slice::from_ref(&gone))])),
        ("cut off", chunked(&["{\"seq\": 43, \"whole\": true, \"hosts\": [".into()])),
        ("not taken", chunked(&[json!({"seq": 43, "whole": true, "hosts": [{"host": "s0"}]}).to_string()])),
        ("status 503", b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_vec()),
        ("discovery:", Vec::new()),
    ];
    for (expected_log, bytes) in bad {
        let discovery = Scripted::new(move |_, _| bytes.clone());
        let mut node_config = config("n0", discovery.address, settings(400.0));
        node_config["known"] = json!({"seq": 41, "whole": true, "hosts": [good]});
        // A single node asks again soon after any failure.
        let node = Node::start(&program(), &node_config, None);
        // Stops at the first report: an old list received twice in a row means a service that restarted its
        // numbering, which another test covers.
        until("it was called", || {
            discovery.count() >= 1 && node.log().iter().any(|line| line.contains(expected_log))
        });
        assert!(served(&node, "t1"), "{expected_log}: the list is unchanged");
        assert_eq!(
            node.log().iter().filter(|line| line.contains(expected_log)).count(),
            1,
            "{:?}",
            node.log()
        );
    }
}

/// 5,000 names at one address, as after a fault in the system that writes the list: the node serves and keeps
/// running.
#[test]
fn a_list_of_five_thousand_names_at_one_address_serves() {
    let server = start_server();
    let hosts: Vec<Value> = (0..5000)
        .map(|n| {
            let mut host = active(&server);
            host["host"] = format!("s{n}").into();
            host
        })
        .collect();
    let discovery = Discovery::start(&hosts);
    let mut node_config = config("n0", discovery.address, settings(5000.0));
    node_config["settings"]["PeersTotal"] = 400.into();
    let mut node = Node::start(&program(), &node_config, None);
    node.wait_ready();
    for n in 0..50 {
        assert!(served(&node, &format!("t{n}")), "{n}");
    }
    assert!(node.is_running());
}

/// Guards a release that the list reports late, over real sockets: a server that turns all requests away,
/// because it has too many connections or drains, is probed after two of them and avoided after two more.
#[test]
fn a_server_that_turns_away_is_soon_left_alone() {
    let tried = Arc::new(Mutex::new(0));
    let count = tried.clone();
    let script: Script = Arc::new(move |_| {
        *count.lock().expect("no panic") += 1;
        Step::TurnAway
    });
    let identity = Identity { name: "s1".into(), cell: 0, protocol: Protocol::Http };
    let rejecting = StandIn::start(identity, script, Ledger::new(Duration::from_secs(8)));
    let good = start_server();
    let discovery = Discovery::start(&[active(&good), active(&rejecting)]);
    let node = Node::start(&program(), &config("n0", discovery.address, settings(400.0)), None);
    node.wait_ready();
    for n in 0..40 {
        assert!(served(&node, &format!("t{n}")), "{n}");
    }
    let tried = *tried.lock().expect("no panic");
    assert!((1..=6).contains(&tried), "{tried} of 40 requests went to the server that turns them away");
}
