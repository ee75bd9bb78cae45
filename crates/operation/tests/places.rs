//! Nobody loses a place that is held, and nobody is mistaken for another.

use std::collections::HashMap;

use glenwood_operation::places::{Place, Places, Turn};
use proptest::prelude::*;

#[test]
fn who_stays_keeps_the_place_and_who_is_new_takes_a_free_one() {
    let mut places = Places::default();
    assert_eq!(places.follow(&["a", "b"]), [Turn::Begins(0), Turn::Begins(1)]);
    let held = places.find("a").expect("there");
    assert_eq!(places.follow(&["c", "b"]), [Turn::Vanished, Turn::Stays(1), Turn::Begins(0)]);
    assert_eq!((places.find("a"), held.number), (None, 0));
    assert_eq!(places.name(0).map(|n| &**n), Some("a"), "while a request holds it");
    drop(held);
    assert_eq!(places.follow(&["b", "c", "d"]), [Turn::Begins(2), Turn::Stays(0), Turn::Stays(1)]);
}

#[test]
fn who_comes_back_while_the_place_is_held_has_it_again() {
    let mut places = Places::default();
    places.follow(&["a"]);
    let _held = places.find("a");
    places.follow(&["b"]);
    assert_eq!(places.follow(&["a", "b"]), [Turn::Stays(0), Turn::Stays(1)]);
}

#[test]
fn ten_thousand_changes_take_no_more_places_than_are_held() {
    let mut places = Places::default();
    for n in 0..10_000 {
        let turns = places.follow(&["look".to_string(), format!("class-{n}")]);
        assert!(turns.len() <= 3, "{n}: {turns:?}");
    }
}

proptest! {
    #[test]
    fn a_place_is_its_holders_until_let_go(
        steps in prop::collection::vec((prop::collection::hash_set(0..6usize, 1..5), 0..6usize, any::<bool>()), 1..60)
    ) {
        let mut places = Places::default();
        let mut held: Vec<Place> = Vec::new();
        for (names, which, take) in steps {
            let names: Vec<String> = names.into_iter().map(|n| format!("n{n}")).collect();
            let before: HashMap<String, usize> =
                names.iter().filter_map(|n| Some((n.clone(), places.find(n)?.number))).collect();
            let turns = places.follow(&names);
            for place in &held {
                prop_assert_eq!(places.name(place.number), Some(&place.name));
            }
            for (n, name) in names.iter().enumerate() {
                let place = places.find(name).expect("listed");
                let turn = turns[place.number];
                prop_assert!(turn == Turn::Stays(n) || turn == Turn::Begins(n));
                if let Some(number) = before.get(name) {
                    prop_assert_eq!((place.number, turn), (*number, Turn::Stays(n)));
                }
            }
            if take {
                held.extend(places.find(&format!("n{which}")));
            } else if !held.is_empty() {
                held.swap_remove(which % held.len());
            }
        }
    }
}

/// One lookup by hash for a name that is not where it was, however many there are.
#[test]
fn very_many_places_are_found_and_followed() {
    const MANY: usize = 47_000;
    let names: Vec<String> = (0..MANY).map(|n| format!("tenant-{n}")).collect();
    let mut places = Places::default();
    places.follow(&names);
    let reversed: Vec<&String> = names.iter().rev().collect();
    let turns = places.follow(&reversed);
    assert!((0..MANY).all(|n| turns[n] == Turn::Stays(MANY - 1 - n)));
    assert!((0..MANY).all(|n| places.find(&names[n]).is_some_and(|place| place.number == n)));
}

#[test]
fn one_name_comes_and_goes_without_the_others() {
    let mut places = Places::default();
    places.follow(&["a", "b"]);
    assert_eq!(places.insert("a"), (0, false));
    assert_eq!(places.insert("c"), (2, true));
    let held = places.find("a").expect("there");
    assert_eq!((places.remove("a"), places.remove("a"), places.find("a")), (Some(0), None, None));
    assert_eq!(places.insert("d"), (3, true), "the place of a is held");
    drop(held);
    assert_eq!(places.insert("e"), (0, true), "nobody holds it any more");
    assert_eq!(places.remove("e"), Some(0));
    assert_eq!(places.insert("e"), (0, false), "it comes back to its place");
    assert_eq!(places.insert("f"), (4, true), "and nobody else has that");
    assert_eq!(places.follow(&["f", "b"]).len(), 5);
}

proptest! {
    #[test]
    fn whoever_is_there_has_a_place_of_its_own(
        steps in prop::collection::vec((0..8usize, any::<bool>(), any::<bool>()), 1..200)
    ) {
        let mut places = Places::default();
        let mut there = std::collections::BTreeSet::new();
        let mut held: Vec<Place> = Vec::new();
        for (which, comes, holds) in steps {
            let name = format!("n{which}");
            if comes {
                places.insert(&name);
                there.insert(name.clone());
            } else {
                places.remove(&name);
                there.remove(&name);
            }
            if holds {
                held.extend(places.find(&name));
            } else if !held.is_empty() {
                held.swap_remove(which % held.len());
            }
            let found: Vec<Place> = there.iter().filter_map(|name| places.find(name)).collect();
            let distinct: std::collections::BTreeSet<usize> = found.iter().map(|place| place.number).collect();
            prop_assert_eq!((found.len(), distinct.len()), (there.len(), there.len()));
            for place in &held {
                prop_assert_eq!(places.name(place.number), Some(&place.name));
            }
        }
    }
}
