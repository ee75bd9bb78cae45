//! Operating the node binary: admin endpoint, metrics, reloads, upgrades with two processes at one address,
//! and the trace.

mod peers;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use glenwood_trace::{Record, TraceEvent};
use peers::{
    answer, config, host, request, run, until, Client, Message, Node, Peer, Registry, Reply, WAIT_TIMEOUT,
};
use serde_json::{json, Value};

fn with_admin_endpoint(mut config: Value) -> Value {
    config["mgmt"] = json!("127.0.0.1:0");
    config
}

/// The address of the node's admin endpoint.
fn admin_address(node: &Node) -> SocketAddr {
    node.log_text_after(" answers operators at ").parse().expect("an address")
}

/// Sends one HTTP request; `None` if the connection ends without an answer.
fn http_call(admin_address: SocketAddr, head: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(admin_address).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket");
    stream.write_all(head.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    Some((head.split(' ').nth(1)?.parse().ok()?, body.to_string()))
}

fn get(admin_address: SocketAddr, path: &str) -> (u16, String) {
    http_call(admin_address, &format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n")).expect("an answer")
}

/// The value of a metric by its full name, including labels; 0 if it is not shown.
fn metric(admin_address: SocketAddr, name: &str) -> u64 {
    let (status, text) = get(admin_address, "/metrics");
    assert_eq!(status, 200);
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    value.map_or(0, |value| value.parse().expect("a number"))
}

fn transactions(admin_address: SocketAddr, class: &str, state: &str) -> u64 {
    metric(admin_address, &format!("node_transactions{{group=\"{class}\",state=\"{state}\"}}"))
}

fn registry_with_server(peer: &Peer) -> Registry {
    Registry::new(&[host("s0", peer.address, "active", 0)])
}

#[test]
fn the_admin_endpoint_serves_two_paths_and_rejects_others() {
    let peer = Peer::healthy("s0");
    let registry = registry_with_server(&peer);
    let node = Node::ready(&with_admin_endpoint(config(registry.address)));
    let admin_address = admin_address(&node);
    until("the admin endpoint reports ready", || get(admin_address, "/ready").0 == 200);
    assert!(get(admin_address, "/metrics").1.contains("node_cluster_size 1\n"));
    assert_eq!(get(admin_address, "/look/7").0, 404);
    assert_eq!(
        http_call(admin_address, "POST /ready HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n").map(|a| a.0),
        Some(405)
    );
    assert_eq!(http_call(admin_address, "nonsense\r\n\r\n").map(|a| a.0), Some(400));
    node.terminate();
    until("the node is no longer ready", || {
        http_call(admin_address, "GET /ready HTTP/1.1\r\n\r\n").is_none_or(|a| a.0 == 503)
    });
}

#[test]
fn a_node_without_servers_reports_at_the_admin_endpoint_that_it_is_not_ready() {
    let registry = Registry::new(&[]);
    registry.set_down(true);
    let node = Node::listening(&with_admin_endpoint(config(registry.address)), None);
    assert_eq!(get(admin_address(&node), "/ready").0, 503);
}

/// Opens more connections than the admin endpoint serves at a time; each sends `content` and nothing more.
fn open_connections(admin_address: SocketAddr, content: &str) -> Vec<TcpStream> {
    let caller = |_| {
        let mut stream = TcpStream::connect(admin_address).expect("the kernel accepts it");
        stream.write_all(content.as_bytes()).expect("it is written");
        stream
    };
    (0..200).map(caller).collect()
}

#[test]
fn incomplete_calls_do_not_block_the_admin_endpoint() {
    let peer = Peer::healthy("s0");
    let registry = registry_with_server(&peer);
    // Fewer descriptors than connections: these must not use up the descriptors of other clients either.
    let mut config = with_admin_endpoint(config(registry.address));
    config["limits"]["sockets"] = json!(96);
    let node = Node::listening(&config, Some(96));
    node.wait_ready();
    let admin_address = admin_address(&node);
    let incomplete_calls = open_connections(admin_address, "GET /metr");
    for _ in 0..5 {
        let sent_at = Instant::now();
        assert_eq!(get(admin_address, "/ready").0, 200);
        // The held connections time out after five seconds: the answer must not wait for that.
        assert!(sent_at.elapsed() < Duration::from_secs(4), "{:?}", sent_at.elapsed());
    }
    assert_eq!(Client::to(&node).ask(&request("look", "t1", 5000)).status(), 200);
    drop(incomplete_calls);
}

#[test]
fn clients_that_never_read_do_not_block_the_admin_endpoint() {
    let peer = Peer::healthy("s0");
    let registry = registry_with_server(&peer);
    let mut config = with_admin_endpoint(config(registry.address));
    config["limits"]["sockets"] = json!(96);
    let node = Node::listening(&config, Some(96));
    node.wait_ready();
    let admin_address = admin_address(&node);
    let unread_connections = open_connections(admin_address, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    let sent_at = Instant::now();
    assert_eq!(get(admin_address, "/ready").0, 200);
    assert!(sent_at.elapsed() < Duration::from_secs(4), "{:?}", sent_at.elapsed());
    drop(unread_connections);
}

#[test]
fn an_admin_endpoint_that_cannot_be_opened_is_reported_in_one_line() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let registry = Registry::new(&[]);
    let mut config = config(registry.address);
    config["mgmt"] = json!(taken.local_addr().expect("bound").to_string());
    let (code, content) = run(&config);
    assert_eq!(code, Some(1));
    assert!(content.contains("mgmt: ") && content.trim().lines().count() == 1, "{content}");
    config["mgmt"] = json!("nowhere");
    let (code, content) = run(&config);
    assert_eq!(code, Some(1));
    assert!(content.contains("mgmt: IP address and port expected"), "{content}");
}

#[test]
fn metrics_match_what_the_peers_saw() {
    // The X-Org header selects the server's reply.
    let peer = Peer::new(|message: &Message| match message.header("x-org") {
        Some("fail") => Reply::Now(answer(500, "", "")),
        Some("away") => Reply::Now(answer(503, "X-Turned-Away: 1\r\n", "")),
        Some("none") => Reply::Nothing,
        _ => Reply::Now(answer(200, "", "served")),
    });
    let registry = registry_with_server(&peer);
    let mut node_config = with_admin_endpoint(config(registry.address));
    node_config["settings"]["Limits"]["AttemptsCap"] = json!(1);
    let node = Node::ready(&node_config);
    let admin_address = admin_address(&node);
    let ask = |class: &str, txn: &str, org: &str, remaining: u64| {
        let content = request(class, txn, remaining).replace("X-Txn", &format!("X-Org: {org}\r\nX-Txn"));
        Client::to(&node).ask(&content).status()
    };
    for n in 0..5 {
        assert_eq!(ask("look", &format!("a{n}"), "good", 5000), 200);
    }
    let unserved = [("b", "none", 300), ("c", "fail", 5000), ("d", "away", 5000)];
    let statuses = unserved.map(|(txn, org, remaining)| ask("slip", txn, org, remaining));
    let refused = statuses.iter().filter(|status| **status == 503).count() as u64;
    assert!((1..3).contains(&refused) && !statuses.contains(&200), "{statuses:?}");
    // Requests that the front rejects: an unknown class is not counted, an invalid request counts for its
    // class.
    assert_eq!(Client::to(&node).ask(&request("other", "e", 5000)).status(), 404);
    assert_eq!(
        Client::to(&node).ask(&request("pay", "f", 5000).replace("Idempotency-Key", "X-Key")).status(),
        400
    );
    let count = |class, state| transactions(admin_address, class, state);
    assert_eq!(["answered", "deferred", "errored"].map(|state| count("look", state)), [5, 0, 0]);
    assert_eq!(
        ["answered", "deferred", "errored"].map(|state| count("slip", state)),
        [0, refused, 3 - refused]
    );
    assert_eq!(["answered", "deferred", "errored"].map(|state| count("pay", state)), [0, 0, 1]);
    assert_eq!(metric(admin_address, "node_sends"), peer.seen().len() as u64);
    assert_eq!(metric(admin_address, "node_current"), 0);
    // An open request is counted until its client disconnects.
    let mut client = Client::to(&node);
    client.send(&request("look", "g", 20_000).replace("X-Txn", "X-Org: none\r\nX-Txn"));
    until("the request is open", || metric(admin_address, "node_current") == 1);
    drop(client);
    until("the disconnect is noticed", || metric(admin_address, "node_current") == 0);
    assert_eq!(count("look", "errored"), 0);
}

#[test]
fn a_server_that_is_down_is_counted_as_unhealthy() {
    let (good, closed) = (Peer::healthy("s0"), TcpListener::bind("127.0.0.1:0").expect("a port"));
    let closed_address = closed.local_addr().expect("bound");
    drop(closed);
    let registry =
        Registry::new(&[host("s0", good.address, "active", 0), host("s1", closed_address, "active", 0)]);
    let node = Node::ready(&with_admin_endpoint(config(registry.address)));
    let admin_address = admin_address(&node);
    assert_eq!(
        (metric(admin_address, "node_cluster_size"), metric(admin_address, "node_cluster_unhealthy")),
        (2, 0)
    );
    let mut client = Client::to(&node);
    let mut number = 0;
    until("the server is unhealthy", || {
        number += 1;
        assert_eq!(client.ask(&request("look", &format!("t{number}"), 5000)).status(), 200);
        metric(admin_address, "node_cluster_unhealthy") == 1
    });
}

#[test]
fn a_second_process_takes_over_without_a_request_lost() {
    let peer = Peer::new(|_| Reply::After(Duration::from_millis(5), answer(200, "", "served")));
    let registry = registry_with_server(&peer);
    let mut node_config = with_admin_endpoint(config(registry.address));
    node_config["settings"]["Classes"][0]["Deadline"] = json!(1500.0);
    node_config["settings"]["Classes"][1]["Deadline"] = json!(1500.0);
    node_config["settings"]["Classes"][2]["Deadline"] = json!(1500.0);
    // With a backlog of its own the old process would reset, as it closes its socket, the connections that
    // the kernel has assigned to it. Both processes therefore share one backlog.
    let shared_dir = shared_dir("takes-over");
    let mut old = Node::started_in(&shared_dir, &node_config).wait_listening();
    old.wait_ready();
    old.wait_for_log("can hand its listening sockets on");
    node_config["listen"] = json!(old.address.to_string());
    let request_count = std::sync::atomic::AtomicUsize::new(0);
    let stopped = std::sync::atomic::AtomicBool::new(false);
    let (request_count, stopped) = (&request_count, &stopped);
    /// Stops the client threads however the test ends.
    struct StopOnDrop<'a>(&'a std::sync::atomic::AtomicBool);
    impl Drop for StopOnDrop<'_> {
        fn drop(&mut self) {
            self.0.store(true, std::sync::atomic::Ordering::SeqCst);
        }
    }
    std::thread::scope(|scope| {
        let at = old.address;
        for client in 0..8 {
            scope.spawn(move || {
                let mut keep_alive: Option<Client> = None;
                while !stopped.load(std::sync::atomic::Ordering::SeqCst) {
                    let number = request_count.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
                    // Every third request opens a connection, so that each step of the takeover meets new
                    // ones.
                    let fresh = keep_alive.is_none() || number % 3 == 0;
                    let mut conn = if fresh { Client::at(at) } else { keep_alive.take().expect("kept") };
                    let response = conn.ask(&request("slip", &format!("t{client}-{number}"), 5000));
                    assert_eq!(response.status(), 200);
                    let closes =
                        response.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
                    keep_alive = (!closes).then_some(conn);
                }
            });
        }
        let _stop_on_drop = StopOnDrop(stopped);
        let count = || request_count.load(std::sync::atomic::Ordering::SeqCst);
        for _ in 0..2 {
            let new = Node::started_in(&shared_dir, &node_config).wait_listening();
            let admin_address = admin_address(&new);
            until("the new process is ready", || get(admin_address, "/ready").0 == 200);
            let before = count();
            old.terminate();
            assert_eq!(old.exit_code(), Some(0));
            until("requests go on", || count() > before + 20);
            old = new;
        }
    });
    assert_eq!(peer.seen().len(), value_of(request_count), "each was executed once");
    let _ = std::fs::remove_dir_all(shared_dir);
}

