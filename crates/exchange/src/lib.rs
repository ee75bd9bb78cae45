//! Whose answer it is, on connections where nothing but the order tells which request an answer belongs to (HTTP/1.1).
//!
//! - [`Connection`] is one connection to a server. It alone says what the end of an attempt proves.
//! - [`Doubt`] knows which servers have sent bytes out of turn, and how long their connections have to be quiet before each use.
//!
//! Neither does any I/O or reads a clock: every call brings the time.
#![warn(missing_docs)]

mod connection;
mod doubt;

pub use connection::{Answer, Connection, Need, OutOfTurn, Position, Proof, Said, Verdict, Why};
pub use doubt::{Doubt, Scope};
