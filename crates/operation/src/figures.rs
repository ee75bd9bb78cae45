//! The metrics of a node: accepted requests, their results, and the state of its servers.
//!
//! One [`Ticket`] represents one request from acceptance to its end, so that each request is counted exactly
//! once however it ends.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;
use std::sync::{Arc, Mutex, PoisonError};

/// How many classes that were removed from the settings are still exported. Counters run from process start,
/// and a steady supply of new class names must not exhaust the memory.
pub const MAX_REMOVED_CLASSES: usize = 64;

/// The result of a request whose client was still connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served.
    Answered,
    /// Refused.
    Deferred,
    /// Failed.
    Errored,
}

/// The results of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassResults {
    /// Requests served.
    pub answered: u64,
    /// Requests refused.
    pub deferred: u64,
    /// Requests that failed.
    pub errored: u64,
}

/// A metric of an optional part of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Metric {
    /// Metric name without the prefix `node_`.
    pub name: &'static str,
    /// Whether the metric is a counter; otherwise it is a gauge.
    pub is_counter: bool,
    /// Help text.
    pub help: &'static str,
    /// Current value.
    pub value: u64,
}

/// All metrics at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    classes: BTreeMap<String, ClassResults>,
    /// Classes that were removed from the settings, the earliest removed first.
    removed: VecDeque<String>,
    /// Requests accepted.
    pub taken: u64,
    /// Requests whose client disconnected.
    pub gone: u64,
    /// Requests accepted and not ended.
    pub current: u64,
    /// Attempts written completely.
    pub sends: u64,
    /// Servers in the list.
    pub listed: u64,
    /// Listed servers that only lists saved before the node's start name.
    pub listed_saved: u64,
    /// Listed servers that the node avoids.
    pub avoided: u64,
    /// Attempts started on an outdated report of their server, as no server with a fresher report had
    /// capacity.
    pub stale_sends: u64,
    /// Attempts started at servers that were known, from the server or from the list, to accept nothing new.
    pub refused_sends: u64,
    /// Calls to discovery that could not reach it.
    pub unreachable_calls: u64,
    /// Calls to discovery that reached it and were not answered in time.
    pub overloaded_calls: u64,
    /// Times that the list became too old for new requests.
    pub list_expirations: u64,
    /// Occasions on which a server sent unsolicited bytes.
    pub out_of_turn: u64,
    /// Responses whose content was not trusted.
    pub doubted_answers: u64,
    /// Responses that began sooner than their server was known to answer.
    pub early_answers: u64,
    /// Responses that were given up while they were arriving.
    pub cut_off_answers: u64,
    /// Responses of undeclared length that were forwarded in part, as their time was near.
    pub answers_in_parts: u64,
    /// Answers that ended before they were whole, after a part of them was forwarded.
    pub truncated_answers: u64,
    /// Of these, answers whose server's connection was intact, by the bound that ended them.
    pub answers_ended: BTreeMap<&'static str, u64>,
    /// Exchanges that were given up while their request was being written, by the bound that ended them.
    pub uploads_abandoned: BTreeMap<&'static str, u64>,
    /// Clients' connections that were closed within an answer.
    pub closed_within_answer: u64,
    /// Clients' connections that were closed while a request had no byte of an answer.
    pub closed_unanswered: u64,
    /// Configurations loaded at SIGHUP.
    pub conf_loaded: u64,
    /// Configurations rejected at SIGHUP.
    pub conf_invalid: u64,
    /// Whether the process is ready to serve.
    pub ready: bool,
    /// Metrics of the optional parts of the node.
    pub parts: Vec<Metric>,
}

