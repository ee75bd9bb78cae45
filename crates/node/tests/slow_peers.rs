//! Servers that write long answers, or read long requests, slowly; and the final answer that their clients
//! are owed all the same.

mod peers;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use peers::answers::{ask, body, closing, read_outcome, Form, Outcome, LATE_ANSWER_SLACK};
use peers::{answer, config, host, request, Node, Peer, Registry, Reply};

/// How long the rest of a long answer may be held back.
const MAX_HELD_BACK: Duration = Duration::from_secs(2);
/// How long the clients of these tests wait.
const CLIENT_WAIT: Duration = Duration::from_millis(800);
/// How many clients ask at a time.
const CLIENTS: usize = 12;
/// How long a server pauses between two pieces.
const PAUSE: Duration = Duration::from_millis(100);

/// Has several clients ask at the same time.
fn ask_together(node: &Node, class: &str, wait: Duration) -> Vec<Outcome> {
    let address = node.address;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let text = request(class, &format!("{class}{n}"), wait.as_millis() as u64);
            std::thread::spawn(move || ask(address, &text))
        })
        .collect();
    clients.into_iter().map(|client| client.join().expect("the client ends")).collect()
}

/// Checks several cases at the same time.
fn side_by_side<T: Copy + Sync>(cases: &[T], check: impl Fn(T) + Sync) {
    std::thread::scope(|scope| {
        for case in cases {
            scope.spawn(|| check(*case));
        }
    });
}

