//! Selects the keepers of a work. They depend only on the work's identity and the roster, not on which
//! nodes seem alive, so two nodes with the same roster agree on them whatever they think of the other
//! nodes.
//!
//! A roster has an *epoch*. A direct change between rosters could yield two majorities that have no
//! keeper in common, so a roster changes in two steps. First all nodes use both the new and the previous
//! roster and need a majority in each (`before` is set). Once all nodes do so, they use the new roster
//! alone. Nodes that are two steps apart ignore each other's messages.

use std::collections::BTreeSet;

use glenwood_datagram::stable_hash;

use crate::register::NodeId;

/// Number of keepers of a work.
pub const KEEPERS_PER_WORK: usize = 3;

/// The nodes that may be keepers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Roster {
    nodes: Vec<(NodeId, String)>,
}

impl Roster {
    /// Creates a roster from nodes with their zones.
    ///
    /// # Errors
    /// If there are fewer than [`KEEPERS_PER_WORK`] nodes, or a node is listed twice.
    pub fn new(nodes: Vec<(NodeId, String)>) -> Result<Self, String> {
        let distinct: BTreeSet<NodeId> = nodes.iter().map(|(id, _)| *id).collect();
        if distinct.len() < nodes.len() {
            return Err("a name stands twice".into());
        }
        if nodes.len() < KEEPERS_PER_WORK {
            return Err(format!("{KEEPERS_PER_WORK} at the least expected, not {}", nodes.len()));
        }
        Ok(Self { nodes })
    }

    /// Selects the keepers of a slot by rendezvous hashing, from different zones as far as possible.
    fn keepers(&self, slot: (u64, u64)) -> Vec<NodeId> {
        let rank =
            |id: NodeId| stable_hash(&[&slot.0.to_be_bytes(), &slot.1.to_be_bytes(), &id.0.to_be_bytes()]);
        let mut order: Vec<(u64, NodeId, &str)> =
            self.nodes.iter().map(|(id, zone)| (rank(*id), *id, zone.as_str())).collect();
        order.sort_unstable();
        let mut chosen: Vec<(NodeId, &str)> = Vec::with_capacity(KEEPERS_PER_WORK);
        for distinct in [true, false] {
            for (_, id, zone) in &order {
                let taken = chosen.iter().any(|(other, _)| other == id);
                let same_zone = distinct && chosen.iter().any(|(_, other)| other == zone);
                if chosen.len() < KEEPERS_PER_WORK && !taken && !same_zone {
                    chosen.push((*id, zone));
                }
            }
        }
        chosen.into_iter().map(|(id, _)| id).collect()
    }
}

/// The current roster and, during a change, the previous one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rosters {
    /// The number of the current roster. Each change increments it.
    pub epoch: u32,
    /// The current roster.
    pub current: Roster,
    /// The previous roster, during the first step of a change.
    pub previous: Option<Roster>,
}

impl Rosters {
    /// The keepers of a slot.
    pub fn keepers(&self, slot: (u64, u64)) -> Keepers {
        let all = [Some(&self.current), self.previous.as_ref()];
        Keepers { groups: all.into_iter().flatten().map(|roster| roster.keepers(slot)).collect() }
    }

    /// Whether every majority of a node at this epoch shares a keeper with every majority of these
    /// rosters. `joint`: the other node also uses its previous roster.
    pub fn shares_majority_with(&self, epoch: u32, joint: bool) -> bool {
        let own = [Some(self.epoch), self.previous.as_ref().map(|_| self.epoch.wrapping_sub(1))];
        let theirs = [Some(epoch), joint.then(|| epoch.wrapping_sub(1))];
        own.iter().flatten().any(|own| theirs.iter().flatten().any(|their| own == their))
    }
}

/// The keepers of one work, one group for each roster. A majority requires a majority of every group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Keepers {
    groups: Vec<Vec<NodeId>>,
}

impl Keepers {
    /// Keepers of a single group.
    pub fn single_group(nodes: Vec<NodeId>) -> Self {
        Self { groups: vec![nodes] }
    }

    /// All keepers without duplicates.
    pub fn all(&self) -> BTreeSet<NodeId> {
        self.groups.iter().flatten().copied().collect()
    }

    /// Whether the keepers that satisfy `yes` form a majority.
    pub fn is_majority(&self, yes: impl Fn(NodeId) -> bool) -> bool {
        self.groups.iter().all(|group| 2 * group.iter().filter(|id| yes(**id)).count() > group.len())
    }

    /// Whether no majority is possible without the keepers that satisfy `no`.
    pub fn is_blocked(&self, no: impl Fn(NodeId) -> bool) -> bool {
        !self.is_majority(|id| !no(id))
    }

    /// Position of a keeper in the first group. It determines the order in which keepers take over an
    /// orphaned work.
    pub fn position(&self, id: NodeId) -> Option<usize> {
        self.groups.first()?.iter().position(|other| *other == id)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn roster(nodes: std::ops::Range<u64>, zones: u64) -> Roster {
        Roster::new(nodes.map(|n| (NodeId(n), format!("z{}", n % zones))).collect()).expect("valid roster")
    }

    #[test]
    fn a_slot_has_three_keepers_in_distinct_zones_and_keepers_are_spread_evenly() {
        let roster = roster(0..12, 3);
        let mut counts = [0; 12];
        for slot in 0..3000 {
            let keepers = roster.keepers((slot, 0));
            let zones: BTreeSet<u64> = keepers.iter().map(|id| id.0 % 3).collect();
            assert_eq!((keepers.len(), zones.len()), (3, 3));
            keepers.iter().for_each(|id| counts[id.0 as usize] += 1);
        }
        assert!(counts.iter().all(|n| (600..900).contains(n)), "{counts:?}");
    }

    #[test]
    fn only_adjacent_steps_of_a_roster_change_share_a_majority() {
        let (old, new) = (roster(0..6, 2), roster(3..9, 2));
        let step = |epoch, now: &Roster, before: Option<&Roster>| Rosters {
            epoch,
            current: now.clone(),
            previous: before.cloned(),
        };
        let steps = [step(6, &old, None), step(7, &new, Some(&old)), step(7, &new, None)];
        for (n, one) in steps.iter().enumerate() {
            for (m, other) in steps.iter().enumerate() {
                let shares_majority = one.shares_majority_with(other.epoch, other.previous.is_some());
                // The first and the last step may have disjoint majorities.
                assert_eq!(shares_majority, n.abs_diff(m) < 2, "{n} and {m}");
            }
        }
        // Any majorities of two adjacent steps share a keeper.
        for slot in 0..200 {
            let quorums = |rosters: &Rosters| {
                let keepers = rosters.keepers((slot, 1));
                let all: Vec<NodeId> = keepers.all().into_iter().collect();
                (0u32..1 << all.len())
                    .map(|set| {
                        all.iter().enumerate().filter(|(n, _)| set >> n & 1 == 1).map(|(_, id)| *id).collect()
                    })
                    .filter(|set: &BTreeSet<NodeId>| keepers.is_majority(|id| set.contains(&id)))
                    .collect::<Vec<_>>()
            };
            for pair in steps.windows(2) {
                for one in quorums(&pair[0]) {
                    for other in quorums(&pair[1]) {
                        assert!(!one.is_disjoint(&other));
                    }
                }
            }
        }
    }

    #[test]
    fn rosters_with_duplicates_or_too_few_nodes_are_rejected() {
        assert!(Roster::new(vec![(NodeId(1), "a".into()); 3]).is_err());
        assert!(Roster::new((0..2).map(|n| (NodeId(n), String::new())).collect()).is_err());
    }
}
