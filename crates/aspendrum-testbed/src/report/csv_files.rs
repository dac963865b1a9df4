//! The CSV files of a run: runs, queries, customers and recoveries.

use super::{ReportError, Row};
use crate::run::Outcome;
use aspendrum_checker::limiter::quota::QuotaUse;
use aspendrum_checker::limiter::{Customer, Query, Recovery};
use std::path::Path;

/// Writes one line per run.
///
/// # Errors
/// [`ReportError`] if the file cannot be written.
pub fn write_rows(path: &Path, rows: &[Row]) -> Result<(), ReportError> {
    let failed = ReportError::table(path);
    let mut writer = csv::Writer::from_path(path).map_err(&failed)?;
    for row in rows {
        writer.serialize(row).map_err(&failed)?;
    }
    writer.flush().map_err(ReportError::io(path))
}

fn write_lines(
    path: &Path,
    header: &[&str],
    lines: impl Iterator<Item = Vec<String>>,
) -> Result<(), ReportError> {
    let failed = ReportError::table(path);
    let mut writer = csv::Writer::from_path(path).map_err(&failed)?;
    writer.write_record(header).map_err(&failed)?;
    for line in lines {
        writer.write_record(line).map_err(&failed)?;
    }
    writer.flush().map_err(ReportError::io(path))
}

pub(super) fn write_queries(outcome: &Outcome, path: &Path) -> Result<(), ReportError> {
    let header = [
        "id", "customer", "group", "limiter", "units", "sent_ms", "ended_ms", "outcome",
    ];
    let record = &outcome.record;
    let line = |query: &Query| {
        vec![
            query.id.to_string(),
            record.customers[query.customer].name.clone(),
            record.groups[query.group].name.clone(),
            query.limiter.to_string(),
            query.units.to_string(),
            format!("{:.3}", query.sent_at - record.from),
            format!("{:.3}", query.ended_at - record.from),
            format!("{:?}", query.outcome),
        ]
    };
    write_lines(path, &header, record.queries.iter().map(line))
}

pub(super) fn write_customers(outcome: &Outcome, path: &Path) -> Result<(), ReportError> {
    let header = [
        "customer",
        "asked",
        "granted",
        "inside",
        "over_quota",
        "peak_over_burst",
        "peak_over_ceiling",
        "refused",
        "refused_with_room",
    ];
    let customers = outcome.record.customers.iter();
    let uses = customers.zip(&outcome.verdict.quota_uses);
    write_lines(
        path,
        &header,
        uses.map(|(c, usage)| customer_line(c, usage)),
    )
}

fn customer_line(customer: &Customer, usage: &QuotaUse) -> Vec<String> {
    let values = [
        usage.requested,
        usage.granted,
        usage.granted_within_quota,
        usage.quota_utilization,
        usage.peak_burst_ratio,
        usage.peak_limit_ratio,
    ];
    let mut line = vec![customer.name.clone()];
    line.extend(values.map(|value| format!("{value:.3}")));
    line.push(usage.refused.to_string());
    line.push(format!("{:.3}", usage.refused_within_quota()));
    line
}

pub(super) fn write_recoveries(outcome: &Outcome, path: &Path) -> Result<(), ReportError> {
    let header = ["fault", "from_ms", "to_ms", "recovered_after_ms"];
    let start = outcome.record.from;
    let line = |recovery: &Recovery| {
        let fault = &recovery.fault;
        vec![
            fault.name.clone(),
            format!("{:.0}", fault.from - start),
            format!("{:.0}", fault.to - start),
            recovery.time.map_or(String::new(), |ms| format!("{ms:.0}")),
        ]
    };
    write_lines(path, &header, outcome.verdict.recoveries.iter().map(line))
}
