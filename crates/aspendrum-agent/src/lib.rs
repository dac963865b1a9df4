//! The agent that runs next to each proxy. It maintains a connection to a control node, stores the state that control
//! has decided, and pushes that state to the proxy over loopback. While it is partitioned from control, it queries
//! other agents for the state that a majority of control holds.
//!
//! An update is received by [`control_connection`]. The [`coordinator`] accepts it if it is newer than the stored state
//! and sends it to the proxy over the connection accepted by [`proxy_listener`].

pub mod control_connection;
pub mod control_endpoints;
pub mod coordinator;
pub mod event;
pub mod gossip_socket;
pub mod proxy_listener;
pub mod snapshot;

mod error;
mod memory;
mod process;

pub use error::AgentError;
pub use process::serve;
