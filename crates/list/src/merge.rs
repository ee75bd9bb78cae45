//! Merges the server lists of two sources, what was saved of them before the node's start, and the servers that
//! configuration names, matching servers by name.
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
//! 5. *What was saved before the start is no source* ([`SavedList`]). It stands in for the source whose list it
//!    is until that source has reported for the first time. Until then an entry of it counts in no field once
//!    a source lists the server, with one exception: a drain of the process that is listed, recognized by its
//!    start time, applies, since only its own source can take it back. A saved server that its source's first
//!    full list lacks was removed while the node was down. That is a removal by that source, with one
//!    exception: the list of the configuration file may have had the server from another source, so it takes
//!    out none that a source lists.
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

/// A list that was saved before the node's start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SavedList {
    /// The list that the node's configuration file gives it for its start. It is discovery's or, where
    /// discovery is not used, that of the registrations.
    Known,
    /// The node's own copy of the registrations.
    Registrations,
}

const SAVED_LISTS: [SavedList; 2] = [SavedList::Known, SavedList::Registrations];

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

/// What the sources report about one server. At least one source or saved list has it, or had it at the start.
#[derive(Debug, Default)]
struct ServerRecord {
    /// The latest entry of each source that lists the server, indexed by [`Source`].
    by_source: [Option<ListEntry>; 2],
    /// The entry of each saved list, indexed by [`SavedList`], until its source has reported.
    saved: [Option<ListEntry>; 2],
    /// What configuration knows of it, if configuration names it.
    configured: Option<ConfiguredServer>,
    /// Set while one source has removed the server and another still lists it: the latest start time known
    /// at the removal.
    removed_at_start: Option<f64>,
    /// The saved list that had it, if it was removed while the node was down. Another source or configuration
    /// may still name it, or name it later.
    removed_since: Option<SavedList>,
    /// The merged entry as last returned to the caller.
    published: Option<ListEntry>,
    /// Whether the merged entry as last returned came from a saved list alone.
    is_published_from_saved: bool,
}

/// The entry that gives the fields of a server, of those of discovery and of the registrations.
fn preferred([discovery, registration]: &[Option<ListEntry>; 2]) -> Option<&ListEntry> {
    match (discovery, registration) {
        (Some(d), Some(r)) if d.started_ms > r.started_ms => Some(d),
        (_, Some(r)) => Some(r),
        (d, None) => d.as_ref(),
    }
}

/// Whether a saved entry has no more than configuration gives, so that it may come from there.
fn may_be_configured(saved: &ListEntry) -> bool {
    saved.cell.is_none() && saved.kind.is_empty() && saved.started_ms == 0.0
}

impl ServerRecord {
    /// The latest start time in any source or saved list.
    fn latest_start(&self) -> f64 {
        self.by_source.iter().chain(&self.saved).flatten().map(|h| h.started_ms).fold(0.0, f64::max)
    }

    /// The merged entry; `None` if the server is removed.
    fn entry(&self) -> Option<ListEntry> {
        if self.removed_at_start.is_some() {
            return None;
        }
        let reported = preferred(&self.by_source);
        let mut entry = match (reported.or_else(|| preferred(&self.saved)), &self.configured) {
            (Some(listed), Some(configured)) => configured.overlay(listed.clone()),
            (Some(listed), None) => listed.clone(),
            (None, configured) => configured.as_ref()?.entry(),
        };
        let counts = |saved: &&ListEntry| reported.is_none_or(|entry| entry.started_ms == saved.started_ms);
        let saved = self.saved.iter().flatten().filter(counts);
        // Includes the entry with the older start time: with clock skew, a drain on it could be a current
        // one.
        let health = self.by_source.iter().flatten().chain(saved).map(|h| h.health).max();
        entry.health = health.unwrap_or(Health::Active);
        Some(entry)
    }

    fn is_reported(&self) -> bool {
        self.configured.is_some() || self.by_source.iter().any(Option::is_some)
    }

    fn is_listed(&self) -> bool {
        self.is_reported() || self.saved.iter().any(Option::is_some)
    }

    /// One of the sources, which listed the server until now, has removed it; `start` is the latest start time
    /// known before.
    fn on_removed(&mut self, start: f64) {
        self.removed_at_start = (self.is_listed() || self.removed_since.is_some()).then_some(start);
    }

