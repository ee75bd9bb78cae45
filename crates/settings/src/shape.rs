//! The field names of a configuration without their values, to check that a new file lacks none of the fields
//! of the current one.

use serde_json::Value;

/// The structure of a JSON value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Shape {
    /// A value without fields.
    Scalar,
    /// An object with these fields, in order, without those that are null.
    Object(Vec<(String, Shape)>),
    /// An array whose entries all have this shape.
    List(Box<Shape>),
}

impl Shape {
    /// The shape of a value.
    pub fn from_value(value: &Value) -> Self {
        match value {
            Value::Object(fields) => {
                let present = fields.iter().filter(|(_, field)| !field.is_null());
                Self::Object(present.map(|(key, field)| (key.clone(), Self::from_value(field))).collect())
            }
            Value::Array(entries) => Self::List(Box::new(Self::common_to(entries))),
            _ => Self::Scalar,
        }
    }

    /// Returns the shape without a field.
    #[must_use]
    pub fn without_field(mut self, key: &str) -> Self {
        if let Self::Object(fields) = &mut self {
            fields.retain(|(name, _)| name != key);
        }
        self
    }

    /// The shape common to all entries: the fields of the first entry that all others have too.
    fn common_to(entries: &[Value]) -> Self {
        let Some(Value::Object(first)) = entries.first() else { return Self::Scalar };
        let in_all = |key: &String| entries.iter().all(|entry| entry.get(key).is_some());
        let common = first.iter().filter(|(key, field)| !field.is_null() && in_all(key));
        Self::Object(common.map(|(key, field)| (key.clone(), Self::from_value(field))).collect())
    }

    /// The path of the first field that this shape has and `next` lacks.
    pub fn missing_in(&self, next: &Value) -> Option<String> {
        match (self, next) {
            (Self::Object(fields), Value::Object(next)) => {
                fields.iter().find_map(|(key, field)| match next.get(key) {
                    None | Some(Value::Null) => Some(key.clone()),
                    Some(next) => Some(format!("{key}.{}", field.missing_in(next)?)),
                })
            }
            (Self::List(entry), Value::Array(next)) => next
                .iter()
                .enumerate()
                .find_map(|(number, next)| Some(format!("{number}.{}", entry.missing_in(next)?))),
            _ => None,
        }
    }
}
