//! Measured points along one dimension, the line through them, and one point beyond it.

use serde::Serialize;

use super::fit::Line;

/// One measurement at one size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Point {
    /// How many upstreams, classes, requests a second or whatever the series goes along.
    pub size: f64,
    /// The measured value; none where the program could not do it.
    pub value: Option<f64>,
    /// Why there is no value, or what was seen beside it.
    pub note: Option<String>,
}

/// The largest size, compared with what the line through the others predicts.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Beyond {
    /// What was measured there.
    pub point: Point,
    /// What the line says.
    pub predicted: Option<f64>,
    /// Measured over predicted.
    pub ratio: Option<f64>,
}

/// One quantity along one dimension.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Series {
    /// What was measured.
    pub quantity: String,
    /// The unit of the values.
    pub unit: &'static str,
    /// What the sizes count.
    pub along: &'static str,
    /// The points that the line goes through.
    pub points: Vec<Point>,
    /// The line, where enough of the points have a value.
    pub fit: Option<Line>,
    /// The point that the line does not go through.
    pub beyond: Option<Beyond>,
}

impl Series {
    /// The last point is the one beyond the line.
    pub fn new(
        quantity: impl Into<String>,
        unit: &'static str,
        along: &'static str,
        points: Vec<Point>,
    ) -> Series {
        let mut points = points;
        let last = points.pop();
        let valued: Vec<(f64, f64)> =
            points.iter().filter_map(|point| Some((point.size, point.value?))).collect();
        let fit = Line::through(&valued);
        let beyond = last.map(|point| {
            let predicted = fit.map(|line| line.at(point.size));
            let ratio = point
                .value
                .zip(predicted)
                .map(|(value, predicted)| value / predicted)
                .filter(|r| r.is_finite());
            Beyond { point, predicted, ratio }
        });
        Series { quantity: quantity.into(), unit, along, points, fit, beyond }
    }

    /// One quantity out of what was measured at each size.
    pub fn column<M>(
        quantity: impl Into<String>,
        unit: &'static str,
        along: &'static str,
        measured: &[(usize, M)],
        value: impl Fn(&M) -> Option<f64>,
    ) -> Series {
        Series::noted(quantity, unit, along, measured, value, |_| None)
    }

    /// As [`Series::column`], with a note at each point.
    pub fn noted<M>(
        quantity: impl Into<String>,
        unit: &'static str,
        along: &'static str,
        measured: &[(usize, M)],
        value: impl Fn(&M) -> Option<f64>,
        note: impl Fn(&M) -> Option<String>,
    ) -> Series {
        let point = |(size, at): &(usize, M)| Point { size: *size as f64, value: value(at), note: note(at) };
        Series::new(quantity, unit, along, measured.iter().map(point).collect())
    }

    /// Without a line, for what no line is expected of.
    pub fn without_fit(mut self) -> Series {
        self.fit = None;
        if let Some(beyond) = &mut self.beyond {
            (beyond.predicted, beyond.ratio) = (None, None);
        }
        self
    }

    /// As people read it.
    pub fn table(&self) -> String {
        let mut text = format!("{} ({}) along {}\n", self.quantity, self.unit, self.along);
        for point in &self.points {
            text += &format!("{:>12} {:>12}{}\n", point.size, shown(point.value), told(&point.note));
        }
        if let Some(line) = &self.fit {
            text += &format!(
                "{:>12} {:>12} + {:.6} for each, residual {:.4}\n",
                "line",
                shown(Some(line.intercept)),
                line.slope,
                line.residual
            );
        }
        if let Some(Beyond { point, predicted, ratio }) = &self.beyond {
            text += &format!(
                "{:>12} {:>12} predicted {}, ratio {}{}\n",
                point.size,
                shown(point.value),
                shown(*predicted),
                shown(*ratio),
                told(&point.note)
            );
        }
        text
    }
}

fn shown(value: Option<f64>) -> String {
    value.map_or_else(|| "-".into(), |value| format!("{value:.3}"))
}

fn told(note: &Option<String>) -> String {
    note.as_ref().map_or_else(String::new, |note| format!("  {note}"))
}
