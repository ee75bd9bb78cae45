//! What operators do to the real program and see of it: its door, its figures, two processes at one address.

mod peers;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use glenwood_trace::{Record, TraceEvent};
use peers::{
    answer, config, host, request, run, until, Client, Message, Node, Peer, Registry, Say, PATIENCE,
};
use serde_json::{json, Value};

fn with_door(mut config: Value) -> Value {
    config["mgmt"] = json!("127.0.0.1:0");
    config
}

/// Where operators ask this node.
fn door(node: &Node) -> SocketAddr {
    node.said(" answers operators at ").parse().expect("an address")
}

/// One call at a door; `None` where the connection ends without an answer.
fn call_at(door: SocketAddr, head: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(door).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
    stream.write_all(head.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    Some((head.split(' ').nth(1)?.parse().ok()?, body.to_string()))
}

fn get(door: SocketAddr, path: &str) -> (u16, String) {
    call_at(door, &format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n")).expect("an answer")
}

/// A figure by its whole name; 0 where it is not shown.
fn figure(door: SocketAddr, name: &str) -> u64 {
    let (status, text) = get(door, "/metrics");
    assert_eq!(status, 200);
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    value.map_or(0, |value| value.parse().expect("a number"))
}

fn transactions(door: SocketAddr, class: &str, state: &str) -> u64 {
    figure(door, &format!("node_transactions{{group=\"{class}\",state=\"{state}\"}}"))
}

fn one_server(peer: &Peer) -> Registry {
    Registry::new(&[host("s0", peer.address, "active", 0)])
}

#[test]
fn the_door_knows_two_calls_and_turns_down_the_rest() {
    let peer = Peer::good("s0");
    let registry = one_server(&peer);
    let node = Node::ready(&with_door(config(registry.address)));
    let door = door(&node);
    until("the door says ready", || get(door, "/ready").0 == 200);
    assert!(get(door, "/metrics").1.contains("node_cluster_size 1\n"));
    assert_eq!(get(door, "/look/7").0, 404);
    assert_eq!(
        call_at(door, "POST /ready HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n").map(|a| a.0),
        Some(405)
    );
    assert_eq!(call_at(door, "nonsense\r\n\r\n").map(|a| a.0), Some(400));
    node.terminate();
    until("it is not ready any more", || {
        call_at(door, "GET /ready HTTP/1.1\r\n\r\n").is_none_or(|a| a.0 == 503)
    });
}

#[test]
fn a_node_without_servers_says_at_the_door_that_it_is_not_ready() {
    let registry = Registry::new(&[]);
    registry.down(true);
    let node = Node::listening(&with_door(config(registry.address)), None);
    assert_eq!(get(door(&node), "/ready").0, 503);
}

/// More callers than the door has places, each with these words and no more.
fn crowd(door: SocketAddr, words: &str) -> Vec<TcpStream> {
    let caller = |_| {
        let mut stream = TcpStream::connect(door).expect("the kernel takes it in");
        stream.write_all(words.as_bytes()).expect("it is written");
        stream
    };
    (0..200).map(caller).collect()
}

#[test]
fn callers_who_hold_half_a_call_keep_nobody_out() {
    let peer = Peer::good("s0");
    let registry = one_server(&peer);
    // Fewer descriptors than callers: they must not take those of others either.
    let mut config = with_door(config(registry.address));
    config["limits"]["sockets"] = json!(96);
    let node = Node::listening(&config, Some(96));
    node.wait_ready();
    let door = door(&node);
    let held = crowd(door, "GET /metr");
    for _ in 0..5 {
        let asked = Instant::now();
        assert_eq!(get(door, "/ready").0, 200);
        // Left to themselves the callers go after five seconds.
        assert!(asked.elapsed() < Duration::from_secs(4), "{:?}", asked.elapsed());
    }
    assert_eq!(Client::to(&node).ask(&request("look", "t1", 5000)).status(), 200);
    drop(held);
}

#[test]
fn one_who_never_reads_keeps_nobody_out() {
    let peer = Peer::good("s0");
    let registry = one_server(&peer);
    let mut config = with_door(config(registry.address));
    config["limits"]["sockets"] = json!(96);
    let node = Node::listening(&config, Some(96));
    node.wait_ready();
    let door = door(&node);
    let unread = crowd(door, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    let asked = Instant::now();
    assert_eq!(get(door, "/ready").0, 200);
    assert!(asked.elapsed() < Duration::from_secs(4), "{:?}", asked.elapsed());
    drop(unread);
}

#[test]
fn a_door_that_cannot_be_opened_is_said_in_one_line() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let registry = Registry::new(&[]);
    let mut config = config(registry.address);
    config["mgmt"] = json!(taken.local_addr().expect("bound").to_string());
    let (code, words) = run(&config);
    assert_eq!(code, Some(1));
    assert!(words.contains("mgmt: ") && words.trim().lines().count() == 1, "{words}");
    config["mgmt"] = json!("nowhere");
    let (code, words) = run(&config);
    assert_eq!(code, Some(1));
    assert!(words.contains("mgmt: IP address and port expected"), "{words}");
}

#[test]
fn figures_are_what_peers_saw() {
    // The path says what the server is to do.
    let peer = Peer::new(|message: &Message| match message.header("x-org") {
        Some("fail") => Say::This(answer(500, "", "")),
        Some("away") => Say::This(answer(503, "X-Turned-Away: 1\r\n", "")),
        Some("none") => Say::Nothing,
        _ => Say::This(answer(200, "", "served")),
    });
    let registry = one_server(&peer);
    let mut told = with_door(config(registry.address));
    told["settings"]["Limits"]["AttemptsCap"] = json!(1);
    let node = Node::ready(&told);
    let door = door(&node);
    let ask = |class: &str, txn: &str, org: &str, remaining: u64| {
        let words = request(class, txn, remaining).replace("X-Txn", &format!("X-Org: {org}\r\nX-Txn"));
        Client::to(&node).ask(&words).status()
    };
    for n in 0..5 {
        assert_eq!(ask("look", &format!("a{n}"), "good", 5000), 200);
    }
    let unserved = [("b", "none", 300), ("c", "fail", 5000), ("d", "away", 5000)];
    let statuses = unserved.map(|(txn, org, remaining)| ask("slip", txn, org, remaining));
    let refused = statuses.iter().filter(|status| **status == 503).count() as u64;
    assert!((1..3).contains(&refused) && !statuses.contains(&200), "{statuses:?}");
    // What the front turns down by itself: an unknown class is nobody's, a known one's faults are its own.
    assert_eq!(Client::to(&node).ask(&request("other", "e", 5000)).status(), 404);
    assert_eq!(
        Client::to(&node).ask(&request("pay", "f", 5000).replace("Idempotency-Key", "X-Key")).status(),
        400
    );
    let count = |class, state| transactions(door, class, state);
    assert_eq!(["answered", "deferred", "errored"].map(|state| count("look", state)), [5, 0, 0]);
    assert_eq!(
        ["answered", "deferred", "errored"].map(|state| count("slip", state)),
        [0, refused, 3 - refused]
    );
    assert_eq!(["answered", "deferred", "errored"].map(|state| count("pay", state)), [0, 0, 1]);
    assert_eq!(figure(door, "node_sends"), peer.seen().len() as u64);
    assert_eq!(figure(door, "node_current"), 0);
    // One that is open shows, until its client leaves.
    let mut client = Client::to(&node);
    client.send(&request("look", "g", 20_000).replace("X-Txn", "X-Org: none\r\nX-Txn"));
    until("it is open", || figure(door, "node_current") == 1);
    drop(client);
    until("its client has left", || figure(door, "node_current") == 0);
    assert_eq!(count("look", "errored"), 0);
}

#[test]
fn a_server_that_is_down_shows_as_avoided() {
    let (good, gone) = (Peer::good("s0"), TcpListener::bind("127.0.0.1:0").expect("a port"));
    let at = gone.local_addr().expect("bound");
    drop(gone);
    let registry = Registry::new(&[host("s0", good.address, "active", 0), host("s1", at, "active", 0)]);
    let node = Node::ready(&with_door(config(registry.address)));
    let door = door(&node);
    assert_eq!((figure(door, "node_cluster_size"), figure(door, "node_cluster_unhealthy")), (2, 0));
    let mut client = Client::to(&node);
    let mut number = 0;
    until("the node avoids it", || {
        number += 1;
        assert_eq!(client.ask(&request("look", &format!("t{number}"), 5000)).status(), 200);
        figure(door, "node_cluster_unhealthy") == 1
    });
}

#[test]
fn a_second_process_takes_over_without_a_request_lost() {
    let peer = Peer::new(|_| Say::Later(Duration::from_millis(5), answer(200, "", "served")));
    let registry = one_server(&peer);
    let mut told = with_door(config(registry.address));
    told["settings"]["Classes"][0]["Deadline"] = json!(1500.0);
    told["settings"]["Classes"][1]["Deadline"] = json!(1500.0);
    told["settings"]["Classes"][2]["Deadline"] = json!(1500.0);
    // With a backlog of its own the old one resets what is dealt to it as it closes: they have one.
    let folder = folder("takes-over");
    let mut old = Node::started_in(&folder, &told).wait_listening();
    old.wait_ready();
    old.wait_said("can hand its listening sockets on");
    told["listen"] = json!(old.address.to_string());
    let asked = std::sync::atomic::AtomicUsize::new(0);
    let over = std::sync::atomic::AtomicBool::new(false);
    let (asked, over) = (&asked, &over);
    /// Ends the clients however the test ends.
    struct Over<'a>(&'a std::sync::atomic::AtomicBool);
    impl Drop for Over<'_> {
        fn drop(&mut self) {
            self.0.store(true, std::sync::atomic::Ordering::SeqCst);
        }
    }
    std::thread::scope(|scope| {
        let at = old.address;
        for client in 0..8 {
            scope.spawn(move || {
                let mut kept: Option<Client> = None;
                while !over.load(std::sync::atomic::Ordering::SeqCst) {
                    let number = asked.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
                    // Every third comes on a connection of its own: each step of the change meets some.
                    let fresh = kept.is_none() || number % 3 == 0;
                    let mut conn = if fresh { Client::at(at) } else { kept.take().expect("kept") };
                    let heard = conn.ask(&request("slip", &format!("t{client}-{number}"), 5000));
                    assert_eq!(heard.status(), 200);
                    let closes = heard.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
                    kept = (!closes).then_some(conn);
                }
            });
        }
        let _over = Over(over);
        let count = || asked.load(std::sync::atomic::Ordering::SeqCst);
        for _ in 0..2 {
            let new = Node::started_in(&folder, &told).wait_listening();
            let door = door(&new);
            until("the new process says yes", || get(door, "/ready").0 == 200);
            let before = count();
            old.terminate();
            assert_eq!(old.exit_code(), Some(0));
            until("requests go on", || count() > before + 20);
            old = new;
        }
    });
    assert_eq!(peer.seen().len(), count_of(asked), "each was carried out once");
    let _ = std::fs::remove_dir_all(folder);
}

