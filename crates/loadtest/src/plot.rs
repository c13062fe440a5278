//! Draws a chart of how well service-level objectives are attained as the fleet grows, for the
//! documentation.

use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::path::{Path, PathBuf};

use plotters::prelude::*;

/// Header of the table, with its columns.
const COLUMNS: &str = "machines,objective,version,attained";

/// Width and height of the chart in pixels.
const CHART_SIZE: (u32, u32) = (860, 420);
/// Upper end of the axes, as a multiple of the largest value.
const AXIS_MARGIN: f64 = 1.05;
/// Opacity of the curves of all versions but the last.
const EARLIER_VERSION_OPACITY: f64 = 0.35;

/// Colours that the objectives get in turn.
const COLOURS: [RGBColor; 4] =
    [RGBColor(178, 34, 52), RGBColor(0, 90, 160), RGBColor(20, 130, 60), RGBColor(200, 120, 0)];

/// The reason why no chart can be drawn. The caller adds the path of the table.
#[derive(Debug, thiserror::Error)]
pub enum PlotError {
    /// A line has too few or too many columns, for instance because it is truncated.
    #[error("line {line} has {found} columns; allowed is `{COLUMNS}`")]
    Columns {
        /// Number of the line, from 1.
        line: usize,
        /// Number of columns in the line.
        found: usize,
    },
    /// A column that must hold a number holds something else.
    #[error("line {line}: `{column}` is {value}; allowed is a number")]
    NotANumber {
        /// Number of the line, from 1.
        line: usize,
        /// Name of the column.
        column: &'static str,
        /// The value as it is written in the table.
        value: String,
    },
    /// The table has no lines after its header.
    #[error("the table has no lines; allowed is at least one of `{COLUMNS}`")]
    Empty,
    /// The chart can't be drawn or written.
    #[error("{out} can't be drawn: {source}", out = out.display())]
    Draw {
        /// Path of the chart.
        out: PathBuf,
        /// Error of the drawing library or the operating system.
        source: Box<dyn Error>,
    },
}

/// Identifies the curve that a point belongs to.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct CurveName {
    objective: String,
    version: String,
}

/// The fraction of jobs that met an objective at one size of the fleet.
#[derive(Clone, Copy)]
struct Point {
    machines: f64,
    attained: f64,
}

type Curves = BTreeMap<CurveName, Vec<Point>>;

/// Reads the curves from a table; the first line is skipped as its header.
fn read_curves(text: &str) -> Result<Curves, PlotError> {
    let mut curves = Curves::new();
    let lines = text.lines().enumerate().skip(1);
    for (index, line) in lines.filter(|(_, line)| !line.trim().is_empty()) {
        let (name, point) = parse_line(index + 1, line)?;
        curves.entry(name).or_default().push(point);
    }
    match curves.is_empty() {
        true => Err(PlotError::Empty),
        false => Ok(curves),
    }
}

fn parse_line(line: usize, text: &str) -> Result<(CurveName, Point), PlotError> {
    let columns: Vec<&str> = text.split(',').map(str::trim).collect();
    let [machines, objective, version, attained] = columns[..] else {
        return Err(PlotError::Columns { line, found: columns.len() });
    };
    let parse_number = |column: &'static str, value: &str| {
        value.parse::<f64>().map_err(|_| PlotError::NotANumber {
            line,
            column,
            value: value.to_string(),
        })
    };
    let name = CurveName { objective: objective.to_string(), version: version.to_string() };
    let machines = parse_number("machines", machines)?;
    Ok((name, Point { machines, attained: parse_number("attained", attained)? }))
}

/// Draws a curve for each objective and version. The curves of the last version are opaque, those
/// of earlier versions translucent.
pub fn plot(text: &str, out: &Path) -> Result<(), PlotError> {
    let curves = read_curves(text)?;
    draw(&curves, out).map_err(|source| PlotError::Draw { out: out.into(), source })
}

fn draw(curves: &Curves, out: &Path) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(out, CHART_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let max_machines = curves.values().flatten().map(|point| point.machines).fold(0.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .margin(16)
        .margin_right(30)
        .x_label_area_size(40)
        .y_label_area_size(54)
        .build_cartesian_2d(0.0..max_machines * AXIS_MARGIN, 0.0..AXIS_MARGIN)?;
    chart
        .configure_mesh()
        .x_desc("machines")
        .y_desc("fraction attained")
        .x_label_formatter(&|x| format!("{x:.0}"))
        .y_label_formatter(&|y| format!("{y:.1}"))
        .label_style(("sans-serif", 14))
        .draw()?;
    for (name, points) in curves {
        let style = curve_style(curves, name);
        let points = points.iter().map(|point| (point.machines, point.attained));
        chart
            .draw_series(LineSeries::new(points, style).point_size(4))?
            .label(format!("{}, {}", name.objective, name.version))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 22, y)], style));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerLeft)
        .background_style(WHITE.mix(0.85))
        .border_style(BLACK.mix(0.3))
        .label_font(("sans-serif", 14))
        .draw()?;
    area.present()?;
    Ok(())
}

/// Returns the style of a curve: a colour by objective, translucent for all versions but the last.
fn curve_style(curves: &Curves, name: &CurveName) -> ShapeStyle {
    let objectives: BTreeSet<&String> = curves.keys().map(|name| &name.objective).collect();
    let index = objectives.iter().position(|known| **known == name.objective).unwrap_or(0);
    let last_version = curves.keys().map(|name| &name.version).max();
    let is_last = last_version == Some(&name.version);
    let opacity = if is_last { 1.0 } else { EARLIER_VERSION_OPACITY };
    COLOURS[index % COLOURS.len()].mix(opacity).stroke_width(2)
}

#[cfg(test)]
#[path = "../tests/unit/plot.rs"]
mod tests;
