//! Tests of the membership protocol in virtual time: joins, losses, returns, and false information that must
//! be ignored.

mod common;

use common::*;
use glenwood_members::{Event, State};

#[test]
fn hundreds_of_members_started_at_once_find_each_other_through_three_seeds() {
    for seed in 0..3 {
        let mut net = Net::new(300, seed);
        net.loss = 0.05;
        (0..300).for_each(|n| net.start(n));
        let elapsed = net.run_until("all members know each other", 6000, |net| {
            net.living_counts().iter().all(|n| *n == 299)
        });
        assert!(elapsed < 6000, "{elapsed} ms");
    }
}

#[test]
fn ninety_nine_percent_of_members_learn_of_a_loss_within_one_second() {
    for nodes in [100, 300] {
        let mut net = Net::converged(nodes, 1);
        net.run(5000);
        let mut worst = 0;
        for round in 0..10 {
            let target = (round * 7 + 1) % nodes;
            net.kill(target);
            let since = net.now;
            net.run(3000);
            let times = detection_times(&net, target, since);
            assert_eq!(times.len(), net.running().len(), "all know of the loss of n{target}");
            worst = worst.max(times[times.len() * 99 / 100]);
            net.start(target);
            net.run_until("all members know each other", 10_000, Net::is_converged);
        }
        assert!(worst <= 1000, "99% of {nodes} members knew after {worst} ms");
        assert_eq!(net.lost().len(), 10, "{:?}", net.lost());
    }
}

#[test]
fn datagram_loss_alone_causes_no_member_to_be_declared_lost() {
    // The benchmark simulates half an hour of 300 members.
    let mut net = Net::converged(100, 2);
    (net.loss, net.duplication, net.delay) = (0.05, 0.02, 20);
    net.run(180_000);
    assert_eq!(net.lost(), Default::default());
    let refuted: u64 = net.running().iter().map(|n| net.members(*n).counters().refuted).sum();
    assert!(refuted > 0, "some members must have been suspected for this test to mean anything");
}

#[test]
fn a_stalled_member_declares_no_other_member_lost() {
    for seed in 0..5 {
        let mut net = Net::converged(60, seed);
        net.loss = 0.02;
        for round in 0..6 {
            let paused: Vec<usize> = (0..6).map(|n| (n * 10 + round) % 60).collect();
            paused.iter().for_each(|n| net.pause(*n));
            net.run(2000);
            paused.iter().for_each(|n| net.resume(*n));
            net.run(4000);
            for n in 0..60 {
                let seen = net
                    .observations
                    .iter()
                    .filter(|(_, _, e)| matches!(e, Event::Lost(m) if m.name == name(n)));
                let wrong = seen.count() > 0 && !paused.contains(&n);
                assert!(
                    !wrong,
                    "seed {seed}, round {round}: n{n} was declared lost, though only {paused:?} were paused"
                );
            }
            net.observations.clear();
            net.run_until("the paused members are back", 4000, Net::is_converged);
        }
        let stalls: u64 = net.running().iter().map(|n| net.members(*n).counters().stalls).sum();
        assert!(stalls >= 36, "{stalls}");
    }
}

#[test]
fn a_stall_of_250_ms_causes_no_loss() {
    let mut net = Net::converged(60, 3);
    for n in 0..30 {
        net.pause(n);
        net.run(250);
        net.resume(n);
        net.run(250);
    }
    assert_eq!(net.lost(), Default::default());
}

#[test]
fn a_link_cut_in_one_direction_causes_no_loss() {
    let mut net = Net::converged(12, 4);
    // The link from n0 to n1 is cut, and both directions between n3 and n4, which are in different zones.
    net.is_cut = Box::new(|from, to| (from, to) == (0, 1) || (from, to) == (3, 4) || (from, to) == (4, 3));
    net.run(120_000);
    assert_eq!(net.lost(), Default::default());
    // Indirect probes reach it, so it is not even suspected.
    let failed: u64 = net.running().iter().map(|n| net.members(*n).counters().failed_probes).sum();
    assert_eq!(failed, 0);
}

