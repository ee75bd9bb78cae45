//! MessagePack-RPC servers: concurrent calls per connection, probes and their outcomes.
//!
//! A call that was written in part can't be withdrawn. When it is given up it keeps its slot on the
//! connection, and counts as running in the core, until its reply arrives or the connection ends. A call of
//! which no byte was written is withdrawn and was never executed.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::io::{ErrorKind, IoSlice};
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use glenwood_core::{AttemptId, AttemptResult};
use glenwood_msgpack_rpc::client::{Connection, Event, GivenUp, Ran};
use glenwood_msgpack_rpc::frame::Bounds;
use glenwood_msgpack_rpc::message::{self, Answer, Code};
use glenwood_policy::{Outcome, ServerId};
use hyper::HeaderMap;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{timeout, timeout_at};

use super::{Descriptor, Descriptors, EvictIdle};
use crate::call::{Call, Content, Reply, MAX_BUFFERED_BODY_BYTES};
use crate::errno::is_own_connect_failure;
use crate::hub::Hub;
use crate::list::ServerAddress;
use crate::log;
use crate::sock::TrackedSocket;

/// The largest single read.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// How many reads of one connection are handled before other tasks run.
const MAX_READS_PER_POLL: usize = 8;
/// How many unwritten calls are queued on a connection at a time: a call that still waits can be withdrawn.
const MAX_UNWRITTEN_CALLS: usize = 8;
/// The share of the servers' keep-alive time for which a connection is reused.
const USABLE_KEEPALIVE_SHARE: f64 = 0.5;
/// The bounds for how long a connection on which all calls were given up may stay silent before it is closed;
/// within them the longest deadline applies. A host that vanished sends nothing, and the slots would be lost
/// for good.
const SILENCE_LIMITS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));
/// The method of a probe.
const HEALTH_METHOD: &str = "health";

/// A call that waits for its connection or to be written.
struct Waiting {
    attempt: AttemptId,
    deadline: Instant,
    call: Rc<Call>,
}

/// The state of a connection.
struct State {
    protocol: Connection<AttemptId>,
    waiting: VecDeque<Waiting>,
    /// When each call is given up.
    deadlines: BTreeSet<(Instant, AttemptId)>,
    /// When each call was handed to the protocol state.
    sent: HashMap<AttemptId, Instant>,
    /// When the last byte was received, if any.
    last_received: Option<Instant>,
    /// When it was last used.
    last_used: Instant,
    /// Set when a call timed out and nothing was received since it was written: no further calls until
    /// something is.
    silent: bool,
    /// To be closed, because its descriptor is needed.
    evicted: bool,
}

impl State {
    /// How many more calls may be assigned to it.
    fn free_slots(&self) -> usize {
        if self.silent || self.evicted {
            return 0;
        }
        self.protocol.room().saturating_sub(self.waiting.len())
    }

    fn is_idle(&self) -> bool {
        self.protocol.open() == 0 && self.waiting.is_empty()
    }
}

struct Conn {
    server: ServerId,
    server_address: ServerAddress,
    /// When it was established.
    opened: Cell<Option<Instant>>,
    state: RefCell<State>,
    changed: Notify,
}

/// All servers reached over MessagePack-RPC.
pub struct Servers {
    hub: Rc<Hub>,
    descriptors: Rc<Descriptors>,
    weak_self: Weak<Servers>,
    conns: RefCell<HashMap<ServerId, Vec<Rc<Conn>>>>,
    /// The connection of each attempt in flight.
    in_flight: RefCell<HashMap<AttemptId, Rc<Conn>>>,
    /// The latest time of sending among the calls that each server has answered.
    answered: RefCell<HashMap<ServerId, Instant>>,
    /// The limit on open calls per connection.
    max_calls: usize,
    connect_limit: Duration,
    max_idle: Duration,
    max_silence: Duration,
    /// The read buffer, shared by all connections.
    chunk: RefCell<Vec<u8>>,
    /// How many replies matched no open call.
    stray_replies: Cell<u64>,
}

impl EvictIdle for Servers {
    fn evict(&self) -> bool {
        let conns = self.conns.borrow();
        let idle = conns.values().flatten().filter(|c| {
            let state = c.state.borrow();
            state.is_idle() && !state.evicted && state.last_received.is_some()
        });
        let Some(longest) = idle.min_by_key(|c| c.state.borrow().last_used) else { return false };
        longest.state.borrow_mut().evicted = true;
        longest.changed.notify_one();
        true
    }
}

