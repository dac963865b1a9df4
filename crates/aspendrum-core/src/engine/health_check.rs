//! Active health checks, load reports and the detection of hung servers.

use super::DecisionEngine;
use crate::api::{Action, Health, LoadReport, Millis, Outcome, ServerId};
use crate::state::server::{EjectionState, HealthSample};

/// Reported load is clamped to this value.
const MAX_LOAD: f64 = 5.0;
/// The number of consecutive successful probes that end an ejection.
const REQUIRED_PROBES: u32 = 2;
/// A server counts as hung if it answers nothing for this many mean response times of the fleet.
const HANG_RESPONSE_TIMES: f64 = 8.0;
const PROBE_INTERVAL: Millis = 500.0;
const PROBE_INTERVAL_EJECTED: Millis = 250.0;
/// The fraction by which a server's estimates decay to the fleet's statistics per tick. An idle
/// server's response time decays to half of the fleet's.
const DECAY_PER_TICK: f64 = 0.000_3;
const IDLE_RESPONSE_TIME_SHARE: f64 = 0.5;

impl DecisionEngine {
    /// Records a server's load report. A missing or unreadable value changes nothing.
    pub(super) fn record_load_report(&mut self, index: usize, load: &LoadReport) {
        let is_present =
            |index: &usize| *index < usize::from(load.count) && !load.values[*index].is_nan();
        let Some(load_index) = self.params.load_index.filter(is_present) else {
            return;
        };
        let reported_load = f64::from(load.values[load_index]).clamp(0.0, MAX_LOAD);
        self.servers[index].reported_load = reported_load;
        self.fleet.record_load(reported_load);
    }

    /// Handles the outcome of a probe.
    pub(super) fn handle_probe_result(
        &mut self,
        id: ServerId,
        outcome: Outcome,
        load: &LoadReport,
    ) {
        let Some(index) = self.servers.find(u64::from(id)) else {
            return;
        };
        self.record_load_report(index, load);
        let server = &mut self.servers[index];
        server.probe_in_flight = false;
        server.passed_probes = if outcome == Outcome::Ok {
            server.passed_probes + 1
        } else {
            0
        };
        let has_elapsed = self.now - server.ejected_at >= server.ejection_time;
        if server.passed_probes >= REQUIRED_PROBES && has_elapsed {
            self.apply_health_sample(index, HealthSample::ProbesPassed);
        }
    }

    /// Ejects hung servers, decays old estimates and sends the probes that are due.
    pub(super) fn check_servers(&mut self) {
        for index in 0..self.servers.len() {
            let server = &self.servers[index];
            let is_hung =
                server.unanswered_for(self.now) > HANG_RESPONSE_TIMES * self.fleet.response_time;
            if server.ejection != EjectionState::Ejected && is_hung {
                self.eject(index);
            }
            self.decay_estimates(index);
            self.probe_if_due(index);
        }
    }

    /// Decays the server's response time and load towards the fleet's.
    fn decay_estimates(&mut self, index: usize) {
        let server = &mut self.servers[index];
        // A server without a response yet is assumed to be as fast as the fleet.
        if server.last_response_at <= 0.0 {
            server.response_time = self.fleet.response_time;
        }
        if server.in_flight == 0 {
            let idle = IDLE_RESPONSE_TIME_SHARE * self.fleet.response_time;
            server.response_time += DECAY_PER_TICK * (idle - server.response_time);
        }
        // An old or missing report is no evidence of an idle server.
        server.reported_load += DECAY_PER_TICK * (self.fleet.load - server.reported_load);
    }

    fn probe_if_due(&mut self, index: usize) {
        let server = &self.servers[index];
        let is_ejected = server.ejection == EjectionState::Ejected;
        let interval = if is_ejected {
            PROBE_INTERVAL_EJECTED
        } else {
            PROBE_INTERVAL
        };
        // In a large fleet, the report reaches one of hundreds of instances and influences too
        // little of the load to be worth the probe.
        let report_is_useful =
            self.params.reports_by_probe && self.params.probe_interval_factor <= 1.0;
        let is_needed = is_ejected || self.is_slow_starting(server.started_at) && report_is_useful;
        let is_possible =
            self.params.may_probe && !server.probe_in_flight && server.health == Health::Ready;
        let is_due =
            self.now - server.last_probe_at >= interval * self.params.probe_interval_factor;
        if is_possible && is_needed && is_due {
            let server = &mut self.servers[index];
            server.last_probe_at = self.now;
            server.probe_in_flight = true;
            self.actions.push(Action::Probe { server: server.id });
        }
    }
}
