//! The publishing side: a bounded log of changes, the resources at its head, and the subscribers.
//!
//! The state per subscriber is one cursor, however far it is behind. It is sent changes from the log or, if
//! the log no longer reaches back to its position, a snapshot in pieces. Each subscriber has a credit that
//! bounds the messages in flight to it, so a slow one does not delay the others. A common rate limits what is
//! sent to all subscribers together, and they are served round-robin.

use std::collections::{BTreeMap, VecDeque};

use crate::change::{Change, LoggedChange};
use crate::message::{Piece, Publication, Request, Resume, Summary};
use crate::resource::{Key, Scope};
use crate::resources::Resources;
use crate::version::{Digest, Position, Version};
use crate::Time;

/// Identifies a subscriber; the number is assigned by the caller that owns the connections.
pub type Subscriber = u64;

/// Limits and intervals of a feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Maximum number of changes in the log.
    pub max_log_changes: usize,
    /// Maximum number of resources in one piece of a snapshot.
    pub piece_entries: usize,
    /// Rate limit for resources and changes sent to all subscribers together, per second.
    pub max_entries_per_s: u64,
    /// Interval of the keep-alive messages to each subscriber, in milliseconds.
    pub keep_alive_ms: u64,
    /// A subscriber that sends nothing for this long is removed, in milliseconds.
    pub subscriber_timeout_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_log_changes: 2_000,
            piece_entries: 200,
            max_entries_per_s: 200_000,
            keep_alive_ms: 500,
            subscriber_timeout_ms: 30_000,
        }
    }
}

/// Capacity of the rate limiter's token bucket, as milliseconds of its refill rate.
const BURST_MS: u64 = 100;
/// Maximum number of unacknowledged messages to one subscriber.
pub const MAX_CREDIT: u32 = 16;

/// What a subscriber is currently being sent.
enum Sending {
    /// The changes after this version, from the log.
    Changes(Version),
    /// A snapshot, in pieces.
    Snapshot(Box<SnapshotCursor>),
    /// Nothing: the subscriber is ahead of this publisher or has a diverging history, or there is nothing to
    /// send yet.
    Nothing,
}

/// A subscriber's progress through a snapshot.
struct SnapshotCursor {
    position: Position,
    resources: Resources,
    pieces: u32,
    after: Option<Key>,
    digest: Digest,
}

/// What a feed keeps for each subscriber.
struct SubscriberState {
    scope: Scope,
    sending: Sending,
    credit: u32,
    last_seen: Time,
    next_keep_alive: Time,
    summary: Summary,
}

/// The change log, the resources at its head and the state of all subscribers.
pub struct Feed {
    settings: Settings,
    head: Position,
    resources: Resources,
    /// The position before the first change of the log.
    base: Position,
    log: VecDeque<LoggedChange>,
    /// The snapshot that is being sent, shared by all subscribers that need one.
    pinned: Option<(Position, Resources)>,
    subscribers: BTreeMap<Subscriber, SubscriberState>,
    /// The subscriber that was served last, for the round-robin order.
    last_served: Subscriber,
    tokens: f64,
    refilled_at: Time,
    /// The highest version reported by a subscriber that is beyond this publisher's.
    subscriber_ahead: Option<Version>,
    freshness: Freshness,
}

/// How recently the head was known to be the source's position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// This is the source.
    Source,
    /// This is a relay, and its head last matched the source at this time; `None` if it never has.
    Relay(Option<Time>),
}

impl Freshness {
    fn age(self, now: Time) -> Option<u64> {
        match self {
            Self::Source => Some(0),
            Self::Relay(at) => at.map(|at| now.saturating_sub(at)),
        }
    }
}

impl Feed {
    /// Creates an empty feed at the default position.
    pub fn new(settings: Settings, freshness: Freshness, now: Time) -> Self {
        Self {
            freshness,
            settings,
            head: Position::default(),
            resources: Resources::default(),
            base: Position::default(),
            log: VecDeque::new(),
            pinned: None,
            subscribers: BTreeMap::new(),
            last_served: 0,
            tokens: 0.0,
            refilled_at: now,
            subscriber_ahead: None,
        }
    }

    /// The position of the last change.
    pub fn head(&self) -> Position {
        self.head
    }

    /// All resources at the head.
    pub fn resources(&self) -> &Resources {
        &self.resources
    }

    /// The number of changes in the log.
    pub fn log_len(&self) -> usize {
        self.log.len()
    }

    /// The highest version reported by a subscriber that is beyond this publisher's, if any.
    pub fn subscriber_ahead(&self) -> Option<Version> {
        self.subscriber_ahead
    }

    /// Applies a change that directly follows the head and adds it to the log.
    ///
    /// # Errors
    /// Returns the change if it does not follow the head.
    pub fn append(&mut self, change: Change) -> Result<(), Change> {
        if !change.follows(self.head) {
            return Err(change);
        }
        self.head = change.position();
        let before = change.operations().map(|operation| self.resources.apply(operation)).collect();
        self.log.push_back(LoggedChange { change, before });
        while self.log.len() > self.settings.max_log_changes {
            if let Some(first) = self.log.pop_front() {
                self.base = first.change.position();
            }
        }
        Ok(())
    }

