//! The records that client and service exchange.
//!
//! Each can be written and read, because this repository contains both sides: the clients (nodes and
//! registrars) and a stand-in service.

use bytes::Bytes;

use crate::jute::{JuteError, Reader, Writer};

/// The xid of a watch event, which answers no request.
pub const XID_EVENT: i32 = -1;
/// The xid of pings.
pub const XID_PING: i32 = -2;
/// The xid of `SetWatches` requests.
pub const XID_SET_WATCHES: i32 = -8;

/// An error code of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Code {
    /// The request can't be parsed.
    Marshalling,
    /// The service does not support the request.
    Unimplemented,
    /// The arguments are invalid.
    BadArguments,
    /// The node does not exist.
    NoNode,
    /// The client lacks the permission.
    NoAuth,
    /// The node's version differs from the expected one.
    BadVersion,
    /// An ephemeral node can't have children.
    NoChildrenForEphemerals,
    /// The node already exists.
    NodeExists,
    /// The node has children.
    NotEmpty,
    /// The session has expired.
    SessionExpired,
    /// The access control list is invalid.
    InvalidAcl,
    /// The session has moved to another member.
    SessionMoved,
    /// The operation was rolled back because a later one of the same `multi` failed.
    RolledBack,
    /// The operation was not attempted because an earlier one of the same `multi` failed.
    RuntimeInconsistency,
    /// Any other code, by its number.
    Other(i32),
}

impl Code {
    const NUMBERS: [(Self, i32); 14] = [
        (Self::RolledBack, 0),
        (Self::RuntimeInconsistency, -2),
        (Self::Marshalling, -5),
        (Self::Unimplemented, -6),
        (Self::BadArguments, -8),
        (Self::NoNode, -101),
        (Self::NoAuth, -102),
        (Self::BadVersion, -103),
        (Self::NoChildrenForEphemerals, -108),
        (Self::NodeExists, -110),
        (Self::NotEmpty, -111),
        (Self::SessionExpired, -112),
        (Self::InvalidAcl, -114),
        (Self::SessionMoved, -118),
    ];

    /// Returns the error with this number; `None` for 0, which means success except within a `multi`.
    pub fn from_number(number: i32) -> Option<Self> {
        if number == 0 {
            return None;
        }
        let named = Self::NUMBERS.iter().find(|(_, n)| *n == number).map(|(code, _)| *code);
        Some(named.unwrap_or(Self::Other(number)))
    }

    /// Returns the number of this error on the wire.
    pub fn number(self) -> i32 {
        match self {
            Self::Other(number) => number,
            named => Self::NUMBERS.iter().find(|(code, _)| *code == named).map_or(-1, |(_, n)| *n),
        }
    }
}

/// The first record that a client sends on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectRequest {
    /// The newest zxid that the client has seen; a member that is behind rejects the connection.
    pub last_zxid: i64,
    /// The requested session time-out, in milliseconds.
    pub timeout: i32,
    /// The session ID; 0 to request a new session.
    pub session: i64,
    /// The session's password.
    pub password: Bytes,
}

/// The first record that the service sends on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectResponse {
    /// The granted session time-out, in milliseconds; 0 if the session has expired.
    pub timeout: i32,
    /// The session ID; 0 if the session has expired.
    pub session: i64,
    /// The session's password.
    pub password: Bytes,
}

impl ConnectRequest {
    /// Serializes the record.
    pub fn write(&self) -> Vec<u8> {
        let mut w = Writer::default();
        w.int(0).long(self.last_zxid).int(self.timeout).long(self.session).buffer(&self.password);
        w.boolean(false);
        w.finish()
    }

    /// Parses the record; old clients omit the last field.
    ///
    /// # Errors
    /// The record is malformed.
    pub fn read(record: Bytes) -> Result<Self, JuteError> {
        let mut r = Reader::new(record);
        r.int()?;
        let (last_zxid, timeout, session, password) = (r.long()?, r.int()?, r.long()?, r.buffer()?);
        if r.remaining() > 0 {
            r.boolean()?;
        }
        r.expect_end()?;
        Ok(Self { last_zxid, timeout, session, password })
    }
}

impl ConnectResponse {
    /// Serializes the record.
    pub fn write(&self) -> Vec<u8> {
        let mut w = Writer::default();
        w.int(0).int(self.timeout).long(self.session).buffer(&self.password).boolean(false);
        w.finish()
    }

