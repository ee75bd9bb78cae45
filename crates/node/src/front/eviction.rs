//! Which client's connection is closed when there is no room for another.

use std::time::Duration;

use crate::sock::Phase;

/// The age from which a request that is still being received may be evicted.
const EVICTABLE_REQUEST_AGE: Duration = Duration::from_millis(250);
/// How long a new connection has to send its first request before it may be closed as idle.
pub const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(200);
/// The age from which a new connection may be evicted where nothing else may be: a request that was sent as its
/// connection opened has arrived by then. Shorter than the grace, as clients that send nothing open hundreds of
/// connections at once and would hold up all others.
const EVICTABLE_NEW_AGE: Duration = Duration::from_millis(20);

/// What is known of a connection that may be evicted.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// What the connection is doing; nothing may be left to read on an idle one.
    pub phase: Phase,
    /// For how long it has been in that phase.
    pub age: Duration,
    /// Whether anything was ever received on it.
    pub has_received: bool,
}

/// The order in which connections are evicted, the first first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionRank {
    /// Open for a while and never used. Many silent connections must not displace those that are in use.
    Unused,
    /// Idle after an answer.
    Idle,
    /// In the middle of a request that has been arriving for a while.
    Receiving,
    /// Just opened; its first request may be on its way.
    New,
}

impl Candidate {
    /// The rank of the connection; `None` if it may not be evicted now.
    pub fn rank(self) -> Option<EvictionRank> {
        match self.phase {
            Phase::Idle if self.has_received => Some(EvictionRank::Idle),
            Phase::Idle if self.age >= NEW_CONNECTION_GRACE => Some(EvictionRank::Unused),
            Phase::Idle => (self.age >= EVICTABLE_NEW_AGE).then_some(EvictionRank::New),
            Phase::Reading => (self.age >= EVICTABLE_REQUEST_AGE).then_some(EvictionRank::Receiving),
            Phase::Busy | Phase::Answering => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn rank(phase: Phase, age_ms: u64, has_received: bool) -> Option<EvictionRank> {
        Candidate { phase, age: Duration::from_millis(age_ms), has_received }.rank()
    }

    /// Guards against closing a new connection before its first request can have been read, and ahead of
    /// connections that hold up others.
    #[test]
    fn a_new_connection_is_the_last_to_be_evicted_and_not_at_once() {
        assert_eq!(rank(Phase::Idle, 0, false), None);
        assert_eq!(rank(Phase::Idle, 19, false), None);
        let new = rank(Phase::Idle, 100, false);
        assert_eq!(new, Some(EvictionRank::New));
        for other in [rank(Phase::Idle, 0, true), rank(Phase::Reading, 250, true)] {
            assert!(other.is_some() && other < new, "{other:?}");
        }
    }

    /// Guards against silent connections that displace those in use.
    #[test]
    fn a_connection_that_stays_silent_is_the_first_to_be_evicted() {
        let unused = rank(Phase::Idle, 200, false);
        assert_eq!(unused, Some(EvictionRank::Unused));
        assert!(unused < rank(Phase::Idle, 10_000, true));
    }

    /// Guards against closing a connection on which an answer is owed.
    #[test]
    fn a_connection_with_a_request_under_way_is_not_evicted() {
        for phase in [Phase::Busy, Phase::Answering] {
            assert_eq!(rank(phase, 60_000, true), None);
        }
        assert_eq!(rank(Phase::Reading, 249, true), None);
    }
}
