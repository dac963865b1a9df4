//! Routes: the services and the terms for the requests of one host and path prefix.

/// The services for requests of one host and path prefix, and the limits on these requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for logs and reports.
    pub name: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// The latency within which an answer has its full value, in milliseconds.
    pub latency_target_ms: f64,
    /// The time-out of a request, in milliseconds, over all its attempts.
    pub timeout_ms: f64,
    /// The rank of its requests when load is shed, behind the tenant's; 0 is the highest.
    pub priority: f64,
    /// Whether requests need no credential.
    pub is_public: bool,
    /// The most servers that one request may be sent to, the first included.
    pub max_attempts: u32,
    /// The only regions in which requests may be served; empty: all.
    pub home_regions: Vec<String>,
    /// The services that share the requests. Their weights are not negative and sum to more than 0.
    pub services: Vec<WeightedService>,
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service's name.
    pub service: String,
    /// Its share, relative to the other weights of the route.
    pub weight: f64,
}

impl Route {
    /// The service that a request goes to. `chance` is drawn evenly from 0 to 1.
    pub fn service(&self, chance: f64) -> &str {
        let mut remaining = chance * self.services.iter().map(|s| s.weight).sum::<f64>();
        for WeightedService { service, weight } in &self.services {
            remaining -= weight;
            if remaining < 0.0 {
                return service;
            }
        }
        // Reached if rounding left `remaining` at 0 or more. A service without weight must not be chosen then either.
        let last_weighted = self.services.iter().rev().find(|s| s.weight > 0.0);
        last_weighted.map_or("", |s| &s.service)
    }
}
