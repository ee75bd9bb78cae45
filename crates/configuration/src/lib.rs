//! Configuration in versions that come as changes.
//!
//! A [`Source`] holds the whole configuration and a bounded log of its changes. [`Relay`]s follow it, or one another, and hand
//! it on. A [`Replica`] in each node follows a relay by its [`Scope`], offers what is new to its node as a whole, and keeps the
//! last version that the node accepted.
//!
//! - [`resource`]: typed resources, each with one owner;
//! - [`version`]: versions, and digests that are chained over all changes;
//! - [`change`]: changes, as they are numbered and as a subscriber of a scope is sent them;
//! - [`resources`]: all resources, and what makes a change valid;
//! - [`message`]: what publishers and subscribers say to each other;
//! - [`feed`]: a publisher's side: the log, subscribers, snapshots in pieces;
//! - [`follower`]: a subscriber's side: gaps, silence, other publishers;
//! - [`source`], [`relay`], [`replica`]: the three roles.
//!
//! Nothing here does I/O or reads a clock, but for the module `net` (a feature of its own): each machine is told the time, in milliseconds, and what arrived, and says what to send.
#![warn(missing_docs)]

pub mod change;
pub mod feed;
pub mod follower;
pub mod message;
#[cfg(feature = "net")]
pub mod net;
pub mod relay;
pub mod replica;
pub mod resource;
pub mod resources;
pub mod source;
pub mod version;

pub use change::{Change, Operation};
pub use message::{Publication, Request};
pub use relay::Relay;
pub use replica::Replica;
pub use resource::{Body, Entry, Key, Kind, Scope};
pub use source::Source;
pub use version::{Digest, Position, Version};

/// A time in milliseconds; it starts anywhere and never runs backwards.
pub type Time = u64;
