//! Runs the whole system as processes on loopback addresses: control nodes, proxies and their agents, links between them
//! that can be cut, and fake servers, platform, operator and clients, whose records are checked afterwards.

mod addresses;
pub mod client_exchange;
pub mod clients;
pub mod configuration;
pub mod error;
pub mod fleet;
pub mod http_call;
pub mod library;
mod links;
pub mod operator;
pub mod outcome;
pub mod play;
pub mod probes;
pub mod report;
pub mod scenario;
mod settings_files;
pub mod slot;
pub mod soak;
pub mod steps;
pub mod tamper;
pub mod throttle;
mod traffic;
pub mod usage;
