//! Hosts the decision module for the simulator; see [`wire`] for the protocol.
#![warn(missing_docs)]

pub mod wire;
