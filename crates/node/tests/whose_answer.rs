//! Servers, and links to them, that send what is not the answer to the request before it: no client may be served what no server made
//! for its request, and nothing may pass for never run that may have. More seeds by hand: `GLENWOOD_SEEDS=10 GLENWOOD_NODES=24
//! cargo test --release -p glenwood-node --test whose_answer -- --nocapture --test-threads 1`.

mod peers;

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use peers::dice::Rng;
use peers::list_service::ListService;
use peers::many::{SchedulingDelay, ServerPool};
use peers::record::*;
use peers::strays::{ResponseFault, ResponseFaults};
use peers::*;
use serde_json::{json, Value};

const NODES: u64 = 3;
const SERVERS: usize = 6;
const CLIENTS: u64 = 36;
/// How long a play lasts.
const SECONDS: u64 = 6;
/// How long a server takes for a request, in milliseconds.
const WORK: std::ops::Range<u64> = 10..90;
/// How long a client pauses between two requests, in milliseconds.
const PAUSE: (u64, u64) = (1, 40);
/// For how long servers keep an idle connection: so short that new ones are made all along.
const KEEPALIVE_MS: f64 = 800.0;
/// Which part of the requests is to be served at the least: a node that refuses all breaks no rule.
const SERVED: f64 = 0.85;
/// How many lines of a node's log go with a breach.
const TIMELINE: usize = 30;

fn number_in(variable: &str, otherwise: u64) -> u64 {
    std::env::var(variable).ok().and_then(|words| words.parse().ok()).unwrap_or(otherwise)
}

struct World {
    record: Arc<Record>,
    servers: ServerPool,
    service: ListService,
    nodes: Vec<Node>,
    ends: AtomicBool,
    next: AtomicUsize,
}

impl World {
    fn start(seed: u64, strays: &ResponseFaults) -> Self {
        let record: Arc<Record> = Arc::default();
        let servers = ServerPool::start_with_work_time(
            number_in("GLENWOOD_SERVERS", SERVERS as u64) as usize,
            &record,
            WORK,
        );
        servers.set_response_faults(strays.clone());
        let entries: Vec<Value> = (0..servers.count()).map(|number| servers.entry(number)).collect();
        let service = ListService::start(&entries);
        let operator =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("whose-{}.toml", std::process::id()));
        std::fs::write(&operator, "[trace]\non = true\n").expect("a file");
        let count = number_in("GLENWOOD_NODES", NODES);
        let start = |number: u64| {
            let mut config = config(service.address);
            config["seed"] = json!(format!("{:x}", seed * 1_000 + number + 1));
            config["settings"]["PeersTotal"] = json!(count);
            config["settings"]["Me"] = json!(number);
            config["settings"]["Limits"]["ConnectTimeout"] = json!(120.0);
            config["settings"]["Limits"]["Keepalive"] = json!(KEEPALIVE_MS);
            for class in config["settings"]["Classes"].as_array_mut().expect("classes") {
                class["Slo"] = json!(1000.0);
                class["Deadline"] = json!(3000.0);
            }
            Node::started_with_operator(&config, &operator).wait_listening()
        };
        let nodes: Vec<Node> = (0..count).map(start).collect();
        nodes.iter().for_each(Node::wait_ready);
        let (ends, next) = (AtomicBool::new(false), AtomicUsize::new(0));
        Self { record, servers, service, nodes, ends, next }
    }

    /// A client that asks one node after another again and again.
    fn ask(&self, number: u64, seed: u64) {
        let mut dice = Rng(seed ^ ((number + 1) << 32));
        let node = &self.nodes[number as usize % self.nodes.len()];
        let mut client = Client::to(node);
        while !self.ends.load(Ordering::SeqCst) {
            let count = self.next.fetch_add(1, Ordering::SeqCst);
            let class = ["look", "pay", "slip"][dice.below(3) as usize];
            let (id, remaining) = (format!("r{seed}-{count}"), dice.between(600, 2_500));
            let words = request(class, &id, remaining.as_millis() as u64).replace("k1", &id);
            let at = Instant::now();
            client.send(&words);
            let answer = client.receive();
            let end = Outcome::from_response(answer.as_ref(), &id, false);
            self.record.add_request(ClientRequest { id, class, at, remaining, node: node.address, end });
            if answer.is_none_or(|answer| answer.header("connection") == Some("close")) {
                client = Client::to(node);
            }
            std::thread::sleep(dice.between(PAUSE.0, PAUSE.1));
        }
    }

    /// What a node has said of a request, and of answers out of turn until then.
    fn timeline(&self, breach: &Violation) -> String {
        let Some(node) = self.nodes.iter().find(|node| node.address == breach.node) else {
            return String::new();
        };
        let ends = format!(" {}", breach.id);
        let taken = node.grep_log(|line| line.contains(" id ") && line.ends_with(&ends));
        let number = taken.first().and_then(|line| line.rsplit(' ').nth(1)).unwrap_or("none").to_string();
        let about = |line: &str| {
            (line.starts_with("trace ") && line.split(' ').nth(3) == Some(&number))
                || line.contains("out-of-turn")
        };
        let lines = node.grep_log(about);
        let last = lines.iter().rposition(|line| line.contains(" answer ")).map_or(lines.len(), |at| at + 1);
        lines[last.saturating_sub(TIMELINE)..last].join("\n  ")
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.service.stop();
    }
}

