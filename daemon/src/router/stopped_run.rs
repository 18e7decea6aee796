//! Continues a run that was stopped for a move. Its engine keeps the KV cache for some time, so the run is offered to
//! one engine after the other: to the one that holds a copy, to its own, and to further ones, which fetch it. Engines
//! that refuse it are asked again after a pause.

use std::mem;
use std::sync;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::dialect;
use walnuthaven_lib::event_stream;
use walnuthaven_lib::outcome;

use crate::locks;
use crate::router::connection_pool;
use crate::router::engine_reservation;
use crate::router::engine_stream;
use crate::router::events::event;
use crate::router::prefills;
use crate::router::run_move;
use crate::router::send;
use crate::router::server_limits;
use crate::router::server_notices;
use crate::router::stream_request;

/// Pause before a run is offered again to engines that refused it. Each further pause is twice as long.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(50);
/// Time for an engine to take a run that it is offered.
const OFFER_TIME: time::Duration = time::Duration::from_millis(20);

/// An engine that may continue a stopped run.
#[derive(Debug)]
pub(super) struct Place<D: dialect::Dialect> {
    pub(super) server: sync::Arc<backends::Backend>,
    /// The capacity reserved on it.
    pub(super) reservation: engine_reservation::Reservation<D>,
    /// An open connection to it.
    pub(super) connection: Option<connection_pool::Connection>,
}

/// A run that was stopped so that another engine can continue it.
#[derive(Debug)]
pub(super) struct StoppedRun<D: dialect::Dialect> {
    /// The engine that stopped the run and keeps its KV cache.
    source: sync::Arc<backends::Backend>,
    /// The KV cache, as long as it can be used.
    kv_cache: Option<prefills::KvHandle<D>>,
    /// The engines to which it is offered next.
    places: Vec<Place<D>>,
    /// The engines that refused it.
    refused: Vec<Place<D>>,
}

impl<D: dialect::Dialect> StoppedRun<D> {
    /// `target` is the engine that holds a copy, if any.
    pub(super) fn new(
        kv_cache: prefills::KvHandle<D>,
        target: Option<Place<D>>,
        source: Place<D>,
    ) -> Self {
        Self {
            source: source.server.clone(),
            kv_cache: Some(kv_cache),
            places: target.into_iter().chain([source]).collect(),
            refused: Vec::new(),
        }
    }

    /// Has an engine continue the run, as long as its KV cache is kept and the caller waits.
    ///
    /// # Errors
    ///
    /// Returns an error if no engine continued it with its KV cache.
    pub(super) async fn resume(
        mut self,
        request: &mut stream_request::StreamRequest<D>,
    ) -> Result<engine_stream::OpenStream<D>, run_move::MoveFailure> {
        let mut pause = FIRST_PAUSE;
        let mut cause = "run not continued";
        loop {
            for place in mem::take(&mut self.places) {
                match self.offer(request, place).await {
                    Ok(Some(opened)) => return opened,
                    Ok(None) => {}
                    Err(refused_for) => cause = refused_for,
                }
            }
            let Some(time_left) = self.time_left(request) else {
                break;
            };
            if let Some(place) = self.further(request, time_left).await {
                self.places.push(place);
                continue;
            }
            tokio::time::sleep(pause.min(time_left)).await;
            pause *= 2;
            if request.cx.may_retry(&request.service.name) {
                self.places = mem::take(&mut self.refused);
            }
        }
        // They refused the run just now, and may read the prompt later.
        let now = request.cx.now();
        for place in &self.refused {
            locks::lock(&request.cx.health).record_refusal(&place.server.id, now);
            request.include(&place.server);
        }
        // The run was stopped midway, even if the last send wasn't executed.
        let outcome = outcome::Outcome::BrokenMidway;
        let failure = send::SendFailure { outcome, cause };
        Err(run_move::MoveFailure::Send(failure))
    }

