//! How soon a node sees that a server has died, by registrations and by discovery, and what a list of many servers costs:
//! `cargo bench -p glenwood-node --bench registrations [-- detect|sizes]`. Everything is on loopback; prints tables.
//!
//! *Detection.* Ten servers hang at times of their own, as a machine does that freezes: they take connections and
//! requests and answer nothing, and their registrar says nothing more. Counted from then: the last request that reached
//! each, and the list without it. In the same run discovery is told by a checker that asks each server's `/health` once a
//! second and takes it out after two failures of half a second: an assumption on what tells discovery, not a measurement
//! of any. Beside the node, a view in this process takes the same list, for the moment at which it changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use glenwood_coordination::net::Driver;
use glenwood_coordination::proto::{Acl, Mode, Request};
use glenwood_coordination::session::{self, Event, Session};
use glenwood_coordination::view::{Settings, View, ViewEvent};
use glenwood_list::{Endpoint, Health, ListEntry};
use glenwood_testkit::client::{Ask, Client, Effect};
use glenwood_testkit::coordination::net::Service;
use glenwood_testkit::coordination::register::{entry, Registration};
use glenwood_testkit::discovery::{active, host, Discovery};
use glenwood_testkit::node::{config, settings, Node, Program};
use glenwood_testkit::runtime;
use glenwood_testkit::script::{Ledger, Script, Step};
use glenwood_testkit::server::{Identity, Protocol, StandIn};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const TIMEOUTS: [f64; 6] = [200.0, 500.0, 1000.0, 2000.0, 5000.0, 10_000.0];
const SIZES: [usize; 3] = [12, 500, 5000];
const DYING: usize = 10;
const STAYING: usize = 6;

type Times = Arc<Mutex<BTreeMap<String, Instant>>>;

fn program() -> Program {
    Program::new(env!("CARGO_BIN_EXE_glenwood"))
}

fn operator(service: &Service) -> String {
    let members: Vec<String> = service.members.iter().map(|m| format!("'{m}'")).collect();
    format!("[registrations]\nmembers = [{}]\nalone = true\ntimeout_ms = 1000\n", members.join(", "))
}

fn view(service: &Service) -> Driver<View> {
    let session = session::Settings { members: service.members.len(), timeout: 1000.0, seed: 77 };
    let settings = Settings {
        session,
        path: "/servers".into(),
        relist_interval: 60_000.0,
        guard: None,
        suspect_ms: 0.0,
    };
    let view = View::new(0.0, settings, Box::new(|_| false)).expect("good settings");
    Driver::new(view, service.members.clone(), Instant::now())
}

/// Runs a view on a thread of its own, and notes when each server leaves its list.
fn watch(service: &Service, gone: Times) -> Arc<AtomicBool> {
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    let members = service.members.clone();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let session = session::Settings { members: members.len(), timeout: 1000.0, seed: 77 };
            let path = "/servers".to_string();
            let settings =
                Settings { session, path, relist_interval: 60_000.0, guard: None, suspect_ms: 0.0 };
            let view = View::new(0.0, settings, Box::new(|_| false)).expect("good settings");
            let mut driver = Driver::new(view, members, Instant::now());
            while !stopped.load(Ordering::Relaxed) {
                let next = tokio::time::timeout(Duration::from_millis(100), driver.next()).await;
                let Ok(ViewEvent::List { hosts, .. }) = next else { continue };
                for host in hosts.iter().filter(|h| h.health == Health::Left) {
                    gone.lock().expect("times").entry(host.host.clone()).or_insert_with(Instant::now);
                }
            }
        });
    });
    stop
}

