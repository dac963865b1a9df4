//! The control plane, with one process on each core machine. It replicates the operators' commands to a majority of
//! disks, tracks servers and proxies, distributes state to the agents, and answers lookups of clients.
//!
//! # Architecture
//!
//! A single thread, the event loop in [`node`], owns all state of a control node. The other threads send it an
//! [`event::Event`] and wait for a reply where they need one: a reader per incoming connection ([`connections`]), the
//! disk writer ([`storage`]), the poller of the platform's list of servers ([`platform`]), and the HTTP servers
//! ([`api`]). Lookups are the exception: they bypass the event loop and read the [`directory`], which the node updates
//! under a lock.
//!
//! A command is processed as follows: [`api`] validates it and sends an event; [`node`] submits it to the
//! [`replica_driver`], which runs the replica of `aspendrum_consensus`; [`storage`] holds back the replica's messages
//! until the state that they depend on is synced; [`peers`] sends them to the other control nodes. When a majority has
//! stored the command, `api` responds to the operator, and the node compares the new [`sections`] with those last sent
//! to each agent ([`agents`]) and sends the differences.
//!
//! Agents send heartbeats with the state that their proxies have applied. From these the node maintains a table of its
//! proxies, exchanges it with the other control nodes, and merges the tables ([`proxy_table`]) for lookups and agents.
//!
//! # Module overview
//!
//! 1. [`event`] and [`peer_message`]: all inputs of the node.
//! 2. [`node`]: the event loop and its periodic work.
//! 3. Replicated state: [`replica_driver`], [`storage`], [`store`], [`legacy`], [`decided`].
//! 4. Other control nodes: [`peers`], [`membership`], [`shutdown`].
//! 5. Agents and proxies: [`agents`], [`sections`], [`proxy_table`], [`directory`].
//! 6. External interfaces: [`api`], [`report`], [`server_list`], [`platform`], [`connections`], [`memory`], and [`startup`],
//!    which assembles the process.

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
pub mod memory;
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
