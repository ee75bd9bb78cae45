//! The datagrams that members exchange.
//!
//! Each begins with the sender's own record and ends with as many rumours as fit. Replayed datagrams do no
//! harm: records are ordered by incarnation, and answers carry the number of the probe that they answer.

use std::net::{IpAddr, SocketAddr};

use glenwood_datagram::{
    stable_hash, write_length_prefixed, OpenError, Reader, Secret, MAX_DATAGRAM_BYTES, TAG_BYTES,
};

use crate::record::{Id, Member, Record, State, MAX_NAME_BYTES, MAX_ZONE_BYTES};

/// The first four bytes of each datagram.
pub const MAGIC: u32 = 0x474c_4d31;
/// The largest incarnation accepted, so that there is always room for a newer one.
const MAX_INCARNATION: u64 = 1 << 62;
/// Number of buckets that a table is divided into for comparison.
pub const DIGEST_BUCKETS: usize = 32;
/// Maximum number of accusers listed with a suspect.
pub const MAX_ACCUSERS: usize = 4;

/// Why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramError {
    /// Too long, or not authenticated by the shared secret.
    Unauthenticated,
    /// Malformed.
    Malformed,
    /// Its sender belongs to another cluster.
    OtherCluster,
}

/// The type and contents of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Asks for an [`Body::Ack`] with the same number.
    Ping(u64),
    /// Asks the receiver to probe another member and to forward its answer.
    PingFor(u64, Id),
    /// The answer to a ping.
    Ack(u64),
    /// The answer to a `PingFor` whose target did not answer. It shows that the helper itself is alive.
    Nack(u64),
    /// Digests of the buckets of the sender's table. The receiver sends its records of the buckets that
    /// differ and, if the flag is set, its own digests.
    Compare([u32; DIGEST_BUCKETS], bool),
    /// Nothing but rumours.
    Rumours,
}

/// A record and, if the member is a suspect, its accusers.
pub type Rumour = (Record, Vec<Id>);

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The sender's record of itself.
    pub from: Record,
    /// The message itself.
    pub body: Body,
    /// The rumours sent along.
    pub rumours: Vec<Rumour>,
}

/// The number that identifies a cluster on the wire, derived from its name.
pub fn cluster_number(name: &str) -> u32 {
    stable_hash(&[b"cluster", name.as_bytes()]) as u32
}

fn write_address(out: &mut Vec<u8>, address: SocketAddr) {
    match address.ip() {
        IpAddr::V4(ip) => {
            out.push(4);
            out.extend(ip.octets());
        }
        IpAddr::V6(ip) => {
            out.push(6);
            out.extend(ip.octets());
        }
    }
    out.extend(address.port().to_be_bytes());
}

fn read_address(r: &mut Reader) -> Option<SocketAddr> {
    let ip: IpAddr = match r.u8()? {
        4 => <[u8; 4]>::try_from(r.take(4)?).ok()?.into(),
        6 => <[u8; 16]>::try_from(r.take(16)?).ok()?.into(),
        _ => return None,
    };
    Some(SocketAddr::new(ip, r.u16()?))
}

fn write_record(out: &mut Vec<u8>, record: &Record) {
    out.push(record.state as u8);
    out.extend(record.incarnation.to_be_bytes());
    out.extend(record.member.start_id.to_be_bytes());
    write_length_prefixed(out, record.member.name.as_bytes());
    write_length_prefixed(out, record.member.zone.as_bytes());
    write_address(out, record.member.address);
}

fn read_record(r: &mut Reader) -> Option<Record> {
    let state = match r.u8()? {
        0 => State::Alive,
        1 => State::Suspect,
        2 => State::Lost,
        3 => State::Left,
        _ => return None,
    };
    let (incarnation, start_id) = (r.u64()?, r.u64()?);
    let (name, zone) = (r.text()?, r.text()?);
    if name.is_empty()
        || name.len() > MAX_NAME_BYTES
        || zone.len() > MAX_ZONE_BYTES
        || incarnation > MAX_INCARNATION
    {
        return None;
    }
    let (name, zone) = (name.to_string(), zone.to_string());
    let address = read_address(r)?;
    Some(Record { member: Member { name, start_id, address, zone }, incarnation, state })
}

fn write_rumour(out: &mut Vec<u8>, (record, accusers): &Rumour) {
    write_record(out, record);
    if record.state == State::Suspect {
        let listed = accusers.len().min(MAX_ACCUSERS);
        out.push(listed as u8);
        for accuser in &accusers[..listed] {
            out.extend(accuser.0.to_be_bytes());
        }
    }
}

fn read_rumour(r: &mut Reader) -> Option<Rumour> {
    let record = read_record(r)?;
    let mut accusers = Vec::new();
    if record.state == State::Suspect {
        let listed = usize::from(r.u8()?);
        if listed > MAX_ACCUSERS {
            return None;
        }
        for _ in 0..listed {
            accusers.push(Id(r.u64()?));
        }
    }
    Some((record, accusers))
}

/// A datagram under construction; rumours are added while there is room.
#[derive(Debug)]
pub struct Draft {
    out: Vec<u8>,
    count_offset: usize,
}

