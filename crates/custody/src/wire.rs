//! The datagram format: several requests and replies about works in one datagram, authenticated by a
//! keyed digest.
//!
//! A datagram carries its sending time. The receiver drops it if that time differs from its own by more
//! than a fraction of an entry's lifetime, because a message that is delayed or replayed for longer could
//! refer to a register that has expired.

use bytes::Bytes;
use glenwood_datagram::{stable_hash, write_length_prefixed, Reader, Secret, MAX_DATAGRAM_BYTES, TAG_BYTES};

use crate::keeper::{Reply, Request};
use crate::proposer::RegisterOp;
use crate::register::{
    Answer, Ballot, Blob, Effect, Incarnation, IntendedAttempt, NodeId, Record, Stamp, Verdict, Work,
    WorkDescription,
};

/// Marks a custody datagram ("GLC1" in ASCII).
const MAGIC: u32 = 0x474c_4331;
/// Maximum number of attempts in a record.
pub const MAX_ATTEMPTS: usize = 8;
/// Maximum length of a class name in bytes.
pub const MAX_CLASS_BYTES: usize = 64;

/// One message of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// A request to a keeper.
    Request(Work, Request),
    /// A keeper's reply.
    Reply(Work, Reply),
    /// The sender's incarnation is alive and holds works, even if its membership may have passed to a
    /// successor.
    Alive,
}

/// The header of a datagram: its sender and when it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Number of the sender's cluster (see [`cluster_number`]).
    pub cluster: u32,
    /// The sender's incarnation.
    pub sender: Incarnation,
    /// The sender's roster epoch, and whether it also uses the previous roster.
    pub epoch: (u32, bool),
    /// The sender's clock, Unix time in milliseconds.
    pub sent_at_ms: u64,
}

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The digest does not match the secret.
    InvalidTag,
    /// The contents can't be parsed.
    Malformed,
    /// It belongs to another cluster.
    OtherCluster,
}

/// Derives a cluster's number from its name.
pub fn cluster_number(name: &str) -> u32 {
    stable_hash(&[b"custody", name.as_bytes()]) as u32
}

fn write_u64s(out: &mut Vec<u8>, numbers: &[u64]) {
    numbers.iter().for_each(|number| out.extend(number.to_be_bytes()));
}

fn write_stamp(out: &mut Vec<u8>, stamp: Stamp) {
    write_u64s(out, &[stamp.ballot.round, stamp.ballot.incarnation]);
    out.extend(stamp.version.to_be_bytes());
}

fn write_blob(out: &mut Vec<u8>, blob: Blob) {
    write_u64s(out, &[blob.digest]);
    out.extend(blob.length.to_be_bytes());
}

fn write_record(out: &mut Vec<u8>, record: &Record) {
    match record.holder {
        Some(holder) => {
            out.push(1);
            write_u64s(out, &[holder.node.0, holder.number]);
        }
        None => out.push(0),
    }
    let sent = &record.sent[..record.sent.len().min(MAX_ATTEMPTS)];
    out.push(sent.len() as u8);
    for sent in sent {
        write_u64s(out, &[sent.server, sent.zone, sent.cell]);
        out.extend(sent.at_ms.to_be_bytes());
        out.push(u8::from(sent.never_ran));
    }
    match record.verdict {
        None => out.push(0),
        Some(Verdict::Served(blob)) => {
            out.push(1);
            write_blob(out, blob);
        }
        Some(Verdict::ServedLong) => out.push(2),
        Some(Verdict::Rejected) => out.push(3),
        Some(Verdict::MayHaveRun) => out.push(4),
    }
    out.push(u8::from(record.about.effect == Effect::Unsafe));
    write_length_prefixed(
        out,
        &record.about.class.as_bytes()[..record.about.class.len().min(MAX_CLASS_BYTES)],
    );
    out.extend(record.about.remaining_ms.to_be_bytes());
    match record.about.request {
        Some(blob) => {
            out.push(1);
            write_blob(out, blob);
        }
        None => out.push(0),
    }
}

