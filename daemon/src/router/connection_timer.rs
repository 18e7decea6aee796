//! Limits how long a caller's connection may be idle, and how long the caller may take to send the head
//! of a request.
//!
//! The HTTP library's own limit covers both times together, and is the same for as long as a connection
//! is open. These limits are looked up for each request, so that a change of the configuration applies
//! to connections that are open already.

use std::future::Future as _;
use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use futures_util::task as futures_task;
use http_body::Body;
use tokio::io::AsyncRead;
use walnuthaven_lib::load_shedding;
use walnuthaven_lib::outcome;

use crate::locks;
use crate::pass_writes;
use crate::router::clients;
use crate::router::stream_progress;

/// Whether the current request's head has been read on a connection. Shared by the connection's two
/// sides and its responses.
#[derive(Clone, Debug)]
pub(crate) struct HeadState(sync::Arc<SharedHeadState>);

#[derive(Debug)]
struct SharedHeadState {
    /// The connection, as far as it matters for what it holds.
    client: clients::Client,
    is_head_read: atomic::AtomicBool,
    /// Whether bytes were written since the reading side last looked.
    has_written: atomic::AtomicBool,
    /// Wakes the reading side once the response was sent or a part of it written, so that it measures the idle time.
    reader: futures_task::AtomicWaker,
    /// Whether the current request's answer was made.
    is_answer_made: atomic::AtomicBool,
    /// The newest request, for the log of the host's end.
    newest: sync::Mutex<Option<OpenRequest>>,
}

/// A request that was read on a connection.
#[derive(Clone, Debug)]
pub(crate) struct OpenRequest {
    /// Its id, if it has a readable one.
    pub(crate) id: Option<sync::Arc<str>>,
    /// When it arrived, as time since boot.
    pub(crate) arrived: time::Duration,
    /// Its attempts so far.
    pub(crate) attempts: sync::Arc<outcome::Attempts>,
    /// How far its stream is, if the answer is one.
    pub(crate) progress: sync::Arc<stream_progress::StreamProgress>,
}

/// How far the answer to a connection's newest request is.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum AnswerState {
    /// There is no answer yet.
    None,
    /// Its head was made, and it is being passed on.
    Begun,
    /// All of it was made. The caller may not have read all of it.
    Made,
}

impl HeadState {
    pub(crate) fn new(client: clients::Client) -> Self {
        Self(sync::Arc::new(SharedHeadState {
            client,
            is_head_read: atomic::AtomicBool::new(false),
            has_written: atomic::AtomicBool::new(false),
            reader: futures_task::AtomicWaker::new(),
            is_answer_made: atomic::AtomicBool::new(false),
            newest: sync::Mutex::new(None),
        }))
    }

    /// Returns the connection, as far as it matters for what it holds.
    pub(crate) fn client(&self) -> &clients::Client {
        &self.0.client
    }

    /// Records that the head of a request was read, which stops the timer.
    pub(crate) fn set_head_read(&self) {
        self.0
            .is_answer_made
            .store(false, atomic::Ordering::Relaxed);
        self.0.is_head_read.store(true, atomic::Ordering::Relaxed);
    }

    /// Records that the request is handled from now on. One that was sent ahead isn't before the answer to the one
    /// before it has left.
    pub(crate) fn set_handled(&self) {
        self.0.client.enter(load_shedding::Phase::Served);
    }

    /// Records which request was read.
    pub(crate) fn set_request(&self, request: OpenRequest) {
        *locks::lock(&self.0.newest) = Some(request);
    }

    /// Returns the newest request and how far its answer is; `None` if there was none.
    pub(crate) fn newest(&self) -> Option<(OpenRequest, AnswerState)> {
        let request = locks::lock(&self.0.newest).clone()?;
        let is_answer_made = self.0.is_answer_made.load(atomic::Ordering::Relaxed);
        let state = match (self.is_head_read(), is_answer_made) {
            (true, false) => AnswerState::None,
            (true, true) => AnswerState::Begun,
            (false, _) => AnswerState::Made,
        };
        Some((request, state))
    }

    /// Records that the response was sent: the next bytes belong to the head of another request.
    fn set_answered(&self) {
        self.0.client.release_head();
        self.0.client.enter(load_shedding::Phase::Waiting);
        self.0.is_head_read.store(false, atomic::Ordering::Relaxed);
        self.0.reader.wake();
    }

    fn is_head_read(&self) -> bool {
        self.0.is_head_read.load(atomic::Ordering::Relaxed)
    }

    /// Returns whether bytes were written since the last call.
    fn take_written(&self) -> bool {
        self.0.has_written.swap(false, atomic::Ordering::Relaxed)
    }

    fn is_blocked(&self) -> bool {
        self.0.client.is_blocked()
    }
}

/// A response body that resets the connection's [`HeadState`] when it is dropped, as the response
/// has been sent by then.
#[derive(Debug)]
pub(crate) struct TrackedBody<B> {
    body: B,
    head_state: HeadState,
    progress: Option<sync::Arc<stream_progress::StreamProgress>>,
}

