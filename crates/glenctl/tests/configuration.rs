//! Versioned configuration over real processes: a source, relays, and nodes under load, while publishers and
//! nodes are killed, stopped and started.
//!
//! The largest test runs 40 nodes, or the number in GLENWOOD_PROCESSES, which is set by hand on a machine
//! with room for more.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use glenwood_testkit::discovery::{active, Discovery};
use glenwood_testkit::node::{config, settings, Node, Program};
use glenwood_testkit::script::{always, Ledger, Script, Step};
use glenwood_testkit::server::{Identity, Protocol, StandIn};
use glenwood_testkit::until;
use serde_json::{json, Value};

/// Number of relays behind the source.
const RELAYS: usize = 4;
/// Time within which a change must be in force at all nodes.
const MAX_ROLLOUT_TIME: Duration = Duration::from_secs(12);

/// How long the servers of a cell remember keys.
const KEY_RETENTION: Duration = Duration::from_secs(60);
/// Number of keyed requests before and after a change.
const KEYED_REQUESTS: usize = 60;

/// Runs `glenctl`; returns whether it succeeded and everything that it printed.
fn glenctl(arguments: &[&str]) -> (bool, String) {
    let output =
        Command::new(env!("CARGO_BIN_EXE_glenctl")).args(arguments).output().expect("the process runs");
    let output_bytes = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&output_bytes).trim().to_string())
}

/// A source or relay process, killed when this is dropped.
struct Publisher {
    child: Child,
    at: SocketAddr,
}

impl Publisher {
    fn start(arguments: &[&str], listen: &str) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_glenctl"))
            .arg("publisher")
            .args(arguments)
            .args(["--listen", listen])
            .stdout(Stdio::piped())
            .spawn()
            .expect("start glenctl");
        let mut line = String::new();
        BufReader::new(child.stdout.take().expect("piped")).read_line(&mut line).expect("read its address");
        let at = line
            .split_whitespace()
            .nth(1)
            .and_then(|at| at.parse().ok())
            .expect("the line contains an address");
        Self { child, at }
    }

    fn signal(&self, signal: &str) {
        let sent = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
        assert!(sent.is_ok_and(|status| status.success()));
    }
}

impl Drop for Publisher {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A source, relays, nodes, and the stand-ins that they need.
struct Cluster {
    folder: std::path::PathBuf,
    source: Publisher,
    relays: Vec<Option<Publisher>>,
    relay_at: Vec<SocketAddr>,
    nodes: Vec<Option<Node>>,
    discovery: Discovery,
    ledger: Ledger,
    servers: Vec<StandIn>,
}

fn service(name: &str) -> Value {
    json!({"name": name, "owner": "ops", "body": {"service": {}}})
}

fn tenant(name: &str, quota_per_s: f64) -> Value {
    json!({"name": name, "owner": "sales", "body": {"tenant": {"quota_per_s": quota_per_s, "services": ["search"]}}})
}

fn class(name: &str, deadline_ms: f64) -> Value {
    json!({"name": name, "owner": "ops",
        "body": {"class": {"aim_ms": 2000.0, "deadline_ms": deadline_ms, "worth": 1.0, "effect": "safe"}}})
}

impl Cluster {
    /// A cluster with one server that serves every request.
    fn new(nodes: usize, name: &str) -> Self {
        Self::with_servers(nodes, name, &[0], &always(Step::Serve))
    }

