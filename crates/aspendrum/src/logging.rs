//! Logging to standard error, as text or as one JSON object per line.
//!
//! The library only emits `tracing` events. A program that embeds it installs its own subscriber.

use derive_more::{Display, Error};
use std::io::stderr;
use std::str::FromStr;
use tracing_subscriber::filter::{ParseError, Targets};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::{SubscriberInitExt, TryInitError};
use tracing_subscriber::{fmt, registry, Layer};

/// The environment variable that selects log levels, such as `debug` or `warn,aspendrum::discovery=debug`.
const LEVELS_VARIABLE: &str = "RUST_LOG";
const DEFAULT_LEVELS: &str = "info";

/// Why logging could not be initialized.
#[derive(Debug, Display, Error)]
pub(crate) enum LoggingError {
    #[display("{LEVELS_VARIABLE}: {levels}: {source}")]
    InvalidLevels { levels: String, source: ParseError },
    #[display("cannot initialize logging: {_0}")]
    AlreadyStarted(TryInitError),
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, clap::ValueEnum)]
pub(crate) enum LogFormat {
    Text,
    Json,
}

/// Initializes logging.
pub(crate) fn start(format: LogFormat) -> Result<(), LoggingError> {
    let levels = std::env::var(LEVELS_VARIABLE).unwrap_or(DEFAULT_LEVELS.into());
    let targets = Targets::from_str(&levels).map_err(|source| LoggingError::InvalidLevels {
        levels: levels.clone(),
        source,
    })?;
    let lines = fmt::layer().with_writer(stderr);
    let lines = match format {
        LogFormat::Text => lines.with_ansi(false).boxed(),
        LogFormat::Json => lines.json().flatten_event(true).boxed(),
    };
    registry()
        .with(lines.with_filter(targets))
        .try_init()
        .map_err(LoggingError::AlreadyStarted)
}
