//! Connections between requests: kept, watched, and quiet for as long as their server needs before each use.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::poll_fn;
use std::rc::{Rc, Weak};
use std::task::Poll;
use std::time::{Duration, Instant};

use glenwood_exchange::{Connection as Exchange, Doubt, Need, OutOfTurn};
use glenwood_policy::{Outcome, ServerId};
use glenwood_settings::NodeSettings;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{timeout, timeout_at};

use crate::backend::{Descriptors, Held, Idle};
use crate::blocks::Sending;
use crate::errno::is_own_connect_failure;
use crate::hub::Hub;
use crate::list::Place;
use crate::sock::{Io, Pending, Sock};

/// The largest head of an answer.
const HEAD_MOST: usize = 16 * 1024;
/// The part of the servers' keep-alive after which a connection is not used any more: one that is written to
/// when its server closes it ends as a reset, and fails what must not be repeated.
const IDLE_SHARE: f64 = 0.5;
/// From when on an attempt counts as long unheard: beyond what is usual for an answer. Too soon costs new connections.
const UNHEARD: Duration = Duration::from_millis(400);
/// Of several connections those are used first that have been quiet for so long: a late second answer would have come.
const QUIET_FIRST: Duration = Duration::from_millis(25);
/// A connection that may be used within so much more time than a new one is waited for: a new one costs its server work.
const WAIT_FOR_USED: Duration = Duration::from_millis(25);

/// A connection to a server.
pub struct Link {
    pub sock: Rc<Sock>,
    pub send: SendRequest<Sending>,
    pub conn: Connection<Io, Sending>,
    /// It has ended, and must not be polled any more.
    pub over: bool,
    /// Whom it leads to.
    pub place: Place,
    /// What it is in the middle of.
    pub exchange: Exchange,
    held: Held,
    /// Tells connections apart.
    number: u64,
}

/// The task that waits for what comes on an idle connection; ended with this.
struct Watch(AbortHandle);

impl Drop for Watch {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection between requests. hyper does not poll it meanwhile.
struct Resting {
    link: Link,
    _watch: Watch,
}

/// An attempt that is noted as unheard; not any more once this is dropped.
pub struct Expected {
    pool: Rc<Pool>,
    server: ServerId,
    number: u64,
}

impl Drop for Expected {
    fn drop(&mut self) {
        let mut unheard = self.pool.unheard.borrow_mut();
        if let Some(attempts) = unheard.get_mut(&self.server) {
            attempts.retain(|(number, _)| *number != self.number);
            if attempts.is_empty() {
                unheard.remove(&self.server);
            }
        }
    }
}

/// How a connection's rest before its use ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rested {
    /// It may be used.
    Quiet,
    /// Bytes came that nobody asked for.
    Spoke,
    /// Its server closed it.
    Closed,
}

/// Connections to servers.
pub struct Pool {
    hub: Rc<Hub>,
    idle: RefCell<HashMap<ServerId, Vec<Resting>>>,
    doubt: RefCell<Doubt<ServerId>>,
    /// When each attempt was written to which no byte has come back.
    unheard: RefCell<HashMap<ServerId, Vec<(u64, Instant)>>>,
    /// When the latest of the attempts was sent that a server has answered.
    answered: RefCell<HashMap<ServerId, Instant>>,
    last: Cell<u64>,
    descriptors: Rc<Descriptors>,
    idle_most: Duration,
    /// How long a connection may take to come up.
    pub connect_within: Duration,
}

impl Pool {
    /// An empty pool.
    pub fn new(hub: Rc<Hub>, settings: &NodeSettings, descriptors: Rc<Descriptors>) -> Self {
        let ms = |ms: f64| Duration::from_secs_f64(ms.clamp(1.0, 3_600_000.0) / 1000.0);
        Self {
            hub,
            idle: RefCell::default(),
            doubt: RefCell::default(),
            unheard: RefCell::default(),
            answered: RefCell::default(),
            last: Cell::new(0),
            descriptors,
            idle_most: ms(settings.keepalive * IDLE_SHARE),
            connect_within: ms(settings.policy.limits.connect_timeout),
        }
    }

    fn next_number(&self) -> u64 {
        self.last.set(self.last.get() + 1);
        self.last.get()
    }

    /// Closes the idle connections to a server, of which another process answers from now on.
    pub fn forget(&self, server: ServerId) {
        self.answered.borrow_mut().remove(&server);
        self.idle.borrow_mut().remove(&server);
        self.doubt.borrow_mut().forget(server);
    }

