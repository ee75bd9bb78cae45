//! Usage counts that instances share without a leader, so that an allowance holds over all of them.
//!
//! Time is cut into windows, numbered by the clock. Of each window's allowance every instance has a *part* by itself, without a
//! word from anybody; it spends from nothing but rights that it holds, and hands them on to who needs them. What is handed on
//! is counted by who gives it, cumulatively, in a slot that nobody else writes: messages may be lost, doubled, late or out of
//! order, and two instances never hold the same right. The part of an instance that is gone is divided among the others once
//! most of the instances have voted that it is; see [`votes`].
//!
//! Nothing here does I/O or reads a clock: [`Usage`] is told the time, datagrams and requests, and says what to send.
#![warn(missing_docs)]

pub mod ledger;
mod machine;
pub mod votes;
pub mod wire;

pub use ledger::{Boot, Key};
pub use machine::{Datagram, Explained, Peers, Settings, Share, Usage};
