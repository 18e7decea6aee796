//! Stand-in of a model engine: its HTTP border and its crashes.

use std::collections;
use std::convert;
use std::net;
use std::sync;
use std::time;

use axum::body;
use axum::extract;
use axum::response;
use axum::response::IntoResponse as _;
use axum::routing;
use bytes::Bytes;
use futures_util::stream;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::mpsc;
use walnuthaven_daemon::engine as protocol;
use walnuthaven_lib::engines;
use walnuthaven_lib::transfer;

use crate::engine_memory as memory;
use crate::engine_state as state;
use crate::http_server;
use crate::recorder;

/// How an engine is made.
#[derive(Clone, Debug)]
pub struct Spec {
    /// The backend server's name.
    pub name: String,
    /// The role it starts with.
    pub role: engines::Role,
    /// Decode slots.
    pub slots: u32,
    /// Prompt tokens computed per second.
    pub prefill_tokens_s: u32,
    /// Link rate in megabytes per second.
    pub link_mb_s: u32,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Base URL of the weight store, if loading takes time.
    pub weights: Option<String>,
}

/// A running engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// How it was made.
    pub spec: Spec,
    /// Its address.
    pub addr: net::SocketAddr,
    shared: sync::Arc<state::Shared>,
}

const RESTART: time::Duration = time::Duration::from_millis(1_500);
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

impl Engine {
    /// Starts an engine on a listener.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener has no address.
    pub fn start(
        spec: Spec,
        listener: tokio::net::TcpListener,
        recorder: sync::Arc<recorder::Recorder>,
    ) -> anyhow::Result<Self> {
        let addr = listener.local_addr()?;
        let shared = sync::Arc::new(state::Shared::new(spec.clone(), recorder));
        let engine = Self { spec, addr, shared };
        let lives = engine.clone();
        tokio::spawn(async move { lives.live(listener).await });
        Ok(engine)
    }

    /// Crashes the engine; it is back after a moment, with nothing kept.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Announces that the engine leaves.
    pub fn start_leaving(&self) {
        self.shared.start_leaving();
    }

    /// Makes a share of the transfers out of this engine stall.
    pub fn set_stall_share(&self, share: f64) {
        self.shared.set_stall_share(share);
    }

    /// Returns whether memory is held for a request.
    pub fn holds_memory_for(&self, request: &str) -> bool {
        self.shared.holds_memory_for(request)
    }

    /// Returns how many decode slots are in use.
    pub fn slots_used(&self) -> usize {
        self.shared.slots_used()
    }

    /// Returns the version that is loaded.
    pub fn version(&self) -> String {
        self.shared.version()
    }

    /// Returns the role.
    pub fn role(&self) -> engines::Role {
        self.shared.role()
    }

    async fn live(&self, mut listener: tokio::net::TcpListener) {
        loop {
            let router = router(&self.shared);
            let crashed = self.shared.crashed();
            tokio::select! {
                never = http_server::serve(listener, router) => match never {},
                () = self.shared.work() => {}
                () = crashed => {}
            }
            self.shared.reset();
            tokio::time::sleep(RESTART).await;
            listener = match http_server::rebind(self.addr).await {
                Ok(listener) => listener,
                Err(error) => {
                    log::error!("engine {}: {error}", self.spec.name);
                    return;
                }
            };
            self.shared.up();
        }
    }
}

type Shared = extract::State<sync::Arc<state::Shared>>;

