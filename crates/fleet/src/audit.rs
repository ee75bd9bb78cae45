//! The audit trail of who changed what: one line per change, each with the digest of the previous line, so
//! that a reader detects a line that was modified, removed or moved. The chain does not protect against
//! somebody who can rewrite the whole file; to detect that, the last digest must be stored elsewhere.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::Millis;

/// One entry of the audit trail, written as a line of JSON.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// The entry's number, from 1.
    pub number: u64,
    /// When the change was made, as Unix time in milliseconds.
    pub at_unix_ms: Millis,
    /// Who made the change.
    pub who: String,
    /// What was changed.
    pub what: String,
    /// The lease's epoch under which the change was made.
    pub epoch: u64,
    /// The digest of the previous line, or of an empty string for the first entry.
    pub before: String,
}

/// The first line at which a trail fails verification.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidLine {
    /// The line's number, from 1.
    pub line: usize,
    /// Why the line is invalid.
    pub reason: String,
}

impl fmt::Display for InvalidLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.reason)
    }
}

impl std::error::Error for InvalidLine {}

/// The SHA-256 digest of `bytes` in lower-case hexadecimal.
pub fn digest(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The state at the end of a trail, from which the next line is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trail {
    number: u64,
    last: String,
}

impl Default for Trail {
    /// An empty trail.
    fn default() -> Self {
        Self { number: 0, last: digest(b"") }
    }
}

impl Trail {
    /// The number of lines.
    pub fn len(&self) -> u64 {
        self.number
    }

    /// Whether the trail has no lines.
    pub fn is_empty(&self) -> bool {
        self.number == 0
    }

    /// The digest of the last line.
    pub fn last_digest(&self) -> &str {
        &self.last
    }

    /// Appends an entry and returns its line, newline included.
    pub fn append(&mut self, at_unix_ms: Millis, who: &str, what: &str, epoch: u64) -> String {
        let (number, before) = (self.number + 1, self.last.clone());
        let entry = Entry { number, at_unix_ms, who: who.into(), what: what.into(), epoch, before };
        // Serialization cannot fail: an entry has only strings and numbers.
        let line = serde_json::to_string(&entry).unwrap_or_default();
        (self.number, self.last) = (number, digest(line.as_bytes()));
        line + "\n"
    }

    /// Parses a complete trail and verifies its chain of digests.
    ///
    /// # Errors
    /// The first line that cannot be parsed or does not continue the chain.
    pub fn read(text: &str) -> Result<(Self, Vec<Entry>), InvalidLine> {
        let (mut trail, mut entries) = (Self::default(), Vec::new());
        for (n, line) in text.lines().enumerate() {
            let error_at = |reason: String| InvalidLine { line: n + 1, reason };
            let entry: Entry = serde_json::from_str(line).map_err(|e| error_at(e.to_string()))?;
            if entry.number != trail.number + 1 {
                return Err(error_at(format!(
                    "entry number {} expected, not {}",
                    trail.number + 1,
                    entry.number
                )));
            }
            if entry.before != trail.last {
                return Err(error_at("the digest does not match the previous line".into()));
            }
            (trail.number, trail.last) = (entry.number, digest(line.as_bytes()));
            entries.push(entry);
        }
        Ok((trail, entries))
    }
}
