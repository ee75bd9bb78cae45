//! The state of one connection, and what the end of an attempt on it proves.

use std::fmt;
use std::time::{Duration, Instant};

/// What the end of an attempt proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// The response belongs to the request and says that it was carried out.
    Served,
    /// The request was not carried out and will not be.
    NeverRan,
    /// The request may or may not have been carried out.
    MayHaveRun,
}

/// The meaning of a response, by its status and headers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMeaning {
    /// The request was carried out.
    Served,
    /// The server refused the request without processing it.
    RefusedUnprocessed,
    /// The request itself is invalid.
    Rejected,
    /// Any other response.
    Failed,
}

/// The parts of a response that are needed to attribute it to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The meaning of the response.
    pub meaning: ResponseMeaning,
    /// Whether the response is forwarded while it is being received.
    pub is_long: bool,
    /// When its first byte arrived.
    pub began: Instant,
    /// The response itself names another request as the one it answers.
    pub names_other_request: bool,
    /// The response began implausibly soon after its request, and then another response or the end of the
    /// connection followed.
    pub is_contradicted: bool,
}

/// A response that was received in its turn, as far as later ones on its connection are compared with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PreviousResponse {
    /// Its meaning.
    pub meaning: ResponseMeaning,
    /// Whether it was forwarded while it was being received.
    pub is_long: bool,
}

/// The reason for a [`Proof`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProofReason {
    /// A response arrived in its turn, and its meaning decides.
    Answered,
    /// The response began before the request was written completely.
    AheadOfRequest,
    /// The response began so soon after the previous one, or after the connection was established, that it
    /// may be unsolicited bytes of the server.
    TooSoon,
    /// The response names another request.
    NamesAnother,
    /// The response began sooner than its server can answer, and another one followed it.
    Contradicted,
    /// The connection was no longer usable.
    Poisoned,
    /// The connection ended, or the attempt was given up, before the request was written completely.
    EndedUnwritten,
    /// The connection ended, or the attempt was given up, after the request was written completely.
    EndedWritten,
}

impl fmt::Display for ProofReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Answered => "answered",
            Self::AheadOfRequest => "ahead-of-request",
            Self::TooSoon => "too-soon",
            Self::NamesAnother => "names-another",
            Self::Contradicted => "contradicted",
            Self::Poisoned => "poisoned",
            Self::EndedUnwritten => "ended-unwritten",
            Self::EndedWritten => "ended-written",
        })
    }
}

/// What the end of an attempt proves, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// What it proves.
    pub proof: Proof,
    /// The reason.
    pub reason: ProofReason,
}

/// The state of a connection when unsolicited bytes arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// Nothing had been written to it yet.
    New,
    /// Its last response was complete.
    Idle,
    /// The bytes directly followed a response.
    BehindAnswer,
    /// A request was being written.
    Writing,
}

impl fmt::Display for ConnectionPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::New => "new",
            Self::Idle => "idle",
            Self::BehindAnswer => "behind-answer",
            Self::Writing => "writing",
        })
    }
}

/// Unsolicited bytes: data that arrived while no response was due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnsolicitedBytes {
    /// The state of the connection.
    pub phase: ConnectionPhase,
    /// Time since the last response was complete, or since the connection was established if it has had none.
    pub after: Duration,
    /// Age of the connection.
    pub age: Duration,
    /// Number of responses received on the connection.
    pub answers: u32,
}

/// How long a connection must be idle before a request is written to it or a response on it is trusted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequiredIdle {
    /// For a connection without a response so far: time since it was established.
    pub new: Duration,
    /// For any other connection: time since its last response.
    pub used: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Idle,
    /// A request is being written.
    Writing,
    /// The request is written completely.
    Written,
    /// Bytes arrived before the last byte of the current request was written.
    ResponseEarly {
        is_written: bool,
    },
    /// No longer usable.
    Poisoned,
}

/// One connection to a server.
#[derive(Clone, Debug)]
pub struct Connection {
    opened: Instant,
    /// When the connection was established or its last response was complete.
    idle_since: Instant,
    answers: u32,
    last_response: Option<PreviousResponse>,
    state: State,
}

impl Connection {
    /// Creates the state of a connection that has just been established.
    pub fn new(now: Instant) -> Self {
        Self { opened: now, idle_since: now, answers: 0, last_response: None, state: State::Idle }
    }

    /// When the connection was established.
    pub fn opened(&self) -> Instant {
        self.opened
    }

    /// When the connection was established or its last response was complete.
    pub fn idle_since(&self) -> Instant {
        self.idle_since
    }

    /// The last response; `None` before the first.
    pub fn last_response(&self) -> Option<PreviousResponse> {
        self.last_response
    }

    /// When a request may be written to the connection at the earliest; `None` if none may be.
    pub fn usable_from(&self, required_idle: RequiredIdle) -> Option<Instant> {
        (self.state == State::Idle).then(|| self.idle_since + self.min_idle(required_idle))
    }

