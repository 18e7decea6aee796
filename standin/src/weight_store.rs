//! Stand-in of the weight store, with a rate that all loads share.

use std::net;
use std::sync;
use std::time;

use axum::extract;
use axum::routing;

use crate::http_server;

/// Size of a model in megabytes.
const MODEL_MB: u64 = 2_000;

#[derive(Clone, Debug)]
struct Store {
    mb_s: u64,
    turn: sync::Arc<tokio::sync::Mutex<()>>,
    loads: sync::Arc<sync::atomic::AtomicU64>,
}

/// A running weight store.
#[derive(Clone, Debug)]
pub struct WeightStore {
    /// Its address.
    pub addr: net::SocketAddr,
    loads: sync::Arc<sync::atomic::AtomicU64>,
}

impl WeightStore {
    /// Starts a store with a rate in megabytes per second.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener has no address.
    pub fn start(listener: tokio::net::TcpListener, mb_s: u64) -> anyhow::Result<Self> {
        let addr = listener.local_addr()?;
        let loads = sync::Arc::new(sync::atomic::AtomicU64::new(0));
        let store = Store {
            mb_s: mb_s.max(1),
            turn: sync::Arc::default(),
            loads: loads.clone(),
        };
        let router = axum::Router::new()
            .route("/weights/{model}", routing::get(load))
            .with_state(store);
        tokio::spawn(async move { http_server::serve(listener, router).await });
        Ok(Self { addr, loads })
    }

    /// Returns how many loads were asked for.
    pub fn loads(&self) -> u64 {
        self.loads.load(sync::atomic::Ordering::Relaxed)
    }
}

async fn load(
    extract::State(store): extract::State<Store>,
    extract::Path(model): extract::Path<String>,
) -> String {
    store.loads.fetch_add(1, sync::atomic::Ordering::Relaxed);
    // Loads share the rate by taking turns.
    let _turn = store.turn.lock().await;
    tokio::time::sleep(time::Duration::from_millis(MODEL_MB * 1_000 / store.mb_s)).await;
    format!("{model}: {MODEL_MB} MB\n")
}
