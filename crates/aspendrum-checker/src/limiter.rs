//! Runs of a fleet of rate limiters: the record of a run, the five rules, and the use of quotas.

pub mod quota;
mod record;
mod rules;
mod verdict;

pub use record::{
    Customer, DiscoveryUpdate, ExemptPeriod, FaultPeriod, Forward, ForwardOutcome, Group, Query,
    QueryOutcome, Record, RetrySafety, RuleLimits, Server, ServerIncarnation,
};
pub use rules::Breach;
pub use verdict::{check, Recovery, Verdict};
