//! Long and slow messages through the real program.

mod peers;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use peers::{
    answer, config, host, request, until, Client, Message, Node, Peer, Registry, Reply, WAIT_TIMEOUT,
};

/// A body that no two places of are alike.
fn body(length: usize) -> Vec<u8> {
    (0..length as u32).map(|n| (n.wrapping_mul(2_654_435_761) >> 24) as u8).collect()
}

fn with_length(length: usize) -> Vec<u8> {
    let mut all = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").into_bytes();
    all.extend(body(length));
    all
}

fn in_chunks(length: usize, trailer: &str) -> Vec<u8> {
    let mut all = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for chunk in body(length).chunks(10_000) {
        all.extend(format!("{:x};note=a\r\n", chunk.len()).bytes());
        all.extend(chunk);
        all.extend(b"\r\n");
    }
    all.extend(format!("0\r\n{trailer}\r\n").bytes());
    all
}

fn ready(peers: &[&Peer]) -> (Node, Registry) {
    let names = ["s0", "s1", "s2"];
    let hosts: Vec<_> = peers.iter().zip(names).map(|(p, name)| host(name, p.address, "active", 0)).collect();
    let registry = Registry::new(&hosts);
    (Node::ready(&config(registry.address)), registry)
}

/// Asks on a connection of its own that ends with the answer; all that comes back.
fn ask_raw(node: &Node, words: &str) -> Vec<u8> {
    let mut stream = TcpStream::connect(node.address).expect("the node listens");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket");
    let words = words.replacen("\r\n", "\r\nConnection: close\r\n", 1);
    stream.write_all(words.as_bytes()).expect("the node reads");
    let mut all = Vec::new();
    let _ = stream.read_to_end(&mut all);
    all
}

/// The status and the body of an answer that came whole; `None` where a client could tell that it did not.
fn whole(all: &[u8]) -> Option<(u16, Vec<u8>)> {
    let end = all.windows(4).position(|w| w == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&all[..end]).to_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut rest = &all[end + 4..];
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
        with_length(long),
        in_chunks(long, ""),
        in_chunks(long, "X-Sum: 1\r\n"),
        [b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".to_vec(), body(long)].concat(),
        [b"HTTP/1.1 100 Continue\r\n\r\n".to_vec(), with_length(long)].concat(),
    ]
    .into_iter()
    .enumerate()
    {
        let closes = n == 3;
        let peer =
            Peer::new(
                move |_| if closes { Reply::ThenClose(bytes.clone()) } else { Reply::Now(bytes.clone()) },
            );
        let (node, _registry) = ready(&[&peer]);
        for round in 0..3 {
            let all = ask_raw(&node, &request("look", &format!("t{round}"), 10_000));
            assert!(whole(&all) == Some((200, body(long))), "form {n}: {} bytes", all.len());
        }
    }
}

