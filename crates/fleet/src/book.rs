//! What an agent knows for certain: the sum of the facts in its journal. A fact is written and on the disk before anything
//! that it announces is done, so that an agent which is killed anywhere finds in it what it may have done.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::lease::Holder;

/// What an instance is to run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Target {
    /// The release, by name.
    pub release: String,
    /// The version of its configuration: the digest of its files.
    pub config: String,
}

/// A process, so that another one under the same number is not taken for it.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Process {
    /// The token that it was started with; no two processes ever have the same.
    pub token: u64,
    /// Its number.
    pub pid: u32,
    /// When it started, as the kernel counts.
    pub born: u64,
}

/// How a change ended.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum Outcome {
    /// All instances run what was wanted.
    Done,
    /// All run again what they ran before.
    RolledBack,
    /// Some run the one and some the other; people are needed.
    Mixed,
}

/// A change of some instances, one after another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Its number.
    pub id: u64,
    /// The instances, in order.
    pub names: Vec<String>,
    /// What each is to run.
    pub to: BTreeMap<String, Target>,
    /// What each ran before.
    pub from: BTreeMap<String, Target>,
    /// Who began it, and what for.
    pub by: Holder,
    /// Those that are through.
    pub done: Vec<String>,
    /// Why it is being undone, where it is.
    pub undone_for: Option<String>,
    /// It waits for an operator's word.
    pub paused: bool,
}

/// One fact.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Fact {
    /// An instance is to run, or not.
    Wanted {
        /// Which.
        name: String,
        /// To run?
        run: bool,
    },
    /// An instance is to run this from now on.
    Target {
        /// Which.
        name: String,
        /// What.
        target: Target,
    },
    /// An instance is forgotten.
    Retired {
        /// Which.
        name: String,
    },
    /// A process is about to be started.
    Starting {
        /// For which instance.
        name: String,
        /// With this token.
        token: u64,
        /// To run this.
        target: Target,
    },
    /// It has started.
    Started {
        /// For which instance.
        name: String,
        /// The process.
        process: Process,
    },
    /// It is about to be told to end.
    Stopping {
        /// Of which instance.
        name: String,
        /// Its token.
        token: u64,
    },
    /// It has ended, or never started.
    Ended {
        /// Of which instance.
        name: String,
        /// Its token.
        token: u64,
        /// How, if that is known.
        code: Option<i32>,
    },
    /// It ended too often: no more is tried before somebody says so.
    GaveUp {
        /// Which instance.
        name: String,
    },
    /// An epoch was granted, or given back.
    Lease {
        /// The epoch.
        epoch: u64,
        /// To whom; `None` where it was given back.
        holder: Option<Holder>,
    },
    /// A change begins.
    Began(Change),
    /// One of its instances is through.
    Through {
        /// Which.
        name: String,
    },
    /// It is being undone from now on.
    Undone {
        /// Why.
        reason: String,
    },
    /// It waits, or goes on.
    Paused(bool),
    /// Numbers that are used up, in a journal that was made anew.
    Used {
        /// Tokens, up to this one.
        token: u64,
        /// Changes, up to this one.
        change: u64,
    },
    /// It has ended.
    Finished {
        /// How.
        outcome: Outcome,
        /// Why, in words.
        reason: String,
    },
}

/// What is known of one instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Kept {
    /// Is it to run?
    pub run: bool,
    /// What it is to run.
    pub target: Target,
    /// The token of a process that may have been started, and what that runs.
    pub starting: Option<(u64, Target)>,
    /// Its process, and what that runs.
    pub process: Option<(Process, Target)>,
    /// The process has been told to end.
    pub stopping: bool,
    /// No more is tried.
    pub gave_up: bool,
}

/// The sum of all facts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Book {
    /// Instances, by name.
    pub instances: BTreeMap<String, Kept>,
    /// The highest token that was used.
    pub token: u64,
    /// The highest epoch that was granted.
    pub epoch: u64,
    /// Who has the lease, as far as the journal tells.
    pub holder: Option<Holder>,
    /// The change that is under way.
    pub change: Option<Change>,
    /// The number of the last change.
    pub last_change: u64,
    /// How the last one ended, and why.
    pub outcome: Option<(Outcome, String)>,
}

