//! One instance: what it holds and spends, and what it says to the others.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use crate::ledger::{base, mix, part, Boot, Key, Rights, Slot};
use crate::votes::{Lives, Replay, Votes};
use crate::wire::{room, Bad, Entry, Message, Secret, INSTANCES_MOST};

/// How much more than it expects to need an instance asks for.
const AHEAD: f64 = 1.1;
/// The part of a window after which rights of the next are asked for.
const EARLY: f64 = 0.4;
/// How many datagrams go out by turns at an exchange, at the least, and how often each pair should speak in a window.
const FAN_OUT: usize = 8;
const WORDS_A_WINDOW: u64 = 4;
/// One place of so many in a datagram is for wishes by turns, as the largest come first at the others.
const BY_TURNS: usize = 4;
/// One datagram in so many carries a digest.
const DIGEST_EVERY: u64 = 16;
/// The most slots of others that are kept for all keys together: 2.5 MB.
const SLOTS_MOST: usize = 1 << 16;

/// How instances share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The number of the list of instances: those who go by another list are not heard.
    pub list: u32,
    /// How many instances there are.
    pub instances: usize,
    /// Which of them this is, from 0.
    pub number: usize,
    /// How long a window is, in milliseconds.
    pub window_ms: u64,
    /// How often instances speak.
    pub exchange_ms: u64,
    /// After how long without a word an instance counts as gone.
    pub gone_ms: u64,
    /// How many keys may be shared at a time; the others keep to the parts that each instance has by itself.
    pub shared_most: usize,
}

impl Settings {
    /// Checks that they make sense.
    ///
    /// # Errors
    /// The field, and what is expected.
    pub fn check(&self) -> Result<(), String> {
        let within = |name: &str, n: u64, least: u64, most: u64| {
            let fits = (least..=most).contains(&n);
            fits.then_some(()).ok_or_else(|| format!("{name}: {least} to {most} expected, not {n}"))
        };
        within("instances", self.instances as u64, 1, INSTANCES_MOST as u64)?;
        within("number", self.number as u64, 0, self.instances as u64 - 1)?;
        within("window_ms", self.window_ms, 100, 3_600_000)?;
        within("exchange_ms", self.exchange_ms, 10, self.window_ms / 4)?;
        within("gone_ms", self.gone_ms, 2 * self.exchange_ms, 3_600_000)?;
        within("shared_most", self.shared_most as u64, 1, 1 << 16)
    }
}

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// To which instance.
    pub to: usize,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// What is known of every key, of which there may be very many.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    key: u64,
    /// Allowed in a window, over all instances.
    allowance: u32,
    /// Which window the counts are of, as far as it was touched.
    window: u64,
    spent: u32,
    /// Asked for, in vain too.
    asked: u32,
    /// The same of the window before.
    before: (u32, u32),
    /// What is left to be spent in this window, as it was last reckoned.
    held: u32,
    /// For which view of the votes `held` was reckoned.
    view: u64,
}

/// A key whose rights change hands.
#[derive(Clone, Debug)]
struct Shared {
    /// Of the present window and the next.
    rights: [Rights; 2],
    /// What others last said that they hold of these, and by which of their versions.
    others: [BTreeMap<u16, (u32, u64)>; 2],
    /// What is wanted of each.
    wants: [u32; 2],
    /// What all of them are thought to hold.
    thought: [u64; 2],
    /// By which change something of it was handed on last.
    version: u64,
}

/// Another instance.
#[derive(Clone, Debug, Default)]
struct Peer {
    lives: Lives,
    replay: Replay,
    /// When it last proved that it runs.
    heard_at: Option<u64>,
    /// By how much its clock seemed ahead of this one's, and this one's of its: either is too small by the time that the
    /// datagram took.
    ahead: (i64, i64),
    /// Up to which version it has been heard.
    theirs: u64,
    /// Up to which version it has heard.
    acked: u64,
    /// Numbers the datagrams to it.
    turn: u64,
    /// It waits for rights, or its word is due.
    urgent: bool,
    /// Keys of which something was handed on to it since.
    due: Vec<usize>,
}

