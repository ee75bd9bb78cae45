//! What is known of a server besides its entry in the list: about which of its processes, and as of when.
//! Every send depends on it: first attempts, retries, second copies, and attempts that have waited for a
//! connection.
//!
//! While the list is followed, the list alone decides. While it is not, observations can lower the
//! confidence in a server, and raise it only if the process is proved to be the one that was listed: by an
//! answer on a connection opened before the list was lost. A server that restarted may have been removed
//! meanwhile, so what its new process reports does not replace the list.

use super::{Balancer, Server};
use crate::api::*;
use crate::discovery::Lost;

/// How long the result of a health check is valid: until the next check has been answered, and no longer
/// than it takes until a change that the server could not know of counts as notified.
const CHECK_HOLDS: Millis = 2400.0;
/// Servers with less confidence are used if fewer than this share of the rotation has more: otherwise an
/// outage of discovery would empty the rotation.
const TRUSTED_LEAST: f64 = 0.5;

/// Confidence that a server may get new requests, the highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Word {
    /// It recently accepted new requests, and is the process that was listed.
    Fresh,
    /// It recently accepted new requests, and is the process that ran while the lost list was still valid.
    Seen,
    /// It is listed as up and has not refused, but which process this is was not proved recently.
    Unproved,
    /// Its process has ended since the list was lost, and another one accepts new requests.
    Restarted,
    /// It accepts no new requests, or has joined the rotation and not been checked yet.
    Refuses,
}

impl Word {
    /// All levels at which requests may be sent, the highest first.
    const USABLE: [Self; 4] = [Self::Fresh, Self::Seen, Self::Unproved, Self::Restarted];
}

/// What has been observed of a server.
pub(super) struct Knowledge {
    /// When the last health check was sent to which it answered that it accepts new requests.
    takes_at: Millis,
    /// When it last answered on a connection opened before the list was lost.
    same_process_at: Millis,
    /// When it last answered on a connection opened while the lost list was still valid.
    seen_process_at: Millis,
    /// When it last reported that it accepts no new requests.
    refused_at: Millis,
    /// When its process was last found to have ended.
    ended_at: Millis,
    /// When another source of the list, which is still followed, last listed it.
    listed_at: Millis,
    /// It joined the rotation while the list was not followed, and has not been checked yet.
    is_unheard: bool,
}

impl Default for Knowledge {
    /// Nothing has been observed.
    fn default() -> Self {
        let never = f64::NEG_INFINITY;
        Self {
            takes_at: never,
            same_process_at: never,
            seen_process_at: never,
            refused_at: never,
            ended_at: never,
            listed_at: never,
            is_unheard: false,
        }
    }
}

impl Knowledge {
    /// Records that a source other than the lost one, which is still followed, lists it as up.
    pub(super) fn is_listed_elsewhere(&mut self, now: Millis) {
        self.listed_at = now;
    }

    /// Records that it accepts new requests, as of when the check was sent.
    pub(super) fn takes(&mut self, asked_at: Millis) {
        self.takes_at = asked_at;
    }

    /// Records that it accepts no new requests.
    pub(super) fn refuses(&mut self, now: Millis) {
        self.refused_at = now;
    }

    /// Records that its process has ended.
    pub(super) fn has_ended(&mut self, now: Millis) {
        self.ended_at = now;
    }

    /// Records that it joined the rotation while the list is not followed: it has to be checked before it
    /// is used.
    pub(super) fn joins_unheard(&mut self) {
        self.is_unheard = true;
    }

    /// Records that it has been checked, with whatever result, or need not be.
    pub(super) fn is_asked(&mut self) {
        self.is_unheard = false;
    }

    /// Records an answer on a connection that was opened at `opened`.
    fn answered_on(&mut self, now: Millis, opened: Millis, lost: Lost) {
        if opened <= lost.since || self.listed_at >= lost.since {
            self.same_process_at = now;
        }
        if opened <= lost.stale_from {
            self.seen_process_at = now;
        }
    }

    /// Until when it is proved that the listed process accepts new requests; `None` if it is not.
    fn proved_until(&self, lost: Lost) -> Option<Millis> {
        Self::holds_until(self.takes_at.min(self.same_process_at), lost)
    }

    /// The same for the process that ran while the lost list was still valid.
    fn seen_until(&self, lost: Lost) -> Option<Millis> {
        Self::holds_until(self.takes_at.min(self.seen_process_at), lost)
    }

    fn holds_until(at: Millis, lost: Lost) -> Option<Millis> {
        (at >= lost.at).then_some(at + CHECK_HOLDS)
    }

    /// Whether its process has ended since the list was lost. An answer on an older connection shows that
    /// it has not.
    fn has_restarted(&self, lost: Lost) -> bool {
        self.ended_at >= lost.since.max(self.listed_at) && self.same_process_at <= self.ended_at
    }

    /// Whether it has refused or ended since the list was lost.
    pub(super) fn has_refused(&self, lost: Lost) -> bool {
        self.refused_at >= lost.since.max(self.listed_at) || self.has_restarted(lost)
    }

    fn word(&self, now: Millis, lost: Lost) -> Word {
        if self.is_unheard || self.refused_at >= lost.since.max(self.listed_at) {
            Word::Refuses
        } else if self.has_restarted(lost) {
            if self.takes_at > self.ended_at {
                Word::Restarted
            } else {
                Word::Refuses
            }
        } else if now <= self.proved_until(lost).unwrap_or(lost.stale_from) {
            Word::Fresh
        } else if self.seen_until(lost).is_some_and(|until| now <= until) {
            Word::Seen
        } else {
            Word::Unproved
        }
    }
}

