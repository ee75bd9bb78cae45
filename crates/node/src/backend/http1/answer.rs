//! Answers of HTTP/1.1 servers: framing, classification, and streaming of bodies too long to buffer.

use std::future::Future;
use std::io::ErrorKind;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use glenwood_core::{AttemptId, AttemptResult};
use glenwood_exchange::ResponseMeaning;
use glenwood_policy::{Outcome, ServerId};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::Connection;
use hyper::header::{HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Request, StatusCode, Version};

use super::forwarding::Buffering;
use super::pool::Link;
use super::Servers;
use crate::blocks::OutgoingBody;
use crate::call::{Content, Reply, Truncated, MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES};
use crate::headers::end_to_end;
use crate::pace::Pace;
use crate::sock::{Io, Pending, TrackedSocket};

/// Set to `1` by a server that turned the request away without processing it.
const TURNED_AWAY: HeaderName = HeaderName::from_static("x-turned-away");
/// The id of the request that an answer belongs to, if the server sends it.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-txn");

/// How the end of an answer is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its content length.
    Length(u64),
    /// By its last chunk.
    Chunked,
    /// By the end of the connection.
    Close,
}

impl Framing {
    /// Returns whether the declared length is too long to buffer.
    fn is_long(self) -> bool {
        matches!(self, Self::Length(length) if length > MAX_BUFFERED_BODY_BYTES as u64)
    }
}

/// A server's answer, as far as it was read.
pub struct ReceivedAnswer {
    status: StatusCode,
    headers: HeaderMap,
    framing: Framing,
    /// The part of the body that was read.
    read: Bytes,
    /// The rest of the body, if it is too long to buffer.
    rest: Option<Incoming>,
    /// How fast the body has come.
    pace: Pace,
    /// Whether the connection may carry another request.
    may_reuse: bool,
}

impl ReceivedAnswer {
    /// Classifies the answer by its status and headers.
    pub fn classify(&self) -> ResponseMeaning {
        let is_turned_away = self.headers.get(TURNED_AWAY).is_some_and(|v| v == "1");
        match self.status {
            StatusCode::OK => ResponseMeaning::Served,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_turned_away => {
                ResponseMeaning::RefusedUnprocessed
            }
            // Misbehaving clients send much that only a server can recognise as invalid; no other server
            // would accept it either.
            StatusCode::BAD_REQUEST => ResponseMeaning::Rejected,
            _ => ResponseMeaning::Failed,
        }
    }

    /// The outcome of the attempt that this answers.
    pub fn outcome(&self) -> Outcome {
        match self.classify() {
            ResponseMeaning::Served => Outcome::Done,
            ResponseMeaning::RefusedUnprocessed => Outcome::Full,
            ResponseMeaning::Rejected => Outcome::Rejected,
            ResponseMeaning::Failed => Outcome::Error,
        }
    }

    /// Returns whether the answer names a request id other than `id`.
    pub fn names_another_request(&self, id: Option<&str>) -> bool {
        let named = self.headers.get(REQUEST_ID);
        named.is_some_and(|named| id.is_none_or(|id| named.as_bytes() != id.as_bytes()))
    }

    /// Returns whether the body is too long to buffer and was not read to its end.
    pub fn is_incomplete(&self) -> bool {
        self.rest.is_some()
    }

    /// Returns whether no other answer can follow on the connection.
    pub fn ends_connection(&self) -> bool {
        !self.may_reuse
    }

    /// Returns whether nothing was received behind the answer, which was read to its end.
    pub fn is_exact(&self, sock: &TrackedSocket) -> bool {
        sock.received_exactly(self.read.len(), self.framing == Framing::Chunked)
    }

    /// Converts the answer into the attempt's result. The connection goes back to the pool, or stays with the
    /// body that is still to be streamed.
    pub fn into_ended(
        self,
        servers: &Rc<Servers>,
        server: ServerId,
        link: Link,
        attempt: Option<AttemptId>,
    ) -> AttemptResult<Reply> {
        let outcome = self.outcome();
        let Some(rest) = self.rest else {
            return_to_pool(
                servers,
                server,
                link,
                CompleteAnswer { body_bytes: self.read.len(), framing: self.framing },
                self.may_reuse,
            );
            return match outcome {
                Outcome::Done => {
                    AttemptResult::Served(Reply { headers: self.headers, body: Content::Buffered(self.read) })
                }
                outcome => AttemptResult::NoResponse(outcome),
            };
        };
        match (outcome, attempt) {
            (Outcome::Done, Some(attempt)) => {
                if !self.framing.is_long() && self.read.len() <= MAX_BUFFERED_BODY_BYTES {
                    servers.hub.figures.with(|figures| figures.answers_in_parts += 1);
                }
                let streamed = StreamedBody {
                    buffered: self.read,
                    rest,
                    framing: self.framing,
                    passed_bytes: 0,
                    may_reuse: self.may_reuse,
                    link: Some(link),
                    server,
                    attempt,
                    servers: servers.clone(),
                };
                AttemptResult::Streaming(Reply {
                    headers: self.headers,
                    body: Content::Streamed(Box::pin(streamed), self.pace),
                })
            }
            // A probe expects no long body.
            (Outcome::Done, None) => AttemptResult::NoResponse(Outcome::Error),
            (outcome, _) => AttemptResult::NoResponse(outcome),
        }
    }
}

