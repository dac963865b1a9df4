//! The command line of the testbed.

use aspendrum_testbed::sweep::SweptKey;
use clap::{Args, Parser, Subcommand};
use derive_more::{Display, Error};
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// The command line.
#[derive(Parser)]
#[command(
    name = "aspendrum-testbed",
    about = "Runs fleets of limiters or the whole system under faults, and checks the outcome"
)]
pub(crate) struct CommandLine {
    /// Path of the limiter executable [default: the one next to this executable, built if missing]
    #[arg(long, global = true)]
    pub(crate) limiter: Option<PathBuf>,
    /// The command to execute.
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// The commands.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Run a small built-in fleet with fake services, traffic and one fault
    Demo,
    /// Run a limiter scenario and write tables, charts and a report; exits with 1 on violations
    Run {
        /// Name of a built-in scenario, or path of a file
        scenario: String,
        /// Output directory; existing results are overwritten
        #[arg(long, default_value = "found/limiters")]
        out: PathBuf,
    },
    /// Run scenarios for each value of one key, and chart the results
    Sweep(SweepArgs),
    /// Validate a scenario; reports the invalid key
    Check {
        /// Name of a built-in scenario, or path of a file
        scenario: String,
    },
    /// List the built-in scenarios
    List,
    /// Run a scenario of the whole system (control, proxies, agents); exits with 1 on violations
    System {
        /// Name of a built-in system scenario (`list` lists them), or path of a file
        scenario: String,
        /// Output directory for settings, logs and disks
        #[arg(long, default_value = "found/system")]
        out: PathBuf,
    },
    /// Run systems with random faults from seeds, and print a line per seed; exits with 1 on violations
    Soak(SoakArgs),
    /// Run our own days on the users' bench, from the root of a checkout; exits with 1 if a rule was broken
    Days(DaysArgs),
    /// Serve as the pass-through baseline, which admits and forwards every query
    #[command(hide = true)]
    PassThrough {
        /// Path of the configuration
        #[arg(long)]
        config: PathBuf,
    },
    /// Compare the throughput and latency of one limiter with the pass-through baseline
    Bench {
        /// Duration of each run, in seconds
        #[arg(long, default_value_t = 5.0)]
        seconds: f64,
        /// Queries per second
        #[arg(long, default_value_t = 500.0)]
        rate: f64,
    },
}

/// The arguments of `sweep`.
#[derive(Args)]
pub(crate) struct SweepArgs {
    /// Names of built-in scenarios or paths of files; `all` selects all built-in scenarios
    #[arg(required = true)]
    pub(crate) scenarios: Vec<String>,
    /// Key and values, such as limiters.count=5,20,40 or plans.0.rate=2,4
    #[arg(long)]
    pub(crate) over: SweptKey,
    /// Number of runs per scenario and value, each with the next seed
    #[arg(long, default_value_t = 1)]
    pub(crate) plays: u64,
    /// Output directory
    #[arg(long, default_value = "found/limiters")]
    pub(crate) out: PathBuf,
}

/// The arguments of `soak`.
#[derive(Args)]
pub(crate) struct SoakArgs {
    /// Range of seeds, such as 1-50, or a single seed
    #[arg(long, value_parser = parse_seeds)]
    pub(crate) seeds: RangeInclusive<u64>,
    /// Number of control machines
    #[arg(long, default_value_t = 3)]
    pub(crate) cores: usize,
    /// Number of machines with a proxy and an agent
    #[arg(long, default_value_t = 6)]
    pub(crate) edges: usize,
    /// Duration of the traffic, in seconds
    #[arg(long, default_value_t = 16.0)]
    pub(crate) seconds: f64,
    /// Run configuration storms among faults, instead of faults of all kinds
    #[arg(long)]
    pub(crate) storms: bool,
    /// Run servers that answer requests with long bodies early among faults, instead of faults of all kinds
    #[arg(long, conflicts_with = "storms")]
    pub(crate) long_bodies: bool,
    /// Number of concurrent runs
    #[arg(long, default_value_t = 1)]
    pub(crate) at_once: usize,
    /// Directory in which the logs of failed seeds are kept
    #[arg(long, default_value = "found/soak")]
    pub(crate) out: PathBuf,
}

/// The arguments of `days`.
#[derive(Args)]
pub(crate) struct DaysArgs {
    /// Names of days (`list` lists them) [default: all]
    pub(crate) days: Vec<String>,
    /// Path of the bench program
    #[arg(long)]
    pub(crate) bench: Option<PathBuf>,
    /// Directory with site files
    #[arg(long)]
    pub(crate) sites: Vec<PathBuf>,
    /// Run only this site
    #[arg(long)]
    pub(crate) only: Vec<String>,
    /// Run only the first seed of each
    #[arg(long)]
    pub(crate) first: bool,
    /// Number of cores that one run may use
    #[arg(long)]
    pub(crate) jobs: Option<usize>,
    /// Number of concurrent runs
    #[arg(long, default_value_t = 1)]
    pub(crate) at_once: usize,
    /// Run days generated from these seeds, such as 1-40, instead of those in the folder; uses the sites of --only in turn
    #[arg(long, value_parser = parse_seeds)]
    pub(crate) drawn: Option<RangeInclusive<u64>>,
    /// Generated days have a configuration storm during faults of control
    #[arg(long)]
    pub(crate) storms: bool,
    /// Output directory for the bench's output and reports
    #[arg(long, default_value = "found/days")]
    pub(crate) out: PathBuf,
}

/// The error for a text that isn't a seed.
#[derive(Clone, Debug, PartialEq, Display, Error)]
#[display("invalid seed `{text}`")]
pub(crate) struct InvalidSeed {
    text: String,
}

/// Parses an inclusive range of seeds such as `1-40`, or a single seed.
fn parse_seeds(text: &str) -> Result<RangeInclusive<u64>, InvalidSeed> {
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    Ok(parse_seed(first)?..=parse_seed(last)?)
}

fn parse_seed(text: &str) -> Result<u64, InvalidSeed> {
    text.parse().map_err(|_| InvalidSeed {
        text: text.to_string(),
    })
}
