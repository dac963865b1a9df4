//! Outlier ejection: failing and hung servers get no requests until they pass probes, and then one
//! request at a time until one succeeds.

use super::DecisionEngine;
use crate::api::{Health, Millis};
use crate::state::server::{EjectionState, HealthSample};

/// The duration of the first ejection. Each consecutive ejection doubles it, up to the maximum.
const MIN_EJECTION_TIME: Millis = 500.0;
const MAX_EJECTION_TIME: Millis = 8000.0;
/// The concurrency limits of a recovered server and of one on probation.
const RECOVERED_LIMIT: f64 = 2.0;
const PROBATION_LIMIT: f64 = 1.0;
/// No more servers are ejected once one in this many ready servers of the pool is unhealthy.
const READY_PER_EJECTED: u32 = 3;

/// State, sample and next state. Combinations that are not listed have no effect. A hung server may
/// pass probes, so a server on probation gets only one request at a time.
const TRANSITIONS: [(EjectionState, HealthSample, EjectionState); 5] = [
    (
        EjectionState::Healthy,
        HealthSample::Failure,
        EjectionState::Ejected,
    ),
    (
        EjectionState::Probation,
        HealthSample::Failure,
        EjectionState::Ejected,
    ),
    (
        EjectionState::Probation,
        HealthSample::Success,
        EjectionState::Healthy,
    ),
    (
        EjectionState::Ejected,
        HealthSample::ProbesPassed,
        EjectionState::Probation,
    ),
    (
        EjectionState::Ejected,
        HealthSample::Success,
        EjectionState::Probation,
    ),
];

impl DecisionEngine {
    /// Ejects the server unless a third of its pool is already unhealthy, in which case the cause
    /// is unlikely to be a single server. A server on probation is always ejected.
    pub(super) fn eject(&mut self, index: usize) {
        let pool = self.servers[index].pool;
        let (mut ready, mut unhealthy) = (0, 0);
        for server in self
            .servers
            .iter()
            .filter(|server| server.pool == pool && server.health == Health::Ready)
        {
            ready += 1;
            unhealthy += u32::from(server.ejection != EjectionState::Healthy);
        }
        let on_probation = self.servers[index].ejection == EjectionState::Probation;
        if READY_PER_EJECTED * unhealthy < ready || on_probation {
            self.apply_health_sample(index, HealthSample::Failure);
        }
    }

    /// Applies the transition table to the server.
    pub(super) fn apply_health_sample(&mut self, index: usize, sample: HealthSample) {
        let server = &mut self.servers[index];
        let transition = TRANSITIONS
            .iter()
            .find(|(state, on, _)| *state == server.ejection && *on == sample);
        let Some(&(_, _, next)) = transition else {
            return;
        };
        server.ejection = next;
        server.failure_score = 0.0;
        server.passed_probes = 0;
        server.concurrency_limit = PROBATION_LIMIT;
        match next {
            EjectionState::Healthy => {
                server.concurrency_limit = RECOVERED_LIMIT;
                server.ejection_time = 0.0;
            }
            EjectionState::Ejected => {
                server.ejected_at = self.now;
                server.ejection_time =
                    (server.ejection_time * 2.0).clamp(MIN_EJECTION_TIME, MAX_EJECTION_TIME);
            }
            EjectionState::Probation => server.response_time = self.fleet.response_time,
        }
    }
}
