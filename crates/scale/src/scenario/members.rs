//! Membership by nodes: what each member holds, says and computes, and how soon a loss is known.

use std::net::SocketAddr;

use glenwood_members::{Event, Member, Members, Secret, Settings};

use crate::measure::measure;
use crate::network::{Network, Outbox, Process, Time};
use crate::report::Report;
use crate::scenario::megabytes;

/// The name of the scenario.
pub const NAME: &str = "members by nodes";

/// The sizes; the last is the full one. Twice as many fit too, and take a quarter of an hour: see `docs/CAPACITY.md`.
pub const SIZES: [usize; 5] = [30, 100, 300, 650, 1_300];

/// How often a member probes another, in milliseconds: what `deploy/members.toml` names.
pub const PROBE_MS: u64 = 100;

/// How long after a joint start it is measured what members say and compute: the news of the start has spread by then.
const SETTLED_MS: Time = 40_000;

fn address(number: usize) -> SocketAddr {
    format!("10.0.{}.{}:7946", number / 250, number % 250 + 1).parse().expect("an address")
}

fn number(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else { return None };
    let [_, _, high, low] = address.ip().octets();
    Some(usize::from(high) * 250 + usize::from(low).checked_sub(1)?)
}

/// One member without a socket.
pub struct HollowMember {
    machine: Members,
    /// Whom it took for lost, and when.
    pub lost: Vec<(Time, String)>,
}

impl HollowMember {
    /// A member of that number, one of so many, started now.
    pub fn new(number: usize, now: Time, probe_ms: u64) -> Self {
        let local_member = Member {
            name: format!("n{number}"),
            start_id: 1,
            address: address(number),
            zone: format!("z{}", number % crate::deployment::ZONES),
        };
        let settings = Settings {
            cluster: "scale".into(),
            local_member,
            seeds: (0..3).map(address).collect(),
            probe_ms,
            max_members: 4096,
            forget_ms: 600_000,
        };
        let secret = Secret::new(b"a secret of all members");
        let seed = 1 + number as u64;
        let machine = Members::new(settings, secret, now, seed, now).expect("good settings");
        Self { machine, lost: Vec::new() }
    }

    /// How many others it takes for alive.
    pub fn living(&self) -> usize {
        self.machine.living().count()
    }

    fn after(&mut self, now: Time, out: &mut Outbox) {
        while let Some(transmit) = self.machine.poll_transmit() {
            if let Some(to) = number(transmit.to) {
                out.send(to, transmit.bytes);
            }
        }
        while let Some(event) = self.machine.poll_event() {
            if let Event::Lost(member) = event {
                self.lost.push((now, member.name.clone()));
            }
        }
    }
}

impl Process for HollowMember {
    fn due(&self) -> Option<Time> {
        Some(self.machine.due())
    }

    fn wake(&mut self, now: Time, out: &mut Outbox) {
        self.machine.tick(now);
        self.after(now, out);
    }

    fn receive(&mut self, now: Time, _from: usize, bytes: &[u8], out: &mut Outbox) {
        // What can't be read is counted by the machine itself.
        let _ = self.machine.receive(now, bytes);
        self.after(now, out);
    }
}

/// Starts so many members at once and lets them find one another; gives the network and how long that took.
pub fn joined(nodes: usize, seed: u64, probe_ms: u64) -> (Network<HollowMember>, Time) {
    let mut network = Network::new(nodes, seed);
    for number in 0..nodes {
        network.start(number, HollowMember::new(number, network.now, probe_ms));
    }
    let all_know_all = |network: &Network<HollowMember>| {
        (0..nodes).all(|n| network.get(n).is_some_and(|member| member.living() + 1 == nodes))
    };
    let took = network.run_until(probe_ms / 4, 600 * probe_ms, all_know_all);
    (network, took.unwrap_or(Time::MAX))
}

/// Measures all sizes.
pub fn run(report: &mut Report, sizes: &[usize]) {
    for nodes in sizes.iter().copied() {
        let ((mut network, joining), cost) = measure(|| joined(nodes, 1, PROBE_MS));
        network.run(SETTLED_MS);
        network.reset_traffic();
        network.timed = true;
        let seconds = 5;
        network.run(seconds * 1000);
        let sum = |of: &dyn Fn(usize) -> u64| (0..nodes).map(of).sum::<u64>() as f64;
        let each = 1.0 / (nodes as f64 * seconds as f64);
        let bytes = sum(&|n| network.traffic(n).sent_bytes) * each;
        let messages = sum(&|n| network.traffic(n).sent_messages) * each;
        let processor = sum(&|n| network.traffic(n).processor_ns) * each / 1e3;
        network.timed = false;
        let (killed, since) = (nodes / 2, network.now);
        network.kill(killed);
        network.run(30 * PROBE_MS);
        let name = format!("n{killed}");
        let mut known: Vec<Time> =
            (0..nodes).filter_map(|n| network.get(n)).filter_map(|m| heard(m, &name, since)).collect();
        known.sort_unstable();
        report.add(
            NAME,
            nodes as u64,
            &[
                ("all know all after s", joining as f64 / 1e3),
                ("bytes sent a second", bytes),
                ("messages sent a second", messages),
                ("processor us a second", processor),
                ("kept MB", megabytes(cost.kept_bytes) / nodes as f64),
                (
                    "a loss is known at p99 s",
                    known.get(known.len() * 99 / 100).map_or(f64::INFINITY, |ms| *ms as f64 / 1e3),
                ),
            ],
        );
    }
}

fn heard(member: &HollowMember, name: &str, since: Time) -> Option<Time> {
    member.lost.iter().find(|(at, lost)| lost == name && *at >= since).map(|(at, _)| at - since)
}
