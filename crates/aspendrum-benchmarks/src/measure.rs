//! Measures the CPU time and the memory use of operations.

use crate::ALLOCATOR;
use nix::time::{clock_gettime, ClockId};

/// Returns the CPU time of the current thread, in milliseconds.
pub fn thread_cpu_ms() -> f64 {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID);
    time.map_or(0.0, |t| t.tv_sec() as f64 * 1e3 + t.tv_nsec() as f64 / 1e6)
}

/// Measurements of the same operation, in ascending order.
#[derive(Clone, Debug)]
pub struct Samples(Vec<f64>);

impl Samples {
    /// Creates samples from unsorted measurements.
    pub fn new(mut values: Vec<f64>) -> Samples {
        values.sort_by(f64::total_cmp);
        Samples(values)
    }

    /// Returns the measurement nearest to a quantile from 0 to 1, or 0 if there are no measurements.
    pub fn quantile(&self, quantile: f64) -> f64 {
        let last_index = self.0.len().saturating_sub(1) as f64;
        let index = (last_index * quantile.clamp(0.0, 1.0)).round() as usize;
        self.0.get(index).copied().unwrap_or(0.0)
    }

    /// Returns the median.
    pub fn median(&self) -> f64 {
        self.quantile(0.5)
    }
}

/// Measures the CPU time of each call of `work`, in milliseconds. `work` receives the zero-based number of the call.
/// The time does not include dropping the result.
pub fn time_each<T>(repeats: usize, mut work: impl FnMut(usize) -> T) -> Samples {
    let mut times = Vec::with_capacity(repeats);
    for call in 0..repeats {
        let started_at = thread_cpu_ms();
        let result = std::hint::black_box(work(call));
        times.push(thread_cpu_ms() - started_at);
        drop(result);
    }
    Samples::new(times)
}

/// Measures the mean CPU time of a call of `work` within batches of calls, in milliseconds, for calls too short to be
/// timed individually. The time includes dropping the results.
pub fn time_batches<T>(repeats: usize, batch: usize, mut work: impl FnMut(usize) -> T) -> Samples {
    let batches = time_each(repeats, |n| {
        for call in n * batch..(n + 1) * batch {
            drop(std::hint::black_box(work(call)));
        }
    });
    let per_call = batches.0.iter().map(|ms| ms / batch as f64);
    Samples(per_call.collect())
}

/// The result of an operation and the memory that it allocated.
pub struct MeasuredMemory<T> {
    /// The result of the operation.
    pub result: T,
    /// The number of bytes that remain allocated after the operation.
    pub retained_bytes: usize,
    /// The maximum number of bytes allocated at any time during the operation.
    pub peak_bytes: usize,
}

/// Measures the memory that `work` allocates, relative to the memory allocated before.
pub fn measure_memory<T>(work: impl FnOnce() -> T) -> MeasuredMemory<T> {
    let before = ALLOCATOR.current_usage();
    ALLOCATOR.reset_peak_usage();
    let result = work();
    let (after, peak) = (ALLOCATOR.current_usage(), ALLOCATOR.peak_usage());
    MeasuredMemory {
        result,
        retained_bytes: after.saturating_sub(before),
        peak_bytes: peak.saturating_sub(before),
    }
}
