//! Sizes of fleets, and the zones and regions over which they are spread.

use std::collections::BTreeMap;

/// Zones of each fleet.
pub const ZONES: usize = 20;
/// Regions of each fleet.
pub const REGIONS: usize = 9;

/// How large a fleet is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSize {
    /// Proxies, each with its agent.
    pub limiters: usize,
    /// Servers of all services.
    pub servers: usize,
    /// Services.
    pub services: usize,
    /// Routes of the configuration.
    pub routes: usize,
    /// Tenants of the configuration.
    pub tenants: usize,
}

/// The operators' target, and two sizes on the way to it.
pub const GRADES: [FleetSize; 3] = [
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

/// The operators' target.
pub const TARGET: FleetSize = FleetSize {
    limiters: 430,
    servers: 3_700,
    services: 250,
    routes: 1_900,
    tenants: 35_000,
};

/// The name of a zone. Numbers from [`ZONES`] on begin again with the first zone.
pub fn zone(number: usize) -> String {
    format!("zone-{:02}", number % ZONES)
}

/// The name of the region in which the zone of that number lies.
pub fn region(number: usize) -> String {
    format!("region-{}", number % ZONES * REGIONS / ZONES)
}

/// The region of each zone.
pub fn region_by_zone() -> BTreeMap<String, String> {
    (0..ZONES).map(|n| (zone(n), region(n))).collect()
}
