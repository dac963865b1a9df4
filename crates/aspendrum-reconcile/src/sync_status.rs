//! Determines whether a node has applied the decided state, and until when this assessment is valid.
//!
//! An assessment is based on a [`MajorityReport`] and expires on the node's monotonic clock. A node that is
//! partitioned, suspended or receives no messages therefore stops running non-idempotent requests without being
//! notified.

use crate::majority_report::{MajorityReport, ReportValidity};
use aspendrum_model::message::StateDigest;
use aspendrum_model::time::Millis;

/// The relation of the applied state of a node to the decided state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SyncStatus {
    /// The node has applied the decided state.
    Current,
    /// A newer state was decided.
    Behind,
    /// The node has applied the decided revision, but with different contents.
    Diverged,
    /// The node has no valid majority report.
    Isolated,
}

impl SyncStatus {
    /// Returns the name of the status in reports and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            SyncStatus::Current => "current",
            SyncStatus::Behind => "behind",
            SyncStatus::Diverged => "differs",
            SyncStatus::Isolated => "alone",
        }
    }
}

/// A node's status and its expiry, which let the node decide locally which requests it may run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SyncAssessment {
    /// The status until the expiry.
    pub status: SyncStatus,
    /// The time from which the node is [`SyncStatus::Isolated`], regardless of `status`.
    pub valid_until: Millis,
}

impl SyncAssessment {
    /// The assessment of a node without a majority report.
    pub const UNKNOWN: SyncAssessment = SyncAssessment {
        status: SyncStatus::Isolated,
        valid_until: f64::NEG_INFINITY,
    };

    /// Compares the applied state of a node with the last majority report.
    ///
    /// `half_of_agents_isolated` states whether at least half of the agents have no valid report.
    pub fn new(
        applied: &StateDigest,
        report: Option<&MajorityReport>,
        half_of_agents_isolated: bool,
        validity: &ReportValidity,
    ) -> SyncAssessment {
        let Some(report) = report else {
            return SyncAssessment::UNKNOWN;
        };
        let valid_for = if half_of_agents_isolated {
            validity.extended
        } else {
            validity.normal
        };
        SyncAssessment {
            status: compare(applied, &report.decided),
            valid_until: report.as_of + valid_for,
        }
    }

    /// Returns the status at the time `now`.
    pub fn status_at(&self, now: Millis) -> SyncStatus {
        if now < self.valid_until {
            self.status
        } else {
            SyncStatus::Isolated
        }
    }

    /// Whether non-idempotent requests may run at the time `now`. Idempotent requests may always run, because they can
    /// be retried if they took an outdated route.
    pub fn allows_non_idempotent(&self, now: Millis) -> bool {
        self.status_at(now) == SyncStatus::Current
    }
}

fn compare(applied: &StateDigest, decided: &StateDigest) -> SyncStatus {
    if !applied.revision.covers(&decided.revision) {
        return SyncStatus::Behind;
    }
    if applied.revision == decided.revision && applied.digests != decided.digests {
        return SyncStatus::Diverged;
    }
    // A node that has applied a newer state than the report is current, because only decided state is sent to nodes.
    SyncStatus::Current
}
