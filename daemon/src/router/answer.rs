//! Answers to callers.

use std::pin;
use std::task;
use std::time;

use bytes::Bytes;
use http::header;
use http_body::Body;

/// The body of an answer: whole, or events as they come.
#[derive(Debug)]
pub(crate) enum Content {
    /// The whole body.
    Whole(Option<Bytes>),
    /// Events; an error breaks the connection off, so that the answer doesn't look complete.
    Events(tokio::sync::mpsc::Receiver<Result<Bytes, Broken>>),
}

/// A stream that ends before its last event.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stream broke off")
    }
}

impl std::error::Error for Broken {}

impl Body for Content {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Bytes>, Broken>>> {
        match &mut *self {
            Self::Whole(body) => {
                let body = body.take().filter(|body| !body.is_empty());
                task::Poll::Ready(body.map(|body| Ok(http_body::Frame::data(body))))
            }
            Self::Events(rx) => rx
                .poll_recv(cx)
                .map(|event| event.map(|event| event.map(http_body::Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Self::Whole(body) => {
                let length = body.as_ref().map_or(0, |body| body.len() as u64);
                http_body::SizeHint::with_exact(length)
            }
            Self::Events(_) => http_body::SizeHint::default(),
        }
    }
}

/// An answer to a caller.
pub(crate) type Answer = http::Response<Content>;

/// Makes an answer with a whole body.
pub(crate) fn whole(status: http::StatusCode, headers: http::HeaderMap, body: Bytes) -> Answer {
    let mut answer = http::Response::new(Content::Whole(Some(body)));
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

/// Makes an answer of the router itself.
pub(crate) fn own(status: http::StatusCode, reason: &str) -> Answer {
    let mut headers = http::HeaderMap::new();
    let text = http::HeaderValue::from_static("text/plain; charset=utf-8");
    headers.insert(header::CONTENT_TYPE, text);
    whole(status, headers, Bytes::from(format!("{reason}\n")))
}

/// Makes the answer to a request that hasn't run and won't. The caller may come back after a time.
pub(crate) fn not_run(reason: &str, retry_after: time::Duration) -> Answer {
    let mut answer = own(http::StatusCode::SERVICE_UNAVAILABLE, reason);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = http::HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}
