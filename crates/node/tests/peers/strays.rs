//! Faulty responses of servers, or of the links to them: responses that no request asked for, and broken
//! framing.

use std::net::SocketAddr;
use std::ops::Range;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::answer;
use super::dice::Rng;

/// A fault of an exchange. Delays are in milliseconds; `share` is the probability in thousandths.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponseFault {
    /// A second response follows a response after a delay.
    ExtraResponse { share: u64, delay_ms: Range<u64> },
    /// A response that no request asked for comes on a new connection, a delay after the connection opens.
    OnConnect { share: u64, delay_ms: Range<u64> },
    /// A response is sent twice.
    RepeatedResponse { share: u64 },
    /// The connection ends in the middle of a response.
    TruncatedResponse { share: u64 },
    /// The connection ends after a response that does not announce it.
    CloseAfterResponse { share: u64 },
    /// An interim response (103) precedes each response.
    InterimResponse,
    /// A response is written in small pieces.
    SplitResponse { share: u64 },
    /// A rejection is sent a second time after a delay.
    CopiedRejection { share: u64, delay_ms: Range<u64> },
    /// The server rejects a request without executing it.
    Rejection { share: u64 },
}

/// By how much a timer may be late without any delay of the machine.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);

/// Draws whether a fault of this probability, in thousandths, occurs.
fn occurs(rng: &mut Rng, share: u64) -> bool {
    rng.below(1_000) < share
}

/// The delay of a response that no request asked for.
#[derive(Clone, Copy, Debug)]
pub struct UnsolicitedDelay {
    /// The delay that was drawn.
    pub drawn: Duration,
    /// The longest delay that the fault allows.
    pub max: Duration,
}

/// Draws a delay from a range in milliseconds.
fn draw(rng: &mut Rng, delay_ms: &Range<u64>) -> UnsolicitedDelay {
    let micros = delay_ms.start * 1_000 + rng.below((delay_ms.end - delay_ms.start) * 1_000);
    UnsolicitedDelay { drawn: Duration::from_micros(micros), max: Duration::from_millis(delay_ms.end) }
}

/// What a response that no request asked for followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trigger {
    /// The connection was opened.
    Connect,
    /// Another response.
    Response,
}

/// A response that a server sent although no request asked for it.
#[derive(Clone, Copy, Debug)]
pub struct UnsolicitedSend {
    pub server: usize,
    /// The node's address of the connection.
    pub peer: SocketAddr,
    pub trigger: Trigger,
    pub delay: UnsolicitedDelay,
    /// How long after its trigger it was sent, as the server saw the trigger.
    pub after: Duration,
    /// When it was sent.
    pub at: Instant,
    /// The same on the wall clock.
    pub wall: SystemTime,
}

impl UnsolicitedSend {
    /// How long after its trigger it was sent. `established_ms` is when the node's end of the connection was
    /// established, in Unix time; a busy server accepts the connection later than that.
    pub fn delay_for_node(&self, established_ms: Option<f64>) -> Duration {
        let since_established = |established_ms: f64| {
            let sent_ms = self.wall.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1_000.0;
            Duration::from_secs_f64((sent_ms - established_ms).max(0.0) / 1_000.0)
        };
        match self.trigger {
            Trigger::Connect => established_ms.map_or(self.after, since_established),
            Trigger::Response => self.after,
        }
    }

    /// Whether it was sent later than its fault allows, as the machine delayed the server.
    pub fn exceeds_fault(&self, established_ms: Option<f64>) -> bool {
        self.delay_for_node(established_ms) > self.delay.max + TIMER_RESOLUTION
    }
}

/// A response that no request asked for: 200, a rejection (503) or 500.
pub fn unsolicited_response(rng: &mut Rng) -> Vec<u8> {
    match rng.below(3) {
        0 => answer(200, "", "unasked"),
        1 => answer(503, "X-Turned-Away: 1\r\n", ""),
        _ => answer(500, "", ""),
    }
}

/// How one response is sent.
#[derive(Clone, Debug, Default)]
pub struct Delivery {
    /// Delays, after the response, of further responses that no request asked for.
    pub unsolicited_delays: Vec<UnsolicitedDelay>,
    /// An interim response precedes it.
    pub has_interim: bool,
    pub is_repeated: bool,
    pub is_truncated: bool,
    pub closes: bool,
    pub is_split: bool,
}

/// The faults of all servers of a run.
#[derive(Clone, Debug, Default)]
pub struct ResponseFaults(pub Vec<ResponseFault>);

impl ResponseFaults {
    /// Those of the faults that are proper answers.
    pub fn rejections(&self) -> Self {
        let is_rejection = |fault: &&ResponseFault| matches!(fault, ResponseFault::Rejection { .. });
        Self(self.0.iter().filter(is_rejection).cloned().collect())
    }

    /// After which delay a response that no request asked for is sent on a new connection, if one is.
    pub fn unsolicited_on_connect(&self, rng: &mut Rng) -> Option<UnsolicitedDelay> {
        self.0.iter().find_map(|fault| match fault {
            ResponseFault::OnConnect { share, delay_ms } => occurs(rng, *share).then(|| draw(rng, delay_ms)),
            _ => None,
        })
    }

    /// After which delay a rejection is sent a second time, if it is.
    pub fn rejection_copy(&self, rng: &mut Rng) -> Option<UnsolicitedDelay> {
        self.0.iter().find_map(|fault| match fault {
            ResponseFault::CopiedRejection { share, delay_ms } => {
                occurs(rng, *share).then(|| draw(rng, delay_ms))
            }
            _ => None,
        })
    }

    /// Whether the next request is rejected.
    pub fn rejects_request(&self, rng: &mut Rng) -> bool {
        self.0.iter().any(|fault| matches!(fault, ResponseFault::Rejection { share } if occurs(rng, *share)))
    }

    /// How the next response is sent.
    pub fn delivery(&self, rng: &mut Rng) -> Delivery {
        let mut delivery = Delivery::default();
        for fault in &self.0 {
            match fault {
                ResponseFault::ExtraResponse { share, delay_ms } => {
                    if occurs(rng, *share) {
                        delivery.unsolicited_delays.push(draw(rng, delay_ms));
                    }
                }
                ResponseFault::RepeatedResponse { share } => delivery.is_repeated |= occurs(rng, *share),
                ResponseFault::TruncatedResponse { share } => delivery.is_truncated |= occurs(rng, *share),
                ResponseFault::CloseAfterResponse { share } => delivery.closes |= occurs(rng, *share),
                ResponseFault::SplitResponse { share } => delivery.is_split |= occurs(rng, *share),
                ResponseFault::InterimResponse => delivery.has_interim = true,
                ResponseFault::OnConnect { .. }
                | ResponseFault::CopiedRejection { .. }
                | ResponseFault::Rejection { .. } => {}
            }
        }
        delivery
    }
}
