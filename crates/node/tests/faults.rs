//! System calls of the node fail with the errors that Linux documents for them.

mod peers;

use glenwood_faults::{Fault, PerMille, Plan};
use libc::{ECONNABORTED, EINTR, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO};
use peers::*;
use serde_json::json;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How many calls in a thousand fail.
const FAILURES_PER_MILLE: PerMille = 600;
/// All temporary errors that accept(2) documents.
const ACCEPT_ERRORS: [i32; 7] = [ECONNABORTED, EPROTO, EINTR, ENOMEM, ENOBUFS, ENFILE, EMFILE];

/// How long a client waits between connecting and its first request, so that the node has normally accepted
/// it by then.
const FIRST_REQUEST_DELAY: Duration = Duration::from_millis(60);
const CLIENTS: usize = 8;
const REQUESTS: usize = 20;

/// Clients send their first request while accept fails repeatedly: the node closes none of their connections
/// to make room.
#[test]
fn accept_that_fails_for_a_moment_loses_no_first_request() {
    for seed in 1..=3 {
        // Closes after each answer, so that no idle server connection exists that the node could close
        // instead of a client's.
        let server = Peer::new(|_| Reply::ThenClose(answer(200, "Connection: close\r\n", "served")));
        let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
        let plan = Plan::new(seed).with_fault(Fault::Accept, FAILURES_PER_MILLE, &ACCEPT_ERRORS);
        let node = Node::ready_with_faults(&config(registry.address), &plan);
        let lost: usize = std::thread::scope(|scope| {
            let node = &node;
            let workers: Vec<_> = (0..CLIENTS)
                .map(|client| scope.spawn(move || count_lost_first_requests(node, client)))
                .collect();
            workers.into_iter().map(|worker| worker.join().expect("no panic")).sum()
        });
        assert_eq!(lost, 0, "seed {seed}: first requests without an answer, of {}", CLIENTS * REQUESTS);
    }
}

/// Sends first requests on new connections and returns how many had no answer.
fn count_lost_first_requests(node: &Node, client: usize) -> usize {
    let is_lost = |number: &usize| {
        let mut connection = Client::to(node);
        std::thread::sleep(FIRST_REQUEST_DELAY);
        connection.try_send(&request("look", &format!("{client}-{number}"), 9000)).is_err()
            || connection.receive().map(|answer| answer.status()) != Some(200)
    };
    (0..REQUESTS).filter(is_lost).count()
}

/// The same while the node stops: it accepts the connections in its backlog that stand behind one whose
/// accept fails.
#[test]
fn accept_that_fails_does_not_end_the_emptying_of_the_backlog() {
    for seed in 1..=5 {
        let server = Peer::healthy("served");
        let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
        let node = Node::ready_with_faults(
            &config(registry.address),
            &Plan::new(seed).with_fault(Fault::Accept, FAILURES_PER_MILLE, &ACCEPT_ERRORS),
        );
        node.suspend();
        let mut clients: Vec<Client> = (0..20).map(|_| Client::to(&node)).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            client.send(&request("slip", &format!("t{n}"), 15_000));
        }
        node.terminate();
        node.resume();
        let answers = clients.iter_mut().filter_map(Client::receive).filter(|answer| answer.status() == 200);
        assert_eq!(answers.count(), 20, "seed {seed}");
    }
}

/// How long a node may take to become ready while its system calls fail.
const READY_WITHIN: Duration = Duration::from_secs(2);

/// The socket calls that a node makes at its start fail temporarily: it starts all the same.
#[test]
fn a_node_starts_though_socket_fails_for_a_moment() {
    for seed in 1..=5 {
        let server = Peer::healthy("served");
        let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
        let plan =
            Plan::new(seed).with_fault(Fault::Socket, FAILURES_PER_MILLE, &[ENFILE, ENOBUFS, ENOMEM, EMFILE]);
        let began = Instant::now();
        let node = Node::ready_with_faults(&config(registry.address), &plan);
        assert!(began.elapsed() < READY_WITHIN, "seed {seed}: ready after {:?}", began.elapsed());
        // Some requests are refused, as no connection to the server could be opened for them.
        let mut count = 0;
        until("a request is served", || {
            count += 1;
            Client::to(&node).ask(&request("look", &format!("t{count}"), 9000)).status() == 200
        });
    }
}

