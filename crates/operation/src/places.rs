//! Stable slots for named items: a slot number remains valid while anything refers to it, however the set of
//! names changes.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// A reference to a slot; the slot is not reused while it exists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slot {
    /// The number of the slot.
    pub number: usize,
    /// The name that the slot belongs to.
    pub name: Rc<str>,
}

/// What happens to a slot when the names change. Names are identified by their index in the new list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotChange {
    /// The slot stays with its name.
    Stays(usize),
    /// The slot now belongs to another name, whose state starts afresh.
    Reassigned(usize),
    /// The name of the slot was removed; requests may still refer to the slot.
    Vanished,
}

/// Number of references to the name of an unreferenced slot: one from the slot and one from the index.
const UNREFERENCED_COUNT: usize = 2;

/// Maximum number of possibly free slots that are examined for a new name.
const MAX_SLOTS_EXAMINED: usize = 8;

/// All slots.
#[derive(Debug, Default)]
pub struct Slots {
    /// The name of each slot, and whether the name is currently present.
    slots: Vec<(Rc<str>, bool)>,
    /// The slot of each name, including removed ones.
    index: HashMap<Rc<str>, usize>,
    /// Slots whose names were removed, the earliest first; some may be in use again.
    removed: VecDeque<usize>,
}

impl Slots {
    /// The slot of a name that is currently present.
    pub fn find(&self, name: &str) -> Option<Slot> {
        let number = *self.index.get(name)?;
        let (owner, is_present) = &self.slots[number];
        is_present.then(|| Slot { number, name: owner.clone() })
    }

    /// The name of a slot, even if it was removed.
    pub fn name(&self, number: usize) -> Option<&Rc<str>> {
        self.slots.get(number).map(|(name, _)| name)
    }

    /// Replaces the set of names, which must not have duplicates. Returns the change of each slot, in slot
    /// order.
    pub fn replace_names<S: AsRef<str>>(&mut self, names: &[S]) -> Vec<SlotChange> {
        let mut changes = vec![SlotChange::Vanished; self.slots.len()];
        let mut new = Vec::new();
        for (n, name) in names.iter().map(AsRef::as_ref).enumerate() {
            // A name that returns while its slot is still referenced gets the same slot.
            match self.slot_of(name, n) {
                Some(slot) => changes[slot] = SlotChange::Stays(n),
                None => new.push((n, name)),
            }
        }
        let mut new = new.into_iter();
        for (slot, change) in changes.iter_mut().enumerate() {
            let is_free = *change == SlotChange::Vanished
                && Rc::strong_count(&self.slots[slot].0) == UNREFERENCED_COUNT;
            if let Some((n, name)) = is_free.then(|| new.next()).flatten() {
                *change = SlotChange::Reassigned(n);
                self.index.remove(&self.slots[slot].0);
                self.slots[slot].0 = name.into();
                self.index.insert(self.slots[slot].0.clone(), slot);
            }
        }
        for (n, name) in new {
            let name: Rc<str> = name.into();
            self.index.insert(name.clone(), self.slots.len());
            self.slots.push((name, true));
            changes.push(SlotChange::Reassigned(n));
        }
        for ((_, is_present), change) in self.slots.iter_mut().zip(&changes) {
            *is_present = *change != SlotChange::Vanished;
        }
        changes
    }

    /// Adds a name; returns its slot and whether the name is new to it. The cost does not depend on the
    /// number of names.
    pub fn insert(&mut self, name: &str) -> (usize, bool) {
        if let Some(slot) = self.index.get(name).copied() {
            // A name that returns gets its slot again.
            self.slots[slot].1 = true;
            return (slot, false);
        }
        let name: Rc<str> = name.into();
        let slot = match self.find_free() {
            Some(slot) => {
                self.index.remove(&self.slots[slot].0);
                self.slots[slot] = (name.clone(), true);
                slot
            }
            None => {
                self.slots.push((name.clone(), true));
                self.slots.len() - 1
            }
        };
        self.index.insert(name, slot);
        (slot, true)
    }

    /// Removes a name; returns its slot if the name was present. References to the slot stay valid.
    pub fn remove(&mut self, name: &str) -> Option<usize> {
        let slot = *self.index.get(name)?;
        let was_present = std::mem::replace(&mut self.slots[slot].1, false);
        was_present.then(|| {
            self.removed.push_back(slot);
            slot
        })
    }

    /// Returns a recently removed slot that nothing refers to, if one of the first few qualifies.
    fn find_free(&mut self) -> Option<usize> {
        for _ in 0..self.removed.len().min(MAX_SLOTS_EXAMINED) {
            let slot = self.removed.pop_front()?;
            let (name, is_present) = &self.slots[slot];
            match (*is_present, Rc::strong_count(name) == UNREFERENCED_COUNT) {
                // The name returned, or another name uses the slot.
                (true, _) => {}
                (false, true) => return Some(slot),
                (false, false) => self.removed.push_back(slot),
            }
        }
        None
    }

    /// The slot of a name, whether or not it is present. A new list mostly keeps the order of the previous
    /// one, so the slot of the same number is examined first.
    fn slot_of(&self, name: &str, number: usize) -> Option<usize> {
        if self.slots.get(number).is_some_and(|(owner, _)| **owner == *name) {
            return Some(number);
        }
        self.index.get(name).copied()
    }
}