fn value_of(request_count: &std::sync::atomic::AtomicUsize) -> usize {
    request_count.load(std::sync::atomic::Ordering::SeqCst)
}

#[test]
fn a_second_process_that_cannot_serve_takes_no_connection() {
    let peer = Peer::healthy("s0");
    let registry = registry_with_server(&peer);
    let first = Node::ready(&with_admin_endpoint(config(registry.address)));
    let mut node_config = with_admin_endpoint(config(registry.address));
    node_config["listen"] = json!(first.address.to_string());
    registry.set_down(true);
    let second = Node::started(&node_config);
    until("the second process is up", || second.log_contains("another process listens at"));
    let admin_address = second.wait_for_log(" answers operators at ").parse().expect("an address");
    assert_eq!(get(admin_address, "/ready").0, 503);
    for n in 0..40 {
        assert_eq!(Client::to(&first).ask(&request("look", &format!("t{n}"), 5000)).status(), 200);
    }
    registry.set_down(false);
    until("the second process can serve", || get(admin_address, "/ready").0 == 200);
}

/// A copy of the configuration with the given classes, each as (name, idempotency).
fn with_classes(config: &Value, classes: &[(&str, &str)]) -> Value {
    let mut config = config.clone();
    let template = config["settings"]["Classes"][0].clone();
    let class = |(name, effect): &(&str, &str)| {
        let mut class = template.clone();
        (class["Name"], class["Idempotency"]) = (json!(name), json!(effect));
        class
    };
    config["settings"]["Classes"] = classes.iter().map(class).collect();
    config
}

