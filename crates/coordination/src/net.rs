//! Machines on sockets.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::{Duration, Instant};

use tokio::io::Interest;
use tokio::net::TcpStream;

use crate::machine::{Machine, Step};
use crate::Millis;

/// What is read at once.
const CHUNK: usize = 16 * 1024;

type Dialing = Pin<Box<dyn Future<Output = io::Result<TcpStream>> + Send>>;

enum Link {
    None,
    Dialing(Dialing),
    Up(TcpStream),
}

/// Runs one machine: its connection, and its timer.
pub struct Driver<M> {
    machine: M,
    members: Vec<SocketAddr>,
    start: Instant,
    link: Link,
    unsent: Vec<u8>,
    chunk: Box<[u8]>,
    /// Bytes read and written.
    moved: (u64, u64),
}

impl<M: Machine> Driver<M> {
    /// Runs a machine that was made for so many members, at the time 0 of its clock, which starts at `start`.
    pub fn new(machine: M, members: Vec<SocketAddr>, start: Instant) -> Self {
        let chunk = vec![0; CHUNK].into_boxed_slice();
        Self { machine, members, start, link: Link::None, unsent: Vec::new(), chunk, moved: (0, 0) }
    }

    /// The machine.
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// The machine, to tell it something; [`Driver::next`] is to be called then.
    pub fn machine_mut(&mut self) -> &mut M {
        &mut self.machine
    }

    /// The machine's time.
    pub fn now(&self) -> Millis {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Bytes read and written so far.
    pub fn moved(&self) -> (u64, u64) {
        self.moved
    }

    fn broken(&mut self) {
        self.link = Link::None;
        let now = self.now();
        self.machine.broken(now);
    }

    /// What the machine says next, if it can say it without waiting.
    fn said(&mut self) -> Option<M::Said> {
        loop {
            // What it wrote before it dropped a connection goes with that.
            let out = self.machine.output();
            if matches!(self.link, Link::Up(_)) {
                self.unsent.extend(out);
            }
            match self.machine.poll()? {
                Step::Said(said) => return Some(said),
                Step::Disconnect => self.link = Link::None,
                Step::Connect(member) => {
                    self.unsent.clear();
                    let Some(at) = self.members.get(member).copied() else {
                        self.broken();
                        continue;
                    };
                    self.link = Link::Dialing(Box::pin(async move {
                        let stream = TcpStream::connect(at).await?;
                        stream.set_nodelay(true)?;
                        Ok(stream)
                    }));
                }
            }
        }
    }

    /// Goes on until the machine says something. May be dropped and called again at any time.
    pub async fn next(&mut self) -> M::Said {
        loop {
            if let Some(said) = self.said() {
                return said;
            }
            let due = self.machine.poll_timeout();
            let due = due.map(|due| self.start + Duration::from_secs_f64(due.clamp(0.0, 1.0e12) / 1000.0));
            let timer = async {
                match due {
                    Some(due) => tokio::time::sleep_until(due.into()).await,
                    None => std::future::pending().await,
                }
            };
            let wants = if self.unsent.is_empty() {
                Interest::READABLE
            } else {
                Interest::READABLE | Interest::WRITABLE
            };
            let happened = match &mut self.link {
                Link::None => {
                    timer.await;
                    None
                }
                Link::Dialing(dialing) => tokio::select! {
                    () = timer => None,
                    dialed = dialing => Some(dialed.map(Some)),
                },
                Link::Up(stream) => tokio::select! {
                    () = timer => None,
                    ready = stream.ready(wants) => Some(ready.map(|_| None)),
                },
            };
            let now = self.now();
            match happened {
                None => self.machine.handle_timeout(now),
                Some(Err(_)) => self.broken(),
                Some(Ok(Some(stream))) => {
                    self.link = Link::Up(stream);
                    self.machine.connected(now);
                }
                Some(Ok(None)) => self.move_bytes(),
            }
        }
    }

    /// Writes what there is still to write, and waits until the other side has closed: for a machine that has ended. Its
    /// bound is the caller's.
    pub async fn finish(&mut self) {
        while let Link::Up(stream) = &self.link {
            let wants = if self.unsent.is_empty() { Interest::READABLE } else { Interest::WRITABLE };
            if stream.ready(wants).await.is_err() {
                return;
            }
            self.move_bytes();
        }
    }

    fn move_bytes(&mut self) {
        let Link::Up(stream) = &self.link else { return };
        if !self.unsent.is_empty() {
            match stream.try_write(&self.unsent) {
                Ok(n) => {
                    self.unsent.drain(..n);
                    self.moved.1 += n as u64;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return self.broken(),
            }
        }
        match stream.try_read(&mut self.chunk) {
            Ok(0) => self.broken(),
            Ok(n) => {
                self.moved.0 += n as u64;
                let now = self.now();
                self.machine.received(now, &self.chunk[..n]);
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => self.broken(),
        }
    }
}
