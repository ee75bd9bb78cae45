//! Custody by the number of nodes and by the number of works: the cost of a guarded request for its node and
//! for the keepers, and the memory of the keepers.

use std::collections::BTreeMap;

use bytes::Bytes;
use glenwood_custody::keeper::{self, Keeper, Request};
use glenwood_custody::wire::{self, Header, Message};
use glenwood_custody::{
    coordinator, Conclusion, Coordinator, Event, Incarnation, NodeId, RequestIdentity, Roster, Rosters,
    SubmittedRequest, Ticket,
};
use glenwood_datagram::Secret;

use crate::measure::measure;
use crate::network::{Network, Outbox, Process, Time};
use crate::report::Report;
use crate::scenario::megabytes;

/// Varies the number of nodes, each of which is a keeper for the others.
pub const BY_NODES: &str = "custody by nodes";
/// Varies the number of works that [`NODES_WHEN_WORKS_VARY`] nodes start within the lifetime of an entry.
pub const BY_WORKS: &str = "custody by works in hand";

/// Numbers of nodes; the last is the full size.
pub const NODES: [usize; 4] = [30, 100, 300, 1_300];
/// Numbers of works that the keepers store at a time.
pub const WORKS: [usize; 4] = [100, 1_000, 3_000, 10_000];
/// Number of nodes while the number of works varies.
pub const NODES_WHEN_WORKS_VARY: usize = 10;

const ENTRY_LIFETIME_MS: u64 = 4_000;
const BODY_BYTES: usize = 200;
const ANSWER_BYTES: usize = 300;
/// Wake-up interval in milliseconds if neither state machine has a timer: orphaned entries check at this
/// interval whether their node is alive. No node is lost in this scenario.
const IDLE_WAKE_INTERVAL: Time = 1_000;

fn node_id(index: usize) -> NodeId {
    NodeId(index as u64 + 1)
}

/// Coordinator and keeper of one node, without a socket.
pub struct SimulatedCustody {
    coordinator: Coordinator,
    keeper: Keeper,
    incarnation: Incarnation,
    secret: Secret,
    rng: fastrand::Rng,
    /// Interval between two new works, in milliseconds.
    work_interval: Time,
    next_work: Time,
    next_wake: Time,
    submitted: u64,
    /// Number of works that were answered.
    pub served: u64,
    /// Number of works that ended otherwise.
    pub unserved: u64,
}

impl SimulatedCustody {
    fn new(index: usize, rosters: Rosters, now: Time, work_interval: Time) -> Self {
        let incarnation = Incarnation { node: node_id(index), number: 1 };
        let coordinator_settings = coordinator::Settings {
            majority_timeout_ms: 150,
            resend_ms: 20,
            poll_ms: 50,
            entry_lifetime_ms: ENTRY_LIFETIME_MS,
            max_works: 10_000,
        };
        let keeper_settings = keeper::Settings {
            entry_lifetime_ms: ENTRY_LIFETIME_MS,
            max_works: 20_000,
            max_bytes: 64_000_000,
        };
        let seed = 1 + index as u64;
        let mut rng = fastrand::Rng::with_seed(seed);
        let next_work = now + ENTRY_LIFETIME_MS + 200 + rng.u64(0..work_interval.max(1));
        Self {
            coordinator: Coordinator::new(coordinator_settings, incarnation, rosters, seed, now),
            keeper: Keeper::new(keeper_settings, now),
            incarnation,
            secret: Secret::new(b"a secret of all nodes"),
            rng,
            work_interval,
            next_work,
            next_wake: now + 1,
            submitted: 0,
            served: 0,
            unserved: 0,
        }
    }

    /// Submits a client's request with a body. It is guarded, sent as soon as that is allowed, and answered
    /// at once.
    fn submit_request(&mut self, now: Time) {
        self.submitted += 1;
        let submission = SubmittedRequest {
            slot: (self.rng.u64(..), self.submitted),
            kind: RequestIdentity::Keyed,
            class: "pay".into(),
            remaining_ms: 1_500,
            body: Some(Bytes::from(vec![1; BODY_BYTES])),
        };
        if self.coordinator.submit(now, submission).is_none() {
            self.unserved += 1;
        }
    }

    fn handle_event(&mut self, now: Time, event: Event) {
        let answer = || Conclusion::Served(Some(Bytes::from(vec![2; ANSWER_BYTES])));
        match event {
            Event::Acquired { ticket, .. } => drop(self.coordinator.write_intent(now, ticket, 1, 0, 0)),
            Event::SendAllowed(ticket) => self.coordinator.submit_result(now, ticket, answer()),
            Event::Verdict(..) => self.served += 1,
            Event::SendDenied(ticket) => self.release(now, ticket),
            Event::VerdictNotStored(_) | Event::NoMajority(_) => self.unserved += 1,
            _ => {}
        }
    }

    fn release(&mut self, now: Time, ticket: Ticket) {
        self.unserved += 1;
        if self.coordinator.is_holder(ticket) {
            self.coordinator.submit_result(now, ticket, Conclusion::Release);
        }
    }

    fn process_output(&mut self, now: Time, out: &mut Outbox) {
        loop {
            self.transmit(now, out);
            match self.coordinator.poll_event() {
                Some(event) => self.handle_event(now, event),
                None => break,
            }
        }
        let wake_at =
            [self.coordinator.next_timeout(), self.keeper.next_timeout()].into_iter().flatten().min();
        self.next_wake = wake_at.unwrap_or(now + IDLE_WAKE_INTERVAL).max(now + 1);
    }

