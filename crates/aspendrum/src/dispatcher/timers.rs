//! The decision engine's timers.

use aspendrum_core::api::Millis;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const MICROSECONDS_PER_MILLISECOND: f64 = 1000.0;

/// A timer, ordered by due time and then by token.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    due_us: u64,
    token: u32,
}

/// Timers ordered by due time, with microsecond resolution.
#[derive(Default)]
pub(super) struct Timers(BinaryHeap<Reverse<Timer>>);

impl Timers {
    pub(super) fn add(&mut self, due: Millis, token: u32) {
        let due_us = (due * MICROSECONDS_PER_MILLISECOND) as u64;
        self.0.push(Reverse(Timer { due_us, token }));
    }

    /// Returns when the next timer is due.
    pub(super) fn next_due(&self) -> Option<Millis> {
        self.0
            .peek()
            .map(|Reverse(timer)| timer.due_us as f64 / MICROSECONDS_PER_MILLISECOND)
    }

    /// Removes the next timer if it is due and returns its token.
    pub(super) fn pop_due(&mut self, now: Millis) -> Option<u32> {
        let now_us = (now * MICROSECONDS_PER_MILLISECOND) as u64;
        let Reverse(timer) = self
            .0
            .peek()
            .copied()
            .filter(|Reverse(timer)| timer.due_us <= now_us)?;
        self.0.pop();
        Some(timer.token)
    }
}