fn count_of(asked: &std::sync::atomic::AtomicUsize) -> usize {
    asked.load(std::sync::atomic::Ordering::SeqCst)
}

#[test]
fn a_second_process_that_cannot_serve_takes_no_connection() {
    let peer = Peer::good("s0");
    let registry = one_server(&peer);
    let first = Node::ready(&with_door(config(registry.address)));
    let mut told = with_door(config(registry.address));
    told["listen"] = json!(first.address.to_string());
    registry.down(true);
    let second = Node::started(&told);
    until("it is up", || second.logged("another process listens at"));
    let door = second.wait_said(" answers operators at ").parse().expect("an address");
    assert_eq!(get(door, "/ready").0, 503);
    for n in 0..40 {
        assert_eq!(Client::to(&first).ask(&request("look", &format!("t{n}"), 5000)).status(), 200);
    }
    registry.down(false);
    until("it can serve", || get(door, "/ready").0 == 200);
}

/// The configuration with these classes, each as (name, effect).
fn with_classes(config: &Value, classes: &[(&str, &str)]) -> Value {
    let mut config = config.clone();
    let model = config["settings"]["Classes"][0].clone();
    let class = |(name, effect): &(&str, &str)| {
        let mut class = model.clone();
        (class["Name"], class["Idempotency"]) = (json!(name), json!(effect));
        class
    };
    config["settings"]["Classes"] = classes.iter().map(class).collect();
    config
}

