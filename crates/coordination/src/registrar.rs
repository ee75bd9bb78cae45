//! A server's side: its entry, kept in the tree for as long as the server lives.
//!
//! The node is ephemeral: it ends with the session. A session that is lost is followed by a new one, which registers the
//! same entry again; the birth in it is the process's, so that whoever reads it knows that nothing has restarted.
//!
//! *The old session's end must not take the new one's node along.* Where the name is taken by another session, the node is
//! read first: one of an earlier birth, or of this process, is replaced (removed and made again, in one transaction, by
//! its version), so that the old owner's end finds nothing of its own. One of a later birth belongs to a process that has
//! taken this one's place: this one gives way, so that two processes under one name do not fight for it. Two of the same
//! birth can't be told apart; each replaces the other's node once in five seconds at the most.

use std::collections::VecDeque;

use bytes::Bytes;
use glenwood_list::{Health, ListEntry};

use crate::machine::{Machine, Step};
use crate::proto::{Acl, Code, Mode, Request, Response};
use crate::session::{Event, Failed, Session, Settings};
use crate::Millis;

/// How long the next try waits after one that failed, at first and at most; the span doubles in between.
const AGAIN: (Millis, Millis) = (50.0, 5000.0);

/// What a registrar asks its session for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ask {
    /// The folder, from its root on: which part.
    Folder(usize),
    /// The entry's node.
    Make,
    /// What is there in its place.
    Look,
    /// The same, in place of another session's.
    Replace,
    /// Other data.
    Write,
}

/// What it tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// The entry is there, as it was last told to be.
    Registered,
    /// The entry is there, and says that the server drains.
    Draining,
    /// A later process has the name; this one registers no more.
    GaveWay,
    /// The service can't be reached; the entry may still be there.
    Away,
    /// The session has ended by its owner's will: the entry is gone as soon as this is written.
    Ended,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Not registered in this session, as far as is known; to be tried at that time, if any.
    Out(Option<Millis>),
    /// A request is under way.
    Asking,
    /// It is there, with the data as it was at that count of changes.
    In(u64),
    /// No more.
    Over,
}

/// Keeps one server's entry.
pub struct Registrar {
    session: Session<Ask>,
    folder: String,
    host: ListEntry,
    /// How often the entry has changed.
    changes: u64,
    /// That count, as the request under way has it.
    written: u64,
    state: State,
    failures: i32,
    /// When another session's node was last replaced.
    replaced: Option<Millis>,
    /// Registered and draining have been said for this count.
    said: Option<u64>,
    outputs: VecDeque<Step<Said>>,
}

impl Registrar {
    /// Registers `host` under the folder `folder` from now on.
    pub fn new(now: Millis, settings: Settings, folder: &str, host: ListEntry) -> Self {
        let mut registrar = Self {
            session: Session::new(now, settings),
            folder: folder.trim_end_matches('/').to_string(),
            host,
            changes: 0,
            written: 0,
            state: State::Out(None),
            failures: 0,
            replaced: None,
            said: None,
            outputs: VecDeque::new(),
        };
        registrar.settle(now);
        registrar
    }

    /// What is registered, or is to be.
    pub fn host(&self) -> &ListEntry {
        &self.host
    }

    /// Is it there, as it was last told to be?
    pub fn is_registered(&self) -> bool {
        self.state == State::In(self.changes)
    }

    /// The session, to look at.
    pub fn session(&self) -> &Session<Ask> {
        &self.session
    }

    /// Registers something else of the same server; its name stays.
    pub fn change(&mut self, now: Millis, change: impl FnOnce(&mut ListEntry)) {
        let name = self.host.host.clone();
        change(&mut self.host);
        self.host.host = name;
        self.changes += 1;
        self.settle(now);
    }

    /// Says that the server drains: nothing new is to be sent to it. [`Said::Draining`] follows.
    pub fn drain(&mut self, now: Millis) {
        self.change(now, |host| host.health = Health::Leaving);
    }

    /// Ends the session, and the entry with it. [`Said::Ended`] follows, and what is to be written before that.
    pub fn end(&mut self, now: Millis) {
        self.session.close(now);
        self.state = State::Over;
        self.outputs.push_back(Step::Said(Said::Ended));
    }

    fn path(&self) -> String {
        format!("{}/{}", self.folder, self.host.host)
    }

    fn data(&self) -> Bytes {
        // An entry is made of text and numbers: there is nothing that can't be written.
        Bytes::from(serde_json::to_vec(&self.host).unwrap_or_default())
    }

    fn node(&self) -> Request {
        let mode = Mode { ephemeral: true, sequential: false };
        Request::Create { path: self.path(), data: self.data(), acl: Acl::open(), mode, stat: false }
    }

    fn ask(&mut self, now: Millis, ask: Ask, request: Request) {
        self.state = State::Asking;
        self.written = self.changes;
        self.session.ask(now, ask, request);
    }

    /// Something failed: later, and later each time.
    fn again(&mut self, now: Millis) {
        let span = (AGAIN.0 * 2.0f64.powi(self.failures.min(12))).min(AGAIN.1);
        self.failures += 1;
        self.state = State::Out(Some(now + span));
    }

    /// The n-th part of the folder, from 1; `None` behind the last.
    fn part(&self, n: usize) -> Option<String> {
        let ends = self.folder.match_indices('/').map(|(at, _)| at).skip(1).chain([self.folder.len()]);
        ends.filter(|end| *end > 0).nth(n).map(|end| self.folder[..end].to_string())
    }

