//! Framing: each record is preceded by its length as four bytes, big-endian.

use std::fmt;

use bytes::{Buf, Bytes, BytesMut};

/// Default limit on the length of a record, in bytes. ZooKeeper accepts up to `jute.maxbuffer` (1 MiB less
/// one byte) but applies that to data alone, so the records that a service sends may be longer.
pub const MAX_RECORD_BYTES: usize = 4 * 1024 * 1024;

/// A record length that is negative or over the limit; the stream can't be read any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadLength(
    /// The invalid length.
    pub i32,
);

impl fmt::Display for BadLength {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid record length: {} bytes", self.0)
    }
}

impl std::error::Error for BadLength {}

/// Splits a byte stream into records.
#[derive(Debug)]
pub struct Frames {
    buffered: BytesMut,
    max_record_bytes: usize,
    failure: Option<BadLength>,
}

impl Frames {
    /// Creates an empty buffer that accepts records of up to `max_record_bytes`.
    pub fn new(max_record_bytes: usize) -> Self {
        Self { buffered: BytesMut::new(), max_record_bytes, failure: None }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.failure.is_none() {
            self.buffered.extend_from_slice(bytes);
        }
    }

    /// Number of buffered bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered.len()
    }

    /// Returns the next record, or `None` if it is not complete yet.
    ///
    /// # Errors
    /// The record's length is negative or over the limit. Everything buffered is discarded, and each further
    /// call returns the same error.
    pub fn poll(&mut self) -> Result<Option<Bytes>, BadLength> {
        if let Some(error) = self.failure {
            return Err(error);
        }
        let Some(prefix) = self.buffered.first_chunk::<4>() else { return Ok(None) };
        let length = i32::from_be_bytes(*prefix);
        let Some(body_bytes) = usize::try_from(length).ok().filter(|n| *n <= self.max_record_bytes) else {
            self.buffered = BytesMut::new();
            self.failure = Some(BadLength(length));
            return Err(BadLength(length));
        };
        if self.buffered.len() < 4 + body_bytes {
            return Ok(None);
        }
        self.buffered.advance(4);
        let record = self.buffered.split_to(body_bytes).freeze();
        if self.buffered.is_empty() {
            self.buffered = BytesMut::new();
        }
        Ok(Some(record))
    }
}

/// Returns the record with its length prepended.
pub fn with_length_prefix(record: &[u8]) -> Vec<u8> {
    let length = record.len().min(i32::MAX as usize);
    let mut out = Vec::with_capacity(length + 4);
    out.extend_from_slice(&(length as i32).to_be_bytes());
    out.extend_from_slice(&record[..length]);
    out
}
