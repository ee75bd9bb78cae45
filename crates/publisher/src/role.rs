//! The role of this publisher: the source or a relay.

use std::net::SocketAddr;

use glenwood_configuration::feed::{Settings, Subscriber};
use glenwood_configuration::message::Summary;
use glenwood_configuration::resources::Resources;
use glenwood_configuration::{Operation, Position, Publication, Relay, Request, Source, Time, Version};

/// The state machine of the source or of a relay.
pub enum Role {
    /// The source.
    Source(Box<Source>),
    /// A relay, its name, and the addresses of the publishers that it may follow.
    Relay(Box<Relay>, String, Vec<SocketAddr>),
}

/// A random seed that differs between starts and processes.
fn seed() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    now.as_nanos() as u64 ^ u64::from(std::process::id()) << 32
}

impl Role {
    /// Creates a source with the resources of its first version.
    ///
    /// # Errors
    /// Returns an error if the resources are not valid together.
    pub fn source(resources: Resources, epoch: u64) -> Result<Self, String> {
        let source = Source::new(Settings::default(), resources, epoch, 0).map_err(|e| e.to_string())?;
        Ok(Self::Source(Box::new(source)))
    }

    /// Creates a relay that follows one of these publishers, ordered from the nearest.
    pub fn relay(name: &str, publishers: Vec<SocketAddr>) -> Self {
        let relay = Relay::new(name, Settings::default(), publishers.len(), seed(), 0);
        Self::Relay(Box::new(relay), name.to_string(), publishers)
    }

    /// The role's name in the first line of output and in the status.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Source(_) => "source",
            Self::Relay(..) => "relay",
        }
    }

    /// The position of the last change or snapshot.
    pub fn head(&self) -> Position {
        match self {
            Self::Source(source) => source.head(),
            Self::Relay(relay, ..) => relay.head(),
        }
    }

    /// The number of resources.
    pub fn resource_count(&mut self) -> usize {
        match self {
            Self::Source(source) => source.resources().len(),
            Self::Relay(relay, ..) => relay.feed().resources().len(),
        }
    }

    /// The combined reports of all subscribers about the nodes behind them.
    pub fn summary(&self) -> Summary {
        match self {
            Self::Source(source) => source.summary(),
            Self::Relay(relay, ..) => relay.summary(),
        }
    }

    /// Handles a request from a subscriber.
    pub fn receive(&mut self, now: Time, from: Subscriber, request: Request) {
        match self {
            Self::Source(source) => source.receive(now, from, request),
            Self::Relay(relay, ..) => relay.feed().receive(now, from, request),
        }
    }

    /// Removes a subscriber whose connection has closed.
    pub fn remove_subscriber(&mut self, subscriber: Subscriber) {
        match self {
            Self::Source(source) => source.remove_subscriber(subscriber),
            Self::Relay(relay, ..) => relay.feed().remove_subscriber(subscriber),
        }
    }

    /// Returns the credit for one message that was written to the subscriber.
    pub fn taken(&mut self, subscriber: Subscriber) {
        match self {
            Self::Source(source) => source.release_credit(subscriber, 1),
            Self::Relay(relay, ..) => relay.feed().release_credit(subscriber, 1),
        }
    }

    /// Performs the timed work that is due.
    pub fn tick(&mut self, now: Time) {
        match self {
            Self::Source(source) => source.tick(now),
            Self::Relay(relay, ..) => relay.tick(now),
        }
    }

    /// When to call [`Self::tick`] next; `None` if nothing is scheduled.
    pub fn due(&self) -> Option<Time> {
        match self {
            Self::Source(source) => source.next_wakeup(),
            Self::Relay(relay, ..) => Some(relay.next_wakeup()),
        }
    }

    /// The next message and the subscriber to send it to; `None` if there is nothing to send now.
    pub fn poll_transmit(&mut self, now: Time) -> Option<(Subscriber, Publication)> {
        match self {
            Self::Source(source) => source.poll_transmit(now),
            Self::Relay(relay, ..) => relay.poll_transmit(now),
        }
    }

    /// The next request to the followed publisher, with that publisher's address and this relay's name.
    pub fn poll_request(&mut self) -> Option<(SocketAddr, String, Request)> {
        let Self::Relay(relay, name, publishers) = self else { return None };
        let request = relay.poll_request()?;
        Some((publishers[relay.publisher_index()], name.clone(), request))
    }

    /// Handles a message from the followed publisher.
    pub fn receive_publication(&mut self, now: Time, publication: Publication) {
        if let Self::Relay(relay, ..) = self {
            relay.receive(now, publication);
        }
    }

    /// Handles a failed or broken connection to the followed publisher.
    pub fn disconnected(&mut self, now: Time) {
        if let Self::Relay(relay, ..) = self {
            relay.disconnected(now);
        }
    }

    /// Applies an operator's change; `on` is the version that it was made for, if it may be no other.
    ///
    /// # Errors
    /// Returns why the change is rejected.
    pub fn push(&mut self, operations: Vec<Operation>, on: Option<Version>) -> Result<Position, String> {
        match self {
            Self::Source(source) => source.push(operations, on).map_err(|e| e.to_string()),
            Self::Relay(..) => Err("this is a relay: changes are pushed to the source".to_string()),
        }
    }

    /// Begins a new epoch.
    ///
    /// # Errors
    /// Returns an error if this is a relay.
    pub fn begin_epoch(&mut self) -> Result<Position, String> {
        match self {
            Self::Source(source) => Ok(source.begin_epoch()),
            Self::Relay(..) => Err("this is a relay: epochs begin at the source".to_string()),
        }
    }
}
