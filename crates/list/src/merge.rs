//! Merges the server lists of two sources, matching servers by name.
//!
//! Precedence when the sources disagree:
//!
//! 1. *A removal by either source applies.* A server that one source removes is gone even if the other still
//!    lists it: the slower source reports departures late, and requests to a departed server fail. The server
//!    returns when the source that removed it lists it again, or when the other source reports a start time
//!    later than any known before.
//! 2. *A drain reported by either source applies*, for as long as that source reports it.
//! 3. *All other fields* (address, zone, kind, cell, weight, start time) come from the entry with the later
//!    start time. On a tie the registration wins, since the server itself wrote it.
//!
//! A server that a source has never listed is not removed by its absence there: servers may be in one source
//! only.

use std::collections::BTreeMap;

use crate::entry::{Health, ListEntry, Update};

/// The source of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Discovery.
    Discovery,
    /// Registrations written by the servers themselves.
    Registrations,
}

/// What the sources report about one server. At least one source lists it.
#[derive(Debug, Default)]
struct ServerRecord {
    /// The latest entry of each source that lists the server, indexed by [`Source`].
    by_source: [Option<ListEntry>; 2],
    /// Set while one source has removed the server and the other still lists it: the latest start time known
    /// at the removal.
    removed_at_start: Option<f64>,
    /// The merged entry as last returned to the caller.
    published: Option<ListEntry>,
}

impl ServerRecord {
    /// The latest start time in any source.
    fn latest_start(&self) -> f64 {
        self.by_source.iter().flatten().map(|h| h.started_ms).fold(0.0, f64::max)
    }

    /// The merged entry; `None` if the server is removed.
    fn entry(&self) -> Option<ListEntry> {
        if self.removed_at_start.is_some() {
            return None;
        }
        let [discovery, registration] = &self.by_source;
        let mut entry = match (discovery, registration) {
            (Some(d), Some(r)) if d.started_ms > r.started_ms => d.clone(),
            (_, Some(r)) => r.clone(),
            (Some(d), None) => d.clone(),
            (None, None) => return None,
        };
        // Includes the entry with the older start time: with clock skew, a drain on it could be a current
        // one.
        entry.health = self.by_source.iter().flatten().map(|h| h.health).max().unwrap_or(Health::Left);
        Some(entry)
    }
}

/// The merged list of both sources.
#[derive(Debug, Default)]
pub struct MergedList {
    known: BTreeMap<String, ServerRecord>,
}

impl MergedList {
    /// The number of servers in the merged list.
    pub fn len(&self) -> usize {
        self.known.values().filter(|k| k.published.is_some()).count()
    }

    /// Whether the merged list has no servers.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Applies an update of one source and returns the resulting update of the merged list: the full list
    /// after a full update from discovery, otherwise only the entries that changed.
    pub fn apply(&mut self, source: Source, update: Update) -> Update {
        let slot = source as usize;
        let mut affected: Vec<String> = update.hosts.iter().map(|h| h.host.clone()).collect();
        if update.is_full {
            let listed: std::collections::BTreeSet<&str> =
                update.hosts.iter().filter(|h| h.health != Health::Left).map(|h| h.host.as_str()).collect();
            let missing = self.known.iter().filter(|(_, k)| k.by_source[slot].is_some());
            let missing = missing.map(|(name, _)| name).filter(|name| !listed.contains(name.as_str()));
            let missing: Vec<String> = missing.cloned().collect();
            missing.iter().for_each(|name| self.remove_entry(slot, name));
            affected.extend(missing);
        }
        for host in update.hosts {
            if host.health == Health::Left {
                self.remove_entry(slot, &host.host.clone());
            } else {
                self.insert_entry(slot, host);
            }
        }
        let mut changed = Vec::new();
        for name in affected {
            let Some(known) = self.known.get_mut(&name) else { continue };
            let entry = known.entry();
            if entry != known.published {
                changed.extend(entry.clone().or_else(|| known.published.as_ref().map(ListEntry::as_removed)));
                known.published = entry;
            }
            if known.by_source.iter().all(Option::is_none) {
                self.known.remove(&name);
            }
        }
        let whole = update.is_full && source == Source::Discovery;
        let hosts =
            if whole { self.known.values().filter_map(|k| k.published.clone()).collect() } else { changed };
        Update { version: update.version, is_full: whole, hosts }
    }

    fn insert_entry(&mut self, slot: usize, host: ListEntry) {
        let known = self.known.entry(host.host.clone()).or_default();
        // Listed again by the source that removed it, or started later than the process that was removed.
        if known
            .removed_at_start
            .is_some_and(|latest| known.by_source[slot].is_none() || host.started_ms > latest)
        {
            known.removed_at_start = None;
        }
        known.by_source[slot] = Some(host);
    }

    fn remove_entry(&mut self, slot: usize, name: &str) {
        let Some(known) = self.known.get_mut(name) else { return };
        let start = known.latest_start();
        if known.by_source[slot].take().is_some() {
            known.removed_at_start = known.by_source.iter().any(Option::is_some).then_some(start);
        }
    }
}
