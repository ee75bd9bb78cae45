//! The calling side: one connection to a server, with several concurrent calls.
//!
//! The connection tracks how much of each call was written. When it ends, a call whose last byte was never
//! passed to the kernel *never ran*, as a server begins a call when its last byte arrives; any other call
//! *may have run*.
//!
//! MessagePack-RPC has no cancellation: a call that is given up after its first byte was written occupies a
//! slot on the connection until its reply arrives or the connection ends.

use std::collections::{HashMap, VecDeque};

use bytes::{Buf, BytesMut};

use crate::frame::{Bounds, Frames};
use crate::message::{self, Answer, Call, DecodeError, Message};

/// Whether a call without a reply may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// Its last byte was not passed to the kernel, so it never ran.
    Never,
    /// It was written completely, so it may have run.
    Maybe,
}

/// The result of a call; `T` is the caller's identifier of the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event<T> {
    /// The reply.
    Answered(T, Answer),
    /// A reply that cannot be decoded; the call may have run.
    UndecodableReply(T),
    /// A call that had been given up no longer occupies a slot: its reply has arrived, or the connection has
    /// ended.
    Left(T),
    /// The connection ended before a reply arrived.
    Broken(T, Ran),
    /// A reply that matches no call, or a message that is not a reply. No further calls are made on this
    /// connection.
    Stray(String),
}

/// The effect of giving a call up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GivenUp {
    /// No byte of the call was written, and none will be: it never ran.
    Withdrawn,
    /// The server may be working on it; [`Event::Left`] follows.
    RunsOn,
    /// There is no such call.
    Unknown,
}

#[derive(Debug)]
struct OpenCall<T> {
    call: T,
    written: bool,
    given_up: bool,
}

/// A call that is not completely written.
#[derive(Debug)]
struct PendingCall {
    id: u32,
    bytes: BytesMut,
    begun: bool,
}

/// One connection to a server.
#[derive(Debug)]
pub struct Connection<T> {
    frames: Frames,
    open: HashMap<u32, OpenCall<T>>,
    unwritten: VecDeque<PendingCall>,
    /// The msgid of the next call; no msgid is used twice on a connection.
    next_id: Option<u32>,
    max_open: usize,
    /// Set when no further calls are accepted.
    retired: bool,
    /// Why the stream cannot be decoded any further; the connection must be closed.
    broken: Option<String>,
    events: VecDeque<Event<T>>,
}

impl<T: Clone + PartialEq> Connection<T> {
    /// Creates a connection that allows `max_open` concurrent calls.
    pub fn new(max_open: usize, bounds: Bounds) -> Self {
        Self {
            frames: Frames::new(bounds),
            open: HashMap::new(),
            unwritten: VecDeque::new(),
            next_id: Some(0),
            max_open,
            retired: false,
            broken: None,
            events: VecDeque::new(),
        }
    }

    /// Sets the first msgid, which is 0 by default.
    #[must_use]
    pub fn with_first_id(mut self, id: u32) -> Self {
        self.next_id = Some(id);
        self
    }

    /// Number of further calls that are accepted now.
    pub fn room(&self) -> usize {
        if self.retired || self.broken.is_some() || self.next_id.is_none() {
            return 0;
        }
        self.max_open.saturating_sub(self.open.len())
    }

    /// Number of calls that occupy a slot, including those that were given up.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Number of these that were given up.
    pub fn given_up(&self) -> usize {
        self.open.values().filter(|o| o.given_up).count()
    }

    /// Stops accepting calls.
    pub fn retire(&mut self) {
        self.retired = true;
    }

    /// Whether no further calls are accepted, even after open ones have ended.
    pub fn is_retired(&self) -> bool {
        self.retired || self.broken.is_some() || self.next_id.is_none()
    }

    /// Why the connection must be closed, if it must.
    pub fn broken(&self) -> Option<&str> {
        self.broken.as_deref()
    }

    /// Queues a call and returns its msgid.
    ///
    /// # Errors
    /// Returns `name` if there is no free slot.
    pub fn call(&mut self, name: T, call: &Call) -> Result<u32, T> {
        let Some(id) = self.next_id.filter(|_| self.room() > 0) else { return Err(name) };
        self.next_id = id.checked_add(1);
        let mut bytes = BytesMut::new();
        message::write_call(&mut bytes, id, call);
        self.unwritten.push_back(PendingCall { id, bytes, begun: false });
        self.open.insert(id, OpenCall { call: name, written: false, given_up: false });
        Ok(id)
    }

    fn find(&self, name: &T) -> Option<u32> {
        self.open.iter().find(|(_, o)| o.call == *name && !o.given_up).map(|(id, _)| *id)
    }

    /// Whether a call is written completely.
    pub fn is_written(&self, name: &T) -> bool {
        self.find(name).and_then(|id| self.open.get(&id)).is_some_and(|o| o.written)
    }

