//! How this proxy stands to what was decided, as its queries read it: one small verdict with an end.

use aspendrum_model::message::StateDigest;
use aspendrum_net::threads::lock;
use aspendrum_reconcile::{
    state_digest, MajorityReport, Millis, ReportValidity, SyncAssessment, SyncStatus,
};
use std::sync::Mutex;

pub struct Stand {
    bounds: ReportValidity,
    inner: Mutex<Inner>,
}

struct Inner {
    applied: StateDigest,
    word: Option<MajorityReport>,
    deserted: bool,
    verdict: SyncAssessment,
    /// As it was logged last.
    shown: SyncStatus,
}

impl Stand {
    pub fn new(apply_ms: Millis, stretch_ms: Millis) -> Stand {
        let (applied, word, deserted) = (state_digest(None, 0, &[]), None, false);
        let inner = Inner {
            applied,
            word,
            deserted,
            verdict: SyncAssessment::UNKNOWN,
            shown: SyncStatus::Isolated,
        };
        Stand {
            bounds: ReportValidity::from_limits(apply_ms, stretch_ms),
            inner: Mutex::new(inner),
        }
    }

    /// The tables were collated: that is in force.
    pub fn applied(&self, now: Millis, applied: StateDigest) {
        let mut inner = lock(&self.inner);
        inner.applied = applied;
        self.judge(now, &mut inner);
    }

    /// A majority's word came, or none is known. How what is in force stands to that word, whatever others said.
    pub fn told(&self, now: Millis, word: Option<MajorityReport>, deserted: bool) -> SyncStatus {
        let mut inner = lock(&self.inner);
        inner.deserted = deserted;
        let newer = |held: &MajorityReport| word.is_some_and(|w| w.as_of >= held.as_of);
        if inner.word.as_ref().is_none_or(newer) {
            inner.word = word.or(inner.word);
        }
        self.judge(now, &mut inner);
        SyncAssessment::new(&inner.applied, word.as_ref(), deserted, &self.bounds).status
    }

    fn judge(&self, now: Millis, inner: &mut Inner) {
        inner.verdict = SyncAssessment::new(
            &inner.applied,
            inner.word.as_ref(),
            inner.deserted,
            &self.bounds,
        );
        let is = inner.verdict.status_at(now);
        let was = std::mem::replace(&mut inner.shown, is);
        if is != was {
            log::info!("event=standing is={} was={}", is.as_str(), was.as_str());
        }
    }

    pub fn edition(&self) -> StateDigest {
        lock(&self.inner).applied
    }

    /// Whether a once-only query may leave for a server now.
    pub fn runs_once_only(&self, now: Millis) -> bool {
        lock(&self.inner).verdict.allows_non_idempotent(now)
    }
}
