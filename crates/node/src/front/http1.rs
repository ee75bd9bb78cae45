//! HTTP/1.1 clients: reads requests and writes the single final answer of each.

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use glenwood_core::{Final, Incoming as CoreRequest, Rejection, Token, MAX_CLIENT_WAIT};
use glenwood_operation::budget::Share;
use glenwood_operation::figures::End;
use glenwood_operation::places::Slot;
use glenwood_policy::{Effect, Millis};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{
    HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, HOST, RETRY_AFTER, TRANSFER_ENCODING,
};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri, Version};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::answer_body::{AnswerBody, ClientTime, Forwarded};
use super::table::{Client, Clients, Ending};
use crate::blocks::{Blocks, BlocksBuilder, RemainingBody};
use crate::call::{Call, Origin, Reply, KEY, MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, ORG, REMAINING, TXN};
use crate::headers::end_to_end;
use crate::hub::{self, metrics_outcome, Hub, UnansweredClose};
use crate::sock::{Io, Pending, Phase, TrackedSocket};

/// How long a connection is still read after its last answer. Closing it with unread bytes would send a
/// reset, which can overtake the answer.
pub const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// The largest accepted head of a request.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Serves clients over HTTP/1.1.
pub struct Front {
    hub: Rc<Hub>,
    clients: Rc<Clients>,
}

impl Front {
    /// Creates a front that hands requests to `hub`.
    pub fn new(hub: Rc<Hub>, clients: Rc<Clients>) -> Rc<Self> {
        Rc::new(Self { hub, clients })
    }

    /// Serves one connection until it ends.
    pub async fn serve_client(self: &Rc<Self>, client: Rc<Client>) {
        let service = service_fn(|request| {
            let (front, sock) = (self.clone(), client.sock.clone());
            async move { Ok::<_, Infallible>(respond(front, sock, request).await) }
        });
        let conn = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .auto_date_header(false)
            .serve_connection(Io(client.sock.clone()), service);
        let ended = self.drive(conn, &client).await;
        self.report_if_unanswered(&client, &ended);
        if matches!(ended, Driven::Finished(_)) && !client.sock.must_reset() {
            let _ = timeout(LINGER_TIMEOUT, self.linger(&client)).await;
        }
    }

    /// Logs and counts a connection that this node ends while a request on it has no whole answer. A client
    /// that has left is owed none.
    fn report_if_unanswered(&self, client: &Client, ended: &Driven) {
        let (phase, since) = client.sock.phase();
        let is_owed = matches!(phase, Phase::Busy | Phase::Answering);
        if !is_owed || client.ending() == Ending::Left || client.sock.pending() == Pending::End {
            return;
        }
        let cause = match ended {
            Driven::Finished(Err(error)) => error_with_source(error),
            Driven::Finished(Ok(())) => "the connection is over".to_string(),
            Driven::Dropped => format!("{:?}", client.ending()),
        };
        let is_begun = phase == Phase::Answering && client.sock.any_written();
        self.hub.report_unanswered_close(&UnansweredClose { is_begun, elapsed: since.elapsed(), cause });
    }

    /// Reads on until the client closes, or until the connection is to be closed to make room for another and
    /// nothing more of its last request can arrive.
    async fn linger(&self, client: &Client) {
        let mut lingering = pin!(client.sock.linger());
        loop {
            tokio::select! {
                biased;
                () = &mut lingering => return,
                () = client.close.notified(), if !client.sock.is_answered_unread() => {
                    if self.clients.confirm_close(client) {
                        return;
                    }
                }
            }
        }
    }

    /// Returns whether a connection is better closed after the answer that is about to be written.
    fn need_not_keep(&self, sock: &TrackedSocket, is_ready_check: bool) -> bool {
        let is_first = sock.answer_count() == 0;
        // While the node stops, connections that only poll /ready must not displace those that can be served.
        let is_check_while_stopping = is_ready_check && self.hub.stopping.get().is_some();
        self.hub.closing.get()
            || self.hub.handed_over.get()
            || is_check_while_stopping
            || (is_first && self.clients.has_many_idle())
    }

