//! Tests the scope and the duration of a doubt and the idle times derived from it.

use std::time::{Duration, Instant};

use glenwood_exchange::{ConnectionPhase, DistrustTracker, RequiredIdle, Scope, UnsolicitedBytes};
use proptest::prelude::*;

const MS: Duration = Duration::from_millis(1);
/// Long enough after the first exchange for the probation to be over.
const AFTER_PROBATION: Duration = Duration::from_secs(60);

fn bytes(position: ConnectionPhase, after: Duration) -> UnsolicitedBytes {
    UnsolicitedBytes {
        phase: position,
        after,
        age: after,
        answers: u32::from(position == ConnectionPhase::Idle),
    }
}

/// A state long after the first exchange, with two servers that have responded.
fn after_probation() -> (DistrustTracker<u8>, Instant) {
    let (mut distrust, start) = (DistrustTracker::default(), Instant::now());
    distrust.begin(start);
    distrust.note_answer(0);
    distrust.note_answer(1);
    (distrust, start + AFTER_PROBATION)
}

/// Guards against idle times for connections of servers without any observation.
#[test]
fn no_idle_time_is_required_without_an_observation() {
    let (distrust, now) = after_probation();
    assert_eq!(distrust.required_idle(now, 0), RequiredIdle::default());
}

/// Guards against use of the first connection to a server while unsolicited bytes of the server may still be
/// in transit.
#[test]
fn the_first_connection_to_a_server_must_be_idle() {
    let (mut distrust, now) = after_probation();
    assert!(distrust.required_idle(now, 7).new > Duration::ZERO);
    distrust.note_answer(7);
    assert_eq!(distrust.required_idle(now, 7).new, Duration::ZERO);
    distrust.forget(7);
    assert!(distrust.required_idle(now, 7).new > Duration::ZERO, "another process");
}

/// Guards against a doubt that applies to too many or too few servers.
#[test]
fn a_doubt_applies_to_one_server_until_several_send_unsolicited_bytes() {
    let (mut distrust, now) = after_probation();
    assert_eq!(
        distrust.record_unsolicited(now, 0, bytes(ConnectionPhase::Idle, 5 * MS)),
        Some(Scope::Server)
    );
    assert_eq!(distrust.required_idle(now, 1), RequiredIdle::default());
    assert_eq!(distrust.record_unsolicited(now, 0, bytes(ConnectionPhase::Idle, 5 * MS)), None);
    assert_eq!(distrust.record_unsolicited(now, 1, bytes(ConnectionPhase::Idle, 5 * MS)), Some(Scope::All));
    distrust.note_answer(2);
    assert!(distrust.required_idle(now, 2).used > Duration::ZERO);
}

/// Guards against a doubt that never ends.
#[test]
fn a_doubt_ends_without_further_observations() {
    let (mut distrust, now) = after_probation();
    distrust.record_unsolicited(now, 0, bytes(ConnectionPhase::Idle, 5 * MS));
    distrust.record_unsolicited(now, 1, bytes(ConnectionPhase::Idle, 5 * MS));
    assert!(distrust.is_doubted(now + 9_000 * MS, 0));
    assert!(!distrust.is_doubted(now + 10_000 * MS, 0));
    assert_eq!(distrust.required_idle(now + 10_000 * MS, 0), RequiredIdle::default());
}

/// Guards against idle times where they would not help: for bytes directly after a response, and for a notice
/// that a long idle connection ends.
#[test]
fn bytes_that_idle_time_cannot_prevent_start_no_doubt() {
    let (mut distrust, now) = after_probation();
    assert_eq!(
        distrust.record_unsolicited(now, 0, bytes(ConnectionPhase::BehindAnswer, Duration::ZERO)),
        None
    );
    assert_eq!(
        distrust.record_unsolicited(now, 1, bytes(ConnectionPhase::Idle, Duration::from_secs(15))),
        None
    );
    assert_eq!(distrust.required_idle(now, 0), RequiredIdle::default());
}

proptest! {
    /// Guards against an idle time shorter than an observed delay or above the limit.
    #[test]
    fn idle_time_covers_all_observed_delays(delays in proptest::collection::vec(1u32..340, 1..40)) {
        let (mut distrust, now) = after_probation();
        let mut longest = Duration::ZERO;
        for delay in delays {
            let delay = delay * MS;
            distrust.record_unsolicited(now, 0, bytes(ConnectionPhase::Idle, delay));
            let idle = distrust.required_idle(now, 0).used;
            longest = longest.max(delay);
            prop_assert!(idle >= longest && idle <= 350 * MS, "{idle:?} after {longest:?}");
        }
    }
}
