//! Measures how soon a node detects that a server has died, by registrations and by discovery, and what a
//! list of many servers costs: `cargo bench -p glenwood-node --bench registrations [-- detect|sizes]`.
//! Everything runs on loopback; the results are printed as tables.
//!
//! *Detection.* Ten servers hang one after another, as a machine that freezes does: they accept connections
//! and requests but answer nothing, and their registrar stops sending. Measured from that moment: the last
//! request that reached each server, and the list without it. For comparison, in the same run, discovery is
//! updated by a checker that requests each server's `/health` once a second and removes the server after two
//! failures with a timeout of half a second. That is an assumption about what updates discovery, not a
//! measurement of any system. A view in this process follows the same list as the node, to get the moment at
//! which it changes.

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

const TIMEOUTS_MS: [f64; 6] = [200.0, 500.0, 1000.0, 2000.0, 5000.0, 10_000.0];
const SIZES: [usize; 3] = [12, 500, 5000];
const HANGING: usize = 10;
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
    let view = View::new(0.0, settings, Box::new(|_| false)).expect("invalid settings");
    Driver::new(view, service.members.clone(), Instant::now())
}

/// Runs a view on a separate thread and records when each server leaves its list.
fn watch_removals(service: &Service, removed_at: Times) -> Arc<AtomicBool> {
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    let members = service.members.clone();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("failed to build a runtime");
        runtime.block_on(async {
            let session = session::Settings { members: members.len(), timeout: 1000.0, seed: 77 };
            let path = "/servers".to_string();
            let settings =
                Settings { session, path, relist_interval: 60_000.0, guard: None, suspect_ms: 0.0 };
            let view = View::new(0.0, settings, Box::new(|_| false)).expect("invalid settings");
            let mut driver = Driver::new(view, members, Instant::now());
            while !stopped.load(Ordering::Relaxed) {
                let next = tokio::time::timeout(Duration::from_millis(100), driver.next()).await;
                let Ok(ViewEvent::List { hosts, .. }) = next else { continue };
                for host in hosts.iter().filter(|h| h.health == Health::Left) {
                    removed_at
                        .lock()
                        .expect("mutex poisoned")
                        .entry(host.host.clone())
                        .or_insert_with(Instant::now);
                }
            }
        });
    });
    stop
}