    fn min_idle(&self, required_idle: RequiredIdle) -> Duration {
        if self.answers == 0 {
            required_idle.new
        } else {
            required_idle.used
        }
    }

    /// Begins to write a request. Returns false if the connection must not be used.
    #[must_use]
    pub fn begin(&mut self) -> bool {
        let is_usable = self.state == State::Idle;
        self.state = if is_usable { State::Writing } else { State::Poisoned };
        is_usable
    }

    /// The last byte of the request has been written.
    pub fn written(&mut self) {
        self.state = match self.state {
            State::Writing => State::Written,
            State::ResponseEarly { .. } => State::ResponseEarly { is_written: true },
            other => other,
        };
    }

    /// Handles received bytes; returns a description of them if they are unsolicited.
    pub fn received(&mut self, now: Instant) -> Option<UnsolicitedBytes> {
        let phase = match self.state {
            State::Written | State::ResponseEarly { .. } | State::Poisoned => return None,
            State::Writing => ConnectionPhase::Writing,
            State::Idle if self.answers == 0 => ConnectionPhase::New,
            State::Idle => ConnectionPhase::Idle,
        };
        self.state = match phase {
            ConnectionPhase::Writing => State::ResponseEarly { is_written: false },
            _ => State::Poisoned,
        };
        Some(self.unsolicited_bytes(phase, now))
    }

    /// Handles bytes that directly follow a response.
    pub fn received_behind_answer(&mut self, now: Instant) -> UnsolicitedBytes {
        self.state = State::Poisoned;
        self.unsolicited_bytes(ConnectionPhase::BehindAnswer, now)
    }

    /// Handles the discovery that a response that began at `began` belongs to an earlier request: to the
    /// current one it was unsolicited.
    pub fn contradicted(&mut self, began: Instant) -> UnsolicitedBytes {
        self.state = State::Poisoned;
        let phase = if self.answers == 0 { ConnectionPhase::New } else { ConnectionPhase::Idle };
        self.unsolicited_bytes(phase, began)
    }

    fn unsolicited_bytes(&self, phase: ConnectionPhase, now: Instant) -> UnsolicitedBytes {
        let since = |then: Instant| now.saturating_duration_since(then);
        UnsolicitedBytes {
            phase,
            after: since(self.idle_since),
            age: since(self.opened),
            answers: self.answers,
        }
    }

    /// Handles a response: returns what it proves about the last request on the connection.
    pub fn judge_response(&mut self, now: Instant, answer: Answer, required_idle: RequiredIdle) -> Verdict {
        let state = std::mem::replace(&mut self.state, State::Poisoned);
        match state {
            State::Written => {}
            // The last byte of the request is never sent, as the connection is closed.
            State::Writing | State::ResponseEarly { is_written: false } => {
                return Verdict { proof: Proof::NeverRan, reason: ProofReason::AheadOfRequest }
            }
            State::ResponseEarly { is_written: true } => {
                return Verdict { proof: Proof::MayHaveRun, reason: ProofReason::AheadOfRequest }
            }
            State::Idle | State::Poisoned => {
                return Verdict { proof: Proof::MayHaveRun, reason: ProofReason::Poisoned }
            }
        }
        if answer.names_other_request {
            return Verdict { proof: Proof::MayHaveRun, reason: ProofReason::NamesAnother };
        }
        if answer.is_contradicted {
            return Verdict { proof: Proof::MayHaveRun, reason: ProofReason::Contradicted };
        }
        if answer.began < self.idle_since + self.min_idle(required_idle) {
            return Verdict { proof: Proof::MayHaveRun, reason: ProofReason::TooSoon };
        }
        self.state = State::Idle;
        self.answers += 1;
        self.idle_since = now;
        self.last_response = Some(PreviousResponse { meaning: answer.meaning, is_long: answer.is_long });
        let proof = match answer.meaning {
            ResponseMeaning::Served => Proof::Served,
            ResponseMeaning::RefusedUnprocessed | ResponseMeaning::Rejected => Proof::NeverRan,
            ResponseMeaning::Failed => Proof::MayHaveRun,
        };
        Verdict { proof, reason: ProofReason::Answered }
    }

    /// The rest of a response has arrived, after [`Connection::judge_response`] was called for its head.
    pub fn finished(&mut self, now: Instant) {
        self.idle_since = now;
    }

    /// The connection ended without a response, or the attempt was given up.
    pub fn ended(&mut self) -> Verdict {
        let state = std::mem::replace(&mut self.state, State::Poisoned);
        match state {
            State::Idle | State::Writing | State::ResponseEarly { is_written: false } => {
                Verdict { proof: Proof::NeverRan, reason: ProofReason::EndedUnwritten }
            }
            State::Written | State::ResponseEarly { is_written: true } | State::Poisoned => {
                Verdict { proof: Proof::MayHaveRun, reason: ProofReason::EndedWritten }
            }
        }
    }
}
