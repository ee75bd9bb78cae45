//! Calls to the list service in virtual time, made by the shipped decision module: all nodes lose their
//! watches at about the same time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use glenwood_policy::{
    Action, Balancer, Discovery, Entry, Event, ListFailure, Listed, Millis, Outcome, ServerId, Settings,
};
use glenwood_settings::NodeSettings;

use crate::deployment;
use crate::report::Report;

/// Name of the scenario.
pub const NAME: &str = "list calls by nodes";

/// Numbers of nodes.
pub const SIZES: [usize; 5] = [26, 44, 60, 300, 900];

/// Number of servers in the list.
const SERVERS: u64 = 50;
/// Total time that the service needs to answer one call from each node, one after another; the same at every
/// fleet size.
pub const ROUND_TIMES: [Millis; 3] = [2_000.0, 4_000.0, 8_000.0];
/// An overloaded service fails a call after this time in its queue, and still works on it.
const OVERLOADED_CALL_TIMEOUT: Millis = 2_000.0;
/// A service by the protocol fails a call that has waited for this long, and spends nothing on it.
const CALL_TIMEOUT: Millis = 3_000.0;
/// When the watches fail, and how long the service is unreachable with [`WatchFault::ServiceDown`].
const FAULT_AT: Millis = 10_000.0;
const OUTAGE_TIME: Millis = 10_000.0;
/// Duration of a run.
const RUN_TIME: Millis = 250_000.0;
/// Keeps the seeds of the nodes of different runs apart.
const SEED_FACTOR: u64 = 1_000_003;
/// Watches that fall silent do so within this time.
const SILENCE_SPREAD: Millis = 2_000.0;

/// How the nodes lose the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchFault {
    /// All watches end at the same time.
    WatchesEnd,
    /// All watches fall silent.
    WatchesSilent,
    /// All watches end, and the service refuses connections for a while.
    ServiceDown,
}

impl WatchFault {
    /// All faults with their names in the report.
    pub const ALL: [(Self, &'static str); 3] = [
        (Self::WatchesEnd, "watches end"),
        (Self::WatchesSilent, "watches fall silent"),
        (Self::ServiceDown, "service down 10 s"),
    ];
}

/// The service that answers the calls of all nodes, one after another.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// Total time for one call from each node.
    pub round_time: Millis,
    /// Whether it also works on calls that have failed.
    pub works_on_failed_calls: bool,
    /// Whether it is still busy with the first calls of all nodes, which start together, when the watches fail.
    pub is_busy_at_start: bool,
}

impl Service {
    /// A service that also works on calls that have failed, so that too many calls slow it down further.
    pub fn overloaded(round_time: Millis) -> Self {
        Self { round_time, works_on_failed_calls: true, is_busy_at_start: false }
    }

    /// A service that drops calls that have waited too long.
    pub fn dropping(round_time: Millis) -> Self {
        Self { round_time, works_on_failed_calls: false, is_busy_at_start: false }
    }

    /// The same service in the first seconds of a fleet.
    pub fn at_start(self) -> Self {
        Self { is_busy_at_start: true, ..self }
    }
}

/// Results of one run.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// Calls to the list service per node.
    pub calls_per_node: f64,
    /// Health checks of servers per node.
    pub health_checks_per_node: f64,
    /// For each node, the time from when the service is reachable until it follows the list again; sorted.
    pub recovery_times: Vec<Millis>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum EventKind {
    Timer,
    WatchLost,
    CallAnswered,
    CallFailed,
}

/// An event that is scheduled for a node; ordered by time.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ScheduledEvent {
    at: Millis,
    sequence: u64,
    node: usize,
    event_kind: EventKind,
}

impl Eq for ScheduledEvent {}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.sequence.cmp(&other.sequence))
    }
}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

struct Fleet {
    nodes: Vec<Balancer>,
    /// Whether each node follows the list.
    follows: Vec<bool>,
    /// When each node followed the list again.
    recovered_at: Vec<Option<Millis>>,
    pending: BinaryHeap<Reverse<ScheduledEvent>>,
    last_sequence: u64,
    fault: WatchFault,
    /// Time that the service needs for one call.
    call_time: Millis,
    works_on_failed_calls: bool,
    /// When the service has finished all queued calls.
    service_idle_at: Millis,
    calls: usize,
    health_checks: usize,
}

fn settings(nodes: usize, node: usize) -> Settings {
    let value = deployment::settings(nodes, 1);
    let mut settings = NodeSettings::from_value(&value).expect("valid settings").policy;
    (settings.node_index, settings.discovery) = (node, Discovery::Asked);
    settings
}

fn entry(server: u64) -> Entry {
    Entry {
        server: ServerId(server),
        zone: 0,
        cell: 0,
        kind: 0,
        state: Listed::Up,
        weight: 1.0,
        started_at: None,
    }
}

impl Fleet {
    fn new(nodes: usize, fault: WatchFault, service: Service, seed: u64) -> Self {
        let balancer = |node: usize| {
            let seed = seed.wrapping_mul(SEED_FACTOR).wrapping_add(node as u64);
            Balancer::new(settings(nodes, node), seed).expect("valid settings")
        };
        let mut fleet = Self {
            nodes: (0..nodes).map(balancer).collect(),
            follows: vec![false; nodes],
            recovered_at: vec![None; nodes],
            pending: BinaryHeap::new(),
            last_sequence: 0,
            fault,
            call_time: service.round_time / nodes as f64,
            works_on_failed_calls: service.works_on_failed_calls,
            service_idle_at: 0.0,
            calls: 0,
            health_checks: 0,
        };
        for node in 0..nodes {
            let entries = (0..SERVERS).map(entry).collect();
            // The fleet starts without contention: each node calls alone, and learns how long a call takes.
            fleet.handle_event(node, 0.0, Event::List { entries, saved: true });
            if !service.is_busy_at_start {
                fleet.service_idle_at = 0.0;
            }
            // Nodes notice the silence at different times, as a watch receives a sign of life every 2 s.
            let silent_after = SILENCE_SPREAD * node as f64 / nodes as f64;
            let at = FAULT_AT + if fault == WatchFault::WatchesSilent { silent_after } else { 0.0 };
            fleet.schedule(at, node, EventKind::WatchLost);
        }
        fleet
    }

