//! What the agent's core costs over many instances, without their processes: `cargo bench -p glenwood-fleet --bench agent`.
//! One round is one word of each instance, as an agent takes ten times a second.

use std::time::Instant;

use glenwood_fleet::agent::{Agent, Output, Status};
use glenwood_fleet::book::{Book, Target};
use glenwood_fleet::desired::Desired;
use glenwood_fleet::lease::Holder;

fn main() {
    let rules = Desired::parse("").expect("an empty file is good").rules;
    for count in [8, 200, 1000] {
        let mut agent = Agent::new(0.0, rules.clone(), Book::default(), 1);
        let holder = Holder { who: "a".into(), why: "b".into(), since_unix_ms: 0.0, span_ms: 600_000.0 };
        agent.lease(0.0, 1, holder).expect("free");
        let target = Target { release: "r1".into(), config: "c1".into() };
        for n in 0..count {
            agent.want(0.0, 1, &format!("n{n}"), true, &target).expect("idle");
        }
        let mut tokens = Vec::new();
        while let Some(output) = agent.poll() {
            if let Output::Spawn { name, token, .. } = output {
                agent.spawned(0.0, &name, token, Ok((token as u32, 1)));
                tokens.push((name, token));
            }
        }
        let rounds = 20;
        let began = Instant::now();
        for round in 0..rounds {
            let now = 100.0 * f64::from(round);
            for (name, token) in &tokens {
                agent.inspected(now, name, *token, Some(Status { ready: true, answered: 9, failed: 0 }));
            }
            agent.poll_timeout();
        }
        let round = began.elapsed().as_secs_f64() * 1000.0 / f64::from(rounds);
        let began = Instant::now();
        agent.handle_timeout(3000.0);
        let whole = began.elapsed().as_secs_f64() * 1000.0;
        println!(
            "{count:5} instances: {round:.3} ms a round, {whole:.3} ms for a look at all; {} listed",
            tokens.len()
        );
    }
}
