//! The state machine of one instance: its rights and spending, and its exchange with the other instances.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use crate::ledger::{base_rights, equal_part, mix, Key, Rights, RunId, Slot};
use crate::votes::{PeerRuns, ReplayWindow, Votes};
use crate::wire::{max_entries, DatagramError, Entry, Message, Secret, MAX_INSTANCES};

/// An instance requests this many times its expected need.
const DEMAND_HEADROOM_FACTOR: f64 = 1.1;
/// The share of a window after which rights for the next window are requested.
const NEXT_WINDOW_REQUEST_SHARE: f64 = 0.4;
/// Minimum number of datagrams sent to peers in rotation at each exchange.
const MIN_FAN_OUT: usize = 8;
/// Minimum number of messages from each instance to each other one in a window.
const MIN_MESSAGES_PER_WINDOW: u64 = 4;
/// One of this many entry slots of a datagram is reserved for wants in rotation; the others go to the largest
/// wants first.
const ROTATION_SLOT_DIVISOR: usize = 4;
/// One datagram in this many carries a digest.
const DIGEST_INTERVAL_DATAGRAMS: u64 = 16;
/// Maximum number of slots of other instances kept over all keys, about 2.5 MB.
const MAX_SLOTS: usize = 1 << 16;

/// Settings of the exchange between instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The number of the list of instances; datagrams from instances with another list are rejected.
    pub list: u32,
    /// The number of instances.
    pub instances: usize,
    /// The index of this instance, from 0.
    pub number: usize,
    /// Length of a window, in milliseconds.
    pub window_ms: u64,
    /// Interval between exchanges, in milliseconds.
    pub exchange_ms: u64,
    /// An instance that was silent for this long counts as gone, in milliseconds.
    pub instance_timeout_ms: u64,
    /// Maximum number of keys whose rights are transferred at a time; for other keys each instance is limited
    /// to its own part.
    pub max_shared_keys: usize,
}

impl Settings {
    /// Validates the settings.
    ///
    /// # Errors
    /// The invalid field and what was expected.
    pub fn check(&self) -> Result<(), String> {
        let check_range = |name: &str, value: u64, min: u64, max: u64| {
            let fits = (min..=max).contains(&value);
            fits.then_some(()).ok_or_else(|| format!("{name}: {min} to {max} expected, not {value}"))
        };
        check_range("instances", self.instances as u64, 1, MAX_INSTANCES as u64)?;
        check_range("number", self.number as u64, 0, self.instances as u64 - 1)?;
        check_range("window_ms", self.window_ms, 100, 3_600_000)?;
        check_range("exchange_ms", self.exchange_ms, 10, self.window_ms / 4)?;
        check_range("gone_ms", self.instance_timeout_ms, 2 * self.exchange_ms, 3_600_000)?;
        check_range("shared_most", self.max_shared_keys as u64, 1, 1 << 16)
    }
}

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The index of the receiving instance.
    pub to: usize,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// The counters kept for every key. There may be very many keys, so this is kept small.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    key: u64,
    /// The allowance in a window, over all instances.
    allowance: u32,
    /// The window of the counters; they are rolled over lazily, when the key is next used.
    window: u64,
    spent: u32,
    /// Requested, whether granted or not.
    requested: u32,
    /// `spent` and `asked` of the previous window.
    before: (u32, u32),
    /// Cached amount that can still be spent in this window.
    held: u32,
    /// The `Usage::votes_revision` that `held` was computed for; 0 if it must be recomputed.
    votes_revision: u64,
}

/// A key whose rights are transferred between instances.
#[derive(Clone, Debug)]
struct Shared {
    /// The rights in the current window and the next.
    rights: [Rights; 2],
    /// The rights that each other instance last reported to hold, and the version of that report.
    others: [BTreeMap<u16, (u32, u64)>; 2],
    /// The amount wanted from the others in each window.
    wants: [u32; 2],
    /// The estimated rights that all others hold together in each window.
    estimated_total: [u64; 2],
    /// The version of the last transfer of this key.
    version: u64,
}

