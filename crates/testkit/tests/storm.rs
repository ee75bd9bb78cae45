//! A node's core under load, in virtual time, while members of the coordination service are killed and
//! restored at random and servers come and go. The registrations are the only source of its server list.

mod world;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

use glenwood_coordination::guard;
use glenwood_coordination::view::ViewEvent;
use glenwood_core::{AttemptId, AttemptResult, Core, Final, Incoming, Output, Token};
use glenwood_list::{Endpoint, Health, ListEntry, MergedList, Protocol, Source, Update};
use glenwood_policy::{
    Class, Discovery, Effect, Entry, Goal, Limits, Listed, Outcome, Rules, ServerId, Settings, Weights,
};
use world::*;

const ROUNDS: u64 = 120;
const STEP: f64 = 2.0;
/// Time that a server needs for a request.
const SERVICE_TIME: f64 = 6.0;
const CLIENT_TIMEOUT: f64 = 800.0;
/// The grace time of the drain rule.
const GRACE: f64 = 500.0;

fn settings() -> Settings {
    let class = |effect| Class {
        target_latency: 100.0,
        worth: 1.0,
        late_worth: 0.2,
        client_timeout: f64::INFINITY,
        effect,
    };
    Settings {
        node_index: 0,
        nodes: 1,
        classes: vec![class(Effect::Safe), class(Effect::Unsafe)],
        tenants: Vec::new(),
        by_work: false,
        over_share_worth: 1.0,
        goal: Goal { worth: 1.0, ..Goal::default() },
        limits: Limits {
            attempts: 3,
            second_copies: false,
            cancel: true,
            probes: true,
            connect_timeout: 50.0,
            max_retry_after: 1000.0,
        },
        rules: Rules {
            max_call_interval: 10_000.0,
            cold_capacity_share: 0.2,
            warm_up_time: 5000.0,
            overload_factor: 3.0,
            overload_window: 1000.0,
        },
        discovery: Discovery::Pushed,
        weights: Weights::None,
        min_event_interval: 1.0,
    }
}

/// Counts of one run.
#[derive(Debug, Default)]
struct Counts {
    asked: usize,
    served: usize,
    refused: usize,
    failed: usize,
    /// Refused or failed requests at moments at which the list had no active server that was alive.
    without_live_server: usize,
    /// Attempts sent to a server that is not active in the list, later than the grace time allows.
    after_listed_out: usize,
    /// Attempts sent to a server that the node could have known to be out of service, later than the grace
    /// time allows.
    after_knowable: usize,
    /// Steps with no active server in the list, while the node could have known of one.
    steps_without_active: usize,
    departures: usize,
    longest_unknown: f64,
}

struct Node {
    core: Core<(), ()>,
    merge: MergedList,
    list: BTreeMap<u64, Health>,
    /// When each server stopped being active in the list.
    inactive_since: BTreeMap<u64, f64>,
    /// When the node could first have known that each server is out of service, or in service, without
    /// interruption since.
    known_inactive_since: BTreeMap<u64, f64>,
    known_active_since: BTreeMap<u64, f64>,
    /// Attempts in flight: end time, id and server.
    in_flight: Vec<(f64, AttemptId, u64)>,
    /// When each server last answered, for the view.
    answered: Arc<Mutex<BTreeMap<String, f64>>>,
    next: f64,
    number: u64,
    counts: Counts,
}

fn id_of(name: &str) -> u64 {
    name[1..].parse().expect("a server name of this test")
}

fn listing_state(health: Health) -> Listed {
    match health {
        Health::Active => Listed::Up,
        Health::Leaving => Listed::Draining,
        Health::Left => Listed::Gone,
    }
}

