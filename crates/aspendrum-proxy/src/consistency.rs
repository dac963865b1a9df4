//! Whether what this proxy has applied is what control has decided. Requests read one small assessment, which expires by
//! itself on the proxy's own clock: a proxy that is cut off needs nobody to tell it to stop.

use aspendrum_model::message::StateDigest;
use aspendrum_net::threads::lock;
use aspendrum_reconcile::{
    state_digest, MajorityReport, Millis, ReportValidity, SyncAssessment, SyncStatus,
};
use std::sync::Mutex;

/// The assessment on this proxy, and what it rests on.
pub struct ConsistencyStatus {
    report_validity: ReportValidity,
    state: Mutex<State>,
}

struct State {
    applied: StateDigest,
    report: Option<MajorityReport>,
    /// Half of the agents or more have no majority's report either.
    most_agents_isolated: bool,
    assessment: SyncAssessment,
    /// As it was logged last.
    logged: SyncStatus,
}

impl ConsistencyStatus {
    /// Nothing is applied and nothing is known. `apply_ms` and `stretch_ms`: the platform's terms, in milliseconds.
    pub fn new(apply_ms: Millis, stretch_ms: Millis) -> ConsistencyStatus {
        let state = State {
            applied: state_digest(None, 0, &[]),
            report: None,
            most_agents_isolated: false,
            assessment: SyncAssessment::UNKNOWN,
            logged: SyncStatus::Isolated,
        };
        ConsistencyStatus {
            report_validity: ReportValidity::from_limits(apply_ms, stretch_ms),
            state: Mutex::new(state),
        }
    }

    /// The digest of the tables that are in force was computed again.
    pub fn record_applied(&self, now: Millis, applied: StateDigest) {
        let mut state = lock(&self.state);
        state.applied = applied;
        state.update_assessment(now, &self.report_validity);
    }

    /// A majority's report came, or none is known. Returns how what is in force compares with this report, whatever
    /// others said.
    pub fn record_report(
        &self,
        now: Millis,
        report: Option<MajorityReport>,
        most_agents_isolated: bool,
    ) -> SyncStatus {
        let mut state = lock(&self.state);
        state.most_agents_isolated = most_agents_isolated;
        let is_newer =
            |held: &MajorityReport| report.is_some_and(|report| report.as_of >= held.as_of);
        if state.report.as_ref().is_none_or(is_newer) {
            state.report = report.or(state.report);
        }
        state.update_assessment(now, &self.report_validity);
        SyncAssessment::new(
            &state.applied,
            report.as_ref(),
            most_agents_isolated,
            &self.report_validity,
        )
        .status
    }

    /// What was in force when the digest was last computed.
    pub fn applied(&self) -> StateDigest {
        lock(&self.state).applied
    }

    /// Whether what is in force is what was decided, by a report that still counts.
    pub fn is_current(&self, now: Millis) -> bool {
        lock(&self.state).assessment.allows_non_idempotent(now)
    }
}

impl State {
    fn update_assessment(&mut self, now: Millis, validity: &ReportValidity) {
        let report = self.report.as_ref();
        self.assessment =
            SyncAssessment::new(&self.applied, report, self.most_agents_isolated, validity);
        let current = self.assessment.status_at(now);
        let previous = std::mem::replace(&mut self.logged, current);
        if current != previous {
            log::info!(
                "event=consistency is={} was={}",
                current.as_str(),
                previous.as_str()
            );
        }
    }
}
