//! The table of known members.

use std::collections::BTreeMap;

use crate::record::{Id, Record, State};
use crate::wire::{ACCUSERS_MOST, PARTS};

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
    pub gone_since: u64,
}

/// The effect of a record on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No effect: this record or a newer one was already known.
    Nothing,
    /// Ignored: the table is full, or another name has the same digest.
    Full,
    /// A known suspicion has a new accuser.
    Confirmed,
    /// The record is new.
    New {
        /// The previous state and `life`; `None` if the member was not known.
        before: Option<(State, u64)>,
    },
}

/// The known members other than this one.
#[derive(Debug, Default)]
pub struct Table {
    all: BTreeMap<Id, Entry>,
    living: Vec<Id>,
    suspects: Vec<Id>,
    parts: [u64; PARTS],
}

fn part_of(id: Id) -> usize {
    (id.0 % PARTS as u64) as usize
}

impl Table {
    /// What is known of a member.
    pub fn get(&self, id: Id) -> Option<&Entry> {
        self.all.get(&id)
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
        self.all.iter()
    }

    /// Digests of the living members by bucket of ids, independent of order and of suspicions.
    pub fn digests(&self, me: &Record) -> [u32; PARTS] {
        let mut parts = self.parts;
        parts[part_of(me.member.id())] ^= me.digest();
        parts.map(|part| (part ^ (part >> 32)) as u32)
    }

    /// The entries in the buckets whose digests differ from the other side's.
    pub fn in_parts<'a>(&'a self, differ: &'a [bool; PARTS]) -> impl Iterator<Item = (Id, &'a Entry)> {
        self.all.iter().filter(|(id, _)| differ[part_of(**id)]).map(|(id, entry)| (*id, entry))
    }

    /// Applies a record about another member. `most` limits the number of living members, this one included.
    pub fn take(&mut self, now: u64, record: &Record, accusers: &[Id], most: usize) -> Change {
        let id = record.member.id();
        let suspected = record.state == State::Suspect;
        if let Some(known) = self.all.get_mut(&id) {
            if known.record.member.name != record.member.name {
                // Two names with the same digest: the first one stays.
                return Change::Full;
            }
            if let Some(suspicion) =
                known.suspicion.as_mut().filter(|_| known.record.is_of(record) && suspected)
            {
                let before = suspicion.accusers.len();
                for accuser in accusers {
                    if suspicion.accusers.len() < ACCUSERS_MOST && !suspicion.accusers.contains(accuser) {
                        suspicion.accusers.push(*accuser);
                    }
                }
                let more = suspicion.accusers.len() > before;
                return if more { Change::Confirmed } else { Change::Nothing };
            }
            if !record.beats(&known.record) {
                return Change::Nothing;
            }
        }
        let known = self.all.get(&id);
        let before = known.map(|known| (known.record.state, known.record.member.life));
        let (lived, lives) = (before.is_some_and(|(state, _)| state.is_living()), record.state.is_living());
        if lives && !lived && self.living.len() + 1 >= most {
            return Change::Full;
        }
        if let Some(known) = known.filter(|_| lived) {
            self.parts[part_of(id)] ^= known.record.digest();
        }
        if lives {
            self.parts[part_of(id)] ^= record.digest();
        }
        match (lived, lives) {
            (false, true) => self.living.push(id),
            (true, false) => self.living.retain(|other| *other != id),
            _ => {}
        }
        self.suspects.retain(|other| *other != id);
        self.suspects.extend(suspected.then_some(id));
        let suspicion = suspected.then(|| {
            let accusers = accusers[..accusers.len().min(ACCUSERS_MOST)].to_vec();
            Suspicion { since: now, accusers }
        });
        self.all.insert(id, Entry { record: record.clone(), suspicion, gone_since: now });
        Change::New { before }
    }

    /// Extends all suspicions by the time that this process was stalled.
    pub fn put_off(&mut self, by: u64) {
        for suspicion in self.all.values_mut().filter_map(|entry| entry.suspicion.as_mut()) {
            suspicion.since += by;
        }
    }

    /// Removes members that have been gone since before `before`, and the oldest of the rest beyond `most`.
    pub fn forget(&mut self, before: u64, most: usize) {
        let gone = |entry: &Entry| !entry.record.state.is_living();
        let mut since: Vec<u64> = self.all.values().filter(|e| gone(e)).map(|e| e.gone_since).collect();
        since.sort_unstable();
        let over = since.len().checked_sub(most + 1).map(|n| since[n]);
        self.all.retain(|_, entry| {
            !gone(entry) || (entry.gone_since >= before && over.is_none_or(|over| entry.gone_since > over))
        });
    }
}
