//! The state behind the dispatcher's lock: the decision engine, and the components that produce its events and
//! execute its actions.

use super::admission::{new_request, AdmissionRequest, PendingRequests, RequestDecision};
use super::attempt::start_attempt;
use super::configuration::{
    allowed_regions, tenant_id, ConfigSnapshot, EngineTables, TenantNumbers,
};
use super::counters::{CounterResult, Counters, ReceiveOutcome};
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
use aspendrum_model::settings::{Settings, UNKNOWN_REGION};
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::Arc;

/// The interval at which the health of all endpoints is recomputed, in milliseconds.
const ENDPOINT_REFRESH_INTERVAL: Millis = 20.0;

/// The state of a dispatcher.
pub(super) struct DispatcherState {
    engine: DecisionEngine,
    /// A reusable buffer for the engine's actions.
    actions: Vec<Action>,
    /// Events produced by actions, handled after all actions of the current event have been executed.
    deferred: Vec<Event<'static>>,
    /// Health changes not yet reported to the engine.
    health_changes: Vec<ServerEntry>,
    /// Servers whose health check is started at the next tick.
    health_checks: Vec<ServerId>,
    tables: EngineTables,
    endpoints_refreshed_at: Millis,
    pub(super) endpoints: EndpointSet,
    pub(super) counters: Counters,
    pub(super) requests: PendingRequests,
    /// Whether a list of proxies has been received.
    pub(super) has_proxy_list: bool,
    /// The revision of the last applied evacuation command.
    pub(super) evacuation_revision: u64,
    /// Whether the next configuration is applied regardless of its version, and evacuation commands regardless of their
    /// revision until then.
    pub(super) rebuild_requested: bool,
}

impl DispatcherState {
    pub(super) fn new(
        now: Millis,
        settings: &Settings,
        socket: Arc<CounterSocket>,
    ) -> DispatcherState {
        let region = settings.region_number(&settings.region);
        let region = region.unwrap_or(UNKNOWN_REGION);
        // The engine requests its timer at startup; the proxy runs that timer in any case.
        let mut initial_actions = Vec::new();
        let seed = fastrand::u64(..);
        let engine = DecisionEngine::new(now, seed, &engine_settings(region), &mut initial_actions);
        DispatcherState {
            engine,
            actions: Vec::new(),
            deferred: Vec::new(),
            health_changes: Vec::new(),
            health_checks: Vec::new(),
            tables: EngineTables::default(),
            endpoints_refreshed_at: 0.0,
            endpoints: EndpointSet::new(EndpointLimits::from_settings(settings), settings.ip),
            counters: Counters::new(socket, settings.ip),
            requests: PendingRequests::default(),
            has_proxy_list: false,
            evacuation_revision: 0,
            rebuild_requested: false,
        }
    }

    /// Passes an event to the engine and executes the resulting actions.
    pub(super) fn dispatch(&mut self, now: Millis, event: &Event<'_>) {
        self.handle(now, event);
        while let Some(event) = self.deferred.pop() {
            self.handle(now, &event);
        }
        self.report_health_changes(now);
    }

