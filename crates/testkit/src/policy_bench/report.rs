//! The report of a benchmark: Markdown with SVG plots.

use std::{fmt::Write as _, fs, io, path::Path};

use displaydoc::Display;
use plotters::prelude::*;

use super::scenario_result::{ScenarioResult, Series};

/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (900, 320);

/// An error while the report was written.
#[derive(Debug, Display)]
pub enum ReportError {
    /// cannot write the report: {0}
    Write(io::Error),
    /// cannot draw a plot: {0}
    Plot(Box<dyn std::error::Error>),
}

impl std::error::Error for ReportError {}

/// Writes `report.md` and its plots into a folder, which is created if it is missing.
///
/// # Errors
/// Returns an error if a file cannot be written or a plot cannot be drawn.
pub fn write_report(
    folder: &Path,
    heading: &str,
    parts: &[(String, ScenarioResult)],
) -> Result<(), ReportError> {
    fs::create_dir_all(folder).map_err(ReportError::Write)?;
    let mut text = format!("# Policy benchmark\n\n{heading}\n");
    for (deployment, result) in parts {
        let title = &result.title;
        let rows = result.figures.iter().map(|figure| {
            let (name, value, verdict) = (&figure.name, figure.value, figure.verdict());
            format!("| {name} | {value:.4} | {} | {verdict} |\n", figure.bound)
        });
        let rows: String = rows.collect();
        let table = "| figure | value | bound | verdict |\n| --- | ---: | --- | --- |\n";
        // Writing to a `String` never fails.
        let _written = write!(text, "\n## {deployment}: {title}\n\n{table}{rows}");
        for (index, runs) in result.series.chunks(3).enumerate() {
            let file = format!("{deployment}-{title}-{index}.svg").replace([' ', ','], "-");
            plot(&folder.join(&file), runs)?;
            let _written = write!(text, "\n![p99 by second]({file})\n");
        }
    }
    fs::write(folder.join("report.md"), text).map_err(ReportError::Write)
}

/// Plots the 99th percentile latency by second of up to three runs.
fn plot(path: &Path, series: &[Series]) -> Result<(), ReportError> {
    draw(path, series).map_err(ReportError::Plot)
}

fn draw(path: &Path, series: &[Series]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let points = || series.iter().flat_map(|run| run.p99.iter().copied());
    let top = points().filter(|p99| p99.is_finite()).fold(1.0, f64::max);
    let seconds = series.iter().map(|run| run.p99.len()).max().unwrap_or(1);
    let mut chart = ChartBuilder::on(&area)
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0..seconds, 0.0..top * 1.05)?;
    chart
        .configure_mesh()
        .x_desc("second")
        .y_desc("p99 of wide searches, ms")
        .draw()?;
    for (run, color) in series.iter().zip([&BLUE, &RED, &GREEN]) {
        let line = run.p99.iter().copied().enumerate();
        let line = line.filter(|(_, p99)| p99.is_finite());
        let line = chart.draw_series(LineSeries::new(line, color))?;
        let legend = move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color);
        line.label(run.name.clone()).legend(legend);
    }
    let mut labels = chart.configure_series_labels();
    labels.background_style(WHITE.mix(0.8)).border_style(BLACK);
    labels.draw()?;
    area.present()?;
    Ok(())
}
