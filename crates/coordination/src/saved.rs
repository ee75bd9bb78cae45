//! File format of the last known view: a header line with a checksum, followed by the entries.

use std::fmt;

use glenwood_list::ListEntry;
use serde_json::{json, Value};

use crate::Millis;

/// The only format version so far.
const FORMAT_VERSION: u64 = 1;

/// A snapshot of a view.
#[derive(Clone, Debug, PartialEq)]
pub struct SavedView {
    /// When the snapshot was taken, Unix time in milliseconds.
    pub at_unix_ms: Millis,
    /// The entries of the view.
    pub hosts: Vec<ListEntry>,
}

/// Why a file was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SavedError {
    /// The header is missing or invalid, or the format version is unknown; with an error message.
    Header(&'static str),
    /// The checksum does not match the content.
    Checksum,
    /// The entries can't be parsed; with an error message.
    Entry(String),
}

impl fmt::Display for SavedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Header(message) => f.write_str(message),
            Self::Checksum => f.write_str("the checksum differs"),
            Self::Entry(message) => f.write_str(message),
        }
    }
}

impl std::error::Error for SavedError {}

fn checksum(at_unix_ms: Millis, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&at_unix_ms.to_bits().to_be_bytes());
    hasher.update(body);
    hasher.finalize()
}

impl SavedView {
    /// Serializes the view. The time is rounded to integer milliseconds: not every fraction survives JSON
    /// unchanged, and the checksum covers all bits of the time.
    pub fn write(&self) -> Vec<u8> {
        let at_unix_ms = self.at_unix_ms.round();
        let body = json!(self.hosts).to_string().into_bytes();
        let crc32 = checksum(at_unix_ms, &body);
        let header = json!({"glenwood_view": FORMAT_VERSION, "at_unix_ms": at_unix_ms, "crc32": crc32});
        [header.to_string().as_bytes(), b"\n", &body].concat()
    }

    /// Parses a serialized view.
    ///
    /// # Errors
    /// The file is malformed or of an unknown version, or its content was changed after it was written.
    pub fn read(bytes: &[u8]) -> Result<Self, SavedError> {
        let header_bytes =
            bytes.iter().position(|b| *b == b'\n').ok_or(SavedError::Header("the header line is missing"))?;
        let header: Value = serde_json::from_slice(&bytes[..header_bytes])
            .map_err(|_| SavedError::Header("the header is not valid JSON"))?;
        if header["glenwood_view"].as_u64() != Some(FORMAT_VERSION) {
            return Err(SavedError::Header("unsupported format: glenwood_view 1 expected"));
        }
        let at_unix_ms = header["at_unix_ms"]
            .as_f64()
            .ok_or(SavedError::Header("at_unix_ms in the header is missing or not a number"))?;
        let body = &bytes[header_bytes + 1..];
        if header["crc32"].as_u64() != Some(u64::from(checksum(at_unix_ms, body))) {
            return Err(SavedError::Checksum);
        }
        let hosts = serde_json::from_slice(body).map_err(|e| SavedError::Entry(e.to_string()))?;
        Ok(Self { at_unix_ms, hosts })
    }
}
