//! A keeper stores registers and the blobs that belong to them. Every entry expires, so no disk storage
//! is needed: a restarted keeper gives no votes until every entry of its previous incarnation would have
//! expired.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;

use bytes::Bytes;
use serde::Serialize;

use crate::proposer::RegisterOp;
use crate::register::{Acceptor, Answer, Blob, Incarnation, Record, Verdict, Work};

/// How long an incarnation counts as alive after its last message, even if membership reports it as lost.
/// This lets a process that handed its address over to a successor finish its works.
pub const LIVENESS_MS: u64 = 500;
/// Length of a full blob piece in bytes.
pub const PIECE_BYTES: usize = 1000;
/// Maximum length of a blob in bytes: the pieces are tracked in a bitmask of 128 bits.
pub const MAX_BLOB_BYTES: usize = 128 * PIECE_BYTES;
/// Maximum number of pieces sent in reply to one request.
const MAX_PIECES_PER_REPLY: usize = 8;
/// Maximum number of other works of the same slot that one reply lists.
const MAX_OTHERS_LISTED: usize = 4;
/// Estimated memory of one entry without its blobs: a register with a few attempts.
const ENTRY_BYTES: usize = 512;

/// Limits of a keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long an entry lives after its last use, in milliseconds.
    pub entry_lifetime_ms: u64,
    /// Maximum number of works.
    pub max_works: usize,
    /// Maximum number of bytes, for entries and blobs together.
    pub max_bytes: usize,
}

/// A request to a keeper about one work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// An operation on the register. The flag is set for a client's marked repeat that does not name its
    /// first request.
    Register(RegisterOp, bool),
    /// Store this piece of a blob.
    StorePiece(Blob, u8, Bytes),
    /// Return some of the pieces selected by the bitmask.
    FetchPieces(Blob, u128),
}

/// A keeper's reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The result of an operation on the register.
    Answer {
        /// The result.
        answer: Answer,
        /// Age of the work at this keeper, in milliseconds.
        age: u32,
        /// The keeper received a message from the holder recently (see [`LIVENESS_MS`]).
        holder_alive: bool,
    },
    /// No promise was made, because these other works of the same slot exist. Lists their nonces.
    OtherWorks(Vec<u64>),
    /// Bitmask of the pieces of a blob that this keeper has.
    HavePieces(Blob, u128),
    /// One piece of a blob, with its index.
    Piece(Blob, u8, Bytes),
    /// The keeper started recently and gives no votes yet.
    NotVoting,
    /// The keeper has no capacity left.
    AtCapacity,
}

/// Counters since the start and current sizes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Figures {
    /// Works currently stored.
    pub works: u64,
    /// Bytes currently stored.
    pub bytes: u64,
    /// Works that expired.
    pub expired: u64,
    /// Requests rejected for lack of capacity.
    pub full: u64,
    /// Requests received while the keeper gave no votes.
    pub quiet: u64,
}

struct Entry {
    acceptor: Acceptor,
    created: u64,
    last_used: u64,
}

struct Pieces {
    bytes: Vec<Option<Bytes>>,
}

impl Pieces {
    fn present_mask(&self) -> u128 {
        let mask_bit = |(n, piece): (usize, &Option<Bytes>)| u128::from(piece.is_some()) << n;
        self.bytes.iter().enumerate().map(mask_bit).sum()
    }
}

/// Number of pieces of a blob.
pub fn piece_count(blob: Blob) -> usize {
    (blob.length as usize).div_ceil(PIECE_BYTES).max(1)
}

/// Bitmask that selects all pieces of a blob.
pub fn all_pieces_mask(blob: Blob) -> u128 {
    u128::MAX >> (128 - piece_count(blob).min(128))
}

/// Stores registers and blobs, within limits.
pub struct Keeper {
    settings: Settings,
    votes_from: u64,
    works: BTreeMap<Work, Entry>,
    blobs: BTreeMap<(Work, Blob), Pieces>,
    bytes: usize,
    /// When each entry may have expired, in order of time.
    expiries: VecDeque<(u64, Work)>,
    /// When the last message of each incarnation was received.
    last_seen: BTreeMap<Incarnation, u64>,
    figures: Figures,
}

impl Keeper {
    /// Creates a keeper that starts now.
    pub fn new(settings: Settings, now: u64) -> Self {
        Self {
            settings,
            votes_from: now + settings.entry_lifetime_ms,
            works: BTreeMap::new(),
            blobs: BTreeMap::new(),
            bytes: 0,
            expiries: VecDeque::new(),
            last_seen: BTreeMap::new(),
            figures: Figures::default(),
        }
    }

    /// Whether the keeper gives votes yet.
    pub fn is_voting(&self, now: u64) -> bool {
        now >= self.votes_from
    }

