//! Servers that speak MessagePack-RPC: several calls on a connection, probes, and how each call ended.
//!
//! A call that is given up once begun can't be taken back: it keeps its place on its connection, and in the module's
//! eyes, until its reply comes or the connection ends. One of which no byte was written is withdrawn, and never ran.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::io::{ErrorKind, IoSlice};
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use glenwood_core::{AttemptId, Ended};
use glenwood_msgpack_rpc::client::{Connection, Event, GivenUp, Ran};
use glenwood_msgpack_rpc::frame::Bounds;
use glenwood_msgpack_rpc::message::{self, Answer, Code};
use glenwood_policy::{Outcome, ServerId};
use hyper::HeaderMap;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{timeout, timeout_at};

use super::{Descriptors, Held, Idle};
use crate::call::{Call, Content, Reply, BODY_MOST};
use crate::errno::is_own_connect_failure;
use crate::hub::Hub;
use crate::list::Place;
use crate::log;
use crate::sock::Sock;

/// How much one read takes at the most.
const CHUNK: usize = 16 * 1024;
/// How many reads of one connection are handled before others have their turn.
const BURST: usize = 8;
/// How many calls are written ahead of the kernel: a call that waits can still be withdrawn.
const AHEAD: usize = 8;
/// The part of the servers' keep-alive after which a connection is not used any more.
const IDLE_SHARE: f64 = 0.5;
/// How long a connection on which all calls were given up may stay silent before it is closed, within the longest
/// deadline: a machine that vanished says nothing, and its places would be taken for good.
const SILENT_MOST: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));
/// The method of a probe.
const HEALTH: &str = "health";

/// A call that waits for its connection, or for its turn to be written.
struct Waiting {
    attempt: AttemptId,
    end: Instant,
    call: Rc<Call>,
}

/// What is known of a connection.
struct State {
    machine: Connection<AttemptId>,
    waiting: VecDeque<Waiting>,
    /// When each call is given up.
    ends: BTreeSet<(Instant, AttemptId)>,
    /// When each was handed to the machine.
    sent: HashMap<AttemptId, Instant>,
    /// When the last byte came; none yet.
    heard: Option<Instant>,
    /// When it was last used.
    used: Instant,
    /// A call timed out here, and nothing has come since it was written: no further ones until something does.
    silent: bool,
    /// To be closed, as its descriptor is needed.
    evicted: bool,
}

impl State {
    /// How many more calls may be put here.
    fn room(&self) -> usize {
        if self.silent || self.evicted {
            return 0;
        }
        self.machine.room().saturating_sub(self.waiting.len())
    }

    fn is_idle(&self) -> bool {
        self.machine.open() == 0 && self.waiting.is_empty()
    }
}

struct Conn {
    server: ServerId,
    place: Place,
    /// When it came up.
    opened: Cell<Option<Instant>>,
    state: RefCell<State>,
    changed: Notify,
}

/// All servers that speak MessagePack-RPC.
pub struct Servers {
    hub: Rc<Hub>,
    descriptors: Rc<Descriptors>,
    me: Weak<Servers>,
    conns: RefCell<HashMap<ServerId, Vec<Rc<Conn>>>>,
    /// Where each attempt that is out has its call.
    out: RefCell<HashMap<AttemptId, Rc<Conn>>>,
    /// When the latest of the calls was sent that a server has answered.
    answered: RefCell<HashMap<ServerId, Instant>>,
    /// Calls that may be open on a connection.
    calls_most: usize,
    connect: Duration,
    idle_most: Duration,
    silent_most: Duration,
    /// What is read comes through here: one buffer serves all connections.
    chunk: RefCell<Vec<u8>>,
    /// Replies that nobody awaited.
    strays: Cell<u64>,
}

impl Idle for Servers {
    fn evict(&self) -> bool {
        let conns = self.conns.borrow();
        let idle = conns.values().flatten().filter(|c| {
            let state = c.state.borrow();
            state.is_idle() && !state.evicted && state.heard.is_some()
        });
        let Some(longest) = idle.min_by_key(|c| c.state.borrow().used) else { return false };
        longest.state.borrow_mut().evicted = true;
        longest.changed.notify_one();
        true
    }
}

