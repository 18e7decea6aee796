//! A self-contained page of plots that compares schedulers.

use std::fs;
use std::path;

use anyhow::Context as _;
use plotters::prelude::*;

use crate::report;

const WIDTH: u32 = 720;
const HEIGHT: u32 = 300;

/// One figure shown for each report.
struct Figure {
    title: &'static str,
    value: fn(&report::Report) -> f64,
}

const FIGURES: &[Figure] = &[
    Figure {
        title: "Goodput (share of requests meeting both targets)",
        value: |report| report.goodput,
    },
    Figure {
        title: "Goodput of admitted urgent work",
        value: |report| report.goodput_urgent_admitted,
    },
    Figure {
        title: "Wasted prefill (share of prompt work)",
        value: |report| report.wasted_prefill,
    },
    Figure {
        title: "First token, p95 (ms)",
        value: |report| report.ttft_p95_ms,
    },
    Figure {
        title: "Between tokens, p95 (ms)",
        value: |report| report.tpot_p95_ms,
    },
];

/// Writes the page.
///
/// # Errors
///
/// Returns an error if a plot can't be drawn or the file can't be written.
pub fn write(file: &path::Path, reports: &[report::Report]) -> anyhow::Result<()> {
    let first = reports.first().context("no report to draw")?;
    let mut page = format!(
        "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{name}</title></head>\
         <body style=\"font-family:sans-serif\"><h1>Scenario {name}, seed {seed}</h1>\n",
        name = first.scenario,
        seed = first.seed
    );
    for figure in FIGURES {
        page.push_str(&bars(figure, reports)?);
        page.push('\n');
    }
    for report in reports {
        let broken = report.broken_guarantees();
        page.push_str(&format!(
            "<p>{}: {} requests, {} refused, {broken} broken promises</p>\n",
            report.policy, report.requests, report.refused
        ));
    }
    page.push_str("</body></html>\n");
    fs::write(file, page).with_context(|| file.display().to_string())
}

fn bars(figure: &Figure, reports: &[report::Report]) -> anyhow::Result<String> {
    let values: Vec<f64> = reports.iter().map(figure.value).collect();
    let highest = values.iter().copied().fold(0.0, f64::max);
    let top = if highest > 0.0 { highest * 1.15 } else { 1.0 };
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH, HEIGHT)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(figure.title, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..reports.len() as f64, 0.0..top)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .disable_x_axis()
            .draw()?;
        for (at, (report, value)) in reports.iter().zip(&values).enumerate() {
            let left = at as f64 + 0.25;
            let colour = Palette99::pick(at).filled();
            let corners = [(left, 0.0), (left + 0.5, *value)];
            chart.draw_series([Rectangle::new(corners, colour)])?;
            let label = format!("{}: {value:.3}", report.policy);
            let style = ("sans-serif", 14).into_font();
            chart.draw_series([Text::new(label, (left, *value + top * 0.04), style)])?;
        }
        area.present()?;
    }
    Ok(svg)
}
