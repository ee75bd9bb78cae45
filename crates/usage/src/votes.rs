//! Votes on which instances own their parts of a window. Each instance votes once for a window and never
//! changes its vote.
//!
//! An instance uses its own part of a window only if at least half of all instances have voted that it is
//! alive in that window; the others divide that part only if more than half have voted that it is gone. As
//! each instance votes once, both can't hold: that would take more votes than there are instances. A
//! partition into equal halves leaves each part with its instance; in an unequal one the smaller side loses
//! its parts to the larger.

use crate::ledger::RunId;

/// A set of instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InstanceSet(Vec<u8>);

impl InstanceSet {
    /// The empty set, for `n` instances.
    pub fn empty(n: usize) -> Self {
        Self(vec![0; n.div_ceil(8)])
    }

    /// Parses the wire format; `None` if it is not a set of `n` instances.
    pub fn read(bytes: &[u8], n: usize) -> Option<Self> {
        let set = Self(bytes.to_vec());
        (bytes.len() == n.div_ceil(8) && (n..8 * bytes.len()).all(|index| !set.contains(index)))
            .then_some(set)
    }

    /// The wire format: a bit map.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }

    /// Whether the set contains this instance.
    pub fn contains(&self, instance: usize) -> bool {
        self.0.get(instance / 8).is_some_and(|byte| byte >> (instance % 8) & 1 == 1)
    }

    /// Adds an instance; one out of range is ignored.
    pub fn insert(&mut self, instance: usize) {
        if let Some(byte) = self.0.get_mut(instance / 8) {
            *byte |= 1 << (instance % 8);
        }
    }

    /// The instances in the set.
    pub fn instances(&self, n: usize) -> impl Iterator<Item = usize> + '_ {
        (0..n).filter(|instance| self.contains(*instance))
    }
}

/// The vote of one instance for a window. It abstains on the instances that are in neither set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ballot {
    /// The window.
    pub window: u64,
    /// The instances it votes alive.
    pub alive: InstanceSet,
    /// The instances it votes gone.
    pub gone: InstanceSet,
}

/// The votes counted for one window: who has voted, and the number of votes for each instance.
#[derive(Clone, Debug)]
struct Tally {
    window: u64,
    voted: InstanceSet,
    alive: Vec<u16>,
    gone: Vec<u16>,
}

/// The votes for the previous, the current and the next window.
#[derive(Clone, Debug)]
pub struct Votes {
    n: usize,
    own_index: usize,
    /// Indexed by the window's lowest two bits; the previous, the current and the next window are kept.
    tallies: [Tally; 4],
    /// This instance's ballots, to be sent to the others.
    own_ballots: Vec<Ballot>,
    /// The first window whose own part this run may use: an earlier run may have spent the parts of earlier
    /// windows.
    first_window: u64,
    /// Ranges of windows that this run entered, or voted for, by a wrong clock: it has no part and no vote
    /// there.
    excluded: Vec<(u64, u64)>,
    entered_window: u64,
}

impl Votes {
    /// No votes yet. A run that begins in `window` does not vote for windows that an earlier run may have
    /// voted for.
    pub fn new(n: usize, own_index: usize, window: u64) -> Self {
        let empty = Tally { window: 0, voted: InstanceSet::empty(n), alive: vec![0; n], gone: vec![0; n] };
        Self {
            n,
            own_index,
            tallies: std::array::from_fn(|_| empty.clone()),
            own_ballots: Vec::new(),
            first_window: window + 1,
            excluded: Vec::new(),
            entered_window: window,
        }
    }

    /// Moves from one window to another after a correction of the clock.
    pub fn move_to(&mut self, from: u64, to: u64) {
        let mut excluded = std::mem::take(&mut self.excluded);
        excluded.push((self.entered_window, from + 1));
        *self = Self { excluded, ..Self::new(self.n, self.own_index, to) };
    }

    /// Raises the first window whose own part this run may use. Called with the window after that of a peer
    /// first seen: an earlier run may have spent its part in the peer's window.
    pub fn raise_first_window(&mut self, window: u64) {
        self.first_window = self.first_window.max(window);
    }

    fn is_excluded(&self, window: u64) -> bool {
        self.excluded.iter().any(|(from, to)| (*from..=*to).contains(&window))
    }

    fn tally(&self, window: u64) -> Option<&Tally> {
        Some(&self.tallies[(window % 4) as usize]).filter(|count| count.window == window)
    }

    /// Counts a ballot and returns whether it counted. Only an instance's first ballot for a window counts,
    /// and only if the window is the current one or next to it.
    pub fn record(&mut self, current_window: u64, voter: usize, ballot: &Ballot) -> bool {
        if voter >= self.n || ballot.window.abs_diff(current_window) > 1 {
            return false;
        }
        let n = self.n;
        let count = &mut self.tallies[(ballot.window % 4) as usize];
        if count.window != ballot.window {
            *count = Tally {
                window: ballot.window,
                voted: InstanceSet::empty(n),
                alive: vec![0; n],
                gone: vec![0; n],
            };
        }
        if count.voted.contains(voter) {
            return false;
        }
        count.voted.insert(voter);
        for instance in 0..n {
            // A voter that lists an instance in both sets abstains on it.
            match (ballot.alive.contains(instance), ballot.gone.contains(instance)) {
                (true, false) => count.alive[instance] += 1,
                (false, true) => count.gone[instance] += 1,
                _ => {}
            }
        }
        true
    }

