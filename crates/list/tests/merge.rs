//! Merging the lists of two sources.

use std::collections::{BTreeMap, BTreeSet};

use glenwood_list::Source::{Discovery, Registrations};
use glenwood_list::{
    ConfiguredChange, ConfiguredServer, Endpoint, Health, ListEntry, MergedList, Protocol, Source, Update,
};
use proptest::collection::vec;
use proptest::prelude::*;

fn host(name: &str, port: u16, born_ms: f64, health: Health) -> ListEntry {
    let dial = Endpoint { address: ([127, 0, 0, 1], port).into(), protocol: Protocol::Http1 };
    ListEntry { started_ms: born_ms, health, ..ListEntry::active(name, dial) }
}

fn up(name: &str, born_ms: f64) -> ListEntry {
    host(name, 1, born_ms, Health::Active)
}

fn left(name: &str) -> ListEntry {
    up(name, 0.0).as_removed()
}

fn line(whole: bool, hosts: &[ListEntry]) -> Update {
    Update { version: 1, is_full: whole, hosts: hosts.to_vec() }
}

/// Applies an update and returns the changes as name, health and start time.
fn apply(
    merge: &mut MergedList,
    source: Source,
    whole: bool,
    hosts: &[ListEntry],
) -> Vec<(String, Health, f64)> {
    let update = merge.apply(source, line(whole, hosts));
    assert_eq!(update.is_full, whole && source == Discovery);
    update.hosts.into_iter().map(|h| (h.host, h.health, h.started_ms)).collect()
}

fn change(name: &str, health: Health, born: f64) -> Vec<(String, Health, f64)> {
    vec![(name.to_string(), health, born)]
}

#[test]
fn servers_of_one_source_alone_stay_when_the_other_gives_its_whole_list() {
    let mut merge = MergedList::default();
    assert_eq!(apply(&mut merge, Registrations, true, &[up("r", 5.0)]), change("r", Health::Active, 5.0));
    let both = [("d".to_string(), Health::Active, 0.0), ("r".to_string(), Health::Active, 5.0)];
    assert_eq!(apply(&mut merge, Discovery, true, &[up("d", 0.0)]), both);
    // The same with the sources exchanged: no change.
    assert_eq!(apply(&mut merge, Registrations, true, &[up("r", 5.0)]), []);
}

/// A server whose registration has ended stays removed while the slower source, discovery, still lists it.
#[test]
fn a_removal_applies_although_the_slower_source_still_lists_the_server() {
    let mut merge = MergedList::default();
    apply(&mut merge, Discovery, true, &[up("a", 5.0)]);
    assert_eq!(apply(&mut merge, Registrations, true, &[up("a", 5.0)]), []);
    assert_eq!(apply(&mut merge, Registrations, false, &[left("a")]), change("a", Health::Left, 5.0));
    assert_eq!(apply(&mut merge, Discovery, false, &[up("a", 5.0)]), []);
    assert_eq!(apply(&mut merge, Discovery, true, &[up("a", 5.0)]), [], "the full list does not contain it");
    // A new registration with the same start time, so of the same process, brings it back.
    assert_eq!(apply(&mut merge, Registrations, false, &[up("a", 5.0)]), change("a", Health::Active, 5.0));
}

#[test]
fn a_later_start_in_the_other_source_brings_a_server_back() {
    let mut merge = MergedList::default();
    apply(&mut merge, Discovery, true, &[up("a", 5.0)]);
    apply(&mut merge, Registrations, true, &[up("a", 5.0)]);
    apply(&mut merge, Registrations, false, &[left("a")]);
    assert_eq!(apply(&mut merge, Discovery, false, &[up("a", 5.0)]), []);
    assert_eq!(apply(&mut merge, Discovery, false, &[up("a", 6.0)]), change("a", Health::Active, 6.0));
}

#[test]
fn a_removal_by_discovery_applies_although_the_registration_remains() {
    let mut merge = MergedList::default();
    apply(&mut merge, Discovery, true, &[up("a", 5.0)]);
    apply(&mut merge, Registrations, true, &[up("a", 5.0)]);
    assert_eq!(apply(&mut merge, Discovery, true, &[]), []);
    assert!(merge.is_empty());
    assert_eq!(apply(&mut merge, Registrations, false, &[up("a", 5.0)]), []);
    assert_eq!(apply(&mut merge, Registrations, false, &[up("a", 9.0)]), change("a", Health::Active, 9.0));
}

