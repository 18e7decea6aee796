//! Relays the stream of an answer to the caller, event by event. If a server's stream breaks,
//! another server continues it where the route allows that.

use std::sync;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body;
use walnuthaven_lib::backends;
use walnuthaven_lib::dialect;
use walnuthaven_lib::event_stream;
use walnuthaven_lib::outcome;

use crate::locks;
use crate::router::answer;
use crate::router::connection_pool;
use crate::router::context;
use crate::router::crash_marks;
use crate::router::engine_reservation;
use crate::router::engine_stream;
use crate::router::events::event;
use crate::router::run_move;
use crate::router::send;
use crate::router::stream_request;

/// Maximum number of events that are buffered for a slow caller. While the buffer is full, the
/// server's stream isn't read.
const MAX_BUFFERED_EVENTS: usize = 32;
/// If another server may continue a stream, its server counts as silent after this many times the
/// route's longest pause between events.
const SILENCE_FACTOR: u32 = 4;

/// Time for the last events and the end of the stream to arrive after the run was stopped.
const STREAM_END_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// Time over which streams that broke together are opened again. It is short compared to a prefill.
const REOPEN_JITTER: time::Duration = time::Duration::from_millis(40);

/// Sends the events of a stream to its caller.
type EventSender = tokio::sync::mpsc::Sender<Result<Bytes, answer::Broken>>;

/// How the stream of one server ended.
#[derive(Debug)]
enum StreamEnd {
    Complete,
    CallerLeft,
    Broken(send::SendFailure),
    /// The run was stopped to be moved, and no engine continued it. The failed sends are recorded.
    MoveFailed(send::SendFailure),
}

/// How the stream of one server ended, and whether its run was being moved then.
#[derive(Debug)]
enum ServerStreamEnd<D: dialect::Dialect> {
    Ended(StreamEnd),
    /// The stream ended while its run was being moved to another engine. Holds the run's
    /// reservation, the move, and how the stream ended, which applies if the run wasn't stopped for
    /// the move.
    Moving(
        engine_reservation::Reservation<D>,
        run_move::RunMove<D>,
        StreamEnd,
    ),
}

/// Makes the answer to a request whose stream was opened, and starts a task that relays the stream.
/// The task ends with the stream or when the caller disconnects.
pub(crate) fn answer<D: dialect::Dialect>(
    request: stream_request::StreamRequest<D>,
    opened: engine_stream::OpenStream<D>,
    guard: context::InFlightGuard<D>,
) -> answer::Answer {
    let (tx, rx) = tokio::sync::mpsc::channel(MAX_BUFFERED_EVENTS);
    let mut answer = http::Response::new(answer::ResponseBody::Events(rx));
    *answer.status_mut() = opened.response.status;
    *answer.headers_mut() = request.cx.dialect.caller_headers(&opened.response.headers);
    tokio::spawn(async move {
        relay(request, opened, tx).await;
        drop(guard);
    });
    answer
}

/// Relays the whole stream of an answer, from as many servers one after the other as it takes.
async fn relay<D: dialect::Dialect>(
    mut request: stream_request::StreamRequest<D>,
    mut opened: engine_stream::OpenStream<D>,
    tx: EventSender,
) {
    let cx = request.cx.clone();
    loop {
        let server = opened.server.clone();
        let end = match relay_from_server(&mut request, opened, &tx).await {
            ServerStreamEnd::Ended(end) => end,
            ServerStreamEnd::Moving(reservation, run_move, end_unless_stopped) => {
                let finished = tokio::select! {
                    finished = run_move.finish(&mut request, reservation) => finished,
                    () = tx.closed() => return record_end(&request, "caller left", ""),
                };
                match finished {
                    Some(Ok(moved)) => {
                        opened = moved;
                        continue;
                    }
                    Some(Err(failure)) => StreamEnd::MoveFailed(failure),
                    None => end_unless_stopped,
                }
            }
        };
        let failure = match end {
            StreamEnd::Complete => {
                record_length(&request);
                crash_marks::lift_mark(&cx, request.received.digest);
                return record_end(&request, "complete", "");
            }
            StreamEnd::CallerLeft => return record_end(&request, "caller left", ""),
            StreamEnd::Broken(failure) => {
                request.record_failure(&server, &failure, cx.now());
                failure
            }
            StreamEnd::MoveFailed(failure) => failure,
        };
        let next = request.decide_next(failure.outcome);
        event!(Info, "stream-broke", "id" => request.received.head.request_id,
            "server" => server.id,
            "cause" => failure.cause, "delivered" => request.last_event,
            "next" => format!("{next:?}"));
        let reopened = match next {
            outcome::Next::SendAgain => tokio::select! {
                reopened = reopen(&mut request) => reopened,
                () = tx.closed() => return record_end(&request, "caller left", ""),
            },
            _ => return abort(&request, &tx, failure.cause).await,
        };
        opened = match reopened {
            Ok(opened) => opened,
            Err(_) => return abort(&request, &tx, "no server continues it").await,
        };
        cx.telemetry.count("streams.continued");
    }
}

