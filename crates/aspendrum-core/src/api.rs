//! The interface of the decision module: what it is told, what it may do, how it is set up.
//! Nothing here belongs to one protocol, and nothing here decides. Times are milliseconds.

pub type Millis = f64;
pub type RequestId = u64;
pub type ServerId = u32;
/// At most 40 bits: names of counts hold it beside a window. Wider ones are mapped at the door.
pub type TenantId = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Semantics {
    Idempotent,
    Deduplicated,
    NonIdempotent,
}

/// The servers that know a keyed query's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatGroup {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    #[default]
    Ready,
    Draining,
    Removed,
}

/// How a forward, a probe or a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    Error,
    Rejected,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    NotSent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    Delta,
    Full,
    Cached,
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadValue {
    RequestsInFlight,
    RequestsQueued,
    CpuUtilization,
    ServiceTimeMs,
    ResponsesPerSecond,
    FailuresPerSecond,
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportChannel {
    Responses,
    Probes,
    Disabled,
}

/// A load report: `n` values in the order of `Settings::load_values`; none if `n` is 0. One that could not be
/// read is not a number.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    pub count: u8,
    pub values: [f32; 4],
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerEntry {
    pub server: ServerId,
    /// Queries of a pool go to its members only. 0 where there is one pool.
    pub pool: u16,
    pub health: Health,
    pub cell: u16,
    pub zone: u8,
    /// How many times dearer it is than a server at hand; 0: told by its zone.
    pub distance_cost: f32,
    pub capacity: f32,
    pub kind: u8,
    /// 0: long ago.
    pub started_at: Millis,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NewRequest {
    pub id: RequestId,
    pub group: u16,
    pub deadline: Millis,
    pub tenant: TenantId,
    pub plan: u32,
    pub instances: f32,
    pub units: f32,
    pub first_instance: f32,
    pub is_client_retry: bool,
    pub is_write: bool,
    pub pool: u16,
    /// Zones whose servers may run it, a bit each; all where it does not matter.
    pub allowed_zones: u64,
    /// Servers to which it may be sent, one after another.
    pub max_attempts: u8,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event<'a> {
    ServerList {
        list: ListKind,
        version: u32,
        entries: &'a [ServerEntry],
    },
    Request(NewRequest),
    AttemptEnded {
        id: RequestId,
        forward: u8,
        server: ServerId,
        outcome: Outcome,
        rtt: Millis,
        /// The query is over, by this outcome or earlier.
        is_final: bool,
        metered: u16,
        actual_units: u16,
        load: LoadReport,
    },
    StreamStarted {
        id: RequestId,
        forward: u8,
        server: ServerId,
        rtt: Millis,
    },
    ClientDisconnected {
        id: RequestId,
    },
    CounterReplied {
        name: u64,
        outcome: Outcome,
        total: f32,
        rtt: Millis,
    },
    ProbeEnded {
        server: ServerId,
        outcome: Outcome,
        rtt: Millis,
        load: LoadReport,
    },
    DatagramReceived {
        from: u16,
        data: &'a [u8],
    },
    Timer {
        token: u32,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// `timeout` 0: until the client gives up.
    Forward {
        id: RequestId,
        server: ServerId,
        timeout: Millis,
    },
    Shed {
        id: RequestId,
        retry_after: Millis,
        /// It was beyond its customer's quota.
        beyond_quota: bool,
    },
    Drop {
        id: RequestId,
    },
    Cancel {
        id: RequestId,
        forward: u8,
    },
    AddToCounter {
        name: u64,
        units: f32,
        ttl: Millis,
    },
    Probe {
        server: ServerId,
    },
    CloseConnections {
        server: ServerId,
    },
    Timer {
        token: u32,
        wait: Millis,
    },
    FetchServers,
    WatchServers {
        on: bool,
    },
    /// `to` absent: every peer.
    SendDatagram {
        to: Option<u32>,
        data: Vec<u8>,
    },
    Log(String),
    Fault(String),
}

#[derive(Clone, Debug, PartialEq)]
pub struct GroupSettings {
    pub latency_target: Millis,
    pub hard_limit: Millis,
    pub semantics: Semantics,
    pub repeat_group: RepeatGroup,
    pub repeat_window: Millis,
    pub importance: f64,
    pub late_value_share: f64,
    pub is_streaming: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct PlanSettings {
    /// Counted by windows of burst over rate whatever its size, as the source has it.
    pub is_windowed: bool,
    /// Units a second; 0: no such quota.
    pub rate: f64,
    pub burst: f64,
    pub price: f64,
    pub overage_value: f64,
    pub overage_cost: f64,
    /// Forwards out at once; 0: no such quota.
    pub max_in_flight: u32,
    pub ceiling_rate: f64,
    pub ceiling_burst: f64,
    pub ceiling_slack: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub instance: u32,
    pub instances: u32,
    pub zone: u8,
    pub tick: Millis,
    pub groups: Vec<GroupSettings>,
    pub plans: Vec<PlanSettings>,
    pub load_values: Vec<LoadValue>,
    pub load_reports: LoadReportChannel,
    pub polls_discovery: bool,
    pub discovery_poll_limit: Millis,
    pub drain_grace: Millis,
    pub collapse_multiple: f64,
    pub collapse_window: Millis,
    pub slow_start_capacity: f64,
    pub slow_start_time: Millis,
    pub answer_grace: Millis,
    pub may_cancel: bool,
    pub may_probe: bool,
    pub may_send_datagrams: bool,
    pub may_hedge: bool,
    pub max_attempts: u32,
    pub sends_retry_after: bool,
    pub max_retry_after: Millis,
    pub has_counter: bool,
    pub counter_timeout: Millis,
    pub counter_price: f64,
    pub probe_price: f64,
    pub cross_zone_price: f64,
    pub max_units: f64,
    pub cost_known_after: bool,
    pub metering_window: Millis,
    pub peer_datagrams_per_second: f64,
}
