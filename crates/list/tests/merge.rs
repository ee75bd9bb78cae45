//! One list out of two sources.

use std::collections::{BTreeMap, BTreeSet};

use glenwood_list::Source::{Discovery, Registrations};
use glenwood_list::{Dial, Health, Host, Merge, Protocol, Source, Update};
use proptest::collection::vec;
use proptest::prelude::*;

fn host(name: &str, port: u16, born_ms: f64, health: Health) -> Host {
    let dial = Dial { address: ([127, 0, 0, 1], port).into(), protocol: Protocol::Http1 };
    Host { born_ms, health, ..Host::active(name, dial) }
}

fn up(name: &str, born_ms: f64) -> Host {
    host(name, 1, born_ms, Health::Active)
}

fn left(name: &str) -> Host {
    up(name, 0.0).left()
}

fn line(whole: bool, hosts: &[Host]) -> Update {
    Update { version: 1, whole, hosts: hosts.to_vec() }
}

/// Says something, and gives what changed as name, health, birth.
fn say(merge: &mut Merge, source: Source, whole: bool, hosts: &[Host]) -> Vec<(String, Health, f64)> {
    let said = merge.take(source, line(whole, hosts));
    assert_eq!(said.whole, whole && source == Discovery);
    said.hosts.into_iter().map(|h| (h.host, h.health, h.born_ms)).collect()
}

fn one(name: &str, health: Health, born: f64) -> Vec<(String, Health, f64)> {
    vec![(name.to_string(), health, born)]
}

#[test]
fn servers_of_one_source_alone_stay_when_the_other_gives_its_whole_list() {
    let mut merge = Merge::default();
    assert_eq!(say(&mut merge, Registrations, true, &[up("r", 5.0)]), one("r", Health::Active, 5.0));
    let both = [("d".to_string(), Health::Active, 0.0), ("r".to_string(), Health::Active, 5.0)];
    assert_eq!(say(&mut merge, Discovery, true, &[up("d", 0.0)]), both);
    // And the other way round: no change.
    assert_eq!(say(&mut merge, Registrations, true, &[up("r", 5.0)]), []);
}

/// The slower source still lists a server whose registration has ended: it is gone, and stays gone while that source
/// repeats itself.
#[test]
fn a_departure_holds_against_a_source_that_is_late() {
    let mut merge = Merge::default();
    say(&mut merge, Discovery, true, &[up("a", 5.0)]);
    assert_eq!(say(&mut merge, Registrations, true, &[up("a", 5.0)]), []);
    assert_eq!(say(&mut merge, Registrations, false, &[left("a")]), one("a", Health::Left, 5.0));
    assert_eq!(say(&mut merge, Discovery, false, &[up("a", 5.0)]), []);
    assert_eq!(say(&mut merge, Discovery, true, &[up("a", 5.0)]), [], "the whole list is without it");
    // Its new registration brings it back, with the birth that it had: the same process.
    assert_eq!(say(&mut merge, Registrations, false, &[up("a", 5.0)]), one("a", Health::Active, 5.0));
}

#[test]
fn a_later_birth_in_the_other_source_brings_a_server_back() {
    let mut merge = Merge::default();
    say(&mut merge, Discovery, true, &[up("a", 5.0)]);
    say(&mut merge, Registrations, true, &[up("a", 5.0)]);
    say(&mut merge, Registrations, false, &[left("a")]);
    assert_eq!(say(&mut merge, Discovery, false, &[up("a", 5.0)]), []);
    assert_eq!(say(&mut merge, Discovery, false, &[up("a", 6.0)]), one("a", Health::Active, 6.0));
}

#[test]
fn discoverys_departure_holds_against_a_registration_that_still_stands() {
    let mut merge = Merge::default();
    say(&mut merge, Discovery, true, &[up("a", 5.0)]);
    say(&mut merge, Registrations, true, &[up("a", 5.0)]);
    assert_eq!(say(&mut merge, Discovery, true, &[]), []);
    assert!(merge.is_empty());
    assert_eq!(say(&mut merge, Registrations, false, &[up("a", 5.0)]), []);
    assert_eq!(say(&mut merge, Registrations, false, &[up("a", 9.0)]), one("a", Health::Active, 9.0));
}

