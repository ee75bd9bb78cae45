//! Servers that register and nodes that follow them, at the stand-in ensemble in virtual time: the hard cases.

mod world;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use glenwood_coordination::guard;
use glenwood_coordination::proto::Request;
use glenwood_coordination::registrar::RegistrarEvent;
use glenwood_coordination::session::Settings;
use glenwood_coordination::view::ViewEvent;
use glenwood_list::{Endpoint, Health, ListEntry, Protocol};
use world::*;

const GUARD: guard::Settings = guard::Settings { share: 0.3, window: 2000.0, delay: 400.0 };

fn host(id: u64, born_ms: f64) -> ListEntry {
    let address = ([127, 0, (id >> 8) as u8, id as u8], 80).into();
    let dial = Endpoint { address, protocol: Protocol::Http1 };
    ListEntry { started_ms: born_ms, ..ListEntry::active(&format!("s{id}"), dial) }
}

/// So many servers, and a view of them that has all; they answer as the switch says.
fn set_up(count: u64, guard: Option<guard::Settings>) -> (World, Arc<AtomicBool>, List) {
    let mut world = World::new(MEMBERS);
    (1..=count).for_each(|id| world.register(id, host(id, 1.0)));
    world.pass(100.0, |_| {});
    let answers = Arc::new(AtomicBool::new(true));
    let asked = answers.clone();
    world.view(900, guard, Box::new(move |_| asked.load(Ordering::Relaxed)));
    world.pass(100.0, |_| {});
    let mut list = List::default();
    list.take(&mut world);
    assert_eq!(list.active(), count as usize);
    list.changes.clear();
    (world, answers, list)
}

/// What a node has of what its view said.
#[derive(Default)]
struct List {
    hosts: BTreeMap<String, ListEntry>,
    /// Each change as it was said: name and health.
    changes: Vec<(String, Health)>,
    unfit: Vec<String>,
    away: usize,
}

impl List {
    fn take(&mut self, world: &mut World) {
        for said in world.views[0].take_said() {
            match said {
                ViewEvent::List { is_complete: whole, hosts } => {
                    if whole {
                        self.hosts.clear();
                    }
                    for host in hosts {
                        self.changes.push((host.host.clone(), host.health));
                        match host.health {
                            Health::Left => drop(self.hosts.remove(&host.host)),
                            _ => drop(self.hosts.insert(host.host.clone(), host)),
                        }
                    }
                }
                ViewEvent::Rejected { name, .. } => self.unfit.push(name),
                ViewEvent::Unreachable => self.away += 1,
                ViewEvent::Reachable => {}
            }
        }
    }

    fn pass(&mut self, world: &mut World, span: f64) {
        world.pass(span, |w| self.take(w));
    }

    fn active(&self) -> usize {
        self.hosts.values().filter(|h| h.health == Health::Active).count()
    }

    fn health(&self, id: u64) -> Option<Health> {
        self.hosts.get(&format!("s{id}")).map(|h| h.health)
    }

    fn take_changes(&mut self) -> Vec<(String, Health)> {
        std::mem::take(&mut self.changes)
    }
}

fn change(id: u64, health: Health) -> (String, Health) {
    (format!("s{id}"), health)
}

fn told(world: &mut World, id: u64) -> Vec<RegistrarEvent> {
    world.registrars.get_mut(&id).expect("it is there").take_said()
}

fn make(path: &str, data: Vec<u8>) -> Request {
    match create(path, true) {
        Request::Create { path, acl, mode, stat, .. } => {
            Request::Create { path, data: data.into(), acl, mode, stat }
        }
        other => other,
    }
}

/// Until its session ends: the last ping is a third of the time-out old at the most.
const ENDS: f64 = TIMEOUT + 1.0;

#[test]
fn a_server_that_dies_is_gone_with_its_session_and_one_that_ends_at_once() {
    let (mut world, answers, mut list) = set_up(3, None);
    answers.store(false, Ordering::Relaxed);
    world.vanish(1);
    list.pass(&mut world, TIMEOUT * 0.6);
    assert_eq!(list.take_changes(), []);
    list.pass(&mut world, TIMEOUT * 0.4 + 1.0);
    assert_eq!(list.take_changes(), [change(1, Health::Left)]);
    // A drain is there before the end is.
    let now = world.now;
    world.registrars.get_mut(&2).expect("it is there").machine.drain(now);
    list.pass(&mut world, 1.0);
    assert_eq!(list.take_changes(), [change(2, Health::Leaving)]);
    assert_eq!(told(&mut world, 2).last(), Some(&RegistrarEvent::Draining));
    world.registrars.get_mut(&2).expect("it is there").machine.deregister(now + 1.0);
    list.pass(&mut world, 1.0);
    assert_eq!(list.take_changes(), [change(2, Health::Left)]);
}

