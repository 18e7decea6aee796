//! Relays the stream of an answer to the caller, event by event. If a server's stream breaks,
//! another server continues it where the route allows that.

use std::sync;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::dialect;
use walnuthaven_lib::event_stream;
use walnuthaven_lib::outcome;

use crate::locks;
use crate::router::answer;
use crate::router::connection_pool;
use crate::router::context;
use crate::router::crash_checks;
use crate::router::engine_prepare;
use crate::router::engine_reservation;
use crate::router::engine_stream;
use crate::router::events::event;
use crate::router::part_marks;
use crate::router::peer_stream;
use crate::router::run_move;
use crate::router::send;
use crate::router::silent_stream;
use crate::router::stream_events;
use crate::router::stream_progress;
use crate::router::stream_request;

/// Maximum number of events that are buffered for a slow caller. While the buffer is full, the
/// server's stream isn't read.
const MAX_BUFFERED_EVENTS: usize = 32;
/// A stream's server counts as silent after this many times the route's longest pause between events.
const SILENCE_FACTOR: u32 = 4;

/// Time for the last events and the end of the stream to arrive after the run was stopped.
const STREAM_END_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// How the stream of one server ended.
#[derive(Debug)]
enum StreamEnd {
    Complete,
    CallerLeft,
    Broken(send::SendFailure),
    /// The run was stopped to be moved, and no engine continued it. The failed sends are recorded.
    MoveFailed(send::SendFailure),
    /// The server was silent and was left for another one, which failed. The failed sends are recorded.
    NotContinued(&'static str),
}

/// How the stream of one server ended, and whether its run was being moved then.
#[derive(Debug)]
enum ServerStreamEnd<D: dialect::Dialect> {
    Ended(StreamEnd),
    /// The stream ended after its engine was told to stop the run, so that another one continues it. Holds the run's
    /// reservation, the move, and how the stream ended, which applies if the run wasn't stopped.
    Moving(
        engine_reservation::Reservation<D>,
        run_move::RunMove<D>,
        StreamEnd,
    ),
    /// The server was silent, and another one goes on with the stream.
    Replaced(Box<engine_stream::OpenStream<D>>),
}

/// The stream of one server while it is relayed.
pub(super) struct ServerStream<D: dialect::Dialect> {
    pub(super) response: send::ServerResponse,
    pub(super) server: sync::Arc<backends::Backend>,
    /// The capacity reserved on the server.
    reservation: engine_reservation::Reservation<D>,
    pub(super) splitter: event_stream::Splitter,
    pub(super) run_move: Option<run_move::RunMove<D>>,
    /// Whether it was recorded that the prompt doesn't crash servers.
    is_proven: bool,
    /// Events without an id of a stream that another server may continue. They are part of the answer if
    /// the stream goes on or ends as it should.
    held: Vec<bytes::Bytes>,
}

/// Why events are no longer relayed from a server.
enum RelayEnd<D: dialect::Dialect> {
    Ended(StreamEnd),
    /// The server is silent, and this one can go on.
    Silent(engine_prepare::PreparedServer<D>),
}

/// Makes the answer to a request whose stream was opened, and starts a task that relays the stream.
/// The task ends with the stream or when the caller disconnects.
pub(crate) fn answer<D: dialect::Dialect>(
    request: stream_request::StreamRequest<D>,
    opened: engine_stream::OpenStream<D>,
    guard: context::InFlightGuard<D>,
) -> answer::Answer {
    let (tx, rx) = event_channel();
    let mut answer = http::Response::new(answer::ResponseBody::Events(rx));
    *answer.status_mut() = opened.response.status;
    *answer.headers_mut() = request.cx.dialect.caller_headers(&opened.response.headers);
    tokio::spawn(async move {
        relay(request, opened, tx).await;
        drop(guard);
    });
    answer
}

/// Makes the channel through which the events of a stream reach the connection of its caller.
pub(super) fn event_channel() -> (
    stream_events::EventSender,
    tokio::sync::mpsc::Receiver<Result<bytes::Bytes, answer::Broken>>,
) {
    tokio::sync::mpsc::channel(MAX_BUFFERED_EVENTS)
}

/// Relays the whole stream of an answer, from as many servers one after the other as it takes.
async fn relay<D: dialect::Dialect>(
    mut request: stream_request::StreamRequest<D>,
    mut opened: engine_stream::OpenStream<D>,
    tx: stream_events::EventSender,
) {
    let cx = request.cx.clone();
    loop {
        let server = opened.server.clone();
        let end = match relay_from_server(&mut request, opened, &tx).await {
            ServerStreamEnd::Ended(end) => end,
            ServerStreamEnd::Moving(reservation, run_move, end_unless_stopped) => {
                let finished = tokio::select! {
                    finished = run_move.finish(&mut request, reservation) => finished,
                    () = tx.closed() => return stream_events::record_end(&request, "caller left", ""),
                };
                match finished {
                    Some(Ok(moved)) => {
                        opened = moved;
                        continue;
                    }
                    Some(Err(run_move::MoveFailure::Send(failure))) => {
                        StreamEnd::MoveFailed(failure)
                    }
                    Some(Err(run_move::MoveFailure::NotContinued(cause))) => {
                        StreamEnd::NotContinued(cause)
                    }
                    Some(Err(run_move::MoveFailure::Unanswered)) => match end_unless_stopped {
                        // It may be that of a stopped run.
                        StreamEnd::Complete => StreamEnd::Broken(send::SendFailure {
                            outcome: outcome::Outcome::BrokenMidway,
                            cause: stream_events::BROKE_OFF,
                        }),
                        end => end,
                    },
                    None => end_unless_stopped,
                }
            }
            ServerStreamEnd::Replaced(next) => {
                opened = *next;
                cx.telemetry.count("streams.continued");
                continue;
            }
        };
        let failure = match end {
            StreamEnd::Complete => {
                stream_events::record_length(&request);
                return stream_events::complete(&request);
            }
            StreamEnd::CallerLeft => return stream_events::record_end(&request, "caller left", ""),
            StreamEnd::Broken(failure) => {
                request.record_failure(&server, &failure, cx.now());
                failure
            }
            StreamEnd::MoveFailed(failure) => failure,
            StreamEnd::NotContinued(cause) => {
                return stream_events::abort(&request, &tx, cause).await;
            }
        };
        let next = request.decide_next(failure.outcome);
        event!(Info, "stream-broke", "id" => request.received.head.request_id,
            "server" => server.id,
            "cause" => failure.cause, "delivered" => request.last_event,
            "next" => format!("{next:?}"));
        let reopened = match next {
            outcome::Next::SendAgain => tokio::select! {
                reopened = request.reopen() => reopened,
                () = tx.closed() => return stream_events::record_end(&request, "caller left", ""),
            },
            _ => return stream_events::abort(&request, &tx, failure.cause).await,
        };
        opened = match reopened {
            Ok(opened) => opened,
            Err(_) => return peer_stream::resume(request, tx, "no server continues it").await,
        };
        cx.telemetry.count("streams.continued");
    }
}

/// Relays the stream of one server to its end, or until another server replaces a silent one.
async fn relay_from_server<D: dialect::Dialect>(
    request: &mut stream_request::StreamRequest<D>,
    opened: engine_stream::OpenStream<D>,
    tx: &stream_events::EventSender,
) -> ServerStreamEnd<D> {
    let mut stream = ServerStream {
        response: opened.response,
        server: opened.server,
        reservation: opened.reservation,
        splitter: opened.splitter,
        run_move: None,
        is_proven: false,
        held: Vec::new(),
    };
    let end = loop {
        let other = match relay_events(request, &mut stream, tx).await {
            RelayEnd::Ended(end) => break end,
            RelayEnd::Silent(other) => other,
        };
        let replacement = tokio::select! {
            replacement = silent_stream::replace(request, stream, other) => replacement,
            () = tx.closed() => return ServerStreamEnd::Ended(StreamEnd::CallerLeft),
        };
        stream = match replacement {
            silent_stream::Replacement::Opened(opened) => {
                return ServerStreamEnd::Replaced(Box::new(opened));
            }
            silent_stream::Replacement::Kept(stream) => stream,
            silent_stream::Replacement::Stopped(broken) => {
                stream = broken;
                break StreamEnd::Broken(send::SendFailure {
                    outcome: outcome::Outcome::BrokenMidway,
                    cause: stream_events::BROKE_OFF,
                });
            }
            silent_stream::Replacement::Failed(cause) => {
                return ServerStreamEnd::Ended(StreamEnd::NotContinued(cause));
            }
        };
    };
    let has_explicit_end = stream.response.has_explicit_end;
    let mut attempt = stream.response.attempt;
    match &end {
        StreamEnd::Complete if has_explicit_end => {
            let subject = request.received.subject(dialect::Work::Whole);
            crash_checks::record_answer(&request.cx, &subject, attempt.began());
            attempt.set_answered();
        }
        StreamEnd::Complete => attempt.set_ended_with_connection(request.cx.now()),
        StreamEnd::Broken(failure)
            if matches!(
                failure.cause,
                stream_events::BROKE_OFF | stream_events::BROKE_WITHIN_EVENT
            ) =>
        {
            attempt.set_broken(request.cx.now());
        }
        _ => {}
    }
    // A run that is stopped ends its stream as one that breaks off.
    let is_whole = has_explicit_end && matches!(end, StreamEnd::Complete);
    let run_move = stream
        .run_move
        .filter(|run_move| !run_move.give_up() && !is_whole);
    match (end, run_move) {
        (StreamEnd::CallerLeft, _) => ServerStreamEnd::Ended(StreamEnd::CallerLeft),
        (end, Some(run_move)) => {
            request.silent_server = None;
            request.set_state(stream_progress::StreamState::BeingMoved);
            ServerStreamEnd::Moving(stream.reservation, run_move, end)
        }
        (end, None) => {
            if matches!(end, StreamEnd::Complete) {
                tokio::spawn(connection_pool::return_connection(
                    request.cx.clone(),
                    stream.server,
                    stream.response.head.keep_alive,
                    stream.response.connection,
                ));
            }
            ServerStreamEnd::Ended(end)
        }
    }
}

/// Relays events until the server's stream ends, or until the server is silent and another one can
/// go on. Starts to move the run if it should leave its engine.
async fn relay_events<D: dialect::Dialect>(
    request: &mut stream_request::StreamRequest<D>,
    stream: &mut ServerStream<D>,
    tx: &stream_events::EventSender,
) -> RelayEnd<D> {
    let broken =
        |outcome, cause| RelayEnd::Ended(StreamEnd::Broken(send::SendFailure { outcome, cause }));
    let midway = outcome::Outcome::BrokenMidway;
    let max_pause = request
        .max_pause()
        .filter(|_| request.route.kind.may_run_again());
    request.set_relayed_from(&stream.server.id);
    // Bytes that continued the stream by nothing.
    let mut useless_bytes = 0;
    let mut progressed_at = request.cx.now();
    loop {
        let time_left = request.deadline.saturating_sub(request.cx.now());
        let max_silence = max_pause.map_or(time_left, |pause| pause * SILENCE_FACTOR);
        let body = &mut stream.response.body;
        let event = tokio::select! {
            event = stream_events::next_event(body, &mut stream.splitter) => event,
            () = tx.closed() => return RelayEnd::Ended(StreamEnd::CallerLeft),
            () = tokio::time::sleep(time_left) => {
                return broken(outcome::Outcome::Silent, "time limit reached");
            }
            () = wait_for_stop(stream.run_move.as_ref()) => {
                return broken(outcome::Outcome::Silent, "run was stopped");
            }
            other = request.prepare_alternative(&stream.server, progressed_at, max_silence), if max_pause.is_some() => {
                return match other {
                    Some(other) => RelayEnd::Silent(other),
                    None => broken(outcome::Outcome::Silent, "no engine is in reach"),
                };
            }
        };
        let mut next = match event {
            Ok(event) => event,
            Err(stream_events::EventsEnd::Complete)
                if !stream_events::is_whole(
                    request,
                    &stream.response,
                    &stream.server,
                    &stream.held,
                )
                .await =>
            {
                return broken(midway, stream_events::BROKE_OFF);
            }
            Err(stream_events::EventsEnd::Complete) => {
                let held = std::mem::take(&mut stream.held);
                let sent = stream_events::send_events(tx, &request.received.progress, held).await;
                return RelayEnd::Ended(if sent {
                    StreamEnd::Complete
                } else {
                    StreamEnd::CallerLeft
                });
            }
            Err(stream_events::EventsEnd::Broken(cause)) => return broken(midway, cause),
        };
        while let Some(event) = next.take() {
            next = stream.splitter.next_event();
            let order = stream_events::check_event_id(request, &event);
            if order == stream_events::EventOrder::Next && event.id.is_some() {
                useless_bytes = 0;
                progressed_at = request.cx.now();
                request.end_silence(&stream.server);
            } else {
                useless_bytes += event.bytes.len();
            }
            if useless_bytes > event_stream::MAX_EVENT_BYTES {
                return broken(midway, "bytes that are no answer");
            }
            match order {
                stream_events::EventOrder::Next => {}
                stream_events::EventOrder::Duplicate => continue,
                stream_events::EventOrder::Gap => return broken(midway, "events are missing"),
            }
            let is_part = event.id.is_some() || max_pause.is_none();
            stream.held.push(event.bytes);
            if !is_part {
                continue;
            }
            request.record_version(&stream.server);
            let held = std::mem::take(&mut stream.held);
            if !stream_events::send_events(tx, &request.received.progress, held).await {
                return RelayEnd::Ended(StreamEnd::CallerLeft);
            }
            record_pause(request, &stream.server.id);
            stream.reservation.record_progress(request.tokens_generated);
            record_writing(request, stream);
        }
        if stream
            .run_move
            .as_ref()
            .is_some_and(run_move::RunMove::has_failed)
        {
            stream.run_move = None;
        }
        if stream.run_move.is_none() && request.tokens_generated > 0 && request.last_event.is_some()
        {
            stream.run_move = run_move::start(request, &stream.server, &stream.reservation);
        }
    }
}

/// Records that the server has begun to write, and once it has written for some time, that the prompt doesn't crash
/// servers.
fn record_writing<D: dialect::Dialect>(
    request: &stream_request::StreamRequest<D>,
    stream: &mut ServerStream<D>,
) {
    let now = request.cx.now();
    let attempt = &mut stream.response.attempt;
    attempt.set_began(now);
    let began = attempt.began().unwrap_or(now);
    if !stream.is_proven && now.saturating_sub(began) >= part_marks::BEGIN_TIME {
        stream.is_proven = true;
        request.received.set_proven();
        part_marks::record_answer(&request.cx, &request.received.parts, began);
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
    request
        .received
        .progress
        .record_event(request.last_event, now);
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

/// Waits until `STREAM_END_TIMEOUT` after the run was stopped for a move; forever if it isn't.
async fn wait_for_stop<D: dialect::Dialect>(run_move: Option<&run_move::RunMove<D>>) {
    match run_move {
        Some(run_move) => run_move.run_stopped().await,
        None => std::future::pending().await,
    }
    tokio::time::sleep(STREAM_END_TIMEOUT).await;
}
