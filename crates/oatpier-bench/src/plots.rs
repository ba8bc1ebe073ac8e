//! Plots for the documentation, drawn from bench runs: attainment against load, moves over time and spread of a change.

use std::fmt;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use plotters::prelude::*;

use crate::load::deployment::{BenchDeployment, ijoko};
use crate::load::scenario::{BenchCase, BenchScenario, RunSpan};
use crate::policy::{self, BenchPolicy, PolicyCell};
use crate::state::spread;
use crate::units::size_f64;

const PLOT_SIZE_PIXELS: (u32, u32) = (800, 480);
/// Loads, as fractions of the capacity of the deployment.
const LOADS: [f64; 7] = [0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 2.0];
const LOAD_SPAN: RunSpan = RunSpan {
    warm_up: Duration::from_secs(10),
    length: Duration::from_secs(40),
};

/// Error that prevented a plot from being drawn.
#[derive(Debug)]
pub enum PlotError {
    /// The output directory cannot be created.
    Folder(io::Error),
    /// The plot cannot be drawn or written.
    Drawing(String),
}

impl fmt::Display for PlotError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Folder(error) => {
                write!(formatter, "failed to create the output directory: {error}")
            }
            Self::Drawing(error) => write!(formatter, "failed to draw the plot: {error}"),
        }
    }
}

impl std::error::Error for PlotError {}

/// Line in a plot.
#[derive(Debug, Clone, PartialEq)]
pub struct PlotLine {
    /// Name in the legend.
    pub name: String,
    /// Points as pairs of x and y values.
    pub points: Vec<(f64, f64)>,
}

/// Plot with one or more lines.
#[derive(Debug, Clone, PartialEq)]
pub struct LinePlot {
    /// File name without extension.
    pub file: &'static str,
    /// Title of the plot.
    pub title: &'static str,
    /// Label of the horizontal axis.
    pub x_label: &'static str,
    /// Label of the vertical axis.
    pub y_label: &'static str,
    /// Lines of the plot.
    pub lines: Vec<PlotLine>,
}

/// Runs the benches that the plots show, draws the plots into a directory and returns the file paths.
///
/// # Errors
///
/// See [`PlotError`].
pub fn draw_all(folder: &Path) -> Result<Vec<PathBuf>, PlotError> {
    fs::create_dir_all(folder).map_err(PlotError::Folder)?;
    let plots = [attainment_by_load(), moves_over_time(), spread_of_change()];
    plots.iter().map(|plot| draw(plot, folder)).collect()
}

/// Draws one plot as SVG and returns the file path.
///
/// # Errors
///
/// See [`PlotError`].
pub fn draw(plot: &LinePlot, folder: &Path) -> Result<PathBuf, PlotError> {
    let path = folder.join(format!("{}.svg", plot.file));
    let drawn = draw_lines(plot, &path);
    drawn.map_err(|error| PlotError::Drawing(error.to_string()))?;
    Ok(path)
}

fn draw_lines(plot: &LinePlot, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, PLOT_SIZE_PIXELS).into_drawing_area();
    root.fill(&WHITE)?;
    let points = || plot.lines.iter().flat_map(|line| line.points.iter());
    let widest = points()
        .map(|point| point.0)
        .fold(f64::MIN_POSITIVE, f64::max);
    let highest = points()
        .map(|point| point.1)
        .fold(f64::MIN_POSITIVE, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .caption(plot.title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..widest * 1.02, 0.0..highest * 1.08)?;
    chart
        .configure_mesh()
        .x_desc(plot.x_label)
        .y_desc(plot.y_label)
        .draw()?;
    for (index, line) in plot.lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let series = LineSeries::new(line.points.iter().copied(), color.stroke_width(2));
        let legend = move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2));
        chart.draw_series(series)?.label(&line.name).legend(legend);
    }
    let labels = &mut chart.configure_series_labels();
    labels
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}

/// Returns a plot of the attainment of each policy at fractions and multiples of the capacity.
#[must_use]
pub fn attainment_by_load() -> LinePlot {
    let deployments = LOADS.map(|load| {
        let base = ijoko();
        BenchDeployment {
            capacity_factor: base.capacity_factor * load,
            ..base
        }
    });
    let cells: Vec<PolicyCell<'_>> = BenchPolicy::ALL
        .iter()
        .flat_map(|policy| {
            deployments
                .iter()
                .map(|one| cell(one, BenchScenario::Full, LOAD_SPAN, *policy))
        })
        .collect();
    let runs = policy::run_cells(&cells);
    let lines = BenchPolicy::ALL.iter().zip(runs.chunks(LOADS.len()));
    let lines = lines.map(|(policy, runs)| PlotLine {
        name: policy.as_str().to_owned(),
        points: LOADS
            .into_iter()
            .zip(runs.iter().map(|run| run.attainment))
            .collect(),
    });
    LinePlot {
        file: "attainment-by-load",
        title: "Attainment against load (ijoko)",
        x_label: "demand, as a multiple of what the fleet can serve",
        y_label: "share of requests within target",
        lines: lines.collect(),
    }
}

/// Returns a plot of the cumulative number of moves under bursts over time.
#[must_use]
pub fn moves_over_time() -> LinePlot {
    let deployment = ijoko();
    let policies = [BenchPolicy::Oatpier, BenchPolicy::LeastOutstanding];
    let lines = policies.map(|policy| {
        let cell = cell(&deployment, BenchScenario::Burst, RunSpan::WHOLE, policy);
        let times = policy::run_figures(&cell).move_times;
        let steps = times.iter().enumerate();
        let points = steps.map(|(index, at)| {
            let seconds = at
                .since(oatpier_types::clock::ClockTime::ZERO)
                .as_secs_f64();
            (seconds, size_f64(index + 1))
        });
        PlotLine {
            name: policy.as_str().to_owned(),
            points: points.collect(),
        }
    });
    LinePlot {
        file: "moves-over-time",
        title: "Moves under bursts (ijoko, least-outstanding over the greedy planner)",
        x_label: "seconds; two minutes stand for an hour",
        y_label: "moves so far",
        lines: lines.to_vec(),
    }
}

/// Returns a plot of the share of processes that apply a change, by the time since it was accepted.
#[must_use]
pub fn spread_of_change() -> LinePlot {
    let rows = spread::sizes()
        .into_iter()
        .take(2)
        .flat_map(|size| spread::run(&size));
    let lines = rows.map(|row| {
        let count = size_f64(row.times_s.len());
        let points = row.times_s.iter().enumerate();
        let points = points.map(|(index, seconds)| (*seconds, size_f64(index + 1) / count));
        PlotLine {
            name: format!("{} entries, {}", row.entries, row.network),
            points: points.collect(),
        }
    });
    LinePlot {
        file: "spread-of-change",
        title: "Spread of a change, a tenth of messages lost",
        x_label: "seconds since it was accepted (cut off: since the heal)",
        y_label: "share of processes with it in force",
        lines: lines.collect(),
    }
}

fn cell(
    deployment: &BenchDeployment,
    scenario: BenchScenario,
    span: RunSpan,
    policy: BenchPolicy,
) -> PolicyCell<'_> {
    let case = BenchCase {
        deployment,
        scenario,
        span,
    };
    PolicyCell { case, policy }
}
