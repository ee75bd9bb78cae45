//! Tests of the guard against mass expiry.

use std::collections::BTreeMap;

use bytes::Bytes;
use glenwood_coordination::follow::Change;
use glenwood_coordination::guard::{Guard, Settings, MAX_DELAY_MS};
use proptest::collection::vec;
use proptest::prelude::*;

const SETTINGS: Settings = Settings { share: 0.25, window: 2000.0, delay: 400.0 };

fn full_list(count: usize) -> BTreeMap<String, Bytes> {
    (0..count).map(|n| (format!("s{n:02}"), Bytes::from_static(b"d"))).collect()
}

fn guard_with(count: usize) -> Guard {
    let mut guard = Guard::new(SETTINGS).expect("valid settings");
    guard.handle_change(0.0, Change::Snapshot(full_list(count)), &|_| true);
    assert_eq!(drain_changes(&mut guard), [Change::Snapshot(full_list(count))]);
    guard
}

fn drain_changes(guard: &mut Guard) -> Vec<Change> {
    std::iter::from_fn(|| guard.poll()).collect()
}

fn removal(n: usize) -> Change {
    Change::Removed(format!("s{n:02}"))
}

#[test]
fn a_single_departure_is_passed_on_at_once() {
    let mut guard = guard_with(12);
    for n in 0..12 {
        guard.handle_change(10_000.0 * n as f64, removal(n), &|_| true);
        assert_eq!(drain_changes(&mut guard), [removal(n)]);
    }
}

/// All sessions expire together and the servers register again: most departures are never passed on.
#[test]
fn a_list_that_departs_and_registers_again_is_mostly_kept() {
    let mut guard = guard_with(12);
    (0..12).for_each(|n| guard.handle_change(100.0, removal(n), &|_| true));
    // A quarter of the list departs at once; the remaining departures are delayed.
    assert_eq!((drain_changes(&mut guard).len(), guard.delayed()), (3, 9));
    guard.handle_change(300.0, Change::Snapshot(full_list(12)), &|_| true);
    let back: Vec<Change> =
        (0..3).map(|n| Change::Set(format!("s{n:02}"), Bytes::from_static(b"d"))).collect();
    assert_eq!((drain_changes(&mut guard), guard.delayed(), guard.recovered()), (back, 0, 9));
    assert_eq!(guard.poll_timeout(), None);
}

/// Departures of servers that do not answer are not delayed, however many there are.
#[test]
fn departures_of_servers_that_do_not_answer_are_passed_on_at_once() {
    let mut guard = guard_with(12);
    (0..12).for_each(|n| guard.handle_change(100.0, removal(n), &|name| name == "s11"));
    assert_eq!((drain_changes(&mut guard).len(), guard.delayed()), (11, 1));
}

/// Real departures are passed on once the hold is over, however many there are.
#[test]
fn delayed_departures_are_passed_on_when_the_hold_ends() {
    let mut guard = guard_with(12);
    guard.handle_change(100.0, Change::Snapshot(BTreeMap::new()), &|_| true);
    assert_eq!(drain_changes(&mut guard).len(), 3);
    let due = guard.poll_timeout().expect("departures are delayed");
    assert_eq!(due, 500.0);
    guard.handle_timeout(due - 1.0);
    assert_eq!(drain_changes(&mut guard), []);
    guard.handle_timeout(due);
    assert_eq!((drain_changes(&mut guard).len(), guard.delayed()), (9, 0));
}

/// If a server whose departure is delayed registers again with other data, the change is passed on at once.
#[test]
fn a_registration_with_other_data_is_passed_on_during_the_hold() {
    let mut guard = guard_with(4);
    (0..4).for_each(|n| guard.handle_change(100.0, removal(n), &|_| true));
    drain_changes(&mut guard);
    let other_data = Change::Set("s03".into(), Bytes::from_static(b"born later"));
    guard.handle_change(200.0, other_data.clone(), &|_| true);
    assert_eq!(drain_changes(&mut guard), [other_data]);
}

#[test]
fn invalid_settings_are_rejected() {
    let create =
        |share, window, delay| Guard::new(Settings { share, window, delay }).map(|_| ()).map_err(|e| e.0);
    for (settings, field) in [
        ((0.0, 1.0, 1.0), "share"),
        ((1.1, 1.0, 1.0), "share"),
        ((f64::NAN, 1.0, 1.0), "share"),
        ((0.5, 0.0, 1.0), "window"),
        ((0.5, f64::INFINITY, 1.0), "window"),
        ((0.5, 1.0, -1.0), "hold"),
        ((0.5, 1.0, MAX_DELAY_MS + 1.0), "hold"),
    ] {
        let error = create(settings.0, settings.1, settings.2).expect_err(field);
        assert!(error.starts_with(field), "{error}");
    }
    assert_eq!(create(1.0, 1.0, MAX_DELAY_MS), Ok(()));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::with_cases(400) })]

    /// For any sequence of changes: the changes passed on add up to those received, no server is removed
    /// twice, and a server that stays away is removed within the hold.
    #[test]
    fn the_guarded_list_lags_by_less_than_the_hold(
        steps in vec((0..20usize, 0..4u8, 0.0..600.0f64), 1..200),
    ) {
        let mut guard = guard_with(20);
        let (mut expected, mut view) = (full_list(20), full_list(20));
        let mut removed_at: BTreeMap<String, f64> = BTreeMap::new();
        let mut now = 0.0;
        for (n, kind, wait) in steps {
            let name = format!("s{n:02}");
            match kind {
                0 => {
                    let data = Bytes::from(vec![n as u8]);
                    expected.insert(name.clone(), data.clone());
                    removed_at.remove(&name);
                    guard.handle_change(now, Change::Set(name, data), &|_| true);
                }
                1 => {
                    expected = full_list(n);
                    removed_at.retain(|name, _| !expected.contains_key(name));
                    guard.handle_change(now, Change::Snapshot(expected.clone()), &|_| true);
                }
                _ => {
                    expected.remove(&name);
                    guard.handle_change(now, Change::Removed(name), &|_| true);
                }
            }
            let until = now + wait;
            loop {
                for change in drain_changes(&mut guard) {
                    match change {
                        Change::Set(name, data) => { view.insert(name, data); }
                        Change::Removed(name) => {
                            prop_assert!(view.remove(&name).is_some(), "{} was already removed", name)
                        }
                        other => prop_assert!(false, "{:?}", other),
                    }
                }
                for (name, data) in &expected {
                    prop_assert_eq!(view.get(name), Some(data));
                }
                for name in view.keys().filter(|n| !expected.contains_key(*n)) {
                    let since = *removed_at.entry(name.clone()).or_insert(now);
                    prop_assert!(now - since < SETTINGS.delay, "{} has been delayed for {} ms", name, now - since);
                }
                removed_at.retain(|name, _| view.contains_key(name) && !expected.contains_key(name));
                let Some(due) = guard.poll_timeout().filter(|due| *due <= until) else { break };
                now = due;
                guard.handle_timeout(now);
            }
            now = until;
        }
    }
}
