//! One relay for all links of a rig: datagrams between nodes, and connections to servers and discovery.
//! Traffic between two ends is subject to the faults that are active on that link at that moment.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::runtime;

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum End {
    /// A node, by number.
    Node(usize),
    /// A server, by number.
    Server(usize),
    /// The discovery service.
    Discovery,
}

/// What goes wrong on a link, in one direction.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Impairment {
    /// Nothing passes. Open connections stay open without traffic, and so do new ones.
    Cut,
    /// Connections, existing and new, are reset; datagrams are lost.
    Reset,
    /// This percentage of datagrams is lost.
    Loss(u8),
    /// This percentage of datagrams is delivered twice.
    #[serde(rename = "Doubled")]
    Duplicated(u8),
    /// All traffic is delayed by the first value in milliseconds, and datagrams by a random extra of up to
    /// the second, so that they are reordered.
    Delay(u64, u64),
}

/// An impairment on all links from some ends to some others; an empty list means all ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LinkImpairment {
    /// Sending ends.
    pub from: Vec<End>,
    /// Receiving ends.
    pub to: Vec<End>,
    /// What goes wrong.
    #[serde(rename = "trouble")]
    pub impairment: Impairment,
}

impl LinkImpairment {
    fn covers(&self, from: End, to: End) -> bool {
        let matches = |ends: &[End], end: End| ends.is_empty() || ends.contains(&end);
        matches(&self.from, from) && matches(&self.to, to)
    }
}

/// The combined impairments that apply to a link at the moment.
#[derive(Clone, Copy, Debug, Default)]
struct Conditions {
    cut: bool,
    reset: bool,
    loss: u8,
    duplicates: u8,
    delay: (u64, u64),
}

struct LinkState {
    impairments: Vec<LinkImpairment>,
    random: fastrand::Rng,
}

/// Traffic counters.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Datagrams received.
    pub datagrams: AtomicU64,
    /// Datagrams forwarded.
    pub forwarded: AtomicU64,
    /// Datagrams dropped because their source socket belongs to no known node.
    pub unknown_sources: AtomicU64,
    /// Connections accepted.
    pub connections: AtomicU64,
}

/// Maps the address of a node's own socket to the node's number and to the relay socket that represents it
/// towards other nodes.
type Senders = HashMap<SocketAddr, (usize, Arc<UdpSocket>)>;

/// The state of all links, and counters of their traffic.
#[derive(Clone)]
pub struct Net {
    state: Arc<Mutex<LinkState>>,
    /// Notified of each change.
    changed: watch::Sender<u64>,
    /// Nodes by the addresses of their own sockets.
    senders: Arc<Mutex<Senders>>,
    /// Traffic counters.
    pub traffic: Arc<Traffic>,
}

fn lock<T>(what: &Mutex<T>) -> MutexGuard<'_, T> {
    what.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Net {
    /// Links without impairments; `seed` drives the random choices.
    pub fn new(seed: u64) -> Self {
        let random = fastrand::Rng::with_seed(seed);
        let state = LinkState { impairments: Vec::new(), random };
        Self {
            state: Arc::new(Mutex::new(state)),
            changed: watch::channel(0).0,
            senders: Arc::default(),
            traffic: Arc::default(),
        }
    }

    /// Adds an impairment.
    pub fn impair(&self, link_impairment: LinkImpairment) {
        lock(&self.state).impairments.push(link_impairment);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Removes all impairments.
    pub fn heal(&self) {
        lock(&self.state).impairments.clear();
        self.changed.send_modify(|n| *n += 1);
    }

    fn conditions(&self, from: End, to: End) -> Conditions {
        let mut conditions = Conditions::default();
        for active in lock(&self.state).impairments.iter().filter(|active| active.covers(from, to)) {
            match active.impairment {
                Impairment::Cut => conditions.cut = true,
                Impairment::Reset => conditions.reset = true,
                Impairment::Loss(percent) => conditions.loss = conditions.loss.max(percent),
                Impairment::Duplicated(percent) => conditions.duplicates = conditions.duplicates.max(percent),
                Impairment::Delay(base, jitter) => conditions.delay = (base, jitter),
            }
        }
        conditions
    }

    fn happens(&self, percent: u8) -> bool {
        percent > 0 && lock(&self.state).random.u8(0..100) < percent
    }

    fn random_delay(&self, (base, jitter): (u64, u64)) -> Duration {
        Duration::from_millis(base + if jitter > 0 { lock(&self.state).random.u64(0..=jitter) } else { 0 })
    }

    // ---- Datagrams ----

    /// Opens the address by which all others know a node's socket. Datagrams sent there are forwarded to the
    /// node's current socket once that is set with [`DatagramRelay::set_node_address`].
    ///
    /// # Panics
    /// If no port is free.
    pub fn relay_datagrams(&self, node: usize) -> DatagramRelay {
        let socket = crate::wait("binding a socket", UdpSocket::bind("127.0.0.1:0"))
            .expect("cannot bind to a free port");
        let address = socket.local_addr().expect("a bound socket has an address");
        let relay = DatagramRelay {
            node,
            address,
            socket: Arc::new(socket),
            node_address: Arc::default(),
            net: self.clone(),
        };
        let task = relay.clone();
        runtime().spawn(async move { task.run().await });
        relay
    }
}

/// Relays datagrams to one socket of a node, at an address that stays the same over restarts of the node.
#[derive(Clone)]
pub struct DatagramRelay {
    node: usize,
    /// The address that other nodes use.
    pub address: SocketAddr,
    socket: Arc<UdpSocket>,
    node_address: Arc<Mutex<Option<SocketAddr>>>,
    net: Net,
}

impl DatagramRelay {
    /// Sets the current address of the node's own socket.
    pub fn set_node_address(&self, address: SocketAddr) {
        let previous = lock(&self.node_address).replace(address);
        let mut senders = lock(&self.net.senders);
        previous
            .filter(|previous| *previous != address)
            .into_iter()
            .for_each(|previous| drop(senders.remove(&previous)));
        senders.insert(address, (self.node, self.socket.clone()));
    }

    async fn run(self) {
        let mut bytes = vec![0; 65536];
        loop {
            let Ok((length, source)) = self.socket.recv_from(&mut bytes).await else { continue };
            self.net.traffic.datagrams.fetch_add(1, Ordering::Relaxed);
            // The receiver sees the sender's stable address as the source.
            let Some((from, sender)) = lock(&self.net.senders).get(&source).cloned() else {
                self.net.traffic.unknown_sources.fetch_add(1, Ordering::Relaxed);
                continue;
            };
            let conditions = self.net.conditions(End::Node(from), End::Node(self.node));
            if conditions.cut || conditions.reset || self.net.happens(conditions.loss) {
                continue;
            }
            for _ in 0..=usize::from(self.net.happens(conditions.duplicates)) {
                self.forward(&sender, &bytes[..length], conditions).await;
            }
        }
    }

    async fn forward(&self, sender: &Arc<UdpSocket>, bytes: &[u8], conditions: Conditions) {
        let Some(to) = *lock(&self.node_address) else { return };
        self.net.traffic.forwarded.fetch_add(1, Ordering::Relaxed);
        if conditions.delay == (0, 0) {
            let _ = sender.send_to(bytes, to).await;
            return;
        }
        let (sender, bytes, wait) = (sender.clone(), bytes.to_vec(), self.net.random_delay(conditions.delay));
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            let _ = sender.send_to(&bytes, to).await;
        });
    }
}

