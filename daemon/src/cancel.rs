//! Cancels at engines, repeated until they are confirmed.

use std::sync;
use std::time;

use walnuthaven_lib::grant;

use crate::engine;
use crate::metrics;

const TRIES: u32 = 4;
const PAUSE: time::Duration = time::Duration::from_millis(100);

/// Frees what a request holds at an engine, in the background.
pub fn spawn(engines: engine::Client, metrics: sync::Arc<metrics::Metrics>, order: grant::Cancel) {
    tokio::spawn(async move {
        let call = engine::Cancel {
            request: order.request_id.to_string(),
            attempt: order.attempt,
        };
        for _ in 0..TRIES {
            match engines.cancel(&order.server.addr, &call).await {
                Ok(()) => return,
                // A server that is not there holds nothing.
                Err(engine::Failure::Unreached) => return,
                Err(failure) => log::debug!(
                    "cancel of {} at {}: {failure:?}",
                    order.request_id,
                    order.server.name
                ),
            }
            tokio::time::sleep(PAUSE).await;
        }
        metrics.count("cancel.unconfirmed");
    });
}
