//! Moves a run to another engine: its engine copies its KV cache to the other engine while the run goes on, and stops it
//! once that has room for it. The other engine continues the stream after the last event that the caller received.

use std::sync;
use std::sync::atomic;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::dialect;
use walnuthaven_lib::outcome;
use walnuthaven_lib::run_moves;

use crate::locks;
use crate::router::connection_pool;
use crate::router::context;
use crate::router::engine_reservation;
use crate::router::engine_stream;
use crate::router::events::event;
use crate::router::prefills;
use crate::router::send;
use crate::router::server_notices;
use crate::router::stopped_run;
use crate::router::stream_request;

/// Longest time for an engine to copy a run's KV cache, unless the run is stopped and the stream
/// depends on it: a copy of a gigabyte takes some milliseconds and queues behind other copies.
pub(super) const COPY_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// Maximum number of moves of one request. Each move pauses the caller's stream.
pub(crate) const MAX_MOVES: u32 = 3;
/// Time from the decision to stop a run until its engine would be asked to take it back.
const STOP_TIME: time::Duration = time::Duration::from_millis(200);
/// Time for an engine to report its state, and the age that the report may have.
const REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Pause before a run that no engine took is offered again.
const OFFER_PAUSE: time::Duration = time::Duration::from_millis(300);

/// A move in progress.
#[derive(Debug)]
pub(crate) struct RunMove<D: dialect::Dialect> {
    source: sync::Arc<backends::Backend>,
    target: sync::Arc<backends::Backend>,
    /// The capacity reserved on the target.
    reservation: engine_reservation::Reservation<D>,
    /// Whether the engine was told to stop the run, or the run has ended before that; whichever comes first sets it.
    is_decided: sync::Arc<atomic::AtomicBool>,
    /// Whether the run was stopped; `None` until that is known.
    stopped: tokio::sync::watch::Receiver<Option<bool>>,
    /// Copies the run's KV cache and stops it; yields an error if the run wasn't stopped.
    copy_task: tokio::task::JoinHandle<Result<Stopped<D>, NotStopped>>,
}

/// A run that was stopped.
#[derive(Debug)]
struct Stopped<D: dialect::Dialect> {
    kv_cache: prefills::KvHandle<D>,
    /// A connection to the target, if the KV cache was copied there; otherwise the source still has
    /// it.
    connection: Option<connection_pool::Connection>,
}

