//! New settings under requests that are open.

mod common;
use common::*;
use glenwood_policy::*;

/// Gives the node new settings in which all stay but those that are marked.
fn take(node: &mut Node, settings: Settings, anew: &[usize]) -> Vec<Action> {
    let classes = (0..settings.classes.len()).map(|n| anew.contains(&n)).collect();
    let tenants = vec![false; settings.tenants.len()];
    node.event(Event::Settings { settings: Box::new(settings), classes, tenants })
}

#[test]
fn an_open_request_is_repeated_by_the_effect_that_it_came_with() {
    let mut strict = settings();
    strict.classes[SAFE].effect = Effect::Unsafe;
    let mut mild = settings();
    mild.classes[UNSAFE].effect = Effect::Safe;
    let mut node = Node::fleet(settings(), 3);
    let (slip, _) = node.ask(UNSAFE);
    take(&mut node, mild, &[]);
    let actions = node.end(slip, Outcome::Error);
    assert!(
        failed(&actions, slip) && sent_to(&actions).is_none(),
        "never beyond what it came with: {actions:?}"
    );
    let mut node = Node::fleet(settings(), 3);
    let (look, _) = node.ask(SAFE);
    take(&mut node, strict, &[]);
    // What comes now is under the new one.
    let (new, _) = node.ask(SAFE);
    let actions = node.end(new, Outcome::Error);
    assert!(failed(&actions, new) && sent_to(&actions).is_none(), "{actions:?}");
    assert!(sent_to(&node.end(look, Outcome::Error)).is_some(), "what came as safe stays so");
}

#[test]
fn fewer_attempts_bind_the_next_decision() {
    let mut fewer = settings();
    fewer.limits.attempts = 1;
    let mut node = Node::fleet(settings(), 3);
    let (id, _) = node.ask(SAFE);
    take(&mut node, fewer, &[]);
    let actions = node.end(id, Outcome::Full);
    assert!(sent_to(&actions).is_none() && refused(&actions, id), "{actions:?}");
}

#[test]
fn the_rotation_goes_on_where_it_was() {
    let turns = |reload: bool| {
        // Of unequal sizes, so that turns that begin anew come in another order.
        let mut node = Node::new(settings(), (0..5).map(|id| entry(id, 1.0 + id as f64)).collect());
        (0..40)
            .map(|n| {
                if reload && n % 3 == 0 {
                    take(&mut node, settings(), &[]);
                }
                node.serve(SAFE, 1.0)
            })
            .collect::<Vec<_>>()
    };
    assert_eq!(turns(true), turns(false));
}

#[test]
fn one_that_takes_the_place_of_another_begins_anew_and_open_ones_end() {
    let mut node = Node::fleet(settings(), 3);
    for _ in 0..50 {
        node.serve(SAFE, 40.0);
    }
    let (open, _) = node.ask(KEYED);
    let mut more = settings();
    more.classes.push(Class { aim: 50.0, ..more.classes[SAFE].clone() });
    take(&mut node, more.clone(), &[SAFE, 3]);
    assert!(node.serve(3, 5.0).is_some() && node.serve(SAFE, 5.0).is_some());
    assert!(sent_to(&node.end(open, Outcome::Full)).is_some(), "an open one goes on");
    assert!(!node.end(open, Outcome::Done).iter().any(|a| matches!(a, Action::Fail(_))));
    for _ in 0..10_000 {
        take(&mut node, more.clone(), &[3]);
    }
    assert!(node.serve(3, 5.0).is_some());
}

#[test]
fn what_can_be_sent_once_is_sent_once() {
    for outcome in [Outcome::Full, Outcome::Error] {
        let mut node = Node::fleet(settings(), 3);
        let (id, _) = node.ask(SAFE);
        node.event(Event::Spent(id));
        let actions = node.end(id, outcome);
        assert!(sent_to(&actions).is_none() && refused(&actions, id), "{outcome:?}: {actions:?}");
    }
}
