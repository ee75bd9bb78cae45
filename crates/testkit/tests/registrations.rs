//! Registration of servers and nodes that follow the registrations, at the test ensemble in virtual time: the
//! difficult cases.

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

fn host(id: u64, start_time_ms: f64) -> ListEntry {
    let address = ([127, 0, (id >> 8) as u8, id as u8], 80).into();
    let dial = Endpoint { address, protocol: Protocol::Http1 };
    ListEntry { started_ms: start_time_ms, ..ListEntry::active(&format!("s{id}"), dial) }
}

/// A world with this many servers and a view that lists all of them. The flag sets whether the servers answer
/// the node.
fn set_up(count: u64, guard: Option<guard::Settings>) -> (World, Arc<AtomicBool>, ServerList) {
    let mut world = World::new(MEMBERS);
    (1..=count).for_each(|id| world.add_registrar(id, host(id, 1.0)));
    world.advance(100.0, |_| {});
    let answers = Arc::new(AtomicBool::new(true));
    let switch = answers.clone();
    world.add_view(900, guard, Box::new(move |_| switch.load(Ordering::Relaxed)));
    world.advance(100.0, |_| {});
    let mut list = ServerList::default();
    list.apply_events(&mut world);
    assert_eq!(list.active(), count as usize);
    list.changes.clear();
    (world, answers, list)
}

/// The server list that a node builds from the events of its view.
#[derive(Default)]
struct ServerList {
    hosts: BTreeMap<String, ListEntry>,
    /// Each reported change: name and health.
    changes: Vec<(String, Health)>,
    rejected: Vec<String>,
    unreachable_count: usize,
}