#[test]
fn a_drain_of_either_source_applies_and_the_registration_gives_the_other_fields() {
    let mut merge = MergedList::default();
    apply(&mut merge, Discovery, true, &[host("a", 1, 5.0, Health::Active)]);
    let moved = merge.apply(Registrations, line(false, &[host("a", 2, 5.0, Health::Active)]));
    assert_eq!(moved.hosts[0].endpoint.expect("it has one").address.port(), 2);
    let drained = apply(&mut merge, Discovery, false, &[host("a", 1, 5.0, Health::Leaving)]);
    assert_eq!(drained, change("a", Health::Leaving, 5.0));
    // The drain applies until discovery withdraws it, even after a registration with a later start.
    let later = apply(&mut merge, Registrations, false, &[host("a", 2, 6.0, Health::Active)]);
    assert_eq!(later, change("a", Health::Leaving, 6.0));
    let back = apply(&mut merge, Discovery, false, &[host("a", 1, 5.0, Health::Active)]);
    assert_eq!(back, change("a", Health::Active, 6.0));
    // A registration older than the process that discovery lists does not give the address of that process.
    let older = merge.apply(Discovery, line(false, &[host("a", 1, 7.0, Health::Active)]));
    assert_eq!(older.hosts[0].endpoint.expect("it has one").address.port(), 1);
}

fn configured(name: &str, port: u16, weight: f64) -> ConfiguredChange {
    let address = ([127, 0, 0, 1], port).into();
    ConfiguredChange::Put(ConfiguredServer { name: name.to_string(), address, zone: "z".into(), weight })
}

/// Guards against the loss of what configuration does not know: cell, kind, protocol, address and start of a
/// listed server.
#[test]
fn configuration_gives_zone_and_weight_of_a_listed_server_and_nothing_else() {
    let endpoint = Endpoint { address: ([127, 0, 0, 1], 1).into(), protocol: Protocol::Msgpack };
    for started_ms in [0.0, 5.0] {
        let listed = ListEntry {
            cell: Some(3),
            kind: "m1".into(),
            started_ms,
            health: Health::Leaving,
            ..ListEntry::active("a", endpoint)
        };
        for source in [Discovery, Registrations] {
            let mut merge = MergedList::default();
            merge.apply(source, line(true, std::slice::from_ref(&listed)));
            let expected = ListEntry { zone: "z".into(), weight: 2.5, ..listed.clone() };
            let changed = merge.apply_configured(vec![configured("a", 9, 2.5)]);
            assert_eq!(changed, std::slice::from_ref(&expected));
            // The same if configuration came first.
            let mut merge = MergedList::default();
            merge.apply_configured(vec![configured("a", 9, 2.5)]);
            assert_eq!(merge.apply(source, line(false, std::slice::from_ref(&listed))).hosts, [expected]);
        }
    }
}

/// Guards against servers that share a cell only because nobody knows theirs.
#[test]
fn a_server_that_only_configuration_knows_has_no_cell() {
    let mut merge = MergedList::default();
    let entries = merge.apply_configured(vec![configured("a", 9, 2.5)]);
    assert_eq!((entries.len(), entries[0].cell, entries[0].health), (1, None, Health::Active));
    assert_eq!(entries[0].endpoint.expect("it has one").address.port(), 9);
}

