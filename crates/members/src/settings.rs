//! Settings of the membership protocol and the intervals derived from them.

use std::net::SocketAddr;

use crate::record::{Member, MAX_NAME_BYTES, MAX_ZONE_BYTES};

/// Settings of the membership protocol. All times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The name of the cluster; datagrams of other clusters are rejected.
    pub cluster: String,
    /// This member.
    pub local_member: Member,
    /// Addresses of a few members that are likely to run; this member's own may be among them.
    pub seeds: Vec<SocketAddr>,
    /// Interval between probes of other members, 20 to 10,000. Most other intervals are derived from it.
    pub probe_ms: u64,
    /// Maximum number of members, 2 to 4,096.
    pub max_members: usize,
    /// How long a lost member or one that left is remembered, 10,000 to 86,400,000.
    pub forget_ms: u64,
}

impl Settings {
    /// Validates the settings.
    ///
    /// # Errors
    /// The invalid field and what was expected.
    pub fn check(&self) -> Result<(), String> {
        let check_range = |name: &str, value: u64, min: u64, max: u64| {
            let fits = (min..=max).contains(&value);
            fits.then_some(()).ok_or_else(|| format!("{name}: {min} to {max} expected, not {value}"))
        };
        if self.local_member.name.is_empty() || self.local_member.name.len() > MAX_NAME_BYTES {
            return Err(format!(
                "name: 1 to {MAX_NAME_BYTES} bytes expected, not {:?}",
                self.local_member.name
            ));
        }
        if self.local_member.zone.len() > MAX_ZONE_BYTES {
            return Err(format!(
                "zone: {MAX_ZONE_BYTES} bytes at most expected, not {:?}",
                self.local_member.zone
            ));
        }
        if self.local_member.address.ip().is_unspecified() || self.local_member.address.port() == 0 {
            return Err(format!(
                "address: one that others can send to expected, not {}",
                self.local_member.address
            ));
        }
        check_range("seeds", self.seeds.len() as u64, 1, 64)?;
        check_range("probe_ms", self.probe_ms, 20, 10_000)?;
        check_range("most", self.max_members as u64, 2, 4096)?;
        check_range("forget_ms", self.forget_ms, 10_000, 86_400_000)
    }

    /// Time to wait for the answer to a probe before other members are asked to probe the target; the probe
    /// fails after three times this.
    pub(crate) fn ack_timeout_ms(&self) -> u64 {
        self.probe_ms / 2
    }

    /// Interval between gossip rounds while there are rumours to send.
    pub(crate) fn gossip_ms(&self) -> u64 {
        self.probe_ms / 2
    }

    /// Mean interval between comparisons of the table with another member's.
    pub(crate) fn compare_ms(&self) -> u64 {
        10 * self.probe_ms
    }

    /// Mean interval between attempts to reach a lost member or a seed again.
    pub(crate) fn retry_ms(&self) -> u64 {
        10 * self.probe_ms
    }

    /// Time until a suspect is declared lost if no other member confirms the suspicion.
    pub(crate) fn max_suspect_ms(&self) -> u64 {
        20 * self.probe_ms
    }

    /// Time until a suspect is declared lost if enough other members confirm the suspicion.
    pub(crate) fn min_suspect_ms(&self) -> u64 {
        3 * self.probe_ms
    }

    /// A call that comes more than this after it was due means that this process was stalled.
    pub(crate) fn stall_ms(&self) -> u64 {
        self.probe_ms
    }
}