// ---- Connections ----

impl Net {
    /// Opens an address for connections from one end to another and forwards them to `target`.
    ///
    /// # Panics
    /// If no port is free.
    pub fn link(&self, from: End, to: End, target: SocketAddr) -> SocketAddr {
        let listener = crate::wait("binding a listener", TcpListener::bind("127.0.0.1:0"))
            .expect("cannot bind to a free port");
        let address = listener.local_addr().expect("a bound socket has an address");
        let net = self.clone();
        runtime().spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let net = net.clone();
                tokio::spawn(async move { net.connect(stream, from, to, target).await });
            }
        });
        address
    }

    async fn connect(&self, client: TcpStream, from: End, to: End, target: SocketAddr) {
        self.traffic.connections.fetch_add(1, Ordering::Relaxed);
        let mut changed = self.changed.subscribe();
        while self.conditions(from, to).cut {
            if changed.changed().await.is_err() {
                return;
            }
        }
        if self.conditions(from, to).reset {
            return reset(client);
        }
        let Ok(server) = TcpStream::connect(target).await else { return reset(client) };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (client, server) = (client.into_split(), server.into_split());
        let upstream = self.copy(client.0, server.1, from, to);
        let downstream = self.copy(server.0, client.1, to, from);
        let (upstream, downstream) = tokio::join!(upstream, downstream);
        for end in [upstream, downstream].into_iter().flatten() {
            drop(end);
        }
    }

    /// Copies one direction of a connection, as far as the impairments allow. Returns the writing half at end
    /// of file, and `None` when the connection breaks or is reset.
    async fn copy(
        &self,
        mut read: OwnedReadHalf,
        mut write: OwnedWriteHalf,
        from: End,
        to: End,
    ) -> Option<OwnedWriteHalf> {
        let (mut chunk, mut changed) = (vec![0; 16 * 1024], self.changed.subscribe());
        loop {
            changed.mark_unchanged();
            let conditions = self.conditions(from, to);
            if conditions.reset {
                // Dropping a socket with unread data resets the connection.
                return None;
            }
            if conditions.cut {
                let _ = changed.changed().await;
                continue;
            }
            let n = tokio::select! {
                n = read.read(&mut chunk) => n,
                _ = changed.changed() => continue,
            };
            let n = match n {
                Ok(0) => {
                    let _ = write.shutdown().await;
                    return Some(write);
                }
                Ok(n) => n,
                Err(_) => return None,
            };
            // The data has left the sender, but is held back while the link is cut, and is lost if the
            // connection is reset in the meantime.
            let read_at = Instant::now();
            while self.conditions(from, to).cut && !self.conditions(from, to).reset {
                let _ = changed.changed().await;
            }
            if self.conditions(from, to).reset {
                return None;
            }
            tokio::time::sleep_until(read_at + Duration::from_millis(conditions.delay.0)).await;
            if write.write_all(&chunk[..n]).await.is_err() {
                return None;
            }
        }
    }
}

/// Closes a connection with a reset.
fn reset(stream: TcpStream) {
    let _ = stream.set_zero_linger();
}
