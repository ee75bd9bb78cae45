//! The tree of znodes and the sessions, as a state machine. A request is turned into a transaction against
//! the newest state, and the same transactions in the same order produce the same tree at every member.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use glenwood_coordination::proto::{Code, EventKind, Mode, Request, Response, Stat, WatchEvent};

/// Maximum size of a znode's data, the default limit of ZooKeeper servers.
pub const MAX_DATA_BYTES: usize = 1024 * 1024 - 1;

/// A znode.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Znode {
    data: Bytes,
    stat: Stat,
    children: BTreeSet<String>,
}

impl Znode {
    /// The stat that clients see. Internally `cversion` counts only created children; clients expect removals
    /// to be counted too.
    fn client_stat(&self) -> Stat {
        Stat { cversion: self.stat.cversion.wrapping_mul(2).wrapping_sub(self.stat.children), ..self.stat }
    }
}

/// One validated change.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Change {
    Create { path: String, data: Bytes, owner: i64 },
    Delete { path: String },
    SetData { path: String, data: Bytes },
    OpenSession { id: i64, timeout: i32 },
    CloseSession { id: i64 },
}

/// How a request is answered once its transaction is applied.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Reply {
    Created { path: String, stat: bool },
    Stat { path: String },
    Deleted,
    Checked,
    Done,
}

/// A transaction: all of its changes or none, under one zxid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Txn {
    /// Position in the order.
    pub zxid: i64,
    /// When it was created, in Unix time in milliseconds.
    pub time: i64,
    changes: Vec<Change>,
    replies: Vec<Result<Reply, Code>>,
    multi: bool,
}

/// The state that each member holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tree {
    nodes: BTreeMap<String, Znode>,
    /// Live sessions with their time-outs in milliseconds.
    sessions: BTreeMap<i64, i32>,
    zxid: i64,
}

impl Default for Tree {
    /// A tree with only the root.
    fn default() -> Self {
        let root = Znode { data: Bytes::new(), stat: Stat::default(), children: BTreeSet::new() };
        Self { nodes: BTreeMap::from([("/".to_string(), root)]), sessions: BTreeMap::new(), zxid: 0 }
    }
}

/// Splits a path into the parent's path and the name.
fn split(path: &str) -> (&str, &str) {
    let (parent, name) = path.rsplit_once('/').unwrap_or(("", path));
    (if parent.is_empty() { "/" } else { parent }, name)
}

/// Whether this is a valid path.
fn is_path(path: &str) -> bool {
    path == "/"
        || (path.starts_with('/')
            && !path.ends_with('/')
            && path[1..].split('/').all(|part| !part.is_empty() && part != "." && part != "..")
            && !path.chars().any(char::is_control))
}

impl Tree {
    /// zxid of the newest applied transaction.
    pub fn zxid(&self) -> i64 {
        self.zxid
    }

    /// Whether the session is alive.
    pub fn has_session(&self, id: i64) -> bool {
        self.sessions.contains_key(&id)
    }

