//! Tests of shared allowances in virtual time: loss, partitions, restarts, wrong clocks and joins.

mod common;
use common::*;

/// Time until votes and rights have settled: `instance_timeout_ms` (two windows) and two more windows, in milliseconds.
const SETTLE_MS: u64 = 4 * WINDOW_MS;

fn settled(instances: usize, allowances: &[u32], seed: u64) -> Fleet {
    let mut fleet = Fleet::new(instances, allowances, seed);
    fleet.run(SETTLE_MS, &[], any_instance(instances));
    fleet
}

#[test]
fn a_tenant_with_requests_at_all_instances_gets_its_allowance_once() {
    let mut fleet = settled(4, &[1000], 1);
    fleet.run(10 * WINDOW_MS, &[800.0], any_instance(4));
    assert_eq!(fleet.overshoot(), 0.0);
    assert!(fleet.used(0, 10) > 0.99, "{}", fleet.used(0, 10));
}

#[test]
fn a_tenant_at_one_instance_gets_its_full_allowance() {
    for n in [2, 4, 10] {
        let mut fleet = settled(n, &[1000], 2);
        fleet.run(2 * WINDOW_MS, &[400.0], |_, _| 0);
        fleet.reset_counts();
        fleet.run(10 * WINDOW_MS, &[400.0], |_, _| 0);
        assert_eq!(fleet.overshoot(), 0.0);
        assert!(fleet.used(0, 10) > 0.97, "{n}: {}", fleet.used(0, 10));
    }
}

#[test]
fn rights_for_a_window_are_transferred_before_it_begins() {
    let mut fleet = settled(4, &[1000], 2);
    fleet.run(2 * WINDOW_MS, &[400.0], |_, _| 0);
    let elapsed = fleet.now % WINDOW_MS;
    fleet.run(WINDOW_MS - elapsed + 20, &[400.0], |_, _| 0);
    let share = fleet.usage(0).key_usage(0);
    assert!(share.spent + share.held > 900, "more than its own part of 250: {share:?}");
}

#[test]
fn transfers_in_lost_datagrams_arrive_with_later_ones() {
    let mut fleet = settled(2, &[1000], 2);
    let elapsed = fleet.now % WINDOW_MS;
    fleet.run(WINDOW_MS - elapsed + 20, &[], |_, _| 0);
    fleet.muted[1] = true;
    fleet.run(2000, &[2000.0], |_, _| 0);
    assert_eq!(fleet.usage(1).key_usage(0).held, 0, "it has transferred all of its rights");
    let share = fleet.usage(0).key_usage(0);
    assert_eq!(share.spent + share.held, 500, "the transfers were lost");
    fleet.muted[1] = false;
    fleet.run(300, &[2000.0], |_, _| 0);
    let share = fleet.usage(0).key_usage(0);
    assert_eq!(share.spent + share.held, 1000);
}

#[test]
fn a_tenant_that_changes_instance_with_each_request_gets_its_full_allowance() {
    let mut fleet = settled(4, &[1000], 3);
    let mut next = 0;
    fleet.run(10 * WINDOW_MS, &[300.0], move |_, _| {
        next += 1;
        next % 4
    });
    assert_eq!(fleet.overshoot(), 0.0);
    assert!(fleet.used(0, 10) > 0.97, "{}", fleet.used(0, 10));
}

#[test]
fn loss_delay_duplication_and_reordering_never_exceed_the_allowance() {
    for (loss, delay) in [(0.0, (1, 5)), (0.3, (1, 50)), (0.5, (1, 100)), (0.3, (500, 3000)), (0.9, (1, 5))] {
        let mut fleet = Fleet::new(4, &[1000, 37, 3], 4);
        fleet.link = Link { loss, delay, duplication: 0.3 };
        fleet.run(SETTLE_MS, &[], any_instance(4));
        fleet.run(
            12 * WINDOW_MS,
            &[500.0, 20.0, 10.0],
            |random, key| {
                if key == 0 {
                    0
                } else {
                    random.below(4) as usize
                }
            },
        );
        assert_eq!(fleet.overshoot(), 0.0, "{loss} {delay:?}");
        let used = fleet.used(0, 12);
        let least = if loss < 0.6 && delay.1 < 1000 { 0.9 } else { 0.2 };
        assert!(used > least, "{loss} {delay:?}: {used}");
    }
}

