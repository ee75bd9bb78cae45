//! Discovery: reading the list, and the watch that brings its changes.

use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use glenwood_list::lines::{self, Lines, Message, Spoilt};
use glenwood_policy::{ListFailure, Millis};
use glenwood_trace::Doing;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at};

use crate::errno::is_own_connect_failure;
use crate::hub::Hub;
use crate::list::{self, Update};
use crate::sock::{Io, Sock};

/// How long a connection may take.
const CONNECT: Duration = Duration::from_millis(1000);
/// How long it rests where it can't be begun on this machine.
const CONNECT_AGAIN: Duration = Duration::from_millis(10);
/// How long a call may wait in the service's queue until its answer is whole, or a watch says its first word.
/// The service itself fails calls after 3 s; with no answer at all
/// there must be time for another call before news counts as told, 4 s after a reload.
const FIRST: Duration = Duration::from_millis(3400);
/// A watch brings a message every 2 s: a longer silence is a dead link, which TCP alone would not notice.
const SILENCE: Duration = Duration::from_millis(3200);
/// From the silence of a watch on what it misses counts as told after 6 s, however many nodes there are. This is what is left
/// to ask anew, less a second for the answer.
const ASK_ANEW_MS: Millis = 6000.0 - 1000.0 - SILENCE.as_millis() as Millis;

/// Why a call ended.
enum Ended {
    /// It failed, with no answer begun.
    Unanswered(String),
    /// A watch that stood broke between two messages.
    Broken(String),
    /// A watch that stood fell silent.
    Silent,
    /// The answer, or a line of the watch, had begun and was cut off.
    Cut(String),
    /// It brought what can't be read or can't be so; the whole list is needed.
    Unreadable(String),
}

impl From<Spoilt> for Ended {
    fn from(spoilt: Spoilt) -> Self {
        Self::Unreadable(spoilt.to_string())
    }
}

impl From<hyper::Error> for Ended {
    fn from(error: hyper::Error) -> Self {
        Self::Unanswered(with_causes(&error))
    }
}

/// An error's words with those of all its causes: what broke a connection stands in the last of them alone.
fn with_causes(error: &dyn Error) -> String {
    let mut words = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        words = format!("{words}: {error}");
        cause = error.source();
    }
    words
}

/// Watches from the version that the node has, or asks for the whole list first where it has to. Ends when
/// the watch ends, and tells the hub.
pub async fn follow(hub: Rc<Hub>, service: SocketAddr) {
    let (words, failure) = match watch(&hub, service).await {
        Ok(()) => ("the watch ended".to_string(), ListFailure::Ended),
        Err(Ended::Unanswered(words)) => (words, ListFailure::Unanswered),
        Err(Ended::Broken(words)) => (words, ListFailure::Ended),
        Err(Ended::Silent) => ("silent watch".to_string(), ListFailure::Silent { told_in: ASK_ANEW_MS }),
        Err(Ended::Cut(words)) => (format!("an answer was cut off: {words}"), ListFailure::Unreadable),
        Err(Ended::Unreadable(words)) => {
            hub.forget_version();
            (format!("a line is not taken: {words}"), ListFailure::Unreadable)
        }
    };
    hub.discovery_failed(&words, failure);
}

async fn watch(hub: &Rc<Hub>, service: SocketAddr) -> Result<(), Ended> {
    let version = match hub.version() {
        Some(version) => version,
        None => whole(hub, service).await?,
    };
    hub.trace(|_| Doing::Asking { from: Some(version) });
    let mut body = call(service, &format!("/v1/endpoints?watch=1&from={version}")).await?;
    hub.discovery_answering();
    let mut lines = Lines::default();
    let (mut due, mut answered) = (body.due, false);
    loop {
        // Bytes alone are no sign of life: what trickles and never makes a message tells as little as silence.
        let frame = timeout_at(due.into(), body.answer.frame()).await;
        let silent = || if answered { Ended::Silent } else { Ended::Unanswered("silent watch".into()) };
        let frame = frame.map_err(|_| silent())?.transpose();
        // Between two messages a watch may end at any time; within one it was about to tell something.
        let whole = answered && !lines.amid();
        if answered && !matches!(frame, Ok(Some(_))) {
            hub.trace(|_| watch_ended(&body, &lines));
        }
        let frame = match frame {
            Ok(Some(frame)) => frame,
            Ok(None) if whole => return Ok(()),
            Ok(None) => return Err(Ended::Cut("it ended".into())),
            Err(error) if whole => return Err(Ended::Broken(with_causes(&error))),
            Err(error) => return Err(Ended::Cut(with_causes(&error))),
        };
        let Ok(data) = frame.into_data() else { continue };
        lines.push(&data)?;
        while let Some(message) = lines.next_message()? {
            let first = !answered;
            (due, answered) = (Instant::now() + SILENCE, true);
            match message {
                Message::Alive => hub.discovery_alive(first),
                Message::Object(text) => hub.listed(read(&text)?).map_err(Ended::Unreadable)?,
            }
        }
    }
}

