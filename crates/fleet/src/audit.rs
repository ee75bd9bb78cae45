//! The trail of who changed what: one line for each change, each with the digest of the one before, so that a line that is
//! changed, left out or moved is noticed by whoever reads it. It does not keep somebody who can write the file from writing
//! all of it anew: for that its last digest must be kept elsewhere.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::Millis;

/// One change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// Its number, from 1.
    pub number: u64,
    /// When, Unix time in milliseconds.
    pub at_unix_ms: Millis,
    /// Who.
    pub who: String,
    /// What.
    pub what: String,
    /// Under which epoch of the lease.
    pub epoch: u64,
    /// The digest of the line before; of nothing for the first.
    pub before: String,
}

/// Where a trail is broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// The line, from 1.
    pub line: usize,
    /// What is wrong with it.
    pub reason: String,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.reason)
    }
}

impl std::error::Error for Broken {}

/// The digest of some bytes, as hex digits.
pub fn digest(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The end of a trail: what the next line follows on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trail {
    number: u64,
    last: String,
}

impl Default for Trail {
    /// One with no line yet.
    fn default() -> Self {
        Self { number: 0, last: digest(b"") }
    }
}

impl Trail {
    /// How many lines it has.
    pub fn len(&self) -> u64 {
        self.number
    }

    /// Has it none?
    pub fn is_empty(&self) -> bool {
        self.number == 0
    }

    /// The digest of its last line.
    pub fn last(&self) -> &str {
        &self.last
    }

    /// The next line, with its line end.
    pub fn add(&mut self, at_unix_ms: Millis, who: &str, what: &str, epoch: u64) -> String {
        let (number, before) = (self.number + 1, self.last.clone());
        let entry = Entry { number, at_unix_ms, who: who.into(), what: what.into(), epoch, before };
        // Text and finite numbers: there is nothing in it that can't be written.
        let line = serde_json::to_string(&entry).unwrap_or_default();
        (self.number, self.last) = (number, digest(line.as_bytes()));
        line + "\n"
    }

    /// Reads a whole trail and checks it.
    ///
    /// # Errors
    /// Names the first line that does not follow on the one before.
    pub fn read(text: &str) -> Result<(Self, Vec<Entry>), Broken> {
        let (mut trail, mut entries) = (Self::default(), Vec::new());
        for (n, line) in text.lines().enumerate() {
            let broken = |reason: String| Broken { line: n + 1, reason };
            let entry: Entry = serde_json::from_str(line).map_err(|e| broken(e.to_string()))?;
            if entry.number != trail.number + 1 {
                return Err(broken(format!(
                    "the number {} expected, not {}",
                    trail.number + 1,
                    entry.number
                )));
            }
            if entry.before != trail.last {
                return Err(broken("it does not follow on the line before".into()));
            }
            (trail.number, trail.last) = (entry.number, digest(line.as_bytes()));
            entries.push(entry);
        }
        Ok((trail, entries))
    }
}
