//! State machines that operate many instances as one fleet: events and the current time go in, actions come
//! out. There is no I/O and no clock in this crate.
//!
//! - [`agent`] keeps the instances of one machine running and rolls changes out to them one at a time;
//!   [`book`] is its durable state.
//! - [`desired`] parses the operators' file: which instances should exist, with which release and
//!   configuration.
//! - [`journal`] is the agent's write-ahead log and its recovery after a crash.
//! - [`lease`] is the operators' lock: one change at a time, with an epoch that fences off earlier holders.
//! - [`audit`] is the hash-chained log of who changed what.
//!
//! Times are milliseconds of any monotonic clock, except where they are documented as Unix time.
#![warn(missing_docs)]

pub mod agent;
pub mod audit;
pub mod book;
pub mod desired;
pub mod journal;
pub mod lease;

/// A point in time or a duration, in milliseconds.
pub type Millis = f64;
