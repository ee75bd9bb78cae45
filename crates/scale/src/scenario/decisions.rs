//! Decisions: by the servers of one rotation, by rotations (one for each service), and what a request waits at an idle node by the
//! nodes that share a small service.

use glenwood_policy::{Action, Balancer, Entry, Event, Listed, Outcome, RequestId, ServerId};
use glenwood_settings::NodeSettings;

use crate::deployment;
use crate::measure::{measure, median};
use crate::report::Report;
use crate::scenario::{megabytes, REPEATS};
use crate::target;

/// Decisions by the servers of one rotation.
pub const BY_SERVERS: &str = "decisions by servers in one rotation";
/// Decisions by the number of rotations, each of as many servers as a service has on average.
pub const BY_SERVICES: &str = "decisions by services at a node";
/// What a request waits with no load at all, by the nodes that stand before one service.
pub const IDLE_WAIT: &str = "idle wait by nodes before a service";

/// Servers of one rotation; the last is all there are.
pub const SERVERS: [usize; 5] = [12, 100, 1_000, 5_000, 13_000];
/// Services at one node; the last is all there are.
pub const SERVICES: [usize; 4] = [1, 14, 70, 560];
/// Nodes before one service; the last is all there are.
pub const NODES: [usize; 7] = [80, 160, 300, 600, 800, 1_000, 1_300];

/// How long a server takes, in milliseconds.
const SERVICE_TIME: f64 = 0.8;
/// How many requests are decided on in one measurement.
const BATCH: usize = 200;

/// How many servers a service has on average.
pub fn servers_per_service() -> usize {
    (target::size("servers") / target::size("services")).round() as usize
}

/// One rotation in virtual time, whose servers answer at once.
struct Rotation {
    balancer: Balancer,
    now: f64,
    next: u64,
    actions: Vec<Action>,
}

impl Rotation {
    fn new(nodes: usize, servers: usize) -> Self {
        let settings =
            NodeSettings::from_value(&deployment::settings(nodes, 10)).expect("good settings").policy;
        let mut rotation = Self {
            balancer: Balancer::new(settings, 7).expect("good settings"),
            now: 1_000_000.0,
            next: 0,
            actions: Vec::new(),
        };
        let entry = |n: usize| Entry {
            server: ServerId(n as u64 * 0x9E37_79B9),
            zone: (n % deployment::ZONES) as u64,
            cell: (n % 40) as u64,
            kind: 1,
            state: Listed::Up,
            weight: 1.0,
            started_at: None,
        };
        let entries = (0..servers).map(entry).collect();
        rotation.tell(Event::List { entries, saved: false });
        rotation
    }

    fn tell(&mut self, event: Event) {
        self.balancer.handle(self.now, event, &mut self.actions);
    }

    /// One request from its arrival to its answer; gives how long it waited before it was sent, in milliseconds; `None` where it was
    /// not sent.
    fn request(&mut self) -> Option<f64> {
        self.next += 1;
        let id = RequestId(self.next);
        let came = self.now;
        self.actions.clear();
        self.tell(Event::Request {
            id,
            class: 0,
            tenant: Some(self.next as usize % 10),
            deadline: came + 450.0,
            repeat_key: None,
            work: None,
            in_share: None,
            prior_attempts: None,
        });
        loop {
            let (mut sent, mut timer) = (None, None);
            for action in std::mem::take(&mut self.actions) {
                match action {
                    Action::Send { server, .. } => sent = Some(server),
                    Action::Refuse { .. } | Action::Fail(_) => return None,
                    Action::SetTimer(after) => timer = Some(after),
                    _ => {}
                }
            }
            if let Some(server) = sent {
                let waited = self.now - came;
                self.now += SERVICE_TIME;
                let outcome = Outcome::Done;
                let ended =
                    Event::Ended { id, attempt: 0, server, outcome, duration: SERVICE_TIME, finished: true };
                self.tell(ended);
                return Some(waited);
            }
            self.now += timer?;
            self.tell(Event::Timer);
        }
    }
}

/// Measures all of it.
pub fn run(report: &mut Report) {
    by_servers(report, &SERVERS);
    by_services(report, &SERVICES);
    idle_wait(report, &NODES);
}

/// Decisions with all servers in one rotation: the node is the only one, so it rotates over all of them.
pub fn by_servers(report: &mut Report, sizes: &[usize]) {
    for servers in sizes.iter().copied() {
        let (mut rotation, cost) = measure(|| Rotation::new(1, servers));
        (0..BATCH).for_each(|_| {
            rotation.request();
        });
        let batch = |_| {
            measure(|| {
                (0..BATCH).for_each(|_| {
                    rotation.request();
                })
            })
            .1
        };
        let times: Vec<_> = (0..REPEATS).map(batch).collect();
        let each = median(times.iter().map(|cost| cost.microseconds() / BATCH as f64).collect());
        let allocations = times[REPEATS - 1].allocations as f64 / BATCH as f64;
        report.add(
            BY_SERVERS,
            servers as u64,
            &[
                ("request and answer us", each),
                ("allocations a request", allocations),
                ("kept MB", megabytes(cost.kept_bytes)),
            ],
        );
    }
}

/// Decisions with one rotation for each service, asked in turn.
pub fn by_services(report: &mut Report, sizes: &[usize]) {
    for services in sizes.iter().copied() {
        let build = || (0..services).map(|_| Rotation::new(1, servers_per_service())).collect::<Vec<_>>();
        let (mut rotations, cost) = measure(build);
        rotations.iter_mut().for_each(|rotation| {
            rotation.request();
        });
        let batch = |_| {
            let requests = || {
                (0..4 * BATCH).for_each(|n| {
                    rotations[n % services].request();
                })
            };
            measure(requests).1
        };
        let times: Vec<_> = (0..REPEATS).map(batch).collect();
        let each = median(times.iter().map(|cost| cost.microseconds() / (4 * BATCH) as f64).collect());
        report.add(
            BY_SERVICES,
            services as u64,
            &[("request and answer us", each), ("kept MB", megabytes(cost.kept_bytes))],
        );
    }
}

/// One request after another at an idle node before as many servers as a service has: what they wait, and how many are not served.
pub fn idle_wait(report: &mut Report, sizes: &[usize]) {
    const REQUESTS: usize = 2_000;
    for nodes in sizes.iter().copied() {
        let mut rotation = Rotation::new(nodes, servers_per_service());
        let waits: Vec<Option<f64>> = (0..REQUESTS).map(|_| rotation.request()).collect();
        let refused = waits.iter().filter(|wait| wait.is_none()).count();
        let mut waits: Vec<f64> = waits.into_iter().flatten().collect();
        waits.sort_by(f64::total_cmp);
        let late = waits.iter().filter(|wait| **wait > 0.0).count();
        report.add(
            IDLE_WAIT,
            nodes as u64,
            &[
                ("wait p99 ms", waits.get(waits.len() * 99 / 100).copied().unwrap_or(f64::INFINITY)),
                ("requests that wait %", 100.0 * late as f64 / REQUESTS as f64),
                ("requests refused %", 100.0 * refused as f64 / REQUESTS as f64),
            ],
        );
    }
}
