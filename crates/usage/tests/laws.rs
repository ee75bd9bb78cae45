//! Property tests of the invariants of merging, parts, rights, votes and replay protection.

use std::collections::BTreeSet;

use glenwood_usage::ledger::{base_rights, equal_part, Rights, Slot, Slots};
use glenwood_usage::votes::{Ballot, InstanceSet, ReplayWindow, Votes};
use glenwood_usage::{Key, RunId};
use proptest::prelude::*;

fn slots() -> impl Strategy<Value = Slots> {
    prop::collection::vec((0..4u16, 0..3u64, 0..50u32, 0..50u32), 0..12).prop_map(|all| {
        let mut slots = Slots::default();
        for (instance, run_id, spent, given) in all {
            slots.update(instance, RunId(run_id), Slot { spent, given });
        }
        slots
    })
}

fn merged(a: &Slots, b: &Slots) -> Slots {
    let mut all = a.clone();
    all.merge(b);
    all
}

proptest! {
    #[test]
    fn merging_is_associative_commutative_and_idempotent(a in slots(), b in slots(), c in slots()) {
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&a, &a), a.clone());
        // Merging never decreases a total.
        prop_assert!(merged(&a, &b).spent() >= a.spent() && merged(&a, &b).received() >= b.received());
    }

    #[test]
    fn parts_add_up_to_the_total_with_any_instances_gone(
        total in any::<u32>(), n in 1..60usize, key in any::<u64>(), window in any::<u64>(), gone in any::<u64>(),
    ) {
        let parts: u64 = (0..n).map(|who| u64::from(equal_part(total, n, who, key))).sum();
        prop_assert_eq!(parts, u64::from(total));
        // The parts of the instances that are gone are divided, except the shares that they would get of each
        // other.
        let gone: Vec<usize> = (0..n).filter(|who| gone >> who & 1 == 1).collect();
        let held: u64 = (0..n)
            .filter(|who| !gone.contains(who))
            .map(|me| u64::from(base_rights(total, Key(key), window, me, n, true, &gone)))
            .sum();
        prop_assert!(held <= u64::from(total));
        if gone.len() <= 1 && gone.len() < n {
            prop_assert_eq!(held, u64::from(total), "the part of a single gone instance is divided completely");
        }
    }

    /// Three instances spend and transfer rights; transfers arrive late, twice, out of order or not at all.
    #[test]
    fn rights_are_conserved_as_spent_held_or_in_flight(
        total in 0..200u32, steps in prop::collection::vec((0..3usize, 0..3usize, 0..40u32, 0..4u8), 1..60),
    ) {
        let bases: Vec<u32> = (0..3).map(|me| base_rights(total, Key(1), 1, me, 3, true, &[])).collect();
        let mut rights: Vec<Rights> = (0..3).map(|_| Rights::new(1)).collect();
        let mut spent = [0u32; 3];
        let mut transfers: Vec<(usize, usize, u32)> = Vec::new();
        for (a, b, amount, action) in steps {
            match action {
                0 if rights[a].held(bases[a], spent[a]) >= amount => spent[a] += amount,
                1 if a != b => {
                    rights[a].transfer(b as u16, RunId(1), amount, bases[a], spent[a]);
                    transfers.push((a, b, rights[a].given_to(b as u16, RunId(1))));
                }
                2 if !transfers.is_empty() => {
                    let (from, to, given) = transfers[amount as usize % transfers.len()];
                    rights[to].slots.update(from as u16, RunId(1), Slot { spent: 0, given });
                }
                _ => {}
            }
            let held: u32 = (0..3).map(|n| rights[n].held(bases[n], spent[n])).sum();
            let given: u32 = rights.iter().map(Rights::given).sum();
            let received: u32 = rights.iter().map(|r| r.slots.received()).sum();
            prop_assert!(received <= given);
            prop_assert_eq!(spent.iter().sum::<u32>() + held + (given - received), total);
        }
    }

    /// Each instance votes once for a window with arbitrary opinions; its ballot reaches some of the others.
    #[test]
    fn no_part_is_divided_while_its_owner_holds_it(
        n in 1..9usize, thinks in any::<[u32; 9]>(), knows in any::<[u32; 9]>(), reaches in any::<[u32; 9]>(),
        lies in any::<u32>(),
    ) {
        let window = 100;
        let mut votes: Vec<Votes> = (0..n).map(|me| Votes::new(n, me, window - 1)).collect();
        let bit = |of: u32, who: usize| of >> who & 1 == 1;
        for me in 0..n {
            votes[me].cast(window, |who| bit(knows[me], who).then(|| bit(thinks[me], who)));
        }
        let ballots: Vec<Vec<Ballot>> = votes.iter().map(|v| v.own_ballots().to_vec()).collect();
        for from in 0..n {
            for to in (0..n).filter(|to| *to != from && bit(reaches[from], *to)) {
                for ballot in &ballots[from] {
                    votes[to].record(window, from, ballot);
                    // A repeated or different ballot of the same voter does not count.
                    let mut other =
                        Ballot { alive: InstanceSet::empty(n), gone: ballot.alive.clone(), ..ballot.clone() };
                    (0..n).filter(|who| bit(lies, *who)).for_each(|who| other.alive.insert(who));
                    prop_assert!(!votes[to].record(window, from, &other));
                }
            }
        }
        for holder in 0..n {
            let divided: BTreeSet<usize> =
                (0..n).filter(|me| *me != holder && votes[*me].gone(window + 1).contains(&holder)).collect();
            prop_assert!(
                !votes[holder].owns_part(window + 1, false) || divided.is_empty(),
                "the part of {holder} is divided by {divided:?}"
            );
        }
    }

    #[test]
    fn each_number_is_accepted_once(numbers in prop::collection::vec(1..200u64, 1..300)) {
        let (mut replay, mut seen, mut last) = (ReplayWindow::default(), BTreeSet::new(), 0);
        for number in numbers {
            let accepted = replay.accept(number);
            prop_assert!(!accepted || !seen.contains(&number), "{number} was accepted twice");
            if !seen.contains(&number) && number + 63 > last {
                prop_assert!(accepted, "{number} is within the window and new");
            }
            seen.insert(number);
            last = last.max(number);
        }
    }
}

#[test]
fn a_run_has_no_part_in_its_first_window_and_no_vote_for_the_next() {
    let mut votes = Votes::new(1, 0, 100);
    votes.cast(100, |_| None);
    assert!(votes.own_ballots().is_empty() && !votes.owns_part(100, false) && !votes.owns_part(101, false));
    votes.cast(101, |_| None);
    assert!(votes.owns_part(102, false) && votes.own_ballots().len() == 1);
    // After the clock was set back, the run must not use the windows that it was already in.
    votes.move_to(101, 98);
    for window in 98..105 {
        votes.cast(window, |_| None);
    }
    assert!(!votes.owns_part(100, false) && !votes.owns_part(102, false) && votes.owns_part(104, false));
}
