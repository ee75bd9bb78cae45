//! Simulates a fleet of instances in virtual time, on a network that can lose, delay and duplicate datagrams
//! and be partitioned, and counts everything that is spent.
#![allow(dead_code)]

use std::collections::{BTreeMap, BinaryHeap};

use glenwood_usage::wire::Secret;
use glenwood_usage::{Datagram, Key, RunId, Settings, Usage};

pub const WINDOW_MS: u64 = 5000;

/// A seeded generator of pseudo-random numbers.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n.max(1)
    }

    pub fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

pub fn settings(instances: usize, number: usize) -> Settings {
    Settings {
        list: 1,
        instances,
        number,
        window_ms: WINDOW_MS,
        exchange_ms: 100,
        instance_timeout_ms: 10_000,
        max_shared_keys: 4096,
    }
}

pub fn secret() -> Secret {
    Secret::new(b"a secret of all instances")
}

#[derive(Clone, Copy)]
pub struct Link {
    pub loss: f64,
    pub delay: (u64, u64),
    pub duplication: f64,
}

/// A datagram in flight: the arrival time (with a sequence number), the sender, the receiver and the bytes.
type InFlight = (std::cmp::Reverse<(u64, u64)>, usize, usize, Vec<u8>);

pub struct Fleet {
    pub now: u64,
    pub instances: Vec<Option<Usage>>,
    /// By how much the clock of each instance is ahead, in milliseconds.
    pub clock_offsets: Vec<i64>,
    pub link: Link,
    /// The side of a partition that each instance is on.
    pub side: Vec<u8>,
    /// The instances whose datagrams are all lost.
    pub muted: Vec<bool>,
    pub random: Random,
    in_flight: BinaryHeap<InFlight>,
    sequence: u64,
    boots: u64,
    pub allowances: Vec<u32>,
    /// The amount spent of each key in each window, over all runs of all instances.
    pub spent: BTreeMap<(usize, u64), u64>,
    /// The amount requested, by key.
    pub asked: Vec<u64>,
    /// The amount granted, by key.
    pub served: Vec<u64>,
    pub bytes: u64,
    /// Every datagram sent with its receiver, for replay.
    pub recording: Option<Vec<(usize, Vec<u8>)>>,
}

impl Fleet {
    pub fn new(instances: usize, allowances: &[u32], seed: u64) -> Self {
        let mut fleet = Self {
            // In the middle of a window.
            now: 1_000_000_000 + WINDOW_MS / 2,
            instances: (0..instances).map(|_| None).collect(),
            clock_offsets: vec![0; instances],
            link: Link { loss: 0.0, delay: (1, 5), duplication: 0.0 },
            side: vec![0; instances],
            muted: vec![false; instances],
            random: Random(seed),
            in_flight: BinaryHeap::new(),
            sequence: 0,
            boots: 0,
            allowances: allowances.to_vec(),
            spent: BTreeMap::new(),
            asked: vec![0; allowances.len()],
            served: vec![0; allowances.len()],
            bytes: 0,
            recording: None,
        };
        (0..instances).for_each(|n| fleet.start(n));
        fleet
    }

    fn clock(&self, n: usize) -> u64 {
        self.now.saturating_add_signed(self.clock_offsets[n])
    }

    pub fn start(&mut self, n: usize) {
        self.start_with(n, settings(self.instances.len(), n));
    }

    /// Starts a new run of an instance.
    pub fn start_with(&mut self, n: usize, settings: Settings) {
        self.boots += 1;
        let run_id = RunId(self.random.next() | 1);
        let mut usage = Usage::new(settings, secret(), run_id, self.clock(n)).expect("valid settings");
        for (key, allowance) in self.allowances.iter().enumerate() {
            assert_eq!(usage.set_allowance(Key(key as u64 + 1), *allowance), key);
        }
        self.instances[n] = Some(usage);
    }

    pub fn stop(&mut self, n: usize) {
        self.instances[n] = None;
    }