#[test]
fn classes_come_and_go_at_sighup_and_a_broken_file_changes_nothing() {
    let peer = Peer::healthy("s0");
    let registry = registry_with_server(&peer);
    let node_config = with_admin_endpoint(config(registry.address));
    let node = Node::ready(&node_config);
    let admin_address = admin_address(&node);
    let ask = |class: &str, txn: &str| Client::to(&node).ask(&request(class, txn, 5000)).status();
    assert_eq!((ask("slip", "a"), ask("look-next", "b")), (200, 404));
    let next = with_classes(&node_config, &[("look-next", "side_effect"), ("look", "pure")]);
    node.reload(&next.to_string());
    until("the new file is in use", || metric(admin_address, "node_conf_loaded") == 1);
    let renamed_request = request("slip", "c", 5000).replace("/slip/", "/look-next/");
    assert_eq!(
        Client::to(&node).ask(&renamed_request).status(),
        200,
        "the class has its new name and accepts its method"
    );
    assert_eq!((ask("slip", "d"), ask("look", "e")), (404, 200));
    let mut zero_deadline = next.clone();
    zero_deadline["settings"]["Classes"][0]["Deadline"] = json!(0);
    zero_deadline["discovery"] = json!("127.0.0.1:1");
    let mut no_attempts = next.clone();
    no_attempts["settings"]["Limits"]["AttemptsCap"] = json!(0);
    let mut missing_slo = next.clone();
    missing_slo["settings"]["Classes"][1].as_object_mut().expect("an object").remove("Slo");
    let whole = next.to_string();
    let broken = [
        String::new(),
        whole[..whole.len() / 2].into(),
        zero_deadline.to_string(),
        no_attempts.to_string(),
        missing_slo.to_string(),
    ];
    let calls = registry.paths().len();
    for (n, content) in (1..).zip(&broken) {
        node.reload(content);
        until("the file is rejected", || metric(admin_address, "node_conf_invalid") == n);
        assert_eq!((ask("look", &format!("f{n}")), ask("pay", &format!("g{n}"))), (200, 404));
    }
    assert_eq!(metric(admin_address, "node_conf_loaded"), 1);
    assert_eq!(registry.paths().len(), calls, "the list is not requested again");
    node.wait_for_log("Slo");
    node.wait_for_log("the old configuration stays");
    // Counters run from the start of the process, even for a class that no longer exists.
    assert_eq!(transactions(admin_address, "slip", "answered"), 1);
    assert_eq!(transactions(admin_address, "look-next", "answered"), 1);
}

