//! How far a doubt reaches, how long it lasts, and how long connections rest by it.

use std::time::{Duration, Instant};

use glenwood_exchange::{Doubt, Need, OutOfTurn, Position, Scope};
use proptest::prelude::*;

const MS: Duration = Duration::from_millis(1);
/// Beyond the time in which nothing is taken for granted, after the first exchange.
const LATER: Duration = Duration::from_secs(60);

fn seen(position: Position, after: Duration) -> OutOfTurn {
    OutOfTurn { position, after, age: after, answers: u32::from(position == Position::Idle) }
}

/// Long after the first exchange, with two servers that have answered.
fn settled() -> (Doubt<u8>, Instant) {
    let (mut doubt, start) = (Doubt::default(), Instant::now());
    doubt.begin(start);
    doubt.note_answer(0);
    doubt.note_answer(1);
    (doubt, start + LATER)
}

/// Guards against connections that rest where nothing is wrong.
#[test]
fn nothing_rests_where_nothing_was_seen() {
    let (doubt, now) = settled();
    assert_eq!(doubt.need(now, 0), Need::default());
}

/// Guards against the first connection to a server being used while what its server sends unasked is still on its way.
#[test]
fn the_first_connection_to_a_server_rests() {
    let (mut doubt, now) = settled();
    assert!(doubt.need(now, 7).new > Duration::ZERO);
    doubt.note_answer(7);
    assert_eq!(doubt.need(now, 7).new, Duration::ZERO);
    doubt.forget(7);
    assert!(doubt.need(now, 7).new > Duration::ZERO, "another process");
}

/// Guards against a doubt that reaches too far, or not far enough.
#[test]
fn a_doubt_is_of_one_server_until_several_are_seen() {
    let (mut doubt, now) = settled();
    assert_eq!(doubt.note(now, 0, seen(Position::Idle, 5 * MS)), Some(Scope::Server));
    assert_eq!(doubt.need(now, 1), Need::default());
    assert_eq!(doubt.note(now, 0, seen(Position::Idle, 5 * MS)), None);
    assert_eq!(doubt.note(now, 1, seen(Position::Idle, 5 * MS)), Some(Scope::All));
    doubt.note_answer(2);
    assert!(doubt.need(now, 2).used > Duration::ZERO);
}

/// Guards against a doubt without an end.
#[test]
fn a_doubt_ends_where_nothing_more_is_seen() {
    let (mut doubt, now) = settled();
    doubt.note(now, 0, seen(Position::Idle, 5 * MS));
    doubt.note(now, 1, seen(Position::Idle, 5 * MS));
    assert!(doubt.is_doubted(now + 9_000 * MS, 0));
    assert!(!doubt.is_doubted(now + 10_000 * MS, 0));
    assert_eq!(doubt.need(now + 10_000 * MS, 0), Need::default());
}

/// Guards against rests for what does not come late: bytes right behind an answer, and the end of a connection that was idle for long.
#[test]
fn what_no_rest_would_help_against_begins_none() {
    let (mut doubt, now) = settled();
    assert_eq!(doubt.note(now, 0, seen(Position::BehindAnswer, Duration::ZERO)), None);
    assert_eq!(doubt.note(now, 1, seen(Position::Idle, Duration::from_secs(15))), None);
    assert_eq!(doubt.need(now, 0), Need::default());
}

proptest! {
    /// Guards against a rest that is shorter than what was seen, or beyond the limit.
    #[test]
    fn a_rest_covers_all_that_was_seen(lates in proptest::collection::vec(1u32..340, 1..40)) {
        let (mut doubt, now) = settled();
        let mut most = Duration::ZERO;
        for late in lates {
            let late = late * MS;
            doubt.note(now, 0, seen(Position::Idle, late));
            let rest = doubt.need(now, 0).used;
            most = most.max(late);
            prop_assert!(rest >= most && rest <= 350 * MS, "{rest:?} after {most:?}");
        }
    }
}
