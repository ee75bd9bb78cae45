//! Requests adopted from another node: the other node's known attempts count in all decisions.

mod common;

use common::*;
use glenwood_policy::*;

/// Adopts a request of a class with earlier attempts, each given by server, age in ms and outcome.
fn adopt(node: &mut Node, n: u64, class: usize, earlier: &[(u64, f64, Outcome)]) -> Vec<Action> {
    let before = |(server, ago, outcome): &(u64, f64, Outcome)| PriorAttempt {
        server: ServerId(*server),
        zone: server % 2,
        cell: server % 2,
        sent: node.now - ago,
        outcome: *outcome,
    };
    let earlier = Some(earlier.iter().map(before).collect());
    let deadline = node.now + CLIENT_TIMEOUT_MS;
    let (tenant, repeat_key, work, within) = (None, None, None, None);
    let id = RequestId(1000 + n);
    node.event(Event::Request {
        id,
        class,
        tenant,
        deadline,
        repeat_key,
        work,
        in_share: within,
        prior_attempts: earlier,
    })
}

fn sent(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| if let Action::Send { server, .. } = a { Some(*server) } else { None })
}

fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(_)))
}

fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

#[test]
fn a_request_that_was_never_sent_is_sent() {
    for class in [KEYED, UNSAFE] {
        let mut node = Node::fleet(settings(), 4);
        assert!(sent(&adopt(&mut node, 0, class, &[])).is_some());
        let proven = adopt(&mut node, 1, class, &[(0, 50.0, Outcome::NotSent)]);
        assert!(sent(&proven).is_some(), "the earlier attempt is proven never to have been sent");
    }
}

#[test]
fn an_unsafe_request_that_may_have_run_fails_at_once_and_is_not_sent() {
    let mut node = Node::fleet(settings(), 4);
    let actions = adopt(&mut node, 0, UNSAFE, &[(0, 50.0, Outcome::Unheard)]);
    assert!(failed(&actions) && sent(&actions).is_none(), "{actions:?}");
    // The same if a later attempt is proven never to have run.
    let actions = adopt(&mut node, 1, UNSAFE, &[(0, 50.0, Outcome::Unheard), (1, 20.0, Outcome::NotSent)]);
    assert!(failed(&actions) && sent(&actions).is_none(), "{actions:?}");
}

#[test]
fn a_keyed_request_is_resent_to_the_cell_that_may_remember_its_key() {
    let mut node = Node::fleet(settings(), 6);
    for n in 0..4 {
        let actions = adopt(&mut node, n, KEYED, &[(1, 50.0, Outcome::Unheard)]);
        assert_eq!(sent(&actions).expect("sent").0 % 2, 1, "the cell of the first attempt");
    }
    let actions = adopt(&mut node, 9, KEYED, &[(1, KEY_MEMORY_MS + 1.0, Outcome::Unheard)]);
    assert!(
        failed(&actions) && sent(&actions).is_none(),
        "the server no longer remembers the key: {actions:?}"
    );
}

#[test]
fn attempts_of_all_nodes_count_towards_the_limit() {
    let mut node = Node::fleet(settings(), 6);
    let before = |n: usize| vec![(1, 50.0, Outcome::Unheard); n];
    assert!(sent(&adopt(&mut node, 0, KEYED, &before(3))).is_some());
    let actions = adopt(&mut node, 1, KEYED, &before(4));
    assert!(failed(&actions) && sent(&actions).is_none(), "four are allowed: {actions:?}");
}

#[test]
fn adopted_requests_stay_within_the_retry_budget() {
    let mut node = Node::fleet(settings(), 40);
    let (mut sent_count, mut refused_count) = (0, 0);
    for n in 0..100 {
        let actions = adopt(&mut node, n, UNSAFE, &[]);
        sent_count += usize::from(sent(&actions).is_some());
        refused_count += usize::from(refused(&actions));
    }
    // The initial budget of ten, plus one per ten requests.
    assert!((10..=21).contains(&sent_count), "{sent_count}");
    assert_eq!(sent_count + refused_count, 100, "the others are refused at once");
    let (_, new) = node.submit(UNSAFE);
    assert!(sent(&new).is_some(), "a new request is sent");
}
