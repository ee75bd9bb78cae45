//! MessagePack-RPC clients: many open calls per connection, answered in the order in which they finish.

mod time_limits;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::{ErrorKind, IoSlice};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use glenwood_core::{Final, Incoming, Rejection, Token, MAX_CLIENT_WAIT};
use glenwood_msgpack_rpc::message::{Answer, Call as RpcCall, Code, ErrorReply};
use glenwood_msgpack_rpc::server::{self, Connection, Event, Limits};
use glenwood_operation::figures::End;
use glenwood_operation::places::Slot;
use glenwood_policy::{Effect, Millis};
use hyper::{Method, Uri};
use tokio::sync::Notify;
use tokio::time::timeout;

use super::http1::LINGER_TIMEOUT;
use super::table::{Client, Clients, Ending, ANSWER_STALL_TIMEOUT};
use crate::arrival::MessageArrival;
use crate::call::{Call, Content, Origin, Reply, MAX_BUFFERED_BODY_BYTES};
use crate::hub::{self, metrics_outcome, Hub};
use crate::log;
use crate::sock::{Pending, Phase, TrackedSocket};
use time_limits::{ConnState, TimeLimits};

/// The largest single read.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// How many messages of one connection are handled before other tasks run.
const MAX_MESSAGES_PER_POLL: usize = 16;
/// The memory reserved for an open call's answer: the longest body and its framing.
const MAX_ANSWER_BYTES: usize = MAX_BUFFERED_BODY_BYTES + 256;
/// Open calls and their answers may take one part in so many of the node's memory.
const MEMORY_DIVISOR: usize = 4;
/// The longest path and query.
const MAX_PATH_BYTES: usize = 8 * 1024;
/// The method that only asks whether the node is ready.
const READY_METHOD: &str = "ready";
/// The shortest interval between log lines about dropped notifications.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Serves clients over MessagePack-RPC.
pub struct Front {
    hub: Rc<Hub>,
    clients: Rc<Clients>,
    limits: Limits,
    /// Bytes that open calls and answers occupy or may come to occupy.
    reserved: Cell<usize>,
    max_reserved: usize,
    /// The read buffer, shared by all connections.
    chunk: RefCell<Vec<u8>>,
    notifications: Cell<u64>,
    last_logged: Cell<Option<Instant>>,
}

/// The state of one connection.
struct Conn {
    protocol: RefCell<Connection>,
    /// The open calls by the client's message id; `None` while a call is being handed to the hub.
    open: RefCell<HashMap<u32, Option<hub::RequestHandle>>>,
    /// This connection's part of the reserved bytes.
    reserved: Cell<usize>,
    changed: Notify,
}

fn log_slow_message(message: &MessageArrival, now: Instant) {
    log::write_line(format!(
        "msgpack: a client's connection is closed: {} bytes of a message came within {:.1} s",
        message.bytes(),
        (now - message.began()).as_secs_f64(),
    ));
}

/// Cancels the open calls when the connection ends, and releases their memory.
struct OpenCallsGuard {
    front: Rc<Front>,
    conn: Rc<Conn>,
}

impl Drop for OpenCallsGuard {
    fn drop(&mut self) {
        let open = std::mem::take(&mut *self.conn.open.borrow_mut());
        for request in open.into_values().flatten() {
            self.front.hub.client_left(request);
        }
        self.front.set_reserved(&self.conn, 0);
    }
}

impl Front {
    /// Creates a front that hands calls to `hub`.
    pub fn new(hub: Rc<Hub>, clients: Rc<Clients>) -> Rc<Self> {
        let limits = Limits { open: hub.config.operator.open_calls, ..Limits::default() };
        let max_reserved = hub.config.memory_mb * 1024 * 1024 / MEMORY_DIVISOR;
        Rc::new(Self {
            hub,
            clients,
            limits,
            reserved: Cell::new(0),
            max_reserved,
            chunk: RefCell::new(vec![0; READ_CHUNK_BYTES]),
            notifications: Cell::new(0),
            last_logged: Cell::new(None),
        })
    }

