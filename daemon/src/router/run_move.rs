//! A run's way to another engine: the engine stops it and copies its memory, and the other one goes on
//! after the last event that the caller got.

use std::sync;
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
use crate::router::stream_request;

/// Longest time for an engine to stop a run and copy its memory: a copy of a gigabyte takes some
/// milliseconds and queues behind others.
const COPY: time::Duration = time::Duration::from_millis(1_000);
/// Most moves of one request; each costs its caller a pause.
pub(crate) const MOST_MOVES: u32 = 3;

/// A move in progress.
#[derive(Debug)]
pub(crate) struct RunMove<D: dialect::Dialect> {
    source: sync::Arc<backends::Backend>,
    target: sync::Arc<backends::Backend>,
    seat: engine_reservation::Reservation<D>,
    /// Whether the run was stopped, once that is known.
    outcome: tokio::sync::watch::Receiver<Option<bool>>,
    copying: tokio::task::JoinHandle<Option<Copied<D>>>,
}

/// A run that was stopped.
#[derive(Debug)]
struct Copied<D: dialect::Dialect> {
    memory: prefills::KvHandle<D>,
    /// A connection to the engine that has the copy; without one the memory is still at its source.
    connection: Option<connection_pool::Connection>,
}

/// Starts to move a run if it should leave its engine and another one has room.
pub(crate) fn start<D: dialect::Dialect>(
    journey: &mut stream_request::StreamRequest<D>,
    source: &sync::Arc<backends::Backend>,
    seat: &engine_reservation::Reservation<D>,
) -> Option<RunMove<D>> {
    if !journey.engines.can_move_runs || journey.moves >= MOST_MOVES {
        return None;
    }
    let id = journey.req.head.request_id.clone()?;
    let cx = &journey.cx;
    let now = cx.now();
    let memory = journey.engines.memory_tokens;
    let leaves = locks::lock(&cx.servers).is_leaving(&source.id);
    let reason = {
        let room = locks::lock(&cx.engine_load);
        run_moves::reason(&room, &seat.key, memory, leaves, now)?
    };
    let Some((seat, target)) = journey.seat_for_move(&source.id) else {
        cx.telemetry.count("runs.nowhere_to_move");
        return None;
    };
    journey.moves += 1;
    let cx = &journey.cx;
    cx.telemetry.count("runs.moved");
    event!(Info, "move", "id" => id, "from" => source.id, "to" => target.id,
        "reason" => format!("{reason:?}"), "tokens" => journey.made);
    let call = cx.dialect.stop_and_copy(&id, target.addr);
    let (told, outcome) = tokio::sync::watch::channel(None);
    let copying = {
        let (cx, source, target) = (cx.clone(), source.clone(), target.clone());
        let ttl = journey.engines.handle_ttl;
        async move {
            let copied = copy(cx, source, target, call, ttl).await;
            told.send_replace(Some(copied.is_some()));
            copied
        }
    };
    Some(RunMove {
        source: source.clone(),
        target,
        seat,
        outcome,
        copying: tokio::spawn(copying),
    })
}

/// Has an engine stop a run and copy its memory. Returns `None` if the run wasn't stopped, or nothing
/// is known of it.
async fn copy<D: dialect::Dialect>(
    cx: sync::Arc<context::Router<D>>,
    source: sync::Arc<backends::Backend>,
    target: sync::Arc<backends::Backend>,
    call: dialect::Call,
    ttl: time::Duration,
) -> Option<Copied<D>> {
    let options = send::Options {
        until: cx.now() + COPY,
        repeatable: false,
    };
    // Opened first, so that the run isn't stopped for an engine that is gone.
    let connection = send::open(&cx, &target, options).await.ok()?;
    let (status, body) = match send::call(&cx, &source, call, COPY).await {
        Ok(answer) => answer,
        Err(error) => {
            event!(Info, "move-unanswered", "from" => source.id, "cause" => error.to_string());
            return None;
        }
    };
    let kept = cx.dialect.kept_memory(&body);
    let Some(kept) = kept else {
        event!(Info, "move-refused", "from" => source.id, "status" => status.as_u16());
        return None;
    };
    let memory = prefills::KvHandle {
        made_at: cx.now(),
        cx,
        server: source,
        name: kept.handle,
        ttl,
        taken: false,
    };
    Some(Copied {
        memory,
        connection: status.is_success().then_some(connection),
    })
}

impl<D: dialect::Dialect> RunMove<D> {
    /// Returns whether the copy has ended without stopping the run.
    pub(crate) fn has_failed(&self) -> bool {
        *self.outcome.borrow() == Some(false)
    }

    /// Waits until the run was stopped.
    pub(crate) async fn stopped(&self) {
        let mut outcome = self.outcome.clone();
        if outcome
            .wait_for(|stopped| *stopped == Some(true))
            .await
            .is_err()
        {
            // It wasn't and won't be.
            std::future::pending::<()>().await;
        }
    }

    /// Goes on after the stream of the stopped run has ended. `old` is the run's room at its engine.
    /// Returns `None` if the run wasn't stopped.
    pub(crate) async fn finish(
        self,
        journey: &mut stream_request::StreamRequest<D>,
        old: engine_reservation::Reservation<D>,
    ) -> Option<Result<engine_stream::OpenStream<D>, send::Unanswered>> {
        // The task neither panics nor is cancelled.
        let copied = self.copying.await.ok()??;
        let (server, seat, connection) = match copied.connection {
            Some(connection) => (self.target, self.seat, Ok(connection)),
            None => {
                let connection = reopen(&journey.cx, &self.source).await;
                (self.source, old, connection)
            }
        };
        let sent = match connection {
            Ok(connection) => journey.go_on(&server, connection, copied.memory).await,
            Err(failed) => Err(failed),
        };
        event!(Info, "moved", "id" => journey.id(), "server" => server.id,
            "after_event" => journey.delivered,
            "cause" => sent.as_ref().err().map(|failed| failed.cause));
        Some(match sent {
            Ok(sent) => Ok(engine_stream::OpenStream { sent, server, seat }),
            Err(failed) => {
                journey.note_failure(&server, &failed, journey.cx.now());
                // The run was stopped midway, also if this send didn't run.
                Err(send::Unanswered {
                    outcome: outcome::Outcome::BrokenMidway,
                    ..failed
                })
            }
        })
    }
}

/// Opens a connection to the engine that stopped a run and couldn't copy its memory. A leaving engine
/// gets no requests.
async fn reopen<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    source: &backends::Backend,
) -> Result<connection_pool::Connection, send::Unanswered> {
    if locks::lock(&cx.servers).is_leaving(&source.id) {
        let outcome = outcome::Outcome::BrokenMidway;
        let cause = "run stopped on a leaving engine";
        return Err(send::Unanswered { outcome, cause });
    }
    let options = send::Options {
        until: cx.now() + COPY,
        repeatable: false,
    };
    send::open(cx, source, options).await
}
