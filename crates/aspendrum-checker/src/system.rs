//! Runs of the whole system: the record of a run, and the operators' rules. Once-only requests run at most once,
//! refused requests have not run, responses are not mixed up, requests run only where a configuration in force allows
//! it, planned work loses no requests, and no quota is exceeded.

mod attempts;
mod breach;
mod configurations;
mod disconnects;
mod evacuations;
mod executions;
mod quota;
mod record;
mod refusals;
mod verdict;

pub use breach::Breach;
pub use configurations::{check_configurations, ValidTexts, KEPT_VERSIONS};
pub use disconnects::{count_disconnects, DisconnectCounts};
pub use evacuations::{known_zone_states, KnownZoneState};
pub use record::{
    Attempt, AttemptOutcome, ConfigText, ConfigVersion, ControlCall, Evacuation, Execution,
    OperatorCall, ProxyFault, ProxyRestart, Quota, Record, RouteRule, RuleBounds, TenantRule,
};
pub use verdict::{check, ServedCount, Verdict};
