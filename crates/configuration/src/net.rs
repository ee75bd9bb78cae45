//! The connections of subscribers and operators to publishers: JSON over HTTP/1.1. A watch is a request whose answer stays open and
//! brings one JSON object a line.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request as HttpRequest, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::message::{Publication, Request};

/// Where a subscriber watches.
pub const WATCH: &str = "/v1/configuration/watch";
/// Where it says how far it is.
pub const REPORT: &str = "/v1/configuration/report";
/// Where operators see how far everybody is.
pub const STATUS: &str = "/v1/configuration/status";
/// Where operators push a change.
pub const PUSH: &str = "/v1/configuration/push";
/// Where an operator begins a new epoch.
pub const EPOCH: &str = "/v1/configuration/epoch";
/// The header that names a subscriber.
pub const NAME: &str = "x-subscriber";

/// The longest message, in bytes.
const MESSAGE_MOST: usize = 4 << 20;
/// The longest answer to a call that is no watch, in bytes.
const ANSWER_MOST: usize = 4 << 20;
/// How long a connection may take, and a whole call that is no watch.
const CONNECT: Duration = Duration::from_secs(1);
const CALL: Duration = Duration::from_secs(5);

/// An answer whose connection ends with it.
struct Open {
    answer: Response<Incoming>,
    connection: JoinHandle<()>,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.connection.abort();
    }
}

async fn open(to: SocketAddr, name: &str, path: &str, body: Option<Vec<u8>>) -> Result<Open, String> {
    let stream = timeout(CONNECT, TcpStream::connect(to)).await.map_err(|_| "no connection".to_string())?;
    let stream = stream.map_err(|e| e.to_string())?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
    let connection = tokio::spawn(async move {
        // What breaks the connection breaks the call too, and is seen there.
        let _ = connection.await;
    });
    let method = if body.is_some() { "POST" } else { "GET" };
    let request = HttpRequest::builder()
        .method(method)
        .uri(path)
        .header("host", to.to_string())
        .header(NAME, name)
        .body(Full::new(Bytes::from(body.unwrap_or_default())));
    let request = request.map_err(|e| e.to_string())?;
    let answer = timeout(CALL, sender.send_request(request)).await.map_err(|_| "no answer".to_string());
    match answer {
        Ok(Ok(answer)) => Ok(Open { answer, connection }),
        Ok(Err(error)) => {
            connection.abort();
            Err(error.to_string())
        }
        Err(words) => {
            connection.abort();
            Err(words)
        }
    }
}

/// Asks once; gives the status and the body.
///
/// # Errors
/// Where no whole answer comes.
pub async fn call(
    to: SocketAddr,
    name: &str,
    path: &str,
    body: Option<Vec<u8>>,
) -> Result<(StatusCode, Vec<u8>), String> {
    let whole = async {
        let mut open = open(to, name, path, body).await?;
        let status = open.answer.status();
        let body = Limited::new(open.answer.body_mut(), ANSWER_MOST).collect().await;
        Ok((status, body.map_err(|e| e.to_string())?.to_bytes().to_vec()))
    };
    timeout(CALL, whole).await.map_err(|_| "no whole answer".to_string())?
}

/// Watches a publisher: what it says goes to `heard`, until the watch ends or nobody listens there.
///
/// # Errors
/// Why it ended.
pub async fn watch(
    to: SocketAddr,
    name: &str,
    subscribe: &Request,
    heard: mpsc::Sender<Publication>,
) -> Result<(), String> {
    let body = serde_json::to_vec(subscribe).map_err(|e| e.to_string())?;
    let mut open = open(to, name, WATCH, Some(body)).await?;
    if open.answer.status() != StatusCode::OK {
        return Err(format!("status {}", open.answer.status()));
    }
    let mut lines = Lines::default();
    while let Some(frame) = open.answer.body_mut().frame().await {
        let frame = frame.map_err(|e| e.to_string())?;
        let Ok(data) = frame.into_data() else { continue };
        lines.push(&data)?;
        while let Some(line) = lines.next_line() {
            let publication = serde_json::from_slice(&line).map_err(|e| format!("unreadable: {e}"))?;
            if heard.send(publication).await.is_err() {
                return Ok(());
            }
        }
    }
    Err("the watch ended".to_string())
}

/// What has come of a watch and is no whole line yet.
#[derive(Debug, Default)]
struct Lines {
    held: Vec<u8>,
    /// How much of it holds no end of a line.
    searched: usize,
}

impl Lines {
    fn push(&mut self, data: &[u8]) -> Result<(), String> {
        if self.held.len() + data.len() > MESSAGE_MOST {
            return Err(format!("a message of over {MESSAGE_MOST} bytes"));
        }
        self.held.extend_from_slice(data);
        Ok(())
    }

    /// The next line that is not blank.
    fn next_line(&mut self) -> Option<Vec<u8>> {
        while let Some(end) = self.held[self.searched..].iter().position(|byte| *byte == b'\n') {
            let rest = self.held.split_off(self.searched + end + 1);
            let line = std::mem::replace(&mut self.held, rest);
            self.searched = 0;
            if !line.trim_ascii().is_empty() {
                return Some(line);
            }
        }
        self.searched = self.held.len();
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_are_cut_however_they_come() {
        let text = b"{\"a\":1}\n\n{\"b\":2}\r\n{\"c\"";
        for piece in 1..text.len() {
            let (mut lines, mut all) = (Lines::default(), Vec::new());
            for data in text.chunks(piece) {
                lines.push(data).expect("short");
                all.extend(std::iter::from_fn(|| lines.next_line()));
            }
            assert_eq!(all, [b"{\"a\":1}\n".to_vec(), b"{\"b\":2}\r\n".to_vec()]);
        }
    }

    #[test]
    fn nothing_longer_than_a_message_is_held() {
        let mut lines = Lines::default();
        assert!(lines.push(&vec![b' '; MESSAGE_MOST]).is_ok());
        assert_eq!(lines.next_line(), None);
        assert!(lines.push(b" ").is_err());
    }
}
