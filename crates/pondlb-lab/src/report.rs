//! The report of one or two runs as an HTML file with SVG plots inside, which opens without a network.

use plotters::prelude::*;
use serde::Serialize;

use crate::ledger::Ledgers;
use crate::run::Report;
use crate::scenario::Scenario;

type DrawResult = Result<(), Box<dyn std::error::Error>>;

/// The figures of a run over time, in intervals of half a second from the start of the load. A request counts in the
/// interval for which it was planned, an attempt in that of its first byte.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Timeline {
    /// By class and interval: requests served in time, served late, rejected, and failed or lost.
    pub outcomes: Vec<Vec<[u32; OUTCOME_COUNT]>>,
    /// By interval, over all classes: the median and the 99th percentile of the latency of the requests served, in
    /// milliseconds.
    pub latency: Vec<[f64; 2]>,
    /// By upstream and interval: attempts.
    #[serde(rename = "postings")]
    pub attempts: Vec<Vec<u32>>,
}

const INTERVAL_US: u64 = 500_000;
/// The range of the horizontal axis, relative to the duration of the load; the rest is room for the legend.
const X_RANGE_FACTOR: f64 = 1.22;
/// The range of the vertical axis, relative to the highest value.
const Y_RANGE_FACTOR: f64 = 1.1;
/// The size of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 260);
/// The most lines of a plot that are named: more names would hide the lines.
const MAX_LEGEND_ENTRIES: usize = 8;
/// The width of the mark of a fault that has no end, in seconds.
const MIN_FAULT_MARK_SECONDS: f64 = 0.05;
const OUTCOME_COUNT: usize = 4;
/// Indices of the outcomes.
const SERVED_IN_TIME: usize = 0;
const SERVED_LATE: usize = 1;
const REJECTED: usize = 2;
const FAILED: usize = 3;
/// The outcomes' names and colours, by index.
const OUTCOMES: [(&str, RGBColor); OUTCOME_COUNT] = [
    ("settled in time", RGBColor(46, 125, 50)),
    ("settled late", RGBColor(230, 160, 30)),
    ("declined", RGBColor(90, 110, 200)),
    ("reversed or lost", RGBColor(190, 40, 40)),
];

impl Timeline {
    /// The timeline of a run whose load started at this time of the ledgers' clock.
    pub fn new(scenario: &Scenario, ledgers: &Ledgers, load_start_us: u64) -> Timeline {
        let interval_count = (scenario.seconds * 1e6 / INTERVAL_US as f64).ceil() as usize;
        let interval = |at_us: u64| {
            ((at_us.saturating_sub(load_start_us) / INTERVAL_US) as usize)
                .min(interval_count.saturating_sub(1))
        };
        let mut outcomes = vec![vec![[0; OUTCOME_COUNT]; interval_count]; scenario.classes.len()];
        let mut latencies_us: Vec<Vec<u64>> = vec![Vec::new(); interval_count];
        for request in &ledgers.requests {
            let sla_us = scenario.classes[request.class].sla_ms * 1000;
            let outcome = match (request.answered_us, request.status) {
                (Some(answered_us), 200) => {
                    let latency_us = answered_us.saturating_sub(request.intended_us);
                    latencies_us[interval(request.intended_us)].push(latency_us);
                    if latency_us > sla_us { SERVED_LATE } else { SERVED_IN_TIME }
                }
                (Some(_), 429 | 503) => REJECTED,
                _ => FAILED,
            };
            outcomes[request.class][interval(request.intended_us)][outcome] += 1;
        }
        let latency = latencies_us.into_iter().map(|mut sorted| {
            sorted.sort_unstable();
            let percentile = |percent: usize| {
                sorted.get(sorted.len() * percent / 100).map_or(0.0, |us| *us as f64 / 1000.0)
            };
            [percentile(50), percentile(99)]
        });
        let mut attempts = vec![vec![0; interval_count]; scenario.upstream_specs().len()];
        for attempt in &ledgers.attempts {
            attempts[attempt.upstream][interval(attempt.first_byte_us)] += 1;
        }
        Timeline { outcomes, latency: latency.collect(), attempts }
    }
}

