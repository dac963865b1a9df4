//! Settings of the decision engine in a proxy. The engine's zones are the regions of the deployment.

use crate::counter::Quota;
use aspendrum_core::api::{
    GroupSettings, LoadReportChannel, LoadValue, Millis, PlanSettings, RepeatGroup, Semantics,
    Settings,
};

/// The interval of the decision engine's timer, in milliseconds.
pub const TICK_MS: Millis = 5.0;
/// The number of instances among which the engine divides a server's initial concurrency limit. Responses adjust the
/// limit afterwards. With a larger number, a proxy with a tenth of the traffic delays requests while it has only the
/// initial limits of a few servers.
const INITIAL_CREDIT_INSTANCES: u32 = 2;

/// Returns the settings of the group used for requests without a group of their own.
pub(super) fn default_group() -> GroupSettings {
    GroupSettings {
        latency_target: 400.0,
        hard_limit: 2000.0,
        semantics: Semantics::NonIdempotent,
        repeat_group: RepeatGroup::All,
        repeat_window: 0.0,
        importance: 1.0,
        late_value_share: 0.0,
        is_streaming: false,
    }
}

/// Returns a plan with this quota and no other limit. A rate of 0 means no quota to the engine.
pub(super) fn plan_with_quota(quota: Option<Quota>) -> PlanSettings {
    let (rate, burst) = quota.map_or((0.0, 0.0), |quota| (quota.rate, quota.burst));
    PlanSettings {
        is_windowed: true,
        rate,
        burst,
        price: 1.0,
        overage_value: 0.0,
        overage_cost: 1.0,
        max_in_flight: 0,
        rate_limit: 0.0,
        rate_limit_burst: 0.0,
        rate_limit_slack: 0.0,
    }
}

/// Returns the decision engine's settings for a proxy in the given region.
pub(super) fn engine_settings(region: u8) -> Settings {
    Settings {
        instance: 0,
        instances: INITIAL_CREDIT_INSTANCES,
        zone: region,
        tick: TICK_MS,
        groups: vec![default_group()],
        plans: vec![plan_with_quota(None)],
        load_values: vec![LoadValue::CpuUtilization],
        load_reports: LoadReportChannel::Responses,
        polls_discovery: false,
        discovery_poll_limit: 0.0,
        drain_grace: 0.0,
        collapse_multiple: 1.0,
        collapse_window: 1000.0,
        slow_start_capacity: 1.0,
        slow_start_time: 0.0,
        answer_grace: 0.0,
        may_cancel: false,
        may_probe: true,
        may_send_datagrams: false,
        may_hedge: false,
        max_attempts: 8,
        sends_retry_after: true,
        max_retry_after: 2000.0,
        has_counter: true,
        counter_timeout: 600.0,
        counter_price: 0.0,
        probe_price: 0.0,
        cross_zone_price: 0.0,
        max_units: 1.0,
        cost_known_after: false,
        metering_window: 0.0,
        peer_datagrams_per_second: 0.0,
    }
}
