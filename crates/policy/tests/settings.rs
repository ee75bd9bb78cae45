//! Settings that change while requests are open.

mod common;
use common::*;
use glenwood_policy::*;

/// Applies new settings; `replaced` has the indexes of the classes that take the place of another.
fn apply(node: &mut Node, settings: Settings, replaced: &[usize]) -> Vec<Action> {
    let classes = (0..settings.classes.len()).map(|n| replaced.contains(&n)).collect();
    let tenants = vec![false; settings.tenants.len()];
    node.event(Event::Settings { settings: Box::new(settings), classes, tenants })
}

#[test]
fn an_open_request_is_resent_under_the_effect_at_its_arrival() {
    let mut strict = settings();
    strict.classes[SAFE].effect = Effect::Unsafe;
    let mut lenient = settings();
    lenient.classes[UNSAFE].effect = Effect::Safe;
    let mut node = Node::fleet(settings(), 3);
    let (unsafe_request, _) = node.submit(UNSAFE);
    apply(&mut node, lenient, &[]);
    let actions = node.end(unsafe_request, Outcome::Error);
    assert!(
        failed(&actions, unsafe_request) && sent_to(&actions).is_none(),
        "the effect at its arrival applies: {actions:?}"
    );
    let mut node = Node::fleet(settings(), 3);
    let (safe_request, _) = node.submit(SAFE);
    apply(&mut node, strict, &[]);
    // Requests that arrive now are under the new effect.
    let (later_request, _) = node.submit(SAFE);
    let actions = node.end(later_request, Outcome::Error);
    assert!(failed(&actions, later_request) && sent_to(&actions).is_none(), "{actions:?}");
    assert!(
        sent_to(&node.end(safe_request, Outcome::Error)).is_some(),
        "a request that arrived as safe stays safe"
    );
}

#[test]
fn a_lower_attempt_limit_applies_to_open_requests() {
    let mut fewer = settings();
    fewer.limits.attempts = 1;
    let mut node = Node::fleet(settings(), 3);
    let (id, _) = node.submit(SAFE);
    apply(&mut node, fewer, &[]);
    let actions = node.end(id, Outcome::Full);
    assert!(sent_to(&actions).is_none() && refused(&actions, id), "{actions:?}");
}

#[test]
fn the_rotation_keeps_its_position() {
    let turns = |reload: bool| {
        // Unequal weights, so that a restarted rotation would have another order.
        let mut node = Node::new(settings(), (0..5).map(|id| entry(id, 1.0 + id as f64)).collect());
        (0..40)
            .map(|n| {
                if reload && n % 3 == 0 {
                    apply(&mut node, settings(), &[]);
                }
                node.serve(SAFE, 1.0)
            })
            .collect::<Vec<_>>()
    };
    assert_eq!(turns(true), turns(false));
}

#[test]
fn a_replaced_class_starts_afresh_and_open_requests_complete() {
    let mut node = Node::fleet(settings(), 3);
    for _ in 0..50 {
        node.serve(SAFE, 40.0);
    }
    let (open, _) = node.submit(KEYED);
    let mut more = settings();
    more.classes.push(Class { target_latency: 50.0, ..more.classes[SAFE].clone() });
    apply(&mut node, more.clone(), &[SAFE, 3]);
    assert!(node.serve(3, 5.0).is_some() && node.serve(SAFE, 5.0).is_some());
    assert!(sent_to(&node.end(open, Outcome::Full)).is_some(), "the open request continues");
    assert!(!node.end(open, Outcome::Done).iter().any(|a| matches!(a, Action::Fail(_))));
    for _ in 0..10_000 {
        apply(&mut node, more.clone(), &[3]);
    }
    assert!(node.serve(3, 5.0).is_some());
}

#[test]
fn a_body_that_can_be_sent_once_is_sent_once() {
    for outcome in [Outcome::Full, Outcome::Error] {
        let mut node = Node::fleet(settings(), 3);
        let (id, _) = node.submit(SAFE);
        node.event(Event::BodySent(id));
        let actions = node.end(id, outcome);
        assert!(sent_to(&actions).is_none() && refused(&actions, id), "{outcome:?}: {actions:?}");
    }
}
