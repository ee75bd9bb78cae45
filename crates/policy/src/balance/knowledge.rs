//! What is known of a server besides its entry in the list: about which of its processes, and as of when.
//! Every send depends on it: first attempts, retries, second copies, and attempts that have waited for a
//! connection.
//!
//! While the list is followed, the list alone decides. While it is not, observations can raise the doubt
//! about a server, and lower it only if the process is proved to be the one that was listed: by an
//! answer on a connection opened before the list was lost. A server that restarted may have been removed
//! meanwhile, so what its new process reports does not replace the list.

use super::{Balancer, Server};
use crate::api::*;
use crate::discovery::ListLoss;

/// How long the result of a health check is valid: until the next check has been answered, and no longer
/// than it takes until a change that the server could not know of counts as notified.
const CHECK_VALID: Millis = 2400.0;
/// More doubtful servers are used if fewer than this share of the rotation is less doubtful: otherwise an
/// outage of discovery would empty the rotation.
const MIN_TRUSTED_SHARE: f64 = 0.5;

/// How doubtful it is that a server may get new requests, the least doubtful first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Doubt {
    /// It recently accepted new requests, and is the process that was listed.
    Fresh,
    /// It recently accepted new requests, and is the process that ran while the lost list was still valid.
    Seen,
    /// It is listed as up and has not refused, but which process this is was not proved recently.
    Unproved,
    /// Its process has ended since the list was lost, and another one accepts new requests.
    Restarted,
    /// It accepts no new requests, or has joined the rotation and not been checked yet.
    Refusing,
    /// The list that has it as up is too old.
    Expired,
}

impl Doubt {
    /// All levels at which requests may be sent, the least doubtful first.
    const USABLE: [Self; 4] = [Self::Fresh, Self::Seen, Self::Unproved, Self::Restarted];
}

/// What has been observed of a server.
pub(super) struct Knowledge {
    /// When the last health check was sent to which it answered that it accepts new requests.
    accepting_at: Millis,
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
    is_unchecked: bool,
}

impl Default for Knowledge {
    /// Nothing has been observed.
    fn default() -> Self {
        let never = f64::NEG_INFINITY;
        Self {
            accepting_at: never,
            same_process_at: never,
            seen_process_at: never,
            refused_at: never,
            ended_at: never,
            listed_at: never,
            is_unchecked: false,
        }
    }
}

impl Knowledge {
    /// Records that a source other than the lost one, which is still followed, lists it as up.
    pub(super) fn note_listed_elsewhere(&mut self, now: Millis) {
        self.listed_at = now;
    }

    /// Whether another source than the lost one lists it.
    fn is_listed_elsewhere(&self) -> bool {
        self.listed_at.is_finite()
    }

    /// Records that it accepts new requests, as of when the check was sent.
    pub(super) fn note_accepting(&mut self, asked_at: Millis) {
        self.accepting_at = asked_at;
    }

    /// Records that it accepts no new requests.
    pub(super) fn note_refusing(&mut self, now: Millis) {
        self.refused_at = now;
    }

    /// Records that its process has ended.
    pub(super) fn note_ended(&mut self, now: Millis) {
        self.ended_at = now;
    }

    /// Records that it joined the rotation while the list is not followed: it has to be checked before it
    /// is used.
    pub(super) fn require_check(&mut self) {
        self.is_unchecked = true;
    }

    /// Records that it has been checked, with whatever result, or need not be.
    pub(super) fn note_checked(&mut self) {
        self.is_unchecked = false;
    }

    /// Records an answer on a connection that was opened at `opened_at`.
    fn note_answer(&mut self, now: Millis, opened_at: Millis, lost: ListLoss) {
        if opened_at <= lost.since || self.listed_at >= lost.since {
            self.same_process_at = now;
        }
        if opened_at <= lost.stale_from {
            self.seen_process_at = now;
        }
    }

