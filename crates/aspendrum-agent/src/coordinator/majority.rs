//! Since when a majority of control's disks is known to hold nothing newer than what is held here.

use aspendrum_reconcile::Millis;

/// Time-out of majority reports: without one within this time the agent considers itself partitioned from the majority,
/// and connects to another control node.
pub(super) const STALE_AFTER: Millis = 1300.0;
/// Between two connections that are ended because an update was missed.
const RESYNC_EVERY: Millis = 1000.0;

/// What is known of control's majority, whether control or a neighbour reported it.
#[derive(Default)]
pub(super) struct MajorityStatus {
    as_of: Option<Millis>,
    /// Something else was decided than what is held here, by control's last report; since when a connection was last
    /// ended for that.
    gap_handled_at: Option<Millis>,
}

impl MajorityStatus {
    /// A majority held nothing above what is held here then.
    pub(super) fn as_of(&self) -> Option<Millis> {
        self.as_of
    }

    /// No report has come for too long.
    pub(super) fn is_stale(&self, now: Millis) -> bool {
        self.as_of.is_none_or(|as_of| now - as_of > STALE_AFTER)
    }

    /// [`MajorityStatus::as_of`], unless it is stale.
    pub(super) fn fresh_as_of(&self, now: Millis) -> Option<Millis> {
        self.as_of.filter(|_| !self.is_stale(now))
    }

    /// Control reports that what is held here is what was decided.
    pub(super) fn record_current(&mut self, as_of: Option<Millis>) {
        self.gap_handled_at = None;
        self.as_of = latest(self.as_of, as_of);
    }

    /// Another agent reports the same.
    pub(super) fn record_from_peer(&mut self, as_of: Millis) {
        self.as_of = latest(self.as_of, Some(as_of));
    }

    /// Control reports that something else was decided. Returns whether a connection is to be ended for that.
    pub(super) fn record_gap(&mut self, now: Millis) -> bool {
        let is_due = self
            .gap_handled_at
            .is_none_or(|handled_at| now - handled_at >= RESYNC_EVERY);
        if is_due {
            self.gap_handled_at = Some(now);
        }
        is_due
    }

    /// By control's last report something is missing here.
    pub(super) fn has_gap(&self) -> bool {
        self.gap_handled_at.is_some()
    }
}

/// The later of two moments, where they are known.
pub(super) fn latest(one: Option<Millis>, other: Option<Millis>) -> Option<Millis> {
    one.into_iter().chain(other).reduce(f64::max)
}
