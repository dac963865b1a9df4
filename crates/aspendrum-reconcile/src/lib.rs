//! Compares the applied state of a node with the decided state, and repairs diverged nodes.
//!
//! - [`mod@state_digest`] computes a digest of each section of a node's applied state, from the node's own tables
//!   rather than from the received updates.
//! - [`majority_report`] contains the last confirmation of the decided state by a majority of control, and its
//!   validity.
//! - [`sync_status`] compares both, and determines whether a node may run non-idempotent requests.
//! - [`repair`] selects the next repair step for a node whose digests remain different.
//! - [`update_stream`] implements flow control for the updates on one connection.
//!
//! The crate does no I/O and reads no clock: callers pass in the time.

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
