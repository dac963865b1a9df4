//! The limits of a tenant's quota, and what follows from them for one limiter of its set.

use crate::units::{ClockMillis, NanoTokens};

/// A tenant's quota, and how it is divided among the limiters of its set.
///
/// All limiters agree on all fields but `own_shares`. The `own_shares` of all limiters together are `total_shares`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BucketLimits {
    /// The rate of the whole quota, a millisecond.
    pub rate: NanoTokens,
    /// The burst of the whole quota.
    pub burst: NanoTokens,
    /// How many limiters the set has; at least 1.
    pub limiters: u64,
    /// This limiter's shares of the quota.
    pub own_shares: u64,
    /// The shares that each limiter is counted with in the capacity of a bucket that received its tokens.
    pub even_shares: u64,
    /// The shares that the quota is divided into.
    pub total_shares: u64,
    /// What the most expensive request takes.
    pub largest_request: NanoTokens,
}

impl BucketLimits {
    /// The time in which the rate fills the burst; at least 1.
    pub fn fill_time(&self) -> ClockMillis {
        (self.burst / self.rate.max(1)).max(1)
    }

    /// What one step of a [`TokenTransfer`](crate::TokenTransfer) stands for; 65,535 steps express the whole burst.
    pub(crate) fn transfer_step(&self) -> NanoTokens {
        (self.burst.max(self.largest_request) / NanoTokens::from(u16::MAX)).max(1)
    }

    /// That many shares of an amount.
    pub(crate) fn share_of(&self, amount: NanoTokens, shares: u64) -> NanoTokens {
        let shares = shares.min(self.total_shares);
        (u128::from(amount) * u128::from(shares) / u128::from(self.total_shares.max(1)))
            as NanoTokens
    }

    /// How many limiters may each spend a request of that size at a time, within what even shares have of the burst; at
    /// least 1.
    fn concurrent_spenders(&self, amount: NanoTokens) -> u64 {
        let even = self.share_of(self.burst, self.even_shares.saturating_mul(self.limiters));
        (even / amount.max(1)).clamp(1, self.limiters.max(1))
    }

    /// Whether it is the turn of the limiter at that position of the set to spend more than its share of the burst.
    ///
    /// In each fill time [`Self::concurrent_spenders`] limiters have their turn, the next ones in the next.
    pub(crate) fn is_turn_of(&self, position: u64, amount: NanoTokens, now: ClockMillis) -> bool {
        let limiters = self.limiters.max(1);
        let spenders = self.concurrent_spenders(amount);
        let first = now / self.fill_time() % limiters * spenders % limiters;
        (position % limiters + limiters - first) % limiters < spenders
    }

    /// What all buckets of the set may hold together. What is granted in any time `t` is at most `rate * t` and this.
    ///
    /// Each of `receivers`, limiters that received a transfer in the last fill time, holds one burst at most (or the
    /// largest request, where that is more); all others together hold their shares of one, and each up to the largest
    /// request.
    pub fn max_held(&self, receivers: u64) -> NanoTokens {
        self.burst.max(self.largest_request) * receivers
            + self.burst
            + self.limiters.max(1) * self.largest_request
    }
}
