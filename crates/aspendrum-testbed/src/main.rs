//! The command-line program of the testbed.

mod command_line;

use aspendrum_testbed::error::TestbedError;
use aspendrum_testbed::program::Program;
use aspendrum_testbed::scenario::Scenario;
use aspendrum_testbed::sweep::Sweep;
use aspendrum_testbed::system::error::SystemError;
use aspendrum_testbed::system::soak::{soak, Size, SoakKind};
use aspendrum_testbed::{bench, days, library, pass_through, report, run, system};
use clap::Parser;
use command_line::{Command, CommandLine, DaysArgs, SoakArgs, SweepArgs};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

/// The exit code if a command fails with an error. A run with violations exits with 1.
const EXIT_ERROR: u8 = 2;
/// Lists all names when given in place of a name.
const LIST: &str = "list";

fn main() -> ExitCode {
    match execute(CommandLine::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("aspendrum-testbed: {error}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}

/// Executes a command. Returns whether there were no violations.
fn execute(line: CommandLine) -> Result<bool, TestbedError> {
    match line.command {
        Command::Demo => play_demo(line.limiter),
        Command::Run { scenario, out } => play_scenario(line.limiter, &scenario, &out),
        Command::Sweep(args) => play_sweep(line.limiter, args),
        Command::Check { scenario } => check_scenario(&scenario),
        Command::List => print_and_succeed(&library::list()),
        Command::System { scenario, .. } if scenario == LIST => {
            print_and_succeed(&system::library::list())
        }
        Command::System { scenario, out } => play_system(&scenario, &out),
        Command::Soak(args) => Ok(play_soak(&args)),
        Command::Days(args) if args.days == [LIST] => list_days(),
        Command::Days(args) => play_days(args),
        Command::PassThrough { config } => {
            pass_through::serve(&config)?;
            Ok(true)
        }
        Command::Bench { seconds, rate } => {
            print_and_succeed(&bench::play(line.limiter, seconds, rate)?)
        }
    }
}

fn print_and_succeed(text: &str) -> Result<bool, TestbedError> {
    print!("{text}");
    Ok(true)
}

fn print_progress(text: &str) {
    eprintln!("{text}");
}

fn play_demo(limiter: Option<PathBuf>) -> Result<bool, TestbedError> {
    let scenario = Scenario::read(library::DEMO)?;
    let program = Program::for_scenario(&scenario, limiter)?;
    let folder = tempfile::tempdir().map_err(TestbedError::TemporaryDirectory)?;
    let outcome = run::play(&scenario, &program, folder.path(), &print_progress)?;
    print!("{}", report::table(&scenario, &outcome));
    Ok(outcome.passed(&scenario))
}

fn play_scenario(limiter: Option<PathBuf>, name: &str, out: &Path) -> Result<bool, TestbedError> {
    let scenario = Scenario::read(&library::scenario_text(name)?)?;
    let program = Program::for_scenario(&scenario, limiter)?;
    let folder = out.join(&scenario.name);
    let outcome = run::play(
        &scenario,
        &program,
        &folder.join("limiters"),
        &print_progress,
    )?;
    report::write(&scenario, &outcome, &folder)?;
    print!("{}", report::table(&scenario, &outcome));
    eprintln!(
        "wrote tables, charts and the report to {}",
        folder.display()
    );
    Ok(outcome.passed(&scenario))
}

fn play_sweep(limiter: Option<PathBuf>, args: SweepArgs) -> Result<bool, TestbedError> {
    let sweep = Sweep {
        scenarios: library::scenario_texts(&args.scenarios)?,
        swept: args.over,
        runs_per_value: args.plays,
        limiter,
        out: args.out,
    };
    sweep.play()
}

fn check_scenario(name: &str) -> Result<bool, TestbedError> {
    let scenario = Scenario::read(&library::scenario_text(name)?)?;
    println!(
        "{}: well-formed, {} limiters, {} faults",
        scenario.name,
        scenario.limiters.count,
        scenario.faults.len()
    );
    Ok(true)
}

fn play_system(name: &str, out: &Path) -> Result<bool, TestbedError> {
    let scenario = system::library::scenario(name).map_err(SystemError::Scenario)?;
    let folder = out.join(&scenario.name);
    // The machines must start with empty disks, not with those of an earlier run.
    let _ = std::fs::remove_dir_all(&folder);
    let outcome = system::play::play(&scenario, &folder, &print_progress)?;
    print!("{}", system::report::table(&scenario, &outcome));
    Ok(outcome.broken(&scenario).is_empty())
}

/// Runs the seeds, up to `at_once` concurrently, and prints a line for each seed when its run ends.
fn play_soak(args: &SoakArgs) -> bool {
    let kind = match (args.storms, args.long_bodies) {
        (true, _) => SoakKind::Storms,
        (false, true) => SoakKind::LongBodies,
        (false, false) => SoakKind::Faults,
    };
    let size = Size {
        cores: args.cores,
        edges: args.edges,
        seconds: args.seconds,
    };
    let seeds = Mutex::new(args.seeds.clone());
    let next_seed = || seeds.lock().unwrap_or_else(PoisonError::into_inner).next();
    let all_kept = AtomicBool::new(true);
    let play_seeds = || {
        while let Some(seed) = next_seed() {
            let folder = args.out.join(format!("{seed}-{}", size.edges));
            let report = soak(kind, seed, size, &folder);
            println!("{report}");
            all_kept.fetch_and(report.has_passed(), Ordering::Relaxed);
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..args.at_once.max(1) {
            scope.spawn(play_seeds);
        }
    });
    all_kept.into_inner()
}

fn list_days() -> Result<bool, TestbedError> {
    for day in days::all_days()? {
        println!("{:<20} {}", day.name, day.about);
    }
    Ok(true)
}

fn play_days(args: DaysArgs) -> Result<bool, TestbedError> {
    let options = days::PlayOptions {
        bench: args.bench.ok_or(TestbedError::NoBench)?,
        site_dirs: args.sites,
        days: args.days,
        only_sites: args.only,
        first_seed_only: args.first,
        jobs: args.jobs,
        parallel_plays: args.at_once,
        storms: args.storms,
        out: args.out,
    };
    let all_kept = match args.drawn {
        Some(seeds) => days::play_drawn_days(&options, seeds)?,
        None => days::play_days(&options)?,
    };
    Ok(all_kept)
}
