//! The networking that the programs share: HTTP/1.1 messages, a client and a server for short calls, pooled connections to
//! servers, framed connections between the system's own processes, mailboxes and threads. Nothing here decides where a
//! request goes.

pub mod connection;
pub mod daemon;
mod descriptor_permit;
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
pub mod process_signals;
pub mod ring_buffer;
pub mod threads;
pub mod worker_pool;
