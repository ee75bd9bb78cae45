//! Servers that speak HTTP/1.1: the connection pool, attempts and probes, and how each ended.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::io::ErrorKind;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use glenwood_core::{AttemptId, Ended};
use glenwood_policy::{Outcome, ServerId};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::{HeaderMap, Request, StatusCode, Uri, Version};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{timeout, timeout_at, Sleep};

use super::{Descriptors, Held, Idle};
use crate::blocks::{Blocks, Rest, Sending};
use crate::call::{Call, Content, Cut, Reply, BODY_MOST, LARGE_MOST, REMAINING};
use crate::errno::is_own_connect_failure;
use crate::headers::end_to_end;
use crate::hub::Hub;
use crate::list::Place;
use crate::sock::{Io, Sock};
use glenwood_settings::NodeSettings;

/// The largest head of an answer.
const HEAD_MOST: usize = 16 * 1024;
/// The part of the servers' keep-alive after which a connection is not used any more: one that is written to
/// when its server closes it ends as a reset, and fails what must not be repeated.
const IDLE_SHARE: f64 = 0.5;

/// From when on an attempt counts as long unheard: beyond what is usual for an answer. Too soon costs new connections.
const UNHEARD: Duration = Duration::from_millis(400);

/// How long a server may say nothing in the middle of an answer that flows. Nothing is cut off that still comes.
const STALLED: Duration = Duration::from_secs(5);

/// How long a server may take nothing of a body that goes on while it comes, and how often it is looked whether its client
/// or its server is waited for.
const UPTAKE_STALLED: Duration = Duration::from_secs(2);
const UPTAKE_LOOK: Duration = Duration::from_millis(500);

/// Turned away unseen.
const TURNED_AWAY: HeaderName = HeaderName::from_static("x-turned-away");

/// A connection between requests. It is not polled meanwhile: what happened to it is looked up before use.
struct Link {
    sock: Rc<Sock>,
    send: SendRequest<Sending>,
    conn: Connection<Io, Sending>,
    /// It has ended, and must not be polled any more.
    over: bool,
    /// Whom it leads to.
    place: Place,
    opened: Instant,
    /// When it was last used.
    since: Instant,
    held: Held,
}

/// An attempt that is noted as unheard; not any more once this is dropped.
struct Expected {
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

/// Connections to servers.
pub struct Pool {
    idle: RefCell<HashMap<ServerId, Vec<Link>>>,
    /// When each attempt was written to which no byte has come back.
    unheard: RefCell<HashMap<ServerId, Vec<(u64, Instant)>>>,
    /// When the latest of the attempts was sent that a server has answered.
    answered: RefCell<HashMap<ServerId, Instant>>,
    last: Cell<u64>,
    descriptors: Rc<Descriptors>,
    idle_most: Duration,
    connect: Duration,
}

impl Pool {
    /// An empty pool.
    pub fn new(settings: &NodeSettings, descriptors: Rc<Descriptors>) -> Self {
        let ms = |ms: f64| Duration::from_secs_f64(ms.clamp(1.0, 3_600_000.0) / 1000.0);
        Self {
            idle: RefCell::default(),
            unheard: RefCell::default(),
            answered: RefCell::default(),
            last: Cell::new(0),
            descriptors,
            idle_most: ms(settings.keepalive * IDLE_SHARE),
            connect: ms(settings.policy.limits.connect_timeout),
        }
    }

    /// Closes the idle connections to a server.
    pub fn forget(&self, server: ServerId) {
        self.answered.borrow_mut().remove(&server);
        self.idle.borrow_mut().remove(&server);
    }

    /// Closes what has been idle for long or was closed by its server; its descriptor is held for nothing.
    pub fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        for links in idle.values_mut() {
            links.retain(|l| l.since.elapsed() < self.idle_most && l.sock.quiet());
        }
        idle.retain(|_, links| !links.is_empty());
    }

