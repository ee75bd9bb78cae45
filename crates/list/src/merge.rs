//! One list out of what two sources say of the same servers, by their names.
//!
//! Which word goes first:
//!
//! 1. *A departure holds, whoever says it.* A server that one source takes out is gone, though the other still lists it:
//!    the slower of two sources is late with departures, and a late one costs requests. It is back when the source that
//!    took it out brings it again, or when the other says that it was born later than anything known of it before.
//! 2. *A drain holds, whoever says it*, for as long as that source says it.
//! 3. *For everything else* (address, zone, kind, cell, weight, birth) the word on the later birth counts; the
//!    registration's where both say the same, as it is the server's own.
//!
//! A source that has said nothing of a server yet takes nothing out by that: servers may be in one source alone.

use std::collections::BTreeMap;

use crate::entry::{Health, Host, Update};

/// Who says it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Discovery.
    Discovery,
    /// The servers' own registrations.
    Registrations,
}

/// What is said of one server. At least one source has it.
#[derive(Debug, Default)]
struct Known {
    /// The word of each source that has it.
    words: [Option<Host>; 2],
    /// A source took it out while the other still has it; the latest birth that was known then.
    gone: Option<f64>,
    /// What was last said of it.
    said: Option<Host>,
}

impl Known {
    /// The latest birth that any word gives.
    fn born(&self) -> f64 {
        self.words.iter().flatten().map(|h| h.born_ms).fold(0.0, f64::max)
    }

    /// The one entry that comes of all words; `None` where it is gone.
    fn entry(&self) -> Option<Host> {
        if self.gone.is_some() {
            return None;
        }
        let [discovery, registration] = &self.words;
        let mut entry = match (discovery, registration) {
            (Some(d), Some(r)) if d.born_ms > r.born_ms => d.clone(),
            (_, Some(r)) => r.clone(),
            (Some(d), None) => d.clone(),
            (None, None) => return None,
        };
        // Also of an older birth: a drain that is taken for an old one would be missed where clocks differ.
        entry.health = self.words.iter().flatten().map(|h| h.health).max().unwrap_or(Health::Left);
        Some(entry)
    }
}

/// All that two sources say.
#[derive(Debug, Default)]
pub struct Merge {
    known: BTreeMap<String, Known>,
}

impl Merge {
    /// How many servers are in the one list.
    pub fn len(&self) -> usize {
        self.known.values().filter(|k| k.said.is_some()).count()
    }

    /// Are there none?
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes what one source says; gives what that makes of the one list. It is the whole list where discovery gave the
    /// whole, and else what has changed.
    pub fn take(&mut self, source: Source, update: Update) -> Update {
        let slot = source as usize;
        let mut touched: Vec<String> = update.hosts.iter().map(|h| h.host.clone()).collect();
        if update.whole {
            let here: std::collections::BTreeSet<&str> =
                update.hosts.iter().filter(|h| h.health != Health::Left).map(|h| h.host.as_str()).collect();
            let missing = self.known.iter().filter(|(_, k)| k.words[slot].is_some());
            let missing = missing.map(|(name, _)| name).filter(|name| !here.contains(name.as_str()));
            let missing: Vec<String> = missing.cloned().collect();
            missing.iter().for_each(|name| self.gone(slot, name));
            touched.extend(missing);
        }
        for host in update.hosts {
            if host.health == Health::Left {
                self.gone(slot, &host.host.clone());
            } else {
                self.here(slot, host);
            }
        }
        let mut changed = Vec::new();
        for name in touched {
            let Some(known) = self.known.get_mut(&name) else { continue };
            let entry = known.entry();
            if entry != known.said {
                changed.extend(entry.clone().or_else(|| known.said.as_ref().map(Host::left)));
                known.said = entry;
            }
            if known.words.iter().all(Option::is_none) {
                self.known.remove(&name);
            }
        }
        let whole = update.whole && source == Source::Discovery;
        let hosts =
            if whole { self.known.values().filter_map(|k| k.said.clone()).collect() } else { changed };
        Update { version: update.version, whole, hosts }
    }

    fn here(&mut self, slot: usize, host: Host) {
        let known = self.known.entry(host.host.clone()).or_default();
        // It is said anew by who took it out, or it is a later process than the one that went.
        if known.gone.is_some_and(|born| known.words[slot].is_none() || host.born_ms > born) {
            known.gone = None;
        }
        known.words[slot] = Some(host);
    }

    fn gone(&mut self, slot: usize, name: &str) {
        let Some(known) = self.known.get_mut(name) else { return };
        let born = known.born();
        if known.words[slot].take().is_some() {
            known.gone = known.words.iter().any(Option::is_some).then_some(born);
        }
    }
}
