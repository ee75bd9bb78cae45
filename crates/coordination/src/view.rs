//! The list of servers derived from their registrations: the children that a [`Follower`] reads, filtered by
//! a [`Guard`] and parsed into entries.
//!
//! - *Suspects.* If a server's registration ends while the server still answers, perhaps only its session was
//!   lost. Once the removal is reported (or the guard's delay is over), the server is listed as draining, so
//!   that it gets no new requests, while its connections and what is known of it are kept for a while. When
//!   it registers again it is back at once, with the warm-up that its birth implies.
//! - *Flapping.* A server that departs repeatedly is readmitted after an increasing delay, so that it causes
//!   a bounded number of changes. Departures and drains are never delayed, and no server is excluded while no
//!   other one is in service.
//! - *Duplicates.* Two names with the same address are the same process: the one with the later birth is
//!   listed and the other is left out.
//! - *Malformed entries.* An entry that can't be parsed is reported and changes nothing.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

use glenwood_list::{Health, ListEntry};
use serde_json::Value;

use crate::follow::{self, Change, Follower};
use crate::guard::{BadSetting, Guard};
use crate::machine::{Machine, Step};
use crate::{guard, session, Millis};

/// Window within which the departures of one server are counted, in milliseconds.
const FLAP_WINDOW_MS: Millis = 60_000.0;
/// Departures within the window that cause no delay.
const FREE_DEPARTURES: usize = 3;
/// Readmission delay after the first departure beyond [`FREE_DEPARTURES`] and its maximum, in milliseconds;
/// it doubles with each further departure.
const READMISSION_DELAY_MS: (Millis, Millis) = (1000.0, 30_000.0);

/// Settings of a view.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Settings of the session.
    pub session: session::Settings,
    /// Path of the tree node whose children are the servers.
    pub path: String,
    /// Interval at which the names are read again even if no watch has fired, in milliseconds.
    pub relist_interval: Millis,
    /// Settings of the guard against mass expiry; `None` to pass on every departure at once.
    pub guard: Option<guard::Settings>,
    /// How long a server that still answers after its registration ended stays listed as draining, in
    /// milliseconds; 0 to remove it at once.
    pub suspect_ms: Millis,
}

/// An event for the view's user.
#[derive(Clone, Debug, PartialEq)]
pub enum ViewEvent {
    /// Changed entries; removed ones are marked [`Health::Left`].
    List {
        /// Whether this is the first list of this process, with all entries.
        is_complete: bool,
        /// The entries.
        hosts: Vec<ListEntry>,
    },
    /// A registration was rejected; the previous entry of that server stays in effect.
    Rejected {
        /// The server's name.
        name: String,
        /// Why it was rejected.
        reason: String,
    },
    /// The service is unreachable; the known list stays in effect.
    Unreachable,
    /// The service is reachable again.
    Reachable,
}

/// Tells whether the server with this name was recently seen to answer and has not failed since.
pub type Answers = Box<dyn Fn(&str) -> bool>;

/// The recent departures of a server.
#[derive(Debug, Default)]
struct FlapState {
    /// Times of the departures within the window.
    departures: VecDeque<Millis>,
    /// When the server is readmitted to service, if it is excluded.
    excluded_until: Option<Millis>,
}

/// The list of servers derived from their registrations.
pub struct View {
    follower: Follower,
    guard: Guard,
    answers: Answers,
    suspect: Millis,
    /// The registered entries that could be parsed.
    registered: BTreeMap<String, ListEntry>,
    /// The names registered with each address.
    claims: HashMap<SocketAddr, BTreeSet<String>>,
    /// Servers listed as suspects, with the time of their removal and their entry.
    suspects: BTreeMap<String, (Millis, ListEntry)>,
    /// Recent departures of each server.
    flaps: BTreeMap<String, FlapState>,
    /// The entries as last reported.
    reported: BTreeMap<String, ListEntry>,
    /// Number of reported entries that are in service.
    in_service: usize,
    /// Names whose entry may have changed since the last report.
    changed: BTreeSet<String>,
    /// Whether the first complete list has arrived.
    has_first_list: bool,
    outputs: VecDeque<Step<ViewEvent>>,
}