impl<B> TrackedBody<B> {
    pub(crate) fn new(body: B, head_state: HeadState) -> Self {
        head_state.0.client.enter(load_shedding::Phase::Answer);
        head_state
            .0
            .is_answer_made
            .store(true, atomic::Ordering::Relaxed);
        let progress = locks::lock(&head_state.0.newest)
            .as_ref()
            .map(|request| request.progress.clone());
        Self {
            body,
            head_state,
            progress,
        }
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
        let polled = pin::Pin::new(&mut self.body).poll_frame(cx);
        if let (task::Poll::Ready(Some(Ok(frame))), Some(progress)) = (&polled, &self.progress) {
            progress.count_taken(frame.data_ref().map_or(0, bytes::Buf::remaining));
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

/// Time from the end of a limit to the last read. If the host itself was late, the runtime may run timers
/// before it learns of bytes that arrived in time.
const LAST_READ_DELAY: time::Duration = time::Duration::from_millis(10);

/// Longest time in which a caller takes nothing of an answer that is being written.
const MAX_WRITE_PAUSE: time::Duration = time::Duration::from_secs(60);

/// Limits on the time that a caller may take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimeLimits {
    /// Longest time until the first byte of a request.
    pub(crate) idle: time::Duration,
    /// Longest time from the first byte of a request's head to its end.
    pub(crate) head: time::Duration,
}

/// A time in which the caller has sent nothing.
#[derive(Debug)]
struct Wait {
    since: tokio::time::Instant,
    limit: time::Duration,
    /// Whether the limit has passed, and the connection is read once more.
    is_over: bool,
}

/// The reading side of a connection. Reads fail once the connection has been idle for too long, or the
/// head of a request has taken too long.
#[derive(Debug)]
pub(crate) struct TimedReader<S, F> {
    stream: S,
    head_state: HeadState,
    /// Returns the limits in force.
    limits: F,
    /// Whether a part of the next request's head was read.
    head_begun: bool,
    /// The idle time, or the time of the head if it has begun. `None` while a request is answered.
    wait: Option<Wait>,
    timer: Option<pin::Pin<Box<tokio::time::Sleep>>>,
}

impl<S, F: Fn() -> TimeLimits> TimedReader<S, F> {
    pub(crate) fn new(stream: S, head_state: HeadState, limits: F) -> Self {
        Self {
            stream,
            head_state,
            limits,
            head_begun: false,
            wait: None,
            timer: None,
        }
    }

    /// Returns the limit in force for what the caller is to send next.
    fn limit(&self) -> time::Duration {
        let limits = (self.limits)();
        match self.head_begun {
            true => limits.head,
            false if self.head_state.is_blocked() => limits.idle.max(MAX_WRITE_PAUSE),
            false => limits.idle,
        }
    }

    /// Waits until the limit is exceeded. A limit that was lowered in the meantime applies from the next
    /// wait on, as the caller may not know of it yet.
    fn poll_limit(&mut self, cx: &mut task::Context<'_>) -> task::Poll<()> {
        let limit = self.limit();
        let is_new = self.wait.is_none();
        let wait = self.wait.get_or_insert_with(|| Wait {
            since: tokio::time::Instant::now(),
            limit,
            is_over: false,
        });
        let deadline = wait.since + wait.limit;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline)));
        if is_new {
            timer.as_mut().reset(deadline);
        }
        while timer.as_mut().poll(cx).is_ready() {
            if limit > wait.limit {
                wait.limit = limit;
                wait.is_over = false;
                timer.as_mut().reset(wait.since + limit);
            } else if wait.is_over {
                return task::Poll::Ready(());
            } else {
                wait.is_over = true;
                timer
                    .as_mut()
                    .reset(tokio::time::Instant::now() + LAST_READ_DELAY);
            }
        }
        task::Poll::Pending
    }
}

/// The writing side of a connection. A connection isn't idle while its caller takes an answer: that has been handed
/// to the connection long before the last byte is written if the caller reads it slowly.
#[derive(Debug)]
pub(crate) struct TrackedWriter<S> {
    stream: S,
    head_state: HeadState,
}

impl<S> TrackedWriter<S> {
    pub(crate) fn new(stream: S, head_state: HeadState) -> Self {
        Self { stream, head_state }
    }

    /// Records what a write did.
    fn record(&self, polled: task::Poll<io::Result<usize>>) -> task::Poll<io::Result<usize>> {
        let shared = &self.head_state.0;
        match polled {
            task::Poll::Ready(Ok(1..)) => {
                shared.has_written.store(true, atomic::Ordering::Relaxed);
                if shared.client.set_blocked(false) {
                    shared.reader.wake();
                }
            }
            task::Poll::Ready(_) => {}
            task::Poll::Pending => {
                shared.client.set_blocked(true);
            }
        }
        polled
    }
}

pass_writes::pass_writes!([S] TrackedWriter<S>, |writer, _, polled| writer.record(polled));

impl<S, F> AsyncRead for TimedReader<S, F>
where
    S: AsyncRead + Unpin,
    F: Fn() -> TimeLimits + Unpin,
{
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buf.filled().len();
        let is_head_read = self.head_state.is_head_read();
        let may_read = is_head_read || self.head_state.client().may_read();
        let polled = match may_read {
            true => pin::Pin::new(&mut self.stream).poll_read(cx, buf),
            false => {
                // Connections are being closed, which takes a moment.
                cx.waker().wake_by_ref();
                task::Poll::Pending
            }
        };
        if is_head_read {
            self.head_begun = false;
            self.wait = None;
            self.head_state.0.reader.register(cx.waker());
            return polled;
        }
        if polled.is_ready() {
            let read = buf.filled().len() - before;
            self.head_state.client().add_head(read);
            if read > 0 && !self.head_begun {
                self.head_begun = true;
                self.wait = None;
                let client = self.head_state.client();
                client.enter(load_shedding::Phase::Head);
            }
            // What has arrived is read even if it is late.
            return polled;
        }
        self.head_state.0.reader.register(cx.waker());
        if self.head_state.take_written() && !self.head_begun {
            self.wait = None;
        }
        if self.poll_limit(cx).is_ready() {
            let late = match self.head_begun {
                true => "the head of a request took too long",
                false => "the connection was idle for too long",
            };
            return task::Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, late)));
        }
        polled
    }
}
