//! Hosts many instances of [`Balancer`] and translates between JSON lines and their events and actions. It
//! makes no decisions of its own.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::panic::{catch_unwind, AssertUnwindSafe};

use glenwood_policy::*;
use glenwood_settings::fields::{array, integer, number, optional_number, text, Fields};
use glenwood_settings::NodeSettings;
use serde_json::{json, Value};

/// An error message about a malformed line.
pub type WireError = String;

type Names = Vec<String>;

struct Instance {
    balancer: Balancer,
    classes: Names,
    tenants: Names,
}

/// All instances hosted by the process.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    tables: BTreeMap<u64, Vec<Entry>>,
    names: Names,
}

fn read_outcome(token: &str) -> Result<Outcome, WireError> {
    Ok(match token {
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

/// The key that links a client's repeat to the original request: a hash of class, tenant, key and hint, which
/// are the same in each.
fn repeat_key(submit: &[Value], hint: f64) -> u64 {
    let mut hash = DefaultHasher::new();
    for part in submit.get(2..5).into_iter().flatten() {
        part.as_str().hash(&mut hash);
    }
    hint.to_bits().hash(&mut hash);
    hash.finish()
}

/// The index of a name. A linear search suffices, as the lists are short.
fn index_of(names: &[String], value: &Value) -> Option<usize> {
    value.as_str().and_then(|name| names.iter().position(|n| n == name))
}

/// Converts an action to the message for the simulator; `None` if there is none for it.
fn action_message(action: &Action) -> Option<Value> {
    Some(match action {
        Action::Send { id, server, timeout } => json!(["SUBMIT_TO", id.0, server.0, timeout.unwrap_or(0.0)]),
        Action::Cancel { id, attempt } => json!(["ABORT_ATTEMPT", id.0, attempt]),
        Action::Explain { .. } => return None,
        Action::Refuse { id, retry_after } => json!(["NOT_NOW", id.0, retry_after]),
        Action::Fail(id) => json!(["GIVE_UP", id.0]),
        Action::SetTimer(after) => json!(["WAKE_AT", after, 0]),
        Action::Subscribe => json!(["LISTEN", true]),
        Action::Probe(server) => json!(["TOUCH", server.0]),
    })
}

impl Host {
    /// Processes one batch and returns the reply line, without a line break.
    ///
    /// # Errors
    /// Names what is malformed. The batch may have been applied in part, so the host should not be used any
    /// further.
    pub fn process_batch(&mut self, line: &str) -> Result<String, WireError> {
        let batch: Value = serde_json::from_str(line).map_err(|e| format!("not JSON: {e}"))?;
        let f = Fields::of(&batch, "batch")?;
        let now = f.number("Time")?;
        let round = integer(f.required("round")?, "round")?;
        let mut parts = Vec::new();
        for part in f.array("parts")? {
            let p = Fields::of(part, "parts")?;
            let number = integer(p.required("I")?, "I")?;
            let mut steps = Vec::new();
            for input in p.array("input")? {
                self.input(now, number, array(input, "input")?, &mut steps)?;
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
                let entries = array(at(2), "Members")?.iter().map(|v| self.entry(v));
                let entries = entries.collect::<Result<Vec<_>, _>>()?;
                self.tables.insert(integer(at(1), "Table")?, entries);
            }
            "CREATE" => {
                let NodeSettings { policy: settings, classes, tenants, .. } =
                    NodeSettings::from_value(at(2))?;
                let balancer = Balancer::new(settings, integer(at(1), "Prng")?).map_err(|e| e.to_string())?;
                self.instances.insert(me, Instance { balancer, classes, tenants });
            }
            "HALT" => {
                self.instances.remove(&me);
            }
            _ => {
                // Messages for an instance that was removed are ignored.
                let Some(instance) = self.instances.get_mut(&me) else { return Ok(()) };
                let Some(event) = instance.event(&self.tables, input)? else { return Ok(()) };
                let mut actions = Vec::new();
                let balancer = &mut instance.balancer;
                match catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, &mut actions))) {
                    Ok(()) => steps.extend(actions.iter().filter_map(action_message)),
                    Err(panic) => {
                        let literal = panic.downcast_ref::<&str>().map(|s| (*s).to_string());
                        let message = literal.or_else(|| panic.downcast_ref::<String>().cloned());
                        steps.push(json!(["EXCEPTION", message.unwrap_or_else(|| "panic".to_string())]));
                    }
                }
            }
        }
        Ok(())
    }

    fn entry(&mut self, value: &Value) -> Result<Entry, WireError> {
        let row = array(value, "entry")?;
        let at = |i: usize| row.get(i).unwrap_or(&Value::Null);
        // Zones and kinds are only compared for equality, so any number unique to the name will do.
        let mut name_id = |value: &Value| {
            index_of(&self.names, value).unwrap_or_else(|| {
                self.names.push(value.as_str().unwrap_or_default().to_string());
                self.names.len() - 1
            }) as u64
        };
        let (zone, kind) = (name_id(at(1)), name_id(at(2)));
        let server = ServerId(integer(at(0), "Server")?);
        // A server whose cell is unknown shares its memory of keys with no other.
        let cell = if at(3).is_null() { u64::MAX - server.0 } else { integer(at(3), "Cluster")? };
        Ok(Entry {
            server,
            zone,
            cell,
            kind,
            state: match text(at(4), "Condition")? {
                "on" => Listed::Up,
                "fading" => Listed::Draining,
                "off" => Listed::Gone,
                other => return Err(format!("Condition: {other} is unknown")),
            },
            weight: optional_number(at(5), "Weight")?.unwrap_or(1.0),
            started_at: optional_number(at(6), "LastStart")?.filter(|t| *t != 0.0),
        })
    }
}

