//! Ephemeral registrations over ZooKeeper's client protocol, from its public description, with no clock and, but for one
//! module, no I/O.
//!
//! - [`jute`] reads and writes the primitive forms, [`frame`] cuts a stream into records.
//! - [`proto`] holds the records of both sides: a node and a registrar speak one, a stand-in service the other.
//! - [`session`] is a client's session: connecting to one member after another, pings, the answers to what it asked, the
//!   watches that it holds and takes up again on a new connection. It never takes a member's word that is older than
//!   what it has seen.
//! - [`follow`] keeps the children of one node with their data, by a session, for as long as the service is away too.
//! - [`guard`] keeps back for a moment what looks like the expiry of all sessions at once.
//! - [`view`] makes entries of the list of what a follower and the guard say; [`saved`] is that in a file.
//! - [`registrar`] is a server's side: its entry, kept there for as long as the server lives.
//! - [`machine`] is what a driver needs to know of any of these; `net`, the one module with sockets, is such a driver.
//!
//! Times are milliseconds of any clock that never runs backwards.
#![warn(missing_docs)]

pub mod follow;
pub mod frame;
pub mod guard;
pub mod jute;
pub mod machine;
#[cfg(feature = "net")]
pub mod net;
pub mod proto;
pub mod registrar;
pub mod saved;
pub mod session;
pub mod view;

/// A time or a span, in milliseconds.
pub type Millis = f64;
