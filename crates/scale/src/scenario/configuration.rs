//! Versioned configuration with a source, relays and replicas: the cost of a change for each of them, the
//! time until it is in force everywhere, and the cost if all nodes restart at once.

use std::collections::{BTreeMap, BTreeSet};

use glenwood_configuration::feed::{Settings, Subscriber};
use glenwood_configuration::replica::Offer;
use glenwood_configuration::resource::{Server, Service, Tenant};
use glenwood_configuration::resources::Resources;
use glenwood_configuration::{
    Body, Entry, Operation, Position, Publication, Relay, Replica, Request, Scope, Source, Version,
};
use serde::{Deserialize, Serialize};

use crate::measure::measure;
use crate::network::{Network, Outbox, Process, Time};
use crate::report::Report;
use crate::scenario::megabytes;
use crate::target;

/// Varies the number of nodes, with the whole tree of source, relays and nodes.
pub const BY_NODES: &str = "configuration by nodes";
/// Varies the number of tenants, with one replica that has all of them.
pub const BY_TENANTS: &str = "configuration by tenants";

/// Numbers of nodes; the third is the full size.
pub const NODES: [usize; 4] = [300, 650, 1_300, 2_600];
/// Numbers of tenants; the last is the full size.
pub const TENANTS: [usize; 4] = [10, 1_000, 11_750, 47_000];

/// Number of relays. With the source, this is the number of machines reserved for control.
pub const RELAYS: usize = 8;
/// Number of regions that nodes and relays are spread over.
pub const REGIONS: usize = 5;
/// Number of services that one node serves.
pub const SERVICES_PER_NODE: usize = 37;

/// A message on the simulated network: down from a publisher, or up from a subscriber.
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum Message {
    Down(Publication),
    Up(Request),
}

fn encode(message: &Message) -> Vec<u8> {
    serde_json::to_vec(message).expect("JSON")
}

/// A node with its replica and the history of the versions in force.
pub struct SimulatedNode {
    /// The replica.
    pub replica: Replica,
    publishers: Vec<usize>,
    /// Decides whether the node rejects an offer.
    pub rejects: fn(&Offer) -> bool,
    /// All versions that were in force, with the time at which each came into force.
    pub history: Vec<(Time, Version)>,
    /// All versions that the node rejected.
    pub rejected: BTreeSet<Version>,
}

impl SimulatedNode {
    fn decide_offers(&mut self, now: Time) {
        while let Some(offer) = self.replica.poll_offer() {
            if (self.rejects)(&offer) {
                self.rejected.insert(offer.version);
                self.replica.reject(now, offer.version, "rejected by this node".to_string());
            } else {
                self.history.push((now, offer.version));
                self.replica.accept(now, offer);
            }
        }
    }
}

/// One process of the fleet.
pub enum SimulatedConfiguration {
    /// The source.
    Source(Box<Source>),
    /// A relay, and the processes that it may follow as publishers.
    Relay(Box<Relay>, Vec<usize>),
    /// A node.
    Node(Box<SimulatedNode>),
}

impl SimulatedConfiguration {
    fn process_output(&mut self, now: Time, out: &mut Outbox) {
        match self {
            Self::Source(source) => {
                while let Some((to, publication)) = source.poll_transmit(now) {
                    out.send(to as usize, encode(&Message::Down(publication)));
                    source.release_credit(to, 1);
                }
            }
            Self::Relay(relay, publishers) => {
                while let Some((to, publication)) = relay.poll_transmit(now) {
                    out.send(to as usize, encode(&Message::Down(publication)));
                    relay.feed().release_credit(to, 1);
                }
                let publisher = publishers[relay.publisher_index()];
                while let Some(request) = relay.poll_request() {
                    out.send(publisher, encode(&Message::Up(request)));
                }
            }
            Self::Node(node) => {
                node.decide_offers(now);
                let publisher = node.publishers[node.replica.publisher_index()];
                while let Some(request) = node.replica.poll_request() {
                    out.send(publisher, encode(&Message::Up(request)));
                }
            }
        }
    }
}

impl Process for SimulatedConfiguration {
    fn wake_at(&self) -> Option<Time> {
        match self {
            Self::Source(source) => source.next_wakeup(),
            Self::Relay(relay, _) => Some(relay.next_wakeup()),
            Self::Node(node) => Some(node.replica.next_wakeup()),
        }
    }

