//! Parses the settings object, which is the same for instances hosted for the simulator and for nodes on
//! sockets.
#![warn(missing_docs)]

/// Visitor methods that return `$otherwise` for scalar values.
macro_rules! scalars {
    ($otherwise:expr) => {
        fn visit_bool<E>(self, _: bool) -> Result<Self::Value, E> {
            Ok($otherwise)
        }
        fn visit_i64<E>(self, _: i64) -> Result<Self::Value, E> {
            Ok($otherwise)
        }
        fn visit_u64<E>(self, _: u64) -> Result<Self::Value, E> {
            Ok($otherwise)
        }
        fn visit_f64<E>(self, _: f64) -> Result<Self::Value, E> {
            Ok($otherwise)
        }
        fn visit_str<E>(self, _: &str) -> Result<Self::Value, E> {
            Ok($otherwise)
        }
    };
}

pub mod fields;
pub mod shape;
pub mod split_field;
pub mod tenants;

use std::collections::HashSet;
use std::hash::Hash;

use glenwood_policy::{Class, Discovery, Effect, Goal, Group, Limits, Millis, Rules, Settings, Weights};
use serde::Deserialize;
use serde_json::{Map, Value};

use fields::{integer, text, FieldError, Fields};
use split_field::{Field, ObjectWithField};
use tenants::Tenants;

fn read_class(value: &Value) -> Result<(String, Class), FieldError> {
    let f = Fields::of(value, "Classes")?;
    let group = match f.get("DedupScope").and_then(Value::as_str) {
        Some("all") => Group::All,
        Some("zone") => Group::Zone,
        // If it is absent, the narrowest group is the safe choice.
        Some("cell") | None => Group::Cell,
        Some(other) => return Err(format!("DedupScope: {other} is unknown")),
    };
    let effect = match text(f.required("Idempotency")?, "Idempotency")? {
        "pure" => Effect::Safe,
        "token" => Effect::Keyed { group, memory: f.number_or("MemorySpan", 0.0)? },
        "side_effect" => Effect::Unsafe,
        other => return Err(format!("Idempotency: {other} is unknown")),
    };
    // If it is absent or null, the time that clients wait is unknown.
    let client_timeout = f.number_or("Deadline", f64::INFINITY)?;
    if client_timeout.is_nan() || client_timeout <= 0.0 {
        return Err(format!("Deadline: above 0 expected, not {client_timeout}"));
    }
    let class = Class {
        target_latency: f.number("Slo")?,
        worth: f.number_or("Value", 1.0)?,
        late_worth: f.number_or("LateValue", 0.0)?,
        client_timeout,
        effect,
    };
    Ok((text(f.required("Name")?, "Name")?.to_string(), class))
}

/// The field of a settings object that holds the tenants.
#[derive(Clone, Copy, Debug)]
pub enum Customers {}

impl Field for Customers {
    const NAME: &'static str = "Customers";
}

/// A settings object from a file, with its tenants read one by one.
pub type SettingsObject = ObjectWithField<Customers, Tenants>;

/// The parsed settings object: the settings of the decision module, and those that only a node on sockets
/// needs.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The settings of the decision module.
    pub policy: Settings,
    /// The names of the classes, by index.
    pub classes: Vec<String>,
    /// The names of the tenants, by index.
    pub tenants: Vec<String>,
    /// The longest deadline of any class; infinite if a class has none.
    pub max_deadline: Millis,
    /// The idle time after which servers close a connection.
    pub keepalive_timeout: Millis,
    /// The maximum number of open requests at a node.
    pub max_open_requests: usize,
}

/// Returns the first name that occurs a second time, in a single pass over the names.
pub fn first_duplicate<N: Eq + Hash>(names: impl IntoIterator<Item = N>) -> Option<N> {
    let mut seen = HashSet::new();
    for name in names {
        if let Some(duplicate) = seen.replace(name) {
            return Some(duplicate);
        }
    }
    None
}

/// Rejects duplicate names, which would be ambiguous; `field` is the settings field named in the error.
fn check_unique(names: &[String], field: &str) -> Result<(), FieldError> {
    first_duplicate(names).map_or(Ok(()), |name| Err(format!("{field}: the name {name} appears twice")))
}

