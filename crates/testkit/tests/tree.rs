//! The tree of the test coordination service, with fixed and with random sequences of requests.

use bytes::Bytes;
use glenwood_coordination::proto::{Acl, Code, EventKind, Mode, Request, Response, WatchEvent};
use glenwood_testkit::coordination::tree::{Tree, Txn, MAX_DATA_BYTES};
use proptest::collection::vec;
use proptest::prelude::*;

fn create(path: &str, ephemeral: bool, sequential: bool) -> Request {
    let mode = Mode { ephemeral, sequential };
    Request::Create {
        path: path.into(),
        data: Bytes::from_static(b"d"),
        acl: Acl::world_all(),
        mode,
        stat: false,
    }
}

fn delete(path: &str, version: i32) -> Request {
    Request::Delete { path: path.into(), version }
}

fn set(path: &str, version: i32) -> Request {
    Request::SetData { path: path.into(), data: Bytes::from_static(b"new"), version }
}

/// A tree with the log of its transactions.
struct Service {
    tree: Tree,
    log: Vec<Txn>,
}

impl Service {
    /// A service with the sessions 1 to 3.
    fn new() -> Self {
        let mut service = Self { tree: Tree::default(), log: Vec::new() };
        for id in 1..=3 {
            let txn = service.tree.open_session(service.next(), 0, id, 1000);
            service.apply(txn).0.expect("the session opens");
        }
        service
    }

    fn next(&self) -> i64 {
        self.tree.zxid() + 1
    }

    fn apply(&mut self, txn: Txn) -> (Result<Response, Code>, Vec<WatchEvent>) {
        self.log.push(txn.clone());
        self.tree.apply(&txn)
    }

    fn send_request(&mut self, session: i64, request: &Request) -> (Result<Response, Code>, Vec<WatchEvent>) {
        let txn = self.tree.prepare(self.next(), 7, session, request).expect("a write request");
        self.apply(txn)
    }

    fn multi(&mut self, session: i64, requests: Vec<Request>) -> Vec<Result<Response, Code>> {
        match self.send_request(session, &Request::Multi(requests)).0 {
            Ok(Response::Multi(all)) => all,
            other => panic!("{other:?}"),
        }
    }

    fn children(&self, path: &str) -> Vec<String> {
        let request = Request::GetChildren { path: path.into(), watch: false, stat: false };
        match self.tree.read(&request) {
            Some(Ok(Response::Children { names, .. })) => names,
            other => panic!("{other:?}"),
        }
    }
}

fn event(kind: EventKind, path: &str) -> WatchEvent {
    WatchEvent { kind, path: path.into() }
}

#[test]
fn a_session_takes_what_is_ephemeral_in_it_along() {
    let mut s = Service::new();
    s.send_request(1, &create("/servers", false, false)).0.expect("created");
    for (session, path) in [(1, "/servers/a"), (2, "/servers/b"), (1, "/servers/c")] {
        s.send_request(session, &create(path, true, false)).0.expect("created");
    }
    assert_eq!(
        s.send_request(1, &create("/servers/a/x", false, false)).0,
        Err(Code::NoChildrenForEphemerals)
    );
    let txn = s.tree.close_session(s.next(), 9, 1);
    let (_, fired) = s.apply(txn);
    assert_eq!(s.children("/servers"), ["b"]);
    let deleted: Vec<_> =
        fired.iter().filter(|e| e.kind == EventKind::Deleted).map(|e| e.path.as_str()).collect();
    assert_eq!(deleted, ["/servers/a", "/servers/c"]);
    assert!(fired.contains(&event(EventKind::ChildrenChanged, "/servers")));
    assert_eq!(s.send_request(1, &create("/servers/d", true, false)).0, Err(Code::SessionExpired));
}

/// A server restarts under its name before the ephemeral znode of its old session is gone. The end of the old
/// session must not delete the znode of the new one.
#[test]
fn an_old_sessions_end_leaves_the_new_ones_node_alone() {
    let mut s = Service::new();
    s.send_request(1, &create("/a", true, false)).0.expect("created");
    assert_eq!(s.send_request(2, &create("/a", true, false)).0, Err(Code::NodeExists));
    let renewed = s.multi(2, vec![delete("/a", -1), create("/a", true, false)]);
    assert!(renewed.iter().all(Result::is_ok));
    let txn = s.tree.close_session(s.next(), 9, 1);
    assert_eq!(s.apply(txn).1, []);
    assert_eq!(s.children("/"), ["a"]);
}

#[test]
fn versions_guard_changes_and_a_multi_does_all_or_none() {
    let mut s = Service::new();
    s.send_request(1, &create("/a", false, false)).0.expect("created");
    assert_eq!(s.send_request(1, &set("/a", 3)).0, Err(Code::BadVersion));
    let Ok(Response::Stat(stat)) = s.send_request(1, &set("/a", 0)).0 else { panic!("not set") };
    assert_eq!((stat.version, stat.data_length), (1, 3));
    assert_eq!(s.send_request(1, &delete("/a", 0)).0, Err(Code::BadVersion));
    let before = s.tree.paths().map(str::to_string).collect::<Vec<_>>();
    let failed = s.multi(1, vec![create("/b", false, false), delete("/none", -1), set("/a", 1)]);
    assert_eq!(failed, [Err(Code::RolledBack), Err(Code::NoNode), Err(Code::RuntimeInconsistency)]);
    assert_eq!(s.tree.paths().collect::<Vec<_>>(), before);
    let check = Request::Check { path: "/a".into(), version: 1 };
    // Each request sees the effects of those before it.
    let done =
        s.multi(1, vec![check, create("/b", false, false), create("/b/c", false, false), set("/b", 0)]);
    assert!(done.iter().all(Result::is_ok), "{done:?}");
    assert_eq!(s.send_request(1, &delete("/b", -1)).0, Err(Code::NotEmpty));
}