    fn handle(&mut self, now: Millis, event: &Event<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.engine.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(now, action);
        }
        self.actions = actions;
    }

    fn report_health_changes(&mut self, now: Millis) {
        while !self.health_changes.is_empty() {
            let entries = std::mem::take(&mut self.health_changes);
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

    fn execute(&mut self, now: Millis, action: Action) {
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
                name,
                units: amount,
                ..
            } => {
                let result = self.counters.add(now, name, amount);
                self.deferred.extend(result.map(|result| result.event()));
            }
            Action::Probe { server } => self.health_checks.push(server),
            Action::Fault(text) => log::error!("event=module_fault text=\"{text}\""),
            Action::Log(text) => log::debug!("event=module text=\"{text}\""),
            // Cancelled attempts end at their own deadline, and the disconnect watcher aborts the attempts of
            // disconnected clients. The timer is run by the proxy. The remaining actions are for other deployments of
            // the engine.
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
        self.health_changes.extend(attempt.health_change);
        self.deferred.extend(attempt.not_sent);
    }

    /// Admits a request and returns its id.
    pub(super) fn admit(
        &mut self,
        now: Millis,
        deadline: Millis,
        snapshot: &ConfigSnapshot,
        request: AdmissionRequest,
    ) -> RequestId {
        self.endpoints.record_request(now, request.pool);
        let quota_divisor = self.counters.quota_divisor(self.endpoints.proxy_count());
        let new_request = new_request(
            self.requests.next_id(),
            deadline,
            snapshot,
            &request,
            quota_divisor,
        );
        let id = self.requests.insert(request);
        self.dispatch(now, &Event::Request(new_request));
        id
    }

    /// Runs the periodic work. Returns the servers whose health must be checked.
    pub(super) fn tick(&mut self, now: Millis) -> Vec<ServerId> {
        if now - self.endpoints_refreshed_at >= ENDPOINT_REFRESH_INTERVAL {
            self.endpoints_refreshed_at = now;
            self.refresh_endpoints(now);
        }
        for call in self.counters.expire_calls(now) {
            let result = CounterResult::from_call(now, &call, Outcome::TimedOut, 0.0);
            self.dispatch(now, &result.event());
        }
        self.dispatch(now, &Event::Timer { token: 0 });
        std::mem::take(&mut self.health_checks)
    }

    fn refresh_endpoints(&mut self, now: Millis) {
        self.health_changes = self.endpoints.refresh(now);
        self.report_health_changes(now);
    }

    /// Handles a datagram from another proxy. Returns the reply, if one is due.
    pub(super) fn receive_counter_message(
        &mut self,
        now: Millis,
        from: Ipv4Addr,
        message: CounterMessage,
    ) -> Option<CounterMessage> {
        match self.counters.receive(now, from, message) {
            ReceiveOutcome::Reply(reply) => Some(reply),
            ReceiveOutcome::Finished(result) => {
                self.dispatch(now, &result.event());
                None
            }
            ReceiveOutcome::Ignored => None,
        }
    }

    /// Replaces the set of evacuated zones. A command older than the last applied one is ignored, unless a rebuild
    /// of the tables was requested.
    pub(super) fn apply_evacuation(&mut self, now: Millis, revision: u64, zones: &[String]) {
        if revision < self.evacuation_revision && !self.rebuild_requested {
            return;
        }
        self.evacuation_revision = revision;
        self.endpoints.set_evacuated_zones(now, zones);
        self.refresh_endpoints(now);
    }

    /// Applies a list of servers that is `age` milliseconds old.
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

    /// Applies a list of proxies.
    pub(super) fn apply_proxies(&mut self, now: Millis, proxies: ProxyAddresses) {
        self.has_proxy_list = true;
        for call in self.counters.set_owners(now, proxies.ready) {
            let result = CounterResult::from_call(now, &call, Outcome::TimedOut, 0.0);
            self.dispatch(now, &result.event());
        }
        self.endpoints.set_proxies(proxies.all);
    }

    /// Builds the engine's tables for a configuration and returns its snapshot.
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
        let regions = |homes: &[String]| allowed_regions(settings, homes);
        let snapshot = ConfigSnapshot {
            groups: config
                .routes
                .iter()
                .map(|route| self.tables.group_number(route))
                .collect(),
            tenants: self.apply_tenants(tenants, settings),
            pools: self.pool_numbers(&config),
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

    /// Returns the pool number of each service. A service without a number has no pool, so its requests are not sent.
    fn pool_numbers(&mut self, config: &Config) -> HashMap<String, u16> {
        let names = config.services.iter().map(|service| &service.name);
        let numbers = names.filter_map(|name| {
            let number = self.endpoints.pool_number(name)?;
            Some((name.clone(), number))
        });
        numbers.collect()
    }

    fn apply_tenants(&mut self, tenants: &[Tenant], settings: &Settings) -> Vec<TenantNumbers> {
        let tolerance = QuotaTolerance {
            span_s: settings.quota_window_s,
            excess: settings.quota_excess,
            slack: settings.quota_slack,
        };
        let mut quotas = HashMap::new();
        let numbers = tenants.iter().map(|tenant| {
            let quota = Quota::with_tolerance(tenant.rate_per_second, tenant.burst, &tolerance);
            quotas.insert(CounterId::for_tenant(&tenant.name), quota);
            TenantNumbers {
                id: tenant_id(&tenant.name),
                plan: self.tables.set_plan(&tenant.name, quota),
            }
        });
        let numbers = numbers.collect();
        self.counters.set_quotas(quotas);
        numbers
    }
}
