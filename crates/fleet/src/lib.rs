//! Many instances as one, as state machines: events and the time go in, actions come out. No I/O and no clock.
//!
//! - [`agent`] keeps the instances of one machine running, and changes them one at a time; [`book`] is what it knows for
//!   certain.
//! - [`desired`] is the operators' file: which instances there are to be, with which release and configuration.
//! - [`journal`] is what an agent writes before it acts, and how it is read after a crash.
//! - [`lease`] is the operators' lock: one change at a time, with an epoch that fences off whoever held it before.
//! - [`audit`] is the trail of who changed what, each entry chained to the one before.
//!
//! Times are milliseconds of any clock that never runs backwards, but for those that say Unix time.
#![warn(missing_docs)]

pub mod agent;
pub mod audit;
pub mod book;
pub mod desired;
pub mod journal;
pub mod lease;

/// A time or a span, in milliseconds.
pub type Millis = f64;
