//! SVG plot of burn rates.

use std::error;
use std::fs;
use std::path::Path;

use plotters::prelude::{
    ChartBuilder, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend, WHITE,
};
use plotters::style::{BLACK, Color};
use snafu::ResultExt;

use super::error::{Error, WriteSnafu};
use crate::burn::rates::{self, Row};
use crate::resource::{Object, burn};

/// Width and height, pixels.
const SIZE: (u32, u32) = (960, 480);

/// Most lines that stay distinguishable.
const MAX_LINES: usize = 10;

/// Height of the plot when all rates are lower, so that a quiet day looks quiet.
const LEAST_RATE: f64 = 2.0;

/// A line of the plot.
#[derive(Debug)]
struct Line {
    label: String,
    points: Vec<f64>,
}

/// Draws the burn rates of the rows with the highest rates in the last 6 h.
///
/// # Errors
/// Fails when the file can't be written.
pub fn draw(
    path: &Path,
    burns: &[Object<burn::Burn>],
    rows: &[Row],
    now: u64,
) -> Result<(), Error> {
    let svg = render(&lines(burns, rows, now)).map_err(|e| std::io::Error::other(e.to_string()));
    let written = svg.and_then(|svg| fs::write(path, svg));
    written.context(WriteSnafu { path })
}

fn lines(burns: &[Object<burn::Burn>], rows: &[Row], now: u64) -> Vec<Line> {
    let mut worst: Vec<&Row> = rows.iter().collect();
    worst.sort_by(|a, b| b.rates[2].total_cmp(&a.rates[2]));
    let line = |row: &&Row| Line {
        label: match row.account.as_str() {
            "" => row.service.clone(),
            account => format!("{} {account}", row.service),
        },
        points: rates::series(burns, row, now),
    };
    worst.iter().take(MAX_LINES).map(line).collect()
}

#[allow(clippy::cast_precision_loss)]
fn render(lines: &[Line]) -> Result<String, Box<dyn error::Error>> {
    let minutes = rates::WINDOWS[2] as f64;
    let rates = lines.iter().flat_map(|l| &l.points);
    let top = rates.fold(LEAST_RATE, |top, &rate| top.max(rate)) * 1.05;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(
                "Burn rate over 5 min; 1 uses the error budget up",
                ("sans-serif", 20),
            )
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(50)
            .build_cartesian_2d(-minutes / 60.0..0.0, 0.0..top)?;
        chart
            .configure_mesh()
            .x_desc("hours ago")
            .y_desc("burn rate")
            .draw()?;
        let limit = [(-minutes / 60.0, 1.0), (0.0, 1.0)];
        chart.draw_series(LineSeries::new(limit, BLACK.mix(0.5)))?;
        for (i, line) in lines.iter().enumerate() {
            let color = Palette99::pick(i).to_rgba();
            let point = |(m, rate): (usize, &f64)| ((m as f64 + 1.0 - minutes) / 60.0, *rate);
            let points = line.points.iter().enumerate().map(point);
            chart
                .draw_series(LineSeries::new(points, color))?
                .label(line.label.clone())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        area.present()?;
    }
    Ok(svg)
}