    /// The connection that was used last, if any still stands. All that a server had open can go silent at once,
    /// while new ones work: while an attempt has long been unheard, those last used before it are left alone.
    fn take(&self, server: ServerId) -> Option<Link> {
        let doubt = self.long_unheard(server);
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&server)?;
        while let Some(link) = links.pop() {
            if doubt.is_some_and(|since| link.since < since) {
                links.push(link);
                return None;
            }
            if link.since.elapsed() < self.idle_most && link.sock.quiet() {
                return Some(link);
            }
        }
        None
    }

    /// The connection that has stood for longest, if any still stands: what comes on it tells most of its server's process.
    fn take_oldest(&self, server: ServerId) -> Option<Link> {
        let doubt = self.long_unheard(server);
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&server)?;
        links.retain(|link| link.since.elapsed() < self.idle_most && link.sock.quiet());
        let is_heard = |link: &Link| doubt.is_none_or(|since| link.since >= since);
        let oldest = (0..links.len())
            .filter(|place| is_heard(&links[*place]))
            .min_by_key(|place| links[*place].opened)?;
        Some(links.remove(oldest))
    }

    /// Since when an attempt at this server has been unheard, where that is long.
    fn long_unheard(&self, server: ServerId) -> Option<Instant> {
        let sent = self.unheard.borrow().get(&server)?.iter().map(|(_, sent)| *sent).min()?;
        (sent.elapsed() >= UNHEARD).then_some(sent)
    }

    /// Notes an attempt until something comes back, or it ends.
    fn expect(self: &Rc<Self>, server: ServerId) -> Expected {
        let number = self.last.get() + 1;
        self.last.set(number);
        self.unheard.borrow_mut().entry(server).or_default().push((number, Instant::now()));
        Expected { pool: self.clone(), server, number }
    }

    /// A server has answered what was sent then.
    fn heard(&self, server: ServerId, sent: Instant) {
        let mut answered = self.answered.borrow_mut();
        let last = answered.entry(server).or_insert(sent);
        *last = sent.max(*last);
    }

    /// Has a server answered what was sent to it later? Then it is not the server that is silent.
    fn overtaken(&self, server: ServerId, sent: Instant) -> bool {
        self.answered.borrow().get(&server).is_some_and(|last| *last > sent)
    }

    /// Closes the idle connections to a server that were last used before an attempt that nothing came back of.
    fn distrust(&self, server: ServerId, sent: Instant) {
        if let Some(links) = self.idle.borrow_mut().get_mut(&server) {
            links.retain(|link| link.since >= sent);
        }
    }

    /// Keeps a connection. One that a check has made is kept where the server has no other, and room is plenty.
    fn put(&self, server: ServerId, mut link: Link) {
        if link.held.is_for_check() {
            let has_other = self.idle.borrow().get(&server).is_some_and(|links| !links.is_empty());
            match self.descriptors.keep_checked().filter(|_| !has_other) {
                Some(held) => link.held = held,
                None => return,
            }
        }
        link.since = Instant::now();
        self.idle.borrow_mut().entry(server).or_default().push(link);
    }

    /// Closes the connection that has been idle for longest; false where none is.
    fn evict_longest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let Some(links) =
            idle.values_mut().filter(|l| !l.is_empty()).min_by_key(|links| links.first().map(|l| l.since))
        else {
            return false;
        };
        links.remove(0);
        true
    }

    /// A new connection, or how the attempt ends without one. A node that has no descriptor or port left has
    /// sent nothing, but that says nothing of the server: as a failed connect it would eject a good one.
    async fn connect(&self, place: Place, is_check: bool) -> Result<Link, Outcome> {
        let held =
            if is_check { self.descriptors.reserve_for_check().await } else { self.descriptors.reserve() };
        let held = held.ok_or(Outcome::NotSent)?;
        let stream = match timeout(self.connect, TcpStream::connect(place.dial.address)).await {
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
        let now = Instant::now();
        Ok(Link { sock, send, conn, over: false, place, opened: now, since: now, held })
    }
}

