//! The node's configuration at its start: environment and configuration file.

use std::net::SocketAddr;
use std::path::Path;

use glenwood_settings::shape::Shape;
use glenwood_settings::split_field::{Field, ObjectWithField};
use glenwood_settings::{NodeSettings, SettingsObject};
use serde_json::Value;

use crate::list::{self, Update};
use crate::operator::Operator;

/// The node's configuration.
pub struct Config {
    /// The node's name.
    pub name: String,
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address of the admin endpoint, where there is one.
    pub mgmt: Option<SocketAddr>,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed for random numbers.
    pub seed: u64,
    /// The most file descriptors that the process may hold.
    pub sockets: usize,
    /// The most memory that the process may use, in MB.
    pub memory_mb: usize,
    /// The list of servers that was last known.
    pub known: Option<Update>,
    /// The settings.
    pub settings: NodeSettings,
    /// The operator's file; everything is off without it.
    pub operator: Operator,
    /// The fields of the file, without the list.
    pub fields: FileFields,
}

/// The field of a configuration file that holds the settings.
#[derive(Clone, Copy, Debug)]
enum SettingsField {}

impl Field for SettingsField {
    const NAME: &'static str = "settings";
}

/// A parsed configuration file.
type File = ObjectWithField<SettingsField, SettingsObject>;

/// The fields of a configuration file, without their values: a reloaded file must have them too.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileFields {
    file: Shape,
    settings: Shape,
    /// The fields that all tenants have, where there are tenants.
    tenants: Option<Vec<String>>,
}

impl FileFields {
    fn of(file: &File) -> Self {
        let settings = file.field.as_ref();
        Self {
            file: Shape::from_value(&file.rest).without_field("known"),
            settings: settings.map_or(Shape::Scalar, |settings| Shape::from_value(&settings.rest)),
            tenants: settings.and_then(|s| s.field.as_ref()).map(|tenants| tenants.common_fields.clone()),
        }
    }

    /// The path of the first field that this file has and the next file lacks.
    fn missing_in(&self, next: &File) -> Option<String> {
        if let Some(field) = self.file.missing_in(&next.rest) {
            return Some(field);
        }
        let Some(settings) = next.field.as_ref() else {
            return (self.settings != Shape::Scalar).then(|| "settings".to_string());
        };
        if let Some(field) = self.settings.missing_in(&settings.rest) {
            return Some(format!("settings.{field}"));
        }
        let (common, Some(tenants)) = (self.tenants.as_ref()?, settings.field.as_ref()) else {
            return Some("settings.Customers".to_string());
        };
        let has = |field: &&String| tenants.names.is_empty() || tenants.common_fields.contains(field);
        common.iter().find(|field| !has(field)).map(|field| format!("settings.Customers.{field}"))
    }
}

/// Limit of descriptors where the configuration sets none.
const DEFAULT_SOCKETS: u64 = 1024;
/// The fewest descriptors with which a node can work.
const MIN_SOCKETS: u64 = 32;

/// Descriptors of the process itself: standard streams, signals (eight), the runtime's, the listener,
/// discovery's old and new call, and those that one side is about to release while the other side already
/// opens them.
const PROCESS_DESCRIPTORS: usize = 24;
/// The most client connections per MB.
const CLIENTS_PER_MB: usize = 4;
/// What a client's request holds at the most beside the budget for long bodies: a body and an answer of
/// 64 KiB each, and the head with the buffers of its two connections.
const CLIENT_BYTES: usize = (64 + 64 + 44) << 10;
/// The memory of the process itself.
const PROCESS_BYTES: usize = 5 << 20;
/// Long bodies may use between these parts of the memory: what the process and its clients leave.
const MAX_BODY_MEMORY_DIVISOR: usize = 4;
const MIN_BODY_MEMORY_DIVISOR: usize = 8;
/// Memory limit where the configuration sets none.
const DEFAULT_MEMORY_MB: u64 = 192;
/// The least memory with which a node can work.
const MIN_MEMORY_MB: u64 = 8;

/// Descriptors of the admin endpoint besides its callers': its listener and its runtime's.
const ADMIN_DESCRIPTORS: usize = 4;

impl Config {
    /// The most callers of the admin endpoint at a time.
    pub fn max_admin_callers(&self) -> usize {
        (self.sockets / 16).clamp(4, 32)
    }

    /// Descriptors that are not for connections of clients or to servers.
    pub fn reserved_descriptors(&self) -> usize {
        PROCESS_DESCRIPTORS
            + if self.mgmt.is_some() { ADMIN_DESCRIPTORS + self.max_admin_callers() } else { 0 }
    }

    /// The most client connections: half of the descriptors that are left for connections, limited by the
    /// memory.
    pub fn max_client_connections(&self) -> usize {
        self.split_descriptors(self.sockets).0
    }

    /// Divides `descriptors` into connections of clients and connections to servers. A process that has
    /// only a part of the descriptors gets the same part of the memory.
    pub fn split_descriptors(&self, descriptors: usize) -> (usize, usize) {
        let all = descriptors.saturating_sub(self.reserved_descriptors());
        let memory_mb = self.memory_mb * descriptors.min(self.sockets) / self.sockets.max(1);
        let clients = (all / 2).min(memory_mb * CLIENTS_PER_MB).max(1);
        (clients, all.saturating_sub(clients).max(1))
    }

