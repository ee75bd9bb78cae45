//! Tests of the session against scripted members in virtual time, and of the serialization of records.

use bytes::Bytes;
use glenwood_coordination::frame::{with_length_prefix, Frames, MAX_RECORD_BYTES};
use glenwood_coordination::jute::Reader;
use glenwood_coordination::proto::*;
use glenwood_coordination::session::{Event, RequestError, Session, Settings};
use proptest::collection::vec;
use proptest::prelude::*;

type TestSession = Session<u32>;

fn events(session: &mut TestSession) -> Vec<Event<u32>> {
    std::iter::from_fn(|| session.poll()).collect()
}

fn connect_target(events: &[Event<u32>]) -> usize {
    let connect = |e: &Event<u32>| if let Event::Connect(m) = e { Some(*m) } else { None };
    events.iter().find_map(connect).expect("a connection attempt")
}

fn session(members: usize) -> TestSession {
    Session::new(0.0, Settings { members, timeout: 3000.0, seed: 5 })
}

/// The records that a session has written.
fn records(session: &mut TestSession) -> Vec<Bytes> {
    let mut frames = Frames::new(MAX_RECORD_BYTES);
    frames.push(&session.output());
    std::iter::from_fn(|| frames.poll().expect("valid record lengths")).collect()
}

fn requests(session: &mut TestSession) -> Vec<(i32, Request)> {
    records(session).into_iter().map(|r| Request::read(r).expect("a request")).collect()
}

fn accept_session(session: &mut TestSession, now: f64, id: i64) -> ConnectRequest {
    session.connected(now);
    let connect_request = ConnectRequest::read(records(session).remove(0)).expect("a connect request");
    let connect_response =
        ConnectResponse { timeout: 3000, session: id, password: Bytes::from_static(b"secret") };
    session.received(now, &with_length_prefix(&connect_response.write()));
    connect_request
}

fn reply(session: &mut TestSession, now: f64, xid: i32, zxid: i64, answer: Result<Response, Code>) {
    let header = ReplyHeader { xid, zxid, error: answer.as_ref().err().copied() };
    session.received(now, &with_length_prefix(&header.write(&answer.unwrap_or(Response::Done))));
}

fn get(path: &str) -> Request {
    Request::GetData { path: path.into(), watch: true }
}

fn data() -> Response {
    Response::Data { data: Bytes::from_static(b"d"), stat: Stat::default() }
}

#[test]
fn a_session_connects_sends_requests_and_pings() {
    let mut s = session(3);
    connect_target(&events(&mut s));
    let connect_request = accept_session(&mut s, 1.0, 77);
    assert_eq!((connect_request.session, connect_request.last_zxid, connect_request.timeout), (0, 0, 3000));
    assert_eq!(events(&mut s), [Event::Established { new: true }]);
    s.submit(2.0, 1, get("/a"));
    s.submit(2.0, 2, Request::Exists { path: "/b".into(), watch: true });
    assert_eq!(requests(&mut s).iter().map(|(xid, _)| *xid).collect::<Vec<_>>(), [1, 2]);
    reply(&mut s, 3.0, 1, 5, Ok(data()));
    reply(&mut s, 3.0, 2, 5, Err(Code::NoNode));
    let answers = [Event::Answer(1, Ok(data())), Event::Answer(2, Err(RequestError::Service(Code::NoNode)))];
    assert_eq!(events(&mut s), answers);
    assert_eq!((s.zxid(), s.watch_count()), (5, 2));
    let due = s.poll_timeout().expect("a ping is due");
    assert_eq!(due, 1002.0);
    s.handle_timeout(due);
    assert_eq!(requests(&mut s), [(XID_PING, Request::Ping)]);
    reply(&mut s, due + 1.0, XID_PING, 6, Ok(Response::Done));
    assert_eq!((events(&mut s), s.zxid()), (vec![], 6));
}

#[test]
fn an_unresponsive_member_is_abandoned_in_time() {
    let mut s = session(3);
    let first = connect_target(&events(&mut s));
    s.connected(1.0);
    let due = s.poll_timeout().expect("a time-out is set");
    assert!(due <= 1001.0, "{due}");
    s.handle_timeout(due);
    let reported = events(&mut s);
    assert!(reported.contains(&Event::Disconnect));
    assert_ne!(connect_target(&reported), first);
    // A member that stops sending after the handshake is abandoned after two thirds of the time-out.
    accept_session(&mut s, due, 9);
    events(&mut s);
    let abandoned_at = loop {
        let now = s.poll_timeout().expect("a time-out is set");
        s.handle_timeout(now);
        let all = events(&mut s);
        if all.contains(&Event::Suspended) {
            break now;
        }
    };
    assert_eq!(abandoned_at, due + 2000.0);
}