    /// Replaces all resources and the position, and clears the log. Every subscriber is then sent a snapshot.
    pub fn replace(&mut self, at: Position, resources: Resources) {
        (self.head, self.base, self.resources) = (at, at, resources);
        self.log.clear();
        self.pinned = None;
        self.subscriber_ahead = self.subscriber_ahead.filter(|ahead| *ahead > at.version);
        let ids: Vec<Subscriber> = self.subscribers.keys().copied().collect();
        for subscriber in ids {
            let sending = self.select_sending(None, None);
            if let Some(state) = self.subscribers.get_mut(&subscriber) {
                state.sending = sending;
            }
        }
    }

    /// Sets how recently the head was known to be the source's position.
    pub fn set_freshness(&mut self, freshness: Freshness) {
        self.freshness = freshness;
    }

    /// Handles a request from a subscriber.
    pub fn receive(&mut self, now: Time, from: Subscriber, request: Request) {
        match request {
            Request::Subscribe { name: _, from: position, resume, scope } => {
                let sending = self.select_sending(position, resume);
                let summary = self.subscribers.remove(&from).map(|state| state.summary).unwrap_or_default();
                // Spreads the keep-alive messages of subscribers that arrive at the same time.
                let next_keep_alive = now + 1 + from % self.settings.keep_alive_ms.max(1);
                let state = SubscriberState {
                    scope,
                    sending,
                    credit: MAX_CREDIT,
                    last_seen: now,
                    next_keep_alive,
                    summary,
                };
                self.subscribers.insert(from, state);
            }
            Request::Report(summary) => {
                if let Some(state) = self.subscribers.get_mut(&from) {
                    (state.last_seen, state.summary) = (now, summary);
                }
            }
        }
    }

    /// Removes a subscriber whose connection has closed.
    pub fn remove_subscriber(&mut self, subscriber: Subscriber) {
        self.subscribers.remove(&subscriber);
    }

    /// Returns credit for messages that the subscriber has received, so that as many more may be sent.
    pub fn release_credit(&mut self, subscriber: Subscriber, messages: u32) {
        if let Some(state) = self.subscribers.get_mut(&subscriber) {
            state.credit = (state.credit + messages).min(MAX_CREDIT);
        }
    }

