//! What an instance remembers. Plain data with the arithmetic that concerns one value alone; decisions are made in
//! [`crate::engine`].

pub(crate) mod breaker;
pub(crate) mod fleet;
pub(crate) mod latency;
pub(crate) mod parameters;
pub(crate) mod peer;
pub(crate) mod request;
pub(crate) mod sampling;
pub(crate) mod server;
pub(crate) mod slab;
pub(crate) mod tenant;
