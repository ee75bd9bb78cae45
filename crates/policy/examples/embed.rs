//! A minimal node: a request that is served, one that is resent after a failed connection, and one sent while
//! a server drains.

use glenwood_policy::*;

fn settings() -> Settings {
    Settings {
        node_index: 0,
        nodes: 1,
        classes: vec![Class {
            target_latency: 100.0,
            worth: 1.0,
            late_worth: 0.0,
            client_timeout: f64::INFINITY,
            effect: Effect::Unsafe,
        }],
        tenants: Vec::new(),
        by_work: false,
        over_share_worth: 1.0,
        goal: Goal { worth: 1.0, ..Goal::default() },
        limits: Limits {
            attempts: 3,
            second_copies: false,
            cancel: true,
            probes: true,
            connect_timeout: 50.0,
            max_retry_after: 1000.0,
        },
        rules: Rules {
            max_call_interval: 10_000.0,
            cold_capacity_share: 0.2,
            warm_up_time: 20_000.0,
            overload_factor: 3.0,
            overload_window: 1_000.0,
        },
        discovery: Discovery::Pushed,
        weights: Weights::Listed,
        min_event_interval: 1.0,
    }
}

fn entry(id: u64, state: Listed) -> Entry {
    Entry { server: ServerId(id), zone: 0, cell: 0, kind: 0, state, weight: 1.0, started_at: None }
}

/// Passes an event to the balancer and prints its actions; returns the server of a send.
fn handle_event(balancer: &mut Balancer, now: Millis, event: Event) -> Option<ServerId> {
    let mut actions = Vec::new();
    balancer.handle(now, event, &mut actions);
    for action in actions.iter().filter(|a| !matches!(a, Action::SetTimer(_))) {
        println!("{now:6.1} ms  {action:?}");
    }
    actions.iter().find_map(|a| if let Action::Send { server, .. } = a { Some(*server) } else { None })
}

fn ended(id: RequestId, attempt: usize, server: ServerId, outcome: Outcome) -> Event {
    Event::Ended { id, attempt, server, outcome, duration: 12.0, finished: outcome == Outcome::Done }
}

fn main() -> Result<(), SettingsError> {
    let mut balancer = Balancer::new(settings(), 42)?;
    let entries = (1..=3).map(|id| entry(id, Listed::Up)).collect();
    handle_event(&mut balancer, 0.0, Event::List { entries, saved: false });

    let request = |id, now| Event::Request {
        id,
        class: 0,
        tenant: None,
        deadline: now + 500.0,
        repeat_key: None,
        work: None,
        in_share: None,
        prior_attempts: None,
    };
    let first = RequestId(1);
    let server = handle_event(&mut balancer, 10.0, request(first, 10.0)).expect("three servers are ready");
    handle_event(&mut balancer, 22.0, ended(first, 0, server, Outcome::Done));

    // The second request is sent to a dead server. It never ran, so it is resent to the next server in turn.
    let second = RequestId(2);
    let server = handle_event(&mut balancer, 30.0, request(second, 30.0)).expect("three servers are ready");
    let server =
        handle_event(&mut balancer, 42.0, ended(second, 0, server, Outcome::ConnectFailed)).expect("resent");
    handle_event(&mut balancer, 54.0, ended(second, 1, server, Outcome::Done));

    // Server 1 drains, so the third request skips it.
    handle_event(&mut balancer, 60.0, Event::ListChange(vec![entry(1, Listed::Draining)]));
    let third = RequestId(3);
    let server = handle_event(&mut balancer, 70.0, request(third, 70.0)).expect("one server is left");
    assert_eq!(server, ServerId(3));
    handle_event(&mut balancer, 82.0, ended(third, 0, server, Outcome::Done));
    Ok(())
}
