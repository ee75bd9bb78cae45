//! Outlier ejection: servers are taken out of the rotation for what was observed of them.

use super::checks::CheckResult;
use super::Balancer;
use crate::api::*;
use crate::discovery::ListLoss;

/// Consecutive failures that make a server an outlier, for failures that prove nothing singly.
const OUTLIER_FAILURES: u32 = 3;
/// The same for requests that were turned away: the server drains, and the list is late.
const OUTLIER_TURNED_AWAY: u32 = 2;
/// Multiple of the longest ejection for which a server that refuses is left alone while the list is not
/// followed.
const REFUSING_EJECTION_FACTOR: f64 = 4.0;
/// Largest share of the subset that uncertain failures such as time-outs may eject: beyond it, the fault is
/// likelier in the work or the whole fleet.
const MAX_EJECTED_SHARE: f64 = 0.5;

/// Whether this outcome shows that the process is down. A refused connection fails quickly; if the network
/// path is cut, the attempt takes the full timeout.
pub(super) fn is_process_down(outcome: Outcome, duration: Millis, limits: &Limits) -> bool {
    outcome == Outcome::ConnectFailed && duration < 0.9 * limits.connect_timeout
}

impl Balancer {
    /// Whether a server is ejected.
    pub fn is_ejected(&self, id: ServerId) -> bool {
        self.servers.get(&id).is_some_and(|server| server.ejected_until.is_some())
    }