impl Servers {
    /// Creates the backend without connections.
    pub fn new(hub: Rc<Hub>, descriptors: Rc<Descriptors>) -> Rc<Self> {
        let ms = |ms: f64| Duration::from_secs_f64(ms.clamp(1.0, 3_600_000.0) / 1000.0);
        let settings = hub.settings();
        let (max_calls, connect) =
            (hub.config.operator.calls_per_connection, settings.policy.limits.connect_timeout);
        let max_idle = ms(settings.keepalive_timeout * USABLE_KEEPALIVE_SHARE);
        let longest = settings.max_deadline.min(SILENCE_LIMITS.1.as_secs_f64() * 1000.0);
        let servers = Rc::new_cyclic(|weak_self| Self {
            weak_self: weak_self.clone(),
            conns: RefCell::default(),
            in_flight: RefCell::default(),
            answered: RefCell::default(),
            max_calls,
            connect_limit: ms(connect),
            max_idle,
            max_silence: ms(longest).max(SILENCE_LIMITS.0),
            chunk: RefCell::new(vec![0; READ_CHUNK_BYTES]),
            stray_replies: Cell::new(0),
            descriptors: descriptors.clone(),
            hub,
        });
        let idle: Weak<dyn EvictIdle> = servers.weak_self.clone();
        descriptors.register_evictable(idle);
        servers
    }

    /// Starts an attempt.
    pub fn start(&self, attempt: AttemptId, server: ServerId, deadline: Instant, call: Rc<Call>) {
        let Some(server_address) = self.hub.server_address(server) else {
            return self.report_ended(attempt, Outcome::NotSent);
        };
        let conn = match self.least_loaded(server, server_address) {
            Some(conn) => conn,
            None => match self.descriptors.reserve() {
                Some(descriptor) => self.open(server, server_address, descriptor),
                None => return self.report_ended(attempt, Outcome::NotSent),
            },
        };
        {
            let mut state = conn.state.borrow_mut();
            state.waiting.push_back(Waiting { attempt, deadline, call });
            state.deadlines.insert((deadline, attempt));
            state.last_used = Instant::now();
        }
        self.in_flight.borrow_mut().insert(attempt, conn.clone());
        conn.changed.notify_one();
    }

    /// The connection to this incarnation of a server with the most free slots, if any has one.
    fn least_loaded(&self, server: ServerId, server_address: ServerAddress) -> Option<Rc<Conn>> {
        let conns = self.conns.borrow();
        let fit = conns.get(&server)?.iter().filter(|c| c.server_address == server_address);
        let with_slots = fit.map(|c| (c.state.borrow().free_slots(), c)).filter(|(slots, _)| *slots > 0);
        with_slots.max_by_key(|(slots, _)| *slots).map(|(_, conn)| conn.clone())
    }

    fn open(&self, server: ServerId, server_address: ServerAddress, descriptor: Descriptor) -> Rc<Conn> {
        let state = State {
            protocol: Connection::new(self.max_calls, Bounds::default()),
            waiting: VecDeque::new(),
            deadlines: BTreeSet::new(),
            sent: HashMap::new(),
            last_received: None,
            last_used: Instant::now(),
            silent: false,
            evicted: false,
        };
        let conn = Rc::new(Conn {
            server,
            server_address,
            opened: Cell::default(),
            state: RefCell::new(state),
            changed: Notify::new(),
        });
        self.conns.borrow_mut().entry(server).or_default().push(conn.clone());
        if let Some(servers) = self.weak_self.upgrade() {
            let conn = conn.clone();
            tokio::task::spawn_local(async move {
                servers.run(&conn).await;
                servers.drop_conn(&conn);
                drop(descriptor);
            });
        }
        conn
    }

    /// Abandons an attempt if it belongs to this backend.
    pub fn abandon(&self, attempt: AttemptId) -> bool {
        let Some(conn) = self.in_flight.borrow().get(&attempt).cloned() else { return false };
        let ended = self.give_up(&conn, attempt, Outcome::Cancelled, Outcome::Cancelled);
        self.hub.attempt_ended(attempt, ended);
        true
    }