impl Servers {
    /// No connections yet.
    pub fn new(hub: Rc<Hub>, descriptors: Rc<Descriptors>) -> Rc<Self> {
        let ms = |ms: f64| Duration::from_secs_f64(ms.clamp(1.0, 3_600_000.0) / 1000.0);
        let settings = hub.settings();
        let (calls_most, connect) =
            (hub.config.operator.calls_per_connection, settings.policy.limits.connect_timeout);
        let idle_most = ms(settings.keepalive * IDLE_SHARE);
        let longest = settings.longest_deadline.min(SILENT_MOST.1.as_secs_f64() * 1000.0);
        let servers = Rc::new_cyclic(|me| Self {
            me: me.clone(),
            conns: RefCell::default(),
            out: RefCell::default(),
            answered: RefCell::default(),
            calls_most,
            connect: ms(connect),
            idle_most,
            silent_most: ms(longest).max(SILENT_MOST.0),
            chunk: RefCell::new(vec![0; CHUNK]),
            strays: Cell::new(0),
            descriptors: descriptors.clone(),
            hub,
        });
        let idle: Weak<dyn Idle> = servers.me.clone();
        descriptors.may_evict(idle);
        servers
    }

    /// Starts an attempt.
    pub fn start(&self, attempt: AttemptId, server: ServerId, end: Instant, call: Rc<Call>) {
        let Some(place) = self.hub.place(server) else { return self.ended(attempt, Outcome::NotSent) };
        let conn = match self.best(server, place) {
            Some(conn) => conn,
            None => match self.descriptors.reserve() {
                Some(held) => self.open(server, place, held),
                None => return self.ended(attempt, Outcome::NotSent),
            },
        };
        {
            let mut state = conn.state.borrow_mut();
            state.waiting.push_back(Waiting { attempt, end, call });
            state.ends.insert((end, attempt));
            state.used = Instant::now();
        }
        self.out.borrow_mut().insert(attempt, conn.clone());
        conn.changed.notify_one();
    }

    /// The connection to this life of a server that has the most room, if any has.
    fn best(&self, server: ServerId, place: Place) -> Option<Rc<Conn>> {
        let conns = self.conns.borrow();
        let fit = conns.get(&server)?.iter().filter(|c| c.place == place);
        let roomy = fit.map(|c| (c.state.borrow().room(), c)).filter(|(room, _)| *room > 0);
        roomy.max_by_key(|(room, _)| *room).map(|(_, conn)| conn.clone())
    }

    fn open(&self, server: ServerId, place: Place, held: Held) -> Rc<Conn> {
        let state = State {
            machine: Connection::new(self.calls_most, Bounds::default()),
            waiting: VecDeque::new(),
            ends: BTreeSet::new(),
            sent: HashMap::new(),
            heard: None,
            used: Instant::now(),
            silent: false,
            evicted: false,
        };
        let conn = Rc::new(Conn {
            server,
            place,
            opened: Cell::default(),
            state: RefCell::new(state),
            changed: Notify::new(),
        });
        self.conns.borrow_mut().entry(server).or_default().push(conn.clone());
        if let Some(servers) = self.me.upgrade() {
            let conn = conn.clone();
            tokio::task::spawn_local(async move {
                servers.run(&conn).await;
                servers.drop_conn(&conn);
                drop(held);
            });
        }
        conn
    }

    /// Gives an attempt up, where it is one of these.
    pub fn abandon(&self, attempt: AttemptId) -> bool {
        let Some(conn) = self.out.borrow().get(&attempt).cloned() else { return false };
        let ended = self.give_up(&conn, attempt, Outcome::Cancelled, Outcome::Cancelled);
        self.hub.attempt_ended(attempt, ended);
        true
    }

    /// Is it one of these, with no byte of it written? One that is begun can't be taken back.
    pub fn unsent(&self, attempt: AttemptId) -> bool {
        let out = self.out.borrow();
        let Some(conn) = out.get(&attempt) else { return false };
        let state = conn.state.borrow();
        state.waiting.iter().any(|w| w.attempt == attempt) || state.machine.is_unwritten(&attempt)
    }

