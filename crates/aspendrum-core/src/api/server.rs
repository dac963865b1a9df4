//! The descriptions of servers that the engine receives.

use super::{Millis, ServerId};

/// The health of a server, according to discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// It accepts requests.
    #[default]
    Ready,
    /// It finishes its requests and accepts no new ones.
    Draining,
    /// It no longer exists.
    Removed,
}

/// The kind of a server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The servers that have changed.
    Delta,
    /// All servers.
    Full,
    /// All servers, from a cache that may be out of date.
    Cached,
    /// No servers, because discovery failed.
    Failed,
}

/// A server's load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The number of valid entries in `values`; 0: no report.
    pub count: u8,
    /// Values in the order of [`Settings::load_values`](super::Settings::load_values). An
    /// unreadable value is NaN.
    pub values: [f32; 4],
}

/// A server as discovery lists it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// The pool whose requests the server gets; 0 if there is only one pool.
    pub pool: u16,
    /// The server's health.
    pub health: Health,
    /// The cell within its zone.
    pub cell: u16,
    /// The zone.
    pub zone: u8,
    /// The cost of a request to it, relative to a nearby server; 0: derived from its zone.
    pub distance_cost: f32,
    /// Its capacity relative to other servers.
    pub capacity: f32,
    /// The machine type.
    pub kind: u8,
    /// When it started; 0 if it started long ago.
    pub started_at: Millis,
}