    fn wake(&mut self, now: Time, out: &mut Outbox) {
        match self {
            Self::Source(source) => source.tick(now),
            Self::Relay(relay, _) => relay.tick(now),
            Self::Node(node) => node.replica.tick(now),
        }
        self.process_output(now, out);
    }

    fn receive(&mut self, now: Time, from: usize, bytes: &[u8], out: &mut Outbox) {
        let Ok(message) = serde_json::from_slice(bytes) else { return };
        match (&mut *self, message) {
            (Self::Source(source), Message::Up(request)) => source.receive(now, from as Subscriber, request),
            (Self::Relay(relay, _), Message::Up(request)) => {
                relay.feed().receive(now, from as Subscriber, request);
            }
            // Messages from a publisher that is no longer followed are ignored.
            (Self::Relay(relay, publishers), Message::Down(publication))
                if publishers[relay.publisher_index()] == from =>
            {
                relay.receive(now, publication);
            }
            (Self::Node(node), Message::Down(publication))
                if node.publishers[node.replica.publisher_index()] == from =>
            {
                node.replica.receive(now, publication);
            }
            _ => {}
        }
        self.process_output(now, out);
    }
}

/// A source, relays and nodes on a simulated network. The source has index 0, followed by the relays and then
/// the nodes.
pub struct Fleet {
    /// The network.
    pub network: Network<SimulatedConfiguration>,
    /// Number of nodes.
    pub nodes: usize,
    settings: Settings,
    scopes: Vec<Scope>,
    tenants: usize,
    /// The time at which each version was pushed.
    pub pushed_at: BTreeMap<Version, Time>,
}

/// Name of a service.
fn service_name(number: usize) -> String {
    format!("service-{number:03}")
}

/// An entry for a tenant that uses one service.
pub fn tenant(number: usize, quota_per_s: f64, services: usize) -> Entry {
    let body = Body::Tenant(Tenant { quota_per_s, services: vec![service_name(number % services)] });
    Entry { name: format!("tenant-{number:06}"), owner: "sales".into(), body }
}

fn server(number: usize, services: usize) -> Entry {
    let body = Body::Server(Server {
        service: service_name(number % services),
        address: crate::deployment::list_entry(number).endpoint.expect("valid address").address,
        zone: format!("zone-{}", number % crate::deployment::ZONES),
        weight: 1.0,
    });
    Entry { name: format!("s-{number:08x}"), owner: "platform".into(), body }
}

/// All resources of a deployment.
pub fn resources(services: usize, tenants: usize, servers: usize) -> Resources {
    let service = |n| Entry { name: service_name(n), owner: "ops".into(), body: Body::Service(Service {}) };
    let all_services = (0..services).map(service);
    let all_tenants = (0..tenants).map(|n| tenant(n, 5.0, services));
    Resources::from_entries(all_services.chain(all_tenants).chain((0..servers).map(|n| server(n, services))))
}

impl Fleet {
    /// Creates a fleet with the full configuration, in which each node serves some of the services. No
    /// process is started yet.
    pub fn new(nodes: usize, tenants: usize, settings: Settings, seed: u64) -> Self {
        let services = target::size("services") as usize;
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut scope = || {
            let mut chosen = BTreeSet::new();
            while chosen.len() < SERVICES_PER_NODE {
                chosen.insert(service_name(rng.usize(0..services)));
            }
            Scope::Services(chosen)
        };
        let scopes = (0..nodes).map(|_| scope()).collect();
        let network = Network::new(1 + RELAYS + nodes, seed);
        Self { network, nodes, settings, scopes, tenants, pushed_at: BTreeMap::new() }
    }

    /// The region of a process; the source is in region 0.
    pub fn region(&self, index: usize) -> usize {
        match index {
            0 => 0,
            relay if relay <= RELAYS => (relay - 1) % REGIONS,
            node => (node - 1 - RELAYS) % REGIONS,
        }
    }

    /// Index of the process of a node.
    pub fn node_index(&self, node: usize) -> usize {
        1 + RELAYS + node
    }

    /// Starts the source, or restarts it with the initial resources.
    pub fn start_source(&mut self, servers: usize) {
        let services = target::size("services") as usize;
        let initial = resources(services, self.tenants, servers);
        let source = Source::new(self.settings, initial, 1, self.network.now).expect("valid resources");
        self.pushed_at.insert(source.head().version, self.network.now);
        self.network.start(0, SimulatedConfiguration::Source(Box::new(source)));
    }

