//! Places of named things: numbers that stay while anything refers to them, through any change of the names.

use std::collections::HashMap;
use std::rc::Rc;

/// A place that is held for as long as this is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its number.
    pub number: usize,
    /// Whose it is.
    pub name: Rc<str>,
}

/// What becomes of a place; names are told by their index among the new ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// Whose it was stays.
    Stays(usize),
    /// It is another one's from now on, who begins anew.
    Begins(usize),
    /// Whose it was has vanished; requests may still hold it.
    Vanished,
}

/// How many references there are to the name of a place that nobody holds: its own, and the index's.
const UNHELD: usize = 2;

/// All places.
#[derive(Debug, Default)]
pub struct Places {
    /// Whose each is, and whether that one is among the names now.
    all: Vec<(Rc<str>, bool)>,
    /// The place of each name, also of those that have vanished.
    index: HashMap<Rc<str>, usize>,
}

impl Places {
    /// The place of a name that there is now.
    pub fn find(&self, name: &str) -> Option<Place> {
        let number = *self.index.get(name)?;
        let (whose, now) = &self.all[number];
        now.then(|| Place { number, name: whose.clone() })
    }

    /// The name of a place, also of one that has vanished.
    pub fn name(&self, number: usize) -> Option<&Rc<str>> {
        self.all.get(number).map(|(name, _)| name)
    }

    /// These are the names from now on, none of them twice. Gives what becomes of each place, in their order.
    pub fn follow<S: AsRef<str>>(&mut self, names: &[S]) -> Vec<Turn> {
        let mut turns = vec![Turn::Vanished; self.all.len()];
        let mut new = Vec::new();
        for (n, name) in names.iter().map(AsRef::as_ref).enumerate() {
            // One that comes back while its place is still held takes that again: it is the same one.
            match self.place_of(name, n) {
                Some(place) => turns[place] = Turn::Stays(n),
                None => new.push((n, name)),
            }
        }
        let mut new = new.into_iter();
        for (place, turn) in turns.iter_mut().enumerate() {
            let free = *turn == Turn::Vanished && Rc::strong_count(&self.all[place].0) == UNHELD;
            if let Some((n, name)) = free.then(|| new.next()).flatten() {
                *turn = Turn::Begins(n);
                self.index.remove(&self.all[place].0);
                self.all[place].0 = name.into();
                self.index.insert(self.all[place].0.clone(), place);
            }
        }
        for (n, name) in new {
            let name: Rc<str> = name.into();
            self.index.insert(name.clone(), self.all.len());
            self.all.push((name, true));
            turns.push(Turn::Begins(n));
        }
        for ((_, now), turn) in self.all.iter_mut().zip(&turns) {
            *now = *turn != Turn::Vanished;
        }
        turns
    }

    /// The place of a name, whether or not it is among the names now. Lists mostly follow in the order of the one before: the
    /// place of that number is looked at first.
    fn place_of(&self, name: &str, number: usize) -> Option<usize> {
        if self.all.get(number).is_some_and(|(whose, _)| **whose == *name) {
            return Some(number);
        }
        self.index.get(name).copied()
    }
}
