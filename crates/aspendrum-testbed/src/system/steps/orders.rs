//! Steps that are orders of the operator: configuration changes and evacuations.

use super::{core, duration, ScenarioRun};
use crate::system::configuration::{self, CONFIG_FAULTS};
use crate::system::fleet::SERVICES;
use crate::system::operator::OrderOutcome;
use crate::system::probes::AddedRoute;
use crate::system::scenario::{Step, StepKind, Target};
use aspendrum_checker::system::{ConfigVersion, Evacuation, RouteRule, TenantRule};
use aspendrum_fake_services::lock;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::sleep;

/// The maximum number of concurrent changes.
const MAX_IN_FLIGHT: usize = 8;

/// Moves the once-only route to the other service.
fn move_once_only_route(version: &mut ConfigVersion) {
    let other = usize::from(version.routes[1].service == SERVICES[0]);
    version.routes[1].service = SERVICES[other].into();
}

/// The number of the first version: the lowest one, which no process may take for "no configuration".
const FIRST_VERSION: u32 = 0;
/// The difference between the numbers of consecutive versions.
const VERSION_STEP: u32 = 2;

/// Returns a first version with two routes, the second of them once-only, and two tenants.
fn first_version() -> ConfigVersion {
    let route = |service: usize, is_once_only| RouteRule {
        service: SERVICES[service].into(),
        is_once_only,
    };
    let tenant = |name: &str| TenantRule {
        name: name.into(),
        has_valid_credential: true,
    };
    ConfigVersion {
        routes: vec![route(0, false), route(1, true)],
        tenants: vec![tenant("ann"), tenant("bob")],
        ..ConfigVersion::default()
    }
}

impl ScenarioRun {
    /// Carries out an order of the operator, starting with the first control node of `of`.
    pub(super) async fn order(&self, step: &Step, of: &[Target]) {
        let first = of.first().and_then(core).unwrap_or(0);
        match step.what {
            StepKind::Move => {
                self.send_change(first, move_once_only_route).await;
            }
            StepKind::TakeKey => {
                self.send_change(first, |version| {
                    version.tenants[1].has_valid_credential = false
                })
                .await;
            }
            StepKind::GiveKey => {
                self.send_change(first, |version| {
                    version.tenants[1].has_valid_credential = true
                })
                .await;
            }
            StepKind::Changes => self.send_changes(first, step).await,
            StepKind::InvalidChanges => self.send_invalid_changes(first, step).await,
            StepKind::Race => self.race(of, step).await,
            StepKind::Resend => self.resend(first, step.all).await,
            StepKind::Show => {
                let wait = Duration::from_secs_f64(step.wait_s);
                self.operator.shown_version(first, wait).await;
            }
            StepKind::Evacuate => {
                self.evacuate(first, &step.zone, true).await;
                if step.for_s.is_some() {
                    sleep(duration(step)).await;
                    self.evacuate(first, &step.zone, false).await;
                }
            }
            _ => {
                let begins = step.what == StepKind::Begin;
                self.evacuate(first, &step.zone, begins).await;
            }
        }
    }

    /// Creates and logs the next version by applying a change to the last one. The version gets a new number unless `number` is
    /// given.
    fn next_version(
        &self,
        number: Option<u32>,
        change: impl FnOnce(&mut ConfigVersion),
    ) -> ConfigVersion {
        let mut log = lock(&self.log);
        let last = log.versions.last().cloned();
        let mut next = last.unwrap_or_else(first_version);
        // Invalid texts use the numbers in between.
        let numbers = log.versions.iter().map(|version| version.number);
        let following = numbers
            .max()
            .map_or(FIRST_VERSION, |newest| newest + VERSION_STEP);
        next.number = number.unwrap_or(following);
        (next.sent_at, next.acknowledged_at) = (self.now(), None);
        change(&mut next);
        next.text = configuration::config_text(&self.fleet.scenario, &next).into();
        log.versions.push(next.clone());
        next
    }

    /// Creates the next version and sends it, starting with control node `first`. Returns its number and the outcome.
    pub async fn send_change(
        &self,
        first: usize,
        change: impl FnOnce(&mut ConfigVersion),
    ) -> (u32, OrderOutcome) {
        let next = self.next_version(None, change);
        (next.number, self.send(first, &next).await)
    }

    /// Sends a version, and logs when it was acknowledged.
    async fn send(&self, first: usize, version: &ConfigVersion) -> OrderOutcome {
        let (number, text) = (version.number, &version.text);
        let outcome = self.operator.send_config(first, number, text).await;
        if let OrderOutcome::Acknowledged(at) = outcome {
            let mut log = lock(&self.log);
            let is_same = |sent: &&mut ConfigVersion| sent.number == number && sent.text == *text;
            if let Some(sent) = log.versions.iter_mut().find(is_same) {
                sent.acknowledged_at.get_or_insert(at);
            }
        }
        outcome
    }

