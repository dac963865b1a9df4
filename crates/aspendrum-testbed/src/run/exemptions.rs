//! Periods in which a limiter is exempt from some rules because an injected fault affects it.

use aspendrum_checker::limiter::ExemptPeriod;
use aspendrum_checker::Millis;
use aspendrum_fake_services::lock;
use std::sync::Mutex;

/// The exempt periods of a run.
#[derive(Default)]
pub(super) struct Exemptions(Mutex<Vec<ExemptPeriod>>);

impl Exemptions {
    /// Exempts a limiter from `from` until [`Exemptions::end`].
    pub(super) fn begin(&self, limiter: usize, from: Millis) {
        self.add(ExemptPeriod {
            limiter,
            server: None,
            from,
            to: f64::INFINITY,
        });
    }

    /// Ends the open exemption of a limiter that serves queries again.
    pub(super) fn end(&self, limiter: usize, now: Millis) {
        let is_open = |period: &&mut ExemptPeriod| {
            period.limiter == limiter && period.server.is_none() && period.to == f64::INFINITY
        };
        lock(&self.0)
            .iter_mut()
            .filter(is_open)
            .for_each(|period| period.to = now);
    }

    /// Adds a period.
    pub(super) fn add(&self, period: ExemptPeriod) {
        lock(&self.0).push(period);
    }

    /// Returns all periods added so far.
    pub(super) fn periods(&self) -> Vec<ExemptPeriod> {
        lock(&self.0).clone()
    }
}