#[test]
fn a_request_in_flight_keeps_the_class_that_it_arrived_with() {
    let (release, release_receiver) = std::sync::mpsc::channel::<()>();
    let release_receiver = std::sync::Mutex::new(release_receiver);
    let peer = Peer::new(move |message: &Message| {
        if message.path().starts_with("/slip") {
            // An error means that the test has dropped the sender, which also releases the request.
            let _ = release_receiver.lock().expect("no panic").recv();
        }
        match message.header("x-org") {
            Some("fail") => Reply::Now(answer(500, "", "")),
            _ => Reply::Now(answer(200, "", "served")),
        }
    });
    let registry = registry_with_server(&peer);
    let node_config = with_admin_endpoint(config(registry.address));
    let node = Node::ready(&node_config);
    let admin_address = admin_address(&node);
    let mut in_flight = Client::to(&node);
    in_flight.send(&request("slip", "a", 20_000));
    // A request whose head has arrived, which decides its class, and whose body is incomplete.
    let mut half = Client::to(&node);
    let whole = request("pay", "b", 20_000);
    half.send(&whole[..whole.len() - 4]);
    // An incomplete unsafe request, which will fail at its server.
    let mut unsafe_half = Client::to(&node);
    let unsafe_whole = request("slip", "u", 20_000).replace("X-Txn", "X-Org: fail\r\nX-Txn");
    unsafe_half.send(&unsafe_whole[..unsafe_whole.len() - 4]);
    until("the first request reached its server", || peer.seen().len() == 1);
    node.reload(
        &with_classes(&node_config, &[("other", "pure"), ("another", "pure"), ("look", "pure")]).to_string(),
    );
    until("the new settings are in use", || metric(admin_address, "node_conf_loaded") == 1);
    half.send("work");
    assert_eq!(half.receive().map(|m| m.status()), Some(200));
    assert_eq!(Client::to(&node).ask(&request("look", "c", 5000).replace("look", "other")).status(), 200);
    unsafe_half.send("work");
    // Both unsafe requests wait at the server.
    (0..2).for_each(|_| release.send(()).expect("the server waits"));
    assert_eq!(
        unsafe_half.receive().map(|m| m.status()),
        Some(502),
        "not retried, although all classes are now safe"
    );
    assert_eq!(peer.seen().iter().filter(|m| m.header("x-txn") == Some("u")).count(), 1);
    assert_eq!(in_flight.receive().map(|m| (m.status(), m.body)), Some((200, b"served".to_vec())));
    assert_eq!(
        (transactions(admin_address, "slip", "answered"), transactions(admin_address, "pay", "answered")),
        (1, 1)
    );
    assert_eq!(transactions(admin_address, "other", "answered"), 1);
}

