//! An ensemble in virtual time: a single order of transactions, a leader with an epoch, members that apply
//! the transactions each with its own lag, sessions that expire when nothing is heard from them, and client
//! connections.
//!
//! An acknowledged transaction stays in the order. The order outlives every member, as logs and snapshots on
//! disk would. A member that cannot reach a majority serves nobody.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use glenwood_coordination::frame::{with_length_prefix, Frames, MAX_RECORD_BYTES};
use glenwood_coordination::proto::{
    Code, ConnectRequest, ConnectResponse, EventKind, ReplyHeader, Request, Response, WatchEvent, XID_PING,
};
use glenwood_coordination::Millis;

use super::tree::{Tree, Txn};

/// Time that the election of a leader takes.
const ELECTION_TIME: Millis = 200.0;
/// Lower and upper bound of session time-outs, in milliseconds.
const SESSION_TIMEOUT_BOUNDS: (i32, i32) = (100, 60_000);

/// Identifies a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// A request that is answered once its transaction is applied at its member.
struct PendingRequest {
    xid: i32,
    zxid: i64,
    closes_session: bool,
}

struct Conn {
    member: usize,
    frames: Frames,
    /// The session, once it is established.
    session: Option<i64>,
    /// While a new session is being created: the zxid of its transaction, and the session id.
    opening: Option<(i64, i64)>,
    queued: VecDeque<Bytes>,
    pending: Option<PendingRequest>,
    out: Vec<u8>,
    data_watches: BTreeSet<String>,
    child_watches: BTreeSet<String>,
    closed: bool,
}

#[derive(Default)]
struct Member {
    tree: Tree,
    up: bool,
    /// Cannot reach any other member.
    cut: bool,
    /// Accepts connections and data but does not answer.
    mute: bool,
    /// How far the member lags behind the order.
    lag: Millis,
    /// Number of transactions applied.
    applied: usize,
}

/// All members and the state that they agree on.
pub struct Ensemble {
    members: Vec<Member>,
    /// The order: each transaction with the time at which it was agreed on.
    order: Vec<(Millis, Txn)>,
    /// The state after all transactions.
    newest: Tree,
    leader: Option<usize>,
    /// When the election ends, if there is no leader but a majority.
    election_end: Option<Millis>,
    epoch: i64,
    counter: i64,
    /// When each session was last heard from.
    last_heard: BTreeMap<i64, Millis>,
    /// The connection that each session currently uses.
    connection_of: BTreeMap<i64, ConnId>,
    conns: BTreeMap<ConnId, Conn>,
    last_conn: u64,
    last_session: i64,
    now: Millis,
}

impl Ensemble {
    /// An ensemble with this many members, all up, and a leader.
    pub fn new(members: usize) -> Self {
        let member = || Member { up: true, ..Member::default() };
        let mut ensemble = Self {
            members: (0..members).map(|_| member()).collect(),
            order: Vec::new(),
            newest: Tree::default(),
            leader: None,
            election_end: None,
            epoch: 0,
            counter: 0,
            last_heard: BTreeMap::new(),
            connection_of: BTreeMap::new(),
            conns: BTreeMap::new(),
            last_conn: 0,
            last_session: 0,
            now: 0.0,
        };
        ensemble.elect();
        ensemble
    }

    /// The state after all transactions.
    pub fn newest(&self) -> &Tree {
        &self.newest
    }

    /// The children of a path after each transaction, to compare with what a client saw.
    pub fn history(&self, path: &str) -> Vec<Vec<String>> {
        let mut tree = Tree::default();
        let names = Request::GetChildren { path: path.to_string(), watch: false, stat: false };
        let after = self.order.iter().map(|(_, txn)| {
            // The response was sent when the transaction was first applied.
            let _ = tree.apply(txn);
            match tree.read(&names) {
                Some(Ok(Response::Children { names, .. })) => names,
                _ => Vec::new(),
            }
        });
        after.collect()
    }

    /// The current leader.
    pub fn leader(&self) -> Option<usize> {
        self.leader
    }

    // ---- Faults ----

    /// Stops a member and closes its client connections. It keeps what it has applied, as on disk.
    pub fn kill(&mut self, member: usize) {
        self.members[member].up = false;
        self.drop_clients(member);
        self.update_leader();
    }

