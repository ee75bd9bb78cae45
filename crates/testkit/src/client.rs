//! Clients of both protocols, with a common form for requests and answers.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use glenwood_msgpack_rpc::frame::{Bounds, Frames};
use glenwood_msgpack_rpc::message::{self, Code, Message};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

use crate::http;
use crate::server::Protocol;

/// How a class tolerates repeats, as its clients know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effect {
    /// Any repeat is safe.
    Safe,
    /// A repeat is safe with the same idempotency key.
    Keyed,
    /// No repeat is safe.
    Unsafe,
}

/// A request.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Class.
    pub class: String,
    /// Path and query after the class: empty, or starting with `/` or `?`.
    pub path: String,
    /// Transaction id.
    pub txn: String,
    /// Idempotency key, for a keyed class.
    pub key: Option<String>,
    /// Tenant.
    pub org: Option<String>,
    /// User.
    pub user: Option<String>,
    /// How long the client waits, in milliseconds.
    pub remaining_ms: u64,
    /// Whether the request is safe to repeat.
    pub safe: bool,
    /// Whether the request is marked as a client's repeat. Only HTTP can express this.
    pub resent: bool,
    /// Body; empty for a safe request.
    pub body: Vec<u8>,
}

impl Ask {
    /// A request of a class with this effect. The key of a keyed request is derived from its id.
    pub fn new(class: &str, effect: Effect, txn: &str, remaining_ms: u64) -> Self {
        Self {
            class: class.to_string(),
            path: "/7?q=a%20b".to_string(),
            txn: txn.to_string(),
            key: (effect == Effect::Keyed).then(|| format!("key-{txn}")),
            org: Some("acme".to_string()),
            user: Some("u1".to_string()),
            remaining_ms,
            safe: effect == Effect::Safe,
            resent: false,
            body: if effect == Effect::Safe { Vec::new() } else { b"work \x00\xff\x93".to_vec() },
        }
    }

    /// Encodes the request as HTTP.
    pub fn http(&self) -> Vec<u8> {
        let method = if self.safe { "GET" } else { "POST" };
        let mut head = format!(
            "{method} /{}{} HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {}\r\nX-Remaining-Ms: {}\r\n",
            self.class, self.path, self.txn, self.remaining_ms
        );
        let headers = [("X-Org", &self.org), ("Idempotency-Key", &self.key)];
        for (name, value) in headers {
            if let Some(value) = value {
                head += &format!("{name}: {value}\r\n");
            }
        }
        if let Some(user) = &self.user {
            head += &format!("Cookie: user={user}\r\n");
        }
        if self.resent {
            head += "X-Resent: 1\r\n";
        }
        if !self.safe {
            head += &format!("Content-Length: {}\r\n", self.body.len());
        }
        let mut out = (head + "\r\n").into_bytes();
        out.extend_from_slice(&self.body);
        out
    }

    /// Encodes the request as a MessagePack-RPC call.
    pub fn rpc(&self, id: u32) -> BytesMut {
        let call = message::Call {
            class: self.class.clone(),
            path: self.path.clone(),
            txn: Some(self.txn.clone()),
            org: self.org.clone(),
            user: self.user.clone(),
            remaining_ms: Some(self.remaining_ms),
            key: self.key.clone(),
            body: Bytes::from(self.body.clone()),
        };
        let mut out = BytesMut::new();
        message::write_call(&mut out, id, &call);
        out
    }
}

/// An answer in terms that both protocols share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served, with the body of the server's answer.
    Served(Vec<u8>),
    /// Refused, with the time after which to retry in milliseconds, if given.
    Refused(Option<u64>),
    /// The request failed.
    Failed,
    /// The request is invalid.
    BadRequest,
    /// There is no such class.
    UnknownClass,
    /// The request is too large.
    TooLarge,
    /// The connection ended before an answer arrived.
    Lost,
}

impl Answer {
    /// Kind of the answer, without details.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Served(_) => "served",
            Self::Refused(_) => "refused",
            Self::Failed => "failed",
            Self::BadRequest => "bad request",
            Self::UnknownClass => "unknown class",
            Self::TooLarge => "too large",
            Self::Lost => "lost",
        }
    }

    /// Interprets an HTTP response.
    pub fn from_http(message: &http::Message) -> Self {
        match message.status() {
            200 => Self::Served(message.body.clone()),
            429 | 503 => {
                let seconds = message.header("retry-after").and_then(|v| v.parse::<f64>().ok());
                Self::Refused(seconds.map(|s| (s * 1000.0).round() as u64))
            }
            400 | 409 => Self::BadRequest,
            404 => Self::UnknownClass,
            413 | 431 => Self::TooLarge,
            _ => Self::Failed,
        }
    }

    /// Interprets a MessagePack-RPC reply.
    pub fn from_rpc(answer: &message::Answer) -> Self {
        match answer {
            Ok(body) => Self::Served(body.to_vec()),
            Err(error) => match error.code {
                Code::Refused | Code::TurnedAway => Self::Refused(error.retry_after_ms),
                Code::Failed => Self::Failed,
                Code::BadRequest => Self::BadRequest,
                Code::UnknownClass => Self::UnknownClass,
                Code::TooLarge => Self::TooLarge,
            },
        }
    }
}

