//! Servers that speak HTTP/1.1: attempts and probes, and how each ended.

mod answer;
mod pool;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use glenwood_core::{AttemptId, Ended};
use glenwood_exchange::{Answer, Proof, Verdict, Why};
use glenwood_policy::{Outcome, ServerId};
use hyper::header::{HeaderValue, HOST};
use hyper::{Request, Uri};
use tokio::task::AbortHandle;
use tokio::time::timeout_at;

use super::{Descriptors, Idle};
use crate::blocks::{Blocks, Rest, Sending};
use crate::call::{Call, Reply, REMAINING};
use crate::hub::Hub;
use answer::{converse, Broken, Heard};
use pool::{Link, Pool, Rested};

/// How many new connections in a row may be spoilt by bytes that nobody asked for before an attempt does without.
const NEW_SPOILT_MOST: usize = 3;

/// How long a server may take nothing of a body that goes on while it comes, and how often it is looked whether its client
/// or its server is waited for.
const UPTAKE_STALLED: Duration = Duration::from_secs(2);
const UPTAKE_LOOK: Duration = Duration::from_millis(500);

/// What goes over a connection.
enum Message {
    Call(Rc<Call>),
    /// A probe is to tell whether the process takes connections: a kept one could not.
    Probe,
    /// A check is to tell whether a server that is in use drains.
    Check,
}

impl Message {
    fn body(&self) -> Sending {
        match self {
            Self::Call(call) => match &call.rest {
                Some(rest) => Sending::with_rest(call.body.clone(), rest),
                None => call.body.clone().into(),
            },
            Self::Probe | Self::Check => Blocks::default().into(),
        }
    }

    /// What is still to come of its body.
    fn rest(&self) -> Option<&Rest> {
        match self {
            Self::Call(call) => call.rest.as_ref(),
            Self::Probe | Self::Check => None,
        }
    }

    fn request(&self, end: Instant) -> Request<Sending> {
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
        let left = end.saturating_duration_since(Instant::now()).as_millis() as u64;
        request.headers_mut().insert(REMAINING, HeaderValue::from(left));
        request
    }
}

/// All servers that speak HTTP/1.1.
pub struct Servers {
    hub: Rc<Hub>,
    pool: Rc<Pool>,
    /// The attempts that are out.
    out: RefCell<HashMap<AttemptId, Out>>,
}

/// An attempt that is out.
struct Out {
    task: AbortHandle,
    /// When its last byte went out; `None` while it waits for a connection or is being written.
    whole_at: WholeAt,
}

type WholeAt = Rc<Cell<Option<Instant>>>;

impl Servers {
    /// No connections yet.
    pub fn new(hub: Rc<Hub>, descriptors: Rc<Descriptors>) -> Rc<Self> {
        let pool = Rc::new(Pool::new(hub.clone(), &hub.settings(), descriptors.clone()));
        let idle: Rc<dyn Idle> = pool.clone();
        descriptors.may_evict(Rc::downgrade(&idle));
        Rc::new(Self { hub, pool, out: RefCell::default() })
    }

    /// Starts an attempt.
    pub fn start(self: &Rc<Self>, attempt: AttemptId, server: ServerId, end: Instant, call: Rc<Call>) {
        let (servers, whole_at) = (self.clone(), WholeAt::default());
        let of = (attempt, whole_at.clone());
        let task = tokio::task::spawn_local(async move {
            let message = Message::Call(call);
            let ended = exchange(&servers, server, end, &message, Some(of)).await;
            servers.out.borrow_mut().remove(&attempt);
            servers.hub.attempt_ended(attempt, ended);
        });
        self.out.borrow_mut().insert(attempt, Out { task: task.abort_handle(), whole_at });
    }

    /// Gives an attempt up, where it is one of these: ending the task closes its connection. One whose last byte was still
    /// here never ran.
    pub fn abandon(&self, attempt: AttemptId) -> bool {
        let Some(out) = self.out.borrow_mut().remove(&attempt) else { return false };
        out.task.abort();
        let outcome = if out.whole_at.get().is_some() { Outcome::Cancelled } else { Outcome::NotSent };
        self.hub.attempt_ended(attempt, Ended::Without(outcome));
        true
    }

    /// Is it one of these, with its last byte still here?
    pub fn unsent(&self, attempt: AttemptId) -> bool {
        self.out.borrow().get(&attempt).is_some_and(|out| out.whole_at.get().is_none())
    }