    /// Starts a member again.
    pub fn restore(&mut self, member: usize) {
        self.members[member].up = true;
        self.update_leader();
    }

    /// Cuts a member off from the other members, but not from its clients; or reconnects it.
    pub fn set_cut(&mut self, member: usize, cut: bool) {
        self.members[member].cut = cut;
        self.update_leader();
    }

    /// Makes a member accept connections without answering; or ends that.
    pub fn set_mute(&mut self, member: usize, mute: bool) {
        self.members[member].mute = mute;
    }

    /// Makes a member lag this far behind the order from now on.
    pub fn set_lag(&mut self, member: usize, lag: Millis) {
        self.members[member].lag = lag;
    }

    fn drop_clients(&mut self, member: usize) {
        for conn in self.conns.values_mut().filter(|c| c.member == member) {
            conn.closed = true;
        }
    }

    /// Whether a member is part of a majority.
    fn serves(&self, member: usize) -> bool {
        let reached = self.members.iter().filter(|m| m.up && !m.cut).count();
        let m = &self.members[member];
        m.up && (!m.cut || self.members.len() == 1) && 2 * reached > self.members.len()
    }

    fn update_leader(&mut self) {
        for member in 0..self.members.len() {
            if !self.serves(member) {
                // A member without a majority cannot know what is agreed on and serves nobody, not even
                // reads.
                self.drop_clients(member);
            }
        }
        if self.leader.is_some_and(|leader| !self.serves(leader)) {
            self.leader = None;
        }
        let any = (0..self.members.len()).any(|m| self.serves(m));
        self.election_end = match (self.leader, any) {
            (None, true) => self.election_end.or(Some(self.now + ELECTION_TIME)),
            _ => None,
        };
    }

    /// Elects a leader and starts an epoch. Every session gets a full time-out, as nobody knows when it was
    /// last heard from.
    fn elect(&mut self) {
        self.election_end = None;
        self.leader = (0..self.members.len()).find(|m| self.serves(*m));
        if self.leader.is_some() {
            self.epoch += 1;
            self.counter = 0;
            let now = self.now;
            self.last_heard.values_mut().for_each(|last_heard| *last_heard = now);
        }
    }

    // ---- Time ----

    /// When [`Ensemble::handle_timeout`] has to be called next.
    pub fn poll_timeout(&self) -> Option<Millis> {
        let expiries = self.last_heard.iter().filter(|_| self.leader.is_some());
        let expiries = expiries.filter_map(|(id, last_heard)| {
            let timeout = self.newest.sessions().find(|(other, _)| other == id)?.1;
            Some(last_heard + f64::from(timeout))
        });
        let applications = self.members.iter().enumerate().filter(|(n, _)| self.serves(*n));
        let applications =
            applications.filter_map(|(_, m)| self.order.get(m.applied).map(|(at, _)| at + m.lag));
        expiries.chain(applications).chain(self.election_end).min_by(f64::total_cmp)
    }

    /// Handles everything that is due by now.
    pub fn handle_timeout(&mut self, now: Millis) {
        self.now = now.max(self.now);
        if self.election_end.is_some_and(|at| at <= now) {
            self.elect();
        }
        if self.leader.is_some() {
            let expired: Vec<i64> = self
                .newest
                .sessions()
                .filter(|(id, timeout)| {
                    self.last_heard.get(id).is_none_or(|last_heard| last_heard + f64::from(*timeout) <= now)
                })
                .map(|(id, _)| id)
                .collect();
            for id in expired {
                let zxid = self.next_zxid();
                let txn = self.newest.close_session(zxid, now as i64, id);
                self.commit(txn);
            }
        }
        self.apply_due();
    }

    fn next_zxid(&mut self) -> i64 {
        self.counter += 1;
        (self.epoch << 32) | self.counter
    }

    /// Appends a transaction to the order.
    fn commit(&mut self, txn: Txn) {
        // The response is sent by the member that the client is connected to.
        let _ = self.newest.apply(&txn);
        let newest = &self.newest;
        self.last_heard.retain(|id, _| newest.has_session(*id));
        self.order.push((self.now, txn));
    }

    fn apply_due(&mut self) {
        for n in 0..self.members.len() {
            if self.serves(n) {
                self.apply_at(n);
            }
            self.serve_queued(n);
        }
    }

