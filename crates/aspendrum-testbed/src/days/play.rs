//! Plays days on the users' bench and prints a table of the results.

use super::day::{all_days, days_dir};
use super::error::DaysError;
use super::verdict::{verdict, BenchVerdict};
use crate::drawn;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};
use std::sync::{Mutex, PoisonError};

const TABLE_HEAD: &str =
    "| day | site | seed | score | served | broken, faults, gate |\n|---|---|---|---|---|---|";

/// How days are played.
#[derive(Clone, Debug)]
pub struct PlayOptions {
    /// The bench's executable. It runs in the current directory, which must be the root of a checkout.
    pub bench: PathBuf,
    /// The directories with site files.
    pub site_dirs: Vec<PathBuf>,
    /// The names of the days to play; all days if empty.
    pub days: Vec<String>,
    /// The names of the sites to play on; all sites of each day if empty.
    pub only_sites: Vec<String>,
    /// Whether each day is played with its first seed only.
    pub first_seed_only: bool,
    /// The number of cores that one play may use; the bench's default if `None`.
    pub jobs: Option<usize>,
    /// The number of concurrent plays.
    pub parallel_plays: usize,
    /// Whether generated days are configuration storms with faults of control nodes.
    pub storms: bool,
    /// The directory for the bench's output and reports.
    pub out: PathBuf,
}

/// One day on one site with one seed.
struct Play {
    day: String,
    file: PathBuf,
    site: String,
    seed: u64,
    /// The reason for the play, for the bench's journal.
    reason: String,
}

/// Plays days of the testbed and prints a table row for each play. Returns whether all plays passed.
///
/// # Errors
/// [`DaysError`] if a day cannot be read or played.
pub fn play_days(options: &PlayOptions) -> Result<bool, DaysError> {
    let mut days = all_days()?;
    let is_unknown = |name: &&String| days.iter().all(|day| day.name != **name);
    if let Some(unknown) = options.days.iter().find(is_unknown) {
        return Err(DaysError::UnknownDay {
            day: unknown.clone(),
            directory: days_dir(),
        });
    }
    days.retain(|day| options.days.is_empty() || options.days.contains(&day.name));
    let is_selected =
        |site: &&String| options.only_sites.is_empty() || options.only_sites.contains(site);
    let max_seeds = if options.first_seed_only {
        1
    } else {
        usize::MAX
    };
    let mut plays = Vec::new();
    for day in &days {
        for site in day.sites.iter().filter(is_selected) {
            plays.extend(day.seeds.iter().take(max_seeds).map(|seed| Play {
                day: day.name.clone(),
                file: days_dir().join(format!("{}.toml", day.name)),
                site: site.clone(),
                seed: *seed,
                reason: format!("own day {}", day.name),
            }));
        }
    }
    play_all(options, plays)
}

/// Plays the days generated from the given seeds, each on one of the sites in turn. Returns whether all plays passed.
///
/// # Errors
/// [`DaysError`] if a day cannot be played, or no site is named.
pub fn play_drawn_days(
    options: &PlayOptions,
    seeds: std::ops::RangeInclusive<u64>,
) -> Result<bool, DaysError> {
    let sites = &options.only_sites;
    if sites.is_empty() {
        return Err(DaysError::NoSites);
    }
    std::fs::create_dir_all(&options.out).map_err(DaysError::io(&options.out))?;
    let mut plays = Vec::new();
    for (index, seed) in seeds.enumerate() {
        let day = if options.storms {
            format!("storm-{seed}")
        } else {
            format!("drawn-{seed}")
        };
        let site = sites[index % sites.len()].clone();
        let file = options.out.join(format!("{day}-{site}.toml"));
        let contracts = contracts_of(&site_file(options, &site)?)?;
        let text = if options.storms {
            drawn::draw_storm_day(&day, seed)
        } else {
            drawn::draw_day(&day, seed, &contracts)
        };
        std::fs::write(&file, text).map_err(DaysError::io(&options.out))?;
        let reason = format!("day drawn from seed {seed}");
        plays.push(Play {
            day,
            file,
            site,
            seed,
            reason,
        });
    }
    play_all(options, plays)
}

