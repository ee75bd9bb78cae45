//! Tests of the four rules one by one, and regression tests for faults seen in incidents and simulations.

mod common;
use common::*;
use glenwood_policy::*;

#[test]
fn an_unsafe_request_that_may_have_run_is_neither_resent_nor_refused() {
    for outcome in [Outcome::TimedOut, Outcome::Error, Outcome::Reset] {
        let mut node = Node::fleet(settings(), 3);
        let (id, _) = node.submit(UNSAFE);
        let actions = node.end(id, outcome);
        assert!(failed(&actions, id) && sent_to(&actions).is_none(), "{outcome:?}: {actions:?}");
    }
}

#[test]
fn an_unsafe_request_that_never_ran_is_resent() {
    for outcome in [Outcome::Full, Outcome::ConnectFailed] {
        let mut node = Node::fleet(settings(), 3);
        let (id, _) = node.submit(UNSAFE);
        assert_eq!(sent_to(&node.end(id, outcome)), Some(ServerId(1)));
    }
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_cell() {
    let mut node = Node::fleet(settings(), 4);
    let (id, actions) = node.submit(KEYED);
    assert_eq!(sent_to(&actions), Some(ServerId(0)));
    node.now += 10.0;
    assert_eq!(
        sent_to(&node.end(id, Outcome::Error)),
        Some(ServerId(2)),
        "servers 1 and 3 are in the other cell"
    );
}

#[test]
fn a_keyed_request_is_not_resent_once_its_key_is_forgotten() {
    let mut slow = settings();
    slow.classes[KEYED].target_latency = 2000.0;
    slow.classes[KEYED].effect = Effect::Keyed { group: Group::All, memory: 5.0 };
    let mut node = Node::fleet(slow, 4);
    let (id, _) = node.submit(KEYED);
    node.now += 6.0;
    let actions = node.end(id, Outcome::Error);
    assert!(sent_to(&actions).is_none() && refused(&actions, id), "group `all` may be refused: {actions:?}");
}

#[test]
fn a_draining_server_gets_nothing_new() {
    let mut node = Node::fleet(settings(), 2);
    node.event(Event::ListChange(vec![Entry { state: Listed::Draining, ..entry(0, 1.0) }]));
    for _ in 0..5 {
        assert_eq!(node.serve(SAFE, 1.0), Some(ServerId(1)));
    }
    node.event(Event::List { entries: vec![entry(0, 1.0)], saved: false });
    assert_eq!(node.serve(SAFE, 1.0), Some(ServerId(0)), "a full list removes servers that it omits");
}

/// The reason that is given for a request right before its final answer.
fn explained_reason(actions: &[Action], id: RequestId) -> Option<Reason> {
    let answer = |a: &Action| matches!(a, Action::Fail(x) | Action::Refuse { id: x, .. } if *x == id);
    let answer_index = actions.iter().position(answer)?;
    match actions.get(answer_index.checked_sub(1)?)? {
        Action::Explain { id: of, reason } if *of == id => Some(*reason),
        _ => None,
    }
}

#[test]
fn each_unserved_request_gets_a_reason() {
    let mut node = Node::fleet(settings(), 3);
    let (id, _) = node.submit(UNSAFE);
    assert_eq!(explained_reason(&node.end(id, Outcome::Error), id), Some(Reason::MayHaveRun));
    let mut node = Node::fleet(settings(), 0);
    let (id, mut actions) = node.submit(SAFE);
    while explained_reason(&actions, id).is_none() {
        node.now += 10.0;
        assert!(node.now < 60_000.0, "the request is not answered");
        actions = node.event(Event::Timer);
    }
    assert_eq!(explained_reason(&actions, id), Some(Reason::NoServer));
    let mut node = Node::fleet(settings(), 1);
    let (id, actions) = node.submit(99);
    assert_eq!(explained_reason(&actions, id), Some(Reason::NoSuchClass));
}

#[test]
fn a_request_without_servers_is_refused_in_time() {
    let mut node = Node::fleet(settings(), 0);
    let (id, actions) = node.submit(UNSAFE);
    assert!(!refused(&actions, id), "it is queued first");
    assert!(refused(&node.wait(60.0), id));
}

/// Guards against a request that is queued after a failed attempt and gets no answer before its deadline
/// (incidents ia125e6 and i0ddaf6).
#[test]
fn a_request_queued_after_a_failed_attempt_is_answered_in_time() {
    let mut node = Node::fleet(settings(), 1);
    let (id, _) = node.submit(UNSAFE);
    let mut actions = node.end(id, Outcome::ConnectFailed);
    actions.extend(node.wait(480.0));
    assert!(refused(&actions, id), "{actions:?}");
}

#[test]
fn a_cold_server_gets_its_share_without_bursts() {
    let mut node = Node::fleet(settings(), 4);
    for _ in 0..400 {
        node.serve(SAFE, 5.0);
    }
    let cold = Entry { started_at: Some(node.now), ..entry(3, 1.0) };
    node.event(Event::ListChange(vec![cold]));
    let mut sent = [0; 4];
    for _ in 0..200 {
        sent[node.serve(SAFE, 5.0).expect("sent").0 as usize] += 1;
    }
    assert!(sent[3] >= 5 && sent[3] * 4 < sent[0], "{sent:?}");
}

#[test]
fn a_single_cold_server_is_not_overloaded() {
    let mut node = Node::fleet(settings(), 2);
    for _ in 0..400 {
        node.serve(SAFE, 5.0);
    }
    let cold = Entry { started_at: Some(node.now), ..entry(1, 1.0) };
    node.event(Event::ListChange(vec![Entry { state: Listed::Gone, ..entry(0, 1.0) }, cold]));
    let sent = (0..200).filter(|_| node.serve(SAFE, 5.0).is_some()).count();
    assert!(sent <= 50, "the budget for one second is 3 times 15 % of about 100, not {sent}");
}

/// Guards against an overloaded cold server in large deployments: with a minimum of one send per window and
/// node, about a hundred nodes that are notified of a cold server at once overload it, although each keeps to
/// its own budget.
#[test]
fn many_nodes_together_do_not_overload_a_cold_server() {
    const NODES: usize = 200;
    let mut sent = [0usize; 8];
    let set = settings();
    for number in 0..NODES {
        let own = Settings { node_index: number, nodes: NODES, ..set.clone() };
        let mut node = Node::new_seeded(own, (0..8).map(|id| entry(id, 1.0)).collect(), number as u64);
        for _ in 0..40 {
            node.serve(SAFE, 5.0);
            node.wait(245.0);
        }
        let cold = Entry { started_at: Some(node.now), ..entry(3, 1.0) };
        node.event(Event::ListChange(vec![cold]));
        for _ in 0..4 {
            sent[node.serve(SAFE, 5.0).expect("sent").0 as usize] += 1;
            node.wait(245.0);
        }
    }
    let budget = set.rules.overload_factor * set.rules.cold_capacity_share * sent[7] as f64;
    assert!(sent[3] > 0 && (sent[3] as f64) < 0.7 * budget, "{sent:?}, budget {budget}");
}

/// Guards against a lack of capacity in which each server that was ejected for timeouts returned with a cold
/// budget.
#[test]
fn a_returning_server_is_cold_if_it_was_down_but_not_if_it_was_slow() {
    for (outcome, duration, cold) in [
        (Outcome::TimedOut, 100.0, false),
        (Outcome::ConnectFailed, 50.0, false),
        (Outcome::ConnectFailed, 0.3, true),
        // Servers close connections on malformed input, so one reset connection does not indicate a crash.
        (Outcome::Reset, 20.0, false),
    ] {
        let mut node = Node::fleet(settings(), 4);
        for _ in 0..40 {
            node.serve(SAFE, 5.0);
        }
        let mut probed = false;
        for _ in 0..60 {
            let (id, actions) = node.submit(SAFE);
            node.now += 5.0;
            if sent_to(&actions) == Some(ServerId(2)) && !probed {
                node.now += duration;
                // Two probes with the same outcome confirm the failure at once.
                let mut actions = node.end(id, outcome);
                for _ in 0..2 {
                    if actions.contains(&Action::Probe(ServerId(2))) {
                        actions = node.event(Event::Probed { server: ServerId(2), outcome, duration });
                    }
                }
                node.end(id, Outcome::Done);
            } else {
                node.end(id, Outcome::Done);
            }
            probed |= node.wait(5.0).contains(&Action::Probe(ServerId(2)));
        }
        node.event(Event::Probed { server: ServerId(2), outcome: Outcome::Done, duration: 1.0 });
        for _ in 0..60 {
            node.serve(SAFE, 5.0);
        }
        let sent = (0..100).filter(|_| node.serve(SAFE, 5.0) == Some(ServerId(2))).count();
        assert_eq!(sent < 9, cold, "{outcome:?} after {duration}: {sent} of 100");
    }
}

/// Guards against a healthy server that is treated as cold for 24 s after it refused one new connection.
#[test]
fn a_refused_connection_not_confirmed_by_a_probe_costs_no_turns() {
    let mut node = Node::fleet(settings(), 4);
    for _ in 0..40 {
        node.serve(SAFE, 5.0);
    }
    let (mut id, mut actions) = node.submit(SAFE);
    while sent_to(&actions) != Some(ServerId(2)) {
        node.end(id, Outcome::Done);
        (id, actions) = node.submit(SAFE);
    }
    assert!(node.end(id, Outcome::ConnectFailed).contains(&Action::Probe(ServerId(2))), "probed at once");
    node.end(id, Outcome::Done);
    node.event(Event::Probed { server: ServerId(2), outcome: Outcome::Done, duration: 1.0 });
    let sent = (0..40).filter(|_| node.serve(SAFE, 5.0) == Some(ServerId(2))).count();
    assert!(sent >= 9, "{sent} of 40");
}

/// Guards against a cap on ejections when a zone is cut off: it may hold more than half of the fleet, and all
/// its servers refuse connections (incident i0ddaf6).
#[test]
fn refused_connections_eject_without_a_cap() {
    let mut node = Node::fleet(settings(), 4);
    for _ in 0..3 {
        let (id, actions) = node.submit(SAFE);
        let mut server = sent_to(&actions).expect("sent");
        while server.0 != 3 {
            server = sent_to(&node.end(id, Outcome::ConnectFailed)).expect("resent");
        }
        node.end(id, Outcome::Done);
    }
    for _ in 0..10 {
        assert_eq!(node.serve(SAFE, 1.0), Some(ServerId(3)));
    }
}

/// Under overload, requests beyond the limit of a node's own attempts are queued at the node, not at a slow
/// server.
#[test]
fn a_server_at_the_limit_of_own_attempts_is_skipped() {
    let mut node = Node::fleet(settings(), 2);
    let mut submit = || {
        node.now += 0.5;
        node.submit(SAFE)
    };
    let sent: Vec<_> = (0..12).map(|_| submit()).collect();
    let to = |s: u64| sent.iter().filter(|(_, a)| sent_to(a) == Some(ServerId(s))).count();
    assert_eq!((to(0), to(1)), (4, 4), "a limit of 8 per server, divided among 2 nodes");
    let queued = sent[8].0;
    node.now += 10.0;
    assert!(sent_to(&node.end(sent[0].0, Outcome::Done)).is_some(), "a queued request takes the free slot");
    assert!(refused(&node.wait(30.0), queued), "the other queued requests are refused early");
}

/// Guards against cascading overload: with one attempt allowed to each of about twenty nodes, a server that
/// slowed down was overloaded until it failed, and then the others did.
#[test]
fn a_slowing_server_shared_by_many_nodes_is_used_less() {
    let mut node = Node::fleet(Settings { nodes: 1000, ..settings() }, 60);
    let mut serve_one = |slow: Option<u64>| {
        node.wait(60.0);
        let (id, mut actions) = node.submit(SAFE);
        while sent_to(&actions).is_none() && !refused(&actions, id) {
            actions = node.wait(2.0);
        }
        let server = sent_to(&actions).expect("a slot becomes free");
        node.now += if slow == Some(server.0) { 60.0 } else { 5.0 };
        node.end(id, Outcome::Done);
        server.0
    };
    let before_slowdown: Vec<_> = (0..400).map(|_| serve_one(None)).collect();
    let slow = before_slowdown[399];
    let of = |turns: &[u64]| turns.iter().filter(|s| **s == slow).count();
    let after: Vec<_> = (0..80).map(|_| serve_one(Some(slow))).collect();
    assert!(
        of(&before_slowdown[320..]) >= 15 && of(&after) <= 14,
        "{} and then {}",
        of(&before_slowdown[320..]),
        of(&after)
    );
    assert!(of(&after) >= 3, "it is tried again: {}", of(&after));
}

/// Under lasting overload, a request that was queued for long has too little time left to be served.
#[test]
fn lasting_overload_shortens_the_queueing_time() {
    let mut node = Node::fleet(settings(), 0);
    let refused_after = |node: &mut Node| {
        let (id, _) = node.submit(SAFE);
        let start = node.now;
        while !refused(&node.wait(2.0), id) && !refused(&node.submit(SAFE).1, id) {
            assert!(node.now < start + 100.0, "never refused");
        }
        node.now - start
    };
    let burst = refused_after(&mut node);
    for _ in 0..100 {
        node.wait(2.0);
        node.submit(SAFE);
    }
    let lasting = refused_after(&mut node);
    assert!(burst >= 20.0 && lasting <= burst / 2.0 + 5.0, "{burst} and then {lasting}");
}

/// Guards against repeats of refused requests that are treated as new ones: a fifth of all requests was
/// served too late to be of use (incident i72d528).
#[test]
fn a_repeat_counts_from_the_original_request_if_its_deadline_shows_it() {
    let timeout = |class, left| {
        let mut node = Node::fleet(settings(), 3);
        node.serve(class, 10.0);
        let (_, actions) = node.submit_with_timeout(class, None, left);
        actions.iter().find_map(|a| if let Action::Send { timeout, .. } = a { *timeout } else { None })
    };
    let (new, repeat_timeout) =
        (timeout(UNSAFE, CLIENT_TIMEOUT_MS).expect("sent"), timeout(UNSAFE, CLIENT_TIMEOUT_MS - 60.0));
    assert_eq!(repeat_timeout, Some(new - 60.0));
    // Clients may give up a try of a safe request for another, so its deadline tells nothing about the first
    // try.
    assert_eq!(timeout(SAFE, CLIENT_TIMEOUT_MS - 60.0), timeout(SAFE, CLIENT_TIMEOUT_MS));

    // A repeat is queued only as long as an answer is still of use, and not at all if there is no time for
    // one.
    let mut node = Node::fleet(settings(), 1);
    while sent_to(&node.submit(UNSAFE).1).is_some() {}
    let (older, at_once) = node.submit_with_timeout(UNSAFE, None, CLIENT_TIMEOUT_MS - 85.0);
    assert!(refused(&at_once, older), "{at_once:?}");
    let (old, _) = node.submit_with_timeout(UNSAFE, None, CLIENT_TIMEOUT_MS - 68.0);
    let (fresh, _) = node.submit_with_timeout(UNSAFE, None, CLIENT_TIMEOUT_MS);
    let actions = node.wait(12.0);
    assert!(refused(&actions, old) && !refused(&actions, fresh), "{actions:?}");
}

/// Guards against first-in-first-out order under overload, which starved the classes with short aims.
#[test]
fn the_queued_request_of_highest_worth_is_sent_first() {
    let mut node = Node::fleet(settings(), 1);
    let sent: Vec<_> = (0..4).map(|_| node.submit(SAFE).0).collect();
    let (low_worth, _) = node.submit(SAFE);
    let (high_worth, _) = node.submit(UNSAFE);
    node.now += 10.0;
    let actions = node.end(sent[0], Outcome::Done);
    assert!(actions.iter().any(|a| matches!(a, Action::Send { id, .. } if *id == high_worth)), "{actions:?}");
    assert!(!actions.iter().any(|a| matches!(a, Action::Send { id, .. } if *id == low_worth)));
}

/// Guards against a class that is slow on one kind of machine and takes the slots there from a class that is
/// fast on it (scenario h0a6c65).
#[test]
fn a_free_slot_goes_to_the_queued_class_that_suits_the_kind_of_machine() {
    let mut two = settings();
    two.classes[KEYED] = Class { effect: Effect::Safe, ..two.classes[SAFE].clone() };
    let kinds: Vec<_> = (0..2).map(|id| Entry { kind: id, ..entry(id, 1.0) }).collect();
    for server in [0, 1] {
        let mut node = Node::new(two.clone(), kinds.clone());
        for class in [SAFE, SAFE, KEYED, KEYED].repeat(40) {
            let (id, actions) = node.submit(class);
            let suits = sent_to(&actions) == Some(ServerId(class as u64));
            node.now += if suits { 10.0 } else { 30.0 };
            node.end(id, Outcome::Done);
        }
        let mut at_server = None;
        loop {
            let (id, actions) = node.submit(SAFE);
            let Some(to) = sent_to(&actions) else { break };
            at_server = if to.0 == server { Some(id) } else { at_server };
        }
        node.submit(SAFE);
        let queued = [node.submit(SAFE).0, node.submit(KEYED).0, node.submit(SAFE).0];
        node.now += 1.0;
        let actions = node.end(at_server.expect("a request was sent to it"), Outcome::Done);
        let next =
            actions.iter().find_map(|a| if let Action::Send { id, .. } = a { Some(*id) } else { None });
        assert_eq!(next == Some(queued[1]), server == 1, "free slot at {server}: {actions:?}");
    }
}

#[test]
fn a_tenant_beyond_its_share_waits_behind_one_within_its_share() {
    let tenants = vec![Tenant { quota_per_s: 4.0 }, Tenant { quota_per_s: 1000.0 }];
    let mut node = Node::fleet(Settings { tenants, ..settings() }, 1);
    let sent: Vec<_> = (0..4).map(|_| node.submit_for(SAFE, Some(0)).0).collect();
    let (beyond, _) = node.submit_for(SAFE, Some(0));
    let (within, _) = node.submit_for(SAFE, Some(1));
    node.now += 10.0;
    let actions = node.end(sent[0], Outcome::Done);
    assert!(actions.iter().any(|a| matches!(a, Action::Send { id, .. } if *id == within)), "{actions:?}");
    assert!(!actions.iter().any(|a| matches!(a, Action::Send { id, .. } if *id == beyond)));
}

#[test]
fn a_reported_share_takes_precedence_over_the_nodes_own_estimate() {
    // By this node's own quotas, tenant 0 is within its share and tenant 1 beyond it.
    let tenants = vec![Tenant { quota_per_s: 1000.0 }, Tenant { quota_per_s: 4.0 }];
    let mut node = Node::fleet(Settings { tenants, ..settings() }, 1);
    let submit_reported = |node: &mut Node, id: u64, tenant: usize, within: bool| {
        let (id, deadline) = (RequestId(1000 + id), node.now + CLIENT_TIMEOUT_MS);
        let (class, tenant, within) = (SAFE, Some(tenant), Some(within));
        (
            id,
            node.event(Event::Request {
                id,
                class,
                tenant,
                deadline,
                repeat_key: None,
                work: None,
                in_share: within,
                prior_attempts: None,
            }),
        )
    };
    let sent: Vec<_> = (0..4).map(|_| node.submit(SAFE).0).collect();
    for _ in 0..4 {
        node.submit_for(SAFE, Some(1));
    }
    let (beyond, _) = submit_reported(&mut node, 0, 0, false);
    let (within, _) = submit_reported(&mut node, 1, 1, true);
    node.now += 10.0;
    let actions = node.end(sent[0], Outcome::Done);
    let goes = |id| actions.iter().any(|a| matches!(a, Action::Send { id: sent, .. } if *sent == id));
    assert!(goes(within) && !goes(beyond), "{actions:?}");
}

/// Guards against timeouts that are hidden by a mean within the target: with most answers quick, a fifth of
/// all attempts could time out (incident i5f50fa).
#[test]
fn a_timed_out_attempt_lowers_the_limit_more_than_a_late_answer() {
    let open_slots_after = |outcome, duration| {
        let mut node = Node::fleet(settings(), 8);
        for _ in 0..16 {
            node.serve(UNSAFE, 5.0);
        }
        let sent: Vec<_> = (0..16).map(|_| node.submit(UNSAFE).0).collect();
        node.now += 5.0;
        for id in &sent[..12] {
            node.end(*id, Outcome::Done);
        }
        node.now += duration - 5.0;
        for id in &sent[12..] {
            node.end(*id, outcome);
        }
        (0..40).filter(|_| sent_to(&node.submit(UNSAFE).1).is_some()).count()
    };
    assert!(open_slots_after(Outcome::TimedOut, 98.0) < open_slots_after(Outcome::Done, 101.0));
}

/// Guards against limits that adapt too slowly when the whole fleet slows down at once: each took ten seconds
/// to learn it from the few answers of its own server, and three quarters of the answers were late (incident
/// i19f915).
#[test]
fn limits_fall_quickly_when_the_whole_fleet_slows_down() {
    let mut node = Node::fleet(settings(), 10);
    let send_many = |node: &mut Node| {
        let submitted: Vec<_> = (0..60).map(|_| node.submit(SAFE)).collect();
        submitted
            .into_iter()
            .filter(|(_, actions)| sent_to(actions).is_some())
            .map(|(id, _)| id)
            .collect::<Vec<_>>()
    };
    let before = send_many(&mut node);
    assert_eq!(before.len(), 40);
    node.wait(30.0);
    node.now += 65.0;
    for id in before {
        node.end(id, Outcome::TimedOut);
    }
    let after = send_many(&mut node);
    assert!(after.len() <= 5, "{} attempts after one late answer for each", after.len());
    let mut open = after;
    for _ in 0..400 {
        node.now += 10.0;
        for id in std::mem::take(&mut open) {
            let actions = node.end(id, Outcome::Done);
            open.extend(sends(&actions));
        }
        let (_, actions) = node.submit(SAFE);
        open.extend(sends(&actions));
    }
    node.now += 10.0;
    for id in open {
        node.end(id, Outcome::Done);
    }
    let recovered = send_many(&mut node).len();
    assert!(recovered > 5, "{recovered} attempts after quick answers");
}

/// Guards against refusals that continue long after a server was slow (incident i19f915).
#[test]
fn a_server_that_recovers_is_soon_used_again() {
    let mut node = Node::fleet(settings(), 1);
    for _ in 0..60 {
        if node.serve_queued(SAFE, 100.0).is_none() {
            node.wait(100.0);
        }
    }
    let served = (0..100)
        .filter(|_| {
            let served = node.serve_queued(SAFE, 5.0).is_some();
            node.wait(30.0);
            served
        })
        .count();
    assert!(served > 40, "{served} of 100");
}

/// Guards against limits that fall below one attempt at a time although answers are in time (incident
/// i6a66ac).
#[test]
fn the_limit_stays_at_one_attempt_while_answers_are_in_time() {
    let mut node = Node::fleet(settings(), 1);
    for _ in 0..100 {
        node.serve(SAFE, 90.0);
    }
    assert!((0..20).all(|_| node.serve(SAFE, 90.0).is_some()));
}

#[test]
fn discovery_is_called_again_with_growing_pauses() {
    let mut node = Node::fleet(Settings { discovery: Discovery::Asked, ..settings() }, 2);
    let mut pauses = Vec::new();
    for _ in 0..5 {
        // The first call is made with the first list, before this loop.
        node.event(Event::ListFailed(ListFailure::Unanswered));
        let start = node.now;
        while !node.wait(5.0).contains(&Action::Subscribe) {
            assert!(node.now - start < 10_000.0, "no further call");
        }
        pauses.push(node.now - start);
        assert_eq!(node.serve(SAFE, 1.0).map(|_| ()), Some(()), "the old list is still used");
    }
    assert!(pauses[4] > 2.0 * pauses[0], "{pauses:?}");
    node.event(Event::ListChange(Vec::new()));
    assert!(!node.wait(30_000.0).contains(&Action::Subscribe), "subscribed: no more calls");
}

/// Each of hundreds of nodes reopens a silent watch before it counts as notified of the changes it missed.
/// The calls of the nodes are spread in time, and calls after a failed call are spread over the longer time
/// for the whole fleet.
#[test]
fn every_node_reopens_a_silent_watch_in_time() {
    let pause = |number: usize, failure: ListFailure| {
        let set = Settings { discovery: Discovery::Asked, nodes: 300, node_index: number, ..settings() };
        let entries = (0..2).map(|id| entry(id, 1.0)).collect();
        let mut node = Node::new_seeded(set, entries, number as u64);
        if failure != ListFailure::Unanswered {
            node.event(Event::ListChange(Vec::new()));
        }
        let start = node.now;
        let mut actions = node.event(Event::ListFailed(failure));
        while !actions.contains(&Action::Subscribe) {
            assert!(node.now - start < 20_000.0, "no further call");
            actions = node.wait(5.0);
        }
        node.now - start
    };
    let pauses: Vec<f64> =
        (0..300).map(|number| pause(number, ListFailure::Silent { told_in: 1800.0 })).collect();
    let most = pauses.iter().copied().fold(0.0, f64::max);
    assert!(most <= 1810.0, "{most}");
    for part in 0..6 {
        let within = |p: &&f64| (300.0 * f64::from(part)..300.0 * f64::from(part + 1)).contains(*p);
        let count = pauses.iter().filter(within).count();
        assert!((25..=80).contains(&count), "{count} of 300 in part {part} of 6");
    }
    let late = (0..300).filter(|number| pause(*number, ListFailure::Unanswered) > 1810.0).count();
    assert!(late > 200, "{late} of 300");
}

#[test]
fn invalid_settings_are_rejected() {
    type Invalidate = fn(&mut Settings);
    let cases: [(&str, Invalidate); 5] = [
        ("no classes", |s| s.classes.clear()),
        ("own number", |s| s.node_index = s.nodes),
        ("negative", |s| s.rules.overload_window = -1.0),
        ("share", |s| s.rules.cold_capacity_share = 1.5),
        ("attempts", |s| s.limits.attempts = 0),
    ];
    for (message, invalidate) in cases {
        let mut bad = settings();
        invalidate(&mut bad);
        let error = Balancer::new(bad, 0).err().expect(message).to_string();
        assert!(error.contains(message), "{error}");
    }
}

/// Guards rule 1: a request id submitted twice was answered as failed, and the first request was sent or
/// answered again.
#[test]
fn a_request_id_submitted_again_changes_nothing() {
    let mut node = Node::fleet(settings(), 0);
    let (id, _) = node.submit(UNSAFE);
    let resubmitted = Event::Request {
        id,
        class: UNSAFE,
        tenant: None,
        deadline: node.now + CLIENT_TIMEOUT_MS,
        repeat_key: None,
        work: None,
        in_share: None,
        prior_attempts: None,
    };
    let actions = node.event(resubmitted.clone());
    assert!(!failed(&actions, id) && !refused(&actions, id), "{actions:?}");
    node.event(Event::List { entries: vec![entry(0, 1.0)], saved: false });
    let mut all = node.event(Event::Timer);
    all.extend(node.event(resubmitted));
    all.extend(node.wait(600.0));
    assert!(sends(&all).len() <= 1, "{all:?}");
    let answers = all
        .iter()
        .filter(|a| matches!(a, Action::Fail(x) | Action::Refuse { id: x, .. } if *x == id))
        .count();
    assert!(answers <= 1, "{all:?}");
}

#[test]
fn invalid_deadlines_and_weights_neither_panic_nor_lose_an_answer() {
    for left in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -50.0, 0.0] {
        for servers in [0, 3] {
            let weights = [f64::NAN, f64::INFINITY, 0.0];
            let fleet = (0..servers).map(|id| entry(id, weights[id as usize])).collect();
            let mut node = Node::new(settings(), fleet);
            let (id, mut actions) = node.submit_with_timeout(UNSAFE, None, left);
            actions.extend(node.wait(200.0));
            let answered = refused(&actions, id) || failed(&actions, id);
            assert!(answered || sent_to(&actions).is_some(), "{left} with {servers}: {actions:?}");
            assert!(servers > 0 || answered, "{left}: {actions:?}");
        }
    }
}

