//! The server side: keeps a server's entry registered in the tree for as long as the server runs.
//!
//! The entry's node is ephemeral and is removed when the session ends. After a lost session a new one
//! registers the same entry again. The entry contains the start time (birth) of the process, so readers can
//! tell that the server has not restarted.
//!
//! The end of an old session must not remove the node of the new one. If the node is owned by another
//! session, it is read first. If its birth is earlier or equal, it is replaced: deleted by its version and
//! created again in one transaction, so that the end of the old session no longer affects it. If its birth is
//! later, a newer process has taken over the name, and this registrar stops, so that two processes do not
//! compete for one name. Two processes of equal birth can't be distinguished; each replaces the other's node
//! at most once in five seconds.

use std::collections::VecDeque;

use bytes::Bytes;
use glenwood_list::{Health, ListEntry};

use crate::machine::{Machine, Step};
use crate::proto::{Acl, Code, Mode, Request, Response};
use crate::session::{Event, RequestError, Session, Settings};
use crate::Millis;

/// Initial and maximum delay before a retry, in milliseconds; it doubles with each failure.
const RETRY_BACKOFF_MS: (Millis, Millis) = (50.0, 5000.0);

/// Tags the registrar's requests to its session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestTag {
    /// Create the folder's ancestor with this index, counted from the root.
    CreateAncestor(usize),
    /// Create the entry's node.
    CreateEntry,
    /// Read the node that has the entry's path.
    ReadEntry,
    /// Replace another session's node by the entry's node.
    ReplaceEntry,
    /// Write changed data.
    WriteEntry,
}

/// An event for the registrar's user.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrarEvent {
    /// The entry is registered with its latest content.
    Registered,
    /// The entry is registered and marks the server as draining.
    Draining,
    /// A newer process has registered the name; this registrar has stopped.
    Superseded,
    /// The service is unreachable; the entry may still be registered.
    Unreachable,
    /// The registrar was stopped; the entry is removed once the pending output is written.
    Stopped,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Not known to be registered in this session; to be registered at this time, or at once if `None`.
    Unregistered(Option<Millis>),
    /// A request is in flight.
    Pending,
    /// Registered, with the data as of this change count.
    Published(u64),
    /// Stopped for good.
    Stopped,
}

/// Keeps one server's entry registered.
pub struct Registrar {
    session: Session<RequestTag>,
    folder: String,
    host: ListEntry,
    /// Number of changes of the entry so far.
    changes: u64,
    /// The change count whose data the request in flight contains.
    sent_changes: u64,
    state: State,
    failures: i32,
    /// When a node of another session was last replaced.
    last_replaced: Option<Millis>,
    /// The change count for which `Registered` or `Draining` was last reported.
    reported: Option<u64>,
    outputs: VecDeque<Step<RegistrarEvent>>,
}

impl Registrar {
    /// Creates a registrar that keeps `host` registered under `folder`.
    pub fn new(now: Millis, settings: Settings, folder: &str, host: ListEntry) -> Self {
        let mut registrar = Self {
            session: Session::new(now, settings),
            folder: folder.trim_end_matches('/').to_string(),
            host,
            changes: 0,
            sent_changes: 0,
            state: State::Unregistered(None),
            failures: 0,
            last_replaced: None,
            reported: None,
            outputs: VecDeque::new(),
        };
        registrar.process_events(now);
        registrar
    }

    /// The entry that is registered or to be registered.
    pub fn host(&self) -> &ListEntry {
        &self.host
    }

    /// Whether the entry is registered with its latest content.
    pub fn is_registered(&self) -> bool {
        self.state == State::Published(self.changes)
    }

    /// The underlying session.
    pub fn session(&self) -> &Session<RequestTag> {
        &self.session
    }

    /// Changes the entry and registers the result; its name can't be changed.
    pub fn update_entry(&mut self, now: Millis, change: impl FnOnce(&mut ListEntry)) {
        let name = self.host.host.clone();
        change(&mut self.host);
        self.host.host = name;
        self.changes += 1;
        self.process_events(now);
    }

    /// Marks the server as draining, so that it gets no new requests. [`RegistrarEvent::Draining`] follows.
    pub fn drain(&mut self, now: Millis) {
        self.update_entry(now, |host| host.health = Health::Leaving);
    }

