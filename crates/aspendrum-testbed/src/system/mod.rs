//! The whole system as processes on loopback: machines of control, proxies and their agents, links between all of
//! them that can be cut, stand-ins for servers, platform, operator and clients, and a judge of what those saw.

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
