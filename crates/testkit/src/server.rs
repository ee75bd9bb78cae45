//! Test servers of both protocols that follow a script.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use glenwood_msgpack_rpc::frame::Bounds;
use glenwood_msgpack_rpc::message::{write_answer, Answer, Code, ErrorReply};
use glenwood_msgpack_rpc::server::{Connection, Event, Limits};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::task::JoinHandle;

use crate::http;
use crate::runtime;
use crate::script::{Ledger, ReceivedRequest, Script, Step};

/// Protocol that a server speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Protocol {
    /// HTTP/1.1.
    Http,
    /// MessagePack-RPC.
    Rpc,
}

impl Protocol {
    /// Both protocols.
    pub const BOTH: [Self; 2] = [Self::Http, Self::Rpc];

    /// Name of the protocol.
    pub fn name(self) -> &'static str {
        match self {
            Self::Http => "http",
            Self::Rpc => "rpc",
        }
    }
}

/// What identifies a server.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name.
    pub name: String,
    /// Cell: the servers of a cell recognise one another's repeats of a key and execute it once.
    pub cell: u64,
    /// Protocol.
    pub protocol: Protocol,
}

/// Body of the answer to a served request, made of what the server received.
pub fn served_body(seen: &ReceivedRequest) -> Vec<u8> {
    let mut body = format!("{} {}{}", seen.txn, seen.class, seen.path).into_bytes();
    body.push(b' ');
    body.extend_from_slice(&seen.body);
    body
}

/// What a connection needs to handle requests.
#[derive(Clone)]
struct Worker {
    identity: Identity,
    script: Script,
    ledger: Ledger,
    open: Arc<AtomicUsize>,
}

impl Worker {
    /// Records an attempt, looks up what the script does with it, and executes the request if the script says
    /// so.
    fn process(&self, mut seen: ReceivedRequest) -> (ReceivedRequest, Step) {
        seen.earlier_attempts = self.ledger.record_attempt(&seen.txn);
        let step = (self.script)(&seen);
        let executed = match step {
            Step::Error { executed } => executed,
            Step::TurnAway | Step::Reject | Step::DropBefore => false,
            Step::Serve
            | Step::ServeAfter(_)
            | Step::Hold
            | Step::DropAfter
            | Step::DropMidway
            | Step::Garble
            | Step::Reorder(_) => true,
        };
        if executed {
            self.ledger.execute(&seen, self.identity.cell);
        }
        (seen, step)
    }
}

/// A running server. Dropping it ends the server and all its connections.
pub struct StandIn {
    /// Address it listens on.
    pub address: SocketAddr,
    /// What identifies it.
    pub identity: Identity,
    open: Arc<AtomicUsize>,
    accepting: JoinHandle<()>,
    conns: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

impl StandIn {
    /// Starts a server on a free port of 127.0.0.1.
    ///
    /// # Panics
    /// If no port is free.
    pub fn start(identity: Identity, script: Script, ledger: Ledger) -> Self {
        Self::start_at("127.0.0.1:0".parse().expect("a valid address"), identity, script, ledger)
    }

    /// Starts a server at an address.
    ///
    /// # Panics
    /// If the address is not available.
    pub fn start_at(address: SocketAddr, identity: Identity, script: Script, ledger: Ledger) -> Self {
        let listener = crate::wait("binding a listener", async {
            let socket = tokio::net::TcpSocket::new_v4()?;
            socket.set_reuseaddr(true)?;
            socket.bind(address)?;
            socket.listen(1024)
        });
        let listener = listener.expect("cannot bind the listener");
        let address = listener.local_addr().expect("a bound socket has an address");
        let open = Arc::new(AtomicUsize::new(0));
        let conns = Arc::new(Mutex::new(Vec::new()));
        let worker = Worker { identity: identity.clone(), script, ledger, open: open.clone() };
        let accepting = runtime().spawn(accept(listener, worker, conns.clone()));
        Self { address, identity, open, accepting, conns }
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Ends all connections and keeps listening.
    pub fn break_connections(&self) {
        for conn in self.conns.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
            conn.abort();
        }
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        self.accepting.abort();
        self.break_connections();
    }
}

async fn accept(listener: TcpListener, worker: Worker, conns: Arc<Mutex<Vec<JoinHandle<()>>>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let worker = worker.clone();
        let conn = tokio::spawn(async move {
            struct Counted(Arc<AtomicUsize>);
            impl Drop for Counted {
                fn drop(&mut self) {
                    self.0.fetch_sub(1, Ordering::SeqCst);
                }
            }
            worker.open.fetch_add(1, Ordering::SeqCst);
            let _counted = Counted(worker.open.clone());
            let _ = stream.set_nodelay(true);
            // An I/O error only ends this connection.
            let _ = match worker.identity.protocol {
                Protocol::Http => serve_http(stream, worker).await,
                Protocol::Rpc => serve_rpc(stream, worker).await,
            };
        });
        let mut conns = conns.lock().unwrap_or_else(PoisonError::into_inner);
        conns.retain(|c: &JoinHandle<()>| !c.is_finished());
        conns.push(conn);
    }
}

