//! Probes of servers, their load reports, and servers that hang.

use super::DecisionEngine;
use crate::api::{Action, Health, LoadReport, Millis, Outcome, ServerId};
use crate::state::server::{EjectionState, HealthSample};

/// Highest load that a report may tell.
const MAX_LOAD: f64 = 5.0;
/// Probes in a row that end an ejection.
const PROBES_TO_PASS: u32 = 2;
/// A server hangs if it answers nothing for so many response times of the others.
const HANG_RESPONSE_TIMES: f64 = 8.0;
const PROBE_INTERVAL: Millis = 500.0;
const PROBE_INTERVAL_EJECTED: Millis = 250.0;
/// How fast what is known of a server fades to what all have in common, a tick. An idle one fades
/// to half their response time.
const FADING: f64 = 0.000_3;
const IDLE_RESPONSE_TIME: f64 = 0.5;

impl DecisionEngine {
    /// Takes in what a server says of its load. A missing or unreadable value changes nothing.
    pub(super) fn record_load_report(&mut self, index: usize, load: &LoadReport) {
        let is_known = |at: &usize| *at < usize::from(load.count) && !load.values[*at].is_nan();
        let Some(at) = self.params.load_index.filter(is_known) else {
            return;
        };
        let reported_load = f64::from(load.values[at]).clamp(0.0, MAX_LOAD);
        self.servers[index].reported_load = reported_load;
        self.fleet.record_load(reported_load);
    }

    /// A probe was answered or failed.
    pub(super) fn end_probe(&mut self, id: ServerId, outcome: Outcome, load: &LoadReport) {
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
        let is_served = self.now - server.ejected_at >= server.ejection_time;
        if server.passed_probes >= PROBES_TO_PASS && is_served {
            self.apply_health_sample(index, HealthSample::ProbesPassed);
        }
    }

    /// Ejects servers that hang, lets old knowledge fade, and sends probes that are due.
    pub(super) fn check_servers(&mut self) {
        for index in 0..self.servers.len() {
            let server = &self.servers[index];
            let hangs =
                server.unanswered_for(self.now) > HANG_RESPONSE_TIMES * self.fleet.response_time;
            if server.ejection != EjectionState::Ejected && hangs {
                self.eject(index);
            }
            self.fade(index);
            self.probe_if_due(index);
        }
    }

    fn fade(&mut self, index: usize) {
        let server = &mut self.servers[index];
        // A server that never answered counts as quick as the others.
        if server.last_response_at <= 0.0 {
            server.response_time = self.fleet.response_time;
        }
        if server.in_flight == 0 {
            let idle = IDLE_RESPONSE_TIME * self.fleet.response_time;
            server.response_time += FADING * (idle - server.response_time);
        }
        // An old or missing report does not make a server idle.
        server.reported_load += FADING * (self.fleet.load - server.reported_load);
    }

    fn probe_if_due(&mut self, index: usize) {
        let server = &self.servers[index];
        let is_ejected = server.ejection == EjectionState::Ejected;
        let interval = if is_ejected {
            PROBE_INTERVAL_EJECTED
        } else {
            PROBE_INTERVAL
        };
        // A load report that reaches one of hundreds of instances influences too little of the load to be worth the probe.
        let reports_pay = self.params.reports_by_probe && self.params.probe_spacing <= 1.0;
        let is_wanted = is_ejected || self.is_slow_starting(server.started_at) && reports_pay;
        let is_possible =
            self.params.may_probe && !server.probe_in_flight && server.health == Health::Ready;
        let is_due = self.now - server.last_probe_at >= interval * self.params.probe_spacing;
        if is_possible && is_wanted && is_due {
            let server = &mut self.servers[index];
            server.last_probe_at = self.now;
            server.probe_in_flight = true;
            self.actions.push(Action::Probe { server: server.id });
        }
    }
}
