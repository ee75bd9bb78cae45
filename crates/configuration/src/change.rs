//! Changes: as the source numbers them, and as a subscriber of a scope is sent them.

use serde::{Deserialize, Serialize};

use crate::resource::{Entry, Key, Scope};
use crate::version::{Digest, Position, Version};

/// The most operations of one change.
pub const OPERATIONS_MOST: usize = 1_000;

/// One step of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// The resource is so from now on.
    Put(Entry),
    /// It is no more.
    Remove {
        /// Which one.
        key: Key,
        /// Its owner, who alone may remove it.
        owner: String,
    },
}

impl Operation {
    /// Whom it is about.
    pub fn key(&self) -> Key {
        match self {
            Self::Put(entry) => entry.key(),
            Self::Remove { key, .. } => key.clone(),
        }
    }

    /// Its digest.
    pub fn digest(&self) -> Digest {
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        Digest::of(&[&bytes])
    }
}

/// An operation, or the digest of one that a subscriber's scope leaves out: so each can check the whole chain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Part {
    /// The operation.
    Operation(Operation),
    /// The digest of one that is left out.
    Omitted(Digest),
}

impl Part {
    fn digest(&self) -> Digest {
        match self {
            Self::Operation(operation) => operation.digest(),
            Self::Omitted(digest) => *digest,
        }
    }
}

/// A change with its number. All of its operations count at once, or none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The version that it makes.
    pub version: Version,
    /// The digest of the version that it follows on.
    pub previous: Digest,
    /// The digest of the version that it makes.
    pub digest: Digest,
    /// Its operations.
    pub parts: Vec<Part>,
}

/// The digest of a change that follows on another.
fn chained(previous: Digest, version: Version, parts: &[Part]) -> Digest {
    let digests: Vec<Digest> = parts.iter().map(Part::digest).collect();
    let version = [version.epoch.to_be_bytes(), version.number.to_be_bytes()].concat();
    let mut pieces: Vec<&[u8]> = vec![previous.bytes(), &version];
    pieces.extend(digests.iter().map(Digest::bytes));
    Digest::of(&pieces)
}

impl Change {
    /// The change that follows on a position.
    pub fn following(after: Position, operations: Vec<Operation>) -> Self {
        let version = after.version.next();
        let parts: Vec<Part> = operations.into_iter().map(Part::Operation).collect();
        let digest = chained(after.digest, version, &parts);
        Self { version, previous: after.digest, digest, parts }
    }

    /// The position that it makes.
    pub fn position(&self) -> Position {
        Position { version: self.version, digest: self.digest }
    }

    /// Does it follow on that position, and is it as its digest says?
    pub fn follows(&self, after: Position) -> bool {
        self.version == after.version.next()
            && self.previous == after.digest
            && self.digest == chained(self.previous, self.version, &self.parts)
    }

    /// The operations that it holds.
    pub fn operations(&self) -> impl Iterator<Item = &Operation> {
        self.parts.iter().filter_map(|part| match part {
            Part::Operation(operation) => Some(operation),
            Part::Omitted(_) => None,
        })
    }
}

/// A change as a publisher keeps it: with who was touched before, so that one who loses sight of a resource is told.
#[derive(Clone, Debug)]
pub struct Logged {
    /// The change.
    pub change: Change,
    /// For each operation, the resource as it was before, if there was one.
    pub before: Vec<Option<Entry>>,
}

impl Logged {
    /// The change as a subscriber of that scope is sent it.
    pub fn scoped(&self, scope: &Scope) -> Change {
        let concerns = |part: &Part, before: &Option<Entry>| {
            let of = |entry: &Entry| scope.includes(&entry.name, &entry.body);
            match part {
                Part::Operation(Operation::Put(entry)) => of(entry) || before.as_ref().is_some_and(of),
                Part::Operation(Operation::Remove { .. }) => before.as_ref().is_some_and(of),
                Part::Omitted(_) => false,
            }
        };
        let parts = self.change.parts.iter().zip(&self.before).map(|(part, before)| {
            if concerns(part, before) {
                part.clone()
            } else {
                Part::Omitted(part.digest())
            }
        });
        Change { parts: parts.collect(), ..self.change.clone() }
    }
}
