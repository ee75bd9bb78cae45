//! Runs the node binary on loopback sockets with scripted clients, servers and a scripted discovery service.

mod peers;

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use peers::*;
use serde_json::{json, Value};

/// Starts two servers that share their record of requests: the first attempt of each request gets the reply
/// `first`, later attempts are served.
fn servers_failing_first(first: impl Fn() -> Reply + Send + Sync + Clone + 'static) -> [Peer; 2] {
    let attempted = std::sync::Arc::new(Mutex::new(BTreeSet::new()));
    [(); 2].map(|()| {
        let (attempted, first) = (attempted.clone(), first.clone());
        Peer::new(move |m| {
            let txn = m.header("x-txn").unwrap_or_default().to_string();
            if m.path() != "/health" && attempted.lock().expect("no panic").insert(txn) {
                first()
            } else {
                Reply::Now(answer(200, "", "served"))
            }
        })
    })
}

/// Sends one request of `class` to servers in `cells`; returns its status and the number of attempts that
/// reached the servers.
fn outcome(
    class: &str,
    cells: [u64; 2],
    first: impl Fn() -> Reply + Send + Sync + Clone + 'static,
) -> (u16, usize) {
    let first_never_ran = matches!(first(), Reply::Now(bytes) if bytes.windows(13).any(|w| w == b"X-Turned-Away")
        && !bytes.starts_with(b"HTTP/1.1 404"));
    let servers = servers_failing_first(first);
    let hosts: Vec<Value> =
        (0..2).map(|n| host(&format!("s{n}"), servers[n].address, "active", cells[n])).collect();
    let registry = Registry::new(&hosts);
    let node = Node::ready(&config(registry.address));
    let response = Client::to(&node).ask(&request(class, "t1", 15_000));
    if response.status() == 200 {
        assert_eq!(response.body, b"served");
    }
    let received = servers.each_ref().map(|s| s.seen().len());
    if class == "pay" && cells[0] != cells[1] && !matches!(received, [0, _] | [_, 0]) {
        assert!(first_never_ran, "a keyed request left its cell: {received:?}");
    }
    (response.status(), received.iter().sum())
}