/// The session is lost and the server is well: nothing new goes to it from the moment that the service says so, and it is
/// back at once, as the same process.
#[test]
fn a_session_that_expires_while_its_server_answers_makes_a_suspect() {
    let (mut world, _, mut list) = set_up(3, Some(GUARD));
    world.registrars.get_mut(&1).expect("it is there").cut = true;
    list.pass(&mut world, ENDS);
    assert_eq!(list.take_changes(), [change(1, Health::Leaving)]);
    list.pass(&mut world, 3000.0);
    assert_eq!(list.take_changes(), [], "it stays a suspect");
    world.registrars.get_mut(&1).expect("it is there").cut = false;
    list.pass(&mut world, 1000.0);
    assert_eq!(list.take_changes(), [change(1, Health::Active)]);
    assert_eq!(list.hosts["s1"].started_ms, 1.0);
}

#[test]
fn a_suspect_that_does_not_come_back_is_gone_in_the_end() {
    let (mut world, _, mut list) = set_up(3, None);
    world.registrars.get_mut(&1).expect("it is there").cut = true;
    list.pass(&mut world, ENDS + 10_000.0);
    assert_eq!(list.take_changes(), [change(1, Health::Leaving), change(1, Health::Left)]);
}

/// Hours without the service: nobody is lost, and nobody afterwards either.
#[test]
fn the_last_view_holds_for_hours() {
    let (mut world, answers, mut list) = set_up(12, Some(GUARD));
    answers.store(false, Ordering::Relaxed);
    (0..MEMBERS).for_each(|m| world.ensemble.kill(m));
    list.pass(&mut world, 6.0 * 3_600_000.0);
    assert_eq!((list.take_changes(), list.active(), list.away), (vec![], 12, 1));
    let view = &world.views[0].machine;
    assert!(world.now - view.last_received() >= 6.0 * 3_600_000.0 - TIMEOUT, "its age is known");
    (0..MEMBERS).for_each(|m| world.ensemble.restore(m));
    list.pass(&mut world, 10_000.0);
    assert_eq!((list.take_changes(), list.active()), (vec![], 12));
}

/// All sessions end together and come again: what the guard keeps back is never gone, and the first few are suspects for
/// a moment.
#[test]
fn a_mass_expiry_is_no_mass_removal() {
    let (mut world, _, mut list) = set_up(12, Some(GUARD));
    world.registrars.values_mut().for_each(|r| r.cut = true);
    let mut at_worst = 12;
    let mut left_at = None;
    for _ in 0..1000 {
        list.pass(&mut world, 5.0);
        at_worst = at_worst.min(list.active());
        if list.active() < 12 && left_at.is_none() {
            left_at = Some(world.now);
            world.registrars.values_mut().for_each(|r| r.cut = false);
        }
    }
    assert!(left_at.is_some(), "sessions ended");
    assert!(at_worst >= 8, "{at_worst} were in service at worst");
    assert_eq!(list.active(), 12);
    assert!(list.take_changes().iter().all(|(_, health)| *health != Health::Left), "no connections are lost");
}

/// The guard keeps within the drain rule: what stays away is out of service within its hold.
#[test]
fn a_mass_expiry_that_lasts_is_passed_on_within_the_hold() {
    let (mut world, _, mut list) = set_up(12, Some(GUARD));
    world.registrars.values_mut().for_each(|r| r.cut = true);
    let mut gone_at: BTreeMap<String, f64> = BTreeMap::new();
    let mut out_at: BTreeMap<String, f64> = BTreeMap::new();
    for _ in 0..3000 {
        list.pass(&mut world, 1.0);
        for id in 1..=12 {
            let name = format!("s{id}");
            if !world.ensemble.newest().paths().any(|p| p == format!("/servers/{name}")) {
                gone_at.entry(name.clone()).or_insert(world.now);
            }
            if list.health(id) != Some(Health::Active) {
                out_at.entry(name).or_insert(world.now);
            }
        }
    }
    assert_eq!((gone_at.len(), out_at.len()), (12, 12));
    for (name, gone) in &gone_at {
        assert!(out_at[name] - gone <= 405.0, "{name}: {} after {gone}", out_at[name]);
    }
    let late = gone_at.iter().filter(|(name, gone)| out_at[*name] - **gone > 300.0).count();
    assert!(late > 4, "the guard kept back {late}");
}

