//! Usage counts by nodes and by tenants: what each instance holds, says and computes.

use glenwood_usage::wire::Secret;
use glenwood_usage::{Datagram, Key, RunId, Settings, Usage};

use crate::measure::measure;
use crate::network::{Network, Outbox, Process, Time};
use crate::report::Report;
use crate::scenario::megabytes;

/// Usage by nodes, with [`TENANTS_OF_NODES`] tenants.
pub const BY_NODES: &str = "usage by nodes";
/// Usage by tenants, at [`NODES_OF_TENANTS`] nodes.
pub const BY_TENANTS: &str = "usage by tenants";

/// Nodes. The machine takes 1,000 at the most, so the full size can't be measured; what a node computes grows so fast that more
/// than these take many minutes.
pub const NODES: [usize; 4] = [30, 60, 120, 240];
/// Tenants; the last is the full size.
pub const TENANTS: [usize; 4] = [1_000, 11_750, 23_500, 47_000];
/// How many tenants there are where nodes vary.
pub const TENANTS_OF_NODES: usize = 20;
/// How many nodes there are where tenants vary.
pub const NODES_OF_TENANTS: usize = 4;

const WINDOW_MS: u64 = 5_000;
const EXCHANGE_MS: u64 = 200;
/// How often a node asks for a tenant's allowance, in milliseconds.
const ASK_EVERY: Time = 20;

/// One instance without a socket, with clients that ask at a steady pace.
pub struct HollowUsage {
    machine: Usage,
    keys: Vec<usize>,
    random: fastrand::Rng,
    next_ask: Time,
    due: Time,
}

impl HollowUsage {
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
        let boot = RunId(1 + number as u64);
        let secret = Secret::new(b"a secret of all instances");
        let mut machine = Usage::new(settings, secret, boot, now).expect("good settings");
        let allow = |tenant: usize| machine.set_allowance(Key(tenant as u64 + 1), 1_000);
        let keys = (0..tenants).map(allow).collect();
        let random = fastrand::Rng::with_seed(number as u64);
        Self { machine, keys, random, next_ask: now + number as u64 % ASK_EVERY, due: now }
    }

    fn send(out: &mut Outbox, datagrams: Vec<Datagram>) {
        datagrams.into_iter().for_each(|datagram| out.send(datagram.to, datagram.bytes));
    }
}

impl Process for HollowUsage {
    fn due(&self) -> Option<Time> {
        Some(self.due.min(self.next_ask))
    }

    fn wake(&mut self, now: Time, out: &mut Outbox) {
        if now >= self.next_ask {
            self.next_ask = now + ASK_EVERY;
            let key = self.keys[self.random.usize(0..self.keys.len())];
            self.machine.spend(&[(key, 1)]);
        }
        let mut datagrams = Vec::new();
        self.machine.tick(now, &mut datagrams);
        Self::send(out, datagrams);
        self.due = now + self.machine.ms_until_tick().max(1);
    }

    fn receive(&mut self, now: Time, _from: usize, bytes: &[u8], out: &mut Outbox) {
        let mut datagrams = Vec::new();
        // What can't be read is counted by the machine itself.
        let _ = self.machine.receive(bytes, &mut datagrams);
        Self::send(out, datagrams);
        self.due = now + self.machine.ms_until_tick().max(1);
    }
}

/// Measures all of it.
pub fn run(report: &mut Report) {
    for nodes in NODES {
        measure_fleet(report, BY_NODES, nodes as u64, nodes, TENANTS_OF_NODES);
    }
    for tenants in TENANTS {
        measure_fleet(report, BY_TENANTS, tenants as u64, NODES_OF_TENANTS, tenants);
    }
}

fn measure_fleet(report: &mut Report, scenario: &str, size: u64, nodes: usize, tenants: usize) {
    let ((mut network, first), cost) = measure(|| {
        let mut network = Network::new(nodes, 3);
        let (_, first) = measure(|| {
            for number in 0..nodes {
                network.start(number, HollowUsage::new(number, nodes, tenants, network.now));
            }
        });
        network.run(WINDOW_MS + WINDOW_MS / 2);
        (network, first)
    });
    network.reset_traffic();
    network.timed = true;
    let seconds = 2;
    network.run(seconds * 1000);
    let sum = |of: &dyn Fn(usize) -> u64| (0..nodes).map(of).sum::<u64>() as f64;
    let each = 1.0 / (nodes as f64 * seconds as f64);
    report.add(
        scenario,
        size,
        &[
            ("bytes sent a second", sum(&|n| network.traffic(n).sent_bytes) * each),
            ("messages sent a second", sum(&|n| network.traffic(n).sent_messages) * each),
            ("processor us a second", sum(&|n| network.traffic(n).processor_ns) * each / 1e3),
            ("kept at the start MB", megabytes(first.kept_bytes) / nodes as f64),
            ("kept MB", megabytes(cost.kept_bytes) / nodes as f64),
        ],
    );
}
