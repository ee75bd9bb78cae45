//! The list of servers as their registrations make it: what a [`Follower`] reads, behind a [`Guard`], as entries.
//!
//! - *Suspects.* The registration of a server ends while the server answers: perhaps its session alone is lost. From the
//!   moment that this is said (or the guard's hold is over) it is listed as draining, so that nothing new goes to it, and
//!   what is known of it and its connections stay for a while. When it registers again it is back at once, and as warm as
//!   its birth says.
//! - *Flapping.* A server that leaves again and again is let back later each time, so that it costs a bounded number of
//!   changes. Departures and drains are never delayed, and nobody is kept out while nobody else is in service.
//! - *Duplicates.* Two names with one address are one process: the later birth has it, and the other waits.
//! - *Garbage.* An entry that can't be read is named and changes nothing.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

use glenwood_list::{Health, ListEntry};
use serde_json::Value;

use crate::follow::{self, Change, Follower};
use crate::guard::{BadSetting, Guard};
use crate::machine::{Machine, Step};
use crate::{guard, session, Millis};

/// Within which time departures of one server are counted.
const FLAP_WINDOW: Millis = 60_000.0;
/// How many of them are free.
const FLAPS_FREE: usize = 3;
/// How long the return after the next one waits; twice that after each further one, up to the second figure.
const FLAP_WAIT: (Millis, Millis) = (1000.0, 30_000.0);

/// How a view is set up.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The session.
    pub session: session::Settings,
    /// The node of the tree whose children are the servers.
    pub path: String,
    /// How often the names are looked at though no watch has fired, in milliseconds.
    pub look_every: Millis,
    /// The guard against mass expiry; `None`: every departure is passed on at once.
    pub guard: Option<guard::Settings>,
    /// For how long a server that answers though its registration has ended stays listed as draining, in milliseconds;
    /// 0: not at all.
    pub suspect: Millis,
}

/// What a view tells.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    /// Entries; gone ones as [`Health::Left`].
    List {
        /// All that there are: the first list of this process.
        whole: bool,
        /// The entries.
        hosts: Vec<ListEntry>,
    },
    /// A registration is not taken, and what was known of that server still holds.
    Unfit {
        /// Its name.
        name: String,
        /// Why.
        reason: String,
    },
    /// The service can't be reached; what is known still holds.
    Away,
    /// It can be reached again.
    Back,
}

/// Whether a server of that name was seen to answer just now, and not to fail since.
pub type Answers = Box<dyn Fn(&str) -> bool>;

/// What is remembered of a server's departures.
#[derive(Debug, Default)]
struct Flaps {
    at: VecDeque<Millis>,
    /// Until when it is kept out of service.
    until: Option<Millis>,
}

/// The list of servers as their registrations make it.
pub struct View {
    follower: Follower,
    guard: Guard,
    answers: Answers,
    suspect: Millis,
    /// What is registered, as far as it can be read.
    registered: BTreeMap<String, ListEntry>,
    /// Who registered each address.
    claims: HashMap<SocketAddr, BTreeSet<String>>,
    suspects: BTreeMap<String, (Millis, ListEntry)>,
    flaps: BTreeMap<String, Flaps>,
    /// What was last said of each.
    said: BTreeMap<String, ListEntry>,
    /// How many of these are in service.
    in_service: usize,
    touched: BTreeSet<String>,
    begun: bool,
    outputs: VecDeque<Step<Said>>,
}

