//! The pool of idle connections to HTTP/1.1 servers. Idle connections are watched for unexpected bytes, and
//! must have been silent for as long as their server requires before they are reused.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::poll_fn;
use std::rc::{Rc, Weak};
use std::task::Poll;
use std::time::{Duration, Instant};

use glenwood_exchange::{
    Connection as Exchange, DistrustTracker, RequiredIdle, ResponseKind, ResponseTimes, ResponseTiming,
    UnsolicitedBytes,
};
use glenwood_policy::{Outcome, ServerId};
use glenwood_settings::NodeSettings;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{timeout, timeout_at};

use crate::backend::{Descriptor, Descriptors, EvictIdle};
use crate::blocks::OutgoingBody;
use crate::errno::is_own_connect_failure;
use crate::hub::Hub;
use crate::list::ServerAddress;
use crate::sock::{Io, Pending, TrackedSocket};

/// The largest accepted head of an answer.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The share of the servers' keep-alive time for which a connection is reused. Writing to one while its
/// server closes it ends in a reset, which fails requests that must not be repeated.
const USABLE_KEEPALIVE_SHARE: f64 = 0.5;
/// From when an attempt counts as long unanswered: longer than answers usually take. A lower value costs
/// additional connections.
const LONG_UNANSWERED: Duration = Duration::from_millis(400);
/// Connections idle for at least this long are preferred: a late second answer would have arrived by now.
const PREFERRED_IDLE_TIME: Duration = Duration::from_millis(25);
/// How much longer than for a new connection a pooled one is waited for, as a new one costs its server work.
const MAX_WAIT_FOR_POOLED: Duration = Duration::from_millis(25);

/// A connection to a server.
pub struct Link {
    /// Its socket.
    pub sock: Rc<TrackedSocket>,
    /// hyper's handle for sending requests.
    pub send: SendRequest<OutgoingBody>,
    /// hyper's connection, which must be polled for requests to make progress.
    pub conn: Connection<Io, OutgoingBody>,
    /// Whether the connection has ended; it must not be polled again.
    pub is_over: bool,
    /// The server instance it leads to.
    pub server_address: ServerAddress,
    /// The state of its exchange of requests and answers.
    pub exchange: Exchange,
    descriptor: Descriptor,
    /// Identifies the connection within the pool.
    number: u64,
}

/// The task that waits for activity on an idle connection; aborted on drop.
struct Watch(AbortHandle);

impl Drop for Watch {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An idle connection. hyper does not poll it.
struct IdleLink {
    link: Link,
    _watch: Watch,
}

/// Registers an attempt as unanswered until it is dropped.
pub struct UnansweredGuard {
    pool: Rc<Pool>,
    server: ServerId,
    number: u64,
}

impl Drop for UnansweredGuard {
    fn drop(&mut self) {
        let mut unanswered = self.pool.unanswered.borrow_mut();
        if let Some(attempts) = unanswered.get_mut(&self.server) {
            attempts.retain(|(number, _)| *number != self.number);
            if attempts.is_empty() {
                unanswered.remove(&self.server);
            }
        }
    }
}

/// The result of waiting until a connection is usable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It may be used.
    Usable,
    /// Unexpected bytes were received.
    ReceivedBytes,
    /// The server closed it.
    Closed,
}

