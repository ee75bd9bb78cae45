//! Many processes in virtual time, and the network between them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::ops::RangeInclusive;

use crate::measure::Stopwatch;

/// A time in milliseconds; it starts anywhere and never runs backwards.
pub type Time = u64;

/// A process without sockets.
pub trait Process {
    /// When it wants to be woken; `None`: only by a message.
    fn due(&self) -> Option<Time>;
    /// The time it asked for has come.
    fn wake(&mut self, now: Time, out: &mut Outbox);
    /// A message has arrived.
    fn receive(&mut self, now: Time, from: usize, bytes: &[u8], out: &mut Outbox);
}

/// What a process sends while it is called.
#[derive(Debug, Default)]
pub struct Outbox {
    messages: Vec<(usize, Vec<u8>)>,
}

impl Outbox {
    /// Sends a message to the process of that number.
    pub fn send(&mut self, to: usize, bytes: Vec<u8>) {
        self.messages.push((to, bytes));
    }

    /// What has been sent so far, taken out.
    pub fn take(&mut self) -> Vec<(usize, Vec<u8>)> {
        std::mem::take(&mut self.messages)
    }
}

/// How messages fare between any two processes.
#[derive(Clone, Debug)]
pub struct Link {
    /// Which part of the messages is lost.
    pub loss: f64,
    /// Which part of them arrives twice.
    pub duplicated: f64,
    /// How long one takes.
    pub delay: RangeInclusive<Time>,
}

impl Default for Link {
    fn default() -> Self {
        Self { loss: 0.0, duplicated: 0.0, delay: 1..=5 }
    }
}

/// What a process has sent and received, and the processor time of its calls.
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
    /// Processor time of all calls, in nanoseconds; 0 unless [`Network::timed`].
    pub processor_ns: u64,
}

enum Event {
    Wake(usize),
    Arrival { from: usize, to: usize, bytes: Vec<u8> },
}

struct Slot<P> {
    process: Option<P>,
    /// Its wake-up that is in the queue.
    armed: Option<Time>,
    /// Which side of a partition it is on.
    partition: u32,
    traffic: Traffic,
}

/// All processes, and the messages under way.
pub struct Network<P> {
    /// The time by now.
    pub now: Time,
    /// How messages fare.
    pub link: Link,
    /// Whether the processor time of each call is measured.
    pub timed: bool,
    random: fastrand::Rng,
    slots: Vec<Slot<P>>,
    /// Pairs between whom nothing passes, the lower number first.
    severed: BTreeSet<(usize, usize)>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
}

impl<P: Process> Network<P> {
    /// A network for so many processes, none of which has been started.
    pub fn new(size: usize, seed: u64) -> Self {
        let empty = || Slot { process: None, armed: None, partition: 0, traffic: Traffic::default() };
        Self {
            now: 1_000_000,
            link: Link::default(),
            timed: false,
            random: fastrand::Rng::with_seed(seed),
            slots: (0..size).map(|_| empty()).collect(),
            severed: BTreeSet::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
        }
    }

    /// How many processes there is room for.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Is there room for none?
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Starts a process, in place of any that runs under that number.
    pub fn start(&mut self, number: usize, process: P) {
        self.slots[number].process = Some(process);
        self.slots[number].armed = None;
        self.arm(number);
    }

    /// Ends a process at once; what it had sent still arrives.
    pub fn kill(&mut self, number: usize) -> Option<P> {
        self.slots[number].process.take()
    }

    /// The process of that number, if it runs.
    pub fn get(&self, number: usize) -> Option<&P> {
        self.slots[number].process.as_ref()
    }

    /// Calls a process from outside, and delivers what it sends.
    pub fn with<T>(&mut self, number: usize, call: impl FnOnce(&mut P, Time, &mut Outbox) -> T) -> Option<T> {
        let mut out = Outbox::default();
        let slot = &mut self.slots[number];
        let process = slot.process.as_mut()?;
        let watch = self.timed.then(Stopwatch::start);
        let result = call(process, self.now, &mut out);
        slot.traffic.processor_ns += watch.map_or(0, |watch| watch.elapsed_ns());
        self.deliver(number, out);
        self.arm(number);
        Some(result)
    }