    /// Parses the record; old services omit the last field.
    ///
    /// # Errors
    /// The record is malformed.
    pub fn read(record: Bytes) -> Result<Self, JuteError> {
        let mut r = Reader::new(record);
        r.int()?;
        let (timeout, session, password) = (r.int()?, r.long()?, r.buffer()?);
        if r.remaining() > 0 {
            r.boolean()?;
        }
        r.expect_end()?;
        Ok(Self { timeout, session, password })
    }
}

/// Metadata of a node of the tree.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stat {
    /// The zxid that created the node.
    pub czxid: i64,
    /// The zxid that last changed its data.
    pub mzxid: i64,
    /// When the node was created, Unix time in milliseconds.
    pub ctime: i64,
    /// When its data last changed, Unix time in milliseconds.
    pub mtime: i64,
    /// Number of changes of its data.
    pub version: i32,
    /// Number of changes of its children.
    pub cversion: i32,
    /// Number of changes of its access control list.
    pub aversion: i32,
    /// The session that owns an ephemeral node; 0 for a persistent node.
    pub ephemeral_owner: i64,
    /// Length of its data in bytes.
    pub data_length: i32,
    /// Number of children.
    pub children: i32,
    /// The zxid that last changed its children.
    pub pzxid: i64,
}

impl Stat {
    fn write(&self, w: &mut Writer) {
        w.long(self.czxid).long(self.mzxid).long(self.ctime).long(self.mtime);
        w.int(self.version).int(self.cversion).int(self.aversion).long(self.ephemeral_owner);
        w.int(self.data_length).int(self.children).long(self.pzxid);
    }

    fn read(r: &mut Reader) -> Result<Self, JuteError> {
        Ok(Self {
            czxid: r.long()?,
            mzxid: r.long()?,
            ctime: r.long()?,
            mtime: r.long()?,
            version: r.int()?,
            cversion: r.int()?,
            aversion: r.int()?,
            ephemeral_owner: r.long()?,
            data_length: r.int()?,
            children: r.int()?,
            pzxid: r.long()?,
        })
    }
}

/// An entry of an access control list, as on the wire. The stand-in service does not enforce it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Acl {
    /// Bit mask: read 1, write 2, create 4, delete 8, admin 16.
    pub permissions: i32,
    /// The authentication scheme.
    pub scheme: String,
    /// The identity within the scheme that the permissions apply to.
    pub id: String,
}

impl Acl {
    /// Grants all permissions to everyone.
    pub fn world_all() -> Vec<Self> {
        vec![Self { permissions: 31, scheme: "world".into(), id: "anyone".into() }]
    }
}

/// The creation mode of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mode {
    /// The node is removed when its session ends.
    pub ephemeral: bool,
    /// The service appends an increasing number to the name.
    pub sequential: bool,
}

/// A request to the service. The version -1 matches any version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Creates a node.
    Create {
        /// The path of the node.
        path: String,
        /// The data of the node.
        data: Bytes,
        /// The access control list of the node.
        acl: Vec<Acl>,
        /// The creation mode.
        mode: Mode,
        /// Whether the reply includes a [`Stat`].
        stat: bool,
    },
    /// Deletes a node that has no children.
    Delete {
        /// The path of the node.
        path: String,
        /// The version that the node must have.
        version: i32,
    },
    /// Checks whether a node exists.
    Exists {
        /// The path of the node.
        path: String,
        /// Whether to set a watch that fires once, when the node is created, changed or deleted.
        watch: bool,
    },
    /// Reads a node's data.
    GetData {
        /// The path of the node.
        path: String,
        /// Whether to set a watch that fires once, when the node is changed or deleted.
        watch: bool,
    },
    /// Replaces a node's data.
    SetData {
        /// The path of the node.
        path: String,
        /// The new data.
        data: Bytes,
        /// The version that the node must have.
        version: i32,
    },
    /// Reads the names of a node's children.
    GetChildren {
        /// The path of the node.
        path: String,
        /// Whether to set a watch that fires once, when the children change or the node is deleted.
        watch: bool,
        /// Whether the reply includes a [`Stat`].
        stat: bool,
    },
    /// Makes the member catch up with the leader before it answers.
    Sync {
        /// Any path.
        path: String,
    },
    /// Checks a node's version, as a part of a `multi`.
    Check {
        /// The path of the node.
        path: String,
        /// The version that the node must have.
        version: i32,
    },
    /// Executes all of these operations, or none.
    Multi(Vec<Request>),
    /// Sets watches again on a new connection; changes since the given zxid fire at once.
    SetWatches {
        /// The newest zxid that the client has seen.
        since: i64,
        /// Paths of the watches on data.
        data: Vec<String>,
        /// Paths of the watches on nodes that did not exist.
        exist: Vec<String>,
        /// Paths of the watches on children.
        children: Vec<String>,
    },
    /// Keeps the session alive.
    Ping,
    /// Closes the session and deletes its ephemeral nodes.
    CloseSession,
}

