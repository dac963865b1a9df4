//! Processor time and memory of a piece of work.

use crate::ALLOCATOR;
use nix::time::{clock_gettime, ClockId};

/// Processor time of this thread so far, milliseconds.
pub fn thread_cpu_ms() -> f64 {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID);
    time.map_or(0.0, |t| t.tv_sec() as f64 * 1e3 + t.tv_nsec() as f64 / 1e6)
}

/// Measurements of the same work, in ascending order.
#[derive(Clone, Debug)]
pub struct Samples(Vec<f64>);

impl Samples {
    /// Sorts the measurements.
    pub fn new(mut values: Vec<f64>) -> Samples {
        values.sort_by(f64::total_cmp);
        Samples(values)
    }

    /// The measurement at that quantile, 0 to 1, by the nearest rank; 0 if there are no measurements.
    pub fn quantile(&self, quantile: f64) -> f64 {
        let last_index = self.0.len().saturating_sub(1) as f64;
        let index = (last_index * quantile.clamp(0.0, 1.0)).round() as usize;
        self.0.get(index).copied().unwrap_or(0.0)
    }

    /// The measurement in the middle.
    pub fn median(&self) -> f64 {
        self.quantile(0.5)
    }
}

/// Processor time of each call of `work`, milliseconds. `work` gets the number of the call. Dropping what it returns is
/// not part of the time.
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

/// Processor time of a call of `work`, milliseconds, for work so short that only a batch of calls can be timed.
pub fn time_batches<T>(repeats: usize, batch: usize, mut work: impl FnMut(usize) -> T) -> Samples {
    let batches = time_each(repeats, |n| {
        for call in n * batch..(n + 1) * batch {
            drop(std::hint::black_box(work(call)));
        }
    });
    let per_call = batches.0.iter().map(|ms| ms / batch as f64);
    Samples(per_call.collect())
}

/// The result of a piece of work, and the memory that the allocator counted for it.
pub struct MeasuredMemory<T> {
    /// What the work returned.
    pub result: T,
    /// Bytes that are still allocated for the result.
    pub retained_bytes: usize,
    /// The most bytes that were allocated at one time.
    pub peak_bytes: usize,
}

/// Measures the memory that `work` allocates beyond what is allocated already.
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
