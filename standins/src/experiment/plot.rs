//! Plot of time to N replicas and origin bytes.

use std::path::Path;

use plotters::chart::{ChartBuilder, SeriesLabelPosition};
use plotters::coord::Shift;
use plotters::prelude::{
    BLACK, BLUE, Color, DrawingArea, GREEN, IntoDrawingArea, IntoLogRange, LineSeries, PathElement,
    RED, RGBColor, SVGBackend, WHITE,
};

use super::{Method, Run};
use crate::toolkit;

const SIZE: (u32, u32) = (960, 420);

/// A line of a panel.
struct Line {
    name: &'static str,
    color: RGBColor,
    points: Vec<(f64, f64)>,
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Draws both panels into an SVG file.
///
/// # Errors
/// Fails when the file can't be written.
pub fn draw(runs: &[Run], path: &Path) -> Result<(), toolkit::Error> {
    let unusable = |e: &dyn std::error::Error| toolkit::Error::Unusable {
        reason: format!("{}: {e}", path.display()),
    };
    if runs.is_empty() {
        return Ok(());
    }
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|e| unusable(&e))?;
    let (left, right) = root.split_horizontally(SIZE.0 / 2);
    let mut times = lines(runs, |r| r.all_s);
    let bounds = runs.iter().map(|r| (f64::from(r.agents), r.bound_s));
    times.push(Line {
        name: "bound",
        color: BLACK,
        points: averaged(bounds.collect()),
    });
    panel(&left, "time to N replicas, s", &times).map_err(|e| unusable(&*e))?;
    let origin = lines(runs, |r| r.origin);
    panel(&right, "copies sent by the origin", &origin).map_err(|e| unusable(&*e))?;
    root.present().map_err(|e| unusable(&e))
}

fn lines(runs: &[Run], value: impl Fn(&Run) -> f64) -> Vec<Line> {
    let methods = [
        (Method::Agents, GREEN),
        (Method::Star, RED),
        (Method::Chain, BLUE),
    ];
    let line = |(method, color): (Method, RGBColor)| {
        let own = runs.iter().filter(|r| r.method == method);
        Line {
            name: method.name(),
            color,
            points: averaged(own.map(|r| (f64::from(r.agents), value(r))).collect()),
        }
    };
    methods.into_iter().map(line).collect()
}

/// Mean of the values at each number of agents.
fn averaged(mut points: Vec<(f64, f64)>) -> Vec<(f64, f64)> {
    points.sort_by(|a, b| a.0.total_cmp(&b.0));
    let same = |a: &(f64, f64), b: &(f64, f64)| a.0.total_cmp(&b.0).is_eq();
    let mean = |group: &[(f64, f64)]| {
        let sum: f64 = group.iter().map(|p| p.1).sum();
        let count = u32::try_from(group.len()).unwrap_or(u32::MAX);
        (group[0].0, sum / f64::from(count))
    };
    points.chunk_by(same).map(mean).collect()
}

fn panel(area: &Area, title: &str, lines: &[Line]) -> Result<(), Box<dyn std::error::Error>> {
    let points = || lines.iter().flat_map(|l| &l.points);
    let least = points().map(|p| p.0).fold(f64::MAX, f64::min);
    let most = points().map(|p| p.0).fold(0.0, f64::max);
    let high = points().map(|p| p.1).fold(0.0, f64::max);
    let low = points().map(|p| p.1).fold(f64::MAX, f64::min);
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(50)
        .build_cartesian_2d(
            (least * 0.9..most * 1.1).log_scale(),
            (low * 0.8..high * 1.3).log_scale(),
        )?;
    chart.configure_mesh().x_desc("agents").draw()?;
    for line in lines.iter().filter(|l| !l.points.is_empty()) {
        let color = line.color;
        let series = LineSeries::new(line.points.clone(), color.stroke_width(2)).point_size(3);
        chart
            .draw_series(series)?
            .label(line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    Ok(())
}
