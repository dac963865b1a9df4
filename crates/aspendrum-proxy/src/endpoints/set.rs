//! The set of endpoints and its health changes, which are reported to the decision engine.

use super::location::ZoneLocation;
use super::preference::PreferredServers;
use super::retry_budget::{RetryBudget, RetryLimits};
use super::slow_start::{SlowStart, SlowStartShare, SlowStartTokens, SlowStartTolerance};
use aspendrum_core::api::{Health, Millis, ServerEntry, ServerId};
use aspendrum_model::servers::ServerInstance;
use aspendrum_model::settings::Settings;
use std::collections::{HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4};

/// The limits for the use of endpoints, and the lag of the platform's server list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointLimits {
    /// The limits on requests to servers in slow start.
    pub slow_start: SlowStartTolerance,
    /// The limits on retries.
    pub retries: RetryLimits,
    /// How far the platform's list lags behind the servers, in addition to its reported age, in milliseconds.
    pub list_lag: Millis,
}

impl EndpointLimits {
    /// Returns the limits configured in the settings.
    pub fn from_settings(settings: &Settings) -> EndpointLimits {
        EndpointLimits {
            slow_start: SlowStartTolerance {
                excess: settings.slow_start_excess,
                slack: settings.slow_start_slack,
            },
            retries: RetryLimits {
                ratio: settings.retry_budget_ratio,
                window: settings.retry_budget_window_s * 1000.0,
                slack: settings.retry_budget_slack,
            },
            list_lag: settings.cloud_api_lag_ms,
        }
    }
}

/// A server and its state at this proxy.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The server as listed by the platform.
    pub server: ServerInstance,
    pool: u16,
    region: u8,
    cost: f32,
    slow_start_until: Millis,
    slow_start_tokens: SlowStartTokens,
    /// The health last reported to the decision engine.
    reported_health: Health,
}

impl Endpoint {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddrV4 {
        self.server.addr
    }

    fn in_slow_start(&self, now: Millis) -> bool {
        now < self.slow_start_until
    }
}

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    /// Whether the request may be sent. If the server is in slow start, a token has been spent.
    pub granted: bool,
    /// The health change of the server to report to the decision engine.
    pub health_change: Option<ServerEntry>,
}

/// All servers listed by the platform, and the state that determines whether they are usable.
pub struct EndpointSet {
    limits: EndpointLimits,
    endpoints: HashMap<ServerId, Endpoint>,
    ids: HashMap<String, ServerId>,
    next_id: ServerId,
    pools: HashMap<String, u16>,
    slow_starts: HashMap<u16, SlowStart>,
    evacuated_zones: HashSet<String>,
    /// The zones whose evacuation has ended, and the time of that. A list read before that time does not show
    /// which of their servers have restarted.
    restored_zones: HashMap<String, Millis>,
    /// All proxies, including those about to become ready.
    proxies: Vec<Ipv4Addr>,
    local_ip: Ipv4Addr,
    retry_budget: RetryBudget,
}

impl EndpointSet {
    /// Creates an empty set for the proxy with the given address.
    pub fn new(limits: EndpointLimits, local_ip: Ipv4Addr) -> EndpointSet {
        EndpointSet {
            limits,
            endpoints: HashMap::new(),
            ids: HashMap::new(),
            next_id: 1,
            pools: HashMap::new(),
            slow_starts: HashMap::new(),
            evacuated_zones: HashSet::new(),
            restored_zones: HashMap::new(),
            proxies: Vec::new(),
            local_ip,
            retry_budget: RetryBudget::new(limits.retries),
        }
    }

    /// Returns the pool number of a service, which is constant for the lifetime of the process. Returns `None` once all
    /// numbers are used by other services.
    pub fn pool_number(&mut self, service: &str) -> Option<u16> {
        if let Some(number) = self.pools.get(service) {
            return Some(*number);
        }
        let number = u16::try_from(self.pools.len()).ok()?;
        self.pools.insert(service.to_string(), number);
        Some(number)
    }

