//! Rights to spend: how much of an allowance an instance holds in a window, and how rights are transferred.

use std::collections::BTreeMap;

/// Identifies one run of an instance: a number that differs for each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

/// Identifies a tenant and a dimension of its usage; the same at all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

/// Mixes the bits of a number.
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The part of `total` that instance `who` of `n` owns. The parts add up to the total. The remainder of the
/// division goes to different instances depending on `turn`, so that none is always short of it.
pub fn equal_part(total: u32, n: usize, index: usize, turn: u64) -> u32 {
    let (n, index) = (n.max(1) as u64, index as u64);
    let remainder = u64::from(total) % n;
    (u64::from(total) / n) as u32 + u32::from((index + turn % n) % n < remainder)
}

/// The rights that an instance owns in a window without any transfer: its own part, and its share of the
/// parts of the instances that are gone.
pub fn base_rights(
    total: u32,
    key: Key,
    window: u64,
    own_index: usize,
    n: usize,
    own: bool,
    gone: &[usize],
) -> u32 {
    let turn = mix(key.0 ^ mix(window));
    let own_part = if own { equal_part(total, n, own_index, turn) } else { 0 };
    let inherited = gone.iter().filter(|gone_one| **gone_one != own_index).map(|gone_one| {
        let gone_part = equal_part(total, n, *gone_one, turn);
        // The index of this instance among all but `gone_one`.
        let position = if own_index > *gone_one { own_index - 1 } else { own_index };
        equal_part(gone_part, n - 1, position, turn >> 32)
    });
    own_part + inherited.sum::<u32>()
}

/// Counters reported by one run of an instance for one window. They never decrease, so the larger value is
/// the later one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Slot {
    /// The amount it has spent.
    pub spent: u32,
    /// The amount it has transferred to this instance.
    pub given: u32,
}

/// The slots of all other instances, a state-based CRDT.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Slots(BTreeMap<(u16, RunId), Slot>);

impl Slots {
    /// Merges reported counters into one slot; returns whether it changed.
    pub fn update(&mut self, instance: u16, run_id: RunId, reported: Slot) -> bool {
        let slot = self.0.entry((instance, run_id)).or_default();
        let previous = *slot;
        *slot = Slot { spent: slot.spent.max(reported.spent), given: slot.given.max(reported.given) };
        *slot != previous
    }

    /// Merges another copy of the slots.
    pub fn merge(&mut self, other: &Self) {
        for ((instance, run_id), slot) in &other.0 {
            self.update(*instance, *run_id, *slot);
        }
    }

    /// The amount transferred to this instance.
    pub fn received(&self) -> u32 {
        self.0.values().fold(0, |sum, slot| sum.saturating_add(slot.given))
    }

    /// The amount that the others have reported as spent.
    pub fn spent(&self) -> u32 {
        self.0.values().fold(0, |sum, slot| sum.saturating_add(slot.spent))
    }

    /// The totals of one instance over all its runs.
    pub fn total_of(&self, instance: u16) -> Slot {
        let range = (instance, RunId(0))..=(instance, RunId(u64::MAX));
        self.0.range(range).fold(Slot::default(), |sum, (_, slot)| Slot {
            spent: sum.spent.saturating_add(slot.spent),
            given: sum.given.saturating_add(slot.given),
        })
    }

    /// The amount that one run of an instance has transferred to this one.
    pub fn given_by(&self, instance: u16, run_id: RunId) -> u32 {
        self.0.get(&(instance, run_id)).map_or(0, |slot| slot.given)
    }

    /// The number of slots.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no slots.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// The transfers of rights to one key in one window, to and from this instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rights {
    /// The window.
    pub window: u64,
    /// What the other instances have reported, and transferred to this one.
    pub slots: Slots,
    /// The amount transferred to each run of the other instances.
    given: BTreeMap<(u16, RunId), u32>,
}

impl Rights {
    /// Rights for a window in which nothing was transferred yet.
    pub fn new(window: u64) -> Self {
        Self { window, ..Self::default() }
    }

    /// The total amount transferred to others.
    pub fn given(&self) -> u32 {
        self.given.values().fold(0, |sum, given| sum.saturating_add(*given))
    }

    /// The amount transferred to one run of another instance.
    pub fn given_to(&self, instance: u16, run_id: RunId) -> u32 {
        self.given.get(&(instance, run_id)).copied().unwrap_or(0)
    }

    /// The rights that remain: `base` plus what was received, less `spent` and what was transferred to
    /// others.
    pub fn held(&self, base: u32, spent: u32) -> u32 {
        let total = u64::from(base) + u64::from(self.slots.received());
        total.saturating_sub(u64::from(spent) + u64::from(self.given())).min(u64::from(u32::MAX)) as u32
    }

    /// Transfers up to `amount`, limited by the rights that remain; returns the amount transferred.
    pub fn transfer(&mut self, instance: u16, run_id: RunId, amount: u32, base: u32, spent: u32) -> u32 {
        let amount = amount.min(self.held(base, spent));
        if amount > 0 {
            *self.given.entry((instance, run_id)).or_default() += amount;
        }
        amount
    }
}