impl Idle for Pool {
    fn evict(&self) -> bool {
        self.evict_longest()
    }
}

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
        let pool = Rc::new(Pool::new(&hub.settings(), descriptors.clone()));
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
            let end = sent + 2 * servers.pool.connect;
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
    // What can be sent once is not risked on a connection that may have gone dead.
    let is_call = matches!(message, Message::Call(_));
    let fresh = matches!(message, Message::Probe) || message.rest().is_some();
    let mut pooled = match message {
        _ if fresh => None,
        Message::Check => pool.take_oldest(server),
        Message::Call(_) | Message::Probe => pool.take(server),
    };
    loop {
        // A drain holds from the moment it is told, also for what waited on a connection until now.
        let Some(place) = hub.place(server) else { return Ended::Without(Outcome::NotSent) };
        pooled = pooled.filter(|link| link.place == place);
        let reused = pooled.is_some();
        let link = match pooled.take() {
            Some(link) => Ok(link),
            None => {
                hub.connecting(server);
                timeout_at(end.into(), pool.connect(place, !is_call)).await.unwrap_or(Err(Outcome::NotSent))
            }
        };
        let mut link = match link {
            Ok(link) => link,
            Err(outcome) => return Ended::Without(outcome),
        };
        let accepts = match message {
            Message::Call(_) => hub.accepts(server, place),
            Message::Probe | Message::Check => hub.place(server) == Some(place),
        };
        if !accepts {
            return Ended::Without(Outcome::NotSent);
        }
        let sent = Instant::now();
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
        let end = if may_go_on { end.min(sent + pool.connect) } else { end };
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
        let (any, whole) = (sock.any(), sock.whole());
        if ended.is_none() && whole && !link.sock.heard_any() {
            pool.distrust(server, sent);
        }
        if may_go_on && !matches!(ended, Some(Ok(_))) {
            continue;
        }
        return Ended::Without(match ended {
            // A kept connection that was closed before the first byte was written: nothing was sent, so this
            // is still the same attempt.
            Some(Err(_)) if reused && !any && message.rest().is_none_or(Rest::is_there) => continue,
            // A server begins with the last byte: what says that it is served before that is the answer to something else.
            Some(Ok(heard)) if heard.judge() == Outcome::Done && !whole => Outcome::NotSent,
            Some(Ok(heard)) => {
                pool.heard(server, sent);
                hub.connection_answered(server, link.opened);
                return heard.ends(servers, server, link, attempt);
            }
            Some(Err(Broken::Link)) if whole => Outcome::Reset,
            Some(Err(Broken::Garbled)) if whole => Outcome::Error,
            // What its client broke off says nothing of the server.
            Some(Err(_)) if message.rest().is_some() && any => Outcome::NotSent,
            Some(Err(_)) => Outcome::ConnectFailed,
            // A kept connection that is dead must not pass for a slow server: that would eject it, and lower its limit,
            // for each connection that was kept. One that is slow with all it has is not overtaken.
            None if whole && reused && !link.sock.heard_any() && pool.overtaken(server, sent) => {
                Outcome::Unheard
            }
            None if whole => Outcome::TimedOut,
            None => Outcome::NotSent,
        });
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

/// How an answer says where it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// By its length.
    Length(u64),
    /// By its last chunk.
    Chunked,
    /// With its connection.
    Close,
}

impl Framing {
    /// Does it say by itself that the answer is too long to be read whole?
    fn is_long(self) -> bool {
        matches!(self, Self::Length(length) if length > BODY_MOST as u64)
    }
}

/// What a server answered, as far as it was read.
struct Heard {
    status: StatusCode,
    headers: HeaderMap,
    framing: Framing,
    /// What was read of the body ...
    read: Bytes,
    /// ... and the rest, where it is too long to be read whole.
    rest: Option<Incoming>,
    /// The connection may carry another request.
    keep: bool,
}

impl Heard {
    fn judge(&self) -> Outcome {
        let away = self.headers.get(TURNED_AWAY).is_some_and(|v| v == "1");
        match self.status {
            StatusCode::OK => Outcome::Done,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if away => Outcome::Full,
            // Bad clients send much that only a server can tell from good: no other server will like it better.
            StatusCode::BAD_REQUEST => Outcome::Rejected,
            _ => Outcome::Error,
        }
    }

