//! Merges the server lists of two sources, and the servers that configuration names, matching servers by name.
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
//! 4. *Configuration gives the zone and the weight, and nothing else*, of a server that another source lists: it
//!    does not know the rest. A removal from configuration applies like one by a source.
//!
//! A server that a source has never listed is not removed by its absence there: servers may be in one source
//! only.

use std::collections::BTreeMap;

use std::net::SocketAddr;

use crate::entry::{Endpoint, Health, ListEntry, Protocol, Update};

/// The source of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Discovery.
    Discovery,
    /// Registrations written by the servers themselves.
    Registrations,
}

/// What configuration knows of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfiguredServer {
    /// The name of the server, the same at every node.
    pub name: String,
    /// Where it listens, if no other source lists it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its weight.
    pub weight: f64,
}

impl ConfiguredServer {
    /// The entry of a server that only configuration knows.
    fn entry(&self) -> ListEntry {
        let endpoint = Endpoint { address: self.address, protocol: Protocol::Http1 };
        self.overlay(ListEntry::active(&self.name, endpoint))
    }

    /// The entry of another source, with what configuration knows in its place.
    fn overlay(&self, entry: ListEntry) -> ListEntry {
        ListEntry { zone: self.zone.clone(), weight: self.weight, ..entry }
    }
}

/// A change of the servers that configuration names.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfiguredChange {
    /// A server is new or has other values.
    Put(ConfiguredServer),
    /// The server of this name is no longer configured.
    Remove(String),
}

/// What the sources report about one server. At least one source lists it.
#[derive(Debug, Default)]
struct ServerRecord {
    /// The latest entry of each source that lists the server, indexed by [`Source`].
    by_source: [Option<ListEntry>; 2],
    /// What configuration knows of it, if configuration names it.
    configured: Option<ConfiguredServer>,
    /// Set while one source has removed the server and another still lists it: the latest start time known
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
        let listed = match (discovery, registration) {
            (Some(d), Some(r)) if d.started_ms > r.started_ms => Some(d),
            (_, Some(r)) => Some(r),
            (d, None) => d.as_ref(),
        };
        let mut entry = match (listed, &self.configured) {
            (Some(listed), Some(configured)) => configured.overlay(listed.clone()),
            (Some(listed), None) => listed.clone(),
            (None, configured) => configured.as_ref()?.entry(),
        };
        // Includes the entry with the older start time: with clock skew, a drain on it could be a current
        // one.
        let health = self.by_source.iter().flatten().map(|h| h.health).max();
        entry.health = health.unwrap_or(Health::Active);
        Some(entry)
    }

    fn is_listed(&self) -> bool {
        self.configured.is_some() || self.by_source.iter().any(Option::is_some)
    }

    /// One of the sources, which listed the server until now, has removed it; `start` is the latest start time
    /// known before.
    fn on_removed(&mut self, start: f64) {
        self.removed_at_start = self.is_listed().then_some(start);
    }
}

/// The merged list of all sources.
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
        let changed = self.publish(affected);
        let whole = update.is_full && source == Source::Discovery;
        let hosts =
            if whole { self.known.values().filter_map(|k| k.published.clone()).collect() } else { changed };
        Update { version: update.version, is_full: whole, hosts }
    }

    /// Applies changes of the configuration and returns the entries of the merged list that changed by them.
    pub fn apply_configured(&mut self, changes: Vec<ConfiguredChange>) -> Vec<ListEntry> {
        let mut affected = Vec::new();
        for change in changes {
            match change {
                ConfiguredChange::Put(server) => {
                    affected.push(server.name.clone());
                    let known = self.known.entry(server.name.clone()).or_default();
                    if known.configured.is_none() {
                        known.removed_at_start = None;
                    }
                    known.configured = Some(server);
                }
                ConfiguredChange::Remove(name) => {
                    if let Some(known) = self.known.get_mut(&name) {
                        let start = known.latest_start();
                        if known.configured.take().is_some() {
                            known.on_removed(start);
                        }
                    }
                    affected.push(name);
                }
            }
        }
        self.publish(affected)
    }

    /// Brings the published entries of servers up to date and returns those that changed. Forgets servers that
    /// no source lists.
    fn publish(&mut self, names: Vec<String>) -> Vec<ListEntry> {
        let mut changed = Vec::new();
        for name in names {
            let Some(known) = self.known.get_mut(&name) else { continue };
            let entry = known.entry();
            if entry != known.published {
                changed.extend(entry.clone().or_else(|| known.published.as_ref().map(ListEntry::as_removed)));
                known.published = entry;
            }
            if !known.is_listed() {
                self.known.remove(&name);
            }
        }
        changed
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
            known.on_removed(start);
        }
    }
}