/// Signals interrupt reads and writes, including those by which the process learns of signals: the node keeps
/// running, loads its new configuration, and stops when told to.
#[test]
fn a_signal_is_taken_though_reading_is_interrupted() {
    for seed in 1..=3 {
        let server = Peer::healthy("served");
        let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
        let config = config(registry.address);
        let plan = Plan::new(seed).with_fault(Fault::Recv, FAILURES_PER_MILLE, &[EINTR]).with_fault(
            Fault::Send,
            FAILURES_PER_MILLE,
            &[EINTR],
        );
        let mut node = Node::ready_with_faults(&config, &plan);
        for reload in 1..=5 {
            node.reload(&config.to_string());
            until("the configuration is loaded", || node.count_log_lines("reload: discovery is") == reload);
            let id = format!("t{reload}");
            assert_eq!(Client::to(&node).ask(&request("look", &id, 9000)).status(), 200, "seed {seed}");
        }
        node.terminate();
        assert_eq!(node.exit_code(), Some(0), "seed {seed}");
    }
}

/// How long the slow start of a server takes.
const WARM_WITHIN: Duration = Duration::from_millis(3000);
/// Bounds on a server's requests as a share of a warm server's: just after its start it gets fewer than the
/// first, and once it is warm more than the second.
const MAX_COLD_SHARE: f64 = 0.6;
const MIN_WARM_SHARE: f64 = 0.8;

/// The start time of a server for its list entry: Unix time in milliseconds, `after_ms` from now.
fn unix_ms(after_ms: f64) -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_secs_f64() * 1000.0 + after_ms
}

/// Sends requests for `span`; returns how many each server received.
fn request_counts(node: &Node, servers: [&Peer; 2], name: &str, span: Duration) -> [f64; 2] {
    let before = servers.map(|server| server.seen().len());
    let deadline = Instant::now() + span;
    let mut count = 0;
    while Instant::now() < deadline {
        count += 1;
        Client::to(node).ask(&request("look", &format!("{name}-{count}"), 9000));
    }
    let after = servers.map(|server| server.seen().len());
    [0, 1].map(|n| (after[n] - before[n]) as f64)
}

/// A node with a wrong wall clock starts next to a server that has just started: it treats the server as cold
/// at first, and as warm in time.
#[test]
fn a_wall_clock_that_is_off_makes_no_cold_server_warm_and_none_cold_for_ever() {
    for off_by_s in [0, 3_600, -3_600, 5, -5] {
        let (warm, cold) = (Peer::healthy("warm"), Peer::healthy("cold"));
        let mut started = host("s1", cold.address, "active", 1);
        started["born_ms"] = json!(unix_ms(0.0));
        let registry = Registry::new(&[host("s0", warm.address, "active", 1), started]);
        let mut config = config(registry.address);
        config["settings"]["Contract"]["WarmWithin"] = json!(WARM_WITHIN.as_millis() as f64);
        let node = Node::ready_with_faults(&config, &Plan::new(1).with_clock_step(0, off_by_s));
        let at_first = request_counts(&node, [&warm, &cold], "first", WARM_WITHIN / 6);
        assert!(at_first[1] < MAX_COLD_SHARE * at_first[0], "off by {off_by_s} s, at first: {at_first:?}");
        request_counts(&node, [&warm, &cold], "then", WARM_WITHIN);
        let at_last = request_counts(&node, [&warm, &cold], "last", WARM_WITHIN / 6);
        assert!(at_last[1] > MIN_WARM_SHARE * at_last[0], "off by {off_by_s} s, at last: {at_last:?}");
    }
}

/// A server with a wrong wall clock joins while the node follows the list.
#[test]
fn a_server_that_joins_is_cold_whatever_its_wall_clock_says() {
    for off_by_ms in [0.0, -3_600_000.0, 3_600_000.0, -60_000.0] {
        let (warm, cold) = (Peer::healthy("warm"), Peer::healthy("cold"));
        let before = host("s0", warm.address, "active", 1);
        let registry = Registry::new(std::slice::from_ref(&before));
        let mut config = config(registry.address);
        config["settings"]["Contract"]["WarmWithin"] = json!(24_000.0);
        let node = Node::ready(&config);
        let mut joining = host("s1", cold.address, "active", 1);
        joining["born_ms"] = json!(unix_ms(off_by_ms));
        registry.publish(2, &[before, joining.clone()], &[joining]);
        until("the node knows the server", || {
            Client::to(&node).ask(&request("look", &format!("k{}", cold.seen().len()), 9000));
            !cold.seen().is_empty()
        });
        let served = request_counts(&node, [&warm, &cold], "t", Duration::from_millis(500));
        assert!(served[1] < MAX_COLD_SHARE * served[0], "off by {off_by_ms} ms: {served:?}");
    }
}
