//! What a run came to: a table on the terminal, and a folder with CSV tables, SVG charts and a short report.

use crate::run::Outcome;
use crate::scenario::Scenario;
use aspendrum_checker::limiter::quota::{self, Grant};
use aspendrum_checker::limiter::{QueryOutcome, Recovery};
use plotters::prelude::*;
use serde::Serialize;
use std::fmt::Write;
use std::path::Path;

/// One run in one line of a table. Times in the unit of their names, shares from 0 to 1.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The scenario's name.
    pub scenario: String,
    /// Limiters.
    pub limiters: usize,
    /// The length of the traffic, in seconds.
    pub seconds: f64,
    /// Queries of all clients.
    pub queries: usize,
    /// Answered ones.
    pub answered: u64,
    /// Ones that were refused with a promise that they had not run.
    pub shed: u64,
    /// Ones that failed.
    pub dropped: u64,
    /// Ones whose connection ended without an answer.
    pub lost: u64,
    /// Ones that reached no limiter.
    pub unreached: u64,
    /// Ones without any answer in time.
    pub silent: u64,
    /// Units granted beyond the quotas, as a share of these.
    pub over_quota: f64,
    /// The most in a window, as a multiple of the burst.
    pub peak_over_burst: f64,
    /// The most in a window, as a multiple of the rate limit.
    pub peak_over_ceiling: f64,
    /// The share of queries that were refused though their quota had room.
    pub refused_with_room: f64,
    /// The median time to an answer.
    pub p50_ms: f64,
    /// The 99th percentile of it.
    pub p99_ms: f64,
    /// Attempts a query.
    pub forwards_per_query: f64,
    /// The most load of a server in slow start, as a multiple of what it bears.
    pub cold_load: f64,
    /// After the last fault that ended; empty where none did or it did not recover before the end.
    pub recovery_s: Option<f64>,
    /// Datagrams that a limiter sends in a second.
    pub datagrams_per_limiter_s: f64,
    /// Their bytes.
    pub bytes_per_limiter_s: f64,
    /// Datagrams that were lost.
    pub datagrams_lost: u64,
    /// Calls of the counter in a second.
    pub counter_calls_per_s: f64,
    /// Calls of discovery.
    pub discovery_calls: u64,
    /// The most memory of a limiter.
    pub memory_mb: f64,
    /// Processor time of a limiter in a second.
    pub cpu_ms_per_limiter_s: f64,
    /// Broken rules and bounds.
    pub broken: usize,
}

impl Row {
    /// The row of a run.
    pub fn of(s: &Scenario, o: &Outcome) -> Row {
        let (v, seconds, n) = (&o.verdict, o.seconds(), s.limiters.count as f64);
        let per = |count: u64| count as f64 / n / seconds;
        let weighed = o.memory_kb.len().max(1) as f64;
        let last = v
            .recoveries
            .iter()
            .max_by(|a, b| a.fault.to.total_cmp(&b.fault.to));
        Row {
            scenario: s.name.clone(),
            limiters: s.limiters.count,
            seconds,
            queries: o.record.queries.len(),
            answered: v.count(QueryOutcome::Answered),
            shed: v.count(QueryOutcome::Shed),
            dropped: v.count(QueryOutcome::Dropped) + v.count(QueryOutcome::Foreign),
            lost: v.count(QueryOutcome::Lost),
            unreached: v.count(QueryOutcome::Unreached),
            silent: v.count(QueryOutcome::Silent),
            over_quota: v.total_use.quota_utilization,
            peak_over_burst: v.total_use.peak_burst_ratio,
            peak_over_ceiling: v.total_use.peak_limit_ratio,
            refused_with_room: v.refused_with_room(),
            p50_ms: v.response_time(0.5),
            p99_ms: v.response_time(0.99),
            forwards_per_query: v.forwards_per_query,
            cold_load: v.cold_load,
            recovery_s: last
                .and_then(|recovery| recovery.time)
                .map(|ms| ms / 1000.0),
            datagrams_per_limiter_s: per(o.traffic.datagrams.messages),
            bytes_per_limiter_s: per(o.traffic.datagrams.bytes),
            datagrams_lost: o.traffic.datagrams.lost,
            counter_calls_per_s: o.traffic.counter.calls as f64 / seconds,
            discovery_calls: o.traffic.discovery.calls,
            memory_mb: o.memory_kb.iter().sum::<u64>() as f64 / weighed / 1024.0,
            cpu_ms_per_limiter_s: o.cpu_s * 1000.0 / n / seconds,
            broken: o.broken(s).len(),
        }
    }
}

