//! The command line of the rig.

use aspendrum_rig::process::Start;
use aspendrum_rig::scenario::Scenario;
use aspendrum_rig::{report, run};
use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "aspendrum-rig", about = "Several limiters as processes, with faults between them, judged")]
struct Line {
    /// The limiter's program; without it the one beside this, built if it is not there
    #[arg(long, global = true)]
    limiter: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// A small fleet with stand-ins, traffic and one fault; no file needed
    Demo,
}

fn main() -> ExitCode {
    let line = Line::parse();
    let done = match line.command {
        Command::Demo => demo(line.limiter),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(text) => {
            eprintln!("aspendrum-rig: {text}");
            ExitCode::from(2)
        }
    }
}

fn demo(limiter: Option<PathBuf>) -> Result<bool, String> {
    let scenario = Scenario::read(include_str!("../scenarios/halves.toml"))?;
    let start = Start::limiter(limiter)?;
    let folder = tempfile::tempdir().map_err(|e| format!("a folder for the run: {e}"))?;
    let outcome = run::play(&scenario, &start, folder.path(), &|text| eprintln!("{text}"))?;
    print!("{}", report::table(&scenario, &outcome));
    Ok(outcome.good(&scenario))
}
