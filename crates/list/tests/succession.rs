//! Empty and old lists change nothing, and a service that counts anew is followed.

use glenwood_list::{update, Succession, Update};
use serde_json::json;

fn line(version: u64, whole: bool, hosts: usize) -> Update {
    let host = |n: usize| {
        json!({"host": format!("s{n}"), "dial": "127.0.0.1:1", "site": "a", "class": "m1", "block": 0,
               "health": "active", "share": 1.0, "born_ms": 0})
    };
    let hosts: Vec<_> = (0..hosts).map(host).collect();
    update(json!({"seq": version, "whole": whole, "hosts": hosts})).expect("good")
}

#[test]
fn versions_that_do_not_fall_are_taken() {
    let mut succession = Succession::default();
    for (version, whole) in [(5, true), (5, false), (6, false), (9, true), (9, true)] {
        assert_eq!(succession.take(&line(version, whole, 2), 2), Ok(()), "{version}");
    }
}

#[test]
fn an_empty_list_never_empties_a_fleet_however_often_it_comes() {
    let mut succession = Succession::default();
    assert_eq!(succession.take(&line(5, true, 3), 0), Ok(()));
    for _ in 0..3 {
        let words = succession.take(&line(6, true, 0), 3).expect_err("refused");
        assert_eq!(words, "an empty list, where 3 servers are known");
    }
    assert_eq!(succession.take(&line(6, false, 0), 3), Ok(()), "no change is no empty list");
    assert_eq!(Succession::default().take(&line(1, true, 0), 0), Ok(()), "there may be none yet");
}

#[test]
fn an_old_list_is_refused_once_and_one_that_counts_on_from_there_is_taken() {
    let mut succession = Succession::default();
    assert_eq!(succession.take(&line(40, true, 3), 0), Ok(()));
    let words = succession.take(&line(7, true, 3), 3).expect_err("refused");
    assert_eq!(words, "version 7, older than the known 40");
    assert_eq!(succession.take(&line(8, true, 3), 3), Ok(()));
    assert_eq!(succession.take(&line(9, false, 1), 3), Ok(()), "from there on as usual");
    assert!(succession.take(&line(8, true, 3), 3).is_err());
}

/// One service behind another that lags: what it says now and then never counts while the others go on.
#[test]
fn a_copy_that_lags_is_never_taken_while_newer_ones_come_between() {
    let mut succession = Succession::default();
    for version in 40..50 {
        assert_eq!(succession.take(&line(version, true, 3), 3), Ok(()));
        assert!(succession.take(&line(version - 20, true, 3), 3).is_err());
    }
}

#[test]
fn old_changes_are_refused_and_prove_nothing() {
    let mut succession = Succession::default();
    assert_eq!(succession.take(&line(40, true, 3), 0), Ok(()));
    for _ in 0..3 {
        assert!(succession.take(&line(39, false, 1), 3).is_err());
    }
    assert!(succession.take(&line(39, true, 3), 3).is_err(), "the first whole one that is old");
}

#[test]
fn another_service_counts_as_it_likes() {
    let mut succession = Succession::default();
    assert_eq!(succession.take(&line(40, true, 3), 0), Ok(()));
    succession.restart();
    assert_eq!(succession.take(&line(1, true, 3), 3), Ok(()));
}
