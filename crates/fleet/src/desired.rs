//! What is desired of the instances of one machine: the operators' file, checked when it is read.

use std::collections::{BTreeMap, BTreeSet};

use glenwood_fields::{Fields, Value};

/// A program that instances can run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    /// Its file.
    pub path: String,
    /// The digest of that file: SHA-256 in hex digits. A file with another is not started.
    pub sha256: String,
    /// Arguments before its own.
    pub arguments: Vec<String>,
}

/// One instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its name, the same after each restart.
    pub name: String,
    /// The group that it can be named by.
    pub group: String,
    /// Which release it runs.
    pub release: String,
    /// Its configuration's file.
    pub config: String,
    /// The operator's file that it gets, if any.
    pub operator: Option<String>,
    /// Where it stands in changes: the lower goes first; equal ones by name.
    pub order: usize,
    /// It is not to run.
    pub stopped: bool,
}

/// What is not to be stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Protect {
    /// Instances, by name.
    pub names: BTreeSet<String>,
    /// Instances, by group.
    pub groups: BTreeSet<String>,
    /// On which days, 0 for Monday; every day where it is empty.
    pub days: BTreeSet<u8>,
    /// From which minute of the day ...
    pub from: u16,
    /// ... to which, not included.
    pub to: u16,
}

/// How instances are kept, and changed.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// How many may be out at once in a change, 1 at least.
    pub max_unavailable: usize,
    /// How long a change rests between two instances, in milliseconds.
    pub pause_ms: usize,
    /// How soon after its start an instance must be ready, in milliseconds.
    pub ready_within_ms: usize,
    /// How long after SIGTERM it is killed, in milliseconds.
    pub stop_within_ms: usize,
    /// How long the first restart waits, in milliseconds; twice that each time.
    pub backoff_ms: usize,
    /// How often it may end by itself within the window before no more is tried.
    pub restarts_most: usize,
    /// That window, in milliseconds.
    pub restart_window_ms: usize,
    /// How many requests a new instance must have answered before it is compared with its peers.
    pub canary_requests: usize,
    /// How long it is waited for these, in milliseconds; with fewer the change goes on, as nothing speaks against it.
    pub canary_ms: usize,
}

/// The whole file.
#[derive(Clone, Debug, PartialEq)]
pub struct Desired {
    /// How instances are kept, and changed.
    pub rules: Rules,
    /// Releases, by name.
    pub releases: BTreeMap<String, Release>,
    /// What is not to be stopped.
    pub protect: Vec<Protect>,
    /// Instances, in the order of changes.
    pub instances: Vec<Instance>,
}

const DAYS: [&str; 7] = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"];
/// Names become parts of paths, and of commands.
const NAME: &str = "1 to 64 of a to z, 0 to 9, - and _";

/// Is this a name of an instance, a group or a release?
pub fn is_name(text: &str) -> bool {
    let good = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '_';
    (1..=64).contains(&text.len()) && text.chars().all(good)
}

fn name(f: &mut Fields, key: &str, default: Option<&str>) -> Result<String, String> {
    let read = |v: Value| v.as_str().filter(|t| is_name(t)).map(str::to_string);
    match default {
        Some(default) => Ok(f.take(key, NAME, read)?.unwrap_or_else(|| default.to_string())),
        None => f.need(key, NAME, read),
    }
}

/// A time of day, as minutes.
fn minute(text: &str) -> Option<u16> {
    let (hours, minutes) = text.split_once(':')?;
    let two = |part: &str| (part.len() == 2).then(|| part.parse::<u16>().ok()).flatten();
    let (hours, minutes) = (two(hours)?, two(minutes)?);
    let at = hours * 60 + minutes;
    (minutes < 60 && at <= 24 * 60).then_some(at)
}

