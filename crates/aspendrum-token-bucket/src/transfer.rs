//! Transfers of tokens between limiters, and the record of transfers received.

use crate::limits::BucketLimits;
use crate::units::{ClockMillis, NanoTokens};

/// A transfer that is older on arrival is discarded. Longer than datagrams take, and shorter than a bucket is kept after
/// its last use.
pub const TRANSFER_LIFETIME: ClockMillis = 1_000;

/// The most by which two limiters' clocks differ. A transfer sent so soon after its receiver's start may have been sent
/// before it.
pub const MAX_CLOCK_SKEW: ClockMillis = 50;

/// Tokens that a limiter sends to the owner of a tenant's quota along with an admission request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TokenTransfer {
    /// The amount in steps, as [`TokenBucket::withdraw_all`](crate::TokenBucket::withdraw_all) counts them.
    pub steps: u16,
    /// When it was sent, on the sender's clock. No two transfers of one sender have the same time.
    pub sent_at: ClockMillis,
}

/// The last transfer that was accepted from one limiter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct TransferSource {
    limiter: u16,
    /// By the sender's clock.
    sent_at: ClockMillis,
    /// By the receiver's clock.
    received_at: ClockMillis,
}

/// The limiters from which a bucket accepted transfers of late. It accepts each transfer at most once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct TransferSources(Vec<TransferSource>);

impl TransferSources {
    /// How many limiters sent a transfer within the last fill time.
    pub(crate) fn recent_count(&self, limits: &BucketLimits, now: ClockMillis) -> u64 {
        let recent =
            |source: &&TransferSource| now.saturating_sub(source.received_at) <= limits.fill_time();
        self.0.iter().filter(recent).count() as u64
    }

    /// Whether that limiter sent a transfer within the last half of a fill time.
    pub(crate) fn received_recently(
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

    /// Accepts a transfer unless it is too old, a duplicate or older than the last one of its sender, or may have been sent
    /// before `started_at`, when this limiter started.
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

    /// Forgets senders whose transfers are so old that none could be accepted twice.
    fn forget_old(&mut self, limits: &BucketLimits, sender: u16, now: ClockMillis) {
        let kept_for = limits.fill_time().max(TRANSFER_LIFETIME + MAX_CLOCK_SKEW);
        self.0.retain(|source| {
            source.limiter == sender || now.saturating_sub(source.received_at) <= kept_for
        });
    }
}

/// The number of whole steps in an amount, at most what a transfer can carry.
pub(crate) fn steps_in(limits: &BucketLimits, amount: NanoTokens) -> u16 {
    (amount / limits.transfer_step()).min(u16::MAX.into()) as u16
}

/// The amount that a number of steps stands for.
pub(crate) fn amount_of(limits: &BucketLimits, steps: u16) -> NanoTokens {
    NanoTokens::from(steps) * limits.transfer_step()
}
