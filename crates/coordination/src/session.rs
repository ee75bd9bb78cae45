//! A client's session: one connection after another to the members of a service, as one thing.
//!
//! Bytes and the time go in, [`Event`]s and bytes to write come out. The driver opens a connection on
//! [`Event::Connect`], drops it on [`Event::Disconnect`], and calls [`Session::handle_timeout`] when
//! [`Session::poll_timeout`] is due.
//!
//! What it promises:
//! - *Never back in time.* A member whose word is older than what the session has seen is left, and its word not used.
//! - *No silent member.* One that accepts and says nothing, or falls silent, is left after a part of the time-out that
//!   still leaves time for the others.
//! - *No watch is lost without word.* Watches are taken up again on every new connection with what was last seen, so that
//!   what happened meanwhile is said; an answer that sets a watch and does not arrive tells its caller so.

use std::collections::{BTreeSet, VecDeque};

use bytes::Bytes;

use crate::frame::{framed, Frames, LONGEST};
use crate::jute::Reader;
use crate::machine::{Machine, Step};
use crate::proto::{
    Code, ConnectRequest, ConnectResponse, EventKind, ReplyHeader, Request, Response, WatchEvent, XID_EVENT,
    XID_PING, XID_SET_WATCHES,
};
use crate::Millis;

/// How much of paths one record that takes watches up again may hold: services read no more than 1 MiB.
const WATCHES_AT_ONCE: usize = 128 * 1024;
/// The least that a member is given to answer.
const PATIENCE_LEAST: Millis = 20.0;
/// How long the session rests when it has tried all members, at first and at most; the span doubles in between.
const REST: (Millis, Millis) = (10.0, 1000.0);

/// How a session is set up.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How many members the service has, 1 at least; they are named by number.
    pub members: usize,
    /// The time-out that is asked for; the service may grant another.
    pub timeout: Millis,
    /// For the order of members and for rests, so that clients do not move all at once.
    pub seed: u64,
}

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failed {
    /// The service's word.
    Service(Code),
    /// The connection ended first: it may have been done.
    Lost,
    /// There was no connection: it was not sent.
    NotSent,
    /// The answer can't be read.
    Garbled,
}

/// What happened, or is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event<T> {
    /// Open a connection to this member, and say so with [`Session::connected`] or [`Session::broken`].
    Connect(usize),
    /// Drop the connection.
    Disconnect,
    /// The service knows the session on this connection.
    Established {
        /// It is another session than before: what was ephemeral in the one before is gone.
        new: bool,
    },
    /// The connection is gone; the session may still stand.
    Suspended,
    /// The service says that the session is over. A new one follows by itself.
    Expired,
    /// What was asked has its answer.
    Answer(T, Result<Response, Failed>),
    /// A watch has fired.
    Fired(WatchEvent),
    /// A member was left, as its word was older than what the session has seen.
    Stale {
        /// The member.
        member: usize,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// No connection until then.
    Resting(Millis),
    /// The driver connects.
    Connecting(Millis),
    /// The service's word on the session is awaited since then.
    Greeting(Millis),
    /// All is well.
    Connected,
    /// Closed by its owner.
    Closed,
}

struct Asked<T> {
    xid: i32,
    request: Request,
    /// `None` for what the session asks for itself.
    name: Option<T>,
}

/// Watches that are set.
#[derive(Debug, Default)]
struct Watches {
    data: BTreeSet<String>,
    exist: BTreeSet<String>,
    children: BTreeSet<String>,
}

impl Watches {
    /// Notes what an answer has set.
    fn set(&mut self, request: &Request, answer: &Result<Response, Failed>) {
        match (request, answer) {
            (Request::Exists { path, watch: true }, Ok(_))
            | (Request::GetData { path, watch: true }, Ok(_)) => {
                self.data.insert(path.clone());
            }
            (Request::Exists { path, watch: true }, Err(Failed::Service(Code::NoNode))) => {
                self.exist.insert(path.clone());
            }
            (Request::GetChildren { path, watch: true, .. }, Ok(_)) => {
                self.children.insert(path.clone());
            }
            _ => {}
        }
    }

