//! The operator's file: optional features of a node beyond its platform's configuration. All of them are
//! off without the file.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use glenwood_coordination::guard::MAX_DELAY_MS;
use glenwood_fields::{Fields, Value};

use crate::configuration;
use crate::custody;
use crate::list::MsgpackServers;
use crate::members;

/// The contents of the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    /// The address of a separate listener for MessagePack-RPC clients.
    pub msgpack_listen: Option<SocketAddr>,
    /// The clients' listener accepts both protocols, distinguished by the first byte.
    pub msgpack_shared: bool,
    /// The most open calls on a client's connection, 1 to 1024; further ones are refused at once.
    pub open_calls: usize,
    /// The most open calls on a connection to a server, 1 to 256.
    pub calls_per_connection: usize,
    /// Kinds of machine whose servers speak MessagePack-RPC.
    pub server_kinds: Vec<String>,
    /// Servers that speak MessagePack-RPC, by name.
    pub server_hosts: Vec<String>,
    /// Registrations of servers, if they are followed.
    pub registrations: Option<Registrations>,
    /// The Unix socket for inspection of the node.
    pub inspect: Option<PathBuf>,
    /// Whether every call, connection, attempt and answer is logged, for `glenctl trace`.
    pub trace: Trace,
    /// Settings for counting tenants' usage over all instances, if it is counted.
    pub usage: Option<UsageSettings>,
    /// Settings of the membership of nodes, if it is enabled.
    pub members: Option<members::Table>,
    /// Settings of versioned configuration from publishers, if it is enabled.
    pub configuration: Option<configuration::Table>,
    /// Settings of custody, which guards works against the loss of their node, if it is enabled.
    pub custody: Option<custody::Table>,
}

/// How tenants' usage is counted over all instances.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageSettings {
    /// The number of the list of instances; datagrams of instances with another number are ignored.
    pub list: u32,
    /// The instances, 1 to 1000, each with its name and the address at which it receives datagrams; this
    /// node is among them.
    pub instances: Vec<(String, SocketAddr)>,
    /// The address at which this instance receives datagrams, if that is not its address in the list.
    pub listen: Option<SocketAddr>,
    /// The file with the secret that all instances share, of at least 16 bytes.
    pub secret: PathBuf,
    /// The length of a window, 100 to 3,600,000 ms.
    pub window_ms: u64,
    /// The interval at which instances exchange usage, 10 ms to a quarter of the window.
    pub exchange_ms: u64,
    /// After how long without a datagram an instance counts as gone, 20 to 3,600,000 ms.
    pub gone_ms: u64,
    /// The most tenants that are shared at a time, 1 to 65,536; each instance limits the others to its own
    /// part.
    pub shared_most: usize,
}

/// The format in which the node's actions are logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Trace {
    /// Nothing is logged.
    #[default]
    Off,
    /// As text, for `glenctl trace`.
    Text,
    /// As one JSON object per line, for other programs too.
    Json,
}

impl Trace {
    fn from_fields(mut f: Fields) -> Result<Self, String> {
        let (on, json) = (f.boolean("on")?, f.boolean("json")?);
        f.expect_empty()?;
        Ok(match (on, json) {
            (false, _) => Self::Off,
            (true, false) => Self::Text,
            (true, true) => Self::Json,
        })
    }

    /// Is tracing enabled?
    pub fn is_on(self) -> bool {
        self != Self::Off
    }
}

impl UsageSettings {
    fn from_fields(mut f: Fields) -> Result<Self, String> {
        let mut instances: Vec<(String, SocketAddr)> = Vec::new();
        for mut one in f.tables("instance")? {
            let address = |v: Value| v.as_str().and_then(|text| text.parse().ok());
            let name =
                one.required("name", "a name", |v| v.as_str().filter(|t| !t.is_empty()).map(str::to_string))?;
            let address = one.required("address", "an IP address and port", address)?;
            if instances.iter().any(|(other, at)| *other == name || *at == address) {
                return Err(format!(
                    "{}: {name} at {address}: name or address stands twice",
                    one.full_name("name")
                ));
            }
            one.expect_empty()?;
            instances.push((name, address));
        }
        let parsed = Self {
            list: f.integer_within("list", 0..=u32::MAX as usize, 0)? as u32,
            listen: f.address("listen")?,
            secret: f.required("secret", "the path of a file", |v| v.as_str().map(PathBuf::from))?,
            window_ms: f.integer_within("window_ms", 100..=3_600_000, 5000)? as u64,
            exchange_ms: f.integer_within("exchange_ms", 10..=900_000, 100)? as u64,
            gone_ms: f.integer_within("gone_ms", 20..=3_600_000, 10_000)? as u64,
            shared_most: f.integer_within("shared_most", 1..=65_536, 4096)?,
            instances,
        };
        f.expect_empty()?;
        parsed.settings(0).check().map_err(|reason| format!("usage.{reason}"))?;
        Ok(parsed)
    }