impl Peer {
    /// By how much its clock is ahead at the least; 0 where the delays of the network may explain all of it.
    fn surely_ahead(&self) -> i64 {
        let (least, most) = (self.ahead.0, self.ahead.1.saturating_neg());
        0.clamp(least.min(most), most.max(least))
    }
}

/// What an instance says of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Share {
    /// The key.
    pub key: u64,
    /// The window.
    pub window: u64,
    /// Allowed in a window, over all instances.
    pub allowance: u32,
    /// Spent here.
    pub spent: u32,
    /// Held here, to be spent.
    pub held: u32,
    /// Asked for here.
    pub asked: u32,
    /// Spent by the others, as far as they said.
    pub others: u32,
    /// Spent and asked for here in the window before.
    pub before: (u32, u32),
    /// Its rights change hands.
    pub shared: bool,
}

/// What an instance knows of one key at another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Explained {
    /// The instance.
    pub instance: usize,
    /// What it has spent.
    pub spent: u32,
    /// What it held when it last said.
    pub held: Option<u32>,
    /// What it has handed on to this one, and this one to it.
    pub given: (u32, u32),
}

/// What an instance knows of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Peers {
    /// The instance.
    pub instance: usize,
    /// How long ago it last proved that it runs, in milliseconds.
    pub age_ms: Option<u64>,
    /// By how much its clock is ahead.
    pub ahead_ms: i64,
    /// How many changes it has not heard yet.
    pub behind: u64,
    /// Its part is divided among the others in this window.
    pub gone: bool,
}

/// One instance.
#[derive(Debug)]
pub struct Usage {
    set: Settings,
    secret: Secret,
    boot: Boot,
    /// The last time that was told, by the clock as it was set right.
    now: u64,
    /// What the others' clocks say of this one.
    offset: i64,
    began: u64,
    window: u64,
    votes: Votes,
    /// Raised with each vote, as parts may have changed.
    view: u64,
    /// Whether it has its own part, and whose it divides: of the present window and the next.
    parts: [(bool, Vec<usize>); 2],
    counts: Vec<Count>,
    by_key: HashMap<u64, usize>,
    /// Those that were asked for in this window or the one before.
    active: Vec<usize>,
    shared: BTreeMap<usize, Shared>,
    slots: usize,
    /// Counts the times that wishes were reckoned.
    round: u64,
    /// The keys that something is wanted of, the largest wish first.
    wishes: Vec<usize>,
    /// By which version something of which key was handed on last.
    changed: BTreeMap<u64, usize>,
    version: u64,
    peers: Vec<Peer>,
    /// Others may go by another list: one was heard, or not all of this one were in this life.
    strictly: bool,
    /// Whose turn it is to be spoken to.
    turn: usize,
    spoke: u64,
    /// Datagrams that were turned down.
    pub refused: u64,
}

impl Usage {
    /// An instance at its start. `boot` must differ from that of every start before.
    ///
    /// # Errors
    /// Where the settings make no sense.
    pub fn new(set: Settings, secret: Secret, boot: Boot, now: u64) -> Result<Self, String> {
        set.check()?;
        let window = now / set.window_ms;
        Ok(Self {
            votes: Votes::new(set.instances, set.number, window),
            peers: vec![Peer::default(); set.instances],
            set,
            secret,
            boot,
            now,
            offset: 0,
            began: now,
            window,
            view: 1,
            parts: Default::default(),
            counts: Vec::new(),
            by_key: HashMap::new(),
            active: Vec::new(),
            shared: BTreeMap::new(),
            slots: 0,
            round: 0,
            wishes: Vec::new(),
            changed: BTreeMap::new(),
            version: 0,
            strictly: true,
            turn: 0,
            spoke: 0,
            refused: 0,
        })
    }

