//! Long and slow requests and answers through the node binary.

mod peers;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use peers::{
    answer, config, host, request, until, Client, Message, Node, Peer, Registry, Reply, WAIT_TIMEOUT,
};

/// A body of pseudorandom bytes, so that a part that is missing or moved changes it.
fn body(length: usize) -> Vec<u8> {
    (0..length as u32).map(|n| (n.wrapping_mul(2_654_435_761) >> 24) as u8).collect()
}

fn response_with_length(length: usize) -> Vec<u8> {
    let mut raw = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").into_bytes();
    raw.extend(body(length));
    raw
}

fn chunked_response(length: usize, trailer: &str) -> Vec<u8> {
    let mut raw = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for chunk in body(length).chunks(10_000) {
        raw.extend(format!("{:x};note=a\r\n", chunk.len()).bytes());
        raw.extend(chunk);
        raw.extend(b"\r\n");
    }
    raw.extend(format!("0\r\n{trailer}\r\n").bytes());
    raw
}

fn start_node(peers: &[&Peer]) -> (Node, Registry) {
    let names = ["s0", "s1", "s2"];
    let hosts: Vec<_> = peers.iter().zip(names).map(|(p, name)| host(name, p.address, "active", 0)).collect();
    let registry = Registry::new(&hosts);
    (Node::ready(&config(registry.address)), registry)
}

/// Sends a request with `Connection: close` on a new connection; returns all bytes that come back.
fn ask_raw(node: &Node, text: &str) -> Vec<u8> {
    let mut stream = TcpStream::connect(node.address).expect("the node listens");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket");
    let text = text.replacen("\r\n", "\r\nConnection: close\r\n", 1);
    stream.write_all(text.as_bytes()).expect("the node reads");
    let mut raw = Vec::new();
    let _ = stream.read_to_end(&mut raw);
    raw
}

/// The status and the body of a complete answer; `None` if a client can tell that the answer is incomplete.
fn complete_response(raw: &[u8]) -> Option<(u16, Vec<u8>)> {
    let end = raw.windows(4).position(|w| w == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&raw[..end]).to_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut rest = &raw[end + 4..];
    if let Some(length) = head.lines().find_map(|l| l.strip_prefix("content-length:")) {
        return (rest.len() == length.trim().parse::<usize>().ok()?).then(|| (status, rest.to_vec()));
    }
    let mut body = Vec::new();
    loop {
        let line = rest.windows(2).position(|w| w == b"\r\n")?;
        let size = usize::from_str_radix(std::str::from_utf8(&rest[..line]).ok()?, 16).ok()?;
        if size == 0 {
            return Some((status, body));
        }
        body.extend(rest.get(line + 2..line + 2 + size)?);
        rest = rest.get(line + 4 + size..)?;
    }
}

