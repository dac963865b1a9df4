//! Fleet sizes, and the zones and regions of a fleet.

use std::collections::BTreeMap;

/// The number of zones of each fleet.
pub const ZONES: usize = 20;
/// The number of regions of each fleet.
pub const REGIONS: usize = 9;

/// The size of a fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSize {
    /// The number of limiters: proxies with their agents.
    pub limiters: usize,
    /// The number of servers, over all services.
    pub servers: usize,
    /// The number of services.
    pub services: usize,
    /// The number of routes in the configuration.
    pub routes: usize,
    /// The number of tenants in the configuration.
    pub tenants: usize,
}

/// Two smaller sizes and the operators' target, in ascending order.
pub const FLEET_SIZES: [FleetSize; 3] = [
    FleetSize {
        limiters: 30,
        servers: 230,
        services: 16,
        routes: 100,
        tenants: 500,
    },
    FleetSize {
        limiters: 100,
        servers: 925,
        services: 62,
        routes: 475,
        tenants: 5_000,
    },
    TARGET,
];

/// The operators' target size.
pub const TARGET: FleetSize = FleetSize {
    limiters: 430,
    servers: 3_700,
    services: 250,
    routes: 1_900,
    tenants: 35_000,
};

/// Returns the name of a zone. Numbers wrap around at [`ZONES`].
pub fn zone(number: usize) -> String {
    format!("zone-{:02}", number % ZONES)
}

/// Returns the name of the region of a zone.
pub fn region(number: usize) -> String {
    format!("region-{}", number % ZONES * REGIONS / ZONES)
}

/// Returns the region of each zone, by zone name.
pub fn region_by_zone() -> BTreeMap<String, String> {
    (0..ZONES).map(|n| (zone(n), region(n))).collect()
}
