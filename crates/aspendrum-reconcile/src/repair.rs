//! Automatic repair of a node whose applied state stays different from what was decided.
//!
//! The steps grow in strength: the sections that differ are sent again, then everything, then the node discards its
//! tables and is filled from nothing. The first steps follow each other quickly, later ones with exponential backoff,
//! and a node that no step repairs raises one alert.

use crate::state_digest::Section;
use crate::sync_status::SyncStatus;
use aspendrum_model::time::Millis;

/// What is to be done about a node now.
#[derive(Clone, Debug, PartialEq)]
pub enum RepairStep {
    /// Send these sections again.
    ResendSections(Vec<Section>),
    /// Send all that is decided.
    SendSnapshot,
    /// Have the node discard what it applied, then send a snapshot.
    Resync,
    /// No step helped: alert the operators, once. The steps begin again.
    Alert,
}

/// How long the effect of a step is waited for. An update that is on its way makes a node look behind for a moment, and
/// the effect of a step shows in the node's next heartbeats.
const STEP_INTERVAL: Millis = 600.0;
/// Steps that follow each other after one interval; from then on the interval doubles with each step.
const STEPS_BEFORE_BACKOFF: u32 = 2;
/// The longest interval is 2 to this power of [`STEP_INTERVAL`].
const MAX_DOUBLINGS: u32 = 4;
/// Every so many steps the node's tables are rebuilt.
const STEPS_PER_RESYNC: u32 = 3;

/// The progress of one node's repair.
#[derive(Clone, Debug, Default)]
pub struct Repair {
    out_of_sync_since: Option<Millis>,
    next_step_at: Millis,
    steps_taken: u32,
    alerted: bool,
    /// When the last repair was complete.
    pub last_completed: Option<Millis>,
    /// How many repairs were completed.
    pub completed: u32,
}

impl Repair {
    /// Considers the node's present status and the sections in which it differs; returns the step that is due, if any.
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
        Some(self.choose(differing))
    }

    /// Since when the node has been out of sync, without a break.
    pub fn out_of_sync_since(&self) -> Option<Millis> {
        self.out_of_sync_since
    }

    fn finish(&mut self, now: Millis) {
        let was_out_of_sync = self.out_of_sync_since.take().is_some();
        if was_out_of_sync && self.steps_taken > 0 {
            self.last_completed = Some(now);
            self.completed += 1;
        }
        self.steps_taken = 0;
        self.alerted = false;
    }

    fn interval(&self) -> Millis {
        let doublings = self
            .steps_taken
            .saturating_sub(STEPS_BEFORE_BACKOFF)
            .min(MAX_DOUBLINGS);
        STEP_INTERVAL * 2f64.powi(doublings as i32)
    }

    fn choose(&mut self, differing: &[Section]) -> RepairStep {
        match self.steps_taken {
            1 if !differing.is_empty() => RepairStep::ResendSections(differing.to_vec()),
            1 | 2 => RepairStep::SendSnapshot,
            step if step % STEPS_PER_RESYNC == 0 || self.alerted => RepairStep::Resync,
            _ => {
                self.alerted = true;
                RepairStep::Alert
            }
        }
    }
}
