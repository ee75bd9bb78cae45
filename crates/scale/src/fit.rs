//! How a cost grows: a power of the size, fitted through measurements.

/// `value = factor * size ^ exponent`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The value at size 1.
    pub factor: f64,
    /// 0: flat, 1: linear, 2: quadratic.
    pub exponent: f64,
    /// How far a measurement is off the fit, as a part of it (root mean square of the logarithms).
    pub residual: f64,
}

impl Fit {
    /// The value that the fit gives for a size.
    pub fn at(&self, size: f64) -> f64 {
        self.factor * size.powf(self.exponent)
    }
}

/// Fits a power through points of size and value by least squares of their logarithms; `None` for fewer than two sizes, or where a
/// value is not above 0.
pub fn power(points: &[(f64, f64)]) -> Option<Fit> {
    if points.iter().any(|(size, value)| *size <= 0.0 || *value <= 0.0) {
        return None;
    }
    let logs: Vec<(f64, f64)> = points.iter().map(|(size, value)| (size.ln(), value.ln())).collect();
    let count = logs.len() as f64;
    let mean_x = logs.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = logs.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread: f64 = logs.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if logs.len() < 2 || spread <= f64::EPSILON {
        return None;
    }
    let joint: f64 = logs.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let exponent = joint / spread;
    let intercept = mean_y - exponent * mean_x;
    let squares: f64 = logs.iter().map(|(x, y)| (y - intercept - exponent * x).powi(2)).sum();
    Some(Fit { factor: intercept.exp(), exponent, residual: (squares / count).sqrt().exp_m1() })
}
