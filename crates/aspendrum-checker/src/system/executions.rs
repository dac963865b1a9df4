//! The rules for each execution, based on the configurations and evacuations that may have been in force: ROUTE,
//! UNASKED, CONFIG and EVAC.

use super::breach::Breach;
use super::evacuations::KnownZoneState;
use super::record::{Attempt, ConfigVersion, Execution, Record};
use crate::Millis;

/// The configurations and evacuations in force during a run.
pub(super) struct InForce<'r> {
    /// The configurations that may have been in force at some time of the run.
    pub(super) versions: Vec<&'r ConfigVersion>,
    /// The periods in which a zone was certainly evacuated.
    pub(super) evacuated: Vec<KnownZoneState>,
}

/// Checks one execution of an attempt against the four rules.
pub(super) fn check_execution(
    record: &Record,
    in_force: &InForce<'_>,
    attempt: &Attempt,
    execution: &Execution,
    breaches: &mut Vec<Breach>,
) {
    let check = ExecutionCheck {
        record,
        attempt,
        execution,
        versions: versions_sent_by(&in_force.versions, execution.started_at),
    };
    if let Some(breach) = check.route() {
        // Without a route the other rules do not apply.
        return breaches.push(breach);
    }
    let checks = [check.tenant(), check.configuration(), check.revocation()];
    breaches.extend(checks.into_iter().flatten());
    breaches.extend(check.evacuation(&in_force.evacuated));
}

fn versions_sent_by<'r>(versions: &[&'r ConfigVersion], at: Millis) -> Vec<&'r ConfigVersion> {
    versions
        .iter()
        .copied()
        .filter(|version| version.sent_at <= at)
        .collect()
}

struct ExecutionCheck<'r> {
    record: &'r Record,
    attempt: &'r Attempt,
    execution: &'r Execution,
    /// The configurations that may have been in force and were sent before the execution started.
    versions: Vec<&'r ConfigVersion>,
}

impl ExecutionCheck<'_> {
    fn breach(&self, rule: &'static str, what: &str) -> Option<Breach> {
        let description = format!("{:x} ran {what}", self.attempt.id);
        Some(Breach::new(rule, self.execution.started_at, description))
    }

    /// ROUTE: some configuration must allow the execution.
    fn route(&self) -> Option<Breach> {
        if self.is_allowed_since(0) {
            return None;
        }
        self.breach(
            "ROUTE",
            &format!(
                "at {}, which no configuration allows",
                self.execution.service
            ),
        )
    }

    /// UNASKED: the tenant that the server received must be the tenant of the client's credential.
    fn tenant(&self) -> Option<Breach> {
        let name = self.execution.tenant.as_ref()?;
        let is_own = |version: &ConfigVersion| {
            let rule = version.tenants.get(self.attempt.tenant);
            rule.is_some_and(|rule| rule.name == *name)
        };
        if self.record.versions.iter().any(is_own) {
            return None;
        }
        self.breach("UNASKED", &format!("for the wrong tenant {name}"))
    }

    /// CONFIG: a configuration at least as new as the newest one that was acknowledged longer ago than the `apply`
    /// bound must allow the execution. This applies to connected proxies. For once-only requests it also applies to
    /// disconnected proxies, unless all proxies are disconnected.
    fn configuration(&self) -> Option<Breach> {
        let (attempt, started_at) = (self.attempt, self.execution.started_at);
        let is_bound = self.is_connected()
            || self.record.is_once_only(attempt.route)
                && !self.record.are_all_faulty(attempt.sent_at, started_at);
        let oldest = self.newest_acknowledged(self.record.bounds.apply);
        if !is_bound || self.is_allowed_since(oldest) {
            return None;
        }
        let service = &self.execution.service;
        self.breach(
            "CONFIG",
            &format!("at {service}, which only versions before {oldest} allow"),
        )
    }

    /// CONFIG: the credential must not have been removed for longer than the `revoke` bound. This applies to all proxies.
    fn revocation(&self) -> Option<Breach> {
        let oldest = self.newest_acknowledged(self.record.bounds.revoke?);
        let mut since = self
            .versions
            .iter()
            .filter(|version| version.number >= oldest);
        if since.any(|version| version.admits(self.attempt.tenant)) {
            return None;
        }
        self.breach("CONFIG", "with a removed credential")
    }

    /// EVAC: the zone must not have been evacuated for longer than the `evac` bound. This applies to connected proxies.
    fn evacuation(&self, evacuated: &[KnownZoneState]) -> Option<Breach> {
        let (zone, at, bound) = (
            &self.execution.zone,
            self.execution.started_at,
            self.record.bounds.evac,
        );
        let is_evacuated = |state: &KnownZoneState| {
            state.zone == *zone && at > state.from + bound && at < state.until
        };
        if !self.is_connected() || !evacuated.iter().any(is_evacuated) {
            return None;
        }
        self.breach("EVAC", &format!("in the evacuated zone {zone}"))
    }

    fn is_connected(&self) -> bool {
        let since = self.attempt.sent_at - self.record.bounds.contact;
        !self
            .record
            .is_faulty(self.attempt.proxy, since, self.execution.started_at)
    }

    /// Returns the newest version that had been acknowledged for longer than `min_age` when the attempt was sent. Older
    /// versions are no longer valid.
    fn newest_acknowledged(&self, min_age: Millis) -> u32 {
        let is_older = |version: &&&ConfigVersion| {
            let acknowledged_at = version.acknowledged_at;
            acknowledged_at.is_some_and(|at| self.attempt.sent_at > at + min_age)
        };
        let older = self
            .versions
            .iter()
            .filter(is_older)
            .map(|version| version.number);
        older.max().unwrap_or(0)
    }

    fn is_allowed_since(&self, oldest: u32) -> bool {
        let mut since = self
            .versions
            .iter()
            .filter(|version| version.number >= oldest);
        since.any(|version| version.allows(self.attempt, &self.execution.service))
    }
}
