//! Reads from a caller's request what its handling depends on.

use std::net;
use std::time;

use walnuthaven_lib::dialect;
use walnuthaven_lib::routing;
use xxhash_rust::xxh3;

/// Time limit for the answer if neither the caller nor the route limits it.
pub(super) const DEFAULT_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Returns the name of the host that a request is for; empty if it has none.
pub(super) fn host_name(parts: &http::request::Parts) -> String {
    let host = parts.headers.get(http::header::HOST);
    let host = host
        .and_then(|host| host.to_str().ok())
        .or_else(|| parts.uri.host());
    host.unwrap_or_default().to_owned()
}

/// Returns the size of a request's head in bytes, as it is usually written.
pub(super) fn head_bytes(parts: &http::request::Parts) -> usize {
    let target = parts.uri.path_and_query();
    let target_bytes = target.map_or(1, |target| target.as_str().len());
    let line_bytes = parts.method.as_str().len() + target_bytes + "  HTTP/1.1\r\n".len();
    let headers = parts.headers.iter();
    let header_bytes =
        headers.map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    line_bytes + header_bytes.sum::<usize>() + "\r\n".len()
}

/// Returns the maximum size in bytes of a request's body, according to its headers and the limits.
pub(super) fn max_body_bytes(headers: &http::HeaderMap, limits: &routing::CallerLimits) -> usize {
    let length = headers.get(http::header::CONTENT_LENGTH);
    let stated = length.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    let chunked = headers.contains_key(http::header::TRANSFER_ENCODING);
    let max_bytes = match (stated, chunked) {
        (Some(stated), _) => stated,
        (None, true) => limits.body_bytes,
        (None, false) => 0,
    };
    max_bytes.min(limits.body_bytes)
}

/// Returns a digest of a request's caller, target and body, by which the request is recognised when
/// it is sent again.
pub(super) fn digest(caller: net::IpAddr, target: &http::Uri, body: &[u8]) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(caller.to_string().as_bytes());
    hasher.update(target.to_string().as_bytes());
    hasher.update(&[0]);
    hasher.update(body);
    hasher.digest()
}

/// Returns how long the answer may take: the shorter of the caller's and the route's limit.
pub(super) fn time_limit(route: &routing::Route, head: &dialect::RequestHead) -> time::Duration {
    let limits = [route.timeout, head.deadline];
    limits
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(DEFAULT_TIMEOUT)
}