/// Guards against a server that stays, or is lost, when configuration and discovery disagree on it.
#[test]
fn a_removal_by_configuration_or_discovery_applies_until_its_source_lists_the_server_again() {
    let removal = || vec![ConfiguredChange::Remove("a".into())];
    let mut merge = MergedList::default();
    apply(&mut merge, Discovery, true, &[up("a", 0.0)]);
    merge.apply_configured(vec![configured("a", 1, 2.0)]);
    assert_eq!(merge.apply_configured(removal())[0].health, Health::Left);
    assert!(merge.is_empty(), "configuration has removed it");
    assert_eq!(apply(&mut merge, Discovery, false, &[up("a", 0.0)]), []);
    assert_eq!(merge.apply_configured(vec![configured("a", 1, 2.0)])[0].health, Health::Active);
    assert_eq!(apply(&mut merge, Discovery, true, &[]), []);
    assert!(merge.is_empty(), "discovery has removed it");
    assert_eq!(
        merge.apply_configured(vec![configured("a", 1, 3.0)]),
        [],
        "a later version does not bring it back"
    );
    assert_eq!(apply(&mut merge, Discovery, false, &[up("a", 0.0)]), change("a", Health::Active, 0.0));
}

/// Guards against configured servers that a full list of another source removes because it lacks them.
#[test]
fn a_full_list_keeps_servers_that_only_configuration_knows() {
    for source in [Discovery, Registrations] {
        let mut merge = MergedList::default();
        merge.apply_configured(vec![configured("a", 1, 2.0)]);
        apply(&mut merge, source, true, &[up("b", 0.0)]);
        assert_eq!(merge.len(), 2);
    }
}

#[test]
fn entries_survive_a_round_trip_through_json() {
    let text = r#"{"host":"a","dial":"msgpack-rpc://127.0.0.1:9","site":"z","class":"m1","block":3,"health":"leaving",
                   "share":2.5,"born_ms":7.0}"#;
    let read: ListEntry = serde_json::from_str(text).expect("an entry");
    let written = serde_json::to_string(&read).expect("it can be written");
    assert_eq!(serde_json::from_str::<ListEntry>(&written).expect("an entry"), read);
    assert_eq!(read.endpoint.expect("it has one").to_string(), "msgpack-rpc://127.0.0.1:9");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// A follower of the updates has the merged list. Every server in it is listed by a source, and none is
    /// active that a source drains.
    #[test]
    fn updates_add_up_to_the_merged_list(steps in vec((0..2usize, any::<bool>(), vec((0..5u8, 0..3u8, 0..3u8), 0..4)), 1..40)) {
        let mut merge = MergedList::default();
        let mut followed: BTreeMap<String, ListEntry> = BTreeMap::new();
        let mut sources: [BTreeMap<String, ListEntry>; 2] = Default::default();
        // Servers that have been in both sources at once, since they were last in neither.
        let mut both: BTreeSet<String> = BTreeSet::new();
        for (slot, whole, hosts) in steps {
            let source = [Discovery, Registrations][slot];
            let mut hosts: Vec<ListEntry> = hosts
                .into_iter()
                .map(|(n, health, born)| {
                    let health = [Health::Active, Health::Leaving, Health::Left][usize::from(health)];
                    host(&format!("s{n}"), 1, f64::from(born), health)
                })
                .collect();
            hosts.sort_by(|a, b| a.host.cmp(&b.host));
            hosts.dedup_by(|a, b| a.host == b.host);
            if whole {
                sources[slot].clear();
            }
            for h in &hosts {
                match h.health {
                    Health::Left => drop(sources[slot].remove(&h.host)),
                    _ => drop(sources[slot].insert(h.host.clone(), h.clone())),
                }
            }
            let update = merge.apply(source, line(whole, &hosts));
            if update.is_full {
                followed.clear();
            }
            for h in update.hosts {
                match h.health {
                    Health::Left => drop(followed.remove(&h.host)),
                    _ => drop(followed.insert(h.host.clone(), h)),
                }
            }
            prop_assert_eq!(followed.len(), merge.len());
            for (name, h) in &followed {
                let entries: Vec<&ListEntry> = sources.iter().filter_map(|s| s.get(name)).collect();
                prop_assert!(!entries.is_empty());
                prop_assert_eq!(Some(h.health), entries.iter().map(|entry| entry.health).max());
            }
            both.extend(sources[0].keys().filter(|n| sources[1].contains_key(*n)).cloned());
            both.retain(|n| sources.iter().any(|s| s.contains_key(n)));
            // A server that was only ever in one source is listed as long as that source has it.
            for (name, h) in &sources[slot] {
                prop_assert!(both.contains(name) || followed.get(name) == Some(h), "{} is missing", name);
            }
        }
    }
}
