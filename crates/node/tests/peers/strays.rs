//! Faulty responses of servers, or of the links to them: responses that no request asked for, and broken
//! framing.

use std::ops::Range;
use std::time::Duration;

use super::answer;
use super::dice::Dice;

/// A fault of an exchange. Delays (`after`) are in milliseconds, `share` is the probability in thousandths.
#[derive(Clone, Debug, PartialEq)]
pub enum Stray {
    /// A second response follows a response after a delay.
    BehindAnswer { share: u64, after: Range<u64> },
    /// A response that no request asked for comes on a new connection, a delay after the connection opens.
    OnNewConnection { share: u64, after: Range<u64> },
    /// A response is sent twice.
    Repeated { share: u64 },
    /// The connection ends in the middle of a response.
    Cut { share: u64 },
    /// The connection ends after a response that does not announce it.
    EndsAfterAnswer { share: u64 },
    /// An interim response (103) precedes each response.
    Interim,
    /// A response is written in small pieces.
    InPieces { share: u64 },
    /// The server rejects a request without executing it.
    TurnsAway { share: u64 },
}

/// Draws whether a fault of this probability, in thousandths, occurs.
fn occurs(dice: &mut Dice, share: u64) -> bool {
    dice.below(1_000) < share
}

/// Draws a delay from a range in milliseconds.
fn draw_delay(dice: &mut Dice, after: &Range<u64>) -> Duration {
    Duration::from_micros(after.start * 1_000 + dice.below((after.end - after.start) * 1_000))
}

/// A response that no request asked for: 200, a rejection (503) or 500.
pub fn unsolicited_response(dice: &mut Dice) -> Vec<u8> {
    match dice.below(3) {
        0 => answer(200, "", "unasked"),
        1 => answer(503, "X-Turned-Away: 1\r\n", ""),
        _ => answer(500, "", ""),
    }
}

/// How one response is sent.
#[derive(Clone, Debug, Default)]
pub struct Delivery {
    /// Delays, after the response, of further responses that no request asked for.
    pub unsolicited_delays: Vec<Duration>,
    /// An interim response precedes it.
    pub has_interim: bool,
    pub is_repeated: bool,
    pub is_truncated: bool,
    pub closes: bool,
    pub is_split: bool,
}

/// The faults of all servers of a run.
#[derive(Clone, Debug, Default)]
pub struct Strays(pub Vec<Stray>);

impl Strays {
    /// After which delay a response that no request asked for is sent on a new connection, if one is.
    pub fn unsolicited_on_connect(&self, dice: &mut Dice) -> Option<Duration> {
        self.0.iter().find_map(|fault| match fault {
            Stray::OnNewConnection { share, after } => occurs(dice, *share).then(|| draw_delay(dice, after)),
            _ => None,
        })
    }

    /// Whether the next request is rejected.
    pub fn rejects_request(&self, dice: &mut Dice) -> bool {
        self.0.iter().any(|fault| matches!(fault, Stray::TurnsAway { share } if occurs(dice, *share)))
    }

    /// How the next response is sent.
    pub fn delivery(&self, dice: &mut Dice) -> Delivery {
        let mut delivery = Delivery::default();
        for fault in &self.0 {
            match fault {
                Stray::BehindAnswer { share, after } => {
                    if occurs(dice, *share) {
                        delivery.unsolicited_delays.push(draw_delay(dice, after));
                    }
                }
                Stray::Repeated { share } => delivery.is_repeated |= occurs(dice, *share),
                Stray::Cut { share } => delivery.is_truncated |= occurs(dice, *share),
                Stray::EndsAfterAnswer { share } => delivery.closes |= occurs(dice, *share),
                Stray::InPieces { share } => delivery.is_split |= occurs(dice, *share),
                Stray::Interim => delivery.has_interim = true,
                Stray::OnNewConnection { .. } | Stray::TurnsAway { .. } => {}
            }
        }
        delivery
    }
}