impl Instance {
    /// Translates a message to an event; `None` for an unknown message.
    fn event(&self, tables: &BTreeMap<u64, Vec<Entry>>, input: &[Value]) -> Result<Option<Event>, WireError> {
        let at = |i: usize| input.get(i).unwrap_or(&Value::Null);
        let id = || integer(at(1), "Corr").map(RequestId);
        let attempt = || integer(at(2), "Try").map(|n| n as usize);
        // The lowest bit of the flags tells whether the hint is valid.
        let hint = at(6).as_f64().filter(|_| at(7).as_u64().unwrap_or(0) & 1 == 1);
        Ok(Some(match text(at(0), "message")? {
            "TOPOLOGY" => {
                let form = text(at(2), "Form")?;
                if form == "Error" {
                    return Ok(Some(Event::ListFailed(ListFailure::Unanswered)));
                }
                let table = integer(at(3), "Table")?;
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
                class: index_of(&self.classes, at(2)).ok_or_else(|| "Band: unknown".to_string())?,
                tenant: index_of(&self.tenants, at(3)),
                deadline: number(at(5), "DropDead")?,
                repeat_key: hint.map(|hint| repeat_key(input, hint)),
                work: hint,
                in_share: None,
                prior_attempts: None,
            },
            "STREAMING" => Event::Streaming { id: id()?, attempt: attempt()? },
            "RESPONSE" => Event::Ended {
                id: id()?,
                attempt: attempt()?,
                server: ServerId(integer(at(3), "Server")?),
                outcome: read_outcome(text(at(4), "Outcome")?)?,
                duration: number(at(5), "Rtt")?,
                finished: at(6).as_bool().ok_or("Terminal: true or false expected")?,
            },
            "STATUS_BACK" => Event::Probed {
                server: ServerId(integer(at(1), "Server")?),
                outcome: read_outcome(text(at(2), "Outcome")?)?,
                duration: number(at(3), "Rtt")?,
            },
            "GONE" => Event::ClientGone(id()?),
            "WAKE" => Event::Timer,
            _ => return Ok(None),
        }))
    }
}
