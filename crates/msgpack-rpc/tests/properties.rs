//! Checks that results do not depend on how the stream is split, that no input causes a panic, and that
//! memory stays bounded.

use bytes::{Bytes, BytesMut};
use glenwood_msgpack_rpc::client::{self, GivenUp, Ran};
use glenwood_msgpack_rpc::frame::{Bounds, Frames};
use glenwood_msgpack_rpc::message::{write_answer, write_call, Answer, Call, Code, ErrorReply};
use glenwood_msgpack_rpc::server::{self, Limits};
use proptest::collection::vec;
use proptest::prelude::*;

const BOUNDS: Bounds = Bounds { longest: 600, skipped: 4000, depth: 5 };

fn optional_text() -> impl Strategy<Value = Option<String>> {
    proptest::option::of("[a-z0-9]{1,40}")
}

fn call() -> impl Strategy<Value = Call> {
    let path = prop_oneof![Just(String::new()), "/[a-z0-9]{0,20}", "\\?[a-z=&]{0,9}"];
    let fields = (
        "[a-z-]{1,12}",
        path,
        optional_text(),
        optional_text(),
        optional_text(),
        proptest::option::of(0..100_000u64),
    );
    (fields, optional_text(), vec(any::<u8>(), 0..300)).prop_map(|(f, key, body)| {
        let (class, path, txn, org, user, remaining_ms) = f;
        Call { class, path, txn, org, user, remaining_ms, key, body: Bytes::from(body) }
    })
}

fn answer() -> impl Strategy<Value = Answer> {
    let error = (0..6usize, "[a-z ]{0,30}", proptest::option::of(0..5000u64))
        .prop_map(|(n, message, retry_after_ms)| ErrorReply { code: Code::ALL[n], message, retry_after_ms });
    prop_oneof![vec(any::<u8>(), 0..300).prop_map(|b| Ok(Bytes::from(b))), error.prop_map(Err)]
}

/// Valid messages mixed with malformed ones and sometimes random bytes.
fn stream() -> impl Strategy<Value = Vec<u8>> {
    let piece = prop_oneof![
        8 => (0..20u32, call()).prop_map(|(id, call)| {
            let mut out = BytesMut::new();
            write_call(&mut out, id, &call);
            out.to_vec()
        }),
        8 => (0..20u32, answer()).prop_map(|(id, answer)| {
            let mut out = BytesMut::new();
            write_answer(&mut out, id, &answer);
            out.to_vec()
        }),
        2 => Just(vec![0x93, 0x02, 0xa1, b'n', 0x90]),
        1 => Just(vec![0x94, 0x01, 0x03, 0xc0, 0xa2, b'o', b'k']),
        1 => Just(vec![0x93, 0x00, 0x04, 0xa1, b'x']),
        1 => (0..3000usize).prop_map(|n| [&[0x94, 0, 5, 0xa1, b'x', 0xc5, (n >> 8) as u8, n as u8][..], &vec![7; n]].concat()),
        1 => vec(any::<u8>(), 1..30),
    ];
    vec(piece, 0..12).prop_map(|pieces| pieces.concat())
}

fn split(bytes: &[u8], cuts: &[usize]) -> Vec<Vec<u8>> {
    let (mut rest, mut pieces) = (bytes, Vec::new());
    for n in cuts {
        let (piece, after) = rest.split_at((*n).min(rest.len()));
        pieces.push(piece.to_vec());
        rest = after;
    }
    pieces.extend(rest.chunks(64).map(<[u8]>::to_vec));
    pieces
}

/// Feeds the pieces to a server connection, which answers calls with even msgids with their own path.
fn run_server(pieces: &[Vec<u8>]) -> (Vec<server::Event>, Vec<u8>) {
    let limits = Limits { open: 3, unsent: usize::MAX, bounds: BOUNDS };
    let mut conn = server::Connection::new(limits);
    let mut events = Vec::new();
    for piece in pieces {
        conn.received(piece);
        while let Some(event) = conn.poll() {
            if let server::Event::Call { id, call } = &event {
                // Odd msgids stay open, so that msgids collide and the limit on open calls is reached.
                if id % 2 == 0 {
                    conn.answer(*id, &Ok(Bytes::from(call.path.clone())));
                }
            }
            events.push(event);
        }
    }
    (events, conn.output().to_vec())
}

