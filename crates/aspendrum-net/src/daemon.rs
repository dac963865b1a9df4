//! The parts that all programs of the system share: command line, log and exit status.

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
    /// Runs in the foreground until SIGTERM; SIGHUP reads the settings again
    #[bpaf(command)]
    Serve,
    /// Reads and checks the settings, and says what is wrong with them
    #[bpaf(command("check-settings"))]
    CheckSettings,
}

/// Why a program failed. `C` and `S` are the errors of its own checks and of its service.
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

/// Runs a program as its command line says, and returns its exit status. `check` reads the settings and returns the
/// host's name; `serve` runs until the process is to shut down.
pub fn run<C: std::fmt::Display, S: std::fmt::Display>(
    program: &str,
    description: &'static str,
    check: fn() -> Result<String, C>,
    serve: fn(ProcessSignals) -> Result<(), S>,
) -> ExitCode {
    // Before anything else: by default these signals end the process at once, without a graceful shutdown.
    let signals = ProcessSignals::register();
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

/// Writes one line of key=value pairs for each event to standard error.
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
