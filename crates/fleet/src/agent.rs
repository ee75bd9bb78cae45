//! An agent: keeps the instances of one machine running what they are to run, and changes them one at a time.
//!
//! What goes in: the time, processes that started or ended, what instances say of themselves, operators' commands. What
//! comes out are [`Output`]s, to be done one after another: a [`Output::Write`] is on the disk before the next is begun. An
//! agent that is killed between any two of them is made anew from its journal, told which processes run
//! ([`Agent::adopt`]), and goes on; instances serve meanwhile as if nothing were.
//!
//! A change goes from instance to instance: told to end (the instance drains by itself), started with what is new, ready,
//! as good as its peers, a pause. One that fails anywhere on that way is undone, from the last to the first. While a change
//! is under way no more than `max_unavailable` are out, those that are out for other reasons included.

use std::collections::{BTreeMap, VecDeque};

use crate::book::{Book, Change, Fact, Outcome, Process, Target};
use crate::desired::Rules;
use crate::lease::{Holder, Lease, Refused};
use crate::Millis;

/// What a process is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// To drain and end.
    Terminate,
    /// It ends, whatever it does.
    Kill,
}

/// What the driver is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write a fact to the journal, and sync it, before anything that follows.
    Write(Fact),
    /// Start a process, and say so with [`Agent::spawned`].
    Spawn {
        /// For which instance.
        name: String,
        /// The token to give it.
        token: u64,
        /// What it is to run.
        target: Target,
    },
    /// Tell a process something.
    Signal {
        /// The process: only it, not another one with its number.
        process: Process,
        /// What.
        signal: Signal,
    },
    /// Something that operators should know.
    Say(String),
}

/// What an instance says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Status {
    /// It takes requests.
    pub ready: bool,
    /// Requests that it has answered since its start.
    pub answered: u64,
    /// Those of them that failed.
    pub failed: u64,
}

/// Why a command is not carried out.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandRefused {
    /// The epoch does not count.
    Lease(Refused),
    /// A change is under way.
    Busy {
        /// Its number.
        change: u64,
    },
    /// None is under way.
    Idle,
    /// There is no such instance, or none in such a state.
    Unknown(String),
}

/// What is seen of a process, and not on the disk.
#[derive(Clone, Debug, Default)]
struct Live {
    /// Since when it runs, as far as this agent knows.
    since: Millis,
    status: Status,
    /// How often in a row it did not answer for itself.
    missed: u32,
    /// When it was told to end.
    told: Option<Millis>,
    killed: bool,
    /// When it ended by itself, within the window.
    ends: VecDeque<Millis>,
    /// Not started before.
    retry_at: Millis,
    /// Its last end was by itself.
    failing: bool,
}

/// Counts at the beginning of a comparison.
#[derive(Clone, Debug)]
struct Canary {
    since: Millis,
    own: Status,
    peers: BTreeMap<String, Status>,
}

/// Looks after the instances of one machine.
pub struct Agent {
    rules: Rules,
    book: Book,
    lease: Lease,
    live: BTreeMap<String, Live>,
    canary: Option<Canary>,
    /// No further instance of a change is begun before.
    rest_until: Millis,
    random: u64,
    outputs: VecDeque<Output>,
}

/// So many words that an instance does not answer in a row, and it counts as not ready.
const MISSED_MOST: u32 = 3;
/// How much worse a new instance may be than its peers, whatever the counts: below that nobody would notice.
const WORSE_BY: f64 = 0.005;
/// How sure it must be: the one-sided quantile of 0.999.
const SURE: f64 = 3.09;

/// With fewer failures than these the test below means nothing.
const FEW: u64 = 5;

/// Is the first share of failures above the second, beyond what chance explains? A one-sided test of two proportions.
pub fn is_worse(failed: u64, answered: u64, peers_failed: u64, peers_answered: u64) -> bool {
    if failed < FEW {
        return false;
    }
    let (n, m) = (answered as f64, (peers_answered as f64).max(1.0));
    let (p, q) = (failed as f64 / n, peers_failed as f64 / m);
    let pooled = (failed + peers_failed) as f64 / (n + m);
    let spread = (pooled * (1.0 - pooled) * (1.0 / n + 1.0 / m)).sqrt();
    p - q > WORSE_BY && p - q > SURE * spread
}

impl Agent {
    /// An agent with what its journal says; [`Agent::adopt`] comes next.
    pub fn new(now: Millis, rules: Rules, book: Book, seed: u64) -> Self {
        let lease = Lease::restored(now, book.epoch, book.holder.clone());
        let (live, outputs) = (BTreeMap::new(), VecDeque::new());
        Self { rules, book, lease, live, canary: None, rest_until: now, random: seed, outputs }
    }

