//! A node's core under load while the coordination service is killed and restored at random and servers come and go, in
//! virtual time: its list follows the servers' registrations alone.

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
/// How long a server works at a request.
const WORK: f64 = 6.0;
const WAIT: f64 = 800.0;
/// What the drain rule grants.
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

/// What a test counts.
#[derive(Debug, Default)]
struct Counts {
    asked: usize,
    served: usize,
    refused: usize,
    failed: usize,
    /// Of those that were refused or failed: at a moment at which nobody who lives was in service by the list.
    for_want_of_a_server: usize,
    /// Sends to a server that is out of the list, later than the rule grants.
    after_told: usize,
    /// Sends to a server that the node could have known to be out, later than the rule grants.
    after_knowable: usize,
    /// Moments with nobody in service, while somebody that the node could have known of was.
    empty: usize,
    departures: usize,
    longest_unknown: f64,
}

struct Node {
    core: Core<(), ()>,
    merge: MergedList,
    list: BTreeMap<u64, Health>,
    /// Since when each server is out of the list.
    told: BTreeMap<u64, f64>,
    /// Since when the node could have known without a break that each is out of service, or in.
    out: BTreeMap<u64, f64>,
    inside: BTreeMap<u64, f64>,
    /// Attempts under way: when each ends, where it is.
    under_way: Vec<(f64, AttemptId, u64)>,
    /// When each server last answered, for the view.
    answered: Arc<Mutex<BTreeMap<String, f64>>>,
    next: f64,
    number: u64,
    counts: Counts,
}

fn id_of(name: &str) -> u64 {
    name[1..].parse().expect("a name of this test")
}

fn listed(health: Health) -> Listed {
    match health {
        Health::Active => Listed::Up,
        Health::Leaving => Listed::Draining,
        Health::Left => Listed::Gone,
    }
}

impl Node {
    fn new(answered: Arc<Mutex<BTreeMap<String, f64>>>) -> Self {
        Self {
            core: Core::new(settings(), 5, 10_000).expect("good settings"),
            merge: MergedList::default(),
            list: BTreeMap::new(),
            told: BTreeMap::new(),
            out: BTreeMap::new(),
            inside: BTreeMap::new(),
            under_way: Vec::new(),
            answered,
            next: f64::INFINITY,
            number: 0,
            counts: Counts::default(),
        }
    }

    /// Takes what its view said, at that moment.
    fn listen(&mut self, world: &mut World) {
        let now = world.now;
        for said in world.views[0].take_said() {
            let ViewEvent::List { is_complete: whole, hosts } = said else { continue };
            let update = Update { version: 0, is_full: whole, hosts };
            let update = self.merge.apply(Source::Registrations, update);
            let entries = update.hosts.iter().map(|host| {
                let id = id_of(&host.host);
                match host.health {
                    Health::Left => drop(self.list.remove(&id)),
                    health => drop(self.list.insert(id, health)),
                }
                if host.health == Health::Active {
                    self.told.remove(&id);
                } else {
                    self.told.entry(id).or_insert(now);
                }
                Entry {
                    server: ServerId(id),
                    zone: 0,
                    cell: 0,
                    kind: 0,
                    state: listed(host.health),
                    weight: 1.0,
                    started_at: (host.started_ms > 0.0).then_some(host.started_ms),
                }
            });
            let entries = entries.collect();
            self.core.list_changed_elsewhere(now, entries);
        }
    }