#[test]
fn queued_requests_are_answered_after_the_clock_jumps_forward() {
    let mut node = Node::fleet(settings(), 0);
    let (id, _) = node.submit(SAFE);
    node.now += 1e9;
    let actions = node.event(Event::Timer);
    assert!(refused(&actions, id), "{actions:?}");
}

/// Guards against trial requests that keep a slow server slow: those of about forty nodes were enough for
/// that (incident i3e6a64).
#[test]
fn the_more_nodes_share_a_slow_server_the_less_each_sends() {
    let sends_of = |nodes| {
        let mut node = Node::fleet(Settings { nodes, ..settings() }, 60);
        let (mut count, start) = (0, node.now);
        while node.now < start + 60_000.0 {
            let (id, mut actions) = node.submit(SAFE);
            while sent_to(&actions).is_none() && !refused(&actions, id) {
                actions = node.wait(5.0);
            }
            if sent_to(&actions).is_some() {
                count += 1;
                node.now += 150.0;
                node.end(id, Outcome::Done);
            }
        }
        count
    };
    let (few, many) = (sends_of(240), sends_of(2400));
    assert!(many > 5 && many < few / 2, "{few} and {many} in a minute");
}

#[test]
fn requests_are_refused_when_all_servers_drain() {
    let mut node = Node::fleet(settings(), 3);
    let draining = (0..3).map(|id| Entry { state: Listed::Draining, ..entry(id, 1.0) }).collect();
    node.event(Event::List { entries: draining, saved: false });
    let (id, mut actions) = node.submit(UNSAFE);
    actions.extend(node.wait(100.0));
    assert!(sent_to(&actions).is_none() && refused(&actions, id), "{actions:?}");
}