    fn transmit(&mut self, now: Time, out: &mut Outbox) {
        let mut outgoing: BTreeMap<usize, Vec<Message>> = BTreeMap::new();
        while let Some((to, payload)) = self.coordinator.poll_transmit() {
            match payload {
                Some((work, request)) if to == self.incarnation.node => {
                    let replies = match request {
                        Request::FetchPieces(blob, want) => self.keeper.fetch_pieces(now, work, blob, want),
                        request => vec![self.keeper.handle_request(now, work, request)],
                    };
                    replies.into_iter().for_each(|reply| self.coordinator.handle_reply(now, to, work, reply));
                }
                Some((work, request)) => {
                    outgoing.entry(to.0 as usize - 1).or_default().push(Message::Request(work, request));
                }
                None if to != self.incarnation.node => {
                    outgoing.entry(to.0 as usize - 1).or_default().push(Message::Alive)
                }
                None => {}
            }
        }
        outgoing.into_iter().for_each(|(to, outgoing)| self.send(now, to, &outgoing, out));
    }

    fn send(&self, now: Time, to: usize, messages: &[Message], out: &mut Outbox) {
        let header = Header { cluster: 1, sender: self.incarnation, epoch: (1, false), sent_at_ms: now };
        wire::write(&header, messages, &self.secret).into_iter().for_each(|bytes| out.send(to, bytes));
    }
}

impl Process for SimulatedCustody {
    fn wake_at(&self) -> Option<Time> {
        Some(self.next_wake.min(self.next_work))
    }

    fn wake(&mut self, now: Time, out: &mut Outbox) {
        if now >= self.next_work {
            self.next_work = now + self.work_interval.max(1);
            self.submit_request(now);
        }
        self.keeper.handle_timeout(now);
        self.coordinator.handle_timeout(now);
        self.process_output(now, out);
    }

    fn receive(&mut self, now: Time, from: usize, bytes: &[u8], out: &mut Outbox) {
        let Ok((sender_header, messages)) = wire::read(bytes, 1, &self.secret) else { return };
        self.keeper.mark_alive(now, sender_header.sender);
        let mut replies = Vec::new();
        for message in messages {
            match message {
                Message::Request(work, Request::FetchPieces(blob, want)) => {
                    let pieces = self.keeper.fetch_pieces(now, work, blob, want);
                    replies.extend(pieces.into_iter().map(|reply| Message::Reply(work, reply)));
                }
                Message::Request(work, request) => {
                    replies.push(Message::Reply(work, self.keeper.handle_request(now, work, request)));
                }
                Message::Reply(work, reply) => {
                    self.coordinator.handle_reply(now, sender_header.sender.node, work, reply)
                }
                Message::Alive => {}
            }
        }
        if !replies.is_empty() {
            self.send(now, from, &replies, out);
        }
        self.process_output(now, out);
    }
}

/// A fleet in which every node is a keeper and starts a work every `work_interval` milliseconds.
pub fn fleet(nodes: usize, work_interval: Time) -> Network<SimulatedCustody> {
    let members = (0..nodes).map(|n| (node_id(n), format!("z{}", n % crate::deployment::ZONES)));
    let roster = Roster::new(members.collect()).expect("valid roster");
    let rosters = Rosters { epoch: 1, current: roster, previous: None };
    let mut network = Network::new(nodes, 5);
    for index in 0..nodes {
        let mut node = SimulatedCustody::new(index, rosters.clone(), network.now, work_interval);
        (0..nodes).for_each(|other| {
            node.coordinator.update_membership(Incarnation { node: node_id(other), number: 1 }, true)
        });
        network.start(index, node);
    }
    network
}

/// Runs all measurements of this scenario.
pub fn run(report: &mut Report) {
    for nodes in NODES {
        measure_fleet(report, BY_NODES, nodes as u64, nodes, 1_000);
    }
    for works in WORKS {
        let work_interval = (ENTRY_LIFETIME_MS * NODES_WHEN_WORKS_VARY as u64 / works as u64).max(1);
        measure_fleet(report, BY_WORKS, works as u64, NODES_WHEN_WORKS_VARY, work_interval);
    }
}

fn measure_fleet(report: &mut Report, scenario: &str, size: u64, nodes: usize, work_interval: Time) {
    let (mut network, cost) = measure(|| {
        let mut network = fleet(nodes, work_interval);
        network.run(2 * ENTRY_LIFETIME_MS + ENTRY_LIFETIME_MS / 2);
        network
    });
    network.reset_traffic();
    network.measure_cpu_time = true;
    let submitted_works = |network: &Network<SimulatedCustody>| {
        (0..nodes).filter_map(|n| network.get(n)).map(|node| node.submitted).sum::<u64>()
    };
    let submitted_before = submitted_works(&network);
    network.run(2_000);
    let works = (submitted_works(&network) - submitted_before).max(1) as f64;
    let sum = |value: &dyn Fn(usize) -> u64| (0..nodes).map(value).sum::<u64>() as f64;
    let stored_works: u64 =
        (0..nodes).filter_map(|n| network.get(n)).map(|node| node.keeper.figures().works).sum();
    let unserved: u64 = (0..nodes).filter_map(|n| network.get(n)).map(|node| node.unserved).sum();
    report.add(
        scenario,
        size,
        &[
            ("bytes a work", sum(&|n| network.traffic(n).sent_bytes) / works),
            ("messages a work", sum(&|n| network.traffic(n).sent_messages) / works),
            ("processor us a work", sum(&|n| network.traffic(n).cpu_ns) / works / 1e3),
            ("kept MB", megabytes(cost.retained_bytes) / nodes as f64),
            ("entries kept at a node", stored_works as f64 / nodes as f64),
            ("unserved", unserved as f64),
        ],
    );
}
