//! Tests of the agent with simulated processes and a simulated disk. Among others, the agent is killed at
//! every step of a change and rebuilt from its journal.

use std::collections::BTreeMap;

use glenwood_fleet::agent::{is_worse, Agent, CommandError, Output, Signal, Status};
use glenwood_fleet::book::{DurableState, Fact, Outcome, Process, Target};
use glenwood_fleet::desired::Rules;
use glenwood_fleet::journal;
use glenwood_fleet::lease::{Holder, LeaseError};

const RULES: Rules = Rules {
    max_unavailable: 1,
    pause_ms: 50,
    ready_within_ms: 500,
    stop_within_ms: 300,
    backoff_ms: 20,
    max_restarts: 3,
    restart_window_ms: 60_000,
    canary_requests: 100,
    canary_ms: 400,
};

/// Time from a process's start until it is ready, in milliseconds.
const READY_AFTER_MS: f64 = 40.0;
/// Time from SIGTERM until a process exits, in milliseconds.
const EXIT_AFTER_MS: f64 = 30.0;
/// Time until a killed agent is started again, in milliseconds.
const AGENT_DOWNTIME_MS: f64 = 70.0;

fn target(release: &str) -> Target {
    Target { release: release.into(), config: "c1".into() }
}

/// The targets that move all `names` to `release`.
fn all_to(names: &[String], release: &str) -> BTreeMap<String, Target> {
    names.iter().map(|name| (name.clone(), target(release))).collect()
}

fn holder(who: &str) -> Holder {
    Holder { who: who.into(), why: "a test".into(), since_unix_ms: 0.0, span_ms: 600_000.0 }
}

/// A simulated process. The release selects its behaviour: `never` is never ready, `crash` exits soon after
/// its start, `errors` fails many requests, and `ignores-term` ignores SIGTERM.
#[derive(Clone, Debug)]
struct Proc {
    name: String,
    process: Process,
    release: String,
    started_at: f64,
    terminated_at: Option<f64>,
}

impl Proc {
    fn is_ready(&self, now: f64) -> bool {
        self.release != "never"
            && self.release != "crash"
            && self.terminated_at.is_none()
            && now >= self.started_at + READY_AFTER_MS
    }

    fn has_exited(&self, now: f64) -> bool {
        let terminated = self.terminated_at.is_some_and(|terminated_at| now >= terminated_at + EXIT_AFTER_MS)
            && self.release != "ignores-term";
        terminated || (self.release == "crash" && now >= self.started_at + 10.0)
    }

    fn status(&self, now: f64) -> Status {
        let answered = (now - self.started_at).max(0.0) as u64;
        let failed = if self.release == "errors" { answered / 8 } else { answered / 500 };
        Status { ready: self.is_ready(now), answered, failed }
    }
}

/// A simulated machine: a disk, processes that keep running when the agent is killed, and the agent.
struct Machine {
    now: f64,
    rules: Rules,
    agent: Option<Agent>,
    /// When a killed agent is started again.
    agent_restart_at: f64,
    disk: Vec<u8>,
    number: u64,
    procs: Vec<Proc>,
    last_pid: u32,
    /// Number of outputs carried out.
    executed: usize,
    /// The agent is killed before this output.
    kill_before: Option<usize>,
    /// Whether the kill leaves a half-written journal record.
    torn: bool,
    kills: usize,
    /// Maximum number of instances unavailable at once since `counting` was set.
    max_unavailable_seen: usize,
    counting: bool,
    messages: Vec<String>,
    signals: Vec<(u32, Signal)>,
}

impl Machine {
    fn new(rules: Rules) -> Self {
        let mut agent = Agent::new(0.0, rules.clone(), DurableState::default(), 1);
        agent.adopt(0.0, &[]);
        Self {
            now: 0.0,
            rules,
            agent: Some(agent),
            agent_restart_at: 0.0,
            disk: Vec::new(),
            number: 0,
            procs: Vec::new(),
            last_pid: 100,
            executed: 0,
            kill_before: None,
            torn: false,
            kills: 0,
            max_unavailable_seen: 0,
            counting: false,
            messages: Vec::new(),
            signals: Vec::new(),
        }
    }

