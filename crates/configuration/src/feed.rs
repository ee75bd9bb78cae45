//! A publisher's side: a bounded log of changes, the resources at its end, and subscribers who are each sent what they lack.
//!
//! A subscriber costs a cursor, however far it is behind: changes come out of the log, or, where the log does not reach back to it,
//! a snapshot in pieces. What may be sent to it at a time is bounded by its credit, so one that is slow holds up nobody else; what
//! all of them together are sent is bounded by a rate, and they take turns.

use std::collections::{BTreeMap, VecDeque};

use crate::change::{Change, Logged};
use crate::message::{Piece, Publication, Request, Resume, Summary};
use crate::resource::{Key, Scope};
use crate::resources::Resources;
use crate::version::{Digest, Position, Version};
use crate::Time;

/// A subscriber, by a number that its driver gives.
pub type Subscriber = u64;

/// How a feed serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How many changes are kept.
    pub log_most: usize,
    /// How many resources a piece of a snapshot holds at the most.
    pub piece_entries: usize,
    /// How many resources and changes may be sent a second, to all subscribers together.
    pub entries_per_s: u64,
    /// How often a subscriber is told that its publisher is there, in milliseconds.
    pub alive_ms: u64,
    /// After how long without a word a subscriber is forgotten, in milliseconds.
    pub forget_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { log_most: 2_000, piece_entries: 200, entries_per_s: 200_000, alive_ms: 500, forget_ms: 30_000 }
    }
}

/// For how long what may be sent can be saved up, in milliseconds.
const BURST_MS: u64 = 100;
/// How many messages may be under way to one subscriber.
pub const CREDIT: u32 = 16;

/// What a subscriber is being sent.
enum Sending {
    /// Changes after this version.
    Changes(Version),
    /// A snapshot.
    Snapshot(Box<SnapshotCursor>),
    /// Nothing: it is ahead of this publisher, or of another history.
    Nothing,
}

struct SnapshotCursor {
    of: Position,
    resources: Resources,
    pieces: u32,
    after: Option<Key>,
    digest: Digest,
}

struct State {
    scope: Scope,
    sending: Sending,
    credit: u32,
    heard: Time,
    next_alive: Time,
    summary: Summary,
}

/// A publisher's side.
pub struct Feed {
    settings: Settings,
    head: Position,
    resources: Resources,
    /// The position that the first change of the log follows on.
    base: Position,
    log: VecDeque<Logged>,
    /// The snapshot that is being sent, in common for all who need one.
    pinned: Option<(Position, Resources)>,
    subscribers: BTreeMap<Subscriber, State>,
    /// Who had the last turn.
    turn: Subscriber,
    allowance: f64,
    allowed_at: Time,
    /// The highest position that a subscriber had beyond this publisher's.
    ahead: Option<Version>,
    currency: Currency,
}

/// Since when the position is known to be the source's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Currency {
    /// This is the source.
    Source,
    /// It was at that time, for the last time; `None`: not yet.
    Relay(Option<Time>),
}

impl Currency {
    fn age(self, now: Time) -> Option<u64> {
        match self {
            Self::Source => Some(0),
            Self::Relay(at) => at.map(|at| now.saturating_sub(at)),
        }
    }
}

impl Feed {
    /// A publisher that has nothing yet.
    pub fn new(settings: Settings, currency: Currency, now: Time) -> Self {
        Self {
            currency,
            settings,
            head: Position::default(),
            resources: Resources::default(),
            base: Position::default(),
            log: VecDeque::new(),
            pinned: None,
            subscribers: BTreeMap::new(),
            turn: 0,
            allowance: 0.0,
            allowed_at: now,
            ahead: None,
        }
    }

    /// The position that it has.
    pub fn head(&self) -> Position {
        self.head
    }

    /// All resources.
    pub fn resources(&self) -> &Resources {
        &self.resources
    }

    /// How many changes it keeps.
    pub fn log_len(&self) -> usize {
        self.log.len()
    }

    /// The highest version that a subscriber had beyond this publisher's, if any had.
    pub fn ahead(&self) -> Option<Version> {
        self.ahead
    }

    /// Takes a change over that follows on what it has.
    ///
    /// # Errors
    /// Gives the change back where it does not follow.
    pub fn append(&mut self, change: Change) -> Result<(), Change> {
        if !change.follows(self.head) {
            return Err(change);
        }
        self.head = change.position();
        let before = change.operations().map(|operation| self.resources.apply(operation)).collect();
        self.log.push_back(Logged { change, before });
        while self.log.len() > self.settings.log_most {
            if let Some(first) = self.log.pop_front() {
                self.base = first.change.position();
            }
        }
        Ok(())
    }