#[test]
fn events_about_ended_or_unrequested_things_change_nothing() {
    let mut node = Node::fleet(settings(), 2);
    let (id, _) = node.submit(SAFE);
    node.end(id, Outcome::Done);
    let only_timers = |actions: &[Action]| actions.iter().all(|a| matches!(a, Action::SetTimer(_)));
    assert!(only_timers(&node.event(Event::ClientGone(id))), "the client left after the request had ended");
    assert!(
        only_timers(&node.event(Event::ListFailed(ListFailure::Unanswered))),
        "a pushed list is not requested"
    );
    let (server, outcome) = (ServerId(1), Outcome::TimedOut);
    let late = Event::Ended { id, attempt: 0, server, outcome, duration: 1.0, finished: false };
    assert!(only_timers(&node.event(late)), "an attempt ends only once");
    assert!(only_timers(&node.event(Event::List { entries: Vec::new(), saved: false })));
    let (id, _) = node.submit(SAFE);
    assert!(refused(&node.wait(60.0), id), "an empty list refuses in time");
}

/// Guards against limits that rise too fast: quick answers raised the limits of about thirty nodes that share
/// a server to one attempt each within seconds, more than the server can handle.
#[test]
fn quick_answers_raise_a_shared_limit_only_slowly() {
    let mut node = Node::fleet(Settings { nodes: 3000, ..settings() }, 60);
    let start = node.now;
    let served = (0..30).filter(|_| node.serve_queued(SAFE, 5.0).is_some()).count();
    let each = (node.now - start) / served as f64;
    assert!(served >= 10 && each > 9.0, "{served} served, {each} ms from one to the next");
}