#[test]
fn a_kept_connection_serves_after_a_long_answer() {
    let peer = Peer::new(|_| Reply::Now(with_length(300_000)));
    let (node, _registry) = ready(&[&peer]);
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
fn an_answer_that_breaks_on_its_way_is_not_asked_for_again_and_its_client_can_tell() {
    for part in [1, 2, 3] {
        let broken = move |bytes: Vec<u8>| {
            let cut = bytes.len() * part / 4;
            Reply::ThenClose(bytes[..cut].to_vec())
        };
        let peers = [
            Peer::new(move |_| broken(with_length(1_000_000))),
            Peer::new(move |_| broken(in_chunks(1_000_000, ""))),
        ];
        for peer in &peers {
            let (node, _registry) = ready(&[peer]);
            let all = ask_raw(&node, &request("look", "t", 10_000));
            assert!(
                all.starts_with(b"HTTP/1.1 200") && all.len() > 64 * 1024,
                "it began: {} bytes",
                all.len()
            );
            assert_eq!(whole(&all), None, "its client can tell");
            assert_eq!(peer.seen().len(), 1, "no other attempt speaks after the first byte");
        }
    }
}

#[test]
fn what_cannot_be_so_long_or_does_not_say_where_it_ends_is_a_failure() {
    for bytes in [
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n".to_vec(),
        [b"HTTP/1.1 200 OK\r\n\r\n".to_vec(), body(1000)].concat(),
        [b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec(), body(1000)]
            .concat(),
    ] {
        let peer = Peer::new(move |_| Reply::ThenClose(bytes.clone()));
        let (node, _registry) = ready(&[&peer]);
        let all = ask_raw(&node, &request("slip", "t", 10_000));
        assert_eq!(whole(&all).map(|a| a.0), Some(502));
    }
}

#[test]
fn a_client_that_leaves_in_the_middle_frees_its_server() {
    let long = with_length(30_000_000);
    let peer = Peer::new(move |message: &Message| match message.header("x-org") {
        Some("long") => Reply::Now(long.clone()),
        _ => Reply::Now(answer(200, "", "short")),
    });
    let registry = Registry::new(&[host("s0", peer.address, "active", 0)]);
    let node = Node::ready(&config(registry.address));
    // More than the one server may have out of this node at a time.
    for n in 0..20 {
        let mut stream = TcpStream::connect(node.address).expect("the node listens");
        let words = request("look", &format!("a{n}"), 10_000).replace("X-Txn", "X-Org: long\r\nX-Txn");
        stream.write_all(words.as_bytes()).expect("the node reads");
        let mut some = vec![0; 100_000];
        stream.read_exact(&mut some).expect("it begins");
    }
    until("their connections end", || peer.open_connections() <= 1);
    assert_eq!(Client::to(&node).ask(&request("look", "b", 10_000)).body, b"short");
}

#[test]
fn forty_clients_that_stop_reading_long_answers_stay_within_the_memory() {
    let peers: Vec<Peer> = (0..3).map(|_| Peer::new(|_| Reply::Now(with_length(32 << 20)))).collect();
    let (node, _registry) = ready(&[&peers[0], &peers[1], &peers[2]]);
    let stuck: Vec<TcpStream> = (0..40)
        .filter_map(|n| {
            let mut stream = TcpStream::connect(node.address).expect("the node listens");
            stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket");
            stream.write_all(request("look", &format!("t{n}"), 20_000).as_bytes()).expect("the node reads");
            let mut some = vec![0; 1 << 20];
            stream.read_exact(&mut some).is_ok_and(|()| some.starts_with(b"HTTP/1.1 200")).then_some(stream)
        })
        .collect();
    assert!(stuck.len() >= 20, "{} flow at a time", stuck.len());
    // Within 48 MB with what the program itself takes, which is more in a build for tests.
    assert!(node.peak_memory() < 48 << 20, "{} bytes", node.peak_memory());
}

#[test]
fn a_long_body_goes_on_whole_and_can_be_sent_again() {
    // The first server to be asked has no room.
    let first = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true));
    let script = move |_: &Message| match first.swap(false, std::sync::atomic::Ordering::SeqCst) {
        true => Reply::Now(answer(503, "X-Turned-Away: 1\r\n", "")),
        false => Reply::Now(answer(200, "", "served")),
    };
    let script = std::sync::Arc::new(script);
    let again = script.clone();
    let (a, b) = (Peer::new(move |m| script(m)), Peer::new(move |m| again(m)));
    let (node, _registry) = ready(&[&a, &b]);
    let long = "0123456789abcdef".repeat(60_000);
    let head = request("slip", "t", 10_000).replace("Content-Length: 4\r\n\r\nwork", "");
    let words = format!("{head}Content-Length: {}\r\n\r\n{long}", long.len());
    assert_eq!(Client::to(&node).ask(&words).status(), 200);
    let seen = [a.seen(), b.seen()].concat();
    assert_eq!(seen.len(), 2);
    assert!(seen.iter().all(|m| m.body == long.as_bytes()));
    // In chunks, with what else they may carry, and asked for.
    let chunks = format!("{head}Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\nea600;a=b\r\n{long}\r\n0\r\nX-End: 1\r\n\r\n");
    let all = ask_raw(&node, &chunks.replace("X-Txn: t", "X-Txn: u"));
    assert!(all.starts_with(b"HTTP/1.1 100") && String::from_utf8_lossy(&all).ends_with("served"));
}

#[test]
fn a_slow_body_has_its_time_from_its_last_byte() {
    let peer = Peer::healthy("s0");
    let (node, _registry) = ready(&[&peer]);
    let mut client = Client::to(&node);
    let words = request("slip", "t", 1000).replace("Content-Length: 4", "Content-Length: 100000");
    client.send(&words);
    let began = Instant::now();
    // Longer than the time that is left by the head, and than a head may take.
    for _ in 0..35 {
        std::thread::sleep(Duration::from_millis(90));
        client.send(&"x".repeat(2800));
    }
    assert!(began.elapsed() > Duration::from_millis(2900));
    client.send(&"x".repeat(100_000 - 4 - 35 * 2800));
    assert_eq!(client.receive().map(|m| m.status()), Some(200));
}

