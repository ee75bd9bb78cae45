//! Runs the node binary through situations of everyday operation: reloads, misbehaving clients and servers,
//! low limits.

mod peers;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use peers::*;
use serde_json::json;

/// SIGHUP moves discovery to the address in the file, even if the environment at the start names another one.
/// An invalid file changes nothing, the old list is used until the new one has arrived, and lines from the
/// old address are ignored from then on. This also holds for several reloads in quick succession and while
/// the node stops.
#[test]
fn sighup_moves_discovery_and_a_bad_file_changes_nothing() {
    let (a, b) = (Peer::healthy("a"), Peer::healthy("b"));
    let [list_a, list_b] = [a.address, b.address].map(|at| [host("s0", at, "active", 1)]);
    let (old, new) = (Registry::new(&list_a), Registry::new(&list_b));
    let node_config = config(old.address);
    let config_with_discovery = |to: std::net::SocketAddr| {
        let mut config = node_config.clone();
        config["discovery"] = json!(to.to_string());
        config.to_string()
    };
    let mut node = Node::ready_with_discovery(&node_config, old.address);
    let ask = |node: &Node| Client::to(node).ask(&request("look", "t1", 15_000));
    assert_eq!(ask(&node).body, b"a");
    for bad in ["{", "{}", &config_with_discovery(new.address).replace("127.0.0.1:", "nowhere:")] {
        node.reload(bad);
    }
    until("the invalid file is logged", || node.log_contains("the old configuration stays"));
    assert_eq!(ask(&node).body, b"a");
    // The new address is down at first, so the old list stays in use.
    new.set_down(true);
    node.reload(&config_with_discovery(new.address));
    until("the new address is called", || !new.paths().is_empty());
    assert_eq!(ask(&node).body, b"a");
    new.set_down(false);
    until("the new list is in use", || ask(&node).body == b"b");
    assert!(new.paths().iter().any(|c| c == "/v1/endpoints"), "the whole list is requested");
    old.publish(9, &list_a, &list_a);
    let calls_after_move = old.paths().len();
    for _ in 0..20 {
        assert_eq!(ask(&node).body, b"b");
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(old.paths().len(), calls_after_move, "the old address is not called again");
    for to in [&old, &new, &old, &new, &old] {
        node.reload(&config_with_discovery(to.address));
    }
    until("the last file is in use", || ask(&node).body == b"a");
    node.terminate();
    node.reload(&config_with_discovery(new.address));
    assert_eq!(node.exit_code(), Some(0));
}

/// With pushed lists the node still has to open the watch that delivers them, and to open it again when it
/// ends, goes silent, or its address changes. On the saved list alone it would send forever to servers that
/// are gone, or to whatever now uses their addresses.
#[test]
fn a_list_that_is_pushed_is_followed_by_a_watch_at_the_agent() {
    let [a, b, c] = ["a", "b", "c"].map(Peer::healthy);
    let [list_a, list_b, list_c] = [&a, &b, &c].map(|p| [host("s0", p.address, "active", 1)]);
    let (agent, other) = (Registry::new(&list_a), Registry::new(&list_c));
    let mut node_config = config(agent.address);
    node_config["settings"]["Discovery"] = json!("automatic");
    node_config["known"] = serde_json::from_str(&list_line(1, true, &list_b)).expect("a list");
    let node = Node::ready(&node_config);
    let ask = |node: &Node| Client::to(node).ask(&request("look", "t1", 15_000)).body;
    until("the agent's list replaces the saved one", || ask(&node) == b"a");
    agent.publish(2, &list_b, &list_b);
    until("a change is in use", || ask(&node) == b"b");
    agent.set_down(true);
    let calls = agent.paths().len();
    until("the node retries while the agent is down", || agent.paths().len() >= calls + 4);
    assert_eq!(ask(&node), b"b", "the last list stays in use");
    assert!(node.count_log_lines("discovery:") <= 2, "a long outage must not flood the log");
    agent.publish(3, &list_a, &list_a);
    agent.set_down(false);
    until("the change made meanwhile is in use", || ask(&node) == b"a");
    agent.go_silent();
    let watches = agent.watch_count();
    until("a silent watch is replaced", || agent.watch_count() > watches);
    node_config["discovery"] = json!(other.address.to_string());
    node.reload(&node_config.to_string());
    until("the new address of the agent is in use", || ask(&node) == b"c");
}

/// A client's repeat is recognised although it has a new id: the X-Remaining-Ms that the server gets counts
/// from the first request, up to the end of that request's objective (Slo).
#[test]
fn a_clients_repeat_has_only_the_time_left_of_its_first_request() {
    let server = Peer::new(|m| {
        if m.header("x-txn") == Some("t1") {
            Reply::Nothing
        } else {
            Reply::Now(answer(200, "", "a"))
        }
    });
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut node_config = config(registry.address);
    for class in node_config["settings"]["Classes"].as_array_mut().expect("classes") {
        (class["Slo"], class["Deadline"], class["LateValue"]) =
            (json!(60_000.0), json!(120_000.0), json!(0.0));
    }
    let node = Node::ready(&node_config);
    let mut first = Client::to(&node);
    let first_sent_at = Instant::now();
    first.send(&request("look", "t1", 100_000));
    until("the request is sent", || server.seen().len() == 1);
    until("a while has passed", || first_sent_at.elapsed() > Duration::from_millis(500));
    drop(first);
    until("the attempt is cancelled", || server.open_connections() == 0);
    assert_eq!(Client::to(&node).ask(&request("look", "t2", 100_000)).status(), 200);
    assert_eq!(Client::to(&node).ask(&request("look", "t3", 100_000)).status(), 200);
    let remaining_ms =
        |n: usize| server.seen()[n].header("x-remaining-ms").expect("sent").parse::<u64>().expect("a number");
    assert!(remaining_ms(1) <= 59_500, "{} ms left for a repeat", remaining_ms(1));
    assert!(
        remaining_ms(2) > remaining_ms(1),
        "the request after the repeat is not a repeat: {} ms left",
        remaining_ms(2)
    );
}

/// A connection that was in use while its server's address changed is not returned to the pool: it leads to
/// the old address.
#[test]
fn a_connection_in_use_while_its_server_moved_is_not_pooled() {
    let a = Peer::new(|_| Reply::After(Duration::from_millis(700), answer(200, "", "old")));
    let b = Peer::healthy("new");
    let registry = Registry::new(&[host("s0", a.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    let mut slow = Client::to(&node);
    slow.send(&request("slip", "t1", 15_000));
    until("the slow request is sent", || a.seen().len() == 1);
    let moved = [host("s0", b.address, "active", 1)];
    registry.publish(2, &moved, &moved);
    until("the move is known", || Client::to(&node).ask(&request("look", "t2", 15_000)).body == b"new");
    assert_eq!(slow.receive().expect("an answer").body, b"old");
    for n in 0..4 {
        let response = Client::to(&node).ask(&request("slip", &format!("n{n}"), 15_000));
        assert_eq!(response.body, b"new", "request {n}");
    }
}

/// A server that breaks off single answers stays in rotation. Taking one broken connection for a crash would
/// eject the server and leave it cold for a long time after its return.
#[test]
fn a_single_broken_connection_does_not_take_a_server_out_of_rotation() {
    let count = AtomicUsize::new(0);
    let flaky = Peer::new(move |m| {
        let breaks = m.path() != "/health" && count.fetch_add(1, Ordering::SeqCst) % 8 == 3;
        if breaks {
            Reply::ThenClose(Vec::new())
        } else {
            Reply::Now(answer(200, "", "flaky"))
        }
    });
    let good = Peer::healthy("good");
    let registry =
        Registry::new(&[host("s0", flaky.address, "active", 1), host("s1", good.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    let mut client = Client::to(&node);
    for n in 0..80 {
        assert_eq!(client.ask(&request("look", &format!("t{n}"), 15_000)).status(), 200, "request {n}");
    }
    let received = flaky.seen().len();
    assert!(received >= 30, "{received} of 80 requests went to the flaky server");
}

/// A request with both Content-Length and Transfer-Encoding may smuggle another one in its body. Neither is
/// forwarded, whichever header comes first, and nothing more is read from the connection.
#[test]
fn a_request_with_two_framings_smuggles_no_other() {
    let server = Peer::healthy("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    let smuggled = request("slip", "hidden", 15_000);
    let head_start = "POST /slip/7 HTTP/1.1\r\nHost: x\r\nX-Txn: t1\r\nX-Remaining-Ms: 15000\r\n";
    let (transfer_encoding, content_length) =
        ("Transfer-Encoding: chunked\r\n", format!("Content-Length: {}\r\n", smuggled.len() + 5));
    for framing in [
        format!("{transfer_encoding}{content_length}"),
        format!("{content_length}{transfer_encoding}"),
        format!("{transfer_encoding}{}", content_length.to_uppercase()),
        format!("{transfer_encoding}{transfer_encoding}"),
        "Transfer-Encoding: gzip, chunked\r\n".to_string(),
    ] {
        let mut client = Client::to(&node);
        client.send(&format!("{head_start}{framing}\r\n0\r\n\r\n{smuggled}"));
        assert_eq!(client.receive().expect("an answer").status(), 400, "{framing}");
        assert!(client.receive().is_none(), "{framing}: nothing more is answered");
        // The same after a valid request, in one write.
        let mut client = Client::to(&node);
        let good = request("look", "good", 15_000);
        client.send(&format!("{good}{head_start}{framing}\r\n0\r\n\r\n{smuggled}"));
        assert_eq!(client.receive().expect("an answer").status(), 200, "{framing}");
        assert_eq!(client.receive().expect("an answer").status(), 400, "{framing}");
        assert!(client.receive().is_none(), "{framing}: nothing more is answered");
    }
    assert!(server.seen().iter().all(|m| m.header("x-txn") == Some("good")), "{:?}", server.seen());
    // A chunked body without a length is valid.
    let mut client = Client::to(&node);
    let response = client.ask(&format!("{head_start}{transfer_encoding}\r\n4\r\nwork\r\n0\r\n\r\n"));
    assert_eq!(
        (response.status(), server.seen().last().expect("a request").body.clone()),
        (200, b"work".to_vec())
    );
}

/// A request with the id of one that is still open is rejected at once and never sent, and the first one is
/// served. Afterwards the id may be used again.
#[test]
fn a_request_with_the_id_of_an_open_one_is_rejected() {
    let server = Peer::new(|_| Reply::After(Duration::from_millis(1500), answer(200, "", "served")));
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    let (mut first, mut second) = (Client::to(&node), Client::to(&node));
    first.send(&request("slip", "t1", 15_000));
    until("the first is sent", || server.seen().len() == 1);
    assert_eq!(second.ask(&request("slip", "t1", 15_000)).status(), 409);
    assert_eq!(first.receive().expect("an answer").status(), 200);
    assert_eq!(server.seen().len(), 1);
    assert_eq!(second.ask(&request("look", "t1", 15_000)).status(), 200);
    let body = request("look", "t2", 15_000).replace("\r\n\r\n", "\r\nContent-Length: 4\r\n\r\nwork");
    assert_eq!(Client::to(&node).ask(&body).status(), 400, "a GET has no body");
}

/// Connections that send nothing, half a request, or half a request after a whole one, are closed in time.
#[test]
fn connections_without_a_whole_request_are_closed() {
    let server = Peer::new(|_| Reply::After(Duration::from_millis(200), answer(200, "", "served")));
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    let good = request("slip", "t1", 15_000);
    for (text, served) in [
        (String::new(), false),
        ("POST /slip/7 HTTP/1.1\r\nHost".to_string(), false),
        (good[..good.len() - 2].to_string(), false),
        (format!("{good}POST /slip/7 HTTP/1.1\r\nHost"), true),
    ] {
        let mut client = Client::to(&node);
        let start = Instant::now();
        client.send(&text);
        if served {
            assert_eq!(client.receive().expect("an answer").status(), 200);
        }
        assert!(client.is_closed_or_reset(), "{text}");
        assert!(start.elapsed() < Duration::from_secs(8), "{text}: {:?}", start.elapsed());
    }
}

/// A 400 from a server is passed on to the client: no other server is tried, and both servers stay in
/// rotation.
#[test]
fn a_400_from_a_server_is_final_and_keeps_it_in_rotation() {
    let servers = [(); 2].map(|()| {
        Peer::new(|m| {
            let bad = m.header("x-txn").is_some_and(|t| t.starts_with("bad"));
            Reply::Now(answer(if bad { 400 } else { 200 }, "", ""))
        })
    });
    let registry = Registry::new(&[
        host("s0", servers[0].address, "active", 1),
        host("s1", servers[1].address, "active", 1),
    ]);
    let node = Node::ready(&config(registry.address));
    let mut client = Client::to(&node);
    for n in 0..20 {
        assert_eq!(client.ask(&request("look", &format!("bad{n}"), 15_000)).status(), 400);
    }
    let received = || servers.each_ref().map(|s| s.seen().len());
    assert_eq!(received(), [10, 10]);
    for n in 0..10 {
        assert_eq!(client.ask(&request("slip", &format!("t{n}"), 15_000)).status(), 200);
    }
    assert_eq!(received(), [15, 15]);
}

/// More slow requests at once than a low descriptor limit has room for: all are served, and the limit is
/// kept.
#[test]
fn slow_requests_beyond_the_descriptors_wait_and_are_served() {
    let server = Peer::new(|_| Reply::After(Duration::from_millis(400), answer(200, "", "served")));
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut config = config(registry.address);
    config["limits"]["sockets"] = json!(40);
    config["settings"]["Classes"][2]["Slo"] = json!(20_000.0);
    let node = Node::ready(&config);
    // Each sends before the next connects: a connection without a request may be closed to make room.
    let send_slow = |n: usize| {
        let mut client = Client::to(&node);
        client.send(&request("slip", &format!("t{n}"), 20_000));
        client
    };
    let clients: Vec<Client> = (0..16).map(send_slow).collect();
    let mut max_descriptors = 0;
    for (n, mut client) in clients.into_iter().enumerate() {
        max_descriptors = max_descriptors.max(node.descriptors());
        assert_eq!(client.receive().expect("an answer").status(), 200, "request {n}");
    }
    assert!(max_descriptors <= 40, "{max_descriptors} of 40");
}

/// Guards against more descriptors than the limit where clients keep connections open that the node closed to
/// make room: these count until they are gone.
#[test]
fn connections_closed_to_make_room_count_until_they_are_gone() {
    let server = Peer::new(|_| Reply::Now(answer(200, "", "served")));
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut config = config(registry.address);
    config["limits"]["sockets"] = json!(40);
    let node = Node::ready(&config);
    let (mut clients, mut max_descriptors) = (Vec::new(), 0);
    for n in 0..60 {
        let mut client = Client::to(&node);
        assert_eq!(client.ask(&request("slip", &format!("t{n}"), 5_000)).status(), 200, "request {n}");
        clients.push(client);
        max_descriptors = max_descriptors.max(node.descriptors());
    }
    assert!(max_descriptors <= 40, "{max_descriptors} of 40");
}

/// All pooled connections to a server go silent at once while new ones work. Only the attempt that finds out
/// fails, not one attempt for each pooled connection.
#[test]
fn pooled_connections_that_went_silent_together_cost_one_attempt() {
    let silent = Arc::new(AtomicBool::new(false));
    let flag = silent.clone();
    let server = Peer::new(move |m| match flag.load(Ordering::SeqCst) {
        true if m.conn <= 5 => Reply::Nothing,
        true => Reply::Now(answer(200, "", "served")),
        false => Reply::After(Duration::from_millis(500), answer(200, "", "served")),
    });
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut config = config(registry.address);
    config["settings"]["Limits"]["Probes"] = json!(false);
    let node = Node::ready(&config);
    let mut clients: Vec<Client> = (0..5).map(|_| Client::to(&node)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&request("slip", &format!("t{n}"), 15_000));
    }
    for client in &mut clients {
        assert_eq!(client.receive().expect("an answer").status(), 200);
    }
    assert_eq!(server.open_connections(), 5);
    silent.store(true, Ordering::SeqCst);
    let mut ask = |n: usize| clients[0].ask(&request("slip", &format!("n{n}"), 2_000)).status();
    let served = (0..6).filter(|n| ask(*n) == 200).count();
    assert_eq!(served, 5, "only the first request fails");
}

/// Attempts on dead connections must neither hold a server at its concurrency limit until their deadlines
/// nor, once they have timed out, keep it suspected: it answers everything that arrives on new connections.
#[test]
fn attempts_on_dead_connections_do_not_keep_a_server_full() {
    let silent = Arc::new(AtomicBool::new(false));
    let flag = silent.clone();
    let server = Peer::new(move |m| match flag.load(Ordering::SeqCst) {
        true if m.conn <= 8 => Reply::Nothing,
        _ => Reply::After(Duration::from_millis(500), answer(200, "", "served")),
    });
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut config = config(registry.address);
    config["settings"]["Limits"]["Probes"] = json!(false);
    let node = Node::ready(&config);
    let mut clients: Vec<Client> = (0..8).map(|_| Client::to(&node)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&request("slip", &format!("t{n}"), 15_000));
    }
    for client in &mut clients {
        assert_eq!(client.receive().expect("an answer").status(), 200);
    }
    silent.store(true, Ordering::SeqCst);
    let began = Instant::now();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&request("slip", &format!("dead{n}"), 9_000));
    }
    // A connection is reused only after a minimum idle time, so wait until all requests are sent: an answer
    // to an earlier one would say nothing about those sent later.
    until("all are sent", || server.seen().len() == 16);
    let (mut other, mut count) = (Client::to(&node), 0);
    until("others are served", || {
        count += 1;
        other.ask(&request("slip", &format!("n{count}"), 15_000)).status() == 200
    });
    assert!(began.elapsed() < Duration::from_millis(6500), "{:?}", began.elapsed());
    for client in &mut clients {
        assert_ne!(client.receive().expect("an answer").status(), 200);
    }
    for (n, client) in clients.iter_mut().enumerate().take(6) {
        client.send(&request("slip", &format!("later{n}"), 15_000));
    }
    for client in clients.iter_mut().take(6) {
        assert_eq!(
            client.receive().expect("an answer").status(),
            200,
            "the server's concurrency limit has not dropped"
        );
    }
}

/// Clients that send one request and keep their connection open must not use up the connections that others
/// need. From a certain number of idle connections on, a new one is closed after its first answer, which
/// announces that with `Connection: close`. A connection that is used again stays open, and one that has
/// carried a single request is closed after a while.
#[test]
fn connections_that_are_used_once_are_not_kept_open() {
    let server = Peer::healthy("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    let mut used = Client::to(&node);
    for n in 0..2 {
        let response = used.ask(&request("look", &format!("used{n}"), 15_000));
        assert_eq!((response.status(), response.header("connection")), (200, None));
    }
    let mut single_use: Vec<Client> = Vec::new();
    let mut closed = 0;
    for n in 0..60 {
        let mut client = Client::to(&node);
        let response = client.ask(&request("look", &format!("once{n}"), 15_000));
        assert_eq!(response.status(), 200);
        closed += usize::from(response.header("connection") == Some("close"));
        single_use.push(client);
    }
    assert!((30..60).contains(&closed), "{closed} of 60 were closed");
    let response = used.ask(&request("look", "again", 15_000));
    assert_eq!(
        (response.status(), response.header("connection")),
        (200, None),
        "a reused connection stays open"
    );
    assert!(single_use[0].is_closed(), "a connection that is not reused is closed");
    let response = used.ask(&request("look", "later", 15_000));
    assert_eq!(
        (response.status(), response.header("connection")),
        (200, None),
        "a connection that was used twice stays open"
    );
}
