//! The desired state of one machine's instances: parses and validates the operators' file.

use std::collections::{BTreeMap, BTreeSet};

use glenwood_fields::{Fields, Value};

/// A program that instances can run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    /// The path of the executable.
    pub path: String,
    /// The executable's SHA-256 digest in hexadecimal. A file with another digest is not started.
    pub sha256: String,
    /// Arguments that precede those of the instance.
    pub arguments: Vec<String>,
}

/// One instance that should exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// The name, which stays the same across restarts.
    pub name: String,
    /// The group through which commands and protections can select it.
    pub group: String,
    /// The name of the release that it runs.
    pub release: String,
    /// The path of its configuration file.
    pub config: String,
    /// The path of the operator's file passed to it, if any.
    pub operator: Option<String>,
    /// The position in changes: lower values go first, equal ones by name.
    pub order: usize,
    /// Whether it should not run.
    pub stopped: bool,
}

/// A period in which certain instances must not be stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Protect {
    /// Names of the protected instances.
    pub names: BTreeSet<String>,
    /// Groups whose instances are protected.
    pub groups: BTreeSet<String>,
    /// The days of the week, 0 for Monday; empty for every day.
    pub days: BTreeSet<u8>,
    /// The first protected minute of the day.
    pub from: u16,
    /// The end of the period, a minute of the day that is not included.
    pub to: u16,
}

/// Settings for supervising and changing instances.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// The maximum number of instances unavailable at once during a change, at least 1.
    pub max_unavailable: usize,
    /// The pause of a change between two instances, in milliseconds.
    pub pause_ms: usize,
    /// The time within which a started instance must be ready, in milliseconds.
    pub ready_within_ms: usize,
    /// The time after SIGTERM at which an instance is killed, in milliseconds.
    pub stop_within_ms: usize,
    /// The delay of the first restart, in milliseconds; it doubles with each further one.
    pub backoff_ms: usize,
    /// The number of unexpected exits within the window that are tolerated; one more and the instance is not
    /// restarted.
    pub max_restarts: usize,
    /// The window for `max_restarts`, in milliseconds.
    pub restart_window_ms: usize,
    /// The number of requests that a changed instance must answer before it is compared with its peers; 0
    /// disables the comparison.
    pub canary_requests: usize,
    /// The time to wait for these requests, in milliseconds. With fewer requests after that time the change
    /// continues.
    pub canary_ms: usize,
}

/// The complete file.
#[derive(Clone, Debug, PartialEq)]
pub struct Desired {
    /// Settings for supervising and changing instances.
    pub rules: Rules,
    /// The releases, by name.
    pub releases: BTreeMap<String, Release>,
    /// Periods in which instances must not be stopped.
    pub protect: Vec<Protect>,
    /// The instances, in the order in which changes visit them.
    pub instances: Vec<Instance>,
}

/// Names of the days of the week in the file.
const DAYS: [&str; 7] = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"];
/// The description of a valid name; names become parts of paths and commands.
const NAME_FORMAT: &str = "1 to 64 of a to z, 0 to 9, - and _";

/// Whether `text` is a valid name for an instance, a group or a release.
pub fn is_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '_';
    (1..=64).contains(&text.len()) && text.chars().all(is_allowed)
}

fn parse_name(f: &mut Fields, key: &str, default: Option<&str>) -> Result<String, String> {
    let read = |v: Value| v.as_str().filter(|t| is_name(t)).map(str::to_string);
    match default {
        Some(default) => Ok(f.optional(key, NAME_FORMAT, read)?.unwrap_or_else(|| default.to_string())),
        None => f.required(key, NAME_FORMAT, read),
    }
}

/// Parses a time of day (`HH:MM`, up to 24:00) into minutes since midnight.
fn parse_minute(text: &str) -> Option<u16> {
    let (hours, minutes) = text.split_once(':')?;
    let two_digits = |part: &str| (part.len() == 2).then(|| part.parse::<u16>().ok()).flatten();
    let (hours, minutes) = (two_digits(hours)?, two_digits(minutes)?);
    let total = hours * 60 + minutes;
    (minutes < 60 && total <= 24 * 60).then_some(total)
}

