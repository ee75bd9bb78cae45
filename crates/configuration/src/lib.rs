//! Distribution of a versioned configuration as a sequence of changes.
//!
//! A [`Source`] holds the complete configuration and a bounded log of its changes. [`Relay`]s follow the
//! source or one another and publish the configuration again. A [`Replica`] in each node follows a relay with
//! a [`Scope`], offers all pending changes together to its node, and keeps the last version that the node
//! accepted.
//!
//! - [`resource`]: typed resources, each with one owner;
//! - [`version`]: versions, and digests that are chained over all changes;
//! - [`change`]: numbered changes, and their filtered form for a subscriber's scope;
//! - [`resources`]: the set of all resources, and the validation of changes;
//! - [`message`]: the messages between publishers and subscribers;
//! - [`feed`]: the publishing side: the change log, subscribers, snapshots in pieces;
//! - [`follower`]: the subscribing side: detection of gaps and silence, and the switch to another publisher;
//! - [`source`], [`relay`], [`replica`]: the three roles.
//!
//! Except for the module `net` (an optional feature), nothing here does I/O or reads a clock. The caller
//! passes the time in milliseconds and the received messages to each state machine, and sends the messages
//! that it returns.
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

/// A monotonic time in milliseconds, with an arbitrary start.
pub type Time = u64;
