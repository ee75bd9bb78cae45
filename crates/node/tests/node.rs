//! The real program on loopback sockets, between scripted peers.

mod peers;

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use peers::*;
use serde_json::{json, Value};

/// Servers that answer the first attempt of every request in one way, and serve further ones.
fn twice(first: impl Fn() -> Reply + Send + Sync + Clone + 'static) -> [Peer; 2] {
    let tried = std::sync::Arc::new(Mutex::new(BTreeSet::new()));
    [(); 2].map(|()| {
        let (tried, first) = (tried.clone(), first.clone());
        Peer::new(move |m| {
            let txn = m.header("x-txn").unwrap_or_default().to_string();
            if m.path() != "/health" && tried.lock().expect("no panic").insert(txn) {
                first()
            } else {
                Reply::Now(answer(200, "", "served"))
            }
        })
    })
}

/// Asks once in a class and gives the status, and how many attempts reached servers.
fn outcome(
    class: &str,
    cells: [u64; 2],
    first: impl Fn() -> Reply + Send + Sync + Clone + 'static,
) -> (u16, usize) {
    let first_never_ran = matches!(first(), Reply::Now(bytes) if bytes.windows(13).any(|w| w == b"X-Turned-Away")
        && !bytes.starts_with(b"HTTP/1.1 404"));
    let servers = twice(first);
    let hosts: Vec<Value> =
        (0..2).map(|n| host(&format!("s{n}"), servers[n].address, "active", cells[n])).collect();
    let registry = Registry::new(&hosts);
    let node = Node::ready(&config(registry.address));
    let heard = Client::to(&node).ask(&request(class, "t1", 15_000));
    if heard.status() == 200 {
        assert_eq!(heard.body, b"served");
    }
    let seen = servers.each_ref().map(|s| s.seen().len());
    if class == "pay" && cells[0] != cells[1] && !matches!(seen, [0, _] | [_, 0]) {
        assert!(first_never_ran, "a keyed request left its cell: {seen:?}");
    }
    (heard.status(), seen.iter().sum())
}