    /// Ends an attempt that is still out: `unsent` if no byte of it was written, else it runs on as `sent`.
    fn give_up(&self, conn: &Conn, attempt: AttemptId, unsent: Outcome, sent: Outcome) -> Ended<Reply> {
        let mut state = conn.state.borrow_mut();
        state.ends.retain(|(_, other)| *other != attempt);
        if let Some(at) = state.waiting.iter().position(|w| w.attempt == attempt) {
            state.waiting.remove(at);
        } else if state.machine.give_up(&attempt) == GivenUp::RunsOn {
            // Its place is kept under its name until it has left.
            return Ended::RunsOn(sent);
        }
        state.sent.remove(&attempt);
        self.out.borrow_mut().remove(&attempt);
        Ended::Without(unsent)
    }

    /// An attempt ended without an answer, and nothing is left of it.
    fn ended(&self, attempt: AttemptId, outcome: Outcome) {
        self.hub.attempt_ended(attempt, Ended::Without(outcome));
    }

    /// The server moved, restarted or is gone.
    pub fn forget(&self, server: ServerId) {
        self.answered.borrow_mut().remove(&server);
        if let Some(conns) = self.conns.borrow().get(&server) {
            for conn in conns {
                conn.state.borrow_mut().machine.retire();
                conn.changed.notify_one();
            }
        }
    }

    fn drop_conn(&self, conn: &Rc<Conn>) {
        let mut conns = self.conns.borrow_mut();
        if let Some(of_server) = conns.get_mut(&conn.server) {
            of_server.retain(|c| !Rc::ptr_eq(c, conn));
            if of_server.is_empty() {
                conns.remove(&conn.server);
            }
        }
    }

    // ---- One connection ----

    async fn run(&self, conn: &Rc<Conn>) {
        match self.connected(conn).await {
            Ok(sock) => {
                let reached = self.talk(conn, &sock).await;
                conn.state.borrow_mut().machine.ended();
                self.events(conn);
                // What was queued meanwhile never ran. One that never said a word is as good as none.
                self.end_waiting(conn, if reached { Outcome::NotSent } else { Outcome::ConnectFailed });
            }
            Err(outcome) => self.end_waiting(conn, outcome),
        }
    }

    /// Ends all calls that wait. The first one tells what happened to the connection; once is enough.
    fn end_waiting(&self, conn: &Conn, first: Outcome) {
        let mut outcome = first;
        // Nothing more is put here.
        conn.state.borrow_mut().machine.retire();
        loop {
            let waiting = conn.state.borrow_mut().waiting.pop_front();
            let Some(Waiting { attempt, .. }) = waiting else { return };
            self.out.borrow_mut().remove(&attempt);
            self.ended(attempt, std::mem::replace(&mut outcome, Outcome::NotSent));
        }
    }

    async fn connected(&self, conn: &Conn) -> Result<Rc<Sock>, Outcome> {
        let mut connecting = pin!(timeout(self.connect, TcpStream::connect(conn.place.dial.address)));
        loop {
            let end = self.expire(conn);
            tokio::select! {
                stream = &mut connecting => return match stream {
                    Ok(Ok(stream)) => Sock::new(stream).map_err(|_| Outcome::ConnectFailed),
                    Ok(Err(error)) if is_own_connect_failure(&error) => {
                        self.descriptors.evict();
                        Err(Outcome::NotSent)
                    }
                    Ok(Err(_)) | Err(_) => Err(Outcome::ConnectFailed),
                },
                () = conn.changed.notified() => {}
                () = tokio::time::sleep_until(end.into()) => {}
            }
        }
    }