    /// Sends the result of a transaction to the client of this member that waits for it.
    fn respond(&mut self, member: usize, zxid: i64, answer: &Result<Response, Code>) {
        for (id, conn) in self.conns.iter_mut().filter(|(_, c)| c.member == member && !c.closed) {
            if let Some((awaited, session)) = conn.opening.filter(|(awaited, _)| *awaited == zxid) {
                debug_assert_eq!(awaited, zxid);
                conn.opening = None;
                conn.session = Some(session);
                self.connection_of.insert(session, *id);
                let timeout = self.members[member].tree.sessions().find(|(s, _)| *s == session);
                conn.send_connect_response(session, timeout.map_or(0, |(_, timeout)| timeout));
            }
            if conn.pending.as_ref().is_some_and(|p| p.zxid == zxid) {
                if let Some(pending) = conn.pending.take() {
                    conn.reply(pending.xid, zxid, answer);
                    conn.closed |= pending.closes_session;
                }
            }
        }
    }

    // ---- Clients ----

    /// Connects a client to a member; `None` if the member does not accept connections.
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
            opening: None,
            queued: VecDeque::new(),
            pending: None,
            out: Vec::new(),
            data_watches: BTreeSet::new(),
            child_watches: BTreeSet::new(),
            closed: false,
        };
        self.conns.insert(id, conn);
        Some(id)
    }

    /// Removes the connection of a client that has disconnected.
    pub fn close(&mut self, id: ConnId) {
        self.conns.remove(&id);
    }

    /// Whether the service has closed this connection.
    pub fn is_closed(&self, id: ConnId) -> bool {
        self.conns.get(&id).is_none_or(|c| c.closed)
    }

    /// The member that a connection leads to.
    pub fn member_of(&self, id: ConnId) -> Option<usize> {
        self.conns.get(&id).map(|c| c.member)
    }

    /// The state that a client can learn over this connection, which is what its member has applied; `None`
    /// if the member does not answer or the connection has no session.
    pub fn visible_tree(&self, id: ConnId) -> Option<&Tree> {
        let conn = self.conns.get(&id).filter(|c| !c.closed && c.session.is_some())?;
        let member = &self.members[conn.member];
        (!member.mute && self.serves(conn.member)).then_some(&member.tree)
    }

    /// Takes the bytes to be written to a client.
    pub fn output(&mut self, id: ConnId) -> Vec<u8> {
        let Some(conn) = self.conns.get_mut(&id) else { return Vec::new() };
        if self.members[conn.member].mute {
            return Vec::new();
        }
        std::mem::take(&mut conn.out)
    }

    /// Handles bytes from a client.
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
                Ok(Some(record)) => conn.queued.push_back(record),
                Ok(None) => break,
                Err(_) => {
                    conn.closed = true;
                    return;
                }
            }
        }
        self.apply_due();
    }

    /// Serves queued requests of a member's clients, each client's in order.
    fn serve_queued(&mut self, member: usize) {
        let ids: Vec<ConnId> =
            self.conns.iter().filter(|(_, c)| c.member == member).map(|(id, _)| *id).collect();
        for id in ids {
            while let Some(record) = self.next_queued(id) {
                self.serve(id, member, record);
            }
        }
    }

    fn next_queued(&mut self, id: ConnId) -> Option<Bytes> {
        let conn = self.conns.get_mut(&id)?;
        // Nothing is served without a leader: writes need one, and later requests must not overtake them.
        if conn.closed || conn.pending.is_some() || conn.opening.is_some() || self.leader.is_none() {
            return None;
        }
        conn.queued.pop_front()
    }

    fn serve(&mut self, id: ConnId, member: usize, record: Bytes) {
        let session = self.conns.get(&id).and_then(|c| c.session);
        let Some(session) = session else { return self.connect(id, member, record) };
        if self.newest.has_session(session) {
            self.last_heard.insert(session, self.now);
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
        let moved = self.connection_of.get(&session) != Some(&id);
        let zxid_if_written = (self.epoch << 32) | (self.counter + 1);
        let txn = self.newest.prepare(zxid_if_written, self.now as i64, session, &request).filter(|_| !moved);
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
            let closes_session = matches!(request, Request::CloseSession);
            conn.pending = Some(PendingRequest { xid, zxid: zxid_if_written, closes_session });
            self.counter += 1;
            self.commit(txn);
            // Without lag the member applies it at once.
            return self.apply_at(member);
        }
        let tree = &self.members[member].tree;
        let answer = tree.read(&request).unwrap_or(Err(Code::Unimplemented));
        conn.watch(tree, &request, &answer);
        conn.reply(xid, zxid, &answer);
    }

    /// Applies the transactions that are due at one member, without serving further requests.
    fn apply_at(&mut self, n: usize) {
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
            self.respond(n, zxid, &answer);
        }
    }

    fn connect(&mut self, id: ConnId, member: usize, record: Bytes) {
        let connect_request = ConnectRequest::read(record);
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let Ok(connect_request) = connect_request else {
            conn.closed = true;
            return;
        };
        // A client that has seen later transactions than this member is turned away, as it would go back in
        // time here.
        if connect_request.last_zxid > self.members[member].tree.zxid() {
            conn.closed = true;
            return;
        }
        if connect_request.session != 0 {
            let known = self.newest.sessions().find(|(s, _)| *s == connect_request.session);
            let timeout = known
                .filter(|_| connect_request.password == password(connect_request.session))
                .map(|(_, t)| t);
            match timeout {
                Some(timeout) => {
                    conn.session = Some(connect_request.session);
                    conn.send_connect_response(connect_request.session, timeout);
                    self.last_heard.insert(connect_request.session, self.now);
                    if let Some(old) =
                        self.connection_of.insert(connect_request.session, id).filter(|old| *old != id)
                    {
                        if let Some(old) = self.conns.get_mut(&old) {
                            old.closed = true;
                        }
                    }
                }
                None => {
                    conn.send_connect_response(0, 0);
                    conn.closed = true;
                }
            }
            return;
        }
        self.last_session += 1;
        let session = (self.last_session << 8) | (member as i64 + 1);
        let zxid = self.next_zxid();
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.opening = Some((zxid, session));
        }
        let timeout = connect_request.timeout.clamp(SESSION_TIMEOUT_BOUNDS.0, SESSION_TIMEOUT_BOUNDS.1);
        let txn = self.newest.open_session(zxid, self.now as i64, session, timeout);
        self.commit(txn);
        self.last_heard.insert(session, self.now);
        self.apply_at(member);
    }
}

