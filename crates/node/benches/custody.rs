//! What custody costs a guarded request: `cargo bench -p glenwood-node --bench
//! custody [-- NODES...]`. Real processes beside one another on one machine.

use std::sync::Arc;
use std::time::Duration;

use glenwood_testkit::client::{Answer, Ask, Effect};
use glenwood_testkit::node::Program;
use glenwood_testkit::rig::load::Load;
use glenwood_testkit::rig::{Plan, Rig, MEMBERS_LOG_PREFIX};
use glenwood_testkit::script::{Script, Step};
use glenwood_testkit::until;
use serde_json::json;

const ASKS: &str = "custody: asks from ";

fn plan(nodes: usize, custody: bool) -> Plan {
    let script: Script = Arc::new(|_| Step::ServeAfter(Duration::from_millis(2)));
    let mut plan = Plan::new(Program::new(env!("CARGO_BIN_EXE_glenwood")), nodes, 12, script);
    plan.adjust_settings = |settings| {
        for class in settings["Classes"].as_array_mut().expect("classes") {
            (class["Deadline"], class["Slo"]) = (json!(2000), json!(2000));
        }
    };
    if custody {
        plan.sockets = vec![MEMBERS_LOG_PREFIX, ASKS];
        let keepers = nodes.min(30);
        plan.operator = Box::new(move |rig, _| {
            let keeper = |n| format!("[[custody.keeper]]\nname = 'n{n}'\nzone = '{}'\n", rig.zone(n));
            format!("[custody]\nlife_ms = 4000\n{}", (0..keepers).map(keeper).collect::<String>())
        });
    }
    plan
}

fn load(rig: &Arc<Rig>, class: &'static str, effect: Effect, per_second: f64) -> Load {
    let to = rig.clone();
    let make = move |number: u64, _| {
        let mut ask = Ask::new(class, effect, &format!("{class}{number}"), 1500);
        ask.path = format!("/{number}");
        ask
    };
    Load::start(
        (0..rig.plan.nodes).collect(),
        per_second,
        Arc::new(move |n| to.address(n)),
        Arc::new(make),
        Arc::new(|_, _, _| Vec::new()),
    )
}

fn main() {
    let given: Vec<usize> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    for nodes in if given.is_empty() { vec![4, 40, 300] } else { given } {
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
                let (before, sent) = (cpu(&rig), bytes(&rig));
                let load = load(&rig, class, effect, 200.0);
                until("there is enough", || load.outcomes().len() > 1000);
                let outcomes = load.end();
                let mut took: Vec<f64> = outcomes
                    .iter()
                    .filter(|o| matches!(o.answer, Answer::Served(_)))
                    .map(|o| o.took.as_secs_f64() * 1000.0)
                    .collect();
                took.sort_by(f64::total_cmp);
                let at = |part: f64| took[((took.len() - 1) as f64 * part) as usize];
                println!(
                    "{nodes} nodes, custody {custody}, {class}: {} of {} served, p50 {:.1} ms, p99 {:.1} ms, {:.2} ms of processor \
                     time and {:.0} bytes between nodes a request",
                    took.len(),
                    outcomes.len(),
                    at(0.5),
                    at(0.99),
                    10.0 * (cpu(&rig) - before) as f64 / outcomes.len() as f64,
                    (bytes(&rig) - sent) as f64 / outcomes.len() as f64
                );
            }
        }
    }
}