    /// Notes what it could know now.
    fn look(&mut self, world: &World, all: &BTreeSet<u64>) {
        let Some(tree) = world.views[0].sees(&world.ensemble) else {
            // What it knew it still knows; what is new it can't.
            self.out.clear();
            self.inside.clear();
            return;
        };
        for id in all {
            let data = tree.data(&format!("/servers/s{id}"));
            let inside = data
                .and_then(|data| serde_json::from_slice::<ListEntry>(data).ok())
                .is_some_and(|host| host.health == Health::Active);
            let (now_in, other) =
                if inside { (&mut self.inside, &mut self.out) } else { (&mut self.out, &mut self.inside) };
            now_in.entry(*id).or_insert(world.now);
            other.remove(id);
        }
        let known_for = |since: &f64| world.now - since > GRACE;
        let active = self.list.values().any(|h| *h == Health::Active);
        if !active && self.inside.values().any(known_for) {
            self.counts.empty += 1;
        }
        let unknown = self.out.iter().filter(|(id, _)| self.list.get(id) == Some(&Health::Active));
        let longest = unknown.map(|(_, since)| world.now - since).fold(0.0, f64::max);
        self.counts.longest_unknown = self.counts.longest_unknown.max(longest);
    }

    /// Its clients, its core and its servers.
    fn work(&mut self, now: f64, alive: &BTreeSet<u64>) {
        while self.next <= now {
            self.number += 1;
            let id = Token::new(&format!("t{}", self.number)).expect("good");
            let class = (self.number % 2) as usize;
            let (began, deadline) = (self.next, self.next + WAIT);
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
            self.core.accept(now, incoming).expect("there is room");
            self.next += 10.0;
        }
        let (due, rest) = std::mem::take(&mut self.under_way).into_iter().partition(|(at, _, _)| *at <= now);
        self.under_way = rest;
        for (_, attempt, server) in due {
            let well = alive.contains(&server);
            let ended =
                if well { AttemptResult::Served(()) } else { AttemptResult::NoResponse(Outcome::Reset) };
            self.heard(now, server, well);
            self.core.attempt_ended(now, attempt, ended);
        }
        if self.core.poll_timeout().is_some_and(|due| due <= now) {
            self.core.handle_timeout(now);
        }
        while let Some(output) = self.core.poll_output() {
            match output {
                Output::Start { attempt, server: ServerId(server), .. } => {
                    let late = |since: Option<&f64>| since.is_some_and(|since| now - since > GRACE);
                    self.counts.after_told += usize::from(late(self.told.get(&server)));
                    self.counts.after_knowable += usize::from(late(self.out.get(&server)));
                    if alive.contains(&server) {
                        self.under_way.push((now + WORK, attempt, server));
                    } else {
                        self.heard(now, server, false);
                        self.core.attempt_ended(
                            now,
                            attempt,
                            AttemptResult::NoResponse(Outcome::ConnectFailed),
                        );
                    }
                }
                Output::Abandon(attempt) => {
                    self.under_way.retain(|(_, other, _)| *other != attempt);
                    self.core.attempt_ended(now, attempt, AttemptResult::NoResponse(Outcome::Cancelled));
                }
                // A server here begins with the first byte.
                Output::Recall(_) => {}
                Output::Probe(server) => {
                    let well = alive.contains(&server.0);
                    let outcome = if well { Outcome::Done } else { Outcome::ConnectFailed };
                    self.core.probed(now, server, outcome, 1.0);
                }
                Output::Answer { answer: Final::Served(()), .. } => self.counts.served += 1,
                Output::Answer { answer, .. } => {
                    let refused = matches!(answer, Final::Refused { .. });
                    self.counts.refused += usize::from(refused);
                    self.counts.failed += usize::from(!refused);
                    let some =
                        self.list.iter().any(|(id, health)| *health == Health::Active && alive.contains(id));
                    self.counts.for_want_of_a_server += usize::from(!some);
                }
                Output::Explain { .. } => {}
                Output::Subscribe => {}
            }
        }
    }

    fn heard(&self, now: f64, server: u64, well: bool) {
        let mut answered = self.answered.lock().expect("one thread");
        if well {
            answered.insert(format!("s{server}"), now);
        } else {
            answered.remove(&format!("s{server}"));
        }
    }
}

fn host(id: u64, born_ms: f64) -> ListEntry {
    let address = ([127, 0, (id >> 8) as u8, id as u8], 80).into();
    ListEntry {
        started_ms: born_ms,
        ..ListEntry::active(&format!("s{id}"), Endpoint { address, protocol: Protocol::Http1 })
    }
}