impl Desired {
    /// Parses and validates the text of the file.
    ///
    /// # Errors
    /// A one-line message that names the field and the reason.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut top = Fields::parse(text)?;
        let rules = Self::parse_rules(top.table("fleet")?)?;
        let mut releases = BTreeMap::new();
        for (key, mut f) in
            top.table("releases")?.map(Fields::remaining_tables).transpose()?.unwrap_or_default()
        {
            if !is_name(&key) {
                return Err(format!("releases: {NAME_FORMAT} expected, not {key:?}"));
            }
            let is_hex_digest = |t: &str| {
                t.len() == 64 && t.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
            };
            let digest = |v: Value| v.as_str().filter(|t| is_hex_digest(t)).map(str::to_string);
            let path = |v: Value| v.as_str().filter(|t| t.starts_with('/')).map(str::to_string);
            let release = Release {
                path: f.required("path", "a path that begins with /", path)?,
                sha256: f.required("sha256", "64 hex digits in lower case", digest)?,
                arguments: f.names("arguments")?,
            };
            f.expect_empty()?;
            releases.insert(key, release);
        }
        let mut instances: Vec<Instance> = Vec::new();
        for mut f in top.tables("instance")? {
            let instance = Instance {
                name: parse_name(&mut f, "name", None)?,
                group: parse_name(&mut f, "group", Some("all"))?,
                release: parse_name(&mut f, "release", None)?,
                config: f
                    .text("config", "the path of a file")?
                    .ok_or_else(|| format!("{}: needed, the path of a file", f.full_name("config")))?,
                operator: f.text("operator", "the path of a file")?,
                order: f.integer_within("order", 0..=1_000_000, 0)?,
                stopped: f.boolean("stopped")?,
            };
            if !releases.contains_key(&instance.release) {
                return Err(format!(
                    "{}: there is no release {:?}",
                    f.full_name("release"),
                    instance.release
                ));
            }
            if instances.iter().any(|other| other.name == instance.name) {
                return Err(format!("{}: {:?} is there twice", f.full_name("name"), instance.name));
            }
            f.expect_empty()?;
            instances.push(instance);
        }
        instances.sort_by(|a, b| a.order.cmp(&b.order).then_with(|| a.name.cmp(&b.name)));
        let mut protect = Vec::new();
        for f in top.tables("protect")? {
            protect.push(Self::parse_protect(f, &instances)?);
        }
        top.expect_empty()?;
        if rules.max_unavailable > instances.len().max(1) {
            let (limit, count) = (rules.max_unavailable, instances.len());
            return Err(format!("fleet.max_unavailable: {limit} of {count} instances"));
        }
        Ok(Self { rules, releases, protect, instances })
    }

    fn parse_rules(table: Option<Fields>) -> Result<Rules, String> {
        let mut f = match table {
            Some(f) => f,
            None => Fields::parse("")?,
        };
        let hour_ms = 3_600_000;
        let rules = Rules {
            max_unavailable: f.integer_within("max_unavailable", 1..=1000, 1)?,
            pause_ms: f.integer_within("pause_ms", 0..=hour_ms, 1000)?,
            ready_within_ms: f.integer_within("ready_within_ms", 100..=hour_ms, 10_000)?,
            stop_within_ms: f.integer_within("stop_within_ms", 100..=hour_ms, 10_000)?,
            backoff_ms: f.integer_within("backoff_ms", 10..=hour_ms, 200)?,
            max_restarts: f.integer_within("restarts_most", 0..=1000, 5)?,
            restart_window_ms: f.integer_within("restart_window_ms", 1000..=24 * hour_ms, 60_000)?,
            canary_requests: f.integer_within("canary_requests", 0..=1_000_000, 200)?,
            canary_ms: f.integer_within("canary_ms", 0..=hour_ms, 5000)?,
        };
        f.expect_empty()?;
        Ok(rules)
    }

    fn parse_protect(mut f: Fields, instances: &[Instance]) -> Result<Protect, String> {
        let set = |names: Vec<String>| names.into_iter().collect::<BTreeSet<String>>();
        let (names, groups) = (set(f.names("names")?), set(f.names("groups")?));
        if names.is_empty() && groups.is_empty() {
            return Err(format!("{}: names or groups are needed", f.full_name("names")));
        }
        if let Some(name) = names.iter().find(|n| !instances.iter().any(|i| i.name == **n)) {
            return Err(format!("{}: there is no instance {name:?}", f.full_name("names")));
        }
        if let Some(group) = groups.iter().find(|g| !instances.iter().any(|i| i.group == **g)) {
            return Err(format!("{}: there is no group {group:?}", f.full_name("groups")));
        }
        let mut days = BTreeSet::new();
        for day in f.names("days")? {
            let index = DAYS.iter().position(|d| *d == day);
            let index = index.ok_or_else(|| {
                format!("{}: mon, tue, ... or sun expected, not {day:?}", f.full_name("days"))
            })?;
            days.insert(index as u8);
        }
        let time = |v: Value| v.as_str().and_then(parse_minute);
        let expected = "a time of day such as \"06:30\"";
        let from = f.optional("from", expected, time)?.unwrap_or(0);
        let to = f.optional("to", expected, time)?.unwrap_or(24 * 60);
        if from >= to {
            return Err(format!("{}: later than from expected", f.full_name("to")));
        }
        f.expect_empty()?;
        Ok(Protect { names, groups, days, from, to })
    }

    /// The instance with this name.
    pub fn instance(&self, name: &str) -> Option<&Instance> {
        self.instances.iter().find(|i| i.name == name)
    }

    /// The protection that forbids stopping this instance at a local time, given as the day of the week (0
    /// for Monday) and the minute of the day.
    pub fn protected(&self, name: &str, day: u8, minute: u16) -> Option<&Protect> {
        let instance = self.instance(name)?;
        self.protect.iter().find(|p| {
            let is_selected = p.names.contains(name) || p.groups.contains(&instance.group);
            is_selected && (p.days.is_empty() || p.days.contains(&day)) && (p.from..p.to).contains(&minute)
        })
    }
}