    /// Live sessions with their time-outs in milliseconds.
    pub fn sessions(&self) -> impl Iterator<Item = (i64, i32)> + '_ {
        self.sessions.iter().map(|(id, timeout)| (*id, *timeout))
    }

    /// All paths in order.
    pub fn paths(&self) -> impl Iterator<Item = &str> {
        self.nodes.keys().map(String::as_str)
    }

    /// Data of a znode, if it exists.
    pub fn data(&self, path: &str) -> Option<&Bytes> {
        self.nodes.get(path).map(|node| &node.data)
    }

    fn node(&self, path: &str) -> Result<&Znode, Code> {
        self.nodes.get(path).ok_or(Code::NoNode)
    }

    /// Answers a read request; `None` for a request that writes.
    pub fn read(&self, request: &Request) -> Option<Result<Response, Code>> {
        let is_invalid = |path: &str| !is_path(path);
        Some(match request {
            Request::Exists { path, .. }
            | Request::GetData { path, .. }
            | Request::GetChildren { path, .. }
                if is_invalid(path) =>
            {
                Err(Code::BadArguments)
            }
            Request::Exists { path, .. } => self.node(path).map(|n| Response::Stat(n.client_stat())),
            Request::GetData { path, .. } => {
                self.node(path).map(|n| Response::Data { data: n.data.clone(), stat: n.client_stat() })
            }
            Request::GetChildren { path, stat, .. } => self.node(path).map(|n| Response::Children {
                names: n.children.iter().cloned().collect(),
                stat: stat.then_some(n.client_stat()),
            }),
            Request::Sync { path } => Ok(Response::Synced { path: path.clone() }),
            Request::Ping | Request::SetWatches { .. } => Ok(Response::Done),
            Request::Create { .. }
            | Request::Delete { .. }
            | Request::SetData { .. }
            | Request::Check { .. }
            | Request::Multi(_)
            | Request::CloseSession => return None,
        })
    }

    /// Watch events that a reconnecting client missed since `since`, for the watches that it sets again: on
    /// data, on the existence of absent znodes, and on children. The caller sets the watches for which there
    /// is no event.
    pub fn missed_events(
        &self,
        since: i64,
        data: &[String],
        exist: &[String],
        children: &[String],
    ) -> Vec<WatchEvent> {
        let event = |kind, path: &String| Some(WatchEvent { kind, path: path.clone() });
        let of_data = data.iter().filter_map(|path| match self.nodes.get(path) {
            None => event(EventKind::Deleted, path),
            Some(node) if node.stat.mzxid > since => event(EventKind::DataChanged, path),
            Some(_) => None,
        });
        let of_exist =
            exist.iter().filter(|p| self.nodes.contains_key(*p)).filter_map(|p| event(EventKind::Created, p));
        let of_children = children.iter().filter_map(|path| match self.nodes.get(path) {
            None => event(EventKind::Deleted, path),
            Some(node) if node.stat.pzxid > since => event(EventKind::ChildrenChanged, path),
            Some(_) => None,
        });
        of_data.chain(of_exist).chain(of_children).collect()
    }

    // ---- Creating transactions, at the leader ----

    /// Transaction that opens a session.
    pub fn open_session(&self, zxid: i64, time: i64, id: i64, timeout: i32) -> Txn {
        let changes = vec![Change::OpenSession { id, timeout }];
        Txn { zxid, time, changes, replies: vec![Ok(Reply::Done)], multi: false }
    }

    /// Transaction that ends a session and deletes its ephemeral znodes.
    pub fn close_session(&self, zxid: i64, time: i64, id: i64) -> Txn {
        let owned = self.nodes.iter().filter(|(_, n)| n.stat.ephemeral_owner == id);
        let mut changes: Vec<Change> = owned.map(|(path, _)| Change::Delete { path: path.clone() }).collect();
        changes.push(Change::CloseSession { id });
        Txn { zxid, time, changes, replies: vec![Ok(Reply::Done)], multi: false }
    }

    /// Turns a session's request into a transaction; `None` for a request that only reads. A request that
    /// fails also becomes a transaction, without changes, as its answer carries its position in the order.
    pub fn prepare(&self, zxid: i64, time: i64, session: i64, request: &Request) -> Option<Txn> {
        if !self.has_session(session) {
            let replies = vec![Err(Code::SessionExpired)];
            return Some(Txn { zxid, time, changes: Vec::new(), replies, multi: false });
        }
        let (changes, replies, multi) = match request {
            Request::CloseSession => return Some(self.close_session(zxid, time, session)),
            Request::Multi(all) => {
                let (changes, replies) = self.prepare_multi(zxid, time, session, all);
                (changes, replies, true)
            }
            Request::Create { .. }
            | Request::Delete { .. }
            | Request::SetData { .. }
            | Request::Check { .. } => match self.check(session, request) {
                Ok((change, reply)) => (change.into_iter().collect(), vec![Ok(reply)], false),
                Err(code) => (Vec::new(), vec![Err(code)], false),
            },
            _ => return None,
        };
        Some(Txn { zxid, time, changes, replies, multi })
    }

    fn prepare_multi(
        &self,
        zxid: i64,
        time: i64,
        session: i64,
        all: &[Request],
    ) -> (Vec<Change>, Vec<Result<Reply, Code>>) {
        // Each request sees the effects of those before it.
        let mut scratch = self.clone();
        let (mut changes, mut replies) = (Vec::new(), Vec::new());
        for (n, request) in all.iter().enumerate() {
            match scratch.check(session, request) {
                Ok((change, reply)) => {
                    let step: Vec<Change> = change.into_iter().collect();
                    let txn = Txn { zxid, time, changes: step.clone(), replies: Vec::new(), multi: false };
                    // The response is computed when the whole transaction is applied.
                    let _ = scratch.apply(&txn);
                    changes.extend(step);
                    replies.push(Ok(reply));
                }
                Err(code) => {
                    // The failing request reports its error, those before it that they were rolled back, and
                    // those after it that they were not tried.
                    let other = |i: usize| match i.cmp(&n) {
                        std::cmp::Ordering::Less => Code::RolledBack,
                        std::cmp::Ordering::Equal => code,
                        std::cmp::Ordering::Greater => Code::RuntimeInconsistency,
                    };
                    return (Vec::new(), (0..all.len()).map(|i| Err(other(i))).collect());
                }
            }
        }
        (changes, replies)
    }

    fn check(&self, session: i64, request: &Request) -> Result<(Option<Change>, Reply), Code> {
        let versioned = |path: &str, version: i32| {
            let node = self.node(path)?;
            if version != -1 && version != node.stat.version {
                return Err(Code::BadVersion);
            }
            Ok(node)
        };
        match request {
            Request::Create { path, data, mode, stat, .. } => {
                let path = self.resolve_path(path, *mode)?;
                if data.len() > MAX_DATA_BYTES {
                    return Err(Code::BadArguments);
                }
                let owner = if mode.ephemeral { session } else { 0 };
                let change = Change::Create { path: path.clone(), data: data.clone(), owner };
                Ok((Some(change), Reply::Created { path, stat: *stat }))
            }
            Request::Delete { path, version } => {
                if path == "/" {
                    return Err(Code::BadArguments);
                }
                if !versioned(path, *version)?.children.is_empty() {
                    return Err(Code::NotEmpty);
                }
                Ok((Some(Change::Delete { path: path.clone() }), Reply::Deleted))
            }
            Request::SetData { path, data, version } => {
                versioned(path, *version)?;
                if data.len() > MAX_DATA_BYTES {
                    return Err(Code::BadArguments);
                }
                let change = Change::SetData { path: path.clone(), data: data.clone() };
                Ok((Some(change), Reply::Stat { path: path.clone() }))
            }
            Request::Check { path, version } => {
                versioned(path, *version)?;
                Ok((None, Reply::Checked))
            }
            _ => Err(Code::Unimplemented),
        }
    }

    /// Path of a new znode, if it may be created.
    fn resolve_path(&self, path: &str, mode: Mode) -> Result<String, Code> {
        let (parent, _) = split(path);
        // The name of a sequential znode may consist of its number alone.
        let candidate = if mode.sequential { format!("{path}0") } else { path.to_string() };
        if !is_path(&candidate) || candidate == "/" {
            return Err(if path == "/" { Code::NodeExists } else { Code::BadArguments });
        }
        let parent = self.node(parent)?;
        if parent.stat.ephemeral_owner != 0 {
            return Err(Code::NoChildrenForEphemerals);
        }
        let path = if mode.sequential { format!("{path}{:010}", parent.stat.cversion) } else { candidate };
        if self.nodes.contains_key(&path) {
            return Err(Code::NodeExists);
        }
        Ok(path)
    }

    // ---- Applying transactions, at every member ----

    /// Applies the next transaction and returns its response and the watch events, in order. Each transaction
    /// must be applied once only; this is not checked.
    pub fn apply(&mut self, txn: &Txn) -> (Result<Response, Code>, Vec<WatchEvent>) {
        let mut fired = Vec::new();
        let mut fire = |kind, path: &str| fired.push(WatchEvent { kind, path: path.to_string() });
        for change in &txn.changes {
            match change {
                Change::Create { path, data, owner } => {
                    let (zxid, time) = (txn.zxid, txn.time);
                    let stat = Stat {
                        czxid: zxid,
                        mzxid: zxid,
                        pzxid: zxid,
                        ctime: time,
                        mtime: time,
                        ephemeral_owner: *owner,
                        data_length: data.len() as i32,
                        ..Stat::default()
                    };
                    let node = Znode { data: data.clone(), stat, children: BTreeSet::new() };
                    self.nodes.insert(path.clone(), node);
                    let parent = self.update_parent(path, zxid, true);
                    fire(EventKind::Created, path);
                    fire(EventKind::ChildrenChanged, &parent);
                }
                Change::Delete { path } => {
                    self.nodes.remove(path);
                    let parent = self.update_parent(path, txn.zxid, false);
                    fire(EventKind::Deleted, path);
                    fire(EventKind::ChildrenChanged, &parent);
                }
                Change::SetData { path, data } => {
                    if let Some(node) = self.nodes.get_mut(path) {
                        node.data = data.clone();
                        node.stat.mzxid = txn.zxid;
                        node.stat.mtime = txn.time;
                        node.stat.version = node.stat.version.wrapping_add(1);
                        node.stat.data_length = data.len() as i32;
                        fire(EventKind::DataChanged, path);
                    }
                }
                Change::OpenSession { id, timeout } => {
                    self.sessions.insert(*id, *timeout);
                }
                Change::CloseSession { id } => {
                    self.sessions.remove(id);
                }
            }
        }
        self.zxid = self.zxid.max(txn.zxid);
        let replies: Vec<_> =
            txn.replies.iter().map(|r| r.as_ref().map_err(|c| *c).map(|r| self.response_to(r))).collect();
        let answer = if txn.multi {
            Ok(Response::Multi(replies))
        } else {
            replies.into_iter().next().unwrap_or(Ok(Response::Done))
        };
        (answer, fired)
    }

    fn response_to(&self, reply: &Reply) -> Response {
        let stat = |path: &str| self.nodes.get(path).map(Znode::client_stat).unwrap_or_default();
        match reply {
            Reply::Created { path, stat: wants_stat } => {
                Response::Created { path: path.clone(), stat: wants_stat.then(|| stat(path)) }
            }
            Reply::Stat { path } => Response::Stat(stat(path)),
            Reply::Deleted => Response::Deleted,
            Reply::Checked => Response::Checked,
            Reply::Done => Response::Done,
        }
    }

    /// Adds a znode to its parent's children or removes it; returns the parent's path.
    fn update_parent(&mut self, path: &str, zxid: i64, is_created: bool) -> String {
        let (parent, name) = split(path);
        if let Some(node) = self.nodes.get_mut(parent) {
            let changed =
                if is_created { node.children.insert(name.to_string()) } else { node.children.remove(name) };
            debug_assert!(changed, "{path} was already a child, or was not one");
            // Numbers of sequential znodes derive from this counter, so it counts only created children and
            // never decreases.
            node.stat.cversion = node.stat.cversion.wrapping_add(i32::from(is_created));
            node.stat.pzxid = zxid;
            node.stat.children = node.children.len() as i32;
        }
        parent.to_string()
    }
}
