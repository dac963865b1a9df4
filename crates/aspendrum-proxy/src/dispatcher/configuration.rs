//! A configuration as requests read it, and the tables that the decision engine needs for it.

use super::engine::{default_group, quota_plan};
use crate::counter::{CounterId, Quota};
use aspendrum_core::api::{GroupSettings, PlanSettings, Semantics, TenantId};
use aspendrum_model::config::{Config, Route};
use aspendrum_model::settings::Settings;
use aspendrum_reconcile::state_digest;
use std::collections::HashMap;

/// A configuration that is in force, and the decision engine's numbers for its parts.
pub struct ConfigSnapshot {
    /// The configuration.
    pub config: Config,
    /// The number of each service's pool.
    pub pools: HashMap<String, u16>,
    /// Regions in which each route's requests may be served, a bit each.
    pub route_regions: Vec<u64>,
    /// Regions in which each tenant's requests may be served, a bit each.
    pub tenant_regions: Vec<u64>,
    /// The group of each route.
    pub(super) groups: Vec<u16>,
    pub(super) tenants: Vec<TenantNumbers>,
}

/// A tenant as the decision engine numbers it; both are 0 for requests without a tenant.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TenantNumbers {
    pub(super) id: TenantId,
    pub(super) plan: u32,
}

impl ConfigSnapshot {
    /// Whether that configuration is newer, or another one under the same version.
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

/// The regions that the settings know of these, a bit each; all where none is named.
pub(super) fn region_bits(settings: &Settings, regions: &[String]) -> u64 {
    if regions.is_empty() {
        return u64::MAX;
    }
    let numbers = regions
        .iter()
        .filter_map(|region| settings.region_number(region));
    numbers.fold(0, |bits, number| bits | 1 << number)
}

/// Routes that the decision engine treats alike share a group. Numbers are compared by their bits.
#[derive(PartialEq, Eq, Hash)]
struct GroupKey {
    goal: u64,
    limit: u64,
    idempotent: bool,
    priority: u64,
}

/// The decision engine's groups and plans. They only ever grow: numbers stay valid for requests in flight.
pub(super) struct EngineTables {
    pub(super) groups: Vec<GroupSettings>,
    pub(super) plans: Vec<PlanSettings>,
    group_numbers: HashMap<GroupKey, u16>,
    plan_numbers: HashMap<String, u32>,
}

impl Default for EngineTables {
    /// The first group and the first plan are for what has none.
    fn default() -> EngineTables {
        EngineTables {
            groups: vec![default_group()],
            plans: vec![quota_plan(0.0, 0.0)],
            group_numbers: HashMap::new(),
            plan_numbers: HashMap::new(),
        }
    }
}

impl EngineTables {
    /// The group of a route.
    pub(super) fn group(&mut self, route: &Route) -> u16 {
        let key = GroupKey {
            goal: route.latency_target_ms.to_bits(),
            limit: route.timeout_ms.to_bits(),
            idempotent: route.idempotent,
            priority: route.priority.to_bits(),
        };
        if let Some(number) = self.group_numbers.get(&key) {
            return *number;
        }
        let number = self.groups.len() as u16;
        self.groups.push(GroupSettings {
            // Late answers have their value: servers are not left idle for a latency target that cannot be met.
            latency_target: route.timeout_ms,
            hard_limit: route.timeout_ms,
            semantics: if route.idempotent {
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

    /// The plan of a tenant, which now has that quota.
    pub(super) fn plan(&mut self, tenant: &str, quota: &Quota) -> u32 {
        let next = self.plans.len() as u32;
        let number = *self.plan_numbers.entry(tenant.to_string()).or_insert(next);
        let plan = quota_plan(quota.rate, quota.burst);
        match self.plans.get_mut(number as usize) {
            Some(existing) => *existing = plan,
            None => self.plans.push(plan),
        }
        number
    }
}

/// The decision engine's id of a tenant: its counter's.
pub(super) fn tenant_id(tenant: &str) -> TenantId {
    CounterId::of_tenant(tenant).0
}
