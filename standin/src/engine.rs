//! Stand-in for a model engine: its HTTP API and its restarts after crashes.
//!
//! The work behind the API is in `engine_state`, what it keeps in memory in `engine_memory`.

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

/// Parameters of an engine.
#[derive(Clone, Debug)]
pub struct Spec {
    /// The backend server's name.
    pub name: String,
    /// The role it starts with.
    pub role: engines::Role,
    /// Number of decode slots.
    pub slots: u32,
    /// Prompt tokens computed per second.
    pub prefill_tokens_s: u32,
    /// Bandwidth for transfers out of the engine, in megabytes per second.
    pub link_mb_s: u32,
    /// Whether it refuses orders whose fencing number is lower than that of an earlier order.
    pub checks_fencing: bool,
    /// Base URL of the weight store. Without it, a model loads at once.
    pub weights: Option<String>,
}

/// A running engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// The parameters it was started with.
    pub spec: Spec,
    /// Address of its HTTP API.
    pub addr: net::SocketAddr,
    shared: sync::Arc<state::EngineState>,
}

const RESTART_DELAY: time::Duration = time::Duration::from_millis(1_500);
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

impl Engine {
    /// Starts an engine that serves on `listener`.
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
        let shared = sync::Arc::new(state::EngineState::new(spec.clone(), recorder));
        let engine = Self { spec, addr, shared };
        let running = engine.clone();
        tokio::spawn(async move { running.run(listener).await });
        Ok(engine)
    }

    /// Crashes the engine. It restarts after `RESTART_DELAY`, without its requests and its prefix
    /// cache.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Makes the engine report that it leaves and refuse new requests.
    pub fn start_leaving(&self) {
        self.shared.start_leaving();
    }

    /// Sets the share of the transfers out of this engine that stall, from 0 to 1.
    pub fn set_stall_share(&self, share: f64) {
        self.shared.set_stall_share(share);
    }

    /// Returns whether a decode slot is held for a request.
    pub fn holds_memory_for(&self, request: &str) -> bool {
        self.shared.holds_memory_for(request)
    }

    /// Returns how many decode slots are in use.
    pub fn slots_used(&self) -> usize {
        self.shared.slots_used()
    }

    /// Returns the version of the loaded model.
    pub fn version(&self) -> String {
        self.shared.version()
    }

    /// Returns the engine's current role.
    pub fn role(&self) -> engines::Role {
        self.shared.role()
    }

    async fn run(&self, mut listener: tokio::net::TcpListener) {
        loop {
            let router = router(&self.shared);
            let crash = self.shared.next_crash();
            tokio::select! {
                never = http_server::serve(listener, router) => match never {},
                () = self.shared.run() => {}
                () = crash => {}
            }
            self.shared.clear();
            tokio::time::sleep(RESTART_DELAY).await;
            listener = match http_server::rebind(self.addr).await {
                Ok(listener) => listener,
                Err(error) => {
                    log::error!("engine {} could not restart: {error}", self.spec.name);
                    return;
                }
            };
            self.shared.accept_calls();
        }
    }
}

type StateExtractor = extract::State<sync::Arc<state::EngineState>>;