    /// Takes a key in, or its new allowance, which counts from the next window on for what is not spent yet; its handle.
    pub fn allow(&mut self, key: Key, allowance: u32) -> usize {
        let handle = *self.by_key.entry(key.0).or_insert_with(|| {
            self.counts.push(Count { key: key.0, ..Count::default() });
            self.counts.len() - 1
        });
        if self.counts[handle].allowance != allowance {
            self.counts[handle].allowance = allowance;
            self.counts[handle].view = 0;
        }
        handle
    }

    /// The window by now.
    pub fn window(&self) -> u64 {
        self.window
    }

    fn base(&self, handle: usize, window: u64) -> u32 {
        let count = &self.counts[handle];
        let (own, gone) = &self.parts[(window - self.window) as usize];
        let (me, n) = (self.set.number, self.set.instances);
        base(count.allowance, Key(count.key), window, me, n, *own, gone)
    }

    /// What is held of a key in the present window (0) or the next (1).
    fn held(&self, handle: usize, which: usize) -> u32 {
        let window = self.window + which as u64;
        let (base, count) = (self.base(handle, window), &self.counts[handle]);
        let spent = if which == 0 && count.window == window { count.spent } else { 0 };
        match self.shared.get(&handle) {
            Some(shared) => shared.rights[which].held(base, spent),
            None => base.saturating_sub(spent),
        }
    }

    /// Counts of the present window.
    fn turned(&mut self, handle: usize) {
        let (window, count) = (self.window, &mut self.counts[handle]);
        if count.window != window {
            if count.window + 1 < window {
                self.active.push(handle);
            }
            count.before = if count.window + 1 == window { (count.spent, count.asked) } else { (0, 0) };
            (count.window, count.spent, count.asked, count.view) = (window, 0, 0, 0);
        }
        if self.counts[handle].view != self.view {
            self.counts[handle].held = self.held(handle, 0);
            self.counts[handle].view = self.view;
        }
    }

    /// May so much be spent of all these together? All of it is, or nothing.
    pub fn spend(&mut self, wants: &[(usize, u32)]) -> bool {
        for (handle, amount) in wants {
            self.turned(*handle);
            self.counts[*handle].asked = self.counts[*handle].asked.saturating_add(*amount);
        }
        let within = wants.iter().all(|(handle, amount)| self.counts[*handle].held >= *amount);
        if within {
            for (handle, amount) in wants {
                let count = &mut self.counts[*handle];
                (count.held, count.spent) = (count.held - amount, count.spent + amount);
            }
        }
        within
    }

    /// Tells the time; what is to be sent is appended.
    pub fn tick(&mut self, clock: u64, out: &mut Vec<Datagram>) {
        self.now = clock.saturating_add_signed(self.offset).max(1);
        // Not for each datagram that comes, of which whoever forges them may send very many.
        let due = self.now.abs_diff(self.spoke) >= self.set.exchange_ms;
        if due {
            self.set_clock();
        }
        self.enter();
        if due {
            self.spoke = self.now;
            self.reckon();
            self.speak(out);
        }
    }

    /// When to tell the time again.
    pub fn due_in(&self) -> u64 {
        let end = (self.window + 1) * self.set.window_ms;
        let speaks = (self.spoke + self.set.exchange_ms).saturating_sub(self.now);
        speaks.min(end.saturating_sub(self.now)).clamp(1, self.set.exchange_ms)
    }