/// Half a second for an answer to `/health`.
async fn is_well(at: SocketAddr) -> bool {
    let ask = async {
        let mut stream = TcpStream::connect(at).await?;
        stream.write_all(b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n").await?;
        let mut byte = [0; 12];
        stream.read_exact(&mut byte).await
    };
    matches!(tokio::time::timeout(Duration::from_millis(500), ask).await, Ok(Ok(_)))
}

fn load(node: &Node, stop: &Arc<AtomicBool>) {
    for client in 0..8 {
        let (to, stop) = (node.address, stop.clone());
        runtime().spawn(async move {
            let mut conn = None;
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                if conn.is_none() {
                    conn = Client::connect(Protocol::Http, to).await.ok();
                }
                let Some(open) = conn.as_mut() else { continue };
                let ask = Ask::new("look", Effect::Safe, &format!("c{client}-{number}"), 1000);
                if open.ask(&ask).await == glenwood_testkit::client::Answer::Lost {
                    conn = None;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        });
    }
}

/// Figures in milliseconds: the middle one, and the one that one of a hundred passes.
fn quantiles(mut all: Vec<f64>) -> (f64, f64) {
    all.sort_by(f64::total_cmp);
    let at = |q: f64| all.get(((all.len() as f64 * q).ceil() as usize).max(1) - 1).copied().unwrap_or(0.0);
    (at(0.5), at(0.99))
}

fn detect() {
    println!("from a server's hang, ms           last request sent      the list without it");
    println!("                                    p50      p99           p50      p99");
    let mut waits: Vec<(String, Option<f64>)> =
        TIMEOUTS.iter().map(|t| (format!("sessions of {t:>6} ms"), Some(*t))).collect();
    waits.push(("discovery, checked each 1 s".into(), None));
    for (name, timeout) in waits {
        let (hung, last, gone): (Times, Times, Times) = Default::default();
        let (hangs, seen) = (hung.clone(), last.clone());
        let script: Script = Arc::new(move |request| {
            if hangs.lock().expect("times").contains_key(&request.server) {
                seen.lock().expect("times").insert(request.server.clone(), Instant::now());
                return Step::Hold;
            }
            Step::ServeAfter(Duration::from_millis(3))
        });
        let service = Service::start(3);
        let ledger = Ledger::new(Duration::from_secs(8));
        let start = |n: usize| {
            let identity = Identity { name: format!("s{n}"), cell: 0, protocol: Protocol::Http };
            StandIn::start(identity, script.clone(), ledger.clone())
        };
        let servers: Vec<StandIn> = (0..DYING + STAYING).map(start).collect();
        let hosts: Vec<_> = servers.iter().map(active).collect();
        let discovery = Discovery::start(&hosts);
        let mut at: Vec<Registration> = Vec::new();
        if let Some(timeout) = timeout {
            at = servers
                .iter()
                .enumerate()
                .map(|(n, s)| {
                    // Those that stay must not be lost to a busy machine.
                    let timeout = if n < DYING { timeout } else { 30_000.0 };
                    Registration::start(&service.members, entry(s, 1.0), timeout)
                })
                .collect();
            at.iter().for_each(Registration::wait_registered);
        }
        let told = timeout.map(|_| operator(&service));
        let node = Node::start(
            &program(),
            &config("n0", discovery.address, settings(400.0)),
            told.as_deref().or(Some("")),
        );
        node.wait_ready();
        let stop = Arc::new(AtomicBool::new(false));
        load(&node, &stop);
        let watching = timeout.map(|_| watch(&service, gone.clone()));
        std::thread::sleep(Duration::from_secs(2));
        let mut fails = [0usize; DYING];
        let mut dead = 0;
        let begin = Instant::now();
        let mut checked = Instant::now();
        let wait = Duration::from_millis(timeout.unwrap_or(3000.0) as u64 + 2500);
        let mut last_death = begin;
        while dead < DYING || last_death.elapsed() < wait {
            if dead < DYING && begin.elapsed() > Duration::from_millis(137 * dead as u64) {
                hung.lock().expect("times").insert(format!("s{dead}"), Instant::now());
                if timeout.is_some() {
                    drop(at.remove(0));
                }
                last_death = Instant::now();
                dead += 1;
            }
            if timeout.is_none() && checked.elapsed() >= Duration::from_secs(1) {
                checked = Instant::now();
                for (n, server) in servers.iter().enumerate().take(DYING) {
                    // A hung machine answers its checks no more than its requests.
                    let hangs = hung.lock().expect("times").contains_key(&server.identity.name);
                    let well = !hangs && glenwood_testkit::wait("a check", is_well(server.address));
                    fails[n] = if well { 0 } else { fails[n] + 1 };
                    if fails[n] == 2 {
                        // The second failure is known half a second later.
                        let me = &server.identity;
                        discovery.tell(host(&me.name, server.address, me.protocol, 0, "left", 0));
                        gone.lock().expect("times").insert(me.name.clone(), Instant::now());
                    }
                }
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        stop.store(true, Ordering::Relaxed);
        watching.into_iter().for_each(|w| w.store(true, Ordering::Relaxed));
        let hung = hung.lock().expect("times");
        let since = |times: &Times| {
            let times = times.lock().expect("times");
            let spans = hung.iter().filter_map(|(n, at)| {
                times.get(n).map(|t| t.saturating_duration_since(*at).as_secs_f64() * 1000.0)
            });
            spans.collect::<Vec<f64>>()
        };
        let (sent, listed) = (since(&last), since(&gone));
        let (count, (a, b), (c, d)) = (listed.len(), quantiles(sent), quantiles(listed));
        println!("{name:32} {a:8.0} {b:8.0}      {c:8.0} {d:8.0}     {count} of {DYING} seen");
    }
}

fn data(n: usize) -> Bytes {
    let address = ([127, 1, (n >> 8) as u8, n as u8], 8080).into();
    let dial = Endpoint { address, protocol: glenwood_list::Protocol::Http1 };
    let host = ListEntry {
        started_ms: 1.0,
        zone: "z1".into(),
        kind: "m1".into(),
        ..ListEntry::active(&format!("server-{n:05}"), dial)
    };
    Bytes::from(serde_json::to_vec(&host).expect("an entry"))
}

/// One session that holds the entries of many servers.
struct Many {
    driver: Driver<Session<usize>>,
}

impl Many {
    async fn start(members: &[SocketAddr]) -> Self {
        let settings = session::Settings { members: members.len(), timeout: 30_000.0, seed: 3 };
        let driver = Driver::new(Session::new(0.0, settings), members.to_vec(), Instant::now());
        let mut many = Self { driver };
        while !matches!(many.driver.next().await, Event::Established { .. }) {}
        many.ask(
            0,
            Request::Create {
                path: "/servers".into(),
                data: Bytes::new(),
                acl: Acl::world_all(),
                mode: Mode::default(),
                stat: false,
            },
        );
        many.answers(1).await;
        many
    }

    fn ask(&mut self, name: usize, request: Request) {
        let now = self.driver.now();
        self.driver.machine_mut().submit(now, name, request);
    }

    async fn answers(&mut self, count: usize) {
        let mut had = 0;
        while had < count {
            if let Event::Answer(_, answer) = self.driver.next().await {
                answer.expect("it is done");
                had += 1;
            }
        }
    }

    async fn register(&mut self, from: usize, to: usize) {
        for n in from..to {
            let mode = Mode { ephemeral: true, sequential: false };
            let path = format!("/servers/server-{n:05}");
            self.ask(n, Request::Create { path, data: data(n), acl: Acl::world_all(), mode, stat: false });
        }
        self.answers(to - from).await;
    }

    async fn remove(&mut self, n: usize) {
        self.ask(n, Request::Delete { path: format!("/servers/server-{n:05}"), version: -1 });
        self.answers(1).await;
    }
}

fn sizes() {
    println!("servers   taken in, ms      node, MB   at rest: CPU ms/s, bytes/s   one change a second: CPU ms/s, bytes/s");
    for size in SIZES {
        let service = Service::start(1);
        let members = service.members.clone();
        let mut many = glenwood_testkit::wait("a session", Many::start(&members));
        glenwood_testkit::wait("all are registered", many.register(0, size));
        let nobody: SocketAddr = "127.0.0.1:1".parse().expect("an address");
        let begin = Instant::now();
        let node = Node::start(&program(), &config("n0", nobody, settings(400.0)), Some(&operator(&service)));
        let has_all = format!("registrations: {size} servers");
        glenwood_testkit::until("all are taken in", || node.log().iter().any(|l| l.contains(&has_all)));
        let node_took = begin.elapsed().as_secs_f64() * 1000.0;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let (took, rest, busy) = runtime.block_on(async {
            let mut driver = view(&service);
            let begin = Instant::now();
            while driver.machine().list().count() < size {
                driver.next().await;
            }
            let took = begin.elapsed().as_secs_f64() * 1000.0;
            let span = Duration::from_secs(5);
            let (bytes, cpu) = (driver.bytes_moved(), node.cpu());
            let _ = tokio::time::timeout(span, async {
                loop {
                    driver.next().await;
                }
            })
            .await;
            let moved = |now: (u64, u64), before: (u64, u64)| (now.0 + now.1 - before.0 - before.1) / 5;
            let rest = ((node.cpu() - cpu) * 2, moved(driver.bytes_moved(), bytes));
            let (bytes, cpu) = (driver.bytes_moved(), node.cpu());
            let changes = async {
                for n in 0..5 {
                    many.remove(n).await;
                    tokio::time::sleep(Duration::from_millis(500)).await;
                    many.register(n, n + 1).await;
                    tokio::time::sleep(Duration::from_millis(500)).await;
                }
            };
            tokio::select! {
                () = changes => {}
                () = async { loop { driver.next().await; } } => {}
            }
            (took, rest, ((node.cpu() - cpu) * 2, moved(driver.bytes_moved(), bytes)))
        });
        let mb = node.resident() as f64 / 1e6;
        println!(
            "{size:7}   {took:6.0} ({node_took:5.0} *)   {mb:7.1}   {:10} {:10}   {:16} {:10}",
            rest.0, rest.1, busy.0, busy.1
        );
    }
    println!(
        "* by the node, from its start on as a process. Bytes are of the view beside the node, both ways."
    );
    // Five thousand that register while a node follows.
    let service = Service::start(1);
    let mut many = glenwood_testkit::wait("a session", Many::start(&service.members));
    let nobody: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    let node = Node::start(&program(), &config("n0", nobody, settings(400.0)), Some(&operator(&service)));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let mut driver = view(&service);
        let _ = tokio::time::timeout(Duration::from_secs(1), async { loop { driver.next().await; } }).await;
        let (cpu, begin) = (node.cpu(), Instant::now());
        let mut registered = None;
        let registering = async {
            for step in 0..50 {
                many.register(step * 100, step * 100 + 100).await;
                let due = Duration::from_millis(20 * (step as u64 + 1));
                tokio::time::sleep(due.saturating_sub(begin.elapsed())).await;
            }
            registered = Some(begin.elapsed());
            // Its session is to stay.
            many.driver.next().await;
        };
        tokio::select! {
            () = registering => {}
            () = async { while driver.machine().list().count() < 5000 { driver.next().await; } } => {}
        }
        let took = begin.elapsed().as_secs_f64();
        let (names, data) = driver.machine().follower().request_counts();
        let registered = registered.map_or(0.0, |r| r.as_secs_f64());
        println!(
            "5000 within {registered:.2} s: all listed after {took:.2} s, {names} readings of names, {data} of data; \
             the node used {} ms of CPU, {:.1} MB",
            (node.cpu() - cpu) * 10,
            node.resident() as f64 / 1e6
        );
    });
}

fn main() {
    let only = std::env::args().skip(1).find(|a| !a.starts_with('-'));
    if only.as_deref().is_none_or(|o| o == "sizes") {
        sizes();
    }
    if only.as_deref().is_none_or(|o| o == "detect") {
        detect();
    }
}