#[test]
fn equal_partition_halves_keep_their_parts_and_share_again_after_healing() {
    let mut fleet = settled(4, &[1000], 5);
    fleet.run(2 * WINDOW_MS, &[400.0], any_instance(4));
    fleet.side = vec![0, 0, 1, 1];
    fleet.reset_counts();
    fleet.run(60_000, &[400.0], |random, _| 2 * random.below(2) as usize);
    assert_eq!(fleet.overshoot(), 0.0);
    assert!(
        fleet.used(0, 12) > 0.95,
        "each half keeps half of the allowance, and one instance of each spends it: {}",
        fleet.used(0, 12)
    );
    fleet.side = vec![0; 4];
    fleet.run(WINDOW_MS, &[400.0], |_, _| 0);
    fleet.reset_counts();
    fleet.run(4 * WINDOW_MS, &[400.0], |_, _| 0);
    assert_eq!(fleet.overshoot(), 0.0);
    assert!(fleet.used(0, 4) > 0.95, "{}", fleet.used(0, 4));
}

#[test]
fn an_isolated_instance_loses_its_part_to_the_others_and_regains_it() {
    let mut fleet = settled(4, &[1000], 6);
    fleet.side = vec![0, 0, 0, 1];
    fleet.run(SETTLE_MS, &[400.0], any_instance(4));
    fleet.reset_counts();
    fleet.run(4 * WINDOW_MS, &[400.0], any_instance(4));
    assert_eq!(fleet.overshoot(), 0.0);
    assert!(!fleet.usage(3).owns_part() && fleet.usage(0).peers()[2].gone);
    assert!(fleet.used(0, 4) > 0.97, "the other three can spend all of it: {}", fleet.used(0, 4));
    // It returns with the rights that it still holds of the previous window.
    fleet.side = vec![0; 4];
    fleet.run(SETTLE_MS, &[400.0], any_instance(4));
    assert!(fleet.usage(3).owns_part() && !fleet.usage(0).peers()[2].gone);
    assert_eq!(fleet.overshoot(), 0.0);
}

#[test]
fn the_part_of_a_stopped_instance_is_divided_after_gone_ms() {
    let mut fleet = settled(3, &[900], 7);
    fleet.stop(2);
    fleet.run(2 * WINDOW_MS - 100, &[400.0], any_instance(2));
    assert!(!fleet.usage(0).peers()[1].gone, "its part is not divided before instance_timeout_ms has passed");
    // It takes instance_timeout_ms, and then the start of the window that the vote is for.
    fleet.run(2 * WINDOW_MS + 200, &[400.0], any_instance(2));
    assert!(fleet.usage(0).peers()[1].gone);
    fleet.reset_counts();
    fleet.run(4 * WINDOW_MS, &[400.0], any_instance(2));
    assert_eq!(fleet.overshoot(), 0.0);
    assert!(fleet.used(0, 4) > 0.97, "{}", fleet.used(0, 4));
}

#[test]
fn a_restart_in_the_middle_of_a_window_neither_loses_nor_doubles_spending() {
    for seed in 0..5 {
        let mut fleet = settled(4, &[1000], 8 + seed);
        for round in 0..6 {
            fleet.run(WINDOW_MS / 2 + 300 * round, &[500.0], any_instance(4));
            fleet.stop((round % 4) as usize);
            fleet.run(700, &[500.0], any_instance(4));
            fleet.start((round % 4) as usize);
        }
        fleet.run(3 * WINDOW_MS, &[500.0], any_instance(4));
        assert_eq!(fleet.overshoot(), 0.0, "{seed}");
        let (served, windows) = (fleet.served[0] as f64, fleet.spent.len() as f64);
        assert!(served > 0.65 * 1000.0 * windows, "{served} in {windows} windows");
    }
}