impl ServerList {
    fn apply_events(&mut self, world: &mut World) {
        for event in world.views[0].take_events() {
            match event {
                ViewEvent::List { is_complete: full, hosts } => {
                    if full {
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
                ViewEvent::Rejected { name, .. } => self.rejected.push(name),
                ViewEvent::Unreachable => self.unreachable_count += 1,
                ViewEvent::Reachable => {}
            }
        }
    }

    fn advance(&mut self, world: &mut World, span: f64) {
        world.advance(span, |w| self.apply_events(w));
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

fn events_of(world: &mut World, id: u64) -> Vec<RegistrarEvent> {
    world.registrars.get_mut(&id).expect("the registrar exists").take_events()
}

fn create_with_data(path: &str, data: Vec<u8>) -> Request {
    match create(path, true) {
        Request::Create { path, acl, mode, stat, .. } => {
            Request::Create { path, data: data.into(), acl, mode, stat }
        }
        other => other,
    }
}

/// Time after which the session of a vanished server has expired: its last ping is at most a third of the
/// time-out old.
const SESSION_END: f64 = TIMEOUT + 1.0;

#[test]
fn a_server_that_dies_is_gone_with_its_session_and_one_that_ends_at_once() {
    let (mut world, answers, mut list) = set_up(3, None);
    answers.store(false, Ordering::Relaxed);
    world.crash(1);
    list.advance(&mut world, TIMEOUT * 0.6);
    assert_eq!(list.take_changes(), []);
    list.advance(&mut world, TIMEOUT * 0.4 + 1.0);
    assert_eq!(list.take_changes(), [change(1, Health::Left)]);
    // A drain is visible before the server ends.
    let now = world.now;
    world.registrars.get_mut(&2).expect("the registrar exists").machine.drain(now);
    list.advance(&mut world, 1.0);
    assert_eq!(list.take_changes(), [change(2, Health::Leaving)]);
    assert_eq!(events_of(&mut world, 2).last(), Some(&RegistrarEvent::Draining));
    world.registrars.get_mut(&2).expect("the registrar exists").machine.deregister(now + 1.0);
    list.advance(&mut world, 1.0);
    assert_eq!(list.take_changes(), [change(2, Health::Left)]);
}

/// The session expires while the server still answers. No new work goes to the server once the service
/// reports this, and it returns at once, as the same process.
#[test]
fn a_session_that_expires_while_its_server_answers_makes_a_suspect() {
    let (mut world, _, mut list) = set_up(3, Some(GUARD));
    world.registrars.get_mut(&1).expect("the registrar exists").cut = true;
    list.advance(&mut world, SESSION_END);
    assert_eq!(list.take_changes(), [change(1, Health::Leaving)]);
    list.advance(&mut world, 3000.0);
    assert_eq!(list.take_changes(), [], "it stays a suspect");
    world.registrars.get_mut(&1).expect("the registrar exists").cut = false;
    list.advance(&mut world, 1000.0);
    assert_eq!(list.take_changes(), [change(1, Health::Active)]);
    assert_eq!(list.hosts["s1"].started_ms, 1.0);
}

#[test]
fn a_suspect_that_does_not_come_back_is_gone_in_the_end() {
    let (mut world, _, mut list) = set_up(3, None);
    world.registrars.get_mut(&1).expect("the registrar exists").cut = true;
    list.advance(&mut world, SESSION_END + 10_000.0);
    assert_eq!(list.take_changes(), [change(1, Health::Leaving), change(1, Health::Left)]);
}

/// The service is away for hours. No server is lost meanwhile or afterwards.
#[test]
fn the_last_view_holds_for_hours() {
    let (mut world, answers, mut list) = set_up(12, Some(GUARD));
    answers.store(false, Ordering::Relaxed);
    (0..MEMBERS).for_each(|m| world.ensemble.kill(m));
    list.advance(&mut world, 6.0 * 3_600_000.0);
    assert_eq!((list.take_changes(), list.active(), list.unreachable_count), (vec![], 12, 1));
    let view = &world.views[0].machine;
    assert!(world.now - view.last_received() >= 6.0 * 3_600_000.0 - TIMEOUT, "its age is known");
    (0..MEMBERS).for_each(|m| world.ensemble.restore(m));
    list.advance(&mut world, 10_000.0);
    assert_eq!((list.take_changes(), list.active()), (vec![], 12));
}

/// All sessions expire at the same time and are created again. The servers that the guard holds back are
/// never removed, and the first few are suspects for a moment only.
#[test]
fn a_mass_expiry_is_no_mass_removal() {
    let (mut world, _, mut list) = set_up(12, Some(GUARD));
    world.registrars.values_mut().for_each(|r| r.cut = true);
    let mut min_active = 12;
    let mut left_at = None;
    for _ in 0..1000 {
        list.advance(&mut world, 5.0);
        min_active = min_active.min(list.active());
        if list.active() < 12 && left_at.is_none() {
            left_at = Some(world.now);
            world.registrars.values_mut().for_each(|r| r.cut = false);
        }
    }
    assert!(left_at.is_some(), "sessions ended");
    assert!(min_active >= 8, "{min_active} were in service at the least");
    assert_eq!(list.active(), 12);
    assert!(list.take_changes().iter().all(|(_, health)| *health != Health::Left), "no connections are lost");
}

/// The guard keeps to the drain rule: a server that stays away is out of service within the hold time.
#[test]
fn a_mass_expiry_that_lasts_is_passed_on_within_the_hold() {
    let (mut world, _, mut list) = set_up(12, Some(GUARD));
    world.registrars.values_mut().for_each(|r| r.cut = true);
    let mut gone_at: BTreeMap<String, f64> = BTreeMap::new();
    let mut out_of_service_at: BTreeMap<String, f64> = BTreeMap::new();
    for _ in 0..3000 {
        list.advance(&mut world, 1.0);
        for id in 1..=12 {
            let name = format!("s{id}");
            if !world.ensemble.newest().paths().any(|p| p == format!("/servers/{name}")) {
                gone_at.entry(name.clone()).or_insert(world.now);
            }
            if list.health(id) != Some(Health::Active) {
                out_of_service_at.entry(name).or_insert(world.now);
            }
        }
    }
    assert_eq!((gone_at.len(), out_of_service_at.len()), (12, 12));
    for (name, gone) in &gone_at {
        assert!(out_of_service_at[name] - gone <= 405.0, "{name}: {} after {gone}", out_of_service_at[name]);
    }
    let late = gone_at.iter().filter(|(name, gone)| out_of_service_at[*name] - **gone > 300.0).count();
    assert!(late > 4, "the guard kept back {late}");
}

/// Changes during an expired session of the node are reported once it has a new session. The expiry itself
/// removes no server.
#[test]
fn the_nodes_own_session_expires() {
    let (mut world, answers, mut list) = set_up(4, None);
    answers.store(false, Ordering::Relaxed);
    let before = world.views[0].machine.follower().session().id();
    world.views[0].cut = true;
    world.crash(1);
    world.add_registrar(5, host(5, 1.0));
    list.advance(&mut world, 10_000.0);
    assert_eq!((list.take_changes(), list.active()), (vec![], 4));
    world.views[0].cut = false;
    list.advance(&mut world, 5000.0);
    assert_ne!(world.views[0].machine.follower().session().id(), before);
    let mut changes = list.take_changes();
    changes.sort_by(|a, b| a.0.cmp(&b.0));
    assert_eq!(changes, [change(1, Health::Left), change(5, Health::Active)]);
}

/// A server restarts under its name while the ephemeral znode of its old process still exists. The end of the
/// old session must not delete the new entry.
#[test]
fn a_server_that_restarts_under_its_name_outlives_its_old_session() {
    let (mut world, answers, mut list) = set_up(3, None);
    answers.store(false, Ordering::Relaxed);
    world.add_registrar_with(1, host(1, 2.0), Settings { members: MEMBERS, timeout: TIMEOUT, seed: 77 });
    list.advance(&mut world, 100.0);
    assert_eq!(list.hosts["s1"].started_ms, 2.0);
    assert_eq!(events_of(&mut world, 1), [RegistrarEvent::Registered]);
    list.take_changes();
    list.advance(&mut world, 5.0 * TIMEOUT);
    assert_eq!(list.take_changes(), [], "the old session has ended");
    assert_eq!(world.ensemble.newest().sessions().count(), 4, "three servers and the node");
}

/// Two processes use one name. The later one gets it, and they do not keep replacing each other.
#[test]
fn the_earlier_of_two_processes_gives_way() {
    let (mut world, _, mut list) = set_up(2, None);
    world.add_registrar(9, ListEntry { started_ms: 5.0, ..host(1, 5.0) });
    list.advance(&mut world, 10.0 * TIMEOUT);
    assert_eq!((list.hosts["s1"].started_ms, list.active()), (5.0, 2));
    assert!(list.take_changes().len() <= 4);
    assert_eq!(events_of(&mut world, 1).last(), Some(&RegistrarEvent::Superseded));
    // The earlier process starts again, finds the entry of the later one, and leaves it.
    world.add_registrar(1, host(1, 4.0));
    list.advance(&mut world, 10.0 * TIMEOUT);
    assert_eq!((list.take_changes(), events_of(&mut world, 1)), (vec![], vec![RegistrarEvent::Superseded]));
}

/// Two processes with the same start time cannot be told apart. They must not keep taking the name from each
/// other.
#[test]
fn two_processes_of_one_birth_cost_few_changes() {
    let (mut world, answers, mut list) = set_up(2, None);
    answers.store(false, Ordering::Relaxed);
    world.add_registrar(9, ListEntry { host: "s1".into(), ..host(9, 1.0) });
    list.advance(&mut world, 60_000.0);
    let changes = list.take_changes().len();
    assert!((2..60).contains(&changes), "{changes} changes in a minute");
    assert!(list.health(1).is_some());
}

/// The answer to `create` is lost. The entry exists once, with the live session.
#[test]
fn an_answer_that_is_lost_is_asked_for_again() {
    let (mut world, _, mut list) = set_up(3, None);
    for round in 0..20u64 {
        let id = 10 + round;
        world.add_registrar(id, host(id, 1.0));
        world.advance(f64::from((round % 4) as u32), |_| {});
        let member = (round % MEMBERS as u64) as usize;
        world.ensemble.kill(member);
        list.advance(&mut world, 700.0);
        world.ensemble.restore(member);
        list.advance(&mut world, 700.0);
        assert!(world.registrars[&id].machine.is_registered(), "round {round}");
    }
    assert_eq!(list.active(), 23);
}

/// An entry is deleted by hand. Its server registers again.
#[test]
fn an_entry_that_is_removed_by_hand_comes_back() {
    let (mut world, _, mut list) = set_up(3, None);
    world.add_client(500);
    world.advance(10.0, |_| {});
    world.send_request(500, "rm", Request::Delete { path: "/servers/s2".into(), version: -1 });
    list.advance(&mut world, 1000.0);
    assert_eq!(list.active(), 3);
    assert_eq!(list.take_changes().last(), Some(&change(2, Health::Active)));
}

#[test]
fn garbage_a_megabyte_and_a_name_that_differs_change_nothing() {
    let (mut world, _, mut list) = set_up(3, None);
    world.add_client(500);
    world.advance(10.0, |_| {});
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
        world.send_request(500, "make", create_with_data(&format!("/servers/{name}"), data));
        list.advance(&mut world, 50.0);
        assert_eq!(list.rejected.pop().as_deref(), Some(name));
    }
    // A valid entry is overwritten with garbage. Its server writes it again, and the node's list does not
    // change.
    let garbage = Request::SetData { path: "/servers/s1".into(), data: vec![1, 2, 3].into(), version: -1 };
    world.send_request(500, "write", garbage);
    list.advance(&mut world, 500.0);
    assert_eq!((list.take_changes(), list.active()), (vec![], 3));
    // The name in the data is optional.
    let plain = br#"{"dial":"127.0.9.9:1","health":"active"}"#.to_vec();
    world.send_request(500, "make", create_with_data("/servers/plain", plain));
    list.advance(&mut world, 50.0);
    assert_eq!(list.take_changes(), [("plain".to_string(), Health::Active)]);
}

/// Two names with one address are the same process, which must not get two shares of the work.
#[test]
fn of_two_names_with_one_address_the_later_born_is_listed() {
    let (mut world, answers, mut list) = set_up(2, None);
    answers.store(false, Ordering::Relaxed);
    let same = |name: &str, start_time_ms| ListEntry {
        host: name.into(),
        started_ms: start_time_ms,
        ..host(1, start_time_ms)
    };
    world.add_registrar(8, same("older", 0.5));
    list.advance(&mut world, 100.0);
    assert_eq!(list.take_changes(), []);
    world.add_registrar(9, same("newer", 2.0));
    list.advance(&mut world, 100.0);
    let mut changes = list.take_changes();
    changes.sort_by(|a, b| a.0.cmp(&b.0));
    assert_eq!(changes, [("newer".into(), Health::Active), change(1, Health::Left)]);
    // When the later one leaves, the other is listed again.
    world.crash(9);
    list.advance(&mut world, SESSION_END);
    let mut changes = list.take_changes();
    changes.sort_by(|a, b| a.0.cmp(&b.0));
    assert_eq!(changes, [("newer".into(), Health::Left), change(1, Health::Active)]);
}

/// A server registers and ends twice a second for five minutes. Its departures are reported at once, but only
/// a few of its returns.
#[test]
fn a_server_that_flaps_costs_few_changes() {
    let (mut world, answers, mut list) = set_up(3, None);
    answers.store(false, Ordering::Relaxed);
    let mut ended = 0;
    for round in 0..600u32 {
        world.add_registrar(7, host(7, f64::from(round)));
        list.advance(&mut world, 250.0);
        let now = world.now;
        world.registrars.get_mut(&7).expect("the registrar exists").machine.deregister(now);
        ended += 1;
        list.advance(&mut world, 250.0);
        assert_ne!(list.health(7), Some(Health::Active), "round {round}: its end is not delayed");
    }
    assert_eq!(ended, 600);
    let returns = list.take_changes().iter().filter(|c| **c == change(7, Health::Active)).count();
    assert!((3..=20).contains(&returns), "{returns} returns in five minutes");
    // It is listed again once it is stable.
    world.add_registrar(7, host(7, 1000.0));
    list.advance(&mut world, 31_000.0);
    assert_eq!(list.health(7), Some(Health::Active));
}

/// With no other server in service, a flapping server is better than none.
#[test]
fn nobody_is_kept_out_where_nobody_else_is() {
    let (mut world, answers, mut list) = set_up(1, None);
    answers.store(false, Ordering::Relaxed);
    for round in 0..20u32 {
        let now = world.now;
        world.registrars.get_mut(&1).expect("the registrar exists").machine.deregister(now);
        list.advance(&mut world, 100.0);
        world.add_registrar(1, host(1, f64::from(round)));
        list.advance(&mut world, 200.0);
        assert_eq!(list.active(), 1, "round {round}");
    }
}

/// Members accept connections without answering, one after the other. Servers stay registered, and the list
/// is followed.
#[test]
fn a_mute_member_costs_nobody_its_place() {
    let (mut world, _, mut list) = set_up(6, None);
    for round in 0..12u64 {
        let member = (round % MEMBERS as u64) as usize;
        world.ensemble.set_mute(member, true);
        list.advance(&mut world, 3.0 * TIMEOUT);
        world.ensemble.set_mute(member, false);
        world.add_registrar(100 + round, host(100 + round, 1.0));
        list.advance(&mut world, 2.0 * TIMEOUT);
        assert_eq!(list.health(100 + round), Some(Health::Active), "round {round}");
    }
    assert!(list.take_changes().iter().all(|(_, health)| *health == Health::Active));
    assert_eq!(list.active(), 18);
}

/// A watch may be lost at the moment of a reconnection. Changes at that moment are still reported.
#[test]
fn what_changes_while_the_node_changes_members_is_said() {
    let (mut world, answers, mut list) = set_up(4, None);
    answers.store(false, Ordering::Relaxed);
    for round in 0..24u64 {
        let id = 20 + round;
        let member = (round % MEMBERS as u64) as usize;
        let now = world.now;
        // The change happens after the node's member is killed and before the node has connected to another.
        world.ensemble.kill(member);
        world.add_registrar(id, host(id, 1.0));
        if round > 0 {
            if let Some(before) = world.registrars.get_mut(&(id - 1)) {
                before.machine.deregister(now);
            }
        }
        list.advance(&mut world, f64::from((round % 7) as u32) * 30.0);
        world.ensemble.restore(member);
        // A server whose end did not reach the service stays listed until its session expires, which the
        // election of a leader delays.
        list.advance(&mut world, 2.0 * TIMEOUT);
        assert_eq!(list.health(id), Some(Health::Active), "round {round}");
        assert_eq!(list.health(id - 1), None, "round {round}");
    }
}

/// The watch on the names fires, and the connection ends before the names are read again. No watch is left to
/// set again, but the change must still be reported.
#[test]
fn a_watch_that_fired_just_before_the_connection_ended_is_not_lost() {
    let mut occurrences = 0;
    for seed in 0..20 {
        let mut world = World::new(5);
        (1..=3).for_each(|id| world.add_registrar(id, host(id, 1.0)));
        world.advance(100.0, |_| {});
        world.add_view(seed, None, Box::new(|_| false));
        let mut list = ServerList::default();
        list.advance(&mut world, 100.0);
        let (leader, member) = (world.ensemble.leader(), world.views[0].member(&world.ensemble));
        let (Some(leader), Some(member)) = (leader, member) else {
            panic!("the ensemble has no leader or the view no connection")
        };
        if leader == member {
            continue;
        }
        world.ensemble.set_lag(member, 150.0);
        world.add_registrar(4, host(4, 1.0));
        list.advance(&mut world, 100.0);
        if !world.registrars[&4].machine.is_registered() {
            // The server is connected to the lagging member.
            continue;
        }
        // Without a leader the member answers nobody: the node requests the names, and the connection ends
        // before the answer.
        world.ensemble.kill(leader);
        let asked = world.views[0].machine.follower().request_counts().0;
        list.advance(&mut world, 70.0);
        assert_eq!((world.views[0].machine.follower().request_counts().0, list.active()), (asked + 1, 3));
        world.ensemble.kill(member);
        list.advance(&mut world, TIMEOUT);
        assert_eq!(list.health(4), Some(Health::Active), "seed {seed}");
        occurrences += 1;
    }
    assert!(occurrences > 3, "{occurrences} times");
}

/// 5000 servers register within a second and end within another. All are seen, and the names are not read
/// again for each.
#[test]
fn five_thousand_servers_in_a_second() {
    let (mut world, answers, mut list) = set_up(3, None);
    answers.store(false, Ordering::Relaxed);
    world.add_client(5);
    world.advance(10.0, |_| {});
    for step in 0..200u64 {
        for id in 10 + step * 25..35 + step * 25 {
            let data = serde_json::to_vec(&host(id, 1.0)).expect("cannot encode the entry");
            world.send_request(5, "make", create_with_data(&format!("/servers/s{id}"), data));
        }
        list.advance(&mut world, 5.0);
    }
    list.advance(&mut world, 300.0);
    assert_eq!(list.active(), 5003);
    let (names, data) = world.views[0].machine.follower().request_counts();
    assert!(names < 60 && data < 5100, "{names} readings of names, {data} of data");
    // All entries end with one session, and the names are not read again for each of them.
    list.take_changes();
    world.crash(5);
    list.advance(&mut world, SESSION_END);
    assert_eq!((list.active(), list.take_changes().len()), (3, 5000));
    let after = world.views[0].machine.follower().request_counts();
    assert!(after.0 - names < 10 && after.1 == data, "{after:?}");
}
