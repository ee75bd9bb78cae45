//! An agent over virtual processes: it is killed at every point of a change in turn, and made anew from its journal.

use std::collections::BTreeMap;

use glenwood_fleet::agent::{is_worse, Agent, CommandRefused, Output, Signal, Status};
use glenwood_fleet::book::{Book, Fact, Outcome, Process, Target};
use glenwood_fleet::desired::Rules;
use glenwood_fleet::journal;
use glenwood_fleet::lease::{Holder, Refused};

const RULES: Rules = Rules {
    max_unavailable: 1,
    pause_ms: 50,
    ready_within_ms: 500,
    stop_within_ms: 300,
    backoff_ms: 20,
    restarts_most: 3,
    restart_window_ms: 60_000,
    canary_requests: 100,
    canary_ms: 400,
};

/// How long a process takes to be ready, and to end once it is told.
const READY: f64 = 40.0;
const ENDS: f64 = 30.0;
/// How long nobody starts an agent that was killed.
const DEAD: f64 = 70.0;

fn target(release: &str) -> Target {
    Target { release: release.into(), config: "c1".into() }
}

fn all_to(names: &[String], release: &str) -> BTreeMap<String, Target> {
    names.iter().map(|name| (name.clone(), target(release))).collect()
}

fn holder(who: &str) -> Holder {
    Holder { who: who.into(), why: "a test".into(), since_unix_ms: 0.0, span_ms: 600_000.0 }
}

#[derive(Clone, Debug)]
struct Proc {
    name: String,
    process: Process,
    release: String,
    began: f64,
    told: Option<f64>,
}

impl Proc {
    fn ready(&self, now: f64) -> bool {
        self.release != "never" && self.release != "crash" && self.told.is_none() && now >= self.began + READY
    }

    fn over(&self, now: f64) -> bool {
        let told = self.told.is_some_and(|told| now >= told + ENDS) && self.release != "deaf";
        told || (self.release == "crash" && now >= self.began + 10.0)
    }

    fn status(&self, now: f64) -> Status {
        let answered = (now - self.began).max(0.0) as u64;
        let failed = if self.release == "errors" { answered / 8 } else { answered / 500 };
        Status { ready: self.ready(now), answered, failed }
    }
}

/// One machine: processes that live on whatever happens to the agent, a disk, and an agent that may be killed.
struct Machine {
    now: f64,
    rules: Rules,
    agent: Option<Agent>,
    back_at: f64,
    disk: Vec<u8>,
    number: u64,
    procs: Vec<Proc>,
    last_pid: u32,
    /// How many outputs were carried out, and before which of them the agent is killed.
    done: usize,
    kill_before: Option<usize>,
    torn: bool,
    kills: usize,
    /// The most instances that were out at once, since it is counted.
    worst: usize,
    counting: bool,
    said: Vec<String>,
    signals: Vec<(u32, Signal)>,
}

impl Machine {
    fn new(rules: Rules) -> Self {
        let mut agent = Agent::new(0.0, rules.clone(), Book::default(), 1);
        agent.adopt(0.0, &[]);
        Self {
            now: 0.0,
            rules,
            agent: Some(agent),
            back_at: 0.0,
            disk: Vec::new(),
            number: 0,
            procs: Vec::new(),
            last_pid: 100,
            done: 0,
            kill_before: None,
            torn: false,
            kills: 0,
            worst: 0,
            counting: false,
            said: Vec::new(),
            signals: Vec::new(),
        }
    }

    /// So many instances of a release, all serving; the lease has the epoch 1.
    fn serving(count: usize, release: &str, rules: Rules) -> Self {
        let mut machine = Self::new(rules);
        let agent = machine.agent.as_mut().expect("it lives");
        agent.lease(0.0, 1, holder("ada")).expect("free");
        for n in 0..count {
            agent.want(0.0, 1, &format!("n{n}"), true, &target(release)).expect("nothing is under way");
        }
        machine.pass(300.0);
        assert_eq!(machine.out(), 0);
        machine.counting = true;
        machine
    }

    fn names(&self) -> Vec<String> {
        self.book().instances.keys().cloned().collect()
    }

    fn book(&self) -> Book {
        self.agent.as_ref().map(|a| a.book().clone()).unwrap_or_else(|| self.replay().0)
    }

    /// What the journal says, and how long it is without a torn end.
    fn replay(&self) -> (Book, usize, u64) {
        let read = journal::read(&self.disk, Some(1)).expect("the disk is well");
        let mut book = Book::default();
        for record in &read.records {
            let fact: Fact = serde_json::from_slice(&record.bytes).expect("a fact");
            book.add(&fact);
        }
        (book, read.length, read.records.len() as u64)
    }

