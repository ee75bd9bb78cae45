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
pub struct ReceivedCall {
    /// Index of its connection, from 0.
    pub conn: usize,
    /// Call id on that connection.
    pub id: u32,
    /// The call.
    pub call: Call,
}

struct Conn {
    write_half: Option<OwnedWriteHalf>,
    reader: JoinHandle<()>,
    /// Whether the other side has closed the connection.
    closed: bool,
    /// Bytes of all reads that contained calls; 0 for a connection that only carried probes.
    bytes: usize,
}

#[derive(Default)]
struct State {
    conns: Vec<Conn>,
    received: VecDeque<ReceivedCall>,
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
        let listener = crate::wait("binding a listener", TcpListener::bind("127.0.0.1:0"))
            .expect("cannot bind to a free port");
        let address = listener.local_addr().expect("a bound socket has an address");
        let state: Arc<Mutex<State>> = Arc::default();
        let shared = state.clone();
        let accepting = runtime().spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                serve(&shared, stream);
            }
        });
        Self { address, state, accepting }
    }

    /// Waits for the next call.
    pub fn call(&self) -> ReceivedCall {
        let mut next = None;
        until("a call", || {
            next = lock(&self.state).received.pop_front();
            next.is_some()
        });
        next.expect("a call was received")
    }

    /// Waits for this many calls, in the order in which they arrive.
    pub fn calls(&self, count: usize) -> Vec<ReceivedCall> {
        (0..count).map(|_| self.call()).collect()
    }

    /// Number of calls received but not yet taken by the test.
    pub fn waiting(&self) -> usize {
        lock(&self.state).received.len()
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
    pub fn answer(&self, call: &ReceivedCall, answer: &Answer) {
        let mut bytes = BytesMut::new();
        write_answer(&mut bytes, call.id, answer);
        self.send_raw(call.conn, &bytes);
    }

    /// Writes raw bytes, unless the connection is closed.
    ///
    /// # Panics
    /// If the write fails.
    pub fn send_raw(&self, conn: usize, bytes: &[u8]) {
        let write_half = lock(&self.state).conns[conn].write_half.take();
        if let Some(mut write_half) = write_half {
            let result = crate::wait("a write", write_half.write_all(bytes));
            lock(&self.state).conns[conn].write_half = Some(write_half);
            result.expect("cannot write to the node");
        }
    }

    /// Closes a connection.
    pub fn close(&self, conn: usize) {
        let mut state = lock(&self.state);
        state.conns[conn].reader.abort();
        state.conns[conn].write_half = None;
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.accepting.abort();
        lock(&self.state).conns.iter().for_each(|c| c.reader.abort());
    }
}

fn serve(state: &Arc<Mutex<State>>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let (mut read_half, write_half) = stream.into_split();
    let shared = state.clone();
    let mut all = lock(state);
    let number = all.conns.len();
    let reader = runtime().spawn(async move {
        let mut frames = Frames::new(Bounds::default());
        let mut chunk = vec![0; 16 * 1024];
        loop {
            let n = read_half.read(&mut chunk).await.unwrap_or(0);
            if n == 0 {
                lock(&shared).conns[number].closed = true;
                return;
            }
            frames.push(&chunk[..n]);
            while let Ok(Some(frame)) = frames.poll() {
                let Ok(Message::Call(id, call)) = message::read(&frame) else { continue };
                if call.class == "health" {
                    let mut bytes = BytesMut::new();
                    write_answer(&mut bytes, id, &Ok(bytes::Bytes::new()));
                    let write_half = {
                        let mut state = lock(&shared);
                        state.probes += 1;
                        state.conns[number].write_half.take()
                    };
                    if let Some(mut write_half) = write_half {
                        let _ = write_half.write_all(&bytes).await;
                        lock(&shared).conns[number].write_half = Some(write_half);
                    }
                    continue;
                }
                let mut state = lock(&shared);
                state.conns[number].bytes += n;
                state.ids.push((number, id));
                state.received.push_back(ReceivedCall { conn: number, id, call });
            }
        }
    });
    all.conns.push(Conn { write_half: Some(write_half), reader, closed: false, bytes: 0 });
}