/// What proves that the request never ran is repeated in every class; anything else only where a repeat does
/// no harm.
#[test]
fn outcomes_that_may_have_run_are_repeated_only_where_that_is_harmless() {
    let away = "X-Turned-Away: 1\r\n";
    let may_have_run: [fn() -> Reply; 9] = [
        || Reply::Now(answer(500, "", "")),
        || Reply::Now(answer(503, "", "")),
        || Reply::Now(answer(404, "X-Turned-Away: 1\r\n", "")),
        || Reply::ThenClose(Vec::new()),
        || Reply::ThenClose(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ncut".to_vec()),
        || Reply::ThenClose(b"HTP/banana\r\n\r\n".to_vec()),
        // Ended by the close alone: nobody can tell whether it is whole.
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
        // Alone in its cell, a server that is up gets the repeat itself; no other may.
        assert_eq!(outcome("pay", [1, 2], first), (200, 2), "keyed, two cells, case {n}");
        assert_eq!(outcome("slip", [1, 1], first), (502, 1), "unsafe, case {n}");
    }
    for status in [503, 504] {
        for class in ["look", "pay", "slip"] {
            let first = move || Reply::Now(answer(status, away, ""));
            assert_eq!(outcome(class, [1, 2], first), (200, 2), "{class} turned away with {status}");
        }
    }
}

/// A refused connection never ran: the request goes to the other server, also an unsafe one.
#[test]
fn a_refused_connection_costs_no_request() {
    let dead = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
    let good = Peer::healthy("good");
    let registry = Registry::new(&[host("s0", dead, "active", 1), host("s1", good.address, "active", 2)]);
    let node = Node::ready(&config(registry.address));
    let mut client = Client::to(&node);
    for n in 0..4 {
        assert_eq!(client.ask(&request("slip", &format!("t{n}"), 15_000)).status(), 200);
    }
    assert_eq!(good.seen().len(), 4);
}

/// An answer that is longer than may be passed on has failed, and may have run.
#[test]
fn an_answer_over_the_limit_is_not_passed_on() {
    // Said to be longer than any may be, with a part of it behind.
    let long = || {
        Reply::Now(format!("HTTP/1.1 200 X\r\nContent-Length: 34000000\r\n\r\n{}", "x".repeat(9999)).into())
    };
    assert_eq!(outcome("slip", [1, 1], long), (502, 1));
}

/// Request and answer go through unchanged, and each request on a kept connection gets one answer.
#[test]
fn bytes_pass_unchanged_and_each_request_has_one_answer() {
    let server =
        Peer::new(|m| Reply::Now(answer(200, "", &format!("for {}", m.header("x-txn").unwrap_or("?")))));
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    let mut client = Client::to(&node);
    for n in 0..5 {
        let heard = client.ask(&request("pay", &format!("t{n}"), 15_000));
        assert_eq!((heard.status(), heard.body), (200, format!("for t{n}").into_bytes()));
    }
    let seen = server.seen();
    assert_eq!(seen.len(), 5);
    for (n, m) in seen.iter().enumerate() {
        assert!(m.head.starts_with("POST /pay/7?q=a%20b HTTP/1.1\r\n"), "{}", m.head);
        assert_eq!(m.header("x-txn"), Some(format!("t{n}").as_str()));
        assert_eq!(m.header("idempotency-key"), Some("k1"));
        assert_eq!(m.body, b"work");
        let left: u64 = m.header("x-remaining-ms").and_then(|v| v.parse().ok()).expect("the time left");
        assert!((1..15_000).contains(&left), "{left}");
    }
    // One connection serves them all, the one used last.
    assert!(seen.iter().all(|m| m.conn == seen[0].conn));
}

/// A server that never answers: the client has its answer when its time is up, and it is no refusal.
#[test]
fn a_silent_server_does_not_hold_the_answer_past_the_deadline() {
    let server = Peer::new(|_| Reply::Nothing);
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    let asked = Instant::now();
    let heard = Client::to(&node).ask(&request("slip", "t1", 1500));
    assert!(asked.elapsed() < Duration::from_millis(4000), "{:?}", asked.elapsed());
    assert_eq!(heard.status(), 502);
    assert_eq!(server.seen().len(), 1);
    until("the attempt's connection is closed", || server.open_connections() == 0);
}

/// A refusal comes at once and says when to come back.
#[test]
fn a_refusal_carries_the_modules_span() {
    let registry = Registry::new(&[]);
    let node = Node::ready(&config(registry.address));
    let heard = Client::to(&node).ask(&request("slip", "t1", 15_000));
    assert_eq!(heard.status(), 503);
    let span: f64 = heard.header("retry-after").and_then(|v| v.parse().ok()).expect("a span");
    assert!(span > 0.0 && span <= 2.0, "{span}");
}

/// From the line that tells of it, a server that drains or is gone gets nothing new.
#[test]
fn a_drain_holds_from_the_line_that_tells_it() {
    let (a, b) = (Peer::healthy("a"), Peer::healthy("b"));
    let (at_a, at_b) = (a.address, b.address);
    let both = [host("s0", at_a, "active", 1), host("s1", at_b, "active", 1)];
    for health in ["leaving", "left"] {
        let registry = Registry::new(&both);
        let node = Node::ready(&config(registry.address));
        let mut client = Client::to(&node);
        let mut ask = |n: usize| {
            let heard = client.ask(&request("look", &format!("t{n}"), 15_000));
            assert_eq!(heard.status(), 200);
            heard.body
        };
        let first: BTreeSet<Vec<u8>> = (0..4).map(&mut ask).collect();
        assert_eq!(first.len(), 2, "both have turns");
        registry.publish(2, &both[1..], &[host("s0", at_a, health, 1)]);
        // The line is read when the turns stop going to both.
        until("the drain is known", || ask(0) == b"b" && ask(0) == b"b");
        assert!((0..10).all(|n| ask(n) == b"b"));
    }
}

/// A send that waits for its connection is not written to a server that drains meanwhile.
#[test]
fn a_drain_reaches_sends_that_wait_for_a_connection() {
    let shut = FullBacklogServer::new();
    let at_full = shut.address;
    let registry = Registry::new(&[host("s0", at_full, "active", 1)]);
    let mut config = config(registry.address);
    config["settings"]["Limits"]["ConnectTimeout"] = json!(50_000.0);
    config["settings"]["Classes"][2]["Slo"] = json!(60_000.0);
    // Those that ask whether the list is known give up soon.
    config["settings"]["Classes"][0]["Slo"] = json!(800.0);
    let node = Node::ready(&config);
    let mut client = Client::to(&node);
    client.send(&request("slip", "t1", 60_000));
    std::thread::sleep(Duration::from_millis(300));
    let good = Peer::healthy("good");
    let hosts = [host("s1", good.address, "active", 1)];
    registry.publish(2, &hosts, &[host("s0", at_full, "left", 1), hosts[0].clone()]);
    // Known once others are served by the new one.
    until("the list is known", || Client::to(&node).ask(&request("look", "t2", 500)).status() == 200);
    let late = shut.accept_with(|_| Reply::Now(answer(200, "", "late")));
    assert_eq!(client.receive().expect("an answer").body, b"good");
    assert!(late.seen().is_empty(), "{:?}", late.seen());
}

/// Discovery goes down: the list is kept, calls back off; back up, its news count.
#[test]
fn discovery_lost_and_back() {
    let (a, b) = (Peer::healthy("a"), Peer::healthy("b"));
    let registry = Registry::new(&[host("s0", a.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    registry.set_down(true);
    until("the node calls again", || registry.paths().len() >= 2);
    let (calls, start) = (registry.paths().len(), Instant::now());
    while start.elapsed() < Duration::from_secs(3) {
        assert_eq!(Client::to(&node).ask(&request("look", "t1", 15_000)).body, b"a");
        std::thread::sleep(Duration::from_millis(50));
    }
    let storm = registry.paths().len() - calls;
    assert!(storm <= 8, "{storm} calls in 3 s");
    let hosts = [host("s1", b.address, "active", 1)];
    registry.publish(9, &hosts, &[]);
    registry.set_down(false);
    until("the new list counts", || {
        let heard = Client::to(&node).ask(&request("look", "t2", 15_000));
        heard.body == b"b"
    });
}

/// A line that can't be read is dropped, and the whole list asked for.
#[test]
fn a_bad_line_makes_the_node_ask_for_the_whole_list() {
    let (a, b) = (Peer::healthy("a"), Peer::healthy("b"));
    let registry = Registry::new(&[host("s0", a.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    registry.publish(2, &[host("s1", b.address, "active", 1)], &[]);
    registry.send_line("{\"seq\":3,\"whole\":false,\"hosts\":[{\"host\":7}]}");
    until("the whole list is asked for", || registry.paths().iter().any(|c| c == "/v1/endpoints"));
    until("it counts", || Client::to(&node).ask(&request("look", "t1", 15_000)).body == b"b");
    assert!(node.log_contains("unreadable"));
}

/// A client that leaves has its attempts called off.
#[test]
fn a_client_that_leaves_ends_its_attempt() {
    let server = Peer::new(|_| Reply::Nothing);
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    let mut client = Client::to(&node);
    client.send(&request("slip", "t1", 20_000));
    until("the attempt is out", || server.seen().len() == 1);
    assert_eq!(server.open_connections(), 1);
    let left = Instant::now();
    drop(client);
    until("the attempt is called off", || server.open_connections() == 0);
    assert!(left.elapsed() < Duration::from_secs(15), "that was the deadline, not the close");
}

/// A kept connection that its server has closed is not written to, however late that shows: an unsafe request
/// would fail for nothing.
#[test]
fn a_stale_kept_connection_fails_nobody() {
    let server = Peer::new(|_| Reply::ThenClose(answer(200, "", "served")));
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    for n in 0..10 {
        let heard = Client::to(&node).ask(&request("slip", &format!("t{n}"), 15_000));
        assert_eq!(heard.status(), 200, "request {n}");
        until("the server has closed", || server.open_connections() == 0);
    }
    assert_eq!(server.seen().len(), 10);
}

/// Idle connections are closed well before their server would.
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

/// SIGTERM: what was taken is served, connections still come for a while, then the node ends with 0.
#[test]
fn sigterm_finishes_what_was_taken() {
    let server = Peer::new(|m| {
        let long = m.header("x-txn") == Some("slow");
        Reply::After(Duration::from_millis(if long { 1500 } else { 0 }), answer(200, "", "served"))
    });
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut node = Node::ready(&config(registry.address));
    let (mut slow, mut kept) = (Client::to(&node), Client::to(&node));
    assert_eq!(kept.ask(&request("slip", "before", 15_000)).status(), 200);
    slow.send(&request("slip", "slow", 15_000));
    until("the slow one is out", || server.seen().len() == 2);
    node.terminate();
    // A connection that comes behind the signal is served, and so is one that was kept.
    until("the signal has come", || {
        Client::to(&node).ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 503
    });
    assert_eq!(Client::to(&node).ask(&request("slip", "after", 15_000)).status(), 200);
    assert_eq!(slow.receive().expect("what was taken is answered").status(), 200);
    assert!(kept.is_closed(), "idle connections are closed");
    assert_eq!(node.exit_code(), Some(0));
}

/// A client that is sent away as soon as a node is told to stop may have nowhere to go: others are down, or not back
/// yet. It is served until the end is near, on the connection that it has and on new ones, and told before they close.
#[test]
fn sigterm_leaves_clients_their_node_until_the_end_is_near() {
    let server = Peer::healthy("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut node = Node::ready(&config(registry.address));
    let mut kept = Client::to(&node);
    assert_eq!(kept.ask(&request("look", "before", 15_000)).status(), 200);
    let told = Instant::now();
    node.terminate();
    until("the signal has come", || {
        let heard = Client::to(&node).ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        heard.status() == 503 && heard.header("connection") == Some("close")
    });
    for n in 0.. {
        let heard = kept.ask(&request("look", &format!("t{n}"), 15_000));
        assert_eq!(heard.status(), 200, "request {n}");
        if heard.header("connection") == Some("close") {
            break;
        }
        if told.elapsed() < Duration::from_millis(1200) {
            let heard = Client::to(&node).ask(&request("look", &format!("n{n}"), 15_000));
            assert_eq!((heard.status(), heard.header("connection")), (200, None), "new connection {n}");
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(told.elapsed() >= Duration::from_millis(1200), "{:?}", told.elapsed());
    assert_eq!(node.exit_code(), Some(0));
}

/// Clients of a stopping node get no new connections, and one that finds none free may take the node for gone: a burst
/// must not take the last ones. What is one too many is refused at once, with a word on when to come back.
#[test]
fn a_stopping_node_keeps_some_connections_free() {
    // So many that none is ever full: the module has no cause to refuse.
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
    until("the signal has come", || {
        Client::to(&node).ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 503
    });
    for (n, client) in clients.iter_mut().enumerate().take(6) {
        client.send(&request("slip", &format!("slow{n}"), 15_000));
    }
    let mut count = 0;
    until("a further one is refused", || {
        count += 1;
        let heard = clients[6].ask(&request("slip", &format!("more{count}"), 15_000));
        heard.status() == 503 && heard.header("retry-after") == Some("0.750")
    });
    for client in clients.iter_mut().take(6) {
        assert_eq!(client.receive().expect("what was taken is answered").status(), 200);
    }
    assert_eq!(node.exit_code(), Some(0));
}

/// Where all deadlines are short SIGKILL comes soon: what can't be finished is answered before that.
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
    until("the attempt is out", || server.seen().len() == 1);
    let told = Instant::now();
    node.terminate();
    assert_eq!(client.receive().expect("an answer").status(), 502);
    assert!(told.elapsed() < Duration::from_millis(2500), "{:?}", told.elapsed());
    assert_eq!(node.exit_code(), Some(0));
}

/// More connections than descriptors: idle ones make room, and the node goes on serving.
#[test]
fn descriptors_that_run_out_do_not_stop_the_node() {
    let server = Peer::healthy("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    // The kernel's limit is lower than the told one: accepting fails, too.
    for (told, real) in [(64, 256), (256, 48)] {
        let mut config = config(registry.address);
        config["limits"]["sockets"] = json!(told);
        let mut node = Node::listening(&config, Some(real));
        node.wait_ready();
        let mut crowd = Vec::new();
        for n in 0..200 {
            crowd.push(Client::to(&node));
            if n % 20 == 0 {
                let heard = Client::to(&node).ask(&request("slip", &format!("t{n}"), 20_000));
                assert_eq!(heard.status(), 200, "told {told}, real {real}, connection {n}");
            }
        }
        assert!(node.running());
        assert!(node.descriptors() <= told, "{} of {told}", node.descriptors());
    }
}

/// What comes behind an answer is not the answer to the next request.
#[test]
fn bytes_behind_an_answer_do_not_answer_the_next_request() {
    for chunked in [false, true] {
        let server = Peer::new(move |m| {
            let txn = m.header("x-txn").unwrap_or("?");
            let one = if chunked {
                format!(
                    "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{txn}\r\n0\r\n\r\n",
                    txn.len()
                )
            } else {
                String::from_utf8(answer(200, "", txn)).expect("text")
            };
            Reply::Now(one.repeat(2).into_bytes())
        });
        let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
        let node = Node::ready(&config(registry.address));
        let mut client = Client::to(&node);
        for n in 0..6 {
            let txn = format!("t{n}");
            let heard = client.ask(&request("slip", &txn, 15_000));
            assert_eq!((heard.status(), heard.body), (200, txn.into_bytes()));
        }
    }
}

/// A request whose deadline lies beyond the end has its answer all the same.
#[test]
fn sigterm_answers_what_can_not_be_finished() {
    let server = Peer::new(|_| Reply::Nothing);
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut node = Node::ready(&config(registry.address));
    let mut client = Client::to(&node);
    client.send(&request("slip", "t1", 25_000));
    until("the attempt is out", || server.seen().len() == 1);
    node.terminate();
    assert_eq!(client.receive().expect("an answer").status(), 502);
    assert_eq!(node.exit_code(), Some(0));
}

/// A watch that stays open and says nothing is a dead link: the node calls again.
#[test]
fn a_silent_watch_is_given_up() {
    let server = Peer::healthy("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    until("the watch stands", || registry.watch_count() == 1);
    registry.go_silent();
    until("the node calls again", || registry.watch_count() >= 2);
    assert_eq!(Client::to(&node).ask(&request("look", "t1", 15_000)).status(), 200);
}

/// What can't be used is answered at once, without an attempt, and the connection stays of use.
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
    for (status, words) in cases {
        let mut client = Client::to(&node);
        let asked = Instant::now();
        assert_eq!(client.ask(&words).status(), status, "{words}");
        assert!(asked.elapsed() < Duration::from_secs(10), "{words}");
        assert_eq!(server.seen().len(), 0, "{words}");
    }
    let long = good.replace("Content-Length: 4\r\n\r\nwork", "Content-Length: 34000000\r\n\r\n");
    assert_eq!(Client::to(&node).ask(&long).status(), 413);
    assert_eq!(Client::to(&node).ask(&(long + &"x".repeat(65_537))).status(), 413);
    assert_eq!(server.seen().len(), 0);
    // A connection that was answered so still serves what comes next.
    let mut client = Client::to(&node);
    assert_eq!(client.ask(&request("look", "t1", 15_000).replace("/look/", "/lock/")).status(), 404);
    assert_eq!(client.ask(&good).status(), 200);
}

/// A node starts again with an old list while discovery is down: it serves by what it has.
#[test]
fn a_restart_with_an_old_list_serves_without_discovery() {
    let dead = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
    let good = Peer::healthy("a");
    let registry = Registry::new(&[]);
    registry.set_down(true);
    let mut config = config(registry.address);
    let hosts = [host("s0", dead, "active", 1), host("s1", good.address, "active", 1)];
    config["known"] = json!({"seq": 41, "whole": true, "hosts": hosts});
    let node = Node::ready(&config);
    for n in 0..4 {
        assert_eq!(Client::to(&node).ask(&request("slip", &format!("t{n}"), 15_000)).body, b"a");
    }
    until("it watches from the saved version", || registry.paths().iter().any(|c| c.contains("from=41")));
}

/// Every node sorts the servers alike, whatever the order in which it hears of them.
#[test]
fn turns_do_not_depend_on_the_order_of_the_list() {
    let servers = ["a", "b", "c", "d"].map(Peer::healthy);
    let mut hosts: Vec<Value> =
        servers.iter().enumerate().map(|(n, s)| host(&format!("s{n}"), s.address, "active", 1)).collect();
    let turns = |hosts: &[Value]| -> Vec<Vec<u8>> {
        let registry = Registry::new(hosts);
        let node = Node::ready(&config(registry.address));
        let mut client = Client::to(&node);
        (0..8).map(|n| client.ask(&request("look", &format!("t{n}"), 15_000)).body).collect()
    };
    let first = turns(&hosts);
    assert_eq!(first[..4], first[4..], "round robin");
    assert_eq!(first[..4].iter().collect::<BTreeSet<_>>().len(), 4, "each has its turn");
    hosts.reverse();
    assert_eq!(turns(&hosts), first);
}

/// A bad configuration ends the program with one line that names the field.
#[test]
fn a_bad_configuration_names_the_field() {
    let good = config("127.0.0.1:1".parse().expect("an address"));
    type Spoil = fn(&mut Value);
    let cases: [(&str, Spoil); 6] = [
        ("listen", |c| c["listen"] = json!("nowhere")),
        ("discovery", |c| c["discovery"] = json!(null)),
        ("seed", |c| c["seed"] = json!("xyz")),
        ("ConnectTimeout", |c| c["settings"]["Limits"]["ConnectTimeout"] = json!("long")),
        ("limits.sockets", |c| c["limits"]["sockets"] = json!("many")),
        ("known", |c| c["known"] = json!({"seq": 1, "whole": true, "hosts": [{"host": "a"}]})),
    ];
    for (field, spoil) in cases {
        let mut config = good.clone();
        spoil(&mut config);
        let (code, words) = run(&config);
        assert!(code.is_some_and(|c| c != 0), "{field}: {code:?}");
        assert!(words.contains(field) && words.trim().lines().count() == 1, "{field}: {words}");
    }
}
