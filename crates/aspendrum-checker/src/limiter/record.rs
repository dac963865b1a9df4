//! What a run of a fleet of rate limiters leaves behind.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// How a query ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QueryOutcome {
    /// 200, with the body that a server made for this query.
    Answered,
    /// 200 with anything else.
    Foreign,
    /// 429 or 503.
    Shed,
    /// Any other response.
    Dropped,
    /// The connection ended without a whole response.
    Lost,
    /// No connection to the limiter came up, or it was closed before the query was written, twice.
    Unreached,
    /// Nothing came until well after the client's deadline.
    Silent,
}

/// One query of a client.
#[derive(Clone, Debug)]
pub struct Query {
    /// Identifies it.
    pub id: u64,
    /// Its customer, by the index in the record.
    pub customer: usize,
    /// Its group, by the index in the record.
    pub group: usize,
    /// The limiter that it was sent to.
    pub limiter: usize,
    /// The units of the quota that it takes.
    pub units: f64,
    /// When it was sent.
    pub sent_at: Millis,
    /// By when the client wants its response.
    pub deadline: Millis,
    /// When the client had its response, or gave up.
    pub ended_at: Millis,
    /// How it ended.
    pub outcome: QueryOutcome,
}

/// What a server did with a query that reached it completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// It ran, whether a response came or not.
    Ran,
    /// The server refused it.
    Rejected,
    /// It was dropped, as a repeat of a query with the same key that had run.
    Deduplicated,
}

/// A query that a limiter forwarded, as the server saw it.
#[derive(Clone, Debug)]
pub struct Forward {
    /// The query.
    pub id: u64,
    /// The server.
    pub server: usize,
    /// When its first byte arrived.
    pub first_byte_at: Millis,
    /// When its last byte arrived.
    pub last_byte_at: Millis,
    /// What became of it.
    pub fate: ForwardOutcome,
    /// Whether it carried both Content-Length and Transfer-Encoding.
    pub has_two_lengths: bool,
}

/// What discovery wrote to a limiter about a server.
#[derive(Clone, Debug)]
pub struct DiscoveryUpdate {
    /// The limiter.
    pub limiter: usize,
    /// The server.
    pub server: usize,
    /// When it was written.
    pub at: Millis,
    /// Whether the server is in service; else it is draining or gone.
    pub in_service: bool,
}

/// A server's process, from its start on. One that was never down has one incarnation, from 0 on, without a cold start.
#[derive(Clone, Debug)]
pub struct ServerIncarnation {
    /// The server.
    pub server: usize,
    /// When it started.
    pub from: Millis,
    /// Whether it has less capacity at first.
    pub is_cold_start: bool,
    /// When it collapsed under its load, if it did.
    pub collapsed_at: Option<Millis>,
}

/// A time in which a limiter, the connection to it, or its connection to a server was faulty, so that the rules do not hold.
#[derive(Clone, Debug)]
pub struct ExemptPeriod {
    /// The limiter.
    pub limiter: usize,
    /// The server; `None`: the limiter itself, or its clients' connections.
    pub server: Option<usize>,
    /// When it began.
    pub from: Millis,
    /// When it ended.
    pub to: Millis,
}

/// A fault of the timeline, for the time to recover after it.
#[derive(Clone, Debug)]
pub struct FaultPeriod {
    /// Its name in reports.
    pub name: String,
    /// When it began.
    pub from: Millis,
    /// When it ended.
    pub to: Millis,
}

/// Whether a query may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetrySafety {
    /// It may run any number of times.
    #[serde(rename = "repeatable")]
    Idempotent,
    /// It carries a key, by which servers drop a repeat within their window.
    #[serde(rename = "keyed")]
    Deduplicated,
    /// It must never run twice.
    #[serde(rename = "mutating")]
    NonIdempotent,
}

