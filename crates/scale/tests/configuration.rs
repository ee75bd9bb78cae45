//! The hard cases of configuration in versions, on whole fleets in virtual time.

use glenwood_configuration::feed::Settings;
use glenwood_configuration::replica::Offer;
use glenwood_configuration::{Body, Scope, Version};
use glenwood_scale::scenario::configuration::{Fleet, REGIONS, RELAYS};
use glenwood_scale::target;

const TENANTS: usize = 600;

/// In force everywhere within this, in milliseconds.
fn budget() -> u64 {
    target::budget("a change is in force everywhere within") as u64 * 1_000
}

fn fleet(nodes: usize, settings: Settings, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(nodes, TENANTS, settings, seed);
    fleet.start(300);
    fleet.network.run(1_000);
    fleet.pushed.clear();
    fleet
}

/// What every fleet must have come to.
fn check(fleet: &Fleet, what: &str) {
    assert_eq!(fleet.violations(), [] as [String; 0], "{what}");
    assert!(fleet.agrees(), "{what}: every node holds what its scope includes");
}

fn slowest(fleet: &Fleet) -> u64 {
    fleet.times_in_force().last().copied().unwrap_or(u64::MAX)
}

#[test]
fn changes_are_in_force_everywhere_in_time_though_a_tenth_of_all_messages_is_lost() {
    for seed in 1..=3 {
        let mut fleet = fleet(130, Settings::default(), seed);
        fleet.network.link.loss = 0.1;
        fleet.network.link.duplicated = 0.02;
        for number in 0..30 {
            fleet.push(number * 7, 9.0);
            fleet.network.run(700);
        }
        assert!(fleet.settle(30_000).is_some(), "seed {seed}: {} lag", fleet.lagging());
        assert!(slowest(&fleet) <= budget(), "seed {seed}: {} ms", slowest(&fleet));
        check(&fleet, &format!("seed {seed}"));
    }
}

#[test]
fn a_relay_that_is_killed_as_it_hands_on_holds_nothing_up() {
    for moment in [0, 1, 2, 3, 5, 8] {
        let mut fleet = fleet(130, Settings::default(), moment + 1);
        for relay in 0..RELAYS {
            fleet.push(relay, 9.0 + moment as f64);
            fleet.network.run(moment);
            fleet.network.kill(1 + relay);
            assert!(
                fleet.settle(20_000).is_some(),
                "relay {relay} after {moment} ms: {} lag",
                fleet.lagging()
            );
            fleet.start_relay(relay);
            fleet.network.run(3_000);
        }
        assert!(slowest(&fleet) <= budget(), "after {moment} ms: {} ms", slowest(&fleet));
        check(&fleet, "relays killed");
    }
}

/// Relays that their nodes still hear, but that hear nothing of the source, are left for others.
#[test]
fn a_relay_that_is_cut_off_from_the_source_alone_is_left_for_another() {
    let mut fleet = fleet(65, Settings::default(), 9);
    let near: Vec<usize> = (1..=RELAYS).filter(|relay| fleet.region(*relay) == 1).collect();
    near.iter().for_each(|relay| fleet.network.sever(0, *relay, true));
    fleet.push(5, 9.0);
    let took = fleet.settle(30_000).expect("all have it");
    assert!(took <= budget(), "{took} ms");
    near.iter().for_each(|relay| fleet.network.sever(0, *relay, false));
    fleet.push(6, 9.0);
    assert!(fleet.settle(20_000).is_some());
    check(&fleet, "relays cut off from the source");
}

/// A region is cut off for an hour and misses 75 changes; then it is back at once.
fn region_back(max_log_changes: usize) -> Fleet {
    let mut fleet = fleet(130, Settings { max_log_changes, ..Settings::default() }, 4);
    let lost: Vec<usize> = (1..fleet.network.len()).filter(|n| fleet.region(*n) == REGIONS - 1).collect();
    fleet.network.partition(1, lost.iter().copied());
    for number in 0..75 {
        fleet.push(number, 8.0);
        fleet.network.run(48_000);
    }
    let cut_off = lost.len() - lost.iter().filter(|n| **n <= RELAYS).count();
    assert_eq!(fleet.lagging(), cut_off, "the others have all of it, the region none");
    let node = (0..fleet.nodes).find(|node| lost.contains(&fleet.node(*node))).expect("one is cut off");
    let replica = &fleet.hollow(node).expect("it runs").replica;
    assert_eq!(replica.version_in_force(), Some(Version { epoch: 1, number: 0 }), "it runs on what it had");
    assert!(replica.age_ms(fleet.network.now).is_some_and(|age| age > 3_500_000), "and says how old that is");
    fleet.network.partition(0, lost);
    let took = fleet.settle(30_000).expect("all have it");
    assert!(took <= budget(), "{took} ms after the return");
    check(&fleet, "a region back");
    fleet
}

#[test]
fn a_region_that_was_cut_off_for_an_hour_catches_up_by_changes() {
    region_back(2_000);
}

#[test]
fn a_region_that_was_cut_off_longer_than_the_log_reaches_catches_up_by_a_snapshot() {
    region_back(20);
}

