//! Instances, by their agents.
//!
//! Exit codes: 0 all is as it should be; 1 it was done, but something is not as it should be (drift, a change that was
//! undone); 2 bad arguments; 3 refused; 4 an agent can't be reached.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand};
use glenwood_agent::talk::{ask, Ask, Reply, Status};
use glenwood_fleet::lease::{Bid, Refused, Standing};
use serde_json::json;

/// For how long the lease is asked for; it is held on to by asking again under the same epoch. One whose holder vanishes
/// is free again after that.
const LEASE_MS: f64 = 5000.0;
/// How often it is asked for again while a change is followed.
const HOLD_ON: Duration = Duration::from_millis(1000);
/// How often a change is looked at.
const LOOK: Duration = Duration::from_millis(200);

/// Which agents, and what.
#[derive(Debug, Args)]
pub struct Arguments {
    /// The sockets of the agents, with commas between
    #[arg(long, env = "GLENWOOD_AGENTS", required = true, value_delimiter = ',', value_name = "SOCKET")]
    agents: Vec<PathBuf>,
    /// Who this is, for the lease and the trail
    #[arg(long, env = "USER", default_value = "somebody")]
    who: String,
    #[command(subcommand)]
    what: What,
}

#[derive(Debug, Subcommand)]
enum What {
    /// Shows how all instances are; the exit code is 1 where one is not what it should be
    Status {
        /// One JSON object instead of a table
        #[arg(long)]
        json: bool,
        /// Again every second, until it is interrupted
        #[arg(long)]
        watch: bool,
    },
    /// Reads the file of what is desired again, and starts what is new in it
    Apply,
    /// Starts instances
    Start {
        /// Which
        #[arg(required = true)]
        names: Vec<String>,
    },
    /// Stops instances
    Stop {
        /// Which
        #[arg(required = true)]
        names: Vec<String>,
        /// Also protected ones; the reason goes into the trail
        #[arg(long = "override", value_name = "REASON")]
        force: Option<String>,
    },
    /// Changes instances, one after another, to a release and to their files as they are now
    Roll {
        /// Which; all of them where none is named
        names: Vec<String>,
        /// To which release
        #[arg(long, value_name = "RELEASE")]
        to: String,
        /// Also protected ones; the reason goes into the trail
        #[arg(long = "override", value_name = "REASON")]
        force: Option<String>,
        /// Returns when it has begun
        #[arg(long)]
        no_wait: bool,
    },
    /// Says what `roll` would do, in order, and does nothing
    Plan {
        /// Which; all of them where none is named
        names: Vec<String>,
        /// To which release
        #[arg(long, value_name = "RELEASE")]
        to: String,
    },
    /// Forgets instances that are stopped
    Retire {
        /// Which
        #[arg(required = true)]
        names: Vec<String>,
    },
    /// Undoes the change that is under way
    Abort,
    /// Lets the change wait before its next instance
    Pause,
    /// Lets the change go on
    Resume,
    /// The last lines of an instance's log
    Logs {
        /// Which
        name: String,
        /// How many
        #[arg(long, default_value_t = 50)]
        lines: usize,
    },
    /// Who did what
    History,
}

/// Why something was not done.
enum Fault {
    Unreached(String),
    Refused(String),
}

impl Fault {
    fn words(&self) -> &str {
        let (Self::Unreached(words) | Self::Refused(words)) = self;
        words
    }
}

impl From<Fault> for ExitCode {
    fn from(fault: Fault) -> Self {
        match fault {
            Fault::Refused(words) => {
                eprintln!("glenctl: {words}");
                Self::from(3)
            }
            Fault::Unreached(words) => {
                eprintln!("glenctl: {words}");
                Self::from(4)
            }
        }
    }
}

fn say(agent: &Path, what: &Ask) -> Result<Reply, Fault> {
    match ask(agent, what) {
        Err(words) => Err(Fault::Unreached(words)),
        Ok(Reply::Refused(words)) => Err(Fault::Refused(words)),
        Ok(reply) => Ok(reply),
    }
}

fn status(agent: &Path) -> Result<Status, Fault> {
    match say(agent, &Ask::Status)? {
        Reply::Status(status) => Ok(*status),
        other => Err(Fault::Unreached(format!("{}: {other:?} is no status", agent.display()))),
    }
}

/// The lease for one change, held by more than half of the agents, and given back at its end.
struct Held<'a> {
    granted: Vec<&'a Path>,
    epoch: u64,
    who: &'a str,
    why: String,
}

/// How often a bid is made anew where another one came in between.
const BIDS: usize = 5;