    /// How many instances that are to run serve nobody.
    fn out(&self) -> usize {
        let replayed;
        let book = match &self.agent {
            Some(agent) => agent.book(),
            None => {
                replayed = self.replay().0;
                &replayed
            }
        };
        let wanted = book.instances.iter().filter(|(_, k)| k.run);
        wanted.filter(|(name, _)| !self.procs.iter().any(|p| p.name == **name && p.ready(self.now))).count()
    }

    fn releases(&self) -> Vec<String> {
        let mut all: Vec<(String, String)> =
            self.procs.iter().map(|p| (p.name.clone(), p.release.clone())).collect();
        all.sort();
        all.into_iter().map(|(_, release)| release).collect()
    }

    fn kill(&mut self) {
        self.agent.iter().for_each(|agent| made_anew(agent.book()));
        self.agent = None;
        self.kills += 1;
        self.back_at = self.now + DEAD;
    }

    /// Carries outputs out, each after the one before, until there are none or the agent is killed.
    fn act(&mut self) {
        while let Some(output) = self.agent.as_mut().and_then(Agent::poll) {
            if self.kill_before == Some(self.done) {
                self.kill_before = None;
                if let (Output::Write(fact), true) = (&output, self.torn) {
                    let bytes = serde_json::to_vec(fact).expect("a fact");
                    let record = journal::write(self.number + 1, &bytes);
                    self.disk.extend(&record[..record.len() / 2]);
                }
                return self.kill();
            }
            self.done += 1;
            match output {
                Output::Write(fact) => {
                    self.number += 1;
                    let bytes = serde_json::to_vec(&fact).expect("a fact");
                    self.disk.extend(journal::write(self.number, &bytes));
                }
                Output::Spawn { name, token, target } => {
                    self.last_pid += 1;
                    let process = Process { token, pid: self.last_pid, born: self.now as u64 };
                    let (began, told, release) = (self.now, None, target.release);
                    self.procs.push(Proc { name: name.clone(), process, release, began, told });
                    let twice = self.procs.iter().filter(|p| p.name == name).count();
                    assert_eq!(twice, 1, "{name} runs twice");
                    // The agent may be killed before it hears of it.
                    if self.kill_before == Some(self.done) {
                        self.kill_before = None;
                        return self.kill();
                    }
                    self.done += 1;
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
                                proc.told = proc.told.or(Some(now));
                            }
                        }
                        Signal::Kill => self.end(|p| p.process == process),
                    }
                }
                Output::Say(words) => self.said.push(words),
            }
        }
    }

    fn end(&mut self, which: impl Fn(&Proc) -> bool) {
        let (over, rest) = std::mem::take(&mut self.procs).into_iter().partition(|p| which(p));
        self.procs = rest;
        for proc in over {
            let code = if proc.told.is_some() { 0 } else { 1 };
            if let Some(agent) = &mut self.agent {
                agent.exited(self.now, &proc.name, proc.process.token, Some(code));
            }
        }
    }

    fn pass(&mut self, span: f64) {
        let until = self.now + span;
        while self.now < until {
            self.now += 1.0;
            let now = self.now;
            if self.agent.is_none() && now >= self.back_at {
                let (book, length, number) = self.replay();
                self.disk.truncate(length);
                self.number = number;
                let mut agent = Agent::new(now, self.rules.clone(), book, now as u64);
                let running: Vec<(String, Process)> =
                    self.procs.iter().map(|p| (p.name.clone(), p.process.clone())).collect();
                agent.adopt(now, &running);
                self.agent = Some(agent);
            }
            self.act();
            self.end(|p| p.over(now));
            self.act();
            if (now as u64).is_multiple_of(10) {
                for proc in self.procs.clone() {
                    if let Some(agent) = &mut self.agent {
                        agent.inspected(now, &proc.name, proc.process.token, Some(proc.status(now)));
                    }
                    self.act();
                }
            }
            if self.agent.as_ref().and_then(Agent::poll_timeout).is_some_and(|due| due <= now) {
                if let Some(agent) = &mut self.agent {
                    agent.handle_timeout(now);
                }
                self.act();
            }
            if self.counting {
                self.worst = self.worst.max(self.out());
            }
        }
    }

    fn begin(&mut self, release: &str) {
        let names = self.names();
        let now = self.now;
        let agent = self.agent.as_mut().expect("it lives");
        agent.begin(now, 1, &names, all_to(&names, release)).expect("nothing is under way");
    }

    /// Until the change is over, for a minute at the most.
    fn finish(&mut self) -> Option<(Outcome, String)> {
        for _ in 0..600 {
            self.pass(100.0);
            let Some(agent) = &self.agent else { continue };
            if agent.book().change.is_none() {
                return agent.book().outcome.clone();
            }
        }
        None
    }
}

