//! Attempts of guarded works: each is delayed until its intent is written.

use std::rc::Rc;
use std::time::Instant;

use glenwood_core::AttemptId;
use glenwood_custody::Ticket;
use glenwood_policy::{Outcome, ServerId};

use super::{call_address, Custody, LocalWork, PendingAttempt};
use crate::call::Call;
use crate::list::Location;

impl Custody {
    /// Starts an attempt. Where its request is guarded, the intent is written first.
    pub(super) fn start(&self, attempt: AttemptId, server: ServerId, end: Instant, call: Rc<Call>) {
        let ticket = self.calls.borrow().get(&call_address(&call)).copied();
        let ticket = ticket.filter(|ticket| self.coordinator.borrow().work(*ticket).is_some());
        let Some(ticket) = ticket else {
            if let Some(inner) = self.inner.get() {
                inner.start(attempt, server, end, call);
            }
            return;
        };
        if let Some(local) = self.local_works.borrow_mut().get_mut(&ticket) {
            local.pending_attempts.push_back(PendingAttempt {
                attempt,
                server,
                end,
                call,
                intent_requested: false,
            });
        }
        self.request_next_intent(ticket);
        self.pump_and_notify();
    }

    /// Has the coordinator write the next intent, unless it is writing one.
    pub(super) fn request_next_intent(&self, ticket: Ticket) {
        let next = {
            let mut all = self.local_works.borrow_mut();
            let Some(local) = all.get_mut(&ticket) else { return };
            match local.pending_attempts.front_mut() {
                Some(pending) if !pending.intent_requested => {
                    pending.intent_requested = true;
                    (pending.attempt, pending.server)
                }
                _ => return,
            }
        };
        let Location { zone, cell } = self.hub.location(next.1);
        let number = self.coordinator.borrow_mut().write_intent(self.now(), ticket, next.1 .0, zone, cell);
        if let (Some(number), Some(local)) = (number, self.local_works.borrow_mut().get_mut(&ticket)) {
            local.numbers.insert(next.0, number);
        }
    }

    /// Removes and returns the attempt whose intent the coordinator was writing.
    pub(super) fn take_pending(&self, ticket: Ticket) -> Option<PendingAttempt> {
        let mut all = self.local_works.borrow_mut();
        let pending = &mut all.get_mut(&ticket)?.pending_attempts;
        if pending.front().is_some_and(|pending| pending.intent_requested) {
            pending.pop_front()
        } else {
            None
        }
    }

    /// Does the attempt wait for its intent to be written?
    pub(super) fn is_pending(&self, attempt: AttemptId) -> bool {
        self.local_works
            .borrow()
            .values()
            .any(|local| local.pending_attempts.iter().any(|pending| pending.attempt == attempt))
    }

    /// Abandons an attempt; `false` where it does not wait here.
    pub(super) fn abandon(&self, attempt: AttemptId) -> bool {
        let found = {
            let mut all = self.local_works.borrow_mut();
            let index_of = |local: &LocalWork| {
                local.pending_attempts.iter().position(|pending| pending.attempt == attempt)
            };
            let found = all.iter().find_map(|(ticket, local)| Some((*ticket, index_of(local)?)));
            if let Some((ticket, n)) = found {
                all.get_mut(&ticket).into_iter().for_each(|local| drop(local.pending_attempts.remove(n)));
            }
            found
        };
        if found.is_some() {
            self.hub.attempt_ended(attempt, glenwood_core::AttemptResult::NoResponse(Outcome::NotSent));
        }
        found.is_some()
    }
}