    /// Closes the session, which removes the entry. [`RegistrarEvent::Stopped`] follows; the pending output must still be
    /// written.
    pub fn deregister(&mut self, now: Millis) {
        self.session.close(now);
        self.state = State::Stopped;
        self.outputs.push_back(Step::Event(RegistrarEvent::Stopped));
    }

    fn path(&self) -> String {
        format!("{}/{}", self.folder, self.host.host)
    }

    fn data(&self) -> Bytes {
        // Serialization can't fail, because an entry consists of strings and numbers only.
        Bytes::from(serde_json::to_vec(&self.host).unwrap_or_default())
    }

    fn create_request(&self) -> Request {
        let mode = Mode { ephemeral: true, sequential: false };
        Request::Create { path: self.path(), data: self.data(), acl: Acl::world_all(), mode, stat: false }
    }

    fn send_request(&mut self, now: Millis, tag: RequestTag, request: Request) {
        self.state = State::Pending;
        self.sent_changes = self.changes;
        self.session.submit(now, tag, request);
    }

    /// Schedules a retry after a failure, with exponential backoff.
    fn schedule_retry(&mut self, now: Millis) {
        let delay = (RETRY_BACKOFF_MS.0 * 2.0f64.powi(self.failures.min(12))).min(RETRY_BACKOFF_MS.1);
        self.failures += 1;
        self.state = State::Unregistered(Some(now + delay));
    }

    /// Returns the folder's ancestor with index `n`, counted from the root. The last one is the
    /// folder itself; `None` after that.
    fn ancestor(&self, n: usize) -> Option<String> {
        let ancestor_ends =
            self.folder.match_indices('/').map(|(at, _)| at).skip(1).chain([self.folder.len()]);
        ancestor_ends.filter(|end| *end > 0).nth(n).map(|end| self.folder[..end].to_string())
    }

    fn process_events(&mut self, now: Millis) {
        loop {
            while let Some(event) = self.session.poll() {
                self.handle_event(now, event);
            }
            if !self.session.is_connected() {
                return;
            }
            match self.state {
                State::Unregistered(at) if at.is_none_or(|at| at <= now) => {
                    let create = self.create_request();
                    self.send_request(now, RequestTag::CreateEntry, create);
                }
                State::Published(count) if count != self.changes => {
                    let request = Request::SetData { path: self.path(), data: self.data(), version: -1 };
                    self.send_request(now, RequestTag::WriteEntry, request);
                }
                _ => return,
            }
        }
    }

    fn handle_event(&mut self, now: Millis, event: Event<RequestTag>) {
        match event {
            Event::Connect(member) => self.outputs.push_back(Step::Connect(member)),
            Event::Disconnect => self.outputs.push_back(Step::Disconnect),
            _ if self.state == State::Stopped => {}
            Event::Suspended => self.outputs.push_back(Step::Event(RegistrarEvent::Unreachable)),
            Event::Expired | Event::Stale { .. } => {}
            Event::Established { new } => {
                if new || self.state == State::Pending {
                    // A new session has no node in the tree. In a continued session the request in flight may
                    // have been executed; registering again finds out.
                    self.state = State::Unregistered(None);
                    self.reported = None;
                }
            }
            // The node was deleted, replaced or changed.
            Event::Fired(event) => {
                if event.path == self.path() && matches!(self.state, State::Published(_)) {
                    self.read_entry(now);
                }
            }
            Event::Answer(tag, answer) => self.handle_answer(now, tag, answer),
        }
    }

    fn read_entry(&mut self, now: Millis) {
        let request = Request::GetData { path: self.path(), watch: true };
        self.send_request(now, RequestTag::ReadEntry, request);
    }