    fn schedule(&mut self, at: Millis, node: usize, event_kind: EventKind) {
        self.last_sequence += 1;
        self.pending.push(Reverse(ScheduledEvent { at, sequence: self.last_sequence, node, event_kind }));
    }

    fn handle_event(&mut self, node: usize, now: Millis, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer(span) => self.schedule(now + span, node, EventKind::Timer),
                Action::Subscribe => self.call(node, now),
                Action::Probe(server) => {
                    self.health_checks += 1;
                    self.handle_event(
                        node,
                        now,
                        Event::Probed { server, outcome: Outcome::Done, duration: 1.0 },
                    );
                }
                _ => {}
            }
        }
    }

    fn call(&mut self, node: usize, now: Millis) {
        self.calls += usize::from(now >= FAULT_AT);
        if self.fault == WatchFault::ServiceDown && (FAULT_AT..FAULT_AT + OUTAGE_TIME).contains(&now) {
            return self.schedule(now, node, EventKind::CallFailed);
        }
        if !self.works_on_failed_calls && self.service_idle_at > now + CALL_TIMEOUT {
            return self.schedule(now + CALL_TIMEOUT, node, EventKind::CallFailed);
        }
        self.service_idle_at = self.service_idle_at.max(now) + self.call_time;
        let (at, event_kind) = match self.service_idle_at - now {
            wait if self.works_on_failed_calls && wait > OVERLOADED_CALL_TIMEOUT => {
                (now + OVERLOADED_CALL_TIMEOUT, EventKind::CallFailed)
            }
            _ => (self.service_idle_at, EventKind::CallAnswered),
        };
        self.schedule(at, node, event_kind);
    }

    fn dispatch(&mut self, ScheduledEvent { at, node, event_kind, .. }: ScheduledEvent) {
        let failure = match self.fault {
            WatchFault::WatchesSilent => ListFailure::Silent { told_in: 1_800.0 },
            WatchFault::WatchesEnd | WatchFault::ServiceDown => ListFailure::Ended,
        };
        if event_kind == EventKind::CallAnswered {
            self.handle_event(node, at, Event::ListAnswerStarted);
        }
        let event = match event_kind {
            EventKind::Timer => Event::Timer,
            EventKind::WatchLost => Event::ListFailed(failure),
            EventKind::CallFailed => Event::ListFailed(ListFailure::Unanswered),
            EventKind::CallAnswered => Event::ListChange(Vec::new()),
        };
        if event_kind == EventKind::CallAnswered {
            self.follows[node] = true;
            if at >= FAULT_AT {
                self.recovered_at[node].get_or_insert(at);
            }
        }
        if event_kind == EventKind::WatchLost && !std::mem::take(&mut self.follows[node]) {
            return;
        }
        self.handle_event(node, at, event);
    }
}

/// Simulates one fault of the watches; `seed` drives the random choices of the nodes.
pub fn simulate(nodes: usize, fault: WatchFault, service: Service, seed: u64) -> RunResult {
    let mut fleet = Fleet::new(nodes, fault, service, seed);
    while let Some(Reverse(scheduled_event)) = fleet.pending.pop() {
        if scheduled_event.at > RUN_TIME {
            break;
        }
        fleet.dispatch(scheduled_event);
    }
    let reachable = FAULT_AT + if fault == WatchFault::ServiceDown { OUTAGE_TIME } else { 0.0 };
    let recovery_time = |at: Option<Millis>| at.unwrap_or(RUN_TIME) - reachable;
    let mut recovery_times: Vec<Millis> = fleet.recovered_at.iter().copied().map(recovery_time).collect();
    recovery_times.sort_by(f64::total_cmp);
    let per_node = |count: usize| count as f64 / nodes as f64;
    RunResult {
        calls_per_node: per_node(fleet.calls),
        health_checks_per_node: per_node(fleet.health_checks),
        recovery_times,
    }
}

/// Runs the scenario at all sizes.
pub fn run(report: &mut Report, sizes: &[usize]) {
    for nodes in sizes.iter().copied() {
        for (fault, name) in WatchFault::ALL {
            for round_time in ROUND_TIMES {
                let name = format!("{name} ({} s a round)", round_time / 1000.0);
                add(report, nodes, &name, &simulate(nodes, fault, Service::overloaded(round_time), 0));
            }
        }
    }
}

fn add(report: &mut Report, nodes: usize, name: &str, result: &RunResult) {
    let RunResult { calls_per_node, health_checks_per_node, recovery_times } = result;
    let p90_s = recovery_times[recovery_times.len() * 9 / 10] / 1000.0;
    let last_s = recovery_times.last().copied().unwrap_or_default() / 1000.0;
    let quantities = [
        (format!("{name}: calls a node"), *calls_per_node),
        (format!("{name}: health checks a node"), *health_checks_per_node),
        (format!("{name}: nine in ten follow again s"), p90_s),
        (format!("{name}: all follow again s"), last_s),
    ];
    let quantities: Vec<(&str, f64)> =
        quantities.iter().map(|(name, value)| (name.as_str(), *value)).collect();
    report.add(NAME, nodes as u64, &quantities);
}
