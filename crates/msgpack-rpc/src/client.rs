//! The side that calls: one connection to a server, with several calls open on it.
//!
//! Of each call it is known how far it was written. When the connection ends, one whose last byte was never handed to
//! the kernel *never ran*, as a server begins a call when its last byte has come; any other *may have run*.
//!
//! MessagePack-RPC has no cancel: a call that is given up once begun holds its place on the connection until its reply
//! comes, or the connection ends.

use std::collections::{HashMap, VecDeque};

use bytes::{Buf, BytesMut};

use crate::frame::{Bounds, Frames};
use crate::message::{self, Answer, Call, Message, Spoilt};

/// Was a call that got no reply written whole?
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// Its last byte was not handed over.
    Never,
    /// It was.
    Maybe,
}

/// What became of a call, `T` being the caller's name for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event<T> {
    /// Its reply.
    Answered(T, Answer),
    /// A reply that can't be read; it may have run.
    Garbled(T),
    /// A call that had been given up: its reply has come, or the connection has ended.
    Left(T),
    /// The connection ended without a reply.
    Broken(T, Ran),
    /// A reply to nobody, or a message of another kind: nothing more is called here.
    Stray(String),
}

/// What giving a call up came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GivenUp {
    /// No byte of it had been written, and none will be: it never ran.
    Withdrawn,
    /// The server works on it; [`Event::Left`] follows.
    RunsOn,
    /// There is no such call.
    Unknown,
}

#[derive(Debug)]
struct Open<T> {
    call: T,
    written: bool,
    given_up: bool,
}

/// A call that is not written whole.
#[derive(Debug)]
struct Unwritten {
    id: u32,
    bytes: BytesMut,
    begun: bool,
}

/// One connection to a server.
#[derive(Debug)]
pub struct Connection<T> {
    frames: Frames,
    open: HashMap<u32, Open<T>>,
    unwritten: VecDeque<Unwritten>,
    /// The number of the next call; none is used twice on a connection.
    next: Option<u32>,
    most: usize,
    /// No further calls.
    retired: bool,
    /// A stream that can't be read: it is to be ended.
    broken: Option<String>,
    events: VecDeque<Event<T>>,
}

impl<T: Clone + PartialEq> Connection<T> {
    /// A connection that takes `most` calls at a time.
    pub fn new(most: usize, bounds: Bounds) -> Self {
        Self {
            frames: Frames::new(bounds),
            open: HashMap::new(),
            unwritten: VecDeque::new(),
            next: Some(0),
            most,
            retired: false,
            broken: None,
            events: VecDeque::new(),
        }
    }

    /// Begins the numbers elsewhere than at 0.
    #[must_use]
    pub fn starting_at(mut self, id: u32) -> Self {
        self.next = Some(id);
        self
    }

    /// How many more calls it takes now.
    pub fn room(&self) -> usize {
        if self.retired || self.broken.is_some() || self.next.is_none() {
            return 0;
        }
        self.most.saturating_sub(self.open.len())
    }

    /// How many calls hold a place, with those that were given up.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// How many of these were given up.
    pub fn given_up(&self) -> usize {
        self.open.values().filter(|o| o.given_up).count()
    }

    /// Takes no further calls.
    pub fn retire(&mut self) {
        self.retired = true;
    }

    /// Does it take further calls, once there is room?
    pub fn is_retired(&self) -> bool {
        self.retired || self.broken.is_some() || self.next.is_none()
    }

    /// Why it is to be ended, where it is.
    pub fn broken(&self) -> Option<&str> {
        self.broken.as_deref()
    }

    /// Queues a call.
    ///
    /// # Errors
    /// Gives `name` back where there is no room.
    pub fn call(&mut self, name: T, call: &Call) -> Result<u32, T> {
        let Some(id) = self.next.filter(|_| self.room() > 0) else { return Err(name) };
        self.next = id.checked_add(1);
        let mut bytes = BytesMut::new();
        message::write_call(&mut bytes, id, call);
        self.unwritten.push_back(Unwritten { id, bytes, begun: false });
        self.open.insert(id, Open { call: name, written: false, given_up: false });
        Ok(id)
    }

