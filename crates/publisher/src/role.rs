//! Which publisher this is: the source, or a relay.

use std::net::SocketAddr;

use glenwood_configuration::feed::{Settings, Subscriber};
use glenwood_configuration::message::Summary;
use glenwood_configuration::resources::Resources;
use glenwood_configuration::{Operation, Position, Publication, Relay, Request, Source, Time, Version};

/// A source or a relay.
pub enum Role {
    /// The source.
    Source(Box<Source>),
    /// A relay, its name, and whom it may follow.
    Relay(Box<Relay>, String, Vec<SocketAddr>),
}

/// A number that differs from one start to the next.
fn seed() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    now.as_nanos() as u64 ^ u64::from(std::process::id()) << 32
}

impl Role {
    /// The source, with the resources of its first version.
    ///
    /// # Errors
    /// Where these are not valid together.
    pub fn source(resources: Resources, epoch: u64) -> Result<Self, String> {
        let source = Source::new(Settings::default(), resources, epoch, 0).map_err(|e| e.to_string())?;
        Ok(Self::Source(Box::new(source)))
    }

    /// A relay.
    pub fn relay(name: &str, publishers: Vec<SocketAddr>) -> Self {
        let relay = Relay::new(name, Settings::default(), publishers.len(), seed(), 0);
        Self::Relay(Box::new(relay), name.to_string(), publishers)
    }

    /// What it is called in its first line of output.
    pub fn word(&self) -> &'static str {
        match self {
            Self::Source(_) => "source",
            Self::Relay(..) => "relay",
        }
    }

    /// The position that it has.
    pub fn head(&self) -> Position {
        match self {
            Self::Source(source) => source.head(),
            Self::Relay(relay, ..) => relay.head(),
        }
    }

    /// How many resources it has.
    pub fn resources(&mut self) -> usize {
        match self {
            Self::Source(source) => source.resources().len(),
            Self::Relay(relay, ..) => relay.feed().resources().len(),
        }
    }

    /// How far the nodes behind it are.
    pub fn summary(&self) -> Summary {
        match self {
            Self::Source(source) => source.summary(),
            Self::Relay(relay, ..) => relay.summary(),
        }
    }

    /// A subscriber has said something.
    pub fn receive(&mut self, now: Time, from: Subscriber, request: Request) {
        match self {
            Self::Source(source) => source.receive(now, from, request),
            Self::Relay(relay, ..) => relay.feed().receive(now, from, request),
        }
    }

    /// A subscriber's connection is gone.
    pub fn leave(&mut self, subscriber: Subscriber) {
        match self {
            Self::Source(source) => source.leave(subscriber),
            Self::Relay(relay, ..) => relay.feed().leave(subscriber),
        }
    }

    /// A subscriber has taken a message off.
    pub fn taken(&mut self, subscriber: Subscriber) {
        match self {
            Self::Source(source) => source.taken(subscriber, 1),
            Self::Relay(relay, ..) => relay.feed().taken(subscriber, 1),
        }
    }

    /// Does what is due by now.
    pub fn tick(&mut self, now: Time) {
        match self {
            Self::Source(source) => source.tick(now),
            Self::Relay(relay, ..) => relay.tick(now),
        }
    }

    /// When it wants to be woken.
    pub fn due(&self) -> Option<Time> {
        match self {
            Self::Source(source) => source.due(),
            Self::Relay(relay, ..) => Some(relay.due()),
        }
    }

    /// The next thing to send to a subscriber.
    pub fn poll_transmit(&mut self, now: Time) -> Option<(Subscriber, Publication)> {
        match self {
            Self::Source(source) => source.poll_transmit(now),
            Self::Relay(relay, ..) => relay.poll_transmit(now),
        }
    }

    /// The next thing to say to the publisher that it follows: where that is, and under which name.
    pub fn poll_request(&mut self) -> Option<(SocketAddr, String, Request)> {
        let Self::Relay(relay, name, publishers) = self else { return None };
        let request = relay.poll_request()?;
        Some((publishers[relay.publisher()], name.clone(), request))
    }

    /// The publisher that it follows has said something.
    pub fn heard(&mut self, now: Time, publication: Publication) {
        if let Self::Relay(relay, ..) = self {
            relay.receive(now, publication);
        }
    }

    /// The connection to that publisher is gone.
    pub fn disconnected(&mut self, now: Time) {
        if let Self::Relay(relay, ..) = self {
            relay.disconnected(now);
        }
    }

    /// Takes an operator's change.
    ///
    /// # Errors
    /// Why it is not taken.
    pub fn push(&mut self, operations: Vec<Operation>, on: Option<Version>) -> Result<Position, String> {
        match self {
            Self::Source(source) => source.push(operations, on).map_err(|e| e.to_string()),
            Self::Relay(..) => Err("this is a relay: changes are pushed to the source".to_string()),
        }
    }

    /// Begins a new epoch.
    ///
    /// # Errors
    /// Where this is no source.
    pub fn begin_epoch(&mut self) -> Result<Position, String> {
        match self {
            Self::Source(source) => Ok(source.begin_epoch()),
            Self::Relay(..) => Err("this is a relay: epochs begin at the source".to_string()),
        }
    }
}
