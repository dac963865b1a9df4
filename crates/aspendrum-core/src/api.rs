//! The interface of the decision module: what it is told, what it may do, how it is set up.
//! Nothing here belongs to one protocol, and nothing here decides. Times are milliseconds.

pub type Ms = f64;
pub type QueryId = u64;
pub type ServerId = u32;
/// At most 40 bits: names of counts hold it beside a window. Wider ones are mapped at the door.
pub type AcctId = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Semantics {
    Repeatable,
    Keyed,
    Mutating,
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
    Gone,
}

/// How a forward, a probe or a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    Error,
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    Moot,
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
    InHand,
    Waiting,
    CpuShare,
    ServiceMs,
    AnsweredPerS,
    DroppedPerS,
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportsVia {
    Answers,
    Probes,
    Nothing,
}

/// A load report: `n` values in the order of `Settings::load_values`; none if `n` is 0. One that could not be
/// read is not a number.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub n: u8,
    pub values: [f32; 4],
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    pub server: ServerId,
    /// Queries of a pool go to its members only. 0 where there is one pool.
    pub pool: u16,
    pub health: Health,
    pub cell: u16,
    pub zone: u8,
    /// How many times dearer it is than a server at hand; 0: told by its zone.
    pub far: f32,
    pub size: f32,
    pub kind: u8,
    /// 0: long ago.
    pub started: Ms,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NewQuery {
    pub id: QueryId,
    pub group: u16,
    pub until: Ms,
    pub acct: AcctId,
    pub plan: u32,
    pub spread: f32,
    pub units: f32,
    pub first: f32,
    pub client_repeat: bool,
    pub write: bool,
    pub pool: u16,
    /// Zones whose servers may run it, a bit each; all where it does not matter.
    pub zones: u64,
    /// Servers to which it may be sent, one after another.
    pub most: u8,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event<'a> {
    Members {
        list: ListKind,
        version: u32,
        entries: &'a [Member],
    },
    Query(NewQuery),
    ForwardEnded {
        id: QueryId,
        forward: u8,
        server: ServerId,
        outcome: Outcome,
        rtt: Ms,
        /// The query is over, by this outcome or earlier.
        over: bool,
        used: u16,
        actual: u16,
        load: Load,
    },
    StreamStarted {
        id: QueryId,
        forward: u8,
        server: ServerId,
        rtt: Ms,
    },
    ClientLeft {
        id: QueryId,
    },
    Counted {
        name: u64,
        outcome: Outcome,
        total: f32,
        rtt: Ms,
    },
    Probed {
        server: ServerId,
        outcome: Outcome,
        rtt: Ms,
        load: Load,
    },
    PeerSaid {
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
        id: QueryId,
        server: ServerId,
        timeout: Ms,
    },
    Shed {
        id: QueryId,
        retry_after: Ms,
        /// It was beyond its customer's quota.
        beyond: bool,
    },
    Drop {
        id: QueryId,
    },
    Cancel {
        id: QueryId,
        forward: u8,
    },
    Count {
        name: u64,
        add: f32,
        ttl: Ms,
    },
    Probe {
        server: ServerId,
    },
    Close {
        server: ServerId,
    },
    Timer {
        token: u32,
        wait: Ms,
    },
    Fetch,
    Watch {
        on: bool,
    },
    /// `to` absent: every peer.
    Tell {
        to: Option<u32>,
        data: Vec<u8>,
    },
    Log(String),
    Fault(String),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    pub slo: Ms,
    pub limit: Ms,
    pub semantics: Semantics,
    pub repeat_group: RepeatGroup,
    pub repeat_window: Ms,
    pub importance: f64,
    pub late_share: f64,
    pub stream: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Counted by windows of burst over rate whatever its size, as the source has it.
    pub windowed: bool,
    /// Units a second; 0: no such quota.
    pub rate: f64,
    pub burst: f64,
    pub price: f64,
    pub over_worth: f64,
    pub over_cost: f64,
    /// Forwards out at once; 0: no such quota.
    pub open: u32,
    pub ceiling_rate: f64,
    pub ceiling_burst: f64,
    pub ceiling_slack: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub me: u32,
    pub instances: u32,
    pub zone: u8,
    pub tick: Ms,
    pub groups: Vec<Group>,
    pub plans: Vec<Plan>,
    pub load_values: Vec<LoadValue>,
    pub reports: ReportsVia,
    pub discovery_asks: bool,
    pub must_ask_in: Ms,
    pub drain_grace: Ms,
    pub fall_multiple: f64,
    pub fall_window: Ms,
    pub cold_share: f64,
    pub cold_time: Ms,
    pub answer_grace: Ms,
    pub may_cancel: bool,
    pub may_probe: bool,
    pub may_tell: bool,
    pub second_copies: bool,
    pub send_cap: u32,
    pub retry_after: bool,
    pub max_retry_after: Ms,
    pub counter: bool,
    pub counter_wait: Ms,
    pub counter_price: f64,
    pub probe_price: f64,
    pub cross_zone_price: f64,
    pub units_top: f64,
    pub cost_after: bool,
    pub meter: Ms,
    pub peer_in_per_s: f64,
}
