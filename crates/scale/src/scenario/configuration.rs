//! Configuration in versions, over a source, relays and replicas: what one change costs each of them, how soon it is in force
//! everywhere, and what it costs when very many come back at once.

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

/// The whole tree by nodes.
pub const BY_NODES: &str = "configuration by nodes";
/// One replica that holds all tenants, by tenants.
pub const BY_TENANTS: &str = "configuration by tenants";

/// Nodes; the third is the full size.
pub const NODES: [usize; 4] = [300, 650, 1_300, 2_600];
/// Tenants; the last is the full size.
pub const TENANTS: [usize; 4] = [10, 1_000, 11_750, 47_000];

/// Relays: with the source they are as many machines as are set aside for control.
pub const RELAYS: usize = 8;
/// Regions that nodes and relays lie in.
pub const REGIONS: usize = 5;
/// Services that one node serves.
pub const SERVICES_OF_A_NODE: usize = 37;

/// How a publisher's message and a subscriber's are told apart.
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum Message {
    Down(Publication),
    Up(Request),
}

fn bytes(message: &Message) -> Vec<u8> {
    serde_json::to_vec(message).expect("JSON")
}

/// A node: its replica, and a memory of all that was in force there.
pub struct HollowNode {
    /// Its replica.
    pub replica: Replica,
    publishers: Vec<usize>,
    /// Whether it turns this offer down.
    pub rejects: fn(&Offer) -> bool,
    /// Every version that was in force, and since when.
    pub history: Vec<(Time, Version)>,
    /// Every version that it turned down.
    pub rejected: BTreeSet<Version>,
}

impl HollowNode {
    fn decide(&mut self, now: Time) {
        while let Some(offer) = self.replica.poll_offer() {
            if (self.rejects)(&offer) {
                self.rejected.insert(offer.version);
                self.replica.reject(now, offer.version, "not here".to_string());
            } else {
                self.history.push((now, offer.version));
                self.replica.accept(now, offer);
            }
        }
    }
}

/// One of the processes.
pub enum HollowConfiguration {
    /// The source, and what it pushed when.
    Source(Box<Source>),
    /// A relay, and whom it may follow.
    Relay(Box<Relay>, Vec<usize>),
    /// A node.
    Node(Box<HollowNode>),
}

impl HollowConfiguration {
    fn after(&mut self, now: Time, out: &mut Outbox) {
        match self {
            Self::Source(source) => {
                while let Some((to, publication)) = source.poll_transmit(now) {
                    out.send(to as usize, bytes(&Message::Down(publication)));
                    source.release_credit(to, 1);
                }
            }
            Self::Relay(relay, publishers) => {
                while let Some((to, publication)) = relay.poll_transmit(now) {
                    out.send(to as usize, bytes(&Message::Down(publication)));
                    relay.feed().release_credit(to, 1);
                }
                let publisher = publishers[relay.publisher_index()];
                while let Some(request) = relay.poll_request() {
                    out.send(publisher, bytes(&Message::Up(request)));
                }
            }
            Self::Node(node) => {
                node.decide(now);
                let publisher = node.publishers[node.replica.publisher_index()];
                while let Some(request) = node.replica.poll_request() {
                    out.send(publisher, bytes(&Message::Up(request)));
                }
            }
        }
    }
}

impl Process for HollowConfiguration {
    fn due(&self) -> Option<Time> {
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
        self.after(now, out);
    }