    /// How many bytes bodies may take beyond the share of each connection, in a process that may hold
    /// `descriptors`. It is half for as long as another process of the node holds any, as a process keeps
    /// the bodies that it has accepted while it ends.
    pub fn max_body_bytes(&self, descriptors: usize) -> usize {
        let memory = self.memory_mb << 20;
        let clients = self.max_client_connections() * CLIENT_BYTES;
        let full = memory
            .saturating_sub(PROCESS_BYTES + clients)
            .clamp(memory / MIN_BODY_MEMORY_DIVISOR, memory / MAX_BODY_MEMORY_DIVISOR);
        if descriptors < self.sockets {
            full / 2
        } else {
            full
        }
    }

    /// The most servers in the rotation, with room for second connections to some.
    pub fn max_rotation(&self) -> usize {
        self.max_server_connections() * 3 / 4
    }

    /// The most connections to servers: the rest of the descriptors.
    pub fn max_server_connections(&self) -> usize {
        self.split_descriptors(self.sockets).1
    }
}

/// Reads the configuration of this process, and the operator's file where there is one.
///
/// # Errors
/// One line with the field, and with the file where it is the operator's.
pub fn load(operator: Option<&Path>) -> Result<Config, String> {
    let mut config = first(&text()?, |name| std::env::var(name).ok())?;
    if let Some(path) = operator {
        config.operator = Operator::load(path)?;
    }
    Ok(config)
}

/// Parses the text of the file that a node starts with.
///
/// # Errors
/// One line with the field and the reason.
pub fn first(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    parse(read(text)?, env)
}

/// Reads the file again at a reload. Here the file takes precedence over the environment for discovery: the
/// environment is still that of the start, and its address of discovery is the one that the file now
/// replaces. For the other fields the environment still takes precedence.
///
/// # Errors
/// One line with the field and the reason.
pub fn reload(running: &FileFields) -> Result<Config, String> {
    following(&text()?, running, |name| std::env::var(name).ok().filter(|_| name != "BALANCER_DISCOVERY"))
}

/// Parses a file for a reload. It must have all fields that the running file has, as a partly written file
/// may still be valid JSON.
///
/// # Errors
/// One line with the field and the reason.
pub fn following(
    text: &str,
    running: &FileFields,
    env: impl Fn(&str) -> Option<String>,
) -> Result<Config, String> {
    let file = read(text)?;
    if let Some(field) = running.missing_in(&file) {
        return Err(format!(
            "{field}: missing, and the running configuration has it; to drop it takes a new start"
        ));
    }
    let config = parse(file, env)?;
    config.settings.policy.check().map_err(|e| format!("settings: {e}"))?;
    Ok(config)
}

fn text() -> Result<String, String> {
    let path = std::env::var("BALANCER_CONFIG").map_err(|_| "BALANCER_CONFIG: not set".to_string())?;
    std::fs::read_to_string(&path).map_err(|e| format!("BALANCER_CONFIG: {path}: {e}"))
}

fn read(text: &str) -> Result<File, String> {
    serde_json::from_str(text).map_err(|e| format!("BALANCER_CONFIG: not JSON: {e}"))
}