    /// Starts a relay without any state.
    pub fn start_relay(&mut self, relay: usize) {
        let index = 1 + relay;
        let relay_machine =
            Relay::new(&format!("relay-{relay}"), self.settings, 1, index as u64, self.network.now);
        self.network.start(index, SimulatedConfiguration::Relay(Box::new(relay_machine), vec![0]));
    }

    /// Starts a node without any state. It follows the relays of its own region first, then the others.
    pub fn start_node(&mut self, node: usize, rejects: fn(&Offer) -> bool) {
        let (index, region) = (self.node_index(node), self.region(self.node_index(node)));
        let mut publishers: Vec<usize> = (1..=RELAYS).collect();
        // The nodes of a region start with different relays of that region, and fail over to different relays
        // of the other regions.
        publishers.sort_by_key(|relay| {
            let other_region = self.region(*relay) != region;
            (other_region, (relay + RELAYS - node / REGIONS % RELAYS) % RELAYS)
        });
        let seed = index as u64;
        let scope = self.scopes[node].clone();
        let replica = Replica::new(&format!("n{node}"), scope, RELAYS, seed, self.network.now);
        let simulated_node =
            SimulatedNode { replica, publishers, rejects, history: Vec::new(), rejected: BTreeSet::new() };
        self.network.start(index, SimulatedConfiguration::Node(Box::new(simulated_node)));
    }

    /// Starts all processes and waits until every node has the source's version.
    ///
    /// # Panics
    /// If this takes more than a minute.
    pub fn start(&mut self, servers: usize) {
        self.start_source(servers);
        (0..RELAYS).for_each(|relay| self.start_relay(relay));
        (0..self.nodes).for_each(|node| self.start_node(node, |_| false));
        assert!(
            self.settle(60_000).is_some(),
            "the fleet does not settle: {} nodes lag behind",
            self.lagging()
        );
    }

    /// The position of the source.
    ///
    /// # Panics
    /// If the source is not running.
    pub fn head(&self) -> Position {
        let Some(SimulatedConfiguration::Source(source)) = self.network.get(0) else {
            panic!("the source is not running")
        };
        source.head()
    }

    /// Calls a function on the source; `None` if it is not running.
    pub fn with_source<T>(&mut self, call: impl FnOnce(&mut Source) -> T) -> Option<T> {
        self.network.with(0, |process, now, out| {
            let SimulatedConfiguration::Source(source) = process else { return None };
            let result = call(source);
            process.process_output(now, out);
            Some(result)
        })?
    }

    /// Pushes a change of one tenant.
    ///
    /// # Panics
    /// If the source rejects it.
    pub fn push(&mut self, number: usize, quota_per_s: f64) -> Version {
        let services = target::size("services") as usize;
        let operations = vec![Operation::Put(tenant(number, quota_per_s, services))];
        let position = self.with_source(|source| source.push(operations, None));
        let version = position.expect("the source is running").expect("valid change").version;
        self.pushed_at.insert(version, self.network.now);
        version
    }

    /// The node, if it is running.
    pub fn running_node(&self, node: usize) -> Option<&SimulatedNode> {
        match self.network.get(self.node_index(node)) {
            Some(SimulatedConfiguration::Node(node)) => Some(node),
            _ => None,
        }
    }

    /// Number of running nodes on which the source's version is not in force.
    pub fn lagging(&self) -> usize {
        let head = self.head().version;
        let running = (0..self.nodes).filter_map(|node| self.running_node(node));
        running.filter(|node| node.replica.version_in_force() != Some(head)).count()
    }

    /// Runs until every running node has the source's version in force. Returns the time that it took, or
    /// `None` after the timeout.
    pub fn settle(&mut self, timeout: Time) -> Option<Time> {
        let started_at = self.network.now;
        while self.lagging() > 0 {
            if self.network.now - started_at >= timeout {
                return None;
            }
            self.network.run(20);
        }
        Some(self.network.now - started_at)
    }

    /// For each version and each running node, the time from the push until this version or a later one was
    /// in force; sorted.
    pub fn times_in_force(&self) -> Vec<Time> {
        let mut times = Vec::new();
        for node in (0..self.nodes).filter_map(|node| self.running_node(node)) {
            let mut history = node.history.iter().peekable();
            for (version, pushed_at) in &self.pushed_at {
                while history.peek().is_some_and(|(_, version_in_force)| version_in_force < version) {
                    history.next();
                }
                if let Some((at, _)) = history.peek() {
                    times.push(at.saturating_sub(*pushed_at));
                }
            }
        }
        times.sort_unstable();
        times
    }

