//! The stream of an answer: events are passed on as they come, and another server continues where
//! that is allowed.

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

/// Events that a caller may leave unread; then the server is read no further.
const UNREAD_EVENTS: usize = 32;
/// A stream that another server may continue is taken from a server that has been silent for this
/// many times the longest pause.
const SILENT_PAUSES: u32 = 4;

/// Time for the last events of a stopped run and the end of its stream to arrive.
const CLOSED: time::Duration = time::Duration::from_millis(100);

/// Time over which streams that broke together are opened again. Short against the time to read a
/// prompt.
const REOPEN_SPREAD: time::Duration = time::Duration::from_millis(40);

/// The sender of a stream to its caller.
type Caller = tokio::sync::mpsc::Sender<Result<Bytes, answer::Broken>>;

/// How a server's stream has ended.
#[derive(Debug)]
enum StreamEnd {
    Complete,
    CallerLeft,
    Broken(send::Unanswered),
}

/// How the part of a stream that one server made has ended.
#[derive(Debug)]
enum PartEnd<D: dialect::Dialect> {
    Ended(StreamEnd),
    /// The stream ended while its run was on its way to another engine. Holds its room, the move, and
    /// how the stream ended if the run wasn't stopped.
    Stopped(
        engine_reservation::Reservation<D>,
        run_move::RunMove<D>,
        StreamEnd,
    ),
}

/// Makes the answer to a request whose stream was opened. The stream is relayed by a task of its own,
/// which ends when the caller leaves.
pub(crate) fn answer<D: dialect::Dialect>(
    journey: stream_request::StreamRequest<D>,
    opened: engine_stream::OpenStream<D>,
    guard: context::InFlightGuard<D>,
) -> answer::Answer {
    let (tx, rx) = tokio::sync::mpsc::channel(UNREAD_EVENTS);
    let mut answer = http::Response::new(answer::Content::Events(rx));
    *answer.status_mut() = opened.sent.status;
    *answer.headers_mut() = journey.cx.dialect.caller_headers(&opened.sent.headers);
    tokio::spawn(async move {
        relay(journey, opened, tx).await;
        drop(guard);
    });
    answer
}

async fn relay<D: dialect::Dialect>(
    mut journey: stream_request::StreamRequest<D>,
    mut opened: engine_stream::OpenStream<D>,
    tx: Caller,
) {
    let cx = journey.cx.clone();
    loop {
        let server = opened.server.clone();
        let end = match part(&mut journey, opened, &tx).await {
            PartEnd::Ended(end) => end,
            PartEnd::Stopped(seat, moving, unless_stopped) => {
                let finished = tokio::select! {
                    finished = moving.finish(&mut journey, seat) => finished,
                    () = tx.closed() => return finish(&journey, "caller left", ""),
                };
                match finished {
                    Some(Ok(moved)) => {
                        opened = moved;
                        continue;
                    }
                    Some(Err(failed)) => StreamEnd::Broken(failed),
                    None => unless_stopped,
                }
            }
        };
        let failed = match end {
            StreamEnd::Complete => {
                learn_length(&journey);
                crash_marks::clear_mark(&cx, journey.req.digest);
                return finish(&journey, "complete", "");
            }
            StreamEnd::CallerLeft => return finish(&journey, "caller left", ""),
            StreamEnd::Broken(failed) => failed,
        };
        journey.note_failure(&server, &failed, cx.now());
        let next = journey.next(failed.outcome);
        event!(Info, "stream-broke", "id" => journey.req.head.request_id, "server" => server.id,
            "cause" => failed.cause, "delivered" => journey.delivered,
            "next" => format!("{next:?}"));
        let reopened = match next {
            outcome::Next::SendAgain => tokio::select! {
                reopened = reopen(&mut journey) => reopened,
                () = tx.closed() => return finish(&journey, "caller left", ""),
            },
            _ => return break_off(&journey, &tx, failed.cause).await,
        };
        opened = match reopened {
            Ok(opened) => opened,
            Err(_) => return break_off(&journey, &tx, "no server continues it").await,
        };
        cx.telemetry.count("streams.continued");
    }
}

/// Opens the rest of a stream. All streams of a server that crashed break in the same millisecond, at
/// many hosts; a random pause lets each hear where others went.
async fn reopen<D: dialect::Dialect>(
    journey: &mut stream_request::StreamRequest<D>,
) -> Result<engine_stream::OpenStream<D>, stream_request::Ended> {
    tokio::time::sleep(REOPEN_SPREAD.mul_f64(rand::random::<f64>())).await;
    journey.open().await
}

/// Notes the length of a whole answer.
fn learn_length<D: dialect::Dialect>(journey: &stream_request::StreamRequest<D>) {
    let Some(prompt) = &journey.req.head.prompt else {
        return;
    };
    if journey.req.head.resume_after.is_none() {
        let mut lengths = locks::lock(&journey.cx.answer_lengths);
        let seen = lengths.entry(journey.service.name.clone()).or_default();
        seen.record(journey.made, prompt.output_hint);
    }
}

async fn break_off<D: dialect::Dialect>(
    journey: &stream_request::StreamRequest<D>,
    tx: &Caller,
    cause: &'static str,
) {
    // A caller that has left needs no telling.
    let _ = tx.send(Err(answer::Broken)).await;
    finish(journey, "broken", cause);
}