/// Reads a configuration; the environment takes precedence over the file.
fn parse(file: File, env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let fields = FileFields::of(&file);
    let value = &file.rest;
    let text = |name: &str| {
        let upper = format!("BALANCER_{}", name.to_uppercase());
        let file = || value.get(name).and_then(Value::as_str).map(|v| (name.to_string(), v.to_string()));
        env(&upper).map(|v| (upper, v)).or_else(file).ok_or_else(|| format!("{name}: text expected"))
    };
    let address = |name: &str| {
        let (source, value) = text(name)?;
        value.parse().map_err(|_| format!("{source}: IP address and port expected, not {value:?}"))
    };
    let mgmt = match text("mgmt") {
        Ok(_) => Some(address("mgmt")?),
        Err(_) if value.get("mgmt").is_none_or(Value::is_null) => None,
        Err(message) => return Err(message),
    };
    let seed = value.get("seed").and_then(Value::as_str).ok_or("seed: text expected")?;
    let known = match value.get("known") {
        None | Some(Value::Null) => None,
        Some(known) => Some(list::update_from_value(known.clone()).map_err(|e| format!("known: {e}"))?),
    };
    let settings = NodeSettings::from_object(file.field.unwrap_or_default());
    let settings = settings.map_err(|e| format!("settings: {e}"))?;
    Ok(Config {
        name: text("name")?.1,
        listen: address("listen")?,
        mgmt,
        discovery: address("discovery")?,
        seed: u64::from_str_radix(seed, 16)
            .map_err(|_| format!("seed: hex digits expected, not {seed:?}"))?,
        sockets: limit(value, "sockets", DEFAULT_SOCKETS, MIN_SOCKETS)?,
        memory_mb: limit(value, "memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB)?,
        known,
        settings,
        operator: Operator::default(),
        fields,
    })
}

fn limit(value: &Value, name: &str, default: u64, minimum: u64) -> Result<usize, String> {
    let configured = value.get("limits").and_then(|l| l.get(name));
    let count = match configured {
        None => default,
        Some(v) => v.as_u64().ok_or_else(|| format!("limits.{name}: whole number expected"))?,
    };
    if count < minimum {
        return Err(format!("limits.{name}: at least {minimum} expected, not {count}"));
    }
    Ok(count.min(1 << 20) as usize)
}

/// Reads a configuration from a test's JSON value.
#[cfg(test)]
pub(crate) fn from_value(value: &Value) -> Result<Config, String> {
    parse(read(&value.to_string())?, |_| None)
}

#[cfg(test)]
mod tests {
    use super::*;

    const FILE: &str = r#"{"name":"n0","listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","seed":"1",
        "limits":{"memory_mb":48,"sockets":384},"known":null,
        "settings":{"Me":0,"PeersTotal":1,"Discovery":"subscribe",
            "Classes":[{"Name":"look","Slo":100,"Deadline":500,"Value":1,"Idempotency":"pure"},
                {"Name":"pay","Slo":100,"Deadline":500,"Value":1,"Idempotency":"token","DedupScope":"all","MemorySpan":9}],
            "Customers":[{"Name":"acme","QuotaPerS":5}],
            "Limits":{"AttemptsCap":3,"ConnectTimeout":50},
            "Contract":{"ColdShare":0.2,"WarmWithin":5000,"FallMultiple":3,"Fall":2000}}}"#;

    fn running() -> FileFields {
        parse(read(FILE).expect("JSON"), |_| None).expect("good").fields
    }

    fn read_as_reload(text: &str) -> Result<Config, String> {
        following(text, &running(), |_| None)
    }

    #[test]
    fn a_truncated_file_is_rejected() {
        assert!(read_as_reload(FILE).is_ok());
        for cut in 0..FILE.len() {
            assert!(read_as_reload(&FILE[..cut]).is_err(), "cut at {cut}");
        }
    }

    #[test]
    fn a_file_that_lacks_any_one_field_is_rejected() {
        /// Every path to a field, except the list, which is optional.
        fn paths(value: &Value, at: &str, all: &mut Vec<String>) {
            match value {
                Value::Object(fields) => {
                    fields.iter().filter(|(key, _)| *key != "known").for_each(|(key, value)| {
                        all.push(format!("{at}/{key}"));
                        paths(value, &format!("{at}/{key}"), all);
                    })
                }
                Value::Array(entries) => {
                    entries.iter().enumerate().for_each(|(n, value)| paths(value, &format!("{at}/{n}"), all));
                }
                _ => {}
            }
        }
        let complete: Value = serde_json::from_str(FILE).expect("JSON");
        let mut all = Vec::new();
        paths(&complete, "", &mut all);
        assert!(all.len() > 25, "{all:?}");
        for path in all {
            let (parent, key) = path.rsplit_once('/').expect("a path");
            let mut file = complete.clone();
            file.pointer_mut(parent).and_then(Value::as_object_mut).expect("an object").remove(key);
            let result = read_as_reload(&file.to_string()).err();
            // Fields of some kinds of classes are required for those kinds only, and have a default
            // elsewhere.
            if !["DedupScope", "MemorySpan"].contains(&key) {
                assert!(result.is_some_and(|message| message.contains(key)), "{path}");
            }
        }
    }

    #[test]
    fn invalid_values_are_rejected_with_the_field_name() {
        for (from, to, field) in [
            ("\"Deadline\":500", "\"Deadline\":0", "Deadline"),
            ("\"Deadline\":500", "\"Deadline\":-5", "Deadline"),
            ("\"Deadline\":500", "\"Deadline\":\"500\"", "Deadline"),
            ("\"Deadline\":500", "\"Deadline\":null", "Deadline"),
            ("\"Deadline\":500", "\"Deadline\":NaN", "not JSON"),
            ("\"Deadline\":500", "\"Deadline\":1e999", "not JSON"),
            ("\"AttemptsCap\":3", "\"AttemptsCap\":0", "attempts"),
            ("\"AttemptsCap\":3", "\"AttemptsCap\":-1", "AttemptsCap"),
            ("\"AttemptsCap\":3", "\"AttemptsCap\":2.5", "AttemptsCap"),
            ("\"Slo\":100", "\"Slo\":0", "aim"),
            ("\"pay\"", "\"look\"", "twice"),
            ("[{\"Name\":\"acme\"", "[{\"Name\":\"acme\",\"QuotaPerS\":1},{\"Name\":\"acme\"", "twice"),
            ("\"token\"", "\"maybe\"", "Idempotency"),
            ("127.0.0.1:8500", "nowhere", "discovery"),
        ] {
            assert!(FILE.contains(from), "{from}");
            // The limits of the policy are checked too before anything is applied.
            let result = read_as_reload(&FILE.replace(from, to)).map(drop);
            assert!(result.as_ref().is_err_and(|message| message.contains(field)), "{to}: {result:?}");
        }
    }
}
