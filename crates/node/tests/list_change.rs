//! The processor time that a change of one server costs a whole node, from the line on the watch to the
//! decision, when very many servers are listed.

use std::net::SocketAddr;
use std::time::Duration;

use glenwood_testkit::discovery::{host, Discovery};
use glenwood_testkit::node::{config, settings, Node, Program};
use glenwood_testkit::server::Protocol;
use glenwood_testkit::until;
use serde_json::{json, Value};

const SERVERS: usize = 13_000;
const NODES: usize = 1_300;
const CHANGES: u32 = 20;
/// The most processor time per change in a build without optimisation. Code that looks at each listed server
/// takes several times what a change normally costs: 14 ms was measured.
const MAX_TIME_PER_CHANGE: Duration = Duration::from_millis(8);

fn entry(number: usize, health: &str) -> Value {
    let address = SocketAddr::from(([127, 0, (number >> 8) as u8, number as u8], 9));
    host(&format!("server-{number:06}"), address, Protocol::Http, number as u64 / 2, health, 0)
}

#[test]
fn a_change_of_one_server_costs_what_changed() {
    let hosts: Vec<Value> = (0..SERVERS).map(|number| entry(number, "active")).collect();
    let discovery = Discovery::start(&hosts);
    let program = Program::new(env!("CARGO_BIN_EXE_glenwood"));
    let mut settings = settings(2000.0);
    settings["PeersTotal"] = json!(NODES);
    let node =
        Node::start(&program, &config("n0", discovery.address, settings), Some("[trace]\non = true\n"));
    node.wait_ready();
    let entries = || node.log().iter().filter(|line| line.contains(" entry ")).count();
    let wait_applied = |count: usize| until("the change is applied", || entries() == count);
    // Not measured: the first changes meet a list that has only just been read.
    (0..2).for_each(|number| discovery.update(entry(SERVERS / 2 + number, "leaving")));
    wait_applied(2);
    let before = node.cpu_time();
    for number in 0..CHANGES as usize {
        discovery.update(entry(SERVERS / 3 + number, "leaving"));
        wait_applied(3 + number);
    }
    let spent = (node.cpu_time() - before) / CHANGES;
    println!("{spent:?} per change");
    assert!(spent < MAX_TIME_PER_CHANGE, "{spent:?} per change");
}
