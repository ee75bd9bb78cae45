//! One line of a trace: `trace UNIX_MS WORD [FIELD...]`, or an object of JSON: `{"at":UNIX_MS,"doing":WORD,"of":FIELDS}`.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A request's final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
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
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "doing", content = "of", rename_all = "kebab-case")]
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
    /// Writes a call to discovery: for the changes after a version, or for the whole list.
    Asking {
        /// The version to watch from; `None` for the whole list.
        from: Option<u64>,
    },
    /// The head of discovery's answer is there.
    Answering,
    /// A watch that stood ended, with these last bytes of all that came on its connection, in hexadecimal digits.
    WatchEnded {
        /// Of a message that is not whole there was a part.
        amid: bool,
        /// The last bytes.
        last: String,
    },
    /// The version of the list that it has from now on.
    Version(u64),
    /// A server of the list that takes nothing new any more.
    Entry {
        /// Its name.
        server: String,
        /// What the list says of it, in one word.
        health: String,
    },
    /// The next call to discovery is due in so many milliseconds.
    CallDue(f64),
    /// Has read a new configuration, or could not; `moved` if discovery is elsewhere.
    Reload {
        /// It counts from now on.
        taken: bool,
        /// Discovery is elsewhere.
        moved: bool,
    },
    /// Opens a connection to a server.
    Connect(String),
    /// Probes a server.
    Probe(String),
    /// A probe came back.
    Probed {
        /// The server.
        server: String,
        /// How it ended, in one word.
        outcome: String,
    },
    /// Takes a request in.
    Ask {
        /// Its number at this node.
        request: u64,
        /// Its class.
        class: usize,
    },
    /// The client's name for a request that was taken in.
    Id {
        /// Its number at this node.
        request: u64,
        /// The client's name for it.
        id: String,
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
    /// Bytes came from a server that nobody asked for.
    OutOfTurn {
        /// The server.
        server: String,
        /// What its connection was in the middle of, in one word.
        position: String,
        /// How long after the last answer, or after the connection came up, in milliseconds.
        after: f64,
        /// How old the connection was, in milliseconds.
        age: f64,
        /// How many answers it had had.
        answers: u32,
    },
    /// An answer was not taken for what it said.
    Doubted {
        /// The request.
        request: u64,
        /// The attempt's number.
        attempt: usize,
        /// Where it was.
        server: String,
        /// What is proved of the attempt, in one word.
        proof: String,
        /// Why, in one word.
        why: String,
    },
    /// Says why the answer that follows is a refusal or a failure.
    Explain {
        /// The request.
        request: u64,
        /// Why, in one word.
        reason: String,
    },
    /// Closes a client's connection.
    Close {
        /// Where the client is.
        client: String,
        /// Why, in one word.
        reason: String,
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
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Unix time in milliseconds.
    pub at: f64,
    /// What the node does.
    #[serde(flatten)]
    pub doing: Doing,
}

/// The words for yes and no of what a reload came to, and of where discovery is after it.
const RELOAD_TAKEN: [&str; 2] = ["taken", "refused"];
const RELOAD_MOVED: [&str; 2] = ["moved", "same"];

/// The words for a watch that ended within a message or between two.
const ENDED_AMID: [&str; 2] = ["amid", "between"];

fn word(yes: bool, words: [&'static str; 2]) -> &'static str {
    words[usize::from(!yes)]
}

/// A number that can be reckoned with.
fn finite(said: &str) -> Option<f64> {
    said.parse().ok().filter(|number: &f64| number.is_finite())
}

fn is_yes(said: &str, words: [&'static str; 2]) -> Option<bool> {
    words.iter().position(|word| *word == said).map(|place| place == 0)
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
            Doing::Asking { from: Some(version) } => write!(f, "asking changes {version}"),
            Doing::Asking { from: None } => write!(f, "asking whole"),
            Doing::Answering => write!(f, "answering"),
            Doing::WatchEnded { amid, last } => write!(f, "watch-ended {} {last}", word(*amid, ENDED_AMID)),
            Doing::Version(version) => write!(f, "version {version}"),
            Doing::Entry { server, health } => write!(f, "entry {server} {health}"),
            Doing::CallDue(within) => write!(f, "call-due {within:.1}"),
            Doing::Reload { taken, moved } => {
                write!(f, "reload {} {}", word(*taken, RELOAD_TAKEN), word(*moved, RELOAD_MOVED))
            }
            Doing::Id { request, id } => write!(f, "id {request} {id}"),
            Doing::Connect(server) => write!(f, "connect {server}"),
            Doing::Probe(server) => write!(f, "probe {server}"),
            Doing::Probed { server, outcome } => write!(f, "probed {server} {outcome}"),
            Doing::Ask { request, class } => write!(f, "ask {request} {class}"),
            Doing::Send { request, attempt, server } => write!(f, "send {request} {attempt} {server}"),
            Doing::End { request, attempt, server, outcome, took } => {
                write!(f, "end {request} {attempt} {server} {outcome} {took:.1}")
            }
            Doing::OutOfTurn { server, position, after, age, answers } => {
                write!(f, "out-of-turn {server} {position} {after:.1} {age:.1} {answers}")
            }
            Doing::Doubted { request, attempt, server, proof, why } => {
                write!(f, "doubted {request} {attempt} {server} {proof} {why}")
            }
            Doing::Explain { request, reason } => write!(f, "explain {request} {reason}"),
            Doing::Close { client, reason } => write!(f, "close {client} {reason}"),
            Doing::Answer { request, answer } => {
                let word = Answer::ALL.iter().find(|(a, _)| a == answer).map_or("", |(_, word)| word);
                write!(f, "answer {request} {word}")
            }
        }
    }
}

impl Record {
    /// The record as one line of JSON.
    pub fn json(&self) -> String {
        // Nothing in it can fail to be written.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Finds the record in a line of a log, whatever stands ahead of it; `None` where the line holds none.
    pub fn find(line: &str) -> Option<Self> {
        Self::find_words(line).or_else(|| serde_json::from_str(&line[line.find('{')?..]).ok())
    }

    fn find_words(line: &str) -> Option<Self> {
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
            "asking" => Doing::Asking {
                from: match next()? {
                    "whole" => None,
                    "changes" => Some(next()?.parse().ok()?),
                    _ => return None,
                },
            },
            "answering" => Doing::Answering,
            "watch-ended" => Doing::WatchEnded { amid: is_yes(next()?, ENDED_AMID)?, last: next()?.into() },
            "version" => Doing::Version(next()?.parse().ok()?),
            "entry" => Doing::Entry { server: next()?.into(), health: next()?.into() },
            "call-due" => Doing::CallDue(next()?.parse().ok().filter(|within: &f64| within.is_finite())?),
            "reload" => {
                Doing::Reload { taken: is_yes(next()?, RELOAD_TAKEN)?, moved: is_yes(next()?, RELOAD_MOVED)? }
            }
            "id" => Doing::Id { request: next()?.parse().ok()?, id: next()?.into() },
            "out-of-turn" => Doing::OutOfTurn {
                server: next()?.into(),
                position: next()?.into(),
                after: finite(next()?)?,
                age: finite(next()?)?,
                answers: next()?.parse().ok()?,
            },
            "doubted" => Doing::Doubted {
                request: next()?.parse().ok()?,
                attempt: next()?.parse().ok()?,
                server: next()?.into(),
                proof: next()?.into(),
                why: next()?.into(),
            },
            "explain" => Doing::Explain { request: next()?.parse().ok()?, reason: next()?.into() },
            "close" => Doing::Close { client: next()?.into(), reason: next()?.into() },
            "connect" => Doing::Connect(next()?.into()),
            "probe" => Doing::Probe(next()?.into()),
            "probed" => Doing::Probed { server: next()?.into(), outcome: next()?.into() },
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
