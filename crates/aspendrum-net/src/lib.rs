//! The plumbing that old and new programs share: rings, threads, letter boxes, connections to servers, HTTP
//! framing, frames between own processes. Nothing here decides.

// Not yet finished for readers: docs/ROADMAP.md lists what is left.
#![allow(missing_docs)]

pub mod daemon;
pub mod disconnect_metrics;
pub mod disconnects;
pub mod forward;
pub mod frames;
pub mod http1;
pub mod http_client;
pub mod http_server;
pub mod mailbox;
pub mod path_matcher;
pub mod pool;
pub mod ring_buffer;
pub mod workers;