    /// Returns whether the attempt belongs to this backend and no byte of it was written; after the first
    /// byte it can't be withdrawn.
    pub fn is_unsent(&self, attempt: AttemptId) -> bool {
        let in_flight = self.in_flight.borrow();
        let Some(conn) = in_flight.get(&attempt) else { return false };
        let state = conn.state.borrow();
        state.waiting.iter().any(|w| w.attempt == attempt) || state.protocol.is_unwritten(&attempt)
    }

    /// Ends an attempt in flight with `unsent` if no byte of it was written; otherwise it continues to run
    /// and is reported as `sent`.
    fn give_up(
        &self,
        conn: &Conn,
        attempt: AttemptId,
        unsent: Outcome,
        sent: Outcome,
    ) -> AttemptResult<Reply> {
        let mut state = conn.state.borrow_mut();
        state.deadlines.retain(|(_, other)| *other != attempt);
        if let Some(at) = state.waiting.iter().position(|w| w.attempt == attempt) {
            state.waiting.remove(at);
        } else if state.protocol.give_up(&attempt) == GivenUp::RunsOn {
            // The attempt stays registered until its reply has arrived.
            return AttemptResult::RunsOn(sent);
        }
        state.sent.remove(&attempt);
        self.in_flight.borrow_mut().remove(&attempt);
        AttemptResult::NoResponse(unsent)
    }

    /// Reports an attempt that ended without an answer and has nothing left running.
    fn report_ended(&self, attempt: AttemptId, outcome: Outcome) {
        self.hub.attempt_ended(attempt, AttemptResult::NoResponse(outcome));
    }

