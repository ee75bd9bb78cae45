//! Thousands of servers: what nodes send while they do not follow the list, judged at servers and clients.
//! By hand, with more servers, fleets and seeds: `GLENWOOD_SERVERS=800,3200 GLENWOOD_FLEETS=4,44,300,900 GLENWOOD_SEEDS=5 cargo test --release
//! --test thousands -- --nocapture`.

mod peers;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use peers::dice::Rng;
use peers::list_service::ListService;
use peers::many::{Deactivation, SchedulingDelay, ServerPool};
use peers::record::*;
use peers::*;
use serde_json::{json, Value};

const NODES: usize = 4;
const CLIENTS: usize = 24;
/// How many servers there are where nothing else is said: the most that a fleet has.
const SERVERS: usize = 3_200;
/// One in so many drains or is removed by one change.
const PART: usize = 12;
/// How many changes are made while the watches are silent and still open, and how many after that, while calls have no answer.
const MISSED_CHANGES: usize = 6;
const LATER_CHANGES: usize = 3;
/// After how long a change counts as told that was missed by a watch that fell silent, counted from its silence, or that is made while calls
/// have no answer, counted from the change.
const TOLD_AFTER_SILENCE: Duration = Duration::from_secs(6);
/// After how long what a watch that ended did not tell counts as told.
const TOLD_AFTER_END: Duration = Duration::from_secs(2);
/// Which part of the requests is to be served at the least: a node that refuses all breaks no rule.
const SERVED: f64 = 0.85;

/// A node that has a part of a core runs for so long, and then stands still for so long: less than a process may be held up.
const RUNS: Duration = Duration::from_millis(20);
const STANDS: Duration = Duration::from_millis(60);

impl Drop for World {
    fn drop(&mut self) {
        self.service.stop();
    }
}

/// How the list is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// Watches fall silent, and the next two calls of each node have no answer.
    Silent,
    /// Half of the watches end in place of telling a change, again and again; calls are answered at once.
    Ends,
}

/// One run.
#[derive(Clone, Copy, Debug)]
struct Case {
    servers: usize,
    /// How many nodes there are by the settings.
    fleet: usize,
    trouble: Trouble,
    /// Nodes have a part of a core: see [`RUNS`].
    part_of_a_core: bool,
    seed: u64,
}

struct World {
    record: Arc<Record>,
    servers: ServerPool,
    service: ListService,
    nodes: Vec<Node>,
    /// Servers in the order in which they end.
    order: Vec<usize>,
}

impl World {
    fn start(case: Case) -> Self {
        let record: Arc<Record> = Arc::default();
        let servers = ServerPool::start(case.servers, &record);
        let service = ListService::start(&entries(&servers, 0..case.servers));
        let node = |number: usize| Node::ready(&node_config(&service, case, number));
        let nodes: Vec<Node> = (0..NODES).map(node).collect();
        until("each has its watch", || service.counts().0 >= NODES);
        let mut order: Vec<usize> = (0..case.servers).collect();
        let mut dice = Rng(case.seed);
        order.sort_by_cached_key(|_| dice.next());
        Self { record, servers, service, nodes, order }
    }

    /// The next part of the servers ends: two in three drain, the others are removed where `removed` says so.
    fn end_some(&self, change: usize, told: Instant, removed: bool) {
        let count = self.servers.count();
        let part = (count / PART).max(1);
        let ending = &self.order[change * part..(change + 1) * part];
        for (place, number) in ending.iter().enumerate() {
            let how = if removed && place % 3 == 0 { Deactivation::Removed } else { Deactivation::Draining };
            self.servers.deactivate(*number, how, told);
        }
        let mut hosts = entries(&self.servers, 0..count);
        hosts.retain(|host| host["health"] != "left");
        self.service.publish(&hosts, &entries(&self.servers, ending.iter().copied()));
    }

    /// Plays the trouble.
    fn trouble(&self, trouble: Trouble) {
        let since = Instant::now();
        let at = |ms: u64| std::thread::sleep(Duration::from_millis(ms).saturating_sub(since.elapsed()));
        match trouble {
            Trouble::Silent => {
                self.service.silence_watches(2 * NODES);
                for change in 0..MISSED_CHANGES {
                    at(100 + 800 * change as u64);
                    self.end_some(change, since + TOLD_AFTER_SILENCE, false);
                }
                for change in MISSED_CHANGES..MISSED_CHANGES + LATER_CHANGES {
                    at(5_200 + 800 * (change - MISSED_CHANGES) as u64);
                    self.end_some(change, Instant::now() + TOLD_AFTER_SILENCE, false);
                }
                at(14_500);
            }
            Trouble::Ends => {
                for change in 0..3 {
                    self.service.end_half_of_watches();
                    self.end_some(change, Instant::now() + TOLD_AFTER_END, true);
                    at(4_000 * (change as u64 + 1));
                }
            }
        }
    }
}

fn entries(servers: &ServerPool, numbers: impl IntoIterator<Item = usize>) -> Vec<Value> {
    numbers.into_iter().map(|number| servers.entry(number)).collect()
}

fn node_config(service: &ListService, case: Case, number: usize) -> Value {
    let mut config = config(service.address);
    config["seed"] = json!(format!("{:x}", case.seed * 100 + number as u64 + 1));
    config["limits"]["sockets"] = json!(if case.fleet <= NODES { 4_000 } else { 1_024 });
    config["settings"]["PeersTotal"] = json!(case.fleet);
    config["settings"]["Me"] = json!(number * case.fleet / NODES);
    for class in config["settings"]["Classes"].as_array_mut().expect("classes") {
        class["Slo"] = json!(1000.0);
        class["Deadline"] = json!(3000.0);
    }
    config
}

