//! Races between clients that leave, a node that stops, connections that come up late and a list service that
//! stalls. Each test forces the unfavourable order of events.

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

/// Writes an operator's file with this content and returns its path, which is distinct for each test process.
fn operator_file(name: &str, content: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}.toml", std::process::id()));
    std::fs::write(&path, content).expect("a file");
    path
}

const TRACE: &str = "[trace]\non = true\n";

/// Starts a node with tracing on and waits until it is ready. The trace shows which requests the node has
/// accepted.
fn start_traced(name: &str, config: &Value, extra_settings: &str) -> Node {
    let operator = operator_file(name, &format!("{TRACE}{extra_settings}"));
    let node = Node::started_with_operator(config, &operator).wait_listening();
    node.wait_ready();
    node
}

/// Settings with a connect timeout of 50 s and deadlines of 60 s: requests may wait long for a connection
/// without being given up. `cancel` says whether attempts may be cancelled.
fn long_timeout_config(discovery: SocketAddr, cancel: bool) -> Value {
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

fn wait_accepted(node: &Node, count: usize) {
    until("all requests are accepted", || node.count_log_lines(" ask ") == count);
}

/// Waits until the node has no connection to that client any more.
fn wait_disconnected(node: SocketAddr, client: SocketAddr) {
    until("the node sees that its client left", || count_sockets(Some(node), Some(client)) == 0);
}

/// Opens the blocked server, waits until the node has no pending connection to it, and sends one more request
/// through the node. Returns the ids of all requests that the server received.
fn open_and_collect_ids(node: &Node, blocked: FullBacklogServer) -> Vec<String> {
    let address = blocked.address;
    let server = blocked.accept_with(|_| Reply::Now(answer(200, "", "served")));
    until("no connection is pending", || {
        count_sockets(None, Some(address)) == 0 || !server.seen().is_empty()
    });
    assert_eq!(Client::to(node).ask(&request("look", "last", 30_000)).status(), 200);
    server.seen().iter().map(|m| m.header("x-txn").unwrap_or_default().to_string()).collect()
}

/// Over HTTP: of 204 requests, some wait for a connection that is being established and the others for a free
/// slot when their clients leave. None of them is sent, however its client left and whether or not attempts
/// may be cancelled, as a request that was never sent can always be dropped.
#[test]
fn a_waiting_request_is_not_sent_once_its_client_has_left() {
    for (how, cancel) in Disconnect::ALL.into_iter().flat_map(|how| [(how, false), (how, true)]) {
        let blocked = FullBacklogServer::new();
        let registry = Registry::new(&[host("s0", blocked.address, "active", 1)]);
        let node = start_traced("left", &long_timeout_config(registry.address, cancel), "");
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
        wait_accepted(&node, 34);
        until("some wait for a connection", || blocked.pending_connections() > 3);
        let addresses: Vec<SocketAddr> = clients.iter().map(Client::address).collect();
        let _still_open: Vec<_> = clients.into_iter().map(|client| how.apply(client.into_stream())).collect();
        addresses.into_iter().for_each(|client| wait_disconnected(node.address, client));
        assert_eq!(
            open_and_collect_ids(&node, blocked),
            ["last"],
            "{how:?}, attempts may be cancelled: {cancel}"
        );
    }
}

/// The same over MessagePack-RPC, with 36 calls on one connection in each case, to servers of either
/// protocol.
#[test]
fn a_waiting_request_is_not_sent_once_its_client_has_left_over_msgpack_rpc() {
    for (how, server_speaks_rpc) in Disconnect::ALL.into_iter().flat_map(|how| [(how, false), (how, true)]) {
        let blocked = FullBacklogServer::new();
        let mut server_entry = host("s0", blocked.address, "active", 1);
        if server_speaks_rpc {
            server_entry["dial"] = json!(format!("msgpack-rpc://{}", blocked.address));
        }
        let registry = Registry::new(&[server_entry]);
        let rpc_settings = "[msgpack]\nlisten = '127.0.0.1:0'\nopen_calls = 36\n";
        let node = start_traced("left-rpc", &long_timeout_config(registry.address, false), rpc_settings);
        let rpc_address: SocketAddr =
            node.log_text_after("takes MessagePack-RPC at ").parse().expect("an address");
        let mut stream = TcpStream::connect(rpc_address).expect("the node listens");
        let client = stream.local_addr().expect("bound");
        stream.write_all(&encode_calls(36)).expect("the node reads");
        wait_accepted(&node, 36);
        until("some wait for a connection", || blocked.pending_connections() > 0);
        let _still_open = how.apply(stream);
        wait_disconnected(rpc_address, client);
        if server_speaks_rpc {
            // One connection stays pending without a call on it. The first call that arrives is none of the
            // dropped ones.
            let address = blocked.address;
            let server = serve_rpc(blocked);
            assert_eq!(Client::to(&node).ask(&request("look", "last", 30_000)).status(), 200);
            assert_eq!(*server.lock().expect("no panic"), ["last"], "{how:?}");
            until("at most one connection remains", || count_sockets(None, Some(address)) <= 1);
        } else {
            assert_eq!(open_and_collect_ids(&node, blocked), ["last"], "{how:?}");
        }
    }
}

/// Encodes `count` calls as they go over the wire.
fn encode_calls(count: usize) -> Vec<u8> {
    let mut connection = Connection::new(count, Bounds::default());
    for n in 0..count {
        let class = ["look", "pay", "slip"][n % 3].to_string();
        let call = Call {
            class,
            txn: Some(format!("t{n}")),
            key: Some(format!("k{n}")),
            remaining_ms: Some(40_000),
            ..Call::default()
        };
        connection.call(n, &call).expect("it fits");
    }
    connection.output().flatten().copied().collect()
}

/// Starts a MessagePack-RPC server that serves every call, and returns the ids of the calls it receives.
fn serve_rpc(blocked: FullBacklogServer) -> Arc<Mutex<Vec<String>>> {
    calls::serve(blocked.into_listener(), |_| Ok(bytes::Bytes::from_static(b"served")))
}

/// A pipelined request, whole or partial, behind one that is being served must not hide that the client left:
/// the node notices it while the first request is pending, and never sends the second.
#[test]
fn a_request_behind_another_does_not_hide_that_its_client_left() {
    for (how, cancel, whole) in Disconnect::ALL
        .into_iter()
        .flat_map(|how| [(how, false), (how, true)])
        .flat_map(|(how, cancel)| [(how, cancel, false), (how, cancel, true)])
    {
        let first_may_end = Arc::new(AtomicBool::new(false));
        let released = first_may_end.clone();
        let server = Peer::new(move |message| {
            if message.header("x-txn") == Some("first") {
                until("the first request may end", || released.load(Ordering::SeqCst));
            }
            Reply::Now(answer(200, "", "served"))
        });
        let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
        let node = Node::ready(&long_timeout_config(registry.address, cancel));
        let mut client = Client::to(&node);
        let second = request("slip", "second", 40_000);
        let pipelined = if whole { &second[..] } else { &second[..second.len() / 2] };
        client.send(&format!("{}{pipelined}", request("look", "first", 40_000)));
        until("the first request is sent", || server.seen().len() == 1);
        let address = client.address();
        let _still_open = how.apply(client.into_stream());
        wait_disconnected(node.address, address);
        first_may_end.store(true, Ordering::SeqCst);
        assert_eq!(Client::to(&node).ask(&request("look", "last", 30_000)).status(), 200);
        let ids: Vec<String> =
            server.seen().iter().filter_map(|m| m.header("x-txn").map(str::to_string)).collect();
        assert_eq!(ids, ["first", "last"], "{how:?}, may be cancelled: {cancel}, whole: {whole}");
    }
}

/// A body too long to be buffered is forwarded while it arrives. Its client leaves while the part that has
/// arrived waits for a connection and the rest is still unread, ahead of the end of the stream.
#[test]
fn a_body_that_waits_half_read_does_not_hide_that_its_client_left() {
    for how in Disconnect::ALL {
        let blocked = FullBacklogServer::new();
        let registry = Registry::new(&[host("s0", blocked.address, "active", 1)]);
        let mut config = long_timeout_config(registry.address, false);
        // Bodies may take a quarter of this.
        config["limits"]["memory_mb"] = json!(8);
        let node = start_traced("body", &config, "");
        let client = Client::to(&node);
        let address = client.address();
        let mut stream = client.into_stream();
        let head = request("slip", "long", 40_000).replace("Content-Length: 4", "Content-Length: 6000000");
        stream.write_all(head.as_bytes()).expect("the node reads");
        // More than the node reads ahead, and less than the kernel buffers: otherwise the end of the stream
        // would not leave the client.
        stream.write_all(&[b'x'; 60_000]).expect("the node reads");
        wait_accepted(&node, 1);
        until("it waits for a connection", || blocked.pending_connections() == 1);
        let _still_open = how.apply(stream);
        wait_disconnected(node.address, address);
        assert_eq!(open_and_collect_ids(&node, blocked), ["last"], "{how:?}");
    }
}

/// Connections are in the kernel's backlog, each with a request, when the node receives SIGTERM twice: all of
/// them are accepted and answered.
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

/// The node receives SIGTERM twice and a new configuration, while one request is half read, one waits for its
/// connection and one is not answered by its server. Each gets exactly one answer before the node exits, and
/// a request that had not been sent is not sent.
#[test]
fn each_request_has_one_answer_at_sigterm_whatever_its_state() {
    let blocked = FullBacklogServer::new();
    let server = Peer::new(|message| match message.header("x-txn") {
        Some("sent") => Reply::Nothing,
        _ => Reply::Now(answer(200, "", "served")),
    });
    let (s0, s1) = (host("s0", server.address, "active", 1), host("s1", blocked.address, "active", 1));
    let registry = Registry::new(std::slice::from_ref(&s0));
    let config = long_timeout_config(registry.address, false);
    let mut node = start_traced("sigterm", &config, "");
    let mut sent = Client::to(&node);
    sent.send(&request("slip", "sent", 40_000));
    until("it is sent", || server.seen().len() == 1);
    // From now on all requests go to the server that accepts no connection.
    registry.publish(2, std::slice::from_ref(&s1), &[host("s0", server.address, "left", 1), s1.clone()]);
    let mut waiting_clients: Vec<Client> = Vec::new();
    until("some wait for their connection", || {
        let mut client = Client::to(&node);
        client.send(&request("slip", &format!("w{}", waiting_clients.len()), 40_000));
        waiting_clients.push(client);
        blocked.pending_connections() > 0
    });
    // Created last, as a new connection may stay silent for 1.8 s only, and a body may pause for 2.2 s.
    let mut half = Client::to(&node);
    let request_text = request("slip", "half", 40_000);
    let (first, rest) = request_text.split_at(request_text.len() - 1);
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
    for client in &mut waiting_clients {
        let answer = client.receive().expect("an answer");
        // The first ones may have gone to the other server before the node learned that it had left.
        assert!([200, 502, 503].contains(&answer.status()), "{}", answer.head);
    }
    assert_eq!(node.exit_code(), Some(0));
    // No connection to the server that accepts none is still pending.
    assert_eq!(blocked.pending_connections(), 0);
    let unsafe_sends = server.seen().iter().filter(|m| m.header("x-txn") == Some("sent")).count();
    assert_eq!(unsafe_sends, 1);
}

/// A stopping node is suspended past the time at which it fails its open requests: it answers them all the
/// same, and before SIGKILL may come.
#[test]
fn a_stopping_node_that_was_held_up_answers_what_is_open() {
    let server = Peer::new(|_| Reply::Nothing);
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut node = Node::ready(&long_timeout_config(registry.address, false));
    let mut clients: Vec<Client> = ["look", "pay", "slip"]
        .iter()
        .map(|class| {
            let mut client = Client::to(&node);
            client.send(&request(class, class, 40_000));
            client
        })
        .collect();
    until("the requests are sent", || server.seen().len() == 3);
    node.terminate();
    node.wait_for_log("stops");
    let stopping_since = Instant::now();
    // Open requests are failed 3.2 s after SIGTERM, the process exits after 3.5 s, and SIGKILL may come after
    // 3.7 s.
    std::thread::sleep(Duration::from_millis(3100));
    node.suspend();
    let suspended_until = Duration::from_millis(3510);
    std::thread::sleep(suspended_until.saturating_sub(stopping_since.elapsed()));
    node.resume();
    // Measured from here, so that a delay of this test so far does not count against the node.
    let resumed_at = Instant::now();
    for client in &mut clients {
        assert_eq!(client.receive().map(|answer| answer.status()), Some(502));
    }
    assert_eq!(node.exit_code(), Some(0));
    assert!(
        resumed_at.elapsed() < Duration::from_millis(3700) - suspended_until,
        "{:?}",
        resumed_at.elapsed()
    );
}

/// Once a stopping node fails its open requests it accepts no more: a request that arrives in full then is
/// refused at once, which tells its client that it may try elsewhere, and reaches no server.
#[test]
fn a_request_that_arrives_while_a_stopping_node_fails_the_rest_is_refused() {
    let server = Peer::new(|_| Reply::Nothing);
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut node = Node::ready(&config(registry.address));
    let mut open = Client::to(&node);
    open.send(&request("slip", "open", 25_000));
    until("the attempt is sent", || server.seen().len() == 1);
    node.terminate();
    node.wait_for_log("stops");
    // The time that the next request has to arrive in full begins well after SIGTERM, so it does not run out
    // first.
    std::thread::sleep(Duration::from_millis(1500));
    let mut late = Client::to(&node);
    let request_text = request("slip", "late", 25_000);
    let (first, rest) = request_text.split_at(request_text.len() - 1);
    late.send(first);
    assert_eq!(open.receive().expect("an answer").status(), 502);
    let refused = late.ask(rest);
    assert_eq!((refused.status(), refused.header("connection")), (503, Some("close")));
    assert_eq!(node.exit_code(), Some(0));
    assert_eq!(server.seen().len(), 1, "{:?}", server.seen());
}

/// An answer that arrives before the last byte of the request was sent belongs to something else, as a server
/// starts work only with the last byte. The request never ran there, and another server serves it.
#[test]
fn an_answer_ahead_of_its_request_is_not_passed_on() {
    let good = Peer::healthy("good");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let early_server = listener.local_addr().expect("bound");
    let was_tried = Arc::new(AtomicBool::new(false));
    let seen = was_tried.clone();
    std::thread::spawn(move || {
        let mut connections = Vec::new();
        for mut stream in listener.incoming().flatten() {
            let mut head = [0; 16];
            // Reads no further: the part of the request that exceeds the kernel's buffers stays at the node.
            if stream.read(&mut head).is_ok_and(|n| n > 0) {
                seen.store(true, Ordering::SeqCst);
                let _ = stream.write_all(&answer(200, "", "early"));
            }
            connections.push(stream);
        }
    });
    let hosts = [host("s0", early_server, "active", 1), host("s1", good.address, "active", 1)];
    let registry = Registry::new(&hosts);
    let node = Node::ready(&long_timeout_config(registry.address, true));
    let request_text = request("slip", "t", 30_000).replace("Content-Length: 4", "Content-Length: 16000000");
    let long = request_text + &"x".repeat(16_000_000 - 4);
    for _ in 0..4 {
        let mut client = Client::to(&node);
        assert_eq!(
            client.ask(&long.replace("X-Txn: t", &format!("X-Txn: t{}", client.address().port()))).body,
            b"good"
        );
    }
    assert!(was_tried.load(Ordering::SeqCst), "the early server was tried");
}

/// The first watch sends a line that cannot be parsed, so that the node asks for the whole list; later
/// watches stay open and send heartbeats.
fn watch_with_invalid_start(to: &mut TcpStream, earlier_calls: usize) -> std::io::Result<()> {
    to.write_all(WATCH_HEAD)?;
    if earlier_calls == 0 {
        return write_chunk(to, "broken\n");
    }
    keep_alive(to)
}

fn pretty(line: &str) -> String {
    let value: Value = serde_json::from_str(line).expect("JSON");
    serde_json::to_string_pretty(&value).expect("JSON")
}

/// The answer to a call for the whole list arrives byte by byte and never ends: the timeout covers the call
/// as a whole.
#[test]
fn a_whole_list_that_trickles_is_requested_again() {
    let server = Peer::healthy("served");
    let list = list_line(1, true, &[host("s0", server.address, "active", 1)]);
    let lists = ScriptedListService::new(move |path, earlier_calls, to| {
        if path.contains("watch") {
            return watch_with_invalid_start(to, earlier_calls);
        }
        if earlier_calls > 0 {
            return to.write_all(&answer(200, "", &list));
        }
        to.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n")?;
        write_repeatedly(to, |to| to.write_all(b" "))
    });
    let mut config = config(lists.address);
    // After this time the node would ask again whatever became of the call; it is longer than the test takes.
    config["settings"]["Contract"]["AskWithin"] = json!(60_000.0);
    let node = Node::ready(&config);
    until("the list has arrived", || Client::to(&node).ask(&request("look", "t1", 9000)).status() == 200);
    assert_eq!(
        lists.request_paths.lock().expect("no panic").iter().filter(|path| !path.contains("watch")).count(),
        2
    );
}

/// A watch delivers bytes but never a complete message, from its opening or after a first one, between
/// messages or within one: bytes alone are no heartbeat. The watch is reopened within 6 s, after which the
/// node must know what it missed.
#[test]
fn a_watch_that_trickles_is_reopened() {
    for (heartbeat_first, piece) in [(false, " "), (true, " "), (true, "[")] {
        let server = Peer::healthy("served");
        let list = list_line(1, true, &[host("s0", server.address, "active", 1)]);
        let trickles_since: Arc<Mutex<Option<Instant>>> = Arc::default();
        let noted_at = trickles_since.clone();
        let lists = ScriptedListService::new(move |path, earlier_calls, to| {
            if !path.contains("watch") {
                return to.write_all(&answer(200, "", &list));
            }
            to.write_all(WATCH_HEAD)?;
            if earlier_calls > 0 {
                return keep_alive(to);
            }
            if heartbeat_first {
                write_chunk(to, "\n")?;
            }
            *noted_at.lock().expect("no panic") = Some(Instant::now());
            write_repeatedly(to, |to| write_chunk(to, piece))
        });
        let _node = Node::ready(&config(lists.address));
        until("the watch is reopened", || lists.watch_count() > 1);
        let reopened_after = trickles_since.lock().expect("no panic").expect("a watch").elapsed();
        assert!(reopened_after < Duration::from_secs(6), "reopened after {reopened_after:?}");
    }
}

/// A list may be indented, in a whole answer as well as on a watch, so that one object spans many lines.
#[test]
fn an_indented_list_is_read() {
    let (a, b) = (Peer::healthy("a"), Peer::healthy("b"));
    let entry = |name: &str, peer: &Peer, health: &str| host(name, peer.address, health, 1);
    let whole = pretty(&list_line(1, true, &[entry("a", &a, "active")]));
    let update = pretty(&list_line(2, false, &[entry("a", &a, "leaving"), entry("b", &b, "active")]));
    let lists = ScriptedListService::new(move |path, earlier_calls, to| {
        if !path.contains("watch") {
            return to.write_all(&answer(200, "", &whole));
        }
        if earlier_calls == 0 {
            return watch_with_invalid_start(to, earlier_calls);
        }
        to.write_all(WATCH_HEAD)?;
        write_chunk(to, &format!("{whole}\n"))?;
        // In two chunks, split at the end of a line.
        let (first, rest) = update.split_at(update.find('\n').expect("lines") + 1);
        write_chunk(to, first)?;
        write_chunk(to, &format!("{rest}\n"))?;
        keep_alive(to)
    });
    let node = Node::ready(&config(lists.address));
    until("the update is applied", || Client::to(&node).ask(&request("look", "t1", 9000)).body == b"b");
    let rejections = node.wait_for_log_lines(1, |line| line.contains("is not taken"));
    assert_eq!((lists.watch_count(), rejections.len()), (2, 1));
}

/// Discovery moves to another address while a call to the old one is pending and never answered, in both
/// discovery modes: the list at the new address takes effect within 4 s of the signal.
#[test]
fn a_pending_call_does_not_delay_a_move_of_discovery() {
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
        until("the call is pending", || !old.request_paths.lock().expect("no panic").is_empty());
        config["discovery"] = json!(new.address.to_string());
        let moved_at = Instant::now();
        node.reload(&config.to_string());
        until("the new list is in use", || ask() == b"b");
        assert!(moved_at.elapsed() < Duration::from_secs(4), "{mode}: after {:?}", moved_at.elapsed());
    }
}