fn watch_ended(call: &Call, lines: &Lines) -> Doing {
    let last = call.sock.last_heard().iter().map(|byte| format!("{byte:02x}")).collect();
    Doing::WatchEnded { amid: lines.amid(), last }
}

/// Asks for the whole list once.
async fn whole(hub: &Rc<Hub>, service: SocketAddr) -> Result<u64, Ended> {
    hub.trace(|_| Doing::Asking { from: None });
    let mut body = call(service, "/v1/endpoints").await?;
    hub.discovery_answering();
    let mut text = Vec::new();
    loop {
        // The answer is due as a whole: a piece now and then must not keep the node from asking anew.
        let frame = timeout_at(body.due.into(), body.answer.frame()).await;
        let Some(frame) = frame.map_err(|_| Ended::Cut("it is not whole in time".into()))? else { break };
        if let Ok(data) = frame.map_err(|e| Ended::Cut(with_causes(&e)))?.into_data() {
            if text.len() + data.len() > lines::MOST {
                return Err(Spoilt::TooLong.into());
            }
            text.extend_from_slice(&data);
        }
    }
    let update = read(&text)?;
    let version = update.version;
    hub.listed(update).map_err(Ended::Unreadable)?;
    Ok(version)
}

fn read(text: &[u8]) -> Result<Update, Ended> {
    list::read(text).map_err(|words| Ended::Unreadable(format!("unreadable: {words}")))
}

/// A call's answer; the connection ends with it.
struct Call {
    answer: Incoming,
    /// By when the whole list is due, or a watch's first message.
    due: Instant,
    driver: tokio::task::JoinHandle<()>,
    sock: Rc<Sock>,
}

impl Drop for Call {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Connects, and tries again where that fails for a moment on this machine: the service has not been called yet, so nothing is to be
/// spared by waiting.
async fn connect(to: SocketAddr) -> std::io::Result<TcpStream> {
    loop {
        match TcpStream::connect(to).await {
            Err(error) if is_own_connect_failure(&error) => tokio::time::sleep(CONNECT_AGAIN).await,
            result => return result,
        }
    }
}

async fn call(to: SocketAddr, path: &str) -> Result<Call, Ended> {
    let unanswered = |words: &str| Ended::Unanswered(words.to_string());
    let stream = timeout(CONNECT, connect(to)).await.map_err(|_| unanswered("no connection"))?;
    let sock = stream.and_then(Sock::new).map_err(|e| unanswered(&e.to_string()))?;
    let (mut send, conn) = http1::handshake(Io(sock.clone())).await?;
    let driver = tokio::task::spawn_local(async move {
        // What breaks the connection breaks the call too, and is seen there.
        let _ = conn.await;
    });
    let request = Request::get(path).header("host", to.to_string()).body(Empty::<Bytes>::new());
    let request = request.map_err(|e| unanswered(&e.to_string()))?;
    let due = Instant::now() + FIRST;
    let answer = timeout_at(due.into(), send.send_request(request)).await;
    let answer: Response<Incoming> = answer.map_err(|_| unanswered("no answer"))??;
    if answer.status() != StatusCode::OK {
        driver.abort();
        return Err(Ended::Unanswered(format!("status {}", answer.status())));
    }
    Ok(Call { answer: answer.into_body(), due, driver, sock })
}
