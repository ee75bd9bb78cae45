//! Runs the node binary between MessagePack-RPC clients and servers whose replies each test controls by
//! itself.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use bytes::Bytes;
use glenwood_msgpack_rpc::message::ErrorReply;
use glenwood_testkit::client::{ask_once, Answer, Ask, Client, Effect, RpcClient};
use glenwood_testkit::discovery::{active, host, Discovery};
use glenwood_testkit::node::{config, settings, Node, Program};
use glenwood_testkit::peer::{Peer, ReceivedCall};
use glenwood_testkit::script::{always, Ledger, Step};
use glenwood_testkit::server::{Identity, Protocol, StandIn};
use glenwood_testkit::{until, wait, WAIT_TIMEOUT};

const MSGPACK_SECTION: &str = "[msgpack]\nlisten = '127.0.0.1:0'\n";
const EFFECTS: [(&str, Effect); 3] =
    [("look", Effect::Safe), ("pay", Effect::Keyed), ("slip", Effect::Unsafe)];

fn program() -> Program {
    Program::new(env!("CARGO_BIN_EXE_glenwood"))
}

/// Starts a node whose servers are `peers`, all in one cell; `operator` is appended to the operator's file.
fn node_with(slo_ms: f64, operator: &str, peers: &[&Peer]) -> (Discovery, Node) {
    node_with_settings(settings(slo_ms), operator, peers)
}

fn node_with_settings(settings: serde_json::Value, operator: &str, peers: &[&Peer]) -> (Discovery, Node) {
    let hosts: Vec<_> = peers
        .iter()
        .enumerate()
        .map(|(n, peer)| host(&format!("s{n}"), peer.address, Protocol::Rpc, 1, "active", 0))
        .collect();
    let discovery = Discovery::start(&hosts);
    let config = config("n0", discovery.address, settings);
    let node = Node::start(&program(), &config, Some(&format!("{MSGPACK_SECTION}{operator}")));
    node.wait_ready();
    (discovery, node)
}

fn client(node: &Node) -> RpcClient {
    RpcClient::connect_to(node.address_for(Protocol::Rpc))
}

fn send(client: &mut RpcClient, ask: &Ask) -> u32 {
    wait("a call", client.send(ask)).expect("the node reads")
}

fn answer(client: &mut RpcClient, id: u32) -> Answer {
    wait("an answer", client.answer_to(id)).expect("the connection stands")
}

fn ok(content: &str) -> Result<Bytes, ErrorReply> {
    Ok(Bytes::copy_from_slice(content.as_bytes()))
}

fn served(content: &str) -> Answer {
    Answer::Served(content.as_bytes().to_vec())
}

fn txn(received: &ReceivedCall) -> String {
    received.call.txn.clone().unwrap_or_default()
}

/// A server closes a connection after it has read all calls and answered none: each of them may have run.
/// Safe calls are retried, keyed ones too within the cell, and an unsafe call reaches a server only once.
#[test]
fn a_connection_closed_with_open_calls_runs_no_unsafe_call_twice() {
    let (a, b) = (Peer::start(), Peer::start());
    let (_discovery, node) = node_with(10_000.0, "", &[&a, &b]);
    let mut client = client(&node);
    // One call of each effect goes to each of the two servers.
    let asks: Vec<Ask> =
        (0..6).map(|n| Ask::new(EFFECTS[n / 2].0, EFFECTS[n / 2].1, &format!("t{n}"), 15_000)).collect();
    let ids: Vec<u32> = asks.iter().map(|ask| send(&mut client, ask)).collect();
    let (calls_a, calls_b) = (a.calls(3), b.calls(3));
    assert_eq!((a.connections(), b.connections()), (1, 1), "one connection carries all calls");
    a.close(calls_a[0].conn);
    // The calls of `a` that may be retried arrive at one of the two servers.
    let expected_retries: BTreeSet<String> =
        calls_a.iter().filter(|c| c.call.class != "slip").map(txn).collect();
    let mut retried = BTreeSet::new();
    until("the retries", || {
        for peer in [&a, &b] {
            while peer.waiting() > 0 {
                let received = peer.call();
                assert_ne!(received.call.class, "slip", "an unsafe call arrived twice");
                retried.insert(txn(&received));
                peer.answer(&received, &ok("again"));
            }
        }
        retried.len() >= expected_retries.len()
    });
    assert_eq!(retried, expected_retries);
    calls_b.iter().for_each(|received| b.answer(received, &ok("first")));
    for (ask, id) in asks.iter().zip(ids) {
        let expected = match (calls_a.iter().any(|c| txn(c) == ask.txn), ask.class.as_str()) {
            (false, _) => served("first"),
            (true, "slip") => Answer::Failed,
            (true, _) => served("again"),
        };
        assert_eq!(answer(&mut client, id), expected, "{}", ask.txn);
    }
}

