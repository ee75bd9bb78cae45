//! The guard against mass expiry.

use std::collections::BTreeMap;

use bytes::Bytes;
use glenwood_coordination::follow::Change;
use glenwood_coordination::guard::{Guard, Settings, HOLD_MOST};
use proptest::collection::vec;
use proptest::prelude::*;

const SETTINGS: Settings = Settings { share: 0.25, window: 2000.0, hold: 400.0 };

fn whole(count: usize) -> BTreeMap<String, Bytes> {
    (0..count).map(|n| (format!("s{n:02}"), Bytes::from_static(b"d"))).collect()
}

fn guard(count: usize) -> Guard {
    let mut guard = Guard::new(SETTINGS).expect("good settings");
    guard.handle_change(0.0, Change::Whole(whole(count)), &|_| true);
    assert_eq!(said(&mut guard), [Change::Whole(whole(count))]);
    guard
}

fn said(guard: &mut Guard) -> Vec<Change> {
    std::iter::from_fn(|| guard.poll()).collect()
}

fn gone(n: usize) -> Change {
    Change::Gone(format!("s{n:02}"))
}

#[test]
fn a_single_departure_is_passed_on_at_once() {
    let mut guard = guard(12);
    for n in 0..12 {
        guard.handle_change(10_000.0 * n as f64, gone(n), &|_| true);
        assert_eq!(said(&mut guard), [gone(n)]);
    }
}

/// All sessions end together and come again: most of the list is never seen to be gone.
#[test]
fn a_list_that_vanishes_and_comes_again_is_kept() {
    let mut guard = guard(12);
    (0..12).for_each(|n| guard.handle_change(100.0, gone(n), &|_| true));
    // A quarter of the list is no mass; what is beyond it waits.
    assert_eq!((said(&mut guard).len(), guard.delayed()), (3, 9));
    guard.handle_change(300.0, Change::Whole(whole(12)), &|_| true);
    let back: Vec<Change> =
        (0..3).map(|n| Change::Set(format!("s{n:02}"), Bytes::from_static(b"d"))).collect();
    assert_eq!((said(&mut guard), guard.delayed(), guard.recovered()), (back, 0, 9));
    assert_eq!(guard.poll_timeout(), None);
}

/// Servers that answer nobody are gone, however many of them there are.
#[test]
fn a_list_that_vanishes_and_does_not_answer_is_passed_on_at_once() {
    let mut guard = guard(12);
    (0..12).for_each(|n| guard.handle_change(100.0, gone(n), &|name| name == "s11"));
    assert_eq!((said(&mut guard).len(), guard.delayed()), (11, 1));
}

/// What is really gone is passed on within the hold, however many there are.
#[test]
fn what_stays_away_is_gone_within_the_hold() {
    let mut guard = guard(12);
    guard.handle_change(100.0, Change::Whole(BTreeMap::new()), &|_| true);
    assert_eq!(said(&mut guard).len(), 3);
    let due = guard.poll_timeout().expect("they wait");
    assert_eq!(due, 500.0);
    guard.handle_timeout(due - 1.0);
    assert_eq!(said(&mut guard), []);
    guard.handle_timeout(due);
    assert_eq!((said(&mut guard).len(), guard.delayed()), (9, 0));
}

/// Who is kept back and registers anew as another process is told at once.
#[test]
fn another_process_under_the_name_is_told() {
    let mut guard = guard(4);
    (0..4).for_each(|n| guard.handle_change(100.0, gone(n), &|_| true));
    said(&mut guard);
    let anew = Change::Set("s03".into(), Bytes::from_static(b"born later"));
    guard.handle_change(200.0, anew.clone(), &|_| true);
    assert_eq!(said(&mut guard), [anew]);
}

#[test]
fn settings_that_would_break_the_drain_rule_are_turned_down() {
    let with =
        |share, window, hold| Guard::new(Settings { share, window, hold }).map(|_| ()).map_err(|e| e.0);
    for (settings, field) in [
        ((0.0, 1.0, 1.0), "share"),
        ((1.1, 1.0, 1.0), "share"),
        ((f64::NAN, 1.0, 1.0), "share"),
        ((0.5, 0.0, 1.0), "window"),
        ((0.5, f64::INFINITY, 1.0), "window"),
        ((0.5, 1.0, -1.0), "hold"),
        ((0.5, 1.0, HOLD_MOST + 1.0), "hold"),
    ] {
        let error = with(settings.0, settings.1, settings.2).expect_err(field);
        assert!(error.starts_with(field), "{error}");
    }
    assert_eq!(with(1.0, 1.0, HOLD_MOST), Ok(()));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::with_cases(400) })]

    /// Whatever comes and goes: what is passed on adds up to what was said, nobody is gone twice, and who stays away is
    /// passed on as gone within the hold.
    #[test]
    fn the_list_behind_the_guard_is_never_older_than_the_hold(
        steps in vec((0..20usize, 0..4u8, 0.0..600.0f64), 1..200),
    ) {
        let mut guard = guard(20);
        let (mut truth, mut view) = (whole(20), whole(20));
        let mut since: BTreeMap<String, f64> = BTreeMap::new();
        let mut now = 0.0;
        for (n, kind, wait) in steps {
            let name = format!("s{n:02}");
            match kind {
                0 => {
                    let data = Bytes::from(vec![n as u8]);
                    truth.insert(name.clone(), data.clone());
                    since.remove(&name);
                    guard.handle_change(now, Change::Set(name, data), &|_| true);
                }
                1 => {
                    truth = whole(n);
                    since.retain(|name, _| !truth.contains_key(name));
                    guard.handle_change(now, Change::Whole(truth.clone()), &|_| true);
                }
                _ => {
                    truth.remove(&name);
                    guard.handle_change(now, Change::Gone(name), &|_| true);
                }
            }
            let until = now + wait;
            loop {
                for change in said(&mut guard) {
                    match change {
                        Change::Set(name, data) => { view.insert(name, data); }
                        Change::Gone(name) => prop_assert!(view.remove(&name).is_some(), "{} was gone", name),
                        other => prop_assert!(false, "{:?}", other),
                    }
                }
                for (name, data) in &truth {
                    prop_assert_eq!(view.get(name), Some(data));
                }
                for name in view.keys().filter(|n| !truth.contains_key(*n)) {
                    let first = *since.entry(name.clone()).or_insert(now);
                    prop_assert!(now - first < SETTINGS.hold, "{} has been gone for {}", name, now - first);
                }
                since.retain(|name, _| view.contains_key(name) && !truth.contains_key(name));
                let Some(due) = guard.poll_timeout().filter(|due| *due <= until) else { break };
                now = due;
                guard.handle_timeout(now);
            }
            now = until;
        }
    }
}