/// Opens the rest of a stream on another server. All streams of a server that crashes break within
/// the same millisecond, at many hosts. A random pause lets each host hear which servers the others
/// chose.
async fn reopen<D: dialect::Dialect>(
    request: &mut stream_request::StreamRequest<D>,
) -> Result<engine_stream::OpenStream<D>, stream_request::OpenFailure> {
    tokio::time::sleep(REOPEN_JITTER.mul_f64(rand::random::<f64>())).await;
    request.open().await
}

/// Records the length of a complete answer to predict those of later ones. Resumed streams are
/// skipped, as they contain only the rest of the answer.
fn record_length<D: dialect::Dialect>(request: &stream_request::StreamRequest<D>) {
    let Some(prompt) = &request.received.head.prompt else {
        return;
    };
    if request.received.head.resume_after.is_none() {
        let mut lengths = locks::lock(&request.cx.answer_lengths);
        let predictor = lengths.entry(request.service.name.clone()).or_default();
        predictor.record(request.tokens_generated, prompt.output_hint);
    }
}

/// Ends the stream to the caller with an error.
async fn abort<D: dialect::Dialect>(
    request: &stream_request::StreamRequest<D>,
    tx: &EventSender,
    cause: &'static str,
) {
    // Fails only if the caller has disconnected already.
    let _ = tx.send(Err(answer::Broken)).await;
    record_end(request, "broken", cause);
}

/// Counts and logs the end of the stream to the caller. `how` is "complete", "caller left" or
/// "broken".
fn record_end<D: dialect::Dialect>(
    request: &stream_request::StreamRequest<D>,
    how: &'static str,
    cause: &'static str,
) {
    let took = request.cx.now().saturating_sub(request.arrived);
    request.cx.telemetry.count(match how {
        "complete" => "streams.complete",
        "broken" => "streams.broken",
        _ => "streams.left",
    });
    event!(Info, "stream-ended", "id" => request.received.head.request_id, "how" => how,
        "cause" => cause, "events" => request.last_event, "tokens" => request.tokens_generated,
        "took_ms" => took.as_millis() as u64);
}

/// Relays the stream of one server to its end.
async fn relay_from_server<D: dialect::Dialect>(
    request: &mut stream_request::StreamRequest<D>,
    opened: engine_stream::OpenStream<D>,
    tx: &EventSender,
) -> ServerStreamEnd<D> {
    let engine_stream::OpenStream {
        response,
        server,
        reservation,
    } = opened;
    let mut body = response.body;
    let mut attempt = response.attempt;
    let mut run_move: Option<run_move::RunMove<D>> = None;
    let end = relay_events(
        request,
        &mut body,
        (&server, &reservation),
        &mut run_move,
        tx,
    )
    .await;
    match &end {
        StreamEnd::Complete => attempt.set_answered(),
        StreamEnd::Broken(failure) if failure.outcome == outcome::Outcome::BrokenMidway => {
            attempt.set_broken();
        }
        StreamEnd::Broken(_) | StreamEnd::MoveFailed(_) | StreamEnd::CallerLeft => {}
    }
    match (end, run_move) {
        (StreamEnd::CallerLeft, _) => ServerStreamEnd::Ended(StreamEnd::CallerLeft),
        (end, Some(run_move)) => ServerStreamEnd::Moving(reservation, run_move, end),
        (end, None) => {
            if matches!(end, StreamEnd::Complete) {
                tokio::spawn(connection_pool::return_connection(
                    request.cx.clone(),
                    server,
                    response.head.keep_alive,
                    response.connection,
                ));
            }
            ServerStreamEnd::Ended(end)
        }
    }
}

