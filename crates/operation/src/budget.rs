//! A byte budget shared by a whole process.

use std::cell::Cell;
use std::rc::Rc;

#[derive(Debug)]
struct Pool {
    max_bytes: Cell<usize>,
    reserved: Cell<usize>,
}

/// The shared budget.
#[derive(Clone, Debug)]
pub struct Budget(Rc<Pool>);

/// The bytes that one holder has reserved; they are released on drop.
#[derive(Debug)]
pub struct Share {
    pool: Rc<Pool>,
    size: usize,
}

impl Budget {
    /// Creates a budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self(Rc::new(Pool { max_bytes: Cell::new(max_bytes), reserved: Cell::new(0) }))
    }

    /// Changes the limit. Reservations above the new limit stay until they are released; no more are granted
    /// until the sum is below the limit again.
    pub fn set_max_bytes(&self, max_bytes: usize) {
        self.0.max_bytes.set(max_bytes);
    }

    /// Creates an empty share.
    pub fn share(&self) -> Share {
        Share { pool: self.0.clone(), size: 0 }
    }

    /// Number of reserved bytes.
    pub fn reserved_bytes(&self) -> usize {
        self.0.reserved.get()
    }
}

impl Share {
    /// Reserves `bytes` more and returns true, or reserves nothing and returns false if they are not
    /// available. One share may hold at most half of the budget, so that no single holder blocks all others.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let (reserved, max_bytes) = (self.pool.reserved.get(), self.pool.max_bytes.get());
        let new_size = self.size.saturating_add(bytes);
        let fits = bytes <= max_bytes.saturating_sub(reserved) && new_size <= max_bytes / 2;
        if fits {
            self.pool.reserved.set(reserved + bytes);
            self.size = new_size;
        }
        fits
    }

    /// Number of bytes reserved by this share.
    pub fn size(&self) -> usize {
        self.size
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.pool.reserved.set(self.pool.reserved.get() - self.size);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn shares_never_exceed_the_budget_and_are_released_on_drop() {
        let budget = Budget::new(100);
        let (mut a, mut b, mut c) = (budget.share(), budget.share(), budget.share());
        assert!(a.grow(50) && !a.grow(1), "a share is limited to half of the budget");
        assert!(b.grow(30) && !c.grow(21) && c.grow(20));
        assert_eq!(budget.reserved_bytes(), 100);
        assert!(a.grow(0) && !b.grow(1));
        drop(a);
        assert!(b.grow(20) && !b.grow(usize::MAX));
        drop((b, c));
        assert_eq!(budget.reserved_bytes(), 0);
    }

    #[test]
    fn a_lowered_budget_keeps_reservations_and_grants_no_more() {
        let budget = Budget::new(100);
        let (mut a, mut b) = (budget.share(), budget.share());
        assert!(a.grow(50) && b.grow(20));
        budget.set_max_bytes(60);
        assert!(!b.grow(1) && budget.reserved_bytes() == 70);
        drop(a);
        assert!(b.grow(10) && !b.grow(1), "a share is limited to half of the lowered budget");
        budget.set_max_bytes(100);
        assert!(b.grow(20));
    }
}
