//! Clients that wait for a work, and what happens to the work once none is left.

use glenwood_core::{AttemptId, Final};
use glenwood_custody::Ticket;
use glenwood_policy::RequestId;

use super::{Custody, LocalWork};
use crate::call::Reply;
use crate::hub::Waiter;

impl Custody {
    /// Answers all clients that wait for a ticket.
    pub(super) fn answer(&self, ticket: Ticket, make_answer: &dyn Fn() -> Final<Reply>) {
        while let Some(waiter) = self.take_first_waiter(ticket) {
            waiter(make_answer());
        }
    }

    pub(super) fn take_first_waiter(&self, ticket: Ticket) -> Option<Waiter> {
        let mut local = self.local_works.borrow_mut();
        let waiting = &mut local.get_mut(&ticket)?.waiting;
        let first = (!waiting.is_empty()).then(|| waiting.remove(0))?;
        self.numbers.borrow_mut().remove(&first.number);
        Some(first.waiter)
    }

    pub(super) fn drop_local(&self, ticket: Ticket) {
        let local = self.local_works.borrow_mut().remove(&ticket);
        for waiting in local.into_iter().flat_map(|local| local.waiting) {
            self.numbers.borrow_mut().remove(&waiting.number);
        }
    }

    /// Moves the clients of one ticket to another.
    pub(super) fn merge_waiters(&self, ticket: Ticket, other: Ticket) {
        let Some(local) = self.local_works.borrow_mut().remove(&ticket) else { return };
        let mut all = self.local_works.borrow_mut();
        let request = all.get(&other).and_then(|to| to.request);
        match all.get_mut(&other) {
            Some(to) => {
                for waiting in &local.waiting {
                    self.numbers.borrow_mut().insert(waiting.number, other);
                }
                to.waiting.extend(local.waiting);
                drop(all);
                request.into_iter().for_each(|request| self.on_client_returned(other, request));
            }
            None => {
                drop(all);
                for waiting in local.waiting {
                    self.numbers.borrow_mut().remove(&waiting.number);
                    (waiting.waiter)(Final::DeadlineNear);
                }
            }
        }
    }

    /// Gives up a work if no client waits for it any more. A work held by another node is no longer polled. What
    /// this node has sent goes on, for its verdict, but is not sent again. What it has not sent would be sent
    /// for nobody: it is released, so that the next request for it can hold it.
    pub(super) fn on_waiters_changed(&self, ticket: Ticket) {
        let (request, adopted) = match self.local_works.borrow().get(&ticket).filter(|h| h.waiting.is_empty())
        {
            Some(local) => (local.request, local.adopted),
            None => return self.pump_and_notify(),
        };
        match request {
            Some(request) if !adopted && self.is_unsent(ticket) => {
                self.calls.borrow_mut().retain(|_, other| *other != ticket);
                // Each of its attempts ends as never sent, which is recorded.
                self.hub.client_gone(request);
                self.release_work(ticket);
                self.drop_local(ticket);
            }
            Some(request) => {
                self.hub.client_detached(request);
                self.coordinator.borrow_mut().client_left(self.now(), ticket);
            }
            None if !self.coordinator.borrow().is_holder(ticket) => {
                self.coordinator.borrow_mut().abandon(self.now(), ticket);
            }
            None => {}
        }
        self.pump_and_notify();
    }

    /// A client waits for a work that this node works on, perhaps after all others have left.
    pub(super) fn on_client_returned(&self, ticket: Ticket, request: RequestId) {
        self.hub.client_attached(request);
        let now = self.now();
        let until = self.local_works.borrow().get(&ticket).and_then(LocalWork::waited_for_until);
        if let Some(until) = until {
            self.coordinator.borrow_mut().client_returned(now, ticket, until.saturating_sub(now));
        }
    }

    /// Has no server begun with this work, as far as this node's attempts go?
    pub(super) fn is_unsent(&self, ticket: Ticket) -> bool {
        let attempts: Vec<AttemptId> = self
            .local_works
            .borrow()
            .get(&ticket)
            .into_iter()
            .flat_map(|local| local.numbers.keys().copied())
            .collect();
        let inner = self.inner.get();
        let unsent = |a: &AttemptId| self.is_pending(*a) || inner.is_some_and(|inner| inner.is_unsent(*a));
        attempts.iter().all(unsent)
    }
}
