//! Followers of the server list at the test ensemble, in virtual time.

mod world;

use std::collections::BTreeMap;

use bytes::Bytes;
use glenwood_coordination::follow::{Change, Output, MAX_DATA_BYTES};
use glenwood_coordination::proto::Request;
use glenwood_coordination::session::Event;
use world::*;

type View = BTreeMap<String, Bytes>;

/// Applies a follower's output and returns the view after each change. Only a present server may be removed.
fn apply_outputs(world: &mut World, n: usize, view: &mut View) -> Vec<View> {
    let mut all = Vec::new();
    for output in std::mem::take(&mut world.followers[n].events) {
        match output {
            Output::Change(Change::Snapshot(snapshot)) => *view = snapshot,
            Output::Change(Change::Set(name, data)) => {
                view.insert(name, data);
            }
            Output::Change(Change::Removed(name)) => {
                assert!(view.remove(&name).is_some(), "{name} was not in the view")
            }
            _ => continue,
        }
        all.push(view.clone());
    }
    all
}

/// A world in which client 0 has created `/servers`.
fn set_up() -> World {
    let mut world = World::new(MEMBERS);
    world.add_client(0);
    world.advance(10.0, |_| {});
    world.send_request(0, "root", create("/servers", false));
    world.advance(10.0, |_| {});
    world
}

fn add_servers(world: &mut World, count: u64) {
    for id in 1..=count {
        world.add_client(id);
    }
    world.advance(100.0, |w| (1..=count).for_each(|id| register(w, id)));
}

fn names(view: &View) -> Vec<&str> {
    view.keys().map(String::as_str).collect()
}

#[test]
fn a_follower_says_the_whole_once_and_then_what_changes() {
    let mut world = set_up();
    add_servers(&mut world, 3);
    world.add_follower(50, 30_000.0);
    let mut view = View::new();
    world.advance(100.0, |_| {});
    assert_eq!(apply_outputs(&mut world, 0, &mut view).len(), 1);
    assert_eq!(names(&view), ["s1", "s2", "s3"]);
    let data = Bytes::from_static(b"other");
    world.send_request(
        2,
        "data",
        Request::SetData { path: "/servers/s2".into(), data: data.clone(), version: -1 },
    );
    world.advance(10.0, |_| {});
    let outputs: Vec<_> = std::mem::take(&mut world.followers[0].events);
    assert_eq!(outputs, [Output::Change(Change::Set("s2".into(), data))]);
    // A second change is seen too: reading the data set the watch again.
    world.send_request(
        2,
        "data",
        Request::SetData { path: "/servers/s2".into(), data: Bytes::new(), version: -1 },
    );
    world.send_request(3, "leave", Request::Delete { path: "/servers/s3".into(), version: -1 });
    world.advance(10.0, |_| {});
    apply_outputs(&mut world, 0, &mut view);
    assert_eq!((names(&view), view["s2"].len()), (vec!["s1", "s2"], 0));
}

/// There is no list before the tree exists, and an empty list only once the service reports one.
#[test]
fn a_tree_that_is_not_made_yet_is_no_list() {
    let mut world = World::new(MEMBERS);
    world.add_follower(50, 1e9);
    world.advance(5000.0, |_| {});
    assert_eq!(apply_outputs(&mut world, 0, &mut View::new()), Vec::<View>::new());
    world.add_client(0);
    world.advance(10.0, |_| {});
    world.send_request(0, "root", create("/servers", false));
    world.advance(10.0, |_| {});
    assert_eq!(apply_outputs(&mut world, 0, &mut View::new()), [View::new()]);
}

/// The whole service is unreachable for an hour. No server is removed because of that, and after its return
/// only the server that is really gone is removed.
#[test]
fn a_service_that_is_away_for_an_hour_takes_nobody_along() {
    let mut world = set_up();
    add_servers(&mut world, 4);
    world.add_follower(50, 30_000.0);
    let mut view = View::new();
    world.advance(100.0, |_| {});
    apply_outputs(&mut world, 0, &mut view);
    (0..MEMBERS).for_each(|m| world.ensemble.kill(m));
    world.advance(3_600_000.0, |_| {});
    assert!(world.followers[0].events.contains(&Output::Unreachable));
    assert_eq!(apply_outputs(&mut world, 0, &mut view), Vec::<View>::new());
    world.crash(4);
    (0..MEMBERS).for_each(|m| world.ensemble.restore(m));
    world.advance(10_000.0, |w| (1..4).for_each(|id| register(w, id)));
    let after = apply_outputs(&mut world, 0, &mut view);
    assert!(after.iter().all(|v| v.len() >= 3), "{after:?}");
    assert_eq!(names(&view), ["s1", "s2", "s3"]);
}

/// The follower's own session expires. It reads everything again and reports nothing wrong.
#[test]
fn a_follower_whose_own_session_ended_takes_nobody_along() {
    let mut world = set_up();
    add_servers(&mut world, 4);
    world.add_follower(50, 30_000.0);
    let mut view = View::new();
    world.advance(100.0, |_| {});
    apply_outputs(&mut world, 0, &mut view);
    let old = world.followers[0].machine.session().id();
    // All members stay silent for longer than the session time-out. The servers' sessions expire as well and
    // are created again.
    (0..MEMBERS).for_each(|m| world.ensemble.set_mute(m, true));
    world.advance(10_000.0, |_| {});
    (0..MEMBERS).for_each(|m| world.ensemble.set_mute(m, false));
    world.advance(10_000.0, |w| (1..5).for_each(|id| register(w, id)));
    assert_ne!(world.followers[0].machine.session().id(), old);
    apply_outputs(&mut world, 0, &mut view);
    assert_eq!(names(&view), ["s1", "s2", "s3", "s4"]);
}

