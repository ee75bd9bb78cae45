//! Fits a power law to a cost measured at several sizes.

/// A power law: `value = factor * size ^ exponent`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The value at size 1.
    pub factor: f64,
    /// 0 for a constant, 1 for linear and 2 for quadratic growth.
    pub exponent: f64,
    /// Typical relative deviation of a measurement from the fit: the root mean square error of the
    /// logarithms, less 1 after exponentiation.
    pub residual: f64,
}

impl Fit {
    /// The value of the fit at a size.
    pub fn predict(&self, size: f64) -> f64 {
        self.factor * size.powf(self.exponent)
    }
}

/// Fits a power law to points of size and value by least squares of their logarithms. Returns `None` for
/// fewer than two different sizes, or if a size or a value is not positive.
pub fn fit_power_law(points: &[(f64, f64)]) -> Option<Fit> {
    if points.iter().any(|(size, value)| *size <= 0.0 || *value <= 0.0) {
        return None;
    }
    let logs: Vec<(f64, f64)> = points.iter().map(|(size, value)| (size.ln(), value.ln())).collect();
    let count = logs.len() as f64;
    let mean_x = logs.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = logs.iter().map(|(_, y)| y).sum::<f64>() / count;
    let sum_xx: f64 = logs.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if logs.len() < 2 || sum_xx <= f64::EPSILON {
        return None;
    }
    let sum_xy: f64 = logs.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let exponent = sum_xy / sum_xx;
    let intercept = mean_y - exponent * mean_x;
    let sum_squared_errors: f64 = logs.iter().map(|(x, y)| (y - intercept - exponent * x).powi(2)).sum();
    Some(Fit { factor: intercept.exp(), exponent, residual: (sum_squared_errors / count).sqrt().exp_m1() })
}
