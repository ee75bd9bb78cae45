//! A bounded memory of requests that were not served, to recognize their repeats.

use std::collections::{BTreeMap, VecDeque};

use crate::api::Millis;

/// Maximum number of entries, which is about a quarter of a megabyte; beyond it the oldest is dropped
/// first.
pub const MAX_ENTRIES: usize = 4096;

/// What has to be known of the original when its repeat arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Original {
    /// When the client first sent it.
    pub asked: Millis,
    /// Whether it was within its tenant's share.
    pub in_share: bool,
}

/// Requests that were not served, by the key that a client's repeat shares with them.
#[derive(Default)]
pub struct Unserved {
    entries: BTreeMap<u64, (Original, Millis)>,
    /// The keys in the order in which they were added, with their expiry times.
    order: VecDeque<(Millis, u64)>,
}

impl Unserved {
    /// Adds a request until the given time. It replaces one with the same key, as the younger is likelier
    /// to be repeated.
    pub fn add(&mut self, now: Millis, repeat_key: u64, original: Original, until: Millis) {
        self.entries.insert(repeat_key, (original, until));
        self.order.push_back((until, repeat_key));
        while self.order.front().is_some_and(|(until, _)| *until <= now || self.order.len() > MAX_ENTRIES) {
            let Some((until, repeat_key)) = self.order.pop_front() else { break };
            if self.entries.get(&repeat_key).is_some_and(|(_, of)| *of == until) {
                self.entries.remove(&repeat_key);
            }
        }
    }

    /// Whether there is a request that one with this key would repeat.
    pub fn contains(&self, now: Millis, repeat_key: u64) -> bool {
        self.entries.get(&repeat_key).is_some_and(|(_, until)| *until > now)
    }

    /// Removes and returns the request that one with this key repeats. Each original accounts for one
    /// repeat; any later request with the key is new.
    pub fn take(&mut self, now: Millis, repeat_key: u64) -> Option<Original> {
        self.entries.remove(&repeat_key).filter(|(_, until)| *until > now).map(|(original, _)| original)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn original(asked: Millis) -> Original {
        Original { asked, in_share: true }
    }

    #[test]
    fn an_entry_matches_one_repeat_before_it_expires() {
        let mut unserved = Unserved::default();
        unserved.add(0.0, 7, original(0.0), 100.0);
        unserved.add(10.0, 8, original(5.0), 100.0);
        assert!(unserved.contains(50.0, 7) && !unserved.contains(50.0, 9) && !unserved.contains(100.0, 7));
        assert_eq!(unserved.take(50.0, 7), Some(original(0.0)));
        assert!(!unserved.contains(50.0, 7));
        assert_eq!(unserved.take(50.0, 7), None, "a second request with the key is new");
        assert_eq!(unserved.take(100.0, 8), None, "its client has given up");
    }

    #[test]
    fn a_reinserted_entry_outlives_the_expiry_of_the_first() {
        let mut unserved = Unserved::default();
        unserved.add(0.0, 7, original(0.0), 10.0);
        unserved.add(1.0, 7, original(1.0), 50.0);
        unserved.add(20.0, 8, original(20.0), 60.0);
        assert_eq!(unserved.take(21.0, 7), Some(original(1.0)));
    }

    #[test]
    fn the_number_of_entries_is_bounded() {
        let mut unserved = Unserved::default();
        for n in 0..3 * MAX_ENTRIES as u64 {
            unserved.add(0.0, n, original(0.0), 1e9);
        }
        assert_eq!((unserved.entries.len(), unserved.order.len()), (MAX_ENTRIES, MAX_ENTRIES));
        assert!(unserved.take(0.0, 0).is_none() && unserved.take(0.0, 3 * MAX_ENTRIES as u64 - 1).is_some());
        // Entries that were taken stay in the order, which is bounded as well.
        for n in 0..3 * MAX_ENTRIES as u64 {
            unserved.add(0.0, n, original(0.0), 1e9);
            unserved.take(0.0, n);
        }
        assert!(unserved.entries.is_empty() && unserved.order.len() <= MAX_ENTRIES);
    }
}