/// A group of queries of one kind.
#[derive(Clone, Debug)]
pub struct Group {
    /// Its name.
    pub name: String,
    /// Whether its queries may run more than once.
    pub retry_safety: RetrySafety,
    /// The mean work of a query, in milliseconds of one core.
    pub mean_work: Millis,
}

/// A customer and its quota.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Its name.
    pub name: String,
    /// The quota's rate, in units a millisecond.
    pub rate: f64,
    /// The quota's burst, in units.
    pub burst: f64,
    /// The rate of the hard limit, in units a millisecond; 0: there is none.
    pub limit_rate: f64,
    /// The burst of the hard limit, in units.
    pub limit_burst: f64,
    /// What its clients ask for, in units a millisecond, the mean.
    pub demand_rate: f64,
}

/// A server's capacity.
#[derive(Clone, Debug)]
pub struct Server {
    /// How many cores' worth of work it does.
    pub cores: f64,
    /// The share of its capacity that it has just after a cold start.
    pub slow_start_capacity: f64,
    /// The time until it has its full capacity after a cold start.
    pub slow_start: Millis,
}

impl Server {
    /// Its capacity so long after a cold start, in core milliseconds a millisecond. It grows linearly.
    pub fn capacity(&self, age: Millis) -> f64 {
        let warm = if self.slow_start > 0.0 {
            (age / self.slow_start).clamp(0.0, 1.0)
        } else {
            1.0
        };
        self.cores * (self.slow_start_capacity + (1.0 - self.slow_start_capacity) * warm)
    }
}

/// The figures of the rules.
#[derive(Clone, Debug)]
pub struct RuleLimits {
    /// How long after the client's deadline a query counts as lost.
    pub answer_slack: Millis,
    /// How long after it was told that a server drains a limiter may still send to it.
    pub drain_grace: Millis,
    /// A server in slow start collapses when its work in a window exceeds its capacity so many times.
    pub collapse_multiple: f64,
    /// The window for that.
    pub collapse_window: Millis,
    /// The share by which a hard limit may be exceeded.
    pub limit_slack: f64,
    /// The time in which the rate of a hard limit may be exceeded.
    pub limit_time: Millis,
}

impl Default for RuleLimits {
    fn default() -> RuleLimits {
        RuleLimits {
            answer_slack: 500.0,
            drain_grace: 2050.0,
            collapse_multiple: 3.0,
            collapse_window: 3000.0,
            limit_slack: 0.1,
            limit_time: 150.0,
        }
    }
}

/// The record of a run.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// The figures of the rules.
    pub limits: RuleLimits,
    /// All groups of queries.
    pub groups: Vec<Group>,
    /// All customers.
    pub customers: Vec<Customer>,
    /// All servers.
    pub servers: Vec<Server>,
    /// All queries.
    pub queries: Vec<Query>,
    /// All that reached servers.
    pub forwards: Vec<Forward>,
    /// All that discovery wrote.
    pub discovery_updates: Vec<DiscoveryUpdate>,
    /// All processes of servers.
    pub incarnations: Vec<ServerIncarnation>,
    /// When the rules do not hold.
    pub exempt_periods: Vec<ExemptPeriod>,
    /// The faults of the timeline.
    pub faults: Vec<FaultPeriod>,
    /// When the traffic began.
    pub from: Millis,
    /// When the traffic ended.
    pub to: Millis,
}

impl Record {
    /// Whether a limiter, or its connection to the server, was faulty at any time between those.
    pub fn is_exempt(
        &self,
        limiter: usize,
        server: Option<usize>,
        from: Millis,
        to: Millis,
    ) -> bool {
        let overlaps = |period: &ExemptPeriod| period.from <= to && period.to >= from;
        let concerns = |period: &ExemptPeriod| {
            period.limiter == limiter && (period.server.is_none() || period.server == server)
        };
        self.exempt_periods
            .iter()
            .any(|period| concerns(period) && overlaps(period))
    }
}
