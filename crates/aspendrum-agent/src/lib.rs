//! The agent beside a proxy: keeps a connection to control, holds what control has decided, and feeds the proxy over
//! loopback ahead of time. Cut off from control, it asks other agents for what a majority of control holds.
//!
//! An update's way: [`control_connection`] receives it, the [`coordinator`] takes it if it is newer than what it holds,
//! and sends it to the proxy over the connection that [`proxy_listener`] accepted.

pub mod control_connection;
pub mod control_endpoints;
pub mod coordinator;
pub mod event;
pub mod gossip_socket;
pub mod proxy_listener;
pub mod snapshot;

mod error;
mod process;

pub use error::AgentError;
pub use process::serve;
