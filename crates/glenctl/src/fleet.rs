//! `glenctl fleet`: shows and changes instances through the agents that run them.
//!
//! Exit codes: 0 success and no drift; 1 the command ran, but an instance has drifted or the change was
//! rolled back; 2 bad arguments; 3 refused; 4 an agent can't be reached.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand};
use glenwood_agent::talk::{send_command, AgentCommand, Reply, Status};
use glenwood_fleet::lease::{Bid, BidState, LeaseError};
use serde_json::json;

/// Duration of the lease on the agents. It is renewed by asking again under the same epoch, and expires after
/// this time when its holder has vanished.
const LEASE_MS: f64 = 5000.0;
/// Interval at which the lease is renewed while a change is followed.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(1000);
/// Interval at which the progress of a change is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Arguments of `glenctl fleet`.
#[derive(Debug, Args)]
pub struct Arguments {
    /// Sockets of the agents, separated by commas
    #[arg(long, env = "GLENWOOD_AGENTS", required = true, value_delimiter = ',', value_name = "SOCKET")]
    agents: Vec<PathBuf>,
    /// Operator's name, recorded in the lease and the audit trail
    #[arg(long, env = "USER", default_value = "somebody")]
    who: String,
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Shows the state of all instances; exits with 1 if any has drifted from what is desired
    Status {
        /// Prints one JSON object instead of a table
        #[arg(long)]
        json: bool,
        /// Repeats every second until interrupted
        #[arg(long)]
        watch: bool,
    },
    /// Reloads the file of desired instances, and starts those that are new in it
    Apply,
    /// Starts instances
    Start {
        /// Names of the instances
        #[arg(required = true)]
        names: Vec<String>,
    },
    /// Stops instances
    Stop {
        /// Names of the instances
        #[arg(required = true)]
        names: Vec<String>,
        /// Includes protected instances; the reason is written to the audit trail
        #[arg(long = "override", value_name = "REASON")]
        force: Option<String>,
    },
    /// Moves instances, one after another, to a release and to the current content of their files
    Roll {
        /// Names of the instances; all if none is named
        names: Vec<String>,
        /// Release to change to
        #[arg(long, value_name = "RELEASE")]
        to: String,
        /// Includes protected instances; the reason is written to the audit trail
        #[arg(long = "override", value_name = "REASON")]
        force: Option<String>,
        /// Returns once the change has begun, without following it
        #[arg(long)]
        no_wait: bool,
    },
    /// Prints the steps that `roll` would take, in order, without taking them
    Plan {
        /// Names of the instances; all if none is named
        names: Vec<String>,
        /// Release to change to
        #[arg(long, value_name = "RELEASE")]
        to: String,
    },
    /// Removes stopped instances from the agent
    Retire {
        /// Names of the instances
        #[arg(required = true)]
        names: Vec<String>,
    },
    /// Rolls back the change in progress
    Abort,
    /// Pauses the change in progress before its next instance
    Pause,
    /// Resumes a paused change
    Resume,
    /// Prints the last lines of an instance's log
    Logs {
        /// Name of the instance
        name: String,
        /// Number of lines
        #[arg(long, default_value_t = 50)]
        lines: usize,
    },
    /// Prints the audit trail: which operator did what
    History,
}

/// Why a command failed; each kind has its own exit code.
enum CommandError {
    Unreachable(String),
    Refused(String),
}

impl CommandError {
    fn message(&self) -> &str {
        let (Self::Unreachable(message) | Self::Refused(message)) = self;
        message
    }
}

impl From<CommandError> for ExitCode {
    fn from(error: CommandError) -> Self {
        match error {
            CommandError::Refused(message) => {
                eprintln!("glenctl: {message}");
                Self::from(3)
            }
            CommandError::Unreachable(message) => {
                eprintln!("glenctl: {message}");
                Self::from(4)
            }
        }
    }
}

/// Sends a request to an agent, and turns a refusal into an error.
fn send(agent: &Path, request: &AgentCommand) -> Result<Reply, CommandError> {
    match send_command(agent, request) {
        Err(message) => Err(CommandError::Unreachable(message)),
        Ok(Reply::Refused(message)) => Err(CommandError::Refused(message)),
        Ok(reply) => Ok(reply),
    }
}

