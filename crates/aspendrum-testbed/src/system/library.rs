//! The built-in scenarios for the whole system.

use super::error::ScenarioError;
use super::scenario::Scenario;
use crate::library::{describe_all, read_text};

macro_rules! library {
    ($(#[$about:meta])* $all:ident: $($name:literal),* $(,)?) => {
        $(#[$about])*
        pub const $all: &[(&str, &str)] =
            &[$(($name, include_str!(concat!("../../scenarios/system/", $name, ".toml")))),*];
    };
}

library!(
    /// The scenarios that CI plays, by name and text.
    ALL:
    "calm",
    "control-killed",
    "two-operators",
    "one-way",
    "voted-and-froze",
    "disk-lost",
    "seeds-changed",
    "zone-gone",
    "keys-taken",
    "herd",
    "rolling-term",
    "hot-tenant",
    "everything-dark",
    "new-lives",
    "spoilt",
    "cut-from-control",
    "two-disks-lost",
    "missed-changes",
    "cut-for-twenty-seconds",
    "refused-for-twenty-seconds",
    "hundreds-of-changes",
    "evacuations",
    "races",
    "races-cut",
    "replaced-in-turn",
    "replaced-and-lost",
    "drained-late",
    "clients-leave",
    "frozen-for-twenty-seconds",
    "config-storm",
);

library!(
    /// Scenarios that fail because of known faults of the control nodes. Each moves to [`ALL`], and so into CI, with its fix.
    WAITING:
);

library!(
    /// Scenarios at the full size of a deployment. They use most of a machine and are played manually.
    FULL_SIZE:
    "config-storm-grown",
    "config-storm-throttled",
);

fn all() -> Vec<(&'static str, &'static str)> {
    [ALL, WAITING, FULL_SIZE].concat()
}

/// Reads a scenario by its name in the library or from a file.
///
/// # Errors
/// [`ScenarioError`] if the scenario does not exist or is invalid.
pub fn scenario(name: &str) -> Result<Scenario, ScenarioError> {
    Scenario::read(&read_text(&all(), name).map_err(ScenarioError::Unknown)?)
}

/// Returns a list of all scenarios, one per line.
pub fn list() -> String {
    describe_all(&all(), |text| Scenario::read(text).map(|s| s.about))
}
