//! Servers, or links to them, send something that is not the answer to the request before it. No client may
//! get an answer that no server made for its request, and no request that may have run may be reported as
//! never run.
//!
//! To run more seeds: `GLENWOOD_SEEDS=10 GLENWOOD_NODES=24 cargo test --release -p glenwood-node --test
//! whose_answer -- --nocapture --test-threads 1`.

mod peers;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use glenwood_trace::TraceEvent;
use peers::dice::Rng;
use peers::list_service::ListService;
use peers::many::{SchedulingDelay, ServerPool, ServerTiming};
use peers::record::*;
use peers::strays::{ResponseFault, ResponseFaults, UnsolicitedSend};
use peers::*;
use serde_json::{json, Value};

const NODES: u64 = 3;
const SERVERS: usize = 6;
/// How long a run lasts, in seconds.
const SECONDS: u64 = 6;
/// How long a client pauses between two requests, in milliseconds.
const PAUSE_MS: (u64, u64) = (1, 40);
/// How long servers keep an idle connection: so short that new ones are opened throughout the run.
const KEEPALIVE_MS: f64 = 800.0;
/// The share of requests that must at least be served, as a node that refuses everything breaks no rule.
const MIN_SERVED_SHARE: f64 = 0.85;
/// The share of the responses that no request asked for that must be sent as early as their fault says, as a
/// run without faults shows nothing.
const MIN_TIMELY_SHARE: f64 = 0.25;
/// How many lines of a node's log are printed for a violation.
const TIMELINE_LINES: usize = 30;

fn env_number(variable: &str, fallback: u64) -> u64 {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(fallback)
}

/// The nodes, servers and clients of a run, unless the environment sets other numbers.
struct Deployment {
    nodes: u64,
    servers: usize,
    clients: u64,
    timing: ServerTiming,
    /// Whether clients pause between two requests.
    clients_pause: bool,
    /// From when on servers send what no request asked for.
    faults_after: Duration,
    /// How long servers keep an idle connection, in milliseconds.
    keepalive_ms: f64,
}

impl Default for Deployment {
    fn default() -> Self {
        Self {
            nodes: env_number("GLENWOOD_NODES", NODES),
            servers: env_number("GLENWOOD_SERVERS", SERVERS as u64) as usize,
            clients: env_number("GLENWOOD_CLIENTS", 36),
            timing: ServerTiming { round_trip: Duration::ZERO, work_ms: 10..90 },
            clients_pause: true,
            faults_after: Duration::ZERO,
            keepalive_ms: KEEPALIVE_MS,
        }
    }
}

impl Deployment {
    /// One server in another data centre, all connections to which are in use most of the time, so that each
    /// is used again at once. It answers as it should at first, so that nodes distrust nothing.
    fn one_distant_server() -> Self {
        Self {
            nodes: 1,
            servers: 1,
            clients: 12,
            timing: ServerTiming { round_trip: Duration::from_millis(20), work_ms: 25..45 },
            clients_pause: false,
            faults_after: Duration::from_secs(2),
            keepalive_ms: 60_000.0,
        }
    }
}

struct TestCluster {
    clients_pause: bool,
    record: Arc<Record>,
    servers: ServerPool,
    service: ListService,
    nodes: Vec<Node>,
    is_over: AtomicBool,
    next_request: AtomicUsize,
}

