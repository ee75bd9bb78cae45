//! The authenticated datagrams that instances exchange.
//!
//! A datagram is at most [`MAX_DATAGRAM_BYTES`] bytes: header, ballots, entries, and an HMAC-SHA-256 over all
//! of it, truncated to 16 bytes. Numbers are big-endian. It names the sender and the receiver with the run of
//! each: a datagram addressed to another run than the current one may be a replay and proves nothing.

use glenwood_datagram::{OpenError, Reader, TAG_BYTES};
pub use glenwood_datagram::{Secret, MAX_DATAGRAM_BYTES};

use crate::ledger::{Key, RunId};
use crate::votes::{Ballot, InstanceSet};

const MAGIC: u32 = 0x474c_5531;
const HEADER_BYTES: usize = 4 + 4 + 2 + 2 + 6 * 8;
const ENTRY_BYTES: usize = 8 + 1 + 8 + 4 * 4;
/// Maximum number of instances; the ballots of this many still leave room for entries.
pub const MAX_INSTANCES: usize = 1000;

/// A report about one key in one window, for one run of one receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: Key,
    /// Whether it is about the window after the datagram's.
    pub next: bool,
    /// The sender's round when it was made; `want` counts once for each version.
    pub version: u64,
    /// The amount the sender has spent.
    pub spent: u32,
    /// The amount the sender holds.
    pub held: u32,
    /// The total amount that the sender has transferred to this run.
    pub given: u32,
    /// The amount the sender requests from the receiver.
    pub want: u32,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The number of the sender's list of instances.
    pub list: u32,
    /// The index of the sender.
    pub from: u16,
    /// The index of the receiver.
    pub to: u16,
    /// The sender's run.
    pub run_id: RunId,
    /// The receiver's run that it is addressed to; 0 if none is known.
    pub to_run_id: RunId,
    /// The number of the datagram in the sender's run.
    pub number: u64,
    /// The sender's clock, in milliseconds.
    pub time: u64,
    /// By how much the receiver's clock appeared ahead in its last datagram, in milliseconds.
    pub ahead: i64,
    /// The latest version of the receiver that the sender has received.
    pub received_version: u64,
    /// The sender's ballots.
    pub ballots: Vec<Ballot>,
    /// The window that the entries are about.
    pub window: u64,
    /// The entries contain the transfers after the first of these versions, up to the second.
    pub versions: (u64, u64),
    /// A digest over all transfers to this run in these windows; `None` if it is not included this time.
    pub digest: Option<u64>,
    /// The entries.
    pub entries: Vec<Entry>,
}

/// Why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramError {
    /// Longer than the maximum.
    TooLong,
    /// Not authenticated by the shared secret.
    Unauthenticated,
    /// Malformed.
    Malformed,
    /// The sender uses another list of instances.
    OtherList,
}

/// The number of entries that fit into a datagram among `n` instances.
pub fn max_entries(n: usize) -> usize {
    (MAX_DATAGRAM_BYTES - HEADER_BYTES - 1 - 2 * (8 + 2 * n.div_ceil(8)) - 8 - 16 - 9 - 2 - TAG_BYTES)
        / ENTRY_BYTES
}

impl Message {
    /// Serializes and authenticates the message.
    pub fn write(&self, secret: &Secret) -> Vec<u8> {
        let mut out = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        out.extend(MAGIC.to_be_bytes());
        out.extend(self.list.to_be_bytes());
        out.extend(self.from.to_be_bytes());
        out.extend(self.to.to_be_bytes());
        for number in [self.run_id.0, self.to_run_id.0, self.number, self.time, self.received_version] {
            out.extend(number.to_be_bytes());
        }
        out.extend(self.ahead.to_be_bytes());
        out.push(self.ballots.len() as u8);
        for ballot in &self.ballots {
            out.extend(ballot.window.to_be_bytes());
            out.extend(ballot.alive.bytes());
            out.extend(ballot.gone.bytes());
        }
        for number in [self.window, self.versions.0, self.versions.1] {
            out.extend(number.to_be_bytes());
        }
        out.push(u8::from(self.digest.is_some()));
        out.extend(self.digest.unwrap_or(0).to_be_bytes());
        out.extend((self.entries.len() as u16).to_be_bytes());
        for entry in &self.entries {
            out.extend(entry.key.0.to_be_bytes());
            out.push(u8::from(entry.next));
            out.extend(entry.version.to_be_bytes());
            for number in [entry.spent, entry.held, entry.given, entry.want] {
                out.extend(number.to_be_bytes());
            }
        }
        secret.seal(out)
    }

    /// Authenticates and parses a datagram of `n` instances with this list.
    ///
    /// # Errors
    /// When it is too long, not authenticated, malformed, or from an instance with another list.
    pub fn read(bytes: &[u8], list: u32, n: usize, secret: &Secret) -> Result<Self, DatagramError> {
        let payload = secret.open(bytes).map_err(|unsealed| match unsealed {
            OpenError::TooLong => DatagramError::TooLong,
            OpenError::TooShort => DatagramError::Malformed,
            OpenError::InvalidTag => DatagramError::Unauthenticated,
        })?;
        let mut reader = Reader::new(payload);
        if payload.get(4..8).is_some_and(|number| number != list.to_be_bytes()) {
            return Err(DatagramError::OtherList);
        }
        Self::parse(&mut reader, n).filter(|_| reader.is_empty()).ok_or(DatagramError::Malformed)
    }

    fn parse(r: &mut Reader, n: usize) -> Option<Self> {
        if r.u32()? != MAGIC {
            return None;
        }
        let (list, from, to) = (r.u32()?, r.u16()?, r.u16()?);
        let (run_id, to_run_id) = (RunId(r.u64()?), RunId(r.u64()?));
        let (number, time, received_version, ahead) = (r.u64()?, r.u64()?, r.u64()?, r.u64()? as i64);
        let mut ballots = Vec::new();
        for _ in 0..r.take(1)?[0].min(3) {
            let window = r.u64()?;
            let mut set = || InstanceSet::read(r.take(n.div_ceil(8))?, n);
            ballots.push(Ballot { window, alive: set()?, gone: set()? });
        }
        let (window, versions) = (r.u64()?, (r.u64()?, r.u64()?));
        let digest = (r.take(1)?[0] == 1, r.u64()?);
        let mut entries = Vec::new();
        for _ in 0..r.u16()? {
            let (key, next, version) = (Key(r.u64()?), r.take(1)?[0] == 1, r.u64()?);
            let (spent, held, given, want) = (r.u32()?, r.u32()?, r.u32()?, r.u32()?);
            entries.push(Entry { key, next, version, spent, held, given, want });
        }
        let digest = digest.0.then_some(digest.1);
        Some(Self {
            list,
            from,
            to,
            run_id,
            to_run_id,
            number,
            time,
            received_version,
            ahead,
            ballots,
            window,
            versions,
            digest,
            entries,
        })
    }
}
