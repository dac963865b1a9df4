//! The result of one run of a soak, as a line of text for operators.

use super::{Size, SoakKind};
use crate::system::error::SystemError;
use crate::system::outcome::Outcome;
use crate::system::scenario::Scenario;
use std::fmt;
use std::path::PathBuf;

/// How a run ended.
#[derive(Debug)]
pub enum SoakResult {
    /// All rules and bounds held.
    Passed {
        /// The counts of the run.
        summary: String,
    },
    /// Rules or bounds did not hold.
    Broken {
        /// The counts of the run.
        summary: String,
        /// What did not hold.
        broken: Vec<String>,
    },
    /// The scenario could not be played.
    NotPlayed(SystemError),
}

impl SoakResult {
    pub(super) fn of_outcome(outcome: &Outcome, scenario: &Scenario) -> SoakResult {
        let summary = summary(outcome);
        let broken = outcome.broken(scenario);
        if broken.is_empty() {
            SoakResult::Passed { summary }
        } else {
            SoakResult::Broken { summary, broken }
        }
    }
}

/// A run and its result. Displayed as one line, which says for a failed run how to run it again.
#[derive(Debug)]
pub struct SoakReport {
    /// The kind of the scenario.
    pub kind: SoakKind,
    /// The seed of the scenario.
    pub seed: u64,
    /// The size of the system.
    pub size: Size,
    /// The number of faults and changes.
    pub step_count: usize,
    /// The folder with the logs of a failed run.
    pub folder: PathBuf,
    /// How the run ended.
    pub result: SoakResult,
}

impl SoakReport {
    /// Whether all rules and bounds held.
    pub fn has_passed(&self) -> bool {
        matches!(self.result, SoakResult::Passed { .. })
    }

    fn write_rerun(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let option = self.kind.option();
        let (seed, folder) = (self.seed, self.folder.display());
        let Size {
            cores,
            edges,
            seconds,
        } = self.size;
        write!(
            f,
            "to run it again: aspendrum-testbed soak{option} --seeds {seed} --cores {cores} --edges {edges} --seconds {seconds}; logs: {folder}"
        )
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "seed {}: {} control nodes, {} proxies, {} steps; ",
            self.seed, self.size.cores, self.size.edges, self.step_count
        )?;
        match &self.result {
            SoakResult::Passed { summary } => write!(f, "{summary}; passed"),
            SoakResult::Broken { summary, broken } => {
                write!(f, "{summary}; FAILED: {}; ", broken.join("; "))?;
                self.write_rerun(f)
            }
            SoakResult::NotPlayed(error) => {
                write!(f, "FAILED: {error}; ")?;
                self.write_rerun(f)
            }
        }
    }
}

/// Summarizes the outcome of a run in one line.
fn summary(outcome: &Outcome) -> String {
    let disconnects = outcome.disconnect_counts();
    let (median, max) = outcome.times_in_force();
    let in_force = match outcome.in_force.len() {
        0 => String::new(),
        added => format!(
            "; {added} routes added, in force after {median:.0} ms (median), {max:.0} ms (maximum)"
        ),
    };
    format!(
        "{} attempts, {:.2} served, {} clients disconnected, {} of their requests sent late, {} of {} runs not aborted{in_force}",
        outcome.record.attempts.len(),
        outcome.verdict.all.share(),
        disconnects.disconnected,
        disconnects.sent_late,
        disconnects.not_aborted,
        disconnects.abortable
    )
}
