//! Duplicate names are found with a number of comparisons linear in the number of names.

use std::cell::Cell;
use std::hash::{Hash, Hasher};

use glenwood_settings::first_duplicate;

/// A name that counts how often it is compared.
struct Counted<'a>(usize, &'a Cell<usize>);

impl PartialEq for Counted<'_> {
    fn eq(&self, other: &Self) -> bool {
        self.1.set(self.1.get() + 1);
        self.0 == other.0
    }
}

impl Eq for Counted<'_> {}

impl Hash for Counted<'_> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

fn comparisons(names: usize) -> usize {
    let count = Cell::new(0);
    assert!(first_duplicate((0..names).map(|name| Counted(name, &count))).is_none());
    count.get()
}

#[test]
fn the_number_of_comparisons_is_linear_in_the_number_of_names() {
    for names in [100, 1_000, 10_000, 47_000] {
        let compared = comparisons(names);
        assert!(compared <= names / 4 + 10, "{compared} comparisons of {names} names");
    }
}

#[test]
fn the_first_duplicate_name_is_returned() {
    assert_eq!(first_duplicate(["a", "b", "c", "b", "a"]), Some("b"));
    assert_eq!(first_duplicate(Vec::<&str>::new()), None);
}
