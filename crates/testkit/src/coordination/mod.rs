//! A test implementation of a coordination service with ZooKeeper's protocol, written from its public
//! description.
//!
//! [`tree`] is the state of each member: znodes and sessions, changed by transactions in a single order.
//! [`ensemble`] adds members, a leader, session expiry and client connections, in virtual time. Neither of
//! them does I/O or reads a clock. [`net`] runs an ensemble on loopback sockets, and [`register`] runs server
//! registrations against it.

pub mod ensemble;
pub mod net;
pub mod register;
pub mod tree;
