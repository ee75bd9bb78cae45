//! The table `configuration` of the operator's file.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use glenwood_configuration::resource::check_name;
use glenwood_configuration::Scope;
use glenwood_fields::{Fields, Value};

/// The most publishers that a node may follow.
const MAX_PUBLISHERS: usize = 64;
/// The most services that a node may serve.
const MAX_SERVICES: usize = 4096;

/// Settings of the operator's file for versioned configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Table {
    /// The publishers to follow, nearest first, 1 to 64.
    pub publishers: Vec<SocketAddr>,
    /// The part of the configuration that this node subscribes to.
    pub scope: Scope,
}

impl Table {
    /// Reads and checks the table.
    ///
    /// # Errors
    /// The field and the reason.
    pub fn from_fields(mut f: Fields) -> Result<Self, String> {
        let addresses = |value: Value| {
            let address = |value: &Value| value.as_str()?.parse().ok();
            value.as_array()?.iter().map(address).collect::<Option<Vec<SocketAddr>>>()
        };
        let publishers = f.required("publishers", "a list of IP addresses and ports", addresses)?;
        let all = f.boolean("all")?;
        let services = f.names("services")?;
        let name = f.full_name("services");
        if publishers.is_empty() || publishers.len() > MAX_PUBLISHERS {
            let field = f.full_name("publishers");
            return Err(format!("{field}: 1 to {MAX_PUBLISHERS} expected, not {}", publishers.len()));
        }
        if all != services.is_empty() {
            return Err(format!("{name}: services by name expected, or all = true, and not both"));
        }
        if services.len() > MAX_SERVICES {
            return Err(format!("{name}: {MAX_SERVICES} at most expected, not {}", services.len()));
        }
        services.iter().try_for_each(|service| check_name(&name, service))?;
        f.expect_empty()?;
        let scope =
            if all { Scope::All } else { Scope::Services(services.into_iter().collect::<BTreeSet<_>>()) };
        Ok(Self { publishers, scope })
    }
}
