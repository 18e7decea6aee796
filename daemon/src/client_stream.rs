//! Connections of callers, as far as it matters for what they hold: HTTP/1.1 and HTTP/2.

use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt as _;
use tokio::io::AsyncRead;
use walnuthaven_lib::load_shedding;
use walnuthaven_lib::refusal;

use crate::pass_writes;
use crate::router::clients;
use crate::router::read_limit;

/// Bytes that are read at a time, a little less than the HTTP library's smallest buffer, which doubles when a read fills it.
const MAX_READ: usize = 8 * 1024 - 1;
/// Bytes of bodies that an HTTP/2 connection takes before they are read: the least that the protocol allows.
pub(crate) const HTTP2_WINDOW_BYTES: u32 = 65_535;
/// A body that is too long is read up to this many times the limit.
const MAX_DISCARDED: usize = 4;
/// Retry-After when there is no memory for a body.
const NO_MEMORY_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

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
    /// Bytes that were received while calls were open, up to [`HTTP2_WINDOW_BYTES`], and not read as bodies. Zero on
    /// connections that carry one call at a time.
    buffered: atomic::AtomicUsize,
    is_multiplexed: atomic::AtomicBool,
}

impl Drop for SharedCalls {
    fn drop(&mut self) {
        self.client.release_buffered(*self.buffered.get_mut());
    }
}

impl Calls {
    pub(crate) fn new(client: clients::Client, max_head: usize) -> Self {
        Self(sync::Arc::new(SharedCalls {
            client,
            max_head,
            open: atomic::AtomicUsize::new(0),
            receiving: atomic::AtomicUsize::new(0),
            buffered: atomic::AtomicUsize::new(0),
            is_multiplexed: atomic::AtomicBool::new(false),
        }))
    }

    /// Returns the connection.
    pub(crate) fn client(&self) -> &clients::Client {
        &self.0.client
    }

    /// Counts a call until the returned value is dropped. `is_multiplexed` states whether the connection carries several
    /// calls at a time.
    pub(crate) fn start(&self, is_multiplexed: bool) -> Call {
        self.0
            .is_multiplexed
            .store(is_multiplexed, atomic::Ordering::Relaxed);
        self.0.open.fetch_add(1, atomic::Ordering::Relaxed);
        self.0.receiving.fetch_add(1, atomic::Ordering::Relaxed);
        self.update_phase();
        Call {
            calls: self.clone(),
        }
    }

    fn has_open(&self) -> bool {
        self.0.open.load(atomic::Ordering::Relaxed) > 0
    }

    /// Counts bytes that the HTTP library keeps until they are read as bodies.
    fn add_buffered(&self, bytes: usize) {
        if !self.0.is_multiplexed.load(atomic::Ordering::Relaxed) {
            return;
        }
        let mut counted = 0;
        self.update_buffered(|buffered| {
            counted = bytes.min((HTTP2_WINDOW_BYTES as usize).saturating_sub(buffered));
            buffered + counted
        });
        self.0.client.add_buffered(counted);
    }

    /// Ends to count bytes of bodies that were read.
    fn release_buffered(&self, bytes: usize) {
        let mut released = 0;
        self.update_buffered(|buffered| {
            released = bytes.min(buffered);
            buffered - released
        });
        self.0.client.release_buffered(released);
    }

    /// Calls of one connection run in several threads.
    fn update_buffered(&self, mut update: impl FnMut(usize) -> usize) {
        let buffered = &self.0.buffered;
        let order = atomic::Ordering::Relaxed;
        // This only fails if `update` returns `None`.
        let _ = buffered.fetch_update(order, order, |bytes| Some(update(bytes)));
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

/// A call of a connection.
#[derive(Debug)]
pub(crate) struct Call {
    calls: Calls,
}

impl Drop for Call {
    fn drop(&mut self) {
        self.calls.0.open.fetch_sub(1, atomic::Ordering::Relaxed);
        self.calls.update_phase();
        if !self.calls.has_open() {
            self.calls.release_buffered(usize::MAX);
            self.calls.0.client.release_head();
        }
    }
}

/// Counts a body as being received until it is dropped.
struct Receiving<'a>(&'a Calls);

impl Drop for Receiving<'_> {
    fn drop(&mut self) {
        let receiving = &self.0.0.receiving;
        receiving.fetch_sub(1, atomic::Ordering::Relaxed);
        self.0.update_phase();
    }
}

impl Call {
    /// Reads the body of the call. Returns it with the memory that it holds.
    ///
    /// # Errors
    ///
    /// Refuses a body that is longer than `max_bytes` or cut off, and one that there is no memory for.
    pub(crate) async fn read_body<B>(
        &self,
        mut body: B,
        max_bytes: usize,
    ) -> Result<(Bytes, clients::Held), refusal::Refusal>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let _receiving = Receiving(&self.calls);
        let stated = read_limit::stated_bytes(&body).unwrap_or(max_bytes);
        if stated > max_bytes {
            discard(body, max_bytes).await;
            return Err(too_large(max_bytes));
        }
        let held = self.calls.client().reserve(stated).await;
        let held = held.ok_or_else(no_memory)?;
        match read_limit::collect(&mut body, stated, max_bytes).await {
            Ok(data) => {
                self.calls.release_buffered(data.len());
                Ok((data, held))
            }
            Err(read_limit::BodyFault::BrokeOff) => Err(cut_off()),
            Err(read_limit::BodyFault::TooLarge) => {
                drop(held);
                discard(body, max_bytes).await;
                Err(too_large(max_bytes))
            }
        }
    }
}

/// Reads a body that is too long without keeping it, as a caller that is still sending may not read the refusal. Stops after
/// a few times `max_bytes`.
async fn discard<B: Body<Data = Bytes> + Unpin>(mut body: B, max_bytes: usize) {
    let mut left = max_bytes.saturating_mul(MAX_DISCARDED);
    while let Some(Ok(frame)) = body.frame().await {
        let bytes = frame.data_ref().map_or(0, Bytes::len);
        left = left.saturating_sub(bytes);
        if left == 0 {
            return;
        }
    }
}

fn cut_off() -> refusal::Refusal {
    refusal::Refusal::not_run(refusal::Code::BadRequest, "the body was cut off")
}

fn too_large(limit: usize) -> refusal::Refusal {
    let message = format!("the body exceeds {limit} bytes");
    refusal::Refusal::not_run(refusal::Code::TooLarge, message)
}

fn no_memory() -> refusal::Refusal {
    let message = "no memory for the body";
    refusal::Refusal::not_run(refusal::Code::Unavailable, message)
        .with_retry_after(NO_MEMORY_RETRY_AFTER)
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

    fn record_write(&self, polled: task::Poll<io::Result<usize>>) -> task::Poll<io::Result<usize>> {
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
        let polled = read_limit::poll_read_part(&mut self.stream, cx, buf, MAX_READ);
        let read = buf.filled().len() - before;
        if has_open {
            self.head = 0;
            self.calls.add_buffered(read);
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

pass_writes::pass_writes!([S] ClientStream<S>, |stream, _, polled| stream.record_write(polled));