impl Book {
    /// Adds a fact. One that makes no sense (of a token that is not the instance's) changes nothing.
    pub fn add(&mut self, fact: &Fact) {
        match fact {
            Fact::Wanted { name, run } => {
                let kept = self.instances.entry(name.clone()).or_default();
                (kept.run, kept.gave_up) = (*run, false);
            }
            Fact::Target { name, target } => {
                let kept = self.instances.entry(name.clone()).or_default();
                kept.target = target.clone();
                // What could not run before may run now.
                kept.gave_up = false;
            }
            Fact::Retired { name } => drop(self.instances.remove(name)),
            Fact::Starting { name, token, target } => {
                self.token = self.token.max(*token);
                let kept = self.instances.entry(name.clone()).or_default();
                kept.starting = Some((*token, target.clone()));
            }
            Fact::Started { name, process } => {
                let kept = self.instances.entry(name.clone()).or_default();
                if let Some((_, target)) = kept.starting.take_if(|(token, _)| *token == process.token) {
                    (kept.process, kept.stopping) = (Some((process.clone(), target)), false);
                }
            }
            Fact::Stopping { name, token } => {
                let kept = self.instances.entry(name.clone()).or_default();
                kept.stopping |= kept.process.as_ref().is_some_and(|(p, _)| p.token == *token);
            }
            Fact::Ended { name, token, .. } => {
                let kept = self.instances.entry(name.clone()).or_default();
                kept.starting.take_if(|(starting, _)| starting == token);
                if kept.process.take_if(|(p, _)| p.token == *token).is_some() {
                    kept.stopping = false;
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
            Fact::Through { name } => self.change.iter_mut().for_each(|c| c.done.push(name.clone())),
            Fact::Undone { reason } => {
                if let Some(change) = &mut self.change {
                    // Those that were touched, the last one first.
                    let touched = change.names.iter().take(change.done.len() + 1).rev().cloned().collect();
                    (change.names, change.done) = (touched, Vec::new());
                    (change.undone_for, change.paused) = (Some(reason.clone()), false);
                }
            }
            Fact::Used { token, change } => {
                (self.token, self.last_change) = (self.token.max(*token), self.last_change.max(*change));
            }
            Fact::Paused(paused) => self.change.iter_mut().for_each(|c| c.paused = *paused),
            Fact::Finished { outcome, reason } => {
                (self.change, self.outcome) = (None, Some((*outcome, reason.clone())));
            }
        }
    }

    /// The fewest facts that make this book: a long journal is made anew from them.
    pub fn facts(&self) -> Vec<Fact> {
        let mut facts = vec![Fact::Used { token: self.token, change: self.last_change }];
        if self.epoch > 0 {
            facts.push(Fact::Lease { epoch: self.epoch, holder: self.holder.clone() });
        }
        for (name, kept) in &self.instances {
            let name = || name.clone();
            facts.push(Fact::Target { name: name(), target: kept.target.clone() });
            facts.push(Fact::Wanted { name: name(), run: kept.run });
            if let Some((process, target)) = &kept.process {
                let (token, target) = (process.token, target.clone());
                facts.push(Fact::Starting { name: name(), token, target });
                facts.push(Fact::Started { name: name(), process: process.clone() });
                facts.extend(kept.stopping.then(|| Fact::Stopping { name: name(), token }));
            }
            if let Some((token, target)) = &kept.starting {
                facts.push(Fact::Starting { name: name(), token: *token, target: target.clone() });
            }
            facts.extend(kept.gave_up.then(|| Fact::GaveUp { name: name() }));
        }
        facts.extend(self.change.clone().map(Fact::Began));
        if let Some((outcome, reason)) = &self.outcome {
            facts.push(Fact::Finished { outcome: *outcome, reason: reason.clone() });
        }
        facts
    }
}
