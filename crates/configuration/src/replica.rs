//! The replica in a node: what the node has in force, and what is new and waits to be taken.
//!
//! What is new is offered as a whole: every change since the version in force together, so that one that the node turned down counts
//! again once a later change has mended it. Until the node accepts an offer, nothing of it counts.

use std::collections::{BTreeMap, VecDeque};

use crate::change::{Change, Operation};
use crate::follower::{Event, Follower};
use crate::message::{Publication, Rejection, Request, Summary};
use crate::resource::{Entry, Key, Scope};
use crate::resources::Resources;
use crate::version::Version;
use crate::Time;

/// How often it says how far it is, in milliseconds, where nothing changes.
const REPORT_MS: u64 = 10_000;

/// What is new since the version in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// The version that it leads to.
    pub version: Version,
    /// The resources that are otherwise, `None` for those that are no more; in the order of their keys.
    pub changes: BTreeMap<Key, Option<Entry>>,
}

/// The replica in a node.
pub struct Replica {
    name: String,
    follower: Follower,
    resources: Resources,
    in_force: Option<Version>,
    pending: BTreeMap<Key, Option<Entry>>,
    /// An offer is out, or is to be made.
    offers: bool,
    rejected: Option<Rejection>,
    next_report: Time,
    requests: VecDeque<Request>,
}

impl Replica {
    /// One that has nothing yet, and may follow any of so many publishers, the nearest first.
    pub fn new(name: &str, scope: Scope, publishers: usize, seed: u64, now: Time) -> Self {
        Self {
            name: name.to_string(),
            follower: Follower::new(name, scope, publishers, seed, now),
            resources: Resources::default(),
            in_force: None,
            pending: BTreeMap::new(),
            offers: false,
            rejected: None,
            next_report: now + REPORT_MS,
            requests: VecDeque::new(),
        }
    }

    /// The version in force; `None` before the first.
    pub fn in_force(&self) -> Option<Version> {
        self.in_force
    }

    /// The last version that has come, in force or not.
    pub fn received(&self) -> Option<Version> {
        self.follower.position().map(|position| position.version)
    }

    /// The resources in force.
    pub fn resources(&self) -> &Resources {
        &self.resources
    }

    /// What the node turned down, if nothing later has been accepted.
    pub fn rejected(&self) -> Option<&Rejection> {
        self.rejected.as_ref()
    }

    /// How long ago it was last known to have what the source has, in milliseconds; `None` before it first was.
    pub fn age(&self, now: Time) -> Option<u64> {
        self.follower.age(now)
    }

    /// Which publisher it follows.
    pub fn publisher(&self) -> usize {
        self.follower.publisher()
    }

    /// The version of a publisher that is behind this one, if its last word was that.
    pub fn behind(&self) -> Option<Version> {
        self.follower.behind()
    }

    /// When it wants to be woken.
    pub fn due(&self) -> Time {
        self.follower.due().min(self.next_report)
    }

    /// Does what is due by now.
    pub fn tick(&mut self, now: Time) {
        self.requests.extend(self.follower.tick(now));
        if now >= self.next_report {
            self.report(now);
        }
    }

    /// The connection to its publisher is gone.
    pub fn disconnected(&mut self, now: Time) {
        self.follower.disconnected(now);
    }

    /// Its publisher has said something.
    pub fn receive(&mut self, now: Time, publication: Publication) {
        match self.follower.receive(now, publication) {
            Some(Event::Change(change)) => self.take_change(&change),
            Some(Event::Snapshot(_, resources)) => self.take_snapshot(&resources),
            None => {}
        }
        self.requests.extend(self.follower.tick(now));
    }

    fn take_change(&mut self, change: &Change) {
        let scope = self.follower.scope();
        for operation in change.operations() {
            let value = match operation {
                // Out of sight is gone.
                Operation::Put(entry) => scope.includes(&entry.name, &entry.body).then(|| entry.clone()),
                Operation::Remove { .. } => None,
            };
            self.pending.insert(operation.key(), value);
        }
        self.offers = true;
    }

    fn take_snapshot(&mut self, next: &Resources) {
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
        self.offers = true;
    }

    /// What is new, once for each version that has come. The node answers with [`Replica::accept`] or [`Replica::reject`].
    pub fn poll_offer(&mut self) -> Option<Offer> {
        let version = self.received().filter(|_| std::mem::take(&mut self.offers))?;
        Some(Offer { version, changes: self.pending.clone() })
    }

    /// The node has taken an offer over, as a whole.
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

    /// The node has turned an offer down: what is in force stays.
    pub fn reject(&mut self, now: Time, version: Version, reason: String) {
        self.rejected = Some(Rejection { node: self.name.clone(), version, reason });
        self.report(now);
    }

    fn report(&mut self, now: Time) {
        self.next_report = now + REPORT_MS;
        let in_force = self.in_force.unwrap_or_default();
        let rejections = self.rejected.iter().cloned().collect();
        self.requests
            .push_back(Request::Report(Summary { in_force: BTreeMap::from([(in_force, 1)]), rejections }));
    }

    /// The next thing to say to its publisher.
    pub fn poll_request(&mut self) -> Option<Request> {
        self.requests.pop_front()
    }
}