/// Relays events until the server's stream ends. Starts to move the run if it should leave its
/// engine.
async fn relay_events<D: dialect::Dialect>(
    request: &mut stream_request::StreamRequest<D>,
    body: &mut body::Incoming,
    (server, reservation): (
        &sync::Arc<backends::Backend>,
        &engine_reservation::Reservation<D>,
    ),
    run_move: &mut Option<run_move::RunMove<D>>,
    tx: &EventSender,
) -> StreamEnd {
    let mut splitter = event_stream::Splitter::default();
    let broken = |outcome, cause| StreamEnd::Broken(send::SendFailure { outcome, cause });
    let midway = outcome::Outcome::BrokenMidway;
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = tx.closed() => return StreamEnd::CallerLeft,
            () = wait_for_silence(request, run_move.as_ref()) => {
                return broken(outcome::Outcome::Silent, "server fell silent");
            }
        };
        let data = match frame {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(_)) => return broken(midway, "stream broke off"),
            None if splitter.remainder().is_empty() => return StreamEnd::Complete,
            None => return broken(midway, "stream ended within an event"),
        };
        splitter.push(&data);
        while let Some(event) = splitter.next_event() {
            match check_event_id(request, &event) {
                EventOrder::Next => {}
                EventOrder::Duplicate => continue,
                EventOrder::Gap => return broken(midway, "events are missing"),
            }
            if tx.send(Ok(event.bytes)).await.is_err() {
                return StreamEnd::CallerLeft;
            }
            record_pause(request, &server.id);
            reservation.record_progress(request.tokens_generated);
        }
        if splitter.exceeds_max_event() {
            return broken(midway, "event too large");
        }
        if run_move.as_ref().is_some_and(run_move::RunMove::has_failed) {
            *run_move = None;
        }
        if run_move.is_none() && request.tokens_generated > 0 && request.last_event.is_some() {
            *run_move = run_move::start(request, server, reservation);
        }
    }
}

/// Records and logs the pause before the event that was just relayed, if it was longer than the
/// route's longest pause.
fn record_pause<D: dialect::Dialect>(
    request: &mut stream_request::StreamRequest<D>,
    server: &sync::Arc<str>,
) {
    let cx = &request.cx;
    let now = cx.now();
    let Some(last) = request.last_event_at.replace(now) else {
        return;
    };
    let took = now.saturating_sub(last);
    if request
        .max_pause()
        .is_some_and(|max_pause| took > max_pause)
    {
        cx.telemetry.time("streams.pause", took);
        let (runs, tokens) = locks::lock(&cx.engine_load).usage(server, now);
        event!(Info, "pause", "id" => request.id(), "server" => server,
            "took_ms" => took.as_millis() as u64, "after_event" => request.last_event,
            "engine_runs" => runs, "engine_tokens" => tokens);
    }
}

/// Waits until the server counts as silent, or until `STREAM_END_TIMEOUT` after its run was stopped
/// for a move.
async fn wait_for_silence<D: dialect::Dialect>(
    request: &stream_request::StreamRequest<D>,
    run_move: Option<&run_move::RunMove<D>>,
) {
    let now = request.cx.now();
    let silent = tokio::time::sleep(silent_at(request, now).saturating_sub(now));
    let Some(run_move) = run_move else {
        return silent.await;
    };
    tokio::select! {
        () = silent => {}
        () = run_move.run_stopped() => tokio::time::sleep(STREAM_END_TIMEOUT).await,
    }
}

/// Returns when the server counts as silent, as time since boot, if nothing arrives from `now` on.
fn silent_at<D: dialect::Dialect>(
    request: &stream_request::StreamRequest<D>,
    now: time::Duration,
) -> time::Duration {
    match request
        .max_pause()
        .filter(|_| request.route.kind.may_run_again())
    {
        Some(max_pause) => (now + max_pause * SILENCE_FACTOR).min(request.deadline),
        None => request.deadline,
    }
}

/// How an event's id relates to that of the last event.
enum EventOrder {
    Next,
    /// The caller has the event already.
    Duplicate,
    /// At least one event before it is missing.
    Gap,
}

/// Checks an event's id against the last one. Unless the event is a duplicate or follows a gap,
/// records it as delivered and counts its tokens.
fn check_event_id<D: dialect::Dialect>(
    request: &mut stream_request::StreamRequest<D>,
    event: &event_stream::Event,
) -> EventOrder {
    if let (Some(id), Some(last)) = (event.id, request.last_event) {
        if id <= last {
            return EventOrder::Duplicate;
        }
        if id > last + 1 {
            return EventOrder::Gap;
        }
    }
    if event.id.is_some() {
        request.last_event = event.id;
    }
    request.tokens_generated = request
        .tokens_generated
        .saturating_add(request.engines.tokens_per_event);
    EventOrder::Next
}