#[test]
fn classes_come_and_go_at_sighup_and_a_broken_file_changes_nothing() {
    let peer = Peer::good("s0");
    let registry = one_server(&peer);
    let told = with_door(config(registry.address));
    let node = Node::ready(&told);
    let door = door(&node);
    let ask = |class: &str, txn: &str| Client::to(&node).ask(&request(class, txn, 5000)).status();
    assert_eq!((ask("slip", "a"), ask("look-next", "b")), (200, 404));
    let next = with_classes(&told, &[("look-next", "side_effect"), ("look", "pure")]);
    node.reload(&next.to_string());
    until("it is taken", || figure(door, "node_conf_loaded") == 1);
    let asked = request("slip", "c", 5000).replace("/slip/", "/look-next/");
    assert_eq!(Client::to(&node).ask(&asked).status(), 200, "by its new name, with its method");
    assert_eq!((ask("slip", "d"), ask("look", "e")), (404, 200));
    let mut zero = next.clone();
    zero["settings"]["Classes"][0]["Deadline"] = json!(0);
    zero["discovery"] = json!("127.0.0.1:1");
    let mut none = next.clone();
    none["settings"]["Limits"]["AttemptsCap"] = json!(0);
    let mut short = next.clone();
    short["settings"]["Classes"][1].as_object_mut().expect("an object").remove("Slo");
    let whole = next.to_string();
    let broken = [
        String::new(),
        whole[..whole.len() / 2].into(),
        zero.to_string(),
        none.to_string(),
        short.to_string(),
    ];
    let calls = registry.calls().len();
    for (n, words) in (1..).zip(&broken) {
        node.reload(words);
        until("it is turned down", || figure(door, "node_conf_invalid") == n);
        assert_eq!((ask("look", &format!("f{n}")), ask("pay", &format!("g{n}"))), (200, 404));
    }
    assert_eq!(figure(door, "node_conf_loaded"), 1);
    assert_eq!(registry.calls().len(), calls, "the list is not asked for anew");
    assert!(node.logged("Slo") && node.logged("the old configuration stays"));
    // Its counts run from the process's start, though its name is no class any more.
    assert_eq!(transactions(door, "slip", "answered"), 1);
    assert_eq!(transactions(door, "look-next", "answered"), 1);
}