impl TestCluster {
    fn start(seed: u64, deployment: &Deployment, faults: &ResponseFaults) -> Self {
        let record: Arc<Record> = Arc::default();
        let servers = ServerPool::start_with_timing(deployment.servers, &record, deployment.timing.clone());
        servers.set_response_faults(if deployment.faults_after.is_zero() {
            faults.clone()
        } else {
            faults.rejections()
        });
        let entries: Vec<Value> = (0..servers.count()).map(|number| servers.entry(number)).collect();
        let service = ListService::start(&entries);
        let operator =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("whose-{}.toml", std::process::id()));
        std::fs::write(&operator, "[trace]\non = true\n").expect("a file");
        let count = deployment.nodes;
        let start = |number: u64| {
            let mut config = config(service.address);
            config["seed"] = json!(format!("{:x}", seed * 1_000 + number + 1));
            config["settings"]["PeersTotal"] = json!(count);
            config["settings"]["Me"] = json!(number);
            config["settings"]["Limits"]["ConnectTimeout"] = json!(120.0);
            config["settings"]["Limits"]["Keepalive"] = json!(deployment.keepalive_ms);
            for class in config["settings"]["Classes"].as_array_mut().expect("classes") {
                class["Slo"] = json!(1000.0);
                class["Deadline"] = json!(3000.0);
            }
            Node::started_with_operator(&config, &operator).wait_listening()
        };
        let nodes: Vec<Node> = (0..count).map(start).collect();
        nodes.iter().for_each(Node::wait_ready);
        let (is_over, next_request) = (AtomicBool::new(false), AtomicUsize::new(0));
        let clients_pause = deployment.clients_pause;
        Self { clients_pause, record, servers, service, nodes, is_over, next_request }
    }

    /// A client that sends requests to one node in a loop.
    fn run_client(&self, number: u64, seed: u64) {
        let mut rng = Rng(seed ^ ((number + 1) << 32));
        let node = &self.nodes[number as usize % self.nodes.len()];
        let mut client = Client::to(node);
        while !self.is_over.load(Ordering::SeqCst) {
            let count = self.next_request.fetch_add(1, Ordering::SeqCst);
            let class = ["look", "pay", "slip"][rng.below(3) as usize];
            let (id, remaining) = (format!("r{seed}-{count}"), rng.between(600, 2_500));
            let request_text = request(class, &id, remaining.as_millis() as u64).replace("k1", &id);
            let at = Instant::now();
            client.send(&request_text);
            let answer = client.receive();
            let end = Outcome::from_response(answer.as_ref(), &id, false);
            self.record.add_request(ClientRequest { id, class, at, remaining, node: node.address, end });
            if answer.is_none_or(|answer| answer.header("connection") == Some("close")) {
                client = Client::to(node);
            }
            if self.clients_pause {
                std::thread::sleep(rng.between(PAUSE_MS.0, PAUSE_MS.1));
            }
        }
    }

    /// The responses that no request asked for, each with whether the machine delayed it beyond its fault.
    fn unsolicited(&self) -> Vec<(UnsolicitedSend, bool)> {
        let mut established: HashMap<String, Vec<f64>> = HashMap::new();
        for line in self.nodes.iter().flat_map(|node| node.grep_log(|line| line.contains(" connected "))) {
            let Some(record) = glenwood_trace::Record::find(&line) else { continue };
            if let TraceEvent::Connected { local, .. } = record.event {
                established.entry(local).or_default().push(record.at);
            }
        }
        let exceeds_fault = |sent: UnsolicitedSend| {
            let times = established.get(&sent.peer.to_string());
            // A port that was used again doesn't tell which connection it was.
            let established_ms = times.filter(|times| times.len() == 1).map(|times| times[0]);
            (sent, sent.exceeds_fault(established_ms))
        };
        self.record.all_unsolicited().into_iter().map(exceeds_fault).collect()
    }

    /// The response, sent later than its fault allows, that came on a connection of the violating request
    /// before the request ended: it and all later answers there may belong to other requests. `None` if the
    /// first such response on any of the request's connections was in time, as that may be the cause.
    fn cause_beyond_fault(
        &self,
        violation: &Violation,
        unsolicited: &[(UnsolicitedSend, bool)],
    ) -> Option<UnsolicitedSend> {
        if !violation.rule.depends_on_attribution() {
            return None;
        }
        let attempts = self.record.all_attempts();
        let of_request = attempts.iter().filter(|attempt| attempt.id == violation.id);
        let connections: HashSet<_> = of_request.filter_map(|a| Some((a.server, a.peer?))).collect();
        let first_on = |(server, peer): &(usize, SocketAddr)| {
            let is_on_it = |(sent, _): &&(UnsolicitedSend, bool)| {
                (sent.server, sent.peer) == (*server, *peer) && sent.at <= violation.ended_at
            };
            unsolicited.iter().filter(is_on_it).min_by_key(|(sent, _)| sent.at)
        };
        let first: Vec<_> = connections.iter().filter_map(first_on).collect();
        let all_exceed_fault = first.iter().all(|(_, exceeds_fault)| *exceeds_fault);
        first.first().filter(|_| all_exceed_fault).map(|(sent, _)| *sent)
    }

    /// What a node has logged about a request, and about answers out of turn until then.
    fn timeline(&self, violation: &Violation) -> String {
        let Some(node) = self.nodes.iter().find(|node| node.address == violation.node) else {
            return String::new();
        };
        let suffix = format!(" {}", violation.id);
        let accepted = node.grep_log(|line| line.contains(" id ") && line.ends_with(&suffix));
        let number = accepted.first().and_then(|line| line.rsplit(' ').nth(1)).unwrap_or("none").to_string();
        let is_relevant = |line: &str| {
            (line.starts_with("trace ") && line.split(' ').nth(3) == Some(&number))
                || line.contains("out-of-turn")
        };
        let lines = node.grep_log(is_relevant);
        let last = lines.iter().rposition(|line| line.contains(" answer ")).map_or(lines.len(), |at| at + 1);
        lines[last.saturating_sub(TIMELINE_LINES)..last].join("\n  ")
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        self.service.stop();
    }
}

