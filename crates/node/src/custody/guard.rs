//! The core's actions by way of custody: an attempt starts once its intent is written.

use std::rc::Rc;
use std::time::Instant;

use glenwood_core::AttemptId;
use glenwood_policy::ServerId;

use super::Custody;
use crate::call::Call;
use crate::hub::HubActions;

/// Passes the hub's actions on to `inner`, except the attempts that custody delays.
pub struct Guarded {
    custody: Rc<Custody>,
    inner: Rc<dyn HubActions>,
}

impl Guarded {
    /// Wraps `inner`.
    pub fn new(custody: Rc<Custody>, inner: Rc<dyn HubActions>) -> Rc<Self> {
        let _ = custody.inner.set(inner.clone());
        Rc::new(Self { custody, inner })
    }
}

impl HubActions for Guarded {
    fn start(&self, attempt: AttemptId, server: ServerId, end: Instant, call: Rc<Call>) {
        self.custody.start(attempt, server, end, call);
    }

    fn abandon(&self, attempt: AttemptId) {
        if !self.custody.abandon(attempt) {
            self.inner.abandon(attempt);
        }
    }

    fn is_unsent(&self, attempt: AttemptId) -> bool {
        self.custody.is_pending(attempt) || self.inner.is_unsent(attempt)
    }

    fn probe(&self, server: ServerId) {
        self.inner.probe(server);
    }

    fn discard_connections(&self, server: ServerId) {
        self.inner.discard_connections(server);
    }

    fn subscribe(&self) {
        self.inner.subscribe();
    }

    fn unsubscribe(&self) {
        self.inner.unsubscribe();
    }
}