    /// The settings for the state machine; `number` is the index of this instance.
    pub fn settings(&self, number: usize) -> glenwood_usage::Settings {
        glenwood_usage::Settings {
            list: self.list,
            instances: self.instances.len(),
            number,
            window_ms: self.window_ms,
            exchange_ms: self.exchange_ms,
            instance_timeout_ms: self.gone_ms,
            max_shared_keys: self.shared_most,
        }
    }
}

/// How the list of servers follows registrations.
#[derive(Clone, Debug, PartialEq)]
pub struct Registrations {
    /// The members of the coordination service, 1 to 9.
    pub members: Vec<SocketAddr>,
    /// The path of the tree node whose children are the servers.
    pub path: String,
    /// The session timeout that is requested, 100 to 60,000 ms.
    pub timeout_ms: usize,
    /// How often the names are read although no watch has fired, 1,000 to 3,600,000 ms.
    pub look_every_ms: usize,
    /// The list consists of registrations only: discovery is not used.
    pub replaces_discovery: bool,
    /// How long a departure that looks like a fault of the service is delayed, 0 to 400 ms; 0 disables
    /// this.
    pub guard_hold_ms: usize,
    /// The share of the list that may vanish within `guard_window_ms` without suspicion, above 0 and up to
    /// 1.
    pub guard_share: f64,
    /// The time span for `guard_share`, 1 to 60,000 ms.
    pub guard_window_ms: usize,
    /// How long a server that answers although its registration has ended is listed as draining, 0 to
    /// 600,000 ms.
    pub suspect_ms: usize,
    /// The maximum age of the answer by which such a server counts as answering, 1 to 60,000 ms.
    pub answer_ms: usize,
    /// The file to which the last view is saved, on persistent storage.
    pub save: Option<PathBuf>,
}

impl Registrations {
    fn from_fields(mut f: Fields) -> Result<Self, String> {
        let address = |v: &Value| v.as_str().and_then(|text| text.parse().ok());
        let members = |value: Value| value.as_array()?.iter().map(address).collect::<Option<Vec<_>>>();
        let members = |value| members(value).filter(|all| (1..=9).contains(&all.len()));
        let is_path = |text: &str| {
            text.starts_with('/') && text[1..].split('/').all(|part| !part.is_empty() && !part.contains('\0'))
        };
        let path = |value: Value| value.as_str().filter(|text| is_path(text)).map(str::to_string);
        let share = |value: Value| {
            let share = value.as_float().or(value.as_integer().map(|n| n as f64));
            share.filter(|share| *share > 0.0 && *share <= 1.0)
        };
        let parsed = Self {
            members: f
                .optional("members", "a list of 1 to 9 IP addresses and ports", members)?
                .ok_or("registrations.members: needed where there is a table registrations")?,
            path: f.optional("path", "a path such as /servers", path)?.unwrap_or("/servers".into()),
            timeout_ms: f.integer_within("timeout_ms", 100..=60_000, 2000)?,
            look_every_ms: f.integer_within("look_every_ms", 1000..=3_600_000, 60_000)?,
            replaces_discovery: f.boolean("alone")?,
            guard_hold_ms: f.integer_within("guard_hold_ms", 0..=MAX_DELAY_MS as usize, 0)?,
            guard_share: f.optional("guard_share", "a share above 0 and up to 1", share)?.unwrap_or(0.3),
            guard_window_ms: f.integer_within("guard_window_ms", 1..=60_000, 2000)?,
            suspect_ms: f.integer_within("suspect_ms", 0..=600_000, 10_000)?,
            answer_ms: f.integer_within("answer_ms", 1..=60_000, 2000)?,
            save: f.text("save", "the path of a file")?.map(PathBuf::from),
        };
        f.expect_empty()?;
        Ok(parsed)
    }
}