/// Guards against unbounded reads: 5000 servers are read with a bounded number of requests in flight, and one
/// change costs one read.
#[test]
fn a_large_list_comes_in_bounded_and_a_change_costs_what_changed() {
    let mut world = set_up();
    for n in 0..5000 {
        world.send_request(0, "many", create(&format!("/servers/m{n:04}"), false));
    }
    world.advance(10.0, |_| {});
    world.add_follower(50, 1e9);
    let mut view = View::new();
    world.advance(50.0, |_| {});
    assert_eq!((apply_outputs(&mut world, 0, &mut view).len(), view.len()), (1, 5000));
    let before = world.followers[0].machine.session().watch_count();
    assert_eq!(before, 5001);
    world.send_request(0, "one", Request::Delete { path: "/servers/m0777".into(), version: -1 });
    world.advance(50.0, |_| {});
    assert_eq!(world.followers[0].events, [Output::Change(Change::Removed("m0777".into()))]);
}

/// Data that is too long for a registration is ignored, and the last known data stays valid.
#[test]
fn data_that_is_far_too_long_is_not_taken() {
    let mut world = set_up();
    add_servers(&mut world, 2);
    world.add_follower(50, 30_000.0);
    let mut view = View::new();
    world.advance(100.0, |_| {});
    apply_outputs(&mut world, 0, &mut view);
    let good =
        Request::SetData { path: "/servers/s1".into(), data: Bytes::from_static(b"good"), version: -1 };
    world.send_request(1, "good", good);
    world.advance(10.0, |_| {});
    apply_outputs(&mut world, 0, &mut view);
    let data = Bytes::from(vec![b'x'; 1024 * 1024 - 1]);
    assert!(data.len() > MAX_DATA_BYTES);
    world.send_request(1, "long", Request::SetData { path: "/servers/s1".into(), data, version: -1 });
    world.advance(10.0, |_| {});
    assert_eq!(world.followers[0].events, [Output::Change(Change::Oversized("s1".into()))]);
    apply_outputs(&mut world, 0, &mut view);
    assert_eq!(view["s1"], "good");
}

/// 100 rounds of faults for each of ten seeds, while servers come and go. Two followers never lose a server
/// that is present all the time, and have the correct list in the end.
#[test]
fn followers_have_the_truth_after_a_hundred_rounds_of_faults() {
    for seed in 0..10 {
        let (mut world, mut random) = (set_up(), Random(seed + 100));
        // This znode is persistent: it does not depend on any session.
        world.send_request(0, "steady", create("/servers/steady", false));
        world.advance(10.0, |_| {});
        world.clients.get_mut(&0).expect("the client exists").events = vec![Event::Suspended];
        world.add_follower(1000, 30_000.0);
        world.add_follower(2000, 500.0);
        let mut seen = [(View::new(), Vec::new()), (View::new(), Vec::new())];
        let (mut present, mut next) = (Vec::new(), 1);
        for _ in 0..100 {
            let member = random.below(MEMBERS as u64) as usize;
            match random.below(16) {
                0 => world.ensemble.kill(member),
                1 => world.ensemble.set_cut(member, true),
                2..=4 => (0..MEMBERS).for_each(|m| {
                    world.ensemble.restore(m);
                    world.ensemble.set_cut(m, false);
                }),
                5..=7 => world.ensemble.set_lag(member, random.below(1500) as f64),
                8 => world.ensemble.set_mute(member, true),
                9 => (0..MEMBERS).for_each(|m| world.ensemble.set_mute(m, false)),
                10..=12 => {
                    world.add_client(next);
                    present.push(next);
                    next += 1;
                }
                _ if !present.is_empty() => {
                    let id = present.swap_remove(random.below(present.len() as u64) as usize);
                    world.crash(id);
                }
                _ => {}
            }
            let now = present.clone();
            world.advance(random.below(1500) as f64, |w| now.iter().for_each(|id| register(w, *id)));
            for (n, (view, all)) in seen.iter_mut().enumerate() {
                all.extend(apply_outputs(&mut world, n, view));
            }
        }
        for m in 0..MEMBERS {
            world.ensemble.restore(m);
            world.ensemble.set_cut(m, false);
            world.ensemble.set_lag(m, 0.0);
            world.ensemble.set_mute(m, false);
        }
        world.advance(20_000.0, |w| present.iter().for_each(|id| register(w, *id)));
        let mut wanted: Vec<String> = present.iter().map(|id| format!("s{id}")).collect();
        wanted.push("steady".into());
        wanted.sort();
        for (n, (view, all)) in seen.iter_mut().enumerate() {
            all.extend(apply_outputs(&mut world, n, view));
            assert_eq!(names(view), wanted, "seed {seed}, follower {n}");
            assert!(
                all.iter().all(|v| v.contains_key("steady")),
                "seed {seed}: the persistent server was lost"
            );
            assert!(all.len() > 5, "seed {seed}: {} views", all.len());
        }
    }
}