/// Runs one seed; returns the violations and the number of connections to servers.
fn run_seed(
    label: &str,
    deployment: &Deployment,
    faults: &ResponseFaults,
    seed: u64,
) -> (Vec<String>, usize) {
    let cluster = TestCluster::start(seed, deployment, faults);
    let driver_delay = SchedulingDelay::measure();
    std::thread::scope(|scope| {
        for number in 0..deployment.clients {
            let cluster = &cluster;
            scope.spawn(move || cluster.run_client(number, seed));
        }
        std::thread::sleep(deployment.faults_after);
        cluster.servers.set_response_faults(faults.clone());
        let run_time = Duration::from_secs(env_number("GLENWOOD_SECONDS", SECONDS));
        std::thread::sleep(run_time.saturating_sub(deployment.faults_after));
        cluster.is_over.store(true, Ordering::SeqCst);
    });
    cluster.record.set_test_delay(driver_delay.longest());
    let (asked, served) = cluster.record.counts();
    let unsolicited = cluster.unsolicited();
    let mut rule_violations = cluster.record.violations(|_, _| true);
    rule_violations.retain(|violation| {
        let cause = cluster.cause_beyond_fault(violation, &unsolicited);
        if let Some(sent) = cause {
            println!("{label}, seed {seed}: beyond the fault: {violation}; {sent:?}");
            println!("  {}", cluster.timeline(violation));
        }
        cause.is_none()
    });
    let count = |rule| rule_violations.iter().filter(|violation| violation.rule == rule).count();
    println!(
        "{label}, seed {seed}: {} foreign, {} duplicate, {} refused, {} lost, {} others; {served} of {asked} served; {} connections; \
         driver late by {:.0?}; {} of {} unsolicited responses late",
        count(Rule::Foreign),
        count(Rule::Duplicate),
        count(Rule::Refused),
        count(Rule::Lost),
        count(Rule::Drain) + count(Rule::Deadline) + count(Rule::Left),
        cluster.servers.connection_count(),
        driver_delay.longest(),
        unsolicited.iter().filter(|(_, exceeds_fault)| *exceeds_fault).count(),
        unsolicited.len()
    );
    let describe = |violation: &Violation| {
        format!("{label}, seed {seed}: {violation}\n  {}", cluster.timeline(violation))
    };
    let mut violations: Vec<String> = rule_violations.iter().map(describe).collect();
    if (served as f64) < MIN_SERVED_SHARE * asked as f64 {
        violations.push(format!("{label}, seed {seed}: {served} of {asked} requests served"));
    }
    let timely = unsolicited.iter().filter(|(_, exceeds_fault)| !exceeds_fault).count();
    if (timely as f64) < MIN_TIMELY_SHARE * unsolicited.len() as f64 {
        let sent = unsolicited.len();
        violations
            .push(format!("{label}, seed {seed}: {timely} of {sent} unsolicited responses were in time"));
    }
    (violations, cluster.servers.connection_count())
}

/// One run at a time, as each keeps the machine busy.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Runs all seeds, asserts that there is no violation, and returns the number of connections to servers.
fn assert_rules_hold(label: &str, faults: &[ResponseFault]) -> usize {
    assert_rules_hold_in(&Deployment::default(), label, faults)
}

/// The same in another deployment than the default one.
fn assert_rules_hold_in(deployment: &Deployment, label: &str, faults: &[ResponseFault]) -> usize {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let faults = ResponseFaults(faults.to_vec());
    let first = env_number("GLENWOOD_FIRST", 1);
    let (mut violations, mut connections) = (Vec::new(), 0);
    for seed in first..first + env_number("GLENWOOD_SEEDS", 1) {
        let (rule_violations, count) = run_seed(label, deployment, &faults, seed);
        violations.extend(rule_violations);
        connections += count;
    }
    let some = &violations[..violations.len().min(12)];
    assert!(violations.is_empty(), "{} violations, among them:\n{}", violations.len(), some.join("\n"));
    connections
}