    /// Serves a connection until it ends; true if anything ever came back.
    async fn talk(&self, conn: &Conn, sock: &Sock) -> bool {
        conn.opened.set(Some(Instant::now()));
        let mut reads = 0;
        loop {
            self.expire(conn);
            self.fill(conn, sock);
            if write(conn, sock, &self.hub).is_err() {
                // What the server said before may still be there.
                while matches!(self.read(conn, sock), Ok(1..=CHUNK)) {}
                break;
            }
            let Some(asleep) = self.next_end(conn) else { break };
            let unsent = conn.state.borrow().machine.unwritten() > 0;
            tokio::select! {
                ready = sock.readable() => {
                    if ready.is_err() || matches!(self.read(conn, sock), Ok(0) | Err(_)) {
                        break;
                    }
                    reads += 1;
                    if reads % BURST == 0 {
                        tokio::task::yield_now().await;
                    }
                }
                ready = sock.writable(), if unsent => {
                    if ready.is_err() {
                        break;
                    }
                }
                () = conn.changed.notified() => {}
                () = tokio::time::sleep_until(asleep.into()) => {}
            }
        }
        conn.state.borrow().heard.is_some()
    }

    /// When to look at a connection again by time alone; `None` where it is to be closed.
    fn next_end(&self, conn: &Conn) -> Option<Instant> {
        let state = conn.state.borrow();
        if state.machine.broken().is_some() {
            return None;
        }
        let now = Instant::now();
        let first = state.ends.first().map(|(end, _)| *end);
        if !state.is_idle() {
            // All that is left was given up, and nothing comes: the machine behind it may be gone.
            let lost = state.ends.is_empty() && state.waiting.is_empty();
            let since = state.heard.map_or(state.used, |heard| heard.max(state.used));
            // Sooner where the server answered on another connection what was sent since.
            let overtaken = self.overtaken(conn.server, since);
            let dead = since + if overtaken { SILENT_MOST.0 } else { self.silent_most };
            if lost && now >= dead {
                return None;
            }
            return Some(first.unwrap_or(dead));
        }
        let tired = state.used + self.idle_most;
        if state.evicted || state.machine.is_retired() || now >= tired {
            return None;
        }
        // A server that restarted, moved, or drains gets nothing more.
        (self.hub.place(conn.server) == Some(conn.place)).then_some(tired)
    }

    /// Hands calls that wait to the machine, a few ahead of the kernel. A drain holds from the moment it is told, also
    /// for what waited until now.
    fn fill(&self, conn: &Conn, sock: &Sock) {
        if !self.hub.accepts(conn.server, conn.place) || conn.state.borrow().machine.is_retired() {
            let back = conn.state.borrow_mut().machine.withdraw();
            for attempt in back {
                self.forget_attempt(conn, attempt);
                self.ended(attempt, Outcome::NotSent);
            }
            return self.end_waiting(conn, Outcome::NotSent);
        }
        // A connection that has stood idle may have been closed: that is read first, so that nothing is lost to it.
        if conn.state.borrow().machine.open() == 0 && !sock.quiet() {
            return;
        }
        for attempt in self.hand_over(conn) {
            self.forget_attempt(conn, attempt);
            self.ended(attempt, Outcome::NotSent);
        }
    }

    /// Hands over calls that wait; gives those that must not be written any more.
    fn hand_over(&self, conn: &Conn) -> Vec<AttemptId> {
        let mut state = conn.state.borrow_mut();
        let state = &mut *state;
        let mut refused = Vec::new();
        while state.machine.unwritten() < AHEAD && state.machine.room() > 0 {
            let Some(Waiting { attempt, end, call }) = state.waiting.pop_front() else { break };
            if !self.hub.may_write(attempt) {
                refused.push(attempt);
                continue;
            }
            let now = Instant::now();
            let left = end.saturating_duration_since(now).as_millis() as u64;
            if state.machine.call(attempt, &call.message(left)).is_ok() {
                state.sent.insert(attempt, now);
                state.used = now;
            }
        }
        refused
    }

    fn forget_attempt(&self, conn: &Conn, attempt: AttemptId) {
        let mut state = conn.state.borrow_mut();
        state.ends.retain(|(_, other)| *other != attempt);
        state.sent.remove(&attempt);
        self.out.borrow_mut().remove(&attempt);
    }

