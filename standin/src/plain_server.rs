//! Stand-in for a backend server of a plain service, that is, a service without a model, whose calls
//! hosts proxy. It records each call that runs.

use std::net;
use std::sync;
use std::time;

use axum::extract;
use axum::response;
use axum::response::IntoResponse as _;
use axum::routing;
use walnuthaven_lib::history;

use crate::http_server;
use crate::recorder;

/// Faults that a plain server injects, as shares from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Share of calls that run but are never answered.
    pub lose_replies: f64,
    /// Share of calls that fail with status 500 before they run.
    pub fail: f64,
}

/// A running plain server.
#[derive(Clone, Debug)]
pub struct Server {
    /// The backend server's name.
    pub name: String,
    /// Address it serves on.
    pub addr: net::SocketAddr,
    shared: sync::Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    name: String,
    repeatable: bool,
    recorder: sync::Arc<recorder::Recorder>,
    faults: sync::Mutex<Faults>,
    call_duration: sync::Mutex<time::Duration>,
    /// When the server announced that it leaves, if it did.
    leaving_since: sync::Mutex<Option<std::time::Instant>>,
}

const CALL_DURATION: time::Duration = time::Duration::from_millis(2);

impl Server {
    /// Starts a server on `listener`. `repeatable` tells whether calls may run more than once.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener has no address.
    pub fn start(
        name: &str,
        repeatable: bool,
        listener: tokio::net::TcpListener,
        recorder: sync::Arc<recorder::Recorder>,
    ) -> anyhow::Result<Self> {
        let addr = listener.local_addr()?;
        let shared = sync::Arc::new(Shared {
            name: name.to_owned(),
            repeatable,
            recorder,
            faults: sync::Mutex::default(),
            call_duration: sync::Mutex::new(CALL_DURATION),
            leaving_since: sync::Mutex::default(),
        });
        let router = axum::Router::new()
            .route("/healthz", routing::get(health))
            .fallback(call)
            .with_state(shared.clone());
        tokio::spawn(async move { http_server::serve(listener, router).await });
        Ok(Self {
            name: name.to_owned(),
            addr,
            shared,
        })
    }

    /// Sets the faults to inject from now on.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.shared.faults) = faults;
    }

    /// Sets how long a call runs from now on.
    pub fn set_call_duration(&self, duration: time::Duration) {
        *lock(&self.shared.call_duration) = duration;
    }

    /// Makes the health check fail, which announces that the server leaves.
    pub fn start_leaving(&self) {
        *lock(&self.shared.leaving_since) = Some(std::time::Instant::now());
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

async fn health(extract::State(shared): extract::State<sync::Arc<Shared>>) -> http::StatusCode {
    match lock(&shared.leaving_since).is_some() {
        true => http::StatusCode::SERVICE_UNAVAILABLE,
        false => http::StatusCode::OK,
    }
}

async fn call(
    extract::State(shared): extract::State<sync::Arc<Shared>>,
    headers: http::HeaderMap,
    uri: http::Uri,
) -> response::Response {
    let faults = *lock(&shared.faults);
    if rand::random::<f64>() < faults.fail {
        return http::StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    let leaving_since = *lock(&shared.leaving_since);
    if let Some(since) = leaving_since {
        let after = since.elapsed().as_millis();
        shared
            .recorder
            .record_event(history::Event::WorkAfterLeave {
                server: shared.name.clone(),
                after_ms: u64::try_from(after).unwrap_or(u64::MAX),
            });
    }
    let id = headers.get("x-request-id").and_then(|id| id.to_str().ok());
    if let Some(id) = id {
        shared.recorder.record_event(history::Event::Ran {
            request: id.to_owned(),
            server: shared.name.clone(),
            repeatable: shared.repeatable,
        });
    }
    let duration = *lock(&shared.call_duration);
    tokio::time::sleep(duration).await;
    if rand::random::<f64>() < faults.lose_replies {
        // The connection stays open without a response until the client's timeout.
        std::future::pending::<()>().await;
    }
    format!("ok {} {}", uri.path(), id.unwrap_or("-")).into_response()
}