/// The run's figures, and whatever it broke.
pub fn table(s: &Scenario, o: &Outcome) -> String {
    let mut out = String::new();
    let (v, r) = (&o.verdict, Row::of(s, o));
    // Writing to memory does not fail.
    let mut row = |name: &str, value: String| {
        let _ = writeln!(out, "{name:<36} {value}");
    };
    row(
        "scenario",
        format!("{}, {} limiters, {:.0} s", s.name, r.limiters, r.seconds),
    );
    let ends: Vec<String> = v
        .outcomes
        .iter()
        .filter(|o| o.1 > 0)
        .map(|(kind, n)| format!("{kind:?} {n}"))
        .collect();
    row("queries", ends.join(", "));
    row("granted over quota", format!("{:.2}", r.over_quota));
    row(
        "worst window over burst",
        format!("{:.2}", r.peak_over_burst),
    );
    if r.peak_over_ceiling > 0.0 {
        row(
            "worst window over ceiling's burst",
            format!("{:.2}", r.peak_over_ceiling),
        );
    }
    row(
        "inside the quota",
        format!(
            "{:.0} units of {:.0} that had room",
            v.total_use.granted_within_quota, v.total_use.ideally_granted
        ),
    );
    row(
        "refused with room, of what had room",
        format!("{:.3}", r.refused_with_room),
    );
    row(
        "answered in, p50 and p99",
        format!("{:.1} ms, {:.1} ms", r.p50_ms, r.p99_ms),
    );
    row("forwards a query", format!("{:.3}", r.forwards_per_query));
    if r.cold_load > 0.0 {
        row(
            "worst load on a cold server",
            format!("{:.2} of what the rule allows", r.cold_load),
        );
    }
    for Recovery { fault, time } in &v.recoveries {
        let told = time.map_or("not before the end".into(), |ms| {
            format!("after {:.1} s", ms / 1000.0)
        });
        row(&format!("recovered from fault {}", fault.name), told);
    }
    let told = format!(
        "{:.1}, {:.0} bytes",
        r.datagrams_per_limiter_s, r.bytes_per_limiter_s
    );
    row("datagrams a limiter a second", told);
    row("datagrams lost or cut off", r.datagrams_lost.to_string());
    row(
        "counter's calls a second",
        format!("{:.0}", r.counter_calls_per_s),
    );
    row("discovery's calls", r.discovery_calls.to_string());
    row("memory a limiter", format!("{:.1} MB", r.memory_mb));
    row(
        "processor a limiter",
        format!("{:.1} ms a second", r.cpu_ms_per_limiter_s),
    );
    let broken = o.broken(s);
    row(
        "verdict",
        if broken.is_empty() {
            "kept".into()
        } else {
            format!("{} BROKEN", broken.len())
        },
    );
    broken
        .iter()
        .take(20)
        .for_each(|what| row("", what.clone()));
    out
}

