//! Reads an operator's TOML file field by field. Every error is one line that names the field, the expected
//! type and the actual value. A field that was not read is an error too, so that a misspelt name does not go
//! unnoticed.
#![warn(missing_docs)]

use std::net::SocketAddr;
use std::ops::RangeInclusive;

pub use toml::{Table, Value};

/// The fields of a table. Each is removed when it is read; fields left over at the end are unknown.
#[derive(Debug)]
pub struct Fields {
    path: String,
    table: Table,
}

impl Fields {
    /// Parses the text of a file.
    ///
    /// # Errors
    /// If it is not valid TOML, with the line and the reason.
    pub fn parse(text: &str) -> Result<Self, String> {
        let table: Table = text.parse().map_err(|e: toml::de::Error| {
            let at = e.span().map_or(0, |span| text[..span.start.min(text.len())].matches('\n').count() + 1);
            format!("line {at}: {}", e.message())
        })?;
        Ok(Self { path: String::new(), table })
    }

    /// The full name of a field of this table.
    pub fn full_name(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Removes a field and converts it with `read`; `None` if the field is absent. `expected` describes the
    /// expected value.
    ///
    /// # Errors
    /// If `read` returns `None`.
    pub fn optional<T>(
        &mut self,
        key: &str,
        expected: &str,
        read: impl Fn(Value) -> Option<T>,
    ) -> Result<Option<T>, String> {
        let name = self.full_name(key);
        let Some(value) = self.table.remove(key) else { return Ok(None) };
        let shown = value.to_string();
        read(value).map(Some).ok_or_else(|| format!("{name}: {expected} expected, not {shown}"))
    }

    /// Removes and converts a required field, as [`Fields::optional`] does.
    ///
    /// # Errors
    /// If the field is absent or `read` returns `None`.
    pub fn required<T>(
        &mut self,
        key: &str,
        expected: &str,
        read: impl Fn(Value) -> Option<T>,
    ) -> Result<T, String> {
        let name = self.full_name(key);
        self.optional(key, expected, read)?.ok_or_else(|| format!("{name}: needed, {expected}"))
    }

    /// Reads an integer within bounds, or returns the default if it is absent.
    ///
    /// # Errors
    /// If it is not an integer or is out of bounds.
    pub fn integer_within(
        &mut self,
        key: &str,
        bounds: RangeInclusive<usize>,
        default: usize,
    ) -> Result<usize, String> {
        let expected = format!("a whole number from {} to {}", bounds.start(), bounds.end());
        let to_usize = |value: Value| value.as_integer().and_then(|n| usize::try_from(n).ok());
        let in_bounds = |value| to_usize(value).filter(|n| bounds.contains(n));
        Ok(self.optional(key, &expected, in_bounds)?.unwrap_or(default))
    }

    /// Reads a boolean, or returns false if it is absent.
    ///
    /// # Errors
    /// If it is not a boolean.
    pub fn boolean(&mut self, key: &str) -> Result<bool, String> {
        Ok(self.optional(key, "true or false", |v| v.as_bool())?.unwrap_or(false))
    }

    /// Reads an optional IP address and port.
    ///
    /// # Errors
    /// If it is not an address.
    pub fn address(&mut self, key: &str) -> Result<Option<SocketAddr>, String> {
        self.optional(key, "an IP address and port", |v| v.as_str().and_then(|text| text.parse().ok()))
    }

    /// Reads an optional string that is not empty; `expected` describes it.
    ///
    /// # Errors
    /// If it is not a string, or empty.
    pub fn text(&mut self, key: &str, expected: &str) -> Result<Option<String>, String> {
        self.optional(key, expected, |v| v.as_str().filter(|text| !text.is_empty()).map(str::to_string))
    }

    /// Reads an array of names, or returns an empty one if it is absent.
    ///
    /// # Errors
    /// If it is not an array of strings, or one of them is empty.
    pub fn names(&mut self, key: &str) -> Result<Vec<String>, String> {
        let text = |v: &Value| v.as_str().filter(|t| !t.is_empty()).map(str::to_string);
        let names = |value: Value| value.as_array()?.iter().map(text).collect();
        Ok(self.optional(key, "a list of names", names)?.unwrap_or_default())
    }

    /// Reads an optional nested table.
    ///
    /// # Errors
    /// If it is not a table.
    pub fn table(&mut self, key: &str) -> Result<Option<Self>, String> {
        let path = self.full_name(key);
        let table =
            self.optional(key, "a table", |v| if let Value::Table(t) = v { Some(t) } else { None })?;
        Ok(table.map(|table| Self { path, table }))
    }

    /// Reads an array of tables, each named by its index from 0, or returns an empty one if it is absent.
    ///
    /// # Errors
    /// If it is not an array of tables.
    pub fn tables(&mut self, key: &str) -> Result<Vec<Self>, String> {
        let path = self.full_name(key);
        let table = |v: &Value| if let Value::Table(t) = v { Some(t.clone()) } else { None };
        let tables =
            |v: Value| v.as_array().and_then(|all| all.iter().map(table).collect::<Option<Vec<_>>>());
        let tables = self.optional(key, "a list of tables", tables)?.unwrap_or_default();
        let named = |(n, table)| Self { path: format!("{path}[{n}]"), table };
        Ok(tables.into_iter().enumerate().map(named).collect())
    }

    /// Reads all remaining fields as tables, with their names.
    ///
    /// # Errors
    /// If one of them is not a table.
    pub fn remaining_tables(mut self) -> Result<Vec<(String, Self)>, String> {
        let names: Vec<String> = self.table.keys().cloned().collect();
        let mut tables = Vec::new();
        for name in names {
            if let Some(table) = self.table(&name)? {
                tables.push((name, table));
            }
        }
        Ok(tables)
    }

    /// Checks that all fields have been read.
    ///
    /// # Errors
    /// Names a field that was not read.
    pub fn expect_empty(self) -> Result<(), String> {
        match self.table.keys().next() {
            Some(key) => Err(format!("{}: no such field", self.full_name(key))),
            None => Ok(()),
        }
    }
}
