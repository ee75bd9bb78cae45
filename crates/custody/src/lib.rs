//! Custody lets a request in progress survive the loss of the node that handles it: another node takes it
//! over, and only the current holder may send attempts.
//!
//! Each request (a *work*) has a register at three keepers, which are chosen from a roster of nodes by
//! hashing the work's identity. The protocol is a form of Paxos. The holder stores its intent at a
//! majority of keepers under its ballot *before it sends the first byte of an attempt*. A node that takes
//! over first raises the ballot at a majority, so it either sees the intent or makes the write of the
//! intent fail. Safety depends on clocks in one respect only: a register expires some time after its last
//! use, and messages that arrive too late for it are dropped.
//!
//! - `register`: one register at one keeper;
//! - `proposer`: the protocol of one work at one node, independent of time, so that a model checker can
//!   explore it;
//! - `keeper`: all registers of a keeper, with limits and expiry;
//! - `coordinator`: all works of a node, with timeouts, resends, transfer of blobs in pieces, and
//!   liveness of nodes;
//! - `roster`: which nodes are the keepers of a work, and how a roster changes;
//! - `wire`: the datagram format.
//!
//! Nothing here does I/O or reads a clock.
#![warn(missing_docs)]

pub mod coordinator;
pub mod keeper;
pub mod proposer;
pub mod register;
pub mod roster;
pub mod wire;

pub use coordinator::{Conclusion, Coordinator, Event, RequestIdentity, SubmittedRequest, Ticket};
pub use keeper::Keeper;
pub use proposer::Step;
pub use register::{
    Ballot, Blob, Effect, Incarnation, IntendedAttempt, NodeId, Record, Stamp, Verdict, Work, WorkDescription,
};
pub use roster::{Keepers, Roster, Rosters};
