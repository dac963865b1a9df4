//! The circuit breaker of the shared counter.

use crate::api::Millis;

/// How often the counter is probed while the breaker is open.
pub(crate) const PROBE_INTERVAL: Millis = 1000.0;
/// Consecutive failures that open the breaker. A threshold of 3 opened it on a counter that still
/// answered most calls.
const FAILURE_THRESHOLD: u32 = 5;

/// Whether the shared counter is called.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub(crate) enum BreakerState {
    /// Calls are sent.
    #[default]
    Closed,
    /// Only probes are sent; each instance decides locally.
    Open,
}

/// An event that may change the breaker's state.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum BreakerEvent {
    FailureThresholdReached,
    ProbeAnswered,
}

/// The side effect of a state transition.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum BreakerEffect {
    ScheduleProbe,
    ReplayGrants,
}

/// State, event, next state and effect. Combinations that are not listed have no effect.
const TRANSITIONS: [(BreakerState, BreakerEvent, BreakerState, BreakerEffect); 2] = [
    (
        BreakerState::Closed,
        BreakerEvent::FailureThresholdReached,
        BreakerState::Open,
        BreakerEffect::ScheduleProbe,
    ),
    (
        BreakerState::Open,
        BreakerEvent::ProbeAnswered,
        BreakerState::Closed,
        BreakerEffect::ReplayGrants,
    ),
];

/// The circuit breaker and the state of its probe.
#[derive(Default)]
pub(crate) struct CircuitBreaker {
    state: BreakerState,
    /// Failures since the counter's last successful reply.
    failures: u32,
    /// The index of the tenant whose count is read to probe the counter.
    pub(crate) probe_tenant: usize,
    next_probe_at: Millis,
    probe_in_flight: bool,
}

impl CircuitBreaker {
    /// Whether calls are sent.
    pub(crate) fn is_closed(&self) -> bool {
        self.state == BreakerState::Closed
    }

    /// Whether a call has failed since the last successful reply.
    pub(crate) fn has_failures(&self) -> bool {
        self.failures > 0
    }

    /// Resets the failure count after a successful reply.
    pub(crate) fn clear_failures(&mut self) {
        self.failures = 0;
    }

    /// Counts a failure if it is new. Returns whether a closed breaker has reached the failure
    /// threshold.
    pub(crate) fn count_failure(&mut self, is_new: bool) -> bool {
        self.failures += u32::from(is_new);
        self.failures >= FAILURE_THRESHOLD && self.is_closed()
    }

    /// Applies the transition table and returns the effect of the transition, if any.
    pub(crate) fn apply(&mut self, event: BreakerEvent) -> Option<BreakerEffect> {
        let (_, _, next, effect) = *TRANSITIONS
            .iter()
            .find(|(state, on, ..)| *state == self.state && *on == event)?;
        self.state = next;
        Some(effect)
    }

    /// Schedules the next probe after one interval.
    pub(crate) fn schedule_probe(&mut self, now: Millis) {
        self.next_probe_at = now + PROBE_INTERVAL;
    }

    /// Whether a probe is due. If so, it is marked as in flight.
    pub(crate) fn start_probe(&mut self, now: Millis) -> bool {
        let due = !self.probe_in_flight && now >= self.next_probe_at;
        if self.is_closed() || !due {
            return false;
        }
        self.probe_in_flight = true;
        self.schedule_probe(now);
        true
    }

    /// Marks the probe as no longer in flight, after a reply or a failure.
    pub(crate) fn finish_probe(&mut self) {
        self.probe_in_flight = false;
    }
}