#[test]
fn a_drain_holds_whoever_says_it_and_the_own_word_on_the_rest() {
    let mut merge = Merge::default();
    say(&mut merge, Discovery, true, &[host("a", 1, 5.0, Health::Active)]);
    let moved = merge.take(Registrations, line(false, &[host("a", 2, 5.0, Health::Active)]));
    assert_eq!(moved.hosts[0].dial.expect("it has one").address.port(), 2);
    let drained = say(&mut merge, Discovery, false, &[host("a", 1, 5.0, Health::Leaving)]);
    assert_eq!(drained, one("a", Health::Leaving, 5.0));
    // The registration is of a later birth, and the drain still holds until discovery takes it back.
    let later = say(&mut merge, Registrations, false, &[host("a", 2, 6.0, Health::Active)]);
    assert_eq!(later, one("a", Health::Leaving, 6.0));
    let back = say(&mut merge, Discovery, false, &[host("a", 1, 5.0, Health::Active)]);
    assert_eq!(back, one("a", Health::Active, 6.0));
    // A registration that is older than the process which discovery knows does not say where that one is.
    let older = merge.take(Discovery, line(false, &[host("a", 1, 7.0, Health::Active)]));
    assert_eq!(older.hosts[0].dial.expect("it has one").address.port(), 1);
}

#[test]
fn entries_are_read_as_they_are_written() {
    let text = r#"{"host":"a","dial":"msgpack-rpc://127.0.0.1:9","site":"z","class":"m1","block":3,"health":"leaving",
                   "share":2.5,"born_ms":7.0}"#;
    let read: Host = serde_json::from_str(text).expect("an entry");
    let written = serde_json::to_string(&read).expect("it can be written");
    assert_eq!(serde_json::from_str::<Host>(&written).expect("an entry"), read);
    assert_eq!(read.dial.expect("it has one").to_string(), "msgpack-rpc://127.0.0.1:9");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Whoever follows what is said has the list that one would make anew; nobody is in it whom no source has, and
    /// nobody whom one drains is in service.
    #[test]
    fn what_is_said_adds_up(steps in vec((0..2usize, any::<bool>(), vec((0..5u8, 0..3u8, 0..3u8), 0..4)), 1..40)) {
        let mut merge = Merge::default();
        let mut follows: BTreeMap<String, Host> = BTreeMap::new();
        let mut sources: [BTreeMap<String, Host>; 2] = Default::default();
        // Who was in both at once, since when it was in one at all.
        let mut both: BTreeSet<String> = BTreeSet::new();
        for (slot, whole, hosts) in steps {
            let source = [Discovery, Registrations][slot];
            let mut hosts: Vec<Host> = hosts
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
            let said = merge.take(source, line(whole, &hosts));
            if said.whole {
                follows.clear();
            }
            for h in said.hosts {
                match h.health {
                    Health::Left => drop(follows.remove(&h.host)),
                    _ => drop(follows.insert(h.host.clone(), h)),
                }
            }
            prop_assert_eq!(follows.len(), merge.len());
            for (name, h) in &follows {
                let words: Vec<&Host> = sources.iter().filter_map(|s| s.get(name)).collect();
                prop_assert!(!words.is_empty());
                prop_assert_eq!(Some(h.health), words.iter().map(|w| w.health).max());
            }
            both.extend(sources[0].keys().filter(|n| sources[1].contains_key(*n)).cloned());
            both.retain(|n| sources.iter().any(|s| s.contains_key(n)));
            // One that only one source ever had is there while that has it.
            for (name, h) in &sources[slot] {
                prop_assert!(both.contains(name) || follows.get(name) == Some(h), "{} is missing", name);
            }
        }
    }
}