/// One node in twenty turns one change down; the fault is its own, and the change is mended later.
#[test]
fn a_version_that_some_nodes_turn_down_is_never_in_force_there() {
    fn too_large(offer: &Offer) -> bool {
        offer
            .changes
            .values()
            .flatten()
            .any(|entry| matches!(&entry.body, Body::Tenant(t) if t.quota_per_s > 600.0))
    }
    let mut fleet = fleet(100, Settings::default(), 5);
    let strict: Vec<usize> = (0..100).step_by(20).collect();
    strict.iter().for_each(|node| fleet.start_node(*node, too_large));
    assert!(fleet.settle(20_000).is_some());
    // Each service has a tenant that is too large, so that every node is offered one.
    for number in 0..target::size("services") as usize {
        fleet.push(number, 666.0);
    }
    fleet.network.run(15_000);
    assert_eq!(fleet.lagging(), strict.len(), "only those that turned it down stay behind");
    let summary = fleet.with_source(|source| source.summary()).expect("it runs");
    assert_eq!(summary.rejections.len(), strict.len(), "the source knows them: {summary:?}");
    for number in 0..target::size("services") as usize {
        fleet.push(number, 6.0);
    }
    assert!(fleet.settle(20_000).is_some(), "{} lag", fleet.lagging());
    check(&fleet, "mended");
}

#[test]
fn a_source_that_comes_back_with_an_older_log_leads_nobody_backwards() {
    let mut fleet = fleet(60, Settings::default(), 6);
    for number in 0..10 {
        fleet.push(number, 7.0);
    }
    assert!(fleet.settle(20_000).is_some());
    let later = fleet.head().version;
    fleet.start_source(300);
    fleet.network.run(20_000);
    let kept = |fleet: &Fleet| {
        (0..60).filter_map(|n| fleet.hollow(n)).all(|n| n.replica.version_in_force() == Some(later))
    };
    assert!(kept(&fleet), "every node keeps what it had");
    let refused = fleet.with_source(|source| source.push(Vec::new(), None)).expect("it runs");
    assert!(refused.is_err_and(|refused| refused.to_string().contains("older log")));
    fleet.with_source(|source| source.begin_epoch());
    assert!(fleet.settle(20_000).is_some(), "by an operator's word: {} lag", fleet.lagging());
    check(&fleet, "a new epoch");
}

/// All nodes come back within a second: they are served, and no publisher sends faster than it is set to.
#[test]
fn very_many_that_come_back_at_once_are_spread() {
    let settings = Settings { max_entries_per_s: 20_000, ..Settings::default() };
    let mut fleet = fleet(1_300, settings, 7);
    fleet.network.reset_traffic();
    let began = fleet.network.now;
    for node in 0..1_300 {
        fleet.start_node(node, |_| false);
        if node % 65 == 0 {
            fleet.network.run(50);
        }
    }
    let before: Vec<u64> = (1..=RELAYS).map(|relay| fleet.network.traffic(relay).sent_bytes).collect();
    fleet.network.run(1_000);
    for relay in 1..=RELAYS {
        let sent = fleet.network.traffic(relay).sent_bytes - before[relay - 1];
        // An entry is about 130 bytes as it goes out; signs of life come on top.
        assert!(sent < 20_000 * 200, "relay {relay} sent {sent} bytes in a second");
    }
    assert!(fleet.settle(30_000).is_some(), "{} lag", fleet.lagging());
    let took = fleet.network.now - began;
    assert!(took <= budget(), "{took} ms");
    check(&fleet, "all back");
}

#[test]
fn faults_of_all_kinds_at_once_break_nothing() {
    for seed in 0..20 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut fleet = fleet(40, Settings { max_log_changes: 15, ..Settings::default() }, seed);
        fleet.network.link.loss = 0.05 * random.f64();
        fleet.network.link.duplicated = 0.05;
        fleet.network.link.delay = 1..=random.u64(5..200);
        for _ in 0..60 {
            match random.u32(0..10) {
                0..4 => drop(fleet.push(random.usize(0..TENANTS), random.u32(1..100).into())),
                4 => drop(fleet.network.kill(1 + random.usize(0..RELAYS))),
                5 | 6 => fleet.start_relay(random.usize(0..RELAYS)),
                7 => fleet.start_node(random.usize(0..40), |_| false),
                8 => {
                    let numbers = (1..fleet.network.len()).filter(|_| random.bool());
                    let numbers: Vec<usize> = numbers.collect();
                    fleet.network.partition(1, numbers);
                }
                _ => fleet.network.partition(0, 0..fleet.network.len()),
            }
            fleet.network.run(random.u64(1..1_500));
        }
        fleet.network.partition(0, 0..fleet.network.len());
        (0..RELAYS).for_each(|relay| {
            if fleet.network.get(1 + relay).is_none() {
                fleet.start_relay(relay);
            }
        });
        assert!(fleet.settle(60_000).is_some(), "seed {seed}: {} lag", fleet.lagging());
        check(&fleet, &format!("seed {seed}"));
    }
}

#[test]
fn a_change_outside_a_nodes_scope_tells_it_the_version_and_no_more() {
    let mut fleet = fleet(40, Settings::default(), 8);
    fleet.network.reset_traffic();
    let before = fleet.network.traffic(fleet.node(0)).received_bytes;
    let version = fleet.push(3, 9.0);
    assert!(fleet.settle(5_000).is_some());
    let received = fleet.network.traffic(fleet.node(0)).received_bytes - before;
    assert!(received < 2_000, "{received} bytes for one change");
    assert_eq!(fleet.hollow(0).expect("it runs").replica.version_in_force(), Some(version));
    assert_ne!(fleet.hollow(0).expect("it runs").replica.resources(), &Default::default());
    let _ = Scope::All;
}
