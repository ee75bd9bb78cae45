//! All faults together, drawn from a seed: system calls of the nodes fail, links stall and break, wall clocks
//! step, processes are suspended, servers drain and return, discovery goes down, nodes are restarted and
//! reloaded, and clients leave. The rules are checked at clients and servers.
//!
//! To run more seeds: `GLENWOOD_FAULT_SEEDS=200 cargo test --test faults_together`; `GLENWOOD_FAULT_FIRST` is
//! the first.

mod peers;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use glenwood_faults::{Fault, Plan};
use libc::{
    EADDRNOTAVAIL, ECONNABORTED, EHOSTUNREACH, EINTR, EMFILE, ENETUNREACH, ENFILE, ENOBUFS, ENOMEM, EPROTO,
    ETIMEDOUT,
};
use peers::dice::Rng;
use peers::links::Links;
use peers::record::*;
use peers::*;
use serde_json::{json, Value};

const NODES: usize = 3;
const SERVERS: usize = 8;
/// The server that restarts during the run.
const RESTARTED_SERVER: usize = SERVERS - 1;
const CLIENTS: usize = 12;
/// How long a run lasts.
const RUN_TIME: Duration = Duration::from_millis(6500);
/// The node whose process is suspended for a while.
const SUSPENDED_NODE: usize = 1;
/// How long after SIGTERM a node is killed: the longest deadline, of which at most 3 s count, plus 0.7 s.
const KILL_DELAY: Duration = Duration::from_millis(3700);
/// How long after discovery returns a drain that begins at that moment counts as told. A node without a watch
/// probes the servers every 2 s; the rule allows it more.
const TOLD_AFTER_RETURN: Duration = Duration::from_millis(2000);
/// Separates the random numbers of the links from all others.
const LINKS_SEED_MASK: u64 = 0x5EED_0F11_4C5A_11ED;
/// The default number of seeds.
const SEEDS: u64 = 3;
/// One request in `SLOW_ONE_IN` is answered late, and one in `CLOSE_ONE_IN` has its connection closed instead
/// of an answer.
const SLOW_ONE_IN: u64 = 10;
const CLOSE_ONE_IN: u64 = 20;
/// The share of requests that must at least be served, as a node that refuses everything breaks no rule.
const MIN_SERVED_SHARE: f64 = 0.5;

/// Offsets of the wall clock of the nodes' machine, in seconds: from the start of each process, and after
/// each of two steps.
type ClockOffsets = [i64; 3];

fn clock_offsets(rng: &mut Rng) -> ClockOffsets {
    [(); 3].map(|()| [5, -5, 3_600, -3_600][rng.below(4) as usize])
}

/// The faults of one process. A process may be held up for 0.15 s at most, so the one that is suspended as a
/// whole is not delayed before its writes as well: both together would make 0.3 s.
fn fault_plan(number: usize, rng: &mut Rng, clock_offsets: ClockOffsets) -> Plan {
    let [first, second, third] = clock_offsets;
    let hold_per_mille = if number == SUSPENDED_NODE { 0 } else { 2 };
    Plan::new(rng.next())
        .with_fault(Fault::Accept, 200, &[ECONNABORTED, EPROTO, EINTR, ENOMEM, ENOBUFS, ENFILE, EMFILE])
        .with_fault(Fault::Connect, 30, &[EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, ETIMEDOUT, EHOSTUNREACH])
        .with_fault(Fault::Socket, 20, &[ENFILE, ENOBUFS, ENOMEM])
        .with_fault(Fault::Recv, 20, &[EINTR])
        .with_fault(Fault::Send, 20, &[EINTR])
        .with_fault(Fault::Disconnect, 3, &[ETIMEDOUT, EHOSTUNREACH])
        .with_fault(Fault::ShortTransfer, 100, &[1, 7, 100])
        .with_fault(Fault::EpollWait, 50, &[EINTR])
        .with_fault(Fault::Stall, hold_per_mille, &[20, 80, 150])
        .with_clock_step(0, first)
        .with_clock_step(2_500, second)
        .with_clock_step(4_500, third)
}

/// A server as the list describes it.
struct Server {
    _peer: Peer,
    /// Where nodes reach it.
    address: SocketAddr,
    /// From when a drain of the server counts as told to every node; `None` if it does not drain.
    drain_known_at: Arc<Mutex<Option<Instant>>>,
    /// Its last start by the true wall clock, in Unix milliseconds; 0 means long ago.
    started_at_ms: Mutex<f64>,
}

