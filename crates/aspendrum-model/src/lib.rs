//! What the programs of the system know and tell each other: their settings, the operator's configuration,
//! the platform's list of servers, and the words on held connections. No I/O.

// Not yet finished for readers: docs/ROADMAP.md lists what is left.
#![allow(missing_docs)]

pub mod config;
pub mod hash;
pub mod message;
pub mod packed;
pub mod servers;
pub mod settings;
