//! The rules about each execution, by the configurations and evacuations that may have been in force: ROUTE, UNASKED,
//! CONFIG and EVAC.

use super::breach::Breach;
use super::evacuations::KnownZoneState;
use super::record::{Attempt, ConfigVersion, Execution, Record};
use crate::Millis;

/// What was in force during a run.
pub(super) struct InForce<'r> {
    /// The configurations that may have been in force at some time.
    pub(super) versions: Vec<&'r ConfigVersion>,
    /// When zones were certainly evacuated.
    pub(super) evacuated: Vec<KnownZoneState>,
}

/// Checks one execution of an attempt.
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
        versions: sent_by(&in_force.versions, execution.started_at),
    };
    if let Some(breach) = check.route() {
        // Nothing else can be said of it.
        return breaches.push(breach);
    }
    let checks = [check.tenant(), check.configuration(), check.revocation()];
    breaches.extend(checks.into_iter().flatten());
    breaches.extend(check.evacuation(&in_force.evacuated));
}

fn sent_by<'r>(versions: &[&'r ConfigVersion], at: Millis) -> Vec<&'r ConfigVersion> {
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
    /// The configurations that may have been in force, and had been sent by then.
    versions: Vec<&'r ConfigVersion>,
}

impl ExecutionCheck<'_> {
    fn breach(&self, rule: &'static str, what: &str) -> Option<Breach> {
        let description = format!("{:x} ran {what}", self.attempt.id);
        Some(Breach::new(rule, self.execution.started_at, description))
    }

    /// Any configuration must allow it.
    fn route(&self) -> Option<Breach> {
        if self.is_allowed_since(0) {
            return None;
        }
        self.breach(
            "ROUTE",
            &format!("at {} as no configuration says", self.execution.service),
        )
    }

    /// The server must be told the tenant of the client's credential.
    fn tenant(&self) -> Option<Breach> {
        let name = self.execution.tenant.as_ref()?;
        let is_own = |version: &ConfigVersion| {
            let rule = version.tenants.get(self.attempt.tenant);
            rule.is_some_and(|rule| rule.name == *name)
        };
        if self.record.versions.iter().any(is_own) {
            return None;
        }
        self.breach("UNASKED", &format!("for the tenant {name}"))
    }

    /// A configuration must allow it that is not older than what has been acknowledged for long enough. That binds proxies
    /// which are connected, and requests that may run once only unless all proxies are cut off.
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
            &format!("at {service} as only a version before {oldest} says"),
        )
    }

    /// Its credential must not have been removed for long enough. That binds all proxies.
    fn revocation(&self) -> Option<Breach> {
        let oldest = self.newest_acknowledged(self.record.bounds.revoke?);
        let mut since = self
            .versions
            .iter()
            .filter(|version| version.number >= oldest);
        if since.any(|version| version.admits(self.attempt.tenant)) {
            return None;
        }
        self.breach("CONFIG", "with a key taken away")
    }

    /// Its zone must not have been evacuated for long enough. That binds proxies which are connected.
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
        self.breach("EVAC", &format!("in the emptied zone {zone}"))
    }

    fn is_connected(&self) -> bool {
        let since = self.attempt.sent_at - self.record.bounds.contact;
        !self
            .record
            .is_faulty(self.attempt.proxy, since, self.execution.started_at)
    }

    /// The newest version that had been acknowledged for longer than that when the attempt was sent. It rules out whatever
    /// is older.
    fn newest_acknowledged(&self, for_longer_than: Millis) -> u32 {
        let is_older = |version: &&&ConfigVersion| {
            let acknowledged_at = version.acknowledged_at;
            acknowledged_at.is_some_and(|at| self.attempt.sent_at > at + for_longer_than)
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