    /// Returns true if every running node has exactly those resources of the source that its scope includes.
    pub fn matches_source(&self) -> bool {
        let Some(SimulatedConfiguration::Source(source)) = self.network.get(0) else { return false };
        (0..self.nodes).all(|number| {
            let Some(node) = self.running_node(number) else { return true };
            let scope = &self.scopes[number];
            let wanted =
                source.resources().iter().filter(|(key, entry)| scope.includes(&key.name, &entry.body));
            wanted.eq(node.replica.resources().iter())
        })
    }

    /// Violations of the invariants: within an epoch no node goes back to an older version, and no node has a
    /// version in force that it rejected.
    pub fn violations(&self) -> Vec<String> {
        let mut violations_found = Vec::new();
        for number in 0..self.nodes {
            let Some(node) = self.running_node(number) else { continue };
            for pair in node.history.windows(2) {
                if pair[1].1 <= pair[0].1 {
                    violations_found.push(format!("n{number} went back from {} to {}", pair[0].1, pair[1].1));
                }
            }
            for (_, version) in &node.history {
                if node.rejected.contains(version) {
                    violations_found.push(format!("n{number} has {version} in force, which it rejected"));
                }
            }
        }
        violations_found
    }
}

/// Settings of the publishers: the defaults, as shipped.
pub fn settings() -> Settings {
    Settings::default()
}

/// Runs all measurements of this scenario.
pub fn run(report: &mut Report) {
    NODES.iter().for_each(|nodes| by_nodes(report, *nodes));
    TENANTS.iter().for_each(|tenants| by_tenants(report, *tenants));
}

/// Measures the whole tree: while idle, with changes at a constant rate, and with a restart of all nodes
/// within one second.
fn by_nodes(report: &mut Report, nodes: usize) {
    const CHANGES: usize = 100;
    const CHANGE_INTERVAL_MS: Time = 500;
    let (tenants, servers) = (target::size("tenants") as usize, target::size("servers") as usize);
    let mut fleet = Fleet::new(nodes, tenants, settings(), 1);
    fleet.start(servers);
    fleet.network.run(2_000);
    fleet.pushed_at.clear();
    fleet.network.reset_traffic();
    fleet.network.run(CHANGES as Time * CHANGE_INTERVAL_MS);
    let idle: Vec<_> = (0..fleet.network.len()).map(|n| fleet.network.traffic(n)).collect();
    fleet.network.reset_traffic();
    fleet.network.measure_cpu_time = true;
    for number in 0..CHANGES {
        fleet.push(number * 97 % tenants, 7.0);
        fleet.network.run(CHANGE_INTERVAL_MS);
    }
    let settle_time = fleet.settle(60_000);
    let times = fleet.times_in_force();
    let percentile = |fraction: f64| {
        times.get(((times.len() - 1) as f64 * fraction) as usize).map_or(f64::INFINITY, |t| *t as f64)
    };
    let busy: Vec<_> = (0..fleet.network.len()).map(|n| fleet.network.traffic(n)).collect();
    let mean = |indices: std::ops::Range<usize>, value: &dyn Fn(usize) -> f64| {
        let count = indices.len() as f64;
        indices.map(value).sum::<f64>() / count
    };
    let (relays, all_nodes) = (1..1 + RELAYS, 1 + RELAYS..1 + RELAYS + nodes);
    let changes = CHANGES as f64;
    let seconds = (CHANGES as Time * CHANGE_INTERVAL_MS) as f64 / 1e3;
    let extra_received = |n: usize| (busy[n].received_bytes as f64 - idle[n].received_bytes as f64) / changes;
    let cpu_us = |n: usize| busy[n].cpu_ns as f64 / 1e3 / changes;
    report.add(
        BY_NODES,
        nodes as u64,
        &[
            ("in force p50 ms", percentile(0.5)),
            ("in force p99 ms", percentile(0.99)),
            ("in force p100 ms", if settle_time.is_some() { percentile(1.0) } else { f64::INFINITY }),
            ("node: bytes a change", mean(all_nodes.clone(), &extra_received)),
            (
                "node: bytes a second idle",
                mean(all_nodes.clone(), &|n| (idle[n].received_bytes + idle[n].sent_bytes) as f64 / seconds),
            ),
            ("node: processor us a change", mean(all_nodes, &cpu_us)),
            (
                "relay: bytes sent a second idle",
                mean(relays.clone(), &|n| idle[n].sent_bytes as f64 / seconds),
            ),
            (
                "relay: bytes sent a change",
                mean(relays.clone(), &|n| (busy[n].sent_bytes as f64 - idle[n].sent_bytes as f64) / changes),
            ),
            ("relay: processor us a change", mean(relays, &cpu_us)),
            ("source: processor us a change", cpu_us(0)),
        ],
    );
    restart_all_at_once(report, nodes, &mut fleet);
}