/// The idle connections to all servers.
pub struct Pool {
    hub: Rc<Hub>,
    idle: RefCell<HashMap<ServerId, Vec<IdleLink>>>,
    distrust: RefCell<DistrustTracker<ServerId>>,
    response_times: RefCell<ResponseTimes<ServerId>>,
    /// The attempts for which no byte was received, by number and time of sending.
    unanswered: RefCell<HashMap<ServerId, Vec<(u64, Instant)>>>,
    /// The latest time of sending among the attempts that each server has answered.
    answered: RefCell<HashMap<ServerId, Instant>>,
    last_number: Cell<u64>,
    descriptors: Rc<Descriptors>,
    max_idle: Duration,
    /// The longest time for establishing a connection.
    pub max_connect_time: Duration,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(hub: Rc<Hub>, settings: &NodeSettings, descriptors: Rc<Descriptors>) -> Self {
        let ms = |ms: f64| Duration::from_secs_f64(ms.clamp(1.0, 3_600_000.0) / 1000.0);
        Self {
            hub,
            idle: RefCell::default(),
            distrust: RefCell::default(),
            response_times: RefCell::default(),
            unanswered: RefCell::default(),
            answered: RefCell::default(),
            last_number: Cell::new(0),
            descriptors,
            max_idle: ms(settings.keepalive_timeout * USABLE_KEEPALIVE_SHARE),
            max_connect_time: ms(settings.policy.limits.connect_timeout),
        }
    }