#[test]
fn unreachable_members_are_retried_forever_with_backoff() {
    let mut s = session(3);
    let (mut now, mut tries, mut seen) = (0.0, 0, std::collections::BTreeSet::new());
    while now < 60_000.0 {
        while let Some(event) = s.poll() {
            if let Event::Connect(m) = event {
                tries += 1;
                assert!(tries < 600, "{tries} attempts within {now} ms");
                seen.insert(m);
                s.disconnected(now);
            }
        }
        now = s.poll_timeout().expect("another attempt is scheduled").max(now);
        s.handle_timeout(now);
    }
    assert_eq!(seen.len(), 3);
    assert!((150..600).contains(&tries), "{tries} attempts in a minute");
}

/// A member that lags behind would return an older list: the session disconnects and discards its reply.
#[test]
fn a_stale_member_is_abandoned_and_its_reply_discarded() {
    let mut s = session(2);
    events(&mut s);
    accept_session(&mut s, 0.0, 7);
    s.submit(1.0, 1, get("/a"));
    reply(&mut s, 2.0, 1, 100, Ok(data()));
    s.disconnected(3.0);
    let stale = connect_target(&events(&mut s));
    let connect_request = accept_session(&mut s, 4.0, 7);
    assert_eq!((connect_request.session, connect_request.last_zxid), (7, 100));
    s.submit(5.0, 2, get("/b"));
    events(&mut s);
    reply(&mut s, 6.0, XID_SET_WATCHES, 99, Ok(Response::Done));
    let all = events(&mut s);
    assert!(all.contains(&Event::Stale { member: stale }) && all.contains(&Event::Disconnect), "{all:?}");
    assert!(all.contains(&Event::Answer(2, Err(RequestError::ConnectionLost))));
    // Both members have failed in a row, so the session backs off before it tries the other one.
    let due = s.poll_timeout().expect("a reconnect is scheduled");
    assert!(due > 6.0 && due <= 16.0, "{due}");
    s.handle_timeout(due);
    assert_ne!(connect_target(&events(&mut s)), stale);
    assert_eq!(s.zxid(), 100);
}

#[test]
fn an_expired_session_is_followed_by_a_new_one_without_watches() {
    let mut s = session(1);
    events(&mut s);
    accept_session(&mut s, 0.0, 7);
    s.submit(1.0, 1, get("/a"));
    reply(&mut s, 2.0, 1, 50, Ok(data()));
    s.disconnected(3.0);
    events(&mut s);
    s.handle_timeout(4999.0);
    s.connected(5000.0);
    s.output();
    let over = ConnectResponse { timeout: 0, session: 0, password: Bytes::new() };
    s.received(5001.0, &with_length_prefix(&over.write()));
    assert!(events(&mut s).contains(&Event::Expired));
    assert_eq!(s.watch_count(), 0);
    let due = s.poll_timeout().expect("a reconnect is scheduled");
    s.handle_timeout(due);
    let connect_request = accept_session(&mut s, due, 8);
    assert_eq!(
        (connect_request.session, connect_request.last_zxid),
        (0, 50),
        "a new session keeps the newest zxid"
    );
    assert!(events(&mut s).contains(&Event::Established { new: true }));
    assert_eq!(requests(&mut s), []);
}

/// Watches are set again with the newest zxid seen, so that missed changes are reported; each fires once.
#[test]
fn watches_are_set_again_after_a_reconnect_and_fire_once() {
    let mut s = session(1);
    events(&mut s);
    accept_session(&mut s, 0.0, 7);
    s.submit(1.0, 1, get("/a"));
    s.submit(1.0, 2, Request::GetChildren { path: "/".into(), watch: true, stat: true });
    s.submit(1.0, 3, Request::Exists { path: "/none".into(), watch: true });
    reply(&mut s, 2.0, 1, 40, Ok(data()));
    let children = Response::Children { names: vec!["a".into()], stat: Some(Stat::default()) };
    reply(&mut s, 2.0, 2, 40, Ok(children));
    // The connection ends before the third answer: that watch is not set, and the caller gets an error.
    s.disconnected(3.0);
    assert!(events(&mut s).contains(&Event::Answer(3, Err(RequestError::ConnectionLost))));
    let due = s.poll_timeout().expect("a reconnect is scheduled");
    s.handle_timeout(due);
    accept_session(&mut s, due, 7);
    let (paths, none) = (|p: &str| vec![p.to_string()], Vec::new());
    let again = Request::SetWatches { since: 40, data: paths("/a"), exist: none, children: paths("/") };
    assert_eq!(requests(&mut s), [(XID_SET_WATCHES, again)]);
    events(&mut s);
    // Missed events arrive before the answer, possibly twice.
    let fired = WatchEvent { kind: EventKind::Deleted, path: "/a".into() };
    for _ in 0..2 {
        s.received(due, &with_length_prefix(&fired.write()));
    }
    reply(&mut s, due, XID_SET_WATCHES, 45, Ok(Response::Done));
    assert_eq!(events(&mut s), [Event::Fired(fired)]);
    assert_eq!((s.watch_count(), s.zxid()), (1, 45));
}

