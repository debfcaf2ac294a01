//! Line charts, written as SVG files.

use plotters::prelude::*;
use std::path::Path;

/// One line of a chart: its label and its points.
pub type Series = (String, Vec<(f64, f64)>);

/// Writes a chart with one line for each series; both axes begin at 0, and `x` and `y` are their labels.
pub fn write_lines(
    file: &Path,
    title: &str,
    x: &str,
    y: &str,
    series: &[Series],
) -> Result<(), String> {
    let points = || series.iter().flat_map(|(_, points)| points.iter().copied());
    let max_x = points().map(|(x, _)| x).fold(0.0, f64::max).max(1e-9);
    let max_y = points().map(|(_, y)| y).fold(0.0, f64::max).max(1e-9) * 1.05;
    draw(file, title, x, y, 0.0..max_x, 0.0..max_y, series)
        .map_err(|error| format!("{}: {error}", file.display()))
}

fn draw(
    file: &Path,
    title: &str,
    x: &str,
    y: &str,
    xs: std::ops::Range<f64>,
    ys: std::ops::Range<f64>,
    series: &[Series],
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(file, (800, 480)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(xs, ys)?;
    chart.configure_mesh().x_desc(x).y_desc(y).draw()?;
    for (nth, (name, points)) in series.iter().enumerate() {
        let color = Palette99::pick(nth).to_rgba();
        chart
            .draw_series(LineSeries::new(
                points.iter().copied(),
                color.stroke_width(2),
            ))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