/// Shuts the connection down after the written data.
async fn shut_down(mut stream: TcpStream) -> std::io::Result<()> {
    stream.shutdown().await
}

async fn serve_http(stream: TcpStream, worker: Worker) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    while let Some(message) = http::read(&mut stream).await? {
        if message.target() == "/health" {
            worker.ledger.record_probe();
            stream.get_mut().write_all(&http::answer(200, "", b"")).await?;
            continue;
        }
        let header_text = |name: &str| message.header(name).map(str::to_string);
        let request_target = message.target().trim_start_matches('/');
        let class_end = request_target.find(['/', '?']).unwrap_or(request_target.len());
        let user = header_text("cookie").and_then(|c| {
            c.split(';').find_map(|pair| pair.trim().strip_prefix("user=").map(str::to_string))
        });
        let seen = ReceivedRequest {
            server: worker.identity.name.clone(),
            class: request_target[..class_end].to_string(),
            path: request_target[class_end..].to_string(),
            txn: header_text("x-txn").unwrap_or_default(),
            key: header_text("idempotency-key"),
            org: header_text("x-org"),
            user,
            remaining_ms: header_text("x-remaining-ms").and_then(|v| v.parse().ok()),
            body: message.body.clone(),
            earlier_attempts: 0,
        };
        let (seen, step) = worker.process(seen);
        let served = || http::answer(200, "", &served_body(&seen));
        let answer = match step {
            Step::Serve => served(),
            // HTTP has one request at a time on a connection, so no other answer can come first.
            Step::ServeAfter(span) | Step::Reorder(span) => {
                // If the client disconnects in the meantime, the answer goes nowhere.
                tokio::time::sleep(span).await;
                served()
            }
            Step::Error { .. } => http::answer(500, "", b"an error"),
            Step::TurnAway => http::answer(503, "X-Turned-Away: 1\r\n", b""),
            Step::Reject => http::answer(400, "", b""),
            Step::Garble => b"HTP/banana\r\n\r\n".to_vec(),
            Step::Hold => {
                let mut byte = [0];
                while stream.read(&mut byte).await? > 0 {}
                return Ok(());
            }
            Step::DropBefore | Step::DropAfter => return shut_down(stream.into_inner()).await,
            Step::DropMidway => {
                let full = served();
                stream.get_mut().write_all(&full[..full.len() - 2]).await?;
                return shut_down(stream.into_inner()).await;
            }
        };
        stream.get_mut().write_all(&answer).await?;
        if step == Step::Garble {
            return shut_down(stream.into_inner()).await;
        }
    }
    Ok(())
}

/// Instruction for the writer task of a connection.
enum WriteCommand {
    Bytes(BytesMut),
    /// Writes these bytes after the next `Bytes`.
    AfterNext(BytesMut),
    /// Writes these bytes and ends the connection.
    Last(BytesMut),
}

async fn write_out(
    mut write_half: OwnedWriteHalf,
    mut commands: mpsc::UnboundedReceiver<WriteCommand>,
    closed: Arc<Notify>,
) {
    let mut deferred: Vec<BytesMut> = Vec::new();
    while let Some(next) = commands.recv().await {
        let (bytes, last) = match next {
            WriteCommand::AfterNext(bytes) => {
                deferred.push(bytes);
                continue;
            }
            WriteCommand::Bytes(bytes) => (bytes, false),
            WriteCommand::Last(bytes) => (bytes, true),
        };
        let mut result = write_half.write_all(&bytes).await;
        if !last {
            for bytes in deferred.drain(..) {
                result = result.and(write_half.write_all(&bytes).await);
            }
        }
        if last || result.is_err() {
            let _ = write_half.shutdown().await;
            break;
        }
    }
    closed.notify_one();
}