    fn receive(&mut self, now: Time, from: usize, bytes: &[u8], out: &mut Outbox) {
        let Ok(message) = serde_json::from_slice(bytes) else { return };
        match (&mut *self, message) {
            (Self::Source(source), Message::Up(request)) => source.receive(now, from as Subscriber, request),
            (Self::Relay(relay, _), Message::Up(request)) => {
                relay.feed().receive(now, from as Subscriber, request);
            }
            // What a publisher that was left still sends is not heard.
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
        self.after(now, out);
    }
}

/// A source, relays and nodes over a network. The source is number 0, then come the relays, then the nodes.
pub struct Fleet {
    /// The network.
    pub network: Network<HollowConfiguration>,
    /// How many nodes there are.
    pub nodes: usize,
    settings: Settings,
    scopes: Vec<Scope>,
    tenants: usize,
    /// When each version was made.
    pub pushed: BTreeMap<Version, Time>,
}

/// The name of a service.
fn service_name(number: usize) -> String {
    format!("service-{number:03}")
}

/// A tenant that uses one service.
pub fn tenant(number: usize, quota_per_s: f64, services: usize) -> Entry {
    let body = Body::Tenant(Tenant { quota_per_s, services: vec![service_name(number % services)] });
    Entry { name: format!("tenant-{number:06}"), owner: "sales".into(), body }
}

fn server(number: usize, services: usize) -> Entry {
    let body = Body::Server(Server {
        service: service_name(number % services),
        address: crate::deployment::host(number).endpoint.expect("an address").address,
        zone: format!("zone-{}", number % crate::deployment::ZONES),
        weight: 1.0,
    });
    Entry { name: format!("s-{number:08x}"), owner: "platform".into(), body }
}

/// All resources of a deployment.
pub fn resources(services: usize, tenants: usize, servers: usize) -> Resources {
    let service = |n| Entry { name: service_name(n), owner: "ops".into(), body: Body::Service(Service {}) };
    let services_all = (0..services).map(service);
    let tenants_all = (0..tenants).map(|n| tenant(n, 5.0, services));
    Resources::from_entries(services_all.chain(tenants_all).chain((0..servers).map(|n| server(n, services))))
}

impl Fleet {
    /// A fleet of the full configuration, where each node serves some of the services; none has started.
    pub fn new(nodes: usize, tenants: usize, settings: Settings, seed: u64) -> Self {
        let services = target::size("services") as usize;
        let mut random = fastrand::Rng::with_seed(seed);
        let mut scope = || {
            let mut chosen = BTreeSet::new();
            while chosen.len() < SERVICES_OF_A_NODE {
                chosen.insert(service_name(random.usize(0..services)));
            }
            Scope::Services(chosen)
        };
        let scopes = (0..nodes).map(|_| scope()).collect();
        let network = Network::new(1 + RELAYS + nodes, seed);
        Self { network, nodes, settings, scopes, tenants, pushed: BTreeMap::new() }
    }

    /// The region of a process; the source lies in the first.
    pub fn region(&self, number: usize) -> usize {
        match number {
            0 => 0,
            relay if relay <= RELAYS => (relay - 1) % REGIONS,
            node => (node - 1 - RELAYS) % REGIONS,
        }
    }

    /// The number of a node's process.
    pub fn node(&self, node: usize) -> usize {
        1 + RELAYS + node
    }

    /// Starts the source anew with the first resources there were.
    pub fn start_source(&mut self, servers: usize) {
        let services = target::size("services") as usize;
        let first = resources(services, self.tenants, servers);
        let source = Source::new(self.settings, first, 1, self.network.now).expect("valid");
        self.pushed.insert(source.head().version, self.network.now);
        self.network.start(0, HollowConfiguration::Source(Box::new(source)));
    }

    /// Starts a relay, with nothing.
    pub fn start_relay(&mut self, relay: usize) {
        let number = 1 + relay;
        let machine =
            Relay::new(&format!("relay-{relay}"), self.settings, 1, number as u64, self.network.now);
        self.network.start(number, HollowConfiguration::Relay(Box::new(machine), vec![0]));
    }

