//! Token buckets that the limiters of a tenant's set fill and spend independently while the shared counter is
//! unreachable, and transfers of tokens between them. A limiter here is an instance of the decision engine.
//!
//! All buckets of a set and all transfers in flight together stay within the quota, even if messages are lost, delayed,
//! duplicated or reordered, or limiters stall, crash or restart. `docs/shared-state.md` states the bound, and
//! `docs/design-shared-counts.md` discusses the alternatives. The crate does no I/O and does not read the clock.

mod bucket;
mod limits;
mod transfer;
mod units;

pub use bucket::TokenBucket;
pub use limits::BucketLimits;
pub use transfer::{TokenTransfer, MAX_CLOCK_SKEW, TRANSFER_LIFETIME};
pub use units::{ClockMillis, NanoTokens, ONE_TOKEN};
