//! Runs of the whole system: their record, and the operators' rules. Nothing runs twice that must not, nothing that was
//! refused has run, no answers are mixed up, nothing runs where no configuration in force allows it, nothing is lost where
//! only planned work went on, and no quota is exceeded.

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
