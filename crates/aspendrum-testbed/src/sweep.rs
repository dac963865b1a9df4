//! Parameter sweeps: scenarios run for each value of one key.

use crate::error::TestbedError;
use crate::program::Program;
use crate::report::{self, ReportError, Row, Series};
use crate::run;
use crate::scenario::Scenario;
use derive_more::{Display, Error};
use std::path::PathBuf;
use std::str::FromStr;

/// A key of a scenario and the values to sweep over.
#[derive(Clone, Debug, PartialEq)]
pub struct SweptKey {
    /// The dotted key, such as `limiters.count`.
    pub key: String,
    /// The values.
    pub values: Vec<String>,
}

/// The error for a text that isn't of the form `KEY=a,b,c`.
#[derive(Clone, Copy, Debug, PartialEq, Display, Error)]
pub enum InvalidSweptKey {
    /// The text has no equals sign.
    #[display("expected KEY=a,b,c")]
    MissingEquals,
    /// The key or a value is empty.
    #[display("expected KEY=a,b,c with a non-empty key and non-empty values")]
    EmptyPart,
}

impl FromStr for SweptKey {
    type Err = InvalidSweptKey;

    /// Parses a text such as `limiters.count=5,20,40`.
    fn from_str(text: &str) -> Result<SweptKey, InvalidSweptKey> {
        let (key, values) = text.split_once('=').ok_or(InvalidSweptKey::MissingEquals)?;
        let values: Vec<String> = values.split(',').map(|v| v.trim().to_string()).collect();
        if key.is_empty() || values.iter().any(String::is_empty) {
            return Err(InvalidSweptKey::EmptyPart);
        }
        Ok(SweptKey {
            key: key.to_string(),
            values,
        })
    }
}

/// A sweep over one key.
#[derive(Clone, Debug)]
pub struct Sweep {
    /// The texts of the scenarios.
    pub scenarios: Vec<String>,
    /// The key and its values.
    pub swept: SweptKey,
    /// The number of runs of each scenario with each value. Each run uses the next seed.
    pub runs_per_value: u64,
    /// The limiter executable; `None` for the one built from this checkout.
    pub limiter: Option<PathBuf>,
    /// The output directory.
    pub out: PathBuf,
}

/// A run of a scenario with one of the values.
struct PlannedRun {
    value: String,
    scenario: Scenario,
}

/// The result of one run.
struct RunResult {
    value: String,
    row: Row,
}

impl Sweep {
    /// Performs all runs, one after another, and writes the reports. Every scenario is validated with every value before the
    /// first run. Returns whether all runs kept their rules and bounds.
    ///
    /// # Errors
    /// [`TestbedError`] if a scenario is invalid, a run cannot be completed, or a report cannot be written.
    pub fn play(&self) -> Result<bool, TestbedError> {
        let runs = self.plan()?;
        let mut results = Vec::new();
        for (index, run) in runs.iter().enumerate() {
            eprint!("{}/{} ", index + 1, runs.len());
            results.push(self.play_one(run)?);
        }
        self.write(&results)?;
        Ok(results.iter().all(|result| result.row.broken == 0))
    }

    fn plan(&self) -> Result<Vec<PlannedRun>, TestbedError> {
        let mut runs = Vec::new();
        for text in &self.scenarios {
            for value in &self.swept.values {
                for seed_offset in 0..self.runs_per_value {
                    let mut scenario = Scenario::with_value(text, &self.swept.key, value)?;
                    scenario.seed += seed_offset;
                    let value = value.clone();
                    runs.push(PlannedRun { value, scenario });
                }
            }
        }
        Ok(runs)
    }

    fn play_one(&self, run: &PlannedRun) -> Result<RunResult, TestbedError> {
        let PlannedRun { value, scenario } = run;
        let (name, seed) = (&scenario.name, scenario.seed);
        eprint!("{name} with {} = {value}, seed {seed} ... ", self.swept.key);
        let program = Program::for_scenario(scenario, self.limiter.clone())?;
        let folder = self.out.join(format!("{name}-{value}-{seed}"));
        let outcome = run::play(scenario, &program, &folder.join("limiters"), &|_| {})?;
        report::write(scenario, &outcome, &folder)?;
        let row = Row::new(scenario, &outcome);
        eprintln!(
            "{:.2} of the quota granted, {} violations",
            row.over_quota, row.broken
        );
        let value = value.clone();
        Ok(RunResult { value, row })
    }

    /// Writes the CSV file, the charts and the Markdown table.
    fn write(&self, results: &[RunResult]) -> Result<(), ReportError> {
        std::fs::create_dir_all(&self.out).map_err(ReportError::io(&self.out))?;
        let rows: Vec<Row> = results.iter().map(|result| result.row.clone()).collect();
        report::write_rows(&self.out.join("sweep.csv"), &rows)?;
        for chart in CHARTS {
            let file = self.out.join(format!("{}.svg", chart.file));
            let axes = (self.swept.key.as_str(), chart.caption);
            report::write_lines_chart(&file, chart.caption, axes, &chart.series(results))?;
        }
        let path = self.out.join("sweep.md");
        let text = markdown(&self.swept.key, results);
        std::fs::write(&path, text).map_err(ReportError::io(&path))
    }
}

/// A chart of one metric over the swept values.
struct Chart {
    /// The file name without the extension.
    file: &'static str,
    caption: &'static str,
    metric: fn(&Row) -> f64,
}

const CHARTS: [Chart; 3] = [
    Chart {
        file: "over_quota",
        caption: "granted over quota",
        metric: |row| row.over_quota,
    },
    Chart {
        file: "refused_with_room",
        caption: "refused with room, of what had room",
        metric: |row| row.refused_with_room,
    },
    Chart {
        file: "bytes",
        caption: "bytes a limiter a second",
        metric: |row| row.bytes_per_limiter_s,
    },
];

impl Chart {
    /// Returns a series for each scenario. Values that aren't numbers have no place on an axis and are left out.
    fn series(&self, results: &[RunResult]) -> Vec<Series> {
        let mut all: Vec<Series> = Vec::new();
        for result in results {
            let Ok(x) = result.value.parse::<f64>() else {
                continue;
            };
            let (name, point) = (&result.row.scenario, (x, (self.metric)(&result.row)));
            match all.iter_mut().find(|series| series.name == *name) {
                Some(series) => series.points.push(point),
                None => all.push(Series {
                    name: name.clone(),
                    points: vec![point],
                }),
            }
        }
        all
    }
}

/// Formats the results as a Markdown table.
fn markdown(key: &str, results: &[RunResult]) -> String {
    let mut text = format!(
        "| scenario | {key} | granted / quota | worst window / burst | refused with room | recovered after, s | p99, ms | \
         datagrams, bytes a limiter a s | counter calls a s | broken |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
    );
    for RunResult { value, row } in results {
        let recovered = row.recovery_s.map_or("-".into(), |s| format!("{s:.1}"));
        text += &format!(
            "| {} | {value} | {:.2} | {:.1} | {:.3} | {recovered} | {:.0} | {:.1}, {:.0} | {:.0} | {} |\n",
            row.scenario,
            row.over_quota,
            row.peak_over_burst,
            row.refused_with_room,
            row.p99_ms,
            row.datagrams_per_limiter_s,
            row.bytes_per_limiter_s,
            row.counter_calls_per_s,
            row.broken
        );
    }
    text
}