    /// Retires the connections to a server that moved, restarted or is gone.
    pub fn discard_connections(&self, server: ServerId) {
        self.answered.borrow_mut().remove(&server);
        if let Some(conns) = self.conns.borrow().get(&server) {
            for conn in conns {
                conn.state.borrow_mut().protocol.retire();
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
        match self.establish(conn).await {
            Ok(sock) => {
                let any_received = self.serve(conn, &sock).await;
                conn.state.borrow_mut().protocol.ended();
                self.report_events(conn);
                // Calls queued meanwhile were never executed. A connection on which nothing was received
                // counts as a failed connect.
                self.end_waiting(conn, if any_received { Outcome::NotSent } else { Outcome::ConnectFailed });
            }
            Err(outcome) => self.end_waiting(conn, outcome),
        }
    }

    /// Ends all waiting calls. Only the first reports what happened to the connection, so that it counts
    /// once.
    fn end_waiting(&self, conn: &Conn, first: Outcome) {
        let mut outcome = first;
        // No further calls are assigned to it.
        conn.state.borrow_mut().protocol.retire();
        loop {
            let waiting = conn.state.borrow_mut().waiting.pop_front();
            let Some(Waiting { attempt, .. }) = waiting else { return };
            self.in_flight.borrow_mut().remove(&attempt);
            self.report_ended(attempt, std::mem::replace(&mut outcome, Outcome::NotSent));
        }
    }

    async fn establish(&self, conn: &Conn) -> Result<Rc<TrackedSocket>, Outcome> {
        let mut connecting =
            pin!(timeout(self.connect_limit, TcpStream::connect(conn.server_address.endpoint.address)));
        loop {
            let deadline = self.expire(conn);
            tokio::select! {
                stream = &mut connecting => return match stream {
                    Ok(Ok(stream)) => TrackedSocket::new(stream).map_err(|_| Outcome::ConnectFailed),
                    Ok(Err(error)) if is_own_connect_failure(&error) => {
                        self.descriptors.evict();
                        Err(Outcome::NotSent)
                    }
                    Ok(Err(_)) | Err(_) => Err(Outcome::ConnectFailed),
                },
                () = conn.changed.notified() => {}
                () = tokio::time::sleep_until(deadline.into()) => {}
            }
        }
    }

    /// Serves a connection until it ends; returns whether anything was received.
    async fn serve(&self, conn: &Conn, sock: &TrackedSocket) -> bool {
        conn.opened.set(Some(Instant::now()));
        let mut reads = 0;
        loop {
            self.expire(conn);
            self.submit_waiting(conn, sock);
            if write(conn, sock, &self.hub).is_err() {
                // Answers sent before the failure may still be readable.
                while matches!(self.read(conn, sock), Ok(1..=READ_CHUNK_BYTES)) {}
                break;
            }
            let Some(wake_at) = self.next_wake(conn) else { break };
            let unsent = conn.state.borrow().protocol.unwritten() > 0;
            tokio::select! {
                ready = sock.readable() => {
                    if ready.is_err() || matches!(self.read(conn, sock), Ok(0) | Err(_)) {
                        break;
                    }
                    reads += 1;
                    if reads % MAX_READS_PER_POLL == 0 {
                        tokio::task::yield_now().await;
                    }
                }
                ready = sock.writable(), if unsent => {
                    if ready.is_err() {
                        break;
                    }
                }
                () = conn.changed.notified() => {}
                () = tokio::time::sleep_until(wake_at.into()) => {}
            }
        }
        conn.state.borrow().last_received.is_some()
    }

    /// When to look at a connection again if nothing happens; `None` if it is to be closed.
    fn next_wake(&self, conn: &Conn) -> Option<Instant> {
        let state = conn.state.borrow();
        if state.protocol.broken().is_some() {
            return None;
        }
        let now = Instant::now();
        let first = state.deadlines.first().map(|(deadline, _)| *deadline);
        if !state.is_idle() {
            // All remaining calls were given up and nothing is received: the host may be gone.
            let all_given_up = state.deadlines.is_empty() && state.waiting.is_empty();
            let since =
                state.last_received.map_or(state.last_used, |received_at| received_at.max(state.last_used));
            // Closed earlier if the server has answered, on another connection, something sent later.
            let has_answered_later = self.has_answered_later(conn.server, since);
            let dead_at = since + if has_answered_later { SILENCE_LIMITS.0 } else { self.max_silence };
            if all_given_up && now >= dead_at {
                return None;
            }
            return Some(first.unwrap_or(dead_at));
        }
        let idle_until = state.last_used + self.max_idle;
        if state.evicted || state.protocol.is_retired() || now >= idle_until {
            return None;
        }
        // A server that restarted, moved or drains gets no further calls.
        (self.hub.server_address(conn.server) == Some(conn.server_address)).then_some(idle_until)
    }

    /// Hands waiting calls to the protocol state, a limited number at a time. A drain applies from the moment
    /// the node is notified, also to calls that were waiting.
    fn submit_waiting(&self, conn: &Conn, sock: &TrackedSocket) {
        if !self.hub.may_send_to(conn.server, conn.server_address)
            || conn.state.borrow().protocol.is_retired()
        {
            let withdrawn = conn.state.borrow_mut().protocol.withdraw();
            for attempt in withdrawn {
                self.forget_attempt(conn, attempt);
                self.report_ended(attempt, Outcome::NotSent);
            }
            return self.end_waiting(conn, Outcome::NotSent);
        }
        // An idle connection may have been closed by the server; read that first, so that no call is lost on
        // it.
        if conn.state.borrow().protocol.open() == 0 && !sock.is_quiet() {
            return;
        }
        for attempt in self.hand_over(conn) {
            self.forget_attempt(conn, attempt);
            self.report_ended(attempt, Outcome::NotSent);
        }
    }

    /// Hands over waiting calls; returns those that must not be written any more.
    fn hand_over(&self, conn: &Conn) -> Vec<AttemptId> {
        let mut state = conn.state.borrow_mut();
        let state = &mut *state;
        let mut refused = Vec::new();
        while state.protocol.unwritten() < MAX_UNWRITTEN_CALLS && state.protocol.room() > 0 {
            let Some(Waiting { attempt, deadline, call }) = state.waiting.pop_front() else { break };
            if !self.hub.may_write(attempt) {
                refused.push(attempt);
                continue;
            }
            let now = Instant::now();
            let remaining_ms = deadline.saturating_duration_since(now).as_millis() as u64;
            if state.protocol.call(attempt, &call.to_rpc_call(remaining_ms)).is_ok() {
                state.sent.insert(attempt, now);
                state.last_used = now;
            }
        }
        refused
    }

    fn forget_attempt(&self, conn: &Conn, attempt: AttemptId) {
        let mut state = conn.state.borrow_mut();
        state.deadlines.retain(|(_, other)| *other != attempt);
        state.sent.remove(&attempt);
        self.in_flight.borrow_mut().remove(&attempt);
    }

    /// Gives up the calls whose deadline has passed; returns the next deadline.
    fn expire(&self, conn: &Conn) -> Instant {
        loop {
            let now = Instant::now();
            let first = conn.state.borrow().deadlines.first().copied();
            let Some((deadline, attempt)) = first else { return now + self.max_idle };
            if deadline > now {
                return deadline;
            }
            // A call is silent if nothing was received since it was written. If the server has meanwhile
            // answered, on another connection, something sent later, this connection is dead and the server
            // is not slow.
            let (silent, sent) = {
                let state = conn.state.borrow();
                let sent = state.sent.get(&attempt).copied();
                (
                    sent.is_some_and(|sent| state.last_received.is_none_or(|received_at| received_at < sent)),
                    sent,
                )
            };
            let has_answered_later =
                silent && sent.is_some_and(|sent| self.has_answered_later(conn.server, sent));
            let outcome = if has_answered_later { Outcome::Unheard } else { Outcome::TimedOut };
            let ended = self.give_up(conn, attempt, Outcome::NotSent, outcome);
            if silent && matches!(ended, AttemptResult::RunsOn(_)) {
                conn.state.borrow_mut().silent = true;
            }
            self.hub.attempt_ended(attempt, ended);
        }
    }

    fn has_answered_later(&self, server: ServerId, sent: Instant) -> bool {
        self.answered.borrow().get(&server).is_some_and(|last| *last > sent)
    }

    /// Reads available bytes and processes them. Returns how many, 0 if the server closed, and `usize::MAX`
    /// if nothing was available.
    fn read(&self, conn: &Conn, sock: &TrackedSocket) -> std::io::Result<usize> {
        let read = {
            let mut chunk = self.chunk.borrow_mut();
            match sock.try_read(&mut chunk) {
                Ok(n) => {
                    let mut state = conn.state.borrow_mut();
                    if n > 0 {
                        (state.last_received, state.silent) = (Some(Instant::now()), false);
                    }
                    state.protocol.received(&chunk[..n]);
                    n
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(usize::MAX),
                Err(error) => return Err(error),
            }
        };
        self.report_events(conn);
        Ok(read)
    }

    /// Reports calls that have ended.
    fn report_events(&self, conn: &Conn) {
        let mut is_reported = false;
        loop {
            let event = conn.state.borrow_mut().protocol.poll();
            let Some(event) = event else { return };
            // Several calls that fail with one connection are one failure of the server: only the first
            // reports it.
            let mut first_only =
                |outcome| if std::mem::replace(&mut is_reported, true) { Outcome::Unheard } else { outcome };
            let (attempt, ended) = match event {
                Event::Answered(attempt, answer) => {
                    self.record_answer(conn, attempt);
                    (attempt, ended_with(answer))
                }
                Event::UndecodableReply(attempt) if conn.state.borrow().protocol.broken().is_none() => {
                    self.record_answer(conn, attempt);
                    (attempt, AttemptResult::NoResponse(Outcome::Error))
                }
                Event::UndecodableReply(attempt) => {
                    (attempt, AttemptResult::NoResponse(first_only(Outcome::Error)))
                }
                Event::Broken(attempt, Ran::Maybe) => {
                    (attempt, AttemptResult::NoResponse(first_only(Outcome::Reset)))
                }
                Event::Broken(attempt, Ran::Never) => {
                    let first = if conn.state.borrow().last_received.is_some() {
                        Outcome::NotSent
                    } else {
                        Outcome::ConnectFailed
                    };
                    let outcome = if is_reported { Outcome::NotSent } else { first };
                    is_reported = true;
                    (attempt, AttemptResult::NoResponse(outcome))
                }
                Event::Left(attempt) => {
                    self.forget_attempt(conn, attempt);
                    self.hub.attempt_left(attempt);
                    continue;
                }
                Event::Stray(text) => {
                    self.stray_replies.set(self.stray_replies.get() + 1);
                    log::write_line(format!(
                        "msgpack: {text}; {} stray replies so far",
                        self.stray_replies.get()
                    ));
                    continue;
                }
            };
            self.forget_attempt(conn, attempt);
            self.hub.attempt_ended(attempt, ended);
        }
    }

    /// Records that a server answered this call.
    fn record_answer(&self, conn: &Conn, attempt: AttemptId) {
        let Some(sent) = conn.state.borrow().sent.get(&attempt).copied() else { return };
        self.record_answered_send(conn.server, sent);
        conn.opened.get().into_iter().for_each(|opened| self.hub.connection_answered(conn.server, opened));
    }

    /// Records that a server answered what was sent at `sent`, and wakes silent connections that may now be
    /// closed.
    fn record_answered_send(&self, server: ServerId, sent: Instant) {
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
        let Some(servers) = self.weak_self.upgrade() else { return };
        tokio::task::spawn_local(async move {
            let sent = Instant::now();
            // The time allowed for connecting, and as much again for the answer.
            let outcome =
                timeout_at((sent + 2 * servers.connect_limit).into(), servers.check_health(server)).await;
            if matches!(outcome, Ok(Outcome::Done)) {
                servers.record_answered_send(server, sent);
            }
            servers.hub.probed(server, outcome.unwrap_or(Outcome::TimedOut), sent.elapsed());
        });
    }

    /// Sends a health call on a new connection: an existing one could not show whether the process still
    /// accepts them.
    async fn check_health(&self, server: ServerId) -> Outcome {
        let Some(server_address) = self.hub.server_address(server) else { return Outcome::NotSent };
        let Some(_descriptor) = self.descriptors.reserve_for_check().await else { return Outcome::NotSent };
        let stream =
            match timeout(self.connect_limit, TcpStream::connect(server_address.endpoint.address)).await {
                Ok(Ok(stream)) => stream,
                Ok(Err(error)) if is_own_connect_failure(&error) => return Outcome::NotSent,
                Ok(Err(_)) | Err(_) => return Outcome::ConnectFailed,
            };
        let Ok(sock) = TrackedSocket::new(stream) else { return Outcome::ConnectFailed };
        let mut protocol = Connection::new(1, Bounds::default());
        let call = message::Call { class: HEALTH_METHOD.to_string(), ..message::Call::default() };
        if protocol.call((), &call).is_err() {
            return Outcome::NotSent;
        }
        let mut chunk = vec![0; 1024];
        loop {
            while protocol.unwritten() > 0 {
                let parts: Vec<IoSlice<'_>> = protocol.output().map(IoSlice::new).collect();
                match sock.try_write(&parts) {
                    Ok(n) => drop(protocol.wrote(n)),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        if sock.writable().await.is_err() {
                            return Outcome::ConnectFailed;
                        }
                    }
                    Err(_) => return Outcome::ConnectFailed,
                }
            }
            match protocol.poll() {
                Some(Event::Answered((), Ok(_))) => return Outcome::Done,
                Some(Event::Answered((), Err(error))) if error.code == Code::TurnedAway => {
                    return Outcome::Full
                }
                Some(Event::Broken((), _)) => return Outcome::Reset,
                Some(_) => return Outcome::Error,
                None => {}
            }
            if protocol.broken().is_some() {
                return Outcome::Error;
            }
            let ready = sock.readable().await;
            match ready.and_then(|()| sock.try_read(&mut chunk)) {
                Ok(0) => protocol.ended(),
                Ok(n) => protocol.received(&chunk[..n]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => protocol.ended(),
            }
        }
    }
}

/// Writes as much as the kernel accepts.
fn write(conn: &Conn, sock: &TrackedSocket, hub: &Hub) -> std::io::Result<()> {
    let mut state = conn.state.borrow_mut();
    while state.protocol.unwritten() > 0 {
        let wrote = {
            let parts: Vec<IoSlice<'_>> = state.protocol.output().map(IoSlice::new).collect();
            sock.try_write(&parts)
        };
        match wrote {
            Ok(n) => {
                let completed = state.protocol.wrote(n) as u64;
                hub.figures.with(|figures| figures.sends += completed);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Converts a server's answer into the result of its attempt.
fn ended_with(answer: Answer) -> AttemptResult<Reply> {
    match answer {
        Ok(body) if body.len() <= MAX_BUFFERED_BODY_BYTES => {
            AttemptResult::Served(Reply { headers: HeaderMap::new(), body: Content::Buffered(body) })
        }
        Ok(_) => AttemptResult::NoResponse(Outcome::Error),
        Err(error) => AttemptResult::NoResponse(match error.code {
            Code::TurnedAway => Outcome::Full,
            // No other server would accept it either.
            Code::BadRequest => Outcome::Rejected,
            Code::Refused | Code::Failed | Code::UnknownClass | Code::TooLarge => Outcome::Error,
        }),
    }
}
