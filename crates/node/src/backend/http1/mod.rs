//! HTTP/1.1 servers: attempts, probes and their outcomes.

mod answer;
mod early;
mod forwarding;
mod pool;
mod time_limit;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use glenwood_core::{AttemptId, AttemptResult};
use glenwood_exchange::{Answer, Proof, ProofReason, ResponseKind, ResponseMeaning, Verdict};
use glenwood_policy::{Outcome, ServerId};
use hyper::header::{HeaderValue, HOST};
use hyper::{Request, Uri};
use tokio::task::AbortHandle;
use tokio::time::timeout_at;

use super::{Descriptors, EvictIdle};
use crate::blocks::{Blocks, OutgoingBody, RemainingBody};
use crate::call::{Call, Origin, Reply, REMAINING};
use crate::hub::{AbandonedUpload, Hub};
use answer::{send_and_receive, ExchangeError, ReceivedAnswer};
use early::{sequel, Exchanged, Sequel};
use forwarding::Buffering;
use pool::{Link, Pool, Readiness};
pub use time_limit::UploadBound;
use time_limit::{TimeLimit, Upload, WrittenAt};

/// How many new connections in a row may receive unexpected bytes before the attempt fails.
const MAX_UNUSABLE_CONNECTIONS: usize = 3;

/// What is sent on a connection.
enum Message {
    Call(Rc<Call>),
    /// Tests whether the server accepts connections, so it never uses a pooled one.
    Probe,
    /// Tests whether a server in use is draining.
    Check,
}

impl Message {
    fn body(&self) -> OutgoingBody {
        match self {
            Self::Call(call) => match &call.rest {
                Some(rest) => OutgoingBody::with_rest(call.body.clone(), rest),
                None => call.body.clone().into(),
            },
            Self::Probe | Self::Check => Blocks::default().into(),
        }
    }

    /// The rest of the body, if it is still being received.
    fn rest(&self) -> Option<&RemainingBody> {
        match self {
            Self::Call(call) => call.rest.as_ref(),
            Self::Probe | Self::Check => None,
        }
    }

    /// Whether the answer may be forwarded in parts. An answer over MessagePack-RPC is one message.
    fn accepts_parts(&self) -> bool {
        matches!(self, Self::Call(call) if matches!(call.origin, Origin::Http(_)))
    }

    /// The kind of an answer to this message.
    fn kind_of(&self, received: &ReceivedAnswer) -> ResponseKind {
        match self {
            Self::Call(_) => match received.classify() {
                ResponseMeaning::Served if received.is_incomplete() => ResponseKind::ServedLong,
                meaning => meaning.into(),
            },
            Self::Probe | Self::Check => ResponseKind::HealthCheck,
        }
    }

    fn request(&self, deadline: Instant) -> Request<OutgoingBody> {
        let mut request = Request::new(self.body());
        match self {
            Self::Call(call) => {
                *request.method_mut() = call.method.clone();
                *request.uri_mut() = call.target.clone();
                *request.headers_mut() = call.headers();
            }
            Self::Probe | Self::Check => {
                *request.uri_mut() = Uri::from_static("/health");
                request.headers_mut().insert(HOST, HeaderValue::from_static("service.internal"));
            }
        }
        let left = deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
        request.headers_mut().insert(REMAINING, HeaderValue::from(left));
        request
    }
}

/// All servers reached over HTTP/1.1.
pub struct Servers {
    hub: Rc<Hub>,
    pool: Rc<Pool>,
    /// The attempts in flight.
    in_flight: RefCell<HashMap<AttemptId, InFlight>>,
}

/// An attempt in flight.
struct InFlight {
    task: AbortHandle,
    /// When its last byte was written; `None` while it waits for a connection or is being written.
    written_at: WrittenAt,
}

impl Servers {
    /// Creates the backend without connections.
    pub fn new(hub: Rc<Hub>, descriptors: Rc<Descriptors>) -> Rc<Self> {
        let pool = Rc::new(Pool::new(hub.clone(), &hub.settings(), descriptors.clone()));
        let idle: Rc<dyn EvictIdle> = pool.clone();
        descriptors.register_evictable(Rc::downgrade(&idle));
        Rc::new(Self { hub, pool, in_flight: RefCell::default() })
    }