/// A refusal tells the client how long to wait: part of the target latency of the class, and at most what
/// clients respect.
#[test]
fn a_refusal_tells_how_long_to_wait() {
    let span = |most: f64| {
        let mut set = settings();
        set.limits.max_retry_after = most;
        let mut node = Node::new(set, Vec::new());
        let (_, actions) = node.submit_with_timeout(SAFE, None, 1.0);
        actions.iter().find_map(|a| {
            if let Action::Refuse { retry_after, .. } = a {
                Some(*retry_after)
            } else {
                None
            }
        })
    };
    let free = span(1000.0).expect("refused: no server, and no time");
    assert!(free > 0.0 && free < 100.0, "{free}");
    assert_eq!(span(1.0), Some(1.0));
    assert_eq!(span(0.0), Some(0.0));
}

/// A keyed request bound to a cell with a single server is resent to that server rather than queued for
/// another one that may never exist.
#[test]
fn a_keyed_request_is_resent_to_the_only_server_of_its_cell() {
    let mut node = Node::new(settings(), vec![entry(1, 1.0), entry(2, 1.0)]);
    let (id, actions) = node.submit(KEYED);
    let to = |actions: &[Action]| {
        actions.iter().find_map(|a| if let Action::Send { server, .. } = a { Some(*server) } else { None })
    };
    let first = to(&actions).expect("sent");
    node.now += 10.0;
    let actions = node.end(id, Outcome::Error);
    assert_eq!(to(&actions), Some(first));
}

