//! The journal of an agent: what it means to do and what came of it, each record written and synced before the agent goes
//! on.
//!
//! A record is its length, a checksum over its number and its bytes, its number, and its bytes. Numbers go up by one. A
//! journal may end in a torn record, as the agent may be killed while it writes: that one was not acted on, and is left
//! out. A record that is damaged anywhere else is not passed over: what came behind it was acted on.

use std::fmt;

/// Length, checksum and number.
const HEAD: usize = 4 + 4 + 8;
/// The longest record; a length beyond it is damage.
pub const LONGEST: usize = 1 << 20;

/// One record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its number.
    pub number: u64,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// What a journal holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Read {
    /// Its records, in order.
    pub records: Vec<Record>,
    /// How many bytes they take: what is behind is torn, and to be cut off before more is written.
    pub length: usize,
}

/// Why a journal is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Damage {
    /// A record is damaged, and there are good ones behind it.
    Middle {
        /// Where it begins, in bytes.
        at: usize,
    },
    /// A record's number does not follow on the one before.
    Order {
        /// Where it begins, in bytes.
        at: usize,
        /// The number that it has.
        number: u64,
    },
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Middle { at } => write!(f, "the record at byte {at} is damaged, and others follow it"),
            Self::Order { at, number } => {
                write!(f, "the record at byte {at} has the number {number}, out of order")
            }
        }
    }
}

impl std::error::Error for Damage {}

fn sum(number: u64, bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&number.to_be_bytes());
    hasher.update(bytes);
    hasher.finalize()
}

/// A record as it is written.
///
/// # Panics
/// Where it is longer than [`LONGEST`].
pub fn write(number: u64, bytes: &[u8]) -> Vec<u8> {
    assert!(bytes.len() <= LONGEST, "a record of {} bytes", bytes.len());
    let mut out = Vec::with_capacity(HEAD + bytes.len());
    out.extend((bytes.len() as u32).to_be_bytes());
    out.extend(sum(number, bytes).to_be_bytes());
    out.extend(number.to_be_bytes());
    out.extend(bytes);
    out
}

/// The record that begins there, and where it ends; `None` where there is no good one.
fn record(all: &[u8], at: usize) -> Option<(Record, usize)> {
    let head = all.get(at..at + HEAD)?;
    let word = |from: usize| u32::from_be_bytes([head[from], head[from + 1], head[from + 2], head[from + 3]]);
    let (length, checksum) = (word(0) as usize, word(4));
    let number = u64::from(word(8)) << 32 | u64::from(word(12));
    if length > LONGEST {
        return None;
    }
    let end = at + HEAD + length;
    let bytes = all.get(at + HEAD..end)?;
    (sum(number, bytes) == checksum).then(|| (Record { number, bytes: bytes.to_vec() }, end))
}

/// Reads a journal; its first record has the number `first`, or any where that is `None`.
///
/// # Errors
/// Where a record is damaged that is not the torn last one.
pub fn read(all: &[u8], first: Option<u64>) -> Result<Read, Damage> {
    let mut records: Vec<Record> = Vec::new();
    let (mut at, mut next) = (0, first);
    while at < all.len() {
        let Some((record, end)) = record(all, at) else {
            // Torn, if nothing good is behind it: a record is written only when the one before is on the disk.
            let behind = (at + 1..all.len()).any(|from| {
                record(all, from).is_some_and(|(later, _)| next.is_none_or(|next| later.number > next))
            });
            return if behind { Err(Damage::Middle { at }) } else { Ok(Read { records, length: at }) };
        };
        if next.is_some_and(|next| next != record.number) {
            return Err(Damage::Order { at, number: record.number });
        }
        next = Some(record.number + 1);
        records.push(record);
        at = end;
    }
    Ok(Read { records, length: at })
}
