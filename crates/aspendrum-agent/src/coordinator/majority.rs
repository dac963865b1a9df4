//! Tracks when a majority of the control nodes' disks was last known to hold nothing newer than the local state.

use aspendrum_reconcile::Millis;

/// The agent considers itself partitioned from the majority if it has received no majority report for this long. A
/// control node that delivers none for this long is abandoned.
pub(super) const MAJORITY_REPORT_TIMEOUT: Millis = 1300.0;
/// The minimum time between two reconnections that are caused by missed updates.
const MIN_RESYNC_INTERVAL: Millis = 1000.0;

/// The majority status reported by control or by another agent.
#[derive(Default)]
pub(super) struct MajorityStatus {
    as_of: Option<Millis>,
    /// When a reconnection was last requested because of a gap; `None` if control's last report matched the local
    /// state.
    gap_handled_at: Option<Millis>,
}

impl MajorityStatus {
    /// Returns the most recent time at which a majority is known to have held nothing newer than the local state.
    pub(super) fn as_of(&self) -> Option<Millis> {
        self.as_of
    }

    /// Whether the last majority report is older than [`MAJORITY_REPORT_TIMEOUT`] or there was none.
    pub(super) fn is_stale(&self, now: Millis) -> bool {
        self.as_of
            .is_none_or(|as_of| now - as_of > MAJORITY_REPORT_TIMEOUT)
    }

    /// Returns [`MajorityStatus::as_of`] unless it is stale.
    pub(super) fn fresh_as_of(&self, now: Millis) -> Option<Millis> {
        self.as_of.filter(|_| !self.is_stale(now))
    }

    /// Records a report by control that the local state matches the decided state.
    pub(super) fn record_current(&mut self, as_of: Option<Millis>) {
        self.gap_handled_at = None;
        self.as_of = latest(self.as_of, as_of);
    }

    /// Records a report by another agent that the local state is current.
    pub(super) fn record_from_peer(&mut self, as_of: Millis) {
        self.as_of = latest(self.as_of, Some(as_of));
    }

    /// Records a report by control that the local state differs from the decided state. Returns whether the connection
    /// should be closed in order to resynchronize, at most once per [`MIN_RESYNC_INTERVAL`].
    pub(super) fn record_gap(&mut self, now: Millis) -> bool {
        let is_due = self
            .gap_handled_at
            .is_none_or(|handled_at| now - handled_at >= MIN_RESYNC_INTERVAL);
        if is_due {
            self.gap_handled_at = Some(now);
        }
        is_due
    }

    /// Whether the local state differs from the decided state, according to control's last report.
    pub(super) fn has_gap(&self) -> bool {
        self.gap_handled_at.is_some()
    }
}

/// Returns the later of two optional times.
pub(super) fn latest(a: Option<Millis>, b: Option<Millis>) -> Option<Millis> {
    a.into_iter().chain(b).reduce(f64::max)
}
