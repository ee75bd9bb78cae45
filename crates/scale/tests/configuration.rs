//! Failure cases of versioned configuration, with whole fleets in virtual time.

use glenwood_configuration::feed::Settings;
use glenwood_configuration::replica::Offer;
use glenwood_configuration::{Body, Scope, Version};
use glenwood_scale::scenario::configuration::{Fleet, REGIONS, RELAYS};
use glenwood_scale::target;

const TENANTS: usize = 600;

/// Time within which a change must be in force everywhere, in milliseconds.
fn budget() -> u64 {
    target::budget("a change is in force everywhere within") as u64 * 1_000
}

fn fleet(nodes: usize, settings: Settings, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(nodes, TENANTS, settings, seed);
    fleet.start(300);
    fleet.network.run(1_000);
    fleet.pushed_at.clear();
    fleet
}

/// Checks the invariants, and that every node has the resources of its scope.
fn check(fleet: &Fleet, what: &str) {
    assert_eq!(fleet.violations(), [] as [String; 0], "{what}");
    assert!(fleet.matches_source(), "{what}: a node does not have exactly the resources of its scope");
}

fn max_time_in_force(fleet: &Fleet) -> u64 {
    fleet.times_in_force().last().copied().unwrap_or(u64::MAX)
}

#[test]
fn changes_are_in_force_everywhere_in_time_though_a_tenth_of_all_messages_is_lost() {
    for seed in 1..=3 {
        let mut fleet = fleet(130, Settings::default(), seed);
        fleet.network.link.loss_rate = 0.1;
        fleet.network.link.duplicate_rate = 0.02;
        for number in 0..30 {
            fleet.push(number * 7, 9.0);
            fleet.network.run(700);
        }
        assert!(fleet.settle(30_000).is_some(), "seed {seed}: {} nodes lag", fleet.lagging());
        assert!(max_time_in_force(&fleet) <= budget(), "seed {seed}: {} ms", max_time_in_force(&fleet));
        check(&fleet, &format!("seed {seed}"));
    }
}

#[test]
fn a_relay_killed_while_it_forwards_a_change_delays_no_node_beyond_the_budget() {
    for delay_after_push_ms in [0, 1, 2, 3, 5, 8] {
        let mut fleet = fleet(130, Settings::default(), delay_after_push_ms + 1);
        for relay in 0..RELAYS {
            fleet.push(relay, 9.0 + delay_after_push_ms as f64);
            fleet.network.run(delay_after_push_ms);
            fleet.network.kill(1 + relay);
            assert!(
                fleet.settle(20_000).is_some(),
                "relay {relay} after {delay_after_push_ms} ms: {} nodes lag",
                fleet.lagging()
            );
            fleet.start_relay(relay);
            fleet.network.run(3_000);
        }
        assert!(
            max_time_in_force(&fleet) <= budget(),
            "after {delay_after_push_ms} ms: {} ms",
            max_time_in_force(&fleet)
        );
        check(&fleet, "relays killed");
    }
}

/// Guards against nodes that stay with a relay which is reachable for them but cut off from the source: they
/// must move to another relay.
#[test]
fn a_relay_that_is_cut_off_from_the_source_alone_is_left_for_another() {
    let mut fleet = fleet(65, Settings::default(), 9);
    let region_relays: Vec<usize> = (1..=RELAYS).filter(|relay| fleet.region(*relay) == 1).collect();
    region_relays.iter().for_each(|relay| fleet.network.set_link_down(0, *relay, true));
    fleet.push(5, 9.0);
    let settle_time = fleet.settle(30_000).expect("all nodes have the change");
    assert!(settle_time <= budget(), "{settle_time} ms");
    region_relays.iter().for_each(|relay| fleet.network.set_link_down(0, *relay, false));
    fleet.push(6, 9.0);
    assert!(fleet.settle(20_000).is_some());
    check(&fleet, "relays cut off from the source");
}

/// Cuts a region off for an hour, in which it misses 75 changes, and reconnects it.
fn reconnect_region(max_log_changes: usize) -> Fleet {
    let mut fleet = fleet(130, Settings { max_log_changes, ..Settings::default() }, 4);
    let cut_off_region: Vec<usize> =
        (1..fleet.network.len()).filter(|n| fleet.region(*n) == REGIONS - 1).collect();
    fleet.network.partition(1, cut_off_region.iter().copied());
    for number in 0..75 {
        fleet.push(number, 8.0);
        fleet.network.run(48_000);
    }
    let cut_off_nodes = cut_off_region.len() - cut_off_region.iter().filter(|n| **n <= RELAYS).count();
    assert_eq!(fleet.lagging(), cut_off_nodes, "only the nodes of the region lag behind");
    let node = (0..fleet.nodes)
        .find(|node| cut_off_region.contains(&fleet.node_index(*node)))
        .expect("a node is cut off");
    let replica = &fleet.running_node(node).expect("the node is running").replica;
    assert_eq!(
        replica.version_in_force(),
        Some(Version { epoch: 1, number: 0 }),
        "the node keeps the version it had"
    );
    assert!(
        replica.age_ms(fleet.network.now).is_some_and(|age| age > 3_500_000),
        "the node reports the age of its version"
    );
    fleet.network.partition(0, cut_off_region);
    let settle_time = fleet.settle(30_000).expect("all nodes have the change");
    assert!(settle_time <= budget(), "{settle_time} ms after the region is reconnected");
    check(&fleet, "region reconnected");
    fleet
}