    /// Runs a connection until hyper is done with it or it is to be dropped at once. A client that has closed
    /// its connection no longer waits for its answer; hyper reads at most one request ahead and may miss the
    /// close, so the socket is watched here too.
    async fn drive(&self, conn: impl Future<Output = hyper::Result<()>>, client: &Client) -> Driven {
        let (mut conn, mut arrivals) = (pin!(conn), pin!(client.sock.watch_arrivals()));
        loop {
            tokio::select! {
                // Poll hyper first: a request that arrives while the connection is being closed is still
                // served.
                biased;
                result = &mut conn => return Driven::Finished(result),
                never = &mut arrivals => match never {},
                () = client.sock.closed_while_answer_pending() => {
                    client.set_ending(Ending::Left);
                    return Driven::Dropped;
                }
                () = client.close.notified() => if self.clients.confirm_close(client) {
                    return Driven::Dropped;
                }
            }
        }
    }
}

/// How a client's connection was driven to its end.
enum Driven {
    /// hyper is done with it.
    Finished(hyper::Result<()>),
    /// It is to be dropped at once.
    Dropped,
}

/// The text of an error and of what caused it.
fn error_with_source(error: &hyper::Error) -> String {
    std::error::Error::source(error).map_or_else(|| error.to_string(), |source| format!("{error}: {source}"))
}

/// Answers one request.
async fn respond(
    front: Rc<Front>,
    sock: Rc<TrackedSocket>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let (hub, clients) = (&front.hub, &front.clients);
    let (is_head, version) = (*request.method() == Method::HEAD, request.version());
    let mut is_fully_read = true;
    let is_ready_check = request.uri().path() == "/ready";
    let mut answer = if is_ready_check {
        let status = if hub.ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        plain(status)
    } else {
        let class = class_of(hub, request.uri());
        let read = read(hub, &sock, class.clone(), request).await;
        // Dropped with this future if the client disconnects before it has its answer.
        let mut ticket = class.map(|class| hub.issue_ticket(&class));
        let (answer, end) = match read {
            Ok((parsed, _)) if clients.must_refuse() => {
                (refusal(hub.retry_after(parsed.call.class_and_tenant.0.number)), End::Deferred)
            }
            Ok((parsed, remaining)) => {
                sock.detect_pipelined();
                // The client's remaining time counts from the last byte of the request, which may have been
                // waiting for the end of the request before it.
                let arrived = sock.arrived_at();
                match &parsed.call.rest {
                    None => sock.enter_phase(Phase::Busy),
                    Some(rest) => sock.stream_body(rest.upload.clone()),
                }
                is_fully_read = parsed.call.rest.is_none();
                let id = parsed.call.id.clone();
                let client_time = match &parsed.call.rest {
                    None => ClientTime::Until(arrived + remaining),
                    Some(rest) => ClientTime::AfterUpload { upload: rest.upload.clone(), wait: remaining },
                };
                let (mut answer, end) = process(hub, &sock, parsed, arrived, remaining).await;
                if answer.body().is_streamed() {
                    // A streamed answer ends the ticket with its last byte.
                    let ends_with_connection = ends_with_connection(version, &answer);
                    answer.body_mut().forward(Forwarded {
                        hub: hub.clone(),
                        sock: sock.clone(),
                        id,
                        ticket: ticket.take(),
                        client_time,
                        ends_with_connection,
                    });
                }
                (answer, end)
            }
            Err(error) => {
                is_fully_read = !error.must_close;
                (error.answer(), End::Errored)
            }
        };
        ticket.into_iter().for_each(|ticket| ticket.end(end));
        answer
    };
    if !is_fully_read {
        sock.set_answered_unread();
    }
    if sock.phase().0 == Phase::Reading {
        sock.detect_pipelined();
    }
    let must_close = ends_with_connection(version, &answer) || !is_fully_read;
    // A request that has been read behind this one is owed its answer on this connection.
    if must_close || (!sock.is_pipelined() && front.need_not_keep(&sock, is_ready_check)) {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    sock.begin_message(if is_head { 0 } else { body_length(&answer).unwrap_or(usize::MAX) });
    sock.enter_phase(Phase::Answering);
    answer
}

/// Returns whether only the end of the connection ends an answer: HTTP/1.0 has no chunks.
fn ends_with_connection(version: Version, answer: &Response<AnswerBody>) -> bool {
    version == Version::HTTP_10 && body_length(answer).is_none()
}

fn body_length(answer: &Response<AnswerBody>) -> Option<usize> {
    answer.body().size_hint().exact().map(|length| length as usize)
}

fn plain(status: StatusCode) -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::default());
    *answer.status_mut() = status;
    answer
}

