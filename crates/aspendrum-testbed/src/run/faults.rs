//! Applies the fault timeline to the fleet.

use super::error::Failure;
use super::fleet::Fleet;
use super::links::select_servers_or_all;
use super::traffic::instant_at;
use crate::scenario::{FaultKind, LinkFault, LinkPath, Selector, ServerFault};
use crate::timeline::{self, FaultTransition};
use aspendrum_checker::limiter::ExemptPeriod;
use aspendrum_checker::Millis;
use aspendrum_fake_services::lock;
use futures_util::future::join_all;
use nix::sys::signal::Signal;
use std::future::Future;
use std::sync::Arc;
use tokio::task::JoinSet;
use tokio::time::sleep_until;

const MILLIS_PER_SECOND: f64 = 1000.0;
/// After a cut ends, the time for a relay to reset the connections attempted during the cut.
const RECONNECT_GRACE: Millis = 200.0;

impl Fleet {
    /// Applies all transitions of the timeline at their times. `from` is the start of the traffic.
    pub(super) async fn play_faults(self: Arc<Fleet>, from: Millis) {
        let mut transitions = JoinSet::new();
        for transition in timeline::transitions(&self.scenario) {
            sleep_until(instant_at(self.clock, from + transition.at)).await;
            // Transitions run concurrently, since starting and stopping processes takes time.
            let fleet = self.clone();
            transitions.spawn(async move { fleet.apply_transition(transition).await });
        }
        transitions.join_all().await;
    }

    async fn apply_transition(&self, transition: FaultTransition) {
        self.update_active_faults(transition);
        let begins = transition.begins;
        match &self.scenario.faults[transition.fault].kind {
            FaultKind::Link(fault) => self.apply_link_fault(fault, transition),
            FaultKind::Kill(fault) => {
                self.stop_or_restart(&fault.limiters, Signal::SIGKILL, begins)
                    .await
            }
            FaultKind::Term(fault) => {
                self.stop_or_restart(&fault.limiters, Signal::SIGTERM, begins)
                    .await
            }
            FaultKind::Stall(fault) if begins => {
                let pause = |limiter| self.pause_limiter(limiter);
                self.for_each_limiter(&fault.limiters, pause).await;
            }
            FaultKind::Stall(fault) => {
                let resume = |limiter| self.resume_limiter(limiter);
                self.for_each_limiter(&fault.limiters, resume).await;
            }
            FaultKind::Server(fault) => {
                self.apply_service_faults();
                self.stop_or_restart_servers(fault, begins).await;
            }
            FaultKind::Counter(fault) => {
                self.apply_service_faults();
                if begins && fault.is_replaced {
                    self.services.counter.replace();
                } else if begins && fault.is_cleared {
                    self.services.counter.clear();
                }
            }
            FaultKind::Discovery(_) => self.apply_service_faults(),
        }
    }

    /// Updates the list of active faults.
    fn update_active_faults(&self, transition: FaultTransition) {
        let mut active = lock(&self.active_faults);
        active.retain(|other| other.occurrence != transition.occurrence);
        let kind = &self.scenario.faults[transition.fault].kind;
        if transition.begins && !kind.is_instant() {
            active.push(transition);
        }
    }

    fn apply_service_faults(&self) {
        let active = lock(&self.active_faults);
        let kinds: Vec<&FaultKind> = active
            .iter()
            .map(|transition| &self.scenario.faults[transition.fault].kind)
            .collect();
        self.services.apply_faults(&self.scenario, &kinds);
    }

    fn apply_link_fault(&self, fault: &LinkFault, transition: FaultTransition) {
        let occurrence = transition.occurrence;
        if !transition.begins {
            self.links.end_fault(&self.scenario, fault, occurrence);
            return;
        }
        self.exempt_links(fault, transition);
        self.links.begin_fault(&self.scenario, fault, occurrence);
    }

    /// Exempts limiters from the rules about clients or servers whose links have a fault.
    fn exempt_links(&self, fault: &LinkFault, transition: FaultTransition) {
        let from = self.clock.now();
        let duration_s = self.scenario.faults[transition.fault].duration_s;
        let to = duration_s.map_or(f64::INFINITY, |duration_s| {
            from + duration_s * MILLIS_PER_SECOND + RECONNECT_GRACE
        });
        let servers = match fault.path {
            LinkPath::Clients => vec![None],
            LinkPath::Servers => select_servers_or_all(&self.scenario, &fault.to)
                .into_iter()
                .map(Some)
                .collect(),
            LinkPath::Limiters | LinkPath::Counter | LinkPath::Discovery => Vec::new(),
        };
        for limiter in self.scenario.select_limiters(&fault.limiters) {
            for server in &servers {
                self.exemptions.add(ExemptPeriod {
                    limiter,
                    server: *server,
                    from,
                    to,
                });
            }
        }
    }

    async fn stop_or_restart(&self, selector: &Selector, signal: Signal, begins: bool) {
        if begins {
            let stop = |limiter| self.stop_limiter(limiter, signal);
            self.for_each_limiter(selector, stop).await;
        } else {
            let restart = |limiter| self.restart_limiter(limiter);
            self.for_each_limiter(selector, restart).await;
        }
    }

    /// Runs an action on each selected limiter concurrently.
    async fn for_each_limiter<F: Future<Output = ()>>(
        &self,
        selector: &Selector,
        action: impl Fn(usize) -> F,
    ) {
        let limiters = self.scenario.select_limiters(selector);
        join_all(limiters.into_iter().map(action)).await;
    }

    async fn stop_or_restart_servers(&self, fault: &ServerFault, begins: bool) {
        if !fault.is_draining && !fault.is_gone {
            return;
        }
        for server in self.scenario.select_servers(&fault.servers) {
            if begins {
                self.services.stop_server(server, fault.is_draining);
            } else if let Err(source) = self.services.restart_server(server).await {
                self.record_failure(Failure::FakeServer { server, source });
            }
        }
    }
}
