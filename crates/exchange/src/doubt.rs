//! Servers that have sent unsolicited bytes, and the idle times required on their connections.

use std::collections::{HashMap, HashSet};
use std::hash::Hash;
use std::time::{Duration, Instant};

use crate::connection::{ConnectionPhase, RequiredIdle, UnsolicitedBytes};
use crate::response_time::MAX_SECOND_RESPONSE_DELAY;

/// How long a server is distrusted after its last unsolicited bytes.
const DOUBT_DURATION: Duration = Duration::from_secs(10);
/// Duration of the probation after the first exchange of the process. Meanwhile all connections must be idle
/// between uses, as nothing is known of any server yet.
const PROBATION_DURATION: Duration = Duration::from_millis(1_000);
/// Bytes that arrive later than this after a response are separate messages, such as a notice that an idle
/// connection ends.
const MAX_RESPONSE_DELAY: Duration = Duration::from_secs(3);
/// Idle time before the first use of a new connection: the minimum, used also for servers that have not yet
/// responded, and the maximum.
const IDLE_LIMITS_NEW: (Duration, Duration) = (Duration::from_millis(12), Duration::from_millis(60));
/// Idle time between two uses of a connection: the minimum, which applies during probation and to distrusted
/// servers, and the maximum.
const IDLE_LIMITS_USED: (Duration, Duration) = (MAX_SECOND_RESPONSE_DELAY, Duration::from_millis(350));
/// Accepted probability that bytes arrive later than the idle time derived from the observed delays.
const LATER_PROBABILITY: f64 = 0.01;
/// Number of servers with unsolicited bytes from which all servers are distrusted.
const MIN_SERVERS_FOR_GLOBAL_DOUBT: usize = 2;

/// The servers that a doubt applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// One server.
    Server,
    /// All servers.
    All,
}

/// Delays of unsolicited bytes after one kind of event.
#[derive(Clone, Copy, Debug, Default)]
struct DelayStats {
    longest: Duration,
    count: u32,
}

impl DelayStats {
    fn note(&mut self, after: Duration) {
        self.longest = self.longest.max(after);
        self.count = self.count.saturating_add(1);
    }

    fn merge(&mut self, other: Self) {
        self.longest = self.longest.max(other.longest);
        self.count = self.count.saturating_add(other.count);
    }

    /// Returns the delay beyond which further bytes are expected only with the accepted probability. If
    /// delays are uniform between 0 and `end`, all observed ones are at most `longest` with the probability
    /// (longest / end) to the power of their count.
    fn required_idle(&self, (min, max_idle): (Duration, Duration)) -> Duration {
        match self.count {
            0 => min,
            // The idle time that let these bytes be seen was too short to show later ones.
            1 => max_idle,
            count => {
                self.longest.mul_f64(LATER_PROBABILITY.powf(-1.0 / f64::from(count - 1))).clamp(min, max_idle)
            }
        }
    }
}

/// Delays after the connection was established (`new`) and after a response (`used`).
#[derive(Clone, Copy, Debug, Default)]
struct ConnectionDelays {
    new: DelayStats,
    used: DelayStats,
}

impl ConnectionDelays {
    fn note(&mut self, bytes: UnsolicitedBytes) {
        match bytes.phase {
            ConnectionPhase::New => self.new.note(bytes.after),
            ConnectionPhase::Idle => self.used.note(bytes.after),
            ConnectionPhase::BehindAnswer | ConnectionPhase::Writing => {}
        }
    }