/// Whether a server answers `/health` within half a second.
async fn is_healthy(at: SocketAddr) -> bool {
    let check = async {
        let mut stream = TcpStream::connect(at).await?;
        stream.write_all(b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n").await?;
        let mut status_line = [0; 12];
        stream.read_exact(&mut status_line).await
    };
    matches!(tokio::time::timeout(Duration::from_millis(500), check).await, Ok(Ok(_)))
}

/// Starts eight clients that send requests until `stop` is set.
fn load(node: &Node, stop: &Arc<AtomicBool>) {
    for client in 0..8 {
        let (node_address, stop) = (node.address, stop.clone());
        runtime().spawn(async move {
            let mut conn = None;
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                if conn.is_none() {
                    conn = Client::connect(Protocol::Http, node_address).await.ok();
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

/// The median and the 99th percentile.
fn quantiles(mut values: Vec<f64>) -> (f64, f64) {
    values.sort_by(f64::total_cmp);
    let quantile =
        |q: f64| values.get(((values.len() as f64 * q).ceil() as usize).max(1) - 1).copied().unwrap_or(0.0);
    (quantile(0.5), quantile(0.99))
}

fn detect() {
    println!("from a server's hang, ms           last request sent      the list without it");
    println!("                                    p50      p99           p50      p99");
    let mut cases: Vec<(String, Option<f64>)> =
        TIMEOUTS_MS.iter().map(|t| (format!("sessions of {t:>6} ms"), Some(*t))).collect();
    cases.push(("discovery, checked each 1 s".into(), None));
    for (name, timeout) in cases {
        let (hung_at, last_request_at, removed_at): (Times, Times, Times) = Default::default();
        let (hung, last_seen) = (hung_at.clone(), last_request_at.clone());
        let script: Script = Arc::new(move |request| {
            if hung.lock().expect("mutex poisoned").contains_key(&request.server) {
                last_seen.lock().expect("mutex poisoned").insert(request.server.clone(), Instant::now());
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
        let servers: Vec<StandIn> = (0..HANGING + STAYING).map(start).collect();
        let hosts: Vec<_> = servers.iter().map(active).collect();
        let discovery = Discovery::start(&hosts);
        let mut registrations: Vec<Registration> = Vec::new();
        if let Some(timeout) = timeout {
            registrations = servers
                .iter()
                .enumerate()
                .map(|(n, s)| {
                    // The servers that stay must not lose their sessions on a busy machine.
                    let timeout = if n < HANGING { timeout } else { 30_000.0 };
                    Registration::start(&service.members, entry(s, 1.0), timeout)
                })
                .collect();
            registrations.iter().for_each(Registration::wait_registered);
        }
        let operator_file = timeout.map(|_| operator(&service));
        let node = Node::start(
            &program(),
            &config("n0", discovery.address, settings(400.0)),
            operator_file.as_deref().or(Some("")),
        );
        node.wait_ready();
        let stop = Arc::new(AtomicBool::new(false));
        load(&node, &stop);
        let stop_watching = timeout.map(|_| watch_removals(&service, removed_at.clone()));
        std::thread::sleep(Duration::from_secs(2));
        let mut failures = [0usize; HANGING];
        let mut hung_count = 0;
        let begin = Instant::now();
        let mut checked = Instant::now();
        let wait = Duration::from_millis(timeout.unwrap_or(3000.0) as u64 + 2500);
        let mut last_hang = begin;
        while hung_count < HANGING || last_hang.elapsed() < wait {
            if hung_count < HANGING && begin.elapsed() > Duration::from_millis(137 * hung_count as u64) {
                hung_at.lock().expect("mutex poisoned").insert(format!("s{hung_count}"), Instant::now());
                if timeout.is_some() {
                    drop(registrations.remove(0));
                }
                last_hang = Instant::now();
                hung_count += 1;
            }
            if timeout.is_none() && checked.elapsed() >= Duration::from_secs(1) {
                checked = Instant::now();
                for (n, server) in servers.iter().enumerate().take(HANGING) {
                    // A machine that hangs answers no health checks either.
                    let hangs = hung_at.lock().expect("mutex poisoned").contains_key(&server.identity.name);
                    let healthy = !hangs && glenwood_testkit::wait("a check", is_healthy(server.address));
                    failures[n] = if healthy { 0 } else { failures[n] + 1 };
                    if failures[n] == 2 {
                        // A real checker would learn of the second failure half a second later.
                        let hung_server = &server.identity;
                        discovery.update(host(
                            &hung_server.name,
                            server.address,
                            hung_server.protocol,
                            0,
                            "left",
                            0,
                        ));
                        removed_at
                            .lock()
                            .expect("mutex poisoned")
                            .insert(hung_server.name.clone(), Instant::now());
                    }
                }
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        stop.store(true, Ordering::Relaxed);
        stop_watching.into_iter().for_each(|w| w.store(true, Ordering::Relaxed));
        let hung_at = hung_at.lock().expect("mutex poisoned");
        let since_hang_ms = |times: &Times| {
            let times = times.lock().expect("mutex poisoned");
            let spans = hung_at.iter().filter_map(|(n, at)| {
                times.get(n).map(|t| t.saturating_duration_since(*at).as_secs_f64() * 1000.0)
            });
            spans.collect::<Vec<f64>>()
        };
        let (sent, listed) = (since_hang_ms(&last_request_at), since_hang_ms(&removed_at));
        let (count, (sent_p50, sent_p99), (listed_p50, listed_p99)) =
            (listed.len(), quantiles(sent), quantiles(listed));
        println!("{name:32} {sent_p50:8.0} {sent_p99:8.0}      {listed_p50:8.0} {listed_p99:8.0}     {count} of {HANGING} seen");
    }
}

/// The registration of a server.
fn entry_data(n: usize) -> Bytes {
    let address = ([127, 1, (n >> 8) as u8, n as u8], 8080).into();
    let dial = Endpoint { address, protocol: glenwood_list::Protocol::Http1 };
    let host = ListEntry {
        started_ms: 1.0,
        zone: "z1".into(),
        kind: "m1".into(),
        ..ListEntry::active(&format!("server-{n:05}"), dial)
    };
    Bytes::from(serde_json::to_vec(&host).expect("failed to serialize"))
}

/// One session that registers many servers.
struct ManyRegistrations {
    driver: Driver<Session<usize>>,
}

impl ManyRegistrations {
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
        many.wait_answers(1).await;
        many
    }

    fn ask(&mut self, name: usize, request: Request) {
        let now = self.driver.now();
        self.driver.machine_mut().submit(now, name, request);
    }

    async fn wait_answers(&mut self, count: usize) {
        let mut received = 0;
        while received < count {
            if let Event::Answer(_, answer) = self.driver.next().await {
                answer.expect("the request failed");
                received += 1;
            }
        }
    }

    async fn register(&mut self, from: usize, to: usize) {
        for n in from..to {
            let mode = Mode { ephemeral: true, sequential: false };
            let path = format!("/servers/server-{n:05}");
            self.ask(
                n,
                Request::Create { path, data: entry_data(n), acl: Acl::world_all(), mode, stat: false },
            );
        }
        self.wait_answers(to - from).await;
    }

    async fn remove(&mut self, n: usize) {
        self.ask(n, Request::Delete { path: format!("/servers/server-{n:05}"), version: -1 });
        self.wait_answers(1).await;
    }
}

fn sizes() {
    println!("servers   loaded, ms        node, MB   idle:    CPU ms/s, bytes/s   one change a second: CPU ms/s, bytes/s");
    for size in SIZES {
        let service = Service::start(1);
        let members = service.members.clone();
        let mut many = glenwood_testkit::wait("a session", ManyRegistrations::start(&members));
        glenwood_testkit::wait("all are registered", many.register(0, size));
        let no_discovery: SocketAddr = "127.0.0.1:1".parse().expect("invalid address");
        let begin = Instant::now();
        let node =
            Node::start(&program(), &config("n0", no_discovery, settings(400.0)), Some(&operator(&service)));
        let loaded = format!("registrations: {size} servers");
        glenwood_testkit::until("all are loaded", || node.log().iter().any(|l| l.contains(&loaded)));
        let node_load_ms = begin.elapsed().as_secs_f64() * 1000.0;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("failed to build a runtime");
        let (load_ms, idle, busy) = runtime.block_on(async {
            let mut driver = view(&service);
            let begin = Instant::now();
            while driver.machine().list().count() < size {
                driver.next().await;
            }
            let load_ms = begin.elapsed().as_secs_f64() * 1000.0;
            let span = Duration::from_secs(5);
            let (bytes, cpu) = (driver.bytes_moved(), node.cpu_ticks());
            let _ = tokio::time::timeout(span, async {
                loop {
                    driver.next().await;
                }
            })
            .await;
            let bytes_per_second =
                |now: (u64, u64), before: (u64, u64)| (now.0 + now.1 - before.0 - before.1) / 5;
            let idle = ((node.cpu_ticks() - cpu) * 2, bytes_per_second(driver.bytes_moved(), bytes));
            let (bytes, cpu) = (driver.bytes_moved(), node.cpu_ticks());
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
            (load_ms, idle, ((node.cpu_ticks() - cpu) * 2, bytes_per_second(driver.bytes_moved(), bytes)))
        });
        let mb = node.resident_bytes() as f64 / 1e6;
        println!(
            "{size:7}   {load_ms:6.0} ({node_load_ms:5.0} *)   {mb:7.1}   {:10} {:10}   {:16} {:10}",
            idle.0, idle.1, busy.0, busy.1
        );
    }
    println!(
        "* by the node, from the start of its process. Bytes are those of the view in this process, in both directions."
    );
    // 5000 servers that register while a node follows the list.
    let service = Service::start(1);
    let mut many = glenwood_testkit::wait("a session", ManyRegistrations::start(&service.members));
    let no_discovery: SocketAddr = "127.0.0.1:1".parse().expect("invalid address");
    let node =
        Node::start(&program(), &config("n0", no_discovery, settings(400.0)), Some(&operator(&service)));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("failed to build a runtime");
    runtime.block_on(async {
        let mut driver = view(&service);
        let _ = tokio::time::timeout(Duration::from_secs(1), async { loop { driver.next().await; } }).await;
        let (cpu, begin) = (node.cpu_ticks(), Instant::now());
        let mut registered = None;
        let registering = async {
            for step in 0..50 {
                many.register(step * 100, step * 100 + 100).await;
                let due = Duration::from_millis(20 * (step as u64 + 1));
                tokio::time::sleep(due.saturating_sub(begin.elapsed())).await;
            }
            registered = Some(begin.elapsed());
            // Keeps the session, and with it the registrations, alive.
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
            "5000 within {registered:.2} s: all listed after {took:.2} s, {names} requests for names, {data} for data; \
             the node used {} ms of CPU, {:.1} MB",
            (node.cpu_ticks() - cpu) * 10,
            node.resident_bytes() as f64 / 1e6
        );
    });
}

fn main() {
    let selected = std::env::args().skip(1).find(|a| !a.starts_with('-'));
    if selected.as_deref().is_none_or(|o| o == "sizes") {
        sizes();
    }
    if selected.as_deref().is_none_or(|o| o == "detect") {
        detect();
    }
}
