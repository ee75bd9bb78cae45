//! Serialized form of requests and answers as the keepers store them, and the digest by which equal
//! requests are recognized.

use bytes::Bytes;
use glenwood_core::Token;
use glenwood_datagram::{stable_hash, Reader};
use glenwood_operation::budget::Share;
use glenwood_operation::places::Slot;
use glenwood_policy::Effect;
use hyper::header::{HeaderName, HeaderValue, COOKIE};
use hyper::{HeaderMap, Method, Uri};

use crate::call::{Call, Content, Origin, Reply, ESTIMATE};

/// The header that marks a client's repeat.
pub const RESENT: HeaderName = HeaderName::from_static("x-resent");
const LABELS: HeaderName = HeaderName::from_static("x-labels");

/// Is the request marked as a client's repeat?
pub fn is_marked(call: &Call) -> bool {
    matches!(&call.origin, Origin::Http(headers) if headers.get(RESENT).is_some_and(|v| v.as_bytes() == b"1"))
}

/// Is the request a client's repeat of which the node can't tell what it repeats? Without a key that takes the
/// whole body, and a body that is too long for the node's memory is not read before it is sent on.
pub fn is_unidentified_repeat(call: &Call) -> bool {
    call.key.is_none() && call.rest.is_some() && is_marked(call)
}

/// A digest of what is requested and by whom. With a key: tenant, class and key. Without one: everything
/// that the node can see, except the id and the fields that the protocol changes with each try. A request
/// whose body is still to come has no digest in common with one whose body is known.
pub fn slot(call: &Call) -> (u64, u64) {
    let tenant = call.class_and_tenant.1.as_ref().map_or("", |tenant| &*tenant.name);
    let class = &*call.class_and_tenant.0.name;
    let body: Vec<u8>;
    let empty: &[u8] = &[];
    let header = |name: &HeaderName| match &call.origin {
        Origin::Http(headers) => headers.get(name).map_or(empty, |value| value.as_bytes()),
        Origin::Rpc { .. } => empty,
    };
    let mut parts: Vec<&[u8]> = vec![tenant.as_bytes(), class.as_bytes()];
    if let Some(key) = &call.key {
        parts.push(b"key");
        parts.push(key.as_str().as_bytes());
    } else {
        let target = call.target.path_and_query().map_or("", |p| p.as_str());
        let user = match &call.origin {
            Origin::Http(_) => header(&COOKIE),
            Origin::Rpc { user, .. } => user.as_deref().unwrap_or_default().as_bytes(),
        };
        body = call.body.to_contiguous().to_vec();
        let extent: &[u8] = if call.rest.is_some() { b"part" } else { b"all" };
        parts.extend([extent, target.as_bytes(), user, header(&ESTIMATE), header(&LABELS), &body]);
    }
    let digest = |salt: &'static [u8]| {
        let mut all = vec![salt];
        all.extend(&parts);
        stable_hash(&all)
    };
    (digest(b"slot 0"), digest(b"slot 1"))
}

/// A number derived from the client's request id.
pub fn nonce(call: &Call) -> u64 {
    stable_hash(&[b"nonce", call.id.as_str().as_bytes()])
}

fn write_bytes(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend((bytes.len() as u32).to_be_bytes());
    out.extend(bytes);
}

fn read_bytes<'a>(r: &mut Reader<'a>) -> Option<&'a [u8]> {
    let length = r.u32()? as usize;
    r.take(length)
}

fn write_headers(out: &mut Vec<u8>, headers: &HeaderMap) {
    out.extend((headers.len() as u16).to_be_bytes());
    for (name, value) in headers {
        write_bytes(out, name.as_str().as_bytes());
        write_bytes(out, value.as_bytes());
    }
}

fn read_headers(r: &mut Reader) -> Option<HeaderMap> {
    let count = r.u16()?;
    let mut headers = HeaderMap::new();
    for _ in 0..count {
        let name = HeaderName::from_bytes(read_bytes(r)?).ok()?;
        headers.append(name, HeaderValue::from_bytes(read_bytes(r)?).ok()?);
    }
    Some(headers)
}

/// Serializes a request; `None` where its body is still being received.
pub fn write_call(call: &Call) -> Option<Bytes> {
    if call.rest.is_some() {
        return None;
    }
    let mut out = Vec::with_capacity(512 + call.body.len());
    write_bytes(&mut out, call.id.as_str().as_bytes());
    write_bytes(&mut out, call.key.as_ref().map_or("", |key| key.as_str()).as_bytes());
    write_bytes(&mut out, call.class_and_tenant.1.as_ref().map_or("", |tenant| &*tenant.name).as_bytes());
    write_bytes(&mut out, call.target.path_and_query().map_or("/", |p| p.as_str()).as_bytes());
    match &call.origin {
        Origin::Http(headers) => {
            out.push(0);
            write_headers(&mut out, headers);
        }
        Origin::Rpc { org, user } => {
            out.push(1);
            write_bytes(&mut out, org.as_deref().unwrap_or_default().as_bytes());
            write_bytes(&mut out, user.as_deref().unwrap_or_default().as_bytes());
        }
    }
    write_bytes(&mut out, &call.body.to_contiguous());
    Some(Bytes::from(out))
}

/// Parses a request that another node serialized. `tenant` looks up a tenant by name in this node's
/// settings; `class` is the class in these settings.
pub fn read_call(
    bytes: &[u8],
    class: Slot,
    effect: Effect,
    tenant: impl Fn(&str) -> Option<Slot>,
    held: Share,
) -> Option<Call> {
    let mut r = Reader::new(bytes);
    let text = |bytes| std::str::from_utf8(bytes).ok();
    let id = Token::new(text(read_bytes(&mut r)?)?).ok()?;
    let key = Some(text(read_bytes(&mut r)?)?).filter(|key| !key.is_empty());
    let key = key.map(Token::new).transpose().ok()?;
    let tenant = Some(text(read_bytes(&mut r)?)?).filter(|name| !name.is_empty()).and_then(tenant);
    let target: Uri = std::str::from_utf8(read_bytes(&mut r)?).ok()?.parse().ok()?;
    let origin = match r.u8()? {
        0 => Origin::Http(read_headers(&mut r)?),
        _ => {
            let mut optional_text = || {
                let text = std::str::from_utf8(read_bytes(&mut r)?).ok()?;
                Some(Some(text).filter(|text| !text.is_empty()).map(Box::from))
            };
            Origin::Rpc { org: optional_text()?, user: optional_text()? }
        }
    };
    let body = Bytes::copy_from_slice(read_bytes(&mut r)?);
    let method = if effect == Effect::Safe { Method::GET } else { Method::POST };
    r.is_empty().then_some(Call {
        class_and_tenant: (class, tenant),
        id,
        key,
        method,
        target,
        origin,
        body: body.into(),
        rest: None,
        body_budget_share: held,
    })
}

/// Serializes an answer; `None` where more of its body is to come.
pub fn write_reply(reply: &Reply) -> Option<Bytes> {
    let Content::Buffered(body) = &reply.body else { return None };
    let mut out = Vec::with_capacity(256 + body.len());
    write_headers(&mut out, &reply.headers);
    write_bytes(&mut out, body);
    Some(Bytes::from(out))
}

/// Parses an answer.
pub fn read_reply(bytes: &[u8]) -> Option<Reply> {
    let mut r = Reader::new(bytes);
    let headers = read_headers(&mut r)?;
    let body = Bytes::copy_from_slice(read_bytes(&mut r)?);
    r.is_empty().then_some(Reply { headers, body: Content::Buffered(body) })
}
