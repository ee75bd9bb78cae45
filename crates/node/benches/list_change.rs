//! What one changed server costs a whole node, from the watch's line to the decision, on sockets:
//! `cargo bench -p glenwood-node --bench list_change [-- SERVERS ...]`.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use glenwood_testkit::discovery::{host, Discovery};
use glenwood_testkit::node::{config, settings, Node, Program};
use glenwood_testkit::server::Protocol;
use serde_json::{json, Value};

/// How many changes are told, and how far apart.
const CHANGES: u32 = 50;
const EVERY: Duration = Duration::from_millis(100);
/// How long the node is left to itself before it is timed.
const SETTLE: Duration = Duration::from_secs(3);
/// How many nodes share the servers, besides one alone.
const NODES: usize = 1_300;
const SIZES: [usize; 3] = [23, 1_300, 13_000];

fn entry(number: usize, health: &str) -> Value {
    let address = SocketAddr::from(([127, 0, (number >> 8) as u8, number as u8], 9));
    host(&format!("server-{number:06}"), address, Protocol::Http, number as u64 / 2, health, 0)
}

/// Processor time that a node uses over as many spans as there are changes; each span begins with `tell`.
fn spent(node: &Node, mut tell: impl FnMut(u32)) -> Duration {
    let (before, began) = (node.cpu_time(), Instant::now());
    for number in 0..CHANGES {
        tell(number);
        std::thread::sleep((EVERY * (number + 1)).saturating_sub(began.elapsed()));
    }
    node.cpu_time() - before
}

/// Processor time, in milliseconds.
struct Measured {
    /// Of one change, beyond what is used at rest.
    change: f64,
    /// At rest, in the time between two changes.
    rest: f64,
}

fn measured(servers: usize, nodes: usize) -> Measured {
    let hosts: Vec<Value> = (0..servers).map(|number| entry(number, "active")).collect();
    let discovery = Discovery::start(&hosts);
    let program = Program::new(env!("CARGO_BIN_EXE_glenwood"));
    let mut settings = settings(2000.0);
    settings["PeersTotal"] = json!(nodes);
    let node = Node::start(&program, &config("n0", discovery.address, settings), None);
    node.wait_ready();
    std::thread::sleep(SETTLE);
    let rest = spent(&node, |_| ());
    let changes = spent(&node, |number| {
        let health = if number % 2 == 0 { "leaving" } else { "active" };
        discovery.update(entry(servers / 2, health));
    });
    let of_each = |spent: Duration| spent.as_secs_f64() * 1000.0 / f64::from(CHANGES);
    Measured { change: of_each(changes.saturating_sub(rest)), rest: of_each(rest) }
}

fn main() {
    let named: Vec<usize> = std::env::args().skip(1).filter_map(|word| word.parse().ok()).collect();
    let sizes = if named.is_empty() { SIZES.to_vec() } else { named };
    println!("servers  nodes  ms-a-change  ms-at-rest");
    for servers in sizes {
        for nodes in [1, NODES] {
            let Measured { change, rest } = measured(servers, nodes);
            println!("{servers:7} {nodes:6} {change:12.3} {rest:11.3}");
        }
    }
}
