//! A guard against mass expiry: when a service restarts badly, the sessions of many healthy servers end together, and
//! come again a moment later.
//!
//! Whether a server that the service calls gone may still be used is not a node's to choose: the drain rule stands, so
//! what is gone must be passed on within [`Settings::hold`], which is bounded well under the rule's 500 ms. Within that
//! moment the guard keeps back what looks like a fault of the service: when more than [`Settings::share`] of the list
//! vanishes within [`Settings::window`], each further one waits while it still answers, and one that is back by then was
//! never gone. The first few are passed on at once, as single departures are, and as those are that answer nobody.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use bytes::Bytes;

use crate::follow::Change;
use crate::Millis;

/// How the guard works.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The part of the list that may vanish without suspicion, above 0 and up to 1 (1: nothing is ever kept back).
    pub share: f64,
    /// Within which time, in milliseconds; above 0.
    pub window: Millis,
    /// For how long one is kept back, in milliseconds, up to [`HOLD_MOST`].
    pub hold: Millis,
}

/// The longest that a departure may be kept back: the drain rule's 500 ms, less what a node needs to act on it.
pub const HOLD_MOST: Millis = 400.0;

/// Which setting makes no sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadSetting(
    /// Its name and bounds.
    pub &'static str,
);

impl fmt::Display for BadSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for BadSetting {}

/// Stands between a follower and the list of a node.
#[derive(Debug)]
pub struct Guard {
    settings: Settings,
    /// Who is there, as it was passed on.
    there: BTreeMap<String, Bytes>,
    /// When each of those who left did, within the window.
    left: VecDeque<Millis>,
    /// Until when each of those is kept back who are gone.
    held: BTreeMap<String, Millis>,
    outputs: VecDeque<Change>,
    /// The first list has come.
    begun: bool,
    saved: u64,
}

impl Guard {
    /// A guard that knows of nobody.
    ///
    /// # Errors
    /// Names the setting that makes no sense.
    pub fn new(settings: Settings) -> Result<Self, BadSetting> {
        if !(settings.share > 0.0 && settings.share <= 1.0) {
            return Err(BadSetting("share: above 0 and up to 1 expected"));
        }
        if !(settings.window > 0.0 && settings.window.is_finite()) {
            return Err(BadSetting("window: above 0 expected"));
        }
        if !(0.0..=HOLD_MOST).contains(&settings.hold) {
            return Err(BadSetting("hold: 0 to 400 ms expected, as the drain rule allows no more"));
        }
        let (there, held) = (BTreeMap::new(), BTreeMap::new());
        let (left, outputs) = (VecDeque::new(), VecDeque::new());
        Ok(Self { settings, there, left, held, outputs, begun: false, saved: 0 })
    }

    /// What is to be passed on, in order.
    pub fn poll(&mut self) -> Option<Change> {
        self.outputs.pop_front()
    }

    /// When [`Guard::handle_timeout`] is to be called.
    pub fn poll_timeout(&self) -> Option<Millis> {
        self.held.values().copied().min_by(f64::total_cmp)
    }

    /// How many are kept back.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// How many came back before they were passed on as gone.
    pub fn saved(&self) -> u64 {
        self.saved
    }

    /// Passes on those whose time is over.
    pub fn handle_timeout(&mut self, now: Millis) {
        let due: Vec<String> =
            self.held.iter().filter(|(_, until)| **until <= now).map(|(n, _)| n.clone()).collect();
        for name in due {
            self.held.remove(&name);
            self.there.remove(&name);
            self.outputs.push_back(Change::Gone(name));
        }
    }

    /// Takes what a follower says; `answers` tells of a server whether it was seen to answer just now.
    pub fn take(&mut self, now: Millis, change: Change, answers: &dyn Fn(&str) -> bool) {
        self.handle_timeout(now);
        match change {
            Change::Whole(whole) if !std::mem::replace(&mut self.begun, true) => {
                self.there.clone_from(&whole);
                self.outputs.push_back(Change::Whole(whole));
            }
            Change::Whole(whole) => {
                let names: BTreeSet<String> = self.there.keys().cloned().collect();
                for (name, data) in &whole {
                    self.set(name.clone(), data.clone());
                }
                names
                    .into_iter()
                    .filter(|n| !whole.contains_key(n))
                    .for_each(|name| self.gone(now, name, answers));
            }
            Change::Set(name, data) => self.set(name, data),
            Change::Gone(name) => self.gone(now, name, answers),
            unfit @ Change::Unfit(_) => self.outputs.push_back(unfit),
        }
    }

    fn set(&mut self, name: String, data: Bytes) {
        if self.held.remove(&name).is_some() {
            self.saved += 1;
        }
        if self.there.get(&name) != Some(&data) {
            self.there.insert(name.clone(), data.clone());
            self.outputs.push_back(Change::Set(name, data));
        }
    }

    fn gone(&mut self, now: Millis, name: String, answers: &dyn Fn(&str) -> bool) {
        if !self.there.contains_key(&name) || self.held.contains_key(&name) {
            return;
        }
        while self.left.front().is_some_and(|at| *at + self.settings.window <= now) {
            self.left.pop_front();
        }
        // Of those who were there when the window began.
        let all = self.there.len() + self.left.len() - self.held.len().min(self.left.len());
        self.left.push_back(now);
        let many = self.left.len() as f64 > (self.settings.share * all as f64).max(1.0);
        if many && self.settings.hold > 0.0 && answers(&name) {
            self.held.insert(name, now + self.settings.hold);
        } else {
            self.there.remove(&name);
            self.outputs.push_back(Change::Gone(name));
        }
    }
}