#[test]
fn long_answers_of_every_form_come_whole() {
    let long = 2_000_000;
    for (n, bytes) in [
        response_with_length(long),
        chunked_response(long, ""),
        chunked_response(long, "X-Sum: 1\r\n"),
        [b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".to_vec(), body(long)].concat(),
        [b"HTTP/1.1 100 Continue\r\n\r\n".to_vec(), response_with_length(long)].concat(),
    ]
    .into_iter()
    .enumerate()
    {
        let closes = n == 3;
        let peer =
            Peer::new(
                move |_| if closes { Reply::ThenClose(bytes.clone()) } else { Reply::Now(bytes.clone()) },
            );
        let (node, _registry) = start_node(&[&peer]);
        for round in 0..3 {
            let raw = ask_raw(&node, &request("look", &format!("t{round}"), 10_000));
            assert!(complete_response(&raw) == Some((200, body(long))), "form {n}: {} bytes", raw.len());
        }
    }
}

#[test]
fn a_kept_connection_serves_after_a_long_answer() {
    let peer = Peer::new(|_| Reply::Now(response_with_length(300_000)));
    let (node, _registry) = start_node(&[&peer]);
    let mut client = Client::to(&node);
    for n in 0..5 {
        assert!(client.ask(&request("look", &format!("t{n}"), 10_000)).body == body(300_000));
    }
    assert_eq!(
        peer.seen().iter().map(|m| m.conn).max(),
        Some(peer.seen()[0].conn),
        "one connection to the server"
    );
}

#[test]
fn an_answer_that_breaks_off_is_not_retried_and_its_client_can_tell() {
    for part in [1, 2, 3] {
        let broken = move |bytes: Vec<u8>| {
            let cut = bytes.len() * part / 4;
            Reply::ThenClose(bytes[..cut].to_vec())
        };
        let peers = [
            Peer::new(move |_| broken(response_with_length(1_000_000))),
            Peer::new(move |_| broken(chunked_response(1_000_000, ""))),
        ];
        for peer in &peers {
            let (node, _registry) = start_node(&[peer]);
            let raw = ask_raw(&node, &request("look", "t", 10_000));
            assert!(
                raw.starts_with(b"HTTP/1.1 200") && raw.len() > 64 * 1024,
                "the answer began: {} bytes",
                raw.len()
            );
            assert_eq!(complete_response(&raw), None, "its client can tell");
            assert_eq!(peer.seen().len(), 1, "no retry after the first byte of the answer");
        }
    }
}

#[test]
fn answers_without_a_valid_length_fail() {
    for bytes in [
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n".to_vec(),
        [b"HTTP/1.1 200 OK\r\n\r\n".to_vec(), body(1000)].concat(),
        [b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec(), body(1000)]
            .concat(),
    ] {
        let peer = Peer::new(move |_| Reply::ThenClose(bytes.clone()));
        let (node, _registry) = start_node(&[&peer]);
        let raw = ask_raw(&node, &request("slip", "t", 10_000));
        assert_eq!(complete_response(&raw).map(|a| a.0), Some(502));
    }
}

#[test]
fn a_client_that_disconnects_within_an_answer_frees_its_server() {
    let long = response_with_length(30_000_000);
    let peer = Peer::new(move |message: &Message| match message.header("x-org") {
        Some("long") => Reply::Now(long.clone()),
        _ => Reply::Now(answer(200, "", "short")),
    });
    let registry = Registry::new(&[host("s0", peer.address, "active", 0)]);
    let node = Node::ready(&config(registry.address));
    // More requests than this node may have in flight to the one server.
    for n in 0..20 {
        let mut stream = TcpStream::connect(node.address).expect("the node listens");
        let text = request("look", &format!("a{n}"), 10_000).replace("X-Txn", "X-Org: long\r\nX-Txn");
        stream.write_all(text.as_bytes()).expect("the node reads");
        let mut buffer = vec![0; 100_000];
        stream.read_exact(&mut buffer).expect("the answer begins");
    }
    until("the server's connections are closed", || peer.open_connections() <= 1);
    assert_eq!(Client::to(&node).ask(&request("look", "b", 10_000)).body, b"short");
}

#[test]
fn forty_clients_that_stop_reading_long_answers_stay_within_the_memory() {
    let peers: Vec<Peer> =
        (0..3).map(|_| Peer::new(|_| Reply::Now(response_with_length(32 << 20)))).collect();
    let (node, _registry) = start_node(&[&peers[0], &peers[1], &peers[2]]);
    let stuck: Vec<TcpStream> = (0..40)
        .filter_map(|n| {
            let mut stream = TcpStream::connect(node.address).expect("the node listens");
            stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket");
            stream.write_all(request("look", &format!("t{n}"), 20_000).as_bytes()).expect("the node reads");
            let mut buffer = vec![0; 1 << 20];
            stream
                .read_exact(&mut buffer)
                .is_ok_and(|()| buffer.starts_with(b"HTTP/1.1 200"))
                .then_some(stream)
        })
        .collect();
    assert!(stuck.len() >= 20, "{} answers in transfer at a time", stuck.len());
    // The limit of 48 MB includes the program itself, which takes more in a debug build.
    assert!(node.peak_memory() < 48 << 20, "{} bytes", node.peak_memory());
}

#[test]
fn a_long_body_is_forwarded_whole_and_can_be_retried() {
    // The first server that gets the request turns it away as overloaded.
    let first = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true));
    let script = move |_: &Message| match first.swap(false, std::sync::atomic::Ordering::SeqCst) {
        true => Reply::Now(answer(503, "X-Turned-Away: 1\r\n", "")),
        false => Reply::Now(answer(200, "", "served")),
    };
    let script = std::sync::Arc::new(script);
    let script_b = script.clone();
    let (a, b) = (Peer::new(move |m| script(m)), Peer::new(move |m| script_b(m)));
    let (node, _registry) = start_node(&[&a, &b]);
    let long = "0123456789abcdef".repeat(60_000);
    let head = request("slip", "t", 10_000).replace("Content-Length: 4\r\n\r\nwork", "");
    let text = format!("{head}Content-Length: {}\r\n\r\n{long}", long.len());
    assert_eq!(Client::to(&node).ask(&text).status(), 200);
    let seen = [a.seen(), b.seen()].concat();
    assert_eq!(seen.len(), 2);
    assert!(seen.iter().all(|m| m.body == long.as_bytes()));
    // Chunked, with a chunk extension, a trailer and `Expect: 100-continue`.
    let chunks = format!("{head}Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\nea600;a=b\r\n{long}\r\n0\r\nX-End: 1\r\n\r\n");
    let raw = ask_raw(&node, &chunks.replace("X-Txn: t", "X-Txn: u"));
    assert!(raw.starts_with(b"HTTP/1.1 100") && String::from_utf8_lossy(&raw).ends_with("served"));
}

