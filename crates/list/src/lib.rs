//! The list of servers: its entries, as discovery and registrations write them, and one list out of both. No I/O.
//!
//! - [`entry`] holds one entry and a line of entries.
//! - [`lines`] cuts what a watch brings into messages.
//! - [`merge`] makes one list of what two sources say.
//! - [`start`] says when a server started, whatever its clock says.
//! - [`succession`] says which lists may follow on which.
#![warn(missing_docs)]

pub mod entry;
pub mod lines;
pub mod merge;
pub mod start;
pub mod succession;

pub use entry::{read, update, Dial, Health, Host, Protocol, Update};
pub use merge::{Merge, Source};
pub use succession::Succession;
