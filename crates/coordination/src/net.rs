//! Runs state machines on TCP sockets.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::{Duration, Instant};

use tokio::io::Interest;
use tokio::net::TcpStream;

use crate::machine::{Machine, Step};
use crate::Millis;

/// Maximum number of bytes per read.
const READ_BUFFER_BYTES: usize = 16 * 1024;

type ConnectFuture = Pin<Box<dyn Future<Output = io::Result<TcpStream>> + Send>>;

enum Connection {
    None,
    Connecting(ConnectFuture),
    Established(TcpStream),
}

/// Runs one machine with its connection and its timer.
pub struct Driver<M> {
    machine: M,
    members: Vec<SocketAddr>,
    start: Instant,
    connection: Connection,
    unsent: Vec<u8>,
    read_buffer: Box<[u8]>,
    /// Numbers of bytes read and written.
    bytes_moved: (u64, u64),
}

impl<M: Machine> Driver<M> {
    /// Creates a driver for a machine set up for this number of members. The machine's time 0 is `start`.
    pub fn new(machine: M, members: Vec<SocketAddr>, start: Instant) -> Self {
        let read_buffer = vec![0; READ_BUFFER_BYTES].into_boxed_slice();
        Self {
            machine,
            members,
            start,
            connection: Connection::None,
            unsent: Vec::new(),
            read_buffer,
            bytes_moved: (0, 0),
        }
    }

    /// The machine.
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// The machine, for changes; [`Driver::next`] must be called afterwards.
    pub fn machine_mut(&mut self) -> &mut M {
        &mut self.machine
    }

    /// The current time on the machine's clock.
    pub fn now(&self) -> Millis {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Numbers of bytes read and written so far.
    pub fn bytes_moved(&self) -> (u64, u64) {
        self.bytes_moved
    }

    fn disconnected(&mut self) {
        self.connection = Connection::None;
        let now = self.now();
        self.machine.disconnected(now);
    }

    /// Executes the machine's pending steps and returns its next event, if one is available without waiting.
    fn next_event(&mut self) -> Option<M::Event> {
        loop {
            // Output that precedes a disconnect is discarded together with the connection.
            let written = self.machine.output();
            if matches!(self.connection, Connection::Established(_)) {
                self.unsent.extend(written);
            }
            match self.machine.poll()? {
                Step::Event(event) => return Some(event),
                Step::Disconnect => self.connection = Connection::None,
                Step::Connect(member) => {
                    self.unsent.clear();
                    let Some(address) = self.members.get(member).copied() else {
                        self.disconnected();
                        continue;
                    };
                    self.connection = Connection::Connecting(Box::pin(async move {
                        let stream = TcpStream::connect(address).await?;
                        stream.set_nodelay(true)?;
                        Ok(stream)
                    }));
                }
            }
        }
    }

    /// Runs the machine until it returns an event. Cancel-safe: the future may be dropped at any time.
    pub async fn next(&mut self) -> M::Event {
        loop {
            if let Some(event) = self.next_event() {
                return event;
            }
            let due = self.machine.poll_timeout();
            let due = due.map(|due| self.start + Duration::from_secs_f64(due.clamp(0.0, 1.0e12) / 1000.0));
            let timer = async {
                match due {
                    Some(due) => tokio::time::sleep_until(due.into()).await,
                    None => std::future::pending().await,
                }
            };
            let interest = if self.unsent.is_empty() {
                Interest::READABLE
            } else {
                Interest::READABLE | Interest::WRITABLE
            };
            let outcome = match &mut self.connection {
                Connection::None => {
                    timer.await;
                    None
                }
                Connection::Connecting(connecting) => tokio::select! {
                    () = timer => None,
                    result = connecting => Some(result.map(Some)),
                },
                Connection::Established(stream) => tokio::select! {
                    () = timer => None,
                    ready = stream.ready(interest) => Some(ready.map(|_| None)),
                },
            };
            let now = self.now();
            match outcome {
                None => self.machine.handle_timeout(now),
                Some(Err(_)) => self.disconnected(),
                Some(Ok(Some(stream))) => {
                    self.connection = Connection::Established(stream);
                    self.machine.connected(now);
                }
                Some(Ok(None)) => self.transfer(),
            }
        }
    }

    /// Writes the remaining output and waits until the peer has closed the connection, for a machine that has
    /// ended. Has no time-out of its own; the caller sets one.
    pub async fn finish(&mut self) {
        while let Connection::Established(stream) = &self.connection {
            let interest = if self.unsent.is_empty() { Interest::READABLE } else { Interest::WRITABLE };
            if stream.ready(interest).await.is_err() {
                return;
            }
            self.transfer();
        }
    }

    fn transfer(&mut self) {
        let Connection::Established(stream) = &self.connection else { return };
        if !self.unsent.is_empty() {
            match stream.try_write(&self.unsent) {
                Ok(n) => {
                    self.unsent.drain(..n);
                    self.bytes_moved.1 += n as u64;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return self.disconnected(),
            }
        }
        match stream.try_read(&mut self.read_buffer) {
            Ok(0) => self.disconnected(),
            Ok(n) => {
                self.bytes_moved.0 += n as u64;
                let now = self.now();
                self.machine.received(now, &self.read_buffer[..n]);
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => self.disconnected(),
        }
    }
}
