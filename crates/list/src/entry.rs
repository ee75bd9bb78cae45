//! Entries of the server list, and updates made of entries.

use std::fmt;
use std::net::SocketAddr;

use serde::de::Visitor;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::Value;

/// The protocol of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Protocol {
    /// HTTP/1.1.
    Http1,
    /// MessagePack-RPC.
    Msgpack,
}

/// The address and protocol of a server, as given by the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Endpoint {
    /// Its address.
    pub address: SocketAddr,
    /// Its protocol.
    pub protocol: Protocol,
}

/// The prefix of the address of a MessagePack-RPC server.
const MSGPACK_SCHEME: &str = "msgpack-rpc://";

impl fmt::Display for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let scheme = if self.protocol == Protocol::Msgpack { MSGPACK_SCHEME } else { "" };
        write!(f, "{scheme}{}", self.address)
    }
}

impl Serialize for Endpoint {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

/// Parses an [`Endpoint`] from borrowed text.
struct EndpointVisitor;

impl Visitor<'_> for EndpointVisitor {
    type Value = Endpoint;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("IP address and port")
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<Endpoint, E> {
        let (protocol, address) = match text.strip_prefix(MSGPACK_SCHEME) {
            Some(rest) => (Protocol::Msgpack, rest),
            None => (Protocol::Http1, text),
        };
        let address = address
            .parse()
            .map_err(|_| E::custom(format!("dial: IP address and port expected, not {text:?}")))?;
        Ok(Endpoint { address, protocol })
    }
}

impl<'de> Deserialize<'de> for Endpoint {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_str(EndpointVisitor)
    }
}

/// An update of the list: one line of discovery or of registrations.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Update {
    /// The list's version.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether this is the full list rather than changes.
    #[serde(rename = "whole")]
    pub is_full: bool,
    /// The entries.
    pub hosts: Vec<ListEntry>,
}

/// An entry of an update: one server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(expecting = "struct Host")]
pub struct ListEntry {
    /// Its name, the same at every node.
    pub host: String,
    /// Its address; optional for a server that is gone.
    #[serde(default, rename = "dial")]
    pub endpoint: Option<Endpoint>,
    /// Its zone.
    #[serde(default, rename = "site")]
    pub zone: String,
    /// Its kind of machine.
    #[serde(default, rename = "class")]
    pub kind: String,
    /// Its cell; `None` if the source does not know it.
    #[serde(default, rename = "block", skip_serializing_if = "Option::is_none")]
    pub cell: Option<u64>,
    /// Its state.
    pub health: Health,
    /// Its weight.
    #[serde(default = "default_weight", rename = "share")]
    pub weight: f64,
    /// When it last started, as Unix time in milliseconds; 0 for long ago.
    #[serde(default, rename = "born_ms")]
    pub started_ms: f64,
}

fn default_weight() -> f64 {
    1.0
}

impl ListEntry {
    /// An active server of which only its name and address are known.
    pub fn active(name: &str, endpoint: Endpoint) -> Self {
        Self {
            host: name.to_string(),
            endpoint: Some(endpoint),
            zone: String::new(),
            kind: String::new(),
            cell: None,
            health: Health::Active,
            weight: 1.0,
            started_ms: 0.0,
        }
    }

    /// A copy of this entry that marks the server as gone.
    pub fn as_removed(&self) -> Self {
        Self { health: Health::Left, ..self.clone() }
    }
}

/// The state of a server.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// In service.
    Active,
    /// Draining: finishing its open requests.
    Leaving,
    /// Gone.
    Left,
}

/// Parses an update directly from text. If that fails, parses it by way of a JSON value, which accepts
/// duplicate keys.
///
/// # Errors
/// Names the field that is missing or malformed.
pub fn parse_update(text: &[u8]) -> Result<Update, String> {
    match serde_json::from_slice(text) {
        Ok(update) => validate(update),
        Err(_) => update_from_value(serde_json::from_slice(text).map_err(|e| e.to_string())?),
    }
}

/// Parses an update from a JSON value.
///
/// # Errors
/// Names the field that is missing or malformed.
pub fn update_from_value(value: Value) -> Result<Update, String> {
    validate(serde_json::from_value(value).map_err(|e| e.to_string())?)
}

/// Checks that every server that is not gone has an address.
fn validate(update: Update) -> Result<Update, String> {
    match update.hosts.iter().find(|h| h.endpoint.is_none() && h.health != Health::Left) {
        Some(host) => Err(format!("{}: dial is missing", host.host)),
        None => Ok(update),
    }
}