    fn handle_answer(&mut self, now: Millis, tag: RequestTag, answer: Result<Response, RequestError>) {
        use RequestError::{ConnectionLost, NotSent, Service};
        match (tag, answer) {
            // Repeated on the next connection.
            (_, Err(ConnectionLost | NotSent)) => self.state = State::Unregistered(None),
            (RequestTag::CreateEntry, Err(Service(Code::NoNode))) => self.create_ancestors(now, 0),
            (RequestTag::CreateAncestor(n), Ok(_) | Err(Service(Code::NodeExists))) => {
                self.create_ancestors(now, n + 1)
            }
            (RequestTag::CreateEntry, Ok(_) | Err(Service(Code::NodeExists))) => self.read_entry(now),
            (RequestTag::ReplaceEntry, Ok(Response::Multi(all))) if all.iter().all(Result::is_ok) => {
                self.read_entry(now)
            }
            (RequestTag::ReadEntry, Ok(Response::Data { data, stat })) => {
                self.handle_existing(now, &data, stat)
            }
            (RequestTag::WriteEntry, Ok(_)) => {
                self.mark_published(self.sent_changes);
                // This write has fired the watch on the node; reading sets it again.
                self.read_entry(now);
            }
            // The node was deleted in the meantime, or the request failed otherwise.
            _ => self.schedule_retry(now),
        }
    }

    /// Creates the folder's ancestors from index `n` on, one request at a time, and then the entry.
    fn create_ancestors(&mut self, now: Millis, n: usize) {
        match self.ancestor(n) {
            Some(path) => {
                let mode = Mode::default();
                let request =
                    Request::Create { path, data: Bytes::new(), acl: Acl::world_all(), mode, stat: false };
                self.send_request(now, RequestTag::CreateAncestor(n), request);
            }
            // The whole folder exists. If it existed before, it was deleted in between. The entry is created
            // again.
            None => self.state = State::Unregistered(None),
        }
    }

    /// Handles the existing node at the entry's path; the read has set a watch on it.
    fn handle_existing(&mut self, now: Millis, data: &Bytes, stat: crate::proto::Stat) {
        if stat.ephemeral_owner == self.session.id() {
            self.failures = 0;
            if *data == self.data() {
                self.mark_published(self.changes);
            } else {
                self.state = State::Published(self.changes.wrapping_sub(1));
            }
            return;
        }
        let other: Option<ListEntry> = serde_json::from_slice(data).ok();
        if other.is_some_and(|other| other.started_ms > self.host.started_ms) {
            self.session.close(now);
            self.state = State::Stopped;
            self.outputs.push_back(Step::Event(RegistrarEvent::Superseded));
            return;
        }
        // Without this limit, two processes of equal birth would replace each other's node as fast as the
        // service answers.
        if self.last_replaced.is_some_and(|at| now < at + RETRY_BACKOFF_MS.1) {
            return self.schedule_retry(now);
        }
        self.last_replaced = Some(now);
        let delete = Request::Delete { path: self.path(), version: stat.version };
        let replace = Request::Multi(vec![delete, self.create_request()]);
        self.send_request(now, RequestTag::ReplaceEntry, replace);
    }

    fn mark_published(&mut self, count: u64) {
        self.state = State::Published(count);
        if count == self.changes && self.reported != Some(count) {
            self.reported = Some(count);
            let draining = self.host.health != Health::Active;
            self.outputs.push_back(Step::Event(if draining {
                RegistrarEvent::Draining
            } else {
                RegistrarEvent::Registered
            }));
        }
    }
}

impl Machine for Registrar {
    type Event = RegistrarEvent;

    fn poll(&mut self) -> Option<Step<RegistrarEvent>> {
        self.outputs.pop_front()
    }

    fn output(&mut self) -> Vec<u8> {
        self.session.output()
    }

    fn poll_timeout(&self) -> Option<Millis> {
        let retry = match self.state {
            State::Unregistered(Some(at)) if self.session.is_connected() => Some(at),
            _ => None,
        };
        [self.session.poll_timeout(), retry].into_iter().flatten().min_by(f64::total_cmp)
    }

    fn handle_timeout(&mut self, now: Millis) {
        self.session.handle_timeout(now);
        self.process_events(now);
    }

    fn connected(&mut self, now: Millis) {
        self.session.connected(now);
        self.process_events(now);
    }

    fn disconnected(&mut self, now: Millis) {
        self.session.disconnected(now);
        self.process_events(now);
    }

    fn received(&mut self, now: Millis, bytes: &[u8]) {
        self.session.received(now, bytes);
        self.process_events(now);
    }
}
