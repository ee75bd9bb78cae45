//! Checks that a referenced slot stays with its name, and that no two names share a slot.

use std::collections::HashMap;

use glenwood_operation::places::{Slot, SlotChange, Slots};
use proptest::prelude::*;

#[test]
fn a_kept_name_keeps_its_slot_and_a_new_name_reuses_a_free_one() {
    let mut slots = Slots::default();
    assert_eq!(slots.replace_names(&["a", "b"]), [SlotChange::Reassigned(0), SlotChange::Reassigned(1)]);
    let references = slots.find("a").expect("present");
    assert_eq!(
        slots.replace_names(&["c", "b"]),
        [SlotChange::Vanished, SlotChange::Stays(1), SlotChange::Reassigned(0)]
    );
    assert_eq!((slots.find("a"), references.number), (None, 0));
    assert_eq!(slots.name(0).map(|n| &**n), Some("a"), "a request refers to the slot");
    drop(references);
    assert_eq!(
        slots.replace_names(&["b", "c", "d"]),
        [SlotChange::Reassigned(2), SlotChange::Stays(0), SlotChange::Stays(1)]
    );
}

#[test]
fn a_name_that_returns_while_its_slot_is_referenced_gets_it_again() {
    let mut slots = Slots::default();
    slots.replace_names(&["a"]);
    let _reference = slots.find("a");
    slots.replace_names(&["b"]);
    assert_eq!(slots.replace_names(&["a", "b"]), [SlotChange::Stays(0), SlotChange::Stays(1)]);
}

#[test]
fn ten_thousand_changes_reuse_the_free_slots() {
    let mut slots = Slots::default();
    for n in 0..10_000 {
        let changes = slots.replace_names(&["look".to_string(), format!("class-{n}")]);
        assert!(changes.len() <= 3, "{n}: {changes:?}");
    }
}

proptest! {
    #[test]
    fn a_slot_keeps_its_name_while_it_is_referenced(
        steps in prop::collection::vec((prop::collection::hash_set(0..6usize, 1..5), 0..6usize, any::<bool>()), 1..60)
    ) {
        let mut slots = Slots::default();
        let mut references: Vec<Slot> = Vec::new();
        for (names, index, acquires) in steps {
            let names: Vec<String> = names.into_iter().map(|n| format!("n{n}")).collect();
            let before: HashMap<String, usize> =
                names.iter().filter_map(|n| Some((n.clone(), slots.find(n)?.number))).collect();
            let changes = slots.replace_names(&names);
            for slot in &references {
                prop_assert_eq!(slots.name(slot.number), Some(&slot.name));
            }
            for (n, name) in names.iter().enumerate() {
                let slot = slots.find(name).expect("listed");
                let change = changes[slot.number];
                prop_assert!(change == SlotChange::Stays(n) || change == SlotChange::Reassigned(n));
                if let Some(number) = before.get(name) {
                    prop_assert_eq!((slot.number, change), (*number, SlotChange::Stays(n)));
                }
            }
            if acquires {
                references.extend(slots.find(&format!("n{index}")));
            } else if !references.is_empty() {
                references.swap_remove(index % references.len());
            }
        }
    }
}

/// Guards against a search whose cost grows with the number of names: a name that moved in the list must be
/// found by one hash lookup.
#[test]
fn many_names_are_found_and_reordered() {
    const MANY: usize = 47_000;
    let names: Vec<String> = (0..MANY).map(|n| format!("tenant-{n}")).collect();
    let mut slots = Slots::default();
    slots.replace_names(&names);
    let reversed: Vec<&String> = names.iter().rev().collect();
    let changes = slots.replace_names(&reversed);
    assert!((0..MANY).all(|n| changes[n] == SlotChange::Stays(MANY - 1 - n)));
    assert!((0..MANY).all(|n| slots.find(&names[n]).is_some_and(|slot| slot.number == n)));
}

#[test]
fn one_name_is_added_and_removed_without_affecting_others() {
    let mut slots = Slots::default();
    slots.replace_names(&["a", "b"]);
    assert_eq!(slots.insert("a"), (0, false));
    assert_eq!(slots.insert("c"), (2, true));
    let references = slots.find("a").expect("present");
    assert_eq!((slots.remove("a"), slots.remove("a"), slots.find("a")), (Some(0), None, None));
    assert_eq!(slots.insert("d"), (3, true), "the slot of a is still referenced");
    drop(references);
    assert_eq!(slots.insert("e"), (0, true), "nothing refers to the slot of a");
    assert_eq!(slots.remove("e"), Some(0));
    assert_eq!(slots.insert("e"), (0, false), "a returning name gets its slot again");
    assert_eq!(slots.insert("f"), (4, true), "that slot is not given to another name");
    assert_eq!(slots.replace_names(&["f", "b"]).len(), 5);
}

proptest! {
    #[test]
    fn every_present_name_has_a_slot_of_its_own(
        steps in prop::collection::vec((0..8usize, any::<bool>(), any::<bool>()), 1..200)
    ) {
        let mut slots = Slots::default();
        let mut present = std::collections::BTreeSet::new();
        let mut references: Vec<Slot> = Vec::new();
        for (index, is_added, adds_reference) in steps {
            let name = format!("n{index}");
            if is_added {
                slots.insert(&name);
                present.insert(name.clone());
            } else {
                slots.remove(&name);
                present.remove(&name);
            }
            if adds_reference {
                references.extend(slots.find(&name));
            } else if !references.is_empty() {
                references.swap_remove(index % references.len());
            }
            let found: Vec<Slot> = present.iter().filter_map(|name| slots.find(name)).collect();
            let distinct: std::collections::BTreeSet<usize> = found.iter().map(|slot| slot.number).collect();
            prop_assert_eq!((found.len(), distinct.len()), (present.len(), present.len()));
            for slot in &references {
                prop_assert_eq!(slots.name(slot.number), Some(&slot.name));
            }
        }
    }
}
