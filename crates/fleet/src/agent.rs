//! The agent supervises the instances of one machine and rolls changes out to them one at a time.
//!
//! Its inputs are the time, process starts and exits, the status that instances report, and operators'
//! commands. Its outputs are [`Output`]s, which the driver carries out strictly in order: an
//! [`Output::Write`] must be on disk before the next output is started. An agent that is killed between any
//! two outputs is rebuilt from its journal, is given the running processes ([`Agent::adopt`]) and continues;
//! the instances keep serving in the meantime.
//!
//! A change visits one instance after another: terminate it (the instance drains by itself), start it with
//! the new target, wait until it is ready, compare its failure rate with its peers', pause. If any step fails
//! the change is rolled back, from the last instance to the first. During a change at most `max_unavailable`
//! instances are unavailable, including those that are unavailable for other reasons.

use std::collections::{BTreeMap, VecDeque};

use crate::book::{Change, DurableState, Fact, Outcome, Process, Target};
use crate::desired::Rules;
use crate::lease::{Holder, Lease, LeaseError};
use crate::Millis;

/// A signal to send to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Drain and exit.
    Terminate,
    /// Exit at once; the process cannot ignore it.
    Kill,
}

/// An action for the driver; actions are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write a fact to the journal and sync it before any later output is carried out.
    Write(Fact),
    /// Start a process and report the result with [`Agent::spawned`].
    Spawn {
        /// The instance's name.
        name: String,
        /// The token to pass to the process.
        token: u64,
        /// The release and configuration to run.
        target: Target,
    },
    /// Send a signal to a process.
    Signal {
        /// The process; a different process that reuses its pid must not be signalled.
        process: Process,
        /// The signal.
        signal: Signal,
    },
    /// A message for the operators.
    Message(String),
}

/// The status that an instance reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Status {
    /// Whether it accepts requests.
    pub ready: bool,
    /// Requests answered since the instance started.
    pub answered: u64,
    /// Answered requests that failed.
    pub failed: u64,
}

/// Why a command was rejected.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandError {
    /// The command's epoch is not valid.
    Lease(LeaseError),
    /// A change is in progress.
    Busy {
        /// The change's id.
        change: u64,
    },
    /// No change is in progress.
    Idle,
    /// No instance has this name, or it is not in the required state.
    Unknown(String),
}

/// Observed state of an instance's process; not persisted.
#[derive(Clone, Debug, Default)]
struct RuntimeState {
    /// When the process started, was adopted, or was last given a new target.
    since: Millis,
    status: Status,
    /// Consecutive inspections that got no answer.
    missed_inspections: u32,
    /// When SIGTERM was sent.
    terminated_at: Option<Millis>,
    killed: bool,
    /// Times of unexpected exits within the restart window.
    exits: VecDeque<Millis>,
    /// Earliest time of the next start.
    retry_at: Millis,
    /// Whether the last exit was unexpected.
    failing: bool,
}

/// Request counts at the start of a comparison between a changed instance and its peers.
#[derive(Clone, Debug)]
struct Canary {
    since: Millis,
    own: Status,
    peers: BTreeMap<String, Status>,
}

/// Supervises the instances of one machine.
pub struct Agent {
    rules: Rules,
    state: DurableState,
    lease: Lease,
    live: BTreeMap<String, RuntimeState>,
    canary: Option<Canary>,
    /// The change does not move on to its next instance before this time.
    paused_until: Millis,
    random: u64,
    outputs: VecDeque<Output>,
}

/// Number of consecutive unanswered inspections after which an instance counts as not ready.
const MISSED_INSPECTIONS_UNTIL_UNREADY: u32 = 3;
/// A failure rate that exceeds the peers' by no more than this is accepted at any sample size: the difference
/// is too small to notice.
const MAX_FAILURE_RATE_EXCESS: f64 = 0.005;
/// One-sided normal quantile for a confidence of 0.999.
const CONFIDENCE_QUANTILE: f64 = 3.09;