/// Cancels the request if the client's connection ends before it is answered.
struct PendingAnswer {
    hub: Rc<Hub>,
    sock: Rc<TrackedSocket>,
    asked: hub::RequestHandle,
    answered: bool,
}

impl PendingAnswer {
    fn new(hub: &Rc<Hub>, sock: &Rc<TrackedSocket>, asked: hub::RequestHandle) -> Self {
        sock.set_answer_pending(true);
        Self { hub: hub.clone(), sock: sock.clone(), asked, answered: false }
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        self.sock.set_answer_pending(false);
        if !self.answered {
            self.hub.client_left(self.asked);
        }
    }
}

/// Hands the request to the core and waits for its final answer.
async fn process(
    hub: &Rc<Hub>,
    sock: &Rc<TrackedSocket>,
    parsed: ParsedRequest,
    arrived: Instant,
    remaining: Duration,
) -> (Response<AnswerBody>, End) {
    let began = hub.clock.millis_at(arrived);
    let incoming = CoreRequest {
        class: parsed.call.class_and_tenant.0.number,
        tenant: parsed.call.class_and_tenant.1.as_ref().map(|tenant| tenant.number),
        key: parsed.call.key.clone(),
        id: parsed.call.id.clone(),
        began,
        deadline: began + remaining.as_secs_f64() * 1000.0,
        repeat_key: Some(parsed.call.repeat_key(hub.config.seed)),
        work: parsed.call.estimated_work(),
        body_pending: parsed.call.rest.is_some(),
        prior_attempts: None,
        payload: Rc::new(parsed.call),
    };
    let (answer, answered) = oneshot::channel();
    // A client that has just disconnected needs no answer.
    let waiter = move |final_answer| drop(answer.send(final_answer));
    let asked = match hub.submit(incoming, waiter) {
        Ok(asked) => asked,
        Err(Rejection::TooManyOpen { retry_after }) => return (refusal(retry_after), End::Deferred),
        Err(Rejection::DuplicateId) => return (plain(StatusCode::CONFLICT), End::Errored),
        Err(Rejection::UnknownClass) => return (plain(StatusCode::NOT_FOUND), End::Errored),
        Err(Rejection::KeyMissing) => return (plain(StatusCode::BAD_REQUEST), End::Errored),
    };
    let mut pending = PendingAnswer::new(hub, sock, asked);
    let Ok(answer) = answered.await else { return (plain(StatusCode::GATEWAY_TIMEOUT), End::Errored) };
    pending.answered = true;
    let end = metrics_outcome(&answer);
    let answer = match answer {
        Final::Served(reply) => served(reply),
        Final::Refused { retry_after } => refusal(retry_after),
        Final::Failed => plain(StatusCode::BAD_GATEWAY),
        Final::DeadlineNear => plain(StatusCode::GATEWAY_TIMEOUT),
        Final::Rejected => plain(StatusCode::BAD_REQUEST),
    };
    (answer, end)
}

fn served(reply: Reply) -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::new(reply.body));
    *answer.headers_mut() = reply.headers;
    answer
}

/// A refusal, with the core's `Retry-After` in decimal seconds if there is one.
fn refusal(retry_after: Millis) -> Response<AnswerBody> {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE);
    if retry_after > 0.0 {
        if let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", retry_after / 1000.0)) {
            answer.headers_mut().insert(RETRY_AFTER, seconds);
        }
    }
    answer
}

