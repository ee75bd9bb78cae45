//! The way to the servers, a module for each protocol, and the descriptors that they share.

pub mod http1;
pub mod msgpack;

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Which part of the descriptors health checks may hold at the same time, and the most of them.
const CHECKS_PART: usize = 16;
const CHECKS_MOST: usize = 64;

/// Whoever has connections that stand idle.
pub trait Idle {
    /// Closes the connection that has been idle for longest; false where none is.
    fn evict(&self) -> bool;
}

/// The descriptors that connections to servers may hold.
pub struct Descriptors {
    held: Rc<Cell<usize>>,
    most: Cell<usize>,
    /// How many of them health checks may hold at the same time.
    checks: Arc<Semaphore>,
    idle: RefCell<Vec<Weak<dyn Idle>>>,
}

/// One of them.
pub struct Held {
    count: Rc<Cell<usize>>,
    /// Its place among those of health checks, where it is for one.
    check: Option<OwnedSemaphorePermit>,
}

impl Held {
    /// Is it for a health check?
    pub fn is_for_check(&self) -> bool {
        self.check.is_some()
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}

impl Descriptors {
    /// None is held yet.
    pub fn new(most: usize) -> Rc<Self> {
        let for_checks = (most / CHECKS_PART).clamp(1, CHECKS_MOST);
        Rc::new(Self {
            held: Rc::default(),
            most: Cell::new(most),
            checks: Arc::new(Semaphore::new(for_checks)),
            idle: RefCell::default(),
        })
    }

    /// Connections of `owner` may be closed where there is no descriptor left.
    pub fn may_evict(&self, owner: Weak<dyn Idle>) {
        self.idle.borrow_mut().push(owner);
    }

    /// Closes an idle connection; false where none is.
    pub fn evict(&self) -> bool {
        self.idle.borrow().iter().filter_map(Weak::upgrade).any(|owner| owner.evict())
    }

    /// So many there may be from now on; idle ones beyond that are closed.
    pub fn bound(&self, most: usize) {
        self.most.set(most);
        while self.held.get() > most && self.evict() {}
    }

    /// How many are held.
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// A descriptor, where there is one or an idle connection makes room.
    pub fn reserve(&self) -> Option<Held> {
        if self.held.get() >= self.most.get() && !self.evict() {
            return None;
        }
        self.held.set(self.held.get() + 1);
        Some(Held { count: self.held.clone(), check: None })
    }

    /// A descriptor for a health check; waits until fewer checks hold one than may.
    pub async fn reserve_for_check(&self) -> Option<Held> {
        let place = self.checks.clone().acquire_owned().await.ok()?;
        let mut held = self.reserve()?;
        held.check = Some(place);
        Some(held)
    }

    /// A descriptor for a connection that a check has made and requests may use, where many are free.
    pub fn keep_checked(&self) -> Option<Held> {
        if 2 * self.held.get() >= self.most.get() {
            return None;
        }
        self.reserve()
    }
}
