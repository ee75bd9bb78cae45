//! A bounded memory of requests that were not served, to recognize their repeats.

use std::collections::{BTreeMap, VecDeque};

use crate::api::Millis;

/// Maximum number of entries, which is about a quarter of a megabyte; beyond it the oldest is dropped
/// first.
pub const MOST: usize = 4096;

/// What has to be known of the original when its repeat arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct First {
    /// When the client first sent it.
    pub asked: Millis,
    /// Whether it was within its tenant's share.
    pub in_share: bool,
}

/// Requests that were not served, by the key that a client's repeat shares with them.
#[derive(Default)]
pub struct Unserved {
    kept: BTreeMap<u64, (First, Millis)>,
    /// The keys in the order in which they were added, with their expiry times.
    order: VecDeque<(Millis, u64)>,
}

impl Unserved {
    /// Adds a request until the given time. It replaces one with the same key, as the younger is likelier
    /// to be repeated.
    pub fn put(&mut self, now: Millis, repeat_key: u64, first: First, until: Millis) {
        self.kept.insert(repeat_key, (first, until));
        self.order.push_back((until, repeat_key));
        while self.order.front().is_some_and(|(until, _)| *until <= now || self.order.len() > MOST) {
            let Some((until, repeat_key)) = self.order.pop_front() else { break };
            if self.kept.get(&repeat_key).is_some_and(|(_, of)| *of == until) {
                self.kept.remove(&repeat_key);
            }
        }
    }

    /// Whether there is a request that one with this key would repeat.
    pub fn knows(&self, now: Millis, repeat_key: u64) -> bool {
        self.kept.get(&repeat_key).is_some_and(|(_, until)| *until > now)
    }

    /// Removes and returns the request that one with this key repeats. Each original accounts for one
    /// repeat; any later request with the key is new.
    pub fn take(&mut self, now: Millis, repeat_key: u64) -> Option<First> {
        self.kept.remove(&repeat_key).filter(|(_, until)| *until > now).map(|(first, _)| first)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn first(asked: Millis) -> First {
        First { asked, in_share: true }
    }

    #[test]
    fn each_explains_one_repeat_and_only_in_its_time() {
        let mut unserved = Unserved::default();
        unserved.put(0.0, 7, first(0.0), 100.0);
        unserved.put(10.0, 8, first(5.0), 100.0);
        assert!(unserved.knows(50.0, 7) && !unserved.knows(50.0, 9) && !unserved.knows(100.0, 7));
        assert_eq!(unserved.take(50.0, 7), Some(first(0.0)));
        assert!(!unserved.knows(50.0, 7));
        assert_eq!(unserved.take(50.0, 7), None, "a second one is new");
        assert_eq!(unserved.take(100.0, 8), None, "its client waits no more");
    }

    #[test]
    fn one_put_anew_outlives_the_end_of_the_first() {
        let mut unserved = Unserved::default();
        unserved.put(0.0, 7, first(0.0), 10.0);
        unserved.put(1.0, 7, first(1.0), 50.0);
        unserved.put(20.0, 8, first(20.0), 60.0);
        assert_eq!(unserved.take(21.0, 7), Some(first(1.0)));
    }

    #[test]
    fn a_flood_stays_within_its_bound() {
        let mut unserved = Unserved::default();
        for n in 0..3 * MOST as u64 {
            unserved.put(0.0, n, first(0.0), 1e9);
        }
        assert_eq!((unserved.kept.len(), unserved.order.len()), (MOST, MOST));
        assert!(unserved.take(0.0, 0).is_none() && unserved.take(0.0, 3 * MOST as u64 - 1).is_some());
        // Entries that were taken stay in the order, which is bounded as well.
        for n in 0..3 * MOST as u64 {
            unserved.put(0.0, n, first(0.0), 1e9);
            unserved.take(0.0, n);
        }
        assert!(unserved.kept.is_empty() && unserved.order.len() <= MOST);
    }
}
