//! What an engine is started with.

use super::Millis;

/// What happens if a request is executed twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Semantics {
    /// The same as if it were executed once.
    Idempotent,
    /// Servers recognize the repeat by the request's key, and don't execute it again.
    Deduplicated,
    /// Its effect happens twice.
    NonIdempotent,
}

/// The servers that recognize a deduplicated request's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatGroup {
    /// All.
    All,
    /// Those of the zone of the server that had it first.
    Zone,
    /// Those of the cell of the server that had it first.
    Cell,
}

/// A value of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadValue {
    /// Requests that the server executes.
    RequestsInFlight,
    /// Requests that wait at the server.
    RequestsQueued,
    /// The share of its processors in use; 1 is all.
    CpuUtilization,
    /// The time that a request takes, in milliseconds.
    ServiceTimeMs,
    /// Requests answered a second.
    ResponsesPerSecond,
    /// Requests failed a second.
    FailuresPerSecond,
    /// Something that the engine does not know.
    Unknown,
}

/// How load reports come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportChannel {
    /// With responses and with answers to probes.
    Responses,
    /// With answers to probes.
    Probes,
    /// Not at all.
    Disabled,
}

/// A group of endpoints that are alike.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupSettings {
    /// A response is worth most within this time.
    pub latency_target: Millis,
    /// A response is worth nothing after this time.
    pub hard_limit: Millis,
    /// What happens if its requests are executed twice.
    pub semantics: Semantics,
    /// Where repeats of its requests are recognized, if they are deduplicated.
    pub repeat_group: RepeatGroup,
    /// For how long repeats are recognized, if they are deduplicated.
    pub repeat_window: Millis,
    /// What a response is worth, in relation to other groups.
    pub importance: f64,
    /// The share of that worth which a response has after the latency target.
    pub late_value_share: f64,
    /// Its responses are streams.
    pub is_streaming: bool,
}

/// A plan: the quota that each tenant of it has, and its rate limit.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanSettings {
    /// The quota is counted in fixed windows of burst over rate, however large it is.
    pub is_windowed: bool,
    /// Units a second; 0: no quota.
    pub rate: f64,
    /// Units at once.
    pub burst: f64,
    /// What a response is worth, in relation to other plans.
    pub price: f64,
    /// The share of its worth that a request beyond the quota earns.
    pub overage_value: f64,
    /// The share of its worth that a request beyond the quota costs.
    pub overage_cost: f64,
    /// Requests in flight at once; 0: unlimited.
    pub max_in_flight: u32,
    /// Units a second that must never be exceeded, whatever fails; 0: no rate limit.
    pub rate_limit: f64,
    /// Units at once that must never be exceeded.
    pub rate_limit_burst: f64,
    /// Units by which the rate limit may be exceeded all the same.
    pub rate_limit_slack: f64,
}

/// All that an engine is started with.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This instance's number, from 0 on.
    pub instance: u32,
    /// The number of instances; not 0.
    pub instances: u32,
    /// This instance's zone.
    pub zone: u8,
    /// The steps in which events are delivered.
    pub tick: Millis,
    /// Endpoint groups, by index.
    pub groups: Vec<GroupSettings>,
    /// Plans, by index.
    pub plans: Vec<PlanSettings>,
    /// What the values of a load report are.
    pub load_values: Vec<LoadValue>,
    /// How load reports come.
    pub load_reports: LoadReportChannel,
    /// Discovery's list of servers must be asked for; else it comes by itself.
    pub polls_discovery: bool,
    /// If it must be asked for: the longest time between two times.
    pub discovery_poll_limit: Millis,
    /// For how long an instance may still send requests to a server after it was notified that the server drains.
    pub drain_grace: Millis,
    /// A starting server that is sent more than this multiple of its capacity collapses.
    pub collapse_multiple: f64,
    /// For how long it takes that to collapse.
    pub collapse_window: Millis,
    /// The share of its capacity that a server has at its start.
    pub slow_start_capacity: f64,
    /// How long after its start a server has all its capacity.
    pub slow_start_time: Millis,
    /// How long after a client's deadline a final answer still counts.
    pub answer_grace: Millis,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Servers may be probed.
    pub may_probe: bool,
    /// Instances may send datagrams to each other.
    pub may_send_datagrams: bool,
    /// A request may have two attempts in flight.
    pub may_hedge: bool,
    /// Attempts of one request.
    pub max_attempts: u32,
    /// Rejections may advise clients when to retry.
    pub sends_retry_after: bool,
    /// The longest advice, in milliseconds.
    pub max_retry_after: Millis,
    /// There is a shared counter.
    pub has_counter: bool,
    /// A call of the counter that takes longer fails.
    pub counter_timeout: Millis,
    /// What a call of the counter costs.
    pub counter_price: f64,
    /// What a probe costs.
    pub probe_price: f64,
    /// What a request to another zone costs.
    pub cross_zone_price: f64,
    /// The units of the largest request.
    pub max_units: f64,
    /// What a request really costs is known after its execution.
    pub cost_known_after: bool,
    /// Over how long servers meter a tenant's use; 0: they don't.
    pub metering_window: Millis,
    /// Datagrams a second that an instance may take in.
    pub peer_datagrams_per_second: f64,
}