    /// Takes out what has fired; false where nothing was set.
    fn fire(&mut self, event: &WatchEvent) -> bool {
        let path = event.path.as_str();
        match event.kind {
            EventKind::Created | EventKind::DataChanged => self.data.remove(path) | self.exist.remove(path),
            EventKind::Deleted => {
                self.data.remove(path) | self.exist.remove(path) | self.children.remove(path)
            }
            EventKind::ChildrenChanged => self.children.remove(path),
        }
    }

    /// Requests that take all of them up again.
    fn again(&self, since: i64) -> Vec<Request> {
        let all = [(0, &self.data), (1, &self.exist), (2, &self.children)];
        let all = all.into_iter().flat_map(|(kind, set)| set.iter().map(move |path| (kind, path)));
        let mut requests = Vec::new();
        let (mut parts, mut size): ([Vec<String>; 3], usize) = (Default::default(), 0);
        let flush = |parts: &mut [Vec<String>; 3], requests: &mut Vec<Request>| {
            let [data, exist, children] = std::mem::take(parts);
            requests.push(Request::SetWatches { since, data, exist, children });
        };
        for (kind, path) in all {
            if size + path.len() > WATCHES_AT_ONCE && size > 0 {
                flush(&mut parts, &mut requests);
                size = 0;
            }
            size += path.len() + 4;
            parts[kind].push(path.clone());
        }
        if size > 0 {
            flush(&mut parts, &mut requests);
        }
        requests
    }
}

/// A client's session.
pub struct Session<T> {
    settings: Settings,
    random: u64,
    state: State,
    id: i64,
    password: Bytes,
    /// The time-out that holds.
    timeout: Millis,
    /// The newest zxid seen, over all members.
    zxid: i64,
    /// In which order members are tried, and which comes next.
    order: Vec<usize>,
    next: usize,
    /// Members that failed in a row.
    failures: usize,
    frames: Frames,
    out: Vec<u8>,
    asked: VecDeque<Asked<T>>,
    last_xid: i32,
    heard: Millis,
    sent: Millis,
    watches: Watches,
    events: VecDeque<Event<T>>,
}

impl<T> Machine for Session<T> {
    type Said = Event<T>;

    fn poll(&mut self) -> Option<Step<Event<T>>> {
        Some(match Session::poll(self)? {
            Event::Connect(member) => Step::Connect(member),
            Event::Disconnect => Step::Disconnect,
            said => Step::Said(said),
        })
    }

    fn output(&mut self) -> Vec<u8> {
        Session::output(self)
    }

    fn poll_timeout(&self) -> Option<Millis> {
        Session::poll_timeout(self)
    }

    fn handle_timeout(&mut self, now: Millis) {
        Session::handle_timeout(self, now);
    }

    fn connected(&mut self, now: Millis) {
        Session::connected(self, now);
    }

    fn broken(&mut self, now: Millis) {
        Session::broken(self, now);
    }

    fn received(&mut self, now: Millis, bytes: &[u8]) {
        Session::received(self, now, bytes);
    }
}

impl<T> Session<T> {
    /// A session that begins to connect now.
    pub fn new(now: Millis, settings: Settings) -> Self {
        let mut session = Self {
            settings,
            random: settings.seed,
            state: State::Resting(now),
            id: 0,
            password: Bytes::new(),
            timeout: settings.timeout,
            zxid: 0,
            order: (0..settings.members.max(1)).collect(),
            next: 0,
            failures: 0,
            frames: Frames::new(LONGEST),
            out: Vec::new(),
            asked: VecDeque::new(),
            last_xid: 0,
            heard: now,
            sent: now,
            watches: Watches::default(),
            events: VecDeque::new(),
        };
        for n in (1..session.order.len()).rev() {
            let other = (session.random() % (n as u64 + 1)) as usize;
            session.order.swap(n, other);
        }
        session.handle_timeout(now);
        session
    }

    /// SplitMix64.
    fn random(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.random;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }

    /// The next thing that happened.
    pub fn poll(&mut self) -> Option<Event<T>> {
        self.events.pop_front()
    }

