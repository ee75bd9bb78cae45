//! The called side: one connection of a client.

use std::collections::HashSet;

use bytes::{Buf, BytesMut};

use crate::frame::{Bounds, Frames, PartialMessage};
use crate::message::{self, Answer, Call, Code, DecodeError, ErrorReply, Message};

/// Limits of one connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of open calls; further ones must be refused at once.
    pub open: usize,
    /// Size in bytes of the unsent answers from which nothing more is read.
    pub unsent: usize,
    /// Limits on received messages.
    pub bounds: Bounds,
}

impl Default for Limits {
    /// 64 open calls and 128 KiB of unsent answers.
    fn default() -> Self {
        Self { open: 64, unsent: 128 * 1024, bounds: Bounds::default() }
    }
}

/// An event on the connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A call, to be answered exactly once with [`Connection::answer`].
    Call {
        /// The msgid that the client chose.
        id: u32,
        /// The contents of the call.
        call: Call,
    },
    /// A call above the limit on open calls, to be answered exactly once, at once, with a refusal. `class` is
    /// the class that it named.
    Surplus {
        /// The msgid that the client chose.
        id: u32,
        /// The class that the call named.
        class: String,
    },
    /// A call that cannot be decoded; it has already been answered.
    Bad {
        /// The error code of that answer.
        code: Code,
    },
    /// A notification. It needs no answer and is ignored.
    Notification,
    /// Nothing more is read, for the given reason: open calls are answered, then the connection ends.
    Ending(String),
}

/// One connection of a client. It may be read while [`Connection::wants_bytes`] holds, and is finished when
/// [`Connection::is_over`] does.
#[derive(Debug)]
pub struct Connection {
    limits: Limits,
    frames: Frames,
    /// The msgids of the calls that have not been answered.
    open: HashSet<u32>,
    out: BytesMut,
    /// Set when nothing more is read.
    ending: bool,
}

impl Connection {
    /// Creates the state of a new connection.
    pub fn new(limits: Limits) -> Self {
        let frames = Frames::new(limits.bounds);
        Self { limits, frames, open: HashSet::new(), out: BytesMut::new(), ending: false }
    }

    /// Handles received bytes.
    pub fn received(&mut self, bytes: &[u8]) {
        if !self.ending {
            self.frames.push(bytes);
        }
    }

    /// Whether more bytes should be read. Reading pauses while the client does not read its answers.
    pub fn wants_bytes(&self) -> bool {
        !self.ending && self.out.len() < self.limits.unsent
    }

    /// Returns the next event, or `None` until more bytes arrive or answers have been written.
    pub fn poll(&mut self) -> Option<Event> {
        if !self.wants_bytes() {
            return None;
        }
        let frame = match self.frames.poll() {
            Ok(frame) => frame?,
            Err(error) => return Some(self.end(error.to_string())),
        };
        Some(match message::read(&frame) {
            Ok(Message::Call(id, call)) => {
                if self.open.contains(&id) {
                    // Two answers with the same msgid could not be told apart: the first call's answer would
                    // be taken for both.
                    return Some(self.end(format!("msgid {id} is already used by an open call")));
                }
                let is_surplus = self.open.len() >= self.limits.open;
                self.open.insert(id);
                if is_surplus {
                    Event::Surplus { id, class: call.class }
                } else {
                    Event::Call { id, call }
                }
            }
            Ok(Message::Notification) => Event::Notification,
            Ok(Message::Reply(..)) | Err(DecodeError::Reply(..)) => {
                self.end("a reply where only calls and notifications are expected".into())
            }
            Err(DecodeError::Call(id, error)) if !self.open.contains(&id) => {
                let code = error.code;
                message::write_answer(&mut self.out, id, &Err(error));
                Event::Bad { code }
            }
            Err(DecodeError::Call(id, _)) => self.end(format!("msgid {id} is already used by an open call")),
            Err(DecodeError::Unknown(reason)) => self.end(reason),
        })
    }

    fn end(&mut self, reason: String) -> Event {
        self.finish();
        Event::Ending(reason)
    }

    /// Stops reading: open calls are answered, then the connection ends. What was received and not polled is
    /// dropped.
    pub fn finish(&mut self) {
        self.ending = true;
        self.frames = Frames::new(self.limits.bounds);
    }

    /// Answers a call; does nothing if the call is not open.
    pub fn answer(&mut self, id: u32, answer: &Answer) {
        if self.open.remove(&id) {
            message::write_answer(&mut self.out, id, answer);
        }
    }

    /// Number of open calls.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// The part of a message that has been received; `None` between messages. Before [`Connection::poll`] has
    /// returned `None`, it may be followed by more messages.
    pub fn partial_message(&self) -> Option<PartialMessage> {
        self.frames.partial_message()
    }

    /// Number of received bytes that are buffered.
    pub fn held(&self) -> usize {
        self.frames.held()
    }

    /// The bytes to write.
    pub fn output(&self) -> &[u8] {
        &self.out
    }

    /// Records that `bytes` bytes of [`Connection::output`] have been written.
    pub fn wrote(&mut self, bytes: usize) {
        self.out.advance(bytes.min(self.out.len()));
        if self.out.is_empty() {
            // Release the memory that a burst of answers needed.
            self.out = BytesMut::new();
        }
    }

    /// Whether the connection is finished: nothing more is read, and all answers are written.
    pub fn is_over(&self) -> bool {
        self.ending && self.open.is_empty() && self.out.is_empty()
    }
}

/// Creates the refusal of a call above the limit.
pub fn surplus(retry_after_ms: Option<u64>) -> ErrorReply {
    let message = "too many open calls on this connection".to_string();
    ErrorReply { code: Code::Refused, message, retry_after_ms }
}
