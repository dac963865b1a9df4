//! The command line. Everything else is in the library.

mod logs;

use aspendrum::config::{Config, CONFIG_VARIABLE};
use aspendrum::shutdown::{Told, Wanted};
use aspendrum::Limiter;
use clap::{Args, Parser, Subcommand};
use logs::Form;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "aspendrum",
    about = "A limiter that keeps each customer of a shared back end to its plan"
)]
struct Line {
    /// How log lines are written to standard error
    #[arg(long, global = true, value_enum, default_value_t = Form::Text)]
    log: Form,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs the limiter in the foreground until SIGTERM; SIGHUP reads the configuration again
    Serve(Source),
    /// Reads and checks the configuration, and says what is wrong with it
    CheckConfig(Source),
    /// Prints the version
    Version,
}

#[derive(Args)]
struct Source {
    /// The configuration file; without it, the one that EDGE_CONFIG names
    #[arg(long)]
    config: Option<PathBuf>,
}

impl Source {
    fn load(&self) -> Result<Config, String> {
        let told = self
            .config
            .clone()
            .or_else(|| std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from));
        Config::load(&told.ok_or(format!("no --config, and {CONFIG_VARIABLE} is not set"))?)
    }
}

fn main() -> ExitCode {
    let line = Line::parse();
    let done = logs::start(line.log).and_then(|()| match line.command {
        Command::Serve(source) => serve(&source),
        Command::CheckConfig(source) => source.load().map(|c| println!("{}: well-formed", c.name)),
        Command::Version => {
            println!("aspendrum {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("aspendrum: {text}");
            ExitCode::FAILURE
        }
    }
}

fn serve(source: &Source) -> Result<(), String> {
    let mut told = Told::expect().map_err(|e| format!("signals: {e}"))?;
    let limiter = Limiter::start(source.load()?)?;
    while told.wait() == Wanted::Reload {
        // Read whole and checked whole, by the reader of the start: a bad file changes nothing.
        match source.load().and_then(|config| limiter.reload(&config)) {
            Ok(()) => tracing::info!("the configuration is read again"),
            Err(text) => tracing::error!(why = text, "the configuration stays as it was"),
        }
    }
    limiter.drain();
    Ok(())
}