    /// Ejects a server until the given time, or puts it back.
    fn set_ejected(&mut self, id: ServerId, until: Option<Millis>) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.ejected_until = until;
        if until.is_some() {
            self.suspected.insert(id);
        } else {
            self.suspected.remove(&id);
        }
        if until.is_some() && self.is_in_subset(id) {
            self.ejected.insert(id);
        } else {
            self.ejected.remove(&id);
        }
        self.schedule_probe(id);
        self.adapt_subset();
    }

    /// Ejects a server for a while, unless too many are ejected and the evidence against this one is not
    /// certain.
    fn eject(&mut self, id: ServerId, sure: bool) {
        let too_many = (self.ejected.len() + 1) as f64 > MAX_EJECTED_SHARE * self.subset.len() as f64;
        let (now, base) = (self.now, 4.0 * self.config.limits.connect_timeout);
        let (most, is_checking, lost) = (self.longest_ejection(), self.is_checking, self.calls.lost());
        let Some(server) = self.servers.get_mut(&id) else { return };
        if server.ejected_until.is_none() && too_many && !sure {
            return;
        }
        server.ejections += 1;
        let span = (base * f64::from(1u32 << server.ejections.min(10))).min(most);
        // A draining server keeps refusing: it is probed rarely until the list is followed again and shows
        // its state.
        let refuses = lost.is_some_and(|lost| server.known.has_refused(lost));
        let span = if refuses && is_checking { span.max(REFUSING_EJECTION_FACTOR * most) } else { span };
        self.set_ejected(id, Some(now + span));
    }

    /// Longest ejection of a server that does not refuse.
    fn longest_ejection(&self) -> Millis {
        self.config.rules.max_call_interval / 4.0
    }

    /// Once the list is followed again it shows which servers drain, so all that refused are probed soon,
    /// each at its own time.
    pub(super) fn probe_refusing(&mut self, lost: ListLoss) {
        let has_refused = |id: &ServerId| self.servers.get(id).is_some_and(|s| s.known.has_refused(lost));
        let refused: Vec<ServerId> = self.ejected.iter().copied().filter(has_refused).collect();
        for id in refused {
            let soon = self.now + self.longest_ejection() * self.spread_fraction(id);
            let Some(server) = self.servers.get_mut(&id) else { continue };
            server.ejected_until = server.ejected_until.map(|until| until.min(soon));
            self.schedule_probe(id);
        }
    }

    /// Ejects a server whose process may be down until an immediate probe has shown its state: closed
    /// connections must not cost a good server a second of its turns and a slow start. A cut network path
    /// needs no probe.
    fn suspect(&mut self, id: ServerId, outcome: Outcome, duration: Millis) {
        let limits = &self.config.limits;
        let refused = is_process_down(outcome, duration, limits);
        let cut = outcome == Outcome::ConnectFailed && !refused;
        let (probes, now) = (limits.probes, self.now);
        let Some(server) = self.servers.get_mut(&id) else { return };
        if refused {
            server.known.note_ended(now);
        }
        self.update_proofs(id);
        let Some(server) = self.servers.get_mut(&id) else { return };
        if cut || !probes {
            server.down |= refused;
            self.eject(id, true);
        } else if server.ejected_until.is_none() {
            self.set_ejected(id, Some(now));
        }
    }

    pub(super) fn on_probed(&mut self, id: ServerId, outcome: Outcome, duration: Millis) {
        self.probing.remove(&id);
        self.record_probe(id, outcome, duration);
        self.schedule_probe(id);
    }

    fn record_probe(&mut self, id: ServerId, outcome: Outcome, duration: Millis) {
        let (now, stagger) = (self.now, self.random());
        let result = self.record_check(id, outcome, duration);
        self.update_proofs(id);
        let Some(server) = self.servers.get_mut(&id) else { return };
        if server.ejected_until.is_none() {
            server.down |= is_process_down(outcome, duration, &self.config.limits);
            if result == CheckResult::Refusing && self.calls.lost().is_some() {
                self.eject(id, true);
            }
            return;
        }
        if outcome == Outcome::Done {
            // Only a process that was down is cold. If a server that was merely slow counted as cold, an
            // overload that ejects each server once would put the whole fleet into slow start.
            if server.down && server.returned_at.is_none() {
                (server.returned_at, server.last_sent, server.stagger) = (Some(now), now, stagger);
                self.warming.insert(id);
            }
            (server.consecutive_failures, server.down) = (0, false);
            self.set_ejected(id, None);
        } else {
            // A probe's connection may break like any other: after a single refused one, the server is
            // probed again.
            let refused = is_process_down(outcome, duration, &self.config.limits);
            if refused && server.ejections == 0 {
                (server.ejections, server.ejected_until) = (1, Some(now));
                return;
            }
            server.down |= refused;
            self.eject(id, true);
        }
    }

    /// Updates a server's failure counts from the end of an attempt, and ejects it if it is an outlier.
    pub(super) fn record_outcome(&mut self, id: ServerId, outcome: Outcome, duration: Millis) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        match outcome {
            Outcome::Done => {
                (server.consecutive_failures, server.ejections) = (0, 0);
                server.last_reset = f64::NEG_INFINITY;
            }
            // A rejected request shows nothing of its server, nor does a dead connection.
            Outcome::Cancelled | Outcome::NotSent | Outcome::Rejected | Outcome::Unheard => {}
            Outcome::ConnectFailed => self.suspect(id, outcome, duration),
            // Servers close connections on input that they can't read, and abort single answers; several
            // connections that break at once are a crash. A server that drains, or is full with the
            // requests of others, costs a turn each time.
            Outcome::TimedOut | Outcome::Error | Outcome::Reset | Outcome::Full => {
                let broke = outcome == Outcome::Reset;
                let together = broke && self.now - server.last_reset <= self.config.limits.connect_timeout;
                server.last_reset = if broke { self.now } else { server.last_reset };
                server.consecutive_failures += 1;
                let away = outcome == Outcome::Full && server.consecutive_failures >= OUTLIER_TURNED_AWAY;
                if together || (away && server.ejections == 0) {
                    server.ejections += u32::from(away);
                    self.suspect(id, outcome, duration);
                } else if away || server.consecutive_failures >= OUTLIER_FAILURES {
                    server.consecutive_failures = 0;
                    self.eject(id, false);
                }
            }
        }
    }
}