    /// Until when it is proved that the listed process accepts new requests; `None` if it is not.
    fn proved_until(&self, lost: ListLoss) -> Option<Millis> {
        Self::valid_until(self.accepting_at.min(self.same_process_at), lost)
    }

    /// The same for the process that ran while the lost list was still valid.
    fn seen_until(&self, lost: ListLoss) -> Option<Millis> {
        Self::valid_until(self.accepting_at.min(self.seen_process_at), lost)
    }

    fn valid_until(at: Millis, lost: ListLoss) -> Option<Millis> {
        (at >= lost.at).then_some(at + CHECK_VALID)
    }

    /// Whether its process has ended since the list was lost. An answer on an older connection shows that
    /// it has not.
    fn has_restarted(&self, lost: ListLoss) -> bool {
        self.ended_at >= lost.since.max(self.listed_at) && self.same_process_at <= self.ended_at
    }

    /// Whether it has refused or ended since the list was lost.
    pub(super) fn has_refused(&self, lost: ListLoss) -> bool {
        self.refused_at >= lost.since.max(self.listed_at) || self.has_restarted(lost)
    }

    fn doubt(&self, now: Millis, lost: ListLoss) -> Doubt {
        if self.is_unchecked || self.refused_at >= lost.since.max(self.listed_at) {
            Doubt::Refusing
        } else if self.has_restarted(lost) {
            if self.accepting_at > self.ended_at {
                Doubt::Restarted
            } else {
                Doubt::Refusing
            }
        } else if now <= self.proved_until(lost).unwrap_or(lost.stale_from) {
            Doubt::Fresh
        } else if self.seen_until(lost).is_some_and(|until| now <= until) {
            Doubt::Seen
        } else {
            Doubt::Unproved
        }
    }
}

/// A server to which a new attempt may be sent now. Only this module creates one, so that every send has
/// passed the check of what is known of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ApprovedServer(ServerId);

impl ApprovedServer {
    /// The server's id.
    pub(super) fn server(self) -> ServerId {
        self.0
    }
}

impl Balancer {
    /// The loss of the list, if servers can be health-checked instead: otherwise there is no fresher
    /// knowledge than the list's.
    fn checkable_loss(&self) -> Option<ListLoss> {
        self.calls.lost().filter(|_| self.config.limits.probes)
    }

    /// Until when new requests may be sent by the last known list; infinite if lists are pushed, as the agent
    /// that pushes them answers at once whenever it has anything new.
    pub(super) fn list_usable_until(&self) -> Millis {
        match self.config.discovery {
            Discovery::Pushed => f64::INFINITY,
            Discovery::Asked => self.calls.list_usable_until(),
        }
    }

    /// Whether the last known list is too old for new requests.
    pub fn has_list_expired(&self, now: Millis) -> bool {
        now > self.list_usable_until()
    }

    /// Whether the list is too old to allow any server, without a look at each.
    pub(super) fn allows_no_server(&self) -> bool {
        self.has_list_expired(self.now) && !self.has_other_source
    }

    /// The doubt about a server that is listed as up.
    pub(super) fn doubt_about(&self, server: &Server) -> Doubt {
        self.doubt_at(self.now, server)
    }

    fn doubt_at(&self, now: Millis, server: &Server) -> Doubt {
        if self.has_list_expired(now) && !server.known.is_listed_elsewhere() {
            return Doubt::Expired;
        }
        self.checkable_loss().map_or(Doubt::Fresh, |lost| server.known.doubt(now, lost))
    }

    /// Processes an answer of a server on a connection that was opened at `opened_at`.
    pub(super) fn on_connection_answered(&mut self, id: ServerId, opened_at: Millis) {
        let (now, Some(lost)) = (self.now, self.checkable_loss()) else { return };
        let Some(server) = self.servers.get_mut(&id) else { return };
        // It was seen to restart, and the list has not confirmed that since: the connection may be to a
        // process that was never listed.
        let warm_up_time = self.config.rules.warm_up_time;
        let has_restarted = server.down || server.returned_at.is_some_and(|at| now - at < warm_up_time);
        if !has_restarted {
            server.known.note_answer(now, opened_at, lost);
            self.update_proofs(id);
        }
    }

