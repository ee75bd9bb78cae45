//! Scheduling of health checks: ejected servers are probed for their recovery; the others are checked for
//! drains while the list is not followed.
//!
//! Checks are spread over their interval and their number is bounded. While it checks, a node rotates only
//! over servers that it can check within the time after which a change of the list counts as notified.

use super::ejection::is_process_down;
use super::{Balancer, Server};
use crate::api::*;
use crate::discovery::ListLoss;
use crate::queue::Queue;

/// Interval of a server's checks: a change counts as notified no sooner than that.
const CHECK_INTERVAL: Millis = 2000.0;
/// Time between two checks of the first round.
const FIRST_ROUND_SPACING: Millis = 1.0;
/// Up to this many servers, the next round is sent as fast as the first one, as so few checks are no burst.
const MAX_BURST: usize = 64;
/// Longest delay before a check that could not be made is repeated; the delays are spread over the second
/// half of it.
const MAX_RECHECK_DELAY: Millis = 100.0;
/// Maximum number of checks in flight.
const MAX_PROBES_IN_FLIGHT: usize = 128;
/// Number of servers that a node checks, unless its part of all servers is larger.
const DEFAULT_MAX_CHECKED: usize = 256;
/// Upper bound of that number.
const MAX_CHECKED: usize = 1024;

/// The result of a server's health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CheckResult {
    /// It accepts new requests.
    Accepting,
    /// It accepts no new requests, or does not run.
    Refusing,
    /// There was no answer, or none that shows either.
    Unknown,
}

impl Balancer {
    /// How many servers this node can check while the list is not followed. All nodes together cover the
    /// fleet, whatever its size.
    pub(super) fn max_checked(&self) -> usize {
        let part = self.members.len().div_ceil(self.config.nodes);
        part.clamp(DEFAULT_MAX_CHECKED, MAX_CHECKED)
    }

    /// When a server's next check is due; infinite if none is.
    pub(super) fn probe_due(&self, server: &Server) -> Millis {
        if self.probing.contains(&server.entry.server) {
            return f64::INFINITY;
        }
        match server.ejected_until {
            Some(at) => at,
            None if self.is_checking => server.next_check,
            None => f64::INFINITY,
        }
    }

    /// Updates when a server's next check is due; to be called after each change of what that depends on.
    pub(super) fn schedule_probe(&mut self, id: ServerId) {
        let server = self.servers.get(&id).filter(|_| self.is_in_subset(id));
        let due = server.map_or(f64::INFINITY, |server| self.probe_due(server));
        self.probes.set(id, due);
    }

    /// Updates the checks to whether the list is followed: some time after it was lost all servers of the
    /// rotation are checked, and only the ejected ones once it is followed again.
    pub(super) fn follow_list(&mut self) {
        let lost = self.calls.lost().filter(|_| self.config.limits.probes);
        let is_due = |lost: ListLoss| self.is_checking || self.now >= lost.check_from;
        let is_checking = lost.is_some_and(is_due);
        if lost != self.previous_loss {
            self.previous_loss = lost;
            (self.proved, self.seen) = (Queue::new(), Queue::new());
            self.refused.retain(|_| lost.is_some());
        }
        let starts_new_round = is_checking && lost != self.checked_loss;
        if is_checking != self.is_checking {
            self.is_checking = is_checking;
            if self.subset_size(self.order.len()) > self.max_checked() {
                self.choose_subset();
            }
            if let Some(lost) = self.checked_loss.filter(|_| !is_checking) {
                self.probe_refusing(lost);
            }
            (0..self.subset.len()).for_each(|position| self.schedule_probe(self.subset[position]));
        }
        if let Some(lost) = lost.filter(|_| starts_new_round) {
            self.schedule_round(lost.check_from.max(self.now), self.checked_loss.is_none());
        }
        self.checked_loss = lost.filter(|_| is_checking);
    }

    /// Schedules a round of checks in the order of the servers' turns, and the round after it.
    fn schedule_round(&mut self, from: Millis, is_first: bool) {
        let count = self.turns.iter().count();
        let round_end = from + FIRST_ROUND_SPACING * count as f64;
        for (position, id) in self.turns.iter().enumerate() {
            let Some(server) = self.servers.get_mut(&id) else { continue };
            server.next_check = from + FIRST_ROUND_SPACING * position as f64;
            let again = round_end + CHECK_INTERVAL * (position + 1) as f64 / count as f64;
            server.check_after = if count > MAX_BURST { again } else { f64::NEG_INFINITY };
            if is_first {
                server.known.note_checked();
            }
        }
        (0..self.subset.len()).for_each(|position| self.schedule_probe(self.subset[position]));
    }

    /// When the next check is due, if another may be in flight, or when a round of checks begins.
    pub(super) fn next_probe_due(&self) -> Millis {
        let lost = self.calls.lost().filter(|_| self.config.limits.probes && !self.is_checking);
        let begin = lost.map_or(f64::INFINITY, |lost| lost.check_from);
        if self.probing.len() >= MAX_PROBES_IN_FLIGHT {
            return begin;
        }
        self.probes.first_time().min(begin)
    }

    /// Starts the checks that are due.
    pub(super) fn start_due_probes(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let room = MAX_PROBES_IN_FLIGHT.saturating_sub(self.probing.len());
        for id in self.probes.due(now, room) {
            if !self.config.limits.probes {
                self.on_probed(id, Outcome::Done, 0.0);
                continue;
            }
            actions.push(Action::Probe(id));
            self.probing.insert(id);
            if let Some(server) = self.servers.get_mut(&id) {
                let is_ahead = server.check_after > now;
                server.next_check = if is_ahead { server.check_after } else { now + CHECK_INTERVAL };
                server.check_after = f64::NEG_INFINITY;
            }
            self.schedule_probe(id);
        }
    }

    /// Records the result of a health check. A check without an answer shows nothing.
    pub(super) fn record_check(&mut self, id: ServerId, outcome: Outcome, duration: Millis) -> CheckResult {
        let now = self.now;
        let again = now + MAX_RECHECK_DELAY * (1.0 + self.spread_fraction(id)) / 2.0;
        let has_ended = is_process_down(outcome, duration, &self.config.limits);
        let Some(server) = self.servers.get_mut(&id) else { return CheckResult::Unknown };
        // The check was not sent, or its connection broke.
        if matches!(outcome, Outcome::NotSent | Outcome::Reset) && server.ejected_until.is_none() {
            server.next_check = again;
            return CheckResult::Unknown;
        }
        server.known.note_checked();
        match outcome {
            Outcome::Error | Outcome::Full => {
                server.known.note_refusing(now);
                CheckResult::Refusing
            }
            Outcome::Done => {
                // The answer holds as of the time when the check was sent.
                server.known.note_accepting(now - duration);
                CheckResult::Accepting
            }
            _ if has_ended => {
                server.known.note_ended(now);
                CheckResult::Refusing
            }
            _ => CheckResult::Unknown,
        }
    }

    /// A value from 0 to 1 that differs from server to server.
    pub(super) fn spread_fraction(&self, id: ServerId) -> f64 {
        (crate::table::mix(id.0 ^ self.config.node_index as u64) >> 11) as f64 / (1u64 << 53) as f64
    }
}