#[test]
fn a_region_that_was_cut_off_for_an_hour_catches_up_by_changes() {
    reconnect_region(2_000);
}

#[test]
fn a_region_that_was_cut_off_longer_than_the_log_reaches_catches_up_by_a_snapshot() {
    reconnect_region(20);
}

/// One node in twenty rejects a change because of a limit of its own; a later change replaces it.
#[test]
fn a_version_that_some_nodes_reject_is_never_in_force_there() {
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
    // Each service has a tenant above the limit, so that every node is offered one.
    for number in 0..target::size("services") as usize {
        fleet.push(number, 666.0);
    }
    fleet.network.run(15_000);
    assert_eq!(fleet.lagging(), strict.len(), "only the nodes that rejected the change lag behind");
    let summary = fleet.with_source(|source| source.summary()).expect("the source is running");
    assert_eq!(summary.rejections.len(), strict.len(), "the source knows all rejections: {summary:?}");
    for number in 0..target::size("services") as usize {
        fleet.push(number, 6.0);
    }
    assert!(fleet.settle(20_000).is_some(), "{} nodes lag", fleet.lagging());
    check(&fleet, "rejected change replaced");
}

#[test]
fn a_source_that_restarts_with_an_older_log_moves_no_node_back() {
    let mut fleet = fleet(60, Settings::default(), 6);
    for number in 0..10 {
        fleet.push(number, 7.0);
    }
    assert!(fleet.settle(20_000).is_some());
    let later_version = fleet.head().version;
    fleet.start_source(300);
    fleet.network.run(20_000);
    let all_keep_later_version = |fleet: &Fleet| {
        (0..60)
            .filter_map(|n| fleet.running_node(n))
            .all(|n| n.replica.version_in_force() == Some(later_version))
    };
    assert!(all_keep_later_version(&fleet), "every node keeps its version");
    let rejection = fleet.with_source(|source| source.push(Vec::new(), None)).expect("the source is running");
    assert!(rejection.is_err_and(|rejection| rejection.to_string().contains("older log")));
    fleet.with_source(|source| source.begin_epoch());
    assert!(
        fleet.settle(20_000).is_some(),
        "after the operator starts a new epoch: {} nodes lag",
        fleet.lagging()
    );
    check(&fleet, "a new epoch");
}

/// All nodes restart within a second: they must all be served, and no publisher may exceed its rate limit.
#[test]
fn a_restart_of_all_nodes_at_once_stays_within_the_rate_limit() {
    let settings = Settings { max_entries_per_s: 20_000, ..Settings::default() };
    let mut fleet = fleet(1_300, settings, 7);
    fleet.network.reset_traffic();
    let started_at = fleet.network.now;
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
        // An entry takes about 130 bytes on the network; heartbeats are additional.
        assert!(sent < 20_000 * 200, "relay {relay} sent {sent} bytes in a second");
    }
    assert!(fleet.settle(30_000).is_some(), "{} nodes lag", fleet.lagging());
    let settle_time = fleet.network.now - started_at;
    assert!(settle_time <= budget(), "{settle_time} ms");
    check(&fleet, "all nodes restarted");
}

#[test]
fn faults_of_all_kinds_together_violate_no_invariant() {
    for seed in 0..20 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut fleet = fleet(40, Settings { max_log_changes: 15, ..Settings::default() }, seed);
        fleet.network.link.loss_rate = 0.05 * rng.f64();
        fleet.network.link.duplicate_rate = 0.05;
        fleet.network.link.delay_ms = 1..=rng.u64(5..200);
        for _ in 0..60 {
            match rng.u32(0..10) {
                0..4 => drop(fleet.push(rng.usize(0..TENANTS), rng.u32(1..100).into())),
                4 => drop(fleet.network.kill(1 + rng.usize(0..RELAYS))),
                5 | 6 => fleet.start_relay(rng.usize(0..RELAYS)),
                7 => fleet.start_node(rng.usize(0..40), |_| false),
                8 => {
                    let numbers = (1..fleet.network.len()).filter(|_| rng.bool());
                    let numbers: Vec<usize> = numbers.collect();
                    fleet.network.partition(1, numbers);
                }
                _ => fleet.network.partition(0, 0..fleet.network.len()),
            }
            fleet.network.run(rng.u64(1..1_500));
        }
        fleet.network.partition(0, 0..fleet.network.len());
        (0..RELAYS).for_each(|relay| {
            if fleet.network.get(1 + relay).is_none() {
                fleet.start_relay(relay);
            }
        });
        assert!(fleet.settle(60_000).is_some(), "seed {seed}: {} nodes lag", fleet.lagging());
        check(&fleet, &format!("seed {seed}"));
    }
}

#[test]
fn a_change_outside_a_nodes_scope_tells_it_the_version_and_no_more() {
    let mut fleet = fleet(40, Settings::default(), 8);
    fleet.network.reset_traffic();
    let before = fleet.network.traffic(fleet.node_index(0)).received_bytes;
    let version = fleet.push(3, 9.0);
    assert!(fleet.settle(5_000).is_some());
    let received = fleet.network.traffic(fleet.node_index(0)).received_bytes - before;
    assert!(received < 2_000, "{received} bytes for one change");
    assert_eq!(fleet.running_node(0).expect("the node is running").replica.version_in_force(), Some(version));
    assert_ne!(fleet.running_node(0).expect("the node is running").replica.resources(), &Default::default());
    let _ = Scope::All;
}
