//! Client sessions at the test ensemble, in virtual time, while members are killed, cut off, lagging or
//! silent.

mod world;

use std::collections::BTreeSet;

use glenwood_coordination::proto::{Request, Response};
use glenwood_coordination::session::Event;
use world::*;

fn children(watch: bool) -> Request {
    Request::GetChildren { path: "/servers".into(), watch, stat: false }
}

/// A follower that reads the children again after each new connection and each watch event.
fn follow(world: &mut World, id: u64, view: &mut BTreeSet<String>, reads: &mut usize) {
    follow_all(world, id, view, reads, &mut Vec::new());
}

type View = BTreeSet<String>;

/// Like `follow`, and also collects every view.
fn follow_all(world: &mut World, id: u64, view: &mut View, reads: &mut usize, views: &mut Vec<View>) {
    let events = std::mem::take(&mut world.clients.get_mut(&id).expect("the client exists").events);
    for event in events {
        match event {
            Event::Established { .. } | Event::Fired(_) => {
                *reads += 1;
                world.send_request(id, "children", children(true));
            }
            Event::Answer("children", Ok(Response::Children { names, .. })) => {
                views.push(names.iter().cloned().collect());
                *view = names.into_iter().collect();
            }
            _ => {}
        }
    }
}

fn set_up(members: usize) -> World {
    let mut world = World::new(members);
    world.add_client(0);
    world.advance(10.0, |_| {});
    world.send_request(0, "root", create("/servers", false));
    world.advance(10.0, |_| {});
    assert!(world.clients[&0].events.iter().any(|e| matches!(e, Event::Answer("root", Ok(_)))));
    world.clients.get_mut(&0).expect("the client exists").events = vec![Event::Established { new: true }];
    world
}

#[test]
fn a_server_that_vanishes_is_gone_a_time_out_later() {
    let mut world = set_up(MEMBERS);
    world.add_client(1);
    let (mut view, mut reads) = (BTreeSet::new(), 0);
    world.advance(3000.0, |w| {
        register(w, 1);
        follow(w, 0, &mut view, &mut reads);
    });
    assert_eq!(view, BTreeSet::from(["s1".to_string()]));
    // The entry stays for as long as the server sends pings, and nothing is read while nothing changes.
    let before = reads;
    world.advance(60_000.0, |w| follow(w, 0, &mut view, &mut reads));
    assert_eq!((view.len(), reads), (1, before));
    world.crash(1);
    let crashed_at = world.now;
    while !view.is_empty() {
        assert!(world.now < crashed_at + TIMEOUT + 50.0, "still present after {} ms", world.now - crashed_at);
        world.advance(10.0, |w| follow(w, 0, &mut view, &mut reads));
    }
    assert!(world.now >= crashed_at + TIMEOUT * 0.5);
}

#[test]
fn a_member_without_a_majority_serves_nobody() {
    let mut world = set_up(MEMBERS);
    world.ensemble.kill(0);
    world.ensemble.kill(1);
    world.advance(1000.0, |_| {});
    assert!(world.ensemble.open(2).is_none() && !world.clients[&0].machine.is_connected());
    world.ensemble.restore(1);
    world.advance(5000.0, |_| {});
    assert!(
        world.clients[&0].machine.is_connected() && world.ensemble.newest().paths().any(|p| p == "/servers")
    );
}

/// 100 rounds of random faults while servers come and go. A client's view never goes back in time, and after
/// the faults everyone agrees on the servers.
#[test]
fn views_agree_after_a_hundred_rounds_of_faults() {
    for seed in 0..10 {
        let (mut world, mut random) = (set_up(MEMBERS), Random(seed));
        let (mut view, mut reads, mut views) = (BTreeSet::new(), 0, Vec::new());
        let mut present = BTreeSet::new();
        let mut next = 1;
        for _ in 0..100 {
            let member = random.below(MEMBERS as u64) as usize;
            match random.below(16) {
                0 => world.ensemble.kill(member),
                1 => world.ensemble.set_cut(member, true),
                2..=4 => {
                    for m in 0..MEMBERS {
                        world.ensemble.restore(m);
                        world.ensemble.set_cut(m, false);
                    }
                }
                5..=7 => world.ensemble.set_lag(member, random.below(1500) as f64),
                8 => world.ensemble.set_mute(member, true),
                9 => (0..MEMBERS).for_each(|m| world.ensemble.set_mute(m, false)),
                10..=12 => {
                    world.add_client(next);
                    present.insert(next);
                    next += 1;
                }
                _ => {
                    if let Some(id) =
                        present.iter().nth(random.below(present.len().max(1) as u64) as usize).copied()
                    {
                        present.remove(&id);
                        world.crash(id);
                    }
                }
            }
            let clients: Vec<u64> = present.iter().copied().collect();
            world.advance(random.below(1500) as f64, |w| {
                clients.iter().for_each(|id| register(w, *id));
                follow_all(w, 0, &mut view, &mut reads, &mut views);
            });
        }
        for member in 0..MEMBERS {
            world.ensemble.restore(member);
            world.ensemble.set_cut(member, false);
            world.ensemble.set_lag(member, 0.0);
            world.ensemble.set_mute(member, false);
        }
        world.advance(20_000.0, |w| {
            present.iter().for_each(|id| register(w, *id));
            follow_all(w, 0, &mut view, &mut reads, &mut views);
        });
        let wanted: BTreeSet<String> = present.iter().map(|id| format!("s{id}")).collect();
        let newest: BTreeSet<String> = world
            .ensemble
            .newest()
            .paths()
            .filter_map(|p| p.strip_prefix("/servers/").map(str::to_string))
            .collect();
        assert_eq!((&view, &newest), (&wanted, &wanted), "seed {seed}");
        // Each view is a past state of the list, and never an older one than the view before.
        let history = world.ensemble.history("/servers");
        let mut at = 0;
        for (n, view) in views.iter().enumerate() {
            let names: Vec<String> = view.iter().cloned().collect();
            let found = history[at..].iter().position(|state| *state == names);
            at += found.unwrap_or_else(|| panic!("seed {seed}: view {n} went back in time: {names:?}"));
        }
        assert!(views.len() > 10, "seed {seed}: {} views", views.len());
        assert!(world.connects > 20, "seed {seed}: nothing happened");
    }
}