#[test]
fn a_wrong_clock_after_a_restart_is_corrected_by_the_others() {
    for offset in [-3_600_000, 3_600_000, -(WINDOW_MS as i64), 4000] {
        let mut fleet = settled(4, &[1000], 14);
        fleet.run(2 * WINDOW_MS, &[400.0], any_instance(4));
        fleet.stop(1);
        fleet.clock_offsets[1] = offset;
        fleet.start(1);
        let window_before = fleet.usage(0).window();
        fleet.run(SETTLE_MS, &[400.0], any_instance(4));
        assert_eq!(fleet.usage(1).window(), window_before + SETTLE_MS / WINDOW_MS, "{offset}");
        assert_eq!(fleet.overshoot(), 0.0, "{offset}");
        fleet.reset_counts();
        fleet.run(4 * WINDOW_MS, &[400.0], any_instance(4));
        assert_eq!(fleet.overshoot(), 0.0, "{offset}");
        assert!(fleet.used(0, 4) > 0.97, "{offset}: {}", fleet.used(0, 4));
    }
}

#[test]
fn evenly_divided_clocks_are_not_corrected() {
    for offsets in [vec![0, 3_600_000], vec![0, 3_600_000, 3_600_000, 0]] {
        let count = offsets.len();
        let mut fleet = Fleet::new(count, &[1000], 28);
        fleet.clock_offsets = offsets.clone();
        (0..count).for_each(|instance| fleet.start(instance));
        fleet.run(SETTLE_MS, &[400.0], any_instance(count));
        for (instance, ahead) in offsets.iter().enumerate() {
            let window = fleet.now.saturating_add_signed(*ahead) / WINDOW_MS;
            assert_eq!(fleet.usage(instance).window(), window, "{offsets:?}: {instance}");
            assert!(fleet.usage(instance).owns_part(), "{offsets:?}: {instance}");
        }
        assert_eq!(fleet.overshoot(), 0.0);
    }
}

#[test]
fn small_clock_differences_do_not_exceed_the_allowance() {
    let mut fleet = settled(4, &[1000], 15);
    fleet.clock_offsets = vec![0, 400, -300, 1900];
    fleet.run(10 * WINDOW_MS, &[500.0], any_instance(4));
    assert_eq!(fleet.overshoot(), 0.0);
}

#[test]
fn message_delay_alone_changes_no_clock() {
    let mut fleet = Fleet::new(4, &[1000], 16);
    fleet.link.delay = (3000, 4500);
    fleet.run(8 * WINDOW_MS, &[300.0], any_instance(4));
    let now = fleet.now / WINDOW_MS;
    for n in 0..4 {
        assert_eq!(fleet.usage(n).window(), now, "{n}");
    }
    assert_eq!(fleet.overshoot(), 0.0);
}

#[test]
fn an_instance_that_joins_under_full_load_gets_its_part() {
    let mut fleet = settled(4, &[1000], 17);
    fleet.stop(3);
    fleet.run(SETTLE_MS, &[500.0], any_instance(3));
    fleet.start(3);
    fleet.run(SETTLE_MS, &[500.0], any_instance(4));
    assert_eq!(fleet.overshoot(), 0.0);
    assert!(fleet.usage(3).owns_part());
    fleet.reset_counts();
    fleet.run(4 * WINDOW_MS, &[500.0], |_, _| 3);
    assert!(fleet.used(0, 4) > 0.9, "{}", fleet.used(0, 4));
}

