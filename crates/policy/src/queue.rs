//! A priority queue with one time per key; the first key is found without a scan.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::Millis;

/// A floating-point number with a total order.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Ordered(f64);

impl Eq for Ordered {}

impl Ord for Ordered {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for Ordered {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Keys ordered by their times; of equal times the smaller key comes first.
pub struct Queue<K> {
    order: BTreeSet<(Ordered, K)>,
    times: BTreeMap<K, f64>,
}

impl<K: Copy + Ord> Queue<K> {
    /// An empty queue.
    pub fn new() -> Self {
        Self { order: BTreeSet::new(), times: BTreeMap::new() }
    }

    /// Sets the time of a key, replacing any other. An infinite time or NaN removes the key.
    pub fn set(&mut self, key: K, time: f64) {
        if self.times.get(&key) == Some(&time) {
            return;
        }
        if let Some(before) = self.times.remove(&key) {
            self.order.remove(&(Ordered(before), key));
        }
        if time < f64::INFINITY {
            self.times.insert(key, time);
            self.order.insert((Ordered(time), key));
        }
    }

    /// Removes a key.
    pub fn remove(&mut self, key: K) {
        self.set(key, f64::INFINITY);
    }

    /// The first key and its time.
    pub fn first(&self) -> Option<(K, f64)> {
        self.order.first().map(|(time, key)| (*key, time.0))
    }

    /// The earliest time; infinite if the queue is empty.
    pub fn first_time(&self) -> Millis {
        self.first().map_or(f64::INFINITY, |(_, time)| time)
    }

    /// The keys due by `now`, at most `most` of them, sorted by key.
    pub fn due(&self, now: Millis, most: usize) -> Vec<K> {
        let due = self.order.iter().take_while(|(time, _)| time.0 <= now).take(most);
        let mut keys: Vec<K> = due.map(|(_, key)| *key).collect();
        keys.sort_unstable();
        keys
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.times.len()
    }

    /// All keys, ordered by time.
    pub fn iter(&self) -> impl Iterator<Item = K> + '_ {
        self.order.iter().map(|(_, key)| *key)
    }
}
