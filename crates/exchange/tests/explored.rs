//! Checks every sequence of events on one connection, up to a fixed depth, against an independent
//! implementation of the rules.

use std::time::{Duration, Instant};

use glenwood_exchange::{Answer, Connection, Proof, RequiredIdle, ResponseMeaning, Verdict};

/// Maximum number of events in a sequence.
const DEPTH: usize = 8;
const NEED: RequiredIdle = RequiredIdle { new: Duration::from_millis(10), used: Duration::from_millis(20) };
/// Durations of the two pause events.
const SHORT_PAUSE: Duration = Duration::from_millis(5);
const LONG_PAUSE: Duration = Duration::from_millis(30);

/// Why a response in its turn may belong to another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponseDoubt {
    NamesAnother,
    Contradicted,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EventKind {
    RequestBegins,
    WrittenCompletely,
    Bytes,
    Answered { said: ResponseMeaning, doubt: Option<ResponseDoubt> },
    BytesBehindAnswer,
    ConnectionEnds,
    ShortPause,
    LongPause,
}

const ALL_KINDS: [EventKind; 12] = [
    EventKind::RequestBegins,
    EventKind::WrittenCompletely,
    EventKind::Bytes,
    EventKind::Answered { said: ResponseMeaning::Served, doubt: None },
    EventKind::Answered { said: ResponseMeaning::RefusedUnprocessed, doubt: None },
    EventKind::Answered { said: ResponseMeaning::Served, doubt: Some(ResponseDoubt::NamesAnother) },
    EventKind::Answered { said: ResponseMeaning::Served, doubt: Some(ResponseDoubt::Contradicted) },
    EventKind::Answered {
        said: ResponseMeaning::RefusedUnprocessed,
        doubt: Some(ResponseDoubt::Contradicted),
    },
    EventKind::BytesBehindAnswer,
    EventKind::ConnectionEnds,
    EventKind::ShortPause,
    EventKind::LongPause,
];

/// An event and its time.
type Event = (EventKind, Duration);

/// The events on a connection so far. The oracle examines the full list for each verdict.
#[derive(Clone, Default)]
struct History {
    events: Vec<Event>,
}

impl History {
    /// Returns the events before the last request began, and those since.
    fn split(&self) -> Option<(&[Event], &[Event])> {
        let begun = self.events.iter().rposition(|(event, _)| *event == EventKind::RequestBegins)?;
        Some((&self.events[..begun], &self.events[begun + 1..]))
    }

    fn has(events: &[Event], wanted: impl Fn(EventKind) -> bool) -> bool {
        events.iter().any(|(event, _)| wanted(*event))
    }

    /// Whether a response that arrives now can only belong to the last request.
    fn must_belong_to_last_request(&self, now: Duration) -> bool {
        let Some((before, since)) = self.split() else { return false };
        let check_exchanges = |events: &[Event]| {
            // Each earlier request must have one trusted response, and nothing may have arrived out of turn.
            let mut expects = false;
            let mut written = false;
            let mut idle_since = Duration::ZERO;
            let mut answers = 0;
            for (event, at) in events {
                match event {
                    EventKind::RequestBegins if expects => return None,
                    EventKind::RequestBegins => (expects, written) = (true, false),
                    EventKind::WrittenCompletely => written |= expects,
                    EventKind::Bytes if !expects || !written => return None,
                    EventKind::Bytes | EventKind::ShortPause | EventKind::LongPause => {}
                    EventKind::Answered { doubt, .. } => {
                        let need = if answers == 0 { NEED.new } else { NEED.used };
                        if !expects || !written || doubt.is_some() || *at < idle_since + need {
                            return None;
                        }
                        (expects, idle_since, answers) = (false, *at, answers + 1);
                    }
                    EventKind::BytesBehindAnswer | EventKind::ConnectionEnds => return None,
                }
            }
            (!expects).then_some((idle_since, answers))
        };
        let Some((idle_since, answers)) = check_exchanges(before) else { return false };
        let need = if answers == 0 { NEED.new } else { NEED.used };
        let written = since.iter().position(|(event, _)| *event == EventKind::WrittenCompletely);
        let bytes = since.iter().position(|(event, _)| *event == EventKind::Bytes);
        let in_order = written.is_some_and(|written| bytes.is_none_or(|bytes| written < bytes));
        let is_poisoned = |event| {
            matches!(
                event,
                EventKind::BytesBehindAnswer | EventKind::ConnectionEnds | EventKind::Answered { .. }
            )
        };
        in_order && now >= idle_since + need && !Self::has(since, is_poisoned)
    }

