//! Tests which responses count as implausibly early, and how long their contradiction is waited for.

use std::time::{Duration, Instant};

use glenwood_exchange::{PreviousResponse, ResponseKind, ResponseMeaning, ResponseTimes, ResponseTiming};
use proptest::prelude::*;

const MS: Duration = Duration::from_millis(1);
const SERVER: u8 = 0;
/// Soon enough after the response before it for a second response to the same request.
const SOON: Duration = Duration::from_millis(10);
/// Enough responses for a bound.
const ENOUGH: u32 = 8;

/// A server that has sent `count` responses of a kind after 45 to 65 ms.
fn with_responses(kind: ResponseKind, count: u32) -> (ResponseTimes<u8>, Instant) {
    let (mut times, start) = (ResponseTimes::default(), Instant::now());
    for number in 0..count {
        times.record(start + number * MS, SERVER, kind, (45 + number * 7 % 21) * MS);
    }
    (times, start)
}

fn short(meaning: ResponseMeaning) -> Option<PreviousResponse> {
    Some(PreviousResponse { meaning, is_long: false })
}

fn after(after_request: Duration) -> ResponseTiming {
    ResponseTiming { after_request, after_previous: SOON, previous: short(ResponseMeaning::Served) }
}

/// Guards against responses that are doubted on little evidence.
#[test]
fn few_responses_make_no_bound() {
    let (times, _) = with_responses(ResponseKind::Served, ENOUGH - 1);
    assert_eq!(times.true_response_within(SERVER, ResponseKind::Served, after(MS)), None);
    assert_eq!(times.true_response_within(1, ResponseKind::Served, after(MS)), None, "an unknown server");
}

/// Guards against a late response to an earlier request that is taken for the answer to the next one.
#[test]
fn a_response_well_before_the_shortest_time_is_early() {
    let (times, _) = with_responses(ResponseKind::Served, ENOUGH);
    for ms in 0..33 {
        let within = times.true_response_within(SERVER, ResponseKind::Served, after(ms * MS));
        assert!(within.is_some_and(|within| within >= 65 * MS), "{ms} ms: {within:?}");
    }
    assert_eq!(times.true_response_within(SERVER, ResponseKind::Served, after(34 * MS)), None);
}

/// Guards against true refusals, which are quicker than work, being doubted, and against those of earlier
/// requests not being doubted while no refusal has been seen.
#[test]
fn a_refusal_is_compared_with_refusals_once_some_are_known() {
    let (mut times, now) = with_responses(ResponseKind::Served, ENOUGH);
    let early = |times: &ResponseTimes<u8>, ms: u32| {
        times.true_response_within(SERVER, ResponseKind::Unprocessed, after(ms * MS)).is_some()
    };
    assert!(early(&times, 20));
    (0..ENOUGH).for_each(|_| times.record(now, SERVER, ResponseKind::Unprocessed, 21 * MS));
    assert!(!early(&times, 20));
    assert!(early(&times, 10));
}

/// Guards against a late copy of a refusal that passes for the refusal of the next request, so that a request
/// that runs is sent again: the path to a near server is no bound.
#[test]
fn a_refusal_right_behind_a_refusal_may_be_a_copy() {
    let (mut times, now) = with_responses(ResponseKind::Served, ENOUGH);
    (0..ENOUGH).for_each(|_| times.record(now, SERVER, ResponseKind::Unprocessed, MS));
    let is_held = |kind, previous, after_previous| {
        let timing = ResponseTiming { after_request: 5 * MS, after_previous, previous };
        times.true_response_within(SERVER, kind, timing).is_some()
    };
    let refused = short(ResponseMeaning::RefusedUnprocessed);
    assert!(is_held(ResponseKind::Unprocessed, refused, SOON));
    assert!(!is_held(ResponseKind::Unprocessed, refused, 30 * MS));
    assert!(!is_held(ResponseKind::Unprocessed, short(ResponseMeaning::Served), SOON));
    assert!(!is_held(ResponseKind::HealthCheck, refused, SOON));
}