/// Another instance.
#[derive(Clone, Debug, Default)]
struct Peer {
    runs: PeerRuns,
    replay: ReplayWindow,
    /// When it last proved to be running.
    last_seen: Option<u64>,
    /// By how much its clock appeared ahead of this one's, and this one's ahead of its clock. Each is too
    /// small by the network delay of the datagram.
    clock_ahead: (i64, i64),
    /// The latest version of the peer that was received here.
    their_version: u64,
    /// The latest version of this instance that the peer acknowledged.
    acked_version: u64,
    /// The number of the last datagram sent to it.
    last_number: u64,
    /// A datagram is to be sent to it: it waits for rights, or it is its turn in the rotation.
    urgent: bool,
    /// Handles of the keys with transfers to it since the last datagram.
    changed_handles: Vec<usize>,
}

impl Peer {
    /// The least amount by which its clock must be ahead; 0 if network delays can explain all of the
    /// difference.
    fn min_clock_ahead(&self) -> i64 {
        let (low, high) = (self.clock_ahead.0, self.clock_ahead.1.saturating_neg());
        0.clamp(low.min(high), high.max(low))
    }
}

/// The state of one key at this instance, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct KeyUsage {
    /// The key.
    pub key: u64,
    /// The window.
    pub window: u64,
    /// The allowance in a window, over all instances.
    pub allowance: u32,
    /// The amount spent here.
    pub spent: u32,
    /// The amount that can still be spent here.
    pub held: u32,
    /// The amount requested here, whether granted or not.
    #[serde(rename = "asked")]
    pub requested: u32,
    /// The amount that the others have reported as spent.
    #[serde(rename = "others")]
    pub spent_by_others: u32,
    /// The amounts spent and requested here in the previous window.
    #[serde(rename = "before")]
    pub previous_window: (u32, u32),
    /// Whether its rights are transferred between instances.
    pub shared: bool,
}

/// What this instance knows of one key at another instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PeerKeyUsage {
    /// The instance.
    pub instance: usize,
    /// The amount it has spent.
    pub spent: u32,
    /// The amount it last reported to hold.
    pub held: Option<u32>,
    /// The amounts transferred from it to this instance and from this instance to it.
    #[serde(rename = "given")]
    pub transferred: (u32, u32),
}

/// What this instance knows of another instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PeerStatus {
    /// The instance.
    pub instance: usize,
    /// Time since it last proved to be running, in milliseconds.
    pub age_ms: Option<u64>,
    /// By how much its clock is ahead, in milliseconds.
    pub ahead_ms: i64,
    /// The number of changes that it has not acknowledged yet.
    #[serde(rename = "behind")]
    pub unacknowledged: u64,
    /// Whether its part is divided among the others in this window.
    pub gone: bool,
}

/// One instance.
#[derive(Debug)]
pub struct Usage {
    settings: Settings,
    secret: Secret,
    run_id: RunId,
    /// The latest time passed in, corrected by `offset`, in milliseconds.
    now: u64,
    /// The correction of the local clock by the other instances' clocks, in milliseconds.
    offset: i64,
    started_at: u64,
    window: u64,
    votes: Votes,
    /// Incremented with each vote, as the parts may have changed.
    votes_revision: u64,
    /// Whether this instance owns its part, and the instances whose parts are divided, in the current window
    /// and the next.
    parts: [(bool, Vec<usize>); 2],
    /// The counters of all keys, indexed by handle.
    counts: Vec<Count>,
    /// Maps each key to its handle.
    by_key: HashMap<u64, usize>,
    /// Handles of the keys requested in this window or the previous one.
    active: Vec<usize>,
    /// The shared keys by handle.
    shared: BTreeMap<usize, Shared>,
    /// The number of slots of other instances over all shared keys.
    slots: usize,
    /// Counts the times that wants were computed.
    round: u64,
    /// Handles of the keys that rights are wanted of, the largest want first.
    wanted_handles: Vec<usize>,
    /// Maps the version of the last transfer of a key to the key's handle.
    changed: BTreeMap<u64, usize>,
    /// Incremented with each transfer.
    version: u64,
    peers: Vec<Peer>,
    /// Whether instances with another list may be running: one was seen, or not all of this list have been
    /// seen in this run.
    strict_majority: bool,
    /// The peer last served by the rotation.
    rotation: usize,
    last_exchange: u64,
    /// The number of rejected datagrams.
    pub rejected: u64,
}

