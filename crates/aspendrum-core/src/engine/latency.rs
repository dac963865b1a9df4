//! The least response time of an endpoint group, seen lately.

use crate::api::Millis;

/// Responses in a block.
const BLOCK: f64 = 30.0;
/// By how much the baseline grows a millisecond, so that it follows servers that become slower.
const GROWTH: f64 = 0.000_01;

/// The least mean of a block of response times, as Gradient and Vegas limiters use it for the time
/// without load.
#[derive(Default)]
pub(crate) struct LatencyBaseline {
    block_sum: Millis,
    block_count: f64,
    /// 0 until the first block is complete.
    baseline: Millis,
    updated_at: Millis,
}

impl LatencyBaseline {
    /// Takes in a response time; the baseline with it.
    pub(crate) fn record(&mut self, response_time: Millis, now: Millis) -> Millis {
        self.block_sum += response_time;
        self.block_count += 1.0;
        if self.block_count >= BLOCK {
            let mean = self.block_sum / self.block_count;
            let grown = self.baseline * (1.0 + GROWTH * (now - self.updated_at));
            self.baseline = if self.baseline > 0.0 {
                mean.min(grown)
            } else {
                mean
            };
            self.block_sum = 0.0;
            self.block_count = 0.0;
            self.updated_at = now;
        }
        self.baseline
    }
}
