//! One line of a trace: `trace UNIX_MS WORD [FIELD...]`.

use std::fmt;

/// A request's final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Answer {
    /// Served.
    Served,
    /// Refused: trying again is harmless.
    Refused,
    /// Failed.
    Failed,
}

impl Answer {
    const ALL: [(Self, &'static str); 3] =
        [(Self::Served, "served"), (Self::Refused, "refused"), (Self::Failed, "failed")];
}

/// What a node does.
#[derive(Clone, Debug, PartialEq)]
pub enum Doing {
    /// Calls discovery.
    Call,
    /// Has the list from discovery, or changes of it: so many entries.
    List {
        /// The whole list.
        whole: bool,
        /// How many entries.
        entries: usize,
    },
    /// A call to discovery failed, or its watch ended.
    CallFailed,
    /// Opens a connection to a server.
    Connect(String),
    /// Probes a server.
    Probe(String),
    /// Takes a request in.
    Ask {
        /// Its number at this node.
        request: u64,
        /// Its class.
        class: usize,
    },
    /// Starts an attempt.
    Send {
        /// The request.
        request: u64,
        /// The attempt's number, from 0.
        attempt: usize,
        /// Where to.
        server: String,
    },
    /// An attempt ended.
    End {
        /// The request.
        request: u64,
        /// The attempt's number.
        attempt: usize,
        /// Where it was.
        server: String,
        /// How it ended, in one word.
        outcome: String,
        /// How long it took, in milliseconds.
        took: f64,
    },
    /// Answers a request.
    Answer {
        /// The request.
        request: u64,
        /// How.
        answer: Answer,
    },
}

/// One line: when, and what.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Unix time in milliseconds.
    pub at: f64,
    /// What the node does.
    pub doing: Doing,
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "trace {:.1} ", self.at)?;
        match &self.doing {
            Doing::Call => write!(f, "call"),
            Doing::List { whole, entries } => {
                write!(f, "list {} {entries}", if *whole { "whole" } else { "change" })
            }
            Doing::CallFailed => write!(f, "call-failed"),
            Doing::Connect(server) => write!(f, "connect {server}"),
            Doing::Probe(server) => write!(f, "probe {server}"),
            Doing::Ask { request, class } => write!(f, "ask {request} {class}"),
            Doing::Send { request, attempt, server } => write!(f, "send {request} {attempt} {server}"),
            Doing::End { request, attempt, server, outcome, took } => {
                write!(f, "end {request} {attempt} {server} {outcome} {took:.1}")
            }
            Doing::Answer { request, answer } => {
                let word = Answer::ALL.iter().find(|(a, _)| a == answer).map_or("", |(_, word)| word);
                write!(f, "answer {request} {word}")
            }
        }
    }
}

impl Record {
    /// Finds the record in a line of a log, whatever stands ahead of it; `None` where the line holds none.
    pub fn find(line: &str) -> Option<Self> {
        let start = line.find("trace ").filter(|at| *at == 0 || line.as_bytes()[at - 1] == b' ')?;
        let mut words = line[start..].split_ascii_whitespace().skip(1);
        let at: f64 = words.next()?.parse().ok().filter(|at: &f64| at.is_finite())?;
        let word = words.next()?;
        let mut next = || words.next();
        let doing = match word {
            "call" => Doing::Call,
            "list" => Doing::List {
                whole: match next()? {
                    "whole" => true,
                    "change" => false,
                    _ => return None,
                },
                entries: next()?.parse().ok()?,
            },
            "call-failed" => Doing::CallFailed,
            "connect" => Doing::Connect(next()?.into()),
            "probe" => Doing::Probe(next()?.into()),
            "ask" => Doing::Ask { request: next()?.parse().ok()?, class: next()?.parse().ok()? },
            "send" => Doing::Send {
                request: next()?.parse().ok()?,
                attempt: next()?.parse().ok()?,
                server: next()?.into(),
            },
            "end" => Doing::End {
                request: next()?.parse().ok()?,
                attempt: next()?.parse().ok()?,
                server: next()?.into(),
                outcome: next()?.into(),
                took: next()?.parse().ok().filter(|took: &f64| took.is_finite())?,
            },
            "answer" => {
                let (request, word) = (next()?.parse().ok()?, next()?);
                Doing::Answer { request, answer: Answer::ALL.iter().find(|(_, w)| *w == word)?.0 }
            }
            _ => return None,
        };
        next().is_none().then_some(Self { at, doing })
    }
}
