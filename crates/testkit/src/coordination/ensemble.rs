//! An ensemble of members in virtual time: one order of transactions, a leader with an epoch, members that apply what is
//! in the order each in its time, sessions that end when nobody hears of them, and connections of clients.
//!
//! What is acknowledged is in the order and stays there: the order outlives every member, as logs and snapshots on disks
//! would. A member that cannot reach a majority serves nobody.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use glenwood_coordination::frame::{with_length_prefix, Frames, MAX_RECORD_BYTES};
use glenwood_coordination::proto::{
    Code, ConnectRequest, ConnectResponse, EventKind, ReplyHeader, Request, Response, WatchEvent, XID_PING,
};
use glenwood_coordination::Millis;

use super::tree::{Tree, Txn};

/// How long it takes to agree on a leader.
const ELECTION: Millis = 200.0;
/// Bounds of a session's time-out.
const TIMEOUTS: (i32, i32) = (100, 60_000);

/// A connection of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// A request whose answer waits for its transaction to be applied at its member.
struct Waiting {
    xid: i32,
    zxid: i64,
    closes: bool,
}

struct Conn {
    member: usize,
    frames: Frames,
    /// Its session, once it has been greeted.
    session: Option<i64>,
    /// The zxid of the new session that its greeting waits for, and the session.
    greeting: Option<(i64, i64)>,
    asked: VecDeque<Bytes>,
    waiting: Option<Waiting>,
    out: Vec<u8>,
    data: BTreeSet<String>,
    children: BTreeSet<String>,
    closed: bool,
}

#[derive(Default)]
struct Member {
    tree: Tree,
    up: bool,
    /// Reaches no other member.
    cut: bool,
    /// Accepts and says nothing.
    mute: bool,
    /// How far behind the order it is.
    lag: Millis,
    /// How much of the order it has applied.
    applied: usize,
}

/// All members, and what they agree on.
pub struct Ensemble {
    members: Vec<Member>,
    /// The order: each transaction, and when it was agreed on.
    order: Vec<(Millis, Txn)>,
    /// What all of the order makes.
    newest: Tree,
    leader: Option<usize>,
    /// When there will be a leader, where there is none and a majority is.
    elected: Option<Millis>,
    epoch: i64,
    counter: i64,
    /// When each session was last heard of.
    heard: BTreeMap<i64, Millis>,
    /// The connection that each session is at.
    at: BTreeMap<i64, ConnId>,
    conns: BTreeMap<ConnId, Conn>,
    last_conn: u64,
    last_session: i64,
    now: Millis,
}

impl Ensemble {
    /// So many members, all up, with a leader.
    pub fn new(members: usize) -> Self {
        let member = || Member { up: true, ..Member::default() };
        let mut ensemble = Self {
            members: (0..members).map(|_| member()).collect(),
            order: Vec::new(),
            newest: Tree::default(),
            leader: None,
            elected: None,
            epoch: 0,
            counter: 0,
            heard: BTreeMap::new(),
            at: BTreeMap::new(),
            conns: BTreeMap::new(),
            last_conn: 0,
            last_session: 0,
            now: 0.0,
        };
        ensemble.lead();
        ensemble
    }

    /// What all of the order makes.
    pub fn newest(&self) -> &Tree {
        &self.newest
    }

    /// The names under a path after each transaction of the order, for who wants to compare what a client saw.
    pub fn history(&self, path: &str) -> Vec<Vec<String>> {
        let mut tree = Tree::default();
        let names = Request::GetChildren { path: path.to_string(), watch: false, stat: false };
        let after = self.order.iter().map(|(_, txn)| {
            // The answer was said long ago.
            let _ = tree.apply(txn);
            match tree.read(&names) {
                Some(Ok(Response::Children { names, .. })) => names,
                _ => Vec::new(),
            }
        });
        after.collect()
    }

    /// The member that leads.
    pub fn leader(&self) -> Option<usize> {
        self.leader
    }

    // ---- Faults ----

    /// Ends a member, with its clients' connections. What it had applied is on its disk.
    pub fn kill(&mut self, member: usize) {
        self.members[member].up = false;
        self.drop_clients(member);
        self.look_for_leader();
    }

    /// Starts a member again.
    pub fn restore(&mut self, member: usize) {
        self.members[member].up = true;
        self.look_for_leader();
    }

    /// Cuts a member off from the others, not from its clients.
    pub fn cut(&mut self, member: usize, cut: bool) {
        self.members[member].cut = cut;
        self.look_for_leader();
    }

    /// A member accepts and says nothing.
    pub fn mute(&mut self, member: usize, mute: bool) {
        self.members[member].mute = mute;
    }

