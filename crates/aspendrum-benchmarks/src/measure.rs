//! Processor time and memory of a piece of work, and the line that tells them.

use crate::MEMORY;
use nix::time::{clock_gettime, ClockId};
use std::fmt::Display;

/// Processor time of this thread so far, milliseconds.
pub fn cpu_ms() -> f64 {
    let spent = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID);
    spent.map_or(0.0, |t| t.tv_sec() as f64 * 1e3 + t.tv_nsec() as f64 / 1e6)
}

/// Figures of the same work, in their order of size.
#[derive(Clone, Debug)]
pub struct Samples(Vec<f64>);

impl Samples {
    pub fn of(mut all: Vec<f64>) -> Samples {
        all.sort_by(f64::total_cmp);
        Samples(all)
    }

    /// The figure below which that share of all lies; nothing of nothing.
    pub fn at(&self, share: f64) -> f64 {
        let last = self.0.len().saturating_sub(1) as f64;
        self.0
            .get((last * share.clamp(0.0, 1.0)).round() as usize)
            .copied()
            .unwrap_or(0.0)
    }

    pub fn median(&self) -> f64 {
        self.at(0.5)
    }
}

/// Processor time of each call, milliseconds; `work` gets the number of its call. What it returns is dropped
/// outside of the time.
pub fn each<T>(repeats: usize, mut work: impl FnMut(usize) -> T) -> Samples {
    let mut spent = Vec::with_capacity(repeats);
    for n in 0..repeats {
        let before = cpu_ms();
        let done = std::hint::black_box(work(n));
        spent.push(cpu_ms() - before);
        drop(done);
    }
    Samples::of(spent)
}

/// The same for work so short that many calls make one figure.
pub fn batches<T>(repeats: usize, batch: usize, mut work: impl FnMut(usize) -> T) -> Samples {
    let of = each(repeats, |n| {
        (0..batch).for_each(|k| drop(std::hint::black_box(work(n * batch + k))))
    });
    Samples(of.0.iter().map(|ms| ms / batch as f64).collect())
}

/// What the work gives, the memory that is still held for it, and the most that it took besides what was held
/// before, in bytes as the allocator counts them.
pub fn memory<T>(work: impl FnOnce() -> T) -> (T, usize, usize) {
    let before = MEMORY.current_usage();
    MEMORY.reset_peak_usage();
    let done = work();
    let (held, most) = (MEMORY.current_usage(), MEMORY.peak_usage());
    (
        done,
        held.saturating_sub(before),
        most.saturating_sub(before),
    )
}

/// One line of figures.
pub struct Line(String);

impl Line {
    pub fn of(name: &str) -> Line {
        Line(format!("figure={name}"))
    }

    pub fn with(mut self, key: &str, value: impl Display) -> Line {
        self.0 += &format!(" {key}={value}");
        self
    }

    /// A number to four figures that count.
    pub fn number(self, key: &str, value: f64) -> Line {
        let places = if value == 0.0 {
            0.0
        } else {
            (3.0 - value.abs().log10().floor()).clamp(0.0, 6.0)
        };
        self.with(key, format!("{value:.*}", places as usize))
    }

    /// Milliseconds: the median, the least and the most.
    pub fn ms(self, key: &str, samples: &Samples) -> Line {
        let line = self.number(&format!("{key}_ms"), samples.median());
        let line = line.number(&format!("{key}_least"), samples.at(0.0));
        line.number(&format!("{key}_most"), samples.at(1.0))
    }

    pub fn mb(self, key: &str, bytes: usize) -> Line {
        self.number(&format!("{key}_mb"), bytes as f64 / 1e6)
    }

    pub fn tell(self) {
        println!("{}", self.0);
    }
}
