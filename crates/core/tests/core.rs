//! Tests the core with scripted fronts and backends, in virtual time.

use std::collections::{BTreeMap, BTreeSet};

use glenwood_core::{AttemptId, AttemptResult, Core, Final, Incoming, Output, Rejection, Token};
use glenwood_policy::*;
use proptest::prelude::*;

const CLASSES: [Effect; 3] =
    [Effect::Safe, Effect::Keyed { group: Group::Cell, memory: 600.0 }, Effect::Unsafe];

fn settings() -> Settings {
    Settings {
        node_index: 0,
        nodes: 1,
        classes: CLASSES
            .iter()
            .map(|effect| Class {
                target_latency: 100.0,
                worth: 1.0,
                late_worth: 0.2,
                client_timeout: f64::INFINITY,
                effect: *effect,
            })
            .collect(),
        tenants: Vec::new(),
        by_work: false,
        over_share_worth: 1.0,
        goal: Goal { worth: 1.0, ..Goal::default() },
        limits: Limits {
            attempts: 3,
            second_copies: true,
            cancel: true,
            probes: true,
            connect_timeout: 50.0,
            max_retry_after: 1000.0,
        },
        rules: Rules {
            max_call_interval: 10_000.0,
            cold_capacity_share: 0.2,
            warm_up_time: 20_000.0,
            overload_factor: 3.0,
            overload_window: 1000.0,
        },
        discovery: Discovery::Pushed,
        weights: Weights::None,
        min_event_interval: 1.0,
    }
}

fn entry(server: u64) -> Entry {
    let (state, weight) = (Listed::Up, 1.0);
    Entry { server: ServerId(server), zone: 0, cell: server % 2, kind: 0, state, weight, started_at: None }
}

type TestCore = Core<u32, &'static str>;

fn core(servers: u64, max_open: usize) -> TestCore {
    let mut core = Core::new(settings(), 7, max_open).expect("good settings");
    core.handle_list(0.0, (0..servers).map(entry).collect(), false);
    core
}

fn incoming(class: usize, id: &str, began: f64, wait: f64) -> Incoming<u32> {
    let key = (class == 1).then(|| Token::new("k").expect("good"));
    let id = Token::new(id).expect("good");
    Incoming {
        class,
        tenant: None,
        key,
        id,
        began,
        deadline: began + wait,
        repeat_key: None,
        work: None,
        body_pending: false,
        prior_attempts: None,
        payload: 9,
    }
}

fn outputs(core: &mut TestCore) -> Vec<Output<u32, &'static str>> {
    std::iter::from_fn(|| core.poll_output()).collect()
}

