//! The command line of the rig.

use aspendrum_testbed::program::Program;
use aspendrum_testbed::scenario::Scenario;
use aspendrum_testbed::system::soak::{soak, Size, SoakKind};
use aspendrum_testbed::{bench, days, library, pass_through, report, run, sweep, system};
use clap::{Parser, Subcommand};
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

#[derive(Parser)]
#[command(
    name = "aspendrum-testbed",
    about = "Several limiters as processes, with faults between them, judged"
)]
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
    /// Plays one scenario and leaves tables, charts and a report; ends with 1 if anything was broken
    Run {
        /// A name of the library, or a file
        scenario: String,
        /// Where the results go; everything of them is written anew
        #[arg(long, default_value = "found/rig")]
        out: PathBuf,
    },
    /// Plays scenarios once for each value of one key, and draws what comes of it
    Sweep {
        /// Names of the library or files; `all` for the whole library
        #[arg(required = true)]
        scenarios: Vec<String>,
        /// As limiters.count=5,20,40 or plans.0.rate=2,4
        #[arg(long, value_parser = sweep::Over::read)]
        over: sweep::Over,
        /// How often each is played, each time with the next seed
        #[arg(long, default_value_t = 1)]
        plays: u64,
        #[arg(long, default_value = "found/rig")]
        out: PathBuf,
    },
    /// Reads and checks a scenario; names the faulty key
    Check {
        /// A name of the library, or a file
        scenario: String,
    },
    /// The library's scenarios
    List,
    /// Plays one scenario of the whole system: control, proxies, agents; ends with 1 if anything was broken
    System {
        /// A name of the system's library (`list` for a line each), or a file
        scenario: String,
        /// Where settings, logs and disks go
        #[arg(long, default_value = "found/system")]
        out: PathBuf,
    },
    /// Plays systems under troubles drawn from seeds, one line a seed; ends with 1 if any of them broke anything
    Soak {
        /// As 1-50
        #[arg(long, value_parser = seeds)]
        seeds: RangeInclusive<u64>,
        /// Machines of control
        #[arg(long, default_value_t = 3)]
        cores: usize,
        /// Machines with a proxy and an agent
        #[arg(long, default_value_t = 6)]
        edges: usize,
        /// Of traffic
        #[arg(long, default_value_t = 16.0)]
        seconds: f64,
        /// Configuration storms among faults, instead of faults of all kinds
        #[arg(long)]
        storms: bool,
        /// How many are played side by side
        #[arg(long, default_value_t = 1)]
        at_once: usize,
        /// Where the logs of seeds that failed stay
        #[arg(long, default_value = "found/soak")]
        out: PathBuf,
    },
    /// Plays days of our own on the users' bench, in the root of a checkout; ends with 1 if a rule was broken
    Days {
        /// Names of days (`list` for a line each); all of them without any
        days: Vec<String>,
        /// The bench's program
        #[arg(long)]
        bench: Option<PathBuf>,
        /// A folder with site files
        #[arg(long)]
        sites: Vec<PathBuf>,
        /// Only this site
        #[arg(long)]
        only: Vec<String>,
        /// Only the first seed of each
        #[arg(long)]
        first: bool,
        /// Cores that one play may use
        #[arg(long)]
        jobs: Option<usize>,
        /// How many plays go on at once
        #[arg(long, default_value_t = 1)]
        at_once: usize,
        /// Instead of the folder's days those that are drawn from these seeds, as 1-40; the sites of --only in turn
        #[arg(long, value_parser = seeds)]
        drawn: Option<RangeInclusive<u64>>,
        /// Drawn days have a storm of configurations under faults of control
        #[arg(long)]
        storms: bool,
        /// Where the bench's words and reports go
        #[arg(long, default_value = "found/days")]
        out: PathBuf,
    },
    /// The baseline that lets all in: forwards every query, counts nothing
    #[command(hide = true)]
    PassThrough {
        #[arg(long)]
        config: PathBuf,
    },
    /// Decisions and added time of one limiter against the baseline, in one run
    Bench {
        /// Seconds of each of the two
        #[arg(long, default_value_t = 5.0)]
        seconds: f64,
        /// Queries a second
        #[arg(long, default_value_t = 500.0)]
        rate: f64,
    },
}

/// Seeds from the first to the last, as 1-40.
fn seeds(text: &str) -> Result<RangeInclusive<u64>, String> {
    let read = |n: &str| n.parse::<u64>().map_err(|_| format!("{n} is no seed"));
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    Ok(read(first)?..=read(last)?)
}

