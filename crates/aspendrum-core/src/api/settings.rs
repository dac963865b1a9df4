//! The settings of an engine.

use super::Millis;

/// The effect of executing a request twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Semantics {
    /// The effect is the same as that of one execution.
    Idempotent,
    /// Servers recognize the repeat by the request's key and do not execute it again.
    Deduplicated,
    /// The request takes effect twice.
    NonIdempotent,
}

/// The servers that recognize a deduplicated request's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatGroup {
    /// All servers.
    All,
    /// The servers in the zone of the first server.
    Zone,
    /// The servers in the cell of the first server.
    Cell,
}

/// The meaning of a value in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadValue {
    /// The number of requests in execution.
    RequestsInFlight,
    /// The number of requests queued at the server.
    RequestsQueued,
    /// The CPU utilization; 1 is all processors.
    CpuUtilization,
    /// The service time of a request, in milliseconds.
    ServiceTimeMs,
    /// The number of responses per second.
    ResponsesPerSecond,
    /// The number of failures per second.
    FailuresPerSecond,
    /// A value that the engine does not use.
    Unknown,
}

/// How load reports are delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportChannel {
    /// With responses and with replies to probes.
    Responses,
    /// With replies to probes only.
    Probes,
    /// There are no load reports.
    Disabled,
}

/// A group of endpoints with common settings.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupSettings {
    /// A response within this time has its full value.
    pub latency_target: Millis,
    /// A response after this time has no value.
    pub hard_limit: Millis,
    /// The effect of executing one of its requests twice.
    pub semantics: Semantics,
    /// The servers that recognize repeats of its requests, if they are deduplicated.
    pub repeat_group: RepeatGroup,
    /// How long repeats are recognized, if its requests are deduplicated.
    pub repeat_window: Millis,
    /// The value of a response, relative to other groups.
    pub importance: f64,
    /// The fraction of that value which a response after the latency target has.
    pub late_value_share: f64,
    /// Its responses are streams.
    pub is_streaming: bool,
}

/// A plan: the quota and the rate limit of each of its tenants.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanSettings {
    /// The quota is always counted in fixed windows of burst / rate.
    pub is_windowed: bool,
    /// The quota's rate in units per second; 0: no quota.
    pub rate: f64,
    /// The quota's burst in units.
    pub burst: f64,
    /// The value of a response, relative to other plans.
    pub price: f64,
    /// The value of a request beyond the quota, as a fraction of its normal value.
    pub overage_value: f64,
    /// The cost of a request beyond the quota, as a fraction of its normal value.
    pub overage_cost: f64,
    /// The maximum number of requests in flight; 0: unlimited.
    pub max_in_flight: u32,
    /// The rate limit in units per second, which holds under any failure; 0: no rate limit.
    pub rate_limit: f64,
    /// The rate limit's burst in units.
    pub rate_limit_burst: f64,
    /// The tolerance in units by which the rate limit may be exceeded.
    pub rate_limit_slack: f64,
}

/// The settings of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This instance's number, counted from 0.
    pub instance: u32,
    /// The number of instances; not 0.
    pub instances: u32,
    /// This instance's zone.
    pub zone: u8,
    /// The granularity of event times.
    pub tick: Millis,
    /// Endpoint groups, by index.
    pub groups: Vec<GroupSettings>,
    /// Plans, by index.
    pub plans: Vec<PlanSettings>,
    /// The meanings of the values in a load report, in order.
    pub load_values: Vec<LoadValue>,
    /// How load reports are delivered.
    pub load_reports: LoadReportChannel,
    /// The server list has to be polled; otherwise discovery pushes it.
    pub polls_discovery: bool,
    /// The maximum interval between two polls, if the server list has to be polled.
    pub discovery_poll_limit: Millis,
    /// How long an instance may still send requests to a server after the notification that it is
    /// draining.
    pub drain_grace: Millis,
    /// A starting server collapses under more load than this multiple of its capacity.
    pub collapse_multiple: f64,
    /// How long such a load has to last for a collapse.
    pub collapse_window: Millis,
    /// The fraction of its capacity that a server has at its start.
    pub slow_start_capacity: f64,
    /// The time from its start until a server has its full capacity.
    pub slow_start_time: Millis,
    /// How long after a client's deadline a final answer is still accepted.
    pub answer_grace: Millis,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Servers may be probed.
    pub may_probe: bool,
    /// Instances may send datagrams to each other.
    pub may_send_datagrams: bool,
    /// A request may have two attempts in flight.
    pub may_hedge: bool,
    /// The maximum number of attempts per request.
    pub max_attempts: u32,
    /// Rejections may contain a retry delay for clients.
    pub sends_retry_after: bool,
    /// The maximum retry delay.
    pub max_retry_after: Millis,
    /// There is a shared counter.
    pub has_counter: bool,
    /// The timeout of a counter call.
    pub counter_timeout: Millis,
    /// The price of a counter call.
    pub counter_price: f64,
    /// The price of a probe.
    pub probe_price: f64,
    /// The price of a request to another zone.
    pub cross_zone_price: f64,
    /// The units of the largest request.
    pub max_units: f64,
    /// The actual cost of a request is known after its execution.
    pub cost_known_after: bool,
    /// The window over which servers meter a tenant's usage; 0: they do not.
    pub metering_window: Millis,
    /// The maximum rate of datagrams to an instance, per second.
    pub peer_datagrams_per_second: f64,
}
