//! The set of endpoints, and the changes of it that are reported to the decision engine.

use super::location::ZoneLocation;
use super::preference::PreferredServers;
use super::retry_budget::{RetryBudget, RetryLimits};
use super::slow_start::{SlowStart, SlowStartShare, SlowStartTokens, SlowStartTolerance};
use aspendrum_core::api::{Health, Millis, ServerEntry, ServerId};
use aspendrum_model::servers::ServerInstance;
use aspendrum_model::settings::Settings;
use std::collections::{HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4};

/// What the platform's terms allow, and how far its list lags behind the servers.
#[derive(Clone, Copy, Debug)]
pub struct EndpointLimits {
    /// Of servers in slow start.
    pub slow_start: SlowStartTolerance,
    /// Of retries.
    pub retries: RetryLimits,
    /// Milliseconds by which the platform's list is older than its age says.
    pub list_lag: Millis,
}

impl EndpointLimits {
    /// The limits that the settings name.
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

/// A server as this proxy knows it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// As the platform lists it.
    pub server: ServerInstance,
    pool: u16,
    region: u8,
    cost: f32,
    slow_start_until: Millis,
    slow_start_tokens: SlowStartTokens,
    /// As last reported to the decision engine.
    reported: Health,
}

impl Endpoint {
    /// Where the server listens.
    pub fn address(&self) -> SocketAddrV4 {
        self.server.addr
    }

    fn in_slow_start(&self, now: Millis) -> bool {
        now < self.slow_start_until
    }
}

/// Whether a request may leave for a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    /// It may; a token was spent if the server is in slow start.
    pub granted: bool,
    /// A change of the server's health, to be reported to the decision engine.
    pub change: Option<ServerEntry>,
}

/// All servers of the platform's list, and what else decides whether they are used.
pub struct EndpointSet {
    limits: EndpointLimits,
    endpoints: HashMap<ServerId, Endpoint>,
    ids: HashMap<String, ServerId>,
    next_id: ServerId,
    pools: HashMap<String, u16>,
    slow_starts: HashMap<u16, SlowStart>,
    evacuated_zones: HashSet<String>,
    /// Zones whose evacuation has ended, and when: a list read before that does not know which of their servers have
    /// restarted meanwhile.
    restored_zones: HashMap<String, Millis>,
    /// All proxies, ready or about to be.
    proxies: Vec<Ipv4Addr>,
    local_ip: Ipv4Addr,
    retry_budget: RetryBudget,
}

impl EndpointSet {
    /// An empty set at the proxy with that address.
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

    /// The number of a service's pool, the same for as long as the process lives.
    pub fn pool(&mut self, service: &str) -> u16 {
        let next = self.pools.len() as u16;
        *self.pools.entry(service.to_string()).or_insert(next)
    }

    /// The configured slow start of a service's servers.
    pub fn set_slow_start(&mut self, service: &str, slow_start: SlowStart) {
        let pool = self.pool(service);
        self.slow_starts.insert(pool, slow_start);
    }

    /// One endpoint.
    pub fn get(&self, id: ServerId) -> Option<&Endpoint> {
        self.endpoints.get(&id)
    }

    /// No server was ever listed.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Takes in the platform's list, which is complete and `age` milliseconds old. A server that is not in it gets
    /// nothing new.
    pub fn update(
        &mut self,
        now: Millis,
        age: Millis,
        servers: Vec<ServerInstance>,
        locate: impl Fn(&str) -> ZoneLocation,
    ) {
        let preferred = PreferredServers::choose(self.local_ip, &servers);
        let mut listed = HashSet::new();
        for server in servers {
            let mut location = locate(&server.zone);
            location.cost *= preferred.cost_factor(&server.uid);
            listed.insert(self.update_server(now, age, server, location));
        }
        let unlisted = self
            .endpoints
            .iter_mut()
            .filter(|(id, _)| !listed.contains(id));
        unlisted.for_each(|(_, endpoint)| endpoint.server.draining = true);
    }

    fn update_server(
        &mut self,
        now: Millis,
        age: Millis,
        server: ServerInstance,
        location: ZoneLocation,
    ) -> ServerId {
        let pool = self.pool(&server.service);
        let id = self.id(&server.uid);
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
            reported: Health::Removed,
        });
        endpoint.slow_start_until = if predates_restore {
            endpoint.slow_start_until.max(slow_start_until)
        } else {
            slow_start_until
        };
        endpoint.server = server;
        id
    }

    fn id(&mut self, uid: &str) -> ServerId {
        if let Some(id) = self.ids.get(uid) {
            return *id;
        }
        let id = self.next_id;
        self.ids.insert(uid.to_string(), id);
        self.next_id += 1;
        id
    }

    /// Replaces the zones that get nothing. Servers of a zone whose evacuation ends may have restarted meanwhile: they
    /// begin with a slow start.
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

    /// The zones that get nothing, in no order.
    pub fn evacuated_zones(&self) -> Vec<String> {
        self.evacuated_zones.iter().cloned().collect()
    }

    /// Replaces the list of proxies.
    pub fn set_proxies(&mut self, proxies: Vec<Ipv4Addr>) {
        self.proxies = proxies;
    }

    /// How many proxies share the work, this one among them.
    pub fn proxy_count(&self) -> usize {
        self.proxies.len().max(1)
    }

    /// A server reports itself how much of its slow start is left.
    pub fn report_slow_start(&mut self, now: Millis, id: ServerId, left: Millis) {
        if left <= 0.0 {
            return;
        }
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            endpoint.slow_start_until = endpoint.slow_start_until.max(now + left);
        }
    }

    /// Refills tokens. Returns the endpoints whose health changed for the decision engine.
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
        self.report_change(now, id)
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

    /// A request is about to leave for that server, whatever the decision engine knew when it decided.
    pub fn reserve(&mut self, now: Millis, id: ServerId) -> Reservation {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return Reservation {
                granted: false,
                change: None,
            };
        };
        let granted = health(now, endpoint, &self.evacuated_zones) == Health::Ready;
        if granted && endpoint.in_slow_start(now) {
            endpoint.slow_start_tokens.spend();
        }
        Reservation {
            granted,
            change: self.report_change(now, id),
        }
    }

    /// The endpoint's health, if it differs from what was last reported to the decision engine.
    fn report_change(&mut self, now: Millis, id: ServerId) -> Option<ServerEntry> {
        let endpoint = self.endpoints.get_mut(&id)?;
        let health = health(now, endpoint, &self.evacuated_zones);
        if endpoint.reported == health {
            return None;
        }
        endpoint.reported = health;
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

    /// A client's request came for that pool.
    pub fn record_request(&mut self, now: Millis, pool: u16) {
        self.retry_budget.record_request(now, pool);
    }

    /// Whether a request for that pool may be retried now; if so, the retry is counted.
    pub fn reserve_retry(&mut self, now: Millis, pool: u16) -> bool {
        let proxies = self.proxy_count();
        self.retry_budget.reserve_retry(now, pool, proxies)
    }
}

/// The health that the decision engine is to go by.
fn health(now: Millis, endpoint: &Endpoint, evacuated_zones: &HashSet<String>) -> Health {
    let is_out = endpoint.server.draining || evacuated_zones.contains(&endpoint.server.zone);
    let has_capacity = !endpoint.in_slow_start(now) || endpoint.slow_start_tokens.available();
    if !is_out && has_capacity {
        Health::Ready
    } else {
        Health::Draining
    }
}
