//! Places of named things: numbers that stay while anything refers to them, through any change of the names.

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

/// All places.
#[derive(Debug, Default)]
pub struct Places {
    /// Whose each is, and whether that one is among the names now.
    all: Vec<(Rc<str>, bool)>,
}

impl Places {
    /// The place of a name that there is now.
    pub fn find(&self, name: &str) -> Option<Place> {
        let number = self.all.iter().position(|(whose, now)| *now && **whose == *name)?;
        Some(Place { number, name: self.all[number].0.clone() })
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
            match self.all.iter().position(|(whose, _)| **whose == *name) {
                Some(place) => turns[place] = Turn::Stays(n),
                None => new.push((n, name)),
            }
        }
        let mut new = new.into_iter();
        for (place, turn) in turns.iter_mut().enumerate() {
            let free = *turn == Turn::Vanished && Rc::strong_count(&self.all[place].0) == 1;
            if let Some((n, name)) = free.then(|| new.next()).flatten() {
                (self.all[place].0, *turn) = (name.into(), Turn::Begins(n));
            }
        }
        for (n, name) in new {
            self.all.push((name.into(), true));
            turns.push(Turn::Begins(n));
        }
        for ((_, now), turn) in self.all.iter_mut().zip(&turns) {
            *now = *turn != Turn::Vanished;
        }
        turns
    }
}