fn server(number: usize, record: &Arc<Record>, links: &Links) -> Server {
    let drain_known_at: Arc<Mutex<Option<Instant>>> = Arc::default();
    let (known_at, record) = (drain_known_at.clone(), record.clone());
    let rng = Mutex::new(Rng(number as u64));
    let peer = Peer::new(move |message| {
        let at = Instant::now();
        let drains_for = known_at.lock().expect("no panic").map(|told| at.saturating_duration_since(told));
        if message.path() == "/health" {
            return Reply::Now(answer(if drains_for.is_some() { 503 } else { 200 }, "", ""));
        }
        let header_number = |name| message.header(name).and_then(|value| value.parse().ok());
        let id = message.header("x-txn").unwrap_or_default().to_string();
        record.add_attempt(ServerAttempt {
            id: id.clone(),
            server: number,
            peer: None,
            cell: number as u64 / 2,
            at,
            time_given: Duration::from_millis(header_number("x-remaining-ms").unwrap_or(u64::MAX / 2)),
            is_executed: true,
            drains_for,
        });
        let mut rng = rng.lock().expect("no panic");
        let closes = rng.one_in(CLOSE_ONE_IN);
        let answer_delay = match (closes, rng.one_in(SLOW_ONE_IN)) {
            (true, _) => rng.between(500, 700),
            (false, true) => rng.between(100, 400),
            (false, false) => rng.between(1, 20),
        };
        drop(rng);
        if closes {
            // Closes long after the client may have left, when nobody waits for a further attempt.
            std::thread::sleep(answer_delay);
            return Reply::ThenClose(Vec::new());
        }
        Reply::After(answer_delay, answer(200, "", &id))
    });
    let address = links.to_server(number, peer.address);
    Server { _peer: peer, address, drain_known_at, started_at_ms: Mutex::new(0.0) }
}

/// A node process, and whether it has been told to stop.
struct Process {
    node: Node,
    config: Value,
    is_stopping: AtomicBool,
}

/// Everything that takes part in one run.
struct TestCluster {
    record: Arc<Record>,
    links: Links,
    servers: Vec<Server>,
    registry: Registry,
    version: Mutex<u64>,
    /// Includes processes that have ended, as their logs are still needed.
    processes: RwLock<Vec<Arc<Process>>>,
    config: Value,
    operator: PathBuf,
    clock_offsets: ClockOffsets,
}

