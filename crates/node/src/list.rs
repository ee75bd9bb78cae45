//! The node's list of servers: where each listens, and the entries that the core gets.

use std::collections::{HashMap, HashSet};

use glenwood_list::start::{ClaimedStart, StartTimes};
pub use glenwood_list::{parse_update, update_from_value, Endpoint, Health, ListEntry, Protocol, Update};
use glenwood_policy::{Entry, Listed, Millis, Outcome, ServerId};

use crate::clock::Clock;
use crate::log;

/// The core's state for a state of the list.
fn listed_state(health: Health) -> Listed {
    match health {
        Health::Active => Listed::Up,
        Health::Leaving => Listed::Draining,
        Health::Left => Listed::Gone,
    }
}

/// The number of a name, the same at every node and after every restart: FNV-1a, with a final mix so that
/// names that differ in the last digit only don't get neighbouring numbers.
fn number_of(name: &str) -> u64 {
    let hash =
        name.bytes().fold(0xCBF2_9CE4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01B3));
    let mixed = (hash ^ (hash >> 32)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
    mixed ^ (mixed >> 32)
}

/// Where a server stands, as numbers that are the same on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// The number of its zone.
    pub zone: u64,
    /// The number of its cell.
    pub cell: u64,
}

impl Location {
    /// The location of a server of which nothing is known: a zone and a cell of its own, so that no other
    /// server counts as one that drops the repeats of its requests.
    pub fn unknown(server: ServerId) -> Self {
        Self { zone: server.0, cell: server.0 }
    }

    fn of(server: ServerId, host: &ListEntry) -> Self {
        let unknown = Self::unknown(server);
        Self {
            zone: if host.zone.is_empty() { unknown.zone } else { number_of(&host.zone) },
            cell: host.cell.unwrap_or(unknown.cell),
        }
    }
}

/// The address of one incarnation of a server: connections to another incarnation are of no use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerAddress {
    /// Its address and protocol.
    pub endpoint: Endpoint,
    started_ms: f64,
}

/// The servers that speak MessagePack-RPC by the operator's file, whatever the list says.
#[derive(Clone, Debug, Default)]
pub struct MsgpackServers {
    /// Kinds of machine.
    pub kinds: HashSet<String>,
    /// Names of servers.
    pub hosts: HashSet<String>,
}

/// What the node knows of a server, besides the core's data.
struct KnownServer {
    name: String,
    server_address: ServerAddress,
    location: Location,
    state: Listed,
    /// When it last answered, if it has not failed since.
    answered: Option<Millis>,
}

/// All listed servers that are not gone.
#[derive(Default)]
pub struct Servers {
    msgpack_servers: MsgpackServers,
    known: HashMap<ServerId, KnownServer>,
    starts: StartTimes,
}

/// The times that apply to an update of the list.
#[derive(Clone, Copy)]
pub struct UpdateTimes<'a> {
    /// The node's clock, with the time of the update.
    pub clock: &'a Clock,
    /// When the source was last seen before this update.
    pub before: Option<Millis>,
    /// How long after its start a server is warm.
    pub warm_within: Millis,
}

impl Servers {
    /// Creates an empty list.
    pub fn new(msgpack_servers: MsgpackServers) -> Self {
        Self { msgpack_servers, known: HashMap::new(), starts: StartTimes::default() }
    }

    /// The number of servers.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Are there no servers?
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// A server's address and incarnation, if new requests may be sent to it.
    pub fn server_address(&self, server: ServerId) -> Option<ServerAddress> {
        self.known.get(&server).filter(|h| h.state == Listed::Up).map(|h| h.server_address)
    }

    /// Where a server stands.
    pub fn location(&self, server: ServerId) -> Location {
        self.known.get(&server).map_or(Location::unknown(server), |known| known.location)
    }

    /// A server's name, if it is known.
    pub fn name(&self, server: ServerId) -> Option<&str> {
        self.known.get(&server).map(|known| known.name.as_str())
    }

