//! One limiter's token bucket for one tenant, from which it grants requests without contacting other nodes.
//!
//! Each limiter of the set fills its own bucket with its share of the rate, starting from an empty bucket. A
//! limiter transfers its tokens to the quota's owner with a quota request while the counter is silent for either of
//! them, or when the owner asks for them. The tokens are removed from the sender's bucket before the transfer is sent,
//! and the transfer is accepted at most once: it carries its send time, and the receiver accepts it only if it is later
//! than the sender's last transfer, not older than [`TRANSFER_LIFETIME`](crate::TRANSFER_LIFETIME), and sent after the
//! receiver's start. Tokens of a lost transfer are never spent.
//!
//! Therefore all buckets and transfers in flight together never hold more than the accrued tokens that are unspent.
//! Since each bucket has a capacity, the amount granted in any interval `t` is at most `rate * t` plus what all buckets
//! held at its beginning.

use crate::limits::BucketLimits;
use crate::transfer::{step_amount, whole_steps, TokenTransfer, TransferSources};
use crate::units::{ClockMillis, NanoTokens};

/// A token bucket that is filled at this limiter's share of the rate.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TokenBucket {
    tokens: NanoTokens,
    /// When `tokens` was last updated.
    filled_at: ClockMillis,
    /// The remainder of the last update, in fractions `1 / total_shares` of a nano-token.
    remainder: u64,
    /// When this limiter started.
    started_at: ClockMillis,
    sources: TransferSources,
}

impl TokenBucket {
    /// Creates a bucket that is empty at `empty_at`. Transfers sent before `started_at`, when the limiter started, are
    /// not accepted.
    pub fn new(empty_at: ClockMillis, started_at: ClockMillis) -> TokenBucket {
        TokenBucket {
            filled_at: empty_at,
            started_at,
            ..TokenBucket::default()
        }
    }

    /// Returns the tokens, in billionths, at the last update.
    pub fn tokens(&self) -> NanoTokens {
        self.tokens
    }

    /// Returns whether the limiter at `position` of the set, counted from 0, may spend `amount` now.
    ///
    /// If the amount exceeds a limiter's share of the burst, the limiters take turns by the clock. The number of
    /// limiters whose turn it is at the same time is bounded by the burst divided by the amount, because all limiters
    /// together could otherwise spend many times the burst.
    pub fn can_spend(
        &mut self,
        limits: &BucketLimits,
        position: u64,
        amount: NanoTokens,
        now: ClockMillis,
    ) -> bool {
        self.fill(limits, now);
        self.tokens >= amount
            && (self.share_of_burst(limits, now) >= amount
                || limits.is_turn_of(position, amount, now))
    }

    /// Removes the amount, or all tokens if there are fewer. Amounts granted by the counter are removed here too.
    pub fn spend(&mut self, limits: &BucketLimits, amount: NanoTokens, now: ClockMillis) {
        self.fill(limits, now);
        self.tokens = self.tokens.saturating_sub(amount);
    }

    /// Adds back the amount spent on a request that was not sent to any server.
    pub fn refund(&mut self, limits: &BucketLimits, amount: NanoTokens, now: ClockMillis) {
        self.fill(limits, now);
        self.add(limits, amount, now);
    }

    /// Sets the tokens to this limiter's share of the quota that remains according to the counter.
    pub fn set_remaining(
        &mut self,
        limits: &BucketLimits,
        remaining: NanoTokens,
        now: ClockMillis,
    ) {
        self.fill(limits, now);
        let share = self.share_of_burst(limits, now);
        let remaining = remaining.min(limits.burst);
        self.tokens = (u128::from(remaining) * u128::from(share) / u128::from(limits.burst.max(1)))
            as NanoTokens;
    }

    /// Removes tokens for a [`TokenTransfer`] to the quota's owner and returns their number of steps. A remainder of
    /// less than one step stays in the bucket.
    ///
    /// Tokens above this limiter's share of the burst are discarded. A bucket may hold the largest request even if that
    /// exceeds the share, for use while the limiter is isolated; transferred, these tokens would add up to many bursts.
    pub fn withdraw_all(&mut self, limits: &BucketLimits, now: ClockMillis) -> u16 {
        self.fill(limits, now);
        let share = self.share_of_burst(limits, now);
        let steps = whole_steps(limits, self.tokens.min(share));
        let is_above_share = self.tokens > share;
        self.tokens = if is_above_share {
            0
        } else {
            self.tokens - step_amount(limits, steps)
        };
        steps
    }

    /// Receives a transfer. Returns false and adds nothing if the transfer is too old, a duplicate, or may have been
    /// sent to a previous process of this limiter.
    pub fn receive(
        &mut self,
        limits: &BucketLimits,
        sender: u16,
        transfer: TokenTransfer,
        now: ClockMillis,
    ) -> bool {
        self.fill(limits, now);
        if !self
            .sources
            .accept(limits, sender, transfer.sent_at, self.started_at, now)
        {
            return false;
        }
        self.add(limits, step_amount(limits, transfer.steps), now);
        true
    }

    /// Returns whether the given limiter sent a transfer so recently that its tokens need not be requested.
    pub fn has_recent_transfer_from(
        &self,
        limits: &BucketLimits,
        limiter: u16,
        now: ClockMillis,
    ) -> bool {
        self.sources.has_recent_transfer_from(limits, limiter, now)
    }

    /// Returns this limiter's share of the burst plus an even share for each recent sender, whose tokens are now held
    /// here.
    fn share_of_burst(&self, limits: &BucketLimits, now: ClockMillis) -> NanoTokens {
        let senders = self.sources.recent_count(limits, now);
        limits.share_of(
            limits.burst,
            limits.own_shares + limits.even_shares * senders,
        )
    }

    /// Returns the capacity: the share of the burst, but at least the largest request.
    fn capacity(&self, limits: &BucketLimits, now: ClockMillis) -> NanoTokens {
        self.share_of_burst(limits, now).max(limits.largest_request)
    }

    fn add(&mut self, limits: &BucketLimits, amount: NanoTokens, now: ClockMillis) {
        self.tokens = self
            .tokens
            .saturating_add(amount)
            .min(self.capacity(limits, now));
    }

    /// Adds this limiter's share of the tokens accrued since the last update.
    fn fill(&mut self, limits: &BucketLimits, now: ClockMillis) {
        let total_shares = u128::from(limits.total_shares.max(1));
        let elapsed = u128::from(now.saturating_sub(self.filled_at));
        let fractions = u128::from(limits.rate) * elapsed * u128::from(limits.own_shares)
            + u128::from(self.remainder);
        let amount = NanoTokens::try_from(fractions / total_shares).unwrap_or(NanoTokens::MAX);
        self.remainder = (fractions % total_shares) as u64;
        self.filled_at = self.filled_at.max(now);
        self.add(limits, amount, now);
    }
}
