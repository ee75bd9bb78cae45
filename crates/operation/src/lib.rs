//! What operators see and do of a running node, without I/O and without a clock.
#![warn(missing_docs)]

pub mod budget;
pub mod figures;
pub mod places;
pub mod upgrade;