    /// Records from the outcome of an attempt whether its server answers.
    pub fn record_outcome(&mut self, server: ServerId, now: Millis, outcome: Outcome) {
        let Some(known) = self.known.get_mut(&server) else { return };
        match outcome {
            Outcome::Done | Outcome::Error | Outcome::Full | Outcome::Rejected => known.answered = Some(now),
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => known.answered = None,
            Outcome::Unheard | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// When the server of that name last answered, if it has not failed since.
    pub fn answered(&self, name: &str) -> Option<Millis> {
        self.known.get(&ServerId(number_of(name))).and_then(|known| known.answered)
    }

    /// Applies an update. Returns the entries for the core, and the servers whose connections are of no
    /// more use.
    pub fn take(&mut self, update: Update, times: UpdateTimes<'_>) -> (Vec<Entry>, Vec<ServerId>) {
        if update.is_full {
            for host in self.known.values_mut() {
                host.state = Listed::Gone;
            }
        }
        let mut stale = Vec::new();
        let entries: Vec<Entry> =
            update.hosts.into_iter().filter_map(|h| self.apply_entry(h, times, &mut stale)).collect();
        // Servers that a change leaves out are unchanged and need no check.
        let touched: Vec<ServerId> = if update.is_full {
            self.known.keys().copied().collect()
        } else {
            entries.iter().map(|e| e.server).collect()
        };
        for server in touched {
            if self.known.get(&server).is_some_and(|h| h.state == Listed::Gone) {
                self.known.remove(&server);
                stale.push(server);
            }
        }
        let known = &self.known;
        self.starts.drop_unlisted(known.len(), |server| known.contains_key(&ServerId(server)));
        (entries, stale)
    }

    /// Applies an update's entry of a server. It counts from now on, also for attempts that were decided on
    /// but not sent.
    fn apply_entry(
        &mut self,
        host: ListEntry,
        times: UpdateTimes<'_>,
        stale: &mut Vec<ServerId>,
    ) -> Option<Entry> {
        let server = ServerId(number_of(&host.host));
        let state = listed_state(host.health);
        let before = self.known.get(&server);
        if let Some(other) = before.filter(|b| b.name != host.host) {
            log::write_line(format!(
                "discovery: {} and {} have the same number; the second is left out",
                other.name, host.host
            ));
            return None;
        }
        let marked = self.msgpack_servers.kinds.contains(&host.kind)
            || self.msgpack_servers.hosts.contains(&host.host);
        let mut dial = host.endpoint.or(before.map(|b| b.server_address.endpoint));
        if let Some(dial) = dial.as_mut().filter(|_| marked) {
            dial.protocol = Protocol::Msgpack;
        }
        if before.is_some_and(|b| {
            b.server_address.started_ms != host.started_ms || Some(b.server_address.endpoint) != dial
        }) {
            // Its connections ended with the old incarnation.
            stale.push(server);
        }
        let location = Location::of(server, &host);
        if let Some(dial) = dial {
            let server_address = ServerAddress { endpoint: dial, started_ms: host.started_ms };
            let answered = before.filter(|b| b.server_address == server_address).and_then(|b| b.answered);
            self.known
                .insert(server, KnownServer { name: host.host, server_address, location, state, answered });
        }
        Some(Entry {
            server,
            zone: location.zone,
            cell: location.cell,
            kind: number_of(&host.kind),
            state,
            weight: host.weight,
            started_at: self.start_time(server, host.started_ms, times),
        })
    }

    /// When a server started; `None` if that is long ago.
    fn start_time(&mut self, server: ServerId, started_ms: Millis, times: UpdateTimes<'_>) -> Option<Millis> {
        let UpdateTimes { clock, before, warm_within } = times;
        let claim = ClaimedStart {
            claimed_start: clock.at_unix(started_ms),
            now: clock.now(),
            previous_list_at: before,
            warm_up_time: warm_within,
        };
        self.starts.estimate(server.0, started_ms, claim)
    }
}
