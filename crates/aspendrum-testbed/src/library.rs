//! The scenarios that come with the rig.

use crate::scenario::Scenario;
use std::fmt::Write;

pub const DEMO: &str = include_str!("../scenarios/demo.toml");

macro_rules! library {
    ($($name:literal),* $(,)?) => {
        /// Every scenario: its name and its text.
        pub const ALL: &[(&str, &str)] = &[$(($name, include_str!(concat!("../scenarios/", $name, ".toml")))),*];
    };
}

library!(
    "whole",
    "halves",
    "quarters",
    "every-alone",
    "one-alone",
    "tenth-deaf",
    "tenth-mute",
    "flapping",
    "stalled",
    "kill-rounds",
    "counter-silent",
    "counter-emptied",
    "counter-replaced",
    "discovery-gone",
    "zone-gone",
    "power-loss",
    "ceiling",
    "few-connections",
);

/// A scenario's text, by its name or from a file.
pub fn text(name: &str) -> Result<String, String> {
    find(ALL, name)
}

/// The text of that name in a library, or of that file.
pub fn find(all: &[(&str, &str)], name: &str) -> Result<String, String> {
    if let Some((_, text)) = all.iter().find(|s| s.0 == name) {
        return Ok(text.to_string());
    }
    std::fs::read_to_string(name)
        .map_err(|e| format!("{name}: neither of the library (see list) nor a file: {e}"))
}

/// The same of several; `all` stands for the library.
pub fn texts(names: &[String]) -> Result<Vec<String>, String> {
    if names == ["all"] {
        return Ok(ALL.iter().map(|s| s.1.to_string()).collect());
    }
    names.iter().map(|name| text(name)).collect()
}

/// A line for each.
pub fn list() -> String {
    lines(ALL, |text| Scenario::read(text).map(|s| s.about))
}

/// A line for each of a library: its name, and what it is about.
pub fn lines(all: &[(&str, &str)], about: impl Fn(&str) -> Result<String, String>) -> String {
    let mut out = String::new();
    for (name, text) in all {
        let about = about(text).unwrap_or_else(|e| e);
        // Writing to memory does not fail.
        let _ = writeln!(out, "{name:<18} {about}");
    }
    out
}