    /// Serves one connection until it ends.
    pub async fn serve_client(self: &Rc<Self>, client: Rc<Client>) {
        let sock = client.sock.clone();
        sock.track_phase_externally();
        let conn = Rc::new(Conn {
            protocol: RefCell::new(Connection::new(self.limits)),
            open: RefCell::default(),
            reserved: Cell::new(0),
            changed: Notify::new(),
        });
        let _open = OpenCallsGuard { front: self.clone(), conn: conn.clone() };
        let mut limits = TimeLimits::default();
        let mut is_answered = false;
        loop {
            let (handled, may_have_more) = self.handle(&conn);
            let Ok(has_written) = write(&sock, &conn) else { return };
            is_answered |= has_written;
            if self.hub.failing_all.get() && !may_have_more && sock.is_quiet() {
                conn.protocol.borrow_mut().finish();
            }
            let state = ConnState::of(&conn.protocol.borrow(), may_have_more);
            self.set_reserved(&conn, self.bytes_in_use(&conn));
            if state.is_over || (state.phase == Phase::Idle && self.hub.closing.get() && sock.is_quiet()) {
                break;
            }
            sock.set_phase(state.phase);
            if may_have_more {
                limits.end_message();
                tokio::task::yield_now().await;
                continue;
            }
            limits.update(&state, handled > 0, has_written);
            let wake_at = limits.due(&state).unwrap_or_else(|| Instant::now() + Duration::from_secs(3600));
            tokio::select! {
                ready = sock.readable(), if state.wants_bytes => {
                    if ready.is_err() || !self.read(&sock, &conn) {
                        return;
                    }
                }
                ready = sock.writable(), if state.has_output => {
                    if ready.is_err() {
                        return;
                    }
                }
                () = conn.changed.notified() => {}
                // A client that has closed its connection no longer waits for its answers. The close is
                // detected here because the bytes before it are not being read.
                () = sock.wait_closed(), if state.has_open_calls && !state.wants_bytes =>
                    return client.set_ending(Ending::Left),
                () = client.close.notified() => if self.clients.confirm_close(&client) {
                    if is_answered {
                        break;
                    }
                    // No answer is under way that a reset could overtake; another client waits for the place.
                    return;
                },
                () = tokio::time::sleep_until(wake_at.into()) => {
                    let now = Instant::now();
                    if limits.are_answers_overdue(now) {
                        self.report_unread_answers(&conn);
                        return client.set_ending(Ending::Stuck);
                    }
                    if limits.take_write_retry(now) {
                        sock.retry_write();
                    }
                    let Some(message) = limits.overdue_message(&state, now) else { continue };
                    if sock.pending() != Pending::Bytes {
                        log_slow_message(&message, now);
                        client.set_ending(Ending::Slow);
                        break;
                    }
                    // More has arrived while this task could not run.
                    if !self.read(&sock, &conn) {
                        return;
                    }
                    tokio::task::yield_now().await;
                }
            }
        }
        let _ = timeout(LINGER_TIMEOUT, sock.linger()).await;
    }

    /// Logs and counts a connection that is closed because its client does not read its answers.
    fn report_unread_answers(&self, conn: &Conn) {
        let (open, unread) = {
            let protocol = conn.protocol.borrow();
            (protocol.open(), protocol.output().len())
        };
        log::write_line(format!(
            "msgpack: a client's connection is closed: its answers were not read for {:.1} s, {unread} bytes are \
             unwritten and {open} calls open",
            ANSWER_STALL_TIMEOUT.as_secs_f64(),
        ));
        self.hub.figures.with(|figures| figures.closed_unanswered += 1);
    }

    /// Reads available bytes; false if the client has disconnected.
    fn read(&self, sock: &TrackedSocket, conn: &Conn) -> bool {
        let mut chunk = self.chunk.borrow_mut();
        match sock.try_read(&mut chunk) {
            Ok(0) => false,
            Ok(n) => {
                conn.protocol.borrow_mut().received(&chunk[..n]);
                true
            }
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }

    /// Handles a limited number of received messages; returns how many, and whether there may be more.
    fn handle(self: &Rc<Self>, conn: &Rc<Conn>) -> (usize, bool) {
        for handled in 0..MAX_MESSAGES_PER_POLL {
            let event = conn.protocol.borrow_mut().poll();
            match event {
                None => return (handled, false),
                Some(Event::Call { id, call }) => self.handle_call(conn, id, call),
                Some(Event::Surplus { id, class }) => {
                    let class = self.class(&class);
                    let ticket = class.as_ref().map(|class| self.hub.issue_ticket(class));
                    let class = class.map_or(0, |class| class.number);
                    let refusal = server::surplus(retry_after_ms(self.hub.retry_after(class)));
                    conn.protocol.borrow_mut().answer(id, &Err(refusal));
                    ticket.into_iter().for_each(|ticket| ticket.end(End::Deferred));
                }
                Some(Event::Bad { .. }) => {}
                Some(Event::Notification) => self.count_notification(),
                Some(Event::Ending(message)) => {
                    log::write_line(format!("msgpack: closing a client's connection: {message}"));
                    return (handled, false);
                }
            }
        }
        (MAX_MESSAGES_PER_POLL, true)
    }

    /// Drops and counts a notification. It has no reply, so the node could report neither refusal nor
    /// failure.
    fn count_notification(&self) {
        self.notifications.set(self.notifications.get() + 1);
        if self.last_logged.get().is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
            self.last_logged.set(Some(Instant::now()));
            log::write_line(format!("msgpack: {} notifications dropped so far", self.notifications.get()));
        }
    }

