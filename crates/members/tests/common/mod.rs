//! Simulates members in virtual time on a network that can lose, delay and duplicate datagrams and cut links.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::SocketAddr;

use glenwood_members::{Event, Id, Member, Members, Secret, Settings, State};

pub const PROBE_MS: u64 = 100;
const ZONES: usize = 3;

pub fn address(n: usize) -> SocketAddr {
    format!("10.0.{}.{}:7946", n / 250, n % 250 + 1).parse().expect("valid address")
}

pub fn name(n: usize) -> String {
    format!("n{n}")
}

pub fn settings(n: usize, start_id: u64) -> Settings {
    Settings {
        cluster: "tests".into(),
        local_member: Member {
            name: name(n),
            start_id,
            address: address(n),
            zone: format!("z{}", n % ZONES),
        },
        seeds: (0..3).map(address).collect(),
        probe_ms: PROBE_MS,
        max_members: 1000,
        forget_ms: 600_000,
    }
}

pub fn secret() -> Secret {
    Secret::new(b"a secret of all members")
}

pub struct Node {
    pub members: Members,
    /// The process is stopped; datagrams that arrive are kept in `inbox`.
    pub paused: bool,
    inbox: VecDeque<Vec<u8>>,
    /// The time of its next wake-up in the heap.
    next_wake: u64,
}

/// A scheduled simulation step.
enum Scheduled {
    Wake(usize),
    Arrival(usize, Vec<u8>),
}

/// An event that a member reported: the time, the member and the event.
pub type Observation = (u64, usize, Event);

pub struct Net {
    pub now: u64,
    pub nodes: Vec<Option<Node>>,
    /// The share of datagrams that is lost.
    pub loss: f64,
    /// The maximum delay of the others, in milliseconds.
    pub delay: u64,
    /// The share of datagrams that is duplicated.
    pub duplication: f64,
    /// Whether the link from one member to another is cut.
    pub is_cut: Box<dyn Fn(usize, usize) -> bool>,
    pub random: fastrand::Rng,
    pub observations: Vec<Observation>,
    /// Every datagram sent with its receiver, for replay.
    pub recording: Option<Vec<(usize, Vec<u8>)>>,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<(u64, u64), Scheduled>,
    sequence: u64,
    starts: u64,
    by_address: BTreeMap<SocketAddr, usize>,
}

impl Net {
    pub fn new(nodes: usize, seed: u64) -> Self {
        Self {
            now: 1_000_000,
            nodes: (0..nodes).map(|_| None).collect(),
            loss: 0.0,
            delay: 5,
            duplication: 0.0,
            is_cut: Box::new(|_, _| false),
            random: fastrand::Rng::with_seed(seed),
            observations: Vec::new(),
            recording: None,
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            starts: 0,
            by_address: (0..nodes).map(|n| (address(n), n)).collect(),
        }
    }

    /// Starts all members at once and runs until they know each other.
    pub fn converged(nodes: usize, seed: u64) -> Self {
        let mut net = Self::new(nodes, seed);
        (0..nodes).for_each(|n| net.start(n));
        let deadline = net.now + 20_000;
        while !net.is_converged() {
            assert!(net.now < deadline, "the members do not find each other: {:?}", net.living_counts());
            net.run(100);
        }
        net.observations.clear();
        net
    }

    fn push(&mut self, at: u64, scheduled: Scheduled) {
        self.sequence += 1;
        self.heap.push(Reverse((at, self.sequence)));
        self.events.insert((at, self.sequence), scheduled);
    }

    pub fn start(&mut self, n: usize) {
        let now = self.now;
        self.start_with_incarnation(n, now);
    }