    /// What is known for certain.
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// The next thing to do.
    pub fn poll(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// The next moment at which something may be due.
    pub fn poll_timeout(&self) -> Option<Millis> {
        let mut due: Vec<Millis> = Vec::new();
        for (name, kept) in &self.book.instances {
            let Some(live) = self.live.get(name) else { continue };
            let idle = kept.process.is_none() && kept.starting.is_none();
            if idle && kept.run && !kept.gave_up {
                due.push(live.retry_at);
            }
            if let (true, Some(told), false) = (kept.process.is_some(), live.told, live.killed) {
                due.push(told + self.rules.stop_within_ms as f64);
            }
        }
        if let Some(name) = self.current() {
            due.push(self.rest_until);
            if let Some(live) = self.live.get(&name) {
                due.push(live.since + self.rules.ready_within_ms as f64);
            }
            due.extend(self.canary.iter().map(|c| c.since + self.rules.canary_ms as f64));
        }
        due.into_iter().min_by(f64::total_cmp)
    }

    fn write(&mut self, fact: Fact) {
        self.book.add(&fact);
        self.outputs.push_back(Output::Write(fact));
    }

    fn say(&mut self, words: String) {
        self.outputs.push_back(Output::Say(words));
    }

    /// SplitMix64, as a share.
    fn random(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.random;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn live(&mut self, name: &str) -> &mut Live {
        self.live.entry(name.to_string()).or_default()
    }

    // ---- What happens ----

    /// The processes that run and bear a token of this agent, after its start. Each instance whose process is among them
    /// goes on; one whose process is not has ended.
    pub fn adopt(&mut self, now: Millis, running: &[(String, Process)]) {
        let names: Vec<String> = self.book.instances.keys().cloned().collect();
        let mut ours: Vec<u64> = Vec::new();
        for name in names {
            let kept = self.book.instances[&name].clone();
            let runs =
                |token: u64| running.iter().find(|(n, p)| *n == name && p.token == token).map(|(_, p)| p);
            if let Some((token, _)) = kept.starting {
                match runs(token) {
                    // It was started, and the agent ended before it could write so.
                    Some(process) => {
                        self.write(Fact::Started { name: name.clone(), process: process.clone() })
                    }
                    None => self.write(Fact::Ended { name: name.clone(), token, code: None }),
                }
            }
            if let Some((process, _)) = kept.process {
                if runs(process.token) != Some(&process) {
                    self.write(Fact::Ended { name: name.clone(), token: process.token, code: None });
                }
            }
            let live = self.live(&name);
            (live.since, live.retry_at) = (now, now);
            let kept = &self.book.instances[&name];
            ours.extend(kept.process.iter().map(|(p, _)| p.token));
            if kept.stopping {
                // Perhaps it was told, perhaps not: told twice it ends no later.
                if let Some((process, _)) = kept.process.clone() {
                    self.live(&name).told = Some(now);
                    self.outputs.push_back(Output::Signal { process, signal: Signal::Terminate });
                }
            }
        }
        for (name, process) in running.iter().filter(|(_, p)| !ours.contains(&p.token)) {
            self.say(format!("{name}: a process that is nobody's any more is told to end: {}", process.pid));
            self.outputs.push_back(Output::Signal { process: process.clone(), signal: Signal::Terminate });
        }
        self.drive(now);
    }

    /// A process has started, or could not be.
    pub fn spawned(&mut self, now: Millis, name: &str, token: u64, spawned: Result<(u32, u64), String>) {
        match spawned {
            Ok((pid, born)) => {
                let process = Process { token, pid, born };
                self.write(Fact::Started { name: name.to_string(), process });
                let live = self.live(name);
                (live.since, live.status, live.told, live.killed) = (now, Status::default(), None, false);
                live.missed = 0;
                self.drive(now);
            }
            Err(words) => {
                self.say(format!("{name}: {words}"));
                self.exited(now, name, token, None);
            }
        }
    }

    /// A process has ended.
    pub fn exited(&mut self, now: Millis, name: &str, token: u64, code: Option<i32>) {
        let Some(kept) = self.book.instances.get(name) else { return };
        let is_its = kept.process.as_ref().is_some_and(|(p, _)| p.token == token)
            || kept.starting.as_ref().is_some_and(|(starting, _)| *starting == token);
        if !is_its {
            return;
        }
        let by_itself = !kept.stopping;
        self.write(Fact::Ended { name: name.to_string(), token, code });
        let (window, most) = (self.rules.restart_window_ms as f64, self.rules.restarts_most);
        let (first, jitter) = (self.rules.backoff_ms as f64, 0.5 + self.random() / 2.0);
        let live = self.live(name);
        (live.status, live.told, live.killed, live.failing) = (Status::default(), None, false, by_itself);
        live.retry_at = now;
        if by_itself {
            live.ends.push_back(now);
            while live.ends.front().is_some_and(|at| at + window <= now) {
                live.ends.pop_front();
            }
            let count = live.ends.len();
            live.retry_at = now + (first * 2.0f64.powi(count.min(12) as i32 - 1)).min(window) * jitter;
            let code = code.map_or("no code".to_string(), |c| format!("code {c}"));
            self.say(format!("{name}: ended by itself, {code}, {count} times within the window"));
            if count > most {
                self.say(format!("{name}: no more is tried"));
                self.write(Fact::GaveUp { name: name.to_string() });
            }
        }
        self.drive(now);
    }

    /// What an instance says of itself, or `None` where it does not answer.
    pub fn inspected(&mut self, now: Millis, name: &str, token: u64, status: Option<Status>) {
        let runs = self.book.instances.get(name).and_then(|k| k.process.as_ref());
        if runs.is_none_or(|(p, _)| p.token != token) {
            return;
        }
        let live = self.live(name);
        match status {
            Some(status) => (live.status, live.missed) = (status, 0),
            None => {
                // One answer that is late on a busy machine says nothing.
                live.missed += 1;
                live.status.ready &= live.missed < MISSED_MOST;
            }
        }
        // Many say something many times a second: the others are looked at only where this brought something about.
        if self.step_change(now) {
            self.drive(now);
        } else {
            self.keep(now, name);
        }
    }

    /// Does what is due by now.
    pub fn handle_timeout(&mut self, now: Millis) {
        self.drive(now);
    }

    // ---- What operators say ----

    /// Grants the lease.
    ///
    /// # Errors
    /// Says who has it.
    pub fn lease(&mut self, now: Millis, epoch: u64, holder: Holder) -> Result<(), Refused> {
        self.lease.grant(now, epoch, holder)?;
        let holder = self.lease.holder(now).cloned();
        if (self.book.epoch, &self.book.holder) != (epoch, &holder) {
            // One that only holds on to it is not written each time.
            self.write(Fact::Lease { epoch, holder });
        }
        Ok(())
    }

    /// Takes the lease back from its holder's own hand.
    ///
    /// # Errors
    /// Where the epoch counts no more.
    pub fn give_back(&mut self, now: Millis, epoch: u64) -> Result<(), Refused> {
        self.lease.release(now, epoch)?;
        self.write(Fact::Lease { epoch, holder: None });
        Ok(())
    }

    /// The lease, to look at and to renew.
    pub fn lease_mut(&mut self) -> &mut Lease {
        &mut self.lease
    }

    /// Wants an instance to run, with that target where it is new, or not to run.
    ///
    /// # Errors
    /// Where the epoch does not count, or a change is under way.
    pub fn want(
        &mut self,
        now: Millis,
        epoch: u64,
        name: &str,
        run: bool,
        target: &Target,
    ) -> Result<(), CommandRefused> {
        self.may(now, epoch)?;
        if !self.book.instances.contains_key(name) {
            self.write(Fact::Target { name: name.to_string(), target: target.clone() });
            self.live(name).retry_at = now;
        }
        self.live(name).ends.clear();
        self.write(Fact::Wanted { name: name.to_string(), run });
        self.drive(now);
        Ok(())
    }

    /// Forgets an instance that has no process.
    ///
    /// # Errors
    /// Where the epoch does not count, a change is under way, or there is no such instance that is stopped.
    pub fn retire(&mut self, now: Millis, epoch: u64, name: &str) -> Result<(), CommandRefused> {
        self.may(now, epoch)?;
        let kept = self.book.instances.get(name);
        let idle = kept.is_some_and(|k| !k.run && k.process.is_none() && k.starting.is_none());
        if !idle {
            return Err(CommandRefused::Unknown(name.to_string()));
        }
        self.write(Fact::Retired { name: name.to_string() });
        self.live.remove(name);
        Ok(())
    }

    fn may(&self, now: Millis, epoch: u64) -> Result<(), CommandRefused> {
        self.lease.check(now, epoch).map_err(CommandRefused::Lease)?;
        match &self.book.change {
            Some(change) => Err(CommandRefused::Busy { change: change.id }),
            None => Ok(()),
        }
    }

    /// Begins a change of these instances, in this order, each to its target.
    ///
    /// # Errors
    /// Where the epoch does not count, another change is under way, or there is no such instance.
    pub fn begin(
        &mut self,
        now: Millis,
        epoch: u64,
        names: &[String],
        to: BTreeMap<String, Target>,
    ) -> Result<u64, CommandRefused> {
        self.may(now, epoch)?;
        let mut from = BTreeMap::new();
        for name in names {
            let kept = self.book.instances.get(name);
            let kept = kept.filter(|_| to.contains_key(name));
            let kept = kept.ok_or_else(|| CommandRefused::Unknown(name.clone()))?;
            from.insert(name.clone(), kept.target.clone());
        }
        let id = self.book.last_change + 1;
        let by = self.lease.holder(now).cloned();
        // Checked above: the lease has a holder.
        let by = by.ok_or(CommandRefused::Lease(Refused::Stale { epoch }))?;
        let (names, done) = (names.to_vec(), Vec::new());
        let change = Change { id, names, to, from, by, done, undone_for: None, paused: false };
        self.write(Fact::Began(change));
        self.rest_until = now;
        self.canary = None;
        self.drive(now);
        Ok(id)
    }

    /// Undoes the change that is under way.
    ///
    /// # Errors
    /// Where the epoch does not count, or none is under way.
    pub fn abort(&mut self, now: Millis, epoch: u64) -> Result<(), CommandRefused> {
        self.lease.check(now, epoch).map_err(CommandRefused::Lease)?;
        let change = self.book.change.as_ref().ok_or(CommandRefused::Idle)?;
        if change.undone_for.is_none() {
            self.undo(now, "an operator's word".to_string());
        }
        self.drive(now);
        Ok(())
    }

    /// Lets the change wait before its next instance, or go on.
    ///
    /// # Errors
    /// Where the epoch does not count, or none is under way.
    pub fn pause(&mut self, now: Millis, epoch: u64, paused: bool) -> Result<(), CommandRefused> {
        self.lease.check(now, epoch).map_err(CommandRefused::Lease)?;
        self.book.change.as_ref().ok_or(CommandRefused::Idle)?;
        self.write(Fact::Paused(paused));
        self.drive(now);
        Ok(())
    }

    // ---- What is done about it ----

    /// Is this instance ready, running what it is to run?
    fn is_ready(&self, name: &str) -> bool {
        let kept = self.book.instances.get(name);
        let runs = kept.is_some_and(|k| {
            !k.stopping && k.process.as_ref().is_some_and(|(_, target)| *target == k.target)
        });
        runs && self.live.get(name).is_some_and(|l| l.status.ready)
    }

    /// How many are to run and do not serve, besides this one.
    fn out_besides(&self, name: &str) -> usize {
        let wanted = self.book.instances.iter().filter(|(n, k)| k.run && *n != name);
        wanted.filter(|(n, _)| !self.is_ready(n)).count()
    }

    /// The instance that the change is at.
    fn current(&self) -> Option<String> {
        let change = self.book.change.as_ref()?;
        change.names.iter().find(|n| !change.done.contains(n)).cloned()
    }

    fn undo(&mut self, now: Millis, reason: String) {
        self.say(format!("the change is undone: {reason}"));
        self.write(Fact::Undone { reason });
        self.canary = None;
        self.rest_until = now;
    }

    fn drive(&mut self, now: Millis) {
        // A change may bring about a start or an end, and these another step of the change, all at one moment.
        while self.step_change(now) {}
        let names: Vec<String> = self.book.instances.keys().cloned().collect();
        for name in names {
            self.keep(now, &name);
        }
    }

    /// Starts, ends or kills what is due.
    fn keep(&mut self, now: Millis, name: &str) {
        let kept = self.book.instances[name].clone();
        let stop_within = self.rules.stop_within_ms as f64;
        match (kept.process, kept.starting) {
            (Some((process, runs)), _) => {
                let unwanted = !kept.run || runs != kept.target;
                if unwanted && !kept.stopping {
                    self.write(Fact::Stopping { name: name.to_string(), token: process.token });
                    self.live(name).told = Some(now);
                    self.outputs.push_back(Output::Signal { process, signal: Signal::Terminate });
                } else if kept.stopping {
                    let live = self.live(name);
                    let due = live.told.is_some_and(|told| now >= told + stop_within);
                    if due && !std::mem::replace(&mut live.killed, true) {
                        self.say(format!("{name}: did not end in time, and is killed"));
                        self.outputs.push_back(Output::Signal { process, signal: Signal::Kill });
                    }
                }
            }
            (None, None) if kept.run && !kept.gave_up && now >= self.live(name).retry_at => {
                let token = self.book.token + 1;
                let target = kept.target;
                self.live(name).since = now;
                let name = name.to_string();
                self.write(Fact::Starting { name: name.clone(), token, target: target.clone() });
                self.outputs.push_back(Output::Spawn { name, token, target });
            }
            _ => {}
        }
    }

    /// Takes the change one step on; true where something was done at once.
    fn step_change(&mut self, now: Millis) -> bool {
        let Some(change) = self.book.change.clone() else { return false };
        let Some(name) = self.current() else {
            let (outcome, reason) = match change.undone_for {
                None => (Outcome::Done, "all instances run it".to_string()),
                Some(reason) => (Outcome::RolledBack, reason),
            };
            self.write(Fact::Finished { outcome, reason });
            return false;
        };
        let back = change.undone_for.is_some();
        let wanted = if back { change.from.get(&name) } else { change.to.get(&name) };
        let wanted = wanted.cloned().unwrap_or_default();
        let kept = &self.book.instances[&name];
        if kept.target != wanted {
            // Nothing is taken out for a change while too many are out already; but one that is out itself is not.
            let room = self.out_besides(&name) < self.rules.max_unavailable || !self.is_ready(&name);
            if now < self.rest_until || !room || change.paused {
                return false;
            }
            self.canary = None;
            let live = self.live(&name);
            (live.since, live.failing, live.retry_at) = (now, false, now);
            live.ends.clear();
            self.write(Fact::Target { name, target: wanted });
            return true;
        }
        if !kept.run {
            // One that is not to run only learns what it would run.
            self.write(Fact::Through { name });
            return true;
        }
        if self.is_ready(&name) {
            let better = if back { Some(true) } else { self.compare(now, &name) };
            match better {
                None => return false,
                Some(true) => {
                    self.canary = None;
                    self.rest_until = now + self.rules.pause_ms as f64;
                    self.write(Fact::Through { name });
                }
                Some(false) => self.undo(now, format!("{name} fails more requests than its peers")),
            }
            return true;
        }
        let runs = kept.process.as_ref().is_some_and(|(_, target)| *target == wanted);
        let live = self.live(&name);
        let late = now >= live.since + self.rules.ready_within_ms as f64 + self.rules.stop_within_ms as f64;
        let late = late || (runs && now >= self.live[&name].since + self.rules.ready_within_ms as f64);
        let failing = self.live[&name].failing || self.book.instances[&name].gave_up;
        if !(late || failing) {
            return false;
        }
        let reason = if failing { "ended by itself" } else { "was not ready in time" };
        if back {
            let reason = format!(
                "{name} {reason} when the change was undone; {}",
                change.undone_for.unwrap_or_default()
            );
            self.say(format!("people are needed: {reason}"));
            self.write(Fact::Finished { outcome: Outcome::Mixed, reason });
            return false;
        }
        self.undo(now, format!("{name} {reason}"));
        true
    }

    /// Does a new instance do as well as its peers? `None` while that is not known.
    fn compare(&mut self, now: Millis, name: &str) -> Option<bool> {
        if self.rules.canary_requests == 0 {
            return Some(true);
        }
        let peers = || {
            let peers = self.live.iter().filter(|(n, l)| *n != name && l.status.ready);
            peers.map(|(n, l)| (n.clone(), l.status)).collect::<BTreeMap<String, Status>>()
        };
        let own = self.live.get(name)?.status;
        let Some(canary) = &self.canary else {
            self.canary = Some(Canary { since: now, own, peers: peers() });
            return None;
        };
        let answered = own.answered.saturating_sub(canary.own.answered);
        let failed = own.failed.saturating_sub(canary.own.failed);
        if answered < self.rules.canary_requests as u64 {
            let over = now >= canary.since + self.rules.canary_ms as f64;
            return over.then_some(true);
        }
        let (mut peers_answered, mut peers_failed) = (0, 0);
        for (name, now) in peers() {
            let Some(before) = canary.peers.get(&name) else { continue };
            peers_answered += now.answered.saturating_sub(before.answered);
            peers_failed += now.failed.saturating_sub(before.failed);
        }
        Some(!is_worse(failed, answered, peers_failed, peers_answered))
    }
}