    /// Starts an attempt.
    pub fn start(self: &Rc<Self>, attempt: AttemptId, server: ServerId, deadline: Instant, call: Rc<Call>) {
        let (servers, written_at) = (self.clone(), WrittenAt::default());
        let tracked = (attempt, written_at.clone());
        let task = tokio::task::spawn_local(async move {
            let message = Message::Call(call);
            let ended = exchange(&servers, server, deadline, &message, Some(tracked)).await;
            servers.in_flight.borrow_mut().remove(&attempt);
            servers.hub.attempt_ended(attempt, ended);
        });
        self.in_flight.borrow_mut().insert(attempt, InFlight { task: task.abort_handle(), written_at });
    }

    /// Abandons an attempt if it belongs to this backend: ending the task closes its connection. A request
    /// that was not fully written was never executed.
    pub fn abandon(&self, attempt: AttemptId) -> bool {
        let Some(in_flight) = self.in_flight.borrow_mut().remove(&attempt) else { return false };
        in_flight.task.abort();
        let outcome =
            if in_flight.written_at.get().is_some() { Outcome::Cancelled } else { Outcome::NotSent };
        self.hub.attempt_ended(attempt, AttemptResult::NoResponse(outcome));
        true
    }

    /// Returns whether the attempt belongs to this backend and is not fully written.
    pub fn is_unsent(&self, attempt: AttemptId) -> bool {
        self.in_flight.borrow().get(&attempt).is_some_and(|in_flight| in_flight.written_at.get().is_none())
    }

    /// Probes a server, or checks whether one in use is draining.
    pub fn probe(self: &Rc<Self>, server: ServerId, is_in_use: bool) {
        let servers = self.clone();
        tokio::task::spawn_local(async move {
            let sent = Instant::now();
            // The time allowed for connecting, and as much again for the answer.
            let deadline = sent + 2 * servers.pool.max_connect_time;
            let message = if is_in_use { Message::Check } else { Message::Probe };
            let outcome = match exchange(&servers, server, deadline, &message, None).await {
                AttemptResult::Served(_) | AttemptResult::Streaming(_) => Outcome::Done,
                AttemptResult::NoResponse(outcome) | AttemptResult::RunsOn(outcome) => outcome,
            };
            servers.hub.probed(server, outcome, sent.elapsed());
        });
    }

    /// Closes the idle connections to a server.
    pub fn discard_connections(&self, server: ServerId) {
        self.pool.discard_connections(server);
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self) {
        self.pool.sweep();
    }
}

/// A connection for a request.
struct Acquired {
    link: Link,
    /// Whether it has carried other requests before.
    reused: bool,
}

/// Acquires a connection on which a request may be written now, or returns the outcome of the attempt without
/// one.
async fn acquire_connection(
    servers: &Servers,
    server: ServerId,
    deadline: Instant,
    message: &Message,
    attempt: Option<AttemptId>,
    may_reuse: bool,
) -> Result<Acquired, Outcome> {
    let (hub, pool) = (&servers.hub, &servers.pool);
    let is_call = matches!(message, Message::Call(_));
    let mut unusable = 0;
    loop {
        // A drain applies from the moment the node is notified, also to attempts that were waiting for a
        // connection.
        let place = hub.server_address(server).ok_or(Outcome::NotSent)?;
        let pooled = match message {
            _ if !may_reuse => None,
            Message::Check => pool.take_oldest(server),
            Message::Call(_) | Message::Probe => pool.take(server),
        };
        let pooled = pooled.filter(|link| link.server_address == place);
        let reused = pooled.is_some();
        let mut link = match pooled {
            Some(link) => link,
            None => {
                hub.connecting(server);
                let connecting = timeout_at(deadline.into(), pool.connect(place, !is_call));
                let link = connecting.await.unwrap_or(Err(Outcome::NotSent))?;
                hub.connected(server, || link.sock.local_address());
                link
            }
        };
        let readiness = timeout_at(deadline.into(), pool.wait_until_usable(server, &mut link)).await;
        match readiness.map_err(|_| Outcome::NotSent)? {
            Readiness::Usable => {}
            Readiness::Closed | Readiness::ReceivedBytes if reused => continue,
            Readiness::ReceivedBytes if unusable + 1 < MAX_UNUSABLE_CONNECTIONS => {
                unusable += 1;
                continue;
            }
            Readiness::ReceivedBytes | Readiness::Closed => return Err(Outcome::ConnectFailed),
        }
        let accepts = match message {
            Message::Call(_) => hub.may_send_to(server, place),
            Message::Probe | Message::Check => hub.server_address(server) == Some(place),
        };
        let accepts = accepts && attempt.is_none_or(|attempt| hub.may_write(attempt));
        return if accepts { Ok(Acquired { link, reused }) } else { Err(Outcome::NotSent) };
    }
}

