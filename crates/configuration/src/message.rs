//! What publishers and subscribers say to each other, one JSON object a line.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::change::Change;
use crate::resource::{Entry, Key, Scope};
use crate::version::{Digest, Position, Version};

/// The most rejections that a summary names.
pub const REJECTIONS_MOST: usize = 20;

/// A piece of a snapshot, in the order of its keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Piece {
    /// Of which position the snapshot is.
    pub of: Position,
    /// Which piece, from 0.
    pub index: u32,
    /// No other follows.
    pub last: bool,
    /// The digest of all pieces so far, each with its entries.
    pub digest: Digest,
    /// The resources.
    pub entries: Vec<Entry>,
}

impl Piece {
    /// The digest of a piece that follows on another; the first follows on the default.
    pub fn chained(previous: Digest, entries: &[Entry]) -> Digest {
        let bytes = serde_json::to_vec(entries).unwrap_or_default();
        Digest::of(&[previous.bytes(), &bytes])
    }
}

/// From where a snapshot that was cut off goes on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Resume {
    /// Of which position it is.
    pub of: Position,
    /// How many pieces have come.
    pub pieces: u32,
    /// The last key of these.
    pub after: Key,
    /// The digest of these.
    pub digest: Digest,
}

/// What a publisher says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Publication {
    /// A change.
    Change(Change),
    /// A piece of a snapshot.
    Piece(Piece),
    /// It is there.
    Alive {
        /// The position that it has.
        at: Position,
        /// How long ago that was known to be the source's, in milliseconds; `None`: not yet.
        age_ms: Option<u64>,
    },
    /// It is not as far as its subscriber, or not of the same history; this is its position.
    Behind(Position),
}

/// What a node turned down.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The node.
    pub node: String,
    /// The version.
    pub version: Version,
    /// Why.
    pub reason: String,
}

/// How far the nodes behind a subscriber are.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// How many nodes have each version in force.
    pub in_force: BTreeMap<Version, usize>,
    /// What nodes turned down and have not passed since; the first [`REJECTIONS_MOST`].
    pub rejections: Vec<Rejection>,
}

impl Summary {
    /// Adds what another one says.
    pub fn add(&mut self, other: &Self) {
        for (version, nodes) in &other.in_force {
            *self.in_force.entry(*version).or_default() += nodes;
        }
        let room = REJECTIONS_MOST.saturating_sub(self.rejections.len());
        self.rejections.extend(other.rejections.iter().take(room).cloned());
    }

    /// How many nodes it speaks of.
    pub fn nodes(&self) -> usize {
        self.in_force.values().sum()
    }
}

/// What a subscriber says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// It wants to follow from now on, in place of whatever it wanted before.
    Subscribe {
        /// Who it is.
        name: String,
        /// The position that it has; `None`: nothing yet.
        from: Option<Position>,
        /// The snapshot that it has begun to take.
        resume: Option<Resume>,
        /// What it wants.
        scope: Scope,
    },
    /// How far it is.
    Report(Summary),
}