    /// Holds these resources at that position from now on, with no log of how they came to be. Whoever is subscribed begins anew.
    pub fn replace(&mut self, at: Position, resources: Resources) {
        (self.head, self.base, self.resources) = (at, at, resources);
        self.log.clear();
        self.pinned = None;
        self.ahead = self.ahead.filter(|ahead| *ahead > at.version);
        let positions: Vec<Subscriber> = self.subscribers.keys().copied().collect();
        for subscriber in positions {
            let sending = self.begin(None, None);
            if let Some(state) = self.subscribers.get_mut(&subscriber) {
                state.sending = sending;
            }
        }
    }

    /// When the position was last known to be the source's.
    pub fn set_currency(&mut self, currency: Currency) {
        self.currency = currency;
    }

    /// A subscriber has said something.
    pub fn receive(&mut self, now: Time, from: Subscriber, request: Request) {
        match request {
            Request::Subscribe { name: _, from: position, resume, scope } => {
                let sending = self.begin(position, resume);
                let summary = self.subscribers.remove(&from).map(|state| state.summary).unwrap_or_default();
                // Those who come at one time hear that it is there at different ones.
                let next_alive = now + 1 + from % self.settings.alive_ms.max(1);
                let state = State { scope, sending, credit: CREDIT, heard: now, next_alive, summary };
                self.subscribers.insert(from, state);
            }
            Request::Report(summary) => {
                if let Some(state) = self.subscribers.get_mut(&from) {
                    (state.heard, state.summary) = (now, summary);
                }
            }
        }
    }

    /// A subscriber is gone.
    pub fn leave(&mut self, subscriber: Subscriber) {
        self.subscribers.remove(&subscriber);
    }

    /// So many messages to a subscriber have been taken off: as many more may go.
    pub fn taken(&mut self, subscriber: Subscriber, messages: u32) {
        if let Some(state) = self.subscribers.get_mut(&subscriber) {
            state.credit = (state.credit + messages).min(CREDIT);
        }
    }

