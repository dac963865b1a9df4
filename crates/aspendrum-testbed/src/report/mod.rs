//! Reports of a run: a table for the terminal, and a directory with CSV files, a chart and a short Markdown report.

mod charts;
mod csv_files;
mod error;
mod row;
mod table;

pub use charts::{write_lines_chart, Point, Series};
pub use csv_files::write_rows;
pub use error::ReportError;
pub use row::Row;
pub use table::table;

use crate::run::Outcome;
use crate::scenario::Scenario;
use std::path::Path;

/// Writes the report files of a run to `folder`: summary.csv, customers.csv, queries.csv, recoveries.csv, granted.svg and
/// report.md.
///
/// # Errors
/// [`ReportError`] if a file cannot be written.
pub fn write(scenario: &Scenario, outcome: &Outcome, folder: &Path) -> Result<(), ReportError> {
    std::fs::create_dir_all(folder).map_err(ReportError::io(folder))?;
    write_rows(&folder.join("summary.csv"), &[Row::new(scenario, outcome)])?;
    csv_files::write_queries(outcome, &folder.join("queries.csv"))?;
    csv_files::write_customers(outcome, &folder.join("customers.csv"))?;
    csv_files::write_recoveries(outcome, &folder.join("recoveries.csv"))?;
    charts::write_granted(scenario, outcome, &folder.join("granted.svg"))?;
    let report = folder.join("report.md");
    std::fs::write(&report, markdown(scenario, outcome)).map_err(ReportError::io(&report))
}

fn markdown(scenario: &Scenario, outcome: &Outcome) -> String {
    format!(
        "# {}\n\n{}.\n\n```text\n{}```\n\n![Units granted over time](granted.svg)\n\n\
         `queries.csv` lists every query with its outcome and times, `customers.csv` the quota usage of each customer,\n\
         `recoveries.csv` the recovery time after each fault. `limiters/` has each limiter's configuration and log.\n",
        scenario.name,
        scenario.about,
        table(scenario, outcome)
    )
}
