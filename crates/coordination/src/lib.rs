//! Ephemeral registrations over ZooKeeper's client protocol, implemented from its public description. The
//! crate reads no clock and does no I/O, except in the module `net`.
//!
//! - [`jute`] reads and writes the primitive types; [`frame`] splits a byte stream into records.
//! - [`proto`] defines the records of both sides: the client side is used by nodes and registrars, the
//!   service side by a stand-in service.
//! - [`session`] is a client session: it connects to the members in turn, sends pings, matches answers to
//!   requests, and sets its watches again on each new connection. It never uses a member's answer that is
//!   older than what it has already seen.
//! - [`follow`] mirrors the children of one node and their data, and keeps them while the service is
//!   unreachable.
//! - [`guard`] delays departures that look like the expiry of many sessions at once.
//! - [`view`] turns the output of a follower and the guard into entries of the list; [`saved`] is the file
//!   format of such a view.
//! - [`registrar`] is the server side: it keeps a server's entry registered for as long as the server runs.
//! - [`machine`] is the interface of all of these to their driver; `net`, the only module with sockets, is a
//!   driver.
//!
//! Times are milliseconds of any monotonic clock.
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

/// A time or a duration, in milliseconds.
pub type Millis = f64;
