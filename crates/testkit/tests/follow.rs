//! Followers of a list of servers at the stand-in ensemble, in virtual time.

mod world;

use std::collections::BTreeMap;

use bytes::Bytes;
use glenwood_coordination::follow::{Change, Output, MAX_DATA_BYTES};
use glenwood_coordination::proto::Request;
use glenwood_coordination::session::Event;
use world::*;

type View = BTreeMap<String, Bytes>;

/// Takes over what a follower said; gives the view after each change. Nobody may be gone who was not there.
fn views(world: &mut World, n: usize, view: &mut View) -> Vec<View> {
    let mut all = Vec::new();
    for output in std::mem::take(&mut world.followers[n].said) {
        match output {
            Output::Change(Change::Snapshot(whole)) => *view = whole,
            Output::Change(Change::Set(name, data)) => {
                view.insert(name, data);
            }
            Output::Change(Change::Removed(name)) => {
                assert!(view.remove(&name).is_some(), "{name} was not there")
            }
            _ => continue,
        }
        all.push(view.clone());
    }
    all
}

/// A world with `/servers`, whose maker is the client 0.
fn set_up() -> World {
    let mut world = World::new(MEMBERS);
    world.join(0);
    world.pass(10.0, |_| {});
    world.ask(0, "root", create("/servers", false));
    world.pass(10.0, |_| {});
    world
}

fn servers(world: &mut World, count: u64) {
    for id in 1..=count {
        world.join(id);
    }
    world.pass(100.0, |w| (1..=count).for_each(|id| register(w, id)));
}

fn names(view: &View) -> Vec<&str> {
    view.keys().map(String::as_str).collect()
}

#[test]
fn a_follower_says_the_whole_once_and_then_what_changes() {
    let mut world = set_up();
    servers(&mut world, 3);
    world.follow(50, 30_000.0);
    let mut view = View::new();
    world.pass(100.0, |_| {});
    assert_eq!(views(&mut world, 0, &mut view).len(), 1);
    assert_eq!(names(&view), ["s1", "s2", "s3"]);
    let data = Bytes::from_static(b"other");
    world.ask(2, "data", Request::SetData { path: "/servers/s2".into(), data: data.clone(), version: -1 });
    world.pass(10.0, |_| {});
    let said: Vec<_> = std::mem::take(&mut world.followers[0].said);
    assert_eq!(said, [Output::Change(Change::Set("s2".into(), data))]);
    // Once more: the watch was set again by the reading.
    world.ask(2, "data", Request::SetData { path: "/servers/s2".into(), data: Bytes::new(), version: -1 });
    world.ask(3, "leave", Request::Delete { path: "/servers/s3".into(), version: -1 });
    world.pass(10.0, |_| {});
    views(&mut world, 0, &mut view);
    assert_eq!((names(&view), view["s2"].len()), (vec!["s1", "s2"], 0));
}

/// There is no list before the tree is made, and an empty one only once the service says so.
#[test]
fn a_tree_that_is_not_made_yet_is_no_list() {
    let mut world = World::new(MEMBERS);
    world.follow(50, 1e9);
    world.pass(5000.0, |_| {});
    assert_eq!(views(&mut world, 0, &mut View::new()), Vec::<View>::new());
    world.join(0);
    world.pass(10.0, |_| {});
    world.ask(0, "root", create("/servers", false));
    world.pass(10.0, |_| {});
    assert_eq!(views(&mut world, 0, &mut View::new()), [View::new()]);
}

/// The whole service is out of reach for an hour: nobody is gone for that, and on its return only who is really gone is.
#[test]
fn a_service_that_is_away_for_an_hour_takes_nobody_along() {
    let mut world = set_up();
    servers(&mut world, 4);
    world.follow(50, 30_000.0);
    let mut view = View::new();
    world.pass(100.0, |_| {});
    views(&mut world, 0, &mut view);
    (0..MEMBERS).for_each(|m| world.ensemble.kill(m));
    world.pass(3_600_000.0, |_| {});
    assert!(world.followers[0].said.contains(&Output::Unreachable));
    assert_eq!(views(&mut world, 0, &mut view), Vec::<View>::new());
    world.vanish(4);
    (0..MEMBERS).for_each(|m| world.ensemble.restore(m));
    world.pass(10_000.0, |w| (1..4).for_each(|id| register(w, id)));
    let after = views(&mut world, 0, &mut view);
    assert!(after.iter().all(|v| v.len() >= 3), "{after:?}");
    assert_eq!(names(&view), ["s1", "s2", "s3"]);
}

/// Its own session is over: it reads all again, and says nothing that is not so.
#[test]
fn a_follower_whose_own_session_ended_takes_nobody_along() {
    let mut world = set_up();
    servers(&mut world, 4);
    world.follow(50, 30_000.0);
    let mut view = View::new();
    world.pass(100.0, |_| {});
    views(&mut world, 0, &mut view);
    let old = world.followers[0].machine.session().id();
    // All members are mute to it for longer than its session lasts; the others' sessions end as well and come again.
    (0..MEMBERS).for_each(|m| world.ensemble.mute(m, true));
    world.pass(10_000.0, |_| {});
    (0..MEMBERS).for_each(|m| world.ensemble.mute(m, false));
    world.pass(10_000.0, |w| (1..5).for_each(|id| register(w, id)));
    assert_ne!(world.followers[0].machine.session().id(), old);
    views(&mut world, 0, &mut view);
    assert_eq!(names(&view), ["s1", "s2", "s3", "s4"]);
}

