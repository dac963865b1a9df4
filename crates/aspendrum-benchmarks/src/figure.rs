//! The output format of figures.
//!
//! The names and keys of figures match the recorded runs in `docs/capacity`, so that runs can be compared. They differ
//! from the terms of the code: a control process is a `vault`, a simulated agent is `hollow`, a proxy is a `front`, and
//! the processes of a real limiter (a proxy and its agent) are `whole`.

use crate::measure::Samples;
use std::fmt::Display;

/// The number of significant digits in the output.
const SIGNIFICANT_DIGITS: f64 = 4.0;
/// The maximum number of decimal places in the output.
const MAX_DECIMAL_PLACES: f64 = 6.0;

/// One line of key=value pairs.
pub struct FigureLine(String);

impl FigureLine {
    /// Starts the line of the figure with the given name.
    pub fn new(name: &str) -> FigureLine {
        FigureLine(format!("figure={name}"))
    }

    /// Adds a value.
    pub fn with(mut self, key: &str, value: impl Display) -> FigureLine {
        self.0 += &format!(" {key}={value}");
        self
    }

    /// Adds a number with four significant digits.
    pub fn number(self, key: &str, value: f64) -> FigureLine {
        let places = if value == 0.0 {
            0.0
        } else {
            let magnitude = value.abs().log10().floor();
            (SIGNIFICANT_DIGITS - 1.0 - magnitude).clamp(0.0, MAX_DECIMAL_PLACES)
        };
        self.with(key, format!("{value:.*}", places as usize))
    }

    /// Adds the median, the minimum and the maximum of measurements in milliseconds.
    pub fn milliseconds(self, key: &str, samples: &Samples) -> FigureLine {
        self.number(&format!("{key}_ms"), samples.median())
            .number(&format!("{key}_least"), samples.quantile(0.0))
            .number(&format!("{key}_most"), samples.quantile(1.0))
    }

    /// Adds a number of bytes, converted to megabytes.
    pub fn megabytes(self, key: &str, bytes: usize) -> FigureLine {
        self.number(&format!("{key}_mb"), bytes as f64 / 1e6)
    }

    /// Adds a duration in seconds, or `never` for `None`.
    pub fn seconds(self, key: &str, duration: Option<f64>) -> FigureLine {
        self.with(key, duration.map_or("never".into(), |s| format!("{s:.3}")))
    }

    /// Prints the line on standard output.
    pub fn print(self) {
        println!("{}", self.0);
    }
}