/// The extent of an answer that was read to its end.
#[derive(Clone, Copy)]
struct CompleteAnswer {
    /// The length of its body.
    body_bytes: usize,
    framing: Framing,
}

/// Returns a connection whose answer was read to its end to the pool, if it may carry another request. One
/// with bytes left to read is dropped: they would be taken for the answer to the next request.
fn return_to_pool(
    servers: &Rc<Servers>,
    server: ServerId,
    mut link: Link,
    answer: CompleteAnswer,
    may_reuse: bool,
) {
    if answer.framing == Framing::Close || !link.sock.is_written() {
        return;
    }
    let is_exact = link.sock.received_exactly(answer.body_bytes, answer.framing == Framing::Chunked);
    let pending = link.sock.pending();
    if !is_exact || pending == Pending::Bytes {
        let seen = link.exchange.received_behind_answer(Instant::now());
        servers.pool.record_unsolicited(server, seen);
        return;
    }
    // If the server moved or restarted while the connection was in use, `Pool::discard_connections` did not
    // see it.
    let is_same_place = servers.hub.server_address(server) == Some(link.server_address);
    if may_reuse && pending == Pending::Nothing && is_same_place {
        link.exchange.finished(Instant::now());
        servers.pool.put(server, link);
    }
}

/// An answer body too long to buffer, read as it is written to the client. It keeps the connection and the
/// attempt's slot at the server until it ends or is dropped; whoever reads it bounds how long its server may
/// pause.
struct StreamedBody {
    buffered: Bytes,
    rest: Incoming,
    framing: Framing,
    /// How many bytes were passed on so far.
    passed_bytes: usize,
    may_reuse: bool,
    /// The connection; `None` once the last byte was received.
    link: Option<Link>,
    server: ServerId,
    attempt: AttemptId,
    servers: Rc<Servers>,
}

impl StreamedBody {
    /// Passes data on; returns the connection to the pool if it was the last.
    fn pass_on(&mut self, data: Bytes) -> Result<Frame<Bytes>, Truncated> {
        self.passed_bytes += data.len();
        if self.passed_bytes > MAX_BODY_BYTES {
            return Err(Truncated::TooLong);
        }
        if self.framing == Framing::Length(self.passed_bytes as u64) {
            self.end();
        }
        Ok(Frame::data(data))
    }

    fn end(&mut self) {
        let Some(link) = self.link.take() else { return };
        let complete = CompleteAnswer { body_bytes: self.passed_bytes, framing: self.framing };
        return_to_pool(&self.servers, self.server, link, complete, self.may_reuse);
        self.servers.hub.answer_finished(self.attempt);
    }
}

impl Drop for StreamedBody {
    fn drop(&mut self) {
        // An unfinished connection can't be reused; closing it tells the server that nobody waits.
        if self.link.take().is_some() {
            self.servers.hub.answer_finished(self.attempt);
        }
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        if !self.buffered.is_empty() {
            let first = std::mem::take(&mut self.buffered);
            return Poll::Ready(Some(self.pass_on(first)));
        }
        loop {
            let Some(link) = self.link.as_mut() else { return Poll::Ready(None) };
            // Once the connection is over, everything it received has been delivered.
            if !link.is_over {
                link.is_over = Pin::new(&mut link.conn).poll(cx).is_ready();
            }
            match Pin::new(&mut self.rest).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) if !data.is_empty() => return Poll::Ready(Some(self.pass_on(data))),
                    // Trailers are not forwarded.
                    _ => {}
                },
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Some(Err(Truncated::Disconnected))),
                Poll::Ready(None) => {
                    self.end();
                    return Poll::Ready(None);
                }
                Poll::Pending => return Poll::Pending,
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.link.is_none() && self.buffered.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        match self.framing {
            Framing::Length(length) => SizeHint::with_exact(length - self.passed_bytes as u64),
            Framing::Chunked | Framing::Close => SizeHint::default(),
        }
    }
}

/// Why no answer was received.
pub enum ExchangeError {
    /// The connection ended.
    Closed,
    /// The received bytes could not be parsed.
    Garbled,
}

impl From<hyper::Error> for ExchangeError {
    fn from(error: hyper::Error) -> Self {
        // hyper reports a bad chunk as `InvalidInput` or `InvalidData`.
        let cause = std::error::Error::source(&error).and_then(|e| e.downcast_ref::<std::io::Error>());
        let bad = |kind| matches!(kind, ErrorKind::InvalidInput | ErrorKind::InvalidData);
        if error.is_parse() || error.is_parse_status() || cause.is_some_and(|e| bad(e.kind())) {
            Self::Garbled
        } else {
            Self::Closed
        }
    }
}

