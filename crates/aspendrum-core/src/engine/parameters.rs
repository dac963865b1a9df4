//! The numbers that decisions use, worked out of the settings.

use crate::api::{
    GroupSettings, LoadReportChannel, LoadValue, Millis, PlanSettings, RepeatGroup, Semantics,
    Settings,
};
use crate::spread;
use crate::state::request::MAX_ATTEMPTS;

/// With more instances than these, each probes servers less often: hundreds would load what they
/// probe.
const PROBING_INSTANCES: f64 = 16.0;
/// Of a rate limit, what the first quota owner grants from; the instances split the rest.
pub(crate) const OWNER_CEILING_SHARE: f64 = 0.6;
/// Of the datagrams that an instance takes in, the share that it may ask for with token requests.
const TOKEN_REPLY_SHARE: f64 = 0.25;
/// Of what makes a starting server collapse, what all instances together send it.
const SLOW_START_SHARE: f64 = 0.35;
/// Of what a warm server carries for its capacity, the most that a starting one is sent.
const SLOW_START_MAX: f64 = 1.0;

/// An endpoint group's settings.
pub(crate) struct GroupParameters {
    /// The latency target.
    pub(crate) target: Millis,
    pub(crate) semantics: Semantics,
    pub(crate) repeat_group: RepeatGroup,
    /// For how long servers recognize a repeated request.
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

/// A plan's quota and rate limit. Rates are units a millisecond.
pub(crate) struct PlanParameters {
    /// The quota is counted in fixed windows, however large it is.
    pub(crate) is_windowed: bool,
    /// 0: no quota.
    pub(crate) rate: f64,
    pub(crate) burst: f64,
    /// The time in which the rate fills the burst.
    pub(crate) window: Millis,
    pub(crate) price: f64,
    /// What a request beyond the quota is worth, in relation to one within it.
    pub(crate) overage_value: f64,
    pub(crate) overage_cost: f64,
    /// Requests in flight at once; 0: unlimited.
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

/// What an instance goes by, fixed at its start but for groups and plans.
pub(crate) struct Parameters {
    pub(crate) groups: Vec<GroupParameters>,
    pub(crate) plans: Vec<PlanParameters>,
    /// Where in a load report the share of capacity in use stands.
    pub(crate) load_index: Option<usize>,
    /// Load reports come with probes only.
    pub(crate) reports_by_probe: bool,
    /// The list of servers is asked for, not pushed.
    pub(crate) polls_discovery: bool,
    /// There is a shared counter.
    pub(crate) has_counter: bool,
    pub(crate) counter_timeout: Millis,
    pub(crate) may_cancel: bool,
    pub(crate) may_probe: bool,
    pub(crate) max_attempts: usize,
    /// The longest `retry_after` that is sent to clients.
    pub(crate) max_retry_after: Millis,
    pub(crate) zone: u8,
    pub(crate) cross_zone_price: f64,
    /// The units of the largest request.
    pub(crate) max_units: f64,
    /// A request's cost is known after it was executed.
    pub(crate) cost_known_after: bool,
    pub(crate) instances: f64,
    /// This instance's number.
    pub(crate) instance: u16,
    /// Tenants' quotas have owners among the instances.
    pub(crate) has_quota_owners: bool,
    /// The least time between two token requests.
    pub(crate) token_request_interval: Millis,
    /// Of a rate limit, what the instances split evenly.
    pub(crate) split_rate_limit_share: f64,
    /// Requests in a window that all instances may send to a starting server, for each that a warm one answers in a
    /// millisecond.
    pub(crate) slow_start_budget: f64,
    /// Where in `0.0..1.0` this instance begins to fill slow start tokens.
    pub(crate) slow_start_phase: f64,
    /// By how much less often this instance probes, since others probe too; 1 in small fleets.
    pub(crate) probe_spacing: f64,
    /// Of its capacity, what a server has at its start.
    pub(crate) slow_start_capacity: f64,
    pub(crate) slow_start_time: Millis,
    /// The window in which a starting server must not get too much.
    pub(crate) slow_start_window: Millis,
}

impl Parameters {
    /// As the settings have it.
    pub(crate) fn new(settings: &Settings) -> Self {
        let instances = f64::from(settings.instances);
        let probe_spacing = (instances / PROBING_INSTANCES).max(1.0);
        let has_quota_owners = settings.may_send_datagrams && probe_spacing > 1.0;
        let collapse = (SLOW_START_SHARE * settings.collapse_multiple).min(SLOW_START_MAX);
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
                1.0 - OWNER_CEILING_SHARE
            } else {
                1.0
            },
            slow_start_budget: collapse * settings.collapse_window,
            slow_start_phase: spread::phase(f64::from(settings.instance)),
            probe_spacing,
            slow_start_capacity: settings.slow_start_capacity,
            slow_start_time: settings.slow_start_time,
            slow_start_window: settings.collapse_window,
        }
    }

    /// The shortest latency target of all endpoint groups; infinite without any.
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
