//! The last known view, as a file holds it: a head with a checksum, and the entries.

use std::fmt;

use glenwood_list::ListEntry;
use serde_json::{json, Value};

use crate::Millis;

/// The only form there is.
const FORM: u64 = 1;

/// A view as it was at some time.
#[derive(Clone, Debug, PartialEq)]
pub struct Saved {
    /// When, Unix time in milliseconds.
    pub at_unix_ms: Millis,
    /// Its entries.
    pub hosts: Vec<ListEntry>,
}

/// Why a file is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SavedError {
    /// It is no such file, or of a form that is not known; in words.
    Form(&'static str),
    /// It is not what was written: the checksum differs.
    Checksum,
    /// An entry can't be read; in words.
    Entry(String),
}

impl fmt::Display for SavedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Form(words) => f.write_str(words),
            Self::Checksum => f.write_str("the checksum differs"),
            Self::Entry(words) => f.write_str(words),
        }
    }
}

impl std::error::Error for SavedError {}

fn sum(at_unix_ms: Millis, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&at_unix_ms.to_bits().to_be_bytes());
    hasher.update(body);
    hasher.finalize()
}

impl Saved {
    /// The file's bytes. The time is in whole milliseconds: fractions would not all be read as they were written, and the
    /// checksum covers the time to the last bit.
    pub fn write(&self) -> Vec<u8> {
        let at_unix_ms = self.at_unix_ms.round();
        let body = json!(self.hosts).to_string().into_bytes();
        let crc32 = sum(at_unix_ms, &body);
        let head = json!({"glenwood_view": FORM, "at_unix_ms": at_unix_ms, "crc32": crc32});
        [head.to_string().as_bytes(), b"\n", &body].concat()
    }

    /// Reads the file's bytes.
    ///
    /// # Errors
    /// Says why they are not taken: any change to them is noticed.
    pub fn read(bytes: &[u8]) -> Result<Self, SavedError> {
        let cut = bytes.iter().position(|b| *b == b'\n').ok_or(SavedError::Form("it has no head"))?;
        let head: Value =
            serde_json::from_slice(&bytes[..cut]).map_err(|_| SavedError::Form("its head can't be read"))?;
        if head["glenwood_view"].as_u64() != Some(FORM) {
            return Err(SavedError::Form("it is no view of the form 1"));
        }
        let at_unix_ms = head["at_unix_ms"].as_f64().ok_or(SavedError::Form("it has no time"))?;
        let body = &bytes[cut + 1..];
        if head["crc32"].as_u64() != Some(u64::from(sum(at_unix_ms, body))) {
            return Err(SavedError::Checksum);
        }
        let hosts = serde_json::from_slice(body).map_err(|e| SavedError::Entry(e.to_string()))?;
        Ok(Self { at_unix_ms, hosts })
    }
}
