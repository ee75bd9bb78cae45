//! Thousands of servers in this process, each at an address of its own, and how late this process itself is.

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

use super::dice::Dice;
use super::record::{Record, Sent};
use super::strays::{unasked, Delivery, Strays};
use super::{answer, host};

/// How long a server takes for a request where nothing else is said, in milliseconds.
const QUICK_WORK: Range<u64> = 1..20;

/// What a server does that takes no more requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It drains, and its health check says so.
    Drains,
    /// It is taken out of the list, and answers its health check as before.
    IsRemoved,
    /// It is taken out of the list, and its process ends: its connections are reset, and new ones are refused.
    Dies,
}

/// How a server stands.
#[derive(Clone, Copy, Debug)]
struct Ended {
    how: Ending,
    /// When that counts as told to every node.
    told: Instant,
}

#[derive(Default)]
struct One {
    ended: Mutex<Option<Ended>>,
    /// When its process started, in Unix time; 0 for long ago.
    born_ms: Mutex<f64>,
}

/// Servers that answer everything, also after they have ended: a request that comes too late is noted.
pub struct ManyServers {
    addresses: Vec<SocketAddr>,
    servers: Arc<Vec<One>>,
    record: Arc<Record>,
    checks: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
    strays: Arc<Mutex<Strays>>,
    work: Range<u64>,
    accepting: Mutex<Vec<JoinHandle<()>>>,
}

impl Drop for ManyServers {
    fn drop(&mut self) {
        self.accepting.lock().expect("no panic").iter().for_each(JoinHandle::abort);
    }
}

/// Lets this process have as many descriptors as it may.
fn use_all_descriptors() {
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = limit.maximum;
    setrlimit(Resource::Nofile, limit).expect("within what it may have");
}

/// Where a server listens; the port is any free one.
fn own_address(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 1, (number >> 8) as u8, number as u8)
}

impl ManyServers {
    /// Starts so many; what comes to them is noted in the record.
    pub fn start(count: usize, record: &Arc<Record>) -> Self {
        Self::start_that_take(count, record, QUICK_WORK)
    }

    /// The same, with how long they take for a request, in milliseconds.
    pub fn start_that_take(count: usize, record: &Arc<Record>, work: Range<u64>) -> Self {
        use_all_descriptors();
        let servers: Arc<Vec<One>> = Arc::new((0..count).map(|_| One::default()).collect());
        let (checks, connections) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let listeners = glenwood_testkit::wait("listeners", async {
            let mut listeners = Vec::new();
            for number in 0..count {
                listeners.push(TcpListener::bind((own_address(number), 0)).await.expect("a free port"));
            }
            listeners
        });
        let address = |listener: &TcpListener| listener.local_addr().expect("bound");
        let addresses = listeners.iter().map(address).collect();
        let (record, strays, accepting) = (record.clone(), Arc::default(), Mutex::default());
        let all = Self { addresses, servers, record, checks, connections, strays, work, accepting };
        for (number, listener) in listeners.into_iter().enumerate() {
            let accepting = runtime().spawn(all.process(number).accept(listener));
            all.accepting.lock().expect("no panic").push(accepting);
        }
        all
    }

    /// A process of a server.
    fn process(&self, number: usize) -> Serving {
        Serving {
            number,
            all: self.servers.clone(),
            record: self.record.clone(),
            checks: self.checks.clone(),
            connections: self.connections.clone(),
            strays: self.strays.clone(),
            work: self.work.clone(),
        }
    }

    /// From now on their exchanges go wrong like that.
    pub fn send_strays(&self, strays: Strays) {
        *self.strays.lock().expect("no panic") = strays;
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.addresses.len()
    }

    /// How many health checks they have answered.
    pub fn checks(&self) -> usize {
        self.checks.load(Ordering::SeqCst)
    }

    /// How many connections they have taken.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// A server takes no more requests, which counts as told at that time.
    pub fn end(&self, number: usize, how: Ending, told: Instant) {
        *self.servers[number].ended.lock().expect("no panic") = Some(Ended { how, told });
        if how == Ending::Dies {
            self.accepting.lock().expect("no panic")[number].abort();
        }
    }

    /// Another process takes the place of a server that has ended: connections to the old one are reset.
    pub fn restart(&self, number: usize) {
        let server = &self.servers[number];
        let since = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
        *server.born_ms.lock().expect("no panic") = since.as_millis() as f64;
        *server.ended.lock().expect("no panic") = None;
        let (address, process) = (self.addresses[number], self.process(number));
        let mut accepting = self.accepting.lock().expect("no panic");
        accepting[number].abort();
        accepting[number] = runtime().spawn(async move {
            let listener = loop {
                // The old process may not have closed the address yet.
                match TcpListener::bind(address).await {
                    Ok(listener) => break listener,
                    Err(_) => tokio::task::yield_now().await,
                }
            };
            process.accept(listener).await;
        });
    }

    /// The entry of a server in the list, and in the news of its end.
    pub fn entry(&self, number: usize) -> Value {
        let ended = self.servers[number].ended.lock().expect("no panic").map(|ended| ended.how);
        let health = match ended {
            None => "active",
            Some(Ending::Drains) => "leaving",
            Some(Ending::IsRemoved | Ending::Dies) => "left",
        };
        let mut entry = host(&format!("s{number:05}"), self.addresses[number], health, number as u64 / 2);
        entry["born_ms"] = json!(*self.servers[number].born_ms.lock().expect("no panic"));
        entry
    }
}

