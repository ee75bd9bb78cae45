//! Settings by tenants: reading a file, taking it over, and reading one that follows.

use std::hint::black_box;

use glenwood_node::config;
use glenwood_operation::places::Slots;

use crate::deployment;
use crate::measure::{measure, median, Cost};
use crate::report::Report;
use crate::scenario::{megabytes, REPEATS};
use crate::target;

/// The name of the scenario.
pub const NAME: &str = "settings by tenants";

/// The sizes; the last is the full one.
pub const SIZES: [usize; 5] = [10, 1_000, 11_750, 23_500, 47_000];

/// Measures all sizes.
pub fn run(report: &mut Report, sizes: &[usize]) {
    for tenants in sizes.iter().copied() {
        let costs: Vec<[Cost; 3]> = (0..REPEATS).map(|_| once(tenants)).collect();
        let processor = |step: usize| median(costs.iter().map(|cost| cost[step].milliseconds()).collect());
        let [read, take, follow] = costs[0];
        report.add(
            NAME,
            tenants as u64,
            &[
                ("file bytes", deployment::file(target::size("nodes") as usize, tenants).len() as f64),
                ("read ms", processor(0)),
                ("take over ms", processor(1)),
                ("read one that follows ms", processor(2)),
                ("read allocations", read.allocations as f64),
                ("kept MB", megabytes(read.kept_bytes + take.kept_bytes)),
                ("peak of one that follows MB", megabytes(follow.peak_bytes as i64)),
            ],
        );
    }
}

/// Reads a file, gives the names their places, and reads the same file again as one that follows.
fn once(tenants: usize) -> [Cost; 3] {
    let text = deployment::file(target::size("nodes") as usize, tenants);
    let environment = |_: &str| None;
    let (running, reading) = measure(|| config::first(&text, environment).expect("good"));
    let mut slots = Slots::default();
    let (_, taking) = measure(|| black_box(slots.replace_names(&running.settings.tenants)));
    let (_, following) = measure(|| {
        let next = config::following(&text, &running.fields, environment).expect("good");
        black_box(slots.replace_names(&next.settings.tenants));
    });
    [reading, taking, following]
}
