//! Numbered changes, and their filtered form for a subscriber with a limited scope.

use serde::{Deserialize, Serialize};

use crate::resource::{Entry, Key, Scope};
use crate::version::{Digest, Position, Version};

/// Maximum number of operations in one change.
pub const MAX_OPERATIONS: usize = 1_000;

/// One operation of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Creates or replaces a resource.
    Put(Entry),
    /// Removes a resource.
    Remove {
        /// The key of the resource.
        key: Key,
        /// The resource's owner; no other owner may remove it.
        owner: String,
    },
}

impl Operation {
    /// The key of the resource that the operation changes.
    pub fn key(&self) -> Key {
        match self {
            Self::Put(entry) => entry.key(),
            Self::Remove { key, .. } => key.clone(),
        }
    }

    /// The digest of the operation's JSON form.
    pub fn digest(&self) -> Digest {
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        Digest::of(&[&bytes])
    }
}

/// An operation, or only its digest if it is outside the subscriber's scope. With the digests, a subscriber
/// can verify the complete chain without receiving every operation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Part {
    /// An operation within the subscriber's scope.
    Operation(Operation),
    /// The digest of an operation outside the subscriber's scope.
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

/// A numbered change. Its operations are applied atomically.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The version that results from this change.
    pub version: Version,
    /// The digest of the version that this change is based on.
    pub previous: Digest,
    /// The digest of the resulting version.
    pub digest: Digest,
    /// The operations, or the digests of those that were omitted.
    pub parts: Vec<Part>,
}

/// Computes a change's digest from the previous digest, the version and the digests of the parts.
fn chained_digest(previous: Digest, version: Version, parts: &[Part]) -> Digest {
    let digests: Vec<Digest> = parts.iter().map(Part::digest).collect();
    let version = [version.epoch.to_be_bytes(), version.number.to_be_bytes()].concat();
    let mut chunks: Vec<&[u8]> = vec![previous.bytes(), &version];
    chunks.extend(digests.iter().map(Digest::bytes));
    Digest::of(&chunks)
}

impl Change {
    /// Creates the change that directly follows `after`.
    pub fn following(after: Position, operations: Vec<Operation>) -> Self {
        let version = after.version.next();
        let parts: Vec<Part> = operations.into_iter().map(Part::Operation).collect();
        let digest = chained_digest(after.digest, version, &parts);
        Self { version, previous: after.digest, digest, parts }
    }

    /// The position that results from this change.
    pub fn position(&self) -> Position {
        Position { version: self.version, digest: self.digest }
    }

    /// Returns whether the change directly follows `after` and matches its own digest.
    pub fn follows(&self, after: Position) -> bool {
        self.version == after.version.next()
            && self.previous == after.digest
            && self.digest == chained_digest(self.previous, self.version, &self.parts)
    }

    /// Iterates over the operations, without the omitted ones.
    pub fn operations(&self) -> impl Iterator<Item = &Operation> {
        self.parts.iter().filter_map(|part| match part {
            Part::Operation(operation) => Some(operation),
            Part::Omitted(_) => None,
        })
    }
}

/// A change in a publisher's log, with the earlier state of each changed resource. The earlier state is
/// needed to notify a subscriber when a resource leaves its scope.
#[derive(Clone, Debug)]
pub struct LoggedChange {
    /// The change.
    pub change: Change,
    /// For each operation, the resource before the change, if it existed.
    pub before: Vec<Option<Entry>>,
}

impl LoggedChange {
    /// The change as sent to a subscriber with this scope: operations outside it are replaced by their
    /// digests.
    pub fn scoped(&self, scope: &Scope) -> Change {
        let is_visible = |part: &Part, before: &Option<Entry>| {
            let in_scope = |entry: &Entry| scope.includes(&entry.name, &entry.body);
            match part {
                Part::Operation(Operation::Put(entry)) => {
                    in_scope(entry) || before.as_ref().is_some_and(in_scope)
                }
                Part::Operation(Operation::Remove { .. }) => before.as_ref().is_some_and(in_scope),
                Part::Omitted(_) => false,
            }
        };
        let parts = self.change.parts.iter().zip(&self.before).map(|(part, before)| {
            if is_visible(part, before) {
                part.clone()
            } else {
                Part::Omitted(part.digest())
            }
        });
        Change { parts: parts.collect(), ..self.change.clone() }
    }
}
