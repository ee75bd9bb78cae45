//! Trace records that nodes write to their logs, and tables that aggregate the records of a complete fleet.
//! The load that many nodes cause at the same time is visible only when their records are counted together.
#![warn(missing_docs)]

mod record;
mod tables;

pub use record::{Answer, Record, TraceEvent};
pub use tables::{Second, ServerTotals, Tables};