    /// Sets the slow start of a service's servers.
    pub fn set_slow_start(&mut self, service: &str, slow_start: SlowStart) {
        if let Some(pool) = self.pool_number(service) {
            self.slow_starts.insert(pool, slow_start);
        }
    }

    /// Returns an endpoint.
    pub fn get(&self, id: ServerId) -> Option<&Endpoint> {
        self.endpoints.get(&id)
    }

    /// Whether no server has ever been listed.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Applies the platform's list of servers, which is complete and `age` milliseconds old. Servers missing
    /// from the list are marked as draining.
    pub fn update(
        &mut self,
        now: Millis,
        age: Millis,
        servers: Vec<ServerInstance>,
        locate: impl Fn(&str) -> ZoneLocation,
    ) {
        let preferred = PreferredServers::select(self.local_ip, &servers);
        let mut listed = HashSet::new();
        for server in servers {
            let mut location = locate(&server.zone);
            location.cost *= preferred.cost_factor(&server.uid);
            listed.extend(self.update_server(now, age, server, location));
        }
        let unlisted = self
            .endpoints
            .iter_mut()
            .filter(|(id, _)| !listed.contains(id));
        unlisted.for_each(|(_, endpoint)| endpoint.server.is_draining = true);
    }

    /// Adds or updates a server. Returns its id; `None` if its service has no pool.
    fn update_server(
        &mut self,
        now: Millis,
        age: Millis,
        server: ServerInstance,
        location: ZoneLocation,
    ) -> Option<ServerId> {
        let pool = self.pool_number(&server.service)?;
        let id = self.server_id(&server.uid);
        let slow_start_until = match server.slow_start_left_ms {
            0 => 0.0,
            left => now + f64::from(left),
        };
        let restored_at = self.restored_zones.get(&server.zone);
        let predates_restore =
            restored_at.is_some_and(|restored_at| now - age < restored_at + self.limits.list_lag);
        let endpoint = self.endpoints.entry(id).or_insert_with(|| Endpoint {
            server: server.clone(),
            pool,
            region: location.region,
            cost: location.cost,
            slow_start_until,
            slow_start_tokens: SlowStartTokens::new(now),
            reported_health: Health::Removed,
        });
        endpoint.slow_start_until = if predates_restore {
            endpoint.slow_start_until.max(slow_start_until)
        } else {
            slow_start_until
        };
        endpoint.server = server;
        Some(id)
    }

    fn server_id(&mut self, uid: &str) -> ServerId {
        if let Some(id) = self.ids.get(uid) {
            return *id;
        }
        let id = self.next_id;
        self.ids.insert(uid.to_string(), id);
        self.next_id += 1;
        id
    }

    /// Replaces the evacuated zones. The servers of a zone whose evacuation ends may have restarted during it,
    /// so they enter slow start.
    pub fn set_evacuated_zones(&mut self, now: Millis, zones: &[String]) {
        let next: HashSet<String> = zones.iter().cloned().collect();
        for zone in self.evacuated_zones.difference(&next) {
            self.restored_zones.insert(zone.clone(), now);
            for endpoint in self
                .endpoints
                .values_mut()
                .filter(|endpoint| endpoint.server.zone == *zone)
            {
                let slow_start = self.slow_starts.get(&endpoint.pool);
                let duration = slow_start.map_or(0.0, |slow_start| slow_start.duration);
                endpoint.slow_start_until = endpoint.slow_start_until.max(now + duration);
            }
        }
        self.evacuated_zones = next;
    }

    /// Returns the evacuated zones in arbitrary order.
    pub fn evacuated_zones(&self) -> Vec<String> {
        self.evacuated_zones.iter().cloned().collect()
    }

    /// Replaces the list of proxies.
    pub fn set_proxies(&mut self, proxies: Vec<Ipv4Addr>) {
        self.proxies = proxies;
    }

    /// Returns the number of proxies, including this one.
    pub fn proxy_count(&self) -> usize {
        self.proxies.len().max(1)
    }