/// With fewer failures the test in [`is_worse`] is not meaningful.
const MIN_FAILURES: u64 = 5;

/// Whether an instance's failure rate is significantly higher than its peers': a one-sided two-proportion
/// z-test.
pub fn is_worse(failed: u64, answered: u64, peers_failed: u64, peers_answered: u64) -> bool {
    if failed < MIN_FAILURES {
        return false;
    }
    let (n, m) = (answered as f64, (peers_answered as f64).max(1.0));
    let (p, q) = (failed as f64 / n, peers_failed as f64 / m);
    let pooled = (failed + peers_failed) as f64 / (n + m);
    let spread = (pooled * (1.0 - pooled) * (1.0 / n + 1.0 / m)).sqrt();
    p - q > MAX_FAILURE_RATE_EXCESS && p - q > CONFIDENCE_QUANTILE * spread
}

impl Agent {
    /// Creates an agent from the state recovered from its journal. Call [`Agent::adopt`] next.
    pub fn new(now: Millis, rules: Rules, state: DurableState, seed: u64) -> Self {
        let lease = Lease::restored(now, state.epoch, state.holder.clone());
        let (live, outputs) = (BTreeMap::new(), VecDeque::new());
        Self { rules, state, lease, live, canary: None, paused_until: now, random: seed, outputs }
    }

    /// The agent's durable state.
    pub fn state(&self) -> &DurableState {
        &self.state
    }