fn started(outputs: &[Output<u32, &'static str>]) -> Vec<AttemptId> {
    let start =
        |o: &Output<u32, _>| if let Output::Start { attempt, .. } = o { Some(*attempt) } else { None };
    outputs.iter().filter_map(start).collect()
}

fn answers(outputs: Vec<Output<u32, &'static str>>) -> Vec<Final<&'static str>> {
    let answer = |o| if let Output::Answer { answer, .. } = o { Some(answer) } else { None };
    outputs.into_iter().filter_map(answer).collect()
}

#[test]
fn an_answered_request_leaves_no_state() {
    let mut core = core(2, 10);
    assert!(core.accept(1.0, incoming(0, "a", 1.0, 500.0)).is_ok());
    let first = started(&outputs(&mut core));
    core.attempt_ended(9.0, first[0], AttemptResult::Served("yes"));
    assert_eq!(answers(outputs(&mut core)), [Final::Served("yes")]);
    assert_eq!((core.open_count(), core.awaiting_count()), (0, 0));
    // A second report for the same attempt is ignored.
    core.attempt_ended(9.0, first[0], AttemptResult::Served("again"));
    assert!(answers(outputs(&mut core)).is_empty());
}

#[test]
fn each_cause_of_rejection_is_reported() {
    let mut core = core(1, 1);
    assert_eq!(core.accept(1.0, incoming(7, "a", 1.0, 500.0)), Err(Rejection::UnknownClass));
    let keyless = Incoming { key: None, ..incoming(1, "a", 1.0, 500.0) };
    assert_eq!(core.accept(1.0, keyless), Err(Rejection::KeyMissing));
    assert!(core.accept(1.0, incoming(2, "a", 1.0, 500.0)).is_ok());
    assert!(
        matches!(core.accept(1.0, incoming(0, "b", 1.0, 500.0)), Err(Rejection::TooManyOpen { retry_after }) if retry_after > 0.0)
    );
    let mut larger = self::core(1, 5);
    assert!(larger.accept(1.0, incoming(2, "a", 1.0, 500.0)).is_ok());
    assert_eq!(larger.accept(1.0, incoming(2, "a", 1.0, 500.0)), Err(Rejection::DuplicateId));
}

/// Guards against a backend that never reports: the client must still be answered in time, and a late report
/// must be ignored.
#[test]
fn the_guard_answers_when_a_backend_never_reports() {
    let mut core = core(2, 10);
    assert!(core.accept(1.0, incoming(2, "a", 1.0, 500.0)).is_ok());
    let first = started(&outputs(&mut core));
    let mut given = Vec::new();
    while let Some(due) = core.poll_timeout().filter(|due| *due < 2000.0) {
        assert!(!given.is_empty() || due <= 501.0 - glenwood_core::GUARD_MARGIN + 0.01, "{due}");
        core.handle_timeout(due);
        given.extend(answers(outputs(&mut core)));
    }
    assert_eq!(given, [Final::DeadlineNear]);
    core.attempt_ended(2500.0, first[0], AttemptResult::Served("late"));
    assert!(answers(outputs(&mut core)).is_empty());
    assert_eq!((core.open_count(), core.awaiting_count()), (0, 0));
}

/// An attempt that runs on keeps its answered request in the table until the server has finished.
#[test]
fn an_attempt_that_runs_on_is_kept_until_the_server_finishes() {
    let mut core = core(1, 10);
    assert!(core.accept(1.0, incoming(2, "a", 1.0, 500.0)).is_ok());
    let first = started(&outputs(&mut core));
    core.attempt_ended(100.0, first[0], AttemptResult::RunsOn(Outcome::TimedOut));
    assert_eq!(answers(outputs(&mut core)), [Final::Failed]);
    assert_eq!((core.open_count(), core.awaiting_count()), (1, 0));
    core.attempt_finished_at_server(200.0, AttemptId { number: 1, ..first[0] });
    assert_eq!(core.open_count(), 1, "another attempt has left, not this one");
    core.attempt_finished_at_server(200.0, first[0]);
    assert_eq!(core.open_count(), 0);
}

/// A response that arrives after its attempt was given up is ignored, even while a later attempt is in
/// progress.
#[test]
fn a_response_to_an_abandoned_attempt_is_ignored() {
    for first in [AttemptResult::RunsOn(Outcome::TimedOut), AttemptResult::NoResponse(Outcome::TimedOut)] {
        let mut core = core(2, 10);
        assert!(core.accept(1.0, incoming(0, "a", 1.0, 500.0)).is_ok());
        let first_started = started(&outputs(&mut core));
        core.attempt_ended(30.0, first_started[0], first);
        let second_started = started(&outputs(&mut core));
        assert_eq!((first_started.len(), second_started.len()), (1, 1));
        core.attempt_ended(40.0, first_started[0], AttemptResult::Served("late"));
        assert!(answers(outputs(&mut core)).is_empty());
        core.attempt_ended(50.0, second_started[0], AttemptResult::Served("yes"));
        assert_eq!(answers(outputs(&mut core)), [Final::Served("yes")]);
    }
}

/// Guards against a further attempt for a client that has gone, and against the loss of the result of the one
/// that is out.
#[test]
fn a_request_without_a_client_ends_with_the_attempts_that_are_out() {
    let started_request = || {
        let mut core = core(4, 10);
        let request = core.accept(1.0, incoming(1, "a", 1.0, 500.0)).expect("accepted");
        let first = started(&outputs(&mut core))[0];
        core.client_detached(2.0, request);
        assert_eq!(outputs(&mut core), [Output::Recall(first)]);
        (core, request, first)
    };
    let (mut core, _, first) = started_request();
    core.attempt_ended(3.0, first, AttemptResult::NoResponse(Outcome::Reset));
    let all = outputs(&mut core);
    assert!(started(&all).is_empty(), "{all:?}");
    assert_eq!((answers(all), core.open_count()), (vec![Final::Failed], 0));

    let (mut core, _, first) = started_request();
    core.attempt_ended(3.0, first, AttemptResult::Served("yes"));
    assert_eq!(answers(outputs(&mut core)), [Final::Served("yes")]);

    // What the backend had not sent is dropped, and can be refused.
    let (mut core, _, first) = started_request();
    core.attempt_ended(3.0, first, AttemptResult::NoResponse(Outcome::NotSent));
    assert!(matches!(answers(outputs(&mut core))[..], [Final::Refused { .. }]));

    // A client that comes back while the attempt is out has the request repeated as before.
    let (mut core, request, first) = started_request();
    core.client_attached(3.0, request);
    core.attempt_ended(4.0, first, AttemptResult::NoResponse(Outcome::Reset));
    assert_eq!(started(&outputs(&mut core)).len(), 1);
}

#[test]
fn fail_all_fails_every_open_request() {
    let mut core = core(2, 10);
    for id in ["a", "b", "c"] {
        assert!(core.accept(1.0, incoming(2, id, 1.0, 500.0)).is_ok());
    }
    outputs(&mut core);
    core.fail_open_requests(2.0);
    let all = outputs(&mut core);
    let abandoned = all.iter().filter(|o| matches!(o, Output::Abandon(_))).count();
    assert_eq!((abandoned, answers(all)), (3, vec![Final::Failed; 3]));
}

/// Guards against sending an attempt that is no longer needed, also where attempts may not be cancelled:
/// after the client has disconnected, after another attempt has answered, and after the guard has answered.
#[test]
fn pending_attempts_are_recalled_once_no_answer_is_needed() {
    let mut custom = settings();
    custom.limits.cancel = false;
    let started_request = || {
        let mut core: TestCore = Core::new(custom.clone(), 7, 10).expect("good settings");
        core.handle_list(0.0, (0..2).map(entry).collect(), false);
        let request = core.accept(1.0, incoming(0, "a", 1.0, 500.0)).expect("accepted");
        let first = started(&outputs(&mut core))[0];
        (core, request, first)
    };
    let (mut core, request, first) = started_request();
    core.client_disconnected(2.0, request);
    assert_eq!(outputs(&mut core), [Output::Recall(first)]);
    // The backend has dropped it; the request is not retried and no state remains.
    core.attempt_ended(2.0, first, AttemptResult::NoResponse(Outcome::NotSent));
    assert_eq!((outputs(&mut core), core.open_count()), (vec![], 0));
    // A second disconnect does not recall the attempt again.
    core.client_disconnected(3.0, request);
    assert_eq!(outputs(&mut core), []);

    let (mut core, _, first) = started_request();
    core.handle_timeout(500.0);
    let all = outputs(&mut core);
    assert!(all.contains(&Output::Recall(first)), "{all:?}");
    assert_eq!(answers(all), [Final::DeadlineNear]);

    let (mut core, _, first) = started_request();
    core.fail_open_requests(3.0);
    let all = outputs(&mut core);
    assert!(all.contains(&Output::Recall(first)), "{all:?}");
    assert_eq!(answers(all), [Final::Failed]);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Request(usize),
    End(usize, usize),
    AttemptLeft(usize),
    ClientGone(usize),
    ClientDetached(usize),
    ClientAttached(usize),
    Wait(f64),
    Drain(u64),
    Restore(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3usize).prop_map(Step::Request),
        6 => (any::<usize>(), 0..11usize).prop_map(|(n, how)| Step::End(n, how)),
        2 => any::<usize>().prop_map(Step::AttemptLeft),
        1 => any::<usize>().prop_map(Step::ClientGone),
        1 => any::<usize>().prop_map(Step::ClientDetached),
        1 => any::<usize>().prop_map(Step::ClientAttached),
        4 => (1.0..120.0f64).prop_map(Step::Wait),
        1 => (0..4u64).prop_map(Step::Drain),
        1 => (0..4u64).prop_map(Step::Restore),
    ]
}

fn ended(how: usize) -> AttemptResult<&'static str> {
    match how {
        0 | 1 => AttemptResult::Served("yes"),
        2 => AttemptResult::NoResponse(Outcome::Error),
        3 => AttemptResult::NoResponse(Outcome::Full),
        4 => AttemptResult::NoResponse(Outcome::TimedOut),
        5 => AttemptResult::NoResponse(Outcome::ConnectFailed),
        6 => AttemptResult::NoResponse(Outcome::Reset),
        7 => AttemptResult::NoResponse(Outcome::NotSent),
        8 => AttemptResult::NoResponse(Outcome::Rejected),
        9 => AttemptResult::RunsOn(Outcome::TimedOut),
        _ => AttemptResult::RunsOn(Outcome::Cancelled),
    }
}