/// Sends one request to a server and returns how it ended. Only an attempt (`tracked`) may get a streamed
/// answer.
async fn exchange(
    servers: &Rc<Servers>,
    server: ServerId,
    deadline: Instant,
    message: &Message,
    tracked: Option<(AttemptId, WrittenAt)>,
) -> AttemptResult<Reply> {
    let (attempt, written_at) = tracked.unzip();
    let written_at = written_at.unwrap_or_default();
    let (hub, pool) = (&servers.hub, &servers.pool);
    pool.begin();
    // A body that can be sent only once is not risked on a pooled connection that may be dead.
    let is_call = matches!(message, Message::Call(_));
    let mut may_reuse = !matches!(message, Message::Probe) && message.rest().is_none();
    loop {
        let Acquired { mut link, reused } =
            match acquire_connection(servers, server, deadline, message, attempt, may_reuse).await {
                Ok(acquired) => acquired,
                Err(outcome) => return AttemptResult::NoResponse(outcome),
            };
        may_reuse = false;
        let sent = Instant::now();
        if !link.exchange.begin() {
            continue;
        }
        let unanswered = pool.track_unanswered(server);
        let length = match message {
            Message::Call(call) => call.body_length(),
            Message::Probe | Message::Check => Some(0),
        };
        match (length, message.rest()) {
            (None, Some(rest)) => link.sock.begin_streamed_message(rest.upload.clone()),
            (length, _) => link.sock.begin_message(length.unwrap_or(0)),
        }
        if let Some(attempt) = attempt {
            let (hub_handle, written_at) = (hub.clone(), written_at.clone());
            let upload = message.rest().map(|rest| rest.upload.clone());
            link.sock.on_written(move || {
                let now = Instant::now();
                hub_handle.figures.with(|f| f.sends += 1);
                written_at.set(Some(now));
                if let Some(upload) = upload {
                    hub_handle.body_sent(attempt.request, upload.last_byte_since().unwrap_or(now));
                }
            });
            if message.rest().is_some_and(RemainingBody::is_available) {
                hub.body_taken(attempt.request);
            } else if message.rest().is_some() {
                // The rest of the body was consumed by an earlier attempt; nothing of this one is sent.
                return AttemptResult::NoResponse(Outcome::NotSent);
            }
        }
        let request = message.request(deadline);
        let sock = link.sock.clone();
        // If a pooled connection is dead, a check continues on a new one.
        let may_continue = reused && !is_call;
        let deadline = if may_continue { deadline.min(sent + pool.max_connect_time) } else { deadline };
        let upload =
            message.rest().map(|rest| Upload { rest, written_at: written_at.clone(), sock: sock.clone() });
        let limit = TimeLimit { sent, deadline, upload };
        let buffering = message.accepts_parts().then(|| Buffering::new(&limit));
        let ended = limit.run(send_and_receive(&mut link, request, buffering)).await;
        drop(unanswered);
        record_order(pool, server, &mut link, message);
        let (any_written, is_written) = (sock.any_written(), sock.is_written());
        if ended.is_none() && is_written && !sock.any_received() {
            pool.close_last_used_before(server, sent);
        }
        if may_continue && !matches!(ended, Some(Ok(_))) {
            continue;
        }
        if let (None, Some(began)) = (&ended, sock.answer_began_at()) {
            hub.report_answer_cut_off(server, attempt, sock.answer_body_bytes(), began.elapsed());
        }
        if let (None, Some(rest), false) = (&ended, message.rest(), is_written) {
            hub.report_abandoned_upload(
                server,
                &AbandonedUpload {
                    attempt,
                    bound: limit.current_bound().1,
                    elapsed: sent.elapsed(),
                    left: rest.upload.left(),
                    stalled: sock.last_write_at().max(sent).elapsed(),
                    last_byte_since: rest.upload.last_byte_since(),
                },
            );
        }
        return AttemptResult::NoResponse(match ended {
            // The server closed a pooled connection before the first byte was written: nothing was sent, so
            // the attempt continues on another connection.
            Some(Err(_))
                if reused && !any_written && message.rest().is_none_or(RemainingBody::is_available) =>
            {
                continue
            }
            Some(Ok(received)) => {
                pool.record_answered(server, sent);
                let kind = message.kind_of(&received);
                let exchanged = Exchanged { hub, pool, server, kind, deadline };
                let sequel = sequel(exchanged, &link, &received).await;
                let verdict = verdict_of(pool, server, &mut link, message, &received, sequel);
                match outcome_of(verdict, &received) {
                    Ok(()) => {
                        pool.note_answer(server, kind, sock.answer_delay());
                        hub.connection_answered(server, link.exchange.opened());
                        return received.into_ended(servers, server, link, attempt);
                    }
                    Err(outcome) => {
                        hub.answer_doubted(server, attempt, verdict);
                        if may_continue {
                            continue;
                        }
                        outcome
                    }
                }
            }
            Some(Err(ExchangeError::Closed)) if is_written => Outcome::Reset,
            Some(Err(ExchangeError::Garbled)) if is_written => Outcome::Error,
            // A transfer that its client broke off says nothing about the server.
            Some(Err(_)) if message.rest().is_some() && any_written => Outcome::NotSent,
            Some(Err(_)) => Outcome::ConnectFailed,
            // A dead pooled connection must not count as a slow server, or each one would eject the server
            // and lower its limit. A server that is slow on all connections is not exempt: it has not
            // answered anything sent later.
            None if is_written && reused && !sock.any_received() && pool.has_answered_later(server, sent) => {
                Outcome::Unheard
            }
            None if is_written => Outcome::TimedOut,
            None => Outcome::NotSent,
        });
    }
}

