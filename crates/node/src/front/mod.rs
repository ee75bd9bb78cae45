//! Accepts clients' connections and determines the protocol of each.

mod answer_body;
mod eviction;
#[cfg(test)]
mod fixture;
pub mod http1;
pub mod msgpack;
pub mod table;

use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::backend::Descriptors;
use crate::errno::{accept_failure, AcceptFailure};
use crate::hub::Hub;
use crate::log;
use crate::sock::TrackedSocket;
use table::{Client, Clients};

/// How long a closing listener goes on accepting from its backlog.
const BACKLOG_DRAIN_TIMEOUT: Duration = Duration::from_millis(100);
/// The shortest and the longest delay after a failed accept for lack of resources. Kept short because
/// connections in the backlog may have little time left.
const ACCEPT_BACKOFF: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(20));
/// How long an apparently empty backlog is waited on before it counts as empty.
const EMPTY_BACKLOG_WAIT: Duration = Duration::from_millis(20);
/// The shortest interval between log lines about failing accepts.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// The protocols that a listener accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerProtocol {
    /// HTTP/1.1.
    Http1,
    /// MessagePack-RPC.
    Msgpack,
    /// Either, determined by the first byte of each connection.
    Either,
}

/// The fronts for all protocols, and the connections they share.
pub struct Fronts {
    /// The connections of clients.
    pub clients: Rc<Clients>,
    /// Notified when listeners are to stop accepting; what their backlogs hold is still accepted.
    pub stop_accepting: Notify,
    http1: Rc<http1::Front>,
    msgpack: Rc<msgpack::Front>,
    descriptors: Rc<Descriptors>,
}

impl Fronts {
    /// Creates the fronts without connections. `descriptors` are those of the backends, which are evicted
    /// first when the process runs out of descriptors.
    pub fn new(hub: &Rc<Hub>, descriptors: Rc<Descriptors>) -> Rc<Self> {
        let clients = Clients::new(hub.clone());
        let http1 = http1::Front::new(hub.clone(), clients.clone());
        let msgpack = msgpack::Front::new(hub.clone(), clients.clone());
        Rc::new(Self { clients, stop_accepting: Notify::new(), http1, msgpack, descriptors })
    }

    /// Accepts connections; never returns.
    pub async fn accept(self: &Rc<Self>, listener: &TcpListener, protocol: ListenerProtocol) {
        let mut errors = AcceptErrors::default();
        loop {
            self.clients.wait_for_room().await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    errors.reset();
                    self.serve(stream, protocol);
                }
                Err(error) => {
                    let exhausted = errors.record(&error) == AcceptFailure::Descriptors
                        && are_descriptors_exhausted(listener);
                    if exhausted && !self.descriptors.evict() {
                        self.clients.evict();
                    }
                    errors.wait().await;
                }
            }
        }
    }

    /// Returns whether another process takes over the backlogs.
    pub fn is_handed_over(&self) -> bool {
        self.clients.is_handed_over()
    }

    /// Accepts what the backlog still holds, for a bounded time: under load new connections keep being added
    /// to it.
    pub async fn drain_backlog(self: &Rc<Self>, listener: &TcpListener, protocol: ListenerProtocol) {
        let (began, mut errors) = (Instant::now(), AcceptErrors::default());
        while began.elapsed() < BACKLOG_DRAIN_TIMEOUT {
            match timeout(EMPTY_BACKLOG_WAIT, listener.accept()).await {
                Ok(Ok((stream, _))) => {
                    errors.reset();
                    self.serve(stream, protocol);
                }
                // A connection that can't be accepted blocks those queued behind it, which still must be
                // answered.
                Ok(Err(error)) => {
                    errors.record(&error);
                    errors.wait().await;
                }
                Err(_) => return,
            }
        }
    }

    fn serve(self: &Rc<Self>, stream: TcpStream, protocol: ListenerProtocol) {
        let Some((number, client)) = self.clients.add(stream) else { return };
        let fronts = self.clone();
        tokio::task::spawn_local(async move {
            match protocol {
                ListenerProtocol::Http1 => fronts.http1.serve_client(client).await,
                ListenerProtocol::Msgpack => fronts.msgpack.serve_client(client).await,
                ListenerProtocol::Either => match first_byte(&client).await {
                    // Every MessagePack array starts with a byte in this range, and no HTTP method does.
                    Some(0x80..) => fronts.msgpack.serve_client(client).await,
                    Some(_) => fronts.http1.serve_client(client).await,
                    None => {}
                },
            }
            fronts.clients.remove(number);
        });
    }
}

/// Backoff and rate-limited logging for failed accepts.
#[derive(Default)]
struct AcceptErrors {
    /// The delay before the next accept; zero if it may be tried at once.
    delay: Duration,
    last_logged: Option<Instant>,
}

impl AcceptErrors {
    /// Clears the backoff after a successful accept.
    fn reset(&mut self) {
        self.delay = Duration::ZERO;
    }

    /// Records a failed accept and classifies it.
    fn record(&mut self, error: &std::io::Error) -> AcceptFailure {
        if self.last_logged.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
            self.last_logged = Some(Instant::now());
            log::write_line(format!("accept: {error}"));
        }
        let failure = accept_failure(error);
        self.delay = match failure {
            AcceptFailure::Connection => Duration::ZERO,
            AcceptFailure::Descriptors | AcceptFailure::Machine => {
                (2 * self.delay).clamp(ACCEPT_BACKOFF.0, ACCEPT_BACKOFF.1)
            }
        };
        failure
    }

    async fn wait(&self) {
        if self.delay.is_zero() {
            // Let other tasks run, however many connections fail in a row.
            tokio::task::yield_now().await;
        } else {
            tokio::time::sleep(self.delay).await;
        }
    }
}

/// Returns whether the process has no descriptor left. Closing connections because of a momentary shortage
/// would lose the requests on them, so the kernel is asked a second time.
fn are_descriptors_exhausted(listener: &TcpListener) -> bool {
    listener.as_fd().try_clone_to_owned().is_err()
}

/// Peeks at the first byte of a connection without consuming it; `None` if the connection ends without one.
async fn first_byte(client: &Client) -> Option<u8> {
    let sock: &TrackedSocket = &client.sock;
    tokio::select! {
        first = sock.peek() => first,
        () = client.close.notified() => None,
    }
}