impl Node {
    fn new(answered: Arc<Mutex<BTreeMap<String, f64>>>) -> Self {
        Self {
            core: Core::new(settings(), 5, 10_000).expect("valid settings"),
            merge: MergedList::default(),
            list: BTreeMap::new(),
            inactive_since: BTreeMap::new(),
            known_inactive_since: BTreeMap::new(),
            known_active_since: BTreeMap::new(),
            in_flight: Vec::new(),
            answered,
            next: f64::INFINITY,
            number: 0,
            counts: Counts::default(),
        }
    }

    /// Applies the events of the node's view.
    fn apply_events(&mut self, world: &mut World) {
        let now = world.now;
        for event in world.views[0].take_events() {
            let ViewEvent::List { is_complete: full, hosts } = event else { continue };
            let update = Update { version: 0, is_full: full, hosts };
            let update = self.merge.apply(Source::Registrations, update);
            let entries = update.hosts.iter().map(|host| {
                let id = id_of(&host.host);
                match host.health {
                    Health::Left => drop(self.list.remove(&id)),
                    health => drop(self.list.insert(id, health)),
                }
                if host.health == Health::Active {
                    self.inactive_since.remove(&id);
                } else {
                    self.inactive_since.entry(id).or_insert(now);
                }
                Entry {
                    server: ServerId(id),
                    zone: 0,
                    cell: 0,
                    kind: 0,
                    state: listing_state(host.health),
                    weight: 1.0,
                    started_at: (host.started_ms > 0.0).then_some(host.started_ms),
                }
            });
            let entries = entries.collect();
            self.core.list_changed_elsewhere(now, entries);
        }
    }

    /// Records what the node could know now.
    fn observe(&mut self, world: &World, all: &BTreeSet<u64>) {
        let Some(tree) = world.views[0].visible_tree(&world.ensemble) else {
            // The node keeps what it knew, but cannot learn anything new.
            self.known_inactive_since.clear();
            self.known_active_since.clear();
            return;
        };
        for id in all {
            let data = tree.data(&format!("/servers/s{id}"));
            let is_active = data
                .and_then(|data| serde_json::from_slice::<ListEntry>(data).ok())
                .is_some_and(|host| host.health == Health::Active);
            let (now_in, other) = if is_active {
                (&mut self.known_active_since, &mut self.known_inactive_since)
            } else {
                (&mut self.known_inactive_since, &mut self.known_active_since)
            };
            now_in.entry(*id).or_insert(world.now);
            other.remove(id);
        }
        let known_for = |since: &f64| world.now - since > GRACE;
        let active = self.list.values().any(|h| *h == Health::Active);
        if !active && self.known_active_since.values().any(known_for) {
            self.counts.steps_without_active += 1;
        }
        let unknown =
            self.known_inactive_since.iter().filter(|(id, _)| self.list.get(id) == Some(&Health::Active));
        let longest = unknown.map(|(_, since)| world.now - since).fold(0.0, f64::max);
        self.counts.longest_unknown = self.counts.longest_unknown.max(longest);
    }