    /// Updates the proofs of a server; to be called after each change of what they depend on.
    pub(super) fn update_proofs(&mut self, id: ServerId) {
        let lost = self.checkable_loss();
        let known = self.servers.get(&id).filter(|_| self.is_in_subset(id)).map(|server| &server.known);
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
    fn is_too_few(&self, trusted: usize) -> bool {
        (trusted as f64) < MIN_TRUSTED_SHARE * self.rotation_size() as f64
    }

    /// The highest level of doubt at which requests may be sent now.
    fn max_doubt(&self) -> Doubt {
        if self.checkable_loss().is_none() || !self.is_too_few(self.proved.len()) {
            Doubt::Fresh
        } else if !self.is_too_few(self.seen.len()) {
            Doubt::Seen
        } else if !self.is_too_few(self.subset.len() - self.refused.len()) {
            Doubt::Unproved
        } else {
            Doubt::Restarted
        }
    }

    /// The server whose turn it is among those that satisfy the predicate and
    /// are the least doubtful ones available.
    pub(super) fn next_approved(
        &mut self,
        is_ready: impl Fn(&Self, &Server) -> bool,
    ) -> Option<ApprovedServer> {
        if self.allows_no_server() {
            return None;
        }
        let limit = self.max_doubt();
        for doubt in Doubt::USABLE.into_iter().take_while(|doubt| *doubt <= limit) {
            let next = self.next_turn(|b, s| b.doubt_about(s) == doubt && is_ready(b, s));
            if next.is_some() {
                return next.map(ApprovedServer);
            }
        }
        None
    }

    /// Whether a server may get a new attempt on its turn.
    pub(super) fn is_usable(&self, server: &Server) -> bool {
        let doubt = self.doubt_about(server);
        doubt == Doubt::Fresh || (doubt < Doubt::Refusing && doubt <= self.max_doubt())
    }

    /// Whether a new attempt, or one that has waited for its connection, may be sent to a server that is
    /// listed as up. It may not if a less doubtful server has room.
    pub fn accepts_new_attempts(&self, now: Millis, id: ServerId) -> bool {
        let Some(server) = self.servers.get(&id) else { return true };
        let doubt = self.doubt_at(now, server);
        let is_better = |other: &Server| self.doubt_about(other) < doubt && self.is_ready(other);
        doubt == Doubt::Fresh || (self.is_usable(server) && !self.by_turn().any(is_better))
    }

    /// Counts a send that was made despite doubtful knowledge of its server.
    pub(super) fn count_send(&mut self, to: ApprovedServer) {
        let Some(server) = self.servers.get(&to.server()) else { return };
        let doubt = self.doubt_about(server);
        debug_assert!(server.listed_up() && doubt < Doubt::Refusing, "{to:?}: {doubt:?}");
        self.sends.stale += u64::from((Doubt::Unproved..=Doubt::Restarted).contains(&doubt));
        self.sends.refused += u64::from(doubt >= Doubt::Refusing || !server.listed_up());
    }

    /// What is known of the rotation's servers while the list is not followed.
    pub fn rotation_status(&self) -> RotationStatus {
        let refusing =
            |server: &&Server| (Doubt::Restarted..=Doubt::Refusing).contains(&self.doubt_about(server));
        RotationStatus {
            in_rotation: self.turns.iter().count(),
            proved: self.proved.len(),
            seen: self.seen.len(),
            refusing: self.by_turn().filter(refusing).count(),
        }
    }

    /// Counts of attempts that were sent despite doubtful knowledge of their servers.
    pub fn doubtful_sends(&self) -> DoubtfulSends {
        self.sends
    }
}
