//! A trace record and its two formats: a line of text, `trace UNIX_MS WORD [FIELD...]`, or a JSON object,
//! `{"at":UNIX_MS,"doing":WORD,"of":FIELDS}`.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A request's final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// A server has served the request.
    Served,
    /// Refused: the request had no effect, so sending it again is safe.
    Refused,
    /// The request failed and may have had an effect.
    Failed,
}

impl Answer {
    /// All answers with their names in the text format.
    const NAMES: [(Self, &'static str); 3] =
        [(Self::Served, "served"), (Self::Refused, "refused"), (Self::Failed, "failed")];
}

/// An event at a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "doing", content = "of", rename_all = "kebab-case")]
pub enum Doing {
    /// Started a call to discovery.
    Call,
    /// Received the complete list of servers from discovery, or changes to it.
    List {
        /// Whether it is the complete list.
        whole: bool,
        /// The number of entries.
        entries: usize,
    },
    /// A call to discovery failed, or its watch ended.
    CallFailed,
    /// Wrote a request to discovery for the changes after a version, or for the complete list.
    Asking {
        /// The version to watch from; `None` for the complete list.
        from: Option<u64>,
    },
    /// Received the header of discovery's response.
    Answering,
    /// An established watch ended.
    WatchEnded {
        /// Whether it ended within a message.
        amid: bool,
        /// The last bytes received on the connection, in hexadecimal.
        last: String,
    },
    /// The node now uses this version of the list.
    Version(u64),
    /// A server in the list that accepts no new requests.
    Entry {
        /// The server's name.
        server: String,
        /// Its health according to the list, in one word.
        health: String,
    },
    /// The time until the next call to discovery, in milliseconds.
    CallDue(f64),
    /// Tried to load a new configuration.
    Reload {
        /// Whether the configuration is now in effect.
        taken: bool,
        /// Whether the address of discovery has changed.
        moved: bool,
    },
    /// Started to open a connection to a server.
    Connect(String),
    /// Sent a probe to a server.
    Probe(String),
    /// A probe ended.
    Probed {
        /// The server.
        server: String,
        /// How it ended, in one word.
        outcome: String,
    },
    /// Accepted a request from a client.
    Ask {
        /// The request's number at this node.
        request: u64,
        /// The index of the request's class.
        class: usize,
    },
    /// The client's id for an accepted request.
    Id {
        /// The request's number at this node.
        request: u64,
        /// The client's id for the request.
        id: String,
    },
    /// Started an attempt.
    Send {
        /// The request.
        request: u64,
        /// The attempt's number, from 0.
        attempt: usize,
        /// The server that it is sent to.
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
        /// The duration of the attempt in milliseconds.
        took: f64,
    },
    /// Received bytes from a server that belong to no outstanding request.
    OutOfTurn {
        /// The server.
        server: String,
        /// The state of the connection, in one word.
        position: String,
        /// Time since the last answer, or since the connection was established, in milliseconds.
        after: f64,
        /// The age of the connection in milliseconds.
        age: f64,
        /// The number of answers received on the connection before.
        answers: u32,
    },
    /// An answer was not accepted as proof of what it states.
    Doubted {
        /// The request.
        request: u64,
        /// The attempt's number.
        attempt: usize,
        /// Where it was.
        server: String,
        /// What is proven about the attempt, in one word.
        proof: String,
        /// Why, in one word.
        why: String,
    },
    /// The reason why the answer that follows is a refusal or a failure.
    Explain {
        /// The request.
        request: u64,
        /// Why, in one word.
        reason: String,
    },
    /// Closed a client's connection.
    Close {
        /// The client's address.
        client: String,
        /// Why, in one word.
        reason: String,
    },
    /// Answered a request.
    Answer {
        /// The request.
        request: u64,
        /// The final answer.
        answer: Answer,
    },
}

/// A trace record: an event and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Unix time in milliseconds.
    pub at: f64,
    /// The event.
    #[serde(flatten)]
    pub doing: Doing,
}

/// Tokens for whether a new configuration is in effect: yes, no.
const RELOAD_TAKEN: [&str; 2] = ["taken", "refused"];
/// Tokens for whether the address of discovery has changed: yes, no.
const RELOAD_MOVED: [&str; 2] = ["moved", "same"];

/// Tokens for whether a watch ended within a message: yes, no.
const ENDED_AMID: [&str; 2] = ["amid", "between"];

/// The token for a flag, from the tokens for yes and no.
fn flag_token(yes: bool, tokens: [&'static str; 2]) -> &'static str {
    tokens[usize::from(!yes)]
}

/// Parses a finite number.
fn parse_finite(token: &str) -> Option<f64> {
    token.parse().ok().filter(|number: &f64| number.is_finite())
}

/// Parses a flag, given the tokens for yes and no.
fn parse_flag(token: &str, tokens: [&'static str; 2]) -> Option<bool> {
    tokens.iter().position(|known| *known == token).map(|index| index == 0)
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
            Doing::WatchEnded { amid, last } => {
                write!(f, "watch-ended {} {last}", flag_token(*amid, ENDED_AMID))
            }
            Doing::Version(version) => write!(f, "version {version}"),
            Doing::Entry { server, health } => write!(f, "entry {server} {health}"),
            Doing::CallDue(within) => write!(f, "call-due {within:.1}"),
            Doing::Reload { taken, moved } => {
                write!(f, "reload {} {}", flag_token(*taken, RELOAD_TAKEN), flag_token(*moved, RELOAD_MOVED))
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
                let name = Answer::NAMES.iter().find(|(a, _)| a == answer).map_or("", |(_, name)| name);
                write!(f, "answer {request} {name}")
            }
        }
    }
}

impl Record {
    /// The record as one line of JSON.
    pub fn json(&self) -> String {
        // Serialization cannot fail: a record has only strings, numbers and flags.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Finds a record in a line of a log, after any prefix; `None` if the line contains no record.
    pub fn find(line: &str) -> Option<Self> {
        Self::find_text(line).or_else(|| serde_json::from_str(&line[line.find('{')?..]).ok())
    }

    /// Finds a record in the text format.
    fn find_text(line: &str) -> Option<Self> {
        let start = line.find("trace ").filter(|at| *at == 0 || line.as_bytes()[at - 1] == b' ')?;
        let mut tokens = line[start..].split_ascii_whitespace().skip(1);
        let at: f64 = tokens.next()?.parse().ok().filter(|at: &f64| at.is_finite())?;
        let kind = tokens.next()?;
        let mut next = || tokens.next();
        let doing = match kind {
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
            "watch-ended" => {
                Doing::WatchEnded { amid: parse_flag(next()?, ENDED_AMID)?, last: next()?.into() }
            }
            "version" => Doing::Version(next()?.parse().ok()?),
            "entry" => Doing::Entry { server: next()?.into(), health: next()?.into() },
            "call-due" => Doing::CallDue(next()?.parse().ok().filter(|within: &f64| within.is_finite())?),
            "reload" => Doing::Reload {
                taken: parse_flag(next()?, RELOAD_TAKEN)?,
                moved: parse_flag(next()?, RELOAD_MOVED)?,
            },
            "id" => Doing::Id { request: next()?.parse().ok()?, id: next()?.into() },
            "out-of-turn" => Doing::OutOfTurn {
                server: next()?.into(),
                position: next()?.into(),
                after: parse_finite(next()?)?,
                age: parse_finite(next()?)?,
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
                let (request, name) = (next()?.parse().ok()?, next()?);
                Doing::Answer { request, answer: Answer::NAMES.iter().find(|(_, n)| *n == name)?.0 }
            }
            _ => return None,
        };
        next().is_none().then_some(Self { at, doing })
    }
}