/// Guards against long responses, which may begin before the work is done, being doubted because short ones
/// take longer, and against a second copy of one being believed.
#[test]
fn a_long_response_is_compared_with_long_ones_and_only_behind_one() {
    let (mut times, now) = with_responses(ResponseKind::Served, ENOUGH);
    let long = Some(PreviousResponse { meaning: ResponseMeaning::Served, is_long: true });
    let early = |times: &ResponseTimes<u8>, previous, ms: u32| {
        let timing = ResponseTiming { previous, ..after(ms * MS) };
        times.true_response_within(SERVER, ResponseKind::ServedLong, timing).is_some()
    };
    assert!(!early(&times, long, 1), "no long response is known");
    (0..ENOUGH).for_each(|_| times.record(now, SERVER, ResponseKind::ServedLong, 20 * MS));
    assert!(early(&times, long, 1) && !early(&times, long, 16));
    assert!(!early(&times, short(ResponseMeaning::Served), 1) && !early(&times, None, 1));
    // Nor are short responses compared with long ones.
    assert!(times.true_response_within(SERVER, ResponseKind::Served, after(16 * MS)).is_some());
}

/// Guards against health checks, which are quicker than work, that are held back because they are.
#[test]
fn a_health_check_is_not_compared_with_work() {
    let (times, _) = with_responses(ResponseKind::Served, ENOUGH);
    assert_eq!(times.true_response_within(SERVER, ResponseKind::HealthCheck, after(MS)), None);
}

/// Guards against answers that are held back although no second response comes that late.
#[test]
fn a_response_long_after_the_one_before_it_is_not_early() {
    let (times, _) = with_responses(ResponseKind::Served, ENOUGH);
    let early = |ms: u32| {
        let timing = ResponseTiming { after_previous: ms * MS, ..after(MS) };
        times.true_response_within(SERVER, ResponseKind::Served, timing).is_some()
    };
    assert!(early(10) && early(25));
    assert!(!early(26));
}

/// Guards against a bound that stays although the server has become quicker, or the path slower.
#[test]
fn the_bound_follows_the_server() {
    let (mut times, start) = with_responses(ResponseKind::Served, ENOUGH);
    let early = |times: &ResponseTimes<u8>, ms: u32| {
        times.true_response_within(SERVER, ResponseKind::Served, after(ms * MS)).is_some()
    };
    times.record(start + 100 * MS, SERVER, ResponseKind::Served, 10 * MS);
    assert!(!early(&times, 8), "it has become quicker");
    for number in 0..3 * ENOUGH {
        let now = start + Duration::from_secs(u64::from(60 + 10 * number));
        times.record(now, SERVER, ResponseKind::Served, 50 * MS);
    }
    assert!(early(&times, 30), "it has become slower");
}

/// Guards against the bound of a process that another one has replaced.
#[test]
fn another_process_has_no_bound() {
    let (mut times, _) = with_responses(ResponseKind::Served, ENOUGH);
    times.forget(SERVER);
    assert_eq!(times.true_response_within(SERVER, ResponseKind::Served, after(MS)), None);
}

proptest! {
    /// Guards against a response that is doubted although the server has been as quick before.
    #[test]
    fn no_response_is_early_that_took_as_long_as_an_earlier_one(
        delays in proptest::collection::vec(1u32..500, 1..60),
    ) {
        let (mut times, start) = (ResponseTimes::default(), Instant::now());
        for (number, delay) in (0u32..).zip(&delays) {
            times.record(start + number * MS, SERVER, ResponseKind::Served, *delay * MS);
            for earlier in &delays[..=number as usize] {
                let within = times.true_response_within(SERVER, ResponseKind::Served, after(*earlier * MS));
                prop_assert_eq!(within, None);
            }
        }
    }
}
