//! The interface of the decision engine: its input ([`Event`]), its output ([`Action`]) and what it is
//! started with ([`Settings`]). It belongs to no protocol.

mod action;
mod event;
mod server;
mod settings;

pub use action::Action;
pub use event::{Event, NewRequest, Outcome};
pub use server::{Health, ListKind, LoadReport, ServerEntry};
pub use settings::{
    GroupSettings, LoadReportChannel, LoadValue, PlanSettings, RepeatGroup, Semantics, Settings,
};

pub use aspendrum_model::time::Millis;

/// Identifies a request. The highest bit must not be set: ids of requests that come from other
/// instances have it.
pub type RequestId = u64;
/// Identifies a server.
pub type ServerId = u32;
/// Identifies a tenant. At most 40 bits, since counter names hold it beside a window's number;
/// wider ids are mapped where requests come in.
pub type TenantId = u64;
