//! Typed resources. Each has a name that is unique among its kind, and one owner, who alone may change it.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The longest name of anything, in bytes.
pub const NAME_MOST: usize = 128;
/// The most services that one resource may name.
pub const SERVICES_MOST: usize = 64;

/// What a resource is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A service; the other kinds name services, so it comes first.
    Service,
    /// A request class.
    Class,
    /// A tenant.
    Tenant,
    /// A server.
    Server,
}

/// A resource's identity.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Its kind.
    pub kind: Kind,
    /// Its name.
    pub name: String,
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {}

/// May a request of a class run again?
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Effect {
    /// Any number of times.
    Safe,
    /// All servers know its key for so long.
    Keyed {
        /// How long, in milliseconds.
        memory_ms: f64,
    },
    /// Never.
    Unsafe,
}

/// A request class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// An answer within this time has its full worth, in milliseconds.
    pub aim_ms: f64,
    /// How long a client waits in all, in milliseconds.
    pub deadline_ms: f64,
    /// Worth of an answer in time.
    pub worth: f64,
    /// May it run again?
    pub effect: Effect,
    /// The services that have it; none: all of them.
    #[serde(default)]
    pub services: Vec<String>,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Requests a second within its share, over all nodes.
    pub quota_per_s: f64,
    /// The services that it uses; none: all of them.
    #[serde(default)]
    pub services: Vec<String>,
}

/// A server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its weight.
    pub weight: f64,
}

/// What a resource holds, by its kind.
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
    /// Its kind.
    pub fn kind(&self) -> Kind {
        match self {
            Self::Service(_) => Kind::Service,
            Self::Class(_) => Kind::Class,
            Self::Tenant(_) => Kind::Tenant,
            Self::Server(_) => Kind::Server,
        }
    }

    /// The services that it names.
    pub fn services(&self) -> &[String] {
        match self {
            Self::Service(_) => &[],
            Self::Class(class) => &class.services,
            Self::Tenant(tenant) => &tenant.services,
            Self::Server(server) => std::slice::from_ref(&server.service),
        }
    }

    /// What is wrong with its values by themselves.
    ///
    /// # Errors
    /// Names the field, and what is expected.
    pub fn check(&self) -> Result<(), String> {
        let above = |field: &str, value: f64| {
            let fits = value.is_finite() && value > 0.0;
            fits.then_some(()).ok_or_else(|| format!("{field}: a number above 0 expected, not {value}"))
        };
        let not_below = |field: &str, value: f64| {
            let fits = value.is_finite() && value >= 0.0;
            fits.then_some(()).ok_or_else(|| format!("{field}: a number from 0 on expected, not {value}"))
        };
        if self.services().len() > SERVICES_MOST {
            return Err(format!("services: {SERVICES_MOST} at most expected, not {}", self.services().len()));
        }
        let distinct: BTreeSet<&String> = self.services().iter().collect();
        if distinct.len() < self.services().len() {
            return Err("services: one stands twice".to_string());
        }
        match self {
            Self::Service(_) => Ok(()),
            Self::Class(class) => {
                above("aim_ms", class.aim_ms)?;
                above("deadline_ms", class.deadline_ms)?;
                not_below("worth", class.worth)?;
                match class.effect {
                    Effect::Keyed { memory_ms } => not_below("memory_ms", memory_ms),
                    Effect::Safe | Effect::Unsafe => Ok(()),
                }
            }
            Self::Tenant(tenant) => not_below("quota_per_s", tenant.quota_per_s),
            Self::Server(server) => {
                check_name("zone", &server.zone)?;
                above("weight", server.weight)
            }
        }
    }
}

/// Is this a name?
///
/// # Errors
/// Names the field, and what is expected.
pub fn check_name(field: &str, name: &str) -> Result<(), String> {
    let fits =
        !name.is_empty() && name.len() <= NAME_MOST && name.bytes().all(|byte| byte.is_ascii_graphic());
    fits.then_some(())
        .ok_or_else(|| format!("{field}: 1 to {NAME_MOST} visible ASCII characters expected, not {name:?}"))
}

/// A resource with its name and owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Who alone may change it.
    pub owner: String,
    /// What it holds.
    pub body: Body,
}

impl Entry {
    /// Its identity.
    pub fn key(&self) -> Key {
        Key { kind: self.body.kind(), name: self.name.clone() }
    }
}

/// What a subscriber wants of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// All of it.
    All,
    /// These services, and whatever names one of them, or names none and so means all.
    Services(BTreeSet<String>),
}

impl Scope {
    /// Does a resource of that name belong to it?
    pub fn includes(&self, name: &str, body: &Body) -> bool {
        let Self::Services(wanted) = self else { return true };
        match body {
            Body::Service(_) => wanted.contains(name),
            _ => body.services().is_empty() || body.services().iter().any(|service| wanted.contains(service)),
        }
    }
}