    /// Applies a server's own report of its remaining slow start, in milliseconds.
    pub fn report_slow_start(&mut self, now: Millis, id: ServerId, left: Millis) {
        if left <= 0.0 {
            return;
        }
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            endpoint.slow_start_until = endpoint.slow_start_until.max(now + left);
        }
    }

    /// Refills the slow start tokens. Returns the health changes to report to the decision engine.
    pub fn refresh(&mut self, now: Millis) -> Vec<ServerEntry> {
        let ids: Vec<ServerId> = self.endpoints.keys().copied().collect();
        ids.into_iter()
            .filter_map(|id| self.refresh_endpoint(now, id))
            .collect()
    }

    fn refresh_endpoint(&mut self, now: Millis, id: ServerId) -> Option<ServerEntry> {
        let endpoint = self.endpoints.get(&id)?;
        let refill = endpoint
            .in_slow_start(now)
            .then(|| self.tokens_per_s(endpoint));
        let endpoint = self.endpoints.get_mut(&id)?;
        match refill {
            Some(tokens_per_s) => endpoint.slow_start_tokens.refill(now, tokens_per_s),
            None => endpoint.slow_start_tokens.skip(now),
        }
        self.take_health_change(now, id)
    }

    fn tokens_per_s(&self, endpoint: &Endpoint) -> f64 {
        let slow_start = self.slow_starts.get(&endpoint.pool);
        let share = SlowStartShare {
            uid: &endpoint.server.uid,
            rate: slow_start.map_or(0.0, |slow_start| slow_start.rate),
            tolerance: &self.limits.slow_start,
            proxies: &self.proxies,
            local_ip: self.local_ip,
        };
        share.tokens_per_s()
    }

    /// Reserves capacity for a request to a server. The health is checked again, since it may have changed after the
    /// decision engine's choice.
    pub fn reserve(&mut self, now: Millis, id: ServerId) -> Reservation {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return Reservation {
                granted: false,
                health_change: None,
            };
        };
        let granted = health(now, endpoint, &self.evacuated_zones) == Health::Ready;
        if granted && endpoint.in_slow_start(now) {
            endpoint.slow_start_tokens.spend();
        }
        Reservation {
            granted,
            health_change: self.take_health_change(now, id),
        }
    }

    /// Returns the endpoint's health if it differs from the value last reported to the decision engine, and records it
    /// as reported.
    fn take_health_change(&mut self, now: Millis, id: ServerId) -> Option<ServerEntry> {
        let endpoint = self.endpoints.get_mut(&id)?;
        let health = health(now, endpoint, &self.evacuated_zones);
        if endpoint.reported_health == health {
            return None;
        }
        endpoint.reported_health = health;
        Some(ServerEntry {
            server: id,
            pool: endpoint.pool,
            health,
            cell: 0,
            zone: endpoint.region,
            distance_cost: endpoint.cost,
            capacity: f32::from(endpoint.server.slots.max(1)),
            kind: 0,
            started_at: 0.0,
        })
    }

    /// Records the first attempt of a request for a pool.
    pub fn record_request(&mut self, now: Millis, pool: u16) {
        self.retry_budget.record_request(now, pool);
    }

    /// Whether a request for that pool may be retried now; if so, the retry is counted.
    pub fn reserve_retry(&mut self, now: Millis, pool: u16) -> bool {
        let proxies = self.proxy_count();
        self.retry_budget.reserve_retry(now, pool, proxies)
    }
}

/// Returns an endpoint's health for the decision engine.
fn health(now: Millis, endpoint: &Endpoint, evacuated_zones: &HashSet<String>) -> Health {
    let is_excluded =
        endpoint.server.is_draining || evacuated_zones.contains(&endpoint.server.zone);
    let has_capacity = !endpoint.in_slow_start(now) || endpoint.slow_start_tokens.available();
    if !is_excluded && has_capacity {
        Health::Ready
    } else {
        Health::Draining
    }
}
