//! Measures the cost of a function: CPU time of its thread, and memory allocations.

use std::time::Duration;

use rustix::time::{clock_gettime, ClockId};

/// Measures the CPU time of the current thread.
#[derive(Clone, Copy, Debug)]
pub struct Stopwatch {
    started_at: Duration,
}

fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or(0))
}

impl Stopwatch {
    /// Starts the measurement.
    pub fn start() -> Self {
        Self { started_at: thread_cpu_time() }
    }

    /// CPU time since the start.
    pub fn elapsed(&self) -> Duration {
        thread_cpu_time().saturating_sub(self.started_at)
    }

    /// CPU time since the start, in nanoseconds.
    pub fn elapsed_ns(&self) -> u64 {
        u64::try_from(self.elapsed().as_nanos()).unwrap_or(u64::MAX)
    }
}

/// Cost of a measured function.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// CPU time of the thread.
    pub cpu_time: Duration,
    /// Number of allocations.
    pub allocations: u64,
    /// Maximum number of bytes allocated at a time, beyond those allocated before.
    pub peak_bytes: u64,
    /// Bytes still allocated at the end, less those freed that were allocated before.
    pub retained_bytes: i64,
}

impl Cost {
    /// CPU time in milliseconds.
    pub fn cpu_ms(&self) -> f64 {
        self.cpu_time.as_secs_f64() * 1e3
    }

    /// CPU time in microseconds.
    pub fn cpu_us(&self) -> f64 {
        self.cpu_time.as_secs_f64() * 1e6
    }
}

/// Runs a function and measures its cost.
///
/// # Panics
/// If the function panics.
pub fn measure<T>(function: impl FnOnce() -> T) -> (T, Cost) {
    let (mut result, mut cpu_time) = (None, Duration::ZERO);
    let info = allocation_counter::measure(|| {
        let stopwatch = Stopwatch::start();
        result = Some(function());
        cpu_time = stopwatch.elapsed();
    });
    let cost = Cost {
        cpu_time,
        allocations: info.count_total,
        peak_bytes: info.bytes_max,
        retained_bytes: info.bytes_current,
    };
    (result.expect("the function has run"), cost)
}

/// The median of the values.
///
/// # Panics
/// If there are no values.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
