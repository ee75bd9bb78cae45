//! The agent's write-ahead journal: records of intended actions and their results, each written and synced
//! before the agent continues.
//!
//! A record consists of its length, a checksum over its number and payload, its number, and its payload.
//! Numbers are consecutive. A journal may end with a torn record because the agent can be killed during a
//! write; that record was not acted on and is ignored. A damaged record anywhere else is an error, because
//! the records after it were acted on.

use std::fmt;

/// Size of the header: length, checksum and number.
const HEADER_BYTES: usize = 4 + 4 + 8;
/// Maximum payload of a record in bytes; a greater length is treated as damage.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// One record of the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The record's number.
    pub number: u64,
    /// The payload.
    pub bytes: Vec<u8>,
}

/// The readable contents of a journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contents {
    /// The records, in order.
    pub records: Vec<Record>,
    /// The length of the valid records in bytes. Anything after it is torn and must be truncated before the
    /// next write.
    pub length: usize,
}

/// Why a journal cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Damage {
    /// A record is damaged and valid records follow it.
    DamagedRecord {
        /// The record's offset in the journal, in bytes.
        at: usize,
    },
    /// A record's number is not the expected one.
    UnexpectedNumber {
        /// The record's offset in the journal, in bytes.
        at: usize,
        /// The record's number.
        number: u64,
    },
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DamagedRecord { at } => {
                write!(f, "the record at byte {at} is damaged, and others follow it")
            }
            Self::UnexpectedNumber { at, number } => {
                write!(f, "the record at byte {at} has the number {number}, out of order")
            }
        }
    }
}

impl std::error::Error for Damage {}

fn checksum(number: u64, bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&number.to_be_bytes());
    hasher.update(bytes);
    hasher.finalize()
}

/// Encodes a record.
///
/// # Panics
/// If `bytes` is longer than [`MAX_RECORD_BYTES`].
pub fn encode(number: u64, bytes: &[u8]) -> Vec<u8> {
    assert!(bytes.len() <= MAX_RECORD_BYTES, "a journal record of {} bytes is too long", bytes.len());
    let mut out = Vec::with_capacity(HEADER_BYTES + bytes.len());
    out.extend((bytes.len() as u32).to_be_bytes());
    out.extend(checksum(number, bytes).to_be_bytes());
    out.extend(number.to_be_bytes());
    out.extend(bytes);
    out
}

/// Decodes the record that begins at byte `at`; returns it with its end, or `None` if there is no valid
/// record.
fn decode(all: &[u8], at: usize) -> Option<(Record, usize)> {
    let header = all.get(at..at + HEADER_BYTES)?;
    let be_u32 = |from: usize| {
        u32::from_be_bytes([header[from], header[from + 1], header[from + 2], header[from + 3]])
    };
    let (length, stored_checksum) = (be_u32(0) as usize, be_u32(4));
    let number = u64::from(be_u32(8)) << 32 | u64::from(be_u32(12));
    if length > MAX_RECORD_BYTES {
        return None;
    }
    let end = at + HEADER_BYTES + length;
    let bytes = all.get(at + HEADER_BYTES..end)?;
    (checksum(number, bytes) == stored_checksum).then(|| (Record { number, bytes: bytes.to_vec() }, end))
}

/// Reads a journal whose first record has the number `first`, or any number if that is `None`.
///
/// # Errors
/// If a record other than a torn last one is damaged, or a number is not the expected one.
pub fn decode_all(all: &[u8], first: Option<u64>) -> Result<Contents, Damage> {
    let mut records: Vec<Record> = Vec::new();
    let (mut at, mut next) = (0, first);
    while at < all.len() {
        let Some((record, end)) = decode(all, at) else {
            // The record is torn if no valid record follows: a record is written only after the previous one
            // is on disk.
            let has_later_record = (at + 1..all.len()).any(|from| {
                decode(all, from).is_some_and(|(later, _)| next.is_none_or(|next| later.number > next))
            });
            return if has_later_record {
                Err(Damage::DamagedRecord { at })
            } else {
                Ok(Contents { records, length: at })
            };
        };
        if next.is_some_and(|next| next != record.number) {
            return Err(Damage::UnexpectedNumber { at, number: record.number });
        }
        next = Some(record.number + 1);
        records.push(record);
        at = end;
    }
    Ok(Contents { records, length: at })
}
