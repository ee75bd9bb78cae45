//! Reading an operator's TOML file field by field. Every error is one line that names the field, what was expected and what
//! is there; a field that nobody took is an error too, so that a misspelt one is not passed over.
#![warn(missing_docs)]

use std::net::SocketAddr;
use std::ops::RangeInclusive;

pub use toml::{Table, Value};

/// The entries of a table, each to be taken once; what is left over is unknown.
#[derive(Debug)]
pub struct Fields {
    path: String,
    table: Table,
}

impl Fields {
    /// Reads the text of a file.
    ///
    /// # Errors
    /// The line and the reason, where it is not TOML.
    pub fn parse(text: &str) -> Result<Self, String> {
        let table: Table = text.parse().map_err(|e: toml::de::Error| {
            let at = e.span().map_or(0, |span| text[..span.start.min(text.len())].matches('\n').count() + 1);
            format!("line {at}: {}", e.message())
        })?;
        Ok(Self { path: String::new(), table })
    }

    /// The full name of a field of this table.
    pub fn name(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Takes a field as whatever `read` makes of it; `None` where it is not there.
    ///
    /// # Errors
    /// Where `read` makes nothing of it.
    pub fn take<T>(
        &mut self,
        key: &str,
        want: &str,
        read: impl Fn(Value) -> Option<T>,
    ) -> Result<Option<T>, String> {
        let name = self.name(key);
        let Some(value) = self.table.remove(key) else { return Ok(None) };
        let shown = value.to_string();
        read(value).map(Some).ok_or_else(|| format!("{name}: {want} expected, not {shown}"))
    }

    /// The same, where it must be there.
    ///
    /// # Errors
    /// Where it is not there, or `read` makes nothing of it.
    pub fn need<T>(&mut self, key: &str, want: &str, read: impl Fn(Value) -> Option<T>) -> Result<T, String> {
        let name = self.name(key);
        self.take(key, want, read)?.ok_or_else(|| format!("{name}: needed, {want}"))
    }

    /// A whole number within bounds.
    ///
    /// # Errors
    /// Where it is none, or out of bounds.
    pub fn within(
        &mut self,
        key: &str,
        bounds: RangeInclusive<usize>,
        default: usize,
    ) -> Result<usize, String> {
        let want = format!("a whole number from {} to {}", bounds.start(), bounds.end());
        let fits = |value: Value| value.as_integer().and_then(|n| usize::try_from(n).ok());
        let fits = |value| fits(value).filter(|n| bounds.contains(n));
        Ok(self.take(key, &want, fits)?.unwrap_or(default))
    }

    /// A switch, off where it is not there.
    ///
    /// # Errors
    /// Where it is none.
    pub fn switch(&mut self, key: &str) -> Result<bool, String> {
        Ok(self.take(key, "true or false", |v| v.as_bool())?.unwrap_or(false))
    }

    /// An address.
    ///
    /// # Errors
    /// Where it is none.
    pub fn address(&mut self, key: &str) -> Result<Option<SocketAddr>, String> {
        self.take(key, "an IP address and port", |v| v.as_str().and_then(|text| text.parse().ok()))
    }

    /// A text that is not empty.
    ///
    /// # Errors
    /// Where it is none, or empty.
    pub fn text(&mut self, key: &str, want: &str) -> Result<Option<String>, String> {
        self.take(key, want, |v| v.as_str().filter(|text| !text.is_empty()).map(str::to_string))
    }

    /// A list of names; an empty one where it is not there.
    ///
    /// # Errors
    /// Where it is none, or one of them is empty.
    pub fn names(&mut self, key: &str) -> Result<Vec<String>, String> {
        let text = |v: &Value| v.as_str().filter(|t| !t.is_empty()).map(str::to_string);
        let names = |value: Value| value.as_array()?.iter().map(text).collect();
        Ok(self.take(key, "a list of names", names)?.unwrap_or_default())
    }

    /// A table within this one.
    ///
    /// # Errors
    /// Where it is none.
    pub fn table(&mut self, key: &str) -> Result<Option<Self>, String> {
        let path = self.name(key);
        let table = self.take(key, "a table", |v| if let Value::Table(t) = v { Some(t) } else { None })?;
        Ok(table.map(|table| Self { path, table }))
    }

    /// The tables of a list of them, each called by its number from 0.
    ///
    /// # Errors
    /// Where it is no list of tables.
    pub fn tables(&mut self, key: &str) -> Result<Vec<Self>, String> {
        let path = self.name(key);
        let table = |v: &Value| if let Value::Table(t) = v { Some(t.clone()) } else { None };
        let tables =
            |v: Value| v.as_array().and_then(|all| all.iter().map(table).collect::<Option<Vec<_>>>());
        let tables = self.take(key, "a list of tables", tables)?.unwrap_or_default();
        let named = |(n, table)| Self { path: format!("{path}[{n}]"), table };
        Ok(tables.into_iter().enumerate().map(named).collect())
    }

    /// All that is left, as tables by their names.
    ///
    /// # Errors
    /// Where one of them is no table.
    pub fn rest(mut self) -> Result<Vec<(String, Self)>, String> {
        let names: Vec<String> = self.table.keys().cloned().collect();
        let mut tables = Vec::new();
        for name in names {
            if let Some(table) = self.table(&name)? {
                tables.push((name, table));
            }
        }
        Ok(tables)
    }

    /// Ends the reading.
    ///
    /// # Errors
    /// Names a field that nobody took.
    pub fn end(self) -> Result<(), String> {
        match self.table.keys().next() {
            Some(key) => Err(format!("{}: no such field", self.name(key))),
            None => Ok(()),
        }
    }
}
