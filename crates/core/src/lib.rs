//! The life cycle of a request, from acceptance to its final answer.
//!
//! [`Core`] owns the decision module, the table of requests with their attempts and outcomes, and the guard
//! timers that answer a client before its deadline whatever else happens. It knows no protocol, socket or
//! task and reads no clock: every call passes the time, and actions are fetched with [`Core::poll_output`].
//!
//! - A *front* validates what a client sent, passes an [`Incoming`] and returns its one [`Final`] to the
//!   client.
//! - A *backend* handles [`Output::Start`], [`Output::Abandon`] and [`Output::Recall`], and reports one
//!   [`AttemptResult`] for each attempt.
//! - A *driver* passes outputs to backends, fronts and discovery, and calls [`Core::handle_timeout`] when
//!   [`Core::poll_timeout`] is due.
#![warn(missing_docs)]

mod core;
mod incoming;

pub use crate::core::{AttemptId, AttemptResult, Core, Final, Output, Rejection};
pub use crate::incoming::{BadToken, Incoming, Token, ANSWER_MARGIN, GUARD_MARGIN, MAX_CLIENT_WAIT};