/// What happens while the node's own session is over is said when it has a new one; nobody is gone for that.
#[test]
fn the_nodes_own_session_expires() {
    let (mut world, answers, mut list) = set_up(4, None);
    answers.store(false, Ordering::Relaxed);
    let before = world.views[0].machine.follower().session().id();
    world.views[0].cut = true;
    world.vanish(1);
    world.register(5, host(5, 1.0));
    list.pass(&mut world, 10_000.0);
    assert_eq!((list.take_changes(), list.active()), (vec![], 4));
    world.views[0].cut = false;
    list.pass(&mut world, 5000.0);
    assert_ne!(world.views[0].machine.follower().session().id(), before);
    let mut changes = list.take_changes();
    changes.sort_by(|a, b| a.0.cmp(&b.0));
    assert_eq!(changes, [change(1, Health::Left), change(5, Health::Active)]);
}

/// The process is another one, and the ephemeral node of the one before is still there: its end must not take the new
/// one's along.
#[test]
fn a_server_that_restarts_under_its_name_outlives_its_old_session() {
    let (mut world, answers, mut list) = set_up(3, None);
    answers.store(false, Ordering::Relaxed);
    world.register_with(1, host(1, 2.0), Settings { members: MEMBERS, timeout: TIMEOUT, seed: 77 });
    list.pass(&mut world, 100.0);
    assert_eq!(list.hosts["s1"].started_ms, 2.0);
    assert_eq!(told(&mut world, 1), [RegistrarEvent::Registered]);
    list.take_changes();
    list.pass(&mut world, 5.0 * TIMEOUT);
    assert_eq!(list.take_changes(), [], "the old session has ended");
    assert_eq!(world.ensemble.newest().sessions().count(), 4, "three servers and the node");
}

/// Two processes under one name: the later one has it, and they do not fight.
#[test]
fn the_earlier_of_two_processes_gives_way() {
    let (mut world, _, mut list) = set_up(2, None);
    world.register(9, ListEntry { started_ms: 5.0, ..host(1, 5.0) });
    list.pass(&mut world, 10.0 * TIMEOUT);
    assert_eq!((list.hosts["s1"].started_ms, list.active()), (5.0, 2));
    assert!(list.take_changes().len() <= 4);
    assert_eq!(told(&mut world, 1).last(), Some(&RegistrarEvent::Superseded));
    // The earlier one again: it finds the later one's entry, and leaves it.
    world.register(1, host(1, 4.0));
    list.pass(&mut world, 10.0 * TIMEOUT);
    assert_eq!((list.take_changes(), told(&mut world, 1)), (vec![], vec![RegistrarEvent::Superseded]));
}

/// Two processes that say the same birth can't be told apart; they do not take the name from one another without end.
#[test]
fn two_processes_of_one_birth_cost_few_changes() {
    let (mut world, answers, mut list) = set_up(2, None);
    answers.store(false, Ordering::Relaxed);
    world.register(9, ListEntry { host: "s1".into(), ..host(9, 1.0) });
    list.pass(&mut world, 60_000.0);
    let changes = list.take_changes().len();
    assert!((2..60).contains(&changes), "{changes} changes in a minute");
    assert!(list.health(1).is_some());
}

/// The answer to `create` is lost: the entry is there once, with the session that lives.
#[test]
fn an_answer_that_is_lost_is_asked_for_again() {
    let (mut world, _, mut list) = set_up(3, None);
    for round in 0..20u64 {
        let id = 10 + round;
        world.register(id, host(id, 1.0));
        world.pass(f64::from((round % 4) as u32), |_| {});
        let member = (round % MEMBERS as u64) as usize;
        world.ensemble.kill(member);
        list.pass(&mut world, 700.0);
        world.ensemble.restore(member);
        list.pass(&mut world, 700.0);
        assert!(world.registrars[&id].machine.is_registered(), "round {round}");
    }
    assert_eq!(list.active(), 23);
}

/// Somebody removes an entry by hand: its server registers again.
#[test]
fn an_entry_that_is_removed_by_hand_comes_back() {
    let (mut world, _, mut list) = set_up(3, None);
    world.join(500);
    world.pass(10.0, |_| {});
    world.ask(500, "rm", Request::Delete { path: "/servers/s2".into(), version: -1 });
    list.pass(&mut world, 1000.0);
    assert_eq!(list.active(), 3);
    assert_eq!(list.take_changes().last(), Some(&change(2, Health::Active)));
}