/// A server that cannot be notified of a cancelled attempt keeps working on it. The attempt ends, so that its
/// request can proceed, but its slot stays in use until the server is done with it.
#[test]
fn an_attempt_that_runs_on_keeps_its_slot() {
    let limit = |runs_on: bool| {
        let mut set = settings();
        (set.nodes, set.limits.second_copies) = (1, false);
        let mut node = Node::fleet(set, 1);
        let mut given_up = Vec::new();
        // Submits more requests than the server's initial limit, and cancels all that are sent.
        for _ in 0..40 {
            let (id, actions) = node.submit_with_timeout(SAFE, None, 60.0);
            let Some(server) = sent_to(&actions) else { break };
            if runs_on {
                node.event(Event::AttemptRunsOn { id, attempt: 0, server });
            }
            let ended = Event::Ended {
                id,
                attempt: 0,
                server,
                outcome: Outcome::Cancelled,
                duration: 0.0,
                finished: true,
            };
            node.event(ended);
            given_up.push((id, server));
        }
        (node, given_up)
    };
    assert_eq!(limit(false).1.len(), 40, "each cancelled attempt frees its slot at once");
    let (mut node, given_up) = limit(true);
    assert!((1..40).contains(&given_up.len()), "{}", given_up.len());
    let (waiting, actions) = node.submit(SAFE);
    assert!(sent_to(&actions).is_none(), "no slot is free");
    let (id, server) = given_up[0];
    let freed = node.event(Event::AttemptFinishedAtServer { id, attempt: 0, server });
    assert_eq!(sends(&freed), [waiting], "the freed slot goes to the queued request");
    // A second report, one of another attempt, or one of an attempt that did not run on frees nothing.
    node.event(Event::AttemptFinishedAtServer { id, attempt: 0, server });
    node.event(Event::AttemptFinishedAtServer { id, attempt: 1, server });
    node.event(Event::AttemptFinishedAtServer { id: waiting, attempt: 0, server });
    assert!(sent_to(&node.submit(SAFE).1).is_none());
}