    /// A member is so far behind the order from now on.
    pub fn lag(&mut self, member: usize, lag: Millis) {
        self.members[member].lag = lag;
    }

    fn drop_clients(&mut self, member: usize) {
        for conn in self.conns.values_mut().filter(|c| c.member == member) {
            conn.closed = true;
        }
    }

    /// Does a member reach a majority?
    fn serves(&self, member: usize) -> bool {
        let reached = self.members.iter().filter(|m| m.up && !m.cut).count();
        let m = &self.members[member];
        m.up && (!m.cut || self.members.len() == 1) && 2 * reached > self.members.len()
    }

    fn look_for_leader(&mut self) {
        for member in 0..self.members.len() {
            if !self.serves(member) {
                // Who can't tell what is agreed on serves nobody, not even readers.
                self.drop_clients(member);
            }
        }
        if self.leader.is_some_and(|leader| !self.serves(leader)) {
            self.leader = None;
        }
        let any = (0..self.members.len()).any(|m| self.serves(m));
        self.elected = match (self.leader, any) {
            (None, true) => self.elected.or(Some(self.now + ELECTION)),
            _ => None,
        };
    }

    /// A new leader: a new epoch, and a whole time-out for every session, as nobody knows who was heard meanwhile.
    fn lead(&mut self) {
        self.elected = None;
        self.leader = (0..self.members.len()).find(|m| self.serves(*m));
        if self.leader.is_some() {
            self.epoch += 1;
            self.counter = 0;
            let now = self.now;
            self.heard.values_mut().for_each(|heard| *heard = now);
        }
    }

    // ---- Time ----

    /// When [`Ensemble::handle_timeout`] is to be called.
    pub fn poll_timeout(&self) -> Option<Millis> {
        let ends = self.heard.iter().filter(|_| self.leader.is_some());
        let ends = ends.filter_map(|(id, heard)| {
            let timeout = self.newest.sessions().find(|(other, _)| other == id)?.1;
            Some(heard + f64::from(timeout))
        });
        let applies = self.members.iter().enumerate().filter(|(n, _)| self.serves(*n));
        let applies = applies.filter_map(|(_, m)| self.order.get(m.applied).map(|(at, _)| at + m.lag));
        ends.chain(applies).chain(self.elected).min_by(f64::total_cmp)
    }

    /// Does what is due by now.
    pub fn handle_timeout(&mut self, now: Millis) {
        self.now = now.max(self.now);
        if self.elected.is_some_and(|at| at <= now) {
            self.lead();
        }
        if self.leader.is_some() {
            let over: Vec<i64> = self
                .newest
                .sessions()
                .filter(|(id, timeout)| {
                    self.heard.get(id).is_none_or(|heard| heard + f64::from(*timeout) <= now)
                })
                .map(|(id, _)| id)
                .collect();
            for id in over {
                let zxid = self.next();
                let txn = self.newest.close_session(zxid, now as i64, id);
                self.agree(txn);
            }
        }
        self.apply_due();
    }

    fn next(&mut self) -> i64 {
        self.counter += 1;
        (self.epoch << 32) | self.counter
    }

    /// Puts a transaction into the order.
    fn agree(&mut self, txn: Txn) {
        // What it answers is said by the member that its client is at.
        let _ = self.newest.apply(&txn);
        let newest = &self.newest;
        self.heard.retain(|id, _| newest.has_session(*id));
        self.order.push((self.now, txn));
    }

    fn apply_due(&mut self) {
        for n in 0..self.members.len() {
            if self.serves(n) {
                self.apply_here(n);
            }
            self.serve_asked(n);
        }
    }

    /// Says what a transaction came to, to the client that waits for it here.
    fn tell(&mut self, member: usize, zxid: i64, answer: &Result<Response, Code>) {
        for (id, conn) in self.conns.iter_mut().filter(|(_, c)| c.member == member && !c.closed) {
            if let Some((waits, session)) = conn.greeting.filter(|(waits, _)| *waits == zxid) {
                debug_assert_eq!(waits, zxid);
                conn.greeting = None;
                conn.session = Some(session);
                self.at.insert(session, *id);
                let timeout = self.members[member].tree.sessions().find(|(s, _)| *s == session);
                conn.greet(session, timeout.map_or(0, |(_, timeout)| timeout));
            }
            if conn.waiting.as_ref().is_some_and(|w| w.zxid == zxid) {
                if let Some(waiting) = conn.waiting.take() {
                    conn.reply(waiting.xid, zxid, answer);
                    conn.closed |= waiting.closes;
                }
            }
        }
    }

    // ---- Clients ----

