//! Series of measured points along one dimension, the line fitted through them, and the largest size as a check of
//! that line.

use serde::Serialize;

use super::fit::Line;

/// One measurement at one size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Point {
    /// The size at which it was measured, counted in what [`Series::along`] names.
    pub size: f64,
    /// The measured value; none if the program did not complete the task at this size.
    pub value: Option<f64>,
    /// Why there is no value, or further observations at this size.
    pub note: Option<String>,
}

/// The measurement at the largest size, compared with the prediction of the line through the other points.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ExtrapolationCheck {
    /// The measured point.
    pub point: Point,
    /// The value that the line predicts at this size; none without a line.
    pub predicted: Option<f64>,
    /// Measured value divided by predicted value; none if it is not finite.
    pub ratio: Option<f64>,
}

/// One quantity, measured along one dimension.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Series {
    /// The name of the measured quantity.
    pub quantity: String,
    /// The unit of the values.
    pub unit: &'static str,
    /// What the sizes count, such as `upstreams` or `requests a second`.
    pub along: &'static str,
    /// The points that the line is fitted through.
    pub points: Vec<Point>,
    /// The fitted line; none if too few of the points have a value, or if no line is expected.
    pub fit: Option<Line>,
    /// The point at the largest size, which is left out of the fit.
    pub beyond: Option<ExtrapolationCheck>,
}

impl Series {
    /// A series of these points. The last one is left out of the fit and compared with the fitted line.
    pub fn new(
        quantity: impl Into<String>,
        unit: &'static str,
        along: &'static str,
        points: Vec<Point>,
    ) -> Series {
        let mut points = points;
        let largest = points.pop();
        let measured_points: Vec<(f64, f64)> =
            points.iter().filter_map(|point| Some((point.size, point.value?))).collect();
        let fit = Line::fit(&measured_points);
        let beyond = largest.map(|point| {
            let predicted = fit.map(|line| line.value_at(point.size));
            let ratio = point
                .value
                .zip(predicted)
                .map(|(value, predicted)| value / predicted)
                .filter(|ratio| ratio.is_finite());
            ExtrapolationCheck { point, predicted, ratio }
        });
        Series { quantity: quantity.into(), unit, along, points, fit, beyond }
    }

    /// A series of one quantity, which `value` takes from the measurement at each size.
    pub fn from_measurements<M>(
        quantity: impl Into<String>,
        unit: &'static str,
        along: &'static str,
        measured: &[(usize, M)],
        value: impl Fn(&M) -> Option<f64>,
    ) -> Series {
        Series::from_measurements_with_notes(quantity, unit, along, measured, value, |_| None)
    }

    /// Like [`Series::from_measurements`], with a note at each point.
    pub fn from_measurements_with_notes<M>(
        quantity: impl Into<String>,
        unit: &'static str,
        along: &'static str,
        measured: &[(usize, M)],
        value: impl Fn(&M) -> Option<f64>,
        note: impl Fn(&M) -> Option<String>,
    ) -> Series {
        let point = |(size, measurement): &(usize, M)| Point {
            size: *size as f64,
            value: value(measurement),
            note: note(measurement),
        };
        Series::new(quantity, unit, along, measured.iter().map(point).collect())
    }

    /// The series without a line, for quantities that do not depend linearly on the size.
    pub fn without_fit(mut self) -> Series {
        self.fit = None;
        if let Some(beyond) = &mut self.beyond {
            (beyond.predicted, beyond.ratio) = (None, None);
        }
        self
    }

    /// The series as a table of text.
    pub fn table(&self) -> String {
        let mut text = format!("{} ({}) along {}\n", self.quantity, self.unit, self.along);
        for point in &self.points {
            text += &format!(
                "{:>12} {:>12}{}\n",
                point.size,
                format_value(point.value),
                format_note(&point.note)
            );
        }
        if let Some(line) = &self.fit {
            text += &format!(
                "{:>12} {:>12} + {:.6} for each, residual {:.4}\n",
                "line",
                format_value(Some(line.intercept)),
                line.slope,
                line.residual
            );
        }
        if let Some(ExtrapolationCheck { point, predicted, ratio }) = &self.beyond {
            text += &format!(
                "{:>12} {:>12} predicted {}, ratio {}{}\n",
                point.size,
                format_value(point.value),
                format_value(*predicted),
                format_value(*ratio),
                format_note(&point.note)
            );
        }
        text
    }
}

/// A value with three decimals, or `-` if there is none.
fn format_value(value: Option<f64>) -> String {
    value.map_or_else(|| "-".into(), |value| format!("{value:.3}"))
}

/// A note as the end of a table line.
fn format_note(note: &Option<String>) -> String {
    note.as_ref().map_or_else(String::new, |note| format!("  {note}"))
}
