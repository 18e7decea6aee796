//! The stream of an answer: events are passed on as they come, and another server continues where
//! that is allowed.

use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use walnuthaven_lib::dialect;
use walnuthaven_lib::event_stream;
use walnuthaven_lib::outcome;

use crate::router::answer;
use crate::router::context;
use crate::router::engine_path;
use crate::router::events::event;
use crate::router::pool;
use crate::router::send;

/// Events that a caller may leave unread; then the server is read no further.
const UNREAD_EVENTS: usize = 32;
/// A stream that another server may continue is taken from a server that has been silent for this
/// many times the longest pause.
const SILENT_PAUSES: u32 = 4;

/// The sender of a stream to its caller.
type Caller = tokio::sync::mpsc::Sender<Result<Bytes, answer::Broken>>;

/// How the part of a stream that one server made has ended.
#[derive(Debug)]
enum PartEnd {
    Complete,
    CallerLeft,
    Broken(send::Unanswered),
}

/// Makes the answer to a request whose stream was opened. The stream is relayed by a task of its own,
/// which ends when the caller leaves.
pub(crate) fn answer<D: dialect::Dialect>(
    journey: engine_path::Journey<D>,
    opened: engine_path::Opened<D>,
    guard: context::InFlight<D>,
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
    mut journey: engine_path::Journey<D>,
    mut opened: engine_path::Opened<D>,
    tx: Caller,
) {
    let cx = journey.cx.clone();
    loop {
        let server = opened.server.clone();
        let end = part(&mut journey, opened, &tx).await;
        let failed = match end {
            PartEnd::Complete => {
                learn_length(&journey);
                return finish(&journey, "complete", "");
            }
            PartEnd::CallerLeft => return finish(&journey, "caller left", ""),
            PartEnd::Broken(failed) => failed,
        };
        journey.note_failure(&server, &failed, cx.now());
        let next = journey.next(failed.outcome);
        event!(Info, "stream-broke", "id" => journey.req.head.request_id, "server" => server.id,
            "cause" => failed.cause, "delivered" => journey.delivered,
            "next" => format!("{next:?}"));
        let reopened = match next {
            outcome::Next::SendAgain => tokio::select! {
                reopened = journey.open() => reopened,
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

/// Notes the length of a whole answer.
fn learn_length<D: dialect::Dialect>(journey: &engine_path::Journey<D>) {
    let Some(prompt) = &journey.req.head.prompt else {
        return;
    };
    if journey.req.head.resume_after.is_none() {
        let mut lengths = context::lock(&journey.cx.lengths);
        let seen = lengths.entry(journey.service.name.clone()).or_default();
        seen.seen(journey.made, prompt.output_hint);
    }
}

async fn break_off<D: dialect::Dialect>(
    journey: &engine_path::Journey<D>,
    tx: &Caller,
    cause: &'static str,
) {
    // A caller that has left needs no telling.
    let _ = tx.send(Err(answer::Broken)).await;
    finish(journey, "broken", cause);
}

fn finish<D: dialect::Dialect>(
    journey: &engine_path::Journey<D>,
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
    journey: &mut engine_path::Journey<D>,
    opened: engine_path::Opened<D>,
    tx: &Caller,
) -> PartEnd {
    let cx = journey.cx.clone();
    let engine_path::Opened { sent, server, seat } = opened;
    let mut body = sent.body;
    let mut splitter = event_stream::Splitter::default();
    loop {
        let silent_at = silent_at(journey, cx.now());
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = tx.closed() => return PartEnd::CallerLeft,
            () = tokio::time::sleep(silent_at.saturating_sub(cx.now())) => {
                return PartEnd::Broken(broken(outcome::Outcome::Silent, "server fell silent"));
            }
        };
        let data = match frame {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(_)) => {
                return PartEnd::Broken(broken(outcome::Outcome::BrokenMidway, "stream broke off"));
            }
            None => break,
        };
        splitter.push(&data);
        while let Some(event) = splitter.next_event() {
            match pass_on(journey, &event) {
                Order::Next => {}
                Order::Repeated => continue,
                Order::Gap => {
                    let cause = "events are missing";
                    return PartEnd::Broken(broken(outcome::Outcome::BrokenMidway, cause));
                }
            }
            if tx.send(Ok(event.bytes)).await.is_err() {
                return PartEnd::CallerLeft;
            }
            seat.progress(journey.made);
        }
        if splitter.is_overfull() {
            return PartEnd::Broken(broken(outcome::Outcome::BrokenMidway, "event too large"));
        }
    }
    if !splitter.rest().is_empty() {
        let cause = "stream ended within an event";
        return PartEnd::Broken(broken(outcome::Outcome::BrokenMidway, cause));
    }
    tokio::spawn(pool::give_back(
        cx,
        server.id.clone(),
        sent.head.keep_alive,
        sent.connection,
    ));
    PartEnd::Complete
}

fn broken(outcome: outcome::Outcome, cause: &'static str) -> send::Unanswered {
    send::Unanswered { outcome, cause }
}

/// Returns when the server counts as silent.
fn silent_at<D: dialect::Dialect>(
    journey: &engine_path::Journey<D>,
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
    journey: &mut engine_path::Journey<D>,
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
