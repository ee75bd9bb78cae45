//! Places of named things: numbers that stay while anything refers to them, through any change of the names.

use std::collections::{HashMap, VecDeque};
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

/// How many places that may be free are looked at for one name.
const LOOKS: usize = 8;

/// All places.
#[derive(Debug, Default)]
pub struct Places {
    /// Whose each is, and whether that one is among the names now.
    all: Vec<(Rc<str>, bool)>,
    /// The place of each name, also of those that have vanished.
    index: HashMap<Rc<str>, usize>,
    /// Places whose names were removed, the first removed at the front; some may be taken again.
    vanished: VecDeque<usize>,
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

    /// This name is there from now on; gives its place, and whether it is new there. Its cost does not grow with the others.
    pub fn insert(&mut self, name: &str) -> (usize, bool) {
        if let Some(place) = self.index.get(name).copied() {
            // One that comes back has its place again.
            self.all[place].1 = true;
            return (place, false);
        }
        let name: Rc<str> = name.into();
        let place = match self.unheld() {
            Some(place) => {
                self.index.remove(&self.all[place].0);
                self.all[place] = (name.clone(), true);
                place
            }
            None => {
                self.all.push((name.clone(), true));
                self.all.len() - 1
            }
        };
        self.index.insert(name, place);
        (place, true)
    }

    /// This name is there no more; gives its place, if it was there. Who holds the place keeps it.
    pub fn remove(&mut self, name: &str) -> Option<usize> {
        let place = *self.index.get(name)?;
        let was = std::mem::replace(&mut self.all[place].1, false);
        was.then(|| {
            self.vanished.push_back(place);
            place
        })
    }

    /// A place that has lately become free, if one of the first few is held by nobody.
    fn unheld(&mut self) -> Option<usize> {
        for _ in 0..self.vanished.len().min(LOOKS) {
            let place = self.vanished.pop_front()?;
            let (name, now) = &self.all[place];
            match (*now, Rc::strong_count(name) == UNHELD) {
                // It came back, or another has it.
                (true, _) => {}
                (false, true) => return Some(place),
                (false, false) => self.vanished.push_back(place),
            }
        }
        None
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