/// Five thousand servers are taken in with a bounded count of reads under way, and one change costs one reading.
#[test]
fn a_large_list_comes_in_bounded_and_a_change_costs_what_changed() {
    let mut world = set_up();
    for n in 0..5000 {
        world.ask(0, "many", create(&format!("/servers/m{n:04}"), false));
    }
    world.pass(10.0, |_| {});
    world.follow(50, 1e9);
    let mut view = View::new();
    world.pass(50.0, |_| {});
    assert_eq!((views(&mut world, 0, &mut view).len(), view.len()), (1, 5000));
    let before = world.followers[0].machine.session().watch_count();
    assert_eq!(before, 5001);
    world.ask(0, "one", Request::Delete { path: "/servers/m0777".into(), version: -1 });
    world.pass(50.0, |_| {});
    assert_eq!(world.followers[0].said, [Output::Change(Change::Removed("m0777".into()))]);
}

/// Data that is no registration by its length is not taken, and what was known still holds.
#[test]
fn data_that_is_far_too_long_is_not_taken() {
    let mut world = set_up();
    servers(&mut world, 2);
    world.follow(50, 30_000.0);
    let mut view = View::new();
    world.pass(100.0, |_| {});
    views(&mut world, 0, &mut view);
    let good =
        Request::SetData { path: "/servers/s1".into(), data: Bytes::from_static(b"good"), version: -1 };
    world.ask(1, "good", good);
    world.pass(10.0, |_| {});
    views(&mut world, 0, &mut view);
    let data = Bytes::from(vec![b'x'; 1024 * 1024 - 1]);
    assert!(data.len() > MAX_DATA_BYTES);
    world.ask(1, "long", Request::SetData { path: "/servers/s1".into(), data, version: -1 });
    world.pass(10.0, |_| {});
    assert_eq!(world.followers[0].said, [Output::Change(Change::Oversized("s1".into()))]);
    views(&mut world, 0, &mut view);
    assert_eq!(view["s1"], "good");
}

/// A hundred rounds of faults over ten seeds, servers coming and going: two followers never go back in time, are never
/// without a server that stood all the while, and in the end have the truth.
#[test]
fn followers_have_the_truth_after_a_hundred_rounds_of_faults() {
    for seed in 0..10 {
        let (mut world, mut random) = (set_up(), Random(seed + 100));
        // This one is made for good: it is there whatever becomes of sessions.
        world.ask(0, "steady", create("/servers/steady", false));
        world.pass(10.0, |_| {});
        world.clients.get_mut(&0).expect("it is there").said = vec![Event::Suspended];
        world.follow(1000, 30_000.0);
        world.follow(2000, 500.0);
        let mut seen = [(View::new(), Vec::new()), (View::new(), Vec::new())];
        let (mut there, mut next) = (Vec::new(), 1);
        for _ in 0..100 {
            let member = random.below(MEMBERS as u64) as usize;
            match random.below(16) {
                0 => world.ensemble.kill(member),
                1 => world.ensemble.cut(member, true),
                2..=4 => (0..MEMBERS).for_each(|m| {
                    world.ensemble.restore(m);
                    world.ensemble.cut(m, false);
                }),
                5..=7 => world.ensemble.lag(member, random.below(1500) as f64),
                8 => world.ensemble.mute(member, true),
                9 => (0..MEMBERS).for_each(|m| world.ensemble.mute(m, false)),
                10..=12 => {
                    world.join(next);
                    there.push(next);
                    next += 1;
                }
                _ if !there.is_empty() => {
                    let id = there.swap_remove(random.below(there.len() as u64) as usize);
                    world.vanish(id);
                }
                _ => {}
            }
            let now = there.clone();
            world.pass(random.below(1500) as f64, |w| now.iter().for_each(|id| register(w, *id)));
            for (n, (view, all)) in seen.iter_mut().enumerate() {
                all.extend(views(&mut world, n, view));
            }
        }
        for m in 0..MEMBERS {
            world.ensemble.restore(m);
            world.ensemble.cut(m, false);
            world.ensemble.lag(m, 0.0);
            world.ensemble.mute(m, false);
        }
        world.pass(20_000.0, |w| there.iter().for_each(|id| register(w, *id)));
        let mut wanted: Vec<String> = there.iter().map(|id| format!("s{id}")).collect();
        wanted.push("steady".into());
        wanted.sort();
        for (n, (view, all)) in seen.iter_mut().enumerate() {
            all.extend(views(&mut world, n, view));
            assert_eq!(names(view), wanted, "seed {seed}, follower {n}");
            assert!(all.iter().all(|v| v.contains_key("steady")), "seed {seed}: the steady one was lost");
            assert!(all.len() > 5, "seed {seed}: {} views", all.len());
        }
    }
}