/// What the test expects of a request.
struct Expected {
    class: usize,
    guard: f64,
    answers: usize,
    gone: bool,
    /// No client waits for it, but its result is still wanted.
    detached: bool,
    /// For each attempt: the server's cell, when it was sent, whether it is in progress, and whether it may
    /// have run.
    attempts_made: Vec<(u64, f64, bool, bool)>,
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::with_cases(300) })]

    /// Checks for any interleaving of backend reports and client actions: one final answer per request,
    /// before the guard time; no attempt after the answer; no forbidden retry; no attempt to a draining
    /// server; no state left at the end.
    #[test]
    fn invariants_hold_for_any_interleaving(steps in proptest::collection::vec(step(), 1..150)) {
        let mut core = core(4, 1000);
        let mut now = 1.0;
        let mut expected: BTreeMap<RequestId, Expected> = BTreeMap::new();
        let (mut pending, mut running_on): (Vec<AttemptId>, Vec<AttemptId>) = (Vec::new(), Vec::new());
        let mut drained: BTreeSet<u64> = BTreeSet::new();
        let mut remaining_steps: Vec<Step> = steps;
        remaining_steps.reverse();
        // At the end, time passes until all requests are answered.
        let (mut final_waits, mut wakes) = (60, 0);
        while let Some(step) = remaining_steps.pop().or_else(|| { final_waits -= 1; (final_waits > 0).then_some(Step::Wait(20.0)) }) {
            match step {
                Step::Request(class) => {
                    let guard = now + 400.0 - glenwood_core::GUARD_MARGIN;
                    let next = RequestId(expected.len() as u64 + 1);
                    expected.insert(next, Expected { class, guard, answers: 0, gone: false, detached: false, attempts_made: Vec::new() });
                    let id = core.accept(now, incoming(class, &format!("r{}", next.0), now, 400.0));
                    prop_assert_eq!(id, Ok(next));
                }
                Step::End(n, how) if !pending.is_empty() => {
                    let attempt = pending.remove(n % pending.len());
                    let ended = ended(how);
                    let record = &mut expected.get_mut(&attempt.request).expect("known").attempts_made[attempt.number];
                    record.2 = false;
                    record.3 = !matches!(&ended, AttemptResult::NoResponse(o) if o.never_ran());
                    if matches!(ended, AttemptResult::RunsOn(_)) {
                        running_on.push(attempt);
                    }
                    core.attempt_ended(now, attempt, ended);
                }
                Step::AttemptLeft(n) if !running_on.is_empty() => core.attempt_finished_at_server(now, running_on.remove(n % running_on.len())),
                Step::ClientGone(n) if !expected.is_empty() => {
                    let id = RequestId((n % expected.len()) as u64 + 1);
                    expected.get_mut(&id).expect("known").gone = true;
                    core.client_disconnected(now, id);
                }
                Step::ClientDetached(n) if !expected.is_empty() => {
                    let id = RequestId((n % expected.len()) as u64 + 1);
                    expected.get_mut(&id).expect("known").detached = true;
                    core.client_detached(now, id);
                }
                Step::ClientAttached(n) if !expected.is_empty() => {
                    let id = RequestId((n % expected.len()) as u64 + 1);
                    expected.get_mut(&id).expect("known").detached = false;
                    core.client_attached(now, id);
                }
                Step::Wait(ms) => {
                    let until = now + ms;
                    // One timer at a time, so that its outputs are observed at its own time.
                    match core.poll_timeout().filter(|due| *due <= until) {
                        Some(due) => {
                            now = due.max(now);
                            wakes += 1;
                            prop_assert!(wakes < 20_000, "timers never stop");
                            core.handle_timeout(now);
                            remaining_steps.push(Step::Wait(until - now));
                        }
                        None => now = until,
                    }
                }
                Step::Drain(server) => {
                    drained.insert(server);
                    core.list_changed(now, vec![Entry { state: Listed::Draining, ..entry(server) }]);
                }
                Step::Restore(server) => {
                    drained.remove(&server);
                    core.list_changed(now, vec![entry(server)]);
                }
                _ => {}
            }
            while let Some(output) = core.poll_output() {
                match output {
                    Output::Explain { request, .. } => {
                        prop_assert!(expected[&request].answers == 0, "explained after the answer");
                    }
                    Output::Answer { request, .. } => {
                        let request_state = expected.get_mut(&request).expect("known");
                        request_state.answers += 1;
                        prop_assert!(request_state.answers == 1 && !request_state.gone, "{request:?} answered twice, or after its client left");
                        prop_assert!(now <= request_state.guard + 0.1, "{request:?} answered late");
                    }
                    Output::Start { attempt, server, .. } => {
                        let request_state = expected.get_mut(&attempt.request).expect("known");
                        prop_assert!(request_state.answers == 0 && !request_state.gone, "attempt started after the request ended");
                        prop_assert!(!request_state.detached, "attempt started for a client that had gone");
                        prop_assert!(!drained.contains(&server.0), "sent to a drained server");
                        let mut ran = request_state.attempts_made.iter().filter(|t| t.2 || t.3);
                        let harmless = match CLASSES[request_state.class] {
                            Effect::Safe => true,
                            Effect::Unsafe => ran.next().is_none(),
                            Effect::Keyed { memory, .. } => ran.all(|t| t.0 == server.0 % 2 && now - t.1 < memory),
                        };
                        prop_assert!(harmless, "forbidden retry {:?}", attempt);
                        prop_assert_eq!(attempt.number, request_state.attempts_made.len());
                        request_state.attempts_made.push((server.0 % 2, now, true, true));
                        pending.push(attempt);
                    }
                    Output::Abandon(attempt) => {
                        // For even request ids, the backend cannot notify its server and the attempt runs on.
                        pending.retain(|a| *a != attempt);
                        expected.get_mut(&attempt.request).expect("known").attempts_made[attempt.number].2 = false;
                        let runs_on = attempt.request.0 % 2 == 0;
                        if runs_on {
                            running_on.push(attempt);
                        }
                        let how = Outcome::Cancelled;
                        core.attempt_ended(now, attempt, if runs_on { AttemptResult::RunsOn(how) } else { AttemptResult::NoResponse(how) });
                    }
                    Output::Recall(attempt) => {
                        let request_state = expected.get_mut(&attempt.request).expect("known");
                        prop_assert!(request_state.answers == 1 || request_state.gone || request_state.detached, "recalled while an answer was still needed");
                        // Every third request still waits for a connection.
                        if attempt.request.0 % 3 == 0 {
                            pending.retain(|a| *a != attempt);
                            (request_state.attempts_made[attempt.number].2, request_state.attempts_made[attempt.number].3) = (false, false);
                            core.attempt_ended(now, attempt, AttemptResult::NoResponse(Outcome::NotSent));
                        }
                    }
                    Output::Probe(server) => core.probed(now, server, Outcome::Done, 1.0),
                    Output::Subscribe => {}
                }
            }
        }
        for (id, request_state) in &expected {
            prop_assert!(request_state.answers == 1 || request_state.gone, "{:?} has no answer", id);
        }
        for attempt in pending {
            core.attempt_ended(now, attempt, AttemptResult::NoResponse(Outcome::Reset));
        }
        for attempt in running_on {
            core.attempt_finished_at_server(now, attempt);
        }
        prop_assert_eq!((core.open_count(), core.awaiting_count(), answers(outputs(&mut core)).len()), (0, 0, 0));
    }
}

