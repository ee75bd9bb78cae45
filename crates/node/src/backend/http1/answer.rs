//! What a server answers: its framing, what it says, and the body of one that is too long to be read whole.

use std::future::Future;
use std::io::ErrorKind;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use glenwood_core::{AttemptId, Ended};
use glenwood_exchange::Said;
use glenwood_policy::{Outcome, ServerId};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::Connection;
use hyper::header::{HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Request, StatusCode, Version};
use tokio::time::Sleep;

use super::pool::Link;
use super::Servers;
use crate::blocks::Sending;
use crate::call::{Content, Cut, Reply, BODY_MOST, LARGE_MOST};
use crate::headers::end_to_end;
use crate::sock::{Io, Pending};

/// How long a server may say nothing in the middle of an answer that flows. Nothing is cut off that still comes.
const STALLED: Duration = Duration::from_secs(5);
/// Turned away unseen.
const TURNED_AWAY: HeaderName = HeaderName::from_static("x-turned-away");
/// Which request an answer is to, where it says so.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-txn");

/// How an answer says where it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
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
pub struct Heard {
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
    /// What it says of the request.
    pub fn says(&self) -> Said {
        let away = self.headers.get(TURNED_AWAY).is_some_and(|v| v == "1");
        match self.status {
            StatusCode::OK => Said::Served,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if away => Said::TurnedAway,
            // Bad clients send much that only a server can tell from good: no other server will like it better.
            StatusCode::BAD_REQUEST => Said::Rejected,
            _ => Said::Failed,
        }
    }

    /// The outcome of the attempt that it answers.
    pub fn outcome(&self) -> Outcome {
        match self.says() {
            Said::Served => Outcome::Done,
            Said::TurnedAway => Outcome::Full,
            Said::Rejected => Outcome::Rejected,
            Said::Failed => Outcome::Error,
        }
    }

    /// Does it say itself that it answers another request than this one?
    pub fn names_another(&self, id: Option<&str>) -> bool {
        let named = self.headers.get(REQUEST_ID);
        named.is_some_and(|named| id.is_none_or(|id| named.as_bytes() != id.as_bytes()))
    }

    /// How the attempt ends with this. The connection is kept, or goes on with what is still to come.
    pub fn ends(
        self,
        servers: &Rc<Servers>,
        server: ServerId,
        link: Link,
        attempt: Option<AttemptId>,
    ) -> Ended<Reply> {
        let outcome = self.outcome();
        let Some(rest) = self.rest else {
            give_back(
                servers,
                server,
                link,
                Came { body: self.read.len(), framing: self.framing },
                self.keep,
            );
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

/// An answer that came whole.
#[derive(Clone, Copy)]
struct Came {
    /// How long its body was.
    body: usize,
    framing: Framing,
}

/// Keeps a connection whose answer was read to its end, where it may carry another request: one that has more to read than
/// that would answer the next request with it.
fn give_back(servers: &Rc<Servers>, server: ServerId, mut link: Link, came: Came, keep: bool) {
    if came.framing == Framing::Close || !link.sock.whole() {
        return;
    }
    let just = link.sock.heard_just(came.body, came.framing == Framing::Chunked);
    let pending = link.sock.pending();
    if !just || pending == Pending::Bytes {
        let seen = link.exchange.received_behind_answer(Instant::now());
        servers.pool.note(server, seen);
        return;
    }
    // Busy while its server moved or restarted, it escaped the pool's forgetting.
    let is_same_place = servers.hub.place(server) == Some(link.place);
    if keep && pending == Pending::Nothing && is_same_place {
        link.exchange.finished(Instant::now());
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
        let came = Came { body: self.came, framing: self.framing };
        give_back(&self.servers, self.server, link, came, self.keep);
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

/// Why there is no answer.
pub enum Broken {
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
pub async fn converse(link: &mut Link, request: Request<Sending>) -> Result<Heard, Broken> {
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
