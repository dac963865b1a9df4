//! The scenarios of the system that come with the rig.

use super::scenario::Scenario;
use std::fmt::Write;

macro_rules! library {
    ($($name:literal),* $(,)?) => {
        /// Every scenario: its name and its text.
        pub const ALL: &[(&str, &str)] =
            &[$(($name, include_str!(concat!("../../scenarios/system/", $name, ".toml")))),*];
    };
}

library!(
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
);

/// A scenario, by its name or from a file.
pub fn scenario(name: &str) -> Result<Scenario, String> {
    let text = match ALL.iter().find(|s| s.0 == name) {
        Some((_, text)) => text.to_string(),
        None => std::fs::read_to_string(name)
            .map_err(|e| format!("{name}: neither of the library nor a file: {e}"))?,
    };
    Scenario::read(&text)
}

/// A line for each.
pub fn list() -> String {
    let mut out = String::new();
    for (name, text) in ALL {
        let about = Scenario::read(text).map_or_else(|e| e, |s| s.about);
        // Writing to memory does not fail.
        let _ = writeln!(out, "{name:<18} {about}");
    }
    out
}
