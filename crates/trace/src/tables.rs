//! Aggregates the trace records of a complete fleet per second and per server.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use crate::{Answer, Record, TraceEvent};

/// Totals of the fleet for one second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Second {
    /// Calls to discovery: started and failed.
    pub calls: (usize, usize),
    /// Lists received from discovery, complete or changes.
    pub lists: usize,
    /// Connections opened to servers.
    pub connects: usize,
    /// The maximum number of connections opened to one server.
    pub max_connects_per_server: usize,
    /// Probes sent.
    pub probes: usize,
    /// Requests accepted.
    pub accepted: usize,
    /// Attempts: first attempts and retries.
    pub sends: (usize, usize),
    /// Servers to which an attempt was sent.
    pub servers: usize,
    /// The maximum number of attempts to one server.
    pub max_sends_per_server: usize,
    /// Ended attempts, by outcome.
    pub ends: BTreeMap<String, usize>,
    /// Requests served, failed, refused without an attempt, and refused after an attempt.
    pub answers: [usize; 4],
    /// The maximum number of concurrent attempts of all nodes at one server.
    pub max_concurrent: usize,
}

/// Totals of one server over the complete trace.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerTotals {
    /// Nodes that sent attempts to it.
    pub nodes: BTreeSet<String>,
    /// Attempts sent.
    pub sends: usize,
    /// Connections opened.
    pub connects: usize,
    /// Attempts that ended with an answer, and the sum of their durations in milliseconds.
    pub answered: (usize, f64),
    /// Attempts that ended otherwise.
    pub unanswered: usize,
    /// The maximum number of concurrent attempts of all nodes.
    pub max_concurrent: usize,
}

/// Decrements the number of concurrent attempts at a server.
fn decrement(concurrent: &mut BTreeMap<String, usize>, server: &str) {
    if let Some(concurrent) = concurrent.get_mut(server) {
        *concurrent = concurrent.saturating_sub(1);
    }
}

/// Collects the records of a fleet and aggregates them.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    /// Time, node and event of each record; sorted by time when they are counted.
    records: Vec<(f64, String, TraceEvent)>,
}

impl Tables {
    /// Adds a line of a node's log; returns false if it contains no record.
    pub fn add_line(&mut self, node: &str, line: &str) -> bool {
        let Some(record) = Record::find(line) else { return false };
        self.records.push((record.at, node.to_string(), record.event));
        true
    }

