//! The data model that the programs of the system share: the settings file of a process, the operator's
//! configuration, the platform's list of servers, and the messages between control, agents and proxies.
//!
//! This crate does no I/O, but for [`settings::Settings::load`].

pub mod compression;
pub mod config;
pub mod hash;
pub mod message;
pub mod servers;
pub mod settings;
pub mod time;
