//! Estimates the load of the discovery service that all nodes share: how long it takes to answer the calls
//! that arrive together with this node's, judged by this node's own calls only. All nodes draw the times of
//! their calls from the same span, so a call's position in the span is about its position among all calls,
//! and its wait shows how long the last call has to wait.

use crate::api::Millis;

/// How long a call may wait at the service before it fails: as many calls may arrive together as the
/// service answers in this time.
const MAX_CALL_WAIT: Millis = 2000.0;
/// An answer that begins within this time found hardly any other call before it.
const IDLE_WAIT: Millis = 75.0;
/// If the last call waits no longer than this, the calls may be spread less.
const CALM_WAIT: Millis = 1000.0;
/// Factor on the spread in that case, and if the service was idle.
const CALM_SPREAD_FACTOR: f64 = 0.7;
const IDLE_SPREAD_FACTOR: f64 = 0.5;
/// Smallest position in the span that is used: an earlier one shows little of all calls.
const MIN_POSITION: f64 = 0.25;
/// Safety factor on estimated waits.
const WAIT_SAFETY_FACTOR: f64 = 1.1;
/// If a call waited so long that the calls of all nodes would occupy the service for longer than this, one
/// after another, it has waited for others: no service is that much slower than expected.
const MAX_LONE_ROUND_TIME: Millis = 2.5 * MAX_ROUND_TIME;

/// Longest time that the service takes for one call from each node, at any size of the fleet.
pub const MAX_ROUND_TIME: Millis = 8000.0;

/// The random draw that set the time of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallDraw {
    /// Span over which all nodes draw.
    pub span: Millis,
    /// Position in the span, from 0 to 1.
    pub chance: f64,
}

impl CallDraw {
    /// The call was made without delay, and so were the calls of the other nodes, if any: its position
    /// among them is unknown.
    pub const IMMEDIATE: Self = Self { span: 0.0, chance: 0.0 };
}

/// The estimated load of the service.
#[derive(Clone, Copy, Debug)]
pub struct LoadEstimate {
    /// Span over which the calls are to be spread; infinite if unknown.
    spread: Millis,
}

impl Default for LoadEstimate {
    /// Nothing is known yet.
    fn default() -> Self {
        Self { spread: f64::INFINITY }
    }
}

impl LoadEstimate {
    /// Shortest span that keeps every call from waiting in vain. If nothing is known, the calls of all nodes
    /// together occupy the service for `assumed`.
    pub fn min_spread(&self, assumed: Millis) -> Millis {
        self.known_spread().unwrap_or((assumed.min(MAX_ROUND_TIME) - MAX_CALL_WAIT).max(0.0))
    }

    /// That span, if anything is known.
    pub fn known_spread(&self) -> Option<Millis> {
        Some(self.spread).filter(|spread| spread.is_finite())
    }

    /// Updates the estimate when the answer to a call of one of `nodes` nodes has begun after `waited`.
    pub fn on_answered(&mut self, draw: CallDraw, waited: Millis, nodes: usize) {
        // The service needs no longer for a single call than this one waited.
        let sequential = WAIT_SAFETY_FACTOR * nodes as f64 * waited - MAX_CALL_WAIT;
        // The queue has grown to this length over the call's part of the span, and goes on growing.
        let last = waited / draw.chance.max(MIN_POSITION);
        // A call at once, if it may have waited for no others, shows nothing of the queue.
        let may_be_alone = draw.span <= 0.0 && sequential + MAX_CALL_WAIT <= MAX_LONE_ROUND_TIME;
        let shared = match waited < IDLE_WAIT {
            _ if may_be_alone => self.spread,
            true if draw.span <= 0.0 => self.spread,
            true => IDLE_SPREAD_FACTOR * draw.span,
            false if last <= CALM_WAIT => CALM_SPREAD_FACTOR * draw.span,
            false => draw.span + WAIT_SAFETY_FACTOR * last - MAX_CALL_WAIT,
        };
        self.spread = shared.min(sequential).max(0.0);
    }

    /// Raises the estimate after a call that has waited in vain: at its position in the span, the queue was
    /// longer than a call may wait.
    pub fn on_overloaded(&mut self, draw: CallDraw) {
        let least = draw.span + MAX_CALL_WAIT / draw.chance.max(MIN_POSITION) - MAX_CALL_WAIT;
        self.spread = self.spread.max(least);
    }
}
