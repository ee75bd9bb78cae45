//! The agent's event loop. It feeds the core (`glenwood_fleet::agent::Agent`) with the exits of processes,
//! the reports of instances, timeouts and operators' commands, and carries out what the core decides.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use glenwood_fleet::agent::{self, Agent, CommandError, Output};
use glenwood_fleet::audit::digest;
use glenwood_fleet::book::{Fact, Target};
use glenwood_fleet::desired::Desired;
use glenwood_fleet::lease::{Holder, LeaseError};
use serde::Deserialize;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, oneshot};

use crate::disk::{self, Audit, Journal};
use crate::process;
use crate::talk::{AgentCommand, InstanceStatus, Reply, Status};

/// The interval at which instances are asked for their reports. Processes that this agent adopted, for which
/// it gets no exit status, are checked for being alive at the same interval.
const INSPECT_INTERVAL: Duration = Duration::from_millis(100);
/// How long an instance may take to send its report.
const INSPECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay before a fact that could not be written to the journal is written again.
const JOURNAL_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The longest command line that is read from an operator's program, and the longest report from an instance.
const MAX_MESSAGE_BYTES: u64 = 64 * 1024;
/// How long a connection of an operator's program may last.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);

/// The report of an instance on its own state: the fields that the agent uses.
#[derive(Clone, Debug, Default, Deserialize)]
struct Report {
    token: Option<String>,
    release: Option<String>,
    config: Option<String>,
    stage: String,
    open: u64,
    answered: u64,
    failed: u64,
    list_age_ms: Option<f64>,
}

/// An event from one of the tasks beside the event loop.
enum Event {
    /// A process that this agent started has ended.
    Exited { name: String, token: u64, code: Option<i32> },
    /// An instance was asked for its report; `None` if it did not answer.
    Inspected { name: String, token: u64, report: Option<Report> },
    /// An operator's program has sent a command.
    CommandReceived { command: AgentCommand, peer: String, reply_sender: oneshot::Sender<Reply> },
}

/// The time now, in milliseconds since the Unix epoch.
fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1000.0)
}

/// The day of the week, 0 for Monday, and the minute of the day, in UTC.
fn weekday_and_minute(unix_ms: f64) -> (u8, u16) {
    let minutes = (unix_ms / 60_000.0) as u64;
    // The first of January 1970 was a Thursday.
    (((minutes / 1440 + 3) % 7) as u8, (minutes % 1440) as u16)
}

/// Logs one line to standard error. Errors are ignored: the agent goes on when the log's disk is full or its
/// pipe is closed.
fn log_line(message: &str) {
    let _ = writeln!(io::stderr(), "{message}");
}

/// A running agent.
pub struct Service {
    folder: PathBuf,
    /// The lock that keeps a second agent out of the folder, for as long as this one exists.
    _lock: std::fs::File,
    /// The file with the desired state.
    desired_path: PathBuf,
    desired: Desired,
    journal: Journal,
    audit: Audit,
    agent: Agent,
    started_at: Instant,
    events: mpsc::UnboundedSender<Event>,
    event_receiver: mpsc::UnboundedReceiver<Event>,
    /// The last report of each instance; none if it did not answer the last time.
    reports: BTreeMap<String, Report>,
    /// Tokens of the child processes of this agent, whose exits it waits for.
    child_tokens: Vec<u64>,
    /// A fact that could not be written to the journal yet. Later outputs of the core are not carried out
    /// before it is written.
    unwritten_fact: Option<Fact>,
    /// Replies to commands that change something, sent once all facts are written.
    pending_replies: Vec<(oneshot::Sender<Reply>, Reply)>,
    /// The digests of release files by path, each valid for one length and modification time of the file.
    digests: BTreeMap<PathBuf, ((u64, Option<SystemTime>), String)>,
}

/// Reads and parses the file with the desired state.
fn read_desired(file: &Path) -> Result<Desired, String> {
    let with_path = |message: String| format!("{}: {message}", file.display());
    let text = std::fs::read_to_string(file).map_err(|e| with_path(e.to_string()))?;
    Desired::parse(&text).map_err(with_path)
}

