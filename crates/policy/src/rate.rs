//! An exponentially decaying rate.

use crate::api::Millis;

/// A rate per second in which older amounts decay; starts at zero.
#[derive(Default)]
pub struct Rate {
    /// The rate per second as of `at`.
    pub per_s: f64,
    at: Millis,
}

impl Rate {
    /// Adds an amount; what was added longer ago than `span` counts for little.
    pub fn add(&mut self, now: Millis, span: Millis, amount: f64) {
        self.per_s = self.at(now, span) + amount * 1000.0 / span.max(1.0);
        self.at = now;
    }

    /// The rate per second as of `now`.
    pub fn at(&self, now: Millis, span: Millis) -> f64 {
        self.per_s * (-(now - self.at).max(0.0) / span.max(1.0)).exp()
    }
}