mod op {
    pub const CREATE: i32 = 1;
    pub const DELETE: i32 = 2;
    pub const EXISTS: i32 = 3;
    pub const GET_DATA: i32 = 4;
    pub const SET_DATA: i32 = 5;
    pub const GET_CHILDREN: i32 = 8;
    pub const SYNC: i32 = 9;
    pub const PING: i32 = 11;
    pub const GET_CHILDREN2: i32 = 12;
    pub const CHECK: i32 = 13;
    pub const MULTI: i32 = 14;
    pub const CREATE2: i32 = 15;
    pub const SET_WATCHES: i32 = 101;
    pub const CLOSE: i32 = -11;
    pub const ERROR: i32 = -1;
}

fn write_strings(w: &mut Writer, strings: &[String]) {
    w.vector(strings, |w, string| {
        w.string(string);
    });
}

impl Request {
    fn op(&self) -> i32 {
        match self {
            Self::Create { stat: false, .. } => op::CREATE,
            Self::Create { stat: true, .. } => op::CREATE2,
            Self::Delete { .. } => op::DELETE,
            Self::Exists { .. } => op::EXISTS,
            Self::GetData { .. } => op::GET_DATA,
            Self::SetData { .. } => op::SET_DATA,
            Self::GetChildren { stat: false, .. } => op::GET_CHILDREN,
            Self::GetChildren { stat: true, .. } => op::GET_CHILDREN2,
            Self::Sync { .. } => op::SYNC,
            Self::Check { .. } => op::CHECK,
            Self::Multi(_) => op::MULTI,
            Self::SetWatches { .. } => op::SET_WATCHES,
            Self::Ping => op::PING,
            Self::CloseSession => op::CLOSE,
        }
    }

    fn write_body(&self, w: &mut Writer) {
        match self {
            Self::Create { path, data, acl, mode, .. } => {
                w.string(path).buffer(data);
                w.vector(acl, |w, a| {
                    w.int(a.permissions).string(&a.scheme).string(&a.id);
                });
                w.int(i32::from(mode.ephemeral) | i32::from(mode.sequential) << 1);
            }
            Self::Delete { path, version } | Self::Check { path, version } => {
                w.string(path).int(*version);
            }
            Self::Exists { path, watch }
            | Self::GetData { path, watch }
            | Self::GetChildren { path, watch, .. } => {
                w.string(path).boolean(*watch);
            }
            Self::SetData { path, data, version } => {
                w.string(path).buffer(data).int(*version);
            }
            Self::Sync { path } => {
                w.string(path);
            }
            Self::Multi(operations) => {
                for operation in operations {
                    w.int(operation.op()).boolean(false).int(-1);
                    operation.write_body(w);
                }
                w.int(op::ERROR).boolean(true).int(-1);
            }
            Self::SetWatches { since, data, exist, children } => {
                w.long(*since);
                write_strings(w, data);
                write_strings(w, exist);
                write_strings(w, children);
            }
            Self::Ping | Self::CloseSession => {}
        }
    }

