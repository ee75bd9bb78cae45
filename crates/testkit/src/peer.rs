//! A MessagePack-RPC server whose every answer is given by the test, byte by byte if needed.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::BytesMut;
use glenwood_msgpack_rpc::frame::{Bounds, Frames};
use glenwood_msgpack_rpc::message::{self, write_answer, Answer, Call, Message};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::{runtime, until};

/// A received call.
#[derive(Clone, Debug)]
pub struct Came {
    /// Index of its connection, from 0.
    pub conn: usize,
    /// Call id on that connection.
    pub id: u32,
    /// The call.
    pub call: Call,
}

struct Conn {
    to: Option<OwnedWriteHalf>,
    reading: JoinHandle<()>,
    /// Whether the other side has closed the connection.
    closed: bool,
    /// Bytes of all reads that contained calls; 0 for a connection that only carried probes.
    bytes: usize,
}

#[derive(Default)]
struct State {
    conns: Vec<Conn>,
    came: VecDeque<Came>,
    probes: usize,
    ids: Vec<(usize, u32)>,
}

/// A server that holds calls until the test answers them.
pub struct Peer {
    /// Address it listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    accepting: JoinHandle<()>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Peer {
    /// Starts a server. It answers health probes by itself.
    ///
    /// # Panics
    /// If no port is free.
    pub fn start() -> Self {
        let listener = crate::wait("a listener", TcpListener::bind("127.0.0.1:0")).expect("a free port");
        let address = listener.local_addr().expect("bound");
        let state: Arc<Mutex<State>> = Arc::default();
        let held = state.clone();
        let accepting = runtime().spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                take(&held, stream);
            }
        });
        Self { address, state, accepting }
    }

    /// Waits for the next call.
    pub fn call(&self) -> Came {
        let mut next = None;
        until("a call", || {
            next = lock(&self.state).came.pop_front();
            next.is_some()
        });
        next.expect("found")
    }

    /// Waits for this many calls, in the order in which they arrive.
    pub fn calls(&self, count: usize) -> Vec<Came> {
        (0..count).map(|_| self.call()).collect()
    }

    /// Number of calls received but not yet taken by the test.
    pub fn waiting(&self) -> usize {
        lock(&self.state).came.len()
    }

    /// Number of calls received in all, and whether any call id was used twice on a connection.
    pub fn ids(&self) -> (usize, bool) {
        let mut ids = lock(&self.state).ids.clone();
        let all = ids.len();
        ids.sort_unstable();
        ids.dedup();
        (all, ids.len() < all)
    }

    /// Number of connections ever opened, without those that only carried probes.
    pub fn connections(&self) -> usize {
        lock(&self.state).conns.iter().filter(|c| c.bytes > 0).count()
    }

    /// Number of probes received.
    pub fn probes(&self) -> usize {
        lock(&self.state).probes
    }

    /// Whether the node has closed this connection.
    pub fn is_closed(&self, conn: usize) -> bool {
        lock(&self.state).conns[conn].closed
    }

    /// Answers a call.
    pub fn answer(&self, came: &Came, answer: &Answer) {
        let mut bytes = BytesMut::new();
        write_answer(&mut bytes, came.id, answer);
        self.raw(came.conn, &bytes);
    }

    /// Writes raw bytes.
    ///
    /// # Panics
    /// If the write fails.
    pub fn raw(&self, conn: usize, bytes: &[u8]) {
        let to = lock(&self.state).conns[conn].to.take();
        if let Some(mut to) = to {
            let wrote = crate::wait("a write", to.write_all(bytes));
            lock(&self.state).conns[conn].to = Some(to);
            wrote.expect("the node reads");
        }
    }

    /// Closes a connection.
    pub fn close(&self, conn: usize) {
        let mut state = lock(&self.state);
        state.conns[conn].reading.abort();
        state.conns[conn].to = None;
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.accepting.abort();
        lock(&self.state).conns.iter().for_each(|c| c.reading.abort());
    }
}

fn take(state: &Arc<Mutex<State>>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let (mut from, to) = stream.into_split();
    let held = state.clone();
    let mut all = lock(state);
    let number = all.conns.len();
    let reading = runtime().spawn(async move {
        let mut frames = Frames::new(Bounds::default());
        let mut chunk = vec![0; 16 * 1024];
        loop {
            let n = from.read(&mut chunk).await.unwrap_or(0);
            if n == 0 {
                lock(&held).conns[number].closed = true;
                return;
            }
            frames.push(&chunk[..n]);
            while let Ok(Some(frame)) = frames.poll() {
                let Ok(Message::Call(id, call)) = message::read(&frame) else { continue };
                if call.class == "health" {
                    let mut bytes = BytesMut::new();
                    write_answer(&mut bytes, id, &Ok(bytes::Bytes::new()));
                    let to = {
                        let mut state = lock(&held);
                        state.probes += 1;
                        state.conns[number].to.take()
                    };
                    if let Some(mut to) = to {
                        let _ = to.write_all(&bytes).await;
                        lock(&held).conns[number].to = Some(to);
                    }
                    continue;
                }
                let mut state = lock(&held);
                state.conns[number].bytes += n;
                state.ids.push((number, id));
                state.came.push_back(Came { conn: number, id, call });
            }
        }
    });
    all.conns.push(Conn { to: Some(to), reading, closed: false, bytes: 0 });
}
