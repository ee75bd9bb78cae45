//! The messages between publishers and subscribers, encoded as one JSON object per line.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::change::Change;
use crate::resource::{Entry, Key, Scope};
use crate::version::{Digest, Position, Version};

/// Maximum number of rejections in a summary.
pub const MAX_REJECTIONS: usize = 20;

/// A piece of a snapshot. The resources of a snapshot are sent in key order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Piece {
    /// The position that the snapshot represents.
    #[serde(rename = "of")]
    pub position: Position,
    /// The index of the piece within the snapshot, from 0.
    pub index: u32,
    /// Whether this is the last piece.
    pub last: bool,
    /// The chained digest over the entries of all pieces up to this one.
    pub digest: Digest,
    /// The resources of this piece.
    pub entries: Vec<Entry>,
}

impl Piece {
    /// Computes the digest of a piece from the previous piece's digest; for the first one, `previous` is the
    /// default.
    pub fn chained_digest(previous: Digest, entries: &[Entry]) -> Digest {
        let bytes = serde_json::to_vec(entries).unwrap_or_default();
        Digest::of(&[previous.bytes(), &bytes])
    }
}

/// Where to resume an interrupted snapshot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Resume {
    /// The position that the snapshot represents.
    #[serde(rename = "of")]
    pub position: Position,
    /// The number of pieces received.
    pub pieces: u32,
    /// The last key in these pieces.
    pub after: Key,
    /// The chained digest of these pieces.
    pub digest: Digest,
}

/// A message from a publisher to a subscriber.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Publication {
    /// A change that follows the subscriber's position.
    Change(Change),
    /// A piece of a snapshot.
    Piece(Piece),
    /// A keep-alive.
    Alive {
        /// The publisher's position.
        at: Position,
        /// The time since this was last known to be the source's position, in milliseconds; `None` if it
        /// never was.
        age_ms: Option<u64>,
    },
    /// The publisher is behind the subscriber or has a diverging history; holds the publisher's position.
    Behind(Position),
}

/// A version that a node rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The node's name.
    pub node: String,
    /// The rejected version.
    pub version: Version,
    /// Why the node rejected it.
    pub reason: String,
}

/// The state of the nodes behind a subscriber.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The number of nodes per version in force.
    pub in_force: BTreeMap<Version, usize>,
    /// Rejections by nodes that have accepted nothing since; the first [`MAX_REJECTIONS`].
    pub rejections: Vec<Rejection>,
}

impl Summary {
    /// Merges another summary into this one.
    pub fn add(&mut self, other: &Self) {
        for (version, nodes) in &other.in_force {
            *self.in_force.entry(*version).or_default() += nodes;
        }
        let remaining = MAX_REJECTIONS.saturating_sub(self.rejections.len());
        self.rejections.extend(other.rejections.iter().take(remaining).cloned());
    }

    /// The number of nodes that the summary covers.
    pub fn nodes(&self) -> usize {
        self.in_force.values().sum()
    }
}

/// A message from a subscriber to a publisher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// Starts a subscription, in place of an earlier one.
    Subscribe {
        /// The subscriber's name.
        name: String,
        /// The subscriber's position; `None` if it has none yet.
        from: Option<Position>,
        /// The snapshot that the subscriber has partly received, if any.
        resume: Option<Resume>,
        /// The part of the configuration to send.
        scope: Scope,
    },
    /// Reports the state of the nodes behind the subscriber.
    Report(Summary),
}