/// The status for an invalid request, and whether its connection must be closed.
struct RequestError {
    status: StatusCode,
    must_close: bool,
}

impl RequestError {
    fn answer(&self) -> Response<AnswerBody> {
        let mut answer = plain(self.status);
        if self.must_close {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }
}

impl From<StatusCode> for RequestError {
    fn from(status: StatusCode) -> Self {
        Self { status, must_close: false }
    }
}

/// A request that has been read and validated.
struct ParsedRequest {
    call: Call,
}

/// The only value of a header, `None` if it is absent. A repeated or unreadable header is an error.
fn single_header<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, RequestError> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => value.to_str().map(Some).map_err(|_| StatusCode::BAD_REQUEST.into()),
        _ => Err(StatusCode::BAD_REQUEST.into()),
    }
}

fn token(value: Option<&str>) -> Result<Token, RequestError> {
    value.and_then(|v| Token::new(v).ok()).ok_or(StatusCode::BAD_REQUEST.into())
}

/// Returns whether the end of the request is unambiguous. A request with both a length and a transfer coding
/// can smuggle a second request: what is body by one of them is the next request by the other.
fn has_unambiguous_framing(sock: &TrackedSocket, headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let chunked = |v: &HeaderValue| v.as_bytes().eq_ignore_ascii_case(b"chunked");
    match (codings.next(), codings.next()) {
        (None, _) => headers.get_all(CONTENT_LENGTH).iter().count() <= 1,
        (Some(coding), None) => {
            let is_sole = sock.request_head().is_some_and(|head| head.has_coding && head.lengths == 0);
            chunked(coding) && !headers.contains_key(CONTENT_LENGTH) && is_sole
        }
        _ => false,
    }
}

/// The class that a request's path names, if it exists.
fn class_of(hub: &Hub, uri: &Uri) -> Option<Slot> {
    let name = uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
    hub.class(name)
}

async fn read(
    hub: &Hub,
    sock: &TrackedSocket,
    class: Option<Slot>,
    request: Request<Incoming>,
) -> Result<(ParsedRequest, Duration), RequestError> {
    // The settings in force when the head arrived apply to all of it.
    let settings = hub.settings();
    let (parts, body) = request.into_parts();
    let has_body = !hyper::body::Body::is_end_stream(&body);
    // Read nothing more from a request whose end is ambiguous, or that has a body where none is allowed.
    if !has_unambiguous_framing(sock, &parts.headers) || (parts.method == Method::GET && has_body) {
        return Err(RequestError { status: StatusCode::BAD_REQUEST, must_close: true });
    }
    let declared = parts.headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
    // A body that is still unread when the answer is sent makes the connection unusable.
    let unread_error = |status| RequestError {
        status,
        must_close: declared != Some(0) && !hyper::body::Body::is_end_stream(&body),
    };
    if declared.is_some_and(|n| n > MAX_BODY_BYTES as u64) {
        return Err(unread_error(StatusCode::PAYLOAD_TOO_LARGE));
    }
    let class = class.ok_or_else(|| unread_error(StatusCode::NOT_FOUND))?;
    let checked = validate(&parts.method, &parts.headers, settings.policy.classes[class.number].effect);
    let (id, key, remaining) = checked.map_err(|error| unread_error(error.status))?;
    let tenant = single_header(&parts.headers, &ORG).ok().flatten();
    let tenant = tenant.and_then(|org| hub.tenant(org));
    let mut uri = Uri::builder();
    if let Some(path) = parts.uri.path_and_query() {
        uri = uri.path_and_query(path.clone());
    }
    let uri = uri.build().map_err(|_| unread_error(StatusCode::BAD_REQUEST))?;
    sock.begin_body();
    let CollectedBody { body, rest, budget_share } =
        read_body(hub, body, declared.unwrap_or(0) as usize).await?;
    let rest = rest.map(|rest| RemainingBody::new(rest, declared.map(|length| length as usize)));
    let mut headers = end_to_end(&parts.headers);
    headers.remove(REMAINING);
    if !headers.contains_key(HOST) {
        headers.insert(HOST, HeaderValue::from_static("service.internal"));
    }
    let call = Call {
        class_and_tenant: (class, tenant),
        id,
        key,
        method: parts.method,
        target: uri,
        origin: Origin::Http(headers),
        body,
        rest,
        body_budget_share: budget_share,
    };
    Ok((ParsedRequest { call }, remaining))
}

