//! What was measured: points, the line through them, and the target that it is read at.

use std::{fmt::Write as _, fs, io, path};

use plotters::prelude::*;

use crate::fit;

/// One slope.
#[derive(Clone, Debug)]
pub struct Series {
    /// Short name, also that of its plot.
    pub name: &'static str,
    /// What was varied.
    pub varied: &'static str,
    /// What it cost, with its unit.
    pub cost: &'static str,
    /// The points.
    pub points: Vec<fit::Point>,
    /// Where the target lies.
    pub target: f64,
}

impl Series {
    /// The line through the points.
    pub fn line(&self) -> fit::Line {
        fit::Line::through(&self.points)
    }
}

/// The table of all series, a line each.
pub fn table(all: &[Series]) -> String {
    let mut text = String::new();
    for series in all {
        let line = series.line();
        let points: Vec<_> =
            series.points.iter().map(|(x, y)| format!("{x:.0}:{}", short(*y))).collect();
        let _ = writeln!(
            text,
            "{:<28} {} per {}: {} + {} x, residual {:.1}%, at {:.0}: {}  [{}]",
            series.name,
            series.cost,
            series.varied,
            short(line.base),
            short(line.slope),
            line.residual_percent,
            series.target,
            short(line.at(series.target)),
            points.join(" ")
        );
    }
    text
}

/// A number with about four digits.
pub fn short(value: f64) -> String {
    match value.abs() {
        v if v >= 1_000.0 => format!("{value:.0}"),
        v if v >= 10.0 => format!("{value:.1}"),
        v if v >= 0.1 => format!("{value:.3}"),
        _ => format!("{value:.5}"),
    }
}

/// Why a plot could not be written.
type PlotError = Box<dyn std::error::Error>;

/// Writes the table and one plot with a field for each series.
pub fn write(folder: &path::Path, all: &[Series]) -> Result<(), PlotError> {
    fs::create_dir_all(folder)?;
    fs::write(folder.join("slopes.txt"), table(all))?;
    let columns = 3;
    let rows = all.len().div_ceil(columns);
    let file = folder.join("slopes.svg");
    let size = (columns as u32 * 420, rows as u32 * 280);
    let area = SVGBackend::new(&file, size).into_drawing_area();
    area.fill(&WHITE)?;
    for (field, series) in area.split_evenly((rows, columns)).iter().zip(all) {
        draw(field, series).map_err(|error| io::Error::other(error.to_string()))?;
    }
    area.present()?;
    Ok(())
}

fn draw(
    field: &DrawingArea<SVGBackend, plotters::coord::Shift>,
    series: &Series,
) -> Result<(), PlotError> {
    let line = series.line();
    let ends = [(0.0, line.base), (series.target, line.at(series.target))];
    let all = series.points.iter().chain(&ends);
    let (right, top) = all.fold((1e-9, 1e-9), |(x, y): (f64, f64), p| (x.max(p.0), y.max(p.1)));
    let mut chart = ChartBuilder::on(field)
        .caption(series.name, ("sans-serif", 15))
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..right * 1.05, 0.0..top * 1.1)
        .map_err(plain)?;
    let mut mesh = chart.configure_mesh();
    let mesh = mesh.x_labels(5).y_labels(5).x_desc(series.varied).y_desc(series.cost);
    mesh.draw().map_err(plain)?;
    chart.draw_series(LineSeries::new(ends, &BLUE)).map_err(plain)?;
    let dot = |p: &fit::Point| Circle::new(*p, 3, RED.filled());
    chart.draw_series(series.points.iter().map(dot)).map_err(plain)?;
    Ok(())
}

fn plain(error: impl std::fmt::Display) -> PlotError {
    error.to_string().into()
}
