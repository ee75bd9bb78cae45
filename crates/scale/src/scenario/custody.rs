//! Custody by nodes and by works: what a guarded request costs its node and its keepers, and what keepers hold.

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

/// Custody by nodes, each of which keeps for the others.
pub const BY_NODES: &str = "custody by nodes";
/// A fleet of [`NODES_OF_WORKS`] nodes by the works that it takes within a register's life.
pub const BY_WORKS: &str = "custody by works in hand";

/// Nodes; the last is the full size.
pub const NODES: [usize; 4] = [30, 100, 300, 1_300];
/// Works that are kept at a time.
pub const WORKS: [usize; 4] = [100, 1_000, 3_000, 10_000];
/// How many nodes there are where works vary.
pub const NODES_OF_WORKS: usize = 10;

const LIFE_MS: u64 = 4_000;
const BODY_BYTES: usize = 200;
const ANSWER_BYTES: usize = 300;
/// How often membership's word on who lives is looked up by orphans; nobody is lost here.
const IDLE_WAKE: Time = 1_000;

fn node_id(number: usize) -> NodeId {
    NodeId(number as u64 + 1)
}

/// One node's coordinator and keeper without a socket.
pub struct HollowCustody {
    coordinator: Coordinator,
    keeper: Keeper,
    life: Incarnation,
    secret: Secret,
    random: fastrand::Rng,
    /// How far apart new works come, in milliseconds.
    every: Time,
    next_work: Time,
    next_wake: Time,
    asked: u64,
    /// Works that were answered.
    pub served: u64,
    /// Works that came to another end.
    pub unserved: u64,
}

impl HollowCustody {
    fn new(number: usize, rosters: Rosters, now: Time, every: Time) -> Self {
        let life = Incarnation { node: node_id(number), number: 1 };
        let settings = coordinator::Settings {
            majority_timeout_ms: 150,
            resend_ms: 20,
            poll_ms: 50,
            entry_lifetime_ms: LIFE_MS,
            max_works: 10_000,
        };
        let kept = keeper::Settings { entry_lifetime_ms: LIFE_MS, max_works: 20_000, max_bytes: 64_000_000 };
        let seed = 1 + number as u64;
        let mut random = fastrand::Rng::with_seed(seed);
        let next_work = now + LIFE_MS + 200 + random.u64(0..every.max(1));
        Self {
            coordinator: Coordinator::new(settings, life, rosters, seed, now),
            keeper: Keeper::new(kept, now),
            life,
            secret: Secret::new(b"a secret of all nodes"),
            random,
            every,
            next_work,
            next_wake: now + 1,
            asked: 0,
            served: 0,
            unserved: 0,
        }
    }

    /// A client's request: guarded, sent at once when it may be, and answered at once.
    fn begin(&mut self, now: Time) {
        self.asked += 1;
        let ask = SubmittedRequest {
            slot: (self.random.u64(..), self.asked),
            kind: RequestIdentity::Keyed,
            class: "pay".into(),
            remaining_ms: 1_500,
            body: Some(Bytes::from(vec![1; BODY_BYTES])),
        };
        if self.coordinator.submit(now, ask).is_none() {
            self.unserved += 1;
        }
    }

    fn happened(&mut self, now: Time, event: Event) {
        let answer = || Conclusion::Served(Some(Bytes::from(vec![2; ANSWER_BYTES])));
        match event {
            Event::Acquired { ticket, .. } => drop(self.coordinator.write_intent(now, ticket, 1, 0, 0)),
            Event::SendAllowed(ticket) => self.coordinator.submit_result(now, ticket, answer()),
            Event::Verdict(..) => self.served += 1,
            Event::SendDenied(ticket) => self.let_go(now, ticket),
            Event::VerdictNotStored(_) | Event::NoMajority(_) => self.unserved += 1,
            _ => {}
        }
    }

    fn let_go(&mut self, now: Time, ticket: Ticket) {
        self.unserved += 1;
        if self.coordinator.is_holder(ticket) {
            self.coordinator.submit_result(now, ticket, Conclusion::Release);
        }
    }

    fn after(&mut self, now: Time, out: &mut Outbox) {
        loop {
            self.transmit(now, out);
            match self.coordinator.poll_event() {
                Some(event) => self.happened(now, event),
                None => break,
            }
        }
        let due = [self.coordinator.next_timeout(), self.keeper.next_timeout()].into_iter().flatten().min();
        self.next_wake = due.unwrap_or(now + IDLE_WAKE).max(now + 1);
    }