    /// A machine with `count` ready instances of a release; the lease is held under epoch 1.
    fn serving(count: usize, release: &str, rules: Rules) -> Self {
        let mut machine = Self::new(rules);
        let agent = machine.agent.as_mut().expect("the agent is running");
        agent.acquire_lease(0.0, 1, holder("ada")).expect("the lease is free");
        for n in 0..count {
            agent
                .set_should_run(0.0, 1, &format!("n{n}"), true, &target(release))
                .expect("no change is in progress");
        }
        machine.advance(300.0);
        assert_eq!(machine.count_unavailable(), 0);
        machine.counting = true;
        machine
    }

    fn names(&self) -> Vec<String> {
        self.state().instances.keys().cloned().collect()
    }

    fn state(&self) -> DurableState {
        self.agent.as_ref().map(|a| a.state().clone()).unwrap_or_else(|| self.replay().0)
    }

    /// Replays the journal: the state, the length of the valid records, and their number.
    fn replay(&self) -> (DurableState, usize, u64) {
        let read = journal::decode_all(&self.disk, Some(1)).expect("an undamaged journal");
        let mut state = DurableState::default();
        for record in &read.records {
            let fact: Fact = serde_json::from_slice(&record.bytes).expect("a fact");
            state.apply(&fact);
        }
        (state, read.length, read.records.len() as u64)
    }

    /// Number of instances that should run but are not ready.
    fn count_unavailable(&self) -> usize {
        let replayed;
        let state = match &self.agent {
            Some(agent) => agent.state(),
            None => {
                replayed = self.replay().0;
                &replayed
            }
        };
        let wanted = state.instances.iter().filter(|(_, k)| k.run);
        wanted
            .filter(|(name, _)| !self.procs.iter().any(|p| p.name == **name && p.is_ready(self.now)))
            .count()
    }

    /// The releases of the running processes, ordered by instance.
    fn releases(&self) -> Vec<String> {
        let mut all: Vec<(String, String)> =
            self.procs.iter().map(|p| (p.name.clone(), p.release.clone())).collect();
        all.sort();
        all.into_iter().map(|(_, release)| release).collect()
    }

    /// Kills the agent.
    fn kill_agent(&mut self) {
        self.agent.iter().for_each(|agent| assert_compaction_preserves(agent.state()));
        self.agent = None;
        self.kills += 1;
        self.agent_restart_at = self.now + AGENT_DOWNTIME_MS;
    }

    /// Carries out the agent's outputs in order until there are none left or the agent is killed.
    fn execute_outputs(&mut self) {
        while let Some(output) = self.agent.as_mut().and_then(Agent::poll) {
            if self.kill_before == Some(self.executed) {
                self.kill_before = None;
                if let (Output::Write(fact), true) = (&output, self.torn) {
                    let bytes = serde_json::to_vec(fact).expect("a fact");
                    let record = journal::encode(self.number + 1, &bytes);
                    self.disk.extend(&record[..record.len() / 2]);
                }
                return self.kill_agent();
            }
            self.executed += 1;
            match output {
                Output::Write(fact) => {
                    self.number += 1;
                    let bytes = serde_json::to_vec(&fact).expect("a fact");
                    self.disk.extend(journal::encode(self.number, &bytes));
                }
                Output::Spawn { name, token, target } => {
                    self.last_pid += 1;
                    let process = Process { token, pid: self.last_pid, start_ticks: self.now as u64 };
                    let (started_at, terminated_at, release) = (self.now, None, target.release);
                    self.procs.push(Proc { name: name.clone(), process, release, started_at, terminated_at });
                    let process_count = self.procs.iter().filter(|p| p.name == name).count();
                    assert_eq!(process_count, 1, "{name} runs twice");
                    // The agent may be killed before it is informed of the start.
                    if self.kill_before == Some(self.executed) {
                        self.kill_before = None;
                        return self.kill_agent();
                    }
                    self.executed += 1;
                    let (pid, born, now) = (self.last_pid, self.now as u64, self.now);
                    if let Some(agent) = &mut self.agent {
                        agent.spawned(now, &name, token, Ok((pid, born)));
                    }
                }
                Output::Signal { process, signal } => {
                    self.signals.push((process.pid, signal));
                    let now = self.now;
                    match signal {
                        Signal::Terminate => {
                            for proc in self.procs.iter_mut().filter(|p| p.process == process) {
                                proc.terminated_at = proc.terminated_at.or(Some(now));
                            }
                        }
                        Signal::Kill => self.exit_processes(|p| p.process == process),
                    }
                }
                Output::Message(message) => self.messages.push(message),
            }
        }
    }