/// The part of a body that was read, the rest still to come, and its share of the body budget.
struct CollectedBody {
    body: Blocks,
    rest: Option<Incoming>,
    budget_share: Share,
}

/// Reads a body in full if it fits. The part beyond [`MAX_BUFFERED_BODY_BYTES`] needs room in the budget that
/// all bodies share; when there is none, the rest is left to be streamed.
async fn read_body(hub: &Hub, mut body: Incoming, declared: usize) -> Result<CollectedBody, RequestError> {
    let closing_error = |status| RequestError { status, must_close: true };
    let (mut read, mut budget_share) = (BlocksBuilder::default(), hub.bodies.share());
    let mut fits = budget_share.grow(declared.saturating_sub(MAX_BUFFERED_BODY_BYTES));
    while fits {
        let Some(frame) = body.frame().await else {
            return Ok(CollectedBody { body: read.finish(), rest: None, budget_share });
        };
        let Ok(frame) = frame else { return Err(closing_error(StatusCode::BAD_REQUEST)) };
        let Ok(data) = frame.into_data() else { continue };
        if read.len() + data.len() > MAX_BODY_BYTES {
            return Err(closing_error(StatusCode::PAYLOAD_TOO_LARGE));
        }
        read.push(&data);
        let missing = read.len().saturating_sub(MAX_BUFFERED_BODY_BYTES).saturating_sub(budget_share.size());
        fits = budget_share.grow(missing);
    }
    Ok(CollectedBody { body: read.finish(), rest: Some(body), budget_share })
}

/// Validates the method and the required headers; returns the id, the key and the remaining time.
fn validate(
    method: &Method,
    headers: &HeaderMap,
    effect: Effect,
) -> Result<(Token, Option<Token>, Duration), RequestError> {
    let id = token(single_header(headers, &TXN)?)?;
    let remaining = single_header(headers, &REMAINING)?.filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
    let remaining = remaining.and_then(|v| v.parse::<u64>().ok()).ok_or(StatusCode::BAD_REQUEST)?;
    let needed = if effect == Effect::Safe { Method::GET } else { Method::POST };
    if *method != needed {
        return Err(StatusCode::BAD_REQUEST.into());
    }
    let keyed = matches!(effect, Effect::Keyed { .. });
    let key = if keyed { Some(token(single_header(headers, &KEY)?)?) } else { None };
    Ok((id, key, Duration::from_millis(remaining.min(MAX_CLIENT_WAIT as u64))))
}

#[cfg(test)]
mod tests {
    use std::cell::{Cell, OnceCell};

    use bytes::Bytes;
    use glenwood_core::{AttemptId, AttemptResult};
    use glenwood_policy::ServerId;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::{TcpListener, TcpStream};
    use tokio::task::spawn_local;

    use super::*;
    use crate::call::Content;
    use crate::front::fixture;
    use crate::hub::HubActions;

    /// A backend that answers every attempt at once.
    #[derive(Default)]
    struct Server {
        hub: OnceCell<Rc<Hub>>,
        starts: Cell<usize>,
    }

    impl HubActions for Server {
        fn start(&self, attempt: AttemptId, _: ServerId, _: Instant, _: Rc<Call>) {
            self.starts.set(self.starts.get() + 1);
            let reply =
                Reply { headers: HeaderMap::new(), body: Content::Buffered(Bytes::from_static(b"served")) };
            self.hub.get().expect("set").attempt_ended(attempt, AttemptResult::Served(reply));
        }
        fn abandon(&self, _: AttemptId) {}
        fn is_unsent(&self, _: AttemptId) -> bool {
            false
        }
        fn probe(&self, _: ServerId) {}
        fn discard_connections(&self, _: ServerId) {}
        fn subscribe(&self) {}
        fn unsubscribe(&self) {}
    }