    /// Goes by the others' clocks where more than half of all, this one among them, agree that this one is far off. Where they
    /// are divided evenly nobody moves: both halves would, and be as far apart as before.
    fn set_clock(&mut self) {
        let alive = |p: &&Peer| p.heard_at.is_some_and(|at| self.now.abs_diff(at) < self.set.gone_ms);
        let mut ahead: Vec<i64> = self.peers.iter().filter(alive).map(Peer::surely_ahead).collect();
        ahead.push(0);
        if 2 * ahead.len() <= self.set.instances {
            return;
        }
        ahead.sort_unstable();
        let (low, high) = (ahead[(ahead.len() - 1) / 2], ahead[ahead.len() / 2]);
        let median = 0.clamp(low, high);
        if median.unsigned_abs() > self.set.window_ms / 2 {
            self.offset += median;
            let before = self.now;
            self.now = self.now.saturating_add_signed(median).max(1);
            // All that was noted by the old clock moves with it.
            let move_on = |at: u64| at.saturating_add_signed(median);
            self.began = move_on(self.began);
            self.spoke = move_on(self.spoke);
            for peer in &mut self.peers {
                peer.ahead = (peer.ahead.0 - median, peer.ahead.1 + median);
                peer.heard_at = peer.heard_at.map(move_on);
            }
            if before / self.set.window_ms != self.now / self.set.window_ms {
                let from = std::mem::replace(&mut self.window, self.now / self.set.window_ms);
                self.votes.restart(from, self.window);
                self.shared.clear();
                self.changed.clear();
                self.slots = 0;
                self.revote();
                for count in &mut self.counts {
                    // Not a right of a window that was entered by a wrong clock is carried along.
                    (count.window, count.spent, count.asked, count.before) = (0, 0, 0, (0, 0));
                }
            }
        }
    }

    /// Something of the votes has changed.
    fn revote(&mut self) {
        self.view += 1;
        self.parts = [0, 1].map(|which| {
            let window = self.window + which;
            (self.votes.holds(window, self.strictly), self.votes.gone(window))
        });
    }

    /// Enters the window that it is by now.
    fn enter(&mut self) {
        let window = self.now / self.set.window_ms;
        if window > self.window {
            let next = window == self.window + 1;
            self.window = window;
            self.revote();
            let counts = &self.counts;
            self.active.retain(|handle| counts[*handle].window + 1 >= window);
            let mut slots = 0;
            self.shared.retain(|_, shared| {
                shared.rights.swap(0, 1);
                shared.others.swap(0, 1);
                shared.wants = [shared.wants[1], 0];
                if !next || shared.rights[0].window != window {
                    shared.rights[0] = Rights::new(window);
                    shared.others[0].clear();
                }
                shared.rights[1] = Rights::new(window + 1);
                shared.others[1].clear();
                slots += shared.rights[0].slots.len();
                shared.rights[0] != Rights::new(window)
            });
            self.slots = slots;
            self.changed.retain(|_, handle| self.shared.contains_key(handle));
        }
        let (now, gone, began) = (self.now, self.set.gone_ms, self.began);
        let peers = &self.peers;
        let cast = self.votes.cast(self.window, |who| match peers[who].heard_at {
            Some(at) if now.abs_diff(at) < gone => Some(true),
            // Who has just begun has not listened for long enough.
            _ if now.abs_diff(began) < gone => None,
            _ => Some(false),
        });
        if cast {
            self.revote();
        }
    }

    /// How much of a key will be asked for here in the rest of this window, and in the next.
    fn expected(&self, handle: usize) -> [f64; 2] {
        let count = &self.counts[handle];
        let (asked, before) = match self.window - count.window.min(self.window) {
            0 => (count.asked, count.before.1),
            1 => (0, count.asked),
            _ => (0, 0),
        };
        let into = (self.now % self.set.window_ms) as f64 / self.set.window_ms as f64;
        let so_far = f64::from(asked) / into.max(0.02);
        // The window before tells more at first, this one later.
        let rate = if asked > 0 || into > 0.2 {
            so_far * into + f64::from(before) * (1.0 - into)
        } else {
            f64::from(before)
        };
        [(rate * (1.0 - into)).max(0.0), rate]
    }

    fn touch(&mut self, handle: usize) {
        let Some(shared) = self.shared.get_mut(&handle) else { return };
        self.changed.remove(&shared.version);
        self.version += 1;
        shared.version = self.version;
        self.changed.insert(self.version, handle);
    }

