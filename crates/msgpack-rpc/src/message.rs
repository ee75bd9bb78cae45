//! Decoding and encoding of messages.

use std::fmt;

use bytes::{Bytes, BytesMut};
use rmp::encode::{self, ByteBuf};
use rmpv::ValueRef;

use crate::frame::Frame;

/// Maximum number of entries in a parameter or error map; unknown entries are ignored.
const MAX_MAP_ENTRIES: usize = 32;

/// Error codes of calls, as sent to clients and received from servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Code {
    /// Refused: repeating the call is harmless.
    Refused,
    /// Failed: the call may have run.
    Failed,
    /// The call itself is invalid.
    BadRequest,
    /// The class is unknown.
    UnknownClass,
    /// The call is too long.
    TooLarge,
    /// Sent only by servers: refused without being processed, so it never ran.
    TurnedAway,
}

impl Code {
    /// All codes.
    pub const ALL: [Self; 6] =
        [Self::Refused, Self::Failed, Self::BadRequest, Self::UnknownClass, Self::TooLarge, Self::TurnedAway];

    /// The name on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::BadRequest => "bad_request",
            Self::UnknownClass => "unknown_class",
            Self::TooLarge => "too_large",
            Self::TurnedAway => "turned_away",
        }
    }

    /// Returns the code with the given wire name.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|code| code.as_str() == name)
    }
}

/// An error reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ErrorReply {
    /// The error code.
    pub code: Code,
    /// A description for people.
    pub message: String,
    /// When to repeat the call, in milliseconds, if there is advice.
    pub retry_after_ms: Option<u64>,
}

impl ErrorReply {
    /// Creates an error reply without advice on when to repeat the call.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), retry_after_ms: None }
    }
}

/// The answer to a call: a body or an error.
pub type Answer = Result<Bytes, ErrorReply>;

/// The contents of a call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Call {
    /// The class: the method up to its first `/` or `?`; the rest of the method is in `path`.
    pub class: String,
    /// The remaining path and query: empty, or beginning with `/` or `?`.
    pub path: String,
    /// The client's id of the call.
    pub txn: Option<String>,
    /// The tenant.
    pub org: Option<String>,
    /// The subject of the call.
    pub user: Option<String>,
    /// How long the client waits, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// The key; calls of keyed classes need one.
    pub key: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// A framed message that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// A call that can be answered: its msgid and the error reply to send.
    Call(u32, ErrorReply),
    /// A reply to a known msgid, and what is wrong with it.
    Reply(u32, String),
    /// A message whose call cannot be determined.
    Unknown(String),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Call(id, error) => write!(f, "call {id}: {}", error.message),
            Self::Reply(id, reason) => write!(f, "reply {id}: {reason}"),
            Self::Unknown(reason) => f.write_str(reason),
        }
    }
}

/// A valid message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// A call with its msgid.
    Call(u32, Call),
    /// A reply with the msgid of its call.
    Reply(u32, Answer),
    /// A notification, which needs no answer.
    Notification,
}

const CALL: u64 = 0;
const REPLY: u64 = 1;
const NOTIFICATION: u64 = 2;

/// Decodes a message.
///
/// # Errors
/// Returns what is wrong, with the msgid of the call if it can be determined.
pub fn read(frame: &Frame) -> Result<Message, DecodeError> {
    let bytes = match frame {
        Frame::Whole(bytes) => bytes,
        Frame::TooLong(prefix) => return Err(oversized_message(prefix)),
    };
    let unattributed = |reason: &str| DecodeError::Unknown(reason.to_string());
    let value =
        rmpv::decode::read_value_ref(&mut &bytes[..]).map_err(|_| unattributed("not a MessagePack value"))?;
    let ValueRef::Array(parts) = value else { return Err(unattributed("the message is not an array")) };
    let kind = parts.first().and_then(ValueRef::as_u64);
    match (kind, parts.len()) {
        (Some(NOTIFICATION), 3) => return Ok(Message::Notification),
        (Some(CALL | REPLY), 4) => {}
        // If the msgid is in its position, the call can still be determined.
        (Some(REPLY), _) => {
            return Err(match parts.get(1).and_then(read_msgid) {
                Some(id) => DecodeError::Reply(id, "four parts expected".into()),
                None => unattributed("four parts expected"),
            })
        }
        (Some(CALL), _) => {
            return Err(match parts.get(1).and_then(read_msgid) {
                Some(id) => DecodeError::Call(id, bad_request("four parts expected")),
                None => unattributed("four parts expected"),
            })
        }
        _ => return Err(unattributed("unknown message type or wrong number of parts")),
    }
    let id = read_msgid(&parts[1]).ok_or_else(|| unattributed("msgid: a number of 32 bits expected"))?;
    if kind == Some(REPLY) {
        let answer =
            decode_answer(&parts[2], &parts[3], bytes).map_err(|reason| DecodeError::Reply(id, reason))?;
        return Ok(Message::Reply(id, answer));
    }
    decode_call(&parts[2], &parts[3], bytes)
        .map(|call| Message::Call(id, call))
        .map_err(|e| DecodeError::Call(id, e))
}