    fn settle(&mut self, now: Millis) {
        loop {
            while let Some(event) = self.session.poll() {
                self.on(now, event);
            }
            if !self.session.is_connected() {
                return;
            }
            match self.state {
                State::Out(at) if at.is_none_or(|at| at <= now) => {
                    let node = self.node();
                    self.ask(now, Ask::Make, node);
                }
                State::In(count) if count != self.changes => {
                    let request = Request::SetData { path: self.path(), data: self.data(), version: -1 };
                    self.ask(now, Ask::Write, request);
                }
                _ => return,
            }
        }
    }

    fn on(&mut self, now: Millis, event: Event<Ask>) {
        match event {
            Event::Connect(member) => self.outputs.push_back(Step::Connect(member)),
            Event::Disconnect => self.outputs.push_back(Step::Disconnect),
            _ if self.state == State::Over => {}
            Event::Suspended => self.outputs.push_back(Step::Said(Said::Away)),
            Event::Expired | Event::Stale { .. } => {}
            Event::Established { new } => {
                if new || self.state == State::Asking {
                    // A new session has nothing in the tree; in the same one, what was under way may have been done,
                    // and trying again tells.
                    self.state = State::Out(None);
                    self.said = None;
                }
            }
            // Somebody removed it, replaced it, or wrote something else.
            Event::Fired(event) => {
                if event.path == self.path() && matches!(self.state, State::In(_)) {
                    self.look(now);
                }
            }
            Event::Answer(ask, answer) => self.answered(now, ask, answer),
        }
    }

    fn look(&mut self, now: Millis) {
        let request = Request::GetData { path: self.path(), watch: true };
        self.ask(now, Ask::Look, request);
    }

    fn answered(&mut self, now: Millis, ask: Ask, answer: Result<Response, Failed>) {
        use Failed::{Lost, NotSent, Service};
        match (ask, answer) {
            // Tried again on the next connection.
            (_, Err(Lost | NotSent)) => self.state = State::Out(None),
            (Ask::Make, Err(Service(Code::NoNode))) => self.folder(now, 0),
            (Ask::Folder(n), Ok(_) | Err(Service(Code::NodeExists))) => self.folder(now, n + 1),
            (Ask::Make, Ok(_) | Err(Service(Code::NodeExists))) => self.look(now),
            (Ask::Replace, Ok(Response::Multi(all))) if all.iter().all(Result::is_ok) => self.look(now),
            (Ask::Look, Ok(Response::Data { data, stat })) => self.found(now, &data, stat),
            (Ask::Write, Ok(_)) => {
                self.there(self.written);
                // The watch on it has fired by this.
                self.look(now);
            }
            // It went meanwhile, or anything else.
            _ => self.again(now),
        }
    }

    /// Makes the folder, part by part, and then the entry.
    fn folder(&mut self, now: Millis, n: usize) {
        match self.part(n) {
            Some(path) => {
                let mode = Mode::default();
                let request =
                    Request::Create { path, data: Bytes::new(), acl: Acl::open(), mode, stat: false };
                self.ask(now, Ask::Folder(n), request);
            }
            // Where the whole folder is there and the entry had none, it went in between.
            None => self.state = State::Out(None),
        }
    }

    /// The node that has this name, with a watch on it.
    fn found(&mut self, now: Millis, data: &Bytes, stat: crate::proto::Stat) {
        if stat.ephemeral_owner == self.session.id() {
            self.failures = 0;
            if *data == self.data() {
                self.there(self.changes);
            } else {
                self.state = State::In(self.changes.wrapping_sub(1));
            }
            return;
        }
        let other: Option<ListEntry> = serde_json::from_slice(data).ok();
        if other.is_some_and(|other| other.started_ms > self.host.started_ms) {
            self.session.close(now);
            self.state = State::Over;
            self.outputs.push_back(Step::Said(Said::GaveWay));
            return;
        }
        // Two that can't be told apart by their births would take it from one another as fast as the service answers.
        if self.replaced.is_some_and(|at| now < at + AGAIN.1) {
            return self.again(now);
        }
        self.replaced = Some(now);
        let delete = Request::Delete { path: self.path(), version: stat.version };
        let replace = Request::Multi(vec![delete, self.node()]);
        self.ask(now, Ask::Replace, replace);
    }

    fn there(&mut self, count: u64) {
        self.state = State::In(count);
        if count == self.changes && self.said != Some(count) {
            self.said = Some(count);
            let draining = self.host.health != Health::Active;
            self.outputs.push_back(Step::Said(if draining { Said::Draining } else { Said::Registered }));
        }
    }
}

impl Machine for Registrar {
    type Said = Said;

    fn poll(&mut self) -> Option<Step<Said>> {
        self.outputs.pop_front()
    }

    fn output(&mut self) -> Vec<u8> {
        self.session.output()
    }

    fn poll_timeout(&self) -> Option<Millis> {
        let again = match self.state {
            State::Out(Some(at)) if self.session.is_connected() => Some(at),
            _ => None,
        };
        [self.session.poll_timeout(), again].into_iter().flatten().min_by(f64::total_cmp)
    }

    fn handle_timeout(&mut self, now: Millis) {
        self.session.handle_timeout(now);
        self.settle(now);
    }

    fn connected(&mut self, now: Millis) {
        self.session.connected(now);
        self.settle(now);
    }

    fn broken(&mut self, now: Millis) {
        self.session.broken(now);
        self.settle(now);
    }

    fn received(&mut self, now: Millis, bytes: &[u8]) {
        self.session.received(now, bytes);
        self.settle(now);
    }
}
