//! The table of known members.

use std::collections::BTreeMap;

use crate::record::{Id, Record, State};
use crate::wire::{DIGEST_BUCKETS, MAX_ACCUSERS};

/// A suspicion of a member, raised here or received from others.
#[derive(Clone, Debug)]
pub struct Suspicion {
    /// When it began.
    pub since: u64,
    /// The members that suspect it.
    pub accusers: Vec<Id>,
}

/// The table's entry for one member.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The record that supersedes all others seen.
    pub record: Record,
    /// The suspicion, while the member is a suspect.
    pub suspicion: Option<Suspicion>,
    /// When the record was applied; for a lost member or one that left, the time since when it is gone.
    pub changed_at: u64,
}

/// The effect of a record on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No effect: this record or a newer one was already known.
    Unchanged,
    /// Ignored: the table is full, or another name has the same digest.
    Full,
    /// A known suspicion has a new accuser.
    Confirmed,
    /// The record is new.
    New {
        /// The previous state and `start_id`; `None` if the member was not known.
        previous: Option<(State, u64)>,
    },
}

/// The known members other than this one.
#[derive(Debug, Default)]
pub struct Table {
    entries: BTreeMap<Id, Entry>,
    living: Vec<Id>,
    suspects: Vec<Id>,
    buckets: [u64; DIGEST_BUCKETS],
}

fn bucket_of(id: Id) -> usize {
    (id.0 % DIGEST_BUCKETS as u64) as usize
}

impl Table {
    /// What is known of a member.
    pub fn get(&self, id: Id) -> Option<&Entry> {
        self.entries.get(&id)
    }

    /// The members considered alive, in no particular order.
    pub fn living(&self) -> &[Id] {
        &self.living
    }

    /// The suspects, in no particular order.
    pub fn suspects(&self) -> &[Id] {
        &self.suspects
    }

    /// All entries.
    pub fn iter(&self) -> impl Iterator<Item = (&Id, &Entry)> {
        self.entries.iter()
    }

    /// Digests of the living members by bucket of ids, independent of order and of suspicions.
    pub fn digests(&self, own_record: &Record) -> [u32; DIGEST_BUCKETS] {
        let mut buckets = self.buckets;
        buckets[bucket_of(own_record.member.id())] ^= own_record.digest();
        buckets.map(|bucket| (bucket ^ (bucket >> 32)) as u32)
    }

    /// The entries in the buckets whose digests differ from the other side's.
    pub fn in_buckets<'a>(
        &'a self,
        differ: &'a [bool; DIGEST_BUCKETS],
    ) -> impl Iterator<Item = (Id, &'a Entry)> {
        self.entries.iter().filter(|(id, _)| differ[bucket_of(**id)]).map(|(id, entry)| (*id, entry))
    }

    /// Applies a record about another member. `max_living` limits the number of living
    /// members, this one included.
    pub fn apply(&mut self, now: u64, record: &Record, accusers: &[Id], max_living: usize) -> Change {
        let id = record.member.id();
        let suspected = record.state == State::Suspect;
        if let Some(known) = self.entries.get_mut(&id) {
            if known.record.member.name != record.member.name {
                // Two names with the same digest: the first one stays.
                return Change::Full;
            }
            if let Some(suspicion) =
                known.suspicion.as_mut().filter(|_| known.record.is_same_incarnation(record) && suspected)
            {
                let previous = suspicion.accusers.len();
                for accuser in accusers {
                    if suspicion.accusers.len() < MAX_ACCUSERS && !suspicion.accusers.contains(accuser) {
                        suspicion.accusers.push(*accuser);
                    }
                }
                let has_new = suspicion.accusers.len() > previous;
                return if has_new { Change::Confirmed } else { Change::Unchanged };
            }
            if !record.supersedes(&known.record) {
                return Change::Unchanged;
            }
        }
        let known = self.entries.get(&id);
        let previous = known.map(|known| (known.record.state, known.record.member.start_id));
        let (was_living, now_living) =
            (previous.is_some_and(|(state, _)| state.is_living()), record.state.is_living());
        if now_living && !was_living && self.living.len() + 1 >= max_living {
            return Change::Full;
        }
        if let Some(known) = known.filter(|_| was_living) {
            self.buckets[bucket_of(id)] ^= known.record.digest();
        }
        if now_living {
            self.buckets[bucket_of(id)] ^= record.digest();
        }
        match (was_living, now_living) {
            (false, true) => self.living.push(id),
            (true, false) => self.living.retain(|other| *other != id),
            _ => {}
        }
        self.suspects.retain(|other| *other != id);
        self.suspects.extend(suspected.then_some(id));
        let suspicion = suspected.then(|| {
            let accusers = accusers[..accusers.len().min(MAX_ACCUSERS)].to_vec();
            Suspicion { since: now, accusers }
        });
        self.entries.insert(id, Entry { record: record.clone(), suspicion, changed_at: now });
        Change::New { previous }
    }

    /// Extends all suspicions by the time that this process was stalled.
    pub fn extend_suspicions(&mut self, by: u64) {
        for suspicion in self.entries.values_mut().filter_map(|entry| entry.suspicion.as_mut()) {
            suspicion.since += by;
        }
    }

    /// Removes members that have been gone since before `before`, and the oldest of the rest beyond
    /// `max_gone`.
    pub fn forget(&mut self, before: u64, max_gone: usize) {
        let gone = |entry: &Entry| !entry.record.state.is_living();
        let mut times: Vec<u64> = self.entries.values().filter(|e| gone(e)).map(|e| e.changed_at).collect();
        times.sort_unstable();
        let cutoff = times.len().checked_sub(max_gone + 1).map(|n| times[n]);
        self.entries.retain(|_, entry| {
            !gone(entry)
                || (entry.changed_at >= before && cutoff.is_none_or(|cutoff| entry.changed_at > cutoff))
        });
    }
}
