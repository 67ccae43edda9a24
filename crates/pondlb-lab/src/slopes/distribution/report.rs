//! The series of both balancers and of the origin.

use super::phase::{Phase, Side, Which};
use super::{At, RATES};
use crate::slopes::series::Series;

const ALONG: &str = "upstreams";

/// All series of what was measured at each length of the list.
pub fn all_series(measured: &[(usize, At)]) -> Vec<Series> {
    let mut series = Vec::new();
    for (which, side) in [(Which::Before, "before"), (Which::After, "after")] {
        series.push(Series::column(format!("resident memory, {side}"), "MB", ALONG, measured, |at| {
            Some(match which {
                Which::Before => at.before_memory_mb,
                Which::After => at.after_memory_mb,
            })
        }));
        series.push(quiet_processor(measured, which, side));
        series.push(added_p99(measured, which, &format!("quiet, {side}"), |at| &at.quiet));
        for (index, rate) in RATES.into_iter().enumerate() {
            let what = format!("{rate} changes a second, {side}");
            series.extend(of_changes(measured, which, &what, |at| &at.single[index]));
        }
        series.extend(of_changes(measured, which, &format!("a zone at once, {side}"), |at| &at.zone));
    }
    for (index, rate) in RATES.into_iter().enumerate() {
        series.push(of_origin(measured, &format!("{rate} changes a second"), |at| &at.single[index]));
    }
    series.push(of_origin(measured, "a zone at once", |at| &at.zone));
    series
}

fn quiet_processor(measured: &[(usize, At)], which: Which, side: &str) -> Series {
    Series::column(format!("processor time, quiet, {side}"), "ms/s", ALONG, measured, |at| {
        Some(at.quiet.side(which).processor_ms / at.quiet.seconds)
    })
}

fn of_changes(
    measured: &[(usize, At)],
    which: Which,
    what: &str,
    phase: impl Fn(&At) -> &Phase,
) -> Vec<Series> {
    let added =
        |at: &At, value: fn(&Side) -> f64| phase(at).added(&at.quiet, |phase| value(phase.side(which)));
    vec![
        Series::column(format!("processor time a change, {what}"), "ms", ALONG, measured, |at| {
            Some(added(at, |side| side.processor_ms))
        }),
        Series::column(format!("bytes a change, {what}"), "KB", ALONG, measured, |at| {
            Some(added(at, |side| side.bytes) / 1000.0)
        }),
        Series::column(format!("changes seen, {what}"), "changes", ALONG, measured, |at| {
            phase(at).side(which).is_up_to_date.then(|| phase(at).changes)
        })
        .without_fit(),
        added_p99(measured, which, what, phase),
    ]
}

fn added_p99(measured: &[(usize, At)], which: Which, what: &str, phase: impl Fn(&At) -> &Phase) -> Series {
    let value = |at: &At| phase(at).added_p99(which);
    let note = |at: &At| Some(phase(at).seen(which));
    Series::noted(format!("added p99, {what}"), "ms", ALONG, measured, value, note).without_fit()
}

fn of_origin(measured: &[(usize, At)], what: &str, phase: impl Fn(&At) -> &Phase) -> Series {
    Series::column(format!("processor time a change, {what}, origin"), "ms", ALONG, measured, |at| {
        Some(phase(at).added(&at.quiet, |phase| phase.origin_ms))
    })
}
