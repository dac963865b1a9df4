//! The data model shared by all programs: the settings file of a process, the operators' configuration, the platform's
//! server list, and the messages between control, agents and proxies.
//!
//! This crate performs no I/O except in [`settings::Settings::load`].
//!
//! # How it works
//!
//! Data is parsed and validated once, when it enters the system, and then used as typed values:
//!
//! - [`settings`]: the settings that the platform provides for a process, as JSON. All invalid settings are reported
//!   together.
//! - [`config`]: the operators' configuration of the whole system, as JSON: tenants, services, and routes by host and
//!   path. The text itself is replicated and sent, compressed by [`compression`], and every node parses it.
//! - [`servers`]: the platform's server list, as pages of JSON.
//! - [`message`]: the messages between control, agents and proxies, encoded with postcard. The encoding identifies
//!   variants and fields by their order. They may be renamed but not reordered, since nodes of two versions run side by
//!   side during an update.
//!
//! Control sends state to an agent, and an agent to its proxy, in sections ([`message::StateSection`]). Each section
//! replaces the previous one of its kind. A [`message::StateDigest`] identifies a complete state, so that the state
//! applied by a proxy can be compared with the decided state without transferring either.
//!
//! # Reading order
//!
//! [`time`] and [`hash`], then [`config`], [`servers`], [`message`] and [`settings`].

pub mod compression;
pub mod config;
pub mod hash;
pub mod message;
pub mod servers;
pub mod settings;
pub mod time;
