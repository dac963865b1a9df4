//! One limiter's token bucket for one tenant: what it may grant without asking anybody.
//!
//! Each limiter of the set fills its own bucket with its share of the rate, from empty at its start. A limiter that asks
//! the quota's owner for admission transfers all tokens that it holds, in the request itself. A transfer has left the
//! sender's bucket before it is sent, and is accepted at most once: it carries the time at which it was sent, and the
//! receiver accepts only what is later than the sender's last transfer, younger than
//! [`TRANSFER_LIFETIME`](crate::TRANSFER_LIFETIME) and sent after its own start. Tokens that are lost on the way are spent by
//! nobody.
//!
//! So all buckets and transfers in flight together never hold more than what the rate has brought and nobody has spent, and
//! each bucket has a capacity: what was granted in any time T is at most the rate times T and what all buckets held at its
//! beginning.

use crate::limits::BucketLimits;
use crate::transfer::{amount_of, steps_in, TokenTransfer, TransferSources};
use crate::units::{ClockMillis, NanoTokens};

/// A bucket that fills at this limiter's share of the rate.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TokenBucket {
    tokens: NanoTokens,
    /// When `tokens` was last brought up to date.
    filled_at: ClockMillis,
    /// What that filling left over of a nano-token, in fractions of `total_shares`.
    remainder: u64,
    /// When this limiter started.
    started_at: ClockMillis,
    sources: TransferSources,
}

impl TokenBucket {
    /// A bucket that is empty at `empty_at`, of a limiter that started at `started_at` and accepts no transfer from before.
    pub fn new(empty_at: ClockMillis, started_at: ClockMillis) -> TokenBucket {
        TokenBucket {
            filled_at: empty_at,
            started_at,
            ..TokenBucket::default()
        }
    }

    /// The tokens that it held when it was last brought up to date.
    pub fn tokens(&self) -> NanoTokens {
        self.tokens
    }

    /// Whether the limiter at that position of the set (0 is the first) may spend so much now.
    ///
    /// Where its share of the burst is less than the amount, limiters take turns by the clock, as many at a time as the
    /// burst has such amounts: all limiters could hold one, and all at once would spend many times the burst.
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

    /// Removes the amount, as far as it is there. Also for what the counter granted, which is spent here too.
    pub fn spend(&mut self, limits: &BucketLimits, amount: NanoTokens, now: ClockMillis) {
        self.fill(limits, now);
        self.tokens = self.tokens.saturating_sub(amount);
    }

    /// Adds what was spent for a request that went to no server.
    pub fn refund(&mut self, limits: &BucketLimits, amount: NanoTokens, now: ClockMillis) {
        self.fill(limits, now);
        self.add(limits, amount, now);
    }

    /// Sets the bucket to this limiter's share of what the counter says is left of the whole quota.
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

    /// Removes all tokens for a [`TokenTransfer`] to the quota's owner, and returns the number of steps that they make.
    ///
    /// What is above this limiter's share of the burst is discarded: transferred, the whole requests that limiters may
    /// hold for times when they are alone would add up to many bursts.
    pub fn withdraw_all(&mut self, limits: &BucketLimits, now: ClockMillis) -> u16 {
        self.fill(limits, now);
        let share = self.share_of_burst(limits, now);
        let steps = steps_in(limits, self.tokens.min(share));
        let is_above_share = self.tokens > share;
        self.tokens = if is_above_share {
            0
        } else {
            self.tokens - amount_of(limits, steps)
        };
        steps
    }

    /// Accepts a transfer. Returns false, and adds nothing, if it is too old, a duplicate, or may have been sent to an
    /// earlier process of this limiter.
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
        self.add(limits, amount_of(limits, transfer.steps), now);
        true
    }

    /// Whether that limiter sent a transfer so lately that it need not be asked for its tokens.
    pub fn received_recently(&self, limits: &BucketLimits, limiter: u16, now: ClockMillis) -> bool {
        self.sources.received_recently(limits, limiter, now)
    }

    /// This limiter's own share of the burst, and one for each recent sender: what these sent they do not hold.
    fn share_of_burst(&self, limits: &BucketLimits, now: ClockMillis) -> NanoTokens {
        let senders = self.sources.recent_count(limits, now);
        limits.share_of(
            limits.burst,
            limits.own_shares + limits.even_shares * senders,
        )
    }

    /// The most that it holds: its share of the burst, or one whole request where that is more.
    fn capacity(&self, limits: &BucketLimits, now: ClockMillis) -> NanoTokens {
        self.share_of_burst(limits, now).max(limits.largest_request)
    }

    fn add(&mut self, limits: &BucketLimits, amount: NanoTokens, now: ClockMillis) {
        self.tokens = self
            .tokens
            .saturating_add(amount)
            .min(self.capacity(limits, now));
    }

    /// Adds this limiter's share of what the rate has brought since it was last filled.
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
