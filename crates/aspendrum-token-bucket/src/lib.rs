//! Token buckets that the limiters of a tenant's set fill and spend on their own while the shared counter is out of
//! reach, and transfers of tokens between them.
//!
//! All buckets of a set and all transfers in flight together stay within the quota, whatever messages are lost, delayed,
//! duplicated or reordered and whichever limiter stalls, crashes or restarts. `docs/shared-state.md` states the bound,
//! `docs/design-shared-counts.md` weighs the options. The crate does no I/O and reads no clock.

mod bucket;
mod limits;
mod transfer;
mod units;

pub use bucket::TokenBucket;
pub use limits::BucketLimits;
pub use transfer::{TokenTransfer, MAX_CLOCK_SKEW, TRANSFER_LIFETIME};
pub use units::{ClockMillis, NanoTokens, ONE_TOKEN};