    /// Begins to share a key, where there is room.
    fn share(&mut self, handle: usize) -> bool {
        if self.shared.contains_key(&handle) {
            return true;
        }
        if self.shared.len() >= self.set.shared_most {
            return false;
        }
        let rights = [Rights::new(self.window), Rights::new(self.window + 1)];
        self.shared.insert(
            handle,
            Shared { rights, others: Default::default(), wants: [0; 2], thought: [0; 2], version: 0 },
        );
        true
    }

    /// What is wanted of the others, key by key.
    fn reckon(&mut self) {
        let early = (self.now % self.set.window_ms) as f64 >= EARLY * self.set.window_ms as f64;
        if self.set.instances == 1 {
            return;
        }
        self.round += 1;
        let mut wishes = Vec::new();
        for handle in self.active.clone() {
            let expected = self.expected(handle);
            let want = |which: usize| {
                let need = AHEAD * expected[which] + 1.0;
                let held = f64::from(self.held(handle, which));
                let asks = (which == 0 || early) && expected[which] > 0.0 && need > held;
                if asks {
                    (need - held).min(f64::from(self.counts[handle].allowance)).ceil() as u32
                } else {
                    0
                }
            };
            let wants = [want(0), want(1)];
            if wants == [0, 0] && !self.shared.contains_key(&handle) {
                continue;
            }
            if self.share(handle) {
                let thought = [0, 1].map(|which| match wants[which] {
                    0 => 0,
                    _ => self.thought_of_all(handle, which),
                });
                self.shared
                    .get_mut(&handle)
                    .into_iter()
                    .for_each(|s| (s.wants, s.thought) = (wants, thought));
                if wants != [0, 0] {
                    wishes.push((wants[0].max(wants[1]), handle));
                }
            }
        }
        // The top talkers first.
        wishes.sort_unstable_by(|a, b| b.cmp(a));
        self.wishes = wishes.into_iter().map(|(_, handle)| handle).collect();
    }

    /// What another is thought to hold of a key.
    fn thought(&self, shared: &Shared, handle: usize, which: usize, peer: usize) -> u64 {
        match shared.others[which].get(&(peer as u16)) {
            Some((held, _)) => u64::from(*held),
            // Nothing heard: it has all of its part.
            None => u64::from(part(self.counts[handle].allowance, self.set.instances, 0, 0)).max(1),
        }
    }

    /// What all others together are thought to hold.
    fn thought_of_all(&self, handle: usize, which: usize) -> u64 {
        let Some(shared) = self.shared.get(&handle) else { return 0 };
        let listened = |who: &usize| *who != self.set.number && self.peers[*who].lives.now.is_some();
        let all = (0..self.set.instances).filter(listened);
        all.map(|who| self.thought(shared, handle, which, who)).sum()
    }

    /// What this instance would have of another: a part of what it wants, by what the others are thought to hold.
    fn want_of(&self, shared: &Shared, handle: usize, which: usize, peer: usize) -> u32 {
        let (want, all) = (u64::from(shared.wants[which]), shared.thought[which]);
        if want == 0 || all == 0 {
            return 0;
        }
        (want * self.thought(shared, handle, which, peer)).div_ceil(all).min(want) as u32
    }

    /// Speaks to those who wait, and to some others by turns.
    fn speak(&mut self, out: &mut Vec<Datagram>) {
        let n = self.set.instances;
        let a_window = (self.set.window_ms / self.set.exchange_ms).max(1);
        let fan_out = FAN_OUT.max((n as u64 * WORDS_A_WINDOW).div_ceil(a_window) as usize).min(n - 1);
        for _ in 0..fan_out {
            self.turn = (self.turn + 1) % n;
            if self.turn == self.set.number {
                self.turn = (self.turn + 1) % n;
            }
            self.peers[self.turn].urgent = true;
        }
        self.answer(out);
    }

