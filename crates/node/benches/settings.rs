//! Measures a node with very many tenants: the time until it is ready, its memory, and what a reload by
//! SIGHUP costs it and its clients: `cargo bench -p glenwood-node --bench settings [-- TENANTS ...]`.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use glenwood_testkit::discovery::{active, Discovery};
use glenwood_testkit::node::{config, settings, Node, Program};
use glenwood_testkit::script::{always, Ledger, Step};
use glenwood_testkit::server::{Identity, Protocol, StandIn};
use hdrhistogram::Histogram;
use serde_json::{json, Value};

/// Duration of each measurement of latencies, without and with reloads.
const MEASURED_TIME: Duration = Duration::from_secs(6);
/// Interval of the reloads.
const RELOAD_INTERVAL: Duration = Duration::from_millis(1_000);

/// A configuration with so many tenants; `quota` makes its contents differ.
fn config_with_tenants(discovery: SocketAddr, tenants: usize, quota: f64) -> Value {
    let mut settings = settings(2000.0);
    let tenant = |n: usize| json!({"Name": format!("tenant-{n:06}"), "QuotaPerS": quota + n as f64, "Contact": "nobody@example.org", "Since": 2024});
    settings["Customers"] = (0..tenants).map(tenant).collect();
    config("n0", discovery, settings)
}

/// Sends one request on an open connection and returns the time until its response is complete.
fn send_request(stream: &mut TcpStream, number: usize) -> Duration {
    let request = format!(
        "GET /look/1 HTTP/1.1\r\nHost: x\r\nX-Txn: b{number}\r\nX-Org: tenant-000007\r\nX-Remaining-Ms: 8000\r\n\r\n"
    );
    let sent_at = Instant::now();
    stream.write_all(request.as_bytes()).expect("failed to send");
    let (mut response, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        let count = stream.read(&mut buffer).expect("failed to receive");
        assert!(count > 0, "the node closed the connection");
        response.extend_from_slice(&buffer[..count]);
        if is_complete(&response) {
            assert!(response.starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&response));
            return sent_at.elapsed();
        }
    }
}

fn is_complete(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head
        .lines()
        .find_map(|line| line.to_ascii_lowercase().strip_prefix("content-length:")?.trim().parse().ok());
    length.is_some_and(|length: usize| body.len() >= length)
}

/// Measures the latencies of requests for [`MEASURED_TIME`], in microseconds, with a reload every
/// [`RELOAD_INTERVAL`] if `reloads`. Also returns the number of reloads.
fn measure_latencies(
    node: &Node,
    discovery: SocketAddr,
    tenants: usize,
    reloads: bool,
) -> (Histogram<u64>, usize) {
    let mut histogram = Histogram::new(3).expect("invalid precision");
    let configs: Vec<Value> = (0..MEASURED_TIME.as_secs())
        .map(|n| config_with_tenants(discovery, tenants, 1.0 + n as f64))
        .collect();
    let mut stream = TcpStream::connect(node.address).expect("failed to connect");
    stream.set_nodelay(true).expect("failed to set TCP_NODELAY");
    let (started_at, mut reload_count, mut number) = (Instant::now(), 0, 0);
    while started_at.elapsed() < MEASURED_TIME {
        if reloads && started_at.elapsed() >= RELOAD_INTERVAL * reload_count as u32 {
            node.reload(&configs[reload_count % configs.len()]);
            reload_count += 1;
        }
        number += 1;
        let latency = send_request(&mut stream, number + 1_000_000 * usize::from(reloads));
        histogram.saturating_record(latency.as_micros() as u64);
        std::thread::sleep(Duration::from_millis(2));
    }
    (histogram, reload_count)
}

fn main() {
    let arguments: Vec<usize> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let sizes = if arguments.is_empty() { vec![10, 1_000, 11_750, 47_000] } else { arguments };
    let identity = Identity { name: "a".into(), cell: 0, protocol: Protocol::Http };
    let server = StandIn::start(identity, always(Step::Serve), Ledger::new(Duration::from_secs(8)));
    let discovery = Discovery::start(&[active(&server)]);
    println!(
        "tenants  ready-s  MB  MB-after  reload-ms  p99-us  p99-us-with-reloads  max-us  max-us-with-reloads"
    );
    for tenants in sizes {
        let started_at = Instant::now();
        let program = Program::new(env!("CARGO_BIN_EXE_glenwood"));
        let node = Node::start(&program, &config_with_tenants(discovery.address, tenants, 0.5), None);
        node.wait_ready();
        let ready_after = started_at.elapsed();
        let (quiet, _) = measure_latencies(&node, discovery.address, tenants, false);
        let (memory_before, cpu_before) = (node.resident_bytes(), node.cpu_ticks());
        let (_, quiet_cpu) =
            (measure_latencies(&node, discovery.address, tenants, false), node.cpu_ticks() - cpu_before);
        let cpu_before = node.cpu_ticks();
        let (busy, reload_count) = measure_latencies(&node, discovery.address, tenants, true);
        let reload_cpu = (node.cpu_ticks() - cpu_before).saturating_sub(quiet_cpu);
        println!(
            "{tenants:7} {:8.2} {:3.0} {:9.0} {:10.0} {:7} {:20} {:7} {:20}",
            ready_after.as_secs_f64(),
            memory_before as f64 / 1e6,
            node.resident_bytes() as f64 / 1e6,
            10.0 * reload_cpu as f64 / reload_count as f64,
            quiet.value_at_quantile(0.99),
            busy.value_at_quantile(0.99),
            quiet.max(),
            busy.max()
        );
    }
}
