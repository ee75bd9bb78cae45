//! Cluster membership without a leader: a SWIM implementation with the Lifeguard extensions. It uses a few
//! seed addresses, a shared secret, direct and indirect probes, suspicions that the suspect can refute,
//! gossip and anti-entropy.
//!
//! Nothing here does I/O or reads a clock: the caller passes the time and received datagrams to [`Members`]
//! and polls it for datagrams to send and for events. Times are in milliseconds from an arbitrary origin and
//! never decrease.
//!
//! The view is eventually consistent: two nodes may disagree at any moment, and a node that is cut off
//! considers the others lost while they consider it lost. Callers must be safe with any view; they may rely
//! on a correct view only for progress.
#![warn(missing_docs)]

mod machine;
mod record;
mod rumours;
mod settings;
mod table;
mod wire;

pub use glenwood_datagram::Secret;
pub use machine::{Counters, Event, MemberInfo, Members, Transmit};
pub use record::{Id, Member, State, MAX_NAME_BYTES, MAX_ZONE_BYTES};
pub use settings::Settings;
pub use wire::DatagramError;
