//! Servers that are removed, and come back as other processes, while nodes have lost their lists: what nodes send is judged at the servers
//! by what counts as told to each node. By hand, with 300 nodes and more seeds: `GLENWOOD_NODES=300 GLENWOOD_CLIENTS=2 GLENWOOD_SECONDS=24
//! GLENWOOD_ROUND_MS=2000 GLENWOOD_SEEDS=10 cargo test --release -p glenwood-node --test restarts -- --nocapture --test-threads 1`.

mod peers;

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use peers::dice::Rng;
use peers::many::{Deactivation, SchedulingDelay, ServerPool};
use peers::queued_list::QueuedListService;
use peers::record::*;
use peers::*;
use serde_json::{json, Value};

/// How many processes there are, and how many by the settings.
const NODES: u64 = 24;
const FLEET: u64 = 300;
const SERVERS: usize = 200;
/// How many clients a node has, and how many requests they send a second in all.
const CLIENTS_EACH: u64 = 4;
const REQUESTS_A_SECOND: u64 = 40;
/// How long a play lasts.
const SECONDS: u64 = 10;
/// How many servers one change removes.
const PART: usize = 8;
/// How long the list service takes for one call of each node.
const ROUND_MS: u64 = 2_000;
/// Which part of the requests is to be served at the least: a node that refuses all breaks no rule.
const SERVED: f64 = 0.85;
/// What a change counts as told by is kept for each node by the list service, and not by the servers.
const NOT_TOLD_BY_SERVERS: Duration = Duration::from_secs(3_600);

/// How many lines of a node's log go with a send that came too late.
const TIMELINE: usize = 40;

struct World {
    record: Arc<Record>,
    servers: ServerPool,
    lists: QueuedListService,
    nodes: Vec<Node>,
    ends: AtomicBool,
}

fn number_in(variable: &str, otherwise: u64) -> u64 {
    std::env::var(variable).ok().and_then(|words| words.parse().ok()).unwrap_or(otherwise)
}

fn node_config(lists: &QueuedListService, number: usize, nodes: u64, seed: u64) -> Value {
    let mut config = config(lists.address(number));
    config["seed"] = json!(format!("{:x}", seed * 1_000 + number as u64 + 1));
    config["settings"]["PeersTotal"] = json!(FLEET);
    config["settings"]["Me"] = json!(number as u64 * FLEET / nodes);
    config["settings"]["Limits"]["ConnectTimeout"] = json!(120.0);
    for class in config["settings"]["Classes"].as_array_mut().expect("classes") {
        class["Slo"] = json!(1000.0);
        class["Deadline"] = json!(3000.0);
    }
    config
}

impl World {
    fn start(how: Deactivation, seed: u64) -> Self {
        let nodes = number_in("GLENWOOD_NODES", NODES);
        let record: Arc<Record> = Arc::default();
        let servers = ServerPool::start(SERVERS, &record);
        let round = Duration::from_millis(number_in("GLENWOOD_ROUND_MS", ROUND_MS));
        let entries: Vec<Value> = (0..SERVERS).map(|number| servers.entry(number)).collect();
        // What a server that still answers hides is known by the list alone: there the service is as fast for the processes that run
        // as it is for the fleet. Else the few keep it as busy as the whole fleet would.
        let sharing = if how == Deactivation::Removed { FLEET } else { nodes };
        let lists = QueuedListService::start(&entries, nodes as usize, round / sharing as u32, seed);
        let operator =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("restarts-{}.toml", std::process::id()));
        std::fs::write(&operator, "[trace]\non = true\n").expect("a file");
        let start = |number: usize| {
            let config = node_config(&lists, number, nodes, seed);
            Node::started_with_operator(&config, &operator).wait_listening()
        };
        let nodes: Vec<Node> = (0..nodes as usize).map(start).collect();
        nodes.iter().for_each(Node::wait_ready);
        Self { record, servers, lists, nodes, ends: AtomicBool::new(false) }
    }

    fn tell(&self, numbers: &[usize], is_up: bool) {
        let all = (0..SERVERS).map(|number| self.servers.entry(number));
        let hosts: Vec<Value> = all.filter(|host| host["health"] == "active").collect();
        let news: Vec<Value> = numbers.iter().map(|number| self.servers.entry(*number)).collect();
        self.lists.change(numbers, is_up, &hosts, &news, !is_up);
    }

    /// Removes servers, again and again; each comes back as another process after a while.
    fn remove_and_restart(&self, how: Deactivation, ends: Instant, seed: u64) {
        let mut dice = Rng(seed);
        let mut up: Vec<usize> = (0..SERVERS).collect();
        let mut back: Vec<(Instant, usize)> = Vec::new();
        let mut next = Instant::now() + dice.between(300, 1_000);
        while Instant::now() < ends {
            std::thread::sleep(Duration::from_millis(20));
            let now = Instant::now();
            let returning: Vec<usize> = back.extract_if(.., |(at, _)| *at <= now).map(|(_, n)| n).collect();
            if !returning.is_empty() {
                returning.iter().for_each(|number| self.servers.restart(*number));
                self.tell(&returning, true);
                up.extend(returning);
            }
            if now >= next {
                let removed: Vec<usize> =
                    (0..PART).map(|_| up.swap_remove(dice.below(up.len() as u64) as usize)).collect();
                removed
                    .iter()
                    .for_each(|number| self.servers.deactivate(*number, how, now + NOT_TOLD_BY_SERVERS));
                self.tell(&removed, false);
                back.extend(removed.into_iter().map(|number| (now + dice.between(1_400, 2_600), number)));
                next = now + dice.between(300, 1_000);
            }
        }
    }

    /// A client that asks its node again and again.
    fn ask(&self, number: usize, clients: u64, pause: Duration) {
        let node_number = number / clients as usize;
        let node = &self.nodes[node_number];
        let mut dice = Rng(number as u64);
        let mut client = Client::to(node);
        for count in 0.. {
            std::thread::sleep(pause.mul_f64(0.5 + dice.below(1_000) as f64 / 1_000.0));
            if self.ends.load(Ordering::SeqCst) {
                return;
            }
            let id = format!("n{node_number}-{number}-{count}");
            let (at, remaining) = (Instant::now(), dice.between(600, 2_500));
            client.send(&request("look", &id, remaining.as_millis() as u64));
            let answer = client.receive();
            let end = Outcome::from_response(answer.as_ref(), &id, false);
            self.record.add_request(ClientRequest {
                id,
                class: "look",
                at,
                remaining,
                node: node.address,
                end,
            });
            if answer.is_none_or(|answer| answer.header("connection") == Some("close")) {
                client = Client::to(node);
            }
        }
    }

    /// What a node has said of its list, and of the server that it sent to.
    fn timeline(&self, node: usize, sent: &ServerAttempt) -> String {
        let server = format!("s{:05}", sent.server);
        let of_list = [" call", " asking", " answering", " watch-ended", " version"];
        let about = |line: &str| line.contains(&server) || of_list.iter().any(|word| line.contains(word));
        let ends = format!(" {}", sent.id);
        let lines = self.nodes[node].grep_log(|line| about(line) || line.ends_with(&ends));
        let until = lines.iter().position(|line| line.ends_with(&ends)).unwrap_or(lines.len());
        lines[until.saturating_sub(TIMELINE)..(until + 2).min(lines.len())].join("\n  ")
    }

    /// The sends to servers of which their nodes count as told that they take nothing new, and to how many of these that were back.
    fn late_sends(&self) -> (Vec<String>, usize) {
        let (late, mut to_restarted) = (self.record.test_delay(), 0);
        let mut broken = Vec::new();
        for sent in self.record.all_attempts() {
            let node = sent.id[1..].split('-').next().and_then(|word| word.parse().ok());
            let node: usize = node.expect("an id that names its node");
            let told_for = self.lists.known_for(node, sent.server, sent.at);
            if let Some(span) = told_for.filter(|span| *span > DRAIN_GRACE + late) {
                let is_back = self.lists.is_up_again(sent.server, sent.at);
                to_restarted += usize::from(is_back);
                let words =
                    format!("{} to s{:05} {span:.2?} after told, is back: {is_back}", sent.id, sent.server);
                broken.push(format!("{words}\n  {}", self.timeline(node, &sent)));
            }
        }
        (broken, to_restarted)
    }
}

