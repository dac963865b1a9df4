//! The built-in limiter scenarios, and functions for libraries of scenario texts.

use crate::scenario::Scenario;
use derive_more::{Display, Error};
use std::fmt::{self, Write};
use std::io;

/// The scenario of the `demo` command.
pub const DEMO: &str = include_str!("../scenarios/demo.toml");

macro_rules! library {
    ($($name:literal),* $(,)?) => {
        /// The name and the text of each built-in scenario.
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

/// The error for a name that is neither in a library nor the path of a readable file.
#[derive(Debug, Display, Error)]
#[display("{name}: neither a built-in scenario (see list) nor a readable file: {source}")]
pub struct UnknownScenario {
    name: String,
    source: io::Error,
}

/// Returns the text of a built-in limiter scenario, or of the file at that path.
///
/// # Errors
/// [`UnknownScenario`] if there is neither.
pub fn scenario_text(name: &str) -> Result<String, UnknownScenario> {
    read_text(ALL, name)
}

/// Returns the text with that name in a library, or of the file at that path.
///
/// # Errors
/// [`UnknownScenario`] if there is neither.
pub fn read_text(library: &[(&str, &str)], name: &str) -> Result<String, UnknownScenario> {
    if let Some((_, text)) = library.iter().find(|(known, _)| *known == name) {
        return Ok(text.to_string());
    }
    let unknown = |source| UnknownScenario {
        name: name.to_string(),
        source,
    };
    std::fs::read_to_string(name).map_err(unknown)
}

/// Returns the texts of several limiter scenarios. The single name `all` selects the whole library.
///
/// # Errors
/// [`UnknownScenario`] if a scenario is not found.
pub fn scenario_texts(names: &[String]) -> Result<Vec<String>, UnknownScenario> {
    if names == ["all"] {
        return Ok(ALL.iter().map(|(_, text)| text.to_string()).collect());
    }
    names.iter().map(|name| scenario_text(name)).collect()
}

/// Describes each built-in scenario in one line.
pub fn list() -> String {
    describe_all(ALL, |text| {
        Scenario::read(text).map(|scenario| scenario.about)
    })
}

/// Formats one line for each text of a library: its name, and the description or the error that `describe` returns.
pub fn describe_all<E: fmt::Display>(
    library: &[(&str, &str)],
    describe: impl Fn(&str) -> Result<String, E>,
) -> String {
    let mut lines = String::new();
    for (name, text) in library {
        let about = describe(text).unwrap_or_else(|error| error.to_string());
        // Writing to a `String` cannot fail.
        let _ = writeln!(lines, "{name:<18} {about}");
    }
    lines
}