    /// How the attempt ends with this. The connection is kept, or goes on with what is still to come.
    fn ends(
        self,
        servers: &Rc<Servers>,
        server: ServerId,
        link: Link,
        attempt: Option<AttemptId>,
    ) -> Ended<Reply> {
        let outcome = self.judge();
        let Some(rest) = self.rest else {
            if self.keep {
                put_back(servers, server, link, self.read.len(), self.framing);
            }
            return match outcome {
                Outcome::Done => {
                    Ended::Served(Reply { headers: self.headers, body: Content::Whole(self.read) })
                }
                outcome => Ended::Without(outcome),
            };
        };
        match (outcome, attempt) {
            (Outcome::Done, Some(attempt)) => {
                let flow = Flowing {
                    first: self.read,
                    rest,
                    framing: self.framing,
                    came: 0,
                    keep: self.keep,
                    link: Some(link),
                    server,
                    attempt,
                    servers: servers.clone(),
                    stalled: Box::pin(tokio::time::sleep(STALLED)),
                };
                Ended::Flows(Reply { headers: self.headers, body: Content::Flow(Box::pin(flow)) })
            }
            // Nobody asked a probe for so much.
            (Outcome::Done, None) => Ended::Without(Outcome::Error),
            (outcome, _) => Ended::Without(outcome),
        }
    }
}

/// Keeps a connection whose answer was read to its end: one that has more to read than that would answer the next request
/// with it.
fn put_back(servers: &Servers, server: ServerId, link: Link, length: usize, framing: Framing) {
    if link.sock.whole()
        && link.sock.heard_just(length, framing == Framing::Chunked)
        && link.sock.quiet()
        // Busy while its server moved or restarted, it escaped the pool's forgetting.
        && servers.hub.place(server) == Some(link.place)
    {
        servers.pool.put(server, link);
    }
}

/// The body of an answer too long to be read whole: the one who writes it on reads it. Its connection goes with it, and its
/// place at the server.
struct Flowing {
    first: Bytes,
    rest: Incoming,
    framing: Framing,
    /// How much was passed on so far.
    came: usize,
    keep: bool,
    /// The connection; `None` once the last byte has come.
    link: Option<Link>,
    server: ServerId,
    attempt: AttemptId,
    servers: Rc<Servers>,
    /// When a server that says nothing more is given up.
    stalled: Pin<Box<Sleep>>,
}

impl Flowing {
    /// Passes on what came; the connection goes back where that was the last of it.
    fn pass(&mut self, data: Bytes) -> Result<Frame<Bytes>, Cut> {
        self.came += data.len();
        if self.came > LARGE_MOST {
            return Err(Cut);
        }
        self.stalled.as_mut().reset((Instant::now() + STALLED).into());
        if self.framing == Framing::Length(self.came as u64) {
            self.end();
        }
        Ok(Frame::data(data))
    }

    fn end(&mut self) {
        let Some(link) = self.link.take() else { return };
        if self.keep {
            put_back(&self.servers, self.server, link, self.came, self.framing);
        }
        self.servers.hub.flowed(self.attempt);
    }
}

impl Drop for Flowing {
    fn drop(&mut self) {
        // What is left of its connection is of no use, and its server sees that nobody waits.
        if self.link.take().is_some() {
            self.servers.hub.flowed(self.attempt);
        }
    }
}

impl Body for Flowing {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        if !self.first.is_empty() {
            let first = std::mem::take(&mut self.first);
            return Poll::Ready(Some(self.pass(first)));
        }
        loop {
            let Some(link) = self.link.as_mut() else { return Poll::Ready(None) };
            // Once over, what it had to say has been handed on.
            if !link.over {
                link.over = Pin::new(&mut link.conn).poll(cx).is_ready();
            }
            match Pin::new(&mut self.rest).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) if !data.is_empty() => return Poll::Ready(Some(self.pass(data))),
                    // Trailers are the connection's.
                    _ => {}
                },
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Some(Err(Cut))),
                Poll::Ready(None) => {
                    self.end();
                    return Poll::Ready(None);
                }
                Poll::Pending if self.stalled.as_mut().poll(cx).is_ready() => {
                    return Poll::Ready(Some(Err(Cut)))
                }
                Poll::Pending => return Poll::Pending,
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.link.is_none() && self.first.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        match self.framing {
            Framing::Length(length) => SizeHint::with_exact(length - self.came as u64),
            Framing::Chunked | Framing::Close => SizeHint::default(),
        }
    }
}

