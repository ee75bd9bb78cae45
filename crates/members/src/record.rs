//! Records about one member and the rules by which one record supersedes another.

use std::net::SocketAddr;

use glenwood_datagram::stable_hash;
use serde::Serialize;

/// Maximum length of a member's name, in bytes.
pub const MAX_NAME_BYTES: usize = 48;
/// Maximum length of a zone's name, in bytes.
pub const MAX_ZONE_BYTES: usize = 24;

/// The id of a member: a digest of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Id(pub u64);

impl Id {
    /// The id of the member with this name.
    pub fn of(name: &str) -> Self {
        Self(stable_hash(&[b"member", name.as_bytes()]))
    }
}

/// A member, as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Member {
    /// Its name, which stays the same across restarts.
    pub name: String,
    /// Identifies the process: a number that differs for each start.
    #[serde(rename = "life")]
    pub start_id: u64,
    /// The address that it receives datagrams at.
    pub address: SocketAddr,
    /// Its zone; empty if zones are not used.
    pub zone: String,
}

impl Member {
    /// The id of this member.
    pub fn id(&self) -> Id {
        Id::of(&self.name)
    }
}

/// The state of a member. Of two records about the same incarnation, the later variant supersedes the
/// earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It answers probes.
    Alive,
    /// It did not answer a probe; it can still refute the suspicion before the timeout.
    Suspect,
    /// It did not refute the suspicion in time.
    Lost,
    /// It announced that it leaves.
    Left,
}

impl State {
    /// Whether the member counts as alive; a suspect does.
    pub fn is_living(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// What is known or claimed about a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The member.
    pub member: Member,
    /// The incarnation of the member that this refers to; only the member itself raises it.
    pub incarnation: u64,
    /// The state of the member.
    pub state: State,
}

impl Record {
    /// Precedence of a record: by incarnation, then by `life`, then by state.
    fn rank(&self) -> (u64, u64, State) {
        (self.incarnation, self.member.start_id, self.state)
    }

    /// Whether this record replaces the other one.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }

    /// Whether both records refer to the same incarnation of the same process.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        (self.incarnation, self.member.start_id) == (other.incarnation, other.member.start_id)
    }

    /// A digest of what all members should agree on: that this incarnation is alive. The state is left out,
    /// as a suspicion is resolved without anti-entropy.
    pub fn digest(&self) -> u64 {
        let bytes = [self.incarnation.to_be_bytes(), self.member.start_id.to_be_bytes()];
        stable_hash(&[self.member.name.as_bytes(), &bytes[0], &bytes[1]])
    }
}