    /// Counters since the start and current sizes.
    pub fn figures(&self) -> Figures {
        Figures { works: self.works.len() as u64, bytes: self.bytes as u64, ..self.figures }
    }

    /// When [`Keeper::handle_timeout`] should be called next, or `None` if no entry can expire.
    pub fn next_timeout(&self) -> Option<u64> {
        self.expiries.front().map(|(at, _)| *at)
    }

    /// Removes expired entries.
    pub fn handle_timeout(&mut self, now: u64) {
        while let Some((_, work)) = self.expiries.front().copied().filter(|(at, _)| *at <= now) {
            self.expiries.pop_front();
            let Some(expires_at) =
                self.works.get(&work).map(|entry| entry.last_used + self.settings.entry_lifetime_ms)
            else {
                continue;
            };
            if expires_at > now {
                // The entry was used since it was queued. Inserting it by its new expiry keeps the queue
                // sorted: an entry that is used now is appended and expires no earlier than all others.
                let at = self.expiries.partition_point(|(at, _)| *at <= expires_at);
                self.expiries.insert(at, (expires_at, work));
                continue;
            }
            self.works.remove(&work);
            self.bytes = self.bytes.saturating_sub(ENTRY_BYTES);
            let key_range =
                (work, Blob { digest: 0, length: 0 })..=(work, Blob { digest: u64::MAX, length: u32::MAX });
            let blobs: Vec<(Work, Blob)> = self.blobs.range(key_range).map(|(key, _)| *key).collect();
            for key in blobs {
                let pieces = self.blobs.remove(&key);
                let freed: usize = pieces.iter().flat_map(|p| p.bytes.iter().flatten()).map(Bytes::len).sum();
                self.bytes = self.bytes.saturating_sub(freed);
            }
            self.figures.expired += 1;
        }
    }

    /// Records that a message of this incarnation was received.
    pub fn mark_alive(&mut self, now: u64, incarnation: Incarnation) {
        if self.last_seen.insert(incarnation, now).is_none() {
            self.last_seen.retain(|_, at| now - *at <= LIVENESS_MS);
        }
    }

    fn is_alive(&self, now: u64, incarnation: Incarnation) -> bool {
        self.last_seen.get(&incarnation).is_some_and(|at| now - *at <= LIVENESS_MS)
    }

    /// Handles a request about a work.
    pub fn handle_request(&mut self, now: u64, work: Work, request: Request) -> Reply {
        self.handle_timeout(now);
        if !self.is_voting(now) {
            self.figures.quiet += 1;
            return Reply::NotVoting;
        }
        match request {
            Request::Register(op, marked) => self.handle_register(now, work, &op, marked),
            Request::StorePiece(blob, piece, bytes) => {
                self.store_piece(work, blob, usize::from(piece), bytes)
            }
            Request::FetchPieces(blob, want) => {
                self.find_piece(work, blob, want).unwrap_or(Reply::HavePieces(blob, 0))
            }
        }
    }

    fn handle_register(&mut self, now: u64, work: Work, op: &RegisterOp, marked: bool) -> Reply {
        if let RegisterOp::Read = op {
            let Some(entry) = self.works.get(&work) else {
                return Reply::Answer { answer: Answer::Empty, age: 0, holder_alive: false };
            };
            return self.register_reply(now, entry, entry.acceptor.read());
        }
        if let RegisterOp::PrepareNew(_) = op {
            let others = self.other_nonces(work, marked);
            if !others.is_empty() {
                return Reply::OtherWorks(others);
            }
        }
        if let RegisterOp::Accept(_, Record { verdict: Some(Verdict::Served(blob)), .. }) = op {
            // A verdict is accepted only once its answer is complete here, so that a node that reads the
            // verdict can also fetch the answer.
            let stored = self.blobs.get(&(work, *blob)).map_or(0, Pieces::present_mask);
            if stored != all_pieces_mask(*blob) {
                return Reply::HavePieces(*blob, stored);
            }
        }
        if !self.works.contains_key(&work) {
            if self.works.len() >= self.settings.max_works
                || self.bytes + ENTRY_BYTES > self.settings.max_bytes
            {
                self.figures.full += 1;
                return Reply::AtCapacity;
            }
            self.bytes += ENTRY_BYTES;
            self.works.insert(work, Entry { acceptor: Acceptor::default(), created: now, last_used: now });
            self.expiries.push_back((now + self.settings.entry_lifetime_ms, work));
        }
        let Some(entry) = self.works.get_mut(&work) else { return Reply::AtCapacity };
        entry.last_used = now;
        let answer = match op {
            RegisterOp::PrepareNew(ballot) => entry.acceptor.prepare_new(*ballot),
            RegisterOp::Prepare(ballot) => entry.acceptor.prepare(*ballot),
            RegisterOp::Accept(stamp, record) => entry.acceptor.accept(*stamp, record),
            RegisterOp::Read => entry.acceptor.read(),
        };
        let entry = &self.works[&work];
        self.register_reply(now, entry, answer)
    }

