//! The measured scenarios, one module for each part of the product.

pub mod configuration;
pub mod custody;
pub mod decisions;
pub mod list;
pub mod list_calls;
pub mod members;
pub mod settings;
pub mod usage;

/// How often a short measurement is repeated; the median is reported.
pub const SAMPLES: usize = 5;

/// Converts bytes to megabytes of 10^6 bytes.
pub fn megabytes(bytes: i64) -> f64 {
    bytes as f64 / 1e6
}