/// A journal that is made anew from the book makes the same book.
fn made_anew(book: &Book) {
    let mut again = Book::default();
    book.facts().iter().for_each(|fact| again.add(fact));
    assert_eq!(&again, book);
}

#[test]
fn a_change_goes_from_one_to_the_next() {
    let mut machine = Machine::serving(4, "r1", RULES);
    machine.begin("r2");
    let outcome = machine.finish();
    assert_eq!(outcome.map(|o| o.0), Some(Outcome::Done));
    assert_eq!((machine.releases(), machine.worst), (vec!["r2".to_string(); 4], 1));
}

/// The agent is killed before each of its outputs in turn, also half-way through a write to its journal.
#[test]
fn a_change_survives_the_agents_death_at_every_point() {
    for (release, outcome) in
        [("r2", Outcome::Done), ("never", Outcome::RolledBack), ("errors", Outcome::RolledBack)]
    {
        let mut whole = Machine::serving(3, "r1", RULES);
        let first = whole.done;
        whole.begin(release);
        assert_eq!(whole.finish().map(|o| o.0), Some(outcome), "{release}");
        let points = whole.done - first;
        assert!(points > 15, "{release}: {points} points");
        for point in 0..points {
            for torn in [false, true] {
                let mut machine = Machine::serving(3, "r1", RULES);
                (machine.kill_before, machine.torn) = (Some(machine.done + point), torn);
                machine.begin(release);
                let what = format!("{release}, killed at {point}, torn {torn}");
                let ended = machine.finish();
                if point == 0 && machine.kills == 1 && ended.is_none() {
                    // It was never written that it began: it has not begun.
                    assert_eq!(machine.releases(), vec!["r1".to_string(); 3], "{what}");
                    continue;
                }
                assert_eq!((ended.map(|o| o.0), machine.kills), (Some(outcome), 1), "{what}");
                let runs = if outcome == Outcome::Done { release } else { "r1" };
                machine.pass(1000.0);
                assert_eq!(machine.releases(), vec![runs.to_string(); 3], "{what}");
                assert_eq!((machine.worst, machine.out()), (1, 0), "{what}");
                made_anew(&machine.book());
            }
        }
    }
}

#[test]
fn a_release_that_is_never_ready_ends_or_fails_is_undone() {
    for (release, words) in [
        ("never", "n0 was not ready in time"),
        ("crash", "n0 ended by itself"),
        ("errors", "n0 fails more requests than its peers"),
    ] {
        let mut machine = Machine::serving(4, "r1", RULES);
        machine.begin(release);
        assert_eq!(machine.finish(), Some((Outcome::RolledBack, words.into())));
        machine.pass(500.0);
        assert_eq!((machine.releases(), machine.worst, machine.out()), (vec!["r1".to_string(); 4], 1, 0));
    }
}

/// It ignores SIGTERM: it is killed when its time is over, and the change goes on.
#[test]
fn an_instance_that_does_not_end_is_killed() {
    let mut machine = Machine::serving(2, "deaf", RULES);
    machine.begin("r1");
    assert_eq!(machine.finish().map(|o| o.0), Some(Outcome::Done));
    assert_eq!(machine.signals.iter().filter(|s| s.1 == Signal::Kill).count(), 2);
    assert_eq!(machine.worst, 1);
}

#[test]
fn one_that_ends_by_itself_is_started_again_until_that_makes_no_sense() {
    let mut machine = Machine::serving(2, "r1", RULES);
    machine.end(|p| p.name == "n0");
    machine.pass(200.0);
    assert_eq!(machine.out(), 0, "it is back");
    let mut machine = Machine::new(RULES);
    let agent = machine.agent.as_mut().expect("it lives");
    agent.lease(0.0, 1, holder("ada")).expect("free");
    agent.want(0.0, 1, "n0", true, &target("crash")).expect("nothing is under way");
    machine.pass(5000.0);
    assert_eq!(machine.last_pid - 100, RULES.restarts_most as u32 + 1);
    assert!(machine.book().instances["n0"].gave_up);
    assert_eq!(machine.said.last().map(String::as_str), Some("n0: no more is tried"));
    // An operator's word begins anew.
    let now = machine.now;
    machine.agent.as_mut().expect("it lives").want(now, 1, "n0", true, &target("crash")).expect("idle");
    machine.pass(50.0);
    assert!(machine.last_pid - 100 > RULES.restarts_most as u32 + 1);
}

