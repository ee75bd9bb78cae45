//! One budget of bytes for a whole process, and the shares that are drawn from it.

use std::cell::Cell;
use std::rc::Rc;

#[derive(Debug)]
struct Pot {
    most: Cell<usize>,
    taken: Cell<usize>,
}

/// The budget.
#[derive(Clone, Debug)]
pub struct Budget(Rc<Pot>);

/// What one holder has drawn from it, until this is dropped.
#[derive(Debug)]
pub struct Share {
    pot: Rc<Pot>,
    size: usize,
}

impl Budget {
    /// So many bytes in all.
    pub fn new(most: usize) -> Self {
        Self(Rc::new(Pot { most: Cell::new(most), taken: Cell::new(0) }))
    }

    /// So many bytes in all from now on. What is drawn beyond that stays until it comes back; nothing more is drawn meanwhile.
    pub fn bound(&self, most: usize) {
        self.0.most.set(most);
    }

    /// A share with nothing in it yet.
    pub fn share(&self) -> Share {
        Share { pot: self.0.clone(), size: 0 }
    }

    /// How many bytes are drawn.
    pub fn taken(&self) -> usize {
        self.0.taken.get()
    }
}

impl Share {
    /// Draws so many bytes more, or none where they are not there. One holder may have half of the budget at most, so that no
    /// single one shuts out all others.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let (taken, most) = (self.pot.taken.get(), self.pot.most.get());
        let own = self.size.saturating_add(bytes);
        let fits = bytes <= most.saturating_sub(taken) && own <= most / 2;
        if fits {
            self.pot.taken.set(taken + bytes);
            self.size = own;
        }
        fits
    }

    /// How many bytes it has.
    pub fn size(&self) -> usize {
        self.size
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.pot.taken.set(self.pot.taken.get() - self.size);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn shares_never_come_to_more_than_the_budget_and_come_back() {
        let budget = Budget::new(100);
        let (mut a, mut b, mut c) = (budget.share(), budget.share(), budget.share());
        assert!(a.grow(50) && !a.grow(1), "half at most");
        assert!(b.grow(30) && !c.grow(21) && c.grow(20));
        assert_eq!(budget.taken(), 100);
        assert!(a.grow(0) && !b.grow(1));
        drop(a);
        assert!(b.grow(20) && !b.grow(usize::MAX));
        drop((b, c));
        assert_eq!(budget.taken(), 0);
    }

    #[test]
    fn one_that_is_lowered_takes_nothing_back_and_gives_nothing_more() {
        let budget = Budget::new(100);
        let (mut a, mut b) = (budget.share(), budget.share());
        assert!(a.grow(50) && b.grow(20));
        budget.bound(60);
        assert!(!b.grow(1) && budget.taken() == 70);
        drop(a);
        assert!(b.grow(10) && !b.grow(1), "half of what there is now");
        budget.bound(100);
        assert!(b.grow(20));
    }
}