    /// Whether the last byte of the last request has been written.
    fn is_written(&self) -> bool {
        self.split().is_none_or(|(_, since)| Self::has(since, |event| event == EventKind::WrittenCompletely))
    }
}

/// Checks that the history of the connection supports the verdict.
fn check(history: &History, now: Duration, kind: EventKind, verdict: Verdict) {
    let is_attributable = history.must_belong_to_last_request(now);
    let is_supported = match (verdict.proof, kind) {
        (Proof::MayHaveRun, EventKind::Answered { doubt, .. }) => !is_attributable || doubt.is_some(),
        (Proof::MayHaveRun, _) => true,
        (Proof::Served, EventKind::Answered { said, doubt }) => {
            is_attributable && said == ResponseMeaning::Served && doubt.is_none()
        }
        (Proof::NeverRan, EventKind::Answered { said, doubt }) => {
            !history.is_written()
                || (is_attributable && said == ResponseMeaning::RefusedUnprocessed && doubt.is_none())
        }
        (Proof::NeverRan, _) => {
            !history.is_written() || history.split().is_none_or(|(_, since)| has_response(since))
        }
        (Proof::Served, _) => false,
    };
    assert!(is_supported, "{verdict:?} by {kind:?} after {:?}", history.events);
}

/// Whether the last request has a response; if so, the connection ends between two requests.
fn has_response(since: &[Event]) -> bool {
    History::has(since, |event| matches!(event, EventKind::Answered { .. }))
}

struct Exploration {
    start: Instant,
    sequences: u64,
    verdicts: u64,
}

impl Exploration {
    fn explore(&mut self, connection: &Connection, history: &History, now: Duration, left: usize) {
        self.sequences += 1;
        if left == 0 {
            return;
        }
        for kind in ALL_KINDS {
            let (mut connection, mut history, mut now) = (connection.clone(), history.clone(), now);
            let at = self.start + now;
            match kind {
                EventKind::RequestBegins => {
                    // A driver whose request is refused does not write.
                    if !connection.begin() {
                        continue;
                    }
                }
                EventKind::WrittenCompletely => connection.written(),
                EventKind::Bytes => {
                    let _ = connection.received(at);
                }
                EventKind::Answered { said, doubt } => {
                    let answer = Answer {
                        meaning: said,
                        is_long: false,
                        began: at,
                        names_other_request: doubt == Some(ResponseDoubt::NamesAnother),
                        is_contradicted: doubt == Some(ResponseDoubt::Contradicted),
                    };
                    let verdict = connection.judge_response(at, answer, NEED);
                    check(&history, now, kind, verdict);
                    self.verdicts += 1;
                }
                EventKind::BytesBehindAnswer => {
                    let _ = connection.received_behind_answer(at);
                }
                EventKind::ConnectionEnds => {
                    let verdict = connection.ended();
                    check(&history, now, kind, verdict);
                    self.verdicts += 1;
                }
                EventKind::ShortPause => now += SHORT_PAUSE,
                EventKind::LongPause => now += LONG_PAUSE,
            }
            history.events.push((kind, now));
            self.explore(&connection, &history, now, left - 1);
        }
    }
}

/// Guards against a verdict of "served" or "never ran" that the history of the connection does not support.
#[test]
fn every_verdict_is_supported_by_the_history_of_the_connection() {
    let start = Instant::now();
    let mut exploration = Exploration { start, sequences: 0, verdicts: 0 };
    exploration.explore(&Connection::new(start), &History::default(), Duration::ZERO, DEPTH - 1);
    println!("{} sequences, {} verdicts", exploration.sequences, exploration.verdicts);
    assert!(exploration.verdicts > 100_000, "{} verdicts", exploration.verdicts);
}