/// A server reads nothing and then breaks the connection. Calls whose last byte the kernel has not accepted
/// never ran and go to the other server, unsafe ones included; calls that were written whole are not retried.
#[test]
fn a_break_within_a_call_is_distinguished_from_a_break_after_it() {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    // How much the node's kernel accepts for sending depends on the receive buffer and on the segment size:
    // both are small here.
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    socket.set_tcp_mss(536).expect("small segments");
    socket.bind(&"127.0.0.1:0".parse::<std::net::SocketAddr>().expect("an address").into()).expect("a port");
    socket.listen(16).expect("it listens");
    let non_reading: std::net::TcpListener = socket.into();
    let good = Peer::start();
    let hosts = [
        host("s0", non_reading.local_addr().expect("bound"), Protocol::Rpc, 1, "active", 0),
        host("s1", good.address, Protocol::Rpc, 1, "active", 0),
    ];
    let discovery = Discovery::start(&hosts);
    let config = config("n0", discovery.address, settings(10_000.0));
    let node = Node::start(&program(), &config, Some(MSGPACK_SECTION));
    node.wait_ready();
    let mut client = client(&node);
    let asks: Vec<Ask> = (0..16)
        .map(|n| Ask {
            body: vec![n; 60 * 1024],
            ..Ask::new("slip", Effect::Unsafe, &format!("t{n}"), 15_000)
        })
        .collect();
    let ids: Vec<u32> = asks.iter().map(|ask| send(&mut client, ask)).collect();
    let (stuck, _) = non_reading.accept().expect("a connection");
    // Every second call arrives at the good server; the others are stuck at the one that does not read.
    let first = good.calls(8);
    first.iter().for_each(|received| good.answer(received, &ok("good")));
    drop(stuck);
    drop(non_reading);
    let calls_at_good: BTreeSet<String> = first.iter().map(txn).collect();
    let mut counts = (0, 0);
    let mut rerouted = BTreeSet::new();
    let mut answers = std::collections::BTreeMap::new();
    until("all answers", || {
        while good.waiting() > 0 {
            let received = good.call();
            assert!(
                !calls_at_good.contains(&txn(&received)) && rerouted.insert(txn(&received)),
                "{} arrived twice",
                txn(&received)
            );
            good.answer(&received, &ok("good"));
        }
        let next = glenwood_testkit::runtime()
            .block_on(async { tokio::time::timeout(Duration::from_millis(50), client.next()).await });
        if let Ok(Ok((id, answer))) = next {
            assert!(answers.insert(id, answer).is_none(), "answered twice");
        }
        answers.len() == 16
    });
    for (ask, id) in asks.iter().zip(ids) {
        match &answers[&id] {
            Answer::Served(_) => counts.0 += 1,
            // The kernel accepted the whole call: it may have run, so it is not retried.
            Answer::Failed => {
                assert!(!rerouted.contains(&ask.txn) && !calls_at_good.contains(&ask.txn));
                counts.1 += 1;
            }
            other => panic!("{}: {other:?}", ask.txn),
        }
    }
    assert!(!rerouted.is_empty(), "the calls that were not written whole go to the other server");
    assert_eq!(counts.0, 8 + rerouted.len());
}

/// Replies out of order, duplicate, to an unknown msgid, of a wrong type, and an invalid message between
/// valid ones: each call gets its own answer and no other.
#[test]
fn invalid_replies_are_dropped_and_valid_ones_reach_their_calls() {
    let peer = Peer::start();
    let (_discovery, node) = node_with(10_000.0, "", &[&peer]);
    let mut client = client(&node);
    let asks: Vec<Ask> = (0..5).map(|n| Ask::new("slip", Effect::Unsafe, &format!("t{n}"), 15_000)).collect();
    let ids: Vec<u32> = asks.iter().map(|ask| send(&mut client, ask)).collect();
    let received = peer.calls(5);
    let conn = received[0].conn;
    let call_of = |n: usize| received.iter().find(|c| txn(c) == format!("t{n}")).expect("it arrived");
    peer.answer(call_of(4), &ok("four"));
    peer.answer(call_of(2), &ok("two"));
    // A duplicate reply with another content.
    peer.answer(call_of(2), &ok("two again"));
    // A reply to a msgid that was never used.
    peer.answer(&ReceivedCall { id: 4_000_000, ..call_of(0).clone() }, &ok("whose?"));
    // A string where a bin is required: the call may have run, so it fails.
    let id = call_of(1).id;
    peer.send_raw(
        conn,
        &[&[0x94, 0x01, 0xce][..], &id.to_be_bytes(), &[0xc0, 0xa3, b'b', b'a', b'd']].concat(),
    );
    // A well-formed value that is no message, and a request from the server.
    peer.send_raw(conn, &[0x93, 0x05, 0xa1, b'x', 0xc0]);
    peer.send_raw(conn, &[0x94, 0x00, 0x00, 0xa1, b'x', 0x90]);
    peer.answer(call_of(0), &ok("zero"));
    peer.answer(call_of(3), &ok("three"));
    let expected = [served("zero"), Answer::Failed, served("two"), served("three"), served("four")];
    for (id, expected) in ids.iter().zip(expected) {
        assert_eq!(answer(&mut client, *id), expected);
    }
    // A connection with invalid replies is not trusted with further calls: the next call opens another one.
    let next = send(&mut client, &Ask::new("slip", Effect::Unsafe, "next", 15_000));
    let received = peer.call();
    assert_ne!(received.conn, conn);
    peer.answer(&received, &ok("next"));
    assert_eq!(answer(&mut client, next), served("next"));
    until("the first connection is closed", || peer.is_closed(conn));
    assert_eq!(peer.waiting(), 0, "an unsafe call was retried");
}

/// Bytes that can't be decoded end the connection. The calls open on it may have run, so unsafe ones fail.
#[test]
fn an_undecodable_stream_fails_the_calls_open_on_it() {
    let peer = Peer::start();
    let (_discovery, node) = node_with(10_000.0, "", &[&peer]);
    let mut client = client(&node);
    let ids: Vec<u32> = (0..3)
        .map(|n| send(&mut client, &Ask::new("slip", Effect::Unsafe, &format!("t{n}"), 15_000)))
        .collect();
    let received = peer.calls(3);
    peer.answer(&received[0], &ok("good"));
    peer.send_raw(received[0].conn, &[0xc1]);
    let mut kinds: Vec<&str> = ids.iter().map(|id| answer(&mut client, *id).kind()).collect();
    kinds.sort_unstable();
    assert_eq!(kinds, ["failed", "failed", "served"]);
    until("the connection is closed", || peer.is_closed(received[0].conn));
    assert_eq!(peer.waiting(), 0);
}

