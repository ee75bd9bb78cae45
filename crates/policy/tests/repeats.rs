//! Repeats by clients: under heavy overload, more than half of all incoming requests are repeats of refused
//! ones.

mod common;
use common::*;
use glenwood_policy::*;

/// A node with one server, whose settings give the time that clients wait.
fn node(tenants: Vec<Tenant>) -> Node {
    let mut settings = Settings { tenants, ..settings() };
    settings.classes.iter_mut().for_each(|c| c.client_timeout = CLIENT_TIMEOUT_MS);
    Node::fleet(settings, 1)
}

fn submit(node: &mut Node, id: u64, tenant: Option<usize>, repeat_key: u64) -> Vec<Action> {
    let (id, deadline) = (RequestId(1_000_000 + id), node.now + CLIENT_TIMEOUT_MS);
    node.event(Event::Request {
        id,
        class: SAFE,
        tenant,
        deadline,
        repeat_key: Some(repeat_key),
        work: None,
        in_share: None,
        prior_attempts: None,
    })
}

fn timeout(actions: &[Action]) -> Option<f64> {
    actions.iter().find_map(|a| if let Action::Send { timeout, .. } = a { *timeout } else { None })
}

/// Fills the only server with requests of different repeat keys; returns the open ones.
fn fill_server(node: &mut Node) -> Vec<RequestId> {
    let submitted = std::iter::repeat_with(|| node.submit(SAFE));
    submitted.take_while(|(_, actions)| sent_to(actions).is_some()).map(|(id, _)| id).collect()
}

/// Fills the server and has one more request refused; returns the open ones.
fn fill_and_refuse(node: &mut Node, repeat_key: u64) -> Vec<RequestId> {
    let open = fill_server(node);
    assert!(sent_to(&submit(node, repeat_key, None, repeat_key)).is_none(), "the server is full");
    let actions = node.wait(30.0);
    assert!(refused(&actions, RequestId(1_000_000 + repeat_key)), "{actions:?}");
    open
}

/// Guards against a repeat that is treated as a new request: it was served after the target latency of the
/// original request had passed, and the work was wasted.
#[test]
fn the_time_of_a_repeat_counts_from_the_original_request() {
    let mut node = node(Vec::new());
    let submitted = node.now;
    for id in fill_and_refuse(&mut node, 7) {
        node.end(id, Outcome::Done);
    }
    let after = node.now - submitted;
    let target_latency = settings().classes[SAFE].target_latency;
    let repeat_timeout = timeout(&submit(&mut node, 100, None, 7)).expect("it is sent");
    assert!(
        (repeat_timeout + after - (target_latency - settings().min_event_interval)).abs() < 0.01,
        "{repeat_timeout} ms, {after} ms after the original request"
    );
    let new_timeout = timeout(&submit(&mut node, 101, None, 8)).expect("it is sent");
    assert!(
        (new_timeout - (target_latency - settings().min_event_interval)).abs() < 0.01,
        "an unknown key is a new request: {new_timeout}"
    );
}

/// With less time left than its class usually takes, the repeat would most likely time out.
#[test]
fn a_repeat_that_has_too_little_time_left_is_refused_at_once() {
    let mut node = node(Vec::new());
    for _ in 0..20 {
        node.serve(SAFE, 40.0);
    }
    let open = fill_and_refuse(&mut node, 7);
    for id in open {
        node.end(id, Outcome::Done);
    }
    node.now += 40.0;
    let actions = submit(&mut node, 100, None, 7);
    assert!(refused(&actions, RequestId(1_000_100)) && sent_to(&actions).is_none(), "{actions:?}");
    assert!(sent_to(&submit(&mut node, 101, None, 8)).is_some(), "a new request is sent");
}

/// Several clients may send identical requests. A served request has no repeat, and one unserved request
/// accounts for one repeat only.
#[test]
fn a_served_or_already_repeated_request_does_not_mark_others_as_repeats() {
    let mut node = node(Vec::new());
    let full = settings().classes[SAFE].target_latency - settings().min_event_interval;
    submit(&mut node, 1, None, 7);
    node.now += 50.0;
    let (id, attempt, server) = (RequestId(1_000_001), 0, ServerId(0));
    node.event(Event::Ended { id, attempt, server, outcome: Outcome::Done, duration: 50.0, finished: true });
    assert_eq!(timeout(&submit(&mut node, 2, None, 7)), Some(full));
    node.event(Event::ClientGone(RequestId(1_000_002)));
    node.now += 10.0;
    assert_eq!(
        timeout(&submit(&mut node, 3, None, 7)),
        Some(full - 10.0),
        "the client left and repeated the request"
    );
    assert_eq!(timeout(&submit(&mut node, 4, None, 7)), Some(full), "no other client had left");
}