impl Service {
    /// Opens an agent in `folder`, with the desired state read from `file`, and adopts the instances that are
    /// running.
    ///
    /// # Errors
    /// A message of one line if another agent uses the folder, or a file can't be read or is damaged.
    pub fn open(folder: &Path, file: &Path) -> Result<Self, String> {
        std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let folder = folder.canonicalize().map_err(|e| format!("{}: {e}", folder.display()))?;
        let with_path = |e: io::Error| format!("{}: {e}", folder.display());
        let lock = std::fs::File::create(folder.join("lock")).map_err(with_path)?;
        rustix::fs::flock(&lock, rustix::fs::FlockOperation::NonBlockingLockExclusive)
            .map_err(|_| format!("{}: another agent has this folder", folder.display()))?;
        let desired = read_desired(file)?;
        let (journal, state) = Journal::open(&folder).map_err(with_path)?;
        let audit = Audit::open(&folder).map_err(with_path)?;
        let started_at = Instant::now();
        let seed = u64::from(std::process::id());
        let mut agent = Agent::new(0.0, desired.rules.clone(), state, seed);
        agent.adopt(0.0, &process::find_running(&folder));
        let (events, event_receiver) = mpsc::unbounded_channel();
        Ok(Self {
            folder,
            _lock: lock,
            desired_path: file.to_path_buf(),
            desired,
            journal,
            audit,
            agent,
            started_at,
            events,
            event_receiver,
            reports: BTreeMap::new(),
            child_tokens: Vec::new(),
            unwritten_fact: None,
            pending_replies: Vec::new(),
            digests: BTreeMap::new(),
        })
    }

    /// The time since the start of the agent in milliseconds: the clock of the core.
    fn now_ms(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1000.0
    }

