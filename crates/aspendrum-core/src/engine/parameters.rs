//! The parameters of decisions, derived from the settings.

use crate::api::{
    GroupSettings, LoadReportChannel, LoadValue, Millis, PlanSettings, RepeatGroup, Semantics,
    Settings,
};
use crate::spread;
use crate::state::request::MAX_ATTEMPTS;

/// With more instances than this, each instance probes servers less often, to bound the load that
/// probes put on them. Such a fleet counts as large.
const LARGE_FLEET_INSTANCES: f64 = 16.0;
/// The fraction of a rate limit that the first quota owner holds; all instances split the rest.
pub(crate) const OWNER_RATE_LIMIT_SHARE: f64 = 0.6;
/// The fraction of an instance's incoming datagrams that replies to its token requests may use.
const TOKEN_REPLY_SHARE: f64 = 0.25;
/// The load that all instances together send to a starting server, as a fraction of the load that
/// makes it collapse.
const SLOW_START_COLLAPSE_SHARE: f64 = 0.35;
/// The maximum load sent to a starting server, relative to a warm server of the same capacity.
const MAX_SLOW_START_LOAD: f64 = 1.0;

/// An endpoint group's settings.
pub(crate) struct GroupParameters {
    pub(crate) target: Millis,
    pub(crate) semantics: Semantics,
    pub(crate) repeat_group: RepeatGroup,
    /// How long servers recognize a repeated request.
    pub(crate) repeat_window: Millis,
    pub(crate) importance: f64,
}

impl From<&GroupSettings> for GroupParameters {
    fn from(group: &GroupSettings) -> Self {
        GroupParameters {
            target: group.latency_target,
            semantics: group.semantics,
            repeat_group: group.repeat_group,
            repeat_window: group.repeat_window,
            importance: group.importance,
        }
    }
}

/// A plan's quota and rate limit. Rates are in units per millisecond.
pub(crate) struct PlanParameters {
    /// The quota is always counted in fixed windows.
    pub(crate) is_windowed: bool,
    /// 0: no quota.
    pub(crate) rate: f64,
    pub(crate) burst: f64,
    /// The time in which the rate refills the burst.
    pub(crate) window: Millis,
    pub(crate) price: f64,
    /// The value of a request beyond the quota, relative to one within it.
    pub(crate) overage_value: f64,
    pub(crate) overage_cost: f64,
    /// The maximum number of requests in flight; 0: unlimited.
    pub(crate) max_in_flight: u32,
    /// 0: no rate limit.
    pub(crate) rate_limit: f64,
    pub(crate) rate_limit_burst: f64,
}

impl From<&PlanSettings> for PlanParameters {
    fn from(plan: &PlanSettings) -> Self {
        PlanParameters {
            is_windowed: plan.is_windowed,
            rate: plan.rate / 1000.0,
            burst: plan.burst,
            window: if plan.rate > 0.0 {
                plan.burst / plan.rate * 1000.0
            } else {
                0.0
            },
            price: plan.price,
            overage_value: plan.overage_value,
            overage_cost: plan.overage_cost,
            max_in_flight: plan.max_in_flight,
            rate_limit: plan.rate_limit / 1000.0,
            rate_limit_burst: plan.rate_limit_burst,
        }
    }
}