fn read_msgid(value: &ValueRef<'_>) -> Option<u32> {
    value.as_u64().and_then(|n| u32::try_from(n).ok())
}

fn bad_request(reason: impl Into<String>) -> ErrorReply {
    ErrorReply::new(Code::BadRequest, reason)
}

/// Determines the call of an oversized message from its first bytes.
fn oversized_message(prefix: &[u8]) -> DecodeError {
    let mut rest = prefix;
    let mut read_header = || -> Option<(u64, u32)> {
        rmp::decode::read_array_len(&mut rest).ok()?;
        let kind = rmp::decode::read_int::<u64, _>(&mut rest).ok()?;
        Some((kind, rmp::decode::read_int::<u32, _>(&mut rest).ok()?))
    };
    match read_header() {
        Some((CALL, id)) => {
            DecodeError::Call(id, ErrorReply::new(Code::TooLarge, "longer than a call may be"))
        }
        Some((REPLY, id)) => DecodeError::Reply(id, "longer than a reply may be".into()),
        _ => DecodeError::Unknown("longer than a message may be".into()),
    }
}

/// Returns a part of a message as shared bytes, without copying.
fn share_slice(of: &Bytes, part: &[u8]) -> Bytes {
    if part.is_empty() {
        Bytes::new()
    } else {
        of.slice_ref(part)
    }
}