impl TestCluster {
    fn new(seed: u64, clock_offsets: ClockOffsets) -> Self {
        let record: Arc<Record> = Arc::default();
        let links = Links::new(seed);
        let servers: Vec<Server> = (0..SERVERS).map(|number| server(number, &record, &links)).collect();
        let registry = Registry::new(&[]);
        let mut config = config(registry.address);
        config["settings"]["PeersTotal"] = json!(NODES);
        for class in config["settings"]["Classes"].as_array_mut().expect("classes") {
            class["Slo"] = json!(1000.0);
            class["Deadline"] = json!(3000.0);
        }
        let operator =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("together-{}.toml", std::process::id()));
        std::fs::write(&operator, "[trace]\non = true\n").expect("a file");
        let processes = RwLock::default();
        let version = Mutex::new(1);
        let cluster =
            Self { record, links, servers, registry, version, processes, config, operator, clock_offsets };
        cluster.publish(&[]);
        cluster
    }

    /// The current list entry of a server.
    fn entry(&self, number: usize) -> Value {
        let server = &self.servers[number];
        let is_draining = server.drain_known_at.lock().expect("no panic").is_some();
        let health = if is_draining { "leaving" } else { "active" };
        let mut entry = host(&format!("s{number}"), server.address, health, number as u64 / 2);
        entry["born_ms"] = json!(*server.started_at_ms.lock().expect("no panic"));
        entry
    }

    /// Publishes the list, with these servers as the ones that changed.
    fn publish(&self, changed: &[usize]) {
        let mut version = self.version.lock().expect("no panic");
        *version += 1;
        let all: Vec<Value> = (0..SERVERS).map(|number| self.entry(number)).collect();
        let changed: Vec<Value> = changed.iter().map(|number| self.entry(*number)).collect();
        self.registry.publish(*version, &all, &changed);
    }

    fn drain(&self, number: usize, told_after: Duration) {
        *self.servers[number].drain_known_at.lock().expect("no panic") = Some(Instant::now() + told_after);
        self.publish(&[number]);
    }

    fn end_drain(&self, number: usize) {
        *self.servers[number].drain_known_at.lock().expect("no panic") = None;
        self.publish(&[number]);
    }

    /// A server restarts and is cold. Its connections carry on as if they were new.
    fn restart_server(&self, number: usize) -> SlowStart {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
        *self.servers[number].started_at_ms.lock().expect("no panic") = unix_time.as_secs_f64() * 1000.0;
        let at = Instant::now();
        self.publish(&[number]);
        let contract = &self.config["settings"]["Contract"];
        let number_of = |name: &str| contract[name].as_f64().expect("a number");
        let millis = |name: &str| Duration::from_secs_f64(number_of(name) / 1000.0);
        SlowStart {
            server: number,
            at,
            max_multiple: number_of("FallMultiple"),
            window: millis("Fall"),
            cold_share: number_of("ColdShare"),
            warm_within: millis("WarmWithin"),
        }
    }

    fn start_node(&self, number: usize, rng: &mut Rng) {
        let mut config = self.config.clone();
        config["seed"] = json!(format!("{:x}", rng.next()));
        config["settings"]["Me"] = json!(number);
        config["discovery"] = json!(self.links.to_discovery(number, self.registry.address).to_string());
        let node = Node::listening_with_faults(
            &config,
            &self.operator,
            &fault_plan(number, rng, self.clock_offsets),
        );
        let process = Arc::new(Process { node, config, is_stopping: AtomicBool::new(false) });
        self.processes.write().expect("no panic").push(process);
    }

    fn process(&self, number: usize) -> Arc<Process> {
        self.processes.read().expect("no panic")[number].clone()
    }

    /// Picks a running process at random, as the clients' front does: it drops a process soon after that was
    /// told to stop.
    fn pick_node(&self, rng: &mut Rng) -> Arc<Process> {
        let processes = self.processes.read().expect("no panic");
        let running: Vec<_> = processes.iter().filter(|p| !p.is_stopping.load(Ordering::SeqCst)).collect();
        running[rng.below(running.len() as u64) as usize].clone()
    }

    /// What the node at that address has logged about a request, the list and its servers.
    fn timeline(&self, address: SocketAddr, id: &str) -> String {
        let processes = self.processes.read().expect("no panic");
        let Some(process) = processes.iter().find(|p| p.node.address == address) else {
            return String::new();
        };
        let suffix = format!(" {id}");
        let accepted = process.node.grep_log(|line| line.contains(" id ") && line.ends_with(&suffix));
        let number = accepted.first().and_then(|line| line.rsplit(' ').nth(1)).unwrap_or("none").to_string();
        let is_relevant = |line: &str| {
            let request_events = [" ask ", " send ", " end ", " answer ", " id "];
            let mut fields = line.split(' ').skip(3);
            (request_events.iter().any(|event| line.contains(event)) && fields.next() == Some(&number))
                || [" call", " watch-ended", " version", " entry", " probed", " reload", "stops"]
                    .iter()
                    .any(|event| line.contains(event))
        };
        process.node.grep_log(is_relevant).join("\n  ")
    }

    /// Whether the node at that address has accepted a request with that id.
    fn has_accepted(&self, address: SocketAddr, id: &str) -> bool {
        let processes = self.processes.read().expect("no panic");
        let tail = format!(" {id}");
        let found = processes.iter().find(|p| p.node.address == address);
        found.is_some_and(|p| {
            !p.node.grep_log(|line| line.contains(" id ") && line.ends_with(&tail)).is_empty()
        })
    }
}

