//! The queue of rumours to gossip, with the number of transmissions of each.

use std::collections::BTreeMap;

use crate::record::{Id, Record, State};
use crate::wire::{Draft, Rumour, MAX_ACCUSERS};

/// Number of transmissions of a rumour for each power of ten of the cluster size.
const TRANSMIT_FACTOR: u32 = 4;

/// A rumour and the number of times it was sent.
struct QueuedRumour {
    rumour: Rumour,
    transmissions: u32,
}

/// The rumours that a member still transmits: the newest record about each member.
#[derive(Default)]
pub struct Rumours {
    by_member: BTreeMap<Id, QueuedRumour>,
}

impl Rumours {
    /// Queues a new record about a member, replacing any older one.
    pub fn queue(&mut self, id: Id, record: Record, accusers: &[Id]) {
        let listed = if record.state == State::Suspect { accusers } else { &[] };
        let listed = listed[..listed.len().min(MAX_ACCUSERS)].to_vec();
        self.by_member.insert(id, QueuedRumour { rumour: (record, listed), transmissions: 0 });
    }

    /// Whether there is nothing to transmit.
    pub fn is_empty(&self) -> bool {
        self.by_member.is_empty()
    }

    /// Fills a datagram with the rumours that were transmitted least, as far as there is room, and drops
    /// those that have been transmitted often enough to reach all `members`.
    pub fn fill(&mut self, draft: &mut Draft, members: usize) {
        if self.by_member.is_empty() {
            return;
        }
        let max_transmissions = TRANSMIT_FACTOR * (members as u64 + 1).ilog10().saturating_add(1);
        let mut least_sent: Vec<(u32, Id)> =
            self.by_member.iter().map(|(id, queued)| (queued.transmissions, *id)).collect();
        least_sent.sort_unstable();
        for (_, id) in least_sent {
            let Some(queued) = self.by_member.get_mut(&id) else { continue };
            if !draft.add(&queued.rumour) {
                break;
            }
            queued.transmissions += 1;
            if queued.transmissions >= max_transmissions {
                self.by_member.remove(&id);
            }
        }
    }
}