    /// Ends the processes that `which` selects.
    fn exit_processes(&mut self, which: impl Fn(&Proc) -> bool) {
        let (exited, rest) = std::mem::take(&mut self.procs).into_iter().partition(|p| which(p));
        self.procs = rest;
        for proc in exited {
            let code = if proc.terminated_at.is_some() { 0 } else { 1 };
            if let Some(agent) = &mut self.agent {
                agent.exited(self.now, &proc.name, proc.process.token, Some(code));
            }
        }
    }

    /// Advances the simulated time by `span` milliseconds.
    fn advance(&mut self, span: f64) {
        let until = self.now + span;
        while self.now < until {
            self.now += 1.0;
            let now = self.now;
            if self.agent.is_none() && now >= self.agent_restart_at {
                let (state, length, number) = self.replay();
                self.disk.truncate(length);
                self.number = number;
                let mut agent = Agent::new(now, self.rules.clone(), state, now as u64);
                let running: Vec<(String, Process)> =
                    self.procs.iter().map(|p| (p.name.clone(), p.process.clone())).collect();
                agent.adopt(now, &running);
                self.agent = Some(agent);
            }
            self.execute_outputs();
            self.exit_processes(|p| p.has_exited(now));
            self.execute_outputs();
            if (now as u64).is_multiple_of(10) {
                for proc in self.procs.clone() {
                    if let Some(agent) = &mut self.agent {
                        agent.inspected(now, &proc.name, proc.process.token, Some(proc.status(now)));
                    }
                    self.execute_outputs();
                }
            }
            if self.agent.as_ref().and_then(Agent::poll_timeout).is_some_and(|due| due <= now) {
                if let Some(agent) = &mut self.agent {
                    agent.handle_timeout(now);
                }
                self.execute_outputs();
            }
            if self.counting {
                self.max_unavailable_seen = self.max_unavailable_seen.max(self.count_unavailable());
            }
        }
    }

    /// Begins a change of all instances to `release`.
    fn begin(&mut self, release: &str) {
        let names = self.names();
        let now = self.now;
        let agent = self.agent.as_mut().expect("the agent is running");
        agent.begin_change(now, 1, &names, all_to(&names, release)).expect("no change is in progress");
    }

    /// Runs until the change has ended, for at most a simulated minute, and returns its outcome.
    fn finish(&mut self) -> Option<(Outcome, String)> {
        for _ in 0..600 {
            self.advance(100.0);
            let Some(agent) = &self.agent else { continue };
            if agent.state().change.is_none() {
                return agent.state().outcome.clone();
            }
        }
        None
    }
}

/// Asserts that replaying the compacted facts of a state reproduces it.
fn assert_compaction_preserves(state: &DurableState) {
    let mut rebuilt = DurableState::default();
    state.facts().iter().for_each(|fact| rebuilt.apply(fact));
    assert_eq!(&rebuilt, state);
}

#[test]
fn a_change_updates_one_instance_after_another() {
    let mut machine = Machine::serving(4, "r1", RULES);
    machine.begin("r2");
    let outcome = machine.finish();
    assert_eq!(outcome.map(|o| o.0), Some(Outcome::Done));
    assert_eq!((machine.releases(), machine.max_unavailable_seen), (vec!["r2".to_string(); 4], 1));
}

