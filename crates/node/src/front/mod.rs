//! The way in for clients: accepting connections, and telling apart what they speak.

pub mod http1;
pub mod msgpack;
pub mod table;

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::backend::Descriptors;
use crate::hub::Hub;
use crate::log;
use crate::sock::Sock;
use table::{Client, Clients};

/// How long the backlog is emptied at the end.
const BACKLOG_WITHIN: Duration = Duration::from_millis(100);
/// How long accepting rests when descriptors have run out.
const EXHAUSTED: Duration = Duration::from_millis(20);
/// How long the log keeps quiet of the same trouble.
const QUIET: Duration = Duration::from_secs(5);

/// What the clients of a listener speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Speaks {
    /// HTTP/1.1.
    Http1,
    /// MessagePack-RPC.
    Msgpack,
    /// Either: the first byte tells.
    Either,
}

/// All ways in.
pub struct Fronts {
    /// The connections of clients.
    pub clients: Rc<Clients>,
    /// Told when no more connections are accepted, but for those that the backlogs still hold.
    pub no_more: Notify,
    http1: Rc<http1::Front>,
    msgpack: Rc<msgpack::Front>,
    descriptors: Rc<Descriptors>,
}

impl Fronts {
    /// No connections yet. `descriptors` are those of the servers' side, which give way where there are none left.
    pub fn new(hub: &Rc<Hub>, descriptors: Rc<Descriptors>) -> Rc<Self> {
        let clients = Clients::new(hub.clone());
        let http1 = http1::Front::new(hub.clone(), clients.clone());
        let msgpack = msgpack::Front::new(hub.clone(), clients.clone());
        Rc::new(Self { clients, no_more: Notify::new(), http1, msgpack, descriptors })
    }

    /// Accepts connections; never ends.
    pub async fn accept(self: &Rc<Self>, listener: &TcpListener, speaks: Speaks) {
        let mut logged: Option<Instant> = None;
        loop {
            self.clients.room().await;
            match listener.accept().await {
                Ok((stream, _)) => self.serve(stream, speaks),
                Err(error) => {
                    // Out of descriptors, as a rule: what is idle makes room, and the backlog waits.
                    if logged.is_none_or(|at| at.elapsed() >= QUIET) {
                        logged = Some(Instant::now());
                        log::line(format!("accept: {error}"));
                    }
                    if !self.descriptors.evict() {
                        self.clients.evict();
                    }
                    tokio::time::sleep(EXHAUSTED).await;
                }
            }
        }
    }

    /// Does another process take what the backlogs hold?
    pub fn left_to_another(&self) -> bool {
        self.clients.left_to_another()
    }

    /// Accepts what the backlog still holds, but not without end what a crowd goes on adding to it.
    pub async fn empty_backlog(self: &Rc<Self>, listener: &TcpListener, speaks: Speaks) {
        let began = Instant::now();
        while began.elapsed() < BACKLOG_WITHIN {
            let Ok(Ok((stream, _))) = timeout(EXHAUSTED, listener.accept()).await else { return };
            self.serve(stream, speaks);
        }
    }

    fn serve(self: &Rc<Self>, stream: TcpStream, speaks: Speaks) {
        let Some((number, client)) = self.clients.came(stream) else { return };
        let fronts = self.clone();
        tokio::task::spawn_local(async move {
            match speaks {
                Speaks::Http1 => fronts.http1.converse(client).await,
                Speaks::Msgpack => fronts.msgpack.converse(client).await,
                Speaks::Either => match first_byte(&client).await {
                    // No HTTP method begins with one of these, and every MessagePack array does.
                    Some(0x80..) => fronts.msgpack.converse(client).await,
                    Some(_) => fronts.http1.converse(client).await,
                    None => {}
                },
            }
            fronts.clients.left(number);
        });
    }
}

/// The first byte of a connection, which stays to be read; `None` where it ends without one.
async fn first_byte(client: &Client) -> Option<u8> {
    let sock: &Sock = &client.sock;
    tokio::select! {
        first = sock.peek() => first,
        () = client.close.notified() => None,
    }
}
