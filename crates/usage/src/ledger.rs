//! Rights to spend: what an instance holds of an allowance in a window, and how rights change hands.

use std::collections::BTreeMap;

/// One life of an instance: a number that no two of its starts have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Boot(pub u64);

/// A tenant and a dimension of its usage, as all instances name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

/// Mixes the bits of a number.
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The part of `total` that is number `who`'s of `n`. The parts add up to the total; what does not divide falls to others by
/// `turn`, so that nobody is short of it for ever.
pub fn part(total: u32, n: usize, who: usize, turn: u64) -> u32 {
    let (n, who) = (n.max(1) as u64, who as u64);
    let rest = u64::from(total) % n;
    (u64::from(total) / n) as u32 + u32::from((who + turn % n) % n < rest)
}

/// What an instance holds by itself in a window: its own part, and its parts of those that are gone.
pub fn base(total: u32, key: Key, window: u64, me: usize, n: usize, own: bool, gone: &[usize]) -> u32 {
    let turn = mix(key.0 ^ mix(window));
    let mine = if own { part(total, n, me, turn) } else { 0 };
    let taken = gone.iter().filter(|g| **g != me).map(|g| {
        let of = part(total, n, *g, turn);
        // My place among the others.
        let place = if me > *g { me - 1 } else { me };
        part(of, n - 1, place, turn >> 32)
    });
    mine + taken.sum::<u32>()
}

/// What one life of an instance has said of its part in one window. Its own numbers never go down, so that the larger one is
/// the later one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Slot {
    /// What it has spent.
    pub spent: u32,
    /// What it has handed on to this instance.
    pub given: u32,
}

/// The slots of all others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Slots(BTreeMap<(u16, Boot), Slot>);

impl Slots {
    /// Takes over what is said of one slot; true where that is news.
    pub fn hear(&mut self, instance: u16, boot: Boot, said: Slot) -> bool {
        let slot = self.0.entry((instance, boot)).or_default();
        let before = *slot;
        *slot = Slot { spent: slot.spent.max(said.spent), given: slot.given.max(said.given) };
        *slot != before
    }

    /// Takes over what another copy knows.
    pub fn merge(&mut self, other: &Self) {
        for ((instance, boot), slot) in &other.0 {
            self.hear(*instance, *boot, *slot);
        }
    }

    /// What was handed to this instance.
    pub fn got(&self) -> u32 {
        self.0.values().fold(0, |sum, slot| sum.saturating_add(slot.given))
    }

    /// What the others have spent, as far as they said.
    pub fn spent(&self) -> u32 {
        self.0.values().fold(0, |sum, slot| sum.saturating_add(slot.spent))
    }

    /// What an instance has spent in all its lives, and how much it has handed on to this one.
    pub fn of(&self, instance: u16) -> Slot {
        let range = (instance, Boot(0))..=(instance, Boot(u64::MAX));
        self.0.range(range).fold(Slot::default(), |sum, (_, slot)| Slot {
            spent: sum.spent.saturating_add(slot.spent),
            given: sum.given.saturating_add(slot.given),
        })
    }

    /// What one life has handed on.
    pub fn said(&self, instance: u16, boot: Boot) -> u32 {
        self.0.get(&(instance, boot)).map_or(0, |slot| slot.given)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// None.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// The rights to one key in one window, beyond what is spent from the part that an instance has by itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rights {
    /// The window.
    pub window: u64,
    /// What others have said, and handed on to this one.
    pub slots: Slots,
    /// What this one has handed on, to each life of the others.
    given: BTreeMap<(u16, Boot), u32>,
}

impl Rights {
    /// Nothing has changed hands yet.
    pub fn new(window: u64) -> Self {
        Self { window, ..Self::default() }
    }

    /// What this one has handed on.
    pub fn given(&self) -> u32 {
        self.given.values().fold(0, |sum, given| sum.saturating_add(*given))
    }

    /// What it has handed on to one life of another.
    pub fn given_to(&self, instance: u16, boot: Boot) -> u32 {
        self.given.get(&(instance, boot)).copied().unwrap_or(0)
    }

    /// What is left of the part `base` and of what came, when so much is spent and handed on.
    pub fn held(&self, base: u32, spent: u32) -> u32 {
        let all = u64::from(base) + u64::from(self.slots.got());
        all.saturating_sub(u64::from(spent) + u64::from(self.given())).min(u64::from(u32::MAX)) as u32
    }

    /// Hands on so much, or as much as is held of it; what was handed on.
    pub fn give(&mut self, instance: u16, boot: Boot, amount: u32, base: u32, spent: u32) -> u32 {
        let amount = amount.min(self.held(base, spent));
        if amount > 0 {
            *self.given.entry((instance, boot)).or_default() += amount;
        }
        amount
    }
}