#[test]
fn a_request_under_way_keeps_the_class_that_it_came_with() {
    let (go, wait) = std::sync::mpsc::channel::<()>();
    let wait = std::sync::Mutex::new(wait);
    let peer = Peer::new(move |message: &Message| {
        if message.path().starts_with("/slip") {
            // The end of the other side says the same.
            let _ = wait.lock().expect("no panic").recv();
        }
        match message.header("x-org") {
            Some("fail") => Say::This(answer(500, "", "")),
            _ => Say::This(answer(200, "", "served")),
        }
    });
    let registry = one_server(&peer);
    let told = with_door(config(registry.address));
    let node = Node::ready(&told);
    let door = door(&node);
    let mut under_way = Client::to(&node);
    under_way.send(&request("slip", "a", 20_000));
    // Half of one is there too: its head has come, which is when its class is known.
    let mut half = Client::to(&node);
    let whole = request("pay", "b", 20_000);
    half.send(&whole[..whole.len() - 4]);
    // And half of one that must not run twice, and will fail.
    let mut unsafe_half = Client::to(&node);
    let unsafe_whole = request("slip", "u", 20_000).replace("X-Txn", "X-Org: fail\r\nX-Txn");
    unsafe_half.send(&unsafe_whole[..unsafe_whole.len() - 4]);
    until("the first is at its server", || peer.seen().len() == 1);
    node.reload(
        &with_classes(&told, &[("other", "pure"), ("another", "pure"), ("look", "pure")]).to_string(),
    );
    until("the new settings count", || figure(door, "node_conf_loaded") == 1);
    half.send("work");
    assert_eq!(half.hear().map(|m| m.status()), Some(200));
    assert_eq!(Client::to(&node).ask(&request("look", "c", 5000).replace("look", "other")).status(), 200);
    unsafe_half.send("work");
    // Both of its class wait there.
    (0..2).for_each(|_| go.send(()).expect("the server waits"));
    assert_eq!(
        unsafe_half.hear().map(|m| m.status()),
        Some(502),
        "never again, though the classes now are all safe"
    );
    assert_eq!(peer.seen().iter().filter(|m| m.header("x-txn") == Some("u")).count(), 1);
    assert_eq!(under_way.hear().map(|m| (m.status(), m.body)), Some((200, b"served".to_vec())));
    assert_eq!((transactions(door, "slip", "answered"), transactions(door, "pay", "answered")), (1, 1));
    assert_eq!(transactions(door, "other", "answered"), 1);
}

