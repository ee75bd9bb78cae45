//! Rare moments at which something is still owed, or nothing any more: each test forces the bad order.

mod peers;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use glenwood_msgpack_rpc::client::Connection;
use glenwood_msgpack_rpc::frame::Bounds;
use glenwood_msgpack_rpc::message::Call;
use peers::lists::*;
use peers::*;
use serde_json::{json, Value};

/// An operator's file with these words, which lies as long as the process runs.
fn operator(name: &str, words: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}.toml", std::process::id()));
    std::fs::write(&path, words).expect("a file");
    path
}

const TRACE: &str = "[trace]\non = true\n";

/// A node that writes down what it takes.
fn traced(name: &str, config: &Value, more: &str) -> Node {
    let operator = operator(name, &format!("{TRACE}{more}"));
    let node = Node::started_with_operator(config, &operator).wait_listening();
    node.wait_ready();
    node
}

/// Settings under which a connection may come up late, and whoever waits for it is not given up on.
fn patient(discovery: SocketAddr, cancel: bool) -> Value {
    let mut config = config(discovery);
    let settings = &mut config["settings"];
    settings["Limits"]["Cancel"] = json!(cancel);
    settings["Limits"]["ConnectTimeout"] = json!(50_000.0);
    for class in settings["Classes"].as_array_mut().expect("classes") {
        class["Slo"] = json!(60_000.0);
        class["Deadline"] = json!(60_000.0);
    }
    config
}

fn taken(node: &Node, count: usize) {
    until("all are taken", || node.count_log_lines(" ask ") == count);
}

/// The node has no connection to that client any more.
fn dropped(node: SocketAddr, client: SocketAddr) {
    until("the node sees that its client left", || count_sockets(Some(node), Some(client)) == 0);
}

/// Opens the server, waits until no connection of the node's is on its way there, and has it serve one more request.
/// Gives the ids of all that came.
fn all_that_comes(node: &Node, shut: FullBacklogServer) -> Vec<String> {
    let address = shut.address;
    let server = shut.accept_with(|_| Reply::Now(answer(200, "", "served")));
    until("nobody waits for it", || count_sockets(None, Some(address)) == 0 || !server.seen().is_empty());
    assert_eq!(Client::to(node).ask(&request("look", "last", 30_000)).status(), 200);
    server.seen().iter().map(|m| m.header("x-txn").unwrap_or_default().to_string()).collect()
}

/// Over HTTP: 204 requests, some of which have their turn and wait for a connection that is coming up, while the others wait
/// for a turn; their clients leave. None of them is sent, in whatever way its client left, and whether or not attempts may
/// be cancelled: what was never sent can be.
#[test]
fn whoever_left_while_it_waited_is_not_sent_on() {
    for (how, cancel) in Disconnect::ALL.into_iter().flat_map(|how| [(how, false), (how, true)]) {
        let shut = FullBacklogServer::new();
        let registry = Registry::new(&[host("s0", shut.address, "active", 1)]);
        let node = traced("left", &patient(registry.address, cancel), "");
        let classes = ["look", "pay", "slip"].into_iter().cycle();
        let clients: Vec<Client> = classes
            .take(34)
            .enumerate()
            .map(|(n, class)| {
                let mut client = Client::to(&node);
                client.send(&request(class, &format!("t{n}"), 40_000));
                client
            })
            .collect();
        taken(&node, 34);
        until("some have their turn", || shut.pending_connections() > 3);
        let addresses: Vec<SocketAddr> = clients.iter().map(Client::address).collect();
        let _kept: Vec<_> = clients.into_iter().map(|client| how.apply(client.into_stream())).collect();
        addresses.into_iter().for_each(|client| dropped(node.address, client));
        assert_eq!(all_that_comes(&node, shut), ["last"], "{how:?}, attempts may be cancelled: {cancel}");
    }
}

