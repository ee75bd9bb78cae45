//! How costs grow with the size, by allocations, messages and bytes: these counts are the same on every
//! machine, unlike times.

use glenwood_scale::report::Report;
use glenwood_scale::scenario::{configuration, decisions, list, members, settings};

/// Limit of the ratio between the largest and the smallest size for a cost that must not depend on the size.
const MAX_RATIO_CONSTANT: f64 = 1.6;
/// Limit of the ratio for a linear cost at sixteen times the size. Both sizes are just below a power of two,
/// where vectors grow.
const MAX_RATIO_LINEAR: f64 = 17.0;

fn value(report: &Report, scenario: &str, size: usize, quantity: &str) -> f64 {
    report.value(scenario, size as u64, quantity).expect("measured quantity")
}

#[test]
fn settings_are_read_in_linear_time_and_memory() {
    let mut report = Report::default();
    settings::run(&mut report, &[1_000, 16_000]);
    for quantity in ["read allocations", "kept MB", "peak of one that follows MB"] {
        let of = |size| value(&report, settings::NAME, size, quantity);
        assert!(of(16_000) <= MAX_RATIO_LINEAR * of(1_000), "{quantity}: {} and {}", of(1_000), of(16_000));
    }
}

#[test]
fn one_server_that_changes_costs_the_same_in_a_list_of_any_size() {
    let mut report = Report::default();
    list::run(&mut report, &[23, 13_000]);
    let of = |size| value(&report, list::NAME, size, "change: allocations");
    assert!(of(13_000) <= MAX_RATIO_CONSTANT * of(23), "{} and {}", of(23), of(13_000));
}

#[test]
fn a_decision_allocates_the_same_before_any_number_of_servers() {
    let mut report = Report::default();
    decisions::by_servers(&mut report, &[12, 1_000]);
    let of = |size| value(&report, decisions::BY_SERVERS, size, "allocations a request");
    assert!(of(1_000) <= MAX_RATIO_CONSTANT * of(12), "{} and {}", of(12), of(1_000));
}

#[test]
fn no_request_waits_at_an_idle_node_where_few_enough_nodes_share_a_service() {
    let mut report = Report::default();
    decisions::idle_wait(&mut report, &[80, 160]);
    for nodes in [80, 160] {
        assert!(value(&report, decisions::IDLE_WAIT, nodes, "wait p99 ms") <= 0.0);
        assert!(value(&report, decisions::IDLE_WAIT, nodes, "requests refused %") <= 0.0);
    }
}

#[test]
fn the_traffic_of_a_member_does_not_depend_on_the_number_of_members() {
    let bytes = |nodes: usize| {
        let (mut network, _) = members::start_joined(nodes, 1, members::PROBE_INTERVAL_MS);
        network.run(30_000);
        network.reset_traffic();
        network.run(5_000);
        (0..nodes).map(|n| network.traffic(n).sent_bytes).sum::<u64>() as f64 / nodes as f64
    };
    let (few, many) = (bytes(30), bytes(120));
    assert!(many <= MAX_RATIO_CONSTANT * few, "{few} and {many}");
}

#[test]
fn one_change_of_configuration_costs_a_replica_the_same_among_any_number_of_tenants() {
    let cost = |tenants: usize| {
        let mut report = Report::default();
        configuration::by_tenants(&mut report, tenants);
        let of = |quantity| value(&report, configuration::BY_TENANTS, tenants, quantity);
        (of("replica: allocations a change"), of("replica: bytes a change"))
    };
    let (few, many) = (cost(10), cost(10_000));
    assert!(many.0 <= MAX_RATIO_CONSTANT * few.0, "allocations: {} and {}", few.0, many.0);
    assert!(many.1 <= MAX_RATIO_CONSTANT * few.1 && many.1 < 2_000.0, "bytes: {} and {}", few.1, many.1);
}
