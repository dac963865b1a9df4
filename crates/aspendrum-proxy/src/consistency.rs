//! Compares the state applied by this proxy with the state decided by control. Requests read a small assessment that
//! expires on the proxy's own clock, so an isolated proxy stops relying on its state without being notified.

use aspendrum_model::message::StateDigest;
use aspendrum_net::threads::lock;
use aspendrum_reconcile::{
    state_digest, MajorityReport, Millis, ReportValidity, SyncAssessment, SyncStatus,
};
use std::sync::Mutex;

/// The assessment of this proxy's state, and its inputs.
pub struct ConsistencyStatus {
    report_validity: ReportValidity,
    state: Mutex<State>,
}

struct State {
    applied: StateDigest,
    report: Option<MajorityReport>,
    /// Whether at least half of the agents have no report from a majority either.
    half_of_agents_isolated: bool,
    assessment: SyncAssessment,
    /// The status last logged.
    logged_status: SyncStatus,
}

impl ConsistencyStatus {
    /// Creates the status of a proxy without any state or report. `apply_ms` and `stretch_ms` are limits of the
    /// platform's terms, in milliseconds.
    pub fn new(apply_ms: Millis, stretch_ms: Millis) -> ConsistencyStatus {
        let state = State {
            applied: state_digest(None, 0, &[]),
            report: None,
            half_of_agents_isolated: false,
            assessment: SyncAssessment::UNKNOWN,
            logged_status: SyncStatus::Isolated,
        };
        ConsistencyStatus {
            report_validity: ReportValidity::from_limits(apply_ms, stretch_ms),
            state: Mutex::new(state),
        }
    }

    /// Records the digest of the active tables.
    pub fn record_applied(&self, now: Millis, applied: StateDigest) {
        let mut state = lock(&self.state);
        state.applied = applied;
        state.update_assessment(now, &self.report_validity);
    }

    /// Records a majority's report, or that none is known. Returns how the active state compares with this
    /// report alone, regardless of earlier reports.
    pub fn record_report(
        &self,
        now: Millis,
        report: Option<MajorityReport>,
        half_of_agents_isolated: bool,
    ) -> SyncStatus {
        let mut state = lock(&self.state);
        state.half_of_agents_isolated = half_of_agents_isolated;
        let is_newer =
            |current: &MajorityReport| report.is_some_and(|report| report.as_of >= current.as_of);
        if state.report.as_ref().is_none_or(is_newer) {
            state.report = report.or(state.report);
        }
        state.update_assessment(now, &self.report_validity);
        SyncAssessment::new(
            &state.applied,
            report.as_ref(),
            half_of_agents_isolated,
            &self.report_validity,
        )
        .status
    }

    /// Returns the last recorded digest of the active tables.
    pub fn applied(&self) -> StateDigest {
        lock(&self.state).applied
    }

    /// Whether the active state is the decided one according to a report that has not expired.
    pub fn is_current(&self, now: Millis) -> bool {
        lock(&self.state).assessment.allows_non_idempotent(now)
    }
}

impl State {
    fn update_assessment(&mut self, now: Millis, validity: &ReportValidity) {
        let report = self.report.as_ref();
        self.assessment = SyncAssessment::new(
            &self.applied,
            report,
            self.half_of_agents_isolated,
            validity,
        );
        let current = self.assessment.status_at(now);
        let previous = std::mem::replace(&mut self.logged_status, current);
        if current != previous {
            log::info!(
                "event=consistency is={} was={}",
                current.as_str(),
                previous.as_str()
            );
        }
    }
}
