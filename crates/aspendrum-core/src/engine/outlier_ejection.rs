//! Outlier ejection: servers that fail or hang get no requests until they have proved themselves.

use super::DecisionEngine;
use crate::api::{Health, Millis};
use crate::state::server::{EjectionState, HealthSample};

/// The first ejection's time; each one in a row doubles it up to the longest.
const SHORTEST_EJECTION: Millis = 500.0;
const LONGEST_EJECTION: Millis = 8000.0;
/// The concurrency limit of a server that has proved itself, and of one that is to.
const RECOVERED_LIMIT: f64 = 2.0;
const PROBATION_LIMIT: f64 = 1.0;
/// One in so many servers of a pool may be ejected.
const EJECTABLE: u32 = 3;

/// State, sample and next state. Whatever is not listed changes nothing. A hung server passes
/// probes: on probation it gets one request, no more, to prove itself.
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
    /// Ejects the server, unless a third of its pool is not healthy: then the fault is not single
    /// servers', and the rest stays.
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
        if EJECTABLE * unhealthy < ready || on_probation {
            self.apply_health_sample(index, HealthSample::Failure);
        }
    }

    /// Changes the server's state as the table says.
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
                    (server.ejection_time * 2.0).clamp(SHORTEST_EJECTION, LONGEST_EJECTION);
            }
            EjectionState::Probation => server.response_time = self.fleet.response_time,
        }
    }
}
