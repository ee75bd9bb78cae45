//! The agent's durable state, obtained by replaying the facts in its journal. A fact is on disk before the
//! action that it announces is carried out, so an agent that was killed at any point finds in its journal
//! what it may have done.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::lease::Holder;

/// The release and configuration that an instance should run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Target {
    /// The release's name.
    pub release: String,
    /// The version of the configuration: the digest of its files.
    pub config: String,
}

/// Identifies a process, so that another process with the same pid is not mistaken for it.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Process {
    /// The token that it was started with, unique among all processes of the agent.
    pub token: u64,
    /// The process id.
    pub pid: u32,
    /// Start time as the kernel reports it.
    #[serde(rename = "born")]
    pub start_ticks: u64,
}

/// How a change ended.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum Outcome {
    /// All instances run their new targets.
    Done,
    /// All changed instances run their previous targets again.
    RolledBack,
    /// Some instances run the new target and some the previous one; an operator must intervene.
    Mixed,
}

/// A change that moves instances to new targets, one after another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// The change's id.
    pub id: u64,
    /// The instances, in the order in which they are changed.
    pub names: Vec<String>,
    /// Each instance's new target.
    pub to: BTreeMap<String, Target>,
    /// Each instance's previous target.
    pub from: BTreeMap<String, Target>,
    /// Who began the change, and why.
    pub by: Holder,
    /// The instances that are complete.
    pub done: Vec<String>,
    /// Why the change is being rolled back, if it is.
    #[serde(rename = "undone_for")]
    pub rollback_reason: Option<String>,
    /// Whether the change is paused until an operator resumes it.
    pub paused: bool,
}

/// One entry of the agent's journal.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Fact {
    /// An instance should run, or should not.
    Wanted {
        /// The instance's name.
        name: String,
        /// Whether it should run.
        run: bool,
    },
    /// An instance has a new target.
    Target {
        /// The instance's name.
        name: String,
        /// The new target.
        target: Target,
    },
    /// An instance was removed.
    Retired {
        /// The instance's name.
        name: String,
    },
    /// A process is about to be started for an instance.
    Starting {
        /// The instance's name.
        name: String,
        /// The process's token.
        token: u64,
        /// What the process will run.
        target: Target,
    },
    /// A process was started.
    Started {
        /// The instance's name.
        name: String,
        /// The process.
        process: Process,
    },
    /// A process is about to get SIGTERM.
    Stopping {
        /// The instance's name.
        name: String,
        /// The process's token.
        token: u64,
    },
    /// A process has exited, or could not be started.
    Ended {
        /// The instance's name.
        name: String,
        /// The process's token.
        token: u64,
        /// The exit code, if known.
        code: Option<i32>,
    },
    /// An instance exited too often: it is not restarted until an operator asks for it or its target changes.
    GaveUp {
        /// The instance's name.
        name: String,
    },
    /// The lease was granted or released.
    Lease {
        /// The epoch.
        epoch: u64,
        /// The holder, or `None` if the lease was released.
        holder: Option<Holder>,
    },
    /// A change began.
    Began(Change),
    /// The change has completed an instance.
    #[serde(rename = "Through")]
    InstanceDone {
        /// The instance's name.
        name: String,
    },
    /// The change is being rolled back.
    #[serde(rename = "Undone")]
    RollbackBegan {
        /// Why it is rolled back.
        reason: String,
    },
    /// The change was paused (`true`) or resumed (`false`).
    Paused(bool),
    /// Tokens and change ids that are already used; the first fact of a compacted journal.
    #[serde(rename = "Used")]
    UsedIds {
        /// The highest used token.
        token: u64,
        /// The highest used change id.
        change: u64,
    },
    /// The change has ended.
    Finished {
        /// How it ended.
        outcome: Outcome,
        /// Why it ended so, for operators.
        reason: String,
    },
}

/// The durable state of one instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InstanceState {
    /// Whether it should run.
    pub run: bool,
    /// What it should run.
    pub target: Target,
    /// The token of a process whose start is not confirmed yet, and its target.
    pub starting: Option<(u64, Target)>,
    /// The process, and the target that it runs.
    pub process: Option<(Process, Target)>,
    /// Whether the process has been asked to exit.
    pub stopping: bool,
    /// Whether restarting was given up after too many unexpected exits.
    pub gave_up: bool,
}

