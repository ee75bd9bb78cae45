//! The node round the decision module: sockets in, sockets out, no decisions.

pub mod clients;
pub mod config;
pub mod discovery;
pub mod log;
pub mod node;
pub mod servers;
pub mod sock;