fn read_stamp(r: &mut Reader) -> Option<Stamp> {
    Some(Stamp { ballot: read_ballot(r)?, version: r.u32()? })
}

fn read_ballot(r: &mut Reader) -> Option<Ballot> {
    Some(Ballot { round: r.u64()?, incarnation: r.u64()? })
}

fn read_blob(r: &mut Reader) -> Option<Blob> {
    Some(Blob { digest: r.u64()?, length: r.u32()? })
}

fn read_record(r: &mut Reader) -> Option<Record> {
    let holder = match r.u8()? {
        0 => None,
        _ => Some(Incarnation { node: NodeId(r.u64()?), number: r.u64()? }),
    };
    let count = usize::from(r.u8()?);
    if count > MAX_ATTEMPTS {
        return None;
    }
    let mut sent = Vec::with_capacity(count);
    for _ in 0..count {
        let (server, zone, cell) = (r.u64()?, r.u64()?, r.u64()?);
        sent.push(IntendedAttempt { server, zone, cell, at_ms: r.u32()?, never_ran: r.u8()? == 1 });
    }
    let verdict = match r.u8()? {
        0 => None,
        1 => Some(Verdict::Served(read_blob(r)?)),
        2 => Some(Verdict::ServedLong),
        3 => Some(Verdict::Rejected),
        4 => Some(Verdict::MayHaveRun),
        _ => return None,
    };
    let effect = if r.u8()? == 1 { Effect::Unsafe } else { Effect::Keyed };
    let class = r.text()?.to_string();
    let remaining_ms = r.u32()?;
    let request = if r.u8()? == 1 { Some(read_blob(r)?) } else { None };
    Some(Record { holder, sent, verdict, about: WorkDescription { effect, class, remaining_ms, request } })
}

fn write_prefixed(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend((bytes.len() as u16).to_be_bytes());
    out.extend(bytes);
}

fn read_prefixed(r: &mut Reader) -> Option<Bytes> {
    let length = usize::from(r.u16()?);
    r.take(length).map(Bytes::copy_from_slice)
}

fn write_work(out: &mut Vec<u8>, kind: u8, work: Work) {
    out.push(kind);
    write_u64s(out, &[work.slot.0, work.slot.1, work.nonce]);
}

