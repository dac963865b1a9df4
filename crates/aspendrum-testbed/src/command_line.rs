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
    about = "Several limiters as processes, with faults between them, judged"
)]
pub(crate) struct CommandLine {
    /// The limiter's program; without it the one beside this, built if it is not there
    #[arg(long, global = true)]
    pub(crate) limiter: Option<PathBuf>,
    /// What is to be done.
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// What is to be done.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// A small fleet with stand-ins, traffic and one fault; no file needed
    Demo,
    /// Plays one scenario and leaves tables, charts and a report; ends with 1 if anything was broken
    Run {
        /// A name of the library, or a file
        scenario: String,
        /// Where the results go; everything of them is written anew
        #[arg(long, default_value = "found/limiters")]
        out: PathBuf,
    },
    /// Plays scenarios once for each value of one key, and draws what comes of it
    Sweep(SweepArgs),
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
    /// Plays systems under faults drawn from seeds, one line a seed; ends with 1 if any of them broke anything
    Soak(SoakArgs),
    /// Plays days of our own on the users' bench, in the root of a checkout; ends with 1 if a rule was broken
    Days(DaysArgs),
    /// The baseline that admits everything: forwards every query, counts nothing
    #[command(hide = true)]
    PassThrough {
        /// Its configuration
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

/// What a sweep plays.
#[derive(Args)]
pub(crate) struct SweepArgs {
    /// Names of the library or files; `all` for the whole library
    #[arg(required = true)]
    pub(crate) scenarios: Vec<String>,
    /// As limiters.count=5,20,40 or plans.0.rate=2,4
    #[arg(long)]
    pub(crate) over: SweptKey,
    /// How often each is played, each time with the next seed
    #[arg(long, default_value_t = 1)]
    pub(crate) plays: u64,
    /// Where the results go
    #[arg(long, default_value = "found/limiters")]
    pub(crate) out: PathBuf,
}

/// What a soak plays.
#[derive(Args)]
pub(crate) struct SoakArgs {
    /// As 1-50
    #[arg(long, value_parser = read_seeds)]
    pub(crate) seeds: RangeInclusive<u64>,
    /// Machines of control
    #[arg(long, default_value_t = 3)]
    pub(crate) cores: usize,
    /// Machines with a proxy and an agent
    #[arg(long, default_value_t = 6)]
    pub(crate) edges: usize,
    /// Of traffic
    #[arg(long, default_value_t = 16.0)]
    pub(crate) seconds: f64,
    /// Configuration storms among faults, instead of faults of all kinds
    #[arg(long)]
    pub(crate) storms: bool,
    /// How many are played side by side
    #[arg(long, default_value_t = 1)]
    pub(crate) at_once: usize,
    /// Where the logs of seeds that failed stay
    #[arg(long, default_value = "found/soak")]
    pub(crate) out: PathBuf,
}

/// Which days are played on the users' bench.
#[derive(Args)]
pub(crate) struct DaysArgs {
    /// Names of days (`list` for a line each); all of them without any
    pub(crate) days: Vec<String>,
    /// The bench's program
    #[arg(long)]
    pub(crate) bench: Option<PathBuf>,
    /// A folder with site files
    #[arg(long)]
    pub(crate) sites: Vec<PathBuf>,
    /// Only this site
    #[arg(long)]
    pub(crate) only: Vec<String>,
    /// Only the first seed of each
    #[arg(long)]
    pub(crate) first: bool,
    /// Cores that one play may use
    #[arg(long)]
    pub(crate) jobs: Option<usize>,
    /// How many plays go on at once
    #[arg(long, default_value_t = 1)]
    pub(crate) at_once: usize,
    /// Instead of the folder's days those that are drawn from these seeds, as 1-40; the sites of --only in turn
    #[arg(long, value_parser = read_seeds)]
    pub(crate) drawn: Option<RangeInclusive<u64>>,
    /// Drawn days have a storm of configurations under faults of control
    #[arg(long)]
    pub(crate) storms: bool,
    /// Where the bench's output and reports go
    #[arg(long, default_value = "found/days")]
    pub(crate) out: PathBuf,
}

/// A text that is no seed.
#[derive(Clone, Debug, PartialEq, Display, Error)]
#[display("{text} is no seed")]
pub(crate) struct InvalidSeed {
    text: String,
}

/// Seeds from the first to the last, as 1-40, or one.
fn read_seeds(text: &str) -> Result<RangeInclusive<u64>, InvalidSeed> {
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    Ok(read_seed(first)?..=read_seed(last)?)
}

fn read_seed(text: &str) -> Result<u64, InvalidSeed> {
    text.parse().map_err(|_| InvalidSeed {
        text: text.to_string(),
    })
}
