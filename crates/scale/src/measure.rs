//! What a piece of work costs: processor time of its thread, and what it takes from the allocator.

use std::time::Duration;

use rustix::time::{clock_gettime, ClockId};

/// Processor time of the calling thread since some moment.
#[derive(Clone, Copy, Debug)]
pub struct Stopwatch {
    began: Duration,
}

fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or(0))
}

impl Stopwatch {
    /// Starts now.
    pub fn start() -> Self {
        Self { began: thread_time() }
    }

    /// How much processor time has gone by.
    pub fn elapsed(&self) -> Duration {
        thread_time().saturating_sub(self.began)
    }

    /// The same in nanoseconds.
    pub fn elapsed_ns(&self) -> u64 {
        u64::try_from(self.elapsed().as_nanos()).unwrap_or(u64::MAX)
    }
}

/// What a piece of work cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Processor time of its thread.
    pub processor: Duration,
    /// Calls of the allocator.
    pub allocations: u64,
    /// The most bytes that it held at a time, beyond what was held before.
    pub peak_bytes: u64,
    /// Bytes that were still held at its end, less what it freed of before.
    pub kept_bytes: i64,
}

impl Cost {
    /// Its processor time in milliseconds.
    pub fn milliseconds(&self) -> f64 {
        self.processor.as_secs_f64() * 1e3
    }

    /// Its processor time in microseconds.
    pub fn microseconds(&self) -> f64 {
        self.processor.as_secs_f64() * 1e6
    }
}

/// Does a piece of work and says what it cost.
///
/// # Panics
/// Only where the work does.
pub fn measure<T>(work: impl FnOnce() -> T) -> (T, Cost) {
    let (mut result, mut processor) = (None, Duration::ZERO);
    let info = allocation_counter::measure(|| {
        let watch = Stopwatch::start();
        result = Some(work());
        processor = watch.elapsed();
    });
    let cost = Cost {
        processor,
        allocations: info.count_total,
        peak_bytes: info.bytes_max,
        kept_bytes: info.bytes_current,
    };
    (result.expect("the work has been done"), cost)
}

/// The median of some measurements.
///
/// # Panics
/// Where there are none.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