    fn find(&self, name: &T) -> Option<u32> {
        self.open.iter().find(|(_, o)| o.call == *name && !o.given_up).map(|(id, _)| *id)
    }

    /// Is this call written whole?
    pub fn is_written(&self, name: &T) -> bool {
        self.find(name).and_then(|id| self.open.get(&id)).is_some_and(|o| o.written)
    }

    /// Gives a call up.
    pub fn give_up(&mut self, name: &T) -> GivenUp {
        let Some(id) = self.find(name) else { return GivenUp::Unknown };
        if let Some(at) = self.unwritten.iter().position(|u| u.id == id && !u.begun) {
            self.unwritten.remove(at);
            self.open.remove(&id);
            return GivenUp::Withdrawn;
        }
        if let Some(open) = self.open.get_mut(&id) {
            open.given_up = true;
        }
        GivenUp::RunsOn
    }

    /// Is it open, with no byte of it written?
    pub fn is_unwritten(&self, name: &T) -> bool {
        self.find(name).is_some_and(|id| self.unwritten.iter().any(|u| u.id == id && !u.begun))
    }

    /// Takes back all calls of which no byte has been written, in their order: they never ran.
    pub fn withdraw(&mut self) -> Vec<T> {
        let mut back = Vec::new();
        let open = &mut self.open;
        self.unwritten.retain(|u| {
            if u.begun {
                return true;
            }
            back.extend(open.remove(&u.id).map(|o| o.call));
            false
        });
        back
    }

    /// How many calls are not written whole.
    pub fn unwritten(&self) -> usize {
        self.unwritten.len()
    }

    /// What is to be written, call by call.
    pub fn output(&self) -> impl Iterator<Item = &[u8]> {
        self.unwritten.iter().map(|u| &u.bytes[..])
    }

    /// So many bytes of [`Connection::output`] were taken by the kernel; how many calls are whole with them.
    pub fn wrote(&mut self, bytes: usize) -> usize {
        let (mut left, mut whole) = (bytes, 0);
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
            whole += 1;
            if let Some(open) = self.open.get_mut(&id) {
                open.written = true;
            }
        }
        whole
    }

    /// Takes what came.
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
                Ok(Message::Reply(id, answer)) => self.replied(id, Some(answer)),
                Err(Spoilt::Reply(id, _)) => self.replied(id, None),
                Ok(_) => self.stray("a message that is no reply".into()),
                Err(spoilt) => self.stray(spoilt.to_string()),
            }
        }
    }

    /// A reply that nobody awaits tells that the two sides disagree: what is open may still be answered, but nothing
    /// more is called here.
    fn stray(&mut self, words: String) {
        self.retired = true;
        self.events.push_back(Event::Stray(words));
    }

    fn replied(&mut self, id: u32, answer: Option<Answer>) {
        // One that is not written whole can't have been answered.
        if !self.open.get(&id).is_some_and(|o| o.written) {
            return self.stray(format!("a reply to msgid {id}, which awaits none"));
        }
        let Some(open) = self.open.remove(&id) else { return };
        self.events.push_back(match answer {
            _ if open.given_up => Event::Left(open.call),
            Some(answer) => Event::Answered(open.call, answer),
            None => Event::Garbled(open.call),
        });
    }

    /// The connection has ended: what is open on it gets its last event, in the order of the calls.
    pub fn ended(&mut self) {
        let mut open: Vec<(u32, Open<T>)> = self.open.drain().collect();
        open.sort_unstable_by_key(|(id, _)| *id);
        self.unwritten.clear();
        let garbled = self.broken.is_some();
        self.broken.get_or_insert_with(|| "ended".into());
        self.events.extend(open.into_iter().map(|(_, o)| match (o.given_up, o.written) {
            (true, _) => Event::Left(o.call),
            (false, true) if garbled => Event::Garbled(o.call),
            (false, true) => Event::Broken(o.call, Ran::Maybe),
            (false, false) => Event::Broken(o.call, Ran::Never),
        }));
    }

    /// The next thing that happened.
    pub fn poll(&mut self) -> Option<Event<T>> {
        self.events.pop_front()
    }

    /// Has a reply begun to come that is not whole?
    pub fn amid(&self) -> bool {
        self.frames.amid()
    }
}