    fn class(&self, name: &str) -> Option<Slot> {
        self.hub.class(name)
    }

    /// Hands a call to the hub, or answers it at once.
    fn handle_call(self: &Rc<Self>, conn: &Rc<Conn>, id: u32, request: RpcCall) {
        if request.class == READY_METHOD && self.class(READY_METHOD).is_none() {
            let reply =
                if self.hub.ready() { Ok(Bytes::new()) } else { Err(refused_reply("not ready", 0.0)) };
            return conn.protocol.borrow_mut().answer(id, &reply);
        }
        let began = Instant::now();
        let mut ticket = self.class(&request.class).map(|class| self.hub.issue_ticket(&class));
        let answer = match self.validate(request, began) {
            Err(invalid) => Err(invalid),
            Ok(incoming) if self.clients.must_refuse() || !self.has_memory(incoming.payload.body.len()) => {
                Err(refused_reply("no room", self.hub.retry_after(incoming.class)))
            }
            Ok(incoming) => {
                conn.open.borrow_mut().insert(id, None);
                let answering_conn = conn.clone();
                // If the hub does not take the call, the ticket is recovered from this cell.
                let ticket_cell = Rc::new(Cell::new(ticket.take()));
                let shared_ticket = ticket_cell.clone();
                let taken = self.hub.submit(incoming, move |final_answer| {
                    shared_ticket
                        .take()
                        .into_iter()
                        .for_each(|ticket| ticket.end(metrics_outcome(&final_answer)));
                    answering_conn.open.borrow_mut().remove(&id);
                    answering_conn.protocol.borrow_mut().answer(id, &answer_of(final_answer));
                    answering_conn.changed.notify_one();
                });
                match taken {
                    Ok(asked) => {
                        // The call may already have been answered.
                        if let Some(open) = conn.open.borrow_mut().get_mut(&id) {
                            *open = Some(asked);
                        }
                        self.set_reserved(conn, conn.reserved.get() + MAX_ANSWER_BYTES);
                        return;
                    }
                    Err(reason) => {
                        conn.open.borrow_mut().remove(&id);
                        ticket = ticket_cell.take();
                        Err(rejection_reply(reason))
                    }
                }
            }
        };
        conn.protocol.borrow_mut().answer(id, &answer);
        let refused = matches!(&answer, Err(error) if error.code == Code::Refused);
        let end = if refused { End::Deferred } else { End::Errored };
        ticket.into_iter().for_each(|ticket| ticket.end(end));
    }

    /// Validates a call against the same limits as an HTTP request.
    fn validate(&self, request: RpcCall, began: Instant) -> Result<Incoming<Rc<Call>>, ErrorReply> {
        let settings = self.hub.settings();
        let Some(class) = self.class(&request.class) else {
            return Err(ErrorReply::new(Code::UnknownClass, "method: no such class"));
        };
        if request.body.len() > MAX_BUFFERED_BODY_BYTES {
            return Err(ErrorReply::new(Code::TooLarge, "body: longer than 65536 bytes"));
        }
        if request.path.len() > MAX_PATH_BYTES {
            return Err(ErrorReply::new(Code::TooLarge, "path: longer than 8192 bytes"));
        }
        let invalid = |message: &str| ErrorReply::new(Code::BadRequest, message);
        let token = |text: Option<String>, name: &str| match text {
            None => Err(invalid(&format!("{name}: missing"))),
            Some(text) => Token::new(&text).map_err(|e| invalid(&format!("{name}: {e}"))),
        };
        let optional_text = |text: Option<String>, name: &str| match text {
            None => Ok(None),
            // These characters would terminate the cookie or header that carries the text.
            Some(text) if Token::new(&text).is_err() || text.contains([';', ',', '"']) => {
                Err(invalid(&format!("{name}: 1 to 256 visible ASCII characters without ; , \" expected")))
            }
            Some(text) => Ok(Some(text.into_boxed_str())),
        };
        let id = token(request.txn, "txn")?;
        let remaining = request.remaining_ms.ok_or_else(|| invalid("remaining_ms: missing"))?;
        let effect = settings.policy.classes[class.number].effect;
        let key = match effect {
            Effect::Keyed { .. } => Some(token(request.key, "key")?),
            Effect::Safe | Effect::Unsafe => None,
        };
        let (org, user) = (optional_text(request.org, "org")?, optional_text(request.user, "user")?);
        let method = if effect == Effect::Safe { Method::GET } else { Method::POST };
        if method == Method::GET && !request.body.is_empty() {
            return Err(invalid("body: a class that is safe to repeat has none"));
        }
        if request.path.contains('#') {
            return Err(invalid("path: # has no place there"));
        }
        let target: Uri = format!("/{}{}", request.class, request.path)
            .parse()
            .map_err(|_| invalid("path: not a path and query"))?;
        let tenant = org.as_deref().and_then(|org| self.hub.tenant(org));
        let began = self.hub.clock.millis_at(began);
        let deadline = began + remaining.min(MAX_CLIENT_WAIT as u64) as f64;
        // A small body is copied so that it does not keep the buffer of the complete message alive.
        let body =
            if request.body.len() < 1024 { Bytes::copy_from_slice(&request.body) } else { request.body };
        let call = Call {
            class_and_tenant: (class.clone(), tenant.clone()),
            id: id.clone(),
            key: key.clone(),
            method,
            target,
            origin: Origin::Rpc { org, user },
            body: body.into(),
            rest: None,
            body_budget_share: self.hub.bodies.share(),
        };
        let repeat_key = Some(call.repeat_key(self.hub.config.seed));
        Ok(Incoming {
            class: class.number,
            tenant: tenant.map(|tenant| tenant.number),
            key,
            id,
            began,
            deadline,
            repeat_key,
            work: call.estimated_work(),
            body_pending: false,
            prior_attempts: None,
            payload: Rc::new(call),
        })
    }

