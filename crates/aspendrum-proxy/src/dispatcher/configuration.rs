//! The configuration snapshot used by requests, and the decision engine's tables built from it.

use super::engine::{default_group, plan_with_quota};
use crate::counter::{CounterId, Quota};
use aspendrum_core::api::{GroupSettings, PlanSettings, Semantics, TenantId, ZoneSet};
use aspendrum_model::config::{Config, Route};
use aspendrum_model::settings::Settings;
use aspendrum_reconcile::state_digest;
use std::collections::HashMap;

/// The active configuration with the decision engine's numbers for its routes, tenants and services.
pub struct ConfigSnapshot {
    /// The configuration.
    pub config: Config,
    /// The pool number of each service.
    pub pools: HashMap<String, u16>,
    /// The numbers of the regions in which each route's requests may be served.
    pub route_regions: Vec<ZoneSet>,
    /// The numbers of the regions in which each tenant's requests may be served.
    pub tenant_regions: Vec<ZoneSet>,
    /// The decision engine's group of each route.
    pub(super) groups: Vec<u16>,
    pub(super) tenants: Vec<TenantNumbers>,
}

/// The decision engine's numbers for a tenant; both are 0 for requests without a tenant.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TenantNumbers {
    pub(super) id: TenantId,
    pub(super) plan: u32,
}

impl ConfigSnapshot {
    /// Whether `config` is newer than this configuration, or has the same version and a different content.
    pub(super) fn is_superseded_by(&self, config: &Config) -> bool {
        let digest = |config: &Config| state_digest(Some(config), 0, &[]);
        let is_newer = config.version > self.config.version;
        is_newer || config.version == self.config.version && digest(config) != digest(&self.config)
    }

    pub(super) fn group(&self, route: usize) -> u16 {
        self.groups[route]
    }

    pub(super) fn tenant(&self, tenant: usize) -> TenantNumbers {
        self.tenants[tenant]
    }
}

/// Returns the numbers of the regions in which requests with these home regions may be served. Regions missing from
/// the settings are ignored; an empty list means all regions.
pub(super) fn allowed_regions(settings: &Settings, home_regions: &[String]) -> ZoneSet {
    if home_regions.is_empty() {
        return ZoneSet::ALL;
    }
    let numbers = home_regions
        .iter()
        .filter_map(|region| settings.region_number(region));
    numbers.collect()
}

/// The settings by which routes are grouped. Routes with equal settings share a group; floating-point values are
/// compared by their bits. The group's own settings do not depend on `latency_target`: routes that differ in nothing
/// else still get groups of their own.
#[derive(PartialEq, Eq, Hash)]
struct GroupKey {
    latency_target: u64,
    timeout: u64,
    idempotent: bool,
    priority: u64,
}

/// The number of the default group. Its requests are never retried, so it may stand for any other group.
const DEFAULT_GROUP: u16 = 0;

/// The decision engine's groups and plans. Entries are never removed, so that the numbers held by requests in
/// flight stay valid.
pub(super) struct EngineTables {
    pub(super) groups: Vec<GroupSettings>,
    pub(super) plans: Vec<PlanSettings>,
    group_numbers: HashMap<GroupKey, u16>,
    plan_numbers: HashMap<String, u32>,
}

impl Default for EngineTables {
    /// The first group and the first plan are the defaults for requests without a route or a tenant.
    fn default() -> EngineTables {
        EngineTables {
            groups: vec![default_group()],
            plans: vec![plan_with_quota(None)],
            group_numbers: HashMap::new(),
            plan_numbers: HashMap::new(),
        }
    }
}

impl EngineTables {
    /// Returns the number of the group for a route, adding the group if needed; the default group once all numbers are used.
    pub(super) fn group_number(&mut self, route: &Route) -> u16 {
        let key = GroupKey {
            latency_target: route.latency_target_ms.to_bits(),
            timeout: route.timeout_ms.to_bits(),
            idempotent: route.is_idempotent,
            priority: route.priority.to_bits(),
        };
        if let Some(number) = self.group_numbers.get(&key) {
            return *number;
        }
        let Ok(number) = u16::try_from(self.groups.len()) else {
            return DEFAULT_GROUP;
        };
        self.groups.push(GroupSettings {
            // The engine's latency target is the route's timeout, because a late response still has value. With a
            // target that cannot be met, the engine would leave servers idle.
            latency_target: route.timeout_ms,
            hard_limit: route.timeout_ms,
            semantics: if route.is_idempotent {
                Semantics::Idempotent
            } else {
                Semantics::NonIdempotent
            },
            importance: 1.0 / (1.0 + route.priority),
            ..default_group()
        });
        self.group_numbers.insert(key, number);
        number
    }

    /// Sets the quota of a tenant's plan, `None` for no limit, and returns the plan's number.
    pub(super) fn set_plan(&mut self, tenant: &str, quota: Option<Quota>) -> u32 {
        let next = self.plans.len() as u32;
        let number = *self.plan_numbers.entry(tenant.to_string()).or_insert(next);
        let plan = plan_with_quota(quota);
        match self.plans.get_mut(number as usize) {
            Some(existing) => *existing = plan,
            None => self.plans.push(plan),
        }
        number
    }
}

/// Returns the decision engine's id of a tenant, which is the id of its counter.
pub(super) fn tenant_id(tenant: &str) -> TenantId {
    CounterId::for_tenant(tenant).0
}
