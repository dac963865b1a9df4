//! Integration tests of the limiter with fake services on loopback.

mod backoff;
mod client_connections;
mod config;
mod counter;
mod disconnects;
mod discovery;
mod http;
mod malformed_requests;
mod server_responses;
mod shutdown_and_reload;
mod support;
mod wire_bytes;
