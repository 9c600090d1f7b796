//! Rendering of reports as SVG charts.

use std::collections::BTreeMap;

use plotters::{coord::types::RangedCoordf64, prelude::*};

use crate::{burn::Burn, policies::Policies};

/// Width and height of a chart in pixels.
const SIZE_PX: (u32, u32) = (960, 480);

/// Reason why a chart could not be drawn.
pub type ChartError = Box<dyn std::error::Error + Send + Sync>;

type Lines = BTreeMap<String, Vec<(f64, f64)>>;

/// Time between two points beyond which the line is interrupted. A slot without requests has no data, and slots are
/// a quarter of an hour long.
const MAX_GAP_HOURS: f64 = 0.26;

/// Returns the time of a point relative to the time `at_ms` of the report, in hours; 0 or negative.
fn hours_before(at_ms: u64, point_ms: u64) -> f64 {
    -(at_ms.saturating_sub(point_ms) as f64) / 3_600_000.0
}

/// Contents of a chart. X values are hours relative to the time of the report.
struct Chart<'a> {
    title: &'a str,
    note: String,
    unit: &'a str,
    lines: Lines,
    limits: &'a [(&'a str, f64)],
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;
type Axes<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

fn chart_error(error: impl std::fmt::Display) -> ChartError {
    ChartError::from(error.to_string())
}

impl Chart<'_> {
    /// Returns the smallest x value, at least half an hour before the report.
    fn start_hours(&self) -> f64 {
        let points = self.lines.values().flatten();
        points.map(|point| point.0).fold(-0.5, f64::min)
    }

    fn draw(&self) -> Result<String, ChartError> {
        let mut svg = String::new();
        {
            let area = SVGBackend::with_string(&mut svg, SIZE_PX).into_drawing_area();
            area.fill(&WHITE).map_err(chart_error)?;
            let mut axes = self.axes(&area)?;
            self.draw_lines(&mut axes)?;
            self.draw_limits(&mut axes)?;
            axes.configure_series_labels()
                .border_style(BLACK)
                .background_style(WHITE)
                .draw()
                .map_err(chart_error)?;
            area.present().map_err(chart_error)?;
        }
        Ok(svg)
    }

    fn axes<'a, 'b>(&self, area: &Area<'b>) -> Result<Axes<'a, 'b>, ChartError> {
        let values = self.lines.values().flatten().map(|point| point.1);
        let limits = self.limits.iter().map(|limit| limit.1);
        let max_y = values.chain(limits).fold(0.1, f64::max) * 1.1;
        let mut axes = ChartBuilder::on(area)
            .caption(self.title, ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(44)
            .y_label_area_size(60)
            .build_cartesian_2d(self.start_hours()..0.0, 0.0..max_y)
            .map_err(chart_error)?;
        axes.configure_mesh()
            .x_desc(format!("hours before the report; {}", self.note))
            .y_desc(self.unit)
            .draw()
            .map_err(chart_error)?;
        Ok(axes)
    }

    fn draw_lines(&self, axes: &mut Axes<'_, '_>) -> Result<(), ChartError> {
        for (index, (name, line)) in self.lines.iter().enumerate() {
            let color = Palette99::pick(index).to_rgba();
            for segment in line.chunk_by(|a, b| b.0 - a.0 <= MAX_GAP_HOURS) {
                let series = LineSeries::new(segment.iter().copied(), &color).point_size(2);
                axes.draw_series(series).map_err(chart_error)?;
            }
            // An empty series carries the label, so that it appears once for all segments of a line.
            axes.draw_series(LineSeries::new(std::iter::empty(), &color))
                .map_err(chart_error)?
                .label(name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
        }
        Ok(())
    }

    fn draw_limits(&self, axes: &mut Axes<'_, '_>) -> Result<(), ChartError> {
        for (name, limit) in self.limits {
            let ends = [(self.start_hours(), *limit), (0.0, *limit)];
            axes.draw_series(LineSeries::new(ends, &RED))
                .map_err(chart_error)?
                .label(*name)
                .legend(|(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], RED));
        }
        Ok(())
    }
}

fn coverage_note(covered: usize, missing: usize) -> String {
    format!("data of {covered} of {} instances", covered + missing)
}

impl Burn {
    /// Draws the burn rates over time as an SVG document.
    pub fn svg(&self) -> Result<String, ChartError> {
        let mut lines = Lines::new();
        for step in &self.steps {
            let name = format!("{}/{}", step.team, step.objective);
            let point = (hours_before(self.at_ms, step.at_ms), step.rate);
            lines.entry(name).or_default().push(point);
        }
        let note = coverage_note(self.covered.len(), self.missing.len());
        let chart = Chart {
            title: "Burn rate",
            note,
            unit: "burn rate",
            lines,
            limits: &[("budget lasts its window", 1.0)],
        };
        chart.draw()
    }
}

impl Policies {
    /// Draws attainment per accelerator over time as an SVG document.
    pub fn svg(&self) -> Result<String, ChartError> {
        let mut lines = Lines::new();
        for row in &self.rows {
            let steps = row.steps.iter();
            let points = steps.map(|(at, value)| (hours_before(self.at_ms, *at), *value));
            let name = format!("{} {}: {} moves", row.team, row.policy, row.moves.total());
            lines.entry(name).or_default().extend(points);
        }
        let note = coverage_note(self.covered.len(), self.missing.len());
        let chart = Chart {
            title: "Attainment per accelerator",
            note,
            unit: "attainment per accelerator",
            lines,
            limits: &[],
        };
        chart.draw()
    }
}