#[test]
fn numbers_of_sequential_nodes_never_run_back() {
    let mut s = Service::new();
    s.send_request(1, &create("/l", false, false)).0.expect("created");
    let mut last = String::new();
    for n in 0..20 {
        let Ok(Response::Created { path, .. }) = s.send_request(1, &create("/l/x-", true, true)).0 else {
            panic!("not created")
        };
        assert!(path > last, "{path} after {last}");
        if n % 3 != 0 {
            s.send_request(1, &delete(&path, -1)).0.expect("deleted");
        }
        last = path;
    }
    assert_eq!(s.children("/l").len(), 7);
}

#[test]
fn paths_and_data_that_can_not_be_are_turned_down() {
    let mut s = Service::new();
    for path in ["", "a", "/a/", "//", "/a//b", "/./a", "/a/..", "/a\n"] {
        assert_eq!(s.send_request(1, &create(path, false, false)).0, Err(Code::BadArguments), "{path:?}");
    }
    assert_eq!(s.send_request(1, &create("/", false, false)).0, Err(Code::NodeExists));
    assert_eq!(s.send_request(1, &create("/none/a", false, false)).0, Err(Code::NoNode));
    assert_eq!(s.send_request(1, &delete("/", -1)).0, Err(Code::BadArguments));
    let mut large = create("/large", false, false);
    if let Request::Create { data, .. } = &mut large {
        *data = Bytes::from(vec![0; MAX_DATA_BYTES + 1]);
    }
    assert_eq!(s.send_request(1, &large).0, Err(Code::BadArguments));
}

/// Watches that are set again report exactly what was missed.
#[test]
fn what_was_missed_is_said_to_who_takes_watches_up_again() {
    let mut s = Service::new();
    for path in ["/a", "/b", "/c"] {
        s.send_request(1, &create(path, false, false)).0.expect("created");
    }
    let seen = s.tree.zxid();
    s.send_request(1, &set("/a", -1)).0.expect("set");
    s.send_request(1, &delete("/b", -1)).0.expect("deleted");
    s.send_request(1, &create("/n", false, false)).0.expect("created");
    s.send_request(1, &create("/c/x", false, false)).0.expect("created");
    let all = |names: &[&str]| names.iter().map(|n| n.to_string()).collect::<Vec<_>>();
    let missed =
        s.tree.missed_events(seen, &all(&["/a", "/b", "/c"]), &all(&["/n", "/m"]), &all(&["/c", "/n"]));
    let wanted = [
        event(EventKind::DataChanged, "/a"),
        event(EventKind::Deleted, "/b"),
        event(EventKind::Created, "/n"),
        event(EventKind::ChildrenChanged, "/c"),
        event(EventKind::ChildrenChanged, "/n"),
    ];
    assert_eq!(missed, wanted);
    assert_eq!(s.tree.missed_events(s.tree.zxid(), &all(&["/a", "/c"]), &[], &all(&["/c"])), []);
}

fn any_request() -> impl Strategy<Value = Request> {
    let path = prop_oneof!["/[ab]", "/[ab]/[cd]", "/[ab]/[cd]/e"];
    let one =
        (path, 0..4u8, any::<(bool, bool)>(), -1..3i32).prop_map(
            |(path, kind, (e, q), version)| match kind {
                0 | 1 => create(&path, e, q),
                2 => delete(&path, version),
                _ => set(&path, version),
            },
        );
    prop_oneof![4 => one.clone(), 1 => vec(one, 1..4).prop_map(Request::Multi)]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::with_cases(300) })]

    /// For any requests: replaying the transactions produces the same tree, every znode is listed by its
    /// parent, ephemeral znodes belong to live sessions, and a failed request changes nothing.
    #[test]
    fn the_same_transactions_make_the_same_tree(
        asked in vec((1..4i64, any_request(), any::<u8>()), 0..60),
    ) {
        let mut s = Service::new();
        for (session, request, close) in asked {
            let before = s.tree.clone();
            let (answer, fired) = s.send_request(session, &request);
            let failed = match &answer {
                Err(_) => true,
                Ok(Response::Multi(all)) => all.iter().any(Result::is_err),
                Ok(_) => false,
            };
            if failed {
                prop_assert!(fired.is_empty());
                prop_assert!(s.tree.paths().eq(before.paths()));
            }
            if close < 8 {
                let txn = s.tree.close_session(s.next(), 9, session);
                s.apply(txn).0.expect("the session closes");
            }
        }
        let mut other = Tree::default();
        for txn in &s.log {
            let _ = other.apply(txn);
        }
        prop_assert_eq!(&other, &s.tree);
        for path in s.tree.paths().filter(|p| *p != "/") {
            let (parent, name) = path.rsplit_once('/').expect("an absolute path");
            let parent = if parent.is_empty() { "/" } else { parent };
            prop_assert!(s.children(parent).iter().any(|c| c == name), "{} is not listed by its parent", path);
            let read = s.tree.read(&Request::Exists { path: path.into(), watch: false });
            let Some(Ok(Response::Stat(stat))) = read else { panic!("{path} does not exist") };
            prop_assert!(stat.ephemeral_owner == 0 || s.tree.has_session(stat.ephemeral_owner));
            prop_assert!(stat.ephemeral_owner == 0 || stat.children == 0);
            prop_assert_eq!(stat.children as usize, s.children(path).len());
        }
    }
}
