//! Calls to the one service of lists, in virtual time: all nodes lose their watches together, by the shipped decision module.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use glenwood_policy::{
    Action, Balancer, Discovery, Entry, Event, ListFailure, Listed, Millis, Outcome, ServerId, Settings,
};
use glenwood_settings::NodeSettings;

use crate::deployment;
use crate::report::Report;

/// The name of the scenario.
pub const NAME: &str = "list calls by nodes";

/// The sizes.
pub const SIZES: [usize; 5] = [26, 44, 60, 300, 900];

/// How many servers are listed.
const SERVERS: u64 = 50;
/// How long the service works for one call of each node, one call after another: as long at any size, as measured.
pub const ROUNDS: [Millis; 3] = [2_000.0, 4_000.0, 8_000.0];
/// After so long in its queue a call is failed, and worked off all the same.
const FAILED_AFTER: Millis = 2_000.0;
/// When the watches are lost, and how long the service is away where it is.
const LOST_AT: Millis = 10_000.0;
const AWAY: Millis = 10_000.0;
/// How long a run lasts.
const UNTIL: Millis = 90_000.0;
/// Within this watches that fall silent do so.
const SILENT_WITHIN: Millis = 2_000.0;

/// How the nodes lose the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// All watches end at one moment.
    Ended,
    /// All fall silent.
    Silent,
    /// All end, and the service refuses connections for a while.
    Down,
}

impl Trouble {
    /// All of them, each with its name.
    pub const ALL: [(Self, &'static str); 3] = [
        (Self::Ended, "watches end"),
        (Self::Silent, "watches fall silent"),
        (Self::Down, "service down 10 s"),
    ];
}

/// What the nodes did in one run.
#[derive(Clone, Debug)]
pub struct Outcomes {
    /// Calls to the service, a node.
    pub calls: f64,
    /// Health checks of servers, a node.
    pub checks: f64,
    /// How long after the service could be reached a node followed the list again, sorted.
    pub followed: Vec<Millis>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Happens {
    Timer,
    Lost,
    Answered,
    Failed,
}

/// Something that happens at a node, in the order of time.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Due {
    at: Millis,
    number: u64,
    node: usize,
    what: Happens,
}

impl Eq for Due {}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.number.cmp(&other.number))
    }
}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

struct Fleet {
    nodes: Vec<Balancer>,
    /// Since when each node has followed the list again.
    followed: Vec<Option<Millis>>,
    due: BinaryHeap<Reverse<Due>>,
    scheduled: u64,
    trouble: Trouble,
    /// How long the service works for a call.
    a_call: Millis,
    /// When the service has worked off what it has.
    free: Millis,
    calls: usize,
    checks: usize,
}