#[test]
fn with_very_many_tenants_only_the_heavy_one_is_shared() {
    let allowances = vec![100; 100_000];
    let mut fleet = Fleet::new(4, &allowances, 18);
    fleet.run(SETTLE_MS, &[], any_instance(4));
    fleet.run(WINDOW_MS, &[100.0], |_, _| 0);
    fleet.reset_counts();
    for second in 0..10u64 {
        fleet.run(1000, &[100.0], |_, _| 0);
        // The other tenants make few requests.
        for n in 0..2000 {
            let key = 1 + (second * 2000 + n) as usize;
            assert!(fleet.ask(n as usize % 4, key, 1), "{key}");
        }
    }
    assert_eq!(fleet.overshoot(), 0.0);
    assert!(fleet.used(0, 2) > 0.97, "{}", fleet.used(0, 2));
    let (shared, slots) = fleet.usage(0).shared_counts();
    assert!(shared <= 4096 && slots <= 1 << 16, "{shared} {slots}");
}

#[test]
fn keys_beyond_the_sharing_limit_keep_their_equal_parts() {
    let mut fleet = Fleet::new(2, &[100; 8], 19);
    for n in 0..2 {
        let mut set = settings(2, n);
        set.max_shared_keys = 3;
        fleet.start_with(n, set);
    }
    fleet.run(SETTLE_MS, &[], any_instance(2));
    fleet.run(WINDOW_MS, &[60.0; 8], |_, _| 0);
    fleet.reset_counts();
    fleet.run(4 * WINDOW_MS, &[60.0; 8], |_, _| 0);
    assert_eq!(fleet.overshoot(), 0.0);
    let used: Vec<f64> = (0..8).map(|key| fleet.used(key, 4)).collect();
    assert_eq!(used.iter().filter(|u| **u > 0.9).count(), 3, "{used:?}");
    assert_eq!(used.iter().filter(|u| (**u - 0.5).abs() < 0.02).count(), 5, "{used:?}");
    assert_eq!(fleet.usage(0).shared_counts().0, 3);
}

#[test]
fn forged_replayed_and_corrupted_datagrams_change_nothing() {
    let mut fleet = settled(3, &[900], 20);
    fleet.recording = Some(Vec::new());
    fleet.run(WINDOW_MS, &[300.0], |_, _| 0);
    let recording = fleet.recording.take().expect("recording was on");
    assert!(recording.len() > 50);
    fleet.stop(1);
    fleet.start(1);
    fleet.run(SETTLE_MS, &[300.0], |_, _| 0);
    let before = fleet.usage(0).rejected;
    let held: Vec<_> = (0..3).map(|n| fleet.usage(n).key_usage(0)).collect();
    for (to, bytes) in &recording {
        // Unchanged, to the wrong receiver, with one bit flipped, truncated, and too long.
        fleet.deliver(*to, bytes);
        fleet.deliver((to + 1) % 3, bytes);
        let mut corrupted = bytes.clone();
        let offset = fleet.random.below(bytes.len() as u64) as usize;
        corrupted[offset] ^= 1 << fleet.random.below(8);
        fleet.deliver(*to, &corrupted);
        fleet.deliver(*to, &bytes[..offset]);
        fleet.deliver(*to, &[&bytes[..], &vec![0; 1300]].concat());
    }
    assert_eq!((0..3).map(|n| fleet.usage(n).key_usage(0)).collect::<Vec<_>>(), held);
    assert!(fleet.usage(0).rejected > before + 100);
    fleet.reset_counts();
    fleet.run(3 * WINDOW_MS, &[300.0], |_, _| 0);
    assert_eq!(fleet.overshoot(), 0.0);
    assert!(fleet.used(0, 3) > 0.95, "{}", fleet.used(0, 3));
}

