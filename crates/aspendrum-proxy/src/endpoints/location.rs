//! Relative cost of zones as seen from this proxy.

use aspendrum_model::settings::{Settings, UNKNOWN_REGION};

/// The relative cost of a server in another zone or region, where 1 is the cost in this proxy's zone. Traffic between
/// regions costs eight times as much as traffic between zones, and for a whole request about a fifth of its revenue.
const CROSS_ZONE_COST: f32 = 1.3;
const CROSS_REGION_COST: f32 = 7.0;

/// The region and the relative cost of a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneLocation {
    /// The number of the zone's region.
    pub region: u8,
    /// The relative cost of a server in the zone, where 1 is the cost in this proxy's zone.
    pub cost: f32,
}

impl ZoneLocation {
    /// Returns the location of `zone` as seen from the zone in the settings.
    pub fn new(zone: &str, settings: &Settings) -> ZoneLocation {
        let region = settings.zone_region_number(zone).unwrap_or(UNKNOWN_REGION);
        let is_local_region = settings.zone_region_number(&settings.zone) == Some(region);
        let cost = match (zone == settings.zone, is_local_region) {
            (true, _) => 1.0,
            (false, true) => CROSS_ZONE_COST,
            (false, false) => CROSS_REGION_COST,
        };
        ZoneLocation { region, cost }
    }
}
