//! The scenarios for limiters that come with the testbed, and libraries of texts in general.

use crate::scenario::Scenario;
use derive_more::{Display, Error};
use std::fmt::{self, Write};
use std::io;

/// The scenario of the demonstration.
pub const DEMO: &str = include_str!("../scenarios/demo.toml");

macro_rules! library {
    ($($name:literal),* $(,)?) => {
        /// The name and the text of each scenario.
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

/// A name that is neither in a library nor of a file.
#[derive(Debug, Display, Error)]
#[display("{name}: neither of the library (see list) nor a file: {source}")]
pub struct UnknownScenario {
    name: String,
    source: io::Error,
}

/// A scenario's text, by its name or from a file.
///
/// # Errors
/// [`UnknownScenario`] if there is neither.
pub fn scenario_text(name: &str) -> Result<String, UnknownScenario> {
    find_text(ALL, name)
}

/// The text of that name in a library, or of that file.
///
/// # Errors
/// [`UnknownScenario`] if there is neither.
pub fn find_text(library: &[(&str, &str)], name: &str) -> Result<String, UnknownScenario> {
    if let Some((_, text)) = library.iter().find(|(known, _)| *known == name) {
        return Ok(text.to_string());
    }
    let unknown = |source| UnknownScenario {
        name: name.to_string(),
        source,
    };
    std::fs::read_to_string(name).map_err(unknown)
}

/// The texts of several scenarios; `all` stands for the whole library.
///
/// # Errors
/// [`UnknownScenario`] if one is not found.
pub fn scenario_texts(names: &[String]) -> Result<Vec<String>, UnknownScenario> {
    if names == ["all"] {
        return Ok(ALL.iter().map(|(_, text)| text.to_string()).collect());
    }
    names.iter().map(|name| scenario_text(name)).collect()
}

/// One line about each scenario.
pub fn list() -> String {
    describe_all(ALL, |text| {
        Scenario::read(text).map(|scenario| scenario.about)
    })
}

/// One line about each text of a library: its name, and what `describe` says of it, or why it cannot.
pub fn describe_all<E: fmt::Display>(
    library: &[(&str, &str)],
    describe: impl Fn(&str) -> Result<String, E>,
) -> String {
    let mut lines = String::new();
    for (name, text) in library {
        let about = describe(text).unwrap_or_else(|why| why.to_string());
        // Writing to memory does not fail.
        let _ = writeln!(lines, "{name:<18} {about}");
    }
    lines
}
