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
pub enum TraceEvent {
    /// Started a call to discovery.
    Call,
    /// Received the complete list of servers from discovery, or changes to it.
    List {
        /// Whether it is the complete list.
        #[serde(rename = "whole")]
        complete: bool,
        /// The number of entries.
        entries: usize,
    },
    /// A call to discovery failed, or its watch ended.
    CallFailed,
    /// Wrote a request to discovery for the changes after a version, or for the complete list.
    #[serde(rename = "asking")]
    DiscoveryRequest {
        /// The version to watch from; `None` for the complete list.
        from: Option<u64>,
    },
    /// Received the header of discovery's response.
    #[serde(rename = "answering")]
    DiscoveryResponse,
    /// An established watch ended.
    WatchEnded {
        /// Whether it ended within a message.
        #[serde(rename = "amid")]
        mid_message: bool,
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
    /// Sent an attempt while the list was not followed.
    ListAge {
        /// The request's number.
        request: u64,
        /// The attempt's number.
        attempt: usize,
        /// How long ago discovery last sent something, in milliseconds.
        #[serde(rename = "age_ms")]
        age: f64,
    },
    /// Tried to load a new configuration.
    Reload {
        /// Whether the configuration is now in effect.
        #[serde(rename = "taken")]
        in_effect: bool,
        /// Whether the address of discovery has changed.
        #[serde(rename = "moved")]
        address_changed: bool,
    },
    /// Started to open a connection to a server.
    Connect(String),
    /// A connection to a server was established.
    Connected {
        /// The server.
        server: String,
        /// The node's own address of the connection.
        local: String,
    },
    /// Sent a probe to a server.
    Probe(String),
    /// A probe ended.
    #[serde(rename = "probed")]
    ProbeEnded {
        /// The server.
        server: String,
        /// How it ended, in one word.
        outcome: String,
    },
    /// Accepted a request from a client.
    #[serde(rename = "ask")]
    Accept {
        /// The request's number at this node.
        request: u64,
        /// The index of the request's class.
        class: usize,
    },
    /// The client's id for an accepted request.
    #[serde(rename = "id")]
    RequestId {
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
        #[serde(rename = "took")]
        duration_ms: f64,
    },
    /// Received bytes from a server that belong to no outstanding request.
    #[serde(rename = "out-of-turn")]
    UnsolicitedBytes {
        /// The server.
        server: String,
        /// The state of the connection, in one word.
        #[serde(rename = "position")]
        connection_state: String,
        /// Time since the last answer, or since the connection was established, in milliseconds.
        #[serde(rename = "after")]
        idle_ms: f64,
        /// The age of the connection in milliseconds.
        #[serde(rename = "age")]
        age_ms: f64,
        /// The number of answers received on the connection before.
        answers: u32,
    },
    /// An answer was not accepted as proof of what it states.
    #[serde(rename = "doubted")]
    DistrustedAnswer {
        /// The request.
        request: u64,
        /// The attempt's number.
        attempt: usize,
        /// Where it was.
        server: String,
        /// What is proven about the attempt, in one word.
        proof: String,
        /// Why, in one word.
        #[serde(rename = "why")]
        cause: String,
    },
    /// The reason why the answer that follows is a refusal or a failure.
    #[serde(rename = "explain")]
    AnswerReason {
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
    pub event: TraceEvent,
}

/// Tokens for whether a new configuration is in effect: yes, no.
const IN_EFFECT_TOKENS: [&str; 2] = ["taken", "refused"];
/// Tokens for whether the address of discovery has changed: yes, no.
const ADDRESS_CHANGED_TOKENS: [&str; 2] = ["moved", "same"];

/// Tokens for whether a watch ended within a message: yes, no.
const MID_MESSAGE_TOKENS: [&str; 2] = ["amid", "between"];

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
        match &self.event {
            TraceEvent::Call => write!(f, "call"),
            TraceEvent::List { complete, entries } => {
                write!(f, "list {} {entries}", if *complete { "whole" } else { "change" })
            }
            TraceEvent::CallFailed => write!(f, "call-failed"),
            TraceEvent::DiscoveryRequest { from: Some(version) } => write!(f, "asking changes {version}"),
            TraceEvent::DiscoveryRequest { from: None } => write!(f, "asking whole"),
            TraceEvent::DiscoveryResponse => write!(f, "answering"),
            TraceEvent::WatchEnded { mid_message, last } => {
                write!(f, "watch-ended {} {last}", flag_token(*mid_message, MID_MESSAGE_TOKENS))
            }
            TraceEvent::Version(version) => write!(f, "version {version}"),
            TraceEvent::Entry { server, health } => write!(f, "entry {server} {health}"),
            TraceEvent::CallDue(within) => write!(f, "call-due {within:.1}"),
            TraceEvent::ListAge { request, attempt, age } => {
                write!(f, "list-age {request} {attempt} {age:.1}")
            }
            TraceEvent::Reload { in_effect, address_changed } => {
                write!(
                    f,
                    "reload {} {}",
                    flag_token(*in_effect, IN_EFFECT_TOKENS),
                    flag_token(*address_changed, ADDRESS_CHANGED_TOKENS)
                )
            }
            TraceEvent::RequestId { request, id } => write!(f, "id {request} {id}"),
            TraceEvent::Connect(server) => write!(f, "connect {server}"),
            TraceEvent::Connected { server, local } => write!(f, "connected {server} {local}"),
            TraceEvent::Probe(server) => write!(f, "probe {server}"),
            TraceEvent::ProbeEnded { server, outcome } => write!(f, "probed {server} {outcome}"),
            TraceEvent::Accept { request, class } => write!(f, "ask {request} {class}"),
            TraceEvent::Send { request, attempt, server } => write!(f, "send {request} {attempt} {server}"),
            TraceEvent::End { request, attempt, server, outcome, duration_ms } => {
                write!(f, "end {request} {attempt} {server} {outcome} {duration_ms:.1}")
            }
            TraceEvent::UnsolicitedBytes { server, connection_state, idle_ms, age_ms, answers } => {
                write!(f, "out-of-turn {server} {connection_state} {idle_ms:.1} {age_ms:.1} {answers}")
            }
            TraceEvent::DistrustedAnswer { request, attempt, server, proof, cause } => {
                write!(f, "doubted {request} {attempt} {server} {proof} {cause}")
            }
            TraceEvent::AnswerReason { request, reason } => write!(f, "explain {request} {reason}"),
            TraceEvent::Close { client, reason } => write!(f, "close {client} {reason}"),
            TraceEvent::Answer { request, answer } => {
                let name = Answer::NAMES.iter().find(|(a, _)| a == answer).map_or("", |(_, name)| name);
                write!(f, "answer {request} {name}")
            }
        }
    }
}