/// Parses and validates the entry of one child.
fn parse_entry(name: &str, data: &[u8]) -> Result<ListEntry, String> {
    let mut value: Value = serde_json::from_slice(data).map_err(|e| format!("not JSON: {e}"))?;
    let object = value.as_object_mut().ok_or("a JSON object expected")?;
    let host = object.entry("host").or_insert_with(|| name.into());
    if host.as_str() != Some(name) {
        return Err(format!("host: {name:?} expected, the name of the node, not {host}"));
    }
    let host: ListEntry = serde_json::from_value(value).map_err(|e| e.to_string())?;
    if host.endpoint.is_none() {
        return Err("dial is missing".into());
    }
    if !(host.weight.is_finite() && host.weight > 0.0) {
        return Err(format!("share: above 0 expected, not {}", host.weight));
    }
    if !(host.started_ms.is_finite() && host.started_ms >= 0.0) {
        return Err(format!("born_ms: 0 or more expected, not {}", host.started_ms));
    }
    Ok(host)
}

impl View {
    /// Creates a view that starts to follow the registrations at `now`.
    ///
    /// # Errors
    /// Names the invalid setting of the guard.
    pub fn new(now: Millis, settings: Settings, answers: Answers) -> Result<Self, BadSetting> {
        let disabled = guard::Settings { share: 1.0, window: 1.0, delay: 0.0 };
        let mut view = Self {
            follower: Follower::new(now, settings.session, &settings.path, settings.relist_interval),
            guard: Guard::new(settings.guard.unwrap_or(disabled))?,
            answers,
            suspect: settings.suspect_ms,
            registered: BTreeMap::new(),
            claims: HashMap::new(),
            suspects: BTreeMap::new(),
            flaps: BTreeMap::new(),
            reported: BTreeMap::new(),
            in_service: 0,
            changed: BTreeSet::new(),
            has_first_list: false,
            outputs: VecDeque::new(),
        };
        view.process_events(now);
        Ok(view)
    }

    /// The servers as last reported.
    pub fn list(&self) -> impl Iterator<Item = &ListEntry> {
        self.reported.values()
    }

    /// When the service last sent anything, which bounds the age of the list.
    pub fn last_received(&self) -> Millis {
        self.follower.last_received()
    }

    /// The underlying follower.
    pub fn follower(&self) -> &Follower {
        &self.follower
    }

    /// Numbers of listed servers, of suspects among them, and of departures that the guard delays.
    pub fn counts(&self) -> (usize, usize, usize) {
        (self.reported.len(), self.suspects.len(), self.guard.delayed())
    }

    fn process_events(&mut self, now: Millis) {
        while let Some(output) = self.follower.poll() {
            match output {
                follow::Output::Connect(member) => self.outputs.push_back(Step::Connect(member)),
                follow::Output::Disconnect => self.outputs.push_back(Step::Disconnect),
                follow::Output::Unreachable => self.outputs.push_back(Step::Event(ViewEvent::Unreachable)),
                follow::Output::Reachable => self.outputs.push_back(Step::Event(ViewEvent::Reachable)),
                follow::Output::Change(change) => {
                    let (answers, registered) = (&self.answers, &self.registered);
                    // A draining server departs on purpose, so its departure is not delayed.
                    let active =
                        |name: &str| registered.get(name).is_some_and(|h| h.health == Health::Active);
                    self.guard.handle_change(now, change, &|name| active(name) && answers(name));
                }
            }
        }
        self.guard.handle_timeout(now);
        let mut is_complete = false;
        while let Some(change) = self.guard.poll() {
            match change {
                Change::Snapshot(all) => {
                    (is_complete, self.has_first_list) = (true, true);
                    all.into_iter().for_each(|(name, data)| self.handle_registration(now, name, &data));
                }
                Change::Set(name, data) => self.handle_registration(now, name, &data),
                Change::Removed(name) => self.handle_removal(now, &name),
                Change::Oversized(name) => {
                    let reason = format!("longer than {} bytes", follow::MAX_DATA_BYTES);
                    self.outputs.push_back(Step::Event(ViewEvent::Rejected { name, reason }));
                }
            }
        }
        self.expire(now);
        self.report(is_complete);
    }