/// A folder that two processes have in common.
fn folder(name: &str) -> std::path::PathBuf {
    let folder = std::env::temp_dir().join(format!("glenwood-operation-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// The configuration of one that is to stand beside this one.
fn beside(config: &Value, node: &Node) -> Value {
    let mut config = config.clone();
    config["listen"] = json!(node.address.to_string());
    config
}

#[test]
fn a_successor_takes_the_same_backlog_and_the_old_one_refuses_nobody() {
    let folder = folder("backlog");
    let peer = Peer::new(|_| Say::Later(Duration::from_millis(20), answer(200, "", "served")));
    let registry = one_server(&peer);
    let mut told = with_door(config(registry.address));
    for n in 0..3 {
        told["settings"]["Classes"][n]["Deadline"] = json!(1500.0);
    }
    let mut old = Node::started_in(&folder, &told).wait_listening();
    old.wait_ready();
    old.wait_said("can hand its listening sockets on");
    let told = beside(&told, &old);
    for round in 0..2 {
        // More than the old one would keep free: left to itself it refuses some of them.
        let mut kept: Vec<Client> = (0..12).map(|_| Client::at(old.address)).collect();
        for (n, client) in kept.iter_mut().enumerate() {
            assert_eq!(client.ask(&request("look", &format!("a{round}-{n}"), 5000)).status(), 200);
        }
        let new = Node::started_in(&folder, &told).wait_listening();
        let door = door(&new);
        until("the new process says yes", || get(door, "/ready").0 == 200);
        assert!(old.logged("another process has the listening sockets too"));
        old.terminate();
        until("it stops", || {
            call_at(self::door(&old), "GET /ready HTTP/1.1\r\n\r\n").is_none_or(|a| a.0 == 503)
        });
        // From 0.2 s on a stopping node that is alone would keep connections free; there is nothing to be seen of it.
        std::thread::sleep(Duration::from_millis(250));
        for (n, client) in kept.iter_mut().enumerate() {
            client.send(&request("look", &format!("b{round}-{n}"), 5000));
        }
        for client in &mut kept {
            let heard = client.hear().expect("an answer");
            assert_eq!(heard.status(), 200);
            assert_eq!(heard.header("connection"), Some("close"), "it is sent to the new process");
        }
        for n in 0..20 {
            assert_eq!(
                Client::at(new.address).ask(&request("look", &format!("c{round}-{n}"), 5000)).status(),
                200
            );
        }
        let waits = Instant::now();
        assert_eq!(old.exit_code(), Some(0));
        assert!(waits.elapsed() < Duration::from_millis(1000), "it ends as soon as it is empty");
        old = new;
    }
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_successor_that_dies_leaves_the_old_one_as_it_was_and_a_third_is_turned_away() {
    let folder = folder("dies");
    let peer = Peer::good("s0");
    let registry = one_server(&peer);
    let mut told = with_door(config(registry.address));
    let old = Node::started_in(&folder, &told).wait_listening();
    old.wait_ready();
    told = beside(&told, &old);
    // It can't serve, and so never listens.
    registry.down(true);
    let mut second = Node::started_in(&folder, &told);
    until("the second has met it", || old.logged("another process has the listening sockets too"));
    let third = Node::started_in(&folder, &told);
    third.wait_said("another process listens at");
    assert_eq!(old.log_lines("another process has"), 1, "one at a time");
    for n in 0..40 {
        assert_eq!(Client::to(&old).ask(&request("look", &format!("a{n}"), 5000)).status(), 200);
    }
    second.kill();
    until("it is missed", || old.logged("the other process is gone"));
    drop(third);
    for n in 0..40 {
        assert_eq!(Client::to(&old).ask(&request("look", &format!("b{n}"), 5000)).status(), 200);
    }
    registry.down(false);
    let fourth = Node::started_in(&folder, &told).wait_listening();
    until("the fourth says yes", || get(door(&fourth), "/ready").0 == 200);
    assert_eq!(old.log_lines("another process has"), 2);
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_place_that_a_dead_process_left_is_in_nobodys_way() {
    let folder = folder("dead");
    let peer = Peer::good("s0");
    let registry = one_server(&peer);
    let told = with_door(config(registry.address));
    let mut first = Node::started_in(&folder, &told).wait_listening();
    first.wait_said("can hand its listening sockets on");
    let told = beside(&told, &first);
    first.kill();
    let left: Vec<_> = std::fs::read_dir(&folder).expect("a folder").flatten().collect();
    assert_eq!(left.len(), 1, "its socket is left");
    let mode = std::os::unix::fs::PermissionsExt::mode(&left[0].metadata().expect("a file").permissions());
    assert_eq!(mode & 0o777, 0o600, "who may connect is given the clients' sockets");
    let second = Node::started_in(&folder, &told).wait_listening();
    second.wait_ready();
    second.wait_said("can hand its listening sockets on");
    assert_eq!(Client::to(&second).ask(&request("look", "a", 5000)).status(), 200);
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn two_processes_hold_no_more_descriptors_than_one_node_may() {
    let folder = folder("descriptors");
    let peers: Vec<Peer> = (0..4)
        .map(|_| Peer::new(|_| Say::Later(Duration::from_millis(300), answer(200, "", "served"))))
        .collect();
    let hosts: Vec<Value> =
        peers.iter().enumerate().map(|(n, p)| host(&format!("s{n}"), p.address, "active", 0)).collect();
    let registry = Registry::new(&hosts);
    let mut told = with_door(config(registry.address));
    told["limits"]["sockets"] = json!(128);
    let old = Node::started_in(&folder, &told).wait_listening();
    old.wait_ready();
    let told = beside(&told, &old);
    let new = Node::started_in(&folder, &told).wait_listening();
    until("the new process says yes", || get(door(&new), "/ready").0 == 200);
    let (over, address) = (std::sync::atomic::AtomicBool::new(false), old.address);
    let mut most = 0;
    std::thread::scope(|scope| {
        for client in 0..120 {
            let over = &over;
            scope.spawn(move || {
                let mut number = 0;
                while !over.load(std::sync::atomic::Ordering::SeqCst) {
                    number += 1;
                    let Ok(mut stream) = TcpStream::connect(address) else { continue };
                    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
                    let words = request("look", &format!("t{client}-{number}"), 2000);
                    let _ = stream.write_all(words.as_bytes());
                    let _ = stream.read(&mut [0; 256]);
                }
            });
        }
        for _ in 0..100 {
            most = most.max(old.descriptors() + new.descriptors());
            std::thread::sleep(Duration::from_millis(20));
        }
        over.store(true, std::sync::atomic::Ordering::SeqCst);
    });
    assert!(most <= 128, "{most} of 128");
    assert!(most > 80, "{most}: both were used");
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn new_settings_count_in_both_processes_of_an_upgrade_and_while_the_old_one_stops() {
    let folder = folder("sighup");
    let (go, wait) = std::sync::mpsc::channel::<()>();
    let wait = std::sync::Mutex::new(wait);
    let peer = Peer::new(move |message: &Message| {
        if message.path().starts_with("/slip") {
            let _ = wait.lock().expect("no panic").recv();
        }
        Say::This(answer(200, "", "served"))
    });
    let registry = one_server(&peer);
    let told = with_door(config(registry.address));
    let mut old = Node::started_in(&folder, &told).wait_listening();
    old.wait_ready();
    old.wait_said("can hand its listening sockets on");
    let (told, door_of_old) = (beside(&told, &old), door(&old));
    // One that the old process has taken stays its own to the end.
    let mut under_way = Client::to(&old);
    under_way.send(&request("slip", "a", 15_000));
    until("it is at its server", || peer.seen().len() == 1);
    let new = Node::started_in(&folder, &told).wait_listening();
    until("the new process says yes", || get(door(&new), "/ready").0 == 200);
    let mut kept: Vec<Client> = (0..8).map(|_| Client::at(old.address)).collect();
    let mut ask = |n: usize, class: &str, txn: &str| {
        kept[n].ask(&request("look", txn, 5000).replace("/look/", &format!("/{class}/"))).status()
    };
    for (signal, class) in [(1, "look-next"), (2, "look-last")] {
        let text = with_classes(&told, &[(class, "pure"), ("look", "pure")]).to_string();
        if signal == 2 {
            old.terminate();
            old.wait_said("stops: it was told to");
        }
        for node in [&old, &new] {
            node.reload(&text);
            node.wait_said("reload: discovery is");
        }
        until("both count it", || {
            [door_of_old, door(&new)].iter().all(|at| figure(*at, "node_conf_loaded") == signal)
        });
        // Eight connections over both: whoever took them knows the class. The old one says good-bye with its answers.
        for n in 0..4 {
            let n = n + 4 * (signal as usize - 1);
            assert_eq!(ask(n, class, &format!("{class}{n}")), 200, "{class} {n}");
        }
    }
    assert_eq!(registry.calls().len(), 2, "the list is not asked for anew");
    go.send(()).expect("the server waits");
    assert_eq!(under_way.hear().map(|m| m.status()), Some(200), "its class is gone, it is not");
    assert_eq!(old.exit_code(), Some(0));
    assert_eq!(peer.seen().len(), 9, "each was carried out once");
    let _ = std::fs::remove_dir_all(folder);
}

/// A list of thousands of servers, at addresses where nobody listens; each time with others that leave.
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
fn the_door_answers_within_a_second_while_the_thread_that_serves_is_saturated() {
    let peer = Peer::good("s0");
    let registry = one_server(&peer);
    let node = Node::ready(&with_door(config(registry.address)));
    let door = door(&node);
    let lists: Vec<String> = (2..14).map(long_list).collect();
    lists.iter().for_each(|list| registry.say(list));
    until("it is at it", || figure(door, "node_cluster_size") > 1);
    let asked = Instant::now();
    let served = std::thread::spawn({
        let mut client = Client::to(&node);
        move || {
            client.send(&request("look", "t", 20_000));
            client.hear().map(|_| asked.elapsed())
        }
    });
    let (mut longest, mut calls) = (Duration::ZERO, 0);
    while !served.is_finished() {
        let began = Instant::now();
        assert_eq!(get(door, if calls % 2 == 0 { "/metrics" } else { "/ready" }).0, 200);
        longest = longest.max(began.elapsed());
        calls += 1;
    }
    assert!(longest < Duration::from_secs(1), "{longest:?} in {calls} calls");
    // At the same door of the same thread both would wait for the same lists.
    let waited = served.join().expect("no panic").expect("an answer");
    assert!(waited > 4 * longest, "{waited:?} there, {longest:?} here");
}

/// As JSON, each line is a record of its own, with what clients send in it escaped.
#[test]
fn the_trace_is_json_on_demand() {
    let server = Peer::good("served");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let operator = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("json-trace.toml");
    std::fs::write(&operator, "[trace]\non = true\njson = true\n").expect("a file");
    let node = Node::started_with_operator(&config(registry.address), &operator).wait_listening();
    node.wait_ready();
    let odd = "a-\"quoted\"-{id}";
    assert_eq!(Client::to(&node).ask(&request("look", odd, 9000)).status(), 200);
    let records = || -> Vec<Record> {
        node.log_of(|line| line.starts_with('{')).iter().filter_map(|line| Record::find(line)).collect()
    };
    until("it is answered", || records().iter().any(|r| matches!(r.event, TraceEvent::Answer { .. })));
    let named = |r: &Record| matches!(&r.event, TraceEvent::RequestId { id, .. } if id == odd);
    assert!(records().iter().any(named), "{:?}", records());
    assert!(records().iter().any(|r| matches!(&r.event, TraceEvent::Send { server, .. } if server == "s0")));
    assert!(!node.logged("trace "), "no other form beside it");
}

/// The trace says why a request is refused, and why a client's connection ends.
#[test]
fn the_trace_says_why() {
    let registry = Registry::new(&[]);
    let operator = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("says-why.toml");
    std::fs::write(&operator, "[trace]\non = true\n").expect("a file");
    let node = Node::started_with_operator(&config(registry.address), &operator).wait_listening();
    node.wait_ready();
    let silent = Client::to(&node);
    let mut refused = Client::to(&node);
    assert_eq!(refused.ask(&request("look", "refused", 9000)).status(), 503);
    // The log is read on a thread of its own.
    until("it says why", || node.logged(" NoServer"));
    let address = refused.address();
    refused.leave();
    for (client, reason) in [(address, "Over"), (silent.address(), "Silent")] {
        until(reason, || node.logged(&format!("close {client} {reason}")));
    }
}
