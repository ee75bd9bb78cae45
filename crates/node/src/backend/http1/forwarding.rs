//! When an answer of undeclared length is forwarded before it is complete.
//!
//! While nothing of an answer has been forwarded, a request whose answer breaks off can be sent again. So an
//! answer that may turn out to be short is buffered first. A short answer is timed by its last byte and is of
//! no use in part. A long one is timed by its first byte, and must neither be cut off at the end of the
//! attempt nor be held back for long.

use std::future::Future;
use std::pin::pin;
use std::time::{Duration, Instant};

use tokio::time::timeout_at;

use super::time_limit::TimeLimit;
use crate::arrival::MIN_BODY_BYTES_PER_S;

/// How long an answer is buffered: half of what its client accepts.
const MAX_BUFFERING_TIME: Duration = Duration::from_secs(1);
/// How long before the end of its attempt an answer is forwarded, as its head must reach the client in time.
const FORWARDING_MARGIN: Duration = Duration::from_millis(25);
/// From the first byte of its body, how long an answer counts as under way however little has arrived.
const START_GRACE: Duration = Duration::from_millis(250);

/// The progress of an answer that is being buffered.
pub struct Buffering<'a> {
    /// The time limit of the attempt.
    limit: &'a TimeLimit<'a>,
    /// When the first byte of the body arrived.
    body_began: Option<Instant>,
    body_bytes: usize,
}

impl<'a> Buffering<'a> {
    /// Begins with an answer of which only the head has arrived.
    pub fn new(limit: &'a TimeLimit<'a>) -> Self {
        Self { limit, body_began: None, body_bytes: 0 }
    }

    /// Records a part of the body that has arrived at `now`.
    pub fn record(&mut self, now: Instant, bytes: usize) {
        if bytes > 0 {
            self.body_began.get_or_insert(now);
            self.body_bytes += bytes;
        }
    }

    /// Waits for the next part of the body; `None` if what has arrived is to be forwarded now.
    pub async fn next<T>(&self, part: impl Future<Output = T>) -> Option<T> {
        let Some(began) = self.body_began else { return Some(part.await) };
        let mut part = pin!(part);
        if let Ok(arrived) = timeout_at(self.due(began).into(), &mut part).await {
            return Some(arrived);
        }
        if self.is_under_way(began, Instant::now()) {
            return None;
        }
        Some(part.await)
    }

    /// When the answer is to be forwarded if it is under way then.
    fn due(&self, began: Instant) -> Instant {
        let end = self.limit.current();
        (began + MAX_BUFFERING_TIME).min(end.checked_sub(FORWARDING_MARGIN).unwrap_or(end))
    }

    /// Whether the server goes on writing: one that has stalled, or lets a few bytes through now and then, may
    /// never finish.
    fn is_under_way(&self, began: Instant, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(began).saturating_sub(START_GRACE);
        self.body_bytes as f64 >= elapsed.as_secs_f64() * MIN_BODY_BYTES_PER_S
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    /// Guards against forwarding an answer that may never finish, and against cutting off one that goes on.
    #[test]
    fn an_answer_is_under_way_while_it_keeps_the_least_rate() {
        let now = Instant::now();
        let limit = TimeLimit { sent: now, deadline: now + 5_000 * MS, upload: None };
        let mut buffering = Buffering::new(&limit);
        buffering.record(now, 0);
        assert_eq!(buffering.body_began, None, "an empty part is no beginning");
        buffering.record(now, 100);
        assert!(buffering.is_under_way(now, now + 250 * MS));
        assert!(!buffering.is_under_way(now, now + 300 * MS));
        buffering.record(now + 500 * MS, 7_900);
        assert!(buffering.is_under_way(now, now + 750 * MS));
        assert!(!buffering.is_under_way(now, now + 760 * MS));
    }

    #[test]
    fn an_answer_is_forwarded_after_a_second_or_shortly_before_its_attempt_ends() {
        let now = Instant::now();
        let due_with = |wait: Duration| {
            let limit = TimeLimit { sent: now, deadline: now + wait, upload: None };
            Buffering::new(&limit).due(now + 100 * MS)
        };
        assert_eq!(due_with(5_000 * MS), now + 1_100 * MS);
        assert_eq!(due_with(800 * MS), now + 775 * MS);
    }
}
