//! The proxy of the system: carries clients' requests to servers. What it needs to know its agent sends it ahead of time;
//! the one thing that a request may have to ask of another proxy is its tenant's counter.
//!
//! A request's way: [`listener`] reads it, [`request`] finds its route and asks the [`dispatcher`], which decides by the
//! [`endpoints`] and the tenant's [`counter`]; then `request` sends it to a server and answers its client.
//!
//! An update's way: the agent's connection receives it and hands it to [`dispatcher::Dispatcher::apply`].

pub mod agent_link;
pub mod consistency;
pub mod counter;
pub mod dispatcher;
pub mod drain;
pub mod endpoints;
pub mod idle_limit;
pub mod listener;
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
mod shutdown;

pub use error::ProxyError;
pub use process::serve;
pub use state::ProxyState;