/// The folder of a run: summary.csv, customers.csv, queries.csv, recoveries.csv, granted.svg, report.md.
pub fn write(s: &Scenario, o: &Outcome, folder: &Path) -> Result<(), String> {
    let failed = |e: std::io::Error| format!("{}: {e}", folder.display());
    std::fs::create_dir_all(folder).map_err(failed)?;
    rows(&folder.join("summary.csv"), &[Row::of(s, o)])?;
    queries(o, &folder.join("queries.csv"))?;
    customers(o, &folder.join("customers.csv"))?;
    recoveries(o, &folder.join("recoveries.csv"))?;
    granted(s, o, &folder.join("granted.svg"))?;
    let text = format!(
        "# {}\n\n{}.\n\n```text\n{}```\n\n![Units granted over time](granted.svg)\n\n\
         `queries.csv` has every query with its outcome and times, `customers.csv` each customer's use of its quota,\n\
         `recoveries.csv` the time to recover after each fault, `limiters/` what each limiter was told and logged.\n",
        s.name,
        s.about,
        table(s, o)
    );
    std::fs::write(folder.join("report.md"), text).map_err(failed)
}

/// One line for each run.
pub fn rows(path: &Path, rows: &[Row]) -> Result<(), String> {
    let failed = |e: csv::Error| format!("{}: {e}", path.display());
    let mut out = csv::Writer::from_path(path).map_err(failed)?;
    rows.iter()
        .try_for_each(|row| out.serialize(row))
        .map_err(failed)?;
    out.flush().map_err(|e| format!("{}: {e}", path.display()))
}

fn lines(
    path: &Path,
    head: &[&str],
    lines: impl Iterator<Item = Vec<String>>,
) -> Result<(), String> {
    let failed = |e: csv::Error| format!("{}: {e}", path.display());
    let mut out = csv::Writer::from_path(path).map_err(failed)?;
    out.write_record(head).map_err(failed)?;
    for line in lines {
        out.write_record(line).map_err(failed)?;
    }
    out.flush().map_err(|e| format!("{}: {e}", path.display()))
}

fn queries(o: &Outcome, path: &Path) -> Result<(), String> {
    let (from, r) = (o.record.from, &o.record);
    let line = |q: &aspendrum_checker::limiter::Query| {
        vec![
            q.id.to_string(),
            r.customers[q.customer].name.clone(),
            r.groups[q.group].name.clone(),
            q.limiter.to_string(),
            q.units.to_string(),
            format!("{:.3}", q.sent_at - from),
            format!("{:.3}", q.ended_at - from),
            format!("{:?}", q.outcome),
        ]
    };
    let head = [
        "id", "customer", "group", "limiter", "units", "sent_ms", "ended_ms", "outcome",
    ];
    lines(path, &head, r.queries.iter().map(line))
}

