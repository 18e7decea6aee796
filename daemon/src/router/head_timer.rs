//! A bound on the time for the head of a request.
//!
//! The HTTP library's own bound starts with the end of the answer before and so holds for idle
//! connections; this one starts with the first byte of a head.

use std::future::Future as _;
use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use http_body::Body;
use tokio::io::AsyncRead;

/// Whether a connection's requests are at their heads or past them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Phase(sync::Arc<atomic::AtomicBool>);

impl Phase {
    /// Notes that the head of a request was read.
    pub(crate) fn head_read(&self) {
        self.0.store(true, atomic::Ordering::Relaxed);
    }

    /// Notes that a request was answered: the next bytes belong to another head.
    fn answered(&self) {
        self.0.store(false, atomic::Ordering::Relaxed);
    }

    fn is_past_head(&self) -> bool {
        self.0.load(atomic::Ordering::Relaxed)
    }
}

/// The body of an answer. When it is dropped, the answer has been sent.
#[derive(Debug)]
pub(crate) struct Answering<B> {
    body: B,
    phase: Phase,
}

impl<B> Answering<B> {
    pub(crate) fn new(body: B, phase: Phase) -> Self {
        Self { body, phase }
    }
}

impl<B> Drop for Answering<B> {
    fn drop(&mut self) {
        self.phase.answered();
    }
}

impl<B: Body + Unpin> Body for Answering<B> {
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

/// The reading side of a stream, which fails when a head takes too long.
#[derive(Debug)]
pub(crate) struct Timed<S> {
    stream: S,
    phase: Phase,
    longest: time::Duration,
    /// Set from the first byte of a head to its end.
    running: Option<pin::Pin<Box<tokio::time::Sleep>>>,
}

impl<S> Timed<S> {
    pub(crate) fn new(stream: S, phase: Phase, longest: time::Duration) -> Self {
        Self {
            stream,
            phase,
            longest,
            running: None,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Timed<S> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = pin::Pin::new(&mut self.stream).poll_read(cx, buf);
        if self.phase.is_past_head() {
            self.running = None;
            return polled;
        }
        if polled.is_ready() && buf.filled().len() > before && self.running.is_none() {
            self.running = Some(Box::pin(tokio::time::sleep(self.longest)));
        }
        let running = self.running.as_mut();
        if running.is_some_and(|running| running.as_mut().poll(cx).is_ready()) {
            let late = "the head of a request took too long";
            return task::Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, late)));
        }
        polled
    }
}
