//! Measures the cost and the reaction times of the fleet's agent: `cargo bench -p glenctl --bench fleet`.
//! Runs eight real instances on this machine over loopback.

use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use glenwood_fleet::audit::digest;
use glenwood_testkit::fleet::{is_ready, Machine};
use glenwood_testkit::wait;

/// Number of instances.
const INSTANCES: usize = 8;

/// A duration in milliseconds.
fn ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

/// The median and the 99th percentile.
fn quantiles(mut all: Vec<f64>) -> (f64, f64) {
    all.sort_by(f64::total_cmp);
    let at = |q: f64| all[((all.len() as f64 * q).ceil() as usize).max(1) - 1];
    (at(0.5), at(0.99))
}

/// Processor time in hundredths of a second, and resident memory in kB.
fn process_cost(pid: u32) -> (u64, u64) {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields = stat.rsplit(") ").next().unwrap_or_default().split(' ');
    let cpu = fields.skip(11).take(2).filter_map(|f| f.parse::<u64>().ok()).sum();
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or_default();
    (cpu, line.trim().split(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0))
}

fn main() {
    let glenctl = Path::new(env!("CARGO_BIN_EXE_glenctl"));
    let sha256 = |path: &Path| std::fs::read(path).map(|bytes| digest(&bytes)).unwrap_or_default();
    let machine = Machine::new(glenctl, sha256, "bench", INSTANCES, "");
    let durations = (0..50).map(|_| {
        let began = Instant::now();
        machine.fleet(&["status", "--json"]);
        ms(began.elapsed())
    });
    let (p50, p99) = quantiles(durations.collect());
    println!("status over {INSTANCES}, as a process: p50 {p50:.1} ms, p99 {p99:.1} ms");
    let durations = (0..10).map(|n| {
        let name = format!("n{}", n % INSTANCES);
        let pid = machine.instance(&name)["pid"].as_u64().unwrap_or(0).to_string();
        // From the kill until it is ready at its address again.
        let began = Instant::now();
        let _ = Command::new("kill").args(["-KILL", &pid]).status();
        while !wait("an answer", is_ready(machine.addresses[n % INSTANCES])) {
            std::thread::sleep(Duration::from_millis(2));
        }
        let took = ms(began.elapsed());
        machine.wait_converged();
        took
    });
    let (p50, worst) = quantiles(durations.collect());
    println!("from a kill to ready again, ten times: p50 {p50:.0} ms, worst {worst:.0} ms");
    let began = Instant::now();
    let done = machine.fleet(&["roll", "--to", "r2"]).status.success();
    println!("a roll of {INSTANCES} without load: {:.1} s, done: {done}", began.elapsed().as_secs_f64());
    if let Some(pid) = machine.agent_pid() {
        let (before, _) = process_cost(pid);
        std::thread::sleep(Duration::from_secs(10));
        let (after, kb) = process_cost(pid);
        println!("the agent at rest: {:.1} MB, {} ms of CPU a second", kb as f64 / 1000.0, after - before);
    }
}