/// One of eight nodes, with one slot at each of eight servers, that has served requests of every class.
fn node_with_one_slot_per_server() -> Node {
    let mut node = Node::fleet(Settings { nodes: 8, ..settings() }, 8);
    for class in [SAFE, KEYED, UNSAFE, SAFE, KEYED, UNSAFE] {
        node.serve_queued(class, 10.0);
        node.wait(20.0);
    }
    node
}

/// Guards against small nodes that refuse the class with the most to gain: with five slots per node, a fifth
/// of these requests, which can be queued least, was refused in favour of requests that could have waited.
#[test]
fn the_last_slot_of_a_node_is_left_to_the_class_with_most_to_gain() {
    let sent = |node: &mut Node, class: usize| sent_to(&node.submit(class).1).is_some();
    let mut node = node_with_one_slot_per_server();
    let mut slots = 0;
    while sent(&mut node, SAFE) {
        slots += 1;
        assert!(slots < 1000, "no limit of slots");
    }
    assert!(sent(&mut node, UNSAFE), "the last slot");
    assert!(!sent(&mut node, UNSAFE), "no other slot is free");
}

/// A request that leaves the last slot to another class is sent as soon as two are free, and refused in time
/// otherwise.
#[test]
fn a_request_that_leaves_the_last_slot_is_refused_in_time() {
    let mut node = node_with_one_slot_per_server();
    let mut sent = Vec::new();
    let queued = loop {
        let (id, actions) = node.submit(SAFE);
        if sent_to(&actions).is_none() {
            break id;
        }
        sent.push(id);
    };
    let mut actions = node.end(sent[0], Outcome::Done);
    actions.extend(node.wait(5.0));
    assert!(sends(&actions).contains(&queued), "{actions:?}");
    let (late, actions) = node.submit(SAFE);
    assert!(sent_to(&actions).is_none());
    assert!(refused(&node.wait(60.0), late), "refused in time");
}

