//! Measures what membership costs real processes, for comparison with the simulated ones of `crates/scale`:
//! `cargo bench -p glenwood-node --bench members [-- PROCESSES ...]`.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use glenwood_testkit::node::Program;
use glenwood_testkit::rig::{Plan, Rig};
use glenwood_testkit::script::{always, Step};

/// Interval at which a node probes another, in milliseconds; as in `deploy/members.toml`.
const PROBE_MS: u64 = 100;
/// Time from the start to the measurement, and duration of the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(20);
const MEASURED_TIME: Duration = Duration::from_secs(10);
/// Number of processes whose counters are read; reading them costs CPU time too.
const SAMPLE_SIZE: usize = 20;

fn main() {
    let arguments: Vec<usize> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let sizes = if arguments.is_empty() { vec![30, 100] } else { arguments };
    println!("processes  bytes sent a second  messages sent a second  CPU time us a second   MB resident");
    for size in sizes {
        let program = Program::new(PathBuf::from(env!("CARGO_BIN_EXE_glenwood")));
        let mut plan = Plan::new(program, size, 2, always(Step::Serve));
        plan.probe_ms = PROBE_MS;
        let rig = Rig::start(plan);
        std::thread::sleep(SETTLE_TIME);
        let sampled: Vec<usize> = (0..size).step_by(size.div_ceil(SAMPLE_SIZE)).collect();
        let sum = |counter: &str| sampled.iter().filter_map(|n| rig.metric(*n, counter)).sum::<u64>() as f64;
        let cpu = || {
            rig.running().iter().filter_map(|n| rig.with_node(*n, |node| node.cpu_ticks())).sum::<u64>()
                as f64
        };
        let (start, bytes_before, messages_before, cpu_before) =
            (Instant::now(), sum("members_sent_bytes"), sum("members_sent"), cpu());
        std::thread::sleep(MEASURED_TIME);
        let seconds = start.elapsed().as_secs_f64();
        let (cpu_used, process_seconds) = (cpu() - cpu_before, seconds * sampled.len() as f64);
        let resident = rig.with_node(0, |node| node.resident_bytes()).unwrap_or(0) as f64 / 1e6;
        println!(
            "{size:9} {:20.0} {:23.1} {:22.0} {resident:12.1}",
            (sum("members_sent_bytes") - bytes_before) / process_seconds,
            (sum("members_sent") - messages_before) / process_seconds,
            cpu_used * 1e4 / (seconds * size as f64)
        );
    }
}
