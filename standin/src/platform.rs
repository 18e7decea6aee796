//! Stand-in for the platform: an object store with versions, conditional writes and watches, and a
//! host list that lags behind.

use std::collections;
use std::net;
use std::sync;
use std::time;

use axum::extract;
use axum::response;
use axum::response::IntoResponse as _;
use axum::routing;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::watch;

use crate::http_server;

const MAX_VALUE_BYTES: usize = 1_000_000;
const MAX_WATCH_TIME: time::Duration = time::Duration::from_secs(30);

/// Faults that the platform injects.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Whether every call fails with status 503.
    pub down: bool,
    /// Share of writes, from 0 to 1, that take effect but are answered with status 504.
    pub lose_replies: f64,
    /// Delay of each call in milliseconds.
    pub slow_ms: u64,
    /// Writes allowed per second; 0 for no limit.
    pub max_writes_s: u32,
    /// Reads allowed per second; 0 for no limit.
    pub max_reads_s: u32,
}

/// Numbers of calls since the platform started.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallCounts {
    /// Number of writes.
    pub writes: u64,
    /// Number of reads. Each watch counts as one.
    pub reads: u64,
}

/// A stored object. The value of a deleted object is null.
#[derive(Clone, Debug)]
struct Object {
    version: u64,
    value: serde_json::Value,
}

/// One version of a host's entry in the host list. It becomes visible when `list_lag` has passed
/// since `listed_at`, and hides the versions before it.
#[derive(Clone, Debug)]
struct HostEntry {
    addr: String,
    kind: &'static str,
    leaving: bool,
    listed_at: time::Instant,
    gone: bool,
}

#[derive(Debug, Default)]
struct State {
    /// Version of the latest write. All objects share one sequence of versions.
    version: u64,
    /// Objects by kind and name.
    objects: collections::BTreeMap<(String, String), Object>,
    /// Versions of each host's entry by host name, oldest first.
    hosts: collections::BTreeMap<String, Vec<HostEntry>>,
    faults: Faults,
    calls: CallCounts,
    window: RateWindow,
}

/// The calls of the current second, for the rate limits.
#[derive(Debug, Default)]
struct RateWindow {
    second: u64,
    writes: u32,
    reads: u32,
}

/// A platform whose clones share its state.
#[derive(Clone, Debug)]
pub struct Platform {
    state: sync::Arc<sync::Mutex<State>>,
    changed: watch::Sender<u64>,
    /// Time until a change of the host list becomes visible.
    pub list_lag: time::Duration,
    started_at: time::Instant,
}

impl Platform {
    /// Creates a platform without objects and hosts.
    pub fn new(list_lag: time::Duration) -> Self {
        Self {
            state: sync::Arc::default(),
            changed: watch::Sender::new(0),
            list_lag,
            started_at: time::Instant::now(),
        }
    }

    /// Serves on `listener` in the background and returns its address.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener has no address.
    pub fn serve(&self, listener: tokio::net::TcpListener) -> anyhow::Result<net::SocketAddr> {
        let addr = listener.local_addr()?;
        let router = axum::Router::new()
            .route("/objects/{kind}", routing::get(list))
            .route(
                "/objects/{kind}/{name}",
                routing::get(get).put(put).delete(delete),
            )
            .route("/hosts", routing::get(hosts))
            .route("/control", routing::post(control))
            .layer(extract::DefaultBodyLimit::max(MAX_VALUE_BYTES))
            .with_state(self.clone());
        tokio::spawn(async move { http_server::serve(listener, router).await });
        Ok(addr)
    }

    /// Sets the faults to inject from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
        // Wakes waiting watches, so that they see an outage at once.
        self.changed.send_modify(|_| {});
    }

    /// Returns the numbers of calls so far.
    pub fn call_counts(&self) -> CallCounts {
        self.lock().calls
    }

    /// Writes an object whatever its version is, as an administrator of the platform could.
    pub fn put_unconditionally(&self, kind: &str, name: &str, value: serde_json::Value) {
        let mut state = self.lock();
        state.version += 1;
        let version = state.version;
        let object = Object { version, value };
        state.objects.insert((kind.into(), name.into()), object);
        drop(state);
        self.changed.send_replace(version);
    }

    /// Returns the value of an object, if it exists.
    pub fn value(&self, kind: &str, name: &str) -> Option<serde_json::Value> {
        let state = self.lock();
        let object = state.objects.get(&(kind.into(), name.into()))?;
        Some(object.value.clone())
    }

    /// Adds a host to the host list or replaces its entry, visible after `list_lag`. With `gone`,
    /// the host disappears from the list.
    pub fn list_host(&self, name: &str, addr: &str, kind: &'static str, leaving: bool, gone: bool) {
        let entry = HostEntry {
            addr: addr.to_owned(),
            kind,
            leaving,
            gone,
            listed_at: time::Instant::now(),
        };
        let mut state = self.lock();
        state.hosts.entry(name.to_owned()).or_default().push(entry);
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Counts a call and applies faults and rate limits.
    ///
    /// # Errors
    ///
    /// Returns the response to send if the call must fail.
    async fn admit(&self, write: bool) -> Result<Faults, response::Response> {
        let (faults, refused) = {
            let mut state = self.lock();
            let refused = state.count_call(write, self.started_at.elapsed().as_secs());
            (state.faults, refused)
        };
        if faults.down {
            return Err(http::StatusCode::SERVICE_UNAVAILABLE.into_response());
        }
        if refused {
            return Err(http::StatusCode::TOO_MANY_REQUESTS.into_response());
        }
        if faults.slow_ms > 0 {
            tokio::time::sleep(time::Duration::from_millis(faults.slow_ms)).await;
        }
        Ok(faults)
    }
}

