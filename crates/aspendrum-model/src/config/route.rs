//! Routes: the services and limits for the requests of one host and path prefix.

/// The services and limits for the requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the route, for logs and reports.
    pub name: String,
    /// Whether a request may be executed more than once.
    pub is_idempotent: bool,
    /// The target latency of a response, in milliseconds.
    pub latency_target_ms: f64,
    /// The timeout of a request including all attempts, in milliseconds.
    pub timeout_ms: f64,
    /// The priority of its requests for load shedding, compared after the priority of the tenant; 0 is the highest.
    pub priority: f64,
    /// Whether requests are accepted without a credential.
    pub is_public: bool,
    /// The maximum number of attempts per request, including the first.
    pub max_attempts: u32,
    /// The regions in which requests may be served; empty means all regions.
    pub home_regions: Vec<String>,
    /// The services that share the requests. No weight is negative, and the sum of the weights is positive.
    pub services: Vec<WeightedService>,
}

/// A service and its share of the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The name of the service.
    pub service: String,
    /// The weight of the service, relative to the other services of the route.
    pub weight: f64,
}

impl Route {
    /// Selects the service for a request. `selection` is a uniform random number from 0 to 1.
    pub fn select_service(&self, selection: f64) -> &str {
        let mut remaining = selection * self.services.iter().map(|s| s.weight).sum::<f64>();
        for WeightedService { service, weight } in &self.services {
            remaining -= weight;
            if remaining < 0.0 {
                return service;
            }
        }
        // Reached if `remaining` is still not negative, through rounding or because `selection` is 1. A service with
        // weight 0 must not be selected in this case either.
        let last_weighted = self.services.iter().rev().find(|s| s.weight > 0.0);
        last_weighted.map_or("", |s| &s.service)
    }
}