    /// Starts a node, with nothing. It follows the relays of its region first, then the others.
    pub fn start_node(&mut self, node: usize, rejects: fn(&Offer) -> bool) {
        let (number, region) = (self.node(node), self.region(self.node(node)));
        let mut publishers: Vec<usize> = (1..=RELAYS).collect();
        // Nodes of a region begin at different ones of its relays, and go to different ones of the others.
        publishers.sort_by_key(|relay| {
            let near = self.region(*relay) != region;
            (near, (relay + RELAYS - node / REGIONS % RELAYS) % RELAYS)
        });
        let seed = number as u64;
        let scope = self.scopes[node].clone();
        let replica = Replica::new(&format!("n{node}"), scope, RELAYS, seed, self.network.now);
        let hollow =
            HollowNode { replica, publishers, rejects, history: Vec::new(), rejected: BTreeSet::new() };
        self.network.start(number, HollowConfiguration::Node(Box::new(hollow)));
    }

    /// Starts everything, and lets it settle.
    ///
    /// # Panics
    /// Where it does not within a minute.
    pub fn start(&mut self, servers: usize) {
        self.start_source(servers);
        (0..RELAYS).for_each(|relay| self.start_relay(relay));
        (0..self.nodes).for_each(|node| self.start_node(node, |_| false));
        assert!(self.settle(60_000).is_some(), "the fleet settles: {} lag", self.lagging());
    }

    /// The source's position.
    ///
    /// # Panics
    /// Where it does not run.
    pub fn head(&self) -> Position {
        let Some(HollowConfiguration::Source(source)) = self.network.get(0) else {
            panic!("the source runs")
        };
        source.head()
    }

    /// The source itself.
    pub fn with_source<T>(&mut self, call: impl FnOnce(&mut Source) -> T) -> Option<T> {
        self.network.with(0, |process, now, out| {
            let HollowConfiguration::Source(source) = process else { return None };
            let result = call(source);
            process.after(now, out);
            Some(result)
        })?
    }

    /// Pushes a change of one tenant.
    ///
    /// # Panics
    /// Where the source does not take it.
    pub fn push(&mut self, number: usize, quota_per_s: f64) -> Version {
        let services = target::size("services") as usize;
        let operations = vec![Operation::Put(tenant(number, quota_per_s, services))];
        let position = self.with_source(|source| source.push(operations, None));
        let version = position.expect("the source runs").expect("valid").version;
        self.pushed.insert(version, self.network.now);
        version
    }

    /// A node.
    pub fn hollow(&self, node: usize) -> Option<&HollowNode> {
        match self.network.get(self.node(node)) {
            Some(HollowConfiguration::Node(node)) => Some(node),
            _ => None,
        }
    }

    /// How many running nodes do not have the source's version in force.
    pub fn lagging(&self) -> usize {
        let head = self.head().version;
        let running = (0..self.nodes).filter_map(|node| self.hollow(node));
        running.filter(|node| node.replica.version_in_force() != Some(head)).count()
    }

    /// Lets time pass until every running node has the source's version; how long that took, `None` where it took too long.
    pub fn settle(&mut self, most: Time) -> Option<Time> {
        let began = self.network.now;
        while self.lagging() > 0 {
            if self.network.now - began >= most {
                return None;
            }
            self.network.run(20);
        }
        Some(self.network.now - began)
    }

    /// How long after it was made each version was in force at each node that took it, or a later one; sorted.
    pub fn times_in_force(&self) -> Vec<Time> {
        let mut times = Vec::new();
        for node in (0..self.nodes).filter_map(|node| self.hollow(node)) {
            let mut history = node.history.iter().peekable();
            for (version, pushed) in &self.pushed {
                while history.peek().is_some_and(|(_, in_force)| in_force < version) {
                    history.next();
                }
                if let Some((at, _)) = history.peek() {
                    times.push(at.saturating_sub(*pushed));
                }
            }
        }
        times.sort_unstable();
        times
    }

    /// Does every running node hold just what its scope includes of the source's resources?
    pub fn agrees(&self) -> bool {
        let Some(HollowConfiguration::Source(source)) = self.network.get(0) else { return false };
        (0..self.nodes).all(|number| {
            let Some(node) = self.hollow(number) else { return true };
            let scope = &self.scopes[number];
            let wanted =
                source.resources().iter().filter(|(key, entry)| scope.includes(&key.name, &entry.body));
            wanted.eq(node.replica.resources().iter())
        })
    }