/// The number of a process that ended is another process's by now: that one is neither adopted nor told anything.
#[test]
fn a_number_that_is_used_again_is_not_taken_for_the_process() {
    let mut machine = Machine::serving(1, "r1", RULES);
    let old = machine.procs[0].process.clone();
    machine.kill();
    machine.procs.clear();
    let (book, _, _) = machine.replay();
    let mut agent = Agent::new(machine.now, RULES, book, 1);
    let other = Process { born: old.born + 1, ..old.clone() };
    agent.adopt(machine.now, &[]);
    let outputs: Vec<Output> = std::iter::from_fn(|| agent.poll()).collect();
    assert!(matches!(&outputs[0], Output::Write(Fact::Ended { .. })), "{outputs:?}");
    assert!(outputs.iter().any(|o| matches!(o, Output::Spawn { .. })));
    assert!(!outputs.iter().any(|o| matches!(o, Output::Signal { .. })));
    // With its token copied into another process it is still not that one.
    let (book, _, _) = machine.replay();
    let mut agent = Agent::new(machine.now, RULES, book, 1);
    agent.adopt(machine.now, &[("n0".into(), other)]);
    let outputs: Vec<Output> = std::iter::from_fn(|| agent.poll()).collect();
    assert!(matches!(&outputs[0], Output::Write(Fact::Ended { .. })), "{outputs:?}");
}

#[test]
fn commands_need_the_epoch_that_counts_and_one_change_at_a_time() {
    let mut machine = Machine::serving(3, "r1", RULES);
    let now = machine.now;
    let names = machine.names();
    let agent = machine.agent.as_mut().expect("it lives");
    let stale = CommandRefused::Lease(Refused::Stale { epoch: 1 });
    assert_eq!(agent.begin(now, 0, &names, all_to(&names, "r2")), Err(stale.clone()));
    assert_eq!(agent.want(now, 2, "n0", false, &target("r1")), Err(stale));
    assert_eq!(agent.abort(now, 1), Err(CommandRefused::Idle));
    assert_eq!(
        agent.begin(now, 1, &["n9".into()], all_to(&["n9".into()], "r2")),
        Err(CommandRefused::Unknown("n9".into()))
    );
    let id = agent.begin(now, 1, &names, all_to(&names, "r2")).expect("idle");
    assert_eq!(agent.begin(now, 1, &names, all_to(&names, "r3")), Err(CommandRefused::Busy { change: id }));
    assert_eq!(agent.want(now, 1, "n0", false, &target("r1")), Err(CommandRefused::Busy { change: id }));
    // The agent is killed and comes back: the epoch of before still counts, and an older one does not.
    machine.pass(10.0);
    machine.kill();
    machine.pass(DEAD + 1.0);
    let now = machine.now;
    let agent = machine.agent.as_mut().expect("it is back");
    assert_eq!(agent.abort(now, 0), Err(CommandRefused::Lease(Refused::Stale { epoch: 1 })));
    assert!(matches!(agent.lease(now, 2, holder("ben")), Err(Refused::Held { .. })));
    assert_eq!(agent.abort(now, 1), Ok(()));
    assert_eq!(machine.finish(), Some((Outcome::RolledBack, "an operator's word".into())));
    assert_eq!(machine.releases(), vec!["r1".to_string(); 3]);
}

#[test]
fn a_change_waits_and_goes_on() {
    let mut machine = Machine::serving(3, "r1", RULES);
    machine.begin("r2");
    let now = machine.now;
    machine.agent.as_mut().expect("it lives").pause(now, 1, true).expect("under way");
    machine.pass(20_000.0);
    assert_eq!((machine.releases(), machine.out()), (vec!["r2".into(), "r1".into(), "r1".into()], 0));
    let now = machine.now;
    machine.agent.as_mut().expect("it lives").pause(now, 1, false).expect("under way");
    assert_eq!(machine.finish().map(|o| o.0), Some(Outcome::Done));
}

