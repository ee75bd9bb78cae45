//! The subscribing side: follows one of several publishers, verifies the chain of digests, detects lost
//! messages, and switches to another publisher if the current one is silent, stale or behind.

use crate::change::Change;
use crate::message::{Piece, Publication, Request, Resume};
use crate::resource::{Entry, Scope};
use crate::resources::Resources;
use crate::version::{Digest, Position, Version};
use crate::Time;

/// A publisher that is silent for this long is replaced by the next one, in milliseconds. This is several
/// keep-alive intervals, so that a few lost keep-alives do no harm.
pub const SILENCE_TIMEOUT_MS: u64 = 2_500;
/// A publisher whose configuration is this old is stale, and another one is tried, in milliseconds.
const STALE_AGE_MS: u64 = 5_000;
/// Initial and maximum backoff between subscribe requests, in milliseconds.
const SUBSCRIBE_BACKOFF_MS: (u64, u64) = (250, 4_000);

/// What the follower received and verified.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The change that directly follows the current position.
    Change(Change),
    /// A complete snapshot, which replaces all earlier resources.
    Snapshot(Position, Resources),
}

/// A snapshot of which some pieces have arrived.
struct Staging {
    position: Position,
    pieces: u32,
    digest: Digest,
    entries: Vec<Entry>,
}

/// The state of a subscriber that follows one of several publishers.
pub struct Follower {
    name: String,
    scope: Scope,
    /// The number of publishers, ordered from the nearest.
    publishers: usize,
    /// The index of the publisher that is followed.
    publisher: usize,
    position: Option<Position>,
    staging: Option<Staging>,
    last_seen: Time,
    /// When to send the next subscribe request, if `needs_subscribe` is set.
    next_subscribe: Time,
    backoff_ms: u64,
    needs_subscribe: bool,
    random: fastrand::Rng,
    /// When the position was last known to be the source's.
    current_at: Option<Time>,
    /// The publisher's version, if it last reported that it is behind this subscriber.
    behind: Option<Version>,
}

impl Follower {
    /// Creates a follower without a position. `publishers` is the number of publishers, ordered from the
    /// nearest.
    ///
    /// # Panics
    /// Panics if `publishers` is 0.
    pub fn new(name: &str, scope: Scope, publishers: usize, seed: u64, now: Time) -> Self {
        assert!(publishers > 0, "a follower needs at least one publisher");
        Self {
            name: name.to_string(),
            scope,
            publishers,
            publisher: 0,
            position: None,
            staging: None,
            last_seen: now,
            next_subscribe: now,
            backoff_ms: SUBSCRIBE_BACKOFF_MS.0,
            needs_subscribe: true,
            random: fastrand::Rng::with_seed(seed),
            current_at: None,
            behind: None,
        }
    }

    /// The position of the last verified change or snapshot.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// The index of the publisher that it follows.
    pub fn publisher_index(&self) -> usize {
        self.publisher
    }

    /// The part of the configuration that it subscribes to.
    pub fn scope(&self) -> &Scope {
        &self.scope
    }

    /// The time since its position was last known to be the source's, in milliseconds; `None` if it never
    /// was.
    pub fn age_ms(&self, now: Time) -> Option<u64> {
        self.current_at.map(|at| now.saturating_sub(at))
    }

    /// When its position was last known to be the source's; `None` if it never was.
    pub fn current_at(&self) -> Option<Time> {
        self.current_at
    }

    /// The publisher's version, if it last reported that it is behind this subscriber.
    pub fn publisher_behind(&self) -> Option<Version> {
        self.behind
    }

    /// When to call [`Self::tick`] next.
    pub fn next_wakeup(&self) -> Time {
        let silence_end = self.last_seen + SILENCE_TIMEOUT_MS;
        if self.needs_subscribe {
            self.next_subscribe.min(silence_end)
        } else {
            silence_end
        }
    }

    /// Switches away from a silent publisher, and returns the subscribe request to send now, if any.
    pub fn tick(&mut self, now: Time) -> Option<Request> {
        if now >= self.last_seen + SILENCE_TIMEOUT_MS {
            self.switch_publisher(now);
        }
        (self.needs_subscribe && now >= self.next_subscribe).then(|| self.subscribe(now))
    }

    /// Handles a failed or broken connection to the publisher.
    pub fn disconnected(&mut self, now: Time) {
        self.switch_publisher(now);
    }

    /// Switches to the next publisher after a random delay, so that not all subscribers reconnect at once.
    fn switch_publisher(&mut self, now: Time) {
        self.publisher = (self.publisher + 1) % self.publishers;
        (self.last_seen, self.needs_subscribe) = (now, true);
        self.next_subscribe = now + self.random.u64(0..=self.backoff_ms);
        self.backoff_ms = (2 * self.backoff_ms).min(SUBSCRIBE_BACKOFF_MS.1);
    }

