//! The rate limiter as a library. Read a [`config::Config`], start a [`Limiter`], and drain it to shut down.
//!
//! A limiter accepts client requests, enforces the quota of each tenant, and forwards admitted requests to servers.
//! `aspendrum_core` makes all decisions; this crate does the I/O. `docs/architecture.md` shows which thread owns which
//! state.

pub mod backoff;
mod client_session;
pub mod clock;
pub mod config;
pub mod counter;
mod discovery;
mod dispatcher;
pub mod dispatcher_handle;
pub mod event;
mod health_check;
pub mod http;
mod lifecycle;
pub mod limiter;
pub mod limits;
mod listener;
mod overflow;
pub mod peers;
mod request_handler;
pub mod server_list;
mod session_loop;
mod sessions;
mod shutdown;
pub mod signals;
mod state;

pub use limiter::Limiter;
