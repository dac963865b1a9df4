//! What stands behind the dispatcher's lock: the decision engine, and the parts that its events come from and its actions
//! go to.

use super::admission::{new_request, AdmissionRequest, PendingRequests, RequestDecision};
use super::attempt::start_attempt;
use super::configuration::{region_bits, tenant_id, ConfigSnapshot, EngineTables, TenantNumbers};
use super::counters::{CounterResult, Counters, Received};
use super::engine::engine_settings;
use super::proxies::ProxyAddresses;
use crate::counter::{CounterId, CounterMessage, CounterSocket, Quota, QuotaTolerance};
use crate::endpoints::{EndpointLimits, EndpointSet, SlowStart, ZoneLocation};
use aspendrum_core::api::{
    Action, Event, ListKind, Millis, Outcome, RequestId, ServerEntry, ServerId,
};
use aspendrum_core::engine::DecisionEngine;
use aspendrum_model::config::{Config, Tenant};
use aspendrum_model::servers::ServerInstance;
use aspendrum_model::settings::Settings;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::Arc;

/// How often endpoints' health is looked at.
const REFRESH_EVERY: Millis = 20.0;

/// The state of a dispatcher.
pub(super) struct DispatcherState {
    engine: DecisionEngine,
    /// The engine's actions, kept for their memory.
    actions: Vec<Action>,
    /// Events that follow from actions: they come once the actions are carried out.
    deferred: Vec<Event<'static>>,
    /// Endpoints whose health changed, until the engine is told.
    changes: Vec<ServerEntry>,
    /// Servers whose health is to be checked, until the next tick.
    health_checks: Vec<ServerId>,
    tables: EngineTables,
    refreshed_at: Millis,
    pub(super) endpoints: EndpointSet,
    pub(super) counters: Counters,
    pub(super) requests: PendingRequests,
    /// A list of proxies has come.
    pub(super) proxies_known: bool,
    /// The number of the last order about evacuations.
    pub(super) evacuation_order: u64,
    /// The next configuration is applied whatever its version.
    pub(super) rebuilds_tables: bool,
}

impl DispatcherState {
    pub(super) fn new(
        now: Millis,
        settings: &Settings,
        socket: Arc<CounterSocket>,
    ) -> DispatcherState {
        let region = settings.region_number(&settings.region).unwrap_or(0);
        // At its start the engine asks for what a proxy gives it anyhow: its timer.
        let mut initial_actions = Vec::new();
        let seed = fastrand::u64(..);
        let engine = DecisionEngine::new(now, seed, &engine_settings(region), &mut initial_actions);
        DispatcherState {
            engine,
            actions: Vec::new(),
            deferred: Vec::new(),
            changes: Vec::new(),
            health_checks: Vec::new(),
            tables: EngineTables::default(),
            refreshed_at: 0.0,
            endpoints: EndpointSet::new(EndpointLimits::from_settings(settings), settings.ip),
            counters: Counters::new(socket, settings.ip),
            requests: PendingRequests::default(),
            proxies_known: false,
            evacuation_order: 0,
            rebuilds_tables: false,
        }
    }

    /// Tells the engine of an event, and carries out what follows.
    pub(super) fn dispatch(&mut self, now: Millis, event: &Event<'_>) {
        self.handle(now, event);
        while let Some(event) = self.deferred.pop() {
            self.handle(now, &event);
        }
        self.report_changes(now);
    }

