//! The replica in a node: the configuration in force, and the pending changes that the node has not accepted
//! yet.
//!
//! An offer contains all changes since the version in force. A change that the node rejected is therefore
//! offered again together with a later change that corrects it. Nothing of an offer takes effect until the
//! node accepts it.

use std::collections::{BTreeMap, VecDeque};

use crate::change::{Change, Operation};
use crate::follower::{Event, Follower};
use crate::message::{Publication, Rejection, Request, Summary};
use crate::resource::{Entry, Key, Scope};
use crate::resources::Resources;
use crate::version::Version;
use crate::Time;

/// Interval of the reports to the publisher while nothing changes, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 10_000;

/// All changes since the version in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// The version that is in force once the offer is accepted.
    pub version: Version,
    /// The changed resources in key order; `None` for a removed one.
    pub changes: BTreeMap<Key, Option<Entry>>,
}

/// A node's copy of the configuration within its scope.
pub struct Replica {
    name: String,
    follower: Follower,
    resources: Resources,
    in_force: Option<Version>,
    pending: BTreeMap<Key, Option<Entry>>,
    /// A change or snapshot has arrived since the last offer, so a new offer is to be made.
    offer_due: bool,
    rejected: Option<Rejection>,
    next_report: Time,
    requests: VecDeque<Request>,
}

impl Replica {
    /// Creates an empty replica. `publishers` is the number of publishers, ordered from the nearest.
    pub fn new(name: &str, scope: Scope, publishers: usize, seed: u64, now: Time) -> Self {
        Self {
            name: name.to_string(),
            follower: Follower::new(name, scope, publishers, seed, now),
            resources: Resources::default(),
            in_force: None,
            pending: BTreeMap::new(),
            offer_due: false,
            rejected: None,
            next_report: now + REPORT_INTERVAL_MS,
            requests: VecDeque::new(),
        }
    }

    /// The version in force; `None` until the first offer is accepted.
    pub fn version_in_force(&self) -> Option<Version> {
        self.in_force
    }

    /// The last version received, in force or not.
    pub fn received_version(&self) -> Option<Version> {
        self.follower.position().map(|position| position.version)
    }

    /// The resources in force.
    pub fn resources(&self) -> &Resources {
        &self.resources
    }

    /// The last rejection by the node, if no offer has been accepted since.
    pub fn last_rejection(&self) -> Option<&Rejection> {
        self.rejected.as_ref()
    }

    /// The time since the received version was last known to be the source's, in milliseconds; `None` if it
    /// never was.
    pub fn age_ms(&self, now: Time) -> Option<u64> {
        self.follower.age_ms(now)
    }

    /// The index of the publisher that it follows.
    pub fn publisher_index(&self) -> usize {
        self.follower.publisher_index()
    }

    /// The publisher's version, if it last reported that it is behind this replica.
    pub fn publisher_behind(&self) -> Option<Version> {
        self.follower.publisher_behind()
    }

    /// When to call [`Self::tick`] next.
    pub fn next_wakeup(&self) -> Time {
        self.follower.next_wakeup().min(self.next_report)
    }

    /// Performs the timed work that is due: timeouts, subscribe requests and reports.
    pub fn tick(&mut self, now: Time) {
        self.requests.extend(self.follower.tick(now));
        if now >= self.next_report {
            self.report(now);
        }
    }

    /// Handles a failed or broken connection to the publisher.
    pub fn disconnected(&mut self, now: Time) {
        self.follower.disconnected(now);
    }

    /// Handles a message from the publisher.
    pub fn receive(&mut self, now: Time, publication: Publication) {
        match self.follower.receive(now, publication) {
            Some(Event::Change(change)) => self.add_change(&change),
            Some(Event::Snapshot(_, resources)) => self.compare_snapshot(&resources),
            None => {}
        }
        self.requests.extend(self.follower.tick(now));
    }

    /// Adds a change to the pending changes.
    fn add_change(&mut self, change: &Change) {
        let scope = self.follower.scope();
        for operation in change.operations() {
            let value = match operation {
                // For this replica, a resource that leaves the scope is removed.
                Operation::Put(entry) => scope.includes(&entry.name, &entry.body).then(|| entry.clone()),
                Operation::Remove { .. } => None,
            };
            self.pending.insert(operation.key(), value);
        }
        self.offer_due = true;
    }

    /// Replaces the pending changes by the differences between the snapshot and the resources in force.
    fn compare_snapshot(&mut self, next: &Resources) {
        self.pending.clear();
        for (key, entry) in next.iter() {
            if self.resources.get(key) != Some(entry) {
                self.pending.insert(key.clone(), Some(entry.clone()));
            }
        }
        for (key, _) in self.resources.iter() {
            if next.get(key).is_none() {
                self.pending.insert(key.clone(), None);
            }
        }
        self.offer_due = true;
    }

    /// All changes since the version in force; returned once after each received change or snapshot. The node
    /// answers with [`Replica::accept`] or [`Replica::reject`].
    pub fn poll_offer(&mut self) -> Option<Offer> {
        let version = self.received_version().filter(|_| std::mem::take(&mut self.offer_due))?;
        Some(Offer { version, changes: self.pending.clone() })
    }

    /// Puts an offer in force after the node has applied all of it.
    pub fn accept(&mut self, now: Time, offer: Offer) {
        for (key, entry) in offer.changes {
            if self.pending.get(&key) == Some(&entry) {
                self.pending.remove(&key);
            }
            match entry {
                Some(entry) => drop(self.resources.put(entry)),
                None => drop(self.resources.remove(&key)),
            }
        }
        (self.in_force, self.rejected) = (Some(offer.version), None);
        self.report(now);
    }

    /// Records that the node rejected an offer; the version in force stays.
    pub fn reject(&mut self, now: Time, version: Version, reason: String) {
        self.rejected = Some(Rejection { node: self.name.clone(), version, reason });
        self.report(now);
    }

    /// Queues a report about this node for the publisher.
    fn report(&mut self, now: Time) {
        self.next_report = now + REPORT_INTERVAL_MS;
        let in_force = self.in_force.unwrap_or_default();
        let rejections = self.rejected.iter().cloned().collect();
        self.requests
            .push_back(Request::Report(Summary { in_force: BTreeMap::from([(in_force, 1)]), rejections }));
    }

    /// The next request to send to the publisher.
    pub fn poll_request(&mut self) -> Option<Request> {
        self.requests.pop_front()
    }
}
