//! Thousands of servers: the requests that nodes send while they cannot follow the list, checked at servers
//! and clients.
//!
//! To run more numbers of servers, fleet sizes and seeds: `GLENWOOD_SERVERS=800,3200
//! GLENWOOD_FLEETS=4,44,300,900 GLENWOOD_SEEDS=5 cargo test --release --test thousands -- --nocapture`.

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
/// The default number of servers: the most that a fleet has.
const SERVERS: usize = 3_200;
/// Each change drains or removes one server in this many.
const CHANGE_DIVISOR: usize = 12;
/// How many changes are made while the watches are silent and still open, and how many after that, while
/// calls are not answered.
const MISSED_CHANGES: usize = 6;
const LATER_CHANGES: usize = 3;
/// When a change counts as told, that is when every node must know it: for a change that a silent watch
/// missed, counted from the start of the silence; for one that is made while calls are not answered, counted
/// from the change.
const TOLD_AFTER_SILENCE: Duration = Duration::from_secs(6);
/// How long after a change the change counts as told if a watch ended instead of delivering it.
const TOLD_AFTER_END: Duration = Duration::from_secs(2);
/// The share of requests that must at least be served, as a node that refuses everything breaks no rule.
const MIN_SERVED_SHARE: f64 = 0.85;

/// A node that has a part of a core runs for the first time and is then suspended for the second, which is
/// shorter than a process may be held up.
const RUN_SLICE: Duration = Duration::from_millis(20);
const SUSPEND_SLICE: Duration = Duration::from_millis(60);

impl Drop for TestCluster {
    fn drop(&mut self) {
        self.service.stop();
    }
}

/// How the nodes lose the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListLoss {
    /// Watches fall silent, and the next two calls of each node are not answered.
    Silent,
    /// Half of the watches end instead of delivering a change, several times; calls are answered at once.
    WatchesEnd,
}

/// The parameters of one run.
#[derive(Clone, Copy, Debug)]
struct Case {
    servers: usize,
    /// The number of nodes according to the settings.
    fleet: usize,
    list_loss: ListLoss,
    /// Nodes get a part of a core: see [`RUN_SLICE`].
    part_of_a_core: bool,
    seed: u64,
}

struct TestCluster {
    record: Arc<Record>,
    servers: ServerPool,
    service: ListService,
    nodes: Vec<Node>,
    /// Servers in the order in which they end.
    order: Vec<usize>,
}

impl TestCluster {
    fn start(case: Case) -> Self {
        let record: Arc<Record> = Arc::default();
        let servers = ServerPool::start(case.servers, &record);
        let service = ListService::start(&entries(&servers, 0..case.servers));
        let node = |number: usize| Node::ready(&node_config(&service, case, number));
        let nodes: Vec<Node> = (0..NODES).map(node).collect();
        until("each node has its watch", || service.counts().0 >= NODES);
        let mut order: Vec<usize> = (0..case.servers).collect();
        let mut rng = Rng(case.seed);
        order.sort_by_cached_key(|_| rng.next());
        Self { record, servers, service, nodes, order }
    }

    /// Makes the next group of servers drain. One in three is removed instead if `with_removals` is set.
    fn end_servers(&self, change: usize, told_at: Instant, with_removals: bool) {
        let count = self.servers.count();
        let group_size = (count / CHANGE_DIVISOR).max(1);
        let ending = &self.order[change * group_size..(change + 1) * group_size];
        for (index, number) in ending.iter().enumerate() {
            let how =
                if with_removals && index % 3 == 0 { Deactivation::Removed } else { Deactivation::Draining };
            self.servers.deactivate(*number, how, told_at);
        }
        let mut hosts = entries(&self.servers, 0..count);
        hosts.retain(|host| host["health"] != "left");
        self.service.publish(&hosts, &entries(&self.servers, ending.iter().copied()));
    }

