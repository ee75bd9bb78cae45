//! A relay: it follows the source, or another relay, with the whole configuration, and hands it on.

use std::collections::VecDeque;

use crate::feed::{Currency, Feed, Settings, Subscriber};
use crate::follower::{Event, Follower};
use crate::message::{Publication, Request, Summary};
use crate::resource::Scope;
use crate::version::Position;
use crate::Time;

/// How often it says how far the nodes behind it are, in milliseconds.
const REPORT_MS: u64 = 1_000;

/// A relay.
pub struct Relay {
    follower: Follower,
    feed: Feed,
    next_report: Time,
    /// What is to be said upstream.
    requests: VecDeque<Request>,
}

impl Relay {
    /// One that has nothing yet, and may follow any of so many publishers, the nearest first.
    pub fn new(name: &str, settings: Settings, publishers: usize, seed: u64, now: Time) -> Self {
        Self {
            follower: Follower::new(name, Scope::All, publishers, seed, now),
            feed: Feed::new(settings, Currency::Relay(None), now),
            next_report: now + REPORT_MS,
            requests: VecDeque::new(),
        }
    }

    /// The position that it has.
    pub fn head(&self) -> Position {
        self.feed.head()
    }

    /// Its subscribers' side.
    pub fn feed(&mut self) -> &mut Feed {
        &mut self.feed
    }

    /// Which publisher it follows.
    pub fn publisher(&self) -> usize {
        self.follower.publisher()
    }

    /// What its subscribers say of the nodes behind them.
    pub fn summary(&self) -> Summary {
        self.feed.summary()
    }

    /// When it wants to be woken.
    pub fn due(&self) -> Time {
        let due = self.follower.due().min(self.next_report);
        self.feed.due().map_or(due, |feed| feed.min(due))
    }

    /// Does what is due by now.
    pub fn tick(&mut self, now: Time) {
        self.feed.tick(now);
        self.requests.extend(self.follower.tick(now));
        if now >= self.next_report {
            self.next_report = now + REPORT_MS;
            self.requests.push_back(Request::Report(self.feed.summary()));
        }
    }

    /// The connection to its publisher is gone.
    pub fn disconnected(&mut self, now: Time) {
        self.follower.disconnected(now);
    }

    /// Its publisher has said something.
    pub fn receive(&mut self, now: Time, publication: Publication) {
        match self.follower.receive(now, publication) {
            Some(Event::Change(change)) => {
                // The follower lets through only what follows on the last.
                let _ = self.feed.append(change);
            }
            Some(Event::Snapshot(at, resources)) => self.feed.replace(at, resources),
            None => {}
        }
        self.feed.set_currency(Currency::Relay(self.follower.current()));
        self.requests.extend(self.follower.tick(now));
    }

    /// The next thing to say to its publisher.
    pub fn poll_request(&mut self) -> Option<Request> {
        self.requests.pop_front()
    }

    /// The next thing to send to a subscriber.
    pub fn poll_transmit(&mut self, now: Time) -> Option<(Subscriber, Publication)> {
        self.feed.poll_transmit(now)
    }
}
