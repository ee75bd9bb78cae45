//! Thousands of servers in this process, each at its own address, and a measurement of the scheduling delay
//! of the process.

use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use glenwood_testkit::{http, runtime};
use rustix::process::{getrlimit, setrlimit, Resource};
use serde_json::{json, Value};
use socket2::SockRef;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

use super::dice::Rng;
use super::record::{Record, ServerAttempt};
use super::strays::{
    unsolicited_response, Delivery, ResponseFaults, Trigger, UnsolicitedDelay, UnsolicitedSend,
};
use super::{answer, host};

/// How soon servers answer.
#[derive(Clone, Debug)]
pub struct ServerTiming {
    /// How long the path to a server and back takes.
    pub round_trip: Duration,
    /// How long a server works on a request, in milliseconds.
    pub work_ms: Range<u64>,
}

impl Default for ServerTiming {
    fn default() -> Self {
        Self { round_trip: Duration::ZERO, work_ms: 1..20 }
    }
}

/// How a server leaves service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deactivation {
    /// It drains, and its health check answers 503.
    Draining,
    /// It is removed from the list, but its health check still answers 200.
    Removed,
    /// It is removed from the list and its process ends: its connections are reset and new ones refused.
    Crashed,
}

/// How a server left service, and when nodes must know.
#[derive(Clone, Copy, Debug)]
struct InactiveServer {
    how: Deactivation,
    /// The moment from which every node must know of it.
    known_at: Instant,
}

#[derive(Default)]
struct ServerState {
    inactive: Mutex<Option<InactiveServer>>,
    /// Start of its process in Unix time, in milliseconds; 0 means long ago.
    started_ms: Mutex<f64>,
}

/// Servers that answer every request, even after they left service, so that requests sent too late are
/// recorded.
pub struct ServerPool {
    addresses: Vec<SocketAddr>,
    servers: Arc<Vec<ServerState>>,
    record: Arc<Record>,
    checks: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
    faults: Arc<Mutex<ResponseFaults>>,
    timing: ServerTiming,
    accept_tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl Drop for ServerPool {
    fn drop(&mut self) {
        self.accept_tasks.lock().expect("mutex poisoned").iter().for_each(JoinHandle::abort);
    }
}

/// Raises the limit of open files of this process to the maximum that it may set.
fn raise_descriptor_limit() {
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = limit.maximum;
    setrlimit(Resource::Nofile, limit).expect("failed to raise the limit of open files");
}

/// The loopback address on which a server listens, on any free port.
fn listen_ip(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 1, (number >> 8) as u8, number as u8)
}

impl ServerPool {
    /// Starts `count` servers that write the requests they receive to the record.
    pub fn start(count: usize, record: &Arc<Record>) -> Self {
        Self::start_with_timing(count, record, ServerTiming::default())
    }

    /// The same, with the times after which servers answer.
    pub fn start_with_timing(count: usize, record: &Arc<Record>, timing: ServerTiming) -> Self {
        raise_descriptor_limit();
        let servers: Arc<Vec<ServerState>> = Arc::new((0..count).map(|_| ServerState::default()).collect());
        let (checks, connections) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let listeners = glenwood_testkit::wait("listeners", async {
            let mut listeners = Vec::new();
            for number in 0..count {
                listeners.push(TcpListener::bind((listen_ip(number), 0)).await.expect("failed to bind"));
            }
            listeners
        });
        let address = |listener: &TcpListener| listener.local_addr().expect("no local address");
        let addresses = listeners.iter().map(address).collect();
        let (record, faults, accept_tasks) = (record.clone(), Arc::default(), Mutex::default());
        let pool = Self { addresses, servers, record, checks, connections, faults, timing, accept_tasks };
        for (number, listener) in listeners.into_iter().enumerate() {
            let accept_task = runtime().spawn(pool.server_process(number).accept(listener));
            pool.accept_tasks.lock().expect("mutex poisoned").push(accept_task);
        }
        pool
    }

    /// A server's process, which does not accept yet.
    fn server_process(&self, number: usize) -> ServerProcess {
        ServerProcess {
            number,
            states: self.servers.clone(),
            record: self.record.clone(),
            checks: self.checks.clone(),
            connections: self.connections.clone(),
            faults: self.faults.clone(),
            timing: self.timing.clone(),
        }
    }

    /// Injects these faults into all exchanges from now on.
    pub fn set_response_faults(&self, faults: ResponseFaults) {
        *self.faults.lock().expect("mutex poisoned") = faults;
    }

    /// Number of servers.
    pub fn count(&self) -> usize {
        self.addresses.len()
    }

    /// Number of health checks answered so far.
    pub fn health_check_count(&self) -> usize {
        self.checks.load(Ordering::SeqCst)
    }

