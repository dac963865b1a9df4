//! Links with faults between processes on loopback. Each path between two processes of a test run uses one: streams
//! pass through a [`Relay`], datagrams through a [`Mesh`]. A link can lose, delay, reorder, duplicate or block what it
//! carries. The runner of the timeline sets and clears the faults.

mod datagrams;
mod fault;
mod link;
mod relay;

pub use datagrams::Mesh;
pub use fault::{Fault, REORDER_DELAY, RESEND_DELAY};
pub use link::{Link, LinkStats};
pub use relay::Relay;
