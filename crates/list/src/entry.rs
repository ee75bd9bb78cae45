//! One entry of the list, and a line of them.

use std::fmt;
use std::net::SocketAddr;

use serde::de::Visitor;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::Value;

/// What a server speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Protocol {
    /// HTTP/1.1.
    Http1,
    /// MessagePack-RPC.
    Msgpack,
}

/// Where a server listens, and what it speaks as far as the list tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Dial {
    /// Its address.
    pub address: SocketAddr,
    /// What it speaks.
    pub protocol: Protocol,
}

/// How the list marks a server that speaks MessagePack-RPC.
const MSGPACK_SCHEME: &str = "msgpack-rpc://";

impl fmt::Display for Dial {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let scheme = if self.protocol == Protocol::Msgpack { MSGPACK_SCHEME } else { "" };
        write!(f, "{scheme}{}", self.address)
    }
}

impl Serialize for Dial {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

/// Reads a dial where its text stands.
struct DialText;

impl Visitor<'_> for DialText {
    type Value = Dial;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("IP address and port")
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<Dial, E> {
        let (protocol, address) = match text.strip_prefix(MSGPACK_SCHEME) {
            Some(rest) => (Protocol::Msgpack, rest),
            None => (Protocol::Http1, text),
        };
        let address = address
            .parse()
            .map_err(|_| E::custom(format!("dial: IP address and port expected, not {text:?}")))?;
        Ok(Dial { address, protocol })
    }
}

impl<'de> Deserialize<'de> for Dial {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_str(DialText)
    }
}

/// One line of discovery.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Update {
    /// The list's version.
    #[serde(rename = "seq")]
    pub version: u64,
    /// The whole list, not just changes.
    #[serde(rename = "whole")]
    pub whole: bool,
    /// The entries.
    pub hosts: Vec<Host>,
}

/// One server of a line.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Host {
    /// Its name, the same at every node.
    pub host: String,
    /// Where it listens; one that is gone may have none.
    #[serde(default, rename = "dial")]
    pub dial: Option<Dial>,
    /// Its zone.
    #[serde(default, rename = "site")]
    pub zone: String,
    /// Its kind of machine.
    #[serde(default, rename = "class")]
    pub kind: String,
    /// Its cell.
    #[serde(default, rename = "block")]
    pub cell: u64,
    /// Its state.
    pub health: Health,
    /// Its weight.
    #[serde(default = "one", rename = "share")]
    pub weight: f64,
    /// When it last started, Unix time in milliseconds; 0 for long ago.
    #[serde(default)]
    pub born_ms: f64,
}

fn one() -> f64 {
    1.0
}

impl Host {
    /// A server in service, with nothing said of it but its name and address.
    pub fn active(name: &str, dial: Dial) -> Self {
        Self {
            host: name.to_string(),
            dial: Some(dial),
            zone: String::new(),
            kind: String::new(),
            cell: 0,
            health: Health::Active,
            weight: 1.0,
            born_ms: 0.0,
        }
    }

    /// The same server, gone.
    pub fn left(&self) -> Self {
        Self { health: Health::Left, ..self.clone() }
    }
}

/// The state of a server.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// In service.
    Active,
    /// Finishing its work.
    Leaving,
    /// Gone.
    Left,
}

/// Reads a line: at once, and by way of its values only where that fails, as they bear a name that comes twice.
///
/// # Errors
/// Names what is missing or malformed.
pub fn read(text: &[u8]) -> Result<Update, String> {
    match serde_json::from_slice(text) {
        Ok(update) => checked(update),
        Err(_) => update(serde_json::from_slice(text).map_err(|e| e.to_string())?),
    }
}

/// Reads a line's object.
///
/// # Errors
/// Names what is missing or malformed.
pub fn update(value: Value) -> Result<Update, String> {
    checked(serde_json::from_value(value).map_err(|e| e.to_string())?)
}

/// Checks that servers that are not gone have an address.
fn checked(update: Update) -> Result<Update, String> {
    match update.hosts.iter().find(|h| h.dial.is_none() && h.health != Health::Left) {
        Some(host) => Err(format!("{}: dial is missing", host.host)),
        None => Ok(update),
    }
}