impl NodeSettings {
    /// Parses a settings object.
    ///
    /// # Errors
    /// Names the first field that is missing or malformed.
    pub fn from_value(value: &Value) -> Result<Self, FieldError> {
        Self::from_object(SettingsObject::deserialize(value).map_err(|e| e.to_string())?)
    }

    /// Parses a settings object whose tenants have been read.
    ///
    /// # Errors
    /// Names the first field that is missing or malformed.
    pub fn from_object(object: SettingsObject) -> Result<Self, FieldError> {
        read_settings(&object.rest, object.field.unwrap_or_default())
    }
}

fn read_settings(value: &Value, tenants: Tenants) -> Result<NodeSettings, FieldError> {
    let f = Fields::of(value, "Options")?;
    let classes = f.array("Classes")?.iter().map(read_class).collect::<Result<Vec<_>, _>>()?;
    let max_deadline = classes.iter().map(|c| c.1.client_timeout).fold(0.0, f64::max);
    let (class_names, classes): (Vec<String>, _) = classes.into_iter().unzip();
    check_unique(&class_names, "Classes")?;
    if let Some(error) = tenants.error {
        return Err(error);
    }
    let (tenant_names, tenants) = (tenants.names, tenants.tenants);
    check_unique(&tenant_names, "Customers")?;
    let l = Fields::of(f.required("Limits")?, "Limits")?;
    let r = Fields::of(f.required("Contract")?, "Contract")?;
    let empty = Value::Object(Map::new());
    let g = Fields::of(f.get("Goal").unwrap_or(&empty), "Goal")?;
    let policy = Settings {
        node_index: integer(f.required("Me")?, "Me")? as usize,
        nodes: integer(f.required("PeersTotal")?, "PeersTotal")? as usize,
        classes,
        tenants,
        by_work: match f.get("CountedBy").and_then(Value::as_str) {
            Some("work") => true,
            Some("request") | None => false,
            Some(other) => return Err(format!("CountedBy: {other} is unknown")),
        },
        over_share_worth: f.number_or("OverShareWorth", 1.0)?,
        goal: Goal {
            worth: g.number_or("Whole", 1.0)? + g.number_or("WorstWindow", 0.0)?,
            worst_class: g.number_or("WorstClass", 0.0)?,
            worst_tenant: g.number_or("WorstTenant", 0.0)?,
        },
        limits: Limits {
            attempts: integer(l.required("AttemptsCap")?, "AttemptsCap")? as usize,
            second_copies: l.flag_or("MayDuplicate", false)?,
            cancel: l.flag_or("Cancel", false)?,
            probes: l.flag_or("Probes", false)?,
            connect_timeout: l.number("ConnectTimeout")?,
            max_retry_after: if l.flag_or("RetryAfter", false)? {
                l.number_or("MaxRetryAfter", 0.0)?
            } else {
                0.0
            },
        },
        rules: Rules {
            max_call_interval: r.number_or("AskWithin", 10_000.0)?,
            cold_capacity_share: r.number("ColdShare")?,
            warm_up_time: r.number("WarmWithin")?,
            overload_factor: r.number("FallMultiple")?,
            overload_window: r.number("Fall")?,
        },
        discovery: match f.get("Discovery").and_then(Value::as_str) {
            Some("subscribe") => Discovery::Asked,
            Some("automatic") | None => Discovery::Pushed,
            Some(other) => return Err(format!("Discovery: {other} is unknown")),
        },
        weights: match f.get("Weights").and_then(Value::as_str) {
            Some("nominal" | "rough") => Weights::Listed,
            Some("live") => Weights::Live,
            Some("silent") | None => Weights::None,
            Some(other) => return Err(format!("Weights: {other} is unknown")),
        },
        min_event_interval: f.number_or("Tick", 1.0)?,
    };
    Ok(NodeSettings {
        policy,
        classes: class_names,
        tenants: tenant_names,
        max_deadline,
        keepalive_timeout: l.number_or("Keepalive", 15_000.0)?,
        max_open_requests: l.number_or("OpenCap", 20_000.0)? as usize,
    })
}