    /// A client connects to a member; `None` where nobody listens.
    pub fn open(&mut self, member: usize) -> Option<ConnId> {
        let m = &self.members[member];
        if !m.up || (!m.mute && !self.serves(member)) {
            return None;
        }
        self.last_conn += 1;
        let id = ConnId(self.last_conn);
        let conn = Conn {
            member,
            frames: Frames::new(MAX_RECORD_BYTES),
            session: None,
            greeting: None,
            asked: VecDeque::new(),
            waiting: None,
            out: Vec::new(),
            data: BTreeSet::new(),
            children: BTreeSet::new(),
            closed: false,
        };
        self.conns.insert(id, conn);
        Some(id)
    }

    /// A client has gone.
    pub fn close(&mut self, id: ConnId) {
        self.conns.remove(&id);
    }

    /// Has the service ended this connection?
    pub fn is_closed(&self, id: ConnId) -> bool {
        self.conns.get(&id).is_none_or(|c| c.closed)
    }

    /// The member that a connection is to.
    pub fn member_of(&self, id: ConnId) -> Option<usize> {
        self.conns.get(&id).map(|c| c.member)
    }

    /// What a client could know over this connection: what its member has applied. `None` where its member says nothing,
    /// or the connection has no session.
    pub fn seen_over(&self, id: ConnId) -> Option<&Tree> {
        let conn = self.conns.get(&id).filter(|c| !c.closed && c.session.is_some())?;
        let member = &self.members[conn.member];
        (!member.mute && self.serves(conn.member)).then_some(&member.tree)
    }

    /// What is to be written to a client; it is taken by this.
    pub fn output(&mut self, id: ConnId) -> Vec<u8> {
        let Some(conn) = self.conns.get_mut(&id) else { return Vec::new() };
        if self.members[conn.member].mute {
            return Vec::new();
        }
        std::mem::take(&mut conn.out)
    }

    /// Takes what a client wrote.
    pub fn received(&mut self, now: Millis, id: ConnId, bytes: &[u8]) {
        self.now = now.max(self.now);
        let Some(conn) = self.conns.get_mut(&id).filter(|c| !c.closed) else { return };
        let member = conn.member;
        if self.members[member].mute {
            return;
        }
        conn.frames.push(bytes);
        loop {
            match conn.frames.poll() {
                Ok(Some(record)) => conn.asked.push_back(record),
                Ok(None) => break,
                Err(_) => {
                    conn.closed = true;
                    return;
                }
            }
        }
        self.apply_due();
    }

    /// Serves what clients of a member have asked, each in its order.
    fn serve_asked(&mut self, member: usize) {
        let ids: Vec<ConnId> =
            self.conns.iter().filter(|(_, c)| c.member == member).map(|(id, _)| *id).collect();
        for id in ids {
            while let Some(record) = self.next_asked(id) {
                self.serve(id, member, record);
            }
        }
    }

    fn next_asked(&mut self, id: ConnId) -> Option<Bytes> {
        let conn = self.conns.get_mut(&id)?;
        // What changes something is served when there is a leader, and what stands behind it in its turn.
        if conn.closed || conn.waiting.is_some() || conn.greeting.is_some() || self.leader.is_none() {
            return None;
        }
        conn.asked.pop_front()
    }

    fn serve(&mut self, id: ConnId, member: usize, record: Bytes) {
        let session = self.conns.get(&id).and_then(|c| c.session);
        let Some(session) = session else { return self.greet(id, member, record) };
        if self.newest.has_session(session) {
            self.heard.insert(session, self.now);
        }
        let zxid = self.members[member].tree.zxid();
        let (xid, request) = match Request::read(record) {
            Ok(read) => read,
            Err((xid, _)) => {
                if let Some(conn) = self.conns.get_mut(&id) {
                    xid.iter().for_each(|xid| conn.reply(*xid, zxid, &Err(Code::Marshalling)));
                    conn.closed = true;
                }
                return;
            }
        };
        let moved = self.at.get(&session) != Some(&id);
        let next = (self.epoch << 32) | (self.counter + 1);
        let txn = self.newest.prepare(next, self.now as i64, session, &request).filter(|_| !moved);
        let Some(conn) = self.conns.get_mut(&id) else { return };
        if moved {
            conn.reply(xid, zxid, &Err(Code::SessionMoved));
            conn.closed = true;
            return;
        }
        if xid != XID_PING && !self.newest.has_session(session) {
            conn.reply(xid, zxid, &Err(Code::SessionExpired));
            conn.closed = true;
            return;
        }
        if let Some(txn) = txn {
            let closes = matches!(request, Request::CloseSession);
            conn.waiting = Some(Waiting { xid, zxid: next, closes });
            self.counter += 1;
            self.agree(txn);
            // The member may have it already: that is, at once.
            return self.apply_here(member);
        }
        let tree = &self.members[member].tree;
        let answer = tree.read(&request).unwrap_or(Err(Code::Unimplemented));
        conn.watch(tree, &request, &answer);
        conn.reply(xid, zxid, &answer);
    }