    /// Runs the clients, the core and the servers.
    fn step(&mut self, now: f64, alive: &BTreeSet<u64>) {
        while self.next <= now {
            self.number += 1;
            let id = Token::new(&format!("t{}", self.number)).expect("valid token");
            let class = (self.number % 2) as usize;
            let (began, deadline) = (self.next, self.next + CLIENT_TIMEOUT);
            let incoming = Incoming {
                class,
                tenant: None,
                key: None,
                id,
                began,
                deadline,
                repeat_key: None,
                work: None,
                body_pending: false,
                prior_attempts: None,
                payload: (),
            };
            self.counts.asked += 1;
            self.core.accept(now, incoming).expect("the core accepts the request");
            self.next += 10.0;
        }
        let (due, rest) = std::mem::take(&mut self.in_flight).into_iter().partition(|(at, _, _)| *at <= now);
        self.in_flight = rest;
        for (_, attempt, server) in due {
            let is_alive = alive.contains(&server);
            let ended =
                if is_alive { AttemptResult::Served(()) } else { AttemptResult::NoResponse(Outcome::Reset) };
            self.record_answer(now, server, is_alive);
            self.core.attempt_ended(now, attempt, ended);
        }
        if self.core.poll_timeout().is_some_and(|due| due <= now) {
            self.core.handle_timeout(now);
        }
        while let Some(output) = self.core.poll_output() {
            match output {
                Output::Start { attempt, server: ServerId(server), .. } => {
                    let late = |since: Option<&f64>| since.is_some_and(|since| now - since > GRACE);
                    self.counts.after_listed_out += usize::from(late(self.inactive_since.get(&server)));
                    self.counts.after_knowable += usize::from(late(self.known_inactive_since.get(&server)));
                    if alive.contains(&server) {
                        self.in_flight.push((now + SERVICE_TIME, attempt, server));
                    } else {
                        self.record_answer(now, server, false);
                        self.core.attempt_ended(
                            now,
                            attempt,
                            AttemptResult::NoResponse(Outcome::ConnectFailed),
                        );
                    }
                }
                Output::Abandon(attempt) => {
                    self.in_flight.retain(|(_, other, _)| *other != attempt);
                    self.core.attempt_ended(now, attempt, AttemptResult::NoResponse(Outcome::Cancelled));
                }
                // A server here starts with the first byte, so an attempt cannot be recalled.
                Output::Recall(_) => {}
                Output::Probe(server) => {
                    let is_alive = alive.contains(&server.0);
                    let outcome = if is_alive { Outcome::Done } else { Outcome::ConnectFailed };
                    self.core.probed(now, server, outcome, 1.0);
                }
                Output::Answer { answer: Final::Served(()), .. } => self.counts.served += 1,
                Output::Answer { answer, .. } => {
                    let refused = matches!(answer, Final::Refused { .. });
                    self.counts.refused += usize::from(refused);
                    self.counts.failed += usize::from(!refused);
                    let any_alive =
                        self.list.iter().any(|(id, health)| *health == Health::Active && alive.contains(id));
                    self.counts.without_live_server += usize::from(!any_alive);
                }
                Output::Explain { .. } => {}
                Output::Subscribe => {}
            }
        }
    }

    fn record_answer(&self, now: f64, server: u64, is_alive: bool) {
        let mut answered = self.answered.lock().expect("the lock is not poisoned");
        if is_alive {
            answered.insert(format!("s{server}"), now);
        } else {
            answered.remove(&format!("s{server}"));
        }
    }
}

fn host(id: u64, start_time_ms: f64) -> ListEntry {
    let address = ([127, 0, (id >> 8) as u8, id as u8], 80).into();
    ListEntry {
        started_ms: start_time_ms,
        ..ListEntry::active(&format!("s{id}"), Endpoint { address, protocol: Protocol::Http1 })
    }
}

