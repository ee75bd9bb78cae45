//! Servers that write long answers, or read long requests, slowly; and the final answer that their clients
//! are owed all the same.

mod peers;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use peers::{answer, config, host, request, Node, Peer, Pieces, Registry, Reply, WAIT_TIMEOUT};

/// How long after its client's time a final answer may come before the request counts as lost.
const LATE_ANSWER_SLACK: Duration = Duration::from_millis(500);
/// How long the rest of a long answer may be held back.
const MAX_HELD_BACK: Duration = Duration::from_secs(2);
/// How long the clients of these tests wait.
const CLIENT_WAIT: Duration = Duration::from_millis(800);
/// How many clients ask at a time.
const CLIENTS: usize = 12;
/// How long a server pauses between two pieces.
const PAUSE: Duration = Duration::from_millis(100);

/// How a response of undeclared length ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    Chunked,
    UpToTheClose,
    Http10,
}

impl Form {
    const ALL: [Self; 3] = [Self::Chunked, Self::UpToTheClose, Self::Http10];

    fn head(self) -> &'static [u8] {
        match self {
            Self::Chunked => b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            Self::UpToTheClose => b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
            Self::Http10 => b"HTTP/1.0 200 OK\r\n\r\n",
        }
    }

    /// A response that is written in pieces of `piece_bytes` each.
    fn response(self, body_bytes: usize, piece_bytes: usize, pause: Duration) -> Reply {
        let mut pieces: Vec<Vec<u8>> =
            body(body_bytes).chunks(piece_bytes).map(|piece| self.framed(piece)).collect();
        pieces[0].splice(0..0, self.head().iter().copied());
        if self == Self::Chunked {
            pieces.last_mut().expect("a piece").extend(b"0\r\n\r\n");
        }
        Reply::Pieces(Pieces { pieces, pause, closes: self != Self::Chunked })
    }

    fn framed(self, piece: &[u8]) -> Vec<u8> {
        if self != Self::Chunked {
            return piece.to_vec();
        }
        [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat()
    }
}

/// A body in which a part that is missing or moved shows.
fn body(length: usize) -> Vec<u8> {
    (0..length as u32).map(|n| b'a' + ((n.wrapping_mul(2_654_435_761) >> 24) % 26) as u8).collect()
}

/// What a client saw of an answer.
#[derive(Debug)]
struct Outcome {
    status: u16,
    /// The body, if a client can tell that it is whole.
    body: Option<Vec<u8>>,
    /// When the first byte came, after the last byte of the request.
    first_byte: Duration,
    /// When the last byte came.
    last_byte: Duration,
}

/// The body of a message as far as it came, if it is whole.
fn whole_body(head: &str, mut rest: &[u8]) -> Option<Vec<u8>> {
    if let Some(length) = head.lines().find_map(|line| line.strip_prefix("content-length:")) {
        return (rest.len() == length.trim().parse::<usize>().ok()?).then(|| rest.to_vec());
    }
    let mut body = Vec::new();
    loop {
        let line = rest.windows(2).position(|w| w == b"\r\n")?;
        let size = usize::from_str_radix(std::str::from_utf8(&rest[..line]).ok()?, 16).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.extend(rest.get(line + 2..line + 2 + size)?);
        rest = rest.get(line + 4 + size..)?;
    }
}

/// Reads an answer up to the end of its connection, which the request must have asked for.
fn read_outcome(stream: &mut TcpStream, sent: Instant) -> Outcome {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket");
    let (mut raw, mut first_byte, mut last_byte) = (Vec::new(), None, sent.elapsed());
    let mut buffer = vec![0; 1 << 16];
    while let Ok(count @ 1..) = stream.read(&mut buffer) {
        raw.extend(&buffer[..count]);
        last_byte = sent.elapsed();
        first_byte.get_or_insert(last_byte);
    }
    let end = raw.windows(4).position(|w| w == b"\r\n\r\n").unwrap_or(raw.len());
    let head = String::from_utf8_lossy(&raw[..end]).to_lowercase();
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let body = whole_body(&head, raw.get(end + 4..).unwrap_or_default());
    Outcome { status, body, first_byte: first_byte.unwrap_or(last_byte), last_byte }
}

fn closing(text: &str) -> String {
    text.replacen("\r\n", "\r\nConnection: close\r\n", 1)
}

fn ask(node: SocketAddr, text: &str) -> Outcome {
    let mut stream = TcpStream::connect(node).expect("the node listens");
    stream.write_all(closing(text).as_bytes()).expect("the node reads");
    read_outcome(&mut stream, Instant::now())
}

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
