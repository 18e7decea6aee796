//! Has another server go on with the stream of a silent one, which is given up only once the other one sends.

use walnuthaven_lib::dialect;

use crate::router::context;
use crate::router::engine_prepare;
use crate::router::engine_stream;
use crate::router::events::event;
use crate::router::relay;
use crate::router::run_move;
use crate::router::send;
use crate::router::stream_events;
use crate::router::stream_request;

/// What became of a silent stream after its request was sent to another server.
pub(super) enum Replacement<D: dialect::Dialect> {
    /// The other server goes on.
    Opened(engine_stream::OpenStream<D>),
    /// The other server failed, and the silent stream is still open.
    Kept(relay::ServerStream<D>),
    /// The silent stream broke off as its run was stopped for a move.
    Stopped(relay::ServerStream<D>),
    /// Neither goes on.
    Failed(&'static str),
}

/// Has another server go on with a silent stream. The stream is kept until the other server begins to send, and goes on
/// itself if it sends first or the other server fails.
pub(super) async fn replace<D: dialect::Dialect>(
    request: &mut stream_request::StreamRequest<D>,
    stream: relay::ServerStream<D>,
    other: engine_prepare::PreparedServer<D>,
) -> Replacement<D> {
    let server = stream.server.clone();
    let cx = request.cx.clone();
    let mut silent = Some(stream);
    let mut other = other;
    let started = loop {
        event!(Info, "server-replaced", "id" => request.id(), "server" => server.id,
            "cause" => "server fell silent", "by" => other.server.id,
            "delivered" => request.last_event);
        let started = tokio::select! {
            started = request.start_on(other) => started,
            kept = wait_until_sending(&cx, &mut silent) => return kept,
        };
        match started {
            Ok(engine_stream::DecodeResult::Replaced(next)) => other = next,
            started => break started,
        }
    };
    let opened = match (started, silent) {
        (Ok(engine_stream::DecodeResult::Stream(opened)), None) => Ok(opened),
        (Ok(engine_stream::DecodeResult::Stream(opened)), Some(stream)) => {
            match first_to_send(&cx, opened, stream).await {
                Ok(opened) => Ok(opened),
                Err(kept) => return *kept,
            }
        }
        (_, Some(stream)) => return Replacement::Kept(stream),
        (Ok(_), None) => {
            request.leave_silent_server(&server);
            request.open(None).await
        }
        (Err(failure), None) => Err(failure),
    };
    request.leave_silent_server(&server);
    match opened {
        Ok(opened) => Replacement::Opened(opened),
        Err(failure) => Replacement::Failed(failure.cause()),
    }
}

/// Waits until the other server sends an event, or the silent one does, after the head of the other one's answer.
///
/// # Errors
///
/// Returns what became of the silent stream if the other one isn't to go on.
async fn first_to_send<D: dialect::Dialect>(
    cx: &context::Router<D>,
    opened: engine_stream::OpenStream<D>,
    stream: relay::ServerStream<D>,
) -> Result<engine_stream::OpenStream<D>, Box<Replacement<D>>> {
    let mut opened = opened;
    let mut silent = Some(stream);
    let awaited = {
        let body = &mut opened.response.body;
        tokio::select! {
            awaited = stream_events::wait_for_event(body, &mut opened.splitter) => awaited,
            kept = wait_until_sending(cx, &mut silent) => return Err(Box::new(kept)),
        }
    };
    match (awaited, silent) {
        (stream_events::Arrival::Break, Some(stream)) => Err(Box::new(Replacement::Kept(stream))),
        _ => Ok(opened),
    }
}

/// Waits until a silent stream sends again or has ended whole, or breaks off because its run was stopped for a move, and takes
/// it from `silent`. Drops it and waits forever if it breaks off otherwise.
async fn wait_until_sending<D: dialect::Dialect>(
    cx: &context::Router<D>,
    silent: &mut Option<relay::ServerStream<D>>,
) -> Replacement<D> {
    if let Some(stream) = silent {
        let body = &mut stream.response.body;
        let goes_on = match stream_events::wait_for_event(body, &mut stream.splitter).await {
            stream_events::Arrival::Event => true,
            stream_events::Arrival::End => {
                let has_end = stream.response.has_explicit_end;
                stream.splitter.remainder().is_empty()
                    && send::ended_whole(cx, has_end, &stream.server).await
            }
            stream_events::Arrival::Break => false,
        };
        let run_move = stream.run_move.as_ref();
        let is_stopped = run_move.is_some_and(run_move::RunMove::is_decided);
        if let Some(stream) = silent.take() {
            if goes_on {
                return Replacement::Kept(stream);
            }
            if is_stopped {
                return Replacement::Stopped(stream);
            }
        }
    }
    std::future::pending().await
}
