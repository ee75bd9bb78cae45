//! Settings by the number of tenants: reading a configuration file, applying it, and reading one for a
//! reload.

use std::hint::black_box;

use glenwood_node::config;
use glenwood_operation::places::Slots;

use crate::deployment;
use crate::measure::{measure, median, Cost};
use crate::report::Report;
use crate::scenario::{megabytes, SAMPLES};
use crate::target;

/// Name of the scenario.
pub const NAME: &str = "settings by tenants";

/// Numbers of tenants; the last is the full size.
pub const SIZES: [usize; 5] = [10, 1_000, 11_750, 23_500, 47_000];

/// Runs the scenario at all sizes.
pub fn run(report: &mut Report, sizes: &[usize]) {
    for tenants in sizes.iter().copied() {
        let costs: Vec<[Cost; 3]> = (0..SAMPLES).map(|_| measure_once(tenants)).collect();
        let median_ms = |step: usize| median(costs.iter().map(|cost| cost[step].cpu_ms()).collect());
        let [read, apply, reload] = costs[0];
        report.add(
            NAME,
            tenants as u64,
            &[
                ("file bytes", deployment::config_file(target::size("nodes") as usize, tenants).len() as f64),
                ("read ms", median_ms(0)),
                ("take over ms", median_ms(1)),
                ("read one that follows ms", median_ms(2)),
                ("read allocations", read.allocations as f64),
                ("kept MB", megabytes(read.retained_bytes + apply.retained_bytes)),
                ("peak of one that follows MB", megabytes(reload.peak_bytes as i64)),
            ],
        );
    }
}

/// Reads a file, assigns slots to the tenant names, and reads the same file again as a reload. Returns the
/// costs of these three steps.
fn measure_once(tenants: usize) -> [Cost; 3] {
    let text = deployment::config_file(target::size("nodes") as usize, tenants);
    let environment = |_: &str| None;
    let (running, read_cost) = measure(|| config::first(&text, environment).expect("valid configuration"));
    let mut slots = Slots::default();
    let (_, apply_cost) = measure(|| black_box(slots.replace_names(&running.settings.tenants)));
    let (_, reload_cost) = measure(|| {
        let next = config::following(&text, &running.fields, environment).expect("valid configuration");
        black_box(slots.replace_names(&next.settings.tenants));
    });
    [read_cost, apply_cost, reload_cost]
}