impl<'a> Held<'a> {
    fn take(arguments: &'a Arguments, why: &str) -> Result<Self, Fault> {
        let agents: Vec<&Path> = arguments.agents.iter().map(PathBuf::as_path).collect();
        // One that can't be reached has no epoch to name, and counts as a refusal.
        let known: Vec<u64> = agents.iter().filter_map(|a| Some(status(a).ok()?.epoch)).collect();
        let mut bid = Bid::new(agents.len(), &known);
        let mut last = Fault::Refused("no agent granted the lease".into());
        for _ in 0..BIDS {
            let (who, granted) = (arguments.who.as_str(), Vec::new());
            let mut held = Self { granted, epoch: bid.epoch(), who, why: why.to_string() };
            let mut in_between = false;
            for (n, agent) in agents.iter().enumerate() {
                match say(agent, &held.lease()) {
                    Ok(_) => {
                        bid.answer(n, Ok(()));
                        held.granted.push(agent);
                    }
                    Err(fault) => {
                        let epoch = status(agent).map_or(0, |s| s.epoch);
                        in_between |= epoch >= bid.epoch();
                        bid.answer(n, Err(Some(&Refused::Behind { epoch })));
                        eprintln!("glenctl: {}: {}", agent.display(), fault.words());
                        last = fault;
                    }
                }
            }
            if bid.standing() == Standing::Won {
                return Ok(held);
            }
            // What was granted goes back with `held`.
            if !in_between {
                break;
            }
            bid = bid.again();
        }
        Err(last)
    }

    fn lease(&self) -> Ask {
        let (who, why) = (self.who.to_string(), self.why.clone());
        Ask::Lease { who, why, epoch: Some(self.epoch), span_ms: LEASE_MS }
    }

    /// Holds on to it for another while.
    fn hold_on(&self) {
        for agent in &self.granted {
            // An agent that is restarted knows of it; one that stays away is seen by what is asked of it.
            let _ = ask(agent, &self.lease());
        }
    }

    /// May something be asked of this agent?
    fn at(&self, agent: &Path) -> Result<u64, Fault> {
        let granted = self.granted.contains(&agent);
        granted
            .then_some(self.epoch)
            .ok_or_else(|| Fault::Unreached(format!("{}: did not grant the lease", agent.display())))
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        for agent in &self.granted {
            // Where this is lost the lease ends by its time.
            let _ = ask(agent, &Ask::GiveBack { epoch: self.epoch });
        }
    }
}

/// Does one thing at each agent under one lease; goes on where one fails, and says which did.
fn each(arguments: &Arguments, why: &str, what: impl Fn(u64, &Status) -> Vec<Ask>) -> Result<(), Fault> {
    let held = Held::take(arguments, why)?;
    let mut failed = None;
    for agent in &arguments.agents {
        let done = || {
            let epoch = held.at(agent)?;
            for ask in what(epoch, &status(agent)?) {
                if let Reply::Done(words) = say(agent, &ask)? {
                    println!("{}: {words}", agent.display());
                }
            }
            Ok(())
        };
        if let Err(fault) = done() {
            if let Some(Fault::Refused(words) | Fault::Unreached(words)) = failed.replace(fault) {
                eprintln!("glenctl: {words}");
            }
        }
    }
    failed.map_or(Ok(()), Err)
}

fn show(arguments: &Arguments, as_json: bool) -> Result<bool, Fault> {
    let mut all = Vec::new();
    for agent in &arguments.agents {
        all.push((agent, status(agent)?));
    }
    let well = all.iter().all(|(_, s)| s.instances.values().all(|i| i.drift.is_empty()));
    if as_json {
        let agents: Vec<_> =
            all.iter().map(|(agent, s)| json!({"agent": agent.display().to_string(), "status": s})).collect();
        println!("{}", json!({"agents": agents, "well": well}));
        return Ok(well);
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
        if let Some((words, done, count)) = &s.change {
            println!("{words}: {done} of {count}");
        }
        if let Some((outcome, why)) = &s.outcome {
            println!("last change: {outcome}, {why}");
        }
        if let Some((who, why)) = &s.lease {
            println!("lease: {who}, {why}");
        }
    }
    Ok(well)
}

/// Follows a change to its end; true where it was done.
fn follow(agent: &Path, held: &Held) -> Result<bool, Fault> {
    let (mut said, mut at, mut asked) = (String::new(), Instant::now(), Instant::now());
    loop {
        if asked.elapsed() > HOLD_ON {
            asked = Instant::now();
            held.hold_on();
        }
        let status = status(agent)?;
        match (&status.change, &status.outcome) {
            (Some((words, done, count)), _) => {
                let line = format!("{}: {words}: {done} of {count}", agent.display());
                if line != said || at.elapsed() > Duration::from_secs(5) {
                    eprintln!("{line}");
                    (said, at) = (line, Instant::now());
                }
            }
            (None, Some((outcome, why))) => {
                println!("{}: {outcome}: {why}", agent.display());
                return Ok(outcome == "Done");
            }
            (None, None) => return Ok(false),
        }
        std::thread::sleep(LOOK);
    }
}