impl Desired {
    /// Reads the text of the file.
    ///
    /// # Errors
    /// One line: the field and the reason.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut top = Fields::parse(text)?;
        let rules = Self::rules(top.table("fleet")?)?;
        let mut releases = BTreeMap::new();
        for (key, mut f) in top.table("releases")?.map(Fields::rest).transpose()?.unwrap_or_default() {
            if !is_name(&key) {
                return Err(format!("releases: {NAME} expected, not {key:?}"));
            }
            let hex = |t: &str| {
                t.len() == 64 && t.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
            };
            let digest = |v: Value| v.as_str().filter(|t| hex(t)).map(str::to_string);
            let path = |v: Value| v.as_str().filter(|t| t.starts_with('/')).map(str::to_string);
            let release = Release {
                path: f.need("path", "a path that begins with /", path)?,
                sha256: f.need("sha256", "64 hex digits in lower case", digest)?,
                arguments: f.names("arguments")?,
            };
            f.end()?;
            releases.insert(key, release);
        }
        let mut instances: Vec<Instance> = Vec::new();
        for mut f in top.tables("instance")? {
            let instance = Instance {
                name: name(&mut f, "name", None)?,
                group: name(&mut f, "group", Some("all"))?,
                release: name(&mut f, "release", None)?,
                config: f
                    .text("config", "the path of a file")?
                    .ok_or_else(|| format!("{}: needed, the path of a file", f.name("config")))?,
                operator: f.text("operator", "the path of a file")?,
                order: f.within("order", 0..=1_000_000, 0)?,
                stopped: f.switch("stopped")?,
            };
            if !releases.contains_key(&instance.release) {
                return Err(format!("{}: there is no release {:?}", f.name("release"), instance.release));
            }
            if instances.iter().any(|other| other.name == instance.name) {
                return Err(format!("{}: {:?} is there twice", f.name("name"), instance.name));
            }
            f.end()?;
            instances.push(instance);
        }
        instances.sort_by(|a, b| a.order.cmp(&b.order).then_with(|| a.name.cmp(&b.name)));
        let mut protect = Vec::new();
        for f in top.tables("protect")? {
            protect.push(Self::protect(f, &instances)?);
        }
        top.end()?;
        if rules.max_unavailable > instances.len().max(1) {
            let (most, count) = (rules.max_unavailable, instances.len());
            return Err(format!("fleet.max_unavailable: {most} of {count} instances"));
        }
        Ok(Self { rules, releases, protect, instances })
    }

    fn rules(table: Option<Fields>) -> Result<Rules, String> {
        let mut f = match table {
            Some(f) => f,
            None => Fields::parse("")?,
        };
        let hour = 3_600_000;
        let rules = Rules {
            max_unavailable: f.within("max_unavailable", 1..=1000, 1)?,
            pause_ms: f.within("pause_ms", 0..=hour, 1000)?,
            ready_within_ms: f.within("ready_within_ms", 100..=hour, 10_000)?,
            stop_within_ms: f.within("stop_within_ms", 100..=hour, 10_000)?,
            backoff_ms: f.within("backoff_ms", 10..=hour, 200)?,
            restarts_most: f.within("restarts_most", 0..=1000, 5)?,
            restart_window_ms: f.within("restart_window_ms", 1000..=24 * hour, 60_000)?,
            canary_requests: f.within("canary_requests", 0..=1_000_000, 200)?,
            canary_ms: f.within("canary_ms", 0..=hour, 5000)?,
        };
        f.end()?;
        Ok(rules)
    }

    fn protect(mut f: Fields, instances: &[Instance]) -> Result<Protect, String> {
        let set = |names: Vec<String>| names.into_iter().collect::<BTreeSet<String>>();
        let (names, groups) = (set(f.names("names")?), set(f.names("groups")?));
        if names.is_empty() && groups.is_empty() {
            return Err(format!("{}: names or groups are needed", f.name("names")));
        }
        if let Some(name) = names.iter().find(|n| !instances.iter().any(|i| i.name == **n)) {
            return Err(format!("{}: there is no instance {name:?}", f.name("names")));
        }
        if let Some(group) = groups.iter().find(|g| !instances.iter().any(|i| i.group == **g)) {
            return Err(format!("{}: there is no group {group:?}", f.name("groups")));
        }
        let mut days = BTreeSet::new();
        for day in f.names("days")? {
            let at = DAYS.iter().position(|d| *d == day);
            let at =
                at.ok_or_else(|| format!("{}: mon, tue, ... or sun expected, not {day:?}", f.name("days")))?;
            days.insert(at as u8);
        }
        let time = |v: Value| v.as_str().and_then(minute);
        let want = "a time of day such as \"06:30\"";
        let from = f.take("from", want, time)?.unwrap_or(0);
        let to = f.take("to", want, time)?.unwrap_or(24 * 60);
        if from >= to {
            return Err(format!("{}: later than from expected", f.name("to")));
        }
        f.end()?;
        Ok(Protect { names, groups, days, from, to })
    }

    /// The instance of that name.
    pub fn instance(&self, name: &str) -> Option<&Instance> {
        self.instances.iter().find(|i| i.name == name)
    }

    /// What forbids to stop this instance at that local time: the day, 0 for Monday, and the minute of the day.
    pub fn protected(&self, name: &str, day: u8, minute: u16) -> Option<&Protect> {
        let instance = self.instance(name)?;
        self.protect.iter().find(|p| {
            let meant = p.names.contains(name) || p.groups.contains(&instance.group);
            meant && (p.days.is_empty() || p.days.contains(&day)) && (p.from..p.to).contains(&minute)
        })
    }
}
