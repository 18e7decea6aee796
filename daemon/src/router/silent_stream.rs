//! Has another server go on with the stream of a silent one, which is given up only once the other one sends.

use walnuthaven_lib::dialect;

use crate::router::engine_prepare;
use crate::router::engine_stream;
use crate::router::events::event;
use crate::router::relay;
use crate::router::stream_events;
use crate::router::stream_request;

/// What became of a silent stream after its request was sent to another server.
pub(super) enum Replacement<D: dialect::Dialect> {
    /// The other server goes on.
    Opened(engine_stream::OpenStream<D>),
    /// The other server failed, and the silent stream is still open.
    Kept(relay::ServerStream<D>),
    /// Neither goes on.
    Failed(&'static str),
}

/// Has another server go on with a silent stream. The stream is kept until the other server begins to send, and goes on
/// itself if it sends first or the other server fails.
pub(super) async fn replace<D: dialect::Dialect>(
    request: &mut stream_request::StreamRequest<D>,
    silent: relay::ServerStream<D>,
    other: engine_prepare::PreparedServer<D>,
) -> Replacement<D> {
    let server = silent.server.clone();
    let mut held = Some(silent);
    let mut other = other;
    let started = loop {
        event!(Info, "server-replaced", "id" => request.id(), "server" => server.id,
            "cause" => "server fell silent", "by" => other.server.id,
            "delivered" => request.last_event);
        let started = tokio::select! {
            started = request.start_on(other) => started,
            stream = wait_until_sending(&mut held) => return Replacement::Kept(stream),
        };
        match started {
            Ok(engine_stream::DecodeResult::Replaced(next)) => other = next,
            started => break started,
        }
    };
    let opened = match (started, held) {
        (Ok(engine_stream::DecodeResult::Stream(opened)), _) => Ok(opened),
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

/// Waits until a silent stream sends again, and takes it from `held`. Drops it and waits forever if it breaks off.
async fn wait_until_sending<D: dialect::Dialect>(
    held: &mut Option<relay::ServerStream<D>>,
) -> relay::ServerStream<D> {
    if let Some(stream) = held {
        let body = &mut stream.response.body;
        if stream_events::wait_for_event(body, &mut stream.splitter).await
            && let Some(stream) = held.take()
        {
            return stream;
        }
        *held = None;
    }
    std::future::pending().await
}
