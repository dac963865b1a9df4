//! Days of our own for the users' bench: the files of the folder `days`, each with the sites and seeds that it is
//! meant for in its comments, played one after the other, and a table of what came of them.

use crate::drawn;
use serde_json::Value;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::{Mutex, PoisonError};

/// A file of the folder: what it aims at and where it is played, from the comments that begin it.
#[derive(Clone, Debug, PartialEq)]
pub struct Day {
    pub name: String,
    pub about: String,
    pub sites: Vec<String>,
    pub seeds: Vec<u64>,
}

impl Day {
    /// `# sites: NAME ...` and `# seeds: NUMBER ...`; all other comments at its begin say what it aims at.
    pub fn read(name: &str, text: &str) -> Result<Day, String> {
        let (mut about, mut sites, mut seeds) = (Vec::new(), Vec::new(), Vec::new());
        for line in text
            .lines()
            .map_while(|l| l.strip_prefix('#'))
            .map(str::trim)
        {
            if let Some(named) = line.strip_prefix("sites:") {
                sites.extend(named.split_whitespace().map(str::to_string));
            } else if let Some(named) = line.strip_prefix("seeds:") {
                let read = |n: &str| {
                    n.parse()
                        .map_err(|_| format!("{name}: the seed {n} is no number"))
                };
                seeds = named
                    .split_whitespace()
                    .map(read)
                    .collect::<Result<_, String>>()?;
            } else {
                about.push(line);
            }
        }
        if about.is_empty() || sites.is_empty() || seeds.is_empty() {
            return Err(format!(
                "{name}: its comments must say what it aims at, its sites and its seeds"
            ));
        }
        let day: toml::Table = toml::from_str(text).map_err(|e| format!("{name}: {e}"))?;
        if day.get("name").and_then(|n| n.as_str()) != Some(name) {
            return Err(format!("{name}: the day's name must be that of its file"));
        }
        Ok(Day {
            name: name.into(),
            about: about.join(" "),
            sites,
            seeds,
        })
    }
}

/// Where the days that come with the rig are.
pub fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("days")
}

/// Every day of the folder, by name.
pub fn all() -> Result<Vec<Day>, String> {
    let folder = folder();
    let failed = |e: std::io::Error| format!("{}: {e}", folder.display());
    let mut days = Vec::new();
    for entry in std::fs::read_dir(&folder).map_err(failed)? {
        let path = entry.map_err(failed)?.path();
        let (Some(name), Some("toml")) = (
            path.file_stem().and_then(|n| n.to_str()),
            path.extension().and_then(|e| e.to_str()),
        ) else {
            continue;
        };
        days.push(Day::read(
            name,
            &std::fs::read_to_string(&path).map_err(failed)?,
        )?);
    }
    days.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(days)
}

/// How days are played.
#[derive(Clone, Debug)]
pub struct How {
    /// The bench's program, run in the present folder, which must be a checkout's root.
    pub bench: PathBuf,
    /// Folders with site files.
    pub sites: Vec<PathBuf>,
    /// Names of days; none: all of them.
    pub days: Vec<String>,
    /// Names of sites; none: all that a day is meant for.
    pub only: Vec<String>,
    /// Only each day's first seed.
    pub first: bool,
    /// Cores that one play may use, and how many plays go on at once.
    pub jobs: Option<usize>,
    pub at_once: usize,
    /// Where the bench's words and reports go.
    pub out: PathBuf,
}

/// One day on one site with one seed.
struct Play {
    day: String,
    file: PathBuf,
    site: String,
    seed: u64,
    why: String,
}

/// Plays days of the folder and prints a line for each. False: something was broken.
pub fn play(how: &How) -> Result<bool, String> {
    let mut days = all()?;
    if let Some(missing) = how.days.iter().find(|n| days.iter().all(|d| d.name != **n)) {
        return Err(format!("{missing} is no day of {}", folder().display()));
    }
    days.retain(|d| how.days.is_empty() || how.days.contains(&d.name));
    let mut plays = Vec::new();
    for day in &days {
        for site in day
            .sites
            .iter()
            .filter(|s| how.only.is_empty() || how.only.contains(s))
        {
            for seed in day
                .seeds
                .iter()
                .take(if how.first { 1 } else { usize::MAX })
            {
                let file = folder().join(format!("{}.toml", day.name));
                let why = format!("own day {}", day.name);
                plays.push(Play {
                    day: day.name.clone(),
                    file,
                    site: site.clone(),
                    seed: *seed,
                    why,
                });
            }
        }
    }
    play_all(how, plays)
}

/// Plays the days that these seeds draw, each on one of the sites in turn.
pub fn play_drawn(how: &How, seeds: std::ops::RangeInclusive<u64>) -> Result<bool, String> {
    if how.only.is_empty() {
        return Err("name the sites with --only".into());
    }
    let failed = |e: std::io::Error| format!("{}: {e}", how.out.display());
    std::fs::create_dir_all(&how.out).map_err(failed)?;
    let mut plays = Vec::new();
    for (n, seed) in seeds.enumerate() {
        let day = format!("drawn-{seed}");
        let site = how.only[n % how.only.len()].clone();
        let file = how.out.join(format!("{day}-{site}.toml"));
        let text = drawn::draw_day(&day, seed, &contracts(&site_file(how, &site)?)?);
        std::fs::write(&file, text).map_err(failed)?;
        plays.push(Play {
            day,
            file,
            site,
            seed,
            why: format!("day drawn from seed {seed}"),
        });
    }
    play_all(how, plays)
}