/// An instance misses an answer or two on a busy machine: it is still ready, and the change is not undone for it.
#[test]
fn an_answer_that_is_late_is_no_failure() {
    let mut machine = Machine::serving(2, "r1", RULES);
    let token = |machine: &Machine| machine.procs.iter().find(|p| p.name == "n0").map(|p| p.process.token);
    let mut told_at_once = |misses: usize| {
        machine.pass(20.0);
        let (now, token) = (machine.now, token(&machine).expect("it runs"));
        let before = machine.signals.len();
        let agent = machine.agent.as_mut().expect("it lives");
        (0..misses).for_each(|_| agent.inspected(now, "n0", token, None));
        // With n0 out no other may be taken out for a change.
        agent.begin(now, 1, &["n1".into()], all_to(&["n1".into()], "r2")).expect("idle");
        machine.act();
        let told = machine.signals.len() > before;
        assert_eq!(machine.finish().map(|o| o.0), Some(Outcome::Done));
        machine.begin("r1");
        assert_eq!(machine.finish().map(|o| o.0), Some(Outcome::Done));
        told
    };
    assert!(told_at_once(0) && told_at_once(2));
    assert!(!told_at_once(3), "n0 counts as out until it answers again");
}

/// One is out already: nothing more is taken out for the change before it is back.
#[test]
fn what_is_out_already_counts() {
    let mut machine = Machine::serving(4, "r1", RULES);
    let agent = machine.agent.as_mut().expect("it lives");
    agent.want(machine.now, 1, "n9", true, &target("never")).expect("idle");
    machine.pass(100.0);
    machine.worst = 0;
    let names: Vec<String> = (0..4).map(|n| format!("n{n}")).collect();
    let now = machine.now;
    machine.agent.as_mut().expect("it lives").begin(now, 1, &names, all_to(&names, "r2")).expect("idle");
    machine.pass(3000.0);
    assert_eq!((machine.releases()[..4].to_vec(), machine.worst), (vec!["r1".to_string(); 4], 1));
}

#[test]
fn the_comparison_needs_a_difference_and_counts_enough_for_it() {
    assert!(!is_worse(0, 0, 0, 0) && !is_worse(0, 1000, 0, 1000));
    assert!(is_worse(100, 1000, 10, 1000));
    assert!(!is_worse(12, 1000, 10, 1000), "chance explains it");
    assert!(!is_worse(1, 10, 1, 1000), "one of ten is no count");
    assert!(!is_worse(40, 10_000, 10, 10_000), "beyond chance, and too little to matter");
    assert!(!is_worse(10, 1000, 100, 1000), "better is not worse");
}

/// Fifty machines with twenty instances each, agents killed at random: every change ends whole, and the bound holds.
#[test]
fn a_thousand_instances_under_fifty_agents() {
    let mut seed = 9u64;
    let mut below = move |n: u64| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (seed >> 33) % n
    };
    let (mut done, mut undone, mut not_begun, mut kills) = (0, 0, 0, 0);
    for number in 0..50 {
        let rules = Rules { max_unavailable: 3, canary_requests: 50, pause_ms: 5, ..RULES };
        let mut machine = Machine::serving(20, "r1", rules);
        let release = if below(4) == 0 { ["never", "crash", "errors"][below(3) as usize] } else { "r2" };
        machine.begin(release);
        for _ in 0..below(6) {
            machine.kill_before = Some(machine.done + below(40) as usize);
            machine.torn = below(2) == 0;
            machine.pass(300.0);
        }
        let Some((outcome, reason)) = machine.finish() else {
            // The agent was killed before it could write that it begins: nothing has begun.
            assert!(
                machine.book().last_change == 0 && machine.book().change.is_none(),
                "machine {number}: no end"
            );
            assert_eq!(machine.releases(), vec!["r1".to_string(); 20]);
            not_begun += 1;
            continue;
        };
        machine.pass(500.0);
        let runs = if outcome == Outcome::Done { release } else { "r1" };
        assert_eq!(machine.releases(), vec![runs.to_string(); 20], "machine {number}, {release}: {reason}");
        assert_eq!(outcome == Outcome::Done, release == "r2", "machine {number}, {release}: {reason}");
        assert!(machine.worst <= 3, "machine {number}: {} were out", machine.worst);
        done += usize::from(outcome == Outcome::Done);
        undone += usize::from(outcome == Outcome::RolledBack);
        kills += machine.kills;
    }
    let counts = format!("{done} done, {undone} undone, {not_begun} not begun, {kills} kills");
    assert!(done > 25 && undone > 4 && not_begun < 5 && kills > 50, "{counts}");
}
