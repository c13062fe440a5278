//! The curve of what is kept as the fleet grows, as a picture for the docs.

use std::collections::BTreeMap;
use std::path::Path;

use plotters::prelude::*;

#[derive(Debug, thiserror::Error)]
pub enum PlotError {
    #[error("line {0}: wanted `machines,aim,version,kept`")]
    Line(usize),
    #[error("nothing to plot")]
    Empty,
    #[error("can't draw: {0}")]
    Draw(String),
}

/// Points by aim and version.
type Series = BTreeMap<(String, String), Vec<(f64, f64)>>;

/// Reads lines of `machines,aim,version,kept`; the first is their heading.
fn read(text: &str) -> Result<Series, PlotError> {
    let mut series = Series::new();
    for (n, line) in text.lines().enumerate().skip(1).filter(|(_, l)| !l.trim().is_empty()) {
        let parts: Vec<&str> = line.split(',').map(str::trim).collect();
        let [machines, aim, version, kept] = parts[..] else { return Err(PlotError::Line(n + 1)) };
        let number = |t: &str| t.parse::<f64>().map_err(|_| PlotError::Line(n + 1));
        let point = (number(machines)?, number(kept)?);
        series.entry((aim.to_string(), version.to_string())).or_default().push(point);
    }
    match series.is_empty() {
        true => Err(PlotError::Empty),
        false => Ok(series),
    }
}

const COLOURS: [RGBColor; 4] =
    [RGBColor(178, 34, 52), RGBColor(0, 90, 160), RGBColor(20, 130, 60), RGBColor(200, 120, 0)];

/// Draws a curve for each aim and version: the last version full, earlier ones faint.
pub fn plot(text: &str, out: &Path) -> Result<(), PlotError> {
    let series = read(text)?;
    let drawn = |e: &dyn std::fmt::Display| PlotError::Draw(e.to_string());
    let most = series.values().flatten().map(|(x, _)| *x).fold(0.0, f64::max);
    let area = SVGBackend::new(out, (860, 420)).into_drawing_area();
    area.fill(&WHITE).map_err(|e| drawn(&e))?;
    let mut chart = ChartBuilder::on(&area)
        .margin(16)
        .margin_right(30)
        .x_label_area_size(40)
        .y_label_area_size(54)
        .build_cartesian_2d(0.0..most * 1.05, 0.0..1.05)
        .map_err(|e| drawn(&e))?;
    chart
        .configure_mesh()
        .x_desc("machines")
        .y_desc("share kept")
        .x_label_formatter(&|x| format!("{x:.0}"))
        .y_label_formatter(&|y| format!("{y:.1}"))
        .label_style(("sans-serif", 14))
        .draw()
        .map_err(|e| drawn(&e))?;
    let mut aims: Vec<&String> = series.keys().map(|(aim, _)| aim).collect();
    aims.dedup();
    let versions: std::collections::BTreeSet<&String> = series.keys().map(|(_, v)| v).collect();
    let last = versions.iter().next_back().copied();
    for ((aim, version), points) in &series {
        let at = aims.iter().position(|a| *a == aim).unwrap_or(0);
        let strength = if Some(version) == last { 1.0 } else { 0.35 };
        let colour = COLOURS[at % COLOURS.len()].mix(strength);
        let style = colour.stroke_width(2);
        chart
            .draw_series(LineSeries::new(points.iter().copied(), style).point_size(4))
            .map_err(|e| drawn(&e))?
            .label(format!("{aim}, {version}"))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 22, y)], style));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerLeft)
        .background_style(WHITE.mix(0.85))
        .border_style(BLACK.mix(0.3))
        .label_font(("sans-serif", 14))
        .draw()
        .map_err(|e| drawn(&e))?;
    area.present().map_err(|e| drawn(&e))
}

#[cfg(test)]
#[path = "../tests/unit/plot.rs"]
mod tests;