/// Feeds the pieces to a client connection with ten written calls.
fn run_client(pieces: &[Vec<u8>]) -> Vec<client::Event<u32>> {
    let mut conn = client::Connection::new(10, BOUNDS);
    for n in 0..10 {
        assert!(conn.call(n, &Call::default()).is_ok());
        conn.wrote(usize::MAX);
    }
    assert_eq!(conn.give_up(&3), GivenUp::RunsOn);
    let mut events = Vec::new();
    for piece in pieces {
        conn.received(piece);
        events.extend(std::iter::from_fn(|| conn.poll()));
    }
    conn.ended();
    events.extend(std::iter::from_fn(|| conn.poll()));
    events
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::with_cases(400) })]

    #[test]
    fn results_do_not_depend_on_how_the_stream_is_split(bytes in stream(), cuts in vec(1..40usize, 0..60)) {
        let pieces = split(&bytes, &cuts);
        prop_assert_eq!(run_server(&pieces), run_server(std::slice::from_ref(&bytes)));
        prop_assert_eq!(run_client(&pieces), run_client(std::slice::from_ref(&bytes)));
        let single: Vec<Vec<u8>> = bytes.iter().map(|b| vec![*b]).collect();
        prop_assert_eq!(run_server(&single), run_server(std::slice::from_ref(&bytes)));
    }

    #[test]
    fn every_call_has_exactly_one_final_event(bytes in stream(), cuts in vec(1..40usize, 0..20)) {
        let mut seen = [0; 10];
        for event in run_client(&split(&bytes, &cuts)) {
            match event {
                client::Event::Answered(n, _) | client::Event::UndecodableReply(n) | client::Event::Broken(n, _) => {
                    prop_assert_ne!(n, 3, "a reply that nobody awaits reached its caller");
                    seen[n as usize] += 1;
                }
                client::Event::Left(n) => {
                    prop_assert_eq!(n, 3);
                    seen[3] += 1;
                }
                client::Event::Stray(_) => {}
            }
        }
        prop_assert_eq!(seen, [1; 10]);
    }

    #[test]
    fn random_bytes_cause_no_panic_and_are_not_buffered(bytes in vec(any::<u8>(), 0..6000), piece in 1..500usize) {
        let mut frames = Frames::new(BOUNDS);
        for piece in bytes.chunks(piece) {
            frames.push(piece);
            while let Ok(Some(_)) = frames.poll() {}
            prop_assert!(frames.held() <= BOUNDS.longest + piece.len(), "{}", frames.held());
        }
        let pieces: Vec<Vec<u8>> = bytes.chunks(piece).map(<[u8]>::to_vec).collect();
        let _ = (run_server(&pieces), run_client(&pieces));
    }

    #[test]
    fn encoded_calls_and_answers_decode_to_the_same_values(id in any::<u32>(), call in call(), answer in answer()) {
        let mut out = BytesMut::new();
        write_call(&mut out, id, &call);
        write_answer(&mut out, id, &answer);
        let bounds = Bounds::default();
        let mut frames = Frames::new(bounds);
        frames.push(&out);
        let mut next = || frames.poll().expect("good").map(|f| glenwood_msgpack_rpc::message::read(&f));
        use glenwood_msgpack_rpc::message::Message;
        prop_assert_eq!(next(), Some(Ok(Message::Call(id, call))));
        prop_assert_eq!(next(), Some(Ok(Message::Reply(id, answer))));
        prop_assert_eq!(next(), None);
    }

    /// Makes, partly writes, gives up and withdraws calls in any order. Calls reported as never run must not
    /// have been written completely, and the written bytes must be complete calls except for the last.
    #[test]
    fn only_calls_that_were_not_completely_written_are_reported_as_never_run(steps in vec((0..5u8, 0..200usize), 0..80)) {
        let mut conn = client::Connection::new(6, BOUNDS);
        let (mut wire, mut next, mut never, mut maybe) = (Vec::new(), 0u32, Vec::new(), Vec::new());
        for (step, n) in steps {
            match step {
                0 | 1 => {
                    let call = Call { class: "c".into(), txn: Some(next.to_string()), ..Call::default() };
                    if conn.call(next, &call).is_ok() {
                        next += 1;
                    }
                }
                2 => {
                    let all: Vec<u8> = conn.output().flatten().copied().collect();
                    let n = n.min(all.len());
                    wire.extend_from_slice(&all[..n]);
                    conn.wrote(n);
                }
                3 => {
                    let name = n as u32 % next.max(1);
                    match conn.give_up(&name) {
                        GivenUp::Withdrawn => never.push(name),
                        GivenUp::RunsOn => maybe.push(name),
                        GivenUp::Unknown => {}
                    }
                }
                _ => never.extend(conn.withdraw()),
            }
        }
        conn.ended();
        for event in std::iter::from_fn(|| conn.poll()) {
            match event {
                client::Event::Broken(name, Ran::Never) => never.push(name),
                client::Event::Broken(name, Ran::Maybe) => maybe.push(name),
                client::Event::Left(name) => prop_assert!(maybe.contains(&name)),
                other => prop_assert!(false, "{other:?}"),
            }
        }
        let mut reached = Vec::new();
        let mut server = server::Connection::new(Limits { open: 1000, unsent: usize::MAX, bounds: BOUNDS });
        server.received(&wire);
        while let Some(event) = server.poll() {
            let server::Event::Call { call, .. } = event else { panic!("{event:?}") };
            reached.push(call.txn.and_then(|t| t.parse::<u32>().ok()).expect("a number"));
        }
        prop_assert!(reached.iter().all(|name| !never.contains(name)), "{reached:?} {never:?}");
        let mut all: Vec<u32> = never.iter().chain(&maybe).copied().collect();
        all.sort_unstable();
        prop_assert_eq!(all, (0..next).collect::<Vec<_>>());
    }
}