async fn serve_rpc(stream: TcpStream, worker: Worker) -> std::io::Result<()> {
    let (mut read_half, write_half) = stream.into_split();
    let (out, command_receiver) = mpsc::unbounded_channel();
    let closed = Arc::new(Notify::new());
    let writer = tokio::spawn(write_out(write_half, command_receiver, closed.clone()));
    let limits = Limits { open: usize::MAX, unsent: usize::MAX, bounds: Bounds::default() };
    let mut connection = Connection::new(limits);
    let mut chunk = vec![0; 16 * 1024];
    'conn: loop {
        let n = tokio::select! {
            n = read_half.read(&mut chunk) => n?,
            () = closed.notified() => break,
        };
        if n == 0 {
            break;
        }
        connection.received(&chunk[..n]);
        while let Some(event) = connection.poll() {
            let Event::Call { id, call } = event else { break 'conn };
            // Releases the call id in the state machine right away, so that it may be reused. The real answer
            // is written by the writer task.
            connection.answer(id, &Ok(Bytes::new()));
            connection.wrote(usize::MAX);
            if call.class == "health" {
                worker.ledger.record_probe();
                let _ = out.send(WriteCommand::Bytes(encode_answer(id, &Ok(Bytes::new()))));
                continue;
            }
            let seen = ReceivedRequest {
                server: worker.identity.name.clone(),
                class: call.class,
                path: call.path,
                txn: call.txn.unwrap_or_default(),
                key: call.key,
                org: call.org,
                user: call.user,
                remaining_ms: call.remaining_ms,
                body: call.body.to_vec(),
                earlier_attempts: 0,
            };
            let (seen, step) = worker.process(seen);
            reply(&out, id, &seen, step);
            if matches!(step, Step::DropBefore | Step::DropAfter | Step::DropMidway) {
                // Requests that follow on this connection are neither read nor executed.
                closed.notified().await;
                break 'conn;
            }
        }
    }
    writer.abort();
    Ok(())
}

fn encode_answer(id: u32, answer: &Answer) -> BytesMut {
    let mut bytes = BytesMut::new();
    write_answer(&mut bytes, id, answer);
    bytes
}

fn reply(out: &mpsc::UnboundedSender<WriteCommand>, id: u32, seen: &ReceivedRequest, step: Step) {
    let served = encode_answer(id, &Ok(Bytes::from(served_body(seen))));
    let error = |code| encode_answer(id, &Err(ErrorReply::new(code, "as scripted")));
    let send_later = |span: Duration, what: WriteCommand| {
        let out = out.clone();
        tokio::spawn(async move {
            tokio::time::sleep(span).await;
            let _ = out.send(what);
        });
    };
    // Sending fails only after the writer has ended and closed the connection.
    let send_now = |what: WriteCommand| drop(out.send(what));
    match step {
        Step::Serve => send_now(WriteCommand::Bytes(served)),
        Step::ServeAfter(span) => send_later(span, WriteCommand::Bytes(served)),
        Step::Error { .. } => send_now(WriteCommand::Bytes(error(Code::Failed))),
        Step::TurnAway => send_now(WriteCommand::Bytes(error(Code::TurnedAway))),
        Step::Reject => send_now(WriteCommand::Bytes(error(Code::BadRequest))),
        Step::Hold => {}
        Step::DropBefore | Step::DropAfter => send_now(WriteCommand::Last(BytesMut::new())),
        Step::DropMidway => {
            let half = BytesMut::from(&served[..served.len() - 2]);
            send_now(WriteCommand::Last(half));
        }
        // A result that is neither bin nor nil, which is invalid.
        Step::Garble => send_now(WriteCommand::Bytes(BytesMut::from(
            &[&[0x94, 0x01, 0xce][..], &id.to_be_bytes(), &[0xc0, 0xa3, b'b', b'a', b'd']].concat()[..],
        ))),
        Step::Reorder(span) => {
            send_now(WriteCommand::AfterNext(served));
            send_later(span, WriteCommand::Bytes(BytesMut::new()));
        }
    }
}
