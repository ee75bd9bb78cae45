//! Servers that speak HTTP/1.1: the connection pool, attempts and probes, and how each ended.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::io::ErrorKind;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use bytes::Bytes;
use glenwood_core::{AttemptId, Ended};
use glenwood_policy::{Outcome, ServerId};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{HeaderName, HeaderValue, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::{HeaderMap, Request, StatusCode, Uri};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{timeout, timeout_at};

use super::{Descriptors, Held, Idle, OWN_ERRORS};
use crate::call::{Call, Reply, BODY_MOST, REMAINING};
use crate::config::Config;
use crate::headers::end_to_end;
use crate::hub::Hub;
use crate::list::Place;
use crate::sock::{Io, Sock};

/// The largest head of an answer.
const HEAD_MOST: usize = 32 * 1024;
/// The part of the servers' keep-alive after which a connection is not used any more: one that is written to
/// when its server closes it ends as a reset, and fails what must not be repeated.
const IDLE_SHARE: f64 = 0.5;

/// From when on an attempt counts as long unheard: beyond what is usual for an answer. Too soon costs new connections.
const UNHEARD: Duration = Duration::from_millis(400);

/// Turned away unseen.
const TURNED_AWAY: HeaderName = HeaderName::from_static("x-turned-away");

/// A connection between requests. It is not polled meanwhile: what happened to it is looked up before use.
struct Link {
    sock: Rc<Sock>,
    send: SendRequest<Full<Bytes>>,
    conn: Connection<Io, Full<Bytes>>,
    /// Whom it leads to.
    place: Place,
    since: Instant,
    _held: Held,
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
    pub fn new(config: &Config, descriptors: Rc<Descriptors>) -> Self {
        let ms = |ms: f64| Duration::from_secs_f64(ms.clamp(1.0, 3_600_000.0) / 1000.0);
        Self {
            idle: RefCell::default(),
            unheard: RefCell::default(),
            answered: RefCell::default(),
            last: Cell::new(0),
            descriptors,
            idle_most: ms(config.told.keepalive * IDLE_SHARE),
            connect: ms(config.told.settings.limits.connect_timeout),
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

    fn put(&self, server: ServerId, mut link: Link) {
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
    async fn connect(&self, place: Place) -> Result<Link, Outcome> {
        let held = self.descriptors.reserve().ok_or(Outcome::NotSent)?;
        let stream = match timeout(self.connect, TcpStream::connect(place.dial.address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if OWN_ERRORS.contains(&error.raw_os_error().unwrap_or(0)) => {
                self.descriptors.evict();
                return Err(Outcome::NotSent);
            }
            Ok(Err(_)) | Err(_) => return Err(Outcome::ConnectFailed),
        };
        let failed = Outcome::ConnectFailed;
        let sock = Sock::new(stream).map_err(|_| failed)?;
        let builder = http1::Builder::new().max_buf_size(HEAD_MOST).handshake(Io(sock.clone())).await;
        let (send, conn) = builder.map_err(|_| failed)?;
        Ok(Link { sock, send, conn, place, since: Instant::now(), _held: held })
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
}

impl Message {
    fn body(&self) -> Bytes {
        match self {
            Self::Call(call) => call.body.clone(),
            Self::Probe => Bytes::new(),
        }
    }

    fn request(&self, end: Instant) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body()));
        match self {
            Self::Call(call) => {
                *request.method_mut() = call.method.clone();
                *request.uri_mut() = call.target.clone();
                *request.headers_mut() = call.headers();
            }
            Self::Probe => {
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
    out: RefCell<HashMap<AttemptId, AbortHandle>>,
}

impl Servers {
    /// No connections yet.
    pub fn new(hub: Rc<Hub>, descriptors: Rc<Descriptors>) -> Rc<Self> {
        let pool = Rc::new(Pool::new(&hub.config, descriptors.clone()));
        let idle: Rc<dyn Idle> = pool.clone();
        descriptors.may_evict(Rc::downgrade(&idle));
        Rc::new(Self { hub, pool, out: RefCell::default() })
    }

    /// Starts an attempt.
    pub fn start(self: &Rc<Self>, attempt: AttemptId, server: ServerId, end: Instant, call: Rc<Call>) {
        let servers = self.clone();
        let task = tokio::task::spawn_local(async move {
            let message = Message::Call(call);
            let (outcome, reply) = exchange(&servers, server, end, &message).await;
            servers.out.borrow_mut().remove(&attempt);
            let ended = reply.map_or(Ended::Without(outcome), Ended::Served);
            servers.hub.attempt_ended(attempt, ended);
        });
        self.out.borrow_mut().insert(attempt, task.abort_handle());
    }

    /// Gives an attempt up, where it is one of these: ending the task closes its connection.
    pub fn abandon(&self, attempt: AttemptId) -> bool {
        let Some(task) = self.out.borrow_mut().remove(&attempt) else { return false };
        task.abort();
        self.hub.attempt_ended(attempt, Ended::Without(Outcome::Cancelled));
        true
    }

    /// Probes a server.
    pub fn probe(self: &Rc<Self>, server: ServerId) {
        let servers = self.clone();
        tokio::task::spawn_local(async move {
            let sent = Instant::now();
            // As long as a connection may take, and as long again for the answer.
            let end = sent + 2 * servers.pool.connect;
            let (outcome, _) = exchange(&servers, server, end, &Message::Probe).await;
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

/// One request to a server, and how it ended.
async fn exchange(
    servers: &Servers,
    server: ServerId,
    end: Instant,
    message: &Message,
) -> (Outcome, Option<Reply>) {
    let (hub, pool) = (&servers.hub, &servers.pool);
    let mut pooled = if matches!(message, Message::Probe) { None } else { pool.take(server) };
    loop {
        // A drain holds from the moment it is told, also for what waited on a connection until now.
        let Some(place) = hub.place(server) else { return (Outcome::NotSent, None) };
        pooled = pooled.filter(|link| link.place == place);
        let reused = pooled.is_some();
        let link = match pooled.take() {
            Some(link) => Ok(link),
            None => {
                hub.connecting(server);
                timeout_at(end.into(), pool.connect(place)).await.unwrap_or(Err(Outcome::NotSent))
            }
        };
        let mut link = match link {
            Ok(link) => link,
            Err(outcome) => return (outcome, None),
        };
        if hub.place(server) != Some(place) {
            return (Outcome::NotSent, None);
        }
        let sent = Instant::now();
        let expected = pool.expect(server);
        link.sock.begin(message.body().len());
        if matches!(message, Message::Call(_)) {
            let figures = hub.figures.clone();
            link.sock.when_whole(move || figures.with(|f| f.sends += 1));
        }
        let request = message.request(end);
        let ended = timeout_at(end.into(), converse(&mut link, request)).await;
        drop(expected);
        let (any, whole) = (link.sock.any(), link.sock.whole());
        if ended.is_err() && whole && !link.sock.heard_any() {
            pool.distrust(server, sent);
        }
        match ended {
            // A kept connection that was closed before the first byte was written: nothing was sent, so this
            // is still the same attempt.
            Ok(Err(_)) if reused && !any => continue,
            Ok(Ok(heard)) => {
                pool.heard(server, sent);
                // One that has more to read than the answer would answer the next request with it.
                if heard.keep
                    && whole
                    && link.sock.heard_just(heard.reply.body.len(), heard.chunked)
                    && link.sock.quiet()
                    // Busy while its server moved or restarted, it escaped the pool's forgetting.
                    && hub.place(server) == Some(place)
                {
                    pool.put(server, link);
                }
                return heard.judge();
            }
            Ok(Err(Broken::Link)) if whole => return (Outcome::Reset, None),
            Ok(Err(Broken::Garbled)) if whole => return (Outcome::Error, None),
            Ok(Err(_)) => return (Outcome::ConnectFailed, None),
            // A kept connection that is dead must not pass for a slow server: that would eject it, and lower its limit,
            // for each connection that was kept. One that is slow with all it has is not overtaken.
            Err(_) if whole && reused && !link.sock.heard_any() && pool.overtaken(server, sent) => {
                return (Outcome::Unheard, None)
            }
            Err(_) if whole => return (Outcome::TimedOut, None),
            Err(_) => return (Outcome::NotSent, None),
        }
    }
}

/// What a server answered.
struct Heard {
    status: StatusCode,
    reply: Reply,
    keep: bool,
    chunked: bool,
}

impl Heard {
    fn judge(self) -> (Outcome, Option<Reply>) {
        let away = self.reply.headers.get(TURNED_AWAY).is_some_and(|v| v == "1");
        match self.status {
            StatusCode::OK => (Outcome::Done, Some(self.reply)),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if away => (Outcome::Full, None),
            // Bad clients send much that only a server can tell from good: no other server will like it better.
            StatusCode::BAD_REQUEST => (Outcome::Rejected, None),
            _ => (Outcome::Error, None),
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

/// Writes a request and reads the answer whole. A second request on the connection is never begun here, and
/// nothing is sent again.
async fn converse(link: &mut Link, request: Request<Full<Bytes>>) -> Result<Heard, Broken> {
    let Link { send, conn, .. } = link;
    let talk = async {
        send.ready().await?;
        let answer = send.send_request(request).await?;
        let (parts, body) = answer.into_parts();
        if !framed_once(&parts.headers) {
            return Err(Broken::Garbled);
        }
        let body = Limited::new(body, BODY_MOST).collect().await;
        let body = body.map_err(|e| match e.downcast::<hyper::Error>() {
            Ok(error) => Broken::from(*error),
            Err(_) => Broken::Garbled,
        })?;
        Ok::<_, Broken>((parts, body.to_bytes()))
    };
    let (parts, body) = drive(conn, talk).await?;
    let closes = parts.headers.get("connection").is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
    let headers: HeaderMap = end_to_end(&parts.headers);
    let chunked = parts.headers.contains_key(TRANSFER_ENCODING);
    let keep = !closes && !over(conn).await;
    Ok(Heard { status: parts.status, reply: Reply { headers, body }, keep, chunked })
}

/// Does the answer say in one way where it ends? One that ends with its connection may be cut short, and one with a
/// length and a transfer coding is two answers in one.
fn framed_once(headers: &HeaderMap) -> bool {
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    let chunked = |v: &HeaderValue| v.as_bytes().eq_ignore_ascii_case(b"chunked");
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => lengths == 1,
        (Some(coding), None) => lengths == 0 && chunked(coding),
        _ => false,
    }
}

/// Has the connection come to its end? hyper sees bytes behind the answer, and closes, only when polled.
async fn over(conn: &mut Connection<Io, Full<Bytes>>) -> bool {
    let mut conn = pin!(conn);
    std::future::poll_fn(|cx| Poll::Ready(conn.as_mut().poll(cx).is_ready())).await
}

/// Polls the connection for as long as what goes on over it lasts.
async fn drive<T>(conn: &mut Connection<Io, Full<Bytes>>, talk: impl Future<Output = T>) -> T {
    let mut talk = pin!(talk);
    tokio::select! {
        biased;
        done = &mut talk => return done,
        _ = conn => {}
    }
    // The connection is over; what it had to say has been handed on.
    talk.await
}
