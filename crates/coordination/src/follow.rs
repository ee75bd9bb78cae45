//! Mirrors the children of one tree node and their data.
//!
//! A [`Follower`] owns a [`Session`]. It reads the child names and each child's data once, and then reads
//! again only what a watch reports as changed. Apart from that it re-reads the names at a long interval, in
//! case a faulty service lost a watch.
//!
//! It reports nothing until it has read everything once. After that it keeps its state while the service is
//! unreachable: an outage of the service never removes a child.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

use bytes::Bytes;

use crate::machine::{Machine, Step};
use crate::proto::{Code, EventKind, Request, Response};
use crate::session::{Event, RequestError, Session, Settings};
use crate::Millis;

/// Limit on data reads in flight, so that loading a large list uses bounded memory.
const MAX_PENDING_READS: usize = 256;
/// Minimum pause between two reads of the names, in milliseconds per name. A watch event carries no names, so
/// each read transfers all of them. Removals are not delayed: the watch on the child's data reports them.
const LIST_PAUSE_PER_NAME_MS: Millis = 0.02;
/// Maximum size of a child's data in bytes; anything longer is not accepted as a registration.
pub const MAX_DATA_BYTES: usize = 16 * 1024;

/// Tags the follower's requests to its session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestTag {
    /// The names of the children.
    Names,
    /// Whether the parent node exists.
    ParentExists,
    /// The data of the named child.
    Data(String),
}

/// A change of the followed children.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The complete state, after the start and after each new session. Children not in it are gone.
    Snapshot(BTreeMap<String, Bytes>),
    /// A child was added or its data changed.
    Set(String, Bytes),
    /// A child was removed.
    Removed(String),
    /// A child's data exceeds [`MAX_DATA_BYTES`]; its previous data stays in effect.
    Oversized(String),
}

/// An action for the driver, or an event for the user.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Open a connection to this member and report the result with [`Follower::connected`] or
    /// [`Follower::disconnected`].
    Connect(usize),
    /// Close the connection.
    Disconnect,
    /// The children changed.
    Change(Change),
    /// The service is unreachable; the known state stays in effect.
    Unreachable,
    /// The service is reachable again.
    Reachable,
}

/// Mirrors the children of one tree node.
pub struct Follower {
    session: Session<RequestTag>,
    path: String,
    /// Interval at which the names are read again even if no watch has fired.
    relist_interval: Millis,
    /// The children known so far with their data.
    known: BTreeMap<String, Bytes>,
    /// The child names as last read.
    names: BTreeSet<String>,
    /// Names whose data is still to be read, in order; `queued` is the same as a set.
    unread: VecDeque<String>,
    queued: HashSet<String>,
    /// Names whose data read is in flight.
    reads_in_flight: BTreeSet<String>,
    /// Names whose data was too long; they are not read again until it changes.
    unfit: BTreeSet<String>,
    /// Everything is being read after a new session; no change is reported until it is complete.
    loading: bool,
    /// A read of the names is in flight.
    list_in_flight: bool,
    /// The names changed during that read and have to be read again.
    list_again: bool,
    /// The names have been read in this session.
    names_read: bool,
    /// When the names were last requested.
    last_list_at: Millis,
    /// Number of requests for the names and for a child's data.
    request_counts: (u64, u64),
    /// When to read the names after their watch fired.
    list_due: Option<Millis>,
    outputs: VecDeque<Output>,
}

impl Machine for Follower {
    type Event = Output;

    fn poll(&mut self) -> Option<Step<Output>> {
        Some(match Follower::poll(self)? {
            Output::Connect(member) => Step::Connect(member),
            Output::Disconnect => Step::Disconnect,
            other => Step::Event(other),
        })
    }

    fn output(&mut self) -> Vec<u8> {
        Follower::output(self)
    }

    fn poll_timeout(&self) -> Option<Millis> {
        Follower::poll_timeout(self)
    }

    fn handle_timeout(&mut self, now: Millis) {
        Follower::handle_timeout(self, now);
    }

    fn connected(&mut self, now: Millis) {
        Follower::connected(self, now);
    }

    fn disconnected(&mut self, now: Millis) {
        Follower::disconnected(self, now);
    }

    fn received(&mut self, now: Millis, bytes: &[u8]) {
        Follower::received(self, now, bytes);
    }
}

