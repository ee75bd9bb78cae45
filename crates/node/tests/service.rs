//! The real program on the days of service: reloads, bad clients, bad servers, tight limits.

mod peers;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use peers::*;
use serde_json::json;

/// SIGHUP moves discovery to where the file says, though the environment of the start names another address;
/// a bad file changes nothing, the old list serves until the new one has come, and lines of the old address
/// do not count any more. Also several times in quick succession, and while the node stops.
#[test]
fn sighup_moves_discovery_and_a_bad_file_changes_nothing() {
    let (a, b) = (Peer::healthy("a"), Peer::healthy("b"));
    let [at_a, at_b] = [a.address, b.address].map(|at| [host("s0", at, "active", 1)]);
    let (old, new) = (Registry::new(&at_a), Registry::new(&at_b));
    let told = config(old.address);
    let moved = |to: std::net::SocketAddr| {
        let mut config = told.clone();
        config["discovery"] = json!(to.to_string());
        config.to_string()
    };
    let mut node = Node::ready_with_discovery(&told, old.address);
    let ask = |node: &Node| Client::to(node).ask(&request("look", "t1", 15_000));
    assert_eq!(ask(&node).body, b"a");
    for bad in ["{", "{}", &moved(new.address).replace("127.0.0.1:", "nowhere:")] {
        node.reload(bad);
    }
    until("the bad file is logged", || node.log_contains("the old configuration stays"));
    assert_eq!(ask(&node).body, b"a");
    // The new address is down at first: the old list serves.
    new.set_down(true);
    node.reload(&moved(new.address));
    until("the new address is asked", || !new.paths().is_empty());
    assert_eq!(ask(&node).body, b"a");
    new.set_down(false);
    until("the new list counts", || ask(&node).body == b"b");
    assert!(new.paths().iter().any(|c| c == "/v1/endpoints"), "the whole list is asked for");
    old.publish(9, &at_a, &at_a);
    let after = old.paths().len();
    for _ in 0..20 {
        assert_eq!(ask(&node).body, b"b");
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(old.paths().len(), after, "the old address is not asked again");
    for to in [&old, &new, &old, &new, &old] {
        node.reload(&moved(to.address));
    }
    until("the last file counts", || ask(&node).body == b"a");
    node.terminate();
    node.reload(&moved(new.address));
    assert_eq!(node.exit_code(), Some(0));
}

/// Where lists are pushed the node still has to open the watch that brings them, and to open it again when it ends, goes
/// silent, or moves: by the saved list alone it would send for ever to servers that are gone, and to whoever has their
/// addresses now.
#[test]
fn a_list_that_is_pushed_is_followed_by_a_watch_at_the_agent() {
    let [a, b, c] = ["a", "b", "c"].map(Peer::healthy);
    let [at_a, at_b, at_c] = [&a, &b, &c].map(|p| [host("s0", p.address, "active", 1)]);
    let (agent, other) = (Registry::new(&at_a), Registry::new(&at_c));
    let mut told = config(agent.address);
    told["settings"]["Discovery"] = json!("automatic");
    told["known"] = serde_json::from_str(&list_line(1, true, &at_b)).expect("a list");
    let node = Node::ready(&told);
    let ask = |node: &Node| Client::to(node).ask(&request("look", "t1", 15_000)).body;
    until("the agent's list counts, not the saved one", || ask(&node) == b"a");
    agent.publish(2, &at_b, &at_b);
    until("a change counts", || ask(&node) == b"b");
    agent.set_down(true);
    let calls = agent.paths().len();
    until("it is asked again while it is down", || agent.paths().len() >= calls + 4);
    assert_eq!(ask(&node), b"b", "the last list serves");
    assert!(node.count_log_lines("discovery:") <= 2, "hours of this must not flood the log");
    agent.publish(3, &at_a, &at_a);
    agent.set_down(false);
    until("what changed meanwhile counts", || ask(&node) == b"a");
    agent.go_silent();
    let watches = agent.watch_count();
    until("a silent watch is given up for another", || agent.watch_count() > watches);
    told["discovery"] = json!(other.address.to_string());
    node.reload(&told.to_string());
    until("the agent has moved", || ask(&node) == b"c");
}

/// What a client asks for again is known, though its id is new: the server is told how long the node waits, which is until
/// the aim of the first asking ends.
#[test]
fn a_clients_repeat_has_only_the_time_that_is_left_of_its_first_asking() {
    let server = Peer::new(|m| {
        if m.header("x-txn") == Some("t1") {
            Reply::Nothing
        } else {
            Reply::Now(answer(200, "", "a"))
        }
    });
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut told = config(registry.address);
    for class in told["settings"]["Classes"].as_array_mut().expect("classes") {
        (class["Slo"], class["Deadline"], class["LateValue"]) =
            (json!(60_000.0), json!(120_000.0), json!(0.0));
    }
    let node = Node::ready(&told);
    let mut first = Client::to(&node);
    let asked = Instant::now();
    first.send(&request("look", "t1", 100_000));
    until("it is out", || server.seen().len() == 1);
    until("a while has passed", || asked.elapsed() > Duration::from_millis(500));
    drop(first);
    until("it is given up", || server.open_connections() == 0);
    assert_eq!(Client::to(&node).ask(&request("look", "t2", 100_000)).status(), 200);
    assert_eq!(Client::to(&node).ask(&request("look", "t3", 100_000)).status(), 200);
    let left =
        |n: usize| server.seen()[n].header("x-remaining-ms").expect("told").parse::<u64>().expect("a number");
    assert!(left(1) <= 59_500, "{} ms for a repeat", left(1));
    assert!(left(2) > left(1), "one that comes after it repeats nothing: {} ms", left(2));
}

/// A connection that was busy while its server moved does not come back into use: it leads to the old place.
#[test]
fn a_connection_that_was_busy_while_its_server_moved_is_not_kept() {
    let a = Peer::new(|_| Reply::After(Duration::from_millis(700), answer(200, "", "old")));
    let b = Peer::healthy("new");
    let registry = Registry::new(&[host("s0", a.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    let mut slow = Client::to(&node);
    slow.send(&request("slip", "t1", 15_000));
    until("the slow one is out", || a.seen().len() == 1);
    let moved = [host("s0", b.address, "active", 1)];
    registry.publish(2, &moved, &moved);
    until("the move is known", || Client::to(&node).ask(&request("look", "t2", 15_000)).body == b"new");
    assert_eq!(slow.receive().expect("an answer").body, b"old");
    for n in 0..4 {
        let heard = Client::to(&node).ask(&request("slip", &format!("n{n}"), 15_000));
        assert_eq!(heard.body, b"new", "request {n}");
    }
}

/// A server that breaks off single answers keeps its turns: one broken connection is no crash, and to take it for
/// one would leave the server out, and cold for long after.
#[test]
fn a_single_broken_connection_does_not_cost_a_server_its_turns() {
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
    let seen = flaky.seen().len();
    assert!(seen >= 30, "{seen} of 80 requests went to the flaky one");
}

/// A request with a length and a transfer coding may hide another in its body. Neither goes on, whichever header comes
/// first, and nothing more is read from the connection.
#[test]
fn a_request_with_two_framings_hides_no_other() {
    let server = Peer::healthy("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    let hidden = request("slip", "hidden", 15_000);
    let start = "POST /slip/7 HTTP/1.1\r\nHost: x\r\nX-Txn: t1\r\nX-Remaining-Ms: 15000\r\n";
    let (coding, length) =
        ("Transfer-Encoding: chunked\r\n", format!("Content-Length: {}\r\n", hidden.len() + 5));
    for framing in [
        format!("{coding}{length}"),
        format!("{length}{coding}"),
        format!("{coding}{}", length.to_uppercase()),
        format!("{coding}{coding}"),
        "Transfer-Encoding: gzip, chunked\r\n".to_string(),
    ] {
        let mut client = Client::to(&node);
        client.send(&format!("{start}{framing}\r\n0\r\n\r\n{hidden}"));
        assert_eq!(client.receive().expect("an answer").status(), 400, "{framing}");
        assert!(client.receive().is_none(), "{framing}: nothing more is answered");
        // The same behind a good request, in one write.
        let mut client = Client::to(&node);
        let good = request("look", "good", 15_000);
        client.send(&format!("{good}{start}{framing}\r\n0\r\n\r\n{hidden}"));
        assert_eq!(client.receive().expect("an answer").status(), 200, "{framing}");
        assert_eq!(client.receive().expect("an answer").status(), 400, "{framing}");
        assert!(client.receive().is_none(), "{framing}: nothing more is answered");
    }
    assert!(server.seen().iter().all(|m| m.header("x-txn") == Some("good")), "{:?}", server.seen());
    // Chunks alone are as good as a length.
    let mut client = Client::to(&node);
    let heard = client.ask(&format!("{start}{coding}\r\n4\r\nwork\r\n0\r\n\r\n"));
    assert_eq!(
        (heard.status(), server.seen().last().expect("it came").body.clone()),
        (200, b"work".to_vec())
    );
}

/// The id of a request that is open already: the newcomer is turned down at once and never sent, the first one is
/// served. Afterwards the id may come again.
#[test]
fn the_id_of_an_open_request_is_turned_down() {
    let server = Peer::new(|_| Reply::After(Duration::from_millis(1500), answer(200, "", "served")));
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    let (mut first, mut second) = (Client::to(&node), Client::to(&node));
    first.send(&request("slip", "t1", 15_000));
    until("the first is out", || server.seen().len() == 1);
    assert_eq!(second.ask(&request("slip", "t1", 15_000)).status(), 409);
    assert_eq!(first.receive().expect("an answer").status(), 200);
    assert_eq!(server.seen().len(), 1);
    assert_eq!(second.ask(&request("look", "t1", 15_000)).status(), 200);
    let body = request("look", "t2", 15_000).replace("\r\n\r\n", "\r\nContent-Length: 4\r\n\r\nwork");
    assert_eq!(Client::to(&node).ask(&body).status(), 400, "a GET has no body");
}

/// Connections that say nothing, bring half a request, or half a one behind another, are closed in time.
#[test]
fn connections_that_bring_no_whole_request_are_closed() {
    let server = Peer::new(|_| Reply::After(Duration::from_millis(200), answer(200, "", "served")));
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    let good = request("slip", "t1", 15_000);
    for (words, served) in [
        (String::new(), false),
        ("POST /slip/7 HTTP/1.1\r\nHost".to_string(), false),
        (good[..good.len() - 2].to_string(), false),
        (format!("{good}POST /slip/7 HTTP/1.1\r\nHost"), true),
    ] {
        let mut client = Client::to(&node);
        let start = Instant::now();
        client.send(&words);
        if served {
            assert_eq!(client.receive().expect("an answer").status(), 200);
        }
        assert!(client.is_closed_or_reset(), "{words}");
        assert!(start.elapsed() < Duration::from_secs(8), "{words}: {:?}", start.elapsed());
    }
}

/// What a server finds bad in a request is the client's to hear: no other server is asked, and neither server loses
/// its turns for it.
#[test]
fn a_servers_word_on_a_bad_request_is_final_and_costs_no_turns() {
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
    let seen = || servers.each_ref().map(|s| s.seen().len());
    assert_eq!(seen(), [10, 10]);
    for n in 0..10 {
        assert_eq!(client.ask(&request("slip", &format!("t{n}"), 15_000)).status(), 200);
    }
    assert_eq!(seen(), [15, 15]);
}

/// More slow requests at once than there are places under a low limit: all are served, and the limit is kept.
#[test]
fn slow_requests_beyond_the_descriptors_wait_and_are_served() {
    let server = Peer::new(|_| Reply::After(Duration::from_millis(400), answer(200, "", "served")));
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut config = config(registry.address);
    config["limits"]["sockets"] = json!(40);
    config["settings"]["Classes"][2]["Slo"] = json!(20_000.0);
    let node = Node::ready(&config);
    // Each sends before the next connects: one that has said nothing yet may have to make room.
    let start = |n: usize| {
        let mut client = Client::to(&node);
        client.send(&request("slip", &format!("t{n}"), 20_000));
        client
    };
    let clients: Vec<Client> = (0..16).map(start).collect();
    let mut most = 0;
    for (n, mut client) in clients.into_iter().enumerate() {
        most = most.max(node.descriptors());
        assert_eq!(client.receive().expect("an answer").status(), 200, "request {n}");
    }
    assert!(most <= 40, "{most} of 40");
}

/// All open connections of a server go silent at once, while new ones work: that costs the attempt that finds out,
/// not one after another for each connection that was kept.
#[test]
fn kept_connections_that_went_silent_together_cost_one_attempt() {
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
    assert_eq!(served, 5, "only the first is lost");
}

/// Attempts on connections that went dead keep a server neither full until their deadlines nor, once they have timed out,
/// under suspicion: it answers whatever comes on new ones.
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
    // A connection rests before it is used again; what is sent before that tells nothing of what is sent then.
    until("all are out", || server.seen().len() == 16);
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
        assert_eq!(client.receive().expect("an answer").status(), 200, "its limit has not fallen");
    }
}

/// Clients that ask once and keep their connection for good must not use up what others need: from some idle ones on a
/// new connection is closed, and said to be, with its first answer. One that is used again stays, and one that has
/// brought a single request is let go after a while.
#[test]
fn connections_that_are_used_once_are_not_collected() {
    let server = Peer::healthy("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    let mut used = Client::to(&node);
    for n in 0..2 {
        let heard = used.ask(&request("look", &format!("used{n}"), 15_000));
        assert_eq!((heard.status(), heard.header("connection")), (200, None));
    }
    let mut once: Vec<Client> = Vec::new();
    let mut closed = 0;
    for n in 0..60 {
        let mut client = Client::to(&node);
        let heard = client.ask(&request("look", &format!("once{n}"), 15_000));
        assert_eq!(heard.status(), 200);
        closed += usize::from(heard.header("connection") == Some("close"));
        once.push(client);
    }
    assert!((30..60).contains(&closed), "{closed} of 60 were closed");
    let heard = used.ask(&request("look", "again", 15_000));
    assert_eq!((heard.status(), heard.header("connection")), (200, None), "one that is used stays");
    assert!(once[0].is_closed(), "one that is not used again is let go");
    let heard = used.ask(&request("look", "later", 15_000));
    assert_eq!((heard.status(), heard.header("connection")), (200, None), "one that was used twice stays");
}