/// Why a run that was stopped isn't continued.
#[derive(Debug)]
pub(crate) enum MoveFailure {
    /// No engine continued it with its KV cache.
    Send(send::SendFailure),
    /// The engine that was to continue it was silent and was left for another one, which failed.
    /// Holds the cause.
    NotContinued(&'static str),
    /// It isn't known whether the run was stopped.
    Unanswered,
}

/// Why a run wasn't stopped.
#[derive(Debug)]
enum NotStopped {
    /// It goes on.
    Refused,
    /// The call that stops it wasn't answered.
    Unanswered,
}

/// Starts to move a run if it should leave its engine and another engine has capacity.
pub(crate) fn start<D: dialect::Dialect>(
    request: &mut stream_request::StreamRequest<D>,
    source: &sync::Arc<backends::Backend>,
    reservation: &engine_reservation::Reservation<D>,
) -> Option<RunMove<D>> {
    let cx = &request.cx;
    let now = cx.now();
    if !request.engines.can_move_runs || request.moves >= MAX_MOVES || now < request.may_move_at {
        return None;
    }
    let id = request.received.head.request_id.clone()?;
    let memory = request.engines.memory_tokens;
    if server_notices::is_paused(cx, source) {
        return None;
    }
    let engine_leaves = locks::lock(&cx.servers).is_leaving(&source.id);
    let (reason, ends_at) = {
        let load = locks::lock(&cx.engine_load);
        let reason = run_moves::reason(&load, &reservation.key, memory, engine_leaves, now)?;
        let remaining = run_moves::remaining_time(&load, &reservation.key, now);
        (reason, now + remaining)
    };
    let Some((reservation, target)) = request.reserve_for_move(std::slice::from_ref(&source.id))
    else {
        cx.telemetry.count("runs.nowhere_to_move");
        return None;
    };
    request.may_move_at = now + OFFER_PAUSE;
    let cx = &request.cx;
    cx.telemetry.count("runs.moved");
    event!(Info, "move", "id" => id, "from" => source.id, "to" => target.id,
        "from_version" => source.version, "to_version" => target.version, "reason" => format!("{reason:?}"), "tokens" => request.tokens_generated);
    let (stopped_tx, stopped) = tokio::sync::watch::channel(None);
    let is_decided = sync::Arc::new(atomic::AtomicBool::new(false));
    let copy_task = {
        let is_decided = is_decided.clone();
        let (cx, source, target) = (cx.clone(), source.clone(), target.clone());
        let ttl = request.engines.handle_ttl;
        // An engine that is silent meanwhile may still stop the run.
        let deadline = request.deadline;
        let tokens = request.need().prompt;
        async move {
            let offer = Offer {
                cx,
                source,
                target,
                id,
                tokens,
                ttl,
                is_decided,
            };
            let stopped = offer.copy_and_stop(deadline, ends_at).await;
            stopped_tx.send_replace(Some(stopped.is_ok()));
            stopped
        }
    };
    Some(RunMove {
        source: source.clone(),
        target,
        reservation,
        is_decided,
        stopped,
        copy_task: tokio::spawn(copy_task),
    })
}

/// A run that is to be moved.
struct Offer<D> {
    cx: sync::Arc<context::Router<D>>,
    source: sync::Arc<backends::Backend>,
    target: sync::Arc<backends::Backend>,
    /// The id of its request.
    id: sync::Arc<str>,
    /// Number of tokens in its KV cache.
    tokens: u32,
    /// How long engines keep a copy.
    ttl: time::Duration,
    /// As in [`RunMove`].
    is_decided: sync::Arc<atomic::AtomicBool>,
}

impl<D: dialect::Dialect> Offer<D> {
    /// Asks the engine to copy the run's KV cache while the run goes on, then to stop it and copy the rest. `ends_at` is
    /// when the run is predicted to end.
    ///
    /// # Errors
    ///
    /// Returns an error if the run wasn't stopped, or if that is unknown.
    async fn copy_and_stop(
        self,
        deadline: time::Duration,
        ends_at: time::Duration,
    ) -> Result<Stopped<D>, NotStopped> {
        let cx = &self.cx;
        if self.should_stay(ends_at).await {
            return Err(NotStopped::Refused);
        }
        let options = send::Options {
            deadline,
            repeatable: false,
            continues_run: false,
        };
        // Connects to the target first, so that the run isn't stopped for an engine that can't be
        // reached.
        let connection = send::get_connection(cx, &self.target, options).await;
        let connection = connection.map_err(|_| NotStopped::Refused)?;
        // Nor is it for one without room.
        let time_left = deadline.saturating_sub(cx.now());
        let copied = self
            .copy(dialect::RunCopy::KeepsRunning, time_left.min(COPY_TIMEOUT))
            .await;
        let (status, copy) = copied.ok_or(NotStopped::Refused)?;
        let copy = copy.filter(|_| status.is_success());
        let copy = copy.filter(|_| !server_notices::wants_none(cx, &self.target));
        let Some(mut copy) = copy else {
            return Err(self.record_refused(status));
        };
        if self.should_stay(ends_at).await {
            return Err(NotStopped::Refused);
        }
        if self.is_decided.swap(true, atomic::Ordering::Relaxed) {
            // The run has ended meanwhile.
            return Err(NotStopped::Refused);
        }
        let time_left = deadline.saturating_sub(cx.now());
        let stopped = self.copy(dialect::RunCopy::Stops, time_left).await;
        let (status, kv_cache) = stopped.ok_or(NotStopped::Unanswered)?;
        let Some(kv_cache) = kv_cache else {
            return Err(self.record_refused(status));
        };
        // The newer handle is that of the same copy.
        copy.fetched = true;
        Ok(Stopped {
            kv_cache,
            connection: status.is_success().then_some(connection),
        })
    }

    /// Returns whether the run stays on its engine: that couldn't take it back, and says that it serves until the run is
    /// predicted to end.
    async fn should_stay(&self, ends_at: time::Duration) -> bool {
        let (cx, source) = (&self.cx, &self.source);
        if server_notices::takes_back(cx, source, cx.now() + STOP_TIME) {
            return false;
        }
        let reported = send::call(cx, source, cx.dialect.report(), REPORT_TIMEOUT).await;
        let report = reported.ok();
        let report = report.and_then(|(_, body)| cx.dialect.read_report(&body));
        let serves_for = report.and_then(|report| report.leaves_in);
        let should_stay =
            serves_for.is_some_and(|serves_for| ends_at + REPORT_TIMEOUT < cx.now() + serves_for);
        if should_stay {
            event!(Info, "not-stopped", "id" => self.id, "server" => source.id,
                "cause" => "engine serves long enough");
        }
        should_stay
    }

