//! Transfers of tokens between limiters, and the record of received transfers.

use crate::limits::BucketLimits;
use crate::units::{ClockMillis, NanoTokens};

/// The maximum age of a transfer on arrival; older ones are discarded. It is longer than the delivery time of datagrams
/// and shorter than the time for which an unused bucket is kept.
pub const TRANSFER_LIFETIME: ClockMillis = 1_000;

/// The maximum difference between the clocks of two limiters. A transfer whose send time is within this time of the
/// receiver's start may have been sent before it.
pub const MAX_CLOCK_SKEW: ClockMillis = 50;

/// Tokens that a limiter sends to the owner of a tenant's quota, with a quota request or when the owner asks for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TokenTransfer {
    /// The number of steps returned by [`TokenBucket::withdraw_all`](crate::TokenBucket::withdraw_all).
    pub steps: u16,
    /// The send time on the sender's clock. Unique among the transfers of one sender.
    pub sent_at: ClockMillis,
}

/// The last transfer accepted from one limiter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct TransferSource {
    limiter: u16,
    /// The send time on the sender's clock.
    sent_at: ClockMillis,
    /// The arrival time on the receiver's clock.
    received_at: ClockMillis,
}

/// The limiters from which a bucket recently accepted transfers. Ensures that each transfer is accepted at most once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct TransferSources(Vec<TransferSource>);

impl TransferSources {
    /// Returns the number of limiters from which a transfer was accepted within the last fill time.
    pub(crate) fn recent_count(&self, limits: &BucketLimits, now: ClockMillis) -> u64 {
        let recent =
            |source: &&TransferSource| now.saturating_sub(source.received_at) <= limits.fill_time();
        self.0.iter().filter(recent).count() as u64
    }

    /// Returns whether a transfer from the given limiter was accepted within the last half of a fill time.
    pub(crate) fn has_recent_transfer_from(
        &self,
        limits: &BucketLimits,
        limiter: u16,
        now: ClockMillis,
    ) -> bool {
        let is_recent = |source: &TransferSource| {
            now.saturating_sub(source.received_at) <= limits.fill_time() / 2
        };
        self.0
            .iter()
            .any(|source| source.limiter == limiter && is_recent(source))
    }

    /// Accepts and records a transfer, unless its send time is too old, in the future, not later than that of the
    /// sender's last transfer, or possibly before `started_at`, when this limiter started.
    pub(crate) fn accept(
        &mut self,
        limits: &BucketLimits,
        sender: u16,
        sent_at: ClockMillis,
        started_at: ClockMillis,
        now: ClockMillis,
    ) -> bool {
        let expired = sent_at + TRANSFER_LIFETIME < now;
        let from_the_future = sent_at > now + MAX_CLOCK_SKEW;
        let before_start = sent_at < started_at + MAX_CLOCK_SKEW;
        let last = self.0.iter().find(|source| source.limiter == sender);
        if expired
            || from_the_future
            || before_start
            || last.is_some_and(|last| last.sent_at >= sent_at)
        {
            return false;
        }
        self.forget_old(limits, sender, now);
        match self.0.iter_mut().find(|source| source.limiter == sender) {
            Some(source) => {
                source.sent_at = sent_at;
                source.received_at = now;
            }
            None => self.0.push(TransferSource {
                limiter: sender,
                sent_at,
                received_at: now,
            }),
        }
        true
    }

    /// Removes senders other than `sender` that no longer count as recent and whose last transfer is too old to be
    /// accepted again.
    fn forget_old(&mut self, limits: &BucketLimits, sender: u16, now: ClockMillis) {
        let kept_for = limits.fill_time().max(TRANSFER_LIFETIME + MAX_CLOCK_SKEW);
        self.0.retain(|source| {
            source.limiter == sender || now.saturating_sub(source.received_at) <= kept_for
        });
    }
}

/// Returns the number of whole steps in an amount, limited to the maximum of a transfer.
pub(crate) fn whole_steps(limits: &BucketLimits, amount: NanoTokens) -> u16 {
    (amount / limits.transfer_step()).min(u16::MAX.into()) as u16
}

/// Returns the amount of a number of steps.
pub(crate) fn step_amount(limits: &BucketLimits, steps: u16) -> NanoTokens {
    NanoTokens::from(steps) * limits.transfer_step()
}
