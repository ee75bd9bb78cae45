//! Deserializes a JSON object with one field read into its own type, so that no JSON tree is built for that
//! field.

use std::fmt;
use std::marker::PhantomData;

use serde::de::{Deserialize, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};

/// The field that is read into its own type.
pub trait Field {
    /// Its name.
    const NAME: &'static str;
}

/// An object with one of its fields read as a `T`.
#[derive(Clone, Debug)]
pub struct ObjectWithField<F, T> {
    /// The other fields; null if the value is not an object.
    pub rest: Value,
    /// The field; `None` if it is absent or null.
    pub field: Option<T>,
    marker: PhantomData<F>,
}

impl<F, T> Default for ObjectWithField<F, T> {
    fn default() -> Self {
        Self { rest: Value::Null, field: None, marker: PhantomData }
    }
}

impl<'de, F: Field, T: Deserialize<'de>> Deserialize<'de> for ObjectWithField<F, T> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_any(ObjectWithFieldVisitor(PhantomData))
    }
}

struct ObjectWithFieldVisitor<F, T>(PhantomData<(F, T)>);

impl<'de, F: Field, T: Deserialize<'de>> Visitor<'de> for ObjectWithFieldVisitor<F, T> {
    type Value = ObjectWithField<F, T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    scalars!(ObjectWithField::default());

    fn visit_unit<E>(self) -> Result<Self::Value, E> {
        Ok(ObjectWithField::default())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<Self::Value, A::Error> {
        while entries.next_element::<IgnoredAny>()?.is_some() {}
        Ok(ObjectWithField::default())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let (mut rest, mut field) = (Map::new(), None);
        while let Some(key) = map.next_key::<String>()? {
            if key == F::NAME {
                field = map.next_value::<Option<T>>()?;
            } else {
                rest.insert(key, map.next_value::<Value>()?);
            }
        }
        Ok(ObjectWithField { rest: Value::Object(rest), field, marker: PhantomData })
    }
}
