//! What a run came to: a table on the terminal, and a folder with CSV tables, a chart and a short report.

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

/// The folder of a run: summary.csv, customers.csv, queries.csv, recoveries.csv, granted.svg, report.md.
///
/// # Errors
/// [`ReportError`] if something cannot be written.
pub fn write(scenario: &Scenario, outcome: &Outcome, folder: &Path) -> Result<(), ReportError> {
    std::fs::create_dir_all(folder).map_err(ReportError::io(folder))?;
    write_rows(&folder.join("summary.csv"), &[Row::new(scenario, outcome)])?;
    csv_files::write_queries(outcome, &folder.join("queries.csv"))?;
    csv_files::write_customers(outcome, &folder.join("customers.csv"))?;
    csv_files::write_recoveries(outcome, &folder.join("recoveries.csv"))?;
    charts::write_granted(scenario, outcome, &folder.join("granted.svg"))?;
    let page = folder.join("report.md");
    std::fs::write(&page, markdown(scenario, outcome)).map_err(ReportError::io(&page))
}

fn markdown(scenario: &Scenario, outcome: &Outcome) -> String {
    format!(
        "# {}\n\n{}.\n\n```text\n{}```\n\n![Units granted over time](granted.svg)\n\n\
         `queries.csv` has every query with its outcome and times, `customers.csv` each customer's use of its quota,\n\
         `recoveries.csv` the time to recover after each fault, `limiters/` what each limiter was told and logged.\n",
        scenario.name,
        scenario.about,
        table(scenario, outcome)
    )
}
