//! How the decision engine is set up in a proxy. Its zones are the system's regions.

use aspendrum_core::api::{
    GroupSettings, LoadReportChannel, LoadValue, Millis, PlanSettings, RepeatGroup, Semantics,
    Settings,
};

/// How often the decision engine's timer runs.
pub const TICK_MS: Millis = 5.0;
/// The module sends to a server what answers have paid back; so many limiters share the initial credit. With more, a few
/// servers' initial credits hold requests up at a proxy that sees a tenth of the traffic.
const CREDIT_SHARERS: u32 = 2;

/// The group of requests that no route names.
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

/// A plan with a quota and nothing beyond it.
pub(super) fn quota_plan(rate: f64, burst: f64) -> PlanSettings {
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

/// The decision engine's settings in a proxy of that region.
pub(super) fn engine_settings(region: u8) -> Settings {
    Settings {
        instance: 0,
        instances: CREDIT_SHARERS,
        zone: region,
        tick: TICK_MS,
        groups: vec![default_group()],
        plans: vec![quota_plan(0.0, 0.0)],
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
