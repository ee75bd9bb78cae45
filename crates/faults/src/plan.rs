//! Fault plans: the set of faults to inject, their text form, and the random choice of the calls that fail.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// Environment variable with the plan of a process, for example `seed=1;accept4=600:103,71,4;step=2000:3600`.
pub const ENV_VAR: &str = "GLENWOOD_FAULTS";

/// A rate in faults per 1000 calls.
pub type PerMille = u16;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// accept4(2) fails.
    Accept,
    /// connect(2) fails.
    Connect,
    /// socket(2) fails.
    Socket,
    /// recv(2) fails.
    Recv,
    /// send(2) or writev(2) fails.
    Send,
    /// A connection that the process opened breaks: a call that reads or writes fails.
    Disconnect,
    /// A call that reads or writes transfers no more than the given number of bytes.
    ShortTransfer,
    /// epoll_wait(2) fails.
    EpollWait,
    /// The process sleeps for the given number of milliseconds before it writes.
    Stall,
}

impl Fault {
    const NAMES: [(Self, &'static str); 9] = [
        (Self::Accept, "accept4"),
        (Self::Connect, "connect"),
        (Self::Socket, "socket"),
        (Self::Recv, "recv"),
        (Self::Send, "send"),
        (Self::Disconnect, "break"),
        (Self::ShortTransfer, "short"),
        (Self::EpollWait, "epoll_wait"),
        (Self::Stall, "hold"),
    ];

    fn from_name(name: &str) -> Option<Self> {
        Self::NAMES.iter().find(|(_, fault_name)| *fault_name == name).map(|(fault, _)| *fault)
    }

    fn name(self) -> &'static str {
        Self::NAMES.iter().find(|(fault, _)| *fault == self).map_or("", |(_, name)| name)
    }
}

/// How often one kind of fault occurs, and with which values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// The kind of fault.
    pub fault: Fault,
    /// Rate of the fault.
    pub rate: PerMille,
    /// Values to choose from: error numbers (errno), byte counts for [`Fault::ShortTransfer`], or
    /// milliseconds for [`Fault::Stall`].
    pub values: Vec<i32>,
}

/// A step of the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockStep {
    /// Time of the step in milliseconds after the process first read the wall clock.
    pub at_ms: i64,
    /// Offset of the wall clock from this step on, in seconds.
    pub offset_s: i64,
}

/// The faults of one process, and the seed that determines which calls fail.
#[derive(Debug, Default)]
pub struct Plan {
    /// Seed of the random numbers.
    pub seed: u64,
    /// The faults, one rule for each kind.
    pub rules: Vec<Rule>,
    /// Steps of the wall clock, in ascending order of time.
    pub clock_steps: Vec<ClockStep>,
    draws: AtomicU64,
}

impl Plan {
    /// Creates a plan without faults.
    pub fn new(seed: u64) -> Self {
        Self { seed, ..Self::default() }
    }

    /// Adds a fault at the given rate.
    #[must_use]
    pub fn with_fault(mut self, fault: Fault, rate: PerMille, values: &[i32]) -> Self {
        self.rules.push(Rule { fault, rate, values: values.to_vec() });
        self
    }

    /// Adds a step of the wall clock.
    #[must_use]
    pub fn with_clock_step(mut self, at_ms: i64, offset_s: i64) -> Self {
        self.clock_steps.push(ClockStep { at_ms, offset_s });
        self
    }

    /// Parses the text form of a plan. Parts that do not parse are ignored; an invalid number counts as 0.
    pub fn parse(text: &str) -> Self {
        let mut plan = Self::default();
        for (name, spec) in text.split(';').filter_map(|part| part.split_once('=')) {
            if name == "seed" {
                plan.seed = spec.parse().unwrap_or(0);
                continue;
            }
            let Some((first, rest)) = spec.split_once(':') else { continue };
            if name == "step" {
                plan = plan.with_clock_step(first.parse().unwrap_or(0), rest.parse().unwrap_or(0));
            } else if let Some(fault) = Fault::from_name(name) {
                let values: Vec<i32> = rest.split(',').filter_map(|value| value.parse().ok()).collect();
                plan = plan.with_fault(fault, first.parse().unwrap_or(0), &values);
            }
        }
        plan
    }

    /// Decides whether the current call has this fault; returns the error number or other value to use.
    pub fn draw(&self, fault: Fault) -> Option<i32> {
        let rule = self.rules.iter().find(|rule| rule.fault == fault && !rule.values.is_empty())?;
        let draw_index = self.draws.fetch_add(1, Ordering::Relaxed);
        let random = splitmix64(self.seed ^ splitmix64(draw_index));
        let occurs = random % 1000 < u64::from(rule.rate);
        occurs.then(|| rule.values[(random / 1000) as usize % rule.values.len()])
    }

    /// Returns the offset of the wall clock in seconds, `since_ms` milliseconds after its first reading.
    pub fn offset_s(&self, since_ms: i64) -> i64 {
        self.clock_steps.iter().rfind(|step| step.at_ms <= since_ms).map_or(0, |step| step.offset_s)
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed={}", self.seed)?;
        for Rule { fault, rate, values } in &self.rules {
            let values: Vec<String> = values.iter().map(i32::to_string).collect();
            write!(f, ";{}={rate}:{}", fault.name(), values.join(","))?;
        }
        for ClockStep { at_ms, offset_s } in &self.clock_steps {
            write!(f, ";step={at_ms}:{offset_s}")?;
        }
        Ok(())
    }
}

/// The SplitMix64 generator: one increment of the state and its output function.
fn splitmix64(value: u64) -> u64 {
    let value = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    value ^ (value >> 31)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_plan_survives_formatting_and_parsing_and_faults_occur_at_the_given_rate() {
        let plan =
            Plan::new(7).with_fault(Fault::Accept, 600, &[103, 71]).with_fault(Fault::Connect, 50, &[99]);
        let plan = plan.with_clock_step(0, 5).with_clock_step(2_000, -3_600);
        let parsed = Plan::parse(&plan.to_string());
        assert_eq!((parsed.seed, &parsed.rules, &parsed.clock_steps), (7, &plan.rules, &plan.clock_steps));
        let failed = (0..10_000).filter(|_| parsed.draw(Fault::Accept).is_some()).count();
        assert!((5800..6200).contains(&failed), "{failed}");
        assert_eq!(parsed.draw(Fault::Recv), None);
        assert_eq!([0, 1_999, 2_000].map(|since| parsed.offset_s(since)), [5, 5, -3_600]);
    }
}
