//! The command-line interface of the limiter.

mod logging;

use aspendrum::config::{Config, ConfigError, CONFIG_VARIABLE};
use aspendrum::limiter::{ReloadError, StartError};
use aspendrum::signals::{ProgramSignals, SignalAction};
use aspendrum::Limiter;
use clap::{Args, Parser, Subcommand};
use derive_more::{Display, Error, From};
use logging::{LogFormat, LoggingError};
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "aspendrum",
    about = "A rate limiter that enforces the plan of each customer of a shared back end"
)]
struct CommandLine {
    /// How log lines are written to standard error
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    log: LogFormat,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs the limiter in the foreground until SIGTERM; SIGHUP reloads the configuration
    Serve(ConfigSource),
    /// Reads and checks the configuration, and reports the first error in it
    CheckConfig(ConfigSource),
    /// Prints the version
    Version,
}

#[derive(Args)]
struct ConfigSource {
    /// The configuration file; defaults to the one named by EDGE_CONFIG
    #[arg(long)]
    config: Option<PathBuf>,
}

/// Why the program failed or rejected a new configuration.
#[derive(Debug, Display, Error, From)]
enum ProgramError {
    #[display("{_0}")]
    Logging(LoggingError),
    #[display("no --config, and {CONFIG_VARIABLE} is not set")]
    NoConfig,
    #[display("{_0}")]
    Config(ConfigError),
    #[display("signals: {_0}")]
    Signals(io::Error),
    #[display("{_0}")]
    Start(StartError),
    #[display("{_0}")]
    Reload(ReloadError),
}

impl ConfigSource {
    fn load(&self) -> Result<Config, ProgramError> {
        let path = self
            .config
            .clone()
            .or_else(|| std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from));
        Ok(Config::load(&path.ok_or(ProgramError::NoConfig)?)?)
    }
}

fn main() -> ExitCode {
    match run(&CommandLine::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("aspendrum: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command_line: &CommandLine) -> Result<(), ProgramError> {
    logging::start(command_line.log)?;
    match &command_line.command {
        Command::Serve(source) => serve(source)?,
        Command::CheckConfig(source) => println!("{}: well-formed", source.load()?.name),
        Command::Version => println!("aspendrum {}", env!("CARGO_PKG_VERSION")),
    }
    Ok(())
}

fn serve(source: &ConfigSource) -> Result<(), ProgramError> {
    let mut signals = ProgramSignals::register()?;
    let limiter = Limiter::start(source.load()?)?;
    while signals.wait() == SignalAction::Reload {
        // The file is validated completely before anything changes, as at startup.
        match reload(source, &limiter) {
            Ok(()) => tracing::info!("the configuration is read again"),
            Err(error) => tracing::error!(why = %error, "the configuration stays as it was"),
        }
    }
    limiter.drain();
    Ok(())
}

fn reload(source: &ConfigSource, limiter: &Limiter) -> Result<(), ProgramError> {
    Ok(limiter.reload(&source.load()?)?)
}