impl Usage {
    /// Creates an instance. `run_id` must differ from that of every earlier start.
    ///
    /// # Errors
    /// The invalid field of the settings and what was expected.
    pub fn new(settings: Settings, secret: Secret, run_id: RunId, now: u64) -> Result<Self, String> {
        settings.check()?;
        let window = now / settings.window_ms;
        Ok(Self {
            votes: Votes::new(settings.instances, settings.number, window),
            peers: vec![Peer::default(); settings.instances],
            settings,
            secret,
            run_id,
            now,
            offset: 0,
            started_at: now,
            window,
            votes_revision: 1,
            parts: Default::default(),
            counts: Vec::new(),
            by_key: HashMap::new(),
            active: Vec::new(),
            shared: BTreeMap::new(),
            slots: 0,
            round: 0,
            wanted_handles: Vec::new(),
            changed: BTreeMap::new(),
            version: 0,
            strict_majority: true,
            rotation: 0,
            last_exchange: 0,
            rejected: 0,
        })
    }

    /// Registers a key, or changes its allowance; returns its handle. The new allowance counts at once, less
    /// what is already spent in the current window.
    pub fn set_allowance(&mut self, key: Key, allowance: u32) -> usize {
        let handle = *self.by_key.entry(key.0).or_insert_with(|| {
            self.counts.push(Count { key: key.0, ..Count::default() });
            self.counts.len() - 1
        });
        if self.counts[handle].allowance != allowance {
            self.counts[handle].allowance = allowance;
            self.counts[handle].votes_revision = 0;
        }
        handle
    }

    /// The number of the current window.
    pub fn window(&self) -> u64 {
        self.window
    }

    /// The rights to a key that this instance owns in a window without any transfer.
    fn base(&self, handle: usize, window: u64) -> u32 {
        let count = &self.counts[handle];
        let (own, gone) = &self.parts[(window - self.window) as usize];
        let (own_index, n) = (self.settings.number, self.settings.instances);
        base_rights(count.allowance, Key(count.key), window, own_index, n, *own, gone)
    }

    /// The amount held of a key in the current window (0) or the next (1).
    fn held(&self, handle: usize, which: usize) -> u32 {
        let window = self.window + which as u64;
        let (base, count) = (self.base(handle, window), &self.counts[handle]);
        let spent = if which == 0 && count.window == window { count.spent } else { 0 };
        match self.shared.get(&handle) {
            Some(shared) => shared.rights[which].held(base, spent),
            None => base.saturating_sub(spent),
        }
    }

    /// Rolls the counters of a key over to the current window and refreshes `held`.
    fn roll_over(&mut self, handle: usize) {
        let (window, count) = (self.window, &mut self.counts[handle]);
        if count.window != window {
            if count.window + 1 < window {
                self.active.push(handle);
            }
            count.before = if count.window + 1 == window { (count.spent, count.requested) } else { (0, 0) };
            (count.window, count.spent, count.requested, count.votes_revision) = (window, 0, 0, 0);
        }
        if self.counts[handle].votes_revision != self.votes_revision {
            self.counts[handle].held = self.held(handle, 0);
            self.counts[handle].votes_revision = self.votes_revision;
        }
    }

    /// Spends the given amounts of all these keys, or nothing at all; returns whether they were spent.
    pub fn spend(&mut self, wants: &[(usize, u32)]) -> bool {
        for (handle, amount) in wants {
            self.roll_over(*handle);
            self.counts[*handle].requested = self.counts[*handle].requested.saturating_add(*amount);
        }
        let has_enough = wants.iter().all(|(handle, amount)| self.counts[*handle].held >= *amount);
        if has_enough {
            for (handle, amount) in wants {
                let count = &mut self.counts[*handle];
                (count.held, count.spent) = (count.held - amount, count.spent + amount);
            }
        }
        has_enough
    }

    /// Advances the time and appends the datagrams to be sent.
    pub fn tick(&mut self, clock: u64, out: &mut Vec<Datagram>) {
        self.now = clock.saturating_add_signed(self.offset).max(1);
        // Only at exchanges, not for each datagram: an attacker may send very many forged ones.
        let due = self.now.abs_diff(self.last_exchange) >= self.settings.exchange_ms;
        if due {
            self.set_clock();
        }
        self.enter_window();
        if due {
            self.last_exchange = self.now;
            self.compute_wants();
            self.exchange(out);
        }
    }

    /// Milliseconds until [`Usage::tick`] is to be called again.
    pub fn ms_until_tick(&self) -> u64 {
        let window_end = (self.window + 1) * self.settings.window_ms;
        let until_exchange = (self.last_exchange + self.settings.exchange_ms).saturating_sub(self.now);
        until_exchange.min(window_end.saturating_sub(self.now)).clamp(1, self.settings.exchange_ms)
    }

