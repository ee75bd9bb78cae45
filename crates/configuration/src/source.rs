//! The source: the only publisher that accepts changes and numbers them.

use std::fmt;

use crate::change::{Change, Operation};
use crate::feed::{Feed, Freshness, Settings, Subscriber};
use crate::message::{Publication, Request, Summary};
use crate::resources::{InvalidChange, Resources};
use crate::version::{Digest, Position, Version};
use crate::Time;

/// Why the source rejects a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PushError {
    /// The change is invalid.
    Invalid(InvalidChange),
    /// The change was made for another version than the current one, which is given.
    Stale(Version),
    /// A subscriber has this later version: the source was restored with an older log, and an operator has to
    /// decide which configuration is valid.
    SubscribersAhead(Version),
}

impl fmt::Display for PushError {
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

impl std::error::Error for PushError {}

/// Accepts changes, numbers them and publishes them.
pub struct Source {
    feed: Feed,
}

impl Source {
    /// Creates a source whose first version has these resources.
    ///
    /// # Errors
    /// Returns an error if the resources are not valid together.
    pub fn new(
        settings: Settings,
        resources: Resources,
        epoch: u64,
        now: Time,
    ) -> Result<Self, InvalidChange> {
        let all: Vec<Operation> = resources.iter().map(|(_, entry)| Operation::Put(entry.clone())).collect();
        // Validated in chunks of the maximum size of a change. Services come first, because the others
        // reference them.
        let mut checked = Resources::default();
        for operations in all.chunks(crate::change::MAX_OPERATIONS) {
            checked.check(operations)?;
            operations.iter().for_each(|operation| drop(checked.apply(operation)));
        }
        let version = Version { epoch, number: 0 };
        let mut feed = Feed::new(settings, Freshness::Source, now);
        feed.replace(Position { version, digest: Self::first_digest(version, &checked) }, checked);
        Ok(Self { feed })
    }

    /// Computes the digest of an epoch's first version from all its resources.
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

    /// All resources at the last change.
    pub fn resources(&self) -> &Resources {
        self.feed.resources()
    }

    /// The combined reports of all subscribers about the nodes behind them.
    pub fn summary(&self) -> Summary {
        self.feed.summary()
    }

    /// Validates a change against the complete configuration, numbers it and publishes it. If `on` is given,
    /// the change is accepted only if that is the current version.
    ///
    /// # Errors
    /// Returns why the change is rejected; the configuration is then unchanged.
    pub fn push(&mut self, operations: Vec<Operation>, on: Option<Version>) -> Result<Position, PushError> {
        let head = self.feed.head();
        if let Some(ahead) = self.feed.subscriber_ahead() {
            return Err(PushError::SubscribersAhead(ahead));
        }
        if on.is_some_and(|on| on != head.version) {
            return Err(PushError::Stale(head.version));
        }
        self.feed.resources().check(&operations).map_err(PushError::Invalid)?;
        let change = Change::following(head, operations);
        let position = change.position();
        // Cannot fail: the change was created to follow the head.
        let _ = self.feed.append(change);
        Ok(position)
    }

    /// Begins a new epoch with this source's configuration, at an operator's request. Subscribers with a
    /// later version of an earlier epoch return to this configuration.
    pub fn begin_epoch(&mut self) -> Position {
        let highest =
            self.feed.subscriber_ahead().map_or(0, |ahead| ahead.epoch).max(self.head().version.epoch);
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

    /// See [`Feed::remove_subscriber`].
    pub fn remove_subscriber(&mut self, subscriber: Subscriber) {
        self.feed.remove_subscriber(subscriber);
    }

    /// See [`Feed::release_credit`].
    pub fn release_credit(&mut self, subscriber: Subscriber, messages: u32) {
        self.feed.release_credit(subscriber, messages);
    }

    /// See [`Feed::next_wakeup`].
    pub fn next_wakeup(&self) -> Option<Time> {
        self.feed.next_wakeup()
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
