//! Networking shared by the programs: HTTP/1.1 messages, a client and a server for short calls, pooled connections to
//! servers, framed connections between the processes of the system, mailboxes and threads. Routing and load balancing
//! decisions are made elsewhere.
//!
//! # How it works
//!
//! All I/O is blocking. Each connection has its own thread with a small stack ([`threads`]). Threads communicate
//! through a [`mailbox`]. Timeouts are socket timeouts. A thread aborts the exchange of another thread by shutting down
//! its socket, which is synchronized by [`forward`].
//!
//! Received bytes are collected in a [`ring_buffer`]. [`http1`] parses messages from it and rejects messages with
//! ambiguous framing. The content of a message is stored once, within the [`memory_budget`] of the process. A
//! [`connection::Connection`] carries one exchange at a time, and reads the response while the [`upload`] of the request is
//! still in progress; [`pool`] stores idle connections.
//!
//! A thread that waits for a server does not read from its client. [`disconnects`] therefore polls the client
//! connections from a single thread, and [`disconnect_metrics`] counts late reactions to disconnects.
//!
//! # Reading order
//!
//! 1. [`threads`], [`mailbox`], [`worker_pool`], [`memory_budget`] and [`ring_buffer`]: the foundations.
//! 2. [`http1`], then [`upload`], [`connection`] and [`pool`]: messages, and connections to servers.
//! 3. [`forward`], [`disconnects`] and [`disconnect_metrics`]: aborting requests whose clients have disconnected.
//! 4. [`http_client`], [`http_server`] and [`path_matcher`]: short calls.
//! 5. [`frames`]: connections between the processes of the system.
//! 6. [`daemon`], [`allocator`] and [`process_signals`]: startup and shutdown of a program.

pub mod allocator;
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
pub mod memory_budget;
pub mod path_matcher;
pub mod pool;
pub mod process_signals;
pub mod ring_buffer;
pub mod threads;
pub mod upload;
pub mod worker_pool;
