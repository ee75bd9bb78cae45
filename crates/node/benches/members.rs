//! What membership costs real processes, to hold against hollow ones (`crates/scale`): `cargo bench -p glenwood-node --bench members
//! [-- PROCESSES ...]`.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use glenwood_testkit::node::Program;
use glenwood_testkit::rig::{Plan, Rig};
use glenwood_testkit::script::{always, Step};

/// How often a node probes another: what `deploy/members.toml` names.
const PROBE_MS: u64 = 100;
/// How long after the start, and for how long, it is measured.
const SETTLED: Duration = Duration::from_secs(20);
const SPAN: Duration = Duration::from_secs(10);
/// How many of the processes are asked for their figures: to ask costs too.
const ASKED: usize = 20;

fn main() {
    let named: Vec<usize> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let sizes = if named.is_empty() { vec![30, 100] } else { named };
    println!("processes  bytes sent a second  messages sent a second  processor us a second  MB resident");
    for size in sizes {
        let program = Program::new(PathBuf::from(env!("CARGO_BIN_EXE_glenwood")));
        let mut plan = Plan::new(program, size, 2, always(Step::Serve));
        plan.probe_ms = PROBE_MS;
        let rig = Rig::start(plan);
        std::thread::sleep(SETTLED);
        let asked: Vec<usize> = (0..size).step_by(size.div_ceil(ASKED)).collect();
        let sum = |figure: &str| asked.iter().filter_map(|n| rig.metric(*n, figure)).sum::<u64>() as f64;
        let cpu = || {
            rig.running().iter().filter_map(|n| rig.with_node(*n, |node| node.cpu_ticks())).sum::<u64>()
                as f64
        };
        let (began, bytes, messages, processor) =
            (Instant::now(), sum("members_sent_bytes"), sum("members_sent"), cpu());
        std::thread::sleep(SPAN);
        let seconds = began.elapsed().as_secs_f64();
        let (used, each) = (cpu() - processor, seconds * asked.len() as f64);
        let resident = rig.with_node(0, |node| node.resident_bytes()).unwrap_or(0) as f64 / 1e6;
        println!(
            "{size:9} {:20.0} {:23.1} {:22.0} {resident:12.1}",
            (sum("members_sent_bytes") - bytes) / each,
            (sum("members_sent") - messages) / each,
            used * 1e4 / (seconds * size as f64)
        );
    }
}
