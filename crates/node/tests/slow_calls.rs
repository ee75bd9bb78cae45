//! MessagePack-RPC clients that write their calls slowly, beside calls that are open on the same connection.
//!
//! To run more seeds: `GLENWOOD_SLOW_CALL_SEEDS=20 cargo test --release --test slow_calls -- --nocapture`.

use std::time::{Duration, Instant};

use fastrand::Rng;
use glenwood_testkit::client::{ask_once, Answer, Ask, Effect, RpcClient};
use glenwood_testkit::discovery::{active, Discovery};
use glenwood_testkit::node::{config, settings, Node, Program};
use glenwood_testkit::script::{Ledger, ReceivedRequest, Step};
use glenwood_testkit::server::{Identity, Protocol, StandIn};
use glenwood_testkit::{wait, WAIT_TIMEOUT};

const MSGPACK_SECTION: &str = "[msgpack]\nlisten = '127.0.0.1:0'\n";
/// What a client may take for a head, and the rate at which it may write a body.
const LONGEST_HEAD: Duration = Duration::from_secs(2);
const BODY_BYTES_PER_S: f64 = 64_000.0;
const LONGEST_BODY: usize = 64 * 1024;
/// The time of the clients' calls.
const REMAINING_MS: u64 = 6_000;
/// How many connections and calls a seed plays, and how many seeds by default.
const CONNECTIONS: usize = 12;
const CALLS: usize = 3;
const SEEDS: u64 = 1;
/// How many clients come to a node whose connections are all taken.
const NEW_CLIENTS: usize = 16;

/// A node before one server, which takes the time that the path of a call names, in milliseconds.
struct Site {
    node: Node,
    ledger: Ledger,
    _server: StandIn,
    _discovery: Discovery,
}

impl Site {
    fn start(change: impl FnOnce(&mut serde_json::Value)) -> Self {
        let ledger = Ledger::new(WAIT_TIMEOUT);
        let script = |request: &ReceivedRequest| match request.path.trim_start_matches('/').parse() {
            Ok(delay_ms) => Step::ServeAfter(Duration::from_millis(delay_ms)),
            Err(_) => Step::Serve,
        };
        let identity = Identity { name: "s0".into(), cell: 1, protocol: Protocol::Http };
        let server = StandIn::start(identity, std::sync::Arc::new(script), ledger.clone());
        let discovery = Discovery::start(&[active(&server)]);
        let mut config = config("n0", discovery.address, settings(10_000.0));
        change(&mut config);
        let program = Program::new(env!("CARGO_BIN_EXE_glenwood"));
        let node = Node::start(&program, &config, Some(MSGPACK_SECTION));
        node.wait_ready();
        Self { node, ledger, _server: server, _discovery: discovery }
    }

    fn connect(&self) -> RpcClient {
        RpcClient::connect_to(self.node.address_for(Protocol::Rpc))
    }
}

/// An unsafe call whose server takes `server_ms`.
fn call(txn: &str, server_ms: u64, body_bytes: usize) -> Ask {
    let mut ask = Ask::new("slip", Effect::Unsafe, txn, REMAINING_MS);
    ask.path = format!("/{server_ms}");
    ask.body = vec![7; body_bytes];
    ask
}

/// Writes bytes; false if the connection has ended.
fn write(client: &mut RpcClient, bytes: &[u8]) -> bool {
    wait("a write", client.send_raw(bytes)).is_ok()
}

/// How a client writes a call that never becomes whole.
#[derive(Clone, Copy, Debug)]
enum Stall {
    /// A part of the head, then nothing.
    InHead,
    /// The head and half of the body, then nothing.
    InBody,
    /// Head and body, some bytes at a time.
    Trickle {
        /// How many bytes come every tenth of a second.
        bytes: usize,
    },
}

const STALLS: [Stall; 4] =
    [Stall::InHead, Stall::InBody, Stall::Trickle { bytes: 1 }, Stall::Trickle { bytes: 200 }];