#[test]
fn a_streamed_response_is_forwarded_at_once_and_occupies_its_slot_until_complete() {
    let mut core = core(1, 100);
    let (mut now, mut flowing) = (0.0, Vec::new());
    // Fill the server's concurrency limit. The first bytes are slow, as fast responses would raise the limit
    // as fast.
    loop {
        let id = format!("t{}", flowing.len());
        assert!(core.accept(now, incoming(0, &id, now, 500.0)).is_ok());
        let Some(attempt) = started(&outputs(&mut core)).first().copied() else { break };
        now += 60.0;
        core.attempt_ended(now, attempt, AttemptResult::Streaming("begins"));
        assert_eq!(answers(outputs(&mut core)), [Final::Served("begins")]);
        flowing.push(attempt);
        assert!(flowing.len() < 50, "each streamed response occupies a slot");
    }
    assert_eq!((core.awaiting_count(), core.open_count()), (1, flowing.len() + 1));
    // A response that has been streamed completely frees a slot for the waiting request.
    core.attempt_finished_at_server(now, flowing[0]);
    assert_eq!(started(&outputs(&mut core)).len(), 1);
    assert_eq!(core.open_count(), flowing.len());
}

/// Guards against a final answer that is late by the time for which the last byte of a body waited.
#[test]
fn the_deadline_of_a_streamed_request_counts_from_when_its_client_wrote_the_last_byte() {
    for last_byte_at in [5_000.0, 4_800.0] {
        let mut core = core(1, 10);
        let streamed = Incoming { body_pending: true, ..incoming(0, "a", 1.0, 500.0) };
        let request = core.accept(1.0, streamed).expect("room");
        let attempt = started(&outputs(&mut core))[0];
        core.handle_timeout(5_000.0);
        assert!(answers(outputs(&mut core)).is_empty(), "nothing is due before the last byte");
        core.body_sent(5_000.0, request, last_byte_at);
        core.handle_timeout(last_byte_at + 400.0);
        assert!(answers(outputs(&mut core)).is_empty());
        core.handle_timeout(last_byte_at + 500.0);
        assert_eq!(answers(outputs(&mut core)), [Final::DeadlineNear]);
        core.attempt_ended(5_600.0, attempt, AttemptResult::NoResponse(Outcome::TimedOut));
        assert_eq!(core.open_count(), 0);
    }
}

