//! Every order of events on one connection, to a depth, against a plain second reading of the rules.

use std::time::{Duration, Instant};

use glenwood_exchange::{Answer, Connection, Need, Proof, Said, Verdict};

/// How many events one order has at the most.
const DEPTH: usize = 8;
const NEED: Need = Need { new: Duration::from_millis(10), used: Duration::from_millis(20) };
/// How long passes with each event that takes time.
const SHORT: Duration = Duration::from_millis(5);
const LONG: Duration = Duration::from_millis(30);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Happens {
    Begins,
    WrittenWhole,
    Bytes,
    Answered { said: Said, names_another: bool },
    BytesBehindAnswer,
    Ends,
    ShortPause,
    LongPause,
}

const ALL: [Happens; 10] = [
    Happens::Begins,
    Happens::WrittenWhole,
    Happens::Bytes,
    Happens::Answered { said: Said::Served, names_another: false },
    Happens::Answered { said: Said::TurnedAway, names_another: false },
    Happens::Answered { said: Said::Served, names_another: true },
    Happens::BytesBehindAnswer,
    Happens::Ends,
    Happens::ShortPause,
    Happens::LongPause,
];

/// Something that happened, and when.
type Event = (Happens, Duration);

/// What has happened to a connection, as a list: the oracle looks through it anew for each claim.
#[derive(Clone, Default)]
struct History {
    events: Vec<Event>,
}

impl History {
    /// The events of the request that was begun last, and those before it.
    fn split(&self) -> Option<(&[Event], &[Event])> {
        let begun = self.events.iter().rposition(|(event, _)| *event == Happens::Begins)?;
        Some((&self.events[..begun], &self.events[begun + 1..]))
    }

    fn has(events: &[Event], wanted: impl Fn(Happens) -> bool) -> bool {
        events.iter().any(|(event, _)| wanted(*event))
    }

    /// Is the connection's history such that an answer now can only be the last request's?
    fn is_undoubted(&self, now: Duration) -> bool {
        let Some((before, since)) = self.split() else { return false };
        let is_whole_exchange = |events: &[Event]| {
            // Since each earlier request began there was its end, one answer, and nothing else.
            let mut expects = false;
            let mut written = false;
            let mut quiet_since = Duration::ZERO;
            let mut answers = 0;
            for (event, at) in events {
                match event {
                    Happens::Begins if expects => return None,
                    Happens::Begins => (expects, written) = (true, false),
                    Happens::WrittenWhole => written |= expects,
                    Happens::Bytes if !expects || !written => return None,
                    Happens::Bytes | Happens::ShortPause | Happens::LongPause => {}
                    Happens::Answered { names_another, .. } => {
                        let need = if answers == 0 { NEED.new } else { NEED.used };
                        if !expects || !written || *names_another || *at < quiet_since + need {
                            return None;
                        }
                        (expects, quiet_since, answers) = (false, *at, answers + 1);
                    }
                    Happens::BytesBehindAnswer | Happens::Ends => return None,
                }
            }
            (!expects).then_some((quiet_since, answers))
        };
        let Some((quiet_since, answers)) = is_whole_exchange(before) else { return false };
        let need = if answers == 0 { NEED.new } else { NEED.used };
        let written = since.iter().position(|(event, _)| *event == Happens::WrittenWhole);
        let bytes = since.iter().position(|(event, _)| *event == Happens::Bytes);
        let in_order = written.is_some_and(|written| bytes.is_none_or(|bytes| written < bytes));
        let is_poisoned =
            |event| matches!(event, Happens::BytesBehindAnswer | Happens::Ends | Happens::Answered { .. });
        in_order && now >= quiet_since + need && !Self::has(since, is_poisoned)
    }

    /// Has the last byte of the last request been written?
    fn is_written(&self) -> bool {
        self.split().is_none_or(|(_, since)| Self::has(since, |event| event == Happens::WrittenWhole))
    }
}

/// What a claim needs, by the rules.
fn check(history: &History, now: Duration, happens: Happens, verdict: Verdict) {
    let undoubted = history.is_undoubted(now);
    let may = match (verdict.proof, happens) {
        (Proof::MayHaveRun, Happens::Answered { names_another, .. }) => !undoubted || names_another,
        (Proof::MayHaveRun, _) => true,
        (Proof::Served, Happens::Answered { said, names_another }) => {
            undoubted && said == Said::Served && !names_another
        }
        (Proof::NeverRan, Happens::Answered { said, names_another }) => {
            !history.is_written() || (undoubted && said == Said::TurnedAway && !names_another)
        }
        (Proof::NeverRan, _) => {
            !history.is_written() || history.split().is_none_or(|(_, since)| answered(since))
        }
        (Proof::Served, _) => false,
    };
    assert!(may, "{verdict:?} by {happens:?} after {:?}", history.events);
}

/// Had the last request its answer? What ends then is a connection between requests.
fn answered(since: &[Event]) -> bool {
    History::has(since, |event| matches!(event, Happens::Answered { .. }))
}

struct Explored {
    start: Instant,
    orders: u64,
    claims: u64,
}

impl Explored {
    fn from(&mut self, connection: &Connection, history: &History, now: Duration, left: usize) {
        self.orders += 1;
        if left == 0 {
            return;
        }
        for happens in ALL {
            let (mut connection, mut history, mut now) = (connection.clone(), history.clone(), now);
            let at = self.start + now;
            match happens {
                Happens::Begins => {
                    // A driver that is refused does not write.
                    if !connection.begin() {
                        continue;
                    }
                }
                Happens::WrittenWhole => connection.written(),
                Happens::Bytes => {
                    let _ = connection.received(at);
                }
                Happens::Answered { said, names_another } => {
                    let answer = Answer { said, began: at, names_another };
                    let verdict = connection.answered(at, answer, NEED);
                    check(&history, now, happens, verdict);
                    self.claims += 1;
                }
                Happens::BytesBehindAnswer => {
                    let _ = connection.received_behind_answer(at);
                }
                Happens::Ends => {
                    let verdict = connection.ended();
                    check(&history, now, happens, verdict);
                    self.claims += 1;
                }
                Happens::ShortPause => now += SHORT,
                Happens::LongPause => now += LONG,
            }
            history.events.push((happens, now));
            self.from(&connection, &history, now, left - 1);
        }
    }
}

/// Guards against a claim of "served" or "never ran" that the connection's history does not bear out.
#[test]
fn no_order_of_events_bears_a_claim_that_its_history_does_not() {
    let start = Instant::now();
    let mut explored = Explored { start, orders: 0, claims: 0 };
    explored.from(&Connection::new(start), &History::default(), Duration::ZERO, DEPTH - 1);
    println!("{} orders, {} claims", explored.orders, explored.claims);
    assert!(explored.claims > 100_000, "{} claims", explored.claims);
}
