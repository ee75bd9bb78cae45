//! Estimates when servers started, on the node's monotonic clock. The list gives start times in wall-clock
//! time, and the wall clock of the node, the server or the writer of the list may be wrong by seconds or by
//! an hour. A cold server that is treated as warm gets overloaded, so the estimate is the latest start that
//! the node's own observations allow. All times are milliseconds since the start of the node.

use std::collections::HashMap;

/// The longest delay until the list reports a new server: after it, the node counts as notified.
const MAX_LIST_DELAY_MS: f64 = 6_000.0;
/// The clock errors allowed for: some seconds, or an hour plus some seconds.
const CLOCK_ERROR_SECONDS_MS: f64 = 10_000.0;
const CLOCK_ERROR_HOUR_MS: f64 = 3_600_000.0;
/// Records kept before servers that are no longer listed are dropped: a base, plus a number per listed
/// server.
const MIN_RECORDS: usize = 64;
const MAX_RECORDS_PER_LISTED: usize = 4;

/// The start of a server, as estimated when the list first reported it.
#[derive(Clone, Copy, Debug)]
struct Start {
    /// The wall-clock time in the list.
    started_ms: f64,
    /// The estimate on the node's clock.
    estimate: f64,
}

/// A start time claimed by the list, and what the node knows to check it.
#[derive(Clone, Copy, Debug)]
pub struct ClaimedStart {
    /// The start time in the list, converted to the node's clock.
    pub claimed_start: f64,
    /// The current time.
    pub now: f64,
    /// When the previous list was received; `None` before the first.
    pub previous_list_at: Option<f64>,
    /// How long a server takes to warm up.
    pub warm_up_time: f64,
}

impl ClaimedStart {
    /// The latest time at which the server may have started.
    fn latest(&self) -> f64 {
        let claimed = match self.previous_list_at {
            // The previous list did not have the server, so it started shortly before that list at the
            // earliest.
            Some(heard) => self.claimed_start.max(heard - MAX_LIST_DELAY_MS),
            None => self.latest_by_clock(),
        };
        // A listed server has already started.
        claimed.min(self.now)
    }

    /// The latest start within the allowed clock error, where that error decides whether the server is warm.
    fn latest_by_clock(&self) -> f64 {
        let warm = |clock_error: f64| self.now - (self.claimed_start + clock_error) >= self.warm_up_time;
        let cold = |clock_error: f64| {
            !warm(clock_error) && self.claimed_start + clock_error - CLOCK_ERROR_SECONDS_MS <= self.now
        };
        let clock_errors = [CLOCK_ERROR_HOUR_MS + CLOCK_ERROR_SECONDS_MS, CLOCK_ERROR_SECONDS_MS];
        let clock_error = clock_errors.into_iter().find(|clock_error| cold(*clock_error)).unwrap_or(0.0);
        self.claimed_start + clock_error
    }
}

/// The estimated starts of all servers that are or were listed.
#[derive(Debug, Default)]
pub struct StartTimes {
    known: HashMap<u64, Start>,
}

impl StartTimes {
    /// When a server started; `None` for long ago. The first estimate for a given start time is kept.
    pub fn estimate(&mut self, server: u64, started_ms: f64, claim: ClaimedStart) -> Option<f64> {
        if started_ms <= 0.0 {
            return None;
        }
        let known = self.known.get(&server).filter(|start| start.started_ms == started_ms);
        let start = known.copied().unwrap_or(Start { started_ms, estimate: claim.latest() });
        self.known.insert(server, start);
        Some(start.estimate)
    }

    /// Drops servers that are no longer listed once there are many records. Until then they are kept, so that
    /// a server that is listed again does not count as cold.
    pub fn drop_unlisted(&mut self, listed: usize, is_listed: impl Fn(u64) -> bool) {
        if self.known.len() > MIN_RECORDS + MAX_RECORDS_PER_LISTED * listed {
            self.known.retain(|server, _| is_listed(*server));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WARM_WITHIN: f64 = 24_000.0;
    const NOW: f64 = 100_000.0;

    /// The estimated age of a server whose listed start time claims the given age.
    fn estimated_age(claimed_age: f64, heard: Option<f64>) -> f64 {
        let claim = ClaimedStart {
            claimed_start: NOW - claimed_age,
            now: NOW,
            previous_list_at: heard,
            warm_up_time: WARM_WITHIN,
        };
        NOW - StartTimes::default().estimate(1, 1.0, claim).expect("not long ago")
    }

    #[test]
    fn a_server_first_listed_while_the_list_is_followed_has_just_started() {
        let heard = Some(NOW - 1_000.0);
        assert_eq!(estimated_age(2_000.0, heard), 2_000.0);
        assert_eq!(estimated_age(CLOCK_ERROR_HOUR_MS, heard), 7_000.0);
        assert_eq!(estimated_age(-CLOCK_ERROR_HOUR_MS, heard), 0.0);
    }

    #[test]
    fn after_a_gap_in_the_list_a_server_may_have_started_at_any_time_within_it() {
        assert_eq!(estimated_age(20_000.0, Some(NOW - 30_000.0)), 20_000.0);
        assert_eq!(estimated_age(90_000.0, Some(NOW - 30_000.0)), 36_000.0);
    }

    #[test]
    fn the_first_list_is_trusted_beyond_the_allowed_clock_error() {
        for claimed_age in [40_000.0, 600_000.0, 3_000_000.0, 4_000_000.0, 1.0e9] {
            assert_eq!(estimated_age(claimed_age, None), claimed_age);
        }
    }

    #[test]
    fn a_clock_error_in_the_first_list_does_not_make_a_cold_server_warm() {
        for actual in [0.0, 5_000.0, 15_000.0, 23_000.0] {
            for clock_error in [-3_605_000.0, -3_600_000.0, -5_000.0, 0.0, 5_000.0, 3_600_000.0, 3_605_000.0]
            {
                let estimated = estimated_age(actual + clock_error, None);
                assert!(
                    (0.0..=actual).contains(&estimated),
                    "actual age {actual} ms, clock error {clock_error} ms: estimated {estimated}"
                );
            }
        }
    }

    #[test]
    fn an_estimate_is_kept_until_the_server_restarts() {
        let mut starts = StartTimes::default();
        let claim = |now: f64| ClaimedStart {
            claimed_start: 0.0,
            now,
            previous_list_at: Some(now - 1.0),
            warm_up_time: WARM_WITHIN,
        };
        let first = starts.estimate(1, 7.0, claim(1_000.0));
        assert_eq!(starts.estimate(1, 7.0, claim(90_000.0)), first);
        assert_ne!(starts.estimate(1, 8.0, claim(90_000.0)), first);
        assert_eq!(starts.estimate(2, 0.0, claim(1_000.0)), None);
    }

    #[test]
    fn servers_no_longer_listed_are_eventually_dropped() {
        let mut starts = StartTimes::default();
        let claim =
            ClaimedStart { claimed_start: 0.0, now: 1.0, previous_list_at: None, warm_up_time: WARM_WITHIN };
        for server in 0..1_000 {
            starts.estimate(server, 7.0, claim);
            starts.drop_unlisted(1, |listed| listed == 0);
        }
        assert!(starts.known.len() <= MIN_RECORDS + MAX_RECORDS_PER_LISTED, "{}", starts.known.len());
        assert!(starts.known.contains_key(&0));
    }
}