/// A storm; servers that end do so as `drains` says, and members of the service fail as the seed says.
fn storm(seed: u64, rounds: u64) -> Counts {
    let mut random = Random(seed);
    let mut world = World::new(MEMBERS);
    let mut alive: BTreeSet<u64> = (1..=6).collect();
    let mut all = alive.clone();
    let mut next_id = 7;
    alive.iter().for_each(|id| world.register(*id, host(*id, 1.0)));
    world.pass(200.0, |_| {});
    let answered = Arc::new(Mutex::new(BTreeMap::new()));
    let (known, clock) = (answered.clone(), Arc::new(Mutex::new(0.0)));
    let time = clock.clone();
    let guard = guard::Settings { share: 0.4, window: 2000.0, delay: 400.0 };
    let recent = move |name: &str| {
        let now: f64 = *time.lock().expect("one thread");
        known.lock().expect("one thread").get(name).is_some_and(|at: &f64| now - at < 2000.0)
    };
    world.view(900, Some(guard), Box::new(recent));
    let mut node = Node::new(answered);
    let mut ending: Vec<(f64, u64)> = Vec::new();
    let pass = |world: &mut World, node: &mut Node, alive: &BTreeSet<u64>, all: &BTreeSet<u64>, span: f64| {
        let until = world.now + span;
        while world.now < until {
            world.pass(STEP, |w| {
                *clock.lock().expect("one thread") = w.now;
                node.listen(w);
            });
            node.look(world, all);
            node.work(world.now, alive);
        }
    };
    pass(&mut world, &mut node, &alive, &all, 300.0);
    node.next = world.now;
    for _ in 0..rounds {
        let member = random.below(MEMBERS as u64) as usize;
        let some = alive.iter().nth(random.below(alive.len() as u64) as usize).copied().unwrap_or(1);
        match random.below(13) {
            0 | 1 => world.ensemble.kill(member),
            2 => (0..MEMBERS).for_each(|m| world.ensemble.kill(m)),
            3 => world.ensemble.cut(member, true),
            4 => world.ensemble.lag(member, random.below(300) as f64),
            5 => world.ensemble.mute(member, true),
            6 => world.views[0].cut = true,
            7 => {
                if let Some(registrar) = world.registrars.get_mut(&some) {
                    registrar.cut = true;
                }
            }
            8 if alive.len() > 3 => {
                alive.remove(&some);
                world.vanish(some);
                node.counts.departures += 1;
            }
            9 if alive.len() > 3 => {
                // As operators end them: drained first, and a while later ended.
                let now = world.now;
                if let Some(registrar) = world.registrars.get_mut(&some) {
                    registrar.machine.drain(now);
                    ending.push((now + 1000.0, some));
                }
            }
            10 | 11 => {
                alive.insert(next_id);
                all.insert(next_id);
                world.register(next_id, host(next_id, world.now));
                next_id += 1;
            }
            _ => {
                // It restarts under its name.
                let born = world.now;
                world.register_with(some, host(some, born), world.settings(born as u64));
            }
        }
        pass(&mut world, &mut node, &alive, &all, 200.0 + random.below(2500) as f64);
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
                world.ensemble.cut(member, false);
                world.ensemble.lag(member, 0.0);
                world.ensemble.mute(member, false);
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
        let counts = storm(seed, ROUNDS);
        println!("seed {seed}: {counts:?}");
        assert!(counts.departures > 8, "seed {seed}: {counts:?}");
        assert_eq!(counts.after_told, 0, "seed {seed}: {counts:?}");
        assert_eq!(counts.after_knowable, 0, "seed {seed}: {counts:?}");
        assert_eq!(counts.empty, 0, "seed {seed}: {counts:?}");
        assert_eq!(counts.for_want_of_a_server, 0, "seed {seed}: {counts:?}");
        // Half of the requests may not be repeated, and few servers are left at times, some of them cold.
        let lost = counts.refused + counts.failed;
        assert!(counts.asked > 10_000 && lost * 100 < counts.asked, "seed {seed}: {counts:?}");
    }
}
