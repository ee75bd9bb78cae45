//! Whose part of a window is whose: votes, each cast once for a window and never taken back.
//!
//! An instance uses its own part of a window only while half of all instances at the least have voted that it is alive there;
//! the others divide that part only once more than half have voted that it is gone. As nobody votes twice, both can't be: the
//! votes would be more than the instances. A partition into equal halves leaves every part with its instance; of an unequal
//! one the smaller side loses its parts to the larger.

use crate::ledger::Boot;

/// A set of instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Set(Vec<u8>);

impl Set {
    /// Nobody of `n`.
    pub fn none(n: usize) -> Self {
        Self(vec![0; n.div_ceil(8)])
    }

    /// As it came over the network; `None` where it is not of `n`.
    pub fn read(bytes: &[u8], n: usize) -> Option<Self> {
        let set = Self(bytes.to_vec());
        (bytes.len() == n.div_ceil(8) && (n..8 * bytes.len()).all(|beyond| !set.has(beyond))).then_some(set)
    }

    /// As it goes over the network.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }

    /// Is this one in it?
    pub fn has(&self, who: usize) -> bool {
        self.0.get(who / 8).is_some_and(|byte| byte >> (who % 8) & 1 == 1)
    }

    /// Takes one in.
    pub fn add(&mut self, who: usize) {
        if let Some(byte) = self.0.get_mut(who / 8) {
            *byte |= 1 << (who % 8);
        }
    }

    /// All in it.
    pub fn all(&self, n: usize) -> impl Iterator<Item = usize> + '_ {
        (0..n).filter(|who| self.has(*who))
    }
}

/// What one instance votes for a window. Of who is in neither set it says nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ballot {
    /// The window.
    pub window: u64,
    /// Who is alive.
    pub alive: Set,
    /// Who is gone.
    pub gone: Set,
}

/// The votes for one window.
#[derive(Clone, Debug)]
struct Count {
    window: u64,
    voted: Set,
    alive: Vec<u16>,
    gone: Vec<u16>,
}

/// All votes that still count.
#[derive(Clone, Debug)]
pub struct Votes {
    n: usize,
    me: usize,
    /// By the window's lowest bits: of the present, the next, and the one before.
    boxes: [Count; 4],
    /// Own ballots, for those who have not heard them.
    own: Vec<Ballot>,
    /// The first window whose own part is this life's: one before it may have spent what there is of earlier ones.
    first: u64,
    /// Windows that this life was in, or voted for, by a clock that was wrong: it has no part there, and no vote.
    barred: Vec<(u64, u64)>,
    since: u64,
}

impl Votes {
    /// None yet. A life that begins in `window` votes for none that one before it may have voted for.
    pub fn new(n: usize, me: usize, window: u64) -> Self {
        let empty = Count { window: 0, voted: Set::none(n), alive: vec![0; n], gone: vec![0; n] };
        Self {
            n,
            me,
            boxes: std::array::from_fn(|_| empty.clone()),
            own: Vec::new(),
            first: window + 1,
            barred: Vec::new(),
            since: window,
        }
    }

    /// Goes from one window to another, as the clock was wrong.
    pub fn restart(&mut self, from: u64, to: u64) {
        let mut barred = std::mem::take(&mut self.barred);
        barred.push((self.since, from + 1));
        *self = Self { barred, ..Self::new(self.n, self.me, to) };
    }

    /// Another one was in that window when this life first heard it: an earlier life may have spent its part there.
    pub fn not_before(&mut self, window: u64) {
        self.first = self.first.max(window);
    }

    fn is_barred(&self, window: u64) -> bool {
        self.barred.iter().any(|(from, to)| (*from..=*to).contains(&window))
    }

    fn of(&self, window: u64) -> Option<&Count> {
        Some(&self.boxes[(window % 4) as usize]).filter(|b| b.window == window)
    }

    /// Notes a ballot; the first that an instance casts for a window counts, and no other. `present` is the window by now: what
    /// is far from it counts for nothing.
    pub fn hear(&mut self, present: u64, voter: usize, ballot: &Ballot) -> bool {
        if voter >= self.n || ballot.window.abs_diff(present) > 1 {
            return false;
        }
        let n = self.n;
        let b = &mut self.boxes[(ballot.window % 4) as usize];
        if b.window != ballot.window {
            *b = Count { window: ballot.window, voted: Set::none(n), alive: vec![0; n], gone: vec![0; n] };
        }
        if b.voted.has(voter) {
            return false;
        }
        b.voted.add(voter);
        for who in 0..n {
            // Whoever says both says nothing.
            match (ballot.alive.has(who), ballot.gone.has(who)) {
                (true, false) => b.alive[who] += 1,
                (false, true) => b.gone[who] += 1,
                _ => {}
            }
        }
        true
    }