    /// A front with one connected client, whose connection has been served once and is idle.
    struct Fixture {
        clients: Rc<Clients>,
        client: Rc<Client>,
        server: Rc<Server>,
        peer: TcpStream,
    }

    fn request_text(txn: &str) -> String {
        format!("GET /look HTTP/1.1\r\nHost: x\r\nX-Txn: {txn}\r\nX-Remaining-Ms: 9000\r\n\r\n")
    }

    impl Fixture {
        async fn new() -> Self {
            let (hub, known) = fixture::hub();
            let server = Rc::new(Server::default());
            let _ = server.hub.set(hub.clone());
            hub.start(server.clone(), known);
            let clients = Clients::new(hub.clone());
            let front = Front::new(hub, clients.clone());
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let mut peer = TcpStream::connect(listener.local_addr().expect("bound"))
                .await
                .expect("the listener is open");
            let (number, client) = clients
                .add(listener.accept().await.expect("the connection is accepted").0)
                .expect("the connection is open");
            let (served, all) = (client.clone(), clients.clone());
            spawn_local(async move {
                front.serve_client(served).await;
                all.remove(number);
            });
            peer.write_all(request_text("t1").as_bytes()).await.expect("the request is written");
            assert!(answer(&mut peer).await.starts_with("HTTP/1.1 200"));
            assert_eq!(client.sock.phase().0, Phase::Idle);
            Self { clients, client, server, peer }
        }

        /// Requests the close and writes in the same step: the connection's task does not run in between.
        fn write_as_close_is_requested(&mut self, text: &str) {
            self.client.close.notify_one();
            assert_eq!(self.peer.try_write(text.as_bytes()).expect("the connection is open"), text.len());
        }
    }

    /// Reads one answer, or whatever arrives before the connection ends.
    async fn answer(peer: &mut TcpStream) -> String {
        let mut text = String::new();
        let mut byte = [0];
        while !text.ends_with("served") && matches!(peer.read(&mut byte).await, Ok(1)) {
            text.push(char::from(byte[0]));
        }
        text
    }

    #[test]
    fn request_arriving_while_its_idle_connection_closes_is_answered() {
        fixture::run(async {
            let mut fixture = Fixture::new().await;
            fixture.write_as_close_is_requested(&request_text("t2"));
            assert!(answer(&mut fixture.peer).await.starts_with("HTTP/1.1 200"));
            // Part of a request arrives with the close, and the rest later.
            let text = request_text("t3");
            let (is_first, rest) = text.split_at(20);
            fixture.write_as_close_is_requested(is_first);
            while fixture.client.sock.phase().0 != Phase::Reading {
                tokio::task::yield_now().await;
            }
            fixture.peer.write_all(rest.as_bytes()).await.expect("the connection is open");
            assert!(answer(&mut fixture.peer).await.starts_with("HTTP/1.1 200"));
            assert_eq!(fixture.server.starts.get(), 3);
            // Nothing arrives: the connection is closed.
            let Fixture { client, mut peer, .. } = fixture;
            client.close.notify_one();
            drop(client);
            assert_eq!(answer(&mut peer).await, "");
        });
    }

    /// Guards against counting a connection as free that was chosen for eviction and then used again: it
    /// stays open and occupies its slot.
    #[test]
    fn evicted_connection_that_is_used_again_is_not_counted_as_free() {
        fixture::run(async {
            let mut fixture = Fixture::new().await;
            fixture.clients.set_limit(1);
            assert!(fixture.clients.evict());
            let text = request_text("t2");
            assert_eq!(fixture.peer.try_write(text.as_bytes()).expect("the connection is open"), text.len());
            assert!(answer(&mut fixture.peer).await.starts_with("HTTP/1.1 200"));
            // It is the next one to be evicted.
            let Fixture { client, clients, mut peer, .. } = fixture;
            drop(client);
            assert_eq!(clients.count(), 1);
            clients.wait_for_room().await;
            assert_eq!(answer(&mut peer).await, "");
            assert_eq!(clients.count(), 0);
        });
    }
}