/// Servers genuinely turn away 3 % of the requests.
const TURNS_AWAY: ResponseFault = ResponseFault::Rejection { share: 30 };

/// Guards the invariants where no answer is out of turn, as the baseline for the runs below.
#[test]
fn answers_in_their_turn_break_nothing() {
    assert_rules_hold("in turn", &[TURNS_AWAY]);
}

/// Guards against an unsolicited answer on a new connection being taken for the answer to its first request.
#[test]
fn an_unasked_answer_on_a_new_connection_answers_no_request() {
    assert_rules_hold(
        "new connection, 0 to 10 ms",
        &[TURNS_AWAY, ResponseFault::OnConnect { share: 200, delay_ms: 0..10 }],
    );
}

/// Guards against the same where it arrives when the first request may be written already.
#[test]
fn an_unasked_answer_that_comes_late_on_a_new_connection_answers_no_request() {
    assert_rules_hold(
        "new connection, 12 to 30 ms",
        &[TURNS_AWAY, ResponseFault::OnConnect { share: 200, delay_ms: 12..30 }],
    );
}

/// Guards against a second answer that arrives while the next request is pending on its connection.
#[test]
fn a_second_answer_that_comes_late_answers_no_request() {
    assert_rules_hold(
        "second answer, 0 to 20 ms",
        &[TURNS_AWAY, ResponseFault::ExtraResponse { share: 50, delay_ms: 0..20 }],
    );
}

/// Guards against the same where it is rare, so that the node has little evidence of it.
#[test]
fn a_rare_second_answer_answers_no_request() {
    assert_rules_hold(
        "rare second answer, 0 to 20 ms",
        &[TURNS_AWAY, ResponseFault::ExtraResponse { share: 10, delay_ms: 0..20 }],
    );
}

/// Guards against a connection whose answers are off by one for good, after a single second answer that
/// arrived while the next request was already written.
#[test]
fn a_second_answer_on_a_busy_connection_shifts_no_answers() {
    assert_rules_hold_in(
        &Deployment::one_distant_server(),
        "second answer, 4 to 10 ms, all connections in use",
        &[TURNS_AWAY, ResponseFault::ExtraResponse { share: 5, delay_ms: 4..10 }],
    );
}

/// Guards against a second copy of a rejection that passes for the rejection of the next request, which runs.
#[test]
fn a_second_copy_of_a_rejection_rejects_no_other_request() {
    let near = ServerTiming { round_trip: Duration::ZERO, work_ms: 25..45 };
    assert_rules_hold_in(
        &Deployment { timing: near, ..Deployment::one_distant_server() },
        "copied rejection, 4 to 10 ms, all connections in use",
        &[
            ResponseFault::Rejection { share: 50 },
            ResponseFault::CopiedRejection { share: 200, delay_ms: 4..10 },
        ],
    );
}

/// Guards against the same where it arrives later than connections usually stay idle.
#[test]
fn a_second_answer_that_comes_later_answers_no_request() {
    assert_rules_hold(
        "second answer, 5 to 60 ms",
        &[TURNS_AWAY, ResponseFault::ExtraResponse { share: 50, delay_ms: 5..60 }],
    );
}

/// Guards against the same where it may arrive long after the first answer.
#[test]
fn a_second_answer_that_comes_very_late_answers_no_request() {
    assert_rules_hold(
        "second answer, 0 to 300 ms",
        &[TURNS_AWAY, ResponseFault::ExtraResponse { share: 50, delay_ms: 0..300 }],
    );
}

/// Guards against answers that are sent twice, are cut off, close their connection unannounced, or arrive in
/// pieces.
#[test]
fn answers_with_broken_framing_answer_one_request_at_most() {
    let faults = [
        TURNS_AWAY,
        ResponseFault::RepeatedResponse { share: 30 },
        ResponseFault::TruncatedResponse { share: 10 },
        ResponseFault::CloseAfterResponse { share: 30 },
        ResponseFault::SplitResponse { share: 100 },
    ];
    assert_rules_hold("framing", &faults);
}

/// Guards against interim answers that cost a connection each, or are taken for the final answer.
#[test]
fn interim_answers_cost_no_connection() {
    let without = assert_rules_hold("in turn", &[TURNS_AWAY]);
    let with = assert_rules_hold("interim", &[TURNS_AWAY, ResponseFault::InterimResponse]);
    // No two runs are alike: each node may open one more connection to each server.
    let most = without * 21 / 20 + (NODES as usize) * SERVERS;
    assert!(with <= most, "{with} connections with interim answers, {without} without");
}
