//! Fault schedules as data: generated from a seed or given, printed when a test fails, and replayed.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::relay::{End, Impairment, LinkImpairment};

/// Environment variable with a schedule to run instead of the generated one.
pub const SCHEDULE_VARIABLE: &str = "GLENWOOD_SCHEDULE";

/// One fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Fault {
    /// Kills a node's process.
    Kill(usize),
    /// Starts a node again under its name and its stable addresses.
    Start(usize),
    /// Pauses a node's process (SIGSTOP).
    #[serde(rename = "Stop")]
    Pause(usize),
    /// Resumes a paused process (SIGCONT).
    #[serde(rename = "GoOn")]
    Resume(usize),
    /// Asks a node to shut down.
    Terminate(usize),
    /// Starts a successor while the node runs, and asks the old process to shut down once the new one
    /// listens.
    Upgrade(usize),
    /// Adds an impairment to links.
    #[serde(rename = "Lay")]
    Impair(LinkImpairment),
    /// Removes all impairments.
    Heal,
}

/// A fault and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TimedFault {
    /// Milliseconds since the start of the schedule.
    pub at: u64,
    /// The fault.
    pub fault: Fault,
}

/// A list of faults in order of time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// Seed from which the schedule was generated; also the seed for random faults on links.
    pub seed: u64,
    /// The faults.
    pub steps: Vec<TimedFault>,
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&serde_json::to_string(self).unwrap_or_default())
    }
}

/// Kinds of faults that a generated schedule contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Nodes are killed, and restarted at once or later.
    Crash,
    /// Nodes are paused for a while.
    Stall,
    /// Some nodes are cut off from the others, in both directions or in one.
    Cut,
    /// Datagrams are lost, duplicated and reordered.
    Lossy,
    /// Nodes are upgraded.
    Upgrade,
}

impl Schedule {
    /// Generates faults of these kinds over `span` milliseconds among so many nodes: one after another, each
    /// undone before the end, and never with more than half of the nodes affected at a time.
    pub fn generate(seed: u64, nodes: usize, span: u64, kinds: &[FaultKind]) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let (mut steps, mut at) = (Vec::new(), 0);
        loop {
            at += random.u64(100..600);
            let length = random.u64(300..2500);
            if at + length + 500 > span {
                break;
            }
            let node = random.usize(0..nodes);
            let mut add = |at, fault| steps.push(TimedFault { at, fault });
            match kinds[random.usize(0..kinds.len())] {
                FaultKind::Crash => {
                    add(at, Fault::Kill(node));
                    // Restarts at once, or after the others have had time to notice.
                    let downtime = if random.bool() { 0 } else { length };
                    add(at + downtime, Fault::Start(node));
                    at += downtime;
                }
                FaultKind::Stall => {
                    add(at, Fault::Pause(node));
                    add(at + length, Fault::Resume(node));
                    at += length;
                }
                FaultKind::Cut => {
                    let size = [1, nodes / 2][random.usize(0..2)].max(1);
                    let (isolated, rest): (Vec<usize>, Vec<usize>) = {
                        let mut all: Vec<usize> = (0..nodes).collect();
                        random.shuffle(&mut all);
                        let rest = all.split_off(size);
                        (all, rest)
                    };
                    let nodes_as_ends = |all: &[usize]| all.iter().map(|n| End::Node(*n)).collect::<Vec<_>>();
                    let cut = |from: &[usize], to: &[usize]| {
                        Fault::Impair(LinkImpairment {
                            from: nodes_as_ends(from),
                            to: nodes_as_ends(to),
                            impairment: Impairment::Cut,
                        })
                    };
                    add(at, cut(&isolated, &rest));
                    if random.bool() {
                        add(at, cut(&rest, &isolated));
                    }
                    add(at + length, Fault::Heal);
                    at += length;
                }
                FaultKind::Lossy => {
                    let on_all_links = |impairment| {
                        Fault::Impair(LinkImpairment { from: Vec::new(), to: Vec::new(), impairment })
                    };
                    add(at, on_all_links(Impairment::Loss(random.u8(5..40))));
                    add(at, on_all_links(Impairment::Duplicated(random.u8(0..30))));
                    add(at, on_all_links(Impairment::Delay(0, random.u64(0..40))));
                    add(at + length, Fault::Heal);
                    at += length;
                }
                FaultKind::Upgrade => {
                    add(at, Fault::Upgrade(node));
                    at += length;
                }
            }
        }
        Self { seed, steps }
    }

    /// The schedule from the environment variable, or this one if it is not set.
    ///
    /// # Panics
    /// If the variable does not hold a valid schedule.
    pub fn or_from_environment(self) -> Self {
        match std::env::var(SCHEDULE_VARIABLE) {
            Ok(text) => serde_json::from_str(&text).expect("invalid schedule"),
            Err(_) => self,
        }
    }

    /// Shell command that replays this schedule.
    pub fn replay_command(&self, package: &str, test: &str, name: &str) -> String {
        format!("{SCHEDULE_VARIABLE}='{self}' cargo test -p {package} --test {test} {name}")
    }
}

/// Prints the command that replays a schedule if the test panics while this value is alive.
pub struct ReplayHint(String);

impl ReplayHint {
    /// For a schedule of this test.
    pub fn new(schedule: &Schedule, package: &str, test: &str, name: &str) -> Self {
        Self(schedule.replay_command(package, test, name))
    }
}

impl Drop for ReplayHint {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("to replay it:\n{}", self.0);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_schedule_is_drawn_alike_and_read_as_it_was_printed() {
        let kinds =
            [FaultKind::Crash, FaultKind::Stall, FaultKind::Cut, FaultKind::Lossy, FaultKind::Upgrade];
        for seed in 0..50 {
            let generated = Schedule::generate(seed, 12, 20_000, &kinds);
            assert_eq!(generated, Schedule::generate(seed, 12, 20_000, &kinds));
            assert_eq!(
                serde_json::from_str::<Schedule>(&generated.to_string())
                    .expect("a printed schedule can be read"),
                generated
            );
            assert!(!generated.steps.is_empty() && generated.steps.iter().all(|step| step.at <= 20_000));
            assert!(generated.steps.is_sorted_by_key(|step| step.at));
            // Every node that is taken out comes back.
            let count = |is: &dyn Fn(&Fault) -> bool| generated.steps.iter().filter(|s| is(&s.fault)).count();
            assert_eq!(count(&|f| matches!(f, Fault::Kill(_))), count(&|f| matches!(f, Fault::Start(_))));
            assert_eq!(count(&|f| matches!(f, Fault::Pause(_))), count(&|f| matches!(f, Fault::Resume(_))));
        }
    }
}