    /// The current subscribers.
    pub fn subscribers(&self) -> impl Iterator<Item = Subscriber> + '_ {
        self.subscribers.keys().copied()
    }

    /// The combined reports of all subscribers about the nodes behind them.
    pub fn summary(&self) -> Summary {
        let mut sum = Summary::default();
        self.subscribers.values().for_each(|state| sum.add(&state.summary));
        sum
    }

    /// Decides what to send to a subscriber that has the position `from` and perhaps an unfinished snapshot.
    fn select_sending(&mut self, from: Option<Position>, resume: Option<Resume>) -> Sending {
        if let Some(from) = from {
            if self.is_known(from) {
                return Sending::Changes(from.version);
            }
            if from.version.epoch >= self.head.version.epoch && from.version.epoch > 0 {
                // The version is not, or not yet, in this history. Sending another one would move the
                // subscriber backwards.
                let is_ahead = from.version > self.head.version;
                if is_ahead || from.version >= self.base.version {
                    self.subscriber_ahead = self.subscriber_ahead.max(Some(from.version));
                    return Sending::Nothing;
                }
            }
        }
        if self.head.version == Version::default() {
            return Sending::Nothing;
        }
        let (position, resources) = self.pin_snapshot();
        let cursor = match resume.filter(|resume| resume.position == position) {
            Some(resume) => SnapshotCursor {
                position,
                resources,
                pieces: resume.pieces,
                after: Some(resume.after),
                digest: resume.digest,
            },
            None => SnapshotCursor { position, resources, pieces: 0, after: None, digest: Digest::default() },
        };
        Sending::Snapshot(Box::new(cursor))
    }

    /// Returns whether the position belongs to this history and the log still reaches back to it.
    fn is_known(&self, position: Position) -> bool {
        if position == self.head || position == self.base {
            return true;
        }
        self.log_index_after(position.version).is_some_and(|log_index| {
            self.log.get(log_index).is_some_and(|logged| logged.change.previous == position.digest)
        })
    }

    /// The index in the log of the change that follows `version`.
    fn log_index_after(&self, version: Version) -> Option<usize> {
        let first = self.log.front()?.change.version;
        let next = version.next();
        if next.epoch != first.epoch {
            return None;
        }
        usize::try_from(next.number.checked_sub(first.number)?)
            .ok()
            .filter(|log_index| *log_index < self.log.len())
    }

    /// The shared snapshot, or a new one if there is none or the log no longer reaches back to it.
    fn pin_snapshot(&mut self) -> (Position, Resources) {
        if let Some((position, resources)) = &self.pinned {
            if self.is_known(*position) {
                return (*position, resources.clone());
            }
        }
        self.pinned = Some((self.head, self.resources.clone()));
        (self.head, self.resources.clone())
    }

    /// When to call [`Feed::tick`] and [`Feed::poll_transmit`] next; `None` if nothing is scheduled.
    pub fn next_wakeup(&self) -> Option<Time> {
        let alive = self.subscribers.values().map(|state| state.next_keep_alive).min();
        let has_backlog = self.subscribers.values().any(|state| state.credit > 0 && self.has_more(state));
        let refilled = has_backlog.then_some(self.refilled_at + 1);
        alive.into_iter().chain(refilled).min()
    }

    /// Returns whether there is a change or a snapshot piece to send to the subscriber.
    fn has_more(&self, state: &SubscriberState) -> bool {
        match &state.sending {
            Sending::Changes(version) => *version < self.head.version,
            Sending::Snapshot(_) => true,
            Sending::Nothing => false,
        }
    }

    /// Removes subscribers that have been silent for too long, and an unused shared snapshot.
    pub fn tick(&mut self, now: Time) {
        let timeout_ms = self.settings.subscriber_timeout_ms;
        self.subscribers.retain(|_, state| now.saturating_sub(state.last_seen) < timeout_ms);
        if self.pinned.is_some()
            && !self.subscribers.values().any(|s| matches!(s.sending, Sending::Snapshot(_)))
        {
            self.pinned = None;
        }
    }

    /// The next message and the subscriber to send it to; `None` if there is nothing to send now.
    pub fn poll_transmit(&mut self, now: Time) -> Option<(Subscriber, Publication)> {
        let rate = self.settings.max_entries_per_s as f64 / 1e3;
        let elapsed = now.saturating_sub(self.refilled_at) as f64;
        self.tokens = (self.tokens + rate * elapsed).min((rate * BURST_MS as f64).max(1.0));
        self.refilled_at = now;
        let after = self.subscribers.range(self.last_served + 1..);
        let mut order = after.chain(self.subscribers.range(..=self.last_served));
        let subscriber = *order.find(|(_, state)| self.is_ready(now, state))?.0;
        self.last_served = subscriber;
        Some((subscriber, self.next_publication(now, subscriber)?))
    }

    /// Returns whether something may be sent to this subscriber now.
    fn is_ready(&self, now: Time, state: &SubscriberState) -> bool {
        now >= state.next_keep_alive || (state.credit > 0 && self.tokens >= 1.0 && self.has_more(state))
    }

    /// The next message for one subscriber.
    fn next_publication(&mut self, now: Time, subscriber: Subscriber) -> Option<Publication> {
        let (head, keep_alive_ms, entries) =
            (self.head, self.settings.keep_alive_ms, self.settings.piece_entries);
        let age_ms = self.freshness.age(now);
        let state = self.subscribers.get_mut(&subscriber)?;
        if now >= state.next_keep_alive {
            state.next_keep_alive = now + keep_alive_ms;
            return Some(match state.sending {
                Sending::Nothing => Publication::Behind(head),
                _ => Publication::Alive { at: head, age_ms },
            });
        }
        if state.credit == 0 || self.tokens < 1.0 {
            return None;
        }
        let publication = match &mut state.sending {
            Sending::Nothing => return None,
            Sending::Changes(version) if *version >= head.version => return None,
            Sending::Changes(version) => {
                let version = *version;
                let log_index = self.log_index_after(version);
                let state = self.subscribers.get_mut(&subscriber)?;
                let Some(logged) = log_index.and_then(|log_index| self.log.get(log_index)) else {
                    // The log was truncated past this slow subscriber's position: send it a snapshot instead.
                    let sending = self.select_sending(None, None);
                    self.subscribers.get_mut(&subscriber)?.sending = sending;
                    return self.next_publication(now, subscriber);
                };
                state.sending = Sending::Changes(version.next());
                self.tokens -= 1.0;
                Publication::Change(logged.scoped(&state.scope))
            }
            Sending::Snapshot(cursor) => {
                let (page, last) = cursor.resources.page(cursor.after.as_ref(), &state.scope, entries);
                self.tokens -= page.len().max(1) as f64;
                cursor.digest = Piece::chained_digest(cursor.digest, &page);
                cursor.after = page.last().map(crate::Entry::key).or(cursor.after.take());
                let piece = Piece {
                    position: cursor.position,
                    index: cursor.pieces,
                    last,
                    digest: cursor.digest,
                    entries: page,
                };
                cursor.pieces += 1;
                if last {
                    state.sending = Sending::Changes(piece.position.version);
                }
                Publication::Piece(piece)
            }
        };
        let state = self.subscribers.get_mut(&subscriber)?;
        state.credit -= 1;
        Some(publication)
    }
}