/// With few servers no slot is reserved: a class with little to gain would wait needlessly.
#[test]
fn a_node_with_few_servers_reserves_no_slot() {
    let mut node = Node::fleet(settings(), 2);
    for class in [UNSAFE, SAFE, UNSAFE, SAFE] {
        node.serve(class, 5.0);
    }
    let slots = (0..40).filter(|_| sent_to(&node.submit(SAFE).1).is_some()).count();
    assert!(sent_to(&node.submit(UNSAFE).1).is_none(), "all {slots} slots are in use");
}

/// No slot is reserved for a class that hardly ever occurs.
#[test]
fn no_slot_is_reserved_for_a_class_that_never_occurs() {
    let mut node = Node::fleet(settings(), 10);
    for _ in 0..10 {
        node.serve(SAFE, 5.0);
    }
    let slots = (0..60).filter(|_| sent_to(&node.submit(SAFE).1).is_some()).count();
    assert!(sent_to(&node.submit(UNSAFE).1).is_none(), "all {slots} slots are in use");
}

/// While the list is not followed, health checks ask the servers whether they drain. A draining server gets
/// no more requests, and its replacement in the rotation gets none before a check shows that it is not
/// draining.
#[test]
fn health_checks_find_draining_servers_while_the_list_is_not_followed() {
    // Enough nodes that each uses two of the six servers.
    let set = Settings { discovery: Discovery::Asked, nodes: 44, ..settings() };
    let mut node = Node::new_seeded(set, (0..6).map(|id| entry(id, 1.0)).collect(), 1);
    node.event(Event::ListChange(Vec::new()));
    let used: std::collections::BTreeSet<ServerId> = (0..20).filter_map(|_| node.serve(SAFE, 90.0)).collect();
    assert_eq!(used.len(), 2, "{used:?}");
    assert!(probes(&node.wait(5000.0)).is_empty(), "the list is followed");
    let mut actions = node.event(Event::ListFailed(ListFailure::Ended));
    assert!(probes(&actions).is_empty(), "discovery is given time to answer");
    // A drain takes 0.5 s, so the checks are made within 400 ms.
    for _ in 0..80 {
        actions.extend(node.wait(5.0));
    }
    assert_eq!(probes(&actions).into_iter().collect::<std::collections::BTreeSet<_>>(), used);
    let drains = *used.first().expect("two");
    let mut found: Vec<ServerId> = Vec::new();
    for server in &used {
        let outcome = if *server == drains { Outcome::Error } else { Outcome::Done };
        found.extend(probes(&node.event(Event::Probed { server: *server, outcome, duration: 1.0 })));
    }
    for _ in 0..10 {
        let (_, actions) = node.submit(SAFE);
        found.extend(probes(&actions));
        assert!(sent_to(&actions).is_none_or(|to| to != drains && used.contains(&to)), "{actions:?}");
        found.extend(probes(&node.wait(1.0)));
    }
    let newcomer =
        *found.iter().find(|id| !used.contains(id)).expect("another server replaces it and is checked");
    node.event(Event::Probed { server: newcomer, outcome: Outcome::Done, duration: 1.0 });
    let reached: Vec<ServerId> = (0..40).filter_map(|_| node.serve(SAFE, 90.0)).collect();
    assert!(reached.contains(&newcomer) && !reached.contains(&drains), "{reached:?}");
}

