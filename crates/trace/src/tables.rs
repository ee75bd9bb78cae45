//! What the lines of a whole fleet add up to, second by second and server by server.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use crate::{Answer, Doing, Record};

/// One second of the whole fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Second {
    /// Calls to discovery, and those that failed.
    pub calls: (usize, usize),
    /// Lists, whole or changes.
    pub lists: usize,
    /// Connections opened to servers.
    pub connects: usize,
    /// The most of these to one server.
    pub connects_most: usize,
    /// Probes.
    pub probes: usize,
    /// Requests taken in.
    pub asked: usize,
    /// First attempts and further ones.
    pub sends: (usize, usize),
    /// Servers that got any.
    pub servers: usize,
    /// The most attempts to one server.
    pub sends_most: usize,
    /// Ends of attempts, by outcome.
    pub ends: BTreeMap<String, usize>,
    /// Requests served, failed, refused with no attempt before, and refused after one.
    pub answers: [usize; 4],
    /// The most attempts of all nodes that were out at one server at once.
    pub out_most: usize,
}

/// One server over the whole time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerSum {
    /// Nodes that sent to it.
    pub nodes: BTreeSet<String>,
    /// Attempts.
    pub sends: usize,
    /// Connections opened.
    pub connects: usize,
    /// Answers, and the sum of their times.
    pub done: (usize, f64),
    /// Other ends.
    pub not_done: usize,
    /// The most attempts of all nodes that were out at once.
    pub out_most: usize,
}

/// One attempt fewer is out at a server.
fn left(out: &mut BTreeMap<String, usize>, server: &str) {
    if let Some(out) = out.get_mut(server) {
        *out = out.saturating_sub(1);
    }
}

/// The tables of a fleet.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    /// All lines with their nodes, sorted once all are there.
    lines: Vec<(f64, String, Doing)>,
}

impl Tables {
    /// Takes one line of one node's log; false where it is no record.
    pub fn take(&mut self, node: &str, line: &str) -> bool {
        let Some(record) = Record::find(line) else { return false };
        self.lines.push((record.at, node.to_string(), record.doing));
        true
    }

    /// Counts: seconds from the first line on, and servers by name.
    pub fn count(&mut self) -> (BTreeMap<u64, Second>, BTreeMap<String, ServerSum>) {
        self.lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let start = self.lines.first().map_or(0.0, |l| l.0);
        let (mut seconds, mut servers) =
            (BTreeMap::<u64, Second>::new(), BTreeMap::<String, ServerSum>::new());
        let mut out: BTreeMap<String, usize> = BTreeMap::new();
        let mut tried: BTreeSet<(String, u64)> = BTreeSet::new();
        let mut open: BTreeMap<(String, u64, usize), String> = BTreeMap::new();
        let mut last: BTreeMap<String, u64> = BTreeMap::new();
        let mut by_second: BTreeMap<u64, BTreeMap<String, (usize, usize)>> = BTreeMap::new();
        for (at, node, doing) in &self.lines {
            let number = ((at - start) / 1000.0) as u64;
            let second = seconds.entry(number).or_default();
            let of_server = by_second.entry(number).or_default();
            match doing {
                Doing::Call => second.calls.0 += 1,
                Doing::CallFailed => second.calls.1 += 1,
                Doing::List { .. } => second.lists += 1,
                Doing::Connect(server) => {
                    second.connects += 1;
                    servers.entry(server.clone()).or_default().connects += 1;
                    of_server.entry(server.clone()).or_default().1 += 1;
                }
                Doing::Probe(_) => second.probes += 1,
                Doing::OutOfTurn { .. }
                | Doing::Doubted { .. }
                | Doing::Asking { .. }
                | Doing::Answering
                | Doing::WatchEnded { .. }
                | Doing::Version(_)
                | Doing::Entry { .. }
                | Doing::CallDue(_)
                | Doing::Reload { .. }
                | Doing::Probed { .. }
                | Doing::Explain { .. }
                | Doing::Close { .. }
                | Doing::Id { .. } => {}
                Doing::Ask { request, .. } => {
                    second.asked += 1;
                    if last.insert(node.clone(), *request).is_some_and(|last| last >= *request) {
                        // The node was restarted, and numbers its requests anew: what was out is over.
                        tried.retain(|(of, _)| of != node);
                        open.retain(|(of, _, _), server| {
                            let goes = of == node;
                            if goes {
                                left(&mut out, server);
                            }
                            !goes
                        });
                    }
                }
                Doing::Send { request, attempt, server } => {
                    tried.insert((node.clone(), *request));
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
                        let out = out.entry(server.clone()).or_default();
                        *out += 1;
                        second.out_most = second.out_most.max(*out);
                        sum.out_most = sum.out_most.max(*out);
                    }
                }
                Doing::End { request, attempt, server, outcome, took } => {
                    *second.ends.entry(outcome.clone()).or_default() += 1;
                    let sum = servers.entry(server.clone()).or_default();
                    if outcome == "Done" {
                        sum.done = (sum.done.0 + 1, sum.done.1 + took);
                    } else {
                        sum.not_done += 1;
                    }
                    if open.remove(&(node.clone(), *request, *attempt)).is_some() {
                        left(&mut out, server);
                    }
                }
                Doing::Answer { request, answer } => {
                    let sent = tried.contains(&(node.clone(), *request));
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
            second.sends_most = of_server.values().map(|(sends, _)| *sends).max().unwrap_or(0);
            second.connects_most = of_server.values().map(|(_, connects)| *connects).max().unwrap_or(0);
        }
        (seconds, servers)
    }

    /// The tables as text.
    pub fn text(&mut self) -> String {
        let (seconds, servers) = self.count();
        let mut text = String::new();
        let head = "second calls failed lists connects most probes asked first again servers most out served failed \
                    refused after-try ends";
        // Writing to a string can't fail.
        let _ = writeln!(text, "{head}");
        for (number, s) in seconds {
            let ends: Vec<String> = s.ends.iter().map(|(word, count)| format!("{word}:{count}")).collect();
            let _ = writeln!(
                text,
                "{number:6} {:5} {:6} {:5} {:8} {:4} {:6} {:5} {:5} {:5} {:7} {:4} {:3} {:6} {:6} {:7} {:9} {}",
                s.calls.0,
                s.calls.1,
                s.lists,
                s.connects,
                s.connects_most,
                s.probes,
                s.asked,
                s.sends.0,
                s.sends.1,
                s.servers,
                s.sends_most,
                s.out_most,
                s.answers[0],
                s.answers[1],
                s.answers[2],
                s.answers[3],
                ends.join(" ")
            );
        }
        let _ = writeln!(text, "\nserver nodes sends connects answers mean-ms other-ends out");
        for (name, s) in servers {
            let mean = s.done.1 / s.done.0.max(1) as f64;
            let _ = writeln!(
                text,
                "{name} {:4} {:5} {:5} {:5} {mean:8.1} {:5} {:4}",
                s.nodes.len(),
                s.sends,
                s.connects,
                s.done.0,
                s.not_done,
                s.out_most
            );
        }
        text
    }
}
