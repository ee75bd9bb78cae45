//! Estimates the load of the discovery service that all nodes share: how long it takes to answer the calls
//! that arrive together with this node's, judged by this node's own calls only. All nodes draw the times of
//! their calls from the same span, so a call's position in the span is about its position among all calls,
//! and its wait shows how long the last call has to wait.

use crate::api::Millis;

/// How long a call may wait at the service before it fails: as many calls may arrive together as the
/// service answers in this time.
const CALL_WAIT: Millis = 2000.0;
/// An answer that begins within this time found hardly any other call before it.
const IDLE: Millis = 75.0;
/// If the last call waits no longer than this, the calls may be spread less.
const CALM: Millis = 1000.0;
/// Factor on the spread in that case, and if the service was idle.
const CALM_FADE: f64 = 0.7;
const IDLE_FADE: f64 = 0.5;
/// Smallest position in the span that is used: an earlier one shows little of all calls.
const CHANCE_LEAST: f64 = 0.25;
/// Safety factor on estimated waits.
const MARGIN: f64 = 1.1;

/// The random draw that set the time of a call.
#[derive(Clone, Copy, Debug)]
pub struct Drawn {
    /// Span over which all nodes draw.
    pub span: Millis,
    /// Position in the span, from 0 to 1.
    pub chance: f64,
}

impl Drawn {
    /// The call was made without delay, and so were the calls of the other nodes, if any: its position
    /// among them is unknown.
    pub const AT_ONCE: Self = Self { span: 0.0, chance: 0.0 };
}

/// The estimated load of the service.
#[derive(Clone, Copy, Debug)]
pub struct Crowd {
    /// Span over which the calls are to be spread; infinite if unknown.
    spread: Millis,
}

impl Default for Crowd {
    /// Nothing is known yet.
    fn default() -> Self {
        Self { spread: f64::INFINITY }
    }
}

impl Crowd {
    /// Shortest span that keeps every call from waiting in vain. The calls of all nodes together occupy the
    /// service for at most `most`.
    pub fn least_spread(&self, most: Millis) -> Millis {
        self.spread.min(most - CALL_WAIT).max(0.0)
    }

    /// Updates the estimate when the answer to a call of one of `nodes` nodes has begun after `waited`.
    pub fn answered(&mut self, drawn: Drawn, waited: Millis, nodes: usize) {
        // The service needs no longer for a single call than this one waited.
        let one_by_one = MARGIN * nodes as f64 * waited - CALL_WAIT;
        // The queue has grown to this length over the call's part of the span, and goes on growing.
        let last = waited / drawn.chance.max(CHANCE_LEAST);
        let together = match waited < IDLE {
            true if drawn.span <= 0.0 => self.spread,
            true => IDLE_FADE * drawn.span,
            false if last <= CALM => CALM_FADE * drawn.span,
            false => drawn.span + MARGIN * last - CALL_WAIT,
        };
        self.spread = together.min(one_by_one).max(0.0);
    }

    /// Resets the estimate after a call without an answer.
    pub fn failed(&mut self) {
        self.spread = f64::INFINITY;
    }
}
