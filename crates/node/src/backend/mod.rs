//! Connections to servers: one module per protocol, and the descriptors they share.

pub mod http1;
pub mod msgpack;

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Health checks may hold one part in so many of the descriptors at the same time, up to a maximum.
const CHECKS_DIVISOR: usize = 16;
const MAX_CHECK_DESCRIPTORS: usize = 64;

/// An owner of idle connections.
pub trait EvictIdle {
    /// Closes the connection that has been idle for longest; false if none is idle.
    fn evict(&self) -> bool;
}

/// The file descriptors available for connections to servers.
pub struct Descriptors {
    reserved: Rc<Cell<usize>>,
    limit: Cell<usize>,
    /// Limits how many of them health checks hold at the same time.
    checks: Arc<Semaphore>,
    idle: RefCell<Vec<Weak<dyn EvictIdle>>>,
}

/// A reserved descriptor, released on drop.
pub struct Descriptor {
    count: Rc<Cell<usize>>,
    /// The permit of a health check, if it is for one.
    check_permit: Option<OwnedSemaphorePermit>,
}

impl Descriptor {
    /// Returns whether it is reserved for a health check.
    pub fn is_for_check(&self) -> bool {
        self.check_permit.is_some()
    }
}

impl Drop for Descriptor {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}

impl Descriptors {
    /// Creates the set with none reserved.
    pub fn new(most: usize) -> Rc<Self> {
        let for_checks = (most / CHECKS_DIVISOR).clamp(1, MAX_CHECK_DESCRIPTORS);
        Rc::new(Self {
            reserved: Rc::default(),
            limit: Cell::new(most),
            checks: Arc::new(Semaphore::new(for_checks)),
            idle: RefCell::default(),
        })
    }

    /// Registers an owner whose idle connections may be closed when no descriptor is left.
    pub fn register_evictable(&self, owner: Weak<dyn EvictIdle>) {
        self.idle.borrow_mut().push(owner);
    }

    /// Closes an idle connection; false if there is none.
    pub fn evict(&self) -> bool {
        self.idle.borrow().iter().filter_map(Weak::upgrade).any(|owner| owner.evict())
    }

    /// Sets the limit, and closes idle connections that exceed it.
    pub fn set_limit(&self, most: usize) {
        self.limit.set(most);
        while self.reserved.get() > most && self.evict() {}
    }

    /// The number of reserved descriptors.
    pub fn reserved_count(&self) -> usize {
        self.reserved.get()
    }

    /// Reserves a descriptor, closing an idle connection if necessary; `None` if there is none to close.
    pub fn reserve(&self) -> Option<Descriptor> {
        if self.reserved.get() >= self.limit.get() && !self.evict() {
            return None;
        }
        self.reserved.set(self.reserved.get() + 1);
        Some(Descriptor { count: self.reserved.clone(), check_permit: None })
    }

    /// Reserves a descriptor for a health check; waits while too many checks hold one.
    pub async fn reserve_for_check(&self) -> Option<Descriptor> {
        let permit = self.checks.clone().acquire_owned().await.ok()?;
        let mut held = self.reserve()?;
        held.check_permit = Some(permit);
        Some(held)
    }

    /// Reserves a descriptor to keep a check's connection for requests, if more than half of all are free.
    pub fn keep_checked(&self) -> Option<Descriptor> {
        if 2 * self.reserved.get() >= self.limit.get() {
            return None;
        }
        self.reserve()
    }
}
