//! Protection against mass expiry: when the coordination service restarts badly, the sessions of many healthy
//! servers expire together, and the servers register again a moment later.
//!
//! The drain rule requires a node to stop using a departed server within 500 ms, so a departure must be
//! passed on within [`Settings::delay`], which is well below that. Within this limit the guard delays
//! departures that look like a fault of the service: once more than [`Settings::share`] of the list has
//! departed within [`Settings::window`], each further departure of a server that still answers requests is
//! delayed, and is dropped if the server registers again in time. Departures below that share, and those of
//! servers that do not answer, are passed on at once.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use bytes::Bytes;

use crate::follow::Change;
use crate::Millis;

/// Settings of the guard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The share of the list that may depart within the window before further departures are delayed; above 0
    /// and up to 1 (1: departures are never delayed).
    pub share: f64,
    /// Length of the window, in milliseconds; above 0.
    pub window: Millis,
    /// How long a departure is delayed, in milliseconds; up to [`MAX_DELAY_MS`].
    pub delay: Millis,
}

/// Maximum delay of a departure: the drain rule's 500 ms, less the time a node needs to act on it.
pub const MAX_DELAY_MS: Millis = 400.0;

/// An invalid setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadSetting(
    /// The name of the setting and its valid range.
    pub &'static str,
);

impl fmt::Display for BadSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for BadSetting {}

/// Filters the changes between a follower and the node's list.
#[derive(Debug)]
pub struct Guard {
    settings: Settings,
    /// The servers as passed on so far, including those whose departure is delayed.
    listed: BTreeMap<String, Bytes>,
    /// Times of the departures within the window.
    departures: VecDeque<Millis>,
    /// Delayed departures: the server's name and when its departure is passed on.
    delayed: BTreeMap<String, Millis>,
    outputs: VecDeque<Change>,
    /// Whether the first complete list has arrived.
    initialized: bool,
    /// Departures that were delayed and then dropped, because the server registered again.
    recovered: u64,
}

impl Guard {
    /// Creates a guard with an empty list.
    ///
    /// # Errors
    /// Names the invalid setting.
    pub fn new(settings: Settings) -> Result<Self, BadSetting> {
        if !(settings.share > 0.0 && settings.share <= 1.0) {
            return Err(BadSetting("share: expected a value above 0 and up to 1"));
        }
        if !(settings.window > 0.0 && settings.window.is_finite()) {
            return Err(BadSetting("window: expected a finite number of milliseconds above 0"));
        }
        if !(0.0..=MAX_DELAY_MS).contains(&settings.delay) {
            return Err(BadSetting("hold: expected 0 to 400 ms, the most that the drain rule allows"));
        }
        let (listed, delayed) = (BTreeMap::new(), BTreeMap::new());
        let (departures, outputs) = (VecDeque::new(), VecDeque::new());
        Ok(Self { settings, listed, departures, delayed, outputs, initialized: false, recovered: 0 })
    }

    /// Returns the next change to pass on, in order.
    pub fn poll(&mut self) -> Option<Change> {
        self.outputs.pop_front()
    }

    /// When [`Guard::handle_timeout`] must be called next, if at all.
    pub fn poll_timeout(&self) -> Option<Millis> {
        self.delayed.values().copied().min_by(f64::total_cmp)
    }

    /// Number of departures currently delayed.
    pub fn delayed(&self) -> usize {
        self.delayed.len()
    }

    /// Number of servers that registered again before their departure was passed on.
    pub fn recovered(&self) -> u64 {
        self.recovered
    }

    /// Passes on the departures whose delay is over.
    pub fn handle_timeout(&mut self, now: Millis) {
        let due: Vec<String> =
            self.delayed.iter().filter(|(_, until)| **until <= now).map(|(n, _)| n.clone()).collect();
        for name in due {
            self.delayed.remove(&name);
            self.listed.remove(&name);
            self.outputs.push_back(Change::Removed(name));
        }
    }

    /// Processes a change from the follower; `answers` tells whether a server was recently seen to answer.
    pub fn handle_change(&mut self, now: Millis, change: Change, answers: &dyn Fn(&str) -> bool) {
        self.handle_timeout(now);
        match change {
            Change::Snapshot(complete) if !std::mem::replace(&mut self.initialized, true) => {
                self.listed.clone_from(&complete);
                self.outputs.push_back(Change::Snapshot(complete));
            }
            Change::Snapshot(complete) => {
                let names: BTreeSet<String> = self.listed.keys().cloned().collect();
                for (name, data) in &complete {
                    self.handle_registration(name.clone(), data.clone());
                }
                names
                    .into_iter()
                    .filter(|n| !complete.contains_key(n))
                    .for_each(|name| self.handle_departure(now, name, answers));
            }
            Change::Set(name, data) => self.handle_registration(name, data),
            Change::Removed(name) => self.handle_departure(now, name, answers),
            unfit @ Change::Oversized(_) => self.outputs.push_back(unfit),
        }
    }

    fn handle_registration(&mut self, name: String, data: Bytes) {
        if self.delayed.remove(&name).is_some() {
            self.recovered += 1;
        }
        if self.listed.get(&name) != Some(&data) {
            self.listed.insert(name.clone(), data.clone());
            self.outputs.push_back(Change::Set(name, data));
        }
    }

    fn handle_departure(&mut self, now: Millis, name: String, answers: &dyn Fn(&str) -> bool) {
        if !self.listed.contains_key(&name) || self.delayed.contains_key(&name) {
            return;
        }
        while self.departures.front().is_some_and(|at| *at + self.settings.window <= now) {
            self.departures.pop_front();
        }
        // The number of servers at the start of the window.
        let count_before =
            self.listed.len() + self.departures.len() - self.delayed.len().min(self.departures.len());
        self.departures.push_back(now);
        let exceeds_share =
            self.departures.len() as f64 > (self.settings.share * count_before as f64).max(1.0);
        if exceeds_share && self.settings.delay > 0.0 && answers(&name) {
            self.delayed.insert(name, now + self.settings.delay);
        } else {
            self.listed.remove(&name);
            self.outputs.push_back(Change::Removed(name));
        }
    }
}
