//! The proxy, which forwards clients' requests to servers. It receives all state that requests need from its agent in
//! advance; the only remote call that a request may need is to another proxy for its tenant's counter.
//!
//! Request path: [`listener`] reads a request within the process's [`memory`] budget, [`request`] finds its route and passes it to the [`dispatcher`],
//! which decides based on the [`endpoints`] and the tenant's [`counter`]; then `request` forwards it to a
//! server and responds to the client.
//!
//! Update path: the agent connection receives an update and passes it to [`dispatcher::Dispatcher::apply`].

pub mod agent_link;
pub mod consistency;
pub mod counter;
pub mod dispatcher;
pub mod drain;
pub mod endpoints;
pub mod idle_limit;
pub mod listener;
pub mod memory;
pub mod periodic;
pub mod request;
pub mod response;
pub mod session;
pub mod state;
pub mod wire;

mod agent;
mod disconnects;
mod error;
mod health_check;
mod process;
mod request_buffer;
mod shutdown;

pub use error::ProxyError;
pub use process::serve;
pub use state::ProxyState;