    /// Number of connections accepted so far.
    pub fn connection_count(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Takes a server out of service; every node must know of it from `known_at` on.
    pub fn deactivate(&self, number: usize, how: Deactivation, known_at: Instant) {
        *self.servers[number].inactive.lock().expect("mutex poisoned") =
            Some(InactiveServer { how, known_at });
        if how == Deactivation::Crashed {
            self.accept_tasks.lock().expect("mutex poisoned")[number].abort();
        }
    }

    /// Replaces a server that left service by a new process; connections to the old one are reset.
    pub fn restart(&self, number: usize) {
        let server = &self.servers[number];
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is before 1970");
        *server.started_ms.lock().expect("mutex poisoned") = since_epoch.as_millis() as f64;
        *server.inactive.lock().expect("mutex poisoned") = None;
        let (address, server_process) = (self.addresses[number], self.server_process(number));
        let mut accept_tasks = self.accept_tasks.lock().expect("mutex poisoned");
        accept_tasks[number].abort();
        accept_tasks[number] = runtime().spawn(async move {
            let listener = loop {
                // The old process may not have released the address yet.
                match TcpListener::bind(address).await {
                    Ok(listener) => break listener,
                    Err(_) => tokio::task::yield_now().await,
                }
            };
            server_process.accept(listener).await;
        });
    }

    /// The entry of a server in the list, or in the update that reports that it left service.
    pub fn entry(&self, number: usize) -> Value {
        let inactive =
            self.servers[number].inactive.lock().expect("mutex poisoned").map(|inactive| inactive.how);
        let health = match inactive {
            None => "active",
            Some(Deactivation::Draining) => "leaving",
            Some(Deactivation::Removed | Deactivation::Crashed) => "left",
        };
        let mut entry = host(&format!("s{number:05}"), self.addresses[number], health, number as u64 / 2);
        entry["born_ms"] = json!(*self.servers[number].started_ms.lock().expect("mutex poisoned"));
        entry
    }
}

/// A running process of a server.
#[derive(Clone)]
struct ServerProcess {
    number: usize,
    states: Arc<Vec<ServerState>>,
    record: Arc<Record>,
    checks: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
    faults: Arc<Mutex<ResponseFaults>>,
    timing: ServerTiming,
}

/// The write half of a connection.
type SharedWriter = Arc<tokio::sync::Mutex<OwnedWriteHalf>>;

async fn write(writer: &SharedWriter, bytes: &[u8]) -> std::io::Result<()> {
    writer.lock().await.write_all(bytes).await
}

/// The server's end of a connection.
#[derive(Clone)]
struct ServerConnection {
    server: usize,
    /// The node's address.
    peer: SocketAddr,
    writer: SharedWriter,
    record: Arc<Record>,
}

impl ServerConnection {
    /// Writes a response that no request asked for, a delay after its trigger, which is now.
    fn write_unsolicited(
        &self,
        trigger: Trigger,
        delay: UnsolicitedDelay,
        bytes: Vec<u8>,
    ) -> impl Future<Output = ()> {
        let (connection, triggered) = (self.clone(), Instant::now());
        async move {
            tokio::time::sleep_until((triggered + delay.drawn).into()).await;
            let (at, wall) = (Instant::now(), SystemTime::now());
            // The node may have closed the connection.
            if write(&connection.writer, &bytes).await.is_ok() {
                let Self { server, peer, record, .. } = connection;
                let after = at - triggered;
                record.add_unsolicited(UnsolicitedSend { server, peer, trigger, delay, after, at, wall });
            }
        }
    }
}

impl ServerProcess {
    async fn accept(self, listener: TcpListener) {
        // Dropped, and so aborted, with this task.
        let mut tasks = JoinSet::new();
        loop {
            let (stream, _) = listener.accept().await.expect("failed to accept");
            let server = self.clone();
            self.connections.fetch_add(1, Ordering::SeqCst);
            tasks.spawn(async move {
                // The node may close the connection at any time.
                let _ = server.serve(stream).await;
            });
            while tasks.try_join_next().is_some() {}
        }
    }