/// A client that asks again and again over one connection to a node.
fn ask_on(world: &World, number: usize, seed: u64, ends: &AtomicBool) {
    let mut dice = Rng(seed ^ (number as u64 + 1) << 32);
    let node = &world.nodes[number % NODES];
    let mut client = Client::to(node);
    for count in 0.. {
        if ends.load(Ordering::SeqCst) {
            return;
        }
        let class = ["look", "pay", "slip"][dice.below(3) as usize];
        let (id, remaining) = (format!("c{number}-{count}"), dice.between(600, 2500));
        let at = Instant::now();
        client.send(&request(class, &id, remaining.as_millis() as u64).replace("k1", &id));
        let answer = client.receive();
        let end = Outcome::from_response(answer.as_ref(), &id, false);
        world.record.add_request(ClientRequest { id, class, at, remaining, node: node.address, end });
        if answer.is_none_or(|answer| answer.header("connection") == Some("close")) {
            client = Client::to(node);
        }
        std::thread::sleep(dice.between(2, 20));
    }
}

/// Lets nodes run for a part of the time.
fn share_cores(world: &World, ends: &AtomicBool) {
    while !ends.load(Ordering::SeqCst) {
        world.nodes.iter().for_each(Node::suspend);
        std::thread::sleep(STANDS);
        world.nodes.iter().for_each(Node::resume);
        std::thread::sleep(RUNS);
    }
}

/// Plays a case; gives what broke.
fn play(case: Case) -> Vec<String> {
    let world = World::start(case);
    let (late, ends) = (SchedulingDelay::measure(), AtomicBool::new(false));
    std::thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (world, ends) = (&world, &ends);
            scope.spawn(move || ask_on(world, number, case.seed, ends));
        }
        let (shared, ends) = (&world, &ends);
        if case.part_of_a_core {
            scope.spawn(move || share_cores(shared, ends));
        }
        std::thread::sleep(Duration::from_millis(1_000));
        world.trouble(case.trouble);
        ends.store(true, Ordering::SeqCst);
    });
    let (asked, served) = world.record.counts();
    let late = late.longest();
    let cpu: Vec<Duration> = world.nodes.iter().map(Node::processor_time).collect();
    let descriptors: Vec<usize> = world.nodes.iter().map(Node::descriptors).collect();
    let memory: Vec<usize> = world.nodes.iter().map(|node| node.peak_memory() >> 20).collect();
    let connections = world.servers.connection_count();
    let (checks, (watches, calls)) = (world.servers.health_check_count(), world.service.counts());
    if std::env::var("GLENWOOD_LOGS").is_ok() {
        world.nodes.iter().for_each(|node| println!("{:#?}", node.grep_log(|_| true)));
    }
    world.record.set_test_delay(late);
    let breaches = world.record.violations(|_, _| true);
    let broken_by = |rule: Rule| breaches.iter().filter(|breach| breach.rule == rule).count();
    let rules = [Rule::Drain, Rule::Lost, Rule::Deadline, Rule::Duplicate];
    let counts: Vec<String> = rules.iter().map(|rule| format!("{rule:?} {}", broken_by(*rule))).collect();
    println!(
        "{case:?}: {} broken, {served} of {asked} served, {checks} checks, {connections} connections, {watches} watches, {calls} calls, \
         processor time {cpu:.1?}, {memory:?} MB, descriptors {descriptors:?}, driver late by {late:.0?}",
        counts.join(", ")
    );
    let mut broken: Vec<String> = breaches.iter().map(|breach| format!("{case:?}: {breach}")).collect();
    if (served as f64) < SERVED * asked as f64 {
        broken.push(format!("{case:?}: {served} of {asked} requests served"));
    }
    broken
}

fn numbers_in(variable: &str, otherwise: &[usize]) -> Vec<usize> {
    let read = |words: String| words.split(',').map(|word| word.parse().expect("a number")).collect();
    std::env::var(variable).map_or_else(|_| otherwise.to_vec(), read)
}

/// One play at a time: each is thousands of sockets.
static ALONE: Mutex<()> = Mutex::new(());

fn hold_the_rules(trouble: Trouble, part_of_a_core: bool, fleets: &[usize]) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let seeds = numbers_in("GLENWOOD_SEEDS", &[1])[0] as u64;
    let mut broken = Vec::new();
    for servers in numbers_in("GLENWOOD_SERVERS", &[SERVERS]) {
        for fleet in numbers_in("GLENWOOD_FLEETS", fleets) {
            for seed in 1..=seeds {
                broken.extend(play(Case { servers, fleet, trouble, part_of_a_core, seed }));
            }
        }
    }
    let first: Vec<&String> = broken.iter().take(20).collect();
    assert!(broken.is_empty(), "{} breaches, among them {first:#?}", broken.len());
}

/// Guards against requests to draining servers where health checks of thousands keep a node busy.
#[test]
fn silent_watches_before_thousands_of_servers_hide_no_drain() {
    hold_the_rules(Trouble::Silent, false, &[44]);
}

/// Guards against requests to removed servers, which still answer, where a large fleet asks again too late.
#[test]
fn watches_that_end_untold_before_thousands_of_servers_hide_no_removal() {
    hold_the_rules(Trouble::Ends, false, &[300]);
}

/// Guards against the same where a node has a quarter of a core.
#[test]
fn silent_watches_before_thousands_of_servers_hide_no_drain_on_a_quarter_of_a_core() {
    hold_the_rules(Trouble::Silent, true, &[44]);
}