/// Returns the entries of a map with unique text keys.
fn map_entries<'v, 'a>(
    value: &'v ValueRef<'a>,
    what: &str,
) -> Result<Vec<(&'v str, &'v ValueRef<'a>)>, String> {
    let ValueRef::Map(map) = value else { return Err(format!("{what}: a map expected")) };
    if map.len() > MAX_MAP_ENTRIES {
        return Err(format!("{what}: more than {MAX_MAP_ENTRIES} entries"));
    }
    let mut entries: Vec<(&str, &ValueRef<'_>)> = Vec::with_capacity(map.len());
    for (key, value) in map {
        let ValueRef::String(key) = key else { return Err(format!("{what}: a key that is no text")) };
        let key = key.as_str().ok_or_else(|| format!("{what}: a key that is no text"))?;
        if entries.iter().any(|(existing, _)| *existing == key) {
            return Err(format!("{what}: {key} stands there twice"));
        }
        entries.push((key, value));
    }
    Ok(entries)
}

fn optional_text(value: &ValueRef<'_>, what: &str) -> Result<Option<String>, String> {
    match value {
        ValueRef::Nil => Ok(None),
        ValueRef::String(text) => match text.as_str() {
            Some(text) => Ok(Some(text.to_string())),
            None => Err(format!("{what}: text expected")),
        },
        _ => Err(format!("{what}: text expected")),
    }
}

fn decode_call(method: &ValueRef<'_>, params: &ValueRef<'_>, bytes: &Bytes) -> Result<Call, ErrorReply> {
    let method = optional_text(method, "method")
        .map_err(bad_request)?
        .ok_or_else(|| bad_request("method: text expected"))?;
    let ValueRef::Array(params) = params else { return Err(bad_request("params: an array expected")) };
    let [params] = &params[..] else { return Err(bad_request("params: one map expected")) };
    let class_end = method.find(['/', '?']).unwrap_or(method.len());
    let mut call = Call {
        class: method[..class_end].to_string(),
        path: method[class_end..].to_string(),
        ..Call::default()
    };
    for (key, value) in map_entries(params, "params").map_err(bad_request)? {
        match key {
            "txn" => call.txn = optional_text(value, key).map_err(bad_request)?,
            "org" => call.org = optional_text(value, key).map_err(bad_request)?,
            "user" => call.user = optional_text(value, key).map_err(bad_request)?,
            "key" => call.key = optional_text(value, key).map_err(bad_request)?,
            "path" => {
                let path = optional_text(value, key).map_err(bad_request)?.unwrap_or_default();
                if !call.path.is_empty() && !path.is_empty() {
                    return Err(bad_request("path: the method has one already"));
                }
                if !path.is_empty() {
                    call.path = path;
                }
            }
            "remaining_ms" => {
                let number =
                    value.as_u64().ok_or_else(|| bad_request("remaining_ms: a whole number expected"))?;
                call.remaining_ms = Some(number);
            }
            "body" => match value {
                ValueRef::Nil => {}
                ValueRef::Binary(body) => call.body = share_slice(bytes, body),
                _ => return Err(bad_request("body: bin expected")),
            },
            _ => {}
        }
    }
    if !(call.path.is_empty() || call.path.starts_with(['/', '?'])) {
        return Err(bad_request("path: must begin with / or ?"));
    }
    Ok(call)
}

fn decode_answer(error: &ValueRef<'_>, result: &ValueRef<'_>, bytes: &Bytes) -> Result<Answer, String> {
    match (error, result) {
        (ValueRef::Nil, ValueRef::Binary(body)) => Ok(Ok(share_slice(bytes, body))),
        (ValueRef::Nil, _) => Err("result: bin expected".into()),
        (error, ValueRef::Nil) => Ok(Err(decode_error(error))),
        _ => Err("both an error and a result".into()),
    }
}

/// Decodes an error. One that does not follow the convention is reported as a plain failure.
fn decode_error(value: &ValueRef<'_>) -> ErrorReply {
    let unknown_error = || ErrorReply::new(Code::Failed, "an error in another form");
    let Ok(entries) = map_entries(value, "error") else { return unknown_error() };
    let mut reply = unknown_error();
    for (key, value) in entries {
        match (key, value) {
            ("code", ValueRef::String(code)) => {
                reply.code = code.as_str().and_then(Code::parse).unwrap_or(Code::Failed);
            }
            ("message", ValueRef::String(reason)) => {
                reply.message = reason.as_str().unwrap_or_default().to_string();
            }
            ("retry_after_ms", value) => reply.retry_after_ms = value.as_u64(),
            _ => {}
        }
    }
    reply
}

// ---- Encoding ----

/// Checks a write to memory, which cannot fail; the limits on bodies and texts keep lengths within 32 bits.
fn assert_written<T>(result: Result<T, impl fmt::Debug>) {
    debug_assert!(result.is_ok(), "writing to memory failed");
}

fn write_text_entry(out: &mut ByteBuf, key: &str, value: &str) {
    assert_written(encode::write_str(out, key));
    assert_written(encode::write_str(out, value));
}

/// Encodes a call.
pub fn write_call(out: &mut BytesMut, id: u32, call: &Call) {
    let mut buf = ByteBuf::with_capacity(call.body.len() + 160);
    assert_written(encode::write_array_len(&mut buf, 4));
    assert_written(encode::write_uint(&mut buf, CALL));
    assert_written(encode::write_uint(&mut buf, u64::from(id)));
    assert_written(encode::write_str(&mut buf, &call.class));
    assert_written(encode::write_array_len(&mut buf, 1));
    let texts = [
        ("txn", call.txn.as_deref()),
        ("org", call.org.as_deref()),
        ("user", call.user.as_deref()),
        ("key", call.key.as_deref()),
        ("path", (!call.path.is_empty()).then_some(call.path.as_str())),
    ];
    let count = texts.iter().flat_map(|(_, v)| *v).count() + usize::from(call.remaining_ms.is_some()) + 1;
    assert_written(encode::write_map_len(&mut buf, count as u32));
    for (key, value) in texts {
        if let Some(value) = value {
            write_text_entry(&mut buf, key, value);
        }
    }
    if let Some(remaining) = call.remaining_ms {
        assert_written(encode::write_str(&mut buf, "remaining_ms"));
        assert_written(encode::write_uint(&mut buf, remaining));
    }
    assert_written(encode::write_str(&mut buf, "body"));
    assert_written(encode::write_bin(&mut buf, &call.body));
    out.extend_from_slice(buf.as_slice());
}

/// Encodes an answer.
pub fn write_answer(out: &mut BytesMut, id: u32, answer: &Answer) {
    let mut buf = ByteBuf::with_capacity(answer.as_ref().map_or(128, |b| b.len() + 16));
    assert_written(encode::write_array_len(&mut buf, 4));
    assert_written(encode::write_uint(&mut buf, REPLY));
    assert_written(encode::write_uint(&mut buf, u64::from(id)));
    match answer {
        Ok(body) => {
            assert_written(encode::write_nil(&mut buf));
            assert_written(encode::write_bin(&mut buf, body));
        }
        Err(error) => {
            assert_written(encode::write_map_len(&mut buf, 2 + u32::from(error.retry_after_ms.is_some())));
            write_text_entry(&mut buf, "code", error.code.as_str());
            write_text_entry(&mut buf, "message", &error.message);
            if let Some(retry_after) = error.retry_after_ms {
                assert_written(encode::write_str(&mut buf, "retry_after_ms"));
                assert_written(encode::write_uint(&mut buf, retry_after));
            }
            assert_written(encode::write_nil(&mut buf));
        }
    }
    out.extend_from_slice(buf.as_slice());
}