/// Derives a session's password. It is no secret, but lets a wrong password be told from the right one.
fn password(session: i64) -> Bytes {
    Bytes::copy_from_slice(&[session.to_be_bytes(), (!session).to_be_bytes()].concat())
}

impl Conn {
    fn send_connect_response(&mut self, session: i64, timeout: i32) {
        let response = ConnectResponse { timeout, session, password: password(session) };
        self.out.extend(with_length_prefix(&response.write()));
    }

    fn reply(&mut self, xid: i32, zxid: i64, answer: &Result<Response, Code>) {
        let header = ReplyHeader { xid, zxid, error: answer.as_ref().err().copied() };
        let response = answer.as_ref().unwrap_or(&Response::Done);
        self.out.extend(with_length_prefix(&header.write(response)));
    }

    fn fire(&mut self, event: &WatchEvent) {
        let path = event.path.as_str();
        let watched = match event.kind {
            EventKind::Created | EventKind::DataChanged => self.data_watches.remove(path),
            EventKind::Deleted => self.data_watches.remove(path) | self.child_watches.remove(path),
            EventKind::ChildrenChanged => self.child_watches.remove(path),
        };
        if watched {
            self.out.extend(with_length_prefix(&event.write()));
        }
    }

    /// Sets the watches that a request asks for.
    fn watch(&mut self, tree: &Tree, request: &Request, answer: &Result<Response, Code>) {
        match request {
            Request::Exists { path, watch: true } if matches!(answer, Ok(_) | Err(Code::NoNode)) => {
                self.data_watches.insert(path.clone());
            }
            Request::GetData { path, watch: true } if answer.is_ok() => {
                self.data_watches.insert(path.clone());
            }
            Request::GetChildren { path, watch: true, .. } if answer.is_ok() => {
                self.child_watches.insert(path.clone());
            }
            Request::SetWatches { since, data, exist, children } => {
                let missed = tree.missed_events(*since, data, exist, children);
                self.data_watches.extend(data.iter().chain(exist).cloned());
                self.child_watches.extend(children.iter().cloned());
                missed.iter().for_each(|event| self.fire(event));
            }
            _ => {}
        }
    }
}