#[test]
fn a_body_that_stops_coming_is_given_up_soon() {
    let peer = Peer::healthy("s0");
    let (node, _registry) = ready(&[&peer]);
    for words in [
        request("slip", "t", 20_000).replace("Content-Length: 4", "Content-Length: 100000"),
        request("slip", "t", 20_000).replace("Content-Length: 4", "Content-Length: 100000")
            + &"x".repeat(60_000),
        request("slip", "t", 20_000)
            .replace("Content-Length: 4\r\n\r\nwork", "Transfer-Encoding: chunked\r\n\r\nffff\r\nwork"),
    ] {
        let mut client = Client::to(&node);
        let began = Instant::now();
        client.send(&words);
        assert!(client.is_closed_or_reset());
        // What has come at once buys no time: by the pace alone the second would have six seconds.
        assert!(began.elapsed() < Duration::from_millis(4500), "{:?}", began.elapsed());
    }
    assert!(peer.seen().is_empty());
}

#[test]
fn a_body_without_end_is_answered_or_closed_on_and_goes_nowhere() {
    let peer = Peer::healthy("s0");
    let (node, _registry) = ready(&[&peer]);
    let head = request("slip", "t", 10_000)
        .replace("Content-Length: 4\r\n\r\nwork", "Transfer-Encoding: chunked\r\n\r\n");
    let mut stream = TcpStream::connect(node.address).expect("the node listens");
    let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x10000));
    stream.write_all(head.as_bytes()).expect("the node reads");
    // Twice what a body may have at the most.
    let _ = (0..1200).try_for_each(|_| stream.write_all(chunk.as_bytes()));
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket");
    let mut all = Vec::new();
    let ended = stream.read_to_end(&mut all).map_err(|e| e.kind());
    assert!(matches!(ended, Ok(_) | Err(std::io::ErrorKind::ConnectionReset)), "{ended:?}");
    assert!(!all.starts_with(b"HTTP/1.1 200"));
    assert!(peer.seen().is_empty());
    assert_eq!(Client::to(&node).ask(&request("slip", "u", 10_000)).status(), 200);
}

#[test]
fn a_slow_head_behind_a_request_in_chunks_has_its_whole_time() {
    let peer = Peer::healthy("s0");
    let (node, _registry) = ready(&[&peer]);
    for end in ["0\r\n\r\n", "0;last=1\r\n\r\n", "0\r\nX-Sum: 1\r\n\r\n"] {
        let mut client = Client::to(&node);
        let chunked = request("slip", "t", 20_000).replace(
            "Content-Length: 4\r\n\r\nwork",
            &format!("Transfer-Encoding: chunked\r\n\r\n4\r\nwork\r\n{end}"),
        );
        assert_eq!(client.ask(&chunked).status(), 200);
        std::thread::sleep(Duration::from_millis(1200));
        // Two seconds for a head, counted from its own first byte.
        let next = request("look", "u", 20_000);
        for part in next.as_bytes().chunks(next.len() / 9) {
            std::thread::sleep(Duration::from_millis(200));
            client.send(std::str::from_utf8(part).expect("text"));
        }
        assert_eq!(client.receive().map(|m| m.status()), Some(200), "{end:?}");
    }
}

/// A node that keeps a megabyte of one body at the most.
fn ready_small(peer: &Peer) -> (Node, Registry) {
    let registry = Registry::new(&[host("s0", peer.address, "active", 0)]);
    let mut told = config(registry.address);
    told["limits"]["memory_mb"] = serde_json::json!(8);
    // Less than a slow body takes.
    for class in told["settings"]["Classes"].as_array_mut().expect("a list") {
        (class["Slo"], class["LateValue"]) = (serde_json::json!(1000.0), serde_json::json!(0.0));
    }
    (Node::ready(&told), registry)
}

fn post(txn: &str, remaining: u64, framing: &str) -> String {
    request("slip", txn, remaining).replace("Content-Length: 4\r\n\r\nwork", &format!("{framing}\r\n\r\n"))
}

#[test]
fn a_body_too_long_to_be_kept_goes_on_while_it_comes() {
    let peer = Peer::new(|m| Reply::Now(answer(200, "", &m.body.len().to_string())));
    let (node, _registry) = ready_small(&peer);
    let long = String::from_utf8(body(20_000_000).iter().map(|b| b'a' + b % 26).collect()).expect("text");
    let whole = post("a", 10_000, "Content-Length: 20000000") + &long;
    let chunks = format!("{}1312d00\r\n{long}\r\n0\r\n\r\n", post("b", 10_000, "Transfer-Encoding: chunked"));
    for words in [whole, chunks] {
        assert_eq!(Client::to(&node).ask(&words).body, b"20000000");
    }
    let seen = peer.seen();
    assert!(seen.len() == 2 && seen.iter().all(|m| m.body == long.as_bytes()), "each once, unchanged");
    assert!(node.peak_memory() < 24 << 20, "{} bytes, in a build for tests", node.peak_memory());
}

