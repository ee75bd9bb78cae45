//! The adapter: hosts many instances of [`Balancer`] and translates between their events and actions and lines
//! of JSON. It decides nothing.

use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

use serde_json::{json, Map, Value};

use crate::api::*;
use crate::balance::Balancer;

/// A line that cannot be understood.
pub type WireError = String;

type Names = Vec<String>;

struct Instance {
    balancer: Balancer,
    classes: Names,
    tenants: Names,
}

/// All instances that one process hosts.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    tables: BTreeMap<u64, Vec<Entry>>,
    names: Names,
}

fn number(value: &Value, what: &str) -> Result<f64, WireError> {
    value.as_f64().ok_or_else(|| format!("{what}: number expected"))
}

fn whole(value: &Value, what: &str) -> Result<u64, WireError> {
    let float = || value.as_f64().filter(|f| *f >= 0.0 && f.fract() == 0.0).map(|f| f as u64);
    value.as_u64().or_else(float).ok_or_else(|| format!("{what}: whole number expected"))
}

fn optional(value: &Value, what: &str) -> Result<Option<f64>, WireError> {
    if value.is_null() {
        Ok(None)
    } else {
        number(value, what).map(Some)
    }
}

fn text<'a>(value: &'a Value, what: &str) -> Result<&'a str, WireError> {
    value.as_str().ok_or_else(|| format!("{what}: text expected"))
}

fn list<'a>(value: &'a Value, what: &str) -> Result<&'a Vec<Value>, WireError> {
    value.as_array().ok_or_else(|| format!("{what}: array expected"))
}

/// The settings of one object; an absent optional value takes its default, an absent required one is an
/// error.
struct Fields<'a> {
    map: &'a Map<String, Value>,
    path: &'a str,
}

impl<'a> Fields<'a> {
    fn of(value: &'a Value, path: &'a str) -> Result<Self, WireError> {
        let map = value.as_object().ok_or_else(|| format!("{path}: object expected"))?;
        Ok(Self { map, path })
    }

    fn get(&self, key: &str) -> Option<&'a Value> {
        self.map.get(key).filter(|v| !v.is_null())
    }

    fn need(&self, key: &str) -> Result<&'a Value, WireError> {
        self.get(key).ok_or_else(|| format!("{}: {key} is missing", self.path))
    }

    fn number(&self, key: &str) -> Result<f64, WireError> {
        number(self.need(key)?, key)
    }

    fn number_or(&self, key: &str, default: f64) -> Result<f64, WireError> {
        self.get(key).map_or(Ok(default), |v| number(v, key))
    }

    fn flag_or(&self, key: &str, default: bool) -> Result<bool, WireError> {
        let flag = |v: &Value| v.as_bool().ok_or_else(|| format!("{key}: true or false expected"));
        self.get(key).map_or(Ok(default), flag)
    }

    fn list(&self, key: &str) -> Result<&'a [Value], WireError> {
        self.get(key).map_or(Ok(&[]), |v| list(v, key).map(Vec::as_slice))
    }
}

fn class(value: &Value) -> Result<(String, Class, Millis), WireError> {
    let f = Fields::of(value, "Classes")?;
    let group = match f.get("DedupScope").and_then(Value::as_str) {
        Some("all") => Group::All,
        Some("zone") => Group::Zone,
        // The narrowest group is the safe reading of an absent one.
        Some("cell") | None => Group::Cell,
        Some(other) => return Err(format!("DedupScope: {other} is unknown")),
    };
    let effect = match text(f.need("Idempotency")?, "Idempotency")? {
        "pure" => Effect::Safe,
        "token" => Effect::Keyed { group, memory: f.number_or("MemorySpan", 0.0)? },
        "side_effect" => Effect::Unsafe,
        other => return Err(format!("Idempotency: {other} is unknown")),
    };
    let class = Class {
        aim: f.number("Slo")?,
        worth: f.number_or("Value", 1.0)?,
        late_worth: f.number_or("LateValue", 0.0)?,
        effect,
    };
    Ok((text(f.need("Name")?, "Name")?.to_string(), class, f.number_or("Deadline", f64::INFINITY)?))
}

/// What the settings object says: the module's part, and what only a node on sockets needs.
#[derive(Clone, Debug)]
pub struct Told {
    /// The module's settings.
    pub settings: Settings,
    /// The names of the classes, by index.
    pub classes: Vec<String>,
    /// The names of the tenants, by index.
    pub tenants: Vec<String>,
    /// The longest deadline of a class; infinite where one has none.
    pub longest_deadline: Millis,
    /// Servers close connections that have been idle for this long.
    pub keepalive: Millis,
    /// The most requests that may be open at a node.
    pub open_cap: usize,
}

