//! A run as one HTML file, its plots inside as SVG, that opens without a network.

use plotters::prelude::*;
use serde::Serialize;

use crate::ledger::Ledgers;
use crate::run::Report;
use crate::scenario::Scenario;

type Drawn = Result<(), Box<dyn std::error::Error>>;

/// What happened in each half second.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Times {
    /// By class and half second: served in time, served late, rejected, failed or lost.
    pub outcomes: Vec<Vec<[u32; 4]>>,
    /// By half second, over all classes: the median and the 99th percentile of what was served, in milliseconds.
    pub latency: Vec<[f64; 2]>,
    /// By upstream and half second: attempts.
    #[serde(rename = "postings")]
    pub attempts: Vec<Vec<u32>>,
}

const STEP: u64 = 500_000;
/// The plots end before the legend begins.
const LEGEND: f64 = 1.22;
const SIZE: (u32, u32) = (900, 260);
const OUTCOMES: [(&str, RGBColor); 4] = [
    ("settled in time", RGBColor(46, 125, 50)),
    ("settled late", RGBColor(230, 160, 30)),
    ("declined", RGBColor(90, 110, 200)),
    ("reversed or lost", RGBColor(190, 40, 40)),
];

impl Times {
    pub fn of(scenario: &Scenario, ledgers: &Ledgers, from: u64) -> Times {
        let steps = (scenario.seconds * 1e6 / STEP as f64).ceil() as usize;
        let step = |at: u64| ((at.saturating_sub(from) / STEP) as usize).min(steps.saturating_sub(1));
        let mut outcomes = vec![vec![[0; 4]; steps]; scenario.classes.len()];
        let mut took: Vec<Vec<u64>> = vec![Vec::new(); steps];
        for asked in &ledgers.requests {
            let sla = scenario.classes[asked.class].sla_ms * 1000;
            let which = match (asked.answered_us, asked.status) {
                (Some(at), 200) => {
                    let time = at.saturating_sub(asked.intended_us);
                    took[step(asked.intended_us)].push(time);
                    usize::from(time > sla)
                }
                (Some(_), 429 | 503) => 2,
                _ => 3,
            };
            outcomes[asked.class][step(asked.intended_us)][which] += 1;
        }
        let latency = took.into_iter().map(|mut all| {
            all.sort_unstable();
            let at = |part: usize| all.get(all.len() * part / 100).map_or(0.0, |us| *us as f64 / 1000.0);
            [at(50), at(99)]
        });
        let mut attempts = vec![vec![0; steps]; scenario.upstream_specs().len()];
        ledgers.attempts.iter().for_each(|run| attempts[run.upstream][step(run.first_byte_us)] += 1);
        Times { outcomes, latency: latency.collect(), attempts }
    }
}

/// One page; with a second report both sides stand below each other.
pub fn html(scenario: &Scenario, sides: &[(String, &Report)]) -> Result<String, String> {
    let mut page = String::from(
        "<!doctype html><meta charset=\"utf-8\"><title>pondlb-lab</title><style>body{font-family:sans-serif;\
         max-width:60em;margin:2em auto}pre{background:#f4f4f4;padding:1em;overflow:auto}</style>",
    );
    for (name, report) in sides {
        page += &format!("<h1>{}</h1><pre>{}</pre>", escaped(name), escaped(&report.table()));
        for (class, outcomes) in scenario.classes.iter().zip(&report.times.outcomes) {
            page += &format!("<h2>{}: outcomes in each half second</h2>", escaped(&class.name));
            page += &svg(|area| draw_outcomes(area, scenario, outcomes))?;
        }
        page += "<h2>latency of what settled: median and 99th percentile, ms</h2>";
        let lines: Vec<Vec<f64>> =
            (0..2).map(|n| report.times.latency.iter().map(|l| l[n]).collect()).collect();
        page += &svg(|area| draw_lines(area, scenario, &lines, &["median", "99th percentile"]))?;
        page += "<h2>postings to each upstream in each half second</h2>";
        let count = |ups: &Vec<u32>| ups.iter().map(|n| f64::from(*n)).collect::<Vec<f64>>();
        let lines: Vec<Vec<f64>> = report.times.attempts.iter().map(count).collect();
        let names: Vec<String> = (0..lines.len()).map(|n| format!("upstream {n}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        page += &svg(|area| draw_lines(area, scenario, &lines, &names))?;
    }
    Ok(page)
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn svg(draw: impl Fn(&Area) -> Drawn) -> Result<String, String> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        draw(&area).and_then(|()| Ok(area.present()?)).map_err(|e| e.to_string())?;
    }
    Ok(text)
}

fn seconds(step: usize) -> f64 {
    step as f64 * STEP as f64 / 1e6
}

fn draw_outcomes(area: &Area, scenario: &Scenario, outcomes: &[[u32; 4]]) -> Drawn {
    let most = outcomes.iter().map(|all| all.iter().sum::<u32>()).max().unwrap_or_default().max(1);
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..LEGEND * scenario.seconds, 0.0..f64::from(most) * 1.1)?;
    chart.configure_mesh().disable_x_mesh().draw()?;
    for (which, (name, colour)) in OUTCOMES.into_iter().enumerate() {
        let bar = |(step, all): (usize, &[u32; 4])| {
            let below = f64::from(all[..which].iter().sum::<u32>());
            let corners = [(seconds(step), below), (seconds(step + 1), below + f64::from(all[which]))];
            Rectangle::new(corners, colour.filled())
        };
        let drawn = chart.draw_series(outcomes.iter().enumerate().map(bar))?;
        drawn
            .label(name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 10, y + 4)], colour.filled()));
    }
    chart.draw_series(marks(scenario, f64::from(most) * 1.1))?;
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    Ok(())
}

fn draw_lines(area: &Area, scenario: &Scenario, lines: &[Vec<f64>], names: &[&str]) -> Drawn {
    let most = lines.iter().flatten().copied().fold(1.0, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..LEGEND * scenario.seconds, 0.0..most)?;
    chart.configure_mesh().disable_x_mesh().draw()?;
    for (number, (line, name)) in lines.iter().zip(names).enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let points = line.iter().enumerate().map(|(step, value)| (seconds(step), *value));
        let drawn = chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
        // More names than lines can be told apart would hide them.
        if number < 8 {
            drawn
                .label(*name)
                .legend(move |(x, y)| Rectangle::new([(x, y - 1), (x + 10, y + 1)], colour.filled()));
        }
    }
    chart.draw_series(marks(scenario, most))?;
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    Ok(())
}

/// From when to when a fault was on.
fn marks(scenario: &Scenario, most: f64) -> impl Iterator<Item = Rectangle<(f64, f64)>> {
    scenario.faults.iter().map(move |fault| {
        let end = fault
            .duration_seconds
            .map_or(fault.at_seconds + 0.05, |lasts| fault.at_seconds + lasts)
            .min(scenario.seconds);
        Rectangle::new([(fault.at_seconds, 0.0), (end, most)], RED.mix(0.1).filled())
    })
}
