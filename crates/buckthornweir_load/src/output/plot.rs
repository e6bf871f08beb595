//! Draws line plots over time as SVG.

use plotters::prelude::*;

use crate::fault::{Fault, Result};

const SIZE: (u32, u32) = (1000, 320);
const FONT: &str = "sans-serif";
const LABEL_SIZE: u32 = 13;
const TITLE_SIZE: u32 = 16;
const LEGEND_WIDTH: i32 = 16;
/// The width reserved for the legend to the right of the plot, in pixels.
const LEGEND_MARGIN: u32 = 130;
const MARK_COLOUR: RGBColor = RGBColor(200, 60, 40);
const VALUE_LABELS: usize = 8;
/// The lower end of a logarithmic axis. Smaller values are drawn there.
const LOG_FLOOR: f64 = 0.1;
/// Colours that remain distinguishable with most kinds of colour blindness.
const COLOURS: [RGBColor; 8] = [
    RGBColor(0, 114, 178),
    RGBColor(230, 159, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
    RGBColor(213, 94, 0),
    RGBColor(120, 94, 240),
    RGBColor(90, 90, 90),
];

/// One line of a plot.
#[derive(Clone, Debug)]
pub struct Line {
    /// The label in the legend.
    pub name: String,
    /// Pairs of time, in seconds, and value.
    pub points: Vec<(f64, f64)>,
}

/// A plot of values over time.
#[derive(Clone, Debug)]
pub struct Plot {
    /// The title above the plot.
    pub title: String,
    /// The label of the value axis.
    pub unit: String,
    /// The end of the time axis, in seconds.
    pub end: f64,
    /// The lines to draw.
    pub lines: Vec<Line>,
    /// The times of events, in seconds, drawn as vertical lines.
    pub marks: Vec<f64>,
    /// Whether the value axis is logarithmic.
    pub log: bool,
}

/// Draws a plot and returns its SVG text.
///
/// # Errors
///
/// Returns an error if the plot can't be drawn.
pub fn draw(plot: &Plot) -> Result<String> {
    let mut svg = String::new();
    draw_into(plot, &mut svg).map_err(|err| Fault::Plot(err.to_string()))?;
    Ok(svg)
}

type DrawResult = std::result::Result<(), Box<dyn std::error::Error>>;

fn draw_into(plot: &Plot, svg: &mut String) -> DrawResult {
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let (area, legend) = area.split_horizontally(SIZE.0 - LEGEND_MARGIN);
    let range = plot.range();
    let mut chart = ChartBuilder::on(&area)
        .caption(&plot.title, (FONT, TITLE_SIZE))
        .margin(8)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..plot.end, range.clone())?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .max_light_lines(0)
        .x_desc("seconds from the start of the load")
        .y_desc(&plot.unit)
        .x_label_formatter(&|seconds| format!("{seconds:.0}"))
        .y_labels(plot.label_count())
        .y_label_formatter(&|value| plot.label(*value))
        .label_style((FONT, LABEL_SIZE))
        .draw()?;
    for mark in &plot.marks {
        let ends = [(*mark, range.start), (*mark, range.end)];
        chart.draw_series(DashedLineSeries::new(
            ends,
            4,
            4,
            MARK_COLOUR.stroke_width(1),
        ))?;
    }
    for (index, line) in plot.lines.iter().enumerate() {
        let points = line
            .points
            .iter()
            .map(|(at, value)| (*at, plot.scaled(*value)));
        chart.draw_series(LineSeries::new(
            points,
            COLOURS[index % COLOURS.len()].stroke_width(2),
        ))?;
    }
    draw_legend(plot, &legend)?;
    area.present()?;
    Ok(())
}

fn draw_legend(
    plot: &Plot,
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
) -> DrawResult {
    let step = LABEL_SIZE as i32 + 6;
    let mut top = 40;
    for (index, line) in plot.lines.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let ends = [(0, top + 7), (LEGEND_WIDTH, top + 7)];
        area.draw(&PathElement::new(ends, colour.stroke_width(3)))?;
        let text = (LEGEND_WIDTH + 6, top);
        area.draw(&Text::new(line.name.clone(), text, (FONT, LABEL_SIZE)))?;
        top += step;
    }
    if !plot.marks.is_empty() {
        let ends = [(0, top + 7), (LEGEND_WIDTH, top + 7)];
        area.draw(&PathElement::new(ends, MARK_COLOUR.stroke_width(1)))?;
        area.draw(&Text::new(
            "event",
            (LEGEND_WIDTH + 6, top),
            (FONT, LABEL_SIZE),
        ))?;
    }
    Ok(())
}

impl Plot {
    /// Returns the range of the value axis. That of a logarithmic axis is in powers of 10.
    fn range(&self) -> std::ops::Range<f64> {
        let values = self
            .lines
            .iter()
            .flat_map(|line| &line.points)
            .map(|(_, value)| *value);
        let top = values.fold(1.0, f64::max) * 1.1;
        if self.log {
            LOG_FLOOR.log10()..top.log10().ceil()
        } else {
            0.0..top
        }
    }

    /// Returns the number of labels on the value axis. A logarithmic axis has one per decade.
    fn label_count(&self) -> usize {
        let range = self.range();
        if self.log {
            (range.end - range.start).round() as usize + 1
        } else {
            VALUE_LABELS
        }
    }

    fn scaled(&self, value: f64) -> f64 {
        if self.log {
            value.max(LOG_FLOOR).log10()
        } else {
            value
        }
    }

    fn label(&self, value: f64) -> String {
        let value = if self.log { 10f64.powf(value) } else { value };
        if value >= 10.0 {
            format!("{value:.0}")
        } else {
            format!("{value:.1}")
        }
    }
}