/// Reads the settings object that an instance, or a node on sockets, is given.
///
/// # Errors
/// Names the first field that is missing or malformed.
pub fn told(value: &Value) -> Result<Told, WireError> {
    let f = Fields::of(value, "Options")?;
    let classes = f.list("Classes")?.iter().map(class).collect::<Result<Vec<_>, _>>()?;
    let longest_deadline = classes.iter().map(|c| c.2).fold(0.0, f64::max);
    let (class_names, classes) = classes.into_iter().map(|(name, class, _)| (name, class)).unzip();
    let mut tenants = Vec::new();
    let mut tenant_names = Vec::new();
    for value in f.list("Customers")? {
        let t = Fields::of(value, "Customers")?;
        tenant_names.push(text(t.need("Name")?, "Name")?.to_string());
        tenants.push(Tenant { quota_per_s: t.number("QuotaPerS")? });
    }
    let l = Fields::of(f.need("Limits")?, "Limits")?;
    let r = Fields::of(f.need("Contract")?, "Contract")?;
    let empty = Value::Object(Map::new());
    let g = Fields::of(f.get("Goal").unwrap_or(&empty), "Goal")?;
    let settings = Settings {
        number: whole(f.need("Me")?, "Me")? as usize,
        nodes: whole(f.need("PeersTotal")?, "PeersTotal")? as usize,
        classes,
        tenants,
        over_share_worth: f.number_or("OverShareWorth", 1.0)?,
        goal: Goal {
            worth: g.number_or("Whole", 1.0)? + g.number_or("WorstWindow", 0.0)?,
            worst_class: g.number_or("WorstClass", 0.0)?,
            worst_tenant: g.number_or("WorstTenant", 0.0)?,
        },
        limits: Limits {
            attempts: whole(l.need("AttemptsCap")?, "AttemptsCap")? as usize,
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
            ask_within: r.number_or("AskWithin", 10_000.0)?,
            cold_share: r.number("ColdShare")?,
            warm_within: r.number("WarmWithin")?,
            fall_multiple: r.number("FallMultiple")?,
            fall_window: r.number("Fall")?,
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
        tick: f.number_or("Tick", 1.0)?,
    };
    Ok(Told {
        settings,
        classes: class_names,
        tenants: tenant_names,
        longest_deadline,
        keepalive: l.number_or("Keepalive", 15_000.0)?,
        open_cap: l.number_or("OpenCap", 20_000.0)? as usize,
    })
}

fn outcome(word: &str) -> Result<Outcome, WireError> {
    Ok(match word {
        "done" => Outcome::Done,
        "err" => Outcome::Error,
        "busy" => Outcome::Full,
        "etimedout" => Outcome::TimedOut,
        "econnrefused" => Outcome::ConnectFailed,
        "econnreset" => Outcome::Reset,
        "ecanceled" => Outcome::Cancelled,
        "skipped" => Outcome::NotSent,
        other => return Err(format!("outcome: {other} is unknown")),
    })
}

/// The place of a name in a list; settings and zones are short.
fn index(names: &[String], value: &Value) -> Option<usize> {
    value.as_str().and_then(|name| names.iter().position(|n| n == name))
}

fn action(action: &Action) -> Value {
    match action {
        Action::Send { id, server, timeout } => json!(["SUBMIT_TO", id.0, server.0, timeout.unwrap_or(0.0)]),
        Action::Cancel { id, attempt } => json!(["ABORT_ATTEMPT", id.0, attempt]),
        Action::Refuse { id, stay_away } => json!(["NOT_NOW", id.0, stay_away]),
        Action::Fail(id) => json!(["GIVE_UP", id.0]),
        Action::SetTimer(after) => json!(["WAKE_AT", after, 0]),
        Action::Subscribe => json!(["LISTEN", true]),
        Action::Probe(server) => json!(["TOUCH", server.0]),
    }
}

impl Host {
    /// Reads one batch and gives the reply, without its line end.
    ///
    /// # Errors
    /// Says what is malformed; the line then has no reply, and the host should not be used any further.
    pub fn line(&mut self, line: &str) -> Result<String, WireError> {
        let batch: Value = serde_json::from_str(line).map_err(|e| format!("not JSON: {e}"))?;
        let f = Fields::of(&batch, "batch")?;
        let now = f.number("Time")?;
        let round = whole(f.need("round")?, "round")?;
        let mut parts = Vec::new();
        for part in f.list("parts")? {
            let p = Fields::of(part, "parts")?;
            let number = whole(p.need("I")?, "I")?;
            let mut steps = Vec::new();
            for input in p.list("input")? {
                self.input(now, number, list(input, "input")?, &mut steps)?;
            }
            if !steps.is_empty() {
                parts.push(json!({"I": number, "steps": steps}));
            }
        }
        Ok(json!({"round": round, "parts": parts}).to_string())
    }

    fn input(&mut self, now: f64, me: u64, input: &[Value], steps: &mut Vec<Value>) -> Result<(), WireError> {
        let at = |i: usize| input.get(i).unwrap_or(&Value::Null);
        match text(at(0), "message")? {
            "ROSTER" => {
                let entries = list(at(2), "Members")?.iter().map(|v| self.entry(v));
                let entries = entries.collect::<Result<Vec<_>, _>>()?;
                self.tables.insert(whole(at(1), "Table")?, entries);
            }
            "CREATE" => {
                let Told { settings, classes, tenants, .. } = told(at(2))?;
                let balancer = Balancer::new(settings, whole(at(1), "Prng")?).map_err(|e| e.to_string())?;
                self.instances.insert(me, Instance { balancer, classes, tenants });
            }
            "HALT" => {
                self.instances.remove(&me);
            }
            _ => {
                // What comes for an instance that was killed is void.
                let Some(instance) = self.instances.get_mut(&me) else { return Ok(()) };
                let Some(event) = instance.event(&self.tables, input)? else { return Ok(()) };
                let mut actions = Vec::new();
                let balancer = &mut instance.balancer;
                match catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, &mut actions))) {
                    Ok(()) => steps.extend(actions.iter().map(action)),
                    Err(fault) => {
                        let fixed = fault.downcast_ref::<&str>().map(|s| (*s).to_string());
                        let words = fixed.or_else(|| fault.downcast_ref::<String>().cloned());
                        steps.push(json!(["EXCEPTION", words.unwrap_or_else(|| "panic".to_string())]));
                    }
                }
            }
        }
        Ok(())
    }

    fn entry(&mut self, value: &Value) -> Result<Entry, WireError> {
        let row = list(value, "entry")?;
        let at = |i: usize| row.get(i).unwrap_or(&Value::Null);
        // Zones and kinds are only ever compared: any number that is the same for the same name will do.
        let mut name = |value: &Value| {
            index(&self.names, value).unwrap_or_else(|| {
                self.names.push(value.as_str().unwrap_or_default().to_string());
                self.names.len() - 1
            }) as u64
        };
        let (zone, kind) = (name(at(1)), name(at(2)));
        Ok(Entry {
            server: ServerId(whole(at(0), "Server")?),
            zone,
            cell: if at(3).is_null() { 0 } else { whole(at(3), "Cluster")? },
            kind,
            state: match text(at(4), "Condition")? {
                "on" => Listed::Up,
                "fading" => Listed::Draining,
                "off" => Listed::Gone,
                other => return Err(format!("Condition: {other} is unknown")),
            },
            weight: optional(at(5), "Weight")?.unwrap_or(1.0),
            started: optional(at(6), "LastStart")?.filter(|t| *t != 0.0),
        })
    }
}