    /// Speaks to those who wait.
    fn answer(&mut self, out: &mut Vec<Datagram>) {
        for to in 0..self.set.instances {
            if std::mem::take(&mut self.peers[to].urgent) && to != self.set.number {
                out.push(Datagram { to, bytes: self.word_to(to).write(&self.secret) });
            }
        }
    }

    /// What is said of a key, in the present window and the next.
    fn entries_of(&self, handle: usize, to: usize, to_boot: Boot) -> Option<[Entry; 2]> {
        let (shared, count) = (self.shared.get(&handle)?, &self.counts[handle]);
        Some([0, 1].map(|which| Entry {
            key: Key(count.key),
            next: which == 1,
            version: self.round,
            spent: if which == 0 && count.window == self.window { count.spent } else { 0 },
            held: self.held(handle, which),
            given: shared.rights[which].given_to(to as u16, to_boot),
            want: self.want_of(shared, handle, which, to),
        }))
    }

    /// As far as there is room: what was handed on to the other one and it may not have heard, and what is wanted of it. And up to
    /// which version the first is all.
    fn news_for(&self, to: usize, to_boot: Boot, acked: u64) -> (Vec<Entry>, u64) {
        let most = room(self.set.instances);
        let of = |handle: usize| self.entries_of(handle, to, to_boot).into_iter().flatten();
        let due = self.peers[to].due.iter().flat_map(|handle| of(*handle));
        let mut entries: Vec<Entry> = due.filter(|e| e.given > 0).take(most).collect();
        let mut upto = self.version;
        for (version, handle) in self.changed.range(acked + 1..) {
            if entries.len() + 2 > most {
                upto = version - 1;
                break;
            }
            entries.extend(of(*handle).filter(|e| e.given > 0));
        }
        let left = most - entries.len().min(most);
        let first = left - left / BY_TURNS;
        let start = (self.peers[to].turn as usize * left) % self.wishes.len().max(1);
        let turns = self.wishes.iter().cycle().skip(start).take(self.wishes.len());
        let wishes = self.wishes.iter().take(first).chain(turns.take(left));
        entries.extend(wishes.flat_map(|handle| of(*handle)).filter(|e| e.want > 0).take(left));
        (entries, upto)
    }

    fn word_to(&mut self, to: usize) -> Message {
        self.peers[to].turn += 1;
        let peer = &self.peers[to];
        let to_boot = peer.lives.addressed(peer.turn);
        let known = peer.lives.now == Some(to_boot);
        let (entries, upto) =
            if known { self.news_for(to, to_boot, peer.acked) } else { (Vec::new(), peer.acked) };
        self.peers[to].due.clear();
        let peer = &self.peers[to];
        let digest = (known && peer.turn.is_multiple_of(DIGEST_EVERY) && upto == self.version)
            .then(|| self.digest(|rights| rights.given_to(to as u16, to_boot)));
        Message {
            list: self.set.list,
            from: self.set.number as u16,
            to: to as u16,
            boot: self.boot,
            to_boot,
            number: peer.turn,
            time: self.now,
            heard: peer.theirs,
            ahead: peer.ahead.0,
            ballots: self.votes.own().to_vec(),
            window: self.window,
            versions: (peer.acked, upto),
            digest,
            entries,
        }
    }

    /// Over what was handed on, in the present window and the next.
    fn digest(&self, of: impl Fn(&Rights) -> u32) -> u64 {
        let each = self.shared.iter().flat_map(|(handle, shared)| {
            let key = self.counts[*handle].key;
            shared.rights.iter().map(move |rights| (key, rights))
        });
        let one = |(key, rights): (u64, &Rights)| match of(rights) {
            0 => 0,
            given => mix(key ^ mix(rights.window ^ mix(u64::from(given)))),
        };
        each.map(one).fold(0, |sum, x| sum ^ x)
    }