/// Kills the agent before each of its outputs in turn, with and without a half-written journal record. The
/// change must end as it does without a kill.
#[test]
fn a_change_survives_a_kill_of_the_agent_at_every_step() {
    for (release, outcome) in
        [("r2", Outcome::Done), ("never", Outcome::RolledBack), ("errors", Outcome::RolledBack)]
    {
        let mut undisturbed = Machine::serving(3, "r1", RULES);
        let first = undisturbed.executed;
        undisturbed.begin(release);
        assert_eq!(undisturbed.finish().map(|o| o.0), Some(outcome), "{release}");
        let points = undisturbed.executed - first;
        assert!(points > 15, "{release}: {points} points");
        for point in 0..points {
            for torn in [false, true] {
                let mut machine = Machine::serving(3, "r1", RULES);
                (machine.kill_before, machine.torn) = (Some(machine.executed + point), torn);
                machine.begin(release);
                let case = format!("{release}, killed at {point}, torn {torn}");
                let ended = machine.finish();
                if point == 0 && machine.kills == 1 && ended.is_none() {
                    // The agent was killed before it recorded the beginning, so the change was never begun.
                    assert_eq!(machine.releases(), vec!["r1".to_string(); 3], "{case}");
                    continue;
                }
                assert_eq!((ended.map(|o| o.0), machine.kills), (Some(outcome), 1), "{case}");
                let runs = if outcome == Outcome::Done { release } else { "r1" };
                machine.advance(1000.0);
                assert_eq!(machine.releases(), vec![runs.to_string(); 3], "{case}");
                assert_eq!((machine.max_unavailable_seen, machine.count_unavailable()), (1, 0), "{case}");
                assert_compaction_preserves(&machine.state());
            }
        }
    }
}

#[test]
fn a_release_that_is_not_ready_crashes_or_fails_is_rolled_back() {
    for (release, reason) in [
        ("never", "n0 was not ready in time"),
        ("crash", "n0 ended by itself"),
        ("errors", "n0 fails more requests than its peers"),
    ] {
        let mut machine = Machine::serving(4, "r1", RULES);
        machine.begin(release);
        assert_eq!(machine.finish(), Some((Outcome::RolledBack, reason.into())));
        machine.advance(500.0);
        assert_eq!(
            (machine.releases(), machine.max_unavailable_seen, machine.count_unavailable()),
            (vec!["r1".to_string(); 4], 1, 0)
        );
    }
}

/// The process ignores SIGTERM: it is killed after `stop_within_ms`, and the change continues.
#[test]
fn an_instance_that_ignores_sigterm_is_killed() {
    let mut machine = Machine::serving(2, "ignores-term", RULES);
    machine.begin("r1");
    assert_eq!(machine.finish().map(|o| o.0), Some(Outcome::Done));
    assert_eq!(machine.signals.iter().filter(|s| s.1 == Signal::Kill).count(), 2);
    assert_eq!(machine.max_unavailable_seen, 1);
}

#[test]
fn an_instance_that_exits_is_restarted_until_the_limit() {
    let mut machine = Machine::serving(2, "r1", RULES);
    machine.exit_processes(|p| p.name == "n0");
    machine.advance(200.0);
    assert_eq!(machine.count_unavailable(), 0, "n0 is ready again");
    let mut machine = Machine::new(RULES);
    let agent = machine.agent.as_mut().expect("the agent is running");
    agent.acquire_lease(0.0, 1, holder("ada")).expect("the lease is free");
    agent.set_should_run(0.0, 1, "n0", true, &target("crash")).expect("no change is in progress");
    machine.advance(5000.0);
    assert_eq!(machine.last_pid - 100, RULES.max_restarts as u32 + 1);
    assert!(machine.state().instances["n0"].gave_up);
    assert_eq!(
        machine.messages.last().map(String::as_str),
        Some("n0: too many unexpected exits, giving up restarting it")
    );
    // An operator's command resets the count of exits.
    let now = machine.now;
    machine
        .agent
        .as_mut()
        .expect("the agent is running")
        .set_should_run(now, 1, "n0", true, &target("crash"))
        .expect("no change is in progress");
    machine.advance(50.0);
    assert!(machine.last_pid - 100 > RULES.max_restarts as u32 + 1);
}

/// The pid of a process that exited has been reused: the other process is neither adopted nor signalled.
#[test]
fn a_reused_pid_is_not_mistaken_for_the_process() {
    let mut machine = Machine::serving(1, "r1", RULES);
    let old = machine.procs[0].process.clone();
    machine.kill_agent();
    machine.procs.clear();
    let (state, _, _) = machine.replay();
    let mut agent = Agent::new(machine.now, RULES, state, 1);
    let other = Process { start_ticks: old.start_ticks + 1, ..old.clone() };
    agent.adopt(machine.now, &[]);
    let outputs: Vec<Output> = std::iter::from_fn(|| agent.poll()).collect();
    assert!(matches!(&outputs[0], Output::Write(Fact::Ended { .. })), "{outputs:?}");
    assert!(outputs.iter().any(|o| matches!(o, Output::Spawn { .. })));
    assert!(!outputs.iter().any(|o| matches!(o, Output::Signal { .. })));
    // A process with the same token and pid but another start time is not adopted either.
    let (state, _, _) = machine.replay();
    let mut agent = Agent::new(machine.now, RULES, state, 1);
    agent.adopt(machine.now, &[("n0".into(), other)]);
    let outputs: Vec<Output> = std::iter::from_fn(|| agent.poll()).collect();
    assert!(matches!(&outputs[0], Output::Write(Fact::Ended { .. })), "{outputs:?}");
}

