//! The recent minimum response time of an endpoint group.

use crate::api::Millis;

/// The number of responses in a block.
const BLOCK_SIZE: f64 = 30.0;
/// The relative growth of the baseline per millisecond, which lets it follow servers that become
/// slower.
const GROWTH_PER_MS: f64 = 0.000_01;

/// The minimum of the mean response times of blocks: an estimate of the response time without load,
/// as used by Gradient and Vegas limiters.
#[derive(Default)]
pub(crate) struct LatencyBaseline {
    block_sum: Millis,
    block_count: f64,
    /// 0 until the first block is complete.
    baseline: Millis,
    updated_at: Millis,
}

impl LatencyBaseline {
    /// Records a response time and returns the updated baseline.
    pub(crate) fn record(&mut self, response_time: Millis, now: Millis) -> Millis {
        self.block_sum += response_time;
        self.block_count += 1.0;
        if self.block_count >= BLOCK_SIZE {
            let mean = self.block_sum / self.block_count;
            let grown = self.baseline * (1.0 + GROWTH_PER_MS * (now - self.updated_at));
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
