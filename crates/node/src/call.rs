//! A request and its answer as passed between front and backend, independent of the protocol on either side.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use glenwood_core::Token;
use glenwood_msgpack_rpc::message;
use glenwood_operation::budget::Share;
use glenwood_operation::places::Slot;
use glenwood_policy::Millis;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{HeaderName, HeaderValue, COOKIE, HOST};
use hyper::{HeaderMap, Method, Uri};

use crate::blocks::{Blocks, RemainingBody};
use crate::pace::Pace;

/// The largest body that is always buffered in full, in either direction.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// The largest body that is forwarded at all, in either direction.
pub const MAX_BODY_BYTES: usize = (32 << 20) + MAX_BUFFERED_BODY_BYTES;

/// How many blocks of a body are hashed to recognise a repeated request.
const HASHED_BLOCKS: usize = 4;

/// The client's id for a request.
pub const TXN: HeaderName = HeaderName::from_static("x-txn");
/// The tenant.
pub const ORG: HeaderName = HeaderName::from_static("x-org");
/// The key of a keyed request.
pub const KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// The client's estimate of the work, in microseconds.
pub const ESTIMATE: HeaderName = HeaderName::from_static("x-estimate");
/// The remaining time, in milliseconds.
pub const REMAINING: HeaderName = HeaderName::from_static("x-remaining-ms");

/// The protocol over which a request arrived, with the fields specific to it.
pub enum Origin {
    /// HTTP, with the end-to-end headers, including id, tenant and key.
    Http(HeaderMap),
    /// MessagePack-RPC.
    Rpc {
        /// The tenant.
        org: Option<Box<str>>,
        /// The user that the request is about.
        user: Option<Box<str>>,
    },
}

/// A request as forwarded to a server.
pub struct Call {
    /// Its class and tenant. Holding them keeps their indices valid across changes of the settings.
    pub class_and_tenant: (Slot, Option<Slot>),
    /// The client's id for it.
    pub id: Token,
    /// Its key, if it has one.
    pub key: Option<Token>,
    /// The method, which follows from its class.
    pub method: Method,
    /// Path and query; the first path segment is the class.
    pub target: Uri,
    /// The protocol over which it arrived.
    pub origin: Origin,
    /// The body, as far as it has been read.
    pub body: Blocks,
    /// The rest of a body too long to buffer.
    pub rest: Option<RemainingBody>,
    /// Its share of the body budget.
    pub body_budget_share: Share,
}

/// A server's answer.
pub struct Reply {
    /// Its headers; empty if the server uses MessagePack-RPC.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Content,
}

/// Why a body is not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Truncated {
    /// Its connection ended, or sent what is no body.
    Disconnected,
    /// Its sender paused for too long, or was too slow.
    Stalled,
    /// It exceeds its declared length or [`MAX_BODY_BYTES`].
    TooLong,
}

impl std::fmt::Display for Truncated {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Disconnected => "the body ended early",
            Self::Stalled => "the body stalled or came too slowly",
            Self::TooLong => "the body is too long",
        })
    }
}

impl std::error::Error for Truncated {}

/// A body that is read while it is being forwarded.
pub type BodyStream = Pin<Box<dyn Body<Data = Bytes, Error = Truncated>>>;

/// The body of an answer.
pub enum Content {
    /// A body that was read in full.
    Buffered(Bytes),
    /// A body of which more is to come, and how fast it has come so far.
    Streamed(BodyStream, Pace),
}

impl Default for Content {
    fn default() -> Self {
        Self::Buffered(Bytes::new())
    }
}

impl Body for Content {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            Self::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Buffered(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Streamed(stream, _) => stream.as_mut().poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_empty(),
            Self::Streamed(stream, _) => stream.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streamed(stream, _) => stream.size_hint(),
        }
    }
}

