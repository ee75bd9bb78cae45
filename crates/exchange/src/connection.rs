//! One connection: what it is in the middle of, and what the end of an attempt on it proves.

use std::fmt;
use std::time::{Duration, Instant};

/// What the end of an attempt proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// The answer is the request's, and says that it was carried out.
    Served,
    /// The request was not carried out, and won't be.
    NeverRan,
    /// Neither is proved.
    MayHaveRun,
}

/// What an answer says, by its status and headers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// The request was carried out.
    Served,
    /// It was turned away unseen.
    TurnedAway,
    /// The request itself is bad.
    Rejected,
    /// Anything else.
    Failed,
}

/// An answer, as far as it is needed to tell whose it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// What it says.
    pub said: Said,
    /// When its first byte came.
    pub began: Instant,
    /// It says itself that it answers another request.
    pub names_another: bool,
}

/// Why an attempt's end proves what it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// The answer came in its turn, and says so.
    Answered,
    /// The answer had begun before the request was written whole.
    AheadOfRequest,
    /// The answer began to come so soon after the one before, or after the connection came up, that it may be what its server sends
    /// out of turn.
    TooSoon,
    /// The answer names another request.
    NamesAnother,
    /// The connection was no longer to be used.
    Poisoned,
    /// The connection ended, or was given up, before the request was written whole.
    EndedUnwritten,
    /// The same after that.
    EndedWritten,
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Answered => "answered",
            Self::AheadOfRequest => "ahead-of-request",
            Self::TooSoon => "too-soon",
            Self::NamesAnother => "names-another",
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
    /// Why.
    pub why: Why,
}

/// What a connection was in the middle of when bytes came out of turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Position {
    /// Nothing had been written on it yet.
    New,
    /// Its last answer was whole.
    Idle,
    /// The bytes stood right behind an answer.
    BehindAnswer,
    /// A request was being written.
    Writing,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::New => "new",
            Self::Idle => "idle",
            Self::BehindAnswer => "behind-answer",
            Self::Writing => "writing",
        })
    }
}

/// Bytes that nobody asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfTurn {
    /// What the connection was in the middle of.
    pub position: Position,
    /// How long after the last answer was whole, or after the connection came up where it has had none.
    pub after: Duration,
    /// How old the connection was.
    pub age: Duration,
    /// How many answers it had had.
    pub answers: u32,
}

/// How long a connection has to be quiet before a request is written to it, or an answer to one is believed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// A connection that has had no answer yet, since it came up.
    pub new: Duration,
    /// One that has, since the last of them.
    pub used: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Idle,
    /// A request is being written.
    Writing,
    /// It is written whole.
    Written,
    /// Bytes came ahead of the last byte of the request that is being written, or has been.
    Ahead {
        is_written: bool,
    },
    /// Not to be used any more.
    Poisoned,
}

/// One connection to a server.
#[derive(Clone, Debug)]
pub struct Connection {
    opened: Instant,
    /// When it came up, or when its last answer was whole.
    quiet_since: Instant,
    answers: u32,
    state: State,
}

impl Connection {
    /// A connection that has just come up.
    pub fn new(now: Instant) -> Self {
        Self { opened: now, quiet_since: now, answers: 0, state: State::Idle }
    }

    /// When it came up.
    pub fn opened(&self) -> Instant {
        self.opened
    }

    /// When it came up, or when its last answer was whole.
    pub fn quiet_since(&self) -> Instant {
        self.quiet_since
    }

    /// From when on a request may be written to it; `None` where none may be.
    pub fn usable_from(&self, need: Need) -> Option<Instant> {
        (self.state == State::Idle).then(|| self.quiet_since + self.rest_of(need))
    }

    fn rest_of(&self, need: Need) -> Duration {
        if self.answers == 0 {
            need.new
        } else {
            need.used
        }
    }

    /// A request is about to be written. False where the connection must not be used.
    #[must_use]
    pub fn begin(&mut self) -> bool {
        let may = self.state == State::Idle;
        self.state = if may { State::Writing } else { State::Poisoned };
        may
    }

    /// The last byte of the request has been handed over.
    pub fn written(&mut self) {
        self.state = match self.state {
            State::Writing => State::Written,
            State::Ahead { .. } => State::Ahead { is_written: true },
            other => other,
        };
    }

    /// Bytes came; says whether they are out of turn.
    pub fn received(&mut self, now: Instant) -> Option<OutOfTurn> {
        let position = match self.state {
            State::Written | State::Ahead { .. } | State::Poisoned => return None,
            State::Writing => Position::Writing,
            State::Idle if self.answers == 0 => Position::New,
            State::Idle => Position::Idle,
        };
        self.state = match position {
            Position::Writing => State::Ahead { is_written: false },
            _ => State::Poisoned,
        };
        Some(self.out_of_turn(position, now))
    }

    /// Bytes stand right behind an answer.
    pub fn received_behind_answer(&mut self, now: Instant) -> OutOfTurn {
        self.state = State::Poisoned;
        self.out_of_turn(Position::BehindAnswer, now)
    }

    fn out_of_turn(&self, position: Position, now: Instant) -> OutOfTurn {
        let since = |then: Instant| now.saturating_duration_since(then);
        OutOfTurn { position, after: since(self.quiet_since), age: since(self.opened), answers: self.answers }
    }

    /// An answer is there, whose first byte came then: what it proves of the request that was written last.
    pub fn answered(&mut self, now: Instant, answer: Answer, need: Need) -> Verdict {
        let state = std::mem::replace(&mut self.state, State::Poisoned);
        match state {
            State::Written => {}
            // Its last byte stays here, as the connection is closed.
            State::Writing | State::Ahead { is_written: false } => {
                return Verdict { proof: Proof::NeverRan, why: Why::AheadOfRequest }
            }
            State::Ahead { is_written: true } => {
                return Verdict { proof: Proof::MayHaveRun, why: Why::AheadOfRequest }
            }
            State::Idle | State::Poisoned => return Verdict { proof: Proof::MayHaveRun, why: Why::Poisoned },
        }
        if answer.names_another {
            return Verdict { proof: Proof::MayHaveRun, why: Why::NamesAnother };
        }
        if answer.began < self.quiet_since + self.rest_of(need) {
            return Verdict { proof: Proof::MayHaveRun, why: Why::TooSoon };
        }
        self.state = State::Idle;
        self.answers += 1;
        self.quiet_since = now;
        let proof = match answer.said {
            Said::Served => Proof::Served,
            Said::TurnedAway | Said::Rejected => Proof::NeverRan,
            Said::Failed => Proof::MayHaveRun,
        };
        Verdict { proof, why: Why::Answered }
    }

    /// The rest of an answer that was judged by its head has come.
    pub fn finished(&mut self, now: Instant) {
        self.quiet_since = now;
    }

    /// The connection ended without an answer, or the attempt was given up.
    pub fn ended(&mut self) -> Verdict {
        let state = std::mem::replace(&mut self.state, State::Poisoned);
        match state {
            State::Idle | State::Writing | State::Ahead { is_written: false } => {
                Verdict { proof: Proof::NeverRan, why: Why::EndedUnwritten }
            }
            State::Written | State::Ahead { is_written: true } | State::Poisoned => {
                Verdict { proof: Proof::MayHaveRun, why: Why::EndedWritten }
            }
        }
    }
}
