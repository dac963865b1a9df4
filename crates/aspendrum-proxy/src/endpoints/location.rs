//! How far zones are from this proxy.

use aspendrum_model::settings::Settings;

/// How many times dearer a server in another zone or region is than one in this proxy's zone: bytes between regions cost
/// eight times those between zones, and for a whole request about a fifth of what it earns.
const OTHER_ZONE_COST: f32 = 1.3;
const OTHER_REGION_COST: f32 = 7.0;
/// The number of a region that the settings do not name.
const UNKNOWN_REGION: u8 = u8::MAX;

/// Where a zone lies, seen from this proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneLocation {
    /// The number of its region.
    pub region: u8,
    /// How many times dearer a server there is than one in this proxy's zone.
    pub cost: f32,
}

impl ZoneLocation {
    /// Seen from the zone that the settings name.
    pub fn of(zone: &str, settings: &Settings) -> ZoneLocation {
        let region = settings.region_of(zone).unwrap_or(UNKNOWN_REGION);
        let is_local_region = settings.region_of(&settings.zone) == Some(region);
        let cost = match (zone == settings.zone, is_local_region) {
            (true, _) => 1.0,
            (false, true) => OTHER_ZONE_COST,
            (false, false) => OTHER_REGION_COST,
        };
        ZoneLocation { region, cost }
    }
}
