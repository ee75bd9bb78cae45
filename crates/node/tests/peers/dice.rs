//! Pseudo-random numbers from a seed.

use std::time::Duration;

/// A splitmix64 generator; the field is its state.
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let value = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        value ^ (value >> 31)
    }

    /// A number from 0 up to, but not including, `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    /// A duration from `min_ms` up to, but not including, `max_ms`.
    pub fn between(&mut self, min_ms: u64, max_ms: u64) -> Duration {
        Duration::from_millis(min_ms + self.below(max_ms - min_ms))
    }

    /// True with probability 1/`count`.
    pub fn one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }
}