enum Broken {
    /// The connection ended.
    Link,
    /// What came can't be read.
    Garbled,
}

impl From<hyper::Error> for Broken {
    fn from(error: hyper::Error) -> Self {
        // A bad chunk is told as bad input or data from the connection.
        let cause = std::error::Error::source(&error).and_then(|e| e.downcast_ref::<std::io::Error>());
        let bad = |kind| matches!(kind, ErrorKind::InvalidInput | ErrorKind::InvalidData);
        if error.is_parse() || error.is_parse_status() || cause.is_some_and(|e| bad(e.kind())) {
            Self::Garbled
        } else {
            Self::Link
        }
    }
}

/// Writes a request and reads the answer, whole or until it is too long for that. A second request on the connection is
/// never begun here, and nothing is sent again.
async fn converse(link: &mut Link, request: Request<Sending>) -> Result<Heard, Broken> {
    let Link { send, conn, over, .. } = link;
    let talk = async {
        send.ready().await?;
        let answer = send.send_request(request).await?;
        let closes = answer.version() == Version::HTTP_10 || says_close(answer.headers());
        let (parts, mut body) = answer.into_parts();
        let framing = framing_of(&parts.headers, closes).ok_or(Broken::Garbled)?;
        if matches!(framing, Framing::Length(length) if length > LARGE_MOST as u64) {
            return Err(Broken::Garbled);
        }
        let (mut read, mut whole) = (BytesMut::new(), false);
        // Of one that says itself that it is long, the head is enough: its first bytes are what is waited for.
        while !whole && !framing.is_long() && read.len() <= BODY_MOST {
            match body.frame().await.transpose()? {
                Some(frame) => read.extend_from_slice(&frame.into_data().unwrap_or_default()),
                None => whole = true,
            }
        }
        let rest = (!whole).then_some(body);
        let headers = end_to_end(&parts.headers);
        let (status, read, keep) = (parts.status, read.freeze(), !closes);
        Ok::<_, Broken>(Heard { status, headers, framing, read, rest, keep })
    };
    let mut heard = drive(conn, over, talk).await?;
    if heard.rest.is_none() {
        heard.keep &= !ended(conn, over).await;
    }
    Ok(heard)
}

fn says_close(headers: &HeaderMap) -> bool {
    headers.get(CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Does the answer say in one way where it ends? One with a length and a transfer coding is two answers in one, and one that
/// ends with its connection may be cut short: only one that says so is believed.
fn framing_of(headers: &HeaderMap, closes: bool) -> Option<Framing> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let length = (lengths.next(), lengths.next());
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let chunked = |v: &HeaderValue| v.as_bytes().eq_ignore_ascii_case(b"chunked");
    match (codings.next(), codings.next(), length) {
        (None, _, (Some(length), None)) => length.to_str().ok()?.trim().parse().ok().map(Framing::Length),
        (None, _, (None, _)) if closes => Some(Framing::Close),
        (Some(coding), None, (None, _)) if chunked(coding) => Some(Framing::Chunked),
        _ => None,
    }
}

/// Has the connection come to its end? hyper sees bytes behind the answer, and closes, only when polled.
async fn ended(conn: &mut Connection<Io, Sending>, over: &mut bool) -> bool {
    std::future::poll_fn(|cx| {
        *over = *over || Pin::new(&mut *conn).poll(cx).is_ready();
        Poll::Ready(*over)
    })
    .await
}

/// Polls the connection for as long as what goes on over it lasts.
async fn drive<T>(conn: &mut Connection<Io, Sending>, over: &mut bool, talk: impl Future<Output = T>) -> T {
    let mut talk = pin!(talk);
    if !*over {
        tokio::select! {
            biased;
            done = &mut talk => return done,
            _ = &mut *conn => *over = true,
        }
    }
    // The connection is over; what it had to say has been handed on.
    talk.await
}