    /// A cluster with one server in each of `cells`, all of which follow the same script.
    fn with_servers(nodes: usize, name: &str, cells: &[u64], script: &Script) -> Self {
        let folder =
            std::env::temp_dir().join(format!("glenctl-configuration-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("create the folder");
        let first = folder.join("first.json");
        let resources = json!([service("search"), service("other"), tenant("acme", 5.0)]);
        std::fs::write(&first, resources.to_string()).expect("write the file");
        let first = first.display().to_string();
        let source = Publisher::start(&["source", "--first", &first], "127.0.0.1:0");
        let upstream = source.at.to_string();
        let relay = |n: usize| {
            Publisher::start(
                &["relay", "--name", &format!("relay-{n}"), "--publisher", &upstream],
                "127.0.0.1:0",
            )
        };
        let relays: Vec<Publisher> = (0..RELAYS).map(relay).collect();
        let relay_at = relays.iter().map(|relay| relay.at).collect();
        let ledger = Ledger::new(KEY_RETENTION);
        let server = |(number, cell): (usize, &u64)| {
            let identity = Identity { name: format!("s{number}"), cell: *cell, protocol: Protocol::Http };
            StandIn::start(identity, script.clone(), ledger.clone())
        };
        let servers: Vec<StandIn> = cells.iter().enumerate().map(server).collect();
        let entries: Vec<Value> = servers.iter().map(active).collect();
        let discovery = Discovery::start(&entries);
        let relays = relays.into_iter().map(Some).collect();
        let nodes_so_far = Vec::new();
        let mut cluster =
            Self { folder, source, relays, relay_at, nodes: nodes_so_far, discovery, ledger, servers };
        cluster.nodes = (0..nodes).map(|n| Some(cluster.node(n))).collect();
        cluster
    }

    fn socket(&self, n: usize) -> String {
        self.folder.join(format!("{n}.sock")).display().to_string()
    }

    fn node(&self, n: usize) -> Node {
        let publishers: Vec<String> =
            (0..RELAYS).map(|relay| format!("'{}'", self.relay_at[(n + relay) % RELAYS])).collect();
        let operator = format!(
            "[inspect]\nsocket = '{}'\n[configuration]\npublishers = [{}]\nservices = ['search']\n",
            self.socket(n),
            publishers.join(", ")
        );
        let mut settings = settings(2000.0);
        settings["Customers"] =
            json!([{"Name": "of-the-file", "QuotaPerS": 3.0}, {"Name": "acme", "QuotaPerS": 1.0}]);
        let program = Program { path: env!("CARGO_BIN_EXE_glenctl").into(), arguments: vec!["node".into()] };
        Node::start(&program, &config(&format!("n{n}"), self.discovery.address, settings), Some(&operator))
    }

    /// The configuration part of a node's inspection report; null if it can't be read.
    fn inspect(&self, n: usize) -> Value {
        let mut text = String::new();
        let Ok(mut stream) = std::os::unix::net::UnixStream::connect(self.socket(n)) else {
            return Value::Null;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let _ = stream.read_to_string(&mut text);
        serde_json::from_str::<Value>(&text).map_or(Value::Null, |report| report["configuration"].clone())
    }

    /// Pushes a change; returns whether it was accepted, and the version or the reason.
    fn push(&self, operations: &Value) -> (bool, String) {
        let file = self.folder.join("change.json");
        std::fs::write(&file, operations.to_string()).expect("write the file");
        glenctl(&["configuration", "push", &self.source.at.to_string(), &file.display().to_string()])
    }

    /// Pushes a change that must be accepted; returns its version.
    fn push_accepted(&self, operations: &Value) -> String {
        let (taken, version) = self.push(operations);
        assert!(taken, "{version}");
        version
    }

    /// Number of running nodes that do not have this version in force.
    fn lagging(&self, version: &str) -> usize {
        let running = (0..self.nodes.len()).filter(|n| self.nodes[*n].is_some());
        running.filter(|n| self.inspect(*n)["in_force"] != version).count()
    }

    /// Waits until a version is in force at all running nodes; returns how long that took.
    fn wait_until_in_force(&self, version: &str) -> Duration {
        let began = Instant::now();
        loop {
            let lagging = self.lagging(version);
            if lagging == 0 {
                return began.elapsed();
            }
            assert!(began.elapsed() < 3 * MAX_ROLLOUT_TIME, "{lagging} nodes do not have {version}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn start_relay(&mut self, n: usize) {
        let (upstream, at) = (self.source.at.to_string(), self.relay_at[n].to_string());
        let arguments = ["relay", "--name", &format!("relay-{n}"), "--publisher", &upstream];
        self.relays[n] = Some(Publisher::start(&arguments, &at));
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Sends one request; returns the status, or `None` if no answer came.
fn ask(at: SocketAddr, txn: &str, class: &str, org: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(at).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    let request = format!(
        "GET /{class}/1 HTTP/1.1\r\nHost: x\r\nX-Txn: {txn}\r\nX-Org: {org}\r\nX-Remaining-Ms: 8000\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    answer.split_whitespace().nth(1)?.parse().ok()
}

#[test]
fn pushed_configuration_overrides_the_file_until_it_is_removed() {
    let cluster = Cluster::new(2, "counts");
    cluster.wait_until_in_force("1.0");
    let at = cluster.nodes[0].as_ref().expect("the process runs").address;
    assert_eq!(ask(at, "a1", "fresh", "acme"), Some(404), "the class does not exist yet");
    let version =
        cluster.push_accepted(&json!([{"put": class("fresh", 9000.0)}, {"put": tenant("new", 8.0)}]));
    assert_eq!(version, "1.1");
    cluster.wait_until_in_force(&version);
    assert_eq!(ask(at, "a2", "fresh", "new"), Some(200), "the pushed class is in force");
    // Reloading the file at SIGHUP does not undo a pushed change.
    let node = cluster.nodes[0].as_ref().expect("the process runs");
    let mut file = settings(2000.0);
    file["Customers"] =
        json!([{"Name": "of-the-file", "QuotaPerS": 4.0}, {"Name": "acme", "QuotaPerS": 1.0}]);
    node.reload(&config("n0", cluster.discovery.address, file));
    until("the file is reloaded", || {
        cluster.nodes[0].as_ref().is_some_and(|node| node.count_log_lines("reload: discovery is") > 0)
    });
    assert_eq!(ask(at, "a3", "fresh", "new"), Some(200), "the pushed class is still in force");
    // Pushes and file reloads at the same time.
    for n in 0..10 {
        let node = cluster.nodes[0].as_ref().expect("the process runs");
        let mut file = settings(2000.0);
        file["Customers"] = json!([{"Name": "of-the-file", "QuotaPerS": 4.0 + f64::from(n)}]);
        file["Customers"].as_array_mut().expect("a list").push(json!({"Name": "acme", "QuotaPerS": 1.0}));
        node.reload(&config("n0", cluster.discovery.address, file));
        cluster.push_accepted(&json!([{"put": tenant("new", 9.0 + f64::from(n))}]));
    }
    cluster.wait_until_in_force("1.11");
    assert_eq!(ask(at, "a4", "fresh", "new"), Some(200));
    let gone = json!([{"remove": {"key": {"kind": "class", "name": "fresh"}, "owner": "ops"}}]);
    let version = cluster.push_accepted(&gone);
    cluster.wait_until_in_force(&version);
    assert_eq!(ask(at, "a5", "fresh", "new"), Some(404), "the class is removed");
    assert_eq!(ask(at, "a6", "look", "acme"), Some(200), "the file's classes remain");
}

/// Sends one keyed request and waits for its answer.
fn pay(at: SocketAddr, key: &str) {
    let mut stream = TcpStream::connect(at).expect("the node listens");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a timeout");
    let request = format!(
        "POST /pay/1 HTTP/1.1\r\nHost: x\r\nX-Txn: t-{key}\r\nIdempotency-Key: {key}\r\nX-Remaining-Ms: 8000\r\n\
         Connection: close\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).expect("the request is written");
    stream.read_to_string(&mut String::new()).expect("the answer ends");
}

/// Sends keyed requests, each of which fails at its first server after that has carried it out. Asserts that
/// some were repeated, and that none was carried out in a second cell.
fn assert_repeats_stay_in_their_cell(cluster: &Cluster, label: &str) {
    let at = cluster.nodes[0].as_ref().expect("the process runs").address;
    let keys: Vec<String> = (0..KEYED_REQUESTS).map(|number| format!("{label}-{number}")).collect();
    keys.iter().for_each(|key| pay(at, key));
    let repeated = |key: &&String| cluster.ledger.count_of(&format!("t-{key}")).attempts > 1;
    assert!(keys.iter().any(|key| repeated(&key)), "{label}: nothing was repeated");
    let twice: Vec<&String> = keys.iter().filter(|key| cluster.ledger.runs_of_key(key) > 1).collect();
    assert!(twice.is_empty(), "{label}: carried out in two cells: {twice:?}");
}

/// Four servers in two cells that fail each request at its first attempt, after they have carried it out.
fn cluster_with_two_cells(name: &str) -> Cluster {
    let script: Script = Arc::new(|seen| match seen.earlier_attempts {
        0 => Step::Error { executed: true },
        _ => Step::Serve,
    });
    let cluster = Cluster::with_servers(1, name, &[1, 2, 1, 2], &script);
    cluster.wait_until_in_force("1.0");
    assert_repeats_stay_in_their_cell(&cluster, "before");
    cluster
}

/// Guards against keyed requests that run in two cells after a version has named listed servers, whose cells
/// it does not know.
#[test]
fn a_version_that_names_listed_servers_leaves_them_in_their_cells() {
    let cluster = cluster_with_two_cells("cells");
    let put = |(number, server): (usize, &StandIn)| {
        json!({"put": {"name": format!("s{number}"), "owner": "ops", "body": {"server": {
            "service": "search", "address": server.address, "zone": "a", "weight": 1.0 + number as f64}}}})
    };
    let version = cluster.push_accepted(&cluster.servers.iter().enumerate().map(put).collect());
    cluster.wait_until_in_force(&version);
    assert_repeats_stay_in_their_cell(&cluster, "after");
}

/// Guards against keyed requests that run in two cells after a version has changed their class, whose scope it
/// does not know.
#[test]
fn a_version_that_changes_a_keyed_class_leaves_its_scope() {
    let cluster = cluster_with_two_cells("scope");
    let class = json!({"name": "pay", "owner": "ops", "body": {"class": {
        "aim_ms": 2000.0, "deadline_ms": 15000.0, "worth": 3.0, "effect": {"keyed": {"memory_ms": 60000.0}}}}});
    let version = cluster.push_accepted(&json!([{"put": class}]));
    cluster.wait_until_in_force(&version);
    assert_repeats_stay_in_their_cell(&cluster, "after");
}

#[test]
fn a_bad_change_is_rejected_with_a_reason_and_makes_no_version() {
    let cluster = Cluster::new(1, "bad");
    cluster.wait_until_in_force("1.0");
    for (operations, reason) in [
        (json!([{"put": tenant("x", -1.0)}]), "tenant x: quota_per_s: a number from 0 on expected, not -1"),
        (
            json!([{"remove": {"key": {"kind": "service", "name": "search"}, "owner": "ops"}}]),
            "still named by 1",
        ),
        (
            json!([{"put": {"name": "x", "owner": "o", "body": {"tenant": {"quota": 1}}}}]),
            "unknown field `quota`",
        ),
        (json!([{"add": {}}]), "unknown variant `add`"),
        (json!({}), "invalid type"),
    ] {
        let (taken, output_text) = cluster.push(&operations);
        assert!(!taken && output_text.contains(reason), "{output_text}");
    }
    let (_, status) = glenctl(&["configuration", "status", &cluster.source.at.to_string()]);
    assert!(status.contains("source at 1.0"), "{status}");
    let (ok, status) = glenctl(&["configuration", "status", &cluster.relay_at[0].to_string(), "--json"]);
    assert!(ok && status.contains("\"role\":\"relay\""), "{status}");
    let relay = cluster.relay_at[0].to_string();
    let file = cluster.folder.join("change.json").display().to_string();
    std::fs::write(&file, json!([{"put": tenant("x", 1.0)}]).to_string()).expect("write the file");
    let (taken, output_text) = glenctl(&["configuration", "push", &relay, &file]);
    assert!(!taken && output_text.contains("changes are pushed to the source"), "{output_text}");
}

/// Load on all nodes that keep running. Counts the requests that got no answer or an error.
struct Load {
    stop: Arc<AtomicBool>,
    asked: Arc<AtomicUsize>,
    bad: Arc<Mutex<BTreeMap<String, usize>>>,
    clients: Vec<std::thread::JoinHandle<()>>,
}

impl Load {
    fn start(cluster: &Cluster, excluded: &[usize]) -> Self {
        let load =
            Self { stop: Arc::default(), asked: Arc::default(), bad: Arc::default(), clients: Vec::new() };
        let at: Vec<SocketAddr> = (0..cluster.nodes.len())
            .filter(|n| !excluded.contains(n))
            .filter_map(|n| cluster.nodes[n].as_ref().map(|node| node.address))
            .collect();
        let client = |which: usize| {
            let (stop, asked, bad, at) =
                (load.stop.clone(), load.asked.clone(), load.bad.clone(), at.clone());
            std::thread::spawn(move || {
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let answer =
                        ask(at[(which + 4 * n) % at.len()], &format!("l{which}-{n}"), "look", "acme");
                    asked.fetch_add(1, Ordering::Relaxed);
                    if answer != Some(200) {
                        let mut bad = bad.lock().unwrap_or_else(PoisonError::into_inner);
                        *bad.entry(format!("{answer:?}")).or_default() += 1;
                    }
                }
            })
        };
        let clients = (0..4).map(client).collect();
        Self { clients, ..load }
    }

    fn end(self) -> (usize, BTreeMap<String, usize>) {
        self.stop.store(true, Ordering::Relaxed);
        self.clients.into_iter().for_each(|client| client.join().expect("the client ends"));
        let bad = self.bad.lock().unwrap_or_else(PoisonError::into_inner).clone();
        (self.asked.load(Ordering::Relaxed), bad)
    }
}

#[test]
fn each_change_is_in_force_at_many_loaded_nodes_in_time_despite_failing_relays_and_nodes() {
    let count = std::env::var("GLENWOOD_PROCESSES").ok().and_then(|n| n.parse().ok()).unwrap_or(40);
    let mut cluster = Cluster::new(count, "many");
    cluster.wait_until_in_force("1.0");
    // These nodes are killed below, so the load leaves them out.
    let excluded: Vec<usize> = (0..count).step_by(8).collect();
    let load = Load::start(&cluster, &excluded);
    let mut slowest = Duration::ZERO;
    let mut check = |cluster: &Cluster, what: &str, quota: f64| {
        let began = Instant::now();
        let version = cluster.push_accepted(&json!([{"put": tenant("acme", quota)}]));
        cluster.wait_until_in_force(&version);
        let took = began.elapsed();
        assert!(took <= MAX_ROLLOUT_TIME, "{what}: {took:?}");
        slowest = slowest.max(took);
        version
    };
    check(&cluster, "no fault", 6.0);
    for relay in 0..RELAYS {
        // The relay is killed while it passes a change on.
        cluster.push_accepted(&json!([{"put": tenant("acme", 7.0 + relay as f64)}]));
        cluster.relays[relay] = None;
        check(&cluster, "a relay is killed", 8.0);
        cluster.start_relay(relay);
        check(&cluster, "the relay is back", 9.0);
    }
    // One relay is stopped for longer than its subscribers wait.
    cluster.relays[0].as_ref().expect("the process runs").signal("-STOP");
    check(&cluster, "a relay is stopped", 10.0);
    cluster.relays[0].as_ref().expect("the process runs").signal("-CONT");
    check(&cluster, "the relay continues", 11.0);
    // Every eighth node is killed and started again.
    for node in &excluded {
        cluster.nodes[*node] = None;
    }
    let head = check(&cluster, "nodes are killed", 12.0);
    for node in &excluded {
        let started = cluster.node(*node);
        cluster.nodes[*node] = Some(started);
    }
    // A process computes the digest of its executable when it is first inspected. For many processes that
    // takes longer than the limit for a change, so this waits without the limit.
    cluster.wait_until_in_force(&head);
    check(&cluster, "nodes are back", 13.0);
    // The source stops: all nodes keep their configuration and report its age.
    let head = check(&cluster, "before the source stops", 14.0);
    cluster.source.signal("-STOP");
    until("nodes report the age of their configuration", || {
        cluster.inspect(1)["age_ms"].as_u64().is_some_and(|age| age > 3_000)
    });
    assert_eq!(cluster.lagging(&head), 0, "the version stays in force");
    cluster.source.signal("-CONT");
    check(&cluster, "the source continues", 15.0);
    let (asked, bad) = load.end();
    assert!(bad.is_empty(), "{bad:?} of {asked} requests");
    println!("{count} nodes, {RELAYS} relays: the slowest change was in force everywhere after {slowest:?}; {asked} requests, all served");
}

/// Nodes do not revert when the source comes back with an older log, and the source rejects changes until an
/// operator begins a new epoch.
#[test]
fn a_source_restarted_with_an_older_log_waits_for_an_operator() {
    let mut cluster = Cluster::new(3, "older");
    cluster.wait_until_in_force("1.0");
    let later = cluster.push_accepted(&json!([{"put": tenant("acme", 6.0)}]));
    cluster.wait_until_in_force(&later);
    let (at, first) =
        (cluster.source.at.to_string(), cluster.folder.join("first.json").display().to_string());
    cluster.source.signal("-KILL");
    let _ = cluster.source.child.wait();
    cluster.source = Publisher::start(&["source", "--first", &first], &at);
    let source = cluster.source.at.to_string();
    let refused = || {
        let (taken, output_text) = cluster.push(&json!([{"put": tenant("acme", 7.0)}]));
        !taken && output_text.contains("older log")
    };
    until("the source learns of later versions", refused);
    assert_eq!(cluster.lagging(&later), 0, "no node reverted");
    let (begun, epoch) = glenctl(&["configuration", "begin-epoch", &source, "--go-back"]);
    assert!(begun && epoch == "2.0", "{epoch}");
    cluster.wait_until_in_force("2.0");
    let next = cluster.push_accepted(&json!([{"put": tenant("acme", 8.0)}]));
    cluster.wait_until_in_force(&next);
}
