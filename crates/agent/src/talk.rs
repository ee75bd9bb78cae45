//! The protocol between operators' programs and an agent: one JSON object on one line as the command, one as
//! the reply.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How long an agent may take to reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// A command to an agent. Commands that change something carry the epoch of the lease under which they are
/// given.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "ask", rename_all = "snake_case", deny_unknown_fields)]
pub enum AgentCommand {
    /// Returns the status of all instances, the change and the lease.
    Status,
    /// Takes or renews the lease, without which nothing can be changed.
    Lease {
        /// Who asks for the lease.
        who: String,
        /// The reason, shown to other operators.
        why: String,
        /// The epoch of the lease; `None` for the next one.
        epoch: Option<u64>,
        /// How long the lease lasts, in milliseconds.
        span_ms: f64,
    },
    /// Releases the lease.
    GiveBack {
        /// The epoch of the lease.
        epoch: u64,
    },
    /// Reads the file with the desired state again and adds the instances that are new in it. They are started
    /// unless the file marks them as stopped.
    Apply {
        /// The epoch of the lease.
        epoch: u64,
    },
    /// Starts or stops an instance.
    Want {
        /// The epoch of the lease.
        epoch: u64,
        /// The name of the instance.
        name: String,
        /// Whether it should run.
        run: bool,
        /// The reason for doing so although the instance is protected, if it is to be overridden.
        force: Option<String>,
    },
    /// Changes instances one after another, in the order of the file with the desired state, to a release and
    /// to their files as they are now.
    Roll {
        /// The epoch of the lease.
        epoch: u64,
        /// The names of the instances; empty for all.
        names: Vec<String>,
        /// The name of the release.
        release: String,
        /// The reason for doing so although some instances are protected, if it is to be overridden.
        force: Option<String>,
    },
    /// Returns the steps that a change would take, without starting it. Names that this agent doesn't have
    /// are ignored.
    Plan {
        /// The names of the instances; empty for all.
        names: Vec<String>,
        /// The name of the release.
        release: String,
    },
    /// Removes a stopped instance from the agent's records.
    Retire {
        /// The epoch of the lease.
        epoch: u64,
        /// The name of the instance.
        name: String,
    },
    /// Rolls back the change in progress.
    Abort {
        /// The epoch of the lease.
        epoch: u64,
    },
    /// Pauses or resumes the change in progress.
    Pause {
        /// The epoch of the lease.
        epoch: u64,
        /// Whether it is paused.
        paused: bool,
    },
    /// Returns the last lines of an instance's log.
    Logs {
        /// The name of the instance.
        name: String,
        /// The number of lines, 1000 at most.
        lines: usize,
    },
    /// Returns the last 1000 lines of the audit trail.
    History,
}

impl AgentCommand {
    /// Whether the command can change the state of the agent or of its instances.
    pub fn is_mutating(&self) -> bool {
        !matches!(self, Self::Status | Self::Plan { .. } | Self::Logs { .. } | Self::History)
    }
}

/// The status of one instance.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct InstanceStatus {
    /// Whether it should run.
    pub run: bool,
    /// The release that it should run.
    pub release: String,
    /// The version of the files that it should run with.
    pub config: String,
    /// The pid of its process, if it has one.
    pub pid: Option<u32>,
    /// The stage that it reports: starting, ready or stopping; `None` if it does not answer.
    pub stage: Option<String>,
    /// The number of requests that it has not answered yet.
    pub open: u64,
    /// The number of requests answered so far.
    pub answered: u64,
    /// The number of these answers that were failures.
    pub failed: u64,
    /// The age of its list of servers, in milliseconds.
    pub list_age_ms: Option<f64>,
    /// Whether the agent has stopped restarting it because it ended too often.
    pub gave_up: bool,
    /// The differences from the desired state, one message each.
    pub drift: Vec<String>,
}

/// The status of an agent.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// The instances, by name.
    pub instances: BTreeMap<String, InstanceStatus>,
    /// The change in progress: a description, the number of instances that are done, and the number of all
    /// its instances.
    pub change: Option<(String, usize, usize)>,
    /// The outcome of the last change and the reason for it.
    pub outcome: Option<(String, String)>,
    /// The holder of the lease and the reason given.
    pub lease: Option<(String, String)>,
    /// The highest epoch of a lease so far.
    pub epoch: u64,
}

/// The reply to a command.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The status of the agent.
    Status(Box<Status>),
    /// The lease is granted, under this epoch.
    Granted(u64),
    /// The command was carried out or has started; with a message for the operator.
    Done(String),
    /// The command was refused, with the reason.
    Refused(String),
    /// The lines of a plan, a log or the audit trail.
    Lines(Vec<String>),
}

/// Sends one command to the agent at a socket and returns its reply.
///
/// # Errors
/// If the agent can't be reached, or does not send a valid reply in time.
pub fn send_command(socket: &Path, command: &AgentCommand) -> Result<Reply, String> {
    let with_path = |e: std::io::Error| format!("{}: {e}", socket.display());
    let mut stream = UnixStream::connect(socket).map_err(with_path)?;
    stream.set_read_timeout(Some(REPLY_TIMEOUT)).map_err(with_path)?;
    let mut line = serde_json::to_vec(command).map_err(|e| e.to_string())?;
    line.push(b'\n');
    stream.write_all(&line).map_err(with_path)?;
    let mut reply = String::new();
    BufReader::new(stream).read_line(&mut reply).map_err(with_path)?;
    serde_json::from_str(&reply).map_err(|e| format!("{}: {e}", socket.display()))
}