/// Records on the connection whether the answer began before the request was fully written.
fn record_order(pool: &Pool, server: ServerId, link: &mut Link, message: &Message) {
    if link.sock.answered_early() {
        let seen = link.exchange.received(Instant::now());
        // A request body that is still being streamed may legitimately be answered before its end.
        if let Some(seen) = seen.filter(|_| message.rest().is_none()) {
            pool.record_unsolicited(server, seen);
        }
    }
    if link.sock.is_written() {
        link.exchange.written();
    }
}

/// Determines what an answer proves about the request written before it.
fn verdict_of(
    pool: &Pool,
    server: ServerId,
    link: &mut Link,
    message: &Message,
    received: &ReceivedAnswer,
    sequel: Sequel,
) -> Verdict {
    let id = match message {
        Message::Call(call) => Some(call.id.as_str()),
        Message::Probe | Message::Check => None,
    };
    let now = Instant::now();
    let began = link.sock.answer_began_at().unwrap_or(now);
    let answer = Answer {
        meaning: received.classify(),
        is_long: received.is_incomplete(),
        began,
        names_other_request: received.names_another_request(id),
        is_contradicted: sequel != Sequel::Nothing,
    };
    let verdict = link.exchange.judge_response(now, answer, pool.required_idle(server));
    if sequel == Sequel::AnotherAnswer {
        let seen = link.exchange.contradicted(began);
        pool.record_unsolicited(server, seen);
    }
    verdict
}

/// The outcome of an attempt whose answer is not accepted as it stands; `Ok` if it is.
fn outcome_of(verdict: Verdict, received: &ReceivedAnswer) -> Result<(), Outcome> {
    match (verdict.reason, verdict.proof) {
        (ProofReason::Answered, _) => Ok(()),
        // A server starts with the last byte, so a success before that answers some other request.
        (_, Proof::NeverRan) if received.outcome() == Outcome::Done => Err(Outcome::NotSent),
        (_, Proof::NeverRan) => Ok(()),
        (_, Proof::Served | Proof::MayHaveRun) => Err(Outcome::Error),
    }
}
