//! A simulated network of many processes in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::ops::RangeInclusive;

use crate::measure::Stopwatch;

/// Virtual time in milliseconds. The origin is arbitrary, and time never goes back.
pub type Time = u64;

/// A simulated process, which has no sockets.
pub trait Process {
    /// Time of the next wake-up; `None` if the process waits for messages only.
    fn wake_at(&self) -> Option<Time>;
    /// Called when the time of [`Process::wake_at`] is reached.
    fn wake(&mut self, now: Time, out: &mut Outbox);
    /// Called when a message arrives.
    fn receive(&mut self, now: Time, from: usize, bytes: &[u8], out: &mut Outbox);
}

/// Collects the messages that a process sends during one call.
#[derive(Debug, Default)]
pub struct Outbox {
    messages: Vec<(usize, Vec<u8>)>,
}

impl Outbox {
    /// Sends a message to the process with index `to`.
    pub fn send(&mut self, to: usize, bytes: Vec<u8>) {
        self.messages.push((to, bytes));
    }

    /// Removes and returns the messages sent so far.
    pub fn take(&mut self) -> Vec<(usize, Vec<u8>)> {
        std::mem::take(&mut self.messages)
    }
}

/// Properties of the links between all processes.
#[derive(Clone, Debug)]
pub struct Link {
    /// Fraction of the messages that is lost, from 0 to 1.
    pub loss_rate: f64,
    /// Fraction of the messages that is sent twice, from 0 to 1.
    pub duplicate_rate: f64,
    /// Range of the delay of a message, in milliseconds.
    pub delay_ms: RangeInclusive<Time>,
}

impl Default for Link {
    fn default() -> Self {
        Self { loss_rate: 0.0, duplicate_rate: 0.0, delay_ms: 1..=5 }
    }
}

/// Messages and bytes sent and received by one process, and the CPU time of its calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages sent.
    pub sent_messages: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Messages received.
    pub received_messages: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// CPU time of all calls, in nanoseconds; 0 unless [`Network::measure_cpu_time`] is set.
    pub cpu_ns: u64,
}

enum Event {
    Wake(usize),
    Arrival { from: usize, to: usize, bytes: Vec<u8> },
}

struct Slot<P> {
    process: Option<P>,
    /// Time of the pending wake-up event.
    scheduled_wake: Option<Time>,
    /// The side of the network partition that the process is on.
    partition: u32,
    traffic: Traffic,
}

/// All processes, and the messages in flight.
pub struct Network<P> {
    /// Current virtual time.
    pub now: Time,
    /// Properties of all links.
    pub link: Link,
    /// Whether to measure the CPU time of each call.
    pub measure_cpu_time: bool,
    rng: fastrand::Rng,
    slots: Vec<Slot<P>>,
    /// Pairs of processes that cannot reach each other, the lower index first.
    down_links: BTreeSet<(usize, usize)>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, Event>,
    last_event_id: u64,
}

impl<P: Process> Network<P> {
    /// Creates a network with `size` slots; no process is started yet.
    pub fn new(size: usize, seed: u64) -> Self {
        let empty =
            || Slot { process: None, scheduled_wake: None, partition: 0, traffic: Traffic::default() };
        Self {
            now: 1_000_000,
            link: Link::default(),
            measure_cpu_time: false,
            rng: fastrand::Rng::with_seed(seed),
            slots: (0..size).map(|_| empty()).collect(),
            down_links: BTreeSet::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event_id: 0,
        }
    }

    /// Number of slots for processes.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns true if there are no slots.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Starts a process in the slot `index` and replaces any process that runs there.
    pub fn start(&mut self, index: usize, process: P) {
        self.slots[index].process = Some(process);
        self.slots[index].scheduled_wake = None;
        self.schedule_wake(index);
    }

    /// Stops a process at once and returns it. Messages that it has already sent still arrive.
    pub fn kill(&mut self, index: usize) -> Option<P> {
        self.slots[index].process.take()
    }

    /// Returns the process in the slot `index`, if one runs there.
    pub fn get(&self, index: usize) -> Option<&P> {
        self.slots[index].process.as_ref()
    }

    /// Calls a function on a process, if it is running, and transmits the messages that it sends.
    pub fn with<T>(&mut self, index: usize, call: impl FnOnce(&mut P, Time, &mut Outbox) -> T) -> Option<T> {
        let mut out = Outbox::default();
        let slot = &mut self.slots[index];
        let process = slot.process.as_mut()?;
        let stopwatch = self.measure_cpu_time.then(Stopwatch::start);
        let result = call(process, self.now, &mut out);
        slot.traffic.cpu_ns += stopwatch.map_or(0, |stopwatch| stopwatch.elapsed_ns());
        self.transmit(index, out);
        self.schedule_wake(index);
        Some(result)
    }