/// Restarts all nodes within one second, without any state.
fn restart_all_at_once(report: &mut Report, nodes: usize, fleet: &mut Fleet) {
    fleet.network.reset_traffic();
    let started_at = fleet.network.now;
    for node in 0..nodes {
        fleet.start_node(node, |_| false);
        if node.is_multiple_of(nodes / 20) {
            fleet.network.run(50);
        }
    }
    let settle_time =
        fleet.settle(60_000).map_or(f64::INFINITY, |_| (fleet.network.now - started_at) as f64 / 1e3);
    let process_traffic = |index: usize| fleet.network.traffic(index);
    let received: u64 = (0..nodes).map(|node| process_traffic(fleet.node_index(node)).received_bytes).sum();
    let busiest_relay =
        (1..=RELAYS).map(process_traffic).max_by_key(|traffic| traffic.sent_bytes).unwrap_or_default();
    report.add(
        BY_NODES,
        nodes as u64,
        &[
            ("all back: in force after s", settle_time),
            ("all back: bytes to a node", received as f64 / nodes as f64),
            ("all back: MB of the busiest relay", busiest_relay.sent_bytes as f64 / 1e6),
            ("all back: processor s of the busiest relay", busiest_relay.cpu_ns as f64 / 1e9),
        ],
    );
}

/// Measures one source and one replica with all tenants: the cost of a change and of a full snapshot.
pub fn by_tenants(report: &mut Report, tenants: usize) {
    const CHANGES: usize = 50;
    let services = target::size("services") as usize;
    let (mut source, source_cost) =
        measure(|| Source::new(settings(), resources(services, tenants, 0), 1, 0).expect("valid resources"));
    let mut now = 0;
    let (mut replica, replica_cost) = measure(|| Replica::new("n0", Scope::All, 1, 1, 0));
    let (_, snapshot_cost) = measure(|| {
        while replica.version_in_force() != Some(source.head().version) {
            now += 10;
            replica.tick(now);
            exchange(&mut source, &mut replica, now);
        }
    });
    source.tick(now);
    let (mut push_us, mut apply_us, mut allocations, mut change_bytes) = (0.0, 0.0, 0, 0);
    for number in 0..CHANGES {
        let operations = vec![Operation::Put(tenant(number % tenants, 9.0 + number as f64, services))];
        push_us += measure(|| source.push(operations, None).expect("valid change")).1.cpu_us();
        now += 1;
        let text = loop {
            let (_, publication) = source.poll_transmit(now).expect("the change is sent");
            source.release_credit(1, 1);
            if matches!(publication, Publication::Change(_)) {
                break serde_json::to_vec(&publication).expect("JSON");
            }
        };
        change_bytes += text.len();
        let (_, cost) = measure(|| {
            replica.receive(now, serde_json::from_slice(&text).expect("JSON"));
            let offer = replica.poll_offer().expect("the change is offered");
            replica.accept(now, offer);
        });
        apply_us += cost.cpu_us();
        allocations += cost.allocations;
    }
    let count = CHANGES as f64;
    report.add(
        BY_TENANTS,
        tenants as u64,
        &[
            ("replica: processor us a change", apply_us / count),
            ("replica: bytes a change", change_bytes as f64 / count),
            ("replica: allocations a change", allocations as f64 / count),
            ("replica: kept MB", megabytes(replica_cost.retained_bytes + snapshot_cost.retained_bytes)),
            ("replica: whole snapshot ms", snapshot_cost.cpu_ms()),
            ("source: processor us a push", push_us / count),
            ("source: kept MB", megabytes(source_cost.retained_bytes)),
        ],
    );
}

fn exchange(source: &mut Source, replica: &mut Replica, now: Time) {
    while let Some(request) = replica.poll_request() {
        source.receive(now, 1, request);
    }
    // Releases the resources that are pinned for a snapshot.
    source.tick(now);
    while let Some((to, publication)) = source.poll_transmit(now) {
        source.release_credit(to, 1);
        replica.receive(now, publication);
        while let Some(offer) = replica.poll_offer() {
            replica.accept(now, offer);
        }
    }
}
