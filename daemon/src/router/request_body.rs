//! Reads the body of a caller's request, within its limits and the memory of the host.

use std::time;

use bytes::Bytes;
use walnuthaven_lib::dialect;
use walnuthaven_lib::load_shedding;

use crate::router::answer;
use crate::router::clients;
use crate::router::context;
use crate::router::events::event;
use crate::router::events::limited_event;
use crate::router::read_limit;

/// Retry-After when there is no memory for the body: about the time that a request takes.
const NO_MEMORY_RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

/// How much of a body is read.
#[derive(Clone, Copy, Debug)]
pub(super) struct BodyLimits {
    /// The most bytes that it can have, according to the request's head.
    pub(super) stated_bytes: usize,
    /// The most bytes that it may have.
    pub(super) max_bytes: usize,
    /// When it must have been received, as time since boot.
    pub(super) deadline: time::Duration,
}

/// Reads a body. Returns it with the memory that it holds.
///
/// # Errors
///
/// Returns the answer to the request, which hasn't run.
pub(super) async fn read<D: dialect::Dialect>(
    cx: &context::Router<D>,
    client: &clients::Client,
    id: Option<&str>,
    mut body: read_limit::LimitedBody,
    limits: BodyLimits,
) -> Result<(Bytes, clients::Held), answer::Answer> {
    let Some(memory) = client.reserve(limits.stated_bytes).await else {
        event!(Info, "refused", "id" => id, "cause" => "no memory for the body",
            "bytes" => limits.stated_bytes);
        return Err(answer::not_run(
            "no memory for the body",
            NO_MEMORY_RETRY_AFTER,
        ));
    };
    client.enter(load_shedding::Phase::Body);
    let reading = read_limit::collect(&mut body, limits.stated_bytes, limits.max_bytes);
    let time_left = limits.deadline.saturating_sub(cx.now());
    let read = tokio::time::timeout(time_left, reading).await;
    client.enter(load_shedding::Phase::Served);
    match read {
        Ok(Ok(body)) => Ok((body, memory)),
        Ok(Err(read_limit::BodyFault::TooLarge)) => {
            limited_event!(Info, "body-too-large", "id" => id, "limit" => limits.max_bytes);
            Err(answer::from_router(
                http::StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too large",
            ))
        }
        Ok(Err(read_limit::BodyFault::BrokeOff)) => Err(answer::from_router(
            http::StatusCode::BAD_REQUEST,
            "the body broke off",
        )),
        Err(_) => {
            event!(Info, "refused", "id" => id, "cause" => "body not read in time");
            Err(answer::from_router(
                http::StatusCode::REQUEST_TIMEOUT,
                "the body took too long",
            ))
        }
    }
}
