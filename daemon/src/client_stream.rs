//! Connections of callers, as far as it matters for what they hold: HTTP/1.1 and HTTP/2.

use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use bytes::Bytes;
use http_body::Body;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use walnuthaven_lib::load_shedding;
use walnuthaven_lib::refusal;

use crate::locks;
use crate::router::clients;

/// Retry-After when there is no memory for a body.
const NO_MEMORY_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);
/// The parts of a body are copied into one buffer once all have come.
const BODY_COPIES: usize = 2;
/// Memory that a part of a body takes besides its bytes. It may be a byte long.
const PART_BYTES: usize = 128;

/// Returns whether a body couldn't be read because there is no memory for it.
pub(crate) fn is_out_of_memory(error: &(dyn std::error::Error + 'static)) -> bool {
    let mut next = Some(error);
    while let Some(error) = next {
        let kind = error.downcast_ref::<io::Error>().map(io::Error::kind);
        if kind == Some(io::ErrorKind::OutOfMemory) {
            return true;
        }
        next = error.source();
    }
    false
}

/// Returns the refusal of a request for whose body there is no memory.
pub(crate) fn no_memory() -> refusal::Refusal {
    let message = "no memory for the body";
    refusal::Refusal::not_run(refusal::Code::Unavailable, message)
        .with_retry_after(NO_MEMORY_RETRY_AFTER)
}

/// The calls of a connection.
#[derive(Clone, Debug)]
pub(crate) struct Calls(sync::Arc<SharedCalls>);

#[derive(Debug)]
struct SharedCalls {
    client: clients::Client,
    /// Bytes of heads that the HTTP library may hold.
    max_head: usize,
    /// Calls without a response yet, and those of them whose body isn't received yet.
    open: atomic::AtomicUsize,
    receiving: atomic::AtomicUsize,
}

impl Calls {
    pub(crate) fn new(client: clients::Client, max_head: usize) -> Self {
        Self(sync::Arc::new(SharedCalls {
            client,
            max_head,
            open: atomic::AtomicUsize::new(0),
            receiving: atomic::AtomicUsize::new(0),
        }))
    }

    /// Returns the connection.
    pub(crate) fn client(&self) -> &clients::Client {
        &self.0.client
    }

    /// Counts a call until the returned value is dropped.
    pub(crate) fn start(&self) -> Call {
        self.0.open.fetch_add(1, atomic::Ordering::Relaxed);
        self.0.receiving.fetch_add(1, atomic::Ordering::Relaxed);
        self.update_phase();
        Call {
            calls: self.clone(),
            held: sync::Arc::default(),
        }
    }

    fn has_open(&self) -> bool {
        self.0.open.load(atomic::Ordering::Relaxed) > 0
    }

    fn update_phase(&self) {
        let open = self.0.open.load(atomic::Ordering::Relaxed);
        let receiving = self.0.receiving.load(atomic::Ordering::Relaxed);
        self.0.client.enter(match open {
            0 => load_shedding::Phase::Waiting,
            open if open > receiving => load_shedding::Phase::Served,
            _ => load_shedding::Phase::Body,
        });
    }
}

/// A call, with the memory of its body.
#[derive(Debug)]
pub(crate) struct Call {
    calls: Calls,
    held: sync::Arc<sync::Mutex<Vec<clients::Held>>>,
}

impl Call {
    /// Returns a body that counts as held by the connection until the call ends.
    pub(crate) fn count_body<B>(&self, body: B) -> CountedBody<B> {
        CountedBody {
            body,
            calls: self.calls.clone(),
            held: self.held.clone(),
        }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.calls.0.open.fetch_sub(1, atomic::Ordering::Relaxed);
        self.calls.update_phase();
        if !self.calls.has_open() {
            self.calls.0.client.release_head();
        }
    }
}

/// The body of a call. It fails if there is no memory for it.
#[derive(Debug)]
pub(crate) struct CountedBody<B> {
    body: B,
    calls: Calls,
    held: sync::Arc<sync::Mutex<Vec<clients::Held>>>,
}

impl<B> Drop for CountedBody<B> {
    fn drop(&mut self) {
        let receiving = &self.calls.0.receiving;
        receiving.fetch_sub(1, atomic::Ordering::Relaxed);
        self.calls.update_phase();
    }
}

impl<B> Body for CountedBody<B>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    type Data = Bytes;
    type Error = Box<dyn std::error::Error + Send + Sync>;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Bytes>, Self::Error>>> {
        let polled = pin::Pin::new(&mut self.body).poll_frame(cx);
        let polled = polled.map_err(Into::into);
        if let task::Poll::Ready(Some(Ok(frame))) = &polled
            && let Some(data) = frame.data_ref()
        {
            let bytes = data.len() * BODY_COPIES + PART_BYTES;
            match self.calls.0.client.try_hold(bytes) {
                Some(held) => locks::lock(&self.held).push(held),
                None => {
                    let error = io::Error::from(io::ErrorKind::OutOfMemory);
                    return task::Poll::Ready(Some(Err(error.into())));
                }
            }
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

/// A connection whose heads count as held, and that records whether its caller takes what is sent.
#[derive(Debug)]
pub(crate) struct ClientStream<S> {
    stream: S,
    calls: Calls,
    /// Bytes that were counted since the last call.
    head: usize,
}

impl<S> ClientStream<S> {
    pub(crate) fn new(stream: S, calls: Calls) -> Self {
        Self {
            stream,
            calls,
            head: 0,
        }
    }

    fn record_write<T>(&self, polled: task::Poll<T>) -> task::Poll<T> {
        self.calls.client().set_blocked(polled.is_pending());
        polled
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ClientStream<S> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let has_open = self.calls.has_open();
        if !has_open && !self.calls.client().may_read() {
            // Connections are being closed, which takes a moment.
            cx.waker().wake_by_ref();
            return task::Poll::Pending;
        }
        let before = buf.filled().len();
        let polled = pin::Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        if has_open {
            self.head = 0;
        } else if read > 0 {
            if self.head == 0 {
                let client = self.calls.client();
                client.enter(load_shedding::Phase::Head);
            }
            let counted = read.min(self.calls.0.max_head.saturating_sub(self.head));
            self.calls.client().add_head(counted);
            self.head += read;
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ClientStream<S> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let polled = pin::Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(polled)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let polled = pin::Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
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
}
