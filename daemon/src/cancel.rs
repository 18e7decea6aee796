//! Cancels requests at engines, with retries until the engine confirms.

use std::sync;
use std::time;

use walnuthaven_lib::grant;

use crate::engine;
use crate::metrics;

const MAX_ATTEMPTS: u32 = 4;
const RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// Cancels a request's attempts at an engine in the background, which frees the engine memory and
/// the decode slot that they hold.
pub fn spawn(engines: engine::Client, metrics: sync::Arc<metrics::Metrics>, order: grant::Cancel) {
    tokio::spawn(async move {
        let call = engine::Cancel {
            request: order.request_id.to_string(),
            attempt: order.attempt,
        };
        for _ in 0..MAX_ATTEMPTS {
            match engines.cancel(&order.server.addr, &call).await {
                Ok(()) => return,
                // A server that can't be reached holds nothing for the request.
                Err(engine::Failure::Unreached) => return,
                Err(failure) => log::debug!(
                    "can't cancel request {} at {}: {failure:?}",
                    order.request_id,
                    order.server.name
                ),
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        metrics.count("cancel.unconfirmed");
    });
}
