//! The state of an instance: plain data, with methods that need nothing but the value itself.
//! Decisions are made in [`crate::engine`].

pub(crate) mod peer;
pub(crate) mod request;
pub(crate) mod server;
pub(crate) mod slab;
pub(crate) mod tenant;
