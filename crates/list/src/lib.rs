//! The list of servers: its entries, as discovery and registrations write them, and the merge of all
//! sources. This crate does no I/O.
//!
//! - [`entry`]: entries, and updates made of entries.
//! - [`lines`]: splits the stream of a watch into messages.
//! - [`merge`]: merges the lists of two sources, and the servers that configuration names.
//! - [`start`]: estimates when a server started, allowing for wrong clocks.
//! - [`succession`]: rejects empty and outdated lists.
#![warn(missing_docs)]

pub mod entry;
pub mod lines;
pub mod merge;
pub mod start;
pub mod succession;

pub use entry::{parse_update, update_from_value, Endpoint, Health, ListEntry, Protocol, Update};
pub use merge::{ConfiguredChange, ConfiguredServer, MergedList, SavedList, Source};
pub use succession::VersionCheck;
