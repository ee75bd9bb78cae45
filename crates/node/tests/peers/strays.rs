//! What servers, or links to them, send that is not the answer to the request before it.

use std::ops::Range;
use std::time::Duration;

use super::answer;
use super::dice::Dice;

/// How an exchange goes wrong. Spans are in milliseconds, shares in thousandths.
#[derive(Clone, Debug, PartialEq)]
pub enum Stray {
    /// Behind an answer comes a second one, so much later.
    BehindAnswer { share: u64, after: Range<u64> },
    /// An answer comes on a new connection, so long after it came up.
    OnNewConnection { share: u64, after: Range<u64> },
    /// The bytes of an answer come twice.
    Repeated { share: u64 },
    /// The connection ends within an answer.
    Cut { share: u64 },
    /// The connection ends right after an answer that does not say so.
    EndsAfterAnswer { share: u64 },
    /// An interim answer comes ahead of each answer.
    Interim,
    /// The answer comes in pieces.
    InPieces { share: u64 },
    /// The server turns a request away unseen.
    TurnsAway { share: u64 },
}

/// One answer in so many thousandths.
fn happens(dice: &mut Dice, share: u64) -> bool {
    dice.below(1_000) < share
}

fn drawn(dice: &mut Dice, after: &Range<u64>) -> Duration {
    Duration::from_micros(after.start * 1_000 + dice.below((after.end - after.start) * 1_000))
}

/// An answer to nothing: served, turned away or failed.
pub fn unasked(dice: &mut Dice) -> Vec<u8> {
    match dice.below(3) {
        0 => answer(200, "", "unasked"),
        1 => answer(503, "X-Turned-Away: 1\r\n", ""),
        _ => answer(500, "", ""),
    }
}

/// How one answer goes out.
#[derive(Clone, Debug, Default)]
pub struct Delivery {
    /// Unasked answers, by how long after the answer they come.
    pub unasked_after: Vec<Duration>,
    /// Ahead of it comes an interim answer.
    pub interim: bool,
    pub twice: bool,
    pub is_cut: bool,
    pub ends: bool,
    pub in_pieces: bool,
}

/// All that goes wrong at the servers of a run.
#[derive(Clone, Debug, Default)]
pub struct Strays(pub Vec<Stray>);

impl Strays {
    /// When an unasked answer comes on a connection that has just come up.
    pub fn on_new(&self, dice: &mut Dice) -> Option<Duration> {
        self.0.iter().find_map(|stray| match stray {
            Stray::OnNewConnection { share, after } => happens(dice, *share).then(|| drawn(dice, after)),
            _ => None,
        })
    }

    /// Is a request turned away?
    pub fn turns_away(&self, dice: &mut Dice) -> bool {
        self.0.iter().any(|stray| matches!(stray, Stray::TurnsAway { share } if happens(dice, *share)))
    }

    /// How the next answer goes out.
    pub fn delivery(&self, dice: &mut Dice) -> Delivery {
        let mut delivery = Delivery::default();
        for stray in &self.0 {
            match stray {
                Stray::BehindAnswer { share, after } => {
                    if happens(dice, *share) {
                        delivery.unasked_after.push(drawn(dice, after));
                    }
                }
                Stray::Repeated { share } => delivery.twice |= happens(dice, *share),
                Stray::Cut { share } => delivery.is_cut |= happens(dice, *share),
                Stray::EndsAfterAnswer { share } => delivery.ends |= happens(dice, *share),
                Stray::InPieces { share } => delivery.in_pieces |= happens(dice, *share),
                Stray::Interim => delivery.interim = true,
                Stray::OnNewConnection { .. } | Stray::TurnsAway { .. } => {}
            }
        }
        delivery
    }
}