#[test]
fn many_watches_are_set_again_in_records_of_bounded_size() {
    let mut s = session(1);
    events(&mut s);
    accept_session(&mut s, 0.0, 7);
    for n in 0..5000 {
        s.submit(1.0, n, get(&format!("/servers/with/a/rather/long/path/s-{n:032}")));
    }
    s.output();
    for n in 0..5000 {
        reply(&mut s, 2.0, n + 1, 40, Ok(data()));
    }
    s.disconnected(3.0);
    events(&mut s);
    let due = s.poll_timeout().expect("a reconnect is scheduled");
    s.handle_timeout(due);
    accept_session(&mut s, due, 7);
    let all = records(&mut s);
    assert!(all.len() > 1 && all.iter().all(|r| r.len() < 200_000));
    let count = |r: Bytes| match Request::read(r).expect("a request").1 {
        Request::SetWatches { data, .. } => data.len(),
        other => panic!("{other:?}"),
    };
    assert_eq!(all.into_iter().map(count).sum::<usize>(), 5000);
}

#[test]
fn requests_without_a_connection_or_after_close_fail_at_once() {
    let mut s = session(1);
    events(&mut s);
    s.submit(0.0, 4, Request::Ping);
    assert_eq!(events(&mut s), [Event::Answer(4, Err(RequestError::NotSent))]);
    accept_session(&mut s, 1.0, 7);
    events(&mut s);
    s.submit(2.0, 5, get("/a"));
    s.close(3.0);
    let last = requests(&mut s).pop().map(|(_, r)| r);
    assert_eq!((last, s.poll_timeout()), (Some(Request::CloseSession), None));
    assert_eq!(events(&mut s), [Event::Answer(5, Err(RequestError::ConnectionLost))]);
}

fn path() -> impl Strategy<Value = String> {
    "(/[a-z0-9]{1,8}){1,3}"
}

fn simple_request() -> impl Strategy<Value = Request> {
    let bytes = || vec(any::<u8>(), 0..60).prop_map(Bytes::from);
    prop_oneof![
        (path(), bytes(), any::<(bool, bool, bool)>()).prop_map(
            |(path, data, (ephemeral, sequential, stat))| {
                Request::Create {
                    path,
                    data,
                    acl: Acl::world_all(),
                    mode: Mode { ephemeral, sequential },
                    stat,
                }
            }
        ),
        (path(), any::<i32>()).prop_map(|(path, version)| Request::Delete { path, version }),
        (path(), any::<i32>()).prop_map(|(path, version)| Request::Check { path, version }),
        (path(), bytes(), any::<i32>()).prop_map(|(path, data, version)| Request::SetData {
            path,
            data,
            version
        }),
    ]
}

fn request() -> impl Strategy<Value = Request> {
    let paths = || vec(path(), 0..5);
    prop_oneof![
        4 => simple_request(),
        2 => vec(simple_request(), 0..5).prop_map(Request::Multi),
        1 => (path(), any::<bool>()).prop_map(|(path, watch)| Request::GetData { path, watch }),
        1 => (path(), any::<bool>()).prop_map(|(path, watch)| Request::Exists { path, watch }),
        1 => (path(), any::<bool>(), any::<bool>())
            .prop_map(|(path, watch, stat)| Request::GetChildren { path, watch, stat }),
        1 => (any::<i64>(), paths(), paths(), paths())
            .prop_map(|(since, data, exist, children)| Request::SetWatches { since, data, exist, children }),
        1 => path().prop_map(|path| Request::Sync { path }),
        1 => Just(Request::Ping),
        1 => Just(Request::CloseSession),
    ]
}

