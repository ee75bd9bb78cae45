//! A relay: follows the source or another relay with the complete configuration, and publishes it to its own
//! subscribers.

use std::collections::VecDeque;

use crate::feed::{Feed, Freshness, Settings, Subscriber};
use crate::follower::{Event, Follower};
use crate::message::{Publication, Request, Summary};
use crate::resource::Scope;
use crate::version::Position;
use crate::Time;

/// Interval of the reports to the publisher about the nodes behind this relay, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// A follower of one publisher and a feed for its own subscribers.
pub struct Relay {
    follower: Follower,
    feed: Feed,
    next_report: Time,
    /// Requests that wait to be sent to the publisher.
    requests: VecDeque<Request>,
}

impl Relay {
    /// Creates an empty relay. `publishers` is the number of publishers, ordered from the nearest.
    pub fn new(name: &str, settings: Settings, publishers: usize, seed: u64, now: Time) -> Self {
        Self {
            follower: Follower::new(name, Scope::All, publishers, seed, now),
            feed: Feed::new(settings, Freshness::Relay(None), now),
            next_report: now + REPORT_INTERVAL_MS,
            requests: VecDeque::new(),
        }
    }

    /// The position of the last change or snapshot.
    pub fn head(&self) -> Position {
        self.feed.head()
    }

    /// The feed that serves its subscribers.
    pub fn feed(&mut self) -> &mut Feed {
        &mut self.feed
    }

    /// The index of the publisher that it follows.
    pub fn publisher_index(&self) -> usize {
        self.follower.publisher_index()
    }

    /// The combined reports of its subscribers about the nodes behind them.
    pub fn summary(&self) -> Summary {
        self.feed.summary()
    }

    /// When to call [`Self::tick`] next.
    pub fn next_wakeup(&self) -> Time {
        let due = self.follower.next_wakeup().min(self.next_report);
        self.feed.next_wakeup().map_or(due, |feed| feed.min(due))
    }

    /// Performs the timed work that is due: timeouts, subscribe requests and reports.
    pub fn tick(&mut self, now: Time) {
        self.feed.tick(now);
        self.requests.extend(self.follower.tick(now));
        if now >= self.next_report {
            self.next_report = now + REPORT_INTERVAL_MS;
            self.requests.push_back(Request::Report(self.feed.summary()));
        }
    }

    /// Handles a failed or broken connection to the publisher.
    pub fn disconnected(&mut self, now: Time) {
        self.follower.disconnected(now);
    }

    /// Handles a message from the publisher.
    pub fn receive(&mut self, now: Time, publication: Publication) {
        match self.follower.receive(now, publication) {
            Some(Event::Change(change)) => {
                // Cannot fail: the follower returns only a change that directly follows the last one.
                let _ = self.feed.append(change);
            }
            Some(Event::Snapshot(at, resources)) => self.feed.replace(at, resources),
            None => {}
        }
        self.feed.set_freshness(Freshness::Relay(self.follower.current_at()));
        self.requests.extend(self.follower.tick(now));
    }

    /// The next request to send to the publisher.
    pub fn poll_request(&mut self) -> Option<Request> {
        self.requests.pop_front()
    }

    /// The next message and the subscriber to send it to; `None` if there is nothing to send now.
    pub fn poll_transmit(&mut self, now: Time) -> Option<(Subscriber, Publication)> {
        self.feed.poll_transmit(now)
    }
}