/// Plays all given plays on a number of threads. Returns whether all passed.
fn play_all(options: &PlayOptions, plays: Vec<Play>) -> Result<bool, DaysError> {
    std::fs::create_dir_all(&options.out).map_err(DaysError::io(&options.out))?;
    println!("{TABLE_HEAD}");
    let queue = Mutex::new(plays.into_iter());
    let next = || queue.lock().unwrap_or_else(PoisonError::into_inner).next();
    let play_queued = || -> Result<bool, DaysError> {
        let mut all_passed = true;
        while let Some(play) = next() {
            let row = play_one(options, &play)?;
            all_passed &= row.passed;
            println!("{}", row.text);
        }
        Ok(all_passed)
    };
    std::thread::scope(|scope| {
        let threads = 0..options.parallel_plays.max(1);
        let threads: Vec<_> = threads.map(|_| scope.spawn(play_queued)).collect();
        let mut all_passed = true;
        for thread in threads {
            all_passed &= thread.join().unwrap_or(Err(DaysError::PlayPanicked))?;
        }
        Ok(all_passed)
    })
}

/// A row of the table, and whether the play passed.
struct Row {
    text: String,
    passed: bool,
}

/// Returns the file of a site from the first directory that has it.
fn site_file(options: &PlayOptions, site: &str) -> Result<PathBuf, DaysError> {
    let mut files = options
        .site_dirs
        .iter()
        .map(|directory| directory.join(format!("{site}.toml")));
    let found = files.find(|file| file.exists());
    found.ok_or(DaysError::UnknownSite {
        site: site.to_string(),
    })
}

/// Reads the contracts that are in force on a site.
fn contracts_of(site: &Path) -> Result<Vec<String>, DaysError> {
    let path = site.to_path_buf();
    let text = std::fs::read_to_string(site).map_err(DaysError::io(site))?;
    let table: toml::Table = match toml::from_str(&text) {
        Ok(table) => table,
        Err(source) => return Err(DaysError::InvalidSite { path, source }),
    };
    let contracts = table.get("contracts").and_then(toml::Value::as_array);
    let contracts = contracts.ok_or(DaysError::NoContracts { path })?;
    Ok(contracts
        .iter()
        .filter_map(toml::Value::as_str)
        .map(str::to_string)
        .collect())
}

/// Plays one day with the bench and reads its report.
fn play_one(options: &PlayOptions, play: &Play) -> Result<Row, DaysError> {
    let Play {
        day, site, seed, ..
    } = play;
    let base = options.out.join(format!("{day}-{site}-{seed}"));
    let (output, report) = (base.with_extension("txt"), base.with_extension("json"));
    let _ = std::fs::remove_file(&report);
    let status = run_bench(options, play, &output, &report)?;
    let report = std::fs::read_to_string(&report).ok();
    let report: Option<Value> = report.and_then(|text| serde_json::from_str(&text).ok());
    let not_played = || BenchVerdict {
        text: format!("not played: {status}"),
        passed: false,
    };
    let BenchVerdict { text, passed } = report.as_ref().map_or_else(not_played, verdict);
    let figure = |key: &str| {
        let value = report.as_ref().and_then(|report| report[key].as_f64());
        value.map_or("-".into(), |value| format!("{value:.3}"))
    };
    let (score, served) = (figure("G"), figure("served"));
    let text = format!("| {day} | {site} | {seed} | {score} | {served} | {text} |");
    Ok(Row { text, passed })
}

/// Runs the bench for one play. Its output and its report are written to the given files.
fn run_bench(
    options: &PlayOptions,
    play: &Play,
    output: &Path,
    report: &Path,
) -> Result<ExitStatus, DaysError> {
    let mut command = Command::new(&options.bench);
    command
        .arg("run")
        .arg(site_file(options, &play.site)?)
        .arg(&play.file);
    command.args(["--seed", &play.seed.to_string(), "--why", &play.reason]);
    command.arg("--report").arg(report);
    if let Some(jobs) = options.jobs {
        command.args(["--jobs", &jobs.to_string()]);
    }
    let stdout = std::fs::File::create(output).map_err(DaysError::io(output))?;
    let stderr = stdout.try_clone().map_err(DaysError::io(output))?;
    command.stdin(Stdio::null()).stdout(stdout).stderr(stderr);
    command.status().map_err(DaysError::io(&options.bench))
}