/// Guards against a keyed request being sent again after its servers have forgotten its key, because the
/// connection for the second attempt came up late.
#[test]
fn a_repeat_that_waits_for_its_connection_is_not_written_once_its_key_is_forgotten() {
    let first = Peer::new(|message| match message.path() {
        "/health" => Reply::Now(answer(200, "", "")),
        _ => Reply::ThenClose(Vec::new()),
    });
    let blocked = FullBacklogServer::new();
    let hosts = [host("s0", first.address, "active", 1), host("s1", blocked.address, "active", 1)];
    let registry = Registry::new(&hosts);
    let mut config = config(registry.address);
    config["settings"]["Limits"]["ConnectTimeout"] = json!(20_000.0);
    config["settings"]["Classes"][1]["MemorySpan"] = json!(600.0);
    let node = Node::ready(&config);
    let mut clients: Vec<Client> = (0..4).map(|_| Client::to(&node)).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&request("pay", &format!("t{number}"), 15_000).replace("k1", &format!("k{number}")));
    }
    // A request whose first attempt is at the blocked server may still be sent there.
    until("a second attempt waits for its connection", || {
        !first.seen().is_empty() && blocked.pending_connections() > 0
    });
    let forgotten_at = Instant::now() + Duration::from_millis(700);
    std::thread::sleep(forgotten_at.saturating_duration_since(Instant::now()));
    let ran: Vec<String> =
        first.seen().iter().map(|m| m.header("x-txn").unwrap_or("?").to_string()).collect();
    let late = blocked.accept_with(|_| Reply::Now(answer(200, "", "late")));
    clients.iter_mut().for_each(|client| drop(client.receive()));
    let again: Vec<String> =
        late.seen().iter().map(|m| m.header("x-txn").unwrap_or("?").to_string()).collect();
    assert!(
        ran.iter().all(|id| !again.contains(id)),
        "ran at the first server: {ran:?}, then at the second: {again:?}"
    );
}