fn start_node(peers: &[Peer], memory_mb: usize) -> (Node, Registry) {
    let hosts: Vec<_> =
        peers.iter().enumerate().map(|(n, peer)| host(&format!("s{n}"), peer.address, "active", 0)).collect();
    let registry = Registry::new(&hosts);
    let mut node_config = config(registry.address);
    node_config["limits"] = serde_json::json!({"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024});
    (Node::ready(&node_config), registry)
}

fn peers_that_respond(response: impl Fn() -> Reply + Clone + Send + Sync + 'static) -> Vec<Peer> {
    let peer = |_| {
        let response = response.clone();
        Peer::new(move |message| match message.path() {
            "/health" => Reply::Now(answer(200, "", "")),
            _ => response(),
        })
    };
    (0..6).map(peer).collect()
}

/// Guards against cutting off a long answer of undeclared length that its server is still writing when the
/// client's time is up: its first bytes are timed, not its last.
#[test]
fn a_long_answer_under_way_at_its_deadline_is_not_cut_off() {
    let cases = [
        (Form::Chunked, 3_000),
        (Form::Chunked, 6_000),
        (Form::Chunked, 9_000),
        (Form::UpToTheClose, 6_000),
        (Form::Http10, 6_000),
    ];
    side_by_side(&cases, |(form, piece_bytes)| {
        let peers = peers_that_respond(move || form.response(145_000, piece_bytes, PAUSE));
        let (node, _registry) = start_node(&peers, 32);
        for class in ["look", "slip"] {
            let outcomes = ask_together(&node, class, CLIENT_WAIT);
            let whole = outcomes.iter().filter(|o| o.body.as_deref() == Some(&body(145_000))).count();
            let statuses: Vec<u16> = outcomes.iter().map(|o| o.status).collect();
            assert_eq!(whole, CLIENTS, "{form:?}, {piece_bytes} bytes, {class}: {statuses:?}");
            assert!(
                outcomes.iter().all(|o| o.first_byte <= CLIENT_WAIT),
                "{form:?}: first bytes in time: {outcomes:?}"
            );
        }
    });
}

/// Guards against holding back for seconds what a server has written of a long answer while its client has
/// time left.
#[test]
fn the_rest_of_a_long_answer_is_not_held_back() {
    side_by_side(&Form::ALL, |form| {
        let peers = peers_that_respond(move || form.response(70_000, 2_500, PAUSE));
        let (node, _registry) = start_node(&peers, 32);
        for outcome in ask_together(&node, "look", Duration::from_secs(10)) {
            assert_eq!(outcome.body.as_deref(), Some(&body(70_000)[..]), "{form:?}: {}", outcome.status);
            assert!(outcome.first_byte < MAX_HELD_BACK, "{form:?}: {:?}", outcome.first_byte);
        }
    });
}

/// Guards against a final answer that comes too late because a short answer, of which the last byte is timed,
/// was passed on while it trickled in, or because a server stopped within it.
#[test]
fn a_short_answer_that_trickles_or_stalls_leaves_its_client_an_answer_in_time() {
    let latest = CLIENT_WAIT + LATE_ANSWER_SLACK;
    side_by_side(&Form::ALL, |form| {
        let trickling = peers_that_respond(move || form.response(600, 10, Duration::from_millis(50)));
        let stalled = peers_that_respond(move || form.response(5_000, 1_000, Duration::from_secs(3)));
        for peers in [trickling, stalled] {
            let (node, _registry) = start_node(&peers, 32);
            for class in ["look", "slip"] {
                for outcome in ask_together(&node, class, CLIENT_WAIT) {
                    assert!(outcome.body.is_some(), "{form:?}, {class}: the answer is whole: {outcome:?}");
                    assert!(outcome.last_byte <= latest, "{form:?}, {class}: {:?}", outcome.last_byte);
                }
            }
        }
    });
}

/// Guards against taking an answer that breaks off after a part was passed on for a whole one.
#[test]
fn a_long_answer_that_breaks_off_after_its_deadline_is_seen_to_be_incomplete() {
    let peers = peers_that_respond(|| {
        let Reply::Pieces(mut response) = Form::Chunked.response(145_000, 6_000, PAUSE) else {
            unreachable!("a response in pieces")
        };
        response.pieces.truncate(18);
        response.closes = true;
        Reply::Pieces(response)
    });
    let (node, _registry) = start_node(&peers, 32);
    for outcome in ask_together(&node, "look", CLIENT_WAIT) {
        assert_eq!((outcome.status, outcome.body), (200, None));
        assert!(outcome.first_byte <= CLIENT_WAIT, "{:?}", outcome.first_byte);
    }
}

/// A server that reads requests at a limited rate.
struct SlowReader {
    address: SocketAddr,
}

impl SlowReader {
    /// How much it reads at a time, and how long it pauses then: 1.6 MB/s.
    const READ_BYTES: usize = 16_000;
    const READ_PAUSE: Duration = Duration::from_millis(10);

    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        socket2::SockRef::from(&listener).set_recv_buffer_size(64 * 1024).expect("a socket");
        let address = listener.local_addr().expect("bound");
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                std::thread::spawn(move || Self::serve(stream));
            }
        });
        Self { address }
    }

    fn serve(mut stream: TcpStream) -> Option<()> {
        loop {
            let (mut received, mut buffer) = (Vec::new(), vec![0; Self::READ_BYTES]);
            let end = loop {
                if let Some(at) = received.windows(4).position(|w| w == b"\r\n\r\n") {
                    break at + 4;
                }
                let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
                received.extend(&buffer[..count]);
            };
            let head = String::from_utf8_lossy(&received[..end]).to_lowercase();
            let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
            let mut left = length.map_or(0, |length| length.trim().parse::<usize>().expect("a length"));
            left -= received.len() - end;
            while left > 0 {
                let most = left.min(Self::READ_BYTES);
                left -= stream.read(&mut buffer[..most]).ok().filter(|count| *count > 0)?;
                std::thread::sleep(Self::READ_PAUSE);
            }
            stream.write_all(&answer(200, "", "served")).ok()?;
        }
    }
}

/// Guards against a final answer seconds late where a server reads a long request slowly: the client's time
/// counts from the last byte that it wrote, not from the last that the node read.
#[test]
fn a_server_that_reads_a_long_request_slowly_delays_no_final_answer() {
    // The body is forwarded as it arrives, or buffered whole.
    side_by_side(&[32, 192], |memory_mb| {
        let servers: Vec<SlowReader> = (0..6).map(|_| SlowReader::start()).collect();
        let server_host =
            |(n, server): (usize, &SlowReader)| host(&format!("s{n}"), server.address, "active", 0);
        let registry = Registry::new(&servers.iter().enumerate().map(server_host).collect::<Vec<_>>());
        let mut node_config = config(registry.address);
        node_config["limits"] = serde_json::json!({"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024});
        let node = Node::ready(&node_config);
        let address = node.address;
        let uploads: Vec<_> = (0..6).map(|n| std::thread::spawn(move || upload(address, n))).collect();
        for upload in uploads {
            let outcome = upload.join().expect("the client ends");
            assert!(outcome.status > 0, "{memory_mb} MB: a final answer: {outcome:?}");
            assert!(outcome.last_byte <= CLIENT_WAIT + LATE_ANSWER_SLACK, "{memory_mb} MB: {outcome:?}");
        }
    });
}

/// Sends a request of 6 MB, and reads its answer.
fn upload(node: SocketAddr, number: usize) -> Outcome {
    const REQUEST_BYTES: usize = 6_000_000;
    let framing = format!("Content-Length: {REQUEST_BYTES}\r\n\r\n");
    let head = request("slip", &format!("u{number}"), CLIENT_WAIT.as_millis() as u64);
    let head = closing(&head.replace("Content-Length: 4\r\n\r\nwork", &framing));
    let mut stream = TcpStream::connect(node).expect("the node listens");
    // A node that has answered stops reading: the rest can't be written then.
    let _ = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&body(REQUEST_BYTES)));
    read_outcome(&mut stream, Instant::now())
}