impl State {
    /// Counts a call. Returns whether it exceeds the rate limit of the current second.
    fn count_call(&mut self, write: bool, second: u64) -> bool {
        if self.window.second != second {
            self.window = RateWindow {
                second,
                ..RateWindow::default()
            };
        }
        let (used, limit) = match write {
            true => {
                self.calls.writes += 1;
                self.window.writes += 1;
                (self.window.writes, self.faults.max_writes_s)
            }
            false => {
                self.calls.reads += 1;
                self.window.reads += 1;
                (self.window.reads, self.faults.max_reads_s)
            }
        };
        limit > 0 && used > limit
    }

    /// Returns the objects of a kind that changed after the given version, deleted ones included.
    fn items_after(&self, kind: &str, after: u64) -> Vec<serde_json::Value> {
        let of_kind = self.objects.iter().filter(|((k, _), _)| k == kind);
        of_kind
            .filter(|(_, object)| object.version > after)
            .map(|((_, name), object)| {
                json!({ "name": name, "version": object.version, "value": object.value })
            })
            .collect()
    }
}

#[derive(Debug, Deserialize)]
struct ListQuery {
    /// Lists only objects that changed after this version.
    #[serde(default)]
    after: u64,
    /// How long to wait for a change, in milliseconds, if there is none yet.
    #[serde(default)]
    wait_ms: u64,
}

async fn list(
    extract::State(platform): extract::State<Platform>,
    extract::Path(kind): extract::Path<String>,
    extract::Query(query): extract::Query<ListQuery>,
) -> response::Response {
    if let Err(response) = platform.admit(false).await {
        return response;
    }
    let mut changed = platform.changed.subscribe();
    let deadline =
        time::Instant::now() + time::Duration::from_millis(query.wait_ms).min(MAX_WATCH_TIME);
    loop {
        changed.mark_unchanged();
        let (version, items, down) = {
            let state = platform.lock();
            let items = state.items_after(&kind, query.after);
            (state.version, items, state.faults.down)
        };
        if down {
            return http::StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        let expired = time::Instant::now() >= deadline;
        if !items.is_empty() || expired || query.after > version {
            return axum::Json(json!({ "version": version, "items": items })).into_response();
        }
        let _ = tokio::time::timeout_at(deadline.into(), changed.changed()).await;
    }
}

async fn get(
    extract::State(platform): extract::State<Platform>,
    extract::Path((kind, name)): extract::Path<(String, String)>,
) -> response::Response {
    if let Err(response) = platform.admit(false).await {
        return response;
    }
    let state = platform.lock();
    match state.objects.get(&(kind, name.clone())) {
        Some(object) if !object.value.is_null() => {
            let body = json!({ "name": name, "version": object.version, "value": object.value });
            axum::Json(body).into_response()
        }
        _ => http::StatusCode::NOT_FOUND.into_response(),
    }
}

async fn put(
    extract::State(platform): extract::State<Platform>,
    extract::Path((kind, name)): extract::Path<(String, String)>,
    headers: http::HeaderMap,
    axum::Json(value): axum::Json<serde_json::Value>,
) -> response::Response {
    write(&platform, kind, name, &headers, value).await
}

async fn delete(
    extract::State(platform): extract::State<Platform>,
    extract::Path((kind, name)): extract::Path<(String, String)>,
    headers: http::HeaderMap,
) -> response::Response {
    write(&platform, kind, name, &headers, serde_json::Value::Null).await
}

async fn write(
    platform: &Platform,
    kind: String,
    name: String,
    headers: &http::HeaderMap,
    value: serde_json::Value,
) -> response::Response {
    let faults = match platform.admit(true).await {
        Ok(faults) => faults,
        Err(response) => return response,
    };
    let expected_version = headers
        .get("if-match")
        .and_then(|value| value.to_str().ok());
    let Some(expected_version) = expected_version.and_then(|text| text.parse::<u64>().ok()) else {
        return http::StatusCode::PRECONDITION_REQUIRED.into_response();
    };
    let version = {
        let mut state = platform.lock();
        let key = (kind, name);
        let current = state
            .objects
            .get(&key)
            .filter(|object| !object.value.is_null());
        if current.map_or(0, |object| object.version) != expected_version {
            return http::StatusCode::CONFLICT.into_response();
        }
        state.version += 1;
        let version = state.version;
        state.objects.insert(key, Object { version, value });
        version
    };
    platform.changed.send_replace(version);
    if rand::random::<f64>() < faults.lose_replies {
        return http::StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    axum::Json(json!({ "version": version })).into_response()
}

async fn hosts(extract::State(platform): extract::State<Platform>) -> response::Response {
    if let Err(response) = platform.admit(false).await {
        return response;
    }
    let state = platform.lock();
    let mut list = Vec::new();
    for (name, entries) in &state.hosts {
        let visible = entries
            .iter()
            .rev()
            .find(|entry| entry.listed_at.elapsed() >= platform.list_lag);
        if let Some(entry) = visible.filter(|entry| !entry.gone) {
            list.push(json!({
                "name": name,
                "addr": entry.addr,
                "kind": entry.kind,
                "leaving": entry.leaving,
            }));
        }
    }
    axum::Json(list).into_response()
}

async fn control(
    extract::State(platform): extract::State<Platform>,
    axum::Json(faults): axum::Json<Faults>,
) -> http::StatusCode {
    platform.set_faults(faults);
    http::StatusCode::NO_CONTENT
}