    /// Removes expired suspects and ends expired exclusions.
    fn expire(&mut self, now: Millis) {
        let expired = self.suspects.iter().filter(|(_, (until, _))| *until <= now);
        let expired: Vec<String> = expired.map(|(name, _)| name.clone()).collect();
        for name in expired {
            self.suspects.remove(&name);
            self.changed.insert(name);
        }
        let changed = &mut self.changed;
        self.flaps.retain(|name, flaps| {
            if flaps.excluded_until.is_some_and(|until| until <= now) {
                flaps.excluded_until = None;
                changed.insert(name.clone());
            }
            flaps.excluded_until.is_some()
                || flaps.departures.back().is_some_and(|at| at + FLAP_WINDOW_MS > now)
        });
    }

    fn handle_registration(&mut self, now: Millis, name: String, data: &[u8]) {
        let host = match parse_entry(&name, data) {
            Ok(host) => host,
            Err(reason) => return self.outputs.push_back(Step::Event(ViewEvent::Rejected { name, reason })),
        };
        if host.health == Health::Left {
            return self.handle_removal(now, &name);
        }
        let address = host.endpoint.map(|d| d.address);
        if host.health != Health::Active {
            self.count_departure(now, &name);
        }
        self.suspects.remove(&name);
        // A registration with the address of a suspect replaces it.
        self.suspects.retain(|other, (_, suspect)| {
            let replaced = suspect.endpoint.map(|d| d.address) == address;
            replaced.then(|| self.changed.insert(other.clone()));
            !replaced
        });
        self.remove_claim(&name);
        if let Some(address) = address {
            let claims = self.claims.entry(address).or_default();
            claims.insert(name.clone());
            self.changed.extend(claims.iter().cloned());
        }
        self.registered.insert(name, host);
    }

    fn remove_claim(&mut self, name: &str) {
        let address = self.registered.get(name).and_then(|h| h.endpoint).map(|d| d.address);
        let Some(address) = address else { return };
        if let Some(claims) = self.claims.get_mut(&address) {
            claims.remove(name);
            self.changed.extend(claims.iter().cloned());
            if claims.is_empty() {
                self.claims.remove(&address);
            }
        }
    }

    fn handle_removal(&mut self, now: Millis, name: &str) {
        self.count_departure(now, name);
        self.remove_claim(name);
        let Some(host) = self.registered.remove(name) else { return };
        self.changed.insert(name.to_string());
        let was_reported = self.reported.contains_key(name);
        if was_reported && host.health == Health::Active && self.suspect > 0.0 && (self.answers)(name) {
            let host = ListEntry { health: Health::Leaving, ..host };
            self.suspects.insert(name.to_string(), (now + self.suspect, host));
        }
    }

    /// Counts a departure of a server that was in service and sets its readmission delay.
    fn count_departure(&mut self, now: Millis, name: &str) {
        if self.registered.get(name).is_none_or(|h| h.health != Health::Active) {
            return;
        }
        let flaps = self.flaps.entry(name.to_string()).or_default();
        flaps.departures.push_back(now);
        while flaps.departures.front().is_some_and(|at| at + FLAP_WINDOW_MS <= now) {
            flaps.departures.pop_front();
        }
        if let Some(excess) = flaps.departures.len().checked_sub(FREE_DEPARTURES + 1) {
            let delay =
                (READMISSION_DELAY_MS.0 * 2.0f64.powi(excess.min(10) as i32)).min(READMISSION_DELAY_MS.1);
            flaps.excluded_until = Some(now + delay);
        }
    }