/// Guards against counting the time of a request from the end of the answer before it: one that was sent while
/// that answer was awaited is as old as it is.
#[test]
fn requests_sent_at_once_are_as_old_as_their_arrival() {
    const HEAVY_WORK: Duration = Duration::from_millis(1_500);
    const FOLLOWING: usize = 24;
    let wait = Duration::from_secs(2);
    /// How much more than its client has left a server may be told.
    const TOLD_SLACK: Duration = Duration::from_millis(150);
    for pause in [Duration::ZERO, Duration::from_millis(2)] {
        let told = Arc::new(Mutex::new(Vec::new()));
        let record = told.clone();
        let peer = Peer::new(move |message| {
            let Some(id) = message.header("x-txn") else { return Reply::Now(answer(200, "", "")) };
            let left = message.header("x-remaining-ms").and_then(|ms| ms.parse().ok()).expect("a time");
            let until = Instant::now() + Duration::from_millis(left);
            record.lock().expect("no test has failed").push((id.to_string(), until));
            let work = if id.ends_with("heavy") { HEAVY_WORK } else { Duration::from_millis(100) };
            Reply::After(work, answer(200, "", "served"))
        });
        let (node, _registry) = start_node(&[peer], 192);
        let mut client = peers::Client::to(&node);
        let mut sent = Vec::new();
        for n in 0..=FOLLOWING {
            let id = if n == 0 { "t0-heavy".to_string() } else { format!("t{n}") };
            client.send(&request("look", &id, wait.as_millis() as u64));
            sent.push((id, Instant::now()));
            std::thread::sleep(pause);
        }
        for (id, sent) in &sent {
            assert!(client.receive().is_some(), "{id}: a final answer");
            assert!(sent.elapsed() <= wait + LATE_ANSWER_SLACK, "{id}: after {:?}", sent.elapsed());
        }
        for (id, until) in &*told.lock().expect("no test has failed") {
            let sent = sent.iter().find(|(other, _)| other == id).expect("it was sent").1;
            let excess = until.saturating_duration_since(sent + wait);
            assert!(excess <= TOLD_SLACK, "{id}: its server was told {excess:?} too much");
        }
    }
}

/// Guards against taking a long answer for one that no request asked for because its head comes sooner than
/// short answers do.
#[test]
fn a_long_answer_whose_head_comes_at_once_is_believed() {
    /// Longer than the node rests its connections after its start, so that they are in steady use.
    const WARM_UP: Duration = Duration::from_millis(1_500);
    const REQUESTS: usize = 120;
    let long = body(300_000);
    let peers: Vec<Peer> = (0..2)
        .map(|_| {
            let long = answer(200, "", std::str::from_utf8(&long).expect("text"));
            Peer::new(move |message| match message.header("x-org") {
                Some("long") => Reply::Now(long.clone()),
                _ => Reply::After(Duration::from_millis(6), answer(200, "", "short")),
            })
        })
        .collect();
    let (node, _registry) = start_node(&peers, 192);
    let mut client = peers::Client::to(&node);
    let mut statuses = Vec::new();
    let mut ask = |n: usize, is_long: bool| {
        let text = request("slip", &format!("t{n}"), 5_000);
        let text = if is_long { text.replace("X-Txn", "X-Org: long\r\nX-Txn") } else { text };
        statuses.push(client.ask(&text).status());
    };
    let started = Instant::now();
    let warm_up_requests = (0..).take_while(|n| {
        ask(*n, false);
        started.elapsed() < WARM_UP
    });
    let next = warm_up_requests.count() + 1;
    // With two servers in turn, each gets both kinds.
    (0..REQUESTS).for_each(|n| ask(next + n, n % 3 == 0));
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert!(!node.log_contains("answer doubted"), "no answer is doubted");
}