    // ---- Memory ----

    /// Returns whether there is memory for one more call and its answer.
    fn has_memory(&self, body: usize) -> bool {
        self.reserved.get() + body + MAX_ANSWER_BYTES <= self.max_reserved
    }

    fn bytes_in_use(&self, conn: &Conn) -> usize {
        let protocol = conn.protocol.borrow();
        // Each open call is counted with the size of its longest answer.
        protocol.open() * MAX_ANSWER_BYTES + protocol.output().len() + protocol.held()
    }

    fn set_reserved(&self, conn: &Conn, bytes: usize) {
        self.reserved.set(self.reserved.get() + bytes - conn.reserved.replace(bytes));
    }
}

/// Writes as much as the kernel accepts; returns whether anything was written.
fn write(sock: &TrackedSocket, conn: &Conn) -> std::io::Result<bool> {
    let mut protocol = conn.protocol.borrow_mut();
    let mut any = false;
    while !protocol.output().is_empty() {
        let written = sock.try_write(&[IoSlice::new(protocol.output())]);
        match written {
            Ok(n) => {
                any = true;
                protocol.wrote(n);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            Err(error) => return Err(error),
        }
    }
    Ok(any)
}

/// The core's retry delay, rounded up to milliseconds, if there is one.
fn retry_after_ms(retry_after: Millis) -> Option<u64> {
    (retry_after > 0.0).then_some(retry_after.ceil() as u64)
}

fn refused_reply(message: &str, retry_after: Millis) -> ErrorReply {
    let message = message.to_string();
    ErrorReply { code: Code::Refused, message, retry_after_ms: retry_after_ms(retry_after) }
}

fn answer_of(final_answer: Final<Reply>) -> Answer {
    match final_answer {
        Final::Served(reply) => match reply.body {
            Content::Buffered(body) => Ok(body),
            // An answer must be one message, and one this long would delay all others on the connection.
            Content::Streamed(..) => {
                Err(ErrorReply::new(Code::TooLarge, "the answer is longer than 65536 bytes"))
            }
        },
        Final::Refused { retry_after } => Err(refused_reply("refused", retry_after)),
        Final::Failed => Err(ErrorReply::new(Code::Failed, "failed; it may have run")),
        Final::DeadlineNear => Err(ErrorReply::new(Code::Failed, "no answer in time; it may have run")),
        Final::Rejected => Err(ErrorReply::new(Code::BadRequest, "turned down by the server")),
    }
}

fn rejection_reply(reason: Rejection) -> ErrorReply {
    match reason {
        Rejection::DuplicateId => ErrorReply::new(Code::BadRequest, "txn: a request with this id is open"),
        Rejection::TooManyOpen { retry_after } => refused_reply("too many open requests", retry_after),
        Rejection::UnknownClass => ErrorReply::new(Code::UnknownClass, "method: no such class"),
        Rejection::KeyMissing => ErrorReply::new(Code::BadRequest, "key: missing"),
    }
}
