//! Soak test: random, overlapping faults on a few dozen real node processes, with a number of servers that
//! depends on the seed, checked against the invariants. Clients keep their connections to a stopping node
//! until it is killed, which happens as early as it may; signals arrive in series; some runs have a crowd of
//! idle clients.
//!
//! To run more seeds: `GLENWOOD_SOAK_SEEDS=50 cargo test --release --test soak -- --nocapture`.
//! `GLENWOOD_SOAK_FIRST` is the first seed, `GLENWOOD_SOAK_NODES` the number of processes.

mod peers;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use peers::dice::Rng;
use peers::list_service::ListService;
use peers::many::{Deactivation, SchedulingDelay, ServerPool};
use peers::record::*;
use peers::strays::{ResponseFault, ResponseFaults};
use peers::*;
use serde_json::{json, Value};

/// The default number of seeds, and of node processes.
const SEEDS: u64 = 2;
const NODES: usize = 24;
/// The number of clients per node.
const CLIENTS_PER_NODE: usize = 2;
/// The numbers of servers that runs choose from.
const SERVERS: [usize; 4] = [12, 200, 800, 3_200];
/// The fleet sizes in the settings that runs choose from. A run uses at least the number of its processes.
const FLEETS: [usize; 3] = [24, 44, 300];
/// How long a run lasts, and how long after its start new faults may begin.
const RUN_TIME: Duration = Duration::from_millis(12_000);
const FAULTS_UNTIL: Duration = Duration::from_millis(7_500);
/// Each change drains or removes one server in `CHANGE_DIVISOR`; a run has `CHANGES` of them.
const CHANGE_DIVISOR: usize = 24;
const CHANGES: usize = 5;
/// How long after SIGTERM a node is killed: the longest deadline, of which at most 3 s count, plus 0.7 s.
const KILL_DELAY: Duration = Duration::from_millis(3_700);
/// When a change counts as told, that is when every node must know it: almost at once if watches deliver it;
/// after the second time if a watch ended instead of delivering it; and after the third time, counted from
/// the silence of the watches or, where calls are not answered, from the change.
const TOLD_WITHIN: Duration = Duration::from_millis(500);
const TOLD_AFTER_END: Duration = Duration::from_secs(2);
const TOLD_AFTER_SILENCE: Duration = Duration::from_secs(6);
/// How long a silent watch may stay open.
const SILENT_WATCH_LIFE: Duration = Duration::from_secs(3);
/// How many connections a crowd of idle clients opens to each of several nodes.
const CROWD_SIZE: usize = 60;
/// The share of requests that must at least be served, as a node that refuses everything breaks no rule.
const MIN_SERVED_SHARE: f64 = 0.7;

/// A node process. `is_stopping` is set once it has been told to stop, `is_killed` once it is sent SIGKILL.
struct Process {
    node: Node,
    config: Value,
    is_stopping: AtomicBool,
    is_killed: AtomicBool,
}

/// How the nodes last lost the list, if they did.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ListState {
    Followed,
    WatchEnded,
    SilentSince(Instant),
}

/// Everything that takes part in one run.
struct TestCluster {
    record: Arc<Record>,
    servers: ServerPool,
    service: ListService,
    /// The first process of each node, by node number, and then their replacements. Ended processes are kept
    /// for their logs.
    processes: RwLock<Vec<Arc<Process>>>,
    config: Value,
    operator: PathBuf,
    nodes: usize,
    list_state: Mutex<ListState>,
    is_over: AtomicBool,
}

impl TestCluster {
    fn new(servers: usize, fleet: usize, nodes: usize) -> Self {
        let record: Arc<Record> = Arc::default();
        let servers = ServerPool::start(servers, &record);
        let entries: Vec<Value> = (0..servers.count()).map(|number| servers.entry(number)).collect();
        let service = ListService::start(&entries);
        let mut config = config(service.address);
        config["limits"]["sockets"] = json!(512);
        config["settings"]["PeersTotal"] = json!(fleet.max(nodes));
        for class in config["settings"]["Classes"].as_array_mut().expect("classes") {
            class["Slo"] = json!(1000.0);
            class["Deadline"] = json!(3000.0);
        }
        let operator =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{}.toml", std::process::id()));
        std::fs::write(&operator, "[trace]\non = true\n").expect("a file");
        let (processes, list_state, is_over) =
            (RwLock::default(), Mutex::new(ListState::Followed), AtomicBool::new(false));
        Self { record, servers, service, processes, config, operator, nodes, list_state, is_over }
    }

