//! Tests of the follower with scripted answers of the service.

use bytes::Bytes;
use glenwood_coordination::follow::{Change, Follower, Output};
use glenwood_coordination::frame::{with_length_prefix, Frames, MAX_RECORD_BYTES};
use glenwood_coordination::proto::*;
use glenwood_coordination::session::Settings;

fn requests(f: &mut Follower) -> Vec<(i32, Request)> {
    let mut frames = Frames::new(MAX_RECORD_BYTES);
    frames.push(&f.output());
    let records = std::iter::from_fn(|| frames.poll().expect("valid record lengths"));
    records.map(|r| Request::read(r).expect("a request")).collect()
}

fn accept_session(f: &mut Follower, now: f64) {
    f.connected(now);
    f.output();
    let accepted = ConnectResponse { timeout: 3000, session: 7, password: Bytes::new() };
    f.received(now, &with_length_prefix(&accepted.write()));
}

fn reply(f: &mut Follower, now: f64, xid: i32, zxid: i64, response: &Response) {
    f.received(now, &with_length_prefix(&ReplyHeader { xid, zxid, error: None }.write(response)));
}

/// A child's data changes and the connection ends before the data has been read again. The watch has already
/// fired and does not fire again, so the read must be repeated on the next connection.
#[test]
fn an_interrupted_read_is_repeated_on_the_next_connection() {
    let mut f = Follower::new(0.0, Settings { members: 1, timeout: 3000.0, seed: 1 }, "/servers", 1e9);
    accept_session(&mut f, 1.0);
    let names = Response::Children { names: vec!["a".into()], stat: None };
    let data = |content: &'static str| Response::Data {
        data: Bytes::from_static(content.as_bytes()),
        stat: Stat::default(),
    };
    let sent = requests(&mut f);
    reply(&mut f, 2.0, sent[0].0, 5, &names);
    let sent = requests(&mut f);
    assert!(matches!(&sent[0].1, Request::GetData { path, watch: true } if path == "/servers/a"), "{sent:?}");
    reply(&mut f, 3.0, sent[0].0, 5, &data("old"));
    f.received(
        4.0,
        &with_length_prefix(&WatchEvent { kind: EventKind::DataChanged, path: "/servers/a".into() }.write()),
    );
    assert_eq!(requests(&mut f).len(), 1);
    f.disconnected(5.0);
    let due = f.poll_timeout().expect("a reconnect is scheduled");
    f.handle_timeout(due);
    accept_session(&mut f, due);
    let mut reported = Vec::new();
    for round in 0..4 {
        for (xid, request) in requests(&mut f) {
            let answer = match request {
                Request::GetChildren { .. } => names.clone(),
                Request::GetData { .. } => data("new"),
                _ => Response::Done,
            };
            reply(&mut f, due + f64::from(round), xid, 6, &answer);
        }
        reported.extend(std::iter::from_fn(|| f.poll()));
    }
    let set = Output::Change(Change::Set("a".into(), Bytes::from_static(b"new")));
    assert!(reported.contains(&set), "{reported:?}");
}
