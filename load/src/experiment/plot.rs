//! Draws the plots of one scenario as SVG.

use eyre::Result;
use plotters::prelude::{
    BLUE, ChartBuilder, GREEN, IntoDrawingArea as _, LineSeries, RED, RGBColor, SVGBackend, WHITE,
};

use crate::experiment::{
    Outcome,
    record::{Class, Row},
};

/// Width and height of a plot, in pixels.
const SIZE_PX: (u32, u32) = (640, 240);
/// Font size of the title, in pixels.
const TITLE_SIZE_PX: u32 = 16;

struct Line {
    name: &'static str,
    color: RGBColor,
    points: Vec<(f64, f64)>,
}

/// Plots the 95th percentile of time to first byte by class.
pub fn latency(outcome: &Outcome) -> Result<String> {
    let line = |name, color, class| Line {
        name,
        color,
        points: points(&outcome.rows, class, |row| row.first_p95_ms),
    };
    let lines = [line("urgent", BLUE, Class::Urgent), line("batch", GREEN, Class::Batch)];
    draw("time to the first byte, 95 in 100, ms", &lines)
}

/// Plots complete responses, refusals and losses per second.
pub fn responses(outcome: &Outcome) -> Result<String> {
    let both = |value_of: fn(&Row) -> u64| {
        let urgent = points(&outcome.rows, Class::Urgent, |row| value_of(row) as f64);
        let batch = points(&outcome.rows, Class::Batch, |row| value_of(row) as f64);
        urgent.into_iter().zip(batch).map(|((at, one), (_, two))| (at, one + two)).collect()
    };
    let lines = [
        Line { name: "whole", color: BLUE, points: both(|row| row.whole) },
        Line { name: "not run", color: GREEN, points: both(|row| row.not_run) },
        Line { name: "lost", color: RED, points: both(|row| row.lost) },
    ];
    draw("answers a second", &lines)
}

/// Plots the traffic share of the new version.
pub fn share(outcome: &Outcome) -> Result<String> {
    let points = outcome.shares.iter().map(|point| (point.at, point.share * 100.0)).collect();
    draw("share of the new version, %", &[Line { name: "share", color: BLUE, points }])
}

fn points(rows: &[Row], class: Class, value_of: impl Fn(&Row) -> f64) -> Vec<(f64, f64)> {
    let of_class = rows.iter().filter(|row| row.class == class);
    of_class.map(|row| (row.second as f64, value_of(row))).collect()
}

fn draw(title: &str, lines: &[Line]) -> Result<String> {
    let all = || lines.iter().flat_map(|line| &line.points);
    let right = all().map(|point| point.0).fold(1.0, f64::max);
    let top = all().map(|point| point.1).fold(1.0, f64::max);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE_PX).into_drawing_area();
        area.fill(&WHITE)?;
        let names: Vec<&str> = lines.iter().map(|line| line.name).collect();
        let caption = format!("{title} ({})", names.join(", "));
        let mut chart = ChartBuilder::on(&area)
            .caption(caption, ("sans-serif", TITLE_SIZE_PX))
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..right, 0.0..top * 1.05)?;
        chart.configure_mesh().x_desc("s").draw()?;
        for line in lines {
            chart.draw_series(LineSeries::new(line.points.clone(), &line.color))?;
        }
        area.present()?;
    }
    Ok(svg)
}