/// A call that was given up occupies its slot on the connection until its reply arrives, which is dropped.
#[test]
fn a_late_reply_is_dropped_and_frees_its_slot_on_the_connection() {
    let peer = Peer::start();
    let (_discovery, node) = node_with(2600.0, "calls_per_connection = 3\n", &[&peer]);
    let mut client = client(&node);
    let mut ask = |txn: &str, ms| send(&mut client, &Ask::new("slip", Effect::Unsafe, txn, ms));
    let (short, long) = ([ask("t0", 700), ask("t1", 700)], ask("t2", 15_000));
    let first = peer.calls(3);
    assert!(first.iter().all(|c| c.conn == first[0].conn));
    // The connection is not silent: a reply arrives after the two calls that are given up were sent.
    peer.answer(first.iter().find(|c| txn(c) == "t2").expect("it arrived"), &ok("two"));
    assert_eq!(answer(&mut client, long), served("two"));
    for id in short {
        assert_eq!(answer(&mut client, id), Answer::Failed);
    }
    // Two of the connection's three slots are still occupied.
    let next: Vec<u32> =
        ["t3", "t4"].map(|t| send(&mut client, &Ask::new("slip", Effect::Unsafe, t, 15_000))).into();
    let received = peer.calls(2);
    assert_eq!(received.iter().filter(|c| c.conn == first[0].conn).count(), 1);
    for old in first.iter().filter(|c| txn(c) != "t2") {
        peer.answer(old, &ok("late"));
    }
    received.iter().for_each(|c| peer.answer(c, &ok("next")));
    for id in next {
        assert_eq!(answer(&mut client, id), served("next"));
    }
    // The late replies have freed the slots: two connections carry six calls.
    let more: Vec<u32> = (5..11)
        .map(|n| send(&mut client, &Ask::new("slip", Effect::Unsafe, &format!("t{n}"), 15_000)))
        .collect();
    let received = peer.calls(6);
    received.iter().for_each(|c| peer.answer(c, &ok("more")));
    for id in more {
        assert_eq!(answer(&mut client, id), served("more"));
    }
    assert_eq!((peer.ids(), peer.connections()), ((11, false), 2));
}

/// A call that was given up still counts towards its server's concurrency limit, until its reply arrives.
#[test]
fn a_call_that_was_given_up_counts_as_open_until_its_reply() {
    let peer = Peer::start();
    // Without a reply a call holds its slot for most of the longest objective (Slo): 60 s, so that the slot
    // does not become free by itself on a slow machine.
    let mut settings = settings(2600.0);
    settings["Classes"][1]["Slo"] = 60_000.0.into();
    let (_discovery, node) = node_with_settings(settings, "calls_per_connection = 64\n", &[&peer]);
    let mut client = client(&node);
    let ids: Vec<u32> =
        (0..8).map(|n| send(&mut client, &Ask::new("slip", Effect::Unsafe, &format!("t{n}"), 700))).collect();
    let open_calls = peer.calls(8);
    for id in ids {
        assert_eq!(answer(&mut client, id), Answer::Failed);
    }
    // The server's concurrency limit is reached: nothing more is sent to it.
    let over_limit = send(&mut client, &Ask::new("look", Effect::Safe, "over", 690));
    assert!(matches!(answer(&mut client, over_limit), Answer::Refused(_)));
    assert_eq!(peer.waiting(), 0);
    open_calls.iter().for_each(|c| peer.answer(c, &ok("late")));
    let mut n = 0;
    until("a call is sent again", || {
        n += 1;
        let id = send(&mut client, &Ask::new("look", Effect::Safe, &format!("u{n}"), 1000));
        let sent_at = Instant::now();
        while sent_at.elapsed() < Duration::from_millis(100) && peer.waiting() == 0 {
            std::thread::sleep(Duration::from_millis(2));
        }
        let sent = peer.waiting() > 0;
        while peer.waiting() > 0 {
            peer.answer(&peer.call(), &ok("yes"));
        }
        assert!(sent || !matches!(answer(&mut client, id), Answer::Failed));
        sent
    });
}

/// A connection on which a call timed out, and nothing was received since it was written, gets no further
/// calls.
#[test]
fn a_silent_connection_gets_no_further_calls() {
    let peer = Peer::start();
    let (_discovery, node) = node_with(2600.0, "", &[&peer]);
    let mut client = client(&node);
    let short = send(&mut client, &Ask::new("slip", Effect::Unsafe, "t0", 700));
    let silent = peer.call();
    assert_eq!(answer(&mut client, short), Answer::Failed);
    let next = send(&mut client, &Ask::new("slip", Effect::Unsafe, "t1", 15_000));
    let received = peer.call();
    assert_ne!(received.conn, silent.conn);
    peer.answer(&received, &ok("yes"));
    assert_eq!(answer(&mut client, next), served("yes"));
    // The server answers a later call on another connection, so the silent one is dead. It is closed long
    // before the longest deadline.
    let wait_start = Instant::now();
    until("the silent connection is closed", || peer.is_closed(silent.conn));
    assert!(wait_start.elapsed() < Duration::from_secs(10), "{:?}", wait_start.elapsed());
}

