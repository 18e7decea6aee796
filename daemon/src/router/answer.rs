//! HTTP responses to callers.

use std::pin;
use std::task;
use std::time;

use bytes::Bytes;
use http::header;
use http_body::Body;

/// The body of a response to a caller.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// A body that was read completely before it is sent; `None` once it was handed to the
    /// connection.
    Complete(Option<Bytes>),
    /// Events that are sent as they arrive. An error closes the connection without the end of the
    /// body, so that the caller doesn't take the answer as complete.
    Events(tokio::sync::mpsc::Receiver<Result<Bytes, Broken>>),
}

/// Error that ends a stream of events before its last event.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stream broke off")
    }
}

impl std::error::Error for Broken {}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Bytes>, Broken>>> {
        match &mut *self {
            Self::Complete(body) => {
                let body = body.take().filter(|body| !body.is_empty());
                task::Poll::Ready(body.map(|body| Ok(http_body::Frame::data(body))))
            }
            Self::Events(rx) => rx
                .poll_recv(cx)
                .map(|event| event.map(|event| event.map(http_body::Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None))
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Self::Complete(body) => {
                let length = body.as_ref().map_or(0, |body| body.len() as u64);
                http_body::SizeHint::with_exact(length)
            }
            Self::Events(_) => http_body::SizeHint::default(),
        }
    }
}

/// Marks a response to a request that wasn't sent to any server because none was in reach.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Unreached;

/// A response to a caller.
pub(crate) type Answer = http::Response<ResponseBody>;

/// Makes a response whose body is known completely.
pub(crate) fn complete(status: http::StatusCode, headers: http::HeaderMap, body: Bytes) -> Answer {
    let mut answer = http::Response::new(ResponseBody::Complete(Some(body)));
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

/// Makes a plain-text response in the router's own name, as opposed to one relayed from a server.
pub(crate) fn from_router(status: http::StatusCode, reason: &str) -> Answer {
    let mut headers = http::HeaderMap::new();
    let text = http::HeaderValue::from_static("text/plain; charset=utf-8");
    headers.insert(header::CONTENT_TYPE, text);
    complete(status, headers, Bytes::from(format!("{reason}\n")))
}

/// Makes the response to a request that hasn't run and won't: status 503 with a `Retry-After`
/// header, so that the caller may safely send it again after that time.
pub(crate) fn not_run(reason: &str, retry_after: time::Duration) -> Answer {
    refused(http::StatusCode::SERVICE_UNAVAILABLE, reason, retry_after)
}

/// As [`not_run`], for a request that exceeds what its caller may use.
pub(crate) fn over_limit(reason: &str, retry_after: time::Duration) -> Answer {
    refused(http::StatusCode::TOO_MANY_REQUESTS, reason, retry_after)
}

fn refused(status: http::StatusCode, reason: &str, retry_after: time::Duration) -> Answer {
    let mut answer = from_router(status, reason);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = http::HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}