/// The same over MessagePack-RPC, with 36 calls on one connection each time, to servers of either protocol.
#[test]
fn whoever_left_while_it_waited_is_not_sent_on_over_msgpack_rpc() {
    for (how, marked) in Disconnect::ALL.into_iter().flat_map(|how| [(how, false), (how, true)]) {
        let shut = FullBacklogServer::new();
        let mut listed = host("s0", shut.address, "active", 1);
        if marked {
            listed["dial"] = json!(format!("msgpack-rpc://{}", shut.address));
        }
        let registry = Registry::new(&[listed]);
        let rpc = "[msgpack]\nlisten = '127.0.0.1:0'\nopen_calls = 36\n";
        let node = traced("left-rpc", &patient(registry.address, false), rpc);
        let at: SocketAddr = node.log_text_after("takes MessagePack-RPC at ").parse().expect("an address");
        let mut stream = TcpStream::connect(at).expect("the node listens");
        let client = stream.local_addr().expect("bound");
        stream.write_all(&written_calls(36)).expect("the node reads");
        taken(&node, 36);
        until("some have their turn", || shut.pending_connections() > 0);
        let _kept = how.apply(stream);
        dropped(at, client);
        if marked {
            // A connection stays on its way there, with no call on it: what comes first is none of theirs.
            let address = shut.address;
            let server = peer_of_calls(shut);
            assert_eq!(Client::to(&node).ask(&request("look", "last", 30_000)).status(), 200);
            assert_eq!(*server.lock().expect("no panic"), ["last"], "{how:?}");
            until("one connection is enough", || count_sockets(None, Some(address)) <= 1);
        } else {
            assert_eq!(all_that_comes(&node, shut), ["last"], "{how:?}");
        }
    }
}

/// So many calls as they go over the wire.
fn written_calls(count: usize) -> Vec<u8> {
    let mut machine = Connection::new(count, Bounds::default());
    for n in 0..count {
        let class = ["look", "pay", "slip"][n % 3].to_string();
        let call = Call {
            class,
            txn: Some(format!("t{n}")),
            key: Some(format!("k{n}")),
            remaining_ms: Some(40_000),
            ..Call::default()
        };
        machine.call(n, &call).expect("it fits");
    }
    machine.output().flatten().copied().collect()
}

/// A server of MessagePack-RPC that serves all, and says whom.
fn peer_of_calls(shut: FullBacklogServer) -> Arc<Mutex<Vec<String>>> {
    calls::serve(shut.into_listener(), |_| Ok(bytes::Bytes::from_static(b"served")))
}

/// What stands behind a request that is being served, a whole one or a part of one, must not hide that the client left: it
/// is seen while the first is out, and the second is never sent.
#[test]
fn a_request_behind_another_does_not_hide_that_its_client_left() {
    for (how, cancel, whole) in Disconnect::ALL
        .into_iter()
        .flat_map(|how| [(how, false), (how, true)])
        .flat_map(|(how, cancel)| [(how, cancel, false), (how, cancel, true)])
    {
        let gate = Arc::new(AtomicBool::new(false));
        let opened = gate.clone();
        let server = Peer::new(move |message| {
            if message.header("x-txn") == Some("first") {
                until("the gate opens", || opened.load(Ordering::SeqCst));
            }
            Reply::Now(answer(200, "", "served"))
        });
        let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
        let node = Node::ready(&patient(registry.address, cancel));
        let mut client = Client::to(&node);
        let second = request("slip", "second", 40_000);
        let behind = if whole { &second[..] } else { &second[..second.len() / 2] };
        client.send(&format!("{}{behind}", request("look", "first", 40_000)));
        until("the first is out", || server.seen().len() == 1);
        let address = client.address();
        let _kept = how.apply(client.into_stream());
        dropped(node.address, address);
        gate.store(true, Ordering::SeqCst);
        assert_eq!(Client::to(&node).ask(&request("look", "last", 30_000)).status(), 200);
        let ids: Vec<String> =
            server.seen().iter().filter_map(|m| m.header("x-txn").map(str::to_string)).collect();
        assert_eq!(ids, ["first", "last"], "{how:?}, may be cancelled: {cancel}, whole: {whole}");
    }
}