    /// Starts a process for the node with that number.
    fn start(&self, number: usize, seed: u64) -> Arc<Process> {
        let mut config = self.config.clone();
        config["seed"] = json!(format!("{seed:x}"));
        let fleet = config["settings"]["PeersTotal"].as_u64().expect("a number") as usize;
        config["settings"]["Me"] = json!(number * fleet / self.nodes);
        let node = Node::started_with_operator(&config, &self.operator).wait_listening();
        Arc::new(Process {
            node,
            config,
            is_stopping: AtomicBool::new(false),
            is_killed: AtomicBool::new(false),
        })
    }

    /// Picks a running process at random, as the clients' front does.
    fn pick_node(&self, rng: &mut Rng) -> Arc<Process> {
        let processes = self.processes.read().expect("no panic");
        let running: Vec<_> = processes.iter().filter(|p| !p.is_stopping.load(Ordering::SeqCst)).collect();
        running[rng.below(running.len() as u64) as usize].clone()
    }

    /// When a change that is made now counts as told to every node.
    fn told_at(&self) -> Instant {
        let now = Instant::now();
        match *self.list_state.lock().expect("no panic") {
            ListState::Followed => now + TOLD_WITHIN,
            ListState::WatchEnded => now + TOLD_AFTER_END,
            ListState::SilentSince(since) if now < since + SILENT_WATCH_LIFE => since + TOLD_AFTER_SILENCE,
            ListState::SilentSince(_) => now + TOLD_AFTER_SILENCE,
        }
    }

    /// Makes some servers drain. One in three is removed instead, if every node learns of that in time.
    fn end_servers(&self, numbers: &[usize]) {
        let told_at = self.told_at();
        for (index, number) in numbers.iter().enumerate() {
            // Only the list tells that a server was removed which still answers, and unanswered calls do not
            // deliver it.
            let is_silent = matches!(*self.list_state.lock().expect("no panic"), ListState::SilentSince(_));
            let how =
                if index % 3 == 0 && !is_silent { Deactivation::Removed } else { Deactivation::Draining };
            self.servers.deactivate(*number, how, told_at);
        }
        let all = (0..self.servers.count()).map(|number| self.servers.entry(number));
        let hosts: Vec<Value> = all.filter(|host| host["health"] != "left").collect();
        let changed: Vec<Value> = numbers.iter().map(|number| self.servers.entry(*number)).collect();
        self.service.publish(&hosts, &changed);
    }

    /// What the node at that address has logged about a request.
    fn timeline(&self, address: SocketAddr, id: &str) -> String {
        let processes = self.processes.read().expect("no panic");
        let Some(process) = processes.iter().find(|p| p.node.address == address) else {
            return String::new();
        };
        let suffix = format!(" {id}");
        let accepted = process.node.grep_log(|line| line.contains(" id ") && line.ends_with(&suffix));
        let number = accepted.first().and_then(|line| line.rsplit(' ').nth(1)).unwrap_or("none").to_string();
        let is_relevant = |line: &str| {
            let request_events = [" ask ", " send ", " end ", " answer ", " id ", " doubted "];
            (request_events.iter().any(|event| line.contains(event))
                && line.split(' ').nth(3) == Some(&number))
                || [" call", " watch-ended", " version", " reload", "stops"]
                    .iter()
                    .any(|event| line.contains(event))
        };
        process.node.grep_log(is_relevant).join("\n  ")
    }

    fn has_accepted(&self, address: SocketAddr, id: &str) -> bool {
        let processes = self.processes.read().expect("no panic");
        let tail = format!(" {id}");
        let found = processes.iter().find(|p| p.node.address == address);
        found.is_some_and(|p| {
            !p.node.grep_log(|line| line.contains(" id ") && line.ends_with(&tail)).is_empty()
        })
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        self.service.stop();
    }
}

/// A client that sends requests in a loop. It keeps its connection for as long as that is open, even while
/// its node stops.
fn run_client(cluster: &TestCluster, number: usize, seed: u64) {
    let mut rng = Rng(seed ^ (number as u64 + 1) << 32);
    let mut count = 0;
    while !cluster.is_over.load(Ordering::SeqCst) {
        let process = cluster.pick_node(&mut rng);
        let Ok(mut client) = Client::try_at(process.node.address) else { continue };
        while !cluster.is_over.load(Ordering::SeqCst) {
            count += 1;
            if !send_request(cluster, &process, &mut client, format!("c{number}-{count}"), &mut rng) {
                break;
            }
            std::thread::sleep(rng.between(5, 120));
        }
    }
}

