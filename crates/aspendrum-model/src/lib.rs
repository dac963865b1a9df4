//! The data model that the programs of the system share: the settings file of a process, the operator's
//! configuration, the platform's list of servers, and the messages between control, agents and proxies.
//!
//! This crate does no I/O, but for [`settings::Settings::load`].
//!
//! # How it works
//!
//! Each kind of data is parsed and validated once, when it enters the system, and is used as a typed value from then
//! on:
//!
//! - [`settings`]: what the platform gives one process, as JSON. All invalid settings are reported together.
//! - [`config`]: what the operators give the whole system, as JSON: tenants, services, and routes by host and path.
//!   The text itself is what is replicated and sent, compressed by [`compression`]; every node parses it by itself.
//! - [`servers`]: what the platform reports of its servers, as pages of JSON.
//! - [`message`]: what control, agents and proxies send each other, encoded with postcard. Variants and fields are
//!   identified by their order there: they may be renamed but not reordered, since nodes of two versions run side by
//!   side during an update.
//!
//! Control sends state to an agent, and an agent to its proxy, in sections ([`message::StateSection`]), each of which
//! replaces the previous one of its kind. A [`message::StateDigest`] identifies a whole state, so that control can
//! compare what a proxy has applied with what was decided without sending either.
//!
//! # Order of reading
//!
//! [`time`] and [`hash`], then [`config`], [`servers`], [`message`] and [`settings`].

pub mod compression;
pub mod config;
pub mod hash;
pub mod message;
pub mod servers;
pub mod settings;
pub mod time;