impl Default for Operator {
    fn default() -> Self {
        Self {
            msgpack_listen: None,
            msgpack_shared: false,
            open_calls: 32,
            calls_per_connection: 16,
            server_kinds: Vec::new(),
            server_hosts: Vec::new(),
            registrations: None,
            inspect: None,
            trace: Trace::Off,
            usage: None,
            members: None,
            configuration: None,
            custody: None,
        }
    }
}

impl Operator {
    /// Is discovery used for the list?
    pub fn uses_discovery(&self) -> bool {
        !self.registrations.as_ref().is_some_and(|r| r.replaces_discovery)
    }

    /// Is there another source of the list besides discovery?
    pub fn has_additional_source(&self) -> bool {
        self.registrations.is_some() || self.configuration.is_some()
    }

    /// Reads and checks the file.
    ///
    /// # Errors
    /// One line with the file, the field and the reason.
    pub fn load(path: &Path) -> Result<Self, String> {
        let describe = |reason: String| format!("{}: {}", path.display(), reason.replace('\n', " "));
        let text = std::fs::read_to_string(path).map_err(|e| describe(e.to_string()))?;
        Self::parse(&text).map_err(describe)
    }

    /// Parses the text of an operator's file.
    ///
    /// # Errors
    /// The field and the reason.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut top = Fields::parse(text)?;
        let msgpack = top.table("msgpack")?;
        let registrations = top.table("registrations")?.map(Registrations::from_fields).transpose()?;
        let inspect = match top.table("inspect")? {
            Some(mut f) => {
                let socket = f.text("socket", "the path of a socket")?;
                f.expect_empty()?;
                socket.map(PathBuf::from)
            }
            None => None,
        };
        let trace = top.table("trace")?.map(Trace::from_fields).transpose()?.unwrap_or_default();
        let usage = top.table("usage")?.map(UsageSettings::from_fields).transpose()?;
        let members = top.table("members")?.map(members::Table::from_fields).transpose()?;
        let custody = top.table("custody")?.map(custody::Table::from_fields).transpose()?;
        let configuration = top.table("configuration")?.map(configuration::Table::from_fields).transpose()?;
        top.expect_empty()?;
        if registrations.is_some() && configuration.is_some() {
            return Err("configuration: not beside registrations, as both bring servers".to_string());
        }
        let default =
            Self { registrations, inspect, trace, usage, members, configuration, custody, ..Self::default() };
        let Some(mut f) = msgpack else { return Ok(default) };
        let operator = Self {
            msgpack_listen: f.address("listen")?,
            msgpack_shared: f.boolean("shared")?,
            open_calls: f.integer_within("open_calls", 1..=1024, default.open_calls)?,
            calls_per_connection: f.integer_within(
                "calls_per_connection",
                1..=256,
                default.calls_per_connection,
            )?,
            server_kinds: f.names("server_kinds")?,
            server_hosts: f.names("server_hosts")?,
            ..default
        };
        f.expect_empty()?;
        Ok(operator)
    }

    /// The servers marked as speaking MessagePack-RPC.
    pub fn msgpack_servers(&self) -> MsgpackServers {
        let set = |names: &[String]| names.iter().cloned().collect::<HashSet<String>>();
        MsgpackServers { kinds: set(&self.server_kinds), hosts: set(&self.server_hosts) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_empty_file_enables_nothing() {
        assert_eq!(Operator::parse(""), Ok(Operator::default()));
        assert_eq!(Operator::parse("[msgpack]\n"), Ok(Operator::default()));
    }

    #[test]
    fn a_valid_file_is_read_as_written() {
        let text = "[msgpack]\nlisten = '127.0.0.1:9400'\nshared = true\nopen_calls = 64\ncalls_per_connection = 4\n\
                    server_kinds = ['m2']\nserver_hosts = ['s-1', 's-2']\n";
        let operator = Operator::parse(text).expect("good");
        assert_eq!(operator.msgpack_listen, "127.0.0.1:9400".parse().ok());
        assert_eq!(
            (operator.msgpack_shared, operator.open_calls, operator.calls_per_connection),
            (true, 64, 4)
        );
        assert!(
            operator.msgpack_servers().kinds.contains("m2")
                && operator.msgpack_servers().hosts.contains("s-2")
        );
    }

    #[test]
    fn the_example_files_are_valid() {
        assert!(Operator::parse(include_str!("../../../deploy/node.toml")).is_ok());
        let example = Operator::parse(include_str!("../../../deploy/registrations.toml")).expect("good");
        assert_eq!(example.registrations.map(|r| (r.members.len(), r.guard_hold_ms)), Some((3, 400)));
        let example = Operator::parse(include_str!("../../../deploy/usage.toml")).expect("good");
        assert_eq!(example.usage.map(|u| (u.instances.len(), u.window_ms, u.list)), Some((4, 5000, 1)));
    }

    #[test]
    fn an_invalid_table_of_custody_is_refused_with_its_field_and_reason() {
        let example = include_str!("../../../deploy/custody.toml");
        let loaded = Operator::parse(example).expect("good").custody.expect("on");
        assert_eq!((loaded.rosters.epoch, loaded.life_ms, loaded.patience_ms), (1, 30_000, 150));
        let bad = [
            ("name = \"n1\"", "name = \"n0\"", "custody.keeper: a name stands twice"),
            (
                "[[custody.keeper]]\nname = \"n1\"\nzone = \"b\"\n",
                "",
                "custody.keeper: 3 at the least expected, not 2",
            ),
            ("epoch = 1", "epoch = 0", "custody.epoch: a whole number from 1 to 4294967295 expected, not 0"),
            (
                "life_ms = 30000",
                "life_ms = 10",
                "custody.life_ms: a whole number from 1000 to 3600000 expected, not 10",
            ),
            (
                "unguarded = []\nrefused = []",
                "unguarded = ['a']\nrefused = ['a']",
                "custody.refused: a stands in both lists",
            ),
            ("poll_ms = 50", "leader = 1", "custody.leader: no such field"),
        ];
        for (from, to, message) in bad {
            let text = example.replacen(from, to, 1);
            assert_eq!(Operator::parse(&text).expect_err(message), message);
        }
        assert_eq!(
            Operator::parse("[custody]\n").expect_err("no keepers"),
            "custody.keeper: needed, 3 at the least"
        );
    }

    #[test]
    fn an_invalid_table_of_members_is_refused_with_its_field_and_reason() {
        let example = include_str!("../../../deploy/members.toml");
        let loaded = Operator::parse(example).expect("good").members.expect("on");
        assert_eq!((loaded.probe_ms, loaded.seeds.len(), loaded.zone.as_str()), (100, 3, "a"));
        let bad = [
            (
                "seeds = [",
                "seeds = []\nother = [",
                "members.seeds: a list of 1 to 64 IP addresses and ports expected, not []",
            ),
            (
                "probe_ms = 100",
                "probe_ms = 5",
                "members.probe_ms: a whole number from 20 to 10000 expected, not 5",
            ),
            (
                "listen = \"10.0.0.4:9800\"",
                "listen = 3",
                "members.listen: an IP address and port expected, not 3",
            ),
            (
                "10.0.0.4:9800\"\n#",
                "0.0.0.0:9800\"\n#",
                "members.address: needed, as others can't send to 0.0.0.0:9800",
            ),
            ("most = 1000", "most = 1", "members.most: a whole number from 2 to 4096 expected, not 1"),
            ("most = 1000", "leader = true", "members.leader: no such field"),
        ];
        for (from, to, message) in bad {
            let text = example.replacen(from, to, 1);
            assert_eq!(Operator::parse(&text).expect_err(message), message);
        }
    }

    #[test]
    fn an_invalid_table_of_usage_is_refused_with_its_field_and_reason() {
        let one = "[[usage.instance]]\nname = 'n0'\naddress = '127.0.0.1:1'\n";
        let bad = [
            (String::new(), "usage.instances: 1 to 1000 expected, not 0"),
            (one.replace("'n0'", "''"), "usage.instance[0].name: a name expected, not \"\""),
            (
                one.replace("127.0.0.1", "here"),
                "usage.instance[0].address: an IP address and port expected, not \"here:1\"",
            ),
            (
                format!("{one}{one}"),
                "usage.instance[1].name: n0 at 127.0.0.1:1: name or address stands twice",
            ),
            (format!("{one}port = 1\n"), "usage.instance[0].port: no such field"),
            (
                format!("window_ms = 99\n{one}"),
                "usage.window_ms: a whole number from 100 to 3600000 expected, not 99",
            ),
            (format!("exchange_ms = 2000\n{one}"), "usage.exchange_ms: 10 to 1250 expected, not 2000"),
            (format!("gone_ms = 150\n{one}"), "usage.gone_ms: 200 to 3600000 expected, not 150"),
            (format!("peers = 1\n{one}"), "usage.peers: no such field"),
        ];
        for (text, message) in bad {
            let text = format!("[usage]\nsecret = 's'\n{text}");
            assert_eq!(Operator::parse(&text), Err(message.to_string()), "{text}");
        }
        let message = "usage.secret: needed, the path of a file";
        assert_eq!(Operator::parse(&format!("[usage]\n{one}")), Err(message.to_string()));
    }

    #[test]
    fn registrations_are_off_without_their_table_and_have_defaults_with_it() {
        assert_eq!(Operator::parse("").expect("good").registrations, None);
        let text =
            "[registrations]\nmembers = ['127.0.0.1:2181', '[::1]:2181']\nsave = '/var/lib/glenwood/view'\n";
        let loaded = Operator::parse(text).expect("good").registrations.expect("on");
        assert_eq!(
            (loaded.members.len(), loaded.path.as_str(), loaded.replaces_discovery),
            (2, "/servers", false)
        );
        assert_eq!((loaded.guard_hold_ms, loaded.timeout_ms), (0, 2000));
        assert_eq!(loaded.save, Some("/var/lib/glenwood/view".into()));
    }

    #[test]
    fn an_invalid_file_is_refused_with_its_field_and_reason() {
        let bad = [
            ("msgpack = 3", "msgpack: a table expected, not 3"),
            ("[rpc]\n", "rpc: no such field"),
            ("[msgpack]\nlisten = 'here'", "msgpack.listen: an IP address and port expected, not \"here\""),
            ("[msgpack]\nlisten = 9400", "msgpack.listen: an IP address and port expected, not 9400"),
            ("[msgpack]\nshared = 'yes'", "msgpack.shared: true or false expected, not \"yes\""),
            (
                "[msgpack]\nopen_calls = 0",
                "msgpack.open_calls: a whole number from 1 to 1024 expected, not 0",
            ),
            (
                "[msgpack]\nopen_calls = 1025",
                "msgpack.open_calls: a whole number from 1 to 1024 expected, not 1025",
            ),
            (
                "[msgpack]\ncalls_per_connection = -1",
                "msgpack.calls_per_connection: a whole number from 1 to 256 expected, not -1",
            ),
            ("[msgpack]\nserver_kinds = 'm2'", "msgpack.server_kinds: a list of names expected, not \"m2\""),
            ("[msgpack]\nserver_hosts = ['']", "msgpack.server_hosts: a list of names expected, not [\"\"]"),
            ("[inspect]\nsocket = 1", "inspect.socket: the path of a socket expected, not 1"),
            ("[inspect]\npath = 'x'", "inspect.path: no such field"),
            ("[registrations]", "registrations.members: needed where there is a table registrations"),
            (
                "[registrations]\nmembers = []",
                "registrations.members: a list of 1 to 9 IP addresses and ports expected, not []",
            ),
            (
                "[registrations]\nmembers = ['zk1:2181']",
                "registrations.members: a list of 1 to 9 IP addresses and ports expected, not [\"zk1:2181\"]",
            ),
            (
                "[registrations]\nmembers = ['127.0.0.1:2181']\nguard_hold_ms = 401",
                "registrations.guard_hold_ms: a whole number from 0 to 400 expected, not 401",
            ),
            (
                "[registrations]\nmembers = ['127.0.0.1:2181']\nguard_share = 0",
                "registrations.guard_share: a share above 0 and up to 1 expected, not 0",
            ),
            (
                "[registrations]\nmembers = ['127.0.0.1:2181']\ntimeout_ms = 99",
                "registrations.timeout_ms: a whole number from 100 to 60000 expected, not 99",
            ),
            (
                "[registrations]\nmembers = ['127.0.0.1:2181']\npath = '/servers/'",
                "registrations.path: a path such as /servers expected, not \"/servers/\"",
            ),
            (
                "[registrations]\nmembers = ['127.0.0.1:2181']\nsession = 1",
                "registrations.session: no such field",
            ),
            ("[msgpack]\nlissten = '127.0.0.1:1'", "msgpack.lissten: no such field"),
        ];
        for (text, message) in bad {
            assert_eq!(Operator::parse(text), Err(message.to_string()), "{text}");
        }
        let twice = Operator::parse("[msgpack]\nshared = true\nshared = true").expect_err("twice");
        assert!(twice.starts_with("line 3: "), "{twice}");
    }
}