/// Reads the entry of one child.
fn entry(name: &str, data: &[u8]) -> Result<ListEntry, String> {
    let mut value: Value = serde_json::from_slice(data).map_err(|e| format!("not JSON: {e}"))?;
    let object = value.as_object_mut().ok_or("a JSON object expected")?;
    let host = object.entry("host").or_insert_with(|| name.into());
    if host.as_str() != Some(name) {
        return Err(format!("host: {name:?} expected, as the node is called, not {host}"));
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
    /// Follows the registrations from now on.
    ///
    /// # Errors
    /// Names the guard's setting that makes no sense.
    pub fn new(now: Millis, settings: Settings, answers: Answers) -> Result<Self, BadSetting> {
        let none = guard::Settings { share: 1.0, window: 1.0, hold: 0.0 };
        let mut view = Self {
            follower: Follower::new(now, settings.session, &settings.path, settings.look_every),
            guard: Guard::new(settings.guard.unwrap_or(none))?,
            answers,
            suspect: settings.suspect,
            registered: BTreeMap::new(),
            claims: HashMap::new(),
            suspects: BTreeMap::new(),
            flaps: BTreeMap::new(),
            said: BTreeMap::new(),
            in_service: 0,
            touched: BTreeSet::new(),
            begun: false,
            outputs: VecDeque::new(),
        };
        view.settle(now);
        Ok(view)
    }

    /// What was last said of each server.
    pub fn list(&self) -> impl Iterator<Item = &ListEntry> {
        self.said.values()
    }

    /// When the service was last heard: how old what is known may be.
    pub fn heard(&self) -> Millis {
        self.follower.heard()
    }

    /// What is followed, to look at.
    pub fn follower(&self) -> &Follower {
        &self.follower
    }

    /// How many servers are listed, how many of them as suspects, and how many departures the guard keeps back.
    pub fn counts(&self) -> (usize, usize, usize) {
        (self.said.len(), self.suspects.len(), self.guard.held())
    }

    fn settle(&mut self, now: Millis) {
        while let Some(output) = self.follower.poll() {
            match output {
                follow::Output::Connect(member) => self.outputs.push_back(Step::Connect(member)),
                follow::Output::Disconnect => self.outputs.push_back(Step::Disconnect),
                follow::Output::Away => self.outputs.push_back(Step::Said(Said::Away)),
                follow::Output::Back => self.outputs.push_back(Step::Said(Said::Back)),
                follow::Output::Change(change) => {
                    let (answers, registered) = (&self.answers, &self.registered);
                    // Who drains ends by its own will: there is nothing to be suspected.
                    let active =
                        |name: &str| registered.get(name).is_some_and(|h| h.health == Health::Active);
                    self.guard.take(now, change, &|name| active(name) && answers(name));
                }
            }
        }
        self.guard.handle_timeout(now);
        let mut whole = false;
        while let Some(change) = self.guard.poll() {
            match change {
                Change::Whole(all) => {
                    (whole, self.begun) = (true, true);
                    all.into_iter().for_each(|(name, data)| self.set(now, name, &data));
                }
                Change::Set(name, data) => self.set(now, name, &data),
                Change::Gone(name) => self.gone(now, &name),
                Change::Unfit(name) => {
                    let reason = format!("longer than {} bytes", follow::DATA_MOST);
                    self.outputs.push_back(Step::Said(Said::Unfit { name, reason }));
                }
            }
        }
        self.let_go(now);
        self.say(whole);
    }

    /// Ends what is over by now.
    fn let_go(&mut self, now: Millis) {
        let over = self.suspects.iter().filter(|(_, (until, _))| *until <= now);
        let over: Vec<String> = over.map(|(name, _)| name.clone()).collect();
        for name in over {
            self.suspects.remove(&name);
            self.touched.insert(name);
        }
        let touched = &mut self.touched;
        self.flaps.retain(|name, flaps| {
            if flaps.until.is_some_and(|until| until <= now) {
                flaps.until = None;
                touched.insert(name.clone());
            }
            flaps.until.is_some() || flaps.at.back().is_some_and(|at| at + FLAP_WINDOW > now)
        });
    }

    fn set(&mut self, now: Millis, name: String, data: &[u8]) {
        let host = match entry(&name, data) {
            Ok(host) => host,
            Err(reason) => return self.outputs.push_back(Step::Said(Said::Unfit { name, reason })),
        };
        if host.health == Health::Left {
            return self.gone(now, &name);
        }
        let address = host.endpoint.map(|d| d.address);
        if host.health != Health::Active {
            self.departed(now, &name);
        }
        self.suspects.remove(&name);
        // Who has the address of a suspect is there in its place.
        self.suspects.retain(|other, (_, suspect)| {
            let replaced = suspect.endpoint.map(|d| d.address) == address;
            replaced.then(|| self.touched.insert(other.clone()));
            !replaced
        });
        self.unclaim(&name);
        if let Some(address) = address {
            let claims = self.claims.entry(address).or_default();
            claims.insert(name.clone());
            self.touched.extend(claims.iter().cloned());
        }
        self.registered.insert(name, host);
    }

    fn unclaim(&mut self, name: &str) {
        let address = self.registered.get(name).and_then(|h| h.endpoint).map(|d| d.address);
        let Some(address) = address else { return };
        if let Some(claims) = self.claims.get_mut(&address) {
            claims.remove(name);
            self.touched.extend(claims.iter().cloned());
            if claims.is_empty() {
                self.claims.remove(&address);
            }
        }
    }

    fn gone(&mut self, now: Millis, name: &str) {
        self.departed(now, name);
        self.unclaim(name);
        let Some(host) = self.registered.remove(name) else { return };
        self.touched.insert(name.to_string());
        let listed = self.said.contains_key(name);
        if listed && host.health == Health::Active && self.suspect > 0.0 && (self.answers)(name) {
            let host = ListEntry { health: Health::Leaving, ..host };
            self.suspects.insert(name.to_string(), (now + self.suspect, host));
        }
    }

    /// Counts that a server which was in service is not any more.
    fn departed(&mut self, now: Millis, name: &str) {
        if self.registered.get(name).is_none_or(|h| h.health != Health::Active) {
            return;
        }
        let flaps = self.flaps.entry(name.to_string()).or_default();
        flaps.at.push_back(now);
        while flaps.at.front().is_some_and(|at| at + FLAP_WINDOW <= now) {
            flaps.at.pop_front();
        }
        if let Some(beyond) = flaps.at.len().checked_sub(FLAPS_FREE + 1) {
            let wait = (FLAP_WAIT.0 * 2.0f64.powi(beyond.min(10) as i32)).min(FLAP_WAIT.1);
            flaps.until = Some(now + wait);
        }
    }

    /// What is to be said of a server now.
    fn wanted(&self, name: &str) -> Option<ListEntry> {
        if let Some((_, suspect)) = self.suspects.get(name) {
            return Some(suspect.clone());
        }
        let host = self.registered.get(name)?;
        let claims = host.endpoint.and_then(|d| self.claims.get(&d.address));
        if claims.is_some_and(|claims| claims.len() > 1) {
            let rank = |name: &String| {
                let born = self.registered.get(name).map_or(0.0, |h| h.started_ms);
                let first = self.said.get(name).is_some_and(|h| h.endpoint == host.endpoint);
                (born, first)
            };
            let before = |a: &(f64, bool), b: &(f64, bool)| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1));
            // Of equals the first by name.
            let best = claims.iter().flat_map(|c| c.iter().rev()).max_by(|a, b| before(&rank(a), &rank(b)));
            if best.is_some_and(|best| best != name) {
                return None;
            }
        }
        if self.flaps.get(name).is_some_and(|f| f.until.is_some()) {
            return Some(ListEntry { health: Health::Leaving, ..host.clone() });
        }
        Some(host.clone())
    }

    fn say(&mut self, whole: bool) {
        if !self.begun {
            return;
        }
        let mut hosts = Vec::new();
        loop {
            for name in std::mem::take(&mut self.touched) {
                let wanted = self.wanted(&name);
                let before = self.said.get(&name);
                if before == wanted.as_ref() {
                    continue;
                }
                let active =
                    |h: Option<&ListEntry>| usize::from(h.is_some_and(|h| h.health == Health::Active));
                self.in_service = self.in_service + active(wanted.as_ref()) - active(before);
                hosts.extend(wanted.clone().or_else(|| before.map(ListEntry::as_removed)));
                match wanted {
                    Some(host) => drop(self.said.insert(name, host)),
                    None => drop(self.said.remove(&name)),
                }
            }
            // Better one that flaps than nobody.
            let kept_out = self.flaps.iter_mut().filter(|(_, f)| f.until.is_some());
            let kept_out: Vec<String> = if self.in_service == 0 {
                kept_out.filter_map(|(name, f)| f.until.take().map(|_| name.clone())).collect()
            } else {
                Vec::new()
            };
            self.touched.extend(kept_out);
            if self.touched.is_empty() {
                break;
            }
        }
        if whole || !hosts.is_empty() {
            self.outputs.push_back(Step::Said(Said::List { whole, hosts }));
        }
    }
}

impl Machine for View {
    type Said = Said;

    fn poll(&mut self) -> Option<Step<Said>> {
        self.outputs.pop_front()
    }

    fn output(&mut self) -> Vec<u8> {
        self.follower.output()
    }

    fn poll_timeout(&self) -> Option<Millis> {
        let suspects = self.suspects.values().map(|(until, _)| *until);
        let flaps = self.flaps.values().filter_map(|f| f.until);
        let all = suspects.chain(flaps).chain(self.follower.poll_timeout()).chain(self.guard.poll_timeout());
        all.min_by(f64::total_cmp)
    }

    fn handle_timeout(&mut self, now: Millis) {
        self.follower.handle_timeout(now);
        self.settle(now);
    }

    fn connected(&mut self, now: Millis) {
        self.follower.connected(now);
        self.settle(now);
    }

    fn broken(&mut self, now: Millis) {
        self.follower.broken(now);
        self.settle(now);
    }

    fn received(&mut self, now: Millis, bytes: &[u8]) {
        self.follower.received(now, bytes);
        self.settle(now);
    }
}