/// Runs random faults of the service, the network and the servers, as the seed gives them.
fn run_faults(seed: u64, rounds: u64) -> Counts {
    let mut random = Random(seed);
    let mut world = World::new(MEMBERS);
    let mut alive: BTreeSet<u64> = (1..=6).collect();
    let mut all = alive.clone();
    let mut next_id = 7;
    alive.iter().for_each(|id| world.add_registrar(*id, host(*id, 1.0)));
    world.advance(200.0, |_| {});
    let answered = Arc::new(Mutex::new(BTreeMap::new()));
    let (known, clock) = (answered.clone(), Arc::new(Mutex::new(0.0)));
    let time = clock.clone();
    let guard = guard::Settings { share: 0.4, window: 2000.0, delay: 400.0 };
    let recent = move |name: &str| {
        let now: f64 = *time.lock().expect("the lock is not poisoned");
        known.lock().expect("the lock is not poisoned").get(name).is_some_and(|at: &f64| now - at < 2000.0)
    };
    world.add_view(900, Some(guard), Box::new(recent));
    let mut node = Node::new(answered);
    let mut ending: Vec<(f64, u64)> = Vec::new();
    let advance =
        |world: &mut World, node: &mut Node, alive: &BTreeSet<u64>, all: &BTreeSet<u64>, span: f64| {
            let until = world.now + span;
            while world.now < until {
                world.advance(STEP, |w| {
                    *clock.lock().expect("the lock is not poisoned") = w.now;
                    node.apply_events(w);
                });
                node.observe(world, all);
                node.step(world.now, alive);
            }
        };
    advance(&mut world, &mut node, &alive, &all, 300.0);
    node.next = world.now;
    for _ in 0..rounds {
        let member = random.below(MEMBERS as u64) as usize;
        let chosen = alive.iter().nth(random.below(alive.len() as u64) as usize).copied().unwrap_or(1);
        match random.below(13) {
            0 | 1 => world.ensemble.kill(member),
            2 => (0..MEMBERS).for_each(|m| world.ensemble.kill(m)),
            3 => world.ensemble.set_cut(member, true),
            4 => world.ensemble.set_lag(member, random.below(300) as f64),
            5 => world.ensemble.set_mute(member, true),
            6 => world.views[0].cut = true,
            7 => {
                if let Some(registrar) = world.registrars.get_mut(&chosen) {
                    registrar.cut = true;
                }
            }
            8 if alive.len() > 3 => {
                alive.remove(&chosen);
                world.crash(chosen);
                node.counts.departures += 1;
            }
            9 if alive.len() > 3 => {
                // As operators do it: drained first and ended a while later.
                let now = world.now;
                if let Some(registrar) = world.registrars.get_mut(&chosen) {
                    registrar.machine.drain(now);
                    ending.push((now + 1000.0, chosen));
                }
            }
            10 | 11 => {
                alive.insert(next_id);
                all.insert(next_id);
                world.add_registrar(next_id, host(next_id, world.now));
                next_id += 1;
            }
            _ => {
                // Restarts under its name.
                let start_time = world.now;
                world.add_registrar_with(chosen, host(chosen, start_time), world.settings(start_time as u64));
            }
        }
        advance(&mut world, &mut node, &alive, &all, 200.0 + random.below(2500) as f64);
        for (_, id) in ending.extract_if(.., |(at, _)| *at <= world.now) {
            let now = world.now;
            if alive.len() > 3 && alive.remove(&id) {
                if let Some(registrar) = world.registrars.get_mut(&id) {
                    registrar.machine.deregister(now);
                }
                node.counts.departures += 1;
            }
        }
        for member in 0..MEMBERS {
            if random.below(3) > 0 {
                world.ensemble.restore(member);
                world.ensemble.set_cut(member, false);
                world.ensemble.set_lag(member, 0.0);
                world.ensemble.set_mute(member, false);
            }
        }
        world.views[0].cut &= random.below(3) == 0;
        world.registrars.values_mut().for_each(|r| r.cut &= random.below(3) == 0);
    }
    node.counts
}

#[test]
fn a_service_killed_and_restored_at_random_costs_no_server_and_no_rule() {
    for seed in [1, 2, 3] {
        let counts = run_faults(seed, ROUNDS);
        println!("seed {seed}: {counts:?}");
        assert!(counts.departures > 8, "seed {seed}: {counts:?}");
        assert_eq!(counts.after_listed_out, 0, "seed {seed}: {counts:?}");
        assert_eq!(counts.after_knowable, 0, "seed {seed}: {counts:?}");
        assert_eq!(counts.steps_without_active, 0, "seed {seed}: {counts:?}");
        assert_eq!(counts.without_live_server, 0, "seed {seed}: {counts:?}");
        // Half of the requests must not be repeated, and at times only a few servers are left, some of them
        // cold.
        let lost = counts.refused + counts.failed;
        assert!(counts.asked > 10_000 && lost * 100 < counts.asked, "seed {seed}: {counts:?}");
    }
}