fn customers(o: &Outcome, path: &Path) -> Result<(), String> {
    let head = [
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
    let line = |(c, u): (&aspendrum_checker::limiter::Customer, &quota::QuotaUse)| {
        let mut line = vec![c.name.clone()];
        let figures = [
            u.requested,
            u.granted,
            u.granted_within_quota,
            u.quota_utilization,
            u.peak_burst_ratio,
            u.peak_limit_ratio,
        ];
        line.extend(figures.map(|f| format!("{f:.3}")));
        line.extend([
            u.refused.to_string(),
            format!("{:.3}", u.refused_with_room()),
        ]);
        line
    };
    lines(
        path,
        &head,
        o.record
            .customers
            .iter()
            .zip(&o.verdict.quota_uses)
            .map(line),
    )
}

fn recoveries(o: &Outcome, path: &Path) -> Result<(), String> {
    let line = |Recovery { fault, time }: &Recovery| {
        let (from, to) = (fault.from - o.record.from, fault.to - o.record.from);
        let after = time.map_or(String::new(), |ms| format!("{ms:.0}"));
        vec![
            fault.name.clone(),
            format!("{from:.0}"),
            format!("{to:.0}"),
            after,
        ]
    };
    lines(
        path,
        &["fault", "from_ms", "to_ms", "recovered_after_ms"],
        o.verdict.recoveries.iter().map(line),
    )
}

const SIZE: (u32, u32) = (900, 420);

/// Units granted so far against what the quotas allow, with the faults shaded.
fn granted(s: &Scenario, o: &Outcome, path: &Path) -> Result<(), String> {
    let failed = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let (from, seconds) = (o.record.from, o.seconds());
    let mut all: quota::Grants = quota::grants(&o.record).into_iter().flatten().collect();
    all.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut sum = 0.0;
    let steps = all.iter().flat_map(|Grant { at, units }| {
        let (x, before) = ((at - from) / 1000.0, sum);
        sum += units;
        [(x, before), (x, sum)]
    });
    let steps: Vec<(f64, f64)> = steps.collect();
    let rate: f64 = o.record.customers.iter().map(|c| c.rate * 1000.0).sum();
    let burst: f64 = o.record.customers.iter().map(|c| c.burst).sum();
    let top = (burst + rate * seconds).max(steps.last().map_or(0.0, |p| p.1)) * 1.05;

    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    let draw = || -> Result<(), Box<dyn std::error::Error>> {
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(
                format!("{}: units granted, {} limiters", s.name, s.limiters.count),
                ("sans-serif", 20),
            )
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..seconds, 0.0..top.max(1.0))?;
        chart
            .configure_mesh()
            .x_desc("seconds")
            .y_desc("units")
            .draw()?;
        for span in crate::timeline::fault_spans(s) {
            let shade = Rectangle::new(
                [(span.from_s, 0.0), (span.to_s, top)],
                RED.mix(0.08).filled(),
            );
            chart.draw_series([shade])?;
        }
        let may = [(0.0, burst), (seconds, burst + rate * seconds)];
        chart
            .draw_series(LineSeries::new(may, BLACK.stroke_width(1)))?
            .label("burst and what the rate brings")
            .legend(|(x, y)| PathElement::new([(x, y), (x + 18, y)], BLACK));
        chart
            .draw_series(LineSeries::new(steps, BLUE.stroke_width(2)))?
            .label("granted, by what servers saw")
            .legend(|(x, y)| PathElement::new([(x, y), (x + 18, y)], BLUE));
        let mut labels = chart.configure_series_labels();
        labels
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .draw()?;
        area.present()?;
        Ok(())
    };
    draw().map_err(|e| failed(&e))
}

/// Lines of one figure against another, one for each name.
pub fn lines_chart(
    path: &Path,
    caption: &str,
    axes: (&str, &str),
    series: &[(String, Vec<(f64, f64)>)],
) -> Result<(), String> {
    let points = || series.iter().flat_map(|s| s.1.iter());
    let (left, right) = points().fold((f64::MAX, f64::MIN), |(a, b), p| (a.min(p.0), b.max(p.0)));
    let top = points().map(|p| p.1).fold(1.0, f64::max) * 1.1;
    if left > right {
        return Ok(());
    }
    let (left, right) = if left == right {
        (left - 1.0, right + 1.0)
    } else {
        (left, right)
    };
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    let draw = || -> Result<(), Box<dyn std::error::Error>> {
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(caption, ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .right_y_label_area_size(160)
            .build_cartesian_2d(left..right, 0.0..top)?;
        chart
            .configure_mesh()
            .x_desc(axes.0)
            .y_desc(axes.1)
            .draw()?;
        for (n, (name, points)) in series.iter().enumerate() {
            let color = Palette99::pick(n).to_rgba();
            chart
                .draw_series(
                    LineSeries::new(points.iter().copied(), color.stroke_width(2)).point_size(3),
                )?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], color));
        }
        let mut labels = chart.configure_series_labels();
        labels
            .position(SeriesLabelPosition::Coordinate(690, 0))
            .background_style(WHITE)
            .draw()?;
        area.present()?;
        Ok(())
    };
    draw().map_err(|e| format!("{}: {e}", path.display()))
}
