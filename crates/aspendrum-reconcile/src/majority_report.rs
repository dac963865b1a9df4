//! What a majority of control confirmed, and for how long a node may rely on it.

use aspendrum_model::message::StateDigest;
use aspendrum_model::time::Millis;

/// A report that a majority of control's disks held nothing newer than `decided` at the time `as_of`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MajorityReport {
    /// The newest state that was decided.
    pub decided: StateDigest,
    /// When the majority held nothing newer, on the clock of the node that keeps the report.
    pub as_of: Millis,
}

/// How long a [`MajorityReport`] is valid, counted from its `as_of`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportValidity {
    /// The platform's `apply-ms` less a margin: a decision is acknowledged after the time of any report that
    /// does not contain it.
    pub normal: Millis,
    /// The same while half of the agents or more have no valid report either. A majority of control is then out of
    /// reach for most of the fleet, and the platform allows `stretch-ms` more.
    pub extended: Millis,
}

/// What clock drift and threads that wake late may take of the allowed time.
const TIMING_MARGIN: Millis = 250.0;

impl ReportValidity {
    /// The validity that follows from the platform's `apply-ms` and `stretch-ms`.
    pub fn from_limits(apply_ms: Millis, stretch_ms: Millis) -> ReportValidity {
        let normal = (apply_ms - TIMING_MARGIN).max(0.0);
        ReportValidity {
            normal,
            extended: normal + stretch_ms.max(0.0),
        }
    }
}
