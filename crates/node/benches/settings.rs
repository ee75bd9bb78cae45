//! A node with very many tenants, on sockets: how soon it is ready, what it holds, and what a file at SIGHUP costs it and its
//! clients: `cargo bench -p glenwood-node --bench settings [-- TENANTS ...]`.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use glenwood_testkit::discovery::{active, Discovery};
use glenwood_testkit::node::{config, settings, Node, Program};
use glenwood_testkit::script::{always, Ledger, Step};
use glenwood_testkit::server::{Identity, Protocol, StandIn};
use hdrhistogram::Histogram;
use serde_json::{json, Value};

/// How long answers are timed, without and with files at SIGHUP.
const SPAN: Duration = Duration::from_secs(6);
/// How far apart files come.
const EVERY: Duration = Duration::from_millis(1_000);

fn file(discovery: SocketAddr, tenants: usize, quota: f64) -> Value {
    let mut settings = settings(2000.0);
    let one = |n: usize| json!({"Name": format!("tenant-{n:06}"), "QuotaPerS": quota + n as f64, "Contact": "nobody@example.org", "Since": 2024});
    settings["Customers"] = (0..tenants).map(one).collect();
    config("n0", discovery, settings)
}

/// One request on a connection that is kept; how long its answer took.
fn ask(stream: &mut TcpStream, number: usize) -> Duration {
    let words = format!(
        "GET /look/1 HTTP/1.1\r\nHost: x\r\nX-Txn: b{number}\r\nX-Org: tenant-000007\r\nX-Remaining-Ms: 8000\r\n\r\n"
    );
    let began = Instant::now();
    stream.write_all(words.as_bytes()).expect("the node reads");
    let (mut answer, mut piece) = (Vec::new(), [0; 4096]);
    loop {
        let count = stream.read(&mut piece).expect("the node answers");
        assert!(count > 0, "the node closed the connection");
        answer.extend_from_slice(&piece[..count]);
        if is_whole(&answer) {
            assert!(answer.starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&answer));
            return began.elapsed();
        }
    }
}

fn is_whole(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer);
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head
        .lines()
        .find_map(|line| line.to_ascii_lowercase().strip_prefix("content-length:")?.trim().parse().ok());
    length.is_some_and(|length: usize| body.len() >= length)
}

/// Times answers for a while; every so often the node is given another file. Also how often it was.
fn timed(node: &Node, discovery: SocketAddr, tenants: usize, reloads: bool) -> (Histogram<u64>, usize) {
    let mut histogram = Histogram::new(3).expect("three digits");
    let files: Vec<Value> = (0..SPAN.as_secs()).map(|n| file(discovery, tenants, 1.0 + n as f64)).collect();
    let mut stream = TcpStream::connect(node.address).expect("the node listens");
    stream.set_nodelay(true).expect("a socket");
    let (began, mut given, mut number) = (Instant::now(), 0, 0);
    while began.elapsed() < SPAN {
        if reloads && began.elapsed() >= EVERY * given as u32 {
            node.reload(&files[given % files.len()]);
            given += 1;
        }
        number += 1;
        let took = ask(&mut stream, number + 1_000_000 * usize::from(reloads));
        histogram.saturating_record(took.as_micros() as u64);
        std::thread::sleep(Duration::from_millis(2));
    }
    (histogram, given)
}

fn main() {
    let named: Vec<usize> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let sizes = if named.is_empty() { vec![10, 1_000, 11_750, 47_000] } else { named };
    let identity = Identity { name: "a".into(), cell: 0, protocol: Protocol::Http };
    let server = StandIn::start(identity, always(Step::Serve), Ledger::new(Duration::from_secs(8)));
    let discovery = Discovery::start(&[active(&server)]);
    println!(
        "tenants  ready-s  MB  MB-after  reload-ms  p99-us  p99-us-with-reloads  max-us  max-us-with-reloads"
    );
    for tenants in sizes {
        let began = Instant::now();
        let program = Program::new(env!("CARGO_BIN_EXE_glenwood"));
        let node = Node::start(&program, &file(discovery.address, tenants, 0.5), None);
        node.wait_ready();
        let ready = began.elapsed();
        let (quiet, _) = timed(&node, discovery.address, tenants, false);
        let (before, cpu) = (node.resident_bytes(), node.cpu_ticks());
        let (_, quiet_cpu) = (timed(&node, discovery.address, tenants, false), node.cpu_ticks() - cpu);
        let cpu = node.cpu_ticks();
        let (busy, given) = timed(&node, discovery.address, tenants, true);
        let spent = (node.cpu_ticks() - cpu).saturating_sub(quiet_cpu);
        println!(
            "{tenants:7} {:8.2} {:3.0} {:9.0} {:10.0} {:7} {:20} {:7} {:20}",
            ready.as_secs_f64(),
            before as f64 / 1e6,
            node.resident_bytes() as f64 / 1e6,
            10.0 * spent as f64 / given as f64,
            quiet.value_at_quantile(0.99),
            busy.value_at_quantile(0.99),
            quiet.max(),
            busy.max()
        );
    }
}
