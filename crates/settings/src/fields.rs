//! Reads fields of JSON objects, with errors that name the field.

use serde_json::{Map, Value};

/// An error message that names the field.
pub type FieldError = String;

/// Reads a number.
///
/// # Errors
/// If it is not a number; the message names `what`.
pub fn number(value: &Value, what: &str) -> Result<f64, FieldError> {
    value.as_f64().ok_or_else(|| format!("{what}: number expected"))
}

/// Reads a non-negative integer.
///
/// # Errors
/// If it is not a non-negative integer; the message names `what`.
pub fn integer(value: &Value, what: &str) -> Result<u64, FieldError> {
    let from_float = || value.as_f64().filter(|f| *f >= 0.0 && f.fract() == 0.0).map(|f| f as u64);
    value.as_u64().or_else(from_float).ok_or_else(|| format!("{what}: whole number expected"))
}

/// Reads a number; `None` for null.
///
/// # Errors
/// If it is neither a number nor null; the message names `what`.
pub fn optional_number(value: &Value, what: &str) -> Result<Option<f64>, FieldError> {
    if value.is_null() {
        Ok(None)
    } else {
        number(value, what).map(Some)
    }
}

/// Reads a string.
///
/// # Errors
/// If it is not a string; the message names `what`.
pub fn text<'a>(value: &'a Value, what: &str) -> Result<&'a str, FieldError> {
    value.as_str().ok_or_else(|| format!("{what}: text expected"))
}

/// Reads an array.
///
/// # Errors
/// If it is not an array; the message names `what`.
pub fn array<'a>(value: &'a Value, what: &str) -> Result<&'a Vec<Value>, FieldError> {
    value.as_array().ok_or_else(|| format!("{what}: array expected"))
}

/// The fields of a JSON object. An absent optional field takes its default, an absent required one is an
/// error. Null counts as absent.
pub struct Fields<'a> {
    map: &'a Map<String, Value>,
    path: &'a str,
}

impl<'a> Fields<'a> {
    /// Wraps an object; `path` is its name in error messages.
    ///
    /// # Errors
    /// If the value is not an object.
    pub fn of(value: &'a Value, path: &'a str) -> Result<Self, FieldError> {
        let map = value.as_object().ok_or_else(|| format!("{path}: object expected"))?;
        Ok(Self { map, path })
    }

    /// Returns a field that is present and not null.
    pub fn get(&self, key: &str) -> Option<&'a Value> {
        self.map.get(key).filter(|v| !v.is_null())
    }

    /// Returns a required field.
    ///
    /// # Errors
    /// If it is absent.
    pub fn required(&self, key: &str) -> Result<&'a Value, FieldError> {
        self.get(key).ok_or_else(|| format!("{}: {key} is missing", self.path))
    }

    /// Reads a required number.
    ///
    /// # Errors
    /// If it is absent or not a number.
    pub fn number(&self, key: &str) -> Result<f64, FieldError> {
        number(self.required(key)?, key)
    }

    /// Reads a number, or returns the default if it is absent.
    ///
    /// # Errors
    /// If it is not a number.
    pub fn number_or(&self, key: &str, default: f64) -> Result<f64, FieldError> {
        self.get(key).map_or(Ok(default), |v| number(v, key))
    }

    /// Reads a boolean, or returns the default if it is absent.
    ///
    /// # Errors
    /// If it is not a boolean.
    pub fn flag_or(&self, key: &str, default: bool) -> Result<bool, FieldError> {
        let flag = |v: &Value| v.as_bool().ok_or_else(|| format!("{key}: true or false expected"));
        self.get(key).map_or(Ok(default), flag)
    }

    /// Reads an array, or returns an empty one if it is absent.
    ///
    /// # Errors
    /// If it is not an array.
    pub fn array(&self, key: &str) -> Result<&'a [Value], FieldError> {
        self.get(key).map_or(Ok(&[]), |v| array(v, key).map(Vec::as_slice))
    }
}
