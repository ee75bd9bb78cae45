//! The client side of connections to publishers: JSON over HTTP/1.1. A watch is a request whose answer is a
//! stream with one JSON object per line.

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

/// Path on which a subscriber watches for publications.
pub const WATCH_PATH: &str = "/v1/configuration/watch";
/// Path on which a subscriber reports the state of the nodes behind it.
pub const REPORT_PATH: &str = "/v1/configuration/report";
/// Path on which operators read the publisher's status.
pub const STATUS_PATH: &str = "/v1/configuration/status";
/// Path on which operators push a change.
pub const PUSH_PATH: &str = "/v1/configuration/push";
/// Path on which an operator begins a new epoch.
pub const EPOCH_PATH: &str = "/v1/configuration/epoch";
/// The header with the subscriber's name.
pub const SUBSCRIBER_HEADER: &str = "x-subscriber";

/// Maximum length of a message in a watch, in bytes.
const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Maximum length of the answer to a call other than a watch, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for a complete call, and for the head of a watch's answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// An answer that is still being received; dropping it closes the connection.
struct StreamingAnswer {
    answer: Response<Incoming>,
    connection: JoinHandle<()>,
}

impl Drop for StreamingAnswer {
    fn drop(&mut self) {
        self.connection.abort();
    }
}

/// Connects, sends a request and waits for the head of the answer.
async fn send_request(
    to: SocketAddr,
    name: &str,
    path: &str,
    body: Option<Vec<u8>>,
) -> Result<StreamingAnswer, String> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(to))
        .await
        .map_err(|_| "timed out while connecting".to_string())?;
    let stream = stream.map_err(|e| e.to_string())?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
    let connection = tokio::spawn(async move {
        // A connection error also fails the call, which reports it.
        let _ = connection.await;
    });
    let method = if body.is_some() { "POST" } else { "GET" };
    let request = HttpRequest::builder()
        .method(method)
        .uri(path)
        .header("host", to.to_string())
        .header(SUBSCRIBER_HEADER, name)
        .body(Full::new(Bytes::from(body.unwrap_or_default())));
    let request = request.map_err(|e| e.to_string())?;
    let answer = timeout(CALL_TIMEOUT, sender.send_request(request))
        .await
        .map_err(|_| "timed out while waiting for an answer".to_string());
    match answer {
        Ok(Ok(answer)) => Ok(StreamingAnswer { answer, connection }),
        Ok(Err(error)) => {
            connection.abort();
            Err(error.to_string())
        }
        Err(message) => {
            connection.abort();
            Err(message)
        }
    }
}

/// Sends one request and returns the status and the body of the answer.
///
/// # Errors
/// Returns an error if no complete answer arrives in time.
pub async fn call(
    to: SocketAddr,
    name: &str,
    path: &str,
    body: Option<Vec<u8>>,
) -> Result<(StatusCode, Vec<u8>), String> {
    let exchange = async {
        let mut response = send_request(to, name, path, body).await?;
        let status = response.answer.status();
        let body = Limited::new(response.answer.body_mut(), MAX_ANSWER_BYTES).collect().await;
        Ok((status, body.map_err(|e| e.to_string())?.to_bytes().to_vec()))
    };
    timeout(CALL_TIMEOUT, exchange)
        .await
        .map_err(|_| "timed out before the answer was complete".to_string())?
}

/// Watches a publisher and forwards its messages to `publications`, until the watch ends or the receiver is
/// dropped.
///
/// # Errors
/// Returns why the watch ended.
pub async fn watch(
    to: SocketAddr,
    name: &str,
    subscribe: &Request,
    publications: mpsc::Sender<Publication>,
) -> Result<(), String> {
    let body = serde_json::to_vec(subscribe).map_err(|e| e.to_string())?;
    let mut response = send_request(to, name, WATCH_PATH, Some(body)).await?;
    if response.answer.status() != StatusCode::OK {
        return Err(format!("the watch was answered with status {}", response.answer.status()));
    }
    let mut lines = LineBuffer::default();
    while let Some(frame) = response.answer.body_mut().frame().await {
        let frame = frame.map_err(|e| e.to_string())?;
        let Ok(data) = frame.into_data() else { continue };
        lines.push(&data)?;
        while let Some(line) = lines.next_line() {
            let publication = serde_json::from_slice(&line)
                .map_err(|e| format!("the watch sent an invalid message: {e}"))?;
            if publications.send(publication).await.is_err() {
                return Ok(());
            }
        }
    }
    Err("the publisher closed the watch".to_string())
}

/// Splits received data into lines; buffers an incomplete line.
#[derive(Debug, Default)]
struct LineBuffer {
    buffered: Vec<u8>,
    /// The length of the prefix that is known to contain no line end.
    searched: usize,
}

impl LineBuffer {
    /// Buffers received data.
    fn push(&mut self, data: &[u8]) -> Result<(), String> {
        if self.buffered.len() + data.len() > MAX_MESSAGE_BYTES {
            return Err(format!("the watch sent a message of more than {MAX_MESSAGE_BYTES} bytes"));
        }
        self.buffered.extend_from_slice(data);
        Ok(())
    }

    /// The next line that is not blank.
    fn next_line(&mut self) -> Option<Vec<u8>> {
        while let Some(end) = self.buffered[self.searched..].iter().position(|byte| *byte == b'\n') {
            let rest = self.buffered.split_off(self.searched + end + 1);
            let line = std::mem::replace(&mut self.buffered, rest);
            self.searched = 0;
            if !line.trim_ascii().is_empty() {
                return Some(line);
            }
        }
        self.searched = self.buffered.len();
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_are_split_independently_of_how_the_data_is_chunked() {
        let text = b"{\"a\":1}\n\n{\"b\":2}\r\n{\"c\"";
        for piece in 1..text.len() {
            let (mut lines, mut all) = (LineBuffer::default(), Vec::new());
            for data in text.chunks(piece) {
                lines.push(data).expect("short");
                all.extend(std::iter::from_fn(|| lines.next_line()));
            }
            assert_eq!(all, [b"{\"a\":1}\n".to_vec(), b"{\"b\":2}\r\n".to_vec()]);
        }
    }

    #[test]
    fn data_beyond_the_maximum_message_length_is_rejected() {
        let mut lines = LineBuffer::default();
        assert!(lines.push(&vec![b' '; MAX_MESSAGE_BYTES]).is_ok());
        assert_eq!(lines.next_line(), None);
        assert!(lines.push(b" ").is_err());
    }
}