    /// Offers the run to an engine. Returns the result if that decides what becomes of the run.
    ///
    /// # Errors
    ///
    /// Returns the cause if the engine doesn't continue it.
    async fn offer(
        &mut self,
        request: &mut stream_request::StreamRequest<D>,
        place: Place<D>,
    ) -> Result<Option<Result<engine_stream::OpenStream<D>, run_move::MoveFailure>>, &'static str>
    {
        let Some(cache) = self.kv_cache.take() else {
            return Ok(None);
        };
        let Place {
            server,
            reservation,
            connection,
        } = place;
        let (failure, cache) = match continue_on(request, &server, connection, cache).await {
            Ok(engine_stream::Resumed::Stream(response)) => {
                event!(Info, "moved", "id" => request.id(), "server" => server.id,
                    "after_event" => request.last_event);
                return Ok(Some(Ok(engine_stream::OpenStream {
                    response,
                    server,
                    reservation,
                    splitter: event_stream::Splitter::default(),
                })));
            }
            Ok(engine_stream::Resumed::Replaced(other)) => {
                let opened = request.open(Some(other)).await;
                return Ok(Some(opened.map_err(|failure| {
                    run_move::MoveFailure::NotContinued(failure.cause())
                })));
            }
            Err(failed) => failed,
        };
        event!(Info, "not-moved", "id" => request.id(), "server" => server.id,
            "after_event" => request.last_event, "cause" => failure.cause);
        // It is avoided for longer after each recorded refusal.
        if !request.failed_servers.contains(&server.id) {
            request.record_failure(&server, &failure, request.cx.now());
        }
        // Engines take a handle only once, so the run doesn't go on twice.
        self.kv_cache = cache;
        if failure.outcome.is_not_run() {
            self.refused.push(Place {
                server,
                reservation,
                connection: None,
            });
        }
        Err(failure.cause)
    }

    /// Returns for how long the run can still be offered, if at all: while its KV cache is kept and the caller waits.
    fn time_left(&self, request: &stream_request::StreamRequest<D>) -> Option<time::Duration> {
        let kept_until = self.kv_cache.as_ref()?.kept_until();
        let until = kept_until
            .min(request.caller_leaves_at())
            .min(request.deadline);
        until.checked_sub(request.cx.now() + OFFER_TIME)
    }

    /// Returns a further engine with room, if there is one and the retry budget allows to send it the run.
    async fn further(
        &self,
        request: &mut stream_request::StreamRequest<D>,
        time_left: time::Duration,
    ) -> Option<Place<D>> {
        let excluded = std::slice::from_ref(&self.source.id);
        loop {
            let cx = request.cx.clone();
            let Some((reservation, server)) = request.reserve_for_move(excluded) else {
                event!(Info, "no-further-engine", "id" => request.id(),
                    "budget" => cx.may_retry(&request.service.name));
                return None;
            };
            let options = send::Options {
                deadline: cx.now() + time_left,
                repeatable: false,
                continues_run: false,
            };
            match send::get_connection(&cx, &server, options).await {
                Ok(connection) => {
                    return Some(Place {
                        server,
                        reservation,
                        connection: Some(connection),
                    });
                }
                Err(failure) => request.record_failure(&server, &failure, cx.now()),
            }
        }
    }
}

/// Continues a stopped run on an engine, on a connection to it if there is one already. An engine that leaves gets it
/// only if it stopped it and serves long enough to be sent it.
///
/// # Errors
///
/// Returns why it isn't continued, and the KV cache if it can still be used.
async fn continue_on<D: dialect::Dialect>(
    request: &mut stream_request::StreamRequest<D>,
    server: &sync::Arc<backends::Backend>,
    connection: Option<connection_pool::Connection>,
    kv_cache: prefills::KvHandle<D>,
) -> Result<engine_stream::Resumed<D>, (send::SendFailure, Option<prefills::KvHandle<D>>)> {
    let cx = &request.cx;
    let refused = match kv_cache.server.process() == server.process() {
        true => (!server_notices::takes_back(cx, server, cx.now())).then_some("engine leaves"),
        false => server_notices::wants_none(cx, server).then_some("engine wants no requests"),
    };
    if let Some(cause) = refused {
        let outcome = outcome::Outcome::NeverWritten;
        return Err((send::SendFailure { outcome, cause }, Some(kv_cache)));
    }
    let mut kv_cache = kv_cache;
    if let Some(connection) = connection {
        match request.resume_moved_run(server, connection, kv_cache).await {
            // The engine may have closed the connection while the run was copied.
            Err((failure, Some(unused))) if failure.outcome == outcome::Outcome::NeverWritten => {
                kv_cache = unused;
            }
            resumed => return resumed,
        }
    }
    let options = send::Options {
        deadline: request.cx.now() + run_move::COPY_TIMEOUT,
        repeatable: false,
        continues_run: false,
    };
    match send::get_connection(&request.cx, server, options).await {
        Ok(connection) => {
            server_limits::record_sent(&request.cx, server, request.received.priority);
            request.resume_moved_run(server, connection, kv_cache).await
        }
        Err(failure) => Err((failure, Some(kv_cache))),
    }
}