fn router(shared: &sync::Arc<state::EngineState>) -> axum::Router {
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

fn refusal_response(refusal: memory::Refusal) -> response::Response {
    let status = match refusal {
        memory::Refusal::Cancelled => http::StatusCode::CONFLICT,
        memory::Refusal::ExportGone => http::StatusCode::GONE,
        memory::Refusal::Fenced => http::StatusCode::PRECONDITION_FAILED,
        memory::Refusal::Full => http::StatusCode::TOO_MANY_REQUESTS,
        memory::Refusal::Leaving => http::StatusCode::SERVICE_UNAVAILABLE,
    };
    status.into_response()
}

async fn prefill(
    extract::State(shared): StateExtractor,
    axum::Json(call): axum::Json<protocol::Prefill>,
) -> response::Response {
    match shared.prefill(call).await {
        Ok(exported) => axum::Json(exported).into_response(),
        Err(refusal) => refusal_response(refusal),
    }
}

async fn import(
    extract::State(shared): StateExtractor,
    axum::Json(call): axum::Json<protocol::Import>,
) -> response::Response {
    let mut slot = match shared.reserve(&call).await {
        Ok(slot) => slot,
        Err(refusal) => return refusal_response(refusal),
    };
    let url = format!("http://{}/v1/pull/{}", call.source, call.export);
    let http = shared.http();
    let pulled = http.post(url).send().await;
    let content = match pulled {
        Ok(response) if response.status().is_success() => response.json().await.ok(),
        _ => None,
    };
    let content: Option<memory::KvData> = content;
    match content {
        Some(content) => match slot.fill(content) {
            Ok(()) => axum::Json(json!({})).into_response(),
            Err(refusal) => refusal_response(refusal),
        },
        None => refusal_response(memory::Refusal::ExportGone),
    }
}

/// Sends an export to the decode engine that pulls it. All transfers out of an engine share its
/// bandwidth.
async fn pull(
    extract::State(shared): StateExtractor,
    extract::Path(export): extract::Path<u64>,
) -> response::Response {
    let Ok(transfer) = shared.begin_pull(export) else {
        return refusal_response(memory::Refusal::ExportGone);
    };
    if transfer.stalled {
        // A stalled transfer sends nothing until the receiver gives up.
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(transfer.duration).await;
    match shared.end_pull(export) {
        Ok(content) => axum::Json(content).into_response(),
        Err(refusal) => refusal_response(refusal),
    }
}

async fn decode(
    extract::State(shared): StateExtractor,
    axum::Json(call): axum::Json<protocol::Decode>,
) -> response::Response {
    let frames = match shared.attach(&call) {
        Ok(frames) => frames,
        Err(refusal) => return refusal_response(refusal),
    };
    let attached = AttachedStream {
        shared,
        request: call.request,
        attempt: call.attempt,
        rx: frames,
    };
    let lines = stream::unfold(attached, |mut attached| async {
        let first_frame = attached.rx.recv().await?;
        let mut out = Vec::new();
        write_frame(&mut out, &first_frame);
        while let Ok(frame) = attached.rx.try_recv() {
            write_frame(&mut out, &frame);
        }
        Some((Ok::<Bytes, convert::Infallible>(out.into()), attached))
    });
    body::Body::from_stream(lines).into_response()
}

fn write_frame(out: &mut Vec<u8>, frame: &protocol::Frame) {
    // Writing to a `Vec` can't fail.
    let _ = serde_json::to_writer(&mut *out, frame);
    out.push(b'\n');
}

/// A token stream with a reader. If it is dropped, the request runs on, so that the reader can
/// resume the stream.
struct AttachedStream {
    shared: sync::Arc<state::EngineState>,
    request: String,
    attempt: u32,
    rx: mpsc::UnboundedReceiver<protocol::Frame>,
}

impl Drop for AttachedStream {
    fn drop(&mut self) {
        self.shared.detach(&self.request, self.attempt);
    }
}

async fn cancel(
    extract::State(shared): StateExtractor,
    axum::Json(call): axum::Json<protocol::Cancel>,
) -> response::Response {
    shared.cancel(&call.request, call.attempt);
    axum::Json(json!({})).into_response()
}

async fn orders(
    extract::State(shared): StateExtractor,
    axum::Json(call): axum::Json<protocol::Order>,
) -> response::Response {
    match shared.order(&call).await {
        Ok(()) => axum::Json(json!({})).into_response(),
        Err(refusal) => refusal_response(refusal),
    }
}

#[derive(Debug, Deserialize)]
struct LoadQuery {
    /// The report contains only cache events with higher numbers.
    #[serde(default)]
    after: u64,
}

/// Returns the engine's load report with its recent cache events.
async fn load(
    extract::State(shared): StateExtractor,
    extract::Query(query): extract::Query<LoadQuery>,
) -> response::Response {
    axum::Json(shared.load(query.after)).into_response()
}

/// Returns how long a transfer of `tokens` tokens takes while no other transfer uses the link.
pub fn transfer_time(tokens: u32, link_mb_s: u32) -> time::Duration {
    transfer::expected_duration(tokens, link_mb_s)
}

/// The blocks of prompt prefixes that an engine has cached, with least-recently-used eviction.
#[derive(Debug, Default)]
pub struct BlockCache {
    /// Value of `use_count` at the last use of each block.
    last_used: collections::HashMap<u64, u64>,
    /// Number of uses of blocks so far, which orders the uses in time.
    use_count: u64,
}

impl BlockCache {
    /// Returns how many of the leading blocks are cached.
    pub fn cached_prefix(&self, blocks: &[u64]) -> usize {
        let is_cached = |block: &&u64| self.last_used.contains_key(block);
        blocks.iter().take_while(is_cached).count()
    }

    /// Marks blocks as used and evicts the least recently used ones above `capacity`. Returns the
    /// blocks that were added and those that were evicted.
    pub fn touch(&mut self, blocks: &[u64], capacity: usize) -> (Vec<u64>, Vec<u64>) {
        let mut stored = Vec::new();
        for block in blocks {
            self.use_count += 1;
            if self.last_used.insert(*block, self.use_count).is_none() {
                stored.push(*block);
            }
        }
        let mut evicted = Vec::new();
        while self.last_used.len() > capacity {
            let oldest = self.last_used.iter().min_by_key(|(_, at)| **at);
            let Some(block) = oldest.map(|(block, _)| *block) else {
                break;
            };
            self.last_used.remove(&block);
            evicted.push(block);
        }
        (stored, evicted)
    }
}