#[test]
fn commands_need_the_valid_epoch_and_no_other_change() {
    let mut machine = Machine::serving(3, "r1", RULES);
    let now = machine.now;
    let names = machine.names();
    let agent = machine.agent.as_mut().expect("the agent is running");
    let stale = CommandError::Lease(LeaseError::Stale { epoch: 1 });
    assert_eq!(agent.begin_change(now, 0, &names, all_to(&names, "r2")), Err(stale.clone()));
    assert_eq!(agent.set_should_run(now, 2, "n0", false, &target("r1")), Err(stale));
    assert_eq!(agent.abort_change(now, 1), Err(CommandError::Idle));
    assert_eq!(
        agent.begin_change(now, 1, &["n9".into()], all_to(&["n9".into()], "r2")),
        Err(CommandError::Unknown("n9".into()))
    );
    let id = agent.begin_change(now, 1, &names, all_to(&names, "r2")).expect("no change is in progress");
    assert_eq!(
        agent.begin_change(now, 1, &names, all_to(&names, "r3")),
        Err(CommandError::Busy { change: id })
    );
    assert_eq!(
        agent.set_should_run(now, 1, "n0", false, &target("r1")),
        Err(CommandError::Busy { change: id })
    );
    // After the agent has been killed and restarted the epoch is still valid, and an older one is not.
    machine.advance(10.0);
    machine.kill_agent();
    machine.advance(AGENT_DOWNTIME_MS + 1.0);
    let now = machine.now;
    let agent = machine.agent.as_mut().expect("the agent is running");
    assert_eq!(agent.abort_change(now, 0), Err(CommandError::Lease(LeaseError::Stale { epoch: 1 })));
    assert!(matches!(agent.acquire_lease(now, 2, holder("ben")), Err(LeaseError::Held { .. })));
    assert_eq!(agent.abort_change(now, 1), Ok(()));
    assert_eq!(machine.finish(), Some((Outcome::RolledBack, "an operator's word".into())));
    assert_eq!(machine.releases(), vec!["r1".to_string(); 3]);
}

#[test]
fn a_change_can_be_paused_and_resumed() {
    let mut machine = Machine::serving(3, "r1", RULES);
    machine.begin("r2");
    let now = machine.now;
    machine
        .agent
        .as_mut()
        .expect("the agent is running")
        .set_paused(now, 1, true)
        .expect("a change is in progress");
    machine.advance(20_000.0);
    assert_eq!(
        (machine.releases(), machine.count_unavailable()),
        (vec!["r2".into(), "r1".into(), "r1".into()], 0)
    );
    let now = machine.now;
    machine
        .agent
        .as_mut()
        .expect("the agent is running")
        .set_paused(now, 1, false)
        .expect("a change is in progress");
    assert_eq!(machine.finish().map(|o| o.0), Some(Outcome::Done));
}

/// On a busy machine an instance may miss one or two inspections: it still counts as ready. With three it
/// does not.
#[test]
fn a_late_answer_does_not_make_an_instance_unavailable() {
    let mut machine = Machine::serving(2, "r1", RULES);
    let token = |machine: &Machine| machine.procs.iter().find(|p| p.name == "n0").map(|p| p.process.token);
    let mut terminates_at_once = |misses: usize| {
        machine.advance(20.0);
        let (now, token) = (machine.now, token(&machine).expect("n0 is running"));
        let before = machine.signals.len();
        let agent = machine.agent.as_mut().expect("the agent is running");
        (0..misses).for_each(|_| agent.inspected(now, "n0", token, None));
        // While n0 is unavailable no other instance may be taken down for a change.
        agent
            .begin_change(now, 1, &["n1".into()], all_to(&["n1".into()], "r2"))
            .expect("no change is in progress");
        machine.execute_outputs();
        let signalled = machine.signals.len() > before;
        assert_eq!(machine.finish().map(|o| o.0), Some(Outcome::Done));
        machine.begin("r1");
        assert_eq!(machine.finish().map(|o| o.0), Some(Outcome::Done));
        signalled
    };
    assert!(terminates_at_once(0) && terminates_at_once(2));
    assert!(!terminates_at_once(3), "n0 counts as unavailable until it answers again");
}

