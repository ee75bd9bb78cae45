//! A table of places, filled by members so that each has as many as any other and keeps most of them when members come
//! or go: Maglev's. It decides nothing; whoever reads it chooses the size, and where to begin.

use crate::api::ServerId;

/// The step of SplitMix64's walk.
pub const GOLDEN: u64 = 0x9E37_79B9_7F4A_7C15;

/// The mixing of SplitMix64.
pub fn mix(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

/// Fills a table of `size` places, at least as many as there are members: each member in turn takes its next free place by
/// an order of its own, and not twice within a block of `block` places but where nothing else is left. A place holds its
/// member's number in `members`.
pub fn fill(members: &[ServerId], size: usize, block: usize) -> Vec<usize> {
    const FREE: usize = usize::MAX;
    let mut walks: Vec<u64> = members.iter().map(|id| mix(id.0)).collect();
    let mut table = vec![FREE; if members.is_empty() { 0 } else { size }];
    for filled in 0..table.len() {
        let member = filled % members.len();
        let walk = &mut walks[member];
        let mut tries = 0;
        let free = loop {
            *walk = walk.wrapping_add(GOLDEN);
            tries += 1;
            let place = mix(*walk) as usize % size;
            let start = place - place % block.max(1);
            let twice = table[start..size.min(start + block)].contains(&member);
            if table[place] == FREE && (!twice || tries > size) {
                break place;
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
    fn each_member_has_as_many_places_as_any_other() {
        for count in [1, 2, 7, 60, 100] {
            let table = fill(&members(count), 256, 2);
            let of = |member| table.iter().filter(|m| **m == member).count();
            let counts: Vec<usize> = (0..count as usize).map(of).collect();
            let (least, most) = (counts.iter().min(), counts.iter().max());
            assert!(most.zip(least).is_some_and(|(m, l)| m - l <= 1), "{count}: {counts:?}");
        }
        assert!(fill(&[], 256, 2).is_empty());
    }

    #[test]
    fn a_member_that_goes_moves_few_places_of_the_others() {
        let all = members(60);
        let before = fill(&all, 1024, 2);
        let mut left = all.clone();
        left.remove(17);
        let after = fill(&left, 1024, 2);
        let kept = before.iter().zip(&after).filter(|(b, a)| all[**b] == left[**a]).count();
        assert!(kept > 1024 * 8 / 10, "{kept} of 1024 places stay");
    }

    #[test]
    fn blocks_hold_each_member_once() {
        let table = fill(&members(60), 256, 2);
        assert!(table.chunks(2).filter(|pair| pair[0] == pair[1]).count() <= 2);
    }
}
