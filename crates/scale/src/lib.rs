//! Measures how the cost of the shipped state machines grows with the size of a deployment.
//!
//! The nodes are simulated: many instances of the state machines that the program `glenwood` runs, without
//! sockets, share one process, with virtual time and a network that loses, duplicates, delays and blocks
//! messages; random numbers come from a seed. `cargo bench -p glenwood-scale` runs every scenario at growing
//! sizes and prints a table, a fit for each quantity, and CSV. `docs/CAPACITY.md` multiplies the measured
//! values by the sizes that the product is designed for; a test checks the figures on that page.
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
