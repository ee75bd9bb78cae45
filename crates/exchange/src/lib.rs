//! Attribution of responses to requests on connections where only the order tells which request a response
//! answers (HTTP/1.1).
//!
//! - [`Connection`] tracks one connection to a server. It alone decides what the end of an attempt proves.
//! - [`DistrustTracker`] tracks which servers have sent unsolicited bytes, and how long their connections
//!   must be idle before each use.
//! - [`ResponseTimes`] tracks how soon and how long after its requests a server responds, to recognise
//!   responses that begin too soon to belong to the request written last.
//!
//! None of them does I/O or reads a clock: every call passes the time.
#![warn(missing_docs)]

mod connection;
mod doubt;
mod response_time;

pub use connection::{
    Answer, Connection, ConnectionPhase, PreviousResponse, Proof, ProofReason, RequiredIdle, ResponseMeaning,
    UnsolicitedBytes, Verdict,
};
pub use doubt::{DistrustTracker, Scope};
pub use response_time::{ResponseKind, ResponseTimes, ResponseTiming};
