//! Scenarios played once for each value of one key.

use crate::error::TestbedError;
use crate::program::Program;
use crate::report::{self, ReportError, Row, Series};
use crate::run;
use crate::scenario::Scenario;
use derive_more::{Display, Error};
use std::path::PathBuf;
use std::str::FromStr;

/// One key of a scenario, and the values that it takes in turn.
#[derive(Clone, Debug, PartialEq)]
pub struct SweptKey {
    /// The key, as `limiters.count`.
    pub key: String,
    /// Its values.
    pub values: Vec<String>,
}

/// A text that names no key and values.
#[derive(Clone, Copy, Debug, PartialEq, Display, Error)]
pub enum InvalidSweptKey {
    /// It has no equals sign.
    #[display("it is KEY=a,b,c")]
    NoValues,
    /// The key or a value is empty.
    #[display("it is KEY=a,b,c, and neither the key nor a value may be empty")]
    EmptyPart,
}

impl FromStr for SweptKey {
    type Err = InvalidSweptKey;

    /// As `limiters.count=5,20,40`.
    fn from_str(text: &str) -> Result<SweptKey, InvalidSweptKey> {
        let (key, values) = text.split_once('=').ok_or(InvalidSweptKey::NoValues)?;
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
    /// How often each scenario is played with each value, each time with the next seed.
    pub plays: u64,
    /// The limiter's program; `None`: the one of this checkout.
    pub limiter: Option<PathBuf>,
    /// Where the results go.
    pub out: PathBuf,
}

/// A scenario with one of the values.
struct PlannedRun {
    value: String,
    scenario: Scenario,
}

/// What one of the values came to.
struct Measured {
    value: String,
    row: Row,
}

impl Sweep {
    /// Plays all, one after another. Every scenario is checked with every value before the first begins. Returns whether all
    /// kept their rules and bounds.
    ///
    /// # Errors
    /// [`TestbedError`] if a scenario is refused, a run cannot be made, or a report cannot be written.
    pub fn play(&self) -> Result<bool, TestbedError> {
        let runs = self.plan()?;
        let mut measured = Vec::new();
        for (index, run) in runs.iter().enumerate() {
            eprint!("{}/{} ", index + 1, runs.len());
            measured.push(self.play_one(run)?);
        }
        self.write(&measured)?;
        Ok(measured.iter().all(|run| run.row.broken == 0))
    }

    fn plan(&self) -> Result<Vec<PlannedRun>, TestbedError> {
        let mut runs = Vec::new();
        for text in &self.scenarios {
            for value in &self.swept.values {
                for play in 0..self.plays {
                    let mut scenario = Scenario::with_value(text, &self.swept.key, value)?;
                    scenario.seed += play;
                    let value = value.clone();
                    runs.push(PlannedRun { value, scenario });
                }
            }
        }
        Ok(runs)
    }

    fn play_one(&self, run: &PlannedRun) -> Result<Measured, TestbedError> {
        let PlannedRun { value, scenario } = run;
        let (name, seed) = (&scenario.name, scenario.seed);
        eprint!("{name} with {} = {value}, seed {seed} ... ", self.swept.key);
        let program = Program::for_scenario(scenario, self.limiter.clone())?;
        let folder = self.out.join(format!("{name}-{value}-{seed}"));
        let outcome = run::play(scenario, &program, &folder.join("limiters"), &|_| {})?;
        report::write(scenario, &outcome, &folder)?;
        let row = Row::new(scenario, &outcome);
        eprintln!(
            "{:.2} of the quota granted, {} broken",
            row.over_quota, row.broken
        );
        let value = value.clone();
        Ok(Measured { value, row })
    }

    /// The table, the charts, and the table for a page.
    fn write(&self, runs: &[Measured]) -> Result<(), ReportError> {
        std::fs::create_dir_all(&self.out).map_err(ReportError::io(&self.out))?;
        let rows: Vec<Row> = runs.iter().map(|run| run.row.clone()).collect();
        report::write_rows(&self.out.join("sweep.csv"), &rows)?;
        for chart in CHARTS {
            let file = self.out.join(format!("{}.svg", chart.file));
            let axes = (self.swept.key.as_str(), chart.caption);
            report::write_lines_chart(&file, chart.caption, axes, &chart.series(runs))?;
        }
        let page = self.out.join("sweep.md");
        let text = markdown(&self.swept.key, runs);
        std::fs::write(&page, text).map_err(ReportError::io(&page))
    }
}

/// A chart of one figure over the values.
struct Chart {
    /// The file's name without its extension.
    file: &'static str,
    caption: &'static str,
    figure: fn(&Row) -> f64,
}

const CHARTS: [Chart; 3] = [
    Chart {
        file: "over_quota",
        caption: "granted over quota",
        figure: |row| row.over_quota,
    },
    Chart {
        file: "refused_with_room",
        caption: "refused with room, of what had room",
        figure: |row| row.refused_with_room,
    },
    Chart {
        file: "bytes",
        caption: "bytes a limiter a second",
        figure: |row| row.bytes_per_limiter_s,
    },
];

impl Chart {
    /// A line for each scenario. A value that is no number has no place on an axis; only the table has it.
    fn series(&self, runs: &[Measured]) -> Vec<Series> {
        let mut all: Vec<Series> = Vec::new();
        for run in runs {
            let Ok(x) = run.value.parse::<f64>() else {
                continue;
            };
            let (name, point) = (&run.row.scenario, (x, (self.figure)(&run.row)));
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

/// The table for a page.
fn markdown(key: &str, runs: &[Measured]) -> String {
    let mut text = format!(
        "| scenario | {key} | granted / quota | worst window / burst | refused with room | recovered after, s | p99, ms | \
         datagrams, bytes a limiter a s | counter calls a s | broken |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
    );
    for Measured { value, row } in runs {
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
