//! Builds the series of both balancers and of the origin from the measurements.

use super::phase::{BalancerMeasurement, ComparedBalancer, Phase};
use super::{CHANGE_RATES, SizeMeasurement};
use crate::slopes::series::Series;

/// What the sizes of all series count.
const ALONG: &str = "upstreams";

/// All series, from the measurements at each number of upstreams.
pub fn all_series(measured: &[(usize, SizeMeasurement)]) -> Vec<Series> {
    let mut series = Vec::new();
    for (compared, side) in [(ComparedBalancer::Before, "before"), (ComparedBalancer::After, "after")] {
        series.push(Series::from_measurements(
            format!("resident memory, {side}"),
            "MB",
            ALONG,
            measured,
            |measurement| {
                Some(match compared {
                    ComparedBalancer::Before => measurement.before_memory_mb,
                    ComparedBalancer::After => measurement.after_memory_mb,
                })
            },
        ));
        series.push(quiet_processor_series(measured, compared, side));
        series.push(added_p99_series(measured, compared, &format!("quiet, {side}"), |measurement| {
            &measurement.quiet
        }));
        for (index, rate) in CHANGE_RATES.into_iter().enumerate() {
            let circumstances = format!("{rate} changes a second, {side}");
            series.extend(change_series(measured, compared, &circumstances, |measurement| {
                &measurement.single_changes[index]
            }));
        }
        series.extend(change_series(measured, compared, &format!("a zone at once, {side}"), |measurement| {
            &measurement.zone_changes
        }));
    }
    for (index, rate) in CHANGE_RATES.into_iter().enumerate() {
        series.push(origin_series(measured, &format!("{rate} changes a second"), |measurement| {
            &measurement.single_changes[index]
        }));
    }
    series.push(origin_series(measured, "a zone at once", |measurement| &measurement.zone_changes));
    series
}

/// Processor time of one balancer without changes.
fn quiet_processor_series(
    measured: &[(usize, SizeMeasurement)],
    compared: ComparedBalancer,
    side: &str,
) -> Series {
    Series::from_measurements(
        format!("processor time, quiet, {side}"),
        "ms/s",
        ALONG,
        measured,
        |measurement| Some(measurement.quiet.balancer(compared).processor_ms / measurement.quiet.seconds),
    )
}

/// Cost of a change and added latency for one balancer in one phase. `circumstances` ends the name of each quantity.
fn change_series(
    measured: &[(usize, SizeMeasurement)],
    compared: ComparedBalancer,
    circumstances: &str,
    phase: impl Fn(&SizeMeasurement) -> &Phase,
) -> Vec<Series> {
    let added = |measurement: &SizeMeasurement, value: fn(&BalancerMeasurement) -> f64| {
        phase(measurement).added_per_change(&measurement.quiet, |phase| value(phase.balancer(compared)))
    };
    vec![
        Series::from_measurements(
            format!("processor time a change, {circumstances}"),
            "ms",
            ALONG,
            measured,
            |measurement| Some(added(measurement, |side| side.processor_ms)),
        ),
        Series::from_measurements(
            format!("bytes a change, {circumstances}"),
            "KB",
            ALONG,
            measured,
            |measurement| Some(added(measurement, |side| side.bytes) / 1000.0),
        ),
        Series::from_measurements(
            format!("changes seen, {circumstances}"),
            "changes",
            ALONG,
            measured,
            |measurement| {
                phase(measurement).balancer(compared).has_all_changes.then(|| phase(measurement).changes)
            },
        )
        .without_fit(),
        added_p99_series(measured, compared, circumstances, phase),
    ]
}

/// Added 99th percentile of one balancer in one phase.
fn added_p99_series(
    measured: &[(usize, SizeMeasurement)],
    compared: ComparedBalancer,
    circumstances: &str,
    phase: impl Fn(&SizeMeasurement) -> &Phase,
) -> Series {
    let value = |measurement: &SizeMeasurement| phase(measurement).added_p99_ms(compared);
    let note = |measurement: &SizeMeasurement| Some(phase(measurement).latency_note(compared));
    Series::from_measurements_with_notes(
        format!("added p99, {circumstances}"),
        "ms",
        ALONG,
        measured,
        value,
        note,
    )
    .without_fit()
}

/// Processor time of the origin for each change in one phase.
fn origin_series(
    measured: &[(usize, SizeMeasurement)],
    circumstances: &str,
    phase: impl Fn(&SizeMeasurement) -> &Phase,
) -> Series {
    Series::from_measurements(
        format!("processor time a change, {circumstances}, origin"),
        "ms",
        ALONG,
        measured,
        |measurement| {
            Some(phase(measurement).added_per_change(&measurement.quiet, |phase| phase.origin_processor_ms))
        },
    )
}