fn router(shared: &sync::Arc<state::Shared>) -> axum::Router {
    axum::Router::new()
        .route("/v1/prefill", routing::post(prefill))
        .route("/v1/import", routing::post(import))
        .route("/v1/pull/{export}", routing::post(pull))
        .route("/v1/decode", routing::post(decode))
        .route("/v1/cancel", routing::post(cancel))
        .route("/v1/orders", routing::post(orders))
        .route("/v1/load", routing::get(load))
        .layer(extract::DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(shared.clone())
}

fn failed(why: memory::Refused) -> response::Response {
    let status = match why {
        memory::Refused::Cancelled => http::StatusCode::CONFLICT,
        memory::Refused::ExportGone => http::StatusCode::GONE,
        memory::Refused::Fenced => http::StatusCode::PRECONDITION_FAILED,
        memory::Refused::Full => http::StatusCode::TOO_MANY_REQUESTS,
        memory::Refused::Leaving => http::StatusCode::SERVICE_UNAVAILABLE,
    };
    status.into_response()
}

async fn prefill(
    extract::State(shared): Shared,
    axum::Json(call): axum::Json<protocol::Prefill>,
) -> response::Response {
    match shared.prefill(call).await {
        Ok(exported) => axum::Json(exported).into_response(),
        Err(why) => failed(why),
    }
}

async fn import(
    extract::State(shared): Shared,
    axum::Json(call): axum::Json<protocol::Import>,
) -> response::Response {
    let mut slot = match shared.reserve(&call).await {
        Ok(slot) => slot,
        Err(why) => return failed(why),
    };
    let url = format!("http://{}/v1/pull/{}", call.source, call.export);
    let http = shared.http();
    let pulled = http.post(url).send().await;
    let content = match pulled {
        Ok(response) if response.status().is_success() => response.json().await.ok(),
        _ => None,
    };
    let content: Option<memory::Content> = content;
    match content {
        Some(content) => match slot.fill(content) {
            Ok(()) => axum::Json(json!({})).into_response(),
            Err(why) => failed(why),
        },
        None => failed(memory::Refused::ExportGone),
    }
}

/// Sends an export over the link, which the transfers of the engine share.
async fn pull(
    extract::State(shared): Shared,
    extract::Path(export): extract::Path<u64>,
) -> response::Response {
    let Ok(sending) = shared.begin_pull(export) else {
        return failed(memory::Refused::ExportGone);
    };
    if sending.stalled {
        // A stalled transfer moves nothing until the other side gives up.
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(sending.wait).await;
    match shared.end_pull(export) {
        Ok(content) => axum::Json(content).into_response(),
        Err(why) => failed(why),
    }
}

async fn decode(
    extract::State(shared): Shared,
    axum::Json(call): axum::Json<protocol::Decode>,
) -> response::Response {
    let frames = match shared.attach(&call) {
        Ok(frames) => frames,
        Err(why) => return failed(why),
    };
    let guard = Attached {
        shared,
        request: call.request,
        attempt: call.attempt,
        rx: frames,
    };
    let lines = stream::unfold(guard, |mut guard| async {
        let first = guard.rx.recv().await?;
        let mut out = Vec::new();
        write_frame(&mut out, &first);
        while let Ok(next) = guard.rx.try_recv() {
            write_frame(&mut out, &next);
        }
        Some((Ok::<Bytes, convert::Infallible>(out.into()), guard))
    });
    body::Body::from_stream(lines).into_response()
}

fn write_frame(out: &mut Vec<u8>, frame: &protocol::Frame) {
    // Writing to memory can't fail.
    let _ = serde_json::to_writer(&mut *out, frame);
    out.push(b'\n');
}

/// A stream that someone reads. Dropping it leaves the request running, for a resume.
struct Attached {
    shared: sync::Arc<state::Shared>,
    request: String,
    attempt: u32,
    rx: mpsc::UnboundedReceiver<protocol::Frame>,
}

impl Drop for Attached {
    fn drop(&mut self) {
        self.shared.detach(&self.request, self.attempt);
    }
}

async fn cancel(
    extract::State(shared): Shared,
    axum::Json(call): axum::Json<protocol::Cancel>,
) -> response::Response {
    shared.cancel(&call.request, call.attempt);
    axum::Json(json!({})).into_response()
}

async fn orders(
    extract::State(shared): Shared,
    axum::Json(call): axum::Json<protocol::Order>,
) -> response::Response {
    match shared.order(&call).await {
        Ok(()) => axum::Json(json!({})).into_response(),
        Err(why) => failed(why),
    }
}

#[derive(Debug, Deserialize)]
struct LoadQuery {
    #[serde(default)]
    after: u64,
}

async fn load(
    extract::State(shared): Shared,
    extract::Query(query): extract::Query<LoadQuery>,
) -> response::Response {
    axum::Json(shared.load(query.after)).into_response()
}

/// Returns how long a transfer takes on an idle link.
pub fn transfer_time(tokens: u32, link_mb_s: u32) -> time::Duration {
    transfer::expected_duration(tokens, link_mb_s)
}

/// Prefix blocks in the order of their last use.
#[derive(Debug, Default)]
pub struct BlockCache {
    used: collections::HashMap<u64, u64>,
    clock: u64,
}

impl BlockCache {
    /// Returns how many leading blocks are cached.
    pub fn hits(&self, blocks: &[u64]) -> usize {
        let hit = |block: &&u64| self.used.contains_key(block);
        blocks.iter().take_while(hit).count()
    }

    /// Uses blocks. Returns those that are new and those that were evicted.
    pub fn touch(&mut self, blocks: &[u64], capacity: usize) -> (Vec<u64>, Vec<u64>) {
        let mut stored = Vec::new();
        for block in blocks {
            self.clock += 1;
            if self.used.insert(*block, self.clock).is_none() {
                stored.push(*block);
            }
        }
        let mut evicted = Vec::new();
        while self.used.len() > capacity {
            let oldest = self.used.iter().min_by_key(|(_, at)| **at);
            let Some(block) = oldest.map(|(block, _)| *block) else {
                break;
            };
            self.used.remove(&block);
            evicted.push(block);
        }
        (stored, evicted)
    }
}
