//! The real program on the days of service: reloads, bad clients, bad servers, tight limits.

mod peers;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use peers::*;
use serde_json::json;

/// SIGHUP moves discovery to where the file says, though the environment of the start names another address;
/// a bad file changes nothing, the old list serves until the new one has come, and lines of the old address
/// do not count any more. Also several times in quick succession, and while the node stops.
#[test]
fn sighup_moves_discovery_and_a_bad_file_changes_nothing() {
    let (a, b) = (Peer::good("a"), Peer::good("b"));
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
    until("the bad file is logged", || node.logged("the old configuration stays"));
    assert_eq!(ask(&node).body, b"a");
    // The new address is down at first: the old list serves.
    new.down(true);
    node.reload(&moved(new.address));
    until("the new address is asked", || !new.calls().is_empty());
    assert_eq!(ask(&node).body, b"a");
    new.down(false);
    until("the new list counts", || ask(&node).body == b"b");
    assert!(new.calls().iter().any(|c| c == "/v1/endpoints"), "the whole list is asked for");
    old.tell(9, &at_a, &at_a);
    let after = old.calls().len();
    for _ in 0..20 {
        assert_eq!(ask(&node).body, b"b");
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(old.calls().len(), after, "the old address is not asked again");
    for to in [&old, &new, &old, &new, &old] {
        node.reload(&moved(to.address));
    }
    until("the last file counts", || ask(&node).body == b"a");
    node.terminate();
    node.reload(&moved(new.address));
    assert_eq!(node.exit_code(), Some(0));
}

/// A connection that was busy while its server moved does not come back into use: it leads to the old place.
#[test]
fn a_connection_that_was_busy_while_its_server_moved_is_not_kept() {
    let a = Peer::new(|_| Say::Later(Duration::from_millis(700), answer(200, "", "old")));
    let b = Peer::good("new");
    let registry = Registry::new(&[host("s0", a.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    let mut slow = Client::to(&node);
    slow.send(&request("slip", "t1", 15_000));
    until("the slow one is out", || a.seen().len() == 1);
    let moved = [host("s0", b.address, "active", 1)];
    registry.tell(2, &moved, &moved);
    until("the move is known", || Client::to(&node).ask(&request("look", "t2", 15_000)).body == b"new");
    assert_eq!(slow.hear().expect("an answer").body, b"old");
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
            Say::Last(Vec::new())
        } else {
            Say::This(answer(200, "", "flaky"))
        }
    });
    let good = Peer::good("good");
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
