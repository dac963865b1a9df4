//! The circuit breaker of the shared counter.

use crate::api::Millis;

/// How often the counter is probed while the breaker is open.
pub(crate) const PROBE_INTERVAL: Millis = 1000.0;
/// Failures in a row that open the breaker. Three let it swing open on a counter that still
/// answered most calls.
const FAILURE_THRESHOLD: u32 = 5;

/// Whether the shared counter is called.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub(crate) enum BreakerState {
    /// Calls go out.
    #[default]
    Closed,
    /// Only probes go out; instances decide by themselves.
    Open,
}

/// What changes the breaker's state.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum BreakerEvent {
    FailureThresholdReached,
    ProbeAnswered,
}

/// What a change of state asks for.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum BreakerEffect {
    ScheduleProbe,
    ReplayGrants,
}

/// State, event, next state and effect. Whatever is not listed changes nothing.
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

/// The breaker, and the probe that closes it.
#[derive(Default)]
pub(crate) struct CircuitBreaker {
    state: BreakerState,
    /// Failures since the counter last answered.
    failures: u32,
    /// The tenant whose count is read to probe the counter, by its index.
    pub(crate) probe_tenant: usize,
    next_probe_at: Millis,
    probe_in_flight: bool,
}

impl CircuitBreaker {
    /// The counter is called.
    pub(crate) fn is_closed(&self) -> bool {
        self.state == BreakerState::Closed
    }

    /// The last call failed.
    pub(crate) fn has_failures(&self) -> bool {
        self.failures > 0
    }

    /// The counter answered.
    pub(crate) fn clear_failures(&mut self) {
        self.failures = 0;
    }

    /// Counts a failure, if it is one; whether a closed breaker is to open.
    pub(crate) fn count_failure(&mut self, is_failure: bool) -> bool {
        self.failures += u32::from(is_failure);
        self.failures >= FAILURE_THRESHOLD && self.is_closed()
    }

    /// Changes state as the table says; what that asks for.
    pub(crate) fn apply(&mut self, event: BreakerEvent) -> Option<BreakerEffect> {
        let (_, _, next, effect) = *TRANSITIONS
            .iter()
            .find(|(state, on, ..)| *state == self.state && *on == event)?;
        self.state = next;
        Some(effect)
    }

    /// The next probe goes out in one interval.
    pub(crate) fn schedule_probe(&mut self, now: Millis) {
        self.next_probe_at = now + PROBE_INTERVAL;
    }

    /// Whether a probe is to be sent now. If so, it counts as sent.
    pub(crate) fn start_probe(&mut self, now: Millis) -> bool {
        let due = !self.probe_in_flight && now >= self.next_probe_at;
        if self.is_closed() || !due {
            return false;
        }
        self.probe_in_flight = true;
        self.schedule_probe(now);
        true
    }

    /// A probe was answered or failed.
    pub(crate) fn probe_ended(&mut self) {
        self.probe_in_flight = false;
    }
}
