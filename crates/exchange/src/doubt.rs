//! Which servers have sent bytes out of turn, and what follows for their connections.

use std::collections::{HashMap, HashSet};
use std::hash::Hash;
use std::time::{Duration, Instant};

use crate::connection::{Need, OutOfTurn, Position};

/// How long a server is doubted after it was last seen to send bytes out of turn.
const DOUBT_LASTS: Duration = Duration::from_secs(10);
/// How long connections rest at first, from the first exchange of all on: nothing is known of any server yet.
const PROBATION: Duration = Duration::from_millis(1_000);
/// Bytes that come later than this after an answer are a message of their own, such as the end of an idle connection.
const ANSWER_LATE_MOST: Duration = Duration::from_secs(3);
/// How long a new connection rests before its first use: always, and at most.
const REST_NEW: (Duration, Duration) = (Duration::from_millis(12), Duration::from_millis(60));
/// How long a connection rests between two uses, on probation and where its server is doubted, and at most.
const REST_USED: (Duration, Duration) = (Duration::from_millis(25), Duration::from_millis(350));
/// With which chance later bytes than any that were seen may come after a rest.
const LATER_CHANCE: f64 = 0.01;
/// At how many servers bytes out of turn make all servers doubtful.
const WIDE_FROM: usize = 2;

/// How far a doubt reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// One server.
    Server,
    /// All servers.
    All,
}

/// How late bytes out of turn have come after the same kind of event.
#[derive(Clone, Copy, Debug, Default)]
struct Lateness {
    most: Duration,
    seen: u32,
}

impl Lateness {
    fn note(&mut self, after: Duration) {
        self.most = self.most.max(after);
        self.seen = self.seen.saturating_add(1);
    }

    fn add(&mut self, other: Self) {
        self.most = self.most.max(other.most);
        self.seen = self.seen.saturating_add(other.seen);
    }

    /// Beyond which span no more come, but for the chance: of an even spread with that end, all that were seen lie below the most of
    /// them with a chance of (most / end) to the power of their number.
    fn bound(&self, (least, most): (Duration, Duration)) -> Duration {
        match self.seen {
            0 => least,
            // It came within a rest that was too short to see later ones.
            1 => most,
            seen => self.most.mul_f64(LATER_CHANCE.powf(-1.0 / f64::from(seen - 1))).clamp(least, most),
        }
    }
}

/// The same after a connection came up, and after an answer.
#[derive(Clone, Copy, Debug, Default)]
struct Latenesses {
    new: Lateness,
    used: Lateness,
}

impl Latenesses {
    fn note(&mut self, seen: OutOfTurn) {
        match seen.position {
            Position::New => self.new.note(seen.after),
            Position::Idle => self.used.note(seen.after),
            Position::BehindAnswer | Position::Writing => {}
        }
    }

    fn need(&self) -> Need {
        Need { new: self.new.bound(REST_NEW), used: self.used.bound(REST_USED) }
    }
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    last: Instant,
    latenesses: Latenesses,
}

impl Seen {
    fn holds(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last) < DOUBT_LASTS
    }
}

/// What is known of servers that send bytes out of turn. `K` names a server.
#[derive(Clone, Debug)]
pub struct Doubt<K> {
    servers: HashMap<K, Seen>,
    /// What was seen at all of them together, while that is at several.
    wide: Option<Seen>,
    /// When the first exchange of all began.
    began: Option<Instant>,
    /// Servers that have answered in their turn.
    known: HashSet<K>,
}

impl<K> Default for Doubt<K> {
    fn default() -> Self {
        Self { servers: HashMap::new(), wide: None, began: None, known: HashSet::new() }
    }
}

impl<K: Copy + Eq + Hash> Doubt<K> {
    /// The first exchange of all is about to begin, if none has.
    pub fn begin(&mut self, now: Instant) {
        self.began.get_or_insert(now);
    }

    /// Bytes came out of turn from a server; says how far a doubt reaches that begins by that. Bytes right behind an answer begin
    /// none but on probation: they have come before the connection could be used again.
    pub fn note(&mut self, now: Instant, server: K, seen: OutOfTurn) -> Option<Scope> {
        let is_harmless = seen.position == Position::BehindAnswer && !self.is_on_probation(now);
        if seen.after > ANSWER_LATE_MOST || is_harmless {
            return None;
        }
        let (was_wide, was_doubted) = (self.is_wide(now), self.is_doubted(now, server));
        self.servers.retain(|_, seen| seen.holds(now));
        let empty = Seen { last: now, latenesses: Latenesses::default() };
        let entry = self.servers.entry(server).or_insert(empty);
        entry.last = now;
        entry.latenesses.note(seen);
        if was_wide || self.servers.len() >= WIDE_FROM || self.is_on_probation(now) {
            self.wide = Some(Seen { last: now, latenesses: self.seen_at_all() });
        }
        match (was_wide, self.is_wide(now), was_doubted) {
            (false, true, _) => Some(Scope::All),
            (_, _, false) => Some(Scope::Server),
            (_, _, true) => None,
        }
    }

    /// Another process answers for a server from now on.
    pub fn forget(&mut self, server: K) {
        self.servers.remove(&server);
        self.known.remove(&server);
    }

    fn is_wide(&self, now: Instant) -> bool {
        self.wide.is_some_and(|seen| seen.holds(now))
    }

    /// Is a server doubted for what was seen?
    pub fn is_doubted(&self, now: Instant, server: K) -> bool {
        self.is_wide(now) || self.servers.get(&server).is_some_and(|seen| seen.holds(now))
    }

    /// How long connections to a server have to be quiet before an answer on them is believed.
    pub fn need(&self, now: Instant, server: K) -> Need {
        let of_server = || self.servers.get(&server).filter(|seen| seen.holds(now));
        let seen = self.wide.as_ref().filter(|seen| seen.holds(now)).or_else(of_server);
        let mut need = seen.map_or(Need::default(), |seen| seen.latenesses.need());
        let is_on_probation = self.is_on_probation(now);
        if is_on_probation {
            need.used = need.used.max(REST_USED.0);
        }
        if is_on_probation || !self.known.contains(&server) {
            need.new = need.new.max(REST_NEW.0);
        }
        need
    }

    /// A server has answered in its turn.
    pub fn note_answer(&mut self, server: K) {
        self.known.insert(server);
    }

    fn is_on_probation(&self, now: Instant) -> bool {
        self.began.is_none_or(|began| now.saturating_duration_since(began) < PROBATION)
    }

    /// What was seen at all servers together.
    fn seen_at_all(&self) -> Latenesses {
        let mut all = Latenesses::default();
        for seen in self.servers.values() {
            all.new.add(seen.latenesses.new);
            all.used.add(seen.latenesses.used);
        }
        all
    }
}
