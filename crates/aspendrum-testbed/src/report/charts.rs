//! SVG charts.

use super::ReportError;
use crate::run::Outcome;
use crate::scenario::Scenario;
use crate::timeline::fault_spans;
use aspendrum_checker::limiter::quota;
use plotters::prelude::*;
use std::io;
use std::path::Path;

const SIZE: (u32, u32) = (900, 420);
const MARGIN: u32 = 12;
const CAPTION_FONT: (&str, u32) = ("sans-serif", 20);
/// The space for the labels of the axes, in pixels.
const X_LABEL_HEIGHT: u32 = 40;
const Y_LABEL_WIDTH: u32 = 60;
/// The width and the position of the legend of a line chart, in pixels.
const LEGEND_WIDTH: u32 = 160;
const LEGEND_X: i32 = 690;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// A point of a chart.
pub type Point = (f64, f64);

/// A named line of a chart.
pub struct Series {
    /// The label in the legend.
    pub name: String,
    /// The points, in drawing order.
    pub points: Vec<Point>,
}

type DrawResult = Result<(), DrawingAreaErrorKind<io::Error>>;

/// Charts the granted units over time against the quotas, with the faults shaded.
pub(super) fn write_granted(
    scenario: &Scenario,
    outcome: &Outcome,
    path: &Path,
) -> Result<(), ReportError> {
    draw_granted(scenario, outcome, path).map_err(|source| ReportError::Chart {
        path: path.to_path_buf(),
        source,
    })
}

fn draw_granted(scenario: &Scenario, outcome: &Outcome, path: &Path) -> DrawResult {
    let granted = granted_over_time(outcome);
    let allowed = allowed_over_time(outcome);
    let highest = |points: &[Point]| points.last().map_or(0.0, |point| point.1);
    let top = highest(&allowed).max(highest(&granted)) * 1.05;

    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let caption = format!(
        "{}: units granted, {} limiters",
        scenario.name, scenario.limiters.count
    );
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, CAPTION_FONT)
        .margin(MARGIN)
        .x_label_area_size(X_LABEL_HEIGHT)
        .y_label_area_size(Y_LABEL_WIDTH)
        .build_cartesian_2d(0.0..outcome.seconds(), 0.0..top.max(1.0))?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc("seconds").y_desc("units").draw()?;
    let shades = fault_spans(scenario).into_iter().map(|span| {
        let corners = [(span.from_s, 0.0), (span.to_s, top)];
        Rectangle::new(corners, RED.mix(0.08).filled())
    });
    chart.draw_series(shades)?;
    let lines = [
        ("burst and what the rate brings", allowed, BLACK, 1),
        ("granted, by what servers saw", granted, BLUE, 2),
    ];
    for (name, points, color, width) in lines {
        let line = LineSeries::new(points, color.stroke_width(width));
        let legend = move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color);
        chart.draw_series(line)?.label(name).legend(legend);
    }
    let mut labels = chart.configure_series_labels();
    let labels = labels.position(SeriesLabelPosition::UpperLeft);
    labels.background_style(WHITE.mix(0.8)).draw()?;
    area.present()
}

/// Returns the cumulative granted units as a step function.
fn granted_over_time(outcome: &Outcome) -> Vec<Point> {
    let grants = quota::grants(&outcome.record).into_iter().flatten();
    let mut grants: quota::Grants = grants.collect();
    grants.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut sum = 0.0;
    let steps = grants.iter().flat_map(|grant| {
        let seconds = (grant.at - outcome.record.from) / MILLIS_PER_SECOND;
        let before = sum;
        sum += grant.units;
        [(seconds, before), (seconds, sum)]
    });
    steps.collect()
}

/// Returns the cumulative quota of all customers.
fn allowed_over_time(outcome: &Outcome) -> Vec<Point> {
    let customers = &outcome.record.customers;
    let rate_per_ms: f64 = customers.iter().map(|customer| customer.rate).sum();
    let burst: f64 = customers.iter().map(|customer| customer.burst).sum();
    let seconds = outcome.seconds();
    let total = burst + rate_per_ms * MILLIS_PER_SECOND * seconds;
    vec![(0.0, burst), (seconds, total)]
}

/// Writes a line chart. Writes no file if there are no points.
///
/// # Errors
/// [`ReportError`] if the file cannot be written.
pub fn write_lines_chart(
    path: &Path,
    caption: &str,
    axes: (&str, &str),
    series: &[Series],
) -> Result<(), ReportError> {
    if series.iter().all(|line| line.points.is_empty()) {
        return Ok(());
    }
    draw_lines(path, caption, axes, series).map_err(|source| ReportError::Chart {
        path: path.to_path_buf(),
        source,
    })
}

fn draw_lines(path: &Path, caption: &str, axes: (&str, &str), series: &[Series]) -> DrawResult {
    let (left, right, top) = extent(series);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, CAPTION_FONT)
        .margin(MARGIN)
        .x_label_area_size(X_LABEL_HEIGHT)
        .y_label_area_size(Y_LABEL_WIDTH)
        .right_y_label_area_size(LEGEND_WIDTH)
        .build_cartesian_2d(left..right, 0.0..top)?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc(axes.0).y_desc(axes.1).draw()?;
    for (index, line) in series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = line.points.iter().copied();
        let drawn = LineSeries::new(points, color.stroke_width(2)).point_size(3);
        let legend = move |(x, y)| PathElement::new([(x, y), (x + 14, y)], color);
        chart.draw_series(drawn)?.label(&line.name).legend(legend);
    }
    let mut labels = chart.configure_series_labels();
    let labels = labels.position(SeriesLabelPosition::Coordinate(LEGEND_X, 0));
    labels.background_style(WHITE).draw()?;
    area.present()
}

/// Returns the minimum and the maximum x, which always differ, and the top of the y axis.
fn extent(series: &[Series]) -> (f64, f64, f64) {
    let points = || series.iter().flat_map(|line| line.points.iter());
    let left = points().map(|point| point.0).fold(f64::MAX, f64::min);
    let right = points().map(|point| point.0).fold(f64::MIN, f64::max);
    let top = points().map(|point| point.1).fold(1.0, f64::max) * 1.1;
    if left == right {
        (left - 1.0, right + 1.0, top)
    } else {
        (left, right, top)
    }
}
