//! Reports as SVG.

use std::collections::BTreeMap;

use plotters::prelude::*;

use crate::{burn::Burn, policies::Policies};

/// Size in pixels.
const SIZE: (u32, u32) = (960, 480);

/// Reason why a chart is not drawn.
pub type ChartError = Box<dyn std::error::Error + Send + Sync>;

type Lines = BTreeMap<String, Vec<(f64, f64)>>;

/// Time between two points beyond which the line is broken, in hours: a slot without requests is no data.
const MAX_GAP_HOURS: f64 = 0.26;

fn hours_before(at_ms: u64, point_ms: u64) -> f64 {
    -(at_ms.saturating_sub(point_ms) as f64) / 3_600_000.0
}

fn draw(
    title: &str,
    note: &str,
    unit: &str,
    lines: &Lines,
    limits: &[(String, f64)],
) -> Result<String, ChartError> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let fail = |error: &dyn std::fmt::Display| ChartError::from(error.to_string());
        area.fill(&WHITE).map_err(|e| fail(&e))?;
        let points = || lines.values().flatten();
        let first = points().map(|point| point.0).fold(-0.5, f64::min);
        let values = points().map(|point| point.1);
        let top = values
            .chain(limits.iter().map(|limit| limit.1))
            .fold(0.1, f64::max)
            * 1.1;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(44)
            .y_label_area_size(60)
            .build_cartesian_2d(first..0.0, 0.0..top)
            .map_err(|e| fail(&e))?;
        chart
            .configure_mesh()
            .x_desc(format!("hours before the report; {note}"))
            .y_desc(unit)
            .draw()
            .map_err(|e| fail(&e))?;
        for (at, (name, line)) in lines.iter().enumerate() {
            let color = Palette99::pick(at).to_rgba();
            let parts = line.chunk_by(|a, b| b.0 - a.0 <= MAX_GAP_HOURS);
            for part in parts {
                let series = LineSeries::new(part.iter().copied(), &color).point_size(2);
                chart.draw_series(series).map_err(|e| fail(&e))?;
            }
            chart
                .draw_series(LineSeries::new(std::iter::empty(), &color))
                .map_err(|e| fail(&e))?
                .label(name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
        }
        for (name, limit) in limits {
            chart
                .draw_series(LineSeries::new([(first, *limit), (0.0, *limit)], &RED))
                .map_err(|e| fail(&e))?
                .label(name)
                .legend(|(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], RED));
        }
        chart
            .configure_series_labels()
            .border_style(BLACK)
            .background_style(WHITE)
            .draw()
            .map_err(|e| fail(&e))?;
        area.present().map_err(|e| fail(&e))?;
    }
    Ok(svg)
}

fn note(covered: usize, missing: usize) -> String {
    format!("data of {covered} of {} instances", covered + missing)
}

impl Burn {
    /// Returns the burn rates over time as SVG.
    pub fn svg(&self) -> Result<String, ChartError> {
        let mut lines = Lines::new();
        for step in &self.steps {
            let name = format!("{}/{}", step.team, step.objective);
            let point = (hours_before(self.at_ms, step.at_ms), step.rate);
            lines.entry(name).or_default().push(point);
        }
        let note = note(self.covered.len(), self.missing.len());
        let limits = [("budget lasts its window".to_owned(), 1.0)];
        draw("Burn rate", &note, "burn rate", &lines, &limits)
    }
}

impl Policies {
    /// Returns attainment per accelerator over time as SVG.
    pub fn svg(&self) -> Result<String, ChartError> {
        let mut lines = Lines::new();
        for row in &self.rows {
            let steps = row.steps.iter();
            let points = steps.map(|(at, value)| (hours_before(self.at_ms, *at), *value));
            let name = format!("{} {}: {} moves", row.team, row.policy, row.moves.total());
            lines.entry(name).or_default().extend(points);
        }
        let note = note(self.covered.len(), self.missing.len());
        let unit = "attainment per accelerator";
        draw("Attainment per accelerator", &note, unit, &lines, &[])
    }
}
