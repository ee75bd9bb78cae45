//! Empty and old lists are rejected; a service that restarts its version numbers is followed.

use glenwood_list::{update_from_value, Update, VersionCheck};
use serde_json::json;

fn line(version: u64, whole: bool, hosts: usize) -> Update {
    let host = |n: usize| {
        json!({"host": format!("s{n}"), "dial": "127.0.0.1:1", "site": "a", "class": "m1", "block": 0,
               "health": "active", "share": 1.0, "born_ms": 0})
    };
    let hosts: Vec<_> = (0..hosts).map(host).collect();
    update_from_value(json!({"seq": version, "whole": whole, "hosts": hosts})).expect("a valid update")
}

#[test]
fn versions_that_do_not_decrease_are_accepted() {
    let mut succession = VersionCheck::default();
    for (version, whole) in [(5, true), (5, false), (6, false), (9, true), (9, true)] {
        assert_eq!(succession.accept(&line(version, whole, 2), 2), Ok(()), "{version}");
    }
}

#[test]
fn an_empty_list_is_rejected_however_often_it_comes() {
    let mut succession = VersionCheck::default();
    assert_eq!(succession.accept(&line(5, true, 3), 0), Ok(()));
    for _ in 0..3 {
        let message = succession.accept(&line(6, true, 0), 3).expect_err("refused");
        assert_eq!(message, "empty list received while 3 servers are known");
    }
    assert_eq!(
        succession.accept(&line(6, false, 0), 3),
        Ok(()),
        "an update without changes is not an empty list"
    );
    assert_eq!(VersionCheck::default().accept(&line(1, true, 0), 0), Ok(()), "the first list may be empty");
}

#[test]
fn an_old_list_is_rejected_once_and_accepted_if_the_next_continues_from_it() {
    let mut succession = VersionCheck::default();
    assert_eq!(succession.accept(&line(40, true, 3), 0), Ok(()));
    let message = succession.accept(&line(7, true, 3), 3).expect_err("refused");
    assert_eq!(message, "version 7, older than the known 40");
    assert_eq!(succession.accept(&line(8, true, 3), 3), Ok(()));
    assert_eq!(succession.accept(&line(9, false, 1), 3), Ok(()), "later updates are accepted as usual");
    assert!(succession.accept(&line(8, true, 3), 3).is_err());
}

/// A load-balanced discovery service with a lagging replica: its occasional old lists are rejected while the
/// other replicas send newer ones.
#[test]
fn lists_of_a_lagging_replica_are_rejected_while_newer_ones_come_between() {
    let mut succession = VersionCheck::default();
    for version in 40..50 {
        assert_eq!(succession.accept(&line(version, true, 3), 3), Ok(()));
        assert!(succession.accept(&line(version - 20, true, 3), 3).is_err());
    }
}

#[test]
fn old_changes_are_rejected_and_do_not_count_as_a_version_restart() {
    let mut succession = VersionCheck::default();
    assert_eq!(succession.accept(&line(40, true, 3), 0), Ok(()));
    for _ in 0..3 {
        assert!(succession.accept(&line(39, false, 1), 3).is_err());
    }
    assert!(succession.accept(&line(39, true, 3), 3).is_err(), "the first full list that is old");
}

#[test]
fn versions_of_another_service_are_independent() {
    let mut succession = VersionCheck::default();
    assert_eq!(succession.accept(&line(40, true, 3), 0), Ok(()));
    succession.reset();
    assert_eq!(succession.accept(&line(1, true, 3), 3), Ok(()));
}