    /// What must always hold: no node went backwards within an epoch, none had a version in force that it turned down.
    pub fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        for number in 0..self.nodes {
            let Some(node) = self.hollow(number) else { continue };
            for pair in node.history.windows(2) {
                if pair[1].1 <= pair[0].1 {
                    found.push(format!("n{number} went from {} to {}", pair[0].1, pair[1].1));
                }
            }
            for (_, version) in &node.history {
                if node.rejected.contains(version) {
                    found.push(format!("n{number} serves {version}, which it turned down"));
                }
            }
        }
        found
    }
}

/// The settings of publishers in these fleets: as shipped.
pub fn settings() -> Settings {
    Settings::default()
}

/// Measures all of it.
pub fn run(report: &mut Report) {
    NODES.iter().for_each(|nodes| by_nodes(report, *nodes));
    TENANTS.iter().for_each(|tenants| by_tenants(report, *tenants));
}

/// The whole tree: the start, changes at a steady pace, and all nodes back within one second.
fn by_nodes(report: &mut Report, nodes: usize) {
    const CHANGES: usize = 100;
    const EVERY_MS: Time = 500;
    let (tenants, servers) = (target::size("tenants") as usize, target::size("servers") as usize);
    let mut fleet = Fleet::new(nodes, tenants, settings(), 1);
    fleet.start(servers);
    fleet.network.run(2_000);
    fleet.pushed.clear();
    fleet.network.reset_traffic();
    fleet.network.run(CHANGES as Time * EVERY_MS);
    let idle: Vec<_> = (0..fleet.network.len()).map(|n| fleet.network.traffic(n)).collect();
    fleet.network.reset_traffic();
    fleet.network.timed = true;
    for number in 0..CHANGES {
        fleet.push(number * 97 % tenants, 7.0);
        fleet.network.run(EVERY_MS);
    }
    let settled = fleet.settle(60_000);
    let times = fleet.times_in_force();
    let at = |part: f64| {
        times.get(((times.len() - 1) as f64 * part) as usize).map_or(f64::INFINITY, |t| *t as f64)
    };
    let busy: Vec<_> = (0..fleet.network.len()).map(|n| fleet.network.traffic(n)).collect();
    let mean = |of: std::ops::Range<usize>, value: &dyn Fn(usize) -> f64| {
        let count = of.len() as f64;
        of.map(value).sum::<f64>() / count
    };
    let (relays, all_nodes) = (1..1 + RELAYS, 1 + RELAYS..1 + RELAYS + nodes);
    let changes = CHANGES as f64;
    let seconds = (CHANGES as Time * EVERY_MS) as f64 / 1e3;
    let extra_received = |n: usize| (busy[n].received_bytes as f64 - idle[n].received_bytes as f64) / changes;
    let processor = |n: usize| busy[n].processor_ns as f64 / 1e3 / changes;
    report.add(
        BY_NODES,
        nodes as u64,
        &[
            ("in force p50 ms", at(0.5)),
            ("in force p99 ms", at(0.99)),
            ("in force p100 ms", if settled.is_some() { at(1.0) } else { f64::INFINITY }),
            ("node: bytes a change", mean(all_nodes.clone(), &extra_received)),
            (
                "node: bytes a second idle",
                mean(all_nodes.clone(), &|n| (idle[n].received_bytes + idle[n].sent_bytes) as f64 / seconds),
            ),
            ("node: processor us a change", mean(all_nodes, &processor)),
            (
                "relay: bytes sent a second idle",
                mean(relays.clone(), &|n| idle[n].sent_bytes as f64 / seconds),
            ),
            (
                "relay: bytes sent a change",
                mean(relays.clone(), &|n| (busy[n].sent_bytes as f64 - idle[n].sent_bytes as f64) / changes),
            ),
            ("relay: processor us a change", mean(relays, &processor)),
            ("source: processor us a change", processor(0)),
        ],
    );
    all_back_at_once(report, nodes, &mut fleet);
}

