//! Least-squares fit of a straight line through measured points.

use serde::Serialize;

/// The line `value = intercept + slope * size`, with the distance of the points from it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// The value at size 0, in the unit of the values.
    pub intercept: f64,
    /// The increase of the value for each unit of size.
    pub slope: f64,
    /// Root mean square of the differences between the values of the points and the line, in the unit of the values.
    pub residual: f64,
}

impl Line {
    /// The least-squares line through points of (size, value); none if the points have fewer than two different sizes.
    pub fn fit(points: &[(f64, f64)]) -> Option<Line> {
        let count = points.len() as f64;
        let mean = |coordinate: fn(&(f64, f64)) -> f64| points.iter().map(coordinate).sum::<f64>() / count;
        let (mean_size, mean_value) = (mean(|point| point.0), mean(|point| point.1));
        let size_variation: f64 = points.iter().map(|point| (point.0 - mean_size).powi(2)).sum();
        if points.len() < 2 || size_variation == 0.0 {
            return None;
        }
        let covariation: f64 =
            points.iter().map(|point| (point.0 - mean_size) * (point.1 - mean_value)).sum();
        let slope = covariation / size_variation;
        let intercept = mean_value - slope * mean_size;
        let difference = |point: &(f64, f64)| point.1 - (intercept + slope * point.0);
        let residual = (points.iter().map(|point| difference(point).powi(2)).sum::<f64>() / count).sqrt();
        Some(Line { intercept, slope, residual })
    }

    /// The value that the line predicts at a size.
    pub fn value_at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
