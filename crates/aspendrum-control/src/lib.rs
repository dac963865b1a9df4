//! The control plane: one process on each core machine. It takes the operators' commands and keeps them on a majority
//! of disks, knows the servers and the proxies, sends the agents their state, and answers the clients' lookups.
//!
//! # How it works
//!
//! One thread, that of [`node`], owns the whole state of a control node. All other threads send it an [`event::Event`]
//! and wait for an answer where they need one: a reader for each connection ([`connections`]), the disk's writer
//! ([`storage`]), the poller of the platform's list of servers ([`platform`]), and the HTTP servers ([`api`]). Only
//! lookups do not pass through that thread: they read the [`directory`], which the node updates under a lock.
//!
//! A command takes this path: [`api`] validates it and sends an event; [`node`] submits it to the [`replica_driver`],
//! which runs the replica of `aspendrum_consensus`; [`storage`] delays the replica's messages until the state behind
//! them is synced; [`peers`] sends them to the other control nodes. When a majority holds the command, `api` answers
//! the operator, and the node compares the new [`sections`] with those that each agent was sent last ([`agents`]) and
//! sends the differences.
//!
//! In the other direction agents send heartbeats with the state that their proxies have applied. From these the node
//! keeps a table of its proxies, exchanges it with the other control nodes, and merges the tables ([`proxy_table`]) for
//! lookups and agents.
//!
//! # Order of reading
//!
//! 1. [`event`] and [`peer_message`]: all inputs of the node.
//! 2. [`node`]: how it handles each event and what it does at each tick.
//! 3. The replicated state: [`replica_driver`], [`storage`], [`store`], [`legacy`], [`decided`].
//! 4. The other control nodes: [`peers`], [`membership`], [`shutdown`].
//! 5. Agents and proxies: [`agents`], [`sections`], [`proxy_table`], [`directory`].
//! 6. The edges: [`api`], [`report`], [`server_list`], [`platform`], [`connections`], and [`startup`], which starts
//!    them all.

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