fn finish<D: dialect::Dialect>(
    journey: &stream_request::StreamRequest<D>,
    how: &'static str,
    cause: &'static str,
) {
    let took = journey.cx.now().saturating_sub(journey.arrived);
    journey.cx.telemetry.count(match how {
        "complete" => "streams.complete",
        "broken" => "streams.broken",
        _ => "streams.left",
    });
    event!(Info, "stream-ended", "id" => journey.req.head.request_id, "how" => how,
        "cause" => cause, "events" => journey.delivered, "tokens" => journey.made,
        "took_ms" => took.as_millis() as u64);
}

/// Passes on what one server makes.
async fn part<D: dialect::Dialect>(
    journey: &mut stream_request::StreamRequest<D>,
    opened: engine_stream::OpenStream<D>,
    tx: &Caller,
) -> PartEnd<D> {
    let engine_stream::OpenStream { sent, server, seat } = opened;
    let mut body = sent.body;
    let mut moving: Option<run_move::RunMove<D>> = None;
    let end = pass_all(journey, &mut body, (&server, &seat), &mut moving, tx).await;
    match (end, moving) {
        (StreamEnd::CallerLeft, _) => PartEnd::Ended(StreamEnd::CallerLeft),
        (end, Some(moving)) => PartEnd::Stopped(seat, moving, end),
        (end, None) => {
            if matches!(end, StreamEnd::Complete) {
                tokio::spawn(connection_pool::give_back(
                    journey.cx.clone(),
                    server,
                    sent.head.keep_alive,
                    sent.connection,
                ));
            }
            PartEnd::Ended(end)
        }
    }
}

/// Passes on events until the stream ends, and starts to move the run where that is due.
async fn pass_all<D: dialect::Dialect>(
    journey: &mut stream_request::StreamRequest<D>,
    body: &mut body::Incoming,
    (server, seat): (
        &sync::Arc<backends::Backend>,
        &engine_reservation::Reservation<D>,
    ),
    moving: &mut Option<run_move::RunMove<D>>,
    tx: &Caller,
) -> StreamEnd {
    let mut splitter = event_stream::Splitter::default();
    let broke = |outcome, cause| StreamEnd::Broken(send::Unanswered { outcome, cause });
    let midway = outcome::Outcome::BrokenMidway;
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = tx.closed() => return StreamEnd::CallerLeft,
            () = silence(journey, moving.as_ref()) => {
                return broke(outcome::Outcome::Silent, "server fell silent");
            }
        };
        let data = match frame {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(_)) => return broke(midway, "stream broke off"),
            None if splitter.remainder().is_empty() => return StreamEnd::Complete,
            None => return broke(midway, "stream ended within an event"),
        };
        splitter.push(&data);
        while let Some(event) = splitter.next_event() {
            match pass_on(journey, &event) {
                Order::Next => {}
                Order::Repeated => continue,
                Order::Gap => return broke(midway, "events are missing"),
            }
            if tx.send(Ok(event.bytes)).await.is_err() {
                return StreamEnd::CallerLeft;
            }
            note_pause(journey, &server.id);
            seat.progress(journey.made);
        }
        if splitter.exceeds_max_event() {
            return broke(midway, "event too large");
        }
        if moving.as_ref().is_some_and(run_move::RunMove::has_failed) {
            *moving = None;
        }
        if moving.is_none() && journey.made > 0 && journey.delivered.is_some() {
            *moving = run_move::start(journey, server, seat);
        }
    }
}

/// Notes a pause before the event that was just passed on, if it made the answer late.
fn note_pause<D: dialect::Dialect>(
    journey: &mut stream_request::StreamRequest<D>,
    server: &sync::Arc<str>,
) {
    let cx = &journey.cx;
    let now = cx.now();
    let Some(last) = journey.delivered_at.replace(now) else {
        return;
    };
    let took = now.saturating_sub(last);
    if journey.pause().is_some_and(|longest| took > longest) {
        cx.telemetry.time("streams.pause", took);
        let (runs, tokens) = locks::lock(&cx.engine_load).usage(server, now);
        event!(Info, "pause", "id" => journey.id(), "server" => server,
            "took_ms" => took.as_millis() as u64, "after_event" => journey.delivered,
            "engine_runs" => runs, "engine_tokens" => tokens);
    }
}

/// Waits until the server counts as silent, or its stopped run has ended without closing the stream.
async fn silence<D: dialect::Dialect>(
    journey: &stream_request::StreamRequest<D>,
    moving: Option<&run_move::RunMove<D>>,
) {
    let now = journey.cx.now();
    let silent = tokio::time::sleep(silent_at(journey, now).saturating_sub(now));
    let Some(moving) = moving else {
        return silent.await;
    };
    tokio::select! {
        () = silent => {}
        () = moving.stopped() => tokio::time::sleep(CLOSED).await,
    }
}

/// Returns when the server counts as silent.
fn silent_at<D: dialect::Dialect>(
    journey: &stream_request::StreamRequest<D>,
    now: time::Duration,
) -> time::Duration {
    match journey
        .pause()
        .filter(|_| journey.route.kind.may_run_again())
    {
        Some(pause) => (now + pause * SILENT_PAUSES).min(journey.until),
        None => journey.until,
    }
}

enum Order {
    Next,
    Repeated,
    Gap,
}

/// Checks an event's id against the last one and counts the event.
fn pass_on<D: dialect::Dialect>(
    journey: &mut stream_request::StreamRequest<D>,
    event: &event_stream::Event,
) -> Order {
    if let (Some(id), Some(last)) = (event.id, journey.delivered) {
        if id <= last {
            return Order::Repeated;
        }
        if id > last + 1 {
            return Order::Gap;
        }
    }
    if event.id.is_some() {
        journey.delivered = event.id;
    }
    journey.made = journey
        .made
        .saturating_add(journey.engines.tokens_per_event);
    Order::Next
}