/// Every node is started anew, with nothing, within one second.
fn all_back_at_once(report: &mut Report, nodes: usize, fleet: &mut Fleet) {
    fleet.network.reset_traffic();
    let began = fleet.network.now;
    for node in 0..nodes {
        fleet.start_node(node, |_| false);
        if node.is_multiple_of(nodes / 20) {
            fleet.network.run(50);
        }
    }
    let settled = fleet.settle(60_000).map_or(f64::INFINITY, |_| (fleet.network.now - began) as f64 / 1e3);
    let of = |number: usize| fleet.network.traffic(number);
    let received: u64 = (0..nodes).map(|node| of(fleet.node(node)).received_bytes).sum();
    let relay = (1..=RELAYS).map(of).max_by_key(|traffic| traffic.sent_bytes).unwrap_or_default();
    report.add(
        BY_NODES,
        nodes as u64,
        &[
            ("all back: in force after s", settled),
            ("all back: bytes to a node", received as f64 / nodes as f64),
            ("all back: MB of the busiest relay", relay.sent_bytes as f64 / 1e6),
            ("all back: processor s of the busiest relay", relay.processor_ns as f64 / 1e9),
        ],
    );
}

/// One source and one replica of all tenants: what a change costs it, and what all of them take.
pub fn by_tenants(report: &mut Report, tenants: usize) {
    const CHANGES: usize = 50;
    let services = target::size("services") as usize;
    let (mut source, kept_source) =
        measure(|| Source::new(settings(), resources(services, tenants, 0), 1, 0).expect("valid"));
    let mut now = 0;
    let (mut replica, kept) = measure(|| Replica::new("n0", Scope::All, 1, 1, 0));
    let (_, taken) = measure(|| {
        while replica.version_in_force() != Some(source.head().version) {
            now += 10;
            replica.tick(now);
            exchange(&mut source, &mut replica, now);
        }
    });
    source.tick(now);
    let (mut pushes, mut changes, mut allocations, mut size) = (0.0, 0.0, 0, 0);
    for number in 0..CHANGES {
        let operations = vec![Operation::Put(tenant(number % tenants, 9.0 + number as f64, services))];
        pushes += measure(|| source.push(operations, None).expect("valid")).1.microseconds();
        now += 1;
        let text = loop {
            let (_, publication) = source.poll_transmit(now).expect("the change");
            source.release_credit(1, 1);
            if matches!(publication, Publication::Change(_)) {
                break serde_json::to_vec(&publication).expect("JSON");
            }
        };
        size += text.len();
        let (_, cost) = measure(|| {
            replica.receive(now, serde_json::from_slice(&text).expect("JSON"));
            let offer = replica.poll_offer().expect("the change");
            replica.accept(now, offer);
        });
        changes += cost.microseconds();
        allocations += cost.allocations;
    }
    let count = CHANGES as f64;
    report.add(
        BY_TENANTS,
        tenants as u64,
        &[
            ("replica: processor us a change", changes / count),
            ("replica: bytes a change", size as f64 / count),
            ("replica: allocations a change", allocations as f64 / count),
            ("replica: kept MB", megabytes(kept.kept_bytes + taken.kept_bytes)),
            ("replica: whole snapshot ms", taken.milliseconds()),
            ("source: processor us a push", pushes / count),
            ("source: kept MB", megabytes(kept_source.kept_bytes)),
        ],
    );
}

fn exchange(source: &mut Source, replica: &mut Replica, now: Time) {
    while let Some(request) = replica.poll_request() {
        source.receive(now, 1, request);
    }
    // What was pinned for a snapshot is let go.
    source.tick(now);
    while let Some((to, publication)) = source.poll_transmit(now) {
        source.release_credit(to, 1);
        replica.receive(now, publication);
        while let Some(offer) = replica.poll_offer() {
            replica.accept(now, offer);
        }
    }
}