    /// Runs until SIGTERM or SIGINT. The instances keep running.
    ///
    /// # Errors
    /// A message of one line if the socket or the signal handlers can't be set up.
    pub async fn run(mut self) -> Result<(), String> {
        let path = self.folder.join("agent.sock");
        let with_path = |e: io::Error| format!("{}: {e}", path.display());
        // Removes the socket left by an earlier agent. It is not in use: the lock excludes a second agent.
        let _ = std::fs::remove_file(&path);
        let listener = UnixListener::bind(&path).map_err(with_path)?;
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o600)).map_err(with_path)?;
        tokio::task::spawn_local(serve(listener, self.events.clone()));
        let mut terminate = signal(SignalKind::terminate()).map_err(with_path)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(with_path)?;
        log_line(&format!("agent listens at {}", path.display()));
        let mut inspect_timer = tokio::time::interval(INSPECT_INTERVAL);
        inspect_timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            self.process_outputs();
            let due = self
                .agent
                .poll_timeout()
                .map(|at| self.started_at + Duration::from_secs_f64(at.max(0.0) / 1000.0));
            let timer = async {
                match due {
                    // At least 5 ms, so that a timeout that stays due while it waits for something else does
                    // not cause a busy loop.
                    Some(due) => {
                        tokio::time::sleep_until(due.max(Instant::now() + Duration::from_millis(5)).into())
                            .await
                    }
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = timer => {
                    let now = self.now_ms();
                    self.agent.handle_timeout(now);
                }
                () = tokio::time::sleep(JOURNAL_RETRY_INTERVAL), if self.unwritten_fact.is_some() => {}
                _ = inspect_timer.tick() => self.inspect_instances(),
                event = self.event_receiver.recv() => self.handle_event(event),
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
            }
        }
        let _ = std::fs::remove_file(&path);
        Ok(())
    }

    /// Carries out the outputs of the core in order, up to a fact that can't be written to the journal. Sends
    /// the pending replies once all are carried out.
    fn process_outputs(&mut self) {
        let already_failing = self.unwritten_fact.is_some();
        while let Some(output) = self.unwritten_fact.take().map(Output::Write).or_else(|| self.agent.poll()) {
            match output {
                Output::Write(fact) => {
                    if let Err(error) = self.journal.append_fact(&fact) {
                        self.unwritten_fact = Some(fact);
                        return self.handle_journal_failure(&error, already_failing);
                    }
                }
                Output::Message(message) => log_line(&message),
                Output::Signal { process, signal } => process::send_signal(&process, signal),
                Output::Spawn { name, token, target } => {
                    let spawned = self.spawn(&name, token, &target);
                    let now = self.now_ms();
                    self.agent.spawned(now, &name, token, spawned);
                }
            }
        }
        for (reply_sender, reply) in self.pending_replies.drain(..) {
            // An operator's program that has disconnected can read the result from the status.
            let _ = reply_sender.send(reply);
        }
    }

    /// Handles a failed write to the journal: logs the first failure and refuses the pending commands at
    /// once. The event loop tries the write again later.
    fn handle_journal_failure(&mut self, error: &io::Error, already_failing: bool) {
        if !already_failing {
            log_line(&format!("journal: {error}; no change is made until it can be written"));
        }
        for (reply_sender, _) in self.pending_replies.drain(..) {
            let message =
                format!("journal: {error}; the command takes effect only once the journal can be written");
            let _ = reply_sender.send(Reply::Refused(message));
        }
    }

    /// Starts the process of an instance; returns its pid and start time. Only a file with the digest of its
    /// release is started.
    fn spawn(&mut self, name: &str, token: u64, target: &Target) -> Result<(u32, u64), String> {
        let release = self.desired.releases.get(&target.release);
        let release = release.ok_or_else(|| format!("release {:?} does not exist", target.release))?.clone();
        let path = PathBuf::from(&release.path);
        if self.digest_of(&path)? != release.sha256 {
            return Err(format!("{}: not the file with the digest of {}", release.path, target.release));
        }
        let files = disk::stored_files(&self.folder, &target.config).map_err(|e| e.to_string())?;
        let log = disk::log_path(&self.folder, name);
        let child = process::spawn(&self.folder, name, token, &release, &files, &log);
        let mut child = child.map_err(|e| format!("{}: {e}", release.path))?;
        let pid = child.id().ok_or("the process has already ended")?;
        let start_time = process::start_time(pid);
        self.child_tokens.push(token);
        let (events, name) = (self.events.clone(), name.to_string());
        tokio::task::spawn_local(async move {
            let code = child.wait().await.ok().and_then(|status| status.code());
            // The send fails only when the agent is stopping.
            let _ = events.send(Event::Exited { name, token, code });
        });
        // Without a start time the process has already ended; the task above reports its exit.
        Ok((pid, start_time.unwrap_or(0)))
    }

    /// The digest of a file, computed again only if the file's length or modification time has changed.
    fn digest_of(&mut self, path: &Path) -> Result<String, String> {
        let with_path = |e: io::Error| format!("{}: {e}", path.display());
        let file_metadata = std::fs::metadata(path).map_err(with_path)?;
        let fingerprint = (file_metadata.len(), file_metadata.modified().ok());
        if let Some((_, cached)) =
            self.digests.get(path).filter(|(cached_fingerprint, _)| *cached_fingerprint == fingerprint)
        {
            return Ok(cached.clone());
        }
        let computed = digest(&std::fs::read(path).map_err(with_path)?);
        self.digests.insert(path.to_path_buf(), (fingerprint, computed.clone()));
        Ok(computed)
    }

    /// Requests the reports of all instances with a process, and reports the exit of adopted processes that
    /// have ended.
    fn inspect_instances(&mut self) {
        let state = self.agent.state();
        let all: Vec<(String, glenwood_fleet::book::Process)> = state
            .instances
            .iter()
            .filter_map(|(name, entry)| Some((name.clone(), entry.process.as_ref()?.0.clone())))
            .collect();
        for (name, process) in all {
            let token = process.token;
            if !self.child_tokens.contains(&token)
                && process::start_time(process.pid) != Some(process.start_ticks)
            {
                let now = self.now_ms();
                self.agent.exited(now, &name, token, None);
                continue;
            }
            let (events, socket) = (self.events.clone(), disk::socket_path(&self.folder, &name));
            tokio::task::spawn_local(async move {
                let report = tokio::time::timeout(INSPECT_TIMEOUT, inspect(&socket)).await.ok().flatten();
                let _ = events.send(Event::Inspected { name, token, report });
            });
        }
    }

    /// Handles one event.
    fn handle_event(&mut self, event: Option<Event>) {
        let now = self.now_ms();
        match event {
            Some(Event::Exited { name, token, code }) => {
                self.child_tokens.retain(|child| *child != token);
                self.agent.exited(now, &name, token, code);
            }
            Some(Event::Inspected { name, token, report }) => {
                // The report may come from an earlier process of the instance.
                let report = report.filter(|r| r.token.as_deref() == Some(&token.to_string()));
                let status = report.as_ref().map(|r| agent::Status {
                    ready: r.stage == "ready",
                    answered: r.answered,
                    failed: r.failed,
                });
                match report {
                    Some(report) => drop(self.reports.insert(name.clone(), report)),
                    None => drop(self.reports.remove(&name)),
                }
                self.agent.inspected(now, &name, token, status);
            }
            Some(Event::CommandReceived { command, peer, reply_sender }) => {
                let is_mutating = command.is_mutating();
                let reply = match is_mutating && self.unwritten_fact.is_some() {
                    true => Err("the journal can't be written; the command was not carried out".to_string()),
                    false => self.execute(now, command, &peer),
                };
                match reply {
                    Ok(reply) if is_mutating => self.pending_replies.push((reply_sender, reply)),
                    // The send fails if the operator's program has disconnected.
                    reply => drop(reply_sender.send(reply.unwrap_or_else(Reply::Refused))),
                }
            }
            // Never received: the service itself keeps a sender.
            None => {}
        }
    }

    /// Appends a line to the audit trail; called before the command is carried out.
    fn write_audit(&mut self, who: &str, what: &str, epoch: u64) -> Result<(), String> {
        self.audit
            .append_entry(unix_ms(), who, what, epoch)
            .map_err(|e| format!("audit: {e}; the command was not carried out"))
    }

    /// Refuses a command on instances of which one is protected at this time, unless the operator gives a
    /// reason to override the protection.
    fn check_protection(&self, names: &[String], force: Option<&String>) -> Result<(), String> {
        let (weekday, minute) = weekday_and_minute(unix_ms());
        let protected = names.iter().find(|name| self.desired.protected(name, weekday, minute).is_some());
        match (protected, force) {
            (Some(name), None) => {
                Err(format!("{name} is protected at this time; use --override \"reason\" to proceed"))
            }
            _ => Ok(()),
        }
    }

    /// The target of an instance for a release. Stores the instance's files as they are now as a version.
    fn store_target(&self, name: &str, release: &str) -> Result<Target, String> {
        let instance =
            self.desired.instance(name).ok_or_else(|| format!("instance {name:?} does not exist"))?;
        let operator = instance.operator.as_deref().map(Path::new);
        let files = disk::store_files(&self.folder, name, Path::new(&instance.config), operator);
        let files = files.map_err(|e| e.to_string())?;
        Ok(Target { release: release.to_string(), config: files.version })
    }

    /// Carries out a command of an operator and returns the reply to it, or the reason for refusing it.
    fn execute(&mut self, now: f64, command: AgentCommand, peer: &str) -> Result<Reply, String> {
        let refusal_message = |e: CommandError| match e {
            CommandError::Lease(e) => e.to_string(),
            CommandError::Busy { change } => format!("change {change} is in progress"),
            CommandError::Idle => "no change is in progress".to_string(),
            CommandError::Unknown(name) => format!("instance {name:?} does not exist"),
        };
        let lease_message = |e: LeaseError| e.to_string();
        match command {
            AgentCommand::Status => Ok(Reply::Status(Box::new(self.status(now)))),
            AgentCommand::Lease { who: name, why, epoch, span_ms } => {
                let epoch = epoch.unwrap_or(self.agent.state().epoch + 1);
                let holder =
                    Holder { who: format!("{name} ({peer})"), why, since_unix_ms: unix_ms(), span_ms };
                self.agent.acquire_lease(now, epoch, holder).map_err(lease_message)?;
                Ok(Reply::Granted(epoch))
            }
            AgentCommand::GiveBack { epoch } => {
                self.agent.release_lease(now, epoch).map_err(lease_message)?;
                Ok(Reply::Done("the lease is released".into()))
            }
            AgentCommand::Apply { epoch } => {
                self.agent.lease_mut().check(now, epoch).map_err(lease_message)?;
                let desired = read_desired(&self.desired_path)?;
                self.write_audit(peer, "apply", epoch)?;
                self.desired = desired;
                let all = self.desired.instances.clone();
                let mut new = 0;
                for instance in all.iter() {
                    if self.agent.state().instances.contains_key(&instance.name) {
                        continue;
                    }
                    let target = self.store_target(&instance.name, &instance.release)?;
                    self.agent
                        .set_should_run(now, epoch, &instance.name, !instance.stopped, &target)
                        .map_err(refusal_message)?;
                    new += 1;
                }
                Ok(Reply::Done(format!("{} instances, {new} new", all.len())))
            }
            AgentCommand::Want { epoch, name, run, force } => {
                self.agent.lease_mut().check(now, epoch).map_err(lease_message)?;
                let entry = self.agent.state().instances.get(&name);
                let target = entry
                    .map(|k| k.target.clone())
                    .ok_or_else(|| format!("instance {name:?} does not exist"))?;
                if !run {
                    self.check_protection(std::slice::from_ref(&name), force.as_ref())?;
                }
                let what =
                    format!("{} {name} {}", if run { "start" } else { "stop" }, force.unwrap_or_default());
                self.write_audit(peer, what.trim_end(), epoch)?;
                self.agent.set_should_run(now, epoch, &name, run, &target).map_err(refusal_message)?;
                Ok(Reply::Done(what))
            }
            AgentCommand::Roll { epoch, mut names, release, force } => {
                self.agent.lease_mut().check(now, epoch).map_err(lease_message)?;
                if !self.desired.releases.contains_key(&release) {
                    return Err(format!("release {release:?} does not exist"));
                }
                let order: Vec<String> = self.desired.instances.iter().map(|i| i.name.clone()).collect();
                if names.is_empty() {
                    names.clone_from(&order);
                }
                names.sort_by_key(|name| order.iter().position(|n| n == name));
                self.check_protection(&names, force.as_ref())?;
                let targets = names.iter().map(|n| Ok((n.clone(), self.store_target(n, &release)?)));
                let targets = targets.collect::<Result<BTreeMap<String, Target>, String>>()?;
                self.write_audit(
                    peer,
                    &format!("roll {} to {release} {}", names.join(","), force.unwrap_or_default()),
                    epoch,
                )?;
                let id = self.agent.begin_change(now, epoch, &names, targets).map_err(refusal_message)?;
                Ok(Reply::Done(format!("change {id} has started")))
            }
            AgentCommand::Plan { names, release } => {
                if !self.desired.releases.contains_key(&release) {
                    return Err(format!("release {release:?} does not exist"));
                }
                let order: Vec<String> = self.desired.instances.iter().map(|i| i.name.clone()).collect();
                let selected = order.iter().filter(|n| names.is_empty() || names.contains(n));
                let mut lines = Vec::new();
                for name in selected {
                    let protected = self.check_protection(std::slice::from_ref(name), None).is_err();
                    let entry =
                        self.agent.state().instances.get(name).map(|k| (k.target.release.clone(), k.run));
                    let (from, run) = entry
                        .ok_or_else(|| format!("{name} is not known to the agent yet; run apply first"))?;
                    let what = if run {
                        "stop, start, wait until ready, compare"
                    } else {
                        "not running: noted only"
                    };
                    let protection_note = if protected { "; protected now" } else { "" };
                    lines.push(format!(
                        "{}. {name}: {from} -> {release}: {what}{protection_note}",
                        lines.len() + 1
                    ));
                }
                let rules = &self.desired.rules;
                lines.push(format!(
                    "at most {} unavailable at a time, {} ms between two instances",
                    rules.max_unavailable, rules.pause_ms
                ));
                Ok(Reply::Lines(lines))
            }
            AgentCommand::Retire { epoch, name } => {
                self.agent.lease_mut().check(now, epoch).map_err(lease_message)?;
                self.write_audit(peer, &format!("retire {name}"), epoch)?;
                self.agent.retire(now, epoch, &name).map_err(|e| match e {
                    CommandError::Unknown(name) => {
                        format!("instance {name:?} does not exist or is not stopped")
                    }
                    other => refusal_message(other),
                })?;
                Ok(Reply::Done(format!("{name} is removed")))
            }
            AgentCommand::Abort { epoch } => {
                self.agent.lease_mut().check(now, epoch).map_err(lease_message)?;
                self.write_audit(peer, "abort", epoch)?;
                self.agent.abort_change(now, epoch).map_err(refusal_message)?;
                Ok(Reply::Done("the change is being rolled back".into()))
            }
            AgentCommand::Pause { epoch, paused } => {
                self.agent.lease_mut().check(now, epoch).map_err(lease_message)?;
                self.write_audit(peer, if paused { "pause" } else { "resume" }, epoch)?;
                self.agent.set_paused(now, epoch, paused).map_err(refusal_message)?;
                Ok(Reply::Done(if paused { "the change is paused" } else { "the change is resumed" }.into()))
            }
            AgentCommand::Logs { name, lines } => {
                if self.desired.instance(&name).is_none() {
                    return Err(format!("instance {name:?} does not exist"));
                }
                Ok(Reply::Lines(disk::last_lines(&disk::log_path(&self.folder, &name), lines.min(1000))))
            }
            AgentCommand::History => Ok(Reply::Lines(disk::last_lines(&self.folder.join("audit"), 1000))),
        }
    }

    /// The state of all instances, the change in progress and the lease.
    fn status(&mut self, now: f64) -> Status {
        let state = self.agent.state();
        let holder_and_reason = |h: &Holder| (h.who.clone(), h.why.clone());
        let mut status = Status {
            change: state.change.as_ref().map(|c| {
                let undo_note = c
                    .rollback_reason
                    .as_ref()
                    .map(|why| format!(", being rolled back: {why}"))
                    .unwrap_or_default();
                let pause_note = if c.paused { ", paused" } else { "" };
                (format!("change {}{pause_note}{undo_note}", c.id), c.done.len(), c.names.len())
            }),
            outcome: state.outcome.as_ref().map(|(o, why)| (format!("{o:?}"), why.clone())),
            epoch: state.epoch,
            ..Status::default()
        };
        for (name, entry) in &state.instances {
            let report = self.reports.get(name).filter(|_| entry.process.is_some());
            let mut instance_status = InstanceStatus {
                run: entry.run,
                release: entry.target.release.clone(),
                config: entry.target.config.clone(),
                pid: entry.process.as_ref().map(|(p, _)| p.pid),
                gave_up: entry.gave_up,
                ..InstanceStatus::default()
            };
            if let Some(r) = report {
                instance_status.stage = Some(r.stage.clone());
                (
                    instance_status.open,
                    instance_status.answered,
                    instance_status.failed,
                    instance_status.list_age_ms,
                ) = (r.open, r.answered, r.failed, r.list_age_ms);
                let digest = self.desired.releases.get(&entry.target.release).map(|r| r.sha256.clone());
                if r.release != digest {
                    instance_status.drift.push("it runs a file other than that of its release".into());
                }
                if r.config.as_ref().is_some_and(|c| *c != entry.target.config) {
                    instance_status
                        .drift
                        .push("it runs with another version of its files than desired".into());
                }
            }
            if entry.run && report.is_none_or(|r| r.stage != "ready") {
                instance_status.drift.push("it is not ready".into());
            }
            if !entry.run && entry.process.is_some() {
                instance_status.drift.push("it is running but should be stopped".into());
            }
            match self.desired.instance(name) {
                None => {
                    instance_status.drift.push("the file with the desired state does not contain it".into())
                }
                Some(i) if i.release != entry.target.release => {
                    instance_status
                        .drift
                        .push(format!("the file with the desired state has release {}", i.release));
                }
                Some(_) => {}
            }
            status.instances.insert(name.clone(), instance_status);
        }
        status.lease = self.agent.lease_mut().holder(now).map(holder_and_reason);
        status
    }
}