    fn required_idle(&self) -> RequiredIdle {
        RequiredIdle {
            new: self.new.required_idle(IDLE_LIMITS_NEW),
            used: self.used.required_idle(IDLE_LIMITS_USED),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Observation {
    last: Instant,
    delays: ConnectionDelays,
}

impl Observation {
    fn is_current(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last) < DOUBT_DURATION
    }
}

/// Tracks servers that send unsolicited bytes. `K` identifies a server.
#[derive(Clone, Debug)]
pub struct DistrustTracker<K> {
    servers: HashMap<K, Observation>,
    /// The observations of all servers together, while several servers are distrusted.
    global: Option<Observation>,
    /// When the first exchange of the process began.
    began: Option<Instant>,
    /// Servers that have sent a response in its turn.
    known: HashSet<K>,
}

impl<K> Default for DistrustTracker<K> {
    fn default() -> Self {
        Self { servers: HashMap::new(), global: None, began: None, known: HashSet::new() }
    }
}

impl<K: Copy + Eq + Hash> DistrustTracker<K> {
    /// Records that an exchange is about to begin; only the first call counts.
    pub fn begin(&mut self, now: Instant) {
        self.began.get_or_insert(now);
    }

    /// Records unsolicited bytes of a server; returns the scope of the doubt that starts with them, if any.
    /// Bytes directly after a response start none except during probation: they arrived before the connection
    /// could be used again.
    pub fn record_unsolicited(&mut self, now: Instant, server: K, bytes: UnsolicitedBytes) -> Option<Scope> {
        let is_harmless = bytes.phase == ConnectionPhase::BehindAnswer && !self.is_on_probation(now);
        if bytes.after > MAX_RESPONSE_DELAY || is_harmless {
            return None;
        }
        let (was_global, was_doubted) = (self.is_global(now), self.is_doubted(now, server));
        self.servers.retain(|_, observation| observation.is_current(now));
        let empty = Observation { last: now, delays: ConnectionDelays::default() };
        let entry = self.servers.entry(server).or_insert(empty);
        entry.last = now;
        entry.delays.note(bytes);
        if was_global || self.servers.len() >= MIN_SERVERS_FOR_GLOBAL_DOUBT || self.is_on_probation(now) {
            self.global = Some(Observation { last: now, delays: self.total_delays() });
        }
        match (was_global, self.is_global(now), was_doubted) {
            (false, true, _) => Some(Scope::All),
            (_, _, false) => Some(Scope::Server),
            (_, _, true) => None,
        }
    }

    /// Discards the records of a server, as another process has taken its place.
    pub fn forget(&mut self, server: K) {
        self.servers.remove(&server);
        self.known.remove(&server);
    }

    fn is_global(&self, now: Instant) -> bool {
        self.global.is_some_and(|observation| observation.is_current(now))
    }

    /// Whether a server is currently distrusted.
    pub fn is_doubted(&self, now: Instant, server: K) -> bool {
        self.is_global(now)
            || self.servers.get(&server).is_some_and(|observation| observation.is_current(now))
    }

    /// How long connections to a server must be idle before a response on them is trusted.
    pub fn required_idle(&self, now: Instant, server: K) -> RequiredIdle {
        let of_server = || self.servers.get(&server).filter(|observation| observation.is_current(now));
        let observation =
            self.global.as_ref().filter(|observation| observation.is_current(now)).or_else(of_server);
        let mut required_idle =
            observation.map_or(RequiredIdle::default(), |observation| observation.delays.required_idle());
        let is_on_probation = self.is_on_probation(now);
        if is_on_probation {
            required_idle.used = required_idle.used.max(IDLE_LIMITS_USED.0);
        }
        if is_on_probation || !self.known.contains(&server) {
            required_idle.new = required_idle.new.max(IDLE_LIMITS_NEW.0);
        }
        required_idle
    }

    /// Records that a server has sent a response in its turn.
    pub fn note_answer(&mut self, server: K) {
        self.known.insert(server);
    }

    fn is_on_probation(&self, now: Instant) -> bool {
        self.began.is_none_or(|began| now.saturating_duration_since(began) < PROBATION_DURATION)
    }

    /// Merges the delays observed at all servers.
    fn total_delays(&self) -> ConnectionDelays {
        let mut all = ConnectionDelays::default();
        for observation in self.servers.values() {
            all.new.merge(observation.delays.new);
            all.used.merge(observation.delays.used);
        }
        all
    }
}