    /// Gives up the calls whose time is over; gives the time of the next.
    fn expire(&self, conn: &Conn) -> Instant {
        loop {
            let now = Instant::now();
            let first = conn.state.borrow().ends.first().copied();
            let Some((end, attempt)) = first else { return now + self.idle_most };
            if end > now {
                return end;
            }
            // Silent: nothing has come since it was written. Where the server answered what was sent to it later, on
            // another connection, this one is dead, and no slow server.
            let (silent, sent) = {
                let state = conn.state.borrow();
                let sent = state.sent.get(&attempt).copied();
                (sent.is_some_and(|sent| state.heard.is_none_or(|heard| heard < sent)), sent)
            };
            let overtaken = silent && sent.is_some_and(|sent| self.overtaken(conn.server, sent));
            let outcome = if overtaken { Outcome::Unheard } else { Outcome::TimedOut };
            let ended = self.give_up(conn, attempt, Outcome::NotSent, outcome);
            if silent && matches!(ended, Ended::RunsOn(_)) {
                conn.state.borrow_mut().silent = true;
            }
            self.hub.attempt_ended(attempt, ended);
        }
    }

    fn overtaken(&self, server: ServerId, sent: Instant) -> bool {
        self.answered.borrow().get(&server).is_some_and(|last| *last > sent)
    }

