//! Straight lines through measured points.

use serde::Serialize;

/// `value = intercept + slope * size`, and how far the points lie from it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// The value at size 0.
    pub intercept: f64,
    /// What one more adds.
    pub slope: f64,
    /// Root mean square of the distances between points and line, in the unit of the values.
    pub residual: f64,
}

impl Line {
    /// The line with the least squared distances from points of size and value; none where the points have fewer than
    /// two different sizes.
    pub fn through(points: &[(f64, f64)]) -> Option<Line> {
        let count = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (mean_size, mean_value) = (mean(|point| point.0), mean(|point| point.1));
        let squares: f64 = points.iter().map(|point| (point.0 - mean_size).powi(2)).sum();
        if points.len() < 2 || squares == 0.0 {
            return None;
        }
        let products: f64 = points.iter().map(|point| (point.0 - mean_size) * (point.1 - mean_value)).sum();
        let slope = products / squares;
        let intercept = mean_value - slope * mean_size;
        let distance = |point: &(f64, f64)| point.1 - (intercept + slope * point.0);
        let residual = (points.iter().map(|point| distance(point).powi(2)).sum::<f64>() / count).sqrt();
        Some(Line { intercept, slope, residual })
    }

    /// The value that the line predicts.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
