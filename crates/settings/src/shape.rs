//! Which fields a configuration has, without their values: enough to see that a file which is to follow lacks none of them.

use serde_json::Value;

/// The fields of a JSON value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Shape {
    /// A value without fields.
    Scalar,
    /// An object with these fields, in order; none of them is null.
    Object(Vec<(String, Shape)>),
    /// A list, whose entries all have these fields.
    List(Box<Shape>),
}

impl Shape {
    /// The shape of a value.
    pub fn of(value: &Value) -> Self {
        match value {
            Value::Object(fields) => {
                let there = fields.iter().filter(|(_, field)| !field.is_null());
                Self::Object(there.map(|(key, field)| (key.clone(), Self::of(field))).collect())
            }
            Value::Array(entries) => Self::List(Box::new(Self::of_entries(entries))),
            _ => Self::Scalar,
        }
    }

    /// The same object without a field.
    #[must_use]
    pub fn without(mut self, key: &str) -> Self {
        if let Self::Object(fields) = &mut self {
            fields.retain(|(name, _)| name != key);
        }
        self
    }

    /// What all entries have: the fields of the first that every other one has too.
    fn of_entries(entries: &[Value]) -> Self {
        let Some(Value::Object(first)) = entries.first() else { return Self::Scalar };
        let in_all = |key: &String| entries.iter().all(|entry| entry.get(key).is_some());
        let common = first.iter().filter(|(key, field)| !field.is_null() && in_all(key));
        Self::Object(common.map(|(key, field)| (key.clone(), Self::of(field))).collect())
    }

    /// The first field that this has and the next value lacks, by its path.
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
