//! What an instance remembers. Plain data with the arithmetic that concerns one value alone;
//! decisions are made in [`crate::engine`].

pub(crate) mod peer;
pub(crate) mod request;
pub(crate) mod server;
pub(crate) mod slab;
pub(crate) mod tenant;