    /// Returns the entry to list for a server, or `None` if it is not to be listed.
    fn entry_to_list(&self, name: &str) -> Option<ListEntry> {
        if let Some((_, suspect)) = self.suspects.get(name) {
            return Some(suspect.clone());
        }
        let host = self.registered.get(name)?;
        let claims = host.endpoint.and_then(|d| self.claims.get(&d.address));
        if claims.is_some_and(|claims| claims.len() > 1) {
            let rank = |name: &String| {
                let born = self.registered.get(name).map_or(0.0, |h| h.started_ms);
                let already_listed = self.reported.get(name).is_some_and(|h| h.endpoint == host.endpoint);
                (born, already_listed)
            };
            let compare = |a: &(f64, bool), b: &(f64, bool)| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1));
            // Among equals, the first by name.
            let preferred =
                claims.iter().flat_map(|c| c.iter().rev()).max_by(|a, b| compare(&rank(a), &rank(b)));
            if preferred.is_some_and(|preferred| preferred != name) {
                return None;
            }
        }
        if self.flaps.get(name).is_some_and(|f| f.excluded_until.is_some()) {
            return Some(ListEntry { health: Health::Leaving, ..host.clone() });
        }
        Some(host.clone())
    }

    fn report(&mut self, is_complete: bool) {
        if !self.has_first_list {
            return;
        }
        let mut hosts = Vec::new();
        loop {
            for name in std::mem::take(&mut self.changed) {
                let current = self.entry_to_list(&name);
                let before = self.reported.get(&name);
                if before == current.as_ref() {
                    continue;
                }
                let active =
                    |h: Option<&ListEntry>| usize::from(h.is_some_and(|h| h.health == Health::Active));
                self.in_service = self.in_service + active(current.as_ref()) - active(before);
                hosts.extend(current.clone().or_else(|| before.map(ListEntry::as_removed)));
                match current {
                    Some(host) => drop(self.reported.insert(name, host)),
                    None => drop(self.reported.remove(&name)),
                }
            }
            // A flapping server is better than no server at all.
            let excluded = self.flaps.iter_mut().filter(|(_, f)| f.excluded_until.is_some());
            let excluded: Vec<String> = if self.in_service == 0 {
                excluded.filter_map(|(name, f)| f.excluded_until.take().map(|_| name.clone())).collect()
            } else {
                Vec::new()
            };
            self.changed.extend(excluded);
            if self.changed.is_empty() {
                break;
            }
        }
        if is_complete || !hosts.is_empty() {
            self.outputs.push_back(Step::Event(ViewEvent::List { is_complete, hosts }));
        }
    }
}

impl Machine for View {
    type Event = ViewEvent;

    fn poll(&mut self) -> Option<Step<ViewEvent>> {
        self.outputs.pop_front()
    }

    fn output(&mut self) -> Vec<u8> {
        self.follower.output()
    }

    fn poll_timeout(&self) -> Option<Millis> {
        let suspects = self.suspects.values().map(|(until, _)| *until);
        let flaps = self.flaps.values().filter_map(|f| f.excluded_until);
        let all = suspects.chain(flaps).chain(self.follower.poll_timeout()).chain(self.guard.poll_timeout());
        all.min_by(f64::total_cmp)
    }

    fn handle_timeout(&mut self, now: Millis) {
        self.follower.handle_timeout(now);
        self.process_events(now);
    }

    fn connected(&mut self, now: Millis) {
        self.follower.connected(now);
        self.process_events(now);
    }

    fn disconnected(&mut self, now: Millis) {
        self.follower.disconnected(now);
        self.process_events(now);
    }

    fn received(&mut self, now: Millis, bytes: &[u8]) {
        self.follower.received(now, bytes);
        self.process_events(now);
    }
}