#[test]
fn fleet_usage_is_counted_once_and_not_for_repeats_or_rejected_requests() {
    let times_counted = std::cell::Cell::new(0);
    let count_usage = || {
        times_counted.set(times_counted.get() + 1);
        Some(true)
    };
    let mut core = core(0, 100);
    let first = Incoming { repeat_key: Some(7), ..incoming(0, "a", 0.0, 500.0) };
    core.accept_with_usage(0.0, first.clone(), count_usage).expect("accepted");
    assert_eq!(times_counted.get(), 1);
    assert!(core.accept_with_usage(0.0, first.clone(), count_usage).is_err(), "the id is already open");
    assert_eq!(times_counted.get(), 1, "rejected requests are not counted");
    // No server is known: the request is refused, and its client repeats it.
    for now in 1..200 {
        core.handle_timeout(f64::from(now));
        while core.poll_output().is_some() {}
    }
    let again = Incoming { repeat_key: Some(7), ..incoming(0, "b", 200.0, 300.0) };
    core.accept_with_usage(200.0, again, count_usage).expect("accepted");
    assert_eq!(times_counted.get(), 1, "a repeat is counted with the original request");
    let other = Incoming { repeat_key: Some(8), ..incoming(0, "c", 200.0, 300.0) };
    core.accept_with_usage(200.0, other, count_usage).expect("accepted");
    assert_eq!(times_counted.get(), 2);
}