    /// Creates a subscribe request and schedules the next one.
    fn subscribe(&mut self, now: Time) -> Request {
        // The request is repeated if nothing arrives until then.
        self.next_subscribe = now + self.backoff_ms + self.random.u64(0..=self.backoff_ms);
        self.backoff_ms = (2 * self.backoff_ms).min(SUBSCRIBE_BACKOFF_MS.1);
        let resume = self.staging.as_ref().and_then(|staging| {
            let after = staging.entries.last()?.key();
            Some(Resume { position: staging.position, pieces: staging.pieces, after, digest: staging.digest })
        });
        Request::Subscribe { name: self.name.clone(), from: self.position, resume, scope: self.scope.clone() }
    }

    /// Schedules a subscribe request soon because messages are missing. The publisher is alive, so the
    /// backoff of an earlier silence is reset.
    fn schedule_subscribe(&mut self, now: Time) {
        let soon = if self.needs_subscribe { now + SUBSCRIBE_BACKOFF_MS.0 } else { now };
        self.next_subscribe = if self.needs_subscribe { self.next_subscribe.min(soon) } else { soon };
        (self.needs_subscribe, self.backoff_ms) = (true, SUBSCRIBE_BACKOFF_MS.0);
    }

    /// Handles a message from the publisher; returns a change or snapshot that is complete and verified.
    pub fn receive(&mut self, now: Time, publication: Publication) -> Option<Event> {
        self.last_seen = now;
        match publication {
            Publication::Change(change) => self.receive_change(now, change),
            Publication::Piece(piece) => self.receive_piece(now, piece),
            Publication::Alive { at, age_ms } => {
                self.receive_alive(now, at, age_ms);
                None
            }
            Publication::Behind(head) => {
                self.behind = Some(head.version);
                // Another publisher may be further ahead.
                self.switch_publisher(now);
                None
            }
        }
    }

    fn receive_alive(&mut self, now: Time, at: Position, age_ms: Option<u64>) {
        self.behind = None;
        if self.position != Some(at) || self.staging.is_some() {
            return self.schedule_subscribe(now);
        }
        self.current_at = self.current_at.max(age_ms.map(|age| now.saturating_sub(age)));
        if age_ms.is_some_and(|age| age < STALE_AGE_MS) {
            self.mark_up_to_date();
        } else if self.publishers > 1 {
            // The publisher is itself cut off from the source; another one may not be.
            self.switch_publisher(now);
        } else {
            self.needs_subscribe = false;
        }
    }

    /// Stops subscribing and resets the backoff: the follower has what its publisher has.
    fn mark_up_to_date(&mut self) {
        (self.needs_subscribe, self.backoff_ms) = (false, SUBSCRIBE_BACKOFF_MS.0);
    }

    fn receive_change(&mut self, now: Time, change: Change) -> Option<Event> {
        let Some(position) = self.position.filter(|_| self.staging.is_none()) else {
            self.schedule_subscribe(now);
            return None;
        };
        if change.version <= position.version {
            // A duplicate.
            return None;
        }
        if !change.follows(position) {
            self.schedule_subscribe(now);
            return None;
        }
        self.position = Some(change.position());
        self.mark_up_to_date();
        Some(Event::Change(change))
    }

    fn receive_piece(&mut self, now: Time, piece: Piece) -> Option<Event> {
        // A snapshot is taken only if its version is later, so that the subscriber never moves backwards.
        if self.position.is_some_and(|position| piece.position.version <= position.version) {
            return None;
        }
        if self.staging.as_ref().is_none_or(|staging| staging.position != piece.position) {
            if piece.index != 0 {
                self.schedule_subscribe(now);
                return None;
            }
            self.staging = Some(Staging {
                position: piece.position,
                pieces: 0,
                digest: Digest::default(),
                entries: Vec::new(),
            });
        }
        let staging = self.staging.as_mut()?;
        if piece.index < staging.pieces {
            return None;
        }
        // The digest also detects a piece that does not follow the last one.
        if piece.digest != Piece::chained_digest(staging.digest, &piece.entries) {
            self.schedule_subscribe(now);
            return None;
        }
        (staging.pieces, staging.digest) = (staging.pieces + 1, piece.digest);
        staging.entries.extend(piece.entries);
        (self.needs_subscribe, self.backoff_ms) = (false, SUBSCRIBE_BACKOFF_MS.0);
        if !piece.last {
            return None;
        }
        let staging = self.staging.take()?;
        self.position = Some(staging.position);
        self.mark_up_to_date();
        Some(Event::Snapshot(staging.position, Resources::from_entries(staging.entries)))
    }
}