/// A reply which proves that the request never ran is retried in every class. Any other failure may have run
/// and is retried only where the class allows it.
#[test]
fn attempts_that_may_have_run_are_retried_only_where_that_is_harmless() {
    let turned_away_header = "X-Turned-Away: 1\r\n";
    let may_have_run: [fn() -> Reply; 9] = [
        || Reply::Now(answer(500, "", "")),
        || Reply::Now(answer(503, "", "")),
        || Reply::Now(answer(404, "X-Turned-Away: 1\r\n", "")),
        || Reply::ThenClose(Vec::new()),
        || Reply::ThenClose(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ncut".to_vec()),
        || Reply::ThenClose(b"HTP/banana\r\n\r\n".to_vec()),
        // Neither a length nor chunks: only the close ends it, so a truncated body can't be recognised.
        || Reply::ThenClose(b"HTTP/1.1 200 OK\r\n\r\nspoilt".to_vec()),
        || {
            Reply::Now(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 6\r\n\r\n6\r\nspoilt\r\n0\r\n\r\n"
                .to_vec(),
        )
        },
        || Reply::Now(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n".to_vec()),
    ];
    for (n, first) in may_have_run.into_iter().enumerate() {
        assert_eq!(outcome("look", [1, 1], first), (200, 2), "safe, case {n}");
        assert_eq!(outcome("pay", [1, 1], first), (200, 2), "keyed, one cell, case {n}");
        // Keyed retries stay within the cell: a server that is alone in its cell gets the retry itself.
        assert_eq!(outcome("pay", [1, 2], first), (200, 2), "keyed, two cells, case {n}");
        assert_eq!(outcome("slip", [1, 1], first), (502, 1), "unsafe, case {n}");
    }
    for status in [503, 504] {
        for class in ["look", "pay", "slip"] {
            let first = move || Reply::Now(answer(status, turned_away_header, ""));
            assert_eq!(outcome(class, [1, 2], first), (200, 2), "{class} turned away with {status}");
        }
    }
}

/// A refused connection proves that the request never ran: even an unsafe request is retried at the other
/// server.
#[test]
fn a_refused_connection_costs_no_request() {
    let closed_port = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
    let good = Peer::healthy("good");
    let registry =
        Registry::new(&[host("s0", closed_port, "active", 1), host("s1", good.address, "active", 2)]);
    let node = Node::ready(&config(registry.address));
    let mut client = Client::to(&node);
    for n in 0..4 {
        assert_eq!(client.ask(&request("slip", &format!("t{n}"), 15_000)).status(), 200);
    }
    assert_eq!(good.seen().len(), 4);
}

/// An answer over the length limit fails the attempt, and the request may have run: an unsafe one is not
/// retried.
#[test]
fn an_answer_over_the_limit_is_not_passed_on() {
    // The announced length is over the limit; part of the body follows.
    let long = || {
        Reply::Now(format!("HTTP/1.1 200 X\r\nContent-Length: 34000000\r\n\r\n{}", "x".repeat(9999)).into())
    };
    assert_eq!(outcome("slip", [1, 1], long), (502, 1));
}

/// Requests and answers pass through unchanged, and each request on a keep-alive connection gets one answer.
#[test]
fn bytes_pass_unchanged_and_each_request_has_one_answer() {
    let server =
        Peer::new(|m| Reply::Now(answer(200, "", &format!("for {}", m.header("x-txn").unwrap_or("?")))));
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    let mut client = Client::to(&node);
    for n in 0..5 {
        let response = client.ask(&request("pay", &format!("t{n}"), 15_000));
        assert_eq!((response.status(), response.body), (200, format!("for t{n}").into_bytes()));
    }
    let received = server.seen();
    assert_eq!(received.len(), 5);
    for (n, m) in received.iter().enumerate() {
        assert!(m.head.starts_with("POST /pay/7?q=a%20b HTTP/1.1\r\n"), "{}", m.head);
        assert_eq!(m.header("x-txn"), Some(format!("t{n}").as_str()));
        assert_eq!(m.header("idempotency-key"), Some("k1"));
        assert_eq!(m.body, b"work");
        let remaining_ms: u64 =
            m.header("x-remaining-ms").and_then(|v| v.parse().ok()).expect("the remaining time");
        assert!((1..15_000).contains(&remaining_ms), "{remaining_ms}");
    }
    // All share one connection: the pool reuses the most recently used one.
    assert!(received.iter().all(|m| m.conn == received[0].conn));
}

/// A server never answers: at its deadline the client gets 502, not a refusal, as the request may have run.
#[test]
fn a_silent_server_does_not_hold_the_answer_past_the_deadline() {
    let server = Peer::new(|_| Reply::Nothing);
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    let started = Instant::now();
    let response = Client::to(&node).ask(&request("slip", "t1", 1500));
    assert!(started.elapsed() < Duration::from_millis(4000), "{:?}", started.elapsed());
    assert_eq!(response.status(), 502);
    assert_eq!(server.seen().len(), 1);
    until("the attempt's connection is closed", || server.open_connections() == 0);
}

/// A refusal is sent at once and carries a Retry-After header.
#[test]
fn a_refusal_carries_a_retry_after() {
    let registry = Registry::new(&[]);
    let node = Node::ready(&config(registry.address));
    let response = Client::to(&node).ask(&request("slip", "t1", 15_000));
    assert_eq!(response.status(), 503);
    let retry_after_s: f64 =
        response.header("retry-after").and_then(|v| v.parse().ok()).expect("a number of seconds");
    assert!(retry_after_s > 0.0 && retry_after_s <= 2.0, "{retry_after_s}");
}

/// Once the node has read the list line that marks a server as draining or gone, that server gets no new
/// requests.
#[test]
fn a_drain_holds_from_the_list_line_that_announces_it() {
    let (a, b) = (Peer::healthy("a"), Peer::healthy("b"));
    let (address_a, address_b) = (a.address, b.address);
    let both = [host("s0", address_a, "active", 1), host("s1", address_b, "active", 1)];
    for health in ["leaving", "left"] {
        let registry = Registry::new(&both);
        let node = Node::ready(&config(registry.address));
        let mut client = Client::to(&node);
        let mut ask = |n: usize| {
            let response = client.ask(&request("look", &format!("t{n}"), 15_000));
            assert_eq!(response.status(), 200);
            response.body
        };
        let first: BTreeSet<Vec<u8>> = (0..4).map(&mut ask).collect();
        assert_eq!(first.len(), 2, "both servers are in rotation");
        registry.publish(2, &both[1..], &[host("s0", address_a, health, 1)]);
        // The line has been read once two requests in a row go to the other server.
        until("the drain is known", || ask(0) == b"b" && ask(0) == b"b");
        assert!((0..10).all(|n| ask(n) == b"b"));
    }
}

/// A request that waits for a connection is not written if its server starts to drain meanwhile.
#[test]
fn a_drain_reaches_sends_that_wait_for_a_connection() {
    let unaccepting = FullBacklogServer::new();
    let unaccepting_address = unaccepting.address;
    let registry = Registry::new(&[host("s0", unaccepting_address, "active", 1)]);
    let mut config = config(registry.address);
    config["settings"]["Limits"]["ConnectTimeout"] = json!(50_000.0);
    config["settings"]["Classes"][2]["Slo"] = json!(60_000.0);
    // A short objective, so that the requests that check for the new list fail soon.
    config["settings"]["Classes"][0]["Slo"] = json!(800.0);
    let node = Node::ready(&config);
    let mut client = Client::to(&node);
    client.send(&request("slip", "t1", 60_000));
    std::thread::sleep(Duration::from_millis(300));
    let good = Peer::healthy("good");
    let hosts = [host("s1", good.address, "active", 1)];
    registry.publish(2, &hosts, &[host("s0", unaccepting_address, "left", 1), hosts[0].clone()]);
    // The node has the new list once the new server answers other requests.
    until("the list is known", || Client::to(&node).ask(&request("look", "t2", 500)).status() == 200);
    let late_server = unaccepting.accept_with(|_| Reply::Now(answer(200, "", "late")));
    assert_eq!(client.receive().expect("an answer").body, b"good");
    assert!(late_server.seen().is_empty(), "{:?}", late_server.seen());
}

/// While discovery is down the node keeps its list and calls with backoff; afterwards it takes the new list.
#[test]
fn discovery_lost_and_back() {
    let (a, b) = (Peer::healthy("a"), Peer::healthy("b"));
    let registry = Registry::new(&[host("s0", a.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    registry.set_down(true);
    until("the node retries", || registry.paths().len() >= 2);
    let (calls, start) = (registry.paths().len(), Instant::now());
    while start.elapsed() < Duration::from_secs(3) {
        assert_eq!(Client::to(&node).ask(&request("look", "t1", 15_000)).body, b"a");
        std::thread::sleep(Duration::from_millis(50));
    }
    let retries = registry.paths().len() - calls;
    assert!(retries <= 8, "{retries} calls in 3 s");
    let hosts = [host("s1", b.address, "active", 1)];
    registry.publish(9, &hosts, &[]);
    registry.set_down(false);
    until("the new list is in use", || {
        let response = Client::to(&node).ask(&request("look", "t2", 15_000));
        response.body == b"b"
    });
}

/// A list line that can't be parsed is dropped, and the node requests the whole list.
#[test]
fn a_bad_line_makes_the_node_ask_for_the_whole_list() {
    let (a, b) = (Peer::healthy("a"), Peer::healthy("b"));
    let registry = Registry::new(&[host("s0", a.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    registry.publish(2, &[host("s1", b.address, "active", 1)], &[]);
    registry.send_line("{\"seq\":3,\"whole\":false,\"hosts\":[{\"host\":7}]}");
    until("the whole list is requested", || registry.paths().iter().any(|c| c == "/v1/endpoints"));
    until("the whole list is in use", || Client::to(&node).ask(&request("look", "t1", 15_000)).body == b"b");
    node.wait_for_log("unreadable");
}

/// When a client disconnects, its attempts are cancelled.
#[test]
fn a_client_that_disconnects_cancels_its_attempt() {
    let server = Peer::new(|_| Reply::Nothing);
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    let mut client = Client::to(&node);
    client.send(&request("slip", "t1", 20_000));
    until("the attempt is sent", || server.seen().len() == 1);
    assert_eq!(server.open_connections(), 1);
    let disconnected_at = Instant::now();
    drop(client);
    until("the attempt is cancelled", || server.open_connections() == 0);
    assert!(
        disconnected_at.elapsed() < Duration::from_secs(15),
        "the deadline ended the attempt, not the disconnect"
    );
}

/// The node does not write to a pooled connection that its server has closed, however late it notices: an
/// unsafe request would fail without need, as it can't be retried.
#[test]
fn a_stale_pooled_connection_fails_no_request() {
    let server = Peer::new(|_| Reply::ThenClose(answer(200, "", "served")));
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    for n in 0..10 {
        let response = Client::to(&node).ask(&request("slip", &format!("t{n}"), 15_000));
        assert_eq!(response.status(), 200, "request {n}");
        until("the server has closed", || server.open_connections() == 0);
    }
    assert_eq!(server.seen().len(), 10);
}

/// The node closes idle connections well before the server's keep-alive time ends.
#[test]
fn idle_connections_end_before_the_servers_keep_alive() {
    let server = Peer::healthy("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut config = config(registry.address);
    config["settings"]["Limits"]["Keepalive"] = json!(1500.0);
    let node = Node::ready(&config);
    assert_eq!(Client::to(&node).ask(&request("look", "t1", 15_000)).status(), 200);
    assert_eq!(server.open_connections(), 1);
    until("the node closes it", || server.open_connections() == 0);
}

/// After SIGTERM the node finishes the requests that it has accepted, accepts connections for a while longer,
/// and exits with code 0.
#[test]
fn sigterm_finishes_accepted_requests() {
    let server = Peer::new(|m| {
        let long = m.header("x-txn") == Some("slow");
        Reply::After(Duration::from_millis(if long { 1500 } else { 0 }), answer(200, "", "served"))
    });
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut node = Node::ready(&config(registry.address));
    let (mut slow, mut keep_alive) = (Client::to(&node), Client::to(&node));
    assert_eq!(keep_alive.ask(&request("slip", "before", 15_000)).status(), 200);
    slow.send(&request("slip", "slow", 15_000));
    until("the slow request is sent", || server.seen().len() == 2);
    node.terminate();
    // A connection opened after the signal is served; idle ones are closed in the end.
    until("the node has handled the signal", || {
        Client::to(&node).ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 503
    });
    assert_eq!(Client::to(&node).ask(&request("slip", "after", 15_000)).status(), 200);
    assert_eq!(slow.receive().expect("an accepted request is answered").status(), 200);
    assert!(keep_alive.is_closed(), "idle connections are closed");
    assert_eq!(node.exit_code(), Some(0));
}

/// A client that is turned away as soon as its node gets SIGTERM may find no other node: they may be down or
/// still restarting. It is served until shortly before the exit, on its open connection and on new ones, and
/// gets `Connection: close` before they are closed.
#[test]
fn sigterm_serves_clients_until_shortly_before_the_exit() {
    let server = Peer::healthy("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut node = Node::ready(&config(registry.address));
    let mut keep_alive = Client::to(&node);
    assert_eq!(keep_alive.ask(&request("look", "before", 15_000)).status(), 200);
    let stop_requested_at = Instant::now();
    node.terminate();
    until("the node has handled the signal", || {
        let response = Client::to(&node).ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        response.status() == 503 && response.header("connection") == Some("close")
    });
    for n in 0.. {
        let response = keep_alive.ask(&request("look", &format!("t{n}"), 15_000));
        assert_eq!(response.status(), 200, "request {n}");
        if response.header("connection") == Some("close") {
            break;
        }
        if stop_requested_at.elapsed() < Duration::from_millis(1200) {
            let response = Client::to(&node).ask(&request("look", &format!("n{n}"), 15_000));
            assert_eq!((response.status(), response.header("connection")), (200, None), "new connection {n}");
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(stop_requested_at.elapsed() >= Duration::from_millis(1200), "{:?}", stop_requested_at.elapsed());
    assert_eq!(node.exit_code(), Some(0));
}

/// A client that finds no free connection at a stopping node, where it can't open new ones, may conclude that
/// the node is gone. So a burst must not occupy the last connections: requests beyond a limit are refused at
/// once with Retry-After.
#[test]
fn a_stopping_node_keeps_some_connections_free() {
    // Enough servers that none reaches its limit: only the stopping node has a reason to refuse.
    let servers = [(); 6].map(|()| {
        Peer::new(|m| {
            let slow = m.header("x-txn").is_some_and(|txn| txn.starts_with("slow"));
            Reply::After(Duration::from_millis(if slow { 1000 } else { 0 }), answer(200, "", "served"))
        })
    });
    let hosts: Vec<Value> = (0..6).map(|n| host(&format!("s{n}"), servers[n].address, "active", 1)).collect();
    let registry = Registry::new(&hosts);
    let mut node = Node::ready(&config(registry.address));
    let mut clients: Vec<Client> = (0..8).map(|_| Client::to(&node)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        assert_eq!(client.ask(&request("slip", &format!("before{n}"), 15_000)).status(), 200);
    }
    node.terminate();
    until("the node has handled the signal", || {
        Client::to(&node).ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 503
    });
    for (n, client) in clients.iter_mut().enumerate().take(6) {
        client.send(&request("slip", &format!("slow{n}"), 15_000));
    }
    let mut count = 0;
    until("a further request is refused", || {
        count += 1;
        let response = clients[6].ask(&request("slip", &format!("more{count}"), 15_000));
        response.status() == 503 && response.header("retry-after") == Some("0.750")
    });
    for client in clients.iter_mut().take(6) {
        assert_eq!(client.receive().expect("an accepted request is answered").status(), 200);
    }
    assert_eq!(node.exit_code(), Some(0));
}

/// Where all deadlines are short, SIGKILL follows SIGTERM soon: requests that can't be finished are failed
/// before that.
#[test]
fn sigterm_ends_sooner_where_deadlines_are_short() {
    let server = Peer::new(|_| Reply::Nothing);
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut config = config(registry.address);
    for class in config["settings"]["Classes"].as_array_mut().expect("classes") {
        class["Deadline"] = json!(800.0);
    }
    let mut node = Node::ready(&config);
    let mut client = Client::to(&node);
    client.send(&request("slip", "t1", 25_000));
    until("the attempt is sent", || server.seen().len() == 1);
    let stop_requested_at = Instant::now();
    node.terminate();
    assert_eq!(client.receive().expect("an answer").status(), 502);
    assert!(stop_requested_at.elapsed() < Duration::from_millis(2500), "{:?}", stop_requested_at.elapsed());
    assert_eq!(node.exit_code(), Some(0));
}

/// With more connections than descriptors the node closes idle ones and goes on serving.
#[test]
fn descriptors_that_run_out_do_not_stop_the_node() {
    let server = Peer::healthy("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    // In the second case the kernel's limit is lower than the configured one, so accepting fails as well.
    for (configured, actual) in [(64, 256), (256, 48)] {
        let mut config = config(registry.address);
        config["limits"]["sockets"] = json!(configured);
        let mut node = Node::listening(&config, Some(actual));
        node.wait_ready();
        let mut idle_clients = Vec::new();
        for n in 0..200 {
            idle_clients.push(Client::to(&node));
            if n % 20 == 0 {
                let response = Client::to(&node).ask(&request("slip", &format!("t{n}"), 20_000));
                assert_eq!(
                    response.status(),
                    200,
                    "configured {configured}, actual {actual}, connection {n}"
                );
            }
        }
        assert!(node.running());
        assert!(node.descriptors() <= configured, "{} of {configured}", node.descriptors());
    }
}

/// Bytes that follow an answer are not taken for the answer to the next request.
#[test]
fn bytes_after_an_answer_do_not_answer_the_next_request() {
    for chunked in [false, true] {
        let server = Peer::new(move |m| {
            let txn = m.header("x-txn").unwrap_or("?");
            let single = if chunked {
                format!(
                    "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{txn}\r\n0\r\n\r\n",
                    txn.len()
                )
            } else {
                String::from_utf8(answer(200, "", txn)).expect("text")
            };
            Reply::Now(single.repeat(2).into_bytes())
        });
        let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
        let node = Node::ready(&config(registry.address));
        let mut client = Client::to(&node);
        for n in 0..6 {
            let txn = format!("t{n}");
            let response = client.ask(&request("slip", &txn, 15_000));
            assert_eq!((response.status(), response.body), (200, txn.into_bytes()));
        }
    }
}

/// A request whose deadline lies after the node's exit is failed before the exit.
#[test]
fn sigterm_answers_requests_that_cannot_be_finished() {
    let server = Peer::new(|_| Reply::Nothing);
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut node = Node::ready(&config(registry.address));
    let mut client = Client::to(&node);
    client.send(&request("slip", "t1", 25_000));
    until("the attempt is sent", || server.seen().len() == 1);
    node.terminate();
    assert_eq!(client.receive().expect("an answer").status(), 502);
    assert_eq!(node.exit_code(), Some(0));
}

/// A watch that stays open without heartbeats is taken for a dead link: the node opens another.
#[test]
fn a_silent_watch_is_given_up() {
    let server = Peer::healthy("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    until("the watch is open", || registry.watch_count() == 1);
    registry.go_silent();
    until("the node opens another watch", || registry.watch_count() >= 2);
    assert_eq!(Client::to(&node).ask(&request("look", "t1", 15_000)).status(), 200);
}

/// An invalid request is answered at once without an attempt, and its connection stays usable.
#[test]
fn bad_requests_are_answered_at_once() {
    let server = Peer::healthy("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    let good = request("slip", "t1", 15_000);
    let keyed = request("pay", "t1", 15_000);
    let cases = [
        (400, good.replace("X-Txn: t1\r\n", "")),
        (400, good.replace("X-Txn: t1", "X-Txn:")),
        (400, good.replace("X-Txn: t1", "X-Txn: a b")),
        (400, good.replace("X-Txn: t1", "X-Txn: t1\r\nX-Txn: t2")),
        (400, good.replace("X-Remaining-Ms: 15000\r\n", "")),
        (400, good.replace("X-Remaining-Ms: 15000", "X-Remaining-Ms: soon")),
        (400, good.replace("X-Remaining-Ms: 15000", "X-Remaining-Ms: -5")),
        (400, good.replace("POST", "PUT")),
        (400, request("look", "t1", 15_000).replace("GET", "POST")),
        (400, keyed.replace("Idempotency-Key: k1\r\n", "")),
        (404, good.replace("/slip/", "/slipper/")),
        (404, good.replace("/slip/7?q=a%20b", "/")),
    ];
    for (status, text) in cases {
        let mut client = Client::to(&node);
        let started = Instant::now();
        assert_eq!(client.ask(&text).status(), status, "{text}");
        assert!(started.elapsed() < Duration::from_secs(10), "{text}");
        assert_eq!(server.seen().len(), 0, "{text}");
    }
    let long = good.replace("Content-Length: 4\r\n\r\nwork", "Content-Length: 34000000\r\n\r\n");
    assert_eq!(Client::to(&node).ask(&long).status(), 413);
    assert_eq!(Client::to(&node).ask(&(long + &"x".repeat(65_537))).status(), 413);
    assert_eq!(server.seen().len(), 0);
    // The connection still serves the next request.
    let mut client = Client::to(&node);
    assert_eq!(client.ask(&request("look", "t1", 15_000).replace("/look/", "/lock/")).status(), 404);
    assert_eq!(client.ask(&good).status(), 200);
}

/// A node that restarts while discovery is down serves from its saved list.
#[test]
fn a_restart_with_an_old_list_serves_without_discovery() {
    let closed_port = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
    let good = Peer::healthy("a");
    let registry = Registry::new(&[]);
    registry.set_down(true);
    let mut config = config(registry.address);
    let hosts = [host("s0", closed_port, "active", 1), host("s1", good.address, "active", 1)];
    config["known"] = json!({"seq": 41, "whole": true, "hosts": hosts});
    let node = Node::ready(&config);
    for n in 0..4 {
        assert_eq!(Client::to(&node).ask(&request("slip", &format!("t{n}"), 15_000)).body, b"a");
    }
    until("it resumes from the saved version", || registry.paths().iter().any(|c| c.contains("from=41")));
}

/// Every node orders the servers in the same way, whatever their order in the list.
#[test]
fn round_robin_order_does_not_depend_on_the_order_of_the_list() {
    let servers = ["a", "b", "c", "d"].map(Peer::healthy);
    let mut hosts: Vec<Value> =
        servers.iter().enumerate().map(|(n, s)| host(&format!("s{n}"), s.address, "active", 1)).collect();
    let server_order = |hosts: &[Value]| -> Vec<Vec<u8>> {
        let registry = Registry::new(hosts);
        let node = Node::ready(&config(registry.address));
        let mut client = Client::to(&node);
        (0..8).map(|n| client.ask(&request("look", &format!("t{n}"), 15_000)).body).collect()
    };
    let first = server_order(&hosts);
    assert_eq!(first[..4], first[4..], "round robin");
    assert_eq!(first[..4].iter().collect::<BTreeSet<_>>().len(), 4, "every server is in rotation");
    hosts.reverse();
    assert_eq!(server_order(&hosts), first);
}

/// With an invalid configuration the program exits with one line that names the field.
#[test]
fn a_bad_configuration_names_the_field() {
    let good = config("127.0.0.1:1".parse().expect("an address"));
    type Corrupt = fn(&mut Value);
    let cases: [(&str, Corrupt); 6] = [
        ("listen", |c| c["listen"] = json!("nowhere")),
        ("discovery", |c| c["discovery"] = json!(null)),
        ("seed", |c| c["seed"] = json!("xyz")),
        ("ConnectTimeout", |c| c["settings"]["Limits"]["ConnectTimeout"] = json!("long")),
        ("limits.sockets", |c| c["limits"]["sockets"] = json!("many")),
        ("known", |c| c["known"] = json!({"seq": 1, "whole": true, "hosts": [{"host": "a"}]})),
    ];
    for (field, corrupt) in cases {
        let mut config = good.clone();
        corrupt(&mut config);
        let (code, text) = run(&config);
        assert!(code.is_some_and(|c| c != 0), "{field}: {code:?}");
        assert!(text.contains(field) && text.trim().lines().count() == 1, "{field}: {text}");
    }
}
