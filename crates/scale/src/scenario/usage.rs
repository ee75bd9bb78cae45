//! Usage counts by the number of nodes and of tenants: memory, traffic and CPU time of an instance.

use glenwood_usage::wire::Secret;
use glenwood_usage::{Datagram, Key, RunId, Settings, Usage};

use crate::measure::measure;
use crate::network::{Network, Outbox, Process, Time};
use crate::report::Report;
use crate::scenario::megabytes;

/// Varies the number of nodes, with [`TENANTS_WHEN_NODES_VARY`] tenants.
pub const BY_NODES: &str = "usage by nodes";
/// Varies the number of tenants, with [`NODES_WHEN_TENANTS_VARY`] nodes.
pub const BY_TENANTS: &str = "usage by tenants";

/// Numbers of nodes. The state machine supports at most 1,000, so that the full size cannot be measured; the
/// CPU time of a node grows so fast that larger numbers take many minutes.
pub const NODES: [usize; 4] = [30, 60, 120, 240];
/// Numbers of tenants; the last is the full size.
pub const TENANTS: [usize; 4] = [1_000, 11_750, 23_500, 47_000];
/// Number of tenants while the number of nodes varies.
pub const TENANTS_WHEN_NODES_VARY: usize = 20;
/// Number of nodes while the number of tenants varies.
pub const NODES_WHEN_TENANTS_VARY: usize = 4;

const WINDOW_MS: u64 = 5_000;
const EXCHANGE_MS: u64 = 200;
/// Interval at which a node spends from the allowance of a tenant, in milliseconds.
const REQUEST_INTERVAL: Time = 20;

/// One instance without a socket, with clients that send requests at a constant rate.
pub struct SimulatedUsage {
    usage: Usage,
    keys: Vec<usize>,
    rng: fastrand::Rng,
    next_request: Time,
    next_tick: Time,
}

impl SimulatedUsage {
    fn new(number: usize, instances: usize, tenants: usize, now: Time) -> Self {
        let settings = Settings {
            list: 1,
            instances,
            number,
            window_ms: WINDOW_MS,
            exchange_ms: EXCHANGE_MS,
            instance_timeout_ms: 10_000,
            max_shared_keys: 4096,
        };
        let run_id = RunId(1 + number as u64);
        let secret = Secret::new(b"a secret of all instances");
        let mut usage = Usage::new(settings, secret, run_id, now).expect("valid settings");
        let add_allowance = |tenant: usize| usage.set_allowance(Key(tenant as u64 + 1), 1_000);
        let keys = (0..tenants).map(add_allowance).collect();
        let rng = fastrand::Rng::with_seed(number as u64);
        Self { usage, keys, rng, next_request: now + number as u64 % REQUEST_INTERVAL, next_tick: now }
    }

    fn send(out: &mut Outbox, datagrams: Vec<Datagram>) {
        datagrams.into_iter().for_each(|datagram| out.send(datagram.to, datagram.bytes));
    }
}

impl Process for SimulatedUsage {
    fn wake_at(&self) -> Option<Time> {
        Some(self.next_tick.min(self.next_request))
    }

    fn wake(&mut self, now: Time, out: &mut Outbox) {
        if now >= self.next_request {
            self.next_request = now + REQUEST_INTERVAL;
            let key = self.keys[self.rng.usize(0..self.keys.len())];
            self.usage.spend(&[(key, 1)]);
        }
        let mut datagrams = Vec::new();
        self.usage.tick(now, &mut datagrams);
        Self::send(out, datagrams);
        self.next_tick = now + self.usage.ms_until_tick().max(1);
    }

    fn receive(&mut self, now: Time, _from: usize, bytes: &[u8], out: &mut Outbox) {
        let mut datagrams = Vec::new();
        // The state machine counts datagrams that it cannot read.
        let _ = self.usage.receive(bytes, &mut datagrams);
        Self::send(out, datagrams);
        self.next_tick = now + self.usage.ms_until_tick().max(1);
    }
}

/// Runs all measurements of this scenario.
pub fn run(report: &mut Report) {
    for nodes in NODES {
        measure_fleet(report, BY_NODES, nodes as u64, nodes, TENANTS_WHEN_NODES_VARY);
    }
    for tenants in TENANTS {
        measure_fleet(report, BY_TENANTS, tenants as u64, NODES_WHEN_TENANTS_VARY, tenants);
    }
}

fn measure_fleet(report: &mut Report, scenario: &str, size: u64, nodes: usize, tenants: usize) {
    let ((mut network, start_cost), cost) = measure(|| {
        let mut network = Network::new(nodes, 3);
        let (_, start_cost) = measure(|| {
            for index in 0..nodes {
                network.start(index, SimulatedUsage::new(index, nodes, tenants, network.now));
            }
        });
        network.run(WINDOW_MS + WINDOW_MS / 2);
        (network, start_cost)
    });
    network.reset_traffic();
    network.measure_cpu_time = true;
    let seconds = 2;
    network.run(seconds * 1000);
    let sum = |value: &dyn Fn(usize) -> u64| (0..nodes).map(value).sum::<u64>() as f64;
    let per_node_second = 1.0 / (nodes as f64 * seconds as f64);
    report.add(
        scenario,
        size,
        &[
            ("bytes sent a second", sum(&|n| network.traffic(n).sent_bytes) * per_node_second),
            ("messages sent a second", sum(&|n| network.traffic(n).sent_messages) * per_node_second),
            ("processor us a second", sum(&|n| network.traffic(n).cpu_ns) * per_node_second / 1e3),
            ("kept at the start MB", megabytes(start_cost.retained_bytes) / nodes as f64),
            ("kept MB", megabytes(cost.retained_bytes) / nodes as f64),
        ],
    );
}