    async fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        // With a linger time of 0, aborting the process resets its connections.
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        let peer = stream.peer_addr()?;
        let opened = self.connections.load(Ordering::SeqCst) as u64;
        let mut rng = Rng(self.number as u64 ^ (opened << 20));
        let (read_half, write_half) = stream.into_split();
        let (mut reader, writer) = (BufReader::new(read_half), Arc::new(tokio::sync::Mutex::new(write_half)));
        let (server, record) = (self.number, self.record.clone());
        let connection = ServerConnection { server, peer, writer: writer.clone(), record };
        // Dropped, and so aborted, with this connection.
        let mut delayed_writes = JoinSet::new();
        let unsolicited_delay = self.faults.lock().expect("mutex poisoned").unsolicited_on_connect(&mut rng);
        if let Some(delay) = unsolicited_delay {
            let bytes = unsolicited_response(&mut rng);
            delayed_writes.spawn(connection.write_unsolicited(Trigger::Connect, delay, bytes));
        }
        while let Some(message) = http::read(&mut reader).await? {
            if !self.timing.round_trip.is_zero() {
                tokio::time::sleep(self.timing.round_trip).await;
            }
            let at = Instant::now();
            let inactive = *self.states[self.number].inactive.lock().expect("mutex poisoned");
            if message.target() == "/health" {
                self.checks.fetch_add(1, Ordering::SeqCst);
                let drains = inactive.is_some_and(|inactive| inactive.how == Deactivation::Draining);
                write(&writer, &answer(if drains { 503 } else { 200 }, "", "")).await?;
                continue;
            }
            let remaining_ms = message.header("x-remaining-ms").and_then(|value| value.parse().ok());
            let id = message.header("x-txn").unwrap_or_default().to_string();
            let is_rejected = self.faults.lock().expect("mutex poisoned").rejects_request(&mut rng);
            self.record.add_attempt(ServerAttempt {
                id: id.clone(),
                server: self.number,
                peer: Some(peer),
                cell: self.number as u64 / 2,
                at,
                time_given: Duration::from_millis(remaining_ms.unwrap_or(u64::MAX / 2)),
                is_executed: !is_rejected,
                drains_for: inactive.and_then(|inactive| at.checked_duration_since(inactive.known_at)),
            });
            if is_rejected {
                let rejection = answer(503, "X-Turned-Away: 1\r\n", "");
                write(&writer, &rejection).await?;
                let copy = self.faults.lock().expect("mutex poisoned").rejection_copy(&mut rng);
                if let Some(delay) = copy {
                    delayed_writes.spawn(connection.write_unsolicited(Trigger::Response, delay, rejection));
                }
                continue;
            }
            let work_ms = &self.timing.work_ms;
            tokio::time::sleep(rng.between(work_ms.start, work_ms.end)).await;
            let delivery = self.faults.lock().expect("mutex poisoned").delivery(&mut rng);
            if !deliver(&writer, &answer(200, "", &id), &delivery).await? {
                return Ok(());
            }
            for delay in &delivery.unsolicited_delays {
                let bytes = unsolicited_response(&mut rng);
                delayed_writes.spawn(connection.write_unsolicited(Trigger::Response, *delay, bytes));
            }
        }
        Ok(())
    }
}

/// Writes a response with the faults of `delivery`; returns whether the connection stays open.
async fn deliver(writer: &SharedWriter, bytes: &[u8], delivery: &Delivery) -> std::io::Result<bool> {
    if delivery.has_interim {
        write(writer, b"HTTP/1.1 103 Early Hints\r\nLink: </style.css>; rel=preload\r\n\r\n").await?;
    }
    if delivery.is_truncated {
        write(writer, &bytes[..bytes.len() / 2]).await?;
        writer.lock().await.shutdown().await?;
        return Ok(false);
    }
    if delivery.is_split {
        for piece in bytes.chunks(7) {
            write(writer, piece).await?;
            tokio::task::yield_now().await;
        }
    } else {
        write(writer, &bytes.repeat(1 + usize::from(delivery.is_repeated))).await?;
    }
    if delivery.closes {
        writer.lock().await.shutdown().await?;
    }
    Ok(!delivery.closes)
}

/// Measures the scheduling delay of this process: the longest time by which a sleeping thread or task woke
/// late.
pub struct SchedulingDelay {
    stopped: Arc<AtomicBool>,
    longest: Arc<Mutex<Duration>>,
}

/// Interval of the measurements.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

impl SchedulingDelay {
    /// Starts a thread and a task that measure until this is dropped.
    pub fn measure() -> Self {
        let (stopped, longest) = (Arc::<AtomicBool>::default(), Arc::<Mutex<Duration>>::default());
        let note_delay = |longest: &Mutex<Duration>, since: Instant| {
            let mut longest = longest.lock().expect("mutex poisoned");
            *longest = longest.max(since.elapsed().saturating_sub(SAMPLE_INTERVAL));
        };
        let (ended_flag, longest_delay) = (stopped.clone(), longest.clone());
        std::thread::spawn(move || {
            while !ended_flag.load(Ordering::SeqCst) {
                let since = Instant::now();
                std::thread::sleep(SAMPLE_INTERVAL);
                note_delay(&longest_delay, since);
            }
        });
        let (ended_flag, longest_delay) = (stopped.clone(), longest.clone());
        runtime().spawn(async move {
            while !ended_flag.load(Ordering::SeqCst) {
                let since = Instant::now();
                tokio::time::sleep(SAMPLE_INTERVAL).await;
                note_delay(&longest_delay, since);
            }
        });
        Self { stopped, longest }
    }

    /// The longest delay so far.
    pub fn longest(&self) -> Duration {
        *self.longest.lock().expect("mutex poisoned")
    }
}

impl Drop for SchedulingDelay {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}
