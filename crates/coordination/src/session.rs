//! A client session that survives reconnects between the members of the service.
//!
//! It takes bytes and the time and returns [`Event`]s and bytes to write. The driver opens a connection on
//! [`Event::Connect`], closes it on [`Event::Disconnect`] and calls [`Session::handle_timeout`] when
//! [`Session::poll_timeout`] is due.
//!
//! Guarantees:
//! - *No stale reads.* If a member's zxid is older than the newest one seen, the session disconnects from it
//!   and discards its reply.
//! - *No unresponsive member.* A member that accepts the connection but sends nothing, or stops sending, is
//!   abandoned after a part of the session time-out that leaves time to try the others.
//! - *No silently lost watch.* Watches are set again on every new connection with the newest zxid seen, so
//!   that missed changes are reported. If the answer that would set a watch is lost, the caller gets an
//!   error.

use std::collections::{BTreeSet, VecDeque};

use bytes::Bytes;

use crate::frame::{with_length_prefix, Frames, MAX_RECORD_BYTES};
use crate::jute::Reader;
use crate::machine::{Machine, Step};
use crate::proto::{
    Code, ConnectRequest, ConnectResponse, EventKind, ReplyHeader, Request, Response, WatchEvent, XID_EVENT,
    XID_PING, XID_SET_WATCHES,
};
use crate::Millis;

/// Maximum total path size of one `SetWatches` record; services read records of at most 1 MiB.
const MAX_SET_WATCHES_BYTES: usize = 128 * 1024;
/// Minimum time a member has to answer, in milliseconds.
const MIN_MEMBER_TIMEOUT_MS: Millis = 20.0;
/// Initial and maximum backoff, in milliseconds, once all members have been tried; it doubles in between.
const RECONNECT_BACKOFF_MS: (Millis, Millis) = (10.0, 1000.0);

/// Settings of a session.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Number of members of the service, at least 1; members are identified by index.
    pub members: usize,
    /// The requested session time-out; the service may grant a different one.
    pub timeout: Millis,
    /// Seed for the member order and the backoff jitter, so that clients do not reconnect in lockstep.
    pub seed: u64,
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The service returned an error.
    Service(Code),
    /// The connection ended before the answer arrived; the request may have been executed.
    ConnectionLost,
    /// The request was not sent because there was no connection.
    NotSent,
    /// The answer is malformed.
    Malformed,
}

/// An action for the driver, or an event for the user.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event<T> {
    /// Open a connection to this member and report the result with [`Session::connected`] or
    /// [`Session::disconnected`].
    Connect(usize),
    /// Close the connection.
    Disconnect,
    /// The service accepted the session on this connection.
    Established {
        /// Whether this is a new session, in which case the ephemeral nodes of the previous one are gone.
        new: bool,
    },
    /// The connection was lost; the session may still be alive.
    Suspended,
    /// The service reported that the session expired. A new one is requested automatically.
    Expired,
    /// The result of the request with this tag.
    Answer(T, Result<Response, RequestError>),
    /// A watch fired.
    Fired(WatchEvent),
    /// The session disconnected from a member whose zxid was older than the newest one seen.
    Stale {
        /// Index of the member.
        member: usize,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Waiting until this time before the next connection attempt.
    Backoff(Millis),
    /// The driver has been connecting since this time.
    Connecting(Millis),
    /// Waiting since this time for the service's `ConnectResponse`.
    Handshake(Millis),
    /// The session is established on the current connection.
    Connected,
    /// Closed by the user.
    Closed,
}

struct PendingRequest<T> {
    xid: i32,
    request: Request,
    /// The caller's tag; `None` for requests of the session itself.
    tag: Option<T>,
}

/// The watches currently set.
#[derive(Debug, Default)]
struct Watches {
    data: BTreeSet<String>,
    exist: BTreeSet<String>,
    children: BTreeSet<String>,
}

impl Watches {
    /// Records the watch that an answered request has set.
    fn set(&mut self, request: &Request, answer: &Result<Response, RequestError>) {
        match (request, answer) {
            (Request::Exists { path, watch: true }, Ok(_))
            | (Request::GetData { path, watch: true }, Ok(_)) => {
                self.data.insert(path.clone());
            }
            (Request::Exists { path, watch: true }, Err(RequestError::Service(Code::NoNode))) => {
                self.exist.insert(path.clone());
            }
            (Request::GetChildren { path, watch: true, .. }, Ok(_)) => {
                self.children.insert(path.clone());
            }
            _ => {}
        }
    }