#[test]
fn garbage_a_megabyte_and_a_name_that_differs_change_nothing() {
    let (mut world, _, mut list) = set_up(3, None);
    world.join(500);
    world.pass(10.0, |_| {});
    let bad: [(&str, Vec<u8>); 7] = [
        ("garbage", b"\xff\x00{".to_vec()),
        ("array", b"[]".to_vec()),
        ("megabyte", vec![b'x'; 1024 * 1024 - 1]),
        ("no-dial", br#"{"health":"active"}"#.to_vec()),
        ("other-name", br#"{"host":"s1","dial":"127.0.9.9:1","health":"active"}"#.to_vec()),
        ("no-weight", br#"{"dial":"127.0.9.9:1","health":"active","share":0}"#.to_vec()),
        ("no-birth", br#"{"dial":"127.0.9.9:1","health":"active","born_ms":-1}"#.to_vec()),
    ];
    for (name, data) in bad {
        world.ask(500, "make", make(&format!("/servers/{name}"), data));
        list.pass(&mut world, 50.0);
        assert_eq!(list.unfit.pop().as_deref(), Some(name));
    }
    // A good entry is overwritten by garbage, and its server writes it anew; nobody notices.
    let garbage = Request::SetData { path: "/servers/s1".into(), data: vec![1, 2, 3].into(), version: -1 };
    world.ask(500, "write", garbage);
    list.pass(&mut world, 500.0);
    assert_eq!((list.take_changes(), list.active()), (vec![], 3));
    // A name of its own is not needed.
    let plain = br#"{"dial":"127.0.9.9:1","health":"active"}"#.to_vec();
    world.ask(500, "make", make("/servers/plain", plain));
    list.pass(&mut world, 50.0);
    assert_eq!(list.take_changes(), [("plain".to_string(), Health::Active)]);
}

/// Two names with one address are one process: it must not have two shares of the work.
#[test]
fn of_two_names_with_one_address_the_later_born_is_listed() {
    let (mut world, answers, mut list) = set_up(2, None);
    answers.store(false, Ordering::Relaxed);
    let same = |name: &str, born_ms| ListEntry { host: name.into(), started_ms: born_ms, ..host(1, born_ms) };
    world.register(8, same("older", 0.5));
    list.pass(&mut world, 100.0);
    assert_eq!(list.take_changes(), []);
    world.register(9, same("newer", 2.0));
    list.pass(&mut world, 100.0);
    let mut changes = list.take_changes();
    changes.sort_by(|a, b| a.0.cmp(&b.0));
    assert_eq!(changes, [("newer".into(), Health::Active), change(1, Health::Left)]);
    // When it goes, the next of them is listed.
    world.vanish(9);
    list.pass(&mut world, ENDS);
    let mut changes = list.take_changes();
    changes.sort_by(|a, b| a.0.cmp(&b.0));
    assert_eq!(changes, [("newer".into(), Health::Left), change(1, Health::Active)]);
}

/// A server that registers and ends twice a second for five minutes: its departures are passed on at once, its returns
/// are not, and the node hears of a few of them.
#[test]
fn a_server_that_flaps_costs_few_changes() {
    let (mut world, answers, mut list) = set_up(3, None);
    answers.store(false, Ordering::Relaxed);
    let mut ended = 0;
    for round in 0..600u32 {
        world.register(7, host(7, f64::from(round)));
        list.pass(&mut world, 250.0);
        let now = world.now;
        world.registrars.get_mut(&7).expect("it is there").machine.deregister(now);
        ended += 1;
        list.pass(&mut world, 250.0);
        assert_ne!(list.health(7), Some(Health::Active), "round {round}: its end is not delayed");
    }
    assert_eq!(ended, 600);
    let returns = list.take_changes().iter().filter(|c| **c == change(7, Health::Active)).count();
    assert!((3..=20).contains(&returns), "{returns} returns in five minutes");
    // Once it is stable it is let back.
    world.register(7, host(7, 1000.0));
    list.pass(&mut world, 31_000.0);
    assert_eq!(list.health(7), Some(Health::Active));
}

/// Nobody else is in service: the one that flaps is better than none.
#[test]
fn nobody_is_kept_out_where_nobody_else_is() {
    let (mut world, answers, mut list) = set_up(1, None);
    answers.store(false, Ordering::Relaxed);
    for round in 0..20u32 {
        let now = world.now;
        world.registrars.get_mut(&1).expect("it is there").machine.deregister(now);
        list.pass(&mut world, 100.0);
        world.register(1, host(1, f64::from(round)));
        list.pass(&mut world, 200.0);
        assert_eq!(list.active(), 1, "round {round}");
    }
}

/// Members accept and say nothing, one after the other: servers stay registered, and the list is followed.
#[test]
fn a_mute_member_costs_nobody_its_place() {
    let (mut world, _, mut list) = set_up(6, None);
    for round in 0..12u64 {
        let member = (round % MEMBERS as u64) as usize;
        world.ensemble.mute(member, true);
        list.pass(&mut world, 3.0 * TIMEOUT);
        world.ensemble.mute(member, false);
        world.register(100 + round, host(100 + round, 1.0));
        list.pass(&mut world, 2.0 * TIMEOUT);
        assert_eq!(list.health(100 + round), Some(Health::Active), "round {round}");
    }
    assert!(list.take_changes().iter().all(|(_, health)| *health == Health::Active));
    assert_eq!(list.active(), 18);
}

/// A watch may be lost at the very moment of a new connection: what changed then is said all the same.
#[test]
fn what_changes_while_the_node_changes_members_is_said() {
    let (mut world, answers, mut list) = set_up(4, None);
    answers.store(false, Ordering::Relaxed);
    for round in 0..24u64 {
        let id = 20 + round;
        let member = (round % MEMBERS as u64) as usize;
        let now = world.now;
        // The change is made while the node's member goes, before it has another.
        world.ensemble.kill(member);
        world.register(id, host(id, 1.0));
        if round > 0 {
            if let Some(before) = world.registrars.get_mut(&(id - 1)) {
                before.machine.deregister(now);
            }
        }
        list.pass(&mut world, f64::from((round % 7) as u32) * 30.0);
        world.ensemble.restore(member);
        // One whose end was not heard is there until its session ends, which a new leader puts off.
        list.pass(&mut world, 2.0 * TIMEOUT);
        assert_eq!(list.health(id), Some(Health::Active), "round {round}");
        assert_eq!(list.health(id - 1), None, "round {round}");
    }
}

/// The watch on the names has fired, and the connection ends before they are read anew: no watch stands that could be taken
/// up again, and what has changed is said all the same.
#[test]
fn a_watch_that_fired_just_before_the_connection_ended_is_not_lost() {
    let mut caused = 0;
    for seed in 0..20 {
        let mut world = World::new(5);
        (1..=3).for_each(|id| world.register(id, host(id, 1.0)));
        world.pass(100.0, |_| {});
        world.view(seed, None, Box::new(|_| false));
        let mut list = List::default();
        list.pass(&mut world, 100.0);
        let (leader, member) = (world.ensemble.leader(), world.views[0].member(&world.ensemble));
        let (Some(leader), Some(member)) = (leader, member) else { panic!("all is well") };
        if leader == member {
            continue;
        }
        world.ensemble.lag(member, 150.0);
        world.register(4, host(4, 1.0));
        list.pass(&mut world, 100.0);
        if !world.registrars[&4].machine.is_registered() {
            // Its own member is the late one.
            continue;
        }
        // Without a leader the member answers nobody: the names are asked for, and the connection ends first.
        world.ensemble.kill(leader);
        let asked = world.views[0].machine.follower().request_counts().0;
        list.pass(&mut world, 70.0);
        assert_eq!((world.views[0].machine.follower().request_counts().0, list.active()), (asked + 1, 3));
        world.ensemble.kill(member);
        list.pass(&mut world, TIMEOUT);
        assert_eq!(list.health(4), Some(Health::Active), "seed {seed}");
        caused += 1;
    }
    assert!(caused > 3, "{caused} times");
}

/// Five thousand servers register within a second, and end within another: all are seen, and the names are not read
/// anew for each.
#[test]
fn five_thousand_servers_in_a_second() {
    let (mut world, answers, mut list) = set_up(3, None);
    answers.store(false, Ordering::Relaxed);
    world.join(5);
    world.pass(10.0, |_| {});
    for step in 0..200u64 {
        for id in 10 + step * 25..35 + step * 25 {
            let data = serde_json::to_vec(&host(id, 1.0)).expect("an entry");
            world.ask(5, "make", make(&format!("/servers/s{id}"), data));
        }
        list.pass(&mut world, 5.0);
    }
    list.pass(&mut world, 300.0);
    assert_eq!(list.active(), 5003);
    let (names, data) = world.views[0].machine.follower().request_counts();
    assert!(names < 60 && data < 5100, "{names} readings of names, {data} of data");
    // They end with one session, and are gone without the names being read again and again.
    list.take_changes();
    world.vanish(5);
    list.pass(&mut world, ENDS);
    assert_eq!((list.active(), list.take_changes().len()), (3, 5000));
    let after = world.views[0].machine.follower().request_counts();
    assert!(after.0 - names < 10 && after.1 == data, "{after:?}");
}
