//! A fleet of instances in virtual time, with a network that loses, delays, doubles and parts, and a count of all that is spent.
#![allow(dead_code)]

use std::collections::{BTreeMap, BinaryHeap};

use glenwood_usage::wire::Secret;
use glenwood_usage::{Boot, Datagram, Key, Settings, Usage};

pub const WINDOW: u64 = 5000;

/// Numbers by a seed.
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

    pub fn part(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

pub fn settings(instances: usize, number: usize) -> Settings {
    Settings {
        list: 1,
        instances,
        number,
        window_ms: WINDOW,
        exchange_ms: 100,
        gone_ms: 10_000,
        shared_most: 4096,
    }
}

pub fn secret() -> Secret {
    Secret::new(b"a secret of all instances")
}

#[derive(Clone, Copy)]
pub struct Link {
    pub loss: f64,
    pub delay: (u64, u64),
    pub doubled: f64,
}

/// A datagram under way: when it comes, by whom, to whom.
type Under = (std::cmp::Reverse<(u64, u64)>, usize, usize, Vec<u8>);

pub struct Fleet {
    pub now: u64,
    pub all: Vec<Option<Usage>>,
    /// By how much the clock of each is ahead.
    pub clocks: Vec<i64>,
    pub link: Link,
    /// Which side of a partition each is on.
    pub side: Vec<u8>,
    /// What these say is lost.
    pub mute: Vec<bool>,
    pub random: Random,
    under: BinaryHeap<Under>,
    sent: u64,
    boots: u64,
    pub allowances: Vec<u32>,
    /// Spent of each key in each window, over all lives of all instances.
    pub spent: BTreeMap<(usize, u64), u64>,
    /// Asked for and spent, by key.
    pub asked: Vec<u64>,
    pub served: Vec<u64>,
    pub bytes: u64,
    /// Every datagram that was ever sent, for whoever plays them again.
    pub tape: Option<Vec<(usize, Vec<u8>)>>,
}

impl Fleet {
    pub fn new(instances: usize, allowances: &[u32], seed: u64) -> Self {
        let mut fleet = Self {
            // In the middle of a window.
            now: 1_000_000_000 + WINDOW / 2,
            all: (0..instances).map(|_| None).collect(),
            clocks: vec![0; instances],
            link: Link { loss: 0.0, delay: (1, 5), doubled: 0.0 },
            side: vec![0; instances],
            mute: vec![false; instances],
            random: Random(seed),
            under: BinaryHeap::new(),
            sent: 0,
            boots: 0,
            allowances: allowances.to_vec(),
            spent: BTreeMap::new(),
            asked: vec![0; allowances.len()],
            served: vec![0; allowances.len()],
            bytes: 0,
            tape: None,
        };
        (0..instances).for_each(|n| fleet.start(n));
        fleet
    }

    fn clock(&self, n: usize) -> u64 {
        self.now.saturating_add_signed(self.clocks[n])
    }

    pub fn start(&mut self, n: usize) {
        self.start_with(n, settings(self.all.len(), n));
    }

    /// Starts an instance, in a new life.
    pub fn start_with(&mut self, n: usize, settings: Settings) {
        self.boots += 1;
        let boot = Boot(self.random.next() | 1);
        let mut usage = Usage::new(settings, secret(), boot, self.clock(n)).expect("good settings");
        for (key, allowance) in self.allowances.iter().enumerate() {
            assert_eq!(usage.allow(Key(key as u64 + 1), *allowance), key);
        }
        self.all[n] = Some(usage);
    }

    pub fn stop(&mut self, n: usize) {
        self.all[n] = None;
    }

    fn send(&mut self, from: usize, datagrams: Vec<Datagram>) {
        for Datagram { to, bytes } in datagrams {
            self.bytes += bytes.len() as u64;
            if let Some(tape) = &mut self.tape {
                tape.push((to, bytes.clone()));
            }
            let copies = 1 + usize::from(self.random.part() < self.link.doubled);
            for _ in 0..copies {
                let lost = self.random.part() < self.link.loss || self.mute[from];
                let lost = lost || self.side[from] != self.side[to];
                let (least, most) = self.link.delay;
                let at = self.now + least + self.random.below(most - least + 1);
                self.sent += 1;
                if !lost {
                    self.under.push((std::cmp::Reverse((at, self.sent)), from, to, bytes.clone()));
                }
            }
        }
    }

    /// Gives a datagram to an instance, whoever made it.
    pub fn give(&mut self, to: usize, bytes: &[u8]) {
        let mut out = Vec::new();
        if let Some(usage) = &mut self.all[to] {
            let _ = usage.hear(bytes, &mut out);
        }
        self.send(to, out);
    }

    /// One step of 10 ms.
    pub fn step(&mut self) {
        self.now += 10;
        while self.under.peek().is_some_and(|(at, ..)| at.0 .0 <= self.now) {
            let Some((_, from, to, bytes)) = self.under.pop() else { break };
            // A partition cuts what is under way too.
            if self.side[from] == self.side[to] {
                self.give(to, &bytes);
            }
        }
        for n in 0..self.all.len() {
            let clock = self.clock(n);
            let mut out = Vec::new();
            if let Some(usage) = &mut self.all[n] {
                usage.tick(clock, &mut out);
            }
            self.send(n, out);
        }
    }

    /// One request of a key at an instance.
    pub fn ask(&mut self, n: usize, key: usize, amount: u32) -> bool {
        self.asked[key] += u64::from(amount);
        let Some(usage) = &mut self.all[n] else { return false };
        let within = usage.spend(&[(key, amount)]);
        if within {
            let window = usage.window();
            *self.spent.entry((key, window)).or_default() += u64::from(amount);
            self.served[key] += u64::from(amount);
        }
        within
    }

    /// Lets time pass, with so many requests a second of each key, each at an instance that `at` draws.
    pub fn run(&mut self, ms: u64, rates: &[f64], mut at: impl FnMut(&mut Random, usize) -> usize) {
        let mut owed = vec![0.0; rates.len()];
        for _ in 0..ms / 10 {
            self.step();
            for (key, rate) in rates.iter().enumerate() {
                owed[key] += rate / 100.0;
                while owed[key] >= 1.0 {
                    owed[key] -= 1.0;
                    let n = at(&mut self.random, key);
                    self.ask(n, key, 1);
                }
            }
        }
    }

    /// The most that was spent beyond an allowance in one window, as a part of it.
    pub fn overshoot(&self) -> f64 {
        let over = |((key, _), spent): (&(usize, u64), &u64)| {
            let allowed = f64::from(self.allowances[*key]);
            (*spent as f64 - allowed) / allowed.max(1.0)
        };
        self.spent.iter().map(over).fold(0.0, f64::max)
    }

    /// Forgets what was counted so far.
    pub fn count_anew(&mut self) {
        self.spent.clear();
        self.asked.iter_mut().chain(&mut self.served).for_each(|n| *n = 0);
        self.bytes = 0;
    }

    /// Which part of its allowance was spent in each window that was whole since the count began anew.
    pub fn whole(&self, key: usize) -> Vec<f64> {
        let spent: Vec<u64> = self.spent.iter().filter(|((k, _), _)| *k == key).map(|(_, n)| *n).collect();
        let part = |n: &u64| *n as f64 / f64::from(self.allowances[key]);
        spent.iter().skip(1).rev().skip(1).map(part).collect()
    }

    /// Which part of what might have been spent in whole windows was, where so much was asked for that all could be.
    pub fn used(&self, key: usize, windows: u64) -> f64 {
        self.served[key] as f64 / (u64::from(self.allowances[key]) * windows) as f64
    }

    pub fn usage(&mut self, n: usize) -> &mut Usage {
        self.all[n].as_mut().expect("it runs")
    }
}

/// Any of `n`.
pub fn anywhere(n: usize) -> impl FnMut(&mut Random, usize) -> usize {
    move |random, _| random.below(n as u64) as usize
}
