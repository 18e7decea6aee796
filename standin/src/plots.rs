//! A self-contained HTML page with bar charts that compare the results of several schedulers.

use std::fs;
use std::path;

use anyhow::Context as _;
use plotters::prelude::*;

use crate::report;

/// Size of a chart in pixels.
const WIDTH: u32 = 720;
const HEIGHT: u32 = 300;

/// A value of a report that is drawn as one chart with a bar for each report.
struct Metric {
    title: &'static str,
    value: fn(&report::Report) -> f64,
}

const METRICS: &[Metric] = &[
    Metric {
        title: "Goodput (share of requests meeting both targets)",
        value: |report| report.goodput,
    },
    Metric {
        title: "Goodput of admitted urgent work",
        value: |report| report.goodput_urgent_admitted,
    },
    Metric {
        title: "Wasted prefill (share of prompt work)",
        value: |report| report.wasted_prefill,
    },
    Metric {
        title: "First token, p95 (ms)",
        value: |report| report.ttft_p95_ms,
    },
    Metric {
        title: "Between tokens, p95 (ms)",
        value: |report| report.tpot_p95_ms,
    },
];

/// Writes the page to `file`. Its heading names the scenario and the seed of the first report.
///
/// # Errors
///
/// Returns an error if there is no report, a chart can't be drawn or the file can't be written.
pub fn write_page(file: &path::Path, reports: &[report::Report]) -> anyhow::Result<()> {
    let first = reports.first().context("no reports to compare")?;
    let mut page = format!(
        "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{name}</title></head>\
         <body style=\"font-family:sans-serif\"><h1>Scenario {name}, seed {seed}</h1>\n",
        name = first.scenario,
        seed = first.seed
    );
    for metric in METRICS {
        page.push_str(&bar_chart(metric, reports)?);
        page.push('\n');
    }
    for report in reports {
        let broken_count = report.broken_guarantees();
        page.push_str(&format!(
            "<p>{}: {} requests, {} refused, {broken_count} broken guarantees</p>\n",
            report.policy, report.requests, report.refused
        ));
    }
    page.push_str("</body></html>\n");
    fs::write(file, page).with_context(|| file.display().to_string())
}

/// Draws the chart of one metric. Returns it as SVG.
fn bar_chart(metric: &Metric, reports: &[report::Report]) -> anyhow::Result<String> {
    let values: Vec<f64> = reports.iter().map(metric.value).collect();
    let max_value = values.iter().copied().fold(0.0, f64::max);
    let axis_max = if max_value > 0.0 {
        max_value * 1.15
    } else {
        1.0
    };
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH, HEIGHT)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(metric.title, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..reports.len() as f64, 0.0..axis_max)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .disable_x_axis()
            .draw()?;
        for (at, (report, value)) in reports.iter().zip(&values).enumerate() {
            let left = at as f64 + 0.25;
            let color = Palette99::pick(at).filled();
            let corners = [(left, 0.0), (left + 0.5, *value)];
            chart.draw_series([Rectangle::new(corners, color)])?;
            let label = format!("{}: {value:.3}", report.policy);
            let style = ("sans-serif", 14).into_font();
            chart.draw_series([Text::new(label, (left, *value + axis_max * 0.04), style)])?;
        }
        area.present()?;
    }
    Ok(svg)
}