    /// Whether an entry of a source ends the removal of the server.
    fn returns_with(&self, source: Source, entry: &ListEntry) -> bool {
        let is_listed_again = match self.removed_since {
            Some(SavedList::Registrations) => source == Source::Registrations,
            Some(SavedList::Known) | None => self.by_source[source as usize].is_none(),
        };
        is_listed_again || self.removed_at_start.is_some_and(|latest| entry.started_ms > latest)
    }

    /// The first full list of `source` is there, and `is_listed` tells whether it has the server: its saved
    /// lists give way to it. Returns whether any of them had the server.
    fn replace_saved(&mut self, source: Source, lists: &[SavedList], is_listed: bool) -> bool {
        let mut had_entry = false;
        for list in lists {
            let Some(saved) = self.saved[*list as usize].take() else { continue };
            had_entry = true;
            if is_listed {
                self.by_source[source as usize].get_or_insert(saved);
            } else if self.shows_removal(*list, &saved) {
                let start = self.removed_at_start.unwrap_or(0.0).max(saved.started_ms);
                (self.removed_at_start, self.removed_since) = (Some(start), Some(*list));
            }
        }
        had_entry
    }

    /// Whether the server was removed while the node was down: a saved list had this entry of it, and its
    /// source's first full list has none.
    fn shows_removal(&self, list: SavedList, saved: &ListEntry) -> bool {
        let mut reported = self.by_source.iter().flatten();
        match list {
            SavedList::Registrations => reported.all(|entry| entry.started_ms <= saved.started_ms),
            SavedList::Known => reported.next().is_none() && !may_be_configured(saved),
        }
    }
}

/// The merged list of all sources.
#[derive(Debug)]
pub struct MergedList {
    known: BTreeMap<String, ServerRecord>,
    /// The source whose list [`SavedList::Known`] is.
    known_list_source: Source,
    /// Whether each source has reported, indexed by [`Source`].
    has_reported: [bool; 2],
    /// How many servers of the merged list only saved lists have.
    saved_count: usize,
}

impl Default for MergedList {
    fn default() -> Self {
        Self::new(Source::Discovery)
    }
}

impl MergedList {
    /// Creates an empty list; `known_list_source` is the source whose list [`SavedList::Known`] is.
    pub fn new(known_list_source: Source) -> Self {
        Self { known: BTreeMap::new(), known_list_source, has_reported: [false; 2], saved_count: 0 }
    }

    /// The number of servers in the merged list.
    pub fn len(&self) -> usize {
        self.known.values().filter(|k| k.published.is_some()).count()
    }

    /// Whether the merged list has no servers.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The number of servers in the merged list that no source has listed yet, only saved lists.
    pub fn saved_count(&self) -> usize {
        self.saved_count
    }

    /// Takes a list that was saved before the start and returns the resulting changes of the merged list.
    /// Ignored if its source has reported already.
    pub fn restore(&mut self, list: SavedList, hosts: Vec<ListEntry>) -> Vec<ListEntry> {
        if self.has_reported[self.source_of(list) as usize] {
            return Vec::new();
        }
        let mut affected = Vec::new();
        for host in hosts.into_iter().filter(|host| host.health != Health::Left) {
            let name = host.host.clone();
            self.known.entry(name.clone()).or_default().saved[list as usize] = Some(host);
            affected.push(name);
        }
        self.publish(affected)
    }

    /// A source has reported that its saved list still holds: its entries become those of the source. Returns
    /// the resulting changes of the merged list.
    pub fn confirm(&mut self, source: Source) -> Vec<ListEntry> {
        if std::mem::replace(&mut self.has_reported[source as usize], true) {
            return Vec::new();
        }
        let lists = self.saved_lists_of(source);
        let mut affected = Vec::new();
        for (name, known) in &mut self.known {
            for list in &lists {
                let Some(saved) = known.saved[*list as usize].take() else { continue };
                known.by_source[source as usize].get_or_insert(saved);
                affected.push(name.clone());
            }
        }
        self.publish(affected)
    }

