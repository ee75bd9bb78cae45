//! Decisions by the number of servers in one rotation and by the number of rotations (one for each service),
//! and the time that a request waits at an idle node by the number of nodes that share a small service.

use glenwood_policy::{Action, Balancer, Entry, Event, Listed, Outcome, RequestId, ServerId};
use glenwood_settings::NodeSettings;

use crate::deployment;
use crate::measure::{measure, median};
use crate::report::Report;
use crate::scenario::{megabytes, SAMPLES};
use crate::target;

/// Varies the number of servers in one rotation.
pub const BY_SERVERS: &str = "decisions by servers in one rotation";
/// Varies the number of rotations, each with the average number of servers of a service.
pub const BY_SERVICES: &str = "decisions by services at a node";
/// Time that a request waits without any load, by the number of nodes in front of one service.
pub const IDLE_WAIT: &str = "idle wait by nodes before a service";

/// Numbers of servers in one rotation; the last is all servers.
pub const SERVERS: [usize; 5] = [12, 100, 1_000, 5_000, 13_000];
/// Numbers of services at one node; the last is all services.
pub const SERVICES: [usize; 4] = [1, 14, 70, 560];
/// Numbers of nodes in front of one service; the last is all nodes.
pub const NODES: [usize; 7] = [80, 160, 300, 600, 800, 1_000, 1_300];

/// Time that a server takes for a request, in milliseconds.
const SERVICE_TIME: f64 = 0.8;
/// Number of requests in one measurement.
const BATCH: usize = 200;

/// Average number of servers of a service.
pub fn servers_per_service() -> usize {
    (target::size("servers") / target::size("services")).round() as usize
}

/// One rotation in virtual time, whose servers answer every request after [`SERVICE_TIME`].
struct Rotation {
    balancer: Balancer,
    now: f64,
    last_request_id: u64,
    actions: Vec<Action>,
}

impl Rotation {
    fn new(nodes: usize, servers: usize) -> Self {
        let settings =
            NodeSettings::from_value(&deployment::settings(nodes, 10)).expect("valid settings").policy;
        let mut rotation = Self {
            balancer: Balancer::new(settings, 7).expect("valid settings"),
            now: 1_000_000.0,
            last_request_id: 0,
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
        rotation.handle_event(Event::List { entries, saved: false });
        rotation
    }

    fn handle_event(&mut self, event: Event) {
        self.balancer.handle(self.now, event, &mut self.actions);
    }

    /// Runs one request from its arrival to its answer. Returns the time that it waited before it was sent,
    /// in milliseconds, or `None` if it was not sent.
    fn run_request(&mut self) -> Option<f64> {
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        let arrived_at = self.now;
        self.actions.clear();
        self.handle_event(Event::Request {
            id,
            class: 0,
            tenant: Some(self.last_request_id as usize % 10),
            deadline: arrived_at + 450.0,
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
                let wait_ms = self.now - arrived_at;
                self.now += SERVICE_TIME;
                let outcome = Outcome::Done;
                let ended =
                    Event::Ended { id, attempt: 0, server, outcome, duration: SERVICE_TIME, finished: true };
                self.handle_event(ended);
                return Some(wait_ms);
            }
            self.now += timer?;
            self.handle_event(Event::Timer);
        }
    }
}

/// Runs all measurements of this scenario.
pub fn run(report: &mut Report) {
    by_servers(report, &SERVERS);
    by_services(report, &SERVICES);
    idle_wait(report, &NODES);
}

/// Measures decisions with all servers in one rotation: there is only one node, and it uses all of them.
pub fn by_servers(report: &mut Report, sizes: &[usize]) {
    for servers in sizes.iter().copied() {
        let (mut rotation, cost) = measure(|| Rotation::new(1, servers));
        (0..BATCH).for_each(|_| {
            rotation.run_request();
        });
        let batch = |_| {
            measure(|| {
                (0..BATCH).for_each(|_| {
                    rotation.run_request();
                })
            })
            .1
        };
        let times: Vec<_> = (0..SAMPLES).map(batch).collect();
        let per_request_us = median(times.iter().map(|cost| cost.cpu_us() / BATCH as f64).collect());
        let allocations = times[SAMPLES - 1].allocations as f64 / BATCH as f64;
        report.add(
            BY_SERVERS,
            servers as u64,
            &[
                ("request and answer us", per_request_us),
                ("allocations a request", allocations),
                ("kept MB", megabytes(cost.retained_bytes)),
            ],
        );
    }
}

/// Measures decisions with one rotation for each service, which take turns.
pub fn by_services(report: &mut Report, sizes: &[usize]) {
    for services in sizes.iter().copied() {
        let build = || (0..services).map(|_| Rotation::new(1, servers_per_service())).collect::<Vec<_>>();
        let (mut rotations, cost) = measure(build);
        rotations.iter_mut().for_each(|rotation| {
            rotation.run_request();
        });
        let batch = |_| {
            let requests = || {
                (0..4 * BATCH).for_each(|n| {
                    rotations[n % services].run_request();
                })
            };
            measure(requests).1
        };
        let times: Vec<_> = (0..SAMPLES).map(batch).collect();
        let per_request_us = median(times.iter().map(|cost| cost.cpu_us() / (4 * BATCH) as f64).collect());
        report.add(
            BY_SERVICES,
            services as u64,
            &[("request and answer us", per_request_us), ("kept MB", megabytes(cost.retained_bytes))],
        );
    }
}

/// Sends one request after another at an idle node in front of a service of average size; measures how long
/// they wait and how many are refused.
pub fn idle_wait(report: &mut Report, sizes: &[usize]) {
    const REQUESTS: usize = 2_000;
    for nodes in sizes.iter().copied() {
        let mut rotation = Rotation::new(nodes, servers_per_service());
        let wait_times: Vec<Option<f64>> = (0..REQUESTS).map(|_| rotation.run_request()).collect();
        let refused = wait_times.iter().filter(|wait| wait.is_none()).count();
        let mut wait_times: Vec<f64> = wait_times.into_iter().flatten().collect();
        wait_times.sort_by(f64::total_cmp);
        let delayed = wait_times.iter().filter(|wait| **wait > 0.0).count();
        report.add(
            IDLE_WAIT,
            nodes as u64,
            &[
                (
                    "wait p99 ms",
                    wait_times.get(wait_times.len() * 99 / 100).copied().unwrap_or(f64::INFINITY),
                ),
                ("requests that wait %", 100.0 * delayed as f64 / REQUESTS as f64),
                ("requests refused %", 100.0 * refused as f64 / REQUESTS as f64),
            ],
        );
    }
}