/// Inserts a header. The fronts have validated the texts, so none is dropped.
fn insert_text(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

/// The `user` in the `Cookie` header.
fn cookie_user(headers: &HeaderMap) -> Option<&str> {
    let pairs = headers.get_all(COOKIE).iter().filter_map(|v| v.to_str().ok()).flat_map(|v| v.split(';'));
    pairs.filter_map(|pair| pair.trim().strip_prefix("user=")).next()
}

impl Call {
    /// The length of the complete body, if known.
    pub fn body_length(&self) -> Option<usize> {
        self.rest.as_ref().map_or(Some(self.body.len()), |rest| rest.length)
    }

    /// A hash that a client's repeat of this request shares with it: of tenant, method and key if it has a key,
    /// otherwise of tenant, method, target, user, estimate and body. The id differs in each repeat and is left
    /// out. `seed` keeps clients from constructing collisions.
    pub fn repeat_key(&self, seed: u64) -> u64 {
        let mut hash = DefaultHasher::new();
        let tenant = self.class_and_tenant.1.as_ref().map(|tenant| &*tenant.name);
        (seed, tenant, self.method.as_str()).hash(&mut hash);
        if let Some(key) = &self.key {
            key.hash(&mut hash);
            return hash.finish();
        }
        self.target.path_and_query().map(|p| p.as_str()).hash(&mut hash);
        match &self.origin {
            Origin::Http(headers) => {
                cookie_user(headers).hash(&mut hash);
                headers.get(ESTIMATE).hash(&mut hash);
            }
            Origin::Rpc { user, .. } => user.as_deref().hash(&mut hash),
        }
        // Long bodies are hashed only at their start; their lengths distinguish most of the others.
        self.body.len().hash(&mut hash);
        self.body.iter().take(HASHED_BLOCKS).for_each(|block| block.hash(&mut hash));
        hash.finish()
    }

    /// The client's estimate of the work, if there is a valid one.
    pub fn estimated_work(&self) -> Option<Millis> {
        let Origin::Http(headers) = &self.origin else { return None };
        let microseconds: f64 = headers.get(ESTIMATE)?.to_str().ok()?.parse().ok()?;
        (microseconds.is_finite() && microseconds > 0.0).then_some(microseconds / 1000.0)
    }

    /// The request's headers for an HTTP server.
    pub fn headers(&self) -> HeaderMap {
        let (org, user) = match &self.origin {
            Origin::Http(headers) => return headers.clone(),
            Origin::Rpc { org, user } => (org, user),
        };
        let mut headers = HeaderMap::with_capacity(8);
        headers.insert(HOST, HeaderValue::from_static("service.internal"));
        insert_text(&mut headers, TXN, self.id.as_str());
        if let Some(key) = &self.key {
            insert_text(&mut headers, KEY, key.as_str());
        }
        if let Some(org) = org {
            insert_text(&mut headers, ORG, org);
        }
        if let Some(user) = user {
            insert_text(&mut headers, COOKIE, &format!("user={user}"));
        }
        headers
    }

    /// The request as a call to a MessagePack-RPC server, including how long the node waits for it.
    pub fn to_rpc_call(&self, remaining_ms: u64) -> message::Call {
        let target_path = self.target.path_and_query().map_or("", |p| p.as_str()).trim_start_matches('/');
        let class_end = target_path.find(['/', '?']).unwrap_or(target_path.len());
        let (org, user) = match &self.origin {
            Origin::Http(headers) => (headers.get(ORG).and_then(|v| v.to_str().ok()), cookie_user(headers)),
            Origin::Rpc { org, user } => (org.as_deref(), user.as_deref()),
        };
        message::Call {
            class: target_path[..class_end].to_string(),
            path: target_path[class_end..].to_string(),
            txn: Some(self.id.as_str().to_string()),
            org: org.map(str::to_string),
            user: user.map(str::to_string),
            remaining_ms: Some(remaining_ms),
            key: self.key.as_ref().map(|k| k.as_str().to_string()),
            body: self.body.to_contiguous(),
        }
    }
}

#[cfg(test)]
mod tests {
    use glenwood_operation::budget::Budget;

    use super::*;

    fn tenant_of(headers: &[(HeaderName, &str)]) -> Option<Slot> {
        let name = headers.iter().find(|(name, _)| *name == ORG)?.1;
        Some(Slot { number: 0, name: name.into() })
    }

    fn call(id: &str, key: Option<&str>, target: &str, headers: &[(HeaderName, &str)]) -> Call {
        let token = |text: &str| Token::new(text).expect("a token");
        let mut map = HeaderMap::new();
        for (name, value) in headers {
            map.insert(name.clone(), HeaderValue::from_str(value).expect("a value"));
        }
        let (key, target) = (key.map(token), target.parse().expect("a target"));
        let class_and_tenant = (Slot { number: 0, name: "look".into() }, tenant_of(headers));
        Call {
            class_and_tenant,
            id: token(id),
            key,
            method: Method::GET,
            target,
            origin: Origin::Http(map),
            body: Blocks::default(),
            rest: None,
            body_budget_share: Budget::new(0).share(),
        }
    }

    #[test]
    fn repeat_key_matches_repeats_and_differs_for_other_requests() {
        let common = [(ESTIMATE, "1500"), (TXN, "t1")];
        let first = call("t1", None, "/look/7?a=1", &common).repeat_key(1);
        let repeat = call("t2", None, "/look/7?a=1", &[(ESTIMATE, "1500"), (TXN, "t2")]);
        assert_eq!(repeat.repeat_key(1), first, "the id differs in each repeat");
        assert_ne!(
            call("t2", None, "/look/7?a=1", &[(ESTIMATE, "1500"), (ORG, "b")]).repeat_key(1),
            first,
            "another tenant"
        );
        assert_ne!(repeat.repeat_key(2), first, "another seed");
        assert_ne!(call("t2", None, "/look/8?a=1", &common).repeat_key(1), first, "another target");
        assert_ne!(call("t2", None, "/look/7?a=1", &[(ESTIMATE, "1600")]).repeat_key(1), first);
        let user = [(ESTIMATE, "1500"), (COOKIE, "user=u1")];
        assert_ne!(call("t2", None, "/look/7?a=1", &user).repeat_key(1), first, "another user");
        let keyed = call("t1", Some("k1"), "/pay", &common).repeat_key(1);
        assert_eq!(call("t2", Some("k1"), "/pay", &[]).repeat_key(1), keyed, "only the key counts");
        assert_ne!(call("t2", Some("k2"), "/pay", &common).repeat_key(1), keyed);
    }

    #[test]
    fn invalid_estimates_are_ignored() {
        let work = |text: &str| call("t1", None, "/look", &[(ESTIMATE, text)]).estimated_work();
        assert_eq!(work("1500"), Some(1.5));
        for bad in ["", "x", "-1", "0", "NaN", "inf", "1e999"] {
            assert_eq!(work(bad), None, "{bad}");
        }
    }
}