    /// Takes a datagram; what is to be sent at once is appended. What can't be believed changes nothing.
    pub fn hear(&mut self, bytes: &[u8], out: &mut Vec<Datagram>) -> Result<(), Bad> {
        let read = Message::read(bytes, self.set.list, self.set.instances, &self.secret);
        if read == Err(Bad::OtherList) && !std::mem::replace(&mut self.strictly, true) {
            self.revote();
        }
        let message = read.inspect_err(|_| self.refused += 1)?;
        let from = usize::from(message.from);
        if usize::from(message.to) != self.set.number || from >= self.set.instances || from == self.set.number
        {
            self.refused += 1;
            return Ok(());
        }
        let peer = &mut self.peers[from];
        if message.to_boot != self.boot {
            // It may be as old as it likes: it says at most whom to speak to.
            peer.lives.named(message.boot);
            return Ok(());
        }
        let Some(begins) = peer.lives.proved(message.boot) else {
            self.refused += 1;
            return Ok(());
        };
        if begins {
            if message.window.abs_diff(self.window) <= 2 {
                self.votes.not_before(message.window + 1);
            }
            for others in self.shared.values_mut().flat_map(|shared| &mut shared.others) {
                others.remove(&message.from);
            }
            let (lives, turn) = (std::mem::take(&mut peer.lives), peer.turn);
            *peer = Peer { lives, turn, ..Peer::default() };
        }
        if !peer.replay.fresh(message.number) {
            self.refused += 1;
            return Ok(());
        }
        peer.heard_at = Some(self.now);
        peer.ahead = (message.time as i64 - self.now as i64, message.ahead);
        peer.acked = peer.acked.max(message.heard.min(self.version));
        let all = |(n, p): (usize, &Peer)| n == self.set.number || p.lives.now.is_some();
        let mut voted = begins && self.strictly && self.peers.iter().enumerate().all(all);
        // All go by this list now, and none by the one before.
        self.strictly &= !voted;
        voted |= begins;
        let peer = &mut self.peers[from];
        for ballot in &message.ballots {
            voted |= self.votes.hear(self.window, from, ballot);
        }
        let (after, upto) = message.versions;
        // What was handed on and is lost is said again, until it is heard.
        if after <= peer.theirs {
            peer.theirs = peer.theirs.max(upto);
        }
        if voted {
            self.revote();
        }
        for entry in &message.entries {
            self.take(from, &message, entry);
        }
        if let Some(digest) = message.digest {
            let (boot, whose) = (message.boot, message.from);
            let heard = self.peers[from].theirs == upto && message.window == self.window;
            if heard && digest != self.digest(|rights| rights.slots.said(whose, boot)) {
                // From the beginning, then.
                self.peers[from].theirs = 0;
            }
        }
        self.answer(out);
        Ok(())
    }

    /// Takes what another says of a key.
    fn take(&mut self, from: usize, message: &Message, entry: &Entry) {
        let window = message.window + u64::from(entry.next);
        let Some(which) = window.checked_sub(self.window).filter(|which| *which < 2) else { return };
        let which = which as usize;
        let Some(handle) = self.by_key.get(&entry.key.0).copied() else { return };
        let base = self.base(handle, window);
        let spare = {
            // What it will need itself it keeps.
            let keeps = self.expected(handle)[which].ceil() as u32;
            self.held(handle, which).saturating_sub(keeps)
        };
        let spent = match &self.counts[handle] {
            count if which == 0 && count.window == window => count.spent,
            _ => 0,
        };
        // What others merely say of a key that nothing changes hands of here is not kept.
        let matters = entry.given > 0 || (entry.want > 0 && spare > 0);
        if self.slots >= SLOTS_MOST || (matters && !self.share(handle)) {
            return;
        }
        let Some(shared) = self.shared.get_mut(&handle) else { return };
        let rights = &mut shared.rights[which];
        let slots = rights.slots.len();
        let said = Slot { spent: entry.spent, given: entry.given };
        let mut changed = rights.slots.hear(message.from, message.boot, said);
        self.slots += rights.slots.len() - slots;
        // Of a window to come it may not have heard enough votes to know.
        let held = if which == 1 { entry.held.max(1) } else { entry.held };
        let before = shared.others[which].insert(message.from, (held, entry.version));
        // Said again, it is the same wish.
        let again = before.is_some_and(|(_, version)| version >= entry.version);
        let want = if again { 0 } else { entry.want };
        let given = rights.give(message.from, message.boot, want.min(spare), base, spent);
        changed |= given > 0;
        if changed {
            self.counts[handle].view = 0;
        }
        if given > 0 {
            self.touch(handle);
            self.peers[from].urgent = true;
            self.peers[from].due.push(handle);
        }
    }

