//! The scenarios of the system that come with the rig.

use super::error::ScenarioError;
use super::scenario::Scenario;
use crate::library::{describe_all, find_text};

macro_rules! library {
    ($(#[$about:meta])* $all:ident: $($name:literal),* $(,)?) => {
        $(#[$about])*
        pub const $all: &[(&str, &str)] =
            &[$(($name, include_str!(concat!("../../scenarios/system/", $name, ".toml")))),*];
    };
}

library!(
    /// Every scenario that CI plays: its name and its text.
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
    /// Scenarios that control does not pass yet: each goes to [`ALL`], and into CI, with the change that mends it.
    WAITING:
);

library!(
    /// Scenarios of a deployment's full size: they take most of a machine, and are played by hand.
    FULL_SIZE:
    "config-storm-grown",
    "config-storm-throttled",
);

fn all() -> Vec<(&'static str, &'static str)> {
    [ALL, WAITING, FULL_SIZE].concat()
}

/// A scenario, by its name or from a file.
///
/// # Errors
/// [`ScenarioError`] if there is none of that name, or it is refused.
pub fn scenario(name: &str) -> Result<Scenario, ScenarioError> {
    Scenario::read(&find_text(&all(), name).map_err(ScenarioError::Unknown)?)
}

/// A line for each.
pub fn list() -> String {
    describe_all(&all(), |text| Scenario::read(text).map(|s| s.about))
}
