//! Automatic repair of a node whose applied state remains different from the decided state.
//!
//! The repair escalates: first the differing sections are resent, then a full snapshot, and then the node rebuilds its
//! tables from the next snapshot, whatever its version. The first steps follow at short intervals, later ones with
//! exponential backoff. If no step succeeds, one alert is raised.

use crate::state_digest::Section;
use crate::sync_status::SyncStatus;
use aspendrum_model::time::Millis;

/// A step of the repair of a node.
#[derive(Clone, Debug, PartialEq)]
pub enum RepairStep {
    /// Resend these sections.
    ResendSections(Vec<Section>),
    /// Send a snapshot of the decided state.
    SendSnapshot,
    /// Make the node rebuild its tables from the next snapshot, whatever its version, and send that snapshot.
    Resync,
    /// Alert the operators, once per repair: no step has succeeded. All later steps are [`RepairStep::Resync`].
    Alert,
}

/// The time to wait before the first step and for the effect of a step. An update in flight makes a node appear behind
/// briefly, and the effect of a step is visible only in the next heartbeats of the node.
const STEP_INTERVAL: Millis = 600.0;
/// The number of previous steps up to which a step is followed by a single [`STEP_INTERVAL`]. With each further step
/// the interval doubles.
const STEPS_BEFORE_BACKOFF: u32 = 2;
/// The maximum number of times that the interval is doubled.
const MAX_DOUBLINGS: u32 = 4;
/// Each step whose number is a multiple of this value is a [`RepairStep::Resync`], as are all steps after the alert.
const STEPS_PER_RESYNC: u32 = 3;

/// The state of the repair of one node.
#[derive(Clone, Debug, Default)]
pub struct Repair {
    out_of_sync_since: Option<Millis>,
    next_step_at: Millis,
    steps_taken: u32,
    has_alerted: bool,
    /// When the last repair ended: the time at which the node was current or isolated after at least one step.
    pub last_ended: Option<Millis>,
    /// The number of repairs that have ended.
    pub ended: u32,
}

impl Repair {
    /// Updates the repair with the node's current status and the sections in which the node differs. Returns the step
    /// that is due, if any.
    pub fn next_step(
        &mut self,
        now: Millis,
        status: SyncStatus,
        differing: &[Section],
    ) -> Option<RepairStep> {
        if matches!(status, SyncStatus::Current | SyncStatus::Isolated) {
            self.finish(now);
            return None;
        }
        if self.out_of_sync_since.is_none() {
            self.out_of_sync_since = Some(now);
            self.next_step_at = now + STEP_INTERVAL;
        }
        if now < self.next_step_at {
            return None;
        }
        self.next_step_at = now + self.interval();
        self.steps_taken += 1;
        Some(self.select_step(differing))
    }

    /// Returns the time since which the node has been continuously out of sync.
    pub fn out_of_sync_since(&self) -> Option<Millis> {
        self.out_of_sync_since
    }

    fn finish(&mut self, now: Millis) {
        let was_out_of_sync = self.out_of_sync_since.take().is_some();
        if was_out_of_sync && self.steps_taken > 0 {
            self.last_ended = Some(now);
            self.ended += 1;
        }
        self.steps_taken = 0;
        self.has_alerted = false;
    }

    fn interval(&self) -> Millis {
        let doublings = self
            .steps_taken
            .saturating_sub(STEPS_BEFORE_BACKOFF)
            .min(MAX_DOUBLINGS);
        STEP_INTERVAL * 2f64.powi(doublings as i32)
    }

    fn select_step(&mut self, differing: &[Section]) -> RepairStep {
        match self.steps_taken {
            1 if !differing.is_empty() => RepairStep::ResendSections(differing.to_vec()),
            1 | 2 => RepairStep::SendSnapshot,
            step if step % STEPS_PER_RESYNC == 0 || self.has_alerted => RepairStep::Resync,
            _ => {
                self.has_alerted = true;
                RepairStep::Alert
            }
        }
    }
}