#[test]
fn a_msgid_is_never_used_twice_on_a_connection() {
    let mut conn = client::Connection::new(4, BOUNDS).with_first_id(u32::MAX - 1);
    assert_eq!(
        (conn.call('a', &Call::default()), conn.call('b', &Call::default())),
        (Ok(u32::MAX - 1), Ok(u32::MAX))
    );
    assert_eq!((conn.call('c', &Call::default()), conn.room(), conn.is_retired()), (Err('c'), 0, true));
}

/// A call that was given up occupies its slot until its reply arrives; the reply is not returned to the
/// caller.
#[test]
fn a_call_that_was_given_up_occupies_its_slot_until_its_reply() {
    let mut conn = client::Connection::new(1, BOUNDS);
    assert!(conn.call("a", &Call::default()).is_ok());
    conn.wrote(usize::MAX);
    assert_eq!((conn.give_up(&"a"), conn.room(), conn.given_up()), (GivenUp::RunsOn, 0, 1));
    let mut reply = BytesMut::new();
    write_answer(&mut reply, 0, &Ok(Bytes::from_static(b"late")));
    conn.received(&reply);
    assert_eq!((conn.poll(), conn.poll(), conn.room()), (Some(client::Event::Left("a")), None, 1));
    // A second reply matches no call, and the connection accepts no further calls.
    conn.received(&reply);
    assert!(matches!(conn.poll(), Some(client::Event::Stray(_))));
    assert_eq!((conn.room(), conn.is_retired()), (0, true));
}

#[test]
fn reading_stops_while_answers_are_not_read() {
    let mut conn = server::Connection::new(Limits { open: 64, unsent: 1000, bounds: BOUNDS });
    let mut calls = BytesMut::new();
    for id in 0..40 {
        write_call(&mut calls, id, &Call { class: "look".into(), ..Call::default() });
    }
    conn.received(&calls);
    let mut seen = 0;
    while let Some(server::Event::Call { id, .. }) = conn.poll() {
        conn.answer(id, &Ok(Bytes::from_static(&[1; 200])));
        seen += 1;
    }
    assert!(seen < 10 && !conn.wants_bytes(), "{seen}");
    conn.wrote(usize::MAX);
    assert!(conn.wants_bytes() && conn.poll().is_some());
}
