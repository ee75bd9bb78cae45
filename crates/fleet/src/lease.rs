//! The operators' lock: a lease with a fencing epoch, so that only one change runs at a time.
//!
//! A lease is granted for a limited time under an *epoch*, a number that only increases, and every step of a
//! change names its epoch. An operator's program that was suspended for longer than its lease is rejected by
//! the epoch and does not depend on its own clock: an epoch becomes invalid when a later one is granted or
//! its lease expires. The highest epoch is written to disk before it is granted, so it is still known after a
//! restart.
//!
//! Over many agents a lease needs a majority: [`Bid`] asks all of them for the same epoch and has the lease
//! once more than half have granted it, so two bidders can never both have it.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Millis;

/// Maximum duration of a lease, which limits how long an operator who disappears blocks the others.
pub const MAX_LEASE_MS: Millis = 600_000.0;

/// The holder of a lease.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Holder {
    /// The operator's name.
    pub who: String,
    /// The reason given for taking the lease.
    pub why: String,
    /// When the lease was first granted, as Unix time in milliseconds; for display only.
    pub since_unix_ms: Millis,
    /// The duration of the lease in milliseconds.
    pub span_ms: Millis,
}

/// Why a lease was not granted or a step was rejected.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseError {
    /// Another holder has the lease.
    Held {
        /// The current holder.
        holder: Holder,
        /// The time until the lease expires unless it is renewed, in milliseconds.
        remaining: Millis,
        /// The highest granted epoch; the next request must name a higher one.
        epoch: u64,
    },
    /// The requested epoch is not higher than all granted ones.
    EpochTooLow {
        /// The highest one.
        epoch: u64,
    },
    /// The epoch is no longer valid: its lease expired or was released, or a later one was granted.
    Stale {
        /// The highest one.
        epoch: u64,
    },
}

impl fmt::Display for LeaseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Held { holder, remaining, .. } => {
                write!(
                    f,
                    "held by {} ({}), expires in at most {:.0} s",
                    holder.who,
                    holder.why,
                    remaining / 1000.0
                )
            }
            Self::EpochTooLow { epoch } => write!(f, "the epoch must be higher than {epoch}"),
            Self::Stale { epoch } => {
                write!(f, "the lease is no longer valid; the highest granted epoch is {epoch}")
            }
        }
    }
}

impl std::error::Error for LeaseError {}

/// The state of the lease at one agent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Lease {
    epoch: u64,
    current: Option<(Holder, Millis)>,
}

impl Lease {
    /// Restores the lease after a restart from the highest epoch and its possible holder. The time that has
    /// already passed is unknown, so the full duration starts again.
    pub fn restored(now: Millis, epoch: u64, holder: Option<Holder>) -> Self {
        let current = holder.map(|holder| {
            let until = now + holder.span_ms.clamp(0.0, MAX_LEASE_MS);
            (holder, until)
        });
        Self { epoch, current }
    }

    /// The highest granted epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The current holder.
    pub fn holder(&self, now: Millis) -> Option<&Holder> {
        self.current.as_ref().filter(|(_, until)| now < *until).map(|(holder, _)| holder)
    }

    /// Grants an epoch for the duration that the holder asks for, limited to [`MAX_LEASE_MS`]. The caller
    /// must write the epoch to disk before it sends the answer.
    ///
    /// # Errors
    /// The current holder, or the epoch that must be exceeded.
    pub fn grant(&mut self, now: Millis, epoch: u64, mut holder: Holder) -> Result<(), LeaseError> {
        if let Some((held, until)) = self.current.as_ref().filter(|(_, until)| now < *until) {
            // The holder itself may ask again, because the answer was lost or to extend the lease.
            if epoch != self.epoch || (&held.who, &held.why) != (&holder.who, &holder.why) {
                return Err(LeaseError::Held {
                    holder: held.clone(),
                    remaining: until - now,
                    epoch: self.epoch,
                });
            }
            holder.since_unix_ms = held.since_unix_ms;
        } else if epoch <= self.epoch {
            return Err(LeaseError::EpochTooLow { epoch: self.epoch });
        }
        self.epoch = epoch;
        holder.span_ms = holder.span_ms.clamp(0.0, MAX_LEASE_MS);
        let until = now + holder.span_ms;
        self.current = Some((holder, until));
        Ok(())
    }

    /// Checks that a step may be taken under this epoch now.
    ///
    /// # Errors
    /// If the epoch is no longer valid.
    pub fn check(&self, now: Millis, epoch: u64) -> Result<(), LeaseError> {
        let is_valid = epoch == self.epoch && self.holder(now).is_some();
        is_valid.then_some(()).ok_or(LeaseError::Stale { epoch: self.epoch })
    }

    /// Renews the lease for `span` from now.
    ///
    /// # Errors
    /// If the epoch is no longer valid.
    pub fn renew(&mut self, now: Millis, epoch: u64, span: Millis) -> Result<(), LeaseError> {
        self.check(now, epoch)?;
        if let Some((_, until)) = &mut self.current {
            *until = now + span.clamp(0.0, MAX_LEASE_MS);
        }
        Ok(())
    }

    /// Releases the lease. Its epoch is not granted again.
    ///
    /// # Errors
    /// If the epoch is no longer valid.
    pub fn release(&mut self, now: Millis, epoch: u64) -> Result<(), LeaseError> {
        self.check(now, epoch)?;
        self.current = None;
        Ok(())
    }
}

/// The state of a bid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BidState {
    /// More answers are needed.
    Open,
    /// More than half of the agents have granted the lease.
    Won,
    /// A majority is no longer possible: leases that were granted must be released.
    Lost,
}

/// An operator's request for the lease over many agents: the answers to one epoch.
#[derive(Clone, Debug)]
pub struct Bid {
    agents: usize,
    epoch: u64,
    granted: BTreeSet<usize>,
    refused: BTreeSet<usize>,
    /// The highest epoch named in any answer.
    highest_epoch: u64,
}

impl Bid {
    /// Creates a bid for an epoch higher than all in `known`. `agents` counts all agents, including those
    /// that do not answer.
    pub fn new(agents: usize, known: &[u64]) -> Self {
        let epoch = known.iter().max().copied().unwrap_or(0) + 1;
        Self { agents, epoch, granted: BTreeSet::new(), refused: BTreeSet::new(), highest_epoch: epoch }
    }

    /// The requested epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Records an agent's answer. If there is no answer, the caller must pass `Err(None)`, which counts as a
    /// refusal.
    pub fn record_answer(&mut self, agent: usize, answer: Result<(), Option<&LeaseError>>) {
        match answer {
            Ok(()) => drop(self.granted.insert(agent)),
            Err(refused) => {
                self.refused.insert(agent);
                let Some(
                    LeaseError::Held { epoch, .. }
                    | LeaseError::EpochTooLow { epoch }
                    | LeaseError::Stale { epoch },
                ) = refused
                else {
                    return;
                };
                self.highest_epoch = self.highest_epoch.max(*epoch);
            }
        }
    }

    /// The agents that have granted the lease.
    pub fn granted(&self) -> impl Iterator<Item = usize> + '_ {
        self.granted.iter().copied()
    }

    /// The current state of the bid.
    pub fn state(&self) -> BidState {
        if 2 * self.granted.len() > self.agents {
            BidState::Won
        } else if 2 * (self.agents - self.refused.len()) <= self.agents {
            BidState::Lost
        } else {
            BidState::Open
        }
    }

    /// A new bid for an epoch higher than all named in the answers so far.
    pub fn next_bid(&self) -> Self {
        Self::new(self.agents, &[self.highest_epoch])
    }
}