fn settings(nodes: usize, number: usize) -> Settings {
    let value = deployment::settings(nodes, 1);
    let mut settings = NodeSettings::from_value(&value).expect("good settings").policy;
    (settings.node_index, settings.discovery) = (number, Discovery::Asked);
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
    fn new(nodes: usize, trouble: Trouble, round: Millis) -> Self {
        let balancer = |number| Balancer::new(settings(nodes, number), number as u64).expect("good settings");
        let mut fleet = Self {
            nodes: (0..nodes).map(balancer).collect(),
            followed: vec![None; nodes],
            due: BinaryHeap::new(),
            scheduled: 0,
            trouble,
            a_call: round / nodes as f64,
            free: 0.0,
            calls: 0,
            checks: 0,
        };
        for node in 0..nodes {
            let entries = (0..SERVERS).map(entry).collect();
            // A quiet start: each node calls by itself, and learns how long a call takes.
            fleet.tell(node, 0.0, Event::List { entries, saved: true });
            fleet.free = 0.0;
            // Silence is seen at different moments: watches hear of life every 2 s.
            let silent = SILENT_WITHIN * node as f64 / nodes as f64;
            let at = LOST_AT + if trouble == Trouble::Silent { silent } else { 0.0 };
            fleet.schedule(at, node, Happens::Lost);
        }
        fleet
    }

    fn schedule(&mut self, at: Millis, node: usize, what: Happens) {
        self.scheduled += 1;
        self.due.push(Reverse(Due { at, number: self.scheduled, node, what }));
    }

    fn tell(&mut self, node: usize, now: Millis, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer(span) => self.schedule(now + span, node, Happens::Timer),
                Action::Subscribe => self.call(node, now),
                Action::Probe(server) => {
                    self.checks += 1;
                    self.tell(node, now, Event::Probed { server, outcome: Outcome::Done, duration: 1.0 });
                }
                _ => {}
            }
        }
    }

    fn call(&mut self, node: usize, now: Millis) {
        self.calls += usize::from(now >= LOST_AT);
        if self.trouble == Trouble::Down && (LOST_AT..LOST_AT + AWAY).contains(&now) {
            return self.schedule(now, node, Happens::Failed);
        }
        self.free = self.free.max(now) + self.a_call;
        let (at, what) = match self.free - now {
            waits if waits > FAILED_AFTER => (now + FAILED_AFTER, Happens::Failed),
            _ => (self.free, Happens::Answered),
        };
        self.schedule(at, node, what);
    }

    fn happens(&mut self, Due { at, node, what, .. }: Due) {
        let lost = match self.trouble {
            Trouble::Silent => ListFailure::Silent { told_in: 1_800.0 },
            Trouble::Ended | Trouble::Down => ListFailure::Ended,
        };
        if what == Happens::Answered {
            self.tell(node, at, Event::ListAnswerStarted);
        }
        let event = match what {
            Happens::Timer => Event::Timer,
            Happens::Lost => Event::ListFailed(lost),
            Happens::Failed => Event::ListFailed(ListFailure::Unanswered),
            Happens::Answered => Event::ListChange(Vec::new()),
        };
        if what == Happens::Answered && at >= LOST_AT {
            self.followed[node].get_or_insert(at);
        }
        self.tell(node, at, event);
    }
}

/// Plays one trouble before a service that works for so long for one call of each node.
pub fn play(nodes: usize, trouble: Trouble, round: Millis) -> Outcomes {
    let mut fleet = Fleet::new(nodes, trouble, round);
    while let Some(Reverse(due)) = fleet.due.pop() {
        if due.at > UNTIL {
            break;
        }
        fleet.happens(due);
    }
    let reachable = LOST_AT + if trouble == Trouble::Down { AWAY } else { 0.0 };
    let since = |at: Option<Millis>| at.unwrap_or(UNTIL) - reachable;
    let mut followed: Vec<Millis> = fleet.followed.iter().copied().map(since).collect();
    followed.sort_by(f64::total_cmp);
    let a_node = |count: usize| count as f64 / nodes as f64;
    Outcomes { calls: a_node(fleet.calls), checks: a_node(fleet.checks), followed }
}

/// Measures all sizes.
pub fn run(report: &mut Report, sizes: &[usize]) {
    for nodes in sizes.iter().copied() {
        for (trouble, name) in Trouble::ALL {
            for round in ROUNDS {
                let name = format!("{name} ({} s a round)", round / 1000.0);
                add(report, nodes, &name, &play(nodes, trouble, round));
            }
        }
    }
}

fn add(report: &mut Report, nodes: usize, name: &str, outcomes: &Outcomes) {
    let Outcomes { calls, checks, followed } = outcomes;
    let nine_in_ten = followed[followed.len() * 9 / 10] / 1000.0;
    let last = followed.last().copied().unwrap_or_default() / 1000.0;
    let rows = [
        (format!("{name}: calls a node"), *calls),
        (format!("{name}: health checks a node"), *checks),
        (format!("{name}: nine in ten follow again s"), nine_in_ten),
        (format!("{name}: all follow again s"), last),
    ];
    let rows: Vec<(&str, f64)> = rows.iter().map(|(name, value)| (name.as_str(), *value)).collect();
    report.add(NAME, nodes as u64, &rows);
}