    /// Closes what has been idle for long; its descriptor is held for nothing.
    pub fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        for links in idle.values_mut() {
            links.retain(|resting| !self.is_stale(&resting.link));
        }
        idle.retain(|_, links| !links.is_empty());
    }

    fn is_stale(&self, link: &Link) -> bool {
        link.exchange.quiet_since().elapsed() >= self.idle_most
    }

    // ---- Whose answer it is ----

    /// A server has answered in its turn.
    pub fn note_answer(&self, server: ServerId) {
        self.doubt.borrow_mut().note_answer(server);
    }

    /// How long connections to a server have to be quiet before an answer on them is believed.
    pub fn need(&self, server: ServerId) -> Need {
        self.doubt.borrow().need(Instant::now(), server)
    }

    /// The first exchange of all is about to begin, if none has.
    pub fn begin(&self) {
        self.doubt.borrow_mut().begin(Instant::now());
    }

    /// Bytes came from a server that nobody asked for.
    pub fn note(&self, server: ServerId, seen: OutOfTurn) {
        let scope = self.doubt.borrow_mut().note(Instant::now(), server, seen);
        self.hub.answer_out_of_turn(server, seen, scope, self.need(server));
    }

    /// Something has come on a connection that is idle, or it has ended.
    fn disturbed(&self, server: ServerId, number: u64, pending: Pending) {
        let mut link = {
            let mut idle = self.idle.borrow_mut();
            let Some(links) = idle.get_mut(&server) else { return };
            let Some(place) = links.iter().position(|resting| resting.link.number == number) else { return };
            links.remove(place).link
        };
        if pending == Pending::Bytes {
            self.note_received(server, &mut link);
        }
    }

    /// Notes bytes that came on a connection.
    pub fn note_received(&self, server: ServerId, link: &mut Link) {
        if let Some(seen) = link.exchange.received(Instant::now()) {
            self.note(server, seen);
        }
    }

    /// Waits until a connection has been quiet for long enough to be used.
    pub async fn rest(&self, server: ServerId, link: &mut Link) -> Rested {
        loop {
            match link.sock.pending() {
                Pending::Nothing => {}
                Pending::Bytes => {
                    self.note_received(server, link);
                    return Rested::Spoke;
                }
                Pending::End => return Rested::Closed,
            }
            // What is needed may have grown meanwhile.
            let Some(from) = link.exchange.usable_from(self.need(server)) else {
                return Rested::Closed;
            };
            if from <= Instant::now() {
                return Rested::Quiet;
            }
            let _ = timeout_at(from.into(), poll_fn(|cx| link.sock.poll_disturbed(cx))).await;
        }
    }

    // ---- Which connection is used ----

    /// The idle connection to use next, if any is of use. All that a server had open can go silent at once, while new ones
    /// work: while an attempt has long been unheard, those last used before it are left alone.
    pub fn take(&self, server: ServerId) -> Option<Link> {
        self.take_by(server, |links, need| {
            let now = Instant::now();
            // In the order in which they were used last.
            let longest_quiet = if links.is_empty() { None } else { Some(0) };
            if need.used.is_zero() {
                let is_quiet = |link: &&Link| now - link.exchange.quiet_since() >= QUIET_FIRST;
                return links.iter().rposition(is_quiet).or(longest_quiet);
            }
            // What is late is seen on those that stand for long.
            let from = links.iter().map(|link| link.exchange.usable_from(need));
            let (soonest, from) = from.enumerate().min_by_key(|(_, from)| *from)?;
            let is_worth_it = from.is_some_and(|from| from <= now + need.new + WAIT_FOR_USED);
            is_worth_it.then_some(soonest)
        })
    }

    /// The connection that has stood for longest, if any still stands: what comes on it tells most of its server's process.
    pub fn take_oldest(&self, server: ServerId) -> Option<Link> {
        self.take_by(server, |links, _| (0..links.len()).min_by_key(|place| links[*place].exchange.opened()))
    }

    /// The one of the idle connections to a server that is chosen, by its place among those that may be used.
    fn take_by(&self, server: ServerId, choose: impl Fn(&[&Link], Need) -> Option<usize>) -> Option<Link> {
        let unheard_since = self.long_unheard(server);
        let need = self.need(server);
        let is_heard = |link: &Link| unheard_since.is_none_or(|since| link.exchange.quiet_since() >= since);
        loop {
            let mut link = {
                let mut idle = self.idle.borrow_mut();
                let links = idle.get_mut(&server)?;
                links.retain(|resting| !self.is_stale(&resting.link));
                let heard: Vec<usize> =
                    (0..links.len()).filter(|place| is_heard(&links[*place].link)).collect();
                let candidates: Vec<&Link> = heard.iter().map(|place| &links[*place].link).collect();
                let chosen = heard[choose(&candidates, need)?];
                links.remove(chosen).link
            };
            match link.sock.pending() {
                Pending::Nothing => return Some(link),
                Pending::Bytes => self.note_received(server, &mut link),
                Pending::End => {}
            }
        }
    }

    /// Since when an attempt at this server has been unheard, where that is long.
    fn long_unheard(&self, server: ServerId) -> Option<Instant> {
        let sent = self.unheard.borrow().get(&server)?.iter().map(|(_, sent)| *sent).min()?;
        (sent.elapsed() >= UNHEARD).then_some(sent)
    }

    /// Notes an attempt until something comes back, or it ends.
    pub fn expect(self: &Rc<Self>, server: ServerId) -> Expected {
        let number = self.next_number();
        self.unheard.borrow_mut().entry(server).or_default().push((number, Instant::now()));
        Expected { pool: self.clone(), server, number }
    }

    /// A server has answered what was sent then.
    pub fn heard(&self, server: ServerId, sent: Instant) {
        let mut answered = self.answered.borrow_mut();
        let last = answered.entry(server).or_insert(sent);
        *last = sent.max(*last);
    }

    /// Has a server answered what was sent to it later? Then it is not the server that is silent.
    pub fn overtaken(&self, server: ServerId, sent: Instant) -> bool {
        self.answered.borrow().get(&server).is_some_and(|last| *last > sent)
    }

    /// Closes the idle connections to a server that were last used before an attempt that nothing came back of.
    pub fn distrust(&self, server: ServerId, sent: Instant) {
        if let Some(links) = self.idle.borrow_mut().get_mut(&server) {
            links.retain(|resting| resting.link.exchange.quiet_since() >= sent);
        }
    }

    /// Keeps a connection. One that a check has made is kept where the server has no other, and room is plenty.
    pub fn put(self: &Rc<Self>, server: ServerId, mut link: Link) {
        if link.held.is_for_check() {
            let has_other = self.idle.borrow().get(&server).is_some_and(|links| !links.is_empty());
            match self.descriptors.keep_checked().filter(|_| !has_other) {
                Some(held) => link.held = held,
                None => return,
            }
        }
        let (pool, number, sock) = (Rc::downgrade(self), link.number, Rc::downgrade(&link.sock));
        let watch = tokio::task::spawn_local(watch(pool, server, number, sock)).abort_handle();
        self.idle.borrow_mut().entry(server).or_default().push(Resting { link, _watch: Watch(watch) });
    }

    /// Closes the connection that has been idle for longest; false where none is.
    fn evict_longest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let since =
            |links: &&mut Vec<Resting>| links.first().map(|resting| resting.link.exchange.quiet_since());
        let Some(links) = idle.values_mut().filter(|links| !links.is_empty()).min_by_key(since) else {
            return false;
        };
        links.remove(0);
        true
    }

    /// A new connection, or how the attempt ends without one. A node that has no descriptor or port left has
    /// sent nothing, but that says nothing of the server: as a failed connect it would eject a good one.
    pub async fn connect(&self, place: Place, is_check: bool) -> Result<Link, Outcome> {
        let held =
            if is_check { self.descriptors.reserve_for_check().await } else { self.descriptors.reserve() };
        let held = held.ok_or(Outcome::NotSent)?;
        let stream = match timeout(self.connect_within, TcpStream::connect(place.dial.address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if is_own_connect_failure(&error) => {
                self.descriptors.evict();
                return Err(Outcome::NotSent);
            }
            Ok(Err(_)) | Err(_) => return Err(Outcome::ConnectFailed),
        };
        let failed = Outcome::ConnectFailed;
        let sock = Sock::new(stream).map_err(|_| failed)?;
        let builder = http1::Builder::new().max_buf_size(HEAD_MOST).handshake(Io(sock.clone())).await;
        let (send, conn) = builder.map_err(|_| failed)?;
        let (exchange, number) = (Exchange::new(Instant::now()), self.next_number());
        Ok(Link { sock, send, conn, over: false, place, exchange, held, number })
    }
}

impl Idle for Pool {
    fn evict(&self) -> bool {
        self.evict_longest()
    }
}

/// Waits for what comes on an idle connection. It does not keep the connection open: its descriptor is free as soon as it is dropped.
async fn watch(pool: Weak<Pool>, server: ServerId, number: u64, sock: Weak<Sock>) {
    let disturbed = poll_fn(|cx| match sock.upgrade() {
        Some(sock) => sock.poll_disturbed(cx),
        None => Poll::Ready(Pending::End),
    });
    let pending = disturbed.await;
    if let Some(pool) = pool.upgrade() {
        pool.disturbed(server, number, pending);
    }
}