/// One server that runs.
#[derive(Clone)]
struct Serving {
    number: usize,
    all: Arc<Vec<One>>,
    record: Arc<Record>,
    checks: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
    strays: Arc<Mutex<Strays>>,
    work: Range<u64>,
}

/// The writing side of a connection.
type Out = Arc<tokio::sync::Mutex<OwnedWriteHalf>>;

async fn write(out: &Out, bytes: &[u8]) -> std::io::Result<()> {
    out.lock().await.write_all(bytes).await
}

/// Writes bytes after a while.
async fn write_later(out: Out, after: Duration, bytes: Vec<u8>) {
    tokio::time::sleep(after).await;
    // What breaks a connection is the other side's affair.
    let _ = write(&out, &bytes).await;
}

impl Serving {
    async fn accept(self, listener: TcpListener) {
        // Ended with this task.
        let mut serving = JoinSet::new();
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            let server = self.clone();
            self.connections.fetch_add(1, Ordering::SeqCst);
            serving.spawn(async move {
                // What breaks a connection is the other side's affair.
                let _ = server.serve(stream).await;
            });
            while serving.try_join_next().is_some() {}
        }
    }

    async fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        // A process that ends resets its connections.
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        let opened = self.connections.load(Ordering::SeqCst) as u64;
        let mut dice = Dice(self.number as u64 ^ (opened << 20));
        let (from, to) = stream.into_split();
        let (mut from, out) = (BufReader::new(from), Arc::new(tokio::sync::Mutex::new(to)));
        // Ended with this connection.
        let mut later = JoinSet::new();
        let on_new = self.strays.lock().expect("no panic").on_new(&mut dice);
        if let Some(after) = on_new {
            later.spawn(write_later(out.clone(), after, unasked(&mut dice)));
        }
        while let Some(message) = http::read(&mut from).await? {
            let at = Instant::now();
            let ended = *self.all[self.number].ended.lock().expect("no panic");
            if message.target() == "/health" {
                self.checks.fetch_add(1, Ordering::SeqCst);
                let drains = ended.is_some_and(|ended| ended.how == Ending::Drains);
                write(&out, &answer(if drains { 503 } else { 200 }, "", "")).await?;
                continue;
            }
            let told = message.header("x-remaining-ms").and_then(|value| value.parse().ok());
            let id = message.header("x-txn").unwrap_or_default().to_string();
            let turns_away = self.strays.lock().expect("no panic").turns_away(&mut dice);
            self.record.sent(Sent {
                id: id.clone(),
                server: self.number,
                cell: self.number as u64 / 2,
                at,
                told: Duration::from_millis(told.unwrap_or(u64::MAX / 2)),
                runs: !turns_away,
                drains_for: ended.and_then(|ended| at.checked_duration_since(ended.told)),
            });
            if turns_away {
                write(&out, &answer(503, "X-Turned-Away: 1\r\n", "")).await?;
                continue;
            }
            tokio::time::sleep(dice.between(self.work.start, self.work.end)).await;
            let delivery = self.strays.lock().expect("no panic").delivery(&mut dice);
            for after in &delivery.unasked_after {
                later.spawn(write_later(out.clone(), *after, unasked(&mut dice)));
            }
            if !deliver(&out, &answer(200, "", &id), &delivery).await? {
                return Ok(());
            }
        }
        Ok(())
    }
}

/// Writes an answer; says whether the connection goes on.
async fn deliver(out: &Out, bytes: &[u8], delivery: &Delivery) -> std::io::Result<bool> {
    if delivery.interim {
        write(out, b"HTTP/1.1 103 Early Hints\r\nLink: </style.css>; rel=preload\r\n\r\n").await?;
    }
    if delivery.is_cut {
        write(out, &bytes[..bytes.len() / 2]).await?;
        out.lock().await.shutdown().await?;
        return Ok(false);
    }
    if delivery.in_pieces {
        for piece in bytes.chunks(7) {
            write(out, piece).await?;
            tokio::task::yield_now().await;
        }
    } else {
        write(out, &bytes.repeat(1 + usize::from(delivery.twice))).await?;
    }
    if delivery.ends {
        out.lock().await.shutdown().await?;
    }
    Ok(!delivery.ends)
}

/// How late this process is: the longest that any of its threads or tasks slept beyond its time.
pub struct Lateness {
    ends: Arc<AtomicBool>,
    longest: Arc<Mutex<Duration>>,
}

/// How often it is measured.
const LOOK: Duration = Duration::from_millis(5);

impl Lateness {
    /// Begins to measure.
    pub fn measure() -> Self {
        let (ends, longest) = (Arc::<AtomicBool>::default(), Arc::<Mutex<Duration>>::default());
        let note = |longest: &Mutex<Duration>, since: Instant| {
            let mut longest = longest.lock().expect("no panic");
            *longest = longest.max(since.elapsed().saturating_sub(LOOK));
        };
        let (over, most) = (ends.clone(), longest.clone());
        std::thread::spawn(move || {
            while !over.load(Ordering::SeqCst) {
                let since = Instant::now();
                std::thread::sleep(LOOK);
                note(&most, since);
            }
        });
        let (over, most) = (ends.clone(), longest.clone());
        runtime().spawn(async move {
            while !over.load(Ordering::SeqCst) {
                let since = Instant::now();
                tokio::time::sleep(LOOK).await;
                note(&most, since);
            }
        });
        Self { ends, longest }
    }

    /// The longest so far.
    pub fn longest(&self) -> Duration {
        *self.longest.lock().expect("no panic")
    }
}

impl Drop for Lateness {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::SeqCst);
    }
}