    fn next_number(&self) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }

    /// Closes the idle connections to a server whose address is served by another process from now on.
    pub fn discard_connections(&self, server: ServerId) {
        self.answered.borrow_mut().remove(&server);
        self.idle.borrow_mut().remove(&server);
        self.distrust.borrow_mut().forget(server);
        self.response_times.borrow_mut().forget(server);
    }

    /// Closes connections that have been idle for too long, to release their descriptors.
    pub fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        for links in idle.values_mut() {
            links.retain(|idle_link| !self.is_stale(&idle_link.link));
        }
        idle.retain(|_, links| !links.is_empty());
    }

    fn is_stale(&self, link: &Link) -> bool {
        link.exchange.idle_since().elapsed() >= self.max_idle
    }

    // ---- Matching answers to requests ----

    /// Records that a server answered in order, and how long after the request.
    pub fn note_answer(&self, server: ServerId, kind: ResponseKind, delay: Option<Duration>) {
        self.distrust.borrow_mut().note_answer(server);
        if let Some(delay) = delay {
            self.response_times.borrow_mut().record(Instant::now(), server, kind, delay);
        }
    }

    /// If an answer is implausibly early, returns the time after its request within which the true answer
    /// would arrive.
    pub fn true_answer_within(
        &self,
        server: ServerId,
        kind: ResponseKind,
        timing: ResponseTiming,
    ) -> Option<Duration> {
        self.response_times.borrow().true_response_within(server, kind, timing)
    }

    /// How long connections to a server must be silent before an answer on them is trusted.
    pub fn required_idle(&self, server: ServerId) -> RequiredIdle {
        self.distrust.borrow().required_idle(Instant::now(), server)
    }

    /// Records the start of the first exchange of all; later calls have no effect.
    pub fn begin(&self) {
        self.distrust.borrow_mut().begin(Instant::now());
    }

    /// Records unexpected bytes from a server.
    pub fn record_unsolicited(&self, server: ServerId, seen: UnsolicitedBytes) {
        let scope = self.distrust.borrow_mut().record_unsolicited(Instant::now(), server, seen);
        self.hub.report_unsolicited_bytes(server, seen, scope, self.required_idle(server));
    }

    /// Removes an idle connection on which bytes arrived or that ended.
    fn handle_activity(&self, server: ServerId, number: u64, pending: Pending) {
        let mut link = {
            let mut idle = self.idle.borrow_mut();
            let Some(links) = idle.get_mut(&server) else { return };
            let Some(index) = links.iter().position(|idle_link| idle_link.link.number == number) else {
                return;
            };
            links.remove(index).link
        };
        if pending == Pending::Bytes {
            self.note_received(server, &mut link);
        }
    }

    /// Records bytes that were received on a connection.
    pub fn note_received(&self, server: ServerId, link: &mut Link) {
        if let Some(seen) = link.exchange.received(Instant::now()) {
            self.record_unsolicited(server, seen);
        }
    }

    /// Waits until a connection has been silent for long enough to be used.
    pub async fn wait_until_usable(&self, server: ServerId, link: &mut Link) -> Readiness {
        loop {
            match link.sock.pending() {
                Pending::Nothing => {}
                Pending::Bytes => {
                    self.note_received(server, link);
                    return Readiness::ReceivedBytes;
                }
                Pending::End => return Readiness::Closed,
            }
            // The required time may have grown meanwhile.
            let Some(from) = link.exchange.usable_from(self.required_idle(server)) else {
                return Readiness::Closed;
            };
            if from <= Instant::now() {
                return Readiness::Usable;
            }
            let _ = timeout_at(from.into(), poll_fn(|cx| link.sock.poll_readable_or_closed(cx))).await;
        }
    }

    // ---- Selection ----

    /// Takes the idle connection to use next, if one is usable. All open connections to a server can go dead
    /// at once while new ones work; so while an attempt has been unanswered for long, connections last used
    /// before it are skipped.
    pub fn take(&self, server: ServerId) -> Option<Link> {
        self.take_by(server, |links, required_idle| {
            let now = Instant::now();
            // Connections are ordered by their last use.
            let longest_quiet = if links.is_empty() { None } else { Some(0) };
            if required_idle.used.is_zero() {
                let is_quiet = |link: &&Link| now - link.exchange.idle_since() >= PREFERRED_IDLE_TIME;
                return links.iter().rposition(is_quiet).or(longest_quiet);
            }
            // Late answers show up on connections that have been open for long.
            let from = links.iter().map(|link| link.exchange.usable_from(required_idle));
            let (soonest, from) = from.enumerate().min_by_key(|(_, from)| *from)?;
            let is_worth_it = from.is_some_and(|from| from <= now + required_idle.new + MAX_WAIT_FOR_POOLED);
            is_worth_it.then_some(soonest)
        })
    }

    /// Takes the connection that was opened first: what arrives on it says most about the server's process.
    pub fn take_oldest(&self, server: ServerId) -> Option<Link> {
        self.take_by(server, |links, _| (0..links.len()).min_by_key(|index| links[*index].exchange.opened()))
    }

    /// Takes the idle connection that `choose` selects, given the usable ones.
    fn take_by(
        &self,
        server: ServerId,
        choose: impl Fn(&[&Link], RequiredIdle) -> Option<usize>,
    ) -> Option<Link> {
        let unanswered_since = self.long_unanswered_since(server);
        let required_idle = self.required_idle(server);
        let is_trusted =
            |link: &Link| unanswered_since.is_none_or(|since| link.exchange.idle_since() >= since);
        loop {
            let mut link = {
                let mut idle = self.idle.borrow_mut();
                let links = idle.get_mut(&server)?;
                links.retain(|idle_link| !self.is_stale(&idle_link.link));
                let trusted: Vec<usize> =
                    (0..links.len()).filter(|index| is_trusted(&links[*index].link)).collect();
                let candidates: Vec<&Link> = trusted.iter().map(|index| &links[*index].link).collect();
                let chosen = trusted[choose(&candidates, required_idle)?];
                links.remove(chosen).link
            };
            match link.sock.pending() {
                Pending::Nothing => return Some(link),
                Pending::Bytes => self.note_received(server, &mut link),
                Pending::End => {}
            }
        }
    }

    /// When the oldest unanswered attempt at this server was sent, if that is long ago.
    fn long_unanswered_since(&self, server: ServerId) -> Option<Instant> {
        let sent = self.unanswered.borrow().get(&server)?.iter().map(|(_, sent)| *sent).min()?;
        (sent.elapsed() >= LONG_UNANSWERED).then_some(sent)
    }

    /// Registers an attempt as unanswered until the guard is dropped.
    pub fn track_unanswered(self: &Rc<Self>, server: ServerId) -> UnansweredGuard {
        let number = self.next_number();
        self.unanswered.borrow_mut().entry(server).or_default().push((number, Instant::now()));
        UnansweredGuard { pool: self.clone(), server, number }
    }

    /// Records that a server answered what was sent at `sent`.
    pub fn record_answered(&self, server: ServerId, sent: Instant) {
        let mut answered = self.answered.borrow_mut();
        let latest = answered.entry(server).or_insert(sent);
        *latest = sent.max(*latest);
    }

    /// Returns whether a server has answered something sent later: then the connection is silent, not the
    /// server.
    pub fn has_answered_later(&self, server: ServerId, sent: Instant) -> bool {
        self.answered.borrow().get(&server).is_some_and(|latest| *latest > sent)
    }

    /// Closes the idle connections to a server that were last used before `sent`, the time of an attempt
    /// without any answer.
    pub fn close_last_used_before(&self, server: ServerId, sent: Instant) {
        if let Some(links) = self.idle.borrow_mut().get_mut(&server) {
            links.retain(|idle_link| idle_link.link.exchange.idle_since() >= sent);
        }
    }

    /// Returns a connection to the pool. One made by a check is kept only if the server has no other and
    /// descriptors are plentiful.
    pub fn put(self: &Rc<Self>, server: ServerId, mut link: Link) {
        if link.descriptor.is_for_check() {
            let has_other = self.idle.borrow().get(&server).is_some_and(|links| !links.is_empty());
            match self.descriptors.keep_checked().filter(|_| !has_other) {
                Some(descriptor) => link.descriptor = descriptor,
                None => return,
            }
        }
        let (pool, number, sock) = (Rc::downgrade(self), link.number, Rc::downgrade(&link.sock));
        let watch = tokio::task::spawn_local(watch(pool, server, number, sock)).abort_handle();
        self.idle.borrow_mut().entry(server).or_default().push(IdleLink { link, _watch: Watch(watch) });
    }

    /// Closes the connection that has been idle for longest; false if none is idle.
    fn evict_longest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let since =
            |links: &&mut Vec<IdleLink>| links.first().map(|idle_link| idle_link.link.exchange.idle_since());
        let Some(links) = idle.values_mut().filter(|links| !links.is_empty()).min_by_key(since) else {
            return false;
        };
        links.remove(0);
        true
    }

    /// Opens a connection, or returns the outcome of the attempt without one. If this node has no descriptor
    /// or port left, nothing was sent and the server is not at fault; reported as a failed connect it would
    /// eject a healthy server.
    pub async fn connect(&self, server_address: ServerAddress, is_check: bool) -> Result<Link, Outcome> {
        let descriptor =
            if is_check { self.descriptors.reserve_for_check().await } else { self.descriptors.reserve() };
        let descriptor = descriptor.ok_or(Outcome::NotSent)?;
        let stream =
            match timeout(self.max_connect_time, TcpStream::connect(server_address.endpoint.address)).await {
                Ok(Ok(stream)) => stream,
                Ok(Err(error)) if is_own_connect_failure(&error) => {
                    self.descriptors.evict();
                    return Err(Outcome::NotSent);
                }
                Ok(Err(_)) | Err(_) => return Err(Outcome::ConnectFailed),
            };
        let failed = Outcome::ConnectFailed;
        let sock = TrackedSocket::new(stream).map_err(|_| failed)?;
        let builder = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(Io(sock.clone())).await;
        let (send, conn) = builder.map_err(|_| failed)?;
        let (exchange, number) = (Exchange::new(Instant::now()), self.next_number());
        Ok(Link { sock, send, conn, is_over: false, server_address, exchange, descriptor, number })
    }
}

impl EvictIdle for Pool {
    fn evict(&self) -> bool {
        self.evict_longest()
    }
}

/// Waits for activity on an idle connection. Holds only a weak reference, so that the descriptor is released
/// as soon as the connection is dropped.
async fn watch(pool: Weak<Pool>, server: ServerId, number: u64, sock: Weak<TrackedSocket>) {
    let activity = poll_fn(|cx| match sock.upgrade() {
        Some(sock) => sock.poll_readable_or_closed(cx),
        None => Poll::Ready(Pending::End),
    });
    let pending = activity.await;
    if let Some(pool) = pool.upgrade() {
        pool.handle_activity(server, number, pending);
    }
}