    /// Adjusts the clock to the median of the running instances if they are a majority of all, this one
    /// included, and the median differs by more than half a window. With the clocks evenly divided no
    /// instance moves: otherwise both halves would, and would be as far apart as before.
    fn set_clock(&mut self) {
        let alive = |p: &&Peer| {
            p.last_seen.is_some_and(|at| self.now.abs_diff(at) < self.settings.instance_timeout_ms)
        };
        let mut offsets: Vec<i64> = self.peers.iter().filter(alive).map(Peer::min_clock_ahead).collect();
        offsets.push(0);
        if 2 * offsets.len() <= self.settings.instances {
            return;
        }
        offsets.sort_unstable();
        let (low, high) = (offsets[(offsets.len() - 1) / 2], offsets[offsets.len() / 2]);
        let median = 0.clamp(low, high);
        if median.unsigned_abs() > self.settings.window_ms / 2 {
            self.offset += median;
            let previous = self.now;
            self.now = self.now.saturating_add_signed(median).max(1);
            // Shift all times that were taken by the old clock.
            let shift = |at: u64| at.saturating_add_signed(median);
            self.started_at = shift(self.started_at);
            self.last_exchange = shift(self.last_exchange);
            for peer in &mut self.peers {
                peer.clock_ahead = (peer.clock_ahead.0 - median, peer.clock_ahead.1 + median);
                peer.last_seen = peer.last_seen.map(shift);
            }
            if previous / self.settings.window_ms != self.now / self.settings.window_ms {
                let from_window = std::mem::replace(&mut self.window, self.now / self.settings.window_ms);
                self.votes.move_to(from_window, self.window);
                self.shared.clear();
                self.changed.clear();
                self.slots = 0;
                self.update_parts();
                for count in &mut self.counts {
                    // No rights of a window that was entered by a wrong clock are kept.
                    (count.window, count.spent, count.requested, count.before) = (0, 0, 0, (0, 0));
                }
            }
        }
    }

    /// Recomputes `parts` after a change of the votes.
    fn update_parts(&mut self) {
        self.votes_revision += 1;
        self.parts = [0, 1].map(|which| {
            let window = self.window + which;
            (self.votes.owns_part(window, self.strict_majority), self.votes.gone(window))
        });
    }