    /// Reads what has come and tells what it means: how much, 0 where the server closed, more than can be where there is
    /// nothing yet.
    fn read(&self, conn: &Conn, sock: &Sock) -> std::io::Result<usize> {
        let read = {
            let mut chunk = self.chunk.borrow_mut();
            match sock.try_read(&mut chunk) {
                Ok(n) => {
                    let mut state = conn.state.borrow_mut();
                    if n > 0 {
                        (state.heard, state.silent) = (Some(Instant::now()), false);
                    }
                    state.machine.received(&chunk[..n]);
                    n
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(usize::MAX),
                Err(error) => return Err(error),
            }
        };
        self.events(conn);
        Ok(read)
    }

    /// Reports what became of calls.
    fn events(&self, conn: &Conn) {
        let mut broke = false;
        loop {
            let event = conn.state.borrow_mut().machine.poll();
            let Some(event) = event else { return };
            // Several calls that end with one connection are one event of their server's: the first end tells of it.
            let mut once =
                |outcome| if std::mem::replace(&mut broke, true) { Outcome::Unheard } else { outcome };
            let (attempt, ended) = match event {
                Event::Answered(attempt, answer) => {
                    self.heard(conn, attempt);
                    (attempt, ended_by(answer))
                }
                Event::Garbled(attempt) if conn.state.borrow().machine.broken().is_none() => {
                    self.heard(conn, attempt);
                    (attempt, Ended::Without(Outcome::Error))
                }
                Event::Garbled(attempt) => (attempt, Ended::Without(once(Outcome::Error))),
                Event::Broken(attempt, Ran::Maybe) => (attempt, Ended::Without(once(Outcome::Reset))),
                Event::Broken(attempt, Ran::Never) => {
                    let first = if conn.state.borrow().heard.is_some() {
                        Outcome::NotSent
                    } else {
                        Outcome::ConnectFailed
                    };
                    let outcome = if broke { Outcome::NotSent } else { first };
                    broke = true;
                    (attempt, Ended::Without(outcome))
                }
                Event::Left(attempt) => {
                    self.forget_attempt(conn, attempt);
                    self.hub.attempt_left(attempt);
                    continue;
                }
                Event::Stray(words) => {
                    self.strays.set(self.strays.get() + 1);
                    log::line(format!("msgpack: {words}; {} strays so far", self.strays.get()));
                    continue;
                }
            };
            self.forget_attempt(conn, attempt);
            self.hub.attempt_ended(attempt, ended);
        }
    }

    /// A server has answered this call.
    fn heard(&self, conn: &Conn, attempt: AttemptId) {
        let Some(sent) = conn.state.borrow().sent.get(&attempt).copied() else { return };
        self.answered_since(conn.server, sent);
        conn.opened.get().into_iter().for_each(|opened| self.hub.connection_answered(conn.server, opened));
    }

    /// A server has answered what was sent then; connections that were silent before may be closed for it.
    fn answered_since(&self, server: ServerId, sent: Instant) {
        {
            let mut answered = self.answered.borrow_mut();
            let last = answered.entry(server).or_insert(sent);
            *last = sent.max(*last);
        }
        if let Some(conns) = self.conns.borrow().get(&server) {
            conns.iter().filter(|c| c.state.borrow().silent).for_each(|c| c.changed.notify_one());
        }
    }

    // ---- Probes ----

    /// Probes a server.
    pub fn probe(&self, server: ServerId) {
        let Some(servers) = self.me.upgrade() else { return };
        tokio::task::spawn_local(async move {
            let sent = Instant::now();
            // As long as a connection may take, and as long again for the answer.
            let outcome = timeout_at((sent + 2 * servers.connect).into(), servers.health(server)).await;
            if matches!(outcome, Ok(Outcome::Done)) {
                servers.answered_since(server, sent);
            }
            servers.hub.probed(server, outcome.unwrap_or(Outcome::TimedOut), sent.elapsed());
        });
    }

    /// Asks a server on a connection of its own: a kept one could not tell whether the process takes them.
    async fn health(&self, server: ServerId) -> Outcome {
        let Some(place) = self.hub.place(server) else { return Outcome::NotSent };
        let Some(_held) = self.descriptors.reserve_for_check().await else { return Outcome::NotSent };
        let stream = match timeout(self.connect, TcpStream::connect(place.dial.address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if is_own_connect_failure(&error) => return Outcome::NotSent,
            Ok(Err(_)) | Err(_) => return Outcome::ConnectFailed,
        };
        let Ok(sock) = Sock::new(stream) else { return Outcome::ConnectFailed };
        let mut machine = Connection::new(1, Bounds::default());
        let call = message::Call { class: HEALTH.to_string(), ..message::Call::default() };
        if machine.call((), &call).is_err() {
            return Outcome::NotSent;
        }
        let mut chunk = vec![0; 1024];
        loop {
            while machine.unwritten() > 0 {
                let parts: Vec<IoSlice<'_>> = machine.output().map(IoSlice::new).collect();
                match sock.try_write(&parts) {
                    Ok(n) => drop(machine.wrote(n)),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        if sock.writable().await.is_err() {
                            return Outcome::ConnectFailed;
                        }
                    }
                    Err(_) => return Outcome::ConnectFailed,
                }
            }
            match machine.poll() {
                Some(Event::Answered((), Ok(_))) => return Outcome::Done,
                Some(Event::Answered((), Err(error))) if error.code == Code::TurnedAway => {
                    return Outcome::Full
                }
                Some(Event::Broken((), _)) => return Outcome::Reset,
                Some(_) => return Outcome::Error,
                None => {}
            }
            if machine.broken().is_some() {
                return Outcome::Error;
            }
            let ready = sock.readable().await;
            match ready.and_then(|()| sock.try_read(&mut chunk)) {
                Ok(0) => machine.ended(),
                Ok(n) => machine.received(&chunk[..n]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => machine.ended(),
            }
        }
    }
}

/// Writes what the kernel takes.
fn write(conn: &Conn, sock: &Sock, hub: &Hub) -> std::io::Result<()> {
    let mut state = conn.state.borrow_mut();
    while state.machine.unwritten() > 0 {
        let wrote = {
            let parts: Vec<IoSlice<'_>> = state.machine.output().map(IoSlice::new).collect();
            sock.try_write(&parts)
        };
        match wrote {
            Ok(n) => {
                let whole = state.machine.wrote(n) as u64;
                hub.figures.with(|figures| figures.sends += whole);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// What a server's answer means for its attempt.
fn ended_by(answer: Answer) -> Ended<Reply> {
    match answer {
        Ok(body) if body.len() <= BODY_MOST => {
            Ended::Served(Reply { headers: HeaderMap::new(), body: Content::Whole(body) })
        }
        Ok(_) => Ended::Without(Outcome::Error),
        Err(error) => Ended::Without(match error.code {
            Code::TurnedAway => Outcome::Full,
            // No other server will like it better.
            Code::BadRequest => Outcome::Rejected,
            Code::Refused | Code::Failed | Code::UnknownClass | Code::TooLarge => Outcome::Error,
        }),
    }
}