    /// What is known of a key.
    pub fn show(&self, handle: usize) -> Share {
        let count = &self.counts[handle];
        let current = count.window == self.window;
        let before = match self.window - count.window.min(self.window) {
            0 => count.before,
            1 => (count.spent, count.asked),
            _ => (0, 0),
        };
        let shared = self.shared.get(&handle);
        Share {
            key: count.key,
            window: self.window,
            allowance: count.allowance,
            spent: if current { count.spent } else { 0 },
            held: self.held(handle, 0),
            asked: if current { count.asked } else { 0 },
            others: shared.map_or(0, |s| s.rights[0].slots.spent()),
            before,
            shared: shared.is_some(),
        }
    }

    /// The keys of which most is spent, as far as is known here, each with its handle; of those that were asked for lately or
    /// change hands.
    pub fn top(&self, most: usize) -> Vec<(usize, Share)> {
        let mut handles: Vec<usize> = self.active.iter().chain(self.shared.keys()).copied().collect();
        handles.sort_unstable();
        handles.dedup();
        let mut all: Vec<(usize, Share)> =
            handles.into_iter().map(|handle| (handle, self.show(handle))).collect();
        all.retain(|(_, s)| s.asked > 0 || s.others > 0 || s.before.1 > 0);
        let sum = |s: &Share| u64::from(s.spent) + u64::from(s.others) + u64::from(s.before.0);
        all.sort_by_key(|(_, s)| std::cmp::Reverse(sum(s)));
        all.truncate(most);
        all
    }

    /// What is known of a key at each other instance.
    pub fn explain(&self, handle: usize) -> Vec<Explained> {
        let Some(shared) = self.shared.get(&handle) else { return Vec::new() };
        let others = (0..self.set.instances).filter(|who| *who != self.set.number);
        let one = |who: usize| {
            let slot = shared.rights[0].slots.of(who as u16);
            let to = self.peers[who].lives.now.map_or(0, |boot| shared.rights[0].given_to(who as u16, boot));
            let held = shared.others[0].get(&(who as u16)).map(|(held, _)| *held);
            Explained { instance: who, spent: slot.spent, held, given: (slot.given, to) }
        };
        others.map(one).collect()
    }

    /// What is known of the others.
    pub fn peers(&self) -> Vec<Peers> {
        let gone = self.votes.gone(self.window);
        let others = (0..self.set.instances).filter(|who| *who != self.set.number);
        let one = |who: usize| {
            let peer = &self.peers[who];
            Peers {
                instance: who,
                age_ms: peer.heard_at.map(|at| self.now.saturating_sub(at)),
                ahead_ms: peer.surely_ahead(),
                behind: self.version - peer.acked.min(self.version),
                gone: gone.contains(&who),
            }
        };
        others.map(one).collect()
    }

    /// Whether this instance has its own part of the present window.
    pub fn holds_own(&self) -> bool {
        self.votes.holds(self.window, self.strictly)
    }

    /// How many bytes a key takes of which nothing changes hands, but for its place in the index of keys.
    pub fn count_size(&self) -> usize {
        std::mem::size_of::<Count>()
    }

    /// How many keys change hands now, and how many slots of others are kept for them.
    pub fn sharing(&self) -> (usize, usize) {
        (self.shared.len(), self.slots)
    }
}