fn play_all(how: &How, plays: Vec<Play>) -> Result<bool, String> {
    std::fs::create_dir_all(&how.out).map_err(|e| format!("{}: {e}", how.out.display()))?;
    println!("{HEAD}");
    let queue = Mutex::new(plays.into_iter());
    let next = || queue.lock().unwrap_or_else(PoisonError::into_inner).next();
    let lane = || -> Result<bool, String> {
        let mut good = true;
        while let Some(play) = next() {
            let came = one(how, &play)?;
            good &= came.good;
            println!("{}", came.line);
        }
        Ok(good)
    };
    std::thread::scope(|scope| {
        let lanes: Vec<_> = (0..how.at_once.max(1)).map(|_| scope.spawn(lane)).collect();
        let ended = lanes
            .into_iter()
            .map(|l| l.join().unwrap_or_else(|_| Err("a play failed".into())));
        ended
            .collect::<Result<Vec<bool>, String>>()
            .map(|all| all.into_iter().all(|good| good))
    })
}

const HEAD: &str =
    "| day | site | seed | score | served | broken, faults, gate |\n|---|---|---|---|---|---|";

struct Came {
    line: String,
    good: bool,
}

fn site_file(how: &How, site: &str) -> Result<PathBuf, String> {
    let mut places = how.sites.iter().map(|f| f.join(format!("{site}.toml")));
    places
        .find(|p| p.exists())
        .ok_or(format!("no site file of {site} was found"))
}

/// The contracts that are in force on a site.
fn contracts(site: &Path) -> Result<Vec<String>, String> {
    let failed = |e: &dyn std::fmt::Display| format!("{}: {e}", site.display());
    let text = std::fs::read_to_string(site).map_err(|e| failed(&e))?;
    let table: toml::Table = toml::from_str(&text).map_err(|e| failed(&e))?;
    let named = table
        .get("contracts")
        .and_then(|c| c.as_array())
        .ok_or(failed(&"no contracts"))?;
    Ok(named
        .iter()
        .filter_map(|c| c.as_str())
        .map(str::to_string)
        .collect())
}

fn one(how: &How, play: &Play) -> Result<Came, String> {
    let Play {
        day,
        file,
        site,
        seed,
        why,
    } = play;
    let place = site_file(how, site)?;
    let base = how.out.join(format!("{day}-{site}-{seed}"));
    let (words, report) = (base.with_extension("txt"), base.with_extension("json"));
    let _ = std::fs::remove_file(&report);
    let failed = |e: std::io::Error| format!("{}: {e}", words.display());
    let told = std::fs::File::create(&words).map_err(failed)?;
    let mut command = Command::new(&how.bench);
    command.arg("run").arg(place).arg(file);
    command.args(["--seed", &seed.to_string(), "--why", why]);
    command.arg("--report").arg(&report);
    if let Some(jobs) = how.jobs {
        command.args(["--jobs", &jobs.to_string()]);
    }
    command
        .stdin(Stdio::null())
        .stdout(told.try_clone().map_err(failed)?)
        .stderr(told);
    let status = command
        .status()
        .map_err(|e| format!("{}: {e}", how.bench.display()))?;
    let told = std::fs::read_to_string(&report)
        .ok()
        .and_then(|t| serde_json::from_str(&t).ok());
    let (text, good) = told
        .as_ref()
        .map_or((format!("not played: {status}"), false), verdict);
    let figure = |key: &str| {
        told.as_ref()
            .and_then(|t: &Value| t[key].as_f64())
            .map_or("-".into(), |v| format!("{v:.3}"))
    };
    let (score, served) = (figure("G"), figure("served"));
    Ok(Came {
        line: format!("| {day} | {site} | {seed} | {score} | {served} | {text} |"),
        good,
    })
}

/// What a report of the bench says was wrong, and whether all was well.
pub fn verdict(report: &Value) -> (String, bool) {
    let mut out = String::new();
    let (breaks, short) = (&report["breaks"], &report["short"]);
    if !breaks.is_object() || !short.is_array() || report.get("fault").is_none() {
        return (
            "a report that says nothing of rules, faults or the gate".into(),
            false,
        );
    }
    for (rule, n) in breaks.as_object().into_iter().flatten() {
        // Writing to memory does not fail.
        let _ = write!(out, "{rule} {n}; ");
    }
    if !report["fault"].is_null() {
        let _ = write!(out, "fault: {}; ", report["fault"]);
    }
    for short in short.as_array().into_iter().flatten() {
        let _ = write!(out, "gate: {short}; ");
    }
    match out.strip_suffix("; ") {
        Some(wrong) => (wrong.into(), false),
        None => ("none".into(), true),
    }
}