/// Sends one request; returns whether the connection can be reused.
fn send_request(
    cluster: &TestCluster,
    process: &Process,
    client: &mut Client,
    id: String,
    rng: &mut Rng,
) -> bool {
    let class = ["look", "pay", "slip"][rng.below(3) as usize];
    let remaining = rng.between(600, 2500);
    let request_text = request(class, &id, remaining.as_millis() as u64).replace("k1", &id);
    let (node, at) = (process.node.address, Instant::now());
    let is_stopping = || process.is_stopping.load(Ordering::SeqCst);
    let record =
        |end| cluster.record.add_request(ClientRequest { id: id.clone(), class, at, remaining, node, end });
    if client.try_send(&request_text).is_err() {
        record(Outcome::Closed { at: Instant::now(), node_stops: is_stopping() });
        return false;
    }
    if rng.one_in(20) {
        std::thread::sleep(rng.between(0, 60));
        client.disconnect();
        record(Outcome::Left { at: Instant::now() });
        return false;
    }
    let answer = client.receive();
    record(Outcome::from_response(answer.as_ref(), &id, is_stopping()));
    answer.is_some_and(|answer| answer.header("connection") != Some("close"))
}

/// A fault that a run injects.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Some servers drain or are removed.
    Change,
    /// All watches fall silent, and this many calls per node are not answered.
    Silent(usize),
    /// Half of the watches end at the next change without delivering it.
    EndHalfOfWatches,
    /// A node is told to stop by a series of signals and killed as early as it may be; a new process takes
    /// its place.
    Restart(usize),
    /// A node is told several times in quick succession to reload its configuration.
    Reload(usize),
    /// A process is suspended for as long as one may be.
    Suspend(usize),
    /// Idle clients connect to some nodes and stay.
    IdleCrowd,
}

/// Draws the faults of a run and their times, in order of time.
fn draw_faults(rng: &mut Rng, nodes: usize) -> Vec<(Duration, Fault)> {
    let mut faults = Vec::new();
    let mut add = |rng: &mut Rng, fault| {
        faults.push((rng.between(300, FAULTS_UNTIL.as_millis() as u64), fault));
    };
    let node = |rng: &mut Rng| rng.below(nodes as u64) as usize;
    (0..CHANGES).for_each(|_| add(rng, Fault::Change));
    match rng.below(3) {
        0 => {
            let unanswered = rng.below(3) as usize;
            add(rng, Fault::Silent(unanswered));
        }
        1 => (0..2).for_each(|_| add(rng, Fault::EndHalfOfWatches)),
        _ => {}
    }
    for _ in 0..1 + nodes / 8 {
        let number = node(rng);
        add(rng, Fault::Restart(number));
    }
    for _ in 0..nodes / 4 {
        let number = node(rng);
        add(rng, Fault::Reload(number));
        let number = node(rng);
        add(rng, Fault::Suspend(number));
    }
    if rng.one_in(3) {
        add(rng, Fault::IdleCrowd);
    }
    faults.sort_by_key(|(at, _)| *at);
    faults
}

/// Draws what servers send out of turn from the start of a run on; in half of the runs, that is nothing.
fn draw_strays(rng: &mut Rng) -> ResponseFaults {
    if rng.one_in(2) {
        return ResponseFaults::default();
    }
    let max_delay_ms = rng.between(5, 25).as_millis() as u64;
    ResponseFaults(vec![
        ResponseFault::Rejection { share: 10 },
        ResponseFault::OnConnect { share: rng.below(300), delay_ms: 0..10 },
        ResponseFault::ExtraResponse { share: rng.below(60), delay_ms: 0..max_delay_ms },
        ResponseFault::RepeatedResponse { share: 5 },
        ResponseFault::CloseAfterResponse { share: 10 },
        ResponseFault::SplitResponse { share: 20 },
    ])
}