    fn handle(&mut self, now: Millis, event: &Event<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.engine.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(now, action);
        }
        self.actions = actions;
    }

    fn report_changes(&mut self, now: Millis) {
        while !self.changes.is_empty() {
            let entries = std::mem::take(&mut self.changes);
            self.handle(
                now,
                &Event::ServerList {
                    list: ListKind::Delta,
                    version: 0,
                    entries: &entries,
                },
            );
        }
    }

    fn carry_out(&mut self, now: Millis, action: Action) {
        match action {
            Action::Forward { id, server, .. } => self.forward(now, id, server),
            Action::Shed {
                id,
                retry_after,
                beyond_quota,
            } => {
                self.requests.notify(
                    id,
                    RequestDecision::Shed {
                        retry_after,
                        beyond_quota,
                    },
                );
            }
            Action::Drop { id } => self.requests.notify(id, RequestDecision::Drop),
            Action::AddToCounter {
                name, units: add, ..
            } => {
                let result = self.counters.add(now, name, add);
                self.deferred.extend(result.map(|result| result.event()));
            }
            Action::Probe { server } => self.health_checks.push(server),
            Action::Fault(text) => log::error!("event=module_fault text=\"{text}\""),
            Action::Log(text) => log::debug!("event=module text=\"{text}\""),
            // An attempt that is given up ends by its own time, and one whose client left is aborted by the watcher of
            // clients; the timer is this proxy's; the rest is for other fleets.
            Action::Cancel { .. }
            | Action::CloseConnections { .. }
            | Action::Timer { .. }
            | Action::FetchServers
            | Action::WatchServers { .. }
            | Action::SendDatagram { .. } => {}
        }
    }

    fn forward(&mut self, now: Millis, id: RequestId, server: ServerId) {
        let attempt = start_attempt(now, id, server, &mut self.requests, &mut self.endpoints);
        self.changes.extend(attempt.change);
        self.deferred.extend(attempt.not_sent);
    }

    /// A request came.
    pub(super) fn admit(
        &mut self,
        now: Millis,
        deadline: Millis,
        snapshot: &ConfigSnapshot,
        request: AdmissionRequest,
    ) -> RequestId {
        self.endpoints.record_request(now, request.pool);
        let quota_sharers = self.counters.quota_sharers(self.endpoints.proxy_count());
        let new_request = new_request(
            self.requests.next_id(),
            deadline,
            snapshot,
            &request,
            quota_sharers,
        );
        let id = self.requests.insert(request);
        self.dispatch(now, &Event::Request(new_request));
        id
    }

    /// Does what is due. Returns the servers whose health is to be checked.
    pub(super) fn tick(&mut self, now: Millis) -> Vec<ServerId> {
        if now - self.refreshed_at >= REFRESH_EVERY {
            self.refreshed_at = now;
            self.refresh_endpoints(now);
        }
        for call in self.counters.expire_calls(now) {
            let result = CounterResult::of_call(now, &call, Outcome::TimedOut, 0.0);
            self.dispatch(now, &result.event());
        }
        self.dispatch(now, &Event::Timer { token: 0 });
        std::mem::take(&mut self.health_checks)
    }

    fn refresh_endpoints(&mut self, now: Millis) {
        self.changes = self.endpoints.refresh(now);
        self.report_changes(now);
    }

    /// A datagram of another proxy came. Returns the answer to it.
    pub(super) fn receive_counter_message(
        &mut self,
        now: Millis,
        from: Ipv4Addr,
        message: CounterMessage,
    ) -> Option<CounterMessage> {
        match self.counters.receive(now, from, message) {
            Received::Reply(reply) => Some(reply),
            Received::Finished(result) => {
                self.dispatch(now, &result.event());
                None
            }
            Received::Ignored => None,
        }
    }

    /// Zones get nothing any more, or are used again. A command that is older than the last one changes nothing, unless the
    /// tables are built again.
    pub(super) fn apply_evacuation(&mut self, now: Millis, order: u64, zones: &[String]) {
        if order < self.evacuation_order && !self.rebuilds_tables {
            return;
        }
        self.evacuation_order = order;
        self.endpoints.set_evacuated_zones(now, zones);
        self.refresh_endpoints(now);
    }

    /// A list of servers came, which is `age` milliseconds old.
    pub(super) fn apply_servers(
        &mut self,
        now: Millis,
        age: Millis,
        servers: Vec<ServerInstance>,
        locate: impl Fn(&str) -> ZoneLocation,
    ) {
        self.endpoints.update(now, age, servers, locate);
        self.refresh_endpoints(now);
    }

    /// A list of proxies came.
    pub(super) fn apply_proxies(&mut self, now: Millis, proxies: ProxyAddresses) {
        self.proxies_known = true;
        for call in self.counters.set_owners(now, proxies.ready) {
            let result = CounterResult::of_call(now, &call, Outcome::TimedOut, 0.0);
            self.dispatch(now, &result.event());
        }
        self.endpoints.set_proxies(proxies.all);
    }

    /// A configuration comes into force.
    pub(super) fn apply_config(&mut self, config: Config, settings: &Settings) -> ConfigSnapshot {
        for service in &config.services {
            let duration = service.slow_start_s * 1000.0;
            self.endpoints.set_slow_start(
                &service.name,
                SlowStart {
                    duration,
                    rate: service.slow_start_rate,
                },
            );
        }
        let tenants: &[Tenant] = config.tenants.as_deref().unwrap_or(&[]);
        let regions = |homes: &[String]| region_bits(settings, homes);
        let snapshot = ConfigSnapshot {
            groups: config
                .routes
                .iter()
                .map(|route| self.tables.group(route))
                .collect(),
            tenants: self.apply_tenants(tenants, settings),
            pools: config
                .services
                .iter()
                .map(|service| (service.name.clone(), self.endpoints.pool(&service.name)))
                .collect(),
            route_regions: config
                .routes
                .iter()
                .map(|route| regions(&route.home_regions))
                .collect(),
            tenant_regions: tenants
                .iter()
                .map(|tenant| regions(&tenant.home_regions))
                .collect(),
            config,
        };
        self.engine
            .configure(&self.tables.groups, &self.tables.plans);
        snapshot
    }

    fn apply_tenants(&mut self, tenants: &[Tenant], settings: &Settings) -> Vec<TenantNumbers> {
        let tolerance = QuotaTolerance {
            span_s: settings.quota_window_s,
            excess: settings.quota_excess,
            slack: settings.quota_slack,
        };
        let mut quotas = HashMap::new();
        let numbers = tenants.iter().map(|tenant| {
            let quota = Quota::within(tenant.rate_per_second, tenant.burst, &tolerance);
            quotas.insert(CounterId::of_tenant(&tenant.name), quota);
            TenantNumbers {
                id: tenant_id(&tenant.name),
                plan: self.tables.plan(&tenant.name, &quota),
            }
        });
        let numbers = numbers.collect();
        self.counters.set_quotas(quotas);
        numbers
    }
}
