//! Lists that were saved before the start, beside the sources that they were saved from.

use std::collections::BTreeMap;

use glenwood_list::Source::{Discovery, Registrations};
use glenwood_list::{
    ConfiguredChange, ConfiguredServer, Endpoint, Health, ListEntry, MergedList, Protocol, SavedList, Source,
    Update,
};
use proptest::collection::vec;
use proptest::prelude::*;

fn entry(name: &str, port: u16, started_ms: f64, health: Health) -> ListEntry {
    let endpoint = Endpoint { address: ([127, 0, 0, 1], port).into(), protocol: Protocol::Http1 };
    ListEntry { cell: Some(1), started_ms, health, ..ListEntry::active(name, endpoint) }
}

fn active(name: &str, port: u16, started_ms: f64) -> ListEntry {
    entry(name, port, started_ms, Health::Active)
}

fn draining(name: &str, port: u16, started_ms: f64) -> ListEntry {
    entry(name, port, started_ms, Health::Leaving)
}

fn full(hosts: &[ListEntry]) -> Update {
    Update { version: 1, is_full: true, hosts: hosts.to_vec() }
}

fn changes(hosts: &[ListEntry]) -> Update {
    Update { version: 1, is_full: false, hosts: hosts.to_vec() }
}

/// A list at a node that follows registrations alone, or discovery too, started with a list.
fn started(is_alone: bool, known: &[ListEntry]) -> MergedList {
    let mut merge = MergedList::new(if is_alone { Registrations } else { Discovery });
    assert_eq!(merge.restore(SavedList::Known, known.to_vec()).len(), known.len());
    merge
}

/// The merged entries by name, as a user of the updates has them.
fn followed(list: &mut BTreeMap<String, ListEntry>, update: Update) {
    if update.is_full {
        list.clear();
    }
    for host in update.hosts {
        match host.health {
            Health::Left => drop(list.remove(&host.host)),
            _ => drop(list.insert(host.host.clone(), host)),
        }
    }
}

fn configured(name: &str) -> ConfiguredChange {
    let address = ([127, 0, 0, 1], 9).into();
    ConfiguredChange::Put(ConfiguredServer { name: name.into(), address, zone: "z".into(), weight: 2.0 })
}

/// Guards against a server that only the saved list names and that stays in use for good where registrations
/// are followed alone.
#[test]
fn with_registrations_alone_a_server_that_their_first_full_list_lacks_is_gone() {
    let mut merge = started(true, &[active("a", 1, 5.0), active("b", 2, 5.0)]);
    assert_eq!((merge.len(), merge.saved_count()), (2, 2));
    let update = merge.apply(Registrations, full(&[active("a", 1, 6.0)]));
    let expected = [active("a", 1, 6.0), active("b", 2, 5.0).as_removed()];
    assert_eq!((update.hosts.as_slice(), merge.saved_count()), (&expected[..], 0));
    // It may register again, as any server.
    assert_eq!(merge.apply(Registrations, changes(&[active("b", 2, 5.0)])).hosts, [active("b", 2, 5.0)]);
    // An empty list is a list.
    let mut merge = started(true, &[active("a", 1, 5.0)]);
    assert_eq!(merge.apply(Registrations, full(&[])).hosts, [active("a", 1, 5.0).as_removed()]);
}

/// Guards against a saved drain, and a saved address with a start time of a clock that was ahead, that nobody
/// can take back.
#[test]
fn a_saved_entry_counts_in_no_field_once_a_source_lists_its_server() {
    for is_alone in [true, false] {
        for saved in [draining("a", 1, 4.0), active("a", 9, 900.0), draining("a", 9, 900.0)] {
            for first in [full(&[active("a", 1, 5.0)]), changes(&[active("a", 1, 5.0)])] {
                let mut merge = started(is_alone, std::slice::from_ref(&saved));
                assert_eq!(merge.apply(Registrations, first).hosts, [active("a", 1, 5.0)], "{saved:?}");
            }
        }
    }
}