/// Twenty unsafe calls are open on a connection that goes silent: each gets its answer in time, none is
/// retried, and later calls are served over another connection.
#[test]
fn a_silent_connection_with_twenty_calls_does_not_block_others() {
    let peer = Peer::start();
    // Late answers keep a value (LateValue), so calls are sent until their client gives up; calls that have
    // been open for long hold no slot in a concurrency limit.
    let mut settings = settings(200.0);
    for class in settings["Classes"].as_array_mut().expect("classes") {
        class["LateValue"] = 0.3.into();
        class["Deadline"] = 2000.0.into();
    }
    let (_discovery, node) =
        node_with_settings(settings, "calls_per_connection = 64\nopen_calls = 64\n", &[&peer]);
    let mut client = client(&node);
    let mut ids = Vec::new();
    let mut silent = Vec::new();
    for n in 0..400 {
        if silent.len() >= 20 {
            break;
        }
        ids.push(send(&mut client, &Ask::new("slip", Effect::Unsafe, &format!("t{n}"), 1500)));
        std::thread::sleep(Duration::from_millis(15));
        while peer.waiting() > 0 {
            silent.push(peer.call());
        }
    }
    assert!(silent.len() >= 20, "{} calls on the silent connection", silent.len());
    assert!(silent.iter().all(|c| c.conn == silent[0].conn), "they share one connection");
    let mut failed = 0;
    for id in ids {
        match answer(&mut client, id) {
            Answer::Failed => failed += 1,
            Answer::Refused(Some(retry_after_ms)) => assert!(retry_after_ms > 0),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(failed, silent.len(), "every call that was sent failed, all others were refused");
    // The server itself is healthy: it answers calls over a new connection.
    let mut n = 0;
    until("a call is served again", || {
        n += 1;
        let id = send(&mut client, &Ask::new("look", Effect::Safe, &format!("u{n}"), 1500));
        let sent_at = Instant::now();
        while sent_at.elapsed() < Duration::from_secs(1) && peer.waiting() == 0 {
            std::thread::sleep(Duration::from_millis(5));
        }
        while peer.waiting() > 0 {
            let received = peer.call();
            assert_ne!(received.conn, silent[0].conn, "the silent connection got another call");
            peer.answer(&received, &ok("well"));
        }
        answer(&mut client, id) == served("well")
    });
}

/// Calls that wait for a connection are not written if their server starts to drain meanwhile.
#[test]
fn a_drain_also_stops_calls_that_wait_for_a_connection() {
    // While a listener's backlog is full, no connection to it is established.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.bind(&"127.0.0.1:0".parse::<std::net::SocketAddr>().expect("an address").into()).expect("a port");
    socket.listen(0).expect("it listens");
    let full_listener: std::net::TcpListener = socket.into();
    let full_addr = full_listener.local_addr().expect("bound");
    let fillers: Vec<_> = (0..3)
        .filter_map(|_| std::net::TcpStream::connect_timeout(&full_addr, Duration::from_millis(300)).ok())
        .collect();
    let entry = |health| host("s0", full_addr, Protocol::Rpc, 1, health, 0);
    let discovery = Discovery::start(&[entry("active")]);
    let mut settings = settings(10_000.0);
    settings["Limits"]["ConnectTimeout"] = 50_000.0.into();
    let node = Node::start(&program(), &config("n0", discovery.address, settings), Some(MSGPACK_SECTION));
    node.wait_ready();
    let mut client = client(&node);
    let ids: Vec<u32> = (0..3)
        .map(|n| send(&mut client, &Ask::new("slip", Effect::Unsafe, &format!("t{n}"), 15_000)))
        .collect();
    // The node connects as soon as it has chosen a server for the calls.
    until("a connection is tried", || node.descriptors() > 8);
    std::thread::sleep(Duration::from_millis(300));
    discovery.update(entry("leaving"));
    std::thread::sleep(Duration::from_millis(600));
    // Now the connections are accepted. A call written within two seconds would be noticed.
    drop(fillers);
    full_listener.set_nonblocking(true).expect("a socket");
    let (mut streams, end) = (Vec::new(), Instant::now() + Duration::from_secs(2));
    while Instant::now() < end {
        if let Ok((stream, _)) = full_listener.accept() {
            stream.set_nonblocking(true).expect("a socket");
            streams.push(stream);
        }
        for stream in &mut streams {
            let mut bytes = [0; 64];
            let read = std::io::Read::read(stream, &mut bytes).unwrap_or(0);
            assert_eq!(read, 0, "a call was written after its server drained");
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    for id in ids {
        assert!(
            matches!(answer(&mut client, id), Answer::Refused(_)),
            "nothing ran, so the client may retry"
        );
    }
}

/// Two answers with the same msgid could not be told apart: the second call is not accepted, the open calls
/// are answered, and the connection is closed.
#[test]
fn a_reused_msgid_closes_its_connection_after_the_open_calls() {
    let peer = Peer::start();
    let (_discovery, node) = node_with(10_000.0, "", &[&peer]);
    let mut client = client(&node);
    let ask = |txn: &str| Ask::new("slip", Effect::Unsafe, txn, 15_000);
    let pipelined = [ask("t0").rpc(7), ask("other").rpc(8), ask("t1").rpc(7), ask("behind").rpc(9)].concat();
    wait("a write", client.send_raw(&pipelined)).expect("the node reads");
    let received = peer.calls(2);
    received.iter().for_each(|c| peer.answer(c, &ok("one answer")));
    let mut all = wait("the end", client.read_to_end());
    all.sort_by_key(|(id, _)| *id);
    assert_eq!(all, [(7, served("one answer")), (8, served("one answer"))]);
    assert_eq!(peer.waiting(), 0, "the second call was forwarded");
}

/// A notification has no answer, so it is dropped; the calls on the same connection are served.
#[test]
fn notifications_are_dropped_and_counted() {
    let peer = Peer::start();
    let (_discovery, node) = node_with(10_000.0, "", &[&peer]);
    let mut client = client(&node);
    let notification = [0x93, 0x02, 0xa4, b's', b'l', b'i', b'p', 0x90];
    wait("a write", client.send_raw(&[notification, notification].concat())).expect("the node reads");
    let id = send(&mut client, &Ask::new("slip", Effect::Unsafe, "t0", 15_000));
    let received = peer.call();
    assert_eq!(txn(&received), "t0");
    peer.answer(&received, &ok("yes"));
    assert_eq!(answer(&mut client, id), served("yes"));
    assert_eq!(peer.ids().0, 1);
    until("they are counted", || node.log().iter().any(|l| l.contains("notifications dropped")));
}

/// Announced lengths of 4 GB and a million levels of nesting take no memory and do not affect other clients.
#[test]
fn announced_lengths_and_deep_nesting_take_no_memory() {
    let peer = Peer::start();
    let (_discovery, node) = node_with(10_000.0, "", &[&peer]);
    let before = node.resident_bytes();
    let long = [0x94, 0x00, 0x05, 0xa4, b's', b'l', b'i', b'p', 0xc6, 0xff, 0xff, 0xff, 0xff];
    let wide = [0xdd, 0xff, 0xff, 0xff, 0xff];
    let deep = vec![0x91; 1_000_000];
    for bytes in [&long[..], &wide[..], &deep[..]] {
        for _ in 0..4 {
            let mut bad = client(&node);
            // The node may close the connection before everything is written.
            let _ = wait("a write", bad.send_raw(bytes));
            assert!(wait("the end", bad.read_to_end()).is_empty());
        }
    }
    let growth = node.resident_bytes().saturating_sub(before);
    assert!(growth < 8 * 1024 * 1024, "{growth} bytes more");
    let mut good = client(&node);
    let id = send(&mut good, &Ask::new("look", Effect::Safe, "t0", 15_000));
    peer.answer(&peer.call(), &ok("yes"));
    assert_eq!(answer(&mut good, id), served("yes"));
    assert_eq!(peer.ids().0, 1);
}

/// A call over the size limit gets its own error, and the calls around it are served.
#[test]
fn a_call_that_is_too_long_is_answered_between_valid_ones() {
    let peer = Peer::start();
    let (_discovery, node) = node_with(10_000.0, "", &[&peer]);
    let mut client = client(&node);
    let with =
        |txn: &str, n: usize| Ask { body: vec![1; n], ..Ask::new("slip", Effect::Unsafe, txn, 15_000) };
    let sizes = [10, 64 * 1024 + 1, 300 * 1024, 64 * 1024];
    let ids: Vec<u32> =
        sizes.iter().enumerate().map(|(n, size)| send(&mut client, &with(&format!("t{n}"), *size))).collect();
    let received = peer.calls(2);
    assert_eq!(received.iter().map(|c| c.call.body.len()).collect::<Vec<_>>(), [10, 64 * 1024]);
    received.iter().for_each(|c| peer.answer(c, &ok("yes")));
    let all: Vec<&str> = ids.iter().map(|id| answer(&mut client, *id).kind()).collect();
    assert_eq!(all, ["served", "too large", "too large", "served"]);
}

/// An invalid call is answered at once with the matching error, and nothing of it reaches a server.
#[test]
fn each_invalid_call_gets_its_own_error() {
    let peer = Peer::start();
    let (_discovery, node) = node_with(10_000.0, "", &[&peer]);
    let mut client = client(&node);
    let good = || Ask::new("pay", Effect::Keyed, "t0", 15_000);
    let bad = [
        (Ask { class: "sell".into(), ..good() }, Answer::UnknownClass),
        (Ask { txn: String::new(), ..good() }, Answer::BadRequest),
        (Ask { txn: "t 0".into(), ..good() }, Answer::BadRequest),
        (Ask { txn: "t".repeat(257), ..good() }, Answer::BadRequest),
        (Ask { key: None, ..good() }, Answer::BadRequest),
        (Ask { key: Some("k\r\nX: y".into()), ..good() }, Answer::BadRequest),
        (Ask { org: Some("a;b".into()), ..good() }, Answer::BadRequest),
        (Ask { user: Some("u\n".into()), ..good() }, Answer::BadRequest),
        (Ask { path: "/a b".into(), ..good() }, Answer::BadRequest),
        (Ask { path: "/a#b".into(), ..good() }, Answer::BadRequest),
        (Ask { path: "a".into(), ..good() }, Answer::BadRequest),
        (Ask { path: format!("/{}", "a".repeat(9000)), ..good() }, Answer::TooLarge),
        (Ask { body: b"x".to_vec(), ..Ask::new("look", Effect::Safe, "t0", 15_000) }, Answer::BadRequest),
    ];
    for (ask, expected) in bad {
        let id = send(&mut client, &ask);
        assert_eq!(answer(&mut client, id), expected, "{ask:?}");
    }
    let text = |s: &str| [&[0xa0 | s.len() as u8][..], s.as_bytes()].concat();
    let call = |entries: &[Vec<u8>]| {
        let map = [&[0x80 | (entries.len() / 2) as u8][..], &entries.concat()].concat();
        [&[0x94, 0x00, 0x64][..], &text("slip"), &[0x91], &map].concat()
    };
    let valid_fields = || vec![text("txn"), text("t0"), text("remaining_ms"), vec![0xcd, 0x3a, 0x98]];
    let duplicate_key = call(&[valid_fields(), vec![text("txn"), text("t1")]].concat());
    let text_body = call(&[valid_fields(), vec![text("body"), text("words")]].concat());
    let negative = call(&[text("txn"), text("t0"), text("remaining_ms"), vec![0xff]]);
    let integer_key = call(&[vec![0x01], text("t0")]);
    let no_map = [&[0x94, 0x00, 0x64][..], &text("slip"), &[0x91, 0x01]].concat();
    let short = [&[0x93, 0x00, 0x64][..], &text("slip")].concat();
    for bytes in [duplicate_key, text_body, negative, integer_key, no_map, short] {
        wait("a write", client.send_raw(&bytes)).expect("the node reads");
        assert_eq!(answer(&mut client, 0x64), Answer::BadRequest, "{bytes:x?}");
    }
    // The same id while the first call is open: forwarding it would run that call twice.
    let first = send(&mut client, &good());
    let received = peer.call();
    let second = send(&mut client, &good());
    assert_eq!(answer(&mut client, second), Answer::BadRequest);
    peer.answer(&received, &ok("yes"));
    assert_eq!(answer(&mut client, first), served("yes"));
    assert_eq!(peer.ids().0, 1);
}

/// A client closes after half a message: nothing of it is forwarded, and the client's open calls are
/// cancelled.
#[test]
fn half_a_message_and_a_close_leave_nothing_behind() {
    let peer = Peer::start();
    let (_discovery, node) = node_with(10_000.0, "", &[&peer]);
    let mut disconnected = client(&node);
    send(&mut disconnected, &Ask::new("look", Effect::Safe, "t0", 15_000));
    let open = peer.call();
    let half = Ask::new("slip", Effect::Unsafe, "half", 15_000).rpc(1);
    wait("a write", disconnected.send_raw(&half[..half.len() - 3])).expect("the node reads");
    drop(disconnected);
    let mut other = client(&node);
    // The client's open call is cancelled: its id may be used again.
    until("the id is free", || {
        let reused_id = send(&mut other, &Ask::new("look", Effect::Safe, "t0", 15_000));
        let sent_at = Instant::now();
        while sent_at.elapsed() < Duration::from_millis(200) && peer.waiting() == 0 {
            std::thread::sleep(Duration::from_millis(2));
        }
        let free = peer.waiting() > 0;
        if free {
            peer.answer(&peer.call(), &ok("again"));
        }
        answer(&mut other, reused_id) == if free { served("again") } else { Answer::BadRequest } && free
    });
    let id = send(&mut other, &Ask::new("slip", Effect::Unsafe, "t1", 15_000));
    let received = peer.call();
    assert_eq!(txn(&received), "t1");
    // The answer to the cancelled call is dropped, and the connection stays in use.
    peer.answer(&open, &ok("late"));
    peer.answer(&received, &ok("yes"));
    assert_eq!(answer(&mut other, id), served("yes"));
    assert_eq!((peer.ids().0, peer.connections()), (3, 1));
}

/// After SIGTERM the node answers its open calls, accepts further ones for a while, and exits with code 0.
#[test]
fn a_stopping_node_answers_its_open_calls() {
    let peer = Peer::start();
    let (_discovery, mut node) = node_with(10_000.0, "", &[&peer]);
    let mut client = client(&node);
    let open: Vec<u32> = (0..4)
        .map(|n| send(&mut client, &Ask::new("slip", Effect::Unsafe, &format!("t{n}"), 15_000)))
        .collect();
    let received = peer.calls(4);
    node.terminate();
    std::thread::sleep(Duration::from_millis(600));
    let late = send(&mut client, &Ask::new("slip", Effect::Unsafe, "late", 15_000));
    let last = peer.call();
    received.iter().chain([&last]).for_each(|c| peer.answer(c, &ok("yes")));
    for id in open.into_iter().chain([late]) {
        assert_eq!(answer(&mut client, id), served("yes"));
    }
    assert!(wait("the end", client.read_to_end()).is_empty());
    assert_eq!(node.exit_code(), Some(0));
}

/// A stopping node fails the calls that it can't finish before it exits: an answer is better than a reset.
#[test]
fn a_stopping_node_fails_what_it_cannot_finish() {
    let peer = Peer::start();
    let (_discovery, mut node) = node_with(10_000.0, "", &[&peer]);
    let mut client = client(&node);
    let id = send(&mut client, &Ask::new("slip", Effect::Unsafe, "t0", 15_000));
    let _held = peer.call();
    node.terminate();
    assert_eq!(answer(&mut client, id), Answer::Failed);
    assert_eq!(node.exit_code(), Some(0));
}

fn start_stand_in(name: &str, protocol: Protocol, step: Step, ledger: &Ledger) -> StandIn {
    let identity = Identity { name: name.into(), cell: 1, protocol };
    StandIn::start(identity, always(step), ledger.clone())
}

/// One client sends ten thousand calls as fast as it can: each gets exactly one answer, calls beyond the
/// limits are refused at once, nothing runs twice, and another client is served meanwhile.
#[test]
fn ten_thousand_calls_at_once_have_one_answer_each() {
    const CALLS: usize = 10_000;
    let ledger = Ledger::new(WAIT_TIMEOUT);
    let servers = ["s0", "s1"].map(|name| start_stand_in(name, Protocol::Rpc, Step::Serve, &ledger));
    let discovery = Discovery::start(&servers.each_ref().map(active));
    let node =
        Node::start(&program(), &config("n0", discovery.address, settings(10_000.0)), Some(MSGPACK_SECTION));
    node.wait_ready();
    let (http, rpc) = (node.address_for(Protocol::Http), node.address_for(Protocol::Rpc));
    let flood = std::thread::spawn(move || {
        glenwood_testkit::runtime().block_on(async {
            let stream = tokio::net::TcpStream::connect(rpc).await.expect("it listens");
            let mut client = RpcClient::new(stream);
            let all: Vec<u8> = (0..CALLS as u32)
                .flat_map(|n| Ask::new("slip", Effect::Unsafe, &format!("f{n}"), 60_000).rpc(n).to_vec())
                .collect();
            let mut seen = vec![0; CALLS];
            let (mut served, mut refused, mut written) = (0, 0, 0);
            // Alternates between writing a piece and reading the available answers, so that the two sides
            // can't deadlock.
            while served + refused < CALLS {
                if written < all.len() {
                    let end = (written + 32 * 1024).min(all.len());
                    client.send_raw(&all[written..end]).await.expect("the node reads");
                    written = end;
                }
                let patience = if written < all.len() { Duration::from_millis(1) } else { WAIT_TIMEOUT };
                while let Ok(next) = tokio::time::timeout(patience, client.next()).await {
                    let (id, answer) = next.expect("the connection stands");
                    seen[id as usize] += 1;
                    match answer {
                        Answer::Served(_) => served += 1,
                        Answer::Refused(_) => refused += 1,
                        other => panic!("{other:?}"),
                    }
                    if served + refused == CALLS {
                        break;
                    }
                }
            }
            assert!(seen.iter().all(|n| *n == 1));
            (served, refused)
        })
    });
    let mut others = 0;
    while !flood.is_finished() {
        others += 1;
        let ask = Ask::new("look", Effect::Safe, &format!("o{others}"), 15_000);
        let (answer, _) = ask_once(Protocol::Http, http, &ask);
        assert!(matches!(answer, Answer::Served(_) | Answer::Refused(_)), "{answer:?}");
    }
    let (served, refused) = flood.join().expect("no panic");
    assert_eq!(served + refused, CALLS);
    assert!(served > 0 && others > 0);
    assert_eq!(ledger.executed_repeatedly(), []);
    assert!(ledger.ids() >= served);
}

/// The node stops reading from a client that does not read its answers, and buffers no more for it than its
/// limits.
#[test]
fn a_client_that_does_not_read_answers_is_not_read_from() {
    // 83 MB of calls, most of them refused at once because a call with the same id is open: far more answers
    // than the buffers hold, and more calls than the kernel may buffer (4 MB at the client, 32 MB at the
    // node). Made before the client connects, as the node closes a connection that stays silent.
    let calls: Vec<u8> =
        (0..200_000).flat_map(|n| Ask::new("slip", Effect::Unsafe, "t", 60_000).rpc(n).to_vec()).collect();
    let ledger = Ledger::new(WAIT_TIMEOUT);
    let server = start_stand_in("s0", Protocol::Rpc, Step::Serve, &ledger);
    let discovery = Discovery::start(&[active(&server)]);
    let node =
        Node::start(&program(), &config("n0", discovery.address, settings(10_000.0)), Some(MSGPACK_SECTION));
    node.wait_ready();
    let before = node.resident_bytes();
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    // With the system's maximum receive buffer of up to 32 MB, all answers would fit into the kernel's
    // buffers.
    socket.set_recv_buffer_size(64 * 1024).expect("a small buffer");
    socket.connect(&node.address_for(Protocol::Rpc).into()).expect("the node listens");
    let mut non_reading: std::net::TcpStream = socket.into();
    non_reading.set_write_timeout(Some(Duration::from_secs(3))).expect("a socket");
    let is_stuck = (0..5).any(|_| std::io::Write::write_all(&mut non_reading, &calls).is_err());
    assert!(is_stuck, "the node read all calls");
    let growth = node.resident_bytes().saturating_sub(before);
    assert!(growth < 24 * 1024 * 1024, "{growth} bytes more");
    let (answer, _) = ask_once(Protocol::Http, node.address, &Ask::new("look", Effect::Safe, "o", 15_000));
    assert!(matches!(answer, Answer::Served(_) | Answer::Refused(_)), "{answer:?}");
}

/// With a shared listener (`msgpack.shared`) the first byte of a connection tells the two protocols apart.
#[test]
fn one_listener_takes_both_protocols() {
    let ledger = Ledger::new(WAIT_TIMEOUT);
    let server = start_stand_in("s0", Protocol::Http, Step::Serve, &ledger);
    let discovery = Discovery::start(&[active(&server)]);
    let config = config("n0", discovery.address, settings(10_000.0));
    let node = Node::start(&program(), &config, Some("[msgpack]\nshared = true\n"));
    node.wait_ready();
    for (n, protocol) in Protocol::BOTH.into_iter().cycle().take(6).enumerate() {
        let ask = Ask::new("pay", Effect::Keyed, &format!("t{n}"), 15_000);
        let (answer, _) = ask_once(protocol, node.address, &ask);
        let Answer::Served(body) = answer else { panic!("{protocol:?}: {answer:?}") };
        assert!(body.ends_with(&ask.body), "the body is unchanged, byte for byte");
    }
    // Without the operator's file the same bytes are not a valid request.
    let without_msgpack = Node::start(&program(), &config, None);
    without_msgpack.wait_ready();
    let ask = Ask::new("look", Effect::Safe, "t", 1000);
    let (answer, _) = ask_once(Protocol::Rpc, without_msgpack.address, &ask);
    assert_eq!(answer, Answer::Lost);
}

/// The list or the operator's file says which servers speak MessagePack-RPC, and probes use the server's
/// protocol.
#[test]
fn the_list_or_the_operators_file_marks_msgpack_servers() {
    let ledger = Ledger::new(WAIT_TIMEOUT);
    let servers = ["s0", "s1", "s2"].map(|name| start_stand_in(name, Protocol::Rpc, Step::Serve, &ledger));
    let unmarked = |n: usize, kind: &str| {
        let mut entry = host(&format!("s{n}"), servers[n].address, Protocol::Http, 1, "active", 0);
        entry["class"] = kind.into();
        entry
    };
    let discovery = Discovery::start(&[active(&servers[0]), unmarked(1, "m9"), unmarked(2, "m1")]);
    let operator = format!("{MSGPACK_SECTION}server_kinds = ['m9']\nserver_hosts = ['s2']\n");
    let node = Node::start(&program(), &config("n0", discovery.address, settings(10_000.0)), Some(&operator));
    node.wait_ready();
    let outcomes: BTreeSet<bool> = (0..6)
        .map(|n| {
            let ask = Ask::new("slip", Effect::Unsafe, &format!("t{n}"), 15_000);
            matches!(ask_once(Protocol::Http, node.address, &ask).0, Answer::Served(_))
        })
        .collect();
    assert_eq!(outcomes, BTreeSet::from([true]));
    assert!(servers.iter().all(|s| s.open_connections() > 0), "each server is in rotation");
}

/// A server that is down is probed in its own protocol, and returns to rotation once it is back.
#[test]
fn a_server_that_is_back_is_found_by_its_probe() {
    let ledger = Ledger::new(WAIT_TIMEOUT);
    let first = start_stand_in("s0", Protocol::Rpc, Step::Serve, &ledger);
    let (socket_address, identity) = (first.address, first.identity.clone());
    let discovery = Discovery::start(&[active(&first)]);
    let node =
        Node::start(&program(), &config("n0", discovery.address, settings(500.0)), Some(MSGPACK_SECTION));
    node.wait_ready();
    let mut n = 0;
    let mut ask = || {
        n += 1;
        ask_once(
            Protocol::Rpc,
            node.address_for(Protocol::Rpc),
            &Ask::new("slip", Effect::Unsafe, &format!("t{n}"), 1000),
        )
        .0
    };
    assert!(matches!(ask(), Answer::Served(_)));
    drop(first);
    // A request that was out when the connection ended fails; that alone takes no server out of rotation.
    until("the node finds no server to send to", || matches!(ask(), Answer::Refused(_)));
    let _back = StandIn::start_at(socket_address, identity, always(Step::Serve), ledger.clone());
    until("the server is back in rotation", || matches!(ask(), Answer::Served(_)));
    assert!(ledger.probes() > 0);
    assert_eq!(ledger.executed_repeatedly(), []);
}

/// With an invalid operator's file the program exits with one line that names the file, the field and the
/// reason.
#[test]
fn a_bad_operators_file_ends_the_program_with_one_line() {
    let file = std::env::temp_dir().join(format!("glenwood-bad-{}.toml", std::process::id()));
    std::fs::write(&file, "[msgpack]\nopen_calls = 'many'\n").expect("a file");
    let discovery: std::net::SocketAddr = "127.0.0.1:1".parse().expect("an address");
    let json = std::env::temp_dir().join(format!("glenwood-bad-{}.json", std::process::id()));
    std::fs::write(&json, config("n0", discovery, settings(100.0)).to_string()).expect("a file");
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_glenwood"));
    command.arg("--operator").arg(&file).env("BALANCER_CONFIG", &json).env_remove("BALANCER_DISCOVERY");
    let output = command.output().expect("it runs");
    let error_text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(error_text.trim_end().lines().count(), 1, "{error_text}");
    let expected = "msgpack.open_calls: a whole number from 1 to 1024 expected, not \"many\"";
    assert!(
        error_text.contains(expected) && error_text.contains(&file.display().to_string()),
        "{error_text}"
    );
    for path in [file, json] {
        let _ = std::fs::remove_file(path);
    }
}

/// A client that sends one request at a time over one connection gets its answers in order, in either
/// protocol.
#[test]
fn a_kept_connection_serves_call_after_call() {
    let ledger = Ledger::new(WAIT_TIMEOUT);
    let server = start_stand_in("s0", Protocol::Rpc, Step::Serve, &ledger);
    let discovery = Discovery::start(&[active(&server)]);
    let node =
        Node::start(&program(), &config("n0", discovery.address, settings(10_000.0)), Some(MSGPACK_SECTION));
    node.wait_ready();
    for protocol in Protocol::BOTH {
        let socket_address = node.address_for(protocol);
        let mut client = wait("a connection", Client::connect(protocol, socket_address)).expect("it listens");
        for n in 0..20 {
            let ask = Ask::new("pay", Effect::Keyed, &format!("{}{n}", protocol.name()), 15_000);
            let Answer::Served(body) = wait("an answer", client.ask(&ask)) else { panic!("not served") };
            assert!(body.starts_with(ask.txn.as_bytes()) && body.ends_with(&ask.body));
        }
    }
    assert_eq!(server.open_connections(), 1, "one connection to the server is enough");
}

/// Calls beyond a connection's limit, or beyond the memory for answers, are refused at once with a
/// Retry-After, while the calls before them go on.
#[test]
fn calls_over_a_bound_are_refused_at_once() {
    // Either two open calls per connection, or 8 MB of memory, a quarter of which has room for 31 answers.
    for (operator, memory_mb, accepted_range) in
        [("open_calls = 2\n", 192, 2..=2), ("open_calls = 1024\n", 8, 20..=31)]
    {
        let peers =
            [Peer::start(), Peer::start(), Peer::start(), Peer::start(), Peer::start(), Peer::start()];
        let hosts: Vec<_> =
            (0..6).map(|n| host(&format!("s{n}"), peers[n].address, Protocol::Rpc, 1, "active", 0)).collect();
        let discovery = Discovery::start(&hosts);
        let mut config = config("n0", discovery.address, settings(10_000.0));
        config["limits"]["memory_mb"] = memory_mb.into();
        let node = Node::start(&program(), &config, Some(&format!("{MSGPACK_SECTION}{operator}")));
        node.wait_ready();
        let mut client = client(&node);
        let ids: Vec<u32> = (0..40)
            .map(|n| send(&mut client, &Ask::new("slip", Effect::Unsafe, &format!("t{n}"), 15_000)))
            .collect();
        let mut refused = 0;
        let mut accepted = Vec::new();
        until("all calls are refused or have reached a server", || {
            accepted.extend(
                peers.iter().flat_map(|p| (0..p.waiting()).map(|_| (p, p.call())).collect::<Vec<_>>()),
            );
            let next = glenwood_testkit::runtime()
                .block_on(async { tokio::time::timeout(Duration::from_millis(20), client.next()).await });
            if let Ok(next) = next {
                let (_, answer) = next.expect("the connection stands");
                assert!(matches!(answer, Answer::Refused(Some(1..=2000))), "{answer:?}");
                refused += 1;
            }
            refused + accepted.len() == 40
        });
        assert!(accepted_range.contains(&accepted.len()), "{operator}: {} accepted", accepted.len());
        accepted.iter().for_each(|(peer, received)| peer.answer(received, &ok("yes")));
        for _ in 0..accepted.len() {
            assert_eq!(wait("an answer", client.next()).expect("the connection stands").1, served("yes"));
        }
        // The slots are free again.
        let id = send(&mut client, &Ask::new("slip", Effect::Unsafe, "after", 15_000));
        until("the call arrives", || peers.iter().any(|p| p.waiting() > 0));
        let peer = peers.iter().find(|p| p.waiting() > 0).expect("found");
        peer.answer(&peer.call(), &ok("after"));
        assert_eq!(answer(&mut client, id), served("after"));
        assert_eq!(ids.len(), 40);
    }
}
