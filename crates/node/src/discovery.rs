//! The client of discovery: reads the list, and watches for its changes.

use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use glenwood_list::lines::{self, Message, MessageReader, StreamError};
use glenwood_policy::{Discovery, ListFailure, Millis, Settings};
use glenwood_trace::TraceEvent;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpStream;
use tokio::time::timeout_at;

use crate::errno::is_own_connect_failure;
use crate::hub::Hub;
use crate::list::{self, Update};
use crate::sock::{Io, TrackedSocket};

/// Timeout for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long to wait after a connect that failed on this machine.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// How long a call may wait in the service's queue: the service itself fails calls after 3 s. With no answer at
/// all there must be time for another call before a change counts as notified, 4 s after a reload.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(3400);
/// A change counts as notified this long after the service had it and could be reached.
const NOTIFIED_WITHIN: Duration = Duration::from_millis(6000);
/// The smallest number of nodes that the time of one call is derived from.
const MIN_NODES: usize = 4;
/// A watch sends a message every 2 s: a longer silence means a dead link, which TCP alone would not notice.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3200);
/// A change that a silent watch misses counts as notified 6 s later, however many nodes there are. This is
/// what remains of that time for a new call, less a second for its answer.
const RENEWED_CALL_BUDGET_MS: Millis =
    NOTIFIED_WITHIN.as_millis() as Millis - 1000.0 - SILENCE_TIMEOUT.as_millis() as Millis;

/// How long a call may take until its answer is complete, or until a watch sends its first message. A service
/// for all nodes works through their calls in turn, and all of them have to fit in before changes count as
/// notified: so that is how long it may work on a call after its time in the queue. An agent that pushes the
/// list answers at once.
fn first_message_timeout(settings: &Settings) -> Duration {
    match settings.discovery {
        Discovery::Pushed => QUEUE_TIMEOUT,
        Discovery::Asked => QUEUE_TIMEOUT + NOTIFIED_WITHIN / settings.nodes.max(MIN_NODES) as u32,
    }
}

/// Why a call ended.
enum Ended {
    /// No connection could be established.
    Unreachable(String),
    /// It could not be made, for a reason on this machine.
    NotSent(String),
    /// It failed before an answer began.
    Unanswered(String),
    /// An established watch broke between two messages.
    Broken(String),
    /// An established watch fell silent.
    Silent,
    /// The answer, or a line of the watch, was cut off.
    Cut(String),
    /// It brought invalid or inconsistent data; the complete list is needed.
    Unreadable(String),
}

impl From<StreamError> for Ended {
    fn from(error: StreamError) -> Self {
        Self::Unreadable(error.to_string())
    }
}

impl From<hyper::Error> for Ended {
    fn from(error: hyper::Error) -> Self {
        Self::Unanswered(with_causes(&error))
    }
}

/// The message of an error with those of all its causes: only the last cause says what broke a connection.
fn with_causes(error: &dyn Error) -> String {
    let mut message = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        message = format!("{message}: {error}");
        cause = error.source();
    }
    message
}

/// Watches from the node's version, or requests the complete list first where that is needed. Returns when
/// the watch has ended and the hub was notified of that.
pub async fn follow(hub: Rc<Hub>, service: SocketAddr) {
    let (message, failure) = match watch(&hub, service).await {
        Ok(()) => ("the watch ended".to_string(), ListFailure::Ended),
        Err(Ended::Unreachable(reason)) => (reason, ListFailure::Unreachable),
        Err(Ended::NotSent(reason)) => (reason, ListFailure::NotSent),
        Err(Ended::Unanswered(reason)) => (reason, ListFailure::Unanswered),
        Err(Ended::Broken(reason)) => (reason, ListFailure::Ended),
        Err(Ended::Silent) => {
            ("silent watch".to_string(), ListFailure::Silent { told_in: RENEWED_CALL_BUDGET_MS })
        }
        Err(Ended::Cut(reason)) => (format!("an answer was cut off: {reason}"), ListFailure::Unreadable),
        Err(Ended::Unreadable(reason)) => {
            hub.forget_version();
            (format!("a line is not taken: {reason}"), ListFailure::Unreadable)
        }
    };
    hub.discovery_failed(&message, failure);
}

