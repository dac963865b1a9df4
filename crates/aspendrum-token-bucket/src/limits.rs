//! The limits of a tenant's quota, and the values derived from them for one limiter of its set.

use crate::units::{ClockMillis, NanoTokens};

/// A tenant's quota and its division among the limiters of its set.
///
/// All fields except `own_shares` are the same at all limiters. The `own_shares` of all limiters add up to
/// `total_shares`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BucketLimits {
    /// The rate of the whole quota, per millisecond.
    pub rate: NanoTokens,
    /// The burst of the whole quota.
    pub burst: NanoTokens,
    /// The number of limiters in the set; at least 1.
    pub limiters: u64,
    /// This limiter's shares of the quota.
    pub own_shares: u64,
    /// The shares by which the capacity of a bucket grows for each limiter that recently transferred tokens to it.
    pub even_shares: u64,
    /// The number of shares into which the quota is divided.
    pub total_shares: u64,
    /// The cost of the most expensive request.
    pub largest_request: NanoTokens,
}

impl BucketLimits {
    /// Returns the time in which the rate fills the burst, in milliseconds; at least 1.
    pub fn fill_time(&self) -> ClockMillis {
        (self.burst / self.rate.max(1)).max(1)
    }

    /// Returns the amount of one step of a [`TokenTransfer`](crate::TokenTransfer). 65,535 steps, the maximum, cover
    /// the burst or the largest request, whichever is greater, up to rounding.
    pub(crate) fn transfer_step(&self) -> NanoTokens {
        (self.burst.max(self.largest_request) / NanoTokens::from(u16::MAX)).max(1)
    }

    /// Returns the given number of shares of an amount.
    pub(crate) fn share_of(&self, amount: NanoTokens, shares: u64) -> NanoTokens {
        let shares = shares.min(self.total_shares);
        (u128::from(amount) * u128::from(shares) / u128::from(self.total_shares.max(1)))
            as NanoTokens
    }

    /// Returns the number of limiters, at least 1, that may each spend `amount` in the same fill time without exceeding
    /// the even shares of the burst.
    fn concurrent_spenders(&self, amount: NanoTokens) -> u64 {
        let even = self.share_of(self.burst, self.even_shares.saturating_mul(self.limiters));
        (even / amount.max(1)).clamp(1, self.limiters.max(1))
    }

    /// Returns whether the limiter at `position` of the set may currently spend more than its share of the burst.
    ///
    /// In each fill time it is the turn of [`Self::concurrent_spenders`] limiters, in order of their positions.
    pub(crate) fn is_turn_of(&self, position: u64, amount: NanoTokens, now: ClockMillis) -> bool {
        let limiters = self.limiters.max(1);
        let spenders = self.concurrent_spenders(amount);
        let first = now / self.fill_time() % limiters * spenders % limiters;
        (position % limiters + limiters - first) % limiters < spenders
    }

    /// Returns the maximum number of tokens that all buckets of the set may hold together. The amount granted in any
    /// interval `t` is at most `rate * t` plus this maximum.
    ///
    /// `receivers` is the number of limiters that received a transfer in the last fill time. Each of them holds at most
    /// one burst, or the largest request if that is more. The other limiters together hold at most their shares of one
    /// burst, and each of them may hold up to the largest request.
    pub fn max_total_tokens(&self, receivers: u64) -> NanoTokens {
        self.burst.max(self.largest_request) * receivers
            + self.burst
            + self.limiters.max(1) * self.largest_request
    }
}