    /// Puts processes on a side of a partition; only those on one side reach each other. All begin on side 0.
    pub fn partition(&mut self, side: u32, numbers: impl IntoIterator<Item = usize>) {
        for number in numbers {
            self.slots[number].partition = side;
        }
    }

    /// Lets nothing pass between two processes, or again what is sent.
    pub fn sever(&mut self, one: usize, other: usize, severed: bool) {
        let pair = (one.min(other), one.max(other));
        if severed {
            self.severed.insert(pair);
        } else {
            self.severed.remove(&pair);
        }
    }

    /// What a process has sent, received and used.
    pub fn traffic(&self, number: usize) -> Traffic {
        self.slots[number].traffic
    }

    /// Forgets all traffic so far.
    pub fn reset_traffic(&mut self) {
        self.slots.iter_mut().for_each(|slot| slot.traffic = Traffic::default());
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Time) {
        let end = self.now + span;
        while let Some(Reverse((at, _))) = self.queue.peek() {
            if *at > end {
                break;
            }
            self.step();
        }
        self.now = end;
    }

    /// Lets time pass until this holds, looking every `step`; gives how long it took, `None` where it took too long.
    pub fn run_until(&mut self, step: Time, most: Time, holds: impl Fn(&Self) -> bool) -> Option<Time> {
        let began = self.now;
        while !holds(self) {
            if self.now - began >= most {
                return None;
            }
            self.run(step);
        }
        Some(self.now - began)
    }

    fn step(&mut self) {
        let Some(Reverse((at, number))) = self.queue.pop() else { return };
        self.now = at;
        match self.events.remove(&number) {
            Some(Event::Wake(process)) => self.wake(process),
            Some(Event::Arrival { from, to, bytes }) => self.arrive(from, to, &bytes),
            None => {}
        }
    }

    fn wake(&mut self, number: usize) {
        let slot = &mut self.slots[number];
        if slot.armed != Some(self.now) {
            return;
        }
        slot.armed = None;
        let due = slot.process.as_ref().and_then(Process::due);
        if due.is_some_and(|due| due <= self.now) {
            self.with(number, |process, now, out| process.wake(now, out));
        } else {
            self.arm(number);
        }
    }

    fn arrive(&mut self, from: usize, to: usize, bytes: &[u8]) {
        // A partition cuts what is under way, too.
        let severed = self.severed.contains(&(from.min(to), from.max(to)));
        let parted = severed || self.slots[from].partition != self.slots[to].partition;
        if parted || self.slots[to].process.is_none() {
            return;
        }
        let traffic = &mut self.slots[to].traffic;
        traffic.received_messages += 1;
        traffic.received_bytes += bytes.len() as u64;
        self.with(to, |process, now, out| process.receive(now, from, bytes, out));
    }

    fn deliver(&mut self, from: usize, mut out: Outbox) {
        for (to, bytes) in out.take() {
            let traffic = &mut self.slots[from].traffic;
            traffic.sent_messages += 1;
            traffic.sent_bytes += bytes.len() as u64;
            let copies = 1 + usize::from(self.random.f64() < self.link.duplicated);
            for _ in 0..copies {
                if self.random.f64() < self.link.loss {
                    continue;
                }
                let at = self.now + self.random.u64(self.link.delay.clone());
                self.schedule(at, Event::Arrival { from, to, bytes: bytes.clone() });
            }
        }
    }

    fn arm(&mut self, number: usize) {
        let slot = &mut self.slots[number];
        let Some(due) = slot.process.as_ref().and_then(Process::due) else { return };
        let due = due.max(self.now);
        if slot.armed.is_none_or(|armed| due < armed) {
            slot.armed = Some(due);
            self.schedule(due, Event::Wake(number));
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.next_event += 1;
        self.queue.push(Reverse((at, self.next_event)));
        self.events.insert(self.next_event, event);
    }
}