/// A server to which a new attempt may be sent now. Only this module creates one, so that every send has
/// passed the check of what is known of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Cleared(ServerId);

impl Cleared {
    /// The server's id.
    pub(super) fn server(self) -> ServerId {
        self.0
    }
}

impl Balancer {
    /// The loss of the list, if servers can be health-checked instead: otherwise there is no fresher
    /// knowledge than the list's.
    fn doubt(&self) -> Option<Lost> {
        self.calls.lost().filter(|_| self.set.limits.probes)
    }

    /// The confidence in a server that is listed as up.
    pub(super) fn word_of(&self, server: &Server) -> Word {
        self.doubt().map_or(Word::Fresh, |lost| server.known.word(self.now, lost))
    }

    /// Processes an answer of a server on a connection that was opened at `opened`.
    pub(super) fn on_connection_answered(&mut self, id: ServerId, opened: Millis) {
        let (now, Some(lost)) = (self.now, self.doubt()) else { return };
        let Some(server) = self.servers.get_mut(&id) else { return };
        // It was seen to restart, and the list has not confirmed that since: the connection may be to a
        // process that was never listed.
        let warm_within = self.set.rules.warm_within;
        let has_restarted = server.down || server.returned.is_some_and(|at| now - at < warm_within);
        if !has_restarted {
            server.known.answered_on(now, opened, lost);
            self.note_proof(id);
        }
    }

    /// Updates the proofs of a server; to be called after each change of what they depend on.
    pub(super) fn note_proof(&mut self, id: ServerId) {
        let lost = self.doubt();
        let known = self.servers.get(&id).filter(|_| self.is_rotated(id)).map(|server| &server.known);
        let trusted = known.zip(lost).filter(|(known, lost)| !known.has_refused(*lost));
        let proved_until = trusted.and_then(|(known, lost)| known.proved_until(lost));
        let seen_until = trusted.and_then(|(known, lost)| known.seen_until(lost));
        if known.is_some() && trusted.is_none() && lost.is_some() {
            self.refused.insert(id);
        } else {
            self.refused.remove(&id);
        }
        self.proved.set(id, proved_until.unwrap_or(f64::INFINITY));
        self.seen.set(id, seen_until.unwrap_or(f64::INFINITY));
    }

    /// Drops proofs that are too old by now.
    pub(super) fn expire_proofs(&mut self) {
        for proofs in [&mut self.proved, &mut self.seen] {
            while let Some((id, _)) = proofs.first().filter(|(_, until)| *until < self.now) {
                proofs.remove(id);
            }
        }
    }

    /// Whether this number of trusted servers is too small a part of the rotation, so that others have to
    /// be used too.
    fn are_too_few(&self, trusted: usize) -> bool {
        (trusted as f64) < TRUSTED_LEAST * self.rotation_size() as f64
    }

    /// The lowest confidence at which requests may be sent now.
    fn worst_usable(&self) -> Word {
        if self.doubt().is_none() || !self.are_too_few(self.proved.len()) {
            Word::Fresh
        } else if !self.are_too_few(self.seen.len()) {
            Word::Seen
        } else if !self.are_too_few(self.subset.len() - self.refused.len()) {
            Word::Unproved
        } else {
            Word::Restarted
        }
    }

    /// The server whose turn it is among those that satisfy the predicate and have the highest confidence
    /// available.
    pub(super) fn next_known(&mut self, ready: impl Fn(&Self, &Server) -> bool) -> Option<Cleared> {
        let worst = self.worst_usable();
        for word in Word::USABLE.into_iter().take_while(|word| *word <= worst) {
            let next = self.next_turn(|b, s| b.word_of(s) == word && ready(b, s));
            if next.is_some() {
                return next.map(Cleared);
            }
        }
        None
    }

    /// Whether a server may get a new attempt on its turn.
    pub(super) fn is_usable(&self, server: &Server) -> bool {
        let word = self.word_of(server);
        word == Word::Fresh || (word < Word::Refuses && word <= self.worst_usable())
    }

    /// Whether a new attempt, or one that has waited for its connection, may be sent to a server that is
    /// listed as up. It may not if a server with higher confidence has room.
    pub fn accepts(&self, id: ServerId) -> bool {
        let Some(server) = self.servers.get(&id) else { return true };
        let word = self.word_of(server);
        let is_better = |other: &Server| self.word_of(other) < word && self.ready(other);
        word == Word::Fresh || (self.is_usable(server) && !self.by_turn().any(is_better))
    }

    /// Counts a send that was made despite doubtful knowledge of its server.
    pub(super) fn count_send(&mut self, to: Cleared) {
        let Some(server) = self.servers.get(&to.server()) else { return };
        let word = self.word_of(server);
        debug_assert!(server.listed_up() && word != Word::Refuses, "{to:?}: {word:?}");
        self.sends.stale += u64::from((Word::Unproved..=Word::Restarted).contains(&word));
        self.sends.refused += u64::from(word == Word::Refuses || !server.listed_up());
    }

    /// What is known of the rotation's servers while the list is not followed.
    pub fn trust(&self) -> Trust {
        let refuse = |server: &&Server| self.word_of(server) >= Word::Restarted;
        Trust {
            rotated: self.turns.iter().count(),
            proved: self.proved.len(),
            seen: self.seen.len(),
            refuse: self.by_turn().filter(refuse).count(),
        }
    }

    /// Counts of attempts that were sent despite doubtful knowledge of their servers.
    pub fn doubtful_sends(&self) -> DoubtfulSends {
        self.sends
    }
}