#[test]
fn the_deadline_of_a_slow_body_counts_from_its_last_byte() {
    let peer = Peer::healthy("s0");
    let (node, _registry) = start_node(&[&peer]);
    let mut client = Client::to(&node);
    let text = request("slip", "t", 1000).replace("Content-Length: 4", "Content-Length: 100000");
    client.send(&text);
    let started = Instant::now();
    // Longer than the remaining time in the head, and longer than a head itself may take.
    for _ in 0..35 {
        std::thread::sleep(Duration::from_millis(90));
        client.send(&"x".repeat(2800));
    }
    assert!(started.elapsed() > Duration::from_millis(2900));
    client.send(&"x".repeat(100_000 - 4 - 35 * 2800));
    assert_eq!(client.receive().map(|m| m.status()), Some(200));
}

#[test]
fn a_stalled_body_is_given_up_soon() {
    let peer = Peer::healthy("s0");
    let (node, _registry) = start_node(&[&peer]);
    for text in [
        request("slip", "t", 20_000).replace("Content-Length: 4", "Content-Length: 100000"),
        request("slip", "t", 20_000).replace("Content-Length: 4", "Content-Length: 100000")
            + &"x".repeat(60_000),
        request("slip", "t", 20_000)
            .replace("Content-Length: 4\r\n\r\nwork", "Transfer-Encoding: chunked\r\n\r\nffff\r\nwork"),
    ] {
        let mut client = Client::to(&node);
        let started = Instant::now();
        client.send(&text);
        assert!(client.is_closed_or_reset());
        // Bytes that arrived at once do not extend the time: by the minimum rate alone the second body would
        // have six seconds.
        assert!(started.elapsed() < Duration::from_millis(4500), "{:?}", started.elapsed());
    }
    assert!(peer.seen().is_empty());
}

#[test]
fn an_endless_body_is_rejected_and_not_forwarded() {
    let peer = Peer::healthy("s0");
    let (node, _registry) = start_node(&[&peer]);
    let head = request("slip", "t", 10_000)
        .replace("Content-Length: 4\r\n\r\nwork", "Transfer-Encoding: chunked\r\n\r\n");
    let mut stream = TcpStream::connect(node.address).expect("the node listens");
    let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x10000));
    stream.write_all(head.as_bytes()).expect("the node reads");
    // Twice the longest body that is accepted.
    let _ = (0..1200).try_for_each(|_| stream.write_all(chunk.as_bytes()));
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket");
    let mut raw = Vec::new();
    let ended = stream.read_to_end(&mut raw).map_err(|e| e.kind());
    assert!(matches!(ended, Ok(_) | Err(std::io::ErrorKind::ConnectionReset)), "{ended:?}");
    assert!(!raw.starts_with(b"HTTP/1.1 200"));
    assert!(peer.seen().is_empty());
    assert_eq!(Client::to(&node).ask(&request("slip", "u", 10_000)).status(), 200);
}

