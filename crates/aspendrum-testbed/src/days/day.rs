//! Reads day files.

use super::error::DaysError;
use std::path::{Path, PathBuf};

/// A day's purpose, sites and seeds, read from the comments at the start of its file.
#[derive(Clone, Debug, PartialEq)]
pub struct Day {
    /// The name of the day, which is also the name of its file without the extension.
    pub name: String,
    /// The purpose of the day.
    pub about: String,
    /// The sites on which it is played.
    pub sites: Vec<String>,
    /// The seeds with which it is played.
    pub seeds: Vec<u64>,
}

impl Day {
    /// Parses a day. The leading comments `# sites: NAME ...` and `# seeds: NUMBER ...` list sites and seeds; all other leading
    /// comments describe the purpose.
    ///
    /// # Errors
    /// [`DaysError`] if any of these comments is missing, or the day is invalid.
    pub fn read(name: &str, text: &str) -> Result<Day, DaysError> {
        let (mut about, mut sites, mut seeds) = (Vec::new(), Vec::new(), Vec::new());
        let comments = text.lines().map_while(|line| line.strip_prefix('#'));
        for comment in comments.map(str::trim) {
            if let Some(names) = comment.strip_prefix("sites:") {
                sites.extend(names.split_whitespace().map(str::to_string));
            } else if let Some(numbers) = comment.strip_prefix("seeds:") {
                seeds = parse_seeds(name, numbers)?;
            } else {
                about.push(comment);
            }
        }
        let day = name.to_string();
        if about.is_empty() || sites.is_empty() || seeds.is_empty() {
            return Err(DaysError::IncompleteComments { day });
        }
        validate_name(name, text)?;
        Ok(Day {
            name: day,
            about: about.join(" "),
            sites,
            seeds,
        })
    }
}

fn parse_seeds(day: &str, numbers: &str) -> Result<Vec<u64>, DaysError> {
    let parse = |seed: &str| {
        let invalid = |_| DaysError::InvalidSeed {
            day: day.to_string(),
            seed: seed.to_string(),
        };
        seed.parse().map_err(invalid)
    };
    numbers.split_whitespace().map(parse).collect()
}

/// Checks that the text is TOML and that its `name` is the given one.
fn validate_name(name: &str, text: &str) -> Result<(), DaysError> {
    let day = name.to_string();
    let table: toml::Table = match toml::from_str(text) {
        Ok(table) => table,
        Err(source) => return Err(DaysError::InvalidDay { day, source }),
    };
    if table.get("name").and_then(toml::Value::as_str) == Some(name) {
        Ok(())
    } else {
        Err(DaysError::NameMismatch { day })
    }
}

/// Returns the directory of the testbed's days.
pub fn days_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("days")
}

/// Reads all days of the testbed, sorted by name.
///
/// # Errors
/// [`DaysError`] if a day cannot be read or is invalid.
pub fn all_days() -> Result<Vec<Day>, DaysError> {
    let directory = days_dir();
    let mut days = Vec::new();
    for entry in std::fs::read_dir(&directory).map_err(DaysError::io(&directory))? {
        let path = entry.map_err(DaysError::io(&directory))?.path();
        if path.extension().is_none_or(|extension| extension != "toml") {
            continue;
        }
        let Some(name) = path.file_stem().and_then(|name| name.to_str()) else {
            continue;
        };
        let text = std::fs::read_to_string(&path).map_err(DaysError::io(&directory))?;
        days.push(Day::read(name, &text)?);
    }
    days.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(days)
}
