//! Whether what this proxy has applied is what control has decided. Requests read one small verdict, which expires by
//! itself on the proxy's own clock: a proxy that is cut off needs nobody to tell it to stop.

use aspendrum_model::message::StateDigest;
use aspendrum_net::threads::lock;
use aspendrum_reconcile::{edition, Bounds, Ms, Standing, Verdict, Word};
use std::sync::Mutex;

/// The verdict on this proxy, and what it rests on.
pub struct ConsistencyStatus {
    bounds: Bounds,
    state: Mutex<State>,
}

struct State {
    applied: StateDigest,
    report: Option<Word>,
    /// Half of the agents or more have no majority's report either.
    most_agents_isolated: bool,
    verdict: Verdict,
    /// As it was logged last.
    logged: Standing,
}

impl ConsistencyStatus {
    /// Nothing is applied and nothing is known. `apply_ms` and `stretch_ms`: the platform's terms, in milliseconds.
    pub fn new(apply_ms: Ms, stretch_ms: Ms) -> ConsistencyStatus {
        let state = State {
            applied: edition(None, 0, &[]),
            report: None,
            most_agents_isolated: false,
            verdict: Verdict::NONE,
            logged: Standing::Alone,
        };
        ConsistencyStatus {
            bounds: Bounds::of(apply_ms, stretch_ms),
            state: Mutex::new(state),
        }
    }

    /// The digest of the tables that are in force was computed again.
    pub fn record_applied(&self, now: Ms, applied: StateDigest) {
        let mut state = lock(&self.state);
        state.applied = applied;
        state.update_verdict(now, &self.bounds);
    }

    /// A majority's report came, or none is known. Returns how what is in force compares with this report, whatever
    /// others said.
    pub fn record_report(
        &self,
        now: Ms,
        report: Option<Word>,
        most_agents_isolated: bool,
    ) -> Standing {
        let mut state = lock(&self.state);
        state.most_agents_isolated = most_agents_isolated;
        let is_newer = |held: &Word| report.is_some_and(|report| report.as_of >= held.as_of);
        if state.report.as_ref().is_none_or(is_newer) {
            state.report = report.or(state.report);
        }
        state.update_verdict(now, &self.bounds);
        Verdict::of(
            &state.applied,
            report.as_ref(),
            most_agents_isolated,
            &self.bounds,
        )
        .standing
    }

    /// What was in force when the digest was last computed.
    pub fn applied(&self) -> StateDigest {
        lock(&self.state).applied
    }

    /// Whether a request that must run at most once may leave for a server now.
    pub fn allows_once_only(&self, now: Ms) -> bool {
        lock(&self.state).verdict.runs_once_only(now)
    }
}

impl State {
    fn update_verdict(&mut self, now: Ms, bounds: &Bounds) {
        let report = self.report.as_ref();
        self.verdict = Verdict::of(&self.applied, report, self.most_agents_isolated, bounds);
        let current = self.verdict.at(now);
        let previous = std::mem::replace(&mut self.logged, current);
        if current != previous {
            log::info!(
                "event=consistency is={} was={}",
                current.word(),
                previous.word()
            );
        }
    }
}