    /// Enters the window of the current time if it is a new one, and casts the ballot that is due.
    fn enter_window(&mut self) {
        let window = self.now / self.settings.window_ms;
        if window > self.window {
            let next = window == self.window + 1;
            self.window = window;
            self.update_parts();
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
        let (now, gone, started_at) = (self.now, self.settings.instance_timeout_ms, self.started_at);
        let peers = &self.peers;
        let cast = self.votes.cast(self.window, |index| match peers[index].last_seen {
            Some(at) if now.abs_diff(at) < gone => Some(true),
            // After a start this instance has not listened for long enough to tell.
            _ if now.abs_diff(started_at) < gone => None,
            _ => Some(false),
        });
        if cast {
            self.update_parts();
        }
    }

    /// The expected demand for a key here in the rest of this window, and in the next.
    fn expected(&self, handle: usize) -> [f64; 2] {
        let count = &self.counts[handle];
        let (requested, before) = match self.window - count.window.min(self.window) {
            0 => (count.requested, count.before.1),
            1 => (0, count.requested),
            _ => (0, 0),
        };
        let elapsed_share = (self.now % self.settings.window_ms) as f64 / self.settings.window_ms as f64;
        let current_rate = f64::from(requested) / elapsed_share.max(0.02);
        // Weights the previous window more at first and the current one later.
        let rate = if requested > 0 || elapsed_share > 0.2 {
            current_rate * elapsed_share + f64::from(before) * (1.0 - elapsed_share)
        } else {
            f64::from(before)
        };
        [(rate * (1.0 - elapsed_share)).max(0.0), rate]
    }

    /// Marks a key as changed under a new version, so that its transfers are sent to the peers.
    fn mark_changed(&mut self, handle: usize) {
        let Some(shared) = self.shared.get_mut(&handle) else { return };
        self.changed.remove(&shared.version);
        self.version += 1;
        shared.version = self.version;
        self.changed.insert(self.version, handle);
    }

    /// Starts sharing a key; returns `false` if too many are shared.
    fn start_sharing(&mut self, handle: usize) -> bool {
        if self.shared.contains_key(&handle) {
            return true;
        }
        if self.shared.len() >= self.settings.max_shared_keys {
            return false;
        }
        let rights = [Rights::new(self.window), Rights::new(self.window + 1)];
        self.shared.insert(
            handle,
            Shared { rights, others: Default::default(), wants: [0; 2], estimated_total: [0; 2], version: 0 },
        );
        true
    }

    /// Computes the amounts wanted from the others for each active key.
    fn compute_wants(&mut self) {
        let requests_next = (self.now % self.settings.window_ms) as f64
            >= NEXT_WINDOW_REQUEST_SHARE * self.settings.window_ms as f64;
        if self.settings.instances == 1 {
            return;
        }
        self.round += 1;
        let mut wanted_handles = Vec::new();
        for handle in self.active.clone() {
            let expected = self.expected(handle);
            let amount_wanted = |which: usize| {
                let need = DEMAND_HEADROOM_FACTOR * expected[which] + 1.0;
                let held = f64::from(self.held(handle, which));
                let is_short = (which == 0 || requests_next) && expected[which] > 0.0 && need > held;
                if is_short {
                    (need - held).min(f64::from(self.counts[handle].allowance)).ceil() as u32
                } else {
                    0
                }
            };
            let wants = [amount_wanted(0), amount_wanted(1)];
            if wants == [0, 0] && !self.shared.contains_key(&handle) {
                continue;
            }
            if self.start_sharing(handle) {
                let estimated_total = [0, 1].map(|which| match wants[which] {
                    0 => 0,
                    _ => self.estimated_held_by_all(handle, which),
                });
                self.shared
                    .get_mut(&handle)
                    .into_iter()
                    .for_each(|s| (s.wants, s.estimated_total) = (wants, estimated_total));
                if wants != [0, 0] {
                    wanted_handles.push((wants[0].max(wants[1]), handle));
                }
            }
        }
        // The largest wants first.
        wanted_handles.sort_unstable_by(|a, b| b.cmp(a));
        self.wanted_handles = wanted_handles.into_iter().map(|(_, handle)| handle).collect();
    }

    /// The estimated amount that another instance holds of a key.
    fn estimated_held(&self, shared: &Shared, handle: usize, which: usize, peer: usize) -> u64 {
        match shared.others[which].get(&(peer as u16)) {
            Some((held, _)) => u64::from(*held),
            // Nothing was reported: assume that it holds all of its part.
            None => {
                u64::from(equal_part(self.counts[handle].allowance, self.settings.instances, 0, 0)).max(1)
            }
        }
    }

    /// The estimated amount that all other running instances hold together.
    fn estimated_held_by_all(&self, handle: usize, which: usize) -> u64 {
        let Some(shared) = self.shared.get(&handle) else { return 0 };
        let is_running =
            |index: &usize| *index != self.settings.number && self.peers[*index].runs.current.is_some();
        let others = (0..self.settings.instances).filter(is_running);
        others.map(|index| self.estimated_held(shared, handle, which, index)).sum()
    }

    /// The amount to request from one peer: the total wanted, in proportion to what the peers are estimated
    /// to hold.
    fn want_of(&self, shared: &Shared, handle: usize, which: usize, peer: usize) -> u32 {
        let (want, all) = (u64::from(shared.wants[which]), shared.estimated_total[which]);
        if want == 0 || all == 0 {
            return 0;
        }
        (want * self.estimated_held(shared, handle, which, peer)).div_ceil(all).min(want) as u32
    }

    /// Sends datagrams to the peers that wait and to some others in rotation.
    fn exchange(&mut self, out: &mut Vec<Datagram>) {
        let n = self.settings.instances;
        let exchanges_per_window = (self.settings.window_ms / self.settings.exchange_ms).max(1);
        let fan_out = MIN_FAN_OUT
            .max((n as u64 * MIN_MESSAGES_PER_WINDOW).div_ceil(exchanges_per_window) as usize)
            .min(n - 1);
        for _ in 0..fan_out {
            self.rotation = (self.rotation + 1) % n;
            if self.rotation == self.settings.number {
                self.rotation = (self.rotation + 1) % n;
            }
            self.peers[self.rotation].urgent = true;
        }
        self.send_urgent(out);
    }

    /// Sends datagrams to the peers marked urgent.
    fn send_urgent(&mut self, out: &mut Vec<Datagram>) {
        for to in 0..self.settings.instances {
            if std::mem::take(&mut self.peers[to].urgent) && to != self.settings.number {
                out.push(Datagram { to, bytes: self.message_to(to).write(&self.secret) });
            }
        }
    }

    /// The entries of a key for the current window and the next.
    fn entries_of(&self, handle: usize, to: usize, to_run_id: RunId) -> Option<[Entry; 2]> {
        let (shared, count) = (self.shared.get(&handle)?, &self.counts[handle]);
        Some([0, 1].map(|which| Entry {
            key: Key(count.key),
            next: which == 1,
            version: self.round,
            spent: if which == 0 && count.window == self.window { count.spent } else { 0 },
            held: self.held(handle, which),
            given: shared.rights[which].given_to(to as u16, to_run_id),
            want: self.want_of(shared, handle, which, to),
        }))
    }

    /// The entries for a peer, as far as there is room: the transfers that it has not acknowledged, then the
    /// amounts wanted from it. Also returns the version up to which the transfers are complete.
    fn entries_for(&self, to: usize, to_run_id: RunId, acked_version: u64) -> (Vec<Entry>, u64) {
        let max_count = max_entries(self.settings.instances);
        let entries_of = |handle: usize| self.entries_of(handle, to, to_run_id).into_iter().flatten();
        let transfers = self.peers[to].changed_handles.iter().flat_map(|handle| entries_of(*handle));
        let mut entries: Vec<Entry> = transfers.filter(|e| e.given > 0).take(max_count).collect();
        let mut up_to_version = self.version;
        for (version, handle) in self.changed.range(acked_version + 1..) {
            if entries.len() + 2 > max_count {
                up_to_version = version - 1;
                break;
            }
            entries.extend(entries_of(*handle).filter(|e| e.given > 0));
        }
        let remaining = max_count - entries.len().min(max_count);
        let by_size = remaining - remaining / ROTATION_SLOT_DIVISOR;
        let start = (self.peers[to].last_number as usize * remaining) % self.wanted_handles.len().max(1);
        let rotation = self.wanted_handles.iter().cycle().skip(start).take(self.wanted_handles.len());
        let wants = self.wanted_handles.iter().take(by_size).chain(rotation.take(remaining));
        entries.extend(wants.flat_map(|handle| entries_of(*handle)).filter(|e| e.want > 0).take(remaining));
        (entries, up_to_version)
    }

    /// Composes the next datagram to a peer.
    fn message_to(&mut self, to: usize) -> Message {
        self.peers[to].last_number += 1;
        let peer = &self.peers[to];
        let to_run_id = peer.runs.addressee(peer.last_number);
        let known = peer.runs.current == Some(to_run_id);
        let (entries, up_to_version) = if known {
            self.entries_for(to, to_run_id, peer.acked_version)
        } else {
            (Vec::new(), peer.acked_version)
        };
        self.peers[to].changed_handles.clear();
        let peer = &self.peers[to];
        let digest = (known
            && peer.last_number.is_multiple_of(DIGEST_INTERVAL_DATAGRAMS)
            && up_to_version == self.version)
            .then(|| self.digest(|rights| rights.given_to(to as u16, to_run_id)));
        Message {
            list: self.settings.list,
            from: self.settings.number as u16,
            to: to as u16,
            run_id: self.run_id,
            to_run_id,
            number: peer.last_number,
            time: self.now,
            received_version: peer.their_version,
            ahead: peer.clock_ahead.0,
            ballots: self.votes.own_ballots().to_vec(),
            window: self.window,
            versions: (peer.acked_version, up_to_version),
            digest,
            entries,
        }
    }

    /// A digest over the transfers in the current window and the next.
    fn digest(&self, amount: impl Fn(&Rights) -> u32) -> u64 {
        let rights_by_key = self.shared.iter().flat_map(|(handle, shared)| {
            let key = self.counts[*handle].key;
            shared.rights.iter().map(move |rights| (key, rights))
        });
        let digest_one = |(key, rights): (u64, &Rights)| match amount(rights) {
            0 => 0,
            given => mix(key ^ mix(rights.window ^ mix(u64::from(given)))),
        };
        rights_by_key.map(digest_one).fold(0, |sum, x| sum ^ x)
    }

    /// Handles a received datagram and appends the datagrams to be sent at once. Invalid datagrams change
    /// nothing but the counter of rejected ones.
    pub fn receive(&mut self, bytes: &[u8], out: &mut Vec<Datagram>) -> Result<(), DatagramError> {
        let result = Message::read(bytes, self.settings.list, self.settings.instances, &self.secret);
        if result == Err(DatagramError::OtherList) && !std::mem::replace(&mut self.strict_majority, true) {
            self.update_parts();
        }
        let message = result.inspect_err(|_| self.rejected += 1)?;
        let from = usize::from(message.from);
        if usize::from(message.to) != self.settings.number
            || from >= self.settings.instances
            || from == self.settings.number
        {
            self.rejected += 1;
            return Ok(());
        }
        let peer = &mut self.peers[from];
        if message.to_run_id != self.run_id {
            // It may be a replay of any age, so it only proposes a run to address.
            peer.runs.set_candidate(message.run_id);
            return Ok(());
        }
        let Some(is_new_run) = peer.runs.confirm(message.run_id) else {
            self.rejected += 1;
            return Ok(());
        };
        if is_new_run {
            if message.window.abs_diff(self.window) <= 2 {
                self.votes.raise_first_window(message.window + 1);
            }
            for others in self.shared.values_mut().flat_map(|shared| &mut shared.others) {
                others.remove(&message.from);
            }
            let (runs, last_number) = (std::mem::take(&mut peer.runs), peer.last_number);
            *peer = Peer { runs, last_number, ..Peer::default() };
        }
        if !peer.replay.accept(message.number) {
            self.rejected += 1;
            return Ok(());
        }
        peer.last_seen = Some(self.now);
        peer.clock_ahead = (message.time as i64 - self.now as i64, message.ahead);
        peer.acked_version = peer.acked_version.max(message.received_version.min(self.version));
        let is_known = |(n, p): (usize, &Peer)| n == self.settings.number || p.runs.current.is_some();
        let mut votes_changed =
            is_new_run && self.strict_majority && self.peers.iter().enumerate().all(is_known);
        // All instances use this list now, so none uses the previous one.
        self.strict_majority &= !votes_changed;
        votes_changed |= is_new_run;
        let peer = &mut self.peers[from];
        for ballot in &message.ballots {
            votes_changed |= self.votes.record(self.window, from, ballot);
        }
        let (after, up_to_version) = message.versions;
        // Transfers in lost datagrams are sent again until they are acknowledged.
        if after <= peer.their_version {
            peer.their_version = peer.their_version.max(up_to_version);
        }
        if votes_changed {
            self.update_parts();
        }
        for entry in &message.entries {
            self.apply_entry(from, &message, entry);
        }
        if let Some(digest) = message.digest {
            let (run_id, sender) = (message.run_id, message.from);
            let is_complete =
                self.peers[from].their_version == up_to_version && message.window == self.window;
            if is_complete && digest != self.digest(|rights| rights.slots.given_by(sender, run_id)) {
                // Something was missed: ask for all transfers again.
                self.peers[from].their_version = 0;
            }
        }
        self.send_urgent(out);
        Ok(())
    }

    /// Applies an entry about a key from another instance, and transfers rights that it wants and this one
    /// can spare.
    fn apply_entry(&mut self, from: usize, message: &Message, entry: &Entry) {
        let window = message.window + u64::from(entry.next);
        let Some(which) = window.checked_sub(self.window).filter(|which| *which < 2) else { return };
        let which = which as usize;
        let Some(handle) = self.by_key.get(&entry.key.0).copied() else { return };
        let base = self.base(handle, window);
        let spare = {
            // Keep the expected demand of this instance.
            let keeps = self.expected(handle)[which].ceil() as u32;
            self.held(handle, which).saturating_sub(keeps)
        };
        let spent = match &self.counts[handle] {
            count if which == 0 && count.window == window => count.spent,
            _ => 0,
        };
        // Do not start sharing a key just because a peer reports it: something must be transferred.
        let affects_rights = entry.given > 0 || (entry.want > 0 && spare > 0);
        if self.slots >= MAX_SLOTS || (affects_rights && !self.start_sharing(handle)) {
            return;
        }
        let Some(shared) = self.shared.get_mut(&handle) else { return };
        let rights = &mut shared.rights[which];
        let previous_slots = rights.slots.len();
        let reported = Slot { spent: entry.spent, given: entry.given };
        let mut changed = rights.slots.update(message.from, message.run_id, reported);
        self.slots += rights.slots.len() - previous_slots;
        // For the next window the peer may not have received enough votes yet to know its part.
        let held = if which == 1 { entry.held.max(1) } else { entry.held };
        let previous = shared.others[which].insert(message.from, (held, entry.version));
        // A repeated version is the same want and must not be granted twice.
        let is_repeat = previous.is_some_and(|(_, version)| version >= entry.version);
        let want = if is_repeat { 0 } else { entry.want };
        let given = rights.transfer(message.from, message.run_id, want.min(spare), base, spent);
        changed |= given > 0;
        if changed {
            self.counts[handle].votes_revision = 0;
        }
        if given > 0 {
            self.mark_changed(handle);
            self.peers[from].urgent = true;
            self.peers[from].changed_handles.push(handle);
        }
    }

    /// The state of a key at this instance.
    pub fn key_usage(&self, handle: usize) -> KeyUsage {
        let count = &self.counts[handle];
        let current = count.window == self.window;
        let previous_window = match self.window - count.window.min(self.window) {
            0 => count.before,
            1 => (count.spent, count.requested),
            _ => (0, 0),
        };
        let shared = self.shared.get(&handle);
        KeyUsage {
            key: count.key,
            window: self.window,
            allowance: count.allowance,
            spent: if current { count.spent } else { 0 },
            held: self.held(handle, 0),
            requested: if current { count.requested } else { 0 },
            spent_by_others: shared.map_or(0, |s| s.rights[0].slots.spent()),
            previous_window,
            shared: shared.is_some(),
        }
    }

    /// The `max_count` keys with the highest known spending, each with its handle, out of those that were
    /// requested lately or are shared.
    pub fn top_keys(&self, max_count: usize) -> Vec<(usize, KeyUsage)> {
        let mut handles: Vec<usize> = self.active.iter().chain(self.shared.keys()).copied().collect();
        handles.sort_unstable();
        handles.dedup();
        let mut usages: Vec<(usize, KeyUsage)> =
            handles.into_iter().map(|handle| (handle, self.key_usage(handle))).collect();
        usages.retain(|(_, s)| s.requested > 0 || s.spent_by_others > 0 || s.previous_window.1 > 0);
        let total_spent =
            |s: &KeyUsage| u64::from(s.spent) + u64::from(s.spent_by_others) + u64::from(s.previous_window.0);
        usages.sort_by_key(|(_, s)| std::cmp::Reverse(total_spent(s)));
        usages.truncate(max_count);
        usages
    }

    /// What is known of a key at each of the other instances.
    pub fn peer_key_usage(&self, handle: usize) -> Vec<PeerKeyUsage> {
        let Some(shared) = self.shared.get(&handle) else { return Vec::new() };
        let others = (0..self.settings.instances).filter(|index| *index != self.settings.number);
        let explained = |index: usize| {
            let slot = shared.rights[0].slots.total_of(index as u16);
            let given_to = self.peers[index]
                .runs
                .current
                .map_or(0, |run_id| shared.rights[0].given_to(index as u16, run_id));
            let held = shared.others[0].get(&(index as u16)).map(|(held, _)| *held);
            PeerKeyUsage { instance: index, spent: slot.spent, held, transferred: (slot.given, given_to) }
        };
        others.map(explained).collect()
    }

    /// What is known of the other instances.
    pub fn peers(&self) -> Vec<PeerStatus> {
        let gone = self.votes.gone(self.window);
        let others = (0..self.settings.instances).filter(|index| *index != self.settings.number);
        let peer_info = |index: usize| {
            let peer = &self.peers[index];
            PeerStatus {
                instance: index,
                age_ms: peer.last_seen.map(|at| self.now.saturating_sub(at)),
                ahead_ms: peer.min_clock_ahead(),
                unacknowledged: self.version - peer.acked_version.min(self.version),
                gone: gone.contains(&index),
            }
        };
        others.map(peer_info).collect()
    }

    /// Whether this instance owns its part of the current window.
    pub fn owns_part(&self) -> bool {
        self.votes.owns_part(self.window, self.strict_majority)
    }

    /// The size in bytes of the counters of a key that is not shared, without its entry in the index of keys.
    pub fn key_counter_bytes(&self) -> usize {
        std::mem::size_of::<Count>()
    }

    /// The number of shared keys, and the number of slots of other instances kept for them.
    pub fn shared_counts(&self) -> (usize, usize) {
        (self.shared.len(), self.slots)
    }
}
