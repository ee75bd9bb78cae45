//! Second copies of requests: sent only while answers get lost.

mod common;
use common::*;
use glenwood_policy::*;

/// A node that has learned the usual answer times and then has seen `lost` answers get lost.
fn node(set: Settings, lost: usize) -> Node {
    node_with_servers(set, lost, 4)
}

fn node_with_servers(set: Settings, lost: usize, servers: u64) -> Node {
    let mut node = Node::fleet(set, servers);
    for n in 0..60 {
        node.serve([SAFE, KEYED, UNSAFE][n % 3], 10.0);
    }
    for _ in 0..lost {
        let (id, _) = node.submit(UNSAFE);
        node.now += 20.0;
        node.end(id, Outcome::Unheard);
    }
    node
}

fn cancelled(actions: &[Action], request: RequestId) -> Option<usize> {
    actions.iter().find_map(|a| match a {
        Action::Cancel { id, attempt } if *id == request => Some(*attempt),
        _ => None,
    })
}

#[test]
fn a_second_copy_is_sent_in_time_and_the_first_answer_counts() {
    let mut node = node(settings(), 1);
    let (id, actions) = node.submit(SAFE);
    let first = sent_to(&actions).expect("it is sent");
    assert_eq!(sent_to(&node.wait(15.0)), None, "the answer is not late yet");
    let second = sent_to(&node.wait(20.0)).expect("a second copy");
    assert_ne!(first, second);
    assert!(sent_to(&node.wait(30.0)).is_none(), "no third copy");
    assert_eq!(cancelled(&node.end(id, Outcome::Done), id), Some(0));
}

#[test]
fn no_copies_are_sent_while_no_answers_get_lost() {
    let mut no_loss = node(settings(), 0);
    let (id, _) = no_loss.submit(SAFE);
    assert_eq!(sent_to(&no_loss.wait(80.0)), None);
    // Nor long after the losses have ended.
    no_loss.end(id, Outcome::Done);
    let mut recovered = node(settings(), 3);
    for _ in 0..350 {
        recovered.serve(SAFE, 10.0);
    }
    recovered.submit(SAFE);
    assert_eq!(sent_to(&recovered.wait(80.0)), None);
}

#[test]
fn the_number_of_copies_is_limited_by_the_number_of_lost_answers() {
    let mut node = node_with_servers(settings(), 2, 12);
    let submitted: Vec<_> = (0..8).map(|_| node.submit(SAFE)).collect();
    let open: Vec<_> =
        submitted.iter().filter(|(_, actions)| sent_to(actions).is_some()).map(|a| a.0).collect();
    assert!(open.len() > 4, "{open:?}");
    let copies = sends(&node.wait(60.0)).iter().filter(|id| open.contains(id)).count();
    assert_eq!(copies, 4, "two copies per lost answer");
}

#[test]
fn copies_that_are_answered_first_do_not_allow_more_copies() {
    // Slow servers and no further lost answers: each copy is answered first.
    let mut node = node_with_servers(settings(), 1, 12);
    let mut copies = 0;
    for _ in 0..40 {
        let submitted: Vec<_> = (0..4).map(|_| node.submit(SAFE).0).collect();
        let sent = sends(&node.wait(35.0));
        copies = copies.max(sent.iter().filter(|id| submitted.contains(id)).count());
        for id in submitted {
            node.end(id, Outcome::Done);
        }
    }
    assert_eq!(copies, 2, "two copies for the one lost answer");
}

#[test]
fn queued_requests_are_sent_before_copies() {
    let mut node = node(settings(), 3);
    let submitted: Vec<_> = (0..20).map(|_| node.submit(SAFE)).collect();
    let open: Vec<_> =
        submitted.iter().filter(|(_, actions)| sent_to(actions).is_some()).map(|a| a.0).collect();
    assert!(open.len() < submitted.len(), "some requests are queued");
    node.now += 22.0;
    let actions = node.end(open[0], Outcome::Done);
    assert!(
        !sends(&actions).is_empty() && sends(&actions).iter().all(|id| !open.contains(id)),
        "{actions:?}"
    );
}