    /// Logs that the run wasn't stopped, as one of the engines wouldn't have it moved.
    fn record_refused(&self, status: http::StatusCode) -> NotStopped {
        event!(Info, "move-refused", "id" => self.id, "from" => self.source.id,
            "to" => self.target.id, "status" => status.as_u16());
        NotStopped::Refused
    }

    /// Has the engine copy the run's KV cache. Returns the status of its answer and the handle that it holds, if any;
    /// `None` if there is no answer.
    async fn copy(
        &self,
        copy: dialect::RunCopy,
        timeout: time::Duration,
    ) -> Option<(http::StatusCode, Option<prefills::KvHandle<D>>)> {
        let (cx, source) = (&self.cx, &self.source);
        let call = cx.dialect.copy_run(&self.id, self.target.addr, copy);
        let (status, body) = match send::call(cx, source, call, timeout).await {
            Ok(answer) => answer,
            Err(error) => {
                event!(Info, "move-unanswered", "id" => self.id, "from" => source.id,
                    "copy" => format!("{copy:?}"), "cause" => error.to_string());
                return None;
            }
        };
        let kept_memory = cx.dialect.kept_memory(&body);
        let handle = kept_memory.map(|kept_memory| prefills::KvHandle {
            cx: cx.clone(),
            server: source.clone(),
            name: kept_memory.handle,
            created_at: cx.now(),
            ttl: self.ttl,
            id: self.id.clone(),
            tokens: self.tokens,
            fetched: false,
            of_run: true,
        });
        Some((status, handle))
    }
}

impl<D: dialect::Dialect> RunMove<D> {
    /// Returns whether the move has ended without stopping the run.
    pub(crate) fn has_failed(&self) -> bool {
        *self.stopped.borrow() == Some(false)
    }

    /// Returns whether the engine was told to stop the run.
    pub(crate) fn is_decided(&self) -> bool {
        self.is_decided.load(atomic::Ordering::Relaxed)
    }

    /// Gives the move up because the run's stream has ended, unless its engine was told to stop the run. Returns whether
    /// it was given up, so that the end is that of the run.
    pub(crate) fn give_up(&self) -> bool {
        !self.is_decided.swap(true, atomic::Ordering::Relaxed)
    }

    /// Waits until the run is stopped; forever if the move fails.
    pub(crate) async fn run_stopped(&self) {
        let mut stopped = self.stopped.clone();
        if stopped
            .wait_for(|stopped| *stopped == Some(true))
            .await
            .is_err()
        {
            // The run wasn't stopped and won't be.
            std::future::pending::<()>().await;
        }
    }

    /// Continues the run on an engine after its stream has ended. `source_reservation` is the run's reservation on
    /// the source. Returns `None` if the run wasn't stopped. Records each failed send.
    pub(crate) async fn finish(
        self,
        request: &mut stream_request::StreamRequest<D>,
        source_reservation: engine_reservation::Reservation<D>,
    ) -> Option<Result<engine_stream::OpenStream<D>, MoveFailure>> {
        // A stream that isn't sent again can only go on with the answer. The task neither panics nor is
        // cancelled.
        let after_break = request.decide_next(outcome::Outcome::BrokenMidway);
        let max_wait = match after_break == outcome::Next::SendAgain {
            true => COPY_TIMEOUT,
            false => request.deadline.saturating_sub(request.cx.now()),
        };
        let copied = tokio::time::timeout(max_wait, self.copy_task).await;
        let Ok(copied) = copied else {
            event!(Info, "move-unanswered", "from" => self.source.id, "cause" => "no answer in time");
            return Some(Err(MoveFailure::Unanswered));
        };
        let stopped = match copied.ok()? {
            Ok(stopped) => stopped,
            Err(NotStopped::Refused) => return None,
            Err(NotStopped::Unanswered) => return Some(Err(MoveFailure::Unanswered)),
        };
        request.moves += 1;
        // The engine that stopped the run lives.
        request.received.set_proven();
        let target = stopped.connection.map(|connection| stopped_run::Place {
            server: self.target,
            reservation: self.reservation,
            connection: Some(connection),
        });
        let source = stopped_run::Place {
            server: self.source,
            reservation: source_reservation,
            connection: None,
        };
        let run = stopped_run::StoppedRun::new(stopped.kv_cache, target, source);
        Some(run.resume(request).await)
    }
}
