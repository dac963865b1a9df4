//! The control plane: one process on each core machine. It takes the operators' commands and keeps them on a majority of
//! disks, knows the servers and the proxies, feeds the agents, and answers the clients' lookups.
//!
//! [`node`] runs on one thread and owns everything that a control node knows. It composes the parts, each of which owns
//! its state, takes inputs and returns what concerns the others: [`peers`], [`agents`], [`server_list`],
//! [`membership`], [`replica_driver`]. All other threads only send it an [`event::Event`]: connections ([`connections`]), the disk
//! ([`storage`]), the platform's list of servers ([`platform`]) and the HTTP calls ([`api`]).

pub mod agents;
pub mod api;
pub mod clock;
pub mod connections;
pub mod decided;
pub mod directory;
pub mod errors;
pub mod event;
pub mod legacy;
pub mod membership;
pub mod node;
pub mod peer_message;
pub mod peers;
pub mod platform;
pub mod proxy_table;
pub mod replica_driver;
pub mod report;
pub mod sections;
pub mod server_list;
pub mod shutdown;
pub mod startup;
pub mod storage;
pub mod store;

pub use startup::main;