    /// Who is subscribed.
    pub fn subscribers(&self) -> impl Iterator<Item = Subscriber> + '_ {
        self.subscribers.keys().copied()
    }

    /// What all subscribers say of the nodes behind them.
    pub fn summary(&self) -> Summary {
        let mut sum = Summary::default();
        self.subscribers.values().for_each(|state| sum.add(&state.summary));
        sum
    }

    /// What one who has this is to be sent.
    fn begin(&mut self, from: Option<Position>, resume: Option<Resume>) -> Sending {
        if let Some(from) = from {
            if self.is_known(from) {
                return Sending::Changes(from.version);
            }
            if from.version.epoch >= self.head.version.epoch && from.version.epoch > 0 {
                // Not a version of this history, or none yet: to send it another one would be to lead it backwards.
                let is_ahead = from.version > self.head.version;
                if is_ahead || from.version >= self.base.version {
                    self.ahead = self.ahead.max(Some(from.version));
                    return Sending::Nothing;
                }
            }
        }
        if self.head.version == Version::default() {
            return Sending::Nothing;
        }
        let (of, resources) = self.pin();
        let cursor = match resume.filter(|resume| resume.of == of) {
            Some(resume) => SnapshotCursor {
                of,
                resources,
                pieces: resume.pieces,
                after: Some(resume.after),
                digest: resume.digest,
            },
            None => SnapshotCursor { of, resources, pieces: 0, after: None, digest: Digest::default() },
        };
        Sending::Snapshot(Box::new(cursor))
    }

    /// Is this a position of this history that the log still reaches back to?
    fn is_known(&self, position: Position) -> bool {
        if position == self.head || position == self.base {
            return true;
        }
        self.logged_after(position.version).is_some_and(|place| {
            self.log.get(place).is_some_and(|logged| logged.change.previous == position.digest)
        })
    }

    /// The place in the log of the change after that version.
    fn logged_after(&self, version: Version) -> Option<usize> {
        let first = self.log.front()?.change.version;
        let next = version.next();
        if next.epoch != first.epoch {
            return None;
        }
        usize::try_from(next.number.checked_sub(first.number)?).ok().filter(|place| *place < self.log.len())
    }

    /// The snapshot that is being sent; a new one where the log no longer reaches back to it.
    fn pin(&mut self) -> (Position, Resources) {
        if let Some((of, resources)) = &self.pinned {
            if self.is_known(*of) {
                return (*of, resources.clone());
            }
        }
        self.pinned = Some((self.head, self.resources.clone()));
        (self.head, self.resources.clone())
    }

    /// When it wants to be woken.
    pub fn due(&self) -> Option<Time> {
        let alive = self.subscribers.values().map(|state| state.next_alive).min();
        let waits = self.subscribers.values().any(|state| state.credit > 0 && self.has_more(state));
        let refilled = waits.then_some(self.allowed_at + 1);
        alive.into_iter().chain(refilled).min()
    }

    fn has_more(&self, state: &State) -> bool {
        match &state.sending {
            Sending::Changes(version) => *version < self.head.version,
            Sending::Snapshot(_) => true,
            Sending::Nothing => false,
        }
    }

    /// Forgets who has not been heard for long.
    pub fn tick(&mut self, now: Time) {
        let forget = self.settings.forget_ms;
        self.subscribers.retain(|_, state| now.saturating_sub(state.heard) < forget);
        if self.pinned.is_some()
            && !self.subscribers.values().any(|s| matches!(s.sending, Sending::Snapshot(_)))
        {
            self.pinned = None;
        }
    }

    /// The next thing to send, and to whom; `None` for now. Subscribers take turns.
    pub fn poll_transmit(&mut self, now: Time) -> Option<(Subscriber, Publication)> {
        let rate = self.settings.entries_per_s as f64 / 1e3;
        let elapsed = now.saturating_sub(self.allowed_at) as f64;
        self.allowance = (self.allowance + rate * elapsed).min((rate * BURST_MS as f64).max(1.0));
        self.allowed_at = now;
        let after = self.subscribers.range(self.turn + 1..);
        let mut order = after.chain(self.subscribers.range(..=self.turn));
        let subscriber = *order.find(|(_, state)| self.is_ready(now, state))?.0;
        self.turn = subscriber;
        Some((subscriber, self.next_for(now, subscriber)?))
    }

    /// May something go to this subscriber by now?
    fn is_ready(&self, now: Time, state: &State) -> bool {
        now >= state.next_alive || (state.credit > 0 && self.allowance >= 1.0 && self.has_more(state))
    }

    /// The next thing for one subscriber.
    fn next_for(&mut self, now: Time, subscriber: Subscriber) -> Option<Publication> {
        let (head, alive_ms, entries) = (self.head, self.settings.alive_ms, self.settings.piece_entries);
        let age_ms = self.currency.age(now);
        let state = self.subscribers.get_mut(&subscriber)?;
        if now >= state.next_alive {
            state.next_alive = now + alive_ms;
            return Some(match state.sending {
                Sending::Nothing => Publication::Behind(head),
                _ => Publication::Alive { at: head, age_ms },
            });
        }
        if state.credit == 0 || self.allowance < 1.0 {
            return None;
        }
        let publication = match &mut state.sending {
            Sending::Nothing => return None,
            Sending::Changes(version) if *version >= head.version => return None,
            Sending::Changes(version) => {
                let version = *version;
                let place = self.logged_after(version);
                let state = self.subscribers.get_mut(&subscriber)?;
                let Some(logged) = place.and_then(|place| self.log.get(place)) else {
                    // The log was cut while it was slow.
                    let sending = self.begin(None, None);
                    self.subscribers.get_mut(&subscriber)?.sending = sending;
                    return self.next_for(now, subscriber);
                };
                state.sending = Sending::Changes(version.next());
                self.allowance -= 1.0;
                Publication::Change(logged.scoped(&state.scope))
            }
            Sending::Snapshot(cursor) => {
                let (page, last) = cursor.resources.page(cursor.after.as_ref(), &state.scope, entries);
                self.allowance -= page.len().max(1) as f64;
                cursor.digest = Piece::chained(cursor.digest, &page);
                cursor.after = page.last().map(crate::Entry::key).or(cursor.after.take());
                let piece =
                    Piece { of: cursor.of, index: cursor.pieces, last, digest: cursor.digest, entries: page };
                cursor.pieces += 1;
                if last {
                    state.sending = Sending::Changes(piece.of.version);
                }
                Publication::Piece(piece)
            }
        };
        let state = self.subscribers.get_mut(&subscriber)?;
        state.credit -= 1;
        Some(publication)
    }
}