    fn read_body(kind: i32, r: &mut Reader) -> Result<Self, JuteError> {
        Ok(match kind {
            op::CREATE | op::CREATE2 => {
                let (path, data) = (r.string()?, r.buffer()?);
                let acl =
                    r.vector(|r| Ok(Acl { permissions: r.int()?, scheme: r.string()?, id: r.string()? }))?;
                let flags = r.int()?;
                if !(0..=3).contains(&flags) {
                    return Err(JuteError::UnknownValue(flags));
                }
                let mode = Mode { ephemeral: flags & 1 != 0, sequential: flags & 2 != 0 };
                Self::Create { path, data, acl, mode, stat: kind == op::CREATE2 }
            }
            op::DELETE => Self::Delete { path: r.string()?, version: r.int()? },
            op::CHECK => Self::Check { path: r.string()?, version: r.int()? },
            op::EXISTS => Self::Exists { path: r.string()?, watch: r.boolean()? },
            op::GET_DATA => Self::GetData { path: r.string()?, watch: r.boolean()? },
            op::SET_DATA => Self::SetData { path: r.string()?, data: r.buffer()?, version: r.int()? },
            op::GET_CHILDREN | op::GET_CHILDREN2 => {
                Self::GetChildren { path: r.string()?, watch: r.boolean()?, stat: kind == op::GET_CHILDREN2 }
            }
            op::SYNC => Self::Sync { path: r.string()? },
            op::MULTI => {
                let mut operations = Vec::new();
                loop {
                    let (kind, done, _) = (r.int()?, r.boolean()?, r.int()?);
                    if done {
                        break;
                    }
                    // A `multi` can't be nested, which bounds the recursion to one level.
                    match kind {
                        op::CREATE | op::CREATE2 | op::DELETE | op::SET_DATA | op::CHECK => {
                            operations.push(Self::read_body(kind, r)?);
                        }
                        other => return Err(JuteError::UnknownValue(other)),
                    }
                }
                Self::Multi(operations)
            }
            op::SET_WATCHES => Self::SetWatches {
                since: r.long()?,
                data: r.vector(Reader::string)?,
                exist: r.vector(Reader::string)?,
                children: r.vector(Reader::string)?,
            },
            op::PING => Self::Ping,
            op::CLOSE => Self::CloseSession,
            other => return Err(JuteError::UnknownValue(other)),
        })
    }

    /// Serializes the request with this xid.
    pub fn write(&self, xid: i32) -> Vec<u8> {
        let mut w = Writer::default();
        w.int(xid).int(self.op());
        self.write_body(&mut w);
        w.finish()
    }

    /// Parses a request and its xid.
    ///
    /// # Errors
    /// The record is malformed; the error contains the xid if it could be read.
    pub fn read(record: Bytes) -> Result<(i32, Self), (Option<i32>, JuteError)> {
        let mut r = Reader::new(record);
        let xid = r.int().map_err(|e| (None, e))?;
        let body = |r: &mut Reader| {
            let kind = r.int()?;
            let request = Self::read_body(kind, r)?;
            r.expect_end()?;
            Ok(request)
        };
        body(&mut r).map(|request| (xid, request)).map_err(|e| (Some(xid), e))
    }
}

/// The result of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// Result of `create`.
    Created {
        /// The path of the node, including the number of a sequential node.
        path: String,
        /// The metadata, if the request asked for it.
        stat: Option<Stat>,
    },
    /// Result of `exists` and `set_data`.
    Stat(Stat),
    /// Result of `get_data`.
    Data {
        /// The data of the node.
        data: Bytes,
        /// The metadata of the node.
        stat: Stat,
    },
    /// Result of `get_children`.
    Children {
        /// The names of the children.
        names: Vec<String>,
        /// The metadata, if the request asked for it.
        stat: Option<Stat>,
    },
    /// Result of `sync`.
    Synced {
        /// The path from the request.
        path: String,
    },
    /// Result of `multi`, one per operation. Either all succeeded or none took effect.
    Multi(Vec<Result<Response, Code>>),
    /// Result of `delete`.
    Deleted,
    /// Result of `check`.
    Checked,
    /// Result of requests that return nothing.
    Done,
}

/// The kind of change of a watched node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum EventKind {
    /// The node was created.
    Created,
    /// The node was deleted.
    Deleted,
    /// Its data changed.
    DataChanged,
    /// Its children changed.
    ChildrenChanged,
}

/// The event of a watch that fired and is thereby removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchEvent {
    /// The kind of change.
    pub kind: EventKind,
    /// The path of the node.
    pub path: String,
}

impl WatchEvent {
    /// Serializes the event as a complete record.
    pub fn write(&self) -> Vec<u8> {
        let kind = match self.kind {
            EventKind::Created => 1,
            EventKind::Deleted => 2,
            EventKind::DataChanged => 3,
            EventKind::ChildrenChanged => 4,
        };
        let mut w = Writer::default();
        w.int(XID_EVENT).long(-1).int(0).int(kind).int(3).string(&self.path);
        w.finish()
    }

    /// Parses an event whose header has been read.
    ///
    /// # Errors
    /// The record is malformed.
    pub fn read(r: &mut Reader) -> Result<Self, JuteError> {
        let kind = match r.int()? {
            1 => EventKind::Created,
            2 => EventKind::Deleted,
            3 => EventKind::DataChanged,
            4 => EventKind::ChildrenChanged,
            other => return Err(JuteError::UnknownValue(other)),
        };
        r.int()?;
        let path = r.string()?;
        r.expect_end()?;
        Ok(Self { kind, path })
    }
}