    /// Casts this instance's ballot for the window after `current_window`, if it has not yet and may; returns
    /// whether it did. `seen` tells of each other instance whether it is alive (`true`), gone (`false`) or
    /// unknown (`None`).
    pub fn cast(&mut self, current_window: u64, seen: impl Fn(usize) -> Option<bool>) -> bool {
        self.own_ballots.retain(|ballot| ballot.window >= current_window);
        if current_window < self.first_window
            || self.is_excluded(current_window + 1)
            || self.own_ballots.iter().any(|ballot| ballot.window == current_window + 1)
        {
            return false;
        }
        let mut ballot = Ballot {
            window: current_window + 1,
            alive: InstanceSet::empty(self.n),
            gone: InstanceSet::empty(self.n),
        };
        ballot.alive.insert(self.own_index);
        for instance in (0..self.n).filter(|instance| *instance != self.own_index) {
            match seen(instance) {
                Some(true) => ballot.alive.insert(instance),
                Some(false) => ballot.gone.insert(instance),
                None => {}
            }
        }
        self.record(current_window, self.own_index, &ballot);
        self.own_ballots.push(ballot);
        true
    }

    /// This instance's ballots that still matter.
    pub fn own_ballots(&self) -> &[Ballot] {
        &self.own_ballots
    }

    /// Whether this instance owns its part of a window. With `strict`, more than half must have voted it
    /// alive: needed while instances may use two different lists, each of which could be half of the other.
    pub fn owns_part(&self, window: u64, strict: bool) -> bool {
        window >= self.first_window
            && !self.is_excluded(window)
            && self.tally(window).is_some_and(|count| {
                2 * usize::from(count.alive[self.own_index]) >= self.n + usize::from(strict)
            })
    }

    /// The instances whose parts of a window are divided among the others.
    pub fn gone(&self, window: u64) -> Vec<usize> {
        let Some(count) =
            self.tally(window).filter(|_| window >= self.first_window && !self.is_excluded(window))
        else {
            return Vec::new();
        };
        (0..self.n)
            .filter(|instance| *instance != self.own_index && 2 * usize::from(count.gone[*instance]) > self.n)
            .collect()
    }
}

/// Replay protection: a window over the datagram numbers of one run of an instance. Each number counts once.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    last: u64,
    /// Bit map of the 64 numbers up to the last.
    seen: u64,
}

impl ReplayWindow {
    /// Records a number and returns whether it is new. Numbers 64 or more behind the last count as seen.
    pub fn accept(&mut self, number: u64) -> bool {
        if number > self.last {
            let ahead = number - self.last;
            self.seen = if ahead < 64 { self.seen << ahead } else { 0 } | 1;
            self.last = number;
            return true;
        }
        let behind = self.last - number;
        let is_new = number > 0 && behind < 64 && self.seen >> behind & 1 == 0;
        if is_new {
            self.seen |= 1 << behind;
        }
        is_new
    }
}

/// The runs of another instance: the current one and those that ended.
#[derive(Clone, Debug, Default)]
pub struct PeerRuns {
    /// The run that last proved to be running.
    pub current: Option<RunId>,
    /// The latest run seen that has not proved to be running yet.
    pub candidate: Option<RunId>,
    ended: Vec<RunId>,
}

/// Number of ended runs that are remembered.
const MAX_ENDED_RUNS: usize = 32;

impl PeerRuns {
    /// Records that a run has proved to be running. Returns whether it is a new run, or `None` if it has
    /// ended before: an ended run does not return.
    pub fn confirm(&mut self, run_id: RunId) -> Option<bool> {
        if self.ended.contains(&run_id) {
            return None;
        }
        if self.current == Some(run_id) {
            return Some(false);
        }
        if let Some(old) = self.current.replace(run_id) {
            if self.ended.len() == MAX_ENDED_RUNS {
                self.ended.remove(0);
            }
            self.ended.push(old);
        }
        self.candidate = None;
        Some(true)
    }

    /// Records a run named by a datagram that may be a replay.
    pub fn set_candidate(&mut self, run_id: RunId) {
        if self.current != Some(run_id) && !self.ended.contains(&run_id) {
            self.candidate = Some(run_id);
        }
    }

    /// The run that the next datagram is addressed to: every second one goes to the candidate, which may be a
    /// new run.
    pub fn addressee(&self, number: u64) -> RunId {
        let (current, candidate) = (self.current, self.candidate);
        if number.is_multiple_of(2) { candidate.or(current) } else { current.or(candidate) }
            .unwrap_or(RunId(0))
    }
}
