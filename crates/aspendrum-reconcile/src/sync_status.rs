//! Whether a node has applied what was decided, and until when it may rely on that.
//!
//! An assessment rests on a [`MajorityReport`] and expires by itself on the node's monotonic clock: a node that receives
//! nothing, sleeps or is partitioned off stops by itself, without a message that tells it to.

use crate::majority_report::{MajorityReport, ReportValidity};
use aspendrum_model::message::StateDigest;
use aspendrum_model::time::Millis;

/// How the state that a node applied relates to the state that was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SyncStatus {
    /// The node applied what was decided.
    Current,
    /// Something newer was decided.
    Behind,
    /// The node applied that revision, but with other contents.
    Diverged,
    /// The node has no valid majority report.
    Isolated,
}

impl SyncStatus {
    /// The status in reports and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            SyncStatus::Current => "current",
            SyncStatus::Behind => "behind",
            SyncStatus::Diverged => "differs",
            SyncStatus::Isolated => "alone",
        }
    }
}

/// A node's status and its expiry, by which the node acts without asking anybody.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SyncAssessment {
    /// The status until the expiry.
    pub status: SyncStatus,
    /// From this time on the node is [`SyncStatus::Isolated`], whatever its status was.
    pub valid_until: Millis,
}

impl SyncAssessment {
    /// The assessment of a node that has had no majority report.
    pub const UNKNOWN: SyncAssessment = SyncAssessment {
        status: SyncStatus::Isolated,
        valid_until: f64::NEG_INFINITY,
    };

    /// Compares what a node applied with the last majority report.
    ///
    /// `most_agents_isolated`: half of the agents or more have no valid report either.
    pub fn new(
        applied: &StateDigest,
        report: Option<&MajorityReport>,
        most_agents_isolated: bool,
        validity: &ReportValidity,
    ) -> SyncAssessment {
        let Some(report) = report else {
            return SyncAssessment::UNKNOWN;
        };
        let valid_for = if most_agents_isolated {
            validity.extended
        } else {
            validity.normal
        };
        SyncAssessment {
            status: compare(applied, &report.decided),
            valid_until: report.as_of + valid_for,
        }
    }

    /// The status at the time `now`.
    pub fn status_at(&self, now: Millis) -> SyncStatus {
        if now < self.valid_until {
            self.status
        } else {
            SyncStatus::Isolated
        }
    }

    /// Whether a request that is not idempotent may run now. Idempotent requests run whatever the status: one that took
    /// an outdated route may be retried.
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
    // A node that applied more than the report contains is current: only decided state is ever sent to nodes.
    SyncStatus::Current
}
