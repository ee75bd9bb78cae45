//! A subscriber's side: it follows one of several publishers, checks the chain of digests, notices what was lost, and goes to
//! another publisher where the one it has is silent or behind.

use crate::change::Change;
use crate::message::{Piece, Publication, Request, Resume};
use crate::resource::{Entry, Scope};
use crate::resources::Resources;
use crate::version::{Digest, Position, Version};
use crate::Time;

/// After how long without a word a publisher is left for another, in milliseconds: a few of its signs of life may be lost.
pub const SILENCE_MS: u64 = 2_500;
/// From which age on what a publisher has is stale, and another one is tried, in milliseconds.
const STALE_MS: u64 = 5_000;
/// How soon what was lost is asked for again, at first and at most, in milliseconds.
const AGAIN_MS: (u64, u64) = (250, 4_000);

/// What has come.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A change that follows on the last.
    Change(Change),
    /// A whole snapshot, in place of all that was there.
    Snapshot(Position, Resources),
}

struct Staging {
    of: Position,
    pieces: u32,
    digest: Digest,
    entries: Vec<Entry>,
}

/// A subscriber's side.
pub struct Follower {
    name: String,
    scope: Scope,
    /// How many publishers there are; the first are the nearest.
    publishers: usize,
    publisher: usize,
    position: Option<Position>,
    staging: Option<Staging>,
    heard: Time,
    /// When to subscribe again, if nothing puts it off.
    next_ask: Time,
    wait: u64,
    asks: bool,
    random: fastrand::Rng,
    /// When the source's position was last known to be this one's.
    current: Option<Time>,
    /// The publisher said that it is behind.
    behind: Option<Version>,
}

impl Follower {
    /// One that has nothing yet, and may follow any of so many publishers, the nearest first.
    ///
    /// # Panics
    /// Where there is no publisher.
    pub fn new(name: &str, scope: Scope, publishers: usize, seed: u64, now: Time) -> Self {
        assert!(publishers > 0, "a publisher to follow");
        Self {
            name: name.to_string(),
            scope,
            publishers,
            publisher: 0,
            position: None,
            staging: None,
            heard: now,
            next_ask: now,
            wait: AGAIN_MS.0,
            asks: true,
            random: fastrand::Rng::with_seed(seed),
            current: None,
            behind: None,
        }
    }

    /// The position that it has.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Whom it follows.
    pub fn publisher(&self) -> usize {
        self.publisher
    }

    /// What it follows.
    pub fn scope(&self) -> &Scope {
        &self.scope
    }

    /// How long ago it was last known to have what the source has, in milliseconds; `None` before it first was.
    pub fn age(&self, now: Time) -> Option<u64> {
        self.current.map(|at| now.saturating_sub(at))
    }

    /// When that was.
    pub fn current(&self) -> Option<Time> {
        self.current
    }

    /// The version of a publisher that is behind this one, if its last word was that.
    pub fn behind(&self) -> Option<Version> {
        self.behind
    }

    /// When it wants to be woken.
    pub fn due(&self) -> Time {
        let silent = self.heard + SILENCE_MS;
        if self.asks {
            self.next_ask.min(silent)
        } else {
            silent
        }
    }

    /// What is to be said to the publisher by now, if anything.
    pub fn tick(&mut self, now: Time) -> Option<Request> {
        if now >= self.heard + SILENCE_MS {
            self.go_on(now);
        }
        (self.asks && now >= self.next_ask).then(|| self.subscribe(now))
    }

    /// The connection to the publisher could not be made, or has broken.
    pub fn disconnected(&mut self, now: Time) {
        self.go_on(now);
    }

    /// Goes on to the next publisher, after a wait that differs from one subscriber to the next.
    fn go_on(&mut self, now: Time) {
        self.publisher = (self.publisher + 1) % self.publishers;
        (self.heard, self.asks) = (now, true);
        self.next_ask = now + self.random.u64(0..=self.wait);
        self.wait = (2 * self.wait).min(AGAIN_MS.1);
    }