    /// Gives a call up.
    pub fn give_up(&mut self, name: &T) -> GivenUp {
        let Some(id) = self.find(name) else { return GivenUp::Unknown };
        if let Some(index) = self.unwritten.iter().position(|u| u.id == id && !u.begun) {
            self.unwritten.remove(index);
            self.open.remove(&id);
            return GivenUp::Withdrawn;
        }
        if let Some(open) = self.open.get_mut(&id) {
            open.given_up = true;
        }
        GivenUp::RunsOn
    }

    /// Whether a call is open and no byte of it has been written.
    pub fn is_unwritten(&self, name: &T) -> bool {
        self.find(name).is_some_and(|id| self.unwritten.iter().any(|u| u.id == id && !u.begun))
    }

    /// Withdraws all calls of which no byte has been written, in order; they never ran.
    pub fn withdraw(&mut self) -> Vec<T> {
        let mut withdrawn = Vec::new();
        let open = &mut self.open;
        self.unwritten.retain(|u| {
            if u.begun {
                return true;
            }
            withdrawn.extend(open.remove(&u.id).map(|o| o.call));
            false
        });
        withdrawn
    }

    /// Number of calls that are not completely written.
    pub fn unwritten(&self) -> usize {
        self.unwritten.len()
    }

    /// The bytes to write, one slice per call.
    pub fn output(&self) -> impl Iterator<Item = &[u8]> {
        self.unwritten.iter().map(|u| &u.bytes[..])
    }

    /// Records that the kernel accepted `bytes` bytes of [`Connection::output`]; returns how many calls that
    /// completed.
    pub fn wrote(&mut self, bytes: usize) -> usize {
        let (mut left, mut completed) = (bytes, 0);
        while let Some(front) = self.unwritten.front_mut().filter(|_| left > 0) {
            let taken = left.min(front.bytes.len());
            front.begun = true;
            front.bytes.advance(taken);
            left -= taken;
            if !front.bytes.is_empty() {
                break;
            }
            let id = front.id;
            self.unwritten.pop_front();
            completed += 1;
            if let Some(open) = self.open.get_mut(&id) {
                open.written = true;
            }
        }
        completed
    }

    /// Handles received bytes.
    pub fn received(&mut self, bytes: &[u8]) {
        if self.broken.is_some() {
            return;
        }
        self.frames.push(bytes);
        loop {
            let frame = match self.frames.poll() {
                Ok(Some(frame)) => frame,
                Ok(None) => return,
                Err(error) => {
                    self.broken = Some(error.to_string());
                    return;
                }
            };
            match message::read(&frame) {
                Ok(Message::Reply(id, answer)) => self.handle_reply(id, Some(answer)),
                Err(DecodeError::Reply(id, _)) => self.handle_reply(id, None),
                Ok(_) => self.report_stray("a message that is not a reply".into()),
                Err(spoilt) => self.report_stray(spoilt.to_string()),
            }
        }
    }

    /// Handles a message that matches no call. It shows that the two sides disagree: open calls may still be
    /// answered, but no further calls are accepted.
    fn report_stray(&mut self, reason: String) {
        self.retired = true;
        self.events.push_back(Event::Stray(reason));
    }

    fn handle_reply(&mut self, id: u32, answer: Option<Answer>) {
        // A call that is not completely written cannot have been answered.
        if !self.open.get(&id).is_some_and(|o| o.written) {
            return self.report_stray(format!("a reply to msgid {id}, which awaits no reply"));
        }
        let Some(open) = self.open.remove(&id) else { return };
        self.events.push_back(match answer {
            _ if open.given_up => Event::Left(open.call),
            Some(answer) => Event::Answered(open.call, answer),
            None => Event::UndecodableReply(open.call),
        });
    }

    /// Handles the end of the connection: each open call gets its last event, in the order of the calls.
    pub fn ended(&mut self) {
        let mut open: Vec<(u32, OpenCall<T>)> = self.open.drain().collect();
        open.sort_unstable_by_key(|(id, _)| *id);
        self.unwritten.clear();
        let is_broken = self.broken.is_some();
        self.broken.get_or_insert_with(|| "ended".into());
        self.events.extend(open.into_iter().map(|(_, o)| match (o.given_up, o.written) {
            (true, _) => Event::Left(o.call),
            (false, true) if is_broken => Event::UndecodableReply(o.call),
            (false, true) => Event::Broken(o.call, Ran::Maybe),
            (false, false) => Event::Broken(o.call, Ran::Never),
        }));
    }

    /// Returns the next event.
    pub fn poll(&mut self) -> Option<Event<T>> {
        self.events.pop_front()
    }

    /// Whether part of a reply has been received.
    pub fn has_partial_message(&self) -> bool {
        self.frames.partial_message().is_some()
    }
}