#[test]
fn one_that_goes_on_while_it_comes_has_its_time_from_its_last_byte() {
    let peer = Peer::new(|_| Reply::After(Duration::from_millis(700), answer(200, "", "")));
    let (node, _registry) = ready_small(&peer);
    let mut client = Client::to(&node);
    client.send(&(post("a", 1000, "Content-Length: 2100000") + &"x".repeat(2_000_000)));
    let began = Instant::now();
    for _ in 0..20 {
        std::thread::sleep(Duration::from_millis(100));
        client.send(&"x".repeat(5000));
    }
    assert!(began.elapsed() > Duration::from_millis(1900), "longer than the time that is left");
    assert_eq!(client.receive().map(|m| m.status()), Some(200));
    assert_eq!(peer.seen().len(), 1);
}

#[test]
fn a_server_that_takes_no_more_of_a_long_body_is_given_up_and_never_ran() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("bound");
    let stuck = std::thread::spawn(move || listener.accept().map(|(stream, _)| stream));
    let registry = Registry::new(&[host("s0", at, "active", 0)]);
    let mut told = config(registry.address);
    told["limits"]["memory_mb"] = serde_json::json!(8);
    told["settings"]["Limits"]["Probes"] = serde_json::json!(false);
    let node = Node::ready(&told);
    let mut stream = TcpStream::connect(node.address).expect("the node listens");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket");
    let mut out = stream.try_clone().expect("a socket");
    let writes = std::thread::spawn(move || {
        let _ = out.write_all(post("a", 10_000, "Content-Length: 30000000").as_bytes());
        let _ = out.write_all(&vec![b'x'; 30_000_000]);
    });
    let mut head = [0; 12];
    stream.read_exact(&mut head).expect("an answer");
    assert_eq!(&head, b"HTTP/1.1 503", "its last byte was never written: it can't have run");
    drop(stream);
    let _ = writes.join();
    drop(stuck);
}

