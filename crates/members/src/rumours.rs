//! The queue of rumours to gossip, with the number of transmissions of each.

use std::collections::BTreeMap;

use crate::record::{Id, Record, State};
use crate::wire::{Draft, Rumour, ACCUSERS_MOST};

/// Number of transmissions of a rumour for each power of ten of the cluster size.
const OFTEN: u32 = 4;

struct Passed {
    rumour: Rumour,
    times: u32,
}

/// The rumours that a member still transmits: the newest record about each member.
#[derive(Default)]
pub struct Rumours {
    about: BTreeMap<Id, Passed>,
}

impl Rumours {
    /// Queues a new record about a member, replacing any older one.
    pub fn tell(&mut self, id: Id, record: Record, accusers: &[Id]) {
        let named = if record.state == State::Suspect { accusers } else { &[] };
        let named = named[..named.len().min(ACCUSERS_MOST)].to_vec();
        self.about.insert(id, Passed { rumour: (record, named), times: 0 });
    }

    /// Whether there is nothing to transmit.
    pub fn is_empty(&self) -> bool {
        self.about.is_empty()
    }

    /// Fills a datagram with the rumours that were transmitted least, as far as there is room, and drops
    /// those that have been transmitted often enough to reach all `members`.
    pub fn fill(&mut self, draft: &mut Draft, members: usize) {
        if self.about.is_empty() {
            return;
        }
        let often = OFTEN * (members as u64 + 1).ilog10().saturating_add(1);
        let mut order: Vec<(u32, Id)> = self.about.iter().map(|(id, passed)| (passed.times, *id)).collect();
        order.sort_unstable();
        for (_, id) in order {
            let Some(passed) = self.about.get_mut(&id) else { continue };
            if !draft.add(&passed.rumour) {
                break;
            }
            passed.times += 1;
            if passed.times >= often {
                self.about.remove(&id);
            }
        }
    }
}