/// Reads the report of an instance from its socket; `None` if it doesn't send a valid one.
async fn inspect(socket: &Path) -> Option<Report> {
    let mut stream = UnixStream::connect(socket).await.ok()?;
    let mut text = Vec::new();
    (&mut stream).take(MAX_MESSAGE_BYTES).read_to_end(&mut text).await.ok()?;
    serde_json::from_slice(&text).ok()
}

/// Accepts the connections of operators' programs and handles each in a separate task.
async fn serve(listener: UnixListener, events: mpsc::UnboundedSender<Event>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let events = events.clone();
        tokio::task::spawn_local(async move {
            // A client that exceeds the time limit or disconnects gets no reply.
            let _ = tokio::time::timeout(CONNECTION_TIMEOUT, handle_connection(stream, events)).await;
        });
    }
}

/// Reads one command from a connection and replies to it. The audit trail names the peer by its uid.
async fn handle_connection(stream: UnixStream, events: mpsc::UnboundedSender<Event>) -> io::Result<()> {
    let peer = stream.peer_cred().map_or("unknown".to_string(), |cred| format!("uid {}", cred.uid()));
    let (read, mut write) = stream.into_split();
    let mut line = String::new();
    BufReader::new(read.take(MAX_MESSAGE_BYTES)).read_line(&mut line).await?;
    let reply = match serde_json::from_str::<AgentCommand>(&line) {
        Err(e) => Reply::Refused(format!("invalid command: {e}")),
        Ok(command) => {
            let (reply_sender, reply_receiver) = oneshot::channel();
            let _ = events.send(Event::CommandReceived { command, peer, reply_sender });
            reply_receiver.await.unwrap_or(Reply::Refused("the agent is stopping".into()))
        }
    };
    let mut bytes = serde_json::to_vec(&reply)?;
    bytes.push(b'\n');
    write.write_all(&bytes).await?;
    write.shutdown().await
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn weekdays_are_counted_from_monday() {
        // Tuesday, 1 December 2026, 11:40 UTC.
        assert_eq!(weekday_and_minute(1_796_125_200_000.0), (1, 11 * 60 + 40));
        assert_eq!(weekday_and_minute(0.0), (3, 0));
    }
}