/// Asks an agent for its status.
fn status(agent: &Path) -> Result<Status, CommandError> {
    match send(agent, &AgentCommand::Status)? {
        Reply::Status(status) => Ok(*status),
        other => Err(CommandError::Unreachable(format!(
            "{}: expected a status reply, not {other:?}",
            agent.display()
        ))),
    }
}

/// The lease for one change, granted by a majority of the agents and returned when this is dropped.
struct HeldLease<'a> {
    granted: Vec<&'a Path>,
    epoch: u64,
    who: &'a str,
    why: String,
}

/// Number of bids to make when another operator's bid gets in first.
const MAX_BIDS: usize = 5;

impl<'a> HeldLease<'a> {
    /// Bids for the lease until a majority of the agents grants it, nobody else is bidding, or the bids are
    /// used up.
    fn acquire(arguments: &'a Arguments, why: &str) -> Result<Self, CommandError> {
        let agents: Vec<&Path> = arguments.agents.iter().map(PathBuf::as_path).collect();
        // An agent that can't be reached reports no epoch, and counts as a refusal.
        let known_epochs: Vec<u64> = agents.iter().filter_map(|a| Some(status(a).ok()?.epoch)).collect();
        let mut bid = Bid::new(agents.len(), &known_epochs);
        let mut last = CommandError::Refused("no agent granted the lease".into());
        for _ in 0..MAX_BIDS {
            let (who, granted) = (arguments.who.as_str(), Vec::new());
            let mut held = Self { granted, epoch: bid.epoch(), who, why: why.to_string() };
            let mut outbid = false;
            for (n, agent) in agents.iter().enumerate() {
                match send(agent, &held.lease_request()) {
                    Ok(_) => {
                        bid.record_answer(n, Ok(()));
                        held.granted.push(agent);
                    }
                    Err(error) => {
                        let epoch = status(agent).map_or(0, |s| s.epoch);
                        outbid |= epoch >= bid.epoch();
                        bid.record_answer(n, Err(Some(&LeaseError::EpochTooLow { epoch })));
                        eprintln!("glenctl: {}: {}", agent.display(), error.message());
                        last = error;
                    }
                }
            }
            if bid.state() == BidState::Won {
                return Ok(held);
            }
            // Dropping `held` returns the leases that were granted.
            if !outbid {
                break;
            }
            bid = bid.next_bid();
        }
        Err(last)
    }

    /// The request that acquires or renews the lease.
    fn lease_request(&self) -> AgentCommand {
        let (who, why) = (self.who.to_string(), self.why.clone());
        AgentCommand::Lease { who, why, epoch: Some(self.epoch), span_ms: LEASE_MS }
    }

    /// Renews the lease at each agent that granted it.
    fn renew(&self) {
        for agent in &self.granted {
            // A restarted agent still knows the lease; if one can't be reached, the next request to it
            // reports that.
            let _ = send_command(agent, &self.lease_request());
        }
    }

    /// The epoch for requests to this agent; an error if it did not grant the lease.
    fn epoch_for(&self, agent: &Path) -> Result<u64, CommandError> {
        let granted = self.granted.contains(&agent);
        granted.then_some(self.epoch).ok_or_else(|| {
            CommandError::Unreachable(format!("{}: this agent did not grant the lease", agent.display()))
        })
    }
}

impl Drop for HeldLease<'_> {
    fn drop(&mut self) {
        for agent in &self.granted {
            // If this request is lost, the lease expires by itself.
            let _ = send_command(agent, &AgentCommand::GiveBack { epoch: self.epoch });
        }
    }
}

/// Sends requests to each agent under one lease. Continues after a failure and reports which agents failed.
fn send_to_each_agent(
    arguments: &Arguments,
    why: &str,
    requests: impl Fn(u64, &Status) -> Vec<AgentCommand>,
) -> Result<(), CommandError> {
    let held = HeldLease::acquire(arguments, why)?;
    let mut failed = None;
    for agent in &arguments.agents {
        let result = || {
            let epoch = held.epoch_for(agent)?;
            for command in requests(epoch, &status(agent)?) {
                if let Reply::Done(message) = send(agent, &command)? {
                    println!("{}: {message}", agent.display());
                }
            }
            Ok(())
        };
        if let Err(error) = result() {
            if let Some(CommandError::Refused(message) | CommandError::Unreachable(message)) =
                failed.replace(error)
            {
                eprintln!("glenctl: {message}");
            }
        }
    }
    failed.map_or(Ok(()), Err)
}

