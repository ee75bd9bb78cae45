//! The register of one work at one keeper: the highest promised ballot and the last accepted record.

use serde::Serialize;

/// Identifies a node, derived from its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct NodeId(pub u64);

/// One incarnation of a node, from its start to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Incarnation {
    /// The node.
    pub node: NodeId,
    /// Distinguishes this start from all other starts of any node.
    #[serde(rename = "life")]
    pub number: u64,
}

/// Identity of a work: the operation and its caller and, if the request has no key, the first request for
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Work {
    /// Digest of the requested operation and its caller.
    pub slot: (u64, u64),
    /// 0 for a keyed request, [`Work::REPEAT`] for a marked repeat whose first request is unknown, else
    /// derived from the id of the first request.
    pub nonce: u64,
}

impl Work {
    /// The nonce of a marked repeat whose first request is unknown. Two such repeats at two nodes are the
    /// same work.
    pub const REPEAT: u64 = 1;
}

/// A ballot number. Ballots are totally ordered, and no two incarnations share one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Ballot {
    /// The round.
    pub round: u64,
    /// The incarnation that uses the ballot.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// A ballot and the version of the record written under it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Stamp {
    /// The ballot.
    pub ballot: Ballot,
    /// The version, counted from 1.
    pub version: u32,
}

/// Whether a class allows a request to be sent again. Safe classes are never guarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// May be sent again with its idempotency key.
    Keyed,
    /// Must not be sent again once an attempt may have been sent.
    Unsafe,
}

/// Digest and length of bytes that keepers store along with a register.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Blob {
    /// Digest of the bytes.
    pub digest: u64,
    /// Number of bytes.
    pub length: u32,
}

/// An attempt that a holder intended to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct IntendedAttempt {
    /// Number of the target server, the same on all nodes.
    pub server: u64,
    /// The server's zone.
    pub zone: u64,
    /// The server's cell.
    pub cell: u64,
    /// Time of the intent in milliseconds since the work began.
    #[serde(rename = "at")]
    pub at_ms: u32,
    /// The attempt is proven never to have run.
    #[serde(rename = "never")]
    pub never_ran: bool,
}

/// The final outcome of a work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// A server answered, and the keepers store the answer.
    Served(Blob),
    /// A server answered, but the answer is too long to be stored.
    ServedLong,
    /// The server rejected the request as invalid.
    Rejected,
    /// The work may have run and is not sent again.
    MayHaveRun,
}

/// The properties of a work; all but the time that a client waits are fixed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct WorkDescription {
    /// The effect of its class.
    pub effect: Effect,
    /// Name of its class.
    pub class: String,
    /// How long a client waits, counted from the beginning of the work; it ends early if all clients leave.
    pub remaining_ms: u32,
    /// The request, if it is short enough to be stored at the keepers.
    pub request: Option<Blob>,
}

/// The contents of a register.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Record {
    /// The incarnation that may start attempts, or `None` if the work was released to the next node that
    /// asks.
    pub holder: Option<Incarnation>,
    /// Attempts that any holder intended to send.
    pub sent: Vec<IntendedAttempt>,
    /// The final verdict, if there is one.
    pub verdict: Option<Verdict>,
    /// The properties.
    pub about: WorkDescription,
}

impl Record {
    /// Whether an attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.sent.iter().any(|sent| !sent.never_ran)
    }

    /// Whether the work must not be sent again: it is unsafe and may have run.
    pub fn is_unsafe_to_resend(&self) -> bool {
        self.about.effect == Effect::Unsafe && self.may_have_run()
    }
}

/// The result of an operation on a register.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Answer {
    /// The ballot is promised: no lower one is accepted from now on. Contains the last accepted record.
    Promised(Ballot, Option<(Stamp, Record)>),
    /// The accepted record. Some node holds or held the work.
    Stored(Stamp, Record),
    /// No record was accepted yet.
    Empty,
    /// The record with this stamp is accepted. The stamp may be a later one of the same ballot.
    Accepted(Stamp),
    /// A higher ballot was promised.
    Preempted(Ballot),
}

/// The acceptor of one register at one keeper.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Acceptor {
    promised: Ballot,
    accepted: Option<(Stamp, Record)>,
}

impl Acceptor {
    /// Promises the ballot if no record was accepted, else returns the accepted record.
    pub fn prepare_new(&mut self, ballot: Ballot) -> Answer {
        match &self.accepted {
            Some((stamp, record)) => Answer::Stored(*stamp, record.clone()),
            None => self.prepare(ballot),
        }
    }

    /// Promises the ballot even if a record was accepted.
    pub fn prepare(&mut self, ballot: Ballot) -> Answer {
        if ballot < self.promised {
            return Answer::Preempted(self.promised);
        }
        self.promised = ballot;
        Answer::Promised(ballot, self.accepted.clone())
    }

    /// Accepts a record unless a higher ballot was promised.
    pub fn accept(&mut self, stamp: Stamp, record: &Record) -> Answer {
        if stamp.ballot < self.promised {
            return Answer::Preempted(self.promised);
        }
        self.promised = stamp.ballot;
        if self.accepted.as_ref().is_none_or(|(accepted, _)| *accepted < stamp) {
            self.accepted = Some((stamp, record.clone()));
        }
        Answer::Accepted(self.accepted.as_ref().map_or(stamp, |(accepted, _)| *accepted))
    }

    /// Returns the accepted record as an answer.
    pub fn read(&self) -> Answer {
        match &self.accepted {
            Some((stamp, record)) => Answer::Stored(*stamp, record.clone()),
            None => Answer::Empty,
        }
    }

    /// The accepted record.
    pub fn record(&self) -> Option<&Record> {
        self.accepted.as_ref().map(|(_, record)| record)
    }
}