    /// A window has begun: casts the own ballot for the one after it. `seen` says of each other whether it is alive, gone, or
    /// nothing can be said. True where it did.
    pub fn cast(&mut self, present: u64, seen: impl Fn(usize) -> Option<bool>) -> bool {
        self.own.retain(|ballot| ballot.window >= present);
        if present < self.first
            || self.is_barred(present + 1)
            || self.own.iter().any(|ballot| ballot.window == present + 1)
        {
            return false;
        }
        let mut ballot = Ballot { window: present + 1, alive: Set::none(self.n), gone: Set::none(self.n) };
        ballot.alive.add(self.me);
        for who in (0..self.n).filter(|who| *who != self.me) {
            match seen(who) {
                Some(true) => ballot.alive.add(who),
                Some(false) => ballot.gone.add(who),
                None => {}
            }
        }
        self.hear(present, self.me, &ballot);
        self.own.push(ballot);
        true
    }

    /// Own ballots that may still be news.
    pub fn own(&self) -> &[Ballot] {
        &self.own
    }

    /// Has this instance its own part of a window? `strictly`: more than half must have voted it alive, as instances may go by
    /// two lists, each of which could be half of the other.
    pub fn holds(&self, window: u64, strictly: bool) -> bool {
        window >= self.first
            && !self.is_barred(window)
            && self
                .of(window)
                .is_some_and(|b| 2 * usize::from(b.alive[self.me]) >= self.n + usize::from(strictly))
    }

    /// Whose parts of a window the others divide.
    pub fn gone(&self, window: u64) -> Vec<usize> {
        let Some(b) = self.of(window).filter(|_| window >= self.first && !self.is_barred(window)) else {
            return Vec::new();
        };
        (0..self.n).filter(|who| *who != self.me && 2 * usize::from(b.gone[*who]) > self.n).collect()
    }
}

/// Which datagrams of one life of an instance have come: each counts once.
#[derive(Clone, Copy, Debug, Default)]
pub struct Replay {
    last: u64,
    /// Of the 64 up to the last.
    seen: u64,
}

impl Replay {
    /// Has this number not come before? Those far behind are taken for come.
    pub fn fresh(&mut self, number: u64) -> bool {
        if number > self.last {
            let ahead = number - self.last;
            self.seen = if ahead < 64 { self.seen << ahead } else { 0 } | 1;
            self.last = number;
            return true;
        }
        let behind = self.last - number;
        let new = number > 0 && behind < 64 && self.seen >> behind & 1 == 0;
        if new {
            self.seen |= 1 << behind;
        }
        new
    }
}

/// The lives of another instance: the one that counts, and those that did.
#[derive(Clone, Debug, Default)]
pub struct Lives {
    /// The one that counts.
    pub now: Option<Boot>,
    /// The latest that did not prove itself yet.
    pub candidate: Option<Boot>,
    over: Vec<Boot>,
}

/// How many lives that are over are remembered.
const OVER_MOST: usize = 32;

impl Lives {
    /// A life of it has proved that it runs; true where it is another one than before. One that is over does not come back.
    pub fn proved(&mut self, boot: Boot) -> Option<bool> {
        if self.over.contains(&boot) {
            return None;
        }
        if self.now == Some(boot) {
            return Some(false);
        }
        if let Some(old) = self.now.replace(boot) {
            if self.over.len() == OVER_MOST {
                self.over.remove(0);
            }
            self.over.push(old);
        }
        self.candidate = None;
        Some(true)
    }

    /// A life was named by a datagram that proves nothing.
    pub fn named(&mut self, boot: Boot) {
        if self.now != Some(boot) && !self.over.contains(&boot) {
            self.candidate = Some(boot);
        }
    }

    /// To whom the next datagram is addressed: now and then to one who may have begun anew.
    pub fn addressed(&self, turn: u64) -> Boot {
        let (now, candidate) = (self.now, self.candidate);
        if turn.is_multiple_of(2) { candidate.or(now) } else { now.or(candidate) }.unwrap_or(Boot(0))
    }
}
