//! What one event costs does not grow with the servers: looks at single servers are counted, never time.

mod common;

use common::*;
use glenwood_policy::*;

/// The sizes of the rotation.
const SERVERS: [u64; 3] = [100, 1_000, 5_000];
/// How many looks one event may take, at any size.
const LOOKS: u64 = 24;

/// A node that rotates over all servers, and is warmed up.
fn node(servers: u64, lost: bool) -> Node {
    let set = Settings { discovery: Discovery::Asked, nodes: 1, ..settings() };
    let mut node = Node::new_seeded(set, (0..servers).map(|id| entry(id, 1.0)).collect(), 1);
    node.event(Event::ListChange(Vec::new()));
    (0..50).for_each(|_| {
        node.serve(SAFE, 1.0);
    });
    if lost {
        node.event(Event::ListFailed(ListFailure::Ended));
        node.wait(400.0);
    }
    node
}

/// The most looks that one of some events took.
fn looks(node: &mut Node, mut event: impl FnMut(&mut Node, u64)) -> u64 {
    let of_one = |number| {
        let before = node.balancer.steps();
        event(node, number);
        node.balancer.steps() - before
    };
    (0..40).map(of_one).max().expect("some events")
}

fn holds_at_any_size(what: &str, lost: bool, event: impl Fn(&mut Node, u64)) {
    let looks: Vec<u64> = SERVERS.iter().map(|servers| looks(&mut node(*servers, lost), &event)).collect();
    assert!(looks.iter().all(|looks| *looks <= LOOKS), "{what}: {looks:?} looks at {SERVERS:?} servers");
}

#[test]
fn a_request_and_its_answer_cost_the_same_before_any_number_of_servers() {
    for lost in [false, true] {
        holds_at_any_size("a request and its answer", lost, |node, _| {
            node.serve(SAFE, 1.0);
        });
        for outcome in [Outcome::Full, Outcome::Error] {
            holds_at_any_size("an unsafe one that fails", lost, |node, _| {
                let (id, _) = node.ask(UNSAFE);
                node.end(id, outcome);
                node.event(Event::ClientGone(id));
            });
        }
    }
}

#[test]
fn a_check_costs_the_same_before_any_number_of_servers() {
    for outcome in [Outcome::Done, Outcome::TimedOut, Outcome::NotSent] {
        holds_at_any_size("a check and its answer", true, |node, number| {
            node.event(Event::Timer);
            node.event(Event::Probed { server: ServerId(number), outcome, took: 1.0 });
        });
    }
}

#[test]
fn an_ejection_costs_the_same_before_any_number_of_servers() {
    holds_at_any_size("a server that refuses", true, |node, number| {
        node.event(Event::Probed { server: ServerId(number), outcome: Outcome::Error, took: 1.0 });
    });
    holds_at_any_size("a server that is down", false, |node, _| {
        let (id, _) = node.ask(SAFE);
        node.end(id, Outcome::ConnectFailed);
        node.event(Event::ClientGone(id));
    });
}
