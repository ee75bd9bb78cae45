//! Attribution of responses to requests on connections where only the order tells which request a response
//! answers (HTTP/1.1).
//!
//! - [`Connection`] tracks one connection to a server. It alone decides what the end of an attempt proves.
//! - [`DistrustTracker`] tracks which servers have sent unsolicited bytes, and how long their connections
//!   must be idle before each use.
//!
//! Neither does I/O or reads a clock: every call passes the time.
#![warn(missing_docs)]

mod connection;
mod doubt;

pub use connection::{
    Answer, Connection, ConnectionPhase, Proof, ProofReason, RequiredIdle, ResponseMeaning, UnsolicitedBytes,
    Verdict,
};
pub use doubt::{DistrustTracker, Scope};
