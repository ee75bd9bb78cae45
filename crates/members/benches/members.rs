//! Measures the traffic of the membership protocol, the time to detect a loss, and the cost of a datagram:
//! `cargo bench -p glenwood-members [-- MINUTES]`. Runs in virtual time, except for the cost of a datagram,
//! with fixed seeds.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Instant;

use common::*;

fn main() {
    let minutes: u64 = std::env::args().skip(1).find_map(|a| a.parse().ok()).unwrap_or(30);
    for nodes in [4, 30, 100, 300, 1000] {
        let mut net = Net::converged(nodes, 1);
        net.run(5000);
        let idle_rate = net.bytes_per_second(20_000);
        let mut times = Vec::new();
        for round in 0..10 {
            let target = (round * 7 + 1) % nodes;
            net.kill(target);
            let since = net.now;
            net.run(3000);
            times.extend(detection_times(&net, target, since));
            net.start(target);
            net.run_until("all members know each other", 10_000, Net::is_converged);
        }
        times.sort_unstable();
        let percentile = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
        println!(
            "{nodes} members: {idle_rate:.0} bytes per second each; a loss is known after {} ms (median), {} (99%), {} (last)",
            percentile(0.5),
            percentile(0.99),
            percentile(1.0)
        );
    }
    let mut net = Net::converged(300, 2);
    (net.loss, net.duplication) = (0.05, 0.01);
    let (started, sent_datagrams) = (Instant::now(), |net: &Net| {
        net.running().iter().map(|n| net.members(*n).counters().sent).sum::<u64>()
    });
    let before = sent_datagrams(&net);
    net.run(minutes * 60_000);
    let sum = |counter: &dyn Fn(&glenwood_members::Counters) -> u64| {
        net.running().iter().map(|n| counter(&net.members(*n).counters())).sum::<u64>()
    };
    println!(
        "{minutes} minutes of 300 members, 5% of datagrams lost: {} probes failed, {} suspicions refuted, {} declared lost; \
         {:.1} us of CPU time per datagram for sender, receiver and network",
        sum(&|f| f.failed_probes),
        sum(&|f| f.refuted),
        net.lost().values().sum::<usize>(),
        started.elapsed().as_micros() as f64 / (sent_datagrams(&net) - before) as f64
    );
}