/// Plays a seed; gives what broke.
fn play(how: Deactivation, seed: u64) -> Vec<String> {
    let world = World::start(how, seed);
    let (late, clients) = (SchedulingDelay::measure(), number_in("GLENWOOD_CLIENTS", CLIENTS_EACH));
    let a_second = number_in("GLENWOOD_REQUESTS", REQUESTS_A_SECOND);
    let pause = Duration::from_secs_f64(clients as f64 / a_second as f64);
    std::thread::scope(|scope| {
        for number in 0..world.nodes.len() * clients as usize {
            let world = &world;
            scope.spawn(move || world.ask(number, clients, pause));
        }
        let ends = Instant::now() + Duration::from_secs(number_in("GLENWOOD_SECONDS", SECONDS));
        world.remove_and_restart(how, ends, seed);
        world.ends.store(true, Ordering::SeqCst);
    });
    world.record.set_test_delay(late.longest());
    let (asked, served) = world.record.counts();
    let (mut broken, to_restarted) = world.late_sends();
    let drains = broken.len();
    let others = world.record.violations(|_, _| true);
    broken.extend(others.iter().map(ToString::to_string));
    let (calls, failed, longest) = world.lists.calls();
    println!(
        "{how:?}, seed {seed}, {} processes: drain {drains}, {to_restarted} of them at servers that were back; others {}; {served} of {asked} \
         served; {calls} calls, {failed} failed, longest wait {longest:.1?}; {} checks; {} connections; driver late by {:.0?}",
        world.nodes.len(),
        others.len(),
        world.servers.health_check_count(),
        world.servers.connection_count(),
        late.longest()
    );
    if (served as f64) < SERVED * asked as f64 {
        broken.push(format!("{served} of {asked} requests served"));
    }
    broken.iter().map(|words| format!("{how:?}, seed {seed}: {words}")).collect()
}

/// One play at a time: each is hundreds of sockets.
static ALONE: Mutex<()> = Mutex::new(());

fn hold_the_rules(how: Deactivation) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let first = number_in("GLENWOOD_FIRST", 7);
    let broken: Vec<String> =
        (first..first + number_in("GLENWOOD_SEEDS", 1)).flat_map(|seed| play(how, seed)).collect();
    assert!(
        broken.is_empty(),
        "{} breaches, among them {:#?}",
        broken.len(),
        &broken[..broken.len().min(20)]
    );
}

/// Guards against requests to a server that was removed and came back as another process, which its node has not been told.
#[test]
fn a_restarted_server_is_no_server_of_the_list_that_was_lost() {
    hold_the_rules(Deactivation::Crashed);
}

/// Guards against the same where the old process drains until the new one takes its place.
#[test]
fn a_server_that_drained_and_restarted_is_no_server_of_the_list_that_was_lost() {
    hold_the_rules(Deactivation::Draining);
}

/// Guards against requests to a removed server that answers as before, where a large fleet asks again too late.
#[test]
fn a_removed_server_that_still_answers_gets_nothing_once_it_counts_as_told() {
    hold_the_rules(Deactivation::Removed);
}