    fn send(&mut self, from: usize, datagrams: Vec<Datagram>) {
        for Datagram { to, bytes } in datagrams {
            self.bytes += bytes.len() as u64;
            if let Some(recording) = &mut self.recording {
                recording.push((to, bytes.clone()));
            }
            let copies = 1 + usize::from(self.random.fraction() < self.link.duplication);
            for _ in 0..copies {
                let lost = self.random.fraction() < self.link.loss || self.muted[from];
                let lost = lost || self.side[from] != self.side[to];
                let (min, max) = self.link.delay;
                let at = self.now + min + self.random.below(max - min + 1);
                self.sequence += 1;
                if !lost {
                    self.in_flight.push((std::cmp::Reverse((at, self.sequence)), from, to, bytes.clone()));
                }
            }
        }
    }

    /// Delivers a datagram to an instance regardless of its sender.
    pub fn deliver(&mut self, to: usize, bytes: &[u8]) {
        let mut out = Vec::new();
        if let Some(usage) = &mut self.instances[to] {
            let _ = usage.receive(bytes, &mut out);
        }
        self.send(to, out);
    }

    /// Advances the simulation by 10 ms.
    pub fn step(&mut self) {
        self.now += 10;
        while self.in_flight.peek().is_some_and(|(at, ..)| at.0 .0 <= self.now) {
            let Some((_, from, to, bytes)) = self.in_flight.pop() else { break };
            // A partition also drops datagrams in flight.
            if self.side[from] == self.side[to] {
                self.deliver(to, &bytes);
            }
        }
        for n in 0..self.instances.len() {
            let clock = self.clock(n);
            let mut out = Vec::new();
            if let Some(usage) = &mut self.instances[n] {
                usage.tick(clock, &mut out);
            }
            self.send(n, out);
        }
    }

    /// Requests an amount of a key at an instance; returns whether it was granted.
    pub fn ask(&mut self, n: usize, key: usize, amount: u32) -> bool {
        self.asked[key] += u64::from(amount);
        let Some(usage) = &mut self.instances[n] else { return false };
        let granted = usage.spend(&[(key, amount)]);
        if granted {
            let window = usage.window();
            *self.spent.entry((key, window)).or_default() += u64::from(amount);
            self.served[key] += u64::from(amount);
        }
        granted
    }

    /// Runs for `ms` with the given requests per second of each key, each at an instance that
    /// `choose_instance` picks.
    pub fn run(
        &mut self,
        ms: u64,
        rates: &[f64],
        mut choose_instance: impl FnMut(&mut Random, usize) -> usize,
    ) {
        let mut due = vec![0.0; rates.len()];
        for _ in 0..ms / 10 {
            self.step();
            for (key, rate) in rates.iter().enumerate() {
                due[key] += rate / 100.0;
                while due[key] >= 1.0 {
                    due[key] -= 1.0;
                    let n = choose_instance(&mut self.random, key);
                    self.ask(n, key, 1);
                }
            }
        }
    }

    /// The largest overspending of any key in one window, as a share of its allowance.
    pub fn overshoot(&self) -> f64 {
        let excess = |((key, _), spent): (&(usize, u64), &u64)| {
            let allowed = f64::from(self.allowances[*key]);
            (*spent as f64 - allowed) / allowed.max(1.0)
        };
        self.spent.iter().map(excess).fold(0.0, f64::max)
    }

    /// Resets all counters.
    pub fn reset_counts(&mut self) {
        self.spent.clear();
        self.asked.iter_mut().chain(&mut self.served).for_each(|n| *n = 0);
        self.bytes = 0;
    }

    /// The share of the allowance that was spent in each full window since the counters were reset.
    pub fn full_windows(&self, key: usize) -> Vec<f64> {
        let spent: Vec<u64> = self.spent.iter().filter(|((k, _), _)| *k == key).map(|(_, n)| *n).collect();
        let share = |n: &u64| *n as f64 / f64::from(self.allowances[key]);
        spent.iter().skip(1).rev().skip(1).map(share).collect()
    }

    /// The share of the allowances of `windows` windows that was spent.
    pub fn used(&self, key: usize, windows: u64) -> f64 {
        self.served[key] as f64 / (u64::from(self.allowances[key]) * windows) as f64
    }

    pub fn usage(&mut self, n: usize) -> &mut Usage {
        self.instances[n].as_mut().expect("the instance runs")
    }
}

/// Picks any of `n` instances.
pub fn any_instance(n: usize) -> impl FnMut(&mut Random, usize) -> usize {
    move |random, _| random.below(n as u64) as usize
}
