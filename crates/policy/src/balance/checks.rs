//! Scheduling of health checks: ejected servers are probed for their recovery; the others are checked for
//! drains while the list is not followed.
//!
//! Checks are spread over their interval and their number is bounded. While it checks, a node rotates only
//! over servers that it can check within the time after which a change of the list counts as notified.

use super::ejection::is_down;
use super::{Balancer, Server};
use crate::api::*;
use crate::discovery::Lost;
use crate::queue::Queue;

/// Interval of a server's checks: a change counts as notified no sooner than that.
const CHECK_EVERY: Millis = 2000.0;
/// Time between two checks of the first round.
const FIRST_ROUND_SPACE: Millis = 1.0;
/// Up to this many servers, the next round is sent as fast as the first one, as so few checks are no burst.
const BURST_MOST: usize = 64;
/// Longest delay before a check that could not be made is repeated; the delays are spread over the second
/// half of it.
const CHECK_AGAIN: Millis = 100.0;
/// Maximum number of checks in flight.
const ASKED_MOST: usize = 128;
/// Number of servers that a node checks, unless its part of all servers is larger.
const CHECKED: usize = 256;
/// Upper bound of that number.
const CHECKED_MOST: usize = 1024;

/// The result of a server's health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Says {
    /// It accepts new requests.
    Takes,
    /// It accepts no new requests, or does not run.
    Refuses,
    /// There was no answer, or none that shows either.
    Nothing,
}

impl Balancer {
    /// How many servers this node can check while the list is not followed. All nodes together cover the
    /// fleet, whatever its size.
    pub(super) fn checked_most(&self) -> usize {
        let part = self.members.len().div_ceil(self.set.nodes);
        part.clamp(CHECKED, CHECKED_MOST)
    }

    /// When a server's next check is due; infinite if none is.
    pub(super) fn probe_due(&self, server: &Server) -> Millis {
        if self.asked.contains(&server.entry.server) {
            return f64::INFINITY;
        }
        match server.ejected {
            Some(at) => at,
            None if self.is_checking => server.next_check,
            None => f64::INFINITY,
        }
    }

    /// Updates when a server's next check is due; to be called after each change of what that depends on.
    pub(super) fn schedule_probe(&mut self, id: ServerId) {
        let server = self.servers.get(&id).filter(|_| self.is_rotated(id));
        let due = server.map_or(f64::INFINITY, |server| self.probe_due(server));
        self.probes.set(id, due);
    }

    /// Updates the checks to whether the list is followed: some time after it was lost all servers of the
    /// rotation are checked, and only the ejected ones once it is followed again.
    pub(super) fn follow_list(&mut self) {
        let lost = self.calls.lost().filter(|_| self.set.limits.probes);
        let is_due = |lost: Lost| self.is_checking || self.now >= lost.check_from;
        let is_checking = lost.is_some_and(is_due);
        if lost != self.lost_before {
            self.lost_before = lost;
            (self.proved, self.seen) = (Queue::new(), Queue::new());
            self.refused.retain(|_| lost.is_some());
        }
        let begins_anew = is_checking && lost != self.checked_for;
        if is_checking != self.is_checking {
            self.is_checking = is_checking;
            if self.subset_size(self.order.len()) > self.checked_most() {
                self.choose_subset();
            }
            if let Some(lost) = self.checked_for.filter(|_| !is_checking) {
                self.ask_who_refused(lost);
            }
            (0..self.subset.len()).for_each(|place| self.schedule_probe(self.subset[place]));
        }
        if let Some(lost) = lost.filter(|_| begins_anew) {
            self.schedule_round(lost.check_from.max(self.now), self.checked_for.is_none());
        }
        self.checked_for = lost.filter(|_| is_checking);
    }

    /// Schedules a round of checks in the order of the servers' turns, and the round after it.
    fn schedule_round(&mut self, from: Millis, is_first: bool) {
        let count = self.turns.iter().count();
        let ends = from + FIRST_ROUND_SPACE * count as f64;
        for (place, id) in self.turns.iter().enumerate() {
            let Some(server) = self.servers.get_mut(&id) else { continue };
            server.next_check = from + FIRST_ROUND_SPACE * place as f64;
            let again = ends + CHECK_EVERY * (place + 1) as f64 / count as f64;
            server.check_after = if count > BURST_MOST { again } else { f64::NEG_INFINITY };
            if is_first {
                server.known.is_asked();
            }
        }
        (0..self.subset.len()).for_each(|place| self.schedule_probe(self.subset[place]));
    }

    /// When the next check is due, if another may be in flight, or when a round of checks begins.
    pub(super) fn next_probe(&self) -> Millis {
        let lost = self.calls.lost().filter(|_| self.set.limits.probes && !self.is_checking);
        let begin = lost.map_or(f64::INFINITY, |lost| lost.check_from);
        if self.asked.len() >= ASKED_MOST {
            return begin;
        }
        self.probes.first_time().min(begin)
    }

    /// Starts the checks that are due.
    pub(super) fn probe(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let room = ASKED_MOST.saturating_sub(self.asked.len());
        for id in self.probes.due(now, room) {
            if !self.set.limits.probes {
                self.on_probed(id, Outcome::Done, 0.0);
                continue;
            }
            actions.push(Action::Probe(id));
            self.asked.insert(id);
            if let Some(server) = self.servers.get_mut(&id) {
                let is_ahead = server.check_after > now;
                server.next_check = if is_ahead { server.check_after } else { now + CHECK_EVERY };
                server.check_after = f64::NEG_INFINITY;
            }
            self.schedule_probe(id);
        }
    }

    /// Records the result of a health check. A check without an answer shows nothing.
    pub(super) fn take_check(&mut self, id: ServerId, outcome: Outcome, took: Millis) -> Says {
        let now = self.now;
        let again = now + CHECK_AGAIN * (1.0 + self.spread_of(id)) / 2.0;
        let has_ended = is_down(outcome, took, &self.set.limits);
        let Some(server) = self.servers.get_mut(&id) else { return Says::Nothing };
        // The check was not sent, or its connection broke.
        if matches!(outcome, Outcome::NotSent | Outcome::Reset) && server.ejected.is_none() {
            server.next_check = again;
            return Says::Nothing;
        }
        server.known.is_asked();
        match outcome {
            Outcome::Error | Outcome::Full => {
                server.known.refuses(now);
                Says::Refuses
            }
            Outcome::Done => {
                // The answer holds as of the time when the check was sent.
                server.known.takes(now - took);
                Says::Takes
            }
            _ if has_ended => {
                server.known.has_ended(now);
                Says::Refuses
            }
            _ => Says::Nothing,
        }
    }

    /// A value from 0 to 1 that differs from server to server.
    pub(super) fn spread_of(&self, id: ServerId) -> f64 {
        (crate::table::mix(id.0 ^ self.set.number as u64) >> 11) as f64 / (1u64 << 53) as f64
    }
}
