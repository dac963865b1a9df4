//! The networking that the programs share: HTTP/1.1 messages, a client and a server for short calls, pooled connections
//! to servers, framed connections between the system's own processes, mailboxes and threads. Nothing here decides where
//! a request goes.
//!
//! # How it works
//!
//! All I/O is blocking: each connection has a thread of its own, with a small stack ([`threads`]). Threads hand each
//! other messages through a [`mailbox`]. Time-outs are those of the sockets; a thread ends the exchange of another
//! thread by shutting down its socket, which [`forward`] makes safe.
//!
//! Bytes from a connection collect in a [`ring_buffer`]. [`http1`] parses complete messages out of it, and refuses
//! every message whose length is ambiguous. A [`connection::Connection`] runs one exchange at a time; [`pool`] keeps
//! idle ones.
//!
//! A thread that waits for a server does not read from its client. [`disconnects`] therefore polls the clients'
//! connections from one thread, and [`disconnect_metrics`] counts whether the process reacted in time.
//!
//! # Order of reading
//!
//! 1. [`threads`], [`mailbox`], [`worker_pool`] and [`ring_buffer`]: the foundations.
//! 2. [`http1`], then [`connection`] and [`pool`]: messages, and connections to servers.
//! 3. [`forward`], [`disconnects`] and [`disconnect_metrics`]: aborting requests whose clients have disconnected.
//! 4. [`http_client`], [`http_server`] and [`path_matcher`]: short calls.
//! 5. [`frames`]: connections between the system's own processes.
//! 6. [`daemon`] and [`process_signals`]: the start and the end of a program.

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
