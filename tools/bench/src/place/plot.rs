//! Plots the load imbalance of the policies, and the latency while one target
//! is slow.
use std::error::Error;
use std::fs;
use std::path::Path;

use plotters::prelude::*;

use super::report::Results;
use super::report::Row;

const SIZE: (u32, u32) = (900, 420);
const FONT: (&str, u32) = ("sans-serif", 14);
const TITLE: (&str, u32) = ("sans-serif", 18);
const COLOURS: [RGBColor; 7] = [BLUE, RED, GREEN, MAGENTA, BLACK, CYAN, YELLOW];

/// Name of the trial whose latency is plotted.
const SLOW_TRIAL: &str = "roster single slow";

/// Names of the trials whose imbalance is plotted.
const IMBALANCE_TRIALS: [&str; 4] = [
    "roster single",
    "rota single",
    "advice single",
    "intake single",
];

/// Lower end of the latency axis in milliseconds; lower latencies are drawn
/// there.
const MIN_LATENCY_MS: f64 = 10.0;

/// Upper end of the latency axis in milliseconds; higher latencies are drawn
/// there.
const MAX_LATENCY_MS: f64 = 100_000.0;

/// Writes each plot whose trials were run.
///
/// # Errors
///
/// The error of a plot that cannot be drawn or written.
pub fn save(results: &[Results], plots: &Path) -> Result<(), Box<dyn Error>> {
    fs::create_dir_all(plots)?;
    if let Some(slow) = results.iter().find(|results| results.name == SLOW_TRIAL) {
        latency(slow, &plots.join("slowdown.svg"))?;
    }
    let named = |name| results.iter().find(|results| results.name == name);
    let trials: Vec<&Results> = IMBALANCE_TRIALS.into_iter().filter_map(named).collect();
    if trials.len() == IMBALANCE_TRIALS.len() {
        imbalance(&trials, &plots.join("imbalance.svg"))?;
    }
    Ok(())
}

/// Plots the 99th percentile of the latency over time, one line per policy.
fn latency(results: &Results, path: &Path) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let seconds = u32::try_from(results.rows[0].outcome.p99_by_second_ms.len())?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "p99 by second; one target 5 times slower from 90 s to 120 s",
            TITLE,
        )
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(60..seconds, (MIN_LATENCY_MS..MAX_LATENCY_MS).log_scale())?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc("second")
        .y_desc("ms")
        .label_style(FONT)
        .draw()?;
    for (row, colour) in results.rows.iter().zip(COLOURS) {
        let points = (0..).zip(&row.outcome.p99_by_second_ms);
        let points = points.filter(|&(second, _)| second >= 60);
        let points = points.map(|(second, &ms)| (second, ms.clamp(MIN_LATENCY_MS, MAX_LATENCY_MS)));
        let line = chart.draw_series(LineSeries::new(points, colour))?;
        line.label(&row.name).legend(legend_line(colour));
    }
    let mut labels = chart.configure_series_labels();
    labels
        .label_font(FONT)
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

/// Plots the imbalance as groups of bars: a group per trial, a bar per policy.
fn imbalance(trials: &[&Results], path: &Path) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let policies = trials[0].rows.len();
    let width = policies + 1;
    let end = trials.len() * width;
    let mut chart = ChartBuilder::on(&area)
        .caption("Largest over mean utilisation at 85% load", TITLE)
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0..end, 1.0..1.35_f64)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(end)
        .x_label_formatter(&|x| group_label(trials, *x, width))
        .label_style(FONT)
        .draw()?;
    for policy in 0..policies {
        let colour = COLOURS[policy % COLOURS.len()];
        let bar = |(trial, results): (usize, &&Results)| {
            let left = trial * width + policy;
            let top = results.rows[policy].outcome.imbalance;
            Rectangle::new([(left, 1.0), (left + 1, top)], colour.filled())
        };
        let bars = chart.draw_series(trials.iter().enumerate().map(bar))?;
        let row: &Row = &trials[0].rows[policy];
        bars.label(&row.name).legend(legend_line(colour));
    }
    let mut labels = chart.configure_series_labels();
    labels
        .label_font(FONT)
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

/// Returns the name of a trial at the middle of its group of bars, and an empty
/// label elsewhere.
fn group_label(trials: &[&Results], x: usize, width: usize) -> String {
    match trials.get(x / width) {
        Some(results) if x % width == width / 2 => results.name.clone(),
        _ => String::new(),
    }
}

/// Returns a function that draws the line of a legend entry.
fn legend_line(colour: RGBColor) -> impl Fn((i32, i32)) -> PathElement<(i32, i32)> {
    move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], colour.stroke_width(3))
}
