//! Plot of the latency over a run.
use std::error::Error;

use plotters::prelude::*;

use super::Report;
use super::series::Interval;

const SIZE: (u32, u32) = (900, 420);
const FONT: (&str, u32) = ("sans-serif", 14);
const TITLE: (&str, u32) = ("sans-serif", 18);
const MARGIN: u32 = 10;
const X_LABEL_SIZE: u32 = 40;
const Y_LABEL_SIZE: u32 = 70;
const LEGEND_WIDTH: i32 = 20;

/// Lower end of the latency axis in milliseconds; lower values are drawn there.
const MIN_MS: f64 = 1.0;

/// Upper end of the latency axis in milliseconds; higher values are drawn there.
const MAX_MS: f64 = 10_000.0;

/// One line of the plot.
struct Line {
    name: &'static str,
    colour: RGBColor,
    value_us: fn(&Interval) -> u64,
}

const LINES: [Line; 3] = [
    Line {
        name: "max",
        colour: RED,
        value_us: |interval| interval.max_us,
    },
    Line {
        name: "p99",
        colour: BLUE,
        value_us: |interval| interval.p99_us,
    },
    Line {
        name: "p50",
        colour: BLACK,
        value_us: |interval| interval.p50_us,
    },
];

/// Draws the latency of each interval of a run into an SVG file.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn save(report: &Report, file: &str) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let end = report.series.last().map_or(1.0, seconds).max(1.0);
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("Latency of {} by time", report.service), TITLE)
        .margin(MARGIN)
        .x_label_area_size(X_LABEL_SIZE)
        .y_label_area_size(Y_LABEL_SIZE)
        .build_cartesian_2d(0.0..end, (MIN_MS..MAX_MS).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("second")
        .y_desc("ms")
        .label_style(FONT)
        .draw()?;
    for line in LINES {
        let answered = report
            .series
            .iter()
            .filter(|interval| interval.answered > 0);
        let points = answered.map(|interval| {
            let latency = milliseconds((line.value_us)(interval));
            (seconds(interval), latency.clamp(MIN_MS, MAX_MS))
        });
        chart
            .draw_series(LineSeries::new(points, line.colour))?
            .label(line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_WIDTH, y)], line.colour));
    }
    chart
        .configure_series_labels()
        .label_font(FONT)
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

fn seconds(interval: &Interval) -> f64 {
    interval.start.as_secs_f64()
}

fn milliseconds(microseconds: u64) -> f64 {
    std::time::Duration::from_micros(microseconds).as_secs_f64() * 1000.0
}
