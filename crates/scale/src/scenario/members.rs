//! Membership by the number of nodes: memory, traffic and CPU time of a member, and the time until a loss is
//! detected.

use std::net::SocketAddr;

use glenwood_members::{Event, Member, Members, Secret, Settings};

use crate::measure::measure;
use crate::network::{Network, Outbox, Process, Time};
use crate::report::Report;
use crate::scenario::megabytes;

/// Name of the scenario.
pub const NAME: &str = "members by nodes";

/// Numbers of nodes; the last is the full size. Twice as many run too, but take a quarter of an hour; see
/// `docs/CAPACITY.md`.
pub const SIZES: [usize; 5] = [30, 100, 300, 650, 1_300];

/// Probe interval of a member in milliseconds, as in `deploy/members.toml`.
pub const PROBE_INTERVAL_MS: u64 = 100;

/// Time in milliseconds from the common start until traffic and CPU time are measured. By then the updates
/// caused by the start have spread.
const SETTLE_TIME_MS: Time = 40_000;

fn address(index: usize) -> SocketAddr {
    format!("10.0.{}.{}:7946", index / 250, index % 250 + 1).parse().expect("valid address")
}

fn member_index(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else { return None };
    let [_, _, high, low] = address.ip().octets();
    Some(usize::from(high) * 250 + usize::from(low).checked_sub(1)?)
}

/// One member without a socket.
pub struct SimulatedMember {
    members: Members,
    /// Names of the members that it considered lost, and when.
    pub lost_members: Vec<(Time, String)>,
}

impl SimulatedMember {
    /// Creates the member with this index, which starts now.
    pub fn new(index: usize, now: Time, probe_ms: u64) -> Self {
        let local_member = Member {
            name: format!("n{index}"),
            start_id: 1,
            address: address(index),
            zone: format!("z{}", index % crate::deployment::ZONES),
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
        let seed = 1 + index as u64;
        let members = Members::new(settings, secret, now, seed, now).expect("valid settings");
        Self { members, lost_members: Vec::new() }
    }

    /// Number of other members that it considers alive.
    pub fn alive_count(&self) -> usize {
        self.members.living().count()
    }

    fn process_output(&mut self, now: Time, out: &mut Outbox) {
        while let Some(transmit) = self.members.poll_transmit() {
            if let Some(to) = member_index(transmit.to) {
                out.send(to, transmit.bytes);
            }
        }
        while let Some(event) = self.members.poll_event() {
            if let Event::Lost(member) = event {
                self.lost_members.push((now, member.name.clone()));
            }
        }
    }
}

impl Process for SimulatedMember {
    fn wake_at(&self) -> Option<Time> {
        Some(self.members.due())
    }

    fn wake(&mut self, now: Time, out: &mut Outbox) {
        self.members.tick(now);
        self.process_output(now, out);
    }

    fn receive(&mut self, now: Time, _from: usize, bytes: &[u8], out: &mut Outbox) {
        // The state machine counts datagrams that it cannot read.
        let _ = self.members.receive(now, bytes);
        self.process_output(now, out);
    }
}

/// Starts all members at the same time and waits until each knows all others. Returns the network and the
/// time that it took.
pub fn start_joined(nodes: usize, seed: u64, probe_ms: u64) -> (Network<SimulatedMember>, Time) {
    let mut network = Network::new(nodes, seed);
    for index in 0..nodes {
        network.start(index, SimulatedMember::new(index, network.now, probe_ms));
    }
    let all_joined = |network: &Network<SimulatedMember>| {
        (0..nodes).all(|n| network.get(n).is_some_and(|member| member.alive_count() + 1 == nodes))
    };
    let join_time = network.run_until(probe_ms / 4, 600 * probe_ms, all_joined);
    (network, join_time.unwrap_or(Time::MAX))
}

/// Runs the scenario at all sizes.
pub fn run(report: &mut Report, sizes: &[usize]) {
    for nodes in sizes.iter().copied() {
        let ((mut network, join_time), cost) = measure(|| start_joined(nodes, 1, PROBE_INTERVAL_MS));
        network.run(SETTLE_TIME_MS);
        network.reset_traffic();
        network.measure_cpu_time = true;
        let seconds = 5;
        network.run(seconds * 1000);
        let sum = |value: &dyn Fn(usize) -> u64| (0..nodes).map(value).sum::<u64>() as f64;
        let per_node_second = 1.0 / (nodes as f64 * seconds as f64);
        let bytes = sum(&|n| network.traffic(n).sent_bytes) * per_node_second;
        let messages = sum(&|n| network.traffic(n).sent_messages) * per_node_second;
        let cpu_us = sum(&|n| network.traffic(n).cpu_ns) * per_node_second / 1e3;
        network.measure_cpu_time = false;
        let (killed, killed_at) = (nodes / 2, network.now);
        network.kill(killed);
        network.run(30 * PROBE_INTERVAL_MS);
        let name = format!("n{killed}");
        let mut detection_times: Vec<Time> = (0..nodes)
            .filter_map(|n| network.get(n))
            .filter_map(|member| detection_time(member, &name, killed_at))
            .collect();
        detection_times.sort_unstable();
        report.add(
            NAME,
            nodes as u64,
            &[
                ("all know all after s", join_time as f64 / 1e3),
                ("bytes sent a second", bytes),
                ("messages sent a second", messages),
                ("processor us a second", cpu_us),
                ("kept MB", megabytes(cost.retained_bytes) / nodes as f64),
                (
                    "a loss is known at p99 s",
                    detection_times
                        .get(detection_times.len() * 99 / 100)
                        .map_or(f64::INFINITY, |ms| *ms as f64 / 1e3),
                ),
            ],
        );
    }
}

fn detection_time(member: &SimulatedMember, name: &str, killed_at: Time) -> Option<Time> {
    member
        .lost_members
        .iter()
        .find(|(at, lost_name)| lost_name == name && *at >= killed_at)
        .map(|(at, _)| at - killed_at)
}