/// Guards against the loss of a drain of the process that is listed, which discovery reported and may not
/// have taken back.
#[test]
fn a_saved_drain_of_the_listed_process_applies_until_its_source_reports() {
    let mut merge = started(false, &[draining("a", 1, 5.0)]);
    let update = merge.apply(Registrations, full(&[active("a", 1, 5.0)]));
    assert_eq!(update.hosts, [draining("a", 1, 5.0)]);
    assert_eq!(merge.apply(Discovery, full(&[active("a", 1, 5.0)])).hosts, [active("a", 1, 5.0)]);
}

/// Guards against forgetting what only discovery lists, while it can't be reached.
#[test]
fn a_server_of_discovery_alone_stays_until_discovery_reports() {
    let mut merge = started(false, &[active("a", 1, 5.0), active("d", 2, 5.0)]);
    merge.apply(Registrations, full(&[active("a", 1, 5.0)]));
    assert_eq!((merge.len(), merge.saved_count()), (2, 1));
    // Discovery says that nothing has changed since, or what has.
    assert_eq!(merge.confirm(Discovery), [active("d", 2, 5.0)]);
    assert_eq!((merge.len(), merge.saved_count()), (2, 0));
    let update = merge.apply(Discovery, changes(&[active("d", 2, 5.0).as_removed()]));
    assert_eq!(update.hosts, [active("d", 2, 5.0).as_removed()]);
}

/// Guards against the return of a server by a saved entry, after a source has removed it.
#[test]
fn a_saved_entry_brings_no_removed_server_back() {
    let mut merge = started(false, &[active("a", 1, 5.0)]);
    merge.apply(Registrations, full(&[active("a", 1, 5.0)]));
    merge.apply(Registrations, changes(&[active("a", 1, 5.0).as_removed()]));
    assert!(merge.is_empty());
    assert_eq!(merge.confirm(Discovery), []);
    assert_eq!(merge.apply(Discovery, full(&[active("a", 1, 5.0)])).hosts, []);
    assert_eq!(merge.apply(Discovery, changes(&[active("a", 1, 6.0)])).hosts, [active("a", 1, 6.0)]);
}

/// Guards against a server that configuration names and that left the registrations while the node was down:
/// it is out of use where the node ran on, so it is after a restart.
#[test]
fn a_configured_server_that_left_while_the_node_was_down_is_out_of_use() {
    let put = || vec![configured("a")];
    for is_configured_first in [true, false] {
        let mut merge = started(true, &[active("a", 1, 5.0)]);
        if is_configured_first {
            merge.apply_configured(put());
        }
        merge.apply(Registrations, full(&[]));
        if !is_configured_first {
            merge.apply_configured(put());
        }
        assert!(merge.is_empty());
        // As for any server that a source has removed, a new entry of either brings it back.
        merge.apply_configured(vec![ConfiguredChange::Remove("a".into())]);
        assert_eq!(merge.apply_configured(put()).len(), 1);
    }
    // A saved entry with no more than configuration gives is no sign that it was ever registered.
    let endpoint = Endpoint { address: ([127, 0, 0, 1], 9).into(), protocol: Protocol::Http1 };
    let mut merge = started(true, &[ListEntry::active("a", endpoint)]);
    merge.apply_configured(put());
    merge.apply(Registrations, full(&[]));
    assert_eq!(merge.len(), 1);
}

/// Guards against an ended registration that a slower discovery brings back after a restart.
#[test]
fn a_registration_that_ended_while_the_node_was_down_takes_its_server_out() {
    for order in [[Discovery, Registrations], [Registrations, Discovery]] {
        for (started_ms, is_listed) in [(5.0, false), (6.0, true)] {
            let mut merge = MergedList::default();
            merge.restore(SavedList::Registrations, vec![active("a", 1, 5.0)]);
            for source in order {
                let list = if source == Discovery { vec![active("a", 1, started_ms)] } else { Vec::new() };
                merge.apply(source, full(&list));
            }
            assert_eq!(!merge.is_empty(), is_listed, "{order:?}, discovery's started at {started_ms}");
        }
    }
}