#[test]
fn a_slow_head_after_a_chunked_request_has_its_full_time() {
    let peer = Peer::healthy("s0");
    let (node, _registry) = start_node(&[&peer]);
    for end in ["0\r\n\r\n", "0;last=1\r\n\r\n", "0\r\nX-Sum: 1\r\n\r\n"] {
        let mut client = Client::to(&node);
        let chunked = request("slip", "t", 20_000).replace(
            "Content-Length: 4\r\n\r\nwork",
            &format!("Transfer-Encoding: chunked\r\n\r\n4\r\nwork\r\n{end}"),
        );
        assert_eq!(client.ask(&chunked).status(), 200);
        std::thread::sleep(Duration::from_millis(1200));
        // A head has two seconds, counted from its first byte.
        let next = request("look", "u", 20_000);
        for part in next.as_bytes().chunks(next.len() / 9) {
            std::thread::sleep(Duration::from_millis(200));
            client.send(std::str::from_utf8(part).expect("text"));
        }
        assert_eq!(client.receive().map(|m| m.status()), Some(200), "{end:?}");
    }
}

/// Starts a node that buffers at most one megabyte of a body.
fn start_node_with_little_memory(peer: &Peer) -> (Node, Registry) {
    let registry = Registry::new(&[host("s0", peer.address, "active", 0)]);
    let mut node_config = config(registry.address);
    node_config["limits"]["memory_mb"] = serde_json::json!(8);
    // Shorter than the transfer of a slow body.
    for class in node_config["settings"]["Classes"].as_array_mut().expect("a list") {
        (class["Slo"], class["LateValue"]) = (serde_json::json!(1000.0), serde_json::json!(0.0));
    }
    (Node::ready(&node_config), registry)
}

fn post(txn: &str, remaining: u64, framing: &str) -> String {
    request("slip", txn, remaining).replace("Content-Length: 4\r\n\r\nwork", &format!("{framing}\r\n\r\n"))
}

#[test]
fn a_body_too_long_to_buffer_is_streamed() {
    let peer = Peer::new(|m| Reply::Now(answer(200, "", &m.body.len().to_string())));
    let (node, _registry) = start_node_with_little_memory(&peer);
    let long = String::from_utf8(body(20_000_000).iter().map(|b| b'a' + b % 26).collect()).expect("text");
    let with_content_length = post("a", 10_000, "Content-Length: 20000000") + &long;
    let chunks = format!("{}1312d00\r\n{long}\r\n0\r\n\r\n", post("b", 10_000, "Transfer-Encoding: chunked"));
    for text in [with_content_length, chunks] {
        assert_eq!(Client::to(&node).ask(&text).body, b"20000000");
    }
    let seen = peer.seen();
    assert!(
        seen.len() == 2 && seen.iter().all(|m| m.body == long.as_bytes()),
        "each arrives once, unchanged"
    );
    assert!(node.peak_memory() < 24 << 20, "{} bytes, in a debug build", node.peak_memory());
}

#[test]
fn the_deadline_of_a_streamed_body_counts_from_its_last_byte() {
    let peer = Peer::new(|_| Reply::After(Duration::from_millis(700), answer(200, "", "")));
    let (node, _registry) = start_node_with_little_memory(&peer);
    let mut client = Client::to(&node);
    client.send(&(post("a", 1000, "Content-Length: 2100000") + &"x".repeat(2_000_000)));
    let started = Instant::now();
    for _ in 0..20 {
        std::thread::sleep(Duration::from_millis(100));
        client.send(&"x".repeat(5000));
    }
    assert!(started.elapsed() > Duration::from_millis(1900), "longer than the remaining time");
    assert_eq!(client.receive().map(|m| m.status()), Some(200));
    assert_eq!(peer.seen().len(), 1);
}