    fn transmit(&mut self, now: Time, out: &mut Outbox) {
        let mut says: BTreeMap<usize, Vec<Message>> = BTreeMap::new();
        while let Some((to, what)) = self.coordinator.poll_transmit() {
            match what {
                Some((work, request)) if to == self.life.node => {
                    let replies = match request {
                        Request::FetchPieces(blob, want) => self.keeper.fetch_pieces(now, work, blob, want),
                        request => vec![self.keeper.handle_request(now, work, request)],
                    };
                    replies.into_iter().for_each(|reply| self.coordinator.handle_reply(now, to, work, reply));
                }
                Some((work, request)) => {
                    says.entry(to.0 as usize - 1).or_default().push(Message::Request(work, request));
                }
                None if to != self.life.node => {
                    says.entry(to.0 as usize - 1).or_default().push(Message::Alive)
                }
                None => {}
            }
        }
        says.into_iter().for_each(|(to, says)| self.send(now, to, &says, out));
    }

    fn send(&self, now: Time, to: usize, says: &[Message], out: &mut Outbox) {
        let from = Header { cluster: 1, sender: self.life, epoch: (1, false), sent_at_ms: now };
        wire::write(&from, says, &self.secret).into_iter().for_each(|bytes| out.send(to, bytes));
    }
}

impl Process for HollowCustody {
    fn due(&self) -> Option<Time> {
        Some(self.next_wake.min(self.next_work))
    }

    fn wake(&mut self, now: Time, out: &mut Outbox) {
        if now >= self.next_work {
            self.next_work = now + self.every.max(1);
            self.begin(now);
        }
        self.keeper.handle_timeout(now);
        self.coordinator.handle_timeout(now);
        self.after(now, out);
    }

    fn receive(&mut self, now: Time, from: usize, bytes: &[u8], out: &mut Outbox) {
        let Ok((by, says)) = wire::read(bytes, 1, &self.secret) else { return };
        self.keeper.mark_alive(now, by.sender);
        let mut replies = Vec::new();
        for say in says {
            match say {
                Message::Request(work, Request::FetchPieces(blob, want)) => {
                    let given = self.keeper.fetch_pieces(now, work, blob, want);
                    replies.extend(given.into_iter().map(|reply| Message::Reply(work, reply)));
                }
                Message::Request(work, request) => {
                    replies.push(Message::Reply(work, self.keeper.handle_request(now, work, request)));
                }
                Message::Reply(work, reply) => {
                    self.coordinator.handle_reply(now, by.sender.node, work, reply)
                }
                Message::Alive => {}
            }
        }
        if !replies.is_empty() {
            self.send(now, from, &replies, out);
        }
        self.after(now, out);
    }
}

/// A fleet whose nodes each take a work every so often, all of them keepers.
pub fn fleet(nodes: usize, every: Time) -> Network<HollowCustody> {
    let names = (0..nodes).map(|n| (node_id(n), format!("z{}", n % crate::deployment::ZONES)));
    let roster = Roster::new(names.collect()).expect("a roster");
    let rosters = Rosters { epoch: 1, current: roster, previous: None };
    let mut network = Network::new(nodes, 5);
    for number in 0..nodes {
        let mut node = HollowCustody::new(number, rosters.clone(), network.now, every);
        (0..nodes).for_each(|other| {
            node.coordinator.update_membership(Incarnation { node: node_id(other), number: 1 }, true)
        });
        network.start(number, node);
    }
    network
}

/// Measures all of it.
pub fn run(report: &mut Report) {
    for nodes in NODES {
        measure_fleet(report, BY_NODES, nodes as u64, nodes, 1_000);
    }
    for works in WORKS {
        let every = (LIFE_MS * NODES_OF_WORKS as u64 / works as u64).max(1);
        measure_fleet(report, BY_WORKS, works as u64, NODES_OF_WORKS, every);
    }
}

fn measure_fleet(report: &mut Report, scenario: &str, size: u64, nodes: usize, every: Time) {
    let (mut network, cost) = measure(|| {
        let mut network = fleet(nodes, every);
        network.run(2 * LIFE_MS + LIFE_MS / 2);
        network
    });
    network.reset_traffic();
    network.timed = true;
    let asked = |network: &Network<HollowCustody>| {
        (0..nodes).filter_map(|n| network.get(n)).map(|node| node.asked).sum::<u64>()
    };
    let before = asked(&network);
    network.run(2_000);
    let works = (asked(&network) - before).max(1) as f64;
    let sum = |of: &dyn Fn(usize) -> u64| (0..nodes).map(of).sum::<u64>() as f64;
    let kept: u64 = (0..nodes).filter_map(|n| network.get(n)).map(|node| node.keeper.figures().works).sum();
    let unserved: u64 = (0..nodes).filter_map(|n| network.get(n)).map(|node| node.unserved).sum();
    report.add(
        scenario,
        size,
        &[
            ("bytes a work", sum(&|n| network.traffic(n).sent_bytes) / works),
            ("messages a work", sum(&|n| network.traffic(n).sent_messages) / works),
            ("processor us a work", sum(&|n| network.traffic(n).processor_ns) / works / 1e3),
            ("kept MB", megabytes(cost.kept_bytes) / nodes as f64),
            ("entries kept at a node", kept as f64 / nodes as f64),
            ("unserved", unserved as f64),
        ],
    );
}
