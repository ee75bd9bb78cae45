//! Reading fields out of JSON, with errors that name them.

use serde_json::{Map, Value};

/// What is wrong, in words that name the field.
pub type FieldError = String;

/// A number.
///
/// # Errors
/// Where it is something else; names `what`.
pub fn number(value: &Value, what: &str) -> Result<f64, FieldError> {
    value.as_f64().ok_or_else(|| format!("{what}: number expected"))
}

/// A whole number that is not negative.
///
/// # Errors
/// Where it is something else; names `what`.
pub fn whole(value: &Value, what: &str) -> Result<u64, FieldError> {
    let float = || value.as_f64().filter(|f| *f >= 0.0 && f.fract() == 0.0).map(|f| f as u64);
    value.as_u64().or_else(float).ok_or_else(|| format!("{what}: whole number expected"))
}

/// A number, or nothing.
///
/// # Errors
/// Where it is something else; names `what`.
pub fn optional(value: &Value, what: &str) -> Result<Option<f64>, FieldError> {
    if value.is_null() {
        Ok(None)
    } else {
        number(value, what).map(Some)
    }
}

/// A text.
///
/// # Errors
/// Where it is something else; names `what`.
pub fn text<'a>(value: &'a Value, what: &str) -> Result<&'a str, FieldError> {
    value.as_str().ok_or_else(|| format!("{what}: text expected"))
}

/// An array.
///
/// # Errors
/// Where it is something else; names `what`.
pub fn list<'a>(value: &'a Value, what: &str) -> Result<&'a Vec<Value>, FieldError> {
    value.as_array().ok_or_else(|| format!("{what}: array expected"))
}

/// The settings of one object; an absent optional value takes its default, an absent required one is an
/// error.
pub struct Fields<'a> {
    map: &'a Map<String, Value>,
    path: &'a str,
}

impl<'a> Fields<'a> {
    /// The fields of an object; `path` is its name in errors.
    ///
    /// # Errors
    /// Where it is no object.
    pub fn of(value: &'a Value, path: &'a str) -> Result<Self, FieldError> {
        let map = value.as_object().ok_or_else(|| format!("{path}: object expected"))?;
        Ok(Self { map, path })
    }

    /// A field that is there and not null.
    pub fn get(&self, key: &str) -> Option<&'a Value> {
        self.map.get(key).filter(|v| !v.is_null())
    }

    /// A field that must be there.
    ///
    /// # Errors
    /// Where it is absent.
    pub fn need(&self, key: &str) -> Result<&'a Value, FieldError> {
        self.get(key).ok_or_else(|| format!("{}: {key} is missing", self.path))
    }

    /// A number that must be there.
    ///
    /// # Errors
    /// Where it is absent or no number.
    pub fn number(&self, key: &str) -> Result<f64, FieldError> {
        number(self.need(key)?, key)
    }

    /// A number, or the default.
    ///
    /// # Errors
    /// Where it is no number.
    pub fn number_or(&self, key: &str, default: f64) -> Result<f64, FieldError> {
        self.get(key).map_or(Ok(default), |v| number(v, key))
    }

    /// A flag, or the default.
    ///
    /// # Errors
    /// Where it is no flag.
    pub fn flag_or(&self, key: &str, default: bool) -> Result<bool, FieldError> {
        let flag = |v: &Value| v.as_bool().ok_or_else(|| format!("{key}: true or false expected"));
        self.get(key).map_or(Ok(default), flag)
    }

    /// An array, empty where it is absent.
    ///
    /// # Errors
    /// Where it is no array.
    pub fn list(&self, key: &str) -> Result<&'a [Value], FieldError> {
        self.get(key).map_or(Ok(&[]), |v| list(v, key).map(Vec::as_slice))
    }
}
