//! Measures the time taken by the agent's state machine with many instances and no processes. Run it with
//! `cargo bench -p glenwood-fleet --bench agent`. A round is one inspection of each instance; an agent does
//! ten per second.

use std::time::Instant;

use glenwood_fleet::agent::{Agent, Output, Status};
use glenwood_fleet::book::{DurableState, Target};
use glenwood_fleet::desired::Desired;
use glenwood_fleet::lease::Holder;

fn main() {
    let rules = Desired::parse("").expect("an empty file is valid").rules;
    for count in [8, 200, 1000] {
        let mut agent = Agent::new(0.0, rules.clone(), DurableState::default(), 1);
        let holder = Holder { who: "a".into(), why: "b".into(), since_unix_ms: 0.0, span_ms: 600_000.0 };
        agent.acquire_lease(0.0, 1, holder).expect("the lease is free");
        let target = Target { release: "r1".into(), config: "c1".into() };
        for n in 0..count {
            agent.set_should_run(0.0, 1, &format!("n{n}"), true, &target).expect("no change is in progress");
        }
        let mut tokens = Vec::new();
        while let Some(output) = agent.poll() {
            if let Output::Spawn { name, token, .. } = output {
                agent.spawned(0.0, &name, token, Ok((token as u32, 1)));
                tokens.push((name, token));
            }
        }
        let rounds = 20;
        let started_at = Instant::now();
        for round in 0..rounds {
            let now = 100.0 * f64::from(round);
            for (name, token) in &tokens {
                agent.inspected(now, name, *token, Some(Status { ready: true, answered: 9, failed: 0 }));
            }
            agent.poll_timeout();
        }
        let round = started_at.elapsed().as_secs_f64() * 1000.0 / f64::from(rounds);
        let started_at = Instant::now();
        agent.handle_timeout(3000.0);
        let full_check = started_at.elapsed().as_secs_f64() * 1000.0;
        println!(
            "{count:5} instances: {round:.3} ms per round, {full_check:.3} ms per check of all instances; {} running",
            tokens.len()
        );
    }
}