/// While one instance is unavailable for another reason, the change takes no further instance down.
#[test]
fn instances_already_unavailable_count_toward_the_limit() {
    let mut machine = Machine::serving(4, "r1", RULES);
    let agent = machine.agent.as_mut().expect("the agent is running");
    agent.set_should_run(machine.now, 1, "n9", true, &target("never")).expect("no change is in progress");
    machine.advance(100.0);
    machine.max_unavailable_seen = 0;
    let names: Vec<String> = (0..4).map(|n| format!("n{n}")).collect();
    let now = machine.now;
    machine
        .agent
        .as_mut()
        .expect("the agent is running")
        .begin_change(now, 1, &names, all_to(&names, "r2"))
        .expect("no change is in progress");
    machine.advance(3000.0);
    assert_eq!(
        (machine.releases()[..4].to_vec(), machine.max_unavailable_seen),
        (vec!["r1".to_string(); 4], 1)
    );
}

#[test]
fn the_comparison_needs_a_relevant_difference_and_enough_failures() {
    assert!(!is_worse(0, 0, 0, 0) && !is_worse(0, 1000, 0, 1000));
    assert!(is_worse(100, 1000, 10, 1000));
    assert!(!is_worse(12, 1000, 10, 1000), "not statistically significant");
    assert!(!is_worse(1, 10, 1, 1000), "too few failures");
    assert!(!is_worse(40, 10_000, 10, 10_000), "significant, but too small to matter");
    assert!(!is_worse(10, 1000, 100, 1000), "a lower failure rate is not worse");
}

/// Fifty machines with twenty instances each, whose agents are killed at random: every change is either
/// completed or rolled back, and at most `max_unavailable` instances are unavailable at once.
#[test]
fn changes_of_a_thousand_instances_survive_random_agent_kills() {
    let mut seed = 9u64;
    let mut below = move |n: u64| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (seed >> 33) % n
    };
    let (mut done, mut rolled_back, mut not_begun, mut kills) = (0, 0, 0, 0);
    for number in 0..50 {
        let rules = Rules { max_unavailable: 3, canary_requests: 50, pause_ms: 5, ..RULES };
        let mut machine = Machine::serving(20, "r1", rules);
        let release = if below(4) == 0 { ["never", "crash", "errors"][below(3) as usize] } else { "r2" };
        machine.begin(release);
        for _ in 0..below(6) {
            machine.kill_before = Some(machine.executed + below(40) as usize);
            machine.torn = below(2) == 0;
            machine.advance(300.0);
        }
        let Some((outcome, reason)) = machine.finish() else {
            // The agent was killed before it recorded the beginning, so the change was never begun.
            assert!(
                machine.state().last_change == 0 && machine.state().change.is_none(),
                "machine {number}: the change did not end"
            );
            assert_eq!(machine.releases(), vec!["r1".to_string(); 20]);
            not_begun += 1;
            continue;
        };
        machine.advance(500.0);
        let runs = if outcome == Outcome::Done { release } else { "r1" };
        assert_eq!(machine.releases(), vec![runs.to_string(); 20], "machine {number}, {release}: {reason}");
        assert_eq!(outcome == Outcome::Done, release == "r2", "machine {number}, {release}: {reason}");
        assert!(
            machine.max_unavailable_seen <= 3,
            "machine {number}: {} were unavailable",
            machine.max_unavailable_seen
        );
        done += usize::from(outcome == Outcome::Done);
        rolled_back += usize::from(outcome == Outcome::RolledBack);
        kills += machine.kills;
    }
    let counts = format!("{done} done, {rolled_back} rolled back, {not_begun} not begun, {kills} kills");
    assert!(done > 25 && rolled_back > 4 && not_begun < 5 && kills > 50, "{counts}");
}