/// A body that is too long to be held goes on while it comes. Its client leaves while what came of it waits for a connection,
/// and the rest stands unread in front of the end.
#[test]
fn a_body_that_waits_half_read_does_not_hide_that_its_client_left() {
    for how in Disconnect::ALL {
        let shut = FullBacklogServer::new();
        let registry = Registry::new(&[host("s0", shut.address, "active", 1)]);
        let mut config = patient(registry.address, false);
        // A quarter of it may be taken by bodies.
        config["limits"]["memory_mb"] = json!(8);
        let node = traced("body", &config, "");
        let client = Client::to(&node);
        let address = client.address();
        let mut stream = client.into_stream();
        let head = request("slip", "long", 40_000).replace("Content-Length: 4", "Content-Length: 6000000");
        stream.write_all(head.as_bytes()).expect("the node reads");
        // More than is read before anybody wants it, and less than the kernel holds: what it can't hold would keep the end
        // of it at the client.
        stream.write_all(&[b'x'; 60_000]).expect("the node reads");
        taken(&node, 1);
        until("it has its turn", || shut.pending_connections() == 1);
        let _kept = how.apply(stream);
        dropped(node.address, address);
        assert_eq!(all_that_comes(&node, shut), ["last"], "{how:?}");
    }
}

/// Connections that the kernel has taken and the node has not when it is told to stop, twice, each with a request: all are
/// accepted and answered.
#[test]
fn what_stands_in_the_backlog_at_sigterm_is_answered() {
    let server = Peer::healthy("served");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut node = Node::ready(&config(registry.address));
    node.suspend();
    let mut clients: Vec<Client> = (0..20).map(|_| Client::to(&node)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&request("slip", &format!("t{n}"), 15_000));
    }
    node.terminate();
    node.terminate();
    node.resume();
    for client in &mut clients {
        assert_eq!(client.receive().map(|answer| answer.status()), Some(200));
    }
    drop(clients);
    assert_eq!(node.exit_code(), Some(0));
    assert_eq!(server.seen().len(), 20, "each once");
}

/// The node is told to stop, twice and beside a new configuration, with one request half read, one that waits for its
/// connection and one that its server does not answer. Each has one answer before the node ends, and what had not been sent
/// is not sent.
#[test]
fn each_request_has_one_answer_at_sigterm_whatever_its_state() {
    let shut = FullBacklogServer::new();
    let server = Peer::new(|message| match message.header("x-txn") {
        Some("sent") => Reply::Nothing,
        _ => Reply::Now(answer(200, "", "served")),
    });
    let (s0, s1) = (host("s0", server.address, "active", 1), host("s1", shut.address, "active", 1));
    let registry = Registry::new(std::slice::from_ref(&s0));
    let config = patient(registry.address, false);
    let mut node = traced("sigterm", &config, "");
    let mut sent = Client::to(&node);
    sent.send(&request("slip", "sent", 40_000));
    until("it is sent", || server.seen().len() == 1);
    // From now on all goes to the one that lets nobody in.
    registry.publish(2, std::slice::from_ref(&s1), &[host("s0", server.address, "left", 1), s1.clone()]);
    let mut waits: Vec<Client> = Vec::new();
    until("some wait for their connection", || {
        let mut client = Client::to(&node);
        client.send(&request("slip", &format!("w{}", waits.len()), 40_000));
        waits.push(client);
        shut.pending_connections() > 0
    });
    // A new connection may say nothing for 1.8 s, and a body may pause for 2.2 s: what else is made ready first is not
    // counted.
    let mut half = Client::to(&node);
    let words = request("slip", "half", 40_000);
    let (first, rest) = words.split_at(words.len() - 1);
    half.send(first);
    let began = Instant::now();
    node.terminate();
    node.wait_for_log("stops");
    half.send(rest);
    let paused = began.elapsed();
    node.terminate();
    node.reload(&config.to_string());
    for (request, client) in [("sent", &mut sent), ("half", &mut half)] {
        let status = client.receive().map(|answer| answer.status());
        assert!(
            [Some(502), Some(503)].contains(&status),
            "{request}: {status:?}, its body paused for {paused:?}, {}",
            node.grep_log(|_| true).join("\n")
        );
    }
    for client in &mut waits {
        let answer = client.receive().expect("an answer");
        // The first of them may have gone to the other server, before the node was told that it left.
        assert!([200, 502, 503].contains(&answer.status()), "{}", answer.head);
    }
    assert_eq!(node.exit_code(), Some(0));
    // Nothing is left on its way to the one that let nobody in.
    assert_eq!(shut.pending_connections(), 0);
    let unsafe_sends = server.seen().iter().filter(|m| m.header("x-txn") == Some("sent")).count();
    assert_eq!(unsafe_sends, 1);
}