    /// Moves processes to one side of a partition. Messages pass only between processes on the same side; all
    /// processes start on side 0.
    pub fn partition(&mut self, side: u32, indices: impl IntoIterator<Item = usize>) {
        for index in indices {
            self.slots[index].partition = side;
        }
    }

    /// Takes the link between two processes down, or up again. Messages that arrive while it is down are
    /// dropped.
    pub fn set_link_down(&mut self, a: usize, b: usize, down: bool) {
        let pair = (a.min(b), a.max(b));
        if down {
            self.down_links.insert(pair);
        } else {
            self.down_links.remove(&pair);
        }
    }

    /// Returns the traffic and CPU time of a process.
    pub fn traffic(&self, index: usize) -> Traffic {
        self.slots[index].traffic
    }

    /// Resets the traffic of all processes to zero.
    pub fn reset_traffic(&mut self) {
        self.slots.iter_mut().for_each(|slot| slot.traffic = Traffic::default());
    }

    /// Advances the virtual time and processes all events due until then.
    pub fn run(&mut self, duration: Time) {
        let end = self.now + duration;
        while let Some(Reverse((at, _))) = self.queue.peek() {
            if *at > end {
                break;
            }
            self.step();
        }
        self.now = end;
    }

    /// Runs until the condition is true, which is checked every `step`. Returns the time that it took, or
    /// `None` after the timeout.
    pub fn run_until(
        &mut self,
        step: Time,
        timeout: Time,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Time> {
        let started_at = self.now;
        while !condition(self) {
            if self.now - started_at >= timeout {
                return None;
            }
            self.run(step);
        }
        Some(self.now - started_at)
    }

    fn step(&mut self) {
        let Some(Reverse((at, event_id))) = self.queue.pop() else { return };
        self.now = at;
        match self.events.remove(&event_id) {
            Some(Event::Wake(process)) => self.wake(process),
            Some(Event::Arrival { from, to, bytes }) => self.deliver(from, to, &bytes),
            None => {}
        }
    }

    fn wake(&mut self, index: usize) {
        let slot = &mut self.slots[index];
        if slot.scheduled_wake != Some(self.now) {
            return;
        }
        slot.scheduled_wake = None;
        let wake_at = slot.process.as_ref().and_then(Process::wake_at);
        if wake_at.is_some_and(|wake_at| wake_at <= self.now) {
            self.with(index, |process, now, out| process.wake(now, out));
        } else {
            self.schedule_wake(index);
        }
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        // Messages in flight are dropped too, as the link is checked on arrival.
        let link_down = self.down_links.contains(&(from.min(to), from.max(to)));
        let separated = link_down || self.slots[from].partition != self.slots[to].partition;
        if separated || self.slots[to].process.is_none() {
            return;
        }
        let traffic = &mut self.slots[to].traffic;
        traffic.received_messages += 1;
        traffic.received_bytes += bytes.len() as u64;
        self.with(to, |process, now, out| process.receive(now, from, bytes, out));
    }

    fn transmit(&mut self, from: usize, mut out: Outbox) {
        for (to, bytes) in out.take() {
            let traffic = &mut self.slots[from].traffic;
            traffic.sent_messages += 1;
            traffic.sent_bytes += bytes.len() as u64;
            let copies = 1 + usize::from(self.rng.f64() < self.link.duplicate_rate);
            for _ in 0..copies {
                if self.rng.f64() < self.link.loss_rate {
                    continue;
                }
                let at = self.now + self.rng.u64(self.link.delay_ms.clone());
                self.schedule(at, Event::Arrival { from, to, bytes: bytes.clone() });
            }
        }
    }

    fn schedule_wake(&mut self, index: usize) {
        let slot = &mut self.slots[index];
        let Some(wake_at) = slot.process.as_ref().and_then(Process::wake_at) else { return };
        let wake_at = wake_at.max(self.now);
        if slot.scheduled_wake.is_none_or(|scheduled_wake| wake_at < scheduled_wake) {
            slot.scheduled_wake = Some(wake_at);
            self.schedule(wake_at, Event::Wake(index));
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.last_event_id += 1;
        self.queue.push(Reverse((at, self.last_event_id)));
        self.events.insert(self.last_event_id, event);
    }
}