async fn watch(hub: &Rc<Hub>, service: SocketAddr) -> Result<(), Ended> {
    let version = match hub.version() {
        Some(version) => version,
        None => fetch_list(hub, service).await?,
    };
    hub.trace(|_| TraceEvent::DiscoveryRequest { from: Some(version) });
    let mut body = call(hub, service, &format!("/v1/endpoints?watch=1&from={version}")).await?;
    hub.discovery_answering();
    let mut lines = MessageReader::default();
    let (mut due, mut answered) = (body.due, false);
    loop {
        // Only complete messages count as a sign of life: a trickle of bytes that never makes a message is
        // as useless as silence.
        let frame = timeout_at(due.into(), body.answer.frame()).await;
        let silent = || if answered { Ended::Silent } else { Ended::Unanswered("silent watch".into()) };
        let frame = frame.map_err(|_| silent())?.transpose();
        // Between two messages a watch may end at any time. Within a message it was cut off, and a change
        // may be lost.
        let between_messages = answered && !lines.has_partial_message();
        if answered && !matches!(frame, Ok(Some(_))) {
            hub.trace(|_| watch_ended_event(&body, &lines));
        }
        let frame = match frame {
            Ok(Some(frame)) => frame,
            Ok(None) if between_messages => return Ok(()),
            Ok(None) => return Err(Ended::Cut("the connection ended".into())),
            Err(error) if between_messages => return Err(Ended::Broken(with_causes(&error))),
            Err(error) => return Err(Ended::Cut(with_causes(&error))),
        };
        let Ok(data) = frame.into_data() else { continue };
        lines.push(&data)?;
        while let Some(message) = lines.next_message()? {
            let first = !answered;
            (due, answered) = (Instant::now() + SILENCE_TIMEOUT, true);
            match message {
                Message::KeepAlive => hub.discovery_alive(first),
                Message::Object(text) => {
                    hub.apply_discovery_update(read(&text)?).map_err(Ended::Unreadable)?
                }
            }
        }
    }
}

fn watch_ended_event(call: &Call, lines: &MessageReader) -> TraceEvent {
    let last = call.sock.last_heard().iter().map(|byte| format!("{byte:02x}")).collect();
    TraceEvent::WatchEnded { mid_message: lines.has_partial_message(), last }
}

/// Requests the complete list once.
async fn fetch_list(hub: &Rc<Hub>, service: SocketAddr) -> Result<u64, Ended> {
    hub.trace(|_| TraceEvent::DiscoveryRequest { from: None });
    let mut body = call(hub, service, "/v1/endpoints").await?;
    hub.discovery_answering();
    let mut text = Vec::new();
    loop {
        // The deadline is for the complete answer: occasional pieces must not delay a new call.
        let frame = timeout_at(body.due.into(), body.answer.frame()).await;
        let Some(frame) = frame.map_err(|_| Ended::Cut("the answer was not complete in time".into()))? else {
            break;
        };
        if let Ok(data) = frame.map_err(|e| Ended::Cut(with_causes(&e)))?.into_data() {
            if text.len() + data.len() > lines::MAX_MESSAGE_BYTES {
                return Err(StreamError::TooLong.into());
            }
            text.extend_from_slice(&data);
        }
    }
    let update = read(&text)?;
    let version = update.version;
    hub.apply_discovery_update(update).map_err(Ended::Unreadable)?;
    Ok(version)
}

fn read(text: &[u8]) -> Result<Update, Ended> {
    list::parse_update(text).map_err(|reason| Ended::Unreadable(format!("unreadable: {reason}")))
}

/// The answer to a call; the connection is closed with it.
struct Call {
    answer: Incoming,
    /// When the complete list, or a watch's first message, is due.
    due: Instant,
    driver: tokio::task::JoinHandle<()>,
    sock: Rc<TrackedSocket>,
}

impl Drop for Call {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Connects, and tries again where that fails for a moment on this machine: the service has not been called
/// yet, so no load on it is saved by waiting longer.
async fn connect(to: SocketAddr) -> Result<TcpStream, Ended> {
    let deadline = Instant::now() + CONNECT_TIMEOUT;
    loop {
        let connected = timeout_at(deadline.into(), TcpStream::connect(to)).await;
        match connected.map_err(|_| Ended::Unreachable("no connection".into()))? {
            Ok(stream) => return Ok(stream),
            Err(error) if !is_own_connect_failure(&error) => {
                return Err(Ended::Unreachable(error.to_string()))
            }
            Err(error) if Instant::now() + CONNECT_RETRY_DELAY > deadline => {
                return Err(Ended::NotSent(error.to_string()));
            }
            Err(_) => tokio::time::sleep(CONNECT_RETRY_DELAY).await,
        }
    }
}

async fn call(hub: &Hub, to: SocketAddr, path: &str) -> Result<Call, Ended> {
    let unanswered = |reason: &str| Ended::Unanswered(reason.to_string());
    let sock = TrackedSocket::new(connect(to).await?).map_err(|e| Ended::NotSent(e.to_string()))?;
    let (mut send, conn) = http1::handshake(Io(sock.clone())).await?;
    let driver = tokio::task::spawn_local(async move {
        // An error of the connection fails the call too, and is handled there.
        let _ = conn.await;
    });
    let request = Request::get(path).header("host", to.to_string()).body(Empty::<Bytes>::new());
    let request = request.map_err(|e| unanswered(&e.to_string()))?;
    let due = Instant::now() + first_message_timeout(&hub.settings().policy);
    let answer = timeout_at(due.into(), send.send_request(request)).await;
    let answer: Response<Incoming> = answer.map_err(|_| unanswered("no answer"))??;
    if answer.status() != StatusCode::OK {
        driver.abort();
        return Err(Ended::Unanswered(format!("status {}", answer.status())));
    }
    Ok(Call { answer: answer.into_body(), due, driver, sock })
}
