//! The order in which each of many nodes prefers the same members, such that all nodes together cover them
//! evenly and little changes when members join or leave: a lookup table as in Maglev hashing, or for very
//! many members a ring of their hashed ids.

use crate::api::ServerId;

/// The increment of SplitMix64.
pub const GOLDEN: u64 = 0x9E37_79B9_7F4A_7C15;

/// The mixing function of SplitMix64.
pub fn mix(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

/// From this number of members on, the order is the ring of their ids. The cost of filling the table at
/// each change of the list grows faster than its size, while a window on the ring that moves by one member
/// is a small part of a large one.
pub const MIN_RING_MEMBERS: usize = 2048;

/// The order in which node `number` of `nodes` prefers the sorted `members`. All nodes fill the same table,
/// in which each member in turn takes the next free slot of its own sequence. So all members have equally
/// many slots and keep most of them when the list changes. Each node reads the table from its own offset.
pub fn preference(members: &[ServerId], number: usize, nodes: usize, block: usize) -> Vec<ServerId> {
    if members.len() >= MIN_RING_MEMBERS {
        let (before, after) = members.split_at(number * members.len() / nodes);
        return [after, before].concat();
    }
    let size = (block * nodes).max(block * members.len().next_power_of_two());
    let table = fill_table(members, size, block);
    let offset = number * size / nodes;
    let mut seen = vec![false; members.len()];
    let slots = (offset..size).chain(0..offset).map(|slot| table[slot]);
    slots
        .filter(|member| !std::mem::replace(&mut seen[*member], true))
        .map(|member| members[member])
        .collect()
}

/// Fills a table of `size` slots, at least as many as there are members. Each member in turn takes the next
/// free slot of its own sequence, and not twice within a block of `block` slots unless nothing else is
/// left. A slot holds its member's index in `members`.
pub fn fill_table(members: &[ServerId], size: usize, block: usize) -> Vec<usize> {
    const EMPTY: usize = usize::MAX;
    let mut states: Vec<u64> = members.iter().map(|id| mix(id.0)).collect();
    let mut table = vec![EMPTY; if members.is_empty() { 0 } else { size }];
    for filled in 0..table.len() {
        let member = filled % members.len();
        let state = &mut states[member];
        let mut tries = 0;
        let free = loop {
            *state = state.wrapping_add(GOLDEN);
            tries += 1;
            let slot = mix(*state) as usize % size;
            let start = slot - slot % block.max(1);
            let is_repeated = table[start..size.min(start + block)].contains(&member);
            if table[slot] == EMPTY && (!is_repeated || tries > size) {
                break slot;
            }
        };
        table[free] = member;
    }
    table
}

#[cfg(test)]
mod tests {
    use super::*;

    fn members(count: u64) -> Vec<ServerId> {
        (0..count).map(|n| ServerId(mix(n))).collect()
    }

    #[test]
    fn all_members_have_equally_many_slots() {
        for count in [1, 2, 7, 60, 100] {
            let table = fill_table(&members(count), 256, 2);
            let of = |member| table.iter().filter(|m| **m == member).count();
            let counts: Vec<usize> = (0..count as usize).map(of).collect();
            let (least, most) = (counts.iter().min(), counts.iter().max());
            assert!(most.zip(least).is_some_and(|(m, l)| m - l <= 1), "{count}: {counts:?}");
        }
        assert!(fill_table(&[], 256, 2).is_empty());
    }

    #[test]
    fn removing_a_member_moves_few_slots_of_the_others() {
        let all = members(60);
        let before = fill_table(&all, 1024, 2);
        let mut left = all.clone();
        left.remove(17);
        let after = fill_table(&left, 1024, 2);
        let kept = before.iter().zip(&after).filter(|(b, a)| all[**b] == left[**a]).count();
        assert!(kept > 1024 * 8 / 10, "{kept} of 1024 slots are unchanged");
    }

    /// For each member, the number of nodes that have it among the first of their order.
    fn covered(members: &[ServerId], nodes: usize, first: usize) -> Vec<usize> {
        let mut count = vec![0; members.len()];
        for number in 0..nodes {
            for id in &preference(members, number, nodes, 2)[..first] {
                count[members.binary_search(id).expect("a member")] += 1;
            }
        }
        count
    }

    #[test]
    fn a_ring_covers_members_evenly_and_changes_little_when_one_is_removed() {
        let mut all = members(MIN_RING_MEMBERS as u64 + 500);
        all.sort_unstable();
        let (nodes, first) = (250, 80);
        let covered = covered(&all, nodes, first);
        let (least, most) = (covered.iter().min().expect("some"), covered.iter().max().expect("some"));
        assert!(most - least <= 1, "{least} to {most} nodes for each member");
        let before: Vec<Vec<ServerId>> = (0..nodes).map(|n| preference(&all, n, nodes, 2)).collect();
        let gone = all.remove(777);
        let mut changed = 0;
        for (number, before) in before.iter().enumerate() {
            let after = preference(&all, number, nodes, 2);
            let is_kept = |id: &&ServerId| **id == gone || after[..first].contains(id);
            changed += first - before[..first].iter().filter(is_kept).count();
        }
        assert!(changed * 50 < nodes * first, "{changed} of {} pairs changed", nodes * first);
    }

    #[test]
    fn blocks_rarely_contain_a_member_twice() {
        let table = fill_table(&members(60), 256, 2);
        assert!(table.chunks(2).filter(|pair| pair[0] == pair[1]).count() <= 2);
    }
}