    /// Probes a server, or checks whether one that is in use drains.
    pub fn probe(self: &Rc<Self>, server: ServerId, is_in_use: bool) {
        let servers = self.clone();
        tokio::task::spawn_local(async move {
            let sent = Instant::now();
            // As long as a connection may take, and as long again for the answer.
            let end = sent + 2 * servers.pool.connect_within;
            let message = if is_in_use { Message::Check } else { Message::Probe };
            let outcome = match exchange(&servers, server, end, &message, None).await {
                Ended::Served(_) | Ended::Flows(_) => Outcome::Done,
                Ended::Without(outcome) | Ended::RunsOn(outcome) => outcome,
            };
            servers.hub.probed(server, outcome, sent.elapsed());
        });
    }

    /// Closes the idle connections to a server.
    pub fn forget(&self, server: ServerId) {
        self.pool.forget(server);
    }

    /// Closes what has been idle for long or was closed by its server.
    pub fn sweep(&self) {
        self.pool.sweep();
    }
}

/// A connection for an attempt.
struct Got {
    link: Link,
    /// It has carried others before.
    reused: bool,
}

/// A connection on which a request may be written now, or how the attempt ends without one.
async fn connection(
    servers: &Servers,
    server: ServerId,
    end: Instant,
    message: &Message,
    attempt: Option<AttemptId>,
    may_reuse: bool,
) -> Result<Got, Outcome> {
    let (hub, pool) = (&servers.hub, &servers.pool);
    let is_call = matches!(message, Message::Call(_));
    let mut spoilt = 0;
    loop {
        // A drain holds from the moment it is told, also for what waited on a connection until now.
        let place = hub.place(server).ok_or(Outcome::NotSent)?;
        let pooled = match message {
            _ if !may_reuse => None,
            Message::Check => pool.take_oldest(server),
            Message::Call(_) | Message::Probe => pool.take(server),
        };
        let pooled = pooled.filter(|link| link.place == place);
        let reused = pooled.is_some();
        let mut link = match pooled {
            Some(link) => link,
            None => {
                hub.connecting(server);
                let connecting = timeout_at(end.into(), pool.connect(place, !is_call));
                connecting.await.unwrap_or(Err(Outcome::NotSent))?
            }
        };
        let rested = timeout_at(end.into(), pool.rest(server, &mut link)).await;
        match rested.map_err(|_| Outcome::NotSent)? {
            Rested::Quiet => {}
            Rested::Closed | Rested::Spoke if reused => continue,
            Rested::Spoke if spoilt + 1 < NEW_SPOILT_MOST => {
                spoilt += 1;
                continue;
            }
            Rested::Spoke | Rested::Closed => return Err(Outcome::ConnectFailed),
        }
        let accepts = match message {
            Message::Call(_) => hub.accepts(server, place),
            Message::Probe | Message::Check => hub.place(server) == Some(place),
        };
        let accepts = accepts && attempt.is_none_or(|attempt| hub.may_write(attempt));
        return if accepts { Ok(Got { link, reused }) } else { Err(Outcome::NotSent) };
    }
}

