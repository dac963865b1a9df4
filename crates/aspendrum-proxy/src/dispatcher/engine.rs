//! How the decision module is set up in a proxy. Its zones are the system's regions.

use aspendrum_core::api::{
    Group, LoadValue, Ms, Plan, RepeatGroup, ReportsVia, Semantics, Settings,
};

/// How often the decision module's timer runs.
pub const TICK_MS: Ms = 5.0;
/// The module sends to a server what answers have paid back; so many limiters share the initial credit. With more, a few
/// servers' initial credits hold requests up at a proxy that sees a tenth of the traffic.
const CREDIT_SHARERS: u32 = 2;

/// The group of requests that no route names.
pub(super) fn default_group() -> Group {
    Group {
        slo: 400.0,
        limit: 2000.0,
        semantics: Semantics::Mutating,
        repeat_group: RepeatGroup::All,
        repeat_window: 0.0,
        importance: 1.0,
        late_share: 0.0,
        stream: false,
    }
}

/// A plan with a quota and nothing beyond it.
pub(super) fn quota_plan(rate: f64, burst: f64) -> Plan {
    Plan {
        windowed: true,
        rate,
        burst,
        price: 1.0,
        over_worth: 0.0,
        over_cost: 1.0,
        open: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
    }
}

/// The decision module's settings in a proxy of that region.
pub(super) fn engine_settings(region: u8) -> Settings {
    Settings {
        me: 0,
        instances: CREDIT_SHARERS,
        zone: region,
        tick: TICK_MS,
        groups: vec![default_group()],
        plans: vec![quota_plan(0.0, 0.0)],
        load_values: vec![LoadValue::CpuShare],
        reports: ReportsVia::Answers,
        discovery_asks: false,
        must_ask_in: 0.0,
        drain_grace: 0.0,
        fall_multiple: 1.0,
        fall_window: 1000.0,
        cold_share: 1.0,
        cold_time: 0.0,
        answer_grace: 0.0,
        may_cancel: false,
        may_probe: true,
        may_tell: false,
        second_copies: false,
        send_cap: 8,
        retry_after: true,
        max_retry_after: 2000.0,
        counter: true,
        counter_wait: 600.0,
        counter_price: 0.0,
        probe_price: 0.0,
        cross_zone_price: 0.0,
        units_top: 1.0,
        cost_after: false,
        meter: 0.0,
        peer_in_per_s: 0.0,
    }
}
