//! The figures of a node: what it took, how that ended, and what it makes of its servers.
//!
//! One [`Ticket`] stands for one request from when it was taken to its end, so each is counted once, whichever way it ends.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;
use std::sync::{Arc, Mutex, PoisonError};

/// How many classes that the settings no longer have are still shown: their counts run from the process's start, and names
/// that are ever new must not fill its memory.
pub const VANISHED_MOST: usize = 64;

/// How a request ended for a client that was there to see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served.
    Answered,
    /// Refused.
    Deferred,
    /// Failed.
    Errored,
}

/// The ends of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ends {
    /// Served.
    pub answered: u64,
    /// Refused.
    pub deferred: u64,
    /// Failed.
    pub errored: u64,
}

/// A figure of a part of the node that is not always there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Figure {
    /// Its name, behind `node_`.
    pub name: &'static str,
    /// Does it only grow?
    pub counts: bool,
    /// What it is.
    pub help: &'static str,
    /// What it is now.
    pub value: u64,
}

/// All figures at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    classes: BTreeMap<String, Ends>,
    /// Classes that the settings no longer have, the one that vanished first at the front.
    vanished: VecDeque<String>,
    /// Requests taken.
    pub taken: u64,
    /// Requests whose client left.
    pub gone: u64,
    /// Requests taken and not ended.
    pub current: u64,
    /// Attempts written whole.
    pub sends: u64,
    /// Servers listed.
    pub listed: u64,
    /// Listed servers that the node avoids.
    pub avoided: u64,
    /// Attempts begun by a word of their server that was too old, as none fresher had room.
    pub stale_sends: u64,
    /// Attempts begun at servers that had said, or the list, that they take nothing new.
    pub refused_sends: u64,
    /// Bytes that servers sent out of turn, by their occasions.
    pub out_of_turn: u64,
    /// Answers that were not taken for what they said.
    pub doubted_answers: u64,
    /// Configurations taken at SIGHUP.
    pub conf_loaded: u64,
    /// Configurations turned down at SIGHUP.
    pub conf_invalid: u64,
    /// The process is ready to serve.
    pub ready: bool,
    /// What parts of the node say that are not always there.
    pub parts: Vec<Figure>,
}

impl Figures {
    /// These are the classes from now on.
    pub fn have_classes<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        let names: Vec<&str> = names.into_iter().collect();
        for name in self.classes.keys() {
            if !names.contains(&name.as_str()) && !self.vanished.contains(name) {
                self.vanished.push_back(name.clone());
            }
        }
        self.vanished.retain(|name| !names.contains(&name.as_str()));
        while self.vanished.len() > VANISHED_MOST {
            if let Some(name) = self.vanished.pop_front() {
                self.classes.remove(&name);
            }
        }
        for name in names {
            if !self.classes.contains_key(name) {
                self.classes.insert(name.to_string(), Ends::default());
            }
        }
    }

    /// The ends of a class, where it has any.
    pub fn of(&self, class: &str) -> Option<Ends> {
        self.classes.get(class).copied()
    }

    fn taken(&mut self) {
        self.taken += 1;
        self.current += 1;
    }

    fn ended(&mut self, class: &str, end: Option<End>) {
        self.current -= 1;
        let Some(end) = end else {
            self.gone += 1;
            return;
        };
        // A class that vanished so long ago that it is not shown any more has its last requests counted nowhere.
        let Some(ends) = self.classes.get_mut(class) else { return };
        match end {
            End::Answered => ends.answered += 1,
            End::Deferred => ends.deferred += 1,
            End::Errored => ends.errored += 1,
        }
    }

    /// The text that is fetched: Prometheus' format, version 0.0.4.
    pub fn text(&self) -> String {
        let mut text = String::with_capacity(1024 + 200 * self.classes.len());
        let head = |text: &mut String, name: &str, kind: &str, help: &str| {
            // Writing to a string cannot fail.
            let _ = write!(text, "# HELP node_{name} {help}\n# TYPE node_{name} {kind}\n");
        };
        head(&mut text, "transactions", "counter", "Requests ended, by class and by how they ended.");
        for (class, ends) in &self.classes {
            let states =
                [("answered", ends.answered), ("deferred", ends.deferred), ("errored", ends.errored)];
            for (state, count) in states {
                let group = escaped(class);
                let _ = writeln!(text, "node_transactions{{group=\"{group}\",state=\"{state}\"}} {count}");
            }
        }
        let plain = [
            ("sends", "counter", self.sends, "Attempts written whole to servers."),
            ("current", "gauge", self.current, "Requests taken and not ended."),
            ("cluster_size", "gauge", self.listed, "Servers in the list."),
            ("cluster_unhealthy", "gauge", self.avoided, "Listed servers that the node avoids now."),
            ("stale_sends", "counter", self.stale_sends, "Attempts begun by an old word of their server."),
            (
                "refused_sends",
                "counter",
                self.refused_sends,
                "Attempts begun at servers that take nothing new.",
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
            ("conf_loaded", "counter", self.conf_loaded, "Configurations taken at SIGHUP."),
            ("conf_invalid", "counter", self.conf_invalid, "Configurations turned down at SIGHUP."),
        ];
        for (name, kind, value, help) in plain {
            head(&mut text, name, kind, help);
            let _ = writeln!(text, "node_{name} {value}");
        }
        for Figure { name, counts, help, value } in &self.parts {
            head(&mut text, name, if *counts { "counter" } else { "gauge" }, help);
            let _ = writeln!(text, "node_{name} {value}");
        }
        text
    }
}

/// A label's value as the format wants it.
fn escaped(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

/// The figures that the serving thread writes and the operators' door reads.
#[derive(Clone, Debug, Default)]
pub struct Shared(Arc<Mutex<Figures>>);

impl Shared {
    /// Reads or writes them. Nothing that takes long may be done meanwhile: the other side waits.
    pub fn with<T>(&self, f: impl FnOnce(&mut Figures) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// A request of this class is taken; it ends with its ticket.
    pub fn take(&self, class: &str) -> Ticket {
        self.with(Figures::taken);
        Ticket { figures: self.clone(), class: class.to_string(), end: None }
    }
}

/// One request that was taken. Dropped without an end, its client has left.
#[derive(Debug)]
pub struct Ticket {
    figures: Shared,
    class: String,
    end: Option<End>,
}

impl Ticket {
    /// The request has ended.
    pub fn end(mut self, end: End) {
        self.end = Some(end);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let (class, end) = (std::mem::take(&mut self.class), self.end);
        self.figures.with(|figures| figures.ended(&class, end));
    }
}