impl Draft {
    /// Starts a datagram from this sender.
    pub fn new(cluster: u32, from: &Record, body: &Body) -> Self {
        let mut out = Vec::with_capacity(256);
        out.extend(MAGIC.to_be_bytes());
        out.extend(cluster.to_be_bytes());
        write_record(&mut out, from);
        match body {
            Body::Ping(number) => {
                out.push(0);
                out.extend(number.to_be_bytes());
            }
            Body::PingFor(number, target) => {
                out.push(1);
                out.extend(number.to_be_bytes());
                out.extend(target.0.to_be_bytes());
            }
            Body::Ack(number) => {
                out.push(2);
                out.extend(number.to_be_bytes());
            }
            Body::Nack(number) => {
                out.push(3);
                out.extend(number.to_be_bytes());
            }
            Body::Compare(digests, reply) => {
                out.push(4);
                out.extend(digests.iter().flat_map(|digest| digest.to_be_bytes()));
                out.push(u8::from(*reply));
            }
            Body::Rumours => out.push(5),
        }
        let count_offset = out.len();
        out.push(0);
        Self { out, count_offset }
    }

    /// Adds a rumour; returns `false` if there is no room.
    pub fn add(&mut self, rumour: &Rumour) -> bool {
        let previous_len = self.out.len();
        if self.out[self.count_offset] == u8::MAX {
            return false;
        }
        write_rumour(&mut self.out, rumour);
        if self.out.len() + TAG_BYTES > MAX_DATAGRAM_BYTES {
            self.out.truncate(previous_len);
            return false;
        }
        self.out[self.count_offset] += 1;
        true
    }

    /// Whether it contains no rumours.
    pub fn is_empty(&self) -> bool {
        self.out[self.count_offset] == 0
    }

    /// Finishes and authenticates the datagram and returns its bytes.
    pub fn seal(self, secret: &Secret) -> Vec<u8> {
        secret.seal(self.out)
    }
}

impl Message {
    /// Authenticates and parses a datagram.
    ///
    /// # Errors
    /// When it is from another cluster, is not authenticated or is malformed.
    pub fn read(bytes: &[u8], cluster: u32, secret: &Secret) -> Result<Self, DatagramError> {
        let payload = secret.open(bytes).map_err(|unsealed| match unsealed {
            OpenError::TooLong | OpenError::InvalidTag => DatagramError::Unauthenticated,
            OpenError::TooShort => DatagramError::Malformed,
        })?;
        let mut r = Reader::new(payload);
        if r.u32() != Some(MAGIC) {
            return Err(DatagramError::Malformed);
        }
        if r.u32() != Some(cluster) {
            return Err(DatagramError::OtherCluster);
        }
        Self::parse(&mut r).filter(|_| r.is_empty()).ok_or(DatagramError::Malformed)
    }

    fn parse(r: &mut Reader) -> Option<Self> {
        let from = read_record(r)?;
        let body = match r.u8()? {
            0 => Body::Ping(r.u64()?),
            1 => Body::PingFor(r.u64()?, Id(r.u64()?)),
            2 => Body::Ack(r.u64()?),
            3 => Body::Nack(r.u64()?),
            4 => {
                let mut digests = [0; DIGEST_BUCKETS];
                for digest in &mut digests {
                    *digest = r.u32()?;
                }
                Body::Compare(digests, r.u8()? == 1)
            }
            5 => Body::Rumours,
            _ => return None,
        };
        let count = usize::from(r.u8()?);
        let rumours = (0..count).map(|_| read_rumour(r)).collect::<Option<_>>()?;
        Some(Self { from, body, rumours })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn record() -> impl Strategy<Value = Record> {
        let state =
            prop_oneof![Just(State::Alive), Just(State::Suspect), Just(State::Lost), Just(State::Left)];
        let address = (any::<std::net::IpAddr>(), any::<u16>()).prop_map(SocketAddr::from);
        ("[a-z0-9-]{1,48}", "[a-z]{0,24}", address, any::<u64>(), 0..=MAX_INCARNATION, state).prop_map(
            |(name, zone, address, start_id, incarnation, state)| Record {
                member: Member { name, start_id, address, zone },
                incarnation,
                state,
            },
        )
    }

    fn body() -> impl Strategy<Value = Body> {
        prop_oneof![
            any::<u64>().prop_map(Body::Ping),
            (any::<u64>(), any::<u64>()).prop_map(|(n, id)| Body::PingFor(n, Id(id))),
            any::<u64>().prop_map(Body::Ack),
            any::<u64>().prop_map(Body::Nack),
            (any::<[u32; DIGEST_BUCKETS]>(), any::<bool>())
                .prop_map(|(digests, reply)| Body::Compare(digests, reply)),
            Just(Body::Rumours),
        ]
    }

    proptest! {
        #[test]
        fn a_written_message_is_read_back_unchanged(
            from in record(),
            body in body(),
            rumours in proptest::collection::vec((record(), proptest::collection::vec(any::<u64>(), 0..4)), 0..40),
        ) {
            let secret = Secret::new(b"ours");
            let mut draft = Draft::new(7, &from, &body);
            let mut fitted = Vec::new();
            for (record, accusers) in rumours {
                let listed = if record.state == State::Suspect { accusers } else { Vec::new() };
                let rumour = (record, listed.into_iter().map(Id).collect());
                if draft.add(&rumour) {
                    fitted.push(rumour);
                }
            }
            let bytes = draft.seal(&secret);
            prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
            let read = Message::read(&bytes, 7, &secret);
            prop_assert_eq!(read, Ok(Message { from, body, rumours: fitted }));
            prop_assert_eq!(Message::read(&bytes, 8, &secret), Err(DatagramError::OtherCluster));
            prop_assert_eq!(Message::read(&bytes, 7, &Secret::new(b"theirs")), Err(DatagramError::Unauthenticated));
        }

        #[test]
        fn arbitrary_bytes_never_cause_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
            let secret = Secret::new(b"ours");
            let mut payload = MAGIC.to_be_bytes().to_vec();
            payload.extend(7u32.to_be_bytes());
            payload.extend(bytes);
            let _ = Message::read(&secret.seal(payload), 7, &secret);
        }
    }
}