    /// Aggregates the records per second since the first one and per server name.
    pub fn aggregate(&mut self) -> (BTreeMap<u64, Second>, BTreeMap<String, ServerTotals>) {
        self.records.sort_by(|a, b| a.0.total_cmp(&b.0));
        let start = self.records.first().map_or(0.0, |earliest| earliest.0);
        let (mut seconds, mut servers) =
            (BTreeMap::<u64, Second>::new(), BTreeMap::<String, ServerTotals>::new());
        let mut concurrent: BTreeMap<String, usize> = BTreeMap::new();
        let mut attempted: BTreeSet<(String, u64)> = BTreeSet::new();
        let mut open: BTreeMap<(String, u64, usize), String> = BTreeMap::new();
        let mut last_request: BTreeMap<String, u64> = BTreeMap::new();
        let mut by_second: BTreeMap<u64, BTreeMap<String, (usize, usize)>> = BTreeMap::new();
        for (at, node, event) in &self.records {
            let number = ((at - start) / 1000.0) as u64;
            let second = seconds.entry(number).or_default();
            let of_server = by_second.entry(number).or_default();
            match event {
                TraceEvent::Call => second.calls.0 += 1,
                TraceEvent::CallFailed => second.calls.1 += 1,
                TraceEvent::List { .. } => second.lists += 1,
                TraceEvent::Connect(server) => {
                    second.connects += 1;
                    servers.entry(server.clone()).or_default().connects += 1;
                    of_server.entry(server.clone()).or_default().1 += 1;
                }
                TraceEvent::Probe(_) => second.probes += 1,
                TraceEvent::UnsolicitedBytes { .. }
                | TraceEvent::Connected { .. }
                | TraceEvent::DistrustedAnswer { .. }
                | TraceEvent::DiscoveryRequest { .. }
                | TraceEvent::DiscoveryResponse
                | TraceEvent::WatchEnded { .. }
                | TraceEvent::Version(_)
                | TraceEvent::Entry { .. }
                | TraceEvent::CallDue(_)
                | TraceEvent::ListAge { .. }
                | TraceEvent::Reload { .. }
                | TraceEvent::ProbeEnded { .. }
                | TraceEvent::AnswerReason { .. }
                | TraceEvent::Close { .. }
                | TraceEvent::RequestId { .. } => {}
                TraceEvent::Accept { request, .. } => {
                    second.accepted += 1;
                    if last_request.insert(node.clone(), *request).is_some_and(|last| last >= *request) {
                        // The node was restarted and its request numbers start again: its open attempts have
                        // ended.
                        attempted.retain(|(record_node, _)| record_node != node);
                        open.retain(|(record_node, _, _), server| {
                            let is_restarted = record_node == node;
                            if is_restarted {
                                decrement(&mut concurrent, server);
                            }
                            !is_restarted
                        });
                    }
                }
                TraceEvent::Send { request, attempt, server } => {
                    attempted.insert((node.clone(), *request));
                    if *attempt == 0 {
                        second.sends.0 += 1;
                    } else {
                        second.sends.1 += 1;
                    }
                    let sum = servers.entry(server.clone()).or_default();
                    sum.sends += 1;
                    sum.nodes.insert(node.clone());
                    of_server.entry(server.clone()).or_default().0 += 1;
                    if open.insert((node.clone(), *request, *attempt), server.clone()).is_none() {
                        let concurrent = concurrent.entry(server.clone()).or_default();
                        *concurrent += 1;
                        second.max_concurrent = second.max_concurrent.max(*concurrent);
                        sum.max_concurrent = sum.max_concurrent.max(*concurrent);
                    }
                }
                TraceEvent::End { request, attempt, server, outcome, duration_ms } => {
                    *second.ends.entry(outcome.clone()).or_default() += 1;
                    let sum = servers.entry(server.clone()).or_default();
                    if outcome == "Done" {
                        sum.answered = (sum.answered.0 + 1, sum.answered.1 + duration_ms);
                    } else {
                        sum.unanswered += 1;
                    }
                    if open.remove(&(node.clone(), *request, *attempt)).is_some() {
                        decrement(&mut concurrent, server);
                    }
                }
                TraceEvent::Answer { request, answer } => {
                    let sent = attempted.contains(&(node.clone(), *request));
                    second.answers[match (answer, sent) {
                        (Answer::Served, _) => 0,
                        (Answer::Failed, _) => 1,
                        (Answer::Refused, false) => 2,
                        (Answer::Refused, true) => 3,
                    }] += 1;
                }
            }
        }
        for (number, of_server) in by_second {
            let Some(second) = seconds.get_mut(&number) else { continue };
            second.servers = of_server.values().filter(|(sends, _)| *sends > 0).count();
            second.max_sends_per_server = of_server.values().map(|(sends, _)| *sends).max().unwrap_or(0);
            second.max_connects_per_server =
                of_server.values().map(|(_, connects)| *connects).max().unwrap_or(0);
        }
        (seconds, servers)
    }

    /// Formats the tables as text.
    pub fn text(&mut self) -> String {
        let (seconds, servers) = self.aggregate();
        let mut text = String::new();
        let header = "second calls failed lists connects most probes asked first again servers most out served failed \
                    refused after-try ends";
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{header}");
        for (number, s) in seconds {
            let ends: Vec<String> =
                s.ends.iter().map(|(ending, count)| format!("{ending}:{count}")).collect();
            let _ = writeln!(
                text,
                "{number:6} {:5} {:6} {:5} {:8} {:4} {:6} {:5} {:5} {:5} {:7} {:4} {:3} {:6} {:6} {:7} {:9} {}",
                s.calls.0,
                s.calls.1,
                s.lists,
                s.connects,
                s.max_connects_per_server,
                s.probes,
                s.accepted,
                s.sends.0,
                s.sends.1,
                s.servers,
                s.max_sends_per_server,
                s.max_concurrent,
                s.answers[0],
                s.answers[1],
                s.answers[2],
                s.answers[3],
                ends.join(" ")
            );
        }
        let _ = writeln!(text, "\nserver nodes sends connects answers mean-ms other-ends out");
        for (name, s) in servers {
            let mean = s.answered.1 / s.answered.0.max(1) as f64;
            let _ = writeln!(
                text,
                "{name} {:4} {:5} {:5} {:5} {mean:8.1} {:5} {:4}",
                s.nodes.len(),
                s.sends,
                s.connects,
                s.answered.0,
                s.unanswered,
                s.max_concurrent
            );
        }
        text
    }
}