/// A stopping node is held up through the time in which it would have failed what is open: that is answered all the same, and
/// before SIGKILL may come.
#[test]
fn a_stopping_node_that_was_held_up_answers_what_is_open() {
    let server = Peer::new(|_| Reply::Nothing);
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut node = Node::ready(&patient(registry.address, false));
    let mut clients: Vec<Client> = ["look", "pay", "slip"]
        .iter()
        .map(|class| {
            let mut client = Client::to(&node);
            client.send(&request(class, class, 40_000));
            client
        })
        .collect();
    until("they are sent", || server.seen().len() == 3);
    node.terminate();
    node.wait_for_log("stops");
    let told = Instant::now();
    // What is open is failed 3.2 s after it was told to stop, the process ends after 3.5 s, and SIGKILL may come after 3.7 s.
    std::thread::sleep(Duration::from_millis(3100));
    node.suspend();
    let held_until = Duration::from_millis(3510);
    std::thread::sleep(held_until.saturating_sub(told.elapsed()));
    node.resume();
    // How late this test is by now is not the node's affair.
    let went_on = Instant::now();
    for client in &mut clients {
        assert_eq!(client.receive().map(|answer| answer.status()), Some(502));
    }
    assert_eq!(node.exit_code(), Some(0));
    assert!(went_on.elapsed() < Duration::from_millis(3700) - held_until, "{:?}", went_on.elapsed());
}

/// When a stopping node fails what is still open it takes nothing more: a request that becomes whole then is refused at
/// once, which tells its client that it may try elsewhere, and reaches no server.
#[test]
fn what_comes_when_a_stopping_node_fails_the_rest_is_refused() {
    let server = Peer::new(|_| Reply::Nothing);
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut node = Node::ready(&config(registry.address));
    let mut open = Client::to(&node);
    open.send(&request("slip", "open", 25_000));
    until("the attempt is out", || server.seen().len() == 1);
    node.terminate();
    node.wait_for_log("stops");
    // It has its time to come whole, which begins after the node was told to stop.
    std::thread::sleep(Duration::from_millis(1500));
    let mut late = Client::to(&node);
    let words = request("slip", "late", 25_000);
    let (first, rest) = words.split_at(words.len() - 1);
    late.send(first);
    assert_eq!(open.receive().expect("an answer").status(), 502);
    let refused = late.ask(rest);
    assert_eq!((refused.status(), refused.header("connection")), (503, Some("close")));
    assert_eq!(node.exit_code(), Some(0));
    assert_eq!(server.seen().len(), 1, "{:?}", server.seen());
}

/// An answer comes before the request's last byte has gone out: it is to something else, as a server begins with the last
/// byte. The request never ran there, and is served by another.
#[test]
fn an_answer_ahead_of_its_request_is_not_passed_on() {
    let good = Peer::healthy("good");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let hasty = listener.local_addr().expect("bound");
    let came = Arc::new(AtomicBool::new(false));
    let seen = came.clone();
    std::thread::spawn(move || {
        let mut kept = Vec::new();
        for mut stream in listener.incoming().flatten() {
            let mut head = [0; 16];
            // It reads no further: more than the kernel takes stays at the node.
            if stream.read(&mut head).is_ok_and(|n| n > 0) {
                seen.store(true, Ordering::SeqCst);
                let _ = stream.write_all(&answer(200, "", "hasty"));
            }
            kept.push(stream);
        }
    });
    let hosts = [host("s0", hasty, "active", 1), host("s1", good.address, "active", 1)];
    let registry = Registry::new(&hosts);
    let node = Node::ready(&patient(registry.address, true));
    let words = request("slip", "t", 30_000).replace("Content-Length: 4", "Content-Length: 16000000");
    let long = words + &"x".repeat(16_000_000 - 4);
    for _ in 0..4 {
        let mut client = Client::to(&node);
        assert_eq!(
            client.ask(&long.replace("X-Txn: t", &format!("X-Txn: t{}", client.address().port()))).body,
            b"good"
        );
    }
    assert!(came.load(Ordering::SeqCst), "the hasty one had its turn");
}

