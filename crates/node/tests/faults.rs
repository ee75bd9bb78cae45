//! System calls of the node that fail as Linux documents.

mod peers;

use glenwood_faults::{Call, Plan, Share};
use libc::{ECONNABORTED, EINTR, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO};
use peers::*;
use serde_json::json;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The share of calls that fail, in a thousand.
const OFTEN: Share = 600;
/// All that accept(2) names for a moment's trouble.
const ACCEPT: [i32; 7] = [ECONNABORTED, EPROTO, EINTR, ENOMEM, ENOBUFS, ENFILE, EMFILE];

/// How long a client takes from its connection to its first request, so that the node has accepted it by then, as a rule.
const PAUSE: Duration = Duration::from_millis(60);
const CLIENTS: usize = 8;
const REQUESTS: usize = 20;

/// Clients whose first request is on its way while accept fails again and again: none of their connections is closed to make room.
#[test]
fn accept_that_fails_for_a_moment_loses_no_first_request() {
    for seed in 1..=3 {
        // No connection to it is ever idle, and could be closed in place of a client's.
        let server = Peer::new(|_| Reply::ThenClose(answer(200, "Connection: close\r\n", "served")));
        let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
        let plan = Plan::new(seed).fails(Call::Accept, OFTEN, &ACCEPT);
        let node = Node::ready_with_faults(&config(registry.address), &plan);
        let lost: usize = std::thread::scope(|scope| {
            let node = &node;
            let asking: Vec<_> =
                (0..CLIENTS).map(|client| scope.spawn(move || lost_first(node, client))).collect();
            asking.into_iter().map(|asking| asking.join().expect("no panic")).sum()
        });
        assert_eq!(lost, 0, "seed {seed}: first requests of {} with no answer", CLIENTS * REQUESTS);
    }
}

/// How many first requests on new connections had no answer.
fn lost_first(node: &Node, client: usize) -> usize {
    let is_lost = |number: &usize| {
        let mut connection = Client::to(node);
        std::thread::sleep(PAUSE);
        connection.try_send(&request("look", &format!("{client}-{number}"), 9000)).is_err()
            || connection.receive().map(|answer| answer.status()) != Some(200)
    };
    (0..REQUESTS).filter(is_lost).count()
}

