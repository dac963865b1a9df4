//! Servers as the engine is informed about them.

use super::{Millis, ServerId};

/// Whether a server may be sent requests, as discovery has it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// It may.
    #[default]
    Ready,
    /// It may not, and ends what it has.
    Draining,
    /// It is not there any more.
    Removed,
}

/// What a list of servers holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Servers that have changed.
    Delta,
    /// All servers.
    Full,
    /// All servers, as they were last known; maybe out of date.
    Cached,
    /// Nothing: discovery failed.
    Failed,
}

/// A server's load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// How many of `values` there are; 0: no report.
    pub count: u8,
    /// Values in the order of [`Settings::load_values`](super::Settings::load_values). One that
    /// could not be read is not a number.
    pub values: [f32; 4],
}

/// A server as discovery lists it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Requests of a pool go to its servers only. 0 where there is one pool.
    pub pool: u16,
    /// Whether it may be sent requests.
    pub health: Health,
    /// The cell within its zone.
    pub cell: u16,
    /// The zone.
    pub zone: u8,
    /// How many times dearer a request to it is than to a server nearby; 0: derived from its zone.
    pub distance_cost: f32,
    /// Its capacity in relation to other servers.
    pub capacity: f32,
    /// The kind of its machine.
    pub kind: u8,
    /// When it started; 0: long ago.
    pub started_at: Millis,
}
