//! The decisions of the aspendrum quota gateway: `api` is the interface, `engine` decides.

// Not yet finished for readers: docs/ROADMAP.md lists what is left.
#![allow(missing_docs, clippy::wildcard_imports)]

pub mod api;
pub mod engine;
pub mod settings;
mod state;
pub mod word;
