//! Deserializes tenants one by one: a deployment may have tens of thousands, and a JSON tree of all of them
//! would take many times the memory of what is kept.

use std::fmt;

use glenwood_policy::Tenant;
use serde::de::{Deserialize, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::Value;

use crate::fields::{number, text, FieldError};

/// The number of required fields of an entry.
const REQUIRED_FIELDS: usize = 2;

/// The tenants of a settings object.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    /// Their names, by index.
    pub names: Vec<String>,
    /// Their shares, by index.
    pub tenants: Vec<Tenant>,
    /// The names of the fields that all entries have.
    pub common_fields: Vec<String>,
    /// The error in the first malformed entry; entries after it are not read.
    pub error: Option<FieldError>,
}

/// An entry before validation; `None` if it is not an object.
struct Entry(Option<EntryFields>);

#[derive(Default)]
struct EntryFields {
    name: Option<Value>,
    quota: Option<Value>,
    /// The names of the other fields that are not null.
    others: Vec<String>,
}

impl Tenants {
    fn add(&mut self, entry: Entry) -> Result<(), FieldError> {
        let fields = entry.0.ok_or("Customers: object expected")?;
        let missing = |field: &str| format!("Customers: {field} is missing");
        let name = fields.name.ok_or_else(|| missing("Name"))?;
        let quota = fields.quota.ok_or_else(|| missing("QuotaPerS"))?;
        let name = text(&name, "Name")?.to_string();
        let quota_per_s = number(&quota, "QuotaPerS")?;
        if self.names.is_empty() {
            self.common_fields = vec!["Name".to_string(), "QuotaPerS".to_string()];
            self.common_fields.extend(fields.others);
        } else if self.common_fields.len() > REQUIRED_FIELDS {
            let keep =
                |field: &String| field == "Name" || field == "QuotaPerS" || fields.others.contains(field);
            self.common_fields.retain(keep);
        }
        self.names.push(name);
        self.tenants.push(Tenant { quota_per_s });
        Ok(())
    }
}

impl<'de> Deserialize<'de> for Tenants {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_any(TenantsVisitor)
    }
}

impl<'de> Deserialize<'de> for Entry {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_any(EntryVisitor)
    }
}

struct TenantsVisitor;

fn not_an_array() -> Tenants {
    Tenants { error: Some("Customers: array expected".to_string()), ..Tenants::default() }
}

impl<'de> Visitor<'de> for TenantsVisitor {
    type Value = Tenants;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an array of tenants")
    }

    scalars!(not_an_array());

    fn visit_unit<E>(self) -> Result<Tenants, E> {
        Ok(Tenants::default())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Tenants, A::Error> {
        while map.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
        Ok(not_an_array())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<Tenants, A::Error> {
        let mut tenants = Tenants::default();
        while tenants.error.is_none() {
            let Some(entry) = entries.next_element::<Entry>()? else { return Ok(tenants) };
            tenants.error = tenants.add(entry).err();
        }
        while entries.next_element::<IgnoredAny>()?.is_some() {}
        Ok(tenants)
    }
}

struct EntryVisitor;

impl<'de> Visitor<'de> for EntryVisitor {
    type Value = Entry;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a tenant")
    }

    scalars!(Entry(None));

    fn visit_unit<E>(self) -> Result<Entry, E> {
        Ok(Entry(None))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<Entry, A::Error> {
        while entries.next_element::<IgnoredAny>()?.is_some() {}
        Ok(Entry(None))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Entry, A::Error> {
        let mut fields = EntryFields::default();
        // The last of duplicate keys applies, as in a JSON tree.
        while let Some(key) = map.next_key::<String>()? {
            let value = Some(map.next_value::<Value>()?).filter(|value| !value.is_null());
            match key.as_str() {
                "Name" => fields.name = value,
                "QuotaPerS" => fields.quota = value,
                _ if value.is_some() => fields.others.push(key),
                _ => fields.others.retain(|other| *other != key),
            }
        }
        Ok(Entry(Some(fields)))
    }
}
