//! Measures the cost of custody per request, with real processes on one machine:
//! `cargo bench -p glenwood-node --bench custody [-- NODES...]`.

use std::sync::Arc;
use std::time::Duration;

use glenwood_testkit::client::{Answer, Ask, Effect};
use glenwood_testkit::node::Program;
use glenwood_testkit::rig::load::Load;
use glenwood_testkit::rig::{Plan, Rig, MEMBERS_LOG_PREFIX};
use glenwood_testkit::script::{Script, Step};
use glenwood_testkit::until;
use serde_json::json;

const CUSTODY_LOG_PREFIX: &str = "custody: asks from ";

fn plan(nodes: usize, custody: bool) -> Plan {
    let script: Script = Arc::new(|_| Step::ServeAfter(Duration::from_millis(2)));
    let mut plan = Plan::new(Program::new(env!("CARGO_BIN_EXE_glenwood")), nodes, 12, script);
    plan.adjust_settings = |settings| {
        for class in settings["Classes"].as_array_mut().expect("no classes") {
            (class["Deadline"], class["Slo"]) = (json!(2000), json!(2000));
        }
    };
    if custody {
        plan.sockets = vec![MEMBERS_LOG_PREFIX, CUSTODY_LOG_PREFIX];
        let keepers = nodes.min(30);
        plan.operator = Box::new(move |rig, _| {
            let keeper = |n| format!("[[custody.keeper]]\nname = 'n{n}'\nzone = '{}'\n", rig.zone(n));
            format!("[custody]\nlife_ms = 4000\n{}", (0..keepers).map(keeper).collect::<String>())
        });
    }
    plan
}

fn load(rig: &Arc<Rig>, class: &'static str, effect: Effect, per_second: f64) -> Load {
    let target_rig = rig.clone();
    let make_request = move |number: u64, _| {
        let mut ask = Ask::new(class, effect, &format!("{class}{number}"), 1500);
        ask.path = format!("/{number}");
        ask
    };
    Load::start(
        (0..rig.plan.nodes).collect(),
        per_second,
        Arc::new(move |n| target_rig.address(n)),
        Arc::new(make_request),
        Arc::new(|_, _, _| Vec::new()),
    )
}

fn main() {
    let arguments: Vec<usize> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    for nodes in if arguments.is_empty() { vec![4, 40, 300] } else { arguments } {
        for custody in [false, true] {
            let rig = Rig::start(plan(nodes, custody));
            if custody {
                until("keepers vote", || {
                    (0..nodes.min(30)).all(|n| rig.metric(n, "custody_votes") == Some(1))
                });
            }
            let rig = Arc::new(rig);
            let cpu =
                |rig: &Rig| (0..nodes).filter_map(|n| rig.with_node(n, |node| node.cpu_ticks())).sum::<u64>();
            let bytes =
                |rig: &Rig| (0..nodes).filter_map(|n| rig.metric(n, "custody_sent_bytes")).sum::<u64>();
            for (class, effect) in [("look", Effect::Safe), ("pay", Effect::Keyed), ("slip", Effect::Unsafe)]
            {
                let (cpu_before, bytes_before) = (cpu(&rig), bytes(&rig));
                let load = load(&rig, class, effect, 200.0);
                until("there are more than 1000 outcomes", || load.outcomes().len() > 1000);
                let outcomes = load.end();
                let mut latencies_ms: Vec<f64> = outcomes
                    .iter()
                    .filter(|o| matches!(o.answer, Answer::Served(_)))
                    .map(|o| o.took.as_secs_f64() * 1000.0)
                    .collect();
                latencies_ms.sort_by(f64::total_cmp);
                let quantile = |q: f64| latencies_ms[((latencies_ms.len() - 1) as f64 * q) as usize];
                println!(
                    "{nodes} nodes, custody {custody}, {class}: {} of {} served, p50 {:.1} ms, p99 {:.1} ms, {:.2} ms of CPU \
                     time and {:.0} bytes between nodes per request",
                    latencies_ms.len(),
                    outcomes.len(),
                    quantile(0.5),
                    quantile(0.99),
                    10.0 * (cpu(&rig) - cpu_before) as f64 / outcomes.len() as f64,
                    (bytes(&rig) - bytes_before) as f64 / outcomes.len() as f64
                );
            }
        }
    }
}