/// One request to a server, and how it ended. Who asks for an attempt may be given an answer that flows.
async fn exchange(
    servers: &Rc<Servers>,
    server: ServerId,
    end: Instant,
    message: &Message,
    of: Option<(AttemptId, WholeAt)>,
) -> Ended<Reply> {
    let (attempt, whole_at) = of.unzip();
    let whole_at = whole_at.unwrap_or_default();
    let (hub, pool) = (&servers.hub, &servers.pool);
    pool.begin();
    // What can be sent once is not risked on a connection that may have gone dead.
    let is_call = matches!(message, Message::Call(_));
    let mut may_reuse = !matches!(message, Message::Probe) && message.rest().is_none();
    loop {
        let Got { mut link, reused } =
            match connection(servers, server, end, message, attempt, may_reuse).await {
                Ok(got) => got,
                Err(outcome) => return Ended::Without(outcome),
            };
        may_reuse = false;
        let sent = Instant::now();
        if !link.exchange.begin() {
            continue;
        }
        let expected = pool.expect(server);
        let length = match message {
            Message::Call(call) => call.length(),
            Message::Probe | Message::Check => Some(0),
        };
        match (length, message.rest()) {
            (None, Some(rest)) => link.sock.begin_open(rest.uptake.clone()),
            (length, _) => link.sock.begin(length.unwrap_or(0)),
        }
        if let Some(attempt) = attempt {
            let (told, whole_at, comes) = (hub.clone(), whole_at.clone(), message.rest().is_some());
            link.sock.when_whole(move || {
                told.figures.with(|f| f.sends += 1);
                whole_at.set(Some(Instant::now()));
                if comes {
                    told.body_sent(attempt.request);
                }
            });
            if message.rest().is_some_and(Rest::is_there) {
                hub.body_taken(attempt.request);
            } else if message.rest().is_some() {
                // Its rest went with an attempt before; nothing of this one is sent.
                return Ended::Without(Outcome::NotSent);
            }
        }
        let request = message.request(end);
        let sock = link.sock.clone();
        // A check goes on with a new connection where a kept one is dead.
        let may_go_on = reused && !is_call;
        let end = if may_go_on { end.min(sent + pool.connect_within) } else { end };
        let ended = match message.rest() {
            None => timeout_at(end.into(), converse(&mut link, request)).await.ok(),
            Some(rest) => {
                let limit = || match whole_at.get() {
                    Some(at) => at + end.saturating_duration_since(sent),
                    None if rest.uptake.waits.get() => Instant::now() + UPTAKE_LOOK,
                    None => sock.moved().max(sent) + UPTAKE_STALLED,
                };
                by_progress(converse(&mut link, request), limit).await
            }
        };
        drop(expected);
        note_order(pool, server, &mut link, message);
        let (any, whole) = (sock.any(), sock.whole());
        if ended.is_none() && whole && !sock.heard_any() {
            pool.distrust(server, sent);
        }
        if may_go_on && !matches!(ended, Some(Ok(_))) {
            continue;
        }
        return Ended::Without(match ended {
            // A kept connection that was closed before the first byte was written: nothing was sent, so this
            // is still the same attempt.
            Some(Err(_)) if reused && !any && message.rest().is_none_or(Rest::is_there) => continue,
            Some(Ok(heard)) => {
                pool.heard(server, sent);
                let verdict = judge(pool, server, &mut link, message, &heard);
                match outcome_of(verdict, &heard) {
                    Ok(()) => {
                        pool.note_answer(server);
                        hub.connection_answered(server, link.exchange.opened());
                        return heard.ends(servers, server, link, attempt);
                    }
                    Err(outcome) => {
                        hub.answer_doubted(server, attempt, verdict);
                        outcome
                    }
                }
            }
            Some(Err(Broken::Link)) if whole => Outcome::Reset,
            Some(Err(Broken::Garbled)) if whole => Outcome::Error,
            // What its client broke off says nothing of the server.
            Some(Err(_)) if message.rest().is_some() && any => Outcome::NotSent,
            Some(Err(_)) => Outcome::ConnectFailed,
            // A kept connection that is dead must not pass for a slow server: that would eject it, and lower its limit,
            // for each connection that was kept. One that is slow with all it has is not overtaken.
            None if whole && reused && !sock.heard_any() && pool.overtaken(server, sent) => Outcome::Unheard,
            None if whole => Outcome::TimedOut,
            None => Outcome::NotSent,
        });
    }
}

/// Tells the connection in which order the request's last byte went out and its answer began to come.
fn note_order(pool: &Pool, server: ServerId, link: &mut Link, message: &Message) {
    if link.sock.heard_ahead() {
        let seen = link.exchange.received(Instant::now());
        // A body that goes on while it comes may be answered before its end by right.
        if let Some(seen) = seen.filter(|_| message.rest().is_none()) {
            pool.note(server, seen);
        }
    }
    if link.sock.whole() {
        link.exchange.written();
    }
}

/// What an answer proves of the request that was written before it.
fn judge(pool: &Pool, server: ServerId, link: &mut Link, message: &Message, heard: &Heard) -> Verdict {
    let id = match message {
        Message::Call(call) => Some(call.id.as_str()),
        Message::Probe | Message::Check => None,
    };
    let now = Instant::now();
    let answer = Answer {
        said: heard.says(),
        began: link.sock.heard_at().unwrap_or(now),
        names_another: heard.names_another(id),
    };
    link.exchange.answered(now, answer, pool.need(server))
}

/// The outcome of an attempt whose answer does not count, or not as what it says; `Ok` where it does.
fn outcome_of(verdict: Verdict, heard: &Heard) -> Result<(), Outcome> {
    match (verdict.why, verdict.proof) {
        (Why::Answered, _) => Ok(()),
        // A server begins with the last byte: what says that it is served before that is the answer to something else.
        (_, Proof::NeverRan) if heard.outcome() == Outcome::Done => Err(Outcome::NotSent),
        (_, Proof::NeverRan) => Ok(()),
        (_, Proof::Served | Proof::MayHaveRun) => Err(Outcome::Error),
    }
}

/// Waits for something for as long as its limit moves on; `None` once that is past.
async fn by_progress<T>(something: impl Future<Output = T>, limit: impl Fn() -> Instant) -> Option<T> {
    let mut something = pin!(something);
    loop {
        let until = limit();
        match timeout_at(until.into(), &mut something).await {
            Ok(done) => return Some(done),
            Err(_) if limit() <= Instant::now() => return None,
            Err(_) => {}
        }
    }
}
