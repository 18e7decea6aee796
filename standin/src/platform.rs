//! Stand-in of the platform: an object API with versions, conditional updates and watches, and a
//! lagging host list.

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
const MAX_WAIT: time::Duration = time::Duration::from_secs(30);

/// How the stand-in misbehaves.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Whether it answers nothing.
    pub down: bool,
    /// Share of writes that take effect without a reply.
    pub lose_replies: f64,
    /// Delay of each call in milliseconds.
    pub slow_ms: u64,
    /// Writes allowed a second, zero for no limit.
    pub max_writes_s: u32,
    /// Reads allowed a second, zero for no limit.
    pub max_reads_s: u32,
}

/// Calls counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallCounts {
    /// Writes.
    pub writes: u64,
    /// Reads, each watch counted as one.
    pub reads: u64,
}

#[derive(Clone, Debug)]
struct Object {
    version: u64,
    value: serde_json::Value,
}

#[derive(Clone, Debug)]
struct Listed {
    addr: String,
    kind: &'static str,
    leaving: bool,
    since: time::Instant,
    gone: bool,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    objects: collections::BTreeMap<(String, String), Object>,
    hosts: collections::BTreeMap<String, Vec<Listed>>,
    faults: Faults,
    calls: CallCounts,
    window: Window,
}

#[derive(Debug, Default)]
struct Window {
    second: u64,
    writes: u32,
    reads: u32,
}

/// A running platform.
#[derive(Clone, Debug)]
pub struct Platform {
    state: sync::Arc<sync::Mutex<State>>,
    changed: watch::Sender<u64>,
    /// How long the host list lags behind.
    pub list_lag: time::Duration,
    began: time::Instant,
}

impl Platform {
    /// Makes an empty platform.
    pub fn new(list_lag: time::Duration) -> Self {
        Self {
            state: sync::Arc::default(),
            changed: watch::Sender::new(0),
            list_lag,
            began: time::Instant::now(),
        }
    }

    /// Serves on a listener in the background. Returns the address.
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

    /// Sets how the platform misbehaves from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
        // Watches that wait see the outage at once.
        self.changed.send_modify(|_| {});
    }

    /// Returns the calls counted so far.
    pub fn call_counts(&self) -> CallCounts {
        self.lock().calls
    }

    /// Writes an object without any condition, as an administrator of the platform could.
    pub fn put_unconditionally(&self, kind: &str, name: &str, value: serde_json::Value) {
        let mut state = self.lock();
        state.version += 1;
        let version = state.version;
        let object = Object { version, value };
        state.objects.insert((kind.into(), name.into()), object);
        drop(state);
        self.changed.send_replace(version);
    }

    /// Returns an object's value.
    pub fn value(&self, kind: &str, name: &str) -> Option<serde_json::Value> {
        let state = self.lock();
        let object = state.objects.get(&(kind.into(), name.into()))?;
        Some(object.value.clone())
    }

    /// Lists a host, or changes what the list says of it, after the lag.
    pub fn list_host(&self, name: &str, addr: &str, kind: &'static str, leaving: bool, gone: bool) {
        let listed = Listed {
            addr: addr.to_owned(),
            kind,
            leaving,
            gone,
            since: time::Instant::now(),
        };
        let mut state = self.lock();
        state.hosts.entry(name.to_owned()).or_default().push(listed);
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Counts a call and applies the faults. Returns the response of a call that fails.
    async fn enter(&self, write: bool) -> Result<Faults, response::Response> {
        let (faults, refused) = {
            let mut state = self.lock();
            let refused = state.count(write, self.began.elapsed().as_secs());
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
    fn count(&mut self, write: bool, second: u64) -> bool {
        if self.window.second != second {
            self.window = Window {
                second,
                ..Window::default()
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

    fn items(&self, kind: &str, after: u64) -> Vec<serde_json::Value> {
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
    #[serde(default)]
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

async fn list(
    extract::State(platform): extract::State<Platform>,
    extract::Path(kind): extract::Path<String>,
    extract::Query(query): extract::Query<ListQuery>,
) -> response::Response {
    if let Err(response) = platform.enter(false).await {
        return response;
    }
    let mut changed = platform.changed.subscribe();
    let until = time::Instant::now() + time::Duration::from_millis(query.wait_ms).min(MAX_WAIT);
    loop {
        changed.mark_unchanged();
        let (version, items, down) = {
            let state = platform.lock();
            let items = state.items(&kind, query.after);
            (state.version, items, state.faults.down)
        };
        if down {
            return http::StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        let over = time::Instant::now() >= until;
        if !items.is_empty() || over || query.after > version {
            return axum::Json(json!({ "version": version, "items": items })).into_response();
        }
        let _ = tokio::time::timeout_at(until.into(), changed.changed()).await;
    }
}

async fn get(
    extract::State(platform): extract::State<Platform>,
    extract::Path((kind, name)): extract::Path<(String, String)>,
) -> response::Response {
    if let Err(response) = platform.enter(false).await {
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
    let faults = match platform.enter(true).await {
        Ok(faults) => faults,
        Err(response) => return response,
    };
    let expected = headers
        .get("if-match")
        .and_then(|value| value.to_str().ok());
    let Some(expected) = expected.and_then(|text| text.parse::<u64>().ok()) else {
        return http::StatusCode::PRECONDITION_REQUIRED.into_response();
    };
    let version = {
        let mut state = platform.lock();
        let key = (kind, name);
        let known = state
            .objects
            .get(&key)
            .filter(|object| !object.value.is_null());
        if known.map_or(0, |object| object.version) != expected {
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
    if let Err(response) = platform.enter(false).await {
        return response;
    }
    let state = platform.lock();
    let mut list = Vec::new();
    for (name, states) in &state.hosts {
        let seen = states
            .iter()
            .rev()
            .find(|listed| listed.since.elapsed() >= platform.list_lag);
        if let Some(listed) = seen.filter(|listed| !listed.gone) {
            list.push(json!({
                "name": name,
                "addr": listed.addr,
                "kind": listed.kind,
                "leaving": listed.leaving,
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