/// The same at the end of the node: what the backlog holds is accepted behind what can't be.
#[test]
fn accept_that_fails_does_not_end_the_emptying_of_the_backlog() {
    for seed in 1..=5 {
        let server = Peer::healthy("served");
        let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
        let node = Node::ready_with_faults(
            &config(registry.address),
            &Plan::new(seed).fails(Call::Accept, OFTEN, &ACCEPT),
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

/// How long a node may take to be ready though its calls fail.
const READY_WITHIN: Duration = Duration::from_secs(2);

/// What a node needs at its start fails for a moment: it starts all the same.
#[test]
fn a_node_starts_though_socket_fails_for_a_moment() {
    for seed in 1..=5 {
        let server = Peer::healthy("served");
        let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
        let plan = Plan::new(seed).fails(Call::Socket, OFTEN, &[ENFILE, ENOBUFS, ENOMEM, EMFILE]);
        let began = Instant::now();
        let node = Node::ready_with_faults(&config(registry.address), &plan);
        assert!(began.elapsed() < READY_WITHIN, "seed {seed}: ready after {:?}", began.elapsed());
        // Some are refused: there is no connection to the server for them.
        let mut count = 0;
        until("a request is served", || {
            count += 1;
            Client::to(&node).ask(&request("look", &format!("t{count}"), 9000)).status() == 200
        });
    }
}

/// Reads and writes that a signal interrupts, also those by which a process learns of signals: the node goes on, takes its new configuration,
/// and stops when it is told to.
#[test]
fn a_signal_is_taken_though_reading_is_interrupted() {
    for seed in 1..=3 {
        let server = Peer::healthy("served");
        let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
        let config = config(registry.address);
        let plan = Plan::new(seed).fails(Call::Recv, OFTEN, &[EINTR]).fails(Call::Send, OFTEN, &[EINTR]);
        let mut node = Node::ready_with_faults(&config, &plan);
        for reload in 1..=5 {
            node.reload(&config.to_string());
            until("the configuration is taken", || node.count_log_lines("reload: discovery is") == reload);
            let id = format!("t{reload}");
            assert_eq!(Client::to(&node).ask(&request("look", &id, 9000)).status(), 200, "seed {seed}");
        }
        node.terminate();
        assert_eq!(node.exit_code(), Some(0), "seed {seed}");
    }
}

/// How long a server takes to be warm.
const WARM_WITHIN: Duration = Duration::from_millis(3000);
/// Which part of a warm server's requests one may have that has just started, and has at the least once it is warm.
const COLD: f64 = 0.6;
const WARM: f64 = 0.8;

/// A server that starts as many milliseconds after now, as its list says.
fn born(after_ms: f64) -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_secs_f64() * 1000.0 + after_ms
}

/// Asks for some time; gives how many requests each server had meanwhile.
fn shares(node: &Node, servers: [&Peer; 2], name: &str, span: Duration) -> [f64; 2] {
    let before = servers.map(|server| server.seen().len());
    let until = Instant::now() + span;
    let mut count = 0;
    while Instant::now() < until {
        count += 1;
        Client::to(node).ask(&request("look", &format!("{name}-{count}"), 9000));
    }
    let after = servers.map(|server| server.seen().len());
    [0, 1].map(|n| (after[n] - before[n]) as f64)
}

/// A node starts beside a server that has just started, and its wall clock is off: the server is cold, and warm in time.
#[test]
fn a_wall_clock_that_is_off_makes_no_cold_server_warm_and_none_cold_for_ever() {
    for off_by_s in [0, 3_600, -3_600, 5, -5] {
        let (warm, cold) = (Peer::healthy("warm"), Peer::healthy("cold"));
        let mut started = host("s1", cold.address, "active", 1);
        started["born_ms"] = json!(born(0.0));
        let registry = Registry::new(&[host("s0", warm.address, "active", 1), started]);
        let mut config = config(registry.address);
        config["settings"]["Contract"]["WarmWithin"] = json!(WARM_WITHIN.as_millis() as f64);
        let node = Node::ready_with_faults(&config, &Plan::new(1).steps(0, off_by_s));
        let at_first = shares(&node, [&warm, &cold], "first", WARM_WITHIN / 6);
        assert!(at_first[1] < COLD * at_first[0], "off by {off_by_s} s, at first: {at_first:?}");
        shares(&node, [&warm, &cold], "then", WARM_WITHIN);
        let at_last = shares(&node, [&warm, &cold], "last", WARM_WITHIN / 6);
        assert!(at_last[1] > WARM * at_last[0], "off by {off_by_s} s, at last: {at_last:?}");
    }
}

/// A server comes while the node follows the list, and its own wall clock is off.
#[test]
fn a_server_that_comes_is_cold_whatever_its_wall_clock_says() {
    for off_by_ms in [0.0, -3_600_000.0, 3_600_000.0, -60_000.0] {
        let (warm, cold) = (Peer::healthy("warm"), Peer::healthy("cold"));
        let before = host("s0", warm.address, "active", 1);
        let registry = Registry::new(std::slice::from_ref(&before));
        let mut config = config(registry.address);
        config["settings"]["Contract"]["WarmWithin"] = json!(24_000.0);
        let node = Node::ready(&config);
        let mut comes = host("s1", cold.address, "active", 1);
        comes["born_ms"] = json!(born(off_by_ms));
        registry.publish(2, &[before, comes.clone()], &[comes]);
        until("it is known", || {
            Client::to(&node).ask(&request("look", &format!("k{}", cold.seen().len()), 9000));
            !cold.seen().is_empty()
        });
        let served = shares(&node, [&warm, &cold], "t", Duration::from_millis(500));
        assert!(served[1] < COLD * served[0], "off by {off_by_ms} ms: {served:?}");
    }
}
