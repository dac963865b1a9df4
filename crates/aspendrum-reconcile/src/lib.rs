//! Compares the state that a node has applied with the state that was decided, and repairs a node that diverged.
//!
//! - [`mod@state_digest`] hashes what a node has in force, section by section, out of its own tables and not out of what
//!   was sent to it.
//! - [`majority_report`] is what control's majority last confirmed, and for how long that counts.
//! - [`sync_status`] compares both, and tells whether a node may still run requests that are not idempotent.
//! - [`repair`] chooses the next step for a node whose digests stay different.
//! - [`update_stream`] paces the updates on one connection by what its receiver has applied.
//!
//! The crate does no I/O and reads no clock: callers pass the time in.

pub mod majority_report;
pub mod repair;
pub mod state_digest;
pub mod sync_status;
pub mod update_stream;

pub use aspendrum_model::time::Millis;
pub use majority_report::{MajorityReport, ReportValidity};
pub use repair::{Repair, RepairStep};
pub use state_digest::{state_digest, Section};
pub use sync_status::{SyncAssessment, SyncStatus};
pub use update_stream::UpdateStream;