    /// Applies an update of one source and returns the resulting update of the merged list: the full list
    /// after a full update from discovery, otherwise only the entries that changed.
    pub fn apply(&mut self, source: Source, update: Update) -> Update {
        let slot = source as usize;
        let mut changed = Vec::new();
        if !update.is_full && source == Source::Discovery {
            // The changes follow on the saved list, whose version was asked from.
            changed = self.confirm(source);
        }
        let mut affected: Vec<String> = update.hosts.iter().map(|h| h.host.clone()).collect();
        if update.is_full {
            let listed: std::collections::BTreeSet<&str> =
                update.hosts.iter().filter(|h| h.health != Health::Left).map(|h| h.host.as_str()).collect();
            affected.extend(self.replace_saved(source, &listed));
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
                self.insert_entry(source, host);
            }
        }
        changed.extend(self.publish(affected));
        let whole = update.is_full && source == Source::Discovery;
        let hosts =
            if whole { self.known.values().filter_map(|k| k.published.clone()).collect() } else { changed };
        Update { version: update.version, is_full: whole, hosts }
    }

    fn source_of(&self, list: SavedList) -> Source {
        match list {
            SavedList::Known => self.known_list_source,
            SavedList::Registrations => Source::Registrations,
        }
    }

    fn saved_lists_of(&self, source: Source) -> Vec<SavedList> {
        SAVED_LISTS.into_iter().filter(|list| self.source_of(*list) == source).collect()
    }

    /// A source has reported its full list, with the servers of these names: its saved lists give way to it.
    /// Returns the names of the servers that they had.
    fn replace_saved(&mut self, source: Source, listed: &std::collections::BTreeSet<&str>) -> Vec<String> {
        if std::mem::replace(&mut self.has_reported[source as usize], true) {
            return Vec::new();
        }
        let lists = self.saved_lists_of(source);
        let had_entry = |(name, known): (&String, &mut ServerRecord)| {
            known.replace_saved(source, &lists, listed.contains(name.as_str())).then(|| name.clone())
        };
        self.known.iter_mut().filter_map(had_entry).collect()
    }

    /// Applies changes of the configuration and returns the entries of the merged list that changed by them.
    pub fn apply_configured(&mut self, changes: Vec<ConfiguredChange>) -> Vec<ListEntry> {
        let mut affected = Vec::new();
        for change in changes {
            match change {
                ConfiguredChange::Put(server) => {
                    affected.push(server.name.clone());
                    let known = self.known.entry(server.name.clone()).or_default();
                    if known.configured.is_none() && known.removed_since.is_none() {
                        known.removed_at_start = None;
                    }
                    known.configured = Some(server);
                }
                ConfiguredChange::Remove(name) => {
                    if let Some(known) = self.known.get_mut(&name) {
                        let start = known.latest_start();
                        if known.configured.take().is_some() {
                            known.removed_since = None;
                            known.on_removed(start);
                        }
                    }
                    affected.push(name);
                }
            }
        }
        self.publish(affected)
    }

    /// Brings the published entries of servers up to date and returns those that changed, and those that a
    /// source lists now and only a saved list had before. Forgets servers that nothing lists.
    fn publish(&mut self, names: Vec<String>) -> Vec<ListEntry> {
        let mut changed = Vec::new();
        for name in names {
            let Some(known) = self.known.get_mut(&name) else { continue };
            let entry = known.entry();
            let is_from_saved = entry.is_some() && !known.is_reported();
            let was_from_saved = std::mem::replace(&mut known.is_published_from_saved, is_from_saved);
            self.saved_count = self.saved_count + usize::from(is_from_saved) - usize::from(was_from_saved);
            if entry != known.published || (was_from_saved && !is_from_saved) {
                changed.extend(entry.clone().or_else(|| known.published.as_ref().map(ListEntry::as_removed)));
                known.published = entry;
            }
            if !known.is_listed() && known.removed_since.is_none() {
                self.known.remove(&name);
            }
        }
        changed
    }

    fn insert_entry(&mut self, source: Source, host: ListEntry) {
        let known = self.known.entry(host.host.clone()).or_default();
        if known.returns_with(source, &host) {
            (known.removed_at_start, known.removed_since) = (None, None);
        }
        known.by_source[source as usize] = Some(host);
    }

    fn remove_entry(&mut self, slot: usize, name: &str) {
        let Some(known) = self.known.get_mut(name) else { return };
        let start = known.latest_start();
        if known.by_source[slot].take().is_some() {
            known.on_removed(start);
        }
    }
}