    fn register_reply(&self, now: u64, entry: &Entry, answer: Answer) -> Reply {
        let holder = entry.acceptor.record().and_then(|record| record.holder);
        let holder_alive = holder.is_some_and(|holder| self.is_alive(now, holder));
        Reply::Answer { answer, age: age(now, entry), holder_alive }
    }

    /// Nonces of other works of the slot that matter to a request that opens this one: all of them for a
    /// marked repeat, else only a marked repeat, which may be a repeat of this request.
    fn other_nonces(&self, work: Work, marked: bool) -> Vec<u64> {
        let slot = |nonce| Work { slot: work.slot, nonce };
        let key_range = (Bound::Included(slot(0)), Bound::Included(slot(u64::MAX)));
        let nonces =
            self.works.range(key_range).map(|(other, _)| other.nonce).filter(|nonce| *nonce != work.nonce);
        nonces.filter(|nonce| marked || *nonce == Work::REPEAT).take(MAX_OTHERS_LISTED).collect()
    }

    fn store_piece(&mut self, work: Work, blob: Blob, piece: usize, bytes: Bytes) -> Reply {
        let count = piece_count(blob);
        let length = (blob.length as usize).saturating_sub(piece * PIECE_BYTES).min(PIECE_BYTES);
        if blob.length as usize > MAX_BLOB_BYTES || piece >= count || bytes.len() != length {
            return Reply::HavePieces(blob, 0);
        }
        // A blob without a register would never expire.
        if !self.works.contains_key(&work) || self.bytes + bytes.len() > self.settings.max_bytes {
            self.figures.full += 1;
            return Reply::AtCapacity;
        }
        let pieces = self.blobs.entry((work, blob)).or_insert_with(|| Pieces { bytes: vec![None; count] });
        if pieces.bytes[piece].is_none() {
            self.bytes += bytes.len();
            pieces.bytes[piece] = Some(bytes);
        }
        Reply::HavePieces(blob, pieces.present_mask())
    }

    fn find_piece(&self, work: Work, blob: Blob, want: u128) -> Option<Reply> {
        let pieces = self.blobs.get(&(work, blob))?;
        let wanted = |n: &usize| want >> n & 1 == 1;
        let piece = (0..pieces.bytes.len()).filter(wanted).find(|n| pieces.bytes[*n].is_some())?;
        Some(Reply::Piece(blob, piece as u8, pieces.bytes[piece].clone()?))
    }

    /// Returns the replies to a request for pieces.
    pub fn fetch_pieces(&self, now: u64, work: Work, blob: Blob, mut want: u128) -> Vec<Reply> {
        let mut replies = Vec::new();
        while self.is_voting(now) && replies.len() < MAX_PIECES_PER_REPLY {
            let Some(Reply::Piece(blob, piece, bytes)) = self.find_piece(work, blob, want) else { break };
            want &= !(1 << piece);
            replies.push(Reply::Piece(blob, piece, bytes));
        }
        if replies.is_empty() {
            replies.push(if self.is_voting(now) { Reply::HavePieces(blob, 0) } else { Reply::NotVoting });
        }
        replies
    }

    /// Works without a verdict whose holder is lost and was not heard from recently. Only works younger
    /// than half the lifetime of an entry, the longest a client may wait, are included, since each
    /// takeover extends the entry and a work could otherwise be taken over forever.
    pub fn orphans(&self, now: u64, lost: impl Fn(Incarnation) -> bool) -> Vec<Work> {
        let has_lost_holder = |holder: Incarnation| lost(holder) && !self.is_alive(now, holder);
        let is_orphan = |entry: &Entry| {
            let is_recent = now - entry.created < self.settings.entry_lifetime_ms / 2;
            is_recent
                && entry
                    .acceptor
                    .record()
                    .is_some_and(|r| r.verdict.is_none() && r.holder.is_some_and(has_lost_holder))
        };
        self.works.iter().filter(|(_, entry)| is_orphan(entry)).map(|(work, _)| *work).collect()
    }

    /// All works with the last accepted record and their age in milliseconds.
    pub fn works(&self, now: u64) -> impl Iterator<Item = (&Work, Option<&Record>, u32)> {
        self.works.iter().map(move |(work, entry)| (work, entry.acceptor.record(), age(now, entry)))
    }
}

fn age(now: u64, entry: &Entry) -> u32 {
    u32::try_from(now.saturating_sub(entry.created)).unwrap_or(u32::MAX)
}
