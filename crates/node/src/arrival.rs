//! How long a request may take to arrive from its client, whatever its protocol: a limit on its head, and from
//! the first byte of its body on a limit on the body's pauses and one on its rate.

use std::time::{Duration, Instant};

use glenwood_msgpack_rpc::frame::PartialMessage;

/// How long a request may take to arrive up to its body.
pub const HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long a body may pause.
const MAX_BODY_PAUSE: Duration = Duration::from_millis(2200);
/// How long a body may take to get up to its least rate.
const BODY_GRACE: Duration = Duration::from_millis(2500);
/// How many bytes per second a body must deliver: a quarter of what a slow peer sends.
pub const MIN_BODY_BYTES_PER_S: f64 = 16_000.0;

/// The arrival of a request's body.
#[derive(Clone, Copy, Debug)]
pub struct BodyArrival {
    began: Instant,
    /// The bytes of the request that had arrived by then.
    bytes_before: usize,
}

impl BodyArrival {
    /// A body that begins to arrive behind the first `bytes_before` bytes of its request.
    pub fn begin(now: Instant, bytes_before: usize) -> Self {
        Self { began: now, bytes_before }
    }

    /// When the body is overdue if nothing more arrives. `bytes` bytes of its request have arrived, the last
    /// of them at `last_byte_at`.
    pub fn due(&self, bytes: usize, last_byte_at: Instant) -> Instant {
        let received = bytes.saturating_sub(self.bytes_before) as f64;
        let at_least_rate = BODY_GRACE + Duration::from_secs_f64(received / MIN_BODY_BYTES_PER_S);
        (last_byte_at + MAX_BODY_PAUSE).min(self.began + at_least_rate)
    }
}

/// The arrival of one MessagePack-RPC message.
#[derive(Clone, Copy, Debug)]
pub struct MessageArrival {
    began: Instant,
    last_byte_at: Instant,
    bytes: usize,
    body: Option<BodyArrival>,
}

impl MessageArrival {
    /// A message whose first bytes have arrived now.
    pub fn begin(now: Instant, partial: PartialMessage) -> Self {
        let message = Self { began: now, last_byte_at: now, bytes: 0, body: None };
        message.advance(now, partial)
    }

    /// The message as far as it has arrived now.
    pub fn advance(mut self, now: Instant, partial: PartialMessage) -> Self {
        if partial.bytes > self.bytes {
            (self.bytes, self.last_byte_at) = (partial.bytes, now);
        }
        if partial.has_begun_body && self.body.is_none() {
            self.body = Some(BodyArrival::begin(now, partial.bytes));
        }
        self
    }

    /// When the message is overdue if nothing more arrives.
    pub fn due(&self) -> Instant {
        match self.body {
            Some(body) => body.due(self.bytes, self.last_byte_at),
            None => self.began + HEAD_TIMEOUT,
        }
    }

    /// When the first bytes arrived.
    pub fn began(&self) -> Instant {
        self.began
    }

    /// How many bytes have arrived.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HEAD_BYTES: usize = 100;

    fn partial(bytes: usize) -> PartialMessage {
        PartialMessage { bytes, has_begun_body: bytes > HEAD_BYTES }
    }

    /// Receives a head in `pieces`, each a delay and a number of bytes; returns when the message would be
    /// overdue, from its first byte on, or `None` if it was before its last piece.
    fn due_after(pieces: &[(u64, usize)]) -> Option<Duration> {
        let began = Instant::now();
        let mut message = MessageArrival::begin(began, partial(1));
        let (mut now, mut bytes) = (began, 1);
        for (delay_ms, count) in pieces {
            now += Duration::from_millis(*delay_ms);
            bytes += count;
            if now >= message.due() {
                return None;
            }
            message = message.advance(now, partial(bytes));
        }
        Some(message.due() - began)
    }

    #[test]
    fn a_head_is_overdue_however_steadily_it_trickles() {
        assert_eq!(due_after(&[]), Some(HEAD_TIMEOUT));
        assert_eq!(due_after(&[(1000, 10), (1000, 10)]), Some(HEAD_TIMEOUT));
        assert_eq!(due_after(&[(1000, 10), (1000, 10), (600, 10)]), None);
    }

    #[test]
    fn the_limit_on_a_body_counts_from_its_first_byte() {
        let body_began = (2000, HEAD_BYTES);
        // By its grace, then by its pause, then by its rate.
        assert_eq!(due_after(&[body_began]), Some(Duration::from_millis(2000 + 2200)));
        assert_eq!(due_after(&[body_began, (1000, 1600)]), Some(Duration::from_millis(2000 + 2500 + 100)));
        let at_slow_peers_rate: Vec<(u64, usize)> =
            std::iter::once(body_began).chain((0..20).map(|_| (50, 3200))).collect();
        assert_eq!(due_after(&at_slow_peers_rate), Some(Duration::from_millis(2000 + 1000 + 2200)));
        let trickle: Vec<(u64, usize)> =
            std::iter::once(body_began).chain((0..60).map(|_| (50, 50))).collect();
        assert_eq!(due_after(&trickle), None);
    }
}