impl Follower {
    /// Creates a follower of the children of `path` that starts to connect at `now`.
    pub fn new(now: Millis, settings: Settings, path: &str, relist_interval: Millis) -> Self {
        let mut follower = Self {
            session: Session::new(now, settings),
            path: path.to_string(),
            relist_interval,
            known: BTreeMap::new(),
            names: BTreeSet::new(),
            unread: VecDeque::new(),
            queued: HashSet::new(),
            reads_in_flight: BTreeSet::new(),
            unfit: BTreeSet::new(),
            loading: true,
            list_in_flight: false,
            list_again: false,
            names_read: false,
            last_list_at: now,
            request_counts: (0, 0),
            list_due: None,
            outputs: VecDeque::new(),
        };
        follower.process_events(now);
        follower
    }

    /// Returns the next action or event, if any.
    pub fn poll(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Takes the bytes to be written to the connection.
    pub fn output(&mut self) -> Vec<u8> {
        self.session.output()
    }

    /// The underlying session.
    pub fn session(&self) -> &Session<RequestTag> {
        &self.session
    }

    /// Number of requests so far for the names and for the data of a child.
    pub fn request_counts(&self) -> (u64, u64) {
        self.request_counts
    }

    /// When the service last sent anything, which bounds the age of the known state.
    pub fn last_received(&self) -> Millis {
        self.session.last_received()
    }

    /// When [`Follower::handle_timeout`] must be called next.
    pub fn poll_timeout(&self) -> Option<Millis> {
        let next_list = self.last_list_at + self.relist_interval;
        let next_list =
            self.session.is_connected().then_some(self.list_due.map_or(next_list, |at| at.min(next_list)));
        [self.session.poll_timeout(), next_list].into_iter().flatten().min_by(f64::total_cmp)
    }

    /// Handles all timers that are due at `now`.
    pub fn handle_timeout(&mut self, now: Millis) {
        self.session.handle_timeout(now);
        let due =
            self.list_due.is_some_and(|at| now >= at) || now >= self.last_list_at + self.relist_interval;
        if self.session.is_connected() && due {
            self.request_names(now);
        }
        self.process_events(now);
    }

    /// Reports that the driver's connection is established.
    pub fn connected(&mut self, now: Millis) {
        self.session.connected(now);
        self.process_events(now);
    }

    /// Reports that the driver's connection ended or could not be established.
    pub fn disconnected(&mut self, now: Millis) {
        self.session.disconnected(now);
        self.process_events(now);
    }

    /// Processes bytes received from the service.
    pub fn received(&mut self, now: Millis, bytes: &[u8]) {
        self.session.received(now, bytes);
        self.process_events(now);
    }

    fn child_path(&self, name: &str) -> String {
        format!("{}/{name}", self.path.trim_end_matches('/'))
    }

    fn child_name<'a>(&self, path: &'a str) -> Option<&'a str> {
        path.strip_prefix(self.path.trim_end_matches('/'))?.strip_prefix('/')
    }

    /// Requests the names; while a read is in flight, schedules another one after it.
    fn request_names(&mut self, now: Millis) {
        (self.last_list_at, self.list_due) = (now, None);
        if std::mem::replace(&mut self.list_in_flight, true) {
            self.list_again = true;
            return;
        }
        let request = Request::GetChildren { path: self.path.clone(), watch: true, stat: false };
        self.request_counts.0 += 1;
        self.session.submit(now, RequestTag::Names, request);
    }

    fn queue_read(&mut self, name: String) {
        if self.queued.insert(name.clone()) {
            self.unread.push_back(name);
        }
    }

    fn process_events(&mut self, now: Millis) {
        loop {
            while let Some(event) = self.session.poll() {
                self.handle_event(now, event);
            }
            if !self.session.is_connected() || self.reads_in_flight.len() >= MAX_PENDING_READS {
                break;
            }
            let Some(name) = self.unread.pop_front() else { break };
            self.queued.remove(&name);
            if !self.names.contains(&name) || self.reads_in_flight.contains(&name) {
                // If a child in flight changes again, the new watch fires for it.
                continue;
            }
            let request = Request::GetData { path: self.child_path(&name), watch: true };
            self.reads_in_flight.insert(name.clone());
            self.request_counts.1 += 1;
            self.session.submit(now, RequestTag::Data(name), request);
        }
        let all_read = self.names_read
            && !self.list_in_flight
            && self.unread.is_empty()
            && self.reads_in_flight.is_empty();
        if self.loading && all_read && self.session.is_connected() && !self.list_again {
            self.loading = false;
            self.outputs.push_back(Output::Change(Change::Snapshot(self.known.clone())));
        }
    }

    fn handle_event(&mut self, now: Millis, event: Event<RequestTag>) {
        match event {
            Event::Connect(member) => self.outputs.push_back(Output::Connect(member)),
            Event::Disconnect => self.outputs.push_back(Output::Disconnect),
            Event::Suspended => self.outputs.push_back(Output::Unreachable),
            // A new session follows and reports the complete state.
            Event::Expired | Event::Stale { .. } => {}
            Event::Established { new } => {
                self.outputs.push_back(Output::Reachable);
                self.loading |= new;
                self.names_read &= !new;
                // Requests in flight were lost with the previous connection.
                (self.list_in_flight, self.list_again) = (false, false);
                // If the session continues, the watches report what was missed, and interrupted reads are
                // repeated.
                self.request_names(now);
                if new {
                    self.names.clone().into_iter().for_each(|name| self.queue_read(name));
                }
            }
            Event::Fired(event) if event.path == self.path => {
                let at = self.last_list_at + LIST_PAUSE_PER_NAME_MS * self.names.len() as Millis;
                if now >= at {
                    self.request_names(now);
                } else {
                    self.list_due = Some(at);
                }
            }
            Event::Fired(event) => {
                if let Some(name) = self.child_name(&event.path).map(str::to_string) {
                    match event.kind {
                        EventKind::DataChanged | EventKind::Created => self.queue_read(name),
                        EventKind::Deleted => self.remove_child(&name),
                        EventKind::ChildrenChanged => {}
                    }
                }
            }
            Event::Answer(RequestTag::Names, Err(RequestError::Service(Code::NoNode))) => {
                // A missing parent is not an empty list: nothing has registered yet, or the tree is still
                // being created. A watch reports its creation.
                self.list_in_flight = false;
                let request = Request::Exists { path: self.path.clone(), watch: true };
                self.session.submit(now, RequestTag::ParentExists, request);
            }
            Event::Answer(RequestTag::ParentExists, Ok(_)) => self.request_names(now),
            Event::Answer(RequestTag::ParentExists, Err(_)) => {}
            Event::Answer(RequestTag::Names, answer) => self.handle_names(now, answer),
            Event::Answer(RequestTag::Data(name), answer) => self.handle_data(name, answer),
        }
    }

    fn handle_names(&mut self, now: Millis, answer: Result<Response, RequestError>) {
        self.list_in_flight = false;
        let names: BTreeSet<String> = match answer {
            Ok(Response::Children { names, .. }) => names.into_iter().collect(),
            // The connection was lost; the next one starts by reading the names.
            Ok(_) | Err(_) => return,
        };
        let removed: Vec<String> = self.known.keys().filter(|name| !names.contains(*name)).cloned().collect();
        let new: Vec<String> = names.difference(&self.names).cloned().collect();
        // Names without data, such as those whose read was interrupted.
        let without_data: Vec<String> = names
            .iter()
            .filter(|n| !self.known.contains_key(*n) && !self.unfit.contains(*n))
            .cloned()
            .collect();
        self.unfit.retain(|name| names.contains(name));
        self.names = names;
        self.names_read = true;
        removed.iter().for_each(|name| self.remove_child(name));
        new.into_iter().chain(without_data).for_each(|name| self.queue_read(name));
        if std::mem::take(&mut self.list_again) {
            self.request_names(now);
        }
    }

    fn handle_data(&mut self, name: String, answer: Result<Response, RequestError>) {
        self.reads_in_flight.remove(&name);
        match answer {
            Ok(Response::Data { data, .. }) if data.len() > MAX_DATA_BYTES => {
                self.unfit.insert(name.clone());
                self.outputs.push_back(Output::Change(Change::Oversized(name)));
            }
            Ok(Response::Data { data, .. }) => {
                self.unfit.remove(&name);
                if !self.names.contains(&name) || self.known.get(&name) == Some(&data) {
                    return;
                }
                self.known.insert(name.clone(), data.clone());
                if !self.loading {
                    self.outputs.push_back(Output::Change(Change::Set(name, data)));
                }
            }
            Err(RequestError::Service(Code::NoNode)) => self.remove_child(&name),
            // The connection was lost; the read is repeated on the next one.
            Ok(_) | Err(_) => self.queue_read(name),
        }
    }

    fn remove_child(&mut self, name: &str) {
        self.names.remove(name);
        self.unfit.remove(name);
        if self.known.remove(name).is_some() && !self.loading {
            self.outputs.push_back(Output::Change(Change::Removed(name.to_string())));
        }
    }
}