    /// What is to be written; it is taken by this.
    pub fn output(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.out)
    }

    /// Its number; 0 before the service gave one.
    pub fn id(&self) -> i64 {
        self.id
    }

    /// The newest zxid that it has seen.
    pub fn zxid(&self) -> i64 {
        self.zxid
    }

    /// Does the service know it on this connection?
    pub fn is_connected(&self) -> bool {
        self.state == State::Connected
    }

    /// When the service was last heard.
    pub fn heard(&self) -> Millis {
        self.heard
    }

    /// The time-out that holds.
    pub fn timeout(&self) -> Millis {
        self.timeout
    }

    /// How many watches are set.
    pub fn watches(&self) -> usize {
        self.watches.data.len() + self.watches.exist.len() + self.watches.children.len()
    }

    /// How long one member is waited for: a third of the time-out, less where there are many, so that within a time-out
    /// all have been tried.
    fn patience(&self) -> Millis {
        (self.timeout / (self.order.len() as f64 + 1.0)).min(self.timeout / 3.0).max(PATIENCE_LEAST)
    }

    /// When [`Session::handle_timeout`] is to be called; `None` once it is closed.
    pub fn poll_timeout(&self) -> Option<Millis> {
        match self.state {
            State::Resting(until) => Some(until),
            State::Connecting(since) | State::Greeting(since) => Some(since + self.patience()),
            State::Connected => {
                Some((self.sent + self.timeout / 3.0).min(self.heard + self.timeout * 2.0 / 3.0))
            }
            State::Closed => None,
        }
    }

    /// Does what is due by now.
    pub fn handle_timeout(&mut self, now: Millis) {
        match self.state {
            State::Resting(until) if now >= until => {
                let member = self.order[self.next % self.order.len()];
                self.state = State::Connecting(now);
                self.events.push_back(Event::Connect(member));
            }
            State::Connecting(since) | State::Greeting(since) if now >= since + self.patience() => {
                self.leave(now);
            }
            State::Connected if now >= self.heard + self.timeout * 2.0 / 3.0 => self.leave(now),
            State::Connected if now >= self.sent + self.timeout / 3.0 => {
                self.send(now, XID_PING, &Request::Ping);
            }
            _ => {}
        }
    }

    /// The driver's connection stands.
    pub fn connected(&mut self, now: Millis) {
        if !matches!(self.state, State::Connecting(_)) {
            return;
        }
        self.state = State::Greeting(now);
        self.frames = Frames::new(LONGEST);
        let hello = ConnectRequest {
            last_zxid: self.zxid,
            timeout: self.settings.timeout.clamp(1.0, f64::from(i32::MAX)) as i32,
            session: self.id,
            password: self.password.clone(),
        };
        self.out = framed(&hello.write());
        self.sent = now;
    }

    /// The driver's connection has ended, or never came up.
    pub fn broken(&mut self, now: Millis) {
        if !matches!(self.state, State::Resting(_) | State::Closed) {
            self.moved_on(now);
        }
    }

    /// Drops the connection and goes on to the next member.
    fn leave(&mut self, now: Millis) {
        self.events.push_back(Event::Disconnect);
        self.moved_on(now);
    }

    fn moved_on(&mut self, now: Millis) {
        let was = std::mem::replace(&mut self.state, State::Resting(now));
        self.next += 1;
        self.out.clear();
        if was == State::Connected {
            self.events.push_back(Event::Suspended);
        }
        for asked in std::mem::take(&mut self.asked) {
            if let Some(name) = asked.name {
                self.events.push_back(Event::Answer(name, Err(Failed::Lost)));
            }
        }
        self.failures += 1;
        // At once to the others; a rest once all have failed, longer each time.
        let rounds = self.failures / self.order.len();
        if rounds > 0 && self.failures.is_multiple_of(self.order.len()) {
            let span = (REST.0 * 2.0f64.powi(rounds.min(12) as i32 - 1)).min(REST.1);
            let jitter = (self.random() >> 11) as f64 / (1u64 << 53) as f64;
            self.state = State::Resting(now + span * (0.5 + jitter / 2.0));
        }
        self.handle_timeout(now);
    }

    fn send(&mut self, now: Millis, xid: i32, request: &Request) {
        self.out.extend(framed(&request.write(xid)));
        self.sent = now;
    }

    /// Asks for something; [`Event::Answer`] under this name follows, in the order of asking.
    pub fn ask(&mut self, now: Millis, name: T, request: Request) {
        if self.state != State::Connected {
            self.events.push_back(Event::Answer(name, Err(Failed::NotSent)));
            return;
        }
        // Numbers below 0 have a meaning of their own.
        self.last_xid = self.last_xid.checked_add(1).unwrap_or(1);
        let xid = self.last_xid;
        self.send(now, xid, &request);
        self.asked.push_back(Asked { xid, request, name: Some(name) });
    }

    /// Ends the session with its ephemeral nodes, as far as the service can still be told: what is in
    /// [`Session::output`] is to be written first.
    pub fn close(&mut self, now: Millis) {
        if self.state == State::Connected {
            self.send(now, self.last_xid.wrapping_add(1).max(1), &Request::CloseSession);
        }
        self.state = State::Closed;
        for asked in std::mem::take(&mut self.asked) {
            if let Some(name) = asked.name {
                self.events.push_back(Event::Answer(name, Err(Failed::Lost)));
            }
        }
    }

    /// Takes what came.
    pub fn received(&mut self, now: Millis, bytes: &[u8]) {
        if !matches!(self.state, State::Greeting(_) | State::Connected) {
            return;
        }
        self.frames.push(bytes);
        loop {
            let well = match self.frames.poll() {
                Ok(None) => return,
                Ok(Some(record)) if self.state == State::Connected => self.record(now, record),
                Ok(Some(record)) => self.greeted(now, record),
                Err(_) => false,
            };
            if !well {
                return self.leave(now);
            }
            if !matches!(self.state, State::Greeting(_) | State::Connected) {
                return;
            }
        }
    }

    /// The service's word on the session; false where it makes no sense.
    fn greeted(&mut self, now: Millis, record: Bytes) -> bool {
        let Ok(word) = ConnectResponse::read(record) else { return false };
        if word.session == 0 || word.timeout <= 0 {
            if self.id == 0 {
                return false;
            }
            // Its ephemeral nodes are gone, and so are its watches. The next connection asks for a new one. What was
            // seen stays seen: a new session must not go back in time either.
            (self.id, self.password) = (0, Bytes::new());
            self.watches = Watches::default();
            self.timeout = self.settings.timeout;
            self.events.push_back(Event::Expired);
            self.failures = 0;
            self.leave(now);
            return true;
        }
        let new = word.session != self.id;
        if new {
            self.watches = Watches::default();
        }
        (self.id, self.password, self.timeout) = (word.session, word.password, f64::from(word.timeout));
        (self.state, self.heard) = (State::Connected, now);
        self.events.push_back(Event::Established { new });
        for request in self.watches.again(self.zxid) {
            self.send(now, XID_SET_WATCHES, &request);
            self.asked.push_back(Asked { xid: XID_SET_WATCHES, request, name: None });
        }
        true
    }

    /// One record of a connection that stands; false where it makes no sense.
    fn record(&mut self, now: Millis, record: Bytes) -> bool {
        let mut r = Reader::new(record);
        let Ok(header) = ReplyHeader::read(&mut r) else { return false };
        if header.xid == XID_EVENT {
            let Ok(event) = WatchEvent::read(&mut r) else { return false };
            self.heard = now;
            // One that is not set has fired before: services may say it twice round a new connection.
            if self.watches.fire(&event) {
                self.events.push_back(Event::Fired(event));
            }
            return true;
        }
        // A member that is behind what was seen elsewhere would take the list back in time.
        if header.zxid > 0 && header.zxid < self.zxid {
            let member = self.order[self.next % self.order.len()];
            self.events.push_back(Event::Stale { member });
            return false;
        }
        self.heard = now;
        self.zxid = self.zxid.max(header.zxid);
        // Not by its greeting alone: members that greet and are behind would be tried in turn without a rest.
        self.failures = 0;
        if header.xid == XID_PING {
            return true;
        }
        // Answers come in the order of asking; anything else is another conversation.
        let Some(asked) = self.asked.pop_front() else { return false };
        if asked.xid != header.xid {
            self.asked.push_front(asked);
            return false;
        }
        let answer = match header.error {
            Some(code) => Err(Failed::Service(code)),
            None => Response::read(&asked.request, &mut r).map_err(|_| Failed::Garbled),
        };
        // In a multi that failed each operation tells what it came to.
        self.watches.set(&asked.request, &answer);
        match asked.name {
            Some(name) => self.events.push_back(Event::Answer(name, answer)),
            // Without its watches the session would not hear of changes.
            None if answer.is_err() => return false,
            None => {}
        }
        true
    }
}