/// A client connection that sends one request at a time.
pub enum Client {
    /// Over HTTP.
    Http(BufReader<TcpStream>),
    /// Over MessagePack-RPC.
    Rpc(RpcClient),
}

impl Client {
    /// Opens a connection.
    ///
    /// # Errors
    /// If the connection cannot be established.
    pub async fn connect(protocol: Protocol, to: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(match protocol {
            Protocol::Http => Self::Http(BufReader::new(stream)),
            Protocol::Rpc => Self::Rpc(RpcClient::new(stream)),
        })
    }

    /// Sends a request and waits for the answer, for up to ten seconds longer than the request's own time
    /// limit.
    pub async fn ask(&mut self, ask: &Ask) -> Answer {
        let time_limit = Duration::from_millis(ask.remaining_ms) + Duration::from_secs(10);
        let answer = tokio::time::timeout(time_limit, async {
            match self {
                Self::Http(stream) => {
                    stream.get_mut().write_all(&ask.http()).await?;
                    let message = http::read(stream).await?.ok_or(io::ErrorKind::UnexpectedEof)?;
                    Ok::<_, io::Error>(Answer::from_http(&message))
                }
                Self::Rpc(client) => {
                    let id = client.send(ask).await?;
                    client.answer_to(id).await
                }
            }
        });
        answer.await.unwrap_or(Ok(Answer::Lost)).unwrap_or(Answer::Lost)
    }
}

/// A MessagePack-RPC connection with any number of open calls.
pub struct RpcClient {
    stream: TcpStream,
    frames: Frames,
    next: u32,
    /// Answers that arrived before the caller asked for them.
    early: HashMap<u32, Answer>,
}

impl RpcClient {
    /// Uses a connected stream.
    pub fn new(stream: TcpStream) -> Self {
        let frames = Frames::new(Bounds::default());
        Self { stream, frames, next: 0, early: HashMap::new() }
    }

    /// Opens a connection. Must not be called from a thread of the runtime.
    ///
    /// # Panics
    /// If the connection cannot be established.
    pub fn connect_to(address: SocketAddr) -> Self {
        let stream = crate::wait("a connection", TcpStream::connect(address)).expect("cannot connect");
        Self::new(stream)
    }

    /// Sends a call and returns its id.
    ///
    /// # Errors
    /// If the connection has ended.
    pub async fn send(&mut self, ask: &Ask) -> io::Result<u32> {
        let id = self.next;
        self.next += 1;
        self.stream.write_all(&ask.rpc(id)).await?;
        Ok(id)
    }

    /// Sends raw bytes.
    ///
    /// # Errors
    /// If the connection has ended.
    pub async fn send_raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Returns the next answer, for whichever call it is.
    ///
    /// # Errors
    /// If the connection ends first, or a message arrives that is not a valid reply.
    pub async fn next(&mut self) -> io::Result<(u32, Answer)> {
        let invalid = |reason: String| io::Error::new(io::ErrorKind::InvalidData, reason);
        loop {
            if let Some(frame) = self.frames.poll().map_err(|e| invalid(e.to_string()))? {
                return match message::read(&frame) {
                    Ok(Message::Reply(id, answer)) => Ok((id, Answer::from_rpc(&answer))),
                    other => Err(invalid(format!("{other:?}"))),
                };
            }
            let mut chunk = [0; 4096];
            let n = self.stream.read(&mut chunk).await?;
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.frames.push(&chunk[..n]);
        }
    }

    /// Returns the answer to one call.
    ///
    /// # Errors
    /// As for [`RpcClient::next`].
    pub async fn answer_to(&mut self, id: u32) -> io::Result<Answer> {
        if let Some(answer) = self.early.remove(&id) {
            return Ok(answer);
        }
        loop {
            let (other, answer) = self.next().await?;
            if other == id {
                return Ok(answer);
            }
            self.early.insert(other, answer);
        }
    }

    /// Reads all answers until the connection ends.
    pub async fn read_to_end(&mut self) -> Vec<(u32, Answer)> {
        let mut all = Vec::new();
        while let Ok(next) = self.next().await {
            all.push(next);
        }
        all
    }
}

/// Sends one request on a new connection and returns the answer and the time that it took. Must not be called
/// from a thread of the runtime.
///
/// # Panics
/// If the node cannot be reached.
pub fn ask_once(protocol: Protocol, to: SocketAddr, ask: &Ask) -> (Answer, Duration) {
    crate::wait("an answer", async {
        let mut client = Client::connect(protocol, to).await.expect("cannot connect");
        let start = Instant::now();
        let answer = client.ask(ask).await;
        (answer, start.elapsed())
    })
}
