//! The rate limiter as a library: read a [`config::Config`], start a [`Limiter`], drain it in the end.
//!
//! A limiter accepts requests of clients, keeps each tenant to its quota, and forwards what is admitted to servers. Every
//! decision is made by `aspendrum_core`; this crate does the input and output. `docs/architecture.md` shows which thread
//! owns what.

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
