//! The operators' lock: one change at a time.
//!
//! A lease is granted for a time under an *epoch*, a number that only goes up, and every step of a change says its epoch.
//! An operator who was paused beyond the lease and goes on is refused by the epoch, not by anybody's clock: once a later
//! one was granted, or the time is over, the earlier one counts no more. The highest epoch is on disk before it is granted,
//! so that it holds after a restart too.
//!
//! Over many agents the lease is a majority's: [`Bid`] asks all of them for the same epoch and has the lease when more than
//! half have granted it, so that two bidders never both have it.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Millis;

/// The longest that a lease is granted for: an operator who vanishes blocks nobody for longer.
pub const LONGEST: Millis = 600_000.0;

/// Who holds the lease, and what for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Holder {
    /// Who.
    pub who: String,
    /// What for.
    pub why: String,
    /// Since when, Unix time in milliseconds: for people to read.
    pub since_unix_ms: Millis,
    /// For how long it was granted, in milliseconds.
    pub span_ms: Millis,
}

/// Why a lease is not granted, or a step not taken.
#[derive(Clone, Debug, PartialEq)]
pub enum Refused {
    /// Somebody has it.
    Held {
        /// Who.
        holder: Holder,
        /// For how long at the most, in milliseconds.
        left: Millis,
        /// The epoch to go beyond when it is free.
        epoch: u64,
    },
    /// The epoch is not beyond all that were granted.
    Behind {
        /// The highest one.
        epoch: u64,
    },
    /// The epoch counts no more: its lease is over, was given back, or a later one was granted.
    Stale {
        /// The highest one.
        epoch: u64,
    },
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Held { holder, left, .. } => {
                write!(
                    f,
                    "held by {} ({}), for {:.0} s more at the most",
                    holder.who,
                    holder.why,
                    left / 1000.0
                )
            }
            Self::Behind { epoch } => write!(f, "the epoch must be beyond {epoch}"),
            Self::Stale { epoch } => write!(f, "the lease is over; the epoch is {epoch} by now"),
        }
    }
}

impl std::error::Error for Refused {}

/// An agent's part.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Lease {
    epoch: u64,
    held: Option<(Holder, Millis)>,
}

impl Lease {
    /// As it is after a restart: the highest epoch, and who may still hold it. Nobody knows how much of the lease is over
    /// by now, so it counts from the start once more, for as long as it was granted.
    pub fn restored(now: Millis, epoch: u64, holder: Option<Holder>) -> Self {
        let held = holder.map(|holder| {
            let until = now + holder.span_ms.clamp(0.0, LONGEST);
            (holder, until)
        });
        Self { epoch, held }
    }

    /// The highest epoch that was granted.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Who holds it now.
    pub fn holder(&self, now: Millis) -> Option<&Holder> {
        self.held.as_ref().filter(|(_, until)| now < *until).map(|(holder, _)| holder)
    }

    /// Grants an epoch for as long as the holder asks for, [`LONGEST`] at the most. Whoever calls this writes the epoch to disk
    /// before the answer goes out.
    ///
    /// # Errors
    /// Says who has it, or which epoch to go beyond.
    pub fn grant(&mut self, now: Millis, epoch: u64, mut holder: Holder) -> Result<(), Refused> {
        if let Some((held, until)) = self.held.as_ref().filter(|(_, until)| now < *until) {
            // Its own holder may ask again: the answer may have been lost, or it holds on to it.
            if epoch != self.epoch || (&held.who, &held.why) != (&holder.who, &holder.why) {
                return Err(Refused::Held { holder: held.clone(), left: until - now, epoch: self.epoch });
            }
            holder.since_unix_ms = held.since_unix_ms;
        } else if epoch <= self.epoch {
            return Err(Refused::Behind { epoch: self.epoch });
        }
        self.epoch = epoch;
        holder.span_ms = holder.span_ms.clamp(0.0, LONGEST);
        let until = now + holder.span_ms;
        self.held = Some((holder, until));
        Ok(())
    }

    /// May a step be taken under this epoch now?
    ///
    /// # Errors
    /// Where it counts no more.
    pub fn check(&self, now: Millis, epoch: u64) -> Result<(), Refused> {
        let counts = epoch == self.epoch && self.holder(now).is_some();
        counts.then_some(()).ok_or(Refused::Stale { epoch: self.epoch })
    }

    /// Holds on to it for another span.
    ///
    /// # Errors
    /// Where it counts no more.
    pub fn renew(&mut self, now: Millis, epoch: u64, span: Millis) -> Result<(), Refused> {
        self.check(now, epoch)?;
        if let Some((_, until)) = &mut self.held {
            *until = now + span.clamp(0.0, LONGEST);
        }
        Ok(())
    }

    /// Gives it back; the epoch stays used.
    ///
    /// # Errors
    /// Where it counts no more.
    pub fn release(&mut self, now: Millis, epoch: u64) -> Result<(), Refused> {
        self.check(now, epoch)?;
        self.held = None;
        Ok(())
    }
}

/// How a bid stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Answers are awaited.
    Open,
    /// More than half have granted it.
    Won,
    /// It can't be won: what was granted is to be given back.
    Lost,
}

/// An operator's part over many agents: the answers to one epoch.
#[derive(Clone, Debug)]
pub struct Bid {
    agents: usize,
    epoch: u64,
    granted: BTreeSet<usize>,
    refused: BTreeSet<usize>,
    /// The highest epoch that any answer named.
    highest: u64,
}

impl Bid {
    /// A bid for an epoch beyond all that the agents named; there are so many agents, silent ones included.
    pub fn new(agents: usize, known: &[u64]) -> Self {
        let epoch = known.iter().max().copied().unwrap_or(0) + 1;
        Self { agents, epoch, granted: BTreeSet::new(), refused: BTreeSet::new(), highest: epoch }
    }

    /// The epoch that is asked for.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// An agent's answer; none at all is to be counted as a refusal.
    pub fn answer(&mut self, agent: usize, answer: Result<(), Option<&Refused>>) {
        match answer {
            Ok(()) => drop(self.granted.insert(agent)),
            Err(refused) => {
                self.refused.insert(agent);
                let Some(Refused::Held { epoch, .. } | Refused::Behind { epoch } | Refused::Stale { epoch }) =
                    refused
                else {
                    return;
                };
                self.highest = self.highest.max(*epoch);
            }
        }
    }

    /// Who has granted it.
    pub fn granted(&self) -> impl Iterator<Item = usize> + '_ {
        self.granted.iter().copied()
    }

    /// How it stands.
    pub fn standing(&self) -> Standing {
        if 2 * self.granted.len() > self.agents {
            Standing::Won
        } else if 2 * (self.agents - self.refused.len()) <= self.agents {
            Standing::Lost
        } else {
            Standing::Open
        }
    }

    /// The next try, beyond all that is known by now.
    pub fn again(&self) -> Self {
        Self::new(self.agents, &[self.highest])
    }
}
