//! Typed resources. Each has a name that is unique within its kind, and one owner; no other owner may change
//! it.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Maximum number of services that one resource may reference.
pub const MAX_SERVICES: usize = 64;

/// The kind of a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A service. It is ordered first because the other kinds reference services.
    Service,
    /// A request class.
    Class,
    /// A tenant.
    Tenant,
    /// A server.
    Server,
}

/// Identifies a resource.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// The resource's kind.
    pub kind: Kind,
    /// The resource's name.
    pub name: String,
}

/// A service; it has no settings of its own.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {}

/// Whether a request of a class may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Effect {
    /// It may be executed any number of times.
    Safe,
    /// It carries a key that all servers remember for this time, so that a repeat is recognized.
    Keyed {
        /// How long the servers remember the key, in milliseconds.
        memory_ms: f64,
    },
    /// It must not be executed again.
    Unsafe,
}

/// A request class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// An answer within this time counts with its full worth, in milliseconds.
    pub aim_ms: f64,
    /// The client's total timeout, in milliseconds.
    pub deadline_ms: f64,
    /// The worth of an answer in time, relative to other classes.
    pub worth: f64,
    /// Whether a request may be executed more than once.
    pub effect: Effect,
    /// The services that have this class; if empty, all services.
    #[serde(default)]
    pub services: Vec<String>,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// The tenant's quota over all nodes, in requests per second.
    pub quota_per_s: f64,
    /// The services that the tenant uses; if empty, all services.
    #[serde(default)]
    pub services: Vec<String>,
}

/// A server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// The service that the server belongs to.
    pub service: String,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The server's zone.
    pub zone: String,
    /// The server's weight in load balancing.
    pub weight: f64,
}

/// A resource's content, by kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// A service.
    Service(Service),
    /// A request class.
    Class(Class),
    /// A tenant.
    Tenant(Tenant),
    /// A server.
    Server(Server),
}

impl Body {
    /// The kind of the resource.
    pub fn kind(&self) -> Kind {
        match self {
            Self::Service(_) => Kind::Service,
            Self::Class(_) => Kind::Class,
            Self::Tenant(_) => Kind::Tenant,
            Self::Server(_) => Kind::Server,
        }
    }

    /// The services that the resource references.
    pub fn services(&self) -> &[String] {
        match self {
            Self::Service(_) => &[],
            Self::Class(class) => &class.services,
            Self::Tenant(tenant) => &tenant.services,
            Self::Server(server) => std::slice::from_ref(&server.service),
        }
    }

    /// Checks the values of the resource without regard to other resources.
    ///
    /// # Errors
    /// Returns the invalid field and what is expected there.
    pub fn check(&self) -> Result<(), String> {
        let check_positive = |field: &str, value: f64| {
            let is_valid = value.is_finite() && value > 0.0;
            is_valid.then_some(()).ok_or_else(|| format!("{field}: a number above 0 expected, not {value}"))
        };
        let check_not_negative = |field: &str, value: f64| {
            let is_valid = value.is_finite() && value >= 0.0;
            is_valid.then_some(()).ok_or_else(|| format!("{field}: a number from 0 on expected, not {value}"))
        };
        if self.services().len() > MAX_SERVICES {
            return Err(format!("services: {MAX_SERVICES} at most expected, not {}", self.services().len()));
        }
        let distinct: BTreeSet<&String> = self.services().iter().collect();
        if distinct.len() < self.services().len() {
            return Err("services: one stands twice".to_string());
        }
        match self {
            Self::Service(_) => Ok(()),
            Self::Class(class) => {
                check_positive("aim_ms", class.aim_ms)?;
                check_positive("deadline_ms", class.deadline_ms)?;
                check_not_negative("worth", class.worth)?;
                match class.effect {
                    Effect::Keyed { memory_ms } => check_not_negative("memory_ms", memory_ms),
                    Effect::Safe | Effect::Unsafe => Ok(()),
                }
            }
            Self::Tenant(tenant) => check_not_negative("quota_per_s", tenant.quota_per_s),
            Self::Server(server) => {
                check_name("zone", &server.zone)?;
                check_positive("weight", server.weight)
            }
        }
    }
}

/// Checks that `name` is 1 to [`MAX_NAME_BYTES`] visible ASCII characters.
///
/// # Errors
/// Returns the name of the field and what is expected there.
pub fn check_name(field: &str, name: &str) -> Result<(), String> {
    let is_valid =
        !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(|byte| byte.is_ascii_graphic());
    is_valid.then_some(()).ok_or_else(|| {
        format!("{field}: 1 to {MAX_NAME_BYTES} visible ASCII characters expected, not {name:?}")
    })
}

/// A resource with its name and owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The resource's name.
    pub name: String,
    /// The resource's owner; no other owner may change it.
    pub owner: String,
    /// The resource's content.
    pub body: Body,
}

impl Entry {
    /// The key that identifies the resource.
    pub fn key(&self) -> Key {
        Key { kind: self.body.kind(), name: self.name.clone() }
    }
}

/// The part of the configuration that a subscriber follows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// All resources.
    All,
    /// These services, the resources that reference one of them, and the resources that reference none and so
    /// apply to all services.
    Services(BTreeSet<String>),
}

impl Scope {
    /// Returns whether the scope includes the resource with this name and content.
    pub fn includes(&self, name: &str, body: &Body) -> bool {
        let Self::Services(wanted) = self else { return true };
        match body {
            Body::Service(_) => wanted.contains(name),
            _ => body.services().is_empty() || body.services().iter().any(|service| wanted.contains(service)),
        }
    }
}