/// The parameters of an instance. Only groups and plans change after its start.
pub(crate) struct Parameters {
    pub(crate) groups: Vec<GroupParameters>,
    pub(crate) plans: Vec<PlanParameters>,
    /// The index of the CPU utilization in a load report.
    pub(crate) load_index: Option<usize>,
    /// Load reports are only returned by probes.
    pub(crate) reports_by_probe: bool,
    /// The server list is polled rather than pushed.
    pub(crate) polls_discovery: bool,
    /// There is a shared counter.
    pub(crate) has_counter: bool,
    pub(crate) counter_timeout: Millis,
    pub(crate) may_cancel: bool,
    pub(crate) may_probe: bool,
    pub(crate) max_attempts: usize,
    /// The maximum `retry_after` that is sent to clients; 0: none is sent.
    pub(crate) max_retry_after: Millis,
    pub(crate) zone: u8,
    pub(crate) cross_zone_price: f64,
    /// The units of the largest request.
    pub(crate) max_units: f64,
    /// A request's actual cost is known after its execution.
    pub(crate) cost_known_after: bool,
    pub(crate) instances: f64,
    /// This instance's number.
    pub(crate) instance: u16,
    /// Tenants' quotas are owned by instances.
    pub(crate) has_quota_owners: bool,
    /// The minimum time between two token requests.
    pub(crate) token_request_interval: Millis,
    /// The fraction of a rate limit that is split evenly among the instances.
    pub(crate) split_rate_limit_share: f64,
    /// The requests that all instances may send to a starting server per window, for each request
    /// per millisecond that a warm server answers.
    pub(crate) slow_start_budget: f64,
    /// This instance's initial fraction of a slow start token, in `0.0..1.0`.
    pub(crate) slow_start_phase: f64,
    /// The factor by which this instance's probe intervals are longer, since other instances probe
    /// the same servers. Above 1 only in large fleets.
    pub(crate) probe_interval_factor: f64,
    /// The fraction of its capacity that a server has at its start.
    pub(crate) slow_start_capacity: f64,
    pub(crate) slow_start_time: Millis,
    /// The window to which the slow start budget applies.
    pub(crate) slow_start_window: Millis,
}

impl Parameters {
    /// Derives the parameters from the settings.
    pub(crate) fn new(settings: &Settings) -> Self {
        let instances = f64::from(settings.instances);
        let probe_interval_factor = (instances / LARGE_FLEET_INSTANCES).max(1.0);
        let has_quota_owners = settings.may_send_datagrams && probe_interval_factor > 1.0;
        let slow_start_load =
            (SLOW_START_COLLAPSE_SHARE * settings.collapse_multiple).min(MAX_SLOW_START_LOAD);
        Parameters {
            groups: settings.groups.iter().map(GroupParameters::from).collect(),
            plans: settings.plans.iter().map(PlanParameters::from).collect(),
            load_index: settings
                .load_values
                .iter()
                .position(|value| *value == LoadValue::CpuUtilization),
            reports_by_probe: settings.load_reports == LoadReportChannel::Probes,
            polls_discovery: settings.polls_discovery,
            has_counter: settings.has_counter,
            counter_timeout: settings.counter_timeout,
            may_cancel: settings.may_cancel,
            may_probe: settings.may_probe,
            max_attempts: (settings.max_attempts as usize).clamp(1, MAX_ATTEMPTS),
            max_retry_after: if settings.sends_retry_after {
                settings.max_retry_after
            } else {
                0.0
            },
            zone: settings.zone,
            cross_zone_price: settings.cross_zone_price,
            max_units: settings.max_units,
            cost_known_after: settings.cost_known_after,
            instances,
            instance: settings.instance as u16,
            has_quota_owners,
            token_request_interval: token_request_interval(settings.peer_datagrams_per_second),
            split_rate_limit_share: if has_quota_owners {
                1.0 - OWNER_RATE_LIMIT_SHARE
            } else {
                1.0
            },
            slow_start_budget: slow_start_load * settings.collapse_window,
            slow_start_phase: spread::phase(f64::from(settings.instance)),
            probe_interval_factor,
            slow_start_capacity: settings.slow_start_capacity,
            slow_start_time: settings.slow_start_time,
            slow_start_window: settings.collapse_window,
        }
    }

    /// Returns the shortest latency target of all endpoint groups; infinite if there are none.
    pub(crate) fn shortest_target(&self) -> Millis {
        self.groups
            .iter()
            .map(|group| group.target)
            .fold(f64::INFINITY, f64::min)
    }
}

fn token_request_interval(datagrams_per_second: f64) -> Millis {
    if datagrams_per_second > 0.0 {
        1000.0 / (TOKEN_REPLY_SHARE * datagrams_per_second)
    } else {
        0.0
    }
}