/// Plays a seed; gives what broke, and how many connections there were.
fn play(what: &str, strays: &ResponseFaults, seed: u64) -> (Vec<String>, usize) {
    let world = World::start(seed, strays);
    let late = SchedulingDelay::measure();
    std::thread::scope(|scope| {
        for number in 0..number_in("GLENWOOD_CLIENTS", CLIENTS) {
            let world = &world;
            scope.spawn(move || world.ask(number, seed));
        }
        std::thread::sleep(Duration::from_secs(number_in("GLENWOOD_SECONDS", SECONDS)));
        world.ends.store(true, Ordering::SeqCst);
    });
    world.record.set_test_delay(late.longest());
    let (asked, served) = world.record.counts();
    let breaches = world.record.violations(|_, _| true);
    let count = |rule| breaches.iter().filter(|breach| breach.rule == rule).count();
    println!(
        "{what}, seed {seed}: {} foreign, {} duplicate, {} refused, {} lost, {} others; {served} of {asked} served; {} connections; \
         driver late by {:.0?}",
        count(Rule::Foreign),
        count(Rule::Duplicate),
        count(Rule::Refused),
        count(Rule::Lost),
        count(Rule::Drain) + count(Rule::Deadline) + count(Rule::Left),
        world.servers.connection_count(),
        late.longest()
    );
    let told = |breach: &Violation| format!("{what}, seed {seed}: {breach}\n  {}", world.timeline(breach));
    let mut broken: Vec<String> = breaches.iter().map(told).collect();
    if (served as f64) < SERVED * asked as f64 {
        broken.push(format!("{what}, seed {seed}: {served} of {asked} requests served"));
    }
    (broken, world.servers.connection_count())
}

/// One play at a time: each keeps the machine busy.
static ALONE: Mutex<()> = Mutex::new(());

/// Plays all seeds; gives how many connections there were.
fn hold_the_rules(what: &str, strays: &[ResponseFault]) -> usize {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let strays = ResponseFaults(strays.to_vec());
    let first = number_in("GLENWOOD_FIRST", 1);
    let (mut broken, mut connections) = (Vec::new(), 0);
    for seed in first..first + number_in("GLENWOOD_SEEDS", 1) {
        let (breaches, count) = play(what, &strays, seed);
        broken.extend(breaches);
        connections += count;
    }
    let some = &broken[..broken.len().min(12)];
    assert!(broken.is_empty(), "{} breaches, among them:\n{}", broken.len(), some.join("\n"));
    connections
}

/// Some requests are turned away in earnest.
const TURNS_AWAY: ResponseFault = ResponseFault::Rejection { share: 30 };

/// Guards the invariants where nothing is out of turn: the measure of the plays below.
#[test]
fn answers_in_their_turn_break_nothing() {
    hold_the_rules("in turn", &[TURNS_AWAY]);
}

/// Guards against an unasked answer on a new connection that passes for the answer to its first request.
#[test]
fn an_unasked_answer_on_a_new_connection_answers_no_request() {
    hold_the_rules(
        "new connection, 0 to 10 ms",
        &[TURNS_AWAY, ResponseFault::OnConnect { share: 200, delay_ms: 0..10 }],
    );
}

/// Guards against a second answer that comes while the next request is out on its connection.
#[test]
fn a_second_answer_that_comes_late_answers_no_request() {
    hold_the_rules(
        "second answer, 0 to 20 ms",
        &[TURNS_AWAY, ResponseFault::ExtraResponse { share: 50, delay_ms: 0..20 }],
    );
}

/// Guards against the same where that is rare, so that little is known of it.
#[test]
fn a_rare_second_answer_answers_no_request() {
    hold_the_rules(
        "rare second answer, 0 to 20 ms",
        &[TURNS_AWAY, ResponseFault::ExtraResponse { share: 10, delay_ms: 0..20 }],
    );
}

/// Guards against the same where it comes later than connections usually rest.
#[test]
fn a_second_answer_that_comes_later_answers_no_request() {
    hold_the_rules(
        "second answer, 5 to 60 ms",
        &[TURNS_AWAY, ResponseFault::ExtraResponse { share: 50, delay_ms: 5..60 }],
    );
}

/// Guards against the same where it may come long after.
#[test]
fn a_second_answer_that_comes_very_late_answers_no_request() {
    hold_the_rules(
        "second answer, 0 to 300 ms",
        &[TURNS_AWAY, ResponseFault::ExtraResponse { share: 50, delay_ms: 0..300 }],
    );
}

/// Guards against answers that come twice at once, are cut off, end their connection unsaid, or come in pieces.
#[test]
fn answers_with_broken_framing_answer_one_request_at_most() {
    let strays = [
        TURNS_AWAY,
        ResponseFault::RepeatedResponse { share: 30 },
        ResponseFault::TruncatedResponse { share: 10 },
        ResponseFault::CloseAfterResponse { share: 30 },
        ResponseFault::SplitResponse { share: 100 },
    ];
    hold_the_rules("framing", &strays);
}

/// Guards against interim answers that cost a connection each, or pass for the answer.
#[test]
fn interim_answers_cost_no_connection() {
    let without = hold_the_rules("in turn", &[TURNS_AWAY]);
    let with = hold_the_rules("interim", &[TURNS_AWAY, ResponseFault::InterimResponse]);
    // Two plays are not alike: each node may open one more to each server.
    let most = without * 21 / 20 + (NODES as usize) * SERVERS;
    assert!(with <= most, "{with} connections with interim answers, {without} without");
}