/// Creates a directory that two processes share.
fn shared_dir(name: &str) -> std::path::PathBuf {
    let shared_dir = std::env::temp_dir().join(format!("glenwood-operation-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&shared_dir).expect("a folder");
    shared_dir
}

/// The configuration for a second process at the address of `node`.
fn successor_config(config: &Value, node: &Node) -> Value {
    let mut config = config.clone();
    config["listen"] = json!(node.address.to_string());
    config
}

#[test]
fn a_successor_shares_the_backlog_and_the_old_process_refuses_no_request() {
    let shared_dir = shared_dir("backlog");
    let peer = Peer::new(|_| Reply::After(Duration::from_millis(20), answer(200, "", "served")));
    let registry = registry_with_server(&peer);
    let mut node_config = with_admin_endpoint(config(registry.address));
    for n in 0..3 {
        node_config["settings"]["Classes"][n]["Deadline"] = json!(1500.0);
    }
    let mut old = Node::started_in(&shared_dir, &node_config).wait_listening();
    old.wait_ready();
    old.wait_for_log("can hand its listening sockets on");
    let node_config = successor_config(&node_config, &old);
    for round in 0..2 {
        // So many that a stopping node without a successor would refuse some of their requests.
        let mut keep_alive: Vec<Client> = (0..12).map(|_| Client::at(old.address)).collect();
        for (n, client) in keep_alive.iter_mut().enumerate() {
            assert_eq!(client.ask(&request("look", &format!("a{round}-{n}"), 5000)).status(), 200);
        }
        let new = Node::started_in(&shared_dir, &node_config).wait_listening();
        let admin_address = admin_address(&new);
        until("the new process is ready", || get(admin_address, "/ready").0 == 200);
        old.wait_for_log("another process has the listening sockets too");
        old.terminate();
        until("the old process stops", || {
            http_call(self::admin_address(&old), "GET /ready HTTP/1.1\r\n\r\n").is_none_or(|a| a.0 == 503)
        });
        // A stopping node without a successor refuses requests from 0.2 s after SIGTERM on, to keep some
        // connections free. Nothing outside shows that moment, hence the sleep.
        std::thread::sleep(Duration::from_millis(250));
        for (n, client) in keep_alive.iter_mut().enumerate() {
            client.send(&request("look", &format!("b{round}-{n}"), 5000));
        }
        for client in &mut keep_alive {
            let response = client.receive().expect("an answer");
            assert_eq!(response.status(), 200);
            assert_eq!(response.header("connection"), Some("close"), "the client is sent to the new process");
        }
        for n in 0..20 {
            assert_eq!(
                Client::at(new.address).ask(&request("look", &format!("c{round}-{n}"), 5000)).status(),
                200
            );
        }
        let wait_start = Instant::now();
        assert_eq!(old.exit_code(), Some(0));
        assert!(
            wait_start.elapsed() < Duration::from_millis(1000),
            "the old process exits as soon as it has no connections"
        );
        old = new;
    }
    let _ = std::fs::remove_dir_all(shared_dir);
}

#[test]
fn a_successor_that_dies_leaves_the_old_one_as_it_was_and_a_third_is_turned_away() {
    let shared_dir = shared_dir("dies");
    let peer = Peer::healthy("s0");
    let registry = registry_with_server(&peer);
    let mut node_config = with_admin_endpoint(config(registry.address));
    let old = Node::started_in(&shared_dir, &node_config).wait_listening();
    old.wait_ready();
    node_config = successor_config(&node_config, &old);
    // Without discovery the second process can't serve, so it never listens.
    registry.set_down(true);
    let mut second = Node::started_in(&shared_dir, &node_config);
    until("the second process is in contact", || {
        old.log_contains("another process has the listening sockets too")
    });
    let third = Node::started_in(&shared_dir, &node_config);
    third.wait_for_log("another process listens at");
    assert_eq!(old.count_log_lines("another process has"), 1, "one successor at a time");
    for n in 0..40 {
        assert_eq!(Client::to(&old).ask(&request("look", &format!("a{n}"), 5000)).status(), 200);
    }
    second.kill();
    until("the old process notices the end", || old.log_contains("the other process is gone"));
    drop(third);
    for n in 0..40 {
        assert_eq!(Client::to(&old).ask(&request("look", &format!("b{n}"), 5000)).status(), 200);
    }
    registry.set_down(false);
    let fourth = Node::started_in(&shared_dir, &node_config).wait_listening();
    until("the fourth process is ready", || get(admin_address(&fourth), "/ready").0 == 200);
    let is_contact = |line: &str| line.contains("another process has");
    assert_eq!(old.wait_for_log_lines(2, is_contact).len(), 2);
    let _ = std::fs::remove_dir_all(shared_dir);
}

#[test]
fn a_stale_upgrade_socket_does_not_block_the_next_process() {
    let shared_dir = shared_dir("dead");
    let peer = Peer::healthy("s0");
    let registry = registry_with_server(&peer);
    let node_config = with_admin_endpoint(config(registry.address));
    let mut first = Node::started_in(&shared_dir, &node_config).wait_listening();
    first.wait_for_log("can hand its listening sockets on");
    let node_config = successor_config(&node_config, &first);
    first.kill();
    let remaining_files: Vec<_> = std::fs::read_dir(&shared_dir).expect("a folder").flatten().collect();
    assert_eq!(remaining_files.len(), 1, "the socket of the dead process is left");
    let mode = std::os::unix::fs::PermissionsExt::mode(
        &remaining_files[0].metadata().expect("a file").permissions(),
    );
    assert_eq!(mode & 0o777, 0o600, "whoever may connect gets the listening sockets");
    let second = Node::started_in(&shared_dir, &node_config).wait_listening();
    second.wait_ready();
    second.wait_for_log("can hand its listening sockets on");
    assert_eq!(Client::to(&second).ask(&request("look", "a", 5000)).status(), 200);
    let _ = std::fs::remove_dir_all(shared_dir);
}

#[test]
fn two_processes_hold_no_more_descriptors_than_one_node_may() {
    let shared_dir = shared_dir("descriptors");
    let peers: Vec<Peer> = (0..4)
        .map(|_| Peer::new(|_| Reply::After(Duration::from_millis(300), answer(200, "", "served"))))
        .collect();
    let hosts: Vec<Value> =
        peers.iter().enumerate().map(|(n, p)| host(&format!("s{n}"), p.address, "active", 0)).collect();
    let registry = Registry::new(&hosts);
    let mut node_config = with_admin_endpoint(config(registry.address));
    node_config["limits"]["sockets"] = json!(128);
    let old = Node::started_in(&shared_dir, &node_config).wait_listening();
    old.wait_ready();
    let node_config = successor_config(&node_config, &old);
    let new = Node::started_in(&shared_dir, &node_config).wait_listening();
    until("the new process is ready", || get(admin_address(&new), "/ready").0 == 200);
    let (stopped, address) = (std::sync::atomic::AtomicBool::new(false), old.address);
    let mut max_descriptors = 0;
    std::thread::scope(|scope| {
        for client in 0..120 {
            let stopped = &stopped;
            scope.spawn(move || {
                let mut number = 0;
                while !stopped.load(std::sync::atomic::Ordering::SeqCst) {
                    number += 1;
                    let Ok(mut stream) = TcpStream::connect(address) else { continue };
                    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
                    let content = request("look", &format!("t{client}-{number}"), 2000);
                    let _ = stream.write_all(content.as_bytes());
                    let _ = stream.read(&mut [0; 256]);
                }
            });
        }
        for _ in 0..100 {
            max_descriptors = max_descriptors.max(old.descriptors() + new.descriptors());
            std::thread::sleep(Duration::from_millis(20));
        }
        stopped.store(true, std::sync::atomic::Ordering::SeqCst);
    });
    assert!(max_descriptors <= 128, "{max_descriptors} of 128");
    assert!(max_descriptors > 80, "{max_descriptors}: both processes were used");
    let _ = std::fs::remove_dir_all(shared_dir);
}

#[test]
fn new_settings_apply_in_both_processes_of_an_upgrade_and_while_the_old_one_stops() {
    let shared_dir = shared_dir("sighup");
    let (release, release_receiver) = std::sync::mpsc::channel::<()>();
    let release_receiver = std::sync::Mutex::new(release_receiver);
    let peer = Peer::new(move |message: &Message| {
        if message.path().starts_with("/slip") {
            let _ = release_receiver.lock().expect("no panic").recv();
        }
        Reply::Now(answer(200, "", "served"))
    });
    let registry = registry_with_server(&peer);
    let node_config = with_admin_endpoint(config(registry.address));
    let mut old = Node::started_in(&shared_dir, &node_config).wait_listening();
    old.wait_ready();
    old.wait_for_log("can hand its listening sockets on");
    let (node_config, old_admin_address) = (successor_config(&node_config, &old), admin_address(&old));
    // A request that the old process has accepted is finished by that process.
    let mut in_flight = Client::to(&old);
    in_flight.send(&request("slip", "a", 15_000));
    until("the request reached its server", || peer.seen().len() == 1);
    let new = Node::started_in(&shared_dir, &node_config).wait_listening();
    until("the new process is ready", || get(admin_address(&new), "/ready").0 == 200);
    let mut keep_alive: Vec<Client> = (0..8).map(|_| Client::at(old.address)).collect();
    let mut ask = |n: usize, class: &str, txn: &str| {
        keep_alive[n].ask(&request("look", txn, 5000).replace("/look/", &format!("/{class}/"))).status()
    };
    for (signal, class) in [(1, "look-next"), (2, "look-last")] {
        let text = with_classes(&node_config, &[(class, "pure"), ("look", "pure")]).to_string();
        if signal == 2 {
            old.terminate();
            old.wait_for_log("stops: it was told to");
        }
        for node in [&old, &new] {
            node.reload(&text);
            node.wait_for_log("reload: discovery is");
        }
        until("both processes use the file", || {
            [old_admin_address, admin_address(&new)]
                .iter()
                .all(|at| metric(*at, "node_conf_loaded") == signal)
        });
        // The eight connections are spread over both processes, and both know the class. The stopping process
        // closes a connection with its answer, so each connection is used once.
        for n in 0..4 {
            let n = n + 4 * (signal as usize - 1);
            assert_eq!(ask(n, class, &format!("{class}{n}")), 200, "{class} {n}");
        }
    }
    assert_eq!(registry.paths().len(), 2, "the list is not requested again");
    release.send(()).expect("the server waits");
    assert_eq!(in_flight.receive().map(|m| m.status()), Some(200), "the request outlives its class");
    assert_eq!(old.exit_code(), Some(0));
    assert_eq!(peer.seen().len(), 9, "each was executed once");
    let _ = std::fs::remove_dir_all(shared_dir);
}

/// A list of thousands of servers at addresses without a listener; `seq` decides which half of them drains.
fn long_list(seq: u64) -> String {
    let host = |at: u64| {
        let health = if (at + seq).is_multiple_of(2) { "active" } else { "leaving" };
        format!(
            "{{\"host\":\"s{at}\",\"dial\":\"127.1.{}.{}:1\",\"site\":\"a\",\"class\":\"m\",\"block\":0,\"health\":\"{health}\",\"share\":1.0,\"born_ms\":0}}",
            at / 250,
            at % 250
        )
    };
    let hosts: Vec<String> = (0..20_000).map(host).collect();
    format!("{{\"seq\":{seq},\"whole\":false,\"hosts\":[{}]}}", hosts.join(","))
}

#[test]
fn the_admin_endpoint_answers_within_a_second_while_the_serving_thread_is_saturated() {
    let peer = Peer::healthy("s0");
    let registry = registry_with_server(&peer);
    let node = Node::ready(&with_admin_endpoint(config(registry.address)));
    let admin_address = admin_address(&node);
    let lists: Vec<String> = (2..14).map(long_list).collect();
    lists.iter().for_each(|list| registry.send_line(list));
    until("the node is reading the lists", || metric(admin_address, "node_cluster_size") > 1);
    let sent_at = Instant::now();
    let served = std::thread::spawn({
        let mut client = Client::to(&node);
        move || {
            client.send(&request("look", "t", 20_000));
            client.receive().map(|_| sent_at.elapsed())
        }
    });
    let (mut longest, mut calls) = (Duration::ZERO, 0);
    while !served.is_finished() {
        let began = Instant::now();
        assert_eq!(get(admin_address, if calls % 2 == 0 { "/metrics" } else { "/ready" }).0, 200);
        longest = longest.max(began.elapsed());
        calls += 1;
    }
    assert!(longest < Duration::from_secs(1), "{longest:?} in {calls} calls");
    // If the serving thread also served the admin endpoint, both would wait for the lists to be read.
    let waited = served.join().expect("no panic").expect("an answer");
    assert!(waited > 4 * longest, "{waited:?} for the request, {longest:?} at the admin endpoint");
}

/// In JSON form each line of the trace is one record, and text from clients is escaped.
#[test]
fn the_trace_is_json_on_demand() {
    let server = Peer::healthy("served");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let operator = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("json-trace.toml");
    std::fs::write(&operator, "[trace]\non = true\njson = true\n").expect("a file");
    let node = Node::started_with_operator(&config(registry.address), &operator).wait_listening();
    node.wait_ready();
    let odd = "a-\"quoted\"-{id}";
    assert_eq!(Client::to(&node).ask(&request("look", odd, 9000)).status(), 200);
    let records = || -> Vec<Record> {
        node.grep_log(|line| line.starts_with('{')).iter().filter_map(|line| Record::find(line)).collect()
    };
    until("the request is answered", || {
        records().iter().any(|r| matches!(r.event, TraceEvent::Answer { .. }))
    });
    let named = |r: &Record| matches!(&r.event, TraceEvent::RequestId { id, .. } if id == odd);
    assert!(records().iter().any(named), "{:?}", records());
    assert!(records().iter().any(|r| matches!(&r.event, TraceEvent::Send { server, .. } if server == "s0")));
    assert!(!node.log_contains("trace "), "no lines in the other form");
}

/// The trace gives the reason for a refusal, and the reason why a client's connection ends.
#[test]
fn the_trace_gives_the_reasons_for_refusals_and_closed_connections() {
    let registry = Registry::new(&[]);
    let operator = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("says-why.toml");
    std::fs::write(&operator, "[trace]\non = true\n").expect("a file");
    let node = Node::started_with_operator(&config(registry.address), &operator).wait_listening();
    node.wait_ready();
    let silent = Client::to(&node);
    let mut refused = Client::to(&node);
    assert_eq!(refused.ask(&request("look", "refused", 9000)).status(), 503);
    // Another thread reads the log, so the line may appear later.
    until("the reason is logged", || node.log_contains(" NoServer"));
    let address = refused.address();
    refused.disconnect();
    for (client, reason) in [(address, "Over"), (silent.address(), "Silent")] {
        until(reason, || node.log_contains(&format!("close {client} {reason}")));
    }
}
