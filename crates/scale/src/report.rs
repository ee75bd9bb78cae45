//! Measurements as rows, and their output as tables and CSV.

use std::fmt::Write;

use crate::fit;

/// One measured quantity of one scenario at one size.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Name of the scenario, which says what its size counts: `settings by tenants`.
    pub scenario: String,
    /// The size.
    pub size: u64,
    /// Name of the quantity, with its unit: `read ms`.
    pub quantity: String,
    /// The measured value.
    pub value: f64,
}

/// All measurements.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// The rows in the order of measurement.
    pub rows: Vec<Row>,
}

/// The header line of the CSV.
pub const CSV_HEADER: &str = "scenario,size,quantity,value";

/// Formats a value with four significant digits, or all its integer digits if there are more.
pub fn format_significant(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return format!("{value}");
    }
    let digits = (3 - value.abs().log10().floor() as i32).clamp(0, 9);
    let text = format!("{value:.*}", digits as usize);
    if text.contains('.') {
        text.trim_end_matches('0').trim_end_matches('.').to_string()
    } else {
        text
    }
}

impl Report {
    /// Adds the quantities of a scenario at one size.
    pub fn add(&mut self, scenario: &str, size: u64, quantities: &[(&str, f64)]) {
        for (quantity, value) in quantities {
            self.rows.push(Row {
                scenario: scenario.to_string(),
                size,
                quantity: (*quantity).to_string(),
                value: *value,
            });
        }
    }

    /// Returns a measured value.
    pub fn value(&self, scenario: &str, size: u64, quantity: &str) -> Option<f64> {
        let matches = |row: &&Row| row.scenario == scenario && row.size == size && row.quantity == quantity;
        self.rows.iter().find(matches).map(|row| row.value)
    }

    /// Names of the scenarios, in the order of measurement.
    pub fn scenarios(&self) -> Vec<&str> {
        let mut names: Vec<&str> = Vec::new();
        for row in &self.rows {
            if !names.contains(&row.scenario.as_str()) {
                names.push(&row.scenario);
            }
        }
        names
    }

    /// Formats all rows as CSV.
    pub fn csv(&self) -> String {
        let mut text = format!("{CSV_HEADER}\n");
        for row in &self.rows {
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "{},{},{},{}",
                row.scenario,
                row.size,
                row.quantity,
                format_significant(row.value)
            );
        }
        text
    }

    /// Parses CSV as [`Report::csv`] writes it.
    ///
    /// # Errors
    /// Names the first invalid line.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut report = Self::default();
        for (number, line) in text.lines().enumerate().skip(1) {
            let invalid = || format!("invalid CSV line {}: {line}", number + 1);
            let fields: Vec<&str> = line.split(',').collect();
            let [scenario, size, quantity, value] = fields[..] else { return Err(invalid()) };
            let size = size.parse().map_err(|_| invalid())?;
            let value = value.parse().map_err(|_| invalid())?;
            report.add(scenario, size, &[(quantity, value)]);
        }
        Ok(report)
    }

    /// Formats one scenario as a table, with a line for each quantity, a column for each size, and the fit.
    pub fn table(&self, scenario: &str) -> String {
        let rows: Vec<&Row> = self.rows.iter().filter(|row| row.scenario == scenario).collect();
        let (mut sizes, mut quantities): (Vec<u64>, Vec<&str>) = (Vec::new(), Vec::new());
        for row in &rows {
            if !sizes.contains(&row.size) {
                sizes.push(row.size);
            }
            if !quantities.contains(&row.quantity.as_str()) {
                quantities.push(&row.quantity);
            }
        }
        let mut text = format!("\n{scenario}\n{:34}", "");
        sizes.iter().for_each(|size| text += &format!("{size:>11}"));
        text += "   exponent  residual\n";
        for quantity in quantities {
            let _ = write!(text, "  {quantity:32}");
            let values = rows.iter().filter(|row| row.quantity == quantity);
            let points: Vec<(f64, f64)> = values.map(|row| (row.size as f64, row.value)).collect();
            for size in &sizes {
                let value = self.value(scenario, *size, quantity);
                let _ = write!(text, "{:>11}", value.map_or("-".to_string(), format_significant));
            }
            match fit::fit_power_law(&points) {
                Some(fit) => {
                    let _ = writeln!(text, "   {:8.2}  {:7.0}%", fit.exponent, 100.0 * fit.residual);
                }
                None => text.push_str("          -         -\n"),
            }
        }
        text
    }
}
