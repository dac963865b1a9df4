//! How this proxy stands to what was decided, as its queries read it: one small verdict with an end.

use aspendrum_model::message::StateDigest;
use aspendrum_net::threads::lock;
use aspendrum_reconcile::{edition, Bounds, Ms, Standing, Verdict, Word};
use std::sync::Mutex;

pub struct Stand {
    bounds: Bounds,
    inner: Mutex<Inner>,
}

struct Inner {
    applied: StateDigest,
    word: Option<Word>,
    deserted: bool,
    verdict: Verdict,
    /// As it was logged last.
    shown: Standing,
}

impl Stand {
    pub fn new(apply_ms: Ms, stretch_ms: Ms) -> Stand {
        let (applied, word, deserted) = (edition(None, 0, &[]), None, false);
        let inner = Inner {
            applied,
            word,
            deserted,
            verdict: Verdict::NONE,
            shown: Standing::Alone,
        };
        Stand {
            bounds: Bounds::of(apply_ms, stretch_ms),
            inner: Mutex::new(inner),
        }
    }

    /// The tables were collated: that is in force.
    pub fn applied(&self, now: Ms, applied: StateDigest) {
        let mut inner = lock(&self.inner);
        inner.applied = applied;
        self.judge(now, &mut inner);
    }

    /// A majority's word came, or none is known. How what is in force stands to that word, whatever others said.
    pub fn told(&self, now: Ms, word: Option<Word>, deserted: bool) -> Standing {
        let mut inner = lock(&self.inner);
        inner.deserted = deserted;
        let newer = |held: &Word| word.is_some_and(|w| w.as_of >= held.as_of);
        if inner.word.as_ref().is_none_or(newer) {
            inner.word = word.or(inner.word);
        }
        self.judge(now, &mut inner);
        Verdict::of(&inner.applied, word.as_ref(), deserted, &self.bounds).standing
    }

    fn judge(&self, now: Ms, inner: &mut Inner) {
        inner.verdict = Verdict::of(
            &inner.applied,
            inner.word.as_ref(),
            inner.deserted,
            &self.bounds,
        );
        let is = inner.verdict.at(now);
        let was = std::mem::replace(&mut inner.shown, is);
        if is != was {
            log::info!("event=standing is={} was={}", is.word(), was.word());
        }
    }

    pub fn edition(&self) -> StateDigest {
        lock(&self.inner).applied
    }

    /// Whether a once-only query may leave for a server now.
    pub fn runs_once_only(&self, now: Ms) -> bool {
        lock(&self.inner).verdict.runs_once_only(now)
    }
}
