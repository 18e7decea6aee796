//! Bounds what is read of a message, a server's answer or a caller's request, and for how long at a time.
//!
//! The HTTP library limits the size of one head, but reads interim responses, or the size of a chunk, for as long as they
//! come, and keeps the thread busy meanwhile.

use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use bytes::Buf as _;
use bytes::Bytes;
use bytes::BytesMut;
use http_body::Body;
use http_body_util::BodyExt as _;
use hyper::body;
use tokio::io::AsyncRead;
use tokio::io::ReadBuf;

use crate::pass_writes;

/// Buffers of the HTTP library that a peer may fill before the body of its message, or ahead of what is taken of the body.
const BUFFERS: usize = 4;
/// Bytes that a peer may send for each byte of the body, and for each part of it.
const BYTES_PER_BODY_BYTE: usize = 16;
const BYTES_PER_PART: usize = 64;
/// Bytes that are read on a connection before other tasks run.
const MAX_BYTES_AT_ONCE: usize = 64 * 1024;

/// How many further bytes may be read of the message on a connection.
#[derive(Clone, Debug)]
pub(crate) struct ReadLimit(sync::Arc<BytesLeft>);

#[derive(Debug)]
struct BytesLeft {
    left: atomic::AtomicUsize,
    max: usize,
}

impl ReadLimit {
    fn new(max: usize) -> Self {
        Self(sync::Arc::new(BytesLeft {
            left: atomic::AtomicUsize::new(max),
            max,
        }))
    }

    /// Starts to count anew: a request is sent, or the head of one was read.
    pub(crate) fn start(&self) {
        self.0.left.store(self.0.max, atomic::Ordering::Relaxed);
    }

    fn left(&self) -> usize {
        self.0.left.load(atomic::Ordering::Relaxed)
    }

    fn record_read(&self, bytes: usize) {
        let left = self.left().saturating_sub(bytes);
        self.0.left.store(left, atomic::Ordering::Relaxed);
    }

    /// Records that a part of the body was taken.
    fn record_part(&self, bytes: usize) {
        let allowed = bytes
            .saturating_mul(BYTES_PER_BODY_BYTE)
            .saturating_add(BYTES_PER_PART);
        let left = self.left().saturating_add(allowed).min(self.0.max);
        self.0.left.store(left, atomic::Ordering::Relaxed);
    }
}

/// The body of a message.
#[derive(Debug)]
pub(crate) struct LimitedBody {
    body: body::Incoming,
    limit: ReadLimit,
}

impl LimitedBody {
    pub(crate) fn new(body: body::Incoming, limit: ReadLimit) -> Self {
        Self { body, limit }
    }
}

impl Body for LimitedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Bytes>, hyper::Error>>> {
        let polled = pin::Pin::new(&mut self.body).poll_frame(cx);
        if let task::Poll::Ready(Some(Ok(frame))) = &polled {
            let bytes = frame.data_ref().map_or(0, |data| data.remaining());
            self.limit.record_part(bytes);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}

/// Why a body wasn't read to its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyFault {
    BrokeOff,
    TooLarge,
}

/// Returns the length that a body's head states, if it does.
pub(crate) fn stated_bytes<B: Body>(body: &B) -> Option<usize> {
    let stated = body.size_hint().exact()?;
    Some(usize::try_from(stated).unwrap_or(usize::MAX))
}

/// Reads a body of up to `max_bytes` bytes into one buffer, which begins with `capacity`. Its parts would each keep the buffer
/// alive that they were received in.
///
/// # Errors
///
/// Returns why the body wasn't read to its end.
pub(crate) async fn collect<B: Body<Data = Bytes> + Unpin>(
    body: &mut B,
    capacity: usize,
    max_bytes: usize,
) -> Result<Bytes, BodyFault> {
    let mut buf = BytesMut::with_capacity(capacity);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyFault::BrokeOff)?.into_data() else {
            continue;
        };
        if buf.len() + data.len() > max_bytes {
            return Err(BodyFault::TooLarge);
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}

/// A connection with such a limit.
#[derive(Debug)]
pub(crate) struct LimitedStream<S> {
    stream: S,
    limit: ReadLimit,
    /// Bytes that are read at a time.
    max_read: usize,
    /// Bytes that were read since other tasks ran.
    at_once: usize,
    /// Set when bytes arrive.
    heard: Option<sync::Arc<atomic::AtomicBool>>,
}

impl<S> LimitedStream<S> {
    /// Returns the connection and its limit. `max_buffer` is what the HTTP library buffers, and `heard` is set whenever
    /// bytes arrive. The library doubles its buffer whenever a read fills it, so that `max_read` limits that, too.
    pub(crate) fn new(
        stream: S,
        max_buffer: usize,
        max_read: usize,
        heard: Option<sync::Arc<atomic::AtomicBool>>,
    ) -> (Self, ReadLimit) {
        let limit = ReadLimit::new(max_buffer * BUFFERS);
        let limited = Self {
            stream,
            limit: limit.clone(),
            max_read,
            at_once: 0,
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
        if self.limit.left() == 0 {
            return task::Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        if self.at_once >= MAX_BYTES_AT_ONCE {
            self.at_once = 0;
            cx.waker().wake_by_ref();
            return task::Poll::Pending;
        }
        let filled = buf.filled().len();
        let max_read = self.max_read;
        let polled = poll_read_part(&mut self.stream, cx, buf, max_read);
        let read = buf.filled().len() - filled;
        if let Some(heard) = self.heard.as_ref().filter(|_| read > 0) {
            heard.store(true, atomic::Ordering::Relaxed);
        }
        self.limit.record_read(read);
        self.at_once = match polled.is_pending() {
            true => 0,
            false => self.at_once + read,
        };
        polled
    }
}

/// Reads at most `max` bytes.
pub(crate) fn poll_read_part<S: AsyncRead + Unpin>(
    stream: &mut S,
    cx: &mut task::Context<'_>,
    buf: &mut ReadBuf<'_>,
    max: usize,
) -> task::Poll<io::Result<()>> {
    if buf.remaining() <= max {
        return pin::Pin::new(stream).poll_read(cx, buf);
    }
    let mut part = ReadBuf::new(buf.initialize_unfilled_to(max));
    let polled = pin::Pin::new(stream).poll_read(cx, &mut part);
    let read = part.filled().len();
    buf.advance(read);
    polled
}

pass_writes::pass_writes!([S] LimitedStream<S>);