fn roll(
    arguments: &Arguments,
    names: &[String],
    to: &str,
    force: Option<&String>,
    wait: bool,
) -> Result<bool, Fault> {
    let why = format!("roll to {to}");
    let all = names.is_empty();
    known(arguments, names)?;
    let held = Held::take(arguments, &why)?;
    for agent in &arguments.agents {
        let here = status(agent)?.instances;
        let names: Vec<String> = names.iter().filter(|n| here.contains_key(*n)).cloned().collect();
        if names.is_empty() && !all {
            continue;
        }
        let roll =
            Ask::Roll { epoch: held.at(agent)?, names, release: to.to_string(), force: force.cloned() };
        if let Reply::Done(words) = say(agent, &roll)? {
            println!("{}: {words}", agent.display());
        }
        // The next machine only when this one is through and well.
        if wait && !follow(agent, &held)? {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Does it.
pub fn run(arguments: &Arguments) -> ExitCode {
    let done = match &arguments.what {
        What::Status { json, watch: true } => loop {
            if let Err(fault) = show(arguments, *json) {
                // An agent that is restarted is back in a moment.
                eprintln!("glenctl: {}", fault.words());
            }
            std::thread::sleep(Duration::from_secs(1));
        },
        What::Status { json, watch: false } => show(arguments, *json),
        What::Plan { names, to } => known(arguments, names)
            .and_then(|()| lines_of(arguments, &Ask::Plan { names: names.clone(), release: to.clone() }))
            .map(|()| true),
        What::Retire { names } => known(arguments, names).and_then(|()| {
            each(arguments, "retire", |epoch, status| {
                let here = names.iter().filter(|n| status.instances.contains_key(*n));
                here.map(|name| Ask::Retire { epoch, name: name.clone() }).collect()
            })
            .map(|()| true)
        }),
        What::Apply => each(arguments, "apply", |epoch, _| vec![Ask::Apply { epoch }]).map(|()| true),
        What::Start { names } => want(arguments, names, true, None),
        What::Stop { names, force } => want(arguments, names, false, force.as_ref()),
        What::Roll { names, to, force, no_wait } => roll(arguments, names, to, force.as_ref(), !no_wait),
        What::Abort => during(arguments, |epoch| Ask::Abort { epoch }),
        What::Pause => during(arguments, |epoch| Ask::Pause { epoch, paused: true }),
        What::Resume => during(arguments, |epoch| Ask::Pause { epoch, paused: false }),
        What::Logs { name, lines } => {
            lines_of(arguments, &Ask::Logs { name: name.clone(), lines: *lines }).map(|()| true)
        }
        What::History => lines_of(arguments, &Ask::History).map(|()| true),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(fault) => fault.into(),
    }
}

/// Is each of these at one of the agents?
fn known(arguments: &Arguments, names: &[String]) -> Result<(), Fault> {
    // What one that can't be reached has is not known; whatever is asked of it then fails by itself.
    let reached = arguments.agents.iter().filter_map(|agent| status(agent).ok());
    let all: Vec<String> = reached.flat_map(|status| status.instances.into_keys()).collect();
    match names.iter().find(|n| !all.contains(n)) {
        Some(name) => Err(Fault::Refused(format!("there is no instance {name:?}"))),
        None => Ok(()),
    }
}

/// Starts or stops instances, each at the agent that has it.
fn want(arguments: &Arguments, names: &[String], run: bool, force: Option<&String>) -> Result<bool, Fault> {
    known(arguments, names)?;
    let asks = |epoch: u64, status: &Status| {
        let here = names.iter().filter(|n| status.instances.contains_key(*n));
        here.map(|name| Ask::Want { epoch, name: name.clone(), run, force: force.cloned() }).collect()
    };
    each(arguments, if run { "start" } else { "stop" }, asks).map(|()| true)
}

/// A word on a change that is under way: under the epoch of who began it, as that one holds the lease meanwhile.
fn during(arguments: &Arguments, what: impl Fn(u64) -> Ask) -> Result<bool, Fault> {
    for agent in &arguments.agents {
        let now = status(agent)?;
        if now.change.is_none() {
            continue;
        }
        // Whoever follows the change holds the lease: it is that operator's to say. One who has vanished loses it in
        // seconds, and then anybody's.
        let held = match &now.lease {
            Some((who, _)) if who.starts_with(&format!("{} (", arguments.who)) => None,
            Some((who, why)) => return Err(Fault::Refused(format!("held by {who} ({why})"))),
            None => Some(Held::take(arguments, "a word on a change")?),
        };
        let epoch = held.as_ref().map_or(now.epoch, |held| held.epoch);
        if let Reply::Done(words) = say(agent, &what(epoch))? {
            println!("{}: {words}", agent.display());
        }
    }
    Ok(true)
}

fn lines_of(arguments: &Arguments, what: &Ask) -> Result<(), Fault> {
    for agent in &arguments.agents {
        if let Reply::Lines(lines) = say(agent, what)? {
            lines.iter().for_each(|line| println!("{line}"));
        }
    }
    Ok(())
}