/// Guards against a saved list that is taken after its source's own, as both are read at the start.
#[test]
fn a_list_that_is_restored_after_its_source_has_reported_changes_nothing() {
    let mut merge = MergedList::new(Registrations);
    merge.apply(Registrations, full(&[active("a", 1, 5.0)]));
    for list in [SavedList::Known, SavedList::Registrations] {
        assert_eq!(merge.restore(list, vec![draining("a", 9, 900.0), active("b", 2, 5.0)]), []);
    }
    assert_eq!((merge.len(), merge.saved_count()), (1, 0));
}

/// Two saved lists of one source: a drain in either applies, the later start gives the rest, and both give way
/// together.
#[test]
fn two_saved_lists_of_the_registrations_give_way_together() {
    for (known, view) in [(4.0, 5.0), (5.0, 4.0)] {
        let mut merge = started(true, &[draining("a", 1, known), active("b", 3, 5.0)]);
        let restored = merge.restore(SavedList::Registrations, vec![active("a", 2, view)]);
        // Nothing changes where the known entry is the later one.
        let expected = if known > view { Vec::new() } else { vec![draining("a", 2, view)] };
        assert_eq!((restored, merge.saved_count()), (expected, 2));
        let update = merge.apply(Registrations, full(&[active("a", 7, 3.0)]));
        assert_eq!(update.hosts, [active("a", 7, 3.0), active("b", 3, 5.0).as_removed()]);
    }
}

fn hosts() -> impl Strategy<Value = Vec<ListEntry>> {
    vec((0..5u8, any::<bool>(), 0..3u8, 1..3u16), 0..5).prop_map(|hosts| {
        let by_name: BTreeMap<String, ListEntry> = hosts
            .into_iter()
            .map(|(n, is_draining, start, port)| {
                let health = if is_draining { Health::Leaving } else { Health::Active };
                let name = format!("s{n}");
                (name.clone(), entry(&name, port, f64::from(start), health))
            })
            .collect();
        by_name.into_values().collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Once every source has reported, nothing is left of the list that the node was started with, in whatever
    /// order they reported.
    #[test]
    fn the_known_list_leaves_nothing_behind(
        is_alone in any::<bool>(), known in hosts(), first in any::<bool>(), lists in (hosts(), hosts())
    ) {
        let mut order = vec![(Registrations, lists.0)];
        if !is_alone {
            order.insert(usize::from(first), (Discovery, lists.1));
        }
        let mut restarted = started(is_alone, &known);
        let mut fresh = MergedList::new(if is_alone { Registrations } else { Discovery });
        let (mut list, mut expected) = (BTreeMap::new(), BTreeMap::new());
        followed(&mut list, Update { version: 0, is_full: true, hosts: known });
        for (source, hosts) in order {
            followed(&mut list, restarted.apply(source, full(&hosts)));
            followed(&mut expected, fresh.apply(source, full(&hosts)));
        }
        prop_assert_eq!(list, expected);
        prop_assert_eq!(restarted.saved_count(), 0);
    }

    /// Where discovery confirms the known list, a restarted node has what one has that heard the list from
    /// discovery itself.
    #[test]
    fn a_confirmed_list_is_discoverys_own(
        known in hosts(), registered in hosts(), changed in hosts(), is_first in any::<bool>()
    ) {
        let mut restarted = started(false, &known);
        let mut ran_on = MergedList::default();
        let (mut list, mut expected) = (BTreeMap::new(), BTreeMap::new());
        followed(&mut list, Update { version: 0, is_full: true, hosts: known.clone() });
        followed(&mut expected, ran_on.apply(Discovery, full(&known)));
        let mut order: Vec<(Source, Update)> = vec![(Registrations, full(&registered))];
        order.insert(usize::from(is_first), (Discovery, changes(&changed)));
        for (source, update) in order {
            followed(&mut list, restarted.apply(source, update.clone()));
            followed(&mut expected, ran_on.apply(source, update));
        }
        prop_assert_eq!(list, expected);
    }
}