    /// Sends a number of changes, one every `gap_s` with a bounded number in flight, each starting with the next member.
    async fn send_changes(&self, first: usize, step: &Step) {
        let in_flight = Semaphore::new(MAX_IN_FLIGHT);
        let changes =
            (0..step.count).map(|index| self.send_indexed_change(first, step, index, &in_flight));
        futures_util::future::join_all(changes).await;
    }

    async fn send_indexed_change(
        &self,
        first: usize,
        step: &Step,
        index: usize,
        in_flight: &Semaphore,
    ) {
        sleep(Duration::from_secs_f64(step.gap_s * index as f64)).await;
        let Ok(_permit) = in_flight.acquire().await else {
            return;
        };
        let members = self.fleet.members();
        let first = members[(first + index) % members.len()];
        let adds_route = step.adds_route_every > 0 && index.is_multiple_of(step.adds_route_every);
        let (number, outcome) = if adds_route {
            self.add_route(first).await
        } else {
            self.send_change(first, |_| {}).await
        };
        if !matches!(outcome, OrderOutcome::Acknowledged(_)) {
            self.record_failure(&format!("change {number:08x} was not acknowledged"));
        }
    }

    /// Sends a change that adds a route, and probes proxies for the route once it is acknowledged.
    async fn add_route(&self, first: usize) -> (u32, OrderOutcome) {
        let mut route = 0;
        let add = |version: &mut ConfigVersion| {
            route = version.routes.len();
            version.routes.push(RouteRule {
                service: SERVICES[0].into(),
                is_once_only: false,
            });
        };
        let (number, outcome) = self.send_change(first, add).await;
        if let OrderOutcome::Acknowledged(acknowledged_at) = outcome {
            self.probes.add(AddedRoute {
                route,
                acknowledged_at,
            });
        }
        (number, outcome)
    }

    /// Sends invalid texts, each with the number after the last version, which no valid text uses.
    async fn send_invalid_changes(&self, first: usize, step: &Step) {
        for index in 0..step.count {
            let Some(mut version) = lock(&self.log).versions.last().cloned() else {
                return;
            };
            version.number += 1;
            let fault = CONFIG_FAULTS[index % CONFIG_FAULTS.len()];
            let text =
                configuration::invalid_config_text(&self.fleet.scenario, &version, fault).into();
            let members = self.fleet.members();
            let node = members[(first + index) % members.len()];
            self.operator
                .send_invalid(node, version.number, &text)
                .await;
            sleep(Duration::from_secs_f64(step.gap_s)).await;
        }
    }

    /// Sends two versions with the same number concurrently. Both move a route, and the second also toggles a tenant's key.
    async fn race(&self, of: &[Target], step: &Step) {
        let cores: Vec<usize> = of.iter().filter_map(core).collect();
        for round in 0..step.count {
            let (one, other) = (cores[round % cores.len()], cores[(round + 1) % cores.len()]);
            let a = self.next_version(None, move_once_only_route);
            let b = self.next_version(Some(a.number), |version| {
                move_once_only_route(version);
                version.tenants[1].has_valid_credential = !version.tenants[1].has_valid_credential;
            });
            let (a, b) = tokio::join!(self.send(one, &a), self.send(other, &b));
            if [a, b].contains(&OrderOutcome::Unclear) {
                self.record_failure(&format!(
                    "race {round} ended without a definite response: {a:?}, {b:?}"
                ));
            }
            sleep(Duration::from_secs_f64(step.gap_s)).await;
        }
    }

    /// Sends all versions so far again, or only the last one, one after the other.
    async fn resend(&self, first: usize, all: bool) {
        let mut sent = lock(&self.log).versions.clone();
        sent.drain(..if all { 0 } else { sent.len().saturating_sub(1) });
        for version in &sent {
            self.send(first, version).await;
        }
    }

    /// Begins or finishes the evacuation of a zone, and logs the order.
    async fn evacuate(&self, first: usize, zone: &str, is_evacuated: bool) {
        let index = {
            let orders = &mut lock(&self.log).evacuations;
            orders.push(Evacuation {
                zone: zone.to_string(),
                is_evacuated,
                sent_at: self.now(),
                acknowledged_at: None,
                ended_at: f64::INFINITY,
            });
            orders.len() - 1
        };
        let outcome = self.operator.evacuate(first, zone, is_evacuated).await;
        let ended_at = self.now();
        if matches!(outcome, OrderOutcome::Unclear | OrderOutcome::Refused(_)) {
            self.record_failure(&format!(
                "evacuation of {zone} (evacuated: {is_evacuated}) failed: {outcome:?}"
            ));
        }
        let order = &mut lock(&self.log).evacuations[index];
        order.ended_at = ended_at;
        if let OrderOutcome::Acknowledged(at) = outcome {
            order.acknowledged_at = Some(at);
        }
    }
}
