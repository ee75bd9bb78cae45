//! Filtering of hop-by-hop headers.

use hyper::header::{HeaderName, CONNECTION};
use hyper::HeaderMap;

/// Returns the end-to-end headers: all but the hop-by-hop ones and those named in `Connection`.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    const HOP_BY_HOP: [&str; 10] = [
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    let named_by_connection: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let is_forwarded = |name: &HeaderName| {
        !HOP_BY_HOP.contains(&name.as_str()) && !named_by_connection.iter().any(|n| n == name.as_str())
    };
    headers.iter().filter(|(name, _)| is_forwarded(name)).map(|(n, v)| (n.clone(), v.clone())).collect()
}