/// A tenant's share counts requests, not repeats: otherwise refusals would use it up.
#[test]
fn repeats_do_not_use_up_the_share_of_their_tenant() {
    let second_request_fits = |repeat_key: [u64; 2]| {
        // A quota of 4/s over two nodes: two requests of each tenant at this node.
        let mut node = node(vec![Tenant { quota_per_s: 4.0 }, Tenant { quota_per_s: 4.0 }]);
        let open = fill_and_refuse(&mut node, 1);
        for (n, repeat_key) in repeat_key.into_iter().enumerate() {
            submit(&mut node, 10 + n as u64, Some(0), repeat_key);
            let gone = RequestId(1_000_010 + n as u64);
            node.event(Event::ClientGone(gone));
        }
        // The last two requests of the other tenant exceed its share; its first two precede all that exceed
        // one.
        for n in 0..4 {
            submit(&mut node, 20 + n, Some(1), 100 + n);
        }
        let mine = RequestId(1_000_030);
        submit(&mut node, 30, Some(0), 50);
        node.now += 1.0;
        sends(&node.end(open[0], Outcome::Done)).contains(&mine)
    };
    assert!(second_request_fits([5, 5]), "a request and its repeat leave room for another");
    assert!(!second_request_fits([5, 6]), "two requests use the share up");
}

/// With `by_work`, the worth of a class is per unit of work, so a class is not ranked lower for long answer
/// times.
#[test]
fn worth_by_work_ignores_the_answer_time_of_a_class() {
    let first = |by_work| {
        let mut settings = Settings { by_work, ..settings() };
        settings.goal.worst_class = 0.0;
        settings.classes[KEYED].target_latency = 400.0;
        settings.classes[KEYED].worth = 2.0;
        let mut node = Node::fleet(settings, 1);
        for _ in 0..20 {
            node.serve(SAFE, 10.0);
            node.serve(KEYED, 60.0);
        }
        let open = fill_server(&mut node);
        let (keyed, _) = node.submit(KEYED);
        node.submit(SAFE);
        node.now += 2.0;
        sends(&node.end(open[0], Outcome::Done)).first() == Some(&keyed)
    };
    assert!(first(true), "twice the worth for each unit of work");
    assert!(!first(false), "six times the answer time for twice the worth");
}

/// The recovery of a class whose answers came too late is only noticed if new requests are still sent.
#[test]
fn a_class_that_became_slow_is_sent_again() {
    let mut node = node(Vec::new());
    let slow = 2.0 * settings().classes[SAFE].target_latency;
    for _ in 0..20 {
        assert!(node.serve(SAFE, slow).is_some(), "sent although answers take long");
        // Long enough for the server to be used again, however low its limit.
        node.now += 1000.0;
    }
    assert!(sent_to(&submit(&mut node, 1, None, 7)).is_some(), "the server is idle");
}

/// Work estimates come from clients. A huge one must not count for more than can be served, or it would
/// dominate the totals forever; a missing one counts as the usual amount rather than as almost nothing.
#[test]
fn huge_or_missing_work_estimates_do_not_change_priorities() {
    let keyed_goes_first = |works: &[Option<f64>]| {
        let mut settings = Settings { by_work: true, ..settings() };
        settings.classes.iter_mut().for_each(|c| c.client_timeout = CLIENT_TIMEOUT_MS);
        settings.goal = Goal { worth: 0.0, worst_class: 1.0, worst_tenant: 0.0 };
        let mut node = Node::fleet(settings, 1);
        let submit = |node: &mut Node, id: u64, class, work| {
            let (id, deadline) = (RequestId(2_000_000 + id), node.now + CLIENT_TIMEOUT_MS);
            (
                id,
                node.event(Event::Request {
                    id,
                    class,
                    tenant: None,
                    deadline,
                    repeat_key: None,
                    work,
                    in_share: None,
                    prior_attempts: None,
                }),
            )
        };
        for (n, work) in (0..).zip(works) {
            let (id, _) = submit(&mut node, n, SAFE, *work);
            node.now += 10.0;
            let (attempt, server, outcome) = (0, ServerId(0), Outcome::Done);
            node.event(Event::Ended { id, attempt, server, outcome, duration: 10.0, finished: true });
        }
        // No keyed request has been served yet, so theirs is the worst class.
        let (lost, _) = submit(&mut node, 900, KEYED, Some(10.0));
        node.event(Event::ClientGone(lost));
        let open = fill_server(&mut node);
        let (keyed, _) = submit(&mut node, 901, KEYED, Some(10.0));
        submit(&mut node, 902, SAFE, Some(10.0));
        node.now += 1.0;
        sends(&node.end(open[0], Outcome::Done)).first() == Some(&keyed)
    };
    assert!(keyed_goes_first(&[Some(10.0); 10]));
    for estimate in [Some(1e308), Some(f64::MAX), Some(f64::INFINITY), Some(-1.0), Some(f64::NAN), None] {
        assert!(keyed_goes_first(&[Some(10.0), estimate, estimate, Some(10.0)]), "{estimate:?}");
    }
}
