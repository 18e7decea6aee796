//! Relays streams that other hosts serve, while this one reaches no engine.

use std::sync;

use walnuthaven_lib::dialect;
use walnuthaven_lib::event_stream;

use crate::router::answer;
use crate::router::context;
use crate::router::events::event;
use crate::router::relay;
use crate::router::stream_events;
use crate::router::stream_progress;
use crate::router::stream_request;
use crate::router::via_peer;

/// How the part of a stream that one host serves ended.
enum PartEnd {
    Complete,
    CallerLeft,
    Broken(&'static str),
}

/// Has another host answer a request for a stream, and starts a task that relays the stream.
///
/// # Errors
///
/// Returns the request if no other host has sent it to a server.
pub(crate) async fn answer<D: dialect::Dialect>(
    mut request: stream_request::StreamRequest<D>,
    guard: context::InFlightGuard<D>,
) -> Result<answer::Answer, Box<Unsent<D>>> {
    let cx = request.cx.clone();
    let received = request.received.clone();
    let began_as = request.began_as().to_owned();
    let mut passed = request.passed_on(&received, &began_as);
    let opened = passed.open(&cx).await;
    let used_attempts = passed.used_attempts;
    request.record_used(used_attempts);
    let opened = match opened {
        Ok(opened) => opened,
        Err(via_peer::Failure::NotSent) => return Err(Box::new((request, guard))),
        Err(via_peer::Failure::Unknown(cause)) => {
            return Ok(answer::from_router(http::StatusCode::BAD_GATEWAY, cause));
        }
    };
    if !opened.is_stream {
        let read = opened.read_to_end().await;
        return Ok(
            read.unwrap_or_else(|cause| answer::from_router(http::StatusCode::BAD_GATEWAY, cause))
        );
    }
    let (tx, rx) = relay::event_channel();
    let mut answer = http::Response::new(answer::ResponseBody::Events(rx));
    *answer.status_mut() = opened.status;
    *answer.headers_mut() = opened.headers.clone();
    tokio::spawn(async move {
        relay(request, opened, tx).await;
        drop(guard);
    });
    Ok(answer)
}

/// A request that no other host has sent to a server.
pub(crate) type Unsent<D> = (stream_request::StreamRequest<D>, context::InFlightGuard<D>);

/// Has other hosts continue a stream of which the caller has a part, if this one reaches no engine. Otherwise the
/// stream ends with an error, by `cause`.
pub(crate) async fn resume<D: dialect::Dialect>(
    mut request: stream_request::StreamRequest<D>,
    tx: stream_events::EventSender,
    cause: &'static str,
) {
    let reopened = match request.reaches_few_engines() {
        true => reopen(&mut request).await,
        false => None,
    };
    match reopened {
        Some(opened) => relay(request, opened, tx).await,
        None => stream_events::abort(&request, &tx, cause).await,
    }
}

/// Has another host continue the stream.
async fn reopen<D: dialect::Dialect>(
    request: &mut stream_request::StreamRequest<D>,
) -> Option<via_peer::PeerAnswer<D>> {
    let cx = request.cx.clone();
    let received: sync::Arc<_> = request.received.clone();
    let began_as = request.began_as().to_owned();
    let mut passed = request.passed_on(&received, &began_as);
    let opened = passed.open(&cx).await.ok();
    let used_attempts = passed.used_attempts;
    request.record_used(used_attempts);
    opened.filter(|opened| opened.is_stream && opened.status.is_success())
}

/// Relays a stream of which the head has arrived, from as many hosts one after the other as it takes.
async fn relay<D: dialect::Dialect>(
    mut request: stream_request::StreamRequest<D>,
    mut opened: via_peer::PeerAnswer<D>,
    tx: stream_events::EventSender,
) {
    request.set_state(stream_progress::StreamState::AtOtherHost);
    loop {
        let cause = match relay_part(&mut request, &mut opened, &tx).await {
            PartEnd::Complete => return stream_events::complete(&request),
            PartEnd::CallerLeft => return stream_events::record_end(&request, "caller left", ""),
            PartEnd::Broken(cause) => cause,
        };
        event!(Info, "peer-stream-broke", "id" => request.id(), "host" => opened.peer,
            "cause" => cause, "delivered" => request.last_event);
        let reopened = tokio::select! {
            reopened = reopen(&mut request) => reopened,
            () = tx.closed() => return stream_events::record_end(&request, "caller left", ""),
        };
        match reopened {
            Some(next) => opened = next,
            None => return stream_events::abort(&request, &tx, cause).await,
        }
    }
}

/// Relays the events of one host until they end.
async fn relay_part<D: dialect::Dialect>(
    request: &mut stream_request::StreamRequest<D>,
    opened: &mut via_peer::PeerAnswer<D>,
    tx: &stream_events::EventSender,
) -> PartEnd {
    let mut splitter = event_stream::Splitter::default();
    // Bytes that continued the stream by nothing.
    let mut useless_bytes = 0;
    loop {
        let time_left = request.deadline.saturating_sub(request.cx.now());
        let data = tokio::select! {
            data = opened.next() => data,
            () = tx.closed() => return PartEnd::CallerLeft,
            () = tokio::time::sleep(time_left) => return PartEnd::Broken("time limit reached"),
        };
        match data {
            Ok(Some(data)) => splitter.push(&data),
            Ok(None) if splitter.remainder().is_empty() => return PartEnd::Complete,
            Ok(None) => return PartEnd::Broken(stream_events::BROKE_WITHIN_EVENT),
            Err(cause) => return PartEnd::Broken(cause),
        }
        if splitter.exceeds_max_event() {
            return PartEnd::Broken("event too large");
        }
        while let Some(event) = splitter.next_event() {
            match stream_events::check_event_id(request, &event) {
                stream_events::EventOrder::Next => useless_bytes = 0,
                stream_events::EventOrder::Duplicate => {
                    useless_bytes += event.bytes.len();
                    if useless_bytes > event_stream::MAX_EVENT_BYTES {
                        return PartEnd::Broken("bytes that are no answer");
                    }
                    continue;
                }
                stream_events::EventOrder::Gap => return PartEnd::Broken("events are missing"),
            }
            let progress = &request.received.progress;
            if !stream_events::send_events(tx, progress, vec![event.bytes]).await {
                return PartEnd::CallerLeft;
            }
            progress.record_event(request.last_event, request.cx.now());
        }
    }
}