impl Instance {
    /// Translates an event; `None` for one that is not known or says nothing.
    fn event(&self, tables: &BTreeMap<u64, Vec<Entry>>, input: &[Value]) -> Result<Option<Event>, WireError> {
        let at = |i: usize| input.get(i).unwrap_or(&Value::Null);
        let id = || whole(at(1), "Corr").map(RequestId);
        let attempt = || whole(at(2), "Try").map(|n| n as usize);
        Ok(Some(match text(at(0), "message")? {
            "TOPOLOGY" => {
                let form = text(at(2), "Form")?;
                if form == "Error" {
                    return Ok(Some(Event::ListFailed));
                }
                let table = whole(at(3), "Table")?;
                let entries =
                    tables.get(&table).ok_or_else(|| format!("Table: {table} was not given"))?.clone();
                match form {
                    "Partial" => Event::ListChange(entries),
                    "Complete" | "Persisted" => Event::List { entries, saved: form == "Persisted" },
                    other => return Err(format!("Form: {other} is unknown")),
                }
            }
            "SUBMIT" => Event::Request {
                id: id()?,
                class: index(&self.classes, at(2)).ok_or_else(|| "Band: unknown".to_string())?,
                tenant: index(&self.tenants, at(3)),
                deadline: number(at(5), "DropDead")?,
            },
            "STREAMING" => Event::Streaming { id: id()?, attempt: attempt()? },
            "RESPONSE" => Event::Ended {
                id: id()?,
                attempt: attempt()?,
                server: ServerId(whole(at(3), "Server")?),
                outcome: outcome(text(at(4), "Outcome")?)?,
                took: number(at(5), "Rtt")?,
                finished: at(6).as_bool().ok_or("Terminal: true or false expected")?,
            },
            "STATUS_BACK" => Event::Probed {
                server: ServerId(whole(at(1), "Server")?),
                outcome: outcome(text(at(2), "Outcome")?)?,
                took: number(at(3), "Rtt")?,
            },
            "GONE" => Event::ClientGone(id()?),
            "WAKE" => Event::Timer,
            _ => return Ok(None),
        }))
    }
}