    /// Makes the nodes lose the list, and changes it meanwhile.
    fn lose_list(&self, list_loss: ListLoss) {
        let since = Instant::now();
        let wait_until =
            |ms: u64| std::thread::sleep(Duration::from_millis(ms).saturating_sub(since.elapsed()));
        match list_loss {
            ListLoss::Silent => {
                self.service.silence_watches(2 * NODES);
                for change in 0..MISSED_CHANGES {
                    wait_until(100 + 800 * change as u64);
                    self.end_servers(change, since + TOLD_AFTER_SILENCE, false);
                }
                for change in MISSED_CHANGES..MISSED_CHANGES + LATER_CHANGES {
                    wait_until(5_200 + 800 * (change - MISSED_CHANGES) as u64);
                    self.end_servers(change, Instant::now() + TOLD_AFTER_SILENCE, false);
                }
                wait_until(14_500);
            }
            ListLoss::WatchesEnd => {
                for change in 0..3 {
                    self.service.end_half_of_watches();
                    self.end_servers(change, Instant::now() + TOLD_AFTER_END, true);
                    wait_until(4_000 * (change as u64 + 1));
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

/// A client that sends requests in a loop over one connection to a node.
fn run_client(cluster: &TestCluster, number: usize, seed: u64, is_over: &AtomicBool) {
    let mut rng = Rng(seed ^ (number as u64 + 1) << 32);
    let node = &cluster.nodes[number % NODES];
    let mut client = Client::to(node);
    for count in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let class = ["look", "pay", "slip"][rng.below(3) as usize];
        let (id, remaining) = (format!("c{number}-{count}"), rng.between(600, 2500));
        let at = Instant::now();
        client.send(&request(class, &id, remaining.as_millis() as u64).replace("k1", &id));
        let answer = client.receive();
        let end = Outcome::from_response(answer.as_ref(), &id, false);
        cluster.record.add_request(ClientRequest { id, class, at, remaining, node: node.address, end });
        if answer.is_none_or(|answer| answer.header("connection") == Some("close")) {
            client = Client::to(node);
        }
        std::thread::sleep(rng.between(2, 20));
    }
}

/// Suspends all nodes periodically, so that they run for a part of the time only.
fn throttle_nodes(cluster: &TestCluster, is_over: &AtomicBool) {
    while !is_over.load(Ordering::SeqCst) {
        cluster.nodes.iter().for_each(Node::suspend);
        std::thread::sleep(SUSPEND_SLICE);
        cluster.nodes.iter().for_each(Node::resume);
        std::thread::sleep(RUN_SLICE);
    }
}

/// Runs one case; returns the violations.
fn run_case(case: Case) -> Vec<String> {
    let cluster = TestCluster::start(case);
    let (driver_delay, is_over) = (SchedulingDelay::measure(), AtomicBool::new(false));
    std::thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (cluster, is_over) = (&cluster, &is_over);
            scope.spawn(move || run_client(cluster, number, case.seed, is_over));
        }
        let (throttled, is_over) = (&cluster, &is_over);
        if case.part_of_a_core {
            scope.spawn(move || throttle_nodes(throttled, is_over));
        }
        std::thread::sleep(Duration::from_millis(1_000));
        cluster.lose_list(case.list_loss);
        is_over.store(true, Ordering::SeqCst);
    });
    let (asked, served) = cluster.record.counts();
    let driver_delay = driver_delay.longest();
    let cpu: Vec<Duration> = cluster.nodes.iter().map(Node::processor_time).collect();
    let descriptors: Vec<usize> = cluster.nodes.iter().map(Node::descriptors).collect();
    let memory: Vec<usize> = cluster.nodes.iter().map(|node| node.peak_memory() >> 20).collect();
    let connections = cluster.servers.connection_count();
    let (checks, (watches, calls)) = (cluster.servers.health_check_count(), cluster.service.counts());
    if std::env::var("GLENWOOD_LOGS").is_ok() {
        cluster.nodes.iter().for_each(|node| println!("{:#?}", node.grep_log(|_| true)));
    }
    cluster.record.set_test_delay(driver_delay);
    let breaches = cluster.record.violations(|_, _| true);
    let count_of = |rule: Rule| breaches.iter().filter(|breach| breach.rule == rule).count();
    let rules = [Rule::Drain, Rule::Lost, Rule::Deadline, Rule::Duplicate];
    let counts: Vec<String> = rules.iter().map(|rule| format!("{rule:?} {}", count_of(*rule))).collect();
    println!(
        "{case:?}: violations {}; {served} of {asked} served, {checks} health checks, \
         {connections} connections, {watches} watches, {calls} calls, processor time {cpu:.1?}, {memory:?} MB, \
         descriptors {descriptors:?}, driver late by {driver_delay:.0?}",
        counts.join(", ")
    );
    let mut violations: Vec<String> = breaches.iter().map(|breach| format!("{case:?}: {breach}")).collect();
    if (served as f64) < MIN_SERVED_SHARE * asked as f64 {
        violations.push(format!("{case:?}: {served} of {asked} requests served"));
    }
    violations
}

fn env_numbers(variable: &str, fallback: &[usize]) -> Vec<usize> {
    let parse_list = |text: String| text.split(',').map(|word| word.parse().expect("a number")).collect();
    std::env::var(variable).map_or_else(|_| fallback.to_vec(), parse_list)
}

/// One run at a time, as each opens thousands of sockets.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn assert_rules_hold(list_loss: ListLoss, part_of_a_core: bool, fleets: &[usize]) {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let seeds = env_numbers("GLENWOOD_SEEDS", &[1])[0] as u64;
    let mut violations = Vec::new();
    for servers in env_numbers("GLENWOOD_SERVERS", &[SERVERS]) {
        for fleet in env_numbers("GLENWOOD_FLEETS", fleets) {
            for seed in 1..=seeds {
                violations.extend(run_case(Case { servers, fleet, list_loss, part_of_a_core, seed }));
            }
        }
    }
    let first: Vec<&String> = violations.iter().take(20).collect();
    assert!(violations.is_empty(), "{} violations, among them {first:#?}", violations.len());
}

/// Guards against requests to draining servers while health checks of thousands of servers keep a node busy.
#[test]
fn silent_watches_before_thousands_of_servers_hide_no_drain() {
    assert_rules_hold(ListLoss::Silent, false, &[44]);
}

/// Guards against requests to removed servers that still answer, where a large fleet asks for the list again
/// too late.
#[test]
fn watches_that_end_untold_before_thousands_of_servers_hide_no_removal() {
    assert_rules_hold(ListLoss::WatchesEnd, false, &[300]);
}

/// Guards against the same where a node has a quarter of a core.
#[test]
fn silent_watches_before_thousands_of_servers_hide_no_drain_on_a_quarter_of_a_core() {
    assert_rules_hold(ListLoss::Silent, true, &[44]);
}