#[test]
fn a_request_with_more_work_waits_longer_for_its_copy() {
    let mut node = node(Settings { by_work: true, ..settings() }, 0);
    let submit = |node: &mut Node, id: u64, work: f64| {
        let (id, deadline, work) = (RequestId(10_000 + id), node.now + CLIENT_TIMEOUT_MS, Some(work));
        let (class, tenant, repeat_key, within) = (SAFE, None, None, None);
        (
            id,
            node.event(Event::Request {
                id,
                class,
                tenant,
                deadline,
                repeat_key,
                work,
                in_share: within,
                prior_attempts: None,
            }),
        )
    };
    for n in 0..40 {
        let (id, actions) = submit(&mut node, n, 10.0);
        let server = sent_to(&actions).expect("it is sent");
        node.now += 10.0;
        let (attempt, outcome, finished) = (0, Outcome::Done, true);
        node.event(Event::Ended { id, attempt, server, outcome, duration: 10.0, finished });
    }
    let (lost, _) = node.submit(UNSAFE);
    node.end(lost, Outcome::Unheard);
    let ((light, _), (heavy, _)) = (submit(&mut node, 100, 10.0), submit(&mut node, 101, 40.0));
    let sent = sends(&node.wait(50.0));
    assert!(sent.contains(&light) && !sent.contains(&heavy), "{sent:?}");
}

#[test]
fn copies_respect_the_class_and_the_settings() {
    let mut unsafe_one = node(settings(), 2);
    let (id, _) = unsafe_one.submit(UNSAFE);
    let actions = unsafe_one.wait(200.0);
    assert_eq!(sent_to(&actions), None);
    assert!(!refused(&actions, id));
    let mut keyed = node(settings(), 2);
    let first = sent_to(&keyed.submit(KEYED).1).expect("it is sent");
    let second = sent_to(&keyed.wait(100.0)).expect("a second copy");
    assert!(
        first != second && first.0 % 2 == second.0 % 2,
        "another server of its cell: {first:?} {second:?}"
    );
    let mut set = settings();
    set.limits.second_copies = false;
    let mut forbidden = node(set, 3);
    forbidden.submit(SAFE);
    assert_eq!(sent_to(&forbidden.wait(80.0)), None);
    // A request body that can only be sent once.
    let mut send_once = node(settings(), 2);
    let (id, _) = send_once.submit(SAFE);
    send_once.event(Event::BodySent(id));
    assert_eq!(sent_to(&send_once.wait(80.0)), None);
}

#[test]
fn a_hanging_server_is_ejected_although_copies_are_answered_first() {
    let mut node = node(settings(), 1);
    let mut hung = 0;
    while node.balancer.ejected_count() == 0 {
        let (id, actions) = node.submit(SAFE);
        if sent_to(&actions) == Some(ServerId(0)) {
            hung += 1;
            assert!(hung <= 3, "it is still sent requests");
            assert!(sent_to(&node.wait(40.0)).is_some(), "a second copy");
            node.end(id, Outcome::Done);
        } else {
            node.now += 10.0;
            node.end(id, Outcome::Done);
        }
    }
    assert_eq!(hung, 3);
}

/// How many attempts can be open at once after some attempts at a fully loaded node timed out.
fn open_attempts_after_timeouts(lost: usize, second_copies: bool) -> usize {
    let mut set = settings();
    set.limits.second_copies = second_copies;
    let mut node = node(set, lost);
    for _ in 0..6 {
        let mut ids = Vec::new();
        // Submit requests until all servers are at their limits.
        while let (id, Some(_)) = {
            let (id, actions) = node.submit(UNSAFE);
            (id, sent_to(&actions))
        } {
            ids.push(id);
        }
        let (timed_out, answered): (Vec<_>, Vec<_>) =
            ids.into_iter().enumerate().partition(|(n, _)| n % 5 == 0);
        for (after, ids, outcome) in [(20.0, answered, Outcome::Done), (78.0, timed_out, Outcome::TimedOut)] {
            node.now += after;
            ids.iter().for_each(|(_, id)| drop(node.end(*id, outcome)));
        }
        node.wait(60.0);
    }
    (0..200).take_while(|_| sent_to(&node.submit(UNSAFE).1).is_some()).count()
}

#[test]
fn a_timeout_does_not_lower_the_limit_of_a_server_while_answers_get_lost() {
    let (lost, no_loss) = (open_attempts_after_timeouts(20, true), open_attempts_after_timeouts(0, true));
    assert!(lost as f64 > 1.3 * no_loss as f64, "{lost} with lost answers, {no_loss} without");
    // Without second copies, the count of lost answers would never be used up, so it must not apply.
    assert_eq!(open_attempts_after_timeouts(20, false), no_loss);
}