/// Writes a call as told, until it stalls for good or the connection ends.
fn write_stalled(client: &mut RpcClient, ask: &Ask, id: u32, stall: Stall) {
    let message = ask.rpc(id);
    match stall {
        Stall::InHead => drop(write(client, &message[..20])),
        Stall::InBody => drop(write(client, &message[..message.len() - ask.body.len() / 2])),
        Stall::Trickle { bytes } => {
            let began = Instant::now();
            for piece in message.chunks(bytes) {
                if began.elapsed() > WAIT_TIMEOUT || !write(client, piece) {
                    return;
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
    }
}

/// Plays each stall on a connection with an open call, and checks that this call is answered.
fn open_calls_are_answered(site: &Site, server_ms: u64) {
    std::thread::scope(|scope| {
        for (n, stall) in STALLS.into_iter().enumerate() {
            scope.spawn(move || {
                let mut client = site.connect();
                assert!(write(&mut client, &call(&format!("open{n}"), server_ms, 10).rpc(1)));
                std::thread::sleep(Duration::from_millis(200));
                write_stalled(&mut client, &call(&format!("slow{n}"), 0, 60_000), 2, stall);
                let answer = wait("the answer", client.answer_to(1));
                assert!(matches!(answer, Ok(Answer::Served(_))), "{stall:?}: {answer:?}");
                assert_eq!(wait("the connection's end", client.read_to_end()), [], "{stall:?}");
            });
        }
    });
    assert_eq!(site.ledger.ids(), STALLS.len(), "no part of a call has reached a server");
}

/// Guards against cutting off an open call because the next one on its connection comes too slowly: the close
/// waits for the answers that are owed.
#[test]
fn a_call_that_never_becomes_whole_ends_its_connection_behind_the_open_calls_answers() {
    open_calls_are_answered(&Site::start(|_| {}), 3_500);
}

/// Guards against the same on a node that stops and has seconds left.
#[test]
fn a_stopping_node_answers_an_open_call_though_the_next_one_never_becomes_whole() {
    let mut site = Site::start(|_| {});
    std::thread::scope(|scope| {
        scope.spawn(|| {
            std::thread::sleep(Duration::from_millis(600));
            site.node.terminate();
        });
        open_calls_are_answered(&site, 3_000);
    });
    assert_eq!(site.node.exit_code(), Some(0));
}

/// Guards against a connection that a call which never becomes whole holds for ever, where nothing is open.
#[test]
fn a_call_that_never_becomes_whole_ends_a_connection_with_no_open_call() {
    let site = Site::start(|_| {});
    std::thread::scope(|scope| {
        for stall in STALLS {
            let site = &site;
            scope.spawn(move || {
                let mut client = site.connect();
                let began = Instant::now();
                write_stalled(&mut client, &call("slow", 0, 60_000), 1, stall);
                assert_eq!(wait("the connection's end", client.read_to_end()), [], "{stall:?}");
                // A head may take 2 s, and half of this body nearly half a second more.
                assert!(began.elapsed() >= LONGEST_HEAD, "{stall:?}: after {:?}", began.elapsed());
            });
        }
    });
    assert_eq!(site.ledger.ids(), 0);
}

/// The bytes of several calls in the pieces in which a client writes them, each with the time since the first
/// call's first byte.
fn sound_pieces(rng: &mut Rng, calls: &[Ask]) -> Vec<(Duration, Vec<u8>)> {
    let mut pieces: Vec<(Duration, Vec<u8>)> = Vec::new();
    let mut at = Duration::ZERO;
    for (n, ask) in calls.iter().enumerate() {
        let message = ask.rpc(n as u32);
        let (head, body) = message.split_at(message.len() - ask.body.len());
        let head_time = Duration::from_millis(rng.u64(100..=LONGEST_HEAD.as_millis() as u64));
        let steps = rng.usize(1..=20);
        for step in 0..=steps {
            let due = at + head_time * step as u32 / steps as u32;
            let piece = &head[step * head.len() / (steps + 1)..(step + 1) * head.len() / (steps + 1)];
            match pieces.last_mut() {
                // The first bytes of a head come in one piece with the end of the body before it.
                Some((_, last)) if step == 0 && rng.bool() => last.extend_from_slice(piece),
                _ => pieces.push((due, piece.to_vec())),
            }
        }
        at += head_time;
        // Small pieces, or lumps of up to the whole body.
        let piece_bytes = if rng.bool() { rng.usize(500..4_000) } else { rng.usize(8_000..=LONGEST_BODY) };
        for piece in body.chunks(piece_bytes) {
            at += Duration::from_secs_f64(piece.len() as f64 / BODY_BYTES_PER_S);
            pieces.push((at, piece.to_vec()));
        }
    }
    pieces
}

/// Writes calls that are as slow as a client may be, on a connection of their own, and returns the answers.
fn play_sound_calls(site: &Site, rng: &mut Rng, name: &str) -> Vec<Answer> {
    let calls: Vec<Ask> = (0..CALLS)
        .map(|n| {
            let longest = if rng.bool() { LONGEST_BODY } else { 2_000 };
            call(&format!("{name}-{n}"), rng.u64(0..=3_500), rng.usize(1..=longest))
        })
        .collect();
    let pieces = sound_pieces(rng, &calls);
    let mut client = site.connect();
    let began = Instant::now();
    for (due, piece) in pieces {
        std::thread::sleep(due.saturating_sub(began.elapsed()));
        if !write(&mut client, &piece) {
            break;
        }
    }
    let answer = |id| wait("an answer", client.answer_to(id)).unwrap_or(Answer::Lost);
    (0..CALLS as u32).map(answer).collect()
}

/// Guards against a limit for head and body together that is shorter than the two a client may take.
#[test]
fn calls_as_slow_as_a_client_may_be_are_served() {
    let seeds = std::env::var("GLENWOOD_SLOW_CALL_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    for seed in 1..=seeds.unwrap_or(SEEDS) {
        let site = Site::start(|_| {});
        let answers: Vec<Vec<Answer>> = std::thread::scope(|scope| {
            let site = &site;
            let play = |n: usize| {
                let mut rng = Rng::with_seed(seed * 1_000 + n as u64);
                move || play_sound_calls(site, &mut rng, &format!("c{n}"))
            };
            let playing: Vec<_> = (0..CONNECTIONS).map(|n| scope.spawn(play(n))).collect();
            playing.into_iter().map(|played| played.join().expect("no panic")).collect()
        });
        let kinds: Vec<Vec<&str>> =
            answers.iter().map(|answers| answers.iter().map(Answer::kind).collect()).collect();
        println!("seed {seed}: {kinds:?}");
        let is_served = |answer: &Answer| matches!(answer, Answer::Served(_));
        assert!(answers.iter().flatten().all(is_served), "seed {seed}: {kinds:?}");
        assert_eq!(site.ledger.executed_repeatedly(), []);
    }
}

/// Guards against calls under way that hold all connections of a node: like requests under way over HTTP, they
/// make room for new clients.
#[test]
fn connections_with_half_a_call_make_room_for_new_clients() {
    let site = Site::start(|config| config["limits"]["sockets"] = 56.into());
    let stalled: Vec<RpcClient> = (0..40)
        .map(|n| {
            let mut client = site.connect();
            let ask = call(&format!("half{n}"), 0, 60_000);
            let message = ask.rpc(1);
            assert!(write(&mut client, &message[..message.len() - 30_000]));
            client
        })
        .collect();
    // The first of each protocol may have a place that was found before the others took theirs.
    let outcomes: Vec<(Answer, Duration)> = std::thread::scope(|scope| {
        let site = &site;
        let ask = |n: usize| {
            let protocol = if n.is_multiple_of(2) { Protocol::Http } else { Protocol::Rpc };
            let address = site.node.address_for(protocol);
            move || ask_once(protocol, address, &call(&format!("new{n}"), 0, 10))
        };
        let asking: Vec<_> = (0..NEW_CLIENTS).map(|n| scope.spawn(ask(n))).collect();
        asking.into_iter().map(|asked| asked.join().expect("no panic")).collect()
    });
    // No limit on a call under way has been reached by then.
    let is_in_time = |(answer, elapsed): &(Answer, Duration)| {
        matches!(answer, Answer::Served(_)) && *elapsed < LONGEST_HEAD
    };
    assert!(outcomes.iter().all(is_in_time), "{outcomes:?}");
    drop(stalled);
}
