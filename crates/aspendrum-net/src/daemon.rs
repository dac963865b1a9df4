//! Startup code shared by all programs: command line, logging and exit status.

use crate::allocator::return_freed_memory;
use crate::process_signals::{ProcessSignals, SignalError};
use bpaf::Bpaf;
use derive_more::{Display, Error};
use log::SetLoggerError;
use simplelog::{ColorChoice, ConfigBuilder, LevelFilter, TermLogger, TerminalMode};
use std::process::ExitCode;

/// The command line of each program.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Runs in the foreground until SIGTERM; SIGHUP reloads the settings
    #[bpaf(command)]
    Serve,
    /// Checks the settings file and reports any errors
    #[bpaf(command("check-settings"))]
    CheckSettings,
}

/// The reason for a failure exit status. `C` and `S` are the error types of the settings check and of the service.
#[derive(Debug, Display, Error)]
enum DaemonError<C, S> {
    #[display("{_0}")]
    Log(#[error(not(source))] SetLoggerError),
    #[display("{_0}")]
    Signals(#[error(not(source))] SignalError),
    #[display("{_0}")]
    Settings(#[error(not(source))] C),
    #[display("{_0}")]
    Service(#[error(not(source))] S),
}

/// Runs the command given on the command line and returns the exit status. `check` validates the settings and returns
/// the host name; `serve` runs until the process is shut down.
pub fn run<C: std::fmt::Display, S: std::fmt::Display>(
    program: &str,
    description: &'static str,
    check: fn() -> Result<String, C>,
    serve: fn(ProcessSignals) -> Result<(), S>,
) -> ExitCode {
    // Registered before anything else, because by default these signals terminate the process without a graceful
    // shutdown.
    let signals = ProcessSignals::register();
    return_freed_memory();
    let command = command().descr(description).run();
    match execute(&command, signals, check, serve) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("{program}: {why}");
            ExitCode::FAILURE
        }
    }
}

fn execute<C, S>(
    command: &Command,
    signals: Result<ProcessSignals, SignalError>,
    check: fn() -> Result<String, C>,
    serve: fn(ProcessSignals) -> Result<(), S>,
) -> Result<(), DaemonError<C, S>> {
    start_log().map_err(DaemonError::Log)?;
    match command {
        Command::Serve => {
            serve(signals.map_err(DaemonError::Signals)?).map_err(DaemonError::Service)
        }
        Command::CheckSettings => {
            let host = check().map_err(DaemonError::Settings)?;
            println!("{host}: well-formed");
            Ok(())
        }
    }
}

/// Initializes logging to standard error, with one line of key=value pairs for each event.
fn start_log() -> Result<(), SetLoggerError> {
    let mut config = ConfigBuilder::new();
    config
        .set_time_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off);
    config
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off);
    TermLogger::init(
        LevelFilter::Info,
        config.build(),
        TerminalMode::Stderr,
        ColorChoice::Never,
    )
}
