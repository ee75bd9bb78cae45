//! The real program between MessagePack-RPC clients and a server that each test plays by hand: the hard cases.

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

const OWN: &str = "[msgpack]\nlisten = '127.0.0.1:0'\n";
const EFFECTS: [(&str, Effect); 3] =
    [("look", Effect::Safe), ("pay", Effect::Keyed), ("slip", Effect::Unsafe)];

fn program() -> Program {
    Program::new(env!("CARGO_BIN_EXE_glenwood"))
}

/// A node whose servers are at these peers, all in one cell, and what else the operator's file says.
fn node_with(aim: f64, operator: &str, peers: &[&Peer]) -> (Discovery, Node) {
    node_set(settings(aim), operator, peers)
}

fn node_set(settings: serde_json::Value, operator: &str, peers: &[&Peer]) -> (Discovery, Node) {
    let hosts: Vec<_> = peers
        .iter()
        .enumerate()
        .map(|(n, peer)| host(&format!("s{n}"), peer.address, Protocol::Rpc, 1, "active", 0))
        .collect();
    let discovery = Discovery::start(&hosts);
    let config = config("n0", discovery.address, settings);
    let node = Node::start(&program(), &config, Some(&format!("{OWN}{operator}")));
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

fn ok(words: &str) -> Result<Bytes, ErrorReply> {
    Ok(Bytes::copy_from_slice(words.as_bytes()))
}

fn served(words: &str) -> Answer {
    Answer::Served(words.as_bytes().to_vec())
}

fn txn(came: &ReceivedCall) -> String {
    came.call.txn.clone().unwrap_or_default()
}

/// The server ends the connection when all calls have come whole and none is answered: each may have run. What is safe
/// to repeat is repeated, a keyed one too within its cell, and an unsafe one reaches a server once.
#[test]
fn a_connection_that_ends_after_its_calls_costs_no_second_run() {
    let (a, b) = (Peer::start(), Peer::start());
    let (_discovery, node) = node_with(10_000.0, "", &[&a, &b]);
    let mut client = client(&node);
    // One of each effect to each of the two servers.
    let asks: Vec<Ask> =
        (0..6).map(|n| Ask::new(EFFECTS[n / 2].0, EFFECTS[n / 2].1, &format!("t{n}"), 15_000)).collect();
    let ids: Vec<u32> = asks.iter().map(|ask| send(&mut client, ask)).collect();
    let (at_a, at_b) = (a.calls(3), b.calls(3));
    assert_eq!((a.connections(), b.connections()), (1, 1), "one connection holds them");
    a.close(at_a[0].conn);
    // Those of `a` that may be repeated come to one of the two.
    let repeated: BTreeSet<String> = at_a.iter().filter(|c| c.call.class != "slip").map(txn).collect();
    let mut again = BTreeSet::new();
    until("the repeats", || {
        for peer in [&a, &b] {
            while peer.waiting() > 0 {
                let came = peer.call();
                assert_ne!(came.call.class, "slip", "an unsafe call came twice");
                again.insert(txn(&came));
                peer.answer(&came, &ok("again"));
            }
        }
        again.len() >= repeated.len()
    });
    assert_eq!(again, repeated);
    at_b.iter().for_each(|came| b.answer(came, &ok("first")));
    for (ask, id) in asks.iter().zip(ids) {
        let wanted = match (at_a.iter().any(|c| txn(c) == ask.txn), ask.class.as_str()) {
            (false, _) => served("first"),
            (true, "slip") => Answer::Failed,
            (true, _) => served("again"),
        };
        assert_eq!(answer(&mut client, id), wanted, "{}", ask.txn);
    }
}

/// A server that takes nothing in, and then breaks the connection: calls whose last byte was never handed over never
/// ran, and go to the other server, the unsafe ones too; those that were whole do not.
#[test]
fn a_connection_that_breaks_within_a_call_is_told_from_one_that_breaks_behind_it() {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    // What the node's kernel takes follows from the size of segments; both are made small.
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    socket.set_tcp_mss(536).expect("small segments");
    socket.bind(&"127.0.0.1:0".parse::<std::net::SocketAddr>().expect("an address").into()).expect("a port");
    socket.listen(16).expect("it listens");
    let deaf: std::net::TcpListener = socket.into();
    let good = Peer::start();
    let hosts = [
        host("s0", deaf.local_addr().expect("bound"), Protocol::Rpc, 1, "active", 0),
        host("s1", good.address, Protocol::Rpc, 1, "active", 0),
    ];
    let discovery = Discovery::start(&hosts);
    let config = config("n0", discovery.address, settings(10_000.0));
    let node = Node::start(&program(), &config, Some(OWN));
    node.wait_ready();
    let mut client = client(&node);
    let asks: Vec<Ask> = (0..16)
        .map(|n| Ask {
            body: vec![n; 60 * 1024],
            ..Ask::new("slip", Effect::Unsafe, &format!("t{n}"), 15_000)
        })
        .collect();
    let ids: Vec<u32> = asks.iter().map(|ask| send(&mut client, ask)).collect();
    let (stuck, _) = deaf.accept().expect("a connection");
    // Every second one has come to the good server; the others are stuck at the deaf one.
    let first = good.calls(8);
    first.iter().for_each(|came| good.answer(came, &ok("good")));
    drop(stuck);
    drop(deaf);
    let at_good: BTreeSet<String> = first.iter().map(txn).collect();
    let mut counted = (0, 0);
    let mut moved = BTreeSet::new();
    let mut answers = std::collections::BTreeMap::new();
    until("all answers", || {
        while good.waiting() > 0 {
            let came = good.call();
            assert!(!at_good.contains(&txn(&came)) && moved.insert(txn(&came)), "{} came twice", txn(&came));
            good.answer(&came, &ok("good"));
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
            Answer::Served(_) => counted.0 += 1,
            // Written whole to the kernel: it may have run, so it went nowhere else.
            Answer::Failed => {
                assert!(!moved.contains(&ask.txn) && !at_good.contains(&ask.txn));
                counted.1 += 1;
            }
            other => panic!("{}: {other:?}", ask.txn),
        }
    }
    assert!(!moved.is_empty(), "what was never handed over went to the other server");
    assert_eq!(counted.0, 8 + moved.len());
}

/// Replies out of order, twice, to an unknown number, of a wrong type, and a spoilt message between good ones: each call
/// has its own answer, and only that.
#[test]
fn odd_replies_reach_nobody_and_good_ones_their_own() {
    let peer = Peer::start();
    let (_discovery, node) = node_with(10_000.0, "", &[&peer]);
    let mut client = client(&node);
    let asks: Vec<Ask> = (0..5).map(|n| Ask::new("slip", Effect::Unsafe, &format!("t{n}"), 15_000)).collect();
    let ids: Vec<u32> = asks.iter().map(|ask| send(&mut client, ask)).collect();
    let came = peer.calls(5);
    let conn = came[0].conn;
    let of = |n: usize| came.iter().find(|c| txn(c) == format!("t{n}")).expect("it came");
    peer.answer(of(4), &ok("four"));
    peer.answer(of(2), &ok("two"));
    // Once more, with other words.
    peer.answer(of(2), &ok("two again"));
    // To a number that was never given out.
    peer.answer(&ReceivedCall { id: 4_000_000, ..of(0).clone() }, &ok("whose?"));
    // Text where bin should be: this one may have run.
    let id = of(1).id;
    peer.send_raw(
        conn,
        &[&[0x94, 0x01, 0xce][..], &id.to_be_bytes(), &[0xc0, 0xa3, b'b', b'a', b'd']].concat(),
    );
    // A value that is no message, whole as a value; and a request from the server.
    peer.send_raw(conn, &[0x93, 0x05, 0xa1, b'x', 0xc0]);
    peer.send_raw(conn, &[0x94, 0x00, 0x00, 0xa1, b'x', 0x90]);
    peer.answer(of(0), &ok("zero"));
    peer.answer(of(3), &ok("three"));
    let wanted = [served("zero"), Answer::Failed, served("two"), served("three"), served("four")];
    for (id, wanted) in ids.iter().zip(wanted) {
        assert_eq!(answer(&mut client, *id), wanted);
    }
    // What the two sides disagree on is not trusted with more: the next call opens another connection.
    let next = send(&mut client, &Ask::new("slip", Effect::Unsafe, "next", 15_000));
    let came = peer.call();
    assert_ne!(came.conn, conn);
    peer.answer(&came, &ok("next"));
    assert_eq!(answer(&mut client, next), served("next"));
    until("the first connection is closed", || peer.is_closed(conn));
    assert_eq!(peer.waiting(), 0, "an unsafe call was repeated");
}

/// A stream that can't be read any further ends its connection: all that was open may have run.
#[test]
fn a_spoilt_stream_fails_what_was_open_on_it() {
    let peer = Peer::start();
    let (_discovery, node) = node_with(10_000.0, "", &[&peer]);
    let mut client = client(&node);
    let ids: Vec<u32> = (0..3)
        .map(|n| send(&mut client, &Ask::new("slip", Effect::Unsafe, &format!("t{n}"), 15_000)))
        .collect();
    let came = peer.calls(3);
    peer.answer(&came[0], &ok("good"));
    peer.send_raw(came[0].conn, &[0xc1]);
    let mut kinds: Vec<&str> = ids.iter().map(|id| answer(&mut client, *id).kind()).collect();
    kinds.sort_unstable();
    assert_eq!(kinds, ["failed", "failed", "served"]);
    until("the connection is closed", || peer.is_closed(came[0].conn));
    assert_eq!(peer.waiting(), 0);
}

/// A call that was given up keeps its place on its connection until its reply, which reaches nobody.
#[test]
fn a_late_reply_reaches_nobody_and_frees_its_place_on_its_connection() {
    let peer = Peer::start();
    let (_discovery, node) = node_with(2600.0, "calls_per_connection = 3\n", &[&peer]);
    let mut client = client(&node);
    let mut ask = |txn: &str, ms| send(&mut client, &Ask::new("slip", Effect::Unsafe, txn, ms));
    let (short, long) = ([ask("t0", 700), ask("t1", 700)], ask("t2", 15_000));
    let first = peer.calls(3);
    assert!(first.iter().all(|c| c.conn == first[0].conn));
    // The connection is not silent: something comes behind the two that are given up.
    peer.answer(first.iter().find(|c| txn(c) == "t2").expect("it came"), &ok("two"));
    assert_eq!(answer(&mut client, long), served("two"));
    for id in short {
        assert_eq!(answer(&mut client, id), Answer::Failed);
    }
    // Two of its three places are still taken.
    let next: Vec<u32> =
        ["t3", "t4"].map(|t| send(&mut client, &Ask::new("slip", Effect::Unsafe, t, 15_000))).into();
    let came = peer.calls(2);
    assert_eq!(came.iter().filter(|c| c.conn == first[0].conn).count(), 1);
    for old in first.iter().filter(|c| txn(c) != "t2") {
        peer.answer(old, &ok("late"));
    }
    came.iter().for_each(|c| peer.answer(c, &ok("next")));
    for id in next {
        assert_eq!(answer(&mut client, id), served("next"));
    }
    // With the replies the places are free again: two connections take six.
    let more: Vec<u32> = (5..11)
        .map(|n| send(&mut client, &Ask::new("slip", Effect::Unsafe, &format!("t{n}"), 15_000)))
        .collect();
    let came = peer.calls(6);
    came.iter().for_each(|c| peer.answer(c, &ok("more")));
    for id in more {
        assert_eq!(answer(&mut client, id), served("more"));
    }
    assert_eq!((peer.ids(), peer.connections()), ((11, false), 2));
}

/// The module counts what runs on at a server as out there, and no longer once its reply has come.
#[test]
fn what_was_given_up_counts_as_out_until_its_reply() {
    let peer = Peer::start();
    // What is out takes a place for most of the longest aim: here that is longer than any machine is slow.
    let mut settings = settings(2600.0);
    settings["Classes"][1]["Slo"] = 60_000.0.into();
    let (_discovery, node) = node_set(settings, "calls_per_connection = 64\n", &[&peer]);
    let mut client = client(&node);
    let ids: Vec<u32> =
        (0..8).map(|n| send(&mut client, &Ask::new("slip", Effect::Unsafe, &format!("t{n}"), 700))).collect();
    let held = peer.calls(8);
    for id in ids {
        assert_eq!(answer(&mut client, id), Answer::Failed);
    }
    // The server's limit is reached: nothing more is sent to it.
    let over = send(&mut client, &Ask::new("look", Effect::Safe, "over", 690));
    assert!(matches!(answer(&mut client, over), Answer::Refused(_)));
    assert_eq!(peer.waiting(), 0);
    held.iter().for_each(|c| peer.answer(c, &ok("late")));
    let mut n = 0;
    until("a call is sent again", || {
        n += 1;
        let id = send(&mut client, &Ask::new("look", Effect::Safe, &format!("u{n}"), 1000));
        let asked = Instant::now();
        while asked.elapsed() < Duration::from_millis(100) && peer.waiting() == 0 {
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

/// A connection on which a call timed out, with nothing heard since it was written, gets no further calls.
#[test]
fn a_silent_connection_gets_no_further_calls() {
    let peer = Peer::start();
    let (_discovery, node) = node_with(2600.0, "", &[&peer]);
    let mut client = client(&node);
    let short = send(&mut client, &Ask::new("slip", Effect::Unsafe, "t0", 700));
    let silent = peer.call();
    assert_eq!(answer(&mut client, short), Answer::Failed);
    let next = send(&mut client, &Ask::new("slip", Effect::Unsafe, "t1", 15_000));
    let came = peer.call();
    assert_ne!(came.conn, silent.conn);
    peer.answer(&came, &ok("yes"));
    assert_eq!(answer(&mut client, next), served("yes"));
    // The server answers what was sent later, so the silent one is dead, and is closed long before the longest deadline.
    let asked = Instant::now();
    until("it is closed", || peer.is_closed(silent.conn));
    assert!(asked.elapsed() < Duration::from_secs(10), "{:?}", asked.elapsed());
}

/// Twenty calls on one connection that has gone silent: each client has its answer in time, none is repeated that must
/// not be, and what comes next is served over another connection.
#[test]
fn a_silent_connection_with_twenty_calls_holds_nothing_else_up() {
    let peer = Peer::start();
    // An answer is of use until the client gives up, and what is long out takes no place in a limit.
    let mut settings = settings(200.0);
    for class in settings["Classes"].as_array_mut().expect("classes") {
        class["LateValue"] = 0.3.into();
        class["Deadline"] = 2000.0.into();
    }
    let (_discovery, node) = node_set(settings, "calls_per_connection = 64\nopen_calls = 64\n", &[&peer]);
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
            Answer::Refused(Some(span)) => assert!(span > 0),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(failed, silent.len(), "all that was sent has failed, all else was refused");
    // The server itself is well: it answers what comes over a new connection.
    let mut n = 0;
    until("a call is served again", || {
        n += 1;
        let id = send(&mut client, &Ask::new("look", Effect::Safe, &format!("u{n}"), 1500));
        let asked = Instant::now();
        while asked.elapsed() < Duration::from_secs(1) && peer.waiting() == 0 {
            std::thread::sleep(Duration::from_millis(5));
        }
        while peer.waiting() > 0 {
            let came = peer.call();
            assert_ne!(came.conn, silent[0].conn, "the silent connection got another call");
            peer.answer(&came, &ok("well"));
        }
        answer(&mut client, id) == served("well")
    });
}

/// Calls that wait for a connection are not written to a server that drains meanwhile.
#[test]
fn a_drain_reaches_calls_that_wait_for_a_connection() {
    // A listener whose backlog is full lets nobody in until it accepts.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.bind(&"127.0.0.1:0".parse::<std::net::SocketAddr>().expect("an address").into()).expect("a port");
    socket.listen(0).expect("it listens");
    let full: std::net::TcpListener = socket.into();
    let at_full = full.local_addr().expect("bound");
    let fillers: Vec<_> = (0..3)
        .filter_map(|_| std::net::TcpStream::connect_timeout(&at_full, Duration::from_millis(300)).ok())
        .collect();
    let entry = |health| host("s0", at_full, Protocol::Rpc, 1, health, 0);
    let discovery = Discovery::start(&[entry("active")]);
    let mut settings = settings(10_000.0);
    settings["Limits"]["ConnectTimeout"] = 50_000.0.into();
    let node = Node::start(&program(), &config("n0", discovery.address, settings), Some(OWN));
    node.wait_ready();
    let mut client = client(&node);
    let ids: Vec<u32> = (0..3)
        .map(|n| send(&mut client, &Ask::new("slip", Effect::Unsafe, &format!("t{n}"), 15_000)))
        .collect();
    // The node tries to connect from the moment that the calls are decided on.
    until("a connection is tried", || node.descriptors() > 8);
    std::thread::sleep(Duration::from_millis(300));
    discovery.update(entry("leaving"));
    std::thread::sleep(Duration::from_millis(600));
    // Now it lets all of them in. What has been written within two seconds would be seen.
    drop(fillers);
    full.set_nonblocking(true).expect("a socket");
    let (mut streams, end) = (Vec::new(), Instant::now() + Duration::from_secs(2));
    while Instant::now() < end {
        if let Ok((stream, _)) = full.accept() {
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
        assert!(matches!(answer(&mut client, id), Answer::Refused(_)), "nothing ran: it may be asked again");
    }
}

/// Two answers with one number could not be told apart: the second call is not taken, what is open is answered, and the
/// connection ends.
#[test]
fn a_number_that_is_used_twice_ends_its_connection_behind_the_open_calls() {
    let peer = Peer::start();
    let (_discovery, node) = node_with(10_000.0, "", &[&peer]);
    let mut client = client(&node);
    let ask = |txn: &str| Ask::new("slip", Effect::Unsafe, txn, 15_000);
    let both = [ask("t0").rpc(7), ask("other").rpc(8), ask("t1").rpc(7), ask("behind").rpc(9)].concat();
    wait("a write", client.send_raw(&both)).expect("the node reads");
    let came = peer.calls(2);
    came.iter().for_each(|c| peer.answer(c, &ok("one answer")));
    let mut all = wait("the end", client.read_to_end());
    all.sort_by_key(|(id, _)| *id);
    assert_eq!(all, [(7, served("one answer")), (8, served("one answer"))]);
    assert_eq!(peer.waiting(), 0, "the second was passed on");
}

/// A notification has no answer, so it goes nowhere; calls beside it are served.
#[test]
fn notifications_go_nowhere_and_are_counted() {
    let peer = Peer::start();
    let (_discovery, node) = node_with(10_000.0, "", &[&peer]);
    let mut client = client(&node);
    let notification = [0x93, 0x02, 0xa4, b's', b'l', b'i', b'p', 0x90];
    wait("a write", client.send_raw(&[notification, notification].concat())).expect("the node reads");
    let id = send(&mut client, &Ask::new("slip", Effect::Unsafe, "t0", 15_000));
    let came = peer.call();
    assert_eq!(txn(&came), "t0");
    peer.answer(&came, &ok("yes"));
    assert_eq!(answer(&mut client, id), served("yes"));
    assert_eq!(peer.ids().0, 1);
    until("they are counted", || node.log().iter().any(|l| l.contains("notifications dropped")));
}

/// Lengths of 4 GB and a million levels take no memory and cost nobody else anything.
#[test]
fn announced_gigabytes_and_endless_levels_take_no_memory() {
    let peer = Peer::start();
    let (_discovery, node) = node_with(10_000.0, "", &[&peer]);
    let before = node.resident_bytes();
    let long = [0x94, 0x00, 0x05, 0xa4, b's', b'l', b'i', b'p', 0xc6, 0xff, 0xff, 0xff, 0xff];
    let wide = [0xdd, 0xff, 0xff, 0xff, 0xff];
    let deep = vec![0x91; 1_000_000];
    for bytes in [&long[..], &wide[..], &deep[..]] {
        for _ in 0..4 {
            let mut bad = client(&node);
            // It may be closed before all is written.
            let _ = wait("a write", bad.send_raw(bytes));
            assert!(wait("the end", bad.read_to_end()).is_empty());
        }
    }
    let grown = node.resident_bytes().saturating_sub(before);
    assert!(grown < 8 * 1024 * 1024, "{grown} bytes more");
    let mut good = client(&node);
    let id = send(&mut good, &Ask::new("look", Effect::Safe, "t0", 15_000));
    peer.answer(&peer.call(), &ok("yes"));
    assert_eq!(answer(&mut good, id), served("yes"));
    assert_eq!(peer.ids().0, 1);
}

/// One call that is too long is answered by itself, and the calls round it are served.
#[test]
fn a_call_that_is_too_long_is_answered_between_good_ones() {
    let peer = Peer::start();
    let (_discovery, node) = node_with(10_000.0, "", &[&peer]);
    let mut client = client(&node);
    let with =
        |txn: &str, n: usize| Ask { body: vec![1; n], ..Ask::new("slip", Effect::Unsafe, txn, 15_000) };
    let sizes = [10, 64 * 1024 + 1, 300 * 1024, 64 * 1024];
    let ids: Vec<u32> =
        sizes.iter().enumerate().map(|(n, size)| send(&mut client, &with(&format!("t{n}"), *size))).collect();
    let came = peer.calls(2);
    assert_eq!(came.iter().map(|c| c.call.body.len()).collect::<Vec<_>>(), [10, 64 * 1024]);
    came.iter().for_each(|c| peer.answer(c, &ok("yes")));
    let all: Vec<&str> = ids.iter().map(|id| answer(&mut client, *id).kind()).collect();
    assert_eq!(all, ["served", "too large", "too large", "served"]);
}

/// What is wrong with a call is told at once, and nothing of it reaches a server.
#[test]
fn bad_calls_are_told_apart() {
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
    for (ask, wanted) in bad {
        let id = send(&mut client, &ask);
        assert_eq!(answer(&mut client, id), wanted, "{ask:?}");
    }
    let text = |s: &str| [&[0xa0 | s.len() as u8][..], s.as_bytes()].concat();
    let call = |entries: &[Vec<u8>]| {
        let map = [&[0x80 | (entries.len() / 2) as u8][..], &entries.concat()].concat();
        [&[0x94, 0x00, 0x64][..], &text("slip"), &[0x91], &map].concat()
    };
    let rest = || vec![text("txn"), text("t0"), text("remaining_ms"), vec![0xcd, 0x3a, 0x98]];
    let twice = call(&[rest(), vec![text("txn"), text("t1")]].concat());
    let worded = call(&[rest(), vec![text("body"), text("words")]].concat());
    let negative = call(&[text("txn"), text("t0"), text("remaining_ms"), vec![0xff]]);
    let numbered = call(&[vec![0x01], text("t0")]);
    let no_map = [&[0x94, 0x00, 0x64][..], &text("slip"), &[0x91, 0x01]].concat();
    let short = [&[0x93, 0x00, 0x64][..], &text("slip")].concat();
    for bytes in [twice, worded, negative, numbered, no_map, short] {
        wait("a write", client.send_raw(&bytes)).expect("the node reads");
        assert_eq!(answer(&mut client, 0x64), Answer::BadRequest, "{bytes:x?}");
    }
    // The same id while the first is open: to send it on would be to run that one again.
    let first = send(&mut client, &good());
    let came = peer.call();
    let second = send(&mut client, &good());
    assert_eq!(answer(&mut client, second), Answer::BadRequest);
    peer.answer(&came, &ok("yes"));
    assert_eq!(answer(&mut client, first), served("yes"));
    assert_eq!(peer.ids().0, 1);
}

/// Half a message and a close: nothing of it is passed on, and the calls that its client had open are given up.
#[test]
fn half_a_message_and_a_close_leave_nothing_behind() {
    let peer = Peer::start();
    let (_discovery, node) = node_with(10_000.0, "", &[&peer]);
    let mut gone = client(&node);
    send(&mut gone, &Ask::new("look", Effect::Safe, "t0", 15_000));
    let open = peer.call();
    let half = Ask::new("slip", Effect::Unsafe, "half", 15_000).rpc(1);
    wait("a write", gone.send_raw(&half[..half.len() - 3])).expect("the node reads");
    drop(gone);
    let mut other = client(&node);
    // What it had open is given up: its id may be used again.
    until("the id is free", || {
        let again = send(&mut other, &Ask::new("look", Effect::Safe, "t0", 15_000));
        let asked = Instant::now();
        while asked.elapsed() < Duration::from_millis(200) && peer.waiting() == 0 {
            std::thread::sleep(Duration::from_millis(2));
        }
        let free = peer.waiting() > 0;
        if free {
            peer.answer(&peer.call(), &ok("again"));
        }
        answer(&mut other, again) == if free { served("again") } else { Answer::BadRequest } && free
    });
    let id = send(&mut other, &Ask::new("slip", Effect::Unsafe, "t1", 15_000));
    let came = peer.call();
    assert_eq!(txn(&came), "t1");
    // The answer to what nobody awaits any more goes nowhere, and the connection serves on.
    peer.answer(&open, &ok("late"));
    peer.answer(&came, &ok("yes"));
    assert_eq!(answer(&mut other, id), served("yes"));
    assert_eq!((peer.ids().0, peer.connections()), (3, 1));
}

/// Told to stop with calls open, the node answers them, takes what its clients still send, and ends with 0.
#[test]
fn a_stopping_node_answers_its_open_calls() {
    let peer = Peer::start();
    let (_discovery, mut node) = node_with(10_000.0, "", &[&peer]);
    let mut client = client(&node);
    let open: Vec<u32> = (0..4)
        .map(|n| send(&mut client, &Ask::new("slip", Effect::Unsafe, &format!("t{n}"), 15_000)))
        .collect();
    let came = peer.calls(4);
    node.terminate();
    std::thread::sleep(Duration::from_millis(600));
    let late = send(&mut client, &Ask::new("slip", Effect::Unsafe, "late", 15_000));
    let last = peer.call();
    came.iter().chain([&last]).for_each(|c| peer.answer(c, &ok("yes")));
    for id in open.into_iter().chain([late]) {
        assert_eq!(answer(&mut client, id), served("yes"));
    }
    assert!(wait("the end", client.read_to_end()).is_empty());
    assert_eq!(node.exit_code(), Some(0));
}

/// What a stopping node can't finish is failed before it ends: an answer is better than a reset.
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

fn stand_in(name: &str, protocol: Protocol, step: Step, ledger: &Ledger) -> StandIn {
    let identity = Identity { name: name.into(), cell: 1, protocol };
    StandIn::start(identity, always(step), ledger.clone())
}

/// Ten thousand calls from one client as fast as it can: each has its one answer, what is over the bounds is refused at
/// once, nothing runs twice, and another client is served meanwhile.
#[test]
fn ten_thousand_calls_at_once_have_one_answer_each() {
    const CALLS: usize = 10_000;
    let ledger = Ledger::new(WAIT_TIMEOUT);
    let servers = ["s0", "s1"].map(|name| stand_in(name, Protocol::Rpc, Step::Serve, &ledger));
    let discovery = Discovery::start(&servers.each_ref().map(active));
    let node = Node::start(&program(), &config("n0", discovery.address, settings(10_000.0)), Some(OWN));
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
            // Writes a piece and takes what answers there are, so that neither side waits for the other for good.
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

/// Who does not read answers is read no further: the node keeps no more for it than its bounds.
#[test]
fn who_does_not_read_answers_is_read_no_further() {
    let ledger = Ledger::new(WAIT_TIMEOUT);
    let server = stand_in("s0", Protocol::Rpc, Step::Serve, &ledger);
    let discovery = Discovery::start(&[active(&server)]);
    let node = Node::start(&program(), &config("n0", discovery.address, settings(10_000.0)), Some(OWN));
    node.wait_ready();
    let before = node.resident_bytes();
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    // Where the system's own bound is 32 MB, all answers would fit into what it holds for who does not read.
    socket.set_recv_buffer_size(64 * 1024).expect("a small buffer");
    socket.connect(&node.address_for(Protocol::Rpc).into()).expect("the node listens");
    let mut deaf: std::net::TcpStream = socket.into();
    deaf.set_write_timeout(Some(Duration::from_secs(3))).expect("a socket");
    // 83 MB of calls, most of them refused at once, as one with this id is open: far more answers than buffers hold, and more
    // calls than the system may hold on their way (4 MB at the client, 32 at the node).
    let calls: Vec<u8> =
        (0..200_000).flat_map(|n| Ask::new("slip", Effect::Unsafe, "t", 60_000).rpc(n).to_vec()).collect();
    let is_stuck = (0..5).any(|_| std::io::Write::write_all(&mut deaf, &calls).is_err());
    assert!(is_stuck, "all of it was taken");
    let grown = node.resident_bytes().saturating_sub(before);
    assert!(grown < 24 * 1024 * 1024, "{grown} bytes more");
    let (answer, _) = ask_once(Protocol::Http, node.address, &Ask::new("look", Effect::Safe, "o", 15_000));
    assert!(matches!(answer, Answer::Served(_) | Answer::Refused(_)), "{answer:?}");
}

/// Where only one address may be listened on, the first byte tells the protocols apart.
#[test]
fn one_listener_takes_both_protocols() {
    let ledger = Ledger::new(WAIT_TIMEOUT);
    let server = stand_in("s0", Protocol::Http, Step::Serve, &ledger);
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
    // Without the operator's file the same bytes are no request.
    let plain = Node::start(&program(), &config, None);
    plain.wait_ready();
    let ask = Ask::new("look", Effect::Safe, "t", 1000);
    let (answer, _) = ask_once(Protocol::Rpc, plain.address, &ask);
    assert_eq!(answer, Answer::Lost);
}

/// Servers are marked by the list or by the operator's file, and a probe speaks what they speak.
#[test]
fn servers_are_marked_by_list_or_operators_file() {
    let ledger = Ledger::new(WAIT_TIMEOUT);
    let servers = ["s0", "s1", "s2"].map(|name| stand_in(name, Protocol::Rpc, Step::Serve, &ledger));
    let unmarked = |n: usize, kind: &str| {
        let mut entry = host(&format!("s{n}"), servers[n].address, Protocol::Http, 1, "active", 0);
        entry["class"] = kind.into();
        entry
    };
    let discovery = Discovery::start(&[active(&servers[0]), unmarked(1, "m9"), unmarked(2, "m1")]);
    let operator = format!("{OWN}server_kinds = ['m9']\nserver_hosts = ['s2']\n");
    let node = Node::start(&program(), &config("n0", discovery.address, settings(10_000.0)), Some(&operator));
    node.wait_ready();
    let by: BTreeSet<bool> = (0..6)
        .map(|n| {
            let ask = Ask::new("slip", Effect::Unsafe, &format!("t{n}"), 15_000);
            matches!(ask_once(Protocol::Http, node.address, &ask).0, Answer::Served(_))
        })
        .collect();
    assert_eq!(by, BTreeSet::from([true]));
    assert!(servers.iter().all(|s| s.open_connections() > 0), "each has its turns");
}

/// A server that is down is probed in its own protocol, and served again once it is back.
#[test]
fn a_server_that_is_back_is_found_by_its_probe() {
    let ledger = Ledger::new(WAIT_TIMEOUT);
    let first = stand_in("s0", Protocol::Rpc, Step::Serve, &ledger);
    let (at, identity) = (first.address, first.identity.clone());
    let discovery = Discovery::start(&[active(&first)]);
    let node = Node::start(&program(), &config("n0", discovery.address, settings(500.0)), Some(OWN));
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
    until("its end is noticed", || !matches!(ask(), Answer::Served(_)));
    let _back = StandIn::start_at(at, identity, always(Step::Serve), ledger.clone());
    until("it is served again", || matches!(ask(), Answer::Served(_)));
    assert!(ledger.probes() > 0);
    assert_eq!(ledger.executed_repeatedly(), []);
}

/// A bad file of the operator's ends the program with one line: file, field, reason.
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
    let words = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(words.trim_end().lines().count(), 1, "{words}");
    let wanted = "msgpack.open_calls: a whole number from 1 to 1024 expected, not \"many\"";
    assert!(words.contains(wanted) && words.contains(&file.display().to_string()), "{words}");
    for path in [file, json] {
        let _ = std::fs::remove_file(path);
    }
}

/// A client that asks one thing at a time over one connection finds its answers in order, whichever protocol it speaks.
#[test]
fn a_kept_connection_serves_call_after_call() {
    let ledger = Ledger::new(WAIT_TIMEOUT);
    let server = stand_in("s0", Protocol::Rpc, Step::Serve, &ledger);
    let discovery = Discovery::start(&[active(&server)]);
    let node = Node::start(&program(), &config("n0", discovery.address, settings(10_000.0)), Some(OWN));
    node.wait_ready();
    for protocol in Protocol::BOTH {
        let at = node.address_for(protocol);
        let mut client = wait("a connection", Client::connect(protocol, at)).expect("it listens");
        for n in 0..20 {
            let ask = Ask::new("pay", Effect::Keyed, &format!("{}{n}", protocol.name()), 15_000);
            let Answer::Served(body) = wait("an answer", client.ask(&ask)) else { panic!("not served") };
            assert!(body.starts_with(ask.txn.as_bytes()) && body.ends_with(&ask.body));
        }
    }
    assert_eq!(server.open_connections(), 1, "one connection to the server is enough");
}

/// Calls over the bound on a connection, or over what memory there is for them, are refused at once with the module's
/// span, while those before them go on.
#[test]
fn calls_over_a_bound_are_refused_at_once() {
    // Two calls a connection; or 8 MB of memory, of which a quarter holds 31 answers.
    for (operator, memory_mb, fit) in [("open_calls = 2\n", 192, 2..=2), ("open_calls = 1024\n", 8, 20..=31)]
    {
        let peers =
            [Peer::start(), Peer::start(), Peer::start(), Peer::start(), Peer::start(), Peer::start()];
        let hosts: Vec<_> =
            (0..6).map(|n| host(&format!("s{n}"), peers[n].address, Protocol::Rpc, 1, "active", 0)).collect();
        let discovery = Discovery::start(&hosts);
        let mut config = config("n0", discovery.address, settings(10_000.0));
        config["limits"]["memory_mb"] = memory_mb.into();
        let node = Node::start(&program(), &config, Some(&format!("{OWN}{operator}")));
        node.wait_ready();
        let mut client = client(&node);
        let ids: Vec<u32> = (0..40)
            .map(|n| send(&mut client, &Ask::new("slip", Effect::Unsafe, &format!("t{n}"), 15_000)))
            .collect();
        let mut refused = 0;
        let mut taken = Vec::new();
        until("all calls are refused or with a server", || {
            taken.extend(
                peers.iter().flat_map(|p| (0..p.waiting()).map(|_| (p, p.call())).collect::<Vec<_>>()),
            );
            let next = glenwood_testkit::runtime()
                .block_on(async { tokio::time::timeout(Duration::from_millis(20), client.next()).await });
            if let Ok(next) = next {
                let (_, answer) = next.expect("the connection stands");
                assert!(matches!(answer, Answer::Refused(Some(1..=2000))), "{answer:?}");
                refused += 1;
            }
            refused + taken.len() == 40
        });
        assert!(fit.contains(&taken.len()), "{operator}: {} taken", taken.len());
        taken.iter().for_each(|(peer, came)| peer.answer(came, &ok("yes")));
        for _ in 0..taken.len() {
            assert_eq!(wait("an answer", client.next()).expect("the connection stands").1, served("yes"));
        }
        // The places are free again.
        let id = send(&mut client, &Ask::new("slip", Effect::Unsafe, "after", 15_000));
        until("it comes", || peers.iter().any(|p| p.waiting() > 0));
        let peer = peers.iter().find(|p| p.waiting() > 0).expect("found");
        peer.answer(&peer.call(), &ok("after"));
        assert_eq!(answer(&mut client, id), served("after"));
        assert_eq!(ids.len(), 40);
    }
}
