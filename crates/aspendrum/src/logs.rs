//! The program's log: lines on standard error, as text or as one JSON object each. The library only says what
//! happened; who embeds it sends that where it likes.

use std::io::stderr;
use std::str::FromStr;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{fmt, registry, Layer};

/// Names the levels, as `debug` or `warn,aspendrum::discovery=debug`.
const LEVELS_VARIABLE: &str = "RUST_LOG";
const USUAL_LEVELS: &str = "info";

#[derive(Clone, Copy, Debug, clap::ValueEnum)]
pub(crate) enum Form {
    Text,
    Json,
}

/// From here on everything is logged. An error names what is wrong with the levels.
pub(crate) fn start(form: Form) -> Result<(), String> {
    let levels = std::env::var(LEVELS_VARIABLE).unwrap_or(USUAL_LEVELS.into());
    let levels =
        Targets::from_str(&levels).map_err(|e| format!("{LEVELS_VARIABLE}: {levels}: {e}"))?;
    let lines = fmt::layer().with_writer(stderr);
    let lines = match form {
        Form::Text => lines.with_ansi(false).boxed(),
        Form::Json => lines.json().flatten_event(true).boxed(),
    };
    registry()
        .with(lines.with_filter(levels))
        .try_init()
        .map_err(|e| format!("the log: {e}"))
}
