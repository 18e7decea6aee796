//! Bounds what is read of a server's answer before its head is complete.
//!
//! The HTTP library limits the size of one head, but reads interim responses for as long as they come, and keeps
//! the thread busy meanwhile.

use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Bytes that a server may send before the head of its answer is complete.
const MAX_BYTES: usize = 512 * 1024;
/// No limit.
const UNLIMITED: usize = usize::MAX;

/// How much may be read on a connection until the head of the next answer is complete.
#[derive(Clone, Debug)]
pub(super) struct HeadLimit(sync::Arc<atomic::AtomicUsize>);

impl HeadLimit {
    /// Starts to count: a request is sent.
    pub(super) fn start(&self) {
        self.0.store(MAX_BYTES, atomic::Ordering::Relaxed);
    }

    /// Lifts the limit: the head has arrived.
    pub(super) fn lift(&self) {
        self.0.store(UNLIMITED, atomic::Ordering::Relaxed);
    }
}

/// A connection with such a limit.
#[derive(Debug)]
pub(super) struct LimitedStream<S> {
    stream: S,
    limit: HeadLimit,
    /// Set when bytes arrive.
    heard: Option<sync::Arc<atomic::AtomicBool>>,
}

impl<S> LimitedStream<S> {
    /// Returns the connection and its limit, which isn't in force yet. `heard` is set whenever bytes arrive.
    pub(super) fn new(
        stream: S,
        heard: Option<sync::Arc<atomic::AtomicBool>>,
    ) -> (Self, HeadLimit) {
        let limit = HeadLimit(sync::Arc::new(atomic::AtomicUsize::new(UNLIMITED)));
        let limited = Self {
            stream,
            limit: limit.clone(),
            heard,
        };
        (limited, limit)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedStream<S> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let left = self.limit.0.load(atomic::Ordering::Relaxed);
        if left == 0 {
            return task::Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let filled = buf.filled().len();
        let polled = pin::Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len() - filled;
        if let Some(heard) = self.heard.as_ref().filter(|_| read > 0) {
            heard.store(true, atomic::Ordering::Relaxed);
        }
        if left != UNLIMITED {
            let left = left.saturating_sub(read);
            self.limit.0.store(left, atomic::Ordering::Relaxed);
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedStream<S> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