/// Prints the status of all instances; true if none has drifted.
fn show_status(arguments: &Arguments, as_json: bool) -> Result<bool, CommandError> {
    let mut all = Vec::new();
    for agent in &arguments.agents {
        all.push((agent, status(agent)?));
    }
    let no_drift = all.iter().all(|(_, s)| s.instances.values().all(|i| i.drift.is_empty()));
    if as_json {
        let agents: Vec<_> =
            all.iter().map(|(agent, s)| json!({"agent": agent.display().to_string(), "status": s})).collect();
        println!("{}", json!({"agents": agents, "well": no_drift}));
        return Ok(no_drift);
    }
    println!(
        "{:12} {:8} {:9} {:>8} {:>6} {:>9} {:>7} {:>8}  drift",
        "instance", "release", "stage", "pid", "open", "answered", "failed", "list ms"
    );
    for (agent, s) in &all {
        println!("{}  epoch {}", agent.display(), s.epoch);
        for (name, i) in &s.instances {
            let stage = match (&i.stage, i.run, i.gave_up) {
                (_, _, true) => "gave up",
                (Some(stage), _, _) => stage,
                (None, true, _) => "silent",
                (None, false, _) => "stopped",
            };
            println!(
                "{name:12} {:8} {stage:9} {:>8} {:>6} {:>9} {:>7} {:>8}  {}",
                i.release,
                i.pid.map_or("-".into(), |pid| pid.to_string()),
                i.open,
                i.answered,
                i.failed,
                i.list_age_ms.map_or("-".into(), |age| format!("{age:.0}")),
                i.drift.join("; ")
            );
        }
        if let Some((description, done, count)) = &s.change {
            println!("{description}: {done} of {count}");
        }
        if let Some((outcome, why)) = &s.outcome {
            println!("last change: {outcome}, {why}");
        }
        if let Some((who, why)) = &s.lease {
            println!("lease: {who}, {why}");
        }
    }
    Ok(no_drift)
}