impl Message {
    fn write(&self, out: &mut Vec<u8>) {
        match self {
            Self::Request(work, Request::Register(op, marked)) => {
                let kind = match op {
                    RegisterOp::PrepareNew(_) if *marked => 1,
                    RegisterOp::PrepareNew(_) => 0,
                    RegisterOp::Prepare(_) => 2,
                    RegisterOp::Accept(..) => 3,
                    RegisterOp::Read => 4,
                };
                write_work(out, kind, *work);
                match op {
                    RegisterOp::PrepareNew(ballot) | RegisterOp::Prepare(ballot) => {
                        write_u64s(out, &[ballot.round, ballot.incarnation]);
                    }
                    RegisterOp::Accept(stamp, record) => {
                        write_stamp(out, *stamp);
                        write_record(out, record);
                    }
                    RegisterOp::Read => {}
                }
            }
            Self::Request(work, Request::StorePiece(blob, piece, bytes)) => {
                write_work(out, 5, *work);
                write_blob(out, *blob);
                out.push(*piece);
                write_prefixed(out, bytes);
            }
            Self::Request(work, Request::FetchPieces(blob, want)) => {
                write_work(out, 6, *work);
                write_blob(out, *blob);
                out.extend(want.to_be_bytes());
            }
            Self::Reply(work, Reply::Answer { answer, age, holder_alive }) => {
                let kind = match answer {
                    Answer::Promised(..) => 10,
                    Answer::Stored(..) => 11,
                    Answer::Empty => 12,
                    Answer::Accepted(_) => 13,
                    Answer::Preempted(_) => 14,
                };
                write_work(out, kind, *work);
                out.extend(age.to_be_bytes());
                out.push(u8::from(*holder_alive));
                match answer {
                    Answer::Promised(ballot, accepted) => {
                        write_u64s(out, &[ballot.round, ballot.incarnation]);
                        out.push(u8::from(accepted.is_some()));
                        if let Some((stamp, record)) = accepted {
                            write_stamp(out, *stamp);
                            write_record(out, record);
                        }
                    }
                    Answer::Stored(stamp, record) => {
                        write_stamp(out, *stamp);
                        write_record(out, record);
                    }
                    Answer::Empty => {}
                    Answer::Accepted(stamp) => write_stamp(out, *stamp),
                    Answer::Preempted(ballot) => write_u64s(out, &[ballot.round, ballot.incarnation]),
                }
            }
            Self::Reply(work, Reply::OtherWorks(nonces)) => {
                write_work(out, 15, *work);
                out.push(nonces.len() as u8);
                write_u64s(out, nonces);
            }
            Self::Reply(work, Reply::HavePieces(blob, have)) => {
                write_work(out, 16, *work);
                write_blob(out, *blob);
                out.extend(have.to_be_bytes());
            }
            Self::Reply(work, Reply::Piece(blob, piece, bytes)) => {
                write_work(out, 17, *work);
                write_blob(out, *blob);
                out.push(*piece);
                write_prefixed(out, bytes);
            }
            Self::Reply(work, Reply::NotVoting) => write_work(out, 18, *work),
            Self::Reply(work, Reply::AtCapacity) => write_work(out, 19, *work),
            Self::Alive => out.push(20),
        }
    }

    fn read(r: &mut Reader) -> Option<Self> {
        let kind = r.u8()?;
        if kind == 20 {
            return Some(Self::Alive);
        }
        let work = Work { slot: (r.u64()?, r.u64()?), nonce: r.u64()? };
        let register_request = |op, marked| Self::Request(work, Request::Register(op, marked));
        let message = match kind {
            0 | 1 => register_request(RegisterOp::PrepareNew(read_ballot(r)?), kind == 1),
            2 => register_request(RegisterOp::Prepare(read_ballot(r)?), false),
            3 => register_request(RegisterOp::Accept(read_stamp(r)?, read_record(r)?), false),
            4 => register_request(RegisterOp::Read, false),
            5 => Self::Request(work, Request::StorePiece(read_blob(r)?, r.u8()?, read_prefixed(r)?)),
            6 => Self::Request(work, Request::FetchPieces(read_blob(r)?, read_u128(r)?)),
            10..=14 => {
                let (age, holder_alive) = (r.u32()?, r.u8()? == 1);
                let answer = match kind {
                    10 => {
                        let ballot = read_ballot(r)?;
                        let accepted = match r.u8()? {
                            0 => None,
                            _ => Some((read_stamp(r)?, read_record(r)?)),
                        };
                        Answer::Promised(ballot, accepted)
                    }
                    11 => Answer::Stored(read_stamp(r)?, read_record(r)?),
                    12 => Answer::Empty,
                    13 => Answer::Accepted(read_stamp(r)?),
                    _ => Answer::Preempted(read_ballot(r)?),
                };
                Self::Reply(work, Reply::Answer { answer, age, holder_alive })
            }
            15 => {
                let count = r.u8()?;
                let nonces = (0..count).map(|_| r.u64()).collect::<Option<_>>()?;
                Self::Reply(work, Reply::OtherWorks(nonces))
            }
            16 => Self::Reply(work, Reply::HavePieces(read_blob(r)?, read_u128(r)?)),
            17 => Self::Reply(work, Reply::Piece(read_blob(r)?, r.u8()?, read_prefixed(r)?)),
            18 => Self::Reply(work, Reply::NotVoting),
            19 => Self::Reply(work, Reply::AtCapacity),
            _ => return None,
        };
        Some(message)
    }
}