#[test]
fn a_rolling_change_of_the_instance_list_does_not_exceed_the_allowance() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(5, &[1000], 24 + seed);
        fleet.stop(4);
        for n in 0..4 {
            fleet.start_with(n, settings(4, n));
        }
        fleet.run(SETTLE_MS, &[400.0], any_instance(4));
        // The fifth instance starts with the new list; the others switch to it one by one in the middle of a
        // window.
        for n in [4, 1, 3, 0, 2] {
            let mut set = settings(5, n);
            set.list = 2;
            fleet.start_with(n, set);
            fleet.run(SETTLE_MS + 1700, &[400.0], any_instance(4));
            assert_eq!(fleet.overshoot(), 0.0, "seed {seed}: after {n} switched lists");
        }
        assert!((0..5).all(|n| fleet.usage(n).owns_part()), "{seed}");
        fleet.reset_counts();
        fleet.run(4 * WINDOW_MS, &[400.0], any_instance(5));
        assert!(fleet.overshoot() == 0.0 && fleet.used(0, 4) > 0.97, "{seed}: {}", fleet.used(0, 4));
    }
}

#[test]
fn replayed_datagrams_do_not_revive_a_stopped_instance() {
    let mut fleet = settled(3, &[900], 22);
    fleet.recording = Some(Vec::new());
    fleet.run(WINDOW_MS, &[300.0], |_, _| 0);
    let recording = fleet.recording.take().expect("recording was on");
    fleet.stop(2);
    // The restarted instance 0 has received no datagram of instance 2; instance 1 has received each of them
    // once.
    fleet.stop(0);
    fleet.start(0);
    for _ in 0..SETTLE_MS / 100 {
        fleet.run(100, &[300.0], |_, _| 1);
        for (to, bytes) in recording.iter().take(200) {
            fleet.deliver(*to, bytes);
        }
    }
    assert_eq!(fleet.usage(0).peers()[1].age_ms, None);
    assert!(fleet.usage(1).peers()[1].gone && fleet.usage(1).peers()[1].age_ms > Some(SETTLE_MS - 1000));
    assert_eq!(fleet.overshoot(), 0.0);
}

#[test]
fn the_largest_wants_are_served_first() {
    let allowances: Vec<u32> = [1000].into_iter().chain([20; 400]).collect();
    let mut fleet = settled(2, &allowances, 23);
    let elapsed = fleet.now % WINDOW_MS;
    fleet.run(WINDOW_MS - elapsed + 10, &[], |_, _| 0);
    for _ in 0..40 {
        fleet.step();
        fleet.ask(0, 0, 20);
        for key in 1..=400 {
            fleet.ask(0, key, 1);
        }
    }
    let share = fleet.usage(0).key_usage(0);
    assert!(share.spent + share.held > 800, "more than its own part of 500: {share:?}");
}

#[test]
fn a_hundred_instances_and_ten_thousand_tenants_do_not_exceed_the_allowance() {
    let tenants = 10_000;
    let allowances: Vec<u32> = (0..tenants).map(|t| 20 + (t % 7) as u32 * 30).collect();
    let mut fleet = Fleet::new(100, &allowances, 21);
    fleet.link = Link { loss: 0.1, delay: (1, 40), duplication: 0.05 };
    fleet.run(SETTLE_MS, &[], any_instance(100));
    // One tenant in a thousand requests twice its allowance at two instances; the others make occasional
    // requests at three instances.
    for step in 0..4 * WINDOW_MS / 100 {
        if step == 2 * WINDOW_MS / 100 {
            fleet.reset_counts();
        }
        (0..10).for_each(|_| fleet.step());
        for (heavy, allowance) in allowances.iter().take(10).enumerate() {
            for _ in 0..(allowance / 25).max(1) {
                let at = heavy * 7 + fleet.random.below(2) as usize;
                fleet.ask(at, heavy, 1);
            }
        }
        for _ in 0..100 {
            let tenant = 10 + fleet.random.below(tenants as u64 - 10) as usize;
            let at = (tenant * 13 + fleet.random.below(3) as usize) % 100;
            fleet.ask(at, tenant, 1);
        }
    }
    assert_eq!(fleet.overshoot(), 0.0);
    let used: Vec<f64> = (0..10).map(|key| fleet.used(key, 2)).collect();
    assert!(used.iter().sum::<f64>() / 10.0 > 0.95, "{used:?}");
}
