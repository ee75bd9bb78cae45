//! Measures what the change of one server costs a node process, from the line on the watch to the decision:
//! `cargo bench -p glenwood-node --bench list_change [-- SERVERS ...]`.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use glenwood_testkit::discovery::{host, Discovery};
use glenwood_testkit::node::{config, settings, Node, Program};
use glenwood_testkit::server::Protocol;
use serde_json::{json, Value};

/// Number of changes, and the interval between them.
const CHANGES: u32 = 50;
const INTERVAL: Duration = Duration::from_millis(100);
/// Time that the node is left idle before the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Number of nodes that share the servers; a single node is measured too.
const NODES: usize = 1_300;
const SIZES: [usize; 3] = [23, 1_300, 13_000];

fn entry(number: usize, health: &str) -> Value {
    let address = SocketAddr::from(([127, 0, (number >> 8) as u8, number as u8], 9));
    host(&format!("server-{number:06}"), address, Protocol::Http, number as u64 / 2, health, 0)
}

/// CPU time that a node uses over [`CHANGES`] intervals; `change` is called at the start of each.
fn cpu_time_used(node: &Node, mut change: impl FnMut(u32)) -> Duration {
    let (cpu_before, started) = (node.cpu_time(), Instant::now());
    for number in 0..CHANGES {
        change(number);
        std::thread::sleep((INTERVAL * (number + 1)).saturating_sub(started.elapsed()));
    }
    node.cpu_time() - cpu_before
}

/// CPU time, in milliseconds.
struct Measured {
    /// For one change, beyond what an idle node uses.
    per_change: f64,
    /// Of an idle node, in the interval between two changes.
    idle: f64,
}

fn measure(servers: usize, nodes: usize) -> Measured {
    let hosts: Vec<Value> = (0..servers).map(|number| entry(number, "active")).collect();
    let discovery = Discovery::start(&hosts);
    let program = Program::new(env!("CARGO_BIN_EXE_glenwood"));
    let mut settings = settings(2000.0);
    settings["PeersTotal"] = json!(nodes);
    let node = Node::start(&program, &config("n0", discovery.address, settings), None);
    node.wait_ready();
    std::thread::sleep(SETTLE_TIME);
    let idle = cpu_time_used(&node, |_| ());
    let with_changes = cpu_time_used(&node, |number| {
        let health = if number % 2 == 0 { "leaving" } else { "active" };
        discovery.update(entry(servers / 2, health));
    });
    let per_interval_ms = |used: Duration| used.as_secs_f64() * 1000.0 / f64::from(CHANGES);
    Measured { per_change: per_interval_ms(with_changes.saturating_sub(idle)), idle: per_interval_ms(idle) }
}

fn main() {
    let arguments: Vec<usize> = std::env::args().skip(1).filter_map(|word| word.parse().ok()).collect();
    let sizes = if arguments.is_empty() { SIZES.to_vec() } else { arguments };
    println!("servers  nodes  ms-a-change  ms-at-rest");
    for servers in sizes {
        for nodes in [1, NODES] {
            let Measured { per_change, idle } = measure(servers, nodes);
            println!("{servers:7} {nodes:6} {per_change:12.3} {idle:11.3}");
        }
    }
}
