//! Least-squares line through measured points.

use std::fmt;

/// Line `offset + slope * x` with standard errors.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// Value at 0.
    pub offset: f64,
    /// Standard error of the offset.
    pub offset_error: f64,
    /// Change of the value per unit.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
}

impl Fit {
    /// Fits a line; returns `None` for fewer than three points or if all have the same x.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        if points.len() < 3 {
            return None;
        }
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if sum_xx <= 0.0 {
            return None;
        }
        let sum_xy: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = sum_xy / sum_xx;
        let offset = mean_y - slope * mean_x;
        let residual = |(x, y): &(f64, f64)| (y - offset - slope * x).powi(2);
        let variance = points.iter().map(residual).sum::<f64>() / (count - 2.0);
        Some(Self {
            offset,
            offset_error: (variance * (1.0 / count + mean_x.powi(2) / sum_xx)).sqrt(),
            slope,
            slope_error: (variance / sum_xx).sqrt(),
        })
    }
}

impl fmt::Display for Fit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            offset,
            offset_error,
            slope,
            slope_error,
        } = self;
        write!(
            f,
            "{offset:.4} (±{offset_error:.4}) + {slope:.5} (±{slope_error:.5}) x"
        )
    }
}