/// The header of every reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyHeader {
    /// The xid of the request.
    pub xid: i32,
    /// The member's newest zxid at the time of the reply.
    pub zxid: i64,
    /// The error, if the request failed.
    pub error: Option<Code>,
}

impl ReplyHeader {
    /// Serializes the header, followed by the response unless the header has an error.
    pub fn write(&self, response: &Response) -> Vec<u8> {
        let mut w = Writer::default();
        w.int(self.xid).long(self.zxid).int(self.error.map_or(0, Code::number));
        if self.error.is_none() {
            response.write_body(&mut w);
        }
        w.finish()
    }

    /// Parses the header at the beginning of a record.
    ///
    /// # Errors
    /// The record is malformed.
    pub fn read(r: &mut Reader) -> Result<Self, JuteError> {
        Ok(Self { xid: r.int()?, zxid: r.long()?, error: Code::from_number(r.int()?) })
    }
}

impl Response {
    fn op(&self) -> i32 {
        match self {
            Self::Created { stat: None, .. } => op::CREATE,
            Self::Created { stat: Some(_), .. } => op::CREATE2,
            Self::Stat(_) => op::SET_DATA,
            Self::Deleted => op::DELETE,
            Self::Checked => op::CHECK,
            Self::Done => op::PING,
            Self::Data { .. } => op::GET_DATA,
            Self::Children { .. } => op::GET_CHILDREN2,
            Self::Synced { .. } => op::SYNC,
            Self::Multi(_) => op::MULTI,
        }
    }

    fn write_body(&self, w: &mut Writer) {
        match self {
            Self::Created { path, stat } => {
                w.string(path);
                stat.iter().for_each(|s| s.write(w));
            }
            Self::Stat(stat) => stat.write(w),
            Self::Data { data, stat } => {
                w.buffer(data);
                stat.write(w);
            }
            Self::Children { names, stat } => {
                write_strings(w, names);
                stat.iter().for_each(|s| s.write(w));
            }
            Self::Synced { path } => {
                w.string(path);
            }
            Self::Multi(operations) => {
                for operation in operations {
                    match operation {
                        Ok(response) => {
                            w.int(response.op()).boolean(false).int(0);
                            response.write_body(w);
                        }
                        Err(code) => {
                            w.int(op::ERROR).boolean(false).int(code.number()).int(code.number());
                        }
                    }
                }
                w.int(op::ERROR).boolean(true).int(-1);
            }
            Self::Deleted | Self::Checked | Self::Done => {}
        }
    }

    /// Parses the response to the request `to` after a header without an error.
    ///
    /// # Errors
    /// The record is malformed.
    pub fn read(to: &Request, r: &mut Reader) -> Result<Self, JuteError> {
        let response = match to {
            Request::Create { stat, .. } => {
                let path = r.string()?;
                Self::Created { path, stat: if *stat { Some(Stat::read(r)?) } else { None } }
            }
            Request::Exists { .. } | Request::SetData { .. } => Self::Stat(Stat::read(r)?),
            Request::GetData { .. } => Self::Data { data: r.buffer()?, stat: Stat::read(r)? },
            Request::GetChildren { stat, .. } => {
                let names = r.vector(Reader::string)?;
                Self::Children { names, stat: if *stat { Some(Stat::read(r)?) } else { None } }
            }
            Request::Sync { .. } => Self::Synced { path: r.string()? },
            Request::Multi(operations) => {
                let mut results = Vec::with_capacity(operations.len());
                loop {
                    let (kind, done, error) = (r.int()?, r.boolean()?, r.int()?);
                    if done {
                        break;
                    }
                    if kind == op::ERROR {
                        r.int()?;
                        results.push(Err(Code::from_number(error).unwrap_or(Code::RolledBack)));
                        continue;
                    }
                    let request = operations.get(results.len()).ok_or(JuteError::TrailingBytes)?;
                    results.push(Ok(Self::read(request, r)?));
                }
                if results.len() != operations.len() {
                    return Err(JuteError::Truncated);
                }
                return r.expect_end().map(|()| Self::Multi(results));
            }
            Request::Delete { .. } => Self::Deleted,
            Request::Check { .. } => Self::Checked,
            Request::SetWatches { .. } | Request::Ping | Request::CloseSession => Self::Done,
        };
        Ok(response)
    }
}
