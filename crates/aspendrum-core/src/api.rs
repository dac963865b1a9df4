//! The interface of the decision engine: its input ([`Event`]), its output ([`Action`]) and its
//! settings ([`Settings`]). It is independent of any protocol.

mod action;
mod event;
mod server;
mod settings;
mod zone_set;

pub use action::Action;
pub use event::{Event, NewRequest, Outcome};
pub use server::{Health, ListKind, LoadReport, ServerEntry};
pub use settings::{
    GroupSettings, LoadReportChannel, LoadValue, PlanSettings, RepeatGroup, Semantics, Settings,
};
pub use zone_set::ZoneSet;

pub use aspendrum_model::time::Millis;

/// Identifies a request. The highest bit must not be set; it marks requests of other instances.
pub type RequestId = u64;
/// Identifies a server.
pub type ServerId = u32;
/// Identifies a tenant. Ids have at most 40 bits, since counter names combine them with a window's
/// number. The caller maps wider ids.
pub type TenantId = u64;