/// Writes a request and reads the answer, up to its end or until it is to be forwarded in part: because it is
/// too long to buffer, or by `buffering`, if the client accepts an answer in parts. Never sends the request
/// again or starts a second one on the connection.
pub async fn send_and_receive(
    link: &mut Link,
    request: Request<OutgoingBody>,
    buffering: Option<Buffering<'_>>,
) -> Result<ReceivedAnswer, ExchangeError> {
    let Link { send, conn, is_over, .. } = link;
    let transfer = async {
        send.ready().await?;
        let answer = send.send_request(request).await?;
        let closes = answer.version() == Version::HTTP_10 || announces_close(answer.headers());
        let (parts, mut body) = answer.into_parts();
        let framing = framing_of(&parts.headers, closes).ok_or(ExchangeError::Garbled)?;
        if matches!(framing, Framing::Length(length) if length > MAX_BODY_BYTES as u64) {
            return Err(ExchangeError::Garbled);
        }
        let mut pace = Pace::new(framing.is_long());
        pace.wait(Instant::now());
        let (read, is_complete) = buffer_body(&mut body, framing, buffering, &mut pace).await?;
        let rest = (!is_complete).then_some(body);
        let headers = end_to_end(&parts.headers);
        let (status, may_reuse) = (parts.status, !closes);
        Ok::<_, ExchangeError>(ReceivedAnswer { status, headers, framing, read, rest, pace, may_reuse })
    };
    let mut received = drive(conn, is_over, transfer).await?;
    if received.rest.is_none() {
        received.may_reuse &= !has_ended(conn, is_over).await;
    }
    Ok(received)
}

/// Reads a body as far as it is to be buffered; returns what was read and whether that is all of it.
async fn buffer_body(
    body: &mut Incoming,
    framing: Framing,
    buffering: Option<Buffering<'_>>,
    pace: &mut Pace,
) -> Result<(Bytes, bool), hyper::Error> {
    // A declared length shows in advance whether the body is long.
    let mut buffering = buffering.filter(|_| !matches!(framing, Framing::Length(_)));
    let mut read = BytesMut::new();
    // For an answer with a long declared length the head is enough; its first body bytes are not waited for.
    while !framing.is_long() && read.len() <= MAX_BUFFERED_BODY_BYTES {
        let next = match &buffering {
            None => body.frame().await,
            Some(buffering) => match buffering.next(body.frame()).await {
                Some(next) => next,
                None => break,
            },
        };
        let Some(frame) = next.transpose()? else { return Ok((read.freeze(), true)) };
        let data = frame.into_data().unwrap_or_default();
        let now = Instant::now();
        buffering.iter_mut().for_each(|buffering| buffering.record(now, data.len()));
        record_arrival(pace, now, data.len());
        read.extend_from_slice(&data);
    }
    // An answer that has broken off by now is not forwarded, so that its request can still be sent again.
    let is_complete = read_available(body, &mut read, pace).await?;
    Ok((read.freeze(), is_complete))
}

/// Reads what has arrived of a body, without waiting for more and no further than a body is buffered; returns
/// whether that is all of it.
async fn read_available(
    body: &mut Incoming,
    read: &mut BytesMut,
    pace: &mut Pace,
) -> Result<bool, hyper::Error> {
    while read.len() <= MAX_BUFFERED_BODY_BYTES {
        let next = tokio::select! {
            biased;
            next = body.frame() => next,
            () = pending_events() => return Ok(false),
        };
        let Some(frame) = next.transpose()? else { return Ok(true) };
        let data = frame.into_data().unwrap_or_default();
        record_arrival(pace, Instant::now(), data.len());
        read.extend_from_slice(&data);
    }
    Ok(false)
}

/// Records a part of a body that is buffered; the next is waited for at once.
fn record_arrival(pace: &mut Pace, now: Instant, bytes: usize) {
    pace.receive(now, bytes, None);
    pace.wait(now);
}

/// Waits until the runtime has looked for events, and the connection, which is polled after its reader, has
/// handled them.
async fn pending_events() {
    tokio::task::yield_now().await;
    tokio::task::yield_now().await;
}

fn announces_close(headers: &HeaderMap) -> bool {
    headers.get(CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// The framing of an answer; `None` if it is ambiguous. An answer with both a length and a transfer coding
/// has two possible ends. One without either may be truncated, and is accepted only if it announces the
/// close.
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

/// Returns whether the connection has ended. hyper notices bytes after the answer, and a close, only when
/// polled.
async fn has_ended(conn: &mut Connection<Io, OutgoingBody>, is_over: &mut bool) -> bool {
    std::future::poll_fn(|cx| {
        *is_over = *is_over || Pin::new(&mut *conn).poll(cx).is_ready();
        Poll::Ready(*is_over)
    })
    .await
}

/// Polls the connection while `transfer` runs on it.
async fn drive<T>(
    conn: &mut Connection<Io, OutgoingBody>,
    is_over: &mut bool,
    transfer: impl Future<Output = T>,
) -> T {
    let mut transfer = pin!(transfer);
    if !*is_over {
        tokio::select! {
            biased;
            done = &mut transfer => return done,
            _ = &mut *conn => *is_over = true,
        }
    }
    // The connection is over; everything it received has been delivered.
    transfer.await
}
