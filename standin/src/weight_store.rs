//! Stand-in for the store of model weights. All loads share its bandwidth.

use std::net;
use std::sync;
use std::time;

use axum::extract;
use axum::routing;

use crate::http_server;

/// Size of each model in megabytes.
const MODEL_MB: u64 = 2_000;

#[derive(Clone, Debug)]
struct StoreState {
    mb_s: u64,
    link: sync::Arc<tokio::sync::Mutex<()>>,
    load_count: sync::Arc<sync::atomic::AtomicU64>,
}

/// A running weight store.
#[derive(Clone, Debug)]
pub struct WeightStore {
    /// Address it serves on.
    pub addr: net::SocketAddr,
    load_count: sync::Arc<sync::atomic::AtomicU64>,
}

impl WeightStore {
    /// Starts a store on `listener` with a bandwidth of `mb_s` megabytes per second.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener has no address.
    pub fn start(listener: tokio::net::TcpListener, mb_s: u64) -> anyhow::Result<Self> {
        let addr = listener.local_addr()?;
        let load_count = sync::Arc::new(sync::atomic::AtomicU64::new(0));
        let store = StoreState {
            mb_s: mb_s.max(1),
            link: sync::Arc::default(),
            load_count: load_count.clone(),
        };
        let router = axum::Router::new()
            .route("/weights/{model}", routing::get(load))
            .with_state(store);
        tokio::spawn(async move { http_server::serve(listener, router).await });
        Ok(Self { addr, load_count })
    }

    /// Returns how many loads were requested so far.
    pub fn load_count(&self) -> u64 {
        self.load_count.load(sync::atomic::Ordering::Relaxed)
    }
}

async fn load(
    extract::State(store): extract::State<StoreState>,
    extract::Path(model): extract::Path<String>,
) -> String {
    store
        .load_count
        .fetch_add(1, sync::atomic::Ordering::Relaxed);
    // Loads run one after another, each at the full bandwidth.
    let _link = store.link.lock().await;
    tokio::time::sleep(time::Duration::from_millis(MODEL_MB * 1_000 / store.mb_s)).await;
    format!("{model}: {MODEL_MB} MB\n")
}