    fn subscribe(&mut self, now: Time) -> Request {
        // Asked again where no answer comes.
        self.next_ask = now + self.wait + self.random.u64(0..=self.wait);
        self.wait = (2 * self.wait).min(AGAIN_MS.1);
        let resume = self.staging.as_ref().and_then(|staging| {
            let after = staging.entries.last()?.key();
            Some(Resume { of: staging.of, pieces: staging.pieces, after, digest: staging.digest })
        });
        Request::Subscribe { name: self.name.clone(), from: self.position, resume, scope: self.scope.clone() }
    }

    /// Something is missing, and the publisher is there: it is asked for soon, however long it had been silent before.
    fn missed(&mut self, now: Time) {
        let soon = if self.asks { now + AGAIN_MS.0 } else { now };
        self.next_ask = if self.asks { self.next_ask.min(soon) } else { soon };
        (self.asks, self.wait) = (true, AGAIN_MS.0);
    }

    /// The publisher has said something.
    pub fn receive(&mut self, now: Time, publication: Publication) -> Option<Event> {
        self.heard = now;
        match publication {
            Publication::Change(change) => self.change(now, change),
            Publication::Piece(piece) => self.piece(now, piece),
            Publication::Alive { at, age_ms } => {
                self.alive(now, at, age_ms);
                None
            }
            Publication::Behind(head) => {
                self.behind = Some(head.version);
                // Another one may be further.
                self.go_on(now);
                None
            }
        }
    }

    fn alive(&mut self, now: Time, at: Position, age_ms: Option<u64>) {
        self.behind = None;
        if self.position != Some(at) || self.staging.is_some() {
            return self.missed(now);
        }
        self.current = self.current.max(age_ms.map(|age| now.saturating_sub(age)));
        if age_ms.is_some_and(|age| age < STALE_MS) {
            self.settled();
        } else if self.publishers > 1 {
            // It is cut off itself; another one may not be.
            self.go_on(now);
        } else {
            self.asks = false;
        }
    }

    /// It has what its publisher has.
    fn settled(&mut self) {
        (self.asks, self.wait) = (false, AGAIN_MS.0);
    }

    fn change(&mut self, now: Time, change: Change) -> Option<Event> {
        let Some(position) = self.position.filter(|_| self.staging.is_none()) else {
            self.missed(now);
            return None;
        };
        if change.version <= position.version {
            // It came twice.
            return None;
        }
        if !change.follows(position) {
            self.missed(now);
            return None;
        }
        self.position = Some(change.position());
        self.settled();
        Some(Event::Change(change))
    }

    fn piece(&mut self, now: Time, piece: Piece) -> Option<Event> {
        // Never backwards: a snapshot is of a later version, or of a later epoch.
        if self.position.is_some_and(|position| piece.of.version <= position.version) {
            return None;
        }
        if self.staging.as_ref().is_none_or(|staging| staging.of != piece.of) {
            if piece.index != 0 {
                self.missed(now);
                return None;
            }
            self.staging =
                Some(Staging { of: piece.of, pieces: 0, digest: Digest::default(), entries: Vec::new() });
        }
        let staging = self.staging.as_mut()?;
        if piece.index < staging.pieces {
            return None;
        }
        // One that does not follow on the last is seen by the digest too.
        if piece.digest != Piece::chained(staging.digest, &piece.entries) {
            self.missed(now);
            return None;
        }
        (staging.pieces, staging.digest) = (staging.pieces + 1, piece.digest);
        staging.entries.extend(piece.entries);
        (self.asks, self.wait) = (false, AGAIN_MS.0);
        if !piece.last {
            return None;
        }
        let staging = self.staging.take()?;
        self.position = Some(staging.of);
        self.settled();
        Some(Event::Snapshot(staging.of, Resources::of(staging.entries)))
    }
}