fn main() -> ExitCode {
    let line = Line::parse();
    let done = match line.command {
        Command::Demo => demo(line.limiter),
        Command::Run { scenario, out } => one(line.limiter, &scenario, &out),
        Command::Sweep {
            scenarios,
            over,
            plays,
            out,
        } => {
            let texts = library::scenario_texts(&scenarios).map_err(|e| e.to_string());
            texts.and_then(|texts| sweep::play(&texts, &over, plays, line.limiter, &out))
        }
        Command::Check { scenario } => library::scenario_text(&scenario)
            .map_err(|e| e.to_string())
            .and_then(|text| {
                let s = Scenario::read(&text)?;
                println!(
                    "{}: well-formed, {} limiters, {} faults",
                    s.name,
                    s.limiters.count,
                    s.faults.len()
                );
                Ok(true)
            }),
        Command::List => {
            print!("{}", library::list());
            Ok(true)
        }
        Command::System { scenario, .. } if scenario == "list" => {
            print!("{}", system::library::list());
            Ok(true)
        }
        Command::System { scenario, out } => whole(&scenario, &out),
        Command::Soak {
            seeds,
            cores,
            edges,
            seconds,
            storms,
            at_once,
            out,
        } => Ok(soaked(
            if storms {
                SoakKind::Storms
            } else {
                SoakKind::Faults
            },
            seeds,
            Size {
                cores,
                edges,
                seconds,
            },
            at_once,
            &out,
        )),
        Command::Days { days, .. } if days == ["list"] => {
            days::all_days().map_err(|e| e.to_string()).map(|all| {
                all.iter()
                    .for_each(|d| println!("{:<20} {}", d.name, d.about));
                true
            })
        }
        Command::Days {
            days,
            bench,
            sites,
            only,
            first,
            jobs,
            at_once,
            drawn,
            storms,
            out,
        } => {
            let bench = bench.ok_or("name the bench's program with --bench".to_string());
            bench.and_then(|bench| {
                let options = days::PlayOptions {
                    bench,
                    site_dirs: sites,
                    days,
                    only_sites: only,
                    first_seed_only: first,
                    jobs,
                    parallel_plays: at_once,
                    storms,
                    out,
                };
                let played = match drawn {
                    Some(seeds) => days::play_drawn_days(&options, seeds),
                    None => days::play_days(&options),
                };
                played.map_err(|e| e.to_string())
            })
        }
        Command::PassThrough { config } => pass_through::serve(&config)
            .map(|()| true)
            .map_err(|e| e.to_string()),
        Command::Bench { seconds, rate } => bench::play(line.limiter, seconds, rate).map(|text| {
            print!("{text}");
            true
        }),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(text) => {
            eprintln!("aspendrum-testbed: {text}");
            ExitCode::from(2)
        }
    }
}

/// Plays these seeds, so many side by side, and prints each one's line when it is done.
fn soaked(
    kind: SoakKind,
    seeds: RangeInclusive<u64>,
    size: Size,
    at_once: usize,
    out: &std::path::Path,
) -> bool {
    let waiting = Mutex::new(seeds);
    let kept = AtomicBool::new(true);
    let next = || {
        waiting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .next()
    };
    std::thread::scope(|scope| {
        for _ in 0..at_once.max(1) {
            scope.spawn(|| {
                while let Some(seed) = next() {
                    let (line, well) = soak(
                        kind,
                        seed,
                        size,
                        &out.join(format!("{seed}-{}", size.edges)),
                    );
                    println!("{line}");
                    kept.fetch_and(well, Ordering::Relaxed);
                }
            });
        }
    });
    kept.into_inner()
}

fn demo(limiter: Option<PathBuf>) -> Result<bool, String> {
    let scenario = Scenario::read(library::DEMO)?;
    let start = Program::for_scenario(&scenario, limiter).map_err(|e| e.to_string())?;
    let folder = tempfile::tempdir().map_err(|e| format!("a folder for the run: {e}"))?;
    let outcome = run::play(&scenario, &start, folder.path(), &|text| {
        eprintln!("{text}")
    })?;
    print!("{}", report::table(&scenario, &outcome));
    Ok(outcome.good(&scenario))
}

fn one(limiter: Option<PathBuf>, name: &str, out: &std::path::Path) -> Result<bool, String> {
    let scenario = Scenario::read(&library::scenario_text(name).map_err(|e| e.to_string())?)?;
    let start = Program::for_scenario(&scenario, limiter).map_err(|e| e.to_string())?;
    let folder = out.join(&scenario.name);
    let outcome = run::play(&scenario, &start, &folder.join("limiters"), &|text| {
        eprintln!("{text}")
    })?;
    report::write(&scenario, &outcome, &folder)?;
    print!("{}", report::table(&scenario, &outcome));
    eprintln!("tables, charts and the report are in {}", folder.display());
    Ok(outcome.good(&scenario))
}

fn whole(name: &str, out: &std::path::Path) -> Result<bool, String> {
    let scenario = system::library::scenario(name).map_err(|e| e.to_string())?;
    let folder = out.join(&scenario.name);
    // Disks of an earlier run would make this one no first start.
    let _ = std::fs::remove_dir_all(&folder);
    let outcome = system::play::play(&scenario, &folder, &|text| eprintln!("{text}"));
    let outcome = outcome.map_err(|e| e.to_string())?;
    print!("{}", system::report::table(&scenario, &outcome));
    Ok(outcome.broken(&scenario).is_empty())
}