/// The first one brings what can't be read, so that the whole list is asked for; later ones stand.
fn watch_that_begins_spoilt(to: &mut TcpStream, before: usize) -> std::io::Result<()> {
    to.write_all(WATCH_HEAD)?;
    if before == 0 {
        return write_chunk(to, "spoilt\n");
    }
    keep_alive(to)
}

fn pretty(line: &str) -> String {
    let value: Value = serde_json::from_str(line).expect("JSON");
    serde_json::to_string_pretty(&value).expect("JSON")
}

/// The answer to a call for the whole list comes byte by byte and never ends: the call is due as a whole.
#[test]
fn a_whole_list_that_trickles_is_asked_for_anew() {
    let server = Peer::healthy("served");
    let list = list_line(1, true, &[host("s0", server.address, "active", 1)]);
    let lists = ScriptedListService::new(move |path, before, to| {
        if path.contains("watch") {
            return watch_that_begins_spoilt(to, before);
        }
        if before > 0 {
            return to.write_all(&answer(200, "", &list));
        }
        to.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n")?;
        write_repeatedly(to, |to| to.write_all(b" "))
    });
    let mut config = config(lists.address);
    // The module would ask anew by then whatever a call does.
    config["settings"]["Contract"]["AskWithin"] = json!(60_000.0);
    let node = Node::ready(&config);
    until("the list has come", || Client::to(&node).ask(&request("look", "t1", 9000)).status() == 200);
    assert_eq!(
        lists.request_paths.lock().expect("no panic").iter().filter(|path| !path.contains("watch")).count(),
        2
    );
}

/// A watch brings bytes and never a message, from its opening on or behind a first one, between two or within one: bytes are
/// no sign of life. It is opened anew within the 6 s after which what it misses counts as told.
#[test]
fn a_watch_that_trickles_is_opened_anew() {
    for (first, piece) in [(false, " "), (true, " "), (true, "[")] {
        let server = Peer::healthy("served");
        let list = list_line(1, true, &[host("s0", server.address, "active", 1)]);
        let last: Arc<Mutex<Option<Instant>>> = Arc::default();
        let said = last.clone();
        let lists = ScriptedListService::new(move |path, before, to| {
            if !path.contains("watch") {
                return to.write_all(&answer(200, "", &list));
            }
            to.write_all(WATCH_HEAD)?;
            if before > 0 {
                return keep_alive(to);
            }
            if first {
                write_chunk(to, "\n")?;
            }
            *said.lock().expect("no panic") = Some(Instant::now());
            write_repeatedly(to, |to| write_chunk(to, piece))
        });
        let _node = Node::ready(&config(lists.address));
        until("the watch is opened anew", || lists.watch_count() > 1);
        let since = last.lock().expect("no panic").expect("a watch").elapsed();
        assert!(since < Duration::from_secs(6), "after {since:?}");
    }
}