impl Record {
    /// The record as one line of JSON.
    pub fn to_json(&self) -> String {
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
        let event = match kind {
            "call" => TraceEvent::Call,
            "list" => TraceEvent::List {
                complete: match next()? {
                    "whole" => true,
                    "change" => false,
                    _ => return None,
                },
                entries: next()?.parse().ok()?,
            },
            "call-failed" => TraceEvent::CallFailed,
            "asking" => TraceEvent::DiscoveryRequest {
                from: match next()? {
                    "whole" => None,
                    "changes" => Some(next()?.parse().ok()?),
                    _ => return None,
                },
            },
            "answering" => TraceEvent::DiscoveryResponse,
            "watch-ended" => TraceEvent::WatchEnded {
                mid_message: parse_flag(next()?, MID_MESSAGE_TOKENS)?,
                last: next()?.into(),
            },
            "version" => TraceEvent::Version(next()?.parse().ok()?),
            "entry" => TraceEvent::Entry { server: next()?.into(), health: next()?.into() },
            "call-due" => {
                TraceEvent::CallDue(next()?.parse().ok().filter(|within: &f64| within.is_finite())?)
            }
            "list-age" => TraceEvent::ListAge {
                request: next()?.parse().ok()?,
                attempt: next()?.parse().ok()?,
                age: next()?.parse().ok().filter(|age: &f64| age.is_finite())?,
            },
            "reload" => TraceEvent::Reload {
                in_effect: parse_flag(next()?, IN_EFFECT_TOKENS)?,
                address_changed: parse_flag(next()?, ADDRESS_CHANGED_TOKENS)?,
            },
            "id" => TraceEvent::RequestId { request: next()?.parse().ok()?, id: next()?.into() },
            "out-of-turn" => TraceEvent::UnsolicitedBytes {
                server: next()?.into(),
                connection_state: next()?.into(),
                idle_ms: parse_finite(next()?)?,
                age_ms: parse_finite(next()?)?,
                answers: next()?.parse().ok()?,
            },
            "doubted" => TraceEvent::DistrustedAnswer {
                request: next()?.parse().ok()?,
                attempt: next()?.parse().ok()?,
                server: next()?.into(),
                proof: next()?.into(),
                cause: next()?.into(),
            },
            "explain" => TraceEvent::AnswerReason { request: next()?.parse().ok()?, reason: next()?.into() },
            "close" => TraceEvent::Close { client: next()?.into(), reason: next()?.into() },
            "connect" => TraceEvent::Connect(next()?.into()),
            "connected" => TraceEvent::Connected { server: next()?.into(), local: next()?.into() },
            "probe" => TraceEvent::Probe(next()?.into()),
            "probed" => TraceEvent::ProbeEnded { server: next()?.into(), outcome: next()?.into() },
            "ask" => TraceEvent::Accept { request: next()?.parse().ok()?, class: next()?.parse().ok()? },
            "send" => TraceEvent::Send {
                request: next()?.parse().ok()?,
                attempt: next()?.parse().ok()?,
                server: next()?.into(),
            },
            "end" => TraceEvent::End {
                request: next()?.parse().ok()?,
                attempt: next()?.parse().ok()?,
                server: next()?.into(),
                outcome: next()?.into(),
                duration_ms: next()?.parse().ok().filter(|duration_ms: &f64| duration_ms.is_finite())?,
            },
            "answer" => {
                let (request, name) = (next()?.parse().ok()?, next()?);
                TraceEvent::Answer { request, answer: Answer::NAMES.iter().find(|(_, n)| *n == name)?.0 }
            }
            _ => return None,
        };
        next().is_none().then_some(Self { at, event })
    }
}