#[test]
fn a_server_that_stops_reading_a_long_body_is_given_up_and_never_ran() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let target = listener.local_addr().expect("bound");
    let stuck = std::thread::spawn(move || listener.accept().map(|(stream, _)| stream));
    let registry = Registry::new(&[host("s0", target, "active", 0)]);
    let mut node_config = config(registry.address);
    node_config["limits"]["memory_mb"] = serde_json::json!(8);
    node_config["settings"]["Limits"]["Probes"] = serde_json::json!(false);
    let node = Node::ready(&node_config);
    let mut stream = TcpStream::connect(node.address).expect("the node listens");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket");
    let mut out = stream.try_clone().expect("a socket");
    let writer = std::thread::spawn(move || {
        let _ = out.write_all(post("a", 10_000, "Content-Length: 30000000").as_bytes());
        let _ = out.write_all(&vec![b'x'; 30_000_000]);
    });
    let mut head = [0; 12];
    stream.read_exact(&mut head).expect("an answer");
    assert_eq!(&head, b"HTTP/1.1 503", "the last byte was never written, so it can't have run");
    drop(stream);
    let _ = writer.join();
    drop(stuck);
}

/// Creates a directory that two processes share.
fn shared_dir(name: &str) -> std::path::PathBuf {
    let shared_dir = std::env::temp_dir().join(format!("glenwood-large-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&shared_dir).expect("a folder");
    shared_dir
}

/// A client in the middle of a 32 MB transfer: it has read the start of an answer, or written half of a body.
struct HalfwayClient {
    stream: TcpStream,
    received: Vec<u8>,
    unsent: Vec<u8>,
}

impl HalfwayClient {
    fn reading(target: std::net::SocketAddr, txn: &str) -> Self {
        let mut stream = TcpStream::connect(target).expect("the node listens");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket");
        stream.write_all(request("look", txn, 15_000).as_bytes()).expect("the node reads");
        let mut received = vec![0; 1 << 20];
        stream.read_exact(&mut received).expect("the start of the answer");
        Self { stream, received, unsent: Vec::new() }
    }

    fn writing(target: std::net::SocketAddr, txn: &str) -> Self {
        // The body is made before connecting: the node closes connections that send nothing, or pause in a
        // body, for too long.
        let whole_body = body(32_000_000);
        let mut stream = TcpStream::connect(target).expect("the node listens");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket");
        stream.write_all(post(txn, 15_000, "Content-Length: 32000000").as_bytes()).expect("the node reads");
        stream.write_all(&whole_body[..16_000_000]).expect("the node reads");
        Self { stream, received: Vec::new(), unsent: whole_body[16_000_000..].to_vec() }
    }

    /// Finishes the transfer; returns the answer.
    fn finish(mut self) -> Option<(u16, Vec<u8>)> {
        self.stream.write_all(&self.unsent).ok()?;
        while complete_response(&self.received).is_none() {
            let mut more = [0; 1 << 16];
            match self.stream.read(&mut more).ok()? {
                0 => break,
                n => self.received.extend(&more[..n]),
            }
        }
        complete_response(&self.received)
    }
}

/// A server that answers GET with 32 MB and POST with the length of the body that it received.
fn server_with_long_answers() -> Peer {
    Peer::new(|m| {
        Reply::Now(match m.path().starts_with("/look") {
            true => response_with_length(32_000_000),
            false => answer(200, "", &m.body.len().to_string()),
        })
    })
}

#[test]
fn an_upgrade_during_32_mb_transfers_breaks_neither_direction() {
    let shared_dir = shared_dir("midway");
    let peer = server_with_long_answers();
    let registry = Registry::new(&[host("s0", peer.address, "active", 0)]);
    let (mut old, new) = {
        let node_config = config(registry.address);
        let old = Node::started_in(&shared_dir, &node_config).wait_listening();
        old.wait_ready();
        old.wait_for_log("can hand its listening sockets on");
        let mut successor_config = node_config.clone();
        successor_config["listen"] = serde_json::json!(old.address.to_string());
        // Both belong to the old process, as the new one does not run yet.
        let halfway = (HalfwayClient::reading(old.address, "a"), HalfwayClient::writing(old.address, "b"));
        let new = Node::started_in(&shared_dir, &successor_config).wait_listening();
        new.wait_ready();
        old.terminate();
        old.wait_for_log("stops: it was told to");
        assert_eq!(halfway.1.finish(), Some((200, b"32000000".to_vec())));
        assert_eq!(
            halfway.0.finish().map(|(status, actual)| (status, actual == body(32_000_000))),
            Some((200, true))
        );
        (old, new)
    };
    assert_eq!(old.exit_code(), Some(0));
    assert_eq!(peer.seen().len(), 2, "each was executed once");
    assert!(peer.seen().iter().any(|m| m.body == body(32_000_000)), "unchanged");
    assert_eq!(Client::to(&new).ask(&request("pay", "c", 5000)).status(), 200);
    let _ = std::fs::remove_dir_all(shared_dir);
}

#[test]
fn a_drain_during_32_mb_transfers_lets_both_finish_and_sends_nothing_new() {
    let (peer, other) = (server_with_long_answers(), Peer::healthy("s1"));
    let (active, draining) = (host("s0", peer.address, "active", 0), host("s0", peer.address, "leaving", 0));
    let replacement = host("s1", other.address, "active", 0);
    let registry = Registry::new(&[active]);
    let mut node_config = config(registry.address);
    // So little memory that the body is streamed to its server while it arrives.
    node_config["limits"]["memory_mb"] = serde_json::json!(8);
    let node = Node::ready(&node_config);
    let (reader, writer) =
        (HalfwayClient::reading(node.address, "a"), HalfwayClient::writing(node.address, "b"));
    registry.publish(2, &[draining.clone(), replacement.clone()], &[draining, replacement]);
    let mut attempts = 0;
    until("the other server is in rotation", || {
        attempts += 1;
        let status = Client::to(&node).ask(&request("pay", &format!("c{attempts}"), 5000)).status();
        status == 200 && !other.seen().is_empty()
    });
    let before = peer.seen().len();
    for n in 0..10 {
        assert_eq!(Client::to(&node).ask(&request("pay", &format!("d{n}"), 5000)).status(), 200);
    }
    assert_eq!(peer.seen().len(), before, "no new requests");
    assert_eq!(writer.finish(), Some((200, b"32000000".to_vec())));
    assert_eq!(
        reader.finish().map(|(status, actual)| (status, actual == body(32_000_000))),
        Some((200, true))
    );
    assert!(peer.seen().iter().any(|m| m.body == body(32_000_000)), "unchanged");
}

#[test]
fn two_processes_of_an_upgrade_share_the_memory_for_bodies() {
    let shared_dir = shared_dir("bodies");
    let peer = Peer::healthy("s0");
    let registry = Registry::new(&[host("s0", peer.address, "active", 0)]);
    let mut node_config = config(registry.address);
    // This leaves a node 24 MB for bodies.
    node_config["limits"]["memory_mb"] = serde_json::json!(96);
    let old = Node::started_in(&shared_dir, &node_config).wait_listening();
    old.wait_ready();
    old.wait_for_log("can hand its listening sockets on");
    // Opened before a second process could accept them.
    let open = || (0..6).map(|_| Client::at(old.address)).collect::<Vec<_>>();
    let mut kept = open();
    for (n, client) in kept.iter_mut().enumerate() {
        assert_eq!(client.ask(&request("pay", &format!("a{n}"), 5000)).status(), 200);
    }
    node_config["listen"] = serde_json::json!(old.address.to_string());
    let mut new = Node::started_in(&shared_dir, &node_config).wait_listening();
    until("the two processes are in contact", || {
        old.log_contains("another process has the listening sockets too")
    });
    // The last byte of each body is sent once the node's memory has grown by the minimum: until then part of
    // the bodies is only in kernel buffers.
    let send_bodies = |name: &str, mut clients: Vec<Client>, min_growth: usize| {
        let base = old.peak_memory();
        for (n, client) in clients.iter_mut().enumerate() {
            client.send(&post(&format!("{name}{n}"), 15_000, "Content-Length: 3000000"));
            client.send(&"x".repeat(2_999_999));
        }
        until("the bodies are buffered", || old.peak_memory() - base > min_growth);
        for client in &mut clients {
            client.send("x");
            assert_eq!(client.receive().map(|m| m.status()), Some(200));
        }
        old.peak_memory() - base
    };
    let with_successor = send_bodies("b", kept, 6 << 20);
    assert!(with_successor < 16 << 20, "{with_successor} bytes of {}", 24 << 20);
    new.kill();
    until("the old process notices the end", || old.log_contains("the other process is gone"));
    // The old process is alone again.
    send_bodies("c", open(), 3 << 20);
    let _ = std::fs::remove_dir_all(shared_dir);
}
