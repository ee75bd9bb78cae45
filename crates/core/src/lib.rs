//! One request, from taking in to its final answer.
//!
//! [`Core`] owns the decision module, the table of requests, the attempts of each and their one outcome, and the guard
//! that answers before a client's time is up whatever becomes of the rest. It knows no protocol, no socket and no task,
//! and reads no clock: every call brings the time, and what is to be done is taken from [`Core::poll_output`].
//!
//! - A *front* checks what a client sent, hands over an [`Incoming`] and passes on the one [`Final`] of it.
//! - A *backend* gets [`Output::Start`], [`Output::Abandon`] and [`Output::Recall`], and reports one [`Ended`] for each
//!   attempt.
//! - A *driver* moves outputs to backends, fronts and discovery, and calls [`Core::handle_timeout`] when
//!   [`Core::poll_timeout`] is due.
#![warn(missing_docs)]

mod core;
mod incoming;

pub use crate::core::{AttemptId, Core, Ended, Final, NotTaken, Output};
pub use crate::incoming::{BadToken, Incoming, Token, ANSWER_MARGIN, GUARD_MARGIN, LONGEST_WAIT};