fn read_u128(r: &mut Reader) -> Option<u128> {
    Some(u128::from_be_bytes(r.take(16)?.try_into().ok()?))
}

/// Encodes messages to one receiver, with as many as fit in each datagram.
pub fn write(header: &Header, messages: &[Message], secret: &Secret) -> Vec<Vec<u8>> {
    let header_bytes = {
        let mut out = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        out.extend(MAGIC.to_be_bytes());
        out.extend(header.cluster.to_be_bytes());
        write_u64s(&mut out, &[header.sender.node.0, header.sender.number, header.sent_at_ms]);
        out.extend(header.epoch.0.to_be_bytes());
        out.push(u8::from(header.epoch.1));
        out
    };
    let (mut sealed, mut out, mut encoded) = (Vec::new(), header_bytes.clone(), Vec::new());
    for message in messages {
        encoded.clear();
        message.write(&mut encoded);
        if out.len() + encoded.len() + TAG_BYTES > MAX_DATAGRAM_BYTES && out.len() > header_bytes.len() {
            sealed.push(secret.seal(std::mem::replace(&mut out, header_bytes.clone())));
        }
        out.extend(&encoded);
    }
    if out.len() > header_bytes.len() {
        sealed.push(secret.seal(out));
    }
    sealed
}

/// Decodes a datagram.
///
/// # Errors
/// If it belongs to another cluster, was not made with the secret, or can't be parsed.
pub fn read(bytes: &[u8], cluster: u32, secret: &Secret) -> Result<(Header, Vec<Message>), DecodeError> {
    let payload = secret.open(bytes).map_err(|_| DecodeError::InvalidTag)?;
    let mut r = Reader::new(payload);
    if r.u32() != Some(MAGIC) {
        return Err(DecodeError::Malformed);
    }
    if r.u32() != Some(cluster) {
        return Err(DecodeError::OtherCluster);
    }
    let mut parse = || {
        let sender = Incarnation { node: NodeId(r.u64()?), number: r.u64()? };
        let header = Header { cluster, sender, sent_at_ms: r.u64()?, epoch: (r.u32()?, r.u8()? == 1) };
        let mut messages = Vec::new();
        while !r.is_empty() {
            messages.push(Message::read(&mut r)?);
        }
        Some((header, messages))
    };
    parse().ok_or(DecodeError::Malformed)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn blob() -> impl Strategy<Value = Blob> {
        (any::<u64>(), 0..128_000u32).prop_map(|(digest, length)| Blob { digest, length })
    }

    fn record() -> impl Strategy<Value = Record> {
        let incarnation = (any::<u64>(), any::<u64>())
            .prop_map(|(node, incarnation)| Incarnation { node: NodeId(node), number: incarnation });
        let sent = (any::<(u64, u64, u64)>(), any::<u32>(), any::<bool>()).prop_map(
            |((server, zone, cell), at, never)| IntendedAttempt {
                server,
                zone,
                cell,
                at_ms: at,
                never_ran: never,
            },
        );
        let verdict = prop_oneof![
            blob().prop_map(Verdict::Served),
            Just(Verdict::ServedLong),
            Just(Verdict::Rejected),
            Just(Verdict::MayHaveRun)
        ];
        let effect = prop_oneof![Just(Effect::Keyed), Just(Effect::Unsafe)];
        let about = (effect, "[a-z]{0,64}", any::<u32>(), proptest::option::of(blob())).prop_map(
            |(effect, class, remaining_ms, request)| WorkDescription { effect, class, remaining_ms, request },
        );
        let attempts = proptest::collection::vec(sent, 0..=MAX_ATTEMPTS);
        (proptest::option::of(incarnation), attempts, proptest::option::of(verdict), about)
            .prop_map(|(holder, sent, verdict, about)| Record { holder, sent, verdict, about })
    }

    fn ballot() -> impl Strategy<Value = Ballot> {
        any::<(u64, u64)>().prop_map(|(round, incarnation)| Ballot { round, incarnation })
    }

    fn stamp() -> impl Strategy<Value = Stamp> {
        (ballot(), any::<u32>()).prop_map(|(ballot, version)| Stamp { ballot, version })
    }

    fn bytes() -> impl Strategy<Value = Bytes> {
        proptest::collection::vec(any::<u8>(), 0..1000).prop_map(Bytes::from)
    }

    fn message() -> impl Strategy<Value = Message> {
        let request = prop_oneof![
            (ballot(), any::<bool>())
                .prop_map(|(b, marked)| Request::Register(RegisterOp::PrepareNew(b), marked)),
            ballot().prop_map(|b| Request::Register(RegisterOp::Prepare(b), false)),
            (stamp(), record()).prop_map(|(s, r)| Request::Register(RegisterOp::Accept(s, r), false)),
            Just(Request::Register(RegisterOp::Read, false)),
            (blob(), any::<u8>(), bytes()).prop_map(|(b, n, bytes)| Request::StorePiece(b, n, bytes)),
            (blob(), any::<u128>()).prop_map(|(b, want)| Request::FetchPieces(b, want)),
        ];
        let answer = prop_oneof![
            (ballot(), proptest::option::of((stamp(), record()))).prop_map(|(b, a)| Answer::Promised(b, a)),
            (stamp(), record()).prop_map(|(s, r)| Answer::Stored(s, r)),
            Just(Answer::Empty),
            stamp().prop_map(Answer::Accepted),
            ballot().prop_map(Answer::Preempted),
        ];
        let reply = prop_oneof![
            (answer, any::<u32>(), any::<bool>()).prop_map(|(answer, age, holder_alive)| Reply::Answer {
                answer,
                age,
                holder_alive
            }),
            proptest::collection::vec(any::<u64>(), 0..5).prop_map(Reply::OtherWorks),
            (blob(), any::<u128>()).prop_map(|(b, have)| Reply::HavePieces(b, have)),
            (blob(), any::<u8>(), bytes()).prop_map(|(b, n, bytes)| Reply::Piece(b, n, bytes)),
            Just(Reply::NotVoting),
            Just(Reply::AtCapacity),
        ];
        let work = any::<(u64, u64, u64)>().prop_map(|(a, b, nonce)| Work { slot: (a, b), nonce });
        prop_oneof![
            (work.clone(), request).prop_map(|(work, request)| Message::Request(work, request)),
            (work, reply).prop_map(|(work, reply)| Message::Reply(work, reply)),
            Just(Message::Alive),
        ]
    }

    proptest! {
        #[test]
        fn messages_round_trip_in_order_and_no_datagram_exceeds_the_maximum(
            messages in proptest::collection::vec(message(), 1..12),
            time in any::<u64>(),
            epoch in any::<(u32, bool)>(),
        ) {
            let secret = Secret::new(b"ours");
            let from = Header { cluster: 7, sender: Incarnation { node: NodeId(1), number: 2 }, epoch, sent_at_ms: time };
            let datagrams = write(&from, &messages, &secret);
            let mut decoded = Vec::new();
            for bytes in &datagrams {
                prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
                let (header, decoded_here) = read(bytes, 7, &secret).expect("a written datagram is readable");
                prop_assert_eq!(header, from);
                decoded.extend(decoded_here);
                prop_assert_eq!(read(bytes, 8, &secret), Err(DecodeError::OtherCluster));
                prop_assert_eq!(read(bytes, 7, &Secret::new(b"theirs")), Err(DecodeError::InvalidTag));
            }
            prop_assert_eq!(decoded, messages);
        }

        #[test]
        fn decoding_arbitrary_bytes_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
            let secret = Secret::new(b"ours");
            let mut payload = MAGIC.to_be_bytes().to_vec();
            payload.extend(7u32.to_be_bytes());
            payload.extend(bytes);
            let _ = read(&secret.seal(payload), 7, &secret);
        }
    }
}