/// Follows a change to its end, renewing the lease meanwhile; true if it was completed.
fn follow_change(agent: &Path, held: &HeldLease) -> Result<bool, CommandError> {
    let (mut last_line, mut printed_at, mut renewed_at) = (String::new(), Instant::now(), Instant::now());
    loop {
        if renewed_at.elapsed() > LEASE_RENEWAL_INTERVAL {
            renewed_at = Instant::now();
            held.renew();
        }
        let status = status(agent)?;
        match (&status.change, &status.outcome) {
            (Some((description, done, count)), _) => {
                let line = format!("{}: {description}: {done} of {count}", agent.display());
                if line != last_line || printed_at.elapsed() > Duration::from_secs(5) {
                    eprintln!("{line}");
                    (last_line, printed_at) = (line, Instant::now());
                }
            }
            (None, Some((outcome, why))) => {
                println!("{}: {outcome}: {why}", agent.display());
                return Ok(outcome == "Done");
            }
            (None, None) => return Ok(false),
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Changes instances to a release, agent by agent; true if every change that was followed was completed.
fn roll(
    arguments: &Arguments,
    names: &[String],
    to: &str,
    force: Option<&String>,
    wait: bool,
) -> Result<bool, CommandError> {
    let why = format!("roll to {to}");
    let all = names.is_empty();
    check_names(arguments, names)?;
    let held = HeldLease::acquire(arguments, &why)?;
    for agent in &arguments.agents {
        let on_this_agent = status(agent)?.instances;
        let names: Vec<String> = names.iter().filter(|n| on_this_agent.contains_key(*n)).cloned().collect();
        if names.is_empty() && !all {
            continue;
        }
        let roll = AgentCommand::Roll {
            epoch: held.epoch_for(agent)?,
            names,
            release: to.to_string(),
            force: force.cloned(),
        };
        if let Reply::Done(message) = send(agent, &roll)? {
            println!("{}: {message}", agent.display());
        }
        // Goes on to the next machine only when this one's change was completed.
        if wait && !follow_change(agent, &held)? {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Runs `glenctl fleet` and returns its exit code.
pub fn run(arguments: &Arguments) -> ExitCode {
    let result = match &arguments.action {
        Action::Status { json, watch: true } => loop {
            if let Err(error) = show_status(arguments, *json) {
                // Keeps watching: an agent that is being restarted is soon reachable again.
                eprintln!("glenctl: {}", error.message());
            }
            std::thread::sleep(Duration::from_secs(1));
        },
        Action::Status { json, watch: false } => show_status(arguments, *json),
        Action::Plan { names, to } => check_names(arguments, names)
            .and_then(|()| {
                print_lines(arguments, &AgentCommand::Plan { names: names.clone(), release: to.clone() })
            })
            .map(|()| true),
        Action::Retire { names } => check_names(arguments, names).and_then(|()| {
            send_to_each_agent(arguments, "retire", |epoch, status| {
                let on_this_agent = names.iter().filter(|n| status.instances.contains_key(*n));
                on_this_agent.map(|name| AgentCommand::Retire { epoch, name: name.clone() }).collect()
            })
            .map(|()| true)
        }),
        Action::Apply => {
            send_to_each_agent(arguments, "apply", |epoch, _| vec![AgentCommand::Apply { epoch }])
                .map(|()| true)
        }
        Action::Start { names } => set_wanted(arguments, names, true, None),
        Action::Stop { names, force } => set_wanted(arguments, names, false, force.as_ref()),
        Action::Roll { names, to, force, no_wait } => roll(arguments, names, to, force.as_ref(), !no_wait),
        Action::Abort => control_change(arguments, |epoch| AgentCommand::Abort { epoch }),
        Action::Pause => control_change(arguments, |epoch| AgentCommand::Pause { epoch, paused: true }),
        Action::Resume => control_change(arguments, |epoch| AgentCommand::Pause { epoch, paused: false }),
        Action::Logs { name, lines } => {
            print_lines(arguments, &AgentCommand::Logs { name: name.clone(), lines: *lines }).map(|()| true)
        }
        Action::History => print_lines(arguments, &AgentCommand::History).map(|()| true),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => error.into(),
    }
}

/// Checks that each named instance exists at one of the agents.
fn check_names(arguments: &Arguments, names: &[String]) -> Result<(), CommandError> {
    // The instances of an agent that can't be reached are unknown; later requests to that agent report the
    // error.
    let reached = arguments.agents.iter().filter_map(|agent| status(agent).ok());
    let all: Vec<String> = reached.flat_map(|status| status.instances.into_keys()).collect();
    match names.iter().find(|n| !all.contains(n)) {
        Some(name) => Err(CommandError::Refused(format!("there is no instance {name:?}"))),
        None => Ok(()),
    }
}

/// Starts or stops instances, each at the agent that has it.
/// Starts or stops instances.
fn set_wanted(
    arguments: &Arguments,
    names: &[String],
    run: bool,
    force: Option<&String>,
) -> Result<bool, CommandError> {
    check_names(arguments, names)?;
    let asks = |epoch: u64, status: &Status| {
        let on_this_agent = names.iter().filter(|n| status.instances.contains_key(*n));
        on_this_agent
            .map(|name| AgentCommand::Want { epoch, name: name.clone(), run, force: force.cloned() })
            .collect()
    };
    send_to_each_agent(arguments, if run { "start" } else { "stop" }, asks).map(|()| true)
}

/// Aborts, pauses or resumes the changes in progress, under the epoch of the operator who began them and so
/// holds the lease.
fn control_change(
    arguments: &Arguments,
    request: impl Fn(u64) -> AgentCommand,
) -> Result<bool, CommandError> {
    for agent in &arguments.agents {
        let now = status(agent)?;
        if now.change.is_none() {
            continue;
        }
        // Only the operator who follows the change, and so holds the lease, may control it. When that
        // operator has vanished the lease expires within seconds, and anyone may.
        let held = match &now.lease {
            Some((who, _)) if who.starts_with(&format!("{} (", arguments.who)) => None,
            Some((who, why)) => return Err(CommandError::Refused(format!("held by {who} ({why})"))),
            None => Some(HeldLease::acquire(arguments, "a word on a change")?),
        };
        let epoch = held.as_ref().map_or(now.epoch, |held| held.epoch);
        if let Reply::Done(message) = send(agent, &request(epoch))? {
            println!("{}: {message}", agent.display());
        }
    }
    Ok(true)
}

/// Sends a request to each agent and prints the lines of the replies.
fn print_lines(arguments: &Arguments, request: &AgentCommand) -> Result<(), CommandError> {
    for agent in &arguments.agents {
        if let Reply::Lines(lines) = send(agent, request)? {
            lines.iter().for_each(|line| println!("{line}"));
        }
    }
    Ok(())
}
