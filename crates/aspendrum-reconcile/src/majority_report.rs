//! Confirmations of the decided state by a majority of control, and their validity.

use aspendrum_model::message::StateDigest;
use aspendrum_model::time::Millis;

/// Reports that a majority of control's disks held no state newer than `decided` at the time `as_of`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MajorityReport {
    /// The newest decided state.
    pub decided: StateDigest,
    /// The time of the confirmation, on the clock of the node that holds the report.
    pub as_of: Millis,
}

/// The validity period of a [`MajorityReport`], starting at its `as_of`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportValidity {
    /// The platform's `apply-ms` minus a margin. A decision is acknowledged after the `as_of` of every report that does
    /// not contain it, so a report expires before the time limit for applying that decision.
    pub normal: Millis,
    /// The validity while at least half of the agents have no valid report. A majority of control is then unreachable
    /// for most of the fleet, and the platform allows an additional `stretch-ms`.
    pub extended: Millis,
}

/// The margin for clock drift and delayed thread wake-ups.
const TIMING_MARGIN: Millis = 250.0;

impl ReportValidity {
    /// Derives the validity from the platform's `apply-ms` and `stretch-ms`.
    pub fn from_limits(apply_ms: Millis, stretch_ms: Millis) -> ReportValidity {
        let normal = (apply_ms - TIMING_MARGIN).max(0.0);
        ReportValidity {
            normal,
            extended: normal + stretch_ms.max(0.0),
        }
    }
}
