//! The clock of a node: converts between the core's time, the runtime's and Unix time.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use glenwood_policy::Millis;

/// Monotonic time for the core, in milliseconds since the node's start, and the Unix time of that start.
pub struct Clock {
    start: Instant,
    unix_start: Millis,
}

impl Default for Clock {
    /// Creates a clock that starts now.
    fn default() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), unix_start: unix.as_secs_f64() * 1000.0 }
    }
}

impl Clock {
    /// The current time in the core's time.
    pub fn now(&self) -> Millis {
        self.millis_at(Instant::now())
    }

    /// Converts the runtime's time to the core's.
    pub fn millis_at(&self, instant: Instant) -> Millis {
        instant.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }

    /// Converts the core's time to the runtime's, clamped to what the runtime's can represent.
    pub fn instant(&self, at: Millis) -> Instant {
        self.start + Duration::from_secs_f64(at.clamp(0.0, 3.0e12) / 1000.0)
    }

    /// The current Unix time in full milliseconds; it never runs backwards.
    pub fn unix_now(&self) -> u64 {
        self.unix_ms() as u64
    }

    /// The current Unix time in milliseconds, with fractions.
    pub fn unix_ms(&self) -> Millis {
        self.unix_start + self.now()
    }

    /// Converts Unix time to the core's time, by the wall clock at the node's start.
    pub fn at_unix(&self, unix_ms: Millis) -> Millis {
        unix_ms - self.unix_start
    }
}