impl Metrics {
    /// Sets the classes of the current settings.
    pub fn set_classes<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        let names: Vec<&str> = names.into_iter().collect();
        for name in self.classes.keys() {
            if !names.contains(&name.as_str()) && !self.removed.contains(name) {
                self.removed.push_back(name.clone());
            }
        }
        self.removed.retain(|name| !names.contains(&name.as_str()));
        while self.removed.len() > MAX_REMOVED_CLASSES {
            if let Some(name) = self.removed.pop_front() {
                self.classes.remove(&name);
            }
        }
        for name in names {
            if !self.classes.contains_key(name) {
                self.classes.insert(name.to_string(), ClassResults::default());
            }
        }
    }

    /// The results of a class, or `None` if it is not known.
    pub fn class_results(&self, class: &str) -> Option<ClassResults> {
        self.classes.get(class).copied()
    }

    fn count_taken(&mut self) {
        self.taken += 1;
        self.current += 1;
    }

    fn count_end(&mut self, class: &str, end: Option<End>) {
        self.current -= 1;
        let Some(end) = end else {
            self.gone += 1;
            return;
        };
        // The last requests of a class removed so long ago that it is no longer exported are not counted.
        let Some(ends) = self.classes.get_mut(class) else { return };
        match end {
            End::Answered => ends.answered += 1,
            End::Deferred => ends.deferred += 1,
            End::Errored => ends.errored += 1,
        }
    }

    /// Renders the metrics in the Prometheus text format, version 0.0.4.
    pub fn text(&self) -> String {
        let mut text = String::with_capacity(1024 + 200 * self.classes.len());
        let write_header = |text: &mut String, name: &str, kind: &str, help: &str| {
            // Writing to a string cannot fail.
            let _ = write!(text, "# HELP node_{name} {help}\n# TYPE node_{name} {kind}\n");
        };
        write_header(&mut text, "transactions", "counter", "Requests ended, by class and by how they ended.");
        for (class, ends) in &self.classes {
            let states =
                [("answered", ends.answered), ("deferred", ends.deferred), ("errored", ends.errored)];
            for (state, count) in states {
                let group = escape_label(class);
                let _ = writeln!(text, "node_transactions{{group=\"{group}\",state=\"{state}\"}} {count}");
            }
        }
        let unlabelled = [
            ("sends", "counter", self.sends, "Attempts written whole to servers."),
            ("current", "gauge", self.current, "Requests taken and not ended."),
            ("cluster_size", "gauge", self.listed, "Servers in the list."),
            (
                "cluster_saved",
                "gauge",
                self.listed_saved,
                "Listed servers that only lists saved before the start name.",
            ),
            ("cluster_unhealthy", "gauge", self.avoided, "Listed servers that the node avoids now."),
            ("stale_sends", "counter", self.stale_sends, "Attempts begun by an old word of their server."),
            (
                "refused_sends",
                "counter",
                self.refused_sends,
                "Attempts begun at servers that take nothing new.",
            ),
            (
                "discovery_unreachable",
                "counter",
                self.unreachable_calls,
                "Calls to discovery that could not reach it.",
            ),
            (
                "discovery_overloaded",
                "counter",
                self.overloaded_calls,
                "Calls to discovery that reached it and were not answered in time.",
            ),
            (
                "list_expirations",
                "counter",
                self.list_expirations,
                "Times that the list became too old for new requests.",
            ),
            (
                "answers_out_of_turn",
                "counter",
                self.out_of_turn,
                "Times that a server sent bytes that nobody asked for.",
            ),
            (
                "answers_doubted",
                "counter",
                self.doubted_answers,
                "Answers that were not taken for what they said.",
            ),
            (
                "answers_early",
                "counter",
                self.early_answers,
                "Answers that began sooner than their server was known to answer.",
            ),
            (
                "answers_cut_off",
                "counter",
                self.cut_off_answers,
                "Answers that were given up while they were arriving.",
            ),
            (
                "answers_in_parts",
                "counter",
                self.answers_in_parts,
                "Answers of undeclared length that were forwarded before they were complete.",
            ),
            (
                "answers_truncated",
                "counter",
                self.truncated_answers,
                "Answers that ended before they were whole, after a part was forwarded.",
            ),
            (
                "connections_closed_within_answer",
                "counter",
                self.closed_within_answer,
                "Connections of clients that were closed within an answer.",
            ),
            (
                "connections_closed_unanswered",
                "counter",
                self.closed_unanswered,
                "Connections of clients that were closed while a request had no byte of an answer.",
            ),
            ("conf_loaded", "counter", self.conf_loaded, "Configurations taken at SIGHUP."),
            ("conf_invalid", "counter", self.conf_invalid, "Configurations turned down at SIGHUP."),
        ];
        for (name, kind, value, help) in unlabelled {
            write_header(&mut text, name, kind, help);
            let _ = writeln!(text, "node_{name} {value}");
        }
        let by_bound = [
            (
                "answers_ended",
                &self.answers_ended,
                "Truncated answers whose server's connection was intact, by the bound that ended them.",
            ),
            (
                "uploads_abandoned",
                &self.uploads_abandoned,
                "Requests given up while they were being written, by the bound that ended them.",
            ),
        ];
        for (name, counts, help) in by_bound {
            write_header(&mut text, name, "counter", help);
            for (bound, count) in counts {
                let _ = writeln!(text, "node_{name}{{bound=\"{bound}\"}} {count}");
            }
        }
        for Metric { name, is_counter, help, value } in &self.parts {
            write_header(&mut text, name, if *is_counter { "counter" } else { "gauge" }, help);
            let _ = writeln!(text, "node_{name} {value}");
        }
        text
    }
}

/// Escapes the value of a label.
fn escape_label(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

/// Metrics that the serving thread writes and the operators' interface reads.
#[derive(Clone, Debug, Default)]
pub struct Shared(Arc<Mutex<Metrics>>);

impl Shared {
    /// Calls `f` with the metrics locked. It must return quickly, as the other thread waits meanwhile.
    pub fn with<T>(&self, f: impl FnOnce(&mut Metrics) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Counts a request of this class as accepted; the returned ticket counts its end.
    pub fn take(&self, class: &str) -> Ticket {
        self.with(Metrics::count_taken);
        Ticket { figures: self.clone(), class: class.to_string(), end: None }
    }
}

/// An accepted request. Dropping it without [`Ticket::end`] counts its client as disconnected.
#[derive(Debug)]
pub struct Ticket {
    figures: Shared,
    class: String,
    end: Option<End>,
}

impl Ticket {
    /// Counts the result of the request.
    pub fn end(mut self, end: End) {
        self.end = Some(end);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let (class, end) = (std::mem::take(&mut self.class), self.end);
        self.figures.with(|figures| figures.count_end(&class, end));
    }
}