/// Injects the faults of a run.
fn inject_faults(cluster: &TestCluster, faults: &[(Duration, Fault)], rng: &mut Rng) {
    let began = Instant::now();
    let mut order: Vec<usize> = (0..cluster.servers.count()).collect();
    order.sort_by_cached_key(|_| rng.next());
    let mut groups = order.chunks((cluster.servers.count() / CHANGE_DIVISOR).max(1));
    let mut crowd: Vec<Client> = Vec::new();
    let mut pending_kills: Vec<(Instant, Arc<Process>)> = Vec::new();
    let kill_due = |pending_kills: &mut Vec<(Instant, Arc<Process>)>, until: Instant| {
        while let Some((due, process)) = pending_kills.first().cloned().filter(|(due, _)| *due <= until) {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            process.is_killed.store(true, Ordering::SeqCst);
            process.node.signal("-KILL");
            pending_kills.remove(0);
        }
    };
    for (at, fault) in faults {
        kill_due(&mut pending_kills, began + *at);
        std::thread::sleep((began + *at).saturating_duration_since(Instant::now()));
        let process = |number: usize| cluster.processes.read().expect("no panic")[number].clone();
        match *fault {
            Fault::Change => groups.next().into_iter().for_each(|numbers| cluster.end_servers(numbers)),
            Fault::Silent(unanswered) => {
                cluster.service.silence_watches(unanswered * cluster.nodes);
                *cluster.list_state.lock().expect("no panic") = ListState::SilentSince(Instant::now());
            }
            Fault::EndHalfOfWatches => {
                cluster.service.end_half_of_watches();
                *cluster.list_state.lock().expect("no panic") = ListState::WatchEnded;
            }
            Fault::Restart(number) => {
                let old = process(number);
                if old.is_stopping.swap(true, Ordering::SeqCst) {
                    continue;
                }
                old.node.signal("-TERM");
                pending_kills.push((Instant::now() + KILL_DELAY, old.clone()));
                ["-HUP", "-TERM", "-TERM"].iter().for_each(|name| old.node.signal(name));
                let new = cluster.start(number, rng.next());
                cluster.processes.write().expect("no panic").push(new);
            }
            Fault::Reload(number) => {
                let target = process(number);
                if !target.is_killed.load(Ordering::SeqCst) {
                    (0..3).for_each(|_| target.node.reload(&target.config.to_string()));
                }
            }
            Fault::Suspend(number) => {
                let target = process(number);
                if target.is_stopping.load(Ordering::SeqCst) {
                    continue;
                }
                let from = Instant::now();
                target.node.suspend();
                std::thread::sleep(MAX_PAUSE);
                target.node.resume();
                cluster.record.add_pause(Pause { node: target.node.address, from, until: Instant::now() });
            }
            Fault::IdleCrowd => {
                for _ in 0..4 {
                    let at = cluster.pick_node(rng).node.address;
                    crowd.extend((0..CROWD_SIZE).filter_map(|_| Client::try_at(at).ok()));
                }
            }
        }
    }
    kill_due(&mut pending_kills, began + RUN_TIME);
    std::thread::sleep((began + RUN_TIME).saturating_duration_since(Instant::now()));
}

/// Runs one seed; returns the violations, with timelines.
fn run_seed(seed: u64, nodes: usize) -> Vec<String> {
    let mut rng = Rng(seed);
    let servers = SERVERS[(seed % SERVERS.len() as u64) as usize];
    let fleet = FLEETS[rng.below(FLEETS.len() as u64) as usize];
    let faults = draw_faults(&mut rng, nodes);
    let strays = draw_strays(&mut rng);
    let cluster = TestCluster::new(servers, fleet, nodes);
    cluster.servers.set_response_faults(strays.clone());
    let started: Vec<Arc<Process>> = (0..nodes).map(|number| cluster.start(number, rng.next())).collect();
    started.iter().for_each(|process| process.node.wait_ready());
    *cluster.processes.write().expect("no panic") = started;
    let driver_delay = SchedulingDelay::measure();
    std::thread::scope(|scope| {
        for number in 0..nodes * CLIENTS_PER_NODE {
            let cluster = &cluster;
            scope.spawn(move || run_client(cluster, number, seed));
        }
        inject_faults(&cluster, &faults, &mut rng);
        cluster.is_over.store(true, Ordering::SeqCst);
    });
    cluster.record.set_test_delay(driver_delay.longest());
    let (asked, served) = cluster.record.counts();
    let label =
        format!("seed {seed}: {servers} servers, fleet size {fleet} in the settings, {nodes} processes");
    println!("{label}: {served} of {asked} served, driver late by {:.0?}", driver_delay.longest());
    let breaches = cluster.record.violations(|node, id| cluster.has_accepted(node, id));
    let describe = |breach: &Violation| {
        format!("{label}: {breach}\n  {}\n{faults:?}\n{strays:?}", cluster.timeline(breach.node, &breach.id))
    };
    let mut violations: Vec<String> = breaches.iter().map(describe).collect();
    if (served as f64) < MIN_SERVED_SHARE * asked as f64 {
        violations.push(format!("{label}: {served} of {asked} requests served"));
    }
    violations
}

fn env_number(variable: &str, fallback: u64) -> u64 {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(fallback)
}

/// Guards the invariants under overlapping faults: one final answer in time, no effect twice, and nothing new
/// to a server that takes no more requests.
#[test]
fn the_invariants_hold_while_faults_overlap_at_random() {
    let first = env_number("GLENWOOD_SOAK_FIRST", 1);
    let count = env_number("GLENWOOD_SOAK_SEEDS", SEEDS);
    let nodes = env_number("GLENWOOD_SOAK_NODES", NODES as u64) as usize;
    let violations: Vec<String> = (first..first + count).flat_map(|seed| run_seed(seed, nodes)).collect();
    assert!(violations.is_empty(), "{} violations:\n{}", violations.len(), violations.join("\n"));
}
