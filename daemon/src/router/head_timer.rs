//! Limits the time in which a caller must send the head of a request.
//!
//! The HTTP library's own limit starts when the previous response ends, so it also covers the time
//! in which a connection is idle. This limit starts with the first byte of a head.

use std::future::Future as _;
use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use http_body::Body;
use tokio::io::AsyncRead;

/// Whether the current request's head has been read on a connection. Shared by the connection's
/// reading side and its responses.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeadState(sync::Arc<atomic::AtomicBool>);

impl HeadState {
    /// Records that the head of a request was read, which stops the timer.
    pub(crate) fn set_head_read(&self) {
        self.0.store(true, atomic::Ordering::Relaxed);
    }

    /// Records that the response was sent: the next bytes belong to the head of another request.
    fn set_answered(&self) {
        self.0.store(false, atomic::Ordering::Relaxed);
    }

    fn is_head_read(&self) -> bool {
        self.0.load(atomic::Ordering::Relaxed)
    }
}

/// A response body that resets the connection's [`HeadState`] when it is dropped, as the response
/// has been sent by then.
#[derive(Debug)]
pub(crate) struct TrackedBody<B> {
    body: B,
    head_state: HeadState,
}

impl<B> TrackedBody<B> {
    pub(crate) fn new(body: B, head_state: HeadState) -> Self {
        Self { body, head_state }
    }
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.head_state.set_answered();
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<B::Data>, B::Error>>> {
        pin::Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}

/// The reading side of a connection. Reads fail once the head of a request has taken longer than
/// `max_head_time`.
#[derive(Debug)]
pub(crate) struct TimedReader<S> {
    stream: S,
    head_state: HeadState,
    max_head_time: time::Duration,
    /// Runs from the first byte of a head to its end.
    timer: Option<pin::Pin<Box<tokio::time::Sleep>>>,
}

impl<S> TimedReader<S> {
    pub(crate) fn new(stream: S, head_state: HeadState, max_head_time: time::Duration) -> Self {
        Self {
            stream,
            head_state,
            max_head_time,
            timer: None,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TimedReader<S> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = pin::Pin::new(&mut self.stream).poll_read(cx, buf);
        if self.head_state.is_head_read() {
            self.timer = None;
            return polled;
        }
        if polled.is_ready() && buf.filled().len() > before && self.timer.is_none() {
            self.timer = Some(Box::pin(tokio::time::sleep(self.max_head_time)));
        }
        let timer = self.timer.as_mut();
        if timer.is_some_and(|timer| timer.as_mut().poll(cx).is_ready()) {
            let late = "the head of a request took too long";
            return task::Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, late)));
        }
        polled
    }
}
