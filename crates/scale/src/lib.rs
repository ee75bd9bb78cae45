//! What the shipped state machines cost as they grow.
//!
//! Nodes here are *hollow*: the state machines that the program `glenwood` runs, without its sockets, many of them in one
//! process, on virtual time and a network that loses, delays and cuts messages by a seed. `cargo bench -p glenwood-scale`
//! runs every scenario at growing sizes and prints a table, a fit for each quantity, and CSV. `docs/CAPACITY.md` multiplies
//! what was measured by the size that the product is designed for; a test reads that page.
//!
//! The node never depends on this package.
#![warn(missing_docs)]

pub mod deployment;
pub mod fit;
pub mod measure;
pub mod network;
pub mod report;
pub mod scenario;
pub mod target;
