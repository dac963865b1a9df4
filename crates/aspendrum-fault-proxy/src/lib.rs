//! Links between processes on loopback, with faults. Every path between two processes of a test run goes through one: a
//! stream through a [`Relay`], datagrams through a [`Mesh`]. A link can lose, delay, reorder, duplicate or block what it
//! carries. Whoever plays the timeline sets and clears the faults.

mod datagrams;
mod fault;
mod link;
mod relay;

pub use datagrams::Mesh;
pub use fault::{Fault, REORDER_DELAY, RESEND_DELAY};
pub use link::{Link, LinkStats};
pub use relay::Relay;
