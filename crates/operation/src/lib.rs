//! State behind the operation of a running node: metrics, memory budgets, stable slots and upgrades. It does
//! no I/O and reads no clock.
#![warn(missing_docs)]

pub mod budget;
pub mod figures;
pub mod places;
pub mod upgrade;