    /// Starts a member with this incarnation.
    pub fn start_with_incarnation(&mut self, n: usize, incarnation: u64) {
        self.starts += 1;
        let seed = self.random.u64(..);
        let members = Members::new(settings(n, self.starts), secret(), incarnation, seed, self.now)
            .expect("valid settings");
        self.nodes[n] = Some(Node { members, paused: false, inbox: VecDeque::new(), next_wake: u64::MAX });
        self.schedule_wake(n);
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n] = None;
    }

    pub fn pause(&mut self, n: usize) {
        if let Some(node) = &mut self.nodes[n] {
            node.paused = true;
        }
    }

    /// Resumes a paused member; it first receives what arrived meanwhile, as from a socket's buffer.
    pub fn resume(&mut self, n: usize) {
        let now = self.now;
        if let Some(node) = &mut self.nodes[n] {
            node.paused = false;
            while let Some(bytes) = node.inbox.pop_front() {
                let _ = node.members.receive(now, &bytes);
            }
            node.members.tick(now);
        }
        self.flush(n);
    }

    pub fn leave(&mut self, n: usize) {
        let now = self.now;
        if let Some(node) = &mut self.nodes[n] {
            node.members.leave(now);
        }
        self.flush(n);
    }

    pub fn members(&self, n: usize) -> &Members {
        &self.nodes[n].as_ref().expect("the member runs").members
    }

    /// The state that one member holds of another.
    pub fn state(&self, by: usize, of: usize) -> Option<State> {
        self.members(by).get(Id::of(&name(of))).map(|(_, state)| state)
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|n| self.nodes[*n].is_some()).collect()
    }

    pub fn living_counts(&self) -> Vec<usize> {
        self.running().iter().map(|n| self.members(*n).living().count()).collect()
    }

    /// Whether every running member considers all running members alive, and no others.
    pub fn is_converged(&self) -> bool {
        let running = self.running();
        running.iter().all(|by| {
            self.members(*by).living().count() + 1 == running.len()
                && running.iter().all(|of| self.state(*by, *of).is_some_and(|s| matches!(s, State::Alive)))
        })
    }

    fn schedule_wake(&mut self, n: usize) {
        let now = self.now;
        let Some(node) = &mut self.nodes[n] else { return };
        let due = node.members.due().max(now);
        if due < node.next_wake || node.next_wake < now {
            node.next_wake = due;
            self.push(due, Scheduled::Wake(n));
        }
    }

    /// Sends the datagrams that a member has queued and records its events.
    fn flush(&mut self, n: usize) {
        let Some(node) = &mut self.nodes[n] else { return };
        let (mut out, mut new_events) = (Vec::new(), Vec::new());
        while let Some(transmit) = node.members.poll_transmit() {
            out.push(transmit);
        }
        while let Some(event) = node.members.poll_event() {
            new_events.push((self.now, n, event));
        }
        self.observations.extend(new_events);
        for transmit in out {
            let Some(to) = self.by_address.get(&transmit.to).copied() else { continue };
            if let Some(recording) = &mut self.recording {
                recording.push((to, transmit.bytes.clone()));
            }
            let copies = 1 + usize::from(self.random.f64() < self.duplication);
            for _ in 0..copies {
                if self.random.f64() >= self.loss && !(self.is_cut)(n, to) {
                    let at = self.now + self.random.u64(1..=self.delay);
                    self.push(at, Scheduled::Arrival(to, transmit.bytes.clone()));
                }
            }
        }
        self.schedule_wake(n);
    }

    /// Delivers a datagram to a member regardless of its sender.
    pub fn deliver(&mut self, to: usize, bytes: &[u8]) {
        let now = self.now;
        if let Some(node) = &mut self.nodes[to] {
            let _ = node.members.receive(now, bytes);
        }
        self.flush(to);
    }

    pub fn run(&mut self, duration: u64) {
        let end = self.now + duration;
        while let Some(Reverse(next)) = self.heap.peek().copied() {
            if next.0 > end {
                break;
            }
            self.heap.pop();
            self.now = next.0;
            let now = self.now;
            let n = match self.events.remove(&next) {
                Some(Scheduled::Wake(n)) => {
                    let Some(node) = &mut self.nodes[n] else { continue };
                    if node.next_wake != now || node.paused {
                        continue;
                    }
                    node.next_wake = u64::MAX;
                    if node.members.due() <= now {
                        node.members.tick(now);
                    }
                    n
                }
                Some(Scheduled::Arrival(n, bytes)) => {
                    let Some(node) = &mut self.nodes[n] else { continue };
                    if node.paused {
                        node.inbox.push_back(bytes);
                        continue;
                    }
                    let _ = node.members.receive(now, &bytes);
                    n
                }
                None => continue,
            };
            self.flush(n);
        }
        self.now = end;
    }

    /// Runs until the condition holds; returns the time that passed.
    pub fn run_until(&mut self, condition: &str, timeout: u64, holds: impl Fn(&Self) -> bool) -> u64 {
        let started = self.now;
        while !holds(self) {
            assert!(self.now < started + timeout, "not within {timeout} ms: {condition}");
            self.run(10);
        }
        self.now - started
    }

    /// The names of the members declared lost, with the number of reports.
    pub fn lost(&self) -> BTreeMap<String, usize> {
        let mut lost = BTreeMap::new();
        for (_, _, event) in &self.observations {
            if let Event::Lost(member) = event {
                *lost.entry(member.name.clone()).or_default() += 1;
            }
        }
        lost
    }

    /// The mean number of bytes that each member sends per second, measured over `duration` ms.
    pub fn bytes_per_second(&mut self, duration: u64) -> f64 {
        let sum =
            |net: &Self| net.running().iter().map(|n| net.members(*n).counters().sent_bytes).sum::<u64>();
        let before = sum(self);
        self.run(duration);
        (sum(self) - before) as f64 * 1000.0 / duration as f64 / self.running().len() as f64
    }
}

/// The times, in ms and sorted, that the other members took to report a loss that began at `since`.
pub fn detection_times(net: &Net, of: usize, since: u64) -> Vec<u64> {
    let delay_if_lost = |(at, _, event): &Observation| match event {
        Event::Lost(member) if member.name == name(of) && *at >= since => Some(at - since),
        _ => None,
    };
    let mut times: Vec<u64> = net.observations.iter().filter_map(delay_if_lost).collect();
    times.sort_unstable();
    times
}