    /// Applies what is due at one member, without serving more.
    fn apply_here(&mut self, n: usize) {
        loop {
            let member = &mut self.members[n];
            let Some((at, txn)) = self.order.get(member.applied) else { return };
            if at + member.lag > self.now {
                return;
            }
            member.applied += 1;
            let (answer, fired) = member.tree.apply(txn);
            let zxid = txn.zxid;
            for conn in self.conns.values_mut().filter(|c| c.member == n && !c.closed) {
                fired.iter().for_each(|event| conn.fire(event));
            }
            self.tell(n, zxid, &answer);
        }
    }

    fn greet(&mut self, id: ConnId, member: usize, record: Bytes) {
        let hello = ConnectRequest::read(record);
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let Ok(hello) = hello else {
            conn.closed = true;
            return;
        };
        // Who has seen more than this member has is turned away: it would go back in time here.
        if hello.last_zxid > self.members[member].tree.zxid() {
            conn.closed = true;
            return;
        }
        if hello.session != 0 {
            let known = self.newest.sessions().find(|(s, _)| *s == hello.session);
            let timeout = known.filter(|_| hello.password == password(hello.session)).map(|(_, t)| t);
            match timeout {
                Some(timeout) => {
                    conn.session = Some(hello.session);
                    conn.greet(hello.session, timeout);
                    self.heard.insert(hello.session, self.now);
                    if let Some(old) = self.at.insert(hello.session, id).filter(|old| *old != id) {
                        if let Some(old) = self.conns.get_mut(&old) {
                            old.closed = true;
                        }
                    }
                }
                None => {
                    conn.greet(0, 0);
                    conn.closed = true;
                }
            }
            return;
        }
        self.last_session += 1;
        let session = (self.last_session << 8) | (member as i64 + 1);
        let zxid = self.next();
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.greeting = Some((zxid, session));
        }
        let timeout = hello.timeout.clamp(TIMEOUTS.0, TIMEOUTS.1);
        let txn = self.newest.open_session(zxid, self.now as i64, session, timeout);
        self.agree(txn);
        self.heard.insert(session, self.now);
        self.apply_here(member);
    }
}

/// A session's password: a stand-in has no secrets, and a wrong one must still be told from a right one.
fn password(session: i64) -> Bytes {
    Bytes::copy_from_slice(&[session.to_be_bytes(), (!session).to_be_bytes()].concat())
}

impl Conn {
    fn greet(&mut self, session: i64, timeout: i32) {
        let word = ConnectResponse { timeout, session, password: password(session) };
        self.out.extend(with_length_prefix(&word.write()));
    }

    fn reply(&mut self, xid: i32, zxid: i64, answer: &Result<Response, Code>) {
        let header = ReplyHeader { xid, zxid, error: answer.as_ref().err().copied() };
        let response = answer.as_ref().unwrap_or(&Response::Done);
        self.out.extend(with_length_prefix(&header.write(response)));
    }

    fn fire(&mut self, event: &WatchEvent) {
        let path = event.path.as_str();
        let watched = match event.kind {
            EventKind::Created | EventKind::DataChanged => self.data.remove(path),
            EventKind::Deleted => self.data.remove(path) | self.children.remove(path),
            EventKind::ChildrenChanged => self.children.remove(path),
        };
        if watched {
            self.out.extend(with_length_prefix(&event.write()));
        }
    }

    /// Sets the watches that a request asks for.
    fn watch(&mut self, tree: &Tree, request: &Request, answer: &Result<Response, Code>) {
        match request {
            Request::Exists { path, watch: true } if matches!(answer, Ok(_) | Err(Code::NoNode)) => {
                self.data.insert(path.clone());
            }
            Request::GetData { path, watch: true } if answer.is_ok() => {
                self.data.insert(path.clone());
            }
            Request::GetChildren { path, watch: true, .. } if answer.is_ok() => {
                self.children.insert(path.clone());
            }
            Request::SetWatches { since, data, exist, children } => {
                let missed = tree.missed(*since, data, exist, children);
                self.data.extend(data.iter().chain(exist).cloned());
                self.children.extend(children.iter().cloned());
                missed.iter().for_each(|event| self.fire(event));
            }
            _ => {}
        }
    }
}