/// A list may be indented, in a whole answer and on a watch, and then one object goes over many lines.
#[test]
fn an_indented_list_is_read() {
    let (a, b) = (Peer::healthy("a"), Peer::healthy("b"));
    let entry = |name: &str, peer: &Peer, health: &str| host(name, peer.address, health, 1);
    let whole = pretty(&list_line(1, true, &[entry("a", &a, "active")]));
    let news = pretty(&list_line(2, false, &[entry("a", &a, "leaving"), entry("b", &b, "active")]));
    let lists = ScriptedListService::new(move |path, before, to| {
        if !path.contains("watch") {
            return to.write_all(&answer(200, "", &whole));
        }
        if before == 0 {
            return watch_that_begins_spoilt(to, before);
        }
        to.write_all(WATCH_HEAD)?;
        write_chunk(to, &format!("{whole}\n"))?;
        // In two pieces, cut behind a line.
        let (first, rest) = news.split_at(news.find('\n').expect("lines") + 1);
        write_chunk(to, first)?;
        write_chunk(to, &format!("{rest}\n"))?;
        keep_alive(to)
    });
    let node = Node::ready(&config(lists.address));
    until("the news count", || Client::to(&node).ask(&request("look", "t1", 9000)).body == b"b");
    assert_eq!((lists.watch_count(), node.count_log_lines("is not taken")), (2, 1));
}

/// Discovery moves while a call to the old address is out that is never answered, whether the list is asked for or pushed: what
/// the new one says counts within 4 s of the signal.
#[test]
fn a_call_that_is_out_does_not_hold_up_a_move_of_discovery() {
    for mode in ["subscribe", "automatic"] {
        let (a, b) = (Peer::healthy("a"), Peer::healthy("b"));
        let [at_a, at_b] = [&a, &b].map(|peer| host("s0", peer.address, "active", 1));
        let old = ScriptedListService::new(|_, _, to| write_repeatedly(to, |_| Ok(())));
        let new = Registry::new(&[at_b]);
        let mut config = config(old.address);
        config["settings"]["Discovery"] = json!(mode);
        config["known"] = serde_json::from_str(&list_line(1, true, &[at_a])).expect("a list");
        let node = Node::ready(&config);
        let ask = || Client::to(&node).ask(&request("look", "t1", 9000)).body;
        assert_eq!(ask(), b"a", "{mode}");
        until("the call is out", || !old.request_paths.lock().expect("no panic").is_empty());
        config["discovery"] = json!(new.address.to_string());
        let moved = Instant::now();
        node.reload(&config.to_string());
        until("the new list counts", || ask() == b"b");
        assert!(moved.elapsed() < Duration::from_secs(4), "{mode}: after {:?}", moved.elapsed());
    }
}

/// Guards against a keyed request that is repeated after its servers have forgotten it, as its connection came up late.
#[test]
fn a_repeat_that_waits_for_its_connection_is_not_written_once_its_key_is_forgotten() {
    let first = Peer::new(|message| match message.path() {
        "/health" => Reply::Now(answer(200, "", "")),
        _ => Reply::ThenClose(Vec::new()),
    });
    let shut = FullBacklogServer::new();
    let hosts = [host("s0", first.address, "active", 1), host("s1", shut.address, "active", 1)];
    let registry = Registry::new(&hosts);
    let mut config = config(registry.address);
    config["settings"]["Limits"]["ConnectTimeout"] = json!(20_000.0);
    config["settings"]["Classes"][1]["MemorySpan"] = json!(600.0);
    let node = Node::ready(&config);
    let mut clients: Vec<Client> = (0..4).map(|_| Client::to(&node)).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&request("pay", &format!("t{number}"), 15_000).replace("k1", &format!("k{number}")));
    }
    // One that began at the server that lets nobody in yet may be written there.
    until("a repeat waits", || !first.seen().is_empty() && shut.pending_connections() > 0);
    let forgotten = Instant::now() + Duration::from_millis(700);
    std::thread::sleep(forgotten.saturating_duration_since(Instant::now()));
    let ran: Vec<String> =
        first.seen().iter().map(|m| m.header("x-txn").unwrap_or("?").to_string()).collect();
    let late = shut.accept_with(|_| Reply::Now(answer(200, "", "late")));
    clients.iter_mut().for_each(|client| drop(client.receive()));
    let again: Vec<String> =
        late.seen().iter().map(|m| m.header("x-txn").unwrap_or("?").to_string()).collect();
    assert!(ran.iter().all(|id| !again.contains(id)), "at the first {ran:?}, then {again:?}");
}
