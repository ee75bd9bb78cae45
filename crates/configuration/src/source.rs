//! The source: it alone gives changes their numbers.

use std::fmt;

use crate::change::{Change, Operation};
use crate::feed::{Currency, Feed, Settings, Subscriber};
use crate::message::{Publication, Request, Summary};
use crate::resources::{Invalid, Resources};
use crate::version::{Digest, Position, Version};
use crate::Time;

/// Why a change is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// It is not valid.
    Invalid(Invalid),
    /// It builds on another version than the one that there is.
    Stale(Version),
    /// A subscriber has a later version: this source came back with an older log, and an operator has to say what counts.
    SubscribersAhead(Version),
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(invalid) => invalid.fmt(f),
            Self::Stale(head) => write!(f, "the version is {head} by now"),
            Self::SubscribersAhead(version) => write!(
                f,
                "subscribers have version {version}, which this source does not: it came back with an older log; \
                 begin a new epoch if what it has is to count"
            ),
        }
    }
}

impl std::error::Error for Refused {}

/// The source of all changes.
pub struct Source {
    feed: Feed,
}

impl Source {
    /// A source whose first version has these resources.
    ///
    /// # Errors
    /// Where they are not valid together.
    pub fn new(settings: Settings, resources: Resources, epoch: u64, now: Time) -> Result<Self, Invalid> {
        let all: Vec<Operation> = resources.iter().map(|(_, entry)| Operation::Put(entry.clone())).collect();
        // In pieces of what one change may hold; services come first, as the others name them.
        let mut checked = Resources::default();
        for operations in all.chunks(crate::change::OPERATIONS_MOST) {
            checked.check(operations)?;
            operations.iter().for_each(|operation| drop(checked.apply(operation)));
        }
        let version = Version { epoch, number: 0 };
        let mut feed = Feed::new(settings, Currency::Source, now);
        feed.replace(Position { version, digest: Self::first_digest(version, &checked) }, checked);
        Ok(Self { feed })
    }

    /// The digest of an epoch's first version: of all that it holds.
    fn first_digest(version: Version, resources: &Resources) -> Digest {
        let entries: Vec<Digest> =
            resources.iter().map(|(_, entry)| Operation::Put(entry.clone()).digest()).collect();
        let version = version.to_string();
        let mut pieces: Vec<&[u8]> = vec![version.as_bytes()];
        pieces.extend(entries.iter().map(Digest::bytes));
        Digest::of(&pieces)
    }

    /// The position of the last change.
    pub fn head(&self) -> Position {
        self.feed.head()
    }

    /// All resources.
    pub fn resources(&self) -> &Resources {
        self.feed.resources()
    }

    /// What all subscribers say of the nodes behind them.
    pub fn summary(&self) -> Summary {
        self.feed.summary()
    }

    /// Checks a change against the whole and gives it a number; `on`: the version that it was made for, if it may be no other.
    ///
    /// # Errors
    /// Says why it is not taken; nothing has changed then.
    pub fn push(&mut self, operations: Vec<Operation>, on: Option<Version>) -> Result<Position, Refused> {
        let head = self.feed.head();
        if let Some(ahead) = self.feed.ahead() {
            return Err(Refused::SubscribersAhead(ahead));
        }
        if on.is_some_and(|on| on != head.version) {
            return Err(Refused::Stale(head.version));
        }
        self.feed.resources().check(&operations).map_err(Refused::Invalid)?;
        let change = Change::following(head, operations);
        let position = change.position();
        // It was made to follow.
        let _ = self.feed.append(change);
        Ok(position)
    }

    /// Begins a new epoch with what this source has, by an operator's word: subscribers that had a later version go back to it.
    pub fn begin_epoch(&mut self) -> Position {
        let highest = self.feed.ahead().map_or(0, |ahead| ahead.epoch).max(self.head().version.epoch);
        let version = Version { epoch: highest + 1, number: 0 };
        let resources = self.feed.resources().clone();
        let position = Position { version, digest: Self::first_digest(version, &resources) };
        self.feed.replace(position, resources);
        position
    }

    /// See [`Feed::receive`].
    pub fn receive(&mut self, now: Time, from: Subscriber, request: Request) {
        self.feed.receive(now, from, request);
    }

    /// See [`Feed::leave`].
    pub fn leave(&mut self, subscriber: Subscriber) {
        self.feed.leave(subscriber);
    }

    /// See [`Feed::taken`].
    pub fn taken(&mut self, subscriber: Subscriber, messages: u32) {
        self.feed.taken(subscriber, messages);
    }

    /// See [`Feed::due`].
    pub fn due(&self) -> Option<Time> {
        self.feed.due()
    }

    /// See [`Feed::tick`].
    pub fn tick(&mut self, now: Time) {
        self.feed.tick(now);
    }

    /// See [`Feed::poll_transmit`].
    pub fn poll_transmit(&mut self, now: Time) -> Option<(Subscriber, Publication)> {
        self.feed.poll_transmit(now)
    }
}