/// A check that could not be made, or whose connection was reset, has no result. It is soon repeated, and a
/// server new to the rotation is not used before.
#[test]
fn a_check_without_a_result_is_soon_repeated() {
    for outcome in [Outcome::NotSent, Outcome::Reset] {
        let set = Settings { discovery: Discovery::Asked, nodes: 44, ..settings() };
        let mut node = Node::new_seeded(set, (0..6).map(|id| entry(id, 1.0)).collect(), 1);
        node.event(Event::ListFailed(ListFailure::Ended));
        let mut checked = Vec::new();
        while checked.len() < 2 {
            checked.extend(probes(&node.wait(5.0)));
        }
        let checked_again = |node: &mut Node, server: ServerId| -> bool {
            node.event(Event::Probed { server, outcome, duration: 1.0 });
            let mut soon: Vec<ServerId> = Vec::new();
            (0..30).for_each(|_| soon.extend(probes(&node.wait(5.0))));
            soon.contains(&server)
        };
        assert!(checked_again(&mut node, checked[0]), "{outcome:?}");
        let actions =
            node.event(Event::Probed { server: checked[0], outcome: Outcome::Error, duration: 1.0 });
        let newcomer = probes(&actions).into_iter().chain(probes(&node.wait(5.0))).next();
        let newcomer = newcomer.expect("another server replaces it and is checked");
        assert!(checked_again(&mut node, newcomer), "{outcome:?}");
        let reached: Vec<ServerId> = (0..40).filter_map(|_| node.serve(SAFE, 10.0)).collect();
        assert!(!reached.contains(&newcomer), "{outcome:?}: {reached:?}");
    }
}

fn probes(actions: &[Action]) -> Vec<ServerId> {
    actions.iter().filter_map(|a| if let Action::Probe(id) = a { Some(*id) } else { None }).collect()
}