    /// Removes the watches that the event fires; false if none was set.
    fn take_fired(&mut self, event: &WatchEvent) -> bool {
        let path = event.path.as_str();
        match event.kind {
            EventKind::Created | EventKind::DataChanged => self.data.remove(path) | self.exist.remove(path),
            EventKind::Deleted => {
                self.data.remove(path) | self.exist.remove(path) | self.children.remove(path)
            }
            EventKind::ChildrenChanged => self.children.remove(path),
        }
    }

    /// Builds the `SetWatches` requests that set all watches again.
    fn set_watches_requests(&self, since: i64) -> Vec<Request> {
        let all = [(0, &self.data), (1, &self.exist), (2, &self.children)];
        let all = all.into_iter().flat_map(|(kind, set)| set.iter().map(move |path| (kind, path)));
        let mut requests = Vec::new();
        let (mut parts, mut size): ([Vec<String>; 3], usize) = (Default::default(), 0);
        let flush = |parts: &mut [Vec<String>; 3], requests: &mut Vec<Request>| {
            let [data, exist, children] = std::mem::take(parts);
            requests.push(Request::SetWatches { since, data, exist, children });
        };
        for (kind, path) in all {
            if size + path.len() > MAX_SET_WATCHES_BYTES && size > 0 {
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

/// A client session; `T` is the type of the caller's request tags.
pub struct Session<T> {
    settings: Settings,
    random: u64,
    state: State,
    id: i64,
    password: Bytes,
    /// The session time-out currently in effect.
    timeout: Millis,
    /// The newest zxid seen from any member.
    zxid: i64,
    /// The order in which members are tried, and a counter that gives the current position in it.
    order: Vec<usize>,
    next_index: usize,
    /// Consecutive failed connections.
    failures: usize,
    frames: Frames,
    out: Vec<u8>,
    pending: VecDeque<PendingRequest<T>>,
    last_xid: i32,
    last_received: Millis,
    last_sent: Millis,
    watches: Watches,
    events: VecDeque<Event<T>>,
}

impl<T> Machine for Session<T> {
    type Event = Event<T>;

    fn poll(&mut self) -> Option<Step<Event<T>>> {
        Some(match Session::poll(self)? {
            Event::Connect(member) => Step::Connect(member),
            Event::Disconnect => Step::Disconnect,
            other_event => Step::Event(other_event),
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

    fn disconnected(&mut self, now: Millis) {
        Session::disconnected(self, now);
    }

    fn received(&mut self, now: Millis, bytes: &[u8]) {
        Session::received(self, now, bytes);
    }
}

impl<T> Session<T> {
    /// Creates a session that starts to connect at `now`.
    pub fn new(now: Millis, settings: Settings) -> Self {
        let mut session = Self {
            settings,
            random: settings.seed,
            state: State::Backoff(now),
            id: 0,
            password: Bytes::new(),
            timeout: settings.timeout,
            zxid: 0,
            order: (0..settings.members.max(1)).collect(),
            next_index: 0,
            failures: 0,
            frames: Frames::new(MAX_RECORD_BYTES),
            out: Vec::new(),
            pending: VecDeque::new(),
            last_xid: 0,
            last_received: now,
            last_sent: now,
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

    /// Returns the next number of a SplitMix64 generator.
    fn random(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.random;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }

    /// Returns the next event, if any.
    pub fn poll(&mut self) -> Option<Event<T>> {
        self.events.pop_front()
    }

    /// Takes the bytes to be written to the connection.
    pub fn output(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.out)
    }

    /// The session ID; 0 until the service has assigned one.
    pub fn id(&self) -> i64 {
        self.id
    }

    /// The newest zxid seen.
    pub fn zxid(&self) -> i64 {
        self.zxid
    }

    /// Whether the session is established on the current connection.
    pub fn is_connected(&self) -> bool {
        self.state == State::Connected
    }

    /// When the last valid record arrived from the service.
    pub fn last_received(&self) -> Millis {
        self.last_received
    }

    /// The session time-out currently in effect.
    pub fn timeout(&self) -> Millis {
        self.timeout
    }

    /// Number of watches currently set.
    pub fn watch_count(&self) -> usize {
        self.watches.data.len() + self.watches.exist.len() + self.watches.children.len()
    }

    /// Time a member has to answer: a third of the session time-out, or less with many members, so that all
    /// can be tried within one session time-out.
    fn member_timeout(&self) -> Millis {
        (self.timeout / (self.order.len() as f64 + 1.0)).min(self.timeout / 3.0).max(MIN_MEMBER_TIMEOUT_MS)
    }

    /// When [`Session::handle_timeout`] must be called next; `None` once the session is closed.
    pub fn poll_timeout(&self) -> Option<Millis> {
        match self.state {
            State::Backoff(until) => Some(until),
            State::Connecting(since) | State::Handshake(since) => Some(since + self.member_timeout()),
            State::Connected => {
                Some((self.last_sent + self.timeout / 3.0).min(self.last_received + self.timeout * 2.0 / 3.0))
            }
            State::Closed => None,
        }
    }

    /// Handles all timers that are due at `now`.
    pub fn handle_timeout(&mut self, now: Millis) {
        match self.state {
            State::Backoff(until) if now >= until => {
                let member = self.order[self.next_index % self.order.len()];
                self.state = State::Connecting(now);
                self.events.push_back(Event::Connect(member));
            }
            State::Connecting(since) | State::Handshake(since) if now >= since + self.member_timeout() => {
                self.disconnect(now);
            }
            State::Connected if now >= self.last_received + self.timeout * 2.0 / 3.0 => self.disconnect(now),
            State::Connected if now >= self.last_sent + self.timeout / 3.0 => {
                self.send(now, XID_PING, &Request::Ping);
            }
            _ => {}
        }
    }

    /// Reports that the driver's connection is established.
    pub fn connected(&mut self, now: Millis) {
        if !matches!(self.state, State::Connecting(_)) {
            return;
        }
        self.state = State::Handshake(now);
        self.frames = Frames::new(MAX_RECORD_BYTES);
        let connect_request = ConnectRequest {
            last_zxid: self.zxid,
            timeout: self.settings.timeout.clamp(1.0, f64::from(i32::MAX)) as i32,
            session: self.id,
            password: self.password.clone(),
        };
        self.out = with_length_prefix(&connect_request.write());
        self.last_sent = now;
    }

    /// Reports that the driver's connection ended or could not be established.
    pub fn disconnected(&mut self, now: Millis) {
        if !matches!(self.state, State::Backoff(_) | State::Closed) {
            self.connection_lost(now);
        }
    }

    /// Closes the connection and continues with the next member.
    fn disconnect(&mut self, now: Millis) {
        self.events.push_back(Event::Disconnect);
        self.connection_lost(now);
    }

    fn connection_lost(&mut self, now: Millis) {
        let previous = std::mem::replace(&mut self.state, State::Backoff(now));
        self.next_index += 1;
        self.out.clear();
        if previous == State::Connected {
            self.events.push_back(Event::Suspended);
        }
        for pending in std::mem::take(&mut self.pending) {
            if let Some(tag) = pending.tag {
                self.events.push_back(Event::Answer(tag, Err(RequestError::ConnectionLost)));
            }
        }
        self.failures += 1;
        // Tries the other members at once; backs off after each full round of failures, doubling the delay.
        let rounds = self.failures / self.order.len();
        if rounds > 0 && self.failures.is_multiple_of(self.order.len()) {
            let delay =
                (RECONNECT_BACKOFF_MS.0 * 2.0f64.powi(rounds.min(12) as i32 - 1)).min(RECONNECT_BACKOFF_MS.1);
            let jitter = (self.random() >> 11) as f64 / (1u64 << 53) as f64;
            self.state = State::Backoff(now + delay * (0.5 + jitter / 2.0));
        }
        self.handle_timeout(now);
    }

    fn send(&mut self, now: Millis, xid: i32, request: &Request) {
        self.out.extend(with_length_prefix(&request.write(xid)));
        self.last_sent = now;
    }

    /// Sends a request; an [`Event::Answer`] with the same tag follows, in request order.
    pub fn submit(&mut self, now: Millis, tag: T, request: Request) {
        if self.state != State::Connected {
            self.events.push_back(Event::Answer(tag, Err(RequestError::NotSent)));
            return;
        }
        // Negative xids are reserved by the protocol.
        self.last_xid = self.last_xid.checked_add(1).unwrap_or(1);
        let xid = self.last_xid;
        self.send(now, xid, &request);
        self.pending.push_back(PendingRequest { xid, request, tag: Some(tag) });
    }

    /// Closes the session and, if connected, asks the service to remove its ephemeral nodes. For this to take
    /// effect the bytes in [`Session::output`] must still be written.
    pub fn close(&mut self, now: Millis) {
        if self.state == State::Connected {
            self.send(now, self.last_xid.wrapping_add(1).max(1), &Request::CloseSession);
        }
        self.state = State::Closed;
        for pending in std::mem::take(&mut self.pending) {
            if let Some(tag) = pending.tag {
                self.events.push_back(Event::Answer(tag, Err(RequestError::ConnectionLost)));
            }
        }
    }

    /// Processes bytes received from the service.
    pub fn received(&mut self, now: Millis, bytes: &[u8]) {
        if !matches!(self.state, State::Handshake(_) | State::Connected) {
            return;
        }
        self.frames.push(bytes);
        loop {
            let valid = match self.frames.poll() {
                Ok(None) => return,
                Ok(Some(record)) if self.state == State::Connected => self.handle_record(now, record),
                Ok(Some(record)) => self.handle_connect_response(now, record),
                Err(_) => false,
            };
            if !valid {
                return self.disconnect(now);
            }
            if !matches!(self.state, State::Handshake(_) | State::Connected) {
                return;
            }
        }
    }

    /// Handles the service's `ConnectResponse`; false if it is invalid.
    fn handle_connect_response(&mut self, now: Millis, record: Bytes) -> bool {
        let Ok(response) = ConnectResponse::read(record) else { return false };
        if response.session == 0 || response.timeout <= 0 {
            if self.id == 0 {
                return false;
            }
            // The session expired, and its ephemeral nodes and watches with it. The next connection requests
            // a new session. The newest zxid is kept, because a new session must not read older state either.
            (self.id, self.password) = (0, Bytes::new());
            self.watches = Watches::default();
            self.timeout = self.settings.timeout;
            self.events.push_back(Event::Expired);
            self.failures = 0;
            self.disconnect(now);
            return true;
        }
        let new = response.session != self.id;
        if new {
            self.watches = Watches::default();
        }
        (self.id, self.password, self.timeout) =
            (response.session, response.password, f64::from(response.timeout));
        (self.state, self.last_received) = (State::Connected, now);
        self.events.push_back(Event::Established { new });
        for request in self.watches.set_watches_requests(self.zxid) {
            self.send(now, XID_SET_WATCHES, &request);
            self.pending.push_back(PendingRequest { xid: XID_SET_WATCHES, request, tag: None });
        }
        true
    }

    /// Handles one record of an established session; false if it is invalid or stale.
    fn handle_record(&mut self, now: Millis, record: Bytes) -> bool {
        let mut r = Reader::new(record);
        let Ok(header) = ReplyHeader::read(&mut r) else { return false };
        if header.xid == XID_EVENT {
            let Ok(event) = WatchEvent::read(&mut r) else { return false };
            self.last_received = now;
            // Services may send an event twice around a reconnect; only the first one finds its watch set.
            if self.watches.take_fired(&event) {
                self.events.push_back(Event::Fired(event));
            }
            return true;
        }
        // A member that lags behind what other members have shown would return older state.
        if header.zxid > 0 && header.zxid < self.zxid {
            let member = self.order[self.next_index % self.order.len()];
            self.events.push_back(Event::Stale { member });
            return false;
        }
        self.last_received = now;
        self.zxid = self.zxid.max(header.zxid);
        // Reset only here and not on the handshake: otherwise members that accept the session but lag behind
        // would be tried in turn without backoff.
        self.failures = 0;
        if header.xid == XID_PING {
            return true;
        }
        // Answers arrive in request order; any other xid is a protocol violation.
        let Some(pending) = self.pending.pop_front() else { return false };
        if pending.xid != header.xid {
            self.pending.push_front(pending);
            return false;
        }
        let answer = match header.error {
            Some(code) => Err(RequestError::Service(code)),
            None => Response::read(&pending.request, &mut r).map_err(|_| RequestError::Malformed),
        };
        // A failed `multi` has its errors in the body, one per operation.
        self.watches.set(&pending.request, &answer);
        match pending.tag {
            Some(tag) => self.events.push_back(Event::Answer(tag, answer)),
            // If its watches could not be set again, the session would miss changes.
            None if answer.is_err() => return false,
            None => {}
        }
        true
    }
}
