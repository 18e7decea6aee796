//! Reads the events of a server's stream, and relates them to those that the caller has.

use bytes::Bytes;
use http_body_util::BodyExt as _;
use walnuthaven_lib::backends;
use walnuthaven_lib::dialect;
use walnuthaven_lib::event_stream;

use crate::locks;
use crate::router::answer;
use crate::router::events::event;
use crate::router::read_limit;
use crate::router::send;
use crate::router::stream_progress;
use crate::router::stream_request;

/// Sends the events of a stream to its caller.
pub(super) type EventSender = tokio::sync::mpsc::Sender<Result<Bytes, answer::Broken>>;

/// The cause of a stream's end if the server's connection broke.
pub(super) const BROKE_OFF: &str = "stream broke off";
/// The cause if it ended in order, but in the middle of an event.
pub(super) const BROKE_WITHIN_EVENT: &str = "stream ended within an event";

/// Passes events on to the caller. Returns whether it is still there.
pub(super) async fn send_events(
    tx: &EventSender,
    progress: &stream_progress::StreamProgress,
    events: Vec<Bytes>,
) -> bool {
    for event in events {
        progress.count_received(event.len());
        if tx.send(Ok(event)).await.is_err() {
            return false;
        }
    }
    true
}

/// Why no event follows on a server's stream.
pub(super) enum EventsEnd {
    Complete,
    /// The stream broke, by this cause.
    Broken(&'static str),
}

/// Reads the next complete event. Dropping the future loses nothing that was read.
pub(super) async fn next_event(
    body: &mut read_limit::LimitedBody,
    splitter: &mut event_stream::Splitter,
) -> Result<Option<event_stream::Event>, EventsEnd> {
    loop {
        if let Some(event) = splitter.next_event() {
            return Ok(Some(event));
        }
        if splitter.exceeds_max_event() {
            return Err(EventsEnd::Broken("event too large"));
        }
        match body.frame().await {
            Some(Ok(frame)) => splitter.push(&frame.into_data().unwrap_or_default()),
            Some(Err(_)) => return Err(EventsEnd::Broken(BROKE_OFF)),
            None if splitter.remainder().is_empty() => return Err(EventsEnd::Complete),
            None => return Err(EventsEnd::Broken(BROKE_WITHIN_EVENT)),
        }
    }
}

/// What has arrived on a stream.
pub(super) enum Arrival {
    /// An event with an id, or one that is too large.
    Event,
    /// The end of its body.
    End,
    Break,
}

/// Waits until a stream goes on or ends, and takes no event. Dropping the future loses nothing that was read.
pub(super) async fn wait_for_event(
    body: &mut read_limit::LimitedBody,
    splitter: &mut event_stream::Splitter,
) -> Arrival {
    while !splitter.has_event_with_id() && !splitter.exceeds_max_event() {
        match body.frame().await {
            Some(Ok(frame)) => splitter.push(&frame.into_data().unwrap_or_default()),
            Some(Err(_)) => return Arrival::Break,
            None => return Arrival::End,
        }
    }
    Arrival::Event
}

/// Returns whether a stream that ended between two events is complete. Without an explicit end, one that broke there
/// looks the same, which shows in that it has no event or its server has ended. `held` are the events that weren't
/// relayed yet.
pub(super) async fn is_whole<D: dialect::Dialect>(
    request: &stream_request::StreamRequest<D>,
    response: &send::ServerResponse,
    server: &backends::Backend,
    held: &[Bytes],
) -> bool {
    let has_end = response.has_explicit_end;
    let has_events = response.attempt.began().is_some() || !held.is_empty();
    (has_end || has_events) && send::ended_whole(&request.cx, has_end, server).await
}

/// How an event's id relates to that of the last event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EventOrder {
    Next,
    /// The caller has the event already.
    Duplicate,
    /// At least one event before it is missing.
    Gap,
}

/// Checks an event's id against the last one. Unless the event is a duplicate or follows a gap,
/// records it as delivered and counts its tokens.
pub(super) fn check_event_id<D: dialect::Dialect>(
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
    if event.id.is_some() || !request.route.kind.may_run_again() {
        request.tokens_generated = request
            .tokens_generated
            .saturating_add(request.engines.tokens_per_event);
    }
    EventOrder::Next
}

/// Records the length of a complete answer to predict those of later ones. Resumed streams are
/// skipped, as they contain only the rest of the answer.
pub(super) fn record_length<D: dialect::Dialect>(request: &stream_request::StreamRequest<D>) {
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
pub(super) async fn abort<D: dialect::Dialect>(
    request: &stream_request::StreamRequest<D>,
    tx: &EventSender,
    cause: &'static str,
) {
    request.set_state(stream_progress::StreamState::BrokenOff);
    // Fails only if the caller has disconnected already.
    let _ = tx.send(Err(answer::Broken)).await;
    request.cx.record_broken_stream();
    record_end(request, "broken", cause);
}

/// Records that all events were passed on.
pub(super) fn complete<D: dialect::Dialect>(request: &stream_request::StreamRequest<D>) {
    request.set_state(stream_progress::StreamState::Received);
    record_end(request, "complete", "");
}

/// Counts and logs the end of the stream to the caller. `how` is "complete", "caller left" or
/// "broken".
pub(super) fn record_end<D: dialect::Dialect>(
    request: &stream_request::StreamRequest<D>,
    how: &'static str,
    cause: &'static str,
) {
    let took = request.cx.now().saturating_sub(request.arrived);
    let server = request.received.progress.server();
    request.cx.telemetry.count(match how {
        "complete" => "streams.complete",
        "broken" => "streams.broken",
        _ => "streams.left",
    });
    event!(Info, "stream-ended", "id" => request.received.head.request_id, "how" => how,
        "cause" => cause, "server" => server, "events" => request.last_event,
        "tokens" => request.tokens_generated, "took_ms" => took.as_millis() as u64,
        "leaving_ms" => request.cx.leaving_for().as_millis() as u64);
}