/// A client that sends requests in a loop, over new and reused connections.
fn run_client(cluster: &TestCluster, number: usize, seed: u64, until: Instant) {
    let mut rng = Rng(seed ^ (number as u64 + 1) << 32);
    let mut count = 0;
    while Instant::now() < until {
        let process = cluster.pick_node(&mut rng);
        let Ok(mut client) = Client::try_at(process.node.address) else { continue };
        for _ in 0..=rng.below(5) {
            count += 1;
            let id = format!("c{number}-{count}");
            if !send_request(cluster, &process, &mut client, id, &mut rng) {
                break;
            }
            std::thread::sleep(rng.between(1, 60));
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
    let remaining = rng.between(400, 2500);
    let request_text = request(class, &id, remaining.as_millis() as u64).replace("k1", &id);
    let (node, at) = (process.node.address, Instant::now());
    let is_stopping = || process.is_stopping.load(Ordering::SeqCst);
    let record =
        |end| cluster.record.add_request(ClientRequest { id: id.clone(), class, at, remaining, node, end });
    if client.try_send(&request_text).is_err() {
        record(Outcome::Closed { at: Instant::now(), node_stops: is_stopping() });
        return false;
    }
    if rng.one_in(8) {
        std::thread::sleep(rng.between(0, 120));
        client.disconnect();
        record(Outcome::Left { at: Instant::now() });
        return false;
    }
    let answer = client.receive();
    record(Outcome::from_response(answer.as_ref(), &id, is_stopping()));
    answer.is_some_and(|answer| answer.header("connection") != Some("close"))
}

/// Injects the faults while the clients run.
fn inject_faults(cluster: &TestCluster, rng: &mut Rng) -> SlowStart {
    let began = Instant::now();
    let wait_until = |ms: u64| std::thread::sleep(Duration::from_millis(ms).saturating_sub(began.elapsed()));
    let (first, second) = (rng.below(4) as usize, 4 + rng.below(3) as usize);
    wait_until(600 + rng.below(300));
    cluster.drain(first, Duration::ZERO);
    wait_until(1500 + rng.below(300));
    for number in 0..NODES {
        let process = cluster.process(number);
        process.node.reload(&process.config.to_string());
    }
    let slow_start = cluster.restart_server(RESTARTED_SERVER);
    wait_until(2100 + rng.below(300));
    let stopping = cluster.process(0);
    stopping.is_stopping.store(true, Ordering::SeqCst);
    stopping.node.terminate();
    let kill_at = Instant::now() + KILL_DELAY;
    cluster.start_node(0, rng);
    wait_until(2700 + rng.below(400));
    cluster.registry.set_down(true);
    wait_until(3300 + rng.below(300));
    let (suspended, from) = (cluster.process(SUSPENDED_NODE), Instant::now());
    suspended.node.suspend();
    std::thread::sleep(MAX_PAUSE);
    suspended.node.resume();
    cluster.record.add_pause(Pause { node: suspended.node.address, from, until: Instant::now() });
    wait_until(4000 + rng.below(200));
    cluster.registry.set_down(false);
    cluster.drain(second, TOLD_AFTER_RETURN);
    wait_until(5000 + rng.below(300));
    cluster.end_drain(first);
    std::thread::sleep(kill_at.saturating_duration_since(Instant::now()));
    stopping.node.signal("-KILL");
    slow_start
}

/// Runs one seed; returns the violations, with timelines.
fn run_seed(seed: u64) -> Vec<String> {
    let mut rng = Rng(seed);
    let cluster = TestCluster::new(seed, clock_offsets(&mut rng));
    (0..NODES).for_each(|number| cluster.start_node(number, &mut rng));
    for number in 0..NODES {
        cluster.process(number).node.wait_ready();
    }
    let until = Instant::now() + RUN_TIME;
    let slow_start = std::thread::scope(|scope| {
        for number in 0..CLIENTS {
            let cluster = &cluster;
            scope.spawn(move || run_client(cluster, number, seed, until));
        }
        let links = &cluster.links;
        scope.spawn(move || links.inject_faults(SERVERS, NODES, &mut Rng(seed ^ LINKS_SEED_MASK)));
        inject_faults(&cluster, &mut rng)
    });
    let (asked, served) = cluster.record.counts();
    println!("seed {seed}: {served} of {asked} requests served");
    let breaches = cluster.record.violations(|node, id| cluster.has_accepted(node, id));
    let mut violations: Vec<String> = breaches
        .iter()
        .map(|breach| format!("seed {seed}: {breach}\n  {}", cluster.timeline(breach.node, &breach.id)))
        .collect();
    violations
        .extend(cluster.record.find_overload(slow_start, SERVERS).map(|text| format!("seed {seed}: {text}")));
    if (served as f64) < MIN_SERVED_SHARE * asked as f64 {
        violations.push(format!("seed {seed}: {served} of {asked} requests served"));
    }
    violations
}

fn env_number(variable: &str, fallback: u64) -> u64 {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(fallback)
}

#[test]
fn the_rules_hold_under_all_faults_together() {
    let first = env_number("GLENWOOD_FAULT_FIRST", 1);
    let count = env_number("GLENWOOD_FAULT_SEEDS", SEEDS);
    let violations: Vec<String> = (first..first + count).flat_map(run_seed).collect();
    assert!(violations.is_empty(), "{} violations:\n{}", violations.len(), violations.join("\n"));
}