#[test]
fn partitioned_sides_declare_each_other_lost_and_rejoin_after_healing() {
    for side in [1, 6] {
        let mut net = Net::converged(12, 5);
        net.is_cut = Box::new(move |from, to| (from < side) != (to < side));
        net.run(10_000);
        for observer in 0..12 {
            for target in (0..12).filter(|target| *target != observer) {
                let state = net.state(observer, target).expect("known");
                assert_eq!(
                    state.is_living(),
                    (observer < side) == (target < side),
                    "n{target} as seen by n{observer}: {state:?}"
                );
            }
        }
        net.is_cut = Box::new(|_, _| false);
        net.run_until("both sides have rejoined", 10_000, Net::is_converged);
    }
}

#[test]
fn a_member_that_receives_nothing_causes_no_loss_among_the_others() {
    let mut net = Net::converged(12, 6);
    // n5 can send but not receive: it gets no answers, and must not make the others consider each other lost.
    net.is_cut = Box::new(|_, to| to == 5);
    net.run(8_000);
    for observer in (0..12).filter(|observer| *observer != 5) {
        for target in (0..12).filter(|target| *target != 5) {
            assert!(
                observer == target || net.state(observer, target) == Some(State::Alive),
                "n{target} as seen by n{observer}"
            );
        }
    }
    let lost = net.lost();
    assert!(lost.keys().all(|name| name == "n5") || net.state(0, 1) == Some(State::Alive), "{lost:?}");
    net.is_cut = Box::new(|_, _| false);
    net.run_until("the member is back", 10_000, Net::is_converged);
}

#[test]
fn a_restart_is_a_new_process_even_if_the_clock_went_back() {
    let mut net = Net::converged(30, 7);
    for (n, earlier) in [(3, 0), (9, 500_000), (0, 900_000)] {
        let before = net.members(n).local_member().start_id;
        net.kill(n);
        net.run(100);
        let incarnation = net.now - earlier;
        net.start_with_incarnation(n, incarnation);
        let start_id = net.members(n).local_member().start_id;
        assert_ne!(before, start_id);
        net.run_until("all know the restarted process", 5000, |net| {
            net.is_converged()
                && net.running().iter().filter(|observer| **observer != n).all(|observer| {
                    net.members(*observer)
                        .living()
                        .any(|member| member.name == name(n) && member.start_id == start_id)
                })
        });
        let ended = net
            .observations
            .iter()
            .filter(|(_, _, e)| matches!(e, Event::Lost(m) if m.start_id == before))
            .count();
        assert!(ended >= 29, "all 29 others must report the loss of the old process, but {ended} did");
    }
}

#[test]
fn a_member_that_announces_leaving_is_not_suspected() {
    let mut net = Net::converged(60, 8);
    net.loss = 0.05;
    net.leave(5);
    net.run(100);
    net.kill(5);
    net.run_until("all know that n5 left", 2000, |net| {
        net.running().iter().all(|observer| net.state(*observer, 5) == Some(State::Left))
    });
    net.run(5000);
    assert_eq!(net.lost(), Default::default());
    net.start(5);
    net.run_until("the member is back", 5000, Net::is_converged);
}

#[test]
fn replayed_datagrams_change_nothing() {
    let mut net = Net::converged(12, 9);
    net.recording = Some(Vec::new());
    net.run(2000);
    net.kill(4);
    net.run(3000);
    net.start(4);
    net.run(3000);
    net.leave(7);
    net.run(200);
    net.kill(7);
    net.run(3000);
    let mut recording = net.recording.take().expect("recording was on");
    net.random.shuffle(&mut recording);
    net.observations.clear();
    for (n, (to, bytes)) in recording.iter().enumerate() {
        net.deliver(*to, bytes);
        if n % 50 == 0 {
            net.run(10);
        }
        assert!(
            net.running().iter().all(|observer| !net.state(*observer, 7).is_some_and(State::is_living)),
            "n7 has left"
        );
    }
    net.run(5000);
    assert!(net.is_converged());
    assert_eq!(net.lost(), Default::default());
}

#[test]
fn unauthenticated_datagrams_are_counted_and_change_nothing() {
    let mut net = Net::converged(3, 10);
    net.recording = Some(Vec::new());
    net.run(1000);
    let (to, mut bytes) = net.recording.take().expect("recording was on").swap_remove(0);
    let before = net.members(to).all();
    bytes[9] ^= 1;
    net.deliver(to, &bytes);
    net.deliver(to, &[0; 3]);
    net.deliver(to, &[0; 3000]);
    assert_eq!(net.members(to).counters().refused, 3);
    assert_eq!(net.members(to).all(), before);
}