/// The agent's durable state: the result of applying all facts in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DurableState {
    /// The instances, by name.
    pub instances: BTreeMap<String, InstanceState>,
    /// The highest used token.
    pub last_token: u64,
    /// The highest granted epoch.
    pub epoch: u64,
    /// The lease's holder according to the journal; the lease may have expired.
    pub holder: Option<Holder>,
    /// The change in progress.
    pub change: Option<Change>,
    /// The id of the last change.
    pub last_change: u64,
    /// How the last change ended, and why.
    pub outcome: Option<(Outcome, String)>,
}

impl DurableState {
    /// Applies a fact. A fact about a token that is not the instance's current one changes nothing.
    pub fn apply(&mut self, fact: &Fact) {
        match fact {
            Fact::Wanted { name, run } => {
                let instance = self.instances.entry(name.clone()).or_default();
                (instance.run, instance.gave_up) = (*run, false);
            }
            Fact::Target { name, target } => {
                let instance = self.instances.entry(name.clone()).or_default();
                instance.target = target.clone();
                // The new target may run although the previous one exited too often.
                instance.gave_up = false;
            }
            Fact::Retired { name } => drop(self.instances.remove(name)),
            Fact::Starting { name, token, target } => {
                self.last_token = self.last_token.max(*token);
                let instance = self.instances.entry(name.clone()).or_default();
                instance.starting = Some((*token, target.clone()));
            }
            Fact::Started { name, process } => {
                let instance = self.instances.entry(name.clone()).or_default();
                if let Some((_, target)) = instance.starting.take_if(|(token, _)| *token == process.token) {
                    (instance.process, instance.stopping) = (Some((process.clone(), target)), false);
                }
            }
            Fact::Stopping { name, token } => {
                let instance = self.instances.entry(name.clone()).or_default();
                instance.stopping |= instance.process.as_ref().is_some_and(|(p, _)| p.token == *token);
            }
            Fact::Ended { name, token, .. } => {
                let instance = self.instances.entry(name.clone()).or_default();
                instance.starting.take_if(|(starting, _)| starting == token);
                if instance.process.take_if(|(p, _)| p.token == *token).is_some() {
                    instance.stopping = false;
                }
            }
            Fact::GaveUp { name } => self.instances.entry(name.clone()).or_default().gave_up = true,
            Fact::Lease { epoch, holder } => {
                self.epoch = self.epoch.max(*epoch);
                self.holder.clone_from(holder);
            }
            Fact::Began(change) => {
                self.last_change = change.id;
                (self.change, self.outcome) = (Some(change.clone()), None);
            }
            Fact::InstanceDone { name } => self.change.iter_mut().for_each(|c| c.done.push(name.clone())),
            Fact::RollbackBegan { reason } => {
                if let Some(change) = &mut self.change {
                    // Only the instances that the change has reached are rolled back, the last one first.
                    let touched = change.names.iter().take(change.done.len() + 1).rev().cloned().collect();
                    (change.names, change.done) = (touched, Vec::new());
                    (change.rollback_reason, change.paused) = (Some(reason.clone()), false);
                }
            }
            Fact::UsedIds { token, change } => {
                (self.last_token, self.last_change) =
                    (self.last_token.max(*token), self.last_change.max(*change));
            }
            Fact::Paused(paused) => self.change.iter_mut().for_each(|c| c.paused = *paused),
            Fact::Finished { outcome, reason } => {
                (self.change, self.outcome) = (None, Some((*outcome, reason.clone())));
            }
        }
    }

    /// A minimal list of facts that reproduces this state, for compacting a long journal.
    pub fn facts(&self) -> Vec<Fact> {
        let mut facts = vec![Fact::UsedIds { token: self.last_token, change: self.last_change }];
        if self.epoch > 0 {
            facts.push(Fact::Lease { epoch: self.epoch, holder: self.holder.clone() });
        }
        for (name, instance) in &self.instances {
            let name = || name.clone();
            facts.push(Fact::Target { name: name(), target: instance.target.clone() });
            facts.push(Fact::Wanted { name: name(), run: instance.run });
            if let Some((process, target)) = &instance.process {
                let (token, target) = (process.token, target.clone());
                facts.push(Fact::Starting { name: name(), token, target });
                facts.push(Fact::Started { name: name(), process: process.clone() });
                facts.extend(instance.stopping.then(|| Fact::Stopping { name: name(), token }));
            }
            if let Some((token, target)) = &instance.starting {
                facts.push(Fact::Starting { name: name(), token: *token, target: target.clone() });
            }
            facts.extend(instance.gave_up.then(|| Fact::GaveUp { name: name() }));
        }
        facts.extend(self.change.clone().map(Fact::Began));
        if let Some((outcome, reason)) = &self.outcome {
            facts.push(Fact::Finished { outcome: *outcome, reason: reason.clone() });
        }
        facts
    }
}