/// The page for these reports, with their names, one below the other.
pub fn html(scenario: &Scenario, reports: &[(String, &Report)]) -> Result<String, String> {
    let mut page = String::from(
        "<!doctype html><meta charset=\"utf-8\"><title>pondlb-lab</title><style>body{font-family:sans-serif;\
         max-width:60em;margin:2em auto}pre{background:#f4f4f4;padding:1em;overflow:auto}</style>",
    );
    for (name, report) in reports {
        let timeline = &report.timeline;
        page += &format!("<h1>{}</h1><pre>{}</pre>", escape(name), escape(&report.table()));
        for (class, outcomes) in scenario.classes.iter().zip(&timeline.outcomes) {
            page += &format!("<h2>{}: outcomes in each half second</h2>", escape(&class.name));
            page += &svg(|area| draw_outcomes(area, scenario, outcomes))?;
        }
        page += "<h2>latency of settled requests: median and 99th percentile, ms</h2>";
        let lines: Vec<Vec<f64>> =
            (0..2).map(|n| timeline.latency.iter().map(|percentiles| percentiles[n]).collect()).collect();
        page += &svg(|area| draw_lines(area, scenario, &lines, &["median", "99th percentile"]))?;
        page += "<h2>postings to each upstream in each half second</h2>";
        let line = |counts: &Vec<u32>| counts.iter().map(|n| f64::from(*n)).collect::<Vec<f64>>();
        let lines: Vec<Vec<f64>> = timeline.attempts.iter().map(line).collect();
        let names: Vec<String> = (0..lines.len()).map(|n| format!("upstream {n}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        page += &svg(|area| draw_lines(area, scenario, &lines, &names))?;
    }
    Ok(page)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn svg(draw: impl Fn(&Area) -> DrawResult) -> Result<String, String> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, PLOT_SIZE).into_drawing_area();
        draw(&area).and_then(|()| Ok(area.present()?)).map_err(|e| e.to_string())?;
    }
    Ok(text)
}

/// The start of an interval, in seconds from the start of the load.
fn interval_start_seconds(interval: usize) -> f64 {
    interval as f64 * INTERVAL_US as f64 / 1e6
}

/// Draws a stacked bar of the outcomes for each interval.
fn draw_outcomes(area: &Area, scenario: &Scenario, outcomes: &[[u32; OUTCOME_COUNT]]) -> DrawResult {
    let max_count = outcomes.iter().map(|counts| counts.iter().sum::<u32>()).max().unwrap_or_default().max(1);
    let y_max = f64::from(max_count) * Y_RANGE_FACTOR;
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..X_RANGE_FACTOR * scenario.seconds, 0.0..y_max)?;
    chart.configure_mesh().disable_x_mesh().draw()?;
    for (outcome, (name, colour)) in OUTCOMES.into_iter().enumerate() {
        let bar = |(interval, counts): (usize, &[u32; OUTCOME_COUNT])| {
            let bottom = f64::from(counts[..outcome].iter().sum::<u32>());
            let top = bottom + f64::from(counts[outcome]);
            let corners =
                [(interval_start_seconds(interval), bottom), (interval_start_seconds(interval + 1), top)];
            Rectangle::new(corners, colour.filled())
        };
        let series = chart.draw_series(outcomes.iter().enumerate().map(bar))?;
        series
            .label(name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 10, y + 4)], colour.filled()));
    }
    chart.draw_series(fault_marks(scenario, y_max))?;
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    Ok(())
}

/// Draws one line for each row of values, a value for each interval.
fn draw_lines(area: &Area, scenario: &Scenario, lines: &[Vec<f64>], names: &[&str]) -> DrawResult {
    let y_max = lines.iter().flatten().copied().fold(1.0, f64::max) * Y_RANGE_FACTOR;
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..X_RANGE_FACTOR * scenario.seconds, 0.0..y_max)?;
    chart.configure_mesh().disable_x_mesh().draw()?;
    for (number, (line, name)) in lines.iter().zip(names).enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let points =
            line.iter().enumerate().map(|(interval, value)| (interval_start_seconds(interval), *value));
        let series = chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
        if number < MAX_LEGEND_ENTRIES {
            series
                .label(*name)
                .legend(move |(x, y)| Rectangle::new([(x, y - 1), (x + 10, y + 1)], colour.filled()));
        }
    }
    chart.draw_series(fault_marks(scenario, y_max))?;
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    Ok(())
}

/// Shaded areas for the times during which faults were in effect; a fault without an end is marked at its start.
fn fault_marks(scenario: &Scenario, y_max: f64) -> impl Iterator<Item = Rectangle<(f64, f64)>> {
    scenario.faults.iter().map(move |fault| {
        let duration_seconds = fault.duration_seconds.unwrap_or(MIN_FAULT_MARK_SECONDS);
        let end_seconds = (fault.at_seconds + duration_seconds).min(scenario.seconds);
        Rectangle::new([(fault.at_seconds, 0.0), (end_seconds, y_max)], RED.mix(0.1).filled())
    })
}