    /// The next action to carry out.
    pub fn poll(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// The time at which [`Agent::handle_timeout`] should next be called.
    pub fn poll_timeout(&self) -> Option<Millis> {
        let mut due: Vec<Millis> = Vec::new();
        for (name, instance) in &self.state.instances {
            let Some(live) = self.live.get(name) else { continue };
            let idle = instance.process.is_none() && instance.starting.is_none();
            if idle && instance.run && !instance.gave_up {
                due.push(live.retry_at);
            }
            if let (true, Some(terminated_at), false) =
                (instance.process.is_some(), live.terminated_at, live.killed)
            {
                due.push(terminated_at + self.rules.stop_within_ms as f64);
            }
        }
        if let Some(name) = self.current_instance() {
            due.push(self.paused_until);
            if let Some(live) = self.live.get(&name) {
                due.push(live.since + self.rules.ready_within_ms as f64);
            }
            due.extend(self.canary.iter().map(|c| c.since + self.rules.canary_ms as f64));
        }
        due.into_iter().min_by(f64::total_cmp)
    }

    fn write(&mut self, fact: Fact) {
        self.state.apply(&fact);
        self.outputs.push_back(Output::Write(fact));
    }

    fn notify(&mut self, message: String) {
        self.outputs.push_back(Output::Message(message));
    }

    /// A SplitMix64 random number in [0, 1).
    fn next_random(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.random;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn live(&mut self, name: &str) -> &mut RuntimeState {
        self.live.entry(name.to_string()).or_default()
    }

    // ---- Process events ----

    /// Takes over the running processes that carry one of this agent's tokens, after the agent has started.
    /// Recorded processes among them continue; a recorded process that is missing has exited, and an
    /// unrecorded one is terminated.
    pub fn adopt(&mut self, now: Millis, running: &[(String, Process)]) {
        let names: Vec<String> = self.state.instances.keys().cloned().collect();
        let mut ours: Vec<u64> = Vec::new();
        for name in names {
            let instance = self.state.instances[&name].clone();
            let find_running =
                |token: u64| running.iter().find(|(n, p)| *n == name && p.token == token).map(|(_, p)| p);
            if let Some((token, _)) = instance.starting {
                match find_running(token) {
                    // The process was started, but the agent was killed before it recorded that.
                    Some(process) => {
                        self.write(Fact::Started { name: name.clone(), process: process.clone() })
                    }
                    None => self.write(Fact::Ended { name: name.clone(), token, code: None }),
                }
            }
            if let Some((process, _)) = instance.process {
                if find_running(process.token) != Some(&process) {
                    self.write(Fact::Ended { name: name.clone(), token: process.token, code: None });
                }
            }
            let live = self.live(&name);
            (live.since, live.retry_at) = (now, now);
            let instance = &self.state.instances[&name];
            ours.extend(instance.process.iter().map(|(p, _)| p.token));
            if instance.stopping {
                // SIGTERM may or may not have been sent before the restart; sending it twice does no harm.
                if let Some((process, _)) = instance.process.clone() {
                    self.live(&name).terminated_at = Some(now);
                    self.outputs.push_back(Output::Signal { process, signal: Signal::Terminate });
                }
            }
        }
        for (name, process) in running.iter().filter(|(_, p)| !ours.contains(&p.token)) {
            self.notify(format!(
                "{name}: terminating process {}, which is not part of the recorded state",
                process.pid
            ));
            self.outputs.push_back(Output::Signal { process: process.clone(), signal: Signal::Terminate });
        }
        self.reconcile_all(now);
    }

    /// Handles the result of starting a process: its pid and start time, or an error message.
    pub fn spawned(&mut self, now: Millis, name: &str, token: u64, spawned: Result<(u32, u64), String>) {
        match spawned {
            Ok((pid, start_ticks)) => {
                let process = Process { token, pid, start_ticks };
                self.write(Fact::Started { name: name.to_string(), process });
                let live = self.live(name);
                (live.since, live.status, live.terminated_at, live.killed) =
                    (now, Status::default(), None, false);
                live.missed_inspections = 0;
                self.reconcile_all(now);
            }
            Err(message) => {
                self.notify(format!("{name}: {message}"));
                self.exited(now, name, token, None);
            }
        }
    }

    /// Handles the exit of a process, or a failed start.
    pub fn exited(&mut self, now: Millis, name: &str, token: u64, code: Option<i32>) {
        let Some(instance) = self.state.instances.get(name) else { return };
        let is_current = instance.process.as_ref().is_some_and(|(p, _)| p.token == token)
            || instance.starting.as_ref().is_some_and(|(starting, _)| *starting == token);
        if !is_current {
            return;
        }
        let unexpected = !instance.stopping;
        self.write(Fact::Ended { name: name.to_string(), token, code });
        let (window, limit) = (self.rules.restart_window_ms as f64, self.rules.max_restarts);
        let (first, jitter) = (self.rules.backoff_ms as f64, 0.5 + self.next_random() / 2.0);
        let live = self.live(name);
        (live.status, live.terminated_at, live.killed, live.failing) =
            (Status::default(), None, false, unexpected);
        live.retry_at = now;
        if unexpected {
            live.exits.push_back(now);
            while live.exits.front().is_some_and(|at| at + window <= now) {
                live.exits.pop_front();
            }
            let count = live.exits.len();
            live.retry_at = now + (first * 2.0f64.powi(count.min(12) as i32 - 1)).min(window) * jitter;
            let code = code.map_or("no code".to_string(), |c| format!("code {c}"));
            self.notify(format!(
                "{name}: exited unexpectedly with {code}, {count} times within the restart window"
            ));
            if count > limit {
                self.notify(format!("{name}: too many unexpected exits, giving up restarting it"));
                self.write(Fact::GaveUp { name: name.to_string() });
            }
        }
        self.reconcile_all(now);
    }

    /// Handles the result of an inspection: the instance's status, or `None` if it did not answer.
    pub fn inspected(&mut self, now: Millis, name: &str, token: u64, status: Option<Status>) {
        let recorded = self.state.instances.get(name).and_then(|k| k.process.as_ref());
        if recorded.is_none_or(|(p, _)| p.token != token) {
            return;
        }
        let live = self.live(name);
        match status {
            Some(status) => (live.status, live.missed_inspections) = (status, 0),
            None => {
                // A single late answer on a busy machine does not mean that the instance is not ready.
                live.missed_inspections += 1;
                live.status.ready &= live.missed_inspections < MISSED_INSPECTIONS_UNTIL_UNREADY;
            }
        }
        // Inspections are frequent: check the other instances only if this one advanced the change.
        if self.advance_change(now) {
            self.reconcile_all(now);
        } else {
            self.reconcile(now, name);
        }
    }

    /// Does everything that is due at `now`.
    pub fn handle_timeout(&mut self, now: Millis) {
        self.reconcile_all(now);
    }

    // ---- Operators' commands ----

    /// Grants the lease to `holder` under `epoch`.
    ///
    /// # Errors
    /// If another holder has the lease or the epoch is not higher than every granted one.
    pub fn acquire_lease(&mut self, now: Millis, epoch: u64, holder: Holder) -> Result<(), LeaseError> {
        self.lease.grant(now, epoch, holder)?;
        let holder = self.lease.holder(now).cloned();
        if (self.state.epoch, &self.state.holder) != (epoch, &holder) {
            // A repeated grant to the same holder is not written to the journal again.
            self.write(Fact::Lease { epoch, holder });
        }
        Ok(())
    }

    /// Releases the lease on behalf of its holder.
    ///
    /// # Errors
    /// If the epoch is no longer valid.
    pub fn release_lease(&mut self, now: Millis, epoch: u64) -> Result<(), LeaseError> {
        self.lease.release(now, epoch)?;
        self.write(Fact::Lease { epoch, holder: None });
        Ok(())
    }

    /// The lease, for checking and renewing it.
    pub fn lease_mut(&mut self) -> &mut Lease {
        &mut self.lease
    }

    /// Sets whether an instance should run. A new instance gets `target`; an existing one keeps its own.
    ///
    /// # Errors
    /// If the epoch is not valid or a change is in progress.
    pub fn set_should_run(
        &mut self,
        now: Millis,
        epoch: u64,
        name: &str,
        run: bool,
        target: &Target,
    ) -> Result<(), CommandError> {
        self.check_idle(now, epoch)?;
        if !self.state.instances.contains_key(name) {
            self.write(Fact::Target { name: name.to_string(), target: target.clone() });
            self.live(name).retry_at = now;
        }
        self.live(name).exits.clear();
        self.write(Fact::Wanted { name: name.to_string(), run });
        self.reconcile_all(now);
        Ok(())
    }

    /// Removes a stopped instance.
    ///
    /// # Errors
    /// If the epoch is not valid, a change is in progress, or no stopped instance has this name.
    pub fn retire(&mut self, now: Millis, epoch: u64, name: &str) -> Result<(), CommandError> {
        self.check_idle(now, epoch)?;
        let instance = self.state.instances.get(name);
        let idle = instance.is_some_and(|k| !k.run && k.process.is_none() && k.starting.is_none());
        if !idle {
            return Err(CommandError::Unknown(name.to_string()));
        }
        self.write(Fact::Retired { name: name.to_string() });
        self.live.remove(name);
        Ok(())
    }

    /// Checks that the epoch is valid and that no change is in progress.
    fn check_idle(&self, now: Millis, epoch: u64) -> Result<(), CommandError> {
        self.lease.check(now, epoch).map_err(CommandError::Lease)?;
        match &self.state.change {
            Some(change) => Err(CommandError::Busy { change: change.id }),
            None => Ok(()),
        }
    }

    /// Begins a change that moves the named instances, in this order, to their targets in `to`; returns its
    /// id.
    ///
    /// # Errors
    /// If the epoch is not valid, another change is in progress, or an instance or its target is missing.
    pub fn begin_change(
        &mut self,
        now: Millis,
        epoch: u64,
        names: &[String],
        to: BTreeMap<String, Target>,
    ) -> Result<u64, CommandError> {
        self.check_idle(now, epoch)?;
        let mut from = BTreeMap::new();
        for name in names {
            let instance = self.state.instances.get(name);
            let instance = instance.filter(|_| to.contains_key(name));
            let instance = instance.ok_or_else(|| CommandError::Unknown(name.clone()))?;
            from.insert(name.clone(), instance.target.clone());
        }
        let id = self.state.last_change + 1;
        let by = self.lease.holder(now).cloned();
        // Cannot fail: `check_idle` has verified that the lease has a holder.
        let by = by.ok_or(CommandError::Lease(LeaseError::Stale { epoch }))?;
        let (names, done) = (names.to_vec(), Vec::new());
        let change = Change { id, names, to, from, by, done, rollback_reason: None, paused: false };
        self.write(Fact::Began(change));
        self.paused_until = now;
        self.canary = None;
        self.reconcile_all(now);
        Ok(id)
    }

    /// Rolls back the change in progress.
    ///
    /// # Errors
    /// If the epoch is not valid or no change is in progress.
    pub fn abort_change(&mut self, now: Millis, epoch: u64) -> Result<(), CommandError> {
        self.lease.check(now, epoch).map_err(CommandError::Lease)?;
        let change = self.state.change.as_ref().ok_or(CommandError::Idle)?;
        if change.rollback_reason.is_none() {
            self.roll_back(now, "an operator's word".to_string());
        }
        self.reconcile_all(now);
        Ok(())
    }

    /// Pauses the change before its next instance, or resumes it.
    ///
    /// # Errors
    /// If the epoch is not valid or no change is in progress.
    pub fn set_paused(&mut self, now: Millis, epoch: u64, paused: bool) -> Result<(), CommandError> {
        self.lease.check(now, epoch).map_err(CommandError::Lease)?;
        self.state.change.as_ref().ok_or(CommandError::Idle)?;
        self.write(Fact::Paused(paused));
        self.reconcile_all(now);
        Ok(())
    }

    // ---- Reconciliation ----

    /// Whether the instance runs its target and is ready.
    fn is_ready(&self, name: &str) -> bool {
        let instance = self.state.instances.get(name);
        let runs_target = instance.is_some_and(|k| {
            !k.stopping && k.process.as_ref().is_some_and(|(_, target)| *target == k.target)
        });
        runs_target && self.live.get(name).is_some_and(|l| l.status.ready)
    }

    /// Number of other instances that should run but are not ready.
    fn count_other_unavailable(&self, name: &str) -> usize {
        let wanted = self.state.instances.iter().filter(|(n, k)| k.run && *n != name);
        wanted.filter(|(n, _)| !self.is_ready(n)).count()
    }

    /// The instance that the change is working on.
    fn current_instance(&self) -> Option<String> {
        let change = self.state.change.as_ref()?;
        change.names.iter().find(|n| !change.done.contains(n)).cloned()
    }

    fn roll_back(&mut self, now: Millis, reason: String) {
        self.notify(format!("rolling back the change: {reason}"));
        self.write(Fact::RollbackBegan { reason });
        self.canary = None;
        self.paused_until = now;
    }

    /// Advances the change as far as possible, then reconciles every instance.
    fn reconcile_all(&mut self, now: Millis) {
        // One step of the change may enable the next one at the same time.
        while self.advance_change(now) {}
        let names: Vec<String> = self.state.instances.keys().cloned().collect();
        for name in names {
            self.reconcile(now, &name);
        }
    }

    /// Starts, terminates or kills the instance's process if that is due.
    fn reconcile(&mut self, now: Millis, name: &str) {
        let instance = self.state.instances[name].clone();
        let stop_within = self.rules.stop_within_ms as f64;
        match (instance.process, instance.starting) {
            (Some((process, running_target)), _) => {
                let unwanted = !instance.run || running_target != instance.target;
                if unwanted && !instance.stopping {
                    self.write(Fact::Stopping { name: name.to_string(), token: process.token });
                    self.live(name).terminated_at = Some(now);
                    self.outputs.push_back(Output::Signal { process, signal: Signal::Terminate });
                } else if instance.stopping {
                    let live = self.live(name);
                    let due =
                        live.terminated_at.is_some_and(|terminated_at| now >= terminated_at + stop_within);
                    if due && !std::mem::replace(&mut live.killed, true) {
                        self.notify(format!("{name}: did not exit in time after SIGTERM, killing it"));
                        self.outputs.push_back(Output::Signal { process, signal: Signal::Kill });
                    }
                }
            }
            (None, None) if instance.run && !instance.gave_up && now >= self.live(name).retry_at => {
                let token = self.state.last_token + 1;
                let target = instance.target;
                self.live(name).since = now;
                let name = name.to_string();
                self.write(Fact::Starting { name: name.clone(), token, target: target.clone() });
                self.outputs.push_back(Output::Spawn { name, token, target });
            }
            _ => {}
        }
    }

    /// Advances the change by one step. Returns true if another step may follow at once.
    fn advance_change(&mut self, now: Millis) -> bool {
        let Some(change) = self.state.change.clone() else { return false };
        let Some(name) = self.current_instance() else {
            let (outcome, reason) = match change.rollback_reason {
                None => (Outcome::Done, "all instances run it".to_string()),
                Some(reason) => (Outcome::RolledBack, reason),
            };
            self.write(Fact::Finished { outcome, reason });
            return false;
        };
        let is_rollback = change.rollback_reason.is_some();
        let wanted = if is_rollback { change.from.get(&name) } else { change.to.get(&name) };
        let wanted = wanted.cloned().unwrap_or_default();
        let instance = &self.state.instances[&name];
        if instance.target != wanted {
            // An instance that is ready may be taken down only while fewer than `max_unavailable` others are
            // unavailable.
            let has_capacity =
                self.count_other_unavailable(&name) < self.rules.max_unavailable || !self.is_ready(&name);
            if now < self.paused_until || !has_capacity || change.paused {
                return false;
            }
            self.canary = None;
            let live = self.live(&name);
            (live.since, live.failing, live.retry_at) = (now, false, now);
            live.exits.clear();
            self.write(Fact::Target { name, target: wanted });
            return true;
        }
        if !instance.run {
            // A stopped instance only records its new target.
            self.write(Fact::InstanceDone { name });
            return true;
        }
        if self.is_ready(&name) {
            let passed = if is_rollback { Some(true) } else { self.compare(now, &name) };
            match passed {
                None => return false,
                Some(true) => {
                    self.canary = None;
                    self.paused_until = now + self.rules.pause_ms as f64;
                    self.write(Fact::InstanceDone { name });
                }
                Some(false) => self.roll_back(now, format!("{name} fails more requests than its peers")),
            }
            return true;
        }
        let runs_wanted = instance.process.as_ref().is_some_and(|(_, target)| *target == wanted);
        let live = self.live(&name);
        let late = now >= live.since + self.rules.ready_within_ms as f64 + self.rules.stop_within_ms as f64;
        let late = late || (runs_wanted && now >= self.live[&name].since + self.rules.ready_within_ms as f64);
        let failing = self.live[&name].failing || self.state.instances[&name].gave_up;
        if !(late || failing) {
            return false;
        }
        let reason = if failing { "ended by itself" } else { "was not ready in time" };
        if is_rollback {
            let reason = format!(
                "{name} {reason} when the change was undone; {}",
                change.rollback_reason.unwrap_or_default()
            );
            self.notify(format!("operator intervention is needed: {reason}"));
            self.write(Fact::Finished { outcome: Outcome::Mixed, reason });
            return false;
        }
        self.roll_back(now, format!("{name} {reason}"));
        true
    }

    /// Whether a changed instance fails no more often than its peers; `None` while there are too few requests
    /// to tell.
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
            let expired = now >= canary.since + self.rules.canary_ms as f64;
            return expired.then_some(true);
        }
        let (mut peers_answered, mut peers_failed) = (0, 0);
        for (name, status) in peers() {
            let Some(baseline) = canary.peers.get(&name) else { continue };
            peers_answered += status.answered.saturating_sub(baseline.answered);
            peers_failed += status.failed.saturating_sub(baseline.failed);
        }
        Some(!is_worse(failed, answered, peers_failed, peers_answered))
    }
}