/// A folder that two processes have in common.
fn folder(name: &str) -> std::path::PathBuf {
    let folder = std::env::temp_dir().join(format!("glenwood-large-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// One whose client and whose server are in the middle of 32 MB: it has read the first of an answer, or written half of a body.
struct Midway {
    stream: TcpStream,
    came: Vec<u8>,
    owed: Vec<u8>,
}

impl Midway {
    fn reading(at: std::net::SocketAddr, txn: &str) -> Self {
        let mut stream = TcpStream::connect(at).expect("the node listens");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket");
        stream.write_all(request("look", txn, 15_000).as_bytes()).expect("the node reads");
        let mut came = vec![0; 1 << 20];
        stream.read_exact(&mut came).expect("the first of it");
        Self { stream, came, owed: Vec::new() }
    }

    fn writing(at: std::net::SocketAddr, txn: &str) -> Self {
        // Made before it connects: who says nothing for long is closed, and so is a body that pauses for long.
        let all = body(32_000_000);
        let mut stream = TcpStream::connect(at).expect("the node listens");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket");
        stream.write_all(post(txn, 15_000, "Content-Length: 32000000").as_bytes()).expect("the node reads");
        stream.write_all(&all[..16_000_000]).expect("the node reads");
        Self { stream, came: Vec::new(), owed: all[16_000_000..].to_vec() }
    }

    /// Goes on to the end; the answer.
    fn whole(mut self) -> Option<(u16, Vec<u8>)> {
        self.stream.write_all(&self.owed).ok()?;
        while whole(&self.came).is_none() {
            let mut more = [0; 1 << 16];
            match self.stream.read(&mut more).ok()? {
                0 => break,
                n => self.came.extend(&more[..n]),
            }
        }
        whole(&self.came)
    }
}

/// A server of long answers that says how long the bodies are that it gets.
fn long_both_ways() -> Peer {
    Peer::new(|m| {
        Reply::Now(match m.path().starts_with("/look") {
            true => with_length(32_000_000),
            false => answer(200, "", &m.body.len().to_string()),
        })
    })
}

#[test]
fn an_upgrade_in_the_middle_of_32_mb_breaks_neither_way_off() {
    let folder = folder("midway");
    let peer = long_both_ways();
    let registry = Registry::new(&[host("s0", peer.address, "active", 0)]);
    let (mut old, new) = {
        let told = config(registry.address);
        let old = Node::started_in(&folder, &told).wait_listening();
        old.wait_ready();
        old.wait_for_log("can hand its listening sockets on");
        let mut beside = told.clone();
        beside["listen"] = serde_json::json!(old.address.to_string());
        // They are the old one's, as no other is there yet.
        let midway = (Midway::reading(old.address, "a"), Midway::writing(old.address, "b"));
        let new = Node::started_in(&folder, &beside).wait_listening();
        new.wait_ready();
        old.terminate();
        old.wait_for_log("stops: it was told to");
        assert_eq!(midway.1.whole(), Some((200, b"32000000".to_vec())));
        assert_eq!(
            midway.0.whole().map(|(status, got)| (status, got == body(32_000_000))),
            Some((200, true))
        );
        (old, new)
    };
    assert_eq!(old.exit_code(), Some(0));
    assert_eq!(peer.seen().len(), 2, "each was carried out once");
    assert!(peer.seen().iter().any(|m| m.body == body(32_000_000)), "unchanged");
    assert_eq!(Client::to(&new).ask(&request("pay", "c", 5000)).status(), 200);
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_drain_in_the_middle_of_32_mb_lets_both_end_and_sends_nothing_new() {
    let (peer, other) = (long_both_ways(), Peer::healthy("s1"));
    let (up, leaves) = (host("s0", peer.address, "active", 0), host("s0", peer.address, "leaving", 0));
    let next = host("s1", other.address, "active", 0);
    let registry = Registry::new(&[up]);
    let mut told = config(registry.address);
    // So little that the body is at its server while it comes.
    told["limits"]["memory_mb"] = serde_json::json!(8);
    let node = Node::ready(&told);
    let (reads, writes) = (Midway::reading(node.address, "a"), Midway::writing(node.address, "b"));
    registry.publish(2, &[leaves.clone(), next.clone()], &[leaves, next]);
    let mut asked = 0;
    until("the other one is there", || {
        asked += 1;
        let status = Client::to(&node).ask(&request("pay", &format!("c{asked}"), 5000)).status();
        status == 200 && !other.seen().is_empty()
    });
    let before = peer.seen().len();
    for n in 0..10 {
        assert_eq!(Client::to(&node).ask(&request("pay", &format!("d{n}"), 5000)).status(), 200);
    }
    assert_eq!(peer.seen().len(), before, "nothing new");
    assert_eq!(writes.whole(), Some((200, b"32000000".to_vec())));
    assert_eq!(reads.whole().map(|(status, got)| (status, got == body(32_000_000))), Some((200, true)));
    assert!(peer.seen().iter().any(|m| m.body == body(32_000_000)), "unchanged");
}

#[test]
fn beside_another_a_process_keeps_half_of_the_bodies_that_a_node_may() {
    let folder = folder("bodies");
    let peer = Peer::healthy("s0");
    let registry = Registry::new(&[host("s0", peer.address, "active", 0)]);
    let mut told = config(registry.address);
    // 24 MB of bodies for a node.
    told["limits"]["memory_mb"] = serde_json::json!(96);
    let old = Node::started_in(&folder, &told).wait_listening();
    old.wait_ready();
    old.wait_for_log("can hand its listening sockets on");
    // Opened before there is another to take them.
    let open = || (0..6).map(|_| Client::at(old.address)).collect::<Vec<_>>();
    let mut kept = open();
    for (n, client) in kept.iter_mut().enumerate() {
        assert_eq!(client.ask(&request("pay", &format!("a{n}"), 5000)).status(), 200);
    }
    told["listen"] = serde_json::json!(old.address.to_string());
    let mut new = Node::started_in(&folder, &told).wait_listening();
    until("they have met", || old.log_contains("another process has the listening sockets too"));
    // The last bytes come once so much more is held: what the kernel has of a body the node does not hold yet.
    let round = |name: &str, mut clients: Vec<Client>, least: usize| {
        let base = old.peak_memory();
        for (n, client) in clients.iter_mut().enumerate() {
            client.send(&post(&format!("{name}{n}"), 15_000, "Content-Length: 3000000"));
            client.send(&"x".repeat(2_999_999));
        }
        until("the bodies are held", || old.peak_memory() - base > least);
        for client in &mut clients {
            client.send("x");
            assert_eq!(client.receive().map(|m| m.status()), Some(200));
        }
        old.peak_memory() - base
    };
    let beside = round("b", kept, 6 << 20);
    assert!(beside < 16 << 20, "{beside} bytes of {}", 24 << 20);
    new.kill();
    until("it is missed", || old.log_contains("the other process is gone"));
    // It is alone again.
    round("c", open(), 3 << 20);
    let _ = std::fs::remove_dir_all(folder);
}