#[test]
fn two_processes_with_one_name_raise_an_event() {
    let mut net = Net::converged(6, 11);
    // The second process takes over the address; the first keeps sending but receives no answers.
    let first_process = net.nodes[2].take();
    net.start(2);
    net.run(1000);
    net.recording = Some(Vec::new());
    let second_process = std::mem::replace(&mut net.nodes[2], first_process);
    net.run(3000);
    net.nodes[2] = second_process;
    net.run(3000);
    let datagrams_of_others =
        net.running().iter().map(|n| net.members(*n).counters().name_conflicts).sum::<u64>();
    let alarms = net.observations.iter().filter(|(_, _, e)| matches!(e, Event::NameTaken(_))).count();
    assert!(datagrams_of_others == 0 || alarms > 0);
    // Deliver what one process sent to the other.
    let recorded: Vec<_> = net.recording.take().expect("recording was on");
    let to_another = recorded.iter().find(|(to, _)| *to != 2).map(|(_, bytes)| bytes.clone());
    let to_n2 = recorded.into_iter().map(|(_, bytes)| bytes);
    for bytes in to_n2.chain(to_another) {
        net.deliver(2, &bytes);
    }
    assert!(net.observations.iter().any(|(_, _, e)| matches!(e, Event::NameTaken(_))));
    net.run(5000);
    assert!(net.is_converged());
}

#[test]
fn members_beyond_the_limit_are_ignored() {
    let mut net = Net::new(8, 12);
    for n in 0..8 {
        net.start(n);
    }
    let limited = glenwood_members::Settings { max_members: 4, ..settings(0, 99) };
    let limited =
        glenwood_members::Members::new(limited, secret(), 1_000_000, 1, net.now).expect("valid settings");
    net.nodes[0].as_mut().expect("the member runs").members = limited;
    net.run(10_000);
    assert_eq!(net.members(0).living().count(), 3);
    assert!(net.members(0).counters().over_limit > 0);
    assert_eq!(net.members(1).living().count(), 7);
}

#[test]
fn traffic_per_member_does_not_grow_with_the_number_of_members() {
    let rate = |nodes| {
        let mut net = Net::converged(nodes, 13);
        net.run(5000);
        net.bytes_per_second(20_000)
    };
    let (few, many) = (rate(30), rate(300));
    assert!(many < 1.25 * few, "{few:.0} and {many:.0} bytes per second");
}

#[test]
fn a_member_that_restarts_repeatedly_does_not_affect_the_others() {
    let mut net = Net::converged(30, 14);
    net.loss = 0.03;
    for _ in 0..20 {
        net.kill(11);
        net.run(700);
        net.start(11);
        net.run(300);
    }
    net.run_until("all members know each other", 10_000, Net::is_converged);
    assert!(net.lost().keys().all(|name| name == "n11"), "{:?}", net.lost());
}

#[test]
fn invalid_settings_are_reported_by_field() {
    let good = settings(0, 1);
    let error_of = |change: &dyn Fn(&mut glenwood_members::Settings)| {
        let mut settings = good.clone();
        change(&mut settings);
        settings.check().expect_err("invalid settings")
    };
    assert_eq!(good.check(), Ok(()));
    assert_eq!(error_of(&|s| s.probe_ms = 5), "probe_ms: 20 to 10000 expected, not 5");
    assert_eq!(error_of(&|s| s.seeds.clear()), "seeds: 1 to 64 expected, not 0");
    assert_eq!(error_of(&|s| s.local_member.name.clear()), "name: 1 to 48 bytes expected, not \"\"");
    assert_eq!(
        error_of(&|s| s.local_member.address.set_port(0)),
        "address: one that others can send to expected, not 10.0.0.1:0"
    );
    assert_eq!(error_of(&|s| s.max_members = 1), "most: 2 to 4096 expected, not 1");
    assert_eq!(error_of(&|s| s.forget_ms = 1), "forget_ms: 10000 to 86400000 expected, not 1");
    assert!(error_of(&|s| s.local_member.zone = "z".repeat(25)).starts_with("zone: 24 bytes at most"));
}
