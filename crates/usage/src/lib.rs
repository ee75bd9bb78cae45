//! Usage counts that instances share without a leader, so that an allowance holds over all of them.
//!
//! Time is divided into windows, numbered by the clock. Each instance owns a *part* of each window's
//! allowance without any communication. An instance spends only rights that it holds, and transfers rights to
//! instances that need them. Each giver counts its transfers cumulatively in a slot that only it writes, so
//! messages may be lost, duplicated, delayed or reordered and two instances still never hold the same right.
//! The part of an instance that is gone is divided among the others once a majority of the instances has
//! voted that it is gone; see [`votes`].
//!
//! Nothing here does I/O or reads a clock: the caller passes the time, datagrams and requests to [`Usage`]
//! and sends the datagrams that it returns.
#![warn(missing_docs)]

pub mod ledger;
mod machine;
pub mod votes;
pub mod wire;

pub use ledger::{Key, RunId};
pub use machine::{Datagram, KeyUsage, PeerKeyUsage, PeerStatus, Settings, Usage};