/// A valid response to a request, or an error, depending on `n`.
fn answer_to(request: &Request, n: u8) -> Result<Response, Code> {
    let stat = Stat { czxid: i64::from(n), version: -1, ephemeral_owner: i64::MIN, ..Stat::default() };
    if n.is_multiple_of(5) && !matches!(request, Request::Multi(_)) {
        return Err(if n.is_multiple_of(2) { Code::NodeExists } else { Code::Other(-77) });
    }
    Ok(match request {
        Request::Create { path, stat: with_stat, .. } => {
            Response::Created { path: path.clone(), stat: with_stat.then_some(stat) }
        }
        Request::Delete { .. } => Response::Deleted,
        Request::Check { .. } => Response::Checked,
        Request::Exists { .. } | Request::SetData { .. } => Response::Stat(stat),
        Request::GetData { .. } => Response::Data { data: Bytes::from(vec![n; 9]), stat },
        Request::GetChildren { stat: with_stat, .. } => Response::Children {
            names: vec!["x".into(); usize::from(n % 4)],
            stat: with_stat.then_some(stat),
        },
        Request::Sync { path } => Response::Synced { path: path.clone() },
        Request::Multi(all) => Response::Multi(
            all.iter().enumerate().map(|(i, r)| answer_to(r, n.wrapping_add(i as u8))).collect(),
        ),
        Request::SetWatches { .. } | Request::Ping | Request::CloseSession => Response::Done,
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::with_cases(400) })]

    #[test]
    fn requests_and_responses_round_trip(request in request(), xid in 1..i32::MAX, n in any::<u8>()) {
        prop_assert_eq!(Request::read(Bytes::from(request.write(xid))), Ok((xid, request.clone())));
        let answer = answer_to(&request, n);
        let header = ReplyHeader { xid, zxid: 8, error: answer.as_ref().err().copied() };
        let written = header.write(answer.as_ref().unwrap_or(&Response::Done));
        let mut r = Reader::new(Bytes::from(written));
        prop_assert_eq!(ReplyHeader::read(&mut r), Ok(header));
        if let Ok(response) = answer {
            prop_assert_eq!(Response::read(&request, &mut r), Ok(response));
        }
    }

    #[test]
    fn random_bytes_cause_no_panic(bytes in vec(any::<u8>(), 0..400)) {
        let all = Bytes::from(bytes.clone());
        let _ = (Request::read(all.clone()), ConnectRequest::read(all.clone()), ConnectResponse::read(all));
        let mut s = session(2);
        events(&mut s);
        accept_session(&mut s, 0.0, 7);
        s.submit(1.0, 1, Request::Multi(vec![get("/a")]));
        s.received(2.0, &bytes);
        s.received(2.0, &with_length_prefix(&bytes));
        events(&mut s);
    }

    /// The result does not depend on how the received bytes are split.
    #[test]
    fn the_split_of_received_bytes_does_not_matter(
        exchanges in vec((request(), any::<u8>()), 1..12),
        split_lengths in vec(1..50usize, 0..40),
    ) {
        let mut stream = Vec::new();
        for (n, (request, answer_seed)) in exchanges.iter().enumerate() {
            let answer = answer_to(request, *answer_seed);
            let xid = n as i32 + 1;
            let header = ReplyHeader { xid, zxid: n as i64, error: answer.as_ref().err().copied() };
            stream.extend(with_length_prefix(&header.write(answer.as_ref().unwrap_or(&Response::Done))));
            if answer_seed.is_multiple_of(3) {
                stream.extend(with_length_prefix(&WatchEvent { kind: EventKind::DataChanged, path: "/a".into() }.write()));
            }
        }
        let run = |pieces: &[&[u8]]| {
            let mut s = session(2);
            events(&mut s);
            accept_session(&mut s, 0.0, 7);
            for (n, (request, _)) in exchanges.iter().enumerate() {
                s.submit(1.0, n as u32, request.clone());
            }
            pieces.iter().for_each(|piece| s.received(2.0, piece));
            (events(&mut s), s.zxid(), s.watch_count())
        };
        let (mut pieces, mut rest) = (Vec::new(), &stream[..]);
        for length in split_lengths {
            let (piece, after) = rest.split_at(length.min(rest.len()));
            pieces.push(piece);
            rest = after;
        }
        pieces.push(rest);
        let unsplit = run(&[&stream]);
        let answers = unsplit.0.iter().filter(|e| matches!(e, Event::Answer(..))).count();
        prop_assert_eq!(answers, exchanges.len(), "each request has an answer");
        prop_assert_eq!(run(&pieces), unsplit);
    }
}
